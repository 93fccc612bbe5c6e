// This file holds all decisions of the package; its interface is in api.go, its state in state.go. The design
// is docs/design.md; "Deviates from the design" in a comment marks an exception to its ordinary path.
//
// Order: constants, events, the ordinary path (hold-time bands, direct route, tandems), transit, the wait
// queue, then the guards (exchange list, slow start, overload, repeats).

package decide

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// Routing. A time in targets is a multiple of the SetupTarget of the call's class.

	// offeredHalfLife is the half-life of the count of calls offered by class, as in the design.
	offeredHalfLife = 30 * time.Second
	// holdTimeTolerance is how far log2 of a ratio of hold times may be from a whole number and still count
	// as that number: it allows for an error of 2%, because configured hold times are rounded.
	holdTimeTolerance = 0.03
	// maxTandems is the largest number of tandems tried for one call, as in the design.
	maxTandems = 2
	// reserveRootFactor times the square root of a group's circuits, plus the widest call, is the number of
	// circuits reserved for direct calls.
	reserveRootFactor = 0.35
	// maxReserveShare is the largest share of a group's circuits that is reserved; without it the reserve
	// could be all of a small group.
	maxReserveShare = 0.16
	// lowValueShare is the share of the class's value below which a call is a low-value call.
	lowValueShare = 0.5
	// tandemTimeout is the time-out of a tandem attempt, in targets. It leaves time for another route.
	tandemTimeout = 0.55
	// directTimeout is the time-out of a direct attempt where set-ups are not resent, in targets.
	directTimeout = 1.2
	// tandemSkipTime is how long a tandem that rejected a call is skipped for the same destination. About a
	// fifth of the next attempts over such a tandem succeed, but over half of those over one that carried the
	// last call.
	tandemSkipTime = 20 * time.Second
	// tandemSkipCalls is the number of calls offered to that destination after which the skip ends sooner.
	tandemSkipCalls = 12

	// Wait queue.

	// queueTimeShare is the share of its set-up target within which a queued call must be set up. A call that
	// can no longer be is refused.
	queueTimeShare = 0.85
	// answerMargin is the shortest time between a call's final answer and the moment its caller abandons it.
	answerMargin = 40 * time.Millisecond
	// queueInterval is the interval at which the wait queue is served when no event triggers it.
	queueInterval = 20 * time.Millisecond

	// Overload control. A share is one of the shortest SetupTarget of all classes unless stated otherwise.

	// waitHalfLife is the half-life of an estimated wait that no new answer confirms.
	waitHalfLife = 2500 * time.Millisecond
	// sampleLifetime is how long a wait sample counts towards the common wait of all neighbours.
	sampleLifetime = 1500 * time.Millisecond
	// maxSamples is the number of wait samples stored: the newest ones.
	maxSamples = 15
	// minSamples is the number of samples below which the common wait is taken as zero.
	minSamples = 3
	// newestWeight is the weight of the newest wait in the moving average.
	newestWeight = 0.6
	// unloadedShare is the share of the target up to which an expected set-up time counts as no overload.
	unloadedShare = 0.15
	// plannedTandemShare is the expected set-up time, as a share, above which no tandem is tried for a
	// destination without a direct group, whose calls rely on tandems.
	plannedTandemShare = 0.25
	// unprovenTandemShare is the expected set-up time, as a share, above which overflow of a direct group
	// takes no unproven tandem while few tandem attempts succeed. A tandem is proven if its last attempt to
	// the destination succeeded.
	unprovenTandemShare = 0.09
	// minTandemSuccess is the share of tandem attempts below which few are taken to succeed.
	minTandemSuccess = 0.5
	// tandemSuccessWindow is about the number of attempts in the moving average of tandem success.
	tandemSuccessWindow = 10
	// overloadRange is the range of expected set-up time, as a share of the call's target, over which the
	// share of refused calls rises from none to all. It begins at unloadedShare.
	overloadRange = 0.5
	// minValueFactor is the least factor on overloadRange, for calls of little value.
	minValueFactor = 0.4
	// maxValueFactor is the largest factor on overloadRange, for the most valuable calls.
	maxValueFactor = 2.5
	// outstandingCost is the largest share that each further outstanding set-up adds to the expected set-up
	// time.
	outstandingCost = 0.1
	// fullProcessorWait is the least estimated wait after a processor was full, in shortest targets: a full
	// processor is worse than a late one.
	fullProcessorWait = 1.5
	// probeInterval is the first pause between probe calls to one overloaded neighbour. It doubles with each
	// failure.
	probeInterval = 500 * time.Millisecond
	// globalProbeInterval is the first pause between probe calls to all neighbours together: the own
	// processor may be the congested one. It doubles with each failure.
	globalProbeInterval = 250 * time.Millisecond
	// maxProbeDoublings limits the doubling of both pauses.
	maxProbeDoublings = 3
	// slowStartShare is the share of the overload multiple that is used during slow start; the rest is a
	// margin for random variation.
	slowStartShare = 0.6
	// setupRateHalfLife is the half-life of the observed set-up rate to a neighbour.
	setupRateHalfLife = 15 * time.Second

	// Limits on log lines and memory, and the value average.

	// loggedFailures is the number of consecutive late or missing answers after which a neighbour is logged.
	loggedFailures = 3
	// maxLogLines is the largest number of lines that one instance logs.
	maxLogLines = 200
	// maxRemembered is the largest number of called numbers stored as busy, and of those stored with a first
	// try.
	maxRemembered = 4096
	// busyNumberTime is how long calls to a number whose lines are all busy are refused.
	busyNumberTime = 2 * time.Second
	// meanValueWindow is about the number of calls offered in the moving average of their value.
	meanValueWindow = 100
)

