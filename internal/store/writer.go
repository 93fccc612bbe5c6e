package store

import (
	"sync"
	"time"
)

// WriterOptions set a Writer.
type WriterOptions[T any] struct {
	Gate GateSettings
	// MaxBatch is the most items of one commit.
	MaxBatch int
	// BatchDelay is how long a commit waits for more items to come together; 0 is not at all: while one commit is on its
	// way, what comes gathers for the next.
	BatchDelay time.Duration
	// Build puts items into a batch, in order; it is called on the writer's goroutine only.
	Build func(b *Batch, items []T) error
	// OnDurable is told how many items were durable in all after each commit; on the writer's goroutine.
	OnDurable func(upTo uint64)
	// OnIdle is called when nothing has come for a while; what it puts into the batch is committed.
	OnIdle       func(b *Batch)
	IdleInterval time.Duration
	Now          func() time.Duration // a monotonic clock
}

// Writer commits items in batches beside its users, who never wait for the disk.
type Writer[T any] struct {
	opt   WriterOptions[T]
	store *Store

	mu     sync.Mutex
	gate   *Gate
	queue  []T
	came   []time.Duration // when each of the queue came
	taken  uint64          // items ever queued
	out    int             // of them in the commit that is on its way
	outAt  time.Duration   // when its oldest came
	commit uint64          // commits made
	wake   chan struct{}
	ended  bool
	done   chan struct{}
	err    error
}

// NewWriter starts a writer. The store's Full and Broken have to be handed on to it.
func NewWriter[T any](s *Store, o WriterOptions[T]) *Writer[T] {
	w := &Writer[T]{opt: o, store: s, gate: NewGate(o.Gate), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Submit queues items; their tickets end with the returned one. false: they are lost, and counted as such.
func (w *Writer[T]) Submit(items ...T) (ticket uint64, ok bool) {
	now := w.opt.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.look(now)
	if w.ended || !w.gate.Admit(len(items)) {
		return w.taken, false
	}
	w.queue = append(w.queue, items...)
	for range items {
		w.came = append(w.came, now)
	}
	w.taken += uint64(len(items))
	w.nudge()
	return w.taken, true
}

func (w *Writer[T]) nudge() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// look tells the gate what waits.
func (w *Writer[T]) look(now time.Duration) {
	oldest := now
	switch {
	case w.out > 0:
		oldest = w.outAt
	case len(w.came) > 0:
		oldest = w.came[0]
	}
	w.gate.SetWaiting(now, len(w.queue)+w.out, oldest)
}

// SetFull hands on that the disk filled up or has room again.
func (w *Writer[T]) SetFull(full bool) {
	w.mu.Lock()
	w.gate.SetFull(w.opt.Now(), full)
	w.mu.Unlock()
}

// SetFailed hands on that the disk has failed.
func (w *Writer[T]) SetFailed(error) {
	w.mu.Lock()
	w.gate.SetFailed(w.opt.Now())
	w.mu.Unlock()
}

// AddOverdue counts items that were taken for granted before they were durable.
func (w *Writer[T]) AddOverdue(n int) {
	w.mu.Lock()
	w.gate.Overdue += uint64(n)
	w.mu.Unlock()
}

// Status is how a Writer does.
type Status struct {
	State     State
	Accepting bool // new calls are taken
	Waiting   int  // items that a crash now would lose
	Lost      uint64
	Overdue   uint64
	Taken     uint64
	Commits   uint64
	Err       error
}

// Status looks at the writer.
func (w *Writer[T]) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.look(w.opt.Now())
	state, _ := w.gate.State()
	return Status{state, w.gate.Accepting(), w.gate.AtRisk(), w.gate.Lost, w.gate.Overdue, w.taken, w.commit, w.err}
}

// Close commits what waits, if the disk takes it, and ends the writer.
func (w *Writer[T]) Close() error { return w.end(false) }

// Abort ends the writer as a crash would: what waits is lost.
func (w *Writer[T]) Abort() { _ = w.end(true) }

func (w *Writer[T]) end(drop bool) error {
	w.mu.Lock()
	if drop {
		w.queue, w.came = nil, nil
	}
	w.ended = true
	w.mu.Unlock()
	w.nudge()
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// take takes the next items to commit; false: the writer has ended.
func (w *Writer[T]) take() (items []T, alive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.queue), w.opt.MaxBatch)
	if n == 0 {
		return nil, !w.ended
	}
	items = w.queue[:n:n]
	w.out, w.outAt = n, w.came[0]
	w.queue, w.came = w.queue[n:], w.came[n:]
	if len(w.queue) == 0 {
		w.queue, w.came = nil, nil // or the array behind grows for ever
	}
	return items, true
}

func (w *Writer[T]) run() {
	defer close(w.done)
	idle := time.NewTicker(max(w.opt.IdleInterval, time.Millisecond))
	defer idle.Stop()
	committed := uint64(0)
	for {
		items, alive := w.take()
		if !alive {
			return
		}
		if len(items) == 0 {
			select {
			case <-w.wake:
				if w.opt.BatchDelay > 0 {
					time.Sleep(w.opt.BatchDelay)
				}
			case <-idle.C:
				if w.opt.OnIdle != nil && !w.write(func(b *Batch) error { w.opt.OnIdle(b); return nil }) {
					return
				}
			}
			continue
		}
		if !w.write(func(b *Batch) error { return w.opt.Build(b, items) }) {
			return
		}
		committed += uint64(len(items))
		w.mu.Lock()
		w.out = 0
		w.commit++
		w.mu.Unlock()
		if w.opt.OnDurable != nil {
			w.opt.OnDurable(committed)
		}
	}
}

// write commits one batch; false ends the writer.
func (w *Writer[T]) write(build func(*Batch) error) bool {
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
	w.ended = true
	w.mu.Unlock()
	return false
}
