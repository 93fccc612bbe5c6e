//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// slack is what the pages add to every time limit on sockets.
const slack = 50 * time.Millisecond

func main() {
	cases := map[string]func(*world){"slow-list": slowList, "crossed": crossed, "address": address, "returned": returned, "announce": announce}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE, one of", sortedKeys(cases))
		os.Exit(unready)
	}
	w := newWorld()
	cases[os.Args[1]](w)
}

// load calls a destination at an interval until the returned function is called.
func (c *callers) load(first, dest int, every time.Duration) (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for n := first; ; n++ {
			select {
			case <-quit:
				return
			case <-time.After(every):
				c.call(n, dest, 3*time.Second, "")
			}
		}
	}()
	return func() { close(quit); <-done }
}

// unanswered returns the set-ups without exactly one answer, up to half a second after their time.
func (c *callers) unanswered() (list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ref := range sortedKeys(c.calls) {
		k := c.calls[ref]
		if c.w.at() > k.sentAt+k.left+500*time.Millisecond && len(k.answers) != 1 {
			list = append(list, fmt.Sprintf("call %s got %d answers", ref, len(k.answers)))
		}
	}
	return list
}

// notReleased returns the calls that are over at the switch, and of which the caller had heard by its time only that
// they stand. The time is 1 s after the switch's release, and 8 s after an end that no switch told.
func (c *callers) notReleased(s *switchPeer) (list []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ref := range sortedKeys(s.calls) {
		at, k := s.calls[ref], c.calls[ref]
		if k == nil || !k.stands || !at.ended || at.released {
			continue
		}
		limit := time.Second + slack
		if at.cut {
			limit = 8*time.Second + slack
		}
		switch {
		case k.released && k.releasedAt <= at.endedAt+limit:
		case k.released:
			list = append(list, fmt.Sprintf("call %s ended at %.3f, its caller was told at %.3f", ref, at.endedAt.Seconds(), k.releasedAt.Seconds()))
		case c.w.at() > at.endedAt+limit:
			list = append(list, fmt.Sprintf("call %s ended at %.3f, its caller was never told until %.3f", ref, at.endedAt.Seconds(), c.w.at().Seconds()))
		}
	}
	return list
}

// slowList plays discovery that is slow: from 2 s on, all that the coordinator writes comes 2.5 s late. At 5 s a switch
// begins to drain.
func slowList(w *world) {
	const (
		late  = 2500 * time.Millisecond
		toldA = 4 * time.Second // the pages' longest time after which an event counts as told
		grace = time.Second
	)
	one, two := w.startSwitch(1, "127.0.0.1:0", 2*time.Second), w.startSwitch(2, "127.0.0.1:0", 2*time.Second)
	coord := w.startCoordinator()
	known := event{1, true, []entry{{id: 1, addr: one.addr, cell: 1}, {id: 2, addr: two.addr, cell: 2}}}
	coord.tell(known)
	p := w.startProxy(w.freeAddr(), coord.addr, []event{known})
	p.waitReady()
	c := w.newCallers(p)
	c.connect()
	stop := c.load(1, 1, 100*time.Millisecond)
	w.sleepUntil(2 * time.Second)
	if w.trouble {
		coord.setDelay(late)
	}
	w.sleepUntil(5 * time.Second)
	coord.tell(event{2, false, []entry{{id: 1, addr: one.addr, cell: 1, state: draining}}})
	drainAt := w.at()
	w.sleepUntil(18 * time.Second)
	stop()
	var breaches []string
	one.mu.Lock()
	before := 0
	for _, at := range one.setUps {
		if at <= drainAt {
			before++
		}
		if limit := drainAt + toldA + grace + slack; at > limit {
			breaches = append(breaches, fmt.Sprintf("a set-up came %.3f s after the drain counts as told, %.3f s after the coordinator had it",
				(at-drainAt-toldA).Seconds(), (at-drainAt).Seconds()))
		}
	}
	one.mu.Unlock()
	if before < 20 {
		w.cannotRun("only %d set-ups before the drain", before)
	}
	w.judge("drain", breaches)
}

