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
	bestFit := 0
	for c := range s.conns {
		fit := c.fitsRelease(r)
		if fit > bestFit || fit > 0 && fit == bestFit && c.lastUsed.After(best.lastUsed) {
			best, bestFit = c, fit
		}
	}
	return best
}

// fitsRelease tells how well a connection suits a release; 0: not at all. A peer that has only connected, sent part of a
// request or made a readiness test is not known to be a caller: it may never read the release, and has no right to know
// of the call. A caller from another host suits only if the call's own host has not come back in time.
func (c *conn) fitsRelease(r *release) int {
	switch {
	case c.ending || !c.client.known || slices.Contains(r.tried, c):
		return 0
	case !r.client.known:
		return 1
	case c.client == r.client:
		return 3
	case c.client.host == r.client.host:
		return 2
	case time.Since(r.createdAt) >= otherHostDelay && !r.confirmedElsewhere:
		return 1
	}
	return 0
}

// noteCaller records that calls of a client are set up or ended over the connection, and sends it the releases that wait
// for this client. Called with the lock held.
func (c *conn) noteCaller(from client) {
	if c.client == from {
		return
	}
	c.client = from
	for _, r := range c.server.releases.all() {
		if r.current == nil && c.fitsRelease(r) > 0 {
			c.sendRelease(r)
		}
	}
}
