package call

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pipitring/decide"
)

const ms = time.Millisecond

// harness is a Core at exchange 0 with trunk groups to 1, 2 and 3. Numbers begin with the digit of their
// exchange.
type harness struct {
	*Core
	now time.Duration
}

func newHarness(t interface{ Fatal(...any) }, groups map[int]int) *harness {
	plan := NewPlan()
	for n := range 4 {
		if err := plan.AddDest(fmt.Sprint(n), n); err != nil {
			t.Fatal(err)
		}
	}
	if err := plan.AddClass(KeyContext, "alarm", 1); err != nil {
		t.Fatal(err)
	}
	s := Settings{Seed: 7, Groups: groups, Plan: plan, AnswerMargin: 50 * ms, DrainGrace: time.Second,
		Patience: []time.Duration{3 * time.Second, 2 * time.Second},
		Decide: decide.Settings{OwnExchange: 0, DeliverLocal: true, Proxies: 4, MaxAttempts: 4, ReleaseWait: 300 * ms,
			ColdCapacity: 0.3,
			ColdDuration: 10 * time.Second, OverloadMultiple: 3, Classes: []decide.Class{
				{HoldTime: 10 * time.Second, Width: 1, SetupTarget: time.Second, Deadline: 9 * time.Second, Value: 1},
				{HoldTime: 7 * time.Second, Width: 1, SetupTarget: time.Second, Deadline: 6 * time.Second, Value: 5}}}}
	if err := s.Decide.Validate(); err != nil {
		t.Fatal(err)
	}
	h := &harness{Core: New(s), now: time.Second}
	l := decide.ListUpdate{Kind: decide.ListFull}
	for n := range 4 {
		l.Entries = append(l.Entries, decide.Entry{Exchange: decide.ExchangeID(100 + n), Number: n, Phase: decide.Ready})
	}
	h.SetList(h.now, l)
	return h
}

// takeOutputs removes and returns the outputs so far.
func (h *harness) takeOutputs() []Output {
	out := slices.Clone(h.Outputs)
	h.Outputs = h.Outputs[:0]
	return out
}

// advanceClock moves the clock forward and runs the timers that are due on the way.
func (h *harness) advanceClock(d time.Duration) {
	until := h.now + d
	for {
		at, ok := h.Next()
		if !ok || at > until {
			h.now = until
			return
		}
		h.now = max(h.now, at)
		h.Advance(h.now)
	}
}

func (h *harness) offer(called string) (LegID, Output) {
	in := h.Offer(h.now, Origin{Exchange: Subscriber}, Request{Called: called, Calling: "9"})
	out := h.takeOutputs()
	if len(out) != 1 {
		return in, Output{}
	}
	return in, out[0]
}

func TestStandingCallEnds(t *testing.T) {
	h := newHarness(t, map[int]int{1: 4, 2: 4, 3: 4})
	in, o := h.offer("15")
	if o.Kind != Connect || o.Exchange != 101 || o.Request.ViaTandem {
		t.Fatalf("got %+v", o)
	}
	h.advanceClock(100 * ms)
	h.Answered(h.now, o.Leg)
	if got := h.takeOutputs(); len(got) != 1 || got[0].Kind != Answer || got[0].Leg != in || got[0].Other != o.Leg {
		t.Fatalf("got %+v", got)
	}
	if free := h.groups.Group(1).Free(); free != 3 {
		t.Errorf("%d circuits free while the call is standing", free)
	}
	h.advanceClock(time.Second)
	h.Released(h.now, in, NormalClearing)
	if got := h.takeOutputs(); len(got) != 1 || got[0].Kind != Release || got[0].Leg != o.Leg {
		t.Fatalf("got %+v", got)
	}
	h.Closed(h.now, in)
	if free := h.groups.Group(1).Free(); free != 3 {
		t.Errorf("%d circuits free before the far end closed its leg", free)
	}
	h.Closed(h.now, o.Leg)
	if free := h.groups.Group(1).Free(); free != 4 || h.OpenCalls()+h.Legs() != 0 {
		t.Errorf("%d circuits free, %d calls, %d legs", free, h.OpenCalls(), h.Legs())
	}
	if len(h.Records) != 2 || h.Records[0].Kind != AnswerRecord || h.Records[0].Attempts[0].Duration != 100*ms {
		t.Fatalf("records %+v", h.Records)
	}
	r := h.Records[1]
	if r.End != Answered || r.SetupTime != 100*ms || r.Duration != time.Second || len(r.Attempts) != 1 {
		t.Errorf("record %+v", r)
	}
}

