package platform

import (
	"strings"
	"testing"
	"time"

	"pipitring/internal/jsonl"
)

// TestCallsAnsweredBeforeKill checks that every call has its final answer when SIGKILL may come: 0.7 s after the
// longest class deadline, of which at most 3 s count. After SIGTERM transit calls keep arriving, none of which the
// switch answers, and a standing call keeps the process running.
func TestCallsAnsweredBeforeKill(t *testing.T) {
	for _, c := range []struct {
		deadlines [2]string // of classes voice and alarm
		kill      time.Duration
	}{{[2]string{"3", "2"}, 3700 * ms}, {[2]string{"9", "2"}, 3700 * ms}, {[2]string{"0.9", "1.2"}, 1900 * ms}} {
		text := strings.Replace(config, `"deadlineS":3`, `"deadlineS":`+c.deadlines[0], 1)
		text = strings.Replace(text, `"deadlineS":2`, `"deadlineS":`+c.deadlines[1], 1)
		h := newHarnessWithConfig(t, text)
		for _, d := range h.takeDials() {
			h.connect(d)
		}
		p, sw := h.accept(), h.switchConns[1]
		transitSetUp := func(n int) string { return strings.Replace(setUp(n, 1, ";transit:1"), `"1500"`, `"9000"`, 1) }
		h.receiveLines(p, transitSetUp(1), setUp(500, 1, ""))
		h.receiveLines(sw, up(500)) // stands until the end
		h.Shutdown(h.clock)
		stoppedAt, n := h.clock, 1
		for h.clock < stoppedAt+c.kill-50*ms {
			h.advance(50 * ms)
			n++
			h.receiveLines(p, transitSetUp(n))
		}
		answered, refused := map[string]int{}, 0
		for _, m := range h.takeLines(p) {
			answered[m.Ref]++
			if m.Cause == jsonl.CauseCongestion {
				refused++
			}
		}
		for i := 1; i <= n; i++ {
			if answered[ref(i)] != 1 {
				t.Errorf("deadlines %v: of %d calls number %d had %d answers before SIGKILL", c.deadlines, n, i, answered[ref(i)])
			}
		}
		if refused == n {
			t.Error("all calls refused although there was time to set some up")
		}
		h.receiveLines(p, transitSetUp(n+1)) // in case SIGKILL comes late
		h.expectLines(p, "down "+strings.TrimLeft(ref(n+1), "0")+" 42")
	}
}
