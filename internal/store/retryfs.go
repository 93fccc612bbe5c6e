package store

import (
	"errors"
	"io"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// ErrClosing is returned by a write that was waiting for free space when the store was closed.
var ErrClosing = errors.New("store: closed while the disk was full")

// retryFS retries operations that fail because the disk is full until there is free space, so that the database above never
// sees this error, after which it could not continue. A partial write continues where it stopped.
type retryFS struct {
	vfs.FS
	interval time.Duration   // between retries
	onFull   func(full bool) // called with true when an operation begins to wait and none did, and with false when none waits any more

	mu         sync.Mutex
	waitingOps int // operations that wait for free space
	closed     bool
}

// newRetryFS returns a file system that retries operations on fs at an interval while the disk is full.
func newRetryFS(fs vfs.FS, interval time.Duration, onFull func(bool)) *retryFS {
	return &retryFS{FS: fs, interval: interval, onFull: onFull}
}

// close makes waiting operations fail with ErrClosing.
func (r *retryFS) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
}

// isDiskFull reports whether an error means that the disk or a quota has no free space.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// retryWhileFull calls f until it does not fail because the disk is full.
func (r *retryFS) retryWhileFull(f func() error) error {
	err := f()
	if err == nil || !isDiskFull(err) {
		return err
	}
	r.addWaiting(1)
	defer r.addWaiting(-1)
	for {
		r.mu.Lock()
		closed := r.closed
		r.mu.Unlock()
		if closed {
			return ErrClosing
		}
		time.Sleep(r.interval)
		if err = f(); err == nil || !isDiskFull(err) {
			return err
		}
	}
}

// addWaiting changes the number of waiting operations by delta and calls onFull if it becomes or ceases to be zero.
func (r *retryFS) addWaiting(delta int) {
	r.mu.Lock()
	before := r.waitingOps > 0
	r.waitingOps += delta
	after := r.waitingOps > 0
	r.mu.Unlock()
	if before != after {
		r.onFull(after)
	}
}

// Create retries while the disk is full. It makes the directory entry of a manifest durable.
func (r *retryFS) Create(name string, c vfs.DiskWriteCategory) (f vfs.File, err error) {
	err = r.retryWhileFull(func() error { f, err = r.FS.Create(name, c); return err })
	if err == nil && strings.HasPrefix(r.PathBase(name), "MANIFEST-") {
		// The marker file that names the manifest is created later in the same directory. A crash may keep a later directory
		// entry and lose an earlier one, which would leave a store that cannot be opened.
		err = r.retryWhileFull(func() error { return SyncDir(r.FS, r.PathDir(name)) })
	}
	return r.wrapFile(f), err
}

// SyncDir makes the entries of a directory durable.
func SyncDir(fs vfs.FS, dir string) error {
	d, err := fs.OpenDir(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// MkdirAllSync creates a directory and its missing parents, and makes their entries durable.
func MkdirAllSync(fs vfs.FS, dir string, perm os.FileMode) error {
	var parents []string // directories that get a new entry
	for at := dir; ; at = fs.PathDir(at) {
		if _, err := fs.Stat(at); err == nil || fs.PathDir(at) == at {
			break
		}
		parents = append(parents, fs.PathDir(at))
	}
	if err := fs.MkdirAll(dir, perm); err != nil {
		return err
	}
	for _, at := range parents {
		if err := SyncDir(fs, at); err != nil {
			return err
		}
	}
	return nil
}

// OpenReadWrite retries while the disk is full.
func (r *retryFS) OpenReadWrite(name string, c vfs.DiskWriteCategory, o ...vfs.OpenOption) (f vfs.File, err error) {
	err = r.retryWhileFull(func() error { f, err = r.FS.OpenReadWrite(name, c, o...); return err })
	return r.wrapFile(f), err
}

// ReuseForWrite retries while the disk is full.
func (r *retryFS) ReuseForWrite(old, name string, c vfs.DiskWriteCategory) (f vfs.File, err error) {
	err = r.retryWhileFull(func() error { f, err = r.FS.ReuseForWrite(old, name, c); return err })
	return r.wrapFile(f), err
}

// Link retries while the disk is full.
func (r *retryFS) Link(old, name string) error {
	return r.retryWhileFull(func() error { return r.FS.Link(old, name) })
}

// Rename retries while the disk is full.
func (r *retryFS) Rename(old, name string) error {
	return r.retryWhileFull(func() error { return r.FS.Rename(old, name) })
}

// MkdirAll retries while the disk is full.
func (r *retryFS) MkdirAll(dir string, perm os.FileMode) error {
	return r.retryWhileFull(func() error { return r.FS.MkdirAll(dir, perm) })
}

// Unwrap returns the underlying file system.
func (r *retryFS) Unwrap() vfs.FS { return r.FS }

// wrapFile returns a file whose writes are retried while the disk is full; nil for nil.
func (r *retryFS) wrapFile(f vfs.File) vfs.File {
	if f == nil {
		return nil
	}
	return &retryFile{File: f, fs: r}
}

// retryFile is an open file of a retryFS.
type retryFile struct {
	vfs.File
	fs *retryFS
}

// Write writes all of b, continuing a partial write while the disk is full.
func (f *retryFile) Write(b []byte) (n int, err error) {
	err = f.fs.retryWhileFull(func() error {
		k, err := f.File.Write(b[n:])
		n += k
		if err == nil && n < len(b) {
			err = io.ErrShortWrite
		}
		return err
	})
	return n, err
}

// WriteAt writes all of b at an offset, continuing a partial write while the disk is full.
func (f *retryFile) WriteAt(b []byte, at int64) (n int, err error) {
	err = f.fs.retryWhileFull(func() error {
		k, err := f.File.WriteAt(b[n:], at+int64(n))
		n += k
		return err
	})
	return n, err
}

// Preallocate ignores a full disk, because preallocation is only an optimisation: writes are retried later.
func (f *retryFile) Preallocate(offset, length int64) error {
	if err := f.File.Preallocate(offset, length); err != nil && !isDiskFull(err) {
		return err
	}
	return nil
}
