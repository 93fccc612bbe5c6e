package cdr

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Store reads what is kept. A value is the callback's only during the call.
type Store interface {
	Get(key []byte) (value []byte, found bool, err error)
	Scan(prefix, from []byte, f func(key, value []byte) error) error
	Last(prefix []byte) (key, value []byte, found bool, err error)
}

// WriteBatch takes changes that come to be together or not at all.
type WriteBatch interface {
	Set(key, value []byte)
	Delete(key []byte)
}

// Rater says what a call costs.
type Rater interface{ Rate(r *Record) Charge }

// Keys. Records lie under numbers without gaps, in the order in which they were written: what is missing shows. A
// mark stands for a call that was answered and has no record yet.
const (
	prefixMark   = 'b' // id: the record as far as it is known
	prefixNumber = 'n' // number: the record
	prefixID     = 'i' // id and version: its number
	prefixLife   = 'l' // life: when it began, and the last number before it
	keyAlive     = "a" // when this life was last known to run
	keyTrimmed   = "t" // the last number that was deleted after its export
)

// RecordKey is where the record with a number lies.
func RecordKey(n uint64) []byte { return binary.BigEndian.AppendUint64([]byte{prefixNumber}, n) }

// IDKey is where the number of a version of a call's record lies.
func IDKey(id ID, version uint16) []byte {
	return binary.BigEndian.AppendUint16(id.encode([]byte{prefixID}), version)
}

func markKey(id ID) []byte { return id.encode([]byte{prefixMark}) }

func lifeKey(life uint32) []byte { return binary.BigEndian.AppendUint32([]byte{prefixLife}, life) }

// Item is one thing to be written: an answered call's mark, or a call's record.
type Item struct {
	Open   bool
	Record Record
}

// Ledger decides what is written for each item. Its methods that write put what they want into a batch: only once
// that is durable it counts, and a batch that came to nothing must be followed by a new Ledger. It is not safe for
// concurrent use.
type Ledger struct {
	keep   Store
	router uint32
	life   uint32
	last   uint64 // the last number given
	rater  Rater
	buf    []byte
	resume []byte // where Recover goes on: what lies before is closed, and would be walked through again
}

// ErrNumberConflict says that the store's numbers contradict each other.
var ErrNumberConflict = errors.New("numbers of records contradict each other")

// OpenLedger reads how far earlier lives came. Begin has to be committed before anything else is.
func OpenLedger(k Store, router uint32, rater Rater) (*Ledger, error) {
	l := &Ledger{keep: k, router: router, rater: rater}
	var err error
	if _, l.last, err = numbers(k); err != nil {
		return nil, err
	}
	key, value, found, err := k.Last([]byte{prefixLife})
	if err != nil {
		return nil, err
	}
	if found {
		l.life = binary.BigEndian.Uint32(key[1:])
		if len(value) == 16 {
			// Where records were lost since, their numbers are not given again: Verify shows the gap.
			l.last = max(l.last, binary.BigEndian.Uint64(value[8:]))
		}
	}
	return l, nil
}

// numbers are the first and the last number that the store should hold a record under; the first is above the last
// where it holds none.
func numbers(k Store) (first, last uint64, err error) {
	trimmed, err := LastTrimmed(k)
	if err != nil {
		return 0, 0, err
	}
	key, _, found, err := k.Last([]byte{prefixNumber})
	last = trimmed
	if err == nil && found {
		last = max(last, binary.BigEndian.Uint64(key[1:]))
	}
	return trimmed + 1, last, err
}

// StartIncarnation starts a new life.
func (l *Ledger) StartIncarnation(b WriteBatch, wall time.Time) {
	l.life++
	b.Set(lifeKey(l.life), binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(wall.UnixNano())), l.last))
}

// Incarnation is the present one.
func (l *Ledger) Incarnation() uint32 { return l.life }

// LastNumber is the last number given.
func (l *Ledger) LastNumber() uint64 { return l.last }

// ID names the how-manieth call of the present life.
func (l *Ledger) ID(call uint64) ID { return ID{l.router, l.life, call} }

// Heartbeat notes that this life runs: what of it stands when it is killed stood until then at least.
func (l *Ledger) Heartbeat(b WriteBatch, wall time.Time) {
	b.Set([]byte(keyAlive), binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, l.life), uint64(wall.UnixNano())))
}

// Put writes items in order.
func (l *Ledger) Put(b WriteBatch, items []Item) {
	for i := range items {
		r := &items[i].Record
		if items[i].Open {
			l.buf = r.Encode(l.buf[:0])
			b.Set(markKey(r.ID), l.buf)
			continue
		}
		l.put(b, r)
		if !r.Answered.IsZero() || r.End == Abandoned {
			b.Delete(markKey(r.ID)) // a caller may have left between the answer's mark and the answer
		}
	}
}

// put writes a first version under the next number.
func (l *Ledger) put(b WriteBatch, r *Record) {
	r.Version = 1
	if l.rater != nil {
		r.Charge = l.rater.Rate(r)
	}
	l.number(b, r)
}

