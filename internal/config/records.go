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

// Records is the [records] table: call detail records. Without a dir none are kept.
type Records struct {
	Dir               string        `toml:"dir"`
	Answer            string        `toml:"answer"`
	AnswerWait        time.Duration `toml:"answer_wait"`
	OnSlow            string        `toml:"on_slow"`
	OnFull            string        `toml:"on_full"`
	OnFailed          string        `toml:"on_failed"`
	SlowAfter         time.Duration `toml:"slow_after"`
	Queue             int           `toml:"queue"`
	Batch             int           `toml:"batch"`
	BatchDelay        time.Duration `toml:"gather"`
	HeartbeatInterval time.Duration `toml:"alive"`
	Retention         time.Duration `toml:"keep"`
	DiskLimit         int           `toml:"disk_limit"`
	Tariffs           string        `toml:"tariffs"`
	Export            []Export      `toml:"export"`
}

// Export is one [[records.export]].
type Export struct {
	Name       string        `toml:"name"`
	To         string        `toml:"to"`
	Format     string        `toml:"format"`
	MaxRecords int           `toml:"most"`
	MinRecords int           `toml:"least"`
	MaxWait    time.Duration `toml:"wait"`
	TokenFile  string        `toml:"token_file"`
	ChunkSize  int           `toml:"part"`
	Timeout    time.Duration `toml:"timeout"`
}

// Values of records.answer.
const (
	AnswerDurable = "durable" // a final answer goes out when its record is durable
	AnswerAtOnce  = "at_once" // and its record follows
)

// DefaultRecords are the records' settings where a file says nothing.
func DefaultRecords() Records {
	return Records{Answer: AnswerDurable, AnswerWait: 25 * time.Millisecond, OnSlow: "go_on", OnFull: "refuse", OnFailed: "refuse",
		SlowAfter: 2 * time.Second, Queue: 65536, Batch: 4096, HeartbeatInterval: time.Second, Retention: 30 * 24 * time.Hour}
}

func (r *Records) same(o *Records) bool { return reflect.DeepEqual(r, o) }

var answers = map[string]store.Policy{"go_on": store.AcceptCalls, "refuse": store.RejectCalls}

// GateSettings puts the answers to a disk in trouble in the store's terms.
func (r *Records) GateSettings() store.GateSettings {
	return store.GateSettings{OnSlow: answers[r.OnSlow], OnFull: answers[r.OnFull], OnFailed: answers[r.OnFailed],
		SlowAfter: r.SlowAfter, MaxQueue: r.Queue}
}

