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
	setUpsPerLink         = 8                      // open set-ups on each link before another link is opened
	linkRetryMin          = 50 * time.Millisecond  // before a failed dial is retried; doubled on each further failure
	linkRetryMax          = 800 * time.Millisecond // upper limit of the retry delay
	defaultConnectTimeout = 500 * time.Millisecond // connect timeout if the settings have none
	// A lost machine sends nothing, and neither does a half-open connection. If calls stand and nothing was received for
	// singleLinkIdleTimeout on a single link, or for multiLinkIdleTimeout on several, a new link is dialled as a liveness
	// probe. A refusal proves life too, since a draining switch accepts no connections. If no link comes up within
	// hostLossTimeout, the calls are over.
	singleLinkIdleTimeout = 300 * time.Millisecond
	multiLinkIdleTimeout  = 1500 * time.Millisecond
	hostLossTimeout       = 5 * time.Second
	maxResponseDelay      = time.Second // longest time to establish a connection, or for an overloaded processor to answer a heartbeat
	// A switch also sends its releases on the next link that is opened. Releases that it wrote before it detected the
	// loss of a link are repeated only on a link opened after that, so one is opened this long after a loss.
	lossDetectionDelay = 150 * time.Millisecond
	maxSetUpLinks      = maxLinks - 1 // the last link is reserved for repeated releases
	// A set-up changes the trunk group's state, which the switch reports at once on every link and on each new one. A
	// link that delivers no complete line for this long after one was due, while another link does, is half-open.
	halfOpenTimeout = 200 * time.Millisecond
	halfOpenGrace   = 50 * time.Millisecond // extra time for a half-open link once another link delivers, as both may have been delayed
	maxUnsentBytes  = 256 << 10             // bytes of releases that wait for a link
)

// neighbour is one switch on the exchange list. It is a process, identified by its ID, not its address.
type neighbour struct {
	core             *Core
	id               decide.ExchangeID
	number           int
	addr             netip.AddrPort
	phase            decide.Phase
	started          int64
	replaced         bool    // another ID has taken over its address
	restarted        bool    // the list announced a new start
	links            []*link // established links
	dialling         ConnID  // 0 if no dial is in progress
	retryScheduled   bool    // a dial is due after the retry delay
	retryDelay       time.Duration
	lastReceived     time.Duration // when something was last received from it
	lastProbe        time.Duration
	hasReported      bool
	lastDialFailed   bool          // the last dial failed
	lastDialTimedOut bool          // the last dial failed by timeout
	linkClosedAt     time.Duration // when it last closed or reset a link; 0 after a link comes up or a heartbeat is answered
	heartbeatSentAt  time.Duration // when a heartbeat was sent that nothing has answered yet; 0 if none
	waitingAttempts  []*attempt
	standingCalls    int
	unsentReleases   []byte        // encoded releases that wait for a link
	recoveryLinkAt   time.Duration // a link opened from then on repeats the releases lost with a link; 0 if none is due
	dialledAt        time.Duration
}

// link is one connection to a switch.
type link struct {
	id           ConnID
	neighbour    *neighbour
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
	l.lineDueSince = max(1, l.neighbour.core.now)
	if !l.checkTimer.Running() {
		l.neighbour.core.timerQueue.Set(&l.checkTimer, l.lineDueSince+halfOpenTimeout)
	}
}

// checkOverdue checks whether the line that is due has arrived. A connection with an incomplete line is closed, since
// the rest will not follow.
func (l *link) checkOverdue() {
	c := l.neighbour.core
	switch {
	case l.lineDueSince == 0:
	case c.now < l.lineDueSince+halfOpenTimeout:
		c.timerQueue.Set(&l.checkTimer, l.lineDueSince+halfOpenTimeout)
	case l.lines.Partial():
		l.closeFaulty()
	case !l.halfOpen:
		l.halfOpen = true
		l.neighbour.connect()
	}
}

