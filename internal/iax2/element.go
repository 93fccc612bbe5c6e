package iax2

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"
)

// Element is the code of an information element (RFC 5456, 8.6; CALLTOKEN: RFC 5457).
type Element uint8

// Codes of information elements, values of AUTHMETHODS, VERSION and DPSTATUS, and limits.
const (
	CalledNumber     Element = 0x01
	CallingNumber    Element = 0x02
	CallingANI       Element = 0x03
	CallingName      Element = 0x04
	CalledContext    Element = 0x05
	Username         Element = 0x06
	Password         Element = 0x07
	Capability       Element = 0x08
	Format           Element = 0x09
	Language         Element = 0x0a
	Version          Element = 0x0b
	ADSICPE          Element = 0x0c
	DNID             Element = 0x0d
	AuthMethods      Element = 0x0e
	Challenge        Element = 0x0f
	MD5Result        Element = 0x10
	RSAResult        Element = 0x11
	ApparentAddr     Element = 0x12
	Refresh          Element = 0x13
	DPStatus         Element = 0x14
	CallNo           Element = 0x15
	CauseText        Element = 0x16
	IAXUnknown       Element = 0x17
	MsgCount         Element = 0x18
	AutoAnswer       Element = 0x19
	MusicOnHold      Element = 0x1a
	TransferID       Element = 0x1b
	RDNIS            Element = 0x1c
	DateTime         Element = 0x1f
	CallingPres      Element = 0x26
	CallingTON       Element = 0x27
	CallingTNS       Element = 0x28
	SamplingRate     Element = 0x29
	CauseCode        Element = 0x2a
	Encryption       Element = 0x2b
	EncryptionKey    Element = 0x2c
	CodecPrefs       Element = 0x2d
	RRJitter         Element = 0x2e
	RRLoss           Element = 0x2f
	RRPackets        Element = 0x30
	RRDelay          Element = 0x31
	RRDropped        Element = 0x32
	RROutOfOrder     Element = 0x33
	OSPToken         Element = 0x34
	CallTokenIE      Element = 0x36
	elementCount             = 0x37   // one more than the largest code
	maxElementLength         = 255    // bytes
	authMD5                  = 0x0002 // AUTHMETHODS: challenge with MD5 response
	protocolVersion          = 2      // VERSION
	dpStatusExists           = 0x0001 // DPSTATUS: number exists
	dpStatusUnknown          = 0x0004 // DPSTATUS: number does not exist
)

// elementKind is the data format of an information element.
type elementKind uint8

const (
	kindUnknown elementKind = iota
	kindText
	kindBytes
	kindEmpty
	kindU8
	kindU16
	kindU32
	kindAddr
)

// elementKinds holds the data format of each element that the RFCs define.
var elementKinds = [elementCount]elementKind{
	CalledNumber: kindText, CallingNumber: kindText, CallingANI: kindText, CallingName: kindText,
	CalledContext: kindText, Username: kindText, Password: kindText, Capability: kindU32, Format: kindU32,
	Language: kindText, Version: kindU16, ADSICPE: kindU16, DNID: kindText, AuthMethods: kindU16,
	Challenge: kindText, MD5Result: kindText, RSAResult: kindText, ApparentAddr: kindAddr, Refresh: kindU16,
	DPStatus: kindU16, CallNo: kindU16, CauseText: kindText, IAXUnknown: kindU8, MsgCount: kindU16,
	AutoAnswer: kindEmpty, MusicOnHold: kindText, TransferID: kindU32, RDNIS: kindText, DateTime: kindU32,
	CallingPres: kindU8, CallingTON: kindU8, CallingTNS: kindU16, SamplingRate: kindU16, CauseCode: kindU8,
	Encryption: kindU16, EncryptionKey: kindBytes, CodecPrefs: kindText, RRJitter: kindU32, RRLoss: kindU32,
	RRPackets: kindU32, RRDelay: kindU16, RRDropped: kindU32, RROutOfOrder: kindU32, OSPToken: kindBytes,
	CallTokenIE: kindBytes,
}

// size returns the fixed data length in bytes, or -1 if the length is variable.
func (k elementKind) size() int {
	switch k {
	case kindEmpty:
		return 0
	case kindU8:
		return 1
	case kindU16:
		return 2
	case kindU32:
		return 4
	case kindAddr:
		return 16
	}
	return -1
}

// Elements holds the information elements of one frame. Values refer to the bytes of the datagram. Of an
// element that occurs more than once, the first value is used.
type Elements struct {
	present uint64 // one bit for each code
	values  [elementCount][]byte
	Unknown []RawElement // elements not defined by the RFCs, kept for tracing
}

