package isup

import "time"

// Receive handles one message from the far end.
func (g *Group) Receive(now time.Duration, b []byte) {
	g.Stats.In++
	m := &g.msg
	err := Parse(b, m)
	c := g.findCircuit(m.CIC)
	switch {
	case err == ErrUnknown: // a message of unknown type is answered by CFN (2.9.5.2)
		g.Stats.Unknown++
		if c != nil {
			g.send(m.CIC, CFN, Cause(causeUnknownMessageType))
		}
		return
	case err != nil:
		g.Stats.Malformed++
		return
	case m.Type == GRS, m.Type == GRA, m.Type == CGB, m.Type == CGU, m.Type == CGBA, m.Type == CGUA, m.Type == CQM:
		g.receiveGroupMessage(now, m)
		return
	case c == nil:
		g.Stats.Unequipped++
		if m.Type != UCIC { // unequipped circuit identification code (2.12)
			g.send(m.CIC, UCIC)
		}
		return
	}
	g.receiveCircuit(now, c, m)
}

func (g *Group) receiveCircuit(now time.Duration, c *circuit, m *Message) {
	switch m.Type {
	case IAM:
		g.receiveIAM(now, c, m)
	case ACM, CPG, ANM, CON:
		g.receiveBackward(now, c, m)
	case REL:
		g.receiveREL(now, c, m)
	case RLC:
		g.receiveRLC(now, c)
	case RSC:
		g.receiveRSC(now, c)
	case BLO, UBL, BLA, UBA:
		g.receiveBlocking(c, m.Type)
	case UCIC:
		g.receiveUCIC(c)
	case CCR, COT: // continuity checks are not supported (7.1)
		g.send(c.cic, CFN, Cause(causeUnknownMessageType))
	case SUS, RES, CFN:
	}
}

// receiveIAM offers a call. In a dual seizure, the call of the end that does not control the circuit gives way.
func (g *Group) receiveIAM(now time.Duration, c *circuit, m *Message) {
	switch c.state {
	case idle:
	case waitACM:
		g.Stats.DualSeizures++
		if g.controls(c) {
			return // the call of the far end gives way, and its IAM is ignored (2.9.1.4)
		}
		g.timerQueue.Stop(&c.timer)
		g.endCall(c, Event{Kind: Glare})
		g.setIdle(c)
	default:
		return // a duplicate IAM, or one that crosses a release by this end
	}
	r := Request{Hops: -1}
	var ok bool
	if r.Called, ok = ParseNumber(m.Param(CalledNumber)); !ok || r.Called == "" {
		c.state = offered // releaseCircuit sends no REL for an idle circuit
		g.releaseCircuit(now, c, causeProtocol)
		return
	}
	r.Calling, _ = ParseNumber(m.Param(CallingNumber))
	if h := m.Param(HopCounter); len(h) > 0 {
		r.Hops = int(h[0] & 0x1f)
	}
	if u := m.Param(UserToUser); len(u) > 1 {
		r.UserInfo = string(u[1:])
	}
	c.farBlocked = false // an IAM on a circuit blocked by its sender ends the blocking (2.8.2.1)
	c.state, c.outgoing, c.call = offered, false, &Call{circuit: c}
	if c.localBlocked { // the far end does not know of the blocking
		g.send(c.cic, BLO)
	}
	g.emit(Event{Kind: Offered, Call: c.call, CIC: c.cic, Request: r})
}

// receiveBackward handles the messages that the called end sends for a call from this end. On an idle circuit
// they show that the ends disagree about its state, and the circuit is reset (2.9.5.1).
func (g *Group) receiveBackward(now time.Duration, c *circuit, m *Message) {
	switch {
	case c.state == idle:
		g.resetCircuit(now, c)
	case !c.outgoing || c.state != waitACM && c.state != waitANM:
	case m.Type == ANM || m.Type == CON:
		c.state = answered
		g.timerQueue.Stop(&c.timer)
		g.emit(Event{Kind: Answered, Call: c.call, CIC: c.cic})
	case c.state == waitACM && m.Type == ACM:
		c.state = waitANM
		g.timerQueue.Set(&c.timer, now+g.cfg.Timers.T9)
		g.emit(Event{Kind: Accepted, Call: c.call, CIC: c.cic})
	}
}

