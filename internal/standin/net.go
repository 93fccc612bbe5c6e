package standin

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"pipitring/internal/iax2"
)

// Net is where hosts live: sockets and the system's clock, or a virtual network on a clock of its own.
type Net interface {
	Now() time.Duration // monotonic
	Wall() time.Time
	RecordsPackets() bool // the network records what routers send; else hosts record it as it comes
	// Open takes an address; r gets what comes to it and is told when it is due.
	Open(at netip.AddrPort, r PacketHandler) (Port, error)
}

// PacketHandler is what a Port brings datagrams to.
type PacketHandler interface {
	Receive(from iax2.Addr, b []byte)
	Due()
}

// Port is a host's way to the network. Wake and Woken are called under the host's lock.
type Port interface {
	Addr() netip.AddrPort
	Run()
	Send(to iax2.Addr, b []byte)
	SetWake(at time.Duration, any bool) // Due is wanted then, or never; an earlier wish stays
	ClearWake()                         // the earlier wish is done
	Close()
}

// Sockets is the network of the system, on loopback.
type Sockets struct{ start time.Time }

// NewSockets returns the system's network; its clock starts now.
func NewSockets() *Sockets { return &Sockets{time.Now()} }

// Now is the time since the start.
func (s *Sockets) Now() time.Duration { return time.Since(s.start) }

// Wall is the time of day.
func (s *Sockets) Wall() time.Time { return time.Now() }

// RecordsPackets tells that sockets record nothing by themselves.
func (s *Sockets) RecordsPackets() bool { return false }

// Open opens a UDP socket.
func (s *Sockets) Open(at netip.AddrPort, r PacketHandler) (Port, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketRoom) // what the system grants is enough
	_ = conn.SetWriteBuffer(socketRoom)
	return &socketPort{net: s, conn: conn, to: r, done: make(chan struct{})}, nil
}

// socketPort is a UDP socket with one goroutine.
type socketPort struct {
	net    *Sockets
	conn   *net.UDPConn
	to     PacketHandler
	wakeAt time.Duration // the read's deadline; 0 is none
	done   chan struct{}
}

func (p *socketPort) Addr() netip.AddrPort { return p.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func (p *socketPort) Run() { go p.loop() }

func (p *socketPort) Send(to iax2.Addr, b []byte) {
	_, _ = p.conn.WriteToUDPAddrPort(b, to.AddrPort()) // a full socket loses it, as a network would
}

func (p *socketPort) SetWake(at time.Duration, any bool) {
	switch {
	case any && (p.wakeAt == 0 || at < p.wakeAt):
		p.wakeAt = max(at, 1)
		_ = p.conn.SetReadDeadline(p.net.start.Add(at))
	case p.wakeAt == 0: // the deadline that is over would let no read through
		_ = p.conn.SetReadDeadline(time.Time{})
	}
}

func (p *socketPort) ClearWake() { p.wakeAt = 0 }

func (p *socketPort) Close() {
	p.conn.Close()
	<-p.done
}

func (p *socketPort) loop() {
	defer close(p.done)
	buf := make([]byte, maxDatagram)
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

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
