package node

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pipitring/decide"
	"pipitring/internal/call"
	"pipitring/internal/iax2"
	"pipitring/internal/registry"
)

const ms = time.Millisecond

// network consists of routers 0 to n-1, a switch behind each, and one caller at router 0. Links have a delay of
// 5 ms one way.
type network struct {
	t            *testing.T
	now          time.Duration
	nodes        []*Node
	endpoints    map[iax2.Addr]*iax2.Endpoint // of the switches and the caller
	order        []iax2.Addr
	inFlight     []datagram
	caller       *iax2.Endpoint
	callerEvents []iax2.Event // events at the caller
	offered      []iax2.Event // offered calls at the switches
	onOffer      func(e iax2.Event)
	drop         func(from, to iax2.Addr, f *iax2.Frame) bool
	setUps       map[iax2.Addr]int // number of set-ups that reached each switch
	media        func(to iax2.Addr, payload string)
}

type datagram struct {
	at       time.Duration
	from, to iax2.Addr
	b        []byte
}

var callerAddr = iax2.Addr{IP: [4]byte{127, 0, 0, 99}, Port: 4569}

func routerAddr(x int) iax2.Addr { return iax2.Addr{IP: [4]byte{127, 0, 1, byte(x)}, Port: 4569} }
func switchAddr(x int) iax2.Addr { return iax2.Addr{IP: [4]byte{127, 0, 2, byte(x)}, Port: 4569} }

func newNetwork(t *testing.T, n int, plans func(x int) *call.Plan) *network {
	return newNetworkOf(t, n, plans, func(*registry.Entry) {})
}

// listedAt is the time of day at which the routers receive the list.
var listedAt = time.Unix(1e9, 0)

// newNetworkOf is like newNetwork, with each list entry passed to change.
func newNetworkOf(t *testing.T, n int, plans func(x int) *call.Plan, change func(*registry.Entry)) *network {
	w := &network{t: t, now: time.Second, endpoints: map[iax2.Addr]*iax2.Endpoint{}, setUps: map[iax2.Addr]int{}}
	var list registry.List
	for x := range n {
		list.Entries = append(list.Entries, registry.Entry{ID: fmt.Sprint("x", x), Number: x, Phase: decide.Ready,
			Address: routerAddr(x).AddrPort(), Switch: switchAddr(x).AddrPort()})
		change(&list.Entries[x])
	}
	for x := range n {
		sizes := map[int]int{}
		for y := range n {
			if y != x {
				sizes[y] = 10
			}
		}
		node := New(Settings{Core: call.Settings{Seed: uint64(x + 1), Groups: sizes, OwnCircuits: 60, Plan: plans(x),
			AnswerMargin: 80 * ms, DrainGrace: time.Second, Patience: []time.Duration{3 * time.Second},
			Decide: decide.Settings{OwnExchange: x, DeliverLocal: true, Proxies: n, MaxAttempts: 4, ReleaseWait: 300 * ms,
				ResendAfter:  500 * ms,
				ColdCapacity: 0.3, ColdDuration: 10 * time.Second, OverloadMultiple: 3, Classes: []decide.Class{
					{HoldTime: 10 * time.Second, Width: 1, SetupTarget: time.Second, Deadline: 9 * time.Second, Value: 1}}}},
			IAX: iax2.Config{AcceptDelay: 100 * ms, AckDelay: 20 * ms}})
		node.SetList(w.now, listedAt, list)
		w.nodes = append(w.nodes, node)
		w.add(switchAddr(x), iax2.Config{AcceptDelay: 100 * ms})
	}
	w.caller = w.add(callerAddr, iax2.Config{})
	w.onOffer = func(e iax2.Event) { e.Dialog.Answer(w.now) }
	return w
}

func (w *network) add(a iax2.Addr, c iax2.Config) *iax2.Endpoint {
	w.endpoints[a] = iax2.NewEndpoint(c)
	w.order = append(w.order, a)
	return w.endpoints[a]
}

