package m3ua

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestDataRoundTrip(t *testing.T) {
	for n := range 9 {
		want := Data{OPC: 0x0102, DPC: 0xffffff, SI: ServiceIndicatorISUP, NI: 2, MP: 1, SLS: 9, Payload: bytes.Repeat([]byte{7}, n)}
		b := AppendData([]byte("xyz"), 5, want)[3:] // a message may be appended to other data
		var m Message
		if err := Parse(b, &m); err != nil || m.Type != DATA || len(b)%4 != 0 {
			t.Fatalf("%d bytes of payload: %v, %v, %d", n, err, m.Type, len(b))
		}
		got, err := ParseData(&m)
		rc, _ := m.Uint(TagRoutingContext)
		if err != nil || !bytes.Equal(got.Payload, want.Payload) || got.DPC != want.DPC || got.SLS != 9 || rc != 5 {
			t.Errorf("got %+v, context %d, %v", got, rc, err)
		}
	}
}

func TestMalformed(t *testing.T) {
	good := Append(nil, ASPUP, Uint32Param(TagASPIdentifier, 7))
	for _, c := range []struct {
		name string
		edit func(b []byte) []byte
		want error
	}{
		{"cut", func(b []byte) []byte { return b[:6] }, ErrLength},
		{"length field", func(b []byte) []byte { b[7]++; return b }, ErrLength},
		{"version", func(b []byte) []byte { b[0] = 2; return b }, ErrVersion},
		{"parameter too short", func(b []byte) []byte { b[11] = 3; return b }, ErrParam},
		{"parameter past the end", func(b []byte) []byte { b[11] = 9; return b }, ErrParam},
	} {
		var m Message
		if err := Parse(c.edit(bytes.Clone(good)), &m); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// However the stream is split, Feed returns the same messages in the same order.
func TestStreamAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []byte
		var want [][]byte
		for range rapid.IntRange(1, 8).Draw(t, "messages") {
			m := Append(nil, BEAT, Param{TagHeartbeat, rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "beat")})
			want = append(want, m)
			all = append(all, m...)
		}
		var s Stream
		var got [][]byte
		for len(all) > 0 {
			n := rapid.IntRange(1, len(all)).Draw(t, "read")
			if err := s.Feed(all[:n], func(m []byte) error { got = append(got, bytes.Clone(m)); return nil }); err != nil {
				t.Fatal(err)
			}
			all = all[n:]
		}
		if len(got) != len(want) || s.Buffered() != 0 {
			t.Fatalf("%d messages of %d, %d bytes buffered", len(got), len(want), s.Buffered())
		}
		for i := range got {
			if !bytes.Equal(got[i], want[i]) {
				t.Fatalf("message %d: %x, want %x", i, got[i], want[i])
			}
		}
	})
}

func TestInvalidStreamLengths(t *testing.T) {
	for _, n := range []byte{0, 7, 9, 10} {
		var s Stream
		b := []byte{1, 0, 3, 1, 0, 0, 0, n, 0, 0, 0, 0}
		if err := s.Feed(b, func([]byte) error { return nil }); !errors.Is(err, ErrLength) {
			t.Errorf("length %d: %v", n, err)
		}
	}
	var s Stream
	if err := s.Feed([]byte{1, 0, 3, 1, 0, 1, 0, 0}, func([]byte) error { return nil }); !errors.Is(err, ErrLength) {
		t.Errorf("length 65536: %v", err)
	}
}

// deliver exchanges the bytes of two links until neither has any left to send.
func deliver(now time.Duration, a, b *Link) {
	for len(a.Out)+len(b.Out) > 0 {
		ab, ba := bytes.Clone(a.Out), bytes.Clone(b.Out)
		a.Out, b.Out = a.Out[:0], b.Out[:0]
		if len(ab) > 0 {
			b.Receive(now, ab)
		}
		if len(ba) > 0 {
			a.Receive(now, ba)
		}
	}
}

func takeEventKinds(l *Link) (k []EventKind) {
	for _, e := range l.Events {
		k = append(k, e.Kind)
	}
	l.Events = l.Events[:0]
	return k
}

