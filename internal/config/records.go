package config

import (
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	"pipitring/internal/cdr"
	"pipitring/internal/store"
	"pipitring/internal/tomlbind"
)

// Records is the [records] table: storage and export of call detail records. If dir is empty, no records are stored.
type Records struct {
	Dir               string        `toml:"dir"`
	Answer            string        `toml:"answer"`      // AnswerDurable or AnswerAtOnce
	DurableTimeout    time.Duration `toml:"answer_wait"` // longest wait of an answer for its record, under AnswerDurable
	OnSlow            string        `toml:"on_slow"`     // "go_on" or "refuse": whether new calls are accepted while the disk is slow
	OnFull            string        `toml:"on_full"`     // the same while the disk has no free space
	OnFailed          string        `toml:"on_failed"`   // the same after the disk has failed
	SlowAfter         time.Duration `toml:"slow_after"`  // age of the oldest waiting record from which the disk counts as slow
	MaxQueue          int           `toml:"queue"`       // limit of records that wait to be written
	MaxBatch          int           `toml:"batch"`       // records per commit
	BatchDelay        time.Duration `toml:"gather"`      // delay before a commit, so that more records join it
	HeartbeatInterval time.Duration `toml:"alive"`       // interval of heartbeats in the store
	Retention         time.Duration `toml:"keep"`        // how long exported records are retained
	DiskLimit         int           `toml:"disk_limit"`  // bytes; 0 is unlimited
	Tariffs           string        `toml:"tariffs"`     // file of tariffs, relative to the settings file
	Export            []Export      `toml:"export"`
}

// Export is one [[records.export]] table.
type Export struct {
	Name       string        `toml:"name"`
	To         string        `toml:"to"`         // directory or URL of a tus receiver
	Format     string        `toml:"format"`     // "csv" (the default) or "parquet"
	MaxRecords int           `toml:"most"`       // per batch; 0 is 10000
	MinRecords int           `toml:"least"`      // waiting records at which a batch is sent at once; 0 is 1000
	MaxWait    time.Duration `toml:"wait"`       // longest wait of records, after which a smaller batch is sent; 0 is 1 min
	TokenFile  string        `toml:"token_file"` // file with the bearer token for a receiver; empty for none
	ChunkSize  int           `toml:"part"`       // bytes per request; 0 is unlimited
	Timeout    time.Duration `toml:"timeout"`    // per request; 0 is 30 s
}

// Values of records.answer.
const (
	AnswerDurable = "durable" // a final answer is sent once its record is durable
	AnswerAtOnce  = "at_once" // a final answer is sent at once; its record becomes durable later
)

// DefaultRecords returns the [records] table of an empty file.
func DefaultRecords() Records {
	return Records{Answer: AnswerDurable, DurableTimeout: 25 * time.Millisecond, OnSlow: "go_on", OnFull: "refuse", OnFailed: "refuse",
		SlowAfter: 2 * time.Second, MaxQueue: 65536, MaxBatch: 4096, HeartbeatInterval: time.Second, Retention: 30 * 24 * time.Hour}
}

// equal reports whether two [records] tables are equal.
func (r *Records) equal(o *Records) bool { return reflect.DeepEqual(r, o) }

// policies maps the values of on_slow, on_full and on_failed to those of the store.
var policies = map[string]store.Policy{"go_on": store.AcceptCalls, "refuse": store.RejectCalls}

// GateSettings converts the admission policies for a faulty disk to those of the store.
func (r *Records) GateSettings() store.GateSettings {
	return store.GateSettings{OnSlow: policies[r.OnSlow], OnFull: policies[r.OnFull], OnFailed: policies[r.OnFailed],
		SlowAfter: r.SlowAfter, MaxQueue: r.MaxQueue}
}