// firstDigitPlan routes numbers by their first digit.
func firstDigitPlan(int) *call.Plan {
	p := call.NewPlan()
	for n := range 5 {
		if err := p.AddDest(fmt.Sprint(n), n); err != nil {
			panic(err)
		}
	}
	return p
}

func (w *network) send(from iax2.Addr, ep *iax2.Endpoint) {
	ep.Flush(w.now)
	for i := range ep.Out.Len() {
		to, b := ep.Out.At(i)
		var f iax2.Frame
		if err := iax2.ParseFrame(b, &f); err != nil {
			w.t.Fatal(err)
		}
		if w.drop != nil && w.drop(from, to, &f) {
			continue
		}
		w.inFlight = append(w.inFlight, datagram{w.now + 5*ms, from, to, slices.Clone(b)})
	}
	ep.Out.Reset()
}

func (w *network) flush() {
	for _, a := range w.order {
		ep := w.endpoints[a]
		for i := 0; i < len(ep.Events); i++ {
			switch e := ep.Events[i]; {
			case a == callerAddr:
				w.callerEvents = append(w.callerEvents, e)
			case e.Kind == iax2.Offered:
				w.setUps[a]++
				w.offered = append(w.offered, e)
				w.onOffer(e)
			}
		}
		ep.Events = ep.Events[:0]
		w.send(a, ep)
	}
	for x, n := range w.nodes {
		w.send(routerAddr(x), n.IAX())
	}
}

// run runs the network until a time.
func (w *network) run(until time.Duration) {
	w.flush()
	for {
		next := until + 1
		for _, d := range w.inFlight {
			next = min(next, d.at)
		}
		for _, n := range w.nodes {
			if at, ok := n.Next(); ok {
				next = min(next, max(at, w.now))
			}
		}
		for _, a := range w.order {
			if at, ok := w.endpoints[a].Next(); ok {
				next = min(next, max(at, w.now))
			}
		}
		if next > until {
			w.now = until
			return
		}
		w.now = next
		for i := 0; i < len(w.inFlight); i++ {
			if d := w.inFlight[i]; d.at <= w.now {
				w.inFlight = slices.Delete(w.inFlight, i, i+1)
				i--
				w.deliver(d)
			}
		}
		for _, n := range w.nodes {
			n.Advance(w.now)
		}
		for _, a := range w.order {
			w.endpoints[a].Advance(w.now)
		}
		w.flush()
	}
}

func (w *network) deliver(d datagram) {
	if ep := w.endpoints[d.to]; ep != nil {
		var f iax2.Frame
		if w.media != nil && iax2.ParseFrame(d.b, &f) == nil && f.Layout == iax2.Mini {
			w.media(d.to, string(f.Payload))
		}
		ep.Receive(w.now, d.from, d.b)
		return
	}
	for x, n := range w.nodes {
		if routerAddr(x) == d.to {
			n.Receive(w.now, d.from, d.b)
		}
	}
}

func (w *network) call(number string) *iax2.Dialog {
	w.t.Helper()
	d, err := w.caller.Call(w.now, routerAddr(0), iax2.Request{Called: number, Calling: "9"})
	if err != nil {
		w.t.Fatal(err)
	}
	return d
}

// finalAnswers returns the final answers that the caller received.
func (w *network) finalAnswers() (out []string) {
	for _, e := range w.callerEvents {
		switch e.Kind {
		case iax2.Answered:
			out = append(out, "answered")
		case iax2.Released:
			out = append(out, fmt.Sprint("cause ", e.Cause))
		case iax2.Lost:
			out = append(out, "lost")
		}
	}
	return out
}

