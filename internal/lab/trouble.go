package lab

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"pipitring/internal/standin"
)

// step is one thing that happens to a fleet.
type step struct {
	at   time.Duration
	what string
	do   func() error
}

// steps turns the script's troubles into what happens when, in order.
func (f *fleet) steps() []step {
	var all []step
	for i := range f.script.Faults {
		all = append(all, f.trouble(&f.script.Faults[i])...)
	}
	slices.SortStableFunc(all, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return all
}

// struck are the exchanges that a trouble names, or draws.
func (f *fleet) struck(t *Fault) []int {
	if len(t.Exchanges) > 0 {
		return t.Exchanges
	}
	n := f.script.Fleet.Exchanges
	if t.Share == 0 {
		t.Share = 1
	}
	k := max(1, int(t.Share*float64(n)+0.5))
	out := f.rng.Perm(n)[:k]
	slices.Sort(out)
	return out
}

func (f *fleet) trouble(t *Fault) []step {
	at := f.struck(t)
	begin := func(do func() error) step { return step{t.At, t.Kind + " begins", do} }
	end := func(do func() error) step { return step{t.At + t.For, t.Kind + " ends", do} }
	both := func(do func(on bool) error) []step {
		return []step{begin(func() error { return do(true) }), end(func() error { return do(false) })}
	}
	callers := func(do func(c *standin.Callers, on bool)) []step {
		return both(func(on bool) error {
			for _, x := range at {
				do(f.callers[x], on)
			}
			return nil
		})
	}
	faults := func(set standin.Faults) []step {
		return both(func(on bool) error {
			now := set
			if !on {
				now = standin.Faults{}
			}
			for _, x := range at {
				f.switches[x].Set(now)
			}
			return nil
		})
	}
	switch t.Kind {
	case "burst", "hot_caller":
		return callers(func(c *standin.Callers, on bool) {
			if on {
				c.SetRateFactor(t.Size)
			} else {
				c.SetRateFactor(1)
			}
		})
	case "give_up":
		return callers(func(c *standin.Callers, on bool) { c.SetHangUpShare(map[bool]float64{true: t.Size}[on]) })
	case "retry_abuse":
		return callers(func(c *standin.Callers, on bool) { c.RedialAtOnce(on) })
	case "hang":
		return faults(standin.Faults{Unresponsive: true})
	case "slow":
		return faults(standin.Faults{SlowFactor: t.Size})
	case "late_answers":
		return faults(standin.Faults{AnswerDelay: time.Duration(t.Size * float64(time.Second))})
	case "answer_lost":
		return faults(standin.Faults{LossRate: t.Size})
	case "answer_repeated":
		return faults(standin.Faults{DuplicateRate: t.Size})
	case "reject":
		return faults(standin.Faults{RejectRate: t.Size})
	case "hang_up":
		return faults(standin.Faults{HangUpRate: t.Size})
	case "deploy":
		return f.deploy(t, at)
	case "crash", "mass_restart", "reconnect":
		return f.processors(t, at, begin, end)
	case "zone_cut", "lost_messages", "origin_slow":
		return f.strikeRegion(t, both)
	case "discovery_stale":
		return both(func(on bool) error {
			lag := f.script.Fleet.ListLag
			if on {
				lag += time.Duration(t.Size * float64(time.Second))
			}
			for _, x := range at {
				f.register.Lag(x, lag)
			}
			return nil
		})
	case "register_gone":
		return both(func(on bool) error { f.register.Gone(on); return nil })
	case "reorder", "stall", "half_cut", "disk_full", "disk_slow", "clock_set":
		v, ok := f.ground.(*virtual)
		if !ok {
			panic("lab: a trouble of the virtual clock on sockets: the script's check lets none through")
		}
		return both(func(on bool) error { v.strike(t, at, on); return nil })
	case "cold_site":
		return both(func(on bool) error {
			if on {
				for _, x := range at {
					f.switches[x].Stop()
					f.phase(x, "gone")
				}
				return f.killAll(at)
			}
			var errs []error
			for _, x := range at {
				f.replace(x)
			}
			for _, x := range at {
				if f.routers[x] == nil {
					errs = append(errs, f.startRouter(x))
				}
			}
			return errors.Join(errs...)
		})
	case "peer_down":
		return both(func(on bool) error {
			var errs []error
			for _, x := range at {
				if on {
					errs = append(errs, f.kill(x))
				} else if f.routers[x] == nil {
					errs = append(errs, f.startRouter(x))
				}
			}
			return errors.Join(errs...)
		})
	}
	panic(fmt.Sprintf("lab: trouble %q is checked and not known", t.Kind))
}

// deploy drains, stops and replaces the struck processors one after another.
func (f *fleet) deploy(t *Fault, at []int) (out []step) {
	drain := time.Duration(t.Size * float64(time.Second))
	for i, x := range at {
		from := t.At + t.For*time.Duration(i)/time.Duration(len(at))
		out = append(out, step{from, fmt.Sprintf("exchange %d drains", x), func() error { f.phase(x, "draining"); return nil }},
			step{from + drain, fmt.Sprintf("exchange %d is replaced", x), func() error {
				f.switches[x].Stop()
				f.replace(x)
				return nil
			}})
	}
	return out
}

func (f *fleet) processors(t *Fault, at []int, begin, end func(func() error) step) []step {
	each := func(do func(x int)) func() error {
		return func() error {
			for _, x := range at {
				do(x)
			}
			return nil
		}
	}
	switch t.Kind {
	case "mass_restart":
		return []step{begin(each(func(x int) { f.switches[x].Stop(); f.replace(x) }))}
	case "reconnect":
		return []step{begin(each(func(x int) {
			for _, c := range f.callers {
				c.RedialWhenCut(true)
			}
			f.switches[x].CutCalls(t.Size)
		})), end(func() error {
			for _, c := range f.callers {
				c.RedialWhenCut(false)
			}
			return nil
		})}
	}
	return []step{begin(each(func(x int) { f.switches[x].Stop(); f.phase(x, "gone") })), end(each(f.replace))}
}

// strikeRegion strikes the links or groups between a region and the others.
func (f *fleet) strikeRegion(t *Fault, both func(func(bool) error) []step) []step {
	return both(func(on bool) error {
		for _, p := range f.pairs() {
			l := f.links[p]
			inside := f.region(p[0]) == t.Region || f.region(p[1]) == t.Region
			across := (f.region(p[0]) == t.Region) != (f.region(p[1]) == t.Region)
			faults := f.linkFaults(p[0], p[1])
			switch {
			case t.Kind == "zone_cut" && across:
				faults.Cut = on
				l.Set(faults)
				if st := f.streams[p]; st != nil {
					st.Set(faults)
				}
			case t.Kind == "lost_messages" && inside:
				if on {
					faults.LossRate = t.Size
				}
				l.Set(faults)
			case t.Kind == "origin_slow" && across:
				f.keep[p] = 1
				if on {
					f.keep[p] = t.Size
				}
			}
		}
		if t.Kind == "origin_slow" {
			return f.reload()
		}
		return nil
	})
}

// pairs are the pairs of exchanges that a link joins, in order: two runs strike them alike.
func (f *fleet) pairs() (out [][2]int) {
	for a := range f.script.Fleet.Exchanges {
		for b := a + 1; b < f.script.Fleet.Exchanges; b++ {
			if f.links[[2]int{a, b}] != nil {
				out = append(out, [2]int{a, b})
			}
		}
	}
	return out
}
