package platform

import (
	"cmp"
	"fmt"
	"iter"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
	"pipitring/internal/timers"
	"pipitring/internal/wire"
)

// Connections to switches.
const (
	spreadOver   = 8                      // set-ups out on each connection before another one is made
	linkPause    = 50 * time.Millisecond  // before a connection that did not come up is tried again, doubling
	linkPauseMax = 800 * time.Millisecond // up to this
	linkWait     = 500 * time.Millisecond // for a connection to come up, where no setting says
	// A machine that vanished says nothing, and nor does a connection that is of no further use. Where calls stand and
	// nothing was heard for quietFor on a single connection, or for silentFor on several, a new one proves life, and so
	// does its refusal: a switch that drains takes no more. Where none comes up for vanishedFor, the calls
	// are over.
	quietFor    = 300 * time.Millisecond
	silentFor   = 1500 * time.Millisecond
	vanishedFor = 5 * time.Second
	lateUp      = time.Second // connections come up, and processors under load answer a test, as late as this
	// A switch tells a release also on the next connection that is opened. What it wrote before it saw the loss of one
	// is told only by a connection opened after that, so one is made this long after a loss.
	lossSeen    = 150 * time.Millisecond
	spreadLinks = maxLinks - 1 // the last one is for that
	// A set-up changes the group's state, which is told at once on every connection, and so is it on a new one. One
	// that brings no whole line for so long after it should, while another does, is of no further use.
	deafAfter  = 200 * time.Millisecond
	deafProof  = 50 * time.Millisecond // and this is left to it when another one speaks: both may have been held up
	mostUnsent = 256 << 10             // bytes of releases that wait for a connection
)

// far is one switch on the list: its process, known by its id, not by its address.
type far struct {
	core      *Core
	id        decide.ExchangeID
	number    int
	addr      netip.AddrPort
	phase     decide.Phase
	started   int64
	replaced  bool    // another id has its address
	restarted bool    // the list told of a new start
	links     []*link // up
	dialling  ConnID  // 0 is none
	retry     bool    // a dial is due after a pause
	pause     time.Duration
	heard     time.Duration // the last message from it
	probed    time.Duration
	heardFrom bool
	down      bool          // the last dial failed,
	mute      bool          // and nothing came back
	broken    time.Duration // when the far end closed or reset the last connection; 0 is not
	asked     time.Duration // when a test was asked that nothing has answered yet; 0 is none
	waiting   []*attempt
	standing  int
	unsent    []byte        // releases that wait for a connection
	again     time.Duration // a connection opened from then on tells again what a lost one took along; 0 is none owed
	dialledAt time.Duration
}

// link is one connection to a switch.
type link struct {
	id    ConnID
	to    *far
	lines jsonl.LineSplitter
	out   map[string]*attempt // set-ups out on it
	ended bool

	owes     time.Duration // it should have brought a line since then; 0 is owing nothing
	deaf     bool          // and has not for long
	lastLine time.Duration // when it last brought a whole line; 0 is never
	check    timers.Entry[func()]
}

// expect notes that a line should come on a connection.
func (l *link) expect() {
	if l.owes != 0 || l.ended {
		return
	}
	l.owes = max(1, l.to.core.now)
	if !l.check.Running() {
		l.to.core.queue.Set(&l.check, l.owes+deafAfter)
	}
}

// overdue looks whether what should have come has. A line that stops short is never continued.
func (l *link) overdue() {
	c := l.to.core
	switch {
	case l.owes == 0:
	case c.now < l.owes+deafAfter:
		c.queue.Set(&l.check, l.owes+deafAfter)
	case l.lines.Partial():
		l.spoil()
	case !l.deaf:
		l.deaf = true
		l.to.connect()
	}
}

