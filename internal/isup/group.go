package isup

import (
	"cmp"
	"slices"
	"time"

	"pipitring/internal/timers"
)

// Timers of Q.764, annex A. Zero values take the Recommendation's, at the lower end of its ranges.
type Timers struct {
	T1  time.Duration // REL again; 15 s
	T5  time.Duration // then the circuit is reset; 5 min
	T7  time.Duration // for ACM; 20 s
	T9  time.Duration // for ANM; 90 s
	T12 time.Duration // BLO, UBL, CGB, CGU again; 15 s
	T13 time.Duration // then maintenance is told, and again each T13; 5 min
	T16 time.Duration // RSC, GRS again; 15 s
	T17 time.Duration // then maintenance is told, and again each T17; 5 min
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

// Config sets one end of a group.
type Config struct {
	First                      CIC
	Circuits                   int
	OwnPointCode, FarPointCode uint32 // point codes
	Timers                     Timers
}

// state of a circuit.
type state uint8

const (
	idle      state = iota
	waitACM         // IAM sent
	waitANM         // ACM came
	offered         // IAM came
	alerting        // ACM sent
	up              // ANM sent or received
	releasing       // REL sent
	resetting       // RSC sent
)

// Call is a call's time on a circuit, as the user holds it.
type Call struct {
	Ref  uint64 // the user's own
	c    *circuit
	over bool // its end has been told, or decided by the user
}

// CIC is the circuit that the call is on.
func (k *Call) CIC() CIC { return k.c.cic }

// circuit is one circuit, seen from one end.
type circuit struct {
	cic      CIC
	state    state
	call     *Call // nil while the user has no call on it
	outgoing bool
	cause    uint8 // of the REL that is repeated
	timer    timers.Entry[*circuit]
	giveUpAt time.Duration // T5 or T17's alarm
	alarmed  bool
	localBlk bool // blocked by us: the far end sends nothing new here
	farBlk   bool // blocked by the far end
	blkAsk   Type // BLO or UBL that waits for its answer; 0 is none
	blkTimer timers.Entry[*circuit]
	blkUntil time.Duration
}

// EventKind tells what an Event reports.
type EventKind uint8

// Kinds of Event. Every call that the user knows ends with one Closed.
const (
	Offered  EventKind = iota + 1 // IAM came: Request is set
	Accepted                      // ACM came, or CPG
	Answered                      // ANM or CON came
	Released                      // the far end released: Cause is set
	Glare                         // both ends seized the circuit, and this call gives way
	Lost                          // no ACM or ANM in time, or the circuit was reset
	Closed                        // the circuit holds nothing of the call any more
	Alarm                         // maintenance has to look at CIC: Text tells why
)

// Event is one thing that happened in a group.
type Event struct {
	Kind    EventKind
	Call    *Call
	CIC     CIC
	Cause   uint8
	Reset   bool // of Lost: the far end knows nothing of the call
	Request Request
	Text    string
}

// Request is what an IAM says of a call.
type Request struct {
	Called  string
	Calling string
	Hops    int    // how often it may be passed on still; -1 is not told
	User    string // user-to-user information
}

// OutMessage is a message to send.
type OutMessage struct {
	CIC  CIC
	Data []byte
}

// SLS is the signalling link selection of a circuit's messages: by the CIC, so that they stay in order (Q.704).
func (o *OutMessage) SLS() uint8 { return uint8(o.CIC & 0xf) }

// Stats count since the group began.
type Stats struct {
	In, Out, Malformed, Unknown, Unequipped, Glares, Repeats, Alarms uint64
}

// Group is one end of a group of circuits.
type Group struct {
	Out    []OutMessage // messages to send, in order; the user takes them and resets the slice
	Events []Event
	Stats  Stats

	cfg      Config
	circuits []*circuit
	order    []*circuit // in which calls seize: those that this end controls first
	queue    timers.Queue[*circuit]
	blocks   timers.Queue[*circuit]
	groupAsk Type // GRS, CGB or CGU of the whole group that waits for its answer
	groupAt  time.Duration
	groupEnd time.Duration
	msg      Message
}

// NewGroup returns a group whose circuits are idle.
func NewGroup(c Config) *Group {
	c.Timers = c.Timers.withDefaults()
	g := &Group{cfg: c}
	for i := range c.Circuits {
		k := &circuit{cic: c.First + CIC(i)}
		k.timer.Value, k.blkTimer.Value = k, k
		g.circuits = append(g.circuits, k)
	}
	g.order = slices.Clone(g.circuits)
	slices.SortStableFunc(g.order, func(a, b *circuit) int { return cmp.Compare(g.rank(a), g.rank(b)) })
	return g
}

// controls tells whether this end wins a dual seizure of a circuit: the end with the higher point code controls the
// even circuits (Q.764, 2.9.1.4).
func (g *Group) controls(c *circuit) bool {
	return (c.cic%2 == 0) == (g.cfg.OwnPointCode > g.cfg.FarPointCode)
}

// rank orders seizing: own circuits rising, then the others falling, so that the ends meet as late as can be.
func (g *Group) rank(c *circuit) int {
	if g.controls(c) {
		return int(c.cic)
	}
	return 2*int(MaxCIC) - int(c.cic)
}

// Idle is the number of circuits that a call may seize.
func (g *Group) Idle() (n int) {
	for _, c := range g.circuits {
		if c.free() {
			n++
		}
	}
	return n
}

// Busy is the number of circuits that are not idle, blocked ones not counted.
func (g *Group) Busy() (n int) {
	for _, c := range g.circuits {
		if c.state != idle {
			n++
		}
	}
	return n
}

func (c *circuit) free() bool { return c.state == idle && !c.farBlk && !c.localBlk && c.blkAsk == 0 }

// Next is when Advance has something to do.
func (g *Group) Next() (at time.Duration, ok bool) {
	at, ok = g.queue.Next()
	if b, bok := g.blocks.Next(); bok && (!ok || b < at) {
		at, ok = b, true
	}
	if g.groupAsk != 0 && (!ok || g.groupAt < at) {
		at, ok = g.groupAt, true
	}
	return at, ok
}

func (g *Group) find(cic CIC) *circuit {
	if i := int(cic) - int(g.cfg.First); i >= 0 && i < len(g.circuits) {
		return g.circuits[i]
	}
	return nil
}

func (g *Group) send(cic CIC, t Type, params ...Parameter) {
	g.Stats.Out++
	g.Out = append(g.Out, OutMessage{cic, Append(nil, cic, t, params...)})
}

func (g *Group) emit(e Event) { g.Events = append(g.Events, e) }

func (g *Group) alarm(c *circuit, text string) {
	g.Stats.Alarms++
	g.emit(Event{Kind: Alarm, CIC: c.cic, Text: text})
}

// Seize sends an IAM on an idle circuit; nil if there is none or a number cannot be sent.
func (g *Group) Seize(now time.Duration, r Request) *Call {
	called, err := AppendNumber(nil, r.Called)
	if err != nil {
		return nil
	}
	i := slices.IndexFunc(g.order, (*circuit).free)
	if i < 0 {
		return nil
	}
	c := g.order[i]
	c.state, c.outgoing, c.call = waitACM, true, &Call{c: c}
	params := []Parameter{{CalledNumber, called}, {ForwardCall, []byte{0x60, 0}}, {CallingCategory, []byte{10}}}
	if calling, err := AppendNumber(nil, r.Calling); err == nil && r.Calling != "" {
		params = append(params, Parameter{CallingNumber, calling})
	}
	if r.Hops >= 0 {
		params = append(params, Parameter{HopCounter, []byte{byte(r.Hops & 0x1f)}})
	}
	if r.User != "" {
		params = append(params, Parameter{UserToUser, append([]byte{0}, r.User...)})
	}
	g.send(c.cic, IAM, params...)
	g.queue.Set(&c.timer, now+g.cfg.Timers.T7)
	return c.call
}

// Accept sends ACM for an offered call.
func (g *Group) Accept(now time.Duration, k *Call) {
	if c := k.c; c.call == k && c.state == offered {
		c.state = alerting
		g.send(c.cic, ACM, Parameter{BackwardCall, []byte{0x16, 0x04}})
	}
}

// Answer makes an offered call stand.
func (g *Group) Answer(now time.Duration, k *Call) {
	c := k.c
	if c.call != k {
		return
	}
	switch c.state {
	case offered: // ACM and ANM in one
		g.send(c.cic, CON, Parameter{BackwardCall, []byte{0x16, 0x04}})
	case alerting:
		g.send(c.cic, ANM)
	default:
		return
	}
	c.state = up
	g.queue.Stop(&c.timer)
}

// Release ends a call. Closed follows when the circuit is idle again.
func (g *Group) Release(now time.Duration, k *Call, cause uint8) {
	c := k.c
	if c.call != k || k.over && c.state >= releasing {
		return
	}
	k.over = true
	g.release(now, c, cause)
}

func (g *Group) release(now time.Duration, c *circuit, cause uint8) {
	if c.state == idle || c.state >= releasing {
		return
	}
	c.state, c.cause = releasing, cause
	c.giveUpAt = now + g.cfg.Timers.T5
	g.send(c.cic, REL, Cause(cause))
	g.queue.Set(&c.timer, now+g.cfg.Timers.T1)
}

// clear makes a circuit idle and tells its call's end.
func (g *Group) clear(c *circuit) {
	g.queue.Stop(&c.timer)
	c.state, c.outgoing, c.alarmed = idle, false, false
	if k := c.call; k != nil {
		c.call = nil
		k.over = true
		g.emit(Event{Kind: Closed, Call: k, CIC: c.cic})
	}
}

// end tells the user why its call ends, once.
func (g *Group) end(c *circuit, e Event) {
	if k := c.call; k != nil && !k.over {
		k.over = true
		e.Call, e.CIC = k, c.cic
		g.emit(e)
	}
}

// reset sends RSC until it is answered: the state of the circuit at the far end is not known.
func (g *Group) reset(now time.Duration, c *circuit) {
	c.state = resetting
	c.giveUpAt = now + g.cfg.Timers.T17
	g.send(c.cic, RSC)
	g.queue.Set(&c.timer, now+g.cfg.Timers.T16)
}

// Advance does what is due.
func (g *Group) Advance(now time.Duration) {
	for e := g.queue.Due(now); e != nil; e = g.queue.Due(now) {
		g.due(now, e.Value)
	}
	for e := g.blocks.Due(now); e != nil; e = g.blocks.Due(now) {
		g.blockDue(now, e.Value)
	}
	if g.groupAsk != 0 && g.groupAt <= now {
		g.askGroup(now)
	}
}

func (g *Group) due(now time.Duration, c *circuit) {
	t := &g.cfg.Timers
	switch c.state {
	case waitACM, waitANM: // T7, T9
		g.end(c, Event{Kind: Lost})
		g.release(now, c, causeTimer)
	case releasing: // T1, and T5 in the end
		if now >= c.giveUpAt {
			g.alarm(c, "no RLC: the circuit is reset (T5)")
			g.reset(now, c)
			return
		}
		g.Stats.Repeats++
		g.send(c.cic, REL, Cause(c.cause))
		g.queue.Set(&c.timer, min(now+t.T1, c.giveUpAt))
	case resetting: // T16, and T17 in the end
		again := t.T16
		if now >= c.giveUpAt {
			if !c.alarmed {
				c.alarmed = true
				g.alarm(c, "no answer to RSC (T17)")
			}
			again = t.T17
		}
		g.Stats.Repeats++
		g.send(c.cic, RSC)
		g.queue.Set(&c.timer, now+again)
	}
}

// causes that this package gives (Q.850).
const (
	causeNormal   = 16
	causeTempFail = 41
	causeTimer    = 102
	causeNoType   = 97 // message type non-existent or not implemented
	causeProtocol = 111
)

// RetransmitPending repeats at once what waits for an answer: the messages may have been lost while no link was up. Their timers
// begin anew: a REL that T1 repeats while the RLC to this one is on its way would end the circuit's next call.
func (g *Group) RetransmitPending(now time.Duration) {
	for _, c := range g.circuits {
		switch {
		case c.state == releasing:
			g.Stats.Repeats++
			g.send(c.cic, REL, Cause(c.cause))
			g.queue.Set(&c.timer, min(now+g.cfg.Timers.T1, max(now, c.giveUpAt)))
		case c.state == resetting && c.timer.Running():
			g.Stats.Repeats++
			g.send(c.cic, RSC)
			g.queue.Set(&c.timer, now+g.cfg.Timers.T16)
		}
	}
	if g.groupAsk != 0 {
		g.askGroup(now)
	}
}

// RunningTimers is the number of running timers.
func (g *Group) RunningTimers() int { return g.queue.Len() + g.blocks.Len() }

// FarPointCode is the point code of the other end.
func (g *Group) FarPointCode() uint32 { return g.cfg.FarPointCode }
