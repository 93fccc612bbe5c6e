package iax2

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var (
	addrA = Addr{[4]byte{127, 0, 0, 1}, 1}
	addrB = Addr{[4]byte{127, 0, 0, 2}, 2}
)

// wire connects endpoints over a simulated network with a delay and, if faults is set, with loss, duplication
// and reordering.
type wire struct {
	endpoints map[Addr]*Endpoint
	order     []Addr
	inFlight  []datagram
	now       time.Duration
	faults    *rand.Rand
	loss      float64
	drop      func(f *Frame) bool // reports whether to drop a frame
	log       []string
	events    map[Addr][]Event
	onEvent   func(at Addr, e Event)
}

type datagram struct {
	at       time.Duration // arrival time
	from, to Addr
	b        []byte
}

func newWire(a, b Config) *wire {
	w := &wire{endpoints: map[Addr]*Endpoint{addrA: NewEndpoint(a), addrB: NewEndpoint(b)},
		order: []Addr{addrA, addrB}, events: map[Addr][]Event{}}
	w.onEvent = func(Addr, Event) {}
	return w
}

func (w *wire) flush() {
	for again := true; again; {
		again = false
		for _, a := range w.order {
			ep := w.endpoints[a]
			w.events[a] = append(w.events[a], ep.Events...)
			events := slices.Clone(ep.Events)
			ep.Events = ep.Events[:0]
			for _, e := range events {
				w.onEvent(a, e)
				again = true
			}
			ep.Flush(w.now)
			for i := range ep.Out.Len() {
				to, b := ep.Out.At(i)
				w.transmit(a, to, b)
			}
			ep.Out.Reset()
		}
	}
}

func (w *wire) transmit(from, to Addr, b []byte) {
	var f Frame
	if err := ParseFrame(b, &f); err != nil {
		panic(err)
	}
	w.log = append(w.log, fmt.Sprintf("%v %v>%v %s", w.now, from.Port, to.Port, f.Name()))
	if w.drop != nil && w.drop(&f) || w.faults != nil && w.faults.Float64() < w.loss {
		return
	}
	copies := 1
	if w.faults != nil && w.faults.Float64() < w.loss {
		copies = 2
	}
	for range copies {
		delay := 10 * ms
		if w.faults != nil {
			delay = time.Duration(1+w.faults.IntN(40)) * ms
		}
		w.inFlight = append(w.inFlight, datagram{w.now + delay, from, to, slices.Clone(b)})
	}
}

// run simulates the network until the given time.
func (w *wire) run(until time.Duration) {
	w.flush()
	for {
		next := until + 1
		for _, f := range w.inFlight {
			next = min(next, f.at)
		}
		for _, a := range w.order {
			if at, ok := w.endpoints[a].Next(); ok {
				next = min(next, max(at, w.now))
			}
		}
		if next > until {
			w.now = until
			return
		}
		w.now = next
		for i := 0; i < len(w.inFlight); i++ {
			if f := w.inFlight[i]; f.at <= w.now {
				w.inFlight = slices.Delete(w.inFlight, i, i+1)
				i--
				if ep := w.endpoints[f.to]; ep != nil {
					ep.Receive(w.now, f.from, f.b)
				}
			}
		}
		for _, a := range w.order {
			w.endpoints[a].Advance(w.now)
		}
		w.flush()
	}
}

func (w *wire) eventKinds(a Addr) (k []Kind) {
	for _, e := range w.events[a] {
		k = append(k, e.Kind)
	}
	return k
}

// answerCalls makes each endpoint answer its incoming calls without delay.
func (w *wire) answerCalls() {
	w.onEvent = func(at Addr, e Event) {
		if e.Kind == Offered {
			e.Dialog.Answer(w.now)
		}
	}
}

