package cdr

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"time"
)

// layout is the form of an encoded record; a reader refuses a later one.
const layout = 1

// Errors of Decode.
var (
	ErrChecksum      = errors.New("checksum does not fit")
	ErrUnknownLayout = errors.New("written in a later layout")
	ErrTruncated     = errors.New("cut short")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode appends a record: its layout, its fields in order as varints and counted strings, and a CRC-32C over all.
func (r *Record) Encode(b []byte) []byte {
	from := len(b)
	b = append(b, layout)
	b = r.ID.encode(b)
	b = binary.AppendUvarint(b, uint64(r.Version))
	b = append(b, byte(r.End), r.Cause, byte(r.EndSource), flag(r.Transit))
	for _, s := range [...]string{r.Class, r.Tenant, r.Called, r.Calling, r.User, r.Context, r.Front} {
		b = putString(b, s)
	}
	for _, n := range [...]int{r.Circuit, r.Origin, r.Dest, r.Width} {
		b = binary.AppendVarint(b, int64(n))
	}
	for _, t := range [...]time.Time{r.Offered, r.Answered, r.Ended, r.LastSeen} {
		b = putTime(b, t)
	}
	for _, d := range [...]time.Duration{r.SetUp, r.Duration, r.ClockStep} {
		b = binary.AppendVarint(b, int64(d))
	}
	b = binary.AppendUvarint(b, uint64(len(r.Attempts)))
	for i := range r.Attempts {
		a := &r.Attempts[i]
		b = binary.AppendVarint(b, int64(a.Exchange))
		b = append(b, flag(a.Tandem), a.Cause)
		b = putString(putString(b, a.Front), a.Outcome)
		b = binary.AppendVarint(b, int64(a.Circuit))
		b = binary.AppendVarint(b, int64(a.After))
		b = binary.AppendVarint(b, int64(a.Took))
	}
	c := &r.Charge
	for _, s := range [...]string{c.Tariff, c.Amount, c.Currency, c.Note} {
		b = putString(b, s)
	}
	b = binary.AppendVarint(b, int64(c.Billed))
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b[from:], castagnoli))
}

func (id ID) encode(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, id.Router)
	b = binary.BigEndian.AppendUint32(b, id.Incarnation)
	return binary.BigEndian.AppendUint64(b, id.Call)
}

const idSize = 16

func decodeID(b []byte) ID {
	return ID{binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:]), binary.BigEndian.Uint64(b[8:])}
}

func flag(on bool) byte {
	if on {
		return 1
	}
	return 0
}

func putString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// noTime stands for a time that is not known.
const noTime = math.MinInt64

func putTime(b []byte, t time.Time) []byte {
	if t.IsZero() {
		return binary.AppendVarint(b, noTime)
	}
	return binary.AppendVarint(b, t.UnixNano())
}

// reader takes fields off an encoded record; after the first that does not fit all are zero.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if r.bad || n < 0 || n > len(r.b) {
		r.bad = true
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) byte() byte {
	if v := r.take(1); v != nil {
		return v[0]
	}
	return 0
}

func (r *reader) unsigned() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.take(n)
	return v
}

func (r *reader) signed() int64 {
	v, n := binary.Varint(r.b)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.take(n)
	return v
}

func (r *reader) string() string {
	n := r.unsigned()
	if n > uint64(len(r.b)) {
		r.bad = true
		return ""
	}
	return string(r.take(int(n)))
}

func (r *reader) time() time.Time {
	n := r.signed()
	if n == noTime || r.bad {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}

// Decode reads an encoded record; it takes all of b.
func Decode(b []byte) (*Record, error) {
	if len(b) < 5 {
		return nil, ErrTruncated
	}
	body := b[:len(b)-4]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[len(b)-4:]) {
		return nil, ErrChecksum
	}
	if body[0] != layout {
		return nil, fmt.Errorf("%w: %d, this program knows %d", ErrUnknownLayout, body[0], layout)
	}
	d := &reader{b: body[1:]}
	r := &Record{}
	if id := d.take(idSize); id != nil {
		r.ID = decodeID(id)
	}
	r.Version = uint16(d.unsigned())
	r.End, r.Cause, r.EndSource, r.Transit = End(d.byte()), d.byte(), EndSource(d.byte()), d.byte() != 0
	for _, s := range [...]*string{&r.Class, &r.Tenant, &r.Called, &r.Calling, &r.User, &r.Context, &r.Front} {
		*s = d.string()
	}
	for _, n := range [...]*int{&r.Circuit, &r.Origin, &r.Dest, &r.Width} {
		*n = int(d.signed())
	}
	for _, t := range [...]*time.Time{&r.Offered, &r.Answered, &r.Ended, &r.LastSeen} {
		*t = d.time()
	}
	for _, n := range [...]*time.Duration{&r.SetUp, &r.Duration, &r.ClockStep} {
		*n = time.Duration(d.signed())
	}
	for n := d.unsigned(); n > 0 && !d.bad; n-- {
		a := Attempt{Exchange: int(d.signed()), Tandem: d.byte() != 0, Cause: d.byte()}
		a.Front, a.Outcome = d.string(), d.string()
		a.Circuit, a.After, a.Took = int(d.signed()), time.Duration(d.signed()), time.Duration(d.signed())
		r.Attempts = append(r.Attempts, a)
	}
	c := &r.Charge
	for _, s := range [...]*string{&c.Tariff, &c.Amount, &c.Currency, &c.Note} {
		*s = d.string()
	}
	c.Billed = time.Duration(d.signed())
	if d.bad || len(d.b) != 0 {
		return nil, ErrTruncated
	}
	return r, nil
}
