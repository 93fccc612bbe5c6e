package platform

import (
	"slices"
	"time"
)

// A return check finds out whether a machine that was silent, so that dials timed out, returned with the previous process:
// a link that is established then may be to another process, under the same ID or a new one, that knows none of the calls.
// The previous process sends on its earlier links, to which the machine's return gives their bytes again. If nothing
// comes on them until the calls have to be released, another process has come.

// returnTimeout is how long after it was last heard a switch that returned may send nothing on the earlier links. Calls
// of a process that has ended are due to be released 8 s after its end.
const returnTimeout = 7 * time.Second

// needsReturnCheck reports, before a new link is registered, whether it ends a silence after which the standing calls may
// be of another process. Without an earlier link nothing could tell.
func (s *switchPeer) needsReturnCheck() bool {
	wasSilent := s.lastDialTimedOut && s.core.now-s.lastReceived > singleLinkIdleTimeout
	return wasSilent && s.returnedAt == 0 && s.standingCalls > 0 && len(s.links) > 0
}

// startReturnCheck begins when the first link is established after dials timed out. The earlier links are asked for a
// line.
func (s *switchPeer) startReturnCheck() {
	s.silentSince, s.returnedAt = s.lastReceived, s.core.now
	for _, l := range s.links {
		l.sendHeartbeat()
	}
}

// endOverdueReturnCheck releases the earlier calls if the time of a return check is over, and closes the earlier links.
func (s *switchPeer) endOverdueReturnCheck() {
	if s.returnedAt == 0 || s.core.now-s.silentSince < returnTimeout {
		return
	}
	returnedAt := s.returnedAt
	s.returnedAt = 0
	over := slices.DeleteFunc(s.core.standingCallsAt(s), func(k *call) bool { return k.stoodAt >= returnedAt })
	s.cutCalls(over, "returned after silence and sends nothing on the earlier connections")
	for _, l := range slices.Clone(s.links) {
		if l.establishedAt < returnedAt {
			l.closeFaulty()
		}
	}
}

// predatesSilence reports whether the link was established before the silence that a return check is about.
func (l *link) predatesSilence() bool {
	return l.peer.returnedAt != 0 && l.establishedAt < l.peer.returnedAt
}

// isLastEarlierLink reports whether the link is the only one on which the previous process can show itself.
func (l *link) isLastEarlierLink() bool {
	return l.predatesSilence() && !slices.ContainsFunc(l.peer.links, func(other *link) bool { return other != l && other.predatesSilence() })
}
