package platform

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pipitring/internal/jsonl"
)

const (
	maxPatience     = 2 * time.Second // longer than the callers wait for an answer
	standingAtStart = 3               // calls that stand when the random steps begin
)

// modelConn is what the model knows of one caller's connection.
type modelConn struct {
	openedAt time.Duration
	testedAt time.Duration // when it first carried a heartbeat; 0 if never
	isCaller bool          // it carried a request that only a caller sends
}

// modelCall is what the model knows of one call that stood.
type modelCall struct {
	overAt   time.Duration // when its switch released it; 0 while it stands
	hungUp   bool          // a caller ended it
	released bool          // its release was written to a caller
	standsAt ConnID        // link to its switch
}

// releaseModel drives a proxy with random input of callers and of its switches, and keeps the truth about its calls and
// connections by itself.
type releaseModel struct {
	t     *rapid.T
	h     *harness
	conns map[ConnID]*modelConn // open connections of callers
	links []ConnID              // links to the switches, none of which is lost
	calls map[string]*modelCall
	refs  []string          // of all set-ups
	sent  map[string]ConnID // link of the latest attempt, by reference
}

// TestReleasesReachCallersInAnyOrder guards against calls left standing at their callers: whatever the order of set-ups,
// names, hang-ups, heartbeats, closes and releases, the release of each call that is over is written once, to an open
// connection of a caller, as soon as there is one.
func TestReleasesReachCallersInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &releaseModel{t: t, h: newConnectedHarness(t), conns: map[ConnID]*modelConn{}, calls: map[string]*modelCall{},
			sent: map[string]ConnID{}}
		m.links = slices.Collect(maps.Values(m.h.switchConns))
		first := m.open()
		for range standingAtStart {
			m.request(first, false, m.newSetUp(1))
			m.check()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step()
			m.check()
		}
		m.h.advance(maxPatience)
		m.check()
		for _, reference := range m.refs {
			if k := m.calls[reference]; k != nil && k.overAt == 0 && !k.hungUp {
				m.release(reference)
			}
		}
		m.request(m.open(), false, m.newSetUp(9))
		m.check()
		m.h.expectIdle()
	})
}

func (m *releaseModel) step() {
	canEnd := func(k *modelCall) bool { return !k.hungUp && !k.released }
	stands := func(k *modelCall) bool { return !k.hungUp && k.overAt == 0 }
	switch rapid.SampledFrom([]string{"open", "set-up", "close", "close", "heartbeat", "name", "hang up", "release", "release",
		"release and close", "wait"}).Draw(m.t, "step") {
	case "open":
		m.open()
	case "set-up":
		m.onConn(func(id ConnID, closes bool) { m.request(id, closes, m.newSetUp(1)) })
	case "close":
		m.onConn(func(id ConnID, _ bool) {
			delete(m.conns, id)
			m.h.Closed(m.h.clock, id)
		})
	case "heartbeat":
		m.onConn(func(id ConnID, closes bool) {
			m.conns[id].testedAt = cmp.Or(m.conns[id].testedAt, m.h.clock)
			m.send(id, closes, heartbeat)
		})
	case "name":
		m.onCall(canEnd, func(reference string, _ *modelCall) {
			m.onConn(func(id ConnID, closes bool) {
				m.request(id, closes, lineFor(reference, setUp(0, 1, ";at:s-00000001")))
			})
		})
	case "hang up":
		m.onCall(canEnd, func(reference string, k *modelCall) {
			m.onConn(func(id ConnID, closes bool) {
				k.hungUp = k.overAt == 0
				m.request(id, closes, lineFor(reference, down(0, 16, "")))
			})
		})
	case "release":
		m.onCall(stands, func(reference string, _ *modelCall) { m.release(reference) })
	case "release and close":
		m.onCall(stands, func(reference string, _ *modelCall) {
			m.onConn(func(id ConnID, _ bool) { m.releaseBesideClose(reference, id) })
		})
	case "wait":
		m.h.advance(rapid.SampledFrom([]time.Duration{ms, 300 * ms, time.Second, 9 * time.Second}).Draw(m.t, "time"))
	}
}

// lineFor returns a line that was built for reference 0 with another reference.
func lineFor(reference, line string) string { return strings.Replace(line, ref(0), reference, 1) }

// open opens a caller's connection.
func (m *releaseModel) open() ConnID {
	id := m.h.accept()
	m.conns[id] = &modelConn{openedAt: m.h.clock}
	return id
}

// onConn calls f with an open connection, if there is one, and whether its caller closes it right after its request.
func (m *releaseModel) onConn(f func(id ConnID, closes bool)) {
	if ids := slices.Sorted(maps.Keys(m.conns)); len(ids) > 0 {
		f(rapid.SampledFrom(ids).Draw(m.t, "connection"), rapid.IntRange(0, 4).Draw(m.t, "closes") == 0)
	}
}

