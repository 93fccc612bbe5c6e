package vnet

import (
	"time"

	"pipitring/decide"
	"pipitring/internal/cdr"
	"pipitring/internal/iax2"
	"pipitring/internal/node"
	"pipitring/internal/registry"
)

// Mutation is a planted bug at one edge of a router: a setting that does not reach it, a message or record that goes
// missing or comes twice. The explorer must find each; a nil one plants nothing.
type Mutation struct {
	Name         string
	Violates     string // the rule or invariant that it breaks
	Settings     func(*node.Settings)
	Duplicate    func(f *iax2.Frame, n int) bool // of outgoing full frames: sent once more as a frame of its own
	Drop         func(f *iax2.Frame, n int) bool // of outgoing full frames; n counts those of its kind
	AlterList    func(*registry.List)
	AlterRecords func(items []cdr.Item, n int) []cdr.Item // n counts the items before

	frames  map[[2]uint32]int
	records int
}

func (m *Mutation) settings(s *node.Settings) {
	if m != nil && m.Settings != nil {
		m.Settings(s)
	}
}

func (m *Mutation) list(l *registry.List) {
	if m != nil && m.AlterList != nil {
		l.Entries = append([]registry.Entry(nil), l.Entries...)
		m.AlterList(l)
	}
}

func (m *Mutation) items(items []cdr.Item) []cdr.Item {
	if m == nil || m.AlterRecords == nil {
		return items
	}
	out := m.AlterRecords(items, m.records)
	m.records += len(items)
	return out
}

// oseq is where a full frame has its sequence number.
const oseq = 8

// out tells what becomes of an outgoing datagram: whether it passes, and what follows it.
func (m *Mutation) out(b []byte) (pass bool, more []byte) {
	if m == nil || m.Drop == nil && m.Duplicate == nil {
		return true, nil
	}
	var f iax2.Frame
	if iax2.ParseFrame(b, &f) != nil || f.Layout != iax2.Full {
		return true, nil
	}
	if m.frames == nil {
		m.frames = map[[2]uint32]int{}
	}
	k := [2]uint32{uint32(f.Type), f.Subclass}
	m.frames[k]++
	if m.Duplicate != nil && m.Duplicate(&f, m.frames[k]) {
		more = append([]byte(nil), b...)
		more[oseq]++
	}
	return m.Drop == nil || !m.Drop(&f, m.frames[k]), more
}

// Mutations are the planted bugs. Each is new: it counts as it goes.
func Mutations() []*Mutation {
	every := func(k int) func(n int) bool { return func(n int) bool { return n%k == 0 } }
	tenth, third := every(10), every(3)
	return []*Mutation{
		{Name: "no wait after a time-out", Violates: "rule 5", Settings: func(s *node.Settings) { s.Core.Decide.ReleaseGuard = 0 }},
		{Name: "half the wait after a time-out", Violates: "rule 5", Settings: func(s *node.Settings) { s.Core.Decide.ReleaseGuard /= 2 }},
		{Name: "a drain is not told", Violates: "rule 3", AlterList: func(l *registry.List) {
			for i := range l.Entries {
				if l.Entries[i].Phase == decide.Draining {
					l.Entries[i].Phase = decide.Ready
				}
			}
		}},
		{Name: "what goes is not told", Violates: "rule 3", AlterList: func(l *registry.List) {
			for i := range l.Entries {
				if l.Entries[i].Phase == decide.Removed {
					l.Entries[i].Phase = decide.Ready
				}
			}
		}},
		{Name: "set-ups are not withdrawn when the grace ends", Violates: "rule 3", Settings: func(s *node.Settings) { s.Core.DrainGrace = time.Hour }},
		{Name: "the answer comes after the caller's patience", Violates: "rule 1", Settings: func(s *node.Settings) { s.Core.AnswerMargin = -300 * time.Millisecond }},
		{Name: "one in ten answers is not sent", Violates: "rule 1 or left over", Drop: func(f *iax2.Frame, n int) bool {
			return f.Type == iax2.FrameControl && f.Subclass == iax2.ControlAnswer && tenth(n)
		}},
		{Name: "one in three releases is not sent", Violates: "left over", Drop: func(f *iax2.Frame, n int) bool {
			return f.Type == iax2.FrameIAX && f.Subclass == iax2.Hangup && third(n)
		}},
		{Name: "one record in ten is not kept", Violates: "records", AlterRecords: func(items []cdr.Item, n int) (out []cdr.Item) {
			for i, it := range items {
				if it.Open || (n+i)%10 != 9 {
					out = append(out, it)
				}
			}
			return out
		}},
		{Name: "one record in ten is kept twice", Violates: "records", AlterRecords: func(items []cdr.Item, n int) (out []cdr.Item) {
			for i, it := range items {
				out = append(out, it)
				if !it.Open && (n+i)%10 == 9 {
					out = append(out, it)
				}
			}
			return out
		}},
		{Name: "marks of standing calls are not kept", Violates: "records", AlterRecords: func(items []cdr.Item, _ int) (out []cdr.Item) {
			for _, it := range items {
				if !it.Open {
					out = append(out, it)
				}
			}
			return out
		}},
		{Name: "a call ends as another than it was", Violates: "records", AlterRecords: func(items []cdr.Item, n int) []cdr.Item {
			for i := range items {
				if (n+i)%10 == 9 && items[i].Record.End == cdr.Refused {
					items[i].Record.End = cdr.Answered
				}
			}
			return items
		}},
		{Name: "refusals go out as normal releases", Violates: "records", AlterRecords: func(items []cdr.Item, _ int) []cdr.Item {
			for i := range items {
				if items[i].Record.End == cdr.Failed {
					items[i].Record.End = cdr.Refused
				}
			}
			return items
		}},
		{Name: "one final answer in five is given twice", Violates: "rule 1", Duplicate: func(f *iax2.Frame, n int) bool {
			return f.Is(iax2.Hangup) && n%5 == 0
		}},
	}
}
