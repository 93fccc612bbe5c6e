package call

import (
	"maps"
	"slices"
	"time"

	"pipitring/decide"
	"pipitring/internal/timers"
	"pipitring/internal/trunk"
)

// Settings are what a Core is given.
type Settings struct {
	Decide decide.Settings
	Seed   uint64 // of the module's random choices
	Groups map[int]int
	// OwnCircuits is the number of circuits to the own switch, or of its lines where they are only counted; 0 is not known.
	OwnCircuits int
	Plan        *Plan
	// Patience is how long callers of each class wait before they give up one try.
	Patience []time.Duration
	// AnswerMargin is taken off it, so that the answer is with the caller in time.
	AnswerMargin time.Duration
	// DrainGrace is how long after a drain was told a set-up may still reach the exchange.
	DrainGrace time.Duration
	MaxCalls   int // at once; 0 is no limit
	// DurableTimeout holds final answers back until Durable tells that their record is, for this long at the most; 0 is not.
	DurableTimeout time.Duration
}

// Core is the call state of one router.
type Core struct {
	Outputs []Output // for the fronts to carry out and reset, in order
	Records []Record // calls that are over, for the user to take and reset
	Stats   Stats

	set      Settings
	ctl      *decide.Controller
	groups   *trunk.GroupTable
	calls    map[decide.CallID]*call
	legs     map[LegID]*leg
	list     map[decide.ExchangeID]*listed
	lastCall decide.CallID
	lastLeg  LegID
	queue    timers.Queue[func(now time.Duration)]
	pending  []decide.Event
	feeding  bool
	closing  bool
	shut     bool              // no new calls for a while
	seq      uint64            // calls taken
	ticket   uint64            // records made
	held     []*held           // answers that wait for their record, oldest first
	ownUsed  int               // circuits of legs to the own switch
	ownTold  decide.ExchangeID // the own processor that the module was told the size of,
	ownFree  int               // and its free circuits then
}

// listed is an exchange on the list, and when this router was told of its phase.
type listed struct {
	decide.Entry
	told time.Duration
}

// call is one call that this router has taken and not finished.
type call struct {
	id       decide.CallID
	seq      uint64
	request  Request
	origin   Origin
	class    int
	tenant   int
	dest     int
	width    int
	transit  bool
	in, out  *leg // out is nil while no attempt is out
	offered  time.Duration
	deadline time.Duration // of the final answer
	answered time.Duration
	proving  bool    // answered, and its record not durable yet
	farEnd   *farEnd // what the far end did meanwhile
	stood    bool
	attempts int
	tried    []Attempt
	first    [1]Attempt // most calls need no more
	last     decide.Outcome
	cause    Cause // the far end gave with it
	limit    timers.Entry[func(time.Duration)]
	watch    timers.Entry[func(time.Duration)]
}

// leg is a call's relation to one end. It outlives its call until the far end has let go.
type leg struct {
	id       LegID
	call     *call // nil once the call has no more to do with it
	exchange decide.ExchangeID
	group    *trunk.Group
	width    int
	incoming bool
	heard    bool // the far end showed that it has the set-up
	tandem   bool
	attempt  int
	tried    int // its place among the call's
	sent     time.Duration
}

// Clock is now on the module's clock, on which 0 is long ago. It runs ahead of the router's by the time that a processor
// takes to be warm, so that a start shortly before the router's own has a time above 0 on it.
func (c *Core) Clock(now time.Duration) time.Duration { return now + c.set.Decide.ColdDuration + 1 }

// New returns a core without calls. Its settings must be valid.
func New(s Settings) *Core {
	c := &Core{set: s, ctl: decide.New(s.Decide, s.Seed), groups: trunk.NewGroupTable(s.Groups),
		calls: map[decide.CallID]*call{}, legs: map[LegID]*leg{}, list: map[decide.ExchangeID]*listed{}}
	return c
}

// Reconfigure takes new settings for calls that come from now on; the module and its beliefs stay.
func (c *Core) Reconfigure(now time.Duration, plan *Plan, groups map[int]int, own, maxCalls int) {
	c.set.Plan, c.set.MaxCalls, c.set.OwnCircuits = plan, maxCalls, own
	c.groups.Resize(groups)
	c.run(now)
}

// HasRoute tells whether the plan knows a way to a called number.
func (c *Core) HasRoute(number string) bool {
	_, _, _, ok := c.set.Plan.Lookup(Request{Called: number})
	return ok
}

// Close refuses new calls from now on; those taken go on.
func (c *Core) Close() { c.closing = true }

// SetSuspended refuses new calls, or takes them again; what refuses them is not what Close does: it may pass.
func (c *Core) SetSuspended(shut bool) { c.shut = shut }

// OpenCalls is the number of calls taken and not finished, Legs that of legs which any end still holds.
func (c *Core) OpenCalls() int { return len(c.calls) }

// Legs is the number of legs that are not closed.
func (c *Core) Legs() int { return len(c.legs) }

// Groups lists the trunk groups.
func (c *Core) Groups() []*trunk.Group { return c.groups.All() }

// Timers is the number of running timers.
func (c *Core) Timers() int { return c.queue.Len() }

// Next is when Advance has something to do.
func (c *Core) Next() (at time.Duration, ok bool) { return c.queue.Next() }

