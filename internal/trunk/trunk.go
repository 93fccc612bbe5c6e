// Package trunk keeps the circuits of one router's trunk groups, as this end sees them.
//
// A group joins two exchanges and is shared by both ends and by calls in transit. This end knows the calls that
// it sent over the group and those that came over it; a circuit is taken from the first message of a set-up
// until the far end has confirmed the release, or is held to be gone.
package trunk

import (
	"fmt"
	"maps"
	"slices"
)

// Group is one trunk group.
type Group struct {
	far     int // number of the exchange at the other end
	size    int
	out, in int // circuits held by calls sent and received over it
	changed bool
}

// Neighbour is the number of the exchange at the other end.
func (g *Group) Neighbour() int { return g.far }

// Size is the number of circuits in service.
func (g *Group) Size() int { return g.size }

// Used is the number of circuits taken by calls sent over the group and by calls received over it.
func (g *Group) Used() (out, in int) { return g.out, g.in }

// Free is the number of circuits that a set-up may take. A group that lost circuits in service can hold more
// calls than circuits for a while: then none are free.
func (g *Group) Free() int { return max(0, g.size-g.out-g.in) }

// Seize takes circuits for a call sent over the group; false if there are too few.
func (g *Group) Seize(width int) bool { return g.take(width, &g.out) }

// Admit takes circuits for a call received over the group; false if there are too few.
func (g *Group) Admit(width int) bool { return g.take(width, &g.in) }

func (g *Group) take(width int, used *int) bool {
	if width < 1 || g.Free() < width {
		return false
	}
	*used += width
	g.changed = true
	return true
}

// ReleaseOut frees circuits of a call sent. Freeing what was never taken is a defect of the caller and panics, since
// the count would be wrong from then on; so does ReleaseIn.
func (g *Group) ReleaseOut(width int) { g.give(width, &g.out) }

// ReleaseIn frees circuits of a call received.
func (g *Group) ReleaseIn(width int) { g.give(width, &g.in) }

func (g *Group) give(width int, used *int) {
	if width < 1 || *used < width {
		panic(fmt.Sprintf("trunk: freeing %d circuits of %d taken toward exchange %d", width, *used, g.far))
	}
	*used -= width
	g.changed = true
}

// GroupTable holds the groups of one router.
type GroupTable struct {
	groups map[int]*Group
	order  []int
}

// NewGroupTable makes groups of the given sizes, by the number of the exchange at the other end.
func NewGroupTable(sizes map[int]int) *GroupTable {
	b := &GroupTable{groups: map[int]*Group{}}
	b.Resize(sizes)
	return b
}

// Group finds the group toward an exchange; nil if there is none.
func (b *GroupTable) Group(far int) *Group { return b.groups[far] }

// All lists the groups by exchange number.
func (b *GroupTable) All() []*Group {
	var all []*Group
	for _, far := range b.order {
		all = append(all, b.groups[far])
	}
	return all
}

// Resize takes new sizes. Calls keep their circuits; a group that is no longer named keeps size 0 and goes
// when its last call does.
func (b *GroupTable) Resize(sizes map[int]int) {
	for far, g := range b.groups {
		if _, ok := sizes[far]; !ok && g.size != 0 {
			g.size, g.changed = 0, true
		}
	}
	for far, size := range sizes {
		g := b.groups[far]
		if g == nil {
			g = &Group{far: far, changed: true}
			b.groups[far] = g
		}
		if g.size != size {
			g.size, g.changed = size, true
		}
	}
	b.order = slices.Sorted(maps.Keys(b.groups))
}

// ForEachChanged calls f for each group whose circuits changed since the last time, by exchange number.
func (b *GroupTable) ForEachChanged(f func(*Group)) {
	for _, far := range b.order {
		if g := b.groups[far]; g.changed {
			g.changed = false
			f(g)
		}
	}
}
