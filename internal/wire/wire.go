// Package wire encodes and decodes the simulator's wire protocol: frames, their records and the settings text.
//
// A frame is a header, records of fixed size and a tail. Data of variable length lies in the tail; a record refers
// to it by offset and length. Names follow the protocol's specification, comments give the router's term.
package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

// Sizes of the frame header, of each kind of record and of a table entry in the tail, in bytes.
const (
	eventSize       = 56
	actionSize      = 24
	entrySize       = 25
	batchHeaderSize = 16
)

// Codes of events, as in the protocol's specification.
const (
	// OpResult reports the end of an attempt.
	OpResult uint8 = iota
	// OpStreaming reports that an attempt set up its call.
	OpStreaming
	// OpTable carries a numbered table of exchange list entries, to which later OpSync events refer.
	OpTable
	// OpDatagram carries a message from another proxy.
	OpDatagram
	// OpDue reports that a timer expired.
	OpDue
	// OpShutdown ends an instance.
	OpShutdown
	// OpClientLeft reports that a caller abandoned its call.
	OpClientLeft
	// OpProbeResult reports the result of an OpTest.
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
	// OpPlace sends the set-up of a call to a switch.
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
	// OpStreamChanges subscribes to changes of the exchange list, or unsubscribes.
	OpStreamChanges
	// OpReload requests the exchange list once.
	OpReload
)

// Bits of Event.Attrs.
const (
	// AttrRedial marks a redial: the caller tried this call before.
	AttrRedial = 2
	// AttrTransit marks a transit call.
	AttrTransit = 8
	// AttrWasCut marks a standing call that was cut and is offered again.
	AttrWasCut = 16
)

// Addr is a switch's address: four address bytes and a port, kept unchanged.
type Addr [6]byte

// Stats are the values of a load report. Their names are in the settings (InstanceSettings.ReportFields).
type Stats struct {
	N uint8 // number of values in V that are in use
	V [4]float32
}

// Entry is one entry of an OpTable, the simulator's form of an exchange list. The router does not use Kind and
// Rating.
type Entry struct {
	Switch            Addr
	Hall, Kind, Point uint16 // Hall: zone; Point: number of the exchange or pool
	Phase             uint8  // as decide.Phase
	Rating            float32
	ReadyAt           float64 // start time in seconds
}

// Event is one event record. Op determines which of the other fields are in use. Times are in seconds. The router
// does not use Version and Effort.
type Event struct {
	Op       uint8
	Proxy    uint32 // number of the instance
	ID       uint32 // call
	Attempt  uint16 // number of the attempt of the call
	Switch   Addr
	How      uint16 // outcome, as decide.Outcome
	Duration float64
	Ended    uint8 // not 0 if the call no longer needs an answer
	Cause    uint32
	Stats    Stats
	Cookie   uint64 // timer token
	Sender   uint32 // proxy that sent a datagram
	Blob     []byte // Datagram payload or settings text
	Entropy  uint64 // seed of the instance
	Scope    uint8  // kind of list update, as decide.ListKind
	Version  uint64
	Buffer   uint16  // number of the table
	Elements []Entry // entries of the table
	Priority uint16  // index of the class
	Party    uint16  // index of the tenant
	RouteKey uint64  // called number
	Grace    float64 // patience of the caller
	Effort   float64
	Dest     float32 // number of the exchange called
	Units    float32 // width: circuits on each group
	Through  float32 // advised tandem; of a transit call the exchange that it comes from
	Attrs    uint16  // bits, see AttrRedial
}

// Action is one action record. Op determines which of the other fields are in use. Times are in seconds.
type Action struct {
	Op       uint8
	Proxy    uint32 // number of the instance
	ID       uint32 // call
	Switch   Addr
	TryFor   float64 // timeout of the attempt
	Attempt  uint16
	SleepFor float64 // time until the timer expires
	Cookie   uint64  // timer token
	CoolDown float64 // retry-after
	Dst      uint32  // proxy that a datagram is for
	Blob     []byte  // datagram payload or text
	Active   uint8   // 1 subscribes, 0 unsubscribes
}

// Batch is one decoded frame of events. Its clock is in seconds.
type Batch struct {
	Clock  float64
	Events []Event
}

