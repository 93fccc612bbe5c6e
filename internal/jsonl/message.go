// Package jsonl is the codec of the platform's protocol: JSON lines that name their call by a reference.
//
// It checks form (length, types, references, numbers), not meaning, and touches no socket.
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

// MaxLine is the most bytes that one message may have, its line feed left out.
const MaxLine = 16 << 10

// refLen is the number of hex digits of a reference.
const refLen = 16

// Types of message.
const (
	TypeNew         = "new"   // set-up
	TypeWait        = "wait"  // progress
	TypeUp          = "up"    // answer
	TypeDown        = "down"  // refusal, give-up or release
	TypeAck         = "ack"   // release heard
	TypeHeartbeat   = "hb"    // test, a report is wanted with cause 1
	TypeHeartbeatOK = "hb_ok" // passed with cause 1
	TypeGauge       = "gauge" // state of a group
)

// Causes (Q.850) that the protocol names.
const (
	CauseNormal              = 16  // normal call clearing; before an answer the set-up is given up
	CauseUserBusy            = 17  // error
	CauseResourceUnavailable = 47  // resource unavailable: error
	CauseNoCircuit           = 34  // full
	CauseTemporaryFailure    = 41  // temporary failure: reset, cut or failed
	CauseCongestion          = 42  // refused
	CauseTimerExpiry         = 102 // recovery on timer expiry: never left
	maxCause                 = 127
)

// Errors of messages.
var (
	ErrLineTooLong        = fmt.Errorf("line of more than %d bytes", MaxLine)
	ErrInvalidLine        = errors.New("not a JSON object of the protocol")
	ErrInvalidRef         = errors.New("ref is not 16 hex digits")
	ErrInvalidType        = errors.New("type is not a string")
	ErrInvalidFields      = errors.New("fields are not strings or numbers")
	ErrInvalidCause       = errors.New("cause is not a number from 0 to 127")
	ErrInvalidDescription = errors.New("description cannot be passed on unchanged")
)

// Message is one line. Ref is set also on errors, where it could be read.
type Message struct {
	Type   string
	Ref    string
	Fields map[string]string
	Cause  int
	Desc   []byte // the description as it stood, a JSON string with its quotes; nil if there is none
}

// Parse reads one line, without its line feed.
func Parse(line []byte) (Message, error) {
	var m Message
	if len(line) > MaxLine {
		return m, ErrLineTooLong
	}
	var raw map[string]json.RawMessage // a struct would also take keys of another case
	if !utf8.Valid(line) || json.Unmarshal(line, &raw) != nil || raw == nil {
		return m, ErrInvalidLine
	}
	ref, ok := text(raw["ref"])
	if ok && validRef(ref) {
		m.Ref = ref
	}
	if m.Type, ok = text(raw["t"]); !ok {
		return m, ErrInvalidType
	}
	if m.Ref == "" && !(raw["ref"] == nil && (m.Type == TypeHeartbeat || m.Type == TypeHeartbeatOK || m.Type == TypeGauge)) {
		return m, ErrInvalidRef
	}
	if err := m.fields(raw["f"]); err != nil {
		return m, err
	}
	if c := raw["c"]; c != nil {
		n, err := strconv.ParseUint(string(bytes.TrimSpace(c)), 10, 8)
		if err != nil || n > maxCause {
			return m, ErrInvalidCause
		}
		m.Cause = int(n)
	}
	if d := raw["d"]; d != nil {
		s, ok := text(d)
		if n := strings.Count(s, replacement); !ok || n > 0 && n > replacements(d) {
			return m, ErrInvalidDescription // half of a surrogate pair: not everyone can read it
		}
		m.Desc = bytes.Clone(bytes.TrimSpace(d))
	}
	return m, nil
}

const replacement = string(utf8.RuneError)

// replacements counts the replacement characters that a JSON string holds as such. More of them when it is read stand
// for what no text can hold.
func replacements(raw []byte) int {
	return bytes.Count(raw, []byte(replacement)) + bytes.Count(bytes.ToLower(raw), []byte(`\ufffd`))
}