func (w *wire) call(t *testing.T, r Request) *Dialog {
	t.Helper()
	d, err := w.endpoints[addrA].Call(w.now, addrB, r)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestCallAnsweredAndReleased(t *testing.T) {
	w := newWire(Config{}, Config{AcceptDelay: 100 * ms, AckDelay: 20 * ms})
	w.answerCalls()
	d := w.call(t, Request{Called: "5001", Calling: "77", Context: "alarm", User: "lift", Redirecting: "3"})
	w.run(time.Second)
	if got := w.eventKinds(addrA); !slices.Equal(got, []Kind{Accepted, Answered}) {
		t.Fatalf("caller saw %v\n%v", got, w.log)
	}
	r := w.events[addrB][0].Request
	if r.Called != "5001" || r.Calling != "77" || r.Context != "alarm" || r.User != "lift" || r.Redirecting != "3" {
		t.Errorf("request %+v", r)
	}
	d.Release(w.now, CauseNormal, "")
	w.run(10 * time.Second)
	if got := w.eventKinds(addrA); !slices.Equal(got, []Kind{Accepted, Answered, Closed}) {
		t.Errorf("caller saw %v", got)
	}
	if got := w.eventKinds(addrB); !slices.Equal(got, []Kind{Offered, Released, Closed}) {
		t.Errorf("called saw %v", got)
	}
	if n := w.endpoints[addrA].DialogCount() + w.endpoints[addrB].DialogCount(); n != 0 {
		t.Errorf("%d dialogs left", n)
	}
	if len(w.log) > 8 {
		t.Errorf("%d datagrams for one call: %v", len(w.log), w.log)
	}
}

// A call rejected before it was accepted takes three frames: NEW, REJECT and ACK.
func TestRejectBeforeAccept(t *testing.T) {
	w := newWire(Config{}, Config{AcceptDelay: 100 * ms})
	w.onEvent = func(at Addr, e Event) {
		if e.Kind == Offered {
			e.Dialog.Release(w.now, CauseNoCircuit, "no circuit")
		}
	}
	w.call(t, Request{Called: "1"})
	w.run(10 * time.Second)
	got := w.events[addrA]
	if len(got) != 2 || got[0].Kind != Released || got[0].Cause != CauseNoCircuit || got[1].Kind != Closed {
		t.Fatalf("caller saw %+v", got)
	}
	if len(w.log) != 3 {
		t.Errorf("datagrams %v", w.log)
	}
}

// Whichever frame of a call is lost, it is retransmitted: the call is answered and ends exactly once at both
// ends.
func TestEachFrameLostOnce(t *testing.T) {
	for lost := range 9 {
		w := newWire(Config{}, Config{})
		w.answerCalls()
		n := 0
		w.drop = func(f *Frame) bool { n++; return n == lost+1 }
		d := w.call(t, Request{Called: "1"})
		w.run(4 * time.Second)
		d.Release(w.now, CauseNormal, "")
		w.run(40 * time.Second)
		if got := w.eventKinds(addrA); !slices.Equal(got, []Kind{Accepted, Answered, Closed}) {
			t.Errorf("frame %d lost: caller saw %v\n%v", lost, got, w.log)
		}
		if got := w.eventKinds(addrB); !slices.Equal(got, []Kind{Offered, Released, Closed}) {
			t.Errorf("frame %d lost: called saw %v\n%v", lost, got, w.log)
		}
	}
}

// If the peer does not respond, NEW is retransmitted at doubling intervals, then the call is lost once.
func TestUnresponsivePeer(t *testing.T) {
	w := newWire(Config{RetransmitInterval: 500 * ms, MaxRetransmits: 3}, Config{})
	w.drop = func(*Frame) bool { return true }
	w.call(t, Request{Called: "1"})
	w.run(time.Minute)
	if got := w.eventKinds(addrA); !slices.Equal(got, []Kind{Lost, Closed}) {
		t.Fatalf("caller saw %v", got)
	}
	want := []string{"0s 1>2 NEW", "500ms 1>2 NEW", "1.5s 1>2 NEW", "3.5s 1>2 NEW"}
	if !slices.Equal(w.log, want) {
		t.Errorf("sent %v", w.log)
	}
}

// If a call is released before any answer, HANGUP is sent, NEW is not sent again, and a late ACCEPT has no
// effect.
func TestReleasedBeforeAnyAnswer(t *testing.T) {
	w := newWire(Config{}, Config{})
	w.drop = func(f *Frame) bool { return f.Is(New) && w.now == 0 }
	d := w.call(t, Request{Called: "1"})
	w.run(100 * ms)
	d.Release(w.now, CauseNormal, "")
	w.run(20 * time.Second)
	if got := w.eventKinds(addrA); !slices.Equal(got, []Kind{Closed}) {
		t.Errorf("caller saw %v\n%v", got, w.log)
	}
	for _, l := range w.log[1:] {
		if l[len(l)-3:] == "NEW" {
			t.Errorf("NEW was sent again: %v", w.log)
		}
	}
	if w.endpoints[addrB].DialogCount() != 0 {
		t.Error("the far end still has a dialog")
	}
}

func TestRestartedPeerReusesNumber(t *testing.T) {
	w := newWire(Config{}, Config{})
	w.answerCalls()
	w.call(t, Request{Called: "1"})
	w.run(time.Second)
	w.endpoints[addrA] = NewEndpoint(Config{}) // restarts without any state
	w.call(t, Request{Called: "2"})
	w.run(2 * time.Second)
	if got := w.eventKinds(addrB); !slices.Equal(got, []Kind{Offered, Lost, Closed, Offered}) {
		t.Errorf("called saw %v\n%v", got, w.log)
	}
	if w.events[addrB][1].Reason != Restarted {
		t.Errorf("reason %v", w.events[addrB][1].Reason)
	}
}

// An INVAL during a call ends the call at once.
func TestInvalMidCall(t *testing.T) {
	w := newWire(Config{PingInterval: time.Second}, Config{})
	w.answerCalls()
	w.call(t, Request{Called: "1"})
	w.run(500 * ms)
	w.endpoints[addrB] = NewEndpoint(Config{})
	w.run(3 * time.Second)
	got := w.events[addrA]
	if len(got) != 4 || got[2].Kind != Lost || got[2].Reason != Invalid || got[3].Kind != Closed {
		t.Errorf("caller saw %+v", got)
	}
}

// A NEW that arrives again after it was answered, even late, offers no second call.
func TestNewRepeatedAfterAnswer(t *testing.T) {
	w := newWire(Config{}, Config{})
	w.answerCalls()
	d := w.call(t, Request{Called: "1"})
	opening := slices.Clone(d.unacked[0].buf)
	w.run(time.Second)
	w.endpoints[addrB].Receive(w.now, addrA, opening)
	d.Release(w.now, CauseNormal, "")
	w.run(2 * time.Second)
	w.endpoints[addrB].Receive(w.now, addrA, opening)
	w.run(3 * time.Second)
	if got := w.eventKinds(addrB); !slices.Equal(got, []Kind{Offered, Released, Closed}) {
		t.Errorf("called saw %v", got)
	}
}

// If ANSWER crosses the caller's HANGUP, both ends close and the answer is not reported.
func TestAnswerCrossesHangup(t *testing.T) {
	w := newWire(Config{}, Config{})
	var far *Dialog
	w.onEvent = func(at Addr, e Event) {
		if e.Kind == Offered {
			far = e.Dialog
		}
	}
	d := w.call(t, Request{Called: "1"})
	w.run(100 * ms)
	d.Release(w.now, CauseNormal, "")
	far.Answer(w.now)
	w.run(10 * time.Second)
	if got := w.eventKinds(addrA); !slices.Equal(got, []Kind{Accepted, Closed}) {
		t.Errorf("caller saw %v", got)
	}
	if n := w.endpoints[addrA].DialogCount() + w.endpoints[addrB].DialogCount(); n != 0 {
		t.Errorf("%d dialogs left", n)
	}
}

func TestCallTokens(t *testing.T) {
	w := newWire(Config{}, Config{RequireTokens: true})
	w.answerCalls()
	w.call(t, Request{Called: "1"})
	w.run(time.Second)
	if got := w.eventKinds(addrA); !slices.Equal(got, []Kind{Accepted, Answered}) {
		t.Fatalf("caller saw %v\n%v", got, w.log)
	}
	// Frames from spoofed addresses create no dialog and no state that grows.
	ep := w.endpoints[addrB]
	before, hosts := ep.DialogCount(), len(ep.dialogsByHost)
	f := Frame{Source: 9, Type: FrameIAX, Subclass: New, Payload: AppendText(nil, CallTokenIE, "")}
	for i := range 5000 {
		ep.Receive(w.now, Addr{[4]byte{127, 1, byte(i >> 8), byte(i)}, 5}, AppendFull(nil, &f))
	}
	if ep.DialogCount() != before || len(ep.dialogsByHost) != hosts {
		t.Errorf("%d dialogs and %d hosts after a flood", ep.DialogCount(), len(ep.dialogsByHost))
	}
	// A token issued to one address is invalid at another.
	f.Payload = AppendText(nil, CallTokenIE, ep.tokens.issue(w.now, addrA))
	ep.Receive(w.now, Addr{[4]byte{127, 9, 9, 9}, 5}, AppendFull(nil, &f))
	if ep.DialogCount() != before {
		t.Error("a token issued to another address opened a dialog")
	}
}

// If the request for a call token arrives twice, the call is opened with the token only once.
func TestCallTokenRepeated(t *testing.T) {
	w := newWire(Config{}, Config{RequireTokens: true})
	w.call(t, Request{Called: "1"})
	_, opening := w.endpoints[addrA].Out.At(0)
	again := slices.Clone(opening)
	w.flush()
	w.transmit(addrA, addrB, again)
	w.run(5 * time.Second)
	if got := w.eventKinds(addrB); !slices.Equal(got, []Kind{Offered}) {
		t.Errorf("called saw %v\n%v", got, w.log)
	}
}

func TestMaxPerHost(t *testing.T) {
	ep := NewEndpoint(Config{MaxPerHost: 3})
	for i := range uint16(10) {
		f := Frame{Source: 100 + i, Type: FrameIAX, Subclass: New}
		ep.Receive(0, addrA, AppendFull(nil, &f))
	}
	if ep.DialogCount() != 3 || ep.Stats.Rejected != 7 {
		t.Errorf("%d dialogs, %d rejected", ep.DialogCount(), ep.Stats.Rejected)
	}
	ep.Receive(0, addrB, AppendFull(nil, &Frame{Source: 5, Type: FrameIAX, Subclass: New}))
	if ep.DialogCount() != 4 {
		t.Error("another host was rejected")
	}
}

func secrets(user string) (string, bool) { return "s3cret", user == "lift" }

func TestChallenge(t *testing.T) {
	for _, c := range []struct {
		user, secret string
		want         []Kind
	}{
		{"lift", "s3cret", []Kind{Accepted, Answered}},
		{"lift", "wrong", []Kind{Released, Closed}},
		{"nobody", "s3cret", []Kind{Released, Closed}},
		{"lift", "", []Kind{Released, Closed}},
	} {
		w := newWire(Config{}, Config{Secret: secrets})
		w.answerCalls()
		w.call(t, Request{Called: "1", User: c.user, Secret: c.secret})
		w.run(time.Second)
		if got := w.eventKinds(addrA); !slices.Equal(got, c.want) {
			t.Errorf("%s %s: caller saw %v\n%v", c.user, c.secret, got, w.log)
		}
	}
}

func TestRegistration(t *testing.T) {
	w := newWire(Config{}, Config{Secret: secrets, RequireTokens: true, MaxRefresh: 30 * time.Second})
	register := func(secret string, refresh time.Duration) Event {
		t.Helper()
		if _, err := w.endpoints[addrA].Register(w.now, addrB, "lift", secret, refresh); err != nil {
			t.Fatal(err)
		}
		w.run(w.now + time.Second)
		got := w.events[addrA]
		if len(got) == 0 {
			t.Fatalf("no answer: %v", w.log)
		}
		w.events[addrA] = nil
		return got[len(got)-1]
	}
	if e := register("bad", time.Hour); e.Kind != RegisterRejected {
		t.Errorf("wrong secret: %+v", e)
	}
	if e := register("s3cret", time.Hour); e.Kind != RegisterDone || e.Refresh != 30*time.Second {
		t.Errorf("right secret: %+v", e)
	}
	if a, ok := w.endpoints[addrB].Registration(w.now, "lift"); !ok || a != addrA {
		t.Errorf("registered at %v, %v", a, ok)
	}
	if _, ok := w.endpoints[addrB].Registration(w.now+31*time.Second, "lift"); ok {
		t.Error("a registration was still valid after its refresh time")
	}
	if e := register("s3cret", 0); e.Kind != RegisterDone {
		t.Errorf("release: %+v", e)
	}
	if _, ok := w.endpoints[addrB].Registration(w.now, "lift"); ok {
		t.Error("still registered after REGREL")
	}
	w.run(w.now + 20*time.Second)
	if n := w.endpoints[addrA].DialogCount() + w.endpoints[addrB].DialogCount(); n != 0 {
		t.Errorf("%d dialogs left", n)
	}
}

// Sequence numbers wrap around during a long call, since full media frames are numbered as well; the call
// continues.
func TestSequenceWrap(t *testing.T) {
	w := newWire(Config{}, Config{})
	var far *Dialog
	w.onEvent = func(at Addr, e Event) {
		if e.Kind == Offered {
			far = e.Dialog
			far.Answer(w.now)
		}
	}
	d := w.call(t, Request{Called: "1"})
	w.run(time.Second)
	for range 700 {
		d.sendIAX(w.now, Ping, nil)
		w.run(w.now + 50*ms)
	}
	if d.state != answered || far.state != answered || len(d.unacked)+len(far.unacked) != 0 {
		t.Fatalf("after the wrap: %v %v, %d and %d unacknowledged", d.state, far.state, len(d.unacked), len(far.unacked))
	}
	d.Release(w.now, CauseNormal, "")
	w.run(w.now + 10*time.Second)
	if got := w.eventKinds(addrB); !slices.Equal(got, []Kind{Offered, Released, Closed}) {
		t.Errorf("called saw %v", got)
	}
}

// Call numbers wrap around, and none is reused before all others.
func TestNumbersNotReusedEarly(t *testing.T) {
	ep := NewEndpoint(Config{})
	seen := map[uint16]int{}
	for i := range 2 * MaxCallNumber {
		d := ep.newDialog(0, addrA)
		if last, ok := seen[d.local]; ok && i-last < MaxCallNumber-2 {
			t.Fatalf("number %d was reused after %d others", d.local, i-last)
		}
		seen[d.local] = i
		ep.freeDialog(d)
	}
	if seen[0] != 0 || seen[placeholderCallNumber] != 0 {
		t.Error("a reserved number was handed out")
	}
}

func TestMediaIsRelayed(t *testing.T) {
	w := newWire(Config{}, Config{})
	w.answerCalls()
	phone := w.endpoints[addrA]
	in := w.call(t, Request{Called: "1"})
	out := w.call(t, Request{Called: "2"})
	w.run(time.Second)
	in.Bridge(out)
	mini := AppendMini(nil, in.remote, 640, []byte("voice"))
	relay := func() { phone.Receive(w.now, addrB, mini); phone.Out.Reset() }
	relay()
	phone.Receive(w.now, addrB, mini)
	_, b := phone.Out.At(0)
	if want := AppendMini(nil, out.local, 640, []byte("voice")); !slices.Equal(b, want) {
		t.Errorf("relayed %x, want %x", b, want)
	}
	phone.Out.Reset()
	if n := testing.AllocsPerRun(100, relay); n != 0 {
		t.Errorf("%v allocations for a mini frame", n)
	}
	in.Release(w.now, CauseNormal, "")
	phone.Out.Reset()
	relay()
	if phone.Stats.Relayed != 104 && phone.Stats.Relayed != 103 {
		t.Errorf("%d frames relayed", phone.Stats.Relayed)
	}
}

// Under loss, duplication and reordering, whatever the users do at any time, each dialog closes exactly once,
// none is answered twice, and no state is left.
func TestFaultyWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := newWire(Config{AckDelay: time.Duration(seed%3) * 10 * ms}, Config{AcceptDelay: time.Duration(seed%2) * 50 * ms})
		w.faults = rand.New(rand.NewPCG(seed, 1))
		w.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		type todo struct {
			at time.Duration
			do func()
		}
		var todos []todo
		later := func(max int, do func()) {
			todos = append(todos, todo{w.now + time.Duration(w.faults.IntN(max))*ms, do})
		}
		w.onEvent = func(at Addr, e Event) {
			switch e.Kind {
			case Offered:
				later(400, func() { e.Dialog.Answer(w.now) })
				if w.faults.IntN(3) == 0 {
					later(800, func() { e.Dialog.Release(w.now, CauseNoCircuit, "") })
				}
			case Lost, Released:
			}
		}
		const calls = 20
		for range calls {
			later(1000, func() {
				d, err := w.endpoints[addrA].Call(w.now, addrB, Request{Called: "1"})
				if err != nil {
					panic(err)
				}
				later(2500, func() { d.Release(w.now, CauseNormal, "") })
			})
		}
		for at := time.Duration(0); at < 4*time.Second; at += 5 * ms {
			w.run(at)
			for i := 0; i < len(todos); i++ {
				if todos[i].at <= w.now {
					td := todos[i]
					todos = slices.Delete(todos, i, i+1)
					i--
					td.do()
				}
			}
			w.flush()
		}
		w.run(3 * time.Minute)
		for a, events := range w.events {
			ends, answers := map[*Dialog]int{}, map[*Dialog]int{}
			for _, e := range events {
				if ends[e.Dialog] > 0 {
					t.Fatalf("%v: event %d after Closed", a, e.Kind)
				}
				switch e.Kind {
				case Closed:
					ends[e.Dialog]++
				case Answered, Lost, Released:
					answers[e.Dialog] += map[Kind]int{Answered: 1, Lost: 100, Released: 100}[e.Kind]
				}
			}
			for d, n := range answers {
				if n != 1 && n != 100 && n != 101 {
					t.Fatalf("%v: dialog %d: answers and ends %d", a, d.local, n)
				}
			}
			if a == addrA && len(ends) != calls {
				t.Fatalf("%d of %d calls closed", len(ends), calls)
			}
		}
		for a, ep := range w.endpoints {
			if ep.DialogCount() != 0 || len(ep.byPeer) != 0 || len(ep.dialogsByHost) != 0 || ep.timerQueue.Len() != 0 {
				t.Fatalf("%v: state left: %d dialogs, %d peers, %d hosts, %d timers", a, ep.DialogCount(), len(ep.byPeer),
					len(ep.dialogsByHost), ep.timerQueue.Len())
			}
		}
	})
}

