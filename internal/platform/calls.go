package platform

import (
	"cmp"
	"slices"
	"time"

	"pipitring/decide"
	"pipitring/internal/jsonl"
	"pipitring/internal/timers"
)

// call is one call, from its set-up to its end.
type call struct {
	ref      string
	id       decide.CallID // 0 for a call taken over by 'at', which the module was never offered
	from     *caller       // where its set-up came
	class    int
	key      []byte
	desc     []byte
	end      time.Duration // the caller waits no longer
	attempts int
	out      *attempt // that is out, or waits for a connection; nil if none
	timer    timers.Entry[func()]

	standing bool
	at       *far  // where it stands
	on       *link // the connection of its set-up
}

// attempt is one set-up towards a switch.
type attempt struct {
	call  *call
	no    int
	to    *far
	on    *link // nil while it waits for a connection
	began time.Duration
	limit time.Duration // the answer is waited for until then
	timer timers.Entry[func()]
}

// offer hands a call to the module.
func (c *Core) offer(p *caller, m *jsonl.Message, o offer) {
	c.Stats.Calls++
	c.lastCall++
	k := &call{ref: m.Ref, id: c.lastCall, from: p, class: o.Class, key: o.key, desc: m.Desc}
	if c.stopping != 0 {
		o.Patience = min(o.Patience, c.lastAnswers-c.now)
	}
	o.Call, o.Patience = k.id, max(0, o.Patience-overlap)
	k.end = c.now + o.Patience
	c.calls[k.ref], c.byID[k.id] = k, k
	c.open++
	p.open++
	c.feed(o.Offer)
}

// unowe notes that a call is owed no answer any more.
func (c *Core) unowe(k *call) {
	c.open--
	k.from.open--
	k.from.used = c.now
}

// forget drops a call that is over.
func (c *Core) forget(k *call) {
	c.queue.Stop(&k.timer)
	delete(c.calls, k.ref)
	delete(c.byID, k.id)
}

func (c *Core) refuse(a decide.Refuse) {
	c.Stats.Refused++
	c.answerDown(a.Call, jsonl.CauseCongestion, a.RetryAfter)
}

func (c *Core) fail(id decide.CallID) {
	c.Stats.Failed++
	c.answerDown(id, jsonl.CauseTemporaryFailure, 0)
}

// answerDown gives a call its final answer.
func (c *Core) answerDown(id decide.CallID, cause int, wait time.Duration) {
	k := c.byID[id]
	if k == nil || k.standing {
		return
	}
	c.unowe(k)
	c.forget(k)
	if !k.from.ended {
		k.from.down(k.ref, cause, wait)
	}
	if k.out != nil { // the module answers only between attempts; if ever not, none stays out
		c.cancel(k.out, decide.Cancelled)
	}
}

// left takes in that callers wait no longer for their calls.
func (c *Core) left(list []*call) {
	c.Stats.Abandoned += uint64(len(list))
	c.giveUp(list)
}

// giveUp ends calls whose callers wait no longer. The module knows of all of them before any attempt is called off, or what
// one frees would be used for the next.
func (c *Core) giveUp(list []*call) {
	c.dismiss(list)
	c.callOff(list)
}

// dismiss drops calls that are owed no answer any more; attempts may be out still.
func (c *Core) dismiss(list []*call) {
	for _, k := range list {
		c.unowe(k)
		c.forget(k)
		c.feed(decide.CallerAbandoned{Call: k.id})
	}
}

// callOff takes back what is out of calls that were dismissed. An attempt that was waited for to the caller's end has
// timed out, which tells more of the switch.
func (c *Core) callOff(list []*call) {
	for _, k := range list {
		switch {
		case k.out == nil:
		case k.out.on != nil && c.now+clockSlack >= k.end:
			c.cancel(k.out, decide.TimedOut)
		default:
			c.cancel(k.out, decide.Cancelled)
		}
	}
}

// cancel takes an attempt back and tells the module how it ended.
func (c *Core) cancel(a *attempt, o decide.Outcome) {
	c.withdraw(a)
	c.endedAs(a, o)
}

