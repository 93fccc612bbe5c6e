package isup

import (
	"cmp"
	"slices"
	"time"

	"pipitring/internal/timers"
)

// Timers holds the timers of Q.764, annex A. A zero value selects the lower end of the range in the
// Recommendation.
type Timers struct {
	T1  time.Duration // interval at which REL is repeated; 15 s
	T5  time.Duration // from the first REL until the circuit is reset; 5 min
	T7  time.Duration // wait for ACM; 20 s
	T9  time.Duration // wait for ANM; 90 s
	T12 time.Duration // interval at which BLO and UBL are repeated (also T14); 15 s
	T13 time.Duration // until maintenance is alerted, then the interval of BLO, UBL and alerts (also T15); 5 min
	T16 time.Duration // interval at which RSC and GRS are repeated (also T22); 15 s
	T17 time.Duration // until maintenance is alerted, then the interval of RSC and GRS (also T23); 5 min
}

func (t Timers) withDefaults() Timers {
	t.T1 = cmp.Or(t.T1, 15*time.Second)
	t.T5 = cmp.Or(t.T5, 5*time.Minute)
	t.T7 = cmp.Or(t.T7, 20*time.Second)
	t.T9 = cmp.Or(t.T9, 90*time.Second)
	t.T12 = cmp.Or(t.T12, 15*time.Second)
	t.T13 = cmp.Or(t.T13, 5*time.Minute)
	t.T16 = cmp.Or(t.T16, 15*time.Second)
	t.T17 = cmp.Or(t.T17, 5*time.Minute)
	return t
}

// Config describes one end of a circuit group.
type Config struct {
	FirstCIC                   CIC    // lowest CIC of the group
	Circuits                   int    // number of circuits, with consecutive CICs
	OwnPointCode, FarPointCode uint32 // of this end and of the far end
	Timers                     Timers
}

// state is the state of a circuit.
type state uint8

const (
	idle      state = iota
	waitACM         // IAM sent
	waitANM         // ACM received
	offered         // IAM received
	alerting        // ACM sent
	answered        // ANM or CON sent or received
	releasing       // REL sent
	resetting       // RSC or GRS sent
)

// Call is the use of a circuit by one call.
type Call struct {
	Ref     uint64 // free for the application; this package does not read it
	circuit *circuit
	ended   bool // the application has been notified of its end, or has released it
}

// CIC returns the CIC of the circuit that the call is or was on.
func (k *Call) CIC() CIC { return k.circuit.cic }

// circuit is the state of one circuit as seen from this end.
type circuit struct {
	cic          CIC
	state        state
	call         *Call // nil if the application has no call on it
	outgoing     bool
	releaseCause uint8 // cause of the REL, for its repetitions
	timer        timers.Entry[*circuit]
	escalateAt   time.Duration // when T5 (releasing) or T17 (resetting) expires
	alarmRaised  bool          // T17 has expired and the alarm of this reset was raised
	localBlocked bool          // blocked by this end: the far end sends no new calls on it
	farBlocked   bool          // blocked by the far end
	pendingBlock Type          // BLO or UBL that awaits its answer; 0 if none
	blockTimer   timers.Entry[*circuit]
	blockAlarmAt time.Duration // when T13 (BLO) or T15 (UBL) expires
}

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of Event. Every call, from Offered or Seize on, ends with exactly one Closed.
const (
	// Offered reports that an IAM was received; Request is set.
	Offered EventKind = iota + 1
	// Accepted reports that ACM was received.
	Accepted
	// Answered reports that ANM or CON was received.
	Answered
	// Released reports that the far end released the call; Cause is set.
	Released
	// Glare reports a dual seizure (glare) in which the call of this end gives way.
	Glare
	// Lost reports that ACM or ANM did not arrive in time, or that the circuit was reset or withdrawn.
	Lost
	// Closed reports that the call has left its circuit.
	Closed
	// Alarm alerts maintenance about the circuit CIC; Text states the reason.
	Alarm
)

