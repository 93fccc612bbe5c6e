package main

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
	"pipitring/internal/standin"
)

// The test binary runs as the program if the environment variable runAsProgram is set, to its limit of file descriptors.
// Most tests use descriptors.
const (
	runAsProgram = "PIPITRING_TEST_AS_PROGRAM"
	descriptors  = 128
)

func TestMain(m *testing.M) {
	if text := os.Getenv(runAsProgram); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			panic(err)
		}
		limit := syscall.Rlimit{Cur: n, Max: n}
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			panic(err)
		}
		main()
	}
	os.Exit(m.Run())
}

// proxyProcess is a test harness: a proxy in a process of its own, a coordinator, and one switch that answers set-ups
// only when answer is called.
type proxyProcess struct {
	t              *testing.T
	cmd            *exec.Cmd
	addr           netip.AddrPort
	file           string
	coord          *standin.PlatformCoordinator
	sw             *standin.PlatformSwitch
	limits         processLimits
	answersAtOnce  bool             // the switch answers each set-up at once
	onSetUp        func(ref string) // if set, called for each set-up that comes to the switch, which does not answer it
	mu             sync.Mutex
	log            bytes.Buffer
	pendingAnswers map[string]func() // by the call's reference
	exited         chan error
}

// processLimits are the limits in a proxy's configuration.
type processLimits struct {
	descriptors int
	memoryMB    int // 0 is that of standin.PlatformConfig
}

const testTimeout = 20 * time.Second // reached only by a failing test

// Write appends to the log. It receives the standard error of the proxy.
func (p *proxyProcess) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// await polls f until it is true, and fails the test after testTimeout.
func (p *proxyProcess) await(what string, f func() bool) {
	p.t.Helper()
	for limit := time.Now().Add(testTimeout); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.t.Fatalf("%s: not within %v; log:\n%s", what, testTimeout, p.log.String())
		}
	}
}

func startCoordinator(t *testing.T) *standin.PlatformCoordinator {
	t.Helper()
	c, err := standin.StartPlatformCoordinator()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return c
}

func startProcess(t *testing.T) *proxyProcess {
	return startProcessWith(t, processLimits{descriptors: descriptors})
}

func startProcessWith(t *testing.T, limits processLimits) *proxyProcess {
	t.Helper()
	p := &proxyProcess{t: t, limits: limits, file: filepath.Join(t.TempDir(), "config.json"), pendingAnswers: map[string]func(){}, exited: make(chan error, 1)}
	p.coord = startCoordinator(t)
	var err error
	if p.sw, err = standin.StartPlatformSwitch("127.0.0.1:0", p.setUp); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.sw.Kill)
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addr = lis.Addr().(*net.TCPAddr).AddrPort()
	lis.Close()
	p.configure(p.coord)
	p.cmd = exec.Command(os.Args[0], "platform")
	p.cmd.Env = append(os.Environ(), runAsProgram+"="+strconv.Itoa(limits.descriptors), "NODE_CONFIG="+p.file)
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	p.await("the proxy is ready", p.ready)
	return p
}

// setUp is called by the switch for each message. It stores how to answer a set-up.
func (p *proxyProcess) setUp(peer *standin.JSONPeer, m jsonl.Message) {
	if m.Type != jsonl.TypeNew {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := func() { _ = peer.Send(string(jsonl.AppendUp(nil, m.Ref, m.Description))) } // a lost connection fails the test at the caller
	if p.onSetUp != nil {
		p.onSetUp(m.Ref)
		return
	}
	if p.answersAtOnce {
		answer()
		_ = peer.Send(`{"t":"gauge","f":{"load":"x0:100;x1:100"}}` + "\n")
		return
	}
	p.pendingAnswers[m.Ref] = answer
}

// answer waits for a call's set-up at the switch and answers it.
func (p *proxyProcess) answer(ref string) {
	var f func()
	p.await("set-up "+ref, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		f = p.pendingAnswers[ref]
		return f != nil
	})
	f()
}

func (p *proxyProcess) configure(c *standin.PlatformCoordinator) {
	p.t.Helper()
	text := string(standin.PlatformConfig(p.addr, c.Addr(), p.limits.descriptors, p.sw.Addr()))
	if p.limits.memoryMB > 0 {
		text = strings.Replace(text, `"memory_mb":64`, fmt.Sprintf(`"memory_mb":%d`, p.limits.memoryMB), 1)
	}
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *proxyProcess) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

