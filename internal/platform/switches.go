package platform

import (
	"cmp"
	"fmt"
	"iter"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
	"pipitring/internal/timers"
	"pipitring/internal/wire"
)

// Limits of links to switches.
const (
	setUpsPerLink         = 8                      // number of open set-ups on each link at which another link is opened
	linkRetryMin          = 50 * time.Millisecond  // delay before a failed dial is retried; doubled on each further failure
	linkRetryMax          = 800 * time.Millisecond // upper limit of the retry delay
	defaultConnectTimeout = 500 * time.Millisecond // connect timeout if the settings have none

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

	// lossDetectionDelay is the time after the loss of a link at which a new one is opened. A switch repeats its
	// releases on the next link that is opened, but those that it wrote before it detected the loss only on a link
	// opened after that.
	lossDetectionDelay = 150 * time.Millisecond
	// maxSetUpLinks is the largest number of links opened for set-ups. The last link is reserved for repeated releases.
	maxSetUpLinks = maxLinks - 1

	// halfOpenTimeout is how long after a line is due on a link the link counts as half-open, if another link delivers
	// lines. A line is due after a set-up, which changes the trunk group's state: the switch reports that at once on
	// every link, and on each new one.
	halfOpenTimeout = 200 * time.Millisecond
	// halfOpenGrace is the extra time for a half-open link once another link delivers, as both may have been delayed.
	halfOpenGrace = 50 * time.Millisecond

	maxUnsentBytes = 256 << 10 // limit of the encoded releases that wait for a link to one switch, in bytes
)

// switchPeer is one switch on the exchange list and the links to it. A switch is a process, identified by its ID and
// not by its address; the decision module calls it a processor.
type switchPeer struct {
	core             *Core
	id               decide.ExchangeID
	number           int
	addr             netip.AddrPort
	phase            decide.Phase
	started          int64
	replaced         bool    // a switch with another ID has taken over its address
	restarted        bool    // the list has a later start time; cleared by handleListChange
	links            []*link // established links
	dialling         ConnID  // 0 if no dial is in progress
	retryScheduled   bool    // maintainLinks is due after the retry delay
	retryDelay       time.Duration
	lastReceived     time.Duration // when bytes were last received from it, or a link was established
	lastProbe        time.Duration
	hasReported      bool
	lastDialFailed   bool          // the last dial failed
	lastDialTimedOut bool          // the last dial failed by timeout
	linkClosedAt     time.Duration // when it last closed or reset a link; 0 after a link is established or a heartbeat answered
	heartbeatSentAt  time.Duration // when the pending heartbeat was sent; any line answers it; 0 if none
	waitingAttempts  []*attempt
	standingCalls    int
	unsentReleases   []byte        // encoded releases that wait for a link
	recoveryLinkAt   time.Duration // from then on a new link is due, on which lost releases are repeated; 0 if none is
	dialledAt        time.Duration
}

// link is one connection to a switch.
type link struct {
	id           ConnID
	peer         *switchPeer
	lines        jsonl.LineSplitter
	openAttempts map[string]*attempt // open attempts, by reference
	closed       bool

	lineDueSince time.Duration // since when a line is due; 0 if none is
	halfOpen     bool          // a line has been overdue for halfOpenTimeout
	lastLineAt   time.Duration // when it last delivered a complete line; 0 if never
	checkTimer   timers.Entry[func()]
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
// halfOpenGrace.
func (l *link) lineReceived(isReport bool) {
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
				if other.halfOpen && !other.closed {
					other.closeFaulty()
				}
			})
		case isReport && !first && other.lastLineAt < now-halfOpenGrace:
			other.expectLine()
		}
	}
}

func (l *link) sendDown(ref string, cause int) {
	l.peer.core.write(l.id, func(b []byte) []byte { return jsonl.AppendDown(b, ref, cause, 0) })
}

// needsLink reports whether a link has to be open: for load reports if set-ups may be sent, for releases if calls
// stand, and for attempts and releases that wait for one.
func (s *switchPeer) needsLink() bool {
	return s.phase == decide.Ready && s.number != s.core.cfg.Setup.Settings.OwnExchange || s.standingCalls > 0 || len(s.waitingAttempts) > 0 ||
		len(s.unsentReleases) > 0
}

// pickLink returns the link for the next set-up, or nil if there is none: the one with the fewest open set-ups, a
// half-open one last. If it has setUpsPerLink or more, another link is opened, because the loss of a link cuts all
// set-ups on it.
func (s *switchPeer) pickLink() (best *link) {
	for _, l := range s.links {
		if best == nil || best.halfOpen && !l.halfOpen || best.halfOpen == l.halfOpen && len(l.openAttempts) < len(best.openAttempts) {
			best = l
		}
	}
	if best != nil && len(best.openAttempts) >= setUpsPerLink && len(s.links) < maxSetUpLinks {
		s.connect()
	}
	return best
}

