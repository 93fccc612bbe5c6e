package wire

import (
	"bytes"
	"encoding/hex"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"pipitring/decide"
)

// decodeHex decodes hex digits, ignoring white space.
func decodeHex(t testing.TB, s string) []byte {
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// paddedRecord decodes the hex of a record and appends zeros up to size bytes.
func paddedRecord(t testing.TB, s string, size int) []byte {
	b := decodeHex(t, s)
	return append(b, make([]byte, size-len(b))...)
}

// frame returns a frame of records and a tail with the clock at 1 s.
func frame(t testing.TB, tail []byte, records ...[]byte) []byte {
	body := append(bytes.Join(records, nil), tail...)
	head := decodeHex(t, "00000000 00000000 000000000000f03f")
	head[0], head[4], head[5] = byte(len(records)), byte(len(body)), byte(len(body)>>8)
	return append(head, body...)
}

func TestReadBatchBytes(t *testing.T) {
	b, err := ReadBatch(bytes.NewReader(frame(t, decodeHex(t, "0a124a07 2b23 0100 0000 0200 01 0000803f 0000000000000040"),
		paddedRecord(t, "02 0300 00000000 01000000", eventSize),
		paddedRecord(t, "08 03000000 02 2900000000000000 0300", eventSize),
		paddedRecord(t, "09 07000000 c4913a5d 0100 0200 0500000000000000 000000000000f03f 0000000000000000 00004040 0000803f 000080bf 0a00", eventSize),
		paddedRecord(t, "00 07000000 c4913a5d 0200 0a124a07 2b23 0300 000000000000e03f 01 12000000 02 0000803f 00000040", eventSize),
	)))
	if err != nil {
		t.Fatal(err)
	}
	sw := Addr{0x0a, 0x12, 0x4a, 0x07, 0x2b, 0x23}
	want := []Event{
		{Op: OpTable, Buffer: 3, Elements: []Entry{{Switch: sw, Hall: 1, Point: 2, Phase: 1, Rating: 1, ReadyAt: 2}}},
		{Op: OpSync, Proxy: 3, Scope: 2, Version: 41, Buffer: 3},
		{Op: OpSubmit, Proxy: 7, ID: 0x5d3a91c4, Priority: 1, Party: 2, RouteKey: 5, Grace: 1, Dest: 3, Units: 1,
			Through: -1, Attrs: AttrRedial | AttrTransit},
		{Op: OpResult, Proxy: 7, ID: 0x5d3a91c4, Attempt: 2, Switch: sw, How: 3, Duration: 0.5, Ended: 1, Cause: 18,
			Stats: Stats{N: 2, V: [4]float32{1, 2}}},
	}
	if b.Clock != 1 || !reflect.DeepEqual(b.Events, want) {
		t.Fatalf("got clock %v, events %+v", b.Clock, b.Events)
	}
}

func TestAppendReplyBytes(t *testing.T) {
	got, err := AppendReply(nil, []Action{
		{Op: OpPlace, Proxy: 3, ID: 0x5d3a91c4, Switch: Addr{10, 18, 74, 7, 0x2b, 0x23}, TryFor: 0.5},
		{Op: OpShed, Proxy: 3, ID: 1, CoolDown: 0.25},
		{Op: OpJournalLine, Proxy: 3, Blob: []byte("hi")},
		{Op: OpSleep, Proxy: 3, SleepFor: 0.5, Cookie: 77},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := bytes.Join([][]byte{decodeHex(t, "62000000 04000000"),
		paddedRecord(t, "40 03000000 c4913a5d 0a124a07 2b23 000000000000e03f", actionSize),
		paddedRecord(t, "41 03000000 01000000 000000000000d03f", actionSize),
		paddedRecord(t, "48 03000000 00000000 02000000", actionSize),
		paddedRecord(t, "44 03000000 000000000000e03f 4d00000000000000", actionSize), []byte("hi")}, nil)
	if !bytes.Equal(got, want) {
		t.Fatalf("got  %x\nwant %x", got, want)
	}
}

func TestRoundTrip(t *testing.T) {
	sw := Addr{1, 2, 3, 4, 5, 6}
	want := Batch{Clock: 12.5, Events: []Event{
		{Op: OpHello, Proxy: 1, Entropy: 9, Blob: []byte("{}")},
		{Op: OpTable, Buffer: 2, Elements: []Entry{{Switch: sw, Hall: 1, Kind: 2, Point: 3, Phase: 2, Rating: 1, ReadyAt: 4}}},
		{Op: OpSync, Proxy: 1, Scope: 1, Version: 3, Buffer: 2},
		{Op: OpStreaming, Proxy: 1, ID: 2, Attempt: 3, Switch: sw, Duration: 4},
		{Op: OpDatagram, Proxy: 1, Sender: 2, Blob: []byte("xyz")},
		{Op: OpDue, Proxy: 1, Cookie: 1 << 60},
		{Op: OpShutdown, Proxy: 4},
		{Op: OpClientLeft, Proxy: 1, ID: 8},
		{Op: OpProbeResult, Proxy: 1, Switch: sw, How: 1, Duration: 2, Stats: Stats{N: 4, V: [4]float32{1, 2, 3, -1}}},
	}}
	raw, err := AppendBatch(nil, want)
	if err != nil {
		t.Fatal(err)
	}
	r := bytes.NewReader(raw)
	got, err := ReadBatch(r)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%v\ngot  %+v\nwant %+v", err, got, want)
	}
	if _, err := ReadBatch(r); err != io.EOF {
		t.Fatalf("after the last frame: %v, want io.EOF", err)
	}
}

func TestMalformedFrames(t *testing.T) {
	for _, tc := range []struct {
		name, want string
		raw        []byte
	}{
		{"cut header", "frame header", decodeHex(t, "01000000")},
		{"cut body", "frame body: 2 of 56 bytes read", append(decodeHex(t, "01000000 38000000 0000000000000000"), 4, 0)},
		{"huge length", "frame body: 0 of 4294967295 bytes read", decodeHex(t, "00000000 ffffffff 0000000000000000")},
		{"too many records", "do not fit", decodeHex(t, "ffffffff 38000000 0000000000000000")},
		{"clock", "clock is NaN", decodeHex(t, "00000000 00000000 010000000000f87f")},
		{"unknown code", "record 0 of 1 (code 99): unknown event code", frame(t, nil, paddedRecord(t, "63", eventSize))},
		{"tail", "record 0 of 1 (code 3): tail reference", frame(t, nil, paddedRecord(t, "03 00000000 00000000 ffffffff ffffffff", eventSize))},
		{"entries", "tail reference", frame(t, []byte{1}, paddedRecord(t, "02 0000 00000000 01000000", eventSize))},
		{"report", "load report of 9 values", frame(t, nil, paddedRecord(t, "07 00000000 000000000000 0100 0000000000000000 09", eventSize))},
	} {
		if _, err := ReadBatch(bytes.NewReader(tc.raw)); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want one with %q", tc.name, err, tc.want)
		}
	}
}

func FuzzReadBatch(f *testing.F) {
	f.Add(frame(f, []byte("tail"), paddedRecord(f, "03 00000000 00000000 00000000 04000000", eventSize)))
	f.Add(frame(f, nil, paddedRecord(f, "02 0000 00000000 00000000", eventSize)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := ReadBatch(bytes.NewReader(raw))
		if err != nil {
			return
		}
		once, err := AppendBatch(nil, b)
		if err != nil {
			t.Fatalf("decoded batch cannot be encoded: %v", err)
		}
		again, err := ReadBatch(bytes.NewReader(once))
		if err != nil {
			t.Fatalf("encoded batch cannot be decoded: %v", err)
		}
		if twice, _ := AppendBatch(nil, again); !bytes.Equal(once, twice) {
			t.Fatal("decoding and encoding again changed the frame")
		}
	})
}

const goodSettings = `{"contract":{"coldFrom":0.3,"coldS":9,"fallMultiple":3,"fallS":2},"ordinal":1,
 "peersTotal":4,"familyInfo":{"holdingS":[12.1,7],"widths":[1,4],"releaseGuardS":0.3,"selfNo":2,
 "shape":"network","farReports":"inline","news":1},"limits":{"maxAttempts":5},"unheard":{},
 "profiles":[{"aimS":1.5,"deadlineS":9,"value":1},{"aimS":1,"deadlineS":6,"value":5,"repeat":"keyed","keyScope":"cell"}]}`

func TestParseSettings(t *testing.T) {
	got, err := ParseSettings([]byte(goodSettings))
	if err != nil {
		t.Fatal(err)
	}
	s := got.Settings
	if s.OwnExchange != 2 || s.Pools || s.Classes[1].Width != 4 || s.Classes[1].KeyScope != decide.ScopeExchange ||
		s.Classes[0].HoldTime != 12100*time.Millisecond || s.ReleaseWait != 300*time.Millisecond ||
		s.Classes[0].Repeat != decide.RepeatSafe {
		t.Fatalf("got %+v", s)
	}
}

func TestBadSettings(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`{"contract"`, `"contract"`, "settings: "},
		{`"widths":[1,4]`, `"widths":[0,4]`, "class 0"},
		{`[12.1,7]`, `[12.1]`, "holdingS has 1 values for 2 classes"},
		{`[12.1,7]`, `[12.1,-7]`, "class 1"},
		{`"releaseGuardS":0.3`, `"releaseGuardS":-1`, "negative"},
		{`"peersTotal":4`, `"peersTotal":0`, "at least one"},
		{`"coldFrom":0.3`, `"coldFrom":3`, "out of range"},
	} {
		text := strings.Replace(goodSettings, tc.old, tc.new, 1)
		if _, err := ParseSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want one with %q", tc.new, err, tc.want)
		}
	}
}

func TestReportOfUnknownValues(t *testing.T) {
	names := []string{"idle", "circuits", "util", "latency_ms"}
	if got := ParseReport(Stats{}, names); got != decide.NoReport {
		t.Errorf("no values: %+v", got)
	}
	got := ParseReport(Stats{N: 4, V: [4]float32{3, 40, -1, 250}}, names)
	want := decide.NoReport
	want.Free, want.Size, want.Wait = 3, 40, 0.25
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
