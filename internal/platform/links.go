package platform

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"pipitring/decide"
	"pipitring/internal/jsonl"
	"pipitring/internal/timers"
)

// Limits of links to switches.
const (
	setUpsPerLink = 8                      // number of open set-ups on each link at which another link is opened
	linkRetryMin  = 50 * time.Millisecond  // delay before a failed dial is retried; doubled on each further failure
	linkRetryMax  = 800 * time.Millisecond // upper limit of the retry delay

	// lossDetectionDelay is the time after the loss of a link at which a new one is opened. A switch repeats its
	// releases on the next link that is opened, but those that it wrote before it detected the loss only on a link
	// opened after that.
	lossDetectionDelay = 150 * time.Millisecond
	// maxSetUpLinks is the largest number of links opened for set-ups. The last link is reserved for repeated releases.
	maxSetUpLinks = maxLinks - 1
)

// link is one connection to a switch.
type link struct {
	id           ConnID
	peer         *switchPeer // the switch that has the address; handOver changes it
	addr         netip.AddrPort
	lines        jsonl.LineSplitter
	openAttempts map[string]*attempt // open attempts, by reference
	closed       bool

	establishedAt       time.Duration
	heartbeatAnsweredAt time.Duration // when a heartbeat was last answered; 0 if never

	lineDueSince time.Duration // since when a line is due; 0 if none is
	halfOpen     bool          // a line has been overdue for halfOpenTimeout
	lastLineAt   time.Duration // when it last delivered a complete line; 0 if never
	checkTimer   timers.Entry[func()]
}

// needsLink reports whether a link has to be open: for load reports if set-ups may be sent, for releases if calls
// stand, and for attempts and releases that wait for one.
func (s *switchPeer) needsLink() bool {
	return s.phase == decide.Ready && s.number != s.core.cfg.Setup.Settings.OwnExchange || s.standingCalls > 0 || len(s.waitingAttempts) > 0 ||
		len(s.unsentReleases) > 0
}

// pickLink returns the link for the next set-up, or nil if there is none: the one with the fewest open set-ups, a
// half-open one or one that may be to a process that has ended last. While another link is dialled, none that a process
// check decides on is returned. If the link has setUpsPerLink or more, another is opened, because the loss of a link cuts
// all set-ups on it.
func (s *switchPeer) pickLink() (best *link) {
	for _, l := range s.links {
		if best == nil || cmp.Or(l.compareDoubt(best), cmp.Compare(len(l.openAttempts), len(best.openAttempts))) < 0 {
			best = l
		}
	}
	if best != nil && best.isUndecided() && s.dialling != 0 {
		return nil
	}
	if best != nil && len(best.openAttempts) >= setUpsPerLink && len(s.links) < maxSetUpLinks {
		s.connect()
	}
	return best
}

// compareDoubt is negative if a set-up on l is more likely to be received than one on other.
func (l *link) compareDoubt(other *link) int { return cmp.Compare(l.doubt(), other.doubt()) }

// doubt is greater than 0 if a set-up on the link may not be received: it is half-open or may be to a process that has
// ended.
func (l *link) doubt() int {
	if l.halfOpen || l.isUndecided() || l.predatesSilence() {
		return 1
	}
	return 0
}

// connect dials one more link unless a dial is in progress or the switch has maxLinks. If no descriptors are left, only
// the first link to a switch is dialled.
func (s *switchPeer) connect() {
	if s.dialling != 0 || len(s.links) >= maxLinks || len(s.links) > 0 && s.core.descriptorsInUse() >= s.core.cfg.MaxDescriptors {
		return
	}
	s.dialledAt = s.core.now
	s.dialling = s.core.dial(s.addr, s.core.cfg.connectTimeout())
	l := &link{id: s.dialling, peer: s, addr: s.addr, openAttempts: map[string]*attempt{}}
	l.checkTimer.Value = l.checkOverdue
	s.core.links[l.id] = l
}

// maintainLinks opens a link if one is needed and none is established, and, if calls stand, a new one after the loss of
// another.
func (s *switchPeer) maintainLinks() {
	needed := len(s.links) == 0 && s.needsLink() || s.recoveryLinkAt != 0 && s.core.now >= s.recoveryLinkAt && s.standingCalls > 0
	if needed && !s.retryScheduled && s.phase != decide.Removed && !s.replaced {
		s.connect()
	}
}

// linkUp registers an established link.
func (s *switchPeer) linkUp(l *link) {
	if s.dialling == l.id {
		s.dialling = 0
	}
	if s.needsReturnCheck() {
		s.startReturnCheck()
	}
	s.retryDelay, s.lastDialFailed, s.lastDialTimedOut, s.linkClosedAt = 0, false, false, 0
	if s.dialledAt >= s.recoveryLinkAt {
		s.recoveryLinkAt = 0
	}
	s.lastReceived, l.establishedAt = s.core.now, s.core.now
	s.links = append(s.links, l)
	l.expectLine() // the first load report
	if len(s.unsentReleases) > 0 {
		s.core.write(l.id, func(b []byte) []byte { return append(b, s.unsentReleases...) })
		s.unsentReleases = nil
	}
	l.sendWaiting()
	s.maintainLinks()
}

