// Package wire encodes and decodes the simulator's wire protocol: frames, their records and the settings text.
package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

// Sizes of the fixed parts of a frame, in bytes.
const (
	eventSize   = 56
	actionSize  = 24
	entrySize   = 25
	batchHeader = 16
)

// Codes of events, as in the protocol's specification.
const (
	// OpResult reports the end of an attempt.
	OpResult uint8 = iota
	// OpStreaming reports that an attempt set up its call.
	OpStreaming
	// OpTable carries a numbered table of list entries for later Sync events.
	OpTable
	// OpDatagram carries a message from another proxy.
	OpDatagram
	// OpDue reports that a timer expired.
	OpDue
	// OpShutdown ends an instance.
	OpShutdown
	// OpClientLeft reports that a caller abandoned its call.
	OpClientLeft
	// OpProbeResult reports the result of a Test.
	OpProbeResult
	// OpSync reports the exchange list or its changes.
	OpSync
	// OpSubmit offers a call.
	OpSubmit
	// OpHello starts an instance with its settings.
	OpHello
)

// Codes of actions, as in the protocol's specification.
const (
	// OpPlace sends a call to a switch.
	OpPlace uint8 = iota + 64
	// OpShed refuses a call.
	OpShed
	// OpEndFailed ends a call as failed.
	OpEndFailed
	// OpDropAttempt cancels an attempt.
	OpDropAttempt
	// OpSleep starts a timer.
	OpSleep
	// OpTest probes a switch.
	OpTest
	// OpCloseIdle closes idle connections to a switch.
	OpCloseIdle
	// OpWritePeer sends a message to another proxy.
	OpWritePeer
	// OpJournalLine writes a line to the log.
	OpJournalLine
	// OpPanic reports that an instance panicked.
	OpPanic
	// OpStreamChanges subscribes to list changes or unsubscribes.
	OpStreamChanges
	// OpReload requests the list once.
	OpReload
)

// Bits of Event.Attrs.
const (
	// AttrRedial marks a call whose caller tried before.
	AttrRedial = 2
	// AttrTransit marks a transit call.
	AttrTransit = 8
	// AttrWasCut marks a call that was cut and is submitted again.
	AttrWasCut = 16
)

// Addr is a switch's address: four address bytes and a port, kept unchanged.
type Addr [6]byte

// Stats are the values of a load report.
type Stats struct {
	N uint8
	V [4]float32
}

// Entry is one entry of a Table, the simulator's form of an exchange list.
type Entry struct {
	Switch            Addr
	Hall, Kind, Point uint16
	Phase             uint8
	Rating            float32
	ReadyAt           float64
}

// Event is one event record. Op determines which of the other fields are in use.
type Event struct {
	Op       uint8
	Proxy    uint32
	ID       uint32
	Attempt  uint16
	Switch   Addr
	How      uint16
	Duration float64
	Ended    uint8
	Cause    uint32
	Stats    Stats
	Cookie   uint64
	Sender   uint32
	Blob     []byte // Datagram payload or settings text
	Entropy  uint64
	Scope    uint8
	Version  uint64
	Buffer   uint16
	Elements []Entry
	Priority uint16
	Party    uint16
	RouteKey uint64
	Grace    float64
	Effort   float64
	Dest     float32
	Units    float32
	Through  float32
	Attrs    uint16
}

// Action is one action record. Op determines which of the other fields are in use.
type Action struct {
	Op       uint8
	Proxy    uint32
	ID       uint32
	Switch   Addr
	TryFor   float64
	Attempt  uint16
	SleepFor float64
	Cookie   uint64
	CoolDown float64
	Dst      uint32
	Blob     []byte
	Active   uint8
}

// Batch is one decoded frame of events. Its clock is in seconds.
type Batch struct {
	Clock  float64
	Events []Event
}

// fields reads or writes the fields of one record in order, so that each layout is defined once for both.
type fields struct {
	b      []byte
	offset int
	write  bool
	tail   []byte
	err    error
}

func (f *fields) next(n int) []byte {
	f.offset += n
	return f.b[f.offset-n : f.offset]
}

func (f *fields) u8(p *uint8) {
	if b := f.next(1); f.write {
		b[0] = *p
	} else {
		*p = b[0]
	}
}

