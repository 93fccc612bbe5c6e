package rules

import (
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/isup"
	"pipitring/internal/m3ua"
)

// circuitFlag marks dialog numbers that are CICs. IAX2 call numbers have 15 bits.
const circuitFlag = 0x8000

// maxTransitTime is how long a message may be in transit on a link, including TCP retransmissions.
const maxTransitTime = time.Second

// handleM3UAMessage checks one M3UA message. A call on a circuit is a dialog like an IAX2 one: IAM opens it, ANM or
// CON answers it, and REL from either end ends it.
func (c *Checker) handleM3UAMessage(from, to capture.Party, b []byte) {
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
	number := circuitFlag | uint16(msg.CIC)
	sent, received := c.callOnCircuit(from, to, number), c.callOnCircuit(to, from, number)
	switch msg.Type {
	case isup.IAM:
		c.handleIAM(dialogKey{from, to, number}, received, &msg, d.OPC > d.DPC)
	case isup.ACM:
		if received != nil {
			received.acknowledged = true
		}
	case isup.ANM, isup.CON:
		if received != nil {
			received.acknowledged = true
			c.handleFinalAnswer(received, uint8(isup.ANM), msg.Type.String(), true, 0)
		}
	case isup.REL:
		if sent != nil {
			c.openerReleased(sent)
		} else if received != nil && (!c.Exact || received.acknowledged) {
			// With exact times, a REL for an unacknowledged set-up belongs to the circuit's previous call and
			// crosses the IAM.
			c.handleFinalAnswer(received, uint8(isup.REL), "REL", false, isup.ParseCause(&msg))
			received.attemptEnded = true
		}
	case isup.RLC:
		if d := c.dialogs[dialogKey{to, from, number}]; d != nil && (!c.Exact || d.acknowledged) {
			c.confirmRelease(d)
		}
		if d := c.callOnCircuit(from, to, number); d != nil && !d.acknowledged {
			// A REL of the circuit's previous call crossed the IAM, whose sender takes it as a rejection.
			c.endAttempt(d, "")
		}
	case isup.GRA:
		c.handleResetAck(from, to, &msg)
	case isup.RSC, isup.GRS, isup.UCIC:
		c.handleCircuitReset(from, to, &msg)
	}
}

// callOnCircuit returns the unfinished call that opener started on a circuit, or nil.
func (c *Checker) callOnCircuit(opener, other capture.Party, number uint16) *dialog {
	if d := c.dialogs[dialogKey{opener, other, number}]; d != nil && !d.attemptEnded && d.releasedAt == 0 {
		return d
	}
	return nil
}

// handleIAM checks an IAM. opposite is the call that the receiver of the IAM has set up on the same circuit, nil if
// there is none. If it is unanswered this is a dual seizure, and the call of the end that does not control the circuit
// is dropped. fromHigherCode is set if the sender of the IAM has the higher point code, which controls the circuits
// with even CICs.
func (c *Checker) handleIAM(k dialogKey, opposite *dialog, msg *isup.Message, fromHigherCode bool) {
	call, _ := isup.ParseNumber(msg.Param(isup.CallingNumber))
	if k.opener.Kind == capture.Router {
		c.checkDrain(k.opener, k.other, call)
	}
	if old := c.dialogs[k]; old != nil && !old.attemptEnded {
		c.endAttempt(old, "")
		old.attemptEnded = true
	}
	context := ""
	if u := msg.Param(isup.UserToUser); len(u) > 1 {
		context = string(u[1:])
	}
	d := &dialog{dialogKey: k, opened: c.now, call: call, context: context}
	c.beginSetUp(d)
	if opposite == nil || opposite.answered {
		return
	}
	dropped := d
	if controls := (msg.CIC%2 == 0) == fromHigherCode; controls {
		dropped = opposite
	}
	c.endAttempt(dropped, "overridden by the far end's call")
	if !c.Exact || dropped.acknowledged {
		c.endCall(dropped)
	}
	dropped.attemptEnded = true
}

// handleCircuitReset ends the calls on circuits that one end reset or reported as unequipped.
func (c *Checker) handleCircuitReset(from, to capture.Party, msg *isup.Message) {
	n := 1
	if msg.Type == isup.GRS {
		n, _ = isup.ParseRange(msg)
	}
	for i := range n {
		number := circuitFlag | uint16(msg.CIC) + uint16(i)
		for _, d := range []*dialog{c.callOnCircuit(from, to, number), c.callOnCircuit(to, from, number)} {
			if d == nil {
				continue
			}
			if !c.Exact || d.other == from && d.acknowledged { // a reset that crosses an IAM does not end its call
				c.endCall(d)
			}
			c.endAttempt(d, "reset")
		}
	}
}

// handleResetAck ends the set-ups whose IAM crossed a group reset: the end that acknowledges the reset discards
// them.
func (c *Checker) handleResetAck(from, to capture.Party, msg *isup.Message) {
	n, _ := isup.ParseRange(msg)
	for i := range n {
		if d := c.callOnCircuit(from, to, circuitFlag|uint16(msg.CIC)+uint16(i)); d != nil {
			c.endAttempt(d, "reset")
		}
	}
}

// handleAssociationLoss ends the set-ups between two parties whose association was lost; both count them as
// cut. Standing calls continue.
func (c *Checker) handleAssociationLoss(a, b capture.Party) {
	for k, d := range c.dialogs {
		betweenParties := k.opener == a && k.other == b || k.opener == b && k.other == a
		// An answer in transit is lost with the association: for its opener the call was not answered.
		standing := d.answered && (!c.Exact || c.now-d.answeredAt > maxTransitTime)
		if betweenParties && k.number&circuitFlag != 0 && !standing && !d.attemptEnded {
			if !c.Exact {
				c.endCall(d)
			}
			c.endAttempt(d, "cut with its association")
		}
	}
}
