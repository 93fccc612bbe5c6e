package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pipitring/internal/jsonl"
)

// Tests in this file put pressure on a proxy with the limits of a deployment: many clients, or a client at full speed. A
// sound caller beside them has to be served in time, and the process has to stay under its memory limit.

// Figures of the sound caller's calls.
const (
	soundInterval = 50 * time.Millisecond
	soundLeftMS   = 2000    // how long it waits for an answer
	soundFirstRef = 1 << 60 // above those of other clients
)

// pressure is a number of clients that do something unsound until stop is closed.
type pressure struct {
	p    *proxyProcess
	stop chan struct{}
	done sync.WaitGroup
}

func newPressure(p *proxyProcess) *pressure { return &pressure{p: p, stop: make(chan struct{})} }

// Whether clients read what they are sent, and discard it.
const (
	reading    = true
	notReading = false
)

// addClients starts clients that connect, call run, close and begin again.
func (x *pressure) addClients(count int, read bool, run func(client int, conn net.Conn)) {
	for client := range count {
		x.done.Go(func() {
			for !x.isOver() {
				conn, err := net.Dial("tcp4", x.p.addr.String())
				if err != nil {
					x.pause(10 * time.Millisecond)
					continue
				}
				ended := make(chan struct{})
				if read {
					x.done.Go(func() { _, _ = io.Copy(io.Discard, conn) })
				}
				x.done.Go(func() { // a write to a proxy that reads no more ends at the end of the test
					select {
					case <-x.stop:
					case <-ended:
					}
					conn.Close()
				})
				run(client, conn)
				close(ended)
			}
		})
	}
}

func (x *pressure) isOver() bool {
	select {
	case <-x.stop:
		return true
	default:
		return false
	}
}

// pause waits, and reports false once the pressure is over.
func (x *pressure) pause(d time.Duration) bool {
	select {
	case <-x.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// writeEvery writes the parts at an interval until the connection fails or the pressure is over.
func (x *pressure) writeEvery(interval time.Duration, conn net.Conn, part func(n int) []byte) {
	for n := 0; ; n++ {
		if _, err := conn.Write(part(n)); err != nil || !x.pause(interval) {
			return
		}
	}
}

// manyFields are almost as many short fields as fit into a message.
var manyFields = func() (b []byte) {
	for n := 0; len(b) < jsonl.MaxLine-128; n++ {
		b = fmt.Appendf(b, `,"%03x":1`, n)
	}
	return b
}()

// longMessage returns a set-up of an unknown class with many short fields.
func longMessage(ref int) []byte {
	b := fmt.Appendf(nil, `{"t":"new","ref":"%016x","d":"x","f":{"class":"none"%s}}`, ref, manyFields)
	return append(b, '\n')
}

// writeSlowly sends a long message in small parts.
func (x *pressure) writeSlowly(client int, conn net.Conn) {
	message, part := longMessage(client), 64
	x.writeEvery(20*time.Millisecond, conn, func(n int) []byte {
		from := n * part % (len(message) - part)
		return message[from : from+part]
	})
}

// stopHalfWay sends half of a long message.
func (x *pressure) stopHalfWay(client int, conn net.Conn) {
	message := longMessage(client)
	_, _ = conn.Write(message[:len(message)/2])
	x.pause(time.Hour)
}

// sendManyFields sends long messages with many short fields.
func (x *pressure) sendManyFields(client int, conn net.Conn) {
	x.writeEvery(30*time.Millisecond, conn, func(n int) []byte { return longMessage(client<<20 + n) })
}

// pressureReport tells what the sound caller and the machine saw.
type pressureReport struct {
	calls, answered, refused, unanswered int
	median, longest                      time.Duration
	peakMemory                           int64 // bytes that no file backs
}

func (r pressureReport) String() string {
	return fmt.Sprintf("%d calls: answered %d, refused %d, no answer %d; median %v, longest %v; memory %.1f MiB", r.calls, r.answered, r.refused,
		r.unanswered, r.median.Round(time.Millisecond/10), r.longest.Round(time.Millisecond/10), float64(r.peakMemory)/(1<<20))
}

// measure plays a sound caller for a time, then ends the pressure.
func (x *pressure) measure(d time.Duration) (r pressureReport) {
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var delays []time.Duration
	peer := x.p.dial()
	x.done.Go(func() {
		for {
			m, err := peer.Receive()
			if err != nil {
				return
			}
			mu.Lock()
			if at, open := sentAt[m.Ref]; open {
				delete(sentAt, m.Ref)
				if delay := time.Since(at); m.Type == jsonl.TypeUp {
					r.answered++
					delays = append(delays, delay)
					_ = peer.Send(string(jsonl.AppendDown(nil, m.Ref, jsonl.CauseNormal, 0)))
				} else {
					r.refused++
				}
			}
			mu.Unlock()
		}
	})
	for end := time.Now().Add(d); time.Now().Before(end); r.calls++ {
		ref := fmt.Sprintf("%016x", soundFirstRef+r.calls)
		mu.Lock()
		sentAt[ref] = time.Now()
		mu.Unlock()
		_ = peer.Send(soundSetUp(ref)) // a call that is not sent counts as unanswered
		time.Sleep(soundInterval)
		r.peakMemory = max(r.peakMemory, x.p.anonymousMemory())
	}
	for end := time.Now().Add(soundLeftMS * time.Millisecond); time.Now().Before(end) && x.openCalls(&mu, sentAt) > 0; {
		time.Sleep(soundInterval)
	}
	close(x.stop)
	peer.Close()
	x.done.Wait()
	r.unanswered = len(sentAt)
	slices.Sort(delays)
	if len(delays) > 0 {
		r.median, r.longest = delays[len(delays)/2], delays[len(delays)-1]
	}
	return r
}

// openCalls returns how many calls have no answer yet.
func (x *pressure) openCalls(mu *sync.Mutex, sentAt map[string]time.Time) int {
	mu.Lock()
	defer mu.Unlock()
	return len(sentAt)
}

func soundSetUp(ref string) string {
	return fmt.Sprintf(`{"t":"new","ref":"%s","f":{"class":"voice","left":"%d","key":"1","extras":"dest:1;width:1;via:-1"},"d":"x"}`+"\n", ref, soundLeftMS)
}

// anonymousMemory returns the process's memory that no file backs, in bytes; 0 if it cannot be read.
func (p *proxyProcess) anonymousMemory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if kB, found := strings.CutPrefix(line, "RssAnon:"); found {
			n, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(kB), "kB")), 10, 64)
			return n << 10
		}
	}
	return 0
}