// connect dials one more link unless a dial is in progress or the switch has maxLinks. If no descriptors are left, only
// the first link to a switch is dialled.
func (s *switchPeer) connect() {
	if s.dialling != 0 || len(s.links) >= maxLinks || len(s.links) > 0 && s.core.descriptorsInUse() >= s.core.cfg.MaxDescriptors {
		return
	}
	timeout := s.core.cfg.Setup.ConnectTimeout
	if timeout <= 0 {
		timeout = defaultConnectTimeout
	}
	s.dialledAt = s.core.now
	s.dialling = s.core.dial(s.addr, timeout)
	l := &link{id: s.dialling, peer: s, openAttempts: map[string]*attempt{}}
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
	s.dialling, s.retryDelay, s.lastDialFailed, s.lastDialTimedOut, s.linkClosedAt = 0, 0, false, false, 0
	if s.dialledAt >= s.recoveryLinkAt {
		s.recoveryLinkAt = 0
	}
	s.lastReceived = s.core.now
	s.links = append(s.links, l)
	l.expectLine() // the first load report
	if len(s.unsentReleases) > 0 {
		s.core.write(l.id, func(b []byte) []byte { return append(b, s.unsentReleases...) })
		s.unsentReleases = nil
	}
	waiting := s.waitingAttempts
	s.waitingAttempts = nil
	for _, a := range waiting {
		s.core.sendSetUp(a, l)
	}
	s.maintainLinks()
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

// scheduleReconnect opens a link after the retry delay if one is still needed.
func (s *switchPeer) scheduleReconnect() {
	s.retryDelay = min(max(2*s.retryDelay, linkRetryMin), linkRetryMax)
	s.retryScheduled = true
	s.core.after(s.core.jitter(s.retryDelay), func() {
		s.retryScheduled = false
		s.maintainLinks()
	})
}

// endWaitingAttempts ends the attempts that wait for a link.
func (s *switchPeer) endWaitingAttempts(o decide.Outcome) {
	waiting := s.waitingAttempts
	s.waitingAttempts = nil
	for _, a := range waiting {
		s.core.endAttempt(a, o)
	}
}

// removeWaiting removes an attempt from those that wait for a link.
func (s *switchPeer) removeWaiting(a *attempt) {
	s.waitingAttempts = slices.DeleteFunc(s.waitingAttempts, func(o *attempt) bool { return o == a })
}

// cutStandingCalls ends the calls that stand at a switch whose process is dead or removed. Reason completes the log
// line.
func (s *switchPeer) cutStandingCalls(reason string) {
	if s.standingCalls == 0 {
		return
	}
	s.core.logLine(fmt.Sprintf("switch at %v %s: releasing its %d standing calls", s.addr, reason, s.standingCalls))
	for _, k := range s.core.standingCallsAt(s) {
		s.core.releaseFromSwitch(k, jsonl.CauseTemporaryFailure, decide.NoReport)
	}
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

// checkLiveness maintains the links and, if calls stand, checks whether the switch responds.
func (s *switchPeer) checkLiveness() {
	s.maintainLinks()
	if s.standingCalls == 0 {
		return
	}
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
		case k == nil && c.now < releaseLifetime && len(c.earlyReleases) < maxEarlyReleases:
			c.earlyReleases[m.Ref] = earlyRelease{c.now, m.Cause}
		}
	case jsonl.TypeGauge:
		s.hasReported = true
		c.feed(decide.ReportReceived{Exchange: s.id, Outcome: decide.Completed, Report: c.parseReport(m)})
	}
}

// releaseOutcome converts a release of a set-up before its answer to the decision module's outcome and cause.
func releaseOutcome(m *jsonl.Message) (decide.Outcome, decide.Cause) {
	cause := causeByNote[m.Fields["note"]]
	switch m.Cause {
	case jsonl.CauseNoCircuit:
		return decide.Rejected, cause
	case jsonl.CauseUserBusy, jsonl.CauseResourceUnavailable:
		return decide.Busy, cause
	case jsonl.CauseTimerExpiry:
		return decide.NotSent, cause
	}
	return decide.Cut, cause
}

var causeByNote = map[string]decide.Cause{"blocked": decide.NoCircuit, "bounced": decide.TandemRejected,
	"far_swamped": decide.TandemRejectedFull, "swamped": decide.ProcessorFull, "occupied": decide.LinesBusy}

// parseReport parses a load report.
func (c *Core) parseReport(m *jsonl.Message) decide.Report {
	r := decide.NoReport
	for name, value := range pairs(m.Fields["load"]) {
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			wire.SetReportField(&r, name, v)
		}
	}
	return r
}