// Event reports one change in a group.
type Event struct {
	Kind    EventKind
	Call    *Call
	CIC     CIC
	Cause   uint8 // Q.850 cause, set on Released
	Reset   bool  // on Lost: the circuit was reset or withdrawn; false if ACM or ANM came too late
	Request Request
	Text    string // set on Alarm
}

// Request holds what an IAM states about a call.
type Request struct {
	Called   string
	Calling  string
	Hops     int    // hop counter: how many more exchanges may forward the call; -1 if absent
	UserInfo string // user-to-user information
}

// OutMessage is a message to send.
type OutMessage struct {
	CIC  CIC
	Data []byte
}

// SLS returns the signalling link selection. It is derived from the CIC, so that the messages of one circuit
// stay in order (Q.704).
func (o *OutMessage) SLS() uint8 { return uint8(o.CIC & 0xf) }

// Stats counts what a group has done since it was created. In and Out count messages received and sent; Malformed,
// Unknown and Unequipped count received messages that could not be parsed, that have an unknown type, and that are
// for a circuit that this end does not have. Glares counts dual seizures, Retransmits repeated messages and
// Alarms Alarm events.
type Stats struct {
	In, Out, Malformed, Unknown, Unequipped, DualSeizures, Retransmits, Alarms uint64
}

// Group is one end of a group of circuits.
type Group struct {
	Out    []OutMessage // messages to send, in order; the application takes them and resets the slice
	Events []Event      // in order; taken and reset like Out
	Stats  Stats

	cfg                Config
	circuits           []*circuit
	seizeOrder         []*circuit // in seizing order: circuits controlled by this end first
	timerQueue         timers.Queue[*circuit]
	blockTimers        timers.Queue[*circuit]
	pendingGroupReset  Type          // GRS if any group reset awaits its GRA, otherwise 0
	groupResetRepeatAt time.Duration // when pending group resets are repeated (T22 or T23)
	groupResetAlarmAt  time.Duration // when T23 expires
	msg                Message       // the message being received
}

// NewGroup returns a group whose circuits are all idle.
func NewGroup(c Config) *Group {
	c.Timers = c.Timers.withDefaults()
	g := &Group{cfg: c}
	for i := range c.Circuits {
		circ := &circuit{cic: c.FirstCIC + CIC(i)}
		circ.timer.Value, circ.blockTimer.Value = circ, circ
		g.circuits = append(g.circuits, circ)
	}
	g.seizeOrder = slices.Clone(g.circuits)
	slices.SortStableFunc(g.seizeOrder, func(a, b *circuit) int { return cmp.Compare(g.seizeRank(a), g.seizeRank(b)) })
	return g
}

// controls reports whether this end controls the circuit, and so wins a dual seizure of it: the end with the higher
// point code controls the even circuits (2.9.1.4).
func (g *Group) controls(c *circuit) bool {
	return (c.cic%2 == 0) == (g.cfg.OwnPointCode > g.cfg.FarPointCode)
}

// seizeRank orders circuits for seizing: those controlled by this end in rising order, then the others in
// falling order. The two ends thus seize from opposite sides, which makes dual seizures as rare as possible.
func (g *Group) seizeRank(c *circuit) int {
	if g.controls(c) {
		return int(c.cic)
	}
	return 2*int(MaxCIC) - int(c.cic)
}

// IdleCircuits returns the number of circuits that a call may seize.
func (g *Group) IdleCircuits() (n int) {
	for _, c := range g.circuits {
		if c.available() {
			n++
		}
	}
	return n
}

// BusyCircuits returns the number of circuits that are not idle. Circuits that are only blocked are not counted.
func (g *Group) BusyCircuits() (n int) {
	for _, c := range g.circuits {
		if c.state != idle {
			n++
		}
	}
	return n
}

func (c *circuit) available() bool {
	return c.state == idle && !c.farBlocked && !c.localBlocked && c.pendingBlock == 0
}

