//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	setUpTime = 30 * time.Millisecond // that a switch needs for a set-up
	circuits  = 60                    // of the group to each switch
)

// switchCall is one call at a switch.
type switchCall struct {
	ref       string
	on        *peer // connection of its set-up
	stands    bool
	stoodAt   time.Time
	endedAt   time.Time // when it stopped standing
	bySwitch  bool      // it ended at the switch, which released it
	withLoss  bool      // it ended with the process or the machine: no release could be sent
	byCaller  bool      // the proxy released it
	releaseAt time.Time // when its release was written
}

// switchSim is one switch of the platform. It answers every set-up after setUpTime, holds the call for hold, and
// releases it.
type switchSim struct {
	rec     *record
	id      uint32
	cell    int
	hold    func(ref string) time.Duration
	lis     *net.TCPListener
	started int64 // Unix milliseconds; 0 is long ago

	mu       sync.Mutex
	conns    []*peer
	calls    map[string]*switchCall // open and standing ones of the running process
	all      []*switchCall
	setUps   []time.Time         // when set-ups came
	releases []message           // each is repeated on the next connection that is opened
	process  int                 // number of the running process; a lost machine returns with the next one
	down     bool                // the machine is lost
	unheard  map[*peer]time.Time // connections on which something came during the loss, and when first
	filler   []net.Conn
	fillers  map[string]bool // addresses of filler
}

func startSwitch(rec *record, id uint32, cell int, at string, hold func(ref string) time.Duration) (*switchSim, error) {
	lis, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	s := &switchSim{rec: rec, id: id, cell: cell, hold: hold, lis: lis.(*net.TCPListener), calls: map[string]*switchCall{},
		unheard: map[*peer]time.Time{}, fillers: map[string]bool{}}
	go s.accept()
	return s, nil
}

// entry is what the list says of it.
func (s *switchSim) entry(state byte) entry {
	return entry{s.id, s.addr(), state, uint16(s.cell), s.started}
}

func (s *switchSim) addr() netip.AddrPort { return s.lis.Addr().(*net.TCPAddr).AddrPort() }

func (s *switchSim) accept() {
	for {
		conn, err := s.lis.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(time.Millisecond)
			continue
		}
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.fillers[conn.RemoteAddr().String()] {
			s.mu.Unlock()
			_ = conn.Close()
			continue
		}
		p := newPeer(conn)
		s.conns = append(s.conns, p)
		process := s.process
		_ = p.send(s.gauge())
		for _, m := range s.releases {
			s.rec.log("switch %d: release of %s, on the next connection %v", s.cell, m.Ref, conn.RemoteAddr())
			if p.send(m) == nil {
				s.released(m.Ref)
			}
		}
		s.releases = nil
		s.mu.Unlock()
		go s.serve(p, process)
	}
}

// released notes that the release of a call was written.
func (s *switchSim) released(ref string) {
	for _, k := range s.all {
		if k.ref == ref && k.releaseAt.IsZero() {
			k.releaseAt = time.Now()
		}
	}
}

func (s *switchSim) gauge() message {
	return message{Type: "gauge", Fields: map[string]string{"load": fmt.Sprintf("x0:%d;x1:%d", circuits-len(s.calls), circuits)}}
}

// tellGroup sends the state of the group on all open connections.
func (s *switchSim) tellGroup() {
	for _, p := range s.conns {
		_ = p.send(s.gauge())
	}
}

func (s *switchSim) serve(p *peer, process int) {
	for {
		m, err := p.receive()
		s.mu.Lock()
		if process != s.process { // a connection of a machine that was lost and is back: it is unknown there
			s.mu.Unlock()
			s.rec.log("switch %d: reset of a connection from before the loss, on which something came", s.cell)
			p.reset()
			return
		}
		if err != nil {
			for i, o := range s.conns {
				if o == p {
					s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
					break
				}
			}
			for ref, k := range s.calls {
				if k.on == p && !k.stands {
					delete(s.calls, ref)
				}
			}
			s.mu.Unlock()
			p.Close()
			return
		}
		if !s.down {
			s.handle(p, m)
		} else if s.unheard[p].IsZero() {
			s.unheard[p] = time.Now()
		}
		s.mu.Unlock()
	}
}

func (s *switchSim) handle(p *peer, m message) {
	switch m.Type {
	case "new":
		now := time.Now()
		s.rec.log("switch %d: set-up %s", s.cell, m.Ref)
		s.setUps = append(s.setUps, now)
		k := &switchCall{ref: m.Ref, on: p}
		if s.calls[m.Ref] != nil {
			s.rec.log("switch %d: second set-up of %s", s.cell, m.Ref)
			return
		}
		s.calls[m.Ref] = k
		s.tellGroup()
		process := s.process
		time.AfterFunc(setUpTime, func() { s.answer(k, process) })
	case "down":
		k := s.calls[m.Ref]
		if k == nil {
			return
		}
		s.rec.log("switch %d: proxy ends %s with cause %d", s.cell, m.Ref, m.cause())
		k.byCaller, k.endedAt = true, time.Now()
		delete(s.calls, m.Ref)
		s.tellGroup()
	case "hb":
		one := 1
		reply := message{Type: "hb_ok", Ref: m.Ref, Cause: &one}
		if m.cause() == 1 {
			reply.Fields = s.gauge().Fields
		}
		_ = p.send(reply)
	}
}

