package platform

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
)

const (
	ms     = time.Millisecond
	config = `{"name":"n0","listen":"127.0.0.1:5060","seed":"8c1f30d27a5be964","coordinator":"127.0.0.2:7070","extra":1,
 "limits":{"cores":1.0,"memory_mb":64,"sockets":256},
 "known":{"index":1,"updates":[{"index":1,"endpoints":{"reset":true,"instances":[
  {"instanceId":"s-00000000","hostPort":"127.0.1.1:5060","zone":"a","cell":0,"lifecycle":"Ready","startedAtMs":0},
  {"instanceId":"s-00000001","hostPort":"127.0.1.2:5060","zone":"a","cell":1,"lifecycle":"Ready","startedAtMs":0},
  {"instanceId":"s-00000002","hostPort":"127.0.1.3:5060","zone":"a","cell":2,"lifecycle":"Ready","startedAtMs":0}]}}]},
 "settings":{"contract":{"coldFrom":0.3,"coldS":9,"fallMultiple":3},"peersTotal":3,"failureDomains":["a"],
  "familyInfo":{"holdingS":[1,1],"widths":[1,1],"selfNo":0,"shape":"network","releaseGuardS":0.15,"resendS":0.125},
  "limits":{"maxAttempts":5,"connectTimeoutS":0.5,"retryAfter":true,"maxRetryAfterS":2,"maxOpen":100},
  "telemetry":{"fields":["idle","circuits"]},"clients":{"marksRetry":true},
  "profiles":[{"name":"voice","aimS":0.4,"deadlineS":3,"value":1,"lateValue":0.25},
   {"name":"alarm","aimS":0.3,"deadlineS":2,"value":5,"lateValue":0.25}]}}`
	description = `"v=0\r\nc=IN IP4 127.0.0.1\u0020\r\n"`
)

type writtenLine struct {
	to   ConnID
	line string
}

// harness is a proxy without sockets. It records the outputs: the lines written to each connection, and the connections
// dialled and closed.
type harness struct {
	t interface {
		Helper()
		Fatalf(string, ...any)
	}
	*Core
	clock          time.Duration // time passed to the proxy
	written        map[ConnID][]string
	writtenInOrder []writtenLine // the same lines, in the order in which they were written
	pendingDials   []Dial
	closed         map[ConnID]bool
	exited         bool
	switchConns    map[byte]ConnID // newest link to each switch, by last digit of its ID
	coordConn      ConnID
}

func newHarness(t interface {
	Helper()
	Fatalf(string, ...any)
}) *harness {
	return newHarnessWithConfig(t, config)
}

func newHarnessWithConfig(t interface {
	Helper()
	Fatalf(string, ...any)
}, text string) *harness {
	cfg, err := ParseConfig([]byte(text))
	if err != nil {
		t.Fatalf("%v", err)
	}
	h := &harness{t: t, Core: New(cfg, time.UnixMilli(1_700_000_000_000)),
		written: map[ConnID][]string{}, closed: map[ConnID]bool{}, switchConns: map[byte]ConnID{}}
	h.collectOutputs()
	return h
}

// newConnectedHarness returns a harness that is connected to the coordinator and to all switches, each of which has
// reported ten free circuits.
func newConnectedHarness(t interface {
	Helper()
	Fatalf(string, ...any)
}) *harness {
	h := newHarness(t)
	for _, d := range h.takeDials() {
		h.connect(d)
	}
	h.advance(50 * ms)
	return h
}

// connect establishes a connection that the proxy dialled. A switch reports ten free circuits on it.
func (h *harness) connect(d Dial) {
	h.Connected(h.clock, d.Conn)
	if d.To.Port() == 7070 {
		h.coordConn = d.Conn
	} else {
		n := d.To.Addr().As4()[3] - 1
		h.switchConns[n] = d.Conn
		h.receiveLines(d.Conn, `{"t":"gauge","f":{"load":"idle:10;circuits:10"}}`)
	}
	h.collectOutputs()
}

// newSecondLink establishes another link to switch 1 and returns the earlier one and the new one.
func (h *harness) newSecondLink() (first, second ConnID) {
	first = h.switchConns[1]
	h.Core.switches[1].connect()
	for _, d := range h.takeDials() {
		if d.To.Port() != 7070 {
			h.connect(d)
		}
	}
	return first, h.switchConns[1]
}

// takeDials returns the pending dials and clears them.
func (h *harness) takeDials() []Dial {
	h.collectOutputs()
	d := h.pendingDials
	h.pendingDials = nil
	return d
}

