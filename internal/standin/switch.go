package standin

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/iax2"
)

// SwitchSpec describes the capacity of a switch.
type SwitchSpec struct {
	Exchange     int
	Rate         float64       // set-ups per second
	QueueWait    time.Duration // limit of the queueing time; longer queues reject
	Lines        int           // limit of concurrent calls
	ColdCapacity float64       // share of Rate right after a start
	ColdDuration time.Duration
	// A cold processor collapses, and stays down until a restart, if it receives more than OverloadMultiple
	// times its capacity within OverloadWindow. 0 disables this.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	RingTime         time.Duration // from set-up to answer
}

// Faults are the faults that a switch injects. The zero value injects none.
type Faults struct {
	Unresponsive  bool          // does not answer set-ups
	SlowFactor    float64       // multiplies the processing time; 0 means 1
	AnswerDelay   time.Duration // added to RingTime
	LossRate      float64       // share of its datagrams that are lost
	DuplicateRate float64       // share of its datagrams that are sent twice
	RejectRate    float64       // share of set-ups rejected with cause 41
	HangUpRate    float64       // share of calls released right after their answer
}

// Q.850 causes that a switch sends.
const (
	causeUserBusy         = 17 // user busy
	causeNoCircuit        = 34 // all lines in use
	causeTemporaryFailure = 41 // injected fault, or a call cut
	causeCongestion       = 42 // queue full
	causeNormalClearing   = 16 // normal call clearing
)

// Switch simulates the processor of an exchange that speaks IAX2.
type Switch struct {
	host *Host
	processor
	id          string
	incarnation int // number of restarts
	calls       map[*iax2.Dialog]bool
	stopped     bool
}

// SwitchStats are counters since the first start.
type SwitchStats struct {
	SetUps, Answered, QueueFull, NoCircuit, Collapsed int
}

// NewSwitch starts a switch that is warm.
func NewSwitch(listen netip.AddrPort, spec SwitchSpec, seed uint64, tap *capture.Writer) (*Switch, error) {
	return NewSwitchOn(NewSockets(), listen, spec, seed, tap)
}

// NewSwitchOn is like NewSwitch on a given network.
func NewSwitchOn(n Net, listen netip.AddrPort, spec SwitchSpec, seed uint64, tap *capture.Writer) (*Switch, error) {
	s := &Switch{processor: newProcessor(spec, seed), calls: map[*iax2.Dialog]bool{}}
	s.id = switchID(spec.Exchange, 0)
	h, err := newHost(n, listen, capture.Party{Kind: capture.Switch, Exchange: spec.Exchange},
		capture.Party{Kind: capture.Router, Exchange: spec.Exchange}, tap, s.endpointConfig(), s.handleEvent)
	if err != nil {
		return nil, err
	}
	h.copies = s.datagramCopies
	s.host = h
	h.start()
	return s, nil
}

func (s *Switch) endpointConfig() iax2.Config {
	return iax2.Config{AcceptDelay: 200 * time.Millisecond, AckDelay: 20 * time.Millisecond, PingInterval: 5 * time.Second,
		Linger: 2 * time.Second}
}

// Addr returns the switch's address.
func (s *Switch) Addr() netip.AddrPort { return s.host.Addr() }

// Close closes the socket and ends the goroutine.
func (s *Switch) Close() { s.host.Close() }

// SetFaults sets the injected faults.
func (s *Switch) SetFaults(f Faults) {
	s.host.Do(func() {
		s.faults = f
		s.host.dropIncoming = f.Unresponsive || s.stopped || s.collapsed
	})
}

// ID returns the ID of the running processor.
func (s *Switch) ID() (id string) {
	s.host.Do(func() { id = s.id })
	return id
}

// Count returns the counters.
func (s *Switch) Count() (st SwitchStats) {
	s.host.Do(func() { st = s.Stats })
	return st
}

// Standing returns the number of standing calls.
func (s *Switch) Standing() (n int) {
	s.host.Do(func() { n = len(s.calls) })
	return n
}

// Stop stops the processor: standing calls are cut, and nothing is answered until Restart.
func (s *Switch) Stop() {
	s.host.Do(func() {
		s.cutShare(1)
		s.host.processEvents()
		s.stopped, s.host.dropIncoming = true, true
	})
}

