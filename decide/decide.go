// The interface of this module is decide/api.go. All decisions are here; state.go holds state and arithmetic.
//
// Order: constants, state, the events, the ordinary path (bands, direct, tandems), transit, waiting calls,
// then the guards (list, cold start, pressure, repeats), and small helpers last.

package decide

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	popularityHalfLife = 30 * time.Second // the design's decay of calls offered by class
	roundingOctaves    = 0.03             // told holds are rounded: 2% either way is the same ratio
	maxTandems         = 2                // tandems tried for one call, as in the design

	reserveRoot = 0.35 // transit floor, in square roots of a group's circuits, over one widest call
	reservePart = 0.16 // and at most this part of them, or it swallows a small group
	minorShare  = 0.5  // a call worth less than this part of its class's worth is a minor one
	tandemWait  = 0.55 // time-out of a tandem attempt, in aims: leaves room for another route
	directWait  = 1.2  // time-out of a direct attempt where set-ups are not resent, in aims
	turnedFor   = 20 * time.Second
	turnedCalls = 12
	// A tandem that turned a call back is passed over for that exchange this long or so many calls: a fifth
	// of the next attempts over it stand then, over half of those over one that carried the last call.

	holdShare  = 0.85                  // a held call is sent by this share of its aim, or refused
	lastAnswer = 40 * time.Millisecond // no answer is left until later than this before the caller gives up
	tick       = 20 * time.Millisecond // waiting calls are looked at this often, if nothing else happens

	waitHalfLife = 2500 * time.Millisecond // a wait that nothing confirms is believed half as long after this
	sightFor     = 1500 * time.Millisecond // what answers showed this long ago counts for all far ends,
	sightCount   = 15                      // of so many newest ones,
	sightLeast   = 3                       // where there are so many
	newest       = 0.6                     // weight of the newest wait against those before
	easyShare    = 0.15                    // an expected set-up time of this share of an aim is no pressure
	planShare    = 0.25                    // over this no tandem is tried for a pair without a group,
	guessShare   = 0.09                    // over this none not known to have room, for a pair with one,
	goodOdds     = 0.5                     // while less than this part of the tandem attempts stand,
	oddsOver     = 10                      // of about so many
	pressRange   = 0.5                     // over this further share more and more calls are refused
	leastRange   = 0.4                     // calls of little worth get at least this part of it
	worthiest    = 2.5                     // and worthier calls up to this many times
	outAdds      = 0.1                     // aims that each further set-up out adds to the expected time
	fullWait     = 1.5                     // the least wait behind a 'full', in aims: it is worse than late
	trialGap     = 500 * time.Millisecond  // first pause between trials of a pressed far end, doubling
	trialAny     = 250 * time.Millisecond  // between any trials: the own processor may be the jam
	trialDoubles = 3                       // this often
	coldPart     = 0.6                     // of the rule's budget; the rest is for chance
	rateHalfLife = 15 * time.Second        // of the usual rate of set-ups to a neighbour
	noteFails    = 3                       // late or missing answers in a row worth a line in the log
	maxNotes     = 200                     // lines an instance writes
	triesKept    = 4096                    // first tries, and busy numbers, remembered: a bound on memory
	busyFor      = 2 * time.Second         // calls to a number with all lines busy are refused this long
	worthOver    = 100                     // calls offered over which the mean worth is renewed
)

// Timer tokens.
const (
	tokenTick uint64 = iota
	tokenAsk
)

// New returns the controller of one instance; seed feeds its random choices.
func New(s Settings, seed uint64) *Controller {
	c := &Controller{s: s, rng: seed, calls: map[CallID]*call{}, tries: map[uint64]time.Duration{},
		busy: map[uint64]time.Duration{}, listed: map[ExchangeID]*exchange{},
		far: map[int]*neighbour{}, minAim: math.MaxInt64, tenants: make([]bucket, len(s.Tenants))}
	c.band, c.bands = holdBands(s.Classes)
	for i := range s.Classes {
		c.widest = max(c.widest, s.Classes[i].Width)
		c.minAim = min(c.minAim, s.Classes[i].SetupTarget)
	}
	c.meanWorth, c.carriedShare = s.Classes[0].Value, 1
	return c
}

