// Package jsonl is the codec of the platform's protocol: JSON lines in which a reference identifies the call.
//
// It checks the syntax of messages (length, types, references, numbers) but not their meaning, and does no I/O.
package jsonl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// MaxLine is the maximum length of a message in bytes, without its line feed.
const MaxLine = 16 << 10

// refLen is the length of a reference in hex digits.
const refLen = 16

// Message types.
const (
	TypeNew         = "new"   // set-up
	TypeWait        = "wait"  // progress
	TypeUp          = "up"    // answer
	TypeDown        = "down"  // rejection, cancellation or release
	TypeAck         = "ack"   // acknowledgement of a release
	TypeHeartbeat   = "hb"    // heartbeat; cause 1 requests a load report
	TypeHeartbeatOK = "hb_ok" // heartbeat reply; cause 1 if the heartbeat succeeded
	TypeGauge       = "gauge" // load report of a trunk group
)

// Causes of Q.850 that the protocol uses. Each comment gives the cause's name in Q.850, then its meaning here.
const (
	CauseNormal              = 16  // normal call clearing: release; before an answer, the set-up is cancelled
	CauseUserBusy            = 17  // user busy: error at the switch
	CauseResourceUnavailable = 47  // resource unavailable: error at the switch
	CauseNoCircuit           = 34  // no circuit available: the trunk group is full
	CauseTemporaryFailure    = 41  // temporary failure: reset, cut or failed
	CauseCongestion          = 42  // switching equipment congestion: refused
	CauseTimerExpiry         = 102 // recovery on timer expiry: the set-up was not sent
	maxCause                 = 127 // largest value of a cause
)

// Errors of LineSplitter.Push and Parse.
var (
	ErrLineTooLong        = fmt.Errorf("line exceeds %d bytes", MaxLine)
	ErrInvalidLine        = errors.New("line is not a JSON object in UTF-8")
	ErrInvalidRef         = errors.New("ref is not 16 hex digits")
	ErrInvalidType        = errors.New("type is not a string")
	ErrInvalidFields      = errors.New("f is not an object of strings and numbers")
	ErrInvalidCause       = errors.New("cause is not an integer from 0 to 127")
	ErrInvalidDescription = errors.New("description is not a string or contains an unpaired surrogate")
)

// isField has the names of the fields that the protocol defines.
var isField = map[string]bool{"class": true, "left": true, "retry": true, "key": true, "extras": true, "tenant": true, "wait": true,
	"note": true, "load": true}

// Message is one decoded line.
type Message struct {
	Type        string            // one of the Type constants, or unknown
	Ref         string            // reference of the call: 16 hex digits; empty if absent
	Fields      map[string]string // those of isField that are present; numbers as written
	Cause       int               // 0 if absent
	Description []byte            // description as received: a JSON string with its quotes; nil if absent
}

// Parse decodes one line, without its line feed. On errors too, the message has the reference if one could be read.
func Parse(line []byte) (Message, error) {
	var m Message
	if len(line) > MaxLine {
		return m, ErrLineTooLong
	}
	raw, ok := splitMembers(line)
	if !ok {
		return m, ErrInvalidLine
	}
	ref, ok := parseString(raw.ref)
	if ok && isRef(ref) {
		m.Ref = ref
	}
	if m.Type, ok = parseString(raw.messageType); !ok {
		return m, ErrInvalidType
	}
	if m.Ref == "" && !(raw.ref == nil && (m.Type == TypeHeartbeat || m.Type == TypeHeartbeatOK || m.Type == TypeGauge)) {
		return m, ErrInvalidRef
	}
	if err := m.parseFields(raw.fields); err != nil {
		return m, err
	}
	if c := raw.cause; c != nil {
		n, err := strconv.ParseUint(string(bytes.TrimSpace(c)), 10, 8)
		if err != nil || n > maxCause {
			return m, ErrInvalidCause
		}
		m.Cause = int(n)
	}
	if d := raw.description; d != nil {
		s, ok := parseString(d)
		if n := strings.Count(s, replacementChar); !ok || n > 0 && n > replacementChars(d) {
			return m, ErrInvalidDescription // an unpaired surrogate, which not every JSON decoder accepts
		}
		m.Description = bytes.Clone(bytes.TrimSpace(d))
	}
	return m, nil
}

// rawMembers are the members of a line that the protocol defines, as written; nil if absent. Of several with one name the
// last counts.
type rawMembers struct{ messageType, ref, fields, cause, description []byte }

// splitMembers finds the members of a line. It reports false if the line is not a JSON object in UTF-8.
func splitMembers(line []byte) (raw rawMembers, ok bool) {
	ok = utf8.Valid(line) && scanObject(line, func(name, value []byte) {
		switch string(name) {
		case "t":
			raw.messageType = value
		case "ref":
			raw.ref = value
		case "f":
			raw.fields = value
		case "c":
			raw.cause = value
		case "d":
			raw.description = value
		}
	})
	return raw, ok
}

const replacementChar = string(utf8.RuneError)