// CutCalls cuts a share of the standing calls.
func (s *Switch) CutCalls(share float64) { s.host.Do(func() { s.cutShare(share) }) }

func (s *Switch) cutShare(share float64) {
	var all []*iax2.Dialog
	for d := range s.calls {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b *iax2.Dialog) int { return int(a.CallNumber()) - int(b.CallNumber()) })
	for _, d := range all {
		if s.rng.Float64() < share {
			delete(s.calls, d)
			d.Release(s.host.now(), causeTemporaryFailure, "cut")
		}
	}
}

// Restart starts a new, cold processor, which has no calls. It returns the processor's ID.
func (s *Switch) Restart() string {
	s.host.Do(func() {
		s.incarnation++
		s.id = switchID(s.spec.Exchange, s.incarnation)
		s.host.ep = iax2.NewEndpoint(s.host.cfg)
		s.calls = map[*iax2.Dialog]bool{}
		s.stopped = false
		s.restart(s.host.now())
		s.host.dropIncoming = s.faults.Unresponsive
		recordStart(s.host.tap, s.host.net.Wall(), &s.spec, s.incarnation)
	})
	return s.id
}

func (s *Switch) handleEvent(e iax2.Event) {
	switch e.Kind {
	case iax2.Offered:
		s.handleOffer(e.Dialog)
	case iax2.Released, iax2.Lost, iax2.Closed:
		delete(s.calls, e.Dialog)
	}
}

// handleOffer adds a set-up to the processor's queue.
func (s *Switch) handleOffer(d *iax2.Dialog) {
	now := s.host.now()
	wait, accepted := s.enqueue(now)
	switch {
	case s.collapsed:
		s.host.dropIncoming = true
	case !accepted:
		d.Release(now, causeCongestion, "processor full")
	default:
		s.host.after(wait, func() { s.handleSetUp(d) })
	}
}

// handleSetUp processes a set-up at the head of the queue.
func (s *Switch) handleSetUp(d *iax2.Dialog) {
	now := s.host.now()
	switch {
	case d.Ended() || s.stopped || s.collapsed:
	case s.rng.Float64() < s.faults.RejectRate:
		d.Release(now, causeTemporaryFailure, "rejected")
	case len(s.calls) >= s.spec.Lines:
		s.Stats.NoCircuit++
		d.Release(now, causeNoCircuit, "no line")
	default:
		s.calls[d] = true
		s.host.after(s.spec.RingTime+s.faults.AnswerDelay, func() { s.answer(d) })
	}
}

func (s *Switch) answer(d *iax2.Dialog) {
	if d.Ended() || s.stopped || s.collapsed || !s.calls[d] {
		return
	}
	s.Stats.Answered++
	d.Answer(s.host.now())
	if s.rng.Float64() < s.faults.HangUpRate {
		delete(s.calls, d)
		d.Release(s.host.now(), causeNormalClearing, "hung up")
	}
}

// datagramCopies returns how often to send an outgoing datagram, according to the faults.
func (s *Switch) datagramCopies([]byte) int {
	switch {
	case s.stopped || s.collapsed || s.faults.Unresponsive:
		return 0
	case s.faults.LossRate > 0 && s.rng.Float64() < s.faults.LossRate:
		return 0
	case s.faults.DuplicateRate > 0 && s.rng.Float64() < s.faults.DuplicateRate:
		return 2
	}
	return 1
}

// switchID returns the ID of an exchange's processor in one incarnation. A replacement has a new ID.
func switchID(exchange, incarnation int) string {
	return fmt.Sprintf("exchange-%d-%d", exchange, incarnation)
}

// recordStart adds a notice of a cold start to the capture.
func recordStart(tap *capture.Writer, at time.Time, spec *SwitchSpec, incarnation int) {
	if tap != nil {
		tap.Notice(at, capture.Notice{Started: &capture.Started{Exchange: spec.Exchange, ID: switchID(spec.Exchange, incarnation),
			Rate: spec.Rate, ColdCapacity: spec.ColdCapacity, ColdDuration: spec.ColdDuration}})
	}
}
