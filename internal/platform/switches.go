package platform

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"pipitring/decide"
	"pipitring/internal/coordinator"
)

// switchPeer is one switch on the exchange list and the links to it. A switch is a process, identified by its ID and
// not by its address; the decision module calls it a processor.
type switchPeer struct {
	core             *Core
	id               decide.ExchangeID
	number           int
	addr             netip.AddrPort
	phase            decide.Phase
	started          int64
	replaced         bool    // a switch with another ID has taken over its address
	processChanged   bool    // the list says that the previous process has ended; cleared by handleListChange
	links            []*link // established links
	dialling         ConnID  // 0 if no dial is in progress
	retryScheduled   bool    // maintainLinks is due after the retry delay
	retryDelay       time.Duration
	lastReceived     time.Duration // when bytes were last received from it, or a link was established
	lastProbe        time.Duration
	hasReported      bool
	lastDialFailed   bool          // the last dial failed
	lastDialTimedOut bool          // the last dial failed by timeout
	linkClosedAt     time.Duration // when it last closed or reset a link; 0 after a link is established or a heartbeat answered
	processEndToldAt time.Duration // when the list last told that a process of it had ended; 0 if not since this proxy's start
	processCheckAt   time.Duration // when the latest process check that still runs began; 0 if none runs
	processDecidedAt time.Duration // when the latest process check that has ended began; 0 if none has
	silentSince      time.Duration // when it was last heard before the silence of the return check
	returnedAt       time.Duration // when it was reached again after that silence; 0 if no return check runs
	heartbeatSentAt  time.Duration // when the pending heartbeat was sent; any line answers it; 0 if none
	waitingAttempts  []*attempt
	standingCalls    int
	unsentReleases   []byte        // encoded releases that wait for a link
	recoveryLinkAt   time.Duration // from then on a new link is due, on which lost releases are repeated; 0 if none is
	dialledAt        time.Duration
}

// applyEvent applies a list event to the switches and returns those that changed.
func (c *Core) applyEvent(ev coordinator.Event) (changed []*switchPeer) {
	if ev.Full {
		listed := map[decide.ExchangeID]bool{}
		for _, e := range ev.Entries {
			listed[decide.ExchangeID(e.ID)] = true
		}
		for _, s := range c.switchesByID() {
			if !listed[s.id] {
				s.processChanged = s.processChanged || s.phase != decide.Removed
				s.phase = decide.Removed
				changed = append(changed, s)
			}
		}
	}
	for _, e := range ev.Entries {
		s := c.switches[decide.ExchangeID(e.ID)]
		if s == nil {
			if e.Phase == decide.Removed {
				continue
			}
			s = &switchPeer{core: c, id: decide.ExchangeID(e.ID), phase: e.Phase, started: e.Started, lastReceived: c.now}
			s.processEndToldAt, _ = c.departedSwitches.get(s.id)
			c.switches[s.id] = s
		}
		removedOrBack := (s.phase == decide.Removed) != (e.Phase == decide.Removed)
		s.processChanged = s.processChanged || e.Started > s.started || removedOrBack
		s.number, s.phase, s.started = e.ExchangeNumber, e.Phase, e.Started
		changed = append(changed, s)
		if e.Addr == s.addr {
			continue
		}
		s.addr, s.replaced = e.Addr, false
		for _, other := range c.switchesByID() {
			if other != s && other.addr == e.Addr {
				other.replaced, other.processChanged = true, true
				changed = append(changed, other)
			}
		}
	}
	return changed
}

// handleListChange acts on a change of the switch's list entry.
func (s *switchPeer) handleListChange() {
	if s.phase != decide.Ready || s.replaced {
		s.endWaitingAttempts(decide.NotSent) // the switch takes no set-ups any more, so those that wait for a link are not sent
	}
	if s.processChanged {
		s.processEndToldAt = s.core.now // still 0 for the list at the start
		s.cutCalls(s.core.adoptedCallsAt(s), "was restarted, removed or replaced according to the list, and they were set up before")
	}
	if s.replaced {
		s.handOver(s.core.switchAt(s.addr))
	}
	switch {
	case len(s.links) == 0 && (s.phase == decide.Removed || s.replaced || s.processChanged):
		s.cutStandingCalls("was removed, replaced or restarted according to the list") // calls from before the removal or new start are over
	case s.processChanged && s.standingCalls > 0:
		s.startProcessCheck()
	}
	s.processChanged = false
	s.maintainLinks()
	s.core.removeIfIdle(s)
}

// switchAt returns the switch that has an address according to the list, where no other can have it; nil if there is none.
func (c *Core) switchAt(addr netip.AddrPort) *switchPeer {
	for _, s := range c.switches {
		if s.addr == addr && s.phase != decide.Removed && !s.replaced {
			return s
		}
	}
	return nil
}

// removeIfIdle deletes a switch that was removed from the list and closes its links once it has no open attempt or
// standing call.
func (c *Core) removeIfIdle(s *switchPeer) {
	if s.phase != decide.Removed || s.standingCalls > 0 || c.switches[s.id] != s {
		return
	}
	for _, l := range s.links {
		if len(l.openAttempts) > 0 {
			return
		}
	}
	delete(c.switches, s.id)
	c.departedSwitches.add(s.id, c.now, c.now)
	links := s.links
	s.links = nil
	for _, l := range links {
		l.remove()
		c.close(l.id, false)
	}
}

// switchesByID returns the switches sorted by ID. The fixed order makes runs reproducible.
func (c *Core) switchesByID() []*switchPeer {
	list := make([]*switchPeer, 0, len(c.switches))
	for _, s := range c.switches {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *switchPeer) int { return cmp.Compare(a.id, b.id) })
	return list
}

// endWaitingAttempts ends the attempts that wait for a link.
func (s *switchPeer) endWaitingAttempts(o decide.Outcome) {
	waiting := s.waitingAttempts
	s.waitingAttempts = nil
	for _, a := range waiting {
		s.core.endAttempt(a, o)
	}
}

// removeWaiting removes an attempt from those that wait for a link.
func (s *switchPeer) removeWaiting(a *attempt) {
	s.waitingAttempts = slices.DeleteFunc(s.waitingAttempts, func(o *attempt) bool { return o == a })
}
