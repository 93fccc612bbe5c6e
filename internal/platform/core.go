package platform

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
	"pipitring/internal/timers"
)

// ConnID is the handle of a connection; 0 is none.
type ConnID uint64

// DialFailure tells how dialling a connection failed.
type DialFailure uint8

// Kinds of DialError.
const (
	DialTimedOut      DialFailure = iota // not up in time
	DialRefused                          // nobody listens there: the process is dead
	DialNoDescriptors                    // our own want of descriptors: it says nothing of the far end
)

// Output is something that the runtime has to do: one of the types below.
type Output interface{ output() }

type (
	// Write sends bytes on a connection.
	Write struct {
		Conn  ConnID
		Bytes []byte
	}
	// Close ends a connection. Gently, what was written is still delivered: this side ends first and reads on for
	// a short while.
	Close struct {
		Conn     ConnID
		Graceful bool
	}
	// Dial asks for a connection that goes by Conn from now on.
	Dial struct {
		Conn    ConnID
		To      netip.AddrPort
		Timeout time.Duration
	}
	// LogLine is a line for the log.
	LogLine struct{ Text string }
	// Exit ends the process: it was told to stop, nothing is open and no more can be coming.
	Exit struct{}
)

func (Write) output()   {}
func (Close) output()   {}
func (Dial) output()    {}
func (LogLine) output() {}
func (Exit) output()    {}

// Limits that no setting names.
const (
	readyWithin = 1500 * time.Millisecond // a switch that says nothing does not hold up readiness longer
	overlap     = 5 * time.Millisecond    // the proxy's answer is on its way this long before the caller gives up
	clockSlack  = 20 * time.Millisecond   // a caller that leaves so near its end waited its time: clocks and ways differ
	moreComing  = 800 * time.Millisecond  // set-ups still come after SIGTERM
	// A process that is told to end is killed no sooner than the longest deadline, counted as killDeadline where it is longer,
	// and killGrace later. Calls in transit go on coming until then; every one has its answer lastLook before.
	killDeadline = 3 * time.Second
	killGrace    = 700 * time.Millisecond
	lastLook     = 100 * time.Millisecond
	releaseFor   = 8 * time.Second  // a release that could not be sent is of no use after this
	adoptedFor   = 10 * time.Minute // a call named by 'at' that nobody ever ends is forgotten
	earlyKept    = 1024             // releases that came before their call was named by 'at'
	houseKeeping = 250 * time.Millisecond
)

// Stats count what a proxy does.
type Stats struct {
	Calls, Answered, Refused, Failed, Abandoned uint64
	Attempts                                    uint64
	AttemptOutcomes                             [decide.NotSent + 1]uint64 // of attempts before an answer, by outcome
	Adopted                                     uint64                     // taken over by 'at'
	CallerErrors, SwitchErrors, EvictedCallers  uint64
}

// reportEvery is how often the log gets a line of counts and one of what is believed of each far end.
const reportEvery = 5 * time.Second

// reportLine writes to the log what was done since the start, and what the module holds true now.
func (c *Core) reportLine() {
	c.after(reportEvery, c.reportLine)
	s := &c.Stats
	c.note(fmt.Sprintf("calls %d: answered %d, refused %d, failed %d, left %d; open %d, held %d, known %d, adopted %d; attempts %d, ended %v; "+
		"callers' connections %d, bad %d, turned away %d; switches' connections %d, bad %d", s.Calls, s.Answered, s.Refused, s.Failed,
		s.Abandoned, c.open, c.QueuedCalls(), len(c.calls), s.Adopted, s.Attempts, s.AttemptOutcomes, len(c.callers), s.CallerErrors, s.EvictedCallers, len(c.links), s.SwitchErrors))
	text := "believed:"
	for _, b := range c.Estimates(c.now) {
		text += " [" + b.String() + "]"
	}
	c.note(text)
}

// Estimates is what the module holds true of each far end.
func (c *Core) Estimates(now time.Duration) []decide.Estimate {
	c.tell(now)
	return c.ctl.Estimates(c.moduleTime())
}

// QueuedCalls is the number of calls that wait for a circuit or their turn.
func (c *Core) QueuedCalls() int { return c.ctl.QueuedCalls() }

