package callws

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"masthill/internal/sip"
)

// rawConn is the key of a request's connection in its context.
type rawConn struct{}

// boundedListener bounds the connections held at once. Those that never became a socket make room, the oldest first: peers
// that connect and say nothing must not keep callers out.
type boundedListener struct {
	net.Listener
	log   *slog.Logger
	limit int
	mu    sync.Mutex
	open  map[*trackedConn]bool
}

// trackedConn is a connection that counts until it is closed.
type trackedConn struct {
	net.Conn
	in       *sip.Input
	listener *boundedListener
	openedAt time.Time
	// Under the lock of boundedListener: it is a socket, or about to be; it has made room for another connection.
	claimed, evicted bool
}

// claim makes the connection a socket, unless it has made room already. It comes before the 101: a caller that has
// read that believes that it is connected, and must not be the one that makes room.
func (c *trackedConn) claim() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.claimed = !c.evicted
	return c.claimed
}

// disclaim takes a claim back whose upgrade failed.
func (c *trackedConn) unclaim() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.claimed = false
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) { return c.in.Read(b) }

func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

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

// spare is the connection that makes room next, or nil. Called under the lock.
func (l *boundedListener) oldestUnclaimed() (spare *trackedConn) {
	for c := range l.open {
		if !c.claimed && !c.evicted && (spare == nil || c.openedAt.Before(spare.openedAt)) {
			spare = c
		}
	}
	return spare
}

// setMost changes the bound.
func (l *boundedListener) setLimit(n int) {
	var beyond []*trackedConn
	l.mu.Lock()
	l.limit = n
	for len(l.open)-len(beyond) > n {
		c := l.oldestUnclaimed()
		if c == nil {
			break
		}
		c.evicted = true
		beyond = append(beyond, c)
	}
	l.mu.Unlock()
	for _, c := range beyond {
		c.Close()
	}
}

func (l *boundedListener) admit(raw net.Conn) net.Conn {
	l.mu.Lock()
	spare := l.oldestUnclaimed()
	full := len(l.open) >= l.limit
	if full && spare == nil {
		l.mu.Unlock()
		return nil
	}
	c := &trackedConn{Conn: raw, in: sip.NewInput(raw), listener: l, openedAt: time.Now()}
	l.open[c] = true
	if full {
		spare.evicted = true
	}
	l.mu.Unlock()
	if full {
		spare.Close() // the server logs it as one that never became a socket
	}
	return c
}
