package records

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/goleak"

	"pipitring/internal/cdr"
	"pipitring/internal/crashfs"
	"pipitring/internal/export"
	"pipitring/internal/standin"
	"pipitring/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var day = time.Date(2026, 12, 1, 14, 0, 0, 0, time.UTC)

// harness is a recorder whose wall clock the test sets.
type harness struct {
	t       *testing.T
	opt     Options
	rec     *Recorder
	mu      sync.Mutex
	wall    time.Time
	durable uint64        // ticket up to which items are durable
	commits chan struct{} // signalled when durable has changed
}

func newHarness(t *testing.T, fs vfs.FS) *harness {
	h := &harness{t: t, wall: day, commits: make(chan struct{}, 1)}
	h.opt = Options{Dir: "records", FS: fs, Router: 3,
		Gate: store.GateSettings{SlowAfter: time.Hour, MaxQueue: 1 << 20}, MaxBatch: 64,
		HeartbeatInterval: time.Hour, FullRetryInterval: time.Millisecond, OnDurable: func(upTo uint64) {
			h.mu.Lock()
			h.durable = upTo
			h.mu.Unlock()
			select {
			case h.commits <- struct{}{}:
			default:
			}
		}, Wall: func() time.Time {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.wall
		}}
	return h
}

func (h *harness) setWall(wall time.Time) {
	h.mu.Lock()
	h.wall = wall
	h.mu.Unlock()
}

func (h *harness) open() {
	h.t.Helper()
	h.durable = 0
	var err error
	if h.rec, err = Open(h.opt); err != nil {
		h.t.Fatal(err)
	}
}

func (h *harness) put(items ...cdr.Item) {
	h.t.Helper()
	ticket, ok := h.rec.Submit(items...)
	if !ok {
		h.t.Fatal("not accepted")
	}
	for limit := time.Now().Add(20 * time.Second); ; {
		h.mu.Lock()
		done := h.durable
		h.mu.Unlock()
		if done >= ticket {
			return
		}
		select {
		case <-h.commits:
		case <-time.After(time.Until(limit)):
			h.t.Fatal("not durable within 20 s")
		}
	}
}

func (h *harness) record(call uint64, end cdr.End, answered time.Time) cdr.Record {
	return cdr.Record{ID: h.rec.ID(call), End: end, Class: "status", Called: fmt.Sprint("1", call),
		Calling: fmt.Sprint("9", call), Origin: -1,
		Dest: 1, Width: 1, Offered: day, Answered: answered, Ended: day.Add(time.Minute)}
}

func (h *harness) audit() *cdr.Audit {
	h.t.Helper()
	a, err := cdr.Verify(h.rec.Store())
	if err != nil {
		h.t.Fatal(err)
	}
	return a
}

func (h *harness) versions(id cdr.ID) []*cdr.Record {
	h.t.Helper()
	all, err := cdr.Versions(h.rec.Store(), id)
	if err != nil {
		h.t.Fatal(err)
	}
	return all
}

// Calls that were standing when their router was killed are closed exactly once, at the time they were last seen; calls that
// had ended are not changed. A wall clock that is set back between the incarnations must not make a duration negative.
func TestRecoveryAfterKill(t *testing.T) {
	for _, back := range []time.Duration{0, -2 * time.Hour} {
		h := newHarness(t, crashfs.New())
		h.open()
		standing, ended := h.rec.ID(1), h.rec.ID(2)
		h.put(cdr.Item{Open: true, Record: h.record(1, 0, day)}, cdr.Item{Open: true, Record: h.record(2, 0, day)},
			cdr.Item{Record: h.record(2, cdr.Answered, day)})
		h.rec.Abort()
		h.setWall(day.Add(time.Hour + back))
		h.open()
		if h.rec.Status().RecoveredCalls != 1 || h.rec.Status().Incarnation != 2 {
			t.Errorf("%+v", h.rec.Status())
		}
		got := h.versions(standing)
		if len(got) != 1 || got[0].EndSource != cdr.EndedByRecovery || got[0].End != cdr.Answered ||
			got[0].Duration != 0 || got[0].LastSeen != day {
			t.Errorf("closed as %+v", got)
		}
		if got := h.versions(ended); len(got) != 1 || got[0].EndSource == cdr.EndedByRecovery {
			t.Errorf("ended as %+v", got)
		}
		h.rec.Abort()
		h.open()
		if a := h.audit(); !a.Good() || a.Records != 2 || a.Open != 0 || h.rec.Status().RecoveredCalls != 0 {
			t.Errorf("after one more incarnation: %+v", a)
		}
		if err := h.rec.Close(); err != nil {
			t.Error(err)
		}
	}
}

