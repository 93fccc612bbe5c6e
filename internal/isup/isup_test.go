package isup

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestNumbers(t *testing.T) {
	for _, n := range []string{"", "5", "55", "0123456789", "*61#", "061234567"} {
		b, err := AppendNumber(nil, n)
		got, ok := ParseNumber(b)
		if err != nil || !ok || got != n {
			t.Errorf("%q became %q, %v %v", n, got, ok, err)
		}
	}
	if _, err := AppendNumber(nil, "12x"); err == nil {
		t.Error("number 12x was accepted")
	}
	for _, b := range [][]byte{nil, {0x83}, {0x83, 0x10}, {0x03, 0x10, 0xa1}} {
		if n, ok := ParseNumber(b); ok {
			t.Errorf("malformed number %x was parsed as %q", b, n)
		}
	}
}

// Every message type, with all parameters of its layout and with optional ones, survives encoding and decoding.
func TestMessagesRoundTrip(t *testing.T) {
	for ty, l := range layouts {
		var params []Parameter
		for i, f := range l.fixed {
			params = append(params, Parameter{f.code, bytes.Repeat([]byte{byte(i + 1)}, f.size)})
		}
		for i, p := range l.variable {
			params = append(params, Parameter{p, bytes.Repeat([]byte{byte(i + 9)}, i+2)})
		}
		if l.optional {
			params = append(params, Parameter{HopCounter, []byte{3}}, Parameter{ParamCode(0xee), []byte("unknown")})
		}
		b := Append(nil, 0xabc, ty, params...)
		var m Message
		if err := Parse(b, &m); err != nil || m.CIC != 0xabc || m.Type != ty {
			t.Fatalf("%v: %v, CIC %x", ty, err, m.CIC)
		}
		for _, p := range params {
			if !bytes.Equal(m.Param(p.Code), p.Data) {
				t.Errorf("%v: parameter %x: %x, want %x", ty, p.Code, m.Param(p.Code), p.Data)
			}
		}
		for cut := range len(b) { // a truncated message is not read past its end
			_ = Parse(b[:cut], &m)
		}
	}
}

func TestRangeAndStatus(t *testing.T) {
	status := []bool{true, false, true, false, false, false, false, false, false, true}
	var m Message
	if err := Parse(Append(nil, 1, CGB, Parameter{SupervisionType, []byte{0}}, Range(10, status)), &m); err != nil {
		t.Fatal(err)
	}
	if n, got := ParseRange(&m); n != 10 || !slices.Equal(got, status) {
		t.Errorf("%d %v", n, got)
	}
	if err := Parse(Append(nil, 1, GRS, Parameter{RangeAndStatus, []byte{20, 1}}), &m); err != nil {
		t.Fatal(err)
	}
	if n, _ := ParseRange(&m); n != 0 {
		t.Error("too few status bits were accepted")
	}
}

func FuzzParse(f *testing.F) {
	f.Add(Append(nil, 5, IAM, Parameter{CalledNumber, []byte{3, 16, 0x21}}, Parameter{HopCounter, []byte{2}}))
	f.Add(Append(nil, 5, REL, Cause(16)))
	f.Add(Append(nil, 5, GRS, Range(31, nil)))
	f.Fuzz(func(t *testing.T, b []byte) {
		g := NewGroup(Config{FirstCIC: 1, Circuits: 8, OwnPointCode: 1, FarPointCode: 2})
		for now := range time.Duration(3) {
			g.Receive(now*time.Minute, b)
			g.Advance(now * time.Minute)
			for _, o := range g.Out {
				if err := Parse(o.Data, &Message{}); err != nil {
					t.Fatalf("sent %x: %v", o.Data, err)
				}
			}
			g.Out = g.Out[:0]
		}
	})
}

// groupPair is a test harness of both ends of a circuit group. A message arrives at the next call of deliver unless
// it is dropped.
type groupPair struct {
	now      time.Duration
	ends     [2]*Group
	inFlight [2][][]byte // messages under way to each end
	drop     func(to int, m *Message) bool
	events   [2][]Event
	log      []string // messages sent: time, sending and receiving end, type, CIC
}

