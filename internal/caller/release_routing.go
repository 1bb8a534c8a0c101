package caller

import (
	"slices"
	"time"
)

// client is what is known of the origin of a call, or of the calls on a connection.
type client struct {
	known  bool
	host   string
	tenant string
}

// routeRelease sends a release on the best connection that it has not been sent on, so that each gets it once at most.
// Without one it waits, or stays with the connection that it was last sent on. Called with the lock held.
func (s *Server) routeRelease(r *release) {
	for {
		c := s.connForRelease(r)
		if c == nil || c.sendRelease(r) {
			return
		}
	}
}

// connForRelease returns the connection that suits a release best, and among equals the last used; nil: there is none.
// Called with the lock held.
func (s *Server) connForRelease(r *release) (best *conn) {
	bestFit := unsuitable
	for c := range s.conns {
		fit := c.fitsRelease(r)
		if fit > bestFit || fit > unsuitable && fit == bestFit && c.lastUsed.After(best.lastUsed) {
			best, bestFit = c, fit
		}
	}
	return best
}

// releaseFit is how well a connection suits a release; the highest comes first.
type releaseFit int

// The fits, in ascending order.
const (
	unsuitable     releaseFit = iota
	presumedCaller            // the peer has only ended calls that this process does not know
	anyCaller
	callerOfHost
	callerOfTenant // and of the host
)

// fitsRelease tells how well a connection suits a release. A peer that has only connected, sent part of a request or made
// a readiness test is not known to be a caller: it may never read the release, and has no right to know of the call. A
// caller from another host suits only if the call's own host has not come back in time.
func (c *conn) fitsRelease(r *release) releaseFit {
	switch {
	case c.ending || slices.Contains(r.tried, c):
		return unsuitable
	case !c.client.known:
		return c.fitsAsPresumedCaller(r)
	case !r.client.known:
		return anyCaller
	case c.client == r.client:
		return callerOfTenant
	case c.client.host == r.client.host:
		return callerOfHost
	case time.Since(r.createdAt) >= otherHostDelay && !r.confirmedElsewhere:
		return anyCaller
	}
	return unsuitable
}

// fitsAsPresumedCaller is fitsRelease for a peer that has set up no call in this process. After a restart a caller may only
// have calls from before, and end them one by one. It comes after all known callers, as any peer may name an unknown call.
func (c *conn) fitsAsPresumedCaller(r *release) releaseFit {
	if c.endedUnknownCall && (!r.client.known || c.host == r.client.host) {
		return presumedCaller
	}
	return unsuitable
}

// noteCaller records that calls of a client are set up or ended over the connection, and sends it the releases that wait
// for this client. Called with the lock held.
func (c *conn) noteCaller(from client) {
	if c.client == from {
		return
	}
	c.client = from
	c.sendWaitingReleases()
}

// notePresumedCaller records that the peer has ended a call that this process does not know, and sends it the releases that
// wait for such a peer. Called with the lock held.
func (c *conn) notePresumedCaller() {
	if c.endedUnknownCall {
		return
	}
	c.endedUnknownCall = true
	c.sendWaitingReleases()
}

// sendWaitingReleases sends the releases that wait for a connection and that this one suits. Called with the lock held.
func (c *conn) sendWaitingReleases() {
	for _, r := range c.server.releases.all() {
		if r.current == nil && c.fitsRelease(r) > unsuitable {
			c.sendRelease(r)
		}
	}
}