// recordCodec reads or writes the fields of one record in order, so that one function defines the layout of a record
// for both directions.
type recordCodec struct {
	b      []byte // the record
	offset int    // of the next field
	write  bool   // encode instead of decode
	tail   []byte // tail of the frame; grows when encoding
	err    error  // the first error
}

func (c *recordCodec) next(n int) []byte {
	c.offset += n
	return c.b[c.offset-n : c.offset]
}

func (c *recordCodec) u8(p *uint8) {
	if b := c.next(1); c.write {
		b[0] = *p
	} else {
		*p = b[0]
	}
}

func (c *recordCodec) u16(p *uint16) {
	if b := c.next(2); c.write {
		binary.LittleEndian.PutUint16(b, *p)
	} else {
		*p = binary.LittleEndian.Uint16(b)
	}
}

func (c *recordCodec) u32(p *uint32) {
	if b := c.next(4); c.write {
		binary.LittleEndian.PutUint32(b, *p)
	} else {
		*p = binary.LittleEndian.Uint32(b)
	}
}

func (c *recordCodec) u64(p *uint64) {
	if b := c.next(8); c.write {
		binary.LittleEndian.PutUint64(b, *p)
	} else {
		*p = binary.LittleEndian.Uint64(b)
	}
}

func (c *recordCodec) f32(p *float32) {
	v := math.Float32bits(*p)
	c.u32(&v)
	*p = math.Float32frombits(v)
}

func (c *recordCodec) f64(p *float64) {
	v := math.Float64bits(*p)
	c.u64(&v)
	*p = math.Float64frombits(v)
}

func (c *recordCodec) addr(p *Addr) {
	if b := c.next(6); c.write {
		copy(b, p[:])
	} else {
		copy(p[:], b)
	}
}

func (c *recordCodec) stats(p *Stats) {
	c.u8(&p.N)
	for i := range p.V {
		c.f32(&p.V[i])
	}
	if p.N > 4 && c.err == nil {
		c.err = fmt.Errorf("load report of %d values, at most 4 allowed", p.N)
	}
}

// span reads or writes a reference to items in the tail, of item bytes each. When writing, it refers to count items at
// the end of the tail, which the caller then appends, and returns nil. When reading, it ignores count and returns
// the bytes of the items.
func (c *recordCodec) span(count, item int) []byte {
	off, n := uint32(len(c.tail)), uint32(count)
	c.u32(&off)
	c.u32(&n)
	if c.write {
		return nil
	}
	end := uint64(off) + uint64(n)*uint64(item)
	if end > uint64(len(c.tail)) {
		if c.err == nil {
			c.err = fmt.Errorf("tail reference to bytes %d to %d, but the tail has %d", off, end, len(c.tail))
		}
		return nil
	}
	return c.tail[off:end]
}

func (c *recordCodec) blob(p *[]byte) {
	got := c.span(len(*p), 1)
	if c.write {
		c.tail = append(c.tail, *p...)
	} else {
		*p = got
	}
}

func (c *recordCodec) entries(p *[]Entry) {
	got := c.span(len(*p), entrySize)
	if c.write {
		for i := range *p {
			e := recordCodec{b: make([]byte, entrySize), write: true}
			e.entry(&(*p)[i])
			c.tail = append(c.tail, e.b...)
		}
		return
	}
	*p = make([]Entry, len(got)/entrySize)
	for i := range *p {
		e := recordCodec{b: got[i*entrySize:]}
		e.entry(&(*p)[i])
	}
}

func (c *recordCodec) entry(e *Entry) {
	c.addr(&e.Switch)
	c.u16(&e.Hall)
	c.u16(&e.Kind)
	c.u16(&e.Point)
	c.u8(&e.Phase)
	c.f32(&e.Rating)
	c.f64(&e.ReadyAt)
}

