// Package admin implements the HTTP server for operators at the instance's second address: the health check, and the
// requests that start a drain and end it. It only reads and sets the instance's readiness, so that it answers under any
// load.
package admin

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/internal/readiness"
	"masthill/internal/sip"
)

const (
	// DefaultMaxConnections is the default of Server.MaxConnections. At the limit, a new connection replaces the oldest
	// one that is minEvictionAge old, as a well-behaved client needs less for its request, unless its request still lies
	// unread in the kernel.
	DefaultMaxConnections, minEvictionAge = 16, 100 * time.Millisecond
	// requestTimeout limits the time for reading a request and for writing its answer, maxHeaderBytes the size of its
	// header.
	requestTimeout, maxHeaderBytes = 2 * time.Second, 4 << 10
)

// Server answers the operators' requests.
type Server struct {
	State          *readiness.State
	Log            *slog.Logger
	MaxConnections int // open at the same time, not counting one that waits to be admitted
	mu             sync.Mutex
	open           []openConn    // the oldest first
	freed          chan struct{} // a connection may have been closed
}

// openConn is a connection and the time from which it is open.
type openConn struct {
	net.Conn
	in       *sip.Input // asked for unread input; the HTTP server reads from Conn
	openedAt time.Time
	readFrom bool // the HTTP server has read from it
}

// isEvictable tells whether the connection may make room. Once it has been read from, unread input does not keep it: its peer
// could send more than is ever read.
func (c *openConn) isEvictable() bool {
	return time.Since(c.openedAt) >= minEvictionAge && (c.readFrom || !c.in.HasUnread())
}

// New returns a Server with the default limit; Serve runs it.
func New(state *readiness.State, log *slog.Logger) *Server {
	return &Server{State: state, Log: log, MaxConnections: DefaultMaxConnections, freed: make(chan struct{}, 1)}
}

// Serve answers requests until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: http.HandlerFunc(s.handle), ConnState: s.onConnState, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug)}
	server.SetKeepAlivesEnabled(false) // one request per connection
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		if err := server.Close(); !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
	return g.Wait()
}

// onConnState keeps the number of connections within the limit. The HTTP server calls it for a new connection before it
// accepts the next one.
func (s *Server) onConnState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		for !s.admit(c) {
			wait := time.NewTimer(minEvictionAge)
			select {
			case <-s.freed:
			case <-wait.C:
			}
			wait.Stop()
		}
	case http.StateActive:
		s.mu.Lock()
		defer s.mu.Unlock()
		if k := slices.IndexFunc(s.open, func(open openConn) bool { return open.Conn == c }); k >= 0 {
			s.open[k].readFrom = true
		}
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open = slices.DeleteFunc(s.open, func(h openConn) bool { return h.Conn == c })
		select {
		case s.freed <- struct{}{}:
		default:
		}
	}
}

// admit adds a connection to the open ones, if need be in place of the oldest that can be evicted, and reports whether there
// was room.
func (s *Server) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.MaxConnections {
		oldest := slices.IndexFunc(s.open, func(open openConn) bool { return open.isEvictable() })
		if oldest < 0 {
			return false
		}
		evicted := s.open[oldest]
		s.Log.Warn("second address", "reason", "evicted", "peer", evicted.RemoteAddr().String())
		evicted.Close() // the HTTP server then calls onConnState
		s.open = slices.Delete(s.open, oldest, oldest+1)
	}
	s.open = append(s.open, openConn{Conn: c, in: sip.NewInput(c), openedAt: time.Now()})
	return true
}

// handle answers a request: with the status that its path calls for, and with the phase of the instance as the body.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	status, phase := http.StatusOK, s.State.Phase()
	get := r.Method == http.MethodGet || r.Method == http.MethodHead
	switch path := r.URL.Path; {
	case path == "/healthcheck" && get:
		if phase != readiness.Ready {
			status = http.StatusServiceUnavailable
		}
	case path == "/healthcheck/fail" && r.Method == http.MethodPost:
		phase = s.State.Drain()
		s.Log.Info("second address", "call", "fail", "phase", phase, "peer", r.RemoteAddr)
	case path == "/healthcheck/ok" && r.Method == http.MethodPost:
		if phase = s.State.Resume(); phase == readiness.Ending {
			status = http.StatusConflict // shutdown can't be undone
		}
		s.Log.Info("second address", "call", "ok", "phase", phase, "peer", r.RemoteAddr)
	case path == "/healthcheck":
		w.Header().Set("Allow", "GET, HEAD")
		status = http.StatusMethodNotAllowed
	case path == "/healthcheck/fail", path == "/healthcheck/ok":
		w.Header().Set("Allow", "POST")
		status = http.StatusMethodNotAllowed
	default:
		status = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	io.WriteString(w, phase.String()+"\n")
}
