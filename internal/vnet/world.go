// Package vnet is a network on a clock of its own: datagram links and byte streams with faults, disks that lose what was
// not synced, and routers and stand-ins that run on them unchanged. One goroutine plays it, from one seed: two runs agree
// to the byte.
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

// Epoch is the time of day at which every world begins.
var Epoch = time.Date(2026, 12, 1, 14, 0, 0, 0, time.UTC)

// near is the delay between a router and the parties of its own exchange.
const near = 100 * time.Microsecond

// World is a virtual network and its clock.
type World struct {
	now   time.Duration
	seed  uint64
	queue timers.Queue[func()]
	ports map[iax2.Addr]*Port
	links map[[2]int]*Link
	ends  map[netip.AddrPort]func(*StreamEnd) // who takes connections
	trace *xxhash.Digest
	tap   *capture.Writer
	Steps uint64 // things that happened
	buf   [32]byte
}

// New returns an empty world; tap sees all that crosses it.
func New(seed uint64, tap *capture.Writer) *World {
	return &World{seed: seed, ports: map[iax2.Addr]*Port{}, links: map[[2]int]*Link{}, ends: map[netip.AddrPort]func(*StreamEnd){},
		trace: xxhash.New(), tap: tap}
}

// Rand returns the random numbers of one part: adding a part does not disturb the others' draws.
func (w *World) Rand(part string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(part))
	return rand.New(rand.NewPCG(w.seed, h.Sum64()))
}

// Now is the time since the world began.
func (w *World) Now() time.Duration { return w.now }

// Wall is the time of day.
func (w *World) Wall() time.Time { return Epoch.Add(w.now) }

// Trace is a hash over all that was delivered, and when.
func (w *World) Trace() uint64 { return w.trace.Sum64() }

// At does f at a time, after all that was to be done then before.
func (w *World) At(at time.Duration, f func()) {
	w.queue.Set(&timers.Entry[func()]{Value: f}, max(at, w.now))
}

// After does f later.
func (w *World) After(d time.Duration, f func()) { w.At(w.now+d, f) }

// Step does the next thing there is to do, up to a time; false if there is none.
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

// Run plays until a time.
func (w *World) Run(until time.Duration) {
	for w.Step(until) {
	}
}

// mark notes a delivery in the trace.
func (w *World) mark(kind byte, to iax2.Addr, b []byte) {
	n := w.buf[:0]
	n = binary.BigEndian.AppendUint64(n, uint64(w.now))
	n = append(n, kind)
	n = append(n, to.IP[:]...)
	n = binary.BigEndian.AppendUint16(n, to.Port)
	n = binary.BigEndian.AppendUint32(n, uint32(len(b)))
	_, _ = w.trace.Write(n) // a hash takes everything
	_, _ = w.trace.Write(b)
}

// LinkFaults are what a link between two exchanges does.
type LinkFaults struct {
	standin.LinkFaults
	ReorderRate     float64       // share of datagrams that are held up
	MaxReorderDelay time.Duration // by up to this
	Blackhole       bool          // nothing passes, and streams are not told
	Stall           bool          // streams hold what they carry until it is over
}

// Link is what lies between two exchanges, for datagrams and streams.
type Link struct {
	w       *World
	rng     *rand.Rand
	f       LinkFaults
	streams []*stream
}

// Link finds or makes the link between two exchanges.
func (w *World) Link(a, b int) *Link {
	k := [2]int{min(a, b), max(a, b)}
	l := w.links[k]
	if l == nil {
		l = &Link{w: w, rng: w.Rand("link " + string(rune('0'+k[0])) + " " + string(rune('0'+k[1])))}
		w.links[k] = l
	}
	return l
}

// Set changes what the link does to datagrams; a cut resets its streams and lets no others come up.
func (l *Link) Set(f standin.LinkFaults) {
	now := l.f
	now.LinkFaults = f
	l.SetFaults(now)
}

// SetFaults changes all that the link does.
func (l *Link) SetFaults(f LinkFaults) {
	was := l.f
	l.f = f
	for _, s := range append([]*stream(nil), l.streams...) {
		switch {
		case f.Cut && !was.Cut:
			s.reset()
		case (was.Stall || was.Blackhole) && !f.Stall && !f.Blackhole:
			s.flow()
		}
	}
}

// Faults are those in force.
func (l *Link) Faults() LinkFaults { return l.f }

// Close has nothing to do: the world goes as a whole.
func (l *Link) Close() {}

