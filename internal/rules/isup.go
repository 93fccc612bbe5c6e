package rules

import (
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/isup"
	"pipitring/internal/m3ua"
)

// onCircuit marks dialog numbers that are CICs; IAX2 call numbers have 15 bits.
const onCircuit = 0x8000

// onItsWay is how long a message may be on its way over a link, with what TCP sends again.
const onItsWay = time.Second

// message judges one M3UA message. A circuit's call is a dialog like any other: IAM opens it, ANM or CON answers
// it, REL of either end is its end.
func (c *Checker) message(from, to capture.Party, b []byte) {
	var m m3ua.Message
	if err := m3ua.Parse(b, &m); err != nil {
		c.report.Malformed++
		return
	}
	if m.Type != m3ua.DATA {
		return
	}
	d, err := m3ua.ParseData(&m)
	if err != nil || d.SI != m3ua.ServiceIndicatorISUP {
		c.report.Malformed++
		return
	}
	var msg isup.Message
	if err := isup.Parse(d.Payload, &msg); err != nil {
		c.report.Malformed++
		return
	}
	number := onCircuit | uint16(msg.CIC)
	sent, received := c.circuit(from, to, number), c.circuit(to, from, number)
	switch msg.Type {
	case isup.IAM:
		c.seized(key{from, to, number}, received, &msg, d.OPC > d.DPC)
	case isup.ACM:
		if received != nil {
			received.heard = true
		}
	case isup.ANM, isup.CON:
		if received != nil {
			received.heard = true
			c.final(received, uint8(isup.ANM), msg.Type.String(), true, 0)
		}
	case isup.REL:
		if sent != nil {
			c.openerLeft(sent)
		} else if received != nil && (!c.Exact || received.heard) { // else it is of the circuit's last call, and crosses the IAM
			c.final(received, uint8(isup.REL), "REL", false, isup.ParseCause(&msg))
			received.over = true
		}
	case isup.RLC:
		if d := c.dialogs[key{to, from, number}]; d != nil && (!c.Exact || d.heard) {
			c.learnt(d)
		}
		if d := c.circuit(from, to, number); d != nil && !d.heard {
			c.attemptOver(d, "") // a REL of the circuit's last call has crossed its IAM, and is taken for its refusal
		}
	case isup.GRA:
		c.resetConfirmed(from, to, &msg)
	case isup.RSC, isup.GRS, isup.UCIC:
		c.circuitsReset(from, to, &msg)
	}
}

// circuit finds the call that an end opened on a circuit and that is not over.
func (c *Checker) circuit(opener, other capture.Party, number uint16) *dialog {
	if d := c.dialogs[key{opener, other, number}]; d != nil && !d.over && d.leftAt == 0 {
		return d
	}
	return nil
}

// seized judges an IAM. Where the other end has seized the circuit as well and controls it, the call does not begin;
// where it does not, its call gives way.
func (c *Checker) seized(k key, theirs *dialog, msg *isup.Message, higher bool) {
	call, _ := isup.ParseNumber(msg.Param(isup.CallingNumber))
	if k.opener.Kind == capture.Router {
		c.judgeDrain(k.opener, k.other, call)
	}
	if old := c.dialogs[k]; old != nil && !old.over {
		c.attemptOver(old, "")
		old.over = true
	}
	context := ""
	if u := msg.Param(isup.UserToUser); len(u) > 1 {
		context = string(u[1:])
	}
	d := &dialog{key: k, opened: c.now, call: call, context: context}
	c.begin(d)
	if theirs == nil || theirs.answered {
		return
	}
	loser := d
	if controls := (msg.CIC%2 == 0) == higher; controls {
		loser = theirs
	}
	c.attemptOver(loser, "overridden by the far end's call")
	if !c.Exact || loser.heard {
		c.callEnded(loser)
	}
	loser.over = true
}

// circuitsReset ends the calls on circuits that one end has reset or lacks.
func (c *Checker) circuitsReset(from, to capture.Party, msg *isup.Message) {
	n := 1
	if msg.Type == isup.GRS {
		n, _ = isup.ParseRange(msg)
	}
	for i := range n {
		number := onCircuit | uint16(msg.CIC) + uint16(i)
		for _, d := range []*dialog{c.circuit(from, to, number), c.circuit(to, from, number)} {
			if d == nil {
				continue
			}
			if !c.Exact || d.other == from && d.heard { // what crosses an IAM knows nothing of it
				c.callEnded(d)
			}
			c.attemptOver(d, "reset")
		}
	}
}

// resetConfirmed ends the set-ups whose IAM crossed the reset: who confirms it has lost them.
func (c *Checker) resetConfirmed(from, to capture.Party, msg *isup.Message) {
	n, _ := isup.ParseRange(msg)
	for i := range n {
		if d := c.circuit(from, to, onCircuit|uint16(msg.CIC)+uint16(i)); d != nil {
			c.attemptOver(d, "reset")
		}
	}
}

// associationLost ends the set-ups between two ends whose signalling is gone: both count them as cut. What stands
// stands on.
func (c *Checker) associationLost(a, b capture.Party) {
	for k, d := range c.dialogs {
		between := k.opener == a && k.other == b || k.opener == b && k.other == a
		// An answer that was on its way is lost with it: to its opener that call never stood.
		standing := d.answered && (!c.Exact || c.now-d.stoodAt > onItsWay)
		if between && k.number&onCircuit != 0 && !standing && !d.over {
			if !c.Exact {
				c.callEnded(d)
			}
			c.attemptOver(d, "cut with its association")
		}
	}
}
