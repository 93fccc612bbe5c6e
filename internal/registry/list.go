// Package registry provides the exchange list: from a watched file, or from a service-discovery API in the form of
// Consul's health API, by blocking queries.
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

// Entry is one exchange on the list, with the processor that serves it.
type Entry struct {
	ID      string // of the processor; a replacement machine has another one
	Number  int    // of the exchange
	Zone    string
	Phase   decide.Phase
	Started time.Time      // start of the processor; zero means unknown
	Address netip.AddrPort // of the exchange's router, which receives set-ups from other exchanges
	Switch  netip.AddrPort // of the processor itself, to which the router forwards set-ups that terminate there
}

// ExchangeID returns the entry's ID in the decision module's form: a 64-bit hash.
func (e Entry) ExchangeID() decide.ExchangeID {
	h := fnv.New64a()
	h.Write([]byte(e.ID))
	return decide.ExchangeID(h.Sum64())
}

// List is a complete exchange list, sorted by ID. Index is its version at the source, 0 for none.
type List struct {
	Index   uint64
	Entries []Entry
}

// sort sorts the entries by ID.
func (l *List) sort() {
	slices.SortFunc(l.Entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// validate returns all problems that make a list unusable.
func (l *List) validate() error {
	var errs []error
	seen := map[string]bool{}
	for i, e := range l.Entries {
		report := func(format string, args ...any) {
			errs = append(errs, fmt.Errorf("entry %d (%q): %s", i+1, e.ID, fmt.Sprintf(format, args...)))
		}
		if e.ID == "" {
			report("id is missing")
		}
		if seen[e.ID] {
			report("id is given twice")
		}
		seen[e.ID] = true
		if e.Number < 0 {
			report("number %d is negative", e.Number)
		}
		if !e.Address.Addr().Is4() || e.Address.Port() == 0 {
			report("address %v is not an IPv4 address with a port", e.Address)
		}
		if e.Switch.IsValid() && !e.Switch.Addr().Is4() {
			report("switch %v is not an IPv4 address", e.Switch)
		}
	}
	return errors.Join(errs...)
}

// parsePhase parses the name of a phase; an empty name means ready.
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

// PhaseName returns the name of a phase in lists.
func PhaseName(p decide.Phase) string {
	return map[decide.Phase]string{decide.Ready: "ready", decide.Draining: "draining", decide.Removed: "gone"}[p]
}

// Changes returns the entries of next that are new or differ from l, and the entries of l that next lacks, with phase
// decide.Removed.
func (l *List) Changes(next *List) []Entry {
	previous := map[string]Entry{}
	for _, e := range l.Entries {
		previous[e.ID] = e
	}
	var out []Entry
	for _, e := range next.Entries {
		if p, ok := previous[e.ID]; !ok || p != e {
			out = append(out, e)
		}
		delete(previous, e.ID)
	}
	for _, e := range l.Entries {
		if p, ok := previous[e.ID]; ok && p.Phase != decide.Removed {
			e.Phase = decide.Removed
			out = append(out, e)
		}
	}
	return out
}