// CallerConnections is the number of callers' connections.
func (c *Core) CallerConnections() int { return len(c.callers) }

// Core is the state of one proxy. All times are since its start; it is not safe for concurrent use.
type Core struct {
	Stats Stats

	cfg   *Config
	rng   *rand.Rand
	ctl   *decide.Controller
	wall  time.Time // at time 0
	now   time.Duration
	queue timers.Queue[func()]

	outs     []Output
	lastConn ConnID

	pending []decide.Event
	feeding bool

	calls    map[string]*call // open and standing, by reference
	byID     map[decide.CallID]*call
	open     int // owed an answer
	lastCall decide.CallID

	callers  map[ConnID]*caller
	homeless []string // lines for callers that have no connection
	classes  map[string]int
	quoted   [][]byte // names of the classes as JSON strings

	switches map[decide.ExchangeID]*far
	links    map[ConnID]*link
	early    map[string]early

	coord    listFeed
	stopping time.Duration // when SIGTERM came; 0 is not
	// Once it has come: what is open by then is answered, and what comes later is refused at once.
	lastAnswers time.Duration
	keeper      timers.Entry[func()]
	exited      bool
}

// early is a release of a call that is not known here, kept for when 'at' names the call.
type early struct {
	at    time.Duration
	cause int
}

// New makes a proxy at time 0, which is wall on the wall's clock.
func New(cfg *Config, wall time.Time) *Core {
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), wall: wall, ctl: decide.New(cfg.Setup.Settings, cfg.Seed),
		calls: map[string]*call{}, byID: map[decide.CallID]*call{}, callers: map[ConnID]*caller{}, classes: map[string]int{},
		switches: map[decide.ExchangeID]*far{}, links: map[ConnID]*link{}, early: map[string]early{}}
	for i, name := range cfg.Setup.ClassNames {
		c.classes[name] = i
		c.quoted = append(c.quoted, jsonl.Quote(name))
	}
	c.takeList(decide.ListCached, cfg.KnownEvents)
	c.coord.begin(c, cfg.LastIndex)
	c.keeper.Value = c.keepHouse
	c.queue.Set(&c.keeper, c.jitter(houseKeeping))
	c.after(reportEvery, c.reportLine)
	return c
}

// NextWakeUp is when Advance is wanted.
func (c *Core) NextWakeUp() (time.Duration, bool) { return c.queue.Next() }

// Advance does what is due.
func (c *Core) Advance(now time.Duration) {
	c.tell(now)
	for {
		e := c.queue.Due(c.now)
		if e == nil {
			return
		}
		e.Value()
	}
}

// tell takes the time in; it never goes back.
func (c *Core) tell(now time.Duration) { c.now = max(c.now, now) }

// Outputs takes what is to be done, in the order in which it came about: what a switch is sent before a caller is told
// leaves before.
func (c *Core) Outputs() []Output {
	out := c.outs
	c.outs = nil
	return out
}

// line writes to a connection: the build function appends the bytes.
func (c *Core) line(id ConnID, build func(b []byte) []byte) {
	if n := len(c.outs); n > 0 {
		if w, ok := c.outs[n-1].(Write); ok && w.Conn == id {
			c.outs[n-1] = Write{id, build(w.Bytes)}
			return
		}
	}
	c.outs = append(c.outs, Write{id, build(nil)})
}

// close asks for a connection's end, behind what was written to it.
func (c *Core) close(id ConnID, gently bool) { c.outs = append(c.outs, Close{id, gently}) }

func (c *Core) dial(to netip.AddrPort, wait time.Duration) ConnID {
	c.lastConn++
	c.outs = append(c.outs, Dial{c.lastConn, to, wait})
	return c.lastConn
}

func (c *Core) note(text string) { c.outs = append(c.outs, LogLine{text}) }

// moduleTime is now on the module's clock.
func (c *Core) moduleTime() time.Duration { return c.now + clockAhead }

