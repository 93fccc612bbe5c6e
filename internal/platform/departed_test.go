package platform

import (
	"strings"
	"testing"
	"time"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
)

// TestCallAbandonedInSameInput checks that set-ups which a later line of the same input abandons are not started, and
// that others are.
func TestCallAbandonedInSameInput(t *testing.T) {
	h := newConnectedHarness(t)
	p, sw := h.accept(), h.switchConns[1]
	h.processBatch(Input{Conn: p, Kind: InputData, Bytes: joinLines(setUp(7, 1, ""))}, Input{Conn: p, Kind: InputData, Bytes: joinLines(down(7, 16, ""), down(7, 16, ""))})
	h.expectLines(sw)
	h.receiveLines(p, setUp(1, 1, ""), setUp(2, 1, ""), down(1, 16, ""), setUp(3, 1, ""), down(9, 16, ""), down(3, 16, ""))
	h.expectLines(sw, "new 2")
	h.expectLines(p)
	h.receiveLines(p, setUp(1, 1, "")) // the reference may be used again
	h.expectLines(sw, "new 1")
	for _, n := range []int{1, 2} {
		h.receiveLines(sw, up(n))
		h.receiveLines(p, down(n, 16, ""))
	}
	h.expectLines(sw, "down 1 16", "down 2 16")
	h.expectIdle()
}

// TestCallerDeparture checks that nothing is started for a caller that has left, and that its open set-ups are
// cancelled. Releases of standing calls are handled whichever caller sends them, and releases for the caller that left
// go to another one.
func TestCallerDeparture(t *testing.T) {
	h := newConnectedHarness(t)
	p, q, sw := h.accept(), h.accept(), h.switchConns[1]
	h.receiveLines(p, setUp(1, 1, ""), setUp(2, 1, ""))
	h.receiveLines(sw, up(1))
	h.receiveLines(q, setUp(3, 1, ""), setUp(4, 1, ""))
	h.receiveLines(sw, up(3), up(4))
	h.expectLines(sw, "new 1", "new 2", "new 3", "new 4")
	h.expectLines(p, "up 1")
	h.expectLines(q, "up 3", "up 4")
	h.processBatch(Input{Conn: p, Kind: InputData, Bytes: joinLines(setUp(5, 1, ""), down(3, 16, ""), setUp(6, 1, "")), EOF: true}, Input{Conn: p, Kind: InputClosed})
	h.expectLines(sw, "down 2 16", "down 3 16")
	h.expectLines(p)
	h.receiveLines(sw, down(1, 16, "")) // the connection of its set-up is closed
	h.expectLines(p)
	h.expectLines(q, "down 1 16")
	h.receiveLines(q, down(4, 16, ""))
	h.expectLines(sw, "down 4 16")
	h.expectIdle()
}

// TestReferenceOfWithdrawnCallNotSentAgain guards against a call that runs twice: its caller leaves after it was sent to a
// switch, and it comes again under the same reference.
func TestReferenceOfWithdrawnCallNotSentAgain(t *testing.T) {
	for name, leave := range map[string]func(h *harness, p, q ConnID){
		"later": func(h *harness, p, q ConnID) {
			h.processBatch(Input{Conn: p, Kind: InputClosed})
			h.advance(time.Second)
			h.receiveLines(q, setUp(1, 1, ""))
		},
		"in the same batch": func(h *harness, p, q ConnID) {
			h.processBatch(Input{Conn: q, Kind: InputData, Bytes: joinLines(setUp(1, 1, ""))}, Input{Conn: p, Kind: InputClosed})
		},
		"abandoned by a line": func(h *harness, p, q ConnID) {
			h.receiveLines(p, down(1, 16, ""))
			h.receiveLines(q, setUp(1, 1, ""))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newConnectedHarness(t)
			p, q, sw := h.accept(), h.accept(), h.switchConns[1]
			h.receiveLines(p, setUp(1, 1, ""))
			leave(h, p, q)
			h.expectLines(sw, "new 1", "down 1 16")
			h.expectLines(q, "down 1 41")
			h.expectIdle()
			h.advance(withdrawnRefLifetime + time.Second)
			q = h.accept()
			h.receiveLines(q, setUp(1, 1, ""))
			h.expectLines(sw, "new 1")
		})
	}
}

