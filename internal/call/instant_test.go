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
			h := newHarness(t, map[int]int{1: 4, 2: 4, 3: 4})
			h.settings.DurableTimeout = timeout
			in, o := h.offer("15")
			at, ok := h.Next()
			if !ok {
				t.Fatal("no time-out is due")
			}
			for k := range h.legs { // the attempt's own time limit, even if another timer is due earlier
				if l := h.legs[k]; l.call != nil && l.call.attemptTimer.Running() {
					at = l.call.attemptTimer.At()
				}
			}
			h.now = at
			for _, what := range order {
				switch what {
				case 0:
					h.Answered(h.now, o.Leg)
				case 1:
					h.Released(h.now, o.Leg, UserBusy)
				case 2:
					h.Advance(h.now)
				case 3:
					h.Released(h.now, in, NormalClearing)
				}
			}
			out := h.takeOutputs()
			h.MarkDurable(h.now, 1000)
			out = append(out, h.takeOutputs()...)
			h.advanceClock(20 * time.Second)
			out = append(out, h.takeOutputs()...)
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
					h.Closed(h.now, x.Leg)
				}
			}
			h.Closed(h.now, in)
			h.Closed(h.now, o.Leg)
			h.advanceClock(20 * time.Second)
			ends := 0
			for _, r := range h.Records {
				if r.Kind == FinalRecord {
					ends++
				}
			}
			if ends != 1 || h.OpenCalls()+h.Legs()+h.PendingAnswers()+h.Timers() != 0 || h.Stats.Overdue+h.Stats.ActionFaults != 0 {
				t.Errorf("durable timeout %v, order %v: %d final records; %s", timeout, order, ends,
					fmt.Sprint(h.OpenCalls(), " calls, ", h.Legs(), " legs, ", h.PendingAnswers(), " held, ", h.Timers(), " timers ", h.Stats))
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
