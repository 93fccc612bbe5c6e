package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"pipitring/internal/capture"
)

// LinkFaults are the faults that a link injects.
type LinkFaults struct {
	Delay         time.Duration
	Jitter        time.Duration // added to Delay, uniformly distributed
	LossRate      float64       // share of datagrams lost
	DuplicateRate float64       // share of datagrams sent twice
	Cut           bool          // nothing is forwarded
}

// Link relays datagrams between two routers over one socket per router. Each router knows the other by the
// address of its own socket, and the tap records all datagrams.
type Link struct {
	ends    [2]*linkEnd
	tap     *capture.Writer
	mu      sync.Mutex
	faults  LinkFaults
	rng     *rand.Rand
	wg      sync.WaitGroup
	closing bool
}

// linkEnd is the socket toward one of the routers.
type linkEnd struct {
	socket *net.UDPConn
	party  capture.Party
	router netip.AddrPort // address that the router listens on
}

// NewLink joins the routers of exchanges a and b, which listen on aAddr and bAddr.
func NewLink(a, b int, aAddr, bAddr netip.AddrPort, seed uint64, tap *capture.Writer) (*Link, error) {
	l := &Link{tap: tap, rng: rand.New(rand.NewPCG(seed, uint64(a)<<16|uint64(b)))}
	for i, x := range []struct {
		n    int
		addr netip.AddrPort
	}{{a, aAddr}, {b, bAddr}} {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			if i == 1 {
				l.ends[0].socket.Close()
			}
			return nil, err
		}
		_ = conn.SetReadBuffer(socketBufferBytes)
		l.ends[i] = &linkEnd{socket: conn, party: capture.Party{Kind: capture.Router, Exchange: x.n}, router: x.addr}
	}
	for i := range l.ends {
		l.wg.Go(func() { l.relay(l.ends[i], l.ends[1-i]) })
	}
	return l, nil
}

// Ends returns the address by which a knows b, and the one by which b knows a.
func (l *Link) Ends() (atA, atB netip.AddrPort) {
	addr := func(e *linkEnd) netip.AddrPort { return e.socket.LocalAddr().(*net.UDPAddr).AddrPort() }
	return addr(l.ends[0]), addr(l.ends[1])
}

// Set sets the injected faults.
func (l *Link) Set(f LinkFaults) {
	l.mu.Lock()
	l.faults = f
	l.mu.Unlock()
}

// Close closes both sockets and ends the relaying.
func (l *Link) Close() {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	for _, e := range l.ends {
		e.socket.Close()
	}
	l.wg.Wait()
}

// relay forwards datagrams in one direction until the link is closed.
func (l *Link) relay(from, to *linkEnd) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, src, err := from.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if src != from.router {
			continue
		}
		at := time.Now()
		if l.tap != nil {
			l.tap.Datagram(at, from.party, to.party, buf[:n])
		}
		l.forward(to, buf[:n])
	}
}

// forward sends a datagram with the injected faults.
func (l *Link) forward(to *linkEnd, b []byte) {
	l.mu.Lock()
	f := l.faults
	copies := 1
	switch {
	case f.Cut || f.LossRate > 0 && l.rng.Float64() < f.LossRate:
		copies = 0
	case f.DuplicateRate > 0 && l.rng.Float64() < f.DuplicateRate:
		copies = 2
	}
	var delays [2]time.Duration
	for i := range copies {
		delays[i] = f.Delay
		if f.Jitter > 0 {
			delays[i] += time.Duration(l.rng.Int64N(int64(f.Jitter)))
		}
	}
	l.mu.Unlock()
	for i := range copies {
		if delays[i] == 0 {
			_, _ = to.socket.WriteToUDPAddrPort(b, to.router)
			continue
		}
		copied := append([]byte(nil), b...)
		time.AfterFunc(delays[i], func() {
			_, _ = to.socket.WriteToUDPAddrPort(copied, to.router) // lost if the link has been closed by then
		})
	}
}
