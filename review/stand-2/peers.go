//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// standing is a call that stands, or stood, at a switch.
type standing struct {
	ref      string
	conn     *lineConn // of its set-up
	endedAt  time.Duration
	ended    bool
	cut      bool // the switch's process or machine ended
	released bool // the proxy released it
}

// switchPeer is a switch. It answers each set-up after a short time, keeps the call for its holding time and then
// releases it: on the connection of its set-up or any open one, and also on the next one that is opened.
type switchPeer struct {
	w        *world
	id       uint32
	addr     string
	listener net.Listener
	circuits int
	answerIn time.Duration
	holds    func(ref string) time.Duration
	onSetUp  func(c *lineConn, m *message) bool // true if it has dealt with the set-up

	mu       sync.Mutex
	conns    []*lineConn
	used     *lineConn // on which the last set-up came
	calls    map[string]*standing
	setUps   []time.Duration // when the set-ups came
	repeats  []message       // releases to be sent on the next connection too
	vanished bool
	fillers  []net.Conn
}

// listenShort listens on a loopback address with the shortest queue of connections.
func listenShort(addr string) (net.Listener, error) {
	to, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	sa := &syscall.SockaddrInet4{Port: to.Port}
	copy(sa.Addr[:], to.IP.To4())
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, sa); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 1); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

func (w *world) startSwitch(id uint32, addr string, hold time.Duration) *switchPeer {
	l, err := listenShort(addr)
	if err != nil {
		w.cannotRun("switch at %s: %v", addr, err)
	}
	s := &switchPeer{w: w, id: id, addr: l.Addr().String(), listener: l, circuits: 150, answerIn: 10 * time.Millisecond,
		holds: func(string) time.Duration { return hold }, calls: map[string]*standing{}}
	w.onEnd(s.kill)
	go s.acceptAll(l)
	return s
}

func (s *switchPeer) acceptAll(l net.Listener) {
	for {
		s.mu.Lock()
		vanished := s.vanished
		s.mu.Unlock()
		if vanished {
			return
		}
		_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Millisecond))
		conn, err := l.Accept()
		if err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				continue
			}
			return
		}
		go s.serve(&lineConn{Conn: conn})
	}
}

func (s *switchPeer) report() message {
	used := 0
	for _, k := range s.calls {
		if !k.ended {
			used++
		}
	}
	return message{T: "gauge", F: map[string]any{"load": fmt.Sprintf("x0:%d;x1:%d", s.circuits-used, s.circuits)}}
}

// broadcast sends the state of the group on the open connections. The lock is held.
func (s *switchPeer) broadcast() {
	for _, c := range s.conns {
		_ = c.send(s.report())
	}
}

func (s *switchPeer) serve(c *lineConn) {
	s.mu.Lock()
	s.conns = append(s.conns, c)
	s.w.note("switch s-%08x: connection %d came up, %d open", s.id, port(c), len(s.conns))
	_ = c.send(s.report())
	for _, m := range s.repeats {
		_ = c.send(m)
	}
	s.repeats = nil
	s.mu.Unlock()
	in := bufio.NewReaderSize(c, 32<<10)
	for {
		text, err := in.ReadBytes('\n')
		s.mu.Lock()
		if s.vanished {
			s.mu.Unlock()
			return
		}
		if err != nil {
			for i, o := range s.conns {
				if o == c {
					s.conns = append(s.conns[:i], s.conns[i+1:]...)
					break
				}
			}
			s.w.note("switch s-%08x: connection %d ended, %d open", s.id, port(c), len(s.conns))
			s.mu.Unlock()
			c.Close()
			return
		}
		var m message
		if json.Unmarshal(text, &m) == nil {
			s.handle(c, &m)
		}
		s.mu.Unlock()
	}
}

func port(c *lineConn) int { return c.RemoteAddr().(*net.TCPAddr).Port }

// handle handles a message. The lock is held.
func (s *switchPeer) handle(c *lineConn, m *message) {
	s.w.note("switch s-%08x: got %v on %d", s.id, m, port(c))
	switch m.T {
	case "new":
		s.setUps = append(s.setUps, s.w.at())
		s.used = c
		if s.onSetUp != nil && s.onSetUp(c, m) {
			return
		}
		k := &standing{ref: m.Ref, conn: c}
		s.calls[m.Ref] = k
		time.AfterFunc(s.answerIn, func() { s.answer(k) })
	case "down":
		if k := s.calls[m.Ref]; k != nil && !k.ended {
			k.ended, k.released, k.endedAt = true, true, s.w.at()
			s.broadcast()
		}
	case "hb":
		_ = c.send(message{T: "hb_ok", Ref: m.Ref, C: cause(1)})
	}
}

func (s *switchPeer) answer(k *standing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vanished || k.ended {
		return
	}
	_ = k.conn.send(message{T: "up", Ref: k.ref, D: fmt.Sprintf("call %s at s-%08x", k.ref, s.id)})
	s.w.note("switch s-%08x: answered %s", s.id, k.ref)
	s.broadcast()
	time.AfterFunc(s.holds(k.ref), func() { s.release(k) })
}

// release ends a call that stands.
func (s *switchPeer) release(k *standing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vanished || k.ended {
		return
	}
	k.ended, k.endedAt = true, s.w.at()
	m := message{T: "down", Ref: k.ref, C: cause(16)}
	on := k.conn
	open := false
	for _, c := range s.conns {
		open = open || c == on
	}
	if !open && len(s.conns) > 0 {
		on = s.conns[0]
	}
	if len(s.conns) > 0 {
		_ = on.send(m)
	}
	s.repeats = append(s.repeats, m)
	s.w.note("switch s-%08x: released %s, connections open: %d", s.id, k.ref, len(s.conns))
	s.broadcast()
}

