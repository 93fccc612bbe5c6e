package standin

import (
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/isup"
	"pipitring/internal/m3ua"
	"pipitring/internal/timers"
)

// reconnectDelay is the wait before a lost connection is made again.
const reconnectDelay = 100 * time.Millisecond

// ISUPHost is one end of a circuit group, with one association to a router. It reconnects whenever the
// connection is lost.
type ISUPHost struct {
	mu            sync.Mutex
	router        netip.AddrPort
	parties       [2]capture.Party // this host and its router
	tap           *capture.Writer
	config        isup.Config
	group         *isup.Group
	link          *m3ua.Link // nil while not connected
	conn          net.Conn
	streamOffsets [2]uint32      // bytes recorded of this host's and of the router's stream
	splitters     [2]m3ua.Stream // extract the messages of these streams for the capture
	start         time.Time
	timerQueue    timers.Queue[func()]
	onEvent       func(e isup.Event)
	needsReset    bool // the processor has not reset its circuits yet
	suspended     bool // no connection is made
	closing       bool
	done          chan struct{}
	stop          chan struct{}
}

func newISUPHost(routerAddr netip.AddrPort, party, router capture.Party, tap *capture.Writer, cfg isup.Config,
	onEvent func(isup.Event)) *ISUPHost {
	return &ISUPHost{router: routerAddr, parties: [2]capture.Party{party, router}, tap: tap, config: cfg,
		group: isup.NewGroup(cfg), start: time.Now(), onEvent: onEvent, needsReset: true, done: make(chan struct{}), stop: make(chan struct{})}
}

func (h *ISUPHost) run() { go h.loop() }

func (h *ISUPHost) now() time.Duration { return time.Since(h.start) }

// Close closes the connection and ends the host's goroutine.
func (h *ISUPHost) Close() {
	h.mu.Lock()
	h.closing = true
	if h.conn != nil {
		h.conn.Close()
	}
	h.mu.Unlock()
	close(h.stop)
	<-h.done
}

// Do calls f with the host's lock held and then processes the resulting events.
func (h *ISUPHost) Do(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.processEvents()
	if h.conn != nil {
		_ = h.conn.SetReadDeadline(time.Now()) // makes the loop recompute its deadline
	}
}

// Active reports whether the association is active.
func (h *ISUPHost) Active() (up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.link != nil && h.link.State() == m3ua.Active
}

// after calls f with the host's lock held, d from now.
func (h *ISUPHost) after(d time.Duration, f func()) {
	h.timerQueue.Set(&timers.Entry[func()]{Value: f}, h.now()+max(0, d))
}

// loop connects and reconnects until Close.
func (h *ISUPHost) loop() {
	defer close(h.done)
	for {
		conn, err := net.DialTimeout("tcp4", h.router.String(), time.Second)
		if err == nil {
			h.serve(conn)
		}
		select {
		case <-h.stop:
			return
		case <-time.After(reconnectDelay):
		}
	}
}

// serve handles one connection until it ends.
func (h *ISUPHost) serve(conn net.Conn) {
	h.mu.Lock()
	if h.closing || h.suspended {
		h.mu.Unlock()
		conn.Close()
		return
	}
	h.conn, h.link = conn, m3ua.NewLink(h.now(), true, m3ua.Config{ASPIdentifier: h.config.OwnPointCode, MaxUnsentBytes: 4 << 20})
	h.streamOffsets, h.splitters = [2]uint32{}, [2]m3ua.Stream{}
	h.runDue()
	h.mu.Unlock()
	buf := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buf)
		h.mu.Lock()
		if err != nil && !isTimeout(err) || h.closing {
			break
		}
		if n > 0 {
			h.recordBytes(1, buf[:n])
			h.link.Receive(h.now(), buf[:n])
		}
		h.runDue()
		h.mu.Unlock()
	}
	if h.tap != nil {
		h.tap.Reset(time.Now(), h.parties[1], h.parties[0])
	}
	h.conn, h.link = nil, nil
	h.mu.Unlock()
	conn.Close()
}

// recordBytes adds bytes to the capture; sender is 0 for this host and 1 for the router.
func (h *ISUPHost) recordBytes(sender int, b []byte) {
	if h.tap == nil {
		return
	}
	at, from, to := time.Now(), h.parties[sender], h.parties[1-sender]
	h.tap.Segment(at, from, to, h.streamOffsets[sender], b)
	h.streamOffsets[sender] += uint32(len(b))
	// Bytes that are not M3UA are recorded only in the segment.
	_ = h.splitters[sender].Feed(b, func(m []byte) error { h.tap.Message(at, from, to, m); return nil })
}