// Feed tells the controller one event and returns what it wants done now, in order.
func (c *Controller) Feed(now time.Duration, ev Event) []Action {
	c.now, c.out = max(c.now, now), nil
	c.common = c.medianSight()
	switch e := ev.(type) {
	case ListUpdate:
		c.onList(e)
	case Offer:
		c.onOffer(e)
	case Standing:
		c.onStanding(e)
	case AttemptEnded:
		c.onEnded(e)
	case CallerAbandoned:
		if k := c.calls[e.Call]; k != nil {
			c.close(k)
		}
	case ReportReceived:
		c.onReport(e)
	case TimerExpired:
		c.onTimer(e.Token)
	}
	return c.out
}

func (c *Controller) onOffer(e Offer) {
	if c.calls[e.Call] != nil {
		return
	}
	class := e.Class
	if class < 0 || class >= len(c.s.Classes) {
		class = 0
	}
	cl := &c.s.Classes[class]
	k := &call{id: e.Call, class: class, width: e.Width, dest: e.Dest, number: e.CalledNumber,
		advised: e.AdvisedTandem, transit: e.Transit, arrived: c.now, first: c.now,
		deadline: c.now + e.Patience, worth: cl.Value}
	if k.width < 1 {
		k.width = cl.Width
	}
	c.calls[k.id] = k
	k.worth *= c.shareWorth(e)
	if first, again := c.tries[k.number]; again && !k.transit && (e.Redial || !c.s.RedialsMarked) {
		k.first = first
	}
	if k.late(c.now, cl.SetupTarget) && !e.WasCut {
		k.worth *= cl.LateValue
	}
	if to := c.far[k.dest]; to != nil {
		c.countOffered(to, class)
	}
	if !k.transit && c.busy[k.number] > c.now {
		c.refuse(k)
		return
	}
	if e.Patience < lastAnswer { // it waited out its time on the way here: only an answer at once is in time
		c.refuse(k)
		return
	}
	if k.dest == c.s.OwnExchange && c.s.DeliverLocal {
		c.deliver(k)
		return
	}
	if k.transit {
		c.passOn(k)
		return
	}
	c.meanWorth += (k.worth - c.meanWorth) / worthOver
	c.route(k)
}

func (c *Controller) onStanding(e Standing) {
	k := c.calls[e.Call]
	if k == nil || k.to == nil || k.attempts != e.Attempt+1 {
		return
	}
	k.standing, k.closed = true, true
	k.to.unsend(k)
	if !k.isTandem {
		c.answered(k.to, e.Took)
	} else if to := c.far[k.dest]; to != nil {
		to.carried(k.to)
		c.carriedShare += (1 - c.carriedShare) / oddsOver
	}
}

func (c *Controller) onEnded(e AttemptEnded) {
	c.takeReport(e.Exchange, e.Report)
	k := c.calls[e.Call]
	if k == nil || k.to == nil || k.attempts != e.Attempt+1 {
		return
	}
	to, stood := k.to, k.standing
	c.unplace(k)
	if e.Concluded {
		k.closed = true
	}
	if !stood {
		c.judge(to, k, e)
	}
	if k.closed {
		delete(c.calls, k.id)
		c.serve()
		return
	}
	switch e.Outcome {
	case TimedOut, Cut, Cancelled:
		k.after = c.now + c.s.ReleaseGuard
	}
	if mayHaveRun(e.Outcome) && k.ranAt == nil {
		k.ranAt, k.ranSent = k.via, k.sentAt
	}
	c.goOn(k, e)
}

// goOn decides what follows a failed attempt: another route where one can help, else an early answer.
func (c *Controller) goOn(k *call, e AttemptEnded) {
	switch {
	case e.Outcome == Busy && e.Cause == LinesBusy:
		c.markBusy(k)
		c.refuse(k)
	case k.transit:
		c.refuse(k)
	case e.Outcome == NotSent && e.Cause != NoCircuit: // the own processor is down, or the time is up
		c.refuse(k)
	case e.Outcome == Busy && !k.late(c.now, c.s.Classes[k.class].SetupTarget): // a fault: another may pass
		c.route(k)
	case !k.isTandem && !c.s.Pools && (e.Outcome != NotSent && e.Cause != NoCircuit):
		c.refuse(k) // the far end itself is silent or full: every other route ends there too
	case k.isTandem && (e.Cause == TandemRejectedFull):
		c.refuse(k)
	default:
		c.route(k)
	}
}

// ---- The ordinary path: bands, direct, then the pair's tandems.

// holdBands sorts the classes into bands by hold: band i holds 2^i to 2^(i+1) times the shortest.
func holdBands(classes []Class) (band []int, n int) {
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	for _, cl := range classes {
		shortest, longest = min(shortest, cl.HoldTime), max(longest, cl.HoldTime)
	}
	n = max(1, int(math.Ceil(octaves(longest, shortest))))
	for _, cl := range classes {
		band = append(band, min(n-1, int(octaves(cl.HoldTime, shortest))))
	}
	return band, n
}

