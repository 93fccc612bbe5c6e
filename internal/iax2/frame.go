// Package iax2 implements the Inter-Asterisk eXchange protocol, version 2 (RFC 5456; call tokens: RFC 5457).
//
// The package performs no I/O. An Endpoint receives the current time and incoming datagrams; it puts outgoing
// datagrams into its Outbox and reports changes of calls as Events. One Endpoint serves one UDP socket. The
// application is the code that owns the Endpoint.
//
// Section numbers in comments, such as (8.6.21), refer to RFC 5456 unless another RFC is named.
package iax2

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// Port is the registered UDP port of IAX2.
const Port = 4569

// MaxCallNumber is the largest 15-bit call number; 0 means no call number.
const MaxCallNumber = 1<<15 - 1

// Addr is an IPv4 transport address that is comparable and contains no pointers.
type Addr struct {
	IP   [4]byte
	Port uint16
}

// AddrFrom converts a netip.AddrPort; ok is false if the address is not IPv4.
func AddrFrom(a netip.AddrPort) (addr Addr, ok bool) {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return Addr{}, false
	}
	return Addr{ip.As4(), a.Port()}, true
}

// AddrPort converts the address to a netip.AddrPort.
func (a Addr) AddrPort() netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4(a.IP), a.Port) }

func (a Addr) String() string { return a.AddrPort().String() }

// FrameType is the type of a full frame (RFC 5456, 8.2).
type FrameType uint8

// Types of full frames.
const (
	FrameDTMFEnd   FrameType = 0x01
	FrameVoice     FrameType = 0x02
	FrameVideo     FrameType = 0x03
	FrameControl   FrameType = 0x04
	FrameNull      FrameType = 0x05
	FrameIAX       FrameType = 0x06
	FrameText      FrameType = 0x07
	FrameImage     FrameType = 0x08
	FrameHTML      FrameType = 0x09
	FrameNoise     FrameType = 0x0a
	FrameDTMFBegin FrameType = 0x0c
)

// Subclasses of control frames (8.3).
const (
	ControlHangup     = 0x01
	ControlRinging    = 0x03
	ControlAnswer     = 0x04
	ControlBusy       = 0x05
	ControlCongestion = 0x08
	ControlFlash      = 0x09
	ControlOption     = 0x0b
	ControlKey        = 0x0c
	ControlUnkey      = 0x0d
	ControlProgress   = 0x0e
	ControlProceeding = 0x0f
	ControlHold       = 0x10
	ControlUnhold     = 0x11
)

// Subclasses of IAX frames (8.4; CALLTOKEN: RFC 5457).
const (
	New       = 0x01
	Ping      = 0x02
	Pong      = 0x03
	Ack       = 0x04
	Hangup    = 0x05
	Reject    = 0x06
	Accept    = 0x07
	AuthReq   = 0x08
	AuthRep   = 0x09
	Inval     = 0x0a
	LagRq     = 0x0b
	LagRp     = 0x0c
	RegReq    = 0x0d
	RegAuth   = 0x0e
	RegAck    = 0x0f
	RegRej    = 0x10
	RegRel    = 0x11
	VNAK      = 0x12
	DPReq     = 0x13
	DPRep     = 0x14
	Dial      = 0x15
	TxReq     = 0x16
	TxCnt     = 0x17
	TxAcc     = 0x18
	TxReady   = 0x19
	TxRel     = 0x1a
	TxRej     = 0x1b
	Quelch    = 0x1c
	Unquelch  = 0x1d
	Poke      = 0x1e
	MWI       = 0x20
	Unsupport = 0x21
	Transfer  = 0x22
	CallToken = 0x28
)

var iaxFrameNames = map[uint32]string{New: "NEW", Ping: "PING", Pong: "PONG", Ack: "ACK", Hangup: "HANGUP",
	Reject: "REJECT", Accept: "ACCEPT", AuthReq: "AUTHREQ", AuthRep: "AUTHREP", Inval: "INVAL", LagRq: "LAGRQ",
	LagRp: "LAGRP", RegReq: "REGREQ", RegAuth: "REGAUTH", RegAck: "REGACK", RegRej: "REGREJ", RegRel: "REGREL",
	VNAK: "VNAK", DPReq: "DPREQ", DPRep: "DPREP", Dial: "DIAL", TxReq: "TXREQ", TxCnt: "TXCNT", TxAcc: "TXACC",
	TxReady: "TXREADY", TxRel: "TXREL", TxRej: "TXREJ", Quelch: "QUELCH", Unquelch: "UNQUELCH", Poke: "POKE",
	MWI: "MWI", Unsupport: "UNSUPPORT", Transfer: "TRANSFER", CallToken: "CALLTOKEN"}

var controlFrameNames = map[uint32]string{ControlHangup: "control HANGUP", ControlRinging: "RINGING",
	ControlAnswer: "ANSWER", ControlBusy: "BUSY", ControlCongestion: "CONGESTION", ControlProgress: "PROGRESS",
	ControlProceeding: "PROCEEDING"}

