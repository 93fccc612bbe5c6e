package cdr

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// prefixExport is where the state of exports lies: 'x', the target's name, a zero byte, and the batch's number; 0 is
// the target's own state.
const prefixExport = 'x'

// Stage tells how far a batch has come at its target.
type Stage uint8

// Stages of a batch.
const (
	Planned   Stage = iota // its records are chosen; nothing, or a part, has been sent
	Confirmed              // the target has said that it holds all of it
)

// Delivery is one batch on its way to one target. It is kept before the first byte leaves: what is sent again after a
// crash is the same batch under the same number.
type Delivery struct {
	Manifest
	Stage       Stage     `json:"stage"`
	PlannedAt   time.Time `json:"planned_at"`
	ConfirmedAt time.Time `json:"confirmed_at,omitzero"`
	Location    string    `json:"where,omitempty"` // what the target calls it: an upload's address
	Attempts    int       `json:"tries"`
}

// targetState is what is kept of a target beside its batches.
type targetState struct {
	Batches uint64 `json:"batches"` // planned so far
	To      uint64 `json:"to"`      // the last number in them
	Done    uint64 `json:"done"`    // the last number that is confirmed
	Oldest  uint64 `json:"oldest"`  // batch whose state is still kept
}

// ExportSettings set an Export.
type ExportSettings struct {
	Target        string // its name in the store
	Router        uint32
	Format        Format
	MaxRecords    int           // records of one batch
	MinRecords    int           // fewer wait for more,
	MaxWait       time.Duration // for so long at the most
	MinRetryDelay time.Duration // pause after a failed try, doubling
	MaxRetryDelay time.Duration // up to this
	KeepBatches   int           // states of confirmed batches that are kept for Verify
}

// Export decides which records go to a target in which batch and when it is tried again. It does no I/O.
type Export struct {
	set      ExportSettings
	keep     Store
	state    targetState
	now      *Delivery // being sent, nil if none
	next     time.Time
	pause    time.Duration
	since    time.Time // records wait for a batch since
	Failures uint64
}

func (s *ExportSettings) key(batch uint64) []byte {
	k := append([]byte{prefixExport}, s.Target...)
	return binary.BigEndian.AppendUint64(append(k, 0), batch)
}

// OpenExport reads how far an export came.
func OpenExport(k Store, s ExportSettings) (*Export, error) {
	e := &Export{set: s, keep: k}
	v, found, err := k.Get(s.key(0))
	if err == nil && found {
		err = json.Unmarshal(v, &e.state)
	}
	if err != nil {
		return nil, fmt.Errorf("export %s: %w", s.Target, err)
	}
	if e.state.Batches > 0 {
		if e.now, err = e.Batch(e.state.Batches); err != nil {
			return nil, err
		}
		if e.now.Stage == Confirmed {
			e.now = nil
		}
	}
	return e, nil
}

// Batch reads the state of a batch.
func (e *Export) Batch(n uint64) (*Delivery, error) {
	v, found, err := e.keep.Get(e.set.key(n))
	if err == nil && !found {
		err = errors.New("its state is gone")
	}
	var s Delivery
	if err == nil {
		err = json.Unmarshal(v, &s)
	}
	if err != nil {
		return nil, fmt.Errorf("export %s, batch %d: %w", e.set.Target, n, err)
	}
	return &s, nil
}

func (e *Export) save(b WriteBatch) {
	put := func(n uint64, v any) {
		text, err := json.Marshal(v)
		if err != nil {
			panic(err) // strings, numbers and times only
		}
		b.Set(e.set.key(n), text)
	}
	if e.now != nil {
		put(e.now.Batch, e.now)
	}
	put(0, e.state)
}

// LastConfirmed is the last number that the target has confirmed.
func (e *Export) LastConfirmed() uint64 { return e.state.Done }

// BatchCount is how many batches were made.
func (e *Export) BatchCount() uint64 { return e.state.Batches }

// OldestBatch is the first batch whose state is still kept.
func (e *Export) OldestBatch() uint64 { return max(1, e.state.Oldest) }

