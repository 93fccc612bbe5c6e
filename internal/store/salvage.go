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

// A crash may leave an incomplete chunk at the end of the write-ahead log, so the database takes the first chunk that cannot
// be read for the end of the log. A bit flip in the middle of the last log would therefore silently lose everything after
// it. Each chunk holds how many bytes of the log were durable when it was written (pebble's "WAL sync format"). If a chunk
// after the unreadable part says that this part was durable, the log is damaged and not just incomplete. In that case the
// batches after the damage are applied to the store again, and a copy of the damaged log is kept in the store's directory.
const (
	chunkHeaderSize = 19       // bytes: checksum 4, length 2, type 1, log number 4, durable offset 8
	minChunkType    = 9        // type of a chunk that holds a full batch in the WAL sync format
	maxChunkType    = 12       // type of the last chunk of a batch; 10 is the first chunk and 11 a middle one
	logBlockSize    = 32 << 10 // bytes; no chunk crosses the boundary of a block

	salvagePrefix = "rescue-"  // of a damaged log whose batches are not yet applied to the store again
	damagedPrefix = "damaged-" // of a damaged log after that, kept for analysis
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// chunk is one chunk of a write-ahead log.
type chunk struct {
	kind    byte   // 0 full, 1 first, 2 middle, 3 last
	durable uint64 // bytes of the log that were durable when the chunk was written
	payload []byte
	end     int // offset of the byte after the chunk
}

// readChunk reads the chunk of a log at an offset; ok is false if there is no valid chunk. Checksums are masked CRC-32C, as
// in LevelDB's log format: rotated by 15 bits, plus a constant.
func readChunk(log []byte, number uint32, at int) (c chunk, ok bool) {
	if at+chunkHeaderSize > len(log) || at%logBlockSize+chunkHeaderSize > logBlockSize {
		return c, false
	}
	h := log[at:]
	kind, n := h[6], int(binary.LittleEndian.Uint16(h[4:]))
	c.end = at + chunkHeaderSize + n
	if kind < minChunkType || kind > maxChunkType || binary.LittleEndian.Uint32(h[7:]) != number || c.end > len(log) ||
		at%logBlockSize+chunkHeaderSize+n > logBlockSize {
		return c, false
	}
	sum := crc32.Checksum(log[at+6:c.end], castagnoli)
	if (sum>>15|sum<<17)+0xa282ead8 != binary.LittleEndian.Uint32(h) {
		return c, false
	}
	c.kind, c.durable, c.payload = kind-minChunkType, binary.LittleEndian.Uint64(h[11:]), log[at+chunkHeaderSize:c.end]
	return c, true
}

// findDamage looks for damage in a log. It returns the offset at which it begins, or -1 if there is none, and the batches
// after it that can be read.
func findDamage(log []byte, number uint32) (damagedAt int, batches [][]byte) {
	damagedAt = -1
	isDamage := false
	var joined []byte // payload of a batch in several chunks
	inBatch := false
	for at := 0; at < len(log); {
		if rest := logBlockSize - at%logBlockSize; rest < chunkHeaderSize {
			at += rest // padding: the rest of the block is too short for a chunk
			continue
		}
		c, ok := readChunk(log, number, at)
		if !ok {
			if damagedAt < 0 {
				damagedAt = at
			}
			inBatch = false
			at++ // search byte by byte, because a damaged length cannot be used
			continue
		}
		at = c.end
		if damagedAt < 0 {
			continue
		}
		isDamage = isDamage || c.durable > uint64(damagedAt)
		switch c.kind {
		case 0:
			batches = append(batches, c.payload)
		case 1:
			joined, inBatch = append([]byte(nil), c.payload...), true
		default:
			if !inBatch {
				continue // the first chunk of this batch is unreadable
			}
			joined = append(joined, c.payload...)
			if c.kind == 3 {
				batches, inBatch = append(batches, joined), false
			}
		}
	}
	if !isDamage {
		return -1, nil
	}
	return damagedAt, batches
}

// readAll returns the content of a file.
func readAll(fs vfs.FS, name string) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(f)
}

// WriteFileAtomic creates or replaces a file atomically and durably: it writes and syncs a temporary file in the same
// directory, renames it and syncs the directory.
func WriteFileAtomic(fs vfs.FS, name string, content []byte) error {
	temp := fs.PathJoin(fs.PathDir(name), "."+fs.PathBase(name)+".part")
	f, err := fs.Create(temp, vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	if _, err = f.Write(append([]byte(nil), content...)); err == nil { // a copy, because Write may change its argument
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = fs.Rename(temp, name)
	}
	if err == nil {
		err = SyncDir(fs, fs.PathDir(name))
	}
	return err
}

// logNumber returns the number of a log from its file name.
func logNumber(name string) (uint32, bool) {
	text, ok := strings.CutSuffix(name, ".log")
	n, err := strconv.ParseUint(text, 10, 32)
	return uint32(n), ok && err == nil
}

// checkLogs looks for damage in the logs of a store that is not open. If the store will be opened for writing, it copies
// damaged logs for salvageLogs and truncates them before the damage; otherwise damage is an error.
func checkLogs(fs vfs.FS, dir string, readOnly bool, onDamage func(string)) error {
	names, err := fs.List(dir)
	if err != nil {
		return nil // there is no store yet
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
		damagedAt, batches := findDamage(log, number)
		if damagedAt < 0 {
			continue
		}
		text := fmt.Sprintf("%s: damaged at byte %d of %d; %d batches after it can be read", path, damagedAt, len(log), len(batches))
		if readOnly {
			return fmt.Errorf("%w: %s; opening the store for writing restores them", ErrDamaged, text)
		}
		onDamage(text)
		if err := WriteFileAtomic(fs, fs.PathJoin(dir, salvagePrefix+name), log); err != nil {
			return err
		}
		if err := WriteFileAtomic(fs, path, log[:damagedAt]); err != nil {
			return err
		}
	}
	return nil
}

// salvageLogs applies the batches of logs that checkLogs has copied to the open store again. An existing value of a key is
// kept, because a later log may have written it.
func (s *Store) salvageLogs() error {
	fs := s.opt.FS
	names, err := fs.List(s.opt.Dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		logName, ok := strings.CutPrefix(name, salvagePrefix)
		number, isLog := logNumber(logName)
		if !ok || !isLog {
			continue
		}
		path := fs.PathJoin(s.opt.Dir, name)
		content, err := readAll(fs, path)
		if err != nil {
			return err
		}
		_, batches := findDamage(content, number)
		for _, repr := range batches {
			if err := s.reapplyBatch(repr); err != nil {
				return err
			}
		}
		if err := fs.Rename(path, fs.PathJoin(s.opt.Dir, damagedPrefix+filepath.Base(logName))); err != nil {
			return err
		}
	}
	return nil
}

// reapplyBatch applies an encoded batch, but does not overwrite keys that exist.
func (s *Store) reapplyBatch(repr []byte) error {
	b := s.Batch()
	r := batchrepr.Read(repr)
	for {
		kind, key, value, ok, err := r.Next()
		if err != nil || !ok {
			break // operations before an unreadable one are applied
		}
		_, exists, err := s.Get(key)
		if err != nil {
			return err
		}
		switch kind {
		case pebble.InternalKeyKindSet:
			if !exists {
				b.Set(key, value)
			}
		case pebble.InternalKeyKindDelete:
			b.Delete(key)
		}
	}
	return s.Commit(b)
}
