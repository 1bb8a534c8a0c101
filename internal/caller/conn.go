package caller

import (
	"net"
	"time"

	"masthill/internal/sip"
)

// conn is one caller's connection. What follows its host belongs to the server's lock.
type conn struct {
	*sip.Conn
	server   *Server
	turned   int       // requests turned down; the reader's
	host     string    // of the peer
	open     int       // set-ups without their answer
	standing int       // calls that stand
	asked    bool      // something valid was asked
	used     time.Time // when it last was, or an answer was given; at first, when it was accepted
	gone     bool      // it is ending: nothing more is taken
	spent    bool      // as it was idle; its reader may still find a request that had come
	parts    bool      // it makes room for others
}

func newConn(c net.Conn, s *Server) *conn {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	cn := &conn{server: s, host: host, used: time.Now()}
	cn.Conn = sip.NewConn(c, sip.Limits{Write: writeTimeout, MessageTimeout: cn.whole, Idle: cn.idle, ErrorResponse: cn.farewell, Linger: lingerTimeout,
		HalfCloseEnds: true})
	return cn
}

// whole is how long the message that begins now may take.
func (c *conn) whole() time.Duration {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.asked {
		return messageTimeout
	}
	return min(messageTimeout, firstMessageTimeout-time.Since(c.used))
}

// farewell is what a peer that can't be read any further is told last: its set-ups have no other way to their answers.
func (c *conn) farewell(why error) []byte {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	c.gone = true
	var b []byte
	for _, t := range s.abandon(c) {
		b = sip.AppendBody(append(sip.AppendStatus(b, 503), t.echo...), nil)
	}
	return append(b, sip.ErrorResponse(why)...)
}

// idle is the limit of a connection's silence.
func (c *conn) idle() time.Duration {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.spent = false
	if c.open > 0 {
		return busyIdleInterval
	}
	left := firstIdleTimeout - time.Since(c.used)
	switch {
	case c.standing > 0:
		left = busyIdleInterval
	case c.asked:
		left = idleTimeout - time.Since(c.used)
	}
	if wait, drains := c.leaves(); drains {
		left = min(left, wait)
	}
	if left <= 0 && !c.gone {
		c.gone, c.spent = true, true
	}
	if c.gone {
		return 0
	}
	return left
}

// stays takes back that the connection is idle, as a request had come before its end. Called by the reader, under the lock.
func (c *conn) stays() {
	if c.spent {
		c.gone, c.spent = false, false
	}
}

// rank orders connections by how soon they make room for others; -1: never, as a set-up is open there. What
// stands goes on without its connection.
func (c *conn) rank() int {
	unused := time.Since(c.used)
	switch {
	case c.open > 0 || c.gone:
		return -1
	case c.slow():
		return 5
	case !c.asked && unused > youngAge:
		return 0
	case c.asked && c.standing == 0 && unused > unusedAge:
		return 1
	case !c.asked:
		return 2
	case c.standing == 0:
		return 3
	}
	return 4
}

// outstays tells that a connection has not been without a set-up since the drain began: what it still brings is refused, or
// it would never end.
func (c *conn) outstays() bool {
	left, drains := c.leaves()
	return drains && c.open > 0 && left < -drainTimeout
}

// slow tells that a request is on its way in pieces.
func (c *conn) slow() bool {
	heard, begun := c.PartialMessage()
	return begun && time.Since(heard) < partialAge
}

// last is when the connection was last of use.
func (c *conn) last() time.Time {
	if heard, begun := c.PartialMessage(); begun && heard.After(c.used) {
		return heard
	}
	return c.used
}

// leaves tells how long a connection without an open set-up is kept in a drain.
func (c *conn) leaves() (left time.Duration, drains bool) {
	if c.server.drainAt.IsZero() || !c.asked || c.standing > 0 {
		return 0, false
	}
	return time.Until(c.server.drainAt), true
}

// answered has the reader look whether the connection is to be closed, in a drain. Called under the lock.
func (c *conn) answered() {
	if c.open == 0 && !c.server.drainAt.IsZero() {
		c.RecheckLimits()
	}
}

// use notes that something valid was asked.
func (c *conn) use() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.stays()
	c.ask()
}

// ask is use under the lock.
func (c *conn) ask() {
	c.used = time.Now()
	if !c.asked {
		c.asked = true
		c.server.flushLate(c)
	}
}
