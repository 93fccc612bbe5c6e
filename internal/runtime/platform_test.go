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

// scene is a proxy on loopback with one switch and a coordinator.
type scene struct {
	t     *testing.T
	proxy *Platform
	cfg   *platform.Config
	at    netip.AddrPort
	sw    *standin.PlatformSwitch
	coord *standin.PlatformCoordinator
	trace atomic.Pointer[TraceFunc] // called on the loop for what crosses the sockets, as soon as it is read
	mu    sync.Mutex
	seen  []string // set-ups and releases at the switch
}

const patience = 20 * time.Second // of the tests: only a failure waits so long

// answer is what the switch does unless told otherwise: it answers, and never releases by itself.
func (s *scene) answer(p *standin.JSONPeer, m jsonl.Message) {
	s.mu.Lock()
	s.seen = append(s.seen, m.Type+" "+m.Ref)
	s.mu.Unlock()
	if m.Type == jsonl.TypeNew {
		_ = p.Send(string(jsonl.AppendUp(nil, m.Ref, m.Desc))) // a lost connection is the test's doing
	}
}

func (s *scene) traced(at time.Duration, id platform.ConnID, what string, b []byte) {
	if f := s.trace.Load(); f != nil {
		(*f)(at, id, what, b)
	}
}

// askCore has the loop look something up.
func askCore[T any](s *scene, f func(core *platform.Core, now time.Duration) T) T {
	found := make(chan T)
	s.proxy.Execute(func(core *platform.Core, now time.Duration) { found <- f(core, now) })
	return <-found
}

// believes asks what the module holds true of a far end.
func (s *scene) believes(f func(decide.Estimate) bool) bool {
	return askCore(s, func(core *platform.Core, now time.Duration) bool { return slices.ContainsFunc(core.Estimates(now), f) })
}

func (s *scene) callers() int {
	return askCore(s, func(core *platform.Core, _ time.Duration) int { return core.CallerConnections() })
}

func (s *scene) saw(what string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.seen {
		if x == what {
			return true
		}
	}
	return false
}

func newScene(t *testing.T, sockets int) *scene {
	t.Helper()
	return sceneOn(t, sockets, func(lis net.Listener) net.Listener { return lis })
}

// sceneOn has the proxy accept on what wrap makes of its listener.
func sceneOn(t *testing.T, sockets int, wrap func(net.Listener) net.Listener) *scene {
	t.Helper()
	s := &scene{t: t}
	var err error
	if s.sw, err = standin.StartPlatformSwitch("127.0.0.1:0", s.answer); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.sw.Kill)
	if s.coord, err = standin.StartPlatformCoordinator(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.coord.Stop)
	s.at = freePort(t)
	cfg, err := platform.ParseConfig(standin.PlatformConfig(s.at, s.coord.Addr(), sockets, s.sw.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	s.cfg = cfg
	lis, err := net.Listen("tcp4", s.at.String())
	if err != nil {
		t.Fatal(err)
	}
	if s.proxy, err = startPlatform(cfg, zap.NewNop(), s.traced, wrap(lis)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.proxy.Stop() })
	await(s.t, "the proxy passes its test", func() bool { return s.tested() })
	return s
}

func (s *scene) dial() *standin.JSONPeer {
	s.t.Helper()
	p, err := standin.DialJSON(s.at)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := p.Conn().SetDeadline(time.Now().Add(patience)); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { p.Close() })
	return p
}

func (s *scene) tested() bool {
	p := s.dial()
	defer p.Close()
	_ = p.Send(`{"t":"hb","ref":"00000000000000aa","f":{},"c":0}` + "\n") // if it fails, so does the read
	m, err := p.Receive()
	return err == nil && m.Type == jsonl.TypeHeartbeatOK && m.Cause == 1
}

func callRef(n int) string { return fmt.Sprintf("%016x", n) }

func offerLine(n int) string {
	return fmt.Sprintf(`{"t":"new","ref":"%s","f":{"class":"voice","left":"9000","key":"1","extras":"dest:1;width:1;via:-1"},"d":"d%d"}`+"\n", callRef(n), n)
}

// call sends one call and wants its answer.
func (s *scene) call(p *standin.JSONPeer, n int) {
	s.t.Helper()
	if err := p.Send(offerLine(n)); err != nil {
		s.t.Fatal(err)
	}
	s.expect(p, jsonl.TypeUp, n)
}

// hangUp releases a call that stands.
func (s *scene) hangUp(p *standin.JSONPeer, n int) {
	s.t.Helper()
	if err := p.Send(string(jsonl.AppendDown(nil, callRef(n), jsonl.CauseNormal, 0))); err != nil {
		s.t.Fatal(err)
	}
}

func (s *scene) expect(p *standin.JSONPeer, typ string, n int) jsonl.Message {
	s.t.Helper()
	m, err := p.Receive()
	if err != nil || m.Type != typ || m.Ref != callRef(n) {
		s.t.Fatalf("got %+v, %v; want %s for call %d", m, err, typ, n)
	}
	return m
}

