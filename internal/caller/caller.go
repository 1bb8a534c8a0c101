// Package caller is the server side of the platform's protocol: the listener, the callers' transactions and
// the readiness test.
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
	// writeTimeout is the deadline of a write to a caller. An answer that takes longer is not whole in time.
	writeTimeout = time.Second
	// messageTimeout is how long a set-up may take from its first byte to its last: honest clients may need two seconds. One
	// on a connection that has asked for nothing yet is to be whole firstMessageTimeout after the accept, as a peer that sends
	// nothing whole is owed its refusal within 3 s of connecting.
	messageTimeout, firstMessageTimeout = 2500 * time.Millisecond, 2600 * time.Millisecond
	// lingerTimeout is how long a caller may take to close after this side has: some round trips, and its own pause.
	lingerTimeout = 300 * time.Millisecond
	// firstIdleTimeout is how long a new connection may ask for nothing, idleTimeout one that has no call and asked before:
	// callers close theirs after 4 s, and one that never does must not hold its place. With a set-up open or a
	// call standing it is looked at again every busyIdleInterval.
	firstIdleTimeout, idleTimeout, busyIdleInterval = 2 * time.Second, 6 * time.Second, time.Second
	// youngAge and unusedAge order who makes room for a new connection: one that has asked for nothing that long,
	// then one without a call that has not asked that long. The time of a request on its way is well below. Nor does
	// one whose bytes still came partialAge ago, as long as others do: it may only be slow.
	youngAge, unusedAge, partialAge = 250 * time.Millisecond, time.Second, time.Second
	// evictedShare is the part of the places, as a divisor, that connections which make room may keep while their peers
	// still read; beyond it they are closed at once.
	evictedShare = 8
	// maxOpenCalls bounds the set-ups open on one connection, lest one caller fill the table for all: at the busiest
	// rates of one instance, all its calls of two seconds.
	maxOpenCalls = 256
	// maxEchoBytes bounds the headers that an answer repeats, as they are kept for it.
	maxEchoBytes = 1 << 10
	// headerRoom is what a set-up may grow by on its way to an office, where the limit of a message holds too.
	headerRoom = 512
	// maxRejectionsLogged is how many requests turned down are logged one by one on a connection; its last line has their
	// number. A caller that sends the same again at once must not fill the log.
	maxRejectionsLogged = 3
	// drainTimeout is how long after the begin of a drain a connection that is never without a set-up may bring new ones.
	drainTimeout = time.Second
	// shutdownInterval is how often an orderly end looks whether it is through.
	shutdownInterval = 2 * time.Millisecond
	// releaseTimeout is how long a release waits for a connection to go out on: PROTOCOL has it sent within 8 s.
	releaseTimeout = 7 * time.Second
	// maxPendingReleases bounds the releases that wait.
	maxPendingReleases = 1024
	// owner marks the calls of this side: any of its connections may end a call (PROTOCOL).
	owner = "sip"
)

// Options is what a Server is made from.
type Options struct {
	Core           exchange.CallHandler
	Log            *slog.Logger
	Names          exchange.Names
	Ready          func() bool // whether the readiness test passes
	MaxConnections int         // connections held at once
}

// Server takes calls from callers that speak the platform's protocol.
type Server struct {
	Options
	mu       sync.Mutex
	refusing bool      // nothing more is taken
	drainAt  time.Time // from then on connections are closed as they have nothing open; zero: no drain
	conns    map[*conn]bool
	parting  int // of these, those that make room
	txns     map[string]*txn
	late     []release // that found no connection
}

// room closes the connection that can best be spared, where all places are taken: callers that connect and say
// nothing must not keep others out. Called under the lock.
func (s *Server) room() bool {
	spare := s.spare()
	if spare == nil {
		return false
	}
	spare.gone, spare.parts = true, true
	if s.parting++; s.parting > max(s.MaxConnections/evictedShare, 1) {
		spare.Abort(sip.Evicted)
	} else {
		spare.CloseWithReason(sip.Evicted)
	}
	return true
}

// spare finds the connection that makes room next, or nil. Called under the lock.
func (s *Server) spare() (spare *conn) {
	least := 0
	for c := range s.conns {
		if r := c.rank(); r >= 0 && (spare == nil || r < least || r == least && c.last().Before(spare.last())) {
			spare, least = c, r
		}
	}
	return spare
}

// New makes a server.
func New(o Options) *Server {
	return &Server{Options: o, conns: map[*conn]bool{}, txns: map[string]*txn{}}
}

// Drain closes connections as soon as no set-up is open on them, beginning after that time. What still comes is served.
func (s *Server) Drain(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainAt = time.Now().Add(after)
	for c := range s.conns {
		c.RecheckLimits()
	}
}

// SetMaxOpen changes how many connections are held at once. Of those beyond, the ones that can best be spared make room.
func (s *Server) SetMaxOpen(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxConnections = n
	for len(s.conns)-s.parting > n {
		spare := s.spare()
		if spare == nil {
			return
		}
		spare.gone, spare.parts = true, true
		s.parting++
		spare.CloseWithReason(sip.Evicted) // all at once: an abort waits for its reader, and the front with it
	}
}

// Resume ends a drain: connections are kept again.
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
		if err != nil { // out of descriptors, say: what is open still gets its answers
			s.Log.Error("accept failed", "err", err)
			time.Sleep(pause)
			pause = min(2*pause, 100*time.Millisecond)
			continue
		}
		pause = time.Millisecond
		s.mu.Lock()
		over := len(s.conns)-s.parting >= s.MaxConnections && !s.room()
		cn := newConn(c, s)
		if !over {
			s.conns[cn] = true
		}
		s.mu.Unlock()
		if over {
			s.Log.Warn("caller connection ended", "reason", sip.OverLimit, "peer", c.RemoteAddr().String())
			c.Close()
			continue
		}
		g.Go(func() error { s.serve(ctx, cn); return nil })
	}
	return g.Wait()
}

// Unfinished tells how many connections are still to be served before the end: a set-up is open there, or read in part, or
// the connection is one that a drain has not closed yet. Calls that only stand go on without it.
func (s *Server) Unfinished() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if _, begun := c.PartialMessage(); !c.gone && (begun || c.open > 0 || c.asked && c.standing == 0) {
			n++
		}
	}
	return n
}

// Refuse has all that still comes refused here, at once: nothing more reaches the core.
func (s *Server) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
}

// Shutdown ends all connections in order, and waits for that until ctx ends. Refuse and the core's own refusal of all
// that waits come before it, so that every set-up that was read gets its answer first.
func (s *Server) Shutdown(ctx context.Context) {
	tick := time.NewTicker(shutdownInterval)
	defer tick.Stop()
	for {
		s.mu.Lock()
		for c := range s.conns {
			if c.open == 0 {
				c.gone = true
				c.Conn.Close()
			}
		}
		left := len(s.conns)
		s.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Server) serve(ctx context.Context, c *conn) {
	began := time.Now()
	s.mu.Lock()
	s.flushLate(c)
	s.mu.Unlock()
	reason, err := c.Run(ctx, c.take)
	s.mu.Lock()
	delete(s.conns, c)
	if c.parts {
		s.parting--
	}
	c.gone = true
	left := len(s.abandon(c))
	s.mu.Unlock()
	s.Log.Info("caller connection ended", "reason", reason, "peer", c.Remote(), "given_up", left, "turned_down", c.turned,
		"age_ms", time.Since(began).Milliseconds(), "err", err)
}