// address plays a machine that vanishes, and a new switch at its address: it starts 3.4 s later, and the list tells of
// both 5.8 s after the loss.
func address(w *world) {
	const (
		lostAt = 4 * time.Second
		newAt  = lostAt + 3400*time.Millisecond
		toldAt = lostAt + 5800*time.Millisecond
	)
	one, two := w.startSwitch(1, "127.0.0.1:0", 12*time.Second), w.startSwitch(2, "127.0.0.1:0", 12*time.Second)
	coord := w.startCoordinator()
	known := event{1, true, []entry{{id: 1, addr: one.addr, cell: 1}, {id: 2, addr: two.addr, cell: 2}}}
	coord.tell(known)
	p := w.startProxy(w.freeAddr(), coord.addr, []event{known})
	p.waitReady()
	c := w.newCallers(p)
	c.connect()
	stopOne, stopTwo := c.load(1, 1, 150*time.Millisecond), c.load(100001, 2, 150*time.Millisecond)
	w.sleepUntil(lostAt)
	stood := 0
	one.mu.Lock()
	stood = len(one.calls)
	one.mu.Unlock()
	if stood < 10 {
		w.cannotRun("only %d calls stand", stood)
	}
	if w.trouble {
		one.vanish()
		w.sleepUntil(newAt)
		started := time.Now().UnixMilli()
		one.replaceBy(0x11, 12*time.Second)
		w.sleepUntil(toldAt)
		coord.tell(event{2, false, []entry{{id: 1, addr: one.addr, cell: 1, state: gone}, {id: 0x11, addr: one.addr, cell: 1, started: started}}})
	}
	w.sleepUntil(18 * time.Second)
	stopOne()
	stopTwo()
	time.Sleep(4 * time.Second)
	w.judge("lost", append(c.notReleased(one), append(c.notReleased(two), c.unanswered()...)...))
}

// crossed plays a switch whose process dies. A new one starts at its address 1 s later, and the list tells of both 1.5 s
// after that. 2 s later the new switch resets the connection that is in use. Later it releases the calls that were set
// up on that one: on the oldest open connection, and also on the next one that is opened.
func crossed(w *world) {
	const (
		diesAt  = 4 * time.Second
		newAt   = diesAt + time.Second
		toldAt  = newAt + 1500*time.Millisecond
		resetAt = toldAt + 2*time.Second
	)
	one, two := w.startSwitch(1, "127.0.0.1:0", 6*time.Second), w.startSwitch(2, "127.0.0.1:0", 6*time.Second)
	coord := w.startCoordinator()
	known := event{1, true, []entry{{id: 1, addr: one.addr, cell: 1}, {id: 2, addr: two.addr, cell: 2}}}
	coord.tell(known)
	p := w.startProxy(w.freeAddr(), coord.addr, []event{known})
	p.waitReady()
	c := w.newCallers(p)
	c.connect()
	stopOne, stopTwo := c.load(1, 1, 150*time.Millisecond), c.load(100001, 2, 150*time.Millisecond)
	at := one
	w.sleepUntil(diesAt)
	if w.trouble {
		one.kill()
		w.sleepUntil(newAt)
		at = w.startSwitch(0x11, one.addr, 6*time.Second)
		started := time.Now().UnixMilli()
		w.sleepUntil(toldAt)
		coord.tell(event{2, false, []entry{{id: 1, addr: one.addr, cell: 1, state: gone}, {id: 0x11, addr: one.addr, cell: 1, started: started}}})
		w.sleepUntil(resetAt)
		at.resetUsed()
	}
	w.sleepUntil(17 * time.Second)
	stopOne()
	stopTwo()
	time.Sleep(4 * time.Second)
	breaches := append(c.notReleased(one), append(c.notReleased(two), c.unanswered()...)...)
	if at != one {
		breaches = append(breaches, c.notReleased(at)...)
	}
	w.judge("lost", breaches)
}

