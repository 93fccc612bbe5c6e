// Package vnet is a deterministic simulation of a network on a virtual clock. It has datagram links and byte streams with
// faults, and disks that lose unsynced writes; routers and stand-ins run on them unchanged. One goroutine runs it, and all
// randomness comes from one seed: two runs are identical to the byte.
package vnet

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"pipitring/internal/capture"
	"pipitring/internal/iax2"
	"pipitring/internal/standin"
	"pipitring/internal/timers"
)

// Epoch is the wall-clock time at which every world starts.
var Epoch = time.Date(2026, 12, 1, 14, 0, 0, 0, time.UTC)

// localDelay is the delay between a router and the parties of its own exchange.
const localDelay = 100 * time.Microsecond

// World is a virtual network with its clock and event queue.
type World struct {
	now       time.Duration
	seed      uint64
	queue     timers.Queue[func()]
	ports     map[iax2.Addr]*Port
	links     map[[2]int]*Link
	listeners map[netip.AddrPort]func(*StreamEnd) // handlers of incoming connections
	trace     *xxhash.Digest                      // hash over all deliveries and their times
	tap       *capture.Writer                     // records the traffic of the routers; nil for none
	Steps     uint64                              // number of events processed
	scratch   [32]byte
}

// New returns an empty world. The seed determines all randomness. tap, unless nil, records the traffic of the routers.
func New(seed uint64, tap *capture.Writer) *World {
	return &World{seed: seed, ports: map[iax2.Addr]*Port{}, links: map[[2]int]*Link{}, listeners: map[netip.AddrPort]func(*StreamEnd){},
		trace: xxhash.New(), tap: tap}
}

// Rand returns a random number generator for the component with the given name. Each component has its own sequence, so
// that adding a component does not change the numbers of the others.
func (w *World) Rand(component string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(component))
	return rand.New(rand.NewPCG(w.seed, h.Sum64()))
}

// Now returns the time since the world's start.
func (w *World) Now() time.Duration { return w.now }

// Wall returns the world's wall-clock time.
func (w *World) Wall() time.Time { return Epoch.Add(w.now) }

// Trace returns a hash over all deliveries and their times.
func (w *World) Trace() uint64 { return w.trace.Sum64() }

// At schedules f at a time, after everything already scheduled for that time. A time in the past counts as now.
func (w *World) At(at time.Duration, f func()) {
	w.queue.Set(&timers.Entry[func()]{Value: f}, max(at, w.now))
}

// After schedules f after a delay.
func (w *World) After(d time.Duration, f func()) { w.At(w.now+d, f) }

// Step processes the next event due by until and reports whether there was one. If not, it advances the clock to until.
func (w *World) Step(until time.Duration) bool {
	e := w.queue.Due(until)
	if e == nil {
		w.now = max(w.now, until)
		return false
	}
	w.now = max(w.now, e.At())
	w.Steps++
	e.Value()
	return true
}

// Run processes all events due by until and advances the clock to it.
func (w *World) Run(until time.Duration) {
	for w.Step(until) {
	}
}

// traceDelivery adds a delivery to the trace hash; kind is 'd' for a datagram, 's' for a stream segment.
func (w *World) traceDelivery(kind byte, to iax2.Addr, b []byte) {
	header := w.scratch[:0]
	header = binary.BigEndian.AppendUint64(header, uint64(w.now))
	header = append(header, kind)
	header = append(header, to.IP[:]...)
	header = binary.BigEndian.AppendUint16(header, to.Port)
	header = binary.BigEndian.AppendUint32(header, uint32(len(b)))
	_, _ = w.trace.Write(header) // writing to a hash never fails
	_, _ = w.trace.Write(b)
}

// LinkFaults are the faults of a link between two exchanges.
type LinkFaults struct {
	standin.LinkFaults
	ReorderRate     float64       // share of datagrams that are delayed, 0 to 1
	MaxReorderDelay time.Duration // upper limit of that delay
	Blackhole       bool          // loses all datagrams, delays all stream data until it ends, and resets no stream
	Stall           bool          // streams deliver nothing until it ends; datagrams pass
}

// Link connects two exchanges and carries their datagrams and streams.
type Link struct {
	world   *World
	rng     *rand.Rand
	faults  LinkFaults
	streams []*stream
}

// Link returns the link between two exchanges, and creates it at the first use.
func (w *World) Link(a, b int) *Link {
	k := [2]int{min(a, b), max(a, b)}
	l := w.links[k]
	if l == nil {
		l = &Link{world: w, rng: w.Rand("link " + string(rune('0'+k[0])) + " " + string(rune('0'+k[1])))}
		w.links[k] = l
	}
	return l
}

// Set changes the faults that standin.LinkFaults has and leaves the others as they are. A cut resets the link's streams and
// prevents new ones.
func (l *Link) Set(f standin.LinkFaults) {
	faults := l.faults
	faults.LinkFaults = f
	l.SetFaults(faults)
}

// SetFaults replaces all faults of the link. A cut that begins resets the streams; segments that waited for the end of a
// stall or blackhole are sent.
func (l *Link) SetFaults(f LinkFaults) {
	before := l.faults
	l.faults = f
	for _, s := range append([]*stream(nil), l.streams...) {
		switch {
		case f.Cut && !before.Cut:
			s.reset()
		case (before.Stall || before.Blackhole) && !f.Stall && !f.Blackhole:
			s.flushStalled()
		}
	}
}

