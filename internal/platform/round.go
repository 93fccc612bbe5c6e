package platform

import (
	"slices"
	"time"

	"pipitring/internal/jsonl"
)

// InputKind is what happened on a connection.
type InputKind uint8

// Kinds of News.
const (
	InputOpened InputKind = iota // one that was dialled is up
	InputData                    // bytes
	InputClosed                  // the other end closed it, or it broke
)

// Input is one piece of news.
type Input struct {
	Conn  ConnID
	Kind  InputKind
	Bytes []byte
	EOF   bool // a caller's end was seen behind its bytes; Ended follows, maybe in a later round
}

// ProcessBatch takes in what was found on all connections at once, and then does what is due. What is found together may have
// waited for any time, in any order, so the order is by what it means: departures and give-ups of callers, then the
// list's news, then switches, then what callers ask for. So no set-up leaves for a caller that has gone, to a switch known
// to drain or on a connection known to be lost, because of the order in which sockets happen to be read.
func (c *Core) ProcessBatch(now time.Duration, in []Input) {
	c.tell(now)
	gone := c.departures(in)
	c.Stats.Abandoned += uint64(len(gone))
	c.dismiss(gone)
	var list, switches, callers []Input
	for _, i := range in {
		switch {
		case i.Conn == c.coord.conn:
			list = append(list, i)
		case c.callers[i.Conn] == nil:
			switches = append(switches, i)
		default:
			callers = append(callers, i)
		}
	}
	c.take(list)
	c.callOff(gone) // what this frees may be used at once, so not before the list is known
	c.take(switches)
	c.take(callers)
	c.Advance(now)
}

func (c *Core) take(in []Input) {
	for _, i := range in {
		switch i.Kind {
		case InputOpened:
			c.Connected(c.now, i.Conn)
		case InputData:
			if p := c.callers[i.Conn]; p != nil {
				p.act()
			} else {
				c.Receive(c.now, i.Conn, i.Bytes)
			}
		case InputClosed:
			c.Closed(c.now, i.Conn)
		}
	}
}

// departures reads what callers brought, and lists the calls that they have no more use for. Nothing is begun yet.
func (c *Core) departures(in []Input) (gone []*call) {
	for _, i := range in {
		p := c.callers[i.Conn]
		if p == nil {
			continue
		}
		p.takeIn(i.Bytes)
		if !p.gone && (i.EOF || i.Kind == InputClosed) {
			p.gone = true
			gone = append(gone, c.openOn(p)...)
		}
	}
	for _, i := range in {
		p := c.callers[i.Conn]
		if p == nil || p.gone {
			continue
		}
		for _, m := range p.got {
			if k := c.calls[m.Ref]; m.Type == jsonl.TypeDown && k != nil && k.from == p && !k.standing && !slices.Contains(gone, k) {
				gone = append(gone, k)
			}
		}
	}
	return gone
}
