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

// Delays before an association is established again. They are the same as in the runtime.
const (
	firstReconnectDelay = 200 * time.Millisecond // delay after the first failure
	maxReconnectDelay   = 10 * time.Second       // upper limit of the doubled delay
	stableAfter         = 5 * time.Second        // an association that lasted longer resets the delay to firstReconnectDelay
)

// ErrStopped is returned for operations on a router that was stopped or killed.
var ErrStopped = errors.New("vnet: router is stopped")

// Router is a complete router on the virtual network. It runs the same node as the service, on the clock, socket,
// connections and disk of a World.
type Router struct {
	wallOffset time.Duration // offset of the router's wall clock from the world's
	world      *World
	exchange   int
	settings   *config.Settings
	node       *node.Node
	rng        *rand.Rand
	startedAt  time.Duration
	drift      float64 // relative drift of the router's monotonic clock; 0.01 runs 1 % fast
	port       standin.Port
	timer      timers.Entry[func()]
	conns      map[isupfront.ConnID]*StreamEnd
	lastConn   isupfront.ConnID
	disk       *Disk
	ledger     *cdr.Ledger
	clock      cdr.Clock
	stopped    bool
	Mutation   *Mutation // planted bug; nil for none
}

// RouterOptions are the properties of a router that are not part of its settings.
type RouterOptions struct {
	Disk        *Disk     // nil stores no records
	Incarnation int       // number of earlier starts
	Drift       float64   // relative drift of the router's clock from the world's; 0.01 runs 1 % fast
	Mutation    *Mutation // planted bug; nil for none
}

// Start starts the router of an exchange: it recovers the records on its disk, opens its address and connects its
// associations.
func (w *World) Start(exchange int, set *config.Settings, o RouterOptions) (*Router, error) {
	r := &Router{world: w, exchange: exchange, settings: set, startedAt: w.now, drift: o.Drift, conns: map[isupfront.ConnID]*StreamEnd{}, disk: o.Disk, Mutation: o.Mutation,
		rng: w.Rand(fmt.Sprintf("router %d life %d", exchange, o.Incarnation))}
	r.timer.Value = r.advance
	ns := set.NodeSettings(r.rng.Uint64(), r.rng.Uint64, func(number string) bool { return r.node.Core.HasRoute(number) })
	if r.disk != nil {
		ns.Core.DurableTimeout = set.Records.DurableTimeout
		if err := r.openRecords(); err != nil {
			return nil, err
		}
	}
	r.Mutation.applySettings(&ns)
	r.node = node.New(ns)
	var err error
	if r.port, err = w.Open(RouterAddr(exchange), r); err != nil {
		return nil, err
	}
	for _, g := range set.ISUPGroups() {
		if g.Front != config.FrontISUP {
			continue
		}
		w.Listen(RouterAddr(exchange), r.accept)
		if len(g.Connect) > 0 {
			r.associate(g.To, firstReconnectDelay)
		}
	}
	return r, nil
}

