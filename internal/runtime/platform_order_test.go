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

// hold stops the proxy's loop, as a process that gets no processor stands still, until the returned function is called.
// What the tests do meanwhile waits unread in the sockets' buffers: on loopback it is there when the write returns.
func (s *scene) hold() (release func()) {
	held, gate := make(chan bool), make(chan bool)
	s.proxy.Execute(func(*platform.Core, time.Duration) { close(held); <-gate })
	<-held
	return func() { close(gate) }
}

// settled has all that was sent before taken in and acted upon: a call made after it is answered.
func (s *scene) settled() { s.call(s.dial(), 99) }

// nothingLeft checks that no set-up left for call 1, whose caller had gone.
func (s *scene) nothingLeft() {
	s.t.Helper()
	s.settled()
	if s.saw("new " + callRef(1)) {
		s.t.Fatal("a set-up left for a caller that had gone")
	}
}

// TestNothingLeavesForACallerThatHasGone: while the proxy stands still a caller asks and goes, and a circuit for its
// call is freed. Whatever the order in which the sockets are read, no set-up may leave for it.
func TestNothingLeavesForACallerThatHasGone(t *testing.T) {
	giveUp := string(jsonl.AppendDown(nil, callRef(1), jsonl.CauseNormal, 0))
	for name, goes := range map[string]func(s *scene, send func(string)){
		"closes behind its set-up":      func(s *scene, send func(string)) { send(offerLine(1)) },
		"gives up behind its set-up":    func(s *scene, send func(string)) { send(offerLine(1)); send(giveUp) },
		"closes, set-up in small parts": func(s *scene, send func(string)) { l := offerLine(1); send(l[:7]); send(l[7:90]); send(l[90:]) },
		"closes behind much else": func(s *scene, send func(string)) {
			send(offerLine(1) + strings.Repeat(`{"t":"ack","ref":"00000000000000ff","f":{},"c":0}`+"\n", 3*readAtOnce/48))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, 256)
			p := s.dial()
			release := s.hold()
			goes(s, func(text string) {
				if err := p.Send(text); err != nil {
					t.Fatal(err)
				}
			})
			if name[0] == 'c' {
				p.Close()
			}
			release()
			s.nothingLeft()
		})
	}
}

// TestACloseBehindASetUpInARoundWithOtherWork: the loop is held while it reads another caller, and meanwhile a caller asks and
// goes and work is queued for the loop, so that the next round reads the set-up and acts at once. The close has to be found
// in that same round.
func TestACloseBehindASetUpInARoundWithOtherWork(t *testing.T) {
	s := newScene(t, 256)
	p, q := s.dial(), s.dial()
	await(t, "both are taken", func() bool { return s.callers() >= 2 })
	held, gate := make(chan bool), make(chan bool)
	var hold TraceFunc = func(_ time.Duration, _ platform.ConnID, what string, b []byte) {
		if what == "<" && strings.HasPrefix(string(b), `{"t":"ack"`) {
			close(held)
			<-gate
		}
	}
	s.trace.Store(&hold)
	if err := q.Send(`{"t":"ack","ref":"00000000000000ff","f":{},"c":0}` + "\n"); err != nil {
		t.Fatal(err)
	}
	<-held
	if err := p.Send(offerLine(1)); err != nil {
		t.Fatal(err)
	}
	p.Close()
	s.proxy.Execute(func(*platform.Core, time.Duration) {})
	close(gate)
	s.nothingLeft()
}

// TestACircuitFreedBehindACallersBack: a held call's caller closes, after a circuit was told free that the proxy, standing
// still, has not read of.
func TestACircuitFreedBehindACallersBack(t *testing.T) {
	s := newScene(t, 256)
	await(t, "the group is full", func() bool {
		s.sw.Broadcast(`{"t":"gauge","f":{"load":"x0:0;x1:100"}}` + "\n")
		return s.believes(func(b decide.Estimate) bool { return b.Free == 0 })
	})
	p := s.dial()
	if err := p.Send(offerLine(1)); err != nil {
		t.Fatal(err)
	}
	await(t, "the call is held", func() bool {
		return askCore(s, func(core *platform.Core, _ time.Duration) bool { return core.QueuedCalls() == 1 })
	})
	release := s.hold()
	s.sw.Broadcast(`{"t":"gauge","f":{"load":"x0:100;x1:100"}}` + "\n")
	p.Close()
	release()
	s.nothingLeft()
}

// TestADrainToldBesideASetUp: both are unread when the proxy comes back, the set-up first. The switch is told to drain.
func TestADrainToldBesideASetUp(t *testing.T) {
	s := newScene(t, 256)
	await(t, "the coordinator is asked", func() bool { return len(s.coord.RequestedFrom()) > 0 })
	s.settled()
	p := s.dial()
	await(t, "the caller is taken", func() bool { return s.callers() > 1 })
	release := s.hold()
	if err := p.Send(offerLine(1)); err != nil {
		t.Fatal(err)
	}
	s.coord.Publish(coordinator.Event{Index: 2, Entries: []coordinator.Entry{{ID: 1, Addr: s.sw.Addr(), Number: 1, Phase: decide.Draining}}})
	release()
	s.expect(p, jsonl.TypeDown, 1)
	if s.saw("new " + callRef(1)) {
		t.Fatal("a set-up left for a switch that was told to drain")
	}
}

