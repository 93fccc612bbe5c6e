package runtime

import (
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
	"pipitring/internal/platform"
	"pipitring/internal/standin"
)

// pauseLoop stops the proxy's event loop until resume is called, as if the process got no processor time. Meanwhile
// what the test sends stays unread in the socket buffers; on loopback it is there when the write returns.
func (h *proxyHarness) pauseLoop() (resume func()) {
	paused, gate := make(chan bool), make(chan bool)
	h.proxy.Execute(func(*platform.Core, time.Duration) { close(paused); <-gate })
	<-paused
	return func() { close(gate) }
}

// awaitProcessed waits until everything sent before has been handled: it sets up another call, which is answered later.
func (h *proxyHarness) awaitProcessed() { h.call(h.dial(), 99) }

// expectNoSetUp checks that no set-up was sent for call 1, whose caller had left.
func (h *proxyHarness) expectNoSetUp() {
	h.t.Helper()
	h.awaitProcessed()
	if h.received("new " + callRef(1)) {
		h.t.Fatal("set-up sent for a caller that had left")
	}
}

// linesOfLength returns lines without effect of a length in bytes.
func linesOfLength(length int) string {
	ack := `{"t":"ack","ref":"00000000000000ff","f":{},"c":0}` + "\n"
	return strings.Repeat(ack, length/len(ack))
}

// sendAsMuchAsIsRead sends from other callers twice what is read in one pass of the event loop.
func sendAsMuchAsIsRead(others []*standin.JSONPeer) {
	for _, peer := range others {
		_ = peer.Send(linesOfLength(2 * maxPassBytes / len(others))) // a caller that was closed sends nothing
	}
}

// TestNoSetUpForDepartedCaller checks that, in whatever order the sockets are read, no set-up is sent for a caller that
// requested a call and left while the proxy was paused.
func TestNoSetUpForDepartedCaller(t *testing.T) {
	abandonment := string(jsonl.AppendDown(nil, callRef(1), jsonl.CauseNormal, 0))
	for name, leave := range map[string]func(others []*standin.JSONPeer, send func(string)){
		"closes after its set-up":   func(_ []*standin.JSONPeer, send func(string)) { send(setUpLine(1)) },
		"abandons after its set-up": func(_ []*standin.JSONPeer, send func(string)) { send(setUpLine(1)); send(abandonment) },
		"closes, set-up in small parts": func(_ []*standin.JSONPeer, send func(string)) {
			l := setUpLine(1)
			send(l[:7])
			send(l[7:90])
			send(l[90:])
		},
		"closes after many other lines": func(_ []*standin.JSONPeer, send func(string)) {
			send(setUpLine(1) + linesOfLength(3*proxyReadSize))
		},
		"closes beside others that send as much as is read": func(others []*standin.JSONPeer, send func(string)) {
			sendAsMuchAsIsRead(others)
			send(setUpLine(1) + linesOfLength(2*firstReadSize))
		},
		"closes behind more than the kernel keeps": func(_ []*standin.JSONPeer, send func(string)) {
			send(setUpLine(1) + linesOfLength(1<<20))
		},
		"closes behind more than the kernel keeps, beside others": func(others []*standin.JSONPeer, send func(string)) {
			sendAsMuchAsIsRead(others)
			send(setUpLine(1) + linesOfLength(1<<20))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newProxyHarness(t, 256)
			var others []*standin.JSONPeer
			for range 2 * maxPassBytes / maxConnBytes {
				others = append(others, h.dial())
			}
			p := h.dial()
			await(t, "all callers are accepted", func() bool { return h.callerCount() > len(others) })
			resume := h.pauseLoop()
			leave(others, func(text string) {
				if err := p.Send(text); err != nil {
					t.Fatal(err)
				}
			})
			if name[0] == 'c' {
				p.Close()
			}
			resume()
			h.expectNoSetUp()
		})
	}
}

