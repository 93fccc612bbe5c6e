package call

import (
	"testing"
	"time"
)

// newDurableHarness returns a harness whose answers wait up to 30 ms for their records.
func newDurableHarness(t *testing.T) *harness {
	b := newHarness(t, map[int]int{1: 4, 2: 4, 3: 4})
	b.settings.DurableTimeout = 30 * ms
	return b
}

func outputKinds(out []Output) (k []OutputKind) {
	for _, o := range out {
		k = append(k, o.Kind)
	}
	return k
}

func (b *harness) expect(t *testing.T, what string, want ...OutputKind) []Output {
	t.Helper()
	got := b.takeOutputs()
	k := outputKinds(got)
	if len(k) != len(want) {
		t.Fatalf("%s: outputs %v, want %v", what, k, want)
	}
	for i := range k {
		if k[i] != want[i] {
			t.Fatalf("%s: outputs %v, want %v", what, k, want)
		}
	}
	return got
}

func (b *harness) closeAll(t *testing.T, legs ...LegID) {
	t.Helper()
	for _, l := range legs {
		b.Closed(b.now, l)
	}
	b.advanceClock(10 * time.Second)
	if b.OpenCalls()+b.Legs()+b.PendingAnswers()+b.Timers() != 0 || b.Stats.ActionFaults+b.Stats.Overdue != 0 {
		t.Errorf("left over: %d calls, %d legs, %d pending answers, %d timers; %+v", b.OpenCalls(), b.Legs(), b.PendingAnswers(), b.Timers(), b.Stats)
	}
	ends := 0
	for _, r := range b.Records {
		if r.Kind == FinalRecord {
			ends++
		}
	}
	if ends != int(b.Stats.Offered) {
		t.Errorf("%d final records of %d calls", ends, b.Stats.Offered)
	}
}

func TestAnswerWaitsForItsRecord(t *testing.T) {
	b := newDurableHarness(t)
	in, o := b.offer("15")
	b.Answered(b.now, o.Leg)
	b.expect(t, "before the record is durable")
	b.MarkDurable(b.now, b.Records[0].RecordSeq)
	b.expect(t, "durable", Answer)
	b.Released(b.now, in, NormalClearing)
	b.expect(t, "released", Release)
	b.closeAll(t, in, o.Leg)
}

// If the disk does not respond, an answer waits for DurableTimeout and no longer, and is counted.
func TestAnswerSentAfterDurableTimeout(t *testing.T) {
	b := newDurableHarness(t)
	in, o := b.offer("15")
	b.Answered(b.now, o.Leg)
	b.advanceClock(29 * ms)
	b.expect(t, "before the timeout")
	b.advanceClock(ms)
	b.expect(t, "after the timeout", Answer)
	if b.Stats.AnsweredNotDurable != 1 {
		t.Errorf("%d answers counted as not durable, want 1", b.Stats.AnsweredNotDurable)
	}
	b.MarkDurable(b.now, 100) // too late: nothing is sent twice
	b.expect(t, "late")
	b.Released(b.now, in, NormalClearing)
	b.takeOutputs()
	b.closeAll(t, in, o.Leg)
}

// If the far end answers and hangs up at once, the caller gets the answer and then the release, and no second
// attempt is made.
func TestFarEndHangsUpBeforeTheRecord(t *testing.T) {
	for _, lost := range []bool{false, true} {
		b := newDurableHarness(t)
		in, o := b.offer("15")
		b.Answered(b.now, o.Leg)
		if lost {
			b.Lost(b.now, o.Leg, true)
		} else {
			b.Released(b.now, o.Leg, NormalClearing)
		}
		b.Closed(b.now, o.Leg)
		b.expect(t, "hung up")
		b.MarkDurable(b.now, b.Records[0].RecordSeq)
		b.expect(t, "durable", Answer, Release)
		r := b.Records[len(b.Records)-1]
		if want := map[bool]End{false: Answered, true: CutOff}[lost]; r.End != want {
			t.Errorf("ended as %v, want %v", r.End, want)
		}
		b.closeAll(t, in)
	}
}

// If the caller hangs up while its answer waits, the call is recorded as abandoned and not answered afterwards.
func TestCallerAbandonsBeforeTheRecord(t *testing.T) {
	b := newDurableHarness(t)
	in, o := b.offer("15")
	b.Answered(b.now, o.Leg)
	b.Released(b.now, in, NormalClearing)
	b.expect(t, "left", Release)
	b.MarkDurable(b.now, 100)
	b.expect(t, "durable")
	if r := b.Records[len(b.Records)-1]; r.End != Abandoned || r.SetupTime != 0 {
		t.Errorf("record %+v", r)
	}
	b.closeAll(t, in, o.Leg)
}

func TestRefusalWaitsForItsRecord(t *testing.T) {
	b := newDurableHarness(t)
	in, o := b.offer("15")
	b.Released(b.now, o.Leg, UserBusy)
	b.Closed(b.now, o.Leg)
	b.expect(t, "before the record is durable")
	b.MarkDurable(b.now, b.Records[0].RecordSeq)
	if got := b.expect(t, "durable", Release); got[0].Leg != in || got[0].Cause != UserBusy {
		t.Errorf("got %+v", got)
	}
	b.closeAll(t, in)
}

func TestSuspendedRouterRejectsCalls(t *testing.T) {
	b := newDurableHarness(t)
	b.SetSuspended(true)
	in := b.Offer(b.now, Origin{Exchange: Subscriber}, Request{Called: "15"})
	if got := b.expect(t, "shut", Release); got[0].Cause != Congestion {
		t.Errorf("cause %d", got[0].Cause)
	}
	b.Closed(b.now, in)
	b.SetSuspended(false)
	in, o := b.offer("15")
	if o.Kind != Connect {
		t.Fatalf("got %+v", o)
	}
	b.Released(b.now, in, NormalClearing)
	b.takeOutputs()
	b.closeAll(t, in, o.Leg)
}
