package lab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	goruntime "runtime"
	"slices"
	"sync"
	"time"

	"pipitring/internal/cdr"
	"pipitring/internal/crashfs"
	"pipitring/internal/export"
	"pipitring/internal/records"
	"pipitring/internal/store"
)

// CrashOptions are the options of `lab crash`.
type CrashOptions struct {
	Calls          int       // calls of the run in which every write and sync is a crash point
	NestedInterval int       // at every crash point that is a multiple of it, the recovery is crashed as well; 0 for none
	Kills          int       // kills of a real process under load
	Seed           uint64    // seed of calls and crashes
	Progress       io.Writer // gets a line for every 1000 crash points; nil for none
	answerEarly    bool      // planted bug: answers are sent before their record is durable
}

// CrashResult is the result of auditing the disks after the crashes. The counts of calls are sums over all crash points:
// a call that was finished at a thousand points was checked a thousand times.
type CrashResult struct {
	PointsTried       int            `json:"points_tried"` // crash points audited, those in recoveries included
	PointsNested      int            `json:"points_in_recovery"`
	PointsByOp        map[string]int `json:"points_by_operation"`
	Calls             int            `json:"calls"` // calls of the run
	CallsFinished     int            `json:"calls_finished"`
	CallsStanding     int            `json:"calls_standing"`
	RecordsMissing    int            `json:"records_missing"`
	RecordsDuplicated int            `json:"records_doubled"`
	RecordsUnknown    int            `json:"records_false"` // records of calls that were not offered
	Recovered         int            `json:"records_by_recovery"`
	ExportsWrong      int            `json:"exports_wrong"`
	Problems          []string       `json:"broken,omitempty"`
	ViolationCount    int            `json:"rules_broken"`
	WallSeconds       float64        `json:"wall_seconds"`
	Kills             *KillResult    `json:"kills,omitempty"`
}

// Good reports whether no record was missing, duplicated or unknown, and nothing else was wrong.
func (r *CrashResult) Good() bool {
	return r.RecordsMissing+r.RecordsDuplicated+r.RecordsUnknown+r.ExportsWrong+len(r.Problems) == 0 && (r.Kills == nil || r.Kills.Good())
}

// crashRun is a run of calls in which every write, sync, rename and removal is a crash point.
type crashRun struct {
	fs          *crashfs.FS
	answerEarly bool
	recorder    *records.Recorder
	rng         *rand.Rand

	mu       sync.Mutex
	answered map[uint64]bool // calls whose final answer was sent; true if the call has ended
	offered  uint64          // number of the last call offered
	pending  []pendingAnswer // answers that wait until their record is durable, in order of ticket
	durable  uint64          // ticket of the last durable record
	progress chan struct{}   // signalled when more records are durable
}

// pendingAnswer is a final answer that waits until its record is durable.
type pendingAnswer struct {
	ticket uint64
	call   uint64
	ended  bool
}

const (
	crashRecordsDir  = "records"
	crashExportDir   = "exported"
	crashExportBatch = 40 // records per exported file
	maxStandingCalls = 64 // upper limit of standing calls at a time
)

// crashRecorderOptions returns the options of a recorder on a simulated disk. The small memory table makes flushes and
// compactions frequent.
func crashRecorderOptions(fs *crashfs.FS) records.Options {
	var wall time.Duration
	var mu sync.Mutex
	return records.Options{Dir: crashRecordsDir, FS: fs, Router: 7, Gate: store.GateSettings{SlowAfter: time.Hour, MaxQueue: 1 << 20},
		MaxBatch: 16, HeartbeatInterval: time.Hour, MemTableSize: 64 << 10, Rater: crashTariffs(),
		Wall: func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			wall += time.Millisecond
			return crashEpoch.Add(wall)
		}}
}

// crashEpoch is the wall-clock time at which the runs start.
var crashEpoch = time.Date(2026, 12, 1, 14, 0, 0, 0, time.UTC)