func TestAssociationLifecycle(t *testing.T) {
	a, b := NewLink(0, true, Config{RoutingContext: 4}), NewLink(0, false, Config{RoutingContext: 4})
	if a.Send(Data{}) {
		t.Error("sent before the ASP was active")
	}
	deliver(0, a, b)
	if a.State() != Active || b.State() != Active || len(takeEventKinds(a)) != 1 || len(takeEventKinds(b)) != 1 {
		t.Fatalf("states %v %v", a.State(), b.State())
	}
	a.Send(Data{SI: ServiceIndicatorISUP, Payload: []byte("IAM")})
	deliver(0, a, b)
	if len(b.Events) != 1 || string(b.Events[0].Data.Payload) != "IAM" {
		t.Fatalf("received %+v", b.Events)
	}
	takeEventKinds(b)
	a.Stop(0)
	deliver(0, a, b)
	if got := takeEventKinds(b); len(got) != 1 || got[0] != Deactivated || b.State() != Down {
		t.Errorf("the other end: %v, state %v", got, b.State())
	}
	if got := takeEventKinds(a); len(got) != 2 || got[1] != AssociationDown {
		t.Errorf("stopped: %v", got)
	}
}

// If the peer does not acknowledge ASPUP, it is repeated at intervals, then the association ends once.
func TestNoAcknowledgement(t *testing.T) {
	l := NewLink(0, true, Config{AckTimeout: time.Second, MaxRetries: 2, HeartbeatInterval: time.Hour})
	for now := time.Duration(0); now < 10*time.Second; now += 100 * ms {
		l.Advance(now)
	}
	if got := takeEventKinds(l); len(got) != 1 || got[0] != AssociationDown || l.Stats.Out != 3 {
		t.Errorf("%v after %d messages", got, l.Stats.Out)
	}
	if _, ok := l.Next(); ok {
		t.Error("an ended association still has a timer")
	}
}

func TestHeartbeatTimeout(t *testing.T) {
	a, b := NewLink(0, true, Config{HeartbeatInterval: time.Second}), NewLink(0, false, Config{HeartbeatInterval: time.Second})
	deliver(0, a, b)
	takeEventKinds(a)
	// Both ends respond: heartbeats keep the association up.
	for now := time.Duration(0); now <= 5*time.Second; now += 100 * ms {
		a.Advance(now)
		b.Advance(now)
		deliver(now, a, b)
	}
	if a.State() != Active {
		t.Fatal("an association with a responding peer ended")
	}
	for now := 5 * time.Second; now <= 9*time.Second; now += 100 * ms {
		a.Advance(now)
	}
	if got := takeEventKinds(a); len(got) != 2 || got[0] != Deactivated || got[1] != AssociationDown {
		t.Errorf("%v", got)
	}
}

// A peer that never reads can fill the send buffer only to its limit; then the association ends.
func TestPeerThatNeverReads(t *testing.T) {
	a, b := NewLink(0, true, Config{MaxUnsentBytes: 10000}), NewLink(0, false, Config{})
	deliver(0, a, b)
	takeEventKinds(a)
	sent := 0
	for a.Send(Data{Payload: make([]byte, 100)}) {
		sent++
	}
	if len(a.Out) > 10000 || sent < 50 || takeEventKinds(a)[1] != AssociationDown {
		t.Errorf("%d bytes unsent after %d messages", len(a.Out), sent)
	}
}

// A message sequence that arrives one byte at a time and is cut at any byte does not end the association, and a new
// connection starts in the usual state.
func TestCutAtEveryByte(t *testing.T) {
	var whole []byte
	for _, ty := range []Type{ASPUP, ASPAC, DATA, BEAT, DAUD, NTFY, ERR, ASPIA, ASPDN} {
		whole = append(whole, Append(nil, ty, Uint32Param(TagTrafficMode, TrafficOverride))...)
	}
	whole = AppendData(whole, 0, Data{Payload: []byte("x")})
	for cut := range len(whole) {
		l := NewLink(0, false, Config{})
		for i := range cut {
			l.Receive(0, whole[i:i+1])
		}
		for _, e := range l.Events {
			if e.Kind == AssociationDown {
				t.Fatalf("cut at %d: %v", cut, e.Err)
			}
		}
		fresh := NewLink(0, false, Config{})
		fresh.Receive(0, Append(nil, ASPUP))
		if fresh.State() != Inactive {
			t.Fatalf("cut at %d: a new connection is in state %v", cut, fresh.State())
		}
	}
}

