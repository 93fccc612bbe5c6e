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

// DayOptions are the options of `pipitring day`.
type DayOptions struct {
	Capture  string       // file for the capture; "" keeps it in memory only
	Progress io.Writer    // gets a line for each step of the script; nil for none
	Log      *zap.Logger  // log of the routers; nil for none
	inspect  func(*fleet) // if not nil, called when all calls have ended
}

// DayResult is the result of a day. Calls are counted by tries, redials included, from the capture, as seen at the callers'
// sockets.
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
	LeftOver        HeldResources                    `json:"left_over"`       // still held after all calls have ended
	Overdue         uint64                           `json:"overdue"`         // calls answered by the watchdog
	ActionFaults    uint64                           `json:"faults"`          // actions of the controller that could not be executed
	SwitchCollapses int                              `json:"switches_fallen"` // collapses of cold processors by overload
	Records         RecordsAudit                     `json:"records"`
	WallSeconds     float64                          `json:"wall_seconds"`
	stored          storedRecords                    // compared with the capture
}

// Good reports whether no rule was violated, no resource is still held, no answer was overdue, no action failed, no message
// was malformed and all records are right.
func (r *DayResult) Good() bool {
	return r.ViolationCount == 0 && r.LeftOver == (HeldResources{}) && r.Overdue+r.ActionFaults == 0 && r.Malformed == 0 && r.Records.Good()
}

// RunDay runs a script on loopback and checks the rules on its capture.
func RunDay(ctx context.Context, s *Script, o DayOptions) (*DayResult, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	began := time.Now()
	var file io.ReadWriteSeeker
	var buffer bytes.Buffer
	var w io.Writer = &buffer
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
	if err := runScript(ctx, s, tap, o, res); err != nil {
		return nil, err
	}
	if err := tap.Close(); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	var r io.Reader = &buffer
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
	res.addReport(report)
	res.Records.match(report.TryDetails, res.stored, nil)
	res.WallSeconds = time.Since(began).Seconds()
	return res, nil
}

// nopCloser prevents the capture writer from closing a file that is read afterwards.
type nopCloser struct{ io.Writer }

// CheckCapture checks the rules on a capture and returns the report.
func CheckCapture(r io.Reader) (*rules.Report, error) {
	c := rules.Checker{KeepTries: true}
	if err := capture.Read(r, func(p capture.Packet) error { c.Packet(p); return nil }); err != nil {
		return nil, err
	}
	return c.Report(), nil
}

// runChecked calls run with a capture in memory and checks the rules on that capture.
func runChecked(run func(tap *capture.Writer) error) (*rules.Report, error) {
	var buffer bytes.Buffer
	tap, err := capture.NewWriter(&buffer)
	if err != nil {
		return nil, err
	}
	if err := run(tap); err != nil {
		return nil, err
	}
	if err := tap.Close(); err != nil {
		return nil, err
	}
	return CheckCapture(&buffer)
}

// runScript starts a fleet, runs the script's steps and collects the result.
func runScript(ctx context.Context, s *Script, tap *capture.Writer, o DayOptions, res *DayResult) error {
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
	for _, st := range append(f.faultSteps(), step{s.Length, "the day ends", func() error { return nil }}) {
		if !sleepUntil(ctx, start.Add(min(st.at, s.Length))) {
			return ctx.Err()
		}
		fmt.Fprintf(o.Progress, "%6.2f s  %s\n", time.Since(start).Seconds(), st.description)
		if err := st.action(); err != nil {
			return fmt.Errorf("%s: %w", st.description, err)
		}
	}
	return f.finish(s, o.inspect, res)
}

// finish stops the callers, waits until all calls have ended and collects the resources still held, the statistics and the
// records.
func (f *fleet) finish(s *Script, inspect func(*fleet), res *DayResult) error {
	for _, c := range f.callers {
		c.Stop()
	}
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Patience)
	}
	time.Sleep(longest + 200*time.Millisecond) // by then every try has its final answer or is unanswered
	for _, c := range f.callers {
		c.HangUp()
	}
	if inspect != nil {
		inspect(f)
	}
	var err error
	if res.LeftOver, err = f.awaitReleased(15 * time.Second); err != nil {
		return err
	}
	if err := f.collectStats(res); err != nil {
		return err
	}
	res.stored, err = f.env.readRecords(&res.Records)
	return err
}

// collectStats sums the counters of routers and switches, and stops the routers.
func (f *fleet) collectStats(res *DayResult) error {
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

// sleepUntil waits until a time and reports whether it was reached before ctx ended.
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

// addReport fills in the fields that come from a report of the rules.
func (r *DayResult) addReport(rep *rules.Report) {
	r.ViolationCount, r.Calls, r.ByClass, r.Causes = len(rep.Violations), rep.Tries, rep.Outcomes, rep.Causes
	for _, v := range rep.Violations {
		r.Violations = append(r.Violations, v.String())
	}
	r.Answered, r.Refused, r.Failed = rep.Count(rules.Answered), rep.Count(rules.Refused), rep.Count(rules.Failed)
	r.Abandoned, r.Unanswered, r.Unfinished = rep.Count(rules.Abandoned), rep.Count(rules.Unanswered), rep.Count(rules.Unfinished)
	r.Cut, r.Attempts, r.Datagrams, r.Malformed = rep.Cut, rep.Attempts, rep.Datagrams, rep.Malformed
	r.SetUpMS = map[string]float64{}
	for name, q := range map[string]float64{"p50": 0.5, "p90": 0.9, "p99": 0.99} {
		if n := len(rep.SetUpDelays); n > 0 {
			r.SetUpMS[name] = float64(rep.SetUpDelays[min(n-1, int(q*float64(n)))].Microseconds()) / 1000
		}
	}
}

// Summarize returns a day's result with only the fields that come from a report of the rules.
func Summarize(rep *rules.Report) *DayResult {
	var r DayResult
	r.addReport(rep)
	return &r
}
