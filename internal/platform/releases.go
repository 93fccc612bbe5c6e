package platform

import (
	"slices"
	"time"

	"pipitring/internal/jsonl"
)

// maxPendingReleases limits the pending releases. All of them fit into the buffer of one caller's connection.
const maxPendingReleases = 4096

// pendingRelease is the release of a standing call that is over, whose caller could not be notified yet because no
// caller's connection was open.
type pendingRelease struct {
	ref      string
	cause    int
	storedAt time.Duration
}

// sendReleaseToCaller sends the release of a call that stood to the caller's connection to. If that is closed,
// busiestCaller's is used; if there is none, the release is stored for the next connection on which a caller sends a
// request.
func (c *Core) sendReleaseToCaller(to *caller, ref string, cause int) {
	if to.closed || to.eof {
		to = c.busiestCaller()
	}
	if to != nil {
		c.Stats.ReleasesForwarded++
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

// sendPendingReleases sends the pending releases to a caller.
func (c *Core) sendPendingReleases(to *caller) {
	if len(c.pendingReleases) == 0 {
		return
	}
	c.Stats.ReleasesDelivered += uint64(len(c.pendingReleases))
	c.write(to.id, func(b []byte) []byte {
		for _, r := range c.pendingReleases {
			b = jsonl.AppendDown(b, r.ref, r.cause, 0)
		}
		return b
	})
	c.pendingReleases = nil
}

// busiestCaller returns the connection with the most answered set-ups, as unknown peers have none, or the newest of
// several. It returns nil if no connection has sent a request.
func (c *Core) busiestCaller() (best *caller) {
	for _, p := range c.callers {
		if p.hasRequested && !p.eof && (best == nil || p.answeredSetUps > best.answeredSetUps ||
			p.answeredSetUps == best.answeredSetUps && p.id > best.id) {
			best = p
		}
	}
	return best
}
