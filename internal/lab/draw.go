package lab

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// DrawOptions are how days are drawn from seeds.
type DrawOptions struct {
	Exchanges int           // 0 draws 3 to 12, now and then up to 40
	Length    time.Duration // 0 draws 6 to 14 s
}

// DrawScript draws a day with overlapping troubles from a seed. The same seed and options draw the same day.
func DrawScript(seed uint64, o DrawOptions) *Script {
	rng := rand.New(rand.NewPCG(seed, 0xda4))
	between := func(lo, hi float64) float64 { return lo + (hi-lo)*rng.Float64() }
	span := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo)+1)) }
	s := defaultScript()
	s.Virtual = true
	s.Name, s.Seed = fmt.Sprintf("seed %d", seed), seed
	s.Length = o.Length
	if s.Length == 0 {
		s.Length = span(6*time.Second, 14*time.Second)
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
	f.QueueWait, f.Lines = span(200*time.Millisecond, 3*time.Second), 10+rng.IntN(300)
	f.RingTime = span(0, 300*time.Millisecond)
	f.ColdCapacity, f.ColdDuration = between(0.25, 0.5), span(2*time.Second, 8*time.Second)
	f.DrainGrace = []time.Duration{250 * time.Millisecond, time.Second, 2 * time.Second}[rng.IntN(3)]
	f.ReleaseWait = []time.Duration{200 * time.Millisecond, 300 * time.Millisecond}[rng.IntN(2)]
	f.RegionDelay, f.CrossRegionDelay, f.Jitter = span(0, 5*time.Millisecond), span(2*time.Millisecond, 30*time.Millisecond), span(0, 10*time.Millisecond)
	f.LossRate, f.DuplicateRate = between(0, 0.05), between(0, 0.05)
	f.ListLag = span(0, 2*time.Second)
	f.Front = FrontNames[rng.IntN(len(FrontNames))]
	if f.DrainGrace == 250*time.Millisecond {
		f.AcceptDelay = 50 * time.Millisecond // a quarter of the grace at the most
	}
	each := between(2, 14) // calls a second from, and to, an exchange
	f.SetUpRate = each * between(1.3, 10)
	s.Load = LoadSpec{Rate: each * float64(f.Exchanges), LocalShare: between(0, 0.4), MaxRedials: rng.IntN(4),
		Backoff: span(50*time.Millisecond, time.Second)}
	s.Classes = []ClassSpec{
		{Name: "status-check", Share: 0.7, HoldTime: span(300*time.Millisecond, 5*time.Second), SetupTarget: 1500 * time.Millisecond,
			Patience: 3 * time.Second, Deadline: 9 * time.Second, Value: 1, LateValue: 0.25},
		{Name: "alarm", Share: 0.3, HoldTime: span(300*time.Millisecond, 3*time.Second), SetupTarget: time.Second, Patience: 2 * time.Second,
			Deadline: 6 * time.Second, Value: 5, LateValue: 0.25}}
	s.Faults = drawTroubles(rng, &s)
	return &s
}

// drawTroubles draws two to seven troubles. The first two are of a pair of kinds that the seed's number tells, and
// overlap: as many seeds in a row as there are pairs meet them all.
func drawTroubles(rng *rand.Rand, s *Script) (out []Fault) {
	names := slices.Sorted(maps.Keys(kinds))
	pair := pairAt(names, int(s.Seed%uint64(pairsInAll())))
	for i := range 2 + rng.IntN(6) {
		name := names[rng.IntN(len(names))]
		if i < 2 {
			name = pair[i]
		}
		k := kinds[name]
		t := Fault{Kind: name, At: time.Duration(rng.Int64N(int64(s.Length * 3 / 4))), For: time.Duration(rng.Int64N(int64(s.Length / 2))),
			Share: rng.Float64(), Size: k.least + (k.most-k.least)*rng.Float64()*rng.Float64()}
		if i == 1 {
			t.At = min(out[0].At+time.Duration(rng.Int64N(int64(out[0].For)+1)), s.Length-1)
		}
		if k.most > 10 {
			t.Size = k.least + (min(k.most, 10)-k.least)*rng.Float64()
		}
		if k.region {
			t.Region = s.Fleet.Regions[rng.IntN(len(s.Fleet.Regions))]
		}
		if t.Share == 0 {
			t.Share = 0.5
		}
		out = append(out, t)
	}
	return out
}

// pairAt is the n-th pair of kinds, each with itself too.
func pairAt(names []string, n int) [2]string {
	for i := range names {
		if rest := len(names) - i; n >= rest {
			n -= rest
			continue
		}
		return [2]string{names[i], names[i+n]}
	}
	panic("lab: no such pair of kinds")
}

func kindPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// pairsOf are the pairs of kinds whose troubles overlap in a script.
func pairsOf(s *Script) (out [][2]string) {
	for i, a := range s.Faults {
		for _, b := range s.Faults[i+1:] {
			if a.At <= b.At+b.For && b.At <= a.At+a.For {
				out = append(out, kindPair(a.Kind, b.Kind))
			}
		}
	}
	return out
}
