// Package records stores and exports the call detail records of one router on goroutines beside its event loop: the store,
// the ledger that decides what is written, the exports, and the deletion of exported records. The event loop never waits
// for the disk.
package records

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"pipitring/internal/cdr"
	"pipitring/internal/export"
	"pipitring/internal/store"
)

// Version is the version of the store's format.
const Version = 1

// Schema returns the schema of the store.
func Schema() store.Schema { return store.Schema{Version: Version} }

// OwnerName returns the owner's name that is written into the store of a router.
func OwnerName(router uint32) string { return fmt.Sprintf("pipitring router %d", router) }

// ExportOptions configures one export. Exactly one of Dir and URL is set.
type ExportOptions struct {
	cdr.ExportSettings
	Dir       string        // target directory
	URL       string        // of a receiver that supports tus 1.0
	Token     string        // bearer token for the receiver; empty for none
	ChunkSize int           // bytes per request; 0 is unlimited
	Timeout   time.Duration // per request
}

// Options configures a Recorder.
type Options struct {
	Dir               string
	FS                vfs.FS // nil: the disk
	Router            uint32
	Rater             cdr.Rater
	Gate              store.GateSettings
	MaxBatch          int           // items per commit
	BatchDelay        time.Duration // delay before a commit, so that more items join it
	HeartbeatInterval time.Duration // interval of heartbeats of this incarnation in the store
	FullRetryInterval time.Duration // interval of write retries while the disk is full
	MemTableSize      uint64        // see store.Options
	Exports           []ExportOptions
	Retention         time.Duration       // retention of records that every export has confirmed
	DiskLimit         uint64              // bytes above which confirmed records are deleted early; 0 is unlimited
	TrimInterval      time.Duration       // interval of deletions; 0 is never
	OnDurable         func(ticket uint64) // called on the writer's goroutine when items up to a ticket are durable
	Log               func(level Level, text string, err error)
	Now               func() time.Duration // monotonic clock; nil: the time since Open
	Wall              func() time.Time
}

// Level is the severity of a log line.
type Level uint8

// Severity levels.
const (
	Info  Level = iota // normal operation
	Warn               // a fault that is retried or has ended
	Error              // a fault that needs the operator's attention
)

// Recorder stores and exports the call detail records of one router.
type Recorder struct {
	opt            Options
	store          *store.Store
	ledger         *cdr.Ledger // used by the writer's goroutine only, once that runs
	writer         *store.Writer[cdr.Item]
	lastBatched    uint64        // last record number that was put into a batch; used by the writer's goroutine only
	lastDurable    atomic.Uint64 // last record number that is durable
	recoveredCalls int
	recoveryTime   time.Duration

	mu           sync.Mutex
	diskFull     bool  // the disk is full; kept for a writer that is created later
	diskErr      error // failure of the disk, for the same purpose
	exports      []ExportStatus
	flushSignals []chan struct{} // one for each export; nil if it is disabled
	cancel       context.CancelFunc
	background   sync.WaitGroup
}

// ExportStatus is the state of one export.
type ExportStatus struct {
	Target        string
	LastConfirmed uint64 // last record number that the target has confirmed
	Batches       uint64 // batches planned so far
	Failures      uint64 // failed attempts so far
	Err           string // error of the last attempt; empty if it succeeded
}

const recoverBatchSize = 2000 // calls closed per commit of the recovery

