package platform

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
)

// Bounds of callers' connections.
const (
	speakWithin = 2 * time.Second        // one that asked for nothing after this is closed,
	speakSoon   = 300 * time.Millisecond // one that comes to ask does so by then, mostly
	idleFor     = 10 * time.Second       // and one that has had no set-up open for this long
)

// caller is a connection from callers.
type caller struct {
	core   *Core
	id     ConnID
	lines  jsonl.LineSplitter
	opened time.Duration
	used   time.Duration // last time a set-up was open on it
	asked  bool          // has sent something good
	open   int           // set-ups owed an answer
	stands int           // calls that stand, whose set-up came on it
	served int           // set-ups that were answered
	gone   bool          // it has ended, though bytes from it are still to be read
	ended  bool

	got    []parsed // read and not yet acted upon
	gotErr error    // what follows it cannot be read
}

// Accept takes a connection from a caller; the runtime hands on what it brings under the handle. Over the budget of
// descriptors the one that has been silent longest gives way.
func (c *Core) Accept(now time.Duration) ConnID {
	c.tell(now)
	c.lastConn++
	p := &caller{core: c, id: c.lastConn, opened: c.now, used: c.now}
	c.callers[p.id] = p
	if len(c.callers) > c.cfg.budget(len(c.switches)) {
		c.Stats.EvictedCallers++
		c.leastUsed().end(false)
	}
	return p.id
}

// EvictCaller ends the caller's connection whose loss costs least, if it bears no call: descriptors have run out.
func (c *Core) EvictCaller(now time.Duration) {
	c.tell(now)
	c.makeRoom()
}

func (c *Core) makeRoom() bool {
	p := c.leastUsed()
	if p == nil || p.open > 0 || p.stands > 0 {
		return false
	}
	c.Stats.EvictedCallers++
	p.end(false)
	return true
}

// descriptors is the number that may be in use now.
func (c *Core) descriptors() int { return ownSockets + len(c.links) + len(c.callers) }

// shareRoom ends callers' connections over the budget, which shrinks as the list grows, as far as they bear no call.
func (c *Core) shareRoom() {
	for len(c.callers) > c.cfg.budget(len(c.switches)) && c.makeRoom() {
	}
}

// leastUsed is the connection whose loss costs least: one that has been silent since it came, else one without a call
// that is open or stands, longest unused first, else the newest. A release finds its way without the connection of its
// set-up only if the callers' other ones can be told from strangers'.
func (c *Core) leastUsed() *caller {
	var best *caller
	rank := func(p *caller) int {
		switch {
		case p.open > 0 || p.stands > 0:
			return 2
		case p.asked || c.now-p.opened < speakSoon:
			return 1
		}
		return 0
	}
	for _, p := range c.callers {
		switch {
		case best == nil, rank(p) < rank(best):
			best = p
		case rank(p) > rank(best):
		case rank(p) == 2 && p.id > best.id, rank(p) < 2 && (p.used < best.used || p.used == best.used && p.id < best.id):
			best = p
		}
	}
	return best
}

// watchCallers closes connections of no use: too little said, or nothing open for long.
func (c *Core) watchCallers() {
	var gone []*caller
	for _, p := range c.callers {
		limit := idleFor
		if !p.asked || p.lines.Partial() {
			limit = speakWithin
		}
		if p.open == 0 && p.stands == 0 && c.now-p.used > limit {
			gone = append(gone, p)
		}
	}
	for _, p := range inOrder(gone) {
		p.end(true)
	}
}

// inOrder sorts connections by age, so that two runs agree.
func inOrder(list []*caller) []*caller {
	slices.SortFunc(list, func(a, b *caller) int { return cmp.Compare(a.id, b.id) })
	return list
}

func (c *Core) callersInOrder() []*caller { return inOrder(slices.Collect(maps.Values(c.callers))) }

// end closes a caller's connection; set-ups that are open on it get their final answer before.
func (p *caller) end(gently bool) {
	if p.ended {
		return
	}
	p.ended = true
	p.answerAll()
	delete(p.core.callers, p.id)
	p.core.close(p.id, gently)
}

// answerAll gives up the set-ups that are open on a connection and answers them: what never left is refused, the rest has
// failed.
func (p *caller) answerAll() {
	open := p.core.openOn(p)
	p.core.giveUp(open)
	for _, k := range open {
		if k.attempts == 0 {
			p.core.Stats.Refused++
			p.down(k.ref, jsonl.CauseCongestion, p.core.stayAway())
		} else {
			p.core.Stats.Failed++
			p.down(k.ref, jsonl.CauseTemporaryFailure, 0)
		}
	}
}

