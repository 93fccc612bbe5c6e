package call

import (
	"maps"
	"slices"
	"time"

	"pipitring/decide"
	"pipitring/internal/timers"
	"pipitring/internal/trunk"
)

// Settings configure a Core.
type Settings struct {
	Decide decide.Settings
	Seed   uint64      // seeds the controller's random choices
	Groups map[int]int // sizes of the trunk groups in circuits, by exchange number
	// OwnCircuits is the number of circuits to this exchange's switch, or of the switch's lines where circuits have
	// no identity. 0 means unknown.
	OwnCircuits int
	Plan        *Plan
	// Patience is how long callers of each class wait for the final answer before they hang up, indexed by class.
	Patience []time.Duration
	// AnswerMargin is subtracted from Patience so that the final answer reaches the caller in time.
	AnswerMargin time.Duration
	// DrainGrace is how long set-ups may still reach a processor after the exchange list marked it as draining or
	// removed it.
	DrainGrace time.Duration
	MaxCalls   int // limit of concurrent calls; 0 means no limit
	// DurableTimeout limits how long a final answer waits for MarkDurable to confirm its record. 0 sends answers
	// without waiting.
	DurableTimeout time.Duration
}

// Core holds the call state of one router.
type Core struct {
	Outputs []Output // for the fronts, in order; the user executes and resets them
	Records []Record // new records; the user takes and resets them
	Stats   Stats

	settings        Settings
	controller      *decide.Controller
	groups          *trunk.GroupTable
	calls           map[decide.CallID]*call
	legs            map[LegID]*leg
	processors      map[decide.ExchangeID]*listedProcessor
	lastCall        decide.CallID
	lastLeg         LegID
	timerQueue      timers.Queue[func(now time.Duration)]
	pendingEvents   []decide.Event
	processing      bool
	closing         bool
	suspended       bool              // new calls are rejected until SetSuspended(false)
	lastCallSeq     uint64            // CallSeq of the last accepted call
	lastRecordSeq   uint64            // RecordSeq of the last record
	deferred        []*deferredAnswer // answers that wait for a durable record, oldest first
	ownInUse        int               // circuits in use by legs to this exchange's switch
	reportedOwn     decide.ExchangeID // this exchange's processor as last reported to the controller
	reportedOwnFree int               // free circuits in the last report of reportedOwn
}

// listedProcessor is an entry of the exchange list and the time at which its current phase was received.
type listedProcessor struct {
	decide.Entry
	phaseSince time.Duration
}

// call is an accepted call that has not ended.
type call struct {
	id             decide.CallID
	seq            uint64
	request        Request
	origin         Origin
	class          int
	tenant         int
	dest           int
	width          int
	transit        bool
	inLeg, outLeg  *leg // outLeg is nil while no attempt is in progress
	offered        time.Duration
	deadline       time.Duration // of the final answer
	answered       time.Duration
	awaitingRecord bool    // answered, but the record is not durable yet
	earlyEnd       *legEnd // set if the far end released the call or was lost while awaitingRecord
	standing       bool
	attempts       int
	attemptRecords []Attempt
	firstAttempt   [1]Attempt // storage of attemptRecords: most calls need one attempt
	lastOutcome    decide.Outcome
	lastCause      Cause // the far end's cause of lastOutcome
	attemptTimer   timers.Entry[func(time.Duration)]
	watchdog       timers.Entry[func(time.Duration)]
}

// leg connects a call with one far end. It outlives its call until the far end has confirmed the release.
type leg struct {
	id           LegID
	call         *call // nil once the leg is detached from its call
	processor    decide.ExchangeID
	group        *trunk.Group
	width        int
	incoming     bool
	acknowledged bool // the far end has confirmed receipt of the set-up
	tandem       bool
	attempt      int
	recordIndex  int // index in the call's attemptRecords
	sentAt       time.Duration
}

// ControllerTime converts the router's clock to the controller's, on which 0 means long ago. The controller's clock is
// ahead by ColdDuration, so that a processor that started shortly before the router still has a start time
// above 0.
func (c *Core) ControllerTime(now time.Duration) time.Duration {
	return now + c.settings.Decide.ColdDuration + 1
}

