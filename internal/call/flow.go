package call

import (
	"fmt"
	"slices"
	"time"

	"pipitring/decide"
	"pipitring/internal/trunk"
)

// Offer hands a call to the router. A call that cannot be taken (unknown number, a loop, no circuit on the
// group that it came over, too many calls, a router that closes) gets its Release at once and was never taken.
func (c *Core) Offer(now time.Duration, from Origin, r Request) LegID {
	c.lastLeg++
	in := &leg{id: c.lastLeg, incoming: true, heard: true}
	c.legs[in.id] = in
	class, tenant, dest, known := c.set.Plan.Lookup(r)
	width := c.set.Decide.Classes[class].Width
	over := from.Exchange != Subscriber
	turn := func(cause Cause, text string) LegID {
		c.Stats.Rejected++
		c.out(Output{Kind: Release, Leg: in.id, Cause: cause, Text: text})
		return in.id
	}
	switch {
	case !known:
		return turn(Unallocated, "no exchange serves this number")
	case c.closing:
		return turn(Congestion, "the router is closing")
	case c.shut:
		return turn(Congestion, "no records can be kept now")
	case c.set.MaxCalls > 0 && len(c.calls) >= c.set.MaxCalls:
		return turn(Congestion, "too many calls")
	case over && dest != c.set.Decide.OwnExchange && r.ViaTandem:
		return turn(RoutingError, "passed on twice")
	}
	if over {
		g := c.groups.Group(from.Exchange)
		if g == nil || !g.Admit(width) {
			return turn(NoCircuit, "no circuit on the group")
		}
		in.group, in.width = g, width
	}
	patience := max(0, c.set.Patience[class]-c.set.AnswerMargin)
	c.seq++
	k := &call{id: c.nextCall(), seq: c.seq, request: r, origin: from, class: class, tenant: tenant, dest: dest,
		width: width, transit: over, in: in, offered: now, deadline: now + patience}
	k.tried = k.first[:0]
	k.limit.Value = func(now time.Duration) { c.timeOut(now, k) }
	k.watch.Value = func(now time.Duration) { c.overdue(now, k) }
	in.call = k
	c.calls[k.id] = k
	c.Stats.Offered++
	c.queue.Set(&k.watch, k.deadline+c.set.AnswerMargin/2)
	c.feed(decide.Offer{Call: k.id, Class: class, Tenant: tenant, CalledNumber: numberKey(r.Called),
		Patience: patience, Dest: dest, AdvisedTandem: decide.Unknown, Width: width, Transit: over})
	c.run(now)
	return in.id
}

func (c *Core) nextCall() decide.CallID {
	for {
		c.lastCall++
		if _, used := c.calls[c.lastCall]; !used && c.lastCall != 0 {
			return c.lastCall
		}
	}
}

// setUp sends an attempt. Each gets exactly one Ended: here if it cannot leave, else from attemptOver or
// standingOver.
func (c *Core) setUp(now time.Duration, a decide.SetUp) {
	k := c.calls[a.Call]
	ended := decide.AttemptEnded{Call: a.Call, Exchange: a.Exchange, Outcome: decide.NotSent, Report: decide.NoReport}
	if k == nil || k.stood || k.out != nil {
		c.Stats.ActionFaults++
		ended.Concluded = k == nil || k.stood
		c.feed(ended)
		return
	}
	ended.Attempt = k.attempts
	k.attempts++
	k.last, k.cause = decide.NotSent, 0
	k.tried = append(k.tried, Attempt{Exchange: decide.Unknown, Processor: a.Exchange, Sent: now, Outcome: decide.NotSent})
	try := &k.tried[len(k.tried)-1]
	x := c.list[a.Exchange]
	if x != nil {
		try.Exchange, try.Tandem = x.Number, x.Number != k.dest
	}
	if x == nil || k.attempts > c.set.Decide.MaxAttempts || now >= k.deadline {
		c.feed(ended)
		return
	}
	var g *trunk.Group
	if x.Number != c.set.Decide.OwnExchange {
		g = c.groups.Group(x.Number)
		if g == nil || !g.Seize(k.width) {
			ended.Cause, ended.Report = decide.NoCircuit, c.report(g)
			c.feed(ended)
			return
		}
	} else {
		c.ownUsed += k.width
	}
	c.Stats.Attempts++
	c.lastLeg++
	l := &leg{id: c.lastLeg, call: k, exchange: a.Exchange, group: g, width: k.width, attempt: ended.Attempt,
		tried: len(k.tried) - 1, tandem: try.Tandem, sent: now}
	try.Outcome = 0
	c.legs[l.id] = l
	k.out = l
	limit := k.deadline
	if a.Timeout > 0 {
		limit = min(limit, now+a.Timeout)
	}
	c.queue.Set(&k.limit, limit)
	r := k.request
	r.ViaTandem = k.transit && x.Number != c.set.Decide.OwnExchange
	c.out(Output{Kind: Connect, Leg: l.id, Exchange: a.Exchange, Request: r})
}

