package platform

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
)

func TestConfigErrorsNameTheKey(t *testing.T) {
	for _, c := range [][3]string{
		{`"127.0.0.1:5060","seed"`, `"here","seed"`, "listen"}, {`127.0.0.2:7070`, `127.0.0.2`, "coordinator"},
		{`8c1f30d27a5be964`, `x`, "seed"}, {`"sockets":256`, `"sockets":3`, "limits.sockets"},
		{`"holdingS":[1,1]`, `"holdingS":[1]`, "familyInfo.holdingS"}, {`s-00000001`, `s-1`, "known.updates[0].endpoints.instances[1]"},
		{`"settings":`, `"setting":`, "settings"}, {`{"name"`, `"name"`, "configuration"},
	} {
		if _, err := ParseConfig([]byte(strings.Replace(config, c[0], c[1], 1))); err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s: error %v", c[2], err)
		}
	}
}

func TestCallForwardedAndReleased(t *testing.T) {
	h := newConnectedHarness(t)
	p, sw := h.accept(), h.switchConns[1]
	h.receiveLines(p, setUp(1, 1, ""))
	m := h.expectLines(sw, "new 1")[0]
	if string(m.Description) != description || len(m.Fields) != 3 || m.Fields["class"] != "voice" || m.Fields["key"] != "7f3a9c21e0b4d601" || m.Fields["left"] != "1495" {
		t.Fatalf("sent to the switch: %+v %s", m.Fields, m.Description)
	}
	h.advance(30 * ms)
	h.receiveLines(sw, up(1))
	if m := h.expectLines(p, "up 1")[0]; string(m.Description) != `"answer 1"` {
		t.Fatalf("answer %s", m.Description)
	}
	h.receiveLines(sw, up(1)) // a duplicate is ignored
	h.advance(5 * time.Second)
	h.expectLines(p)
	h.receiveLines(sw, down(1, 16, ""))
	h.expectLines(p, "down 1 16")
	h.receiveLines(sw, down(1, 16, "")) // repeated on a later link
	h.expectLines(p)
	h.receiveLines(p, setUp(2, 1, ""))
	h.receiveLines(sw, up(2))
	q := h.accept()
	h.receiveLines(q, down(2, 16, "")) // a standing call may be released on any connection
	h.expectLines(sw, "new 2", "down 2 16")
	h.expectLines(p, "up 2")
	h.expectLines(q)
	h.expectIdle()
}

// TestReleaseBeforeAnswer checks the outcome and cause that the decision module gets for a release before the answer,
// and that after one because of busy lines the caller gets its final answer.
func TestReleaseBeforeAnswer(t *testing.T) {
	for _, c := range []struct {
		cause   int
		note    string
		outcome decide.Outcome
		want    decide.Cause
	}{
		{34, "blocked", decide.Rejected, decide.NoCircuit}, {34, "bounced", decide.Rejected, decide.TandemRejected},
		{34, "far_swamped", decide.Rejected, decide.TandemRejectedFull}, {34, "swamped", decide.Rejected, decide.ProcessorFull},
		{17, "occupied", decide.Busy, decide.LinesBusy}, {47, "", decide.Busy, decide.CauseUnknown},
		{102, "blocked", decide.NotSent, decide.NoCircuit}, {41, "", decide.Cut, decide.CauseUnknown}, {16, "", decide.Cut, decide.CauseUnknown},
	} {
		m, err := jsonl.Parse([]byte(down(1, c.cause, c.note)))
		if o, cause := releaseOutcome(&m); err != nil || o != c.outcome || cause != c.want {
			t.Errorf("%d %s: %v %v", c.cause, c.note, o, cause)
		}
	}
	h := newConnectedHarness(t)
	p := h.accept()
	h.receiveLines(p, setUp(1, 1, ""))
	h.receiveLines(h.switchConns[1], down(1, 17, "occupied"))
	if m := h.expectLines(p, "down 1 42")[0]; m.Fields["wait"] == "" {
		t.Fatal("no retry-after time")
	}
	h.expectIdle()
}

// TestRetryDelayAfterReset checks that a call whose attempt was cut is not sent again before the release guard of 150
// ms has passed.
func TestRetryDelayAfterReset(t *testing.T) {
	h := newConnectedHarness(t)
	p := h.accept()
	h.receiveLines(p, setUp(1, 1, ""))
	h.expectLines(h.switchConns[1], "new 1")
	h.Closed(h.clock, h.switchConns[1])
	h.collectOutputs()
	for _, d := range h.takeDials() {
		h.connect(d)
	}
	h.advance(149 * ms)
	h.expectLines(h.switchConns[1])
	h.expectLines(h.switchConns[2])
	h.advance(100 * ms)
	if n := len(h.takeLines(h.switchConns[1])) + len(h.takeLines(h.switchConns[2])) + len(h.takeLines(p)); n != 1 {
		t.Fatalf("%d lines after the wait, want the next attempt or the answer", n)
	}
}

func TestAnswerBeforeCallerDeadline(t *testing.T) {
	h := newConnectedHarness(t)
	p := h.accept()
	h.receiveLines(p, setUp(1, 1, ""))
	h.expectLines(h.switchConns[1], "new 1")
	h.advance(1494 * ms)
	h.expectLines(p)
	h.advance(ms)
	h.expectLines(p, "down 1 41")
	h.expectLines(h.switchConns[1], "down 1 16")
	h.receiveLines(h.switchConns[1], up(1)) // an answer that crosses the cancellation
	h.expectLines(p)
	h.expectIdle()
}

