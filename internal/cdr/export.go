package cdr

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// prefixExport begins the keys of export state: 'x', the target's name, a zero byte and the batch's number. Number 0 is the
// state of the target itself.
const prefixExport = 'x'

// Stage is the progress of a batch at its target.
type Stage uint8

// Stages of a batch.
const (
	// Planned batches have their records chosen; nothing or only a part has been sent.
	Planned Stage = iota
	// Confirmed batches are complete at their target, which has confirmed that.
	Confirmed
)

// Delivery is the state of one batch for one target. It is stored before the first byte is sent, so that after a
// crash the same batch is sent again under the same number.
type Delivery struct {
	Manifest
	Stage       Stage     `json:"stage"`
	PlannedAt   time.Time `json:"planned_at"`
	ConfirmedAt time.Time `json:"confirmed_at,omitzero"`
	Location    string    `json:"where,omitempty"` // assigned by the target, such as the address of an upload
	Attempts    int       `json:"tries"`           // failed attempts
}

// targetState is the stored state of a target, apart from its batches.
type targetState struct {
	BatchCount    uint64 `json:"batches"` // batches planned so far
	LastPlanned   uint64 `json:"to"`      // last record number in them
	LastConfirmed uint64 `json:"done"`    // last record number confirmed
	OldestBatch   uint64 `json:"oldest"`  // oldest batch whose state is still stored
}

// ExportSettings configure an Export.
type ExportSettings struct {
	Target        string // name of the target in the store
	Router        uint32
	Format        Format
	MaxRecords    int           // most records in one batch
	MinRecords    int           // waiting records at which a batch is made at once
	MaxWait       time.Duration // longest wait of records, after which a smaller batch is made
	MinRetryDelay time.Duration // delay after the first failed attempt; it doubles with each further one
	MaxRetryDelay time.Duration // upper limit of the delay
	KeepBatches   int           // confirmed batches whose state stays in the store; 0 is all
}

// Export decides which records go to a target in which batch, and when a batch is sent again. It does no I/O of its
// own.
type Export struct {
	settings     ExportSettings
	store        Store
	state        targetState
	current      *Delivery // batch being sent, nil if none
	nextAttempt  time.Time
	retryDelay   time.Duration
	pendingSince time.Time // when the oldest waiting records were first seen; zero if none wait
	Failures     uint64    // failed attempts since OpenExport
}

// stateKey returns the key of the state of a batch; batch 0 stands for the target itself.
func (s *ExportSettings) stateKey(batch uint64) []byte {
	key := append([]byte{prefixExport}, s.Target...)
	return binary.BigEndian.AppendUint64(append(key, 0), batch)
}

// OpenExport reads the stored state of an export.
func OpenExport(store Store, s ExportSettings) (*Export, error) {
	e := &Export{settings: s, store: store}
	v, found, err := store.Get(s.stateKey(0))
	if err == nil && found {
		err = json.Unmarshal(v, &e.state)
	}
	if err != nil {
		return nil, fmt.Errorf("export %s: %w", s.Target, err)
	}
	if e.state.BatchCount > 0 {
		if e.current, err = e.Batch(e.state.BatchCount); err != nil {
			return nil, err
		}
		if e.current.Stage == Confirmed {
			e.current = nil
		}
	}
	return e, nil
}

// Batch reads the state of the batch with a number.
func (e *Export) Batch(n uint64) (*Delivery, error) {
	v, found, err := e.store.Get(e.settings.stateKey(n))
	if err == nil && !found {
		err = errors.New("no stored state for this batch")
	}
	var s Delivery
	if err == nil {
		err = json.Unmarshal(v, &s)
	}
	if err != nil {
		return nil, fmt.Errorf("export %s, batch %d: %w", e.settings.Target, n, err)
	}
	return &s, nil
}

// save adds the state of the target and of the current batch to b.
func (e *Export) save(b WriteBatch) {
	put := func(n uint64, v any) {
		text, err := json.Marshal(v)
		if err != nil {
			panic(err) // strings, numbers and times only
		}
		b.Set(e.settings.stateKey(n), text)
	}
	if e.current != nil {
		put(e.current.Batch, e.current)
	}
	put(0, e.state)
}

// LastConfirmed returns the last record number that the target has confirmed.
func (e *Export) LastConfirmed() uint64 { return e.state.LastConfirmed }

// BatchCount returns the number of batches planned so far.
func (e *Export) BatchCount() uint64 { return e.state.BatchCount }

// OldestBatch returns the oldest batch whose state is still stored.
func (e *Export) OldestBatch() uint64 { return max(1, e.state.OldestBatch) }

