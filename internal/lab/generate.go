package lab

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// GenerateOptions are the options of generating a script from a seed.
type GenerateOptions struct {
	Exchanges int           // number of exchanges; 0 chooses 3 to 12, or 12 to 40 in one of ten seeds
	Length    time.Duration // length of the day; 0 chooses 6 to 14 s
}

// GenerateScript generates a script with overlapping faults from a seed. The same seed and options give the same script.
func GenerateScript(seed uint64, o GenerateOptions) *Script {
	rng := rand.New(rand.NewPCG(seed, 0xda4))
	between := func(lo, hi float64) float64 { return lo + (hi-lo)*rng.Float64() }
	durationBetween := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo)+1)) }
	s := defaultScript()
	s.Virtual = true
	s.Name, s.Seed = fmt.Sprintf("seed %d", seed), seed
	s.Length = o.Length
	if s.Length == 0 {
		s.Length = durationBetween(6*time.Second, 14*time.Second)
	}
	f := &s.Fleet
	f.Exchanges = o.Exchanges
	if f.Exchanges == 0 {
		f.Exchanges = 3 + rng.IntN(10)
		if rng.IntN(10) == 0 {
			f.Exchanges = 12 + rng.IntN(29)
		}
	}
	f.Regions = []string{"a", "b", "c"}[:1+rng.IntN(3)]
	f.Circuits, f.CircuitSpread, f.UnlinkedShare = 4+rng.IntN(40), between(0, 0.6), between(0, 0.3)
	f.QueueWait, f.Lines = durationBetween(200*time.Millisecond, 3*time.Second), 10+rng.IntN(300)
	f.RingTime = durationBetween(0, 300*time.Millisecond)
	f.ColdCapacity, f.ColdDuration = between(0.25, 0.5), durationBetween(2*time.Second, 8*time.Second)
	f.DrainGrace = []time.Duration{250 * time.Millisecond, time.Second, 2 * time.Second}[rng.IntN(3)]
	f.ReleaseWait = []time.Duration{200 * time.Millisecond, 300 * time.Millisecond}[rng.IntN(2)]
	f.RegionDelay, f.CrossRegionDelay, f.Jitter = durationBetween(0, 5*time.Millisecond), durationBetween(2*time.Millisecond, 30*time.Millisecond), durationBetween(0, 10*time.Millisecond)
	f.LossRate, f.DuplicateRate = between(0, 0.05), between(0, 0.05)
	f.ListLag = durationBetween(0, 2*time.Second)
	f.Front = FrontNames[rng.IntN(len(FrontNames))]
	if f.DrainGrace == 250*time.Millisecond {
		f.AcceptDelay = 50 * time.Millisecond // the settings check allows at most a quarter of the drain grace
	}
	exchangeRate := between(2, 14) // calls per second from, and to, each exchange
	f.SetUpRate = exchangeRate * between(1.3, 10)
	s.Load = LoadSpec{Rate: exchangeRate * float64(f.Exchanges), LocalShare: between(0, 0.4), MaxRedials: rng.IntN(4),
		Backoff: durationBetween(50*time.Millisecond, time.Second)}
	s.Classes = []ClassSpec{
		{Name: "status-check", Share: 0.7, HoldTime: durationBetween(300*time.Millisecond, 5*time.Second), SetupTarget: 1500 * time.Millisecond,
			Patience: 3 * time.Second, Deadline: 9 * time.Second, Value: 1, LateValue: 0.25},
		{Name: "alarm", Share: 0.3, HoldTime: durationBetween(300*time.Millisecond, 3*time.Second), SetupTarget: time.Second, Patience: 2 * time.Second,
			Deadline: 6 * time.Second, Value: 5, LateValue: 0.25}}
	s.Faults = generateFaults(rng, &s)
	return &s
}

// generateFaults generates two to seven faults. The first two overlap. Their kinds are a pair that the seed's number
// determines, so that consecutive seeds, as many as there are pairs, cover all pairs.
func generateFaults(rng *rand.Rand, s *Script) (out []Fault) {
	names := slices.Sorted(maps.Keys(faultKinds))
	pair := pairAt(names, int(s.Seed%uint64(pairCount())))
	for i := range 2 + rng.IntN(6) {
		name := names[rng.IntN(len(names))]
		if i < 2 {
			name = pair[i]
		}
		k := faultKinds[name]
		fault := Fault{Kind: name, At: time.Duration(rng.Int64N(int64(s.Length * 3 / 4))), For: time.Duration(rng.Int64N(int64(s.Length / 2))),
			Share: rng.Float64(), Size: k.minSize + (k.maxSize-k.minSize)*rng.Float64()*rng.Float64()}
		if i == 1 {
			fault.At = min(out[0].At+time.Duration(rng.Int64N(int64(out[0].For)+1)), s.Length-1)
		}
		if k.maxSize > 10 {
			fault.Size = k.minSize + (min(k.maxSize, 10)-k.minSize)*rng.Float64()
		}
		if k.region {
			fault.Region = s.Fleet.Regions[rng.IntN(len(s.Fleet.Regions))]
		}
		if fault.Share == 0 {
			fault.Share = 0.5
		}
		out = append(out, fault)
	}
	return out
}

// pairAt returns the n-th pair of names, pairs of a name with itself included. It panics if n is not below the number of
// pairs.
func pairAt(names []string, n int) [2]string {
	for i := range names {
		if rest := len(names) - i; n >= rest {
			n -= rest
			continue
		}
		return [2]string{names[i], names[i+n]}
	}
	panic("lab: pair of fault kinds out of range")
}

// kindPair returns two kinds of fault in alphabetical order.
func kindPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// overlappingPairs returns the pairs of kinds whose faults overlap in a script, each as kindPair returns it. A pair that
// overlaps several times is repeated.
func overlappingPairs(s *Script) (out [][2]string) {
	for i, a := range s.Faults {
		for _, b := range s.Faults[i+1:] {
			if a.At <= b.At+b.For && b.At <= a.At+a.For {
				out = append(out, kindPair(a.Kind, b.Kind))
			}
		}
	}
	return out
}