func TestAbandonedCallCancelsAttempt(t *testing.T) {
	for name, leave := range map[string]func(h *harness, p ConnID){
		"says so": func(h *harness, p ConnID) { h.receiveLines(p, down(1, 16, "")) },
		"closes":  func(h *harness, p ConnID) { h.Closed(h.clock, p); h.collectOutputs() },
	} {
		h := newConnectedHarness(t)
		p := h.accept()
		h.receiveLines(p, setUp(1, 1, ""))
		h.advance(20 * ms)
		leave(h, p)
		h.expectLines(h.switchConns[1], "new 1", "down 1 16")
		h.receiveLines(h.switchConns[1], up(1))
		h.expectLines(p)
		h.expectIdle()
		if h.Stats.Abandoned != 1 {
			t.Errorf("%s: %+v", name, h.Stats)
		}
	}
}

// TestAbandonmentAtDeadlineIsTimeout checks that an attempt to a switch that does not respond is reported as timed out
// even if the caller's clock is slightly ahead of the proxy's.
func TestAbandonmentAtDeadlineIsTimeout(t *testing.T) {
	for at, want := range map[time.Duration]decide.Outcome{1000 * ms: decide.Cancelled, 1490 * ms: decide.TimedOut} {
		h := newConnectedHarness(t)
		p := h.accept()
		h.receiveLines(p, setUp(1, 1, ""))
		h.receiveLines(h.switchConns[1], gauge)
		h.advance(at)
		h.receiveLines(p, down(1, 16, ""))
		h.expectLines(h.switchConns[1], "new 1", "down 1 16")
		if h.Stats.AttemptOutcomes[want] != 1 {
			t.Errorf("abandoned after %v: outcomes %v, want one of kind %d", at, h.Stats.AttemptOutcomes, want)
		}
		h.expectIdle()
	}
}

func TestInvalidCallerInput(t *testing.T) {
	for _, c := range []struct {
		line   string
		answer bool // a failure with the line's reference
		closed bool
	}{
		{`what`, false, true}, {`{"t":"new","ref":"1"}`, false, true}, {strings.Repeat("x", jsonl.MaxLine+1), false, true},
		{`{"t":"step","ref":"0000000000000001"}`, true, true},
		{`{"t":"new","ref":"0000000000000001","f":7}`, true, true},
		{strings.Replace(setUp(1, 1, ""), "voice", "fax", 1), true, false},
		{strings.Replace(setUp(1, 1, ""), "1500", "-5", 1), true, false},
		{strings.Replace(setUp(1, 1, ""), "1500", "1e999", 1), true, false},
		{strings.Replace(setUp(1, 1, ""), "1500", "99999999999999999999", 1), true, false},
		{strings.Replace(setUp(1, 1, ""), "7f3a", "zz", 1), true, false},
		{setUp(1, 1, ";dest:nine"), true, false}, {setUp(1, 1, ";width:0"), true, false}, {setUp(1, 70000, ""), true, false},
		{setUp(1, 1, ";at:s-1"), true, false}, {setUp(1, 1, ";at:s-99999999"), true, false},
		{strings.Replace(setUp(1, 1, ""), description, `"\udc00"`, 1), true, true},
		{strings.Replace(setUp(1, 1, ""), `,"d":`+description, ``, 1), true, false},
		{strings.Replace(setUp(1, 1, ""), description, `"`+strings.Repeat("x", maxDescription)+`"`, 1), true, false},
		{setUp(1, 9, ""), true, false}, // refused: no exchange serves it
	} {
		h := newConnectedHarness(t)
		p, valid := h.accept(), h.accept()
		h.receiveLines(valid, setUp(7, 1, ""))
		h.expectLines(h.switchConns[1], "new 7")
		h.receiveLines(p, c.line)
		got := h.takeLines(p)
		if answered := len(got) == 1 && got[0].Type == jsonl.TypeDown && got[0].Ref == ref(1); answered != c.answer || len(got) > 1 || h.closed[p] != c.closed {
			t.Errorf("%.80q: answers %+v, closed %v", c.line, got, h.closed[p])
		}
		h.expectLines(h.switchConns[1])
		h.expectLines(h.switchConns[2])
		h.receiveLines(h.switchConns[1], up(7))
		h.expectLines(valid, "up 7")
	}
}

func TestDuplicateReference(t *testing.T) {
	h := newConnectedHarness(t)
	p, q := h.accept(), h.accept()
	h.receiveLines(p, setUp(1, 1, ""))
	h.receiveLines(q, setUp(1, 2, "")) // on another connection: fails there, the first call is not affected
	h.expectLines(q, "down 1 41")
	h.receiveLines(h.switchConns[1], up(1))
	h.expectLines(p, "up 1")
	h.receiveLines(p, setUp(2, 1, ""), setUp(2, 2, "")) // on the same connection: one failure ends both
	h.expectLines(p, "down 2 41")
	h.expectLines(h.switchConns[1], "new 1", "new 2", "down 2 16")
	if !h.closed[p] || !h.closed[q] {
		t.Fatal("connection open after a protocol error")
	}
}

