package decide

import (
	"fmt"
	"time"
)

// Estimate is the state of one neighbour as the Controller estimates it, for operators and tests. No decision
// uses it.
type Estimate struct {
	Number        int
	Listed        bool // a ready processor is on the list
	Cold          bool
	Free, Size    float64       // free circuits and all circuits of the group; Unknown until reported
	Outstanding   int           // set-ups without an answer
	ExpectedSetup time.Duration // expected time of a set-up sent now
	MinSetup      time.Duration // shortest time that a set-up took
	UsualRate     float64       // set-ups per second without overload
	Failures      int           // consecutive late or missing answers
}

// String formats the estimate as one line: the exchange number, then key=value pairs.
func (e Estimate) String() string {
	return fmt.Sprintf("%d listed=%t cold=%t free=%g/%g out=%d expected=%v quickest=%v usual=%.1f fails=%d", e.Number,
		e.Listed, e.Cold, e.Free, e.Size, e.Outstanding, e.ExpectedSetup.Round(time.Millisecond),
		e.MinSetup.Round(time.Millisecond), e.UsualRate, e.Failures)
}

// Estimates returns the estimated state of every neighbour at time now, in order of exchange number.
func (c *Controller) Estimates(now time.Duration) []Estimate {
	c.now = max(c.now, now)
	c.commonWait = c.medianWait()
	var list []Estimate
	for _, n := range c.byNumber {
		list = append(list, Estimate{Number: n.number, Listed: n.processor != nil, Cold: c.cold(n.processor),
			Free: n.free, Size: n.size, Outstanding: len(n.outstanding),
			ExpectedSetup: time.Duration(c.expectedSetup(n) * float64(time.Second)), MinSetup: n.minSetup,
			UsualRate: c.usualRate(n), Failures: n.estimate.failures})
	}
	return list
}

// QueuedCalls returns the number of calls in the wait queue.
func (c *Controller) QueuedCalls() int { return len(c.waitQueue) }
