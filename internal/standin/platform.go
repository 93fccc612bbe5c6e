package standin

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
)

// JSONPeer is one end of a connection that speaks the platform's JSON lines protocol.
type JSONPeer struct {
	conn net.Conn
	in   *bufio.Reader
}

// DialJSON connects to an address as a caller does.
func DialJSON(to netip.AddrPort) (*JSONPeer, error) {
	conn, err := net.Dial("tcp4", to.String())
	if err != nil {
		return nil, err
	}
	return NewJSONPeer(conn), nil
}

// NewJSONPeer uses an existing connection.
func NewJSONPeer(conn net.Conn) *JSONPeer {
	return &JSONPeer{conn, bufio.NewReaderSize(conn, jsonl.MaxLine+1)}
}

// Send writes text unchanged.
func (p *JSONPeer) Send(text string) error {
	_, err := p.conn.Write([]byte(text))
	return err
}

// Receive reads the next message.
func (p *JSONPeer) Receive() (jsonl.Message, error) {
	line, err := p.in.ReadSlice('\n')
	if err != nil {
		return jsonl.Message{}, err
	}
	return jsonl.Parse(line[:len(line)-1])
}

// Conn returns the underlying connection.
func (p *JSONPeer) Conn() net.Conn { return p.conn }

// Close closes the connection.
func (p *JSONPeer) Close() error { return p.conn.Close() }

// Reset closes the connection with a TCP reset, as the kernel does for a killed process.
func (p *JSONPeer) Reset() error {
	if tcp, ok := p.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if this fails, Close sends FIN instead
	}
	return p.conn.Close()
}

// PlatformSwitch simulates a switch of the platform. It reports its load on each connection and passes received
// messages to On.
type PlatformSwitch struct {
	// OnMessage is called for every message, one at a time over all connections.
	OnMessage func(p *JSONPeer, m jsonl.Message)
	// OnConnect, if set, is called for each new connection before anything is sent on it.
	OnConnect atomic.Pointer[func(p *JSONPeer)]

	listener net.Listener
	mu       sync.Mutex
	peers    map[*JSONPeer]bool
	done     sync.WaitGroup
}

// StartPlatformSwitch listens on an address; port 0 selects a free one.
func StartPlatformSwitch(at string, on func(p *JSONPeer, m jsonl.Message)) (*PlatformSwitch, error) {
	listener, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	s := &PlatformSwitch{OnMessage: on, listener: listener, peers: map[*JSONPeer]bool{}}
	s.done.Go(func() { acceptAll(listener, s.serve, &s.done) })
	return s, nil
}

// acceptAll serves each incoming connection in a goroutine until the listener is closed.
func acceptAll(listener net.Listener, serve func(net.Conn), done *sync.WaitGroup) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		done.Go(func() { serve(conn) })
	}
}

// serve reports the load on a connection and passes its messages to On until it ends.
func (s *PlatformSwitch) serve(conn net.Conn) {
	p := NewJSONPeer(conn)
	s.mu.Lock()
	s.peers[p] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.peers, p)
		s.mu.Unlock()
		conn.Close()
	}()
	if f := s.OnConnect.Load(); f != nil {
		(*f)(p)
	}
	if p.Send(`{"t":"gauge","f":{"load":"x0:100;x1:100"}}`+"\n") != nil {
		return
	}
	for {
		m, err := p.Receive()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.OnMessage(p, m)
		s.mu.Unlock()
	}
}

// Addr returns the address that the switch listens on.
func (s *PlatformSwitch) Addr() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Broadcast sends a line on every connection.
func (s *PlatformSwitch) Broadcast(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.peers {
		_ = p.Send(line) // a lost connection is detected by its reader
	}
}

// Reset resets every connection. The switch accepts new ones.
func (s *PlatformSwitch) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.peers {
		_ = p.Reset()
	}
}

