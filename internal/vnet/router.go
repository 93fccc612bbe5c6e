package vnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"pipitring/internal/call"
	"pipitring/internal/cdr"
	"pipitring/internal/config"
	"pipitring/internal/front/isupfront"
	"pipitring/internal/iax2"
	"pipitring/internal/node"
	"pipitring/internal/registry"
	"pipitring/internal/standin"
	"pipitring/internal/timers"
)

// Pauses before an association is made anew, as the runtime has them.
const (
	firstPause  = 200 * time.Millisecond
	longestWait = 10 * time.Second
	steadyFor   = 5 * time.Second
)

// ErrStopped says that a router has been killed.
var ErrStopped = errors.New("vnet: the router has stopped")

// Router is a whole router on the virtual network: the node of the service on a clock, a socket, connections and a disk
// of this world.
type Router struct {
	offset   time.Duration // its clock on the wall is off by this
	w        *World
	x        int
	set      *config.Settings
	node     *node.Node
	rng      *rand.Rand
	start    time.Duration
	drift    float64 // its clock runs so much faster
	port     standin.Port
	wake     timers.Entry[func()]
	conns    map[isupfront.ConnID]*StreamEnd
	last     isupfront.ConnID
	disk     *Disk
	ledger   *cdr.Ledger
	clock    cdr.Clock
	dead     bool
	Mutation *Mutation // a planted bug; nil is none
}

// RouterOptions are what a router has beside its settings.
type RouterOptions struct {
	Disk        *Disk
	Incarnation int     // how often it was started before
	Drift       float64 // its clock runs so much faster than the world's
	Mutation    *Mutation
}

// Start starts the router of an exchange.
func (w *World) Start(x int, set *config.Settings, o RouterOptions) (*Router, error) {
	r := &Router{w: w, x: x, set: set, start: w.now, drift: o.Drift, conns: map[isupfront.ConnID]*StreamEnd{}, disk: o.Disk, Mutation: o.Mutation,
		rng: w.Rand(fmt.Sprintf("router %d life %d", x, o.Incarnation))}
	r.wake.Value = r.due
	ns := set.NodeSettings(r.rng.Uint64(), r.rng.Uint64, func(number string) bool { return r.node.Core.HasRoute(number) })
	if r.disk != nil {
		ns.Core.DurableTimeout = set.Records.AnswerWait
		if err := r.openRecords(); err != nil {
			return nil, err
		}
	}
	r.Mutation.settings(&ns)
	r.node = node.New(ns)
	var err error
	if r.port, err = w.Open(RouterAddr(x), r); err != nil {
		return nil, err
	}
	for _, g := range set.ISUPGroups() {
		if g.Front != config.FrontISUP {
			continue
		}
		w.Listen(RouterAddr(x), r.accept)
		if len(g.Connect) > 0 {
			r.associate(g.To, firstPause)
		}
	}
	return r, nil
}

// openRecords begins a life of the records: calls that stood in an earlier one are closed.
func (r *Router) openRecords() error {
	var rater cdr.Rater
	if r.set.Tariffs != nil {
		rater = r.set.Tariffs
	}
	var err error
	if r.ledger, err = cdr.OpenLedger(r.disk, uint32(r.x), rater); err != nil {
		return err
	}
	if err = r.disk.CommitNow(func(b cdr.WriteBatch) error { r.ledger.StartIncarnation(b, r.wall()); return nil }); err != nil {
		return err
	}
	for n := 1; n > 0 && err == nil; {
		err = r.disk.CommitNow(func(b cdr.WriteBatch) (err error) {
			n, err = r.ledger.Recover(b, 100, func(cdr.ID, error) {})
			return err
		})
	}
	if err != nil {
		return err
	}
	r.alive()
	return nil
}

// alive notes once a second that this life runs.
func (r *Router) alive() {
	if r.dead {
		return
	}
	r.disk.Commit(func(b cdr.WriteBatch) { r.ledger.Heartbeat(b, r.wall()) }, func() {})
	r.w.After(time.Second, r.alive)
}

// now is the router's clock: it began at the router's start, and may run too fast.
func (r *Router) now() time.Duration {
	d := r.w.now - r.start
	return d + time.Duration(r.drift*float64(d))
}

// wall is the router's clock on the wall.
func (r *Router) wall() time.Time { return r.w.Wall().Add(r.offset) }

// AdjustClock sets the router's clock on the wall forward, or back.
func (r *Router) AdjustClock(by time.Duration) {
	r.offset += by
	r.due()
}

// at is when the router's clock shows a time.
func (r *Router) at(t time.Duration) time.Duration {
	d := time.Duration(float64(t) / (1 + r.drift))
	for d+time.Duration(r.drift*float64(d)) < t {
		d++
	}
	return r.start + d
}

// Addr is where the router listens.
func (r *Router) Addr() netip.AddrPort { return RouterAddr(r.x) }

// Receive takes a datagram.
func (r *Router) Receive(from iax2.Addr, b []byte) {
	if r.dead {
		return
	}
	now := r.now()
	r.clock.Observe(now, r.wall())
	r.node.Receive(now, from, b)
	r.settle(now)
}

// Due does what is due.
func (r *Router) Due() { r.due() }

func (r *Router) due() {
	if r.dead {
		return
	}
	now := r.now()
	r.clock.Observe(now, r.wall())
	r.settle(now)
}

