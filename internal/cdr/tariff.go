package cdr

import (
	"errors"
	"fmt"
	"math/big"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Tariffs are all that calls are rated by: at any time the one that began last.
type Tariffs struct {
	Currency string
	Places   int // of decimals that charges are rounded to, half up
	Zone     *time.Location
	List     []Tariff // by their start, rising
}

// Tariff is one version of the prices, from its start on.
type Tariff struct {
	Name    string
	Version int
	From    time.Time
	Rates   []Rate // the first that fits counts
}

// ID names a tariff in records.
func (t *Tariff) ID() string { return fmt.Sprintf("%s/%d", t.Name, t.Version) }

// Rate is one price: whom it is for, when, and how much.
type Rate struct {
	Classes, Tenants []string // empty is all
	Days             []time.Weekday
	From, To         int      // minutes of the local day; To at or before From goes over midnight; both 0 is all day
	PerMinute        *big.Rat // for each circuit
	SetUp            *big.Rat // once, for each circuit
	Minimum, Step    time.Duration
	Free             bool
	Emergency        bool // free, and marked so
}

// ParseAmount reads an exact decimal such as "0.125"; it must not be negative.
func ParseAmount(s string) (*big.Rat, error) {
	bad := fmt.Errorf("%q is no amount such as \"0.125\"", s)
	whole, frac, _ := strings.Cut(s, ".")
	if len(s) > 40 || whole == "" || strings.Trim(whole+frac, "0123456789") != "" || strings.HasSuffix(s, ".") {
		return nil, bad
	}
	r, ok := new(big.Rat).SetString(s)
	if !ok {
		return nil, bad
	}
	return r, nil
}

// ParseDay reads a weekday's first three letters.
func ParseDay(s string) (time.Weekday, error) {
	for d := time.Sunday; d <= time.Saturday; d++ {
		if strings.EqualFold(s, d.String()[:3]) {
			return d, nil
		}
	}
	return 0, fmt.Errorf("%q is none of mon, tue, wed, thu, fri, sat, sun", s)
}

// ParseHours reads hours of the day such as "08:00-18:30"; 24:00 is the day's end.
func ParseHours(s string) (from, to int, err error) {
	a, b, ok := strings.Cut(s, "-")
	if ok {
		from, err = minute(a)
		if err == nil {
			to, err = minute(b)
		}
	}
	if !ok || err != nil || from == to {
		return 0, 0, fmt.Errorf("%q are no hours such as \"08:00-18:30\"", s)
	}
	return from, to % dayMinutes, nil
}

const dayMinutes = 24 * 60

func minute(s string) (int, error) {
	h, m, ok := strings.Cut(s, ":")
	hours, err1 := strconv.Atoi(h)
	minutes, err2 := strconv.Atoi(m)
	if !ok || len(h) != 2 || len(m) != 2 || err1 != nil || err2 != nil || hours < 0 || minutes < 0 || minutes > 59 ||
		hours*60+minutes > dayMinutes {
		return 0, errors.New("no time of day")
	}
	return hours*60 + minutes, nil
}

// serves tells whether a rate is for a call's class and tenant.
func (r *Rate) serves(rec *Record) bool {
	return (len(r.Classes) == 0 || slices.Contains(r.Classes, rec.Class)) &&
		(len(r.Tenants) == 0 || slices.Contains(r.Tenants, rec.Tenant))
}

// holds tells whether a rate is in force at a local time. The part of a night after midnight belongs to the day on
// which it began.
func (r *Rate) holds(t time.Time) bool {
	day, m := t.Weekday(), t.Hour()*60+t.Minute()
	switch {
	case r.From == 0 && r.To == 0:
	case r.From < r.To || r.To == 0:
		to := r.To
		if to == 0 {
			to = dayMinutes
		}
		if m < r.From || m >= to {
			return false
		}
	case m < r.To:
		day = (day + 6) % 7
	case m < r.From:
		return false
	}
	return len(r.Days) == 0 || slices.Contains(r.Days, day)
}

// at finds the tariff and its rate for a call at a time.
func (t *Tariffs) at(rec *Record, when time.Time) (*Tariff, *Rate) {
	for i := len(t.List) - 1; i >= 0; i-- {
		v := &t.List[i]
		if v.From.After(when) {
			continue
		}
		local := when.In(t.Zone)
		for j := range v.Rates {
			if v.Rates[j].serves(rec) && v.Rates[j].holds(local) {
				return v, &v.Rates[j]
			}
		}
		return v, nil
	}
	return nil, nil
}

// nextChange is the first moment after when at which another rate may be in force: a tariff's start, or one of the
// hours that its rates name, on this local day or at the next midnight.
func (t *Tariffs) nextChange(v *Tariff, when time.Time) time.Time {
	local := when.In(t.Zone)
	y, mo, d := local.Date()
	next := time.Date(y, mo, d+1, 0, 0, 0, 0, t.Zone)
	sooner := func(x time.Time) {
		if x.After(when) && x.Before(next) {
			next = x
		}
	}
	for i := range t.List {
		sooner(t.List[i].From)
	}
	for i := range v.Rates {
		for _, m := range [...]int{v.Rates[i].From, v.Rates[i].To} {
			// An hour that the day has twice, or not at all, is found by stepping from midnight as well.
			sooner(time.Date(y, mo, d, m/60, m%60, 0, 0, t.Zone))
		}
	}
	if _, end := local.ZoneBounds(); !end.IsZero() {
		sooner(end) // the clocks change: local hours jump
	}
	return next
}

// Validate reports what no call could be rated by.
func (t *Tariffs) Validate() error {
	var errs []error
	seen := map[string]bool{}
	for i := range t.List {
		v := &t.List[i]
		if seen[v.ID()] {
			errs = append(errs, fmt.Errorf("tariff %s is given twice", v.ID()))
		}
		seen[v.ID()] = true
		if i > 0 && !v.From.After(t.List[i-1].From) {
			errs = append(errs, fmt.Errorf("tariff %s begins at the same time as %s", v.ID(), t.List[i-1].ID()))
		}
	}
	return errors.Join(errs...)
}