// Timer tokens.
const (
	// tokenQueueTimer serves the wait queue.
	tokenQueueTimer uint64 = iota
	// tokenSubscribe repeats a failed subscription.
	tokenSubscribe
)

// New returns the controller of one instance. The seed determines its random choices.
func New(s Settings, seed uint64) *Controller {
	c := &Controller{settings: s, randState: seed, calls: map[CallID]*call{},
		firstTries: map[uint64]time.Duration{}, busyUntil: map[uint64]time.Duration{},
		processors: map[ExchangeID]*processor{}, neighbours: map[int]*neighbour{}, minTarget: math.MaxInt64,
		tenantBuckets: make([]tokenBucket, len(s.Tenants))}
	c.classBand, c.bandCount = holdTimeBands(s.Classes)
	for i := range s.Classes {
		c.maxWidth = max(c.maxWidth, s.Classes[i].Width)
		c.minTarget = min(c.minTarget, s.Classes[i].SetupTarget)
	}
	c.meanValue, c.tandemSuccess = s.Classes[0].Value, 1
	return c
}

// Feed handles one event and returns the resulting actions in order. If now is earlier than at the last
// event, the time of the last event is used.
func (c *Controller) Feed(now time.Duration, ev Event) []Action {
	c.now, c.actions = max(c.now, now), nil
	c.commonWait = c.medianWait()
	switch e := ev.(type) {
	case ListUpdate:
		c.onListUpdate(e)
	case Offer:
		c.onOffer(e)
	case AttemptAnswered:
		c.onStanding(e)
	case AttemptEnded:
		c.onAttemptEnded(e)
	case CallerAbandoned:
		if k := c.calls[e.Call]; k != nil {
			c.conclude(k)
		}
	case ReportReceived:
		c.onReport(e)
	case TimerExpired:
		c.onTimerExpired(e.Token)
	}
	return c.actions
}

func (c *Controller) onOffer(e Offer) {
	if c.calls[e.Call] != nil {
		return
	}
	class := e.Class
	if class < 0 || class >= len(c.settings.Classes) {
		class = 0
	}
	cl := &c.settings.Classes[class]
	k := &call{id: e.Call, class: class, width: e.Width, dest: e.Dest, calledNumber: e.CalledNumber,
		advisedTandem: e.AdvisedTandem, transit: e.Transit, arrived: c.now, firstTry: c.now,
		deadline: c.now + e.Patience, value: cl.Value}
	if k.width < 1 {
		k.width = cl.Width
	}
	c.calls[k.id] = k
	k.value *= c.quotaFactor(e)
	if first, known := c.firstTries[k.calledNumber]; known && !k.transit &&
		(e.Redial || !c.settings.RedialsMarked) {
		k.firstTry = first
	}
	if k.late(c.now, cl.SetupTarget) && !e.WasCut {
		k.value *= cl.LateValue
	}
	if to := c.neighbours[k.dest]; to != nil {
		c.countOffered(to, class)
	}
	if !k.transit && c.busyUntil[k.calledNumber] > c.now {
		c.refuse(k)
		return
	}
	if e.Patience < answerMargin { // its time ran out before it arrived; only an immediate answer is in time
		c.refuse(k)
		return
	}
	if k.dest == c.settings.OwnExchange && c.settings.DeliverLocal {
		c.deliverLocal(k)
		return
	}
	if k.transit {
		c.sendTransit(k)
		return
	}
	c.meanValue += (k.value - c.meanValue) / meanValueWindow
	c.route(k)
}

func (c *Controller) onStanding(e AttemptAnswered) {
	k := c.calls[e.Call]
	if k == nil || k.nextHop == nil || k.attempts != e.Attempt+1 {
		return
	}
	k.standing, k.concluded = true, true
	k.nextHop.removeOutstanding(k)
	if !k.isTandem {
		c.recordAnswer(k.nextHop, e.Took)
	} else if to := c.neighbours[k.dest]; to != nil {
		to.promoteTandem(k.nextHop)
		c.tandemSuccess += (1 - c.tandemSuccess) / tandemSuccessWindow
	}
}

func (c *Controller) onAttemptEnded(e AttemptEnded) {
	c.applyReport(e.Exchange, e.Report)
	k := c.calls[e.Call]
	if k == nil || k.nextHop == nil || k.attempts != e.Attempt+1 {
		return
	}
	to, wasStanding := k.nextHop, k.standing
	c.releaseCircuits(k)
	if e.Concluded {
		k.concluded = true
	}
	if !wasStanding {
		c.learnFromFailure(to, k, e)
	}
	if k.concluded {
		delete(c.calls, k.id)
		c.serveQueue()
		return
	}
	switch e.Outcome {
	case TimedOut, Cut, Cancelled:
		k.notBefore = c.now + c.settings.ReleaseWait
	}
	if mayHaveRun(e.Outcome) && k.possibleRunOn == nil {
		k.possibleRunOn, k.possibleRunSentAt = k.processor, k.sentAt
	}
	c.handleFailure(k, e)
}