func (p *caller) down(ref string, cause int, wait time.Duration) {
	p.core.line(p.id, func(b []byte) []byte { return jsonl.AppendDown(b, ref, cause, wait) })
}

// parsed is one line.
type parsed struct {
	jsonl.Message
	err error
}

// takeIn reads bytes; act does what they ask for.
func (p *caller) takeIn(b []byte) {
	err := p.lines.Push(b, func(line []byte) bool {
		m, err := jsonl.Parse(line)
		p.got = append(p.got, parsed{m, err})
		return err == nil
	})
	p.gotErr = cmp.Or(p.gotErr, err)
}

// act does what was read together: a set-up that is given up further on in it is never begun.
func (p *caller) act() {
	got, err := p.got, p.gotErr
	p.got, p.gotErr = nil, nil
	givenUp := map[string]int{} // where the last give-up of a reference stands
	for i := range got {
		if got[i].Type == jsonl.TypeDown {
			givenUp[got[i].Ref] = i
		}
	}
	for i := range got {
		if p.message(&got[i], givenUp[got[i].Ref] > i); p.ended {
			return
		}
	}
	if err != nil {
		p.bad("")
	}
}

// bad answers what cannot be used with a failure, where it names a call, and ends the connection.
func (p *caller) bad(ref string) {
	p.core.Stats.CallerErrors++
	if ref != "" {
		p.down(ref, jsonl.CauseTemporaryFailure, 0)
	}
	p.end(true)
}

func (p *caller) message(m *parsed, givenUp bool) {
	if m.err != nil {
		ref := m.Ref
		if k := p.core.calls[ref]; k != nil && k.from == p {
			ref = "" // it gets its one answer when the connection ends
		}
		p.bad(ref)
		return
	}
	switch m.Type {
	case jsonl.TypeNew:
		p.setUp(&m.Message, givenUp)
	case jsonl.TypeDown:
		p.release(&m.Message)
	case jsonl.TypeHeartbeat:
		p.asked, p.used = true, p.core.now
		p.core.line(p.id, func(b []byte) []byte { return jsonl.AppendHeartbeatOK(b, m.Ref, p.core.Ready()) })
	case jsonl.TypeAck, jsonl.TypeWait, jsonl.TypeHeartbeatOK:
	default:
		p.bad(m.Ref)
	}
}

// offer is what a caller's set-up says.
type offer struct {
	decide.Offer
	at   decide.ExchangeID // a call that stands there already
	isAt bool
	key  []byte // as a JSON string; nil is none
}

const (
	mostLeft = int64(24 * time.Hour / time.Millisecond)
	mostDest = 1<<16 - 1
	// A line to a switch holds less than the caller's did but for escapes in names; a description over this could
	// pass the limit.
	mostDesc = jsonl.MaxLine - 512
)

// read checks a set-up's fields. Nothing that a switch could not read gets past it.
func (p *caller) read(m *jsonl.Message) (o offer, ok bool) {
	class, known := p.core.classes[m.Fields["class"]]
	left, good := m.IntField("left", 0, mostLeft)
	if !known || !good || len(m.Desc) > mostDesc {
		return o, false
	}
	o.Class, o.Patience = class, time.Duration(left)*time.Millisecond
	// A call without a tenant is nobody's; one of a tenant that the settings do not have is a mistake.
	o.Tenant = decide.Unknown
	if tenants := p.core.cfg.Setup.TenantNames; len(tenants) > 0 && m.Fields["tenant"] != "" {
		if o.Tenant = slices.Index(tenants, m.Fields["tenant"]); o.Tenant < 0 {
			return o, false
		}
	}
	o.Dest, o.Width, o.AdvisedTandem = decide.Unknown, p.core.cfg.Setup.Settings.Classes[class].Width, decide.Unknown
	if key, has := m.Fields["key"]; has {
		n, err := strconv.ParseUint(key, 16, 64)
		if err != nil || !jsonl.IsHex(key) {
			return o, false
		}
		o.CalledNumber, o.key = n, jsonl.Quote(key)
	}
	if r, has := m.Fields["retry"]; has && r != "0" {
		if r != "1" {
			return o, false
		}
		o.Redial = true
	}
	if !o.extras(m.Fields["extras"]) || m.Desc == nil && !o.isAt {
		return o, false
	}
	return o, true
}

