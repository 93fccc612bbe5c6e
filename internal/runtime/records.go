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

// recorder connects the event loop to the record store, which runs on its own goroutines.
type recorder struct {
	s                  *Server
	rec                *records.Recorder
	clock              cdr.Clock  // used on the event loop only
	items              []cdr.Item // reused buffer; used on the event loop only
	reportedNotDurable uint64     // value of Core.Stats.AnsweredNotDurable that was last reported to the store

	mu          sync.Mutex
	tickets     []pendingTicket // not durable yet, oldest first
	durableSeq  uint64          // last sequence number of the core whose record is durable
	wakePending bool            // the event loop has been asked to process durableSeq
}

// pendingTicket maps a ticket of the record store to the sequence number of the last of its records in the call core.
type pendingTicket struct{ ticket, recordSeq uint64 }

// diskPollInterval is the interval of checks of the disk's state.
const diskPollInterval = 50 * time.Millisecond

// openRecords opens the record store, if the settings name a directory for it.
func (s *Server) openRecords() error {
	set := &s.set.Records
	if set.Dir == "" {
		return nil
	}
	rc := &recorder{s: s}
	o := records.Options{Dir: set.Dir, Router: uint32(s.set.Router.Exchange), Gate: set.GateSettings(),
		MaxBatch: set.MaxBatch, BatchDelay: set.BatchDelay, HeartbeatInterval: set.HeartbeatInterval,
		Retention: set.Retention, DiskLimit: uint64(set.DiskLimit), TrimInterval: time.Minute,
		OnDurable: rc.onDurable, Now: s.now,
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
	if rc.rec, err = records.Open(o); err != nil {
		return fmt.Errorf("records: %w", err)
	}
	s.recorder = rc
	st := rc.rec.Status()
	s.log.Info("records opened", zap.String("dir", set.Dir), zap.Uint32("life", st.Incarnation), zap.Uint64("last", st.Last),
		zap.Int("closed", st.RecoveredCalls), zap.Duration("took", st.RecoveryTime))
	return nil
}

// ExportOptions converts the exports of settings to options of the record store. It reads their token files.
func ExportOptions(set *config.Settings) (out []records.ExportOptions, err error) {
	for i := range set.Records.Export {
		e := &set.Records.Export[i]
		x := records.ExportOptions{ExportSettings: cdr.ExportSettings{Target: e.Name, Router: uint32(set.Router.Exchange),
			Format: cdr.Format(e.Format), MaxRecords: e.MaxRecords, MinRecords: e.MinRecords, MaxWait: e.MaxWait,
			MinRetryDelay: time.Second, MaxRetryDelay: time.Minute, KeepBatches: 1000}, ChunkSize: e.ChunkSize, Timeout: e.Timeout}
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

// watchDisk polls the disk's state until ctx ends, logs changes, and suspends or resumes new calls on the event loop.
func (rc *recorder) watchDisk(ctx context.Context) {
	t := time.NewTicker(diskPollInterval)
	defer t.Stop()
	state, open := rc.rec.DiskStatus().State, true
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		st := rc.rec.DiskStatus()
		// Do fails if the event loop has ended or is slow; if it is slow, the next poll tries again.
		if st.Accepting != open && rc.s.Do(func(n *node.Node, _ time.Duration) { n.Core.SetSuspended(!st.Accepting) }) == nil {
			open = st.Accepting
		}
		if st.State != state {
			rc.s.log.Warn("records: disk state changed", zap.Stringer("from", state), zap.Stringer("to", st.State),
				zap.Bool("new_calls", st.Accepting), zap.Int("at_risk", st.Waiting), zap.Uint64("lost", st.Lost))
			state = st.State
		}
	}
}

// submit passes the core's records to the record store; it runs on the event loop.
func (rc *recorder) submit(now time.Duration, recs []call.Record) {
	rc.clock.Observe(now, time.Now())
	if notDurable := rc.s.node.Core.Stats.AnsweredNotDurable; notDurable != rc.reportedNotDurable {
		rc.rec.AddAnsweredNotDurable(int(notDurable - rc.reportedNotDurable))
		rc.reportedNotDurable = notDurable
	}
	if len(recs) == 0 {
		return
	}
	rc.items = rc.items[:0]
	for i := range recs {
		rc.items = append(rc.items, cdr.Item{Open: recs[i].Kind == call.AnswerRecord,
			Record: rc.s.set.CallRecord(&rc.clock, rc.rec.ID(recs[i].CallSeq), &recs[i])})
	}
	lastSeq := recs[len(recs)-1].RecordSeq
	rc.mu.Lock()
	ticket, ok := rc.rec.Submit(rc.items...)
	if ok {
		rc.tickets = append(rc.tickets, pendingTicket{ticket, lastSeq})
	}
	rc.mu.Unlock()
	clear(rc.items) // the record store has copied the items; the buffer must not keep their strings alive
}

// onDurable is called on the record store's goroutine when records up to a ticket are durable. It passes this on to the
// event loop; at most one task for that is pending, which covers all tickets that become durable until it runs.
func (rc *recorder) onDurable(upTo uint64) {
	rc.mu.Lock()
	for len(rc.tickets) > 0 && rc.tickets[0].ticket <= upTo {
		rc.durableSeq = rc.tickets[0].recordSeq
		rc.tickets = rc.tickets[1:]
	}
	wake := !rc.wakePending
	rc.wakePending = true
	rc.mu.Unlock()
	if !wake {
		return
	}
	// Execute fails only after the event loop has ended; then no answer is pending.
	_ = rc.s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		rc.mu.Lock()
		rc.wakePending = false
		seq := rc.durableSeq
		rc.mu.Unlock()
		now := rc.s.now()
		rc.s.node.MarkDurable(now, seq)
		rc.s.finishTurn(now)
		return nil
	}))
}

// serveRecords responds with the stored records as lines of JSON, filtered by the id parameter if it is given.
func (rc *recorder) serveRecords(w http.ResponseWriter, q *http.Request) {
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
	err := filter.Each(rc.rec.Store(), func(n uint64, err error) {
		rc.s.log.Error("records: stored record cannot be read; skipping it", zap.Uint64("number", n), zap.Error(err))
	}, func(_ uint64, r *cdr.Record) error { return enc.Encode(r) })
	if err != nil && !errors.Is(err, context.Canceled) {
		// For example because the client has disconnected.
		rc.s.log.Warn("records: listing for an HTTP client failed", zap.Error(err))
	}
}
