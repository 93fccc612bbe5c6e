package platform

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
)

func TestConfigErrorsNameTheKey(t *testing.T) {
	for _, c := range [][3]string{
		{`"127.0.0.1:5060","seed"`, `"here","seed"`, "listen"}, {`127.0.0.2:7070`, `127.0.0.2`, "coordinator"},
		{`8c1f30d27a5be964`, `x`, "seed"}, {`"sockets":256`, `"sockets":3`, "limits.sockets"},
		{`"holdingS":[1,1]`, `"holdingS":[1]`, "familyInfo.holdingS"}, {`s-00000001`, `s-1`, "known.updates[0].endpoints.instances[1]"},
		{`"settings":`, `"setting":`, "settings"}, {`{"name"`, `"name"`, "configuration"},
	} {
		if _, err := ParseConfig([]byte(strings.Replace(config, c[0], c[1], 1))); err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s: error %v", c[2], err)
		}
	}
}

func TestACallIsPassedOnUnchangedAndReleasedFromEitherEnd(t *testing.T) {
	b := upBed(t)
	p, sw := b.accept(), b.switches[1]
	b.send(p, setUp(1, 1, ""))
	m := b.want(sw, "new 1")[0]
	if string(m.Desc) != desc || len(m.Fields) != 3 || m.Fields["class"] != "voice" || m.Fields["key"] != "7f3a9c21e0b4d601" || m.Fields["left"] != "1495" {
		t.Fatalf("to the switch: %+v %s", m.Fields, m.Desc)
	}
	b.pass(30 * ms)
	b.send(sw, up(1))
	if m := b.want(p, "up 1")[0]; string(m.Desc) != `"answer 1"` {
		t.Fatalf("answer %s", m.Desc)
	}
	b.send(sw, up(1)) // a second copy is nothing
	b.pass(5 * time.Second)
	b.want(p)
	b.send(sw, down(1, 16, ""))
	b.want(p, "down 1 16")
	b.send(sw, down(1, 16, "")) // it comes again on a later connection
	b.want(p)
	b.send(p, setUp(2, 1, ""))
	b.send(sw, up(2))
	q := b.accept()
	b.send(q, down(2, 16, "")) // a standing call belongs to no connection
	b.want(sw, "new 2", "down 2 16")
	b.want(p, "up 2")
	b.want(q)
	b.quiet()
}

// TestEndsBeforeTheAnswer: what the module is told shows in what it does next: another route, or which final answer.
func TestEndsBeforeTheAnswer(t *testing.T) {
	for _, c := range []struct {
		cause   int
		note    string
		outcome decide.Outcome
		want    decide.Cause
	}{
		{34, "blocked", decide.Rejected, decide.NoCircuit}, {34, "bounced", decide.Rejected, decide.TandemRejected},
		{34, "far_swamped", decide.Rejected, decide.TandemRejectedFull}, {34, "swamped", decide.Rejected, decide.ProcessorFull},
		{17, "occupied", decide.Busy, decide.LinesBusy}, {47, "", decide.Busy, decide.CauseUnknown},
		{102, "blocked", decide.NotSent, decide.NoCircuit}, {41, "", decide.Cut, decide.CauseUnknown}, {16, "", decide.Cut, decide.CauseUnknown},
	} {
		m, err := jsonl.Parse([]byte(down(1, c.cause, c.note)))
		if o, cause := outcome(&m); err != nil || o != c.outcome || cause != c.want {
			t.Errorf("%d %s: %v %v", c.cause, c.note, o, cause)
		}
	}
	b := upBed(t)
	p := b.accept()
	b.send(p, setUp(1, 1, ""))
	b.send(b.switches[1], down(1, 17, "occupied"))
	if m := b.want(p, "down 1 42")[0]; m.Fields["wait"] == "" {
		t.Fatal("no time to stay away")
	}
	b.quiet()
}

// TestTheWaitAfterAResetHolds: a call that was cut goes out again no sooner than the stated wait, one that never ran at once.
func TestTheWaitAfterAResetHolds(t *testing.T) {
	b := upBed(t)
	p := b.accept()
	b.send(p, setUp(1, 1, ""))
	b.want(b.switches[1], "new 1")
	b.Closed(b.at, b.switches[1])
	b.take()
	for _, d := range b.dialled() {
		b.connect(d)
	}
	b.pass(149 * ms)
	b.want(b.switches[1])
	b.want(b.switches[2])
	b.pass(100 * ms)
	if n := len(b.got(b.switches[1])) + len(b.got(b.switches[2])) + len(b.got(p)); n != 1 {
		t.Fatalf("%d lines after the wait, want the next attempt or the answer", n)
	}
}

