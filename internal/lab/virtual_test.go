package lab

import (
	"context"
	"path/filepath"
	goruntime "runtime"
	"testing"
)

// TestVirtualBadDay guards against rule violations and nondeterminism: the built-in script runs twice on the virtual
// clock with each protocol between routers, the second time with GOMAXPROCS 1, and both runs must be identical.
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
			t.Errorf("%s: second run has trace %x after %d steps, first run %x after %d: %v", front, again.Trace, again.Steps, res.Trace, res.Steps, err)
		}
		t.Logf("%s: %.2f s, %d steps, %d calls, %d answered, records %d, trace %x", front, res.WallSeconds, res.Steps, res.Calls, res.Answered, res.Records.Records, res.Trace)
		if !res.Good() {
			for i, v := range res.Violations {
				if i < 10 {
					t.Log(v)
				}
			}
			t.Errorf("%s: %d rule violations, resources still held %+v, overdue answers %d, failed actions %d, records %+v", front, res.ViolationCount, res.LeftOver, res.Overdue, res.ActionFaults, res.Records)
		}
	}
}

// TestSeeds guards against rule violations, resources that remain held and missing records, on a fixed range of seeds. Each
// seed covers the next pair of fault kinds.
func TestSeeds(t *testing.T) {
	res, err := ExploreSeeds(context.Background(), SeedsOptions{Count: 60, FirstSeed: 1, Drift: 0.01})
	if err != nil {
		t.Fatal(err)
	}
	if res.Failed > 0 || res.Calls < 10_000 || res.Outcomes["stood"] < 5000 {
		t.Errorf("%d of %d failed, %d calls, outcomes %v: %+v", res.Failed, res.Seeds, res.Calls, res.Outcomes, res.Failures)
	}
}

// TestPlantedBugsAreFound guards against checks that find nothing: they must detect each planted bug.
func TestPlantedBugsAreFound(t *testing.T) {
	res, err := ExploreSeeds(context.Background(), SeedsOptions{Count: 1, FirstSeed: 1, SeedsPerMutant: 60})
	if err != nil {
		t.Fatal(err)
	}
	if res.MutantsFound < res.Mutants || res.Mutants < 12 {
		t.Errorf("%d of %d found: %+v", res.MutantsFound, res.Mutants, res.MutantResults)
	}
}

// TestCorpus runs shrunk scripts that once failed, and guards against the return of those failures.
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
		if problems := res.problems(); len(problems) > 0 {
			t.Errorf("%s: %v", file, problems)
		}
	}
}

// TestShrink checks that a script that is formatted and parsed again gives the same day, and that the shrunk script of a
// failing day is smaller and still fails.
func TestShrink(t *testing.T) {
	s := GenerateScript(3, GenerateOptions{Exchanges: 4})
	reparsed, err := ParseScript("again.toml", FormatScript(s))
	if err != nil {
		t.Fatal(err)
	}
	o := VirtualOptions{Mutation: "one record in ten is kept twice"}
	first, err := RunVirtual(context.Background(), s, o)
	if err != nil {
		t.Fatal(err)
	}
	again, err := RunVirtual(context.Background(), reparsed, o)
	if err != nil || first.Trace != again.Trace {
		t.Errorf("trace of the reparsed script is %x, want %x: %v", again.Trace, first.Trace, err)
	}
	shrunk := ShrinkScript(context.Background(), s, o)
	res, err := RunVirtual(context.Background(), shrunk, o)
	if err != nil || len(res.problems()) == 0 || res.Calls >= first.Calls || len(shrunk.Faults) >= len(s.Faults) {
		t.Errorf("shrunk from %d calls and %d faults to %d and %d, problems %v, %v", first.Calls, len(s.Faults), res.Calls,
			len(shrunk.Faults), res.problems(), err)
	}
}