func TestRerate(t *testing.T) {
	price := func(s string) *cdr.Tariffs {
		p, err := cdr.ParseAmount(s)
		if err != nil {
			t.Fatal(err)
		}
		return &cdr.Tariffs{Currency: "AUD", Decimals: 2, Zone: time.UTC,
			Versions: []cdr.Tariff{{Name: "t" + s, Version: 1, Rates: []cdr.Rate{{SetUp: p}}}}}
	}
	h := newHarness(t, crashfs.New())
	h.opt.Rater = price("1")
	h.open()
	h.put(cdr.Item{Record: h.record(1, cdr.Answered, day)})
	l, err := cdr.OpenLedger(h.rec.Store(), 3, nil)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 { // the second rating changes nothing
		batch := h.rec.Store().Batch()
		if _, err := l.Rerate(batch, h.rec.ID(1), price("2")); err != nil {
			t.Fatal(err)
		}
		if err := h.rec.Store().Commit(batch); err != nil {
			t.Fatal(err)
		}
	}
	got := h.versions(h.rec.ID(1))
	if len(got) != 2 || got[0].Charge.Amount != "1.00" || got[0].Charge.Tariff != "t1/1" ||
		got[1].Charge.Amount != "2.00" || got[1].Version != 2 {
		t.Errorf("%+v", got)
	}
	if _, err := l.Rerate(h.rec.Store().Batch(), cdr.ID{Router: 9}, price("2")); err == nil {
		t.Error("a call without a record was rerated")
	}
	if err := h.rec.Close(); err != nil {
		t.Error(err)
	}
}

// step runs one step of an export for a recorder that has no exports configured.
func (h *harness) step(e *cdr.Export, target export.Target) (bool, error) {
	sent, _, err := export.SendNext(h.t.Context(), e, target, h.rec.Status().Last, true,
		func() time.Time { return day }, NewCommitFunc(h.rec.Store()))
	return sent, err
}

func (h *harness) exportSettings(f cdr.Format) cdr.ExportSettings {
	return cdr.ExportSettings{Target: "out", Router: 3, Format: f, MaxRecords: 10, MinRecords: 1, KeepBatches: 100}
}