// spoke notes that a whole line came on a connection. A change of the group is told on all of them at once, so one that
// brought nothing just now either should soon. The first report on a new one is for that one alone. Those that should
// have spoken long ago are of no use.
func (l *link) spoke(group bool) {
	if l.to.asked != 0 {
		l.to.asked, l.to.broken = 0, 0 // it is there, whatever ended
	}
	now, first := l.to.core.now, l.lastLine == 0
	l.owes, l.deaf, l.lastLine = 0, false, max(1, now)
	for _, o := range l.to.links {
		switch {
		case o == l:
		case o.deaf:
			l.to.core.after(deafProof, func() {
				if o.deaf && !o.ended {
					o.spoil()
				}
			})
		case group && !first && o.lastLine < now-deafProof:
			o.expect()
		}
	}
}

func (l *link) down(ref string, cause int) {
	l.to.core.line(l.id, func(b []byte) []byte { return jsonl.AppendDown(b, ref, cause, 0) })
}

// wanted tells whether a connection is kept up: for reports while set-ups may go there, for releases while calls stand.
func (f *far) wanted() bool {
	return f.phase == decide.Ready && f.number != f.core.cfg.Setup.Settings.OwnExchange || f.standing > 0 || len(f.waiting) > 0 ||
		len(f.unsent) > 0
}

// pick chooses the connection with the fewest set-ups out, and has another one made when all have many: what spoils a
// connection cuts all that is out on it.
func (f *far) pick() (best *link) {
	for _, l := range f.links {
		if best == nil || best.deaf && !l.deaf || best.deaf == l.deaf && len(l.out) < len(best.out) {
			best = l
		}
	}
	if best != nil && len(best.out) >= spreadOver && len(f.links) < spreadLinks {
		f.connect()
	}
	return best
}

// connect makes one more connection, unless one is being made. A further one is not worth the last descriptors.
func (f *far) connect() {
	if f.dialling != 0 || len(f.links) >= maxLinks || len(f.links) > 0 && f.core.descriptors() >= f.core.cfg.Sockets {
		return
	}
	wait := f.core.cfg.Setup.ConnectTimeout
	if wait <= 0 {
		wait = linkWait
	}
	f.dialledAt = f.core.now
	f.dialling = f.core.dial(f.addr, wait)
	l := &link{id: f.dialling, to: f, out: map[string]*attempt{}}
	l.check.Value = l.overdue
	f.core.links[l.id] = l
}

// keepUp sees that there is a connection where one is wanted, and after a loss a new one while calls stand, though
// others may be up.
func (f *far) keepUp() {
	want := len(f.links) == 0 && f.wanted() || f.again != 0 && f.core.now >= f.again && f.standing > 0
	if want && !f.retry && f.phase != decide.Removed && !f.replaced {
		f.connect()
	}
}

// up takes a connection that was made.
func (f *far) up(l *link) {
	f.dialling, f.pause, f.down, f.mute, f.broken = 0, 0, false, false, 0
	if f.dialledAt >= f.again {
		f.again = 0
	}
	f.heard = f.core.now
	f.links = append(f.links, l)
	l.expect() // its first report
	if len(f.unsent) > 0 {
		f.core.line(l.id, func(b []byte) []byte { return append(b, f.unsent...) })
		f.unsent = nil
	}
	waiting := f.waiting
	f.waiting = nil
	for _, a := range waiting {
		f.core.send(a, l)
	}
	f.keepUp()
}

// notUp takes in that no connection came up. Refused without one, the process is dead, and its calls with it; so it is
// where it ended its last connection and takes no new one. Refused beside others it drains: it takes no more, but is there.
// A machine that vanished leaves its connections open.
func (f *far) notUp(l *link, why DialFailure) {
	f.dialling = 0
	delete(f.core.links, l.id)
	if why == DialNoDescriptors { // attempts that wait have their own limit, and calls that stand are not in doubt
		f.core.makeRoom()
		f.redial()
		return
	}
	f.down, f.mute = true, why == DialTimedOut
	f.endWaiting(decide.Unreachable)
	switch {
	case len(f.links) == 0 && (why == DialRefused || f.broken != 0 && f.core.now-f.broken > lateUp):
		f.cutAll("takes no connection")
	case len(f.links) > 0 && why == DialRefused && f.standing > 0:
		f.test()
	}
	f.redial()
}