// openOn lists the calls that are owed an answer on a connection, oldest first.
func (c *Core) openOn(p *caller) (list []*call) {
	if p.open == 0 {
		return nil
	}
	for _, k := range c.calls {
		if k.from == p && !k.standing {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	return list
}

// setUp sends a call towards a switch, or tells why it did not leave.
func (c *Core) setUp(s decide.SetUp) {
	k, to := c.byID[s.Call], c.switches[s.Exchange]
	a := &attempt{call: k, to: to, began: c.now}
	if k == nil || k.standing || k.out != nil || to == nil || to.phase != decide.Ready {
		no := 0
		if k != nil {
			no, k.attempts = k.attempts, k.attempts+1
		}
		c.feed(decide.AttemptEnded{Call: s.Call, Attempt: no, Exchange: s.Exchange, Outcome: decide.NotSent,
			Concluded: k == nil || k.standing, Report: decide.NoReport})
		return
	}
	a.no = k.attempts
	k.attempts++
	c.Stats.Attempts++
	k.out, a.limit = a, k.end
	if s.Timeout > 0 {
		a.limit = min(a.limit, c.now+s.Timeout)
	}
	if a.limit <= c.now {
		c.endedAs(a, decide.NotSent)
		return
	}
	if l := to.pick(); l != nil {
		c.send(a, l)
		return
	}
	to.waiting = append(to.waiting, a)
	a.timer.Value = func() { c.cancel(a, decide.Unreachable) } // nothing ran
	c.queue.Set(&a.timer, min(a.limit, c.now+c.cfg.Setup.ConnectTimeout))
	to.connect()
}

// send puts a set-up on a connection.
func (c *Core) send(a *attempt, l *link) {
	k := a.call
	a.on = l
	l.out[k.ref] = a
	s := jsonl.SetUp{Ref: k.ref, Class: c.quoted[k.class], Key: k.key, TimeLeft: a.limit - c.now, Desc: k.desc}
	c.line(l.id, s.Append)
	l.expect()
	a.timer.Value = func() { c.cancel(a, decide.TimedOut) }
	c.queue.Set(&a.timer, a.limit)
}

// withdraw takes an attempt back, wherever it is. An answer that crosses this is dropped: for the switch the give-up
// that it then reads is the release of a call that stands.
func (c *Core) withdraw(a *attempt) {
	if a.on == nil {
		a.to.unwait(a)
		return
	}
	if a.on.out[a.call.ref] == a {
		delete(a.on.out, a.call.ref)
		a.on.down(a.call.ref, jsonl.CauseNormal)
	}
}

// endedAs tells the module how an attempt ended that nothing was reported with.
func (c *Core) endedAs(a *attempt, o decide.Outcome) {
	c.ended(a, decide.AttemptEnded{Outcome: o, Report: decide.NoReport})
}

// ended tells the module how an attempt ended, once. An answer is owed still, unless the call is forgotten.
func (c *Core) ended(a *attempt, e decide.AttemptEnded) {
	k := a.call
	if k.out != a {
		return
	}
	c.queue.Stop(&a.timer)
	if a.on != nil && a.on.out[k.ref] == a {
		delete(a.on.out, k.ref)
	}
	k.out = nil
	c.Stats.AttemptOutcomes[e.Outcome]++
	e.Call, e.Attempt, e.Exchange, e.Took = k.id, a.no, a.to.id, c.now-a.began
	e.Concluded = c.byID[k.id] == nil
	c.feed(e)
}

// answered passes a switch's answer on: the call stands.
func (c *Core) answered(a *attempt, desc []byte) {
	k := a.call
	c.Stats.Answered++
	c.queue.Stop(&a.timer)
	delete(a.on.out, k.ref)
	c.unowe(k)
	k.standing, k.at, k.on, k.desc, k.out = true, a.to, a.on, nil, nil
	a.to.standing++
	k.from.stands++
	k.from.served++
	c.line(k.from.id, func(b []byte) []byte { return jsonl.AppendUp(b, k.ref, desc) })
	c.feed(decide.Standing{Call: k.id, Attempt: a.no, Exchange: a.to.id, Took: c.now - a.began})
}

// over ends a standing call and tells the module.
func (c *Core) over(k *call, o decide.Outcome, r decide.Report) {
	k.at.standing--
	k.from.stands--
	k.from.used = c.now
	c.forget(k)
	if k.id != 0 {
		c.feed(decide.AttemptEnded{Call: k.id, Attempt: k.attempts - 1, Exchange: k.at.id, Outcome: o, Concluded: true, Report: r})
	}
}

// released takes the switch's release of a standing call in and passes it on.
func (c *Core) released(k *call, cause int, r decide.Report) {
	o := decide.Completed
	if cause != jsonl.CauseNormal {
		o = decide.Cut
	}
	c.tellCaller(k, cause)
	c.over(k, o, r)
}

// hangUp passes a caller's release of a standing call on.
func (c *Core) hangUp(k *call, cause int) {
	k.at.release(k, cause)
	c.over(k, decide.Cancelled, decide.NoReport)
}

// adopt takes over a call that stands already, from before this process's start.
func (c *Core) adopt(p *caller, ref string, o offer) {
	c.Stats.Adopted++
	to := c.switches[o.at]
	if e, known := c.early[ref]; known || to == nil {
		delete(c.early, ref)
		if !known {
			e.cause = jsonl.CauseTemporaryFailure
		}
		p.down(ref, e.cause, 0)
		return
	}
	k := &call{ref: ref, from: p, class: o.Class, standing: true, at: to}
	c.calls[ref] = k
	to.standing++
	p.stands++
	k.timer.Value = func() { c.released(k, jsonl.CauseTemporaryFailure, decide.NoReport) }
	c.queue.Set(&k.timer, c.now+adoptedFor)
	to.keepUp()
}
