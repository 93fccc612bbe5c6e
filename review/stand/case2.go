//go:build review

package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["2"] = restart }

// restart: two of six switches have been replaced twice, each time by a new one under a new id at the address of the
// one that has gone. Then the proxy is killed, starts again 2 s later and is told of the calls that stand. Some of
// them have ended meanwhile; their switches release them on the next connection that is opened.
func restart(b *bench) (bool, error) {
	hold := func(ref string) time.Duration { return 10*time.Second + time.Duration(ref[15])*15*time.Millisecond }
	switches, err := b.startSwitches(6, hold)
	if err != nil {
		return false, err
	}
	co, err := startCoordinator(b.rec, "127.0.2.1")
	if err != nil {
		return false, err
	}
	p, err := b.startProxy(wa, co.addr(), switches)
	if err != nil {
		return false, err
	}
	c := newCallers(b.rec, p.listen)
	stop := make(chan struct{})
	if err := c.traffic(wa, []int{1, 2, 3, 4, 5, 6}, 12, stop); err != nil {
		return false, err
	}
	all := append([]*switchSim(nil), switches...)
	index := uint64(1)
	tell := func(entries ...entry) error {
		index++
		e := event{index: index, entries: entries}
		co.publish(e)
		return p.know(e)
	}
	for generation := range 2 {
		time.Sleep(1500 * time.Millisecond)
		old := []*switchSim{switches[0], switches[1]}
		for _, s := range old {
			s.refuseNew()
		}
		if err := tell(old[0].entry(draining), old[1].entry(draining)); err != nil {
			return false, err
		}
		time.Sleep(6200 * time.Millisecond)
		for _, s := range old {
			s.stop()
		}
		time.Sleep(200 * time.Millisecond)
		if err := tell(old[0].entry(gone), old[1].entry(gone)); err != nil {
			return false, err
		}
		time.Sleep(300 * time.Millisecond)
		for i, s := range old {
			next, err := startSwitch(b.rec, s.id+uint32(1000*(generation+1)), s.cell, s.addr().String(), hold)
			if err != nil {
				return false, err
			}
			next.started = time.Now().UnixMilli()
			switches[i], all = next, append(all, next)
		}
		time.Sleep(300 * time.Millisecond)
		if err := tell(switches[0].entry(ready), switches[1].entry(ready)); err != nil {
			return false, err
		}
	}
	time.Sleep(13 * time.Second)
	if b.trouble {
		close(stop)
		b.killedAt = time.Now()
		p.kill()
		time.Sleep(2 * time.Second)
		if err := p.start(b.run); err != nil {
			return false, err
		}
		b.readyAt = time.Now()
		stop = make(chan struct{})
		if err := c.traffic(wa, []int{1, 2, 3, 4, 5, 6}, 12, stop); err != nil {
			return false, err
		}
		conn, err := c.connect("n1")
		if err != nil {
			return false, err
		}
		c.name(conn, all)
	} else {
		time.Sleep(2 * time.Second)
	}
	time.Sleep(9 * time.Second)
	close(stop)
	time.Sleep(4 * time.Second)
	if !p.running() {
		return false, errors.New("the proxy has ended")
	}
	b.checkAnswers(c)
	kept, ended, withLoss := b.checkReleases(c, all)
	if ended == 0 || b.trouble && withLoss == 0 {
		return false, fmt.Errorf("%d calls ended, %d with a process: nothing to judge", ended, withLoss)
	}
	return kept, nil
}
