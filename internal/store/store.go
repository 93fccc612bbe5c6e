// Package store is a crash-safe key-value store: pebble on an injected file system, with a format version, an owner, and
// group commits on a goroutine of their own (Writer). It does not interpret keys and values.
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
	ErrInUse       = errors.New("store is in use by another process")
	ErrNewerFormat = errors.New("store was written by a newer version of the program")
	ErrDamaged     = errors.New("damaged")
	ErrWrongOwner  = errors.New("store belongs to another router")
	ErrNotExist    = errors.New("store does not exist")
)

// Keys of the store itself. Keys of its users must not begin with a zero byte.
var (
	keyFormat = []byte("\x00format")
	keyOwner  = []byte("\x00owner")
)

// Schema is the version of the stored data's format, and how to upgrade from older ones.
type Schema struct {
	Version uint32
	// Upgrade holds, by version, the function that converts the data of this version to the next one. The conversion is one
	// batch, so that a crash leaves either the old version or the new one.
	Upgrade map[uint32]func(*Store, *Batch) error
}

// Options configures a store.
type Options struct {
	Dir               string
	FS                vfs.FS // nil: the disk
	Owner             string // "" accepts a store of any owner
	Schema            Schema
	ReadOnly          bool            // nothing is written, not even by a recovery
	CacheSize         int64           // size of the block cache in bytes; 0 is 32 MiB
	MemTableSize      uint64          // size of the memtable in bytes; 0 is 8 MiB
	FullRetryInterval time.Duration   // interval of write retries while the disk is full; 0 is 100 ms
	OnFull            func(full bool) // called when the disk is full and when it has free space again; on any goroutine
	OnDamage          func(string)    // called for each damaged log that Open salvages
	OnFailure         func(error)     // called once, when the disk fails for good; on any goroutine
}

// Store is an open store.
type Store struct {
	db      *pebble.DB
	retryFS *retryFS
	failed  atomic.Bool
	opt     Options
}

// Batch is a set of changes that is committed atomically.
type Batch struct{ b *pebble.Batch }

// Set sets the value of a key.
func (b *Batch) Set(key, value []byte) { _ = b.b.Set(key, value, nil) } // fails only if the batch is closed

// Delete deletes a key.
func (b *Batch) Delete(key []byte) { _ = b.b.Delete(key, nil) }

// fatalError is the panic value that carries the text of a fatal error out of pebble, as Fatalf must not return.
type fatalError struct{ text string }

// pebbleLogger is pebble's logger: a fatal error marks the store as failed, all other lines are dropped.
type pebbleLogger struct{ s *Store }

func (l pebbleLogger) Infof(string, ...any)  {}
func (l pebbleLogger) Errorf(string, ...any) {}

// Fatalf marks the store as failed and panics with a fatalError, which Open, Commit and Close recover.
func (l pebbleLogger) Fatalf(format string, args ...any) {
	l.s.markFailed(fmt.Errorf(format, args...))
	panic(fatalError{fmt.Sprintf(format, args...)})
}

// markFailed marks the store as failed and calls OnFailure the first time.
func (s *Store) markFailed(err error) {
	if !s.failed.Swap(true) && s.opt.OnFailure != nil {
		s.opt.OnFailure(err)
	}
}

// Open opens a store. Unless it is read-only, Open creates a missing store, upgrades an older one and salvages damaged
// logs.
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
	s := &Store{opt: o, retryFS: newRetryFS(o.FS, o.FullRetryInterval, o.OnFull)}
	_, err := o.FS.Stat(o.Dir)
	if err != nil && o.ReadOnly {
		return nil, fmt.Errorf("%s: %w", o.Dir, ErrNotExist)
	}
	if err := checkLogs(o.FS, o.Dir, o.ReadOnly, o.OnDamage); err != nil {
		return nil, fmt.Errorf("%s: %w", o.Dir, err)
	}
	fs := vfs.FS(s.retryFS)
	// Memtables are small, because with many small keys replaying a long log at a restart costs more than frequent flushes.
	opt := &pebble.Options{FS: fs, Logger: pebbleLogger{s}, ReadOnly: o.ReadOnly, FormatMajorVersion: pebble.FormatNewest,
		// Reads of damaged data return an error and other reads work; pebble's default handler would end the process.
		EventListener: &pebble.EventListener{DataCorruption: func(pebble.DataCorruptionInfo) {}},
		MemTableSize:  cmp.Or(o.MemTableSize, 8<<20), CacheSize: cmp.Or(o.CacheSize, 32<<20)}
	for i := range opt.Levels {
		opt.Levels[i].FilterPolicy = bloom.FilterPolicy(10) // most keys that Get reads do not exist
	}
	if s.db, err = openPebble(o.Dir, opt); err != nil {
		return nil, fmt.Errorf("%s: %w", o.Dir, translateError(err))
	}
	if !o.ReadOnly {
		err = s.salvageLogs()
	}
	if err == nil {
		err = s.checkFormatAndOwner()
	}
	if err != nil {
		_ = s.Close()
		return nil, fmt.Errorf("%s: %w", o.Dir, err)
	}
	return s, nil
}

