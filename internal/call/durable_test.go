package call

import (
	"testing"
	"time"
)

// proving is a bed whose answers wait for their records, 30 ms at the most.
func proving(t *testing.T) *bed {
	b := newBed(t, map[int]int{1: 4, 2: 4, 3: 4})
	b.set.DurableTimeout = 30 * ms
	return b
}

func kinds(out []Output) (k []OutputKind) {
	for _, o := range out {
		k = append(k, o.Kind)
	}
	return k
}

func (b *bed) expect(t *testing.T, what string, want ...OutputKind) []Output {
	t.Helper()
	got := b.take()
	k := kinds(got)
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

func (b *bed) closeAll(t *testing.T, legs ...LegID) {
	t.Helper()
	for _, l := range legs {
		b.Closed(b.now, l)
	}
	b.pass(10 * time.Second)
	if b.OpenCalls()+b.Legs()+b.PendingAnswers()+b.Timers() != 0 || b.Stats.ActionFaults+b.Stats.Overdue != 0 {
		t.Errorf("left: %d calls, %d legs, %d held, %d timers; %+v", b.OpenCalls(), b.Legs(), b.PendingAnswers(), b.Timers(), b.Stats)
	}
	ends := 0
	for _, r := range b.Records {
		if r.Kind == FinalRecord {
			ends++
		}
	}
	if ends != int(b.Stats.Offered) {
		t.Errorf("%d ends of %d calls recorded", ends, b.Stats.Offered)
	}
}

func TestAnswerWaitsForItsRecord(t *testing.T) {
	b := proving(t)
	in, o := b.offer("15")
	b.Answered(b.now, o.Leg)
	b.expect(t, "before it is durable")
	b.MarkDurable(b.now, b.Records[0].RecordSeq)
	b.expect(t, "durable", Answer)
	b.Released(b.now, in, NormalClearing)
	b.expect(t, "released", Release)
	b.closeAll(t, in, o.Leg)
}

// A disk that does not answer holds an answer for the stated time and no longer, and it is counted.
func TestAnswerGoesWithoutItsRecord(t *testing.T) {
	b := proving(t)
	in, o := b.offer("15")
	b.Answered(b.now, o.Leg)
	b.pass(29 * ms)
	b.expect(t, "in time")
	b.pass(ms)
	b.expect(t, "over time", Answer)
	if b.Stats.AnsweredNotDurable != 1 {
		t.Errorf("%d counted", b.Stats.AnsweredNotDurable)
	}
	b.MarkDurable(b.now, 100) // late: nothing is sent twice
	b.expect(t, "late")
	b.Released(b.now, in, NormalClearing)
	b.take()
	b.closeAll(t, in, o.Leg)
}

// The far end answers and hangs up at once: the caller gets its answer and then the release, and no second attempt.
func TestFarEndHangsUpBeforeTheRecord(t *testing.T) {
	for _, lost := range []bool{false, true} {
		b := proving(t)
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

// The caller hangs up while its answer waits: it left, and is not answered after.
func TestCallerLeavesBeforeTheRecord(t *testing.T) {
	b := proving(t)
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
	b := proving(t)
	in, o := b.offer("15")
	b.Released(b.now, o.Leg, UserBusy)
	b.Closed(b.now, o.Leg)
	b.expect(t, "before it is durable")
	b.MarkDurable(b.now, b.Records[0].RecordSeq)
	if got := b.expect(t, "durable", Release); got[0].Leg != in || got[0].Cause != UserBusy {
		t.Errorf("got %+v", got)
	}
	b.closeAll(t, in)
}

func TestShutRouterTakesNoCall(t *testing.T) {
	b := proving(t)
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
	b.take()
	b.closeAll(t, in, o.Leg)
}
