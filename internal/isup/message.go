// Package isup implements the ISDN user part: the messages of Q.763 and the circuit procedures of Q.764, for
// either end of a group of circuits. It performs no I/O: a Group receives the current time and incoming
// messages, and collects outgoing messages and the events of its calls. The application is the code that owns
// the Group.
//
// Section numbers in comments, such as (2.9.5.1), refer to Q.764 unless another Recommendation is named.
package isup

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Type is a message type (Q.763, table 4).
type Type uint8

// Message types.
const (
	IAM  Type = 0x01
	COT  Type = 0x05
	ACM  Type = 0x06
	CON  Type = 0x07
	ANM  Type = 0x09
	REL  Type = 0x0c
	SUS  Type = 0x0d
	RES  Type = 0x0e
	RLC  Type = 0x10
	CCR  Type = 0x11
	RSC  Type = 0x12
	BLO  Type = 0x13
	UBL  Type = 0x14
	BLA  Type = 0x15
	UBA  Type = 0x16
	GRS  Type = 0x17
	CGB  Type = 0x18
	CGU  Type = 0x19
	CGBA Type = 0x1a
	CGUA Type = 0x1b
	GRA  Type = 0x29
	CQM  Type = 0x2a
	CQR  Type = 0x2b
	CPG  Type = 0x2c
	UCIC Type = 0x2e
	CFN  Type = 0x2f
)

var typeNames = map[Type]string{IAM: "IAM", COT: "COT", ACM: "ACM", CON: "CON", ANM: "ANM", REL: "REL", SUS: "SUS", RES: "RES",
	RLC: "RLC", CCR: "CCR", RSC: "RSC", BLO: "BLO", UBL: "UBL", BLA: "BLA", UBA: "UBA", GRS: "GRS", CGB: "CGB", CGU: "CGU",
	CGBA: "CGBA", CGUA: "CGUA", GRA: "GRA", CQM: "CQM", CQR: "CQR", CPG: "CPG", UCIC: "UCIC", CFN: "CFN"}

func (t Type) String() string {
	if n := typeNames[t]; n != "" {
		return n
	}
	return fmt.Sprintf("type 0x%02x", uint8(t))
}

// ParamCode is a parameter code (Q.763, table 5).
type ParamCode uint8

// Parameter codes.
const (
	MediumRequirement ParamCode = 0x02
	CalledNumber      ParamCode = 0x04
	NatureOfConn      ParamCode = 0x06
	ForwardCall       ParamCode = 0x07
	CallingCategory   ParamCode = 0x09
	CallingNumber     ParamCode = 0x0a
	ContinuityInd     ParamCode = 0x10
	BackwardCall      ParamCode = 0x11
	CauseIndicators   ParamCode = 0x12
	SupervisionType   ParamCode = 0x15
	RangeAndStatus    ParamCode = 0x16
	UserToUser        ParamCode = 0x20
	SuspendResume     ParamCode = 0x22
	EventInfo         ParamCode = 0x24
	CircuitState      ParamCode = 0x26
	HopCounter        ParamCode = 0x3d
)

// layout describes the format of a message: its mandatory parameters of fixed length, its mandatory parameters
// of variable length, and whether optional parameters may follow. Codes and sizes follow the tables of Q.763.
type layout struct {
	fixed    []fixedParam
	variable []ParamCode
	optional bool
}

type fixedParam struct {
	code ParamCode
	size int // in bytes
}

var layouts = map[Type]layout{
	IAM: {[]fixedParam{{NatureOfConn, 1}, {ForwardCall, 2}, {CallingCategory, 1}, {MediumRequirement, 1}},
		[]ParamCode{CalledNumber}, true},
	COT: {[]fixedParam{{ContinuityInd, 1}}, nil, false},
	ACM: {[]fixedParam{{BackwardCall, 2}}, nil, true}, CON: {[]fixedParam{{BackwardCall, 2}}, nil, true},
	ANM: {nil, nil, true}, RLC: {nil, nil, true},
	REL: {nil, []ParamCode{CauseIndicators}, true}, CFN: {nil, []ParamCode{CauseIndicators}, true},
	SUS: {[]fixedParam{{SuspendResume, 1}}, nil, true}, RES: {[]fixedParam{{SuspendResume, 1}}, nil, true},
	CPG: {[]fixedParam{{EventInfo, 1}}, nil, true},
	CCR: {}, RSC: {}, BLO: {}, UBL: {}, BLA: {}, UBA: {}, UCIC: {},
	GRS: {nil, []ParamCode{RangeAndStatus}, false}, GRA: {nil, []ParamCode{RangeAndStatus}, false},
	CQM: {nil, []ParamCode{RangeAndStatus}, false}, CQR: {nil, []ParamCode{RangeAndStatus, CircuitState}, false},
	CGB:  {[]fixedParam{{SupervisionType, 1}}, []ParamCode{RangeAndStatus}, false},
	CGU:  {[]fixedParam{{SupervisionType, 1}}, []ParamCode{RangeAndStatus}, false},
	CGBA: {[]fixedParam{{SupervisionType, 1}}, []ParamCode{RangeAndStatus}, false},
	CGUA: {[]fixedParam{{SupervisionType, 1}}, []ParamCode{RangeAndStatus}, false},
}

