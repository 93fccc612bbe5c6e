// Package crashfs is a file system in memory on which every change of the disk is a point at which something can be
// done: the power cut, the disk full, an error. It is what storage is tested on.
package crashfs

import (
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// Point is one change of the disk that is about to be made.
type Point struct {
	N    uint64 // from 1
	Op   string // create, write, sync, rename, remove, link, mkdir
	Name string
}

// FS counts the points and calls a hook at each. An error of the hook is the operation's.
type FS struct {
	vfs.FS
	mem  *vfs.MemFS
	n    atomic.Uint64
	mu   sync.RWMutex
	hook func(Point) error
}

// New returns an empty disk.
func New() *FS { return over(vfs.NewCrashableMem()) }

func over(mem *vfs.MemFS) *FS { return &FS{FS: mem, mem: mem} }

// SetHook sets what is called at each point, on the goroutine that makes the change; nil is nothing.
func (f *FS) SetHook(h func(Point) error) {
	f.mu.Lock()
	f.hook = h
	f.mu.Unlock()
}

// Points is how many there were.
func (f *FS) Points() uint64 { return f.n.Load() }

// Crash returns the disk as a power cut now would leave it: what was synced, and of the rest each part with a
// chance of percent in 100.
func (f *FS) Crash(percent int, seed uint64) *FS {
	return over(f.mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent, RNG: rand.New(rand.NewPCG(seed, 5))}))
}

// FlipBit changes one bit of a file.
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

func (f *FS) at(op, name string) error {
	p := Point{f.n.Add(1), op, name}
	f.mu.RLock()
	h := f.hook
	f.mu.RUnlock()
	if h == nil {
		return nil
	}
	return h(p)
}

// Unwrap is the file system below.
func (f *FS) Unwrap() vfs.FS { return f.mem }

func (f *FS) file(name string, of vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return &file{of, f, name}, nil
}

// Create is a point.
func (f *FS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	if err := f.at("create", name); err != nil {
		return nil, err
	}
	of, err := f.mem.Create(name, c)
	return f.file(name, of, err)
}

// OpenReadWrite is a point.
func (f *FS) OpenReadWrite(name string, c vfs.DiskWriteCategory, o ...vfs.OpenOption) (vfs.File, error) {
	if err := f.at("create", name); err != nil {
		return nil, err
	}
	of, err := f.mem.OpenReadWrite(name, c, o...)
	return f.file(name, of, err)
}

// ReuseForWrite is a point.
func (f *FS) ReuseForWrite(old, name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	if err := f.at("create", name); err != nil {
		return nil, err
	}
	of, err := f.mem.ReuseForWrite(old, name, c)
	return f.file(name, of, err)
}

// OpenDir is no point; syncing what it returns is.
func (f *FS) OpenDir(name string) (vfs.File, error) {
	of, err := f.mem.OpenDir(name)
	return f.file(name, of, err)
}

// Rename is a point.
func (f *FS) Rename(old, name string) error {
	if err := f.at("rename", name); err != nil {
		return err
	}
	return f.mem.Rename(old, name)
}

// Remove is a point.
func (f *FS) Remove(name string) error {
	if err := f.at("remove", name); err != nil {
		return err
	}
	return f.mem.Remove(name)
}

// RemoveAll is a point.
func (f *FS) RemoveAll(name string) error {
	if err := f.at("remove", name); err != nil {
		return err
	}
	return f.mem.RemoveAll(name)
}

// Link is a point.
func (f *FS) Link(old, name string) error {
	if err := f.at("link", name); err != nil {
		return err
	}
	return f.mem.Link(old, name)
}

// MkdirAll is a point.
func (f *FS) MkdirAll(dir string, perm os.FileMode) error {
	if err := f.at("mkdir", dir); err != nil {
		return err
	}
	return f.mem.MkdirAll(dir, perm)
}

type file struct {
	vfs.File
	fs   *FS
	name string
}

func (f *file) Write(b []byte) (int, error) {
	if err := f.fs.at("write", f.name); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

func (f *file) WriteAt(b []byte, off int64) (int, error) {
	if err := f.fs.at("write", f.name); err != nil {
		return 0, err
	}
	return f.File.WriteAt(b, off)
}

func (f *file) sync(do func() error) error {
	if err := f.fs.at("sync", f.name); err != nil {
		return err
	}
	return do()
}

func (f *file) Sync() error     { return f.sync(f.File.Sync) }
func (f *file) SyncData() error { return f.sync(f.File.SyncData) }

func (f *file) SyncTo(n int64) (bool, error) {
	if err := f.fs.at("sync", f.name); err != nil {
		return false, err
	}
	return f.File.SyncTo(n)
}