// handleFailure decides what follows a failed attempt: the next route if one may succeed, otherwise a refusal
// at once.
func (c *Controller) handleFailure(k *call, e AttemptEnded) {
	switch {
	case e.Outcome == Busy && e.Cause == LinesBusy:
		c.markNumberBusy(k)
		c.refuse(k)
	case k.transit:
		c.refuse(k)
	case e.Outcome == NotSent && e.Cause != NoCircuit: // own processor down, or no time left
		c.refuse(k)
	case e.Outcome == Busy && !k.late(c.now, c.settings.Classes[k.class].SetupTarget):
		// A signalling fault: another attempt may succeed.
		c.route(k)
	case !k.isTandem && !c.settings.Pools && (e.Outcome != NotSent && e.Cause != NoCircuit):
		c.refuse(k) // the destination does not respond or is full, and every other route ends there too
	case k.isTandem && (e.Cause == TandemRejectedFull):
		c.refuse(k)
	default:
		c.route(k)
	}
}

// ---- The ordinary path: hold-time bands, the direct route, then the pair's tandems.

// holdTimeBands sorts the classes into bands by hold time: band i holds those of 2^i to 2^(i+1) times the
// shortest. It returns the band of each class and the number of bands.
func holdTimeBands(classes []Class) (band []int, n int) {
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	for _, cl := range classes {
		shortest, longest = min(shortest, cl.HoldTime), max(longest, cl.HoldTime)
	}
	n = max(1, int(math.Ceil(log2Ratio(longest, shortest))))
	for _, cl := range classes {
		band = append(band, min(n-1, int(log2Ratio(cl.HoldTime, shortest))))
	}
	return band, n
}

// log2Ratio returns log2 of a ratio of configured hold times. A ratio within holdTimeTolerance of a
// power of two counts as that power; otherwise the number of bands could depend on the last digit configured.
func log2Ratio(long, short time.Duration) float64 {
	x := math.Log2(float64(long) / float64(short))
	if r := math.Round(x); math.Abs(x-r) <= holdTimeTolerance {
		return r
	}
	return x
}

// countOffered updates the decayed count of calls offered to a neighbour, by class.
func (c *Controller) countOffered(n *neighbour, class int) {
	weight := decay(c.now-n.offeredAt, offeredHalfLife)
	for i := range n.offered {
		n.offered[i] *= weight
	}
	n.offered[class]++
	n.callsOffered++
	n.offeredAt = c.now
}

// bandShares divides a group's circuits among the bands in proportion to calls offered times hold time.
// Until a call has been offered, all circuits are in the first band, which every call may use.
func (c *Controller) bandShares(n *neighbour) []float64 {
	share, sum := make([]float64, c.bandCount), 0.0
	for i, cl := range c.settings.Classes {
		load := n.offered[i] * cl.HoldTime.Seconds()
		share[c.classBand[i]] += load
		sum += load
	}
	if sum == 0 {
		share[0], sum = 1, 1
	}
	for i := range share {
		share[i] *= n.size / sum
	}
	return share
}

// bandCapacity returns the free capacity of each band up to that of the class, which is last.
func (c *Controller) bandCapacity(n *neighbour, class int) []float64 {
	capacity := c.bandShares(n)[:c.classBand[class]+1]
	for i := range capacity {
		capacity[i] = max(0, capacity[i]-n.bandUsed[i])
	}
	return capacity
}

// fitsDirectGroup reports whether a call may take circuits of its direct group. While many are free, any call
// may; near a full group, only calls for which the bands up to their own have capacity. A class in the last
// band may use all free circuits. The reported free circuits are the limit in any case, as this proxy knows
// only its own calls.
func (c *Controller) fitsDirectGroup(n *neighbour, k *call) bool {
	if n.free < 0 {
		return true // not reported yet
	}
	w := float64(k.width)
	if n.free < w || c.lowValue(k) && !c.fitsTransitLeg(n, k) {
		return false
	}
	if c.bandCount == 1 || n.free >= float64(c.maxWidth)+c.reserve(n) {
		return true
	}
	capacity := 0.0
	for _, free := range c.bandCapacity(n, k.class) {
		capacity += free
	}
	return math.Min(capacity, n.free) >= w
}

// lowValue reports whether a call's value is so low that it gets neither the last circuits of its group nor a
// tandem. Deviates from the design: near a full group it affects redials past their set-up target.
func (c *Controller) lowValue(k *call) bool {
	return k.value < lowValueShare*c.settings.Classes[k.class].Value
}

// reserve returns the number of circuits of a group that transit calls and tandem legs must leave free: at
// least one.
func (c *Controller) reserve(n *neighbour) float64 {
	wanted := float64(c.maxWidth) + reserveRootFactor*math.Sqrt(max(0, n.size))
	return max(1, math.Floor(min(wanted, maxReserveShare*n.size)))
}

// fitsTransitLeg reports whether a group has circuits for a call beyond its reserve, as transit calls and
// tandem legs need.
func (c *Controller) fitsTransitLeg(n *neighbour, k *call) bool {
	return n.free >= float64(k.width)+c.reserve(n)
}

// route sends a call by its next route, queues it or refuses it. A call also queues behind one for the same
// destination that goes first.
func (c *Controller) route(k *call) {
	to := c.neighbours[k.dest]
	if to == nil || k.attempts >= c.settings.MaxAttempts || !c.mayRepeat(k) ||
		k.dest == c.settings.OwnExchange {
		c.refuse(k)
		return
	}
	if k.notBefore > c.now || c.queuedAhead(k, to) || !c.trySend(k, to) {
		c.enqueue(k)
	}
}

