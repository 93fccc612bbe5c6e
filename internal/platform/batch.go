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
	InputOpened InputKind = iota // a connection that was dialled is established
	InputData                    // bytes were received
	InputClosed                  // the peer closed the connection, or it failed
)

// Input is one event on a connection.
type Input struct {
	Conn  ConnID
	Kind  InputKind
	Bytes []byte
	EOF   bool // the end of a caller's stream was read after Bytes; InputClosed follows, possibly in a later batch
}

// ProcessBatch handles the inputs that were read from all connections in one pass of the event loop, and then the
// timers that are due. Inputs read together may have waited for any time and come in any order, so they are handled by
// type: first abandoned calls and callers that have left, then list updates, then input from switches, then new
// requests from callers. So in whatever order the sockets are read, no set-up is sent for a caller that has left, to a
// switch known to be draining or on a connection known to be lost.
func (c *Core) ProcessBatch(now time.Duration, inputs []Input) {
	c.advanceClock(now)
	abandoned := c.collectAbandoned(inputs)
	c.Stats.Abandoned += uint64(len(abandoned))
	c.dropCalls(abandoned)
	var listInputs, switchInputs, callerInputs []Input
	for _, input := range inputs {
		switch {
		case input.Conn == c.discovery.conn:
			listInputs = append(listInputs, input)
		case c.callers[input.Conn] == nil:
			switchInputs = append(switchInputs, input)
		default:
			callerInputs = append(callerInputs, input)
		}
	}
	c.handleInputs(listInputs)
	c.cancelAttempts(abandoned) // this frees circuits, which may be reused at once, so the list must be current
	c.handleInputs(switchInputs)
	c.handleInputs(callerInputs)
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

// collectAbandoned parses the callers' inputs, without handling the lines, and returns the open calls that these inputs
// abandon: by a line, or because the caller left.
func (c *Core) collectAbandoned(inputs []Input) (abandoned []*call) {
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
