package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/batchrepr"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// A log's end may be torn by a crash, and the database takes whatever cannot be read for that end. A bit that flipped
// in the middle of the last log would so take all behind it along, without a word. Chunks of the log carry how much of
// it was durable when they were written (record format of pebble, "WAL sync format"): one that lies behind what cannot
// be read, and says that this was durable, proves damage. Then what lies behind is put into the store again, and the
// damaged log is kept beside it.
const (
	chunkHeader = 19 // checksum 4, length 2, type 1, log number 4, durable offset 8
	chunkFirst  = 9  // types of such chunks: full, first, middle, last
	chunkLast   = 12
	logBlock    = 32 << 10

	rescuePrefix  = "rescue-"  // a damaged log whose batches are not back in the store yet
	damagedPrefix = "damaged-" // and afterwards, for whoever wants to look at it
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// chunk is one chunk of a log.
type chunk struct {
	kind    byte // 0 full, 1 first, 2 middle, 3 last
	durable uint64
	payload []byte
	end     int
}

// chunkAt reads the chunk at an offset; false if none is there.
func chunkAt(log []byte, number uint32, at int) (c chunk, ok bool) {
	if at+chunkHeader > len(log) || at%logBlock+chunkHeader > logBlock {
		return c, false
	}
	h := log[at:]
	kind, n := h[6], int(binary.LittleEndian.Uint16(h[4:]))
	c.end = at + chunkHeader + n
	if kind < chunkFirst || kind > chunkLast || binary.LittleEndian.Uint32(h[7:]) != number || c.end > len(log) ||
		at%logBlock+chunkHeader+n > logBlock {
		return c, false
	}
	sum := crc32.Checksum(log[at+6:c.end], castagnoli)
	if (sum>>15|sum<<17)+0xa282ead8 != binary.LittleEndian.Uint32(h) {
		return c, false
	}
	c.kind, c.durable, c.payload = kind-chunkFirst, binary.LittleEndian.Uint64(h[11:]), log[at+chunkHeader:c.end]
	return c, true
}

// examine looks for damage in a log: where it begins, -1 if there is none, and the batches that lie behind it.
func examine(log []byte, number uint32) (bad int, batches [][]byte) {
	bad = -1
	proven := false
	var whole []byte // of a batch in several chunks
	open := false
	for at := 0; at < len(log); {
		if rest := logBlock - at%logBlock; rest < chunkHeader {
			at += rest // too little for any chunk: filled up
			continue
		}
		c, ok := chunkAt(log, number, at)
		if !ok {
			if bad < 0 {
				bad = at
			}
			open = false
			at++ // byte by byte: lengths before here are not to be trusted
			continue
		}
		at = c.end
		if bad < 0 {
			continue
		}
		proven = proven || c.durable > uint64(bad)
		switch c.kind {
		case 0:
			batches = append(batches, c.payload)
		case 1:
			whole, open = append([]byte(nil), c.payload...), true
		default:
			if !open {
				continue // its beginning is what cannot be read
			}
			whole = append(whole, c.payload...)
			if c.kind == 3 {
				batches, open = append(batches, whole), false
			}
		}
	}
	if !proven {
		return -1, nil
	}
	return bad, batches
}

func readAll(fs vfs.FS, name string) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(f)
}

// WriteFileAtomic lets a file appear whole, in place of what had its name: under another one first, synced, then renamed, and
// the directory synced.
func WriteFileAtomic(fs vfs.FS, name string, content []byte) error {
	part := fs.PathJoin(fs.PathDir(name), "."+fs.PathBase(name)+".part")
	f, err := fs.Create(part, vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	if _, err = f.Write(append([]byte(nil), content...)); err == nil { // Write may change what it is given
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = fs.Rename(part, name)
	}
	if err == nil {
		err = SyncDir(fs, fs.PathDir(name))
	}
	return err
}

// logNumber is the number of a log by its file's name.
func logNumber(name string) (uint32, bool) {
	text, ok := strings.CutSuffix(name, ".log")
	n, err := strconv.ParseUint(text, 10, 32)
	return uint32(n), ok && err == nil
}

// checkLogs looks for damage in the logs of a store that is not open. For writing it puts damaged ones aside, to be
// put back by rescue; else damage is an error.
func checkLogs(fs vfs.FS, dir string, readOnly bool, told func(string)) error {
	names, err := fs.List(dir)
	if err != nil {
		return nil // there is none yet
	}
	for _, name := range names {
		number, ok := logNumber(name)
		if !ok {
			continue
		}
		path := fs.PathJoin(dir, name)
		log, err := readAll(fs, path)
		if err != nil {
			return err
		}
		bad, batches := examine(log, number)
		if bad < 0 {
			continue
		}
		text := fmt.Sprintf("%s: damaged at byte %d of %d; %d batches behind it can be read", path, bad, len(log), len(batches))
		if readOnly {
			return fmt.Errorf("%w: %s: opening it for writing puts them back", ErrDamaged, text)
		}
		told(text)
		if err := WriteFileAtomic(fs, fs.PathJoin(dir, rescuePrefix+name), log); err != nil {
			return err
		}
		if err := WriteFileAtomic(fs, path, log[:bad]); err != nil {
			return err
		}
	}
	return nil
}

// rescue puts the batches of logs that were put aside back into the open store. Of a key that is there the newer value
// stays: what was written in later logs is not undone.
func (s *Store) rescue() error {
	fs := s.opt.FS
	names, err := fs.List(s.opt.Dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		log, ok := strings.CutPrefix(name, rescuePrefix)
		number, isLog := logNumber(log)
		if !ok || !isLog {
			continue
		}
		path := fs.PathJoin(s.opt.Dir, name)
		content, err := readAll(fs, path)
		if err != nil {
			return err
		}
		_, batches := examine(content, number)
		for _, repr := range batches {
			if err := s.putBack(repr); err != nil {
				return err
			}
		}
		if err := fs.Rename(path, fs.PathJoin(s.opt.Dir, damagedPrefix+filepath.Base(log))); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) putBack(repr []byte) error {
	b := s.Batch()
	r := batchrepr.Read(repr)
	for {
		kind, key, value, ok, err := r.Next()
		if err != nil || !ok {
			break // what of it can be read is put back
		}
		_, has, err := s.Get(key)
		if err != nil {
			return err
		}
		switch kind {
		case pebble.InternalKeyKindSet:
			if !has {
				b.Set(key, value)
			}
		case pebble.InternalKeyKindDelete:
			b.Delete(key)
		}
	}
	return s.Commit(b)
}