func (l *Ledger) number(b WriteBatch, r *Record) {
	l.last++
	l.buf = r.Encode(l.buf[:0])
	b.Set(RecordKey(l.last), l.buf)
	b.Set(IDKey(r.ID, r.Version), binary.BigEndian.AppendUint64(nil, l.last))
}

// alive reads when a life was last known to run.
func (l *Ledger) alive(life uint32) (time.Time, error) {
	v, found, err := l.keep.Get([]byte(keyAlive))
	if err != nil || !found || len(v) != 12 || binary.BigEndian.Uint32(v) != life {
		return time.Time{}, err
	}
	return time.Unix(0, int64(binary.BigEndian.Uint64(v[4:]))).UTC(), nil
}

// Recover closes up to limit calls that stood when an earlier life was killed: each gets its record and loses its
// mark in the same batch, so a crash in the middle closes none twice. It is called, and its batch committed, until it
// returns 0; new calls may be taken meanwhile, under numbers of their own.
//
// Marks that cannot be read are told to damaged and taken out; what is left of them is the id.
func (l *Ledger) Recover(b WriteBatch, limit int, damaged func(id ID, err error)) (closed int, err error) {
	seen := map[uint32]time.Time{}
	err = l.keep.Scan([]byte{prefixMark}, l.resume, func(key, value []byte) error {
		if len(key) != 1+idSize {
			return fmt.Errorf("mark %x: no id", key)
		}
		l.resume = append(l.resume[:0], key...)
		id := decodeID(key[1:])
		if id.Incarnation == l.life {
			return nil
		}
		if closed == limit {
			return errStop
		}
		closed++
		b.Delete(slices.Clone(key))
		if _, found, err := l.keep.Get(IDKey(id, 1)); err != nil || found {
			return err
		}
		r, err := Decode(value)
		if err != nil {
			damaged(id, err)
			r = &Record{ID: id, Origin: -1, Dest: -1}
		}
		at, ok := seen[id.Incarnation]
		if !ok {
			if at, err = l.alive(id.Incarnation); err != nil {
				return err
			}
			seen[id.Incarnation] = at
		}
		l.closeKilled(r, at)
		l.put(b, r)
		return nil
	})
	if errors.Is(err, errStop) {
		err = nil
	}
	return closed, err
}

var errStop = errors.New("enough")

// closeKilled makes a mark the record of a call whose router was killed: it stood until it was last seen, at least.
func (l *Ledger) closeKilled(r *Record, alive time.Time) {
	r.End, r.EndSource, r.LastSeen = Answered, EndedByRecovery, r.Answered
	if alive.After(r.LastSeen) {
		r.LastSeen = alive // the clock may have been set back since the answer: then that is all that is known
	}
	r.Ended = r.LastSeen
	r.Duration = r.LastSeen.Sub(r.Answered)
}

// ReadRecord finds the record with a number.
func ReadRecord(k Store, n uint64) (*Record, bool, error) {
	v, found, err := k.Get(RecordKey(n))
	if err != nil || !found {
		return nil, found, err
	}
	r, err := Decode(v)
	return r, true, err
}

// Versions finds all versions of a call's record, oldest first.
func Versions(k Store, id ID) (out []*Record, err error) {
	prefix := id.encode([]byte{prefixID})
	err = k.Scan(prefix, nil, func(_, value []byte) error {
		if len(value) != 8 {
			return fmt.Errorf("%w: call %v", ErrNumberConflict, id)
		}
		r, found, err := ReadRecord(k, binary.BigEndian.Uint64(value))
		if err == nil && found {
			out = append(out, r)
		}
		return err
	})
	return out, err
}

// Rerate writes a new version of a call's record with another charge; the versions before stay as they are.
func (l *Ledger) Rerate(b WriteBatch, id ID, rater Rater) (*Record, error) {
	all, err := Versions(l.keep, id)
	if err != nil {
		return nil, err
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("call %v: no record", id)
	}
	r := *all[len(all)-1]
	charge := rater.Rate(&r)
	if charge.Equal(r.Charge) {
		return &r, nil // it says so already: a second asking changes nothing
	}
	r.Version++
	r.Charge = charge
	l.number(b, &r)
	return &r, nil
}

// LastTrimmed is the last number that was deleted after its export; 0 is none.
func LastTrimmed(k Store) (uint64, error) {
	v, found, err := k.Get([]byte(keyTrimmed))
	if err != nil || !found {
		return 0, err
	}
	if len(v) != 8 {
		return 0, fmt.Errorf("%w: trimmed", ErrNumberConflict)
	}
	return binary.BigEndian.Uint64(v), nil
}

// Trim deletes records up to a number, as far as they ended before a time; at most limit of them. What lies at
// numbers that cannot be read goes too: it is reported by Verify while it is there.
func Trim(k Store, b WriteBatch, upTo uint64, before time.Time, limit int) (n int, err error) {
	from, err := LastTrimmed(k)
	if err != nil {
		return 0, err
	}
	last := from
	for at := from + 1; at <= upTo && n < limit; at++ {
		r, found, err := ReadRecord(k, at)
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