// If the far end does not respond, the caller gets one failure answer in time, and no second attempt is made.
func TestUnresponsiveFarEnd(t *testing.T) {
	h := newHarness(t, map[int]int{1: 4, 2: 4, 3: 4})
	in, o := h.offer("15")
	h.advanceClock(5 * time.Second)
	var finals, redials int
	for _, x := range h.takeOutputs() {
		if x.Kind == Release && x.Leg == in {
			finals++
			if x.Cause.Refusal() {
				t.Errorf("cause %d is a refusal", x.Cause)
			}
		}
		if x.Kind == Connect && x.Leg != o.Leg {
			redials++
		}
	}
	if finals != 1 || redials != 0 || h.Records[0].End != Failed || h.Stats.Overdue != 0 {
		t.Errorf("%d final answers, %d further attempts, records %+v", finals, redials, h.Records)
	}
}

// If the caller hangs up while an attempt is in progress, the attempt is cancelled and a late answer is
// ignored.
func TestCallerAbandonsCall(t *testing.T) {
	h := newHarness(t, map[int]int{1: 4})
	in, o := h.offer("15")
	h.Released(h.now, in, NormalClearing)
	h.Closed(h.now, in)
	h.Answered(h.now, o.Leg)
	h.Released(h.now, o.Leg, NormalClearing)
	got := h.takeOutputs()
	if len(got) != 1 || got[0].Kind != Release || got[0].Leg != o.Leg {
		t.Errorf("got %+v", got)
	}
	h.Closed(h.now, o.Leg)
	if h.Records[0].End != Abandoned || len(h.Records) != 1 || h.Legs() != 0 {
		t.Errorf("%+v, %d legs", h.Records, h.Legs())
	}
}

func TestRejectedOffers(t *testing.T) {
	h := newHarness(t, map[int]int{1: 4, 2: 0})
	for _, c := range []struct {
		name  string
		from  int
		r     Request
		cause Cause
	}{
		{"unknown number", Subscriber, Request{Called: "8"}, Unallocated},
		{"passed on twice", 1, Request{Called: "2", ViaTandem: true}, RoutingError},
		{"no circuit on the incoming group", 2, Request{Called: "1"}, NoCircuit},
		{"no group with the exchange", 3, Request{Called: "1"}, NoCircuit},
	} {
		leg := h.Offer(h.now, Origin{Exchange: c.from}, c.r)
		got := h.takeOutputs()
		if len(got) != 1 || got[0].Kind != Release || got[0].Leg != leg || got[0].Cause != c.cause {
			t.Errorf("%s: %+v", c.name, got)
		}
		h.Closed(h.now, leg)
	}
	h.RejectNewCalls()
	if _, o := h.offer("1"); o.Kind != Release || o.Cause != Congestion {
		t.Errorf("closing: %+v", o)
	}
	if h.OpenCalls() != 0 || h.Stats.Offered != 0 {
		t.Errorf("%d calls were accepted, want none", h.Stats.Offered)
	}
}

