package lab

import (
	"context"
	"path/filepath"
	goruntime "runtime"
	"testing"
)

func TestVirtualBadDay(t *testing.T) {
	for _, front := range FrontNames {
		s, err := BuiltInScript()
		if err != nil {
			t.Fatal(err)
		}
		s.Fleet.Front = front
		res, err := RunVirtual(context.Background(), s, VirtualOptions{Drift: 0.01})
		if err != nil {
			t.Fatal(err)
		}
		goruntime.GOMAXPROCS(1)
		again, err := RunVirtual(context.Background(), s, VirtualOptions{Drift: 0.01})
		goruntime.GOMAXPROCS(goruntime.NumCPU())
		if err != nil || again.Trace != res.Trace || again.Steps != res.Steps {
			t.Errorf("%s: again %x after %d steps, at first %x after %d: %v", front, again.Trace, again.Steps, res.Trace, res.Steps, err)
		}
		t.Logf("%s: %.2f s, %d steps, %d calls, %d stood, records %d, trace %x", front, res.WallSeconds, res.Steps, res.Calls, res.Answered, res.Records.Records, res.Trace)
		if !res.Good() {
			for i, b := range res.Violations {
				if i < 10 {
					t.Log(b)
				}
			}
			t.Errorf("%s: %d broken, left %+v, overdue %d, faults %d, records %+v", front, res.ViolationCount, res.LeftOver, res.Overdue, res.ActionFaults, res.Records)
		}
	}
}

// Fixed seeds: no rule broken, nothing left over, every record there; each pair of kinds of trouble is met as the seeds
// go round.
func TestSeeds(t *testing.T) {
	res, err := ExploreSeeds(context.Background(), SeedsOptions{Count: 60, FirstSeed: 1, Drift: 0.01})
	if err != nil {
		t.Fatal(err)
	}
	if res.Failed > 0 || res.Calls < 10_000 || res.Outcomes["stood"] < 5000 {
		t.Errorf("%d of %d failed, %d calls, outcomes %v: %+v", res.Failed, res.Seeds, res.Calls, res.Outcomes, res.Failures)
	}
}

// The checks can fail: each planted bug is found.
func TestPlantedBugsAreFound(t *testing.T) {
	res, err := ExploreSeeds(context.Background(), SeedsOptions{Count: 1, FirstSeed: 1, SeedsPerMutant: 60})
	if err != nil {
		t.Fatal(err)
	}
	if res.MutantsFound < res.Mutants || res.Mutants < 12 {
		t.Errorf("%d of %d found: %+v", res.MutantsFound, res.Mutants, res.MutantResults)
	}
}

// Scripts that failed once, cut down: they stay good.
func TestCorpus(t *testing.T) {
	files, err := filepath.Glob("corpus/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scripts, %v", len(files), err)
	}
	for _, file := range files {
		s, err := LoadScript(file)
		if err != nil {
			t.Fatal(err)
		}
		res, err := RunVirtual(context.Background(), s, VirtualOptions{Drift: 0.01})
		if err != nil {
			t.Fatal(err)
		}
		if what := res.problems(); len(what) > 0 {
			t.Errorf("%s: %v", file, what)
		}
	}
}

// A script that is written and read again plays the same day; cut down, it still fails and is smaller.
func TestShrink(t *testing.T) {
	s := DrawScript(3, DrawOptions{Exchanges: 4})
	back, err := ParseScript("again.toml", FormatScript(s))
	if err != nil {
		t.Fatal(err)
	}
	o := VirtualOptions{Mutation: "one record in ten is kept twice"}
	first, err := RunVirtual(context.Background(), s, o)
	if err != nil {
		t.Fatal(err)
	}
	again, err := RunVirtual(context.Background(), back, o)
	if err != nil || first.Trace != again.Trace {
		t.Errorf("read again it plays %x, not %x: %v", again.Trace, first.Trace, err)
	}
	small := ShrinkScript(context.Background(), s, o)
	res, err := RunVirtual(context.Background(), small, o)
	if err != nil || len(res.problems()) == 0 || res.Calls >= first.Calls || len(small.Faults) >= len(s.Faults) {
		t.Errorf("cut down from %d calls and %d troubles to %d and %d, problems %v, %v", first.Calls, len(s.Faults), res.Calls,
			len(small.Faults), res.problems(), err)
	}
}
