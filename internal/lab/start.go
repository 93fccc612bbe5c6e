package lab

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/standin"
)

// watchedSeconds is the number of seconds after a start for which tries are counted, by second.
const watchedSeconds = 20

// StartOptions are the options of `lab start`.
type StartOptions struct {
	Front    string    // protocol between routers, one of FrontNames
	Progress io.Writer // gets a line for each case
}

// StartCase is the result for callers in the first seconds after one kind of start.
type StartCase struct {
	Case            string    `json:"case"`
	Share           float64   `json:"answered_share_first_20s"` // share of the tries answered
	BySecond        []float64 `json:"answered_share_by_second"` // share of the tries dialled in each second; -1 if there were none
	FirstAnswer     float64   `json:"seconds_to_first_answer"`  // first second with an answered try; -1 if there is none
	Calls           int       `json:"calls"`                    // tries in the first 20 s
	Answered        int       `json:"stood"`
	ViolationCount  int       `json:"rules_broken"`
	SwitchCollapses int       `json:"switches_fallen"`
	Violations      []string  `json:"broken,omitempty"`
}

// StartResult is the result of `lab start`; the counts are sums over all cases.
type StartResult struct {
	Front          string      `json:"front"`
	Cases          []StartCase `json:"cases"`
	ViolationCount int         `json:"rules_broken"`
	Calls          int         `json:"calls"`
	Answered       int         `json:"stood"`
}

// startSpec describes one kind of start: a fleet, which of its exchanges start, and when.
type startSpec struct {
	name      string
	exchanges int
	local     float64       // share of calls within an exchange
	rate      float64       // calls per second
	fault     string        // kind of fault that ends with the start; "" measures the start of the fleet itself
	watched   []int         // exchanges whose callers are counted
	from      time.Duration // time of the start
	affected  string        // TOML list of the exchanges that the fault affects
}

// startSpecs are a single router, a router that starts among warm ones, and a whole site that starts with its processors.
var startSpecs = []startSpec{
	{name: "alone", exchanges: 1, local: 1, rate: 8, watched: []int{0}},
	{name: "among warm ones", exchanges: 8, local: 0.05, rate: 100, fault: "peer_down", affected: "[3]", watched: []int{3}, from: 3 * time.Second},
	{name: "whole site cold", exchanges: 8, local: 0.05, rate: 100, fault: "cold_site", affected: "[0, 1, 2, 3, 4, 5, 6, 7]",
		watched: []int{0, 1, 2, 3, 4, 5, 6, 7}, from: 3 * time.Second},
}

// startScript returns the script of a kind of start. It has no faults other than the start, and enough circuits and
// processor capacity for all calls.
func startScript(c startSpec, front string) (*Script, error) {
	text := fmt.Sprintf(`name = %q
length = %q
seed = 11
[fleet]
exchanges = %d
circuits = 30
setup_rate = 60
lines = 200
cold_from = 0.29
cold_for = "15s"
same_delay = "2ms"
list_lag = "100ms"
front = %q
[load]
rate = %v
local = %v
redials = 0
[[class]]
name = "status-check"
share = 1
hold = "4s"
aim = "1500ms"
patience = "2s"
deadline = "6s"
worth = 1
`, c.name, c.from+(watchedSeconds+2)*time.Second, c.exchanges, front, c.rate, c.local)
	if c.fault != "" {
		text += fmt.Sprintf("[[trouble]]\nkind = %q\nat = %q\nfor = %q\nexchanges = %s\n", c.fault, c.from/2, c.from-c.from/2, c.affected)
	}
	return ParseScript("start.toml", []byte(text))
}

// MeasureStart runs each kind of start on loopback and measures the share of tries answered in the first 20 s.
func MeasureStart(ctx context.Context, o StartOptions) (*StartResult, error) {
	res := &StartResult{Front: o.Front}
	for _, c := range startSpecs {
		outcome, err := runStartCase(ctx, c, o)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.name, err)
		}
		fmt.Fprintf(o.Progress, "%s: %.3f of %d tries answered in the first %d s\n", c.name, outcome.Share, outcome.Calls, watchedSeconds)
		res.Cases = append(res.Cases, *outcome)
		res.ViolationCount += outcome.ViolationCount
		res.Calls += outcome.Calls
		res.Answered += outcome.Answered
	}
	return res, nil
}

// runStartCase runs the script of one kind of start and counts the tries of the watched exchanges by second.
func runStartCase(ctx context.Context, c startSpec, o StartOptions) (*StartCase, error) {
	s, err := startScript(c, o.Front)
	if err != nil {
		return nil, err
	}
	seconds := make([]standin.Tally, watchedSeconds)
	countTries := func(f *fleet) {
		for _, x := range c.watched {
			for i, t := range f.callers[x].Seconds() {
				if i < watchedSeconds {
					seconds[i].Tries += t.Tries
					seconds[i].Answered += t.Answered
				}
			}
		}
	}
	var day DayResult
	rep, err := runChecked(func(tap *capture.Writer) error {
		return runScript(ctx, s, tap, DayOptions{Progress: io.Discard, inspect: countTries}, &day)
	})
	if err != nil {
		return nil, err
	}
	day.addReport(rep)
	out := &StartCase{Case: c.name, ViolationCount: day.ViolationCount, Violations: day.Violations, SwitchCollapses: day.SwitchCollapses, FirstAnswer: -1}
	for _, t := range seconds {
		share := -1.0
		if t.Tries > 0 {
			share = float64(t.Answered) / float64(t.Tries)
		}
		out.BySecond = append(out.BySecond, share)
		out.Calls += t.Tries
		out.Answered += t.Answered
	}
	if out.Calls > 0 {
		out.Share = float64(out.Answered) / float64(out.Calls)
	}
	out.FirstAnswer = float64(slices.IndexFunc(seconds, func(t standin.Tally) bool { return t.Answered > 0 }))
	return out, nil
}
