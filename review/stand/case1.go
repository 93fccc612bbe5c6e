//go:build review

package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["1"] = lostMachine }

// lostMachine: the machines of two of five switches vanish at once and come back cold 3 s later, at their addresses and
// under their ids; the list tells the new start 1 s after that. The calls that stood there are over.
func lostMachine(b *bench) (bool, error) {
	switches, err := b.startSwitches(5, func(ref string) time.Duration {
		return 10*time.Second + time.Duration(ref[15])*15*time.Millisecond // 10.7 to 11.5 s
	})
	if err != nil {
		return false, err
	}
	co, err := startCoordinator(b.rec, "127.0.2.1")
	if err != nil {
		return false, err
	}
	p, err := b.startProxy(southWest, co.addr(), switches)
	if err != nil {
		return false, err
	}
	c := newCallers(b.rec, p.listen)
	stop := make(chan struct{})
	if err := c.traffic(southWest, []int{1, 2, 3, 4, 5}, 10, stop); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	struck := switches[:2]
	if b.trouble {
		for _, s := range struck {
			if err := s.lose(); err != nil {
				return false, err
			}
		}
		time.Sleep(3 * time.Second)
		change := event{index: 2}
		for _, s := range struck {
			if err := s.comeBack(); err != nil {
				return false, err
			}
			time.Sleep(100 * time.Millisecond)
			change.entries = append(change.entries, entry{s.id, s.addr(), ready, uint16(s.cell), time.Now().UnixMilli()})
		}
		time.Sleep(time.Second)
		co.publish(change)
		time.Sleep(9 * time.Second)
	} else {
		time.Sleep(13 * time.Second)
	}
	close(stop)
	time.Sleep(4 * time.Second)
	if !p.running() {
		return false, errors.New("the proxy has ended")
	}
	b.checkAnswers(c)
	kept, ended, withLoss := b.checkReleases(c, switches)
	if ended == 0 || b.trouble && withLoss == 0 {
		return false, fmt.Errorf("%d calls ended, %d with their machine: nothing to judge", ended, withLoss)
	}
	return kept, nil
}