// Next returns the batch to send now and its content. If there is none to send yet, it returns nil and the time at which
// to call it again. A batch that was planned but not confirmed is returned before a new one, always with the same content.
// The state of a new batch is added to b, which must be durable before anything of the batch is sent. last is the last
// durable record number; flush skips the retry delay and the wait for more records.
func (e *Export) Next(now time.Time, last uint64, flush bool, b WriteBatch) (*Delivery, []byte, time.Time, error) {
	if now.Before(e.nextAttempt) && !flush {
		return nil, nil, e.nextAttempt, nil
	}
	if e.current == nil {
		waiting := last - min(last, e.state.LastPlanned)
		if waiting == 0 {
			e.pendingSince = time.Time{}
			return nil, nil, now.Add(e.settings.MaxWait), nil
		}
		if e.pendingSince.IsZero() {
			e.pendingSince = now
		}
		if due := e.pendingSince.Add(e.settings.MaxWait); waiting < uint64(e.settings.MinRecords) &&
			now.Before(due) && !flush {
			return nil, nil, due, nil
		}
		e.plan(now, last)
		content, err := e.readRecords()
		if err != nil {
			e.current = nil
			return nil, nil, now, err
		}
		e.state.BatchCount, e.state.LastPlanned, e.pendingSince = e.current.Batch, e.current.To, time.Time{}
		e.save(b)
		return e.current, content, now, nil
	}
	content, err := e.rereadRecords()
	return e.current, content, now, err
}

// plan makes the next batch the current one.
func (e *Export) plan(now time.Time, last uint64) {
	n := e.state.BatchCount + 1
	e.current = &Delivery{PlannedAt: now, Manifest: Manifest{Batch: n, Format: e.settings.Format,
		Router: e.settings.Router, File: BatchName(e.settings.Router, n, e.settings.Format),
		From: e.state.LastPlanned + 1, To: min(last, e.state.LastPlanned+uint64(e.settings.MaxRecords))}}
}

// readRecords reads the records of the current batch and completes its manifest.
func (e *Export) readRecords() ([]byte, error) {
	records, missing, err := ReadRange(e.store, e.current.From, e.current.To)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	if err := WriteFile(&buf, e.current.Format, records); err != nil {
		return nil, err
	}
	m := &e.current.Manifest
	m.Count, m.Missing, m.Bytes, m.SHA256 = len(records), missing, buf.Len(), Checksum(buf.Bytes())
	if len(records) > 0 {
		m.FirstID, m.LastID = records[0].ID.String(), records[len(records)-1].ID.String()
	}
	return buf.Bytes(), nil
}

// rereadRecords reads the records of a batch that was planned earlier. Its content must not have changed.
func (e *Export) rereadRecords() ([]byte, error) {
	planned := *e.current
	content, err := e.readRecords()
	if err != nil {
		return nil, err
	}
	if e.current.SHA256 != planned.SHA256 {
		e.current.Manifest = planned.Manifest
		return nil, fmt.Errorf("export %s, batch %d: stored records have changed since the batch was planned",
			e.settings.Target, planned.Batch)
	}
	return content, nil
}

// SetLocation records the batch's location at the target, before its content is sent; an empty one means that the batch has
// to be prepared again.
func (e *Export) SetLocation(location string, b WriteBatch) {
	e.current.Location = location
	e.save(b)
}

// MarkFailed records a failed attempt. The batch is sent again after the retry delay.
func (e *Export) MarkFailed(now time.Time, b WriteBatch) {
	e.Failures++
	e.retryDelay = min(max(2*e.retryDelay, e.settings.MinRetryDelay), e.settings.MaxRetryDelay)
	e.nextAttempt = now.Add(e.retryDelay)
	if e.current != nil {
		e.current.Attempts++
		e.save(b)
	}
}

// MarkConfirmed records that the target holds the whole batch, and deletes the oldest state beyond KeepBatches.
func (e *Export) MarkConfirmed(now time.Time, b WriteBatch) {
	e.current.Stage, e.current.ConfirmedAt = Confirmed, now
	e.state.LastConfirmed, e.retryDelay, e.nextAttempt = e.current.To, 0, time.Time{}
	if old := e.OldestBatch(); e.settings.KeepBatches > 0 && e.state.BatchCount >= old+uint64(e.settings.KeepBatches) {
		b.Delete(e.settings.stateKey(old))
		e.state.OldestBatch = old + 1
	}
	e.save(b)
	e.current = nil
}

// ReadRange reads the records with the numbers from to to, inclusive. missing are the numbers whose record does not exist
// or cannot be read; err is always nil.
func ReadRange(store Store, from, to uint64) (records []*Record, missing []uint64, err error) {
	for n := from; n <= to; n++ {
		r, found, err := ReadRecord(store, n)
		if err != nil || !found {
			missing = append(missing, n)
			continue
		}
		records = append(records, r)
	}
	return records, missing, nil
}
