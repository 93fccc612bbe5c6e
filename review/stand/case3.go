//go:build review

package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["3"] = noConnection }

// noConnection: in a quiet hour two calls stand. Their callers close the connection, on which no set-up was open for
// 4 s. The switch of one call releases it; 0.3 s later the caller of the other call hangs up, on a new connection, which
// stays open for 4 s. All the time the front tests the proxy once a second.
func noConnection(b *bench) (bool, error) {
	switches, err := b.startSwitches(5, func(string) time.Duration { return 10 * time.Second })
	if err != nil {
		return false, err
	}
	switches[1].hold = func(string) time.Duration { return 14 * time.Second }
	co, err := startCoordinator(b.rec, "127.0.2.1")
	if err != nil {
		return false, err
	}
	p, err := b.startProxy(wa, co.addr(), switches)
	if err != nil {
		return false, err
	}
	c := newCallers(b.rec, p.listen)
	c1, err := c.connect("c1")
	if err != nil {
		return false, err
	}
	first, err := c.call(c1, wa.classes[0], 1)
	if err != nil {
		return false, err
	}
	other, err := c.call(c1, wa.classes[0], 2)
	if err != nil {
		return false, err
	}
	time.Sleep(4200 * time.Millisecond)
	if !c.get(first).stood || !c.get(other).stood {
		return false, errors.New("the calls do not stand")
	}
	if b.trouble {
		b.rec.log("caller: closes c1, on which no set-up was open for 4 s")
		_ = c1.Close()
	}
	tests := 0
	testOnce := func() error { tests++; return c.test(fmt.Sprintf("t%d", tests)) }
	lastTest := time.Now()
	var ended switchCall
	for ended.releaseAt.IsZero() && !ended.bySwitch {
		if time.Since(first.sentAt) > 20*time.Second {
			return false, errors.New("the switch did not release its call")
		}
		if time.Since(lastTest) > time.Second {
			lastTest = time.Now()
			if err := testOnce(); err != nil {
				return false, err
			}
		}
		time.Sleep(5 * time.Millisecond)
		ended, _ = findCall(switches, first.ref)
	}
	time.Sleep(300 * time.Millisecond)
	on := c1
	if b.trouble {
		if on, err = c.connect("c2"); err != nil {
			return false, err
		}
	}
	opened := time.Now()
	if err := c.hangUp(on, other); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	_ = on.Close()
	for time.Since(ended.endedAt) < 9*time.Second {
		if err := testOnce(); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	if !p.running() {
		return false, errors.New("the proxy has ended")
	}
	b.checkAnswers(c)
	if at, _ := findCall(switches, other.ref); !at.byCaller {
		return false, errors.New("the call that its caller ended was not ended at its switch")
	}
	told := c.get(first).releasedAt
	if told.IsZero() {
		b.rec.say("the call that its switch released was never released toward its caller; a caller's connection was open from %.3f s after that for 4 s",
			opened.Sub(ended.endedAt).Seconds())
		return false, nil
	}
	b.rec.say("the call that its switch released was released toward its caller %.3f s after that", told.Sub(ended.endedAt).Seconds())
	return !told.After(opened.Add(time.Second + slack)), nil
}
