// Package m3ua implements the MTP3 user adaptation layer (RFC 4666), carried over TCP: messages are delimited
// by their length field. It performs no I/O: a Link receives the current time and incoming bytes, and collects
// outgoing bytes and events. Section numbers in comments, such as (4.3.1), refer to RFC 4666.
package m3ua

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Class is a message class (RFC 4666, 3.1.2).
type Class uint8

// Message classes.
const (
	ClassMGMT  Class = 0
	ClassData  Class = 1
	ClassSSNM  Class = 2
	ClassASPSM Class = 3
	ClassASPTM Class = 4
)

// Type identifies a message by its class and its number within the class.
type Type struct {
	Class  Class
	Number uint8
}

// Message types.
var (
	ERR      = Type{ClassMGMT, 0}
	NTFY     = Type{ClassMGMT, 1}
	DATA     = Type{ClassData, 1}
	DUNA     = Type{ClassSSNM, 1}
	DAVA     = Type{ClassSSNM, 2}
	DAUD     = Type{ClassSSNM, 3}
	SCON     = Type{ClassSSNM, 4}
	DUPU     = Type{ClassSSNM, 5}
	DRST     = Type{ClassSSNM, 6}
	ASPUP    = Type{ClassASPSM, 1}
	ASPDN    = Type{ClassASPSM, 2}
	BEAT     = Type{ClassASPSM, 3}
	ASPUPAck = Type{ClassASPSM, 4}
	ASPDNAck = Type{ClassASPSM, 5}
	BEATAck  = Type{ClassASPSM, 6}
	ASPAC    = Type{ClassASPTM, 1}
	ASPIA    = Type{ClassASPTM, 2}
	ASPACAck = Type{ClassASPTM, 3}
	ASPIAAck = Type{ClassASPTM, 4}
)

var typeNames = map[Type]string{ERR: "ERR", NTFY: "NTFY", DATA: "DATA", DUNA: "DUNA", DAVA: "DAVA", DAUD: "DAUD", SCON: "SCON",
	DUPU: "DUPU", DRST: "DRST", ASPUP: "ASPUP", ASPDN: "ASPDN", BEAT: "BEAT", ASPUPAck: "ASPUP ACK", ASPDNAck: "ASPDN ACK",
	BEATAck: "BEAT ACK", ASPAC: "ASPAC", ASPIA: "ASPIA", ASPACAck: "ASPAC ACK", ASPIAAck: "ASPIA ACK"}

func (t Type) String() string {
	if n := typeNames[t]; n != "" {
		return n
	}
	return fmt.Sprintf("class %d type %d", t.Class, t.Number)
}

// Tag identifies a parameter (3.2).
type Tag uint16

// Parameter tags, sizes in bytes, the protocol version and traffic modes.
const (
	TagInfo              Tag    = 0x0004
	TagRoutingContext    Tag    = 0x0006
	TagDiagnostic        Tag    = 0x0007
	TagHeartbeat         Tag    = 0x0009
	TagTrafficMode       Tag    = 0x000b
	TagErrorCode         Tag    = 0x000c
	TagStatus            Tag    = 0x000d
	TagASPIdentifier     Tag    = 0x0011
	TagAffectedPC        Tag    = 0x0012
	TagCorrelation       Tag    = 0x0013
	TagUserCause         Tag    = 0x0204
	TagCongestion        Tag    = 0x0205
	TagNetworkAppearance Tag    = 0x0200
	TagProtocolData      Tag    = 0x0210
	headerSize                  = 8  // of a message
	paramHeaderSize             = 4  // tag and length
	dataHeaderSize              = 12 // of the protocol data, before the user message
	protocolVersion             = 1
	MaxMessageSize              = 4096 // largest accepted message; ISUP needs less than 400
	TrafficOverride      uint32 = 1
	TrafficLoadshare     uint32 = 2
)

// Error codes of ERR (3.8.1).
const (
	CodeInvalidVersion         uint32 = 0x01
	CodeUnsupportedClass       uint32 = 0x03
	CodeUnsupportedType        uint32 = 0x04
	CodeUnsupportedTrafficMode uint32 = 0x05
	CodeUnexpectedMessage      uint32 = 0x06
	CodeProtocolError          uint32 = 0x07
	CodeInvalidParameterValue  uint32 = 0x12
	CodeUnexpectedParameter    uint32 = 0x13
	CodeMissingParameter       uint32 = 0x16
	CodeInvalidRoutingContext  uint32 = 0x19
)

// Status values of NTFY. Type 1 in the upper half reports a change of AS state (3.8.2).
const (
	StatusASInactive         uint32 = 1<<16 | 2
	StatusASActive           uint32 = 1<<16 | 3
	StatusASPending          uint32 = 1<<16 | 4
	StatusAlternateASPActive uint32 = 2<<16 | 2 // alternate ASP active
	StatusASPFailure         uint32 = 2<<16 | 3
)

// Param is one parameter. Its value refers to the bytes of the message.
type Param struct {
	Tag   Tag
	Value []byte
}

// Message is one parsed message.
type Message struct {
	Type   Type
	Params []Param
}

// Errors returned by Parse, ParseData and Stream.Feed.
var (
	ErrLength  = errors.New("m3ua: invalid message length")
	ErrVersion = errors.New("m3ua: unsupported protocol version: not 1")
	ErrParam   = errors.New("m3ua: invalid parameter length")
)