func (f *fields) u16(p *uint16) {
	if b := f.next(2); f.write {
		binary.LittleEndian.PutUint16(b, *p)
	} else {
		*p = binary.LittleEndian.Uint16(b)
	}
}

func (f *fields) u32(p *uint32) {
	if b := f.next(4); f.write {
		binary.LittleEndian.PutUint32(b, *p)
	} else {
		*p = binary.LittleEndian.Uint32(b)
	}
}

func (f *fields) u64(p *uint64) {
	if b := f.next(8); f.write {
		binary.LittleEndian.PutUint64(b, *p)
	} else {
		*p = binary.LittleEndian.Uint64(b)
	}
}

func (f *fields) f32(p *float32) {
	v := math.Float32bits(*p)
	f.u32(&v)
	*p = math.Float32frombits(v)
}

func (f *fields) f64(p *float64) {
	v := math.Float64bits(*p)
	f.u64(&v)
	*p = math.Float64frombits(v)
}

func (f *fields) addr(p *Addr) {
	if b := f.next(6); f.write {
		copy(b, p[:])
	} else {
		copy(p[:], b)
	}
}

func (f *fields) stats(p *Stats) {
	f.u8(&p.N)
	for i := range p.V {
		f.f32(&p.V[i])
	}
	if p.N > 4 && f.err == nil {
		f.err = fmt.Errorf("load report of %d values, at most 4 allowed", p.N)
	}
}

// span reads or writes the reference to count items of a size in the tail, and returns their bytes when
// reading.
func (f *fields) span(count, item int) []byte {
	off, n := uint32(len(f.tail)), uint32(count)
	f.u32(&off)
	f.u32(&n)
	if f.write {
		return nil
	}
	end := uint64(off) + uint64(n)*uint64(item)
	if end > uint64(len(f.tail)) {
		if f.err == nil {
			f.err = fmt.Errorf("tail reference to bytes %d to %d, but the tail has %d", off, end, len(f.tail))
		}
		return nil
	}
	return f.tail[off:end]
}

func (f *fields) blob(p *[]byte) {
	got := f.span(len(*p), 1)
	if f.write {
		f.tail = append(f.tail, *p...)
	} else {
		*p = got
	}
}

func (f *fields) entries(p *[]Entry) {
	got := f.span(len(*p), entrySize)
	if f.write {
		for i := range *p {
			e := fields{b: make([]byte, entrySize), write: true}
			e.entry(&(*p)[i])
			f.tail = append(f.tail, e.b...)
		}
		return
	}
	*p = make([]Entry, len(got)/entrySize)
	for i := range *p {
		e := fields{b: got[i*entrySize:]}
		e.entry(&(*p)[i])
	}
}

func (f *fields) entry(e *Entry) {
	f.addr(&e.Switch)
	f.u16(&e.Hall)
	f.u16(&e.Kind)
	f.u16(&e.Point)
	f.u8(&e.Phase)
	f.f32(&e.Rating)
	f.f64(&e.ReadyAt)
}

func (f *fields) event(e *Event) {
	f.u8(&e.Op)
	if e.Op == OpTable {
		f.u16(&e.Buffer)
		f.entries(&e.Elements)
		return
	}
	f.u32(&e.Proxy)
	switch e.Op {
	case OpResult, OpStreaming:
		f.u32(&e.ID)
		f.u16(&e.Attempt)
		f.addr(&e.Switch)
		if e.Op == OpStreaming {
			f.f64(&e.Duration)
			return
		}
		f.u16(&e.How)
		f.f64(&e.Duration)
		f.u8(&e.Ended)
		f.u32(&e.Cause)
		f.stats(&e.Stats)
	case OpDatagram:
		f.u32(&e.Sender)
		f.blob(&e.Blob)
	case OpDue:
		f.u64(&e.Cookie)
	case OpShutdown:
	case OpClientLeft:
		f.u32(&e.ID)
	case OpProbeResult:
		f.addr(&e.Switch)
		f.u16(&e.How)
		f.f64(&e.Duration)
		f.stats(&e.Stats)
	case OpSync:
		f.u8(&e.Scope)
		f.u64(&e.Version)
		f.u16(&e.Buffer)
	case OpSubmit:
		f.u32(&e.ID)
		f.u16(&e.Priority)
		f.u16(&e.Party)
		f.u64(&e.RouteKey)
		f.f64(&e.Grace)
		f.f64(&e.Effort)
		f.f32(&e.Dest)
		f.f32(&e.Units)
		f.f32(&e.Through)
		f.u16(&e.Attrs)
	case OpHello:
		f.u64(&e.Entropy)
		f.blob(&e.Blob)
	default:
		f.err = fmt.Errorf("unknown event code %d", e.Op)
	}
}

