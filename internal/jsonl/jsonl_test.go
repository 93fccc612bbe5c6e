package jsonl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

const ref = "9b1f03aa5c7e2d41"

func TestParseAllFields(t *testing.T) {
	m, err := Parse([]byte(`{"t":"new","ref":"9b1f03aa5c7e2d41","f":{"class":"voice","left":1500,"note":"a\nb","x":"y"},"d":"v=0\r\n\u0041","c":34}`))
	if err != nil || m.Type != TypeNew || m.Ref != ref || m.Cause != CauseNoCircuit || string(m.Description) != `"v=0\r\n\u0041"` {
		t.Fatalf("%+v, %v", m, err)
	}
	if left, ok := m.IntField("left", 0, 2000); !ok || left != 1500 || m.Fields["class"] != "voice" || m.Fields["note"] != "a\nb" || len(m.Fields) != 3 {
		t.Fatalf("fields %q", m.Fields)
	}
}

func TestParseErrors(t *testing.T) {
	line := func(s string) string { return fmt.Sprintf(s, ref) }
	for _, c := range []struct {
		line string
		want error
		ref  string
	}{
		{`{`, ErrInvalidLine, ""}, {`[1]`, ErrInvalidLine, ""}, {`null`, ErrInvalidLine, ""}, {``, ErrInvalidLine, ""}, {"{\"t\":\"\xff\"}", ErrInvalidLine, ""},
		{line(`{"t":"new","ref":"%s"} x`), ErrInvalidLine, ""},
		{line(`{"t":7,"ref":"%s"}`), ErrInvalidType, ref}, {line(`{"T":"new","ref":"%s"}`), ErrInvalidType, ref},
		{`{"t":"new"}`, ErrInvalidRef, ""}, {`{"t":"new","ref":"9b1f"}`, ErrInvalidRef, ""}, {`{"t":"down","ref":12}`, ErrInvalidRef, ""},
		{`{"t":"hb","ref":"9b1f"}`, ErrInvalidRef, ""}, {`{"t":"new","ref":"9b1f03aa5c7e2dxx"}`, ErrInvalidRef, ""},
		{line(`{"t":"new","ref":"%s","f":[]}`), ErrInvalidFields, ref}, {line(`{"t":"new","ref":"%s","f":{"a":{}}}`), ErrInvalidFields, ref},
		{line(`{"t":"new","ref":"%s","f":{"a":null}}`), ErrInvalidFields, ref}, {line(`{"t":"new","ref":"%s","f":{"a":true}}`), ErrInvalidFields, ref},
		{line(`{"t":"down","ref":"%s","c":-1}`), ErrInvalidCause, ref}, {line(`{"t":"down","ref":"%s","c":1e2}`), ErrInvalidCause, ref},
		{line(`{"t":"down","ref":"%s","c":"16"}`), ErrInvalidCause, ref}, {line(`{"t":"down","ref":"%s","c":128}`), ErrInvalidCause, ref},
		{line(`{"t":"new","ref":"%s","d":5}`), ErrInvalidDescription, ref}, {line(`{"t":"new","ref":"%s","d":"\ud800"}`), ErrInvalidDescription, ref},
		{line(`{"t":"up","ref":"%s","d":"\ufffd ` + "\ufffd" + `"}`), nil, ref}, {line(`{"t":"up","ref":"%s","d":"\ufffd\udc00"}`), ErrInvalidDescription, ref},
		{strings.Repeat(" ", MaxLine+1), ErrLineTooLong, ""},
		{`{"t":"hb","f":{},"c":0}`, nil, ""},
	} {
		m, err := Parse([]byte(c.line))
		if !errors.Is(err, c.want) || m.Ref != c.ref {
			t.Errorf("%.60q: ref %q, error %v; want %q, %v", c.line, m.Ref, err, c.ref, c.want)
		}
	}
}

func TestAppendedLines(t *testing.T) {
	s := SetUp{Ref: ref, Class: Quote("voice"), Key: Quote("7f3a9c21e0b4d655"), TimeLeft: 1500*time.Millisecond + 400, Description: []byte(`"d\r\n"`)}
	got := string(s.Append(nil)) + string(AppendUp(nil, ref, []byte(`"x"`))) + string(AppendDown(nil, ref, CauseCongestion, time.Second)) +
		string(AppendDown(nil, ref, CauseNormal, 0)) + string(AppendHeartbeatOK(nil, ref, true)) + string(AppendHeartbeatOK(nil, "", false))
	want := `{"t":"new","ref":"9b1f03aa5c7e2d41","f":{"class":"voice","left":"1500","key":"7f3a9c21e0b4d655"},"d":"d\r\n"}
{"t":"up","ref":"9b1f03aa5c7e2d41","f":{},"d":"x"}
{"t":"down","ref":"9b1f03aa5c7e2d41","f":{"wait":"1000"},"c":42}
{"t":"down","ref":"9b1f03aa5c7e2d41","f":{},"c":16}
{"t":"hb_ok","ref":"9b1f03aa5c7e2d41","f":{},"c":1}
{"t":"hb_ok","f":{},"c":0}
`
	if got != want {
		t.Fatalf("got\n%s\nwant\n%s", got, want)
	}
}