func TestTimeIsUpBeforeTheCallerLeaves(t *testing.T) {
	b := upBed(t)
	p := b.accept()
	b.send(p, setUp(1, 1, ""))
	b.want(b.switches[1], "new 1")
	b.pass(1494 * ms)
	b.want(p)
	b.pass(ms)
	b.want(p, "down 1 41")
	b.want(b.switches[1], "down 1 16")
	b.send(b.switches[1], up(1)) // an answer that crosses the give-up
	b.want(p)
	b.quiet()
}

func TestACallerThatLeavesHasItsAttemptCalledOff(t *testing.T) {
	for name, leave := range map[string]func(b *bed, p ConnID){
		"says so": func(b *bed, p ConnID) { b.send(p, down(1, 16, "")) },
		"closes":  func(b *bed, p ConnID) { b.Closed(b.at, p); b.take() },
	} {
		b := upBed(t)
		p := b.accept()
		b.send(p, setUp(1, 1, ""))
		b.pass(20 * ms)
		leave(b, p)
		b.want(b.switches[1], "new 1", "down 1 16")
		b.send(b.switches[1], up(1))
		b.want(p)
		b.quiet()
		if b.Stats.Abandoned != 1 {
			t.Errorf("%s: %+v", name, b.Stats)
		}
	}
}

// TestACallerThatWaitedItsTimeHasTimedOut: whoever's clock is first, the module learns of a silent switch.
func TestACallerThatWaitedItsTimeHasTimedOut(t *testing.T) {
	for at, want := range map[time.Duration]decide.Outcome{1000 * ms: decide.Cancelled, 1490 * ms: decide.TimedOut} {
		b := upBed(t)
		p := b.accept()
		b.send(p, setUp(1, 1, ""))
		b.send(b.switches[1], gauge)
		b.pass(at)
		b.send(p, down(1, 16, ""))
		b.want(b.switches[1], "new 1", "down 1 16")
		if b.Stats.AttemptOutcomes[want] != 1 {
			t.Errorf("left after %v: ends %v, want one of kind %d", at, b.Stats.AttemptOutcomes, want)
		}
		b.quiet()
	}
}

func TestBadInputGetsAFailureOrACloseAndNothingReachesASwitch(t *testing.T) {
	for _, c := range []struct {
		line   string
		answer bool // a failure under the reference
		closed bool
	}{
		{`what`, false, true}, {`{"t":"new","ref":"1"}`, false, true}, {strings.Repeat("x", jsonl.MaxLine+1), false, true},
		{`{"t":"step","ref":"0000000000000001"}`, true, true},
		{`{"t":"new","ref":"0000000000000001","f":7}`, true, true},
		{strings.Replace(setUp(1, 1, ""), "voice", "fax", 1), true, false},
		{strings.Replace(setUp(1, 1, ""), "1500", "-5", 1), true, false},
		{strings.Replace(setUp(1, 1, ""), "1500", "1e999", 1), true, false},
		{strings.Replace(setUp(1, 1, ""), "1500", "99999999999999999999", 1), true, false},
		{strings.Replace(setUp(1, 1, ""), "7f3a", "zz", 1), true, false},
		{setUp(1, 1, ";dest:nine"), true, false}, {setUp(1, 1, ";width:0"), true, false}, {setUp(1, 70000, ""), true, false},
		{setUp(1, 1, ";at:s-1"), true, false}, {setUp(1, 1, ";at:s-99999999"), true, false},
		{strings.Replace(setUp(1, 1, ""), desc, `"\udc00"`, 1), true, true},
		{strings.Replace(setUp(1, 1, ""), `,"d":`+desc, ``, 1), true, false},
		{strings.Replace(setUp(1, 1, ""), desc, `"`+strings.Repeat("x", mostDesc)+`"`, 1), true, false},
		{setUp(1, 9, ""), true, false}, // refused: nobody serves it
	} {
		b := upBed(t)
		p, usual := b.accept(), b.accept()
		b.send(usual, setUp(7, 1, ""))
		b.want(b.switches[1], "new 7")
		b.send(p, c.line)
		got := b.got(p)
		if answered := len(got) == 1 && got[0].Type == jsonl.TypeDown && got[0].Ref == ref(1); answered != c.answer || len(got) > 1 || b.closed[p] != c.closed {
			t.Errorf("%.80q: answers %+v, closed %v", c.line, got, b.closed[p])
		}
		b.want(b.switches[1])
		b.want(b.switches[2])
		b.send(b.switches[1], up(7))
		b.want(usual, "up 7")
	}
}

