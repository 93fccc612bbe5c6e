package standin

import (
	"math/rand/v2"
	"time"
)

// processor is what sets calls up at an exchange: one line of work, cold after a start, that falls over if it is
// pushed too far while it is cold. It speaks no protocol.
type processor struct {
	spec    SwitchSpec
	faults  Faults
	rng     *rand.Rand
	started time.Duration // cold from then on, unless warm
	warm    bool
	freeAt  time.Duration   // when it has done all that waits
	sent    []time.Duration // set-ups since its start, while cold
	fallen  bool
	Stats   SwitchStats
}

// newProcessor is one that has long been warm.
func newProcessor(spec SwitchSpec, seed uint64) processor {
	return processor{spec: spec, rng: rand.New(rand.NewPCG(seed, uint64(spec.Exchange))), warm: true}
}

// restart is another one in its place, cold.
func (p *processor) restart(now time.Duration) {
	p.fallen, p.warm, p.started, p.freeAt, p.sent = false, false, now, now, p.sent[:0]
}

// capacity is the part of its rate that it can do now.
func (p *processor) capacity(now time.Duration) float64 {
	if p.warm || now-p.started >= p.spec.ColdDuration {
		return 1
	}
	return p.spec.ColdCapacity + (1-p.spec.ColdCapacity)*(now-p.started).Seconds()/p.spec.ColdDuration.Seconds()
}

// work is how long it takes for one set-up now.
func (p *processor) work(now time.Duration) time.Duration {
	return time.Duration(max(1, p.faults.SlowFactor) / (p.spec.Rate * p.capacity(now)) * float64(time.Second))
}

// enqueue takes a set-up into the line and tells when it will have been looked at; false if it is turned away, or
// the processor has fallen over.
func (p *processor) enqueue(now time.Duration) (wait time.Duration, taken bool) {
	p.Stats.SetUps++
	if p.falls(now) {
		return 0, false
	}
	w := p.work(now)
	p.freeAt = max(p.freeAt, now)
	if p.freeAt-now > p.spec.QueueWait {
		p.freeAt += w / 4 // turning away costs work too
		p.Stats.QueueFull++
		return 0, false
	}
	p.freeAt += w
	return p.freeAt - now, true
}

// falls is the processor's end where it is pushed over while cold.
func (p *processor) falls(now time.Duration) bool {
	if p.fallen || p.spec.OverloadMultiple == 0 || p.capacity(now) >= 1 {
		return p.fallen
	}
	p.sent = append(p.sent, now)
	for len(p.sent) > 0 && p.sent[0] < now-p.spec.OverloadWindow {
		p.sent = p.sent[1:]
	}
	can := p.spec.Rate * p.capacity(now) * p.spec.OverloadWindow.Seconds()
	if float64(len(p.sent)) > p.spec.OverloadMultiple*can {
		p.fallen = true
		p.Stats.Collapsed++
	}
	return p.fallen
}
