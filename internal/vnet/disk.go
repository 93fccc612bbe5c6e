package vnet

import (
	"bytes"
	"slices"
	"time"

	"pipitring/internal/cdr"
	"pipitring/internal/timers"
)

// Disk keeps keys and values as a synced disk does: a batch comes to be some time after it was committed, all of it or
// nothing, and in order. A crash loses the batches that were on their way.
type Disk struct {
	w        *World
	data     map[string][]byte
	pending  []*commit
	SyncTime time.Duration // of one commit
	Full     bool          // commits wait until it is not
	busy     time.Duration // until when the disk is at work
}

type commit struct {
	timers.Entry[func()]
	ops  []op
	done func()
}

// op is one change; value nil deletes.
type op struct {
	key   string
	value []byte
}

// NewDisk returns an empty disk.
func (w *World) NewDisk(sync time.Duration) *Disk {
	return &Disk{w: w, data: map[string][]byte{}, SyncTime: sync}
}

// batch gathers changes.
type batch struct{ ops []op }

func (b *batch) Set(key, value []byte) {
	b.ops = append(b.ops, op{string(key), append([]byte{}, value...)})
}

func (b *batch) Delete(key []byte) { b.ops = append(b.ops, op{string(key), nil}) }

// Commit makes what build puts into a batch durable, in time, and then calls done.
func (d *Disk) Commit(build func(cdr.WriteBatch), done func()) {
	b := &batch{}
	build(b)
	c := &commit{ops: b.ops, done: done}
	c.Value = func() { d.land(c) }
	d.pending = append(d.pending, c)
	d.busy = max(d.busy, d.w.now) + d.SyncTime
	d.w.queue.Set(&c.Entry, d.busy)
}

// land applies a commit whose time has come.
func (d *Disk) land(c *commit) {
	if d.Full {
		d.w.queue.Set(&c.Entry, d.w.now+100*time.Millisecond)
		return
	}
	if d.pending[0] != c {
		d.w.queue.Set(&c.Entry, d.pending[0].At()) // one before it was held up
		return
	}
	d.pending = d.pending[1:]
	d.apply(c.ops)
	c.done()
}

func (d *Disk) apply(ops []op) {
	for _, o := range ops {
		if o.value == nil {
			delete(d.data, o.key)
		} else {
			d.data[o.key] = o.value
		}
	}
}

// CommitNow applies a batch at once: for what is done before a router serves.
func (d *Disk) CommitNow(build func(cdr.WriteBatch) error) error {
	b := &batch{}
	if err := build(b); err != nil {
		return err
	}
	d.apply(b.ops)
	return nil
}

// Crash loses what was on its way.
func (d *Disk) Crash() {
	for _, c := range d.pending {
		d.w.queue.Stop(&c.Entry)
	}
	d.pending, d.busy = nil, 0
}

// Get reads a value.
func (d *Disk) Get(key []byte) ([]byte, bool, error) {
	v, ok := d.data[string(key)]
	return v, ok, nil
}

func (d *Disk) keys(prefix []byte) (out []string) {
	for k := range d.data {
		if len(k) >= len(prefix) && k[:len(prefix)] == string(prefix) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// Scan calls f for all keys with a prefix from a key on, in order.
func (d *Disk) Scan(prefix, from []byte, f func(key, value []byte) error) error {
	for _, k := range d.keys(prefix) {
		if len(from) > 0 && bytes.Compare([]byte(k), from) < 0 {
			continue
		}
		if err := f([]byte(k), d.data[k]); err != nil {
			return err
		}
	}
	return nil
}

// Last reads the last key with a prefix.
func (d *Disk) Last(prefix []byte) (key, value []byte, found bool, err error) {
	all := d.keys(prefix)
	if len(all) == 0 {
		return nil, nil, false, nil
	}
	k := all[len(all)-1]
	return []byte(k), d.data[k], true, nil
}
