//go:build review

package main

import (
	"errors"
	"syscall"
	"time"
)

func init() { cases["3"] = slowDiscovery }

// slowDiscovery: a new configuration moves discovery to a coordinator that is slow: it writes the first frame 2.2 s
// after it was asked. A second later a switch drains.
func slowDiscovery(b *bench) (bool, error) {
	switches, err := b.startSwitches(5, func(string) time.Duration { return 10 * time.Second })
	if err != nil {
		return false, err
	}
	oldOne, err := startCoordinator(b.rec, "A", "127.0.2.1", 0)
	if err != nil {
		return false, err
	}
	var delay time.Duration
	if b.trouble {
		delay = 2200 * time.Millisecond
	}
	newOne, err := startCoordinator(b.rec, "B", "127.0.2.2", delay)
	if err != nil {
		return false, err
	}
	p, err := b.startProxy(wa, oldOne.addr(), switches)
	if err != nil {
		return false, err
	}
	c := newCallers(b.rec, p.listen)
	stop := make(chan struct{})
	if err := c.traffic(wa, []int{1, 2, 3, 4, 5}, 10, stop); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	p.config["coordinator"] = newOne.addr()
	if err := p.writeConfig(); err != nil {
		return false, err
	}
	oldOne.retire()
	hup := time.Now()
	p.signal(syscall.SIGHUP)
	time.Sleep(time.Second)
	drained := switches[1]
	newOne.publish(event{index: 2, entries: []entry{{drained.id, drained.addr(), draining, uint16(drained.cell), 0}}})
	// At the latest 4 s after SIGHUP this counts as told.
	told := hup.Add(4 * time.Second)
	limit := told.Add(time.Duration(wa.drainGrace*float64(time.Second)) + slack)
	time.Sleep(time.Until(limit) + 10*time.Second)
	close(stop)
	time.Sleep(4 * time.Second)
	if !p.running() {
		return false, errors.New("the proxy has ended")
	}
	b.checkAnswers(c)
	late, last := 0, time.Time{}
	drained.mu.Lock()
	for _, at := range drained.setUps {
		if at.After(limit) {
			late++
			last = at
		}
	}
	drained.mu.Unlock()
	newOne.mu.Lock()
	asked, written := newOne.asked, newOne.told
	newOne.mu.Unlock()
	if written.IsZero() {
		b.rec.say("the proxy asked the new coordinator %d times and never waited for its answer", asked)
	} else {
		b.rec.say("the proxy asked the new coordinator %d times; the drain was written %.3f s after SIGHUP", asked, written.Sub(hup).Seconds())
	}
	if asked == 0 {
		return false, errors.New("the proxy never asked the new coordinator")
	}
	if late > 0 {
		b.rec.say("set-ups sent to the draining switch more than %.2f s after it counts as told: %d, the last %.3f s after", wa.drainGrace+slack.Seconds(),
			late, last.Sub(told).Seconds())
	}
	return late == 0, nil
}
