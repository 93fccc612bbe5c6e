package registry

import (
	"time"

	"pipitring/decide"
)

// LongAgo is the age of a processor that started so long ago that its slow start is over, whatever its duration.
const LongAgo = time.Duration(1<<63 - 1)

// forgetDelay is how long a processor that was removed from the list is remembered, in case it comes back.
const forgetDelay = time.Hour

// StartTimes estimates how long ago each processor on the list started, from the list's timestamps and from the changes
// that this router observed itself. Timestamps come from other machines' clocks, which may be hours ahead or behind, so a
// timestamp is used only as far as it does not contradict an observation:
//
//   - On the first list, a timestamp in the past is used as it is. One that is in the future by at most the slow-start
//     duration means a start just now, by a clock slightly ahead. One further ahead, or none, gives no information; the
//     processor is then taken to have started long ago, as most have.
//   - A processor that appears later, or whose timestamp moves forward, was seen to start. It is taken to have started
//     now, or at its timestamp if that lies within the slow-start duration before now; an earlier timestamp is distrusted,
//     because a clock that is behind must not end a slow start. If that processor had in fact started long ago, it gets
//     fewer calls for one slow-start duration.
//   - A timestamp that moves back is outdated and ignored, unless the processor was removed in between.
//
// The zero value knows no processors.
type StartTimes struct {
	processors   map[string]*processorStart
	listReceived bool // a list with entries has been received
	// Distrusted counts timestamps that were not used because they contradict an observation or this router's clock.
	Distrusted uint64
}

// processorStart is the estimated start of one processor, on the router's monotonic clock.
type processorStart struct {
	startedAt   time.Duration
	longAgo     bool          // it started longer ago than any slow start lasts; startedAt is not used
	listedStart time.Time     // start time according to the list
	phase       decide.Phase  // on the last list
	removedAt   time.Duration // when it was removed from the list; 0 means it is listed
}

// Update processes a list that was received at now on the monotonic clock and at wall on the wall clock. slowStart is the
// duration of a slow start.
func (s *StartTimes) Update(now time.Duration, wall time.Time, slowStart time.Duration, l *List) {
	if s.processors == nil {
		s.processors = map[string]*processorStart{}
	}
	onList := make(map[string]bool, len(l.Entries))
	for i := range l.Entries {
		e := &l.Entries[i]
		onList[e.ID] = true
		p := s.processors[e.ID]
		switch {
		case p == nil:
			p = &processorStart{}
			s.processors[e.ID] = p
			s.setStart(p, now, wall, slowStart, e.Started, s.listReceived)
		case e.Started.After(p.listedStart), e.Started.Before(p.listedStart) && p.phase == decide.Removed && !e.Started.IsZero():
			s.setStart(p, now, wall, slowStart, e.Started, !p.listedStart.IsZero())
		}
		if p.listedStart.IsZero() || e.Started.After(p.listedStart) || p.phase == decide.Removed {
			p.listedStart = e.Started
		}
		p.phase, p.removedAt = e.Phase, 0
	}
	for id, p := range s.processors {
		switch {
		case onList[id]:
		case p.removedAt == 0:
			p.removedAt, p.phase = max(1, now), decide.Removed
		case now-p.removedAt > forgetDelay:
			delete(s.processors, id)
		}
	}
	s.listReceived = s.listReceived || len(l.Entries) > 0
}

// setStart estimates a start from the start time on the list; observed means that this router saw the processor start.
func (s *StartTimes) setStart(p *processorStart, now time.Duration, wall time.Time, slowStart time.Duration,
	listed time.Time, observed bool) {
	age := wall.Sub(listed)
	p.startedAt, p.longAgo = now, false
	switch {
	case listed.IsZero():
		p.longAgo = !observed
	case age < -slowStart:
		s.Distrusted++
		p.longAgo = !observed
	case age < 0: // a clock slightly ahead: it started now
	case age < slowStart:
		p.startedAt = now - age
	case observed:
		s.Distrusted++
	default:
		p.longAgo = true
	}
}

// Age returns how long before now a processor started, or LongAgo if it started long ago or was on no list.
func (s *StartTimes) Age(now time.Duration, id string) time.Duration {
	p := s.processors[id]
	if p == nil || p.longAgo {
		return LongAgo
	}
	return now - p.startedAt
}
