package platform

import (
	"strings"
	"testing"
	"time"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
)

// tellRestart sends a list event with a later start time of switch 1.
func (h *harness) tellRestart() {
	restarted := entry(1, 1, 2, decide.Ready)
	restarted.Started = 1_700_000_000_000
	h.updateList(2, restarted)
}

// newCallsAcrossRestart returns a harness in which call 1 of caller p was set up before switch 1 restarted, and call 2 on
// a link to its new process. The link of call 1 is reset if reset is set, else half-open.
func newCallsAcrossRestart(t *testing.T, reset bool) (h *harness, p, before, after ConnID) {
	t.Helper()
	h = newConnectedHarness(t)
	p = newStandingCall(h)
	h.advance(100 * ms)
	before, after = h.newSecondLink()
	if reset {
		h.Closed(h.clock, before)
	} else {
		h.Core.links[before].halfOpen = true // set-ups go to the other link
	}
	h.receiveLines(p, setUp(2, 1, ""))
	h.receiveLines(after, up(2))
	h.expectLines(p, "up 2")
	return h, p, before, after
}

// TestCallsBeforeRestartEndBesideOpenLink guards against calls left standing: the list's new start time ended no call
// while a link was open, although that was one to the new process.
func TestCallsBeforeRestartEndBesideOpenLink(t *testing.T) {
	for name, reset := range map[string]bool{"link before is reset": true, "link before is half-open": false} {
		t.Run(name, func(t *testing.T) {
			h, p, before, after := newCallsAcrossRestart(t, reset)
			h.tellRestart()
			if h.answerHeartbeats(after) != 1 {
				t.Fatal("no heartbeat on the link to the new process")
			}
			h.advance(maxResponseDelay)
			h.expectLines(p, "down 1 41")
			if !reset && !h.closed[before] {
				t.Fatal("link to the previous process stays open")
			}
			h.receiveLines(after, down(2, 16, ""))
			h.expectLines(p, "down 2 16")
			h.expectIdle()
		})
	}
}

// TestCallsAfterRestartStand guards against calls cut at a process that runs: a new start time that is told late ends no
// call that was set up on a link which answers a heartbeat.
func TestCallsAfterRestartStand(t *testing.T) {
	h := newConnectedHarness(t)
	p := newStandingCall(h)
	h.tellRestart()
	if h.answerHeartbeats(h.switchConns[1]) != 1 {
		t.Fatal("no heartbeat on the only link")
	}
	h.advance(2 * maxResponseDelay)
	h.expectLines(p)
	h.receiveLines(h.switchConns[1], down(1, 16, ""))
	h.expectLines(p, "down 1 16")
}

// TestCallsEndWhenNoLinkAnswersAfterRestart guards against calls left standing: no link answers after a new start time,
// so that all of them belong to the previous process.
func TestCallsEndWhenNoLinkAnswersAfterRestart(t *testing.T) {
	h := newConnectedHarness(t)
	p := newStandingCall(h)
	h.tellRestart()
	h.advance(maxResponseDelay + time.Millisecond)
	h.expectLines(p, "down 1 41")
	h.expectIdle()
}

// TestAdoptedCallsEndAtRestart guards against calls left standing: a call that was adopted counted as set up when it was
// named, so that one named after the link to the new process was established outlived the restart.
func TestAdoptedCallsEndAtRestart(t *testing.T) {
	h := newConnectedHarness(t)
	p := h.accept()
	h.receiveLines(p, setUp(3, 1, ";at:s-00000001"))
	h.advance(100 * ms)
	before, after := h.newSecondLink()
	h.Closed(h.clock, before)
	h.advance(100 * ms)
	h.receiveLines(p, setUp(4, 1, ";at:s-00000001"))
	h.tellRestart()
	h.expectLines(p, "down 3 41", "down 4 41")
	h.answerHeartbeats(after)
	h.expectIdle()
}

// TestCallNamedAfterEndOfItsProcessIsOver guards against calls left standing: a call named by "at" was adopted although the
// list had told the end of its process, and was never released.
func TestCallNamedAfterEndOfItsProcessIsOver(t *testing.T) {
	removed, back, newID := entry(1, 1, 2, decide.Removed), entry(1, 1, 2, decide.Ready), entry(5, 1, 2, decide.Ready)
	restarted := entry(1, 1, 2, decide.Ready)
	restarted.Started = 1_700_000_000_000
	for name, c := range map[string]struct {
		callStands bool // keeps a removed switch known
		events     []coordinator.Entry
	}{
		"restarted":          {false, []coordinator.Entry{restarted}},
		"removed":            {true, []coordinator.Entry{removed}},
		"replaced":           {true, []coordinator.Entry{newID}},
		"removed and back":   {true, []coordinator.Entry{removed, back}},
		"forgotten and back": {false, []coordinator.Entry{removed, back}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newConnectedHarness(t)
			p := h.accept()
			if c.callStands {
				p = newStandingCall(h)
			}
			for i, e := range c.events {
				h.updateList(uint64(i+2), e)
			}
			h.receiveLines(p, setUp(3, 1, ";at:s-00000001"))
			h.expectLines(p, "down 3 41")
		})
	}
}