// receiveREL answers every REL by RLC. If it crosses our own REL, the circuit becomes idle when the far end
// answers that one.
func (g *Group) receiveREL(now time.Duration, c *circuit, m *Message) {
	g.send(c.cic, RLC)
	switch c.state {
	case idle, resetting:
	case releasing: // both ends release at once (2.3.1): idle after the RLC for our REL
	default:
		g.endCall(c, Event{Kind: Released, Cause: ParseCause(m)})
		g.setIdle(c)
	}
}

func (g *Group) receiveRLC(now time.Duration, c *circuit) {
	switch c.state {
	case releasing, resetting:
		g.setIdle(c)
	case idle: // a late duplicate
	default: // unexpected RLC: the ends disagree about the circuit's state (2.9.5.1 c)
		g.endCall(c, Event{Kind: Lost, Reset: true})
		g.releaseCircuit(now, c, causeTempFail)
	}
}

// receiveRSC makes the circuit idle at once and confirms this by RLC (2.9.3.1).
func (g *Group) receiveRSC(now time.Duration, c *circuit) {
	g.resetByPeer(c)
	g.send(c.cic, RLC)
}

// resetByPeer ends the call on a circuit that the far end resets. If this end blocks the circuit, it sends BLO again,
// since the far end has lost the blocking with the reset.
func (g *Group) resetByPeer(c *circuit) {
	g.endCall(c, Event{Kind: Lost, Reset: true})
	g.setIdle(c)
	c.farBlocked = false
	if c.localBlocked {
		g.send(c.cic, BLO)
	}
}

// receiveUCIC takes a circuit out of service that the far end does not have.
func (g *Group) receiveUCIC(c *circuit) {
	if c.state == waitACM { // the call may be tried on another circuit, and this one is not seized again (2.12)
		g.endCall(c, Event{Kind: Lost, Reset: true})
		g.setIdle(c)
	}
	c.farBlocked = true
	g.raiseAlarm(c, "far end does not have this circuit (UCIC); circuit taken out of service")
}

// Block takes a circuit out of service for new calls if on is set, and returns it to service otherwise. BLO or UBL is
// repeated until it is answered. A call in progress is not affected (2.8.2).
func (g *Group) Block(now time.Duration, cic CIC, on bool) {
	c := g.findCircuit(cic)
	if c == nil || c.localBlocked == on && c.pendingBlock == 0 {
		return
	}
	c.localBlocked, c.pendingBlock = on, UBL
	if on {
		c.pendingBlock = BLO
	}
	c.blockAlarmAt = now + g.cfg.Timers.T13
	g.send(cic, c.pendingBlock)
	g.blockTimers.Set(&c.blockTimer, now+g.cfg.Timers.T12)
}

func (g *Group) onBlockTimer(now time.Duration, c *circuit) {
	interval := g.cfg.Timers.T12
	if now >= c.blockAlarmAt {
		g.raiseAlarm(c, "no answer to "+c.pendingBlock.String()+" before T13 or T15 expired; the message is repeated")
		interval = g.cfg.Timers.T13
	}
	g.Stats.Retransmits++
	g.send(c.cic, c.pendingBlock)
	g.blockTimers.Set(&c.blockTimer, now+interval)
}

func (g *Group) receiveBlocking(c *circuit, t Type) {
	switch t {
	case BLO:
		c.farBlocked = true
		g.send(c.cic, BLA)
	case UBL:
		c.farBlocked = false
		g.send(c.cic, UBA)
	case BLA, UBA:
		if c.pendingBlock == BLO && t == BLA || c.pendingBlock == UBL && t == UBA {
			c.pendingBlock = 0
			g.blockTimers.Stop(&c.blockTimer)
		} else if t == BLA && !c.localBlocked { // BLA without BLO: the far end takes the circuit for blocked (2.8.2.3)
			g.send(c.cic, UBL)
		}
	}
}

// ResetAll resets every circuit of the group, as after a restart without saved state. All calls on it are lost.
func (g *Group) ResetAll(now time.Duration) {
	for _, c := range g.circuits {
		g.endCall(c, Event{Kind: Lost, Reset: true})
		g.timerQueue.Stop(&c.timer)
		c.state = resetting
	}
	g.pendingGroupReset, g.groupResetAlarmAt = GRS, now+g.cfg.Timers.T17
	g.sendGroupResets(now)
}

