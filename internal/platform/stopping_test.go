package platform

import (
	"strings"
	"testing"
	"time"

	"pipitring/internal/jsonl"
)

// TestEveryCallHasItsAnswerBeforeTheProcessMayBeKilled: calls in transit go on coming after SIGTERM for as long as the process
// runs, as calls stand, and the switch answers none of them. SIGKILL may come the longest deadline, 3 s at most, and 0.7 s
// after SIGTERM.
func TestEveryCallHasItsAnswerBeforeTheProcessMayBeKilled(t *testing.T) {
	for _, c := range []struct {
		deadlines [2]string // of voice and alarm
		kill      time.Duration
	}{{[2]string{"3", "2"}, 3700 * ms}, {[2]string{"9", "2"}, 3700 * ms}, {[2]string{"0.9", "1.2"}, 1900 * ms}} {
		text := strings.Replace(config, `"deadlineS":3`, `"deadlineS":`+c.deadlines[0], 1)
		text = strings.Replace(text, `"deadlineS":2`, `"deadlineS":`+c.deadlines[1], 1)
		b := bedOf(t, text)
		for _, d := range b.dialled() {
			b.connect(d)
		}
		p, sw := b.accept(), b.switches[1]
		long := func(n int) string { return strings.Replace(setUp(n, 1, ";transit:1"), `"1500"`, `"9000"`, 1) }
		b.send(p, long(1), setUp(500, 1, ""))
		b.send(sw, up(500)) // it stands to the end
		b.Stop(b.at)
		stop, n := b.at, 1
		for b.at < stop+c.kill-50*ms {
			b.pass(50 * ms)
			n++
			b.send(p, long(n))
		}
		answered, refused := map[string]int{}, 0
		for _, m := range b.got(p) {
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
			t.Error("all are refused, though there was time")
		}
		b.send(p, long(n+1)) // SIGKILL is late
		b.want(p, "down "+strings.TrimLeft(ref(n+1), "0")+" 42")
	}
}