func newGroupPair(circuits int) *groupPair {
	p := &groupPair{drop: func(int, *Message) bool { return false }}
	p.ends[0] = NewGroup(Config{FirstCIC: 1, Circuits: circuits, OwnPointCode: 10, FarPointCode: 20})
	p.ends[1] = NewGroup(Config{FirstCIC: 1, Circuits: circuits, OwnPointCode: 20, FarPointCode: 10})
	return p
}

// collect takes the messages and events of both ends, and drops the messages that drop selects.
func (p *groupPair) collect() {
	for i, g := range p.ends {
		for _, o := range g.Out {
			var m Message
			if err := Parse(o.Data, &m); err != nil {
				panic(err)
			}
			p.log = append(p.log, fmt.Sprintf("%v %d>%d %v %d", p.now, i, 1-i, m.Type, m.CIC))
			if !p.drop(1-i, &m) {
				p.inFlight[1-i] = append(p.inFlight[1-i], o.Data)
			}
		}
		g.Out = g.Out[:0]
		p.events[i] = append(p.events[i], g.Events...)
		g.Events = g.Events[:0]
	}
}

// deliver delivers the messages under way and collects the answers.
func (p *groupPair) deliver() {
	p.collect()
	arriving := p.inFlight
	p.inFlight = [2][][]byte{}
	for i, g := range p.ends {
		for _, b := range arriving[i] {
			g.Receive(p.now, b)
		}
	}
	p.collect()
}

func (p *groupPair) deliverAll() {
	for p.collect(); len(p.inFlight[0])+len(p.inFlight[1]) > 0; p.deliver() {
	}
}

// advance runs timers and delivers messages until d has passed.
func (p *groupPair) advance(d time.Duration) {
	until := p.now + d
	for {
		p.deliverAll()
		next := until + 1
		for _, g := range p.ends {
			if at, ok := g.Next(); ok {
				next = min(next, max(at, p.now))
			}
		}
		if next > until {
			p.now = until
			return
		}
		p.now = next
		for _, g := range p.ends {
			g.Advance(p.now)
		}
	}
}

func (p *groupPair) eventKinds(end int) (k []EventKind) {
	for _, e := range p.events[end] {
		if e.Kind != Alarm {
			k = append(k, e.Kind)
		}
	}
	return k
}

func (p *groupPair) checkIdle(t interface{ Errorf(string, ...any) }) {
	for i, g := range p.ends {
		if g.BusyCircuits() != 0 || g.timerQueue.Len() != 0 {
			t.Errorf("end %d: %d circuits busy, %d timers", i, g.BusyCircuits(), g.timerQueue.Len())
		}
	}
}

func (p *groupPair) seizeCall(t *testing.T) *Call {
	t.Helper()
	k := p.ends[0].Seize(p.now, Request{Called: "123", Calling: "9", Hops: 2, UserInfo: "alarm"})
	if k == nil {
		t.Fatal("no idle circuit")
	}
	p.deliverAll()
	return k
}

func (p *groupPair) offeredCall(t *testing.T) *Call {
	t.Helper()
	for _, e := range slices.Backward(p.events[1]) {
		if e.Kind == Offered {
			return e.Call
		}
	}
	t.Fatal("no call was offered")
	return nil
}

func TestWholeCall(t *testing.T) {
	p := newGroupPair(4)
	k := p.seizeCall(t)
	in := p.offeredCall(t)
	if r := p.events[1][0].Request; r.Called != "123" || r.Calling != "9" || r.Hops != 2 || r.UserInfo != "alarm" {
		t.Errorf("request %+v", r)
	}
	p.ends[1].Accept(p.now, in)
	p.ends[1].Answer(p.now, in)
	p.deliverAll()
	p.ends[0].Release(p.now, k, 16)
	p.deliverAll()
	if got := p.eventKinds(0); !slices.Equal(got, []EventKind{Accepted, Answered, Closed}) {
		t.Errorf("caller: %v", got)
	}
	if got := p.eventKinds(1); !slices.Equal(got, []EventKind{Offered, Released, Closed}) {
		t.Errorf("called: %v", got)
	}
	p.checkIdle(t)
}

