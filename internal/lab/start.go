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

// startWatch is how long after a start calls are watched, second by second.
const startWatch = 20

// StartOptions are how `lab start` measures.
type StartOptions struct {
	Front    string
	Progress io.Writer
}

// StartCase is what callers met in the first seconds of one kind of start.
type StartCase struct {
	Case            string    `json:"case"`
	Share           float64   `json:"answered_share_first_20s"`
	BySecond        []float64 `json:"answered_share_by_second"` // of the tries dialled in each; -1 where none was
	FirstAnswer     float64   `json:"seconds_to_first_answer"`  // the first second with a try that stood; -1 is none
	Calls           int       `json:"calls"`
	Answered        int       `json:"stood"`
	ViolationCount  int       `json:"rules_broken"`
	SwitchCollapses int       `json:"switches_fallen"`
	Violations      []string  `json:"broken,omitempty"`
}

// StartResult is what `lab start` came to; the counts add up all cases.
type StartResult struct {
	Front          string      `json:"front"`
	Cases          []StartCase `json:"cases"`
	ViolationCount int         `json:"rules_broken"`
	Calls          int         `json:"calls"`
	Answered       int         `json:"stood"`
}

// startCase is one kind of start: a fleet, and what starts when.
type startCase struct {
	name      string
	exchanges int
	local     float64
	rate      float64
	trouble   string // of the exchange that is watched; empty is the fleet's own start
	watched   []int
	from      time.Duration // when the start is due
	struck    string
}

// startCases are a router alone, one that starts among warm ones, and a whole site that starts with its processors.
var startCases = []startCase{
	{name: "alone", exchanges: 1, local: 1, rate: 8, watched: []int{0}},
	{name: "among warm ones", exchanges: 8, local: 0.05, rate: 100, trouble: "peer_down", struck: "[3]", watched: []int{3}, from: 3 * time.Second},
	{name: "whole site cold", exchanges: 8, local: 0.05, rate: 100, trouble: "cold_site", struck: "[0, 1, 2, 3, 4, 5, 6, 7]",
		watched: []int{0, 1, 2, 3, 4, 5, 6, 7}, from: 3 * time.Second},
}

// startScript is the day of a case: nothing else goes wrong in it, and circuits and processors have room.
func startScript(c startCase, front string) (*Script, error) {
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
`, c.name, c.from+(startWatch+2)*time.Second, c.exchanges, front, c.rate, c.local)
	if c.trouble != "" {
		text += fmt.Sprintf("[[trouble]]\nkind = %q\nat = %q\nfor = %q\nexchanges = %s\n", c.trouble, c.from/2, c.from-c.from/2, c.struck)
	}
	return ParseScript("start.toml", []byte(text))
}

// MeasureStart plays each kind of start on loopback and tells the share of calls answered in the first 20 s.
func MeasureStart(ctx context.Context, o StartOptions) (*StartResult, error) {
	res := &StartResult{Front: o.Front}
	for _, c := range startCases {
		got, err := startOne(ctx, c, o)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.name, err)
		}
		fmt.Fprintf(o.Progress, "%s: %.3f of %d tries in the first %d s answered\n", c.name, got.Share, got.Calls, startWatch)
		res.Cases = append(res.Cases, *got)
		res.ViolationCount += got.ViolationCount
		res.Calls += got.Calls
		res.Answered += got.Answered
	}
	return res, nil
}

func startOne(ctx context.Context, c startCase, o StartOptions) (*StartCase, error) {
	s, err := startScript(c, o.Front)
	if err != nil {
		return nil, err
	}
	seconds := make([]standin.Tally, startWatch)
	look := func(f *fleet) {
		for _, x := range c.watched {
			for i, t := range f.callers[x].Seconds() {
				if i < startWatch {
					seconds[i].Tries += t.Tries
					seconds[i].Answered += t.Answered
				}
			}
		}
	}
	var day DayResult
	rep, err := judged(func(tap *capture.Writer) error {
		return play(ctx, s, tap, DayOptions{Progress: io.Discard, look: look}, &day)
	})
	if err != nil {
		return nil, err
	}
	day.take(rep)
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