// replacementChars counts the replacement characters (U+FFFD) that an encoded JSON string contains. If the decoded
// string has more of them, the rest stand for unpaired surrogates.
func replacementChars(raw []byte) int {
	return bytes.Count(raw, []byte(replacementChar)) + bytes.Count(bytes.ToLower(raw), []byte(`\ufffd`))
}

// parseFields checks all fields and keeps those that the protocol defines: others would cost memory for nothing.
func (m *Message) parseFields(raw []byte) error {
	if raw == nil {
		return nil
	}
	valid := true
	isObject := scanObject(raw, func(name, value []byte) {
		isNumber := value[0] == '-' || '0' <= value[0] && value[0] <= '9'
		switch {
		case value[0] != '"' && !isNumber:
			valid = false
			return
		case !isField[string(name)]:
			return
		}
		text, isString := parseString(value)
		if !isString {
			text = string(value)
		}
		if m.Fields == nil {
			m.Fields = map[string]string{}
		}
		m.Fields[string(name)] = text
	})
	if !isObject || !valid {
		return ErrInvalidFields
	}
	return nil
}

// parseString decodes a JSON string, and reports false for any other value. Raw must be valid JSON or empty.
func parseString(raw json.RawMessage) (string, bool) {
	raw = bytes.TrimSpace(raw)
	if len(raw) < 2 || raw[0] != '"' {
		return "", false
	}
	if in := raw[1 : len(raw)-1]; bytes.IndexByte(in, '\\') < 0 {
		return string(in), true // Parse has checked that the whole line is valid JSON
	}
	var s string
	err := json.Unmarshal(raw, &s)
	return s, err == nil
}

func isRef(s string) bool { return len(s) == refLen && IsHex(s) }

// IsHex reports whether s is a non-empty string of hex digits.
func IsHex(s string) bool {
	for i := range len(s) {
		if c := s[i]; !('0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F') {
			return false
		}
	}
	return s != ""
}

// IntField returns a field's value and reports whether it is an integer from least to most.
func (m *Message) IntField(name string, least, most int64) (int64, bool) {
	n, err := strconv.ParseInt(m.Fields[name], 10, 64)
	return n, err == nil && n >= least && n <= most
}

// SetUp is a set-up sent to a switch. Class, Key and Desc are JSON strings with their quotes; a nil Key is left out.
type SetUp struct {
	Ref         string
	Class, Key  []byte
	TimeLeft    time.Duration
	Description []byte
}

// Append appends the set-up's line to b. A TimeLeft of less than 1 ms is sent as 1 ms.
func (s *SetUp) Append(b []byte) []byte {
	b = append(b, `{"t":"new","ref":"`...)
	b = append(b, s.Ref...)
	b = append(b, `","f":{"class":`...)
	b = append(b, s.Class...)
	b = append(b, `,"left":"`...)
	b = strconv.AppendInt(b, max(1, s.TimeLeft.Milliseconds()), 10)
	b = append(b, '"')
	if s.Key != nil {
		b = append(b, `,"key":`...)
		b = append(b, s.Key...)
	}
	b = append(b, `},"d":`...)
	b = append(b, s.Description...)
	return append(b, "}\n"...)
}

// Quote returns s as a JSON string with its quotes.
func Quote(s string) []byte {
	b, _ := json.Marshal(s) // marshalling a string cannot fail
	return b
}

// AppendUp appends the line of an answer to b. Desc is a JSON string with its quotes.
func AppendUp(b []byte, ref string, desc []byte) []byte {
	b = append(b, `{"t":"up","ref":"`...)
	b = append(b, ref...)
	b = append(b, `","f":{},"d":`...)
	b = append(b, desc...)
	return append(b, "}\n"...)
}

// AppendDown appends the line of a rejection or release to b. A retryAfter time of less than 1 ms is left out.
func AppendDown(b []byte, ref string, cause int, retryAfter time.Duration) []byte {
	b = append(b, `{"t":"down","ref":"`...)
	b = append(b, ref...)
	b = append(b, `","f":{`...)
	if ms := retryAfter.Milliseconds(); ms > 0 {
		b = append(b, `"wait":"`...)
		b = strconv.AppendInt(b, ms, 10)
		b = append(b, '"')
	}
	b = append(b, `},"c":`...)
	b = strconv.AppendInt(b, int64(cause), 10)
	return append(b, "}\n"...)
}

// AppendHeartbeat appends the line of a heartbeat that requests no load report to b.
func AppendHeartbeat(b []byte, ref uint64) []byte {
	return fmt.Appendf(b, `{"t":"hb","ref":"%016x","f":{},"c":0}`+"\n", ref)
}

// AppendHeartbeatOK appends the line of a heartbeat reply to b, with the heartbeat's reference unless that is empty.
func AppendHeartbeatOK(b []byte, ref string, succeeded bool) []byte {
	b = append(b, `{"t":"hb_ok",`...)
	if ref != "" {
		b = append(b, `"ref":"`...)
		b = append(b, ref...)
		b = append(b, `",`...)
	}
	b = append(b, `"f":{},"c":`...)
	if succeeded {
		return append(b, "1}\n"...)
	}
	return append(b, "0}\n"...)
}
