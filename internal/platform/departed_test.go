package platform

import (
	"strings"
	"testing"
	"time"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
)

// TestAGiveUpInTheSamePiece: set-ups that are given up further on in what was read together never begin; the others do.
func TestAGiveUpInTheSamePiece(t *testing.T) {
	b := upBed(t)
	p, sw := b.accept(), b.switches[1]
	b.round(Input{Conn: p, Kind: InputData, Bytes: piece(setUp(7, 1, ""))}, Input{Conn: p, Kind: InputData, Bytes: piece(down(7, 16, ""), down(7, 16, ""))})
	b.want(sw)
	b.send(p, setUp(1, 1, ""), setUp(2, 1, ""), down(1, 16, ""), setUp(3, 1, ""), down(9, 16, ""), down(3, 16, ""))
	b.want(sw, "new 2")
	b.want(p)
	b.send(p, setUp(1, 1, "")) // the reference is free again
	b.want(sw, "new 1")
	for _, n := range []int{1, 2} {
		b.send(sw, up(n))
		b.send(p, down(n, 16, ""))
	}
	b.want(sw, "down 1 16", "down 2 16")
	b.quiet()
}

// TestDeparted: of what a caller brought before it went nothing begins, and open set-ups are called off; releases of
// calls that stand count, whoever they come from, and what is owed to callers goes to others.
func TestDeparted(t *testing.T) {
	b := upBed(t)
	p, q, sw := b.accept(), b.accept(), b.switches[1]
	b.send(p, setUp(1, 1, ""), setUp(2, 1, ""))
	b.send(sw, up(1))
	b.send(q, setUp(3, 1, ""), setUp(4, 1, ""))
	b.send(sw, up(3), up(4))
	b.want(sw, "new 1", "new 2", "new 3", "new 4")
	b.want(p, "up 1")
	b.want(q, "up 3", "up 4")
	b.round(Input{Conn: p, Kind: InputData, Bytes: piece(setUp(5, 1, ""), down(3, 16, ""), setUp(6, 1, "")), EOF: true}, Input{Conn: p, Kind: InputClosed})
	b.want(sw, "down 2 16", "down 3 16")
	b.want(p)
	b.send(sw, down(1, 16, "")) // its own connection has gone
	b.want(p)
	b.want(q, "down 1 16")
	b.send(q, down(4, 16, ""))
	b.want(sw, "down 4 16")
	b.quiet()
}

// TestARoundIsTakenByWhatItMeans: whatever the order in which a round's news was found, nothing leaves for a caller that
// has gone or given up, to a switch told to drain, or on a connection that is lost; and an answer that crosses a give-up
// is not passed on.
func TestARoundIsTakenByWhatItMeans(t *testing.T) {
	drain := coordinator.AppendFrame(nil, coordinator.Event{Index: 2, Entries: []coordinator.Entry{entry(1, 1, 2, decide.Draining)}})
	free := piece(`{"t":"gauge","f":{"load":"idle:10;circuits:10"}}`)
	for name, c := range map[string]struct {
		late   func(b *bed, p ConnID) []Input
		caller string // what the caller of call 2 is told
		out    string // what its switch is told
	}{
		"a circuit is free, the caller gone": {func(b *bed, p ConnID) []Input {
			return []Input{{Conn: b.switches[1], Kind: InputData, Bytes: free}, {Conn: p, Kind: InputClosed}}
		}, "", ""},
		"a circuit is free, the call given up": {func(b *bed, p ConnID) []Input {
			return []Input{{Conn: b.switches[1], Kind: InputData, Bytes: free}, {Conn: p, Kind: InputData, Bytes: piece(down(2, 16, ""))}}
		}, "", ""},
		"a circuit is free": {func(b *bed, p ConnID) []Input {
			return []Input{{Conn: b.switches[1], Kind: InputData, Bytes: free}}
		}, "", "new 2"},
		"a circuit is free, the switch drains": {func(b *bed, p ConnID) []Input {
			return []Input{{Conn: b.switches[1], Kind: InputData, Bytes: free}, {Conn: b.coord, Kind: InputData, Bytes: drain}}
		}, "", ""},
		"asked beside a drain": {func(b *bed, p ConnID) []Input {
			return []Input{{Conn: p, Kind: InputData, Bytes: piece(setUp(3, 1, ""))}, {Conn: b.coord, Kind: InputData, Bytes: drain},
				{Conn: b.switches[1], Kind: InputData, Bytes: free}}
		}, "", ""},
		"asked beside a loss": {func(b *bed, p ConnID) []Input {
			return []Input{{Conn: p, Kind: InputData, Bytes: piece(setUp(3, 1, ""))}, {Conn: b.switches[1], Kind: InputData, Bytes: free},
				{Conn: b.switches[1], Kind: InputClosed}}
		}, "down 2", "new 2"},
	} {
		b := upBed(t)
		p, sw := b.accept(), b.switches[1]
		for _, l := range b.switches {
			b.send(l, `{"t":"gauge","f":{"load":"idle:0;circuits:10"}}`)
		}
		b.send(p, setUp(2, 1, ""))
		if b.QueuedCalls() != 1 {
			t.Fatal("the call is not held")
		}
		b.round(c.late(b, p)...)
		var out, told []string
		for _, l := range b.got(sw) {
			out = append(out, l.Type+" "+strings.TrimLeft(l.Ref, "0"))
		}
		for _, l := range b.got(p) {
			told = append(told, l.Type+" "+strings.TrimLeft(l.Ref, "0"))
		}
		if strings.Join(out, ", ") != c.out || strings.Join(told, ", ") != c.caller {
			t.Errorf("%s: to the switch %q, want %q; to the caller %q, want %q", name, out, c.out, told, c.caller)
		}
	}
}

