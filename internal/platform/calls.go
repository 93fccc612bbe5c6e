package platform

import (
	"cmp"
	"slices"
	"time"

	"pipitring/decide"
	"pipitring/internal/jsonl"
	"pipitring/internal/timers"
)

// call is one call, from its set-up to its release.
type call struct {
	ref         string
	id          decide.CallID // 0 for a call adopted by "at", which was never offered to the decision module
	caller      *caller       // connection of its set-up, or of its latest adoption
	class       int
	key         []byte
	desc        []byte
	deadline    time.Duration // latest time for the final answer
	attempts    int
	sent        bool     // an attempt was sent to a switch
	openAttempt *attempt // the attempt that is sent or waits for a link; nil if none
	timer       timers.Entry[func()]

	standing   bool
	standingAt *switchPeer   // the switch where it stands; nil before
	stoodAt    time.Duration // when it was answered or adopted
	link       *link         // the link of its set-up; nil before, and if it was adopted
}

// isAdopted reports whether the call was set up before this process started and was named by "at".
func (k *call) isAdopted() bool { return k.id == 0 }

// attempt is one set-up of a call to a switch, from the decision module's SetUp to its answer or end.
type attempt struct {
	call      *call
	number    int
	peer      *switchPeer
	link      *link // nil while it waits for a link
	startedAt time.Duration
	deadline  time.Duration // when the attempt times out
	timer     timers.Entry[func()]
}

// offerCall offers a call to the decision module.
func (c *Core) offerCall(p *caller, m *jsonl.Message, o callOffer) {
	c.Stats.Calls++
	c.lastCallID++
	k := &call{ref: m.Ref, id: c.lastCallID, caller: p, class: o.Class, key: o.key, desc: m.Description}
	if c.stoppingSince != 0 {
		o.Patience = min(o.Patience, c.answerDeadline-c.now)
	}
	o.Call, o.Patience = k.id, max(0, o.Patience-answerMargin)
	k.deadline = c.now + o.Patience
	c.calls[k.ref], c.callsByID[k.id] = k, k
	c.openSetUps++
	p.openSetUps++
	c.feed(o.Offer)
}

// concludeSetUp records that a set-up no longer awaits its final answer.
func (c *Core) concludeSetUp(k *call) {
	c.openSetUps--
	k.caller.openSetUps--
	k.caller.lastUsed = c.now
}

// removeCall removes a call that is over.
func (c *Core) removeCall(k *call) {
	c.timerQueue.Stop(&k.timer)
	delete(c.calls, k.ref)
	delete(c.callsByID, k.id)
}

func (c *Core) refuseCall(a decide.Refuse) {
	c.Stats.Refused++
	c.rejectCall(a.Call, jsonl.CauseCongestion, a.RetryAfter)
}

func (c *Core) failCall(id decide.CallID) {
	c.Stats.Failed++
	c.rejectCall(id, jsonl.CauseTemporaryFailure, 0)
}

// rejectCall ends an open call with a rejection as its final answer.
func (c *Core) rejectCall(id decide.CallID, cause int, retryAfter time.Duration) {
	k := c.callsByID[id]
	if k == nil || k.standing {
		return
	}
	c.concludeSetUp(k)
	c.removeCall(k)
	if !k.caller.closed {
		k.caller.sendDown(k.ref, cause, retryAfter)
	}
	if k.openAttempt != nil { // the decision module answers only between attempts; if it ever does not, no attempt may stay open
		c.cancelAttempt(k.openAttempt, decide.Cancelled)
	}
}

// abandonCalls ends open calls that their callers have abandoned.
func (c *Core) abandonCalls(calls []*call) {
	c.Stats.Abandoned += uint64(len(calls))
	c.endOpenCalls(calls)
}

// endOpenCalls ends open calls and sends no final answer. The decision module is notified of all of them before any
// attempt is cancelled; otherwise it could use a freed circuit for a call that is about to end.
func (c *Core) endOpenCalls(calls []*call) {
	c.dropCalls(calls)
	c.cancelAttempts(calls)
}

// dropCalls removes open calls without a final answer. Their attempts stay open; cancelAttempts ends them.
func (c *Core) dropCalls(calls []*call) {
	for _, k := range calls {
		c.concludeSetUp(k)
		c.removeCall(k)
		if k.sent {
			c.withdrawn.add(k.ref, struct{}{}, c.now)
		}
		c.feed(decide.CallerAbandoned{Call: k.id})
	}
}

// cancelAttempts cancels the open attempts of removed calls. An attempt that was open until the call's deadline is
// reported as timed out, because the switch did not respond in time.
func (c *Core) cancelAttempts(calls []*call) {
	for _, k := range calls {
		switch {
		case k.openAttempt == nil:
		case k.openAttempt.link != nil && c.now+clockTolerance >= k.deadline:
			c.cancelAttempt(k.openAttempt, decide.TimedOut)
		default:
			c.cancelAttempt(k.openAttempt, decide.Cancelled)
		}
	}
}