func TestAReferenceThatIsOpenAlready(t *testing.T) {
	b := upBed(t)
	p, q := b.accept(), b.accept()
	b.send(p, setUp(1, 1, ""))
	b.send(q, setUp(1, 2, "")) // on another connection: a failure there, the first is untouched
	b.want(q, "down 1 41")
	b.send(b.switches[1], up(1))
	b.want(p, "up 1")
	b.send(p, setUp(2, 1, ""), setUp(2, 2, "")) // on its own: one failure ends both
	b.want(p, "down 2 41")
	b.want(b.switches[1], "new 1", "new 2", "down 2 16")
	if !b.closed[p] || !b.closed[q] {
		t.Fatal("a connection that broke the protocol stays open")
	}
}

func TestSilentConnectionsEndAndGiveWayToOthers(t *testing.T) {
	b := upBed(t)
	p, half := b.accept(), b.accept()
	b.Receive(b.at, half, []byte(`{"t":"new",`))
	b.pass(speakWithin + houseKeeping)
	if !b.closed[p] || !b.closed[half] {
		t.Fatal("a connection that says nothing stays open")
	}
	first := b.accept()
	b.send(first, setUp(1, 1, ""))
	b.pass(speakSoon)
	most := b.cfg.budget(3)
	silent := b.accept()
	for range most - 2 {
		b.send(b.accept(), `{"t":"hb","ref":"0000000000000009","f":{},"c":0}`)
	}
	b.pass(speakSoon)
	next := b.accept()
	if !b.closed[silent] || b.closed[first] || b.closed[next] {
		t.Fatalf("over the budget %v, %v, %v ended; want the silent one alone", b.closed[silent], b.closed[first], b.closed[next])
	}
}

// TestReleasesGoToCallersNotToStrangers: a flood of strangers that ask for calls takes neither a connection with standing
// calls nor the release of one whose connection is gone.
func TestReleasesGoToCallersNotToStrangers(t *testing.T) {
	b := upBed(t)
	usual, other := standAt1(b), b.accept()
	for n := 0x11; n <= 0x13; n++ {
		b.send(other, setUp(n, 1, ""))
		b.send(b.switches[1], up(n), down(n, 16, ""))
	}
	b.want(other, "up 11", "down 11 16", "up 12", "down 12 16", "up 13", "down 13 16")
	b.pass(idleFor)
	b.send(other, setUp(0x14, 1, ""))
	b.send(b.switches[1], up(0x14))
	b.want(other, "up 14")
	for n := range 2 * b.cfg.budget(3) {
		b.send(b.accept(), setUp(1000+n, 9, ""))
	}
	if b.closed[usual] || b.closed[other] {
		t.Fatal("a connection with a standing call gave way to strangers")
	}
	b.Closed(b.at, usual)
	b.send(b.switches[1], down(1, 16, ""))
	b.want(other, "down 1 16")
}

func TestWhatASwitchSpoilsIsCutAndStandingCallsAreNot(t *testing.T) {
	for name, bad := range map[string]string{"noise": "\x00\x01 noise\n", "endless": strings.Repeat("y", jsonl.MaxLine+1),
		"answer without a description": `{"t":"up","ref":"0000000000000002","f":{}}` + "\n"} {
		b := upBed(t)
		p, sw := b.accept(), b.switches[1]
		b.send(p, setUp(1, 1, ""))
		b.send(sw, up(9), up(1), up(1)) // an unknown id ahead and a second copy do no harm
		b.send(p, setUp(2, 1, ""))
		b.Receive(b.at, sw, []byte(bad))
		b.take()
		if !b.closed[sw] {
			t.Fatalf("%s: the connection stays", name)
		}
		b.want(p, "up 1", "down 2 42") // the module does not try a route again that ends at the same processor
		for _, d := range b.dialled() {
			b.connect(d)
		}
		b.send(b.switches[1], down(1, 16, ""))
		b.want(p, "down 1 16")
		b.quiet()
	}
}

const gauge = `{"t":"gauge","f":{"load":"idle:9;circuits:10"}}`

// TestAConnectionThatFallsSilentIsLeft: an answer stops short or nothing comes, and the connection stays open.
func TestAConnectionThatFallsSilentIsLeft(t *testing.T) {
	for name, short := range map[string]string{"an answer stops short": up(1)[:30], "nothing comes": ""} {
		b := upBed(t)
		p, old := b.accept(), b.switches[1]
		b.send(p, setUp(1, 1, ""))
		b.Receive(b.at, old, []byte(short))
		b.pass(deafAfter + 10*ms)
		d := b.dialled()
		if len(d) != 1 {
			t.Fatalf("%s: %d connections asked for", name, len(d))
		}
		b.connect(d[0])
		b.pass(deafProof)
		if !b.closed[old] {
			t.Fatalf("%s: the silent connection stays", name)
		}
		b.want(p, "down 1 42")
		b.send(p, setUp(2, 1, ""))
		b.want(b.switches[1], "new 2")
		b.send(b.switches[1], up(2))
		b.want(p, "up 2")
	}
}

