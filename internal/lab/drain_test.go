package lab

import (
	"fmt"
	"testing"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/rules"
)

// A drain is told in the instant of a set-up, before and after it, and the link loses everything until right before, at
// and right after the end of the grace, so that repeats of the set-up fall after it: nothing new comes to the exchange.
func TestDrainInTheInstantOfASetUp(t *testing.T) {
	setups, answered := 0, 0
	for _, grace := range []time.Duration{250 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, front := range []string{"iax2", "m3ua"} {
			for offset := -3 * time.Millisecond; offset <= 3*time.Millisecond; offset += 250 * time.Microsecond {
				for _, cut := range []time.Duration{0, grace / 2, grace - time.Millisecond, grace, grace + time.Millisecond} {
					s, err := ParseScript("drain.toml", fmt.Appendf(nil, "length = \"4s\"\n[fleet]\nexchanges = 2\nfront = %q\n"+
						"drain_grace = %q\naccept_delay = \"50ms\"\nlist_lag = \"0s\"\nsame_delay = \"2ms\"\n[load]\nrate = 0.001\nredials = 0\n%s",
						front, grace, class))
					if err != nil {
						t.Fatal(err)
					}
					c := &rules.Checker{Exact: true, KeepTries: true}
					g, err := startVirtual(s, capture.NewSink(c.Packet), VirtualOptions{})
					if err != nil {
						t.Fatal(err)
					}
					at := g.w.Now() + 100*time.Millisecond
					g.w.At(at, func() { g.f.phase(1, "draining") })
					g.w.At(at+offset, func() { g.f.callers[0].Dial(1) })
					if cut > 0 {
						lossy := g.f.linkFaults(0, 1)
						lossy.LossRate = 1
						g.w.At(at+offset, func() { g.f.links[[2]int{0, 1}].Set(lossy) })
						g.w.At(at+cut, func() { g.f.links[[2]int{0, 1}].Set(g.f.linkFaults(0, 1)) })
					}
					g.w.Run(at + 6*time.Second)
					rep := c.Report()
					setups += rep.Attempts
					answered += rep.Count(rules.Answered)
					if len(rep.Violations) > 0 || rep.Count(rules.Answered)+rep.Count(rules.Refused)+rep.Count(rules.Failed) != 1 {
						t.Errorf("grace %v, %s, set-up %v after the drain, link lost until %v: %v, outcomes %v", grace, front, offset, cut,
							rep.Violations, rep.Outcomes)
					}
					g.f.closeDir()
				}
			}
		}
	}
	if setups < 100 || answered == 0 {
		t.Errorf("%d set-ups went out, %d calls were answered: too few to show anything", setups, answered)
	}
}
