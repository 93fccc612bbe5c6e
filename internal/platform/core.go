// Package platform is one signalling proxy of the users' platform, without I/O. It holds the callers and switches that
// speak JSON lines, the exchange list from the coordinator, calls, attempts and standing calls. It feeds the decision
// module the same events as the simulator does and executes its actions; it makes no routing, overload or
// queueing decisions itself.
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
	// DialTimedOut means that the connection was not established within the timeout, or any failure not named below.
	DialTimedOut DialFailure = iota
	// DialRefused means that nothing listens at the address: the process is dead, or it drains.
	DialRefused
	// DialNoDescriptors means that the proxy has no descriptors left; the state of the other end is unknown.
	DialNoDescriptors
)

// Output is an action for the runtime to execute: one of the output types below.
type Output interface{ output() }

type (
	// Write sends bytes on a connection.
	Write struct {
		Conn  ConnID
		Bytes []byte
	}
	// Close closes a connection. If Graceful is set, bytes already written are still delivered: the runtime shuts down
	// the sending side and continues to read for a short time.
	Close struct {
		Conn     ConnID
		Graceful bool
	}
	// Dial requests a connection, which has the ID Conn from now on.
	Dial struct {
		Conn    ConnID
		To      netip.AddrPort
		Timeout time.Duration
	}
	// LogLine is a line for the log.
	LogLine struct{ Text string }
	// Exit ends the process: the proxy is shutting down, no call is left and no more can arrive.
	Exit struct{}
)

func (Write) output()   {}
func (Close) output()   {}
func (Dial) output()    {}
func (LogLine) output() {}
func (Exit) output()    {}

// Limits that no setting covers.
const (
	readyTimeout    = 1500 * time.Millisecond // longest time after the start for which switches that do not report delay readiness
	answerMargin    = 5 * time.Millisecond    // time between the proxy's latest final answer and the caller's deadline
	clockTolerance  = 20 * time.Millisecond   // abandoned this close to the deadline, a call counts as timed out: clocks and paths differ
	minShutdownTime = 800 * time.Millisecond  // the process runs at least this long after SIGTERM, as set-ups still arrive

	// maxKillDeadline limits the class deadline that counts for SIGKILL: after SIGTERM the platform kills the process
	// no sooner than the longest class deadline, but at most maxKillDeadline, plus killGrace.
	maxKillDeadline = 3 * time.Second
	// killGrace is the time that the platform adds to that deadline before SIGKILL.
	killGrace = 700 * time.Millisecond
	// answerDeadlineMargin is how long before the earliest SIGKILL every open call gets its final answer. Transit calls
	// keep arriving until then.
	answerDeadlineMargin = 100 * time.Millisecond

	releaseLifetime     = 8 * time.Second  // a shutdown waits for a pending release no longer
	adoptedCallLifetime = 10 * time.Minute // an adopted call is released after this time if the switch has not released it; an early release is kept as long
	maxEarlyReleases    = 4096             // releases stored for calls that a caller may still ask to adopt
	maxDepartedSwitches = 4096             // removed switches that are remembered

	// withdrawnRefLifetime is how long a call that was sent to a switch and then withdrawn is not sent again under its
	// reference: the switch may have run it.
	withdrawnRefLifetime = time.Minute
	maxWithdrawnRefs     = 4096 // references remembered for that

	// sentReleaseLifetime is how long it is remembered where a release was sent: its caller may have left at that moment,
	// and name the call on its next connection.
	sentReleaseLifetime = time.Minute
	maxSentReleases     = 4096                   // releases remembered for that
	maintenanceInterval = 250 * time.Millisecond // interval of the periodic maintenance
)

