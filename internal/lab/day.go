package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"go.uber.org/zap"

	"pipitring/internal/capture"
	"pipitring/internal/node"
	"pipitring/internal/rules"
)

// DayOptions are how a day is played.
type DayOptions struct {
	Capture  string    // a file to keep the capture in; "" is none
	Progress io.Writer // what happens, as it happens; nil is not told
	Log      *zap.Logger
	look     func(*fleet) // at the fleet when all calls are over
}

// DayResult is what a day came to. Counts of tries are from the capture, by the callers' sockets.
type DayResult struct {
	Day             string                           `json:"day"`
	Front           string                           `json:"front"`
	ViolationCount  int                              `json:"rules_broken"`
	Violations      []string                         `json:"broken,omitempty"`
	Calls           int                              `json:"calls"`
	Answered        int                              `json:"stood"`
	Refused         int                              `json:"refused"`
	Failed          int                              `json:"failed"`
	Abandoned       int                              `json:"left"`
	Unanswered      int                              `json:"unanswered"`
	Unfinished      int                              `json:"unfinished"`
	Cut             int                              `json:"cut"`
	ByClass         map[string]map[rules.Outcome]int `json:"by_class"`
	Causes          map[uint8]int                    `json:"causes"`
	SetUpMS         map[string]float64               `json:"setup_ms"`
	Attempts        int                              `json:"attempts"`
	Datagrams       int                              `json:"datagrams"`
	Malformed       int                              `json:"malformed"`
	LeftOver        HeldResources                    `json:"left_over"`
	Overdue         uint64                           `json:"overdue"`
	ActionFaults    uint64                           `json:"faults"`
	SwitchCollapses int                              `json:"switches_fallen"`
	Records         DayRecords                       `json:"records"`
	WallSeconds     float64                          `json:"wall_seconds"`
	kept            keptRecords
}

// Good tells whether nothing was broken or left over.
func (r *DayResult) Good() bool {
	return r.ViolationCount == 0 && r.LeftOver == (HeldResources{}) && r.Overdue+r.ActionFaults == 0 && r.Malformed == 0 && r.Records.Good()
}

// RunDay plays a script on loopback and judges it from its capture.
func RunDay(ctx context.Context, s *Script, o DayOptions) (*DayResult, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	began := time.Now()
	var file io.ReadWriteSeeker
	var held bytes.Buffer
	var w io.Writer = &held
	if o.Capture != "" {
		f, err := os.Create(o.Capture)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		file, w = f, nopCloser{f}
	}
	tap, err := capture.NewWriter(w)
	if err != nil {
		return nil, err
	}
	res := &DayResult{Day: s.Name, Front: s.Fleet.Front}
	if err := play(ctx, s, tap, o, res); err != nil {
		return nil, err
	}
	if err := tap.Close(); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	var r io.Reader = &held
	if file != nil {
		if _, err := file.Seek(0, io.SeekStart); err != nil {
			return nil, err
		}
		r = file
	}
	report, err := CheckCapture(r)
	if err != nil {
		return nil, err
	}
	res.take(report)
	res.Records.match(report.TryDetails, res.kept, nil)
	res.WallSeconds = time.Since(began).Seconds()
	return res, nil
}

// nopCloser keeps the capture from closing a file that is read afterwards.
type nopCloser struct{ io.Writer }

// CheckCapture judges a capture.
func CheckCapture(r io.Reader) (*rules.Report, error) {
	c := rules.Checker{KeepTries: true}
	if err := capture.Read(r, func(p capture.Packet) error { c.Packet(p); return nil }); err != nil {
		return nil, err
	}
	return c.Report(), nil
}

// judged plays something under a tap and judges what it saw.
func judged(play func(tap *capture.Writer) error) (*rules.Report, error) {
	var held bytes.Buffer
	tap, err := capture.NewWriter(&held)
	if err != nil {
		return nil, err
	}
	if err := play(tap); err != nil {
		return nil, err
	}
	if err := tap.Close(); err != nil {
		return nil, err
	}
	return CheckCapture(&held)
}

// play runs the fleet through its day.
func play(ctx context.Context, s *Script, tap *capture.Writer, o DayOptions, res *DayResult) error {
	log := o.Log
	if log == nil {
		log = zap.NewNop()
	}
	f, err := startFleet(s, tap, log)
	if err != nil {
		return err
	}
	defer f.close()
	start := time.Now()
	for _, c := range f.callers {
		c.Start()
	}
	for _, st := range append(f.steps(), step{s.Length, "the day ends", func() error { return nil }}) {
		if !sleepUntil(ctx, start.Add(min(st.at, s.Length))) {
			return ctx.Err()
		}
		fmt.Fprintf(o.Progress, "%6.2f s  %s\n", time.Since(start).Seconds(), st.what)
		if err := st.do(); err != nil {
			return fmt.Errorf("%s: %w", st.what, err)
		}
	}
	return f.endDay(s, o.look, res)
}

// endDay lets the calls out come to their ends, then looks for what is left.
func (f *fleet) endDay(s *Script, look func(*fleet), res *DayResult) error {
	for _, c := range f.callers {
		c.Stop()
	}
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Patience)
	}
	time.Sleep(longest + 200*time.Millisecond) // every try gets its answer, or shows that it got none
	for _, c := range f.callers {
		c.HangUp()
	}
	if look != nil {
		look(f)
	}
	var err error
	if res.LeftOver, err = f.settle(15 * time.Second); err != nil {
		return err
	}
	if err := f.tally(res); err != nil {
		return err
	}
	res.kept, err = f.ground.readRecords(&res.Records)
	return err
}

// tally adds up what routers and switches counted, and ends the routers.
func (f *fleet) tally(res *DayResult) error {
	for _, r := range f.routers {
		if r == nil {
			continue
		}
		if err := r.Do(func(n *node.Node, _ time.Duration) {
			res.Overdue += n.Core.Stats.Overdue
			res.ActionFaults += n.Core.Stats.ActionFaults
		}); err != nil {
			return err
		}
	}
	for _, sw := range f.switches {
		res.SwitchCollapses += sw.Count().Collapsed
	}
	return f.stopRouters()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// take puts a report in the result's terms.
func (r *DayResult) take(rep *rules.Report) {
	r.ViolationCount, r.Calls, r.ByClass, r.Causes = len(rep.Violations), rep.Tries, rep.Outcomes, rep.Causes
	for _, b := range rep.Violations {
		r.Violations = append(r.Violations, b.String())
	}
	r.Answered, r.Refused, r.Failed = rep.Count(rules.Answered), rep.Count(rules.Refused), rep.Count(rules.Failed)
	r.Abandoned, r.Unanswered, r.Unfinished = rep.Count(rules.Abandoned), rep.Count(rules.Unanswered), rep.Count(rules.Unfinished)
	r.Cut, r.Attempts, r.Datagrams, r.Malformed = rep.Cut, rep.Attempts, rep.Datagrams, rep.Malformed
	r.SetUpMS = map[string]float64{}
	for name, q := range map[string]float64{"p50": 0.5, "p90": 0.9, "p99": 0.99} {
		if n := len(rep.SetUps); n > 0 {
			r.SetUpMS[name] = float64(rep.SetUps[min(n-1, int(q*float64(n)))].Microseconds()) / 1000
		}
	}
}

// Summarize is a report in the form of a day's result.
func Summarize(rep *rules.Report) *DayResult {
	var r DayResult
	r.take(rep)
	return &r
}
