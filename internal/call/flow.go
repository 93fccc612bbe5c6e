package call

import (
	"fmt"
	"slices"
	"time"

	"pipitring/decide"
	"pipitring/internal/trunk"
)

// Offer hands an incoming call to the router and returns its leg. A call that cannot be accepted (unknown
// number, routing loop, no circuit on its trunk group, too many calls, router closing or suspended) is released
// at once and leaves no record.
func (c *Core) Offer(now time.Duration, from Origin, r Request) LegID {
	c.lastLeg++
	in := &leg{id: c.lastLeg, incoming: true, acknowledged: true}
	c.legs[in.id] = in
	class, tenant, dest, known := c.settings.Plan.Lookup(r)
	width := c.settings.Decide.Classes[class].Width
	overTrunk := from.Exchange != Subscriber
	reject := func(cause Cause, text string) LegID {
		c.Stats.Rejected++
		c.emit(Output{Kind: Release, Leg: in.id, Cause: cause, Text: text})
		return in.id
	}
	switch {
	case !known:
		return reject(Unallocated, "no exchange serves this number")
	case c.closing:
		return reject(Congestion, "the router is closing")
	case c.suspended:
		return reject(Congestion, "no records can be kept now")
	case c.settings.MaxCalls > 0 && len(c.calls) >= c.settings.MaxCalls:
		return reject(Congestion, "too many calls")
	case overTrunk && dest != c.settings.Decide.OwnExchange && r.ViaTandem:
		return reject(RoutingError, "passed on twice")
	}
	if overTrunk {
		g := c.groups.Group(from.Exchange)
		if g == nil || !g.Admit(width) {
			return reject(NoCircuit, "no circuit on the group")
		}
		in.group, in.width = g, width
	}
	patience := max(0, c.settings.Patience[class]-c.settings.AnswerMargin)
	c.lastCallSeq++
	k := &call{id: c.nextCallID(), seq: c.lastCallSeq, request: r, origin: from, class: class, tenant: tenant, dest: dest,
		width: width, transit: overTrunk, inLeg: in, offered: now, deadline: now + patience}
	k.attemptRecords = k.firstAttempt[:0]
	k.attemptTimer.Value = func(now time.Duration) { c.timeOutAttempt(now, k) }
	k.watchdog.Value = func(now time.Duration) { c.answerOverdue(now, k) }
	in.call = k
	c.calls[k.id] = k
	c.Stats.Offered++
	c.timerQueue.Set(&k.watchdog, k.deadline+c.settings.AnswerMargin/2)
	c.addEvent(decide.Offer{Call: k.id, Class: class, Tenant: tenant, CalledNumber: calledNumberKey(r.Called),
		Patience: patience, Dest: dest, AdvisedTandem: decide.Unknown, Width: width, Transit: overTrunk})
	c.processEvents(now)
	return in.id
}

func (c *Core) nextCallID() decide.CallID {
	for {
		c.lastCall++
		if _, used := c.calls[c.lastCall]; !used && c.lastCall != 0 {
			return c.lastCall
		}
	}
}

// setUp starts an attempt. Each attempt produces exactly one AttemptEnded event: from setUp if it cannot be
// sent, otherwise from endAttempt, cancelAttempt or endStandingCall.
func (c *Core) setUp(now time.Duration, a decide.SetUp) {
	k := c.calls[a.Call]
	ended := decide.AttemptEnded{Call: a.Call, Exchange: a.Exchange, Outcome: decide.NotSent, Report: decide.NoReport}
	if k == nil || k.standing || k.outLeg != nil {
		c.Stats.ActionFaults++
		ended.Concluded = k == nil || k.standing
		c.addEvent(ended)
		return
	}
	ended.Attempt = k.attempts
	k.attempts++
	k.lastOutcome, k.lastCause = decide.NotSent, 0
	k.attemptRecords = append(k.attemptRecords, Attempt{Exchange: decide.Unknown, Processor: a.Exchange, Sent: now,
		Outcome: decide.NotSent})
	record := &k.attemptRecords[len(k.attemptRecords)-1]
	p := c.processors[a.Exchange]
	if p != nil {
		record.Exchange, record.Tandem = p.Number, p.Number != k.dest
	}
	if p == nil || k.attempts > c.settings.Decide.MaxAttempts || now >= k.deadline {
		c.addEvent(ended)
		return
	}
	var g *trunk.Group
	if p.Number != c.settings.Decide.OwnExchange {
		g = c.groups.Group(p.Number)
		if g == nil || !g.Seize(k.width) {
			ended.Cause, ended.Report = decide.NoCircuit, c.circuitReport(g)
			c.addEvent(ended)
			return
		}
	} else {
		c.ownInUse += k.width
	}
	c.Stats.Attempts++
	c.lastLeg++
	l := &leg{id: c.lastLeg, call: k, processor: a.Exchange, group: g, width: k.width, attempt: ended.Attempt,
		recordIndex: len(k.attemptRecords) - 1, tandem: record.Tandem, sentAt: now}
	record.Outcome = 0
	c.legs[l.id] = l
	k.outLeg = l
	limit := k.deadline
	if a.Timeout > 0 {
		limit = min(limit, now+a.Timeout)
	}
	c.timerQueue.Set(&k.attemptTimer, limit)
	r := k.request
	r.ViaTandem = k.transit && p.Number != c.settings.Decide.OwnExchange
	c.emit(Output{Kind: Connect, Leg: l.id, Exchange: a.Exchange, Request: r})
}