// trySend sends a call by the direct route or a tandem, or refuses it because of overload. It returns false
// if it did neither.
func (c *Controller) trySend(k *call, to *neighbour) bool {
	if c.usable(to) && c.maySendTo(k, to.processor) {
		if c.fitsDirectGroup(to, k) {
			if !c.admits(k, to) {
				c.refuse(k) // every route ends at the same processor
			} else if !c.slowStartAllows(to) {
				return false
			} else {
				c.send(k, to, false)
			}
			return true
		}
	} else if !c.settings.Pools {
		return false // the destination has no processor that may take the call, by any route
	}
	t := c.chooseTandem(k, to)
	if t != nil {
		c.send(k, t, true)
	}
	return t != nil
}

// chooseTandem returns the tandem to try next: the first in order that can be tried, or nil. Deviates from
// the design in two ways. After a tandem attempt has failed, or if no tandem in order can be tried, the
// advised tandem is taken. And while most tandem attempts fail, overflow of a direct group takes an unproven
// tandem only if hardly any wait is expected, because the work of failed attempts adds to congestion; the
// cost is calls lost where an unproven tandem has free capacity. A destination without a direct group relies
// on tandems, so its calls accept a longer wait than overflow does.
func (c *Controller) chooseTandem(k *call, to *neighbour) *neighbour {
	maxShare := unloadedShare
	if to.size <= 0 {
		maxShare = plannedTandemShare
	}
	if c.lowValue(k) || len(k.triedTandems) >= maxTandems || !c.settings.Pools && c.coldOrSlow(to, maxShare) {
		return nil
	}
	tryAny := to.size <= 0 || c.tandemSuccess >= minTandemSuccess
	tandems, tryUnproven := c.tandemsTo(to),
		tryAny || c.settings.Pools || !c.coldOrSlow(to, unprovenTandemShare)
	var advised *neighbour
	if i := to.tandemIndex(k.advisedTandem); i >= 0 && c.tandemUsable(k, tandems[i].via, maxShare) {
		advised = tandems[i].via
	}
	if advised != nil && len(k.triedTandems) > 0 {
		return advised
	}
	for _, t := range tandems {
		share := maxShare
		if !t.lastSucceeded && !tryAny {
			share = unprovenTandemShare
		}
		skipped := t.skipUntil > c.now && t.skipUntilCall > to.callsOffered
		if !skipped && (t.lastSucceeded || tryUnproven) && c.tandemUsable(k, t.via, share) {
			return t.via
		}
	}
	return advised
}

// tandemsTo returns the tandems for calls to a destination, in an order hashed from the pair of exchanges. A
// tandem that carried a call has moved to the front. Deviates from the design: only an attempt shows whether
// a tandem's second leg has free circuits, and where few have, the tandem that last carried a call is the
// best choice.
func (c *Controller) tandemsTo(to *neighbour) []*tandem {
	if to.tandems == nil {
		for _, n := range c.byNumber {
			if n != to && n.number != c.settings.OwnExchange {
				to.tandems = append(to.tandems, &tandem{via: n})
			}
		}
		rank := func(t *tandem) uint64 {
			return mix64(uint64(c.settings.OwnExchange+1)<<40 ^ uint64(to.number)<<20 ^ uint64(t.via.number))
		}
		slices.SortFunc(to.tandems, func(a, b *tandem) int { return cmp.Compare(rank(a), rank(b)) })
	}
	return to.tandems
}

// tandemUsable reports whether a tandem can be tried for a call: it takes set-ups and was not tried before,
// its processor is neither cold nor slower than maxShare, and the leg to it keeps its reserve.
func (c *Controller) tandemUsable(k *call, t *neighbour, maxShare float64) bool {
	return (!c.settings.Pools || c.poolServesClass(k.class, t.number)) && c.usable(t) &&
		c.fitsTransitLeg(t, k) && c.maySendTo(k, t.processor) && !slices.Contains(k.triedTandems, t) &&
		!c.coldOrSlow(t, maxShare)
}

// send sends a call to a neighbour, as its destination or as a tandem, and takes circuits of the group to it.
func (c *Controller) send(k *call, to *neighbour, tandem bool) {
	k.nextHop, k.processor, k.isTandem, k.sentAt = to, to.processor, tandem, c.now
	k.attempts++
	var timeout time.Duration
	if tandem {
		k.triedTandems = append(k.triedTandems, to)
		timeout = min(k.deadline-c.now,
			time.Duration(tandemTimeout*float64(c.settings.Classes[k.class].SetupTarget)))
	} else if c.settings.ResendAfter == 0 { // a lost set-up stays lost: waiting longer cannot help
		timeout = min(k.deadline-c.now,
			time.Duration(directTimeout*float64(c.settings.Classes[k.class].SetupTarget)))
	}
	c.bookCircuits(to, k)
	to.outstanding = append(to.outstanding, k)
	to.recentSetups, to.recentSetupsAt =
		to.recentSetups*decay(c.now-to.recentSetupsAt, setupRateHalfLife)+1, c.now
	c.actions = append(c.actions, SetUp{Call: k.id, Exchange: to.processor.id, Timeout: timeout})
}