// TestDepartedSwitchesAreForgotten guards against growing memory: removed switches are remembered for a limited time.
func TestDepartedSwitchesAreForgotten(t *testing.T) {
	h := newConnectedHarness(t)
	h.updateList(2, entry(1, 1, 2, decide.Removed))
	h.advance(adoptedCallLifetime + time.Second)
	if n := len(h.departedSwitches.entries); n != 0 {
		t.Fatalf("%d departed switches remembered", n)
	}
}

// TestCallNamedLongAfterRestartStands guards against calls cut at a process that runs: after the time for which an adopted
// call is kept, a restart no longer says anything of calls that callers name.
func TestCallNamedLongAfterRestartStands(t *testing.T) {
	h := newConnectedHarness(t)
	h.tellRestart()
	h.advance(adoptedCallLifetime)
	p := h.accept()
	h.receiveLines(p, setUp(3, 1, ";at:s-00000001"))
	h.expectLines(p)
}

// TestCallNamedAfterRestartKnownAtStartStands guards against calls cut at a process that runs: a start time in the list at
// the proxy's start says nothing of calls that may have been set up after it.
func TestCallNamedAfterRestartKnownAtStartStands(t *testing.T) {
	text := strings.Replace(config, `"index":1,"updates"`, `"index":2,"updates"`, 1)
	text = strings.Replace(text, `"startedAtMs":0}]}}]},`, `"startedAtMs":0}]}},{"index":2,"endpoints":{"reset":false,"instances":[
		{"instanceId":"s-00000001","hostPort":"127.0.1.2:5060","zone":"a","cell":1,"lifecycle":"Ready","startedAtMs":1699999990000}]}}]},`, 1)
	h := newHarnessWithConfig(t, text)
	p := h.accept()
	h.receiveLines(p, setUp(3, 1, ";at:s-00000001"))
	h.expectLines(p)
}

// TestCallsOfReplacedSwitchEndBesideOpenLink guards against calls left standing: a link to the new process at the address
// of a vanished switch counted as one to the vanished process, so that its removal or replacement ended no call.
func TestCallsOfReplacedSwitchEndBesideOpenLink(t *testing.T) {
	removed, newID := entry(1, 1, 2, decide.Removed), entry(5, 1, 2, decide.Ready)
	for name, entries := range map[string][]coordinator.Entry{
		"removed": {removed}, "address given to another": {newID}, "removed and address given to another": {removed, newID},
	} {
		t.Run(name, func(t *testing.T) {
			h, p, before, after := newCallsAcrossRestart(t, false)
			h.takeDials()
			h.updateList(2, entries...)
			if h.answerHeartbeats(after) != 1 {
				t.Fatal("no heartbeat on the link to the new process")
			}
			h.advance(maxResponseDelay)
			h.expectLines(p, "down 1 41")
			if !h.closed[before] {
				t.Fatal("link to the vanished process stays open")
			}
			h.receiveLines(after, down(2, 16, ""))
			h.expectLines(p, "down 2 16")
			h.expectIdle()
		})
	}
}

// TestProcessCheckEndsOnceAllLinksAreDecided checks that calls of the previous process are released at once when each link
// has answered or has closed, and not only after the longest response time.
func TestProcessCheckEndsOnceAllLinksAreDecided(t *testing.T) {
	h, p, before, after := newCallsAcrossRestart(t, false)
	h.tellRestart()
	h.answerHeartbeats(after)
	h.expectLines(p)
	h.Closed(h.clock, before)
	h.collectOutputs()
	h.expectLines(p, "down 1 41")
}

