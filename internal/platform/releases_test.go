package platform

import (
	"testing"
	"time"
)

const heartbeat = `{"t":"hb","ref":"00000000000000aa","f":{},"c":0}`

// newUnconnectedCalls returns a harness in which the calls with the references 1 to n stand at switch 1 and no caller
// is connected.
func newUnconnectedCalls(t *testing.T, n int) *harness {
	t.Helper()
	h := newConnectedHarness(t)
	p := h.accept()
	for ref := 1; ref <= n; ref++ {
		h.receiveLines(p, setUp(ref, 1, ""))
		h.receiveLines(h.switchConns[1], up(ref))
	}
	h.takeLines(p)
	h.Closed(h.clock, p)
	return h
}

// TestPendingReleaseSentOnAnyCallersConnection guards against calls left standing at their callers: a release that
// found no caller's connection was sent on the next set-up only, and on no other request of a caller.
func TestPendingReleaseSentOnAnyCallersConnection(t *testing.T) {
	for name, c := range map[string]struct {
		requests, want []string
	}{
		"set-up":                 {[]string{setUp(9, 1, "")}, []string{"down 1 16"}},
		"set-up and its give-up": {[]string{setUp(9, 1, ""), down(9, 16, "")}, []string{"down 1 16"}},
		"refused set-up":         {[]string{setUp(9, 9, "")}, []string{"down 1 16", "down 9 42"}},
		"release of another":     {[]string{down(2, 16, "")}, []string{"down 1 16"}},
		"release of the same":    {[]string{down(1, 16, "")}, []string{"down 1 16"}},
		"another standing call":  {[]string{setUp(2, 1, ";at:s-00000001")}, []string{"down 1 16"}},
		"adoption":               {[]string{setUp(9, 1, ";at:s-00000001")}, []string{"down 1 16"}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newUnconnectedCalls(t, 2)
			h.receiveLines(h.switchConns[1], down(1, 16, ""))
			h.advance(300 * ms)
			p := h.accept()
			h.receiveLines(p, c.requests...)
			h.expectLines(p, c.want...)
			h.receiveLines(p, setUp(10, 2, ""))
			h.expectLines(p) // the release is not repeated
		})
	}
}

// TestReleaseSentWhereCallsWereNamed guards against calls left standing at their callers: a connection on which a caller
// had only named standing calls was not used for the release of a call whose own connection was closed.
func TestReleaseSentWhereCallsWereNamed(t *testing.T) {
	h := newUnconnectedCalls(t, 2)
	p := h.accept()
	h.receiveLines(p, setUp(2, 1, ";at:s-00000001"))
	h.receiveLines(h.switchConns[1], down(1, 16, ""))
	h.expectLines(p, "down 1 16")
}

// TestPendingReleaseNotSentToClosedCaller guards against a release written to a connection that its caller has closed
// right after its request: the release stays pending for the next connection.
func TestPendingReleaseNotSentToClosedCaller(t *testing.T) {
	h := newUnconnectedCalls(t, 2)
	h.receiveLines(h.switchConns[1], down(1, 16, ""))
	p := h.accept()
	h.processBatch(Input{Conn: p, Kind: InputData, Bytes: joinLines(down(2, 16, "")), EOF: true}, Input{Conn: p, Kind: InputClosed})
	h.expectLines(p)
	q := h.accept()
	h.receiveLines(q, setUp(9, 1, ""))
	h.expectLines(q, "down 1 16")
}

// TestCallWithPendingReleaseNotAdopted guards against a second release, ten minutes late: a caller that named a call
// whose release was pending had the call adopted as a standing one, although it was over.
func TestCallWithPendingReleaseNotAdopted(t *testing.T) {
	for name, closes := range map[string]bool{"connection stays open": false, "connection is closed": true} {
		t.Run(name, func(t *testing.T) {
			h := newUnconnectedCalls(t, 1)
			h.receiveLines(h.switchConns[1], down(1, 16, ""))
			p := h.accept()
			h.processBatch(Input{Conn: p, Kind: InputData, Bytes: joinLines(setUp(1, 1, ";at:s-00000001")), EOF: closes})
			if closes {
				h.expectLines(p)
				h.Closed(h.clock, p)
				p = h.accept()
				h.receiveLines(p, setUp(9, 9, ""))
				h.expectLines(p, "down 1 16", "down 9 42")
			} else {
				h.expectLines(p, "down 1 16")
			}
			h.expectIdle()
		})
	}
}

// TestReleaseBeforeAdoptionNotSentToClosedCaller guards against a call left standing: the release of a call that ended
// before it was named was written to the connection that named it, although its caller had closed that.
func TestReleaseBeforeAdoptionNotSentToClosedCaller(t *testing.T) {
	for name, c := range map[string]struct{ received, at, want string }{
		"released by the switch": {down(3, 16, ""), ";at:s-00000001", "down 3 16"},
		"switch not on the list": {down(4, 16, ""), ";at:s-00000077", "down 3 41"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newConnectedHarness(t)
			h.receiveLines(h.switchConns[1], c.received)
			p := h.accept()
			h.processBatch(Input{Conn: p, Kind: InputData, Bytes: joinLines(setUp(3, 1, c.at)), EOF: true}, Input{Conn: p, Kind: InputClosed})
			h.expectLines(p)
			q := h.accept()
			h.receiveLines(q, setUp(9, 9, ""))
			h.expectLines(q, c.want, "down 9 42")
			h.expectIdle()
		})
	}
}

