package vnet

import (
	"net/netip"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/iax2"
	"pipitring/internal/m3ua"
)

// stream is a byte-stream connection between the routers of two exchanges. It delivers bytes in order, in segments of
// any size.
type stream struct {
	link   *Link
	ends   [2]*StreamEnd // the dialling end and the accepting end
	closed bool
}

// StreamEnd is one end of a stream connection.
type StreamEnd struct {
	stream      *stream
	index       int
	party       capture.Party
	addr        iax2.Addr
	OnData      func(b []byte) // gets the bytes that arrive, in segments of any size; nil discards them
	OnClose     func()         // called once when the connection has closed; may be nil
	framer      m3ua.Stream
	lastArrival time.Duration // arrival time of the last segment sent to the other end
	stalled     [][]byte      // segments sent by this end that wait until a stall or blackhole of the link ends
}

// Listen sets the handler of connections to an address; nil removes it.
func (w *World) Listen(at netip.AddrPort, f func(*StreamEnd)) {
	if f == nil {
		delete(w.listeners, at)
		return
	}
	w.listeners[at] = f
}

// Dial connects the router of exchange a to that of exchange b after a round trip. It calls onResult with the dialling
// end, or with nil if the link is down or nothing listens.
func (w *World) Dial(a, b int, onResult func(*StreamEnd)) {
	l := w.Link(a, b)
	w.After(l.drawDelay()+l.drawDelay(), func() {
		accept := w.listeners[RouterAddr(b)]
		if accept == nil || l.faults.Cut || l.faults.Blackhole {
			onResult(nil)
			return
		}
		s := &stream{link: l}
		for i, x := range [2]int{a, b} {
			from, _ := iax2.AddrFrom(RouterAddr(x))
			s.ends[i] = &StreamEnd{stream: s, index: i, party: capture.Party{Kind: capture.Router, Exchange: x}, addr: from}
		}
		l.streams = append(l.streams, s)
		accept(s.ends[1])
		if !s.closed {
			onResult(s.ends[0])
		}
	})
}

// Write sends bytes to the other end, in segments of random size.
func (e *StreamEnd) Write(b []byte) {
	if e.stream.closed {
		return
	}
	l := e.stream.link
	w := l.world
	if w.tap != nil {
		other := e.stream.ends[1-e.index].party
		// Data that is not M3UA is reported by the receiver.
		_ = e.framer.Feed(b, func(m []byte) error { w.tap.Message(w.Wall(), e.party, other, m); return nil })
	}
	rest := append([]byte(nil), b...)
	for len(rest) > 0 {
		n := len(rest)
		if l.rng.IntN(2) == 0 {
			n = 1 + l.rng.IntN(n)
		}
		e.sendSegment(rest[:n])
		rest = rest[n:]
	}
}

// sendSegment delivers one segment to the other end, after the earlier ones.
func (e *StreamEnd) sendSegment(segment []byte) {
	l := e.stream.link
	if l.faults.Stall || l.faults.Blackhole || // TCP keeps retransmitting: data arrives late but complete
		len(e.stalled) > 0 {
		e.stalled = append(e.stalled, segment)
		return
	}
	// A segment that TCP retransmits arrives a round trip and a timeout later, and delays all that follow.
	d := l.drawDelay()
	if l.faults.LossRate > 0 && l.rng.Float64() < l.faults.LossRate {
		d += 2*l.faults.Delay + 200*time.Millisecond
	}
	e.lastArrival = max(e.lastArrival, l.world.now+d)
	other := e.stream.ends[1-e.index]
	l.world.At(e.lastArrival, func() {
		if !e.stream.closed && other.OnData != nil {
			l.world.traceDelivery('s', other.addr, segment)
			other.OnData(segment)
		}
	})
}

// flushStalled sends the segments that waited for the end of a stall or blackhole.
func (s *stream) flushStalled() {
	for _, e := range s.ends {
		segments := e.stalled
		e.stalled = nil
		for _, segment := range segments {
			e.sendSegment(segment)
		}
	}
}

// reset closes the connection; both ends are notified after the local delay.
func (s *stream) reset() {
	if s.closed {
		return
	}
	s.closed = true
	l := s.link
	for i, o := range l.streams {
		if o == s {
			l.streams = append(l.streams[:i], l.streams[i+1:]...)
			break
		}
	}
	for i, e := range s.ends {
		if l.world.tap != nil {
			l.world.tap.Reset(l.world.Wall(), e.party, s.ends[1-i].party)
		}
		if e.OnClose != nil {
			l.world.After(localDelay, e.OnClose)
		}
	}
}

// Close closes the connection; OnClose of both ends is called after the local delay.
func (e *StreamEnd) Close() { e.stream.reset() }
