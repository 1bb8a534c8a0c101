package caller

import (
	"fmt"
	"slices"
	"time"

	"masthill/internal/sip"
)

const (
	// releaseTimeout is how long a release is kept for its caller: the protocol requires it within 8 s.
	releaseTimeout = 7 * time.Second
	// confirmTimeout is how long a caller has to confirm a release before another connection is tried: T1 of RFC 3261, and
	// half of the second that the protocol allows.
	confirmTimeout = 500 * time.Millisecond
	// otherHostDelay is how long a release waits for its caller's host before a caller from another host is tried: with
	// releaseRetryInterval it leaves half of the second that the protocol allows.
	otherHostDelay = 300 * time.Millisecond
	// releaseRetryInterval is how often unconfirmed releases are checked.
	releaseRetryInterval = 100 * time.Millisecond
	// releaseResendAge is the age from which a release counts as read if its peer then closes the connection in order: a
	// close that crossed the release would have arrived before.
	releaseResendAge = time.Second
	// maxUnconfirmedReleases bounds the releases that are kept.
	maxUnconfirmedReleases = 1024
	// maxConfirmingHosts bounds the hosts that are known to confirm releases.
	maxConfirmingHosts = 4096
)

// release is the release of an established call. It is kept until its caller has confirmed it, as what was queued for a
// connection is lost with it, or until it expires.
type release struct {
	id        string
	message   []byte
	client    client // the caller; unknown for a call that was set up before this process
	own       *conn  // the connection of the call's set-up; nil: it has ended or is unknown
	createdAt time.Time
	attempts  int       // how often it was sent
	tried     []*conn   // the open connections that it was sent on
	current   *conn     // the one of these that may still confirm it; nil: none
	sentAt    time.Time // when it was last sent
	// confirmedElsewhere: a caller of another host than the call's has confirmed it. Such a caller may confirm any release, so the
	// call's own host gets it too if it comes back in time.
	confirmedElsewhere bool
}

// Release implements exchange.Caller. An established call belongs to no connection: if its own has ended, the release
// is sent on another one of its caller, or on the next one that its caller uses.
func (s *Server) Release(id string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.transactions[id]
	switch {
	case t == nil && s.releases.get(id) != nil:
		return // the office has repeated it
	case t == nil:
		t = &transaction{id: id, number: id}
	}
	s.remove(t)
	r := &release{id: id, message: releaseMessage(t, cut), client: t.client, createdAt: time.Now()}
	if s.conns[t.conn] {
		r.own = t.conn
	}
	if s.releases.len() >= maxUnconfirmedReleases && !s.releases.dropSent() {
		s.Log.Warn("release undelivered", "call", id, "why", "too many wait")
		return
	}
	s.releases.add(r)
	s.scheduleReleaseRetry()
	if r.own != nil && !r.own.ending && r.own.sendRelease(r) {
		return
	}
	if s.routeRelease(r); r.current == nil {
		s.Log.Debug("release waits for its caller", "call", id)
	}
}

func releaseMessage(t *transaction, cut bool) []byte {
	cause := "Q.850;cause=16"
	if cut {
		cause = "Q.850;cause=41"
	}
	b := sip.AppendRequest(nil, "BYE", t.number)
	b = sip.AppendHeader(b, "Via", "SIP/2.0/TCP masthill;branch=z9hG4bK"+t.id+".r")
	b = sip.AppendHeader(b, "Call-ID", t.id)
	b = fmt.Appendf(b, "CSeq: %d BYE\r\n", t.seq+1)
	return sip.AppendBody(sip.AppendHeader(b, "Reason", cause), nil)
}

// sendRelease sends a release on a connection. It returns false if the connection can't take it.
func (c *conn) sendRelease(r *release) bool {
	r.tried = append(r.tried, c)
	r.attempts++
	if !c.Send(r.message) {
		r.current = nil
		return false
	}
	r.current, r.sentAt = c, time.Now()
	c.server.Log.Debug("release sent", "call", r.id, "peer", c.Remote(), "own", c == r.own, "attempt", r.attempts,
		"after_ms", time.Since(r.createdAt).Milliseconds())
	return true
}