// TestSetUpsOfCongestedCallerRefused guards against set-ups that are sent on after their caller has left: its close is
// behind more than can be read at present. Its other requests are handled.
func TestSetUpsOfCongestedCallerRefused(t *testing.T) {
	h := newConnectedHarness(t)
	p, sw := newStandingCall(h), h.switchConns[1]
	h.takeLines(sw)
	h.processBatch(Input{Conn: p, Kind: InputData, Bytes: joinLines(setUp(2, 1, ""), down(1, 16, "")), Congested: true})
	h.expectLines(p, "down 2 42")
	h.expectLines(sw, "down 1 16")
	h.processBatch(Input{Conn: p, Kind: InputData, Bytes: joinLines(setUp(3, 1, ""))})
	h.expectLines(sw, "new 3")
}

// TestLinesReadAfterClose checks what of the lines counts that are read once a caller's close is known: the release and
// the naming of standing calls, whereas its set-ups are void and are not kept.
func TestLinesReadAfterClose(t *testing.T) {
	h := newConnectedHarness(t)
	p, q, sw := h.accept(), newStandingCall(h), h.switchConns[1]
	h.takeLines(sw)
	h.Core.ReceiveAfterClose(p, joinLines(setUp(2, 1, ""), down(1, 16, ""), setUp(3, 2, ";at:s-00000002")))
	for n := range 2 * maxLinesAfterClose {
		h.Core.ReceiveAfterClose(p, joinLines(setUp(100+n, 1, ""), down(1, 16, "")))
	}
	if n := len(h.Core.callers[p].received); n > maxLinesAfterClose {
		t.Fatalf("%d lines kept", n)
	}
	h.processBatch(Input{Conn: p, Kind: InputData, EOF: true}, Input{Conn: p, Kind: InputClosed})
	h.expectLines(sw, "down 1 16")
	h.expectLines(p)
	h.receiveLines(h.switchConns[2], down(3, 16, ""))
	h.expectLines(q, "down 3 16")
	h.expectIdle()
}

// TestLinesReadBeforeCloseInLaterBatch checks that lines that were read between two batches are handled when the close is.
func TestLinesReadBeforeCloseInLaterBatch(t *testing.T) {
	h := newConnectedHarness(t)
	p, _, sw := h.accept(), newStandingCall(h), h.switchConns[1]
	h.takeLines(sw)
	h.processBatch(Input{Conn: p, Kind: InputData, EOF: true})
	h.Core.ReceiveAfterClose(p, joinLines(down(1, 16, "")))
	h.processBatch(Input{Conn: p, Kind: InputClosed})
	h.expectLines(sw, "down 1 16")
	h.expectIdle()
}

