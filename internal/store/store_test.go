package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pipitring/internal/crashfs"
)

func open(t *testing.T, o Options) *Store {
	t.Helper()
	s, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func put(t *testing.T, s *Store, key, value string) {
	t.Helper()
	b := s.Batch()
	b.Set([]byte(key), []byte(value))
	if err := s.Commit(b); err != nil {
		t.Fatal(err)
	}
}

func TestOpenChecksOwnerAndFormat(t *testing.T) {
	fs := crashfs.New()
	old := Options{Dir: "d", FS: fs, Owner: "a", Schema: Schema{Version: 1}}
	s := open(t, old)
	put(t, s, "k", "old")
	if _, err := Open(old); !errors.Is(err, ErrInUse) {
		t.Errorf("opened twice: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(Options{Dir: "d", FS: fs, Owner: "b", Schema: Schema{Version: 1}}); !errors.Is(err, ErrWrongOwner) {
		t.Errorf("another's: %v", err)
	}
	next := old
	next.Schema = Schema{Version: 3, Upgrade: map[uint32]func(*Store, *Batch) error{
		1: func(s *Store, b *Batch) error { b.Set([]byte("k"), []byte("newer")); return nil },
		2: func(s *Store, b *Batch) error { b.Set([]byte("k2"), []byte("newest")); return nil }}}
	ro := next
	ro.ReadOnly = true
	if _, err := Open(ro); err == nil || !strings.Contains(err.Error(), "older than 3") {
		t.Errorf("read only: %v", err)
	}
	s = open(t, next)
	for key, want := range map[string]string{"k": "newer", "k2": "newest"} {
		if v, _, err := s.Get([]byte(key)); string(v) != want || err != nil {
			t.Errorf("%s after the upgrade: %q, %v", key, v, err)
		}
	}
	_ = s.Close()
	if _, err := Open(old); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("newer: %v", err)
	}
	if _, err := Open(Options{Dir: "nowhere", FS: fs, ReadOnly: true}); !errors.Is(err, ErrNotExist) {
		t.Errorf("missing: %v", err)
	}
}

// A crash at any change of the disk during an upgrade must leave a store that can be opened and upgraded.
func TestUpgradeThroughCrashes(t *testing.T) {
	fs := crashfs.New()
	s := open(t, Options{Dir: "d", FS: fs, Schema: Schema{Version: 1}})
	for i := range 50 {
		put(t, s, fmt.Sprint("k", i), "1")
	}
	_ = s.Close()
	o := Options{Dir: "d", Schema: Schema{Version: 2, Upgrade: map[uint32]func(*Store, *Batch) error{1: func(s *Store, b *Batch) error {
		for i := range 50 {
			b.Set([]byte(fmt.Sprint("k", i)), []byte("2"))
		}
		return nil
	}}}}
	var crashed []*crashfs.FS
	fs.SetHook(func(c crashfs.Change) error { crashed = append(crashed, fs.CrashClone(int(c.N%3)*50, c.N)); return nil })
	up := o
	up.FS = fs
	_ = open(t, up).Close()
	fs.SetHook(nil)
	if len(crashed) < 5 {
		t.Fatalf("%d changes, want at least 5", len(crashed))
	}
	for i, fs := range crashed {
		o.FS = fs
		s := open(t, o)
		for k := range 50 {
			if v, _, err := s.Get([]byte(fmt.Sprint("k", k))); string(v) != "2" || err != nil {
				t.Fatalf("change %d: k%d is %q, %v", i, k, v, err)
			}
		}
		_ = s.Close()
	}
}

// harness is a writer on a file system whose faults the test sets.
type harness struct {
	fs      *crashfs.FS
	s       *Store
	w       *Writer[uint64]
	mu      sync.Mutex
	durable uint64
	commits chan struct{}
}

func newHarness(t *testing.T, g GateSettings) *harness {
	h := &harness{fs: crashfs.New(), commits: make(chan struct{}, 1)}
	startedAt := time.Now()
	var w *Writer[uint64]
	var mu sync.Mutex
	withWriter := func(f func(*Writer[uint64])) {
		mu.Lock()
		defer mu.Unlock()
		if w != nil {
			f(w)
		}
	}
	h.s = open(t, Options{Dir: "d", FS: h.fs, FullRetryInterval: time.Millisecond,
		OnFull:    func(full bool) { withWriter(func(w *Writer[uint64]) { w.SetFull(full) }) },
		OnFailure: func(err error) { withWriter(func(w *Writer[uint64]) { w.SetFailed(err) }) }})
	mu.Lock()
	w = NewWriter(h.s, WriterOptions[uint64]{Gate: g, MaxBatch: 8, IdleInterval: time.Hour,
		Now: func() time.Duration { return time.Since(startedAt) },
		Build: func(b *Batch, items []uint64) error {
			for _, i := range items {
				b.Set(binary.BigEndian.AppendUint64([]byte("n"), i), []byte("v"))
			}
			return nil
		},
		OnDurable: func(upTo uint64) {
			h.mu.Lock()
			h.durable = upTo
			h.mu.Unlock()
			select {
			case h.commits <- struct{}{}:
			default:
			}
		}})
	mu.Unlock()
	h.w = w
	return h
}

// awaitDurable waits until n items are durable.
func (h *harness) awaitDurable(t *testing.T, n uint64) {
	t.Helper()
	for {
		h.mu.Lock()
		got := h.durable
		h.mu.Unlock()
		if got >= n {
			return
		}
		select {
		case <-h.commits:
		case <-time.After(20 * time.Second):
			t.Fatalf("%d of %d durable after 20 s", got, n)
		}
	}
}

// awaitState waits until the disk's state is want, and returns the status.
func (h *harness) awaitState(t *testing.T, want State) Status {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if st := h.w.Status(); st.State == want {
			return st
		} else if time.Now().After(limit) {
			t.Fatalf("%+v after 20 s, want %v", st, want)
		}
	}
}

