package call

import (
	"fmt"
	"testing"
	"time"
)

// The answer, a release by the far end, the attempt's time-out and the caller's hang-up occur at the same
// instant, in every order, with and without waiting for the record. The caller gets at most one release and
// nothing after it, and there is one final record.
func TestSameInstantInEveryOrder(t *testing.T) {
	for _, timeout := range []time.Duration{0, 30 * ms} {
		for _, order := range permutations(4) {
			b := newHarness(t, map[int]int{1: 4, 2: 4, 3: 4})
			b.settings.DurableTimeout = timeout
			in, o := b.offer("15")
			at, ok := b.Next()
			if !ok {
				t.Fatal("no time-out is due")
			}
			for k := range b.legs { // the attempt's own time limit, even if another timer is due earlier
				if l := b.legs[k]; l.call != nil && l.call.attemptTimer.Running() {
					at = l.call.attemptTimer.At()
				}
			}
			b.now = at
			for _, what := range order {
				switch what {
				case 0:
					b.Answered(b.now, o.Leg)
				case 1:
					b.Released(b.now, o.Leg, UserBusy)
				case 2:
					b.Advance(b.now)
				case 3:
					b.Released(b.now, in, NormalClearing)
				}
			}
			out := b.takeOutputs()
			b.MarkDurable(b.now, 1000)
			out = append(out, b.takeOutputs()...)
			b.advanceClock(20 * time.Second)
			out = append(out, b.takeOutputs()...)
			answers, releases := 0, 0
			for _, x := range out {
				switch {
				case x.Leg == in && x.Kind == Answer:
					answers++
					if releases > 0 {
						t.Errorf("durable timeout %v, order %v: answered after its end: %v", timeout, order, outputKinds(out))
					}
				case x.Leg == in && x.Kind == Release:
					releases++
				}
			}
			if answers > 1 || releases > 1 {
				t.Errorf("durable timeout %v, order %v: %d answers, %d releases to the caller", timeout, order, answers, releases)
			}
			for _, x := range out {
				if x.Kind == Connect {
					b.Closed(b.now, x.Leg)
				}
			}
			b.Closed(b.now, in)
			b.Closed(b.now, o.Leg)
			b.advanceClock(20 * time.Second)
			ends := 0
			for _, r := range b.Records {
				if r.Kind == FinalRecord {
					ends++
				}
			}
			if ends != 1 || b.OpenCalls()+b.Legs()+b.PendingAnswers()+b.Timers() != 0 || b.Stats.Overdue+b.Stats.ActionFaults != 0 {
				t.Errorf("durable timeout %v, order %v: %d final records; %s", timeout, order, ends,
					fmt.Sprint(b.OpenCalls(), " calls, ", b.Legs(), " legs, ", b.PendingAnswers(), " held, ", b.Timers(), " timers ", b.Stats))
			}
		}
	}
}

func permutations(n int) (out [][]int) {
	if n == 0 {
		return [][]int{nil}
	}
	for _, p := range permutations(n - 1) {
		for i := 0; i <= len(p); i++ {
			q := append(append(append([]int{}, p[:i]...), n-1), p[i:]...)
			out = append(out, q)
		}
	}
	return out
}
