package runtime

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pipitring/decide"
	"pipitring/internal/config"
	"pipitring/internal/iax2"
	"pipitring/internal/node"
	"pipitring/internal/registry"
)

// gnet starts a pool of workers when it is imported, which never ends.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent(), goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*goWorker).run.func1"))
}

// settings returns the settings of a router at exchange 0 with a group to exchange 1 and the list in a file.
func settings(t *testing.T, list string, extra string) *config.Settings {
	t.Helper()
	path := filepath.Join(t.TempDir(), "exchanges.toml")
	if err := os.WriteFile(path, []byte(list), 0o600); err != nil {
		t.Fatal(err)
	}
	set, err := config.Parse("router.toml", fmt.Appendf(nil, `
[router]
exchange = 0
listen = "127.0.0.1:0"
drain_limit = "5s"
[[class]]
name = "status"
hold = "10s"
aim = "1s"
deadline = "9s"
patience = "2s"
worth = 1.0
[[exchange]]
number = 0
prefixes = ["0"]
[[exchange]]
number = 1
prefixes = ["1"]
[[group]]
to = 1
circuits = 10
[list]
file = %q
[iax]
call_tokens = false
%s
`, path, extra))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// peer is an IAX2 endpoint on a UDP socket: a caller, or the neighbour exchange.
type peer struct {
	t         *testing.T
	conn      *net.UDPConn
	ep        *iax2.Endpoint
	startedAt time.Time // zero of the endpoint's clock
}

func newPeer(t *testing.T) *peer {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &peer{t: t, conn: conn, ep: iax2.NewEndpoint(iax2.Config{}), startedAt: time.Now()}
}

func (p *peer) addr() netip.AddrPort { return p.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func (p *peer) flush() {
	p.ep.Flush(time.Since(p.startedAt))
	for i := range p.ep.Out.Len() {
		to, b := p.ep.Out.At(i)
		if _, err := p.conn.WriteToUDPAddrPort(b, to.AddrPort()); err != nil {
			p.t.Fatal(err)
		}
	}
	p.ep.Out.Reset()
}

// until processes datagrams and timers until an event of a kind occurs, and fails after 20 s.
func (p *peer) until(k iax2.EventKind) iax2.Event {
	p.t.Helper()
	limit := time.Now().Add(20 * time.Second)
	buf := make([]byte, 2048)
	for time.Now().Before(limit) {
		p.flush()
		for i, e := range p.ep.Events {
			if e.Kind == k {
				p.ep.Events = p.ep.Events[i+1:]
				return e
			}
		}
		_ = p.conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err == nil {
			a, _ := iax2.AddrFrom(from)
			p.ep.Receive(time.Since(p.startedAt), a, buf[:n])
		}
		p.ep.Advance(time.Since(p.startedAt))
	}
	p.t.Fatalf("no event %d within 20 s", k)
	return iax2.Event{}
}

func listOf(neighbour netip.AddrPort) string {
	return fmt.Sprintf("[[exchange]]\nid = \"far\"\nnumber = 1\naddress = %q\n", neighbour)
}

func start(t *testing.T, set *config.Settings) *Server {
	t.Helper()
	s, err := Start(set, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop() })
	return s
}

// awaitList waits until the router has received a list.
func awaitList(t *testing.T, s *Server) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); s.listReceivedAt.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("no list within 20 s")
		}
	}
}

func TestCallOverSockets(t *testing.T) {
	neighbour, caller := newPeer(t), newPeer(t)
	s := start(t, settings(t, listOf(neighbour.addr()), ""))
	awaitList(t, s)
	to, _ := iax2.AddrFrom(s.Addr())
	d, err := caller.ep.Call(time.Since(caller.startedAt), to, iax2.Request{Called: "15", Calling: "9"})
	if err != nil {
		t.Fatal(err)
	}
	caller.flush()
	in := neighbour.until(iax2.Offered)
	if in.Request.Called != "15" || in.Request.Calling != "9" {
		t.Errorf("request %+v", in.Request)
	}
	in.Dialog.Answer(time.Since(neighbour.startedAt))
	neighbour.flush()
	caller.until(iax2.Answered)
	d.Release(time.Since(caller.startedAt), iax2.CauseNormal, "")
	caller.flush()
	neighbour.until(iax2.Closed)
	caller.until(iax2.Closed)
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		left := 0
		if err := s.Do(func(n *node.Node, _ time.Duration) { left = n.Core.OpenCalls() + n.Core.Legs() + n.Dialogs() }); err != nil {
			t.Fatal(err)
		}
		if left == 0 {
			break
		}
		if time.Now().After(limit) {
			t.Fatalf("%d calls, legs and dialogs left", left)
		}
	}
}