// feed gives the module an event and carries out its actions, in order; events that those cause wait their turn.
func (c *Core) feed(ev decide.Event) {
	c.pending = append(c.pending, ev)
	if c.feeding {
		return
	}
	c.feeding = true
	for i := 0; i < len(c.pending); i++ {
		for _, a := range c.ctl.Feed(c.moduleTime(), c.pending[i]) {
			c.carryOut(a)
		}
	}
	clear(c.pending)
	c.pending, c.feeding = c.pending[:0], false
}

func (c *Core) carryOut(a decide.Action) {
	switch a := a.(type) {
	case decide.SetUp:
		c.setUp(a)
	case decide.Refuse:
		c.refuse(a)
	case decide.Fail:
		c.fail(a.Call)
	case decide.Timer:
		c.after(a.After, func() { c.feed(decide.TimerExpired{Token: a.Token}) })
	case decide.Subscribe:
		// Changes come unasked; an empty one says that the list is current.
		c.feed(decide.ListUpdate{Kind: decide.ListChanges})
	case decide.LogLine:
		c.note(a.Text)
	}
}

// jitter is a time between half of d and d, so that a fleet does not do in one instant what each of it does for one cause.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rng.Int64N(int64(d/2)+1))
}

func (c *Core) after(d time.Duration, f func()) {
	c.queue.Set(&timers.Entry[func()]{Value: f}, c.now+max(d, 0))
}

// takeList takes events of the coordinator in; kind is that of a whole list.
func (c *Core) takeList(kind decide.ListKind, events []coordinator.Event) {
	for _, ev := range events {
		list := decide.ListUpdate{Kind: decide.ListChanges}
		if ev.Full {
			list.Kind = kind
		}
		for _, e := range ev.Entries {
			list.Entries = append(list.Entries, decide.Entry{Exchange: decide.ExchangeID(e.ID), Number: e.Number,
				Zone: e.Zone, Phase: e.Phase, Started: c.started(e.Started)})
		}
		changed := c.learn(ev) // before the module may use it,
		c.feed(list)
		for _, f := range changed { // and what follows from it once the module knows
			f.settle()
		}
	}
	c.shareRoom()
}

// started puts a start, in Unix milliseconds, on the module's clock; 0 is long ago. Stamps are by the clock that
// ours is set by, so they are believed as they stand.
func (c *Core) started(unixMs int64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return max(1, min(c.moduleTime(), time.UnixMilli(unixMs).Sub(c.wall)+clockAhead))
}

// Stop tells that the process is to end: tests fail from now, and what comes is still served, as far as there is time
// before the process may be killed.
func (c *Core) Stop(now time.Duration) {
	c.tell(now)
	if c.stopping != 0 {
		return
	}
	c.stopping = max(1, c.now)
	var longest time.Duration
	for _, class := range c.cfg.Setup.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	c.lastAnswers = c.stopping + min(longest, killDeadline) + killGrace - lastLook
	c.after(c.lastAnswers-c.now, c.answerAll)
}

// answerAll ends what is open when the process may soon be killed: what never left is refused, the rest has failed.
func (c *Core) answerAll() {
	for _, p := range c.callersInOrder() {
		p.answerAll()
	}
}

// isClosing tells whether no further call can be given its answer for sure.
func (c *Core) isClosing() bool { return c.stopping != 0 && c.now >= c.lastAnswers }

// Ready tells whether the proxy passes tests: the list is known, and what each switch's group has.
func (c *Core) Ready() bool {
	if c.stopping != 0 {
		return false
	}
	if c.now >= readyWithin {
		return true
	}
	for _, f := range c.switches {
		if f.wanted() && !f.heardFrom && !f.down {
			return false
		}
	}
	return len(c.switches) > 0
}

// keepHouse looks after what has no event of its own.
func (c *Core) keepHouse() {
	c.queue.Set(&c.keeper, c.now+houseKeeping)
	c.watchCallers()
	for _, f := range c.farInOrder() {
		f.watch()
	}
	for ref, e := range c.early {
		if c.now-e.at > releaseFor {
			delete(c.early, ref)
		}
	}
	c.coord.watch()
	if c.stopping != 0 && !c.exited && c.now-c.stopping > moreComing && len(c.calls) == 0 && len(c.homeless) == 0 {
		c.exited = true
		c.outs = append(c.outs, Exit{})
	}
}
