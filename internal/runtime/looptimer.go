package runtime

import "time"

// loopTimer is the timer of an event loop that owns a state machine. It fires once, at the earliest time requested since it
// last fired.
type loopTimer struct {
	timer *time.Timer
	dueAt time.Duration // 0 if the timer is not set
}

// newLoopTimer returns a timer that is not set. When it fires, it calls onFire on another goroutine, which has to make the
// event loop call fired.
func newLoopTimer(onFire func()) loopTimer {
	t := loopTimer{timer: time.AfterFunc(time.Hour, onFire)}
	t.timer.Stop()
	return t
}

// fired records that the timer has fired, so that the next call of schedule sets it again.
func (t *loopTimer) fired() { t.dueAt = 0 }

// schedule sets the timer to a time at least minTimerDelay after now, unless an earlier one is set. If ok is false, it does
// nothing.
func (t *loopTimer) schedule(now, at time.Duration, ok bool) {
	at = max(at, now+minTimerDelay)
	if ok && (t.dueAt == 0 || at < t.dueAt) {
		t.dueAt = at
		t.timer.Reset(at - now)
	}
}

// stop cancels the timer.
func (t *loopTimer) stop() { t.timer.Stop() }
