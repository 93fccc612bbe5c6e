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
	Prepare(ctx context.Context, d *cdr.Delivery) (location string, err error)
	// Send sends the content of a prepared batch and returns once the target has confirmed that it holds all of
	// it.
	Send(ctx context.Context, d *cdr.Delivery, content []byte) error
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

// lockName is the name of the lock file in an export directory.
const lockName = ".pipitring-export"

// OpenDirectory creates a directory if it does not exist and locks it. A second exporter gets ErrLocked.
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
func (t *Directory) Close() error { return t.lock.Close() }

// Prepare returns the path of the batch's file.
func (t *Directory) Prepare(_ context.Context, d *cdr.Delivery) (string, error) {
	return t.fs.PathJoin(t.dir, d.File), nil
}

// Send writes the file and its manifest.
func (t *Directory) Send(_ context.Context, d *cdr.Delivery, content []byte) error {
	if err := store.WriteFileAtomic(t.fs, t.fs.PathJoin(t.dir, d.File), content); err != nil {
		return err
	}
	return store.WriteFileAtomic(t.fs, t.fs.PathJoin(t.dir, cdr.ManifestName(d.Router, d.Batch)), d.Manifest.Encode())
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

// CommitFunc calls build with an empty batch and makes the changes that build adds to it durable.
type CommitFunc func(build func(b cdr.WriteBatch) error) error

// SendNext sends the next batch of an export, or none if there is none to send yet. nextCall is the time at which to call
// it again. Each state change is durable before the next step, so that after a crash at any point the same batch is sent
// again.
func SendNext(ctx context.Context, e *cdr.Export, t Target, last uint64, flush bool, now func() time.Time, commit CommitFunc) (sent bool,
	nextCall time.Time, err error) {
	var d *cdr.Delivery
	var content []byte
	err = commit(func(b cdr.WriteBatch) (err error) {
		d, content, nextCall, err = e.Next(now(), last, flush, b)
		return err
	})
	if err != nil || d == nil {
		return false, nextCall, err
	}
	if err := deliver(ctx, e, t, d, content, commit); err != nil {
		markErr := commit(func(b cdr.WriteBatch) error { e.MarkFailed(now(), b); return nil })
		return false, now(), errors.Join(fmt.Errorf("batch %d: %w", d.Batch, err), markErr)
	}
	return true, now(), commit(func(b cdr.WriteBatch) error { e.MarkConfirmed(now(), b); return nil })
}

// deliver prepares a batch if needed and sends it. If the target no longer knows the upload, it is prepared
// and sent once more.
func deliver(ctx context.Context, e *cdr.Export, t Target, d *cdr.Delivery, content []byte, commit CommitFunc) error {
	for attempt := 0; ; attempt++ {
		if d.Location == "" {
			location, err := t.Prepare(ctx, d)
			if err != nil {
				return err
			}
			if err := commit(func(b cdr.WriteBatch) error { e.SetLocation(location, b); return nil }); err != nil {
				return err
			}
		}
		err := t.Send(ctx, d, content)
		if !errors.Is(err, ErrUnknownUpload) || attempt > 0 {
			return err
		}
		if err := commit(func(b cdr.WriteBatch) error { e.SetLocation("", b); return nil }); err != nil {
			return err
		}
	}
}
