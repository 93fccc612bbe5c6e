package platform

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"pipitring/internal/jsonl"
)

// Time limits of callers' connections.
const (
	firstRequestTimeout = 2 * time.Second        // a connection that has sent no request by then, or an incomplete line, is closed
	firstRequestGrace   = 300 * time.Millisecond // most callers send a request within this time; only after it a connection without one is evicted first
	callerIdleTimeout   = 10 * time.Second       // a connection without a call for this long is closed

	// maxLinesAfterClose limits the lines that are kept of a caller that has closed its connection.
	maxLinesAfterClose = 4096
)

// caller is the connection of one caller.
type caller struct {
	core           *Core
	id             ConnID
	lines          jsonl.LineSplitter
	openedAt       time.Duration
	lastUsed       time.Duration // when a request was last handled on it, or a call of it ended
	hasRequested   bool          // a heartbeat or a request of a caller was received
	isCaller       bool          // a request of a caller was received: a heartbeat alone may be a health check's
	openSetUps     int           // set-ups that await their final answer
	standingCalls  int           // standing calls that were set up or adopted on it
	answeredSetUps int           // set-ups that were answered on it
	eof            bool          // the caller has closed it, but received lines may still have to be handled
	departed       bool          // it will get eof with the next batch
	congested      bool          // it has sent more than can be read at present
	closed         bool

	received []parsedLine // lines received but not handled yet
	splitErr error        // error of splitting the bytes after these lines
}

// Accept registers a connection from a caller and returns its ID, under which the runtime reports its input. If
// the callers exceed their budget of descriptors, the connection whose loss costs least is evicted.
func (c *Core) Accept(now time.Duration) ConnID {
	c.advanceClock(now)
	c.lastConnID++
	p := &caller{core: c, id: c.lastConnID, openedAt: c.now, lastUsed: c.now}
	c.callers[p.id] = p
	if len(c.callers) > c.cfg.callerBudget(len(c.switches)) {
		c.Stats.EvictedCallers++
		c.evictionCandidate().close(false)
	}
	return p.id
}

// closeIdleCallers closes connections without calls that sent no request in time or were unused for too long.
func (c *Core) closeIdleCallers() {
	var idle []*caller
	for _, p := range c.callers {
		limit := callerIdleTimeout
		if !p.hasRequested || p.lines.Partial() {
			limit = firstRequestTimeout
		}
		if p.openSetUps == 0 && p.standingCalls == 0 && c.now-p.lastUsed > limit {
			idle = append(idle, p)
		}
	}
	for _, p := range sortByAge(idle) {
		p.close(true)
	}
}

// sortByAge sorts connections from oldest to newest. The fixed order makes runs reproducible.
func sortByAge(list []*caller) []*caller {
	slices.SortFunc(list, func(a, b *caller) int { return cmp.Compare(a.id, b.id) })
	return list
}

func (c *Core) callersByAge() []*caller { return sortByAge(slices.Collect(maps.Values(c.callers))) }

// close closes a caller's connection after sending final answers to the set-ups that are open on it.
func (p *caller) close(graceful bool) {
	if p.closed {
		return
	}
	p.closed = true
	p.answerOpenCalls()
	delete(p.core.callers, p.id)
	p.core.close(p.id, graceful)
}

// answerOpenCalls ends the set-ups that are open on a connection and sends their final answers: those without an
// attempt are refused, the others fail.
func (p *caller) answerOpenCalls() {
	open := p.core.openCallsOf(p)
	p.core.endOpenCalls(open)
	for _, k := range open {
		if k.attempts == 0 {
			p.core.Stats.Refused++
			p.sendDown(k.ref, jsonl.CauseCongestion, p.core.retryAfter())
		} else {
			p.core.Stats.Failed++
			p.sendDown(k.ref, jsonl.CauseTemporaryFailure, 0)
		}
	}
}

func (p *caller) sendDown(ref string, cause int, retryAfter time.Duration) {
	p.core.write(p.id, func(b []byte) []byte { return jsonl.AppendDown(b, ref, cause, retryAfter) })
}

// parsedLine is one received line and the error of parsing it.
type parsedLine struct {
	jsonl.Message
	err error
}

// parseInput splits received bytes into lines and parses these, up to the first invalid one. handleLines handles them.
func (p *caller) parseInput(b []byte) {
	err := p.lines.Push(b, func(line []byte) bool {
		m, err := jsonl.Parse(line)
		if !p.departed || p.mattersAfterClose(&m) {
			p.received = append(p.received, parsedLine{m, err})
		}
		return err == nil
	})
	p.splitErr = cmp.Or(p.splitErr, err)
}

// mattersAfterClose reports whether a line has an effect though its caller has closed the connection: it releases a
// standing call, or names one.
func (p *caller) mattersAfterClose(m *jsonl.Message) bool {
	if len(p.received) >= maxLinesAfterClose {
		return false
	}
	k := p.core.calls[m.Ref]
	return m.Type == jsonl.TypeDown && k != nil && k.standing || m.Type == jsonl.TypeNew && strings.Contains(m.Fields["extras"], "at:")
}

