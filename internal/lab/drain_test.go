package lab

import (
	"fmt"
	"testing"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/rules"
)

// TestDrainDuringSetUp guards against a set-up that reaches an exchange after its drain grace. A list update with the drain
// arrives up to 3 ms before or after a set-up, and the link loses everything until right before, at or right after the end
// of the grace, so that retransmissions of the set-up would arrive after it.
func TestDrainDuringSetUp(t *testing.T) {
	setups, answered := 0, 0
	for _, grace := range []time.Duration{250 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, front := range []string{"iax2", "m3ua"} {
			for offset := -3 * time.Millisecond; offset <= 3*time.Millisecond; offset += 250 * time.Microsecond {
				for _, cut := range []time.Duration{0, grace / 2, grace - time.Millisecond, grace, grace + time.Millisecond} {
					s, err := ParseScript("drain.toml", fmt.Appendf(nil, "length = \"4s\"\n[fleet]\nexchanges = 2\nfront = %q\n"+
						"drain_grace = %q\naccept_delay = \"50ms\"\nlist_lag = \"0s\"\nsame_delay = \"2ms\"\n[load]\nrate = 0.001\nredials = 0\n%s",
						front, grace, classTable))
					if err != nil {
						t.Fatal(err)
					}
					c := &rules.Checker{Exact: true, KeepTries: true}
					env, err := startVirtualFleet(s, capture.NewSink(c.Packet), VirtualOptions{})
					if err != nil {
						t.Fatal(err)
					}
					at := env.world.Now() + 100*time.Millisecond
					env.world.At(at, func() { env.fleet.setPhase(1, "draining") })
					env.world.At(at+offset, func() { env.fleet.callers[0].Dial(1) })
					if cut > 0 {
						lossy := env.fleet.linkFaults(0, 1)
						lossy.LossRate = 1
						env.world.At(at+offset, func() { env.fleet.links[[2]int{0, 1}].Set(lossy) })
						env.world.At(at+cut, func() { env.fleet.links[[2]int{0, 1}].Set(env.fleet.linkFaults(0, 1)) })
					}
					env.world.Run(at + 6*time.Second)
					rep := c.Report()
					setups += rep.Attempts
					answered += rep.Count(rules.Answered)
					if len(rep.Violations) > 0 || rep.Count(rules.Answered)+rep.Count(rules.Refused)+rep.Count(rules.Failed) != 1 {
						t.Errorf("grace %v, %s, set-up %v after the drain, link lost until %v: %v, outcomes %v", grace, front, offset, cut,
							rep.Violations, rep.Outcomes)
					}
					env.fleet.removeDataDir()
				}
			}
		}
	}
	if setups < 100 || answered == 0 {
		t.Errorf("%d set-ups were sent, %d calls answered: too few for the test to be conclusive", setups, answered)
	}
}
