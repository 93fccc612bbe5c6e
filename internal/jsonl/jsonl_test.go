package jsonl

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const ref = "9b1f03aa5c7e2d41"

func TestParseAllFields(t *testing.T) {
	m, err := Parse([]byte(`{"t":"new","ref":"9b1f03aa5c7e2d41","f":{"class":"voice","left":1500,"x":"a\nb"},"d":"v=0\r\n\u0041","c":34}`))
	if err != nil || m.Type != TypeNew || m.Ref != ref || m.Cause != CauseNoCircuit || string(m.Description) != `"v=0\r\n\u0041"` {
		t.Fatalf("%+v, %v", m, err)
	}
	if left, ok := m.IntField("left", 0, 2000); !ok || left != 1500 || m.Fields["class"] != "voice" || m.Fields["x"] != "a\nb" {
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

// FuzzParse checks that a parsed message, sent as a set-up, is one line that parses to the same reference and
// description.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"t":"new","ref":"9b1f03aa5c7e2d41","f":{"class":"voice","left":"1500"},"d":"9d\r\n"}`))
	f.Add([]byte(`{"t":"down","ref":"9b1f03aa5c7e2d41","f":{},"c":34}`))
	f.Add([]byte(`{"t":"gauge","f":{"load":"x0:1;x1:2"}}`))
	f.Fuzz(func(t *testing.T, line []byte) {
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
