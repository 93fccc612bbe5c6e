package runtime

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"pipitring/internal/config"
	"pipitring/internal/iax2"
	"pipitring/internal/node"
)

// freePort returns a TCP port of the loopback interface that nobody listens on.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// isupSettings returns the settings of router 0 or 1 of a network of two with an ISUP group; router 0 connects.
func isupSettings(t *testing.T, x int, listen netip.AddrPort) *config.Settings {
	t.Helper()
	group := "to = 1\nconnect = [\"" + listen.String() + "\"]"
	m3ua := ""
	if x == 1 {
		group, m3ua = "to = 0", "[m3ua]\nlisten = \""+listen.String()+"\""
	}
	base := settings(t, "", "")
	text := fmt.Sprintf(`
[router]
exchange = %d
listen = "127.0.0.1:0"
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
%s
front = "isup"
circuits = 6
[list]
file = %q
[iax]
call_tokens = false
%s
`, x, group, base.List.File, m3ua)
	set, err := config.Parse("isup.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// onLoop returns the result of f on a router's event loop.
func onLoop[T any](t *testing.T, s *Server, f func(n *node.Node) T) (v T) {
	t.Helper()
	if err := s.Do(func(n *node.Node, _ time.Duration) { v = f(n) }); err != nil {
		t.Fatal(err)
	}
	return v
}

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%s: not within 20 s", what)
		}
	}
}

// Two routers signal ISUP over TCP. The connection is closed during a standing call and re-established automatically; the
// call must survive, and its release must pass over the new connection.
func TestISUPOverTCP(t *testing.T) {
	ownSwitch, caller := newPeer(t), newPeer(t)
	listen := freePort(t)
	router1 := start(t, isupSettings(t, 1, listen))
	router0 := start(t, isupSettings(t, 0, listen))
	for _, s := range []*Server{router0, router1} {
		list := fmt.Sprintf("[[exchange]]\nid = \"x0\"\nnumber = 0\naddress = %q\n[[exchange]]\nid = \"x1\"\nnumber = 1\naddress = %q\nswitch = %q\n",
			router0.Addr(), router1.Addr(), ownSwitch.addr())
		if err := os.WriteFile(s.Settings().List.File, []byte(list), 0o600); err != nil {
			t.Fatal(err)
		}
		await(t, "the list", func() bool { return onLoop(t, s, func(n *node.Node) int { return len(n.List().Entries) }) == 2 })
	}
	up := func() bool {
		return onLoop(t, router0, func(n *node.Node) bool { return n.ISUP().Active(1) }) &&
			onLoop(t, router1, func(n *node.Node) bool { return n.ISUP().Active(0) })
	}
	await(t, "signalling up", up)
	if got := onLoop(t, router0, func(n *node.Node) int { return n.ISUP().GroupStates()[0].Idle }); got != 6 {
		t.Errorf("%d circuits idle", got)
	}
	to, _ := iax2.AddrFrom(router0.Addr())
	d, err := caller.ep.Call(time.Since(caller.startedAt), to, iax2.Request{Called: "15", Calling: "9", Context: "status"})
	if err != nil {
		t.Fatal(err)
	}
	caller.flush()
	in := ownSwitch.until(iax2.Offered)
	if in.Request.Called != "15" || in.Request.Calling != "9" || in.Request.Context != "status" {
		t.Errorf("request %+v", in.Request)
	}
	in.Dialog.Answer(time.Since(ownSwitch.startedAt))
	ownSwitch.flush()
	caller.until(iax2.Answered)
	if err := router0.Do(func(*node.Node, time.Duration) {
		for _, c := range router0.conns {
			_ = c.Close()
		}
	}); err != nil {
		t.Fatal(err)
	}
	await(t, "loss detected", func() bool { return !up() })
	await(t, "signalling up again", up)
	if n := onLoop(t, router0, func(n *node.Node) int { return n.Core.OpenCalls() }); n != 1 {
		t.Errorf("%d calls after the loss, want 1", n)
	}
	d.Release(time.Since(caller.startedAt), iax2.CauseNormal, "")
	caller.flush()
	ownSwitch.until(iax2.Closed)
	await(t, "all idle", func() bool {
		left := func(n *node.Node) int { return n.Core.OpenCalls() + n.Core.Legs() + n.ISUP().Busy() }
		return onLoop(t, router0, left)+onLoop(t, router1, left) == 0
	})
}

// An unknown peer that sends data other than valid M3UA loses its connection; nothing else happens.
func TestUnknownPeersOnTCP(t *testing.T) {
	listen := freePort(t)
	router1 := start(t, isupSettings(t, 1, listen))
	for _, b := range []string{"GET / HTTP/1.1\r\n\r\n", "\x01\x00\x03\x01\x00\x00\x00\x03", strings.Repeat("\x00", 5000)} {
		c, err := net.Dial("tcp4", listen.String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte(b)); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		buf := make([]byte, 4096)
		for err == nil {
			_, err = c.Read(buf)
		}
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Errorf("%q left the connection open", b)
		}
		c.Close()
	}
	await(t, "no connection left", func() bool { return onLoop(t, router1, func(*node.Node) int { return len(router1.conns) }) == 0 })
}