// releaseAnswered handles a peer's response to a release. A caller that refuses the release of its own call has ended
// the call; any other peer does not know the call.
func (s *Server) releaseAnswered(c *conn, id string, m *sip.Message) {
	if _, method, ok := m.CSeq(); !ok || string(method) != "BYE" || m.Status < 200 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.releases.get(id)
	if r == nil || !slices.Contains(r.tried, c) {
		return
	}
	s.Log.Debug("release answered", "call", id, "status", m.Status, "peer", c.Remote())
	switch {
	case m.Status < 300:
		s.noteConfirmingHost(c.host)
		s.confirm(r, c)
	case c == r.own:
		s.releases.remove(r)
	case c == r.current:
		r.current = nil
		s.routeRelease(r)
	}
}

// confirm handles a peer's confirmation of a release. Called with the lock held.
func (s *Server) confirm(r *release, c *conn) {
	if !r.client.known || c.host == r.client.host {
		s.releases.remove(r)
		return
	}
	r.confirmedElsewhere = true
	if r.current != nil && r.current.host != r.client.host {
		r.current = nil
	}
}

// releaseConnEnded sends the releases again that may not have been read when their connection ended. Called with the lock
// held.
func (s *Server) releaseConnEnded(c *conn, reason sip.Reason) {
	for _, r := range s.releases.all() {
		r.tried = slices.DeleteFunc(r.tried, func(tried *conn) bool { return tried == c })
		switch {
		case r.current != c:
		case s.closeConfirms(r, reason):
			s.releases.remove(r)
		default:
			r.current = nil
			s.routeRelease(r)
		}
		if r.own == c {
			r.own = nil
		}
	}
}

// closeConfirms tells whether the end of a connection shows that the caller had read the release: the peer has closed its
// side in order, after this side's close or well after the release. The confirmation may have been discarded with the
// rest of the input then. It only counts on the call's own connection, as any other peer may have ignored the release, and
// where callers of the host confirm releases only after this side's close.
func (s *Server) closeConfirms(r *release, reason sip.Reason) bool {
	if r.current != r.own {
		return false
	}
	closedLater := reason == sip.PeerClosed && time.Since(r.sentAt) > releaseResendAge
	return r.own.PeerFinished() || closedLater && !s.confirmingHosts[r.own.host]
}

// scheduleReleaseRetry has the unconfirmed releases checked after releaseRetryInterval. Called with the lock held.
func (s *Server) scheduleReleaseRetry() {
	if !s.retryingReleases {
		s.retryingReleases = true
		time.AfterFunc(releaseRetryInterval, s.retryReleases)
	}
}

// retryReleases drops the releases that have expired, and tries another connection for those that are overdue.
func (s *Server) retryReleases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryingReleases = false
	for _, r := range s.releases.all() {
		switch {
		case time.Since(r.createdAt) >= releaseTimeout:
			s.releases.remove(r)
			s.logUndelivered(r)
		case r.confirmedElsewhere && r.current == nil: // noteCaller sends it if its caller comes back
		case r.current == nil || s.isOverdue(r):
			s.routeRelease(r)
		}
	}
	if s.releases.len() > 0 {
		s.scheduleReleaseRetry()
	}
}

// isOverdue tells whether a release that was sent should have been confirmed by now. Callers need not confirm releases:
// on the call's own connection, silence only means something if callers of its host confirm theirs.
func (s *Server) isOverdue(r *release) bool {
	return time.Since(r.sentAt) >= confirmTimeout && (r.current != r.own || s.confirmingHosts[r.client.host])
}

// noteConfirmingHost records that callers of a host confirm releases. Called with the lock held.
func (s *Server) noteConfirmingHost(host string) {
	if len(s.confirmingHosts) >= maxConfirmingHosts {
		clear(s.confirmingHosts) // those that are still there will confirm another one
	}
	s.confirmingHosts[host] = true
}

// logUndelivered logs a release that is given up, unless it was sent on a connection that is still open or was confirmed.
func (s *Server) logUndelivered(r *release) {
	if r.current == nil && !r.confirmedElsewhere {
		s.Log.Warn("release undelivered", "call", r.id, "attempts", r.attempts, "age_ms", time.Since(r.createdAt).Milliseconds())
	}
}