// TestWhatOneDepartureFreesIsNotUsedForAnother: a caller goes with a call that is out and one that waits for its turn at a
// cold switch. The process has stood still, so the turn has come; it is not taken because the first call was called off.
func TestWhatOneDepartureFreesIsNotUsedForAnother(t *testing.T) {
	b := upBed(t)
	p, sw := b.accept(), b.switches[1]
	fresh := entry(1, 1, 2, decide.Ready)
	fresh.Started = b.wall.UnixMilli()
	b.list(2, fresh)
	n := 0
	for b.QueuedCalls() == 0 || len(b.lines[sw]) == 0 {
		if b.QueuedCalls() == 1 { // not one out yet: its turn comes
			b.pass(10 * ms)
			continue
		}
		n++
		b.send(p, setUp(n, 1, ""))
	}
	out := len(b.got(sw))
	b.at += 900 * ms // the waiting call's patience is longer
	b.round(Input{Conn: p, Kind: InputClosed})
	for _, m := range b.got(sw) {
		if m.Type == jsonl.TypeNew {
			t.Fatalf("of %d calls %d were out; %s left for a caller that had gone", n, out, m.Ref)
		}
	}
	b.quiet()
}

// TestWhatADepartureFreesIsNotSentToADrainingSwitch: another caller's call waits for its turn at the same cold switch; the
// drain is told in the same round.
func TestWhatADepartureFreesIsNotSentToADrainingSwitch(t *testing.T) {
	b := upBed(t)
	p, q, sw := b.accept(), b.accept(), b.switches[1]
	fresh := entry(1, 1, 2, decide.Ready)
	fresh.Started = b.wall.UnixMilli()
	b.list(2, fresh)
	for n := 1; len(b.lines[sw]) == 0; n++ {
		b.send(p, setUp(n, 1, ""))
		b.pass(100 * ms)
	}
	for n, held := 100, b.QueuedCalls(); b.QueuedCalls() == held; n++ {
		b.send(q, setUp(n, 1, ""))
	}
	b.got(sw)
	b.at += 900 * ms
	b.round(Input{Conn: p, Kind: InputClosed},
		Input{Conn: b.coord, Kind: InputData, Bytes: coordinator.AppendFrame(nil, coordinator.Event{Index: 3, Entries: []coordinator.Entry{entry(1, 1, 2, decide.Draining)}})})
	for _, m := range b.got(sw) {
		if m.Type == jsonl.TypeNew {
			t.Fatalf("%s left for a switch told to drain", m.Ref)
		}
	}
}

// TestWantOfDescriptorsSaysNothingOfASwitch: a connection that could not be made for want of descriptors ends no call and
// leaves the attempt that waits for it, has a silent caller's connection ended, and is tried again.
func TestWantOfDescriptorsSaysNothingOfASwitch(t *testing.T) {
	b := upBed(t)
	p := b.accept()
	b.send(p, setUp(1, 1, ""))
	b.send(b.switches[1], up(1))
	b.want(p, "up 1")
	silent := b.accept()
	b.pass(time.Second)
	b.Closed(b.at, b.switches[1]) // its calls stand on
	b.send(p, setUp(2, 1, ""))
	d := b.dialled()
	b.DialFailed(b.at, d[0].Conn, DialNoDescriptors)
	b.take()
	if !b.closed[silent] || b.closed[p] {
		t.Fatalf("ended: the silent caller %t, the usual one %t", b.closed[silent], b.closed[p])
	}
	b.want(p)
	b.pass(100 * ms)
	b.connect(b.dialled()[0])
	b.want(b.switches[1], "new 2")
}

// TestRoomIsMadeWhenTheListGrows: each switch more takes descriptors from the callers' part; those that bear calls stay.
func TestRoomIsMadeWhenTheListGrows(t *testing.T) {
	b := upBed(t)
	p := b.accept()
	b.send(p, setUp(1, 1, ""))
	most := b.cfg.budget(len(b.Core.switches))
	for len(b.callers) < most {
		b.accept()
	}
	var more []coordinator.Entry
	for n := 3; n < 13; n++ {
		more = append(more, entry(uint32(n), n, n+1, decide.Ready))
	}
	b.list(2, more...)
	if now := b.cfg.budget(len(b.Core.switches)); len(b.callers) != now || now >= most || b.closed[p] {
		t.Fatalf("%d callers of %d, before %d; the usual one ended: %t", len(b.callers), now, most, b.closed[p])
	}
}

// TestAPieceOfManyLines: lines behind one that cannot be read are not acted upon, and it ends the connection once.
func TestAPieceOfManyLines(t *testing.T) {
	b := upBed(t)
	p := b.accept()
	b.send(p, setUp(1, 1, ""), `{"t":"new"`, setUp(2, 1, ""), down(1, 16, ""))
	b.want(b.switches[1], "new 1", "down 1 16")
	b.want(p, "down 1 41")
	if !b.closed[p] {
		t.Fatal("it stays open")
	}
	q := b.accept()
	b.Receive(b.at, q, []byte(setUp(3, 1, "")+"\n"+strings.Repeat("x", jsonl.MaxLine+1)))
	b.take()
	b.want(q, "down 3 41")
	b.quiet()
}