func TestPlatformServesCallsOnSockets(t *testing.T) {
	s := newScene(t, 256)
	p := s.dial()
	for n := 1; n <= 50; n++ {
		s.call(p, n)
	}
	q := s.dial()
	for n := 1; n <= 50; n++ { // on another connection than their set-up's
		s.hangUp(q, n)
	}
	await(s.t, "all releases reach the switch", func() bool { return s.saw("down " + callRef(50)) })
}

func TestPlatformLosesNoStandingCallToAReset(t *testing.T) {
	s := newScene(t, 256)
	p := s.dial()
	s.call(p, 1)
	s.sw.Reset()
	s.call(p, 2) // over a new connection
	s.sw.Kill()  // now the process is dead, and nobody listens
	first, err := p.Receive()
	second, err2 := p.Receive()
	if err != nil || err2 != nil || first.Cause != jsonl.CauseTemporaryFailure || second.Cause != jsonl.CauseTemporaryFailure || first.Ref == second.Ref {
		t.Fatalf("%+v %v, %+v %v", first, err, second, err2)
	}
}

func TestPlatformFollowsTheCoordinatorToAnotherAddress(t *testing.T) {
	s := newScene(t, 256)
	gone := coordinator.Event{Index: 2, Entries: []coordinator.Entry{{ID: 1, Addr: s.sw.Addr(), Number: 1, Phase: decide.Draining}}}
	await(s.t, "the coordinator is asked", func() bool { return len(s.coord.RequestedFrom()) > 0 })
	next, err := standin.StartPlatformCoordinator()
	if err != nil {
		t.Fatal(err)
	}
	defer next.Stop()
	next.Publish(gone)
	p := s.dial()
	s.call(p, 1)
	s.proxy.Execute(func(core *platform.Core, now time.Duration) { core.SetCoordinator(now, next.Addr()) })
	await(s.t, "the new one is asked", func() bool { a := next.RequestedFrom(); return len(a) > 0 && a[0] == 1 })
	await(s.t, "its news count", func() bool {
		if err := p.Send(offerLine(2)); err != nil {
			t.Fatal(err)
		}
		m, err := p.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if m.Type == jsonl.TypeUp { // came before the news: ended, and asked again
			_ = p.Send(string(jsonl.AppendDown(nil, callRef(2), jsonl.CauseNormal, 0))) // if it fails, so does the next send
		}
		return m.Type == jsonl.TypeDown
	})
	s.hangUp(p, 1)
	await(s.t, "the call that stood is still known", func() bool { return s.saw("down " + callRef(1)) })
}

func TestPlatformEndsByItselfAfterSIGTERM(t *testing.T) {
	s := newScene(t, 256)
	p := s.dial()
	s.call(p, 1)
	s.proxy.Execute(func(core *platform.Core, now time.Duration) { core.Stop(now) })
	if s.tested() {
		t.Fatal("tests still pass")
	}
	s.call(p, 2)
	for n := 1; n <= 2; n++ {
		s.hangUp(p, n)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.proxy.Wait() }()
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("it does not end")
	}
	if !s.saw("down "+callRef(1)) || !s.saw("down "+callRef(2)) {
		t.Fatal("ended before the releases were passed on")
	}
}

// TestPlatformOutlivesBadCallers: each of them gets a failure or a close, and the usual caller beside them its answer.
func TestPlatformOutlivesBadCallers(t *testing.T) {
	s := newScene(t, 256)
	usual := s.dial()
	long := strings.Repeat("x", 4<<20)
	for i, bad := range []string{"\x00\xff\n", "{\n", long, `{"t":"new","ref":"` + long, `{"t":"new","ref":"` + callRef(7) + `","f":{"class":"fax"},"d":""}` + "\n",
		strings.Repeat(`{"t":"down","ref":"`+callRef(9)+`","c":16}`+"\n", 300), offerLine(1)[:40], ""} {
		p := s.dial()
		go func() { _ = p.Send(bad) }() // it may be cut in the middle
		if m, err := p.Receive(); err == nil && (m.Type != jsonl.TypeDown || m.Cause != jsonl.CauseTemporaryFailure) {
			t.Errorf("%.30q got %+v", bad, m)
		}
		s.call(usual, 100+i)
	}
	if !s.saw("new "+callRef(100)) || s.saw("new "+callRef(7)) || s.saw("down "+callRef(9)) {
		t.Fatal("what reached the switch is not what usual callers sent")
	}
}

// TestPlatformKeepsWithinItsDescriptors: hundreds that connect and say nothing do not keep a usual caller out.
func TestPlatformKeepsWithinItsDescriptors(t *testing.T) {
	const sockets = 128
	before := descriptors(t)
	s := newScene(t, sockets)
	var silent []net.Conn
	for range 2 * sockets {
		c, err := net.Dial("tcp4", s.at.String())
		if err != nil {
			t.Fatal(err)
		}
		silent = append(silent, c)
	}
	defer func() {
		for _, c := range silent {
			c.Close()
		}
	}()
	s.call(s.dial(), 1)
	// Both ends are in this process: the callers' own ends are taken off.
	await(s.t, "its descriptors are within the limit", func() bool { return descriptors(t)-before-2*sockets-8 <= sockets })
}

func descriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("this system does not list descriptors")
	}
	return len(list)
}

func TestLoadPlatformSaysWhichFileAndKey(t *testing.T) {
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
