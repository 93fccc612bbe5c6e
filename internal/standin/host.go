// Package standin simulates the environment of a router for tests: switches, callers, service discovery, and
// the links between routers. The simulations speak the real protocols, share no call-handling code with the
// router, and can inject faults.
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
	socketBufferBytes = 4 << 20 // of the read and write buffers of UDP sockets
	maxDatagramBytes  = 2048    // longest datagram that is received
)

// Host is a network address with an IAX2 endpoint.
type Host struct {
	mu           sync.Mutex
	net          Net
	port         Port
	ep           *iax2.Endpoint
	cfg          iax2.Config
	party        capture.Party
	router       capture.Party // the only peer
	tap          *capture.Writer
	timerQueue   timers.Queue[func()]
	onEvent      func(e iax2.Event)
	dropIncoming bool                            // received datagrams are discarded
	copies       func(frame []byte) (copies int) // how often to send an outgoing datagram; nil sends it once
	closing      bool
}

// newHost opens an address; tap may be nil.
func newHost(n Net, listen netip.AddrPort, party, router capture.Party, tap *capture.Writer, cfg iax2.Config,
	onEvent func(iax2.Event)) (*Host, error) {
	h := &Host{net: n, ep: iax2.NewEndpoint(cfg), cfg: cfg, party: party, router: router, tap: tap, onEvent: onEvent}
	var err error
	h.port, err = n.Open(listen, h)
	return h, err
}

// start starts receiving.
func (h *Host) start() { h.port.Run() }

// Addr returns the host's address.
func (h *Host) Addr() netip.AddrPort { return h.port.Addr() }

// Close closes the host's address and ends its goroutine.
func (h *Host) Close() {
	h.mu.Lock()
	h.closing = true
	h.mu.Unlock()
	h.port.Close()
}

func (h *Host) now() time.Duration { return h.net.Now() }

// Do calls f with the host's lock held and then processes the resulting events.
func (h *Host) Do(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.processEvents()
	h.port.ClearWake()
	h.port.SetWake(h.now(), true) // recompute the next deadline
}

// after calls f with the host's lock held, d from now.
func (h *Host) after(d time.Duration, f func()) {
	h.timerQueue.Set(&timers.Entry[func()]{Value: f}, h.now()+max(0, d))
}

// processEvents handles the endpoint's events and sends its datagrams.
func (h *Host) processEvents() {
	for i := 0; i < len(h.ep.Events); i++ {
		h.onEvent(h.ep.Events[i])
	}
	h.ep.Events = h.ep.Events[:0]
	h.ep.Flush(h.now())
	h.send()
}

// send sends the endpoint's datagrams and records them.
func (h *Host) send() {
	out := &h.ep.Out
	for i := range out.Len() {
		to, b := out.At(i)
		copies := 1
		if h.copies != nil {
			copies = h.copies(b)
		}
		for range copies {
			if h.tap != nil {
				h.tap.Datagram(h.net.Wall(), h.party, h.router, b)
			}
			h.port.Send(to, b)
		}
	}
	out.Reset()
}

// Receive processes a datagram.
func (h *Host) Receive(from iax2.Addr, b []byte) {
	at := h.net.Wall()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing {
		return
	}
	if h.tap != nil && !h.net.RecordsPackets() {
		h.tap.Datagram(at, h.router, h.party, b)
	}
	if !h.dropIncoming {
		h.ep.Receive(h.now(), from, b)
	}
	h.runDue()
}

// Due runs all timers that are due.
func (h *Host) Due() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing {
		return
	}
	h.port.ClearWake()
	h.runDue()
}

// runDue runs all timers that are due and sets the next wake-up.
func (h *Host) runDue() {
	for again := true; again; {
		now := h.now()
		for e := h.timerQueue.Due(now); e != nil; e = h.timerQueue.Due(now) {
			e.Value()
		}
		if at, ok := h.ep.Next(); ok && at <= now {
			h.ep.Advance(now)
		}
		h.processEvents()
		at, ok := h.timerQueue.Next() // set by an event handler for immediate execution
		again = ok && at <= now
	}
	next, ok := h.timerQueue.Next()
	if at, eok := h.ep.Next(); eok && (!ok || at < next) {
		next, ok = at, true
	}
	h.port.SetWake(next, ok)
}
