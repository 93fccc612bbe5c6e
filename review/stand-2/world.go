//go:build review

// Command stand-2 plays the platform around one signalling proxy: switches, the coordinator and callers, all on
// loopback and on the real clock. Its argument names the case to play. It is built by review/build-2.sh and started by
// the run.sh of a case.
package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held    = 0
	broken  = 1
	unready = 2
)

// world is one run of a case: the record, the clock and everything that has to be ended.
type world struct {
	mu      sync.Mutex
	start   time.Time
	record  *bufio.Writer
	file    *os.File
	dir     string // temporary folder
	trouble bool
	ends    []func()
}

func newWorld() *world {
	file, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unready)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unready)
	}
	w := &world{start: time.Now(), file: file, record: bufio.NewWriter(file), dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	w.note("trouble: %v", w.trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { // no run takes longer than the limit of a case
		select {
		case s := <-stop:
			w.note("stopped: %v", s)
		case <-time.After(110 * time.Second):
			w.note("the case took too long")
		}
		w.finish(unready)
	}()
	return w
}

func (w *world) at() time.Duration { return time.Since(w.start) }

// note writes one line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{w.at().Seconds()}, args...)...)
}

// say writes one line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (w *world) onEnd(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, f)
}

// finish ends all that was started and exits.
func (w *world) finish(status int) {
	w.mu.Lock()
	ends := w.ends
	w.ends = nil
	w.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	w.note("exit %d", status)
	w.mu.Lock()
	if log, err := os.ReadFile(filepath.Join(w.dir, "log")); err == nil {
		fmt.Fprintf(w.record, "\nThe log of the proxy:\n%s", log)
	}
	w.record.Flush()
	w.file.Close()
	_ = os.RemoveAll(w.dir)
	os.Exit(status)
}

// cannotRun ends a case that could not be played.
func (w *world) cannotRun(format string, args ...any) {
	w.say("cannot run: "+format, args...)
	w.finish(unready)
}

// judge exits with the verdict: broken if any breach was found.
func (w *world) judge(rule string, breaches []string) {
	for _, b := range breaches {
		w.note("BREACH of %s: %s", rule, b)
	}
	if len(breaches) > 0 {
		w.say("rule broken: %s: %d times; first: %s", rule, len(breaches), breaches[0])
		w.finish(broken)
	}
	w.say("rule held: %s", rule)
	w.finish(held)
}

// sleepUntil waits until a time since the start of the run.
func (w *world) sleepUntil(at time.Duration) { time.Sleep(time.Until(w.start.Add(at))) }

// message is one JSON line.
type message struct {
	T   string         `json:"t"`
	Ref string         `json:"ref,omitempty"`
	F   map[string]any `json:"f"`
	C   *int           `json:"c,omitempty"`
	D   string         `json:"d,omitempty"`
}

func (m *message) cause() int {
	if m.C == nil {
		return 0
	}
	return *m.C
}

func (m *message) String() string {
	s := m.T + " " + m.Ref
	if m.C != nil {
		s += fmt.Sprint(" cause ", *m.C)
	}
	return s
}

// line returns a message as a JSON line.
func line(m message) []byte {
	if m.F == nil {
		m.F = map[string]any{}
	}
	b, _ := json.Marshal(m) // strings, numbers and maps of them always encode
	return append(b, '\n')
}

func cause(n int) *int { return &n }

// lineConn is a connection that carries JSON lines.
type lineConn struct {
	net.Conn
	mu sync.Mutex
}

func (c *lineConn) send(m message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := c.Write(line(m))
	return err
}

// reset closes the connection with a TCP reset.
func (c *lineConn) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// proxy is the signalling proxy under test, started as the deploy file says.
type proxy struct {
	w      *world
	cmd    *exec.Cmd
	addr   string
	config string
	done   chan struct{}
}