// Next returns the batch to be sent now, or nil and when to ask again. A batch that was begun comes first, always the
// same; a new one is put into b, which must be durable before anything of it is sent. last is the last number of the
// ledger, flush makes a batch of however few there are.
func (e *Export) Next(now time.Time, last uint64, flush bool, b WriteBatch) (*Delivery, []byte, time.Time, error) {
	if now.Before(e.next) && !flush {
		return nil, nil, e.next, nil
	}
	if e.now == nil {
		waiting := last - min(last, e.state.To)
		if waiting == 0 {
			e.since = time.Time{}
			return nil, nil, now.Add(e.set.MaxWait), nil
		}
		if e.since.IsZero() {
			e.since = now
		}
		if ripe := e.since.Add(e.set.MaxWait); waiting < uint64(e.set.MinRecords) && now.Before(ripe) && !flush {
			return nil, nil, ripe, nil
		}
		e.plan(now, last)
		content, err := e.fill()
		if err != nil {
			e.now = nil
			return nil, nil, now, err
		}
		e.state.Batches, e.state.To, e.since = e.now.Batch, e.now.To, time.Time{}
		e.save(b)
		return e.now, content, now, nil
	}
	content, err := e.refill()
	return e.now, content, now, err
}

func (e *Export) plan(now time.Time, last uint64) {
	n := e.state.Batches + 1
	e.now = &Delivery{PlannedAt: now, Manifest: Manifest{Batch: n, Format: e.set.Format, Router: e.set.Router,
		File: BatchName(e.set.Router, n, e.set.Format), From: e.state.To + 1, To: min(last, e.state.To+uint64(e.set.MaxRecords))}}
}

// fill reads a new batch's records and completes its manifest.
func (e *Export) fill() ([]byte, error) {
	records, missing, err := ReadRange(e.keep, e.now.From, e.now.To)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	if err := WriteFile(&buf, e.now.Format, records); err != nil {
		return nil, err
	}
	m := &e.now.Manifest
	m.Count, m.Missing, m.Bytes, m.SHA256 = len(records), missing, buf.Len(), Checksum(buf.Bytes())
	if len(records) > 0 {
		m.FirstID, m.LastID = records[0].ID.String(), records[len(records)-1].ID.String()
	}
	return buf.Bytes(), nil
}

// refill reads a batch again that was begun before. Its bytes must be what they were.
func (e *Export) refill() ([]byte, error) {
	was := *e.now
	content, err := e.fill()
	if err != nil {
		return nil, err
	}
	if e.now.SHA256 != was.SHA256 {
		e.now.Manifest = was.Manifest
		return nil, fmt.Errorf("export %s, batch %d: its records are not what they were when it was planned", e.set.Target, was.Batch)
	}
	return content, nil
}

// MarkPlaced notes what the target calls the batch, before its bytes go.
func (e *Export) MarkPlaced(where string, b WriteBatch) {
	e.now.Location = where
	e.save(b)
}

// MarkFailed notes that a try came to nothing; the batch is tried again later.
func (e *Export) MarkFailed(now time.Time, b WriteBatch) {
	e.Failures++
	e.pause = min(max(2*e.pause, e.set.MinRetryDelay), e.set.MaxRetryDelay)
	e.next = now.Add(e.pause)
	if e.now != nil {
		e.now.Attempts++
		e.save(b)
	}
}

// MarkConfirmed notes that the target holds the whole batch.
func (e *Export) MarkConfirmed(now time.Time, b WriteBatch) {
	e.now.Stage, e.now.ConfirmedAt = Confirmed, now
	e.state.Done, e.pause, e.next = e.now.To, 0, time.Time{}
	if old := e.OldestBatch(); e.set.KeepBatches > 0 && e.state.Batches >= old+uint64(e.set.KeepBatches) {
		b.Delete(e.set.key(old))
		e.state.Oldest = old + 1
	}
	e.save(b)
	e.now = nil
}

// ReadRange reads the records of a range of numbers; missing are those that are gone or cannot be read.
func ReadRange(k Store, from, to uint64) (records []*Record, missing []uint64, err error) {
	for n := from; n <= to; n++ {
		r, found, err := ReadRecord(k, n)
		if err != nil || !found {
			missing = append(missing, n)
			continue
		}
		records = append(records, r)
	}
	return records, missing, nil
}
