// Package tomlbind reads TOML into a struct and reports all problems together, each with file, line and key: syntax
// errors, unknown keys, wrong types, and problems that the caller's own validation adds.
package tomlbind

import (
	"encoding"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is one problem and its position in a file.
type Problem struct {
	File string
	Line int    // from 1; 0 if it belongs to no line
	Key  string // path of the key, such as class[2].aim; empty if it belongs to no key
	Text string
}

// Error returns file, line, key and text of the problem.
func (p Problem) Error() string {
	where := p.File
	if p.Line > 0 {
		where += ":" + strconv.Itoa(p.Line)
	}
	if p.Key != "" {
		return where + ": " + p.Key + ": " + p.Text
	}
	return where + ": " + p.Text
}

// Doc is a parsed file: it maps keys to lines and collects problems.
type Doc struct {
	File     string
	Problems []Problem
	keyLines map[string]int
}

// Report adds a problem with a key, such as class[2].aim. Elements of lists and arrays of tables count from 1.
func (d *Doc) Report(key, format string, args ...any) {
	d.Problems = append(d.Problems, Problem{d.File, d.line(key), key, fmt.Sprintf(format, args...)})
}

// line returns the line of a key, or of the innermost enclosing key whose line is known; 0 if there is none.
func (d *Doc) line(key string) int {
	for key != "" {
		if n, ok := d.keyLines[key]; ok {
			return n
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			break
		}
		key = key[:i]
	}
	return 0
}

// Err returns all problems in the order of their lines as one error, or nil if there are none.
func (d *Doc) Err() error {
	if len(d.Problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.Problems, func(a, b Problem) int { return a.Line - b.Line })
	var errs []error
	for _, p := range d.Problems {
		errs = append(errs, p)
	}
	return errors.Join(errs...)
}

// Read reads TOML into the struct that into points to; keys are matched with toml tags. Supported are structs, slices,
// strings, booleans, int, int32, int64, uint16, uint32, uint64, float64, time.Duration and encoding.TextUnmarshaler. Fields
// whose keys are not given keep their values. Read always returns a document; its Err returns the problems.
func Read(file string, data []byte, into any) *Doc {
	d := &Doc{File: file, keyLines: map[string]int{}}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		p := Problem{File: file, Text: err.Error()}
		var de *toml.DecodeError
		if errors.As(err, &de) {
			p.Line, _ = de.Position()
			p.Key = strings.Join(de.Key(), ".")
		}
		d.Problems = append(d.Problems, p)
		return d
	}
	d.indexLines(data)
	d.bindStruct("", tree, reflect.ValueOf(into).Elem())
	return d
}

// indexLines records the line of each key. The document must be well-formed.
func (d *Doc) indexLines(data []byte) {
	var p unstable.Parser
	p.Reset(data)
	counts := map[string]int{}
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			path, line := "", 0
			for it := e.Key(); it.Next(); {
				if path != "" {
					path = currentElement(counts, path) + "."
				}
				path += string(it.Node().Data)
				line = p.Shape(it.Node().Raw).Start.Line
			}
			if e.Kind == unstable.ArrayTable {
				counts[path]++
				path = currentElement(counts, path)
			}
			table = path
			d.keyLines[path] = line
		case unstable.KeyValue:
			path := table
			line := 0
			for it := e.Key(); it.Next(); {
				if path != "" {
					path += "."
				}
				path += string(it.Node().Data)
				line = p.Shape(it.Node().Raw).Start.Line
			}
			d.keyLines[path] = line
		}
	}
}

// currentElement returns the path of the last element so far of an array of tables, or the path itself if it is no array.
// Elements count from 1.
func currentElement(counts map[string]int, path string) string {
	if n := counts[path]; n > 0 {
		return fmt.Sprintf("%s[%d]", path, n)
	}
	return path
}

// bindStruct stores a table in a struct and reports unknown keys.
func (d *Doc) bindStruct(path string, tree map[string]any, into reflect.Value) {
	fields := map[string]reflect.Value{}
	for i := range into.NumField() {
		if name := into.Type().Field(i).Tag.Get("toml"); name != "" {
			fields[name] = into.Field(i)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		keyPath := key
		if path != "" {
			keyPath = path + "." + key
		}
		f, ok := fields[key]
		if !ok {
			d.Report(keyPath, "unknown key; valid keys here: %s", strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
			continue
		}
		d.bind(keyPath, tree[key], f)
	}
}

var durationType = reflect.TypeFor[time.Duration]()

// bind stores a value in a field and reports a value of the wrong type or out of range. It panics if the Go type of the
// field is not supported.
func (d *Doc) bind(path string, v any, into reflect.Value) {
	mismatch := func(want string) { d.Report(path, "expected %s, got %s", want, kindName(v)) }
	if into.Type() == durationType {
		s, ok := v.(string)
		if !ok {
			mismatch(`a time such as "300ms"`)
			return
		}
		t, err := time.ParseDuration(s)
		if err != nil {
			d.Report(path, "%q is not a time such as \"300ms\" or \"1m30s\"", s)
			return
		}
		into.SetInt(int64(t))
		return
	}
	if u, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		s, isText := v.(string)
		if !isText {
			mismatch("a string")
			return
		}
		if err := u.UnmarshalText([]byte(s)); err != nil {
			d.Report(path, "%q: %v", s, err)
		}
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		tree, ok := v.(map[string]any)
		if !ok {
			mismatch("a table")
			return
		}
		d.bindStruct(path, tree, into)
	case reflect.Slice:
		list, ok := v.([]any)
		if !ok {
			mismatch("a list")
			return
		}
		out := reflect.MakeSlice(into.Type(), len(list), len(list))
		for i := range list {
			d.bind(fmt.Sprintf("%s[%d]", path, i+1), list[i], out.Index(i))
		}
		into.Set(out)
	case reflect.String:
		s, ok := v.(string)
		if !ok {
			mismatch("a string")
			return
		}
		into.SetString(s)
	case reflect.Bool:
		b, ok := v.(bool)
		if !ok {
			mismatch("true or false")
			return
		}
		into.SetBool(b)
	case reflect.Int, reflect.Int64, reflect.Int32:
		n, ok := v.(int64)
		if !ok {
			mismatch("an integer")
			return
		}
		if into.OverflowInt(n) {
			d.Report(path, "%d is too large", n)
			return
		}
		into.SetInt(n)
	case reflect.Uint64, reflect.Uint32, reflect.Uint16:
		n, ok := v.(int64)
		if !ok {
			mismatch("an integer")
			return
		}
		if n < 0 || into.OverflowUint(uint64(n)) {
			d.Report(path, "%d is out of range", n)
			return
		}
		into.SetUint(uint64(n))
	case reflect.Float64:
		switch n := v.(type) {
		case int64:
			into.SetFloat(float64(n))
		case float64:
			into.SetFloat(n)
		default:
			mismatch("a number")
		}
	default:
		panic("tomlbind: field of kind " + into.Kind().String())
	}
}

// kindName names the TOML type of a value in problem texts.
func kindName(v any) string {
	switch v.(type) {
	case string:
		return "a string"
	case bool:
		return "true or false"
	case int64:
		return "an integer"
	case float64:
		return "a floating-point number"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}