// freeAddr returns a loopback address with a port that was free just now.
func (w *world) freeAddr() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		w.cannotRun("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// settings are those of a small deployment: three exchanges, of which the proxy's own is number 0.
const settings = `{"clients":{"marksRetry":true},
"contract":{"answerSlackS":0.02,"coldFrom":0.3,"coldS":12,"drainGraceS":1,"fallMultiple":3,"fallS":3,"mustAskInS":10},
"discovery":"automatic","failureDomains":["east"],"peersTotal":4,"overShareWorth":0.1,"kinds":["std"],"realms":[],
"familyInfo":{"holdingS":[12],"widths":[1],"selfNo":0,"shape":"network","releaseGuardS":0.3,"resendS":0.5,"classCells":[]},
"limits":{"maxAttempts":5,"maxOpen":20000,"connectTimeoutS":0.5,"connIdleS":600,"retryAfter":true,"maxRetryAfterS":2,"secondCopies":false},
"telemetry":{"fields":["x0","x1"],"how":"inline"},
"profiles":[{"name":"status","aimS":1.5,"deadlineS":9,"value":1,"lateValue":0.25,"repeat":"safe","keyScope":"all","windowS":5}]}`

// startProxy starts a proxy that knows the given events, listens on addr and asks the coordinator at coord.
func (w *world) startProxy(addr, coord string, known []event) *proxy {
	p := &proxy{w: w, addr: addr, config: filepath.Join(w.dir, "config.json"), done: make(chan struct{})}
	w.writeConfig(p.config, addr, coord, known)
	run := os.Getenv("RUN")
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Dir = os.Getenv("ROOT")
	p.cmd.Env = append(os.Environ(), "NODE_NAME=n0", "NODE_LISTEN="+addr, "NODE_CONFIG="+p.config, "TMPDIR="+w.dir)
	log, err := os.OpenFile(filepath.Join(w.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		w.cannotRun("%v", err)
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		w.cannotRun("%v", err)
	}
	w.note("proxy started: %s, pid %d", run, p.cmd.Process.Pid)
	go func() { _ = p.cmd.Wait(); log.Close(); close(p.done) }()
	w.onEnd(p.kill)
	return p
}

func (w *world) writeConfig(path, addr, coord string, known []event) {
	updates := []string{}
	last := uint64(0)
	for _, ev := range known {
		list := []string{}
		for _, e := range ev.entries {
			list = append(list, fmt.Sprintf(`{"instanceId":"s-%08x","hostPort":"%s","zone":"east","machineType":"std","cell":%d,"lifecycle":"%s","weight":1000,"startedAtMs":%d}`,
				e.id, e.addr, e.cell, [...]string{"Ready", "Terminating", "Gone"}[e.state], e.started))
		}
		updates = append(updates, fmt.Sprintf(`{"index":%d,"endpoints":{"generation":%d,"reset":%v,"instances":[%s]}}`, ev.index, ev.index, ev.full, strings.Join(list, ",")))
		last = ev.index
	}
	text := fmt.Sprintf(`{"name":"n0","listen":"%s","seed":"%016x","coordinator":"%s","limits":{"cores":1.0,"memory_mb":128,"sockets":512},
"known":{"index":%d,"updates":[%s]},"settings":%s}`, addr, time.Now().UnixNano(), coord, last, strings.Join(updates, ","), settings)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		w.cannotRun("%v", err)
	}
}

// kill ends the proxy with SIGKILL and waits for its end.
func (p *proxy) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// waitReady waits until the proxy passes a test on a connection of its own.
func (p *proxy) waitReady() {
	for limit := time.Now().Add(30 * time.Second); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		select {
		case <-p.done:
			p.w.cannotRun("the proxy has ended")
		default:
		}
		c, err := net.DialTimeout("tcp4", p.addr, time.Second)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_, _ = c.Write([]byte(`{"t":"hb","ref":"00000000000000ff","f":{},"c":0}` + "\n"))
		text, err := bufio.NewReader(c).ReadBytes('\n')
		c.Close()
		var m message
		if err == nil && json.Unmarshal(text, &m) == nil && m.T == "hb_ok" && m.cause() == 1 {
			p.w.note("the proxy has passed a test")
			return
		}
	}
	p.w.cannotRun("the proxy was not ready within 30 s")
}

// Switch states on the list.
const (
	ready = iota
	draining
	gone
)

// entry is one entry of the list of switches.
type entry struct {
	id      uint32
	addr    string
	state   int
	cell    int
	started int64
}

// event is one numbered change of the list.
type event struct {
	index   uint64
	full    bool
	entries []entry
}

// frame encodes an event as the coordinator sends it.
func (ev event) frame() []byte {
	kind := byte(2)
	if ev.full {
		kind = 1
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(9+27*len(ev.entries)))
	b = append(binary.BigEndian.AppendUint64(b, ev.index), kind)
	for _, e := range ev.entries {
		to, _ := net.ResolveTCPAddr("tcp4", e.addr)
		b = binary.BigEndian.AppendUint32(b, e.id)
		b = append(b, to.IP.To4()...)
		b = binary.BigEndian.AppendUint16(b, uint16(to.Port))
		b = append(b, byte(e.state), 0, 0)
		b = binary.BigEndian.AppendUint16(b, uint16(e.cell))
		b = binary.BigEndian.AppendUint32(b, 1000)
		b = binary.BigEndian.AppendUint64(b, uint64(e.started))
	}
	return b
}

// coordinator tells the list. Whatever it writes is delayed by delay, which may change.
type coordinator struct {
	w      *world
	addr   string
	mu     sync.Mutex
	events []event
	delay  time.Duration
}

func (w *world) startCoordinator() *coordinator {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		w.cannotRun("%v", err)
	}
	w.onEnd(func() { l.Close() })
	c := &coordinator{w: w, addr: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

// serve answers one client: the events after the last one that it has, each second an empty frame. What is due at a
// time is written once the delay has passed, in order.
func (c *coordinator) serve(conn net.Conn) {
	defer conn.Close()
	var hello [8]byte
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(hello[:]); err != nil {
		return
	}
	last := binary.BigEndian.Uint64(hello[:])
	c.w.note("coordinator: asked for the events after %d", last)
	type due struct {
		at   time.Time
		text string
		b    []byte
	}
	var queue []due
	closed := make(chan struct{})
	go func() {
		_ = conn.SetReadDeadline(time.Time{})
		_, _ = conn.Read(hello[:])
		close(closed)
	}()
	nextEmpty := time.Now()
	for {
		c.mu.Lock()
		for _, ev := range c.events {
			if ev.index > last {
				last = ev.index
				queue = append(queue, due{time.Now().Add(c.delay), fmt.Sprint("event ", ev.index), ev.frame()})
			}
		}
		if !time.Now().Before(nextEmpty) {
			nextEmpty = time.Now().Add(time.Second)
			b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, 9), last)
			queue = append(queue, due{time.Now().Add(c.delay), "", append(b, 0)})
		}
		c.mu.Unlock()
		for len(queue) > 0 && !time.Now().Before(queue[0].at) {
			if _, err := conn.Write(queue[0].b); err != nil {
				return
			}
			if queue[0].text != "" {
				c.w.note("coordinator: wrote %s", queue[0].text)
			}
			queue = queue[1:]
		}
		select {
		case <-closed:
			c.w.note("coordinator: the proxy closed its connection")
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// tell adds an event; it is in the coordinator from now on.
func (c *coordinator) tell(ev event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, ev)
	c.w.note("coordinator: has event %d: %+v", ev.index, ev.entries)
}

func (c *coordinator) setDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
	c.w.note("coordinator: answers %v late from now on", d)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
