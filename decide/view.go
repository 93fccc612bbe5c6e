package decide

import (
	"fmt"
	"time"
)

// Belief is what the controller holds true of one far end, for operators and tests; it decides nothing.
type Belief struct {
	Number     int
	Listed     bool // a ready processor is on the list
	Cold       bool
	Free, Size float64       // circuits of the group; Unknown until told
	Out        int           // set-ups out
	Expected   time.Duration // of a set-up now
	Quickest   time.Duration
	Usual      float64 // set-ups a second in quiet times
	Fails      int     // late or missing answers in a row
}

func (b Belief) String() string {
	return fmt.Sprintf("%d listed=%t cold=%t free=%g/%g out=%d expected=%v quickest=%v usual=%.1f fails=%d", b.Number, b.Listed, b.Cold,
		b.Free, b.Size, b.Out, b.Expected.Round(time.Millisecond), b.Quickest.Round(time.Millisecond), b.Usual, b.Fails)
}

// Beliefs lists what is held true of every far end at a time, by number.
func (c *Controller) Beliefs(now time.Duration) []Belief {
	c.now = max(c.now, now)
	c.common = c.medianSight()
	var list []Belief
	for _, n := range c.order {
		list = append(list, Belief{Number: n.number, Listed: n.cur != nil, Cold: c.cold(n.cur), Free: n.free, Size: n.size, Out: len(n.sent),
			Expected: time.Duration(c.expected(n) * float64(time.Second)), Quickest: n.quickest, Usual: c.usual(n), Fails: n.load.fails})
	}
	return list
}

// Held is the number of calls that wait for a route.
func (c *Controller) Held() int { return len(c.waiting) }
