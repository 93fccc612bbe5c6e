package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	goruntime "runtime"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"pipitring/internal/cdr"
	"pipitring/internal/export"
	"pipitring/internal/records"
	"pipitring/internal/store"
)

// RecordsOptions are the options of `lab records`.
type RecordsOptions struct {
	Rate         float64       // calls per second while delays are measured
	PassDuration time.Duration // duration of each pass
	Records      int           // number of records made durable
	Dir          string        // directory on the disk to measure; "" is the system's temporary directory
	Progress     io.Writer     // gets a line for each measurement; nil for none
}

// RecordsResult is the cost of call detail records. Set-up delays are from NEW to ANSWER at the callers' sockets.
type RecordsResult struct {
	DurablePerSecond float64            `json:"records_durable_per_second"` // with one writer on one core
	RecordsPerCommit float64            `json:"records_per_commit"`
	BytesPerRecord   float64            `json:"bytes_per_record"`          // on disk, after compaction
	EncodedBytes     float64            `json:"encoded_bytes"`             // size of one encoded record
	ExportPerSecond  map[string]float64 `json:"export_records_per_second"` // by format, to a directory
	SetUpP50         map[string]float64 `json:"setup_p50_us"`              // by mode: none, at_once, durable; measured in one run
	SetUpP99         map[string]float64 `json:"setup_p99_us"`
	Missed           map[string]int     `json:"missed"` // calls without an answer within the set-up target, by mode
	Rate             float64            `json:"at_calls_per_second"`
	RecoveryMS       map[string]float64 `json:"recovery_ms"` // by number of open calls at the kill
	Calls            int                `json:"calls"`
	ViolationCount   int                `json:"rules_broken"` // always 0: these passes have no capture to check; those of `lab calls` and `day` have
	Cores            int                `json:"cores"`
}

