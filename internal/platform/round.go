package platform

import (
	"slices"
	"time"

	"pipitring/internal/jsonl"
)

// InputKind is the kind of an Input.
type InputKind uint8

// Kinds of Input.
const (
	InputOpened InputKind = iota // a dialled connection is established
	InputData                    // bytes were received
	InputClosed                  // the peer closed the connection, or it failed
)

// Input is one event on a connection.
type Input struct {
	Conn  ConnID
	Kind  InputKind
	Bytes []byte
	EOF   bool // the end of a caller's stream was read behind Bytes; InputClosed follows, possibly in a later batch
}

// ProcessBatch handles the inputs that were read from all connections in one pass of the event loop, and then what is
// due. Inputs read together may have waited for any time and come in any order, so they are handled by type: first
// callers that left or abandoned calls, then list updates, then switches, then new requests of callers. The order in
// which sockets are read therefore never sends a set-up for a caller that has left, to a switch known to be draining or
// on a connection known to be lost.
func (c *Core) ProcessBatch(now time.Duration, inputs []Input) {
	c.advanceClock(now)
	abandoned := c.departures(inputs)
	c.Stats.Abandoned += uint64(len(abandoned))
	c.dropCalls(abandoned)
	var list, switches, callers []Input
	for _, input := range inputs {
		switch {
		case input.Conn == c.discovery.conn:
			list = append(list, input)
		case c.callers[input.Conn] == nil:
			switches = append(switches, input)
		default:
			callers = append(callers, input)
		}
	}
	c.handleInputs(list)
	c.cancelAttempts(abandoned) // the freed circuits may be reused at once, so the list must be current
	c.handleInputs(switches)
	c.handleInputs(callers)
	c.Advance(now)
}

func (c *Core) handleInputs(inputs []Input) {
	for _, input := range inputs {
		switch input.Kind {
		case InputOpened:
			c.Connected(c.now, input.Conn)
		case InputData:
			if p := c.callers[input.Conn]; p != nil {
				p.handleLines()
			} else {
				c.Receive(c.now, input.Conn, input.Bytes)
			}
		case InputClosed:
			c.Closed(c.now, input.Conn)
		}
	}
}

// departures parses what callers sent and returns the open calls that they have abandoned. It starts no calls.
func (c *Core) departures(inputs []Input) (abandoned []*call) {
	for _, input := range inputs {
		p := c.callers[input.Conn]
		if p == nil {
			continue
		}
		p.parseInput(input.Bytes)
		if !p.eof && (input.EOF || input.Kind == InputClosed) {
			p.eof = true
			abandoned = append(abandoned, c.openCallsOf(p)...)
		}
	}
	for _, input := range inputs {
		p := c.callers[input.Conn]
		if p == nil || p.eof {
			continue
		}
		for _, m := range p.received {
			if k := c.calls[m.Ref]; m.Type == jsonl.TypeDown && k != nil && k.caller == p && !k.standing && !slices.Contains(abandoned, k) {
				abandoned = append(abandoned, k)
			}
		}
	}
	return abandoned
}