// If ANM or REL of the called end crosses REL of the caller, both ends return to idle and the call ends once.
func TestCrossingMessages(t *testing.T) {
	for _, cross := range []string{"ANM", "REL"} {
		p := newGroupPair(2)
		k := p.seizeCall(t)
		in := p.offeredCall(t)
		p.ends[1].Accept(p.now, in)
		p.deliverAll()
		if cross == "REL" {
			p.ends[1].Release(p.now, in, 17)
		} else {
			p.ends[1].Answer(p.now, in)
		}
		p.ends[0].Release(p.now, k, 16)
		p.deliverAll()
		p.checkIdle(t)
		if got := p.eventKinds(0); got[len(got)-1] != Closed || slices.Contains(got, Answered) {
			t.Errorf("%s crosses: caller %v\n%v", cross, got, p.log)
		}
	}
}

func TestEachMessageLostOnce(t *testing.T) {
	for lost := range 5 {
		p := newGroupPair(2)
		n := 0
		p.drop = func(int, *Message) bool { n++; return n == lost+1 }
		k := p.seizeCall(t)
		if lost > 0 {
			in := p.offeredCall(t)
			p.ends[1].Accept(p.now, in)
			p.ends[1].Answer(p.now, in)
			p.deliverAll()
		}
		p.advance(2 * time.Minute) // until T7 or T9 expires
		p.ends[0].Release(p.now, k, 16)
		p.advance(20 * time.Minute)
		p.checkIdle(t)
		for end := range 2 {
			ends := 0
			for _, e := range p.eventKinds(end) {
				if e == Closed {
					ends++
				}
			}
			if want := map[bool]int{true: 0, false: 1}[end == 1 && lost == 0]; ends != want {
				t.Errorf("message %d lost: end %d closed %d times\n%v", lost, end, ends, p.log)
			}
		}
	}
}

// If RLC does not arrive, REL is repeated at intervals of T1, then RSC after T5, with an alarm at T5 and one at
// T17, until the far end answers.
func TestNoRLC(t *testing.T) {
	p := newGroupPair(1)
	k := p.seizeCall(t)
	p.drop = func(to int, m *Message) bool { return to == 0 }
	p.ends[0].Release(p.now, k, 16)
	p.advance(4 * time.Minute)
	if n := p.ends[0].Stats.Retransmits; n != 16 {
		t.Errorf("REL was repeated %d times in 4 minutes", n)
	}
	p.advance(8 * time.Minute)
	if p.ends[0].Stats.Alarms != 2 {
		t.Errorf("%d alarms", p.ends[0].Stats.Alarms)
	}
	p.drop = func(int, *Message) bool { return false }
	p.advance(10 * time.Minute)
	p.checkIdle(t)
	if got := p.eventKinds(0); !slices.Equal(got, []EventKind{Closed}) {
		t.Errorf("%v", got)
	}
}

// If ACM (T7) or ANM (T9) does not arrive, the call is lost once and the circuit becomes idle.
func TestNoACMOrANM(t *testing.T) {
	for _, accept := range []bool{false, true} {
		p := newGroupPair(1)
		p.seizeCall(t)
		if accept {
			p.ends[1].Accept(p.now, p.offeredCall(t))
		}
		p.advance(2 * time.Minute)
		want := []EventKind{Lost, Closed}
		if accept {
			want = append([]EventKind{Accepted}, want...)
		}
		if got := p.eventKinds(0); !slices.Equal(got, want) {
			t.Errorf("accepted %v: %v", accept, got)
		}
		p.checkIdle(t)
	}
}

