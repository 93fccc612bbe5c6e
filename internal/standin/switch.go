package standin

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/iax2"
)

// SwitchSpec is what a switch can do.
type SwitchSpec struct {
	Exchange     int
	Rate         float64       // set-ups a second that its processor can do
	QueueWait    time.Duration // it turns set-ups away when they would wait longer
	Lines        int           // calls at once
	ColdCapacity float64       // part of Rate right after a start
	ColdDuration time.Duration
	// OverloadMultiple and FallWindow: sent more than this multiple of what it can do for that long while it is cold,
	// it falls over and stays down. 0 is never.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	RingTime         time.Duration // from the set-up to the answer
}

// Faults are how a switch misbehaves while they are set.
type Faults struct {
	Unresponsive  bool          // takes set-ups and answers none
	SlowFactor    float64       // times slower; 0 is not
	AnswerDelay   time.Duration // answers later by this
	LossRate      float64       // share of its datagrams that are lost
	DuplicateRate float64       // share that are sent twice
	RejectRate    float64       // share of set-ups rejected with cause 41
	HangUpRate    float64       // share of calls that it hangs up right after their answer
}

// Causes that a switch gives (Q.850).
const (
	causeBusy    = 17
	causeNoLine  = 34
	causeFault   = 41
	causeFull    = 42
	causeRunning = 16
)

// Switch is a stand-in for the processor of an exchange, that speaks IAX2.
type Switch struct {
	host *Host
	processor
	id    string
	life  int // starts so far
	calls map[*iax2.Dialog]bool
	down  bool
}

// SwitchStats count since the first start.
type SwitchStats struct {
	SetUps, Answered, QueueFull, NoLine, Collapsed int
}

// NewSwitch starts a switch that has long been warm.
func NewSwitch(listen netip.AddrPort, spec SwitchSpec, seed uint64, tap *capture.Writer) (*Switch, error) {
	return NewSwitchOn(NewSockets(), listen, spec, seed, tap)
}

// NewSwitchOn starts one on a network.
func NewSwitchOn(n Net, listen netip.AddrPort, spec SwitchSpec, seed uint64, tap *capture.Writer) (*Switch, error) {
	s := &Switch{processor: newProcessor(spec, seed), calls: map[*iax2.Dialog]bool{}}
	s.id = switchID(spec.Exchange, 0)
	h, err := newHost(n, listen, capture.Party{Kind: capture.Switch, Exchange: spec.Exchange},
		capture.Party{Kind: capture.Router, Exchange: spec.Exchange}, tap, s.endpoint(), s.event)
	if err != nil {
		return nil, err
	}
	h.filter = s.copies
	s.host = h
	h.run()
	return s, nil
}

func (s *Switch) endpoint() iax2.Config {
	return iax2.Config{AcceptDelay: 200 * time.Millisecond, AckDelay: 20 * time.Millisecond, PingInterval: 5 * time.Second,
		Linger: 2 * time.Second}
}

// Addr is the switch's address.
func (s *Switch) Addr() netip.AddrPort { return s.host.Addr() }

// Close ends the stand-in.
func (s *Switch) Close() { s.host.Close() }

// Set changes how it misbehaves.
func (s *Switch) Set(f Faults) {
	s.host.Do(func() {
		s.faults = f
		s.host.deaf = f.Unresponsive || s.down || s.fallen
	})
}

// ID names the processor that runs now.
func (s *Switch) ID() (id string) {
	s.host.Do(func() { id = s.id })
	return id
}

// Count reads the counters.
func (s *Switch) Count() (st SwitchStats) {
	s.host.Do(func() { st = s.Stats })
	return st
}

// Standing is the number of calls that stand.
func (s *Switch) Standing() (n int) {
	s.host.Do(func() { n = len(s.calls) })
	return n
}

// Stop stops the processor: standing calls are cut, and nothing is answered until Restart.
func (s *Switch) Stop() {
	s.host.Do(func() {
		s.cutAll(1)
		s.host.settle()
		s.down, s.host.deaf = true, true
	})
}