// SetBearer tells what carries a leg that was to be set up.
func (c *Core) SetBearer(id LegID, b Bearer) {
	if l := c.legs[id]; l != nil && l.call != nil && !l.incoming {
		l.call.tried[l.tried].Bearer = b
	}
}

// tell notes an attempt's outcome for the record.
func (l *leg) tell(now time.Duration, o decide.Outcome, cause Cause) {
	t := &l.call.tried[l.tried]
	t.Outcome, t.Cause, t.Duration = o, cause, now-l.sent
}

// Acknowledged tells that the far end of a leg has the set-up.
func (c *Core) Acknowledged(now time.Duration, id LegID) {
	if l := c.legs[id]; l != nil {
		l.heard = true
	}
}

// Progressed tells that the far end rings or is proceeding.
func (c *Core) Progressed(now time.Duration, id LegID) {
	l := c.legs[id]
	if l == nil || l.incoming {
		return
	}
	l.heard = true
	if k := l.call; k != nil && k.out == l && !k.stood {
		c.out(Output{Kind: Proceed, Leg: k.in.id})
	}
}

// Answered tells that the far end answered: the call stands. An answer to an attempt that is over is late and
// changes nothing; its release is on the way.
func (c *Core) Answered(now time.Duration, id LegID) {
	l := c.legs[id]
	if l == nil || l.call == nil || l.call.out != l || l.call.stood || l.call.proving {
		return
	}
	k := l.call
	l.heard = true
	c.queue.Stop(&k.limit)
	l.tell(now, decide.Completed, 0)
	k.answered = now
	ticket := c.record(now, k, Record{Kind: AnswerRecord})
	if c.set.DurableTimeout > 0 {
		k.proving = true
		c.hold(now, &held{ticket: ticket, call: k})
		return
	}
	c.stand(now, k)
}

// stand lets the answer through to the caller.
func (c *Core) stand(now time.Duration, k *call) {
	l := k.out
	k.proving, k.stood = false, true
	c.queue.Stop(&k.watch)
	c.out(Output{Kind: Answer, Leg: k.in.id, Other: l.id})
	c.feed(decide.AttemptAnswered{Call: k.id, Attempt: l.attempt, Exchange: l.exchange, Took: k.answered - l.sent})
	if e := k.farEnd; e != nil {
		c.standingOver(now, k, l, e.cause, e.lost)
	}
	c.run(now)
}

// Released tells that the far end of a leg ended it: the caller hung up, or the exchange refused or released
// the call.
func (c *Core) Released(now time.Duration, id LegID, cause Cause) {
	c.legEnded(now, id, farEnd{cause: cause}, func(l *leg) {
		o, why := outcome(cause, l.tandem)
		c.attemptOver(now, l, o, why, cause, 0)
	})
}