func (s *switchSim) answer(k *switchCall, process int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.process != process || s.calls[k.ref] != k {
		return
	}
	k.stands, k.stoodAt = true, time.Now()
	s.all = append(s.all, k)
	d := fmt.Sprintf("switch %d %s", s.cell, k.ref)
	s.rec.log("switch %d: answer to %s", s.cell, k.ref)
	_ = k.on.send(message{Type: "up", Ref: k.ref, Description: &d})
	time.AfterFunc(s.hold(k.ref), func() { s.release(k, process) })
}

// release ends a call that stands and releases it on the connection of its set-up, or else on any open one, and also
// on the next one that is opened.
func (s *switchSim) release(k *switchCall, process int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.process != process || s.calls[k.ref] != k {
		return
	}
	delete(s.calls, k.ref)
	k.bySwitch, k.endedAt = true, time.Now()
	m := newDown(k.ref, 16)
	s.releases = append(s.releases, m)
	on := k.on
	if len(s.conns) > 0 {
		found := false
		for _, p := range s.conns {
			found = found || p == on
		}
		if !found {
			on = s.conns[0]
		}
		if on.send(m) == nil {
			s.released(k.ref)
		}
		s.rec.log("switch %d: release of %s", s.cell, k.ref)
	} else {
		s.rec.log("switch %d: %s has ended, no connection for its release", s.cell, k.ref)
	}
	s.tellGroup()
}

// refuseNew makes a draining switch refuse new connections.
func (s *switchSim) refuseNew() { _ = s.lis.Close() }

// stop ends the process: its connections are reset and its calls cut.
func (s *switchSim) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.log("switch %d s-%08x: process ends, with %d calls", s.cell, s.id, len(s.calls))
	_ = s.lis.Close()
	s.process++
	now := time.Now()
	for _, k := range s.calls {
		if k.stands {
			k.withLoss, k.endedAt = true, now
		}
	}
	s.calls = map[string]*switchCall{}
	for _, p := range s.conns {
		p.reset()
	}
	s.conns, s.releases = nil, nil
}

// lose makes the machine vanish: open connections stay open and silent, and new ones never come up.
func (s *switchSim) lose() error {
	s.mu.Lock()
	s.down = true
	now := time.Now()
	for _, k := range s.calls {
		if k.stands {
			k.withLoss, k.endedAt = true, now
		}
	}
	n := len(s.calls)
	s.mu.Unlock()
	s.rec.log("switch %d: machine lost, with %d calls", s.cell, n)
	// A listener whose queue is full drops what wants to connect, so that it looks like an absent machine.
	_ = s.lis.SetDeadline(time.Unix(1, 0))
	if err := s.listen(0); err != nil {
		return err
	}
	for range 8 {
		c, err := net.DialTimeout("tcp4", s.lis.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return nil // full
		}
		s.mu.Lock()
		s.fillers[c.LocalAddr().String()] = true
		s.mu.Unlock()
		s.filler = append(s.filler, c)
	}
	return errors.New("the queue of the listener does not fill up")
}

func (s *switchSim) listen(backlog int) (err error) {
	raw, err := s.lis.SyscallConn()
	if err != nil {
		return err
	}
	if e := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), backlog) }); e != nil {
		return e
	}
	return err
}

// comeBack starts the machine anew: a new process at the old address that knows no call. Connections from before are
// unknown to it: one that has bytes that were never acknowledged, or on which something comes, is reset.
func (s *switchSim) comeBack() error {
	for _, c := range s.filler {
		_ = c.Close()
	}
	s.filler = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.process++
	s.down = false
	// What was never acknowledged is sent again at doubling gaps, and the new process resets that connection.
	for p, first := range s.unheard {
		at, gap := first, 200*time.Millisecond
		for at = at.Add(gap); at.Before(time.Now()); at = at.Add(gap) {
			gap *= 2
		}
		time.AfterFunc(time.Until(at), func() {
			s.rec.log("switch %d: reset of a connection from before the loss, on which something was sent again", s.cell)
			p.reset()
		})
	}
	clear(s.unheard)
	s.conns, s.releases = nil, nil
	s.calls = map[string]*switchCall{}
	s.rec.log("switch %d: machine back, cold, knows no call", s.cell)
	if err := s.listen(128); err != nil {
		return err
	}
	return s.lis.SetDeadline(time.Time{})
}
