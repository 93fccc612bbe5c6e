package call

import (
	"slices"
	"time"

	"pipitring/internal/timers"
)

// held is a final answer that waits until its record is durable.
type held struct {
	ticket  uint64
	call    *call  // to be answered, or nil:
	release Output // the final answer of a call that is over
	limit   timers.Entry[func(time.Duration)]
}

// farEnd is what the far end did after its answer while that was held.
type farEnd struct {
	cause Cause
	lost  bool
}

// hold keeps an answer back until its record is durable, or for Settings.Prove.
func (c *Core) hold(now time.Duration, h *held) {
	h.limit.Value = func(now time.Duration) {
		if h.call == nil || h.call.proving {
			c.Stats.AnsweredNotDurable++
		}
		c.held = slices.DeleteFunc(c.held, func(o *held) bool { return o == h })
		c.let(now, h)
	}
	c.held = append(c.held, h)
	c.queue.Set(&h.limit, now+c.set.DurableTimeout)
}

// MarkDurable tells that all records up to a ticket are: their answers go out.
func (c *Core) MarkDurable(now time.Duration, ticket uint64) {
	n := 0
	for n < len(c.held) && c.held[n].ticket <= ticket {
		n++
	}
	ready := c.held[:n]
	c.held = c.held[n:]
	if len(c.held) == 0 {
		c.held = nil
	}
	for _, h := range ready {
		c.queue.Stop(&h.limit)
		c.let(now, h)
	}
}

// let lets a held answer go. A call to be answered may have ended meanwhile: its caller left.
func (c *Core) let(now time.Duration, h *held) {
	switch {
	case h.call == nil:
		c.out(h.release)
	case h.call.proving && c.calls[h.call.id] == h.call:
		c.stand(now, h.call)
	}
}

// PendingAnswers is the number of answers that wait for their record.
func (c *Core) PendingAnswers() int { return len(c.held) }