// crashTariffs returns the tariffs that the records are rated with.
func crashTariffs() *cdr.Tariffs {
	price, err := cdr.ParseAmount("0.12")
	if err != nil {
		panic(err)
	}
	return &cdr.Tariffs{Currency: "AUD", Decimals: 4, Zone: time.UTC, Versions: []cdr.Tariff{{Name: "lab", Version: 1,
		Rates: []cdr.Rate{{PerMinute: price, Step: 6 * time.Second}}}}}
}

// crashExportOptions returns the options of the export on the simulated disk.
func crashExportOptions() records.ExportOptions {
	return records.ExportOptions{Dir: crashExportDir, ExportSettings: cdr.ExportSettings{Target: "out", Router: 7, Format: cdr.CSV,
		MaxRecords: crashExportBatch, MinRecords: crashExportBatch, MaxWait: time.Hour}}
}

// RunCrashes runs calls on a simulated disk and crashes the disk before every write, sync, rename and removal. Each crashed
// disk is recovered and audited: every call whose answer was sent has one record, no call has two, and the exported files
// are complete.
func RunCrashes(ctx context.Context, o CrashOptions) (*CrashResult, error) {
	began := time.Now()
	res := &CrashResult{PointsByOp: map[string]int{}, Calls: o.Calls}
	run := &crashRun{fs: crashfs.New(), answerEarly: o.answerEarly, rng: rand.New(rand.NewPCG(o.Seed, 9)), answered: map[uint64]bool{},
		progress: make(chan struct{}, 1)}
	var mu sync.Mutex
	disks := make(chan crashedDisk, 2*goruntime.NumCPU())
	var checkers sync.WaitGroup
	for range goruntime.NumCPU() {
		checkers.Go(func() {
			for d := range disks {
				found := d.check(o.NestedInterval)
				mu.Lock()
				res.add(found)
				if res.PointsTried%1000 < found.PointsTried && o.Progress != nil {
					fmt.Fprintf(o.Progress, "%d crash points checked\n", res.PointsTried)
				}
				mu.Unlock()
			}
		})
	}
	run.fs.SetHook(func(p crashfs.Change) error {
		// The answers are copied before the disk is cloned, so that the clone must have the record of each of them. The
		// number of offered calls is read after it, so that each record on the clone belongs to an offered call.
		run.mu.Lock()
		answered := make(map[uint64]bool, len(run.answered))
		for call, ended := range run.answered {
			answered[call] = ended
		}
		run.mu.Unlock()
		d := crashedDisk{point: p, answered: answered, seed: o.Seed + p.N, fs: run.fs.CrashClone(int(p.N%3)*50, o.Seed+p.N)}
		run.mu.Lock()
		d.offered = run.offered
		run.mu.Unlock()
		disks <- d
		return nil
	})
	err := run.run(ctx, o.Calls)
	run.fs.SetHook(nil)
	close(disks)
	checkers.Wait()
	if err != nil {
		return nil, err
	}
	if o.Kills > 0 {
		if res.Kills, err = RunKills(ctx, KillOptions{Kills: o.Kills, Seed: o.Seed, Progress: o.Progress}); err != nil {
			return nil, err
		}
	}
	res.WallSeconds = time.Since(began).Seconds()
	return res, nil
}

// add adds the result of one crash point; at most 20 problems are kept.
func (r *CrashResult) add(o *CrashResult) {
	r.PointsTried += o.PointsTried
	r.PointsNested += o.PointsNested
	r.CallsFinished += o.CallsFinished
	r.CallsStanding += o.CallsStanding
	r.RecordsMissing += o.RecordsMissing
	r.RecordsDuplicated += o.RecordsDuplicated
	r.RecordsUnknown += o.RecordsUnknown
	r.Recovered += o.Recovered
	r.ExportsWrong += o.ExportsWrong
	for op, n := range o.PointsByOp {
		r.PointsByOp[op] += n
	}
	r.Problems = append(r.Problems, o.Problems[:min(len(o.Problems), 20-min(20, len(r.Problems)))]...)
}