// handleLines handles the lines that parseInput has collected. A set-up that a later one of them abandons is not
// started.
func (p *caller) handleLines() {
	lines, err := p.received, p.splitErr
	p.received, p.splitErr = nil, nil
	abandonedAt := map[string]int{} // reference to the index of the last line that abandons it
	for i := range lines {
		if lines[i].Type == jsonl.TypeDown {
			abandonedAt[lines[i].Ref] = i
		}
	}
	for i := range lines {
		if p.handleMessage(&lines[i], abandonedAt[lines[i].Ref] > i); p.closed {
			return
		}
	}
	if err != nil {
		p.protocolError("")
	}
}

// protocolError answers an invalid line with a failure, if ref names its call, and closes the connection.
func (p *caller) protocolError(ref string) {
	p.core.Stats.CallerErrors++
	if ref != "" {
		p.sendDown(ref, jsonl.CauseTemporaryFailure, 0)
	}
	p.close(true)
}

func (p *caller) handleMessage(m *parsedLine, abandoned bool) {
	if m.err != nil {
		ref := m.Ref
		if k := p.core.calls[ref]; k != nil && k.caller == p {
			ref = "" // the call gets its one final answer when the connection closes
		}
		p.protocolError(ref)
		return
	}
	switch m.Type {
	case jsonl.TypeNew:
		p.handleSetUp(&m.Message, abandoned)
	case jsonl.TypeDown:
		p.handleRelease(&m.Message)
	case jsonl.TypeHeartbeat:
		p.hasRequested, p.lastUsed = true, p.core.now
		p.core.write(p.id, func(b []byte) []byte { return jsonl.AppendHeartbeatOK(b, m.Ref, p.core.Ready()) })
		p.core.sendDueReleases(p)
	case jsonl.TypeAck, jsonl.TypeWait, jsonl.TypeHeartbeatOK:
	default:
		p.protocolError(m.Ref)
	}
}

// handleSetUp handles a set-up or the adoption of a standing call. Abandoned is set if a later line abandons it.
func (p *caller) handleSetUp(m *jsonl.Message, abandoned bool) {
	c := p.core
	o, ok := p.parseOffer(m)
	if k := c.calls[m.Ref]; k != nil {
		switch {
		case ok && o.isStanding: // the call is known already; it belongs to this connection from now on
			p.callerRequestReceived()
			if k.standing {
				k.caller.standingCalls--
				k.caller = p
				p.standingCalls++
			}
		case k.caller == p && !k.standing:
			// Both set-ups have the same reference, so only one final answer can be sent. Closing the connection fails
			// both.
			p.protocolError("")
		default:
			p.protocolError(m.Ref)
		}
		return
	}
	if _, withdrawn := c.withdrawn.get(m.Ref); !ok || !o.isStanding && withdrawn {
		c.Stats.CallerErrors++
		p.sendDown(m.Ref, jsonl.CauseTemporaryFailure, 0)
		return
	}
	isOver := c.isReleasePending(m.Ref)
	p.callerRequestReceived()
	if o.isStanding {
		if !isOver { // else its release was sent just now, or is still pending
			c.adoptCall(p, m.Ref, o)
		}
		return
	}
	if abandoned || p.eof { // the caller no longer waits
		c.Stats.Abandoned++
		return
	}
	if limit := c.cfg.Setup.MaxOpenCalls; p.congested || limit > 0 && c.openSetUps >= limit || c.pastAnswerDeadline() {
		c.Stats.Refused++
		p.sendDown(m.Ref, jsonl.CauseCongestion, c.retryAfter())
		return
	}
	c.offerCall(p, m, o)
}

// retryAfter returns a random retry-after time to send to a caller, or 0 if the settings do not allow one.
func (c *Core) retryAfter() time.Duration {
	if s := c.cfg.Setup.Settings; s.SendRetryAfter {
		return c.jitter(s.MaxRetryAfter)
	}
	return 0
}

// handleRelease ends the named call: a standing call, or an open set-up, which only its own connection may abandon.
func (p *caller) handleRelease(m *jsonl.Message) {
	k := p.core.calls[m.Ref]
	switch {
	case k == nil && p.core.isReleasePending(m.Ref): // the caller ends a call that is over already
		p.callerRequestReceived()
	case k == nil:
	case k.standing:
		p.callerRequestReceived()
		p.core.releaseFromCaller(k, m.Cause)
	case k.caller == p:
		p.core.abandonCalls([]*call{k})
	}
}

// callerRequestReceived records a request that shows that the connection is a caller's: a set-up, or one that names a
// standing call. What ends a call may be sent on any caller's connection, so the pending releases are sent on this one,
// whatever the request was.
func (p *caller) callerRequestReceived() {
	p.isCaller, p.hasRequested, p.lastUsed = true, true, p.core.now
	p.core.sendPendingReleases(p)
}

// handleClose handles the end of a caller's connection: set-ups that are open on it are abandoned, standing calls stay.
func (p *caller) handleClose() {
	if p.closed {
		return
	}
	p.closed, p.eof = true, true
	delete(p.core.callers, p.id)
	p.core.abandonCalls(p.core.openCallsOf(p))
}
