package jsonl

import "bytes"

// LineSplitter splits a byte stream into lines. It buffers at most MaxLine bytes of an incomplete line.
type LineSplitter struct {
	pending []byte
}

// Partial reports whether the beginning of an incomplete line is buffered.
func (l *LineSplitter) Partial() bool { return len(l.pending) > 0 }

// Push splits the next bytes and calls handle with each complete line, without its line feed. Once handle returns
// false, the rest of the bytes is discarded. A line is valid only during the call. Push returns ErrLineTooLong if a
// line exceeds MaxLine bytes.
func (l *LineSplitter) Push(b []byte, handle func(line []byte) bool) error {
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		line := b
		if end >= 0 {
			line = b[:end]
		}
		if len(l.pending)+len(line) > MaxLine {
			l.pending = nil
			return ErrLineTooLong
		}
		if end < 0 {
			l.pending = append(l.pending, b...)
			return nil
		}
		b = b[end+1:]
		if len(l.pending) > 0 {
			line = append(l.pending, line...)
			l.pending = nil // handle may call Push again, which must not overwrite this line
		}
		if !handle(line) {
			return nil
		}
	}
	return nil
}