func TestErrorsAreAnswered(t *testing.T) {
	for _, c := range []struct {
		name string
		send []byte
		code uint32
	}{
		{"unknown class", Append(nil, Type{9, 1}), CodeUnsupportedClass},
		{"unknown type", Append(nil, Type{ClassASPSM, 99}), CodeUnsupportedType},
		{"data before active", AppendData(nil, 0, Data{}), CodeUnexpectedMessage},
		{"active before up", Append(nil, ASPAC), CodeUnexpectedMessage},
		{"other traffic mode", Append(Append(nil, ASPUP), ASPAC, Uint32Param(TagTrafficMode, TrafficLoadshare)), CodeUnsupportedTrafficMode},
		{"other routing context", Append(nil, ASPUP, Uint32Param(TagRoutingContext, 9)), CodeInvalidRoutingContext},
	} {
		l := NewLink(0, false, Config{RoutingContext: 4})
		l.Receive(0, c.send)
		var last Message
		var s Stream
		_ = s.Feed(l.Out, func(b []byte) error {
			var m Message
			if err := Parse(b, &m); err != nil {
				t.Fatal(err)
			}
			last = m
			return nil
		})
		if code, _ := last.Uint(TagErrorCode); last.Type != ERR || code != c.code {
			t.Errorf("%s: %v code %d", c.name, last.Type, code)
		}
	}
}

type fakeASP struct {
	state State
	got   []Data
}

func (a *fakeASP) State() State { return a.state }
func (a *fakeASP) Send(d Data) bool {
	if a.state != Active {
		return false
	}
	a.got = append(a.got, d)
	return true
}

func TestTrafficModes(t *testing.T) {
	one, two := &fakeASP{state: Active}, &fakeASP{state: Active}
	s := ApplicationServer{Mode: TrafficOverride}
	if s.Send(Data{}) {
		t.Error("sent without an active ASP")
	}
	s.Add(one)
	s.Add(two) // overrides the first ASP
	s.Send(Data{SLS: 1})
	two.state = Down // not yet removed from the server: the message is sent by the other ASP
	s.Send(Data{SLS: 2})
	s.Remove(two)
	s.Send(Data{SLS: 3})
	if len(two.got) != 1 || len(one.got) != 2 {
		t.Errorf("override: %d and %d", len(one.got), len(two.got))
	}
	one, two = &fakeASP{state: Active}, &fakeASP{state: Active}
	s = ApplicationServer{Mode: TrafficLoadshare, asps: []ASP{one, two}}
	for sls := range uint8(16) {
		s.Send(Data{SLS: sls})
		s.Send(Data{SLS: sls})
	}
	if len(one.got) != 16 || len(two.got) != 16 {
		t.Errorf("load-share: %d and %d", len(one.got), len(two.got))
	}
}

func FuzzLink(f *testing.F) {
	f.Add(Append(Append(nil, ASPUP), ASPAC, Uint32Param(TagTrafficMode, 1)))
	f.Add(AppendData(nil, 3, Data{Payload: []byte{1, 0, 1}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		l := NewLink(0, false, Config{})
		l.Receive(0, b)
		l.Advance(time.Second)
		var s Stream
		if err := s.Feed(l.Out, func(m []byte) error { return Parse(m, &Message{}) }); err != nil || s.Buffered() != 0 {
			t.Fatalf("answered %x: %v", l.Out, err)
		}
	})
}

func BenchmarkData(b *testing.B) {
	buf := AppendData(nil, 1, Data{SI: ServiceIndicatorISUP, Payload: make([]byte, 40)})
	var m Message
	b.ReportAllocs()
	for b.Loop() {
		buf = AppendData(buf[:0], 1, Data{SI: ServiceIndicatorISUP, Payload: buf[20:60]})
		if Parse(buf, &m) != nil {
			b.Fatal("malformed")
		}
	}
}
