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
	host      string // of the call's caller; empty: unknown
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
	if c := s.connForRelease(t.conn); c != nil {
		c.sendRelease(id, b)
		return
	}
	s.Log.Debug("release waits for a connection", "call", id)
	if len(s.pendingReleases) < maxPendingReleases {
		pending := release{id: id, message: b, expiresAt: time.Now().Add(releaseTimeout)}
		if t.conn != nil {
			pending.host = t.host
		}
		s.pendingReleases = append(s.pendingReleases, pending)
	}
}

// connForRelease returns a connection for the release of a call whose own has ended: preferably one from the same host,
// or else one with a valid request; among these the last used. A peer that has only connected may never read it.
func (s *Server) connForRelease(ended *conn) (best *conn) {
	bestFit := 0
	for c := range s.conns {
		fit := 0
		switch {
		case c.ending:
		case ended != nil && c.host == ended.host:
			fit = 3
		case c.hasRequested:
			fit = 2
		case ended == nil: // a call from before a restart, whose caller may have just reconnected
			fit = 1
		}
		if fit > bestFit || fit > 0 && fit == bestFit && c.lastUsed.After(best.lastUsed) {
			best, bestFit = c, fit
		}
	}
	return best
}

// flushPendingReleases sends the waiting releases on a connection: at once those of its host and of calls from before a
// restart, and all of them once it has made a valid request. Called with the lock held.
func (s *Server) flushPendingReleases(c *conn) {
	s.pendingReleases = slices.DeleteFunc(s.pendingReleases, func(r release) bool {
		if time.Now().After(r.expiresAt) {
			s.Log.Warn("release undelivered", "call", r.id)
			return true
		}
		return (c.hasRequested || r.host == "" || r.host == c.host) && c.sendRelease(r.id, r.message)
	})
}

// sendRelease sends a release on a connection and logs what is known of that connection's peer. It returns false if the
// write queue is full.
func (c *conn) sendRelease(id string, message []byte) bool {
	c.server.Log.Debug("release sent", "call", id, "peer", c.Remote(), "has_requested", c.hasRequested, "idle_ms",
		time.Since(c.lastUsed).Milliseconds())
	return c.Send(message)
}