// SetBearer stores the bearer of an outgoing leg in the record of its attempt.
func (c *Core) SetBearer(id LegID, b Bearer) {
	if l := c.legs[id]; l != nil && l.call != nil && !l.incoming {
		l.call.attemptRecords[l.recordIndex].Bearer = b
	}
}

// recordOutcome stores the outcome of the leg's attempt in the call's attempt records.
func (l *leg) recordOutcome(now time.Duration, o decide.Outcome, cause Cause) {
	attempt := &l.call.attemptRecords[l.recordIndex]
	attempt.Outcome, attempt.Cause, attempt.Duration = o, cause, now-l.sentAt
}

// Acknowledged reports that the far end of a leg has received the set-up. An acknowledged set-up is not withdrawn
// when its processor is drained.
func (c *Core) Acknowledged(now time.Duration, id LegID) {
	if l := c.legs[id]; l != nil {
		l.acknowledged = true
	}
}

// Progressed reports that the far end of an outgoing leg is alerting the called party or sent a progress
// indication. It emits Proceed for the caller unless the call is standing.
func (c *Core) Progressed(now time.Duration, id LegID) {
	l := c.legs[id]
	if l == nil || l.incoming {
		return
	}
	l.acknowledged = true
	if k := l.call; k != nil && k.outLeg == l && !k.standing {
		c.emit(Output{Kind: Proceed, Leg: k.inLeg.id})
	}
}

// Answered reports that the far end of a leg answered. An answer to an attempt that has already ended is
// ignored, since the release of its leg has been sent.
func (c *Core) Answered(now time.Duration, id LegID) {
	l := c.legs[id]
	if l == nil || l.call == nil || l.call.outLeg != l || l.call.standing || l.call.awaitingRecord {
		return
	}
	k := l.call
	l.acknowledged = true
	c.timerQueue.Stop(&k.attemptTimer)
	l.recordOutcome(now, decide.Completed, 0)
	k.answered = now
	recordSeq := c.addRecord(now, k, Record{Kind: AnswerRecord})
	if c.settings.DurableTimeout > 0 {
		k.awaitingRecord = true
		c.deferAnswer(now, &deferredAnswer{recordSeq: recordSeq, call: k})
		return
	}
	c.completeAnswer(now, k)
}

// completeAnswer sends the answer to the caller. If the far end released the call while the answer was delayed, the
// release follows the answer.
func (c *Core) completeAnswer(now time.Duration, k *call) {
	l := k.outLeg
	k.awaitingRecord, k.standing = false, true
	c.timerQueue.Stop(&k.watchdog)
	c.emit(Output{Kind: Answer, Leg: k.inLeg.id, Other: l.id})
	c.addEvent(decide.AttemptAnswered{Call: k.id, Attempt: l.attempt, Exchange: l.processor, Took: k.answered - l.sentAt})
	if e := k.earlyEnd; e != nil {
		c.endStandingCall(now, k, l, e.cause, e.lost)
	}
	c.processEvents(now)
}

// Released reports that the far end of a leg ended it: the caller hung up, or the exchange rejected or released
// the call.
func (c *Core) Released(now time.Duration, id LegID, cause Cause) {
	c.legEnded(now, id, legEnd{cause: cause}, func(l *leg) {
		o, reason := releaseOutcome(cause, l.tandem)
		c.endAttempt(now, l, o, reason, cause, 0)
	})
}