// TestASilentConnectionIsFoundBesideOneThatSpeaks: nothing is out on it, but releases of what stands would be lost with it.
func TestASilentConnectionIsFoundBesideOneThatSpeaks(t *testing.T) {
	b := upBed(t)
	p, old := standAt1(b), b.switches[1]
	b.pass(quietFor + 2*houseKeeping)
	d := b.dialled()
	if len(d) != 1 {
		t.Fatalf("%d connections asked for beside a single quiet one", len(d))
	}
	b.connect(d[0])
	b.pass(deafAfter)
	b.send(d[0].Conn, gauge)
	b.pass(deafAfter + deafProof)
	b.send(d[0].Conn, gauge)
	b.pass(deafProof)
	if !b.closed[old] || b.closed[d[0].Conn] {
		t.Fatalf("the silent one closed: %v, the other: %v", b.closed[old], b.closed[d[0].Conn])
	}
	b.pass(lossSeen)
	if d = b.dialled(); len(d) == 0 {
		t.Fatal("no connection for the releases that were lost")
	}
	b.connect(d[0])
	b.send(d[0].Conn, down(1, 16, ""))
	b.want(p, "down 1 16")
}

// TestAHungSwitchKeepsItsConnections: all fall silent together, and speak again together.
// TestChangesToldOnAllConnectionsLeaveThemAlone: a change of the group comes on each of them in turn, whichever is first,
// and a first report on a new one is for that one. None of them has fallen silent for that, or each change would make
// a fleet's connections anew.
func TestChangesToldOnAllConnectionsLeaveThemAlone(t *testing.T) {
	b := upBed(t)
	links := []ConnID{b.switches[1]}
	for range 2 {
		b.pass(300 * ms)
		if len(b.dialled()) > 0 {
			t.Fatal("a first report set the others to speak")
		}
		b.Core.switches[1].connect()
		d := b.dialled()[0]
		b.connect(d)
		links = append(links, d.Conn)
	}
	b.dialled()
	for i := range 20 {
		for j := range links {
			b.send(links[(i+j)%3], fmt.Sprintf(`{"t":"gauge","f":{"load":"idle:%d;circuits:10"}}`, i%10))
			b.pass(ms)
		}
		b.pass(time.Duration(50+25*i) * ms)
	}
	for _, d := range b.dialled() {
		if d.To.Port() != 7070 { // the coordinator says nothing here, and is asked again
			t.Errorf("dialled %v", d.To)
		}
	}
	for _, l := range links {
		if b.closed[l] {
			t.Errorf("closed %d", l)
		}
	}
}

func TestAHungSwitchKeepsItsConnections(t *testing.T) {
	b := upBed(t)
	p, old := b.accept(), b.switches[1]
	b.send(p, setUp(1, 1, ""))
	b.pass(deafAfter)
	d := b.dialled()
	if len(d) != 1 {
		t.Fatalf("%d connections asked for", len(d))
	}
	b.Connected(b.at, d[0].Conn) // its machine takes it, the process says nothing
	b.pass(500 * ms)
	b.send(d[0].Conn, gauge)
	b.send(old, gauge, up(1))
	b.pass(deafProof)
	b.want(p, "up 1")
	if b.closed[old] {
		t.Fatal("a connection that speaks again was closed")
	}
}

// standAt1 brings a call up that stands at switch 1.
func standAt1(b *bed) (p ConnID) {
	p = b.accept()
	b.send(p, setUp(1, 1, ""))
	b.send(b.switches[1], up(1))
	b.want(p, "up 1")
	return p
}

// TestAReleaseThatALostConnectionTookAlong: it comes again on the next connection that is opened, so one is, though
// another is up.
func TestAReleaseThatALostConnectionTookAlong(t *testing.T) {
	b := upBed(t)
	p := standAt1(b)
	lose := func(bring string) (dials []Dial) {
		first := b.switches[1]
		b.Receive(b.at, first, []byte("\x00 noise\n"+bring))
		dials = b.dialled()
		if !b.closed[first] {
			t.Fatal("a spoilt connection stays")
		}
		return dials
	}
	b.connect(lose("")[0])
	b.pass(lossSeen)
	d := b.dialled()
	if len(d) != 1 {
		t.Fatalf("%d connections asked for after a loss", len(d))
	}
	b.connect(d[0]) // two are up now
	if d := lose(down(1, 16, "") + "\n"); len(d) != 0 {
		t.Fatalf("%d connections asked for before the switch can have seen the loss", len(d))
	}
	b.pass(lossSeen)
	if d = b.dialled(); len(d) != 1 {
		t.Fatalf("%d connections asked for after the loss of one of two", len(d))
	}
	b.connect(d[0])
	b.want(p)
	b.send(d[0].Conn, down(1, 16, ""))
	b.want(p, "down 1 16")
}

