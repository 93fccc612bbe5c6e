package platform

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
)

// TestRoundsOfAnyOrder: rounds of news in any order, of callers that ask, give up and go, switches that answer, refuse, free
// and lose connections, and drains. Nothing leaves for a call that its caller gave up or left in that round or before, or to
// a switch told to drain by then; each call gets one answer at most, and exactly one if its caller stays; nothing is left over.
func TestRoundsOfAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := upBed(t)
		callers := []ConnID{b.accept(), b.accept(), b.accept()}
		gone, drained := map[ConnID]bool{}, map[byte]bool{}
		type seen struct {
			from     ConnID
			left     bool
			answered int
		}
		calls := map[string]*seen{}
		number, event := 0, uint64(2)
		var in []Input
		bring := func(id ConnID, line string) {
			in = append(in, Input{Conn: id, Kind: InputData, Bytes: piece(line)})
		}
		draw := func(what string, from, to int) int { return rapid.IntRange(from, to).Draw(t, what) }
		news := func() {
			p, sw := callers[draw("caller", 0, 2)], byte(draw("switch", 1, 2))
			link := b.switches[sw]
			anyRef := func() string { return ref(draw("ref", 1, max(1, number))) }
			switch draw("what", 0, 8) {
			case 0, 1, 2:
				if !gone[p] {
					number++
					calls[ref(number)] = &seen{from: p}
					bring(p, setUp(number, draw("dest", 1, 2), ""))
				}
			case 3:
				r := anyRef()
				if k := calls[r]; k != nil && !gone[k.from] {
					bring(k.from, `{"t":"down","ref":"`+r+`","f":{},"c":16}`)
					k.left = true
				}
			case 4:
				if !gone[p] && draw("goes", 0, 3) == 0 {
					gone[p] = true
					if draw("seen behind bytes", 0, 1) == 1 {
						in = append(in, Input{Conn: p, Kind: InputData, EOF: true})
					}
					in = append(in, Input{Conn: p, Kind: InputClosed})
				}
			case 5:
				bring(link, `{"t":"up","ref":"`+anyRef()+`","f":{},"d":"answer"}`)
			case 6:
				bring(link, `{"t":"down","ref":"`+anyRef()+`","f":{"note":"blocked","load":"idle:0;circuits:10"},"c":34}`)
			case 7:
				bring(link, `{"t":"gauge","f":{"load":"idle:10;circuits:10"}}`)
			case 8:
				if draw("how", 0, 1) == 0 {
					in = append(in, Input{Conn: link, Kind: InputClosed})
				} else if !drained[sw] {
					drained[sw] = true
					in = append(in, Input{Conn: b.coord, Kind: InputData, Bytes: coordinator.AppendFrame(nil, coordinator.Event{Index: event,
						Entries: []coordinator.Entry{entry(uint32(sw), int(sw), int(sw)+1, decide.Draining)}})})
					event++
				}
			}
		}
		judge := func() {
			b.take()
			for _, w := range b.wire {
				m, err := jsonl.Parse([]byte(w.line))
				if err != nil {
					t.Fatalf("the proxy wrote %q: %v", w.line, err)
				}
				k := calls[m.Ref]
				switch {
				case m.Type == jsonl.TypeNew && (k.left || gone[k.from] || k.answered > 0):
					t.Fatalf("%s leaves after its end", m.Ref)
				case m.Type == jsonl.TypeNew && (w.to == b.switches[1] && drained[1] || w.to == b.switches[2] && drained[2]):
					t.Fatalf("%s leaves for a switch that drains", m.Ref)
				case k != nil && w.to == k.from && (m.Type == jsonl.TypeUp || m.Type == jsonl.TypeDown && k.answered == 0):
					if k.answered++; k.answered > 1 {
						t.Fatalf("a second answer to %s", m.Ref)
					}
				}
			}
			b.wire = b.wire[:0]
		}
		for range draw("rounds", 1, 25) {
			in = nil
			for range draw("news", 1, 8) {
				news()
			}
			b.at += time.Duration(draw("ms", 0, 300)) * ms
			b.round(in...)
			judge()
			for _, d := range b.dialled() {
				b.connect(d)
			}
			judge()
		}
		b.pass(5 * time.Second)
		judge()
		for r, k := range calls {
			if k.answered == 0 && !k.left && !gone[k.from] {
				t.Fatalf("%s has no answer", r)
			}
		}
		if b.open != 0 || b.QueuedCalls() != 0 {
			t.Fatalf("%d are owed an answer, %d held", b.open, b.QueuedCalls())
		}
	})
}
