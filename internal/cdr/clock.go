package cdr

import "time"

// maxClockSteps is the number of clock steps that are stored. Times before the oldest of them are converted by it.
const maxClockSteps = 256

// minClockStep is the least change of the wall clock against the monotonic one that is taken for a step. Slewing by NTP
// stays below it between two observations.
const minClockStep = 50 * time.Millisecond

// Clock converts times on the monotonic clock to what the wall clock showed then, whatever it was set to later.
type Clock struct {
	steps []clockStep // oldest first
}

// clockStep is the relation of the two clocks from a step of the wall clock until the next one.
type clockStep struct {
	from time.Duration // time of the step on the monotonic clock
	base time.Time     // what the wall clock would have shown at 0 of the monotonic clock
}

// Observe records what the wall clock shows now. It has to be called before each record is made; the more often it is
// called, the more precisely the time of a step is known.
func (c *Clock) Observe(now time.Duration, wall time.Time) {
	base := wall.Round(0).Add(-now)
	if n := len(c.steps); n > 0 {
		if d := base.Sub(c.steps[n-1].base); d < minClockStep && d > -minClockStep {
			return
		}
		if n == maxClockSteps {
			c.steps = append(c.steps[:0], c.steps[1:]...)
		}
	}
	c.steps = append(c.steps, clockStep{now, base})
}

// At returns what the wall clock showed at a monotonic time, or the zero time before the first Observe.
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

// Step returns by how much the wall clock was set between two monotonic times.
func (c *Clock) Step(from, to time.Duration) time.Duration {
	return c.At(to).Sub(c.At(from)) - (to - from)
}
