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

// ConnID identifies a connection; 0 is none.
type ConnID uint64

// DialFailure is the reason why a connection was not established.
type DialFailure uint8

// Values of DialFailure.
const (
	DialTimedOut      DialFailure = iota // not established within the timeout
	DialRefused                          // nothing listens at the address: the process is dead
	DialNoDescriptors                    // the proxy has no descriptors left; the peer's state is unknown
)

// Output is an action for the runtime: one of the types below.
type Output interface{ output() }

type (
	// Write sends bytes on a connection.
	Write struct {
		Conn  ConnID
		Bytes []byte
	}
	// Close closes a connection. If Graceful, bytes already written are still delivered: the runtime shuts down its
	// side and reads on for a short time.
	Close struct {
		Conn     ConnID
		Graceful bool
	}
	// Dial asks for a connection, which has the ID Conn from now on.
	Dial struct {
		Conn    ConnID
		To      netip.AddrPort
		Timeout time.Duration
	}
	// LogLine is a line for the log.
	LogLine struct{ Text string }
	// Exit ends the process: it is shutting down, no call is left and no more can arrive.
	Exit struct{}
)

func (Write) output()   {}
func (Close) output()   {}
func (Dial) output()    {}
func (LogLine) output() {}
func (Exit) output()    {}

// Limits that no setting covers.
const (
	readyTimeout    = 1500 * time.Millisecond // a switch that does not report delays readiness no longer than this
	answerMargin    = 5 * time.Millisecond    // the proxy's answer leaves this long before the caller's deadline
	clockTolerance  = 20 * time.Millisecond   // a caller that leaves this close to its deadline has waited it out: clocks and paths differ
	minShutdownTime = 800 * time.Millisecond  // set-ups still arrive for this long after SIGTERM
	// After SIGTERM the platform kills the process no sooner than the longest deadline, of which at most maxKillDeadline
	// counts, plus killGrace. Transit calls keep arriving until then, so each must have its final answer
	// answerDeadlineMargin before.
	maxKillDeadline      = 3 * time.Second
	killGrace            = 700 * time.Millisecond
	answerDeadlineMargin = 100 * time.Millisecond
	releaseLifetime      = 8 * time.Second  // a release that could not be sent within this time is dropped
	adoptedCallLifetime  = 10 * time.Minute // a call adopted by "at" is removed after this time without a release
	maxEarlyReleases     = 1024             // releases stored for calls that "at" may still name
	maintenanceInterval  = 250 * time.Millisecond
)

// Stats counts what a proxy has done.
type Stats struct {
	Calls, Answered, Refused, Failed, Abandoned uint64
	Attempts                                    uint64
	AttemptOutcomes                             [decide.NotSent + 1]uint64 // attempts that ended before an answer, by outcome
	Adopted                                     uint64                     // calls adopted by "at"
	CallerErrors, SwitchErrors, EvictedCallers  uint64
}

// reportInterval is the time between two reports in the log.
const reportInterval = 5 * time.Second

// logReport logs the counts since the start and the decision module's estimates, and schedules the next report.
func (c *Core) logReport() {
	c.after(reportInterval, c.logReport)
	s := &c.Stats
	c.logLine(fmt.Sprintf("calls %d: answered %d, refused %d, failed %d, abandoned %d; awaiting an answer %d, queued %d, known %d, adopted %d; attempts %d, outcomes %v; "+
		"caller connections %d, errors %d, evicted %d; switch connections %d, errors %d",
		s.Calls, s.Answered, s.Refused, s.Failed, s.Abandoned, c.openSetUps, c.QueuedCalls(), len(c.calls), s.Adopted, s.Attempts,
		s.AttemptOutcomes, len(c.callers), s.CallerErrors, s.EvictedCallers, len(c.links), s.SwitchErrors))
	text := "believed:"
	for _, b := range c.Estimates(c.now) {
		text += " [" + b.String() + "]"
	}
	c.logLine(text)
}

// Estimates returns the decision module's estimate of each neighbour's state.
func (c *Core) Estimates(now time.Duration) []decide.Estimate {
	c.advanceClock(now)
	return c.controller.Estimates(c.moduleTime())
}

// QueuedCalls returns the number of calls in the decision module's wait queue.
func (c *Core) QueuedCalls() int { return c.controller.QueuedCalls() }

// CallerConnections returns the number of callers' connections.
func (c *Core) CallerConnections() int { return len(c.callers) }

