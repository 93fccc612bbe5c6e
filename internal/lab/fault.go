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

// affected returns the exchanges of a fault: those it names, or a random share of all, at least one. It sets a share of 0
// to 1.
func (f *fleet) affected(fault *Fault) []int {
	if len(fault.Exchanges) > 0 {
		return fault.Exchanges
	}
	n := f.script.Fleet.Exchanges
	if fault.Share == 0 {
		fault.Share = 1
	}
	k := max(1, int(fault.Share*float64(n)+0.5))
	out := f.rng.Perm(n)[:k]
	slices.Sort(out)
	return out
}

// stepsOf returns the steps that begin and end a fault. It panics for a kind that the script check should have rejected.
func (f *fleet) stepsOf(fault *Fault) []step {
	exchanges := f.affected(fault)
	begin := func(do func() error) step { return step{fault.At, fault.Kind + " begins", do} }
	end := func(do func() error) step { return step{fault.At + fault.For, fault.Kind + " ends", do} }
	both := func(do func(on bool) error) []step {
		return []step{begin(func() error { return do(true) }), end(func() error { return do(false) })}
	}
	callerSteps := func(do func(c *standin.Callers, on bool)) []step {
		return both(func(on bool) error {
			for _, x := range exchanges {
				do(f.callers[x], on)
			}
			return nil
		})
	}
	switchSteps := func(set standin.Faults) []step {
		return both(func(on bool) error {
			current := set
			if !on {
				current = standin.Faults{}
			}
			for _, x := range exchanges {
				f.switches[x].SetFaults(current)
			}
			return nil
		})
	}
	switch fault.Kind {
	case "burst", "hot_caller":
		return callerSteps(func(c *standin.Callers, on bool) {
			if on {
				c.SetRateFactor(fault.Size)
			} else {
				c.SetRateFactor(1)
			}
		})
	case "give_up":
		return callerSteps(func(c *standin.Callers, on bool) { c.SetHangUpShare(map[bool]float64{true: fault.Size}[on]) })
	case "retry_abuse":
		return callerSteps(func(c *standin.Callers, on bool) { c.SetRedialAtOnce(on) })
	case "hang":
		return switchSteps(standin.Faults{Unresponsive: true})
	case "slow":
		return switchSteps(standin.Faults{SlowFactor: fault.Size})
	case "late_answers":
		return switchSteps(standin.Faults{AnswerDelay: time.Duration(fault.Size * float64(time.Second))})
	case "answer_lost":
		return switchSteps(standin.Faults{LossRate: fault.Size})
	case "answer_repeated":
		return switchSteps(standin.Faults{DuplicateRate: fault.Size})
	case "reject":
		return switchSteps(standin.Faults{RejectRate: fault.Size})
	case "hang_up":
		return switchSteps(standin.Faults{HangUpRate: fault.Size})
	case "deploy":
		return f.deploySteps(fault, exchanges)
	case "crash", "mass_restart", "reconnect":
		return f.processorSteps(fault, exchanges, begin, end)
	case "zone_cut", "lost_messages", "origin_slow":
		return f.regionSteps(fault, both)
	case "discovery_stale":
		return both(func(on bool) error {
			lag := f.script.Fleet.ListLag
			if on {
				lag += time.Duration(fault.Size * float64(time.Second))
			}
			for _, x := range exchanges {
				f.discovery.SetLag(x, lag)
			}
			return nil
		})
	case "register_gone":
		return both(func(on bool) error { f.discovery.SetUnavailable(on); return nil })
	case "reorder", "stall", "half_cut", "disk_full", "disk_slow", "clock_set":
		v, ok := f.env.(*virtualEnvironment)
		if !ok {
			panic("lab: fault of the virtual clock on sockets: the script check should have rejected it")
		}
		return both(func(on bool) error { v.applyFault(fault, exchanges, on); return nil })
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
	panic(fmt.Sprintf("lab: fault kind %q passed the script check but is not implemented", fault.Kind))
}

// deploySteps returns the steps that drain, stop and replace the processors of the exchanges one after another.
func (f *fleet) deploySteps(fault *Fault, exchanges []int) (out []step) {
	drain := time.Duration(fault.Size * float64(time.Second))
	for i, x := range exchanges {
		from := fault.At + fault.For*time.Duration(i)/time.Duration(len(exchanges))
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
func (f *fleet) processorSteps(fault *Fault, exchanges []int, begin, end func(func() error) step) []step {
	forEach := func(do func(x int)) func() error {
		return func() error {
			for _, x := range exchanges {
				do(x)
			}
			return nil
		}
	}
	switch fault.Kind {
	case "mass_restart":
		return []step{begin(forEach(func(x int) { f.switches[x].Stop(); f.replaceSwitch(x) }))}
	case "reconnect":
		return []step{begin(forEach(func(x int) {
			for _, c := range f.callers {
				c.SetRedialWhenCut(true)
			}
			f.switches[x].CutCalls(fault.Size)
		})), end(func() error {
			for _, c := range f.callers {
				c.SetRedialWhenCut(false)
			}
			return nil
		})}
	}
	return []step{begin(forEach(func(x int) { f.switches[x].Stop(); f.setPhase(x, "gone") })), end(forEach(f.replaceSwitch))}
}

// regionSteps returns the steps of faults on the links of a region, or on its trunk groups to the other regions.
func (f *fleet) regionSteps(fault *Fault, both func(func(bool) error) []step) []step {
	return both(func(on bool) error {
		for _, p := range f.linkedPairs() {
			l := f.links[p]
			inside := f.region(p[0]) == fault.Region || f.region(p[1]) == fault.Region
			across := (f.region(p[0]) == fault.Region) != (f.region(p[1]) == fault.Region)
			faults := f.linkFaults(p[0], p[1])
			switch {
			case fault.Kind == "zone_cut" && across:
				faults.Cut = on
				l.Set(faults)
				if st := f.streams[p]; st != nil {
					st.Set(faults)
				}
			case fault.Kind == "lost_messages" && inside:
				if on {
					faults.LossRate = fault.Size
				}
				l.Set(faults)
			case fault.Kind == "origin_slow" && across:
				f.circuitShare[p] = 1
				if on {
					f.circuitShare[p] = fault.Size
				}
			}
		}
		if fault.Kind == "origin_slow" {
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