// runDue runs all timers that are due and sets the deadline of the next read.
func (h *ISUPHost) runDue() {
	for again := true; again; {
		now := h.now()
		for e := h.timerQueue.Due(now); e != nil; e = h.timerQueue.Due(now) {
			e.Value()
		}
		h.link.Advance(now)
		h.group.Advance(now)
		h.processEvents()
		at, ok := h.timerQueue.Next()
		again = ok && at <= now
	}
	next, ok := h.timerQueue.Next()
	for _, f := range []func() (time.Duration, bool){h.link.Next, h.group.Next} {
		if at, has := f(); has && (!ok || at < next) {
			next, ok = at, true
		}
	}
	deadline := time.Time{}
	if ok {
		deadline = h.start.Add(next)
	}
	_ = h.conn.SetReadDeadline(deadline)
}

// processEvents handles the events of the association and the circuits, and sends their messages.
func (h *ISUPHost) processEvents() {
	if h.link == nil {
		return
	}
	now := h.now()
	for len(h.link.Events)+len(h.group.Events) > 0 {
		for i := 0; i < len(h.link.Events); i++ {
			h.handleLinkEvent(now, h.link.Events[i])
		}
		h.link.Events = h.link.Events[:0]
		for i := 0; i < len(h.group.Events); i++ {
			h.onEvent(h.group.Events[i])
		}
		h.group.Events = h.group.Events[:0]
	}
	for i := range h.group.Out {
		o := &h.group.Out[i]
		h.link.Send(m3ua.Data{OPC: h.config.OwnPointCode, DPC: h.config.FarPointCode, SI: m3ua.ServiceIndicatorISUP,
			SLS: o.SLS(), Payload: o.Data})
	}
	h.group.Out = h.group.Out[:0]
	if len(h.link.Out) > 0 {
		h.recordBytes(0, h.link.Out)
		_, _ = h.conn.Write(h.link.Out) // a lost connection is detected by the read
		h.link.Out = h.link.Out[:0]
	}
}

func (h *ISUPHost) handleLinkEvent(now time.Duration, e m3ua.Event) {
	switch e.Kind {
	case m3ua.Activated:
		if h.needsReset {
			h.needsReset = false
			h.group.ResetAll(now)
		} else {
			h.group.RetransmitPending(now)
		}
	case m3ua.Received:
		h.group.Receive(now, e.Data.Payload)
	case m3ua.AssociationDown:
		h.conn.Close()
	}
}

// ISUPSwitch simulates the processor of an exchange that speaks ISUP. It behaves like Switch.
type ISUPSwitch struct {
	*ISUPHost
	processor
	incarnation int // number of restarts
	calls       map[*isup.Call]bool
}

// NewISUPSwitch starts a switch that connects to a router's M3UA address.
func NewISUPSwitch(router netip.AddrPort, spec SwitchSpec, circuits isup.Config, seed uint64,
	tap *capture.Writer) *ISUPSwitch {
	s := &ISUPSwitch{processor: newProcessor(spec, seed), calls: map[*isup.Call]bool{}}
	s.ISUPHost = newISUPHost(router, capture.Party{Kind: capture.Switch, Exchange: spec.Exchange},
		capture.Party{Kind: capture.Router, Exchange: spec.Exchange}, tap, circuits, s.handleEvent)
	s.run()
	return s
}

// SetFaults sets the injected faults. Only Unresponsive, SlowFactor, AnswerDelay, RejectRate and HangUpRate have an
// effect, since there are no datagrams to lose.
func (s *ISUPSwitch) SetFaults(f Faults) { s.Do(func() { s.faults = f }) }

// Count returns the counters.
func (s *ISUPSwitch) Count() (st SwitchStats) {
	s.Do(func() { st = s.Stats })
	return st
}

func (s *ISUPSwitch) handleEvent(e isup.Event) {
	switch e.Kind {
	case isup.Offered:
		now := s.now()
		wait, accepted := s.enqueue(now)
		switch {
		case s.collapsed || s.faults.Unresponsive:
		case !accepted:
			s.group.Release(now, e.Call, causeCongestion)
		default:
			s.after(wait, func() { s.handleSetUp(e.Call) })
		}
	case isup.Closed:
		delete(s.calls, e.Call)
	}
}

// handleSetUp processes a set-up at the head of the queue.
func (s *ISUPSwitch) handleSetUp(k *isup.Call) {
	now := s.now()
	switch {
	case s.suspended:
	case s.rng.Float64() < s.faults.RejectRate:
		s.group.Release(now, k, causeTemporaryFailure)
	case len(s.calls) >= s.spec.Lines:
		s.Stats.NoCircuit++
		s.group.Release(now, k, causeNoCircuit)
	default:
		s.calls[k] = true
		s.after(s.spec.RingTime+s.faults.AnswerDelay, func() {
			s.Stats.Answered++
			s.group.Answer(s.now(), k)
			if s.rng.Float64() < s.faults.HangUpRate {
				s.group.Release(s.now(), k, causeNormalClearing)
			}
		})
	}
}

