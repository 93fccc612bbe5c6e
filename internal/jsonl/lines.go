package jsonl

import "bytes"

// LineSplitter cuts a stream into lines and holds no more of an unfinished one than a message may have.
type LineSplitter struct {
	part []byte
}

// Partial tells whether the beginning of a line is held.
func (l *LineSplitter) Partial() bool { return len(l.part) > 0 }

// Push takes the next bytes and hands on each line that is complete, without its line feed, for as long as
// each wants more. The lines are good only during the call.
func (l *LineSplitter) Push(b []byte, each func(line []byte) bool) error {
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		whole := b
		if end >= 0 {
			whole = b[:end]
		}
		if len(l.part)+len(whole) > MaxLine {
			l.part = nil
			return ErrLineTooLong
		}
		if end < 0 {
			l.part = append(l.part, b...)
			return nil
		}
		b = b[end+1:]
		if len(l.part) > 0 {
			whole = append(l.part, whole...)
			l.part = nil // a line may push again: it must not see its own bytes change
		}
		if !each(whole) {
			return nil
		}
	}
	return nil
}