func (s *Settings) checkRecords(d *tomlbind.Doc) {
	r := &s.Records
	if r.Dir == "" {
		if len(r.Export) > 0 || r.Tariffs != "" {
			d.Report("records.dir", "exports and tariffs need a directory to keep records in")
		}
		return
	}
	if r.Answer != AnswerDurable && r.Answer != AnswerAtOnce {
		d.Report("records.answer", "%q is none of %s, %s", r.Answer, AnswerDurable, AnswerAtOnce)
	}
	if r.AnswerWait <= 0 || r.AnswerWait > s.Router.AnswerMargin {
		d.Report("records.answer_wait", "%v is not above 0, up to the router's answer_margin of %v", r.AnswerWait, s.Router.AnswerMargin)
	}
	for key, v := range map[string]string{"on_slow": r.OnSlow, "on_full": r.OnFull, "on_failed": r.OnFailed} {
		if _, ok := answers[v]; !ok {
			d.Report("records."+key, "%q is none of go_on, refuse", v)
		}
	}
	positive(d, "records.slow_after", r.SlowAfter)
	positive(d, "records.alive", r.HeartbeatInterval)
	if r.Queue < 16 {
		d.Report("records.queue", "%d records are under 16", r.Queue)
	}
	if r.Batch < 1 {
		d.Report("records.batch", "%d records", r.Batch)
	}
	if r.BatchDelay < 0 || r.BatchDelay > r.AnswerWait {
		d.Report("records.gather", "%v is not from 0 to answer_wait (%v)", r.BatchDelay, r.AnswerWait)
	}
	if r.Retention < 0 {
		d.Report("records.keep", "%v is negative", r.Retention)
	}
	if r.DiskLimit < 0 {
		d.Report("records.disk_limit", "%d bytes", r.DiskLimit)
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

func (s *Settings) checkExports(d *tomlbind.Doc) {
	names, places := map[string]bool{}, map[string]bool{}
	for i := range s.Records.Export {
		e := &s.Records.Export[i]
		key := fmt.Sprintf("records.export[%d]", i+1)
		if e.Name == "" || names[e.Name] || strings.ContainsRune(e.Name, 0) {
			d.Report(key+".name", "name %q is empty or given twice", e.Name)
		}
		if e.To == "" || places[e.To] {
			d.Report(key+".to", "%q is no place of its own: a directory, or an address such as \"http://127.0.0.1:8080/files\"", e.To)
		}
		names[e.Name], places[e.To] = true, true
		if e.Format == "" {
			e.Format = string(cdr.CSV)
		}
		if _, err := cdr.ParseFormat(e.Format); err != nil {
			d.Report(key+".format", "%v", err)
		}
		if e.IsURL() {
			if u, err := url.Parse(e.To); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
				d.Report(key+".to", "%q is no address such as \"http://127.0.0.1:8080/files\"", e.To)
			}
		}
		for key, v := range map[string]*int{key + ".most": &e.MaxRecords, key + ".least": &e.MinRecords, key + ".part": &e.ChunkSize} {
			if *v < 0 {
				d.Report(key, "%d is negative", *v)
			}
		}
		def := func(v *int, otherwise int) {
			if *v == 0 {
				*v = otherwise
			}
		}
		def(&e.MaxRecords, 10000)
		def(&e.MinRecords, 1000)
		if e.MaxWait == 0 {
			e.MaxWait = time.Minute
		}
		if e.Timeout == 0 {
			e.Timeout = 30 * time.Second
		}
		positive(d, key+".wait", e.MaxWait)
		positive(d, key+".timeout", e.Timeout)
		if e.MinRecords > e.MaxRecords {
			d.Report(key+".least", "%d are more than the most of a batch (%d)", e.MinRecords, e.MaxRecords)
		}
	}
}

// IsURL tells whether an export goes to a receiver's address; else it goes to a directory.
func (e *Export) IsURL() bool { return strings.Contains(e.To, "://") }

// ReadToken reads an export's token; "" where it needs none.
func (e *Export) ReadToken() (string, error) {
	if e.TokenFile == "" {
		return "", nil
	}
	b, err := os.ReadFile(e.TokenFile)
	return strings.TrimSpace(string(b)), err
}

// tariffFile is a file of tariffs as it is written.
type tariffFile struct {
	Currency string   `toml:"currency"`
	Decimals int      `toml:"decimals"`
	Zone     string   `toml:"zone"`
	Tariff   []tariff `toml:"tariff"`
}

type tariff struct {
	Name    string `toml:"name"`
	Version int    `toml:"version"`
	From    string `toml:"from"`
	Rate    []rate `toml:"rate"`
}

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

// LoadTariffs reads a file of tariffs.
func LoadTariffs(path string) (*cdr.Tariffs, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseTariffs(path, data)
}

// ParseTariffs reads tariffs; path names them in errors.
func ParseTariffs(path string, data []byte) (*cdr.Tariffs, error) {
	f := tariffFile{Decimals: 2, Zone: "UTC"}
	d := tomlbind.Read(path, data, &f)
	t := &cdr.Tariffs{Currency: f.Currency, Places: f.Decimals}
	var err error
	if f.Currency == "" {
		d.Report("currency", "a currency such as \"AUD\" is needed")
	}
	if f.Decimals < 0 || f.Decimals > 12 {
		d.Report("decimals", "%d is not from 0 to 12", f.Decimals)
	}
	if t.Zone, err = time.LoadLocation(f.Zone); err != nil || f.Zone == "Local" {
		d.Report("zone", "%q is no time zone such as \"Australia/Perth\"", f.Zone)
		t.Zone = time.UTC
	}
	if len(f.Tariff) == 0 {
		d.Report("tariff", "at least one [[tariff]] is needed")
	}
	for i := range f.Tariff {
		t.List = append(t.List, f.Tariff[i].read(d, fmt.Sprintf("tariff[%d]", i+1), t.Zone))
	}
	slices.SortStableFunc(t.List, func(a, b cdr.Tariff) int { return a.From.Compare(b.From) })
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

func (v *tariff) read(d *tomlbind.Doc, key string, zone *time.Location) (out cdr.Tariff) {
	out = cdr.Tariff{Name: v.Name, Version: v.Version}
	if v.Name == "" || strings.Contains(v.Name, "/") {
		d.Report(key+".name", "%q is no name (without a slash)", v.Name)
	}
	if v.Version < 1 {
		d.Report(key+".version", "%d is under 1", v.Version)
	}
	var err error
	if out.From, err = time.ParseInLocation("2006-01-02T15:04:05", v.From, zone); err != nil {
		if out.From, err = time.ParseInLocation(time.DateOnly, v.From, zone); err != nil {
			d.Report(key+".from", "%q is no local time such as \"2026-07-01T00:00:00\"", v.From)
		}
	}
	if len(v.Rate) == 0 {
		d.Report(key+".rate", "at least one [[tariff.rate]] is needed")
	}
	for i := range v.Rate {
		out.Rates = append(out.Rates, v.Rate[i].read(d, fmt.Sprintf("%s.rate[%d]", key, i+1)))
	}
	return out
}

func (r *rate) read(d *tomlbind.Doc, key string) (out cdr.Rate) {
	out = cdr.Rate{Classes: r.Classes, Tenants: r.Tenants, Minimum: r.Minimum, Step: r.Step, Free: r.Free, Emergency: r.Emergency}
	var err error
	for i, name := range r.Days {
		day, err := cdr.ParseDay(name)
		if err != nil {
			d.Report(fmt.Sprintf("%s.days[%d]", key, i+1), "%v", err)
		}
		out.Days = append(out.Days, day)
	}
	if r.Between != "" {
		if out.From, out.To, err = cdr.ParseHours(r.Between); err != nil {
			d.Report(key+".between", "%v", err)
		}
	}
	if r.Minimum < 0 || r.Step < 0 {
		d.Report(key, "minimum and step must not be negative")
	}
	costs := r.PerMinute != "" || r.SetUp != ""
	if costs == (r.Free || r.Emergency) {
		d.Report(key, "either a price (per_minute, set_up) or free or emergency is needed, not both")
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
