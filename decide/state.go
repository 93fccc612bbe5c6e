package decide

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// This file holds the state that decide.go keeps and arithmetic on it; it decides nothing.

// Controller decides for one proxy. It is not safe for concurrent use.
type Controller struct {
	s      Settings
	now    time.Duration
	rng    uint64
	out    []Action
	calls  map[CallID]*call
	listed map[ExchangeID]*exchange
	far    map[int]*neighbour // by number; kept when a processor is replaced
	order  []*neighbour       // by number, rising: the order of every walk

	band   []int // of each class
	bands  int
	widest int
	minAim time.Duration

	waiting []*call // held calls: worthier first, then older
	ticking bool
	asks    int // failed asks for the list in a row
	tenants []bucket
	busy    map[uint64]time.Duration // numbers with all lines busy, until when
	tries   map[uint64]time.Duration // first tries of calls turned away, by number called

	meanWorth    float64       // of calls offered
	carriedShare float64       // of tandem attempts, the newest most
	trialAt      time.Duration // the next trial of any far end
	notes        int           // lines written
	fails        int           // late or missing answers in a row, from all far ends
	sights       [sightCount]sight
	seen         int     // sights ever taken
	common       float64 // the wait that most answers showed lately, in seconds
}

// exchange is one processor on the list.
type exchange struct {
	id      ExchangeID
	number  int
	zone    int
	phase   Phase
	started time.Duration
}

// neighbour is another exchange, and our group of circuits to it.
type neighbour struct {
	number     int
	cur        *exchange // the processor to send to, nil if none is listed
	free, size float64   // circuits of the group; Unknown until told
	used       []float64 // our calls' circuits, by band
	offered    []float64 // decayed count of calls offered, by class
	offeredAt  time.Duration
	calls      int     // ever offered
	sent       []*call // set-ups out, oldest first
	load       load
	quickest   time.Duration // the least time a set-up took
	overtook   time.Duration // when the newest answered set-up was sent
	sets       float64       // decayed count of set-ups
	setAt      time.Duration
	part       bucket    // while its processor starts
	tandems    []*tandem // of calls to it, first choice first; nil until one is wanted
}

// tandem is what is known of one way to an exchange over another.
type tandem struct {
	via       *neighbour
	until     time.Duration // passed over,
	untilCall int           // or until that many calls were offered to the exchange
	carried   bool          // the last call that went over it stood
}

// call is a call that this proxy was offered.
type call struct {
	id       CallID
	class    int
	width    int
	dest     int
	number   uint64
	advised  int
	transit  bool
	worth    float64
	arrived  time.Duration
	first    time.Duration // when its caller tried first, as far as known
	deadline time.Duration
	attempts int
	tandems  []*neighbour // tried
	to       *neighbour   // of the attempt that is out or stands
	via      *exchange
	isTandem bool
	inBand   []float64 // circuits it holds in each band of to's group
	sentAt   time.Duration
	after    time.Duration // not sent again before this
	closed   bool          // no answer is owed
	standing bool
	held     bool
	ranAt    *exchange // where it may have run first, nil if nowhere
	ranSent  time.Duration
}

// bucket is a budget that fills with time.
type bucket struct {
	level float64
	at    time.Duration
}

// load is a belief about the wait on the way to a neighbour, in seconds.
type load struct {
	wait    float64
	at      time.Duration
	fails   int           // trials in a row without an answer
	trialAt time.Duration // the next trial
}

// sight is the wait that one answer showed, in seconds.
type sight struct {
	wait float64
	at   time.Duration
}

func (n *neighbour) unsend(k *call) {
	n.sent = slices.DeleteFunc(n.sent, func(o *call) bool { return o == k })
}

// neighbour finds or makes the record of an exchange number.
func (c *Controller) neighbour(number int) *neighbour {
	n := c.far[number]
	if n == nil {
		n = &neighbour{number: number, free: Unknown, size: Unknown, used: make([]float64, c.bands),
			offered: make([]float64, len(c.s.Classes))}
		c.far[number] = n
		i, _ := slices.BinarySearchFunc(c.order, n, func(a, b *neighbour) int { return a.number - b.number })
		c.order = slices.Insert(c.order, i, n)
		for _, o := range c.order {
			o.tandems = nil // made anew with the new one
		}
	}
	return n
}

// unplace takes an ended attempt off its group's books.
func (c *Controller) unplace(k *call) {
	k.to.unsend(k)
	for i := range k.inBand {
		k.to.used[i] -= k.inBand[i]
	}
	k.to, k.standing = nil, false
}

// unhold takes a call off the held ones.
func (c *Controller) unhold(k *call) {
	k.held = false
	c.waiting = slices.DeleteFunc(c.waiting, func(o *call) bool { return o == k })
}

// tandem finds the way to n over an exchange: its place in the order, -1 if there is none.
func (n *neighbour) tandem(via int) int {
	return slices.IndexFunc(n.tandems, func(t *tandem) bool { return t.via.number == via })
}

// carried puts the tandem that carried a call to n in front.
func (n *neighbour) carried(via *neighbour) {
	if i := n.tandem(via.number); i >= 0 {
		t := n.tandems[i]
		t.until, t.carried = 0, true
		copy(n.tandems[1:i+1], n.tandems[:i])
		n.tandems[0] = t
	}
}

// passOver leaves out a tandem of calls to n for a time or a number of calls.
func (n *neighbour) passOver(via *neighbour, until time.Duration, untilCall int) {
	if i := n.tandem(via.number); i >= 0 {
		t := n.tandems[i]
		t.until, t.untilCall, t.carried = until, untilCall, false
	}
}

// late tells whether a call can no longer stand within its aim, counted from its caller's first try.
func (k *call) late(now, aim time.Duration) bool { return now-k.first >= aim }

// take takes one from the budget if it holds one.
func (b *bucket) take(now time.Duration, rate, depth float64) bool {
	b.level = min(depth, b.level+rate*(now-b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func decay(age, half time.Duration) float64 {
	return math.Exp2(-age.Seconds() / half.Seconds())
}

func sign(x float64) int {
	if x < 0 {
		return -1
	}
	return 1
}

// jitter is a random time from 0 to d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	c.rng += 0x9e3779b97f4a7c15
	hi, _ := bits.Mul64(mix(c.rng), uint64(d))
	return time.Duration(hi)
}

// mix scrambles the bits of a number.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