// CIC is a circuit identification code of 12 bits.
type CIC uint16

// MaxCIC is the largest CIC.
const MaxCIC CIC = 1<<12 - 1

// Message is one parsed message. Its parameters refer to the parsed bytes.
type Message struct {
	CIC    CIC
	Type   Type
	params []parsedParam
}

type parsedParam struct {
	code ParamCode
	data []byte
}

// Errors returned by Parse. With ErrUnknown, CIC and Type are set, so that the message can be answered by CFN.
var (
	ErrShort   = errors.New("isup: message too short")
	ErrUnknown = errors.New("isup: unknown message type")
	ErrPointer = errors.New("isup: parameter pointer leads outside the message")
)

// Param returns the data of a parameter, or nil if it is absent.
func (m *Message) Param(p ParamCode) []byte {
	for _, v := range m.params {
		if v.code == p {
			return v.data
		}
	}
	return nil
}

// Parse reads one message into m. Unknown optional parameters are kept but have no effect (Q.764, 2.9.5). It
// returns ErrShort, ErrUnknown or ErrPointer if the message cannot be read.
func Parse(b []byte, m *Message) error {
	*m = Message{params: m.params[:0]}
	if len(b) < 3 {
		return ErrShort
	}
	m.CIC, m.Type = CIC(binary.LittleEndian.Uint16(b))&MaxCIC, Type(b[2])
	l, ok := layouts[m.Type]
	if !ok {
		return ErrUnknown
	}
	b = b[3:]
	for _, f := range l.fixed {
		if len(b) < f.size {
			return ErrShort
		}
		m.params = append(m.params, parsedParam{f.code, b[:f.size]})
		b = b[f.size:]
	}
	for i, code := range l.variable {
		data, err := variableParam(b, i)
		if err != nil {
			return err
		}
		m.params = append(m.params, parsedParam{code, data})
	}
	if !l.optional || len(b) <= len(l.variable) {
		return nil // older exchanges may omit the pointer if no optional parameters follow
	}
	return m.parseOptional(b, len(l.variable))
}

// variableParam returns the data of the parameter of variable length whose pointer is byte i of b. The pointer is
// the distance from itself to a length byte, which the data follows.
func variableParam(b []byte, i int) ([]byte, error) {
	if i >= len(b) {
		return nil, ErrShort
	}
	at := i + int(b[i])
	if b[i] == 0 || at >= len(b) || at+1+int(b[at]) > len(b) {
		return nil, ErrPointer
	}
	return b[at+1 : at+1+int(b[at])], nil
}

// parseOptional reads the optional parameters. Byte pointer of b is the distance from itself to the first of them, or
// 0 if there are none; a zero byte ends them.
func (m *Message) parseOptional(b []byte, pointer int) error {
	if b[pointer] == 0 {
		return nil
	}
	at := pointer + int(b[pointer])
	for {
		if at >= len(b) {
			return ErrPointer
		}
		if b[at] == 0 {
			return nil
		}
		if at+2 > len(b) || at+2+int(b[at+1]) > len(b) {
			return ErrPointer
		}
		m.params = append(m.params, parsedParam{ParamCode(b[at]), b[at+2 : at+2+int(b[at+1])]})
		at += 2 + int(b[at+1])
	}
}

// Parameter is a parameter to send.
type Parameter struct {
	Code ParamCode
	Data []byte
}

