package platform

import "time"

// recentEntries remembers values for a limited time. If there are too many, the oldest are forgotten.
type recentEntries[K comparable, V any] struct {
	lifetime time.Duration
	most     int
	entries  map[K]recentEntry[V]
	order    []recentKey[K] // oldest first; those that were added again or removed are still in it
}

type recentEntry[V any] struct {
	value   V
	addedAt time.Duration
}

type recentKey[K comparable] struct {
	key     K
	addedAt time.Duration
}

func newRecentEntries[K comparable, V any](lifetime time.Duration, most int) *recentEntries[K, V] {
	return &recentEntries[K, V]{lifetime: lifetime, most: most, entries: map[K]recentEntry[V]{}}
}

// add remembers a value under a key; a value that the key has is replaced.
func (r *recentEntries[K, V]) add(key K, value V, now time.Duration) {
	r.entries[key] = recentEntry[V]{value, now}
	r.order = append(r.order, recentKey[K]{key, now})
	if len(r.order) > r.most {
		r.removeOldest()
	}
}

func (r *recentEntries[K, V]) get(key K) (value V, known bool) {
	e, known := r.entries[key]
	return e.value, known
}

func (r *recentEntries[K, V]) remove(key K) { delete(r.entries, key) }

// expire forgets the values whose time is over.
func (r *recentEntries[K, V]) expire(now time.Duration) {
	for len(r.order) > 0 && now-r.order[0].addedAt >= r.lifetime {
		r.removeOldest()
	}
}

func (r *recentEntries[K, V]) removeOldest() {
	oldest := r.order[0]
	r.order = r.order[1:]
	if e, known := r.entries[oldest.key]; known && e.addedAt == oldest.addedAt {
		delete(r.entries, oldest.key)
	}
}
