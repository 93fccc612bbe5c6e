package cdr

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
)

// Audit is what Verify found. Everything but Unrated and Open is wrong.
type Audit struct {
	Records  uint64   `json:"records"` // in the store
	First    uint64   `json:"first_number"`
	Last     uint64   `json:"last_number"`
	Open     int      `json:"open_calls"` // marks: calls that stand, or that the next start closes
	Unrated  int      `json:"unrated"`
	Gaps     []uint64 `json:"gaps,omitempty"`    // numbers without a record
	Damaged  []string `json:"damaged,omitempty"` // records that cannot be read
	Doubled  []string `json:"doubled,omitempty"` // a call's version under two numbers, or in two exported places
	Mismatch []string `json:"mismatch,omitempty"`
	Batches  uint64   `json:"batches"`
	Exported uint64   `json:"exported"` // records in complete files
}

// Good tells whether nothing is wrong.
func (a *Audit) Good() bool {
	return len(a.Gaps)+len(a.Damaged)+len(a.Doubled)+len(a.Mismatch) == 0
}

// mostFindings bounds what one audit lists.
const mostFindings = 1000

func (a *Audit) mismatch(format string, args ...any) {
	if len(a.Mismatch) < mostFindings {
		a.Mismatch = append(a.Mismatch, fmt.Sprintf(format, args...))
	}
}

// Verify looks through all that is kept: numbers without gaps, each call's versions once and in order, marks only for
// calls without a record.
func Verify(k Store) (*Audit, error) {
	a := &Audit{}
	var err error
	if a.First, a.Last, err = numbers(k); err != nil {
		return nil, err
	}
	seen := map[string]uint64{}
	// One by one, not by a scan: a block that cannot be read must not hide what lies behind it.
	for n := a.First; n <= a.Last; n++ {
		r, found, err := ReadRecord(k, n)
		switch {
		case err != nil:
			if len(a.Damaged) < mostFindings {
				a.Damaged = append(a.Damaged, fmt.Sprintf("number %d: %v", n, err))
			}
			continue
		case !found:
			if len(a.Gaps) < mostFindings {
				a.Gaps = append(a.Gaps, n)
			}
			continue
		}
		a.Records++
		if _, newer, err := k.Get(IDKey(r.ID, r.Version+1)); !r.Charge.Rated() && (err != nil || !newer) {
			a.Unrated++
		}
		a.index(k, seen, r, n)
	}
	err = k.Scan([]byte{prefixMark}, nil, func(key, _ []byte) error {
		a.Open++
		if len(key) != 1+idSize {
			a.mismatch("mark %x names no call", key)
			return nil
		}
		id := decodeID(key[1:])
		if _, has, err := k.Get(IDKey(id, 1)); err == nil && has {
			a.mismatch("call %v has a record and is still marked as open", id)
		}
		return nil
	})
	return a, err
}

// index checks one record against the index of calls.
func (a *Audit) index(k Store, seen map[string]uint64, r *Record, n uint64) {
	name := fmt.Sprintf("%v/%d", r.ID, r.Version)
	if before, twice := seen[name]; twice {
		a.Doubled = append(a.Doubled, fmt.Sprintf("%s under numbers %d and %d", name, before, n))
	}
	seen[name] = n
	v, found, err := k.Get(IDKey(r.ID, r.Version))
	switch {
	case err != nil:
		a.mismatch("%s: its place in the index cannot be read: %v", name, err)
	case !found || len(v) != 8:
		a.mismatch("%s under number %d is not in the index", name, n)
	case binary.BigEndian.Uint64(v) != n:
		a.mismatch("%s lies under number %d, the index says %d", name, n, binary.BigEndian.Uint64(v))
	}
	if r.Version > 1 && seen[fmt.Sprintf("%v/%d", r.ID, r.Version-1)] == 0 && a.First == 1 {
		a.mismatch("%s comes before version %d", name, r.Version-1)
	}
}

// Files reads exported files by name.
type Files interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
}

// VerifyFiles looks through the exported files of a router: batches without gaps, whole files, no call's version twice,
// and every record that the store still holds and has confirmed. k may be nil: then the files are judged alone.
func (a *Audit) VerifyFiles(k Store, f Files, router uint32) error {
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
			a.mismatch("%v", err)
			continue
		}
		if m.Batch != next {
			a.mismatch("%s: batch %d comes where %d was due", name, m.Batch, next)
		}
		if m.From != number {
			a.mismatch("%s: begins with number %d, %d was due", name, m.From, number)
		}
		next, number = m.Batch+1, m.To+1
		a.Batches++
		a.file(f, k, m, seen)
	}
	return nil
}

// file checks one exported file against its manifest and the store.
func (a *Audit) file(f Files, k Store, m *Manifest, seen map[string]string) {
	content, err := f.Read(m.File)
	if err != nil {
		a.mismatch("%s: %v", m.File, err)
		return
	}
	if Checksum(content) != m.SHA256 || len(content) != m.Bytes {
		a.mismatch("%s: is not the file that its manifest tells of", m.File)
		return
	}
	ids, err := ReadIDs(m.Format, content)
	if err != nil {
		a.mismatch("%s: %v", m.File, err)
		return
	}
	if len(ids) != m.Count {
		a.mismatch("%s: %d records, %d by its manifest", m.File, len(ids), m.Count)
	}
	for _, id := range ids {
		if before, twice := seen[id]; twice {
			a.Doubled = append(a.Doubled, fmt.Sprintf("%s in %s and %s", id, before, m.File))
		}
		seen[id] = m.File
	}
	a.Exported += uint64(len(ids))
	if k == nil {
		return
	}
	for n := max(m.From, a.First); n <= m.To; n++ {
		if r, found, err := ReadRecord(k, n); err == nil && found && seen[fmt.Sprintf("%v/%d", r.ID, r.Version)] != m.File {
			a.mismatch("%s: call %v, version %d, number %d is not in it", m.File, r.ID, r.Version, n)
		}
	}
}