// Parse reads one complete message into m and reuses the memory of m.Params. It returns ErrLength, ErrVersion
// or ErrParam if the message is malformed.
func Parse(b []byte, m *Message) error {
	m.Params = m.Params[:0]
	if len(b) < headerSize || binary.BigEndian.Uint32(b[4:]) != uint32(len(b)) {
		return ErrLength
	}
	if b[0] != protocolVersion {
		return ErrVersion
	}
	m.Type = Type{Class(b[2]), b[3]}
	for b = b[headerSize:]; len(b) > 0; {
		if len(b) < paramHeaderSize {
			return ErrParam
		}
		n := int(binary.BigEndian.Uint16(b[2:]))
		if n < paramHeaderSize || n > len(b) {
			return ErrParam
		}
		m.Params = append(m.Params, Param{Tag(binary.BigEndian.Uint16(b)), b[paramHeaderSize:n]})
		b = b[min(len(b), (n+3)&^3):]
	}
	return nil
}

// Param returns the value of a parameter, or nil if it is absent.
func (m *Message) Param(t Tag) []byte {
	for _, p := range m.Params {
		if p.Tag == t {
			return p.Value
		}
	}
	return nil
}

// Uint returns a parameter of four bytes; ok is false if it is absent or has another length.
func (m *Message) Uint(t Tag) (v uint32, ok bool) {
	b := m.Param(t)
	if len(b) != 4 {
		return 0, false
	}
	return binary.BigEndian.Uint32(b), true
}

// Append appends a message.
func Append(b []byte, t Type, params ...Param) []byte {
	start := len(b)
	b = append(b, protocolVersion, 0, byte(t.Class), t.Number, 0, 0, 0, 0)
	for _, p := range params {
		b = binary.BigEndian.AppendUint16(b, uint16(p.Tag))
		b = binary.BigEndian.AppendUint16(b, uint16(paramHeaderSize+len(p.Value)))
		b = append(b, p.Value...)
		for len(b)%4 != start%4 {
			b = append(b, 0)
		}
	}
	binary.BigEndian.PutUint32(b[start+4:], uint32(len(b)-start))
	return b
}

// Uint32Param returns a parameter with a value of four bytes.
func Uint32Param(t Tag, v uint32) Param { return Param{t, binary.BigEndian.AppendUint32(nil, v)} }

// Data is the protocol data of a DATA message (3.3.1): one MTP3 user message.
type Data struct {
	OPC, DPC uint32 // point codes of origin and destination
	SI       uint8  // service indicator
	NI       uint8  // network indicator
	MP       uint8  // message priority
	SLS      uint8  // signalling link selection
	Payload  []byte
}

// ServiceIndicatorISUP is the service indicator of ISUP.
const ServiceIndicatorISUP = 5

// ParseData reads the protocol data of a DATA message. It returns ErrParam if it is absent or too short.
func ParseData(m *Message) (d Data, err error) {
	b := m.Param(TagProtocolData)
	if len(b) < dataHeaderSize {
		return d, ErrParam
	}
	return Data{binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:]), b[8], b[9], b[10], b[11], b[dataHeaderSize:]}, nil
}

// AppendData appends a DATA message; context 0 sends no routing context.
func AppendData(b []byte, context uint32, d Data) []byte {
	start := len(b)
	b = append(b, protocolVersion, 0, byte(ClassData), DATA.Number, 0, 0, 0, 0)
	if context != 0 {
		b = binary.BigEndian.AppendUint16(b, uint16(TagRoutingContext))
		b = binary.BigEndian.AppendUint16(b, paramHeaderSize+4)
		b = binary.BigEndian.AppendUint32(b, context)
	}
	b = binary.BigEndian.AppendUint16(b, uint16(TagProtocolData))
	b = binary.BigEndian.AppendUint16(b, uint16(paramHeaderSize+dataHeaderSize+len(d.Payload)))
	b = binary.BigEndian.AppendUint32(b, d.OPC)
	b = binary.BigEndian.AppendUint32(b, d.DPC)
	b = append(b, d.SI, d.NI, d.MP, d.SLS)
	b = append(b, d.Payload...)
	for (len(b)-start)%4 != 0 {
		b = append(b, 0)
	}
	binary.BigEndian.PutUint32(b[start+4:], uint32(len(b)-start))
	return b
}

// Stream splits a byte stream into messages by their length fields.
type Stream struct {
	buffered []byte
	err      error
}

// Feed adds bytes to the stream and calls f for each complete message, whose bytes are valid during the call
// only. An invalid length or an error of f ends the stream for good, since the start of the next message is
// then unknown; every later call returns the same error.
func (s *Stream) Feed(b []byte, f func(message []byte) error) error {
	if s.err != nil {
		return s.err
	}
	if len(s.buffered) > 0 {
		s.buffered = append(s.buffered, b...)
		b = s.buffered
	}
	for len(b) >= headerSize {
		n := binary.BigEndian.Uint32(b[4:])
		if n < headerSize || n > MaxMessageSize || n%4 != 0 {
			s.err = fmt.Errorf("%w: %d bytes", ErrLength, n)
			return s.err
		}
		if uint32(len(b)) < n {
			break
		}
		if err := f(b[:n]); err != nil {
			s.err = err
			return err
		}
		b = b[n:]
	}
	s.buffered = append(s.buffered[:0], b...) // b may alias the buffer; the copy moves bytes forward only
	return nil
}

// Buffered returns the number of buffered bytes of an incomplete message.
func (s *Stream) Buffered() int { return len(s.buffered) }
