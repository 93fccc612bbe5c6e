package lab

import (
	"context"
	"fmt"
	"io"
	"maps"
	goruntime "runtime"
	"slices"
	"sync"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/iax2"
	"pipitring/internal/m3ua"
	"pipitring/internal/rules"
	"pipitring/internal/vnet"
)

// SeedsOptions are how `lab seeds` explores.
type SeedsOptions struct {
	Count     int
	From      uint64
	Exchanges int
	Drift     float64 // routers' clocks differ by up to this part
	Mutate    string  // a planted bug in every seed's router 0
	Mutants   int     // seeds that may be spent on each planted bug; 0 leaves them out
	Shrink    bool
	Jobs      int // days at once; 0 is one a core
	Progress  io.Writer
}

// SeedsResult is what was explored and found.
type SeedsResult struct {
	Seeds        int            `json:"seeds"` // fewer than were asked for where it was stopped
	Failed       int            `json:"failed"`
	Failures     []SeedFailure  `json:"failures,omitempty"`
	RulesBroken  int            `json:"rules_broken"`
	Calls        int            `json:"calls"`
	Steps        uint64         `json:"steps"`
	WallSeconds  float64        `json:"wall_seconds"`
	Virtual      float64        `json:"virtual_seconds"`
	PerCore      float64        `json:"virtual_seconds_per_second_per_core"`
	StepsPerS    float64        `json:"steps_per_second_per_core"`
	Outcomes     map[string]int `json:"outcomes"`
	Kinds        map[string]int `json:"kinds"` // seeds in which each was met
	PairsMet     int            `json:"pairs_met"`
	PairsInAll   int            `json:"pairs_in_all"`
	PairsMissing []string       `json:"pairs_missing,omitempty"`
	Messages     map[string]int `json:"messages"` // frames and messages by name
	Mutants      int            `json:"mutants"`
	MutantsFound int            `json:"mutants_found"`
	Found        []MutantFound  `json:"mutants_found_after,omitempty"`
	Cores        int            `json:"cores"`
	met          map[[2]string]bool
}

// SeedFailure is one seed that failed.
type SeedFailure struct {
	Seed   uint64   `json:"seed"`
	What   []string `json:"what"`
	Events []string `json:"events,omitempty"` // the last of the call concerned
	Replay string   `json:"replay"`
	Script string   `json:"script,omitempty"` // cut down
}

// MutantFound tells after how many seeds a planted bug was found.
type MutantFound struct {
	Name   string `json:"name"`
	Breaks string `json:"breaks"`
	Seeds  int    `json:"seeds"` // 0: not found
	By     string `json:"by,omitempty"`
}

// problems are all that is wrong with a day.
func (r *VirtualResult) problems() (out []string) {
	out = append(out, r.Broken...)
	if r.LeftOver != (Left{}) {
		out = append(out, fmt.Sprintf("left over: %+v", r.LeftOver))
	}
	if r.Overdue > 0 {
		out = append(out, fmt.Sprintf("%d answers by the watchdog", r.Overdue))
	}
	if r.Faults > 0 {
		out = append(out, fmt.Sprintf("%d actions that could not be carried out", r.Faults))
	}
	if r.Malformed > 0 {
		out = append(out, fmt.Sprintf("%d malformed messages", r.Malformed))
	}
	return append(out, r.Records.Found...)
}

// messages counts what crossed the network, by name.
type messages map[string]int

func (m messages) see(p capture.Packet) {
	switch {
	case p.Notice != nil || p.Reset:
	case p.M3UA:
		var msg m3ua.Message
		if m3ua.Parse(p.Payload, &msg) == nil {
			m[msg.Type.String()]++
		}
	default:
		var f iax2.Frame
		if iax2.ParseFrame(p.Payload, &f) == nil && f.Layout == iax2.Full {
			m[f.Name()]++
		}
	}
}

// explored is one seed's day.
type explored struct {
	seed   uint64
	script *Script
	res    *VirtualResult
	msgs   messages
	err    error
}

func explore(ctx context.Context, seed uint64, s *Script, o VirtualOptions) explored {
	e := explored{seed: seed, script: s, msgs: messages{}}
	o.Watch = e.msgs.see
	e.res, e.err = Virtual(ctx, s, o)
	return e
}

// Seeds plays days drawn from seeds on all cores, checks every step, and finds planted bugs.
func Seeds(ctx context.Context, o SeedsOptions) (*SeedsResult, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.Jobs == 0 {
		o.Jobs = goruntime.GOMAXPROCS(0)
	}
	res := &SeedsResult{Outcomes: map[string]int{}, Kinds: map[string]int{}, Messages: map[string]int{}, met: map[[2]string]bool{},
		Cores: o.Jobs}
	began := time.Now()
	const round = 50 // scripts that are held at once
	for done := 0; done < o.Count && ctx.Err() == nil; done += round {
		var scripts []*Script
		for i := done; i < min(done+round, o.Count); i++ {
			scripts = append(scripts, Draw(o.From+uint64(i), DrawOptions{Exchanges: o.Exchanges}))
		}
		for _, e := range parallel(ctx, o, o.From+uint64(done), scripts) {
			if ctx.Err() != nil {
				break // what was explored until then counts
			}
			if e.err != nil {
				return nil, fmt.Errorf("seed %d: %w", e.seed, e.err)
			}
			res.take(ctx, e, o)
		}
		if (done/round)%4 == 3 {
			fmt.Fprintf(o.Progress, "%d seeds, %d failed, %d of %d pairs of kinds met\n", res.Seeds, res.Failed, len(res.met), pairsInAll())
		}
	}
	res.WallSeconds = time.Since(began).Seconds()
	if res.WallSeconds > 0 {
		res.PerCore = res.Virtual / res.WallSeconds / float64(o.Jobs)
		res.StepsPerS = float64(res.Steps) / res.WallSeconds / float64(o.Jobs)
	}
	res.pairs()
	if o.Mutants > 0 {
		if err := res.mutants(ctx, o); err != nil {
			return nil, err
		}
	}
	return res, nil
}

