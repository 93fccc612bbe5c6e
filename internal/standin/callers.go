package standin

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/iax2"
)

// CallerClass describes the behaviour of one class of callers.
type CallerClass struct {
	Name     string // called context
	Share    float64
	Hold     time.Duration // mean; exponentially distributed unless FixedHold is set
	Patience time.Duration // limit of one try
	Deadline time.Duration // limit of all tries of a call
}

// CallersSpec describes the traffic of one exchange's subscribers.
type CallersSpec struct {
	Exchange   int
	Rate       float64 // new calls per second
	Classes    []CallerClass
	Weights    []float64 // of destinations, by exchange number
	MaxRedials int
	Backoff    time.Duration // mean wait before a redial
	Number     func(dest int, rng *rand.Rand) string
	User       string // registers if Secret is set
	Secret     string
	FixedHold  bool                // every call lasts exactly Hold
	OnAnswer   func(time.Duration) // called with each set-up delay, on the host's goroutine
}

// Callers simulates the subscribers of one exchange: many calls over one socket.
type Callers struct {
	host          *Host
	spec          CallersSpec
	router        iax2.Addr
	rng           *rand.Rand
	rateFactor    float64 // multiplies the call rate
	hangUpShare   float64 // share of tries abandoned while waiting
	redialAtOnce  bool    // redial without waiting
	redialWhenCut bool    // dial again after a call was cut
	running       bool
	nextCallAt    time.Duration // when the next new call is due
	tries         int
	tallies       map[string]*Tally
	seconds       []Tally // by second of the dial, since countingSince
	countingSince time.Duration
	openTries     map[*iax2.Dialog]*try
	registered    bool
}

// Tally counts calls and tries, the latter also by outcome as the callers saw it.
type Tally struct {
	Calls, Tries, Answered, Refused, Failed, Abandoned, Unanswered int
}

// try is one dial of a call.
type try struct {
	class        *CallerClass
	dest         int
	number       string
	firstDialled time.Duration // when the call's first try was dialled
	redials      int
	dialled      time.Duration
	answered     bool
	ended        bool
}

// NewCallers opens the callers' socket. They start calling with Start.
func NewCallers(listen, router netip.AddrPort, spec CallersSpec, seed uint64, tap *capture.Writer) (*Callers, error) {
	return NewCallersOn(NewSockets(), listen, router, spec, seed, tap)
}

// NewCallersOn is like NewCallers on a given network.
func NewCallersOn(n Net, listen, router netip.AddrPort, spec CallersSpec, seed uint64, tap *capture.Writer) (*Callers, error) {
	c := &Callers{spec: spec, rng: rand.New(rand.NewPCG(seed, 77+uint64(spec.Exchange))), rateFactor: 1,
		tallies: map[string]*Tally{}, openTries: map[*iax2.Dialog]*try{}}
	for _, cl := range spec.Classes {
		c.tallies[cl.Name] = &Tally{}
	}
	c.router, _ = iax2.AddrFrom(router)
	h, err := newHost(n, listen, capture.Party{Kind: capture.Callers, Exchange: spec.Exchange},
		capture.Party{Kind: capture.Router, Exchange: spec.Exchange}, tap, iax2.Config{AckDelay: 20 * time.Millisecond,
			Linger: 2 * time.Second}, c.handleEvent)
	if err != nil {
		return nil, err
	}
	c.host = h
	h.start()
	return c, nil
}

// Start starts the calls.
func (c *Callers) Start() {
	c.host.Do(func() {
		c.running, c.nextCallAt, c.countingSince = true, c.host.now(), c.host.now()
		if c.spec.Secret != "" {
			c.register()
		}
		c.scheduleNext()
	})
}

// Stop starts no further calls. Calls in progress continue.
func (c *Callers) Stop() { c.host.Do(func() { c.running = false }) }

// HangUp ends all calls.
func (c *Callers) HangUp() {
	c.host.Do(func() {
		// Sorted by call number, so that runs are deterministic.
		all := slices.SortedFunc(maps.Keys(c.openTries), func(a, b *iax2.Dialog) int { return int(a.CallNumber()) - int(b.CallNumber()) })
		for _, d := range all {
			c.hangUp(d, c.openTries[d])
		}
	})
}

