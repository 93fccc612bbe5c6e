package decide

import (
	"fmt"
	"time"
)

// Estimate is what the controller holds true of one far end, for operators and tests; it decides nothing.
type Estimate struct {
	Number        int
	Listed        bool // a ready processor is on the list
	Cold          bool
	Free, Size    float64       // circuits of the group; Unknown until told
	Outstanding   int           // set-ups out
	ExpectedSetup time.Duration // of a set-up now
	MinSetup      time.Duration
	UsualRate     float64 // set-ups a second in quiet times
	Failures      int     // late or missing answers in a row
}

func (b Estimate) String() string {
	return fmt.Sprintf("%d listed=%t cold=%t free=%g/%g out=%d expected=%v quickest=%v usual=%.1f fails=%d", b.Number, b.Listed, b.Cold,
		b.Free, b.Size, b.Outstanding, b.ExpectedSetup.Round(time.Millisecond), b.MinSetup.Round(time.Millisecond), b.UsualRate, b.Failures)
}

// Estimates lists what is held true of every far end at a time, by number.
func (c *Controller) Estimates(now time.Duration) []Estimate {
	c.now = max(c.now, now)
	c.common = c.medianSight()
	var list []Estimate
	for _, n := range c.order {
		list = append(list, Estimate{Number: n.number, Listed: n.cur != nil, Cold: c.cold(n.cur), Free: n.free, Size: n.size, Outstanding: len(n.sent),
			ExpectedSetup: time.Duration(c.expected(n) * float64(time.Second)), MinSetup: n.quickest, UsualRate: c.usual(n), Failures: n.load.fails})
	}
	return list
}

// QueuedCalls is the number of calls that wait for a route.
func (c *Controller) QueuedCalls() int { return len(c.waiting) }