// settle does what is due, sends what is to go and sets the timer, as the runtime does.
func (r *Router) settle(now time.Duration) {
	for {
		at, ok := r.node.Next()
		if !ok || at > now {
			break
		}
		r.node.Advance(now)
	}
	r.node.Flush(now)
	out := &r.node.IAX().Out
	for i := range out.Len() {
		to, b := out.At(i)
		pass, more := r.Mutation.out(b)
		if pass {
			r.port.Send(to, b)
		}
		if more != nil {
			r.port.Send(to, more)
		}
	}
	out.Reset()
	r.node.ISUP().Outgoing(func(id isupfront.ConnID, b []byte) {
		if e := r.conns[id]; e != nil {
			e.Write(b)
		}
	}, func(id isupfront.ConnID) {
		if e := r.conns[id]; e != nil {
			e.Close()
		}
	})
	r.keep(now)
	r.node.ISUP().Alarms = r.node.ISUP().Alarms[:0]
	if at, ok := r.node.Next(); ok {
		r.w.queue.Set(&r.wake, max(r.at(at), r.w.now+1))
	} else {
		r.w.queue.Stop(&r.wake)
	}
}

// keep hands the core's records to the disk.
func (r *Router) keep(now time.Duration) {
	core := r.node.Core
	made := core.Records
	core.Records = nil
	if r.disk == nil || len(made) == 0 {
		return
	}
	items := make([]cdr.Item, 0, len(made))
	for i := range made {
		items = append(items, cdr.Item{Open: made[i].Kind == call.AnswerRecord, Record: r.set.CallRecord(&r.clock, r.ledger.ID(made[i].CallSeq), &made[i])})
	}
	items = r.Mutation.items(items)
	ticket := made[len(made)-1].RecordSeq
	r.disk.Commit(func(b cdr.WriteBatch) { r.ledger.Put(b, items) }, func() {
		if r.dead {
			return
		}
		now := r.now()
		r.node.MarkDurable(now, ticket)
		r.settle(now)
	})
}

// Do runs f on the router.
func (r *Router) Do(f func(n *node.Node, now time.Duration)) error {
	if r.dead {
		return ErrStopped
	}
	now := r.now()
	f(r.node, now)
	r.settle(now)
	return nil
}

// SetList tells the router the exchange list.
func (r *Router) SetList(l registry.List) {
	if r.dead {
		return
	}
	r.Mutation.list(&l)
	now := r.now()
	r.node.SetList(now, r.wall(), l)
	r.settle(now)
}

// Reload takes new settings over.
func (r *Router) Reload(next *config.Settings) error {
	if err := r.set.CheckReload(next); err != nil {
		return err
	}
	return r.Do(func(n *node.Node, now time.Duration) {
		n.Core.Reconfigure(now, next.Plan, next.GroupSizes, next.OwnCircuits(), next.Router.MaxCalls)
	})
}

// Kill ends the router without a word: its connections are reset, its disk loses what was on its way.
func (r *Router) Kill() error {
	if r.dead {
		return ErrStopped
	}
	r.stop()
	if r.disk != nil {
		r.disk.Crash()
	}
	return nil
}

// Stop ends the router when nothing stands any more: what its disk has to write comes to be.
func (r *Router) Stop() error {
	if r.dead {
		return ErrStopped
	}
	r.stop()
	return nil
}

func (r *Router) stop() {
	r.dead = true
	r.w.queue.Stop(&r.wake)
	r.port.Close()
	r.w.Listen(RouterAddr(r.x), nil)
	for id := isupfront.ConnID(1); id <= r.last; id++ { // in order: map order would differ from run to run
		if e := r.conns[id]; e != nil {
			e.OnClose = nil
			e.Close()
		}
	}
}

func (r *Router) accept(e *StreamEnd) { r.connected(e, -1, nil) }

// connected begins an association on a connection; gone is called when it has ended.
func (r *Router) connected(e *StreamEnd, exchange int, gone func()) {
	r.last++
	id := r.last
	r.conns[id] = e
	e.OnData = func(b []byte) {
		if r.dead {
			return
		}
		now := r.now()
		r.node.ISUP().Receive(now, id, b)
		r.node.Pump(now)
		r.settle(now)
	}
	e.OnClose = func() {
		if r.dead {
			return
		}
		delete(r.conns, id)
		now := r.now()
		r.node.ISUP().Disconnected(now, id)
		r.node.Pump(now)
		r.settle(now)
		if gone != nil {
			gone()
		}
	}
	now := r.now()
	r.node.ISUP().Connected(now, id, exchange)
	r.node.Pump(now)
	r.settle(now)
}

// associate makes an association, and makes it anew after a pause that doubles.
func (r *Router) associate(to int, pause time.Duration) {
	began := r.w.now
	again := func() {
		if r.w.now-began > steadyFor {
			pause = firstPause
		}
		wait := pause/2 + time.Duration(r.rng.Int64N(int64(pause)))
		r.w.After(wait, func() {
			if !r.dead {
				r.associate(to, min(2*pause, longestWait))
			}
		})
	}
	r.w.Dial(r.x, to, func(e *StreamEnd) {
		switch {
		case r.dead:
			if e != nil {
				e.Close()
			}
		case e == nil:
			again()
		default:
			r.connected(e, to, again)
		}
	})
}