// bookCircuits takes a call's circuits from the bands of a group: from its own band first, then from those of
// shorter hold times; any rest is counted in its own.
func (c *Controller) bookCircuits(n *neighbour, k *call) {
	w := float64(k.width)
	k.bandCircuits = make([]float64, c.bandCount)
	capacity := c.bandCapacity(n, k.class)
	for i := len(capacity) - 1; i >= 0 && w > 0; i-- {
		take := min(w, math.Floor(capacity[i]))
		k.bandCircuits[i] += take
		w -= take
	}
	k.bandCircuits[c.classBand[k.class]] += w
	for i := range k.bandCircuits {
		n.bandUsed[i] += k.bandCircuits[i]
	}
	if n.free >= 0 {
		n.free = max(0, n.free-float64(k.width))
	}
}

// sendTransit sends a transit call to its destination at once, or rejects it.
func (c *Controller) sendTransit(k *call) {
	to := c.neighbours[k.dest]
	if to == nil || k.dest == c.settings.OwnExchange || !c.usable(to) || !c.fitsTransitLeg(to, k) ||
		!c.admits(k, to) || !c.slowStartAllows(to) {
		c.refuse(k)
		return
	}
	c.send(k, to, false)
}

// deliverLocal sends a call for the own exchange to the own processor, which is reached without a trunk
// group. It is tried once. The slow-start limit does not apply to a transit call, which its sender has
// counted against it.
func (c *Controller) deliverLocal(k *call) {
	own := c.neighbours[k.dest]
	if own == nil || own.processor == nil || !k.transit && !c.slowStartAllows(own) {
		c.refuse(k)
		return
	}
	c.send(k, own, false)
}

// ---- Wait queue. Deviates from the design: a call that no route takes waits for a circuit or for the
// slow-start limit as long as it can still be set up within its target. The most valuable call goes first.

// enqueue puts a call into the wait queue unless it is there already, or refuses it if it is past its queue
// deadline.
func (c *Controller) enqueue(k *call) {
	if c.now >= c.queueDeadline(k) || c.neighbours[k.dest] == nil {
		c.refuse(k)
		return
	}
	if !k.queued {
		k.queued = true
		i, _ := slices.BinarySearchFunc(c.waitQueue, k, c.compareQueued)
		c.waitQueue = slices.Insert(c.waitQueue, i, k)
	}
	if !c.queueTimerRunning {
		c.queueTimerRunning = true
		c.actions = append(c.actions, Timer{After: queueInterval, Token: tokenQueueTimer})
	}
}

