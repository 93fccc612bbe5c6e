package vnet

import (
	"bytes"
	"slices"
	"time"

	"pipitring/internal/cdr"
	"pipitring/internal/timers"
)

// Disk simulates a key-value store on a disk with synced writes. Batches become durable in order and atomically, some
// time after their commit. A crash loses the batches that are not yet durable.
type Disk struct {
	world     *World
	data      map[string][]byte
	pending   []*commit
	SyncTime  time.Duration // duration of one commit
	Full      bool          // while set, commits are not applied but retried
	busyUntil time.Duration // end of the last scheduled commit
}

type commit struct {
	timers.Entry[func()]
	ops  []op
	done func()
}

// op is one change of a batch; a nil value deletes the key.
type op struct {
	key   string
	value []byte
}

// NewDisk returns an empty disk whose commits take syncTime each.
func (w *World) NewDisk(syncTime time.Duration) *Disk {
	return &Disk{world: w, data: map[string][]byte{}, SyncTime: syncTime}
}

// batch collects the changes of one commit.
type batch struct{ ops []op }

func (b *batch) Set(key, value []byte) {
	b.ops = append(b.ops, op{string(key), append([]byte{}, value...)})
}

func (b *batch) Delete(key []byte) { b.ops = append(b.ops, op{string(key), nil}) }

// Commit schedules the batch that build fills, and calls done when the batch is durable.
func (d *Disk) Commit(build func(cdr.WriteBatch), done func()) {
	b := &batch{}
	build(b)
	c := &commit{ops: b.ops, done: done}
	c.Value = func() { d.complete(c) }
	d.pending = append(d.pending, c)
	d.busyUntil = max(d.busyUntil, d.world.now) + d.SyncTime
	d.world.queue.Set(&c.Entry, d.busyUntil)
}

// complete applies a commit that is due. While the disk is full it retries every 100 ms.
func (d *Disk) complete(c *commit) {
	if d.Full {
		d.world.queue.Set(&c.Entry, d.world.now+100*time.Millisecond)
		return
	}
	if d.pending[0] != c {
		d.world.queue.Set(&c.Entry, d.pending[0].At()) // an earlier commit is delayed: wait for it, to keep the order
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

// CommitNow applies the batch that build fills immediately, without the delay of a sync. It is for changes made before a
// router serves calls. If build fails, nothing is applied and its error is returned.
func (d *Disk) CommitNow(build func(cdr.WriteBatch) error) error {
	b := &batch{}
	if err := build(b); err != nil {
		return err
	}
	d.apply(b.ops)
	return nil
}

// Crash discards all commits that are not yet durable.
func (d *Disk) Crash() {
	for _, c := range d.pending {
		d.world.queue.Stop(&c.Entry)
	}
	d.pending, d.busyUntil = nil, 0
}

// Get returns the value of a key and whether the key exists. The error is always nil.
func (d *Disk) Get(key []byte) ([]byte, bool, error) {
	v, ok := d.data[string(key)]
	return v, ok, nil
}

// keys returns the keys that begin with prefix, sorted.
func (d *Disk) keys(prefix []byte) (out []string) {
	for k := range d.data {
		if len(k) >= len(prefix) && k[:len(prefix)] == string(prefix) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// Scan calls f for each key that begins with prefix, in key order and starting at from; an empty from starts at the
// first. It stops at the first error of f and returns it.
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

// Last returns the last key that begins with prefix, and its value; found is false if there is no such key. The error
// is always nil.
func (d *Disk) Last(prefix []byte) (key, value []byte, found bool, err error) {
	all := d.keys(prefix)
	if len(all) == 0 {
		return nil, nil, false, nil
	}
	k := all[len(all)-1]
	return []byte(k), d.data[k], true, nil
}