// TestBatchOrderByInputType checks that, in whatever order the inputs of a batch were read, no set-up is sent for a
// caller that has left or abandoned the call, to a draining switch or on a lost connection, and that an answer that
// crosses a cancellation is not passed on.
func TestBatchOrderByInputType(t *testing.T) {
	drain := coordinator.AppendFrame(nil, coordinator.Event{Index: 2, Entries: []coordinator.Entry{entry(1, 1, 2, decide.Draining)}})
	free := joinLines(`{"t":"gauge","f":{"load":"idle:10;circuits:10"}}`)
	for name, c := range map[string]struct {
		inputs   func(h *harness, p ConnID) []Input
		toCaller string // sent to the caller of call 2
		toSwitch string // sent to its switch
	}{
		"a circuit is free, the caller left": {func(h *harness, p ConnID) []Input {
			return []Input{{Conn: h.switchConns[1], Kind: InputData, Bytes: free}, {Conn: p, Kind: InputClosed}}
		}, "", ""},
		"a circuit is free, the call abandoned": {func(h *harness, p ConnID) []Input {
			return []Input{{Conn: h.switchConns[1], Kind: InputData, Bytes: free}, {Conn: p, Kind: InputData, Bytes: joinLines(down(2, 16, ""))}}
		}, "", ""},
		"a circuit is free": {func(h *harness, p ConnID) []Input {
			return []Input{{Conn: h.switchConns[1], Kind: InputData, Bytes: free}}
		}, "", "new 2"},
		"a circuit is free, the switch drains": {func(h *harness, p ConnID) []Input {
			return []Input{{Conn: h.switchConns[1], Kind: InputData, Bytes: free}, {Conn: h.coordConn, Kind: InputData, Bytes: drain}}
		}, "", ""},
		"set-up beside a drain": {func(h *harness, p ConnID) []Input {
			return []Input{{Conn: p, Kind: InputData, Bytes: joinLines(setUp(3, 1, ""))}, {Conn: h.coordConn, Kind: InputData, Bytes: drain},
				{Conn: h.switchConns[1], Kind: InputData, Bytes: free}}
		}, "", ""},
		"set-up beside a lost connection": {func(h *harness, p ConnID) []Input {
			return []Input{{Conn: p, Kind: InputData, Bytes: joinLines(setUp(3, 1, ""))}, {Conn: h.switchConns[1], Kind: InputData, Bytes: free},
				{Conn: h.switchConns[1], Kind: InputClosed}}
		}, "down 2", "new 2"},
	} {
		h := newConnectedHarness(t)
		p, sw := h.accept(), h.switchConns[1]
		for _, l := range h.switchConns {
			h.receiveLines(l, `{"t":"gauge","f":{"load":"idle:0;circuits:10"}}`)
		}
		h.receiveLines(p, setUp(2, 1, ""))
		if h.QueuedCalls() != 1 {
			t.Fatal("the call is not queued")
		}
		h.processBatch(c.inputs(h, p)...)
		var toSwitch, toCaller []string
		for _, l := range h.takeLines(sw) {
			toSwitch = append(toSwitch, l.Type+" "+strings.TrimLeft(l.Ref, "0"))
		}
		for _, l := range h.takeLines(p) {
			toCaller = append(toCaller, l.Type+" "+strings.TrimLeft(l.Ref, "0"))
		}
		if strings.Join(toSwitch, ", ") != c.toSwitch || strings.Join(toCaller, ", ") != c.toCaller {
			t.Errorf("%s: to the switch %q, want %q; to the caller %q, want %q", name, toSwitch, c.toSwitch, toCaller, c.toCaller)
		}
	}
}

// TestQueuedCallOfDepartedCallerNotSent guards against a set-up for a caller that has left with one call at a cold
// switch and another queued for it. As the process was paused, the slow-start limit allows the second call by then, and
// the cancellation of the first makes the decision module serve its queue.
func TestQueuedCallOfDepartedCallerNotSent(t *testing.T) {
	h := newConnectedHarness(t)
	p, sw := h.accept(), h.switchConns[1]
	coldSwitch := entry(1, 1, 2, decide.Ready)
	coldSwitch.Started = h.wallStart.UnixMilli()
	h.updateList(2, coldSwitch)
	n := 0
	for h.QueuedCalls() == 0 || len(h.written[sw]) == 0 {
		if h.QueuedCalls() == 1 { // the first call is queued by the slow-start limit: wait until it is sent
			h.advance(10 * ms)
			continue
		}
		n++
		h.receiveLines(p, setUp(n, 1, ""))
	}
	sent := len(h.takeLines(sw))
	h.clock += 900 * ms // less than the time that the queued call may wait
	h.processBatch(Input{Conn: p, Kind: InputClosed})
	for _, m := range h.takeLines(sw) {
		if m.Type == jsonl.TypeNew {
			t.Fatalf("of %d calls %d were sent; %s was sent for a caller that had left", n, sent, m.Ref)
		}
	}
	h.expectIdle()
}

