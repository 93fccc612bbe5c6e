package jsonl

import (
	"bytes"
	"encoding/json"
)

// scanner checks JSON text and finds the values in it without allocating memory for them, so that what a line costs
// depends on its length, and not on the number of its fields. It accepts the same text as encoding/json. The length
// of a line, MaxLine at most, limits how deep arrays and objects in it are nested.
type scanner struct {
	text []byte
	at   int // index of the next byte
}

// scanObject calls member with each name, decoded, and each value, as written, of a JSON object, in their order. It
// reports false if the text is anything but one object, which may come after some calls of member.
func scanObject(text []byte, member func(name, value []byte)) bool {
	s := scanner{text: text}
	s.skipSpace()
	if !s.object(member) {
		return false
	}
	s.skipSpace()
	return s.at == len(text)
}

// peek returns the next byte, 0 at the end of the text.
func (s *scanner) peek() byte {
	if s.at < len(s.text) {
		return s.text[s.at]
	}
	return 0
}

// take consumes the next byte if it is b.
func (s *scanner) take(b byte) bool {
	if s.at < len(s.text) && s.text[s.at] == b {
		s.at++
		return true
	}
	return false
}

func (s *scanner) skipSpace() {
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}

// value consumes one value.
func (s *scanner) value() bool {
	switch s.peek() {
	case '{':
		return s.object(nil)
	case '[':
		return s.array()
	case '"':
		return s.quoted()
	case 't':
		return s.literal("true")
	case 'f':
		return s.literal("false")
	case 'n':
		return s.literal("null")
	}
	return s.number()
}

// object consumes an object and calls member, unless it is nil, for each of its members.
func (s *scanner) object(member func(name, value []byte)) bool {
	return s.list('{', '}', func() bool {
		nameAt := s.at
		if !s.quoted() {
			return false
		}
		name := s.text[nameAt:s.at]
		s.skipSpace()
		if !s.take(':') {
			return false
		}
		s.skipSpace()
		valueAt := s.at
		if !s.value() {
			return false
		}
		if member != nil {
			member(unquoteName(name), s.text[valueAt:s.at])
		}
		return true
	})
}

// array consumes an array.
func (s *scanner) array() bool { return s.list('[', ']', s.value) }

// list consumes an opening byte, elements with commas between them, and a closing byte.
func (s *scanner) list(first, last byte, element func() bool) bool {
	if !s.take(first) {
		return false
	}
	s.skipSpace()
	if s.take(last) {
		return true
	}
	for element() {
		s.skipSpace()
		if !s.take(',') {
			return s.take(last)
		}
		s.skipSpace()
	}
	return false
}

// quoted consumes a string.
func (s *scanner) quoted() bool {
	if !s.take('"') {
		return false
	}
	for s.at < len(s.text) {
		b := s.text[s.at]
		s.at++
		switch {
		case b == '"':
			return true
		case b == '\\':
			if !s.escape() {
				return false
			}
		case b < ' ':
			return false
		}
	}
	return false
}

// escape consumes what follows the backslash in a string.
func (s *scanner) escape() bool {
	b := s.peek()
	s.at++
	if b != 'u' {
		return bytes.IndexByte([]byte(`"\/bfnrt`), b) >= 0
	}
	const digits = 4
	if s.at+digits > len(s.text) || !IsHex(string(s.text[s.at:s.at+digits])) {
		return false
	}
	s.at += digits
	return true
}

// literal consumes a word.
func (s *scanner) literal(word string) bool {
	if !bytes.HasPrefix(s.text[s.at:], []byte(word)) {
		return false
	}
	s.at += len(word)
	return true
}

// number consumes a number.
func (s *scanner) number() bool {
	s.take('-')
	if !s.take('0') && !s.digits() {
		return false
	}
	if s.take('.') && !s.digits() {
		return false
	}
	if !s.take('e') && !s.take('E') {
		return true
	}
	if !s.take('+') {
		s.take('-')
	}
	return s.digits()
}

// digits consumes one decimal digit or more.
func (s *scanner) digits() bool {
	start := s.at
	for s.at < len(s.text) && '0' <= s.text[s.at] && s.text[s.at] <= '9' {
		s.at++
	}
	return s.at > start
}

// unquoteName returns the text of a valid string.
func unquoteName(quoted []byte) []byte {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1]
	}
	var name string
	_ = json.Unmarshal(quoted, &name) // the scanner has checked it
	return []byte(name)
}
