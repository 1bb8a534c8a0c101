package callws

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"masthill/internal/sip"
)

// rawConn is the context key for the connection of a request.
type rawConn struct{}

// receivingAge is how long a connection counts as receiving after bytes of its request have been read, or have been seen
// unread.
const receivingAge = time.Second

// boundedListener limits the number of open connections. At the limit, a new connection replaces the oldest one that has
// not become a socket, those that receive a request last: peers that connect and send nothing must not keep callers out.
type boundedListener struct {
	net.Listener
	log   *slog.Logger
	limit int
	mu    sync.Mutex
	open  map[*trackedConn]bool
}

// trackedConn is a connection that counts towards the limit until it is closed.
type trackedConn struct {
	net.Conn
	in       *sip.Input
	listener *boundedListener
	openedAt time.Time
	readAt   atomic.Int64 // when bytes were last read, in Unix nanoseconds
	isSocket atomic.Bool  // what is read is no head of a request any more
	head     headCounter  // used by the reader only
	// Guarded by listener.mu. claimed: it is a socket, or about to become one; evicted: it is being closed to make room;
	// unreadAt: when unread input was last seen.
	claimed, evicted bool
	unreadAt         time.Time
}

// claim marks the connection as a socket, so that it is not evicted, and reports false if it has been evicted already.
// It is called before the 101 response: a caller that has read that response considers itself connected.
func (c *trackedConn) claim() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.claimed = !c.evicted
	c.isSocket.Store(c.claimed)
	return c.claimed
}

// unclaim undoes a claim after a failed upgrade.
func (c *trackedConn) unclaim() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.claimed = false
	c.isSocket.Store(false)
}

// Read implements net.Conn. A request whose head has too many fields is an error, which the HTTP server answers with 400.
func (c *trackedConn) Read(b []byte) (int, error) {
	if c.head.tooLong { // the HTTP server may read on after the first error
		return 0, errTooManyFields
	}
	n, err := c.in.Read(b)
	if n > 0 {
		c.readAt.Store(time.Now().UnixNano())
	}
	if c.isSocket.Load() {
		return n, err
	}
	if c.head.add(b[:n]); c.head.tooLong {
		time.Sleep(headRefusalDelay)
		return 0, errTooManyFields
	}
	return n, err
}

// receivedAt returns when the connection last received something, or when it was opened. listener.mu must be held.
func (c *trackedConn) receivedAt() time.Time {
	latest := c.openedAt
	for _, at := range []time.Time{time.Unix(0, c.readAt.Load()), c.unreadAt} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// isReceiving tells whether the connection has received something lately. listener.mu must be held.
func (c *trackedConn) isReceiving() bool {
	at := c.receivedAt()
	return at.After(c.openedAt) && time.Since(at) < receivingAge
}

// precedes tells whether the connection is evicted before another one. listener.mu must be held.
func (c *trackedConn) precedes(other *trackedConn) bool {
	if receiving := c.isReceiving(); receiving != other.isReceiving() {
		return !receiving
	}
	return c.receivedAt().Before(other.receivedAt())
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Accept implements net.Listener. Connections that cannot be admitted are closed.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		l.log.Warn("call socket ended", "reason", sip.OverLimit, "peer", raw.RemoteAddr().String())
		raw.Close()
	}
}

// leastNeeded returns the connection to evict next, or nil. On a busy processor a whole request may still be unread, so the
// kernel is asked about each candidate. l.mu must be held.
func (l *boundedListener) leastNeeded() (best *trackedConn) {
	for c := range l.open {
		if c.claimed || c.evicted || best != nil && !c.precedes(best) {
			continue
		}
		if c.in.HasUnread() {
			c.unreadAt = time.Now()
		}
		if best == nil || c.precedes(best) {
			best = c
		}
	}
	return best
}

// setLimit changes the limit and evicts connections beyond it, as far as they have not become sockets.
func (l *boundedListener) setLimit(n int) {
	var excess []*trackedConn
	l.mu.Lock()
	l.limit = n
	for len(l.open)-len(excess) > n {
		c := l.leastNeeded()
		if c == nil {
			break
		}
		c.evicted = true
		excess = append(excess, c)
	}
	l.mu.Unlock()
	for _, c := range excess {
		c.Close()
	}
}

// admit tracks a new connection, if need be in place of one that it evicts. It returns nil if there is no room.
func (l *boundedListener) admit(raw net.Conn) net.Conn {
	l.mu.Lock()
	var victim *trackedConn
	full := len(l.open) >= l.limit
	if full {
		if victim = l.leastNeeded(); victim == nil {
			l.mu.Unlock()
			return nil
		}
	}
	c := &trackedConn{Conn: raw, in: sip.NewInput(raw), listener: l, openedAt: time.Now()}
	l.open[c] = true
	if full {
		victim.evicted = true
	}
	l.mu.Unlock()
	if full {
		victim.Close() // logNotUpgraded logs it
	}
	return c
}
