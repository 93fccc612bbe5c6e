package platform

import (
	"slices"
	"time"
)

// A restart check finds out which standing calls and links of a switch belong to its process of before a restart. It
// runs when the list has a later start time while links are open: a link may have been established before the restart,
// and be half-open now, or after it. A heartbeat on each link tells them apart, as a dead process answers none.

// startRestartCheck sends a heartbeat on each link and ends the check after maxResponseDelay. A check that runs already
// starts anew.
func (s *switchPeer) startRestartCheck() {
	toldAt := max(1, s.core.now)
	s.restartToldAt = toldAt
	for _, l := range s.links {
		l.answeredHeartbeat = false
		l.sendHeartbeat()
	}
	s.core.after(maxResponseDelay, func() {
		if s.restartToldAt == toldAt {
			s.endRestartCheck()
		}
	})
}

// endRestartCheck releases the calls that stood at the process of before and closes its links.
func (s *switchPeer) endRestartCheck() {
	toldAt := s.restartToldAt
	s.restartToldAt = 0
	presentSince := s.presentSince(toldAt)
	over := slices.DeleteFunc(s.core.standingCallsAt(s), func(k *call) bool {
		return k.link != nil && k.link.isPresent(toldAt) || k.stoodAt > presentSince
	})
	s.cutCalls(over, "has restarted according to the list")
	for _, l := range slices.Clone(s.links) {
		if !l.isPresent(toldAt) {
			l.closeFaulty()
		}
	}
}

// presentSince returns the earliest time at which a link to the present process is known to have been established. If
// none has answered, that is when the new start time was told.
func (s *switchPeer) presentSince(toldAt time.Duration) time.Duration {
	since := toldAt
	for _, l := range s.links {
		if l.isPresent(toldAt) {
			since = min(since, l.establishedAt)
		}
	}
	return since
}

// isPresent reports whether the link belongs to the process that runs since a restart that was told at toldAt: it has
// answered a heartbeat since, or was established later.
func (l *link) isPresent(toldAt time.Duration) bool {
	return !l.closed && (l.answeredHeartbeat || l.establishedAt >= toldAt)
}
