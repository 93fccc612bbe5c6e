package cdr

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Store reads stored records. Callbacks must not keep a key or value after they return.
type Store interface {
	Get(key []byte) (value []byte, found bool, err error)
	Scan(prefix, from []byte, f func(key, value []byte) error) error
	Last(prefix []byte) (key, value []byte, found bool, err error)
}

// WriteBatch collects changes that are written atomically.
type WriteBatch interface {
	Set(key, value []byte)
	Delete(key []byte)
}

// Rater rates calls.
type Rater interface{ Rate(r *Record) Charge }

// Keys in the store, and prefixes of keys. Records are stored under consecutive numbers in the order in which they were
// written, so that a missing record shows as a gap. An open-call entry stands for a call that was answered and has no
// record yet.
const (
	// prefixOpenCall is followed by an ID. The value is the open-call entry: the record as far as it is known.
	prefixOpenCall = 'b'
	// prefixNumber is followed by a record number. The value is the record.
	prefixNumber = 'n'
	// prefixID is followed by an ID and a version. The value is the record number.
	prefixID = 'i'
	// prefixIncarnation is followed by an incarnation. The value is its start time and the last record number before it.
	prefixIncarnation = 'l'
	// keyHeartbeat holds the current incarnation and the time at which it was last known to run.
	keyHeartbeat = "a"
	// keyTrimmed holds the last record number that was deleted after its export.
	keyTrimmed = "t"
)

// RecordKey returns the key of the record with a number.
func RecordKey(n uint64) []byte { return binary.BigEndian.AppendUint64([]byte{prefixNumber}, n) }

// IDKey returns the key under which the number of one version of a call's record is stored.
func IDKey(id ID, version uint16) []byte {
	return binary.BigEndian.AppendUint16(id.encode([]byte{prefixID}), version)
}

// openCallKey returns the key of a call's open-call entry.
func openCallKey(id ID) []byte { return id.encode([]byte{prefixOpenCall}) }

// incarnationKey returns the key of the start of an incarnation.
func incarnationKey(incarnation uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{prefixIncarnation}, incarnation)
}

// Item is what is to be written about one call: its open-call entry when it is answered, or its record when it has ended.
type Item struct {
	Open   bool // Record is an open-call entry
	Record Record
}

// Ledger decides what is written for each item. Its writing methods add their changes to a batch, which the caller has to
// commit. After a commit that failed, a new Ledger has to be opened. It is not safe for concurrent use.
type Ledger struct {
	store       Store
	router      uint32
	incarnation uint32
	lastNumber  uint64 // last number assigned
	rater       Rater
	buf         []byte
	recoverFrom []byte // key from which Recover continues, so that it does not scan closed entries again
}

// ErrNumberConflict means that the numbers in the store contradict each other.
var ErrNumberConflict = errors.New("record numbers in the store contradict each other")

// OpenLedger reads the state that earlier incarnations left. StartIncarnation has to be committed before any
// other write.
func OpenLedger(store Store, router uint32, rater Rater) (*Ledger, error) {
	l := &Ledger{store: store, router: router, rater: rater}
	var err error
	if _, l.lastNumber, err = numberRange(store); err != nil {
		return nil, err
	}
	key, value, found, err := store.Last([]byte{prefixIncarnation})
	if err != nil {
		return nil, err
	}
	if found {
		l.incarnation = binary.BigEndian.Uint32(key[1:])
		if len(value) == 16 {
			// The numbers of records lost since then are not assigned again, so that Verify shows the gap.
			l.lastNumber = max(l.lastNumber, binary.BigEndian.Uint64(value[8:]))
		}
	}
	return l, nil
}

// numberRange returns the first and the last number under which the store should hold a record. First is
// above last if it holds none.
func numberRange(store Store) (first, last uint64, err error) {
	trimmed, err := LastTrimmed(store)
	if err != nil {
		return 0, 0, err
	}
	key, _, found, err := store.Last([]byte{prefixNumber})
	last = trimmed
	if err == nil && found {
		last = max(last, binary.BigEndian.Uint64(key[1:]))
	}
	return trimmed + 1, last, err
}

