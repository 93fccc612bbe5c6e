//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// callerCall is one call as its caller sees it.
type callerCall struct {
	ref         string
	class, key  string
	dest        int
	sentAt      time.Time
	left        time.Duration
	answeredAt  time.Time // final answer to the set-up
	stood       bool
	refusedWith int
	releasedAt  time.Time // first release after the answer
	hungUp      bool      // the caller ended it
	named       time.Time // when the caller named it, with "at", to a proxy that had restarted
	extra       int       // further answers or releases
}

// callers is what offers calls to the proxy.
type callers struct {
	rec    *record
	listen string
	rng    *rand.Rand

	mu    sync.Mutex
	calls map[string]*callerCall
	order []*callerCall
}

func newCallers(rec *record, listen string) *callers {
	return &callers{rec: rec, listen: listen, rng: rand.New(rand.NewPCG(35, 1)), calls: map[string]*callerCall{}}
}

// connect opens a connection to the proxy and takes note of what comes on it.
func (c *callers) connect(name string) (*peer, error) {
	conn, err := net.DialTimeout("tcp4", c.listen, time.Second)
	if err != nil {
		return nil, err
	}
	c.rec.log("caller: connection %s opened", name)
	p := newPeer(conn)
	go func() {
		for {
			m, err := p.receive()
			if err != nil {
				c.rec.log("caller: connection %s ended: %v", name, err)
				return
			}
			c.take(name, m)
		}
	}()
	return p, nil
}

func (c *callers) take(name string, m message) {
	c.rec.log("caller: %s %s cause %d on %s", m.Type, m.Ref, m.cause(), name)
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.calls[m.Ref]
	if k == nil {
		return
	}
	now := time.Now()
	switch {
	case m.Type == "up" && k.answeredAt.IsZero():
		k.answeredAt, k.stood = now, true
	case m.Type == "down" && k.answeredAt.IsZero():
		k.answeredAt, k.refusedWith = now, m.cause()
	case m.Type == "down" && k.stood && k.releasedAt.IsZero():
		k.releasedAt = now
	case m.Type == "up" || m.Type == "down":
		k.extra++
	}
}

// call sends a set-up on a connection.
func (c *callers) call(p *peer, cl class, dest int) (*callerCall, error) {
	c.mu.Lock()
	k := &callerCall{ref: fmt.Sprintf("%016x", c.rng.Uint64()), class: cl.name, key: fmt.Sprintf("%016x", c.rng.Uint64()), dest: dest, sentAt: time.Now(),
		left: time.Duration(0.35 * cl.deadline * float64(time.Second))}
	c.calls[k.ref] = k
	c.order = append(c.order, k)
	c.mu.Unlock()
	c.rec.log("caller: set-up %s %s to exchange %d", k.ref, cl.name, dest)
	d := "caller " + k.ref
	return k, p.send(message{Type: "new", Ref: k.ref, Description: &d, Fields: map[string]string{"class": cl.name,
		"left": strconv.FormatInt(k.left.Milliseconds(), 10), "key": k.key,
		"extras": fmt.Sprintf("dest:%d;width:1;via:-1", dest)}})
}

// name tells a proxy that has restarted of each call that stands for its caller, and at which switch.
func (c *callers) name(p *peer, switches []*switchSim) {
	for _, k := range c.snapshot() {
		at, sw := findCall(switches, k.ref)
		if !k.stood || !k.releasedAt.IsZero() || sw == nil {
			continue
		}
		c.rec.log("caller: names %s, which stands at s-%08x", at.ref, sw.id)
		c.mu.Lock()
		c.calls[k.ref].named = time.Now()
		c.mu.Unlock()
		d := "caller " + k.ref
		_ = p.send(message{Type: "new", Ref: k.ref, Description: &d, Fields: map[string]string{"class": k.class, "left": "3000", "key": k.key,
			"extras": fmt.Sprintf("dest:%d;width:1;via:-1;at:s-%08x", k.dest, sw.id)}})
	}
}

// hangUp releases a call on a connection.
func (c *callers) hangUp(p *peer, k *callerCall) error {
	c.mu.Lock()
	k.hungUp = true
	c.mu.Unlock()
	c.rec.log("caller: hangs up %s", k.ref)
	return p.send(newDown(k.ref, 16))
}

// test tests the proxy as a front does, on a connection of its own that is closed after the reply.
func (c *callers) test(name string) error {
	p, err := c.connect(name)
	if err != nil {
		return err
	}
	zero := 0
	if err := p.send(message{Type: "hb", Ref: "00000000000000aa", Cause: &zero}); err != nil {
		return err
	}
	time.Sleep(20 * time.Millisecond)
	return p.Close()
}

// get returns a copy of a call.
func (c *callers) get(k *callerCall) callerCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *k
}

// snapshot returns copies of the calls.
func (c *callers) snapshot() (list []callerCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.order {
		list = append(list, *k)
	}
	return list
}

// traffic offers calls on two connections, perSecond of them, to the destinations in turn and to the classes by
// share, until stop is closed. The connections stay in use.
func (c *callers) traffic(s site, dests []int, perSecond int, stop <-chan struct{}) error {
	var conns []*peer
	for i := range 2 {
		p, err := c.connect(fmt.Sprintf("c%d", i+1))
		if err != nil {
			return err
		}
		conns = append(conns, p)
	}
	go func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			cl := s.classes[0]
			if i%16 == 7 {
				cl = s.classes[1]
			}
			if _, err := c.call(conns[i%2], cl, dests[i%len(dests)]); err != nil {
				c.rec.log("caller: %v", err)
			}
		}
	}()
	return nil
}