// ISUPCallers makes complete calls over a circuit group at a fixed rate, for measurements.
type ISUPCallers struct {
	*ISUPHost
	rate       float64
	hold       time.Duration
	called     string
	context    string
	nextCallAt time.Duration
	running    bool
	calls      map[*isup.Call]*placedCall
	answered   func(time.Duration)
	Tries      int
	Answered   int
	NoCircuit  int // calls not made because no circuit was idle
}

// placedCall is a call in progress.
type placedCall struct {
	at       time.Duration
	answered bool
}

// NewISUPCallers connects to a router's M3UA address. Calls start with Start.
func NewISUPCallers(router netip.AddrPort, circuits isup.Config, rate float64, hold time.Duration, called, context string,
	answered func(time.Duration)) *ISUPCallers {
	c := &ISUPCallers{rate: rate, hold: hold, called: called, context: context, answered: answered,
		calls: map[*isup.Call]*placedCall{}}
	c.ISUPHost = newISUPHost(router, capture.Party{Kind: capture.Switch}, capture.Party{Kind: capture.Router}, nil,
		circuits, c.handleEvent)
	c.run()
	return c
}

// Start starts the calls.
func (c *ISUPCallers) Start() {
	c.Do(func() {
		c.running, c.nextCallAt = true, c.now()
		c.scheduleNext()
	})
}

// Stop starts no further calls.
func (c *ISUPCallers) Stop() { c.Do(func() { c.running = false }) }

// Count returns the counters.
func (c *ISUPCallers) Count() (tries, answered, noCircuit int) {
	c.Do(func() { tries, answered, noCircuit = c.Tries, c.Answered, c.NoCircuit })
	return tries, answered, noCircuit
}

// scheduleNext schedules the next call at a constant interval.
func (c *ISUPCallers) scheduleNext() {
	c.nextCallAt += time.Duration(float64(time.Second) / c.rate)
	c.after(c.nextCallAt-c.now(), func() {
		if !c.running {
			return
		}
		if k := c.group.Seize(c.now(), isup.Request{Called: c.called, Calling: "77", Hops: -1, UserInfo: c.context}); k != nil {
			c.Tries++
			c.calls[k] = &placedCall{at: c.now()}
		} else {
			c.NoCircuit++
		}
		c.scheduleNext()
	})
}

func (c *ISUPCallers) handleEvent(e isup.Event) {
	p := c.calls[e.Call]
	if p == nil {
		return
	}
	switch e.Kind {
	case isup.Answered:
		p.answered = true
		c.Answered++
		c.answered(c.now() - p.at)
		c.after(c.hold, func() { c.group.Release(c.now(), e.Call, causeNormalClearing) })
	case isup.Closed:
		delete(c.calls, e.Call)
	}
}

var errNotActive = errors.New("standin: association not active within 10 s")

// AwaitActive waits until the association is active. It returns an error after 10 s.
func (h *ISUPHost) AwaitActive() error {
	for limit := time.Now().Add(10 * time.Second); !h.Active(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			return errNotActive
		}
	}
	return nil
}

// ID returns the ID of the running processor.
func (s *ISUPSwitch) ID() (id string) {
	s.Do(func() { id = switchID(s.spec.Exchange, s.incarnation) })
	return id
}

// Addr returns the zero AddrPort, since the switch does not listen.
func (s *ISUPSwitch) Addr() netip.AddrPort { return netip.AddrPort{} }

// Stop stops the processor: standing calls are cut, the association ends, and no set-up is accepted until
// Restart.
func (s *ISUPSwitch) Stop() {
	s.Do(func() {
		s.cutShare(1)
		s.processEvents()
		s.suspended = true
		if s.conn != nil {
			s.conn.Close()
		}
	})
}

// CutCalls cuts a share of the standing calls.
func (s *ISUPSwitch) CutCalls(share float64) { s.Do(func() { s.cutShare(share) }) }

func (s *ISUPSwitch) cutShare(share float64) {
	all := slices.Collect(maps.Keys(s.calls))
	slices.SortFunc(all, func(a, b *isup.Call) int { return int(a.CIC()) - int(b.CIC()) })
	for _, k := range all {
		if s.rng.Float64() < share {
			s.group.Release(s.now(), k, causeTemporaryFailure)
		}
	}
}

// Restart starts a new, cold processor, which has no calls and resets its circuits. It returns the processor's
// ID.
func (s *ISUPSwitch) Restart() string {
	s.Do(func() {
		s.incarnation++
		s.group, s.needsReset, s.suspended = isup.NewGroup(s.config), true, false
		s.calls = map[*isup.Call]bool{}
		s.restart(s.now())
		if s.conn != nil {
			s.conn.Close() // the new processor makes its own association
		}
		recordStart(s.tap, time.Now(), &s.spec, s.incarnation)
	})
	return switchID(s.spec.Exchange, s.incarnation)
}
