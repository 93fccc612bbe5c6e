package platform

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
)

// standingWorld is what a proxy talks to, in virtual time: processes of switches that come, go and are silent, the
// coordinator that tells of them later, and a caller. It keeps the truth of each call that stands.
type standingWorld struct {
	*harness
	t          *rapid.T
	events     []worldEvent
	sites      []*worldSite
	conns      map[ConnID]*worldConn
	calls      map[string]*worldCall
	caller     ConnID // 0 while it is away
	lastRef    int
	lastID     uint32
	listIndex  uint64
	listEvents []coordinator.Event          // since the first proxy's start
	told       map[uint32]coordinator.Entry // the list as told so far
	proxies    int                          // processes of the proxy so far
	ended      time.Duration                // for how long the proxies before the present one ran
}

type worldEvent struct {
	at  time.Duration
	run func()
}

// worldSite is an exchange: the process that is at its address now, under an ID.
type worldSite struct {
	number  int
	id      uint32
	process *worldProcess // nil if none is there
	silent  bool          // the machine answers nothing, dials neither
	toldAt  time.Duration // when the list tells the latest change: it tells them in their order
}

// worldProcess is a process of a switch.
type worldProcess struct {
	site      *worldSite
	id        uint32
	started   int64        // in Unix milliseconds; 0 if it was there before the proxy
	conns     []*worldConn // open ones, oldest first
	unnoticed []string     // releases to send on the next connection that is opened
}

type worldConn struct {
	id      ConnID
	process *worldProcess
	held    []string // lines that did not reach the other end while the machine was silent
}

// worldCall is a call that stands, or stood, at a process.
type worldCall struct {
	process    *worldProcess
	conn       *worldConn
	answered   bool // its caller was told that it stands
	over       bool
	releaseDue time.Duration // if over
	released   bool
	releasedAt time.Duration
	unknowable bool // a proxy that started later cannot tell that it is over (docs/questions.md)
}

const (
	worldLatency = time.Millisecond
	releaseLimit = time.Second     // from a release that reached the proxy
	lostLimit    = 8 * time.Second // from an end that no release told
)

func newStandingWorld(t *rapid.T) *standingWorld {
	w := &standingWorld{harness: newHarness(t), t: t, conns: map[ConnID]*worldConn{}, calls: map[string]*worldCall{}, lastID: 16, listIndex: 1,
		told: map[uint32]coordinator.Entry{}}
	for n := range 3 {
		site := &worldSite{number: n, id: uint32(n)}
		site.process = &worldProcess{site: site, id: site.id}
		w.sites = append(w.sites, site)
		w.told[site.id] = entry(site.id, n, n+1, decide.Ready)
	}
	w.caller = w.accept()
	w.react()
	return w
}

// afterAtProxy is after for what ends with the proxy's process.
func (w *standingWorld) afterAtProxy(d time.Duration, run func()) {
	proxy := w.proxies
	w.after(d, func() {
		if w.proxies == proxy {
			run()
		}
	})
}

func (w *standingWorld) after(d time.Duration, run func()) {
	w.events = append(w.events, worldEvent{w.clock + d, run})
	slices.SortStableFunc(w.events, func(a, b worldEvent) int { return cmp.Compare(a.at, b.at) })
}

// runUntil plays the events up to a time.
func (w *standingWorld) runUntil(end time.Duration) {
	for {
		next, ok := w.NextWakeUp()
		switch {
		case len(w.events) > 0 && w.events[0].at <= end && (!ok || w.events[0].at <= next):
			e := w.events[0]
			w.events = w.events[1:]
			w.harness.advance(max(0, e.at-w.clock))
			e.run()
		case ok && next <= end:
			w.harness.advance(max(0, next-w.clock))
		default:
			w.harness.advance(max(0, end-w.clock))
			return
		}
		w.react()
	}
}