// Layout is the layout of a datagram: full, mini or meta frame (8.1).
type Layout uint8

// Layouts of datagrams.
const (
	Full Layout = iota
	Mini
	Meta // not processed, as it carries no call signalling
)

// Frame is one parsed datagram. Payload refers to the bytes of the datagram.
type Frame struct {
	Layout        Layout
	Source        uint16 // call number of the sender
	Dest          uint16 // call number of the receiver; 0 until it is known
	Retransmitted bool   // R bit: the frame is a retransmission
	Timestamp     uint32 // milliseconds since the dialog began; 16 bits in mini frames
	OSeq          uint8  // sequence number of the frame
	ISeq          uint8  // sequence number that the sender expects next
	Type          FrameType
	Subclass      uint32
	Payload       []byte // information elements of an IAX frame, otherwise media
}

// Name returns the name of the frame in the RFC, or its type and subclass as numbers if it has none here.
func (f *Frame) Name() string {
	switch {
	case f.Layout == Mini:
		return "mini"
	case f.Layout == Meta:
		return "meta"
	case f.Type == FrameIAX && iaxFrameNames[f.Subclass] != "":
		return iaxFrameNames[f.Subclass]
	case f.Type == FrameControl && controlFrameNames[f.Subclass] != "":
		return controlFrameNames[f.Subclass]
	}
	return fmt.Sprintf("type %d subclass %d", f.Type, f.Subclass)
}

// Is reports whether the frame is an IAX frame of this subclass.
func (f *Frame) Is(subclass uint32) bool {
	return f.Layout == Full && f.Type == FrameIAX && f.Subclass == subclass
}

// IsControl reports whether the frame is a control frame of this subclass.
func (f *Frame) IsControl(subclass uint32) bool {
	return f.Layout == Full && f.Type == FrameControl && f.Subclass == subclass
}

// Errors returned by ParseFrame and Elements.Parse.
var (
	ErrShort      = errors.New("iax2: datagram shorter than its frame header")
	ErrZeroSource = errors.New("iax2: source call number is zero")
	ErrLength     = errors.New("iax2: information element extends beyond the frame")
)

const (
	fullHeaderSize = 12
	miniHeaderSize = 4
)

// ParseFrame reads one datagram into f. It returns ErrShort or ErrZeroSource if the datagram is malformed.
func ParseFrame(b []byte, f *Frame) error {
	*f = Frame{}
	if len(b) < miniHeaderSize {
		return ErrShort
	}
	word := binary.BigEndian.Uint16(b)
	f.Source = word & MaxCallNumber
	if word&0x8000 == 0 {
		f.Timestamp = uint32(binary.BigEndian.Uint16(b[2:]))
		f.Payload = b[miniHeaderSize:]
		f.Layout = Mini
		if f.Source == 0 {
			f.Layout = Meta
		}
		return nil
	}
	if len(b) < fullHeaderSize {
		return ErrShort
	}
	if f.Source == 0 {
		return ErrZeroSource
	}
	dest := binary.BigEndian.Uint16(b[2:])
	f.Dest, f.Retransmitted = dest&MaxCallNumber, dest&0x8000 != 0
	f.Timestamp = binary.BigEndian.Uint32(b[4:])
	f.OSeq, f.ISeq, f.Type = b[8], b[9], FrameType(b[10])
	f.Subclass = uint32(b[11] & 0x7f)
	if b[11]&0x80 != 0 {
		f.Subclass = 1 << (b[11] & 0x1f) // C bit: the value is a power of two (8.1.1)
	}
	f.Payload = b[fullHeaderSize:]
	return nil
}

// encodeSubclass encodes a subclass in one byte: directly if it is below 128, otherwise as a power of two.
func encodeSubclass(s uint32) byte {
	if s < 0x80 {
		return byte(s)
	}
	exponent := byte(0)
	for s >>= 1; s != 0; s >>= 1 {
		exponent++
	}
	return 0x80 | exponent
}

// AppendFull appends the header and the payload of a full frame.
func AppendFull(b []byte, f *Frame) []byte {
	dest := f.Dest & MaxCallNumber
	if f.Retransmitted {
		dest |= 0x8000
	}
	b = binary.BigEndian.AppendUint16(b, f.Source|0x8000)
	b = binary.BigEndian.AppendUint16(b, dest)
	b = binary.BigEndian.AppendUint32(b, f.Timestamp)
	b = append(b, f.OSeq, f.ISeq, byte(f.Type), encodeSubclass(f.Subclass))
	return append(b, f.Payload...)
}

// AppendMini appends a mini frame.
func AppendMini(b []byte, source uint16, timestamp uint16, media []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, source&MaxCallNumber)
	b = binary.BigEndian.AppendUint16(b, timestamp)
	return append(b, media...)
}
