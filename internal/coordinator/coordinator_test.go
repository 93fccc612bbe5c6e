package coordinator

import (
	"encoding/binary"
	"errors"
	"strings"
	"testing"

	"pipitring/decide"

	"github.com/google/go-cmp/cmp"
	"net/netip"
)

func entry(id uint32, phase decide.Phase) Entry {
	return Entry{ID: id, Addr: netip.MustParseAddrPort("127.0.0.9:5060"), ExchangeNumber: 2, Zone: 1, Phase: phase, Started: 1234567890123}
}

func TestDecoderReadsAppendedFrames(t *testing.T) {
	stream := append(AppendFrame(nil, Event{Index: 4, Entries: []Entry{entry(7, decide.Draining), entry(8, decide.Removed)}}), AppendHeartbeat(nil, 4)...)
	stream = append(stream, AppendFrame(nil, Event{Index: 5, Full: true, Entries: []Entry{entry(9, decide.Ready)}})...)
	for split := range stream {
		decoder := Decoder{LastIndex: 3}
		first, err1 := decoder.Push(stream[:split])
		rest, err2 := decoder.Push(stream[split:])
		got := append(first, rest...)
		want := []Event{{Index: 4, Entries: []Entry{entry(7, decide.Draining), entry(8, decide.Removed)}},
			{Index: 5, Full: true, Entries: []Entry{entry(9, decide.Ready)}}}
		if d := cmp.Diff(want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); d != "" || err1 != nil || err2 != nil {
			t.Fatalf("split at %d: %v %v\n%s", split, err1, err2, d)
		}
	}
}

func TestDecoderIgnoresDuplicatesAndReportsGaps(t *testing.T) {
	decoder := Decoder{LastIndex: 3}
	frame := func(n uint64) []byte {
		return AppendFrame(nil, Event{Index: n, Entries: []Entry{entry(7, decide.Ready)}})
	}
	got, err := decoder.Push(append(frame(4), frame(4)...))
	if len(got) != 1 || err != nil {
		t.Fatalf("%d events, %v", len(got), err)
	}
	if got, err := decoder.Push(frame(6)); len(got) != 0 || !errors.Is(err, ErrMissingEvents) || decoder.LastIndex != 4 {
		t.Fatalf("%d events, %v, last %d", len(got), err, decoder.LastIndex)
	}
	decoder.Reset()
	decoder.AllowGap = true // the events in between are missing again after a reconnect
	if got, err := decoder.Push(frame(6)); len(got) != 1 || err != nil || decoder.LastIndex != 6 || decoder.AllowGap {
		t.Fatalf("%d events, %v, last %d", len(got), err, decoder.LastIndex)
	}
}

func TestDecoderResumesAfterIncompleteFrame(t *testing.T) {
	decoder := Decoder{LastIndex: 3}
	stream := append(AppendFrame(nil, Event{Index: 4}), AppendFrame(nil, Event{Index: 5, Entries: []Entry{entry(7, decide.Ready)}})...)
	decoder.Push(stream[:len(stream)-5])
	decoder.Reset()
	if got := binary.BigEndian.Uint64(decoder.Hello()); got != 4 {
		t.Fatalf("resumes from index %d, want 4", got)
	}
	if got, err := decoder.Push(AppendFrame(nil, Event{Index: 5})); len(got) != 1 || err != nil {
		t.Fatalf("%d events, %v", len(got), err)
	}
}

func TestInvalidFrames(t *testing.T) {
	good := AppendFrame(nil, Event{Index: 4, Entries: []Entry{entry(7, decide.Ready)}})
	for name, change := range map[string]func(b []byte) []byte{
		"short":  func(b []byte) []byte { b[3] = 3; return b },
		"huge":   func(b []byte) []byte { b[0] = 0x80; return b },
		"kind":   func(b []byte) []byte { b[12] = 9; return b },
		"record": func(b []byte) []byte { b[3]--; return b },
		"state":  func(b []byte) []byte { b[13+10] = 3; return b },
	} {
		decoder := Decoder{LastIndex: 3}
		if got, err := decoder.Push(change(append([]byte(nil), good...))); len(got) != 0 || !errors.Is(err, ErrInvalidFrame) {
			t.Errorf("%s: %d events, %v", name, len(got), err)
		}
	}
}

func TestParseSnapshot(t *testing.T) {
	text := `{"index":3,"updates":[{"index":2,"endpoints":{"reset":true,"instances":[{"instanceId":"s-00c41f7a","hostPort":"127.0.0.9:5060",
	 "zone":"east","cell":2,"lifecycle":"Terminating","startedAtMs":5,"weight":1.0}]}}]}`
	events, last, err := ParseSnapshot([]byte(text), []string{"west", "east"})
	if err != nil || last != 3 || len(events) != 1 || !events[0].Full || events[0].Entries[0].ID != 0xc41f7a ||
		events[0].Entries[0].Phase != decide.Draining || events[0].Entries[0].Zone != 1 {
		t.Fatalf("%+v, %d, %v", events, last, err)
	}
	for _, bad := range [][2]string{{"s-00c41f7a", "s-xx"}, {"127.0.0.9:5060", "nowhere"}, {"Terminating", "Tired"}} {
		if _, _, err := ParseSnapshot([]byte(strings.Replace(text, bad[0], bad[1], 1)), nil); err == nil || !strings.Contains(err.Error(), "instances[0]") {
			t.Errorf("%s: error %v", bad[1], err)
		}
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add(AppendFrame(nil, Event{Index: 4, Entries: []Entry{entry(7, decide.Ready)}}), 9)
	f.Fuzz(func(t *testing.T, stream []byte, split int) {
		if split < 0 || split > len(stream) {
			return
		}
		whole, cut := Decoder{}, Decoder{}
		want, err := whole.Push(stream)
		a, err1 := cut.Push(stream[:split])
		var b []Event
		if err1 == nil {
			b, err1 = cut.Push(stream[split:])
		}
		if len(a)+len(b) != len(want) || !errors.Is(err1, err) || whole.LastIndex != cut.LastIndex {
			t.Fatalf("whole: %d, %v; cut: %d, %v", len(want), err, len(a)+len(b), err1)
		}
	})
}
