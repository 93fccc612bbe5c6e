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

// net is routers 0 to n-1, a switch behind each and one caller at router 0, over links of 5 ms one way.
type network struct {
	t       *testing.T
	now     time.Duration
	nodes   []*Node
	ends    map[iax2.Addr]*iax2.Endpoint // switches and the caller
	order   []iax2.Addr
	flying  []datagram
	caller  *iax2.Endpoint
	heard   []iax2.Event // by the caller
	offered []iax2.Event // at switches
	onOffer func(e iax2.Event)
	drop    func(from, to iax2.Addr, f *iax2.Frame) bool
	news    map[iax2.Addr]int // set-ups that reached each switch
	media   func(to iax2.Addr, payload string)
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

// listedAt is the time of day at which the routers are told the list.
var listedAt = time.Unix(1e9, 0)

// newNetworkOf is newNetwork with a list that told has changed.
func newNetworkOf(t *testing.T, n int, plans func(x int) *call.Plan, told func(*registry.Entry)) *network {
	w := &network{t: t, now: time.Second, ends: map[iax2.Addr]*iax2.Endpoint{}, news: map[iax2.Addr]int{}}
	var list registry.List
	for x := range n {
		list.Entries = append(list.Entries, registry.Entry{ID: fmt.Sprint("x", x), Number: x, Phase: decide.Ready,
			Address: routerAddr(x).AddrPort(), Switch: switchAddr(x).AddrPort()})
		told(&list.Entries[x])
	}
	for x := range n {
		sizes := map[int]int{}
		for y := range n {
			if y != x {
				sizes[y] = 10
			}
		}
		node := New(Settings{Core: call.Settings{Seed: uint64(x + 1), Groups: sizes, OwnCircuits: 60, Plan: plans(x), AnswerMargin: 80 * ms,
			DrainGrace: time.Second, Patience: []time.Duration{3 * time.Second},
			Decide: decide.Settings{OwnExchange: x, DeliverLocal: true, Proxies: n, MaxAttempts: 4, ReleaseGuard: 300 * ms, ResendAfter: 500 * ms,
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
	w.ends[a] = iax2.NewEndpoint(c)
	w.order = append(w.order, a)
	return w.ends[a]
}

// plain routes numbers by their first digit.
func plain(int) *call.Plan {
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
		w.flying = append(w.flying, datagram{w.now + 5*ms, from, to, slices.Clone(b)})
	}
	ep.Out.Reset()
}

func (w *network) flush() {
	for _, a := range w.order {
		ep := w.ends[a]
		for i := 0; i < len(ep.Events); i++ {
			switch e := ep.Events[i]; {
			case a == callerAddr:
				w.heard = append(w.heard, e)
			case e.Kind == iax2.Offered:
				w.news[a]++
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

// run plays until a time.
func (w *network) run(until time.Duration) {
	w.flush()
	for {
		next := until + 1
		for _, d := range w.flying {
			next = min(next, d.at)
		}
		for _, n := range w.nodes {
			if at, ok := n.Next(); ok {
				next = min(next, max(at, w.now))
			}
		}
		for _, a := range w.order {
			if at, ok := w.ends[a].Next(); ok {
				next = min(next, max(at, w.now))
			}
		}
		if next > until {
			w.now = until
			return
		}
		w.now = next
		for i := 0; i < len(w.flying); i++ {
			if d := w.flying[i]; d.at <= w.now {
				w.flying = slices.Delete(w.flying, i, i+1)
				i--
				w.deliver(d)
			}
		}
		for _, n := range w.nodes {
			n.Advance(w.now)
		}
		for _, a := range w.order {
			w.ends[a].Advance(w.now)
		}
		w.flush()
	}
}

func (w *network) deliver(d datagram) {
	if ep := w.ends[d.to]; ep != nil {
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

// finals are the caller's final answers.
func (w *network) finals() (out []string) {
	for _, e := range w.heard {
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

// quiet checks that nothing is left anywhere.
func (w *network) quiet() {
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
		if n := w.ends[a].DialogCount(); n != 0 {
			w.t.Errorf("%v: %d dialogs left", a, n)
		}
	}
}

// The caller hangs up at every millisecond from NEW until well after the answer, also as it crosses it: the call is
// released everywhere, and never answered after.
func TestHangUpAtEveryMoment(t *testing.T) {
	for at := time.Duration(0); at <= 60*ms; at += ms {
		w := newNetwork(t, 2, plain)
		d := w.call("15")
		w.run(w.now + at)
		before := len(w.finals())
		d.Release(w.now, iax2.CauseNormal, "")
		w.run(w.now + time.Second)
		if after := w.finals(); len(after) != before {
			t.Errorf("hang-up after %v: %v", at, after)
		}
		w.quiet()
	}
}

// The switch is silent: one failure, within the caller's patience, and no second set-up reaches it.
func TestSilentSwitch(t *testing.T) {
	w := newNetwork(t, 2, plain)
	w.onOffer = func(iax2.Event) {}
	began := w.now
	w.call("15")
	w.run(began + 3*time.Second)
	got := w.finals()
	if len(got) != 1 || got[0] != "cause 102" || w.news[switchAddr(1)] != 1 {
		t.Errorf("final answers %v, %d set-ups", got, w.news[switchAddr(1)])
	}
	w.quiet()
}

// Two routers whose plans each hold the other for the way to a number: the call goes round once and is refused.
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
	if got := w.finals(); len(got) != 1 || got[0] == "answered" {
		t.Errorf("final answers %v", got)
	}
	if n := w.nodes[1].Core.Stats.Attempts; n > 1 {
		t.Errorf("router 1 passed it on %d times", n)
	}
	w.quiet()
}

// A router that starts among processors that have long run, or whose clocks are off by hours, answers its first calls,
// its own exchange's too. Where they started just now it sends them a part, and takes none for the size of one line.
func TestFirstCallsAfterStart(t *testing.T) {
	for _, c := range []struct {
		name        string
		age         time.Duration
		least, most int // of 20 calls 50 ms apart, each hung up then; the least at the own exchange, whose size is known
	}{
		{"five hours ago", 5 * time.Hour, 20, 20},
		{"three hours ahead", -3 * time.Hour, 20, 20},
		{"just warm", 10 * time.Second, 20, 20},
		{"five seconds ago", 5 * time.Second, 2, 19},
		{"now", 0, 1, 19},
	} {
		for _, to := range []int{0, 1} {
			w := newNetworkOf(t, 2, plain, func(e *registry.Entry) { e.Started = listedAt.Add(-c.age) })
			answered := 0
			for range 20 {
				before := len(w.heard)
				d := w.call(fmt.Sprint(to, "5"))
				w.run(w.now + 50*ms)
				if slices.ContainsFunc(w.heard[before:], func(e iax2.Event) bool { return e.Kind == iax2.Answered }) {
					answered++
				}
				d.Release(w.now, iax2.CauseNormal, "")
				w.run(w.now + 5*ms)
			}
			if answered < c.least && (to == 0 || c.least == 20) || answered > c.most {
				t.Errorf("started %s, to exchange %d: %d of 20 answered, want %d to %d", c.name, to, answered, c.least, c.most)
			}
			w.quiet()
		}
	}
}

func TestOwnExchange(t *testing.T) {
	w := newNetwork(t, 2, plain)
	d := w.call("05")
	w.run(w.now + time.Second)
	if got := w.finals(); len(got) != 1 || got[0] != "answered" || w.news[switchAddr(0)] != 1 {
		t.Errorf("final answers %v", got)
	}
	d.Release(w.now, iax2.CauseNormal, "")
	w.quiet()
}

// The direct group is full, and every switch but the tandem's way turns the call back: one refusal in the end.
func TestTandemTurnedBack(t *testing.T) {
	w := newNetwork(t, 4, plain)
	w.nodes[0].Core.Reconfigure(w.now, plain(0), map[int]int{1: 0, 2: 10, 3: 10}, 0, 0)
	for _, x := range []int{2, 3} {
		w.nodes[x].Core.Reconfigure(w.now, plain(x), map[int]int{0: 10, 1: 0}, 0, 0)
	}
	w.call("15")
	w.run(w.now + 3*time.Second)
	if got := w.finals(); len(got) != 1 || got[0] != "cause 34" || len(w.offered) != 0 {
		t.Errorf("final answers %v", got)
	}
	if w.nodes[2].Core.Stats.Offered+w.nodes[3].Core.Stats.Offered != 2 {
		t.Error("not both tandems were tried")
	}
	w.quiet()
}

// Media of a standing call crosses both routers, each way, and none does before the answer or after the end.
func TestMediaCrossesRouters(t *testing.T) {
	w := newNetwork(t, 2, plain)
	var seen []string
	w.drop = nil
	w.media = func(to iax2.Addr, payload string) { seen = append(seen, fmt.Sprint(to.IP[2], to.IP[3], " ", payload)) }
	d := w.call("15")
	speak := func(from iax2.Addr, router int, number uint16, text string) {
		w.flying = append(w.flying, datagram{w.now + 5*ms, from, routerAddr(router), iax2.AppendMini(nil, number, 1, []byte(text))})
		w.run(w.now + 50*ms)
	}
	speak(callerAddr, 0, d.CallNumber(), "early")
	w.run(w.now + 300*ms)
	speak(callerAddr, 0, d.CallNumber(), "help")
	speak(switchAddr(1), 1, w.offered[0].Dialog.CallNumber(), "coming")
	d.Release(w.now, iax2.CauseNormal, "")
	w.run(w.now + 300*ms)
	speak(callerAddr, 0, d.CallNumber(), "late")
	if want := []string{"2 1 help", "0 99 coming"}; !slices.Equal(seen, want) {
		t.Errorf("media arrived as %q, want %q", seen, want)
	}
}

// A router forgets everything in mid-call: both ends learn of it by INVAL and nothing is left.
func TestRouterRestartMidCall(t *testing.T) {
	w := newNetwork(t, 2, plain)
	w.caller = nil
	w.ends[callerAddr] = iax2.NewEndpoint(iax2.Config{PingInterval: time.Second})
	w.caller = w.ends[callerAddr]
	w.call("15")
	w.run(w.now + 500*ms)
	fresh := newNetwork(t, 2, plain)
	w.nodes[0] = fresh.nodes[0]
	w.run(w.now + 5*time.Second)
	if got := w.finals(); len(got) != 2 || got[0] != "answered" || got[1] != "lost" {
		t.Errorf("the caller saw %v", got)
	}
	if w.nodes[1].Core.OpenCalls() != 1 {
		t.Errorf("router 1 holds %d calls", w.nodes[1].Core.OpenCalls())
	}
	// Router 1 does not ping here; its switch hangs up, which ends the call on both sides.
	w.offered[0].Dialog.Release(w.now, iax2.CauseNormal, "")
	w.quiet()
}

// A drain is told in the same instant as a call comes, before and after it in the same step.
func TestDrainInTheSameInstant(t *testing.T) {
	for _, before := range []bool{true, false} {
		w := newNetwork(t, 2, plain)
		drained := w.nodes[0].List()
		drained.Entries = slices.Clone(drained.Entries)
		drained.Entries[1].Phase = decide.Draining
		tell := func() { w.nodes[0].SetList(w.now, time.Unix(1e9, 0), drained) }
		if before {
			tell()
		}
		w.call("15")
		w.flush()
		w.run(w.now + 5*ms)
		if !before {
			tell()
		}
		w.run(w.now + 3*time.Second)
		got := w.finals()
		if want := map[bool]int{true: 0, false: 1}[before]; len(got) != 1 || w.news[switchAddr(1)] != want {
			t.Errorf("told before %v: final answers %v, %d set-ups", before, got, w.news[switchAddr(1)])
		}
	}
}

// A set-up is lost and the drain told: no repeat of it leaves after the grace, at whatever moment it was lost.
func TestNoRepeatAfterTheGrace(t *testing.T) {
	for lead := time.Duration(0); lead < 1200*ms; lead += 50 * ms {
		w := newNetwork(t, 2, plain)
		told := w.now + lead
		w.drop = func(from, to iax2.Addr, f *iax2.Frame) bool {
			if f.Is(iax2.New) && to == routerAddr(1) {
				if w.now > told+time.Second {
					t.Errorf("set-up %v after the drain was told", w.now-told)
				}
				return true
			}
			return false
		}
		w.call("15")
		w.run(told)
		drained := w.nodes[0].List()
		drained.Entries = slices.Clone(drained.Entries)
		drained.Entries[1].Phase = decide.Removed
		w.nodes[0].SetList(w.now, time.Unix(1e9, 0), drained)
		w.run(told + 5*time.Second)
		if got := w.finals(); len(got) != 1 {
			t.Errorf("told %v after the call: final answers %v", lead, got)
		}
	}
}

// A list names a router anew; one that came late from before the restart is known by its address all the same.
func TestPeersFollowTheList(t *testing.T) {
	w := newNetwork(t, 2, plain)
	moved := w.nodes[0].List()
	moved.Entries = slices.Clone(moved.Entries)
	moved.Entries[1].Address = netip.MustParseAddrPort("127.0.9.9:4569")
	w.nodes[0].SetList(w.now, time.Unix(1e9, 0), moved)
	if w.nodes[0].peers[1] != (iax2.Addr{IP: [4]byte{127, 0, 9, 9}, Port: 4569}) {
		t.Errorf("router 1 is known at %v", w.nodes[0].peers[1])
	}
}
