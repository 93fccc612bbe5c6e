package iax2

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"
)

func TestFullFrameRoundTrip(t *testing.T) {
	for _, f := range []Frame{
		{Source: 1, Dest: 0, Type: FrameIAX, Subclass: New, Payload: []byte{1, 1, '5'}},
		{Source: MaxCallNumber, Dest: MaxCallNumber, Retransmitted: true, Timestamp: 1<<32 - 1, OSeq: 255, ISeq: 254,
			Type: FrameControl, Subclass: ControlAnswer},
		{Source: 7, Dest: 9, Type: FrameVoice, Subclass: 1 << 20, Payload: bytes.Repeat([]byte{3}, 160)},
	} {
		b := AppendFull(nil, &f)
		var got Frame
		if err := ParseFrame(b, &got); err != nil {
			t.Fatal(err)
		}
		if again := AppendFull(nil, &got); !bytes.Equal(b, again) {
			t.Errorf("%s: %x became %x", f.Name(), b, again)
		}
		if got.Subclass != f.Subclass || got.Dest != f.Dest || got.Retransmitted != f.Retransmitted {
			t.Errorf("%s: got %+v", f.Name(), got)
		}
	}
}

func TestMalformedFrames(t *testing.T) {
	cases := []struct {
		name string
		b    []byte
		want error
	}{
		{"empty", nil, ErrShort},
		{"mini without timestamp", []byte{0, 5, 1}, ErrShort},
		{"full cut in the header", []byte{0x80, 1, 0, 0, 0, 0, 0, 0, 0, 0, 6}, ErrShort},
		{"zero source", []byte{0x80, 0, 0, 1, 0, 0, 0, 0, 0, 0, 6, 1}, ErrZeroSource},
	}
	for _, c := range cases {
		var f Frame
		if err := ParseFrame(c.b, &f); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	var e Elements
	for _, b := range [][]byte{{1}, {1, 5, 'x'}, {byte(Format), 3, 0, 0, 0}, {byte(Version), 0}} {
		if e.Parse(b) == nil {
			t.Errorf("malformed elements %x were accepted", b)
		}
	}
}

// Every element defined by the RFCs survives encoding and decoding, and unknown elements are kept.
func TestElementsRoundTrip(t *testing.T) {
	var b []byte
	for code := Element(0); code < elementCount; code++ {
		switch k := elementKinds[code]; k {
		case kindUnknown:
		case kindText, kindBytes:
			b = AppendText(b, code, strings.Repeat("x", int(code)))
		case kindEmpty:
			b = AppendEmpty(b, code)
		case kindAddr:
			b = AppendAddr(b, Addr{[4]byte{127, 0, 0, 9}, 4569})
		default:
			b = AppendUint(b, code, 0x01020304>>(8*(4-k.size())))
		}
	}
	b = append(b, 0xee, 2, 7, 8)
	var e Elements
	if err := e.Parse(b); err != nil {
		t.Fatal(err)
	}
	for code := Element(0); code < elementCount; code++ {
		k := elementKinds[code]
		if e.Has(code) != (k != kindUnknown) {
			t.Errorf("element 0x%02x: has is %v", uint8(code), e.Has(code))
		}
		if k == kindText && len(e.Text(code)) != int(code) {
			t.Errorf("element 0x%02x: %q", uint8(code), e.Text(code))
		}
	}
	if got := e.Uint(Capability); got != 0x01020304 {
		t.Errorf("capability %x", got)
	}
	if a, ok := e.Addr(); !ok || a.String() != "127.0.0.9:4569" {
		t.Errorf("apparent address %v", a)
	}
	if len(e.Unknown) != 1 || e.Unknown[0].Code != 0xee || !bytes.Equal(e.Unknown[0].Value, []byte{7, 8}) {
		t.Errorf("unknown elements %v", e.Unknown)
	}
}

func TestDateTime(t *testing.T) {
	want := time.Date(2026, 2, 28, 23, 59, 58, 0, time.UTC)
	var e Elements
	if err := e.Parse(AppendTime(nil, want)); err != nil {
		t.Fatal(err)
	}
	if got, ok := e.Time(); !ok || !got.Equal(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// For any input, an endpoint stays within its limits and sends only well-formed frames.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{0x80, 5, 0, 0, 0, 0, 0, 1, 0, 0, 6, 1, 0x0b, 2, 0, 2, 1, 2, '4', '2'})
	f.Add([]byte{0x80, 5, 0, 2, 0, 0, 0, 1, 0, 0, 6, 5, 42, 1, 16})
	f.Add([]byte{0, 5, 0, 0, 1, 2, 3})
	f.Add([]byte{0, 0, 1, 1, 9, 9})
	f.Fuzz(func(t *testing.T, b []byte) {
		ep := NewEndpoint(Config{MaxDialogs: 8, Secret: func(string) (string, bool) { return "s", true }})
		from := Addr{[4]byte{127, 0, 0, 1}, 9}
		for i, now := 0, time.Duration(0); i < 12; i, now = i+1, now+time.Second {
			ep.Receive(now, from, b)
			ep.Advance(now)
			for j := range ep.Out.Len() {
				_, out := ep.Out.At(j)
				var fr Frame
				var e Elements
				if err := ParseFrame(out, &fr); err != nil {
					t.Fatalf("sent %x: %v", out, err)
				}
				if fr.Layout == Full && fr.Type == FrameIAX {
					if err := e.Parse(fr.Payload); err != nil {
						t.Fatalf("sent %x: %v", out, err)
					}
				}
			}
			ep.Out.Reset()
		}
		if ep.DialogCount() > 8 {
			t.Fatalf("%d dialogs", ep.DialogCount())
		}
	})
}
