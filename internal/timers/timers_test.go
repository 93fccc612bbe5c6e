package timers

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The queue behaves like a sorted list for any sequence of sets, moves, stops and removals.
func TestQueueAgreesWithSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type deadline struct {
			at  time.Duration
			seq int
		}
		var q Queue[int]
		entries := make([]Entry[int], 8)
		want := map[int]deadline{}
		for i := range entries {
			entries[i].Value = i
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				at := time.Duration(rapid.IntRange(0, 9).Draw(t, "at"))
				q.Set(&entries[i], at)
				want[i] = deadline{at, step}
			case 1:
				q.Stop(&entries[i])
				delete(want, i)
			case 2:
				now := time.Duration(rapid.IntRange(0, 9).Draw(t, "now"))
				var due []int
				for k, p := range want {
					if p.at <= now {
						due = append(due, k)
					}
				}
				slices.SortFunc(due, func(a, b int) int {
					return cmp.Or(cmp.Compare(want[a].at, want[b].at), cmp.Compare(want[a].seq, want[b].seq))
				})
				for _, k := range due {
					e := q.Due(now)
					if e == nil || e.Value != k {
						t.Fatalf("due at %d: got %v, want entry %d", now, e, k)
					}
					delete(want, k)
				}
				if e := q.Due(now); e != nil {
					t.Fatalf("entry %d is due at %d, want none", e.Value, now)
				}
			}
			if q.Len() != len(want) {
				t.Fatalf("%d entries, want %d", q.Len(), len(want))
			}
		}
	})
}