// checkEmpty checks that no call, leg, dialog, timer or used circuit is left.
func (w *network) checkEmpty() {
	w.t.Helper()
	w.run(w.now + 2*time.Minute)
	for x, n := range w.nodes {
		if n.Core.OpenCalls()+n.Core.Legs()+n.Dialogs()+n.IAX().DialogCount()+n.Core.Timers() != 0 {
			w.t.Errorf("router %d: %d calls, %d legs, %d dialogs, %d call numbers, %d timers left", x, n.Core.OpenCalls(), n.Core.Legs(),
				n.Dialogs(), n.IAX().DialogCount(), n.Core.Timers())
		}
		for _, g := range n.Core.Groups() {
			if g.Free() != g.Size() {
				w.t.Errorf("router %d: %d of %d circuits to %d free", x, g.Free(), g.Size(), g.Neighbour())
			}
		}
		if s := n.Core.Stats; s.Overdue+s.ActionFaults != 0 {
			w.t.Errorf("router %d: %+v", x, s)
		}
	}
	for _, a := range w.order {
		if n := w.endpoints[a].DialogCount(); n != 0 {
			w.t.Errorf("%v: %d dialogs left", a, n)
		}
	}
}

// The caller hangs up at every millisecond from the NEW until well after the answer, including while the answer
// is in flight. The call is released everywhere and not answered afterwards.
func TestHangUpAtEveryMoment(t *testing.T) {
	for at := time.Duration(0); at <= 60*ms; at += ms {
		w := newNetwork(t, 2, firstDigitPlan)
		d := w.call("15")
		w.run(w.now + at)
		before := len(w.finalAnswers())
		d.Release(w.now, iax2.CauseNormal, "")
		w.run(w.now + time.Second)
		if after := w.finalAnswers(); len(after) != before {
			t.Errorf("hang-up after %v: %v", at, after)
		}
		w.checkEmpty()
	}
}

// If the switch does not respond, the caller gets one failure answer in time, and no second set-up reaches the
// switch.
func TestUnresponsiveSwitch(t *testing.T) {
	w := newNetwork(t, 2, firstDigitPlan)
	w.onOffer = func(iax2.Event) {}
	start := w.now
	w.call("15")
	w.run(start + 3*time.Second)
	got := w.finalAnswers()
	if len(got) != 1 || got[0] != "cause 102" || w.setUps[switchAddr(1)] != 1 {
		t.Errorf("final answers %v, %d set-ups", got, w.setUps[switchAddr(1)])
	}
	w.checkEmpty()
}

// Two routers whose plans name each other as destination of a number: the call goes round once and is rejected.
func TestLoopOfTwoRouters(t *testing.T) {
	w := newNetwork(t, 3, func(x int) *call.Plan {
		p := call.NewPlan()
		if err := p.AddDest("7", []int{1, 0, 2}[x]); err != nil {
			t.Fatal(err)
		}
		return p
	})
	w.call("75")
	w.run(w.now + 3*time.Second)
	if got := w.finalAnswers(); len(got) != 1 || got[0] == "answered" {
		t.Errorf("final answers %v", got)
	}
	if n := w.nodes[1].Core.Stats.Attempts; n > 1 {
		t.Errorf("router 1 forwarded it %d times", n)
	}
	w.checkEmpty()
}