func TestIdleCallersClosedAndEvicted(t *testing.T) {
	h := newConnectedHarness(t)
	p, partial := h.accept(), h.accept()
	h.Receive(h.clock, partial, []byte(`{"t":"new",`))
	h.advance(firstRequestTimeout + maintenanceInterval)
	if !h.closed[p] || !h.closed[partial] {
		t.Fatal("idle connection not closed")
	}
	first := h.accept()
	h.receiveLines(first, setUp(1, 1, ""))
	h.advance(firstRequestGrace)
	budget := h.cfg.callerBudget(3)
	idle := h.accept()
	for range budget - 2 {
		h.receiveLines(h.accept(), `{"t":"hb","ref":"0000000000000009","f":{},"c":0}`)
	}
	h.advance(firstRequestGrace)
	next := h.accept()
	if !h.closed[idle] || h.closed[first] || h.closed[next] {
		t.Fatalf("over the budget: closed %v, %v, %v; want only the idle one", h.closed[idle], h.closed[first], h.closed[next])
	}
}

// TestReleasesGoToKnownCallers checks that a flood of unknown peers that request calls neither evicts a connection with
// standing calls nor receives the release of a call whose connection is gone.
func TestReleasesGoToKnownCallers(t *testing.T) {
	h := newConnectedHarness(t)
	known, another := newStandingCall(h), h.accept()
	for n := 0x11; n <= 0x13; n++ {
		h.receiveLines(another, setUp(n, 1, ""))
		h.receiveLines(h.switchConns[1], up(n), down(n, 16, ""))
	}
	h.expectLines(another, "up 11", "down 11 16", "up 12", "down 12 16", "up 13", "down 13 16")
	h.advance(callerIdleTimeout)
	h.receiveLines(another, setUp(0x14, 1, ""))
	h.receiveLines(h.switchConns[1], up(0x14))
	h.expectLines(another, "up 14")
	for n := range 2 * h.cfg.callerBudget(3) {
		h.receiveLines(h.accept(), setUp(1000+n, 9, ""))
	}
	if h.closed[known] || h.closed[another] {
		t.Fatal("connection with a standing call evicted for unknown peers")
	}
	h.Closed(h.clock, known)
	h.receiveLines(h.switchConns[1], down(1, 16, ""))
	h.expectLines(another, "down 1 16")
}

func TestInvalidSwitchInput(t *testing.T) {
	for name, bad := range map[string]string{"noise": "\x00\x01 noise\n", "endless": strings.Repeat("y", jsonl.MaxLine+1),
		"answer without a description": `{"t":"up","ref":"0000000000000002","f":{}}` + "\n"} {
		h := newConnectedHarness(t)
		p, sw := h.accept(), h.switchConns[1]
		h.receiveLines(p, setUp(1, 1, ""))
		h.receiveLines(sw, up(9), up(1), up(1)) // an unknown reference and a duplicate are ignored
		h.receiveLines(p, setUp(2, 1, ""))
		h.Receive(h.clock, sw, []byte(bad))
		h.collectOutputs()
		if !h.closed[sw] {
			t.Fatalf("%s: connection not closed", name)
		}
		h.expectLines(p, "up 1", "down 2 42") // every other route would end at the same processor
		for _, d := range h.takeDials() {
			h.connect(d)
		}
		h.receiveLines(h.switchConns[1], down(1, 16, ""))
		h.expectLines(p, "down 1 16")
		h.expectIdle()
	}
}

const gauge = `{"t":"gauge","f":{"load":"idle:9;circuits:10"}}`

// TestHalfOpenLinkClosed checks that a link which stays open but delivers an incomplete answer, or nothing, is closed
// once another link delivers.
func TestHalfOpenLinkClosed(t *testing.T) {
	for name, partial := range map[string]string{"incomplete answer": up(1)[:30], "nothing received": ""} {
		h := newConnectedHarness(t)
		p, old := h.accept(), h.switchConns[1]
		h.receiveLines(p, setUp(1, 1, ""))
		h.Receive(h.clock, old, []byte(partial))
		h.advance(halfOpenTimeout + 10*ms)
		d := h.takeDials()
		if len(d) != 1 {
			t.Fatalf("%s: %d dials", name, len(d))
		}
		h.connect(d[0])
		h.advance(halfOpenGrace)
		if !h.closed[old] {
			t.Fatalf("%s: half-open connection not closed", name)
		}
		h.expectLines(p, "down 1 42")
		h.receiveLines(p, setUp(2, 1, ""))
		h.expectLines(h.switchConns[1], "new 2")
		h.receiveLines(h.switchConns[1], up(2))
		h.expectLines(p, "up 2")
	}
}

// TestHalfOpenLinkDetectedBesideAnother checks that a half-open link without open set-ups is closed too, since releases
// of standing calls would be lost on it.
func TestHalfOpenLinkDetectedBesideAnother(t *testing.T) {
	h := newConnectedHarness(t)
	p, old := newStandingCall(h), h.switchConns[1]
	h.advance(singleLinkIdleTimeout + 2*maintenanceInterval)
	d := h.takeDials()
	if len(d) != 1 {
		t.Fatalf("%d dials for a switch with one idle link, want 1", len(d))
	}
	h.connect(d[0])
	h.advance(halfOpenTimeout)
	h.receiveLines(d[0].Conn, gauge)
	h.advance(halfOpenTimeout + halfOpenGrace)
	h.receiveLines(d[0].Conn, gauge)
	h.advance(halfOpenGrace)
	if !h.closed[old] || h.closed[d[0].Conn] {
		t.Fatalf("closed: half-open link %v, other link %v", h.closed[old], h.closed[d[0].Conn])
	}
	h.advance(lossDetectionDelay)
	if d = h.takeDials(); len(d) == 0 {
		t.Fatal("no link opened for the lost releases")
	}
	h.connect(d[0])
	h.receiveLines(d[0].Conn, down(1, 16, ""))
	h.expectLines(p, "down 1 16")
}

