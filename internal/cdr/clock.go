package cdr

import "time"

// maxClockSteps is the number of clock steps that are remembered. For earlier moments the oldest of them
// counts.
const maxClockSteps = 256

// minClockStep is how far the wall clock must move against the monotonic one to count as set. Slewing by NTP
// stays below it between two observations.
const minClockStep = 50 * time.Millisecond

// Clock converts moments on the monotonic clock to the time of day that the wall clock showed at that moment,
// whatever it was set to later.
type Clock struct {
	steps []clockStep // oldest first
}

type clockStep struct {
	from time.Duration // first moment on the monotonic clock
	base time.Time     // what the wall clock would have shown at 0
}

// Observe records what the wall clock shows now. It has to be called often, and always before a record is
// made.
func (c *Clock) Observe(now time.Duration, wall time.Time) {
	zero := wall.Round(0).Add(-now)
	if n := len(c.steps); n > 0 {
		if d := zero.Sub(c.steps[n-1].base); d < minClockStep && d > -minClockStep {
			return
		}
		if n == maxClockSteps {
			c.steps = append(c.steps[:0], c.steps[1:]...)
		}
	}
	c.steps = append(c.steps, clockStep{now, zero})
}

// At returns what the wall clock showed at a moment, or the zero time before the first Observe.
func (c *Clock) At(t time.Duration) time.Time {
	for i := len(c.steps) - 1; i > 0; i-- {
		if c.steps[i].from <= t {
			return c.steps[i].base.Add(t).UTC()
		}
	}
	if len(c.steps) == 0 {
		return time.Time{}
	}
	return c.steps[0].base.Add(t).UTC()
}

// Step returns by how much the wall clock was set between two moments.
func (c *Clock) Step(from, to time.Duration) time.Duration {
	return c.At(to).Sub(c.At(from)) - (to - from)
}