// octaves is log2 of a ratio of told holds. A ratio that rounding could have moved off a power of two
// counts as that power, so that the count of bands does not hang on the last digit told.
func octaves(long, short time.Duration) float64 {
	x := math.Log2(float64(long) / float64(short))
	if r := math.Round(x); math.Abs(x-r) <= roundingOctaves {
		return r
	}
	return x
}

// countOffered keeps the popularity of the classes on a group.
func (c *Controller) countOffered(n *neighbour, class int) {
	keep := decay(c.now-n.offeredAt, popularityHalfLife)
	for i := range n.offered {
		n.offered[i] *= keep
	}
	n.offered[class]++
	n.calls++
	n.offeredAt = c.now
}

// shares splits a group's circuits over the bands by popularity times hold; without counts all are in the
// first band, which every call may use.
func (c *Controller) shares(n *neighbour) []float64 {
	share, sum := make([]float64, c.bands), 0.0
	for i, cl := range c.s.Classes {
		f := n.offered[i] * cl.HoldTime.Seconds()
		share[c.band[i]] += f
		sum += f
	}
	if sum == 0 {
		share[0], sum = 1, 1
	}
	for i := range share {
		share[i] *= n.size / sum
	}
	return share
}

// bandRoom is how many circuits each band up to that of class has left, own band last.
func (c *Controller) bandRoom(n *neighbour, class int) []float64 {
	room := c.shares(n)[:c.band[class]+1]
	for i := range room {
		room[i] = max(0, room[i]-n.used[i])
	}
	return room
}

// fitsDirect tells whether a call may take circuits of its direct group: any call while there is plenty,
// near a full group only those for which bands up to its own have room. A class in the last band may use
// all that is free.
func (c *Controller) fitsDirect(n *neighbour, k *call) bool {
	if n.free < 0 {
		return true // not told yet
	}
	w := float64(k.width)
	if n.free < w || c.minor(k) && !c.fitsTandem(n, k) {
		return false
	}
	if c.bands == 1 || n.free >= float64(c.widest)+c.reserve(n) {
		return true
	}
	room := 0.0
	for _, r := range c.bandRoom(n, k.class) {
		room += r
	}
	return math.Min(room, n.free) >= w
}

// minor tells whether a call is worth so little that it stays off last circuits and tandems. Exception to the
// design: acts on redials past their aim, near a full group only.
func (c *Controller) minor(k *call) bool { return k.worth < minorShare*c.s.Classes[k.class].Value }

// reserve is the number of a group's last circuits that transit and tandem legs stay off: at least one.
func (c *Controller) reserve(n *neighbour) float64 {
	floor := float64(c.widest) + reserveRoot*math.Sqrt(max(0, n.size))
	return max(1, math.Floor(min(floor, reservePart*n.size)))
}

// fitsTandem tells whether a transit or tandem leg may take circuits of a group.
func (c *Controller) fitsTandem(n *neighbour, k *call) bool {
	return n.free >= float64(k.width)+c.reserve(n)
}

// route sends a call by its next route, or holds or refuses it.
func (c *Controller) route(k *call) {
	to := c.far[k.dest]
	if to == nil || k.attempts >= c.s.MaxAttempts || !c.mayRepeat(k) || k.dest == c.s.OwnExchange {
		c.refuse(k)
		return
	}
	if k.after > c.now || c.queued(k, to) || !c.tryNow(k, to) {
		c.hold(k)
	}
}

// tryNow sends a call by the direct route or a tandem, or refuses it under pressure; false is neither.
func (c *Controller) tryNow(k *call, to *neighbour) bool {
	if c.usable(to) && c.mayGo(k, to.cur) {
		if c.fitsDirect(to, k) {
			if !c.lets(k, to) {
				c.refuse(k) // every route ends at that processor
			} else if !c.coldLets(to) {
				return false
			} else {
				c.place(k, to, false)
			}
			return true
		}
	} else if !c.s.Pools {
		return false // no processor there to end at
	}
	t := c.chooseTandem(k, to)
	if t != nil {
		c.place(k, t, true)
	}
	return t != nil
}

