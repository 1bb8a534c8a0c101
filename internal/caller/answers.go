package caller

import (
	"fmt"
	"slices"
	"time"

	"masthill/internal/exchange"
	"masthill/internal/sip"
)

type release struct {
	host  string // of its caller; empty: not known
	msg   []byte
	until time.Time
}

// Answer implements exchange.Caller.
func (s *Server) Answer(id string, f exchange.FinalAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.txns[id]
	if t == nil || t.stood {
		return // never a second answer
	}
	status := map[exchange.Verdict]int{exchange.Stands: 200, exchange.Refused: 503, exchange.Failed: 500}[f.Verdict]
	b := append(sip.AppendStatus(make([]byte, 0, 512+len(f.Description)), status), t.echo...)
	if f.Verdict == exchange.Stands {
		t.stood, t.echo = true, nil
		t.open, t.standing, t.used = t.open-1, t.standing+1, time.Now()
		t.answered()
	} else {
		s.remove(t)
	}
	if f.Wait > 0 {
		b = fmt.Appendf(b, "X-Later-Ms: %d\r\n", f.Wait.Milliseconds())
	}
	t.Send(sip.AppendBody(b, f.Description))
}

// Presence implements exchange.PresenceChecker: a set-up belongs to its connection, and only that may cancel it.
func (s *Server) Presence(id string) exchange.Presence {
	t := s.waiting(id)
	if t == nil {
		return exchange.Gone
	}
	input := t.Input()
	switch {
	case input == sip.InputEnded, s.waiting(id) != t: // cancelled before the look, which then finds nothing unread
		return exchange.Gone
	case input == sip.InputUnread:
		return exchange.InputPending
	}
	return exchange.Connected
}

// waiting gives a set-up that waits for its answer, or nil.
func (s *Server) waiting(id string) *txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.txns[id]; t != nil && t.conn != nil {
		return t
	}
	return nil
}

// Release implements exchange.Caller. A call that stands belongs to no connection: where its own has gone,
// any other will do, and the next one to open where there is none.
func (s *Server) Release(id string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.txns[id]
	if t == nil {
		t = &txn{id: id, number: id}
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
	if t.conn != nil && s.conns[t.conn] && !t.gone {
		t.Send(b)
		return
	}
	if c := s.another(t.conn); c != nil {
		c.Send(b)
		return
	}
	if len(s.late) < maxPendingReleases {
		late := release{msg: b, until: time.Now().Add(releaseTimeout)}
		if t.conn != nil {
			late.host = t.host
		}
		s.late = append(s.late, late)
	}
}

// another finds a connection for the release of a call whose own has gone: one from the same host first, then one
// that has asked for something, the last of those. A stranger who has only connected may never read it.
func (s *Server) another(gone *conn) (best *conn) {
	most := 0
	for c := range s.conns {
		fit := 0
		switch {
		case c.gone:
		case gone != nil && c.host == gone.host:
			fit = 3
		case c.asked:
			fit = 2
		case gone == nil: // from before a restart: its caller may only just have come back
			fit = 1
		}
		if fit > most || fit > 0 && fit == most && c.used.After(best.used) {
			best, most = c, fit
		}
	}
	return best
}

// flushLate gives a connection the releases that found none: at once those of its host, or of a call from before a
// restart, and all of them once it has asked for something. Called under the lock.
func (s *Server) flushLate(c *conn) {
	s.late = slices.DeleteFunc(s.late, func(r release) bool {
		if time.Now().After(r.until) {
			return true
		}
		return (c.asked || r.host == "" || r.host == c.host) && c.Send(r.msg)
	})
}