// A call in transit is forwarded to its destination marked ViaTandem, or rejected. A call to this exchange goes to
// its own processor and uses only the circuit that it arrived on.
func TestTransitAndDelivery(t *testing.T) {
	h := newHarness(t, map[int]int{1: 20, 2: 20})
	h.Offer(h.now, Origin{Exchange: 1}, Request{Called: "2"})
	got := h.takeOutputs()
	if len(got) != 1 || got[0].Exchange != 102 || !got[0].Request.ViaTandem {
		t.Fatalf("in transit: %+v", got)
	}
	in := h.Offer(h.now, Origin{Exchange: 1}, Request{Called: "3"})
	if got = h.takeOutputs(); len(got) != 1 || got[0].Kind != Release || got[0].Leg != in || !got[0].Cause.Refusal() {
		t.Fatalf("without a route onward: %+v", got)
	}
	h.Offer(h.now, Origin{Exchange: 2}, Request{Called: "0", ViaTandem: true})
	if got = h.takeOutputs(); len(got) != 1 || got[0].Exchange != 100 || got[0].Request.ViaTandem {
		t.Fatalf("to the own exchange over a group: %+v", got)
	}
	if one, two := h.groups.Group(1), h.groups.Group(2); one.Free() != 18 || two.Free() != 18 {
		t.Errorf("%d and %d circuits free", one.Free(), two.Free())
	}
	if _, o := h.offer("05"); o.Kind != Connect || o.Exchange != 100 {
		t.Errorf("to the own exchange: %+v", o)
	}
}

// Without circuits in the direct group, the call goes via a tandem. A call rejected by one tandem is tried via
// another, and then refused.
func TestRejectedByTandemIsRerouted(t *testing.T) {
	h := newHarness(t, map[int]int{1: 0, 2: 30, 3: 30})
	in, o := h.offer("15")
	if o.Kind != Connect || o.Exchange == 101 {
		t.Fatalf("got %+v", o)
	}
	h.Released(h.now, o.Leg, NoCircuit)
	got := h.takeOutputs()
	if len(got) != 1 || got[0].Kind != Connect || got[0].Exchange == o.Exchange || got[0].Exchange == 101 {
		t.Fatalf("after the first tandem rejected it: %+v", got)
	}
	h.Released(h.now, got[0].Leg, NoCircuit)
	h.advanceClock(time.Second) // the call may be queued for a circuit of its direct group for less than this
	if got = h.takeOutputs(); len(got) != 1 || got[0].Kind != Release || got[0].Leg != in || got[0].Cause != NoCircuit {
		t.Fatalf("after the second tandem rejected it: %+v", got)
	}
}

// Set-ups that a draining processor has not acknowledged are withdrawn before the grace period ends. An
// acknowledged one continues.
func TestDrainWithdrawsUnacknowledgedSetUps(t *testing.T) {
	h := newHarness(t, map[int]int{1: 9})
	_, unacknowledged := h.offer("15")
	_, acknowledged := h.offer("16")
	h.Acknowledged(h.now, acknowledged.Leg)
	h.SetList(h.now, decide.ListUpdate{Kind: decide.ListChanges, Entries: []decide.Entry{
		{Exchange: 101, Number: 1, Phase: decide.Draining}}})
	h.advanceClock(900 * ms)
	var withdrawn []LegID
	for _, o := range h.takeOutputs() {
		if o.Kind == Release {
			withdrawn = append(withdrawn, o.Leg)
		}
		if o.Kind == Connect {
			t.Errorf("a set-up after the drain: %+v", o)
		}
	}
	if !slices.Contains(withdrawn, unacknowledged.Leg) || slices.Contains(withdrawn, acknowledged.Leg) || h.Stats.Withdrawn != 1 {
		t.Errorf("withdrawn legs %v, of %v unacknowledged and %v acknowledged", withdrawn, unacknowledged.Leg, acknowledged.Leg)
	}
}

func TestCauses(t *testing.T) {
	for c := range Cause(128) {
		direct, reason := releaseOutcome(c, false)
		tandem, tandemReason := releaseOutcome(c, true)
		if direct == decide.Rejected && reason == decide.CauseUnknown || direct == decide.Completed || tandem == decide.Completed {
			t.Errorf("cause %d: %v %v, %v %v", c, direct, reason, tandem, tandemReason)
		}
		// A refusal by one router must not reach the caller as a failure.
		if o, _ := releaseOutcome(c, false); c.Refusal() && !finalCause(o, c).Refusal() {
			t.Errorf("cause %d: a refusal became failure %d", c, finalCause(o, c))
		}
	}
}