func (m *Message) fields(raw json.RawMessage) error {
	if raw == nil {
		return nil
	}
	var all map[string]json.RawMessage
	if json.Unmarshal(raw, &all) != nil || all == nil {
		return ErrInvalidFields
	}
	if len(all) > 0 {
		m.Fields = make(map[string]string, len(all))
	}
	for name, v := range all {
		s, ok := text(v)
		if !ok {
			var n json.Number
			if json.Unmarshal(v, &n) != nil || n == "" {
				return ErrInvalidFields
			}
			s = n.String()
		}
		m.Fields[name] = s
	}
	return nil
}

// text reads a JSON string.
func text(raw json.RawMessage) (string, bool) {
	raw = bytes.TrimSpace(raw)
	if len(raw) < 2 || raw[0] != '"' {
		return "", false
	}
	if in := raw[1 : len(raw)-1]; bytes.IndexByte(in, '\\') < 0 {
		return string(in), true // the line as a whole was found to be JSON
	}
	var s string
	err := json.Unmarshal(raw, &s)
	return s, err == nil
}

func validRef(s string) bool { return len(s) == refLen && IsHex(s) }

// IsHex tells whether a text has nothing but hex digits.
func IsHex(s string) bool {
	for i := range len(s) {
		if c := s[i]; !('0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F') {
			return false
		}
	}
	return s != ""
}

// IntField reads a field that holds a whole number from least to most.
func (m *Message) IntField(name string, least, most int64) (int64, bool) {
	n, err := strconv.ParseInt(m.Fields[name], 10, 64)
	return n, err == nil && n >= least && n <= most
}

// SetUp is what a set-up to a switch says. Class and Key are JSON strings with their quotes.
type SetUp struct {
	Ref        string
	Class, Key []byte
	TimeLeft   time.Duration
	Desc       []byte
}

// Append adds the line of a set-up.
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
	b = append(b, s.Desc...)
	return append(b, "}\n"...)
}

// Quote is a text as a JSON string.
func Quote(s string) []byte {
	b, _ := json.Marshal(s) // of a string it cannot fail
	return b
}

// AppendUp adds an answer.
func AppendUp(b []byte, ref string, desc []byte) []byte {
	b = append(b, `{"t":"up","ref":"`...)
	b = append(b, ref...)
	b = append(b, `","f":{},"d":`...)
	b = append(b, desc...)
	return append(b, "}\n"...)
}

// AppendDown adds a refusal or release; wait above zero is the time to stay away.
func AppendDown(b []byte, ref string, cause int, wait time.Duration) []byte {
	b = append(b, `{"t":"down","ref":"`...)
	b = append(b, ref...)
	b = append(b, `","f":{`...)
	if ms := wait.Milliseconds(); ms > 0 {
		b = append(b, `"wait":"`...)
		b = strconv.AppendInt(b, ms, 10)
		b = append(b, '"')
	}
	b = append(b, `},"c":`...)
	b = strconv.AppendInt(b, int64(cause), 10)
	return append(b, "}\n"...)
}

// AppendHeartbeat adds a test, without a report.
func AppendHeartbeat(b []byte, ref uint64) []byte {
	return fmt.Appendf(b, `{"t":"hb","ref":"%016x","f":{},"c":0}`+"\n", ref)
}

// AppendHeartbeatOK adds the answer to a test, with the reference of the test where it had one.
func AppendHeartbeatOK(b []byte, ref string, passed bool) []byte {
	b = append(b, `{"t":"hb_ok",`...)
	if ref != "" {
		b = append(b, `"ref":"`...)
		b = append(b, ref...)
		b = append(b, `",`...)
	}
	b = append(b, `"f":{},"c":`...)
	if passed {
		return append(b, "1}\n"...)
	}
	return append(b, "0}\n"...)
}
