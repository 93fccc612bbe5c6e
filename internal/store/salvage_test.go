package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"testing"
)

// appendChunk writes a chunk as the database does; kind 0 is a whole batch.
func appendChunk(log []byte, number uint32, kind byte, durable uint64, payload []byte) []byte {
	if rest := logBlock - len(log)%logBlock; rest < chunkHeader {
		log = append(log, make([]byte, rest)...)
	}
	h := make([]byte, chunkHeader)
	binary.LittleEndian.PutUint16(h[4:], uint16(len(payload)))
	h[6] = chunkFirst + kind
	binary.LittleEndian.PutUint32(h[7:], number)
	binary.LittleEndian.PutUint64(h[11:], durable)
	sum := crc32.Update(crc32.Checksum(h[6:], castagnoli), castagnoli, payload)
	binary.LittleEndian.PutUint32(h, (sum>>15|sum<<17)+0xa282ead8)
	return append(append(log, h...), payload...)
}

// The end of a block is too short for a chunk in every possible way: that is no damage. A flipped bit is, wherever
// what lies behind says that it was durable; what was torn is not.
func TestExamine(t *testing.T) {
	for rest := range 2 * chunkHeader {
		if rest >= chunkHeader && rest < chunkHeader+len("third") {
			continue // the database would write it in two pieces
		}
		var log []byte
		log = appendChunk(log, 7, 0, 0, bytes.Repeat([]byte{1}, logBlock-2*chunkHeader-100-rest))
		first := len(log)
		log = appendChunk(log, 7, 0, uint64(first), bytes.Repeat([]byte{2}, 100))
		second := len(log)
		log = appendChunk(log, 7, 0, uint64(second), []byte("third"))
		log = appendChunk(log, 7, 0, uint64(len(log)), []byte("fourth"))
		if bad, _ := examine(log, 7); bad >= 0 {
			t.Errorf("%d bytes left in the block: damage at %d of %d", rest, bad, len(log))
		}
		log[first+chunkHeader+5] ^= 4
		bad, behind := examine(log, 7)
		if bad != first || len(behind) != 2 || string(behind[0]) != "third" || string(behind[1]) != "fourth" {
			t.Errorf("%d bytes left: damage at %d, want %d; %q behind it", rest, bad, first, behind)
		}
		if bad, _ := examine(log[:second], 7); bad >= 0 {
			t.Errorf("%d bytes left: a torn end is damage at %d", rest, bad)
		}
		if bad, _ := examine(log, 8); bad >= 0 {
			t.Error("chunks of an older log count")
		}
	}
}
