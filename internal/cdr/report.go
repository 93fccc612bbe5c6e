package cdr

import (
	"cmp"
	"fmt"
	"math/big"
	"slices"
	"time"
)

// Filter selects records. A field that is zero does not restrict the selection.
type Filter struct {
	From, To       time.Time // time of the offer, excluding To
	Class, Tenant  string
	End            string
	Called         string // prefix of the number
	Calling        string // prefix of the number
	Unrated        bool
	ID             *ID
	NewestVersions bool // only the newest version of each call
}

// Matches reports whether a record is selected. It does not check NewestVersions.
func (f *Filter) Matches(r *Record) bool {
	begins := func(s, prefix string) bool { return len(s) >= len(prefix) && s[:len(prefix)] == prefix }
	return (f.From.IsZero() || !r.Offered.Before(f.From)) && (f.To.IsZero() || r.Offered.Before(f.To)) &&
		(f.Class == "" || r.Class == f.Class) && (f.Tenant == "" || r.Tenant == f.Tenant) &&
		(f.End == "" || r.End.String() == f.End) && begins(r.Called, f.Called) && begins(r.Calling, f.Calling) &&
		(!f.Unrated || !r.Charge.Rated()) && (f.ID == nil || r.ID == *f.ID)
}

// Each calls do for all selected records, in the order of their numbers. Numbers whose record is missing or cannot be read
// are passed to damaged. With NewestVersions, records whose index entry cannot be read are skipped.
func (f *Filter) Each(store Store, damaged func(n uint64, err error), do func(n uint64, r *Record) error) error {
	first, last, err := numberRange(store)
	if err != nil {
		return err
	}
	for n := first; n <= last; n++ {
		r, found, err := ReadRecord(store, n)
		if err != nil || !found {
			if err == nil {
				err = fmt.Errorf("no record in the store")
			}
			damaged(n, err)
			continue
		}
		if !f.Matches(r) {
			continue
		}
		if f.NewestVersions {
			if _, newer, err := store.Get(IDKey(r.ID, r.Version+1)); err != nil || newer {
				continue
			}
		}
		if err := do(n, r); err != nil {
			return err
		}
	}
	return nil
}

// Line is one line of a report.
type Line struct {
	Day      string         `json:"day"`
	Class    string         `json:"class"`
	Tenant   string         `json:"tenant"`
	Calls    int            `json:"calls"`
	Ends     map[string]int `json:"ends"`
	Minutes  float64        `json:"minutes"` // total duration of the calls
	Charge   string         `json:"charge"`
	Currency string         `json:"currency,omitempty"`
	Unrated  int            `json:"unrated"`
	sum      *big.Rat       // of the rated calls' amounts
	places   int            // most decimals of these amounts
}

// Report adds up records by day, class, tenant and currency. Days are local days of Zone.
type Report struct {
	Zone  *time.Location
	lines map[[4]string]*Line
}

// Add adds a record to its line. Only the newest version of each call may be added.
func (p *Report) Add(r *Record) error {
	if p.lines == nil {
		p.lines = map[[4]string]*Line{}
	}
	day := r.Offered.In(p.Zone).Format(time.DateOnly)
	key := [4]string{day, r.Class, r.Tenant, r.Charge.Currency}
	l := p.lines[key]
	if l == nil {
		l = &Line{Day: day, Class: r.Class, Tenant: r.Tenant, Currency: r.Charge.Currency, Ends: map[string]int{}, sum: new(big.Rat)}
		p.lines[key] = l
	}
	l.Calls++
	l.Ends[r.End.String()]++
	l.Minutes += r.Duration.Minutes()
	if !r.Charge.Rated() {
		l.Unrated++
		return nil
	}
	x, ok := new(big.Rat).SetString(r.Charge.Amount)
	if !ok {
		return fmt.Errorf("call %v: invalid amount %q, must be a decimal", r.ID, r.Charge.Amount)
	}
	l.sum.Add(l.sum, x)
	if places, ok := decimals(r.Charge.Amount); ok {
		l.places = max(l.places, places)
	}
	return nil
}

// decimals returns the number of decimals of an amount, and whether it has any.
func decimals(amount string) (int, bool) {
	for i := range len(amount) {
		if amount[i] == '.' {
			return len(amount) - i - 1, true
		}
	}
	return 0, false
}

// Lines returns the lines of the report, ordered by day, class, tenant and currency.
func (p *Report) Lines() (out []Line) {
	for _, l := range p.lines {
		l.Charge = l.sum.FloatString(l.places)
		out = append(out, *l)
	}
	slices.SortFunc(out, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Day, b.Day), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant),
			cmp.Compare(a.Currency, b.Currency))
	})
	return out
}