// Stats counts what a proxy has done.
type Stats struct {
	Calls, Answered, Refused, Failed, Abandoned uint64
	Attempts                                    uint64
	AttemptOutcomes                             [decide.NotSent + 1]uint64 // attempts that ended without an answer, by outcome
	Adopted                                     uint64                     // calls that stood before the start and were adopted
	AdoptionsDenied                             uint64                     // calls not adopted because too many were
	CallerErrors, SwitchErrors, EvictedCallers  uint64

	// Releases of standing calls toward callers: written to a connection at once, stored because no caller's connection
	// was open, written later, and dropped because too many were stored.
	ReleasesForwarded, ReleasesStored, ReleasesDelivered, ReleasesDropped uint64
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
	c.logLine(fmt.Sprintf("releases to callers: forwarded at once %d, stored %d, delivered later %d, dropped %d, pending %d, the oldest for %v; adoptions denied %d",
		s.ReleasesForwarded, s.ReleasesStored, s.ReleasesDelivered, s.ReleasesDropped, len(c.pendingReleases),
		c.oldestReleaseAge().Round(time.Millisecond), s.AdoptionsDenied))
	text := "believed:"
	for _, b := range c.Estimates(c.now) {
		text += " [" + b.String() + "]"
	}
	c.logLine(text)
}

// Estimates returns the decision module's estimate of each neighbour's state, by rising exchange number.
func (c *Core) Estimates(now time.Duration) []decide.Estimate {
	c.advanceClock(now)
	return c.controller.Estimates(c.moduleTime())
}

// QueuedCalls returns the number of calls in the decision module's wait queue.
func (c *Core) QueuedCalls() int { return c.controller.QueuedCalls() }

// CallerConnections returns the number of callers' connections.
func (c *Core) CallerConnections() int { return len(c.callers) }

// Core is the state of one proxy. All times are counted from its start. It is not safe for concurrent use.
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

	calls      map[string]*call // open and standing calls, by reference (Message.Ref)
	callsByID  map[decide.CallID]*call
	openSetUps int // set-ups that await their final answer
	adopted    int // adopted calls that stand
	// withdrawn are the references of calls that were sent to a switch and given up by their callers, or failed because
	// the caller's connection was closed.
	withdrawn  *recentEntries[string, struct{}]
	lastCallID decide.CallID

	callers         map[ConnID]*caller
	pendingReleases []pendingRelease // in the order in which their calls ended
	sentReleases    *recentEntries[string, sentRelease]
	classes         map[string]int
	quotedClasses   [][]byte // class names as JSON strings

	switches         map[decide.ExchangeID]*switchPeer
	departedSwitches *recentEntries[decide.ExchangeID, time.Duration] // when a removed switch was deleted
	links            map[ConnID]*link
	earlyReleases    *recentEntries[earlyRelease, int] // the cause

	discovery     discoveryClient
	stoppingSince time.Duration // when SIGTERM arrived; 0 if it has not
	// After SIGTERM all open calls get their final answer at this time, and later ones are refused at once.
	answerDeadline   time.Duration
	maintenanceTimer timers.Entry[func()]
	exited           bool
}

// earlyRelease identifies the release of an unknown call, stored in case a caller asks to adopt the call later. It has the
// switch's address, as the list may not have told the switch's ID yet.
type earlyRelease struct {
	ref  string
	from netip.AddrPort
}

// New returns a proxy at time 0, which corresponds to the wall-clock time wall.
func New(cfg *Config, wall time.Time) *Core {
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), wallStart: wall, controller: decide.New(cfg.Setup.Settings, cfg.Seed),
		calls: map[string]*call{}, callsByID: map[decide.CallID]*call{}, callers: map[ConnID]*caller{}, classes: map[string]int{},
		switches: map[decide.ExchangeID]*switchPeer{}, links: map[ConnID]*link{},
		departedSwitches: newRecentEntries[decide.ExchangeID, time.Duration](adoptedCallLifetime, maxDepartedSwitches),
		earlyReleases:    newRecentEntries[earlyRelease, int](adoptedCallLifetime, maxEarlyReleases),
		sentReleases:     newRecentEntries[string, sentRelease](sentReleaseLifetime, maxSentReleases),
		withdrawn:        newRecentEntries[string, struct{}](withdrawnRefLifetime, maxWithdrawnRefs)}
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

// Outputs returns the pending outputs and clears them. They have to be executed in order, so that bytes for a switch
// that precede bytes for a caller also leave first.
func (c *Core) Outputs() []Output {
	outputs := c.outputs
	c.outputs = nil
	return outputs
}

// write queues bytes for a connection: those that build appends to its argument. Consecutive writes to one connection
// are merged.
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

// feed passes an event to the decision module and executes the returned actions in order. Events that these actions
// cause are queued and passed on afterwards.
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

// jitter returns a random duration from d/2 to d, so that the proxies of a fleet do not all react to one event at the
// same time.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rng.Int64N(int64(d/2)+1))
}

