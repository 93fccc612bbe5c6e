// Package records runs the call detail records of one router beside its event loop: the store, the ledger that decides
// what is written, the exports and what is deleted after them. Nothing here makes the loop wait for the disk.
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

// Version is the format of the store.
const Version = 1

// Schema is the form of the store.
func Schema() store.Schema { return store.Schema{Version: Version} }

// OwnerName names a router in its store.
func OwnerName(router uint32) string { return fmt.Sprintf("pipitring router %d", router) }

// ExportOptions set one export.
type ExportOptions struct {
	cdr.ExportSettings
	Dir       string // a directory, or:
	URL       string // a receiver that speaks tus 1.0
	Token     string
	ChunkSize int           // bytes of one request
	Timeout   time.Duration // of one request
}

// Options set a Recorder.
type Options struct {
	Dir               string
	FS                vfs.FS // nil is the disk
	Router            uint32
	Rater             cdr.Rater
	Gate              store.GateSettings
	MaxBatch          int
	BatchDelay        time.Duration
	HeartbeatInterval time.Duration // between marks that this life runs
	FullRetryInterval time.Duration // between tries while the disk is full
	MemTableSize      uint64        // see store.Options
	Exports           []ExportOptions
	Retention         time.Duration // records that every export has confirmed are kept for so long
	DiskLimit         uint64        // over this the oldest confirmed go before; 0 is none
	TrimInterval      time.Duration
	OnDurable         func(ticket uint64) // told when what was submitted up to a ticket is durable; on the writer's goroutine
	Log               func(level Level, text string, err error)
	Now               func() time.Duration // monotonic; nil is since Open
	Wall              func() time.Time
}

// Level is how bad what is logged is.
type Level uint8

// Levels.
const (
	Info Level = iota
	Warn
	Error
)

// Recorder keeps the records of one router.
type Recorder struct {
	opt    Options
	store  *store.Store
	ledger *cdr.Ledger // the writer's, once that runs
	writer *store.Writer[cdr.Item]
	built  uint64        // the last number put into a batch; the writer's
	last   atomic.Uint64 // the last number that is durable
	closed int
	took   time.Duration

	mu      sync.Mutex
	full    bool // what the disk last did, for when the writer did not run yet
	failed  error
	exports []ExportStatus
	nudge   []chan struct{}
	cancel  context.CancelFunc
	side    sync.WaitGroup
}

// ExportStatus is how one export does.
type ExportStatus struct {
	Target        string
	LastConfirmed uint64 // the last number that it has confirmed
	Batches       uint64
	Failures      uint64
	Err           string // of the last try, if it failed
}

const recoverBatch = 2000