// TestReportsOnAllLinksKeepThem guards against links that are taken for half-open while they work, which would make a
// whole fleet reconnect at each change of a trunk group: a change is reported on one link after the other, in any
// order, and the first report on a new link is sent on that link alone.
func TestReportsOnAllLinksKeepThem(t *testing.T) {
	h := newConnectedHarness(t)
	links := []ConnID{h.switchConns[1]}
	for range 2 {
		h.advance(300 * ms)
		if len(h.takeDials()) > 0 {
			t.Fatal("dial after a first report")
		}
		h.Core.switches[1].connect()
		d := h.takeDials()[0]
		h.connect(d)
		links = append(links, d.Conn)
	}
	h.takeDials()
	for i := range 20 {
		for j := range links {
			h.receiveLines(links[(i+j)%3], fmt.Sprintf(`{"t":"gauge","f":{"load":"idle:%d;circuits:10"}}`, i%10))
			h.advance(ms)
		}
		h.advance(time.Duration(50+25*i) * ms)
	}
	for _, d := range h.takeDials() {
		if d.To.Port() != 7070 { // the coordinator sends nothing in this test, so the proxy reconnects to it
			t.Errorf("dialled %v", d.To)
		}
	}
	for _, l := range links {
		if h.closed[l] {
			t.Errorf("closed %d", l)
		}
	}
}

// TestHungSwitchKeepsLinks checks that no link of a hung process is closed: its links stop delivering together and work
// again together.
func TestHungSwitchKeepsLinks(t *testing.T) {
	h := newConnectedHarness(t)
	p, old := h.accept(), h.switchConns[1]
	h.receiveLines(p, setUp(1, 1, ""))
	h.advance(halfOpenTimeout)
	d := h.takeDials()
	if len(d) != 1 {
		t.Fatalf("%d dials", len(d))
	}
	h.Connected(h.clock, d[0].Conn) // the machine accepts it, the process sends nothing
	h.advance(500 * ms)
	h.receiveLines(d[0].Conn, gauge)
	h.receiveLines(old, gauge, up(1))
	h.advance(halfOpenGrace)
	h.expectLines(p, "up 1")
	if h.closed[old] {
		t.Fatal("link closed although it works again")
	}
}

// newStandingCall sets up call 1, which stands at switch 1, and returns its caller.
func newStandingCall(h *harness) (p ConnID) {
	p = h.accept()
	h.receiveLines(p, setUp(1, 1, ""))
	h.receiveLines(h.switchConns[1], up(1))
	h.expectLines(p, "up 1")
	return p
}

// TestReleaseLostWithLink checks that a new link is opened after the loss of one, even if another is established,
// because the switch repeats lost releases only on a new link.
func TestReleaseLostWithLink(t *testing.T) {
	h := newConnectedHarness(t)
	p := newStandingCall(h)
	lose := func(lines string) (dials []Dial) {
		first := h.switchConns[1]
		h.Receive(h.clock, first, []byte("\x00 noise\n"+lines))
		dials = h.takeDials()
		if !h.closed[first] {
			t.Fatal("link open after invalid input")
		}
		return dials
	}
	h.connect(lose("")[0])
	h.advance(lossDetectionDelay)
	d := h.takeDials()
	if len(d) != 1 {
		t.Fatalf("%d dials after a loss", len(d))
	}
	h.connect(d[0]) // two links are up from here on
	if d := lose(down(1, 16, "") + "\n"); len(d) != 0 {
		t.Fatalf("%d dials before the switch can have detected the loss", len(d))
	}
	h.advance(lossDetectionDelay)
	if d = h.takeDials(); len(d) != 1 {
		t.Fatalf("%d dials after the loss of one of two links", len(d))
	}
	h.connect(d[0])
	h.expectLines(p)
	h.receiveLines(d[0].Conn, down(1, 16, ""))
	h.expectLines(p, "down 1 16")
}

func TestCallsEndWhenSwitchRefusesConnection(t *testing.T) {
	h := newConnectedHarness(t)
	p := newStandingCall(h)
	h.Closed(h.clock, h.switchConns[1])
	d := h.takeDials()
	if len(d) != 1 {
		t.Fatalf("%d dials", len(d))
	}
	h.expectLines(p) // a reset alone ends no standing call
	h.DialFailed(h.clock, d[0].Conn, DialRefused)
	h.collectOutputs()
	h.expectLines(p, "down 1 41")
	h.expectIdle()
}

// failDials fails every dial to a switch for the given reason, for time d or until a line to the caller is written.
func (h *harness) failDials(reason DialFailure, d time.Duration, p ConnID) {
	for until := h.clock + d; h.clock < until && len(h.written[p]) == 0; h.advance(50 * ms) {
		for _, d := range h.takeDials() {
			if d.To.Port() != 7070 {
				if reason == DialTimedOut {
					h.advance(d.Timeout)
				}
				h.DialFailed(h.clock, d.Conn, reason)
			}
		}
	}
}