// Lost tells that the far end of a leg is gone or knows nothing of it. reset is the latter; without it the
// set-up went unanswered.
func (c *Core) Lost(now time.Duration, id LegID, reset bool) {
	o := decide.TimedOut
	if reset {
		o = decide.Cut
	}
	c.legEnded(now, id, farEnd{OutOfOrder, true}, func(l *leg) { c.attemptOver(now, l, o, decide.CauseUnknown, 0, 0) })
}

// legEnded ends what a leg belongs to; attempt ends a set-up that was not answered.
func (c *Core) legEnded(now time.Duration, id LegID, e farEnd, attempt func(*leg)) {
	l := c.legs[id]
	if l == nil || l.call == nil {
		return
	}
	switch k := l.call; {
	case k.stood:
		c.standingOver(now, k, l, e.cause, e.lost)
	case l.incoming:
		c.callerLeft(now, k, e.cause)
	case !k.proving:
		attempt(l)
	case k.farEnd == nil: // told once its answer has gone out; the first word counts
		k.farEnd = &e
	}
	c.run(now)
}

// Closed tells that nothing of a leg is left at either end: its circuits are free.
func (c *Core) Closed(now time.Duration, id LegID) {
	l := c.legs[id]
	if l == nil {
		return
	}
	if l.call != nil { // the front closed it without saying why
		c.Lost(now, id, true)
	}
	delete(c.legs, id)
	if l.group == nil && !l.incoming {
		c.ownUsed -= l.width
	}
	if l.group != nil {
		if l.incoming {
			l.group.ReleaseIn(l.width)
		} else {
			l.group.ReleaseOut(l.width)
		}
	}
	c.run(now)
}

// timeOut ends the attempt that is out at its limit.
func (c *Core) timeOut(now time.Duration, k *call) {
	if k.out != nil && !k.stood {
		c.attemptOver(now, k.out, decide.TimedOut, decide.CauseUnknown, 0, TimerExpired)
	}
}

// attemptOver ends an attempt that did not stand. release is the cause to end its leg with, 0 if the far end
// has ended it already.
func (c *Core) attemptOver(now time.Duration, l *leg, o decide.Outcome, why decide.Cause, cause, release Cause) {
	k := l.call
	l.tell(now, o, cause)
	c.detach(l, release)
	c.queue.Stop(&k.limit)
	k.last, k.cause = o, cause
	c.feed(decide.AttemptEnded{Call: k.id, Attempt: l.attempt, Exchange: l.exchange, Outcome: o, Cause: why,
		Took: now - l.sent, Report: c.report(l.group)})
}

// detach takes a leg off its call; release is as in attemptOver.
func (c *Core) detach(l *leg, release Cause) {
	k := l.call
	l.call = nil
	if k.out == l {
		k.out = nil
	}
	if release != 0 {
		c.out(Output{Kind: Release, Leg: l.id, Cause: release})
	}
}

// callerLeft ends a call whose caller hung up before any answer.
func (c *Core) callerLeft(now time.Duration, k *call, cause Cause) {
	c.feed(decide.CallerAbandoned{Call: k.id})
	c.cancel(now, k)
	c.detach(k.in, 0)
	known := EndedByCaller
	if cause == OutOfOrder {
		known = EndedByLoss
	}
	c.over(now, k, Abandoned, cause, known)
}

// cancel calls off the attempt that is out, if any; no answer is owed any more.
func (c *Core) cancel(now time.Duration, k *call) {
	l := k.out
	if l == nil {
		return
	}
	l.tell(now, decide.Cancelled, 0)
	c.detach(l, NormalClearing)
	c.feed(decide.AttemptEnded{Call: k.id, Attempt: l.attempt, Exchange: l.exchange, Outcome: decide.Cancelled,
		Took: now - l.sent, Concluded: true, Report: c.report(l.group)})
}

