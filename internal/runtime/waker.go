package runtime

import "time"

// waker is the timer of an event loop that owns a state machine: it rings once, at the earliest time asked for.
type waker struct {
	timer *time.Timer
	at    time.Duration // 0 is not set
}

// newWaker returns a waker that is not set; ring runs beside the loop and has it call rang.
func newWaker(ring func()) waker {
	w := waker{timer: time.AfterFunc(time.Hour, ring)}
	w.timer.Stop()
	return w
}

// rang takes in that the timer has rung.
func (w *waker) rang() { w.at = 0 }

// want asks for a ring at a time, unless an earlier one is due. ok is false where there is nothing to ring for.
func (w *waker) want(now, at time.Duration, ok bool) {
	at = max(at, now+timerGrain)
	if ok && (w.at == 0 || at < w.at) {
		w.at = at
		w.timer.Reset(at - now)
	}
}

func (w *waker) stop() { w.timer.Stop() }