// RawElement is an element that neither RFC 5456 nor RFC 5457 defines.
type RawElement struct {
	Code  uint8
	Value []byte
}

// ElementError reports an information element whose length does not fit its format.
type ElementError struct {
	Code   Element
	Length int
}

func (e *ElementError) Error() string {
	return fmt.Sprintf("iax2: information element 0x%02x has an invalid length of %d bytes", uint8(e.Code), e.Length)
}

// Parse reads the payload of an IAX frame. It returns ErrLength or an *ElementError if the payload is
// malformed.
func (e *Elements) Parse(b []byte) error {
	e.present, e.Unknown = 0, e.Unknown[:0]
	for len(b) > 0 {
		if len(b) < 2 || len(b) < 2+int(b[1]) {
			return ErrLength
		}
		code, value := Element(b[0]), b[2:2+int(b[1])]
		b = b[2+len(value):]
		if code >= elementCount || elementKinds[code] == kindUnknown {
			e.Unknown = append(e.Unknown, RawElement{uint8(code), value})
			continue
		}
		if n := elementKinds[code].size(); n >= 0 && n != len(value) {
			return &ElementError{code, len(value)}
		}
		if !e.Has(code) {
			e.present |= 1 << code
			e.values[code] = value
		}
	}
	return nil
}

// Has reports whether the element is present.
func (e *Elements) Has(code Element) bool { return e.present&(1<<code) != 0 }

// Bytes returns the data of an element, or nil if it is absent.
func (e *Elements) Bytes(code Element) []byte {
	if !e.Has(code) {
		return nil
	}
	return e.values[code]
}

// Text returns the value of a text element, or "" if it is absent.
func (e *Elements) Text(code Element) string { return string(e.Bytes(code)) }

// Uint returns the value of a numeric element, or 0 if it is absent.
func (e *Elements) Uint(code Element) uint32 {
	v := uint32(0)
	for _, b := range e.Bytes(code) {
		v = v<<8 | uint32(b)
	}
	return v
}

// Addr returns the apparent address (8.6.17), which is encoded as a sockaddr_in; ok is false if it is absent or
// not IPv4.
func (e *Elements) Addr() (netip.AddrPort, bool) {
	b := e.Bytes(ApparentAddr)
	if len(b) != 16 || binary.LittleEndian.Uint16(b) != 2 {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[2:])), true
}

// Time returns the DATETIME element (8.6.28), which has a resolution of two seconds; ok is false if it is
// absent.
func (e *Elements) Time() (time.Time, bool) {
	if !e.Has(DateTime) {
		return time.Time{}, false
	}
	v := e.Uint(DateTime)
	return time.Date(2000+int(v>>25&0x7f), time.Month(v>>21&0xf), int(v>>16&0x1f), int(v>>11&0x1f),
		int(v>>5&0x3f), int(v&0x1f)*2, 0, time.UTC), true
}

// AppendText appends a text or byte element, truncated to 255 bytes, the most that its length field can
// express.
func AppendText[T string | []byte](b []byte, code Element, value T) []byte {
	if len(value) > maxElementLength {
		value = value[:maxElementLength]
	}
	b = append(b, byte(code), byte(len(value)))
	return append(b, value...)
}

// AppendUint appends a numeric element in the width that the RFC defines for its code.
func AppendUint(b []byte, code Element, value uint32) []byte {
	n := elementKinds[code].size()
	b = append(b, byte(code), byte(n))
	for n--; n >= 0; n-- {
		b = append(b, byte(value>>(8*n)))
	}
	return b
}

// AppendEmpty appends an element without data, such as AUTOANSWER.
func AppendEmpty(b []byte, code Element) []byte { return append(b, byte(code), 0) }

// AppendAddr appends an apparent address element.
func AppendAddr(b []byte, a Addr) []byte {
	b = append(b, byte(ApparentAddr), 16, 2, 0)
	b = binary.BigEndian.AppendUint16(b, a.Port)
	b = append(b, a.IP[:]...)
	return append(b, 0, 0, 0, 0, 0, 0, 0, 0)
}

// AppendTime appends a DATETIME element.
func AppendTime(b []byte, t time.Time) []byte {
	t = t.UTC()
	return AppendUint(b, DateTime, uint32(t.Year()-2000)&0x7f<<25|uint32(t.Month())<<21|uint32(t.Day())<<16|
		uint32(t.Hour())<<11|uint32(t.Minute())<<5|uint32(t.Second()/2))
}