func TestCallsAtADeadProcessAreOver(t *testing.T) {
	b := upBed(t)
	p := standAt1(b)
	b.Closed(b.at, b.switches[1])
	d := b.dialled()
	if len(d) != 1 {
		t.Fatalf("%d connections asked for", len(d))
	}
	b.want(p) // a reset alone ends no standing call
	b.DialFailed(b.at, d[0].Conn, DialRefused)
	b.take()
	b.want(p, "down 1 41")
	b.quiet()
}

// dialsEnd has every connection to a switch that is asked for end in the same way, for a time or until a caller hears.
func (b *bed) dialsEnd(why DialFailure, d time.Duration, p ConnID) {
	for until := b.at + d; b.at < until && len(b.lines[p]) == 0; b.pass(50 * ms) {
		for _, d := range b.dialled() {
			if d.To.Port() != 7070 {
				if why == DialTimedOut {
					b.pass(d.Timeout)
				}
				b.DialFailed(b.at, d.Conn, why)
			}
		}
	}
}

// TestAResetAndNoConnectionAfter: a connection may come up a second late, so nothing but silence for longer shows that the
// process which reset the last one is dead.
func TestAResetAndNoConnectionAfter(t *testing.T) {
	b := upBed(t)
	p := standAt1(b)
	reset := b.at
	b.Closed(b.at, b.switches[1])
	b.take()
	b.dialsEnd(DialTimedOut, 10*time.Second, p)
	b.want(p, "down 1 41")
	if after := b.at - reset; after < time.Second || after > 4*time.Second {
		t.Fatalf("over after %v", after)
	}
	b.quiet()
}

// drainingAt1 has a call stand at a switch that drains: it takes no new connection, and has two.
func drainingAt1(t *testing.T) (b *bed, p ConnID, links [2]ConnID) {
	b = upBed(t)
	links[0] = b.switches[1]
	p = standAt1(b)
	b.Core.switches[1].connect()
	b.connect(b.dialled()[0])
	links[1] = b.switches[1]
	b.list(2, entry(1, 1, 2, decide.Draining))
	return b, p, links
}

// answerTests has the switch pass the tests that are asked on a connection, and counts them.
func (b *bed) answerTests(id ConnID) (n int) {
	for _, m := range b.got(id) {
		if m.Type == jsonl.TypeHeartbeat {
			b.send(id, fmt.Sprintf(`{"t":"hb_ok","ref":"%s","f":{},"c":1}`, m.Ref))
			n++
		}
	}
	return n
}

// TestADrainingSwitchKeepsItsCalls: it says nothing on the connections it has, as no set-up comes; its calls stand until it
// stops, also when one of its connections is reset before. It is not asked for a test more often than need be.
func TestADrainingSwitchKeepsItsCalls(t *testing.T) {
	b, p, links := drainingAt1(t)
	tests := 0
	for i := range 400 {
		b.dialsEnd(DialRefused, 50*ms, p)
		tests += b.answerTests(links[1])
		if i == 100 {
			b.Closed(b.at, links[0])
			b.take()
		}
	}
	b.want(p)
	if tests < 2 || tests > 6 {
		t.Fatalf("%d tests in 20 s", tests)
	}
	b.send(links[1], down(1, 16, ""))
	b.want(p, "down 1 16")
}

// TestASwitchThatDiedBehindASilentConnection: its other connection was reset, new ones are refused, and on the one that
// seems open nothing comes: the calls are over within 3 s.
func TestASwitchThatDiedBehindASilentConnection(t *testing.T) {
	b, p, links := drainingAt1(t)
	b.dialsEnd(DialRefused, 3*time.Second, p)
	b.want(p)
	died := b.at
	b.Closed(b.at, links[0])
	b.take()
	b.dialsEnd(DialRefused, 10*time.Second, p)
	b.want(p, "down 1 41")
	if after := b.at - died; after > 3*time.Second || !b.closed[links[1]] {
		t.Fatalf("over after %v, the silent connection closed: %t", after, b.closed[links[1]])
	}
	b.quiet()
}

