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

// redialPause is how long an end waits before it makes a lost association anew.
const redialPause = 100 * time.Millisecond

// ISUPHost is one end of a group of circuits with one association to a router, and one goroutine. It connects, and
// again whenever the connection is lost.
type ISUPHost struct {
	mu      sync.Mutex
	router  netip.AddrPort
	parties [2]capture.Party // itself and the router
	tap     *capture.Writer
	cfg     isup.Config
	group   *isup.Group
	link    *m3ua.Link // nil while there is no connection
	conn    net.Conn
	seqs    [2]uint32
	cuts    [2]m3ua.Stream
	start   time.Time
	queue   timers.Queue[func()]
	on      func(e isup.Event)
	fresh   bool
	held    bool // no association is made
	closing bool
	done    chan struct{}
	stop    chan struct{}
}

func newISUPHost(router netip.AddrPort, me, of capture.Party, tap *capture.Writer, cfg isup.Config, on func(isup.Event)) *ISUPHost {
	return &ISUPHost{router: router, parties: [2]capture.Party{me, of}, tap: tap, cfg: cfg, group: isup.NewGroup(cfg),
		start: time.Now(), on: on, fresh: true, done: make(chan struct{}), stop: make(chan struct{})}
}

func (h *ISUPHost) run() { go h.loop() }

func (h *ISUPHost) now() time.Duration { return time.Since(h.start) }

// Close ends the host.
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

// Do runs f on the host's state.
func (h *ISUPHost) Do(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.settle()
	if h.conn != nil {
		_ = h.conn.SetReadDeadline(time.Now()) // the loop looks at its timers again
	}
}

// Active tells whether signalling is up.
func (h *ISUPHost) Active() (up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.link != nil && h.link.State() == m3ua.Active
}

func (h *ISUPHost) after(d time.Duration, f func()) {
	h.queue.Set(&timers.Entry[func()]{Value: f}, h.now()+max(0, d))
}

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
		case <-time.After(redialPause):
		}
	}
}

// serve runs one connection to its end.
func (h *ISUPHost) serve(conn net.Conn) {
	h.mu.Lock()
	if h.closing || h.held {
		h.mu.Unlock()
		conn.Close()
		return
	}
	h.conn, h.link = conn, m3ua.NewLink(h.now(), true, m3ua.Config{ASP: h.cfg.OwnPointCode, MaxUnsentBytes: 4 << 20})
	h.seqs, h.cuts = [2]uint32{}, [2]m3ua.Stream{}
	h.work()
	h.mu.Unlock()
	buf := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buf)
		h.mu.Lock()
		if err != nil && !isTimeout(err) || h.closing {
			break
		}
		if n > 0 {
			h.record(1, buf[:n])
			h.link.Receive(h.now(), buf[:n])
		}
		h.work()
		h.mu.Unlock()
	}
	if h.tap != nil {
		h.tap.Reset(time.Now(), h.parties[1], h.parties[0])
	}
	h.conn, h.link = nil, nil
	h.mu.Unlock()
	conn.Close()
}

// record taps bytes that this end (0) or the router (1) sent.
func (h *ISUPHost) record(who int, b []byte) {
	if h.tap == nil {
		return
	}
	at, a, z := time.Now(), h.parties[who], h.parties[1-who]
	h.tap.Segment(at, a, z, h.seqs[who], b)
	h.seqs[who] += uint32(len(b))
	_ = h.cuts[who].Feed(b, func(m []byte) error { h.tap.Message(at, a, z, m); return nil }) // what is no M3UA is in the segment
}