func BenchmarkParse(b *testing.B) {
	r := AppendFull(nil, &Frame{Source: 5, Type: FrameIAX, Subclass: New, Payload: AppendText(AppendUint(
		AppendText(nil, CalledNumber, "5551234"), Version, 2), CalledContext, "alarm")})
	var f Frame
	var e Elements
	b.ReportAllocs()
	for b.Loop() {
		if ParseFrame(r, &f) != nil || e.Parse(f.Payload) != nil {
			b.Fatal("malformed")
		}
	}
}

// BenchmarkWholeCall measures one complete call between two endpoints, with the work of both.
func BenchmarkWholeCall(b *testing.B) {
	w := newWire(Config{Linger: ms}, Config{Linger: ms})
	b.ReportAllocs()
	a, z := w.endpoints[addrA], w.endpoints[addrB]
	now, datagrams := time.Duration(0), 0
	pass := func() {
		for a.Out.Len()+z.Out.Len() > 0 {
			for _, p := range [...]struct {
				from     *Endpoint
				fromAddr Addr
				to       *Endpoint
			}{{a, addrA, z}, {z, addrB, a}} {
				for i := range p.from.Out.Len() {
					_, d := p.from.Out.At(i)
					p.to.Receive(now, p.fromAddr, d)
					datagrams++
				}
				p.from.Out.Reset()
				p.to.Flush(now)
			}
		}
	}
	for b.Loop() {
		now += 10 * ms
		d, _ := a.Call(now, addrB, Request{Called: "5551234", Calling: "77"})
		pass()
		for _, e := range z.Events {
			if e.Kind == Offered {
				e.Dialog.Answer(now)
			}
		}
		pass()
		d.Release(now, CauseNormal, "")
		pass()
		a.Events, z.Events = a.Events[:0], z.Events[:0]
		a.Advance(now)
		z.Advance(now)
	}
	b.ReportMetric(float64(datagrams)/float64(b.N), "datagrams/op")
}