// Open opens a router's records, starts a new incarnation, and closes the calls that were standing when an earlier
// incarnation was killed.
func Open(o Options) (*Recorder, error) {
	openedAt := time.Now()
	if o.FS == nil {
		o.FS = vfs.Default
	}
	if o.Now == nil {
		o.Now = func() time.Duration { return time.Since(openedAt) }
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	if o.Log == nil {
		o.Log = func(Level, string, error) {}
	}
	r := &Recorder{opt: o}
	var err error
	r.store, err = store.Open(store.Options{Dir: o.Dir, FS: o.FS, Owner: OwnerName(o.Router), Schema: Schema(),
		FullRetryInterval: o.FullRetryInterval, MemTableSize: o.MemTableSize,
		OnDamage: func(text string) { o.Log(Error, "records: "+text, nil) },
		OnFull:   r.onDiskFull, OnFailure: r.onDiskFailure})
	if err != nil {
		return nil, err
	}
	if err = r.startIncarnation(); err != nil {
		_ = r.store.Close()
		return nil, fmt.Errorf("%s: %w", o.Dir, err)
	}
	r.recoveryTime = o.Now()
	r.lastDurable.Store(r.ledger.LastNumber())
	r.lastBatched = r.ledger.LastNumber()
	w := store.NewWriter(r.store, store.WriterOptions[cdr.Item]{Gate: o.Gate, MaxBatch: max(1, o.MaxBatch),
		BatchDelay: o.BatchDelay,
		Build:      r.buildBatch, OnDurable: r.onDurable, OnIdle: r.onIdle, IdleInterval: o.HeartbeatInterval, Now: o.Now})
	r.mu.Lock()
	r.writer = w
	w.SetFull(r.diskFull)
	if r.diskErr != nil {
		w.SetFailed(r.diskErr)
	}
	r.mu.Unlock()
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	if err := r.startExports(ctx); err != nil {
		_ = r.Close()
		return nil, err
	}
	return r, nil
}

// startIncarnation makes the new incarnation durable, then closes the calls that earlier ones left open. A crash at any
// step is safe, because every step can be repeated.
func (r *Recorder) startIncarnation() (err error) {
	if r.ledger, err = cdr.OpenLedger(r.store, r.opt.Router, r.opt.Rater); err != nil {
		return err
	}
	b := r.store.Batch()
	r.ledger.StartIncarnation(b, r.opt.Wall())
	if err := r.store.Commit(b); err != nil {
		return err
	}
	for {
		b := r.store.Batch()
		n, err := r.ledger.Recover(b, recoverBatchSize, func(id cdr.ID, err error) {
			r.opt.Log(Error, "open-call entry of call "+id.String()+" cannot be read: its record contains only its ID", err)
		})
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		if err := r.store.Commit(b); err != nil {
			return err
		}
		r.recoveredCalls += n
	}
	// The first heartbeat comes after the recovery, because the recovery uses the last heartbeat of the earlier
	// incarnation as the time at which its calls were last known to stand.
	b = r.store.Batch()
	r.ledger.Heartbeat(b, r.opt.Wall())
	return r.store.Commit(b)
}

// onDiskFull tells the writer that the disk is full or has free space again, and logs it.
func (r *Recorder) onDiskFull(full bool) {
	r.mu.Lock()
	r.diskFull = full
	if r.writer != nil {
		r.writer.SetFull(full)
	}
	r.mu.Unlock()
	if full {
		r.opt.Log(Error, "records: disk full; writes are retried until there is free space", nil)
	} else {
		r.opt.Log(Warn, "records: disk has free space again", nil)
	}
}

// onDiskFailure tells the writer that the disk has failed for good, and logs it.
func (r *Recorder) onDiskFailure(err error) {
	r.mu.Lock()
	r.diskErr = err
	if r.writer != nil {
		r.writer.SetFailed(err)
	}
	r.mu.Unlock()
	r.opt.Log(Error, "records: disk failed; no records are stored until a restart", err)
}

// buildBatch writes items into a batch; it runs on the writer's goroutine.
func (r *Recorder) buildBatch(b *store.Batch, items []cdr.Item) error {
	r.ledger.Put(b, items)
	r.lastBatched = r.ledger.LastNumber()
	return nil
}

// onIdle writes a heartbeat into a batch; it runs on the writer's goroutine.
func (r *Recorder) onIdle(b *store.Batch) { r.ledger.Heartbeat(b, r.opt.Wall()) }

// onDurable handles a commit; it runs on the writer's goroutine.
func (r *Recorder) onDurable(upTo uint64) {
	r.lastDurable.Store(r.lastBatched)
	if r.opt.OnDurable != nil {
		r.opt.OnDurable(upTo)
	}
}

// ID returns the ID of the call with a sequence number in this incarnation.
func (r *Recorder) ID(call uint64) cdr.ID { return r.ledger.ID(call) }

// Submit queues items to be stored and returns the ticket of the last one; it never blocks. If ok is false, the items are
// lost and counted as lost.
func (r *Recorder) Submit(items ...cdr.Item) (ticket uint64, ok bool) {
	return r.writer.Submit(items...)
}

// AddAnsweredNotDurable counts n answers that were sent before their record was durable.
func (r *Recorder) AddAnsweredNotDurable(n int) { r.writer.AddAnsweredNotDurable(n) }

// Status is the state of the records.
type Status struct {
	store.Status
	Last           uint64        // number of the newest durable record
	Incarnation    uint32        // incarnation, from 1
	RecoveredCalls int           // calls that the recovery closed at the start
	RecoveryTime   time.Duration // duration of opening the store and of the recovery
	Bytes          uint64        // size on disk; 0 after the disk has failed
	Exports        []ExportStatus
}

// Status returns the current state of the records.
func (r *Recorder) Status() Status {
	s := Status{Status: r.DiskStatus(), Last: r.lastDurable.Load(), Incarnation: r.ledger.Incarnation(),
		RecoveredCalls: r.recoveredCalls, RecoveryTime: r.recoveryTime}
	if s.State != store.Failed {
		s.Bytes = r.store.Size()
	}
	r.mu.Lock()
	s.Exports = append(s.Exports, r.exports...)
	r.mu.Unlock()
	return s
}

// DiskStatus returns the state of the writer and its disk. It is cheaper than Status, which also determines the size.
func (r *Recorder) DiskStatus() store.Status { return r.writer.Status() }

// Store returns the underlying store, for reading.
func (r *Recorder) Store() *store.Store { return r.store }

// Close writes the waiting items and closes the records.
func (r *Recorder) Close() error {
	r.stopBackground()
	err := r.writer.Close()
	return errors.Join(err, r.store.Close())
}

// Abort closes the records as a kill of the process would: waiting items are lost.
func (r *Recorder) Abort() {
	r.stopBackground()
	r.writer.Abort()
	_ = r.store.Close()
}

// stopBackground stops the exports and the deletion and waits for their end.
func (r *Recorder) stopBackground() {
	if r.cancel != nil {
		r.cancel()
	}
	r.background.Wait()
}

// startExports starts all exports whose targets can be opened, and the deletion of exported records.
func (r *Recorder) startExports(ctx context.Context) error {
	for i := range r.opt.Exports {
		o := &r.opt.Exports[i]
		e, err := cdr.OpenExport(r.store, o.ExportSettings)
		if err != nil {
			return err
		}
		t, err := OpenTarget(r.opt.FS, o)
		if err != nil {
			// The router runs without this export. Its records are retained until its target can be opened at a later start.
			r.opt.Log(Error, "export "+o.Target+" is disabled until a restart: its target cannot be opened", err)
			r.exports = append(r.exports, ExportStatus{Target: o.Target, LastConfirmed: e.LastConfirmed(),
				Batches: e.BatchCount(), Err: err.Error()})
			r.flushSignals = append(r.flushSignals, nil)
			continue
		}
		r.exports = append(r.exports, ExportStatus{Target: o.Target, LastConfirmed: e.LastConfirmed(), Batches: e.BatchCount()})
		flush := make(chan struct{}, 1)
		r.flushSignals = append(r.flushSignals, flush)
		r.background.Go(func() { r.export(ctx, i, e, t, flush) })
	}
	if r.opt.TrimInterval > 0 && len(r.opt.Exports) > 0 {
		r.background.Go(func() { r.trim(ctx) })
	}
	return nil
}

// OpenTarget opens the target of an export: a tus receiver if URL is set, else a directory.
func OpenTarget(fs vfs.FS, o *ExportOptions) (export.Target, error) {
	if o.URL != "" {
		return export.NewTus(o.URL, o.Token, o.ChunkSize, o.Timeout), nil
	}
	return export.OpenDirectory(fs, o.Dir)
}

// NewCommitFunc returns a function that commits batches for an export. It may run concurrently with the writer, which changes
// other keys.
func NewCommitFunc(s *store.Store) export.CommitFunc {
	return func(build func(cdr.WriteBatch) error) error {
		b := s.Batch()
		if err := build(b); err != nil {
			return err
		}
		return s.Commit(b)
	}
}

// export sends batches of export i until ctx ends. A signal on flushSignal makes it send all durable records, however few.
func (r *Recorder) export(ctx context.Context, i int, e *cdr.Export, t export.Target, flushSignal chan struct{}) {
	defer func() { _ = t.Close() }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for flush := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-flushSignal:
			flush = true
		case <-timer.C:
		}
		sent, nextAttempt, err := export.SendNext(ctx, e, t, r.lastDurable.Load(), flush, r.opt.Wall, NewCommitFunc(r.store))
		if ctx.Err() != nil {
			return
		}
		r.mu.Lock()
		st := &r.exports[i]
		st.LastConfirmed, st.Batches, st.Failures, st.Err = e.LastConfirmed(), e.BatchCount(), e.Failures, ""
		if err != nil {
			st.Err = err.Error()
		}
		r.mu.Unlock()
		if err != nil {
			r.opt.Log(Warn, "export "+st.Target, err)
		}
		flush = flush && sent
		// New records do not wake the export, so it checks for them at least once a second.
		timer.Reset(min(max(nextAttempt.Sub(r.opt.Wall()), time.Millisecond), time.Second))
		if sent || flush {
			timer.Reset(0)
		}
	}
}