// test looks whether a switch that takes no new connection is there still. It may drain, and say nothing as no set-up
// comes; or its process is dead and what is left are connections that were of no use when it died, which no reset ends. A
// test costs the far end work, so one is asked only once another connection was ended or nothing was heard for long: first
// where it spoke last, then on all, and where no line comes the calls are over.
func (f *far) test() {
	c := f.core
	if f.asked != 0 || f.broken == 0 && c.now-f.heard < vanishedFor {
		return
	}
	asked := max(1, c.now)
	f.asked = asked
	newest := slices.MaxFunc(f.links, func(a, b *link) int { return cmp.Compare(a.lastLine, b.lastLine) })
	newest.test()
	c.after(deafAfter, func() {
		for _, l := range f.links {
			if f.asked == asked && l != newest {
				l.test()
			}
		}
	})
	c.after(lateUp, func() {
		if f.asked != asked {
			return
		}
		f.asked = 0
		for _, l := range slices.Clone(f.links) {
			l.spoil()
		}
		f.cutAll("answers no test and takes no connection")
	})
}

func (l *link) test() {
	c := l.to.core
	c.line(l.id, func(b []byte) []byte { return jsonl.AppendHeartbeat(b, c.rng.Uint64()) })
}

// redial makes another connection after a pause.
func (f *far) redial() {
	f.pause = min(max(2*f.pause, linkPause), linkPauseMax)
	f.retry = true
	f.core.after(f.core.jitter(f.pause), func() {
		f.retry = false
		f.keepUp()
	})
}

// endWaiting ends the attempts that wait for a connection.
func (f *far) endWaiting(o decide.Outcome) {
	waiting := f.waiting
	f.waiting = nil
	for _, a := range waiting {
		f.core.endedAs(a, o)
	}
}

// unwait takes an attempt off those that wait for a connection.
func (f *far) unwait(a *attempt) {
	f.waiting = slices.DeleteFunc(f.waiting, func(o *attempt) bool { return o == a })
}

// cutAll ends the calls that stood at a process that is dead or gone.
func (f *far) cutAll(why string) {
	if f.standing == 0 {
		return
	}
	f.core.note(fmt.Sprintf("switch at %v %s: %d calls are over", f.addr, why, f.standing))
	for _, k := range f.core.standingAt(f) {
		f.core.released(k, jsonl.CauseTemporaryFailure, decide.NoReport)
	}
}

func (c *Core) standingAt(f *far) (list []*call) {
	for _, k := range c.calls {
		if k.standing && k.at == f {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b *call) int { return cmp.Or(cmp.Compare(a.id, b.id), strings.Compare(a.ref, b.ref)) })
	return list
}

// lost takes in that a connection has ended, or was spoilt: what was out on it is cut.
func (l *link) lost() {
	if l.ended {
		return
	}
	f := l.to
	l.forget()
	f.links = slices.DeleteFunc(f.links, func(o *link) bool { return o == l })
	f.again = f.core.now + lossSeen
	f.core.after(lossSeen, f.keepUp)
	outs := make([]*attempt, 0, len(l.out))
	for _, a := range l.out {
		outs = append(outs, a)
	}
	slices.SortFunc(outs, func(a, b *attempt) int { return cmp.Compare(a.call.id, b.call.id) })
	if len(f.links) == 0 && (f.phase == decide.Removed || f.replaced) {
		f.cutAll("is gone and has closed its connections")
	}
	for _, a := range outs {
		f.core.endedAs(a, decide.Cut)
	}
	f.keepUp()
	f.core.tidy(f)
}

// forget drops a connection that is over.
func (l *link) forget() {
	l.ended = true
	l.to.core.queue.Stop(&l.check)
	delete(l.to.core.links, l.id)
}

// leave ends a connection from this side.
func (l *link) leave() {
	l.to.core.close(l.id, false)
	l.lost()
}

// spoil ends a connection of no further use: it brought what cannot be read, or nothing.
func (l *link) spoil() {
	l.to.core.Stats.SwitchErrors++
	l.leave()
}