// react does what the proxy's outputs cause.
func (w *standingWorld) react() {
	for _, d := range w.takeDials() {
		if d.To.Port() == 7070 {
			w.afterAtProxy(worldLatency, func() { w.coordinatorConnected(d.Conn) })
			continue
		}
		w.dialled(d)
	}
	for id := range w.closed {
		if c := w.conns[id]; c != nil {
			c.process.drop(c)
		}
	}
	if w.caller != 0 && w.closed[w.caller] { // as idle
		w.caller = 0
		w.afterAtProxy(time.Second, func() { w.comeBack(true, false) })
	}
	lines := w.writtenInOrder
	w.writtenInOrder = nil
	clear(w.written)
	for _, l := range lines {
		m, err := jsonl.Parse([]byte(l.line))
		if err != nil {
			w.t.Fatalf("the proxy wrote %q: %v", l.line, err)
		}
		if l.to == w.caller {
			w.callerReceived(&m)
		} else if c := w.conns[l.to]; c != nil {
			w.afterAtProxy(worldLatency, func() { w.processReceived(c, &m, l.line) })
		}
	}
}

// coordinatorConnected sends all events, of which the proxy takes those that it lacks.
func (w *standingWorld) coordinatorConnected(id ConnID) {
	w.coordConn = id
	w.Connected(w.clock, id)
	for _, e := range w.listEvents {
		w.Receive(w.clock, id, coordinator.AppendFrame(nil, e))
	}
	w.keepCoordinator(id)
}

// keepCoordinator sends the coordinator's empty frames while the connection is the proxy's.
func (w *standingWorld) keepCoordinator(id ConnID) {
	if w.coordConn == id && !w.closed[id] {
		w.Receive(w.clock, id, coordinator.AppendHeartbeat(nil, w.listIndex))
		w.afterAtProxy(time.Second, func() { w.keepCoordinator(id) })
	}
}

func (w *standingWorld) dialled(d Dial) {
	site := w.sites[d.To.Addr().As4()[3]-1]
	switch {
	case site.silent:
		w.afterAtProxy(d.Timeout, func() { w.DialFailed(w.clock, d.Conn, DialTimedOut) })
	case site.process == nil:
		w.afterAtProxy(worldLatency, func() { w.DialFailed(w.clock, d.Conn, DialRefused) })
	default:
		w.afterAtProxy(worldLatency, func() { w.established(d, site) })
	}
}

func (w *standingWorld) established(d Dial, site *worldSite) {
	if site.process == nil || site.silent {
		w.DialFailed(w.clock, d.Conn, DialRefused)
		return
	}
	c := &worldConn{id: d.Conn, process: site.process}
	w.conns[c.id] = c
	c.process.conns = append(c.process.conns, c)
	w.Connected(w.clock, c.id)
	w.send(c, worldGauge)
	for _, ref := range c.process.unnoticed {
		w.sendRelease(c, ref)
	}
	c.process.unnoticed = nil
}

const worldGauge = `{"t":"gauge","f":{"load":"idle:10;circuits:10"}}`

// send passes a line of a process to the proxy, or holds it while the machine is silent.
func (w *standingWorld) send(c *worldConn, line string) {
	switch {
	case w.conns[c.id] == nil || w.closed[c.id]:
	case c.process.site.silent:
		c.held = append(c.held, line)
	default:
		w.Receive(w.clock, c.id, []byte(line+"\n"))
		w.collectOutputs()
	}
}

// sendRelease sends the release of a call. It is due to be passed on once the proxy has it.
func (w *standingWorld) sendRelease(c *worldConn, ref string) {
	k := w.calls[ref]
	if !c.process.site.silent && !w.closed[c.id] {
		k.releaseDue = min(k.releaseDue, w.clock+releaseLimit)
	}
	w.send(c, fmt.Sprintf(`{"t":"down","ref":"%s","f":{},"c":16}`, ref))
}

func (p *worldProcess) drop(c *worldConn) {
	p.conns = slices.DeleteFunc(p.conns, func(o *worldConn) bool { return o == c })
}

// processReceived is called for each line that the proxy wrote, once it has come to the process.
func (w *standingWorld) processReceived(c *worldConn, m *jsonl.Message, line string) {
	p := c.process
	switch {
	case p.site.process != p || !slices.Contains(p.conns, c): // it has ended, or the connection has
	case p.site.silent:
		w.afterAtProxy(100*ms, func() { w.processReceived(c, m, line) }) // the machine gets it if it returns
	case m.Type == jsonl.TypeHeartbeat:
		w.send(c, fmt.Sprintf(`{"t":"hb_ok","ref":"%s","f":{},"c":1}`, m.Ref))
	case m.Type == jsonl.TypeNew:
		w.calls[m.Ref] = &worldCall{process: p, conn: c}
		w.send(c, fmt.Sprintf(`{"t":"up","ref":"%s","f":{},"d":"x"}`, m.Ref))
		for _, o := range slices.Clone(p.conns) {
			w.send(o, worldGauge)
		}
	case m.Type == jsonl.TypeDown && w.calls[m.Ref] != nil && w.calls[m.Ref].process == p:
		w.end(w.calls[m.Ref], w.clock)
		w.calls[m.Ref].released = true // the caller asked for it, or never got the answer
	}
}