// after calls f once d has passed. It cannot be cancelled.
func (c *Core) after(d time.Duration, f func()) {
	c.timerQueue.Set(&timers.Entry[func()]{Value: f}, c.now+max(d, 0))
}

// applyList applies events of the coordinator that were read together. Full lists are passed to the decision module as
// kind. The events are applied to all switches before any of them is acted on: an earlier one may name a switch that a
// later one has removed, and whose address belongs to another switch by now.
func (c *Core) applyList(kind decide.ListKind, events []coordinator.Event) {
	var changed []*switchPeer
	for _, ev := range events {
		changed = append(changed, c.applyEvent(ev)...)
	}
	for _, ev := range events {
		c.feed(c.listUpdate(kind, ev))
	}
	handled := map[*switchPeer]bool{}
	handle := func(s *switchPeer) { // after the module has handled the updates
		if !handled[s] {
			handled[s] = true
			s.handleListChange()
		}
	}
	for _, s := range changed {
		if s.replaced { // first, so that its successor has its links before it dials
			handle(s)
		}
	}
	for _, s := range changed {
		handle(s)
	}
	c.enforceCallerBudget()
}

// listUpdate converts an event of the coordinator for the decision module. A full list is of the given kind.
func (c *Core) listUpdate(kind decide.ListKind, ev coordinator.Event) decide.ListUpdate {
	list := decide.ListUpdate{Kind: decide.ListChanges}
	if ev.Full {
		list.Kind = kind
	}
	for _, e := range ev.Entries {
		list.Entries = append(list.Entries, decide.Entry{Exchange: decide.ExchangeID(e.ID), Number: e.ExchangeNumber,
			Zone: e.Zone, Phase: e.Phase, Started: c.moduleStart(e.Started)})
	}
	return list
}

// moduleStart converts a start time in Unix milliseconds to the decision module's clock; 0 means long ago. Start
// times come from the same clock as the proxy's wall-clock time, so they need no correction.
func (c *Core) moduleStart(unixMs int64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return max(1, min(c.moduleTime(), time.UnixMilli(unixMs).Sub(c.wallStart)+clockOffset))
}

// Shutdown starts the shutdown: heartbeats fail from now on, and calls are still served as long as they can get their final
// answer before the process may be killed.
func (c *Core) Shutdown(now time.Duration) {
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

// answerAllOpenCalls gives all open calls their final answer shortly before the process may be killed: those without an
// attempt are refused, the others fail.
func (c *Core) answerAllOpenCalls() {
	for _, p := range c.callersByAge() {
		p.answerOpenCalls()
	}
}

// pastAnswerDeadline reports whether the answer deadline of a shutdown has passed, after which new calls are refused.
func (c *Core) pastAnswerDeadline() bool { return c.stoppingSince != 0 && c.now >= c.answerDeadline }

// Ready reports whether heartbeats succeed: the proxy is not shutting down, the exchange list is known, and each switch
// has reported, cannot be reached or needs no link. After readyTimeout only the first condition counts.
func (c *Core) Ready() bool {
	if c.stoppingSince != 0 {
		return false
	}
	if c.now >= readyTimeout {
		return true
	}
	for _, s := range c.switches {
		if s.needsLink() && !s.hasReported && !s.lastDialFailed {
			return false
		}
	}
	return len(c.switches) > 0
}

// maintain closes idle connections, checks the liveness of the switches and the coordinator, and ends the process after
// a shutdown. It runs every maintenanceInterval.
func (c *Core) maintain() {
	c.timerQueue.Set(&c.maintenanceTimer, c.now+maintenanceInterval)
	c.closeIdleCallers()
	c.retryPendingReleases()
	for _, s := range c.switchesByID() {
		s.checkLiveness()
	}
	c.departedSwitches.expire(c.now)
	c.earlyReleases.expire(c.now)
	c.sentReleases.expire(c.now)
	c.withdrawn.expire(c.now)
	c.discovery.checkIdle()
	if c.stoppingSince != 0 && !c.exited && c.now-c.stoppingSince > minShutdownTime && len(c.calls) == 0 && !c.hasFreshRelease() {
		c.exited = true
		c.outputs = append(c.outputs, Exit{})
	}
}
