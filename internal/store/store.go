// Package store keeps keys and values on disk through crashes: pebble on an injected file system, with a format
// version, an owner, and group commits beside the caller (Writer). It knows nothing of what is kept.
package store

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/bloom"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// Errors of Open.
var (
	ErrInUse       = errors.New("in use by another process")
	ErrNewerFormat = errors.New("written by a newer version")
	ErrDamaged     = errors.New("damaged")
	ErrWrongOwner  = errors.New("belongs to another router")
	ErrNotExist    = errors.New("no store there")
)

// Keys of the store's own; users' keys do not begin with a zero byte.
var (
	keyFormat = []byte("\x00format")
	keyOwner  = []byte("\x00owner")
)

// Schema is the form of what is kept.
type Schema struct {
	Version uint32
	// Upgrade turns what an older version has written into that of the next one, in one batch: a crash in an upgrade
	// leaves the old version or the new one.
	Upgrade map[uint32]func(*Store, *Batch) error
}

// Options set a store.
type Options struct {
	Dir               string
	FS                vfs.FS // nil is the disk
	Owner             string // "" takes whoever's
	Schema            Schema
	ReadOnly          bool // nothing is written, not even a recovery's
	Cache             int64
	MemTableSize      uint64          // bytes gathered before they are sorted into a file; 0 is 8 MiB
	FullRetryInterval time.Duration   // between tries while the disk is full
	OnFull            func(full bool) // told when the disk fills up, and when it has room again; on any goroutine
	OnDamage          func(string)    // told of damage that was found in opening and gone round
	OnFailure         func(error)     // told, once, when the disk fails for good; on any goroutine
}

// Store is an open store.
type Store struct {
	db     *pebble.DB
	hold   *holdFS
	broken atomic.Bool
	opt    Options
}

// Batch is a set of changes that come to be together or not at all.
type Batch struct{ b *pebble.Batch }

// Set puts a value.
func (b *Batch) Set(key, value []byte) { _ = b.b.Set(key, value, nil) } // fails on closed batches only

// Delete takes a key out.
func (b *Batch) Delete(key []byte) { _ = b.b.Delete(key, nil) }

// errFatal carries pebble's last words: it must not return from Fatalf.
type errFatal struct{ text string }

// words is pebble's log: errors count, the rest is its own business.
type words struct{ s *Store }

func (w words) Infof(string, ...any)  {}
func (w words) Errorf(string, ...any) {}
func (w words) Fatalf(format string, args ...any) {
	w.s.fail(fmt.Errorf(format, args...))
	panic(errFatal{fmt.Sprintf(format, args...)})
}

func (s *Store) fail(err error) {
	if !s.broken.Swap(true) && s.opt.OnFailure != nil {
		s.opt.OnFailure(err)
	}
}

// Open opens a store, makes one where there is none, and upgrades an older one.
func Open(o Options) (*Store, error) {
	if o.FS == nil {
		o.FS = vfs.Default
	}
	if o.FullRetryInterval <= 0 {
		o.FullRetryInterval = 100 * time.Millisecond
	}
	if o.OnFull == nil {
		o.OnFull = func(bool) {}
	}
	if o.OnDamage == nil {
		o.OnDamage = func(string) {}
	}
	s := &Store{opt: o, hold: newHoldFS(o.FS, o.FullRetryInterval, o.OnFull)}
	_, err := o.FS.Stat(o.Dir)
	if err != nil && o.ReadOnly {
		return nil, fmt.Errorf("%s: %w", o.Dir, ErrNotExist)
	}
	if err := checkLogs(o.FS, o.Dir, o.ReadOnly, o.OnDamage); err != nil {
		return nil, fmt.Errorf("%s: %w", o.Dir, err)
	}
	fs := vfs.FS(s.hold)
	// Keys are small and many: one long log costs a restart more than short memtables cost in service.
	opt := &pebble.Options{FS: fs, Logger: words{s}, ReadOnly: o.ReadOnly, FormatMajorVersion: pebble.FormatNewest,
		// Damage is the reader's to hear of, who goes on with the rest; by default it ends the process.
		EventListener: &pebble.EventListener{DataCorruption: func(pebble.DataCorruptionInfo) {}},
		MemTableSize:  cmp.Or(o.MemTableSize, 8<<20), CacheSize: cmp.Or(o.Cache, 32<<20)}
	for i := range opt.Levels {
		opt.Levels[i].FilterPolicy = bloom.FilterPolicy(10) // most keys that are asked for singly are not there
	}
	if s.db, err = openPebble(o.Dir, opt); err != nil {
		return nil, fmt.Errorf("%s: %w", o.Dir, inTerms(err))
	}
	if !o.ReadOnly {
		err = s.rescue()
	}
	if err == nil {
		err = s.welcome()
	}
	if err != nil {
		_ = s.Close()
		return nil, fmt.Errorf("%s: %w", o.Dir, err)
	}
	return s, nil
}

// openPebble opens the database; what ends it ends the attempt.
func openPebble(dir string, o *pebble.Options) (db *pebble.DB, err error) {
	defer func() {
		if e, ok := recover().(errFatal); ok {
			err = errors.New(e.text)
		}
	}()
	return pebble.Open(dir, o)
}