// Append appends a message. Mandatory parameters that are not given are sent as zeros or with length 0. The given
// parameters that are not mandatory for the type are sent as optional ones in the given order, or left out if the
// type allows none.
func Append(b []byte, cic CIC, t Type, params ...Parameter) []byte {
	l := layouts[t]
	b = binary.LittleEndian.AppendUint16(b, uint16(cic&MaxCIC))
	b = append(b, byte(t))
	used := 0
	take := func(p ParamCode) []byte {
		for i, v := range params {
			if v.Code == p && used&(1<<i) == 0 {
				used |= 1 << i
				return v.Data
			}
		}
		return nil
	}
	for _, f := range l.fixed {
		data := take(f.code)
		for i := range f.size {
			if i < len(data) {
				b = append(b, data[i])
			} else {
				b = append(b, 0)
			}
		}
	}
	pointers := len(b)
	for range l.variable {
		b = append(b, 0)
	}
	if l.optional {
		b = append(b, 0)
	}
	for i, code := range l.variable {
		data := take(code)
		b[pointers+i] = byte(len(b) - pointers - i)
		b = append(b, byte(len(data)))
		b = append(b, data...)
	}
	first := len(b)
	for i, v := range params {
		if l.optional && used&(1<<i) == 0 {
			b = append(b, byte(v.Code), byte(len(v.Data)))
			b = append(b, v.Data...)
		}
	}
	if len(b) > first {
		b[pointers+len(l.variable)] = byte(first - pointers - len(l.variable))
		b = append(b, 0)
	}
	return b
}

// digitCodes holds the digits of a number, indexed by their code (Q.763, 3.9). On these trunk groups codes 11 and
// 12 represent * and #; code 10, here the dot, is unused.
const digitCodes = "0123456789.*#"

// The first two bytes of a number: odd/even indicator and nature of address, then the numbering plan.
const (
	natureNational = 3
	planISDN       = 1 << 4
	oddDigits      = 0x80
)

// AppendNumber appends a called or calling party number. It returns an error if number contains a character
// other than 0 to 9, * and #.
func AppendNumber(b []byte, number string) ([]byte, error) {
	nature := byte(natureNational)
	if len(number)%2 == 1 {
		nature |= oddDigits
	}
	b = append(b, nature, planISDN)
	for i := range len(number) {
		code := -1
		for c := range len(digitCodes) {
			if digitCodes[c] == number[i] && c != 10 {
				code = c
			}
		}
		if code < 0 {
			return nil, fmt.Errorf("isup: character %q in number %q is not a digit, * or #", number[i], number)
		}
		if i%2 == 0 {
			b = append(b, byte(code))
		} else {
			b[len(b)-1] |= byte(code) << 4
		}
	}
	return b, nil
}

// ParseNumber reads a called or calling party number; ok is false if it is malformed.
func ParseNumber(b []byte) (number string, ok bool) {
	if len(b) < 2 {
		return "", false
	}
	n := 2 * (len(b) - 2)
	if b[0]&oddDigits != 0 {
		if n == 0 {
			return "", false
		}
		n--
	}
	out := make([]byte, 0, n)
	for i := range n {
		code := b[2+i/2] >> (4 * (i % 2)) & 0xf
		if code == 15 { // end-of-pulsing signal (ST)
			break
		}
		if int(code) >= len(digitCodes) || code == 10 {
			return "", false
		}
		out = append(out, digitCodes[code])
	}
	return string(out), true
}

// causeLocation is the first byte of cause indicators (Q.850): extension bit, coding standard ITU-T, location
// "private network serving the remote user". extensionBit marks the last byte of a field.
const causeLocation, extensionBit = 0x85, 0x80

// Cause returns cause indicators with the given Q.850 cause.
func Cause(c uint8) Parameter {
	return Parameter{CauseIndicators, []byte{causeLocation, extensionBit | c}}
}

// ParseCause returns the Q.850 cause in the cause indicators of a message; 0 if there are none.
func ParseCause(m *Message) uint8 {
	if b := m.Param(CauseIndicators); len(b) >= 2 {
		return b[1] &^ extensionBit
	}
	return 0
}

// Range returns a range and status parameter for n circuits, beginning with the CIC of the message; n must be 1 to
// 256. status holds one value for each circuit; if it is nil, no status is sent.
func Range(n int, status []bool) Parameter {
	data := []byte{byte(n - 1)}
	if status != nil {
		data = append(data, make([]byte, (n+7)/8)...)
		for i, on := range status {
			if on {
				data[1+i/8] |= 1 << (i % 8)
			}
		}
	}
	return Parameter{RangeAndStatus, data}
}

// ParseRange reads the range and status parameter; n is 0 if it is missing or malformed, and status is nil if
// none is given.
func ParseRange(m *Message) (n int, status []bool) {
	b := m.Param(RangeAndStatus)
	if len(b) == 0 {
		return 0, nil
	}
	n = int(b[0]) + 1
	if len(b) > 1 {
		if len(b)-1 < (n+7)/8 {
			return 0, nil
		}
		status = make([]bool, n)
		for i := range status {
			status[i] = b[1+i/8]>>(i%8)&1 == 1
		}
	}
	return n, status
}