// TestCloseAfterSetUpInSamePass guards against a caller's close that is detected one pass of the event loop after its
// set-up was handled. The loop is paused while it reads from another caller. Meanwhile a caller requests a call and
// leaves, and work is queued for the loop, so that the next pass reads the set-up and handles it at once.
func TestCloseAfterSetUpInSamePass(t *testing.T) {
	h := newProxyHarness(t, 256)
	p, q := h.dial(), h.dial()
	await(t, "both callers are accepted", func() bool { return h.callerCount() >= 2 })
	paused, gate := make(chan bool), make(chan bool)
	var pause TraceFunc = func(_ time.Duration, _ platform.ConnID, event string, b []byte) {
		if event == "<" && strings.HasPrefix(string(b), `{"t":"ack"`) {
			close(paused)
			<-gate
		}
	}
	h.trace.Store(&pause)
	if err := q.Send(`{"t":"ack","ref":"00000000000000ff","f":{},"c":0}` + "\n"); err != nil {
		t.Fatal(err)
	}
	<-paused
	if err := p.Send(setUpLine(1)); err != nil {
		t.Fatal(err)
	}
	p.Close()
	h.proxy.Execute(func(*platform.Core, time.Duration) {})
	close(gate)
	h.expectNoSetUp()
}

// TestCircuitFreedAfterCallerLeft guards against a set-up for the queued call of a caller that has left. Its close and
// the switch's report of free circuits arrive while the proxy is paused, the report first.
func TestCircuitFreedAfterCallerLeft(t *testing.T) {
	h := newProxyHarness(t, 256)
	await(t, "the group is full", func() bool {
		h.sw.Broadcast(`{"t":"gauge","f":{"load":"x0:0;x1:100"}}` + "\n")
		return h.hasEstimate(func(b decide.Estimate) bool { return b.Free == 0 })
	})
	p := h.dial()
	if err := p.Send(setUpLine(1)); err != nil {
		t.Fatal(err)
	}
	await(t, "the call is queued", func() bool {
		return queryCore(h, func(core *platform.Core, _ time.Duration) bool { return core.QueuedCalls() == 1 })
	})
	resume := h.pauseLoop()
	h.sw.Broadcast(`{"t":"gauge","f":{"load":"x0:100;x1:100"}}` + "\n")
	p.Close()
	resume()
	h.expectNoSetUp()
}

// TestDrainBesideSetUp guards against a set-up to a draining switch. The set-up and the drain arrive while the proxy is
// paused, the set-up first.
func TestDrainBesideSetUp(t *testing.T) {
	h := newProxyHarness(t, 256)
	await(t, "the coordinator gets a request", func() bool { return len(h.coord.RequestedFrom()) > 0 })
	h.awaitProcessed()
	p := h.dial()
	await(t, "the caller is accepted", func() bool { return h.callerCount() > 1 })
	resume := h.pauseLoop()
	if err := p.Send(setUpLine(1)); err != nil {
		t.Fatal(err)
	}
	h.coord.Publish(coordinator.Event{Index: 2, Entries: []coordinator.Entry{{ID: 1, Addr: h.sw.Addr(), ExchangeNumber: 1, Phase: decide.Draining}}})
	resume()
	h.expect(p, jsonl.TypeDown, 1)
	if h.received("new " + callRef(1)) {
		t.Fatal("set-up sent to a draining switch")
	}
}

