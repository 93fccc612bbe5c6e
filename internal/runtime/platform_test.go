package runtime

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
	"pipitring/internal/platform"
	"pipitring/internal/standin"
)

// proxyHarness is a proxy on loopback with one switch and a coordinator.
type proxyHarness struct {
	t             *testing.T
	proxy         *Platform
	cfg           *platform.Config
	addr          netip.AddrPort
	sw            *standin.PlatformSwitch
	coord         *standin.PlatformCoordinator
	trace         atomic.Pointer[TraceFunc] // called on the event loop for socket traffic, as soon as it is read
	mu            sync.Mutex
	receivedLines []string // set-ups and releases received by the switch
}

const platformTestTimeout = 20 * time.Second // reached only by a failing test

// answer handles a message at the switch: it answers every set-up and never releases a call.
func (h *proxyHarness) answer(p *standin.JSONPeer, m jsonl.Message) {
	h.mu.Lock()
	h.receivedLines = append(h.receivedLines, m.Type+" "+m.Ref)
	h.mu.Unlock()
	if m.Type == jsonl.TypeNew {
		_ = p.Send(string(jsonl.AppendUp(nil, m.Ref, m.Description))) // a connection is lost only if the test closes it
	}
}

func (h *proxyHarness) traceEvent(at time.Duration, id platform.ConnID, event string, b []byte) {
	if f := h.trace.Load(); f != nil {
		(*f)(at, id, event, b)
	}
}

// queryCore runs f on the event loop and returns its result.
func queryCore[T any](h *proxyHarness, f func(core *platform.Core, now time.Duration) T) T {
	result := make(chan T)
	h.proxy.Execute(func(core *platform.Core, now time.Duration) { result <- f(core, now) })
	return <-result
}

// hasEstimate reports whether f holds for the decision module's estimate of any neighbour.
func (h *proxyHarness) hasEstimate(f func(decide.Estimate) bool) bool {
	return queryCore(h, func(core *platform.Core, now time.Duration) bool { return slices.ContainsFunc(core.Estimates(now), f) })
}

func (h *proxyHarness) callerCount() int {
	return queryCore(h, func(core *platform.Core, _ time.Duration) int { return core.CallerConnections() })
}

func (h *proxyHarness) received(line string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.receivedLines {
		if x == line {
			return true
		}
	}
	return false
}

func newProxyHarness(t *testing.T, sockets int) *proxyHarness {
	t.Helper()
	return newProxyHarnessOn(t, sockets, func(lis net.Listener) net.Listener { return lis })
}

// newProxyHarnessOn starts a proxy with a limit of descriptors that accepts callers on the listener that wrap returns,
// and waits until its heartbeats succeed.
func newProxyHarnessOn(t *testing.T, sockets int, wrap func(net.Listener) net.Listener) *proxyHarness {
	t.Helper()
	h := &proxyHarness{t: t}
	var err error
	if h.sw, err = standin.StartPlatformSwitch("127.0.0.1:0", h.answer); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.sw.Kill)
	if h.coord, err = standin.StartPlatformCoordinator(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.coord.Stop)
	h.addr = freePort(t)
	cfg, err := platform.ParseConfig(standin.PlatformConfig(h.addr, h.coord.Addr(), sockets, h.sw.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	h.cfg = cfg
	lis, err := net.Listen("tcp4", h.addr.String())
	if err != nil {
		t.Fatal(err)
	}
	if h.proxy, err = startPlatform(cfg, zap.NewNop(), h.traceEvent, wrap(lis)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.proxy.Stop() })
	await(h.t, "heartbeats succeed", func() bool { return h.heartbeatSucceeds() })
	return h
}

func (h *proxyHarness) dial() *standin.JSONPeer {
	h.t.Helper()
	p, err := standin.DialJSON(h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	if err := p.Conn().SetDeadline(time.Now().Add(platformTestTimeout)); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { p.Close() })
	return p
}