func TestCallsAtAVanishedMachineAreOver(t *testing.T) {
	b := upBed(t)
	p := standAt1(b)
	for range 80 {
		b.pass(100 * ms)
		for _, d := range b.dialled() {
			if d.To.Port() != 7070 {
				b.pass(d.Timeout)
				b.DialFailed(b.at, d.Conn, DialTimedOut)
			}
		}
		if b.at > 8*time.Second {
			break
		}
	}
	b.want(p, "down 1 41")
	// A hung process is another matter: its machine takes connections, and its calls stand.
	b = upBed(t)
	p = standAt1(b)
	for range 90 {
		b.pass(100 * ms)
		for _, d := range b.dialled() {
			if d.To.Port() != 7070 {
				b.Connected(b.at, d.Conn)
			}
		}
	}
	b.want(p)
}

func TestANewIdAtTheAddressOfAGoneOne(t *testing.T) {
	b := upBed(t)
	p := standAt1(b)
	old := b.switches[1]
	b.list(2, entry(1, 1, 2, decide.Removed), entry(5, 1, 2, decide.Ready))
	d := b.dialled()
	if len(d) != 1 || b.closed[old] {
		t.Fatalf("%d connections asked for, the old one closed: %v", len(d), b.closed[old])
	}
	b.connect(d[0])
	b.send(p, setUp(2, 1, ""))
	b.want(b.switches[1], "new 2")
	b.want(old, "new 1")
	b.Closed(b.at, old)
	b.take()
	b.want(p, "down 1 41")
	b.send(b.switches[1], up(2))
	b.want(p, "up 2")
	if len(b.Core.switches) != 3 {
		t.Fatalf("%d switches known", len(b.Core.switches))
	}
}

func TestASetUpThatWaitsForAConnectionDoesNotLeaveAfterADrain(t *testing.T) {
	b := upBed(t)
	b.Closed(b.at, b.switches[1])
	d := b.dialled()
	p := b.accept()
	b.send(p, setUp(1, 1, ""))
	b.list(2, entry(1, 1, 2, decide.Draining))
	b.connect(d[0])
	b.want(d[0].Conn)
	b.pass(time.Second)
	if m := b.got(p); len(m) != 1 || m[0].Type != jsonl.TypeDown {
		t.Fatalf("%+v", m)
	}
	b.quiet()
}

func TestNoConnectionIsUnreachableAfterItsTime(t *testing.T) {
	b := upBed(t)
	b.Closed(b.at, b.switches[1])
	b.dialled()
	p := b.accept()
	b.send(p, setUp(1, 1, ""))
	b.pass(499 * ms)
	b.want(p)
	b.pass(40 * ms)
	if m := b.got(p); len(m) != 1 || m[0].Type != jsonl.TypeDown {
		t.Fatalf("%+v", m)
	}
	b.quiet()
}

func TestCallsAreTakenOverAfterARestart(t *testing.T) {
	b := upBed(t)
	p := b.accept()
	b.send(b.switches[1], down(3, 16, "")) // its release came before its name did
	b.send(p, setUp(1, 1, ";at:s-00000001"), setUp(1, 1, ";at:s-00000001"), setUp(3, 1, ";at:s-00000001"))
	b.want(p, "down 3 16")
	b.want(b.switches[1])
	b.send(b.switches[1], down(1, 16, ""))
	b.want(p, "down 1 16")
	b.quiet()
}

func TestAReleaseWaitsForAConnection(t *testing.T) {
	b := upBed(t)
	p := standAt1(b)
	b.Closed(b.at, p)
	b.send(b.switches[1], down(1, 16, ""))
	b.pass(time.Second)
	q := b.accept()
	b.send(q, setUp(2, 1, ""))
	b.want(q, "down 1 16")

	b = upBed(t)
	p = standAt1(b)
	b.Closed(b.at, b.switches[1])
	b.send(p, down(1, 16, ""))
	for _, d := range b.dialled() {
		b.connect(d)
	}
	b.want(b.switches[1], "down 1 16")
	b.quiet()
}