// StartIncarnation starts a new incarnation of the router.
func (l *Ledger) StartIncarnation(b WriteBatch, wall time.Time) {
	l.incarnation++
	b.Set(incarnationKey(l.incarnation), binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(wall.UnixNano())), l.lastNumber))
}

// Incarnation returns the current incarnation.
func (l *Ledger) Incarnation() uint32 { return l.incarnation }

// LastNumber returns the last record number assigned, 0 if none was.
func (l *Ledger) LastNumber() uint64 { return l.lastNumber }

// ID returns the ID of a call of the current incarnation, by its sequence number.
func (l *Ledger) ID(call uint64) ID { return ID{l.router, l.incarnation, call} }

// Heartbeat records that this incarnation is running: if it is killed, its standing calls stood at least
// until then.
func (l *Ledger) Heartbeat(b WriteBatch, wall time.Time) {
	b.Set([]byte(keyHeartbeat), binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, l.incarnation), uint64(wall.UnixNano())))
}

// Put writes items in order.
func (l *Ledger) Put(b WriteBatch, items []Item) {
	for i := range items {
		r := &items[i].Record
		if items[i].Open {
			l.buf = r.Encode(l.buf[:0])
			b.Set(openCallKey(r.ID), l.buf)
			continue
		}
		l.putFirstVersion(b, r)
		if !r.Answered.IsZero() || r.End == Abandoned {
			// A caller may have abandoned the call after its open-call entry was written, before the answer.
			b.Delete(openCallKey(r.ID))
		}
	}
}

// putFirstVersion rates a record and writes its first version.
func (l *Ledger) putFirstVersion(b WriteBatch, r *Record) {
	r.Version = 1
	if l.rater != nil {
		r.Charge = l.rater.Rate(r)
	}
	l.putNumbered(b, r)
}

// putNumbered writes a record under the next number.
func (l *Ledger) putNumbered(b WriteBatch, r *Record) {
	l.lastNumber++
	l.buf = r.Encode(l.buf[:0])
	b.Set(RecordKey(l.lastNumber), l.buf)
	b.Set(IDKey(r.ID, r.Version), binary.BigEndian.AppendUint64(nil, l.lastNumber))
}

// lastHeartbeat returns when an incarnation was last known to run, or the zero time if that is not known.
func (l *Ledger) lastHeartbeat(incarnation uint32) (time.Time, error) {
	v, found, err := l.store.Get([]byte(keyHeartbeat))
	if err != nil || !found || len(v) != 12 || binary.BigEndian.Uint32(v) != incarnation {
		return time.Time{}, err
	}
	return time.Unix(0, int64(binary.BigEndian.Uint64(v[4:]))).UTC(), nil
}

// Recover closes up to limit calls that stood when an earlier incarnation was killed. Each gets its record
// and loses its open-call entry in the same batch, so that a crash in between closes none twice. An entry whose call has a
// record already is only deleted, and counted as closed. Recover has to be called, and its batch committed, until it
// returns 0. New calls can be taken meanwhile.
//
// Open-call entries that cannot be decoded are passed to damaged and deleted; their record holds only the ID.
func (l *Ledger) Recover(b WriteBatch, limit int, damaged func(id ID, err error)) (closed int, err error) {
	heartbeats := map[uint32]time.Time{}
	err = l.store.Scan([]byte{prefixOpenCall}, l.recoverFrom, func(key, value []byte) error {
		if len(key) != 1+idSize {
			return fmt.Errorf("open-call entry %x: key has no call id", key)
		}
		l.recoverFrom = append(l.recoverFrom[:0], key...)
		id := decodeID(key[1:])
		if id.Incarnation == l.incarnation {
			return nil
		}
		if closed == limit {
			return errLimitReached
		}
		closed++
		b.Delete(slices.Clone(key))
		if _, found, err := l.store.Get(IDKey(id, 1)); err != nil || found {
			return err
		}
		r, err := Decode(value)
		if err != nil {
			damaged(id, err)
			r = &Record{ID: id, Origin: -1, Dest: -1}
		}
		at, ok := heartbeats[id.Incarnation]
		if !ok {
			if at, err = l.lastHeartbeat(id.Incarnation); err != nil {
				return err
			}
			heartbeats[id.Incarnation] = at
		}
		l.closeRecovered(r, at)
		l.putFirstVersion(b, r)
		return nil
	})
	if errors.Is(err, errLimitReached) {
		err = nil
	}
	return closed, err
}

