// Package registry brings the exchange list: from a watched file, or by blocking queries to a register that
// speaks the form of Consul's health API.
package registry

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"pipitring/decide"
)

// Entry is one exchange on the list.
type Entry struct {
	ID      string // of the processor: a machine that replaces it has another
	Number  int
	Zone    string
	Phase   decide.Phase
	Started time.Time      // of its process; zero is long ago
	Address netip.AddrPort // of the router in front of it: set-ups from others go there
	Switch  netip.AddrPort // of the processor itself: set-ups that end there go on to it
}

// Exchange is the entry's id as the module knows it.
func (e Entry) Exchange() decide.ExchangeID {
	h := fnv.New64a()
	h.Write([]byte(e.ID))
	return decide.ExchangeID(h.Sum64())
}

// List is the whole list at one time, in the order of ids.
type List struct {
	Index   uint64
	Entries []Entry
}

func (l *List) sort() {
	slices.SortFunc(l.Entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// check reports everything that makes a list unusable.
func (l *List) check() error {
	var errs []error
	seen := map[string]bool{}
	for i, e := range l.Entries {
		bad := func(format string, args ...any) {
			errs = append(errs, fmt.Errorf("exchange %d (%q): %s", i+1, e.ID, fmt.Sprintf(format, args...)))
		}
		if e.ID == "" {
			bad("id is missing")
		}
		if seen[e.ID] {
			bad("id is given twice")
		}
		seen[e.ID] = true
		if e.Number < 0 {
			bad("number %d is negative", e.Number)
		}
		if !e.Address.Addr().Is4() || e.Address.Port() == 0 {
			bad("address %v is not an IPv4 address with a port", e.Address)
		}
		if e.Switch.IsValid() && !e.Switch.Addr().Is4() {
			bad("switch %v is not an IPv4 address with a port", e.Switch)
		}
	}
	return errors.Join(errs...)
}

// parsePhase reads a phase's name.
func parsePhase(s string) (decide.Phase, error) {
	switch s {
	case "", "ready":
		return decide.Ready, nil
	case "draining":
		return decide.Draining, nil
	case "gone":
		return decide.Removed, nil
	}
	return 0, fmt.Errorf("phase %q is none of ready, draining, gone", s)
}

// PhaseName is the name of a phase.
func PhaseName(p decide.Phase) string {
	return map[decide.Phase]string{decide.Ready: "ready", decide.Draining: "draining", decide.Removed: "gone"}[p]
}

// Changes are the entries of next that differ from l, and those of l that next lacks, as gone.
func (l *List) Changes(next *List) []Entry {
	before := map[string]Entry{}
	for _, e := range l.Entries {
		before[e.ID] = e
	}
	var out []Entry
	for _, e := range next.Entries {
		if b, ok := before[e.ID]; !ok || b != e {
			out = append(out, e)
		}
		delete(before, e.ID)
	}
	for _, e := range l.Entries {
		if b, ok := before[e.ID]; ok && b.Phase != decide.Removed {
			e.Phase = decide.Removed
			out = append(out, e)
		}
	}
	return out
}
