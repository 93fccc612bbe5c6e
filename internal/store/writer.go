package store

import (
	"sync"
	"time"
)

// WriterOptions configures a Writer.
type WriterOptions[T any] struct {
	Gate GateSettings
	// MaxBatch is the maximum number of items per commit.
	MaxBatch int
	// BatchDelay is how long a commit waits for more items after the first one. With 0, items still form batches: those
	// submitted during a commit wait for the next one.
	BatchDelay time.Duration
	// Build writes items into a batch, in order; it is called on the writer's goroutine only.
	Build func(b *Batch, items []T) error
	// OnDurable is called after each commit with the number of durable items since the start, on the writer's goroutine.
	OnDurable func(upTo uint64)
	// OnIdle is called at each IdleInterval in which no items wait; what it writes into the batch is committed.
	OnIdle       func(b *Batch)
	IdleInterval time.Duration
	Now          func() time.Duration // monotonic clock
}

// Writer commits items in batches on its own goroutine, so that its users never wait for the disk. Its methods may be called
// concurrently.
type Writer[T any] struct {
	opt   WriterOptions[T]
	store *Store

	mu            sync.Mutex
	gate          *Gate
	queue         []T
	queuedAt      []time.Duration // when each item of queue was submitted
	queuedTotal   uint64          // items queued since the start
	inFlight      int             // items in the current commit; they are no longer in queue
	inFlightSince time.Duration   // when the oldest of them was submitted
	commits       uint64          // commits done
	wake          chan struct{}
	closed        bool
	done          chan struct{}
	err           error
}

// NewWriter starts a writer. The caller has to pass the store's OnFull and OnFailure calls on to SetFull and SetFailed.
func NewWriter[T any](s *Store, o WriterOptions[T]) *Writer[T] {
	w := &Writer[T]{opt: o, store: s, gate: NewGate(o.Gate), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Submit queues items and returns the ticket of the last one, which is the number of items queued since the start. If ok is
// false, the items are lost and counted as lost.
func (w *Writer[T]) Submit(items ...T) (ticket uint64, ok bool) {
	now := w.opt.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateGate(now)
	if w.closed || !w.gate.Admit(len(items)) {
		return w.queuedTotal, false
	}
	w.queue = append(w.queue, items...)
	for range items {
		w.queuedAt = append(w.queuedAt, now)
	}
	w.queuedTotal += uint64(len(items))
	w.signal()
	return w.queuedTotal, true
}

// signal wakes the writer's goroutine.
func (w *Writer[T]) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// updateGate passes the number of waiting items and the age of the oldest to the gate. w.mu must be held.
func (w *Writer[T]) updateGate(now time.Duration) {
	oldest := now
	switch {
	case w.inFlight > 0:
		oldest = w.inFlightSince
	case len(w.queuedAt) > 0:
		oldest = w.queuedAt[0]
	}
	w.gate.SetWaiting(now, len(w.queue)+w.inFlight, oldest)
}

// SetFull records that the disk is full or has free space again.
func (w *Writer[T]) SetFull(full bool) {
	w.mu.Lock()
	w.gate.SetFull(w.opt.Now(), full)
	w.mu.Unlock()
}

// SetFailed records that the disk has failed for good.
func (w *Writer[T]) SetFailed(error) {
	w.mu.Lock()
	w.gate.SetFailed(w.opt.Now())
	w.mu.Unlock()
}

// AddAnsweredNotDurable counts n items that were relied on before they were durable.
func (w *Writer[T]) AddAnsweredNotDurable(n int) {
	w.mu.Lock()
	w.gate.AnsweredNotDurable += uint64(n)
	w.mu.Unlock()
}

// Status is the state of a Writer.
type Status struct {
	State              State
	Accepting          bool   // new calls are accepted
	Waiting            int    // items that a crash now would lose
	Lost               uint64 // items lost because the queue was at its limit or the disk had failed
	AnsweredNotDurable uint64 // items that were relied on before they were durable
	Queued             uint64 // items queued since the start
	Commits            uint64 // commits done
	Err                error  // error that ended the writer, if any
}

// Status returns the current state of the writer.
func (w *Writer[T]) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateGate(w.opt.Now())
	state, _ := w.gate.State()
	return Status{state, w.gate.Accepting(), w.gate.AtRisk(), w.gate.Lost, w.gate.AnsweredNotDurable, w.queuedTotal, w.commits, w.err}
}

// Close commits the waiting items, ends the writer and returns the error that ended it before, if any.
func (w *Writer[T]) Close() error { return w.shutdown(false) }

// Abort ends the writer as a crash would: waiting items are lost.
func (w *Writer[T]) Abort() { _ = w.shutdown(true) }

// shutdown ends the writer; drop discards waiting items.
func (w *Writer[T]) shutdown(drop bool) error {
	w.mu.Lock()
	if drop {
		w.queue, w.queuedAt = nil, nil
	}
	w.closed = true
	w.mu.Unlock()
	w.signal()
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// nextBatch removes the items of the next commit from the queue. If running is false, the queue is empty and the writer is
// to end.
func (w *Writer[T]) nextBatch() (items []T, running bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.queue), w.opt.MaxBatch)
	if n == 0 {
		return nil, !w.closed
	}
	items = w.queue[:n:n]
	w.inFlight, w.inFlightSince = n, w.queuedAt[0]
	w.queue, w.queuedAt = w.queue[n:], w.queuedAt[n:]
	if len(w.queue) == 0 {
		w.queue, w.queuedAt = nil, nil // releases the underlying array, which would otherwise grow for ever
	}
	return items, true
}

// run commits batches until the writer ends.
func (w *Writer[T]) run() {
	defer close(w.done)
	idle := time.NewTicker(max(w.opt.IdleInterval, time.Millisecond))
	defer idle.Stop()
	committed := uint64(0)
	for {
		items, running := w.nextBatch()
		if !running {
			return
		}
		if len(items) == 0 {
			select {
			case <-w.wake:
				if w.opt.BatchDelay > 0 {
					time.Sleep(w.opt.BatchDelay)
				}
			case <-idle.C:
				if w.opt.OnIdle != nil && !w.commitBatch(func(b *Batch) error { w.opt.OnIdle(b); return nil }) {
					return
				}
			}
			continue
		}
		if !w.commitBatch(func(b *Batch) error { return w.opt.Build(b, items) }) {
			return
		}
		committed += uint64(len(items))
		w.mu.Lock()
		w.inFlight = 0
		w.commits++
		w.mu.Unlock()
		if w.opt.OnDurable != nil {
			w.opt.OnDurable(committed)
		}
	}
}

// commitBatch builds and commits one batch, and reports whether the writer can continue.
func (w *Writer[T]) commitBatch(build func(*Batch) error) bool {
	b := w.store.Batch()
	err := build(b)
	if err == nil {
		if b.b.Empty() {
			_ = b.b.Close()
			return true
		}
		err = w.store.Commit(b)
	}
	if err == nil {
		return true
	}
	w.mu.Lock()
	w.err = err
	w.gate.SetFailed(w.opt.Now())
	w.closed = true
	w.mu.Unlock()
	return false
}
