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

// CallerClass is how callers of one class behave.
type CallerClass struct {
	Name     string // the context they call with
	Share    float64
	Hold     time.Duration // mean; lengths are exponential
	Patience time.Duration // of one try
	Deadline time.Duration // of all tries
}

// CallersSpec is the traffic of one exchange's subscribers.
type CallersSpec struct {
	Exchange   int
	Rate       float64 // first tries a second
	Classes    []CallerClass
	Weights    []float64 // of destinations, by exchange number
	MaxRedials int
	Backoff    time.Duration // mean wait before a redial
	Number     func(dest int, rng *rand.Rand) string
	User       string // registers, if Secret is set
	Secret     string
	FixedHold  bool                // calls last just Hold
	OnAnswer   func(time.Duration) // told each set-up delay; on the host's goroutine
}

// Callers are the subscribers of one exchange: one socket, many calls.
type Callers struct {
	host       *Host
	spec       CallersSpec
	router     iax2.Addr
	rng        *rand.Rand
	factor     float64 // times the rate
	impatient  float64 // share of tries hung up while they wait
	again      bool    // redials come at once
	cutAgain   bool    // calls that are cut come again
	running    bool
	due        time.Duration // of the next first try
	tries      int
	tally      map[string]*Tally
	seconds    []Tally // by the second of the dial, since Start
	started    time.Duration
	open       map[*iax2.Dialog]*try
	registered bool
}

// Tally counts by class, as the callers saw it.
type Tally struct {
	Calls, Tries, Answered, Refused, Failed, Abandoned, Unanswered int
}

// try is one dial of a call.
type try struct {
	class    *CallerClass
	dest     int
	number   string
	first    time.Duration // the call's first try
	redials  int
	dialled  time.Duration
	answered bool
	over     bool
}

// NewCallers opens the callers' socket; they call from Start on.
func NewCallers(listen, router netip.AddrPort, spec CallersSpec, seed uint64, tap *capture.Writer) (*Callers, error) {
	return NewCallersOn(NewSockets(), listen, router, spec, seed, tap)
}

// NewCallersOn opens their address on a network.
func NewCallersOn(n Net, listen, router netip.AddrPort, spec CallersSpec, seed uint64, tap *capture.Writer) (*Callers, error) {
	c := &Callers{spec: spec, rng: rand.New(rand.NewPCG(seed, 77+uint64(spec.Exchange))), factor: 1,
		tally: map[string]*Tally{}, open: map[*iax2.Dialog]*try{}}
	for _, cl := range spec.Classes {
		c.tally[cl.Name] = &Tally{}
	}
	c.router, _ = iax2.AddrFrom(router)
	h, err := newHost(n, listen, capture.Party{Kind: capture.Callers, Exchange: spec.Exchange},
		capture.Party{Kind: capture.Router, Exchange: spec.Exchange}, tap, iax2.Config{AckDelay: 20 * time.Millisecond,
			Linger: 2 * time.Second}, c.event)
	if err != nil {
		return nil, err
	}
	c.host = h
	h.run()
	return c, nil
}

// Start begins to call.
func (c *Callers) Start() {
	c.host.Do(func() {
		c.running, c.due, c.started = true, c.host.now(), c.host.now()
		if c.spec.Secret != "" {
			c.register()
		}
		c.next()
	})
}

// Stop makes no further calls; those out go on.
func (c *Callers) Stop() { c.host.Do(func() { c.running = false }) }

// HangUp ends all calls.
func (c *Callers) HangUp() {
	c.host.Do(func() {
		// In order of their numbers: two runs hang up alike.
		all := slices.SortedFunc(maps.Keys(c.open), func(a, b *iax2.Dialog) int { return int(a.CallNumber()) - int(b.CallNumber()) })
		for _, d := range all {
			c.hangUp(d, c.open[d])
		}
	})
}

// Close ends the stand-in.
func (c *Callers) Close() { c.host.Close() }

// SetRateFactor multiplies the rate.
func (c *Callers) SetRateFactor(f float64) { c.host.Do(func() { c.factor = f }) }

// SetHangUpShare makes a share of the callers hang up while they wait.
func (c *Callers) SetHangUpShare(share float64) { c.host.Do(func() { c.impatient = share }) }

// RedialAtOnce makes callers redial without a wait.
func (c *Callers) RedialAtOnce(on bool) { c.host.Do(func() { c.again = on }) }

// RedialWhenCut makes calls that are cut come again.
func (c *Callers) RedialWhenCut(on bool) { c.host.Do(func() { c.cutAgain = on }) }

// Registered tells whether the registration was taken.
func (c *Callers) Registered() (ok bool) {
	c.host.Do(func() { ok = c.registered })
	return ok
}

// Count reads the counters.
func (c *Callers) Count() map[string]Tally {
	out := map[string]Tally{}
	c.host.Do(func() {
		for name, t := range c.tally {
			out[name] = *t
		}
	})
	return out
}

// RestartSeconds begins to count by the second anew.
func (c *Callers) RestartSeconds() { c.host.Do(func() { c.started, c.seconds = c.host.now(), nil }) }

// Seconds reads the counters of tries by the second in which they were dialled, since Start or Watch.
func (c *Callers) Seconds() (out []Tally) {
	c.host.Do(func() { out = append(out, c.seconds...) })
	return out
}

