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

// CrashOptions are how `lab crash` measures.
type CrashOptions struct {
	Calls          int // of the run whose every write and sync is a crash
	NestedInterval int // at every so-manieth point the crashes within its recovery are played too; 0 is never
	Kills          int // of a real process under load
	Seed           uint64
	Progress       io.Writer
	early          bool // planted: answers go out before their record is durable
}

// CrashResult is what was found after the crashes. Counts of calls add up over all points: a call that was finished at
// a thousand points was looked for a thousand times.
type CrashResult struct {
	PointsTried       int            `json:"points_tried"` // of these so many within recoveries:
	PointsNested      int            `json:"points_in_recovery"`
	PointsByOp        map[string]int `json:"points_by_operation"`
	Calls             int            `json:"calls"` // of the run itself
	CallsFinished     int            `json:"calls_finished"`
	CallsStanding     int            `json:"calls_standing"`
	RecordsMissing    int            `json:"records_missing"`
	RecordsDuplicated int            `json:"records_doubled"`
	RecordsUnknown    int            `json:"records_false"` // of calls that were never taken
	Recovered         int            `json:"records_by_recovery"`
	ExportsWrong      int            `json:"exports_wrong"`
	Problems          []string       `json:"broken,omitempty"`
	ViolationCount    int            `json:"rules_broken"`
	WallSeconds       float64        `json:"wall_seconds"`
	Kills             *KillResult    `json:"kills,omitempty"`
}

// Good tells whether nothing was lost, doubled or made up.
func (r *CrashResult) Good() bool {
	return r.RecordsMissing+r.RecordsDuplicated+r.RecordsUnknown+r.ExportsWrong+len(r.Problems) == 0 && (r.Kills == nil || r.Kills.Good())
}

// crashRun is the run whose every point is a crash.
type crashRun struct {
	fs    *crashfs.FS
	early bool
	rec   *records.Recorder
	rng   *rand.Rand

	mu       sync.Mutex
	told     map[uint64]bool // calls whose final answer has gone out; true: it ended too
	taken    uint64
	waiting  []ticketed
	durable  uint64
	progress chan struct{}
}

// ticketed is an answer that waits for its record.
type ticketed struct {
	ticket uint64
	call   uint64
	ended  bool
}

const (
	crashDir   = "records"
	crashOut   = "exported"
	crashBatch = 40
	crashKeep  = 64 // calls that stand at once
)

// crashOptions are a recorder's on such a disk: small memory, so that sorting and compacting happen often.
func crashOptions(fs *crashfs.FS) records.Options {
	var wall time.Duration
	var mu sync.Mutex
	return records.Options{Dir: crashDir, FS: fs, Router: 7, Gate: store.GateSettings{SlowAfter: time.Hour, MaxQueue: 1 << 20},
		MaxBatch: 16, HeartbeatInterval: time.Hour, MemTableSize: 64 << 10, Rater: crashTariffs(),
		Wall: func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			wall += time.Millisecond
			return crashEpoch.Add(wall)
		}}
}

var crashEpoch = time.Date(2026, 12, 1, 14, 0, 0, 0, time.UTC)

func crashTariffs() *cdr.Tariffs {
	price, err := cdr.ParseAmount("0.12")
	if err != nil {
		panic(err)
	}
	return &cdr.Tariffs{Currency: "AUD", Places: 4, Zone: time.UTC, List: []cdr.Tariff{{Name: "lab", Version: 1,
		Rates: []cdr.Rate{{PerMinute: price, Step: 6 * time.Second}}}}}
}

func crashExport() records.ExportOptions {
	return records.ExportOptions{Dir: crashOut, ExportSettings: cdr.ExportSettings{Target: "out", Router: 7, Format: cdr.CSV,
		MaxRecords: crashBatch, MinRecords: crashBatch, MaxWait: time.Hour}}
}