// sendWaiting sends the set-ups that wait for a link to the switch.
func (l *link) sendWaiting() {
	waiting := l.peer.waitingAttempts
	l.peer.waitingAttempts = nil
	for _, a := range waiting {
		l.peer.core.sendSetUp(a, l)
	}
}

// handleDialFailure handles a failed dial. If the dial was refused and no other link is established, the process is
// dead and its calls are over. The same holds if the switch closed its last link and no new one is established within
// maxResponseDelay. If the dial was refused while other links are established, the switch may be draining and alive, or
// dead behind half-open links, which probeLiveness finds out.
func (s *switchPeer) handleDialFailure(l *link, reason DialFailure) {
	s.dialling = 0
	delete(s.core.links, l.id)
	if reason == DialNoDescriptors { // this says nothing about the switch; waiting attempts have their own timeout
		s.core.evictIdleCaller()
		s.scheduleReconnect()
		return
	}
	s.lastDialFailed, s.lastDialTimedOut = true, reason == DialTimedOut
	s.endWaitingAttempts(decide.Unreachable)
	switch {
	case len(s.links) == 0 && (reason == DialRefused || s.linkClosedAt != 0 && s.core.now-s.linkClosedAt > maxResponseDelay):
		s.cutStandingCalls("accepts no new connections")
	case len(s.links) > 0 && reason == DialRefused && s.standingCalls > 0:
		s.probeLiveness()
	}
	s.scheduleReconnect()
}

// scheduleReconnect opens a link after the retry delay if one is still needed.
func (s *switchPeer) scheduleReconnect() {
	s.retryDelay = min(max(2*s.retryDelay, linkRetryMin), linkRetryMax)
	s.retryScheduled = true
	s.core.after(s.core.jitter(s.retryDelay), func() {
		s.retryScheduled = false
		s.maintainLinks()
	})
}

func (l *link) receive(b []byte) {
	s := l.peer
	s.lastReceived = s.core.now
	err := l.lines.Push(b, func(line []byte) bool {
		m, err := jsonl.Parse(line)
		if err != nil {
			l.closeFaulty()
			return false
		}
		l.lineReceived(m.Type == jsonl.TypeGauge)
		l.handleMessage(&m)
		return !l.closed
	})
	switch {
	case l.closed:
	case err != nil:
		l.closeFaulty()
	case l.lines.Partial():
		l.expectLine()
	}
}

func (l *link) handleMessage(m *jsonl.Message) {
	s, c := l.peer, l.peer.core
	switch m.Type {
	case jsonl.TypeUp:
		a := l.openAttempts[m.Ref]
		switch {
		case a == nil: // a duplicate, an unknown reference or a withdrawn attempt
		case m.Description == nil:
			l.closeFaulty()
		default:
			c.handleAnswer(a, m.Description)
		}
	case jsonl.TypeDown:
		report := c.parseReport(m)
		if a := l.openAttempts[m.Ref]; a != nil {
			o, cause := releaseOutcome(m)
			c.endAttemptWith(a, decide.AttemptEnded{Outcome: o, Cause: cause, Report: report})
			return
		}
		k := c.calls[m.Ref]
		switch {
		case k != nil && k.standing && k.standingAt == s:
			c.releaseFromSwitch(k, m.Cause, report)
		case k == nil:
			c.earlyReleases.add(earlyRelease{m.Ref, l.addr}, m.Cause, c.now)
		}
	case jsonl.TypeHeartbeatOK:
		l.heartbeatAnsweredAt = c.now
		l.sendWaiting()
		s.endDecidedProcessCheck()
	case jsonl.TypeGauge:
		s.hasReported = true
		c.feed(decide.ReportReceived{Exchange: s.id, Outcome: decide.Completed, Report: c.parseReport(m)})
	}
}

func (l *link) sendDown(ref string, cause int) {
	l.peer.core.write(l.id, func(b []byte) []byte { return jsonl.AppendDown(b, ref, cause, 0) })
}

// handleLoss handles the end of a link, closed by either side: the open attempts on it end as cut, and a new link is
// opened if one is needed.
func (l *link) handleLoss() {
	if l.closed {
		return
	}
	s := l.peer
	l.remove()
	s.links = slices.DeleteFunc(s.links, func(o *link) bool { return o == l })
	s.recoveryLinkAt = s.core.now + lossDetectionDelay
	s.core.after(lossDetectionDelay, s.maintainLinks)
	attempts := make([]*attempt, 0, len(l.openAttempts))
	for _, a := range l.openAttempts {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *attempt) int { return cmp.Compare(a.call.id, b.call.id) })
	if len(s.links) == 0 && (s.phase == decide.Removed || s.replaced) {
		s.cutStandingCalls("was removed from the list and has closed its connections")
	}
	for _, a := range attempts {
		s.core.endAttempt(a, decide.Cut)
	}
	s.endDecidedProcessCheck()
	s.maintainLinks()
	s.core.removeIfIdle(s)
}

// remove unregisters a link that has ended.
func (l *link) remove() {
	l.closed = true
	l.peer.core.timerQueue.Stop(&l.checkTimer)
	delete(l.peer.core.links, l.id)
}

// close closes the link from this side.
func (l *link) close() {
	l.peer.core.close(l.id, false)
	l.handleLoss()
}

// closeFaulty closes a link whose input was invalid or incomplete, or that is half-open.
func (l *link) closeFaulty() {
	l.peer.core.Stats.SwitchErrors++
	l.close()
}
