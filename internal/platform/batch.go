package platform

import (
	"slices"
	"time"

	"pipitring/decide"
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

	// Congested means that the caller has sent more than can be read at present. It may have given up the set-ups in
	// Bytes, or have left, so they are refused.
	Congested bool
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

// ReceiveAfterClose takes bytes that a caller sent before it closed its connection. They are handled with the next batch,
// which has an Input of the connection with EOF set. As the caller's set-ups are void, what they cost is not kept.
func (c *Core) ReceiveAfterClose(id ConnID, b []byte) {
	if p := c.callers[id]; p != nil {
		p.departed = true
		p.parseInput(b)
	}
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
			if p := c.callers[input.Conn]; p != nil {
				p.handleLines() // those of ReceiveAfterClose
			}
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
		p.congested = input.Congested
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

// Connected reports that a dialled connection is established.
func (c *Core) Connected(now time.Duration, id ConnID) {
	c.advanceClock(now)
	if id == c.discovery.conn {
		c.discovery.connected()
		return
	}
	l := c.links[id]
	if l == nil { // unknown
		c.close(id, false)
		return
	}
	if owner := c.switchAt(l.addr); owner != nil && owner != l.peer { // it got the address while the dial was in progress
		l.peer.dialling = 0
		l.peer = owner
	}
	if l.peer.addr != l.addr || l.peer.phase == decide.Removed && l.peer.standingCalls == 0 { // no longer needed
		l.peer.dialling = 0
		delete(c.links, id)
		c.close(id, false)
		return
	}
	l.peer.linkUp(l)
}

// DialFailed reports that a connection was not established.
func (c *Core) DialFailed(now time.Duration, id ConnID, reason DialFailure) {
	c.advanceClock(now)
	if id == c.discovery.conn {
		if reason == DialNoDescriptors {
			c.evictIdleCaller()
		}
		c.discovery.connectionLost()
		return
	}
	if l := c.links[id]; l != nil && l.peer.dialling == id {
		l.peer.handleDialFailure(l, reason)
	}
}

// Receive handles bytes received on a connection.
func (c *Core) Receive(now time.Duration, id ConnID, b []byte) {
	c.advanceClock(now)
	if p := c.callers[id]; p != nil {
		p.parseInput(b)
		p.handleLines()
	} else if l := c.links[id]; l != nil {
		l.receive(b)
	} else if id == c.discovery.conn {
		c.discovery.receive(b)
	}
}

// Closed reports that the peer closed a connection, or that it failed.
func (c *Core) Closed(now time.Duration, id ConnID) {
	c.advanceClock(now)
	if p := c.callers[id]; p != nil {
		p.handleClose()
	} else if l := c.links[id]; l != nil {
		l.peer.linkClosedAt = max(1, c.now)
		l.handleLoss()
	} else if id == c.discovery.conn {
		c.discovery.connectionLost()
	}
}