// A router that starts among processors that have run for long, or whose clocks are off by hours, answers its
// first calls, also at its own exchange. If the processors have just started, the slow-start limit applies, and
// a group of unknown size is not taken to have a single line.
func TestFirstCallsAfterStart(t *testing.T) {
	for _, c := range []struct {
		name string
		age  time.Duration
		// least and most limit the answered calls of 20 made 50 ms apart, each released before the next. least applies
		// at the own exchange, whose size is known.
		least, most int
	}{
		{"five hours ago", 5 * time.Hour, 20, 20},
		{"three hours ahead", -3 * time.Hour, 20, 20},
		{"just warm", 10 * time.Second, 20, 20},
		{"five seconds ago", 5 * time.Second, 2, 19},
		{"now", 0, 1, 19},
	} {
		for _, to := range []int{0, 1} {
			w := newNetworkOf(t, 2, firstDigitPlan, func(e *registry.Entry) { e.Started = listedAt.Add(-c.age) })
			answered := 0
			for range 20 {
				before := len(w.callerEvents)
				d := w.call(fmt.Sprint(to, "5"))
				w.run(w.now + 50*ms)
				if slices.ContainsFunc(w.callerEvents[before:], func(e iax2.Event) bool { return e.Kind == iax2.Answered }) {
					answered++
				}
				d.Release(w.now, iax2.CauseNormal, "")
				w.run(w.now + 5*ms)
			}
			if answered < c.least && (to == 0 || c.least == 20) || answered > c.most {
				t.Errorf("processors started %s, to exchange %d: %d of 20 answered, want %d to %d", c.name, to, answered, c.least, c.most)
			}
			w.checkEmpty()
		}
	}
}

func TestOwnExchange(t *testing.T) {
	w := newNetwork(t, 2, firstDigitPlan)
	d := w.call("05")
	w.run(w.now + time.Second)
	if got := w.finalAnswers(); len(got) != 1 || got[0] != "answered" || w.setUps[switchAddr(0)] != 1 {
		t.Errorf("final answers %v", got)
	}
	d.Release(w.now, iax2.CauseNormal, "")
	w.checkEmpty()
}

// The direct group is full and both tandems reject the call for lack of circuits: the caller gets one refusal.
func TestRejectedByBothTandems(t *testing.T) {
	w := newNetwork(t, 4, firstDigitPlan)
	w.nodes[0].Core.Reconfigure(w.now, firstDigitPlan(0), map[int]int{1: 0, 2: 10, 3: 10}, 0, 0)
	for _, x := range []int{2, 3} {
		w.nodes[x].Core.Reconfigure(w.now, firstDigitPlan(x), map[int]int{0: 10, 1: 0}, 0, 0)
	}
	w.call("15")
	w.run(w.now + 3*time.Second)
	if got := w.finalAnswers(); len(got) != 1 || got[0] != "cause 34" || len(w.offered) != 0 {
		t.Errorf("final answers %v", got)
	}
	if w.nodes[2].Core.Stats.Offered+w.nodes[3].Core.Stats.Offered != 2 {
		t.Error("the call was not offered to each tandem once")
	}
	w.checkEmpty()
}

// Media of a standing call crosses both routers in each direction. No media crosses before the answer or after
// the release.
func TestMediaCrossesRouters(t *testing.T) {
	w := newNetwork(t, 2, firstDigitPlan)
	var seen []string
	w.drop = nil
	w.media = func(to iax2.Addr, payload string) { seen = append(seen, fmt.Sprint(to.IP[2], to.IP[3], " ", payload)) }
	d := w.call("15")
	sendMedia := func(from iax2.Addr, router int, number uint16, text string) {
		w.inFlight = append(w.inFlight, datagram{w.now + 5*ms, from, routerAddr(router), iax2.AppendMini(nil, number, 1, []byte(text))})
		w.run(w.now + 50*ms)
	}
	sendMedia(callerAddr, 0, d.CallNumber(), "early")
	w.run(w.now + 300*ms)
	sendMedia(callerAddr, 0, d.CallNumber(), "help")
	sendMedia(switchAddr(1), 1, w.offered[0].Dialog.CallNumber(), "coming")
	d.Release(w.now, iax2.CauseNormal, "")
	w.run(w.now + 300*ms)
	sendMedia(callerAddr, 0, d.CallNumber(), "late")
	if want := []string{"2 1 help", "0 99 coming"}; !slices.Equal(seen, want) {
		t.Errorf("media arrived as %q, want %q", seen, want)
	}
}