// A receiver that aborts uploads, loses responses, rejects requests or loses its uploads must get each batch once, under one
// number, even if the exporter is killed between attempts.
func TestTusExportWithFaults(t *testing.T) {
	for _, c := range []struct {
		name        string
		faults      standin.ReceiverFaults
		loseUploads bool // the receiver loses its uploads before the next attempt
		maxRepeats  int  // complete batches that may arrive twice, as the receiver itself lost them
	}{
		{"none", standin.ReceiverFaults{}, false, 0},
		{"aborted at the start", standin.ReceiverFaults{Cuts: 3, CutAfter: 0}, false, 0},
		{"aborted in the middle", standin.ReceiverFaults{Cuts: 3, CutAfter: 700}, false, 0},
		{"confirmation lost", standin.ReceiverFaults{LoseAnswers: 2}, false, 0},
		{"response to the creation lost", standin.ReceiverFaults{LoseCreated: 1}, false, 0},
		{"rejected for a while", standin.ReceiverFaults{Refuse: 9}, false, 0},
		{"aborted, and uploads lost", standin.ReceiverFaults{Cuts: 9, CutAfter: 300}, true, 0},
		{"accepted, its confirmation and uploads lost", standin.ReceiverFaults{LoseAnswers: 1, Refuse: 0}, true, 1},
	} {
		for _, format := range []cdr.Format{cdr.CSV, cdr.Parquet} {
			h := newHarness(t, crashfs.New())
			h.open()
			for call := range uint64(25) {
				h.put(cdr.Item{Record: h.record(call+1, cdr.Answered, day)})
			}
			r, err := standin.NewReceiver()
			if err != nil {
				t.Fatal(err)
			}
			tus := export.NewTus(r.URL(), "", 500, 5*time.Second)
			e, err := cdr.OpenExport(h.rec.Store(), h.exportSettings(format))
			if err != nil {
				t.Fatal(err)
			}
			r.SetFaults(c.faults)
			for attempts := 0; e.BatchCount() < 3 || e.LastConfirmed() < 25; attempts++ {
				if attempts > 60 {
					t.Fatalf("%s: not complete after 60 attempts: %d batches, %d records confirmed", c.name,
						e.BatchCount(), e.LastConfirmed())
				}
				if _, err := h.step(e, tus); err != nil && c.loseUploads {
					r.DropUploads()
				}
				if attempts%2 == 1 { // the exporter is killed after every second attempt
					if e, err = cdr.OpenExport(h.rec.Store(), h.exportSettings(format)); err != nil {
						t.Fatal(err)
					}
				}
			}
			got, repeated, bad := r.Batches()
			if len(got) != 3 || repeated > c.maxRepeats || len(bad) > 0 {
				t.Errorf("%s, %s: %d batches, %d repeated, %v", c.name, format, len(got), repeated, bad)
			}
			ids := map[string]bool{}
			for key, batch := range got {
				list, err := cdr.ReadIDs(format, batch.Data)
				if err != nil || fmt.Sprint(len(list)) != batch.Meta["count"] {
					t.Errorf("%s: batch %s: %v, %d records", c.name, key, err, len(list))
				}
				for _, id := range list {
					if ids[id] {
						t.Errorf("%s: record %s is exported twice", c.name, id)
					}
					ids[id] = true
				}
			}
			if len(ids) != 25 {
				t.Errorf("%s: %d of 25 records exported", c.name, len(ids))
			}
			r.Close()
			tus.Client.CloseIdleConnections()
			if err := h.rec.Close(); err != nil {
				t.Error(err)
			}
		}
	}
}

// Of two exporters to one directory, the second must report the conflict and export nothing; once the first has closed, it
// can export after a restart.
func TestTwoExporters(t *testing.T) {
	fs := crashfs.New()
	first, err := export.OpenDirectory(fs, "out")
	if err != nil {
		t.Fatal(err)
	}
	h := newHarness(t, fs)
	h.opt.Exports = []ExportOptions{{ExportSettings: h.exportSettings(cdr.CSV), Dir: "out"}}
	h.open()
	if st := h.rec.Status(); len(st.Exports) != 1 || !strings.Contains(st.Exports[0].Err, export.ErrLocked.Error()) {
		t.Errorf("%+v", st.Exports)
	}
	h.put(cdr.Item{Record: h.record(1, cdr.Refused, time.Time{})})
	if err := errors.Join(h.rec.Close(), first.Close()); err != nil {
		t.Fatal(err)
	}
	h.open()
	h.rec.Flush()
	for limit := time.Now().Add(20 * time.Second); h.rec.Confirmed() < 1; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("not exported within 20 s: %+v", h.rec.Status().Exports)
		}
	}
	a := h.audit()
	if err := a.VerifyFiles(h.rec.Store(), export.Files{FS: fs, Dir: "out"}, 3); err != nil || !a.Good() || a.Exported != 1 {
		t.Errorf("%+v, %v", a, err)
	}
	if err := h.rec.Close(); err != nil {
		t.Error(err)
	}
}

// Only records that every export has confirmed are deleted, and only once they are old enough.
func TestTrim(t *testing.T) {
	h := newHarness(t, crashfs.New())
	h.open()
	for call := range uint64(30) {
		h.put(cdr.Item{Record: h.record(call+1, cdr.Answered, day)})
	}
	for _, c := range []struct {
		upTo   uint64
		before time.Time
		want   uint64 // number of the first remaining record
	}{{0, day.AddDate(1, 0, 0), 1}, {20, day, 1}, {20, day.Add(time.Hour), 21}, {20, day.Add(time.Hour), 21},
		{30, day.Add(time.Hour), 31}} {
		batch := h.rec.Store().Batch()
		if _, err := cdr.Trim(h.rec.Store(), batch, c.upTo, c.before, 1000); err != nil {
			t.Fatal(err)
		}
		if err := h.rec.Store().Commit(batch); err != nil {
			t.Fatal(err)
		}
		if a := h.audit(); a.First != c.want || !a.Good() || a.Records != 31-c.want {
			t.Errorf("up to %d before %v: %+v", c.upTo, c.before, a)
		}
	}
	h.rec.Abort()
	h.open() // record numbers must continue, although no record is left
	h.put(cdr.Item{Record: h.record(1, cdr.Refused, time.Time{})})
	if a := h.audit(); a.First != 31 || a.Last != 31 || !a.Good() {
		t.Errorf("after a restart: %+v", a)
	}
	if err := h.rec.Close(); err != nil {
		t.Error(err)
	}
}