// Advance does what is due.
func (c *Core) Advance(now time.Duration) {
	for e := c.queue.Due(now); e != nil; e = c.queue.Due(now) {
		e.Value(now)
		c.run(now)
	}
}

// SetList takes news of the exchanges. Set-ups that were sent to an exchange now draining or gone and that it
// has not shown to have are called off when the grace ends: repeats of them would be new to it.
func (c *Core) SetList(now time.Duration, l decide.ListUpdate) {
	if l.Kind != decide.ListChanges && l.Kind != decide.ListFailed {
		named := map[decide.ExchangeID]bool{}
		for _, e := range l.Entries {
			named[e.Exchange] = true
		}
		for _, id := range slices.Sorted(maps.Keys(c.list)) { // in order: two runs agree
			if x := c.list[id]; !named[id] {
				x.Phase, x.told = decide.Removed, now
				c.endGrace(now, id)
			}
		}
	}
	for _, e := range l.Entries {
		x := c.list[e.Exchange]
		if x == nil {
			x = &listed{told: now}
			c.list[e.Exchange] = x
		}
		if x.Phase != e.Phase {
			x.told = now
			if e.Phase != decide.Ready {
				c.endGrace(now, e.Exchange)
			}
		}
		x.Entry = e
	}
	c.feed(l)
	c.run(now)
}

// endGrace calls off what an exchange has not shown to have, a little before the grace is over.
func (c *Core) endGrace(now time.Duration, id decide.ExchangeID) {
	c.after(now, c.set.DrainGrace*3/4, func(now time.Duration) {
		var late []*leg
		for _, l := range c.legs {
			if l.exchange == id && !l.heard && l.call != nil && l.call.out == l {
				late = append(late, l)
			}
		}
		slices.SortFunc(late, func(a, b *leg) int { return int(a.id) - int(b.id) })
		for _, l := range late {
			c.Stats.Withdrawn++
			c.attemptOver(now, l, decide.TimedOut, decide.CauseUnknown, 0, TimerExpired)
		}
		if x := c.list[id]; x != nil && x.Phase == decide.Removed {
			delete(c.list, id) // or the list of the dead grows for ever
		}
	})
}

// after calls f once.
func (c *Core) after(now, d time.Duration, f func(now time.Duration)) {
	c.queue.Set(&timers.Entry[func(time.Duration)]{Value: f}, now+d)
}

// feed queues an event for the module.
func (c *Core) feed(e decide.Event) { c.pending = append(c.pending, e) }

// run feeds queued events and carries out the actions until nothing is left; free circuits are told as they
// change.
func (c *Core) run(now time.Duration) {
	if c.feeding {
		return
	}
	c.feeding = true
	for {
		c.tellCircuits()
		if len(c.pending) == 0 {
			break
		}
		e := c.pending[0]
		c.pending = append(c.pending[:0], c.pending[1:]...)
		for _, a := range c.ctl.Feed(c.Clock(now), e) {
			c.carryOut(now, a)
		}
	}
	c.feeding = false
}

// tellCircuits reports groups whose circuits changed, and what the own switch has: no group leads there, and its size
// is what the module goes by while a processor is cold.
func (c *Core) tellCircuits() {
	c.groups.ForEachChanged(func(g *trunk.Group) {
		if x := c.processorAt(g.Neighbour()); x != nil {
			c.feed(decide.ReportReceived{Exchange: x.Exchange, Outcome: decide.Completed, Report: c.report(g)})
		}
	})
	if x := c.processorAt(c.set.Decide.OwnExchange); c.set.OwnCircuits > 0 && x != nil && (x.Exchange != c.ownTold || c.ownFree != c.ownRoom()) {
		c.ownTold, c.ownFree = x.Exchange, c.ownRoom()
		r := decide.NoReport
		r.Free, r.Size = float64(c.ownFree), float64(c.set.OwnCircuits)
		c.feed(decide.ReportReceived{Exchange: x.Exchange, Outcome: decide.Completed, Report: r})
	}
}

func (c *Core) ownRoom() int { return max(0, c.set.OwnCircuits-c.ownUsed) }

// processorAt finds an exchange of a number on the list: the least of several, so that runs agree.
func (c *Core) processorAt(number int) *listed {
	var best *listed
	for _, x := range c.list {
		if x.Number == number && x.Phase != decide.Removed && (best == nil || x.Exchange < best.Exchange) {
			best = x
		}
	}
	return best
}

func (c *Core) report(g *trunk.Group) decide.Report {
	r := decide.NoReport
	if g != nil {
		r.Free, r.Size = float64(g.Free()), float64(g.Size())
	}
	return r
}

func (c *Core) carryOut(now time.Duration, a decide.Action) {
	switch a := a.(type) {
	case decide.SetUp:
		c.setUp(now, a)
	case decide.Refuse:
		c.finish(now, a.Call, a.RetryAfter)
	case decide.Fail:
		c.finish(now, a.Call, 0)
	case decide.Timer:
		c.after(now, a.After, func(time.Duration) { c.feed(decide.TimerExpired{Token: a.Token}) })
	case decide.Subscribe, decide.LogLine:
		// The registry pushes by itself; notes are the module's log.
	}
}

func (c *Core) out(o Output) { c.Outputs = append(c.Outputs, o) }
