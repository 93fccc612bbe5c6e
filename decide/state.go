package decide

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// This file holds the state of the Controller and operations on it. The decisions are in decide.go.

// Controller decides for one proxy. It is not safe for concurrent use.
type Controller struct {
	settings   Settings
	now        time.Duration
	randState  uint64
	actions    []Action // of the event being handled
	calls      map[CallID]*call
	processors map[ExchangeID]*processor
	neighbours map[int]*neighbour // by exchange number; an entry stays when its processor is replaced
	byNumber   []*neighbour       // by rising exchange number: the order of every iteration

	classBand []int // hold-time band of each class
	bandCount int
	maxWidth  int
	minTarget time.Duration // shortest set-up target of any class

	waitQueue         []*call // queued calls, most valuable first, then oldest first
	queueTimerRunning bool    // a timer that serves the wait queue is running
	subscribeFailures int     // consecutive failures to subscribe
	tenantBuckets     []tokenBucket
	busyUntil         map[uint64]time.Duration // by called number: all its lines were busy; calls are refused until then
	firstTries        map[uint64]time.Duration // by called number: first try of its last rejected call

	meanValue     float64       // moving average over the own calls offered
	tandemSuccess float64       // moving average of the share of tandem attempts that succeed
	nextProbe     time.Duration // earliest time of the next probe call to any neighbour
	logLines      int           // lines written so far
	failures      int           // consecutive late or missing answers, over all neighbours
	samples       [maxSamples]waitSample
	sampleCount   int     // samples ever recorded
	commonWait    float64 // median of the recent wait samples, in seconds
}

// processor is one entry of the exchange list. An exchange has several while its processor is being replaced.
type processor struct {
	id      ExchangeID
	number  int
	zone    int
	phase   Phase
	started time.Duration
}

// neighbour is an exchange, or a pool, and the trunk group towards it. The own exchange has an entry too,
// without a group.
type neighbour struct {
	number           int
	processor        *processor // processor to send to, nil if none is listed
	free, size       float64    // free circuits and all circuits of the group; Unknown until reported
	bandUsed         []float64  // circuits taken by this proxy's calls, by hold-time band
	offered          []float64  // exponentially decayed count of calls offered, by class
	offeredAt        time.Duration
	callsOffered     int     // all calls ever offered
	outstanding      []*call // set-ups without an answer, oldest first
	estimate         waitEstimate
	minSetup         time.Duration // shortest time that a set-up took
	lastAnsweredSent time.Duration // time at which the newest answered set-up was sent
	recentSetups     float64       // exponentially decayed count of set-ups
	recentSetupsAt   time.Duration
	slowStartBudget  tokenBucket // set-ups that may be sent to its processor during slow start
	tandems          []*tandem   // tandems of calls to it, in order of choice; nil until needed
}

// tandem is the state of one second-choice route to a neighbour: over another exchange, or with
// Settings.Pools to another pool.
type tandem struct {
	via           *neighbour
	skipUntil     time.Duration // the tandem is skipped until this time, unless skipUntilCall ends that sooner
	skipUntilCall int           // the skip ends when the destination's callsOffered reaches this number
	lastSucceeded bool          // the last attempt over it succeeded
}

// call is a call that was offered to this proxy.
type call struct {
	id                CallID
	class             int
	width             int
	dest              int
	calledNumber      uint64
	advisedTandem     int
	transit           bool
	value             float64
	arrived           time.Duration
	firstTry          time.Duration // time of its caller's first try, as far as known
	deadline          time.Duration
	attempts          int
	triedTandems      []*neighbour
	nextHop           *neighbour // of the outstanding attempt or the standing call
	processor         *processor // that the last attempt was sent to
	isTandem          bool
	bandCircuits      []float64 // circuits that it takes in each band of the group to nextHop
	sentAt            time.Duration
	notBefore         time.Duration // earliest time of the next attempt
	concluded         bool          // needs no final answer any more
	standing          bool
	queued            bool
	possibleRunOn     *processor    // processor of the first attempt that may have run, nil if none
	possibleRunSentAt time.Duration // when that attempt was sent
}

