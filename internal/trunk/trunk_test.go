package trunk

import (
	"testing"

	"pgregory.net/rapid"
)

// For any sequence of calls and resizes, the counts equal those of a plain list of calls.
func TestGroupCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 12).Draw(t, "size")
		table := NewGroupTable(map[int]int{3: size})
		g := table.Group(3)
		type seizedCircuits struct{ width, in int }
		var calls []seizedCircuits
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			used := 0
			for _, c := range calls {
				used += c.width
			}
			if g.Free() != max(0, size-used) {
				t.Fatalf("%d free of %d with %d used", g.Free(), size, used)
			}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				c := seizedCircuits{rapid.IntRange(0, 4).Draw(t, "width"), rapid.IntRange(0, 1).Draw(t, "in")}
				reserve := g.Seize
				if c.in == 1 {
					reserve = g.Admit
				}
				ok := reserve(c.width)
				if want := c.width > 0 && size-used >= c.width; ok != want {
					t.Fatalf("taking %d of %d free: %v", c.width, size-used, ok)
				}
				if ok {
					calls = append(calls, c)
				}
			case 2:
				if len(calls) > 0 {
					c := calls[0]
					calls = calls[1:]
					if c.in == 1 {
						g.ReleaseIn(c.width)
					} else {
						g.ReleaseOut(c.width)
					}
				}
			case 3:
				size = rapid.IntRange(0, 12).Draw(t, "new size")
				table.Resize(map[int]int{3: size})
			}
		}
	})
}

func TestReleaseOfUnusedCircuitsPanics(t *testing.T) {
	g := NewGroupTable(map[int]int{1: 5}).Group(1)
	g.Seize(2)
	defer func() {
		if recover() == nil {
			t.Error("three circuits were released with two in use")
		}
	}()
	g.ReleaseOut(3)
}

func TestForEachChangedReportsOnce(t *testing.T) {
	table := NewGroupTable(map[int]int{2: 5, 1: 4})
	changed := func() (neighbours []int) {
		table.ForEachChanged(func(g *Group) { neighbours = append(neighbours, g.Neighbour()) })
		return neighbours
	}
	if got := changed(); len(got) != 2 || got[0] != 1 {
		t.Errorf("new groups: %v", got)
	}
	table.Group(2).Seize(1)
	if got := changed(); len(got) != 1 || got[0] != 2 {
		t.Errorf("after a call: %v", got)
	}
	table.Resize(map[int]int{1: 4})
	if got := changed(); len(got) != 1 || table.Group(2).Free() != 0 {
		t.Errorf("after its group was removed: %v", got)
	}
}