// maxResetRange is the largest number of circuits in one GRS (Q.763, 3.43).
const maxResetRange = 32

// sendGroupResets sends GRS for each range that has a circuit whose group reset is unanswered. A circuit with a running
// timer is being reset by RSC instead.
func (g *Group) sendGroupResets(now time.Duration) {
	waiting := false
	for from := 0; from < len(g.circuits); from += maxResetRange {
		n := min(maxResetRange, len(g.circuits)-from)
		for _, c := range g.circuits[from : from+n] {
			if c.state == resetting && !c.timer.Running() {
				waiting = true
				g.sendRangeReset(g.circuits[from].cic, n)
				break
			}
		}
	}
	if !waiting {
		g.pendingGroupReset = 0
		return
	}
	g.groupResetRepeatAt = now + g.cfg.Timers.T16
	if now >= g.groupResetAlarmAt && len(g.circuits) > 0 {
		g.raiseAlarm(g.circuits[0], "no GRA received in answer to GRS before T23 expired; GRS is repeated")
		g.groupResetRepeatAt = now + g.cfg.Timers.T17
		g.groupResetAlarmAt = g.groupResetRepeatAt
	}
}

func (g *Group) sendRangeReset(from CIC, n int) {
	if n == 1 { // GRS does not allow a range of one circuit
		g.send(from, RSC)
		return
	}
	g.send(from, GRS, Range(n, nil))
}

// receiveGroupMessage handles the messages that refer to a range of circuits.
func (g *Group) receiveGroupMessage(now time.Duration, m *Message) {
	n, status := ParseRange(m)
	if n == 0 {
		g.Stats.Malformed++
		return
	}
	forEach := func(f func(i int, c *circuit)) {
		for i := range n {
			if c := g.findCircuit(m.CIC + CIC(i)); c != nil {
				f(i, c)
			}
		}
	}
	statusSet := func(i int) bool { return i < len(status) && status[i] }
	supervision := Parameter{SupervisionType, m.Param(SupervisionType)}
	switch m.Type {
	case GRS:
		blocked := make([]bool, n)
		forEach(func(i int, c *circuit) {
			g.endCall(c, Event{Kind: Lost, Reset: true})
			g.setIdle(c)
			c.farBlocked = false
			blocked[i] = c.localBlocked
		})
		g.send(m.CIC, GRA, Range(n, blocked))
	case GRA:
		forEach(func(i int, c *circuit) {
			if c.state == resetting && !c.timer.Running() {
				g.setIdle(c)
			}
			c.farBlocked = statusSet(i)
		})
	case CGB, CGU:
		on := m.Type == CGB
		// Calls on the circuits end only if the supervision type is "hardware failure oriented" (1).
		hardwareFailure := len(supervision.Data) > 0 && supervision.Data[0]&3 == 1
		forEach(func(i int, c *circuit) {
			if !statusSet(i) {
				return
			}
			c.farBlocked = on
			if on && hardwareFailure && c.state != idle {
				g.endCall(c, Event{Kind: Lost, Reset: true})
				g.releaseCircuit(now, c, causeTempFail)
			}
		})
		answer := CGUA
		if on {
			answer = CGBA
		}
		g.send(m.CIC, answer, supervision, Range(n, status))
	case CQM:
		states := make([]byte, n)
		forEach(func(i int, c *circuit) { states[i] = c.stateIndicator() })
		for i := range n {
			if g.findCircuit(m.CIC+CIC(i)) == nil {
				states[i] = 0x03 // unequipped
			}
		}
		g.send(m.CIC, CQR, Range(n, nil), Parameter{CircuitState, states})
	}
}

// stateIndicator returns the circuit state indicator (Q.763, 3.14): bits 0 and 1 are blocked by this end and by the
// far end; bits 2 and 3 are 1 for an incoming call, 2 for an outgoing call and 3 for idle.
func (c *circuit) stateIndicator() byte {
	var b byte
	if c.localBlocked {
		b |= 1
	}
	if c.farBlocked {
		b |= 2
	}
	switch {
	case c.state == idle || c.state == resetting:
		return b | 3<<2
	case c.outgoing:
		return b | 2<<2
	}
	return b | 1<<2
}
