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

// dayTariffs are the tariffs of a day: alarms are free, other calls are charged by the minute.
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

// recordsDir returns the directory of a router's records.
func (f *fleet) recordsDir(x int) string {
	return filepath.Join(f.dataDir, fmt.Sprintf("records-%d", x))
}

// createDataDir creates the fleet's directory and its tariffs file.
func (f *fleet) createDataDir() (err error) {
	if f.dataDir, err = os.MkdirTemp("", "pipitring-day-"); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(f.dataDir, "tariffs.toml"), []byte(dayTariffs), 0o600)
}

// stopRouters stops all running routers, in the same way as SIGTERM does when there are no standing calls.
func (f *fleet) stopRouters() error {
	var running []int
	for x, r := range f.routers {
		if r != nil {
			running = append(running, x)
		}
	}
	return f.env.forEach(running, func(x int) error {
		r := f.routers[x]
		f.routers[x] = nil
		return r.Stop()
	})
}

// storedRecord is the part of a call's record that the audit of a day needs.
type storedRecord struct {
	end         cdr.End
	incarnation uint32
}

// storedRecords are the records of subscribers' calls in the fleet's stores, by router and calling number.
type storedRecords map[int]map[string][]storedRecord

// RecordsAudit is the result of auditing a day's records against its capture.
type RecordsAudit struct {
	Records      int      `json:"records"`          // records of all routers, including tandems
	Recovered    int      `json:"recovered"`        // records of calls that a recovery closed
	Unrated      int      `json:"unrated"`          // records that no tariff rated
	TriesChecked int      `json:"tries_looked_for"` // tries in the capture whose record was looked for
	Missing      int      `json:"missing"`
	Duplicated   int      `json:"doubled"`
	AtRisk       int      `json:"at_risk"` // missing at a killed router that may have answered before its records were durable
	Wrong        int      `json:"wrong"`   // records whose end differs from the capture
	Problems     []string `json:"found,omitempty"`
}

// Good reports whether every call in the capture has exactly one record, which is rated and has the right end.
func (d *RecordsAudit) Good() bool {
	return d.Missing+d.Duplicated+d.Wrong+len(d.Problems)+d.Unrated == 0
}

// report adds a problem. It discards all but the first 50.
func (d *RecordsAudit) report(format string, args ...any) {
	if len(d.Problems) < 50 {
		d.Problems = append(d.Problems, fmt.Sprintf(format, args...))
	}
}

// readRecords audits the stores of all routers and returns the records of subscribers' calls.
func (e *socketEnvironment) readRecords(res *RecordsAudit) (storedRecords, error) {
	f := e.fleet
	out := storedRecords{}
	for x := range f.routers {
		s, err := store.Open(store.Options{Dir: f.recordsDir(x), Schema: records.Schema(), ReadOnly: true})
		if err != nil {
			return nil, err
		}
		out[x], err = readStoredRecords(s, x, res)
		if err = errors.Join(err, s.Close()); err != nil {
			return nil, fmt.Errorf("records of router %d: %w", x, err)
		}
	}
	return out, nil
}

// readStoredRecords audits the store of router x and returns the records of subscribers' calls by calling number.
func readStoredRecords(s cdr.Store, x int, res *RecordsAudit) (map[string][]storedRecord, error) {
	a, err := cdr.Verify(s)
	if err != nil {
		return nil, err
	}
	if !a.Good() || a.Open > 0 {
		res.report("router %d: %+v", x, a)
	}
	out := map[string][]storedRecord{}
	all := cdr.Filter{}
	return out, all.Each(s, func(n uint64, err error) { res.report("router %d, record number %d: %v", x, n, err) }, func(_ uint64, r *cdr.Record) error {
		res.Records++
		if !r.Charge.Rated() {
			res.Unrated++
		}
		if r.EndSource == cdr.EndedByRecovery {
			res.Recovered++
		}
		if r.Origin < 0 {
			out[r.Calling] = append(out[r.Calling], storedRecord{r.End, r.ID.Incarnation})
		}
		return nil
	})
}

// hasDuplicate reports whether one incarnation of a router has two records of a try. Records of different incarnations are
// no duplicates: a set-up that is retransmitted until the next incarnation accepts it is a new call there.
func hasDuplicate(found []storedRecord) bool {
	seen := map[uint32]bool{}
	for _, r := range found {
		if seen[r.incarnation] {
			return true
		}
		seen[r.incarnation] = true
	}
	return false
}

// match checks the record of every try in the capture. A try may have no record if its router was killed before the final
// answer; the caller has to try again then.
//
// notDurable are the routers that may have sent answers before their records were durable, because a disk was full or slow.
// Tries without a record at these routers count as at risk, not as missing.
func (d *RecordsAudit) match(tries []rules.Try, stored storedRecords, notDurable map[int]bool) {
	for _, t := range tries {
		found := stored[t.Router][t.Call]
		answered := t.Outcome == rules.Answered || t.Outcome == rules.Refused || t.Outcome == rules.Failed
		d.TriesChecked++
		try := "router " + strconv.Itoa(t.Router) + ", call " + t.Call + ", " + string(t.Outcome) + " by the capture"
		switch {
		case hasDuplicate(found):
			d.Duplicated++
			d.report("%s: %d records", try, len(found))
		case len(found) == 0 && notDurable[t.Router]:
			d.AtRisk++
		case len(found) == 0 && !t.Acknowledged && !answered: // the set-up may have been lost, or rejected because it had no call token
		case len(found) == 0 && (answered && !(t.RouterDown && t.Outcome == rules.Failed) || !t.RouterDown):
			d.Missing++
			d.report("%s: no record", try)
		case len(found) == 1 && !endMatches(t.Outcome, found[0].end):
			d.Wrong++
			d.report("%s, but %v by its record", try, found[0].end)
		}
	}
}

// endMatches reports whether a record's end is consistent with the outcome at the caller's socket. An abandoned or
// unanswered try may have any end: the final answer may have crossed the caller's hang-up or been lost.
func endMatches(o rules.Outcome, e cdr.End) bool {
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
