package call

import (
	"testing"
	"time"
)

// newDurableHarness returns a harness whose answers wait up to 30 ms for their records.
func newDurableHarness(t *testing.T) *harness {
	h := newHarness(t, map[int]int{1: 4, 2: 4, 3: 4})
	h.settings.DurableTimeout = 30 * ms
	return h
}

func outputKinds(out []Output) (kinds []OutputKind) {
	for _, o := range out {
		kinds = append(kinds, o.Kind)
	}
	return kinds
}

func (h *harness) expect(t *testing.T, what string, want ...OutputKind) []Output {
	t.Helper()
	got := h.takeOutputs()
	kinds := outputKinds(got)
	if len(kinds) != len(want) {
		t.Fatalf("%s: outputs %v, want %v", what, kinds, want)
	}
	for i := range kinds {
		if kinds[i] != want[i] {
			t.Fatalf("%s: outputs %v, want %v", what, kinds, want)
		}
	}
	return got
}

func (h *harness) closeAll(t *testing.T, legs ...LegID) {
	t.Helper()
	for _, l := range legs {
		h.Closed(h.now, l)
	}
	h.advanceClock(10 * time.Second)
	if h.OpenCalls()+h.Legs()+h.PendingAnswers()+h.Timers() != 0 || h.Stats.ActionFaults+h.Stats.Overdue != 0 {
		t.Errorf("left over: %d calls, %d legs, %d pending answers, %d timers; %+v", h.OpenCalls(), h.Legs(), h.PendingAnswers(), h.Timers(), h.Stats)
	}
	ends := 0
	for _, r := range h.Records {
		if r.Kind == FinalRecord {
			ends++
		}
	}
	if ends != int(h.Stats.Offered) {
		t.Errorf("%d final records of %d calls", ends, h.Stats.Offered)
	}
}

func TestAnswerWaitsForItsRecord(t *testing.T) {
	h := newDurableHarness(t)
	in, o := h.offer("15")
	h.Answered(h.now, o.Leg)
	h.expect(t, "before the record is durable")
	h.MarkDurable(h.now, h.Records[0].RecordSeq)
	h.expect(t, "durable", Answer)
	h.Released(h.now, in, NormalClearing)
	h.expect(t, "released", Release)
	h.closeAll(t, in, o.Leg)
}

// If the disk does not respond, an answer waits for DurableTimeout and no longer, and is counted.
func TestAnswerSentAfterDurableTimeout(t *testing.T) {
	h := newDurableHarness(t)
	in, o := h.offer("15")
	h.Answered(h.now, o.Leg)
	h.advanceClock(29 * ms)
	h.expect(t, "before the timeout")
	h.advanceClock(ms)
	h.expect(t, "after the timeout", Answer)
	if h.Stats.AnsweredNotDurable != 1 {
		t.Errorf("%d answers counted as not durable, want 1", h.Stats.AnsweredNotDurable)
	}
	h.MarkDurable(h.now, 100) // too late: nothing is sent twice
	h.expect(t, "late")
	h.Released(h.now, in, NormalClearing)
	h.takeOutputs()
	h.closeAll(t, in, o.Leg)
}

// If the far end answers and hangs up at once, the caller gets the answer and then the release, and no second
// attempt is made.
func TestFarEndHangsUpBeforeTheRecord(t *testing.T) {
	for _, lost := range []bool{false, true} {
		h := newDurableHarness(t)
		in, o := h.offer("15")
		h.Answered(h.now, o.Leg)
		if lost {
			h.Lost(h.now, o.Leg, true)
		} else {
			h.Released(h.now, o.Leg, NormalClearing)
		}
		h.Closed(h.now, o.Leg)
		h.expect(t, "hung up")
		h.MarkDurable(h.now, h.Records[0].RecordSeq)
		h.expect(t, "durable", Answer, Release)
		r := h.Records[len(h.Records)-1]
		if want := map[bool]End{false: Answered, true: CutOff}[lost]; r.End != want {
			t.Errorf("ended as %v, want %v", r.End, want)
		}
		h.closeAll(t, in)
	}
}

// If the caller hangs up while its answer waits, the call is recorded as abandoned and not answered afterwards.
func TestCallerAbandonsBeforeTheRecord(t *testing.T) {
	h := newDurableHarness(t)
	in, o := h.offer("15")
	h.Answered(h.now, o.Leg)
	h.Released(h.now, in, NormalClearing)
	h.expect(t, "left", Release)
	h.MarkDurable(h.now, 100)
	h.expect(t, "durable")
	if r := h.Records[len(h.Records)-1]; r.End != Abandoned || r.SetupTime != 0 {
		t.Errorf("record %+v", r)
	}
	h.closeAll(t, in, o.Leg)
}

func TestRefusalWaitsForItsRecord(t *testing.T) {
	h := newDurableHarness(t)
	in, o := h.offer("15")
	h.Released(h.now, o.Leg, UserBusy)
	h.Closed(h.now, o.Leg)
	h.expect(t, "before the record is durable")
	h.MarkDurable(h.now, h.Records[0].RecordSeq)
	if got := h.expect(t, "durable", Release); got[0].Leg != in || got[0].Cause != UserBusy {
		t.Errorf("got %+v", got)
	}
	h.closeAll(t, in)
}

func TestSuspendedRouterRejectsCalls(t *testing.T) {
	h := newDurableHarness(t)
	h.SetSuspended(true)
	in := h.Offer(h.now, Origin{Exchange: Subscriber}, Request{Called: "15"})
	if got := h.expect(t, "shut", Release); got[0].Cause != Congestion {
		t.Errorf("cause %d", got[0].Cause)
	}
	h.Closed(h.now, in)
	h.SetSuspended(false)
	in, o := h.offer("15")
	if o.Kind != Connect {
		t.Fatalf("got %+v", o)
	}
	h.Released(h.now, in, NormalClearing)
	h.takeOutputs()
	h.closeAll(t, in, o.Leg)
}