// lineReceived records that a complete line arrived on the link. A change of the trunk group is reported on all links at
// once, so a line is due on each link that has delivered none just now. This does not hold for the first report on a new
// link, which is sent there alone. Half-open links are closed after a grace time.
func (l *link) lineReceived(isReport bool) {
	if l.neighbour.heartbeatSentAt != 0 {
		l.neighbour.heartbeatSentAt, l.neighbour.linkClosedAt = 0, 0 // the switch is alive, whichever link has ended
	}
	now, first := l.neighbour.core.now, l.lastLineAt == 0
	l.lineDueSince, l.halfOpen, l.lastLineAt = 0, false, max(1, now)
	for _, other := range l.neighbour.links {
		switch {
		case other == l:
		case other.halfOpen:
			l.neighbour.core.after(halfOpenGrace, func() {
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
	l.neighbour.core.write(l.id, func(b []byte) []byte { return jsonl.AppendDown(b, ref, cause, 0) })
}

// needsLink reports whether a link is kept open: for load reports while set-ups may be sent, for releases while calls
// stand.
func (n *neighbour) needsLink() bool {
	return n.phase == decide.Ready && n.number != n.core.cfg.Setup.Settings.OwnExchange || n.standingCalls > 0 || len(n.waitingAttempts) > 0 ||
		len(n.unsentReleases) > 0
}

// pickLink returns the link with the fewest open set-ups, or nil if there is none, and opens another link when all have
// many: the loss of a link cuts all set-ups on it.
func (n *neighbour) pickLink() (best *link) {
	for _, l := range n.links {
		if best == nil || best.halfOpen && !l.halfOpen || best.halfOpen == l.halfOpen && len(l.openAttempts) < len(best.openAttempts) {
			best = l
		}
	}
	if best != nil && len(best.openAttempts) >= setUpsPerLink && len(n.links) < maxSetUpLinks {
		n.connect()
	}
	return best
}

// connect opens one more link unless a dial is in progress. The last descriptors are not spent on an additional link.
func (n *neighbour) connect() {
	if n.dialling != 0 || len(n.links) >= maxLinks || len(n.links) > 0 && n.core.descriptorsInUse() >= n.core.cfg.MaxDescriptors {
		return
	}
	timeout := n.core.cfg.Setup.ConnectTimeout
	if timeout <= 0 {
		timeout = defaultConnectTimeout
	}
	n.dialledAt = n.core.now
	n.dialling = n.core.dial(n.addr, timeout)
	l := &link{id: n.dialling, neighbour: n, openAttempts: map[string]*attempt{}}
	l.checkTimer.Value = l.checkOverdue
	n.core.links[l.id] = l
}

// maintainLinks opens a link if one is needed and none is up, and, while calls stand, a new one after a loss even if
// others are up.
func (n *neighbour) maintainLinks() {
	needed := len(n.links) == 0 && n.needsLink() || n.recoveryLinkAt != 0 && n.core.now >= n.recoveryLinkAt && n.standingCalls > 0
	if needed && !n.retryScheduled && n.phase != decide.Removed && !n.replaced {
		n.connect()
	}
}

// linkUp registers an established link.
func (n *neighbour) linkUp(l *link) {
	n.dialling, n.retryDelay, n.lastDialFailed, n.lastDialTimedOut, n.linkClosedAt = 0, 0, false, false, 0
	if n.dialledAt >= n.recoveryLinkAt {
		n.recoveryLinkAt = 0
	}
	n.lastReceived = n.core.now
	n.links = append(n.links, l)
	l.expectLine() // the first load report
	if len(n.unsentReleases) > 0 {
		n.core.write(l.id, func(b []byte) []byte { return append(b, n.unsentReleases...) })
		n.unsentReleases = nil
	}
	waiting := n.waitingAttempts
	n.waitingAttempts = nil
	for _, a := range waiting {
		n.core.sendSetUp(a, l)
	}
	n.maintainLinks()
}

// handleDialFailure handles a failed dial. If the dial was refused and no link is up, the process is dead and its calls
// are over. The same holds if the switch closed its last link and no new one is established within
// maxResponseDelay. If the dial was refused while other links are up, the switch may be draining: it accepts no
// connections but is alive. A lost machine leaves its connections open.
func (n *neighbour) handleDialFailure(l *link, reason DialFailure) {
	n.dialling = 0
	delete(n.core.links, l.id)
	if reason == DialNoDescriptors { // waiting attempts have their own timeout, and standing calls are not in doubt
		n.core.evictIdleCaller()
		n.scheduleReconnect()
		return
	}
	n.lastDialFailed, n.lastDialTimedOut = true, reason == DialTimedOut
	n.endWaitingAttempts(decide.Unreachable)
	switch {
	case len(n.links) == 0 && (reason == DialRefused || n.linkClosedAt != 0 && n.core.now-n.linkClosedAt > maxResponseDelay):
		n.cutStandingCalls("accepts no new connections")
	case len(n.links) > 0 && reason == DialRefused && n.standingCalls > 0:
		n.probeLiveness()
	}
	n.scheduleReconnect()
}

// probeLiveness checks whether a switch that accepts no new link is alive. It may be draining, and silent as no set-ups
// arrive, or its process is dead and the remaining links were half-open when it died, so that no reset ends them. A
// heartbeat costs the switch work, so it is sent only after another link was closed or nothing was received for long:
// first on the link that delivered last, then on all. If no line arrives, the calls are over.
func (n *neighbour) probeLiveness() {
	c := n.core
	if n.heartbeatSentAt != 0 || n.linkClosedAt == 0 && c.now-n.lastReceived < hostLossTimeout {
		return
	}
	sentAt := max(1, c.now)
	n.heartbeatSentAt = sentAt
	newest := slices.MaxFunc(n.links, func(a, b *link) int { return cmp.Compare(a.lastLineAt, b.lastLineAt) })
	newest.sendHeartbeat()
	c.after(halfOpenTimeout, func() {
		for _, l := range n.links {
			if n.heartbeatSentAt == sentAt && l != newest {
				l.sendHeartbeat()
			}
		}
	})
	c.after(maxResponseDelay, func() {
		if n.heartbeatSentAt != sentAt {
			return
		}
		n.heartbeatSentAt = 0
		for _, l := range slices.Clone(n.links) {
			l.closeFaulty()
		}
		n.cutStandingCalls("answers no heartbeat and accepts no new connections")
	})
}

func (l *link) sendHeartbeat() {
	c := l.neighbour.core
	c.write(l.id, func(b []byte) []byte { return jsonl.AppendHeartbeat(b, c.rng.Uint64()) })
}

// scheduleReconnect dials again after the retry delay.
func (n *neighbour) scheduleReconnect() {
	n.retryDelay = min(max(2*n.retryDelay, linkRetryMin), linkRetryMax)
	n.retryScheduled = true
	n.core.after(n.core.jitter(n.retryDelay), func() {
		n.retryScheduled = false
		n.maintainLinks()
	})
}

// endWaitingAttempts ends the attempts that wait for a link.
func (n *neighbour) endWaitingAttempts(o decide.Outcome) {
	waiting := n.waitingAttempts
	n.waitingAttempts = nil
	for _, a := range waiting {
		n.core.endAttempt(a, o)
	}
}

// removeWaiting removes an attempt from those that wait for a link.
func (n *neighbour) removeWaiting(a *attempt) {
	n.waitingAttempts = slices.DeleteFunc(n.waitingAttempts, func(o *attempt) bool { return o == a })
}

// cutStandingCalls ends the calls that stood at a process that is dead or removed.
func (n *neighbour) cutStandingCalls(reason string) {
	if n.standingCalls == 0 {
		return
	}
	n.core.logLine(fmt.Sprintf("switch at %v %s: releasing its %d standing calls", n.addr, reason, n.standingCalls))
	for _, k := range n.core.standingCallsAt(n) {
		n.core.releaseFromSwitch(k, jsonl.CauseTemporaryFailure, decide.NoReport)
	}
}

func (c *Core) standingCallsAt(n *neighbour) (list []*call) {
	for _, k := range c.calls {
		if k.standing && k.neighbour == n {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b *call) int { return cmp.Or(cmp.Compare(a.id, b.id), strings.Compare(a.ref, b.ref)) })
	return list
}

// handleLoss handles the end of a link, closed by either side: the open set-ups on it are cut.
func (l *link) handleLoss() {
	if l.closed {
		return
	}
	n := l.neighbour
	l.remove()
	n.links = slices.DeleteFunc(n.links, func(o *link) bool { return o == l })
	n.recoveryLinkAt = n.core.now + lossDetectionDelay
	n.core.after(lossDetectionDelay, n.maintainLinks)
	attempts := make([]*attempt, 0, len(l.openAttempts))
	for _, a := range l.openAttempts {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *attempt) int { return cmp.Compare(a.call.id, b.call.id) })
	if len(n.links) == 0 && (n.phase == decide.Removed || n.replaced) {
		n.cutStandingCalls("was removed from the list and has closed its connections")
	}
	for _, a := range attempts {
		n.core.endAttempt(a, decide.Cut)
	}
	n.maintainLinks()
	n.core.removeIfIdle(n)
}

// remove unregisters a link that has ended.
func (l *link) remove() {
	l.closed = true
	l.neighbour.core.timerQueue.Stop(&l.checkTimer)
	delete(l.neighbour.core.links, l.id)
}

// close closes the link from this side.
func (l *link) close() {
	l.neighbour.core.close(l.id, false)
	l.handleLoss()
}

// closeFaulty closes a link that is unusable: its input was invalid, or nothing was received.
func (l *link) closeFaulty() {
	l.neighbour.core.Stats.SwitchErrors++
	l.close()
}

// sendRelease sends the release of a standing call: on the link of its set-up, else on any, else on the next one opened.
func (n *neighbour) sendRelease(k *call, cause int) {
	on := k.link
	if on == nil || on.closed {
		if len(n.links) == 0 {
			if len(n.unsentReleases) < maxUnsentBytes && n.phase != decide.Removed && !n.replaced {
				n.unsentReleases = jsonl.AppendDown(n.unsentReleases, k.ref, cause, 0)
				n.maintainLinks()
			}
			return
		}
		on = n.links[0]
	}
	on.sendDown(k.ref, cause)
}

// checkLiveness detects switches that do not respond while calls stand, and maintains the links.
func (n *neighbour) checkLiveness() {
	n.maintainLinks()
	if n.standingCalls == 0 {
		return
	}
	now := n.core.now
	switch quiet := now - n.lastReceived; {
	case quiet > hostLossTimeout && n.lastDialTimedOut:
		n.cutStandingCalls("sends nothing and connection attempts time out")
	case quiet > singleLinkIdleTimeout && len(n.links) == 1, quiet > multiLinkIdleTimeout && now-n.lastProbe > multiLinkIdleTimeout:
		n.lastProbe = now
		if len(n.links) >= maxLinks {
			n.pickLink().close()
		}
		n.connect()
	}
}

func (l *link) receive(b []byte) {
	n := l.neighbour
	n.lastReceived = n.core.now
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
	n, c := l.neighbour, l.neighbour.core
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
		case k != nil && k.standing && k.neighbour == n:
			c.releaseFromSwitch(k, m.Cause, report)
		case k == nil && c.now < releaseLifetime && len(c.earlyReleases) < maxEarlyReleases:
			c.earlyReleases[m.Ref] = earlyRelease{c.now, m.Cause}
		}
	case jsonl.TypeGauge:
		n.hasReported = true
		c.feed(decide.ReportReceived{Exchange: n.id, Outcome: decide.Completed, Report: c.parseReport(m)})
	}
}

// releaseOutcome converts a release before the answer to the decision module's terms.
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

// applyEvent applies a list event to the switches' addresses and phases. It returns the switches that changed.
func (c *Core) applyEvent(ev coordinator.Event) (changed []*neighbour) {
	if ev.Full {
		listed := map[decide.ExchangeID]bool{}
		for _, e := range ev.Entries {
			listed[decide.ExchangeID(e.ID)] = true
		}
		for _, n := range c.switchesByID() {
			if !listed[n.id] {
				n.phase = decide.Removed
				changed = append(changed, n)
			}
		}
	}
	for _, e := range ev.Entries {
		n := c.switches[decide.ExchangeID(e.ID)]
		if n == nil {
			if e.Phase == decide.Removed {
				continue
			}
			n = &neighbour{core: c, id: decide.ExchangeID(e.ID), started: e.Started, lastReceived: c.now}
			c.switches[n.id] = n
		}
		n.restarted = n.restarted || e.Started > n.started
		n.number, n.phase, n.started = e.ExchangeNumber, e.Phase, e.Started
		changed = append(changed, n)
		if e.Addr == n.addr {
			continue
		}
		n.addr, n.replaced = e.Addr, false
		for _, other := range c.switchesByID() {
			if other != n && other.addr == e.Addr {
				other.replaced = true
				changed = append(changed, other)
			}
		}
	}
	return changed
}

// handleListChange acts on a change of the switch's list entry.
func (n *neighbour) handleListChange() {
	if n.phase != decide.Ready || n.replaced {
		n.endWaitingAttempts(decide.NotSent) // the list changed while they waited for a link, so they are not sent
	}
	if len(n.links) == 0 && (n.phase == decide.Removed || n.replaced || n.restarted) {
		n.cutStandingCalls("was removed, replaced or restarted according to the list") // calls from before its removal or start are over
	}
	n.restarted = false
	n.maintainLinks()
	n.core.removeIfIdle(n)
}

// removeIfIdle removes a switch that left the list once no attempt or call is left there.
func (c *Core) removeIfIdle(n *neighbour) {
	if n.phase != decide.Removed || n.standingCalls > 0 || c.switches[n.id] != n {
		return
	}
	for _, l := range n.links {
		if len(l.openAttempts) > 0 {
			return
		}
	}
	delete(c.switches, n.id)
	links := n.links
	n.links = nil
	for _, l := range links {
		l.remove()
		c.close(l.id, false)
	}
}

// switchesByID returns the switches sorted by ID, which makes runs reproducible.
func (c *Core) switchesByID() []*neighbour {
	list := make([]*neighbour, 0, len(c.switches))
	for _, n := range c.switches {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b *neighbour) int { return cmp.Compare(a.id, b.id) })
	return list
}

// Connected reports that a dialled connection is established.
func (c *Core) Connected(now time.Duration, id ConnID) {
	c.advanceClock(now)
	if id == c.discovery.conn {
		c.discovery.connected()
		return
	}
	if l := c.links[id]; l != nil && l.neighbour.dialling == id {
		if l.neighbour.phase == decide.Removed && l.neighbour.standingCalls == 0 {
			l.neighbour.dialling = 0
			delete(c.links, id)
			c.close(id, false)
			return
		}
		l.neighbour.linkUp(l)
		return
	}
	c.close(id, false) // no longer needed
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
	if l := c.links[id]; l != nil && l.neighbour.dialling == id {
		l.neighbour.handleDialFailure(l, reason)
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
		l.neighbour.linkClosedAt = max(1, c.now)
		l.handleLoss()
	} else if id == c.discovery.conn {
		c.discovery.connectionLost()
	}
}
