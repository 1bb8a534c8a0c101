package caller

import (
	"net"
	"time"

	"masthill/internal/sip"
)

// conn is one caller's connection. What follows its host belongs to the server's lock.
type conn struct {
	*sip.Conn
	server           *Server
	rejected         int       // requests turned down; the reader's
	host             string    // of the peer
	openCalls        int       // set-ups without their answer
	establishedCalls int       // calls that stand
	hasRequested     bool      // something valid was asked
	lastUsed         time.Time // when it last was, or an answer was given; at first, when it was accepted
	ending           bool      // it is ending: nothing more is taken
	idleEnding       bool      // as it was idle; its reader may still find a request that had come
	evicted          bool      // it makes room for others
}

func newConn(c net.Conn, s *Server) *conn {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	cn := &conn{server: s, host: host, lastUsed: time.Now()}
	cn.Conn = sip.NewConn(c, sip.Limits{Write: writeTimeout, MessageTimeout: cn.messageLimit, Idle: cn.idleLimit, ErrorResponse: cn.finalMessages, Linger: lingerTimeout,
		HalfCloseEnds: true})
	return cn
}

// whole is how long the message that begins now may take.
func (c *conn) messageLimit() time.Duration {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.hasRequested {
		return messageTimeout
	}
	return min(messageTimeout, firstMessageTimeout-time.Since(c.lastUsed))
}

// farewell is what a peer that can't be read any further is told last: its set-ups have no other way to their answers.
func (c *conn) finalMessages(why error) []byte {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	c.ending = true
	var b []byte
	for _, t := range s.giveUpOpen(c) {
		b = sip.AppendBody(append(sip.AppendStatus(b, 503), t.echoedHeaders...), nil)
	}
	return append(b, sip.ErrorResponse(why)...)
}

// idle is the limit of a connection's silence.
func (c *conn) idleLimit() time.Duration {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.idleEnding = false
	if c.openCalls > 0 {
		return busyIdleInterval
	}
	left := firstIdleTimeout - time.Since(c.lastUsed)
	switch {
	case c.establishedCalls > 0:
		left = busyIdleInterval
	case c.hasRequested:
		left = idleTimeout - time.Since(c.lastUsed)
	}
	if wait, drains := c.drainTimeLeft(); drains {
		left = min(left, wait)
	}
	if left <= 0 && !c.ending {
		c.ending, c.idleEnding = true, true
	}
	if c.ending {
		return 0
	}
	return left
}

// stays takes back that the connection is idle, as a request had come before its end. Called by the reader, under the lock.
func (c *conn) cancelIdleEnding() {
	if c.idleEnding {
		c.ending, c.idleEnding = false, false
	}
}

// rank orders connections by how soon they make room for others; -1: never, as a set-up is open there. What
// stands goes on without its connection.
func (c *conn) evictionRank() int {
	unused := time.Since(c.lastUsed)
	switch {
	case c.openCalls > 0 || c.ending:
		return -1
	case c.isReading():
		return 5
	case !c.hasRequested && unused > silentAge:
		return 0
	case c.hasRequested && c.establishedCalls == 0 && unused > idleAge:
		return 1
	case !c.hasRequested:
		return 2
	case c.establishedCalls == 0:
		return 3
	}
	return 4
}

// outstays tells that a connection has not been without a set-up since the drain began: what it still brings is refused, or
// it would never end.
func (c *conn) exceedsDrain() bool {
	left, drains := c.drainTimeLeft()
	return drains && c.openCalls > 0 && left < -drainTimeout
}

// slow tells that a request is on its way in pieces.
func (c *conn) isReading() bool {
	heard, begun := c.PartialMessage()
	return begun && time.Since(heard) < partialReadAge
}

// last is when the connection was last of use.
func (c *conn) lastActivity() time.Time {
	if heard, begun := c.PartialMessage(); begun && heard.After(c.lastUsed) {
		return heard
	}
	return c.lastUsed
}

// leaves tells how long a connection without an open set-up is kept in a drain.
func (c *conn) drainTimeLeft() (left time.Duration, drains bool) {
	if c.server.drainAt.IsZero() || !c.hasRequested || c.establishedCalls > 0 {
		return 0, false
	}
	return time.Until(c.server.drainAt), true
}

// answered has the reader look whether the connection is to be closed, in a drain. Called under the lock.
func (c *conn) wakeIfDrained() {
	if c.openCalls == 0 && !c.server.drainAt.IsZero() {
		c.RecheckLimits()
	}
}

// use notes that something valid was asked.
func (c *conn) noteRequest() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.cancelIdleEnding()
	c.noteRequestLocked()
}

// ask is use under the lock.
func (c *conn) noteRequestLocked() {
	c.lastUsed = time.Now()
	if !c.hasRequested {
		c.hasRequested = true
		c.server.flushPendingReleases(c)
	}
}