// chooseTandem picks the tandem to try next: the first in order that can be tried. Exceptions to the design:
// a call that its pair's tandem turned back, or that none in order takes, goes over the one a centre advises;
// and while most tandem attempts are turned back, overflow of a group goes only in calm over one that did not
// carry the last such call: the work of these attempts feeds jams. Harms where room lies behind untried ways.
// A pair without a group is planned over a tandem, so its calls bear more wait than overflow does.
func (c *Controller) chooseTandem(k *call, to *neighbour) *neighbour {
	most := easyShare
	if to.size <= 0 {
		most = planShare
	}
	if c.minor(k) || len(k.tandems) >= maxTandems || !c.s.Pools && c.bound(to, most) {
		return nil
	}
	anyWay := to.size <= 0 || c.carriedShare >= goodOdds
	list, calm := c.tandems(to), anyWay || c.s.Pools || !c.bound(to, guessShare)
	var advised *neighbour
	if i := to.tandem(k.advised); i >= 0 && c.takesTandem(k, list[i].via, most) {
		advised = list[i].via
	}
	if advised != nil && len(k.tandems) > 0 {
		return advised
	}
	for _, t := range list {
		share := most
		if !t.carried && !anyWay {
			share = guessShare
		}
		passed := t.until > c.now && t.untilCall > to.calls
		if !passed && (t.carried || calm) && c.takesTandem(k, t.via, share) {
			return t.via
		}
	}
	return advised
}

// tandems lists the second choices of calls to an exchange: in the order hashed from the pair, but one that
// carried a call goes to the front. Exception to the design: where few tandems have room on their second leg,
// which only an attempt shows, the one that had it is the best guess.
func (c *Controller) tandems(to *neighbour) []*tandem {
	if to.tandems == nil {
		for _, n := range c.order {
			if n != to && n.number != c.s.OwnExchange {
				to.tandems = append(to.tandems, &tandem{via: n})
			}
		}
		rank := func(t *tandem) uint64 {
			return mix(uint64(c.s.OwnExchange+1)<<40 ^ uint64(to.number)<<20 ^ uint64(t.via.number))
		}
		slices.SortFunc(to.tandems, func(a, b *tandem) int { return cmp.Compare(rank(a), rank(b)) })
	}
	return to.tandems
}

// takesTandem tells whether a tandem can be tried: it works, is not starting or pressed, and the leg keeps
// its reserve.
func (c *Controller) takesTandem(k *call, t *neighbour, share float64) bool {
	return (!c.s.Pools || c.skilled(k.class, t.number)) && c.usable(t) && c.fitsTandem(t, k) &&
		c.mayGo(k, t.cur) && !slices.Contains(k.tandems, t) && !c.bound(t, share)
}

// place sends a call; the time-out of a tandem attempt leaves room for another route.
func (c *Controller) place(k *call, to *neighbour, tandem bool) {
	k.to, k.via, k.isTandem, k.sentAt = to, to.cur, tandem, c.now
	k.attempts++
	var timeout time.Duration
	if tandem {
		k.tandems = append(k.tandems, to)
		timeout = min(k.deadline-c.now, time.Duration(tandemWait*float64(c.s.Classes[k.class].SetupTarget)))
	} else if c.s.ResendAfter == 0 { // a set-up lost on the way stays lost: waiting on cannot help
		timeout = min(k.deadline-c.now, time.Duration(directWait*float64(c.s.Classes[k.class].SetupTarget)))
	}
	c.fill(to, k)
	to.sent = append(to.sent, k)
	to.sets, to.setAt = to.sets*decay(c.now-to.setAt, rateHalfLife)+1, c.now
	c.out = append(c.out, SetUp{Call: k.id, Exchange: to.cur.id, Timeout: timeout})
}

// fill books a call's circuits on its group: own band first, then shorter ones, the rest on its own.
func (c *Controller) fill(n *neighbour, k *call) {
	w := float64(k.width)
	k.inBand = make([]float64, c.bands)
	room := c.bandRoom(n, k.class)
	for i := len(room) - 1; i >= 0 && w > 0; i-- {
		take := min(w, math.Floor(room[i]))
		k.inBand[i] += take
		w -= take
	}
	k.inBand[c.band[k.class]] += w
	for i := range k.inBand {
		n.used[i] += k.inBand[i]
	}
	if n.free >= 0 {
		n.free = max(0, n.free-float64(k.width))
	}
}

// passOn sends a call in transit to its destination at once, or turns it back.
func (c *Controller) passOn(k *call) {
	to := c.far[k.dest]
	if to == nil || k.dest == c.s.OwnExchange || !c.usable(to) || !c.fitsTandem(to, k) || !c.lets(k, to) ||
		!c.coldLets(to) {
		c.refuse(k)
		return
	}
	c.place(k, to, false)
}

