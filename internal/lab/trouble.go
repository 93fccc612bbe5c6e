package lab

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"pipitring/internal/standin"
)

// step is one scheduled action on a fleet.
type step struct {
	at          time.Duration
	description string
	action      func() error
}

// faultSteps returns the steps of all faults of the script, in order of time.
func (f *fleet) faultSteps() []step {
	var all []step
	for i := range f.script.Faults {
		all = append(all, f.stepsOf(&f.script.Faults[i])...)
	}
	slices.SortStableFunc(all, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return all
}

// affected returns the exchanges of a fault: those it names, or a random share of all.
func (f *fleet) affected(t *Fault) []int {
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

// stepsOf returns the steps that begin and end a fault.
func (f *fleet) stepsOf(t *Fault) []step {
	exchanges := f.affected(t)
	begin := func(do func() error) step { return step{t.At, t.Kind + " begins", do} }
	end := func(do func() error) step { return step{t.At + t.For, t.Kind + " ends", do} }
	both := func(do func(on bool) error) []step {
		return []step{begin(func() error { return do(true) }), end(func() error { return do(false) })}
	}
	callers := func(do func(c *standin.Callers, on bool)) []step {
		return both(func(on bool) error {
			for _, x := range exchanges {
				do(f.callers[x], on)
			}
			return nil
		})
	}
	faults := func(set standin.Faults) []step {
		return both(func(on bool) error {
			current := set
			if !on {
				current = standin.Faults{}
			}
			for _, x := range exchanges {
				f.switches[x].Set(current)
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
		return f.deploySteps(t, exchanges)
	case "crash", "mass_restart", "reconnect":
		return f.processorSteps(t, exchanges, begin, end)
	case "zone_cut", "lost_messages", "origin_slow":
		return f.regionSteps(t, both)
	case "discovery_stale":
		return both(func(on bool) error {
			lag := f.script.Fleet.ListLag
			if on {
				lag += time.Duration(t.Size * float64(time.Second))
			}
			for _, x := range exchanges {
				f.discovery.Lag(x, lag)
			}
			return nil
		})
	case "register_gone":
		return both(func(on bool) error { f.discovery.Gone(on); return nil })
	case "reorder", "stall", "half_cut", "disk_full", "disk_slow", "clock_set":
		v, ok := f.env.(*virtualEnvironment)
		if !ok {
			panic("lab: fault of the virtual clock on sockets: the script check must reject it")
		}
		return both(func(on bool) error { v.applyFault(t, exchanges, on); return nil })
	case "cold_site":
		return both(func(on bool) error {
			if on {
				for _, x := range exchanges {
					f.switches[x].Stop()
					f.setPhase(x, "gone")
				}
				return f.killAll(exchanges)
			}
			var errs []error
			for _, x := range exchanges {
				f.replaceSwitch(x)
			}
			for _, x := range exchanges {
				if f.routers[x] == nil {
					errs = append(errs, f.startRouter(x))
				}
			}
			return errors.Join(errs...)
		})
	case "peer_down":
		return both(func(on bool) error {
			var errs []error
			for _, x := range exchanges {
				if on {
					errs = append(errs, f.kill(x))
				} else if f.routers[x] == nil {
					errs = append(errs, f.startRouter(x))
				}
			}
			return errors.Join(errs...)
		})
	}
	panic(fmt.Sprintf("lab: fault kind %q passed the script check but is not implemented", t.Kind))
}

// deploySteps returns the steps that drain, stop and replace the processors of the exchanges one after another.
func (f *fleet) deploySteps(t *Fault, exchanges []int) (out []step) {
	drain := time.Duration(t.Size * float64(time.Second))
	for i, x := range exchanges {
		from := t.At + t.For*time.Duration(i)/time.Duration(len(exchanges))
		out = append(out, step{from, fmt.Sprintf("exchange %d: processor drains", x), func() error { f.setPhase(x, "draining"); return nil }},
			step{from + drain, fmt.Sprintf("exchange %d: processor is replaced", x), func() error {
				f.switches[x].Stop()
				f.replaceSwitch(x)
				return nil
			}})
	}
	return out
}

// processorSteps returns the steps of faults that stop or restart processors, or cut their calls.
func (f *fleet) processorSteps(t *Fault, exchanges []int, begin, end func(func() error) step) []step {
	forEach := func(do func(x int)) func() error {
		return func() error {
			for _, x := range exchanges {
				do(x)
			}
			return nil
		}
	}
	switch t.Kind {
	case "mass_restart":
		return []step{begin(forEach(func(x int) { f.switches[x].Stop(); f.replaceSwitch(x) }))}
	case "reconnect":
		return []step{begin(forEach(func(x int) {
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
	return []step{begin(forEach(func(x int) { f.switches[x].Stop(); f.setPhase(x, "gone") })), end(forEach(f.replaceSwitch))}
}

// regionSteps returns the steps of faults on the links of a region, or on its trunk groups to the others.
func (f *fleet) regionSteps(t *Fault, both func(func(bool) error) []step) []step {
	return both(func(on bool) error {
		for _, p := range f.linkedPairs() {
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
				f.circuitShare[p] = 1
				if on {
					f.circuitShare[p] = t.Size
				}
			}
		}
		if t.Kind == "origin_slow" {
			return f.reload()
		}
		return nil
	})
}

// linkedPairs returns the pairs of exchanges with a link. The order is fixed, so that two runs are identical.
func (f *fleet) linkedPairs() (out [][2]int) {
	for a := range f.script.Fleet.Exchanges {
		for b := a + 1; b < f.script.Fleet.Exchanges; b++ {
			if f.links[[2]int{a, b}] != nil {
				out = append(out, [2]int{a, b})
			}
		}
	}
	return out
}