func (h *proxyHarness) heartbeatSucceeds() bool {
	p := h.dial()
	defer p.Close()
	_ = p.Send(`{"t":"hb","ref":"00000000000000aa","f":{},"c":0}` + "\n") // if it fails, so does the read
	m, err := p.Receive()
	return err == nil && m.Type == jsonl.TypeHeartbeatOK && m.Cause == 1
}

func callRef(n int) string { return fmt.Sprintf("%016x", n) }

func setUpLine(n int) string {
	return fmt.Sprintf(`{"t":"new","ref":"%s","f":{"class":"voice","left":"9000","key":"1","extras":"dest:1;width:1;via:-1"},"d":"d%d"}`+"\n", callRef(n), n)
}

// call sets up one call and expects its answer.
func (h *proxyHarness) call(p *standin.JSONPeer, n int) {
	h.t.Helper()
	if err := p.Send(setUpLine(n)); err != nil {
		h.t.Fatal(err)
	}
	h.expect(p, jsonl.TypeUp, n)
}

// hangUp releases a standing call.
func (h *proxyHarness) hangUp(p *standin.JSONPeer, n int) {
	h.t.Helper()
	if err := p.Send(string(jsonl.AppendDown(nil, callRef(n), jsonl.CauseNormal, 0))); err != nil {
		h.t.Fatal(err)
	}
}

func (h *proxyHarness) expect(p *standin.JSONPeer, typ string, n int) jsonl.Message {
	h.t.Helper()
	m, err := p.Receive()
	if err != nil || m.Type != typ || m.Ref != callRef(n) {
		h.t.Fatalf("got %+v, %v; want %s for call %d", m, err, typ, n)
	}
	return m
}

func TestPlatformServesCallsOnSockets(t *testing.T) {
	h := newProxyHarness(t, 256)
	p := h.dial()
	for n := 1; n <= 50; n++ {
		h.call(p, n)
	}
	q := h.dial()
	for n := 1; n <= 50; n++ { // on another connection than that of their set-ups
		h.hangUp(q, n)
	}
	await(h.t, "all releases reach the switch", func() bool { return h.received("down " + callRef(50)) })
}

func TestPlatformStandingCallsSurviveReset(t *testing.T) {
	h := newProxyHarness(t, 256)
	p := h.dial()
	h.call(p, 1)
	h.sw.Reset()
	h.call(p, 2) // over a new connection
	h.sw.Kill()  // the process is dead and nothing listens at its address
	first, err := p.Receive()
	second, err2 := p.Receive()
	if err != nil || err2 != nil || first.Cause != jsonl.CauseTemporaryFailure || second.Cause != jsonl.CauseTemporaryFailure || first.Ref == second.Ref {
		t.Fatalf("%+v %v, %+v %v", first, err, second, err2)
	}
}

func TestPlatformCoordinatorAddressChange(t *testing.T) {
	h := newProxyHarness(t, 256)
	drain := coordinator.Event{Index: 2, Entries: []coordinator.Entry{{ID: 1, Addr: h.sw.Addr(), ExchangeNumber: 1, Phase: decide.Draining}}}
	await(h.t, "the coordinator gets a request", func() bool { return len(h.coord.RequestedFrom()) > 0 })
	next, err := standin.StartPlatformCoordinator()
	if err != nil {
		t.Fatal(err)
	}
	defer next.Stop()
	next.Publish(drain)
	p := h.dial()
	h.call(p, 1)
	h.proxy.Execute(func(core *platform.Core, now time.Duration) { core.SetCoordinator(now, next.Addr()) })
	await(h.t, "the new coordinator gets a request", func() bool { a := next.RequestedFrom(); return len(a) > 0 && a[0] == 1 })
	await(h.t, "its list update is applied", func() bool {
		if err := p.Send(setUpLine(2)); err != nil {
			t.Fatal(err)
		}
		m, err := p.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if m.Type == jsonl.TypeUp { // answered before the list update: released and set up again
			_ = p.Send(string(jsonl.AppendDown(nil, callRef(2), jsonl.CauseNormal, 0))) // if it fails, so does the next send
		}
		return m.Type == jsonl.TypeDown
	})
	h.hangUp(p, 1)
	await(h.t, "the standing call is still known", func() bool { return h.received("down " + callRef(1)) })
}