func (c *recordCodec) event(e *Event) {
	c.u8(&e.Op)
	if e.Op == OpTable {
		c.u16(&e.Buffer)
		c.entries(&e.Elements)
		return
	}
	c.u32(&e.Proxy)
	switch e.Op {
	case OpResult, OpStreaming:
		c.u32(&e.ID)
		c.u16(&e.Attempt)
		c.addr(&e.Switch)
		if e.Op == OpStreaming {
			c.f64(&e.Duration)
			return
		}
		c.u16(&e.How)
		c.f64(&e.Duration)
		c.u8(&e.Ended)
		c.u32(&e.Cause)
		c.stats(&e.Stats)
	case OpDatagram:
		c.u32(&e.Sender)
		c.blob(&e.Blob)
	case OpDue:
		c.u64(&e.Cookie)
	case OpShutdown:
	case OpClientLeft:
		c.u32(&e.ID)
	case OpProbeResult:
		c.addr(&e.Switch)
		c.u16(&e.How)
		c.f64(&e.Duration)
		c.stats(&e.Stats)
	case OpSync:
		c.u8(&e.Scope)
		c.u64(&e.Version)
		c.u16(&e.Buffer)
	case OpSubmit:
		c.u32(&e.ID)
		c.u16(&e.Priority)
		c.u16(&e.Party)
		c.u64(&e.RouteKey)
		c.f64(&e.Grace)
		c.f64(&e.Effort)
		c.f32(&e.Dest)
		c.f32(&e.Units)
		c.f32(&e.Through)
		c.u16(&e.Attrs)
	case OpHello:
		c.u64(&e.Entropy)
		c.blob(&e.Blob)
	default:
		c.err = fmt.Errorf("unknown event code %d", e.Op)
	}
}

func (c *recordCodec) action(a *Action) {
	c.u8(&a.Op)
	c.u32(&a.Proxy)
	switch a.Op {
	case OpPlace:
		c.u32(&a.ID)
		c.addr(&a.Switch)
		c.f64(&a.TryFor)
	case OpShed:
		c.u32(&a.ID)
		c.f64(&a.CoolDown)
	case OpEndFailed:
		c.u32(&a.ID)
	case OpDropAttempt:
		c.u32(&a.ID)
		c.u16(&a.Attempt)
	case OpSleep:
		c.f64(&a.SleepFor)
		c.u64(&a.Cookie)
	case OpTest, OpCloseIdle:
		c.addr(&a.Switch)
	case OpWritePeer:
		c.u32(&a.Dst)
		c.blob(&a.Blob)
	case OpJournalLine, OpPanic:
		c.blob(&a.Blob)
	case OpStreamChanges:
		c.u8(&a.Active)
	case OpReload:
	default:
		c.err = fmt.Errorf("unknown action code %d", a.Op)
	}
}

// ReadBatch reads and decodes one frame. It returns io.EOF unwrapped if the input ends before the first byte of a
// frame.
func ReadBatch(r io.Reader) (Batch, error) {
	var h [batchHeaderSize]byte
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

// decodeBody decodes the count records of a body. The rest of the body is the tail.
func decodeBody(clock float64, count int, body []byte) (Batch, error) {
	out := Batch{Clock: clock, Events: make([]Event, count)}
	tail := body[count*eventSize:]
	for i := range out.Events {
		c := recordCodec{b: body[i*eventSize : (i+1)*eventSize], tail: tail}
		c.event(&out.Events[i])
		if c.err != nil {
			return Batch{}, fmt.Errorf("record %d of %d (code %d): %w", i, count, c.b[0], c.err)
		}
	}
	return out, nil
}

// AppendBatch appends the frame of a batch to dst.
func AppendBatch(dst []byte, b Batch) ([]byte, error) {
	recs := make([]byte, len(b.Events)*eventSize)
	var tail []byte
	for i := range b.Events {
		c := recordCodec{b: recs[i*eventSize : (i+1)*eventSize], write: true, tail: tail}
		c.event(&b.Events[i])
		if c.err != nil {
			return nil, fmt.Errorf("event %d: %w", i, c.err)
		}
		tail = c.tail
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
		c := recordCodec{b: recs[i*actionSize : (i+1)*actionSize], write: true, tail: tail}
		c.action(&actions[i])
		if c.err != nil {
			return nil, fmt.Errorf("action %d: %w", i, c.err)
		}
		tail = c.tail
	}
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(recs)+len(tail)))
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(actions)))
	return append(append(dst, recs...), tail...), nil
}