func TestTestsPassOnceGroupsAreKnownAndFailFromSIGTERM(t *testing.T) {
	test := func(b *bed) int {
		p := b.accept()
		b.send(p, `{"t":"hb","ref":"00000000000000aa","f":{},"c":0}`)
		return b.want(p, "hb_ok aa")[0].Cause
	}
	b := newBed(t)
	d := b.dialled()
	if test(b) != 0 {
		t.Fatal("passed before any group was told")
	}
	for _, d := range d {
		b.connect(d)
	}
	if test(b) != 1 {
		t.Fatal("not passed with all groups told")
	}
	p := standAt1(b)
	b.Stop(b.at)
	if test(b) != 0 {
		t.Fatal("passed after SIGTERM")
	}
	b.send(p, setUp(2, 2, "")) // still served
	b.want(b.switches[2], "new 2")
	b.send(b.switches[2], up(2), down(2, 16, ""))
	b.want(p, "up 2", "down 2 16")
	b.pass(3 * time.Second)
	if b.exit {
		t.Fatal("ended while a call stands")
	}
	b.send(b.switches[1], down(1, 16, ""))
	b.want(p, "down 1 16")
	b.pass(time.Second)
	if !b.exit {
		t.Fatal("did not end")
	}
	late := newBed(t)
	late.pass(readyWithin)
	if test(late) != 1 {
		t.Fatal("switches that say nothing hold it up")
	}
}

func TestTheCoordinatorIsAskedAgain(t *testing.T) {
	frame := coordinator.AppendFrame(nil, coordinator.Event{Index: 2, Entries: []coordinator.Entry{entry(1, 1, 2, decide.Draining)}})
	for name, lose := range map[string]func(b *bed){
		"broken in an event": func(b *bed) { b.Receive(b.at, b.coord, frame[:9]); b.Closed(b.at, b.coord) },
		"silent":             func(b *bed) { b.pass(listSilence + 2*houseKeeping) },
		"spoilt":             func(b *bed) { b.Receive(b.at, b.coord, []byte{0xff, 0xff, 0xff, 0xff}) },
		"moved":              func(b *bed) { b.SetCoordinator(b.at, entry(0, 0, 99, 0).Addr) },
	} {
		b := upBed(t)
		lose(b)
		d := b.dialled()
		if len(d) != 1 {
			t.Fatalf("%s: %d connections asked for", name, len(d))
		}
		b.coord = 0 // what is written to it is kept as a line
		b.Connected(b.at, d[0].Conn)
		b.take()
		if got := b.lines[d[0].Conn]; len(got) != 1 || got[0] != "\x00\x00\x00\x00\x00\x00\x00\x01" {
			t.Errorf("%s: it begins with %q", name, got)
		}
		b.Receive(b.at, d[0].Conn, frame)
		if b.Core.switches[1].phase != decide.Draining {
			t.Errorf("%s: its news is not taken", name)
		}
	}
}

// TestWarmAndColdSwitches: starts are Unix time; 0, and what is older than the cold time, is warm.
// TestAFleetsDialsAreSpread: proxies that lose the coordinator in one instant ask again at times of their own, which the
// seed alone decides.
func TestAFleetsDialsAreSpread(t *testing.T) {
	asked := func(seed string) (at []time.Duration) {
		cfg, err := ParseConfig([]byte(strings.Replace(config, "8c1f30d27a5be964", seed, 1)))
		if err != nil {
			t.Fatal(err)
		}
		c := New(cfg, time.UnixMilli(1_700_000_000_000))
		for now := time.Duration(0); now < 3*time.Second; now += ms {
			c.Advance(now)
			for _, o := range c.Outputs() {
				if d, ok := o.(Dial); ok && d.To.Port() == 7070 {
					at = append(at, now)
					c.DialFailed(now, d.Conn, DialRefused)
				}
			}
		}
		return at
	}
	times := map[time.Duration]int{}
	for seed := range 48 {
		at := asked(fmt.Sprintf("%x", seed+1))
		if n := len(at); n < 5 || n > 12 {
			t.Fatalf("asked %d times in 3 s", n)
		}
		times[at[4]]++
	}
	for at, n := range times {
		if n > 6 {
			t.Errorf("%d of 48 ask for the fifth time at %v", n, at)
		}
	}
	if !slices.Equal(asked("5"), asked("5")) {
		t.Error("one seed, two courses")
	}
}

func TestWarmAndColdSwitches(t *testing.T) {
	b := newBed(t)
	b.pass(2 * time.Second)
	wall := int64(1_700_000_000_000)
	for started, want := range map[int64]time.Duration{0: 0, wall + 1500: clockAhead + 1500*ms, wall - 1000: clockAhead - time.Second,
		wall + 99_000: clockAhead + 2*time.Second, 5: 1} {
		if got := b.started(started); got != want {
			t.Errorf("started %d: %v on the module's clock, want %v", started, got, want)
		}
	}
}

