package store

import "time"

// State is how the disk behind a Writer does.
type State uint8

// States, the worse ones later.
const (
	Healthy State = iota
	Slow          // the oldest that waits has waited too long, or too much waits
	Full          // the disk has no room; what waits is written when it has
	Failed        // the disk has failed: nothing is written until the program starts anew
)

func (s State) String() string { return [...]string{"healthy", "slow", "full", "failed"}[s] }

// Policy is what is done with new calls while the disk is not healthy.
type Policy uint8

// Answers.
const (
	AcceptCalls Policy = iota // take them, and count those whose records are at risk
	RejectCalls               // turn them away
)

// GateSettings set a Gate.
type GateSettings struct {
	OnSlow, OnFull, OnFailed Policy
	SlowAfter                time.Duration // the oldest that waits may wait this long
	MaxQueue                 int           // items that may wait
}

// Gate decides what a slow, full or failed disk means for new calls and for what waits. It does no I/O and is told the
// time.
type Gate struct {
	set     GateSettings
	full    bool
	failed  bool
	waiting int
	oldest  time.Duration // when the oldest that waits came
	since   time.Duration // of the present state
	state   State
	Lost    uint64 // items given up because too much waited
	Overdue uint64 // items that had to be taken for granted before they were durable
}

// NewGate returns a gate before a healthy disk.
func NewGate(s GateSettings) *Gate { return &Gate{set: s} }

// SetFull tells that the disk filled up, or has room again.
func (g *Gate) SetFull(now time.Duration, full bool) { g.full = full; g.look(now) }

// SetFailed tells that the disk has failed for good.
func (g *Gate) SetFailed(now time.Duration) { g.failed = true; g.look(now) }

// SetWaiting tells how much waits, and since when the oldest does.
func (g *Gate) SetWaiting(now time.Duration, n int, oldest time.Duration) {
	g.waiting, g.oldest = n, oldest
	g.look(now)
}

func (g *Gate) look(now time.Duration) {
	s := Healthy
	switch {
	case g.failed:
		s = Failed
	case g.full:
		s = Full
	case g.waiting > 0 && now-g.oldest > g.set.SlowAfter, g.waiting > g.set.MaxQueue/2,
		g.state == Slow && g.waiting > g.set.MaxQueue/4: // it opens later than it shuts, or it would flap
		s = Slow
	}
	if s != g.state {
		g.state, g.since = s, now
	}
}

// State is the disk's, and since when it is.
func (g *Gate) State() (State, time.Duration) { return g.state, g.since }

// Accepting tells whether new calls are taken.
func (g *Gate) Accepting() bool {
	switch g.state {
	case Slow:
		return g.set.OnSlow == AcceptCalls
	case Full:
		return g.set.OnFull == AcceptCalls
	case Failed:
		return g.set.OnFailed == AcceptCalls
	}
	return true
}

// Admit tells whether n more items may wait; those that may not are lost, and counted.
func (g *Gate) Admit(n int) bool {
	if g.failed || g.waiting+n > g.set.MaxQueue {
		g.Lost += uint64(n)
		return false
	}
	g.waiting += n
	return true
}

// AtRisk is how many items a crash now would lose.
func (g *Gate) AtRisk() int { return g.waiting }