// A flipped bit in any file must never yield a record that was not written or a wrong one. The store either opens or reports
// damage, and lost records are reported as a gap or as damage.
func TestBitFlips(t *testing.T) {
	fs := crashfs.New()
	h := newHarness(t, fs)
	h.opt.MemTableSize = 32 << 10
	h.open()
	const calls = 200
	for call := range uint64(calls) {
		h.put(cdr.Item{Record: h.record(call+1, cdr.Answered, day)})
	}
	h.rec.Abort()
	names, err := fs.List("records")
	if err != nil {
		t.Fatal(err)
	}
	opened, damaged, salvaged := 0, 0, 0
	for _, name := range names {
		info, err := fs.Stat(fs.PathJoin("records", name))
		if err != nil || info.IsDir() || info.Size() == 0 {
			continue
		}
		for k := range int64(24) {
			copied := fs.CrashClone(100, uint64(k))
			if err := copied.FlipBit("records/"+name, k*info.Size()*8/24+k%8); err != nil {
				t.Fatal(err)
			}
			damage := ""
			s, err := store.Open(store.Options{Dir: "records", FS: copied, Schema: Schema(),
				OnDamage: func(text string) { damage = text }})
			if err != nil {
				damaged++
				continue
			}
			opened++
			a, err := cdr.Verify(s)
			if damage != "" {
				salvaged++
				// One chunk is lost, or two if the flip is in a length, but nothing after them.
				if a == nil || a.Records < calls-2 {
					t.Errorf("%s, part %d: %s; left: %+v", name, k, damage, a)
				}
			}
			// The last chunk of the log cannot be distinguished from one that a crash left incomplete.
			if err == nil && a.Good() && a.Records < calls-1 {
				t.Errorf("%s, part %d: %d of %d records left without a report of damage", name, k, a.Records, calls)
			}
			all := cdr.Filter{}
			err = all.Each(s, func(uint64, error) {}, func(n uint64, r *cdr.Record) error {
				if r.ID.Call != n || r.Called != fmt.Sprint("1", n) {
					t.Errorf("%s, part %d: record number %d is %+v", name, k, n, r)
				}
				return nil
			})
			if err != nil && !errors.Is(err, store.ErrDamaged) {
				t.Errorf("%s, part %d: %v", name, k, err)
			}
			_ = s.Close()
		}
	}
	if opened == 0 || damaged == 0 || salvaged == 0 {
		t.Errorf("%d opened, %d of them salvaged; %d not opened", opened, salvaged, damaged)
	}
}

// The padding at the ends of blocks in a long log must not be taken for damage.
func TestLongLogWithoutDamage(t *testing.T) {
	fs := crashfs.New()
	h := newHarness(t, fs)
	h.open()
	for call := uint64(1); call <= 3000; call += 5 { // records of many sizes, so that blocks end at many different offsets
		var items []cdr.Item
		for k := range uint64(5) {
			r := h.record(call+k, cdr.Answered, day)
			r.User = strings.Repeat("u", int((call*7+k*13)%90))
			items = append(items, cdr.Item{Record: r})
		}
		h.put(items...)
	}
	h.rec.Abort()
	h.opt.Log = func(level Level, text string, err error) {
		if level > Info {
			t.Errorf("%s, %v", text, err)
		}
	}
	h.open()
	if a := h.audit(); !a.Good() || a.Records != 3000 {
		t.Errorf("%+v", a)
	}
	if err := h.rec.Close(); err != nil {
		t.Error(err)
	}
}
