package platform

import (
	"fmt"
	"slices"

	"pipitring/internal/jsonl"
)

// pendingRelease is the release of a standing call that is over, whose caller could not be notified yet because no
// caller's connection was open.
type pendingRelease struct {
	ref   string
	cause int
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
	c.Stats.ReleasesStored++
	c.pendingReleases = append(c.pendingReleases, pendingRelease{ref, cause})
	c.after(releaseLifetime, func() { c.dropPendingRelease(ref) })
}

// dropPendingRelease gives a release up that no connection has taken in time.
func (c *Core) dropPendingRelease(ref string) {
	i := slices.IndexFunc(c.pendingReleases, func(r pendingRelease) bool { return r.ref == ref })
	if i < 0 {
		return
	}
	c.pendingReleases = slices.Delete(c.pendingReleases, i, i+1)
	c.Stats.ReleasesDropped++
	c.logLine(fmt.Sprintf("release of call %s dropped: no caller's connection took it for %v", ref, releaseLifetime))
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
