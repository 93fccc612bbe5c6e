// Package export carries batches of call detail records to where they are wanted: a directory, or a receiver that
// speaks tus 1.0 (resumable uploads over HTTP). What goes when is decided by cdr.Export; this package does the I/O.
package export

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"pipitring/internal/cdr"
	"pipitring/internal/store"
)

// Target takes batches. A batch may come again, whole or in part: taking it twice must leave it there once.
type Target interface {
	// Prepare makes room for a batch and returns what the target calls it; a batch that was placed before names that.
	Prepare(ctx context.Context, s *cdr.Delivery) (where string, err error)
	// Send brings a placed batch's bytes over and returns when the target has confirmed that it holds all of them.
	Send(ctx context.Context, s *cdr.Delivery, content []byte) error
	Close() error
}

// ErrUnknownUpload says that the target no longer knows a batch that was placed: it has to be placed anew.
var ErrUnknownUpload = errors.New("the target does not know this batch any more")

// ErrLocked says that another exporter writes to the same place.
var ErrLocked = errors.New("another exporter writes there")

// Directory is a directory that complete files appear in. Each file gets its manifest after it, and both appear by
// a rename of what was synced.
type Directory struct {
	fs   vfs.FS
	dir  string
	lock io.Closer
}

const lockName = ".pipitring-export"

// OpenDirectory takes a directory, which is made if need be, for one exporter; of two the second gets ErrTaken.
func OpenDirectory(fs vfs.FS, dir string) (*Directory, error) {
	if err := store.MkdirAllSync(fs, dir, 0o750); err != nil {
		return nil, err
	}
	lock, err := fs.Lock(fs.PathJoin(dir, lockName))
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", dir, ErrLocked, err)
	}
	return &Directory{fs, dir, lock}, nil
}

// Close lets the directory go.
func (d *Directory) Close() error { return d.lock.Close() }

// Prepare names the file.
func (d *Directory) Prepare(_ context.Context, s *cdr.Delivery) (string, error) {
	return d.fs.PathJoin(d.dir, s.File), nil
}

// Send writes the file and its manifest.
func (d *Directory) Send(_ context.Context, s *cdr.Delivery, content []byte) error {
	if err := store.WriteFileAtomic(d.fs, d.fs.PathJoin(d.dir, s.File), content); err != nil {
		return err
	}
	return store.WriteFileAtomic(d.fs, d.fs.PathJoin(d.dir, cdr.ManifestName(s.Router, s.Batch)), s.Manifest.Encode())
}

// Files reads a directory's files.
type Files struct {
	FS  vfs.FS
	Dir string
}

// List names the files.
func (f Files) List() ([]string, error) { return f.FS.List(f.Dir) }

// Read reads one.
func (f Files) Read(name string) ([]byte, error) {
	file, err := f.FS.Open(f.FS.PathJoin(f.Dir, name))
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(file)
	return b, errors.Join(err, file.Close())
}

// Commit makes what build puts into a batch durable.
type Commit func(build func(b cdr.WriteBatch) error) error

// SendNext does the next thing there is to do for an export: it sends one batch, or finds none. again is when there may
// be more to do. Everything is kept before the next thing follows, so that a crash anywhere repeats the same batch.
func SendNext(ctx context.Context, e *cdr.Export, t Target, last uint64, flush bool, now func() time.Time, commit Commit) (sent bool,
	again time.Time, err error) {
	var s *cdr.Delivery
	var content []byte
	err = commit(func(b cdr.WriteBatch) (err error) {
		s, content, again, err = e.Next(now(), last, flush, b)
		return err
	})
	if err != nil || s == nil {
		return false, again, err
	}
	if err := deliver(ctx, e, t, s, content, commit); err != nil {
		failed := commit(func(b cdr.WriteBatch) error { e.MarkFailed(now(), b); return nil })
		return false, now(), errors.Join(fmt.Errorf("batch %d: %w", s.Batch, err), failed)
	}
	return true, now(), commit(func(b cdr.WriteBatch) error { e.MarkConfirmed(now(), b); return nil })
}

func deliver(ctx context.Context, e *cdr.Export, t Target, s *cdr.Delivery, content []byte, commit Commit) error {
	for again := 0; ; again++ {
		if s.Location == "" {
			where, err := t.Prepare(ctx, s)
			if err != nil {
				return err
			}
			if err := commit(func(b cdr.WriteBatch) error { e.MarkPlaced(where, b); return nil }); err != nil {
				return err
			}
		}
		err := t.Send(ctx, s, content)
		if !errors.Is(err, ErrUnknownUpload) || again > 0 {
			return err
		}
		if err := commit(func(b cdr.WriteBatch) error { e.MarkPlaced("", b); return nil }); err != nil {
			return err
		}
	}
}
