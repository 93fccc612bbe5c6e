package lab

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"pipitring/internal/cdr"
	"pipitring/internal/records"
	"pipitring/internal/rules"
	"pipitring/internal/store"
)

// dayTariffs rate the calls of a day: alarms are free, the rest costs by the minute.
const dayTariffs = `currency = "AUD"
decimals = 4
zone = "Australia/Perth"
[[tariff]]
name = "day"
version = 1
from = "2020-01-01"
[[tariff.rate]]
classes = ["entrapment-alarm", "alarm"]
emergency = true
[[tariff.rate]]
per_minute = "0.12"
set_up = "0.02"
step = "1s"
`

// recordsDir is where a router of the fleet keeps its records.
func (f *fleet) recordsDir(x int) string { return filepath.Join(f.dir, fmt.Sprintf("records-%d", x)) }

// openDir makes the directory of everything that the fleet keeps on disk.
func (f *fleet) openDir() (err error) {
	if f.dir, err = os.MkdirTemp("", "pipitring-day-"); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(f.dir, "tariffs.toml"), []byte(dayTariffs), 0o600)
}

// stopRouters ends all routers that run, as SIGTERM would when nothing stands any more.
func (f *fleet) stopRouters() error {
	var at []int
	for x, r := range f.routers {
		if r != nil {
			at = append(at, x)
		}
	}
	return f.ground.each(at, func(x int) error {
		r := f.routers[x]
		f.routers[x] = nil
		return r.Stop()
	})
}

// kept is one record as a day looks at it.
type kept struct {
	end  cdr.End
	life uint32
}

// keptRecords are what the fleet's stores hold of subscribers' calls, by router and calling number.
type keptRecords map[int]map[string][]kept

// DayRecords is what the audit of a day's records found.
type DayRecords struct {
	Records      int      `json:"records"` // of all routers, tandems included
	Recovered    int      `json:"recovered"`
	Unrated      int      `json:"unrated"`
	TriesChecked int      `json:"tries_looked_for"`
	Missing      int      `json:"missing"`
	Duplicated   int      `json:"doubled"`
	AtRisk       int      `json:"at_risk"` // missing at a router that was killed and had answered before records were durable
	Wrong        int      `json:"wrong"`   // another end than the capture shows
	Problems     []string `json:"found,omitempty"`
}

// Good tells whether every call that the capture shows has its one record.
func (d *DayRecords) Good() bool {
	return d.Missing+d.Duplicated+d.Wrong+len(d.Problems)+d.Unrated == 0
}

func (d *DayRecords) find(format string, args ...any) {
	if len(d.Problems) < 50 {
		d.Problems = append(d.Problems, fmt.Sprintf(format, args...))
	}
}

// readRecords audits the stores of all routers.
func (g *sockets) readRecords(res *DayRecords) (keptRecords, error) {
	f := g.f
	out := keptRecords{}
	for x := range f.routers {
		s, err := store.Open(store.Options{Dir: f.recordsDir(x), Schema: records.Schema(), ReadOnly: true})
		if err != nil {
			return nil, err
		}
		out[x], err = readKept(s, x, res)
		if err = errors.Join(err, s.Close()); err != nil {
			return nil, fmt.Errorf("records of router %d: %w", x, err)
		}
	}
	return out, nil
}

// readKept audits one store; it returns the records of subscribers' calls by calling number.
func readKept(s cdr.Store, x int, res *DayRecords) (map[string][]kept, error) {
	a, err := cdr.Verify(s)
	if err != nil {
		return nil, err
	}
	if !a.Good() || a.Open > 0 {
		res.find("router %d: %+v", x, a)
	}
	out := map[string][]kept{}
	all := cdr.Filter{}
	return out, all.Each(s, func(n uint64, err error) { res.find("router %d, number %d: %v", x, n, err) }, func(_ uint64, r *cdr.Record) error {
		res.Records++
		if !r.Charge.Rated() {
			res.Unrated++
		}
		if r.EndSource == cdr.EndedByRecovery {
			res.Recovered++
		}
		if r.Origin < 0 {
			out[r.Calling] = append(out[r.Calling], kept{r.End, r.ID.Incarnation})
		}
		return nil
	})
}

// twice tells whether one life of a router has two records of a try. A set-up that is repeated until another life
// takes it is another call there.
func twice(got []kept) bool {
	lives := map[uint32]bool{}
	for _, k := range got {
		if lives[k.life] {
			return true
		}
		lives[k.life] = true
	}
	return false
}

// match looks for the record of every try that the capture shows. A try whose router was killed before its final answer
// may have none: its caller is to try again.
//
// unproven are the routers that let answers go before their records were durable, as they do when a disk is full or slow.
func (d *DayRecords) match(tries []rules.Try, have keptRecords, unproven map[int]bool) {
	for _, t := range tries {
		got := have[t.Router][t.Call]
		answered := t.Outcome == rules.Answered || t.Outcome == rules.Refused || t.Outcome == rules.Failed
		d.TriesChecked++
		what := "router " + strconv.Itoa(t.Router) + ", call " + t.Call + ", " + string(t.Outcome) + " by the capture"
		switch {
		case twice(got):
			d.Duplicated++
			d.find("%s: %d records", what, len(got))
		case len(got) == 0 && unproven[t.Router]:
			d.AtRisk++
		case len(got) == 0 && !t.Acknowledged && !answered: // it may never have come, or been asked for its token first
		case len(got) == 0 && (answered && !(t.RouterDown && t.Outcome == rules.Failed) || !t.RouterDown):
			d.Missing++
			d.find("%s: no record", what)
		case len(got) == 1 && !agrees(t.Outcome, got[0].end):
			d.Wrong++
			d.find("%s, %v by its record", what, got[0].end)
		}
	}
}

// agrees tells whether a record's end fits what the caller's socket saw. A final answer that crossed the caller's
// hang-up, or was lost on its way, was given all the same.
func agrees(o rules.Outcome, e cdr.End) bool {
	switch o {
	case rules.Answered:
		return e == cdr.Answered || e == cdr.Cut
	case rules.Refused:
		return e == cdr.Refused
	case rules.Failed:
		return e == cdr.Failed
	}
	return true
}