// TestQueuedCallNotSentToDrainingSwitch guards against a set-up to a cold switch whose drain is announced in the same
// batch in which a caller leaves. The cancellation of that caller's calls makes the decision module serve its queue,
// which holds another caller's call.
func TestQueuedCallNotSentToDrainingSwitch(t *testing.T) {
	h := newConnectedHarness(t)
	p, q, sw := h.accept(), h.accept(), h.switchConns[1]
	coldSwitch := entry(1, 1, 2, decide.Ready)
	coldSwitch.Started = h.wallStart.UnixMilli()
	h.updateList(2, coldSwitch)
	for n := 1; len(h.written[sw]) == 0; n++ {
		h.receiveLines(p, setUp(n, 1, ""))
		h.advance(100 * ms)
	}
	for n, queued := 100, h.QueuedCalls(); h.QueuedCalls() == queued; n++ {
		h.receiveLines(q, setUp(n, 1, ""))
	}
	h.takeLines(sw)
	h.clock += 900 * ms
	h.processBatch(Input{Conn: p, Kind: InputClosed},
		Input{Conn: h.coordConn, Kind: InputData, Bytes: coordinator.AppendFrame(nil, coordinator.Event{Index: 3, Entries: []coordinator.Entry{entry(1, 1, 2, decide.Draining)}})})
	for _, m := range h.takeLines(sw) {
		if m.Type == jsonl.TypeNew {
			t.Fatalf("%s was sent to a draining switch", m.Ref)
		}
	}
}

// TestDialWithoutDescriptors checks that a dial that fails for lack of descriptors is not taken for a failure of the
// switch: no call ends, the attempt that waits for the link stays, an idle caller is evicted and the dial is retried.
func TestDialWithoutDescriptors(t *testing.T) {
	h := newConnectedHarness(t)
	p := h.accept()
	h.receiveLines(p, setUp(1, 1, ""))
	h.receiveLines(h.switchConns[1], up(1))
	h.expectLines(p, "up 1")
	idle := h.accept()
	h.advance(time.Second)
	h.Closed(h.clock, h.switchConns[1]) // its standing calls stay
	h.receiveLines(p, setUp(2, 1, ""))
	d := h.takeDials()
	h.DialFailed(h.clock, d[0].Conn, DialNoDescriptors)
	h.collectOutputs()
	if !h.closed[idle] || h.closed[p] {
		t.Fatalf("closed: the idle caller %t, the one with a call %t", h.closed[idle], h.closed[p])
	}
	h.expectLines(p)
	h.advance(100 * ms)
	h.connect(h.takeDials()[0])
	h.expectLines(h.switchConns[1], "new 2")
}

// TestCallersEvictedWhenListGrows checks that each new switch reduces the descriptors for callers, and that callers
// with calls are not evicted.
func TestCallersEvictedWhenListGrows(t *testing.T) {
	h := newConnectedHarness(t)
	p := h.accept()
	h.receiveLines(p, setUp(1, 1, ""))
	before := h.cfg.callerBudget(len(h.Core.switches))
	for len(h.callers) < before {
		h.accept()
	}
	var added []coordinator.Entry
	for n := 3; n < 13; n++ {
		added = append(added, entry(uint32(n), n, n+1, decide.Ready))
	}
	h.updateList(2, added...)
	if budget := h.cfg.callerBudget(len(h.Core.switches)); len(h.callers) != budget || budget >= before || h.closed[p] {
		t.Fatalf("%d callers, budget %d, before %d; the one with a call closed: %t", len(h.callers), budget, before, h.closed[p])
	}
}

// TestLinesAfterInvalidLineIgnored checks that an invalid line closes the connection and that lines after it are not
// handled.
func TestLinesAfterInvalidLineIgnored(t *testing.T) {
	h := newConnectedHarness(t)
	p := h.accept()
	h.receiveLines(p, setUp(1, 1, ""), `{"t":"new"`, setUp(2, 1, ""), down(1, 16, ""))
	h.expectLines(h.switchConns[1], "new 1", "down 1 16")
	h.expectLines(p, "down 1 41")
	if !h.closed[p] {
		t.Fatal("connection not closed")
	}
	q := h.accept()
	h.Receive(h.clock, q, []byte(setUp(3, 1, "")+"\n"+strings.Repeat("x", jsonl.MaxLine+1)))
	h.collectOutputs()
	h.expectLines(q, "down 3 41")
	h.expectIdle()
}