// Lost reports that the far end of a leg is unreachable or, if reset is set, that it has no state of the leg.
func (c *Core) Lost(now time.Duration, id LegID, reset bool) {
	o := decide.TimedOut
	if reset {
		o = decide.Cut
	}
	c.legEnded(now, id, legEnd{OutOfOrder, true}, func(l *leg) { c.endAttempt(now, l, o, decide.CauseUnknown, 0, 0) })
}

// legEnded ends the call or the attempt that a leg belongs to. endSetUp is called for a set-up that was not
// answered.
func (c *Core) legEnded(now time.Duration, id LegID, e legEnd, endSetUp func(*leg)) {
	l := c.legs[id]
	if l == nil || l.call == nil {
		return
	}
	switch k := l.call; {
	case k.standing:
		c.endStandingCall(now, k, l, e.cause, e.lost)
	case l.incoming:
		c.abandonCall(now, k, e.cause)
	case !k.awaitingRecord:
		endSetUp(l)
	case k.earlyEnd == nil: // handled by completeAnswer; later events are ignored
		k.earlyEnd = &e
	}
	c.processEvents(now)
}

// Closed reports that neither end has state of a leg any more. It frees the leg's circuits.
func (c *Core) Closed(now time.Duration, id LegID) {
	l := c.legs[id]
	if l == nil {
		return
	}
	if l.call != nil { // closed without a preceding Released or Lost
		c.Lost(now, id, true)
	}
	delete(c.legs, id)
	if l.group == nil && !l.incoming {
		c.ownInUse -= l.width
	}
	if l.group != nil {
		if l.incoming {
			l.group.ReleaseIn(l.width)
		} else {
			l.group.ReleaseOut(l.width)
		}
	}
	c.processEvents(now)
}

// timeOutAttempt ends the call's current attempt as timed out.
func (c *Core) timeOutAttempt(now time.Duration, k *call) {
	if k.outLeg != nil && !k.standing {
		c.endAttempt(now, k.outLeg, decide.TimedOut, decide.CauseUnknown, 0, TimerExpired)
	}
}

// endAttempt ends an attempt that was not answered. release is the cause with which to release its leg, 0 if
// the far end has released it already.
func (c *Core) endAttempt(now time.Duration, l *leg, o decide.Outcome, reason decide.Cause, cause, release Cause) {
	k := l.call
	l.recordOutcome(now, o, cause)
	c.detach(l, release)
	c.timerQueue.Stop(&k.attemptTimer)
	k.lastOutcome, k.lastCause = o, cause
	c.addEvent(decide.AttemptEnded{Call: k.id, Attempt: l.attempt, Exchange: l.processor, Outcome: o, Cause: reason,
		Took: now - l.sentAt, Report: c.circuitReport(l.group)})
}

// detach separates a leg from its call and, unless release is 0, releases the leg with that cause.
func (c *Core) detach(l *leg, release Cause) {
	k := l.call
	l.call = nil
	if k.outLeg == l {
		k.outLeg = nil
	}
	if release != 0 {
		c.emit(Output{Kind: Release, Leg: l.id, Cause: release})
	}
}

// abandonCall ends a call whose caller hung up before the answer.
func (c *Core) abandonCall(now time.Duration, k *call, cause Cause) {
	c.addEvent(decide.CallerAbandoned{Call: k.id})
	c.cancelAttempt(now, k)
	c.detach(k.inLeg, 0)
	source := EndedByCaller
	if cause == OutOfOrder {
		source = EndedByLoss
	}
	c.endCall(now, k, Abandoned, cause, source)
}

// cancelAttempt cancels the current attempt, if any. It reports the call as concluded, so that the controller makes
// no further attempt.
func (c *Core) cancelAttempt(now time.Duration, k *call) {
	l := k.outLeg
	if l == nil {
		return
	}
	l.recordOutcome(now, decide.Cancelled, 0)
	c.detach(l, NormalClearing)
	c.addEvent(decide.AttemptEnded{Call: k.id, Attempt: l.attempt, Exchange: l.processor, Outcome: decide.Cancelled,
		Took: now - l.sentAt, Concluded: true, Report: c.circuitReport(l.group)})
}