// TestCallsEndWhenNoLinkFollowsReset checks that a process that reset its last link counts as dead if no new one is
// established, but not before a second has passed, as a link may take that long to establish.
func TestCallsEndWhenNoLinkFollowsReset(t *testing.T) {
	h := newConnectedHarness(t)
	p := newStandingCall(h)
	reset := h.clock
	h.Closed(h.clock, h.switchConns[1])
	h.collectOutputs()
	h.failDials(DialTimedOut, 10*time.Second, p)
	h.expectLines(p, "down 1 41")
	if after := h.clock - reset; after < time.Second || after > 4*time.Second {
		t.Fatalf("calls over after %v", after)
	}
	h.expectIdle()
}

// newDrainingSwitch returns a harness in which call 1 of caller p stands at switch 1, which drains and has two links.
func newDrainingSwitch(t *testing.T) (h *harness, p ConnID, links [2]ConnID) {
	h = newConnectedHarness(t)
	p = newStandingCall(h)
	links[0], links[1] = h.newSecondLink()
	h.updateList(2, entry(1, 1, 2, decide.Draining))
	return h, p, links
}

// answerHeartbeats answers the heartbeats sent on a connection and returns their number.
func (h *harness) answerHeartbeats(id ConnID) (n int) {
	for _, m := range h.takeLines(id) {
		if m.Type == jsonl.TypeHeartbeat {
			h.receiveLines(id, fmt.Sprintf(`{"t":"hb_ok","ref":"%s","f":{},"c":1}`, m.Ref))
			n++
		}
	}
	return n
}

// TestDrainingSwitchKeepsCalls checks that calls at a draining switch stand until it releases them, although it refuses
// new links, sends nothing as no set-ups arrive, and resets one of its links. It is sent few heartbeats.
func TestDrainingSwitchKeepsCalls(t *testing.T) {
	h, p, links := newDrainingSwitch(t)
	heartbeats := 0
	for i := range 400 {
		h.failDials(DialRefused, 50*ms, p)
		heartbeats += h.answerHeartbeats(links[1])
		if i == 100 {
			h.Closed(h.clock, links[0])
			h.collectOutputs()
		}
	}
	h.expectLines(p)
	if heartbeats < 2 || heartbeats > 6 {
		t.Fatalf("%d heartbeats in 20 s", heartbeats)
	}
	h.receiveLines(links[1], down(1, 16, ""))
	h.expectLines(p, "down 1 16")
}

// TestSwitchDiedBehindHalfOpenLink checks that the calls at a dead switch are over within 3 s if one link was reset,
// new ones are refused and the remaining one is half-open.
func TestSwitchDiedBehindHalfOpenLink(t *testing.T) {
	h, p, links := newDrainingSwitch(t)
	h.failDials(DialRefused, 3*time.Second, p)
	h.expectLines(p)
	died := h.clock
	h.Closed(h.clock, links[0])
	h.collectOutputs()
	h.failDials(DialRefused, 10*time.Second, p)
	h.expectLines(p, "down 1 41")
	if after := h.clock - died; after > 3*time.Second || !h.closed[links[1]] {
		t.Fatalf("calls over after %v, half-open link closed: %t", after, h.closed[links[1]])
	}
	h.expectIdle()
}

func TestCallsEndWhenHostIsLost(t *testing.T) {
	h := newConnectedHarness(t)
	p := newStandingCall(h)
	for range 80 {
		h.advance(100 * ms)
		for _, d := range h.takeDials() {
			if d.To.Port() != 7070 {
				h.advance(d.Timeout)
				h.DialFailed(h.clock, d.Conn, DialTimedOut)
			}
		}
		if h.clock > 8*time.Second {
			break
		}
	}
	h.expectLines(p, "down 1 41")
	// The calls of a hung process stand, as its machine accepts connections.
	h = newConnectedHarness(t)
	p = newStandingCall(h)
	for range 90 {
		h.advance(100 * ms)
		for _, d := range h.takeDials() {
			if d.To.Port() != 7070 {
				h.Connected(h.clock, d.Conn)
			}
		}
	}
	h.expectLines(p)
}

func TestNewSwitchAtAddressOfRemovedOne(t *testing.T) {
	h := newConnectedHarness(t)
	p := newStandingCall(h)
	old := h.switchConns[1]
	h.updateList(2, entry(1, 1, 2, decide.Removed), entry(5, 1, 2, decide.Ready))
	d := h.takeDials()
	if len(d) != 1 || h.closed[old] {
		t.Fatalf("%d dials, old link closed: %v", len(d), h.closed[old])
	}
	h.connect(d[0])
	h.receiveLines(p, setUp(2, 1, ""))
	h.expectLines(h.switchConns[1], "new 2")
	if m := h.takeLines(old); len(m) != 2 || m[0].Type != jsonl.TypeNew || m[0].Ref != ref(1) || m[1].Type != jsonl.TypeHeartbeat {
		t.Fatalf("old link got %+v, want set-up 1 and the heartbeat of the process check", m)
	}
	h.Closed(h.clock, old)
	h.collectOutputs()
	h.expectLines(p, "down 1 41")
	h.receiveLines(h.switchConns[1], up(2))
	h.expectLines(p, "up 2")
	if len(h.Core.switches) != 3 {
		t.Fatalf("%d switches known", len(h.Core.switches))
	}
}

