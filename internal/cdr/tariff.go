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

// Tariffs are all tariffs of a router. At any time, the one that started last is in force.
type Tariffs struct {
	Currency string
	Decimals int // decimals that charges are rounded to, half up
	Zone     *time.Location
	Versions []Tariff // sorted by From, earliest first
}

// Tariff is one version of the prices, in force from its start on.
type Tariff struct {
	Name    string
	Version int
	From    time.Time
	Rates   []Rate // the first one that applies to a call is used
}

// ID returns the name of the tariff in records.
func (t *Tariff) ID() string { return fmt.Sprintf("%s/%d", t.Name, t.Version) }

// Rate is one price, with the calls and times that it applies to.
type Rate struct {
	Classes, Tenants       []string // empty is all
	Days                   []time.Weekday
	StartMinute, EndMinute int      // minutes of the local day; both 0 is all day, an EndMinute that is lower is on the next day
	PerMinute              *big.Rat // per circuit
	SetUp                  *big.Rat // once, per circuit
	Minimum, Step          time.Duration
	Free                   bool
	Emergency              bool // free, and marked as emergency
}

// ParseAmount parses an exact decimal such as "0.125", which must not be negative.
func ParseAmount(s string) (*big.Rat, error) {
	bad := fmt.Errorf("invalid amount %q, must be like \"0.125\"", s)
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

// ParseDay parses the first three letters of a weekday.
func ParseDay(s string) (time.Weekday, error) {
	for d := time.Sunday; d <= time.Saturday; d++ {
		if strings.EqualFold(s, d.String()[:3]) {
			return d, nil
		}
	}
	return 0, fmt.Errorf("unknown weekday %q, must be one of mon, tue, wed, thu, fri, sat, sun", s)
}

// ParseHours parses hours of the day such as "08:00-18:30" and returns minutes of the day. 24:00 is the end
// of the day.
func ParseHours(s string) (from, to int, err error) {
	a, b, ok := strings.Cut(s, "-")
	if ok {
		from, err = parseMinute(a)
		if err == nil {
			to, err = parseMinute(b)
		}
	}
	if !ok || err != nil || from == to {
		return 0, 0, fmt.Errorf("invalid hours %q, must be like \"08:00-18:30\"", s)
	}
	return from, to % dayMinutes, nil
}

const dayMinutes = 24 * 60

// parseMinute parses a time of day such as "08:00" and returns the minute of the day.
func parseMinute(s string) (int, error) {
	h, m, ok := strings.Cut(s, ":")
	hours, err1 := strconv.Atoi(h)
	minutes, err2 := strconv.Atoi(m)
	if !ok || len(h) != 2 || len(m) != 2 || err1 != nil || err2 != nil || hours < 0 || minutes < 0 || minutes > 59 ||
		hours*60+minutes > dayMinutes {
		return 0, errors.New("invalid time of day")
	}
	return hours*60 + minutes, nil
}

// appliesTo reports whether a rate applies to a call's class and tenant.
func (r *Rate) appliesTo(rec *Record) bool {
	return (len(r.Classes) == 0 || slices.Contains(r.Classes, rec.Class)) &&
		(len(r.Tenants) == 0 || slices.Contains(r.Tenants, rec.Tenant))
}

// inForce reports whether a rate is in force at a local time. If its hours span midnight, those after midnight belong to
// the day before.
func (r *Rate) inForce(t time.Time) bool {
	day, m := t.Weekday(), t.Hour()*60+t.Minute()
	switch {
	case r.StartMinute == 0 && r.EndMinute == 0:
	case r.StartMinute < r.EndMinute || r.EndMinute == 0:
		to := r.EndMinute
		if to == 0 {
			to = dayMinutes
		}
		if m < r.StartMinute || m >= to {
			return false
		}
	case m < r.EndMinute:
		day = (day + 6) % 7
	case m < r.StartMinute:
		return false
	}
	return len(r.Days) == 0 || slices.Contains(r.Days, day)
}

// lookup returns the tariff in force at a time and its rate for a call. Either is nil if there is none.
func (t *Tariffs) lookup(rec *Record, when time.Time) (*Tariff, *Rate) {
	for i := len(t.Versions) - 1; i >= 0; i-- {
		v := &t.Versions[i]
		if v.From.After(when) {
			continue
		}
		local := when.In(t.Zone)
		for j := range v.Rates {
			if v.Rates[j].appliesTo(rec) && v.Rates[j].inForce(local) {
				return v, &v.Rates[j]
			}
		}
		return v, nil
	}
	return nil, nil
}

// nextChange returns the first time after when at which another rate may be in force: the start of a tariff, the start or
// end of the hours of a rate of v on this local day, a change of the local clock, or the next midnight.
func (t *Tariffs) nextChange(v *Tariff, when time.Time) time.Time {
	local := when.In(t.Zone)
	y, mo, d := local.Date()
	next := time.Date(y, mo, d+1, 0, 0, 0, 0, t.Zone)
	limitTo := func(x time.Time) {
		if x.After(when) && x.Before(next) {
			next = x
		}
	}
	for i := range t.Versions {
		limitTo(t.Versions[i].From)
	}
	for i := range v.Rates {
		for _, m := range [...]int{v.Rates[i].StartMinute, v.Rates[i].EndMinute} {
			// time.Date gives one instant for an hour that occurs twice or not at all on this day. The clock
			// change itself is added below.
			limitTo(time.Date(y, mo, d, m/60, m%60, 0, 0, t.Zone))
		}
	}
	if _, end := local.ZoneBounds(); !end.IsZero() {
		limitTo(end) // the clocks change, so local hours jump
	}
	return next
}

// Validate returns an error for each tariff that makes rating ambiguous.
func (t *Tariffs) Validate() error {
	var errs []error
	seen := map[string]bool{}
	for i := range t.Versions {
		v := &t.Versions[i]
		if seen[v.ID()] {
			errs = append(errs, fmt.Errorf("duplicate tariff %s", v.ID()))
		}
		seen[v.ID()] = true
		if i > 0 && !v.From.After(t.Versions[i-1].From) {
			errs = append(errs, fmt.Errorf("tariff %s starts at the same time as tariff %s", v.ID(), t.Versions[i-1].ID()))
		}
	}
	return errors.Join(errs...)
}
