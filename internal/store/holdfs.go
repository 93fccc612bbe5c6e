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

// ErrClosing is what a write that waited for room gets when the store is closed.
var ErrClosing = errors.New("store: closed while the disk was full")

// holdFS waits out a full disk: a write that finds no room is tried again until there is some, so that the database
// above never sees the error, which would end it. What was written before the disk filled up counts.
type holdFS struct {
	vfs.FS
	again time.Duration   // between tries
	told  func(full bool) // when the disk fills up and when a write goes through again

	mu   sync.Mutex
	full int // writes that wait
	stop bool
}

func newHoldFS(fs vfs.FS, again time.Duration, told func(bool)) *holdFS {
	return &holdFS{FS: fs, again: again, told: told}
}

// close lets go what waits.
func (h *holdFS) close() {
	h.mu.Lock()
	h.stop = true
	h.mu.Unlock()
}

// noRoom tells whether an error may pass by itself.
func noRoom(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// hold does f until it does not fail for lack of room.
func (h *holdFS) hold(f func() error) error {
	err := f()
	if err == nil || !noRoom(err) {
		return err
	}
	h.count(1)
	defer h.count(-1)
	for {
		h.mu.Lock()
		stop := h.stop
		h.mu.Unlock()
		if stop {
			return ErrClosing
		}
		time.Sleep(h.again)
		if err = f(); err == nil || !noRoom(err) {
			return err
		}
	}
}

func (h *holdFS) count(d int) {
	h.mu.Lock()
	before := h.full > 0
	h.full += d
	after := h.full > 0
	h.mu.Unlock()
	if before != after {
		h.told(after)
	}
}

func (h *holdFS) Create(name string, c vfs.DiskWriteCategory) (f vfs.File, err error) {
	err = h.hold(func() error { f, err = h.FS.Create(name, c); return err })
	if err == nil && strings.HasPrefix(h.PathBase(name), "MANIFEST-") {
		// The marker that names it is another entry of the same directory: a disk that keeps the later of two entries
		// and not the earlier would leave a store that cannot be opened.
		err = h.hold(func() error { return SyncDir(h.FS, h.PathDir(name)) })
	}
	return h.file(f), err
}

// SyncDir makes the entries of a directory durable.
func SyncDir(fs vfs.FS, dir string) error {
	d, err := fs.OpenDir(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// MkdirAllSync makes a directory, and those above it that are missing, and makes their entries durable.
func MkdirAllSync(fs vfs.FS, dir string, perm os.FileMode) error {
	var above []string // directories that get a new entry
	for at := dir; ; at = fs.PathDir(at) {
		if _, err := fs.Stat(at); err == nil || fs.PathDir(at) == at {
			break
		}
		above = append(above, fs.PathDir(at))
	}
	if err := fs.MkdirAll(dir, perm); err != nil {
		return err
	}
	for _, at := range above {
		if err := SyncDir(fs, at); err != nil {
			return err
		}
	}
	return nil
}

func (h *holdFS) OpenReadWrite(name string, c vfs.DiskWriteCategory, o ...vfs.OpenOption) (f vfs.File, err error) {
	err = h.hold(func() error { f, err = h.FS.OpenReadWrite(name, c, o...); return err })
	return h.file(f), err
}

func (h *holdFS) ReuseForWrite(old, name string, c vfs.DiskWriteCategory) (f vfs.File, err error) {
	err = h.hold(func() error { f, err = h.FS.ReuseForWrite(old, name, c); return err })
	return h.file(f), err
}

func (h *holdFS) Link(old, name string) error {
	return h.hold(func() error { return h.FS.Link(old, name) })
}

func (h *holdFS) Rename(old, name string) error {
	return h.hold(func() error { return h.FS.Rename(old, name) })
}

func (h *holdFS) MkdirAll(dir string, perm os.FileMode) error {
	return h.hold(func() error { return h.FS.MkdirAll(dir, perm) })
}

// Unwrap is the file system below.
func (h *holdFS) Unwrap() vfs.FS { return h.FS }

func (h *holdFS) file(f vfs.File) vfs.File {
	if f == nil {
		return nil
	}
	return &holdFile{File: f, fs: h}
}

type holdFile struct {
	vfs.File
	fs *holdFS
}

func (f *holdFile) Write(b []byte) (n int, err error) {
	err = f.fs.hold(func() error {
		k, err := f.File.Write(b[n:])
		n += k
		if err == nil && n < len(b) {
			err = io.ErrShortWrite
		}
		return err
	})
	return n, err
}

func (f *holdFile) WriteAt(b []byte, at int64) (n int, err error) {
	err = f.fs.hold(func() error {
		k, err := f.File.WriteAt(b[n:], at+int64(n))
		n += k
		return err
	})
	return n, err
}

// Preallocate is only a help: where there is no room for it, writes find out.
func (f *holdFile) Preallocate(offset, length int64) error {
	if err := f.File.Preallocate(offset, length); err != nil && !noRoom(err) {
		return err
	}
	return nil
}
