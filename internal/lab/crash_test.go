package lab

import (
	"context"
	"io"
	"testing"
)

// Every write, sync, rename and removal of a run with exports is a crash, and every fiftieth of those recoveries is
// crashed at each of its own: no call without its record, none with two.
func TestCrashAtEveryPoint(t *testing.T) {
	res, err := RunCrashes(context.Background(), CrashOptions{Calls: 150, NestedInterval: 50, Seed: 3, Progress: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	if !res.Good() {
		t.Fatalf("%+v", res)
	}
	if res.PointsTried < 300 || res.PointsNested < 50 || res.CallsFinished < 1000 || res.CallsStanding == 0 || res.Recovered == 0 {
		t.Errorf("too little was tried: %+v", res)
	}
}

// The check can fail: a router that answers before the record is durable loses records.
func TestCrashFindsEarlyAnswers(t *testing.T) {
	res, err := RunCrashes(context.Background(), CrashOptions{Calls: 150, Seed: 3, early: true})
	if err != nil {
		t.Fatal(err)
	}
	if res.RecordsMissing == 0 {
		t.Errorf("no record is missing: %+v", res)
	}
}