// Faults returns the current faults.
func (l *Link) Faults() LinkFaults { return l.faults }

// Close does nothing: links last as long as the world.
func (l *Link) Close() {}

// transmit delivers a datagram with the link's delay, or drops or duplicates it.
func (l *Link) transmit(deliver func()) {
	f := &l.faults
	copies := 1
	switch {
	case f.Cut, f.Blackhole, f.LossRate > 0 && l.rng.Float64() < f.LossRate:
		copies = 0
	case f.DuplicateRate > 0 && l.rng.Float64() < f.DuplicateRate:
		copies = 2
	}
	for range copies {
		l.world.After(l.drawDelay(), deliver)
	}
}

// drawDelay returns the random delay of one datagram or segment.
func (l *Link) drawDelay() time.Duration {
	f := &l.faults
	d := max(f.Delay, localDelay)
	if f.Jitter > 0 {
		d += time.Duration(l.rng.Int64N(int64(f.Jitter)))
	}
	if f.ReorderRate > 0 && l.rng.Float64() < f.ReorderRate && f.MaxReorderDelay > 0 {
		d += time.Duration(l.rng.Int64N(int64(f.MaxReorderDelay)))
	}
	return d
}

// partyAddr returns the address of a party of exchange x; kind is 0 for its router, 1 for its switch, 2 for its callers.
func partyAddr(x int, kind byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, kind, byte(x >> 8), byte(x)}), 4569)
}

// RouterAddr returns the address of an exchange's router, for IAX2 as well as M3UA.
func RouterAddr(x int) netip.AddrPort { return partyAddr(x, 0) }

// SwitchAddr returns the address of an exchange's switch.
func SwitchAddr(x int) netip.AddrPort { return partyAddr(x, 1) }

// CallersAddr returns the address of an exchange's callers.
func CallersAddr(x int) netip.AddrPort { return partyAddr(x, 2) }

// exchangeOf returns the exchange that an address belongs to.
func exchangeOf(a iax2.Addr) int { return int(a.IP[2])<<8 | int(a.IP[3]) }

// partyOf returns the party that an address belongs to.
func partyOf(a iax2.Addr) capture.Party {
	return capture.Party{Kind: [...]capture.Kind{capture.Router, capture.Switch, capture.Callers}[min(a.IP[1], 2)], Exchange: exchangeOf(a)}
}

// RecordsPackets returns true: the network itself records the packets of routers when they are sent.
func (w *World) RecordsPackets() bool { return true }

// isRouter reports whether an address is that of a router.
func isRouter(a iax2.Addr) bool { return a.IP[1] == 0 }

// Port is an open address on the network.
type Port struct {
	world   *World
	addr    iax2.Addr
	handler standin.PacketHandler
	wake    timers.Entry[func()]
	closed  bool
}

// ErrAddressInUse is returned for an address that is in use or is not an IPv4 address.
var ErrAddressInUse = errors.New("vnet: address is in use")

// Open opens an address; its datagrams and wake-ups go to handler.
func (w *World) Open(at netip.AddrPort, handler standin.PacketHandler) (standin.Port, error) {
	a, ok := iax2.AddrFrom(at)
	if !ok || w.ports[a] != nil {
		return nil, ErrAddressInUse
	}
	p := &Port{world: w, addr: a, handler: handler}
	p.wake.Value = func() {
		if !p.closed {
			p.handler.Due()
		}
	}
	w.ports[a] = p
	return p, nil
}

// Addr returns the port's address.
func (p *Port) Addr() netip.AddrPort { return p.addr.AddrPort() }

// Run does nothing: the world delivers the port's events.
func (p *Port) Run() {}

// Send sends a datagram. It is delivered if the destination address is open when it arrives.
func (p *Port) Send(to iax2.Addr, b []byte) {
	w := p.world
	datagram := append([]byte(nil), b...)
	deliver := func() {
		if q := w.ports[to]; q != nil {
			w.traceDelivery('d', to, datagram)
			q.handler.Receive(p.addr, datagram)
		}
	}
	from, dest := exchangeOf(p.addr), exchangeOf(to)
	if w.tap != nil && isRouter(p.addr) {
		w.tap.Datagram(w.Wall(), partyOf(p.addr), partyOf(to), datagram)
	}
	if !isRouter(p.addr) || !isRouter(to) || from == dest {
		w.After(localDelay, deliver)
		return
	}
	w.Link(from, dest).transmit(deliver)
}

// SetWake schedules a call of the handler's Due at a time, unless an earlier one is scheduled or wanted is false.
func (p *Port) SetWake(at time.Duration, wanted bool) {
	if wanted && (!p.wake.Running() || at < p.wake.At()) {
		p.world.queue.Set(&p.wake, max(at, p.world.now))
	}
}

// ClearWake cancels the scheduled call of Due.
func (p *Port) ClearWake() { p.world.queue.Stop(&p.wake) }

// Close closes the address; datagrams still in transit to it are lost.
func (p *Port) Close() {
	p.closed = true
	p.world.queue.Stop(&p.wake)
	if p.world.ports[p.addr] == p {
		delete(p.world.ports, p.addr)
	}
}
