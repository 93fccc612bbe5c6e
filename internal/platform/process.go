package platform

import (
	"slices"
	"time"

	"pipitring/decide"
)

// A process check finds out which standing calls and links of a switch belong to a process that has ended according to
// the list: the switch has a later start time, was removed, or its address was given to another ID. It runs when links
// are open then: a link may have been established before the end of the process, and be half-open now, or after it, to
// the process that is at the address now. A heartbeat on each link tells them apart, as a dead process answers none.

// mayHoldEarlierCalls reports whether a call that a caller names by "at" may stand at the switch. It does not if the switch
// is gone, or if the list has told this proxy, within the time for which an adopted call is kept, that its process ended.
func (s *switchPeer) mayHoldEarlierCalls() bool {
	endedLately := s.processEndToldAt != 0 && s.core.now-s.processEndToldAt < adoptedCallLifetime
	return s.phase != decide.Removed && !s.replaced && !endedLately
}

// startProcessCheck sends a heartbeat on each link and ends the check after maxResponseDelay at the latest. A check that
// runs already ends at its own time, so that no further change puts off the release of calls.
func (s *switchPeer) startProcessCheck() {
	toldAt := max(1, s.core.now)
	s.processCheckAt = toldAt
	for _, l := range s.links {
		l.sendHeartbeat()
	}
	s.core.after(maxResponseDelay, func() {
		if s.processCheckAt == toldAt || toldAt > s.processDecidedAt {
			s.endProcessCheck(toldAt)
		}
	})
}

// endDecidedProcessCheck ends a process check before its time if all links are known to be to the present process.
func (s *switchPeer) endDecidedProcessCheck() {
	if s.processCheckAt == 0 {
		return
	}
	if !slices.ContainsFunc(s.links, (*link).isUndecided) {
		s.endProcessCheck(s.processCheckAt)
	}
}

// endProcessCheck ends the check that began at toldAt: it releases the calls that stood at the previous process, and
// closes its links.
func (s *switchPeer) endProcessCheck(toldAt time.Duration) {
	s.processDecidedAt = toldAt
	if s.processCheckAt == toldAt {
		s.processCheckAt = 0
	}
	presentSince := s.presentSince(toldAt)
	over := slices.DeleteFunc(s.core.standingCallsAt(s), func(k *call) bool {
		return k.link != nil && k.link.isPresent(toldAt) || k.stoodAt > presentSince
	})
	s.cutCalls(over, "was restarted, removed or replaced according to the list")
	for _, l := range slices.Clone(s.links) {
		if !l.isPresent(toldAt) {
			l.closeFaulty()
		}
	}
	s.core.removeIfIdle(s)
}

// handOver gives the links and standing calls of a replaced switch to the switch that has its address now. A link that was
// established before the list told of the replacement may be to the process of either, and so may the calls on it: a
// process check decides. Another link is opened meanwhile, as set-ups wait for one to a known process. Without an owner
// nothing is done.
func (s *switchPeer) handOver(owner *switchPeer) {
	if owner == nil {
		return
	}
	if s.dialling != 0 && owner.dialling == 0 {
		s.core.links[s.dialling].peer = owner
		owner.dialling, owner.dialledAt, s.dialling = s.dialling, s.dialledAt, 0
	}
	owner.unsentReleases = append(owner.unsentReleases, s.unsentReleases...)
	s.unsentReleases = nil
	for _, k := range s.core.standingCallsAt(s) {
		k.standingAt = owner
	}
	owner.standingCalls += s.standingCalls
	s.standingCalls = 0
	if len(s.links) == 0 && owner.standingCalls == 0 {
		return
	}
	for _, l := range s.links {
		l.peer = owner
	}
	owner.links = append(owner.links, s.links...)
	s.links = nil
	owner.recoveryLinkAt = max(owner.recoveryLinkAt, s.recoveryLinkAt)
	if s.returnedAt != 0 && owner.returnedAt == 0 {
		owner.silentSince, owner.returnedAt = s.silentSince, s.returnedAt
	}
	owner.startProcessCheck()
	if owner.needsLink() {
		owner.connect()
	}
	owner.endDecidedProcessCheck()
}

// presentSince returns the earliest time at which a link to the present process is known to have been established. If
// none has answered, that is when the end of the previous process was told.
func (s *switchPeer) presentSince(toldAt time.Duration) time.Duration {
	since := toldAt
	for _, l := range s.links {
		if l.isPresent(toldAt) {
			since = min(since, l.establishedAt)
		}
	}
	return since
}

// isUndecided reports whether a process check has yet to find out which process the link is to.
func (l *link) isUndecided() bool {
	s := l.peer
	return s.processCheckAt != 0 && !l.isPresent(s.processCheckAt)
}

// isPresent reports whether the link belongs to the process that is at the switch's address since a change that was told
// at toldAt: it has answered a heartbeat since, or was established later.
func (l *link) isPresent(toldAt time.Duration) bool {
	return !l.closed && (l.heartbeatAnsweredAt >= toldAt || l.establishedAt >= toldAt)
}
