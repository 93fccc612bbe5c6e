package main

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
	"pipitring/internal/standin"
)

// The test's own binary plays the program where the environment says so, within so many descriptors.
const (
	asProgram   = "PIPITRING_TEST_AS_PROGRAM"
	descriptors = 128
)

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		limit := syscall.Rlimit{Cur: descriptors, Max: descriptors}
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			panic(err)
		}
		main()
	}
	os.Exit(m.Run())
}

// process is a proxy in a process of its own, with one switch that answers when told to.
type process struct {
	t     *testing.T
	cmd   *exec.Cmd
	at    netip.AddrPort
	file  string
	coord *standin.PlatformCoordinator
	sw    *standin.PlatformSwitch
	mu    sync.Mutex
	log   bytes.Buffer
	hold  map[string]func() // answers that wait, by reference
	gone  chan error
}

const patience = 20 * time.Second // only a failure waits so long

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) await(what string, f func() bool) {
	p.t.Helper()
	for limit := time.Now().Add(patience); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.t.Fatalf("%s: not in %v; its log:\n%s", what, patience, p.log.String())
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

func startProcess(t *testing.T) *process {
	p := &process{t: t, file: filepath.Join(t.TempDir(), "config.json"), hold: map[string]func(){}, gone: make(chan error, 1)}
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
	p.at = lis.Addr().(*net.TCPAddr).AddrPort()
	lis.Close()
	p.configure(p.coord)
	p.cmd = exec.Command(os.Args[0], "platform")
	p.cmd.Env = append(os.Environ(), asProgram+"=1", "NODE_CONFIG="+p.file)
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.gone <- p.cmd.Wait() }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	p.await("it is ready", p.ready)
	return p
}

func (p *process) setUp(peer *standin.JSONPeer, m jsonl.Message) {
	if m.Type != jsonl.TypeNew {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold[m.Ref] = func() { _ = peer.Send(string(jsonl.AppendUp(nil, m.Ref, m.Desc))) } // a lost one shows at the caller
}

// answer lets the switch answer a call once it has come.
func (p *process) answer(ref string) {
	var f func()
	p.await("set-up "+ref, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		f = p.hold[ref]
		return f != nil
	})
	f()
}

func (p *process) configure(c *standin.PlatformCoordinator) {
	p.t.Helper()
	if err := os.WriteFile(p.file, standin.PlatformConfig(p.at, c.Addr(), descriptors, p.sw.Addr()), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) dial() *standin.JSONPeer {
	p.t.Helper()
	peer, err := standin.DialJSON(p.at)
	if err != nil {
		p.t.Fatal(err)
	}
	_ = peer.Conn().SetDeadline(time.Now().Add(patience)) // without it a failure hangs
	p.t.Cleanup(func() { peer.Close() })
	return peer
}

func (p *process) ready() bool {
	peer, err := standin.DialJSON(p.at)
	if err != nil {
		return false
	}
	defer peer.Close()
	_ = peer.Conn().SetDeadline(time.Now().Add(patience))
	_ = peer.Send(`{"t":"hb","ref":"00000000000000aa","f":{},"c":0}` + "\n") // if it fails, so does the read
	m, err := peer.Receive()
	return err == nil && m.Cause == 1
}

func (p *process) ask(peer *standin.JSONPeer, ref string) {
	p.t.Helper()
	if err := peer.Send(fmt.Sprintf(`{"t":"new","ref":"%s","f":{"class":"voice","left":"15000","key":"1","extras":"dest:1;width:1;via:-1"},"d":"x"}`+"\n", ref)); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) expectUp(peer *standin.JSONPeer, ref string) {
	p.t.Helper()
	if m, err := peer.Receive(); err != nil || m.Type != jsonl.TypeUp || m.Ref != ref {
		p.t.Fatalf("got %+v, %v; want the answer of %s", m, err, ref)
	}
}

// TestSignalsAtBadMoments: a call is open throughout. Configurations that cannot be used, whole or half written, change
// nothing; of two SIGHUPs at once the file as it stands holds; SIGHUP after SIGTERM still moves; what was taken is answered.
func TestSignalsAtBadMoments(t *testing.T) {
	p := startProcess(t)
	caller := p.dial()
	p.ask(caller, "0000000000000001")
	whole, err := os.ReadFile(p.file)
	if err != nil {
		t.Fatal(err)
	}
	for i, bad := range []string{"", string(whole[:len(whole)/2]), strings.Replace(string(whole), `"coordinator":"`, `"coordinator":"no`, 1)} {
		if err := os.WriteFile(p.file, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		p.signal(syscall.SIGHUP)
		p.await("it says that the file cannot be used", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return strings.Count(p.log.String(), "configuration not reread") > i
		})
	}
	second := startCoordinator(t)
	p.configure(second)
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGHUP)
	p.await("the second coordinator is asked", func() bool { return len(second.RequestedFrom()) > 0 })
	third := startCoordinator(t)
	third.Publish(coordinator.Event{Index: 2})
	p.signal(syscall.SIGTERM)
	p.configure(third)
	p.signal(syscall.SIGHUP)
	p.await("the third coordinator is asked", func() bool { return len(third.RequestedFrom()) > 0 })
	p.await("its tests fail", func() bool { return !p.ready() })
	p.ask(caller, "0000000000000002")
	p.answer("0000000000000002")
	p.expectUp(caller, "0000000000000002")
	p.answer("0000000000000001")
	p.expectUp(caller, "0000000000000001")
	for n := 1; n <= 2; n++ {
		if err := caller.Send(string(jsonl.AppendDown(nil, fmt.Sprintf("%016x", n), jsonl.CauseNormal, 0))); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case err := <-p.gone:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(patience):
		t.Fatal("it does not end")
	}
}

// TestIdleCallersFillTheDescriptors: several times as many as there are descriptors come at once and say nothing, while
// discovery is down. Real callers get through, a connection to the switch is made anew, and the coordinator is found at
// its new address.
func TestIdleCallersFillTheDescriptors(t *testing.T) {
	p := startProcess(t)
	p.coord.Stop()
	for range 4 * descriptors {
		idle, err := net.Dial("tcp4", p.at.String())
		if err != nil {
			t.Fatal(err)
		}
		defer idle.Close()
	}
	caller := p.dial()
	for n := 1; n <= 2; n++ {
		ref := fmt.Sprintf("%016x", n)
		p.ask(caller, ref)
		p.answer(ref)
		p.expectUp(caller, ref)
		p.sw.Reset()
	}
	next := startCoordinator(t)
	p.configure(next)
	p.signal(syscall.SIGHUP)
	p.await("the coordinator is asked", func() bool { return len(next.RequestedFrom()) > 0 })
}

// TestAStartThatCannotBe: the key is named, with what it has, and the exit status is that of wrong settings.
func TestAStartThatCannotBe(t *testing.T) {
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
		cmd.Env = append(os.Environ(), asProgram+"=1", "NODE_CONFIG="+file)
		out, _ := cmd.CombinedOutput() // its status is looked at below
		if cmd.ProcessState.ExitCode() != exitUse || !strings.Contains(string(out), c[2]) || !strings.Contains(string(out), file) {
			t.Errorf("%s: status %d, %s", c[1], cmd.ProcessState.ExitCode(), out)
		}
	}
}