// Core is the state of one proxy. All times are since its start. It is not safe for concurrent use.
type Core struct {
	Stats Stats

	cfg        *Config
	rng        *rand.Rand
	controller *decide.Controller
	wallStart  time.Time // wall-clock time at time 0
	now        time.Duration
	timerQueue timers.Queue[func()]

	outputs    []Output
	lastConnID ConnID

	pendingEvents []decide.Event
	feeding       bool

	calls      map[string]*call // open and standing calls, by reference
	callsByID  map[decide.CallID]*call
	openSetUps int // set-ups that await their final answer
	lastCallID decide.CallID

	callers          map[ConnID]*caller
	orphanedReleases []string // encoded releases that could not be sent to any caller yet
	classes          map[string]int
	quotedClasses    [][]byte // class names as JSON strings

	switches      map[decide.ExchangeID]*neighbour
	links         map[ConnID]*link
	earlyReleases map[string]earlyRelease

	discovery     discoveryClient
	stoppingSince time.Duration // when SIGTERM arrived; 0 if it has not
	// After SIGTERM, open calls are answered at this time and later ones are refused at once.
	answerDeadline   time.Duration
	maintenanceTimer timers.Entry[func()]
	exited           bool
}

// earlyRelease is the release of an unknown call, stored in case "at" names the call later.
type earlyRelease struct {
	receivedAt time.Duration
	cause      int
}

// New returns a proxy at time 0, which is the wall-clock time wall.
func New(cfg *Config, wall time.Time) *Core {
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), wallStart: wall, controller: decide.New(cfg.Setup.Settings, cfg.Seed),
		calls: map[string]*call{}, callsByID: map[decide.CallID]*call{}, callers: map[ConnID]*caller{}, classes: map[string]int{},
		switches: map[decide.ExchangeID]*neighbour{}, links: map[ConnID]*link{}, earlyReleases: map[string]earlyRelease{}}
	for i, name := range cfg.Setup.ClassNames {
		c.classes[name] = i
		c.quotedClasses = append(c.quotedClasses, jsonl.Quote(name))
	}
	c.applyList(decide.ListCached, cfg.KnownEvents)
	c.discovery.start(c, cfg.LastIndex)
	c.maintenanceTimer.Value = c.maintain
	c.timerQueue.Set(&c.maintenanceTimer, c.jitter(maintenanceInterval))
	c.after(reportInterval, c.logReport)
	return c
}

// NextWakeUp returns the time at which Advance is due, and false if no timer is set.
func (c *Core) NextWakeUp() (time.Duration, bool) { return c.timerQueue.Next() }

// Advance runs the timers that are due.
func (c *Core) Advance(now time.Duration) {
	c.advanceClock(now)
	for {
		e := c.timerQueue.Due(c.now)
		if e == nil {
			return
		}
		e.Value()
	}
}

// advanceClock sets the current time, which never goes back.
func (c *Core) advanceClock(now time.Duration) { c.now = max(c.now, now) }

// Outputs returns the pending outputs and clears them. They are in order: what a switch is sent before a caller is
// notified also leaves before.
func (c *Core) Outputs() []Output {
	outputs := c.outputs
	c.outputs = nil
	return outputs
}

// write appends bytes to a connection's output. The build function appends them to its argument.
func (c *Core) write(id ConnID, build func(b []byte) []byte) {
	if n := len(c.outputs); n > 0 {
		if w, ok := c.outputs[n-1].(Write); ok && w.Conn == id {
			c.outputs[n-1] = Write{id, build(w.Bytes)}
			return
		}
	}
	c.outputs = append(c.outputs, Write{id, build(nil)})
}

// close requests that a connection be closed after the bytes already written to it.
func (c *Core) close(id ConnID, graceful bool) { c.outputs = append(c.outputs, Close{id, graceful}) }

func (c *Core) dial(to netip.AddrPort, timeout time.Duration) ConnID {
	c.lastConnID++
	c.outputs = append(c.outputs, Dial{c.lastConnID, to, timeout})
	return c.lastConnID
}

func (c *Core) logLine(text string) { c.outputs = append(c.outputs, LogLine{text}) }

// moduleTime returns the current time on the decision module's clock.
func (c *Core) moduleTime() time.Duration { return c.now + clockOffset }

// feed passes an event to the decision module and executes the actions it returns, in order. Events caused by those
// actions are queued behind it.
func (c *Core) feed(ev decide.Event) {
	c.pendingEvents = append(c.pendingEvents, ev)
	if c.feeding {
		return
	}
	c.feeding = true
	for i := 0; i < len(c.pendingEvents); i++ {
		for _, a := range c.controller.Feed(c.moduleTime(), c.pendingEvents[i]) {
			c.execute(a)
		}
	}
	clear(c.pendingEvents)
	c.pendingEvents, c.feeding = c.pendingEvents[:0], false
}