func (w *standingWorld) callerReceived(m *jsonl.Message) {
	k := w.calls[m.Ref]
	switch {
	case k == nil:
	case m.Type == jsonl.TypeUp:
		k.answered = true
	case m.Type == jsonl.TypeDown && k.released && k.answered:
		w.t.Fatalf("at %v the caller got a second release of call %s", w.clock, m.Ref)
	case m.Type == jsonl.TypeDown:
		k.released, k.releasedAt = true, w.clock
	}
}

func (w *standingWorld) end(k *worldCall, at time.Duration) {
	if !k.over {
		k.over, k.releaseDue = true, at+lostLimit
	}
}

// setUp sends a set-up to an exchange.
func (w *standingWorld) setUp(site *worldSite) {
	if w.caller == 0 {
		return
	}
	w.lastRef++
	w.Receive(w.clock, w.caller, []byte(setUp(w.lastRef, site.number, "")+"\n"))
}

// release ends a call at its process, which says so on the connection of the set-up or another one, and on the next one.
func (w *standingWorld) release(ref string) {
	k := w.calls[ref]
	if k == nil || k.over || k.process.site.process != k.process {
		return
	}
	w.end(k, w.clock)
	p := k.process
	p.unnoticed = append(p.unnoticed, ref)
	switch {
	case slices.Contains(p.conns, k.conn):
		w.sendRelease(k.conn, ref)
	case len(p.conns) > 0:
		w.sendRelease(p.conns[0], ref)
	}
}

// stop ends the process of a site: its connections are reset, or the machine says nothing.
func (w *standingWorld) stop(site *worldSite, silently bool) {
	p := site.process
	if p == nil {
		return
	}
	site.process, site.silent = nil, silently
	for _, k := range w.calls {
		if k.process == p {
			w.end(k, w.clock)
		}
	}
	for _, c := range p.conns {
		if !silently && !w.closed[c.id] {
			w.Closed(w.clock, c.id)
		}
	}
	p.conns = nil
}

// start brings a new process to a site, under its former ID or a new one, and lets the list tell of it later.
func (w *standingWorld) start(site *worldSite, newID bool, listDelay time.Duration, order listOrder) {
	if site.process != nil {
		return
	}
	old := site.id
	if newID {
		w.lastID++
		site.id = w.lastID
	}
	started := entry(site.id, site.number, site.number+1, decide.Ready)
	started.Started = w.wallStart.UnixMilli() + w.clock.Milliseconds()
	site.process, site.silent = &worldProcess{site: site, id: site.id, started: started.Started}, false
	gone := entry(old, site.number, site.number+1, decide.Removed)
	switch {
	case !newID:
		w.tellLater(site, listDelay, started)
	case order == together:
		w.tellLater(site, listDelay, gone, started)
	case order == goneFirst:
		w.tellLater(site, listDelay/2, gone)
		w.tellLater(site, listDelay, started)
	case order == goneLast:
		w.tellLater(site, listDelay, started)
		w.tellLater(site, listDelay+time.Second, gone)
	}
}

// tellLater lets the list tell of a change of a site after a time, but not before it has told of the changes before.
func (w *standingWorld) tellLater(site *worldSite, delay time.Duration, entries ...coordinator.Entry) {
	site.toldAt = max(site.toldAt, w.clock+delay)
	w.after(site.toldAt-w.clock, func() { w.tell(entries...) })
}

