package store

import "time"

// State is the state of the disk behind a Writer.
type State uint8

// Disk states, in the order of severity.
const (
	Healthy State = iota // items are written in time and the queue is short
	Slow                 // the oldest item has waited too long, or too many items wait
	Full                 // the disk has no free space; waiting items are written once it has
	Failed               // the disk has failed; nothing is written until the program restarts
)

// String returns the state's name, as in metrics and logs.
func (s State) String() string { return [...]string{"healthy", "slow", "full", "failed"}[s] }

// Policy is the treatment of new calls while the disk is in a state other than Healthy.
type Policy uint8

// Policies for new calls.
const (
	AcceptCalls Policy = iota // accept calls, although a crash may lose their records
	RejectCalls               // reject calls
)

// GateSettings configures a Gate.
type GateSettings struct {
	OnSlow, OnFull, OnFailed Policy
	SlowAfter                time.Duration // age of the oldest waiting item above which the disk counts as slow
	MaxQueue                 int           // limit of waiting items
}

// Gate decides how a slow, full or failed disk affects new calls and waiting items. It does no I/O and reads no clock: the
// time is passed to its methods. It must not be used concurrently.
type Gate struct {
	settings           GateSettings
	full               bool
	failed             bool
	waiting            int
	oldestAt           time.Duration // when the oldest waiting item was queued
	stateSince         time.Duration // when the current state began
	state              State
	Lost               uint64 // items lost because the queue was at its limit or the disk had failed
	AnsweredNotDurable uint64 // items that were relied on before they were durable
}

// NewGate returns a gate for a healthy disk.
func NewGate(s GateSettings) *Gate { return &Gate{settings: s} }

// SetFull records that the disk is full or has free space again.
func (g *Gate) SetFull(now time.Duration, full bool) { g.full = full; g.update(now) }

// SetFailed records that the disk has failed for good.
func (g *Gate) SetFailed(now time.Duration) { g.failed = true; g.update(now) }

// SetWaiting records how many items wait, and when the oldest of them was queued.
func (g *Gate) SetWaiting(now time.Duration, n int, oldest time.Duration) {
	g.waiting, g.oldestAt = n, oldest
	g.update(now)
}

// update determines the state.
func (g *Gate) update(now time.Duration) {
	s := Healthy
	switch {
	case g.failed:
		s = Failed
	case g.full:
		s = Full
	case g.waiting > 0 && now-g.oldestAt > g.settings.SlowAfter, g.waiting > g.settings.MaxQueue/2,
		g.state == Slow && g.waiting > g.settings.MaxQueue/4: // leaves Slow at half its entry level, to prevent flapping
		s = Slow
	}
	if s != g.state {
		g.state, g.stateSince = s, now
	}
}

// State returns the disk's state and when it began.
func (g *Gate) State() (State, time.Duration) { return g.state, g.stateSince }

// Accepting reports whether new calls are accepted.
func (g *Gate) Accepting() bool {
	switch g.state {
	case Slow:
		return g.settings.OnSlow == AcceptCalls
	case Full:
		return g.settings.OnFull == AcceptCalls
	case Failed:
		return g.settings.OnFailed == AcceptCalls
	}
	return true
}

// Admit reports whether n more items may be queued, and counts them as waiting or, if not, as lost.
func (g *Gate) Admit(n int) bool {
	if g.failed || g.waiting+n > g.settings.MaxQueue {
		g.Lost += uint64(n)
		return false
	}
	g.waiting += n
	return true
}

// AtRisk returns the number of items that a crash now would lose.
func (g *Gate) AtRisk() int { return g.waiting }