func TestPlatformExitsAfterSIGTERM(t *testing.T) {
	h := newProxyHarness(t, 256)
	p := h.dial()
	h.call(p, 1)
	h.proxy.Execute(func(core *platform.Core, now time.Duration) { core.Shutdown(now) })
	if h.heartbeatSucceeds() {
		t.Fatal("heartbeats still succeed")
	}
	h.call(p, 2)
	for n := 1; n <= 2; n++ {
		h.hangUp(p, n)
	}
	exited := make(chan error, 1)
	go func() { exited <- h.proxy.Wait() }()
	select {
	case <-exited:
	case <-time.After(platformTestTimeout):
		t.Fatal("proxy does not exit after SIGTERM")
	}
	if !h.received("down "+callRef(1)) || !h.received("down "+callRef(2)) {
		t.Fatal("exited before the releases were forwarded")
	}
}

// TestPlatformSurvivesInvalidCallers checks that a caller that sends invalid input gets a failure or its connection is
// closed, and that a valid caller beside it gets its answers.
func TestPlatformSurvivesInvalidCallers(t *testing.T) {
	h := newProxyHarness(t, 256)
	valid := h.dial()
	long := strings.Repeat("x", 4<<20)
	for i, bad := range []string{"\x00\xff\n", "{\n", long, `{"t":"new","ref":"` + long, `{"t":"new","ref":"` + callRef(7) + `","f":{"class":"fax"},"d":""}` + "\n",
		strings.Repeat(`{"t":"down","ref":"`+callRef(9)+`","c":16}`+"\n", 300), setUpLine(1)[:40], ""} {
		p := h.dial()
		go func() { _ = p.Send(bad) }() // the proxy may close the connection during the write
		if m, err := p.Receive(); err == nil && (m.Type != jsonl.TypeDown || m.Cause != jsonl.CauseTemporaryFailure) {
			t.Errorf("%.30q got %+v", bad, m)
		}
		h.call(valid, 100+i)
	}
	if !h.received("new "+callRef(100)) || h.received("new "+callRef(7)) || h.received("down "+callRef(9)) {
		t.Fatal("the switch did not receive exactly the valid set-ups")
	}
}

// TestPlatformDescriptorLimit checks that connections that send nothing neither keep a valid caller out nor exceed the
// limit of descriptors.
func TestPlatformDescriptorLimit(t *testing.T) {
	const sockets = 128
	before := descriptors(t)
	h := newProxyHarness(t, sockets)
	var idle []net.Conn
	for range 2 * sockets {
		c, err := net.Dial("tcp4", h.addr.String())
		if err != nil {
			t.Fatal(err)
		}
		idle = append(idle, c)
	}
	defer func() {
		for _, c := range idle {
			c.Close()
		}
	}()
	h.call(h.dial(), 1)
	// Both ends of each connection are in this process, so the callers' ends are subtracted.
	await(h.t, "descriptors are within the limit", func() bool { return descriptors(t)-before-2*sockets-8 <= sockets })
}

func descriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("this system does not list descriptors")
	}
	return len(list)
}

func TestLoadPlatformConfigErrors(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if _, err := LoadPlatformConfig(file); err == nil || !strings.Contains(err.Error(), file) {
		t.Fatalf("error %v", err)
	}
	if err := os.WriteFile(file, []byte(`{"listen":"x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadPlatformConfig(file); err == nil || !strings.Contains(err.Error(), file) || !strings.Contains(err.Error(), "listen") {
		t.Fatalf("error %v", err)
	}
}
