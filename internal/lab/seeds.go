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
	Count          int
	FirstSeed      uint64
	Exchanges      int
	Drift          float64 // routers' clocks differ by up to this part
	Mutation       string  // a planted bug in every seed's router 0
	SeedsPerMutant int     // seeds that may be spent on each planted bug; 0 leaves them out
	Shrink         bool
	Jobs           int // days at once; 0 is one a core
	Progress       io.Writer
}

// SeedsResult is what was explored and found.
type SeedsResult struct {
	Seeds                 int            `json:"seeds"` // fewer than were asked for where it was stopped
	Failed                int            `json:"failed"`
	Failures              []SeedFailure  `json:"failures,omitempty"`
	ViolationCount        int            `json:"rules_broken"`
	Calls                 int            `json:"calls"`
	Steps                 uint64         `json:"steps"`
	WallSeconds           float64        `json:"wall_seconds"`
	VirtualSeconds        float64        `json:"virtual_seconds"`
	VirtualSecondsPerCore float64        `json:"virtual_seconds_per_second_per_core"`
	StepsPerSecond        float64        `json:"steps_per_second_per_core"`
	Outcomes              map[string]int `json:"outcomes"`
	SeedsByKind           map[string]int `json:"kinds"` // seeds in which each was met
	PairsCovered          int            `json:"pairs_met"`
	PairsTotal            int            `json:"pairs_in_all"`
	PairsUncovered        []string       `json:"pairs_missing,omitempty"`
	Messages              map[string]int `json:"messages"` // frames and messages by name
	Mutants               int            `json:"mutants"`
	MutantsFound          int            `json:"mutants_found"`
	MutantResults         []MutantResult `json:"mutants_found_after,omitempty"`
	Cores                 int            `json:"cores"`
	met                   map[[2]string]bool
}

// SeedFailure is one seed that failed.
type SeedFailure struct {
	Seed     uint64   `json:"seed"`
	Problems []string `json:"what"`
	Events   []string `json:"events,omitempty"` // the last of the call concerned
	Replay   string   `json:"replay"`
	Script   string   `json:"script,omitempty"` // cut down
}

// MutantResult tells after how many seeds a planted bug was found.
type MutantResult struct {
	Name       string `json:"name"`
	Violates   string `json:"breaks"`
	Seeds      int    `json:"seeds"` // 0: not found
	DetectedBy string `json:"by,omitempty"`
}

// problems are all that is wrong with a day.
func (r *VirtualResult) problems() (out []string) {
	out = append(out, r.Violations...)
	if r.LeftOver != (HeldResources{}) {
		out = append(out, fmt.Sprintf("left over: %+v", r.LeftOver))
	}
	if r.Overdue > 0 {
		out = append(out, fmt.Sprintf("%d answers by the watchdog", r.Overdue))
	}
	if r.ActionFaults > 0 {
		out = append(out, fmt.Sprintf("%d actions that could not be carried out", r.ActionFaults))
	}
	if r.Malformed > 0 {
		out = append(out, fmt.Sprintf("%d malformed messages", r.Malformed))
	}
	return append(out, r.Records.Problems...)
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
	o.OnPacket = e.msgs.see
	e.res, e.err = RunVirtual(ctx, s, o)
	return e
}

// ExploreSeeds plays days drawn from seeds on all cores, checks every step, and finds planted bugs.
func ExploreSeeds(ctx context.Context, o SeedsOptions) (*SeedsResult, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.Jobs == 0 {
		o.Jobs = goruntime.GOMAXPROCS(0)
	}
	res := &SeedsResult{Outcomes: map[string]int{}, SeedsByKind: map[string]int{}, Messages: map[string]int{}, met: map[[2]string]bool{},
		Cores: o.Jobs}
	began := time.Now()
	const round = 50 // scripts that are held at once
	for done := 0; done < o.Count && ctx.Err() == nil; done += round {
		var scripts []*Script
		for i := done; i < min(done+round, o.Count); i++ {
			scripts = append(scripts, DrawScript(o.FirstSeed+uint64(i), DrawOptions{Exchanges: o.Exchanges}))
		}
		for _, e := range parallel(ctx, o, o.FirstSeed+uint64(done), scripts) {
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
		res.VirtualSecondsPerCore = res.VirtualSeconds / res.WallSeconds / float64(o.Jobs)
		res.StepsPerSecond = float64(res.Steps) / res.WallSeconds / float64(o.Jobs)
	}
	res.pairs()
	if o.SeedsPerMutant > 0 {
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
				out[i] = explore(ctx, from+uint64(i), scripts[i], VirtualOptions{Drift: o.Drift, Mutation: o.Mutation})
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
	r.VirtualSeconds += e.res.VirtualTime.Seconds()
	r.ViolationCount += e.res.ViolationCount
	for _, by := range e.res.ByClass {
		for k, n := range by {
			r.Outcomes[string(k)] += n
		}
	}
	for name, n := range e.msgs {
		r.Messages[name] += n
	}
	seen := map[string]bool{}
	for _, t := range e.script.Faults {
		seen[t.Kind] = true
	}
	for k := range seen {
		r.SeedsByKind[k]++
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
	fail := SeedFailure{Seed: e.seed, Problems: what[:min(len(what), 10)],
		Replay: fmt.Sprintf("pipitring lab seeds --count 1 --from %d --exchanges %d --drift %v", e.seed, o.Exchanges, o.Drift)}
	if o.Shrink {
		small := ShrinkScript(ctx, e.script, VirtualOptions{Drift: o.Drift, Mutation: o.Mutation})
		fail.Script = string(FormatScript(small))
		fail.Replay = "pipitring day --virtual SCRIPT, with the script below"
	}
	fail.Events = lastEvents(ctx, e.script, VirtualOptions{Drift: o.Drift, Mutation: o.Mutation}, e.res)
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
	o.OnPacket, o.StopAtViolation = l.Packet, true // the day ends at the step that broke it
	if _, err := RunVirtual(ctx, s, o); err != nil {
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
	r.PairsTotal, r.PairsCovered = pairsInAll(), len(r.met)
	for i, a := range names {
		for _, b := range names[i:] {
			if !r.met[kindPair(a, b)] {
				r.PairsUncovered = append(r.PairsUncovered, a+" + "+b)
			}
		}
	}
}

// mutants plants each bug in turn and counts the seeds until it is found.
func (r *SeedsResult) mutants(ctx context.Context, o SeedsOptions) error {
	for _, m := range vnet.Mutations() {
		r.Mutants++
		found := MutantResult{Name: m.Name, Violates: m.Violates}
		for n := 0; n < o.SeedsPerMutant && found.Seeds == 0 && ctx.Err() == nil; n += o.Jobs {
			var scripts []*Script
			for i := range o.Jobs {
				scripts = append(scripts, DrawScript(o.FirstSeed+uint64(n+i), DrawOptions{Exchanges: o.Exchanges}))
			}
			with := o
			with.Mutation = m.Name
			for i, e := range parallel(ctx, with, o.FirstSeed+uint64(n), scripts) {
				if e.err != nil {
					return fmt.Errorf("planted bug %q, seed %d: %w", m.Name, e.seed, e.err)
				}
				if what := e.res.problems(); len(what) > 0 && found.Seeds == 0 {
					found.Seeds, found.DetectedBy = n+i+1, what[0]
				}
			}
		}
		if found.Seeds > 0 {
			r.MutantsFound++
		}
		r.MutantResults = append(r.MutantResults, found)
		fmt.Fprintf(o.Progress, "planted: %s: found after %d seeds: %s\n", m.Name, found.Seeds, found.DetectedBy)
	}
	return nil
}
