// Package export delivers batches of call detail records to a target: a directory, or a receiver that speaks tus 1.0
// (resumable uploads over HTTP). cdr.Export decides what is sent when; this package does the I/O.
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

// Target receives batches. A batch may be sent again, whole or in part, and must be stored only once.
type Target interface {
	// Prepare prepares the target for a batch and returns the batch's location there. A batch that was prepared
	// before has its location in the delivery.
	Prepare(ctx context.Context, s *cdr.Delivery) (location string, err error)
	// Send sends the content of a prepared batch and returns once the target has confirmed that it holds all of
	// it.
	Send(ctx context.Context, s *cdr.Delivery, content []byte) error
	Close() error
}

// ErrUnknownUpload means that the target no longer knows a batch that was prepared: it has to be prepared
// again.
var ErrUnknownUpload = errors.New("upload no longer exists at the target")

// ErrLocked means that another exporter writes to the same directory.
var ErrLocked = errors.New("another exporter writes to this directory")

// Directory is a target that stores batches as files. The manifest of a file is written after it. Both are
// synced and then renamed, so that only complete files appear.
type Directory struct {
	fs   vfs.FS
	dir  string
	lock io.Closer
}

const lockName = ".pipitring-export"

// OpenDirectory locks a directory for one exporter and creates it if it does not exist. A second exporter
// gets ErrLocked.
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

// Close unlocks the directory.
func (d *Directory) Close() error { return d.lock.Close() }

// Prepare returns the path of the batch's file.
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

// Files reads the files of an export directory.
type Files struct {
	FS  vfs.FS
	Dir string
}

// List returns the names of the files.
func (f Files) List() ([]string, error) { return f.FS.List(f.Dir) }

// Read returns the content of a file.
func (f Files) Read(name string) ([]byte, error) {
	file, err := f.FS.Open(f.FS.PathJoin(f.Dir, name))
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(file)
	return b, errors.Join(err, file.Close())
}

// Commit calls build with a batch and makes the changes in it durable.
type Commit func(build func(b cdr.WriteBatch) error) error

// SendNext performs the next step of an export: it sends one batch, or none if there is none to send. again
// is the time of the next call. Each state change is durable before the next step, so that a crash at any
// point repeats the same batch.
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

// deliver prepares a batch if needed and sends it. If the target no longer knows the upload, it is prepared
// and sent once more.
func deliver(ctx context.Context, e *cdr.Export, t Target, s *cdr.Delivery, content []byte, commit Commit) error {
	for again := 0; ; again++ {
		if s.Location == "" {
			location, err := t.Prepare(ctx, s)
			if err != nil {
				return err
			}
			if err := commit(func(b cdr.WriteBatch) error { e.MarkPlaced(location, b); return nil }); err != nil {
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
