package platform

import (
	"cmp"
	"slices"
	"time"

	"pipitring/internal/jsonl"
)

// Time limits of the liveness checks of switches and their links.
const (
	// singleLinkIdleTimeout is how long nothing may be received from a switch with one link and standing calls until a
	// new link is dialled as a liveness probe: nothing arrives from a lost machine or on a half-open connection.
	singleLinkIdleTimeout = 300 * time.Millisecond
	// multiLinkIdleTimeout is the same for a switch with several links, and the least time between two such probes.
	multiLinkIdleTimeout = 1500 * time.Millisecond
	// hostLossTimeout is how long nothing may be received while dials time out until standing calls are over. A refused
	// dial shows that the machine is up: a draining switch refuses every dial.
	hostLossTimeout = 5 * time.Second
	// maxResponseDelay is the longest time that it takes to establish a connection, or an overloaded processor to
	// answer a heartbeat.
	maxResponseDelay = time.Second

	// halfOpenTimeout is how long after a line is due on a link the link counts as half-open, if another link delivers
	// lines. A line is due after a set-up, which changes the trunk group's state: the switch reports that at once on
	// every link, and on each new one.
	halfOpenTimeout = 200 * time.Millisecond
	// halfOpenGrace is the extra time for a half-open link once another link delivers, as both may have been delayed.
	halfOpenGrace = 50 * time.Millisecond
)

// checkLiveness maintains the links and, if calls stand, checks whether the switch responds.
func (s *switchPeer) checkLiveness() {
	s.maintainLinks()
	if s.standingCalls == 0 {
		s.core.removeIfIdle(s)
		return
	}
	s.endOverdueReturnCheck()
	now := s.core.now
	switch idle := now - s.lastReceived; {
	case idle > hostLossTimeout && s.lastDialTimedOut:
		s.cutStandingCalls("sends nothing and connection attempts time out")
	case idle > singleLinkIdleTimeout && len(s.links) == 1, idle > multiLinkIdleTimeout && now-s.lastProbe > multiLinkIdleTimeout:
		s.lastProbe = now
		if len(s.links) >= maxLinks {
			s.pickLink().close()
		}
		s.connect()
	}
}

// probeLiveness checks whether a switch that refuses new links is alive. It may be draining, and send nothing as it
// gets no set-ups, or its process is dead and the remaining links were half-open when it died, so that no reset ends
// them. A heartbeat costs the switch work, so it is sent only if the switch closed a link or nothing was received for
// hostLossTimeout: first on the link that delivered last, after halfOpenTimeout on all. If no line arrives within
// maxResponseDelay, the calls are over.
func (s *switchPeer) probeLiveness() {
	c := s.core
	if s.heartbeatSentAt != 0 || s.linkClosedAt == 0 && c.now-s.lastReceived < hostLossTimeout {
		return
	}
	sentAt := max(1, c.now)
	s.heartbeatSentAt = sentAt
	newest := slices.MaxFunc(s.links, func(a, b *link) int { return cmp.Compare(a.lastLineAt, b.lastLineAt) })
	newest.sendHeartbeat()
	c.after(halfOpenTimeout, func() {
		for _, l := range s.links {
			if s.heartbeatSentAt == sentAt && l != newest {
				l.sendHeartbeat()
			}
		}
	})
	c.after(maxResponseDelay, func() {
		if s.heartbeatSentAt != sentAt {
			return
		}
		s.heartbeatSentAt = 0
		for _, l := range slices.Clone(s.links) {
			l.closeFaulty()
		}
		s.cutStandingCalls("answers no heartbeat and accepts no new connections")
	})
}

func (l *link) sendHeartbeat() {
	c := l.peer.core
	c.write(l.id, func(b []byte) []byte { return jsonl.AppendHeartbeat(b, c.rng.Uint64()) })
}

// expectLine records that a line is due on the link.
func (l *link) expectLine() {
	if l.lineDueSince != 0 || l.closed {
		return
	}
	l.lineDueSince = max(1, l.peer.core.now)
	if !l.checkTimer.Running() {
		l.peer.core.timerQueue.Set(&l.checkTimer, l.lineDueSince+halfOpenTimeout)
	}
}

// checkOverdue checks whether the line that is due has arrived. If not, a link with an incomplete line is closed, since
// the rest will not follow; any other counts as half-open, and another link is opened to tell it from a hung switch.
func (l *link) checkOverdue() {
	c := l.peer.core
	switch {
	case l.lineDueSince == 0:
	case c.now < l.lineDueSince+halfOpenTimeout:
		c.timerQueue.Set(&l.checkTimer, l.lineDueSince+halfOpenTimeout)
	case l.lines.Partial():
		l.closeFaulty()
	case !l.halfOpen:
		l.halfOpen = true
		l.peer.connect()
	}
}

// lineReceived records that a complete line arrived on the link. A switch reports a change of the trunk group on all
// links at once, so after a report a line is due on each other link that has delivered none just now. The first report
// on a new link is an exception, as it is sent on that link alone. Other links that are half-open are closed after
// halfOpenGrace, but for the last one that a return check needs.
func (l *link) lineReceived(isReport bool) {
	if l.predatesSilence() {
		l.peer.returnedAt = 0 // it returned with the previous process
	}
	if l.peer.heartbeatSentAt != 0 {
		l.peer.heartbeatSentAt, l.peer.linkClosedAt = 0, 0 // the switch is alive, whichever of its links has ended
	}
	now, first := l.peer.core.now, l.lastLineAt == 0
	l.lineDueSince, l.halfOpen, l.lastLineAt = 0, false, max(1, now)
	for _, other := range l.peer.links {
		switch {
		case other == l:
		case other.halfOpen:
			l.peer.core.after(halfOpenGrace, func() {
				if other.halfOpen && !other.closed && !other.isLastEarlierLink() {
					other.closeFaulty()
				}
			})
		case isReport && !first && other.lastLineAt < now-halfOpenGrace:
			other.expectLine()
		}
	}
}