// work does what is due and sets the deadline of the next read.
func (h *ISUPHost) work() {
	for again := true; again; {
		now := h.now()
		for e := h.queue.Due(now); e != nil; e = h.queue.Due(now) {
			e.Value()
		}
		h.link.Advance(now)
		h.group.Advance(now)
		h.settle()
		at, ok := h.queue.Next()
		again = ok && at <= now
	}
	next, ok := h.queue.Next()
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

// settle carries what link and circuits did until all is quiet, and sends.
func (h *ISUPHost) settle() {
	if h.link == nil {
		return
	}
	now := h.now()
	for len(h.link.Events)+len(h.group.Events) > 0 {
		for i := 0; i < len(h.link.Events); i++ {
			h.linkEvent(now, h.link.Events[i])
		}
		h.link.Events = h.link.Events[:0]
		for i := 0; i < len(h.group.Events); i++ {
			h.on(h.group.Events[i])
		}
		h.group.Events = h.group.Events[:0]
	}
	for i := range h.group.Out {
		o := &h.group.Out[i]
		h.link.Send(m3ua.Data{OPC: h.cfg.OwnPointCode, DPC: h.cfg.FarPointCode, SI: m3ua.ServiceIndicatorISUP, SLS: o.SLS(), Payload: o.Data})
	}
	h.group.Out = h.group.Out[:0]
	if len(h.link.Out) > 0 {
		h.record(0, h.link.Out)
		_, _ = h.conn.Write(h.link.Out) // a connection that is gone shows at the read
		h.link.Out = h.link.Out[:0]
	}
}

func (h *ISUPHost) linkEvent(now time.Duration, e m3ua.Event) {
	switch e.Kind {
	case m3ua.Activated:
		if h.fresh {
			h.fresh = false
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

// ISUPSwitch is a stand-in for the processor of an exchange that speaks ISUP: the same processor as Switch.
type ISUPSwitch struct {
	*ISUPHost
	processor
	life  int // starts so far
	calls map[*isup.Call]bool
}

// NewISUPSwitch starts a switch that connects to a router's M3UA address.
func NewISUPSwitch(router netip.AddrPort, spec SwitchSpec, circuits isup.Config, seed uint64, tap *capture.Writer) *ISUPSwitch {
	s := &ISUPSwitch{processor: newProcessor(spec, seed), calls: map[*isup.Call]bool{}}
	s.ISUPHost = newISUPHost(router, capture.Party{Kind: capture.Switch, Exchange: spec.Exchange},
		capture.Party{Kind: capture.Router, Exchange: spec.Exchange}, tap, circuits, s.event)
	s.run()
	return s
}

// Set changes how it misbehaves: Silent, Slow, Late, Reject and HangUpAt; datagrams are none of its matter.
func (s *ISUPSwitch) Set(f Faults) { s.Do(func() { s.faults = f }) }

// Count reads the counters.
func (s *ISUPSwitch) Count() (st SwitchStats) {
	s.Do(func() { st = s.Stats })
	return st
}

func (s *ISUPSwitch) event(e isup.Event) {
	switch e.Kind {
	case isup.Offered:
		now := s.now()
		wait, taken := s.enqueue(now)
		switch {
		case s.fallen || s.faults.Unresponsive:
		case !taken:
			s.group.Release(now, e.Call, causeFull)
		default:
			s.after(wait, func() { s.looked(e.Call) })
		}
	case isup.Closed:
		delete(s.calls, e.Call)
	}
}

func (s *ISUPSwitch) looked(k *isup.Call) {
	now := s.now()
	switch {
	case s.held:
	case s.rng.Float64() < s.faults.RejectRate:
		s.group.Release(now, k, causeFault)
	case len(s.calls) >= s.spec.Lines:
		s.Stats.NoLine++
		s.group.Release(now, k, causeNoLine)
	default:
		s.calls[k] = true
		s.after(s.spec.RingTime+s.faults.AnswerDelay, func() {
			s.Stats.Answered++
			s.group.Answer(s.now(), k)
			if s.rng.Float64() < s.faults.HangUpRate {
				s.group.Release(s.now(), k, causeRunning)
			}
		})
	}
}

// ISUPCallers make whole calls over a group of circuits at a rate: for measurements.
type ISUPCallers struct {
	*ISUPHost
	rate      float64
	hold      time.Duration
	called    string
	context   string
	due       time.Duration
	running   bool
	calls     map[*isup.Call]*placed
	answered  func(time.Duration)
	Tries     int
	Answered  int
	NoCircuit int // no circuit was idle: not a try
}

type placed struct {
	at    time.Duration
	stood bool
}

// NewISUPCallers connects to a router's M3UA address; Start begins to call.
func NewISUPCallers(router netip.AddrPort, circuits isup.Config, rate float64, hold time.Duration, called, context string,
	answered func(time.Duration)) *ISUPCallers {
	c := &ISUPCallers{rate: rate, hold: hold, called: called, context: context, answered: answered, calls: map[*isup.Call]*placed{}}
	c.ISUPHost = newISUPHost(router, capture.Party{Kind: capture.Switch}, capture.Party{Kind: capture.Router}, nil, circuits, c.event)
	c.run()
	return c
}

// Start begins to call.
func (c *ISUPCallers) Start() {
	c.Do(func() {
		c.running, c.due = true, c.now()
		c.next()
	})
}

// Stop makes no further calls.
func (c *ISUPCallers) Stop() { c.Do(func() { c.running = false }) }

// Count reads the counters.
func (c *ISUPCallers) Count() (tries, stood, noIdle int) {
	c.Do(func() { tries, stood, noIdle = c.Tries, c.Answered, c.NoCircuit })
	return tries, stood, noIdle
}

// next makes calls at even gaps.
func (c *ISUPCallers) next() {
	c.due += time.Duration(float64(time.Second) / c.rate)
	c.after(c.due-c.now(), func() {
		if !c.running {
			return
		}
		if k := c.group.Seize(c.now(), isup.Request{Called: c.called, Calling: "77", Hops: -1, UserInfo: c.context}); k != nil {
			c.Tries++
			c.calls[k] = &placed{at: c.now()}
		} else {
			c.NoCircuit++
		}
		c.next()
	})
}

func (c *ISUPCallers) event(e isup.Event) {
	p := c.calls[e.Call]
	if p == nil {
		return
	}
	switch e.Kind {
	case isup.Answered:
		p.stood = true
		c.Answered++
		c.answered(c.now() - p.at)
		c.after(c.hold, func() { c.group.Release(c.now(), e.Call, causeRunning) })
	case isup.Closed:
		delete(c.calls, e.Call)
	}
}

var errNoSignalling = errors.New("standin: no signalling in 10 s")

// Await waits until signalling is up.
func (h *ISUPHost) Await() error {
	for limit := time.Now().Add(10 * time.Second); !h.Active(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			return errNoSignalling
		}
	}
	return nil
}

// ID names the processor that runs now.
func (s *ISUPSwitch) ID() (id string) {
	s.Do(func() { id = switchID(s.spec.Exchange, s.life) })
	return id
}

// Addr is that of no datagram socket: the switch connects.
func (s *ISUPSwitch) Addr() netip.AddrPort { return netip.AddrPort{} }

// Stop stops the processor: standing calls are cut, the association ends, and nothing is taken until Restart.
func (s *ISUPSwitch) Stop() {
	s.Do(func() {
		s.cutAll(1)
		s.settle()
		s.held = true
		if s.conn != nil {
			s.conn.Close()
		}
	})
}

// CutCalls cuts a share of the standing calls.
func (s *ISUPSwitch) CutCalls(share float64) { s.Do(func() { s.cutAll(share) }) }

func (s *ISUPSwitch) cutAll(share float64) {
	all := slices.Collect(maps.Keys(s.calls))
	slices.SortFunc(all, func(a, b *isup.Call) int { return int(a.CIC()) - int(b.CIC()) })
	for _, k := range all {
		if s.rng.Float64() < share {
			s.group.Release(s.now(), k, causeFault)
		}
	}
}

// Restart starts a new processor, cold, which knows of no call and resets its circuits; it returns its id.
func (s *ISUPSwitch) Restart() string {
	s.Do(func() {
		s.life++
		s.group, s.fresh, s.held = isup.NewGroup(s.cfg), true, false
		s.calls = map[*isup.Call]bool{}
		s.restart(s.now())
		if s.conn != nil {
			s.conn.Close() // the new one makes an association of its own
		}
		noteStart(s.tap, time.Now(), &s.spec, s.life)
	})
	return switchID(s.spec.Exchange, s.life)
}