// CutCalls cuts a share of the standing calls.
func (s *Switch) CutCalls(share float64) { s.host.Do(func() { s.cutAll(share) }) }

func (s *Switch) cutAll(share float64) {
	var all []*iax2.Dialog
	for d := range s.calls {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b *iax2.Dialog) int { return int(a.CallNumber()) - int(b.CallNumber()) })
	for _, d := range all {
		if s.rng.Float64() < share {
			delete(s.calls, d)
			d.Release(s.host.now(), causeFault, "cut")
		}
	}
}

// Restart starts a new processor, cold, which knows of no call; it returns its id.
func (s *Switch) Restart() string {
	s.host.Do(func() {
		s.life++
		s.id = switchID(s.spec.Exchange, s.life)
		s.host.ep = iax2.NewEndpoint(s.host.cfg)
		s.calls = map[*iax2.Dialog]bool{}
		s.down = false
		s.restart(s.host.now())
		s.host.deaf = s.faults.Unresponsive
		noteStart(s.host.tap, s.host.net.Wall(), &s.spec, s.life)
	})
	return s.id
}

func (s *Switch) event(e iax2.Event) {
	switch e.Kind {
	case iax2.Offered:
		s.offered(e.Dialog)
	case iax2.Released, iax2.Lost, iax2.Closed:
		delete(s.calls, e.Dialog)
	}
}

// offered puts a set-up in the processor's line.
func (s *Switch) offered(d *iax2.Dialog) {
	now := s.host.now()
	wait, taken := s.enqueue(now)
	switch {
	case s.fallen:
		s.host.deaf = true
	case !taken:
		d.Release(now, causeFull, "processor full")
	default:
		s.host.after(wait, func() { s.looked(d) })
	}
}

// looked is what the processor does with a set-up when its turn comes.
func (s *Switch) looked(d *iax2.Dialog) {
	now := s.host.now()
	switch {
	case d.Ended() || s.down || s.fallen:
	case s.rng.Float64() < s.faults.RejectRate:
		d.Release(now, causeFault, "rejected")
	case len(s.calls) >= s.spec.Lines:
		s.Stats.NoLine++
		d.Release(now, causeNoLine, "no line")
	default:
		s.calls[d] = true
		s.host.after(s.spec.RingTime+s.faults.AnswerDelay, func() { s.answer(d) })
	}
}

func (s *Switch) answer(d *iax2.Dialog) {
	if d.Ended() || s.down || s.fallen || !s.calls[d] {
		return
	}
	s.Stats.Answered++
	d.Answer(s.host.now())
	if s.rng.Float64() < s.faults.HangUpRate {
		delete(s.calls, d)
		d.Release(s.host.now(), causeRunning, "hung up")
	}
}

// copies loses and repeats outgoing datagrams as the faults say.
func (s *Switch) copies([]byte) int {
	switch {
	case s.down || s.fallen || s.faults.Unresponsive:
		return 0
	case s.faults.LossRate > 0 && s.rng.Float64() < s.faults.LossRate:
		return 0
	case s.faults.DuplicateRate > 0 && s.rng.Float64() < s.faults.DuplicateRate:
		return 2
	}
	return 1
}

// switchID names an exchange's processor in one of its lives: a machine that replaces another has a new name.
func switchID(exchange, life int) string { return fmt.Sprintf("exchange-%d-%d", exchange, life) }

// noteStart tells the capture that a processor started cold.
func noteStart(tap *capture.Writer, at time.Time, spec *SwitchSpec, life int) {
	if tap != nil {
		tap.Notice(at, capture.Notice{Started: &capture.Started{Exchange: spec.Exchange, ID: switchID(spec.Exchange, life),
			Rate: spec.Rate, ColdCapacity: spec.ColdCapacity, ColdDuration: spec.ColdDuration}})
	}
}
