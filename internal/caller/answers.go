package caller

import (
	"fmt"
	"slices"
	"time"

	"masthill/internal/exchange"
	"masthill/internal/sip"
)

// release is a release of a call that waits for a connection to be sent on.
type release struct {
	id        string
	client    client // the call's caller; unknown for a call that was set up before this process
	message   []byte
	expiresAt time.Time
}

// Answer implements exchange.Caller.
func (s *Server) Answer(id string, answer exchange.FinalAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.transactions[id]
	if t == nil || t.established {
		return // a call gets no second answer
	}
	status := map[exchange.AnswerKind]int{exchange.Established: 200, exchange.Refused: 503, exchange.Failed: 500}[answer.Kind]
	b := append(sip.AppendStatus(make([]byte, 0, 512+len(answer.Description)), status), t.echoedHeaders...)
	if answer.Kind == exchange.Established {
		t.established, t.echoedHeaders = true, nil
		t.openCalls, t.establishedCalls, t.lastUsed = t.openCalls-1, t.establishedCalls+1, time.Now()
		t.wakeIfDrained()
	} else {
		s.remove(t)
	}
	if answer.RetryAfter > 0 {
		b = fmt.Appendf(b, "X-Later-Ms: %d\r\n", answer.RetryAfter.Milliseconds())
	}
	t.Send(sip.AppendBody(b, answer.Description))
}

// Presence implements exchange.PresenceChecker. A set-up belongs to its connection, and only that may cancel it.
func (s *Server) Presence(id string) exchange.Presence {
	t := s.openTransaction(id)
	if t == nil {
		return exchange.Gone
	}
	input := t.Input()
	switch {
	case input == sip.InputEnded, s.openTransaction(id) != t: // cancelled before Input, which then reports nothing unread
		return exchange.Gone
	case input == sip.InputUnread:
		return exchange.InputPending
	}
	return exchange.Connected
}

// openTransaction returns the transaction of an unanswered set-up, or nil.
func (s *Server) openTransaction(id string) *transaction {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.transactions[id]; t != nil && t.conn != nil {
		return t
	}
	return nil
}

// Release implements exchange.Caller. An established call belongs to no connection: if its own has ended, the release
// is sent on any other, or on the next one to open if there is none.
func (s *Server) Release(id string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.transactions[id]
	if t == nil {
		t = &transaction{id: id, number: id}
	}
	s.remove(t)
	cause := "Q.850;cause=16"
	if cut {
		cause = "Q.850;cause=41"
	}
	b := sip.AppendRequest(nil, "BYE", t.number)
	b = sip.AppendHeader(b, "Via", "SIP/2.0/TCP masthill;branch=z9hG4bK"+id+".r")
	b = sip.AppendHeader(b, "Call-ID", id)
	b = fmt.Appendf(b, "CSeq: %d BYE\r\n", t.seq+1)
	b = sip.AppendBody(sip.AppendHeader(b, "Reason", cause), nil)
	if t.conn != nil && s.conns[t.conn] && !t.ending {
		t.sendRelease(id, b)
		return
	}
	if c := s.connForRelease(t.client); c != nil {
		c.sendRelease(id, b)
		return
	}
	s.Log.Debug("release waits for a connection", "call", id)
	if len(s.pendingReleases) < maxPendingReleases {
		s.pendingReleases = append(s.pendingReleases, release{id: id, client: t.client, message: b, expiresAt: time.Now().Add(releaseTimeout)})
	}
}

// client is what is known of the origin of a call, or of the calls on a connection.
type client struct {
	known  bool
	host   string
	tenant string
}

// connForRelease returns the connection that suits the release of a client's call best, and among equals the last used;
// nil: there is none.
func (s *Server) connForRelease(of client) (best *conn) {
	bestFit := 0
	for c := range s.conns {
		fit := c.fitsRelease(of)
		if fit > bestFit || fit > 0 && fit == bestFit && c.lastUsed.After(best.lastUsed) {
			best, bestFit = c, fit
		}
	}
	return best
}

// fitsRelease tells how well a connection suits the release of a client's call; 0: not at all. A peer that has only
// connected, sent part of a request or made a readiness test is not known to be a caller: it may never read the release,
// and has no right to know of the call.
func (c *conn) fitsRelease(of client) int {
	switch {
	case c.ending || !c.client.known:
		return 0
	case c.client == of:
		return 3
	case c.client.host == of.host:
		return 2
	}
	return 1
}

// noteCaller records that calls of a client are set up or ended over the connection, and sends the releases that wait
// for a caller. Called with the lock held.
func (c *conn) noteCaller(from client) {
	if c.client == from {
		return
	}
	c.client = from
	s := c.server
	s.pendingReleases = slices.DeleteFunc(s.pendingReleases, func(r release) bool {
		if time.Now().After(r.expiresAt) {
			s.Log.Warn("release undelivered", "call", r.id)
			return true
		}
		return c.sendRelease(r.id, r.message)
	})
}

// sendRelease sends a release on a connection and logs what is known of that connection's peer. It returns false if the
// write queue is full.
func (c *conn) sendRelease(id string, message []byte) bool {
	c.server.Log.Debug("release sent", "call", id, "peer", c.Remote(), "has_requested", c.hasRequested, "idle_ms",
		time.Since(c.lastUsed).Milliseconds())
	return c.Send(message)
}
