package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"testing"
)

// appendChunk appends a chunk to a log in the database's format; kind 0 is a full batch.
func appendChunk(log []byte, number uint32, kind byte, durable uint64, payload []byte) []byte {
	if rest := logBlockSize - len(log)%logBlockSize; rest < chunkHeaderSize {
		log = append(log, make([]byte, rest)...)
	}
	h := make([]byte, chunkHeaderSize)
	binary.LittleEndian.PutUint16(h[4:], uint16(len(payload)))
	h[6] = minChunkType + kind
	binary.LittleEndian.PutUint32(h[7:], number)
	binary.LittleEndian.PutUint64(h[11:], durable)
	sum := crc32.Update(crc32.Checksum(h[6:], castagnoli), castagnoli, payload)
	binary.LittleEndian.PutUint32(h, (sum>>15|sum<<17)+0xa282ead8)
	return append(append(log, h...), payload...)
}

// Padding of any length at the end of a block is not damage, nor is an incomplete chunk at the end of the log. A flipped bit
// is damage if a chunk after it says that it was durable.
func TestFindDamage(t *testing.T) {
	for rest := range 2 * chunkHeaderSize {
		if rest >= chunkHeaderSize && rest < chunkHeaderSize+len("third") {
			continue // the database would split the batch into two chunks
		}
		var log []byte
		log = appendChunk(log, 7, 0, 0, bytes.Repeat([]byte{1}, logBlockSize-2*chunkHeaderSize-100-rest))
		first := len(log)
		log = appendChunk(log, 7, 0, uint64(first), bytes.Repeat([]byte{2}, 100))
		second := len(log)
		log = appendChunk(log, 7, 0, uint64(second), []byte("third"))
		log = appendChunk(log, 7, 0, uint64(len(log)), []byte("fourth"))
		if damagedAt, _ := findDamage(log, 7); damagedAt >= 0 {
			t.Errorf("%d bytes left in the block: damage at %d of %d", rest, damagedAt, len(log))
		}
		log[first+chunkHeaderSize+5] ^= 4
		damagedAt, after := findDamage(log, 7)
		if damagedAt != first || len(after) != 2 || string(after[0]) != "third" || string(after[1]) != "fourth" {
			t.Errorf("%d bytes left: damage at %d, want %d; %q after it", rest, damagedAt, first, after)
		}
		if damagedAt, _ := findDamage(log[:second], 7); damagedAt >= 0 {
			t.Errorf("%d bytes left: an incomplete end is taken for damage at %d", rest, damagedAt)
		}
		if damagedAt, _ := findDamage(log, 8); damagedAt >= 0 {
			t.Error("chunks of another log are accepted")
		}
	}
}