// restartCore starts a new proxy, whose time begins at 0, with the list as told so far.
func (w *standingWorld) restartCore() {
	cfg := *w.cfg
	all := coordinator.Event{Index: w.listIndex, Full: true}
	for _, id := range slices.Sorted(maps.Keys(w.told)) {
		if e := w.told[id]; e.Phase != decide.Removed {
			all.Entries = append(all.Entries, e)
		}
	}
	cfg.KnownEvents, cfg.LastIndex = []coordinator.Event{all}, w.listIndex
	shift := w.clock
	for i := range w.events {
		w.events[i].at -= shift
	}
	for _, site := range w.sites {
		site.toldAt -= shift
	}
	for _, k := range w.calls {
		k.releaseDue -= shift
		k.releasedAt -= shift
	}
	w.ended += shift
	w.harness = &harness{t: w.t, Core: New(&cfg, w.wallStart.Add(shift)), written: map[ConnID][]string{}, closed: map[ConnID]bool{},
		switchConns: map[byte]ConnID{}}
	w.conns = map[ConnID]*worldConn{}
	w.react()
}

// listOrder is the order in which the list tells that an ID is gone and a new one is there.
type listOrder int

const (
	together listOrder = iota
	goneFirst
	goneLast
)

func (w *standingWorld) tell(entries ...coordinator.Entry) {
	w.listIndex++
	w.listEvents = append(w.listEvents, coordinator.Event{Index: w.listIndex, Entries: entries})
	for _, e := range entries {
		w.told[e.ID] = e
	}
	if w.coordConn != 0 {
		w.updateList(w.listIndex, entries...)
	}
}

// leave ends the caller's connection for a time. Then it makes a call and names its calls, or one of both.
func (w *standingWorld) leave(away time.Duration, calls, names bool) {
	if w.caller == 0 {
		return
	}
	w.Closed(w.clock, w.caller)
	w.caller = 0
	w.after(away, func() { w.comeBack(calls || !names, names) })
}

func (w *standingWorld) comeBack(calls, names bool) {
	w.caller = w.accept()
	if calls {
		w.setUp(w.sites[1])
	}
	for _, ref := range slices.Sorted(maps.Keys(w.calls)) {
		k := w.calls[ref]
		if !k.answered || k.released {
			continue
		}
		k.releaseDue = max(k.releaseDue, w.clock+releaseLimit)
		if names {
			w.Receive(w.clock, w.caller, fmt.Appendf(nil, `{"t":"new","ref":"%s","f":{"class":"voice","left":"1500","extras":"at:s-%08x"}}`+"\n", ref, k.process.id))
		}
	}
	w.collectOutputs()
}

// restartProxy kills the proxy and starts it again at once. The caller comes back later and names its calls.
func (w *standingWorld) restartProxy(away time.Duration) {
	if w.caller == 0 {
		return
	}
	w.proxies++
	for _, site := range w.sites {
		if site.process != nil {
			site.process.conns = nil
		}
	}
	for _, k := range w.calls {
		k.unknowable = k.unknowable || w.told[k.process.id].Started > k.process.started
	}
	w.restartCore()
	w.caller = 0
	w.after(away, func() { w.comeBack(false, true) })
}

// resume ends the silence of a machine whose process is still there: what was held back arrives.
func (w *standingWorld) resume(site *worldSite) {
	site.silent = false
	if site.process == nil {
		return
	}
	for _, c := range slices.Clone(site.process.conns) {
		held := c.held
		c.held = nil
		for _, line := range held {
			w.send(c, line)
		}
		w.send(c, worldGauge)
	}
}

// reset resets one connection of a process.
func (w *standingWorld) reset(p *worldProcess) {
	if p == nil || p.site.silent || len(p.conns) == 0 {
		return
	}
	c := p.conns[0]
	p.drop(c)
	if !w.closed[c.id] {
		w.Closed(w.clock, c.id)
	}
}

// worldKinds are the kinds of events to draw from, the likelier ones several times, and the longest times in ms: of a
// silence, and from a process's start until the list tells.
type worldKinds struct {
	events    []string
	silence   int
	listDelay int
}

const (
	listDelay            = 2400       // ms; the longest of the deployments
	coordinatorReplaceMS = 1800 + 250 // until a silent coordinator is replaced
)

