package platform

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"pipitring/decide"
	"pipitring/internal/jsonl"
)

// maxUnsentBytes limits the encoded releases that wait for a link to one switch, in bytes.
const maxUnsentBytes = 256 << 10

// endStandingCall ends a standing call and reports it to the decision module.
func (c *Core) endStandingCall(k *call, o decide.Outcome, r decide.Report) {
	k.standingAt.standingCalls--
	if k.isAdopted() {
		c.adopted--
	}
	k.caller.standingCalls--
	k.caller.lastUsed = c.now
	c.removeCall(k)
	if k.id != 0 {
		c.feed(decide.AttemptEnded{Call: k.id, Attempt: k.attempts - 1, Exchange: k.standingAt.id, Outcome: o, Concluded: true, Report: r})
	}
}

// releaseFromSwitch ends a standing call that its switch released, or that was lost there, and notifies the caller.
func (c *Core) releaseFromSwitch(k *call, cause int, r decide.Report) {
	o := decide.Completed
	if cause != jsonl.CauseNormal {
		o = decide.Cut
	}
	c.sendReleaseToCaller(k.caller, k.ref, cause)
	c.endStandingCall(k, o, r)
}

// releaseFromCaller ends a standing call that a caller released, and notifies the switch.
func (c *Core) releaseFromCaller(k *call, cause int) {
	k.standingAt.sendRelease(k, cause)
	c.endStandingCall(k, decide.Cancelled, decide.NoReport)
}

// sendRelease sends the release of a standing call to the switch: on the link of its set-up, else on another one. If
// none is established, the release is stored for the next one, unless the switch was removed or replaced.
func (s *switchPeer) sendRelease(k *call, cause int) {
	on := k.link
	if on == nil || on.closed {
		if len(s.links) == 0 {
			if len(s.unsentReleases) < maxUnsentBytes && s.phase != decide.Removed && !s.replaced {
				s.unsentReleases = jsonl.AppendDown(s.unsentReleases, k.ref, cause, 0)
				s.maintainLinks()
			}
			return
		}
		on = s.links[0]
	}
	on.sendDown(k.ref, cause)
}

// cutStandingCalls ends the calls that stand at a switch whose process is dead or removed. Reason completes the log
// line.
func (s *switchPeer) cutStandingCalls(reason string) {
	if s.standingCalls > 0 {
		s.cutCalls(s.core.standingCallsAt(s), reason)
	}
}

// cutCalls ends some of the calls that stand at a switch.
func (s *switchPeer) cutCalls(calls []*call, reason string) {
	if len(calls) == 0 {
		return
	}
	s.core.logLine(fmt.Sprintf("switch at %v %s: releasing %d of its %d standing calls", s.addr, reason, len(calls), s.standingCalls))
	for _, k := range calls {
		s.core.releaseFromSwitch(k, jsonl.CauseTemporaryFailure, decide.NoReport)
	}
}

// adoptedCallsAt returns the calls that stand at a switch and were adopted by "at".
func (c *Core) adoptedCallsAt(s *switchPeer) []*call {
	return slices.DeleteFunc(c.standingCallsAt(s), func(k *call) bool { return !k.isAdopted() })
}

func (c *Core) standingCallsAt(s *switchPeer) (list []*call) {
	for _, k := range c.calls {
		if k.standing && k.standingAt == s {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b *call) int { return cmp.Or(cmp.Compare(a.id, b.id), strings.Compare(a.ref, b.ref)) })
	return list
}

// adoptCall takes over a call that stood before this process started. If the call is known to be over, or the
// process of its switch has ended, the caller gets its release at once; also if too many calls are adopted.
func (c *Core) adoptCall(p *caller, ref string, o callOffer) {
	if sent, known := c.sentReleases.get(ref); known {
		if sent.to != p.id { // its caller may have left before it came
			c.sendReleaseToCaller(p, ref, sent.cause)
		}
		return
	}
	c.Stats.Adopted++
	to := c.switches[o.standingAt]
	if to == nil || !to.mayHoldEarlierCalls() {
		c.sendReleaseToCaller(p, ref, jsonl.CauseTemporaryFailure)
		return
	}
	early := earlyRelease{ref, to.addr}
	if cause, known := c.earlyReleases.get(early); known {
		c.earlyReleases.remove(early)
		c.sendReleaseToCaller(p, ref, cause)
		return
	}
	if c.adopted >= c.cfg.maxAdoptedCalls() {
		c.Stats.AdoptionsDenied++
		c.sendReleaseToCaller(p, ref, jsonl.CauseTemporaryFailure)
		return
	}
	c.adopted++
	k := &call{ref: ref, caller: p, class: o.Class, standing: true, standingAt: to, stoodAt: c.now}
	c.calls[ref] = k
	to.standingCalls++
	p.standingCalls++
	k.timer.Value = func() { c.releaseFromSwitch(k, jsonl.CauseTemporaryFailure, decide.NoReport) }
	c.timerQueue.Set(&k.timer, c.now+adoptedCallLifetime)
	to.maintainLinks()
}
