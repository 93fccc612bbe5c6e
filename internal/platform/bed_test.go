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
	desc = `"v=0\r\nc=IN IP4 127.0.0.1\u0020\r\n"`
)

type wireLine struct {
	to   ConnID
	line string
}

// bed is a proxy whose every byte is seen: lines by connection, connections that it asked for and that it closed.
type bed struct {
	t interface {
		Helper()
		Fatalf(string, ...any)
	}
	*Core
	at       time.Duration
	lines    map[ConnID][]string
	wire     []wireLine // the same lines, in the order in which they were written
	dials    []Dial
	closed   map[ConnID]bool
	exit     bool
	switches map[byte]ConnID // by last digit of the id
	coord    ConnID
}

func newBed(t interface {
	Helper()
	Fatalf(string, ...any)
}) *bed {
	return bedOf(t, config)
}

func bedOf(t interface {
	Helper()
	Fatalf(string, ...any)
}, text string) *bed {
	cfg, err := ParseConfig([]byte(text))
	if err != nil {
		t.Fatalf("%v", err)
	}
	b := &bed{t: t, Core: New(cfg, time.UnixMilli(1_700_000_000_000)), lines: map[ConnID][]string{}, closed: map[ConnID]bool{}, switches: map[byte]ConnID{}}
	b.take()
	return b
}

// upBed has its connections up and its groups told: ten circuits to each of the two others.
func upBed(t interface {
	Helper()
	Fatalf(string, ...any)
}) *bed {
	b := newBed(t)
	for _, d := range b.dialled() {
		b.connect(d)
	}
	b.pass(50 * ms)
	return b
}

func (b *bed) connect(d Dial) {
	b.Connected(b.at, d.Conn)
	if d.To.Port() == 7070 {
		b.coord = d.Conn
	} else {
		n := d.To.Addr().As4()[3] - 1
		b.switches[n] = d.Conn
		b.send(d.Conn, `{"t":"gauge","f":{"load":"idle:10;circuits:10"}}`)
	}
	b.take()
}

func (b *bed) dialled() []Dial {
	b.take()
	d := b.dials
	b.dials = nil
	return d
}

func (b *bed) take() {
	for outs := b.Outputs(); len(outs) > 0; outs = b.Outputs() {
		for _, o := range outs {
			switch o := o.(type) {
			case Write:
				if b.closed[o.Conn] {
					b.t.Fatalf("bytes for %d after its close: %q", o.Conn, o.Bytes)
				}
				if o.Conn != b.coord || b.coord == 0 {
					for _, l := range strings.Split(strings.TrimSuffix(string(o.Bytes), "\n"), "\n") {
						b.lines[o.Conn] = append(b.lines[o.Conn], l)
						b.wire = append(b.wire, wireLine{o.Conn, l})
					}
				}
			case Close:
				b.closed[o.Conn] = true
			case Dial:
				b.dials = append(b.dials, o)
			case Exit:
				b.exit = true
			}
		}
	}
}

// send hands lines to the proxy.
func (b *bed) send(id ConnID, lines ...string) {
	b.Receive(b.at, id, []byte(strings.Join(lines, "\n")+"\n"))
	b.take()
}

// round hands over what was found on several connections at once.
func (b *bed) round(in ...Input) {
	b.ProcessBatch(b.at, in)
	b.take()
}

func piece(lines ...string) []byte { return []byte(strings.Join(lines, "\n") + "\n") }

func (b *bed) pass(d time.Duration) {
	until := b.at + d
	for {
		next, ok := b.NextWakeUp()
		if !ok || next > until {
			break
		}
		b.at = max(b.at, next)
		b.Advance(b.at)
		b.take()
	}
	b.at = until
	b.Advance(b.at)
	b.take()
}

func (b *bed) accept() ConnID {
	id := b.Accept(b.at)
	b.take()
	return id
}

// got takes the lines written to a connection.
func (b *bed) got(id ConnID) []jsonl.Message {
	b.t.Helper()
	var out []jsonl.Message
	for _, l := range b.lines[id] {
		m, err := jsonl.Parse([]byte(l))
		if err != nil {
			b.t.Fatalf("the proxy wrote %q: %v", l, err)
		}
		out = append(out, m)
	}
	delete(b.lines, id)
	return out
}

// want takes the lines written to a connection and compares them in short: type, last digits of ref, cause.
func (b *bed) want(id ConnID, want ...string) []jsonl.Message {
	b.t.Helper()
	got := b.got(id)
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
		b.t.Fatalf("at %v connection %d got %q, want %q", b.at, id, short, want)
	}
	return got
}

func ref(n int) string { return fmt.Sprintf("%016x", n) }

func setUp(n, dest int, more string) string {
	return fmt.Sprintf(`{"t":"new","ref":"%s","f":{"class":"voice","left":"1500","key":"7f3a9c21e0b4d6%02x","extras":"dest:%d;width:1;via:-1%s"},"d":%s}`,
		ref(n), n%256, dest, more, desc)
}

func up(n int) string { return fmt.Sprintf(`{"t":"up","ref":"%s","f":{},"d":"answer %d"}`, ref(n), n) }

func down(n, cause int, note string) string {
	if note != "" {
		note = fmt.Sprintf(`"note":"%s"`, note)
	}
	return fmt.Sprintf(`{"t":"down","ref":"%s","f":{%s},"c":%d}`, ref(n), note, cause)
}

// list tells a change of the list.
func (b *bed) list(number uint64, entries ...coordinator.Entry) {
	b.Receive(b.at, b.coord, coordinator.AppendFrame(nil, coordinator.Event{Index: number, Entries: entries}))
	b.take()
}

func entry(id uint32, number, host int, phase decide.Phase) coordinator.Entry {
	return coordinator.Entry{ID: id, Number: number, Phase: phase,
		Addr: netip.MustParseAddrPort(fmt.Sprintf("127.0.1.%d:5060", host))}
}

// quiet checks that nothing is left over.
func (b *bed) quiet() {
	b.t.Helper()
	outs := 0
	for _, l := range b.links {
		outs += len(l.out)
	}
	for _, f := range b.Core.switches {
		outs += len(f.waiting) + f.standing
	}
	if len(b.calls) != 0 || len(b.byID) != 0 || b.open != 0 || outs != 0 || len(b.homeless) != 0 {
		b.t.Fatalf("left over: %d calls, %d known to the module, %d open, %d out, %d lines", len(b.calls), len(b.byID), b.open, outs, len(b.homeless))
	}
}