func TestPlan(t *testing.T) {
	p := NewPlan()
	p.DefaultClass, p.DefaultTenant = 9, 8
	for _, err := range []error{p.AddDest("61", 1), p.AddDest("618", 2), p.AddDest("#5", 3), p.AddClassPrefix("6", 4),
		p.AddClass(KeyUser, "lift", 5), p.AddClass(KeyContext, "alarm", 6), p.AddTenantPrefix("61", 7)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		r                   Request
		class, tenant, dest int
		ok                  bool
	}{
		{Request{Called: "615"}, 4, 7, 1, true},
		{Request{Called: "6185", Context: "alarm"}, 6, 7, 2, true},
		{Request{Called: "618", Context: "alarm", User: "lift"}, 5, 7, 2, true},
		{Request{Called: "#55"}, 9, 8, 3, true},
		{Request{Called: "6"}, 4, 8, 0, false},
		{Request{Called: "61a"}, 4, 7, 1, true},
		{Request{}, 9, 8, 0, false},
	} {
		if class, tenant, dest, ok := p.Lookup(c.r); class != c.class || tenant != c.tenant || dest != c.dest || ok != c.ok {
			t.Errorf("%+v: %d %d %d %v", c.r, class, tenant, dest, ok)
		}
	}
	if p.AddDest("61", 5) == nil || p.AddDest("6x", 5) == nil || p.AddClass(KeyUser, "lift", 1) == nil {
		t.Error("a duplicate or undiallable entry was accepted")
	}
}

