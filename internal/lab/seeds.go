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

// SeedsOptions are the options of `lab seeds`.
type SeedsOptions struct {
	Count          int // number of seeds
	FirstSeed      uint64
	Exchanges      int       // number of exchanges, as in GenerateOptions; 0 chooses it by the seed
	Drift          float64   // upper limit of the relative drift of routers' clocks
	Mutation       string    // name of a bug planted in router 0 of every seed; "" for none
	SeedsPerMutant int       // limit of seeds to find each planted bug; 0 plants none
	Shrink         bool      // reduce the scripts of failed seeds
	Jobs           int       // number of days run in parallel; 0 is one per core
	Progress       io.Writer // gets a line for every 200 seeds and each planted bug; nil for none
}

// SeedsResult is the coverage and the findings of an exploration.
type SeedsResult struct {
	Seeds                 int                `json:"seeds"` // fewer than requested if it was stopped
	Failed                int                `json:"failed"`
	Failures              []SeedFailure      `json:"failures,omitempty"`
	ViolationCount        int                `json:"rules_broken"`
	Calls                 int                `json:"calls"`
	Steps                 uint64             `json:"steps"` // events processed by the virtual networks
	WallSeconds           float64            `json:"wall_seconds"`
	VirtualSeconds        float64            `json:"virtual_seconds"`
	VirtualSecondsPerCore float64            `json:"virtual_seconds_per_second_per_core"`
	StepsPerSecond        float64            `json:"steps_per_second_per_core"`
	Outcomes              map[string]int     `json:"outcomes"`
	SeedsByKind           map[string]int     `json:"kinds"` // number of seeds with each kind of fault
	PairsCovered          int                `json:"pairs_met"`
	PairsTotal            int                `json:"pairs_in_all"`
	PairsUncovered        []string           `json:"pairs_missing,omitempty"`
	Messages              map[string]int     `json:"messages"` // number of frames and messages, by name
	Mutants               int                `json:"mutants"`
	MutantsFound          int                `json:"mutants_found"`
	MutantResults         []MutantResult     `json:"mutants_found_after,omitempty"`
	Cores                 int                `json:"cores"`
	covered               map[[2]string]bool // pairs of fault kinds, as kindPair returns them, that overlapped in a seed
}

// SeedFailure is a seed whose day failed.
type SeedFailure struct {
	Seed     uint64   `json:"seed"`
	Problems []string `json:"what"`
	Events   []string `json:"events,omitempty"` // last messages of the call concerned
	Replay   string   `json:"replay"`
	Script   string   `json:"script,omitempty"` // the script, reduced by ShrinkScript
}

// MutantResult is the result of exploring seeds with one planted bug, a mutant.
type MutantResult struct {
	Name       string `json:"name"`
	Violates   string `json:"breaks"`       // rule or invariant that the bug violates
	Seeds      int    `json:"seeds"`        // number of seeds until it was found; 0 if it was not
	DetectedBy string `json:"by,omitempty"` // first problem of the first failed seed
}

// problems returns one line for each thing that is wrong with a day.
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

// messageCounts counts the frames and messages on the network, by name.
type messageCounts map[string]int