// onCall calls f with a call that fits, if there is one.
func (m *releaseModel) onCall(fits func(k *modelCall) bool, f func(reference string, k *modelCall)) {
	var refs []string
	for _, reference := range m.refs {
		if k := m.calls[reference]; k != nil && fits(k) {
			refs = append(refs, reference)
		}
	}
	if len(refs) > 0 {
		reference := rapid.SampledFrom(refs).Draw(m.t, "call")
		f(reference, m.calls[reference])
	}
}

// newSetUp returns a set-up with a new reference.
func (m *releaseModel) newSetUp(dest int) string {
	n := len(m.refs) + 1
	m.refs = append(m.refs, ref(n))
	return setUp(n, dest, "")
}

// release lets the switch release a call.
func (m *releaseModel) release(reference string) {
	m.h.receiveLines(m.calls[reference].standsAt, m.releaseLines(reference)...)
}

// releaseBesideClose lets the switch release a call in the same batch as the end of a caller's connection is read.
func (m *releaseModel) releaseBesideClose(reference string, id ConnID) {
	delete(m.conns, id)
	m.h.processBatch(Input{Conn: m.calls[reference].standsAt, Kind: InputData, Bytes: joinLines(m.releaseLines(reference)...)},
		Input{Conn: id, Kind: InputClosed, EOF: true})
}

// releaseLines returns the lines with which a switch releases a call and reports the freed circuit.
func (m *releaseModel) releaseLines(reference string) []string {
	m.calls[reference].overAt = m.h.clock
	return []string{lineFor(reference, down(0, 16, "")), `{"t":"gauge","f":{"load":"idle:10;circuits:10"}}`}
}

// request sends a request that only a caller sends.
func (m *releaseModel) request(id ConnID, closes bool, line string) {
	m.conns[id].isCaller = true
	m.send(id, closes, line)
}

// send passes a line to the proxy. If closes is set, the end of the stream is read together with the line, and nothing
// may be written to the connection any more.
func (m *releaseModel) send(id ConnID, closes bool, line string) {
	if !closes {
		m.h.receiveLines(id, line)
		return
	}
	delete(m.conns, id)
	m.h.processBatch(Input{Conn: id, Kind: InputData, Bytes: joinLines(line), EOF: true}, Input{Conn: id, Kind: InputClosed})
}

// check handles what the proxy has written, until it writes no more, and then looks for releases that are late.
func (m *releaseModel) check() {
	for len(m.h.writtenInOrder) > 0 {
		written := m.h.writtenInOrder
		m.h.writtenInOrder = nil
		for _, w := range written {
			line, err := jsonl.Parse([]byte(w.line))
			switch {
			case err != nil:
				m.t.Fatalf("proxy wrote %q: %v", w.line, err)
			case line.Type == jsonl.TypeNew:
				m.sent[line.Ref] = w.to
				m.h.receiveLines(w.to, lineFor(line.Ref, up(0)))
			case line.Type == jsonl.TypeUp:
				m.calls[line.Ref] = &modelCall{standsAt: m.sent[line.Ref]}
			case line.Type == jsonl.TypeDown && !slices.Contains(m.links, w.to) && m.calls[line.Ref] != nil:
				m.checkRelease(line.Ref, w.to)
			}
		}
	}
	for id := range m.conns {
		if m.h.closed[id] {
			delete(m.conns, id)
		}
	}
	m.checkLate()
}

// checkRelease checks one release that was written to a caller's connection.
func (m *releaseModel) checkRelease(reference string, to ConnID) {
	k, p := m.calls[reference], m.conns[to]
	switch {
	case k.overAt == 0:
		m.t.Fatalf("call %s is released, but not over", reference)
	case k.released:
		m.t.Fatalf("call %s is released twice", reference)
	case p == nil:
		m.t.Fatalf("release of %s written to connection %d, which its caller has closed", reference, to)
	case !p.isCaller && (p.testedAt == 0 || m.h.clock-p.openedAt < healthCheckTime && m.h.clock-k.overAt < healthCheckReleaseAge):
		m.t.Fatalf("release of %s written to connection %d, which is no caller's", reference, to)
	}
	k.released = true
}

// checkLate fails if a call is over and was not released although a caller's connection is open, or one that has
// carried heartbeats for a second.
func (m *releaseModel) checkLate() {
	for reference, k := range m.calls {
		if k.overAt == 0 || k.released {
			continue
		}
		for id, p := range m.conns {
			if p.isCaller || p.testedAt != 0 && m.h.clock-max(p.testedAt, k.overAt) > time.Second {
				m.t.Fatalf("call %s is over since %v and not released at %v, with connection %d open", reference, k.overAt, m.h.clock, id)
			}
		}
	}
}
