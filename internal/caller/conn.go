package caller

import (
	"net"
	"time"

	"masthill/internal/exchange"
	"masthill/internal/sip"
)

// conn is one caller's connection. The fields after host are guarded by the server's lock.
type conn struct {
	*sip.Conn
	server           *Server
	rejected         int       // rejected requests; used by the reader only
	host             string    // of the peer
	openCalls        int       // unanswered set-ups
	establishedCalls int       // established calls that were set up over it
	hasRequested     bool      // a valid request was received
	client           client    // whose calls were last set up or ended over it; unknown: none were
	endedUnknownCall bool      // its peer has ended a call that this process does not know, such as one from before its start
	lastUsed         time.Time // when the last valid request or answer was; initially when it was accepted
	unreadAt         time.Time // when input was last seen that the reader had not read; zero: never
	ending           bool      // new set-ups are refused
	idleEnding       bool      // ending because it was idle; the reader may still find a request that had arrived
	evicted          bool      // ending to make space for others
}

// newConn wraps an accepted connection.
func newConn(c net.Conn, s *Server) *conn {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	cn := &conn{server: s, host: host, lastUsed: time.Now()}
	cn.Conn = sip.NewConn(c, sip.Limits{WriteTimeout: writeTimeout, MessageTimeout: cn.messageLimit, IdleTimeout: cn.idleLimit, ErrorResponse: cn.finalMessages, Linger: lingerTimeout,
		HalfCloseEnds: true})
	return cn
}

// messageLimit returns how long a message that begins now may take to arrive.
func (c *conn) messageLimit() time.Duration {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.hasRequested {
		return messageTimeout
	}
	return min(messageTimeout, firstMessageTimeout-time.Since(c.lastUsed))
}

// finalMessages returns the last messages to a peer whose input can't be read any further, ending with the error
// response. Its unanswered set-ups are answered here, as no answer can reach them later: they are refused, or have failed
// where an attempt may have run that must not be repeated.
func (c *conn) finalMessages(why error) []byte {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	c.ending = true
	var b []byte
	for _, t := range s.giveUpOpen(c) {
		kind := exchange.Refused
		if !s.Names.Classes[t.class].Effect.Repeatable() {
			kind = exchange.Failed
		}
		b = sip.AppendBody(append(sip.AppendStatus(b, answerStatus[kind]), t.echoedHeaders...), nil)
	}
	return append(b, sip.ErrorResponse(why)...)
}

// idleLimit returns how long the connection may stay silent from now on; 0 ends it.
func (c *conn) idleLimit() time.Duration {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.idleEnding = false
	if c.openCalls > 0 {
		return busyIdleInterval
	}
	remaining := firstIdleTimeout - time.Since(c.lastUsed)
	switch {
	case c.establishedCalls > 0:
		remaining = busyIdleInterval
	case c.hasRequested:
		remaining = idleTimeout - time.Since(c.lastUsed)
	}
	if wait, drains := c.drainTimeLeft(); drains {
		remaining = min(remaining, wait)
	}
	if remaining <= 0 && !c.ending {
		c.ending, c.idleEnding = true, true
	}
	if c.ending {
		return 0
	}
	return remaining
}

// cancelIdleEnding reverts the decision to end the connection as idle, since a request had arrived before the end.
// Called by the reader, with the lock held.
func (c *conn) cancelIdleEnding() {
	if c.idleEnding {
		c.ending, c.idleEnding = false, false
	}
}

// exceedsDrain tells whether an unanswered set-up has kept the connection open for more than drainTimeout after a drain
// was due to close it. New set-ups on it are refused, or it would never end.
func (c *conn) exceedsDrain() bool {
	remaining, drains := c.drainTimeLeft()
	return drains && c.openCalls > 0 && remaining < -drainTimeout
}

// drainTimeLeft returns how long it takes until a drain closes the connection if it has no unanswered set-up, and
// whether a drain applies to it. The time is negative once that moment has passed.
func (c *conn) drainTimeLeft() (remaining time.Duration, drains bool) {
	if c.server.drainAt.IsZero() || !c.hasRequested || c.establishedCalls > 0 {
		return 0, false
	}
	return time.Until(c.server.drainAt), true
}

// wakeIfDrained makes the reader check at once whether a drain closes the connection. Called with the lock held.
func (c *conn) wakeIfDrained() {
	if c.openCalls == 0 && !c.server.drainAt.IsZero() {
		c.RecheckLimits()
	}
}

// noteRequest records a valid request.
func (c *conn) noteRequest() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.noteRequestLocked()
}

// noteRequestLocked is noteRequest, called with the lock held.
func (c *conn) noteRequestLocked() {
	c.cancelIdleEnding()
	c.lastUsed, c.hasRequested = time.Now(), true
}