// New returns a Core without calls. The settings must be valid.
func New(s Settings) *Core {
	c := &Core{settings: s, controller: decide.New(s.Decide, s.Seed), groups: trunk.NewGroupTable(s.Groups),
		calls: map[decide.CallID]*call{}, legs: map[LegID]*leg{}, processors: map[decide.ExchangeID]*listedProcessor{}}
	return c
}

// Reconfigure applies new settings to future calls. The controller keeps its state and its estimates.
func (c *Core) Reconfigure(now time.Duration, plan *Plan, groups map[int]int, ownCircuits, maxCalls int) {
	c.settings.Plan, c.settings.MaxCalls, c.settings.OwnCircuits = plan, maxCalls, ownCircuits
	c.groups.Resize(groups)
	c.processEvents(now)
}

// HasRoute reports whether the numbering plan has a destination for a called number.
func (c *Core) HasRoute(number string) bool {
	_, _, _, ok := c.settings.Plan.Lookup(Request{Called: number})
	return ok
}

// RejectNewCalls rejects all new calls from now on. Calls in progress continue.
func (c *Core) RejectNewCalls() { c.closing = true }

// SetSuspended starts or stops rejecting new calls. Unlike Close, it can be undone.
func (c *Core) SetSuspended(suspended bool) { c.suspended = suspended }

// OpenCalls returns the number of accepted calls that have not ended.
func (c *Core) OpenCalls() int { return len(c.calls) }

// Legs returns the number of legs that are not closed.
func (c *Core) Legs() int { return len(c.legs) }

// Groups returns the trunk groups, ordered by exchange number.
func (c *Core) Groups() []*trunk.Group { return c.groups.All() }

// Timers returns the number of running timers.
func (c *Core) Timers() int { return c.timerQueue.Len() }

// Next returns the time at which Advance is due; ok is false if no timer is running.
func (c *Core) Next() (at time.Duration, ok bool) { return c.timerQueue.Next() }

// Advance runs all timers that are due at now.
func (c *Core) Advance(now time.Duration) {
	for e := c.timerQueue.Due(now); e != nil; e = c.timerQueue.Due(now) {
		e.Value(now)
		c.processEvents(now)
	}
}

// SetList applies an update of the exchange list. Set-ups that a draining or removed processor has not acknowledged
// are withdrawn before the grace period ends, because the processor would take a later retransmission as a new
// set-up.
func (c *Core) SetList(now time.Duration, l decide.ListUpdate) {
	if l.Kind != decide.ListChanges && l.Kind != decide.ListFailed {
		named := map[decide.ExchangeID]bool{}
		for _, e := range l.Entries {
			named[e.Exchange] = true
		}
		for _, id := range slices.Sorted(maps.Keys(c.processors)) { // sorted, so that runs are deterministic
			if p := c.processors[id]; !named[id] {
				p.Phase, p.phaseSince = decide.Removed, now
				c.scheduleWithdrawal(now, id)
			}
		}
	}
	for _, e := range l.Entries {
		p := c.processors[e.Exchange]
		if p == nil {
			p = &listedProcessor{phaseSince: now}
			c.processors[e.Exchange] = p
		}
		if p.Phase != e.Phase {
			p.phaseSince = now
			if e.Phase != decide.Ready {
				c.scheduleWithdrawal(now, e.Exchange)
			}
		}
		p.Entry = e
	}
	c.addEvent(l)
	c.processEvents(now)
}

// scheduleWithdrawal withdraws the unacknowledged set-ups to a processor at three quarters of the grace period. It
// then deletes the processor if it was removed from the list.
func (c *Core) scheduleWithdrawal(now time.Duration, id decide.ExchangeID) {
	c.schedule(now, c.settings.DrainGrace*3/4, func(now time.Duration) {
		var unacknowledged []*leg
		for _, l := range c.legs {
			if l.processor == id && !l.acknowledged && l.call != nil && l.call.outLeg == l {
				unacknowledged = append(unacknowledged, l)
			}
		}
		slices.SortFunc(unacknowledged, func(a, b *leg) int { return int(a.id) - int(b.id) })
		for _, l := range unacknowledged {
			c.Stats.Withdrawn++
			c.endAttempt(now, l, decide.TimedOut, decide.CauseUnknown, 0, TimerExpired)
		}
		if p := c.processors[id]; p != nil && p.Phase == decide.Removed {
			delete(c.processors, id) // otherwise removed processors would accumulate
		}
	})
}