// For any sequence of events from callers and far ends, each accepted call gets exactly one final answer, never
// has two attempts in progress, and observes the release wait after a failed one. In the end no circuit, leg,
// call or timer is left.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, map[int]int{1: 3, 2: 3, 3: 3})
		type state struct {
			final, abandoned bool
			out              LegID
			notBefore        time.Duration
			lastRelease      LegID
		}
		calls := map[LegID]*state{}         // by incoming leg
		callByNumber := map[string]*state{} // by calling number
		legs := map[LegID]*state{}          // by outgoing leg
		var open []LegID                    // legs that the front has yet to close
		handle := func() {
			for _, o := range h.takeOutputs() {
				switch o.Kind {
				case Connect:
					k := callByNumber[o.Request.Calling]
					if k.out != 0 || k.final || k.abandoned {
						t.Fatalf("attempt while another is in progress or the call has ended: %+v", o)
					}
					if h.now < k.notBefore {
						t.Fatalf("sent again %v before the end of the release wait", k.notBefore-h.now)
					}
					k.out, legs[o.Leg] = o.Leg, k
				case Answer:
					k := calls[o.Leg]
					if k.final || k.abandoned {
						t.Fatal("answered after the final answer")
					}
					k.final = true
				case Release:
					if k := legs[o.Leg]; k != nil {
						if !k.final {
							k.notBefore = h.now + 300*ms
						}
						k.out = 0
						open = append(open, o.Leg)
					} else if k := calls[o.Leg]; k != nil {
						open = append(open, o.Leg)
						if k.out == 0 && k.final && k.lastRelease == 0 {
							t.Fatal("two final answers")
						}
						k.final = true
					}
				}
			}
		}
		n := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			var out []LegID
			for l, k := range legs {
				if k.out == l {
					out = append(out, l)
				}
			}
			slices.Sort(out)
			pick := func() (LegID, *state) {
				l := out[rapid.IntRange(0, len(out)-1).Draw(t, "leg")]
				return l, legs[l]
			}
			switch what := rapid.IntRange(0, 7).Draw(t, "what"); {
			case what <= 1:
				n++
				k := &state{}
				callByNumber[fmt.Sprint(n)] = k
				from := Subscriber
				if rapid.IntRange(0, 4).Draw(t, "over") == 0 {
					from = rapid.IntRange(1, 3).Draw(t, "from")
				}
				in := h.Offer(h.now, Origin{Exchange: from}, Request{Called: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "to")),
					Calling: fmt.Sprint(n)})
				calls[in] = k
			case what == 2 && len(out) > 0:
				l, _ := pick()
				h.Answered(h.now, l)
			case what == 3 && len(out) > 0:
				l, k := pick()
				k.out, k.lastRelease = 0, l
				h.Released(h.now, l, rapid.SampledFrom([]Cause{NormalClearing, UserBusy, NoCircuit, Congestion, NetworkDown}).Draw(t, "cause"))
				open = append(open, l)
			case what == 4 && len(out) > 0:
				l, k := pick()
				if !k.final {
					k.notBefore = h.now + 300*ms
				}
				k.out, k.lastRelease = 0, l
				h.Lost(h.now, l, rapid.Bool().Draw(t, "reset"))
				open = append(open, l)
			case what == 5 && len(open) > 0:
				h.Closed(h.now, open[0])
				open = open[1:]
			case what == 6:
				phase := rapid.SampledFrom([]decide.Phase{decide.Ready, decide.Draining, decide.Removed}).Draw(t, "phase")
				number := rapid.IntRange(0, 3).Draw(t, "exchange")
				h.SetList(h.now, decide.ListUpdate{Kind: decide.ListChanges, Entries: []decide.Entry{
					{Exchange: decide.ExchangeID(100 + number), Number: number, Phase: phase}}})
			default:
				until := h.now + time.Duration(rapid.IntRange(1, 900).Draw(t, "ms"))*ms
				for h.now < until {
					at, ok := h.Next()
					if !ok || at > until {
						h.now = until
						break
					}
					h.now = max(h.now, at)
					h.Advance(h.now)
					handle()
				}
			}
			handle()
		}
		for range 200 { // finally all callers hang up
			h.advanceClock(100 * ms)
			handle()
			for in, k := range calls {
				if k.final && k.out != 0 {
					h.Released(h.now, in, NormalClearing)
					open = append(open, in)
					k.abandoned = true
					handle()
				}
			}
		}
		for _, l := range open {
			h.Closed(h.now, l)
		}
		for in := range calls {
			h.Closed(h.now, in)
		}
		h.advanceClock(time.Minute)
		for i, k := range callByNumber {
			if !k.final {
				t.Fatalf("call %s got no final answer", i)
			}
		}
		if h.OpenCalls()+h.Legs()+h.Timers() != 0 || h.Stats.Overdue+h.Stats.ActionFaults != 0 {
			t.Fatalf("left over: %d calls, %d legs, %d timers; %+v", h.OpenCalls(), h.Legs(), h.Timers(), h.Stats)
		}
		for _, g := range h.Groups() {
			if g.Free() != g.Size() {
				t.Fatalf("circuits of the group to %d: %d free of %d", g.Neighbour(), g.Free(), g.Size())
			}
		}
		answered, ended := map[uint64]bool{}, map[uint64]bool{}
		for i, r := range h.Records {
			if r.RecordSeq != uint64(i+1) {
				t.Fatalf("record %d has number %d", i+1, r.RecordSeq)
			}
			if r.Kind == AnswerRecord {
				if answered[r.CallSeq] || ended[r.CallSeq] {
					t.Fatalf("call %d has two answer records or one after its final record", r.CallSeq)
				}
				answered[r.CallSeq] = true
				continue
			}
			if ended[r.CallSeq] {
				t.Fatalf("call %d has two final records", r.CallSeq)
			}
			ended[r.CallSeq] = true
			if (r.End == Answered || r.End == CutOff) && !answered[r.CallSeq] {
				t.Fatalf("call %d was answered and has no answer record", r.CallSeq)
			}
			if (r.End == Refused) != r.Cause.Refusal() && (r.End == Refused || r.End == Failed) {
				t.Fatalf("recorded as %v with cause %d", r.End, r.Cause)
			}
		}
		if int(h.Stats.Offered) != len(ended) {
			t.Fatalf("%d final records of %d calls", len(ended), h.Stats.Offered)
		}
	})
}

func BenchmarkCall(b *testing.B) {
	core := newHarness(b, map[int]int{1: 100, 2: 100, 3: 100})
	b.ReportAllocs()
	for b.Loop() {
		core.now += ms
		in, o := core.offer("15")
		core.Answered(core.now, o.Leg)
		core.Released(core.now, in, NormalClearing)
		core.Closed(core.now, in)
		core.Closed(core.now, o.Leg)
		core.Outputs, core.Records = core.Outputs[:0], core.Records[:0]
	}
}
