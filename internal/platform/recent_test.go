package platform

import (
	"testing"
	"time"
)

// TestRecentEntriesAreBounded guards against growing memory: of very many entries the oldest are forgotten, and all are
// once their time is over. One that was added again keeps its new time.
func TestRecentEntriesAreBounded(t *testing.T) {
	const most = 100
	r := newRecentEntries[int, string](time.Minute, most)
	for n := range 2 * most {
		r.add(n, "x", time.Duration(n))
	}
	if _, known := r.get(0); known || len(r.entries) != most || len(r.order) != most {
		t.Fatalf("%d entries kept, %d in order; the oldest is known: %v", len(r.entries), len(r.order), known)
	}
	r.add(2*most-1, "again", time.Second)
	r.remove(2*most - 2)
	r.expire(time.Minute + time.Second - 1)
	if value, known := r.get(2*most - 1); !known || value != "again" || len(r.entries) != 1 {
		t.Fatalf("%q, known: %v, of %d entries", value, known, len(r.entries))
	}
	r.expire(time.Minute + time.Second)
	if len(r.entries)+len(r.order) != 0 {
		t.Fatalf("%d entries after their time", len(r.entries))
	}
}