func TestWaitingSetUpNotSentAfterDrain(t *testing.T) {
	h := newConnectedHarness(t)
	h.Closed(h.clock, h.switchConns[1])
	d := h.takeDials()
	p := h.accept()
	h.receiveLines(p, setUp(1, 1, ""))
	h.updateList(2, entry(1, 1, 2, decide.Draining))
	h.connect(d[0])
	h.expectLines(d[0].Conn)
	h.advance(time.Second)
	if m := h.takeLines(p); len(m) != 1 || m[0].Type != jsonl.TypeDown {
		t.Fatalf("%+v", m)
	}
	h.expectIdle()
}

// TestSetUpWaitsForLinkWithoutConnectTimeout guards against calls that fail at once: without a connect timeout in the
// settings, a set-up that waited for a link was given up in the same instant.
func TestSetUpWaitsForLinkWithoutConnectTimeout(t *testing.T) {
	h := newHarnessWithConfig(t, strings.Replace(config, `"connectTimeoutS":0.5,`, "", 1))
	for _, d := range h.takeDials() {
		h.connect(d)
	}
	h.Closed(h.clock, h.switchConns[1])
	dials := h.takeDials()
	p := h.accept()
	h.receiveLines(p, setUp(1, 1, ""))
	h.advance(defaultConnectTimeout / 2)
	h.connect(dials[0])
	h.expectLines(dials[0].Conn, "new 1")
}

func TestUnreachableAfterConnectTimeout(t *testing.T) {
	h := newConnectedHarness(t)
	h.Closed(h.clock, h.switchConns[1])
	h.takeDials()
	p := h.accept()
	h.receiveLines(p, setUp(1, 1, ""))
	h.advance(499 * ms)
	h.expectLines(p)
	h.advance(40 * ms)
	if m := h.takeLines(p); len(m) != 1 || m[0].Type != jsonl.TypeDown {
		t.Fatalf("%+v", m)
	}
	h.expectIdle()
}

// TestReleaseLongBeforeAdoption guards against calls left standing: a release of a call that no caller had named yet was
// kept in the first 8 s of the process only, and for 8 s.
func TestReleaseLongBeforeAdoption(t *testing.T) {
	h := newConnectedHarness(t)
	h.advance(20 * time.Second)
	h.receiveLines(h.switchConns[1], down(3, 16, ""))
	h.advance(20 * time.Second)
	p := h.accept()
	h.receiveLines(p, setUp(3, 1, ";at:s-00000001"))
	h.expectLines(p, "down 3 16")
	h.expectIdle()
}

// TestEarlyReleaseOfAnotherSwitch guards against calls cut that stand: a switch where the call was tried before releases
// it, and the call is then named as standing at another one.
func TestEarlyReleaseOfAnotherSwitch(t *testing.T) {
	h := newConnectedHarness(t)
	h.receiveLines(h.switchConns[2], down(3, 16, ""))
	p := h.accept()
	h.receiveLines(p, setUp(3, 1, ";at:s-00000001"))
	h.expectLines(p)
	h.receiveLines(h.switchConns[1], down(3, 16, ""))
	h.expectLines(p, "down 3 16")
}

// TestEarlyReleaseUnderFormerID guards against calls left standing: a release comes on a link that was opened for the
// switch that had the address before, and the call is named as standing at the one that has it now.
func TestEarlyReleaseUnderFormerID(t *testing.T) {
	h := newConnectedHarness(t)
	h.receiveLines(h.switchConns[1], down(3, 16, ""))
	h.replaceSwitch()
	p := h.accept()
	h.receiveLines(p, setUp(3, 1, ";at:s-00000005"))
	h.expectLines(p, "down 3 16")
}

// TestAdoptedCallsAreBounded guards against memory that grows without end: a caller may name any number of calls that no
// switch knows, each of which was kept for adoptedCallLifetime.
func TestAdoptedCallsAreBounded(t *testing.T) {
	h := newConnectedHarness(t)
	p, most := h.accept(), h.cfg.maxAdoptedCalls()
	for n := range most {
		h.Receive(h.clock, p, []byte(setUp(n+1, 1, ";at:s-00000001")+"\n"))
	}
	h.collectOutputs()
	h.expectLines(p)
	h.receiveLines(p, setUp(most+1, 1, ";at:s-00000001"))
	h.expectLines(p, fmt.Sprintf("down %x 41", most+1))
	h.receiveLines(h.switchConns[1], down(1, 16, "")) // makes room for one
	h.expectLines(p, "down 1 16")
	h.receiveLines(p, setUp(most+2, 1, ";at:s-00000001"))
	h.expectLines(p)
}

func TestCallsAdoptedAfterRestart(t *testing.T) {
	h := newConnectedHarness(t)
	p := h.accept()
	h.receiveLines(h.switchConns[1], down(3, 16, "")) // the release arrives before the call is named
	h.receiveLines(p, setUp(1, 1, ";at:s-00000001"), setUp(1, 1, ";at:s-00000001"), setUp(3, 1, ";at:s-00000001"))
	h.expectLines(p, "down 3 16")
	h.expectLines(h.switchConns[1])
	h.receiveLines(h.switchConns[1], down(1, 16, ""))
	h.expectLines(p, "down 1 16")
	h.expectIdle()
}

