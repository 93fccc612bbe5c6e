package isup

import "time"

// Receive takes one message of the far end.
func (g *Group) Receive(now time.Duration, b []byte) {
	g.Stats.In++
	m := &g.msg
	err := Parse(b, m)
	c := g.find(m.CIC)
	switch {
	case err == ErrUnknown: // Q.764, 2.9.5.2: not understood, told by CFN
		g.Stats.Unknown++
		if c != nil {
			g.send(m.CIC, CFN, Cause(causeNoType))
		}
		return
	case err != nil:
		g.Stats.Malformed++
		return
	case m.Type == GRS, m.Type == GRA, m.Type == CGB, m.Type == CGU, m.Type == CGBA, m.Type == CGUA, m.Type == CQM:
		g.receiveGroup(now, m)
		return
	case c == nil:
		g.Stats.Unequipped++
		if m.Type != UCIC { // 2.12: a circuit that this end lacks
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
	case CCR, COT: // continuity checks are not done on these circuits (7.1)
		g.send(c.cic, CFN, Cause(causeNoType))
	case SUS, RES, CFN:
	}
}

// receiveIAM offers a call. On a circuit that we have seized as well the end that does not control it gives way.
func (g *Group) receiveIAM(now time.Duration, c *circuit, m *Message) {
	switch c.state {
	case idle:
	case waitACM:
		g.Stats.Glares++
		if g.controls(c) {
			return // the far end's call gives way: its IAM is disregarded (2.9.1.4)
		}
		g.queue.Stop(&c.timer)
		g.end(c, Event{Kind: Glare})
		g.clear(c)
	default:
		return // the same IAM again, or one that a release of ours is on the way to meet
	}
	r := Request{Hops: -1}
	var ok bool
	if r.Called, ok = ParseNumber(m.Param(CalledNumber)); !ok || r.Called == "" {
		c.state = offered
		g.release(now, c, causeProtocol)
		return
	}
	r.Calling, _ = ParseNumber(m.Param(CallingNumber))
	if h := m.Param(HopCounter); len(h) > 0 {
		r.Hops = int(h[0] & 0x1f)
	}
	if u := m.Param(UserToUser); len(u) > 1 {
		r.User = string(u[1:])
	}
	c.farBlk = false // an IAM on a circuit that its end had blocked ends the blocking (2.8.2.1)
	c.state, c.outgoing, c.call = offered, false, &Call{c: c}
	if c.localBlk { // we blocked it, and the far end seems not to know
		g.send(c.cic, BLO)
	}
	g.emit(Event{Kind: Offered, Call: c.call, CIC: c.cic, Request: r})
}

// receiveBackward takes what the called end says of a call that we sent. Out of turn it means that the ends differ,
// and an idle circuit is reset (2.9.5.1).
func (g *Group) receiveBackward(now time.Duration, c *circuit, m *Message) {
	switch {
	case c.state == idle:
		g.reset(now, c)
	case !c.outgoing || c.state != waitACM && c.state != waitANM:
	case m.Type == ANM || m.Type == CON:
		c.state = up
		g.queue.Stop(&c.timer)
		g.emit(Event{Kind: Answered, Call: c.call, CIC: c.cic})
	case c.state == waitACM && m.Type == ACM:
		c.state = waitANM
		g.queue.Set(&c.timer, now+g.cfg.Timers.T9)
		g.emit(Event{Kind: Accepted, Call: c.call, CIC: c.cic})
	}
}

// receiveREL answers RLC in every state; one that crosses ours ends the circuit's call, and our REL is answered by
// the far end in turn.
func (g *Group) receiveREL(now time.Duration, c *circuit, m *Message) {
	g.send(c.cic, RLC)
	switch c.state {
	case idle, resetting:
	case releasing: // both at once (2.3.1): the circuit is free when RLC has come
	default:
		g.end(c, Event{Kind: Released, Cause: ParseCause(m)})
		g.clear(c)
	}
}

func (g *Group) receiveRLC(now time.Duration, c *circuit) {
	switch c.state {
	case releasing, resetting:
		g.clear(c)
	case idle: // a late repeat
	default: // not asked for: the ends differ (2.9.5.1 c)
		g.end(c, Event{Kind: Lost, Reset: true})
		g.release(now, c, causeTempFail)
	}
}

// receiveRSC frees the circuit at once (2.9.3.1). A blocking of ours is told anew, since the far end has lost it.
func (g *Group) receiveRSC(now time.Duration, c *circuit) {
	g.restart(c)
	g.send(c.cic, RLC)
}

func (g *Group) restart(c *circuit) {
	g.end(c, Event{Kind: Lost, Reset: true})
	g.clear(c)
	c.farBlk = false
	if c.localBlk {
		g.send(c.cic, BLO)
	}
}

func (g *Group) receiveUCIC(c *circuit) {
	if c.state == waitACM { // 2.12: the call is tried on another circuit, this one is taken out
		g.end(c, Event{Kind: Lost, Reset: true})
		g.clear(c)
	}
	c.farBlk = true
	g.alarm(c, "the far end has no such circuit (UCIC)")
}

// Block takes a circuit out of service for new calls; a call on it goes on (2.8.2).
func (g *Group) Block(now time.Duration, cic CIC, on bool) {
	c := g.find(cic)
	if c == nil || c.localBlk == on && c.blkAsk == 0 {
		return
	}
	c.localBlk, c.blkAsk = on, UBL
	if on {
		c.blkAsk = BLO
	}
	c.blkUntil = now + g.cfg.Timers.T13
	g.send(cic, c.blkAsk)
	g.blocks.Set(&c.blkTimer, now+g.cfg.Timers.T12)
}

func (g *Group) blockDue(now time.Duration, c *circuit) {
	again := g.cfg.Timers.T12
	if now >= c.blkUntil {
		g.alarm(c, "no answer to "+c.blkAsk.String()+" (T13, T15)")
		again = g.cfg.Timers.T13
	}
	g.Stats.Repeats++
	g.send(c.cic, c.blkAsk)
	g.blocks.Set(&c.blkTimer, now+again)
}

func (g *Group) receiveBlocking(c *circuit, t Type) {
	switch t {
	case BLO:
		c.farBlk = true
		g.send(c.cic, BLA)
	case UBL:
		c.farBlk = false
		g.send(c.cic, UBA)
	case BLA, UBA:
		if c.blkAsk == BLO && t == BLA || c.blkAsk == UBL && t == UBA {
			c.blkAsk = 0
			g.blocks.Stop(&c.blkTimer)
		} else if t == BLA && !c.localBlk { // 2.8.2.3: not asked for
			g.send(c.cic, UBL)
		}
	}
}

// ResetAll resets the whole group, as after a start without memory: calls on it are lost.
func (g *Group) ResetAll(now time.Duration) {
	for _, c := range g.circuits {
		g.end(c, Event{Kind: Lost, Reset: true})
		g.queue.Stop(&c.timer)
		c.state = resetting
	}
	g.groupAsk, g.groupEnd = GRS, now+g.cfg.Timers.T17
	g.askGroup(now)
}

// spanLimit is the most circuits that one GRS may name (Q.763, 3.43).
const spanLimit = 32

// askGroup sends GRS for the circuits that still wait for their answer.
func (g *Group) askGroup(now time.Duration) {
	waiting := false
	for from := 0; from < len(g.circuits); from += spanLimit {
		n := min(spanLimit, len(g.circuits)-from)
		for _, c := range g.circuits[from : from+n] {
			if c.state == resetting && !c.timer.Running() {
				waiting = true
				g.sendReset(g.circuits[from].cic, n)
				break
			}
		}
	}
	if !waiting {
		g.groupAsk = 0
		return
	}
	g.groupAt = now + g.cfg.Timers.T16
	if now >= g.groupEnd && len(g.circuits) > 0 {
		g.alarm(g.circuits[0], "no answer to GRS (T23)")
		g.groupAt = now + g.cfg.Timers.T17
		g.groupEnd = g.groupAt
	}
}

func (g *Group) sendReset(from CIC, n int) {
	if n == 1 { // a range of one is not allowed in GRS
		g.send(from, RSC)
		return
	}
	g.send(from, GRS, Range(n, nil))
}

// receiveGroup takes the messages that name a range of circuits.
func (g *Group) receiveGroup(now time.Duration, m *Message) {
	n, status := ParseRange(m)
	if n == 0 {
		g.Stats.Malformed++
		return
	}
	each := func(f func(i int, c *circuit)) {
		for i := range n {
			if c := g.find(m.CIC + CIC(i)); c != nil {
				f(i, c)
			}
		}
	}
	named := func(i int) bool { return i < len(status) && status[i] }
	kind := Parameter{SupervisionType, m.Param(SupervisionType)}
	switch m.Type {
	case GRS:
		blocked := make([]bool, n)
		each(func(i int, c *circuit) {
			g.end(c, Event{Kind: Lost, Reset: true})
			g.clear(c)
			c.farBlk = false
			blocked[i] = c.localBlk
		})
		g.send(m.CIC, GRA, Range(n, blocked))
	case GRA:
		each(func(i int, c *circuit) {
			if c.state == resetting && !c.timer.Running() {
				g.clear(c)
			}
			c.farBlk = named(i)
		})
	case CGB, CGU:
		on := m.Type == CGB
		hard := len(kind.Data) > 0 && kind.Data[0]&3 == 1 // hardware failure: calls on it are over
		each(func(i int, c *circuit) {
			if !named(i) {
				return
			}
			c.farBlk = on
			if on && hard && c.state != idle {
				g.end(c, Event{Kind: Lost, Reset: true})
				g.release(now, c, causeTempFail)
			}
		})
		answer := CGUA
		if on {
			answer = CGBA
		}
		g.send(m.CIC, answer, kind, Range(n, status))
	case CQM:
		states := make([]byte, n)
		each(func(i int, c *circuit) { states[i] = c.report() })
		for i := range n {
			if g.find(m.CIC+CIC(i)) == nil {
				states[i] = 0x03 // unequipped
			}
		}
		g.send(m.CIC, CQR, Range(n, nil), Parameter{CircuitState, states})
	}
}

// report is the circuit state indicator (Q.763, 3.14).
func (c *circuit) report() byte {
	var b byte
	if c.localBlk {
		b |= 1
	}
	if c.farBlk {
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