// release sends the release of a standing call: on its set-up's connection, else on any, else on the next.
func (f *far) release(k *call, cause int) {
	on := k.on
	if on == nil || on.ended {
		if len(f.links) == 0 {
			if len(f.unsent) < mostUnsent && f.phase != decide.Removed && !f.replaced {
				f.unsent = jsonl.AppendDown(f.unsent, k.ref, cause, 0)
				f.keepUp()
			}
			return
		}
		on = f.links[0]
	}
	on.down(k.ref, cause)
}

// watch finds out about switches that fell silent while something is at stake, and keeps connections up.
func (f *far) watch() {
	f.keepUp()
	if f.standing == 0 {
		return
	}
	now := f.core.now
	switch quiet := now - f.heard; {
	case quiet > vanishedFor && f.mute:
		f.cutAll("has vanished")
	case quiet > quietFor && len(f.links) == 1, quiet > silentFor && now-f.probed > silentFor:
		f.probed = now
		if len(f.links) >= maxLinks {
			f.pick().leave()
		}
		f.connect()
	}
}

func (l *link) receive(b []byte) {
	f := l.to
	f.heard = f.core.now
	err := l.lines.Push(b, func(line []byte) bool {
		m, err := jsonl.Parse(line)
		if err != nil {
			l.spoil()
			return false
		}
		l.spoke(m.Type == jsonl.TypeGauge)
		l.message(&m)
		return !l.ended
	})
	switch {
	case l.ended:
	case err != nil:
		l.spoil()
	case l.lines.Partial():
		l.expect()
	}
}

func (l *link) message(m *jsonl.Message) {
	f, c := l.to, l.to.core
	switch m.Type {
	case jsonl.TypeUp:
		a := l.out[m.Ref]
		switch {
		case a == nil: // a second copy, an unknown id, or one that was given up
		case m.Desc == nil:
			l.spoil()
		default:
			c.answered(a, m.Desc)
		}
	case jsonl.TypeDown:
		report := c.report(m)
		if a := l.out[m.Ref]; a != nil {
			o, cause := outcome(m)
			c.ended(a, decide.AttemptEnded{Outcome: o, Cause: cause, Report: report})
			return
		}
		k := c.calls[m.Ref]
		switch {
		case k != nil && k.standing && k.at == f:
			c.released(k, m.Cause, report)
		case k == nil && c.now < releaseFor && len(c.early) < earlyKept:
			c.early[m.Ref] = early{c.now, m.Cause}
		}
	case jsonl.TypeGauge:
		f.heardFrom = true
		c.feed(decide.ReportReceived{Exchange: f.id, Outcome: decide.Completed, Report: c.report(m)})
	}
}

// outcome puts a release before the answer in the module's terms.
func outcome(m *jsonl.Message) (decide.Outcome, decide.Cause) {
	cause := notes[m.Fields["note"]]
	switch m.Cause {
	case jsonl.CauseNoCircuit:
		return decide.Rejected, cause
	case jsonl.CauseUserBusy, jsonl.CauseResourceUnavailable:
		return decide.Busy, cause
	case jsonl.CauseTimerExpiry:
		return decide.NotSent, cause
	}
	return decide.Cut, cause
}

var notes = map[string]decide.Cause{"blocked": decide.NoCircuit, "bounced": decide.TandemRejected,
	"far_swamped": decide.TandemRejectedFull, "swamped": decide.ProcessorFull, "occupied": decide.LinesBusy}

// report reads a load report.
func (c *Core) report(m *jsonl.Message) decide.Report {
	r := decide.NoReport
	for name, value := range pairs(m.Fields["load"]) {
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			wire.SetReportField(&r, name, v)
		}
	}
	return r
}

// pairs walks over text in the form of x0:12;x1:40.
func pairs(text string) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for part := range strings.SplitSeq(text, ";") {
			if name, value, ok := strings.Cut(part, ":"); ok && !yield(name, value) {
				return
			}
		}
	}
}