// Next returns the time at which Advance is next due; ok is false if nothing is pending.
func (g *Group) Next() (at time.Duration, ok bool) {
	at, ok = g.timerQueue.Next()
	if b, bok := g.blockTimers.Next(); bok && (!ok || b < at) {
		at, ok = b, true
	}
	if g.pendingGroupReset != 0 && (!ok || g.groupResetRepeatAt < at) {
		at, ok = g.groupResetRepeatAt, true
	}
	return at, ok
}

func (g *Group) findCircuit(cic CIC) *circuit {
	if i := int(cic) - int(g.cfg.FirstCIC); i >= 0 && i < len(g.circuits) {
		return g.circuits[i]
	}
	return nil
}

func (g *Group) send(cic CIC, t Type, params ...Parameter) {
	g.Stats.Out++
	g.Out = append(g.Out, OutMessage{cic, Append(nil, cic, t, params...)})
}

func (g *Group) emit(e Event) { g.Events = append(g.Events, e) }

func (g *Group) raiseAlarm(c *circuit, text string) {
	g.Stats.Alarms++
	g.emit(Event{Kind: Alarm, CIC: c.cic, Text: text})
}

// Seize sends an IAM on an idle circuit. It returns nil if no circuit is available or the called number cannot
// be encoded.
func (g *Group) Seize(now time.Duration, r Request) *Call {
	called, err := AppendNumber(nil, r.Called)
	if err != nil {
		return nil
	}
	i := slices.IndexFunc(g.seizeOrder, (*circuit).available)
	if i < 0 {
		return nil
	}
	c := g.seizeOrder[i]
	c.state, c.outgoing, c.call = waitACM, true, &Call{circuit: c}
	// Forward call indicators: ISUP used, and not required, all the way. Category: ordinary calling subscriber.
	params := []Parameter{{CalledNumber, called}, {ForwardCall, []byte{0x60, 0}}, {CallingCategory, []byte{10}}}
	if calling, err := AppendNumber(nil, r.Calling); err == nil && r.Calling != "" {
		params = append(params, Parameter{CallingNumber, calling})
	}
	if r.Hops >= 0 {
		params = append(params, Parameter{HopCounter, []byte{byte(r.Hops & 0x1f)}})
	}
	if r.UserInfo != "" {
		params = append(params, Parameter{UserToUser, append([]byte{0}, r.UserInfo...)})
	}
	g.send(c.cic, IAM, params...)
	g.timerQueue.Set(&c.timer, now+g.cfg.Timers.T7)
	return c.call
}

// Accept sends ACM for an offered call. Its backward call indicators say: charge, subscriber free, ordinary
// subscriber, ISUP used all the way.
func (g *Group) Accept(now time.Duration, k *Call) {
	if c := k.circuit; c.call == k && c.state == offered {
		c.state = alerting
		g.send(c.cic, ACM, Parameter{BackwardCall, []byte{0x16, 0x04}})
	}
}

// Answer answers an offered call: by ANM, or by CON if no ACM was sent.
func (g *Group) Answer(now time.Duration, k *Call) {
	c := k.circuit
	if c.call != k {
		return
	}
	switch c.state {
	case offered: // CON takes the place of ACM and ANM and carries the indicators of ACM
		g.send(c.cic, CON, Parameter{BackwardCall, []byte{0x16, 0x04}})
	case alerting:
		g.send(c.cic, ANM)
	default:
		return
	}
	c.state = answered
	g.timerQueue.Stop(&c.timer)
}

// Release releases a call with a Q.850 cause. Closed follows when the circuit is idle again.
func (g *Group) Release(now time.Duration, k *Call, cause uint8) {
	c := k.circuit
	if c.call != k || k.ended && c.state >= releasing {
		return
	}
	k.ended = true
	g.releaseCircuit(now, c, cause)
}

func (g *Group) releaseCircuit(now time.Duration, c *circuit, cause uint8) {
	if c.state == idle || c.state >= releasing {
		return
	}
	c.state, c.releaseCause = releasing, cause
	c.escalateAt = now + g.cfg.Timers.T5
	g.send(c.cic, REL, Cause(cause))
	g.timerQueue.Set(&c.timer, now+g.cfg.Timers.T1)
}