// deliver hands a call that ends here to the own processor, which no group leads to. It is tried once; what
// came over a group was counted against a cold processor's budget where it was sent.
func (c *Controller) deliver(k *call) {
	own := c.far[k.dest]
	if own == nil || own.cur == nil || !k.transit && !c.coldLets(own) {
		c.refuse(k)
		return
	}
	c.place(k, own, false)
}

// ---- Held calls. Exception to the design: a call that no route takes waits for a circuit or its turn at a
// gate while it can still stand within its aim. Held calls go worthier first.

// hold keeps a call until its latest useful time, or refuses it.
func (c *Controller) hold(k *call) {
	if c.now >= c.latest(k) || c.far[k.dest] == nil {
		c.refuse(k)
		return
	}
	if !k.held {
		k.held = true
		i, _ := slices.BinarySearchFunc(c.waiting, k, c.before)
		c.waiting = slices.Insert(c.waiting, i, k)
	}
	if !c.ticking {
		c.ticking = true
		c.out = append(c.out, Timer{After: tick, Token: tokenTick})
	}
}

// before orders held calls: worth per circuit and time, then wider, then older.
func (c *Controller) before(a, b *call) int {
	if da, db := c.density(a), c.density(b); da != db {
		return sign(db - da)
	}
	if a.width != b.width {
		return b.width - a.width
	}
	if a.arrived != b.arrived {
		return sign(float64(a.arrived - b.arrived))
	}
	return int(a.id) - int(b.id)
}

// density is a call's worth for each circuit and second.
func (c *Controller) density(k *call) float64 {
	return k.worth / (float64(k.width) * c.s.Classes[k.class].HoldTime.Seconds())
}

// latest is the last moment at which sending a held call still makes sense.
func (c *Controller) latest(k *call) time.Duration {
	aim := c.s.Classes[k.class].SetupTarget
	at := k.arrived + time.Duration(holdShare*float64(aim)) - c.far[k.dest].quickest
	if k.attempts > 0 {
		at = max(at, k.after+2*tick)
	}
	return min(at, k.deadline-lastAnswer)
}

// queued tells whether an equal or worthier call waits for the same group.
func (c *Controller) queued(k *call, to *neighbour) bool {
	for _, w := range c.waiting {
		if w != k && w.dest == to.number && w.after <= c.now && c.before(w, k) < 0 {
			return true
		}
	}
	return false
}

// serve goes through the held calls: sends what can go, refuses what has no time left.
func (c *Controller) serve() {
	if len(c.waiting) == 0 {
		return
	}
	list := slices.Clone(c.waiting)
	passed := map[int]bool{}
	for _, k := range list {
		to := c.far[k.dest]
		if k.after <= c.now && !passed[k.dest] {
			if c.tryNow(k, to) {
				if k.held {
					c.unhold(k)
				}
				continue
			}
			passed[k.dest] = true
		}
		if c.now >= c.latest(k) {
			c.refuse(k)
		}
	}
}

// ---- Guard: the list. Nothing new goes to an exchange from the moment it is told to drain or be gone,
// held calls included. Guards calls from being cut when it stops; harms if the list is wrong.

func (c *Controller) onList(e ListUpdate) {
	if e.Kind == ListFailed {
		c.asks++
		wait := min(time.Second<<min(c.asks-1, 4), max(c.s.MaxSubscribeInterval/2, time.Second))
		c.out = append(c.out, Timer{After: wait/2 + c.jitter(wait/2), Token: tokenAsk})
		return
	}
	if e.Kind == ListCached && c.s.Subscribe {
		c.out = append(c.out, Subscribe{})
	} else {
		c.asks = 0
	}
	if e.Kind != ListChanges {
		for _, x := range c.listed {
			x.phase = Removed
		}
	}
	for _, n := range e.Entries {
		x := c.listed[n.Exchange]
		if x == nil {
			x = &exchange{id: n.Exchange}
			c.listed[n.Exchange] = x
		}
		x.number, x.zone, x.phase, x.started = n.Number, n.Zone, n.Phase, n.Started
		c.neighbour(n.Number)
	}
	c.chooseProcessors()
	c.serve()
}