func TestReleaseWaitsForConnection(t *testing.T) {
	h := newConnectedHarness(t)
	p := newStandingCall(h)
	h.Closed(h.clock, p)
	h.receiveLines(h.switchConns[1], down(1, 16, ""))
	h.advance(time.Second)
	q := h.accept()
	h.receiveLines(q, setUp(2, 1, ""))
	h.expectLines(q, "down 1 16")

	h = newConnectedHarness(t)
	p = newStandingCall(h)
	h.Closed(h.clock, h.switchConns[1])
	h.receiveLines(p, down(1, 16, ""))
	for _, d := range h.takeDials() {
		h.connect(d)
	}
	h.expectLines(h.switchConns[1], "down 1 16")
	h.expectIdle()
}

func TestHeartbeatsReflectReadiness(t *testing.T) {
	heartbeat := func(h *harness) int {
		p := h.accept()
		h.receiveLines(p, `{"t":"hb","ref":"00000000000000aa","f":{},"c":0}`)
		return h.expectLines(p, "hb_ok aa")[0].Cause
	}
	h := newHarness(t)
	d := h.takeDials()
	if heartbeat(h) != 0 {
		t.Fatal("heartbeat succeeds before any switch has reported")
	}
	for _, d := range d {
		h.connect(d)
	}
	if heartbeat(h) != 1 {
		t.Fatal("heartbeat fails although all switches have reported")
	}
	p := newStandingCall(h)
	h.Shutdown(h.clock)
	if heartbeat(h) != 0 {
		t.Fatal("heartbeat succeeds after SIGTERM")
	}
	h.receiveLines(p, setUp(2, 2, "")) // still served
	h.expectLines(h.switchConns[2], "new 2")
	h.receiveLines(h.switchConns[2], up(2), down(2, 16, ""))
	h.expectLines(p, "up 2", "down 2 16")
	h.advance(3 * time.Second)
	if h.exited {
		t.Fatal("process exits while a call stands")
	}
	h.receiveLines(h.switchConns[1], down(1, 16, ""))
	h.expectLines(p, "down 1 16")
	h.advance(time.Second)
	if !h.exited {
		t.Fatal("no exit")
	}
	late := newHarness(t)
	late.advance(readyTimeout)
	if heartbeat(late) != 1 {
		t.Fatal("heartbeat fails after readyTimeout because of switches that have not reported")
	}
}

func TestCoordinatorReconnect(t *testing.T) {
	frame := coordinator.AppendFrame(nil, coordinator.Event{Index: 2, Entries: []coordinator.Entry{entry(1, 1, 2, decide.Draining)}})
	for name, lose := range map[string]func(h *harness){
		"closed in the middle of an event": func(h *harness) { h.Receive(h.clock, h.coordConn, frame[:9]); h.Closed(h.clock, h.coordConn) },
		"silent":                           func(h *harness) { h.advance(coordinatorIdleTimeout + 2*maintenanceInterval) },
		"spoilt":                           func(h *harness) { h.Receive(h.clock, h.coordConn, []byte{0xff, 0xff, 0xff, 0xff}) },
		"moved":                            func(h *harness) { h.SetCoordinator(h.clock, entry(0, 0, 99, 0).Addr) },
	} {
		h := newConnectedHarness(t)
		lose(h)
		d := h.takeDials()
		if len(d) != 1 {
			t.Fatalf("%s: %d dials", name, len(d))
		}
		h.coordConn = 0 // lets the harness record the bytes written to it
		h.Connected(h.clock, d[0].Conn)
		h.collectOutputs()
		if got := h.written[d[0].Conn]; len(got) != 1 || got[0] != "\x00\x00\x00\x00\x00\x00\x00\x01" {
			t.Errorf("%s: connection begins with %q", name, got)
		}
		h.Receive(h.clock, d[0].Conn, frame)
		if h.Core.switches[1].phase != decide.Draining {
			t.Errorf("%s: list update not applied", name)
		}
	}
}

// TestReconnectsAreSpread checks that proxies that lose the coordinator at the same instant reconnect at different
// times, which depend on the seed alone.
func TestReconnectsAreSpread(t *testing.T) {
	dialTimes := func(seed string) (at []time.Duration) {
		cfg, err := ParseConfig([]byte(strings.Replace(config, "8c1f30d27a5be964", seed, 1)))
		if err != nil {
			t.Fatal(err)
		}
		c := New(cfg, time.UnixMilli(1_700_000_000_000))
		for now := time.Duration(0); now < 3*time.Second; now += ms {
			c.Advance(now)
			for _, o := range c.Outputs() {
				if d, ok := o.(Dial); ok && d.To.Port() == 7070 {
					at = append(at, now)
					c.DialFailed(now, d.Conn, DialRefused)
				}
			}
		}
		return at
	}
	times := map[time.Duration]int{}
	for seed := range 48 {
		at := dialTimes(fmt.Sprintf("%x", seed+1))
		if n := len(at); n < 5 || n > 12 {
			t.Fatalf("%d dials in 3 s", n)
		}
		times[at[4]]++
	}
	for at, n := range times {
		if n > 6 {
			t.Errorf("%d of 48 proxies dial for the fifth time at %v", n, at)
		}
	}
	if !slices.Equal(dialTimes("5"), dialTimes("5")) {
		t.Error("two runs with one seed differ")
	}
}

// TestStartTimeConversion checks the conversion of start times, which are Unix milliseconds. A switch that started at
// 0, or long before the proxy, counts as warm.
func TestStartTimeConversion(t *testing.T) {
	h := newHarness(t)
	h.advance(2 * time.Second)
	wall := int64(1_700_000_000_000)
	for started, want := range map[int64]time.Duration{0: 0, wall + 1500: clockOffset + 1500*ms, wall - 1000: clockOffset - time.Second,
		wall + 99_000: clockOffset + 2*time.Second, 5: 1} {
		if got := h.moduleStart(started); got != want {
			t.Errorf("start %d: %v on the module's clock, want %v", started, got, want)
		}
	}
}