// learn takes an event of the list in: where switches are, and which are gone. It returns those that changed.
func (c *Core) learn(ev coordinator.Event) (changed []*far) {
	if ev.Full {
		named := map[decide.ExchangeID]bool{}
		for _, e := range ev.Entries {
			named[decide.ExchangeID(e.ID)] = true
		}
		for _, f := range c.farInOrder() {
			if !named[f.id] {
				f.phase = decide.Removed
				changed = append(changed, f)
			}
		}
	}
	for _, e := range ev.Entries {
		f := c.switches[decide.ExchangeID(e.ID)]
		if f == nil {
			if e.Phase == decide.Removed {
				continue
			}
			f = &far{core: c, id: decide.ExchangeID(e.ID), started: e.Started, heard: c.now}
			c.switches[f.id] = f
		}
		f.restarted = f.restarted || e.Started > f.started
		f.number, f.phase, f.started = e.Number, e.Phase, e.Started
		changed = append(changed, f)
		if e.Addr == f.addr {
			continue
		}
		f.addr, f.replaced = e.Addr, false
		for _, o := range c.farInOrder() {
			if o != f && o.addr == e.Addr {
				o.replaced = true
				changed = append(changed, o)
			}
		}
	}
	return changed
}

// settle does what follows from a change of the list.
func (f *far) settle() {
	if f.phase != decide.Ready || f.replaced {
		f.endWaiting(decide.NotSent) // told while they waited for a connection: they do not leave
	}
	if len(f.links) == 0 && (f.phase == decide.Removed || f.replaced || f.restarted) {
		f.cutAll("is told to be gone or new") // what stood before its end or its start is over
	}
	f.restarted = false
	f.keepUp()
	f.core.tidy(f)
}

// tidy drops what is left of a switch that is gone once nothing is out or stands there.
func (c *Core) tidy(f *far) {
	if f.phase != decide.Removed || f.standing > 0 || c.switches[f.id] != f {
		return
	}
	for _, l := range f.links {
		if len(l.out) > 0 {
			return
		}
	}
	delete(c.switches, f.id)
	links := f.links
	f.links = nil
	for _, l := range links {
		l.forget()
		c.close(l.id, false)
	}
}

// farInOrder lists the switches by id, so that two runs agree.
func (c *Core) farInOrder() []*far {
	list := make([]*far, 0, len(c.switches))
	for _, f := range c.switches {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b *far) int { return cmp.Compare(a.id, b.id) })
	return list
}

// Connected tells that a connection that was dialled is up.
func (c *Core) Connected(now time.Duration, id ConnID) {
	c.tell(now)
	if id == c.coord.conn {
		c.coord.opened()
		return
	}
	if l := c.links[id]; l != nil && l.to.dialling == id {
		if l.to.phase == decide.Removed && l.to.standing == 0 {
			l.to.dialling = 0
			delete(c.links, id)
			c.close(id, false)
			return
		}
		l.to.up(l)
		return
	}
	c.close(id, false) // no longer wanted
}

// DialFailed tells that a connection did not come up.
func (c *Core) DialFailed(now time.Duration, id ConnID, why DialFailure) {
	c.tell(now)
	if id == c.coord.conn {
		if why == DialNoDescriptors {
			c.makeRoom()
		}
		c.coord.lost()
		return
	}
	if l := c.links[id]; l != nil && l.to.dialling == id {
		l.to.notUp(l, why)
	}
}

// Receive takes what a connection brought.
func (c *Core) Receive(now time.Duration, id ConnID, b []byte) {
	c.tell(now)
	if p := c.callers[id]; p != nil {
		p.takeIn(b)
		p.act()
	} else if l := c.links[id]; l != nil {
		l.receive(b)
	} else if id == c.coord.conn {
		c.coord.receive(b)
	}
}

// Closed tells that the other end closed a connection, or that it broke.
func (c *Core) Closed(now time.Duration, id ConnID) {
	c.tell(now)
	if p := c.callers[id]; p != nil {
		p.lost()
	} else if l := c.links[id]; l != nil {
		l.to.broken = max(1, c.now)
		l.lost()
	} else if id == c.coord.conn {
		c.coord.lost()
	}
}