// checkRecords validates the [records] table and loads the tariffs. Without a directory, only exports and tariffs are
// problems.
func (s *Settings) checkRecords(d *tomlbind.Doc) {
	r := &s.Records
	if r.Dir == "" {
		if len(r.Export) > 0 || r.Tariffs != "" {
			d.Report("records.dir", "is required, as exports or tariffs are configured")
		}
		return
	}
	if r.Answer != AnswerDurable && r.Answer != AnswerAtOnce {
		d.Report("records.answer", "%q is none of %s, %s", r.Answer, AnswerDurable, AnswerAtOnce)
	}
	if r.DurableTimeout <= 0 || r.DurableTimeout > s.Router.AnswerMargin {
		d.Report("records.answer_wait", "%v must be above 0 and at most router.answer_margin (%v)", r.DurableTimeout,
			s.Router.AnswerMargin)
	}
	for key, v := range map[string]string{"on_slow": r.OnSlow, "on_full": r.OnFull, "on_failed": r.OnFailed} {
		if _, ok := policies[v]; !ok {
			d.Report("records."+key, "%q is none of go_on, refuse", v)
		}
	}
	requirePositive(d, "records.slow_after", r.SlowAfter)
	requirePositive(d, "records.alive", r.HeartbeatInterval)
	if r.MaxQueue < 16 {
		d.Report("records.queue", "%d records is under the minimum of 16", r.MaxQueue)
	}
	if r.MaxBatch < 1 {
		d.Report("records.batch", "%d records per commit; the minimum is 1", r.MaxBatch)
	}
	if r.BatchDelay < 0 || r.BatchDelay > r.DurableTimeout {
		d.Report("records.gather", "%v is not from 0 to records.answer_wait (%v)", r.BatchDelay, r.DurableTimeout)
	}
	if r.Retention < 0 {
		d.Report("records.keep", "%v is negative", r.Retention)
	}
	if r.DiskLimit < 0 {
		d.Report("records.disk_limit", "%d bytes is negative", r.DiskLimit)
	}
	s.checkExports(d)
	if r.Tariffs == "" {
		return
	}
	path := r.Tariffs
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(s.Path), path)
	}
	t, err := LoadTariffs(path)
	if err != nil {
		d.Report("records.tariffs", "%v", err)
		return
	}
	s.Tariffs = t
}

// checkExports validates the [[records.export]] tables and fills in their defaults.
func (s *Settings) checkExports(d *tomlbind.Doc) {
	names, targets := map[string]bool{}, map[string]bool{}
	for i := range s.Records.Export {
		e := &s.Records.Export[i]
		key := fmt.Sprintf("records.export[%d]", i+1)
		if e.Name == "" || names[e.Name] || strings.ContainsRune(e.Name, 0) {
			d.Report(key+".name", "name %q is empty, given twice or contains a zero byte", e.Name)
		}
		if e.To == "" || targets[e.To] {
			d.Report(key+".to",
				"%q is empty or given twice; want a directory or a URL such as \"http://127.0.0.1:8080/files\"", e.To)
		}
		names[e.Name], targets[e.To] = true, true
		if e.Format == "" {
			e.Format = string(cdr.CSV)
		}
		if _, err := cdr.ParseFormat(e.Format); err != nil {
			d.Report(key+".format", "%v", err)
		}
		if e.IsURL() {
			if u, err := url.Parse(e.To); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
				d.Report(key+".to", "%q is not a URL such as \"http://127.0.0.1:8080/files\"", e.To)
			}
		}
		for key, v := range map[string]*int{key + ".most": &e.MaxRecords, key + ".least": &e.MinRecords,
			key + ".part": &e.ChunkSize} {
			if *v < 0 {
				d.Report(key, "%d is negative", *v)
			}
		}
		setDefault := func(v *int, value int) {
			if *v == 0 {
				*v = value
			}
		}
		setDefault(&e.MaxRecords, 10000)
		setDefault(&e.MinRecords, 1000)
		if e.MaxWait == 0 {
			e.MaxWait = time.Minute
		}
		if e.Timeout == 0 {
			e.Timeout = 30 * time.Second
		}
		requirePositive(d, key+".wait", e.MaxWait)
		requirePositive(d, key+".timeout", e.Timeout)
		if e.MinRecords > e.MaxRecords {
			d.Report(key+".least", "%d records is over the maximum of a batch (most = %d)", e.MinRecords, e.MaxRecords)
		}
	}
}

// IsURL reports whether the export goes to a receiver's URL; otherwise it goes to a directory.
func (e *Export) IsURL() bool { return strings.Contains(e.To, "://") }

// ReadToken reads the bearer token from the token file; it returns "" if none is configured.
func (e *Export) ReadToken() (string, error) {
	if e.TokenFile == "" {
		return "", nil
	}
	b, err := os.ReadFile(e.TokenFile)
	return strings.TrimSpace(string(b)), err
}

// tariffFile mirrors a tariff file.
type tariffFile struct {
	Currency string   `toml:"currency"`
	Decimals int      `toml:"decimals"`
	Zone     string   `toml:"zone"`
	Tariff   []tariff `toml:"tariff"`
}

// tariff is one [[tariff]] table: its rates apply from a local time on.
type tariff struct {
	Name    string `toml:"name"`
	Version int    `toml:"version"`
	From    string `toml:"from"`
	Rate    []rate `toml:"rate"`
}