// Close closes the socket and ends all goroutines.
func (c *Callers) Close() { c.host.Close() }

// SetRateFactor sets the factor by which the call rate is multiplied.
func (c *Callers) SetRateFactor(f float64) { c.host.Do(func() { c.rateFactor = f }) }

// SetHangUpShare sets the share of tries that callers abandon while waiting.
func (c *Callers) SetHangUpShare(share float64) { c.host.Do(func() { c.hangUpShare = share }) }

// SetRedialAtOnce makes callers redial without the usual wait.
func (c *Callers) SetRedialAtOnce(on bool) { c.host.Do(func() { c.redialAtOnce = on }) }

// SetRedialWhenCut makes callers call again after a call was cut.
func (c *Callers) SetRedialWhenCut(on bool) { c.host.Do(func() { c.redialWhenCut = on }) }

// Registered reports whether the registration was accepted.
func (c *Callers) Registered() (ok bool) {
	c.host.Do(func() { ok = c.registered })
	return ok
}

// Count returns the counters by class.
func (c *Callers) Count() map[string]Tally {
	out := map[string]Tally{}
	c.host.Do(func() {
		for name, t := range c.tallies {
			out[name] = *t
		}
	})
	return out
}

// RestartSeconds restarts the counters by second.
func (c *Callers) RestartSeconds() {
	c.host.Do(func() { c.countingSince, c.seconds = c.host.now(), nil })
}

// Seconds returns the counters of tries by the second in which they were dialled, since Start or
// RestartSeconds.
func (c *Callers) Seconds() (out []Tally) {
	c.host.Do(func() { out = append(out, c.seconds...) })
	return out
}

// tallyOfSecond returns the counters of the second in which a try was dialled.
func (c *Callers) tallyOfSecond(t *try) *Tally {
	if t.dialled < c.countingSince {
		return &Tally{} // dialled before RestartSeconds: not counted
	}
	i := int((t.dialled - c.countingSince) / time.Second)
	for len(c.seconds) <= i {
		c.seconds = append(c.seconds, Tally{})
	}
	return &c.seconds[i]
}

// register registers the user and refreshes the registration until Stop.
func (c *Callers) register() {
	const refresh = 10 * time.Second
	if _, err := c.host.ep.Register(c.host.now(), c.router, c.spec.User, c.spec.Secret, refresh); err == nil {
		c.host.after(refresh*5/6, func() {
			if c.running {
				c.register()
			}
		})
	}
}

// scheduleNext schedules the next new call of a Poisson process. The process is memoryless, so gaps above
// maxGap are drawn again, which lets a changed rate factor take effect soon.
func (c *Callers) scheduleNext() {
	const maxGap = 50 * time.Millisecond
	if !c.running {
		return
	}
	gap := time.Duration(c.rng.ExpFloat64() / (c.spec.Rate * c.rateFactor) * float64(time.Second))
	// Relative to when the last call was due, because late timers must not reduce the rate.
	c.nextCallAt += min(gap, maxGap)
	c.host.after(c.nextCallAt-c.host.now(), func() {
		if c.running && gap <= maxGap {
			c.placeCall()
		}
		c.scheduleNext()
	})
}

// Dial makes one call of the first class to an exchange, in addition to the scheduled traffic.
func (c *Callers) Dial(dest int) {
	c.host.Do(func() {
		t := &try{class: &c.spec.Classes[0], dest: dest, firstDialled: c.host.now(), number: c.spec.Number(dest, c.rng)}
		c.tallies[t.class.Name].Calls++
		c.dial(t)
	})
}

// placeCall makes a call of a random class to a random destination.
func (c *Callers) placeCall() {
	x, class := c.rng.Float64(), &c.spec.Classes[0]
	for i := range c.spec.Classes {
		if x -= c.spec.Classes[i].Share; x < 0 {
			class = &c.spec.Classes[i]
			break
		}
	}
	t := &try{class: class, dest: c.pickDestination(), firstDialled: c.host.now()}
	t.number = c.spec.Number(t.dest, c.rng)
	c.tallies[class.Name].Calls++
	c.dial(t)
}