// Open opens a router's records, closes the calls that stood when an earlier life was killed, and begins a new life.
func Open(o Options) (*Recorder, error) {
	began := time.Now()
	if o.FS == nil {
		o.FS = vfs.Default
	}
	if o.Now == nil {
		o.Now = func() time.Duration { return time.Since(began) }
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	if o.Log == nil {
		o.Log = func(Level, string, error) {}
	}
	r := &Recorder{opt: o}
	var err error
	r.store, err = store.Open(store.Options{Dir: o.Dir, FS: o.FS, Owner: OwnerName(o.Router), Schema: Schema(), FullRetryInterval: o.FullRetryInterval,
		MemTableSize: o.MemTableSize, OnDamage: func(text string) { o.Log(Error, "records: "+text, nil) }, OnFull: r.diskFull, OnFailure: r.diskFailed})
	if err != nil {
		return nil, err
	}
	if err = r.begin(); err != nil {
		_ = r.store.Close()
		return nil, fmt.Errorf("%s: %w", o.Dir, err)
	}
	r.took = o.Now()
	r.last.Store(r.ledger.LastNumber())
	r.built = r.ledger.LastNumber()
	w := store.NewWriter(r.store, store.WriterOptions[cdr.Item]{Gate: o.Gate, MaxBatch: max(1, o.MaxBatch), BatchDelay: o.BatchDelay,
		Build: r.build, OnDurable: r.durable, OnIdle: r.idle, IdleInterval: o.HeartbeatInterval, Now: o.Now})
	r.mu.Lock()
	r.writer = w
	w.SetFull(r.full)
	if r.failed != nil {
		w.SetFailed(r.failed)
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

// begin makes the new life durable, then closes what earlier ones left open. Each step may be repeated by a crash.
func (r *Recorder) begin() (err error) {
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
		n, err := r.ledger.Recover(b, recoverBatch, func(id cdr.ID, err error) {
			r.opt.Log(Error, "mark of call "+id.String()+" cannot be read: its record holds its id alone", err)
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
		r.closed += n
	}
	// Only now: until the last is closed, its life was alive no longer than told before.
	b = r.store.Batch()
	r.ledger.Heartbeat(b, r.opt.Wall())
	return r.store.Commit(b)
}

func (r *Recorder) diskFull(full bool) {
	r.mu.Lock()
	r.full = full
	if r.writer != nil {
		r.writer.SetFull(full)
	}
	r.mu.Unlock()
	if full {
		r.opt.Log(Error, "records: the disk is full", nil)
	} else {
		r.opt.Log(Warn, "records: the disk has room again", nil)
	}
}

func (r *Recorder) diskFailed(err error) {
	r.mu.Lock()
	r.failed = err
	if r.writer != nil {
		r.writer.SetFailed(err)
	}
	r.mu.Unlock()
	r.opt.Log(Error, "records: the disk has failed: nothing is kept until a restart", err)
}

func (r *Recorder) build(b *store.Batch, items []cdr.Item) error {
	r.ledger.Put(b, items)
	r.built = r.ledger.LastNumber()
	return nil
}

func (r *Recorder) idle(b *store.Batch) { r.ledger.Heartbeat(b, r.opt.Wall()) }

func (r *Recorder) durable(upTo uint64) {
	r.last.Store(r.built)
	if r.opt.OnDurable != nil {
		r.opt.OnDurable(upTo)
	}
}

// ID names the how-manieth call of this life.
func (r *Recorder) ID(call uint64) cdr.ID { return r.ledger.ID(call) }

// Submit hands items over; it never waits. false: they are lost, and counted.
func (r *Recorder) Submit(items ...cdr.Item) (ticket uint64, ok bool) {
	return r.writer.Submit(items...)
}

// AddOverdue counts answers that went out before their record was durable.
func (r *Recorder) AddOverdue(n int) { r.writer.AddOverdue(n) }

// Status is how the records do.
type Status struct {
	store.Status
	Last           uint64 // number of the newest durable record
	Incarnation    uint32
	RecoveredCalls int           // calls closed by recovery at the start,
	RecoveryTime   time.Duration // and how long that took, with opening the store
	Bytes          uint64        // on disk
	Exports        []ExportStatus
}

// Status looks at the records.
func (r *Recorder) Status() Status {
	s := Status{Status: r.DiskStatus(), Last: r.last.Load(), Incarnation: r.ledger.Incarnation(), RecoveredCalls: r.closed, RecoveryTime: r.took}
	if s.State != store.Failed {
		s.Bytes = r.store.Size()
	}
	r.mu.Lock()
	s.Exports = append(s.Exports, r.exports...)
	r.mu.Unlock()
	return s
}

// DiskStatus is how the records' disk does: as Status, without its size, which costs more to tell.
func (r *Recorder) DiskStatus() store.Status { return r.writer.Status() }

// Store reads what is kept.
func (r *Recorder) Store() *store.Store { return r.store }

// Close writes what waits and ends.
func (r *Recorder) Close() error {
	r.stopSide()
	err := r.writer.Close()
	return errors.Join(err, r.store.Close())
}

// Abort ends as a kill would: what waits is lost.
func (r *Recorder) Abort() {
	r.stopSide()
	r.writer.Abort()
	_ = r.store.Close()
}

func (r *Recorder) stopSide() {
	if r.cancel != nil {
		r.cancel()
	}
	r.side.Wait()
}

func (r *Recorder) startExports(ctx context.Context) error {
	for i := range r.opt.Exports {
		o := &r.opt.Exports[i]
		e, err := cdr.OpenExport(r.store, o.ExportSettings)
		if err != nil {
			return err
		}
		t, err := OpenTarget(r.opt.FS, o)
		if err != nil {
			// The records go on without this export: they are kept until it can be had again.
			r.opt.Log(Error, "export "+o.Target+" gives way", err)
			r.exports = append(r.exports, ExportStatus{Target: o.Target, LastConfirmed: e.LastConfirmed(), Batches: e.BatchCount(), Err: err.Error()})
			r.nudge = append(r.nudge, nil)
			continue
		}
		r.exports = append(r.exports, ExportStatus{Target: o.Target, LastConfirmed: e.LastConfirmed(), Batches: e.BatchCount()})
		wake := make(chan struct{}, 1)
		r.nudge = append(r.nudge, wake)
		r.side.Go(func() { r.export(ctx, i, e, t, wake) })
	}
	if r.opt.TrimInterval > 0 && len(r.opt.Exports) > 0 {
		r.side.Go(func() { r.trim(ctx) })
	}
	return nil
}

// OpenTarget opens what an export goes to.
func OpenTarget(fs vfs.FS, o *ExportOptions) (export.Target, error) {
	if o.URL != "" {
		return export.NewTus(o.URL, o.Token, o.ChunkSize, o.Timeout), nil
	}
	return export.OpenDirectory(fs, o.Dir)
}

// Commit makes a batch of changes durable, beside the writer's: they are of other keys.
func Commit(s *store.Store) export.Commit {
	return func(build func(cdr.WriteBatch) error) error {
		b := s.Batch()
		if err := build(b); err != nil {
			return err
		}
		return s.Commit(b)
	}
}

// export sends batches until ctx ends.
func (r *Recorder) export(ctx context.Context, i int, e *cdr.Export, t export.Target, wake chan struct{}) {
	defer func() { _ = t.Close() }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for flush := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-wake:
			flush = true
		case <-timer.C:
		}
		sent, again, err := export.SendNext(ctx, e, t, r.last.Load(), flush, r.opt.Wall, Commit(r.store))
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
		// A new record wakes nobody: who waits looks again after a second at the latest.
		timer.Reset(min(max(again.Sub(r.opt.Wall()), time.Millisecond), time.Second))
		if sent || flush {
			timer.Reset(0)
		}
	}
}

// Flush makes the exports send what there is now, however little.
func (r *Recorder) Flush() {
	for _, wake := range r.nudge {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// Confirmed is the last number that every export has confirmed.
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

const trimBatch = 1000

// trim deletes what every export has confirmed, when it is old enough or the disk limit asks for it.
func (r *Recorder) trim(ctx context.Context) {
	tick := time.NewTicker(r.opt.TrimInterval)
	defer tick.Stop()
	over := false
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
		n, err := r.trimOnce(before)
		if err != nil {
			r.opt.Log(Error, "records: deleting what was exported", err)
			return
		}
		if n > 0 {
			err = r.store.Compact(cdr.RecordKey(0), cdr.RecordKey(r.Confirmed()+1))
		}
		if err != nil {
			r.opt.Log(Warn, "records: making room", err)
		}
		if was := over; r.opt.DiskLimit > 0 {
			if over = r.store.Size() > r.opt.DiskLimit; over && !was {
				r.opt.Log(Error, "records: over the disk limit, and nothing more that every export has confirmed", nil)
			}
		}
	}
}

func (r *Recorder) trimOnce(before time.Time) (total int, err error) {
	for {
		b := r.store.Batch()
		n, err := cdr.Trim(r.store, b, r.Confirmed(), before, trimBatch)
		if err != nil {
			return total, err
		}
		if err := r.store.Commit(b); err != nil || n == 0 {
			return total, err
		}
		total += n
	}
}