func (p *proxyProcess) dial() *standin.JSONPeer {
	p.t.Helper()
	peer, err := standin.DialJSON(p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	_ = peer.Conn().SetDeadline(time.Now().Add(testTimeout)) // so that a failure does not block for ever
	p.t.Cleanup(func() { peer.Close() })
	return peer
}

// ready reports whether a heartbeat to the proxy succeeds (cause 1). It fails before the start and once the proxy shuts
// down.
func (p *proxyProcess) ready() bool {
	peer, err := standin.DialJSON(p.addr)
	if err != nil {
		return false
	}
	defer peer.Close()
	_ = peer.Conn().SetDeadline(time.Now().Add(testTimeout))
	_ = peer.Send(`{"t":"hb","ref":"00000000000000aa","f":{},"c":0}` + "\n") // if it fails, so does the read
	m, err := peer.Receive()
	return err == nil && m.Cause == 1
}

func (p *proxyProcess) sendSetUp(peer *standin.JSONPeer, ref string) {
	p.t.Helper()
	if err := peer.Send(fmt.Sprintf(`{"t":"new","ref":"%s","f":{"class":"voice","left":"15000","key":"1","extras":"dest:1;width:1;via:-1"},"d":"x"}`+"\n", ref)); err != nil {
		p.t.Fatal(err)
	}
}

func (p *proxyProcess) expectAnswer(peer *standin.JSONPeer, ref string) {
	p.t.Helper()
	if m, err := peer.Receive(); err != nil || m.Type != jsonl.TypeUp || m.Ref != ref {
		p.t.Fatalf("got %+v, %v; want the answer of %s", m, err, ref)
	}
}

// TestSignalsDuringCalls sends signals while a call is open. An invalid configuration, empty, truncated or with a wrong
// value, changes nothing; after two SIGHUPs at once the current file applies; a SIGHUP after SIGTERM still changes the
// coordinator; calls are answered until the proxy exits.
func TestSignalsDuringCalls(t *testing.T) {
	p := startProcess(t)
	caller := p.dial()
	p.sendSetUp(caller, "0000000000000001")
	valid, err := os.ReadFile(p.file)
	if err != nil {
		t.Fatal(err)
	}
	for i, invalid := range []string{"", string(valid[:len(valid)/2]), strings.Replace(string(valid), `"coordinator":"`, `"coordinator":"no`, 1)} {
		if err := os.WriteFile(p.file, []byte(invalid), 0o600); err != nil {
			t.Fatal(err)
		}
		p.signal(syscall.SIGHUP)
		p.await("the failed reload is logged", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return strings.Count(p.log.String(), "configuration reload failed") > i
		})
	}
	second := startCoordinator(t)
	p.configure(second)
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGHUP)
	p.await("the second coordinator gets a request", func() bool { return len(second.RequestedFrom()) > 0 })
	third := startCoordinator(t)
	third.Publish(coordinator.Event{Index: 2})
	p.signal(syscall.SIGTERM)
	p.configure(third)
	p.signal(syscall.SIGHUP)
	p.await("the third coordinator gets a request", func() bool { return len(third.RequestedFrom()) > 0 })
	p.await("heartbeats fail", func() bool { return !p.ready() })
	p.sendSetUp(caller, "0000000000000002")
	p.answer("0000000000000002")
	p.expectAnswer(caller, "0000000000000002")
	p.answer("0000000000000001")
	p.expectAnswer(caller, "0000000000000001")
	for n := 1; n <= 2; n++ {
		if err := caller.Send(string(jsonl.AppendDown(nil, fmt.Sprintf("%016x", n), jsonl.CauseNormal, 0))); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case err := <-p.exited:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("proxy did not exit after the last release")
	}
}

// TestIdleCallersFillTheDescriptors opens several times as many idle connections as there are descriptors, while the
// coordinator is down. Calls still get through, a link to the switch is established again, and the coordinator is reached at
// its new address.
func TestIdleCallersFillTheDescriptors(t *testing.T) {
	p := startProcess(t)
	p.coord.Stop()
	for range 4 * descriptors {
		idle, err := net.Dial("tcp4", p.addr.String())
		if err != nil {
			t.Fatal(err)
		}
		defer idle.Close()
	}
	caller := p.dial()
	for n := 1; n <= 2; n++ {
		ref := fmt.Sprintf("%016x", n)
		p.sendSetUp(caller, ref)
		p.answer(ref)
		p.expectAnswer(caller, ref)
		p.sw.Reset()
	}
	next := startCoordinator(t)
	p.configure(next)
	p.signal(syscall.SIGHUP)
	p.await("the new coordinator gets a request", func() bool { return len(next.RequestedFrom()) > 0 })
}

// TestInvalidConfigAtStart checks that the error names the key and its value, and that the exit status is that of invalid
// settings.
func TestInvalidConfigAtStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	good := string(standin.PlatformConfig(netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), 256))
	for _, c := range [][3]string{
		{`"sockets":256`, `"sockets":-1`, "limits.sockets: -1"}, {`"seed":"1"`, `"seed":"many"`, `seed: "many"`},
		{`"deadlineS":30`, `"deadlineS":-30`, "settings: "}, {"{", "", "configuration"},
	} {
		if err := os.WriteFile(file, []byte(strings.Replace(good, c[0], c[1], 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(os.Args[0], "platform")
		cmd.Env = append(os.Environ(), runAsProgram+"="+strconv.Itoa(descriptors), "NODE_CONFIG="+file)
		out, _ := cmd.CombinedOutput() // the exit status is checked below
		if cmd.ProcessState.ExitCode() != exitUsage || !strings.Contains(string(out), c[2]) || !strings.Contains(string(out), file) {
			t.Errorf("%s: status %d, %s", c[1], cmd.ProcessState.ExitCode(), out)
		}
	}
}
