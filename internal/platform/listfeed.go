package platform

import (
	"net/netip"
	"time"

	"pipitring/decide"
	"pipitring/internal/coordinator"
)

// The coordinator sends a frame each second. What it would have told counts as told soon after it breaks off or falls
// silent, so a connection that says nothing for long is made anew at once, and later ones after a short pause.
const (
	listSilence   = 1800 * time.Millisecond
	listDialWait  = time.Second
	listPause     = 50 * time.Millisecond // doubling
	listPauseMost = 800 * time.Millisecond
)

// listFeed is the connection to the coordinator.
type listFeed struct {
	core   *Core
	addr   netip.AddrPort
	frames coordinator.Decoder
	conn   ConnID // 0 is none
	up     bool
	heard  time.Duration
	pause  time.Duration
}

func (l *listFeed) begin(c *Core, last uint64) {
	l.core, l.addr, l.frames.LastIndex = c, c.cfg.Coordinator, last
	l.connect()
}

func (l *listFeed) connect() {
	l.frames.Reset()
	l.up, l.heard = false, l.core.now
	l.conn = l.core.dial(l.addr, listDialWait)
}

// lost makes the connection anew: at once if it had worked, else after a pause.
func (l *listFeed) lost() {
	l.conn = 0
	if l.up && l.pause == 0 {
		l.pause = listPause
		l.connect()
		return
	}
	wait := max(l.pause, listPause)
	l.pause = min(2*wait, listPauseMost)
	l.core.after(l.core.jitter(wait), func() {
		if l.conn == 0 {
			l.connect()
		}
	})
}

// drop ends the connection and makes a new one.
func (l *listFeed) drop(why string) {
	l.core.note("coordinator " + l.addr.String() + ": " + why + ", asked again")
	l.core.close(l.conn, false)
	l.lost()
}

func (l *listFeed) watch() {
	if l.conn != 0 && l.up && l.core.now-l.heard > listSilence {
		l.drop("silent")
	}
}

func (l *listFeed) opened() {
	l.up, l.heard = true, l.core.now
	l.core.line(l.conn, func(b []byte) []byte { return append(b, l.frames.Hello()...) })
}

func (l *listFeed) receive(b []byte) {
	l.heard = l.core.now
	events, err := l.frames.Push(b)
	if len(events) > 0 || err == nil {
		l.pause = 0
	}
	l.core.takeList(decide.ListFull, events)
	if err != nil {
		l.frames.AllowGap = err == coordinator.ErrMissingEvents && !l.frames.AllowGap
		l.drop(err.Error())
	}
}

// SetCoordinator takes another address of the coordinator over; the numbers go on.
func (c *Core) SetCoordinator(now time.Duration, to netip.AddrPort) {
	c.tell(now)
	if to == c.coord.addr {
		return
	}
	c.note("coordinator moved to " + to.String())
	c.coord.addr = to
	if c.coord.conn != 0 {
		c.close(c.coord.conn, false)
	}
	c.coord.pause = 0
	c.coord.connect()
}
