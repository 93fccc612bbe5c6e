// Package standin holds what a router meets: switches, callers, a register, and the links between routers. They
// speak the protocols, share none of the router's call code, and can be scripted to misbehave.
package standin

import (
	"net/netip"
	"sync"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/iax2"
	"pipitring/internal/timers"
)

const (
	socketRoom  = 4 << 20
	maxDatagram = 2048
)

// Host is an address with an IAX2 endpoint.
type Host struct {
	mu      sync.Mutex
	net     Net
	port    Port
	ep      *iax2.Endpoint
	cfg     iax2.Config
	me      capture.Party
	router  capture.Party // the only one that it speaks with
	tap     *capture.Writer
	queue   timers.Queue[func()]
	on      func(e iax2.Event)
	deaf    bool                            // takes datagrams off the socket and nothing else
	filter  func(frame []byte) (copies int) // of outgoing datagrams; nil sends each once
	closing bool
}

// newHost takes an address; tap may be nil.
func newHost(n Net, listen netip.AddrPort, me, router capture.Party, tap *capture.Writer, cfg iax2.Config, on func(iax2.Event)) (*Host, error) {
	h := &Host{net: n, ep: iax2.NewEndpoint(cfg), cfg: cfg, me: me, router: router, tap: tap, on: on}
	var err error
	h.port, err = n.Open(listen, h)
	return h, err
}

// run lets the host hear.
func (h *Host) run() { h.port.Run() }

// Addr is the host's address.
func (h *Host) Addr() netip.AddrPort { return h.port.Addr() }

// Close ends the host.
func (h *Host) Close() {
	h.mu.Lock()
	h.closing = true
	h.mu.Unlock()
	h.port.Close()
}

func (h *Host) now() time.Duration { return h.net.Now() }

// Do runs f on the host's state.
func (h *Host) Do(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.settle()
	h.port.ClearWake()
	h.port.SetWake(h.now(), true) // timers are looked at again
}

// after runs f on the host's state later.
func (h *Host) after(d time.Duration, f func()) {
	h.queue.Set(&timers.Entry[func()]{Value: f}, h.now()+max(0, d))
}

// settle handles events and sends until all is quiet.
func (h *Host) settle() {
	for i := 0; i < len(h.ep.Events); i++ {
		h.on(h.ep.Events[i])
	}
	h.ep.Events = h.ep.Events[:0]
	h.ep.Flush(h.now())
	h.send()
}

func (h *Host) send() {
	out := &h.ep.Out
	for i := range out.Len() {
		to, b := out.At(i)
		copies := 1
		if h.filter != nil {
			copies = h.filter(b)
		}
		for range copies {
			if h.tap != nil {
				h.tap.Datagram(h.net.Wall(), h.me, h.router, b)
			}
			h.port.Send(to, b)
		}
	}
	out.Reset()
}

// Receive takes a datagram.
func (h *Host) Receive(from iax2.Addr, b []byte) {
	at := h.net.Wall()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing {
		return
	}
	if h.tap != nil && !h.net.RecordsPackets() {
		h.tap.Datagram(at, h.router, h.me, b)
	}
	if !h.deaf {
		h.ep.Receive(h.now(), from, b)
	}
	h.work()
}

// Due does what is due.
func (h *Host) Due() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing {
		return
	}
	h.port.ClearWake()
	h.work()
}

// work does what is due and tells the port when there will be more.
func (h *Host) work() {
	for again := true; again; {
		now := h.now()
		for e := h.queue.Due(now); e != nil; e = h.queue.Due(now) {
			e.Value()
		}
		if at, ok := h.ep.Next(); ok && at <= now {
			h.ep.Advance(now)
		}
		h.settle()
		at, ok := h.queue.Next() // what an event has asked for at once
		again = ok && at <= now
	}
	next, ok := h.queue.Next()
	if at, eok := h.ep.Next(); eok && (!ok || at < next) {
		next, ok = at, true
	}
	h.port.SetWake(next, ok)
}