// TestFurtherChangeDoesNotPutOffRelease guards against calls released late: each further change that the list told while
// a process check ran began the check anew.
func TestFurtherChangeDoesNotPutOffRelease(t *testing.T) {
	h := newConnectedHarness(t)
	p := newStandingCall(h)
	_, after := h.newSecondLink()
	h.tellRestart()
	h.answerHeartbeats(after)
	h.advance(maxResponseDelay / 2)
	again := entry(1, 1, 2, decide.Ready)
	again.Started = 1_700_000_001_000
	h.updateList(3, again)
	h.answerHeartbeats(after)
	h.advance(maxResponseDelay / 2)
	h.expectLines(p, "down 1 41")
}

// replaceSwitch sends a list event by which switch 5 has the address of switch 1, which is removed.
func (h *harness) replaceSwitch() {
	h.updateList(2, entry(1, 1, 2, decide.Removed), entry(5, 1, 2, decide.Ready))
}

// connectSwitches establishes the pending links to switches and returns the newest.
func (h *harness) connectSwitches() (newest ConnID) {
	h.t.Helper()
	for _, d := range h.takeDials() {
		if d.To.Port() != 7070 {
			h.connect(d)
			newest = d.Conn
		}
	}
	if newest == 0 {
		h.t.Fatalf("no dial to a switch")
	}
	return newest
}

// TestReleaseOfCallSetUpUnderFormerID guards against calls left standing: a call was set up at a new process under the ID
// of the switch that had its address before, and its release was ignored on a link of the new ID.
func TestReleaseOfCallSetUpUnderFormerID(t *testing.T) {
	for name, answeredLate := range map[string]bool{"answered before the replacement is told": false, "answered after": true} {
		t.Run(name, func(t *testing.T) {
			h, p, _, after := newCallsAcrossRestart(t, true)
			if answeredLate {
				h.receiveLines(p, setUp(3, 1, ""))
			}
			h.takeDials()
			h.replaceSwitch()
			h.answerHeartbeats(after)
			h.expectLines(p, "down 1 41")
			if answeredLate {
				h.receiveLines(after, up(3))
				h.expectLines(p, "up 3")
			}
			newest := h.connectSwitches()
			h.Closed(h.clock, after)
			h.advance(2 * maxResponseDelay)
			h.receiveLines(newest, down(2, 16, ""))
			h.expectLines(p, "down 2 16")
			if answeredLate {
				h.receiveLines(newest, down(3, 16, ""))
				h.expectLines(p, "down 3 16")
			}
			h.expectIdle()
			if len(h.Core.switches) != 3 {
				t.Fatalf("%d switches known", len(h.Core.switches))
			}
		})
	}
}

// TestDialUnderWayBelongsToNewSwitch guards against releases that are lost: a dial under way to the address of a switch
// that is replaced meanwhile was closed unread, although the new switch may send its releases on that link alone.
func TestDialUnderWayBelongsToNewSwitch(t *testing.T) {
	h := newConnectedHarness(t)
	h.Closed(h.clock, h.switchConns[1])
	dials := h.takeDials()
	h.replaceSwitch()
	p := h.accept()
	h.receiveLines(p, setUp(3, 1, ";at:s-00000005"))
	h.connect(dials[0])
	h.receiveLines(dials[0].Conn, down(3, 16, ""))
	h.expectLines(p, "down 3 16")
	if h.closed[dials[0].Conn] {
		t.Fatal("link to the new switch closed")
	}
	if d := h.takeDials(); len(d) != 0 {
		t.Fatalf("%d more dials", len(d))
	}
}

// TestSetUpWaitsForLinkToPresentProcess checks that no set-up is sent on a link that may be to a process that has ended
// while another link is opened, and that one is sent on it as soon as the present process has answered there.
func TestSetUpWaitsForLinkToPresentProcess(t *testing.T) {
	for name, answers := range map[string]bool{"link to the previous process": false, "link to the present process": true} {
		t.Run(name, func(t *testing.T) {
			h := newConnectedHarness(t)
			p, handedOver := newStandingCall(h), h.switchConns[1]
			h.takeLines(handedOver)
			h.takeDials()
			h.replaceSwitch()
			h.receiveLines(h.switchConns[2], `{"t":"gauge","f":{"load":"idle:10;circuits:10"}}`)
			h.receiveLines(p, setUp(2, 1, ""))
			if answers {
				h.answerHeartbeats(handedOver)
				h.expectLines(handedOver, "new 2")
				return
			}
			newest := h.connectSwitches()
			h.expectLines(newest, "new 2")
			h.advance(maxResponseDelay)
			h.expectLines(p, "down 1 41")
			if m := h.takeLines(handedOver); len(m) != 1 || m[0].Type != jsonl.TypeHeartbeat {
				t.Fatalf("link to the previous process got %+v, want one heartbeat", m)
			}
		})
	}
}