// parallel plays scripts on all cores; results come in the scripts' order.
func parallel(ctx context.Context, o SeedsOptions, from uint64, scripts []*Script) []explored {
	out := make([]explored, len(scripts))
	next := make(chan int)
	var wg sync.WaitGroup
	for range o.Jobs {
		wg.Go(func() {
			for i := range next {
				out[i] = explore(ctx, from+uint64(i), scripts[i], VirtualOptions{Drift: o.Drift, Mutate: o.Mutate})
			}
		})
	}
	for i := range scripts {
		next <- i
	}
	close(next)
	wg.Wait()
	return out
}

func (r *SeedsResult) take(ctx context.Context, e explored, o SeedsOptions) {
	r.Seeds++
	r.Calls += e.res.Calls
	r.Steps += e.res.Steps
	r.Virtual += e.res.Virtual.Seconds()
	r.RulesBroken += e.res.RulesBroken
	for _, by := range e.res.ByClass {
		for k, n := range by {
			r.Outcomes[string(k)] += n
		}
	}
	for name, n := range e.msgs {
		r.Messages[name] += n
	}
	seen := map[string]bool{}
	for _, t := range e.script.Trouble {
		seen[t.Kind] = true
	}
	for k := range seen {
		r.Kinds[k]++
	}
	for _, p := range pairsOf(e.script) {
		r.met[p] = true
	}
	what := e.res.problems()
	if len(what) == 0 {
		return
	}
	r.Failed++
	if len(r.Failures) >= 20 {
		return
	}
	fail := SeedFailure{Seed: e.seed, What: what[:min(len(what), 10)],
		Replay: fmt.Sprintf("pipitring lab seeds --count 1 --from %d --exchanges %d --drift %v", e.seed, o.Exchanges, o.Drift)}
	if o.Shrink {
		small := Shrink(ctx, e.script, VirtualOptions{Drift: o.Drift, Mutate: o.Mutate})
		fail.Script = string(FormatScript(small))
		fail.Replay = "pipitring day --virtual SCRIPT, with the script below"
	}
	fail.Events = lastEvents(ctx, e.script, VirtualOptions{Drift: o.Drift, Mutate: o.Mutate}, e.res)
	r.Failures = append(r.Failures, fail)
}

// lastEvents plays a day again and keeps the last messages of the first call that a rule was broken for.
func lastEvents(ctx context.Context, s *Script, o VirtualOptions, res *VirtualResult) []string {
	call := res.firstCall
	if call == "" {
		return nil
	}
	var w tail
	l := &rules.Ladder{Call: call, W: &w}
	o.Watch, o.Steps = l.Packet, true // the day ends at the step that broke it
	if _, err := Virtual(ctx, s, o); err != nil {
		return []string{err.Error()}
	}
	return w.lines
}

// tail keeps the last lines written to it.
type tail struct{ lines []string }

const tailLines = 30

func (t *tail) Write(b []byte) (int, error) {
	t.lines = append(t.lines, string(b))
	if len(t.lines) > tailLines {
		t.lines = t.lines[1:]
	}
	return len(b), nil
}

func pairsInAll() int { n := len(kinds); return n * (n + 1) / 2 }

// pairs tells which pairs of kinds were not met.
func (r *SeedsResult) pairs() {
	names := slices.Sorted(maps.Keys(kinds))
	r.PairsInAll, r.PairsMet = pairsInAll(), len(r.met)
	for i, a := range names {
		for _, b := range names[i:] {
			if !r.met[kindPair(a, b)] {
				r.PairsMissing = append(r.PairsMissing, a+" + "+b)
			}
		}
	}
}

// mutants plants each bug in turn and counts the seeds until it is found.
func (r *SeedsResult) mutants(ctx context.Context, o SeedsOptions) error {
	for _, m := range vnet.Mutations() {
		r.Mutants++
		found := MutantFound{Name: m.Name, Breaks: m.Breaks}
		for n := 0; n < o.Mutants && found.Seeds == 0 && ctx.Err() == nil; n += o.Jobs {
			var scripts []*Script
			for i := range o.Jobs {
				scripts = append(scripts, Draw(o.From+uint64(n+i), DrawOptions{Exchanges: o.Exchanges}))
			}
			with := o
			with.Mutate = m.Name
			for i, e := range parallel(ctx, with, o.From+uint64(n), scripts) {
				if e.err != nil {
					return fmt.Errorf("planted bug %q, seed %d: %w", m.Name, e.seed, e.err)
				}
				if what := e.res.problems(); len(what) > 0 && found.Seeds == 0 {
					found.Seeds, found.By = n+i+1, what[0]
				}
			}
		}
		if found.Seeds > 0 {
			r.MutantsFound++
		}
		r.Found = append(r.Found, found)
		fmt.Fprintf(o.Progress, "planted: %s: found after %d seeds: %s\n", m.Name, found.Seeds, found.By)
	}
	return nil
}
