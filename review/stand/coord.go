//go:build review

package main

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// States of a switch on the list.
const (
	ready    = 0
	draining = 1
	gone     = 2
)

// entry is one switch on the list.
type entry struct {
	id      uint32
	addr    netip.AddrPort
	state   byte
	cell    uint16
	started int64 // Unix milliseconds; 0 is long ago
}

// event is one numbered change of the list.
type event struct {
	index   uint64
	entries []entry
}

func (e event) frame() []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+27*len(e.entries)))
	b = binary.BigEndian.AppendUint64(b, e.index)
	b = append(b, 2) // changes
	for _, x := range e.entries {
		b = binary.BigEndian.AppendUint32(b, x.id)
		ip := x.addr.Addr().As4()
		b = append(b, ip[:]...)
		b = binary.BigEndian.AppendUint16(b, x.addr.Port())
		b = append(b, x.state, 0, 0)
		b = binary.BigEndian.AppendUint16(b, x.cell)
		b = binary.BigEndian.AppendUint32(b, 1000)
		b = binary.BigEndian.AppendUint64(b, uint64(x.started))
	}
	return b
}

// coordinator serves the list: the events after the number that a proxy names, then each new one, and an empty frame
// each second.
type coordinator struct {
	rec *record
	lis net.Listener

	mu     sync.Mutex
	events []event
}

func startCoordinator(rec *record, ip string) (*coordinator, error) {
	lis, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	c := &coordinator{rec: rec, lis: lis}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

func (c *coordinator) addr() string { return c.lis.Addr().String() }

func (c *coordinator) publish(e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
	for _, x := range e.entries {
		c.rec.log("coordinator: event %d: switch s-%08x cell %d state %d started %d", e.index, x.id, x.cell, x.state, x.started)
	}
}

func (c *coordinator) serve(conn net.Conn) {
	defer conn.Close()
	var hello [8]byte
	if _, err := io.ReadFull(conn, hello[:]); err != nil {
		return
	}
	from := binary.BigEndian.Uint64(hello[:])
	c.rec.log("coordinator: asked for the events after %d", from)
	ended := make(chan struct{})
	go func() {
		_, _ = conn.Read(hello[:1])
		c.rec.log("coordinator: connection ended")
		close(ended)
	}()
	lastEmpty := time.Time{}
	for {
		var b []byte
		c.mu.Lock()
		for _, e := range c.events {
			if e.index > from {
				b = append(b, e.frame()...)
				from = e.index
				c.rec.log("coordinator: event %d written", e.index)
			}
		}
		if time.Since(lastEmpty) >= time.Second {
			lastEmpty = time.Now()
			b = binary.BigEndian.AppendUint32(b, 9)
			b = binary.BigEndian.AppendUint64(b, from)
			b = append(b, 0)
		}
		c.mu.Unlock()
		if len(b) > 0 {
			if _, err := conn.Write(b); err != nil {
				return
			}
		}
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