// schedule calls f once, after d.
func (c *Core) schedule(now, d time.Duration, f func(now time.Duration)) {
	c.timerQueue.Set(&timers.Entry[func(time.Duration)]{Value: f}, now+d)
}

// addEvent queues an event for the controller until processEvents feeds it.
func (c *Core) addEvent(e decide.Event) { c.pendingEvents = append(c.pendingEvents, e) }

// processEvents feeds the queued events to the controller and executes its actions until none is left. Changes
// of free circuits are reported as they occur.
func (c *Core) processEvents(now time.Duration) {
	if c.processing {
		return
	}
	c.processing = true
	for {
		c.reportCircuits()
		if len(c.pendingEvents) == 0 {
			break
		}
		e := c.pendingEvents[0]
		c.pendingEvents = append(c.pendingEvents[:0], c.pendingEvents[1:]...)
		for _, a := range c.controller.Feed(c.ControllerTime(now), e) {
			c.execute(now, a)
		}
	}
	c.processing = false
}

// reportCircuits reports the trunk groups whose circuit counts changed to the controller. It also reports this
// exchange's switch, to which no trunk group leads: the controller derives the slow-start limit of a cold processor
// from the number of its circuits.
func (c *Core) reportCircuits() {
	c.groups.ForEachChanged(func(g *trunk.Group) {
		if p := c.processorAt(g.Neighbour()); p != nil {
			c.addEvent(decide.ReportReceived{Exchange: p.Exchange, Outcome: decide.Completed, Report: c.circuitReport(g)})
		}
	})
	if p := c.processorAt(c.settings.Decide.OwnExchange); c.settings.OwnCircuits > 0 && p != nil &&
		(p.Exchange != c.reportedOwn || c.reportedOwnFree != c.ownFreeCircuits()) {
		c.reportedOwn, c.reportedOwnFree = p.Exchange, c.ownFreeCircuits()
		r := decide.NoReport
		r.Free, r.Size = float64(c.reportedOwnFree), float64(c.settings.OwnCircuits)
		c.addEvent(decide.ReportReceived{Exchange: p.Exchange, Outcome: decide.Completed, Report: r})
	}
}

func (c *Core) ownFreeCircuits() int { return max(0, c.settings.OwnCircuits-c.ownInUse) }

// processorAt returns the listed processor of the exchange with a number, or nil. If there are several it returns
// the one with the lowest ID, so that runs are deterministic.
func (c *Core) processorAt(number int) *listedProcessor {
	var best *listedProcessor
	for _, p := range c.processors {
		if p.Number == number && p.Phase != decide.Removed && (best == nil || p.Exchange < best.Exchange) {
			best = p
		}
	}
	return best
}

func (c *Core) circuitReport(g *trunk.Group) decide.Report {
	r := decide.NoReport
	if g != nil {
		r.Free, r.Size = float64(g.Free()), float64(g.Size())
	}
	return r
}

func (c *Core) execute(now time.Duration, a decide.Action) {
	switch a := a.(type) {
	case decide.SetUp:
		c.setUp(now, a)
	case decide.Refuse:
		c.sendFinalAnswer(now, a.Call, a.RetryAfter)
	case decide.Fail:
		c.sendFinalAnswer(now, a.Call, 0)
	case decide.Timer:
		c.schedule(now, a.After, func(time.Duration) { c.addEvent(decide.TimerExpired{Token: a.Token}) })
	case decide.Subscribe, decide.LogLine:
		// The discovery client delivers updates without a subscription; the controller's log lines are not
		// used.
	}
}

func (c *Core) emit(o Output) { c.Outputs = append(c.Outputs, o) }