// fullSpeed returns what a client does that sends parts as fast as it can.
func (x *pressure) fullSpeed(part func(client, n int) []byte) func(client int, conn net.Conn) {
	return func(client int, conn net.Conn) {
		for n := 0; !x.isOver(); n++ {
			if _, err := conn.Write(part(client, n)); err != nil {
				return
			}
		}
	}
}

// unsoundRequests returns requests that can be read but not used, and heartbeats.
func unsoundRequests(client, n int) (b []byte) {
	const each = 40
	for i := range each {
		ref := client<<40 + n*each + i
		b = fmt.Appendf(b, `{"t":"new","ref":"%016x","f":{"class":"none","left":"2000","extras":"dest:1;width:1"},"d":"x"}`+"\n", ref)
		b = fmt.Appendf(b, `{"t":"new","ref":"%016x","f":{"class":"voice","left":"2000","extras":"at:s-%08x"}}`+"\n", ref, 1<<20+ref&0xffff)
		b = fmt.Appendf(b, `{"t":"new","ref":"%016x","f":{"class":"voice","left":"2000","extras":"dest:9;width:1"},"d":"x"}`+"\n", ref)
		b = fmt.Appendf(b, `{"t":"hb","ref":"%016x","f":{},"c":0}`+"\n", ref)
		b = jsonl.AppendDown(b, fmt.Sprintf("%016x", ref), jsonl.CauseNormal, 0)
	}
	return b
}

// callsNamedAnew returns set-ups that name ever new calls as standing at the switch.
func callsNamedAnew(client, n int) (b []byte) {
	const each = 100
	for i := range each {
		b = fmt.Appendf(b, `{"t":"new","ref":"%016x","f":{"class":"voice","left":"2000","extras":"at:s-00000001"}}`+"\n", client<<40+n*each+i)
	}
	return b
}

// brokenLine returns a line that cannot be read.
func brokenLine(int, int) []byte { return []byte("{]\n") }

// longDescription returns a set-up to an exchange that the list does not have, with a long description.
func longDescription(client, n int) []byte {
	return fmt.Appendf(nil, `{"t":"new","ref":"%016x","f":{"class":"voice","left":"2000","extras":"dest:9;width:1"},"d":"%s"}`+"\n", client<<40+n,
		bytes.Repeat([]byte("x"), jsonl.MaxLine-1024))
}

