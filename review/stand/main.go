//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// Results of a case, as exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// slack is what every time limit on sockets is longer by.
const slack = 50 * time.Millisecond

// bench is what a case works with.
type bench struct {
	rec     *record
	dir     string
	run     string // command of the deploy file
	trouble bool
	closers []func()

	killedAt, readyAt time.Time // when the proxy was killed, and when the front had taken it in again
}

// cases are added by their files. Each reports whether the rule held.
var cases = map[string]func(*bench) (bool, error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RUN-COMMAND RECORD")
		os.Exit(failed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, run, recordFile string) int {
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.say("%v", err)
		return failed
	}
	b := &bench{rec: rec, dir: dir, run: run, trouble: os.Getenv("TROUBLE") != "0"}
	defer os.RemoveAll(dir)
	defer func() {
		for _, f := range b.closers {
			f()
		}
	}()
	rec.log("case %s, disruption %v", name, b.trouble)
	play := cases[name]
	if play == nil {
		rec.say("there is no case %s", name)
		return failed
	}
	kept, err := play(b)
	if log, e := os.ReadFile(dir + "/proxy.log"); e == nil {
		rec.log("log of the proxy:\n%s", log)
	}
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return failed
	case kept:
		rec.say("the rule held")
		return held
	}
	rec.say("the rule was broken")
	return broken
}

// startProxy starts the proxy, which is ended with the case.
func (b *bench) startProxy(s site, coordinator string, switches []*switchSim) (*proxy, error) {
	p, err := newProxy(b.rec, b.dir, s, coordinator, switches)
	if err != nil {
		return nil, err
	}
	b.closers = append(b.closers, p.kill)
	return p, p.start(b.run)
}

// startSwitches starts n switches, at the exchanges 1 to n.
func (b *bench) startSwitches(n int, hold func(ref string) time.Duration) (list []*switchSim, err error) {
	for i := range n {
		s, err := startSwitch(b.rec, uint32(0xc4100+i*7919), i+1, fmt.Sprintf("127.0.1.%d:0", i+1), hold)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

// findCall returns what a switch knows of a call that stood there.
func findCall(switches []*switchSim, ref string) (found switchCall, at *switchSim) {
	for _, s := range switches {
		s.mu.Lock()
		for _, k := range s.all {
			if k.ref == ref {
				found, at = *k, s
			}
		}
		s.mu.Unlock()
	}
	return found, at
}

// checkReleases judges the release of what stood: toward the caller within 1 s of the switch's release, and within 8 s
// of its end if no release could be sent. A call that stood when the proxy was killed counts once its caller has named it
// to the new process. Calls that have not ended long enough before now are left out.
func (b *bench) checkReleases(c *callers, switches []*switchSim) (kept bool, ended, withLoss int) {
	kept = true
	late := 0
	now := time.Now()
	for _, k := range c.snapshot() {
		at, sw := findCall(switches, k.ref)
		if !k.stood || sw == nil || k.hungUp {
			continue
		}
		var from time.Time
		limit := time.Second + slack
		switch {
		case at.withLoss:
			from, limit = at.endedAt, 8*time.Second+slack
			withLoss++
		case at.bySwitch && at.endedAt.After(b.killedAt) && at.endedAt.Before(b.readyAt):
			// It ended while the proxy was down: within 8 s of that, and at the earliest 1 s after the caller named it.
			from, limit = at.endedAt, max(8*time.Second, k.named.Sub(at.endedAt)+time.Second)+slack
			withLoss++
		case at.bySwitch && !at.releaseAt.IsZero():
			from = at.releaseAt
		default:
			continue
		}
		if !b.killedAt.IsZero() && at.stoodAt.Before(b.killedAt) && k.named.IsZero() && !from.Before(b.killedAt.Add(-limit)) {
			continue
		}
		if now.Sub(from) < limit {
			continue
		}
		ended++
		if k.releasedAt.IsZero() || k.releasedAt.Sub(from) > limit {
			kept = false
			if late++; late <= 20 {
				when := "never"
				if !k.releasedAt.IsZero() {
					when = fmt.Sprintf("%.3f s after it", k.releasedAt.Sub(from).Seconds())
				}
				b.rec.log("left standing: call %s at switch %d ended at %.3f; limit %v; caller told %s", k.ref, sw.cell, b.rec.at(from), limit, when)
			}
		}
	}
	b.rec.say("calls that stood and ended: %d, of these with their process or the proxy's: %d; not released toward their callers in time: %d", ended, withLoss, late)
	return kept, ended, withLoss
}

// checkAnswers counts set-ups without a final answer half a second after their time, and second answers.
func (b *bench) checkAnswers(c *callers) {
	var missing, extra, stood, calls int
	for _, k := range c.snapshot() {
		calls++
		extra += k.extra
		if k.stood {
			stood++
		}
		if k.answeredAt.IsZero() && time.Since(k.sentAt) > k.left+500*time.Millisecond {
			missing++
		}
	}
	b.rec.say("set-ups %d, stood %d, without an answer %d, further answers %d", calls, stood, missing, extra)
}
