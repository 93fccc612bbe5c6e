package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/fsnotify/fsnotify"

	"pipitring/internal/tomlbind"
)

// Source provides the exchange list.
type Source interface {
	// Run calls onUpdate with each new list and onError with each error until ctx ends. After an error the last list stays
	// valid and the source retries.
	Run(ctx context.Context, onUpdate func(List), onError func(error))
}

// listDocument is the form of a list in TOML and JSON files.
type listDocument struct {
	Exchange []listDocumentEntry `toml:"exchange" json:"exchange"`
}

// listDocumentEntry is one exchange in a list file.
type listDocumentEntry struct {
	ID      string         `toml:"id" json:"id"`
	Number  int            `toml:"number" json:"number"`
	Zone    string         `toml:"zone" json:"zone"`
	Phase   string         `toml:"phase" json:"phase"`
	Started timestamp      `toml:"started" json:"started"`
	Address netip.AddrPort `toml:"address" json:"address"`
	Switch  netip.AddrPort `toml:"switch" json:"switch"`
}

// timestamp is a time in RFC 3339; the empty text is the zero time.
type timestamp struct{ time.Time }

// UnmarshalText parses a time in RFC 3339 or an empty text.
func (t *timestamp) UnmarshalText(b []byte) (err error) {
	if len(b) == 0 {
		t.Time = time.Time{}
		return nil
	}
	if t.Time, err = time.Parse(time.RFC3339Nano, string(b)); err != nil {
		return errors.New("not a time such as \"2026-12-01T14:00:00Z\"")
	}
	return nil
}

// MarshalText writes the time in RFC 3339 with nanoseconds, and the zero time as an empty text.
func (t timestamp) MarshalText() ([]byte, error) {
	if t.IsZero() {
		return nil, nil
	}
	return t.AppendFormat(nil, time.RFC3339Nano), nil
}

// ParseFile parses a list: as JSON if name ends in .json, else as TOML.
func ParseFile(name string, data []byte) (List, error) {
	var form listDocument
	doc := &tomlbind.Doc{File: name}
	if strings.HasSuffix(name, ".json") {
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&form); err != nil {
			line := 1 + bytes.Count(data[:min(int(dec.InputOffset()), len(data))], []byte("\n"))
			return List{}, fmt.Errorf("%s:%d: %w", name, line, err)
		}
		if dec.More() {
			return List{}, fmt.Errorf("%s: more than one JSON value", name)
		}
	} else {
		doc = tomlbind.Read(name, data, &form)
	}
	var l List
	for i, f := range form.Exchange {
		phase, err := parsePhase(f.Phase)
		if err != nil {
			doc.Report(fmt.Sprintf("exchange[%d].phase", i+1), "%v", err)
		}
		l.Entries = append(l.Entries, Entry{ID: f.ID, Number: f.Number, Zone: f.Zone, Phase: phase,
			Started: f.Started.Time, Address: f.Address, Switch: f.Switch})
	}
	if err := doc.Err(); err != nil {
		return List{}, err
	}
	if err := l.validate(); err != nil {
		return List{}, fmt.Errorf("%s: %w", name, err)
	}
	l.sort()
	return l, nil
}

// FormatJSON encodes a list in the JSON form that ParseFile reads.
func FormatJSON(l List) []byte {
	form := listDocument{Exchange: []listDocumentEntry{}}
	for _, e := range l.Entries {
		form.Exchange = append(form.Exchange, listDocumentEntry{e.ID, e.Number, e.Zone, PhaseName(e.Phase), timestamp{e.Started},
			e.Address, e.Switch})
	}
	b, err := json.MarshalIndent(form, "", "  ")
	if err != nil {
		panic(err) // cannot happen: only strings, numbers and addresses are encoded
	}
	return append(b, '\n')
}

// FileSource is a Source that watches a list file.
type FileSource struct{ Path string }

// Run reads the file at once and whenever it changes. A file that cannot be read or parsed is reported to onError, and the
// last list stays valid.
func (f FileSource) Run(ctx context.Context, onUpdate func(List), onError func(error)) {
	var last []byte
	index := uint64(0)
	reload := func() {
		data, err := os.ReadFile(f.Path)
		if err != nil {
			onError(err)
			return
		}
		if last != nil && bytes.Equal(data, last) {
			return
		}
		l, err := ParseFile(f.Path, data)
		if err != nil {
			onError(err)
			return
		}
		last = data
		index++
		l.Index = index
		onUpdate(l)
	}
	w, err := fsnotify.NewWatcher()
	if err == nil {
		defer w.Close()
		// The directory is watched, not the file, because editors and renames replace the file by another one.
		err = w.Add(filepath.Dir(f.Path))
	}
	reload()
	if err != nil {
		onError(fmt.Errorf("%s cannot be watched for changes: %w", f.Path, err))
		<-ctx.Done()
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-w.Events:
			if filepath.Base(e.Name) == filepath.Base(f.Path) && !e.Has(fsnotify.Chmod) && !e.Has(fsnotify.Remove) {
				reload()
			}
		case err := <-w.Errors:
			onError(err)
		}
	}
}