// resetUsed resets the connection on which the last set-up came.
func (s *switchPeer) resetUsed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.conns {
		if c == s.used {
			s.conns = append(s.conns[:i], s.conns[i+1:]...)
			s.w.note("switch s-%08x: resets connection %d", s.id, port(c))
			c.reset()
			return
		}
	}
	s.w.note("switch s-%08x: no connection to reset", s.id)
}

// vanish lets the switch's machine vanish: its calls are over, open connections stay open and silent, and new ones
// never come up, because the listener's queue is full.
func (s *switchPeer) vanish() {
	s.mu.Lock()
	s.vanished = true
	n := 0
	for _, k := range s.calls {
		if !k.ended {
			k.ended, k.cut, k.endedAt = true, true, s.w.at()
			n++
		}
	}
	s.mu.Unlock()
	time.Sleep(30 * time.Millisecond) // the last accept has ended
	for len(s.fillers) < 8 {
		c, err := net.DialTimeout("tcp4", s.addr, 150*time.Millisecond)
		if err != nil {
			s.w.note("switch s-%08x: vanished with %d calls and %d connections; new connections do not come up", s.id, n, len(s.conns))
			return
		}
		s.fillers = append(s.fillers, c)
	}
	s.w.cannotRun("connections to a vanished switch still come up")
}

// replaceBy starts another switch at the address of one that has vanished. The old connections stay silent.
func (s *switchPeer) replaceBy(id uint32, hold time.Duration) *switchPeer {
	for _, c := range s.fillers {
		c.Close()
	}
	n := &switchPeer{w: s.w, id: id, addr: s.addr, listener: s.listener, circuits: s.circuits, answerIn: s.answerIn,
		holds: func(string) time.Duration { return hold }, calls: map[string]*standing{}}
	s.w.onEnd(n.kill)
	s.w.note("switch s-%08x: starts at the address of s-%08x", id, s.id)
	go n.acceptAll(s.listener)
	return n
}

// kill ends the switch's process: nothing listens any more, its connections are reset and its calls are over.
func (s *switchPeer) kill() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.calls {
		if !k.ended {
			k.ended, k.cut, k.endedAt = true, true, s.w.at()
			n++
		}
	}
	for _, c := range s.conns {
		c.reset()
	}
	for _, c := range s.fillers {
		c.Close()
	}
	s.conns, s.fillers, s.vanished = nil, nil, true
	s.w.note("switch s-%08x: its process has ended, %d calls were cut", s.id, n)
}

// attempt is one set-up that a caller sent.
type attempt struct {
	ref        string
	sentAt     time.Duration
	left       time.Duration
	answers    []string
	answeredAt time.Duration
	stands     bool
	releasedAt time.Duration
	released   bool
}

// callers is the side of the callers: their connections and what they sent and were sent.
type callers struct {
	w     *world
	p     *proxy
	mu    sync.Mutex
	calls map[string]*attempt
	conn  *lineConn
	lost  int
}

func (w *world) newCallers(p *proxy) *callers {
	return &callers{w: w, p: p, calls: map[string]*attempt{}}
}

// connect opens a connection on which the next messages are sent.
func (c *callers) connect() {
	conn, err := net.DialTimeout("tcp4", c.p.addr, time.Second)
	if err != nil {
		c.w.cannotRun("callers: %v", err)
	}
	l := &lineConn{Conn: conn}
	c.conn = l
	c.w.onEnd(func() { l.Close() })
	go c.read(l)
}

func (c *callers) read(l *lineConn) {
	in := bufio.NewReaderSize(l, 32<<10)
	for {
		text, err := in.ReadBytes('\n')
		if err != nil {
			c.w.note("callers: connection ended: %v", err)
			return
		}
		var m message
		if json.Unmarshal(text, &m) != nil {
			c.w.note("callers: unreadable: %q", text)
			continue
		}
		c.w.note("callers: got %v", &m)
		c.mu.Lock()
		if k := c.calls[m.Ref]; k != nil {
			now := c.w.at()
			switch {
			case m.T == "up":
				k.answers, k.answeredAt, k.stands = append(k.answers, "up"), now, true
			case m.T == "down" && k.stands:
				if !k.released {
					k.released, k.releasedAt = true, now
				}
			case m.T == "down":
				k.answers, k.answeredAt = append(k.answers, "down "+strconv.Itoa(m.cause())), now
			}
		}
		c.mu.Unlock()
	}
}

// call sends a set-up for a destination.
func (c *callers) call(n, dest int, left time.Duration, extra string) string {
	ref := fmt.Sprintf("%08x%08x", os.Getpid(), n)
	c.mu.Lock()
	c.calls[ref] = &attempt{ref: ref, sentAt: c.w.at(), left: left}
	c.mu.Unlock()
	c.w.note("callers: new %s to %d", ref, dest)
	_ = c.conn.send(message{T: "new", Ref: ref, D: "offer " + ref, F: map[string]any{"class": "status", "left": strconv.Itoa(int(left.Milliseconds())),
		"key": fmt.Sprintf("%016x", 0x7000+n), "extras": fmt.Sprintf("dest:%d;width:1;via:-1%s", dest, extra)}})
	return ref
}

// announce names a call that stands at a switch.
func (c *callers) announce(ref string, dest int, at uint32) {
	c.w.note("callers: new %s stands at s-%08x", ref, at)
	_ = c.conn.send(message{T: "new", Ref: ref, D: "offer " + ref, F: map[string]any{"class": "status", "left": "3000",
		"extras": fmt.Sprintf("dest:%d;width:1;via:-1;at:s-%08x", dest, at)}})
}