// extras reads figures in the form of dest:2;width:1;via:-1. Unknown names are ignored.
func (o *offer) extras(text string) bool {
	via := decide.Unknown
	for name, value := range pairs(text) {
		if name == "at" {
			id, err := coordinator.ParseID(value)
			if err != nil {
				return false
			}
			o.at, o.isAt = decide.ExchangeID(id), true
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || n != float64(int(n)) || n < -1 || n > mostDest {
			return false
		}
		switch name {
		case "dest":
			o.Dest = int(n)
		case "width":
			if n < 1 {
				return false
			}
			o.Width = int(n)
		case "via":
			via = int(n)
		case "transit":
			o.Transit = n == 1
		case "again":
			o.WasCut = n == 1
		}
	}
	if !o.Transit {
		o.AdvisedTandem = via // in transit it is where the call comes from
	}
	return o.Dest >= 0 || o.isAt
}

// setUp takes a set-up; the caller may have given it up by now.
func (p *caller) setUp(m *jsonl.Message, givenUp bool) {
	c := p.core
	o, ok := p.read(m)
	if k := c.calls[m.Ref]; k != nil {
		switch {
		case ok && o.isAt: // named again: it is held already
			if k.standing {
				k.from.stands--
				k.from = p
				p.stands++
			}
		case k.from == p && !k.standing:
			// Both set-ups bear one reference, so one answer is all that can be told: the first call is given up
			// and the failure ends them both.
			p.bad("")
		default:
			p.bad(m.Ref)
		}
		return
	}
	if !ok {
		c.Stats.CallerErrors++
		p.down(m.Ref, jsonl.CauseTemporaryFailure, 0)
		return
	}
	if o.isAt {
		c.adopt(p, m.Ref, o)
		return
	}
	p.asked, p.used = true, c.now
	if givenUp || p.gone { // nobody waits for it any more
		c.Stats.Abandoned++
		return
	}
	c.sendHomeless(p)
	if most := c.cfg.Setup.MaxOpenCalls; most > 0 && c.open >= most || c.isClosing() {
		c.Stats.Refused++
		p.down(m.Ref, jsonl.CauseCongestion, c.stayAway())
		return
	}
	c.offer(p, m, o)
}

// stayAway is the time that a caller is told to stay away where the settings allow it.
func (c *Core) stayAway() time.Duration {
	if s := c.cfg.Setup.Settings; s.SendRetryAfter {
		return c.jitter(s.MaxRetryAfter)
	}
	return 0
}

// release ends what a caller names: an open set-up, which only its own connection may give up, or a standing call.
func (p *caller) release(m *jsonl.Message) {
	k := p.core.calls[m.Ref]
	switch {
	case k == nil:
	case k.standing:
		p.asked, p.used = true, p.core.now
		p.core.hangUp(k, m.Cause)
	case k.from == p:
		p.core.left([]*call{k})
	}
}

// lost takes in that a caller's connection has ended: set-ups open on it are given up, standing calls are not.
func (p *caller) lost() {
	if p.ended {
		return
	}
	p.ended, p.gone = true, true
	delete(p.core.callers, p.id)
	p.core.left(p.core.openOn(p))
}

// tellCaller sends a line about a standing call: on its own connection, else on the one that callers use most, else on
// the next that asks for something.
func (c *Core) tellCaller(k *call, cause int) {
	to := k.from
	if to.ended || to.gone {
		to = c.mostServed()
	}
	if to != nil {
		to.down(k.ref, cause, 0)
		return
	}
	line := string(jsonl.AppendDown(nil, k.ref, cause, 0))
	c.homeless = append(c.homeless, line)
	c.after(releaseFor, func() {
		if len(c.homeless) > 0 && c.homeless[0] == line {
			c.homeless = c.homeless[1:]
		}
	})
}

// mostServed is the connection on which most set-ups were answered: strangers have none. Else it is any that has asked
// for something.
func (c *Core) mostServed() (best *caller) {
	for _, p := range c.callers {
		if p.asked && !p.gone && (best == nil || p.served > best.served || p.served == best.served && p.id > best.id) {
			best = p
		}
	}
	return best
}

func (c *Core) sendHomeless(p *caller) {
	if len(c.homeless) == 0 {
		return
	}
	c.line(p.id, func(b []byte) []byte {
		for _, l := range c.homeless {
			b = append(b, l...)
		}
		return b
	})
	c.homeless = nil
}