func (h *harness) collectOutputs() {
	for outs := h.Outputs(); len(outs) > 0; outs = h.Outputs() {
		for _, o := range outs {
			switch o := o.(type) {
			case Write:
				if h.closed[o.Conn] {
					h.t.Fatalf("bytes written to connection %d after its close: %q", o.Conn, o.Bytes)
				}
				if o.Conn != h.coordConn || h.coordConn == 0 {
					for _, l := range strings.Split(strings.TrimSuffix(string(o.Bytes), "\n"), "\n") {
						h.written[o.Conn] = append(h.written[o.Conn], l)
						h.writtenInOrder = append(h.writtenInOrder, writtenLine{o.Conn, l})
					}
				}
			case Close:
				h.closed[o.Conn] = true
			case Dial:
				h.pendingDials = append(h.pendingDials, o)
			case Exit:
				h.exited = true
			}
		}
	}
}

// receiveLines passes lines received on a connection to the proxy.
func (h *harness) receiveLines(id ConnID, lines ...string) {
	h.Receive(h.clock, id, []byte(strings.Join(lines, "\n")+"\n"))
	h.collectOutputs()
}

// processBatch passes the inputs of several connections to the proxy in one batch.
func (h *harness) processBatch(inputs ...Input) {
	h.ProcessBatch(h.clock, inputs)
	h.collectOutputs()
}

func joinLines(lines ...string) []byte { return []byte(strings.Join(lines, "\n") + "\n") }

func (h *harness) advance(d time.Duration) {
	until := h.clock + d
	for {
		next, ok := h.NextWakeUp()
		if !ok || next > until {
			break
		}
		h.clock = max(h.clock, next)
		h.Advance(h.clock)
		h.collectOutputs()
	}
	h.clock = until
	h.Advance(h.clock)
	h.collectOutputs()
}

func (h *harness) accept() ConnID {
	id := h.Accept(h.clock)
	h.collectOutputs()
	return id
}

// takeLines returns the lines written to a connection and clears them.
func (h *harness) takeLines(id ConnID) []jsonl.Message {
	h.t.Helper()
	var out []jsonl.Message
	for _, l := range h.written[id] {
		m, err := jsonl.Parse([]byte(l))
		if err != nil {
			h.t.Fatalf("the proxy wrote %q: %v", l, err)
		}
		out = append(out, m)
	}
	delete(h.written, id)
	return out
}

// expectLines takes the lines written to a connection and compares them in short form: type, reference without leading
// zeros, and the cause of a release.
func (h *harness) expectLines(id ConnID, want ...string) []jsonl.Message {
	h.t.Helper()
	got := h.takeLines(id)
	var short []string
	for _, m := range got {
		s := m.Type
		if m.Ref != "" {
			s += " " + strings.TrimLeft(m.Ref, "0")
		}
		if m.Type == jsonl.TypeDown {
			s += fmt.Sprintf(" %d", m.Cause)
		}
		short = append(short, s)
	}
	if !slices.Equal(short, want) {
		h.t.Fatalf("at %v connection %d got %q, want %q", h.clock, id, short, want)
	}
	return got
}

func ref(n int) string { return fmt.Sprintf("%016x", n) }

func setUp(n, dest int, extras string) string {
	return fmt.Sprintf(`{"t":"new","ref":"%s","f":{"class":"voice","left":"1500","key":"7f3a9c21e0b4d6%02x","extras":"dest:%d;width:1;via:-1%s"},"d":%s}`,
		ref(n), n%256, dest, extras, description)
}

func up(n int) string { return fmt.Sprintf(`{"t":"up","ref":"%s","f":{},"d":"answer %d"}`, ref(n), n) }

func down(n, cause int, note string) string {
	if note != "" {
		note = fmt.Sprintf(`"note":"%s"`, note)
	}
	return fmt.Sprintf(`{"t":"down","ref":"%s","f":{%s},"c":%d}`, ref(n), note, cause)
}

// updateList sends a change of the exchange list.
func (h *harness) updateList(index uint64, entries ...coordinator.Entry) {
	h.Receive(h.clock, h.coordConn, coordinator.AppendFrame(nil, coordinator.Event{Index: index, Entries: entries}))
	h.collectOutputs()
}

func entry(id uint32, number, host int, phase decide.Phase) coordinator.Entry {
	return coordinator.Entry{ID: id, ExchangeNumber: number, Phase: phase,
		Addr: netip.MustParseAddrPort(fmt.Sprintf("127.0.1.%d:5060", host))}
}

// expectIdle checks that no call, attempt or undelivered release is left.
func (h *harness) expectIdle() {
	h.t.Helper()
	atSwitches := 0
	for _, l := range h.links {
		atSwitches += len(l.openAttempts)
	}
	for _, s := range h.Core.switches {
		atSwitches += len(s.waitingAttempts) + s.standingCalls
	}
	if len(h.calls) != 0 || len(h.callsByID) != 0 || h.openSetUps != 0 || atSwitches != 0 || len(h.pendingReleases) != 0 {
		h.t.Fatalf("left over: %d calls, %d known to the module, %d without a final answer, %d attempts and calls at switches, %d undelivered releases",
			len(h.calls), len(h.callsByID), h.openSetUps, atSwitches, len(h.pendingReleases))
	}
}