// TestAnyOrderOfEventsLeavesOneAnswer feeds random events one after the other and checks that each call gets one final
// answer and one end, and has one open attempt at a time.
func TestAnyOrderOfEventsLeavesOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newConnectedHarness(t)
		type callState struct {
			from           ConnID
			left, up, down bool
			outAt          ConnID // connection of the open attempt
		}
		calls := map[string]*callState{}
		callers := []ConnID{h.accept(), h.accept()}
		number, next, index := 0, uint64(2), 1
		checkOutputs := func() {
			h.collectOutputs()
			for _, w := range h.writtenInOrder {
				m, err := jsonl.Parse([]byte(w.line))
				if err != nil {
					t.Fatalf("proxy wrote %q: %v", w.line, err)
				}
				id, k := w.to, calls[m.Ref]
				if m.Type == jsonl.TypeHeartbeat {
					continue
				}
				if k == nil {
					t.Fatalf("line for unknown call %s", m.Ref)
				}
				isCaller := id == callers[0] || id == callers[1]
				switch {
				case m.Type == jsonl.TypeNew:
					if k.outAt != 0 && h.links[k.outAt] != nil {
						t.Fatalf("%s has two open attempts", m.Ref)
					}
					if k.up || k.down || k.left {
						t.Fatalf("%s sent after its end", m.Ref)
					}
					k.outAt = id
				case isCaller && m.Type == jsonl.TypeUp:
					if k.up || k.down || k.left {
						t.Fatalf("second answer to %s", m.Ref)
					}
					k.up, k.outAt = true, 0
				case isCaller && m.Type == jsonl.TypeDown:
					if k.down || k.left && !k.up {
						t.Fatalf("second end of %s", m.Ref)
					}
					k.down = true
				case !isCaller && m.Type == jsonl.TypeDown:
					if k.outAt == id {
						k.outAt = 0
					}
				}
			}
			h.writtenInOrder = h.writtenInOrder[:0]
		}
		checkOutputs()
		step := func(t *rapid.T) {
			var refs []int
			for n := 1; n <= number; n++ {
				refs = append(refs, n)
			}
			pick := func() int {
				if len(refs) == 0 {
					return 0
				}
				return rapid.SampledFrom(refs).Draw(t, "ref")
			}
			sw := h.switchConns[byte(rapid.IntRange(1, 2).Draw(t, "switch"))]
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0, 1, 2:
				number++
				p := rapid.SampledFrom(callers).Draw(t, "caller")
				calls[ref(number)] = &callState{from: p}
				h.receiveLines(p, setUp(number, rapid.IntRange(0, 3).Draw(t, "dest"), rapid.SampledFrom([]string{"", ";transit:1", ";again:1"}).Draw(t, "more")))
			case 3, 4:
				if n := pick(); n > 0 {
					if k := calls[ref(n)]; k.outAt == sw {
						k.outAt = 0
					}
					h.receiveLines(sw, up(n))
				}
			case 5, 6:
				if n := pick(); n > 0 {
					if k := calls[ref(n)]; k.outAt == sw {
						k.outAt = 0
					}
					cause := rapid.SampledFrom([]int{16, 17, 34, 41, 102}).Draw(t, "cause")
					h.receiveLines(sw, down(n, cause, rapid.SampledFrom([]string{"", "blocked", "bounced", "swamped", "occupied"}).Draw(t, "note")))
				}
			case 7:
				if n := pick(); n > 0 {
					k := calls[ref(n)]
					h.collectOutputs()
					checkOutputs()
					if !k.down {
						k.left = true
						h.receiveLines(k.from, down(n, 16, ""))
						k.down = k.up
					}
				}
			case 8:
				if h.links[sw] != nil {
					h.Closed(h.clock, sw)
				}
			case 9:
				h.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms)
			case 10:
				phase := rapid.SampledFrom([]decide.Phase{decide.Ready, decide.Draining, decide.Removed}).Draw(t, "phase")
				n := rapid.IntRange(1, 2).Draw(t, "number")
				if rapid.Bool().Draw(t, "new id") {
					index++
				}
				id := uint32(n)
				if index > 1 {
					id = uint32(10*index + n)
				}
				h.updateList(next, entry(id, n, n+1, phase))
				next++
			case 11:
				for _, d := range h.takeDials() {
					if d.To.Port() == 7070 || rapid.IntRange(0, 3).Draw(t, "comes up") > 0 {
						h.connect(d)
					} else {
						h.DialFailed(h.clock, d.Conn, DialRefused)
					}
				}
			}
			checkOutputs()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			step(t)
		}
		h.advance(5 * time.Second)
		checkOutputs()
		for r, k := range calls {
			if !k.up && !k.down && !k.left {
				t.Fatalf("%s has no final answer", r)
			}
			if k.up && !k.down {
				h.receiveLines(k.from, fmt.Sprintf(`{"t":"down","ref":"%s","f":{},"c":16}`, r))
			}
		}
		h.advance(time.Second)
		h.expectIdle()
		if n := h.timerQueue.Len(); n > 8 {
			t.Fatalf("%d timers left", n)
		}
	})
}