// Kill stops listening and resets every connection, as if the process was killed.
func (s *PlatformSwitch) Kill() {
	_ = s.listener.Close()
	s.Reset()
	s.done.Wait()
}

// PlatformCoordinator simulates the coordinator: it sends numbered events to its clients.
type PlatformCoordinator struct {
	listener      net.Listener
	mu            sync.Mutex
	events        []coordinator.Event
	conns         map[net.Conn]bool
	requestedFrom []uint64
	done          sync.WaitGroup
}

// StartPlatformCoordinator listens on loopback, with no events.
func StartPlatformCoordinator() (*PlatformCoordinator, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &PlatformCoordinator{listener: listener, conns: map[net.Conn]bool{}}
	c.done.Go(func() { acceptAll(listener, c.serve, &c.done) })
	return c, nil
}

// serve sends a client the events after the index that it requested, and keeps the connection open for later ones.
func (c *PlatformCoordinator) serve(conn net.Conn) {
	defer conn.Close()
	var last [8]byte
	if _, err := conn.Read(last[:]); err != nil {
		return
	}
	c.mu.Lock()
	from := binary.BigEndian.Uint64(last[:])
	c.requestedFrom = append(c.requestedFrom, from)
	var b []byte
	for _, ev := range c.events {
		if ev.Index > from {
			b = coordinator.AppendFrame(b, ev)
		}
	}
	_, _ = conn.Write(coordinator.AppendHeartbeat(b, from)) // a lost connection is detected by the read below
	c.conns[conn] = true
	c.mu.Unlock()
	_, _ = conn.Read(last[:])
	c.mu.Lock()
	delete(c.conns, conn)
	c.mu.Unlock()
}

// Publish adds an event and sends it to all connected clients.
func (c *PlatformCoordinator) Publish(ev coordinator.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, ev)
	for conn := range c.conns {
		_, _ = conn.Write(coordinator.AppendFrame(nil, ev))
	}
}

// RequestedFrom returns the event numbers that clients asked to continue from, in order of connection.
func (c *PlatformCoordinator) RequestedFrom() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]uint64(nil), c.requestedFrom...)
}

// Addr returns the address that the coordinator listens on.
func (c *PlatformCoordinator) Addr() netip.AddrPort {
	return c.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Stop closes the listener and all connections.
func (c *PlatformCoordinator) Stop() {
	_ = c.listener.Close()
	c.mu.Lock()
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.done.Wait()
}

// PlatformConfig returns the configuration of a proxy of exchange 0 with switches at exchanges 1, 2 and so on.
func PlatformConfig(listen, coord netip.AddrPort, sockets int, switches ...netip.AddrPort) []byte {
	list := ""
	for i, a := range switches {
		if i > 0 {
			list += ","
		}
		list += fmt.Sprintf(`{"instanceId":"s-%08x","hostPort":"%v","zone":"a","cell":%d,"lifecycle":"Ready","startedAtMs":0}`, i+1, a, i+1)
	}
	return fmt.Appendf(nil, `{"name":"n0","listen":"%v","seed":"1","coordinator":"%v",
"limits":{"cores":1,"memory_mb":64,"sockets":%d},"known":{"index":1,"updates":[{"index":1,"endpoints":{"reset":true,"instances":[%s]}}]},
"settings":{"contract":{"coldFrom":0.3,"coldS":9,"fallMultiple":3},"peersTotal":3,"failureDomains":["a"],
"familyInfo":{"holdingS":[1],"widths":[1],"selfNo":0,"shape":"network","releaseGuardS":0.15,"resendS":0.125},
"limits":{"maxAttempts":5,"connectTimeoutS":0.5,"retryAfter":true,"maxRetryAfterS":2},"telemetry":{"fields":["idle","circuits"]},
"profiles":[{"name":"voice","aimS":4,"deadlineS":30,"value":1,"lateValue":0.25}]}}`, listen, coord, sockets, list)
}