// errLimitReached ends the scan of Recover.
var errLimitReached = errors.New("enough")

// closeRecovered turns an open-call entry into the record of a call whose router was killed: the call stood
// at least until it was last seen.
func (l *Ledger) closeRecovered(r *Record, heartbeat time.Time) {
	r.End, r.EndSource, r.LastSeen = Answered, EndedByRecovery, r.Answered
	// If the clock was set back after the answer, the heartbeat may be earlier: then the answer counts.
	if heartbeat.After(r.LastSeen) {
		r.LastSeen = heartbeat
	}
	r.Ended = r.LastSeen
	r.Duration = r.LastSeen.Sub(r.Answered)
}

// ReadRecord returns the record with a number, and whether there is one.
func ReadRecord(store Store, n uint64) (*Record, bool, error) {
	v, found, err := store.Get(RecordKey(n))
	if err != nil || !found {
		return nil, found, err
	}
	r, err := Decode(v)
	return r, true, err
}

// Versions returns all versions of a call's record, oldest first.
func Versions(store Store, id ID) (out []*Record, err error) {
	prefix := id.encode([]byte{prefixID})
	err = store.Scan(prefix, nil, func(_, value []byte) error {
		if len(value) != 8 {
			return fmt.Errorf("%w: call %v", ErrNumberConflict, id)
		}
		r, found, err := ReadRecord(store, binary.BigEndian.Uint64(value))
		if err == nil && found {
			out = append(out, r)
		}
		return err
	})
	return out, err
}

// Rerate rates a call's newest record again and writes a new version if the charge differs; earlier versions
// stay as they are. It returns the newest version.
func (l *Ledger) Rerate(b WriteBatch, id ID, rater Rater) (*Record, error) {
	all, err := Versions(l.store, id)
	if err != nil {
		return nil, err
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("call %v: no record in the store", id)
	}
	r := *all[len(all)-1]
	charge := rater.Rate(&r)
	if charge.Equal(r.Charge) {
		return &r, nil // rating again must not add a version
	}
	r.Version++
	r.Charge = charge
	l.putNumbered(b, &r)
	return &r, nil
}

// LastTrimmed returns the last number that was deleted after its export, 0 if none was.
func LastTrimmed(store Store) (uint64, error) {
	v, found, err := store.Get([]byte(keyTrimmed))
	if err != nil || !found {
		return 0, err
	}
	if len(v) != 8 {
		return 0, fmt.Errorf("%w: last trimmed number is malformed", ErrNumberConflict)
	}
	return binary.BigEndian.Uint64(v), nil
}

// Trim deletes records in the order of their numbers and returns how many numbers it deleted. It stops after limit numbers,
// after the number upTo, and before the first record that ended at the time before or later. Records that cannot be read
// are deleted too; Verify reports them while they are stored.
func Trim(store Store, b WriteBatch, upTo uint64, before time.Time, limit int) (n int, err error) {
	from, err := LastTrimmed(store)
	if err != nil {
		return 0, err
	}
	last := from
	for at := from + 1; at <= upTo && n < limit; at++ {
		r, found, err := ReadRecord(store, at)
		if err == nil && found {
			if !r.Ended.Before(before) {
				break
			}
			b.Delete(IDKey(r.ID, r.Version))
		}
		b.Delete(RecordKey(at))
		last = at
		n++
	}
	if n > 0 {
		b.Set([]byte(keyTrimmed), binary.BigEndian.AppendUint64(nil, last))
	}
	return n, nil
}
