package cdr

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
)

// Audit is the result of Verify. All findings except Unrated and Open are errors.
type Audit struct {
	Records  uint64   `json:"records"` // in the store
	First    uint64   `json:"first_number"`
	Last     uint64   `json:"last_number"`
	Open     int      `json:"open_calls"` // open-call entries: standing calls, or calls that the next start closes
	Unrated  int      `json:"unrated"`
	Gaps     []uint64 `json:"gaps,omitempty"`     // numbers without a record
	Damaged  []string `json:"damaged,omitempty"`  // records that cannot be read
	Doubled  []string `json:"doubled,omitempty"`  // versions that are stored under two numbers or are in two exported files
	Mismatch []string `json:"mismatch,omitempty"` // contradictions between records, index, open-call entries and files
	Batches  uint64   `json:"batches"`
	Exported uint64   `json:"exported"` // records in complete files
}

// Good reports whether there are no errors.
func (a *Audit) Good() bool {
	return len(a.Gaps)+len(a.Damaged)+len(a.Doubled)+len(a.Mismatch) == 0
}

// maxFindings bounds each of the lists Gaps, Damaged and Mismatch of one audit.
const maxFindings = 1000

// addMismatch adds a formatted finding to Mismatch.
func (a *Audit) addMismatch(format string, args ...any) {
	if len(a.Mismatch) < maxFindings {
		a.Mismatch = append(a.Mismatch, fmt.Sprintf(format, args...))
	}
}

// Verify checks the whole store: the numbers have no gaps, each version of a call is stored once and in order, and only
// calls without a record have an open-call entry.
func Verify(store Store) (*Audit, error) {
	a := &Audit{}
	var err error
	if a.First, a.Last, err = numberRange(store); err != nil {
		return nil, err
	}
	seen := map[string]uint64{}
	// Read one by one rather than by a scan, since an unreadable block would hide the records after it.
	for n := a.First; n <= a.Last; n++ {
		r, found, err := ReadRecord(store, n)
		switch {
		case err != nil:
			if len(a.Damaged) < maxFindings {
				a.Damaged = append(a.Damaged, fmt.Sprintf("number %d: %v", n, err))
			}
			continue
		case !found:
			if len(a.Gaps) < maxFindings {
				a.Gaps = append(a.Gaps, n)
			}
			continue
		}
		a.Records++
		if _, newer, err := store.Get(IDKey(r.ID, r.Version+1)); !r.Charge.Rated() && (err != nil || !newer) {
			a.Unrated++
		}
		a.checkIndex(store, seen, r, n)
	}
	err = store.Scan([]byte{prefixOpenCall}, nil, func(key, _ []byte) error {
		a.Open++
		if len(key) != 1+idSize {
			a.addMismatch("open-call entry %x: key has no call id", key)
			return nil
		}
		id := decodeID(key[1:])
		if _, has, err := store.Get(IDKey(id, 1)); err == nil && has {
			a.addMismatch("call %v has a record but is still listed as open", id)
		}
		return nil
	})
	return a, err
}

// checkIndex checks the index entry of one record, and that it is stored after the version before it. The latter is checked
// only if no records were trimmed, because that version may have been.
func (a *Audit) checkIndex(store Store, seen map[string]uint64, r *Record, n uint64) {
	name := fmt.Sprintf("%v/%d", r.ID, r.Version)
	if before, twice := seen[name]; twice {
		a.Doubled = append(a.Doubled, fmt.Sprintf("%s under numbers %d and %d", name, before, n))
	}
	seen[name] = n
	v, found, err := store.Get(IDKey(r.ID, r.Version))
	switch {
	case err != nil:
		a.addMismatch("%s: index entry cannot be read: %v", name, err)
	case !found || len(v) != 8:
		a.addMismatch("%s under number %d is not in the index", name, n)
	case binary.BigEndian.Uint64(v) != n:
		a.addMismatch("%s is stored under number %d, but indexed as %d", name, n, binary.BigEndian.Uint64(v))
	}
	if r.Version > 1 && seen[fmt.Sprintf("%v/%d", r.ID, r.Version-1)] == 0 && a.First == 1 {
		a.addMismatch("%s is stored before version %d", name, r.Version-1)
	}
}

// Files reads exported files by name.
type Files interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
}

// VerifyFiles checks the exported files of a router: the batches have no gaps, the files are complete, no version of a call
// is exported twice, and every record that the store holds of the exported numbers is in its file. With a nil store only
// the files are checked.
func (a *Audit) VerifyFiles(store Store, f Files, router uint32) error {
	names, err := f.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	seen, next, number := map[string]string{}, uint64(1), uint64(1)
	prefix := fmt.Sprintf("cdr-%d-", router)
	for _, name := range names {
		if !strings.HasPrefix(name, prefix) || !strings.HasSuffix(name, ".json") {
			continue
		}
		text, err := f.Read(name)
		if err != nil {
			return err
		}
		m, err := ParseManifest(name, text)
		if err != nil {
			a.addMismatch("%v", err)
			continue
		}
		if m.Batch != next {
			a.addMismatch("%s: found batch %d, expected batch %d", name, m.Batch, next)
		}
		if m.From != number {
			a.addMismatch("%s: first record number is %d, expected %d", name, m.From, number)
		}
		next, number = m.Batch+1, m.To+1
		a.Batches++
		a.checkFile(f, store, m, seen)
	}
	return nil
}

// checkFile checks one exported file against its manifest and the store.
func (a *Audit) checkFile(f Files, store Store, m *Manifest, seen map[string]string) {
	content, err := f.Read(m.File)
	if err != nil {
		a.addMismatch("%s: %v", m.File, err)
		return
	}
	if Checksum(content) != m.SHA256 || len(content) != m.Bytes {
		a.addMismatch("%s: size or checksum differs from the manifest", m.File)
		return
	}
	ids, err := ReadIDs(m.Format, content)
	if err != nil {
		a.addMismatch("%s: %v", m.File, err)
		return
	}
	if len(ids) != m.Count {
		a.addMismatch("%s: file has %d records, manifest says %d", m.File, len(ids), m.Count)
	}
	for _, id := range ids {
		if before, twice := seen[id]; twice {
			a.Doubled = append(a.Doubled, fmt.Sprintf("%s in %s and %s", id, before, m.File))
		}
		seen[id] = m.File
	}
	a.Exported += uint64(len(ids))
	if store == nil {
		return
	}
	for n := max(m.From, a.First); n <= m.To; n++ {
		if r, found, err := ReadRecord(store, n); err == nil && found && seen[fmt.Sprintf("%v/%d", r.ID, r.Version)] != m.File {
			a.addMismatch("%s: call %v, version %d, number %d is missing from the file", m.File, r.ID, r.Version, n)
		}
	}
}