// chooseProcessors picks, for each number, the ready processor that started last.
func (c *Controller) chooseProcessors() {
	ids := make([]ExchangeID, 0, len(c.listed))
	for id := range c.listed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	best := map[int]*exchange{}
	for _, id := range ids {
		x := c.listed[id]
		if x.phase == Removed {
			delete(c.listed, id) // or the list of the dead grows for ever
		}
		if b := best[x.number]; x.phase == Ready && (b == nil || x.started > b.started) {
			best[x.number] = x
		}
	}
	for _, n := range c.order {
		if b := best[n.number]; b != n.cur {
			n.cur, n.load = b, load{}
			n.part = bucket{float64(c.jitter(time.Second)) / float64(time.Second), c.now}
		}
	}
}

// usable tells whether set-ups may go to a neighbour at all.
func (c *Controller) usable(n *neighbour) bool {
	return n.cur != nil && n.cur.phase == Ready && n.number != c.s.OwnExchange
}

// ---- Guard: cold starts. A processor that just started gets from each proxy the proxy's usual rate, times
// the part of its work it can do at its age, times a part of the rule's multiple. The usual rates together
// fit a warm processor, so these fit the rule's budget together, whoever has more traffic. Pressure spares
// a slow start its jam. Harms where usual rates are not yet known: then the group's size speaks for them.

// cold tells whether a processor is still starting.
func (c *Controller) cold(x *exchange) bool {
	return x != nil && x.started > 0 && c.now < x.started+c.s.ColdDuration
}

// coldRate is the set-ups a second that a starting processor may be sent from here.
func (c *Controller) coldRate(x *exchange, usual float64) float64 {
	age := float64(c.now-x.started) / float64(c.s.ColdDuration)
	return usual * max(1, coldPart*c.s.OverloadMultiple) *
		(c.s.ColdCapacity + (1-c.s.ColdCapacity)*max(0, age))
}

// coldLets takes a set-up from a starting processor's part; others are not asked. The part starts at a random
// fill under one set-up, or all proxies together would send one at once.
func (c *Controller) coldLets(n *neighbour) bool {
	if !c.cold(n.cur) {
		return true
	}
	rate := c.coldRate(n.cur, c.usual(n))
	return n.part.take(c.now, rate, 1+min(1, rate))
}

// usual is the rate of set-ups to a neighbour in quiet times: as seen, or as its group's size suggests.
func (c *Controller) usual(n *neighbour) float64 {
	plan := max(1, n.size) / (2 * c.s.Classes[0].HoldTime.Seconds() * float64(c.s.Classes[0].Width))
	rate := n.sets * decay(c.now-n.setAt, rateHalfLife) * math.Ln2 / rateHalfLife.Seconds()
	return max(min(rate, 2*plan), plan/2)
}

// ---- Guard: pressure. What a set-up takes longer than the quickest one did is wait at the processors on the
// way. The longer the wait expected, the more calls are refused early, less worthy ones first; beyond that
// only spaced trials go. Catches slow, hung, crashed, cut-off and jammed processors alike, the own one too,
// with or without load reports. Harms when a slow answer was chance: some calls are refused until the next.

// wait is what is believed of a far end: what its last answers showed, and the longer ago they came the more
// what most answers showed lately. The common part is the own processor's wait, or that of a jam of all.
func (c *Controller) wait(l *load) float64 {
	keep := decay(c.now-l.at, waitHalfLife)
	return keep*l.wait + (1-keep)*c.common
}

// learn takes in the wait that an answer showed.
func (c *Controller) learn(l *load, wait float64) {
	l.wait, l.at = newest*wait+(1-newest)*c.wait(l), c.now
	c.sights[c.seen%len(c.sights)] = sight{wait, c.now}
	c.seen++
}

// atLeast raises the belief.
func (c *Controller) atLeast(l *load, wait float64) {
	l.wait, l.at = max(wait, c.wait(l)), c.now
}

// medianSight is the median of the newest waits from all far ends: high where the own processor or all are
// jammed, low where some far ends are.
func (c *Controller) medianSight() float64 {
	var buf [sightCount]float64
	lately := buf[:0]
	for _, s := range c.sights {
		if s.at > 0 && c.now-s.at < sightFor {
			lately = append(lately, s.wait)
		}
	}
	if len(lately) < sightLeast {
		return 0
	}
	slices.Sort(lately)
	return lately[len(lately)/2]
}