func (f *fields) action(a *Action) {
	f.u8(&a.Op)
	f.u32(&a.Proxy)
	switch a.Op {
	case OpPlace:
		f.u32(&a.ID)
		f.addr(&a.Switch)
		f.f64(&a.TryFor)
	case OpShed:
		f.u32(&a.ID)
		f.f64(&a.CoolDown)
	case OpEndFailed:
		f.u32(&a.ID)
	case OpDropAttempt:
		f.u32(&a.ID)
		f.u16(&a.Attempt)
	case OpSleep:
		f.f64(&a.SleepFor)
		f.u64(&a.Cookie)
	case OpTest, OpCloseIdle:
		f.addr(&a.Switch)
	case OpWritePeer:
		f.u32(&a.Dst)
		f.blob(&a.Blob)
	case OpJournalLine, OpPanic:
		f.blob(&a.Blob)
	case OpStreamChanges:
		f.u8(&a.Active)
	case OpReload:
	default:
		f.err = fmt.Errorf("unknown action code %d", a.Op)
	}
}

// ReadBatch reads and decodes one frame. At the end of input, before any byte of a frame, it returns io.EOF
// itself.
func ReadBatch(r io.Reader) (Batch, error) {
	var h [batchHeader]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		if err == io.EOF {
			return Batch{}, err
		}
		return Batch{}, fmt.Errorf("frame header: %w", err)
	}
	count := binary.LittleEndian.Uint32(h[0:])
	size := binary.LittleEndian.Uint32(h[4:])
	clock := math.Float64frombits(binary.LittleEndian.Uint64(h[8:]))
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, fmt.Errorf("frame header: clock is %v, not a finite number", clock)
	}
	if uint64(count)*eventSize > uint64(size) {
		return Batch{}, fmt.Errorf("frame header: %d records do not fit into a body of %d bytes", count, size)
	}
	var body bytes.Buffer // grows with the bytes received, not with the size in the header
	if n, err := io.CopyN(&body, r, int64(size)); err != nil {
		return Batch{}, fmt.Errorf("frame body: %d of %d bytes read: %w", n, size, err)
	}
	return decodeBody(clock, int(count), body.Bytes())
}

func decodeBody(clock float64, count int, body []byte) (Batch, error) {
	out := Batch{Clock: clock, Events: make([]Event, count)}
	tail := body[count*eventSize:]
	for i := range out.Events {
		f := fields{b: body[i*eventSize : (i+1)*eventSize], tail: tail}
		f.event(&out.Events[i])
		if f.err != nil {
			return Batch{}, fmt.Errorf("record %d of %d (code %d): %w", i, count, f.b[0], f.err)
		}
	}
	return out, nil
}

// AppendBatch appends the frame of a batch to dst.
func AppendBatch(dst []byte, b Batch) ([]byte, error) {
	recs := make([]byte, len(b.Events)*eventSize)
	var tail []byte
	for i := range b.Events {
		f := fields{b: recs[i*eventSize : (i+1)*eventSize], write: true, tail: tail}
		f.event(&b.Events[i])
		if f.err != nil {
			return nil, fmt.Errorf("event %d: %w", i, f.err)
		}
		tail = f.tail
	}
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(b.Events)))
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(recs)+len(tail)))
	dst = binary.LittleEndian.AppendUint64(dst, math.Float64bits(b.Clock))
	return append(append(dst, recs...), tail...), nil
}

// AppendReply appends the frame of a reply to dst.
func AppendReply(dst []byte, actions []Action) ([]byte, error) {
	recs := make([]byte, len(actions)*actionSize)
	var tail []byte
	for i := range actions {
		f := fields{b: recs[i*actionSize : (i+1)*actionSize], write: true, tail: tail}
		f.action(&actions[i])
		if f.err != nil {
			return nil, fmt.Errorf("action %d: %w", i, f.err)
		}
		tail = f.tail
	}
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(recs)+len(tail)))
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(actions)))
	return append(append(dst, recs...), tail...), nil
}
