package runtime

import "time"

// loopTimer is the timer of an event loop that owns a state machine: it fires once, at the earliest time requested.
type loopTimer struct {
	timer *time.Timer
	dueAt time.Duration // 0 if the timer is not set
}

// newLoopTimer returns a waker that is not set. When it fires, it calls onFire on another goroutine, which has to make the
// event loop call rang.
func newLoopTimer(onFire func()) loopTimer {
	w := loopTimer{timer: time.AfterFunc(time.Hour, onFire)}
	w.timer.Stop()
	return w
}

// fired records that the timer has fired, so that the next want sets it again.
func (w *loopTimer) fired() { w.dueAt = 0 }

// schedule sets the timer to a time at least minTimerDelay after now, unless an earlier one is set. If ok is false, it does
// nothing.
func (w *loopTimer) schedule(now, at time.Duration, ok bool) {
	at = max(at, now+minTimerDelay)
	if ok && (w.dueAt == 0 || at < w.dueAt) {
		w.dueAt = at
		w.timer.Reset(at - now)
	}
}

// stop cancels the timer.
func (w *loopTimer) stop() { w.timer.Stop() }