func (c *Core) execute(a decide.Action) {
	switch a := a.(type) {
	case decide.SetUp:
		c.startAttempt(a)
	case decide.Refuse:
		c.refuseCall(a)
	case decide.Fail:
		c.failCall(a.Call)
	case decide.Timer:
		c.after(a.After, func() { c.feed(decide.TimerExpired{Token: a.Token}) })
	case decide.Subscribe:
		// The coordinator pushes updates without a request. An empty update tells the module that the list is current.
		c.feed(decide.ListUpdate{Kind: decide.ListChanges})
	case decide.LogLine:
		c.logLine(a.Text)
	}
}

// jitter returns a random time from d/2 to d, so that a fleet does not react to one cause at the same instant.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rng.Int64N(int64(d/2)+1))
}

func (c *Core) after(d time.Duration, f func()) {
	c.timerQueue.Set(&timers.Entry[func()]{Value: f}, c.now+max(d, 0))
}

// applyList applies events of the coordinator. Kind is the kind given to a full list.
func (c *Core) applyList(kind decide.ListKind, events []coordinator.Event) {
	for _, ev := range events {
		list := decide.ListUpdate{Kind: decide.ListChanges}
		if ev.Full {
			list.Kind = kind
		}
		for _, e := range ev.Entries {
			list.Entries = append(list.Entries, decide.Entry{Exchange: decide.ExchangeID(e.ID), Number: e.ExchangeNumber,
				Zone: e.Zone, Phase: e.Phase, Started: c.moduleStart(e.Started)})
		}
		changed := c.applyEvent(ev) // before the module can use the entries
		c.feed(list)
		for _, n := range changed { // after the module has handled the update
			n.handleListChange()
		}
	}
	c.enforceCallerBudget()
}

// moduleStart converts a start time in Unix milliseconds to the decision module's clock; 0 means long ago. The stamps
// are from the clock that also sets the proxy's, so they are not corrected.
func (c *Core) moduleStart(unixMs int64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return max(1, min(c.moduleTime(), time.UnixMilli(unixMs).Sub(c.wallStart)+clockOffset))
}

// Stop starts the shutdown: heartbeats fail from now on, and calls are still served as long as they can be answered
// before the process may be killed.
func (c *Core) Stop(now time.Duration) {
	c.advanceClock(now)
	if c.stoppingSince != 0 {
		return
	}
	c.stoppingSince = max(1, c.now)
	var longest time.Duration
	for _, class := range c.cfg.Setup.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	c.answerDeadline = c.stoppingSince + min(longest, maxKillDeadline) + killGrace - answerDeadlineMargin
	c.after(c.answerDeadline-c.now, c.answerAllOpenCalls)
}

// answerAllOpenCalls answers the open calls of all callers shortly before the process may be killed: those without an
// attempt are refused, the others have failed.
func (c *Core) answerAllOpenCalls() {
	for _, p := range c.callersByAge() {
		p.answerOpenCalls()
	}
}

// pastAnswerDeadline reports whether it is too late in the shutdown to answer another call for certain.
func (c *Core) pastAnswerDeadline() bool { return c.stoppingSince != 0 && c.now >= c.answerDeadline }

// Ready reports whether heartbeats succeed: the proxy is not shutting down, the list is known, and each switch has
// reported, cannot be reached or needs no link. From readyTimeout on only the first counts.
func (c *Core) Ready() bool {
	if c.stoppingSince != 0 {
		return false
	}
	if c.now >= readyTimeout {
		return true
	}
	for _, n := range c.switches {
		if n.needsLink() && !n.hasReported && !n.lastDialFailed {
			return false
		}
	}
	return len(c.switches) > 0
}

// maintain does the periodic maintenance.
func (c *Core) maintain() {
	c.timerQueue.Set(&c.maintenanceTimer, c.now+maintenanceInterval)
	c.closeIdleCallers()
	for _, n := range c.switchesByID() {
		n.checkLiveness()
	}
	for ref, e := range c.earlyReleases {
		if c.now-e.receivedAt > releaseLifetime {
			delete(c.earlyReleases, ref)
		}
	}
	c.discovery.checkSilence()
	if c.stoppingSince != 0 && !c.exited && c.now-c.stoppingSince > minShutdownTime && len(c.calls) == 0 && len(c.orphanedReleases) == 0 {
		c.exited = true
		c.outputs = append(c.outputs, Exit{})
	}
}