// RunCrashes plays a run of calls and crashes its disk before every write, sync, rename and removal. Each disk is recovered
// and audited: every call whose answer had gone out has one record, no call has two, and what is exported is whole.
func RunCrashes(ctx context.Context, o CrashOptions) (*CrashResult, error) {
	began := time.Now()
	res := &CrashResult{PointsByOp: map[string]int{}, Calls: o.Calls}
	run := &crashRun{fs: crashfs.New(), early: o.early, rng: rand.New(rand.NewPCG(o.Seed, 9)), told: map[uint64]bool{},
		progress: make(chan struct{}, 1)}
	var mu sync.Mutex
	disks := make(chan crashedDisk, 2*goruntime.NumCPU())
	var judges sync.WaitGroup
	for range goruntime.NumCPU() {
		judges.Go(func() {
			for d := range disks {
				got := d.judge(o.NestedInterval)
				mu.Lock()
				res.add(got)
				if res.PointsTried%1000 < got.PointsTried && o.Progress != nil {
					fmt.Fprintf(o.Progress, "%d points\n", res.PointsTried)
				}
				mu.Unlock()
			}
		})
	}
	run.fs.SetHook(func(p crashfs.Point) error {
		// First what has been told, then the disk: what was told before is on it. What was taken, after.
		run.mu.Lock()
		told := make(map[uint64]bool, len(run.told))
		for k, v := range run.told {
			told[k] = v
		}
		run.mu.Unlock()
		d := crashedDisk{point: p, told: told, seed: o.Seed + p.N, fs: run.fs.Crash(int(p.N%3)*50, o.Seed+p.N)}
		run.mu.Lock()
		d.taken = run.taken
		run.mu.Unlock()
		disks <- d
		return nil
	})
	err := run.play(ctx, o.Calls)
	run.fs.SetHook(nil)
	close(disks)
	judges.Wait()
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

// play takes calls: most stand for a while, some are refused, some callers leave. Answers and refusals count as told
// only once their record is durable, as the router has it.
func (c *crashRun) play(ctx context.Context, calls int) error {
	opt := crashOptions(c.fs)
	opt.OnDurable = c.done
	opt.Exports = []records.ExportOptions{crashExport()}
	var err error
	if c.rec, err = records.Open(opt); err != nil {
		return err
	}
	var standing []uint64
	end := func() error {
		i := c.rng.IntN(len(standing))
		call := standing[i]
		standing = slices.Delete(standing, i, i+1)
		c.mu.Lock()
		c.told[call] = true // a release is not held back: the mark is durable
		c.mu.Unlock()
		return c.submit(cdr.Item{Record: c.record(call, cdr.Answered)}, 0, false)
	}
	for call := uint64(1); call <= uint64(calls) && ctx.Err() == nil; call++ {
		c.mu.Lock()
		c.taken = call
		c.mu.Unlock()
		switch x := c.rng.IntN(10); {
		case x < 7:
			if err = c.submit(cdr.Item{Open: true, Record: c.record(call, 0)}, call, false); err == nil {
				err = c.await(call)
			}
			standing = append(standing, call)
		case x < 9:
			err = c.submit(cdr.Item{Record: c.record(call, cdr.Refused)}, call, true)
		default:
			err = c.submit(cdr.Item{Record: c.record(call, cdr.Abandoned)}, call, true)
		}
		for err == nil && (len(standing) > crashKeep || len(standing) > 0 && c.rng.IntN(3) == 0) {
			err = end()
		}
		if err != nil {
			return err
		}
	}
	c.rec.Flush()
	return cmp.Or(ctx.Err(), c.rec.Close())
}

// record is one of call's; a standing one has no end yet.
func (c *crashRun) record(call uint64, end cdr.End) cdr.Record {
	at := crashEpoch.Add(time.Duration(call) * time.Millisecond)
	r := cdr.Record{ID: c.rec.ID(call), End: end, Class: "status", Called: fmt.Sprintf("1%06d", call), Calling: "9", Front: "iax2",
		Origin: -1, Dest: 1, Width: 1, Offered: at, Ended: at.Add(time.Second),
		Attempts: []cdr.Attempt{{Exchange: 1, Front: "iax2", Outcome: "completed", Took: 20 * time.Millisecond}}}
	if end == 0 || end == cdr.Answered {
		r.Answered, r.SetUp, r.Duration = at.Add(20*time.Millisecond), 20*time.Millisecond, time.Second
	}
	return r
}

func (c *crashRun) submit(it cdr.Item, tells uint64, ended bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	ticket, ok := c.rec.Submit(it)
	if !ok {
		return errors.New("a record was not taken")
	}
	if c.early && tells > 0 {
		c.told[tells] = ended
	} else if tells > 0 {
		c.waiting = append(c.waiting, ticketed{ticket, tells, ended})
	}
	return nil
}

func (c *crashRun) done(upTo uint64) {
	c.mu.Lock()
	c.durable = upTo
	n := 0
	for n < len(c.waiting) && c.waiting[n].ticket <= upTo {
		c.told[c.waiting[n].call] = c.waiting[n].ended
		n++
	}
	c.waiting = c.waiting[n:]
	c.mu.Unlock()
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// await waits until a call's answer has gone out.
func (c *crashRun) await(call uint64) error {
	for {
		c.mu.Lock()
		_, ok := c.told[call]
		c.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-c.progress:
		case <-time.After(30 * time.Second):
			return fmt.Errorf("the record of call %d is not durable after 30 s", call)
		}
	}
}

// crashedDisk is a disk after a crash, and what had been told before.
type crashedDisk struct {
	point crashfs.Point
	told  map[uint64]bool
	taken uint64
	seed  uint64
	fs    *crashfs.FS
}

// judge recovers the disk, and after every crash within that recovery the disk that this leaves.
func (d crashedDisk) judge(nested int) *CrashResult {
	res := &CrashResult{PointsTried: 1, PointsByOp: map[string]int{d.point.Op: 1}}
	var inner []*crashfs.FS
	if nested > 0 && d.point.N%uint64(nested) == 0 {
		d.fs.SetHook(func(p crashfs.Point) error {
			inner = append(inner, d.fs.Crash(int(p.N%3)*50, d.seed+p.N))
			return nil
		})
	}
	d.audit(res, d.fs, func() { d.fs.SetHook(nil) })
	for _, fs := range inner {
		res.PointsTried++
		res.PointsNested++
		res.PointsByOp["in recovery"]++
		d.audit(res, fs, func() {})
	}
	return res
}

// audit opens a disk, which recovers it, exports the rest and looks for every call.
func (d *crashedDisk) audit(res *CrashResult, fs *crashfs.FS, recovered func()) {
	broken := func(format string, args ...any) {
		res.Problems = append(res.Problems, fmt.Sprintf("point %d (%s %s): ", d.point.N, d.point.Op, d.point.Name)+fmt.Sprintf(format, args...))
	}
	rec, err := records.Open(crashOptions(fs))
	recovered()
	if err != nil {
		broken("opening: %v", err)
		return
	}
	defer func() { _ = rec.Close() }()
	st := rec.Store()
	found := map[uint64]int{}
	var f cdr.Filter
	err = f.Each(st, func(n uint64, err error) { broken("number %d: %v", n, err) }, func(_ uint64, r *cdr.Record) error {
		found[r.ID.Call]++
		if r.EndSource == cdr.EndedByRecovery {
			res.Recovered++
		}
		if r.ID.Call == 0 || r.ID.Call > d.taken || r.ID.Incarnation != 1 {
			res.RecordsUnknown++
			broken("call %v was never taken", r.ID)
		}
		return nil
	})
	if err != nil {
		broken("%v", err)
	}
	for call, ended := range d.told {
		if ended {
			res.CallsFinished++
		} else {
			res.CallsStanding++
		}
		if found[call] == 0 {
			res.RecordsMissing++
			broken("call %d has no record", call)
		}
	}
	for call, n := range found {
		if n > 1 {
			res.RecordsDuplicated++
			broken("call %d has %d records", call, n)
		}
	}
	a, err := cdr.Verify(st)
	if err != nil || !a.Good() || a.Open != 0 {
		broken("verify: %+v, %v", a, err)
	}
	if err := d.export(rec, fs); err != nil {
		res.ExportsWrong++
		broken("export: %v", err)
	}
}

// export sends all that is left and looks through the files.
func (d *crashedDisk) export(rec *records.Recorder, fs *crashfs.FS) error {
	o := crashExport()
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
		sent, _, err = export.SendNext(context.Background(), e, t, last, true, func() time.Time { return crashEpoch }, records.Commit(rec.Store()))
		if err != nil {
			return err
		}
	}
	a := &cdr.Audit{First: 1}
	if err := a.VerifyFiles(rec.Store(), export.Files{FS: fs, Dir: crashOut}, o.Router); err != nil {
		return err
	}
	if !a.Good() || a.Exported != last {
		return fmt.Errorf("%d of %d records exported; %+v", a.Exported, last, a)
	}
	return nil
}