// openRecords starts a new incarnation of the record ledger and closes the calls that earlier incarnations left open.
func (r *Router) openRecords() error {
	var rater cdr.Rater
	if r.settings.Tariffs != nil {
		rater = r.settings.Tariffs
	}
	var err error
	if r.ledger, err = cdr.OpenLedger(r.disk, uint32(r.exchange), rater); err != nil {
		return err
	}
	if err = r.disk.CommitNow(func(b cdr.WriteBatch) error { r.ledger.StartIncarnation(b, r.wallTime()); return nil }); err != nil {
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
	r.heartbeat()
	return nil
}

// heartbeat writes the heartbeat of this incarnation to the ledger once a second, until the router stops.
func (r *Router) heartbeat() {
	if r.stopped {
		return
	}
	r.disk.Commit(func(b cdr.WriteBatch) { r.ledger.Heartbeat(b, r.wallTime()) }, func() {})
	r.world.After(time.Second, r.heartbeat)
}

// now returns the router's monotonic clock: the time since its start, with its drift.
func (r *Router) now() time.Duration {
	d := r.world.now - r.startedAt
	return d + time.Duration(r.drift*float64(d))
}

// wallTime returns the router's wall clock.
func (r *Router) wallTime() time.Time { return r.world.Wall().Add(r.wallOffset) }

// AdjustClock steps the router's wall clock by a duration, which may be negative.
func (r *Router) AdjustClock(by time.Duration) {
	r.wallOffset += by
	r.advance()
}

// worldTime returns the world's time at which the router's monotonic clock reaches t.
func (r *Router) worldTime(t time.Duration) time.Duration {
	d := time.Duration(float64(t) / (1 + r.drift))
	for d+time.Duration(r.drift*float64(d)) < t {
		d++
	}
	return r.startedAt + d
}

// Addr returns the address that the router listens on.
func (r *Router) Addr() netip.AddrPort { return RouterAddr(r.exchange) }

// Receive processes a datagram.
func (r *Router) Receive(from iax2.Addr, b []byte) {
	if r.stopped {
		return
	}
	now := r.now()
	r.clock.Observe(now, r.wallTime())
	r.node.Receive(now, from, b)
	r.processDue(now)
}

// Due processes all timers that are due.
func (r *Router) Due() { r.advance() }

func (r *Router) advance() {
	if r.stopped {
		return
	}
	now := r.now()
	r.clock.Observe(now, r.wallTime())
	r.processDue(now)
}

// processDue processes timers that are due, sends all output and sets the timer for the next due time, as the runtime does.
func (r *Router) processDue(now time.Duration) {
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
		pass, duplicate := r.Mutation.filterOutgoing(b)
		if pass {
			r.port.Send(to, b)
		}
		if duplicate != nil {
			r.port.Send(to, duplicate)
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
	r.storeRecords(now)
	r.node.ISUP().Alarms = r.node.ISUP().Alarms[:0]
	if at, ok := r.node.Next(); ok {
		r.world.queue.Set(&r.timer, max(r.worldTime(at), r.world.now+1))
	} else {
		r.world.queue.Stop(&r.timer)
	}
}

// storeRecords commits the core's new records to the disk and marks them durable when the commit completes.
func (r *Router) storeRecords(now time.Duration) {
	core := r.node.Core
	records := core.Records
	core.Records = nil
	if r.disk == nil || len(records) == 0 {
		return
	}
	items := make([]cdr.Item, 0, len(records))
	for i := range records {
		items = append(items, cdr.Item{Open: records[i].Kind == call.AnswerRecord, Record: r.settings.CallRecord(&r.clock, r.ledger.ID(records[i].CallSeq), &records[i])})
	}
	items = r.Mutation.applyItems(items)
	ticket := records[len(records)-1].RecordSeq
	r.disk.Commit(func(b cdr.WriteBatch) { r.ledger.Put(b, items) }, func() {
		if r.stopped {
			return
		}
		now := r.now()
		r.node.MarkDurable(now, ticket)
		r.processDue(now)
	})
}

// Do runs f on the router's node. It returns ErrStopped if the router was stopped.
func (r *Router) Do(f func(n *node.Node, now time.Duration)) error {
	if r.stopped {
		return ErrStopped
	}
	now := r.now()
	f(r.node, now)
	r.processDue(now)
	return nil
}

// SetList passes an exchange list to the router. It does nothing if the router was stopped.
func (r *Router) SetList(l registry.List) {
	if r.stopped {
		return
	}
	r.Mutation.applyList(&l)
	now := r.now()
	r.node.SetList(now, r.wallTime(), l)
	r.processDue(now)
}

// Reload applies new settings. It returns an error if they change what a reload cannot change.
func (r *Router) Reload(next *config.Settings) error {
	if err := r.settings.CheckReload(next); err != nil {
		return err
	}
	return r.Do(func(n *node.Node, now time.Duration) {
		n.Core.Reconfigure(now, next.Plan, next.GroupSizes, next.OwnCircuits(), next.Router.MaxCalls)
	})
}

// Kill stops the router abruptly: its connections are reset, and its disk loses the commits that are not yet durable.
// It returns ErrStopped if the router was stopped before.
func (r *Router) Kill() error {
	if r.stopped {
		return ErrStopped
	}
	r.stop()
	if r.disk != nil {
		r.disk.Crash()
	}
	return nil
}

// Stop stops a router whose calls have ended; pending commits of its disk still complete. It returns ErrStopped if the
// router was stopped before.
func (r *Router) Stop() error {
	if r.stopped {
		return ErrStopped
	}
	r.stop()
	return nil
}

func (r *Router) stop() {
	r.stopped = true
	r.world.queue.Stop(&r.timer)
	r.port.Close()
	r.world.Listen(RouterAddr(r.exchange), nil)
	for id := isupfront.ConnID(1); id <= r.lastConn; id++ { // in ascending order: the iteration order of a map differs between runs
		if e := r.conns[id]; e != nil {
			e.OnClose = nil
			e.Close()
		}
	}
}

func (r *Router) accept(e *StreamEnd) { r.addConnection(e, -1, nil) }

// addConnection starts an association on a connection; onClose, unless nil, is called when the connection has closed.
// exchange is the exchange that was dialled, -1 for an accepted connection.
func (r *Router) addConnection(e *StreamEnd, exchange int, onClose func()) {
	r.lastConn++
	id := r.lastConn
	r.conns[id] = e
	e.OnData = func(b []byte) {
		if r.stopped {
			return
		}
		now := r.now()
		r.node.ISUP().Receive(now, id, b)
		r.node.Pump(now)
		r.processDue(now)
	}
	e.OnClose = func() {
		if r.stopped {
			return
		}
		delete(r.conns, id)
		now := r.now()
		r.node.ISUP().Disconnected(now, id)
		r.node.Pump(now)
		r.processDue(now)
		if onClose != nil {
			onClose()
		}
	}
	now := r.now()
	r.node.ISUP().Connected(now, id, exchange)
	r.node.Pump(now)
	r.processDue(now)
}

// associate establishes an association with the router of an exchange. When this fails or the association ends, it tries
// again after a random time from half to one and a half times delay. The delay doubles with each attempt, up to
// maxReconnectDelay.
func (r *Router) associate(to int, delay time.Duration) {
	attemptAt := r.world.now
	reconnect := func() {
		if r.world.now-attemptAt > stableAfter {
			delay = firstReconnectDelay
		}
		wait := delay/2 + time.Duration(r.rng.Int64N(int64(delay)))
		r.world.After(wait, func() {
			if !r.stopped {
				r.associate(to, min(2*delay, maxReconnectDelay))
			}
		})
	}
	r.world.Dial(r.exchange, to, func(e *StreamEnd) {
		switch {
		case r.stopped:
			if e != nil {
				e.Close()
			}
		case e == nil:
			reconnect()
		default:
			r.addConnection(e, to, reconnect)
		}
	})
}
