package standin

import (
	"math/rand/v2"
	"time"
)

// processor simulates the set-up processor of an exchange, independently of the protocol. It has one queue, is
// cold after a start, and collapses if it is overloaded while cold.
type processor struct {
	spec         SwitchSpec
	faults       Faults
	rng          *rand.Rand
	started      time.Duration // last start; the processor is cold for ColdDuration after it, unless warm is set
	warm         bool
	queueEmptyAt time.Duration
	recentSetUps []time.Duration // set-ups in the last OverloadWindow while cold
	collapsed    bool
	Stats        SwitchStats
}

// newProcessor returns a processor that is warm.
func newProcessor(spec SwitchSpec, seed uint64) processor {
	return processor{spec: spec, rng: rand.New(rand.NewPCG(seed, uint64(spec.Exchange))), warm: true}
}

// restart replaces the processor by a cold one.
func (p *processor) restart(now time.Duration) {
	p.collapsed, p.warm, p.started, p.queueEmptyAt, p.recentSetUps = false, false, now, now, p.recentSetUps[:0]
}

// capacity returns the share of Rate that the processor can handle now.
func (p *processor) capacity(now time.Duration) float64 {
	if p.warm || now-p.started >= p.spec.ColdDuration {
		return 1
	}
	return p.spec.ColdCapacity + (1-p.spec.ColdCapacity)*(now-p.started).Seconds()/p.spec.ColdDuration.Seconds()
}

// setUpTime returns the processing time of one set-up now.
func (p *processor) setUpTime(now time.Duration) time.Duration {
	return time.Duration(max(1, p.faults.SlowFactor) / (p.spec.Rate * p.capacity(now)) * float64(time.Second))
}

// enqueue adds a set-up to the queue and returns the time until it has been processed. accepted is false if the
// set-up was rejected because the queue is full, or if the processor has collapsed.
func (p *processor) enqueue(now time.Duration) (wait time.Duration, accepted bool) {
	p.Stats.SetUps++
	if p.checkOverload(now) {
		return 0, false
	}
	w := p.setUpTime(now)
	p.queueEmptyAt = max(p.queueEmptyAt, now)
	if p.queueEmptyAt-now > p.spec.QueueWait {
		p.queueEmptyAt += w / 4 // a rejection takes processing time too
		p.Stats.QueueFull++
		return 0, false
	}
	p.queueEmptyAt += w
	return p.queueEmptyAt - now, true
}

// checkOverload counts a set-up and reports whether the processor has collapsed.
func (p *processor) checkOverload(now time.Duration) bool {
	if p.collapsed || p.spec.OverloadMultiple == 0 || p.capacity(now) >= 1 {
		return p.collapsed
	}
	p.recentSetUps = append(p.recentSetUps, now)
	for len(p.recentSetUps) > 0 && p.recentSetUps[0] < now-p.spec.OverloadWindow {
		p.recentSetUps = p.recentSetUps[1:]
	}
	capacity := p.spec.Rate * p.capacity(now) * p.spec.OverloadWindow.Seconds()
	if float64(len(p.recentSetUps)) > p.spec.OverloadMultiple*capacity {
		p.collapsed = true
		p.Stats.Collapsed++
	}
	return p.collapsed
}
