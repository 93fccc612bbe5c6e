package cdr

import (
	"crypto/sha256"
	"encoding/csv"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/parquet-go/parquet-go"
)

// Format is the file format of an export.
type Format string

// Formats of exported files.
const (
	CSV     Format = "csv"
	Parquet Format = "parquet"
)

// ParseFormat parses the name of a format.
func ParseFormat(s string) (Format, error) {
	if f := Format(s); f == CSV || f == Parquet {
		return f, nil
	}
	return "", fmt.Errorf("unknown format %q, must be csv or parquet", s)
}

// row is the exported form of a record. The order and the names of its columns, which are in the tags, must not change.
type row struct {
	ID        string  `parquet:"id"`
	Version   int32   `parquet:"version"`
	End       string  `parquet:"end,dict"`
	Cause     int32   `parquet:"cause"`
	EndSource string  `parquet:"known,dict"`
	Class     string  `parquet:"class,dict"`
	Tenant    string  `parquet:"tenant,dict"`
	Called    string  `parquet:"called"`
	Calling   string  `parquet:"calling"`
	User      string  `parquet:"user,dict"`
	Context   string  `parquet:"context,dict"`
	Front     string  `parquet:"front,dict"`
	Circuit   int32   `parquet:"circuit"`
	Origin    int32   `parquet:"origin"`
	Dest      int32   `parquet:"dest"`
	Transit   bool    `parquet:"transit"`
	Width     int32   `parquet:"width"`
	Offered   string  `parquet:"offered"` // RFC 3339 in UTC
	Answered  string  `parquet:"answered"`
	Ended     string  `parquet:"ended"`
	LastSeen  string  `parquet:"seen"`
	SetUp     float64 `parquet:"setup_s"`
	Duration  float64 `parquet:"length_s"`
	ClockStep float64 `parquet:"stepped_s"`
	Route     string  `parquet:"route"` // exchange:outcome of each attempt, separated by spaces
	Tariff    string  `parquet:"tariff,dict"`
	Amount    string  `parquet:"amount"` // exact decimal
	Currency  string  `parquet:"currency,dict"`
	Billed    float64 `parquet:"billed_s"`
	Note      string  `parquet:"note,dict"`
}

var columns = []string{"id", "version", "end", "cause", "known", "class", "tenant", "called", "calling", "user", "context",
	"front", "circuit", "origin", "dest", "transit", "width", "offered", "answered", "ended", "seen", "setup_s", "length_s",
	"stepped_s", "route", "tariff", "amount", "currency", "billed_s", "note"}

// formatTime formats a time as RFC 3339 in UTC; an unknown time is empty.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}

// newRow converts a record to its exported form.
func newRow(r *Record) row {
	var route []string
	for _, a := range r.Attempts {
		route = append(route, fmt.Sprintf("%d:%s", a.Exchange, a.Outcome))
	}
	c := &r.Charge
	return row{r.ID.String(), int32(r.Version), r.End.String(), int32(r.Cause), r.EndSource.String(), r.Class, r.Tenant, r.Called,
		r.Calling, r.User, r.Context, r.Front, int32(r.Circuit), int32(r.Origin), int32(r.Dest), r.Transit, int32(r.Width),
		formatTime(r.Offered), formatTime(r.Answered), formatTime(r.Ended), formatTime(r.LastSeen), r.SetUp.Seconds(), r.Duration.Seconds(),
		r.ClockStep.Seconds(), strings.Join(route, " "), c.Tariff, c.Amount, c.Currency, c.Billed.Seconds(), c.Note}
}

// fields returns the fields in the order of columns.
func (r row) fields() []string {
	itoa := func(v int32) string { return strconv.Itoa(int(v)) }
	ftoa := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	return []string{r.ID, itoa(r.Version), r.End, itoa(r.Cause), r.EndSource, r.Class, r.Tenant, r.Called, r.Calling, r.User, r.Context,
		r.Front, itoa(r.Circuit), itoa(r.Origin), itoa(r.Dest), strconv.FormatBool(r.Transit), itoa(r.Width), r.Offered, r.Answered,
		r.Ended, r.LastSeen, ftoa(r.SetUp), ftoa(r.Duration), ftoa(r.ClockStep), r.Route, r.Tariff, r.Amount, r.Currency, ftoa(r.Billed), r.Note}
}

// WriteFile writes records in a format. The same records give the same bytes.
func WriteFile(w io.Writer, f Format, records []*Record) error {
	if f == Parquet {
		p := parquet.NewGenericWriter[row](w, parquet.Compression(&parquet.Zstd), parquet.CreatedBy("pipitring", "", ""))
		rows := make([]row, 0, len(records))
		for _, r := range records {
			rows = append(rows, newRow(r))
		}
		if _, err := p.Write(rows); err != nil {
			return err
		}
		return p.Close()
	}
	c := csv.NewWriter(w)
	if err := c.Write(columns); err != nil {
		return err
	}
	for _, r := range records {
		if err := c.Write(newRow(r).fields()); err != nil {
			return err
		}
	}
	c.Flush()
	return c.Error()
}

// Manifest describes an exported file. It is written after its file, atomically: a file without manifest is
// incomplete.
type Manifest struct {
	Batch   uint64   `json:"batch"` // consecutive, from 1
	File    string   `json:"file"`
	Format  Format   `json:"format"`
	Router  uint32   `json:"router"`
	Count   int      `json:"count"`
	FirstID string   `json:"first_id"`
	LastID  string   `json:"last_id"`
	From    uint64   `json:"from_number"` // record numbers in the store, inclusive
	To      uint64   `json:"to_number"`
	Missing []uint64 `json:"missing_numbers,omitempty"` // numbers in that range without a readable record
	Bytes   int      `json:"bytes"`
	SHA256  string   `json:"sha256"`
}

// BatchName returns the name of a batch's file.
func BatchName(router uint32, batch uint64, f Format) string {
	return fmt.Sprintf("cdr-%d-%010d.%s", router, batch, f)
}

// ManifestName returns the name of the manifest of a batch's file.
func ManifestName(router uint32, batch uint64) string {
	return fmt.Sprintf("cdr-%d-%010d.json", router, batch)
}

// Encode returns the manifest as JSON.
func (m *Manifest) Encode() []byte {
	b, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		panic(err) // strings and numbers only
	}
	return append(b, '\n')
}

// ParseManifest parses a manifest. Errors begin with name.
func ParseManifest(name string, b []byte) (*Manifest, error) {
	var m Manifest
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &m, nil
}

// Checksum returns a file's checksum in the form of the manifest: SHA-256 in hex.
func Checksum(b []byte) string {
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:])
}

// ReadIDs reads the IDs and versions, as "id/version", from an exported file.
func ReadIDs(f Format, b []byte) (ids []string, err error) {
	if f == Parquet {
		rows, err := parquet.Read[row](strings.NewReader(string(b)), int64(len(b)))
		for _, r := range rows {
			ids = append(ids, r.ID+"/"+strconv.Itoa(int(r.Version)))
		}
		return ids, err
	}
	c := csv.NewReader(strings.NewReader(string(b)))
	head, err := c.Read()
	if err != nil {
		return nil, err
	}
	if strings.Join(head, ",") != strings.Join(columns, ",") {
		return nil, fmt.Errorf("file has other columns than this version writes")
	}
	for {
		r, err := c.Read()
		if err == io.EOF {
			return ids, nil
		}
		if err != nil {
			return ids, err
		}
		ids = append(ids, r[0]+"/"+r[1])
	}
}
