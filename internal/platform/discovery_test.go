package platform

import (
	"testing"
	"time"

	"pipitring/decide"
	"pipitring/internal/coordinator"
)

// lateCoordinator answers on each connection only after a delay, with all events that the proxy lacks.
type lateCoordinator struct {
	*harness
	delay     time.Duration
	answerAt  map[ConnID]time.Duration
	connected int
}

// runFor plays the coordinator and connects every dial to it, until drained is true or the time is over. It reports
// whether switch 1 is known to drain.
func (l *lateCoordinator) runFor(d time.Duration) (drained bool) {
	drain := coordinator.AppendFrame(nil, coordinator.Event{Index: 2, Entries: []coordinator.Entry{entry(1, 1, 2, decide.Draining)}})
	for until := l.clock + d; l.clock < until && !drained; l.advance(10 * ms) {
		for _, dial := range l.takeDials() {
			if dial.To.Port() == 7070 {
				l.connected++
				l.Connected(l.clock, dial.Conn)
				l.answerAt[dial.Conn] = l.clock + l.delay
			}
		}
		for id, at := range l.answerAt {
			if l.clock >= at && !l.closed[id] {
				l.Receive(l.clock, id, drain)
				delete(l.answerAt, id)
			}
		}
		drained = l.Core.switches[1].phase == decide.Draining
	}
	return drained
}

// TestLateCoordinatorIsHeard guards against set-ups to a draining switch: a coordinator that answers late was never heard,
// as each connection to it was closed before its first answer.
func TestLateCoordinatorIsHeard(t *testing.T) {
	for _, delay := range []time.Duration{2200 * ms, 2500 * ms, 3 * time.Second, 5 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			l := &lateCoordinator{harness: newHarness(t), delay: delay, answerAt: map[ConnID]time.Duration{}}
			if !l.runFor(15 * time.Second) {
				t.Fatalf("the drain is not known after 15 s and %d connections", l.connected)
			}
		})
	}
}

// TestSilentCoordinatorIsReplaced checks that a coordinator that sends nothing is asked again within the 4 s after which
// what it would have told counts as told, also after one that was late.
func TestSilentCoordinatorIsReplaced(t *testing.T) {
	l := &lateCoordinator{harness: newHarness(t), delay: 2500 * ms, answerAt: map[ConnID]time.Duration{}}
	if !l.runFor(15 * time.Second) {
		t.Fatal("the late coordinator is not heard")
	}
	before := l.connected
	l.delay = time.Hour
	l.advance(4 * time.Second)
	if l.runFor(10 * ms); l.connected == before {
		t.Fatal("the silent coordinator is not asked again")
	}
}
