package lab

import (
	"context"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// ShrinkScript reduces the faults, exchanges and calls of a failing script for as long as it still fails. It returns the
// smallest failing script that it found.
func ShrinkScript(ctx context.Context, s *Script, o VirtualOptions) *Script {
	fails := func(c *Script) bool {
		res, err := RunVirtual(ctx, c, o)
		return err == nil && len(res.problems()) > 0
	}
	best := cloneScript(s)
	try := func(change func(c *Script)) bool {
		c := cloneScript(best)
		change(c)
		if ctx.Err() != nil || !fails(c) {
			return false
		}
		best = c
		return true
	}
	for reduced := true; reduced && ctx.Err() == nil; {
		reduced = false
		for i := 0; i < len(best.Faults); {
			if try(func(c *Script) { c.Faults = slices.Delete(c.Faults, i, i+1) }) {
				reduced = true
			} else {
				i++
			}
		}
		for _, change := range []func(c *Script){
			func(c *Script) { c.Fleet.Exchanges = max(2, c.Fleet.Exchanges/2) },
			func(c *Script) { c.Fleet.Exchanges = max(2, c.Fleet.Exchanges-1) },
			func(c *Script) { c.Load.Rate = max(0.5, c.Load.Rate/2) },
			func(c *Script) { c.Length = max(time.Second, c.Length*2/3) },
			func(c *Script) { c.Load.MaxRedials = 0 },
			func(c *Script) { c.Fleet.LossRate, c.Fleet.DuplicateRate = 0, 0 },
			func(c *Script) { c.Fleet.Jitter = 0 },
			func(c *Script) { c.Fleet.Regions = c.Fleet.Regions[:1] },
		} {
			before := string(FormatScript(best))
			if try(func(c *Script) {
				change(c)
				c.dropOutOfRange()
			}) && string(FormatScript(best)) != before {
				reduced = true
			}
		}
	}
	return best
}

// cloneScript returns a deep copy of a script.
func cloneScript(s *Script) *Script {
	c := *s
	c.Faults = slices.Clone(s.Faults)
	for i := range c.Faults {
		c.Faults[i].Exchanges = slices.Clone(s.Faults[i].Exchanges)
	}
	c.Classes, c.Fleet.Regions = slices.Clone(s.Classes), slices.Clone(s.Fleet.Regions)
	return &c
}

// dropOutOfRange drops the faults that begin after the end of the day or affect an unknown region, and the exchanges of
// faults that are not in the fleet. Reductions of the fleet and the day leave such faults behind.
func (s *Script) dropOutOfRange() {
	s.Faults = slices.DeleteFunc(s.Faults, func(fault Fault) bool {
		return fault.At >= s.Length || fault.Region != "" && !slices.Contains(s.Fleet.Regions, fault.Region)
	})
	for i := range s.Faults {
		s.Faults[i].Exchanges = slices.DeleteFunc(s.Faults[i].Exchanges, func(x int) bool { return x >= s.Fleet.Exchanges })
	}
}

// FormatScript formats a script as TOML that ParseScript can read.
func FormatScript(s *Script) []byte {
	b, err := toml.Marshal(scriptTables(s))
	if err != nil {
		panic(err) // cannot happen: strings, numbers and lists only
	}
	return b
}

// scriptTables returns a script as TOML tables, with durations as text.
func scriptTables(s *Script) map[string]any {
	f, l := &s.Fleet, &s.Load
	out := map[string]any{"name": s.Name, "length": s.Length.String(), "seed": int64(s.Seed), "virtual": s.Virtual,
		"fleet": map[string]any{"exchanges": f.Exchanges, "regions": f.Regions, "circuits": f.Circuits, "spread": f.CircuitSpread,
			"unlinked": f.UnlinkedShare, "setup_rate": f.SetUpRate, "queue_wait": f.QueueWait.String(), "lines": f.Lines,
			"ring": f.RingTime.String(), "cold_from": f.ColdCapacity, "cold_for": f.ColdDuration.String(), "fall_multiple": f.OverloadMultiple,
			"fall_window": f.OverloadWindow.String(), "drain_grace": f.DrainGrace.String(), "release_wait": f.ReleaseWait.String(),
			"same_delay": f.RegionDelay.String(), "cross_delay": f.CrossRegionDelay.String(), "jitter": f.Jitter.String(), "lose": f.LossRate,
			"repeat": f.DuplicateRate, "list_lag": f.ListLag.String(), "accept_delay": f.AcceptDelay.String(), "front": f.Front},
		"load": map[string]any{"rate": l.Rate, "local": l.LocalShare, "redials": l.MaxRedials, "backoff": l.Backoff.String()}}
	var classes, faults []map[string]any
	for _, c := range s.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "share": c.Share, "hold": c.HoldTime.String(), "aim": c.SetupTarget.String(),
			"patience": c.Patience.String(), "deadline": c.Deadline.String(), "worth": c.Value, "late_worth": c.LateValue})
	}
	for _, fault := range s.Faults {
		m := map[string]any{"kind": fault.Kind, "at": fault.At.String(), "for": fault.For.String(), "part": fault.Share, "size": fault.Size}
		if len(fault.Exchanges) > 0 {
			m["exchanges"] = fault.Exchanges
		}
		if fault.Region != "" {
			m["region"] = fault.Region
		}
		faults = append(faults, m)
	}
	out["class"] = classes
	if len(faults) > 0 {
		out["trouble"] = faults
	}
	return out
}