// splitAt pushes a stream in two parts, split at an index, and returns the lines.
func splitAt(t *testing.T, stream []byte, split int) (got []string, err error) {
	t.Helper()
	var l LineSplitter
	for _, b := range [][]byte{stream[:split], stream[split:]} {
		if err = l.Push(b, func(line []byte) bool { got = append(got, string(line)); return true }); err != nil {
			return got, err
		}
	}
	return got, nil
}

func TestLineSplitterAtAnySplit(t *testing.T) {
	stream := []byte("one\n\n" + strings.Repeat("x", 300) + "\nfour\npart")
	want, _ := splitAt(t, stream, 0)
	if len(want) != 4 {
		t.Fatalf("lines %q", want)
	}
	for split := range stream {
		if got, err := splitAt(t, stream, split); err != nil || !slices.Equal(got, want) {
			t.Fatalf("split at %d: %q, %v", split, got, err)
		}
	}
}

func TestLineSplitterLimitsIncompleteLine(t *testing.T) {
	var l LineSplitter
	noLine := func([]byte) bool { t.Fatal("incomplete line passed on"); return false }
	for range MaxLine / 1024 {
		if err := l.Push(bytes.Repeat([]byte("x"), 1024), noLine); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Push([]byte("x"), noLine); err != ErrLineTooLong || l.Partial() {
		t.Fatalf("error %v, partial %v", err, l.Partial())
	}
}

// TestParseCostsNoMemoryForUnknownFields guards against memory that a client decides on: each of the many short fields of a
// long line was kept, until the process passed its memory limit.
func TestParseCostsNoMemoryForUnknownFields(t *testing.T) {
	line := func(fields int) []byte {
		b := []byte(`{"t":"new","ref":"9b1f03aa5c7e2d41","d":"x","f":{"class":"voice"`)
		for n := range fields {
			b = fmt.Appendf(b, `,"%03x":1`, n)
		}
		return append(b, "}}"...)
	}
	allocations := func(line []byte) float64 {
		return testing.AllocsPerRun(10, func() {
			if _, err := Parse(line); err != nil {
				t.Fatal(err)
			}
		})
	}
	few, many := line(1), line(1800)
	if a, b := allocations(few), allocations(many); a != b {
		t.Fatalf("%v allocations with 1 unknown field, %v with 1800", a, b)
	}
}

// parseReference decodes a line with encoding/json alone. Parse has to give the same result for any line.
func parseReference(line []byte) (Message, error) {
	var m Message
	var raw map[string]json.RawMessage // a struct would match keys case-insensitively
	if len(line) > MaxLine {
		return m, ErrLineTooLong
	}
	if !utf8.Valid(line) || json.Unmarshal(line, &raw) != nil || raw == nil {
		return m, ErrInvalidLine
	}
	text := func(raw json.RawMessage) (s string, ok bool) {
		ok = len(raw) > 0 && raw[0] == '"' && json.Unmarshal(raw, &s) == nil
		return s, ok
	}
	ref, ok := text(raw["ref"])
	if ok && isRef(ref) {
		m.Ref = ref
	}
	if m.Type, ok = text(raw["t"]); !ok {
		return m, ErrInvalidType
	}
	if m.Ref == "" && !(raw["ref"] == nil && (m.Type == TypeHeartbeat || m.Type == TypeHeartbeatOK || m.Type == TypeGauge)) {
		return m, ErrInvalidRef
	}
	if raw["f"] != nil {
		var all map[string]json.RawMessage
		if json.Unmarshal(raw["f"], &all) != nil || all == nil {
			return m, ErrInvalidFields
		}
		for name, v := range all {
			s, ok := text(v)
			var n json.Number
			if !ok && (json.Unmarshal(v, &n) != nil || n == "") {
				return m, ErrInvalidFields
			}
			if m.Fields == nil {
				m.Fields = map[string]string{}
			}
			if isField[name] {
				m.Fields[name] = s + n.String()
			}
		}
	}
	if c := raw["c"]; c != nil {
		n, err := strconv.ParseUint(string(c), 10, 8)
		if err != nil || n > maxCause {
			return m, ErrInvalidCause
		}
		m.Cause = int(n)
	}
	if d := raw["d"]; d != nil {
		s, ok := text(d)
		if n := strings.Count(s, replacementChar); !ok || n > 0 && n > replacementChars(d) {
			return m, ErrInvalidDescription
		}
		m.Description = d
	}
	return m, nil
}

// expectAsReference compares the result of Parse with that of parseReference.
func expectAsReference(t *testing.T, line []byte) {
	t.Helper()
	got, err := Parse(line)
	want, wantErr := parseReference(line)
	same := got.Type == want.Type && got.Ref == want.Ref && got.Cause == want.Cause && bytes.Equal(got.Description, want.Description)
	if !errors.Is(err, wantErr) || err == nil && (!same || !maps.Equal(got.Fields, want.Fields)) || got.Ref != want.Ref {
		t.Fatalf("%.200q: %+v, %v; want %+v, %v", line, got, err, want, wantErr)
	}
}

// TestParseAsReference compares lines that differ in one small part from valid ones.
func TestParseAsReference(t *testing.T) {
	for _, value := range []string{`""`, `"a"`, `"\u0061"`, `"\u00"`, `"\x"`, `"\"`, `"\\"`, "\"\t\"", "\"\x7f\"", `"é"`, `"\ud800"`, `"\ud83d\ude00"`, `0`, `-0`, `00`, `01`, `-`, `+1`, `.5`,
		`1.`, `1.5`, `1e`, `1e5`, `1E-05`, `1e+`, `0x1`, `16`, `255`, `NaN`, `null`, `nul`, `nulll`, `true`, `false`, `True`, `[]`, `[1,]`, `[,]`, `[1 2]`, `[1,[2,{"a":null}]]`,
		`{}`, `{"a"}`, `{"a":}`, `{"a":1,}`, `{,}`, `{"a":1 "b":2}`, `{a:1}`, `{"class":"x"}`, `{"class":"x","class":"y"}`, `{"\u0063lass":"x"}`, `{"class":"a\nb"}`, `{"left":1.50}`, ``, ` `,
		strings.Repeat("[", 200) + strings.Repeat("]", 200), strings.Repeat("[", 200) + strings.Repeat("]", 199)} {
		for _, form := range []string{`%s`, ` {"t":"new","ref":"9b1f03aa5c7e2d41","x":%s}`, `{"t":%s,"ref":"9b1f03aa5c7e2d41"}`, `{"t":"new","ref":%s}`, `{"t":"hb","f":%s}`,
			`{"t":"hb","f":{"class":%s,"other":1}}`, `{"t":"hb","f":{"other":%s}}`, "{\"t\" :\n\"hb\" ,\t\"c\":%s\r}", `{"t":"hb","d":%s}`, `{"t":"hb"}%s`, `{"t":"hb","f":{"load":"x"},"f":%s}`} {
			expectAsReference(t, fmt.Appendf(nil, form, value))
		}
	}
	const deepest = MaxLine/2 - 16
	for _, last := range []string{strings.Repeat("]", deepest), strings.Repeat("]", deepest-1), ""} {
		expectAsReference(t, []byte(`{"t":"hb","x":`+strings.Repeat("[", deepest)+last+`}`))
	}
}

// FuzzParse checks that a parsed message, sent as a set-up, is one line that parses to the same reference and
// description, and that encoding/json has the same result.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"t":"new","ref":"9b1f03aa5c7e2d41","f":{"class":"voice","left":"1500"},"d":"9d\r\n"}`))
	f.Add([]byte(`{"t":"down","ref":"9b1f03aa5c7e2d41","f":{},"c":34}`))
	f.Add([]byte(`{"t":"gauge","f":{"load":"x0:1;x1:2"}}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		expectAsReference(t, line)
		m, err := Parse(line)
		if err != nil || m.Ref == "" || m.Description == nil {
			return
		}
		s := SetUp{Ref: m.Ref, Class: Quote(m.Fields["class"]), TimeLeft: time.Second, Description: m.Description}
		out := s.Append(nil)
		if bytes.IndexByte(out, '\n') != len(out)-1 {
			t.Fatalf("not exactly one line: %q", out)
		}
		again, err := Parse(out[:len(out)-1])
		if len(out) <= MaxLine && (err != nil || !bytes.Equal(again.Description, m.Description) || again.Ref != m.Ref) {
			t.Fatalf("%q became %q: %v", line, out, err)
		}
	})
}