// openPebble opens the database; a fatal error of pebble is returned as an error.
func openPebble(dir string, o *pebble.Options) (db *pebble.DB, err error) {
	defer func() {
		if e, ok := recover().(fatalError); ok {
			err = errors.New(e.text)
		}
	}()
	return pebble.Open(dir, o)
}

// translateError wraps an error of pebble with the matching error of this package.
func translateError(err error) error {
	switch {
	case err == nil:
	case pebble.IsCorruptionError(err):
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	case isLocked(err):
		return fmt.Errorf("%w: %w", ErrInUse, err)
	}
	return err
}

// checkFormatAndOwner checks the format version and the owner, and writes both into a new store.
func (s *Store) checkFormatAndOwner() error {
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
		return fmt.Errorf("%w: format version is %d bytes long, not 4", ErrDamaged, len(format))
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

// upgrade converts an older store to the schema's version, one version at a time.
func (s *Store) upgrade(from uint32) error {
	if from > s.opt.Schema.Version {
		return fmt.Errorf("%w: format is %d, this program supports up to %d", ErrNewerFormat, from, s.opt.Schema.Version)
	}
	for v := from; v < s.opt.Schema.Version; v++ {
		convert := s.opt.Schema.Upgrade[v]
		switch {
		case convert == nil:
			return fmt.Errorf("format %d: no upgrade to %d is available", v, v+1)
		case s.opt.ReadOnly:
			return fmt.Errorf("format %d is older than %d: open the store for writing once to upgrade it", v, s.opt.Schema.Version)
		}
		b := s.Batch()
		if err := convert(s, b); err != nil {
			return fmt.Errorf("upgrade from format %d: %w", v, err)
		}
		b.Set(keyFormat, binary.BigEndian.AppendUint32(nil, v+1))
		if err := s.Commit(b); err != nil {
			return err
		}
	}
	return nil
}

// Owner returns the owner's name that was written into the store when it was created.
func (s *Store) Owner() (string, error) {
	b, _, err := s.Get(keyOwner)
	return string(b), err
}

// Batch returns a new empty batch, to be passed to Commit.
func (s *Store) Batch() *Batch { return &Batch{s.db.NewBatch()} }

// Commit makes a batch durable and closes it. After an error the store has failed, and all further commits fail.
func (s *Store) Commit(b *Batch) (err error) {
	defer b.b.Close()
	defer func() {
		switch e := recover().(type) {
		case nil:
		case fatalError:
			err = errors.New(e.text)
		default:
			panic(e)
		}
		if err != nil {
			s.markFailed(err)
		}
	}()
	if s.failed.Load() {
		return errors.New("store: not committed, because the disk has failed")
	}
	return s.db.Apply(b.b, pebble.Sync)
}

// Get returns a copy of the value of a key, and whether the key exists.
func (s *Store) Get(key []byte) (value []byte, found bool, err error) {
	v, closer, err := s.db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, translateError(err)
	}
	value = append([]byte(nil), v...)
	return value, true, closer.Close()
}

// Scan calls f for all keys with a prefix, in order, beginning at from; an empty from begins at the first. key and value
// are valid only during the call. An error of f ends the scan and is returned.
func (s *Store) Scan(prefix, from []byte, f func(key, value []byte) error) error {
	if len(from) == 0 {
		from = prefix
	}
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: from, UpperBound: upperBound(prefix)})
	if err != nil {
		return translateError(err)
	}
	for ok := it.First(); ok; ok = it.Next() {
		v, err := it.ValueAndErr()
		if err == nil {
			err = f(it.Key(), v)
		}
		if err != nil {
			_ = it.Close()
			return translateError(err)
		}
	}
	return translateError(it.Close())
}

// Last returns the last key with a prefix and its value, and whether there is one.
func (s *Store) Last(prefix []byte) (key, value []byte, found bool, err error) {
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: prefix, UpperBound: upperBound(prefix)})
	if err != nil {
		return nil, nil, false, translateError(err)
	}
	if it.Last() {
		key, found = append([]byte(nil), it.Key()...), true
		value = append([]byte(nil), it.Value()...)
	}
	return key, value, found, translateError(it.Close())
}

// upperBound returns the least key above all keys with a prefix; nil if there is none.
func upperBound(prefix []byte) []byte {
	bound := append([]byte(nil), prefix...)
	for i := len(bound) - 1; i >= 0; i-- {
		if bound[i]++; bound[i] != 0 {
			return bound[:i+1]
		}
	}
	return nil
}

// Size returns the store's size on disk in bytes.
func (s *Store) Size() uint64 { return s.db.Metrics().DiskSpaceUsage() }

// Compact frees the disk space of deleted keys from one key to another.
func (s *Store) Compact(from, to []byte) error { return s.db.Compact(background, from, to, false) }

// Close closes the store. Batches that were not committed are lost.
func (s *Store) Close() (err error) {
	s.retryFS.close()
	defer func() {
		if e, ok := recover().(fatalError); ok {
			err = errors.New(e.text)
		}
	}()
	if s.failed.Load() {
		return nil // the database failed during a commit, and its Close would wait for that commit for ever
	}
	return s.db.Close()
}

var _ io.Closer = (*Store)(nil)