// failingListener is a listener whose first accepts fail for lack of descriptors.
type failingListener struct {
	net.Listener
	fail int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.fail--; l.fail >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestAcceptErrorsAreRetried guards against a proxy that accepts no callers any more after a failed accept, as with
// gnet's own listener.
func TestAcceptErrorsAreRetried(t *testing.T) {
	h := newProxyHarnessOn(t, 256, func(lis net.Listener) net.Listener { return &failingListener{lis, 5} })
	h.call(h.dial(), 1)
}

// TestStopWaitsForHandovers checks that a connection that is being registered with the loop when the proxy stops is not
// leaked. TestMain checks for leaked goroutines.
func TestStopWaitsForHandovers(t *testing.T) {
	h := newProxyHarness(t, 256)
	resume := h.pauseLoop()
	p := h.dial()
	stopped := make(chan error, 1)
	go func() { stopped <- h.proxy.Stop() }()
	resume()
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	if _, err := p.Receive(); err == nil {
		t.Fatal("answer received after Stop")
	}
	h.proxy.Execute(func(*platform.Core, time.Duration) { t.Error("function run after Stop") })
}

// TestConnectionResetDuringHandover checks that calls are answered again after a switch has reset new connections
// before the paused loop has registered them: another one is dialled, and set-ups that waited for the first are sent
// there or reported as not sent.
func TestConnectionResetDuringHandover(t *testing.T) {
	h := newProxyHarness(t, 256)
	resets := 0
	greet := func(p *standin.JSONPeer) {
		if resets++; resets <= 3 {
			resume := h.pauseLoop()
			_ = p.Reset() // if it fails, the connection is closed without a reset
			resume()
		}
	}
	h.sw.OnConnect.Store(&greet)
	h.sw.Reset()
	n := 100
	// awaitAnswered sends calls until one is answered. Every other reply must be one that allowed accepts.
	awaitAnswered := func(what string, p *standin.JSONPeer, allowed func(jsonl.Message) bool) {
		await(t, what, func() bool {
			n++
			if err := p.Send(setUpLine(n)); err != nil {
				t.Fatal(err)
			}
			m, err := p.Receive()
			if err != nil || m.Ref != callRef(n) || m.Type != jsonl.TypeUp && !allowed(m) {
				t.Fatalf("got %+v, %v for call %d", m, err, n)
			}
			return m.Type == jsonl.TypeUp
		})
	}
	awaitAnswered("calls are answered again", h.dial(), func(jsonl.Message) bool { return true })
	// The failures before have left a high estimate, so that the next calls may be refused with a time to retry after.
	awaitAnswered("calls of another caller are answered", h.dial(), func(m jsonl.Message) bool {
		return m.Type == jsonl.TypeDown && m.Cause == jsonl.CauseCongestion && m.Fields["wait"] != ""
	})
}

// smallBufferListener is a listener whose connections have a small send buffer.
type smallBufferListener struct{ net.Listener }

func (n smallBufferListener) Accept() (net.Conn, error) {
	conn, err := n.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(4096)
	}
	return conn, err
}

// newSlowReader returns a caller that does not read and has sent so many requests that the socket buffers are full and
// the proxy buffers answers. Each request is answered at once, with a failure because of its unknown class.
func newSlowReader(t *testing.T) (h *proxyHarness, p *standin.JSONPeer, requests int) {
	h = newProxyHarnessOn(t, 256, func(lis net.Listener) net.Listener { return smallBufferListener{lis} })
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		_ = c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) }) // err has the result
		return err
	}}
	conn, err := dialer.Dial("tcp4", h.addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(platformTestTimeout)) // so that a failing test does not block for ever
	p = standin.NewJSONPeer(conn)
	buffered := func(*platform.Core, time.Duration) (n int) {
		for _, c := range h.proxy.conns {
			n += c.OutboundBuffered()
		}
		return n
	}
	for queryCore(h, buffered) == 0 {
		requests++
		if err := p.Send(strings.Replace(setUpLine(requests), "voice", "fax", 1)); err != nil {
			t.Fatal(err)
		}
	}
	return h, p, requests
}

// TestShutdownWaitsForSlowReader checks that a caller that reads slowly gets all its answers although the proxy is
// shutting down, has no calls left and still buffers some of them.
func TestShutdownWaitsForSlowReader(t *testing.T) {
	h, p, requests := newSlowReader(t)
	h.proxy.Execute(func(core *platform.Core, now time.Duration) { core.Shutdown(now) })
	await(t, "the proxy is exiting", func() bool { return h.proxy.exiting.Load() })
	for n := 1; n <= requests; n++ {
		h.expect(p, jsonl.TypeDown, n)
	}
	if err := h.proxy.Wait(); err != nil {
		t.Fatal(err)
	}
}

// TestCloseWaitsForSlowReader checks that a caller that reads slowly gets all its answers although the proxy closes its
// connection after an invalid line.
func TestCloseWaitsForSlowReader(t *testing.T) {
	h, p, requests := newSlowReader(t)
	before := h.callerCount()
	if err := p.Send("{\n"); err != nil {
		t.Fatal(err)
	}
	await(t, "the connection is closed", func() bool { return h.callerCount() < before })
	for n := 1; n <= requests; n++ {
		h.expect(p, jsonl.TypeDown, n)
	}
	if m, err := p.Receive(); err == nil {
		t.Fatalf("unexpected message: %+v", m)
	}
}

func TestStartPlatformAddressInUse(t *testing.T) {
	h := newProxyHarness(t, 256)
	if _, err := StartPlatform(h.cfg, zap.NewNop(), nil); err == nil {
		t.Fatal("second listener started at the same address")
	}
}
