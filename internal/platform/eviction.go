package platform

import "time"

// EvictCaller closes the caller's connection whose loss costs least if it carries no call. The runtime calls it when
// descriptors have run out.
func (c *Core) EvictCaller(now time.Duration) {
	c.advanceClock(now)
	c.evictIdleCaller()
}

// evictIdleCaller closes the caller's connection whose loss costs least if it carries no call, and reports whether it
// did.
func (c *Core) evictIdleCaller() bool {
	p := c.evictionCandidate()
	if p == nil || p.openSetUps > 0 || p.standingCalls > 0 {
		return false
	}
	c.Stats.EvictedCallers++
	p.close(false)
	return true
}

// descriptorsInUse returns an upper bound on the number of descriptors in use.
func (c *Core) descriptorsInUse() int { return reservedDescriptors + len(c.links) + len(c.callers) }

// enforceCallerBudget closes callers' connections without calls until the callers are within their budget, which
// shrinks as the exchange list grows.
func (c *Core) enforceCallerBudget() {
	for len(c.callers) > c.cfg.callerBudget(len(c.switches)) && c.evictIdleCaller() {
	}
}

// evictionCandidate returns the connection whose loss costs least. Connections rank in three groups: without a request
// after firstRequestGrace, without open or standing calls, and with calls. Of the first two groups, the connection that
// was unused for longest is chosen, of the last the newest. Those with calls rank last so that a release whose own
// connection is gone can still be sent: connections that carried calls are known to be callers', not unknown peers'.
func (c *Core) evictionCandidate() *caller {
	var best *caller
	rank := func(p *caller) int {
		switch {
		case p.openSetUps > 0 || p.standingCalls > 0:
			return 2
		case p.hasRequested || c.now-p.openedAt < firstRequestGrace:
			return 1
		}
		return 0
	}
	for _, p := range c.callers {
		switch {
		case best == nil, rank(p) < rank(best):
			best = p
		case rank(p) > rank(best):
		case rank(p) == 2 && p.id > best.id, rank(p) < 2 && (p.lastUsed < best.lastUsed || p.lastUsed == best.lastUsed && p.id < best.id):
			best = p
		}
	}
	return best
}