// lacking is a listener whose accepts fail for want of descriptors at first.
type lacking struct {
	net.Listener
	fail int
}

func (l *lacking) Accept() (net.Conn, error) {
	if l.fail--; l.fail >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestAcceptsThatFailDoNotEndTheListener: the library's own listener ended the process for good.
func TestAcceptsThatFailDoNotEndTheListener(t *testing.T) {
	s := sceneOn(t, 256, func(lis net.Listener) net.Listener { return &lacking{lis, 5} })
	s.call(s.dial(), 1)
}

// TestStopWaitsForWhatIsBeingHandedOver: a connection that is on its way to the loop when the proxy stops leaves nothing
// behind; TestMain looks for goroutines.
func TestStopWaitsForWhatIsBeingHandedOver(t *testing.T) {
	s := newScene(t, 256)
	release := s.hold()
	p := s.dial()
	stopped := make(chan error, 1)
	go func() { stopped <- s.proxy.Stop() }()
	release()
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	if _, err := p.Receive(); err == nil {
		t.Fatal("it answers after its end")
	}
	s.proxy.Execute(func(*platform.Core, time.Duration) { t.Error("something is done after the end") })
}

// TestAConnectionResetAsItIsHandedOver: the far end resets a new connection while the loop, held, has not taken it yet.
// Another is made, and set-ups that waited for the first go out on it or are told as not sent.
func TestAConnectionResetAsItIsHandedOver(t *testing.T) {
	s := newScene(t, 256)
	resets := 0
	greet := func(p *standin.JSONPeer) {
		if resets++; resets <= 3 {
			release := s.hold()
			_ = p.Reset() // if it cannot, the close is an ordinary one
			release()
		}
	}
	s.sw.Greet.Store(&greet)
	s.sw.Reset()
	p := s.dial()
	n := 100
	await(t, "calls are answered again", func() bool {
		n++
		if err := p.Send(offerLine(n)); err != nil {
			t.Fatal(err)
		}
		m, err := p.Receive()
		if err != nil || m.Ref != callRef(n) {
			t.Fatalf("got %+v, %v for call %d", m, err, n)
		}
		return m.Type == jsonl.TypeUp
	})
	s.settled()
}

// narrow is a listener whose connections hold little that is written and not taken yet.
type narrow struct{ net.Listener }

func (n narrow) Accept() (net.Conn, error) {
	conn, err := n.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(4096)
	}
	return conn, err
}

// behindASlowReader has a caller that does not read ask until answers wait behind what the sockets' buffers hold. Each is
// answered at once, with a failure for its class.
func behindASlowReader(t *testing.T) (s *scene, p *standin.JSONPeer, asked int) {
	s = sceneOn(t, 256, func(lis net.Listener) net.Listener { return narrow{lis} })
	small := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		_ = c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) }) // err tells
		return err
	}}
	conn, err := small.Dial("tcp4", s.at.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience)) // without it a failure hangs
	p = standin.NewJSONPeer(conn)
	buffered := func(*platform.Core, time.Duration) (n int) {
		for _, c := range s.proxy.conns {
			n += c.OutboundBuffered()
		}
		return n
	}
	for askCore(s, buffered) == 0 {
		asked++
		if err := p.Send(strings.Replace(offerLine(asked), "voice", "fax", 1)); err != nil {
			t.Fatal(err)
		}
	}
	return s, p, asked
}

// TestTheEndWaitsForASlowReader: a caller that reads late has more answers to come than the sockets' buffers hold when the
// proxy, told to stop, has nothing left to do.
func TestTheEndWaitsForASlowReader(t *testing.T) {
	s, p, asked := behindASlowReader(t)
	s.proxy.Execute(func(core *platform.Core, now time.Duration) { core.Stop(now) })
	await(t, "it is about to end", func() bool { return s.proxy.leaving.Load() })
	for n := 1; n <= asked; n++ {
		s.expect(p, jsonl.TypeDown, n)
	}
	if err := s.proxy.Wait(); err != nil {
		t.Fatal(err)
	}
}

// TestACloseWaitsForASlowReader: so does the end of a connection that brought what cannot be read.
func TestACloseWaitsForASlowReader(t *testing.T) {
	s, p, asked := behindASlowReader(t)
	before := s.callers()
	if err := p.Send("{\n"); err != nil {
		t.Fatal(err)
	}
	await(t, "the connection is given up", func() bool { return s.callers() < before })
	for n := 1; n <= asked; n++ {
		s.expect(p, jsonl.TypeDown, n)
	}
	if m, err := p.Receive(); err == nil {
		t.Fatalf("more: %+v", m)
	}
}

// TestStartPlatformSaysWhatIsInTheWay: the address is taken.
func TestStartPlatformSaysWhatIsInTheWay(t *testing.T) {
	s := newScene(t, 256)
	if _, err := StartPlatform(s.cfg, zap.NewNop(), nil); err == nil {
		t.Fatal("two listen at one address")
	}
}