// expected is the time a set-up to a neighbour would take now, in seconds: as believed, at least as long as
// the oldest one out has waited, and more for each further one out: all senders may find a far end free
// together and jam it before its first answer. Set-ups that a later one's answer overtook do not wait: lost.
func (c *Controller) expected(n *neighbour) float64 {
	wait := c.wait(&n.load)
	waiting := 0
	for _, k := range n.sent {
		if k.sentAt >= n.overtook {
			wait = max(wait, (c.now - k.sentAt - n.quickest).Seconds())
			waiting++
		}
	}
	// Where hundreds are sent a second, several are out at any time without any wait.
	each := min(outAdds*c.minAim.Seconds(), 1/c.usual(n))
	return n.quickest.Seconds() + wait + each*float64(max(0, waiting-1))
}

// pressed tells how hard a route presses: 0 is not at all, at 1 and above only trials go.
func (c *Controller) pressed(n *neighbour, aim time.Duration, worth float64) float64 {
	x := c.expected(n)/aim.Seconds() - easyShare
	if c.meanWorth > 0 {
		worth /= c.meanWorth
	}
	return x / (pressRange * min(worthiest, max(leastRange, worth)))
}

// bound tells whether a neighbour's processor is starting or expected to take over a share of an aim.
func (c *Controller) bound(n *neighbour, share float64) bool {
	return c.cold(n.cur) || c.expected(n) > share*c.minAim.Seconds()
}

// lets decides whether pressure lets a call through to its destination.
func (c *Controller) lets(k *call, to *neighbour) bool {
	p := c.pressed(to, c.s.Classes[k.class].SetupTarget, k.worth)
	if p <= 0 || p < 1 && float64(c.jitter(time.Second)) >= p*float64(time.Second) {
		return true
	}
	if c.minor(k) || c.now < max(to.load.trialAt, c.trialAt) {
		return false
	}
	to.load.trialAt = c.now + trialGap<<min(to.load.fails, trialDoubles)
	c.trialAt = c.now + trialAny<<min(c.fails, trialDoubles)
	return true
}

// answered learns from a set-up that stood.
func (c *Controller) answered(n *neighbour, took time.Duration) {
	if n.quickest == 0 { // a proxy that starts in a jam must not take its first slow answer for normal
		n.quickest = min(took, time.Duration(easyShare*float64(c.minAim)))
	}
	n.quickest, n.overtook = min(n.quickest, took), max(n.overtook, c.now-took)
	c.learn(&n.load, (took - n.quickest).Seconds())
	if took > c.minAim {
		c.failed(n)
		return
	}
	if n.load.fails >= noteFails {
		c.note("exchange %d answers again", n.number)
	}
	n.load.fails, c.fails = 0, 0
}

// note writes a line for on-call staff; there are not many of them.
func (c *Controller) note(format string, number int) {
	if c.notes++; c.notes <= maxNotes {
		c.out = append(c.out, LogLine{fmt.Sprintf(format, number)})
	}
}

// failed counts an answer that came late or never, which spaces the trials out: in a deep jam, at the own
// processor too, the trials themselves are what keeps it up.
func (c *Controller) failed(n *neighbour) {
	n.load.fails, c.fails = n.load.fails+1, c.fails+1
	if n.load.fails == noteFails {
		c.note("exchange %d answers late or not at all, trials only", n.number)
	}
}

// judge learns from an attempt that did not stand.
func (c *Controller) judge(to *neighbour, k *call, e AttemptEnded) {
	end := to
	if k.isTandem {
		if end = c.far[k.dest]; end == nil {
			return
		}
	}
	switch {
	case e.Outcome == NotSent && e.Cause == NoCircuit:
		to.free = 0 // also where no group was ever told: the pair may have none
	case e.Cause == TandemRejectedFull, e.Outcome == Rejected && e.Cause == ProcessorFull && !k.isTandem:
		c.atLeast(&end.load, fullWait*c.minAim.Seconds())
	case e.Outcome == Rejected && e.Cause == ProcessorFull:
		c.atLeast(&to.load, fullWait*c.minAim.Seconds())
	case k.isTandem && (e.Outcome == Rejected || e.Outcome == TimedOut):
		end.passOver(to, c.now+turnedFor, end.calls+turnedCalls)
		c.carriedShare -= c.carriedShare / oddsOver
	case e.Outcome == TimedOut && !k.isTandem && k.sentAt < to.overtook:
		// Its answer was lost: later set-ups were answered.
	case e.Outcome == TimedOut, e.Outcome == Unreachable:
		c.atLeast(&to.load, max(c.minAim, e.Took).Seconds())
		c.failed(to)
	}
}

func (c *Controller) onReport(e ReportReceived) {
	c.takeReport(e.Exchange, e.Report)
	c.serve()
}

