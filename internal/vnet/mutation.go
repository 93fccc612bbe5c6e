package vnet

import (
	"time"

	"pipitring/decide"
	"pipitring/internal/cdr"
	"pipitring/internal/iax2"
	"pipitring/internal/node"
	"pipitring/internal/registry"
)

// Mutation is a bug planted at the boundary of a router: a wrong setting, a changed exchange list, or a message or record
// that is lost, duplicated or changed. The seed exploration must detect each of them. A nil *Mutation plants nothing.
type Mutation struct {
	Name         string
	Violates     string // rule or invariant that the bug violates
	Settings     func(*node.Settings)
	Duplicate    func(f *iax2.Frame, n int) bool          // selects outgoing full frames that are sent again with the next sequence number; n counts frames of the same type and subclass
	Drop         func(f *iax2.Frame, n int) bool          // selects outgoing full frames that are dropped; n counts frames of the same type and subclass
	AlterList    func(*registry.List)                     // changes an exchange list before the router gets it
	AlterRecords func(items []cdr.Item, n int) []cdr.Item // returns the items to store instead of items; n is the number of items stored before them

	frameCounts map[[2]uint32]int
	recordCount int
}

func (m *Mutation) applySettings(s *node.Settings) {
	if m != nil && m.Settings != nil {
		m.Settings(s)
	}
}

func (m *Mutation) applyList(l *registry.List) {
	if m != nil && m.AlterList != nil {
		l.Entries = append([]registry.Entry(nil), l.Entries...)
		m.AlterList(l)
	}
}

func (m *Mutation) applyItems(items []cdr.Item) []cdr.Item {
	if m == nil || m.AlterRecords == nil {
		return items
	}
	out := m.AlterRecords(items, m.recordCount)
	m.recordCount += len(items)
	return out
}

// oseqOffset is the offset in bytes of the outbound sequence number in a full frame.
const oseqOffset = 8

// filterOutgoing returns whether the outgoing datagram b is sent, and a duplicate to send after it, nil for none.
func (m *Mutation) filterOutgoing(b []byte) (pass bool, duplicate []byte) {
	if m == nil || m.Drop == nil && m.Duplicate == nil {
		return true, nil
	}
	var f iax2.Frame
	if iax2.ParseFrame(b, &f) != nil || f.Layout != iax2.Full {
		return true, nil
	}
	if m.frameCounts == nil {
		m.frameCounts = map[[2]uint32]int{}
	}
	key := [2]uint32{uint32(f.Type), f.Subclass}
	m.frameCounts[key]++
	if m.Duplicate != nil && m.Duplicate(&f, m.frameCounts[key]) {
		duplicate = append([]byte(nil), b...)
		duplicate[oseqOffset]++
	}
	return m.Drop == nil || !m.Drop(&f, m.frameCounts[key]), duplicate
}

// Mutations returns the planted bugs. Each call returns new values, because a Mutation counts frames and records.
func Mutations() []*Mutation {
	every := func(k int) func(n int) bool { return func(n int) bool { return n%k == 0 } }
	tenth, third := every(10), every(3)
	return []*Mutation{
		{Name: "no wait after a time-out", Violates: "rule 5", Settings: func(s *node.Settings) { s.Core.Decide.ReleaseWait = 0 }},
		{Name: "half the wait after a time-out", Violates: "rule 5", Settings: func(s *node.Settings) { s.Core.Decide.ReleaseWait /= 2 }},
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