// run offers calls: most of them stand for a while, some are refused, and some are abandoned by the caller. Answers and
// refusals count as sent only when their record is durable, as in the router.
func (c *crashRun) run(ctx context.Context, calls int) error {
	opt := crashRecorderOptions(c.fs)
	opt.OnDurable = c.onDurable
	opt.Exports = []records.ExportOptions{crashExportOptions()}
	var err error
	if c.recorder, err = records.Open(opt); err != nil {
		return err
	}
	var standing []uint64
	endRandomCall := func() error {
		i := c.rng.IntN(len(standing))
		call := standing[i]
		standing = slices.Delete(standing, i, i+1)
		c.mu.Lock()
		c.answered[call] = true // a release does not wait for its record, because the open-call entry is durable
		c.mu.Unlock()
		return c.submit(cdr.Item{Record: c.record(call, cdr.Answered)}, 0, false)
	}
	for call := uint64(1); call <= uint64(calls) && ctx.Err() == nil; call++ {
		c.mu.Lock()
		c.offered = call
		c.mu.Unlock()
		switch x := c.rng.IntN(10); {
		case x < 7:
			if err = c.submit(cdr.Item{Open: true, Record: c.record(call, 0)}, call, false); err == nil {
				err = c.awaitAnswer(call)
			}
			standing = append(standing, call)
		case x < 9:
			err = c.submit(cdr.Item{Record: c.record(call, cdr.Refused)}, call, true)
		default:
			err = c.submit(cdr.Item{Record: c.record(call, cdr.Abandoned)}, call, true)
		}
		for err == nil && (len(standing) > maxStandingCalls || len(standing) > 0 && c.rng.IntN(3) == 0) {
			err = endRandomCall()
		}
		if err != nil {
			return err
		}
	}
	c.recorder.Flush()
	return cmp.Or(ctx.Err(), c.recorder.Close())
}

// record returns a record of a call; end is 0 for a standing call.
func (c *crashRun) record(call uint64, end cdr.End) cdr.Record {
	at := crashEpoch.Add(time.Duration(call) * time.Millisecond)
	r := cdr.Record{ID: c.recorder.ID(call), End: end, Class: "status", Called: fmt.Sprintf("1%06d", call), Calling: "9", Front: "iax2",
		Origin: -1, Dest: 1, Width: 1, Offered: at, Ended: at.Add(time.Second),
		Attempts: []cdr.Attempt{{Exchange: 1, Front: "iax2", Outcome: "completed", Duration: 20 * time.Millisecond}}}
	if end == 0 || end == cdr.Answered {
		r.Answered, r.SetUp, r.Duration = at.Add(20*time.Millisecond), 20*time.Millisecond, time.Second
	}
	return r
}

// submit passes a record to the recorder. When it is durable, the final answer of the call counts as sent; call 0 has no
// answer that waits for this record.
func (c *crashRun) submit(it cdr.Item, call uint64, ended bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	ticket, ok := c.recorder.Submit(it)
	if !ok {
		return errors.New("the recorder rejected a record")
	}
	if c.answerEarly && call > 0 {
		c.answered[call] = ended
	} else if call > 0 {
		c.pending = append(c.pending, pendingAnswer{ticket, call, ended})
	}
	return nil
}

// onDurable marks the answers whose records are durable as sent; upTo is the ticket of the last durable record.
func (c *crashRun) onDurable(upTo uint64) {
	c.mu.Lock()
	c.durable = upTo
	n := 0
	for n < len(c.pending) && c.pending[n].ticket <= upTo {
		c.answered[c.pending[n].call] = c.pending[n].ended
		n++
	}
	c.pending = c.pending[n:]
	c.mu.Unlock()
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// awaitAnswer waits until a call's answer is sent, at most 30 s.
func (c *crashRun) awaitAnswer(call uint64) error {
	for {
		c.mu.Lock()
		_, ok := c.answered[call]
		c.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-c.progress:
		case <-time.After(30 * time.Second):
			return fmt.Errorf("record of call %d: not durable after 30 s", call)
		}
	}
}

// crashedDisk is a disk after a crash, with the answers sent and the calls offered before it.
type crashedDisk struct {
	point    crashfs.Change
	answered map[uint64]bool
	offered  uint64
	seed     uint64
	fs       *crashfs.FS
}