// The disk is full for a while under load. Meanwhile new calls must be rejected, queued items must wait, and none of them
// may be lost.
func TestDiskTemporarilyFull(t *testing.T) {
	h := newHarness(t, GateSettings{OnFull: RejectCalls, SlowAfter: time.Hour, MaxQueue: 1000})
	h.w.Submit(1, 2, 3)
	h.awaitDurable(t, 3)
	h.fs.SetHook(func(c crashfs.Change) error {
		if c.Op == "write" || c.Op == "create" {
			return syscall.ENOSPC
		}
		return nil
	})
	for i := uint64(4); i <= 500; i++ {
		if _, ok := h.w.Submit(i); !ok {
			t.Fatalf("item %d is not accepted", i)
		}
	}
	if st := h.awaitState(t, Full); st.Accepting || st.Waiting != 497 || st.Lost != 0 {
		t.Errorf("full: %+v", st)
	}
	h.fs.SetHook(nil)
	h.awaitDurable(t, 500)
	if st := h.awaitState(t, Healthy); !st.Accepting || st.Waiting != 0 {
		t.Errorf("free space again: %+v", st)
	}
	if err := h.w.Close(); err != nil {
		t.Fatal(err)
	}
	n := 0
	if err := h.s.Scan([]byte("n"), nil, func(_, _ []byte) error { n++; return nil }); err != nil || n != 500 {
		t.Errorf("%d items stored, want 500; %v", n, err)
	}
	if err := h.s.Close(); err != nil {
		t.Error(err)
	}
}

// Items beyond the limit of the queue must be lost and counted.
func TestQueueBound(t *testing.T) {
	h := newHarness(t, GateSettings{OnSlow: RejectCalls, OnFull: AcceptCalls, SlowAfter: time.Hour, MaxQueue: 10})
	h.fs.SetHook(func(c crashfs.Change) error {
		if c.Op == "write" {
			return syscall.ENOSPC
		}
		return nil
	})
	accepted := 0
	for i := range uint64(30) {
		if _, ok := h.w.Submit(i); ok {
			accepted++
		}
	}
	if st := h.w.Status(); accepted != 10 || st.Lost != 20 {
		t.Errorf("%d items accepted, want 10; %+v", accepted, st)
	}
	h.fs.SetHook(nil)
	h.awaitDurable(t, 10)
	_ = h.w.Close()
	_ = h.s.Close()
}

// A disk that fails for good must end the writer, which reports this and accepts no more items.
func TestDiskFails(t *testing.T) {
	h := newHarness(t, GateSettings{OnFailed: RejectCalls, SlowAfter: time.Hour, MaxQueue: 1000})
	h.w.Submit(1)
	h.awaitDurable(t, 1)
	h.fs.SetHook(func(c crashfs.Change) error {
		if c.Op == "sync" {
			return syscall.EIO
		}
		return nil
	})
	h.w.Submit(2)
	if st := h.awaitState(t, Failed); st.Accepting {
		t.Errorf("%+v", st)
	}
	if _, ok := h.w.Submit(3); ok {
		t.Error("an item was accepted after the disk had failed")
	}
	h.fs.SetHook(nil)
	if err := h.w.Close(); err == nil {
		t.Error("closed without an error")
	}
	_ = h.s.Close()
}

// For any sequence of disk states, the gate must not admit more items than the limit, must count the rejected ones, and must
// accept calls again once the disk is healthy.
func TestGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := GateSettings{OnSlow: Policy(rapid.IntRange(0, 1).Draw(t, "slow")), OnFull: Policy(rapid.IntRange(0, 1).Draw(t, "full")),
			OnFailed: RejectCalls, SlowAfter: time.Second, MaxQueue: rapid.IntRange(4, 40).Draw(t, "queue")}
		g, now, waiting, rejected := NewGate(set), time.Duration(0), 0, uint64(0)
		since := time.Duration(0)
		full := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				n := rapid.IntRange(1, 5).Draw(t, "n")
				if waiting == 0 {
					since = now
				}
				if g.Admit(n) {
					waiting += n
				} else {
					rejected += uint64(n)
				}
			case 1:
				waiting, since = rapid.IntRange(0, waiting).Draw(t, "left"), now
			case 2:
				full = !full
				g.SetFull(now, full)
			}
			g.SetWaiting(now, waiting, since)
			if waiting > set.MaxQueue || g.Lost != rejected || g.AtRisk() != waiting {
				t.Fatalf("%d of %d items wait, %d counted as lost of %d rejected", waiting, set.MaxQueue, g.Lost, rejected)
			}
			if state, _ := g.State(); full != (state == Full) || full && g.Accepting() != (set.OnFull == AcceptCalls) {
				t.Fatalf("full %v, state %v, accepting %v", full, state, g.Accepting())
			}
		}
		g.SetFull(now, false)
		g.SetWaiting(now, 0, now)
		if state, _ := g.State(); state != Healthy || !g.Accepting() {
			t.Fatalf("disk is healthy, but the state is %v", state)
		}
		g.SetFailed(now)
		if g.Accepting() || g.Admit(1) {
			t.Fatal("the gate admits items after the disk has failed")
		}
	})
}