// TestPendingReleaseKeptWhileNoCallerIsConnected guards against a call left standing for good: its release was dropped
// after 8 s if no caller had come back by then.
func TestPendingReleaseKeptWhileNoCallerIsConnected(t *testing.T) {
	h := newUnconnectedCalls(t, 2)
	h.receiveLines(h.switchConns[1], down(1, 16, ""))
	h.advance(time.Minute)
	p := h.accept()
	h.receiveLines(p, down(2, 16, ""))
	h.expectLines(p, "down 1 16")
	h.expectIdle()
}

// TestPendingReleasesAreBounded guards against memory that grows while no caller is connected: of too many pending
// releases the oldest are dropped, and counted.
func TestPendingReleasesAreBounded(t *testing.T) {
	h := newConnectedHarness(t)
	gone := &caller{closed: true}
	for n := range maxPendingReleases + 2 {
		h.sendReleaseToCaller(gone, ref(n+1), 16)
	}
	if h.Stats.ReleasesDropped != 2 {
		t.Fatalf("%d releases dropped, want 2", h.Stats.ReleasesDropped)
	}
	p := h.accept()
	h.receiveLines(p, setUp(maxPendingReleases+9, 1, ""))
	if got := h.takeLines(p); len(got) != maxPendingReleases || got[0].Ref != ref(3) {
		t.Fatalf("%d lines, the first for %s; want %d from %s on", len(got), got[0].Ref, maxPendingReleases, ref(3))
	}
}

// TestShutdownWaitsForFreshReleasesOnly guards against a process that never ends by itself: a release whose caller does
// not come back keeps it for releaseLifetime and no longer.
func TestShutdownWaitsForFreshReleasesOnly(t *testing.T) {
	h := newUnconnectedCalls(t, 1)
	h.receiveLines(h.switchConns[1], down(1, 16, ""))
	h.Shutdown(h.clock)
	h.advance(releaseLifetime - maintenanceInterval)
	if h.exited {
		t.Fatal("process ends with a release that its caller may still come for")
	}
	h.advance(2 * maintenanceInterval)
	if !h.exited {
		t.Fatal("process does not end")
	}
}

// TestReleaseNotSentToHealthCheck guards against a call left standing: its release was written to the connection of a
// health check, which was the only one open, and the caller that came right after was not told.
func TestReleaseNotSentToHealthCheck(t *testing.T) {
	h := newUnconnectedCalls(t, 2)
	check := h.accept()
	h.receiveLines(check, heartbeat)
	h.expectLines(check, "hb_ok aa")
	h.receiveLines(h.switchConns[1], down(1, 16, ""))
	h.advance(20 * ms)
	h.expectLines(check)
	h.Closed(h.clock, check)
	p := h.accept()
	h.receiveLines(p, down(2, 16, ""))
	h.expectLines(p, "down 1 16")
}

// TestReleaseSentWhereHeartbeatsStay guards against a call left standing: its caller holds a connection open on which it
// has sent only heartbeats, and no other connection comes.
func TestReleaseSentWhereHeartbeatsStay(t *testing.T) {
	h := newUnconnectedCalls(t, 1)
	p := h.accept()
	h.receiveLines(p, heartbeat)
	h.receiveLines(h.switchConns[1], down(1, 16, ""))
	h.advance(time.Second)
	h.expectLines(p, "hb_ok aa", "down 1 16")
}

// TestDueReleaseSentToHealthCheck guards against a release later than 8 s after the end of its call where only health
// checks are left to send it to.
func TestDueReleaseSentToHealthCheck(t *testing.T) {
	h := newUnconnectedCalls(t, 1)
	h.receiveLines(h.switchConns[1], down(1, 16, ""))
	sent := 0
	for range 8 {
		check := h.accept()
		h.receiveLines(check, heartbeat)
		h.advance(20 * ms)
		sent += len(h.takeLines(check)) - 1
		h.Closed(h.clock, check)
		h.advance(980 * ms)
	}
	if sent != 1 {
		t.Fatalf("release sent %d times within 8 s", sent)
	}
	h.expectIdle()
}

// TestCallsNamedTogetherAfterTheirEnd guards against a second release: of calls that are named in one write, the first
// brings all pending releases, and the others were adopted then.
func TestCallsNamedTogetherAfterTheirEnd(t *testing.T) {
	h := newConnectedHarness(t)
	p := newStandingCall(h)
	h.receiveLines(p, setUp(2, 1, ""))
	h.receiveLines(h.switchConns[1], up(2))
	h.Closed(h.clock, p)
	h.receiveLines(h.switchConns[1], down(1, 16, ""), down(2, 16, ""))
	q := h.accept()
	h.receiveLines(q, setUp(1, 1, ";at:s-00000001"), setUp(2, 1, ";at:s-00000001"))
	h.expectLines(q, "down 1 16", "down 2 16")
	h.expectIdle()
}

// TestReleaseSentAgainWhereCallIsNamed guards against calls left standing: a release crosses its caller's close, and the
// caller names the call on its next connection, where it was adopted.
func TestReleaseSentAgainWhereCallIsNamed(t *testing.T) {
	h := newConnectedHarness(t)
	p := newStandingCall(h)
	h.receiveLines(h.switchConns[1], down(1, 16, ""))
	h.expectLines(p, "down 1 16")
	h.Closed(h.clock, p)
	q := h.accept()
	h.receiveLines(q, setUp(1, 1, ";at:s-00000001"))
	h.expectLines(q, "down 1 16")
	h.expectIdle()
}
