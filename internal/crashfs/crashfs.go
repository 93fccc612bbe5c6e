// Package crashfs is an in-memory file system for tests of storage. It calls a hook before every change of the disk, where
// a test can simulate a power cut, a full disk or an I/O error.
package crashfs

import (
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// Change is a change of the disk that is about to be made.
type Change struct {
	N    uint64 // sequence number, from 1
	Op   string // one of create, write, sync, rename, remove, link, mkdir
	Name string
}

// FS counts changes and calls a hook before each. If the hook returns an error, the operation fails with it.
type FS struct {
	vfs.FS
	mem     *vfs.MemFS
	changes atomic.Uint64
	mu      sync.RWMutex
	hook    func(Change) error
}

// New returns an empty file system.
func New() *FS { return wrap(vfs.NewCrashableMem()) }

func wrap(mem *vfs.MemFS) *FS { return &FS{FS: mem, mem: mem} }

// SetHook sets the function that is called before each change, on the goroutine that makes it; nil removes it.
func (f *FS) SetHook(h func(Change) error) {
	f.mu.Lock()
	f.hook = h
	f.mu.Unlock()
}

// ChangeCount returns the number of changes so far, including those for which the hook returned an error.
func (f *FS) ChangeCount() uint64 { return f.changes.Load() }

// CrashClone returns a copy of the disk as a power cut now could leave it: all synced data, and each part of the unsynced data
// with a probability of percent in 100. The choice is determined by seed.
func (f *FS) CrashClone(percent int, seed uint64) *FS {
	return wrap(f.mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent, RNG: rand.New(rand.NewPCG(seed, 5))}))
}

// FlipBit inverts one bit of a file; bit is taken modulo the file's size in bits.
func (f *FS) FlipBit(name string, bit int64) error {
	b, err := f.mem.UnsafeGetFileDataBuffer(name)
	if err != nil {
		return err
	}
	if n := int64(len(b)) * 8; n > 0 {
		bit %= n
		b[bit/8] ^= 1 << (bit % 8)
	}
	return nil
}

// beforeChange counts a change and calls the hook.
func (f *FS) beforeChange(op, name string) error {
	c := Change{f.changes.Add(1), op, name}
	f.mu.RLock()
	h := f.hook
	f.mu.RUnlock()
	if h == nil {
		return nil
	}
	return h(c)
}

// Unwrap returns the underlying file system.
func (f *FS) Unwrap() vfs.FS { return f.mem }

// wrapFile returns a file whose changes are counted.
func (f *FS) wrapFile(name string, of vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return &file{of, f, name}, nil
}

// Create counts as a change.
func (f *FS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	if err := f.beforeChange("create", name); err != nil {
		return nil, err
	}
	of, err := f.mem.Create(name, c)
	return f.wrapFile(name, of, err)
}

// OpenReadWrite counts as a change.
func (f *FS) OpenReadWrite(name string, c vfs.DiskWriteCategory, o ...vfs.OpenOption) (vfs.File, error) {
	if err := f.beforeChange("create", name); err != nil {
		return nil, err
	}
	of, err := f.mem.OpenReadWrite(name, c, o...)
	return f.wrapFile(name, of, err)
}

// ReuseForWrite counts as a change.
func (f *FS) ReuseForWrite(old, name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	if err := f.beforeChange("create", name); err != nil {
		return nil, err
	}
	of, err := f.mem.ReuseForWrite(old, name, c)
	return f.wrapFile(name, of, err)
}

// OpenDir does not count as a change; a sync of the returned directory does.
func (f *FS) OpenDir(name string) (vfs.File, error) {
	of, err := f.mem.OpenDir(name)
	return f.wrapFile(name, of, err)
}

// Rename counts as a change.
func (f *FS) Rename(old, name string) error {
	if err := f.beforeChange("rename", name); err != nil {
		return err
	}
	return f.mem.Rename(old, name)
}

// Remove counts as a change.
func (f *FS) Remove(name string) error {
	if err := f.beforeChange("remove", name); err != nil {
		return err
	}
	return f.mem.Remove(name)
}

// RemoveAll counts as a change.
func (f *FS) RemoveAll(name string) error {
	if err := f.beforeChange("remove", name); err != nil {
		return err
	}
	return f.mem.RemoveAll(name)
}

// Link counts as a change.
func (f *FS) Link(old, name string) error {
	if err := f.beforeChange("link", name); err != nil {
		return err
	}
	return f.mem.Link(old, name)
}

// MkdirAll counts as a change.
func (f *FS) MkdirAll(dir string, perm os.FileMode) error {
	if err := f.beforeChange("mkdir", dir); err != nil {
		return err
	}
	return f.mem.MkdirAll(dir, perm)
}

// file is an open file or directory whose changes are counted.
type file struct {
	vfs.File
	fs   *FS
	name string
}

func (f *file) Write(b []byte) (int, error) {
	if err := f.fs.beforeChange("write", f.name); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

func (f *file) WriteAt(b []byte, off int64) (int, error) {
	if err := f.fs.beforeChange("write", f.name); err != nil {
		return 0, err
	}
	return f.File.WriteAt(b, off)
}

// sync counts a sync as a change, then calls do.
func (f *file) sync(do func() error) error {
	if err := f.fs.beforeChange("sync", f.name); err != nil {
		return err
	}
	return do()
}

func (f *file) Sync() error     { return f.sync(f.File.Sync) }
func (f *file) SyncData() error { return f.sync(f.File.SyncData) }

func (f *file) SyncTo(n int64) (bool, error) {
	if err := f.fs.beforeChange("sync", f.name); err != nil {
		return false, err
	}
	return f.File.SyncTo(n)
}
