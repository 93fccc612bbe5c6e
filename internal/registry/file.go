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

// Source brings the list until its context ends. It calls told with each list that is new and fault with each
// trouble; a source in trouble keeps what it told and goes on trying.
type Source interface {
	Run(ctx context.Context, told func(List), fault func(error))
}

// fileForm is the list as it is written, in TOML or JSON.
type fileForm struct {
	Exchange []fileEntry `toml:"exchange" json:"exchange"`
}

type fileEntry struct {
	ID      string         `toml:"id" json:"id"`
	Number  int            `toml:"number" json:"number"`
	Zone    string         `toml:"zone" json:"zone"`
	Phase   string         `toml:"phase" json:"phase"`
	Started stamp          `toml:"started" json:"started"`
	Address netip.AddrPort `toml:"address" json:"address"`
	Switch  netip.AddrPort `toml:"switch" json:"switch"`
}

// stamp is a time in RFC 3339; empty is none.
type stamp struct{ time.Time }

func (s *stamp) UnmarshalText(b []byte) (err error) {
	if len(b) == 0 {
		s.Time = time.Time{}
		return nil
	}
	if s.Time, err = time.Parse(time.RFC3339Nano, string(b)); err != nil {
		return errors.New("no time such as \"2026-12-01T14:00:00Z\"")
	}
	return nil
}

// MarshalText writes what UnmarshalText reads.
func (s stamp) MarshalText() ([]byte, error) {
	if s.IsZero() {
		return nil, nil
	}
	return s.AppendFormat(nil, time.RFC3339Nano), nil
}

// ParseFile reads a list; the name's ending tells JSON from TOML.
func ParseFile(name string, data []byte) (List, error) {
	var form fileForm
	doc := &tomlbind.Doc{File: name}
	if strings.HasSuffix(name, ".json") {
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&form); err != nil {
			line := 1 + bytes.Count(data[:min(int(dec.InputOffset()), len(data))], []byte("\n"))
			return List{}, fmt.Errorf("%s:%d: %w", name, line, err)
		}
		if dec.More() {
			return List{}, fmt.Errorf("%s: more than one value", name)
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
	if err := l.check(); err != nil {
		return List{}, fmt.Errorf("%s: %w", name, err)
	}
	l.sort()
	return l, nil
}

// FormatJSON writes a list in the form that ParseFile reads.
func FormatJSON(l List) []byte {
	form := fileForm{Exchange: []fileEntry{}}
	for _, e := range l.Entries {
		form.Exchange = append(form.Exchange, fileEntry{e.ID, e.Number, e.Zone, PhaseName(e.Phase), stamp{e.Started},
			e.Address, e.Switch})
	}
	b, err := json.MarshalIndent(form, "", "  ")
	if err != nil {
		panic(err) // only strings, numbers and addresses
	}
	return append(b, '\n')
}

// FileSource is a list in a file that is watched.
type FileSource struct{ Path string }

// Run reads the file, and again whenever it changes. A file that does not parse changes nothing.
func (f FileSource) Run(ctx context.Context, told func(List), fault func(error)) {
	var last []byte
	index := uint64(0)
	read := func() {
		data, err := os.ReadFile(f.Path)
		if err != nil {
			fault(err)
			return
		}
		if last != nil && bytes.Equal(data, last) {
			return
		}
		l, err := ParseFile(f.Path, data)
		if err != nil {
			fault(err)
			return
		}
		last = data
		index++
		l.Index = index
		told(l)
	}
	w, err := fsnotify.NewWatcher()
	if err == nil {
		defer w.Close()
		// The folder, not the file: an editor or a rename puts another file in its place.
		err = w.Add(filepath.Dir(f.Path))
	}
	read()
	if err != nil {
		fault(fmt.Errorf("%s is not watched: %w", f.Path, err))
		<-ctx.Done()
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-w.Events:
			if filepath.Base(e.Name) == filepath.Base(f.Path) && !e.Has(fsnotify.Chmod) && !e.Has(fsnotify.Remove) {
				read()
			}
		case err := <-w.Errors:
			fault(err)
		}
	}
}