// If both ends seize all circuits at once, one call continues on each circuit and the other gives way.
func TestGlareOnEveryCircuit(t *testing.T) {
	p := newGroupPair(10)
	for range 10 {
		for _, g := range p.ends {
			if g.Seize(p.now, Request{Called: "1", Hops: -1}) == nil {
				t.Fatal("no idle circuit")
			}
		}
	}
	p.deliverAll()
	for end := range 2 {
		count := map[EventKind]int{}
		for _, k := range p.eventKinds(end) {
			count[k]++
		}
		if count[Glare] != 5 || count[Closed] != 5 || count[Offered] != 5 {
			t.Errorf("end %d: %v", end, count)
		}
	}
	p.advance(10 * time.Minute)
	p.checkIdle(t)
}

// The ends seize circuits from opposite sides of the group, so that no dual seizure occurs while it is at most half
// full.
func TestSeizingFromOppositeSides(t *testing.T) {
	p := newGroupPair(10)
	for range 5 {
		for _, g := range p.ends {
			g.Seize(p.now, Request{Called: "1", Hops: -1})
		}
	}
	p.deliverAll()
	if n := p.ends[0].Stats.DualSeizures + p.ends[1].Stats.DualSeizures; n != 0 {
		t.Errorf("%d dual seizures on a half full group", n)
	}
}

func TestBlocking(t *testing.T) {
	p := newGroupPair(2)
	k := p.seizeCall(t) // on circuit 1 or 2, depending on which one end 0 controls
	p.ends[1].Block(p.now, 1, true)
	p.ends[1].Block(p.now, 2, true)
	p.deliverAll()
	if p.ends[0].Seize(p.now, Request{Called: "1"}) != nil {
		t.Error("a blocked circuit was seized")
	}
	in := p.offeredCall(t)
	p.ends[1].Answer(p.now, in) // a set-up in progress when BLO arrives continues
	p.deliverAll()
	if got := p.eventKinds(0); !slices.Equal(got, []EventKind{Answered}) {
		t.Errorf("%v", got)
	}
	p.ends[0].Release(p.now, k, 16)
	p.ends[1].Block(p.now, 1, false)
	p.ends[1].Block(p.now, 2, false)
	p.deliverAll()
	if p.ends[0].IdleCircuits() != 2 {
		t.Errorf("%d idle after unblocking", p.ends[0].IdleCircuits())
	}
	p.drop = func(int, *Message) bool { return true }
	p.ends[0].Block(p.now, 1, true)
	p.advance(time.Minute)
	if p.ends[0].Stats.Retransmits != 4 {
		t.Errorf("BLO was repeated %d times in a minute", p.ends[0].Stats.Retransmits)
	}
}

// GRS on a group with standing calls ends them once at both ends, and all circuits become idle.
func TestGroupReset(t *testing.T) {
	p := newGroupPair(40)
	for range 3 {
		p.seizeCall(t)
		p.ends[1].Answer(p.now, p.offeredCall(t))
	}
	p.deliverAll()
	p.ends[1].Block(p.now, 9, true)
	p.deliverAll()
	p.events = [2][]Event{}
	p.ends[0].ResetAll(p.now)
	p.advance(time.Minute)
	for end := range 2 {
		if got := p.eventKinds(end); len(got) != 6 || got[0] != Lost {
			t.Errorf("end %d: %v", end, got)
		}
	}
	p.checkIdle(t)
	if p.ends[0].IdleCircuits() != 39 {
		t.Errorf("%d idle circuits: the blocked one must stay blocked", p.ends[0].IdleCircuits())
	}
}

