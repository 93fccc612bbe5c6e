package platform

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"pipitring/decide"
	"pipitring/internal/coordinator"
)

// dialsBySwitch returns the pending dials to switches by address, and the ID of the switch of each.
func dialsBySwitch(h *harness) map[netip.AddrPort][]decide.ExchangeID {
	dials := map[netip.AddrPort][]decide.ExchangeID{}
	for _, d := range h.takeDials() {
		if l := h.links[d.Conn]; l != nil {
			dials[d.To] = append(dials[d.To], l.peer.id)
		}
	}
	return dials
}

// TestKnownEventsAppliedBeforeDialling guards against calls left standing after a restart of the proxy: it opened a link
// for each switch that had ever been at an address, and a link for one that had gone took the releases of its successor
// and was closed unread.
func TestKnownEventsAppliedBeforeDialling(t *testing.T) {
	var later string
	for i, change := range []struct {
		id        int
		lifecycle string
	}{{1, "Gone"}, {5, "Ready"}, {5, "Gone"}, {6, "Ready"}} {
		later += fmt.Sprintf(`,{"index":%d,"endpoints":{"reset":false,"instances":[{"instanceId":"s-%08x",
			"hostPort":"127.0.1.2:5060","zone":"a","cell":1,"lifecycle":"%s","startedAtMs":0}]}}`, i+2, change.id, change.lifecycle)
	}
	text := strings.Replace(config, `"index":1,"updates"`, `"index":5,"updates"`, 1)
	text = strings.Replace(text, `"startedAtMs":0}]}}]},`, `"startedAtMs":0}]}}`+later+`]},`, 1)
	dials := dialsBySwitch(newHarnessWithConfig(t, text))
	if ids := dials[entry(6, 1, 2, 0).Addr]; len(ids) != 1 || ids[0] != 6 {
		t.Fatalf("links of the switches %v dialled to one address, want only the present one's, 6", ids)
	}
}

// TestEventsReadTogetherDialOnce guards against calls left standing: of events read together, each switch that was at an
// address got a link, and the releases of the present one could come on a link that was closed unread.
func TestEventsReadTogetherDialOnce(t *testing.T) {
	h := newConnectedHarness(t)
	h.takeDials()
	var frames []byte
	for i, entries := range [][]coordinator.Entry{
		{entry(1, 1, 2, decide.Removed), entry(5, 1, 2, decide.Ready)},
		{entry(5, 1, 2, decide.Removed), entry(6, 1, 2, decide.Ready)},
	} {
		frames = coordinator.AppendFrame(frames, coordinator.Event{Index: uint64(i + 2), Entries: entries})
	}
	h.Receive(h.clock, h.coordConn, frames)
	dials := dialsBySwitch(h)
	if ids := dials[entry(6, 1, 2, 0).Addr]; len(ids) != 1 || ids[0] != 6 {
		t.Fatalf("links of the switches %v dialled to one address, want only the present one's, 6", ids)
	}
}

// TestCallsEndWhenSwitchIsRemovedAndBack guards against calls left standing at a switch that was removed and listed again
// in events read together: its previous process, and its calls, are gone.
func TestCallsEndWhenSwitchIsRemovedAndBack(t *testing.T) {
	h := newConnectedHarness(t)
	p := newStandingCall(h)
	h.Closed(h.clock, h.switchConns[1])
	frames := coordinator.AppendFrame(nil, coordinator.Event{Index: 2, Entries: []coordinator.Entry{entry(1, 1, 2, decide.Removed)}})
	frames = coordinator.AppendFrame(frames, coordinator.Event{Index: 3, Entries: []coordinator.Entry{entry(1, 1, 2, decide.Ready)}})
	h.Receive(h.clock, h.coordConn, frames)
	h.collectOutputs()
	h.expectLines(p, "down 1 41")
	h.expectIdle()
}