// rate is one [[tariff.rate]] table: the price of the calls that match its classes, tenants, days and hours.
type rate struct {
	Classes   []string      `toml:"classes"`
	Tenants   []string      `toml:"tenants"`
	Days      []string      `toml:"days"`
	Between   string        `toml:"between"`
	PerMinute string        `toml:"per_minute"`
	SetUp     string        `toml:"set_up"`
	Minimum   time.Duration `toml:"minimum"`
	Step      time.Duration `toml:"step"`
	Free      bool          `toml:"free"`
	Emergency bool          `toml:"emergency"`
}

// LoadTariffs reads and validates the tariff file at path.
func LoadTariffs(path string) (*cdr.Tariffs, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseTariffs(path, data)
}

// ParseTariffs reads and validates tariffs; path is the file name given in errors.
func ParseTariffs(path string, data []byte) (*cdr.Tariffs, error) {
	f := tariffFile{Decimals: 2, Zone: "UTC"}
	d := tomlbind.Read(path, data, &f)
	t := &cdr.Tariffs{Currency: f.Currency, Decimals: f.Decimals}
	var err error
	if f.Currency == "" {
		d.Report("currency", "a currency such as \"AUD\" is required")
	}
	if f.Decimals < 0 || f.Decimals > 12 {
		d.Report("decimals", "%d is not from 0 to 12", f.Decimals)
	}
	if t.Zone, err = time.LoadLocation(f.Zone); err != nil || f.Zone == "Local" {
		d.Report("zone", "%q is not a time zone such as \"Australia/Perth\"", f.Zone)
		t.Zone = time.UTC
	}
	if len(f.Tariff) == 0 {
		d.Report("tariff", "at least one [[tariff]] is required")
	}
	for i := range f.Tariff {
		t.Versions = append(t.Versions, f.Tariff[i].convert(d, fmt.Sprintf("tariff[%d]", i+1), t.Zone))
	}
	slices.SortStableFunc(t.Versions, func(a, b cdr.Tariff) int { return a.From.Compare(b.From) })
	if len(d.Problems) == 0 {
		if err := t.Validate(); err != nil {
			d.Report("tariff", "%v", err)
		}
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

// convert validates a tariff and converts its times in zone.
func (v *tariff) convert(d *tomlbind.Doc, key string, zone *time.Location) (out cdr.Tariff) {
	out = cdr.Tariff{Name: v.Name, Version: v.Version}
	if v.Name == "" || strings.Contains(v.Name, "/") {
		d.Report(key+".name", "%q is not a name: it is empty or contains a slash", v.Name)
	}
	if v.Version < 1 {
		d.Report(key+".version", "%d is under the minimum of 1", v.Version)
	}
	var err error
	if out.From, err = time.ParseInLocation("2006-01-02T15:04:05", v.From, zone); err != nil {
		if out.From, err = time.ParseInLocation(time.DateOnly, v.From, zone); err != nil {
			d.Report(key+".from", "%q is not a local time such as \"2026-07-01T00:00:00\"", v.From)
		}
	}
	if len(v.Rate) == 0 {
		d.Report(key+".rate", "at least one [[tariff.rate]] is required")
	}
	for i := range v.Rate {
		out.Rates = append(out.Rates, v.Rate[i].convert(d, fmt.Sprintf("%s.rate[%d]", key, i+1)))
	}
	return out
}

// convert validates a rate.
func (r *rate) convert(d *tomlbind.Doc, key string) (out cdr.Rate) {
	out = cdr.Rate{Classes: r.Classes, Tenants: r.Tenants, Minimum: r.Minimum, Step: r.Step, Free: r.Free,
		Emergency: r.Emergency}
	var err error
	for i, name := range r.Days {
		day, err := cdr.ParseDay(name)
		if err != nil {
			d.Report(fmt.Sprintf("%s.days[%d]", key, i+1), "%v", err)
		}
		out.Days = append(out.Days, day)
	}
	if r.Between != "" {
		if out.StartMinute, out.EndMinute, err = cdr.ParseHours(r.Between); err != nil {
			d.Report(key+".between", "%v", err)
		}
	}
	if r.Minimum < 0 || r.Step < 0 {
		d.Report(key, "minimum and step must not be negative")
	}
	hasPrice := r.PerMinute != "" || r.SetUp != ""
	if hasPrice == (r.Free || r.Emergency) {
		d.Report(key, "either a price (per_minute, set_up) or one of free and emergency is required, not both")
	}
	if r.PerMinute != "" {
		if out.PerMinute, err = cdr.ParseAmount(r.PerMinute); err != nil {
			d.Report(key+".per_minute", "%v", err)
		}
	}
	if r.SetUp != "" {
		if out.SetUp, err = cdr.ParseAmount(r.SetUp); err != nil {
			d.Report(key+".set_up", "%v", err)
		}
	}
	return out
}
