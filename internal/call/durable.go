package call

import (
	"slices"
	"time"

	"pipitring/internal/timers"
)

// deferredAnswer is a final answer that waits until its record is durable.
type deferredAnswer struct {
	recordSeq uint64
	call      *call  // the call to answer; nil if release is to be sent
	release   Output // final answer of a call that has ended
	timer     timers.Entry[func(time.Duration)]
}

// legEnd is the cause with which the far end released a leg, or the loss of the far end.
type legEnd struct {
	cause Cause
	lost  bool
}

// deferAnswer delays an answer until its record is durable, for DurableTimeout at most.
func (c *Core) deferAnswer(now time.Duration, d *deferredAnswer) {
	d.timer.Value = func(now time.Duration) {
		if d.call == nil || d.call.awaitingRecord {
			c.Stats.AnsweredNotDurable++
		}
		c.deferred = slices.DeleteFunc(c.deferred, func(o *deferredAnswer) bool { return o == d })
		c.sendDeferred(now, d)
	}
	c.deferred = append(c.deferred, d)
	c.timerQueue.Set(&d.timer, now+c.settings.DurableTimeout)
}

// MarkDurable reports that all records up to and including recordSeq are durable. It sends the answers that
// waited for them.
func (c *Core) MarkDurable(now time.Duration, recordSeq uint64) {
	n := 0
	for n < len(c.deferred) && c.deferred[n].recordSeq <= recordSeq {
		n++
	}
	ready := c.deferred[:n]
	c.deferred = c.deferred[n:]
	if len(c.deferred) == 0 {
		c.deferred = nil
	}
	for _, d := range ready {
		c.timerQueue.Stop(&d.timer)
		c.sendDeferred(now, d)
	}
}

// sendDeferred sends a deferred answer. An answered call gets nothing if it ended or was answered in the meantime.
func (c *Core) sendDeferred(now time.Duration, d *deferredAnswer) {
	switch {
	case d.call == nil:
		c.emit(d.release)
	case d.call.awaitingRecord && c.calls[d.call.id] == d.call:
		c.completeAnswer(now, d.call)
	}
}

// PendingAnswers returns the number of answers that wait for a durable record.
func (c *Core) PendingAnswers() int { return len(c.deferred) }