func (m messageCounts) add(p capture.Packet) {
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

// seedResult is the result of one seed's day.
type seedResult struct {
	seed     uint64
	script   *Script
	day      *VirtualResult
	messages messageCounts
	err      error
}

// runSeed runs the script of a seed on the virtual clock and counts the messages of its day.
func runSeed(ctx context.Context, seed uint64, s *Script, o VirtualOptions) seedResult {
	result := seedResult{seed: seed, script: s, messages: messageCounts{}}
	o.OnPacket = result.messages.add
	result.day, result.err = RunVirtual(ctx, s, o)
	return result
}

// ExploreSeeds runs scripts generated from seeds on all cores and checks the rules after every step. If requested, it also
// counts the seeds that it takes to find each planted bug.
func ExploreSeeds(ctx context.Context, o SeedsOptions) (*SeedsResult, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.Jobs == 0 {
		o.Jobs = goruntime.GOMAXPROCS(0)
	}
	res := &SeedsResult{Outcomes: map[string]int{}, SeedsByKind: map[string]int{}, Messages: map[string]int{}, covered: map[[2]string]bool{},
		Cores: o.Jobs}
	began := time.Now()
	const batchSize = 50 // scripts and results kept in memory at a time
	for done := 0; done < o.Count && ctx.Err() == nil; done += batchSize {
		var scripts []*Script
		for i := done; i < min(done+batchSize, o.Count); i++ {
			scripts = append(scripts, GenerateScript(o.FirstSeed+uint64(i), GenerateOptions{Exchanges: o.Exchanges}))
		}
		for _, e := range runParallel(ctx, o, o.FirstSeed+uint64(done), scripts) {
			if ctx.Err() != nil {
				break // the seeds completed so far count
			}
			if e.err != nil {
				return nil, fmt.Errorf("seed %d: %w", e.seed, e.err)
			}
			res.add(ctx, e, o)
		}
		if (done/batchSize)%4 == 3 {
			fmt.Fprintf(o.Progress, "%d seeds, %d failed, %d of %d pairs of fault kinds covered\n", res.Seeds, res.Failed, len(res.covered), pairCount())
		}
	}
	res.WallSeconds = time.Since(began).Seconds()
	if res.WallSeconds > 0 {
		res.VirtualSecondsPerCore = res.VirtualSeconds / res.WallSeconds / float64(o.Jobs)
		res.StepsPerSecond = float64(res.Steps) / res.WallSeconds / float64(o.Jobs)
	}
	res.findUncovered()
	if o.SeedsPerMutant > 0 {
		if err := res.runMutants(ctx, o); err != nil {
			return nil, err
		}
	}
	return res, nil
}

// runParallel runs scripts on all cores and returns the results in the order of the scripts. from is the first one's seed.
func runParallel(ctx context.Context, o SeedsOptions, from uint64, scripts []*Script) []seedResult {
	out := make([]seedResult, len(scripts))
	next := make(chan int)
	var wg sync.WaitGroup
	for range o.Jobs {
		wg.Go(func() {
			for i := range next {
				out[i] = runSeed(ctx, from+uint64(i), scripts[i], VirtualOptions{Drift: o.Drift, Mutation: o.Mutation})
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

// add adds the result of one seed, and for a failed one its problems and how to reproduce them.
func (r *SeedsResult) add(ctx context.Context, result seedResult, o SeedsOptions) {
	r.Seeds++
	r.Calls += result.day.Calls
	r.Steps += result.day.Steps
	r.VirtualSeconds += result.day.VirtualTime.Seconds()
	r.ViolationCount += result.day.ViolationCount
	for _, by := range result.day.ByClass {
		for k, n := range by {
			r.Outcomes[string(k)] += n
		}
	}
	for name, n := range result.messages {
		r.Messages[name] += n
	}
	seen := map[string]bool{}
	for _, fault := range result.script.Faults {
		seen[fault.Kind] = true
	}
	for k := range seen {
		r.SeedsByKind[k]++
	}
	for _, p := range overlappingPairs(result.script) {
		r.covered[p] = true
	}
	problems := result.day.problems()
	if len(problems) == 0 {
		return
	}
	r.Failed++
	if len(r.Failures) >= 20 {
		return
	}
	failure := SeedFailure{Seed: result.seed, Problems: problems[:min(len(problems), 10)],
		Replay: fmt.Sprintf("pipitring lab seeds --count 1 --from %d --exchanges %d --drift %v", result.seed, o.Exchanges, o.Drift)}
	if o.Shrink {
		shrunk := ShrinkScript(ctx, result.script, VirtualOptions{Drift: o.Drift, Mutation: o.Mutation})
		failure.Script = string(FormatScript(shrunk))
		failure.Replay = "pipitring day --virtual SCRIPT, with the script below"
	}
	failure.Events = lastEvents(ctx, result.script, VirtualOptions{Drift: o.Drift, Mutation: o.Mutation}, result.day)
	r.Failures = append(r.Failures, failure)
}

// lastEvents runs a day again and returns the last messages of the first call that violated a rule.
func lastEvents(ctx context.Context, s *Script, o VirtualOptions, res *VirtualResult) []string {
	call := res.firstViolatedCall
	if call == "" {
		return nil
	}
	var w lineTail
	l := &rules.Ladder{Call: call, W: &w}
	o.OnPacket, o.StopAtViolation = l.Packet, true // the day ends at the step with the violation
	if _, err := RunVirtual(ctx, s, o); err != nil {
		return []string{err.Error()}
	}
	return w.lines
}

// lineTail is a writer that keeps the last lines written to it.
type lineTail struct{ lines []string }

const tailLines = 30

func (t *lineTail) Write(b []byte) (int, error) {
	t.lines = append(t.lines, string(b))
	if len(t.lines) > tailLines {
		t.lines = t.lines[1:]
	}
	return len(b), nil
}

// pairCount returns the number of pairs of fault kinds, pairs of a kind with itself included.
func pairCount() int { n := len(faultKinds); return n * (n + 1) / 2 }

// findUncovered fills in the counts of pairs of fault kinds and lists the pairs of which no seed had overlapping faults.
func (r *SeedsResult) findUncovered() {
	names := slices.Sorted(maps.Keys(faultKinds))
	r.PairsTotal, r.PairsCovered = pairCount(), len(r.covered)
	for i, a := range names {
		for _, b := range names[i:] {
			if !r.covered[kindPair(a, b)] {
				r.PairsUncovered = append(r.PairsUncovered, a+" + "+b)
			}
		}
	}
}

// runMutants plants each bug in turn and counts the seeds until a day with it fails.
func (r *SeedsResult) runMutants(ctx context.Context, o SeedsOptions) error {
	for _, m := range vnet.Mutations() {
		r.Mutants++
		found := MutantResult{Name: m.Name, Violates: m.Violates}
		for n := 0; n < o.SeedsPerMutant && found.Seeds == 0 && ctx.Err() == nil; n += o.Jobs {
			var scripts []*Script
			for i := range o.Jobs {
				scripts = append(scripts, GenerateScript(o.FirstSeed+uint64(n+i), GenerateOptions{Exchanges: o.Exchanges}))
			}
			mutated := o
			mutated.Mutation = m.Name
			for i, e := range runParallel(ctx, mutated, o.FirstSeed+uint64(n), scripts) {
				if e.err != nil {
					return fmt.Errorf("planted bug %q, seed %d: %w", m.Name, e.seed, e.err)
				}
				if problems := e.day.problems(); len(problems) > 0 && found.Seeds == 0 {
					found.Seeds, found.DetectedBy = n+i+1, problems[0]
				}
			}
		}
		if found.Seeds > 0 {
			r.MutantsFound++
		}
		r.MutantResults = append(r.MutantResults, found)
		fmt.Fprintf(o.Progress, "planted bug %q: found after %d seeds (0: not found): %s\n", m.Name, found.Seeds, found.DetectedBy)
	}
	return nil
}