func (c *Controller) takeReport(id ExchangeID, r Report) {
	x := c.listed[id]
	if x == nil {
		return
	}
	if n := c.far[x.number]; n != nil && r.Free >= 0 {
		n.free = r.Free
		if r.Size >= 0 {
			n.size = r.Size
		}
	}
}

// ---- Guard: repeats of calls that must not run twice.

// mayRepeat tells whether a call may be sent again at all.
func (c *Controller) mayRepeat(k *call) bool {
	return k.ranAt == nil || c.s.Classes[k.class].Repeat != RepeatUnsafe
}

// mayGo tells whether a call may be sent to a processor, given where it may have run.
func (c *Controller) mayGo(k *call, x *exchange) bool {
	cl := &c.s.Classes[k.class]
	if k.ranAt == nil || cl.Repeat == RepeatSafe {
		return true
	}
	if cl.Repeat == RepeatUnsafe || c.now >= k.ranSent+cl.KeyWindow {
		return false
	}
	switch cl.KeyScope {
	case ScopeZone:
		return x.zone == k.ranAt.zone
	case ScopeExchange:
		return x.number == k.ranAt.number
	}
	return true
}

// mayRefuse tells whether 'refused' is a true answer: the call cannot have run, or its repeats are known.
func (c *Controller) mayRefuse(k *call) bool {
	cl := &c.s.Classes[k.class]
	return k.ranAt == nil || cl.Repeat == RepeatSafe || cl.Repeat == RepeatKeyed && cl.KeyScope == ScopeAll
}

// refuse gives the final answer, with a spread-out advice to stay away.
func (c *Controller) refuse(k *call) {
	if k.held {
		c.unhold(k)
	}
	delete(c.calls, k.id)
	c.remember(k)
	if !c.mayRefuse(k) || c.now >= k.deadline {
		c.out = append(c.out, Fail{k.id})
		return
	}
	var away time.Duration
	if c.s.SendRetryAfter && !k.transit {
		away = c.s.MaxRetryAfter - c.jitter(c.s.MaxRetryAfter/5)
	}
	c.out = append(c.out, Refuse{k.id, away})
}

// markBusy is the guard against a rush on one number: all its lines are busy, and each further set-up to it
// costs the processors on the way. Calls to it are refused at once for a while; then one may find a line.
// Harms when a line frees at once: a call of that number waits longer.
func (c *Controller) markBusy(k *call) {
	if len(c.busy) >= triesKept {
		clear(c.busy)
	}
	if k.number != 0 {
		c.busy[k.number] = c.now + busyFor
	}
}

// remember keeps the time of the first try of a call that was turned away, for when its caller dials again.
func (c *Controller) remember(k *call) {
	if k.transit || k.number == 0 {
		return
	}
	if len(c.tries) >= triesKept {
		clear(c.tries) // forgetting only makes redials look new
	}
	c.tries[k.number] = k.first
}

// close ends a call whose caller is gone or answered; an attempt that is out stays on the books.
func (c *Controller) close(k *call) {
	k.closed = true
	if k.held {
		c.unhold(k)
	}
	if k.to == nil {
		delete(c.calls, k.id)
	}
}

func (c *Controller) onTimer(token uint64) {
	switch token {
	case tokenAsk:
		c.out = append(c.out, Subscribe{})
	case tokenTick:
		c.ticking = false
		c.serve()
		if len(c.waiting) > 0 {
			c.ticking = true
			c.out = append(c.out, Timer{After: tick, Token: tokenTick})
		}
	}
}

// shareWorth is the part of its class's worth that a call has: less beyond its tenant's share. One proxy sees
// only its own part of a tenant's calls, taken as even over the proxies, so its word counts half.
func (c *Controller) shareWorth(e Offer) float64 {
	if e.Tenant < 0 || e.Tenant >= len(c.tenants) || c.s.Tenants[e.Tenant].Quota <= 0 || e.Transit {
		return 1
	}
	rate := c.s.Tenants[e.Tenant].Quota / float64(c.s.Proxies)
	if c.tenants[e.Tenant].take(c.now, rate, max(2, 3*rate)) {
		return 1
	}
	return (1 + c.s.OverShareValue) / 2
}

// skilled tells whether a class may go to a pool.
func (c *Controller) skilled(class, pool int) bool {
	return slices.Contains(c.s.ClassPools[class], pool)
}

func mayHaveRun(o Outcome) bool {
	return o != Rejected && o != Unreachable && o != NotSent
}