// TestServiceUnderPressure guards against memory beyond the limit, and against late or missing answers to a sound caller,
// while other clients send what costs the proxy most: many slow, stopped and long messages, or anything at full speed.
func TestServiceUnderPressure(t *testing.T) {
	limits := processLimits{descriptors: 1024, memoryMB: 48}
	for name, begin := range map[string]func(x *pressure){
		"slow, stopped and long messages": func(x *pressure) {
			x.addClients(110, reading, x.writeSlowly)
			x.addClients(110, reading, x.stopHalfWay)
			x.addClients(110, reading, x.sendManyFields)
		},
		"one client at full speed": func(x *pressure) { x.addClients(1, reading, x.fullSpeed(unsoundRequests)) },
		"one client at full speed that does not read": func(x *pressure) {
			x.addClients(1, notReading, x.fullSpeed(unsoundRequests))
		},
		"one client with broken lines":     func(x *pressure) { x.addClients(1, reading, x.fullSpeed(brokenLine)) },
		"one client that names calls anew": func(x *pressure) { x.addClients(1, reading, x.fullSpeed(callsNamedAnew)) },
		"many clients at full speed":       func(x *pressure) { x.addClients(300, reading, x.fullSpeed(unsoundRequests)) },
		"many clients that do not read":    func(x *pressure) { x.addClients(300, notReading, x.fullSpeed(unsoundRequests)) },
		"many clients with long set-ups":   func(x *pressure) { x.addClients(300, notReading, x.fullSpeed(longDescription)) },
	} {
		t.Run(name, func(t *testing.T) {
			p := startProcessWith(t, limits)
			p.answersAtOnce = true
			x := newPressure(p)
			begin(x)
			r := x.measure(3 * time.Second)
			t.Log(r)
			if r.unanswered > 0 || r.longest > soundLeftMS*time.Millisecond {
				t.Errorf("calls without an answer in time: %v", r)
			}
			if r.peakMemory > int64(limits.memoryMB)<<20 {
				t.Errorf("memory limit of %d MiB exceeded: %v", limits.memoryMB, r)
			}
		})
	}
}

// Limits of the page of rules: a caller that closed has gone within departureTime, and time limits on sockets are longer
// by socketSlack.
const (
	departureTime = 100 * time.Millisecond
	socketSlack   = 50 * time.Millisecond
)

// departedCalls records when set-ups of callers that have left came to the switch.
type departedCalls struct {
	mu       sync.Mutex
	closedAt map[string]time.Time // by reference
	late     []time.Duration      // after the close
	sent     int
}

func (d *departedCalls) setUp(ref string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent++
	if at, closed := d.closedAt[ref]; closed && time.Since(at) > departureTime+socketSlack {
		d.late = append(d.late, time.Since(at))
	}
}

func (d *departedCalls) close(refs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ref := range refs {
		d.closedAt[ref] = time.Now()
	}
}

// TestNothingSentOnForDepartedCaller guards against set-ups that are sent on after their caller has left: it sends
// thousands in one write, and closes or resets its connection at once, while other clients keep the proxy busy.
func TestNothingSentOnForDepartedCaller(t *testing.T) {
	const (
		rounds  = 5
		setUps  = 4000
		settled = 500 * time.Millisecond
	)
	for name, others := range map[string]int{"alone": 0, "beside one client at full speed": 1, "beside many clients at full speed": 200} {
		for how, reset := range map[string]bool{"closes": false, "resets": true} {
			t.Run(how+" "+name, func(t *testing.T) {
				p := startProcessWith(t, processLimits{descriptors: 1024, memoryMB: 48})
				d := &departedCalls{closedAt: map[string]time.Time{}}
				p.onSetUp = d.setUp
				x := newPressure(p)
				x.addClients(others, reading, x.fullSpeed(unsoundRequests))
				for round := range rounds {
					var refs []string
					var text strings.Builder
					for n := range setUps {
						ref := fmt.Sprintf("%016x", soundFirstRef+round*setUps+n)
						refs = append(refs, ref)
						text.WriteString(soundSetUp(ref))
					}
					peer := p.dial()
					_ = peer.Send(text.String()) // the proxy may close the connection
					d.close(refs)
					if reset {
						_ = peer.Reset()
					} else {
						_ = peer.Close()
					}
					time.Sleep(settled)
				}
				close(x.stop)
				x.done.Wait()
				d.mu.Lock()
				defer d.mu.Unlock()
				t.Logf("%d of %d set-ups sent on", d.sent, rounds*setUps)
				if len(d.late) > 0 {
					t.Fatalf("%d set-ups sent on too late, up to %v after the close", len(d.late), slices.Max(d.late))
				}
			})
		}
	}
}