// A router restarts during a call and loses its state. Both ends learn of it by INVAL and no call is left.
func TestRouterRestartMidCall(t *testing.T) {
	w := newNetwork(t, 2, firstDigitPlan)
	w.caller = nil
	w.endpoints[callerAddr] = iax2.NewEndpoint(iax2.Config{PingInterval: time.Second})
	w.caller = w.endpoints[callerAddr]
	w.call("15")
	w.run(w.now + 500*ms)
	restarted := newNetwork(t, 2, firstDigitPlan)
	w.nodes[0] = restarted.nodes[0]
	w.run(w.now + 5*time.Second)
	if got := w.finalAnswers(); len(got) != 2 || got[0] != "answered" || got[1] != "lost" {
		t.Errorf("events at the caller: %v", got)
	}
	if w.nodes[1].Core.OpenCalls() != 1 {
		t.Errorf("router 1 has %d open calls, want 1", w.nodes[1].Core.OpenCalls())
	}
	// Router 1 sends no PING here; its switch hangs up, which ends the call on both sides.
	w.offered[0].Dialog.Release(w.now, iax2.CauseNormal, "")
	w.checkEmpty()
}

// A list update that marks the exchange as draining is received in the same instant as a call, before or after
// it.
func TestDrainInTheSameInstant(t *testing.T) {
	for _, before := range []bool{true, false} {
		w := newNetwork(t, 2, firstDigitPlan)
		drained := w.nodes[0].List()
		drained.Entries = slices.Clone(drained.Entries)
		drained.Entries[1].Phase = decide.Draining
		update := func() { w.nodes[0].SetList(w.now, time.Unix(1e9, 0), drained) }
		if before {
			update()
		}
		w.call("15")
		w.flush()
		w.run(w.now + 5*ms)
		if !before {
			update()
		}
		w.run(w.now + 3*time.Second)
		got := w.finalAnswers()
		if want := map[bool]int{true: 0, false: 1}[before]; len(got) != 1 || w.setUps[switchAddr(1)] != want {
			t.Errorf("drained before the call %v: final answers %v, %d set-ups", before, got, w.setUps[switchAddr(1)])
		}
	}
}

// A set-up is lost and its exchange is then removed from the list. At whatever time it was lost, it is not
// retransmitted after the grace period.
func TestNoRetransmissionAfterGracePeriod(t *testing.T) {
	for lead := time.Duration(0); lead < 1200*ms; lead += 50 * ms {
		w := newNetwork(t, 2, firstDigitPlan)
		removedAt := w.now + lead
		w.drop = func(from, to iax2.Addr, f *iax2.Frame) bool {
			if f.Is(iax2.New) && to == routerAddr(1) {
				if w.now > removedAt+time.Second {
					t.Errorf("set-up %v after the exchange was removed", w.now-removedAt)
				}
				return true
			}
			return false
		}
		w.call("15")
		w.run(removedAt)
		drained := w.nodes[0].List()
		drained.Entries = slices.Clone(drained.Entries)
		drained.Entries[1].Phase = decide.Removed
		w.nodes[0].SetList(w.now, time.Unix(1e9, 0), drained)
		w.run(removedAt + 5*time.Second)
		if got := w.finalAnswers(); len(got) != 1 {
			t.Errorf("removed %v after the call: final answers %v", lead, got)
		}
	}
}

// A new address of a router on the exchange list takes effect, so that its calls are still recognised as arriving
// over the trunk group.
func TestPeerAddressUpdate(t *testing.T) {
	w := newNetwork(t, 2, firstDigitPlan)
	moved := w.nodes[0].List()
	moved.Entries = slices.Clone(moved.Entries)
	moved.Entries[1].Address = netip.MustParseAddrPort("127.0.9.9:4569")
	w.nodes[0].SetList(w.now, time.Unix(1e9, 0), moved)
	if w.nodes[0].peers[1] != (iax2.Addr{IP: [4]byte{127, 0, 9, 9}, Port: 4569}) {
		t.Errorf("router 1 is known at %v", w.nodes[0].peers[1])
	}
}
