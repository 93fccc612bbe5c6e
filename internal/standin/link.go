package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"pipitring/internal/capture"
)

// LinkFaults are what a link does to datagrams.
type LinkFaults struct {
	Delay         time.Duration
	Jitter        time.Duration // on top, evenly
	LossRate      float64
	DuplicateRate float64
	Cut           bool
}

// Link joins two routers by two sockets: what one sends to its end comes out of the other. Each router knows the
// other by the address of its own end, and the tap sees all that crosses.
type Link struct {
	ends [2]*linkEnd
	tap  *capture.Writer
	mu   sync.Mutex
	f    LinkFaults
	rng  *rand.Rand
	wg   sync.WaitGroup
	down bool
}

type linkEnd struct {
	conn   *net.UDPConn
	party  capture.Party
	router netip.AddrPort // where its router listens
}

// NewLink joins the routers of exchanges a and b that listen on the given addresses.
func NewLink(a, b int, aAddr, bAddr netip.AddrPort, seed uint64, tap *capture.Writer) (*Link, error) {
	l := &Link{tap: tap, rng: rand.New(rand.NewPCG(seed, uint64(a)<<16|uint64(b)))}
	for i, x := range []struct {
		n    int
		addr netip.AddrPort
	}{{a, aAddr}, {b, bAddr}} {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			if i == 1 {
				l.ends[0].conn.Close()
			}
			return nil, err
		}
		_ = conn.SetReadBuffer(socketRoom)
		l.ends[i] = &linkEnd{conn: conn, party: capture.Party{Kind: capture.Router, Exchange: x.n}, router: x.addr}
	}
	for i := range l.ends {
		l.wg.Go(func() { l.carry(l.ends[i], l.ends[1-i]) })
	}
	return l, nil
}

// Ends are the addresses by which a knows b, and b knows a.
func (l *Link) Ends() (atA, atB netip.AddrPort) {
	addr := func(e *linkEnd) netip.AddrPort { return e.conn.LocalAddr().(*net.UDPAddr).AddrPort() }
	return addr(l.ends[0]), addr(l.ends[1])
}

// Set changes what the link does.
func (l *Link) Set(f LinkFaults) {
	l.mu.Lock()
	l.f = f
	l.mu.Unlock()
}

// Close ends the link.
func (l *Link) Close() {
	l.mu.Lock()
	l.down = true
	l.mu.Unlock()
	for _, e := range l.ends {
		e.conn.Close()
	}
	l.wg.Wait()
}

func (l *Link) carry(from, to *linkEnd) {
	buf := make([]byte, maxDatagram)
	for {
		n, src, err := from.conn.ReadFromUDPAddrPort(buf)
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
		l.pass(to, buf[:n])
	}
}

func (l *Link) pass(to *linkEnd, b []byte) {
	l.mu.Lock()
	f := l.f
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
			_, _ = to.conn.WriteToUDPAddrPort(b, to.router)
			continue
		}
		held := append([]byte(nil), b...)
		time.AfterFunc(delays[i], func() {
			_, _ = to.conn.WriteToUDPAddrPort(held, to.router) // a link closed by then has lost it
		})
	}
}
