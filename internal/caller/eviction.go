package caller

import (
	"time"

	"masthill/internal/sip"
)

const (
	// silentAge and idleAge order the connections for eviction: first those without any request for silentAge, then
	// those without a call and without a request for idleAge. The time that a request takes to arrive is well below. A
	// connection that received bytes of a message within partialReadAge is evicted last, as its peer may only be slow.
	silentAge, idleAge, partialReadAge = 250 * time.Millisecond, time.Second, time.Second
	// evictedDivisor bounds the evicted connections that stay open while their peers still read, as a fraction of
	// MaxConnections; beyond it they are closed at once, or once the answers to them have been written.
	evictedDivisor = 8
)

// evictOne ends the connection that can best be spared, once MaxConnections is reached: callers that connect and send
// nothing must not lock others out. It returns false if there is none to evict. Called with the lock held.
func (s *Server) evictOne() bool {
	candidate := s.evictNext()
	if candidate == nil {
		return false
	}
	if s.evicting > max(s.MaxConnections/evictedDivisor, 1) && !candidate.HasQueued() {
		candidate.Abort(sip.Evicted)
	} else {
		candidate.CloseWithReason(sip.Evicted)
	}
	return true
}

// SetMaxConnections changes MaxConnections. Connections beyond it are evicted, those that can best be spared first.
func (s *Server) SetMaxConnections(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxConnections = n
	for len(s.conns)-s.evicting > n {
		candidate := s.evictNext()
		if candidate == nil {
			return
		}
		candidate.CloseWithReason(sip.Evicted) // not Abort: many at once would each wait for the reader, and block the server
	}
}

// evictNext marks the connection that can best be spared as evicted and returns it, or nil. The caller closes it. Called
// with the lock held.
func (s *Server) evictNext() (best *conn) {
	bestRank := 0
	for c := range s.conns {
		rank := c.evictionRank()
		if rank >= 0 && (best == nil || rank < bestRank || rank == bestRank && c.lastActivity().Before(best.lastActivity())) {
			best, bestRank = c, rank
		}
	}
	if best != nil {
		best.ending, best.evicted = true, true
		s.evicting++
	}
	return best
}

// evictionRank orders connections for eviction, lowest first; -1 excludes those with an unanswered set-up and those
// that are ending. Established calls go on without their connection.
func (c *conn) evictionRank() int {
	unusedFor := time.Since(c.lastUsed)
	switch {
	case c.openCalls > 0 || c.ending:
		return -1
	case c.isReading():
		return 5
	case !c.hasRequested && unusedFor > silentAge:
		return 0
	case c.hasRequested && c.establishedCalls == 0 && unusedFor > idleAge:
		return 1
	case !c.hasRequested:
		return 2
	case c.establishedCalls == 0:
		return 3
	}
	return 4
}

// isReading tells whether part of a message has arrived recently.
func (c *conn) isReading() bool {
	readAt, partial := c.PartialMessage()
	return partial && time.Since(readAt) < partialReadAge
}

// lastActivity returns when the connection was last used, counting a partly read message.
func (c *conn) lastActivity() time.Time {
	if readAt, partial := c.PartialMessage(); partial && readAt.After(c.lastUsed) {
		return readAt
	}
	return c.lastUsed
}
