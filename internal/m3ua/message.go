// Package m3ua is the MTP3 user adaptation layer of RFC 4666, carried here over TCP: each message is cut from the
// stream by its own length field. It has no I/O: a Link is told the time and what came in, and leaves bytes to send
// and what happened.
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

// Type names a message: its class and its number in it.
type Type struct {
	Class  Class
	Number uint8
}

// Messages.
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

// Tag names a parameter (3.2).
type Tag uint16

// Parameters.
const (
	TagInfo           Tag    = 0x0004
	TagRoutingContext Tag    = 0x0006
	TagDiagnostic     Tag    = 0x0007
	TagHeartbeat      Tag    = 0x0009
	TagTrafficMode    Tag    = 0x000b
	TagErrorCode      Tag    = 0x000c
	TagStatus         Tag    = 0x000d
	TagASPIdentifier  Tag    = 0x0011
	TagAffectedPC     Tag    = 0x0012
	TagCorrelation    Tag    = 0x0013
	TagUserCause      Tag    = 0x0204
	TagCongestion     Tag    = 0x0205
	TagNetworkAppear  Tag    = 0x0200
	TagProtocolData   Tag    = 0x0210
	headerSize               = 8
	paramHeader              = 4
	dataHeader               = 12
	version                  = 1
	MaxMessage               = 4096 // bytes of one message that is taken: ISUP needs under 400
	TrafficOverride   uint32 = 1
	TrafficShare      uint32 = 2
)

// Error codes of ERR (3.8.1).
const (
	ErrInvalidVersion    uint32 = 0x01
	ErrUnsupportedClass  uint32 = 0x03
	ErrUnsupportedType   uint32 = 0x04
	ErrTrafficMode       uint32 = 0x05
	ErrUnexpected        uint32 = 0x06
	ErrProtocol          uint32 = 0x07
	ErrParameterField    uint32 = 0x12
	ErrUnexpectedParam   uint32 = 0x13
	ErrMissingParameter  uint32 = 0x16
	ErrInvalidRoutingCtx uint32 = 0x19
)

// Status of NTFY: type 1 is a change of the AS's state (3.8.2).
const (
	StatusASInactive uint32 = 1<<16 | 2
	StatusASActive   uint32 = 1<<16 | 3
	StatusASPending  uint32 = 1<<16 | 4
	StatusOtherASP   uint32 = 2<<16 | 2 // alternate ASP active
	StatusASPFailure uint32 = 2<<16 | 3
)

// Param is one parameter; its value refers to the message's bytes.
type Param struct {
	Tag   Tag
	Value []byte
}

// Message is one parsed message.
type Message struct {
	Type   Type
	Params []Param
}

// Errors of parsing.
var (
	ErrLength  = errors.New("m3ua: message length is wrong")
	ErrVersion = errors.New("m3ua: protocol version is not 1")
	ErrParam   = errors.New("m3ua: parameter length is wrong")
)

// Parse reads one whole message into m; Params' memory is used again.
func Parse(b []byte, m *Message) error {
	m.Params = m.Params[:0]
	if len(b) < headerSize || binary.BigEndian.Uint32(b[4:]) != uint32(len(b)) {
		return ErrLength
	}
	if b[0] != version {
		return ErrVersion
	}
	m.Type = Type{Class(b[2]), b[3]}
	for b = b[headerSize:]; len(b) > 0; {
		if len(b) < paramHeader {
			return ErrParam
		}
		n := int(binary.BigEndian.Uint16(b[2:]))
		if n < paramHeader || n > len(b) {
			return ErrParam
		}
		m.Params = append(m.Params, Param{Tag(binary.BigEndian.Uint16(b)), b[paramHeader:n]})
		b = b[min(len(b), (n+3)&^3):]
	}
	return nil
}

// Param finds a parameter's value; nil if it is not there.
func (m *Message) Param(t Tag) []byte {
	for _, p := range m.Params {
		if p.Tag == t {
			return p.Value
		}
	}
	return nil
}

// Uint is a parameter of four bytes; ok is false if it is missing or of another length.
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
	b = append(b, version, 0, byte(t.Class), t.Number, 0, 0, 0, 0)
	for _, p := range params {
		b = binary.BigEndian.AppendUint16(b, uint16(p.Tag))
		b = binary.BigEndian.AppendUint16(b, uint16(paramHeader+len(p.Value)))
		b = append(b, p.Value...)
		for len(b)%4 != start%4 {
			b = append(b, 0)
		}
	}
	binary.BigEndian.PutUint32(b[start+4:], uint32(len(b)-start))
	return b
}

// Uint32Param is a parameter of four bytes.
func Uint32Param(t Tag, v uint32) Param { return Param{t, binary.BigEndian.AppendUint32(nil, v)} }

// Data is the protocol data of DATA (3.3.1): one MTP3 user message.
type Data struct {
	OPC, DPC uint32
	SI       uint8 // 5 is ISUP
	NI       uint8
	MP       uint8
	SLS      uint8
	Payload  []byte
}

// ISUPIndicator is the service indicator of ISUP.
const ISUPIndicator = 5

// ParseData reads a DATA message's protocol data.
func ParseData(m *Message) (d Data, err error) {
	b := m.Param(TagProtocolData)
	if len(b) < dataHeader {
		return d, ErrParam
	}
	return Data{binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:]), b[8], b[9], b[10], b[11], b[dataHeader:]}, nil
}

// AppendData appends a DATA message; context 0 is none.
func AppendData(b []byte, context uint32, d Data) []byte {
	start := len(b)
	b = append(b, version, 0, byte(ClassData), DATA.Number, 0, 0, 0, 0)
	if context != 0 {
		b = binary.BigEndian.AppendUint16(b, uint16(TagRoutingContext))
		b = binary.BigEndian.AppendUint16(b, paramHeader+4)
		b = binary.BigEndian.AppendUint32(b, context)
	}
	b = binary.BigEndian.AppendUint16(b, uint16(TagProtocolData))
	b = binary.BigEndian.AppendUint16(b, uint16(paramHeader+dataHeader+len(d.Payload)))
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

// Stream cuts messages from a byte stream by their length fields.
type Stream struct {
	held []byte
	bad  error
}

// Feed takes bytes and calls f for each whole message, whose bytes are valid during the call. A length that cannot
// be ends the stream for good: where the next message begins is not known any more.
func (s *Stream) Feed(b []byte, f func(message []byte) error) error {
	if s.bad != nil {
		return s.bad
	}
	if len(s.held) > 0 {
		s.held = append(s.held, b...)
		b = s.held
	}
	for len(b) >= headerSize {
		n := binary.BigEndian.Uint32(b[4:])
		if n < headerSize || n > MaxMessage || n%4 != 0 {
			s.bad = fmt.Errorf("%w: %d bytes", ErrLength, n)
			return s.bad
		}
		if uint32(len(b)) < n {
			break
		}
		if err := f(b[:n]); err != nil {
			s.bad = err
			return err
		}
		b = b[n:]
	}
	s.held = append(s.held[:0], b...) // b may lie in held: the move is forward only
	return nil
}

// Held is the number of bytes of a message that is not whole yet.
func (s *Stream) Held() int { return len(s.held) }