// MeasureRecords measures the cost of storing records, and the time of their recovery after a kill.
func MeasureRecords(ctx context.Context, o RecordsOptions) (*RecordsResult, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	dir, err := os.MkdirTemp(o.Dir, "pipitring-records-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary directory: the system removes what remains
	r := &RecordsResult{Cores: goruntime.NumCPU(), Rate: o.Rate, SetUpP50: map[string]float64{}, SetUpP99: map[string]float64{},
		Missed: map[string]int{}, RecoveryMS: map[string]float64{}, ExportPerSecond: map[string]float64{}}
	if err := r.measureDurable(filepath.Join(dir, "durable"), o.Records); err != nil {
		return nil, err
	}
	fmt.Fprintf(o.Progress, "%.0f records/s durable, %.0f per commit\n", r.DurablePerSecond, r.RecordsPerCommit)
	for _, open := range []int{1000, 10_000, 100_000} {
		if err := r.measureRecovery(filepath.Join(dir, fmt.Sprint("open-", open)), open); err != nil {
			return nil, err
		}
	}
	fmt.Fprintf(o.Progress, "recovery time in ms by open calls: %v\n", r.RecoveryMS)
	for _, mode := range []string{"none", "at_once", "durable"} {
		tables := ""
		if mode != "none" {
			tables = fmt.Sprintf("[records]\ndir = %q\nanswer = %q\n", filepath.Join(dir, "calls-"+mode), mode)
		}
		p, err := runCallsPass(ctx, passOptions{rate: o.Rate, length: o.PassDuration, tables: tables})
		if err != nil {
			return nil, err
		}
		r.Calls += p.calls
		r.SetUpP50[mode], r.SetUpP99[mode] = float64(p.hist.ValueAtQuantile(50)), float64(p.hist.ValueAtQuantile(99))
		r.Missed[mode] = p.missed
		fmt.Fprintf(o.Progress, "records %s: set-up p50 %.0f us, p99 %.0f us, %d missed\n", mode, r.SetUpP50[mode], r.SetUpP99[mode], p.missed)
	}
	return r, nil
}

// sampleRecord returns a typical record of an answered call.
func sampleRecord(id cdr.ID) cdr.Record {
	at := crashEpoch.Add(time.Duration(id.Call) * time.Millisecond)
	return cdr.Record{ID: id, End: cdr.Answered, Cause: 16, EndSource: cdr.EndedByCaller, Class: "status-check", Called: fmt.Sprintf("21%07d", id.Call%1e7),
		Calling: fmt.Sprintf("10%07d", id.Call%1e7), Context: "status-check", Front: "iax2", Origin: -1, Dest: 1, Width: 1, Offered: at,
		Answered: at.Add(20 * time.Millisecond), Ended: at.Add(12 * time.Second), SetUp: 20 * time.Millisecond, Duration: 12 * time.Second,
		Attempts: []cdr.Attempt{{Exchange: 1, Front: "iax2", Outcome: "completed", Duration: 20 * time.Millisecond}}}
}

// recorderOptions returns the options of the measured recorder; onDurable gets the ticket of the last durable record.
func recorderOptions(dir string, onDurable func(uint64)) records.Options {
	return records.Options{Dir: dir, Router: 1, Rater: crashTariffs(), MaxBatch: 4096, HeartbeatInterval: time.Second, OnDurable: onDurable,
		Gate: store.GateSettings{SlowAfter: time.Minute, MaxQueue: 1 << 16}}
}

// measureDurable writes n records as fast as they become durable, on one core, and measures their size and export.
func (r *RecordsResult) measureDurable(dir string, n int) error {
	durable := make(chan uint64, 1)
	rec, err := records.Open(recorderOptions(dir, func(upTo uint64) {
		select {
		case <-durable:
		default:
		}
		durable <- upTo
	}))
	if err != nil {
		return err
	}
	defer goruntime.GOMAXPROCS(goruntime.GOMAXPROCS(1))
	began := time.Now()
	ticket := uint64(0)
	for call := uint64(1); call <= uint64(n); {
		t, ok := rec.Submit(cdr.Item{Record: sampleRecord(rec.ID(call))})
		if ok {
			ticket = t
			call++
		} else {
			<-durable
		}
	}
	for upTo := range durable {
		if upTo >= ticket {
			break
		}
	}
	r.DurablePerSecond = float64(n) / time.Since(began).Seconds()
	r.RecordsPerCommit = float64(n) / float64(rec.Status().Commits)
	sample := sampleRecord(rec.ID(1))
	sample.Charge = crashTariffs().Rate(&sample)
	r.EncodedBytes = float64(len(sample.Encode(nil)))
	if err := r.measureExport(rec, dir); err != nil {
		return errors.Join(err, rec.Close())
	}
	if err := rec.Store().Compact(cdr.RecordKey(0), []byte{255}); err != nil {
		return errors.Join(err, rec.Close())
	}
	if err := rec.Close(); err != nil {
		return err
	}
	// The store is closed and opened again before its size is taken: the write-ahead log, which holds the records a second
	// time, is gone by then.
	s, err := store.Open(store.Options{Dir: dir, Schema: records.Schema()})
	if err != nil {
		return err
	}
	r.BytesPerRecord = float64(s.Size()) / float64(n)
	return s.Close()
}

// measureExport exports all records to a directory, in each format.
func (r *RecordsResult) measureExport(rec *records.Recorder, dir string) error {
	last := rec.Status().Last
	for _, f := range []cdr.Format{cdr.CSV, cdr.Parquet} {
		o := records.ExportOptions{Dir: dir + "-" + string(f), ExportSettings: cdr.ExportSettings{Target: string(f), Router: 1, Format: f,
			MaxRecords: 10_000, MinRecords: 1, KeepBatches: 10}}
		e, err := cdr.OpenExport(rec.Store(), o.ExportSettings)
		if err != nil {
			return err
		}
		t, err := export.OpenDirectory(vfs.Default, o.Dir)
		if err != nil {
			return err
		}
		began := time.Now()
		for sent := true; sent && err == nil; {
			sent, _, err = export.SendNext(context.Background(), e, t, last, true, time.Now, records.NewCommitFunc(rec.Store()))
		}
		if err = errors.Join(err, t.Close()); err != nil {
			return err
		}
		r.ExportPerSecond[string(f)] = float64(last) / time.Since(began).Seconds()
	}
	return nil
}

// measureRecovery aborts a recorder that has the given number of open calls, opens its records again and measures the time
// of the recovery.
func (r *RecordsResult) measureRecovery(dir string, open int) error {
	done := make(chan uint64, 1)
	rec, err := records.Open(recorderOptions(dir, func(upTo uint64) {
		if upTo == uint64(open) {
			done <- upTo
		}
	}))
	if err != nil {
		return err
	}
	for call := uint64(1); call <= uint64(open); {
		if _, ok := rec.Submit(cdr.Item{Open: true, Record: sampleRecord(rec.ID(call))}); ok {
			call++
		} else {
			time.Sleep(time.Millisecond)
		}
	}
	<-done
	rec.Abort()
	if rec, err = records.Open(recorderOptions(dir, nil)); err != nil {
		return err
	}
	st := rec.Status()
	if st.RecoveredCalls != open {
		err = fmt.Errorf("recovery closed %d of %d open calls", st.RecoveredCalls, open)
	}
	r.RecoveryMS[fmt.Sprint(open)] = float64(st.RecoveryTime.Microseconds()) / 1000
	return errors.Join(err, rec.Close())
}