var (
	switchEvents = []string{"set-up", "set-up", "set-up", "set-up", "release", "release", "reset", "crash", "vanish", "cut off", "leave"}
	oneProxy     = worldKinds{switchEvents, 4900, listDelay + coordinatorReplaceMS}
	// restarts has no late list: a proxy that starts while a machine is silent has nothing but the list to tell by.
	restarts = worldKinds{append([]string{"proxy"}, switchEvents...), 4900, listDelay}
	// cutsAlone has silences after which each switch is heard again before hostLossTimeout, and ends no process.
	cutsAlone = worldKinds{[]string{"set-up", "set-up", "set-up", "set-up", "release", "release", "cut off"}, 3000, listDelay}
)

const longestAbsence = 5000 // ms

// draw adds a random event of one of the kinds.
func (w *standingWorld) draw(t *rapid.T, kinds worldKinds) {
	what := rapid.SampledFrom(kinds.events).Draw(t, "what")
	site := w.sites[rapid.IntRange(1, 2).Draw(t, "site")]
	at := drawMS(t, "at", 12_000)
	switch what {
	case "set-up":
		w.after(at, func() { w.setUp(site) })
	case "release":
		call := ref(rapid.IntRange(1, 12).Draw(t, "call"))
		w.after(at, func() { w.release(call) })
	case "leave":
		away, calls, names := drawMS(t, "away", longestAbsence), rapid.Bool().Draw(t, "calls"), rapid.Bool().Draw(t, "names")
		w.after(at, func() { w.leave(away, calls, names) })
	case "proxy":
		away := drawMS(t, "away", longestAbsence)
		w.after(at, func() { w.restartProxy(away) })
	case "reset":
		w.after(at, func() { w.reset(site.process) })
	case "cut off":
		pause := drawMS(t, "pause", kinds.silence)
		w.after(at, func() {
			if site.process != nil && !site.silent {
				site.silent = true
				w.after(pause, func() { w.resume(site) })
			}
		})
	default:
		pause, listDelay := drawMS(t, "pause", kinds.silence), drawMS(t, "list delay", kinds.listDelay)
		newID, order := rapid.Bool().Draw(t, "new ID"), listOrder(rapid.IntRange(0, 2).Draw(t, "order"))
		w.after(at, func() {
			if site.process != nil && !site.silent {
				w.stop(site, what == "vanish")
				w.after(pause, func() { w.start(site, newID, listDelay, order) })
			}
		})
	}
}

func drawMS(t *rapid.T, name string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * ms
}

// check fails if a call that is over was not released in time.
func (w *standingWorld) check() {
	for _, ref := range slices.Sorted(maps.Keys(w.calls)) {
		k := w.calls[ref]
		switch {
		case !k.answered || !k.over || k.unknowable || k.released && k.releasedAt <= k.releaseDue+50*ms:
		case k.released:
			w.t.Fatalf("call %s was due to be released at %v, and was at %v", strings.TrimLeft(ref, "0"), k.releaseDue, k.releasedAt)
		default:
			w.t.Fatalf("call %s was due to be released at %v, and was not by %v", strings.TrimLeft(ref, "0"), k.releaseDue, w.clock)
		}
	}
}

// TestCallsThatAreOverAreReleased plays random orders of calls, releases, restarts, replacements and silences of switches'
// processes and of what the list tells of them, and checks that each call that is over is released to its caller in time.
func TestCallsThatAreOverAreReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playStandingWorld(t, oneProxy).check() })
}

// TestNamedCallsThatAreOverAreReleased is the same with restarts of the proxy, after which the caller names its calls.
func TestNamedCallsThatAreOverAreReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playStandingWorld(t, restarts).check() })
}

// TestCallsThatStandAreKept checks that no call is released at a process that was only cut off for a time.
func TestCallsThatStandAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := playStandingWorld(t, cutsAlone)
		w.check()
		for ref, k := range w.calls {
			if k.answered && k.released && !k.over {
				t.Fatalf("call %s was released at %v and stands", strings.TrimLeft(ref, "0"), k.releasedAt)
			}
		}
	})
}

// playStandingWorld plays a random number of events of some kinds, and then until all that is due has to be done.
func playStandingWorld(t *rapid.T, kinds worldKinds) *standingWorld {
	w := newStandingWorld(t)
	w.runUntil(100 * ms)
	for range rapid.IntRange(1, 30).Draw(t, "events") {
		w.draw(t, kinds)
	}
	for w.ended+w.clock < 40*time.Second {
		w.runUntil(w.clock + time.Second)
	}
	return w
}
