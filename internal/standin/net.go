package standin

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"pipitring/internal/iax2"
)

// Net is the network that hosts are on: system sockets with the system clock, or a virtual network with its own
// clock.
type Net interface {
	Now() time.Duration // monotonic time
	Wall() time.Time
	RecordsPackets() bool // whether the network records what routers send; otherwise hosts record it on receipt
	// Open opens an address. Received datagrams and due wake-ups are passed to r.
	Open(at netip.AddrPort, r PacketHandler) (Port, error)
}

// PacketHandler handles the datagrams and wake-ups of a Port.
type PacketHandler interface {
	Receive(from iax2.Addr, b []byte)
	Due()
}

// Port is a host's connection to the network. SetWake and ClearWake are called with the host's lock held.
type Port interface {
	Addr() netip.AddrPort
	Run()
	Send(to iax2.Addr, b []byte)
	SetWake(at time.Duration, ok bool) // if ok, schedules Due unless an earlier wake-up is set
	ClearWake()                        // clears the wake-up
	Close()
}

// Sockets is the system's network, with UDP sockets on loopback.
type Sockets struct{ start time.Time }

// NewSockets returns the system's network. Its clock starts at 0.
func NewSockets() *Sockets { return &Sockets{time.Now()} }

// Now returns the time since NewSockets.
func (s *Sockets) Now() time.Duration { return time.Since(s.start) }

// Wall returns the time of day.
func (s *Sockets) Wall() time.Time { return time.Now() }

// RecordsPackets returns false: sockets do not record packets.
func (s *Sockets) RecordsPackets() bool { return false }

// Open opens a UDP socket.
func (s *Sockets) Open(at netip.AddrPort, r PacketHandler) (Port, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBufferBytes) // a smaller buffer is acceptable
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return &socketPort{net: s, conn: conn, to: r, done: make(chan struct{})}, nil
}

// socketPort is a UDP socket with one goroutine.
type socketPort struct {
	net    *Sockets
	conn   *net.UDPConn
	to     PacketHandler
	wakeAt time.Duration // deadline of the read; 0 if none
	done   chan struct{}
}

func (p *socketPort) Addr() netip.AddrPort { return p.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func (p *socketPort) Run() { go p.loop() }

func (p *socketPort) Send(to iax2.Addr, b []byte) {
	_, _ = p.conn.WriteToUDPAddrPort(b, to.AddrPort()) // dropped if the socket buffer is full, as a network would
}

func (p *socketPort) SetWake(at time.Duration, ok bool) {
	switch {
	case ok && (p.wakeAt == 0 || at < p.wakeAt):
		p.wakeAt = max(at, 1)
		_ = p.conn.SetReadDeadline(p.net.start.Add(at))
	case p.wakeAt == 0: // an expired deadline would fail all further reads
		_ = p.conn.SetReadDeadline(time.Time{})
	}
}

func (p *socketPort) ClearWake() { p.wakeAt = 0 }

func (p *socketPort) Close() {
	p.conn.Close()
	<-p.done
}

// loop passes datagrams and expired deadlines to the handler until the socket is closed.
func (p *socketPort) loop() {
	defer close(p.done)
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			if a, ok := iax2.AddrFrom(from); ok {
				p.to.Receive(a, buf[:n])
			}
		case isTimeout(err):
			p.to.Due()
		default:
			return
		}
	}
}

// isTimeout reports whether an error is the expiry of a deadline.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
