package platform

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
)

// TestBatchesInAnyOrder processes random batches of inputs: callers request and abandon calls and leave, switches
// answer, refuse, report free circuits, lose links and drain. No set-up may be sent for a call that was abandoned in
// that batch or before, or to a switch known to be draining. Each call gets at most one final answer, and exactly one
// if its caller stays. At the end no call may be open or queued.
func TestBatchesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newConnectedHarness(t)
		callers := []ConnID{h.accept(), h.accept(), h.accept()}
		departed, drained := map[ConnID]bool{}, map[byte]bool{}
		type callState struct {
			from     ConnID
			left     bool
			answered int
		}
		calls := map[string]*callState{}
		number, event := 0, uint64(2)
		var inputs []Input
		receive := func(id ConnID, line string) {
			inputs = append(inputs, Input{Conn: id, Kind: InputData, Bytes: joinLines(line)})
		}
		draw := func(what string, from, to int) int { return rapid.IntRange(from, to).Draw(t, what) }
		drawInput := func() {
			p, sw := callers[draw("caller", 0, 2)], byte(draw("switch", 1, 2))
			link := h.switchConns[sw]
			anyRef := func() string { return ref(draw("ref", 1, max(1, number))) }
			switch draw("what", 0, 8) {
			case 0, 1, 2:
				if !departed[p] {
					number++
					calls[ref(number)] = &callState{from: p}
					receive(p, setUp(number, draw("dest", 1, 2), ""))
				}
			case 3:
				r := anyRef()
				if k := calls[r]; k != nil && !departed[k.from] {
					receive(k.from, `{"t":"down","ref":"`+r+`","f":{},"c":16}`)
					k.left = true
				}
			case 4:
				if !departed[p] && draw("goes", 0, 3) == 0 {
					departed[p] = true
					if draw("seen behind bytes", 0, 1) == 1 {
						inputs = append(inputs, Input{Conn: p, Kind: InputData, EOF: true})
					}
					inputs = append(inputs, Input{Conn: p, Kind: InputClosed})
				}
			case 5:
				receive(link, `{"t":"up","ref":"`+anyRef()+`","f":{},"d":"answer"}`)
			case 6:
				receive(link, `{"t":"down","ref":"`+anyRef()+`","f":{"note":"blocked","load":"idle:0;circuits:10"},"c":34}`)
			case 7:
				receive(link, `{"t":"gauge","f":{"load":"idle:10;circuits:10"}}`)
			case 8:
				if draw("how", 0, 1) == 0 {
					inputs = append(inputs, Input{Conn: link, Kind: InputClosed})
				} else if !drained[sw] {
					drained[sw] = true
					inputs = append(inputs, Input{Conn: h.coordConn, Kind: InputData, Bytes: coordinator.AppendFrame(nil, coordinator.Event{Index: event,
						Entries: []coordinator.Entry{entry(uint32(sw), int(sw), int(sw)+1, decide.Draining)}})})
					event++
				}
			}
		}
		checkOutputs := func() {
			h.collectOutputs()
			for _, w := range h.writtenInOrder {
				m, err := jsonl.Parse([]byte(w.line))
				if err != nil {
					t.Fatalf("proxy wrote %q: %v", w.line, err)
				}
				k := calls[m.Ref]
				switch {
				case m.Type == jsonl.TypeNew && (k.left || departed[k.from] || k.answered > 0):
					t.Fatalf("%s sent after its end", m.Ref)
				case m.Type == jsonl.TypeNew && (w.to == h.switchConns[1] && drained[1] || w.to == h.switchConns[2] && drained[2]):
					t.Fatalf("%s sent to a draining switch", m.Ref)
				case k != nil && w.to == k.from && (m.Type == jsonl.TypeUp || m.Type == jsonl.TypeDown && k.answered == 0):
					if k.answered++; k.answered > 1 {
						t.Fatalf("second final answer to %s", m.Ref)
					}
				}
			}
			h.writtenInOrder = h.writtenInOrder[:0]
		}
		for range draw("rounds", 1, 25) {
			inputs = nil
			for range draw("news", 1, 8) {
				drawInput()
			}
			h.clock += time.Duration(draw("ms", 0, 300)) * ms
			h.processBatch(inputs...)
			checkOutputs()
			for _, d := range h.takeDials() {
				h.connect(d)
			}
			checkOutputs()
		}
		h.advance(5 * time.Second)
		checkOutputs()
		for r, k := range calls {
			if k.answered == 0 && !k.left && !departed[k.from] {
				t.Fatalf("%s has no final answer", r)
			}
		}
		if h.openSetUps != 0 || h.QueuedCalls() != 0 {
			t.Fatalf("%d calls without an answer, %d queued", h.openSetUps, h.QueuedCalls())
		}
	})
}
