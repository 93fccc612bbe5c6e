package registry

import (
	"testing"
	"time"

	"pipitring/decide"
)

const slowStart = 15 * time.Second

var wall0 = time.Date(2026, 12, 1, 14, 0, 0, 0, time.UTC)

func listOf(entries ...Entry) *List { return &List{Entries: entries} }

func TestStartTimesOnFirstList(t *testing.T) {
	for _, c := range []struct {
		name  string
		stamp time.Time
		want  time.Duration
	}{
		{"none", time.Time{}, LongAgo},
		{"five hours ago", wall0.Add(-5 * time.Hour), LongAgo},
		{"five seconds ago", wall0.Add(-5 * time.Second), 5 * time.Second},
		{"at the edge", wall0.Add(-slowStart), LongAgo},
		{"now", wall0, 0},
		{"a little ahead", wall0.Add(3 * time.Second), 0},
		{"hours ahead", wall0.Add(3 * time.Hour), LongAgo},
		{"in the year 1", time.Time{}.Add(time.Hour), LongAgo},
		{"far ahead", wall0.AddDate(400, 0, 0), LongAgo},
	} {
		var s StartTimes
		s.Update(time.Second, wall0, slowStart, listOf(Entry{ID: "a", Started: c.stamp}))
		if got := s.Age(time.Second, "a"); got != c.want {
			t.Errorf("%s: age %v, want %v", c.name, got, c.want)
		}
	}
}

// A processor that was seen to start is in slow start, whatever its timestamp, and at most as old as its timestamp.
func TestStartTimesOfNewProcessor(t *testing.T) {
	old := Entry{ID: "old", Started: wall0.Add(-time.Hour)}
	for _, c := range []struct {
		name  string
		stamp time.Time
		want  time.Duration
	}{
		{"none", time.Time{}, 0},
		{"clock behind by hours", wall0.Add(-3 * time.Hour), 0},
		{"clock ahead by hours", wall0.Add(3 * time.Hour), 0},
		{"listed late", wall0.Add(9*time.Minute + 56*time.Second), 4 * time.Second},
	} {
		var s StartTimes
		s.Update(time.Second, wall0, slowStart, listOf(old))
		now := time.Second + 10*time.Minute
		s.Update(now, wall0.Add(10*time.Minute), slowStart, listOf(old, Entry{ID: "new", Started: c.stamp}))
		if got := s.Age(now, "new"); got != c.want {
			t.Errorf("%s: age %v, want %v", c.name, got, c.want)
		}
		if got := s.Age(now, "old"); got != LongAgo {
			t.Errorf("%s: the listed processor is %v old", c.name, got)
		}
	}
}

// A processor keeps its ID over a restart. A timestamp that moves forward means a restart; one that moves back is outdated.
func TestStartTimesOfRestartedProcessor(t *testing.T) {
	var s StartTimes
	at := func(after time.Duration, phase decide.Phase, stamp time.Time) time.Duration {
		s.Update(time.Second+after, wall0.Add(after), slowStart, listOf(Entry{ID: "a", Phase: phase, Started: stamp}))
		return s.Age(time.Second+after, "a")
	}
	first := wall0.Add(-time.Hour)
	if got := at(0, decide.Ready, first); got != LongAgo {
		t.Errorf("at first: %v", got)
	}
	if got := at(time.Minute, decide.Ready, wall0.Add(58*time.Second)); got != 2*time.Second {
		t.Errorf("restarted: %v", got)
	}
	if got := at(time.Minute+time.Second, decide.Ready, first); got != 3*time.Second {
		t.Errorf("an older list made it %v old", got)
	}
	if got := at(10*time.Minute, decide.Removed, first); got < slowStart {
		t.Errorf("removed: %v", got)
	}
	if got := at(11*time.Minute, decide.Ready, wall0.Add(-2*time.Hour)); got != 0 {
		t.Errorf("listed again after its removal with a clock set back: %v", got)
	}
	s.Update(time.Hour, wall0.Add(time.Hour), slowStart, listOf())
	s.Update(3*time.Hour, wall0.Add(3*time.Hour), slowStart, listOf())
	if len(s.processors) != 0 {
		t.Errorf("%d processors are remembered after the forget delay", len(s.processors))
	}
}

// An empty first list does not count: processors on the next list were not seen to start.
func TestStartTimesAfterEmptyList(t *testing.T) {
	var s StartTimes
	s.Update(time.Second, wall0, slowStart, listOf())
	s.Update(2*time.Second, wall0.Add(time.Second), slowStart, listOf(Entry{ID: "a", Started: wall0.Add(-time.Hour)}))
	if got := s.Age(2*time.Second, "a"); got != LongAgo {
		t.Errorf("age %v", got)
	}
}