// announce plays a proxy that is killed and started again, and callers who come back 10 s after its start and name
// their calls. Some of these have ended since, at most 1.8 s before.
func announce(w *world) {
	const (
		killAt  = 4 * time.Second
		startAt = killAt + time.Second
		backAt  = startAt + 10*time.Second
	)
	one, two := w.startSwitch(1, "127.0.0.1:0", 0), w.startSwitch(2, "127.0.0.1:0", 0)
	coord := w.startCoordinator()
	known := event{1, true, []entry{{id: 1, addr: one.addr, cell: 1}, {id: 2, addr: two.addr, cell: 2}}}
	coord.tell(known)
	addr := w.freeAddr()
	p := w.startProxy(addr, coord.addr, []event{known})
	p.waitReady()
	c := w.newCallers(p)
	c.connect()
	n := 0
	one.holds = func(string) time.Duration {
		if n++; n > 20 {
			return 2 * time.Second
		}
		return startAt + 8*time.Second + time.Duration(n)*200*time.Millisecond - w.at() // from 8.2 to 12 s after the later start
	}
	w.sleepUntil(2 * time.Second)
	var refs []string
	for i := range 20 {
		refs = append(refs, c.call(i, 1, 3*time.Second, ""))
		time.Sleep(20 * time.Millisecond)
	}
	w.sleepUntil(killAt)
	if w.trouble {
		w.note("proxy killed")
		p.kill()
		w.sleepUntil(startAt)
		p = w.startProxy(addr, coord.addr, []event{known})
		c.p = p
		w.sleepUntil(backAt)
		p.waitReady()
		c.connect()
		for _, ref := range refs {
			c.announce(ref, 1, 1)
		}
	}
	w.sleepUntil(backAt)
	stop := c.load(1000, 1, 100*time.Millisecond)
	w.sleepUntil(startAt + 19*time.Second)
	stop()
	time.Sleep(4 * time.Second)
	one.mu.Lock()
	for _, k := range one.calls { // no caller was there to be told of these at once
		if w.trouble && k.endedAt < backAt {
			k.cut = true
		}
	}
	one.mu.Unlock()
	w.judge("lost", append(c.notReleased(one), c.unanswered()...))
}

// returned plays a proxy that is started again, a switch that is killed and started again under its id after the
// proxy's start, and callers who name their calls later: half of them before the list tells the switch's start, half
// after that.
func returned(w *world) {
	const (
		killAt   = 4 * time.Second
		startAt  = killAt + 500*time.Millisecond
		switchAt = startAt + 500*time.Millisecond
		againAt  = switchAt + 1500*time.Millisecond
		backAt   = againAt + time.Second
		toldAt   = againAt + 1500*time.Millisecond
		laterAt  = againAt + 2500*time.Millisecond
	)
	one, two := w.startSwitch(1, "127.0.0.1:0", 60*time.Second), w.startSwitch(2, "127.0.0.1:0", 60*time.Second)
	coord := w.startCoordinator()
	known := event{1, true, []entry{{id: 1, addr: one.addr, cell: 1}, {id: 2, addr: two.addr, cell: 2}}}
	coord.tell(known)
	addr := w.freeAddr()
	p := w.startProxy(addr, coord.addr, []event{known})
	p.waitReady()
	c := w.newCallers(p)
	c.connect()
	w.sleepUntil(2 * time.Second)
	var refs []string
	for i := range 20 {
		refs = append(refs, c.call(i, 1, 3*time.Second, ""))
		time.Sleep(20 * time.Millisecond)
	}
	w.sleepUntil(killAt)
	w.note("proxy killed")
	p.kill()
	w.sleepUntil(startAt)
	p = w.startProxy(addr, coord.addr, []event{known})
	c.p = p
	w.sleepUntil(switchAt)
	started := int64(0)
	if w.trouble {
		one.kill()
		w.sleepUntil(againAt)
		w.startSwitch(1, one.addr, 60*time.Second)
		started = time.Now().UnixMilli()
	}
	w.sleepUntil(backAt)
	p.waitReady()
	c.connect()
	for _, ref := range refs[:10] {
		c.announce(ref, 1, 1)
	}
	w.sleepUntil(toldAt)
	if w.trouble {
		coord.tell(event{2, false, []entry{{id: 1, addr: one.addr, cell: 1, started: started}}})
	}
	w.sleepUntil(laterAt)
	for _, ref := range refs[10:] {
		c.announce(ref, 1, 1)
	}
	w.sleepUntil(switchAt + 12*time.Second)
	w.judge("lost", append(c.notReleased(one), c.unanswered()...))
}
