package lab

import (
	"context"
	"io"
	"testing"
)

// TestCrashAtEveryPoint guards against records that are lost or duplicated by a crash at any write, sync, rename or removal
// of a run with exports. At every fiftieth crash point the recovery is crashed at each of its own points as well.
func TestCrashAtEveryPoint(t *testing.T) {
	res, err := RunCrashes(context.Background(), CrashOptions{Calls: 150, NestedInterval: 50, Seed: 3, Progress: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	if !res.Good() {
		t.Fatalf("%+v", res)
	}
	if res.PointsTried < 300 || res.PointsNested < 50 || res.CallsFinished < 1000 || res.CallsStanding == 0 || res.Recovered == 0 {
		t.Errorf("too few crash points, calls or recoveries: %+v", res)
	}
}

// TestCrashFindsEarlyAnswers checks that the audit finds the missing records of a router that answers before the record is
// durable.
func TestCrashFindsEarlyAnswers(t *testing.T) {
	res, err := RunCrashes(context.Background(), CrashOptions{Calls: 150, Seed: 3, answerEarly: true})
	if err != nil {
		t.Fatal(err)
	}
	if res.RecordsMissing == 0 {
		t.Errorf("no missing record found: %+v", res)
	}
}
