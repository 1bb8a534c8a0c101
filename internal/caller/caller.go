// Package caller serves callers that speak the platform's protocol, a subset of SIP over TCP: it accepts their
// connections, handles their transactions and answers the readiness test.
package caller

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/internal/exchange"
	"masthill/internal/sip"
)

const (
	// writeTimeout bounds one write to a caller. An answer that takes longer is late anyway.
	writeTimeout = time.Second
	// messageTimeout bounds the time from a message's first byte to its last: valid clients may need two seconds. On a
	// connection without a request so far, the message must be complete firstMessageTimeout after the accept, as a peer
	// that sends nothing complete must get its refusal within 3 s of connecting.
	messageTimeout, firstMessageTimeout = 2500 * time.Millisecond, 2600 * time.Millisecond
	// lingerTimeout is how long a caller may take to close its side after this side has closed: some round trips and
	// the caller's own pause.
	lingerTimeout = 300 * time.Millisecond
	// firstIdleTimeout is how long a new connection may be without a request; idleTimeout applies after a request, if
	// the connection has no call. Callers close their connections after 4 s of idleness, and one that never does must
	// not hold its place. A connection with an unanswered set-up or an established call is checked again every
	// busyIdleInterval.
	firstIdleTimeout, idleTimeout, busyIdleInterval = 2 * time.Second, 6 * time.Second, time.Second
	// maxOpenCalls bounds the unanswered set-ups on one connection, so that one caller can't fill the call table: it is
	// enough for two seconds of all calls of one instance at the busiest rates.
	maxOpenCalls = 256
	// maxEchoBytes bounds the headers that an answer repeats, since they are kept until the answer.
	maxEchoBytes = 1 << 10
	// headerReserve is how much a set-up may grow on its way to an office, where the limit on a message's length holds
	// too.
	headerReserve = 512
	// maxRejectionsLogged bounds the rejected requests that are logged one by one on a connection; their total is
	// logged when it ends. A caller that repeats the same request at once must not fill the log.
	maxRejectionsLogged = 3
	// drainTimeout is how long after the start of a drain a connection that always has an unanswered set-up may bring
	// new ones.
	drainTimeout = time.Second
	// shutdownInterval is how often Shutdown checks whether all connections have ended.
	shutdownInterval = 2 * time.Millisecond
	// owner is the owner of all calls of this side: any of its connections may end a call, as the protocol requires.
	owner = "sip"
)

// Options configures a Server.
type Options struct {
	Core           exchange.CallHandler
	Log            *slog.Logger
	Names          exchange.Names
	Ready          func() bool // the answer to the readiness test
	MaxConnections int         // greatest number of open connections
	// HandOver hands releases over to the next process, at the end, and tells whether that worked; nil: there is no way.
	HandOver func([]HeldRelease) bool
}

// Server takes calls from callers that speak the platform's protocol.
type Server struct {
	Options
	mu               sync.Mutex
	refusing         bool      // every new set-up is refused
	drainAt          time.Time // from then on, connections without an unanswered set-up are closed; zero: no drain
	conns            map[*conn]bool
	evicting         int // number of these that are being evicted
	transactions     map[string]*transaction
	releases         releaseTable
	retryingReleases bool // retryReleases is scheduled
	confirmingHosts  map[string]bool
}

// New creates a server.
func New(o Options) *Server {
	return &Server{Options: o, conns: map[*conn]bool{}, transactions: map[string]*transaction{}, releases: newReleaseTable(), confirmingHosts: map[string]bool{}}
}

// Drain closes connections as soon as they have no unanswered set-up, starting after a time. Requests that still arrive
// are served.
func (s *Server) Drain(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainAt = time.Now().Add(after)
	for c := range s.conns {
		c.RecheckLimits()
	}
}

// Resume ends a drain: connections are kept open again.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainAt = time.Time{}
}

// Serve accepts connections until the listener is closed, and serves them until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	pause := time.Millisecond
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil { // such as no free descriptor: open connections are still served
			s.Log.Error("accept failed", "err", err)
			time.Sleep(pause)
			pause = min(2*pause, 100*time.Millisecond)
			continue
		}
		pause = time.Millisecond
		s.mu.Lock()
		full := len(s.conns)-s.evicting >= s.MaxConnections && !s.evictOne()
		cn := newConn(c, s)
		if !full {
			s.conns[cn] = true
		}
		s.mu.Unlock()
		if full {
			s.Log.Warn("caller connection ended", "reason", sip.OverLimit, "peer", c.RemoteAddr().String())
			c.Close()
			continue
		}
		g.Go(func() error { s.serve(ctx, cn); return nil })
	}
	return g.Wait()
}

// Unfinished returns the number of connections that still have to be served before the end: those with an unanswered
// set-up, those with a partly read message, and those that a drain has not closed yet. Established calls go on without
// their connection.
func (s *Server) Unfinished() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if _, partial := c.PartialMessage(); !c.ending && (partial || c.openCalls > 0 || c.hasRequested && c.establishedCalls == 0) {
			n++
		}
	}
	return n
}

// Refuse makes the server refuse every new set-up itself; none reaches the core any more.
func (s *Server) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
}

// Shutdown closes all connections gracefully and waits until they have ended or ctx ends. Refuse and the core's
// RefuseAll must be called before, so that every set-up that was read gets its answer first.
func (s *Server) Shutdown(ctx context.Context) {
	tick := time.NewTicker(shutdownInterval)
	defer tick.Stop()
	for {
		s.mu.Lock()
		for c := range s.conns {
			if c.openCalls == 0 {
				c.ending = true
				c.Conn.Close()
			}
		}
		remaining := len(s.conns)
		s.mu.Unlock()
		if remaining == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// serve runs a connection until it ends, and gives up its unanswered set-ups.
func (s *Server) serve(ctx context.Context, c *conn) {
	began := time.Now()
	reason, err := c.Run(ctx, c.handle)
	s.mu.Lock()
	delete(s.conns, c)
	if c.evicted {
		s.evicting--
	}
	c.ending = true
	givenUp := len(s.giveUpOpen(c))
	s.releaseConnEnded(c, reason)
	s.mu.Unlock()
	s.Log.Info("caller connection ended", "reason", reason, "peer", c.Remote(), "given_up", givenUp, "turned_down", c.rejected,
		"age_ms", time.Since(began).Milliseconds(), "err", err)
}