// Drain, as on SIGTERM, must reject new calls, wait for the end of a standing one and then stop the router.
func TestDrain(t *testing.T) {
	neighbour, caller := newPeer(t), newPeer(t)
	s := start(t, settings(t, listOf(neighbour.addr()), ""))
	awaitList(t, s)
	to, _ := iax2.AddrFrom(s.Addr())
	d, _ := caller.ep.Call(time.Since(caller.startedAt), to, iax2.Request{Called: "15"})
	caller.flush()
	in := neighbour.until(iax2.Offered)
	in.Dialog.Answer(time.Since(neighbour.startedAt))
	neighbour.flush()
	caller.until(iax2.Answered)
	ended := make(chan error, 1)
	go func() { ended <- s.Drain(context.Background()) }()
	for !s.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	for closing := false; !closing; {
		_, _ = caller.ep.Call(time.Since(caller.startedAt), to, iax2.Request{Called: "15"})
		caller.flush()
		e := caller.until(iax2.Released)
		closing = e.Cause == iax2.CauseCongestion
	}
	select {
	case <-ended:
		t.Fatal("stopped during a standing call")
	default:
	}
	d.Release(time.Since(caller.startedAt), iax2.CauseNormal, "")
	caller.flush()
	neighbour.until(iax2.Closed)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestMetricsAndHealth(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := ln.Addr().String()
	ln.Close()
	s := start(t, settings(t, listOf(newPeer(t).addr()), fmt.Sprintf("[http]\nlisten = %q", at)))
	awaitList(t, s)
	get := func(path string) (int, string) {
		resp, err := http.Get("http://" + at + path)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b)
	}
	defer http.DefaultClient.CloseIdleConnections()
	if code, body := get("/health"); code != http.StatusOK {
		t.Errorf("%d %s", code, body)
	}
	_, body := get("/metrics")
	for _, want := range []string{`pipitring_group_circuits_free{to="1"} 10`, "pipitring_loop_up 1", "pipitring_calls 0",
		`pipitring_calls_ended_total{end="stood"} 0`} {
		if !strings.Contains(body, want) {
			t.Errorf("%q is not in the metrics", want)
		}
	}
	s.draining.Store(true)
	code, body := get("/health")
	var h health
	if err := json.Unmarshal([]byte(body), &h); err != nil || code != http.StatusServiceUnavailable || !h.Draining {
		t.Errorf("draining: %d %s %v", code, body, err)
	}
}

func TestReload(t *testing.T) {
	s := start(t, settings(t, listOf(newPeer(t).addr()), ""))
	next := settings(t, "", "")
	next.GroupSizes = map[int]int{1: 4}
	if err := s.Reload(next); err != nil {
		t.Fatal(err)
	}
	size := 0
	_ = s.Do(func(n *node.Node, _ time.Duration) { size = n.Core.Groups()[0].Size() })
	if size != 4 {
		t.Errorf("%d circuits after the reload", size)
	}
	next.Router.Exchange = 5
	if s.Reload(next) == nil {
		t.Error("a change of the exchange was accepted")
	}
}

func TestStartOnAddressInUse(t *testing.T) {
	first := start(t, settings(t, "", ""))
	set := settings(t, "", "")
	set.Router.Listen = first.Addr()
	if s, err := Start(set, nil); err == nil {
		_ = s.Stop()
		t.Error("two routers on one socket")
	}
}

// After Stop, Do must return an error, and SetList must return.
func TestDoAfterStop(t *testing.T) {
	s, err := Start(settings(t, "", ""), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Stop(); err != nil {
		t.Error(err)
	}
	if err := s.Do(func(*node.Node, time.Duration) {}); err == nil {
		t.Error("Do on a stopped router returned no error")
	}
	s.SetList(registry.List{Entries: []registry.Entry{{ID: "x", Phase: decide.Ready}}})
}
