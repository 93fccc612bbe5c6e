package cdr

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"time"
)

// layoutVersion is the version of the record encoding. Decode rejects any other.
const layoutVersion = 1

// Errors of Decode.
var (
	// ErrChecksum means that the record's checksum is wrong.
	ErrChecksum = errors.New("checksum mismatch")
	// ErrUnknownLayout means that the record was written in a layout that this version does not know.
	ErrUnknownLayout = errors.New("unknown record layout")
	// ErrMalformed means that the record ends before its last field or continues after it.
	ErrMalformed = errors.New("record length does not match its fields")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode appends the encoded record to b: layout version, fields in order as varints and length-prefixed
// strings, and a CRC-32C over all of it.
func (r *Record) Encode(b []byte) []byte {
	start := len(b)
	b = append(b, layoutVersion)
	b = r.ID.encode(b)
	b = binary.AppendUvarint(b, uint64(r.Version))
	b = append(b, byte(r.End), r.Cause, byte(r.EndSource), boolByte(r.Transit))
	for _, s := range [...]string{r.Class, r.Tenant, r.Called, r.Calling, r.User, r.Context, r.Front} {
		b = appendString(b, s)
	}
	for _, n := range [...]int{r.Circuit, r.Origin, r.Dest, r.Width} {
		b = binary.AppendVarint(b, int64(n))
	}
	for _, t := range [...]time.Time{r.Offered, r.Answered, r.Ended, r.LastSeen} {
		b = appendTime(b, t)
	}
	for _, d := range [...]time.Duration{r.SetUp, r.Duration, r.ClockStep} {
		b = binary.AppendVarint(b, int64(d))
	}
	b = binary.AppendUvarint(b, uint64(len(r.Attempts)))
	for i := range r.Attempts {
		a := &r.Attempts[i]
		b = binary.AppendVarint(b, int64(a.Exchange))
		b = append(b, boolByte(a.Tandem), a.Cause)
		b = appendString(appendString(b, a.Front), a.Outcome)
		b = binary.AppendVarint(b, int64(a.Circuit))
		b = binary.AppendVarint(b, int64(a.After))
		b = binary.AppendVarint(b, int64(a.Duration))
	}
	c := &r.Charge
	for _, s := range [...]string{c.Tariff, c.Amount, c.Currency, c.Note} {
		b = appendString(b, s)
	}
	b = binary.AppendVarint(b, int64(c.Billed))
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
}

// encode appends the ID in idSize bytes, which sort as the IDs do.
func (id ID) encode(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, id.Router)
	b = binary.BigEndian.AppendUint32(b, id.Incarnation)
	return binary.BigEndian.AppendUint64(b, id.Call)
}

const idSize = 16 // bytes of an encoded ID

// decodeID decodes an ID from the first idSize bytes of b.
func decodeID(b []byte) ID {
	return ID{binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:]), binary.BigEndian.Uint64(b[8:])}
}

func boolByte(on bool) byte {
	if on {
		return 1
	}
	return 0
}

// appendString appends the length of a string as a varint, then the string.
func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// unknownTime is the encoding of the zero time, which stands for an unknown time.
const unknownTime = math.MinInt64

// appendTime appends a time as nanoseconds since 1970, as a varint.
func appendTime(b []byte, t time.Time) []byte {
	if t.IsZero() {
		return binary.AppendVarint(b, unknownTime)
	}
	return binary.AppendVarint(b, t.UnixNano())
}

// fieldReader reads the fields of an encoded record. After a malformed one all fields read as zero.
type fieldReader struct {
	b         []byte
	malformed bool
}

// take returns the next n bytes, or nil if there are fewer.
func (r *fieldReader) take(n int) []byte {
	if r.malformed || n < 0 || n > len(r.b) {
		r.malformed = true
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *fieldReader) byte() byte {
	if v := r.take(1); v != nil {
		return v[0]
	}
	return 0
}

func (r *fieldReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.malformed = true
		return 0
	}
	r.take(n)
	return v
}

func (r *fieldReader) varint() int64 {
	v, n := binary.Varint(r.b)
	if n <= 0 {
		r.malformed = true
		return 0
	}
	r.take(n)
	return v
}

func (r *fieldReader) string() string {
	n := r.uvarint()
	if n > uint64(len(r.b)) {
		r.malformed = true
		return ""
	}
	return string(r.take(int(n)))
}

func (r *fieldReader) time() time.Time {
	n := r.varint()
	if n == unknownTime || r.malformed {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}

// Decode reads an encoded record. The record must fill all of b.
func Decode(b []byte) (*Record, error) {
	if len(b) < 5 {
		return nil, ErrMalformed
	}
	body := b[:len(b)-4]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[len(b)-4:]) {
		return nil, ErrChecksum
	}
	if body[0] != layoutVersion {
		return nil, fmt.Errorf("%w: version %d, supported is %d", ErrUnknownLayout, body[0], layoutVersion)
	}
	d := &fieldReader{b: body[1:]}
	r := &Record{}
	if id := d.take(idSize); id != nil {
		r.ID = decodeID(id)
	}
	r.Version = uint16(d.uvarint())
	r.End, r.Cause, r.EndSource, r.Transit = End(d.byte()), d.byte(), EndSource(d.byte()), d.byte() != 0
	for _, s := range [...]*string{&r.Class, &r.Tenant, &r.Called, &r.Calling, &r.User, &r.Context, &r.Front} {
		*s = d.string()
	}
	for _, n := range [...]*int{&r.Circuit, &r.Origin, &r.Dest, &r.Width} {
		*n = int(d.varint())
	}
	for _, t := range [...]*time.Time{&r.Offered, &r.Answered, &r.Ended, &r.LastSeen} {
		*t = d.time()
	}
	for _, n := range [...]*time.Duration{&r.SetUp, &r.Duration, &r.ClockStep} {
		*n = time.Duration(d.varint())
	}
	for n := d.uvarint(); n > 0 && !d.malformed; n-- {
		a := Attempt{Exchange: int(d.varint()), Tandem: d.byte() != 0, Cause: d.byte()}
		a.Front, a.Outcome = d.string(), d.string()
		a.Circuit, a.After, a.Duration = int(d.varint()), time.Duration(d.varint()), time.Duration(d.varint())
		r.Attempts = append(r.Attempts, a)
	}
	c := &r.Charge
	for _, s := range [...]*string{&c.Tariff, &c.Amount, &c.Currency, &c.Note} {
		*s = d.string()
	}
	c.Billed = time.Duration(d.varint())
	if d.malformed || len(d.b) != 0 {
		return nil, ErrMalformed
	}
	return r, nil
}