// Flush makes the exports send all records that are durable now, however few, without waiting for a full batch.
func (r *Recorder) Flush() {
	for _, flush := range r.flushSignals {
		select {
		case flush <- struct{}{}:
		default:
		}
	}
}

// Confirmed returns the last record number that every export has confirmed; 0 if there are no exports.
func (r *Recorder) Confirmed() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.exports) == 0 {
		return 0
	}
	least := r.exports[0].LastConfirmed
	for _, e := range r.exports {
		least = min(least, e.LastConfirmed)
	}
	return least
}

const trimBatchSize = 1000 // records deleted per commit

// trim periodically deletes records that every export has confirmed, once their retention has ended or while the store is
// over the disk limit. It ends with ctx or at the first failure.
func (r *Recorder) trim(ctx context.Context) {
	tick := time.NewTicker(r.opt.TrimInterval)
	defer tick.Stop()
	overLimit := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		before := r.opt.Wall().Add(-r.opt.Retention)
		if limit := r.opt.DiskLimit; limit > 0 && r.store.Size() > limit {
			before = r.opt.Wall()
		}
		n, err := r.trimBefore(before)
		if err != nil {
			r.opt.Log(Error, "records: deletion of exported records failed; no more are deleted until a restart", err)
			return
		}
		if n > 0 {
			err = r.store.Compact(cdr.RecordKey(0), cdr.RecordKey(r.Confirmed()+1))
		}
		if err != nil {
			r.opt.Log(Warn, "records: compaction after the deletion failed", err)
		}
		if wasOver := overLimit; r.opt.DiskLimit > 0 {
			if overLimit = r.store.Size() > r.opt.DiskLimit; overLimit && !wasOver {
				r.opt.Log(Error,
					"records: store is over records.disk_limit, but no more records are confirmed by every export", nil)
			}
		}
	}
}

// trimBefore deletes the confirmed records that ended before a time, and returns their number.
func (r *Recorder) trimBefore(before time.Time) (total int, err error) {
	for {
		b := r.store.Batch()
		n, err := cdr.Trim(r.store, b, r.Confirmed(), before, trimBatchSize)
		if err != nil {
			return total, err
		}
		if err := r.store.Commit(b); err != nil || n == 0 {
			return total, err
		}
		total += n
	}
}
