package caller

import (
	"time"

	"masthill/internal/sip"
)

const (
	// silentAge and idleAge order the connections for eviction: first those without any request for silentAge, then
	// those without a call and without a request for idleAge. The time that a request takes to arrive is well below. A
	// connection that received bytes of a message within partialReadAge is evicted last, as its peer may only be slow; so
	// is one with input that its reader has not read yet.
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
func (s *Server) evictNext() *conn {
	candidate := s.leastNeeded()
	if candidate != nil {
		candidate.ending, candidate.evicted = true, true
		s.evicting++
	}
	return candidate
}

// leastNeeded returns the connection that can best be spared, or nil. A reader that waits for the processor has not seen
// what its peer has sent, so the kernel is asked for the unread input of each candidate. Called with the lock held.
func (s *Server) leastNeeded() (best *conn) {
	var lowest evictionOrder
	for c := range s.conns {
		order := c.evictionOrder()
		if order.rank == neverEvicted || best != nil && !order.precedes(lowest) {
			continue
		}
		if c.HasUnreadInput() {
			c.unreadAt = time.Now()
			order = c.evictionOrder()
		}
		if best == nil || order.precedes(lowest) {
			best, lowest = c, order
		}
	}
	return best
}

// evictionOrder is a connection's place in the order of eviction: the lowest rank is evicted first, and in a rank the
// connection whose last activity is the oldest.
type evictionOrder struct {
	rank         evictionRank
	lastActivity time.Time
}

func (o evictionOrder) precedes(other evictionOrder) bool {
	return o.rank < other.rank || o.rank == other.rank && o.lastActivity.Before(other.lastActivity)
}

func (c *conn) evictionOrder() evictionOrder {
	return evictionOrder{c.evictionRank(), c.lastActivity()}
}

// evictionRank is the rank of a connection for eviction.
type evictionRank int

// The ranks, in the order of eviction.
const (
	rankSilent       evictionRank = iota // no request for silentAge
	rankIdle                             // no call, and no request for idleAge
	rankJustAccepted                     // no request yet
	rankWithoutCalls
	rankWithEstablishedCalls // these go on without their connection
	rankReceiving            // part of a message has arrived recently, or input is unread
	neverEvicted             // a set-up is unanswered, or the connection is ending
)

// evictionRank returns the connection's rank. Called with the lock held.
func (c *conn) evictionRank() evictionRank {
	unusedFor := time.Since(c.lastUsed)
	switch {
	case c.openCalls > 0 || c.ending:
		return neverEvicted
	case c.isReceiving():
		return rankReceiving
	case !c.hasRequested && unusedFor > silentAge:
		return rankSilent
	case c.hasRequested && c.establishedCalls == 0 && unusedFor > idleAge:
		return rankIdle
	case !c.hasRequested:
		return rankJustAccepted
	case c.establishedCalls == 0:
		return rankWithoutCalls
	}
	return rankWithEstablishedCalls
}

// isReceiving tells whether part of a message has been read, or unread input been seen, within partialReadAge.
func (c *conn) isReceiving() bool {
	readAt, partial := c.PartialMessage()
	return partial && time.Since(readAt) < partialReadAge || time.Since(c.unreadAt) < partialReadAge
}

// lastActivity returns when the connection was last used, counting a partly read message and unread input.
func (c *conn) lastActivity() time.Time {
	latest := c.lastUsed
	if readAt, partial := c.PartialMessage(); partial && readAt.After(latest) {
		latest = readAt
	}
	if c.unreadAt.After(latest) {
		latest = c.unreadAt
	}
	return latest
}