// setIdle makes a circuit idle and reports the end of its call.
func (g *Group) setIdle(c *circuit) {
	g.timerQueue.Stop(&c.timer)
	c.state, c.outgoing, c.alarmRaised = idle, false, false
	if k := c.call; k != nil {
		c.call = nil
		k.ended = true
		g.emit(Event{Kind: Closed, Call: k, CIC: c.cic})
	}
}

// endCall reports why a call ends, at most once per call and not if the application has released it.
func (g *Group) endCall(c *circuit, e Event) {
	if k := c.call; k != nil && !k.ended {
		k.ended = true
		e.Call, e.CIC = k, c.cic
		g.emit(e)
	}
}

// resetCircuit sends RSC until it is answered, as the state of the circuit at the far end is unknown.
func (g *Group) resetCircuit(now time.Duration, c *circuit) {
	c.state = resetting
	c.escalateAt = now + g.cfg.Timers.T17
	g.send(c.cic, RSC)
	g.timerQueue.Set(&c.timer, now+g.cfg.Timers.T16)
}

// Advance performs what is due by now.
func (g *Group) Advance(now time.Duration) {
	for e := g.timerQueue.Due(now); e != nil; e = g.timerQueue.Due(now) {
		g.onTimer(now, e.Value)
	}
	for e := g.blockTimers.Due(now); e != nil; e = g.blockTimers.Due(now) {
		g.onBlockTimer(now, e.Value)
	}
	if g.pendingGroupReset != 0 && g.groupResetRepeatAt <= now {
		g.sendGroupResets(now)
	}
}

func (g *Group) onTimer(now time.Duration, c *circuit) {
	t := &g.cfg.Timers
	switch c.state {
	case waitACM, waitANM: // T7, T9
		g.endCall(c, Event{Kind: Lost})
		g.releaseCircuit(now, c, causeTimer)
	case releasing: // T1, finally T5
		if now >= c.escalateAt {
			g.raiseAlarm(c, "no RLC received before T5 expired; resetting the circuit")
			g.resetCircuit(now, c)
			return
		}
		g.Stats.Retransmits++
		g.send(c.cic, REL, Cause(c.releaseCause))
		g.timerQueue.Set(&c.timer, min(now+t.T1, c.escalateAt))
	case resetting: // T16, finally T17
		interval := t.T16
		if now >= c.escalateAt {
			if !c.alarmRaised {
				c.alarmRaised = true
				g.raiseAlarm(c, "no RLC received in answer to RSC before T17 expired; RSC is repeated")
			}
			interval = t.T17
		}
		g.Stats.Retransmits++
		g.send(c.cic, RSC)
		g.timerQueue.Set(&c.timer, now+interval)
	}
}

// Q.850 causes sent by this package.
const (
	causeNormal             = 16
	causeTempFail           = 41
	causeTimer              = 102
	causeUnknownMessageType = 97 // message type non-existent or not implemented
	causeProtocol           = 111
)

// RetransmitPending repeats REL, RSC and GRS that await an answer, as they may have been lost while no
// association was active. It restarts their timers: if T1 repeated a REL while the RLC to this one was on its
// way, that REL would end the next call on the circuit.
func (g *Group) RetransmitPending(now time.Duration) {
	for _, c := range g.circuits {
		switch {
		case c.state == releasing:
			g.Stats.Retransmits++
			g.send(c.cic, REL, Cause(c.releaseCause))
			g.timerQueue.Set(&c.timer, min(now+g.cfg.Timers.T1, max(now, c.escalateAt)))
		case c.state == resetting && c.timer.Running():
			g.Stats.Retransmits++
			g.send(c.cic, RSC)
			g.timerQueue.Set(&c.timer, now+g.cfg.Timers.T16)
		}
	}
	if g.pendingGroupReset != 0 {
		g.sendGroupResets(now)
	}
}

// RunningTimers returns the number of running timers.
func (g *Group) RunningTimers() int { return g.timerQueue.Len() + g.blockTimers.Len() }

// FarPointCode returns the point code of the far end.
func (g *Group) FarPointCode() uint32 { return g.cfg.FarPointCode }
