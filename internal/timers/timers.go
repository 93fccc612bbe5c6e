// Package timers implements a queue of deadlines for state machines that receive the time as an argument.
//
// The queue is an indexed binary heap: setting, moving and stopping a deadline takes O(log n) and allocates
// nothing. Entries with the same deadline are returned in the order in which they were set, so that runs are
// deterministic.
package timers

import "time"

// Entry is one deadline with the value that it is set for. The zero value is stopped.
type Entry[T any] struct {
	Value    T
	at       time.Duration
	seq      uint64
	position int // heap index plus 1; 0 if stopped
}

// Running reports whether the entry is in a queue.
func (e *Entry[T]) Running() bool { return e.position > 0 }

// At returns the deadline of a running entry.
func (e *Entry[T]) At() time.Duration { return e.at }

// Queue holds running entries. The zero value is an empty queue.
type Queue[T any] struct {
	heap []*Entry[T]
	seq  uint64
}

// Len returns the number of running entries.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Next returns the earliest deadline; ok is false if there is none.
func (q *Queue[T]) Next() (at time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Set starts an entry, or moves a running one to a new deadline.
func (q *Queue[T]) Set(e *Entry[T], at time.Duration) {
	q.seq++
	e.at, e.seq = at, q.seq
	if e.position == 0 {
		q.heap = append(q.heap, e)
		e.position = len(q.heap)
	}
	q.up(e.position - 1)
	q.down(e.position - 1)
}

// Stop removes an entry from the queue. It has no effect on a stopped entry.
func (q *Queue[T]) Stop(e *Entry[T]) {
	if e.position == 0 {
		return
	}
	i, last := e.position-1, len(q.heap)-1
	q.swap(i, last)
	q.heap[last] = nil
	q.heap = q.heap[:last]
	e.position = 0
	if i < last {
		q.up(i)
		q.down(i)
	}
}

// Due removes and returns the earliest entry whose deadline is not after now, or nil.
func (q *Queue[T]) Due(now time.Duration) *Entry[T] {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return nil
	}
	e := q.heap[0]
	q.Stop(e)
	return e
}

func (q *Queue[T]) less(i, j int) bool {
	a, b := q.heap[i], q.heap[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (q *Queue[T]) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.heap[i].position, q.heap[j].position = i+1, j+1
}

func (q *Queue[T]) up(i int) {
	for i > 0 && q.less(i, (i-1)/2) {
		q.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (q *Queue[T]) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(q.heap); c++ {
			if q.less(c, least) {
				least = c
			}
		}
		if least == i {
			return
		}
		q.swap(i, least)
		i = least
	}
}