// standingOver ends a call that stood; by is the leg whose far end ended it. A release that is not a normal
// one, or a lost far end, means that the call was cut.
func (c *Core) standingOver(now time.Duration, k *call, by *leg, cause Cause, lost bool) {
	out, end, o := k.out, Answered, decide.Completed
	if lost || cause != NormalClearing && cause != NormalUnspecified && cause != 0 {
		end, o = CutOff, decide.Cut
	}
	other, known := k.in, EndedByFarEnd
	if by == k.in {
		other, known = out, EndedByCaller
	}
	if lost {
		known = EndedByLoss
	}
	k.tried[out.tried].Duration = k.answered - out.sent
	c.detach(by, 0)
	c.detach(other, max(cause, NormalClearing))
	c.feed(decide.AttemptEnded{Call: k.id, Attempt: out.attempt, Exchange: out.exchange, Outcome: o,
		Took: now - out.sent, Concluded: true, Report: c.report(out.group)})
	c.over(now, k, end, cause, known)
}

// finish gives the final answer that the module decided. Whether it is a refusal or a failure is what its cause says:
// that is all that the caller sees.
func (c *Core) finish(now time.Duration, id decide.CallID, stayAway time.Duration) {
	k := c.calls[id]
	if k == nil || k.stood || k.out != nil {
		c.Stats.ActionFaults++
		return
	}
	cause := finalCause(k.last, k.cause)
	if g := c.groups.Group(k.dest); k.attempts == 0 && (k.transit || g != nil && g.Free() < k.width) {
		cause = NoCircuit // a tandem that keeps its last circuits to itself turns back for lack of them
	}
	text := ""
	if stayAway > 0 {
		text = fmt.Sprintf("try again after %d ms", stayAway.Milliseconds())
	}
	end := Failed
	if cause.Refusal() {
		end = Refused
	}
	c.detach(k.in, 0)
	ticket := c.over(now, k, end, cause, EndedByRouter)
	release := Output{Kind: Release, Leg: k.in.id, Cause: cause, Text: text}
	if c.set.DurableTimeout > 0 {
		c.hold(now, &held{ticket: ticket, release: release})
		return
	}
	c.out(release)
}

// overdue answers a call that the module left unanswered, so that the caller is not left waiting.
func (c *Core) overdue(now time.Duration, k *call) {
	if k.stood {
		return
	}
	if k.proving { // the answer is here, only its record is not: the caller's time goes before
		c.Stats.AnsweredNotDurable++
		c.stand(now, k)
		return
	}
	c.Stats.Overdue++
	c.feed(decide.CallerAbandoned{Call: k.id})
	c.cancel(now, k)
	c.detach(k.in, 0)
	c.out(Output{Kind: Release, Leg: k.in.id, Cause: TimerExpired})
	c.over(now, k, Failed, TimerExpired, EndedByTimer)
}

// over takes a finished call off the books; it returns the ticket of its record.
func (c *Core) over(now time.Duration, k *call, end End, cause Cause, known EndSource) uint64 {
	c.queue.Stop(&k.limit)
	c.queue.Stop(&k.watch)
	delete(c.calls, k.id)
	c.Stats.Ends[end]++
	return c.record(now, k, Record{End: end, Cause: cause, EndSource: known})
}

// record fills in what is known of a call and keeps the record for the user.
func (c *Core) record(now time.Duration, k *call, r Record) uint64 {
	c.ticket++
	r.Call, r.CallSeq, r.RecordSeq = k.id, k.seq, c.ticket
	r.Origin, r.Bearer = k.origin.Exchange, k.origin.Bearer
	r.Class, r.Tenant, r.Dest, r.Width, r.Transit = k.class, k.tenant, k.dest, k.width, k.transit
	r.Offered, r.Called, r.Calling, r.User, r.Context = k.offered, k.request.Called, k.request.Calling, k.request.User, k.request.Context
	r.Attempts = k.tried
	if r.Kind == AnswerRecord {
		r.Attempts = slices.Clone(k.tried) // the call goes on
	}
	if k.stood || r.Kind == AnswerRecord {
		r.SetupTime, r.Duration = k.answered-k.offered, now-k.answered
	}
	c.Records = append(c.Records, r)
	return c.ticket
}
