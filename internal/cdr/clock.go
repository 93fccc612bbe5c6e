package cdr

import "time"

// keptSteps is how many settings of the clock are remembered; a call that saw more counts from the oldest of them.
const keptSteps = 256

// stepAt is how far the wall clock must move against the monotonic one to count as set. Slewing by NTP stays under it
// between two looks.
const stepAt = 50 * time.Millisecond

// Clock tells the time of day of moments on the monotonic clock, as the wall clock showed it then, whatever it was
// set to since.
type Clock struct {
	steps []clockStep // oldest first
}

type clockStep struct {
	from time.Duration // on the monotonic clock
	zero time.Time     // what the wall clock would have shown at 0
}

// Observe notes what the wall clock shows now; to be called often, at least before each record is made.
func (c *Clock) Observe(now time.Duration, wall time.Time) {
	zero := wall.Round(0).Add(-now)
	if n := len(c.steps); n > 0 {
		if d := zero.Sub(c.steps[n-1].zero); d < stepAt && d > -stepAt {
			return
		}
		if n == keptSteps {
			c.steps = append(c.steps[:0], c.steps[1:]...)
		}
	}
	c.steps = append(c.steps, clockStep{now, zero})
}

// At is what the wall clock showed at a moment.
func (c *Clock) At(t time.Duration) time.Time {
	for i := len(c.steps) - 1; i > 0; i-- {
		if c.steps[i].from <= t {
			return c.steps[i].zero.Add(t).UTC()
		}
	}
	if len(c.steps) == 0 {
		return time.Time{}
	}
	return c.steps[0].zero.Add(t).UTC()
}

// Step is by how much the wall clock was set between two moments.
func (c *Clock) Step(from, to time.Duration) time.Duration {
	return c.At(to).Sub(c.At(from)) - (to - from)
}
