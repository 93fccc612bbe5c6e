package vnet

import (
	"net/netip"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/iax2"
	"pipitring/internal/m3ua"
)

// stream is a connection between the routers of two exchanges: bytes in order, in pieces of any size.
type stream struct {
	link *Link
	ends [2]*StreamEnd // who connected, and to whom
	gone bool
}

// StreamEnd is one end of a connection.
type StreamEnd struct {
	s       *stream
	who     int
	party   capture.Party
	addr    iax2.Addr
	OnData  func(b []byte)
	OnClose func()
	cut     m3ua.Stream
	arrive  time.Duration // when the last piece to the other end arrives
	waiting [][]byte      // of this end's, while the link stalls
}

// Listen lets the router of an exchange take connections, nil takes it back.
func (w *World) Listen(at netip.AddrPort, f func(*StreamEnd)) {
	if f == nil {
		delete(w.ends, at)
		return
	}
	w.ends[at] = f
}

// Dial connects the router of exchange a to that of b; up is called with its end, or with nil where nobody takes it.
func (w *World) Dial(a, b int, up func(*StreamEnd)) {
	l := w.Link(a, b)
	w.After(l.delay()+l.delay(), func() {
		take := w.ends[RouterAddr(b)]
		if take == nil || l.f.Cut || l.f.Blackhole {
			up(nil)
			return
		}
		s := &stream{link: l}
		for i, x := range [2]int{a, b} {
			from, _ := iax2.AddrFrom(RouterAddr(x))
			s.ends[i] = &StreamEnd{s: s, who: i, party: capture.Party{Kind: capture.Router, Exchange: x}, addr: from}
		}
		l.streams = append(l.streams, s)
		take(s.ends[1])
		if !s.gone {
			up(s.ends[0])
		}
	})
}

// Write sends bytes to the other end, in pieces as the link likes.
func (e *StreamEnd) Write(b []byte) {
	if e.s.gone {
		return
	}
	l := e.s.link
	w := l.w
	if w.tap != nil {
		other := e.s.ends[1-e.who].party
		// What is no M3UA shows at the other end.
		_ = e.cut.Feed(b, func(m []byte) error { w.tap.Message(w.Wall(), e.party, other, m); return nil })
	}
	held := append([]byte(nil), b...)
	for len(held) > 0 {
		n := len(held)
		if l.rng.IntN(2) == 0 {
			n = 1 + l.rng.IntN(n)
		}
		e.send(held[:n])
		held = held[n:]
	}
}

// send brings one piece over, after those before it.
func (e *StreamEnd) send(piece []byte) {
	l := e.s.link
	if l.f.Stall || l.f.Blackhole || // TCP goes on trying: what it carries comes late, and whole
		len(e.waiting) > 0 {
		e.waiting = append(e.waiting, piece)
		return
	}
	// What TCP has to send again comes a round trip later, and all behind it.
	d := l.delay()
	if l.f.LossRate > 0 && l.rng.Float64() < l.f.LossRate {
		d += 2*l.f.Delay + 200*time.Millisecond
	}
	e.arrive = max(e.arrive, l.w.now+d)
	other := e.s.ends[1-e.who]
	l.w.At(e.arrive, func() {
		if !e.s.gone && other.OnData != nil {
			l.w.mark('s', other.addr, piece)
			other.OnData(piece)
		}
	})
}

// flow sends what has waited for a stall to end.
func (s *stream) flow() {
	for _, e := range s.ends {
		held := e.waiting
		e.waiting = nil
		for _, piece := range held {
			e.send(piece)
		}
	}
}

// reset ends the connection for both ends.
func (s *stream) reset() {
	if s.gone {
		return
	}
	s.gone = true
	l := s.link
	for i, o := range l.streams {
		if o == s {
			l.streams = append(l.streams[:i], l.streams[i+1:]...)
			break
		}
	}
	for i, e := range s.ends {
		if l.w.tap != nil {
			l.w.tap.Reset(l.w.Wall(), e.party, s.ends[1-i].party)
		}
		if e.OnClose != nil {
			l.w.After(near, e.OnClose)
		}
	}
}

// Close ends the connection.
func (e *StreamEnd) Close() { e.s.reset() }