// pairs iterates over the names and values of text such as x0:12;x1:40.
func pairs(text string) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for part := range strings.SplitSeq(text, ";") {
			if name, value, ok := strings.Cut(part, ":"); ok && !yield(name, value) {
				return
			}
		}
	}
}

// applyEvent applies a list event to the switches and returns those that changed.
func (c *Core) applyEvent(ev coordinator.Event) (changed []*switchPeer) {
	if ev.Full {
		listed := map[decide.ExchangeID]bool{}
		for _, e := range ev.Entries {
			listed[decide.ExchangeID(e.ID)] = true
		}
		for _, s := range c.switchesByID() {
			if !listed[s.id] {
				s.phase = decide.Removed
				changed = append(changed, s)
			}
		}
	}
	for _, e := range ev.Entries {
		s := c.switches[decide.ExchangeID(e.ID)]
		if s == nil {
			if e.Phase == decide.Removed {
				continue
			}
			s = &switchPeer{core: c, id: decide.ExchangeID(e.ID), started: e.Started, lastReceived: c.now}
			c.switches[s.id] = s
		}
		s.restarted = s.restarted || e.Started > s.started
		s.number, s.phase, s.started = e.ExchangeNumber, e.Phase, e.Started
		changed = append(changed, s)
		if e.Addr == s.addr {
			continue
		}
		s.addr, s.replaced = e.Addr, false
		for _, other := range c.switchesByID() {
			if other != s && other.addr == e.Addr {
				other.replaced = true
				changed = append(changed, other)
			}
		}
	}
	return changed
}

// handleListChange acts on a change of the switch's list entry.
func (s *switchPeer) handleListChange() {
	if s.phase != decide.Ready || s.replaced {
		s.endWaitingAttempts(decide.NotSent) // the switch takes no set-ups any more, so those that wait for a link are not sent
	}
	if len(s.links) == 0 && (s.phase == decide.Removed || s.replaced || s.restarted) {
		s.cutStandingCalls("was removed, replaced or restarted according to the list") // calls from before the removal or new start are over
	}
	s.restarted = false
	s.maintainLinks()
	s.core.removeIfIdle(s)
}

// removeIfIdle deletes a switch that was removed from the list and closes its links once it has no open attempt or
// standing call.
func (c *Core) removeIfIdle(s *switchPeer) {
	if s.phase != decide.Removed || s.standingCalls > 0 || c.switches[s.id] != s {
		return
	}
	for _, l := range s.links {
		if len(l.openAttempts) > 0 {
			return
		}
	}
	delete(c.switches, s.id)
	links := s.links
	s.links = nil
	for _, l := range links {
		l.remove()
		c.close(l.id, false)
	}
}

// switchesByID returns the switches sorted by ID. The fixed order makes runs reproducible.
func (c *Core) switchesByID() []*switchPeer {
	list := make([]*switchPeer, 0, len(c.switches))
	for _, s := range c.switches {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *switchPeer) int { return cmp.Compare(a.id, b.id) })
	return list
}

// Connected reports that a dialled connection is established.
func (c *Core) Connected(now time.Duration, id ConnID) {
	c.advanceClock(now)
	if id == c.discovery.conn {
		c.discovery.connected()
		return
	}
	if l := c.links[id]; l != nil && l.peer.dialling == id {
		if l.peer.phase == decide.Removed && l.peer.standingCalls == 0 {
			l.peer.dialling = 0
			delete(c.links, id)
			c.close(id, false)
			return
		}
		l.peer.linkUp(l)
		return
	}
	c.close(id, false) // no longer needed, or unknown
}

// DialFailed reports that a connection was not established.
func (c *Core) DialFailed(now time.Duration, id ConnID, reason DialFailure) {
	c.advanceClock(now)
	if id == c.discovery.conn {
		if reason == DialNoDescriptors {
			c.evictIdleCaller()
		}
		c.discovery.connectionLost()
		return
	}
	if l := c.links[id]; l != nil && l.peer.dialling == id {
		l.peer.handleDialFailure(l, reason)
	}
}

// Receive handles bytes received on a connection.
func (c *Core) Receive(now time.Duration, id ConnID, b []byte) {
	c.advanceClock(now)
	if p := c.callers[id]; p != nil {
		p.parseInput(b)
		p.handleLines()
	} else if l := c.links[id]; l != nil {
		l.receive(b)
	} else if id == c.discovery.conn {
		c.discovery.receive(b)
	}
}

// Closed reports that the peer closed a connection, or that it failed.
func (c *Core) Closed(now time.Duration, id ConnID) {
	c.advanceClock(now)
	if p := c.callers[id]; p != nil {
		p.handleClose()
	} else if l := c.links[id]; l != nil {
		l.peer.linkClosedAt = max(1, c.now)
		l.handleLoss()
	} else if id == c.discovery.conn {
		c.discovery.connectionLost()
	}
}
