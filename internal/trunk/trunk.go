// Package trunk counts the circuits of a router's trunk groups, as seen from this end.
//
// A trunk group joins two exchanges. Its circuits are shared by both ends and by calls in transit. This end
// knows only the calls that it sent or received over the group. A circuit is in use from the first message of a
// set-up until the far end has confirmed the release or is considered lost.
package trunk

import (
	"fmt"
	"maps"
	"slices"
)

// Group is one trunk group.
type Group struct {
	neighbour int // number of the exchange at the other end
	size      int
	out, in   int // circuits used by calls sent and by calls received
	changed   bool
}

// Neighbour returns the number of the exchange at the other end.
func (g *Group) Neighbour() int { return g.neighbour }

// Size returns the number of circuits in service.
func (g *Group) Size() int { return g.size }

// Used returns the numbers of circuits used by calls sent and by calls received.
func (g *Group) Used() (out, in int) { return g.out, g.in }

// Free returns the number of free circuits. It is 0 if the group was resized to fewer circuits than are in use.
func (g *Group) Free() int { return max(0, g.size-g.out-g.in) }

// Seize takes width circuits for a call to be sent. It returns false and takes none if fewer are free.
func (g *Group) Seize(width int) bool { return g.reserve(width, &g.out) }

// Admit takes width circuits for a received call. It returns false and takes none if fewer are free.
func (g *Group) Admit(width int) bool { return g.reserve(width, &g.in) }

// reserve adds width circuits to used. It returns false if fewer are free.
func (g *Group) reserve(width int, used *int) bool {
	if width < 1 || g.Free() < width {
		return false
	}
	*used += width
	g.changed = true
	return true
}

// ReleaseOut frees the circuits of a sent call. It panics if more circuits are freed than are in use, since the
// count would be wrong from then on.
func (g *Group) ReleaseOut(width int) { g.free(width, &g.out) }

// ReleaseIn frees the circuits of a received call. It panics like ReleaseOut.
func (g *Group) ReleaseIn(width int) { g.free(width, &g.in) }

// free subtracts width circuits from used.
func (g *Group) free(width int, used *int) {
	if width < 1 || *used < width {
		panic(fmt.Sprintf("trunk: freeing %d circuits with %d in use toward exchange %d", width, *used, g.neighbour))
	}
	*used -= width
	g.changed = true
}

// GroupTable holds the trunk groups of one router.
type GroupTable struct {
	groups map[int]*Group
	order  []int
}

// NewGroupTable returns a table with groups of the given sizes, by the number of the exchange at the other end.
func NewGroupTable(sizes map[int]int) *GroupTable {
	t := &GroupTable{groups: map[int]*Group{}}
	t.Resize(sizes)
	return t
}

// Group returns the group toward an exchange, or nil if there is none.
func (t *GroupTable) Group(neighbour int) *Group { return t.groups[neighbour] }

// All returns the groups, ordered by exchange number.
func (t *GroupTable) All() []*Group {
	var all []*Group
	for _, neighbour := range t.order {
		all = append(all, t.groups[neighbour])
	}
	return all
}

// Resize applies new group sizes. Calls in progress keep their circuits. A group that is missing from sizes
// stays in the table with size 0.
func (t *GroupTable) Resize(sizes map[int]int) {
	for neighbour, g := range t.groups {
		if _, ok := sizes[neighbour]; !ok && g.size != 0 {
			g.size, g.changed = 0, true
		}
	}
	for neighbour, size := range sizes {
		g := t.groups[neighbour]
		if g == nil {
			g = &Group{neighbour: neighbour, changed: true}
			t.groups[neighbour] = g
		}
		if g.size != size {
			g.size, g.changed = size, true
		}
	}
	t.order = slices.Sorted(maps.Keys(t.groups))
}

// ForEachChanged calls f for each group whose circuit counts changed since the previous call, ordered by
// exchange number.
func (t *GroupTable) ForEachChanged(f func(*Group)) {
	for _, neighbour := range t.order {
		if g := t.groups[neighbour]; g.changed {
			g.changed = false
			f(g)
		}
	}
}