// TestAnyOrderOfEventsLeavesOneAnswer plays events in any order, several in one instant, and watches the wire.
func TestAnyOrderOfEventsLeavesOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := upBed(t)
		type seen struct {
			from           ConnID
			left, up, down bool
			outAt          ConnID // connection of the attempt that is out
		}
		calls := map[string]*seen{}
		callers := []ConnID{b.accept(), b.accept()}
		number, next, index := 0, uint64(2), 1
		pump := func() {
			b.take()
			for _, w := range b.wire {
				m, err := jsonl.Parse([]byte(w.line))
				if err != nil {
					t.Fatalf("the proxy wrote %q: %v", w.line, err)
				}
				id, k := w.to, calls[m.Ref]
				if m.Type == jsonl.TypeHeartbeat {
					continue
				}
				if k == nil {
					t.Fatalf("a line about %s", m.Ref)
				}
				isCaller := id == callers[0] || id == callers[1]
				switch {
				case m.Type == jsonl.TypeNew:
					if k.outAt != 0 && b.links[k.outAt] != nil {
						t.Fatalf("%s is out twice", m.Ref)
					}
					if k.up || k.down || k.left {
						t.Fatalf("%s goes out after its end", m.Ref)
					}
					k.outAt = id
				case isCaller && m.Type == jsonl.TypeUp:
					if k.up || k.down || k.left {
						t.Fatalf("a second answer to %s", m.Ref)
					}
					k.up, k.outAt = true, 0
				case isCaller && m.Type == jsonl.TypeDown:
					if k.down || k.left && !k.up {
						t.Fatalf("a second end of %s", m.Ref)
					}
					k.down = true
				case !isCaller && m.Type == jsonl.TypeDown:
					if k.outAt == id {
						k.outAt = 0
					}
				}
			}
			b.wire = b.wire[:0]
		}
		pump()
		step := func(t *rapid.T) {
			var refs []int
			for n := 1; n <= number; n++ {
				refs = append(refs, n)
			}
			pick := func() int {
				if len(refs) == 0 {
					return 0
				}
				return rapid.SampledFrom(refs).Draw(t, "ref")
			}
			sw := b.switches[byte(rapid.IntRange(1, 2).Draw(t, "switch"))]
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0, 1, 2:
				number++
				p := rapid.SampledFrom(callers).Draw(t, "caller")
				calls[ref(number)] = &seen{from: p}
				b.send(p, setUp(number, rapid.IntRange(0, 3).Draw(t, "dest"), rapid.SampledFrom([]string{"", ";transit:1", ";again:1"}).Draw(t, "more")))
			case 3, 4:
				if n := pick(); n > 0 {
					if k := calls[ref(n)]; k.outAt == sw {
						k.outAt = 0
					}
					b.send(sw, up(n))
				}
			case 5, 6:
				if n := pick(); n > 0 {
					if k := calls[ref(n)]; k.outAt == sw {
						k.outAt = 0
					}
					cause := rapid.SampledFrom([]int{16, 17, 34, 41, 102}).Draw(t, "cause")
					b.send(sw, down(n, cause, rapid.SampledFrom([]string{"", "blocked", "bounced", "swamped", "occupied"}).Draw(t, "note")))
				}
			case 7:
				if n := pick(); n > 0 {
					k := calls[ref(n)]
					b.take()
					pump()
					if !k.down {
						k.left = true
						b.send(k.from, down(n, 16, ""))
						k.down = k.up
					}
				}
			case 8:
				if b.links[sw] != nil {
					b.Closed(b.at, sw)
				}
			case 9:
				b.pass(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms)
			case 10:
				phase := rapid.SampledFrom([]decide.Phase{decide.Ready, decide.Draining, decide.Removed}).Draw(t, "phase")
				n := rapid.IntRange(1, 2).Draw(t, "number")
				if rapid.Bool().Draw(t, "new id") {
					index++
				}
				id := uint32(n)
				if index > 1 {
					id = uint32(10*index + n)
				}
				b.list(next, entry(id, n, n+1, phase))
				next++
			case 11:
				for _, d := range b.dialled() {
					if d.To.Port() == 7070 || rapid.IntRange(0, 3).Draw(t, "comes up") > 0 {
						b.connect(d)
					} else {
						b.DialFailed(b.at, d.Conn, DialRefused)
					}
				}
			}
			pump()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			step(t)
		}
		b.pass(5 * time.Second)
		pump()
		for r, k := range calls {
			if !k.up && !k.down && !k.left {
				t.Fatalf("%s has no answer", r)
			}
			if k.up && !k.down {
				b.send(k.from, fmt.Sprintf(`{"t":"down","ref":"%s","f":{},"c":16}`, r))
			}
		}
		b.pass(time.Second)
		b.quiet()
		if n := b.queue.Len(); n > 8 {
			t.Fatalf("%d timers are left", n)
		}
	})
}
