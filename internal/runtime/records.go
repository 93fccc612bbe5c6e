package runtime

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"pipitring/internal/call"
	"pipitring/internal/cdr"
	"pipitring/internal/config"
	"pipitring/internal/node"
	"pipitring/internal/records"
)

// keeping joins the loop and the records beside it.
type keeping struct {
	s      *Server
	rec    *records.Recorder
	clock  cdr.Clock  // on the loop
	items  []cdr.Item // on the loop, reused
	proven uint64     // Core.Stats.Unproven as it was told last

	mu      sync.Mutex
	tickets []submitted // not durable yet, oldest first
	durable uint64      // the core's last ticket that is
	waking  bool        // the loop has been asked to look
}

// submitted joins the records' ticket with the core's.
type submitted struct{ theirs, core uint64 }

// look is how often the disk's state is looked at beside the loop.
const look = 50 * time.Millisecond

// openRecords opens the records that the settings name; nil where they name none.
func (s *Server) openRecords() error {
	set := &s.set.Records
	if set.Dir == "" {
		return nil
	}
	k := &keeping{s: s}
	o := records.Options{Dir: set.Dir, Router: uint32(s.set.Router.Exchange), Gate: set.GateSettings(), MaxBatch: set.Batch, BatchDelay: set.BatchDelay,
		HeartbeatInterval: set.HeartbeatInterval, Retention: set.Retention, DiskLimit: uint64(set.DiskLimit), TrimInterval: time.Minute, OnDurable: k.done, Now: s.now,
		Log: func(level records.Level, text string, err error) {
			[...]func(string, ...zap.Field){s.log.Info, s.log.Warn, s.log.Error}[level](text, zap.Error(err))
		}}
	if s.set.Tariffs != nil {
		o.Rater = s.set.Tariffs
	}
	var err error
	if o.Exports, err = ExportOptions(s.set); err != nil {
		return err
	}
	if k.rec, err = records.Open(o); err != nil {
		return fmt.Errorf("records: %w", err)
	}
	s.keep = k
	st := k.rec.Status()
	s.log.Info("records opened", zap.String("dir", set.Dir), zap.Uint32("life", st.Incarnation), zap.Uint64("last", st.Last),
		zap.Int("closed", st.RecoveredCalls), zap.Duration("took", st.RecoveryTime))
	return nil
}

// ExportOptions puts the exports of settings in the records' terms.
func ExportOptions(set *config.Settings) (out []records.ExportOptions, err error) {
	for i := range set.Records.Export {
		e := &set.Records.Export[i]
		x := records.ExportOptions{ExportSettings: cdr.ExportSettings{Target: e.Name, Router: uint32(set.Router.Exchange),
			Format: cdr.Format(e.Format), MaxRecords: e.MaxRecords, MinRecords: e.MinRecords, MaxWait: e.MaxWait, MinRetryDelay: time.Second, MaxRetryDelay: time.Minute,
			KeepBatches: 1000}, ChunkSize: e.ChunkSize, Timeout: e.Timeout}
		if x.Token, err = e.ReadToken(); err != nil {
			return nil, fmt.Errorf("records.export %q: %w", e.Name, err)
		}
		x.Dir = e.To
		if e.IsURL() {
			x.Dir, x.URL = "", e.To
		}
		out = append(out, x)
	}
	return out, nil
}

// watch looks at the disk's state until ctx ends, and tells the loop when new calls are to be refused or taken again.
func (k *keeping) watch(ctx context.Context) {
	t := time.NewTicker(look)
	defer t.Stop()
	state, open := k.rec.DiskStatus().State, true
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		st := k.rec.DiskStatus()
		// An error says that the loop has ended, or is behind: then the next look tells it.
		if st.Accepting != open && k.s.Do(func(n *node.Node, _ time.Duration) { n.Core.SetSuspended(!st.Accepting) }) == nil {
			open = st.Accepting
		}
		if st.State != state {
			k.s.log.Warn("records: the disk's state has changed", zap.Stringer("from", state), zap.Stringer("to", st.State),
				zap.Bool("new_calls", st.Accepting), zap.Int("at_risk", st.Waiting), zap.Uint64("lost", st.Lost))
			state = st.State
		}
	}
}

// take hands the core's records over; on the loop.
func (k *keeping) take(now time.Duration, made []call.Record) {
	k.clock.Observe(now, time.Now())
	if unproven := k.s.node.Core.Stats.AnsweredNotDurable; unproven != k.proven {
		k.rec.AddOverdue(int(unproven - k.proven))
		k.proven = unproven
	}
	if len(made) == 0 {
		return
	}
	k.items = k.items[:0]
	for i := range made {
		k.items = append(k.items, cdr.Item{Open: made[i].Kind == call.AnswerRecord, Record: k.s.set.CallRecord(&k.clock, k.rec.ID(made[i].CallSeq), &made[i])})
	}
	last := made[len(made)-1].RecordSeq
	k.mu.Lock()
	ticket, ok := k.rec.Submit(k.items...)
	if ok {
		k.tickets = append(k.tickets, submitted{ticket, last})
	}
	k.mu.Unlock()
	clear(k.items) // the strings are the records' now
}

// done is told on the records' goroutine what is durable; the loop is woken once for what comes together.
func (k *keeping) done(upTo uint64) {
	k.mu.Lock()
	for len(k.tickets) > 0 && k.tickets[0].theirs <= upTo {
		k.durable = k.tickets[0].core
		k.tickets = k.tickets[1:]
	}
	wake := !k.waking
	k.waking = true
	k.mu.Unlock()
	if !wake {
		return
	}
	// The error says that the loop has ended: then nobody waits for an answer.
	_ = k.s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		k.mu.Lock()
		k.waking = false
		ticket := k.durable
		k.mu.Unlock()
		now := k.s.now()
		k.s.node.MarkDurable(now, ticket)
		k.s.settle(now)
		return nil
	}))
}

// serveRecords answers with the kept records as lines of JSON, from a number on.
func (k *keeping) serveRecords(w http.ResponseWriter, q *http.Request) {
	filter := cdr.Filter{}
	if text := q.URL.Query().Get("id"); text != "" {
		id, err := cdr.ParseID(text)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		filter.ID = &id
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	err := filter.Each(k.rec.Store(), func(n uint64, err error) {
		k.s.log.Error("records: one cannot be read", zap.Uint64("number", n), zap.Error(err))
	}, func(_ uint64, r *cdr.Record) error { return enc.Encode(r) })
	if err != nil && !errors.Is(err, context.Canceled) {
		k.s.log.Warn("records: listing them", zap.Error(err)) // the reader may have left
	}
}