func TestUnknownCircuitAndMessage(t *testing.T) {
	p := newGroupPair(2)
	p.ends[0].Receive(0, Append(nil, 99, IAM, Parameter{CalledNumber, []byte{3, 16}}))
	p.ends[0].Receive(0, []byte{1, 0, 0xfd, 1, 2})
	p.ends[0].Receive(0, []byte{1})
	p.collect()
	if want := []string{"0s 0>1 UCIC 99", "0s 0>1 CFN 1"}; !slices.Equal(p.log, want) {
		t.Errorf("answered %v", p.log)
	}
	// If the far end lacks a circuit, the call on it ends and the circuit is not used again.
	q := newGroupPair(2)
	q.ends[1] = NewGroup(Config{FirstCIC: 1, Circuits: 0, OwnPointCode: 20, FarPointCode: 10})
	q.seizeCall(t)
	if got := q.eventKinds(0); !slices.Equal(got, []EventKind{Lost, Closed}) || q.ends[0].IdleCircuits() != 1 {
		t.Errorf("%v, %d idle", got, q.ends[0].IdleCircuits())
	}
}

// After any sequence of calls, releases, blockings, resets, losses and delays, every circuit returns to idle or
// blocked, and each call ends once.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newGroupPair(3)
		calls := [2][]*Call{}
		seen := [2]int{}
		losing := true
		p.drop = func(int, *Message) bool { return losing && rapid.IntRange(0, 4).Draw(t, "lose") == 0 }
		recordOffered := func() {
			for end := range 2 {
				for _, e := range p.events[end][seen[end]:] {
					if e.Kind == Offered {
						calls[end] = append(calls[end], e.Call)
					}
				}
				seen[end] = len(p.events[end])
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			end := rapid.IntRange(0, 1).Draw(t, "end")
			g := p.ends[end]
			var k *Call
			if n := len(calls[end]); n > 0 {
				k = calls[end][rapid.IntRange(0, n-1).Draw(t, "call")]
			}
			switch action := rapid.IntRange(0, 7).Draw(t, "what"); {
			case action <= 1:
				if k := g.Seize(p.now, Request{Called: "12", Hops: -1}); k != nil {
					calls[end] = append(calls[end], k)
				}
			case action == 2 && k != nil:
				g.Accept(p.now, k)
			case action == 3 && k != nil:
				g.Answer(p.now, k)
			case action == 4 && k != nil:
				g.Release(p.now, k, 16)
			case action == 5:
				g.Block(p.now, CIC(rapid.IntRange(1, 3).Draw(t, "cic")), rapid.Bool().Draw(t, "on"))
			case action == 6 && rapid.IntRange(0, 5).Draw(t, "restart") == 0:
				g.ResetAll(p.now)
			default:
				p.advance(time.Duration(rapid.IntRange(0, 100).Draw(t, "s")) * time.Second)
			}
			p.deliver()
			recordOffered()
		}
		losing = false
		p.advance(10 * time.Minute) // lets every pending request be answered
		recordOffered()
		for end := range 2 {
			for _, k := range calls[end] {
				p.ends[end].Release(p.now, k, 16)
			}
		}
		p.advance(2 * time.Hour)
		recordOffered()
		p.checkIdle(t)
		for end := range 2 {
			closes, ends := map[*Call]int{}, map[*Call]int{}
			for _, e := range p.events[end] {
				switch e.Kind {
				case Closed:
					closes[e.Call]++
				case Released, Lost, Glare:
					ends[e.Call]++
				case Answered:
					if closes[e.Call]+ends[e.Call] > 0 {
						t.Fatal("a call was answered after its end")
					}
				}
			}
			for _, k := range calls[end] {
				if closes[k] != 1 || ends[k] > 1 {
					t.Fatalf("end %d: a call on circuit %d closed %d times, ended %d times", end, k.CIC(), closes[k], ends[k])
				}
			}
		}
	})
}

func BenchmarkIAM(b *testing.B) {
	number, _ := AppendNumber(nil, "0612345678")
	var buf []byte
	var m Message
	b.ReportAllocs()
	for b.Loop() {
		buf = Append(buf[:0], 7, IAM, Parameter{CalledNumber, number}, Parameter{HopCounter, number[:1]})
		if Parse(buf, &m) != nil {
			b.Fatal("malformed")
		}
	}
}