// pass delays, loses and repeats a datagram.
func (l *Link) pass(deliver func()) {
	f := &l.f
	copies := 1
	switch {
	case f.Cut, f.Blackhole, f.LossRate > 0 && l.rng.Float64() < f.LossRate:
		copies = 0
	case f.DuplicateRate > 0 && l.rng.Float64() < f.DuplicateRate:
		copies = 2
	}
	for range copies {
		l.w.After(l.delay(), deliver)
	}
}

func (l *Link) delay() time.Duration {
	f := &l.f
	d := max(f.Delay, near)
	if f.Jitter > 0 {
		d += time.Duration(l.rng.Int64N(int64(f.Jitter)))
	}
	if f.ReorderRate > 0 && l.rng.Float64() < f.ReorderRate && f.MaxReorderDelay > 0 {
		d += time.Duration(l.rng.Int64N(int64(f.MaxReorderDelay)))
	}
	return d
}

// Addresses of the parties of exchange x.
func addrOf(x int, kind byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, kind, byte(x >> 8), byte(x)}), 4569)
}

// RouterAddr is where the router of an exchange listens, for IAX2; M3UA has the same address.
func RouterAddr(x int) netip.AddrPort { return addrOf(x, 0) }

// SwitchAddr is where its switch does, CallersAddr its callers.
func SwitchAddr(x int) netip.AddrPort { return addrOf(x, 1) }

// CallersAddr is where the callers of an exchange are.
func CallersAddr(x int) netip.AddrPort { return addrOf(x, 2) }

// exchangeOf is the exchange that an address belongs to.
func exchangeOf(a iax2.Addr) int { return int(a.IP[2])<<8 | int(a.IP[3]) }

// party is whose address it is.
func party(a iax2.Addr) capture.Party {
	return capture.Party{Kind: [...]capture.Kind{capture.Router, capture.Switch, capture.Callers}[min(a.IP[1], 2)], Exchange: exchangeOf(a)}
}

// RecordsPackets tells that the network records what routers send, at the moment of sending.
func (w *World) RecordsPackets() bool { return true }

func isRouter(a iax2.Addr) bool { return a.IP[1] == 0 }

// Port is an address on the network.
type Port struct {
	w    *World
	addr iax2.Addr
	to   standin.PacketHandler
	wake timers.Entry[func()]
	gone bool
}

// ErrAddressInUse says that an address is in use.
var ErrAddressInUse = errors.New("vnet: the address is in use")

// Open takes an address.
func (w *World) Open(at netip.AddrPort, to standin.PacketHandler) (standin.Port, error) {
	a, ok := iax2.AddrFrom(at)
	if !ok || w.ports[a] != nil {
		return nil, ErrAddressInUse
	}
	p := &Port{w: w, addr: a, to: to}
	p.wake.Value = func() {
		if !p.gone {
			p.to.Due()
		}
	}
	w.ports[a] = p
	return p, nil
}

// Addr is the port's address.
func (p *Port) Addr() netip.AddrPort { return p.addr.AddrPort() }

// Run has nothing to do: the world runs.
func (p *Port) Run() {}

// Send sends a datagram: what it is sent to gets it, if it is there when it arrives.
func (p *Port) Send(to iax2.Addr, b []byte) {
	w := p.w
	held := append([]byte(nil), b...)
	deliver := func() {
		if q := w.ports[to]; q != nil {
			w.mark('d', to, held)
			q.to.Receive(p.addr, held)
		}
	}
	a, z := exchangeOf(p.addr), exchangeOf(to)
	if w.tap != nil && isRouter(p.addr) {
		w.tap.Datagram(w.Wall(), party(p.addr), party(to), held)
	}
	if !isRouter(p.addr) || !isRouter(to) || a == z {
		w.After(near, deliver)
		return
	}
	w.Link(a, z).pass(deliver)
}

// SetWake wants Due at a time; an earlier wish stays.
func (p *Port) SetWake(at time.Duration, any bool) {
	if any && (!p.wake.Running() || at < p.wake.At()) {
		p.w.queue.Set(&p.wake, max(at, p.w.now))
	}
}

// ClearWake forgets the earlier wish.
func (p *Port) ClearWake() { p.w.queue.Stop(&p.wake) }

// Close lets the address go: what is on its way to it is lost.
func (p *Port) Close() {
	p.gone = true
	p.w.queue.Stop(&p.wake)
	if p.w.ports[p.addr] == p {
		delete(p.w.ports, p.addr)
	}
}