// tokenBucket is a rate limit with bursts.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// waitEstimate is the estimated wait on the path to a neighbour, in seconds.
type waitEstimate struct {
	wait      float64
	updatedAt time.Duration
	failures  int           // consecutive late or missing answers
	nextProbe time.Duration // earliest time of the next probe call
}

// waitSample is the wait that one answer showed, in seconds.
type waitSample struct {
	wait float64
	at   time.Duration
}

func (n *neighbour) removeOutstanding(k *call) {
	n.outstanding = slices.DeleteFunc(n.outstanding, func(o *call) bool { return o == k })
}

// neighbourFor returns the neighbour with an exchange number. A missing one is added, with no group reported
// yet.
func (c *Controller) neighbourFor(number int) *neighbour {
	n := c.neighbours[number]
	if n == nil {
		n = &neighbour{number: number, free: Unknown, size: Unknown, bandUsed: make([]float64, c.bandCount),
			offered: make([]float64, len(c.settings.Classes))}
		c.neighbours[number] = n
		i, _ := slices.BinarySearchFunc(c.byNumber, n,
			func(a, b *neighbour) int { return a.number - b.number })
		c.byNumber = slices.Insert(c.byNumber, i, n)
		for _, o := range c.byNumber {
			o.tandems = nil // rebuilt with the new neighbour when next needed
		}
	}
	return n
}

// releaseCircuits detaches a call from the neighbour of its ended attempt: the set-up is no longer
// outstanding, and its circuits are free for the bands of the group.
func (c *Controller) releaseCircuits(k *call) {
	k.nextHop.removeOutstanding(k)
	for i := range k.bandCircuits {
		k.nextHop.bandUsed[i] -= k.bandCircuits[i]
	}
	k.nextHop, k.standing = nil, false
}

// dequeue removes a call from the wait queue.
func (c *Controller) dequeue(k *call) {
	k.queued = false
	c.waitQueue = slices.DeleteFunc(c.waitQueue, func(o *call) bool { return o == k })
}

// tandemIndex returns the index in n.tandems of the route over an exchange, or -1 if there is none.
func (n *neighbour) tandemIndex(via int) int {
	return slices.IndexFunc(n.tandems, func(t *tandem) bool { return t.via.number == via })
}

// promoteTandem moves a tandem that carried a call to n to the front of the order and ends its skip.
func (n *neighbour) promoteTandem(via *neighbour) {
	if i := n.tandemIndex(via.number); i >= 0 {
		t := n.tandems[i]
		t.skipUntil, t.lastSucceeded = 0, true
		copy(n.tandems[1:i+1], n.tandems[:i])
		n.tandems[0] = t
	}
}

// skipTandem skips a tandem of calls to n until a time or until callsOffered reaches untilCall, whichever
// comes first.
func (n *neighbour) skipTandem(via *neighbour, until time.Duration, untilCall int) {
	if i := n.tandemIndex(via.number); i >= 0 {
		t := n.tandems[i]
		t.skipUntil, t.skipUntilCall, t.lastSucceeded = until, untilCall, false
	}
}

// late reports whether the set-up target, counted from the caller's first try, has passed.
func (k *call) late(now, target time.Duration) bool { return now-k.firstTry >= target }

// take removes one token if there is one. The bucket fills with rate tokens per second, up to depth.
func (b *tokenBucket) take(now time.Duration, rate, depth float64) bool {
	b.tokens = min(depth, b.tokens+rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// decay returns the weight that remains of a value after age, for a given half-life.
func decay(age, half time.Duration) float64 {
	return math.Exp2(-age.Seconds() / half.Seconds())
}

func sign(x float64) int {
	if x < 0 {
		return -1
	}
	return 1
}

// jitter returns a random duration in [0, d), or 0 if d is not positive.
func (c *Controller) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	c.randState += 0x9e3779b97f4a7c15
	hi, _ := bits.Mul64(mix64(c.randState), uint64(d))
	return time.Duration(hi)
}

// mix64 is the finaliser of the SplitMix64 generator.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