// second finds the counters of the second in which a try was dialled.
func (c *Callers) second(t *try) *Tally {
	if t.dialled < c.started {
		return &Tally{} // dialled before the watch began: counted by nobody
	}
	i := int((t.dialled - c.started) / time.Second)
	for len(c.seconds) <= i {
		c.seconds = append(c.seconds, Tally{})
	}
	return &c.seconds[i]
}

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

// next schedules the next first try of a Poisson stream. It has no memory, so a long gap is drawn anew now and
// then: a changed factor counts soon.
func (c *Callers) next() {
	const longest = 50 * time.Millisecond
	if !c.running {
		return
	}
	gap := time.Duration(c.rng.ExpFloat64() / (c.spec.Rate * c.factor) * float64(time.Second))
	// From when the last one was due, not from when it came: a late timer must not thin the stream.
	c.due += min(gap, longest)
	c.host.after(c.due-c.host.now(), func() {
		if c.running && gap <= longest {
			c.first()
		}
		c.next()
	})
}

// Dial makes one call of the first class to an exchange, beside the stream.
func (c *Callers) Dial(dest int) {
	c.host.Do(func() {
		t := &try{class: &c.spec.Classes[0], dest: dest, first: c.host.now(), number: c.spec.Number(dest, c.rng)}
		c.tally[t.class.Name].Calls++
		c.dial(t)
	})
}

func (c *Callers) first() {
	x, class := c.rng.Float64(), &c.spec.Classes[0]
	for i := range c.spec.Classes {
		if x -= c.spec.Classes[i].Share; x < 0 {
			class = &c.spec.Classes[i]
			break
		}
	}
	t := &try{class: class, dest: c.pick(), first: c.host.now()}
	t.number = c.spec.Number(t.dest, c.rng)
	c.tally[class.Name].Calls++
	c.dial(t)
}

func (c *Callers) pick() int {
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

// dial sends a try; each has a calling number of its own, by which a capture tells calls apart.
func (c *Callers) dial(t *try) {
	c.tries++
	c.tally[t.class.Name].Tries++
	now := c.host.now()
	t.dialled = now
	c.second(t).Tries++
	d, err := c.host.ep.Call(now, c.router, iax2.Request{Called: t.number, Context: t.class.Name,
		Calling: fmt.Sprintf("%d%07d", 10+c.spec.Exchange, c.tries), User: c.spec.User, Secret: c.spec.Secret})
	if err != nil {
		c.tally[t.class.Name].Unanswered++
		return
	}
	c.open[d] = t
	c.host.after(t.class.Patience, func() {
		if !t.answered && !t.over {
			c.tally[t.class.Name].Unanswered++
			c.hangUp(d, t)
			c.redial(t)
		}
	})
	if c.rng.Float64() < c.impatient {
		c.host.after(time.Duration(c.rng.Int64N(int64(t.class.Patience)/4)), func() {
			if !t.answered && !t.over {
				c.tally[t.class.Name].Abandoned++
				c.hangUp(d, t)
			}
		})
	}
}

func (c *Callers) hangUp(d *iax2.Dialog, t *try) {
	t.over = true
	delete(c.open, d)
	d.Release(c.host.now(), causeRunning, "")
}

func (c *Callers) event(e iax2.Event) {
	if e.Kind == iax2.RegisterDone {
		c.registered = true
	}
	t := c.open[e.Dialog]
	if t == nil || t.over {
		return
	}
	count := c.tally[t.class.Name]
	switch e.Kind {
	case iax2.Answered:
		t.answered = true
		count.Answered++
		c.second(t).Answered++
		if c.spec.OnAnswer != nil {
			c.spec.OnAnswer(c.host.now() - t.dialled)
		}
		d, hold := e.Dialog, t.class.Hold
		if !c.spec.FixedHold {
			hold = time.Duration(c.rng.ExpFloat64() * float64(hold))
		}
		c.host.after(hold, func() {
			if !t.over {
				c.hangUp(d, t)
			}
		})
	case iax2.Released:
		c.ended(e.Dialog, t, refusal(e.Cause), e.Cause == causeRunning)
	case iax2.Lost:
		c.ended(e.Dialog, t, false, false)
	}
}

func (c *Callers) ended(d *iax2.Dialog, t *try, refused, normal bool) {
	t.over = true
	delete(c.open, d)
	count := c.tally[t.class.Name]
	switch {
	case t.answered:
		if c.cutAgain && !normal {
			t.first, t.redials = c.host.now(), 0
			c.redial(t)
		}
		return
	case refused:
		count.Refused++
	default:
		count.Failed++
	}
	c.redial(t)
}

// redial tries again after a wait, within the class's deadline.
func (c *Callers) redial(t *try) {
	wait := time.Duration((0.5 + c.rng.Float64()) * float64(c.spec.Backoff))
	if c.again {
		wait = 10 * time.Millisecond
	}
	if t.redials >= c.spec.MaxRedials || c.host.now()+wait-t.first > t.class.Deadline || !c.running {
		return
	}
	next := &try{class: t.class, dest: t.dest, number: t.number, first: t.first, redials: t.redials + 1}
	c.host.after(wait, func() {
		if c.running {
			c.dial(next)
		}
	})
}

// refusal is the published table of causes, as a caller reads it.
func refusal(cause uint8) bool {
	switch cause {
	case 1, causeBusy, 18, 19, 21, 22, 28, causeNoLine, causeFull, 44, 47:
		return true
	}
	return false
}
