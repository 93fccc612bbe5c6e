package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/m3ua"
)

// StreamLink relays the M3UA connection of two routers: one connects to its address, and it connects to the
// other. It forwards the bytes of one read in two pieces, since a TCP stream does not preserve message
// boundaries.
type StreamLink struct {
	ln      *net.TCPListener
	parties [2]capture.Party // the connecting and the listening router
	target  netip.AddrPort
	tap     *capture.Writer
	mu      sync.Mutex
	rng     *rand.Rand
	faults  LinkFaults
	conns   map[net.Conn]bool
	closing bool
	wg      sync.WaitGroup
}

// NewStreamLink listens for the router of exchange a and connects to the router of exchange b at target.
func NewStreamLink(a, b int, target netip.AddrPort, seed uint64, tap *capture.Writer) (*StreamLink, error) {
	ln, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return nil, err
	}
	l := &StreamLink{ln: ln, target: target, tap: tap, conns: map[net.Conn]bool{},
		rng:     rand.New(rand.NewPCG(seed, uint64(a)<<32|uint64(b))),
		parties: [2]capture.Party{{Kind: capture.Router, Exchange: a}, {Kind: capture.Router, Exchange: b}}}
	l.wg.Go(l.accept)
	return l, nil
}

// Addr returns the address that the link listens on.
func (l *StreamLink) Addr() netip.AddrPort { return l.ln.Addr().(*net.TCPAddr).AddrPort() }

// Set sets the injected faults. Cut resets all connections and rejects new ones. Loss has no effect, since TCP
// would repair it.
func (l *StreamLink) Set(f LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	if f.Cut {
		for c := range l.conns {
			reset(c)
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // sends RST instead of FIN
	}
	c.Close()
}

// Close closes the listener and all connections.
func (l *StreamLink) Close() {
	l.mu.Lock()
	l.closing = true
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.ln.Close()
	l.wg.Wait()
}

// track registers a connection for Set and Close. It resets the connection and returns false if the link is cut
// or closing.
func (l *StreamLink) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing || l.faults.Cut {
		reset(c)
		return false
	}
	l.conns[c] = true
	return true
}

// untrack closes a connection and forgets it.
func (l *StreamLink) untrack(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	c.Close()
}

// accept relays each incoming connection until Close.
func (l *StreamLink) accept() {
	for {
		from, err := l.ln.Accept()
		if err != nil {
			return
		}
		if !l.track(from) {
			continue
		}
		l.wg.Go(func() {
			defer l.untrack(from)
			to, err := net.DialTimeout("tcp4", l.target.String(), time.Second)
			if err != nil || !l.track(to) {
				return
			}
			defer l.untrack(to)
			var both sync.WaitGroup
			both.Go(func() { l.relay(from, to, 0); reset(to) })
			both.Go(func() { l.relay(to, from, 1); reset(from) })
			both.Wait()
		})
	}
}

// relay forwards one direction until either end is closed; sender is the index of the sending end.
func (l *StreamLink) relay(from, to net.Conn, sender int) {
	var splitter m3ua.Stream
	buf := make([]byte, 16<<10)
	seq := uint32(0)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if l.tap != nil {
				l.tap.Reset(time.Now(), l.parties[sender], l.parties[1-sender])
			}
			return
		}
		if l.tap != nil {
			at, a, b := time.Now(), l.parties[sender], l.parties[1-sender]
			l.tap.Segment(at, a, b, seq, buf[:n])
			// Bytes that are not M3UA are recorded only in the segment.
			_ = splitter.Feed(buf[:n], func(m []byte) error { l.tap.Message(at, a, b, m); return nil })
		}
		seq += uint32(n)
		if !l.forward(to, buf[:n]) {
			return
		}
	}
}

// forward writes bytes in two pieces, after the link's delay. It returns false if the connection is lost.
func (l *StreamLink) forward(to net.Conn, b []byte) bool {
	l.mu.Lock()
	delay := l.faults.Delay
	first := 1 + l.rng.IntN(len(b))
	l.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for _, piece := range [][]byte{b[:first], b[first:]} {
		if len(piece) == 0 {
			continue
		}
		if _, err := to.Write(piece); err != nil {
			return false
		}
	}
	return true
}