// compareQueued orders queued calls: highest value per circuit and second first, then the widest, then the
// oldest.
func (c *Controller) compareQueued(a, b *call) int {
	if da, db := c.valueDensity(a), c.valueDensity(b); da != db {
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

// valueDensity returns a call's value per circuit and second of hold time.
func (c *Controller) valueDensity(k *call) float64 {
	return k.value / (float64(k.width) * c.settings.Classes[k.class].HoldTime.Seconds())
}

// queueDeadline returns the last time at which a queued call can be sent to be set up within queueTimeShare
// of its target. A call that was sent before has at least until shortly after its release guard.
func (c *Controller) queueDeadline(k *call) time.Duration {
	target := c.settings.Classes[k.class].SetupTarget
	at := k.arrived + time.Duration(queueTimeShare*float64(target)) - c.neighbours[k.dest].minSetup
	if k.attempts > 0 {
		at = max(at, k.notBefore+2*queueInterval)
	}
	return min(at, k.deadline-answerMargin)
}

// queuedAhead reports whether the queue holds a call to the same destination that goes first.
func (c *Controller) queuedAhead(k *call, to *neighbour) bool {
	for _, w := range c.waitQueue {
		if w != k && w.dest == to.number && w.notBefore <= c.now && c.compareQueued(w, k) < 0 {
			return true
		}
	}
	return false
}

// serveQueue sends the queued calls that can be sent and refuses those past their queue deadline. Once a call
// cannot be sent, later ones to the same destination wait behind it.
func (c *Controller) serveQueue() {
	if len(c.waitQueue) == 0 {
		return
	}
	list := slices.Clone(c.waitQueue)
	blocked := map[int]bool{}
	for _, k := range list {
		to := c.neighbours[k.dest]
		if k.notBefore <= c.now && !blocked[k.dest] {
			if c.trySend(k, to) {
				if k.queued {
					c.dequeue(k)
				}
				continue
			}
			blocked[k.dest] = true
		}
		if c.now >= c.queueDeadline(k) {
			c.refuse(k)
		}
	}
}

// ---- Guard: exchange list. From the moment an exchange is listed as draining or removed it gets no new
// set-up, not even of a queued call, so that no call is cut when it stops. The cost: refused calls if the
// list is wrong.

func (c *Controller) onListUpdate(e ListUpdate) {
	if e.Kind == ListFailed {
		c.subscribeFailures++
		wait := min(time.Second<<min(c.subscribeFailures-1, 4),
			max(c.settings.MaxSubscribeInterval/2, time.Second))
		c.actions = append(c.actions, Timer{After: wait/2 + c.jitter(wait/2), Token: tokenSubscribe})
		return
	}
	if e.Kind == ListCached && c.settings.Subscribe {
		c.actions = append(c.actions, Subscribe{})
	} else {
		c.subscribeFailures = 0
	}
	if e.Kind != ListChanges {
		for _, x := range c.processors {
			x.phase = Removed
		}
	}
	for _, entry := range e.Entries {
		x := c.processors[entry.Exchange]
		if x == nil {
			x = &processor{id: entry.Exchange}
			c.processors[entry.Exchange] = x
		}
		x.number, x.zone, x.phase, x.started = entry.Number, entry.Zone, entry.Phase, entry.Started
		c.neighbourFor(entry.Number)
	}
	c.chooseProcessors()
	c.serveQueue()
}

// chooseProcessors selects, for each exchange number, the ready processor that started last. A change of
// processor resets the estimated wait and the slow-start budget.
func (c *Controller) chooseProcessors() {
	ids := make([]ExchangeID, 0, len(c.processors))
	for id := range c.processors {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	best := map[int]*processor{}
	for _, id := range ids {
		x := c.processors[id]
		if x.phase == Removed {
			delete(c.processors, id) // otherwise removed processors would accumulate
		}
		if b := best[x.number]; x.phase == Ready && (b == nil || x.started > b.started) {
			best[x.number] = x
		}
	}
	for _, n := range c.byNumber {
		if b := best[n.number]; b != n.processor {
			n.processor, n.estimate = b, waitEstimate{}
			n.slowStartBudget = tokenBucket{float64(c.jitter(time.Second)) / float64(time.Second), c.now}
		}
	}
}

// usable reports whether a neighbour has a ready processor and is not the own exchange.
func (c *Controller) usable(n *neighbour) bool {
	return n.processor != nil && n.processor.phase == Ready && n.number != c.settings.OwnExchange
}

// ---- Guard: slow start. Each proxy limits its set-ups to a processor that has just started: to its usual
// rate, times the processor's assumed share of capacity at its age, times slowStartShare of the overload
// multiple. The usual rates of all proxies together fit a warm processor, so all proxies together stay below
// the overload multiple, however traffic is distributed. If a processor warms up more slowly, the overload
// guard applies. The cost: lost capacity where usual rates are not known yet and are derived from the size of
// the group.

// cold reports whether a processor is within ColdDuration of its start.
func (c *Controller) cold(x *processor) bool {
	return x != nil && x.started > 0 && c.now < x.started+c.settings.ColdDuration
}

// slowStartRate returns the set-ups per second that this proxy may send to a cold processor.
func (c *Controller) slowStartRate(x *processor, usual float64) float64 {
	age := float64(c.now-x.started) / float64(c.settings.ColdDuration)
	return usual * max(1, slowStartShare*c.settings.OverloadMultiple) *
		(c.settings.ColdCapacity + (1-c.settings.ColdCapacity)*max(0, age))
}

// slowStartAllows takes one set-up from a cold processor's slow-start budget and reports whether there was
// one; warm processors have no limit. The budget starts at a random level below one set-up, so that the
// proxies do not all send their first set-up at the same time.
func (c *Controller) slowStartAllows(n *neighbour) bool {
	if !c.cold(n.processor) {
		return true
	}
	rate := c.slowStartRate(n.processor, c.usualRate(n))
	return n.slowStartBudget.take(c.now, rate, 1+min(1, rate))
}

// usualRate returns the set-up rate to a neighbour without overload, per second: the observed rate, but at
// least half and at most twice the planned rate, which keeps half of the group's circuits busy with calls of
// class 0.
func (c *Controller) usualRate(n *neighbour) float64 {
	planned := max(1, n.size) /
		(2 * c.settings.Classes[0].HoldTime.Seconds() * float64(c.settings.Classes[0].Width))
	rate := n.recentSetups * decay(c.now-n.recentSetupsAt, setupRateHalfLife) * math.Ln2 /
		setupRateHalfLife.Seconds()
	return max(min(rate, 2*planned), planned/2)
}

// ---- Guard: overload. The time that a set-up takes beyond the shortest one is the wait at the processors on
// its path. The longer the expected set-up time, the more calls are refused early, the least valuable first;
// above a limit, only spaced probe calls are sent. This covers slow, hung, crashed, disconnected and
// congested processors alike, including the own one, with or without load reports. The cost: after an answer
// that was slow by chance, some calls are refused until the next answer.

// estimatedWait returns the estimated wait on the path to a neighbour, in seconds: the wait that its last
// answers showed, which decays towards the common wait with waitHalfLife. The common wait is due to the own
// processor or to congestion everywhere.
func (c *Controller) estimatedWait(e *waitEstimate) float64 {
	weight := decay(c.now-e.updatedAt, waitHalfLife)
	return weight*e.wait + (1-weight)*c.commonWait
}

// recordWait updates an estimate, and the samples of the common wait, with the wait that an answer showed, in
// seconds.
func (c *Controller) recordWait(e *waitEstimate, wait float64) {
	e.wait, e.updatedAt = newestWeight*wait+(1-newestWeight)*c.estimatedWait(e), c.now
	c.samples[c.sampleCount%len(c.samples)] = waitSample{wait, c.now}
	c.sampleCount++
}

// raiseWait raises the estimated wait to at least wait seconds.
func (c *Controller) raiseWait(e *waitEstimate, wait float64) {
	e.wait, e.updatedAt = max(wait, c.estimatedWait(e)), c.now
}

// medianWait returns the common wait: the median of the recent wait samples from all neighbours, in seconds,
// or 0 if there are fewer than minSamples. It is high if the own processor or most others are congested, low
// if only some are.
func (c *Controller) medianWait() float64 {
	var buf [maxSamples]float64
	recent := buf[:0]
	for _, s := range c.samples {
		if s.at > 0 && c.now-s.at < sampleLifetime {
			recent = append(recent, s.wait)
		}
	}
	if len(recent) < minSamples {
		return 0
	}
	slices.Sort(recent)
	return recent[len(recent)/2]
}

// expectedSetup returns the time in seconds that a set-up sent to a neighbour now is expected to take: the
// shortest set-up time, plus the estimated wait or, if longer, the time that the oldest outstanding set-up
// has waited, plus a part for each further outstanding one, since all senders may take a neighbour for idle
// at once and overload it before its first answer. Set-ups sent before an answered one are left out, as they
// were lost.
func (c *Controller) expectedSetup(n *neighbour) float64 {
	wait := c.estimatedWait(&n.estimate)
	waiting := 0
	for _, k := range n.outstanding {
		if k.sentAt >= n.lastAnsweredSent {
			wait = max(wait, (c.now - k.sentAt - n.minSetup).Seconds())
			waiting++
		}
	}
	// At hundreds of set-ups per second, several are outstanding at any time without any wait, so each adds
	// no more than the usual interval between two set-ups.
	each := min(outstandingCost*c.minTarget.Seconds(), 1/c.usualRate(n))
	return n.minSetup.Seconds() + wait + each*float64(max(0, waiting-1))
}

// overloadLevel returns how overloaded a route is for a call of this target and value: 0 or less is not at
// all, from 1 on only probe calls are sent.
func (c *Controller) overloadLevel(n *neighbour, target time.Duration, value float64) float64 {
	x := c.expectedSetup(n)/target.Seconds() - unloadedShare
	if c.meanValue > 0 {
		value /= c.meanValue
	}
	return x / (overloadRange * min(maxValueFactor, max(minValueFactor, value)))
}

// coldOrSlow reports whether a neighbour's processor is cold or its expected set-up time exceeds a share of
// the shortest set-up target.
func (c *Controller) coldOrSlow(n *neighbour, share float64) bool {
	return c.cold(n.processor) || c.expectedSetup(n) > share*c.minTarget.Seconds()
}

// admits reports whether overload control lets a call through to its destination, normally or as a probe
// call. Below level 1 it refuses a random share of calls equal to the level.
func (c *Controller) admits(k *call, to *neighbour) bool {
	level := c.overloadLevel(to, c.settings.Classes[k.class].SetupTarget, k.value)
	if level <= 0 || level < 1 && float64(c.jitter(time.Second)) >= level*float64(time.Second) {
		return true
	}
	if c.lowValue(k) || c.now < max(to.estimate.nextProbe, c.nextProbe) {
		return false
	}
	to.estimate.nextProbe = c.now + probeInterval<<min(to.estimate.failures, maxProbeDoublings)
	c.nextProbe = c.now + globalProbeInterval<<min(c.failures, maxProbeDoublings)
	return true
}

// recordAnswer updates a neighbour's estimate after a set-up to it was answered. An answer after more than
// the shortest set-up target counts as a failure.
func (c *Controller) recordAnswer(n *neighbour, took time.Duration) {
	if n.minSetup == 0 { // a proxy that starts during congestion must not take a slow answer for normal
		n.minSetup = min(took, time.Duration(unloadedShare*float64(c.minTarget)))
	}
	n.minSetup, n.lastAnsweredSent = min(n.minSetup, took), max(n.lastAnsweredSent, c.now-took)
	c.recordWait(&n.estimate, (took - n.minSetup).Seconds())
	if took > c.minTarget {
		c.recordFailure(n)
		return
	}
	if n.estimate.failures >= loggedFailures {
		c.logLine("exchange %d answers again", n.number)
	}
	n.estimate.failures, c.failures = 0, 0
}

// logLine logs a line about an exchange, unless maxLogLines have been logged.
func (c *Controller) logLine(format string, number int) {
	if c.logLines++; c.logLines <= maxLogLines {
		c.actions = append(c.actions, LogLine{fmt.Sprintf(format, number)})
	}
}

// recordFailure counts a late or missing answer. Each one lengthens the pause between probe calls, as in
// heavy congestion, also of the own processor, the probe calls themselves would prolong it.
func (c *Controller) recordFailure(n *neighbour) {
	n.estimate.failures, c.failures = n.estimate.failures+1, c.failures+1
	if n.estimate.failures == loggedFailures {
		c.logLine("exchange %d is late or does not answer; sending only probe calls", n.number)
	}
}

// learnFromFailure updates the estimates after an attempt that failed.
func (c *Controller) learnFromFailure(to *neighbour, k *call, e AttemptEnded) {
	dest := to
	if k.isTandem {
		if dest = c.neighbours[k.dest]; dest == nil {
			return
		}
	}
	switch {
	case e.Outcome == NotSent && e.Cause == NoCircuit:
		to.free = 0 // also if no group was ever reported, since there may be none
	case e.Cause == TandemRejectedFull, e.Outcome == Rejected && e.Cause == ProcessorFull && !k.isTandem:
		c.raiseWait(&dest.estimate, fullProcessorWait*c.minTarget.Seconds())
	case e.Outcome == Rejected && e.Cause == ProcessorFull:
		c.raiseWait(&to.estimate, fullProcessorWait*c.minTarget.Seconds())
	case k.isTandem && (e.Outcome == Rejected || e.Outcome == TimedOut):
		dest.skipTandem(to, c.now+tandemSkipTime, dest.callsOffered+tandemSkipCalls)
		c.tandemSuccess -= c.tandemSuccess / tandemSuccessWindow
	case e.Outcome == TimedOut && !k.isTandem && k.sentAt < to.lastAnsweredSent:
		// The set-up or its answer was lost, since a later set-up was answered.
	case e.Outcome == TimedOut, e.Outcome == Unreachable:
		c.raiseWait(&to.estimate, max(c.minTarget, e.Took).Seconds())
		c.recordFailure(to)
	}
}

func (c *Controller) onReport(e ReportReceived) {
	c.applyReport(e.Exchange, e.Report)
	c.serveQueue()
}

// applyReport updates a group's free and total circuits from a load report. Its other fields are not used.
func (c *Controller) applyReport(id ExchangeID, r Report) {
	x := c.processors[id]
	if x == nil {
		return
	}
	if n := c.neighbours[x.number]; n != nil && r.Free >= 0 {
		n.free = r.Free
		if r.Size >= 0 {
			n.size = r.Size
		}
	}
}

// ---- Guard: repeats of calls that must not run twice.

// mayRepeat reports whether a call may be sent, or sent again, at all.
func (c *Controller) mayRepeat(k *call) bool {
	return k.possibleRunOn == nil || c.settings.Classes[k.class].Repeat != RepeatUnsafe
}

// maySendTo reports whether a call may be sent to a processor, given where it may have run before.
func (c *Controller) maySendTo(k *call, x *processor) bool {
	cl := &c.settings.Classes[k.class]
	if k.possibleRunOn == nil || cl.Repeat == RepeatSafe {
		return true
	}
	if cl.Repeat == RepeatUnsafe || c.now >= k.possibleRunSentAt+cl.KeyWindow {
		return false
	}
	switch cl.KeyScope {
	case ScopeZone:
		return x.zone == k.possibleRunOn.zone
	case ScopeExchange:
		return x.number == k.possibleRunOn.number
	}
	return true
}

// mayRefuse reports whether a call may get Refuse, after which its caller may redial: it cannot have run, it
// can safely run twice, or its repeats are discarded everywhere.
func (c *Controller) mayRefuse(k *call) bool {
	cl := &c.settings.Classes[k.class]
	return k.possibleRunOn == nil || cl.Repeat == RepeatSafe ||
		cl.Repeat == RepeatKeyed && cl.KeyScope == ScopeAll
}

// refuse gives a call its final answer: Refuse, or Fail if it may have run or its deadline has passed. The
// retry-after time is randomised so that callers do not redial together.
func (c *Controller) refuse(k *call) {
	if k.queued {
		c.dequeue(k)
	}
	delete(c.calls, k.id)
	c.rememberFirstTry(k)
	if !c.mayRefuse(k) || c.now >= k.deadline {
		c.actions = append(c.actions, Fail{k.id})
		return
	}
	var retryAfter time.Duration
	if c.settings.SendRetryAfter && !k.transit {
		retryAfter = c.settings.MaxRetryAfter - c.jitter(c.settings.MaxRetryAfter/5)
	}
	c.actions = append(c.actions, Refuse{k.id, retryAfter})
}

// markNumberBusy makes calls to a number whose lines are all busy be refused at once for busyNumberTime. When
// many callers dial one number, each further set-up would cost the processors on its path. The cost: if a
// line becomes free sooner, the next call to that number waits longer.
func (c *Controller) markNumberBusy(k *call) {
	if len(c.busyUntil) >= maxRemembered {
		clear(c.busyUntil)
	}
	if k.calledNumber != 0 {
		c.busyUntil[k.calledNumber] = c.now + busyNumberTime
	}
}

// rememberFirstTry stores the time of a refused or failed call's first try, for its caller's redials.
func (c *Controller) rememberFirstTry(k *call) {
	if k.transit || k.calledNumber == 0 {
		return
	}
	if len(c.firstTries) >= maxRemembered {
		clear(c.firstTries) // the only effect is that redials count as new calls
	}
	c.firstTries[k.calledNumber] = k.firstTry
}

// conclude ends a call that needs no final answer any more. An outstanding attempt keeps its circuits until
// it ends.
func (c *Controller) conclude(k *call) {
	k.concluded = true
	if k.queued {
		c.dequeue(k)
	}
	if k.nextHop == nil {
		delete(c.calls, k.id)
	}
}

func (c *Controller) onTimerExpired(token uint64) {
	switch token {
	case tokenSubscribe:
		c.actions = append(c.actions, Subscribe{})
	case tokenQueueTimer:
		c.queueTimerRunning = false
		c.serveQueue()
		if len(c.waitQueue) > 0 {
			c.queueTimerRunning = true
			c.actions = append(c.actions, Timer{After: queueInterval, Token: tokenQueueTimer})
		}
	}
}

// quotaFactor returns the share of its class's value that a call has: less over its tenant's quota. A proxy
// sees only its own part of a tenant's calls and allows it an equal part of the quota, so a call over that
// part is reduced only half way to OverQuotaValue.
func (c *Controller) quotaFactor(e Offer) float64 {
	if e.Tenant < 0 || e.Tenant >= len(c.tenantBuckets) || c.settings.Tenants[e.Tenant].Quota <= 0 ||
		e.Transit {
		return 1
	}
	rate := c.settings.Tenants[e.Tenant].Quota / float64(c.settings.Proxies)
	if c.tenantBuckets[e.Tenant].take(c.now, rate, max(2, 3*rate)) {
		return 1
	}
	return (1 + c.settings.OverQuotaValue) / 2
}

// poolServesClass reports whether calls of a class may be sent to a pool.
func (c *Controller) poolServesClass(class, pool int) bool {
	return slices.Contains(c.settings.ClassPools[class], pool)
}

// mayHaveRun reports whether a set-up may have run at its destination, given its outcome.
func mayHaveRun(o Outcome) bool {
	return o != Rejected && o != Unreachable && o != NotSent
}