// pickDestination draws a destination according to the weights.
func (c *Callers) pickDestination() int {
	sum := 0.0
	for _, w := range c.spec.Weights {
		sum += w
	}
	x := c.rng.Float64() * sum
	for i, w := range c.spec.Weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(c.spec.Weights) - 1
}

// dial sends a try. Each try has a unique calling number, by which a capture distinguishes them.
func (c *Callers) dial(t *try) {
	c.tries++
	c.tallies[t.class.Name].Tries++
	now := c.host.now()
	t.dialled = now
	c.tallyOfSecond(t).Tries++
	d, err := c.host.ep.Call(now, c.router, iax2.Request{Called: t.number, Context: t.class.Name,
		Calling: fmt.Sprintf("%d%07d", 10+c.spec.Exchange, c.tries), User: c.spec.User, Secret: c.spec.Secret})
	if err != nil {
		c.tallies[t.class.Name].Unanswered++
		return
	}
	c.openTries[d] = t
	c.host.after(t.class.Patience, func() {
		if !t.answered && !t.ended {
			c.tallies[t.class.Name].Unanswered++
			c.hangUp(d, t)
			c.redial(t)
		}
	})
	if c.rng.Float64() < c.hangUpShare {
		c.host.after(time.Duration(c.rng.Int64N(int64(t.class.Patience)/4)), func() {
			if !t.answered && !t.ended {
				c.tallies[t.class.Name].Abandoned++
				c.hangUp(d, t)
			}
		})
	}
}

func (c *Callers) hangUp(d *iax2.Dialog, t *try) {
	t.ended = true
	delete(c.openTries, d)
	d.Release(c.host.now(), causeNormalClearing, "")
}

func (c *Callers) handleEvent(e iax2.Event) {
	if e.Kind == iax2.RegistrationAccepted {
		c.registered = true
	}
	t := c.openTries[e.Dialog]
	if t == nil || t.ended {
		return
	}
	tally := c.tallies[t.class.Name]
	switch e.Kind {
	case iax2.Answered:
		t.answered = true
		tally.Answered++
		c.tallyOfSecond(t).Answered++
		if c.spec.OnAnswer != nil {
			c.spec.OnAnswer(c.host.now() - t.dialled)
		}
		d, hold := e.Dialog, t.class.Hold
		if !c.spec.FixedHold {
			hold = time.Duration(c.rng.ExpFloat64() * float64(hold))
		}
		c.host.after(hold, func() {
			if !t.ended {
				c.hangUp(d, t)
			}
		})
	case iax2.Released:
		c.handleEnd(e.Dialog, t, isRefusal(e.Cause), e.Cause == causeNormalClearing)
	case iax2.Lost:
		c.handleEnd(e.Dialog, t, false, false)
	}
}

// handleEnd handles the end of a try by the router; normal is set for a normal release.
func (c *Callers) handleEnd(d *iax2.Dialog, t *try, refused, normal bool) {
	t.ended = true
	delete(c.openTries, d)
	tally := c.tallies[t.class.Name]
	switch {
	case t.answered:
		if c.redialWhenCut && !normal {
			t.firstDialled, t.redials = c.host.now(), 0
			c.redial(t)
		}
		return
	case refused:
		tally.Refused++
	default:
		tally.Failed++
	}
	c.redial(t)
}

// redial repeats a call after a wait, unless the redial limit, the class's deadline or Stop prevents it.
func (c *Callers) redial(t *try) {
	wait := time.Duration((0.5 + c.rng.Float64()) * float64(c.spec.Backoff))
	if c.redialAtOnce {
		wait = 10 * time.Millisecond
	}
	if t.redials >= c.spec.MaxRedials || c.host.now()+wait-t.firstDialled > t.class.Deadline || !c.running {
		return
	}
	next := &try{class: t.class, dest: t.dest, number: t.number, firstDialled: t.firstDialled, redials: t.redials + 1}
	c.host.after(wait, func() {
		if c.running {
			c.dial(next)
		}
	})
}

// isRefusal implements the published table of causes, as a caller interprets it.
func isRefusal(cause uint8) bool {
	switch cause {
	case 1, causeUserBusy, 18, 19, 21, 22, 28, causeNoCircuit, causeCongestion, 44, 47:
		return true
	}
	return false
}
