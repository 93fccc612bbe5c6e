package platform

import (
	"testing"
	"time"
)

// vanishedSwitch is a harness in which a call stands at switch 1 whose machine vanishes, and returns before the calls of
// a vanished machine are over.
type vanishedSwitch struct {
	*harness
	caller, before, after ConnID
	vanishedAt            time.Duration
}

// newReturnedSwitch returns a switch that has returned; a call of it stands since before, and another one since then.
func newReturnedSwitch(t *testing.T) *vanishedSwitch {
	t.Helper()
	h := newConnectedHarness(t)
	v := &vanishedSwitch{harness: h, caller: newStandingCall(h), before: h.switchConns[1], vanishedAt: h.clock}
	h.failDials(DialTimedOut, 3*time.Second, v.caller)
	for len(h.pendingDials) == 0 {
		h.advance(10 * ms)
	}
	v.after = h.connectSwitches()
	h.receiveLines(v.caller, setUp(2, 1, ""))
	h.receiveLines(v.after, up(2))
	h.expectLines(v.caller, "up 2")
	return v
}

// runFor plays a time in which the switch reports on the new link. It ends once a line to the caller is written.
func (v *vanishedSwitch) runFor(d time.Duration) {
	for until := v.clock + d; v.clock < until && len(v.written[v.caller]) == 0; v.advance(100 * ms) {
		v.receiveLines(v.after, `{"t":"gauge","f":{"load":"idle:9;circuits:10"}}`)
	}
}

// TestCallsEndIfAnotherProcessReturns guards against calls left standing: a new process comes up at the address of a
// vanished machine before its calls are over, and counts as the previous process while the list says nothing.
func TestCallsEndIfAnotherProcessReturns(t *testing.T) {
	v := newReturnedSwitch(t)
	v.runFor(10 * time.Second)
	v.expectLines(v.caller, "down 1 41")
	if after := v.clock - v.vanishedAt; after > releaseLifetime {
		t.Fatalf("call released %v after its end", after)
	}
	if !v.closed[v.before] {
		t.Fatal("link to the vanished process stays open")
	}
	v.receiveLines(v.after, down(2, 16, ""))
	v.expectLines(v.caller, "down 2 16")
	v.expectIdle()
}

// TestCallsEndIfAnotherSwitchReturns guards against calls left standing: as before, and the list tells of a new switch at
// the address so late that the process check ends after the calls are due.
func TestCallsEndIfAnotherSwitchReturns(t *testing.T) {
	v := newReturnedSwitch(t)
	v.runFor(v.vanishedAt + 7*time.Second - v.clock)
	v.replaceSwitch()
	v.runFor(10 * time.Second)
	v.expectLines(v.caller, "down 1 41")
	if after := v.clock - v.vanishedAt; after > releaseLifetime {
		t.Fatalf("call released %v after its end", after)
	}
}

// TestCallsStandIfSameProcessReturns guards against calls cut at a process that runs: a machine that was cut off returns,
// and its process sends on the earlier link.
func TestCallsStandIfSameProcessReturns(t *testing.T) {
	v := newReturnedSwitch(t)
	v.runFor(2 * time.Second) // the earlier link is half-open until the machine has noticed the end of the cut
	if v.closed[v.before] {
		t.Fatal("earlier link is closed")
	}
	if v.answerHeartbeats(v.before) == 0 {
		t.Fatal("no heartbeat on the earlier link")
	}
	v.runFor(10 * time.Second)
	v.expectLines(v.caller)
	v.receiveLines(v.after, down(1, 16, ""))
	v.expectLines(v.caller, "down 1 16")
}

// TestSlowAcceptStartsNoReturnCheck guards against calls cut at a process that runs: it resets its only link and accepts
// the next one late.
func TestSlowAcceptStartsNoReturnCheck(t *testing.T) {
	h := newConnectedHarness(t)
	p := newStandingCall(h)
	h.advance(time.Second)
	h.Closed(h.clock, h.switchConns[1])
	h.failDials(DialTimedOut, 50*ms, p)
	for len(h.pendingDials) == 0 {
		h.advance(10 * ms)
	}
	v := &vanishedSwitch{harness: h, caller: p, after: h.connectSwitches()}
	v.runFor(10 * time.Second)
	h.expectLines(p)
}
