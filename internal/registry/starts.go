package registry

import (
	"time"

	"pipitring/decide"
)

// LongAgo stands for a start so long before now that its processor is warm whatever its figures.
const LongAgo = time.Duration(1<<63 - 1)

// forgetAfter is how long a processor that has left the list is still known when it comes back.
const forgetAfter = time.Hour

// StartTimes tells how long ago each processor on the list started, from the stamps on it and from what this router saw
// itself. Stamps are by other machines' clocks: they may be ahead or behind by hours, so a stamp is believed only
// where it does not contradict what was seen:
//
//   - On the first list a stamp in the past counts as it stands. One that is in the future by up to the cold time is
//     a start just now by a clock a little ahead; one further ahead, or none, tells nothing, and a processor of which
//     nothing is known has long been warm, as most have.
//   - A processor that appears later, or one whose stamp moves forward, has started before this router's eyes. It is
//     at most as old as its stamp says and no older than that, whatever the stamp: a clock that is behind must not
//     make a cold processor warm. It costs one that really was warm part of its calls for the cold time, once.
//   - A stamp that moves back is old news and changes nothing, unless the processor was gone in between.
//
// The zero value knows no processor.
type StartTimes struct {
	known map[string]*start
	told  bool // a list with entries has come
	// Distrusted counts stamps that could not be believed.
	Distrusted uint64
}

// start is what is known of one processor's start, on the router's clock.
type start struct {
	at    time.Duration
	long  bool // long ago
	stamp time.Time
	phase decide.Phase
	left  time.Duration // when it left the list; 0 is not
}

// Update takes a list that was told at now, wall by the clock on the wall. coldFor is how long a processor takes to be
// warm.
func (s *StartTimes) Update(now time.Duration, wall time.Time, coldFor time.Duration, l *List) {
	if s.known == nil {
		s.known = map[string]*start{}
	}
	named := make(map[string]bool, len(l.Entries))
	for i := range l.Entries {
		e := &l.Entries[i]
		named[e.ID] = true
		x := s.known[e.ID]
		switch {
		case x == nil:
			x = &start{}
			s.known[e.ID] = x
			s.judge(x, now, wall, coldFor, e.Started, s.told)
		case e.Started.After(x.stamp), e.Started.Before(x.stamp) && x.phase == decide.Removed && !e.Started.IsZero():
			s.judge(x, now, wall, coldFor, e.Started, !x.stamp.IsZero())
		}
		if x.stamp.IsZero() || e.Started.After(x.stamp) || x.phase == decide.Removed {
			x.stamp = e.Started
		}
		x.phase, x.left = e.Phase, 0
	}
	for id, x := range s.known {
		switch {
		case named[id]:
		case x.left == 0:
			x.left, x.phase = max(1, now), decide.Removed
		case now-x.left > forgetAfter:
			delete(s.known, id)
		}
	}
	s.told = s.told || len(l.Entries) > 0
}

// judge sets a start from its stamp; seen tells that this router saw it happen.
func (s *StartTimes) judge(x *start, now time.Duration, wall time.Time, coldFor time.Duration, stamp time.Time, seen bool) {
	age := wall.Sub(stamp)
	x.at, x.long = now, false
	switch {
	case stamp.IsZero():
		x.long = !seen
	case age < -coldFor:
		s.Distrusted++
		x.long = !seen
	case age < 0:
	case age < coldFor:
		x.at = now - age
	case seen:
		s.Distrusted++
	default:
		x.long = true
	}
}

// Age is how long before now a processor started; LongAgo for one that has long been warm or that no list has named.
func (s *StartTimes) Age(now time.Duration, id string) time.Duration {
	x := s.known[id]
	if x == nil || x.long {
		return LongAgo
	}
	return now - x.at
}