// endStandingCall ends a standing call; by is the leg whose far end ended it. The call counts as cut if the far
// end was lost or the release cause is not a normal one.
func (c *Core) endStandingCall(now time.Duration, k *call, by *leg, cause Cause, lost bool) {
	out, end, o := k.outLeg, Answered, decide.Completed
	if lost || cause != NormalClearing && cause != NormalUnspecified && cause != 0 {
		end, o = CutOff, decide.Cut
	}
	other, source := k.inLeg, EndedByFarEnd
	if by == k.inLeg {
		other, source = out, EndedByCaller
	}
	if lost {
		source = EndedByLoss
	}
	k.attemptRecords[out.recordIndex].Duration = k.answered - out.sentAt
	c.detach(by, 0)
	c.detach(other, max(cause, NormalClearing))
	c.addEvent(decide.AttemptEnded{Call: k.id, Attempt: out.attempt, Exchange: out.processor, Outcome: o,
		Took: now - out.sentAt, Concluded: true, Report: c.circuitReport(out.group)})
	c.endCall(now, k, end, cause, source)
}

// sendFinalAnswer ends a call with the final answer that the controller chose. The cause alone decides whether
// it counts as a refusal or a failure, because the caller sees nothing else.
func (c *Core) sendFinalAnswer(now time.Duration, id decide.CallID, retryAfter time.Duration) {
	k := c.calls[id]
	if k == nil || k.standing || k.outLeg != nil {
		c.Stats.ActionFaults++
		return
	}
	cause := finalCause(k.lastOutcome, k.lastCause)
	if g := c.groups.Group(k.dest); k.attempts == 0 && (k.transit || g != nil && g.Free() < k.width) {
		cause = NoCircuit // a tandem that reserves its last circuits rejects for lack of circuits
	}
	text := ""
	if retryAfter > 0 {
		text = fmt.Sprintf("try again after %d ms", retryAfter.Milliseconds())
	}
	end := Failed
	if cause.Refusal() {
		end = Refused
	}
	c.detach(k.inLeg, 0)
	recordSeq := c.endCall(now, k, end, cause, EndedByRouter)
	release := Output{Kind: Release, Leg: k.inLeg.id, Cause: cause, Text: text}
	if c.settings.DurableTimeout > 0 {
		c.deferAnswer(now, &deferredAnswer{recordSeq: recordSeq, release: release})
		return
	}
	c.emit(release)
}

// answerOverdue gives the final answer to a call that the controller left unanswered until the watchdog timer
// expired, so that the caller is answered within its patience.
func (c *Core) answerOverdue(now time.Duration, k *call) {
	if k.standing {
		return
	}
	if k.awaitingRecord { // the far end answered: the caller's patience takes precedence over the record
		c.Stats.AnsweredNotDurable++
		c.completeAnswer(now, k)
		return
	}
	c.Stats.Overdue++
	c.addEvent(decide.CallerAbandoned{Call: k.id})
	c.cancelAttempt(now, k)
	c.detach(k.inLeg, 0)
	c.emit(Output{Kind: Release, Leg: k.inLeg.id, Cause: TimerExpired})
	c.endCall(now, k, Failed, TimerExpired, EndedByTimer)
}

// endCall removes a finished call and returns the RecordSeq of its final record.
func (c *Core) endCall(now time.Duration, k *call, end End, cause Cause, source EndSource) uint64 {
	c.timerQueue.Stop(&k.attemptTimer)
	c.timerQueue.Stop(&k.watchdog)
	delete(c.calls, k.id)
	c.Stats.Ends[end]++
	return c.addRecord(now, k, Record{End: end, Cause: cause, EndSource: source})
}

// addRecord completes a record with the data of its call, adds it to Records and returns its RecordSeq.
func (c *Core) addRecord(now time.Duration, k *call, r Record) uint64 {
	c.lastRecordSeq++
	r.Call, r.CallSeq, r.RecordSeq = k.id, k.seq, c.lastRecordSeq
	r.Origin, r.Bearer = k.origin.Exchange, k.origin.Bearer
	r.Class, r.Tenant, r.Dest, r.Width, r.Transit = k.class, k.tenant, k.dest, k.width, k.transit
	r.Offered, r.Called, r.Calling, r.User, r.Context = k.offered, k.request.Called, k.request.Calling,
		k.request.User, k.request.Context
	r.Attempts = k.attemptRecords
	if r.Kind == AnswerRecord {
		r.Attempts = slices.Clone(k.attemptRecords) // the call is still changing its own copy
	}
	if k.standing || r.Kind == AnswerRecord {
		r.SetupTime, r.Duration = k.answered-k.offered, now-k.answered
	}
	c.Records = append(c.Records, r)
	return c.lastRecordSeq
}