// inTerms puts an error of pebble's in this package's terms.
func inTerms(err error) error {
	switch {
	case err == nil:
	case pebble.IsCorruptionError(err):
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	case isLocked(err):
		return fmt.Errorf("%w: %w", ErrInUse, err)
	}
	return err
}

// welcome checks format and owner, and writes them into a new store.
func (s *Store) welcome() error {
	format, found, err := s.Get(keyFormat)
	if err != nil {
		return err
	}
	b := s.Batch()
	if !found {
		if s.opt.ReadOnly {
			return ErrNotExist
		}
		b.Set(keyFormat, binary.BigEndian.AppendUint32(nil, s.opt.Schema.Version))
		b.Set(keyOwner, []byte(s.opt.Owner))
		return s.Commit(b)
	}
	if len(format) != 4 {
		return fmt.Errorf("%w: format version of %d bytes", ErrDamaged, len(format))
	}
	owner, _, err := s.Get(keyOwner)
	if err != nil {
		return err
	}
	if s.opt.Owner != "" && string(owner) != "" && string(owner) != s.opt.Owner {
		return fmt.Errorf("%w: %q, not %q", ErrWrongOwner, owner, s.opt.Owner)
	}
	return s.upgrade(binary.BigEndian.Uint32(format))
}

// upgrade brings an older store to the schema's version, one version after the other.
func (s *Store) upgrade(from uint32) error {
	if from > s.opt.Schema.Version {
		return fmt.Errorf("%w: format %d, this program knows %d", ErrNewerFormat, from, s.opt.Schema.Version)
	}
	for v := from; v < s.opt.Schema.Version; v++ {
		up := s.opt.Schema.Upgrade[v]
		switch {
		case up == nil:
			return fmt.Errorf("format %d: no way to %d is known", v, v+1)
		case s.opt.ReadOnly:
			return fmt.Errorf("format %d is older than %d: open it for writing once", v, s.opt.Schema.Version)
		}
		b := s.Batch()
		if err := up(s, b); err != nil {
			return fmt.Errorf("upgrade from format %d: %w", v, err)
		}
		b.Set(keyFormat, binary.BigEndian.AppendUint32(nil, v+1))
		if err := s.Commit(b); err != nil {
			return err
		}
	}
	return nil
}

// Owner is whom the store belongs to.
func (s *Store) Owner() (string, error) {
	b, _, err := s.Get(keyOwner)
	return string(b), err
}

// Batch begins a set of changes.
func (s *Store) Batch() *Batch { return &Batch{s.db.NewBatch()} }

// Commit makes a batch durable. After an error the store takes nothing more.
func (s *Store) Commit(b *Batch) (err error) {
	defer b.b.Close()
	defer func() {
		switch e := recover().(type) {
		case nil:
		case errFatal:
			err = errors.New(e.text)
		default:
			panic(e)
		}
		if err != nil {
			s.fail(err)
		}
	}()
	if s.broken.Load() {
		return errors.New("store: the disk has failed before")
	}
	return s.db.Apply(b.b, pebble.Sync)
}

// Get reads a value.
func (s *Store) Get(key []byte) (value []byte, found bool, err error) {
	v, closer, err := s.db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, inTerms(err)
	}
	value = append([]byte(nil), v...)
	return value, true, closer.Close()
}

// Scan calls f for all keys with a prefix from a key on, in order; key and value are f's only during the call.
func (s *Store) Scan(prefix, from []byte, f func(key, value []byte) error) error {
	if len(from) == 0 {
		from = prefix
	}
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: from, UpperBound: after(prefix)})
	if err != nil {
		return inTerms(err)
	}
	for ok := it.First(); ok; ok = it.Next() {
		v, err := it.ValueAndErr()
		if err == nil {
			err = f(it.Key(), v)
		}
		if err != nil {
			_ = it.Close()
			return inTerms(err)
		}
	}
	return inTerms(it.Close())
}

// Last reads the last key with a prefix.
func (s *Store) Last(prefix []byte) (key, value []byte, found bool, err error) {
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: prefix, UpperBound: after(prefix)})
	if err != nil {
		return nil, nil, false, inTerms(err)
	}
	if it.Last() {
		key, found = append([]byte(nil), it.Key()...), true
		value = append([]byte(nil), it.Value()...)
	}
	return key, value, found, inTerms(it.Close())
}

// after is the least key that is above all with a prefix.
func after(prefix []byte) []byte {
	up := append([]byte(nil), prefix...)
	for i := len(up) - 1; i >= 0; i-- {
		if up[i]++; up[i] != 0 {
			return up[:i+1]
		}
	}
	return nil
}

// Size is what the store takes on disk, in bytes.
func (s *Store) Size() uint64 { return s.db.Metrics().DiskSpaceUsage() }

// Compact makes room that deleted keys still take.
func (s *Store) Compact(from, to []byte) error { return s.db.Compact(background, from, to, false) }

// Close ends the store. What was not committed is gone.
func (s *Store) Close() (err error) {
	s.hold.close()
	defer func() {
		if e, ok := recover().(errFatal); ok {
			err = errors.New(e.text)
		}
	}()
	if s.broken.Load() {
		return nil // the database has ended in mid-commit, and closing it would wait for that for ever
	}
	return s.db.Close()
}

var _ io.Closer = (*Store)(nil)
