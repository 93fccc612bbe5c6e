package platform

import (
	"cmp"
	"slices"
	"time"

	"pipitring/internal/jsonl"
)

// Limits of the releases of standing calls toward callers.
const (
	// maxPendingReleases limits the pending releases. All of them fit into the buffer of one caller's connection.
	maxPendingReleases = 4096
	// healthCheckTime is how long a connection with heartbeats alone counts as a health check's, which is closed after
	// its reply. One that stays open longer counts as a caller's.
	healthCheckTime = 500 * time.Millisecond
	// healthCheckReleaseAge is the age from which a pending release is sent on a health check's connection too: it is due
	// 8 s after the end of its call.
	healthCheckReleaseAge = 7 * time.Second
)

// pendingRelease is the release of a standing call that is over, whose caller could not be notified yet because no
// caller's connection was open.
type pendingRelease struct {
	ref      string
	cause    int
	storedAt time.Duration
}

// sentRelease is a release that was sent to a caller's connection.
type sentRelease struct {
	to    ConnID
	cause int
}

// sendReleaseToCaller sends the release of a call that stood to the caller's connection to. If that is closed,
// releaseRecipient's is used; if there is none, the release is stored for the next connection on which a caller sends a
// request.
func (c *Core) sendReleaseToCaller(to *caller, ref string, cause int) {
	if to.closed || to.eof {
		to = c.releaseRecipient()
	}
	if to != nil {
		c.Stats.ReleasesForwarded++
		c.sentReleases.add(ref, sentRelease{to.id, cause}, c.now)
		to.sendDown(ref, cause, 0)
		return
	}
	c.storeRelease(pendingRelease{ref, cause, c.now})
}

// storeRelease stores a release until a caller's connection takes it. If there are too many, the oldest is dropped.
func (c *Core) storeRelease(r pendingRelease) {
	if len(c.pendingReleases) >= maxPendingReleases {
		c.Stats.ReleasesDropped++
		c.logLine("release of call " + c.pendingReleases[0].ref + " dropped: too many wait for a caller's connection")
		c.pendingReleases = c.pendingReleases[1:]
	}
	c.Stats.ReleasesStored++
	c.pendingReleases = append(c.pendingReleases, r)
}

// hasFreshRelease reports whether a release has been pending for releaseLifetime or less, so that a shutdown waits for
// its caller.
func (c *Core) hasFreshRelease() bool {
	n := len(c.pendingReleases)
	return n > 0 && c.now-c.pendingReleases[n-1].storedAt <= releaseLifetime
}

// oldestReleaseAge returns how long the oldest release has been pending; 0 if none is.
func (c *Core) oldestReleaseAge() time.Duration {
	if len(c.pendingReleases) == 0 {
		return 0
	}
	return c.now - c.pendingReleases[0].storedAt
}

// isReleasePending reports whether the call is over and its caller has not been notified.
func (c *Core) isReleasePending(ref string) bool {
	return slices.ContainsFunc(c.pendingReleases, func(r pendingRelease) bool { return r.ref == ref })
}

// retryPendingReleases sends the pending releases if a connection has come to count as a caller's by staying open.
func (c *Core) retryPendingReleases() {
	if len(c.pendingReleases) == 0 {
		return
	}
	if to := c.releaseRecipient(); to != nil {
		c.sendPendingReleases(to)
	}
}

// sendPendingReleases sends all pending releases to a caller.
func (c *Core) sendPendingReleases(to *caller) { c.sendOldestReleases(to, len(c.pendingReleases)) }

// sendDueReleases sends the pending releases that are almost due on the connection of a health check.
func (c *Core) sendDueReleases(to *caller) {
	n := 0
	for n < len(c.pendingReleases) && c.now-c.pendingReleases[n].storedAt >= healthCheckReleaseAge {
		n++
	}
	c.sendOldestReleases(to, n)
}

func (c *Core) sendOldestReleases(to *caller, n int) {
	if n == 0 || to.eof {
		return
	}
	c.Stats.ReleasesDelivered += uint64(n)
	for _, r := range c.pendingReleases[:n] {
		c.sentReleases.add(r.ref, sentRelease{to.id, r.cause}, c.now)
	}
	c.write(to.id, func(b []byte) []byte {
		for _, r := range c.pendingReleases[:n] {
			b = jsonl.AppendDown(b, r.ref, r.cause, 0)
		}
		return b
	})
	c.pendingReleases = slices.Delete(c.pendingReleases, 0, n)
}

// releaseRecipient returns the connection for a release whose own connection is closed: of those that take releases a
// caller's rather than one with heartbeats alone, then the one with the most answered set-ups, as unknown peers have none,
// then the newest. It returns nil if there is none.
func (c *Core) releaseRecipient() (best *caller) {
	for _, p := range c.callers {
		if p.takesReleases() && (best == nil || p.compareAsRecipient(best) > 0) {
			best = p
		}
	}
	return best
}

// takesReleases reports whether releases of calls that were not set up on the connection may be sent on it: it is a
// caller's, or counts as one because it has stayed open after a heartbeat.
func (p *caller) takesReleases() bool {
	return !p.eof && (p.isCaller || p.hasRequested && p.core.now-p.openedAt >= healthCheckTime)
}

// compareAsRecipient is positive if p is better than q for a release whose own connection is closed.
func (p *caller) compareAsRecipient(q *caller) int {
	if p.isCaller != q.isCaller {
		if p.isCaller {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(p.answeredSetUps, q.answeredSetUps), cmp.Compare(p.id, q.id))
}