// check recovers and audits the disk. At every crash point that is a multiple of nestedInterval it also crashes that
// recovery at each of its own crash points, and audits the resulting disks.
func (d crashedDisk) check(nestedInterval int) *CrashResult {
	res := &CrashResult{PointsTried: 1, PointsByOp: map[string]int{d.point.Op: 1}}
	var nestedDisks []*crashfs.FS
	if nestedInterval > 0 && d.point.N%uint64(nestedInterval) == 0 {
		d.fs.SetHook(func(p crashfs.Change) error {
			nestedDisks = append(nestedDisks, d.fs.CrashClone(int(p.N%3)*50, d.seed+p.N))
			return nil
		})
	}
	d.audit(res, d.fs, func() { d.fs.SetHook(nil) })
	for _, fs := range nestedDisks {
		res.PointsTried++
		res.PointsNested++
		res.PointsByOp["in recovery"]++
		d.audit(res, fs, func() {})
	}
	return res
}

// audit opens the records on a disk, which recovers them, calls recovered, checks the records of all calls and exports the
// remaining records.
func (d *crashedDisk) audit(res *CrashResult, fs *crashfs.FS, recovered func()) {
	report := func(format string, args ...any) {
		res.Problems = append(res.Problems, fmt.Sprintf("point %d (%s %s): ", d.point.N, d.point.Op, d.point.Name)+fmt.Sprintf(format, args...))
	}
	rec, err := records.Open(crashRecorderOptions(fs))
	recovered()
	if err != nil {
		report("opening the records: %v", err)
		return
	}
	defer func() { _ = rec.Close() }()
	st := rec.Store()
	found := map[uint64]int{}
	var f cdr.Filter
	err = f.Each(st, func(n uint64, err error) { report("record number %d: %v", n, err) }, func(_ uint64, r *cdr.Record) error {
		found[r.ID.Call]++
		if r.EndSource == cdr.EndedByRecovery {
			res.Recovered++
		}
		if r.ID.Call == 0 || r.ID.Call > d.offered || r.ID.Incarnation != 1 {
			res.RecordsUnknown++
			report("record of call %v, which was not offered", r.ID)
		}
		return nil
	})
	if err != nil {
		report("%v", err)
	}
	for call, ended := range d.answered {
		if ended {
			res.CallsFinished++
		} else {
			res.CallsStanding++
		}
		if found[call] == 0 {
			res.RecordsMissing++
			report("call %d has no record", call)
		}
	}
	for call, n := range found {
		if n > 1 {
			res.RecordsDuplicated++
			report("call %d has %d records", call, n)
		}
	}
	a, err := cdr.Verify(st)
	if err != nil || !a.Good() || a.Open != 0 {
		report("verify: %+v, %v", a, err)
	}
	if err := d.verifyExport(rec, fs); err != nil {
		res.ExportsWrong++
		report("export: %v", err)
	}
}

// verifyExport exports the remaining records and verifies all exported files.
func (d *crashedDisk) verifyExport(rec *records.Recorder, fs *crashfs.FS) error {
	o := crashExportOptions()
	e, err := cdr.OpenExport(rec.Store(), o.ExportSettings)
	if err != nil {
		return err
	}
	t, err := records.OpenTarget(fs, &o)
	if err != nil {
		return err
	}
	defer func() { _ = t.Close() }()
	last := rec.Status().Last
	for sent := true; sent; {
		sent, _, err = export.SendNext(context.Background(), e, t, last, true, func() time.Time { return crashEpoch }, records.NewCommitFunc(rec.Store()))
		if err != nil {
			return err
		}
	}
	a := &cdr.Audit{First: 1}
	if err := a.VerifyFiles(rec.Store(), export.Files{FS: fs, Dir: crashExportDir}, o.Router); err != nil {
		return err
	}
	if !a.Good() || a.Exported != last {
		return fmt.Errorf("%d of %d records exported: %+v", a.Exported, last, a)
	}
	return nil
}