// cancelAttempt withdraws an attempt from its switch and reports the outcome to the decision module.
func (c *Core) cancelAttempt(a *attempt, o decide.Outcome) {
	c.withdrawAttempt(a)
	c.endAttempt(a, o)
}

// openCallsOf returns the calls of a connection that await their final answer, oldest first.
func (c *Core) openCallsOf(p *caller) (calls []*call) {
	if p.openSetUps == 0 {
		return nil
	}
	for _, k := range c.calls {
		if k.caller == p && !k.standing {
			calls = append(calls, k)
		}
	}
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	return calls
}

// startAttempt sends a call's set-up to a switch, or opens a link first. If it cannot be sent, it reports NotSent.
func (c *Core) startAttempt(s decide.SetUp) {
	k, to := c.callsByID[s.Call], c.switches[s.Exchange]
	a := &attempt{call: k, peer: to, startedAt: c.now}
	if k == nil || k.standing || k.openAttempt != nil || to == nil || to.phase != decide.Ready {
		number := 0
		if k != nil {
			number, k.attempts = k.attempts, k.attempts+1
		}
		c.feed(decide.AttemptEnded{Call: s.Call, Attempt: number, Exchange: s.Exchange, Outcome: decide.NotSent,
			Concluded: k == nil || k.standing, Report: decide.NoReport})
		return
	}
	a.number = k.attempts
	k.attempts++
	c.Stats.Attempts++
	k.openAttempt, a.deadline = a, k.deadline
	if s.Timeout > 0 {
		a.deadline = min(a.deadline, c.now+s.Timeout)
	}
	if a.deadline <= c.now {
		c.endAttempt(a, decide.NotSent)
		return
	}
	if l := to.pickLink(); l != nil {
		c.sendSetUp(a, l)
		return
	}
	to.waitingAttempts = append(to.waitingAttempts, a)
	a.timer.Value = func() { c.cancelAttempt(a, decide.Unreachable) } // it was never sent, so no processor has worked on it
	c.timerQueue.Set(&a.timer, min(a.deadline, c.now+c.cfg.connectTimeout()))
	to.connect()
}

// sendSetUp sends a set-up on a link.
func (c *Core) sendSetUp(a *attempt, l *link) {
	k := a.call
	a.link, k.sent = l, true
	l.openAttempts[k.ref] = a
	s := jsonl.SetUp{Ref: k.ref, Class: c.quotedClasses[k.class], Key: k.key, TimeLeft: a.deadline - c.now, Description: k.desc}
	c.write(l.id, s.Append)
	l.expectLine()
	a.timer.Value = func() { c.cancelAttempt(a, decide.TimedOut) }
	c.timerQueue.Set(&a.timer, a.deadline)
}

// withdrawAttempt withdraws an attempt that waits for a link, or cancels it at the switch. If the switch's answer
// crosses the cancellation, the answer is dropped and the switch treats the cancellation as the release of a standing
// call.
func (c *Core) withdrawAttempt(a *attempt) {
	if a.link == nil {
		a.peer.removeWaiting(a)
		return
	}
	if a.link.openAttempts[a.call.ref] == a {
		delete(a.link.openAttempts, a.call.ref)
		a.link.sendDown(a.call.ref, jsonl.CauseNormal)
	}
}

// endAttempt reports the outcome of an attempt that ended without a load report.
func (c *Core) endAttempt(a *attempt, o decide.Outcome) {
	c.endAttemptWith(a, decide.AttemptEnded{Outcome: o, Report: decide.NoReport})
}

// endAttemptWith reports how an attempt ended, unless that was reported before. The call still needs a final answer
// unless it was removed.
func (c *Core) endAttemptWith(a *attempt, e decide.AttemptEnded) {
	k := a.call
	if k.openAttempt != a {
		return
	}
	c.timerQueue.Stop(&a.timer)
	if a.link != nil && a.link.openAttempts[k.ref] == a {
		delete(a.link.openAttempts, k.ref)
	}
	k.openAttempt = nil
	c.Stats.AttemptOutcomes[e.Outcome]++
	e.Call, e.Attempt, e.Exchange, e.Took = k.id, a.number, a.peer.id, c.now-a.startedAt
	e.Concluded = c.callsByID[k.id] == nil
	c.feed(e)
}

// handleAnswer forwards a switch's answer to the caller. The call stands from now on.
func (c *Core) handleAnswer(a *attempt, desc []byte) {
	k := a.call
	c.Stats.Answered++
	c.timerQueue.Stop(&a.timer)
	delete(a.link.openAttempts, k.ref)
	c.concludeSetUp(k)
	k.standing, k.standingAt, k.stoodAt, k.link, k.desc, k.openAttempt = true, a.link.peer, c.now, a.link, nil, nil
	k.standingAt.standingCalls++
	k.caller.standingCalls++
	k.caller.answeredSetUps++
	c.write(k.caller.id, func(b []byte) []byte { return jsonl.AppendUp(b, k.ref, desc) })
	c.feed(decide.AttemptAnswered{Call: k.id, Attempt: a.number, Exchange: a.peer.id, Took: c.now - a.startedAt})
}
