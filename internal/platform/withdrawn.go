package platform

import "time"

// Limits of withdrawnRefs.
const (
	withdrawnRefLifetime = time.Minute
	maxWithdrawnRefs     = 4096
)

// withdrawnRefs are the references of calls that were sent to a switch and given up by their callers, or failed because
// the caller's connection was closed. The switch may have run such a call, so one with the same reference is not sent
// again for withdrawnRefLifetime. The oldest are forgotten if there are too many.
type withdrawnRefs struct {
	since map[string]time.Duration
	order []string // oldest first
}

func (w *withdrawnRefs) add(ref string, now time.Duration) {
	if w.since == nil {
		w.since = map[string]time.Duration{}
	}
	w.since[ref] = now
	w.order = append(w.order, ref)
	if len(w.order) > maxWithdrawnRefs {
		w.removeOldest()
	}
}

// contains reports whether a call with the reference may not be sent.
func (w *withdrawnRefs) contains(ref string) bool {
	_, known := w.since[ref]
	return known
}

// expire forgets the references whose time is over.
func (w *withdrawnRefs) expire(now time.Duration) {
	for len(w.order) > 0 && now-w.since[w.order[0]] >= withdrawnRefLifetime {
		w.removeOldest()
	}
}

func (w *withdrawnRefs) removeOldest() {
	delete(w.since, w.order[0])
	w.order = w.order[1:]
}
