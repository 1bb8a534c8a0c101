// Package admin is the operators' second address: the health check, and the calls that send callers away and have them
// come again. It reads and sets the instance's readiness and asks nothing else, so that it answers under any load.
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
)

const (
	// DefaultMaxOpen bounds the connections where nothing else is set. Where all places are taken, the oldest makes room
	// as soon as it has had youngFor: an honest call is over in a moment.
	DefaultMaxConnections, youngFor = 16, 100 * time.Millisecond
	// callFor is the time for a whole call, headerMost its size.
	callFor, headerMost = 2 * time.Second, 4 << 10
)

// Server answers the operators' calls.
type Server struct {
	State          *readiness.State
	Log            *slog.Logger
	MaxConnections int // connections held at once, but for one that waits for a place
	mu             sync.Mutex
	open           []held        // the oldest first
	freed          chan struct{} // a place is free, or may be
}

type held struct {
	net.Conn
	since time.Time
}

// New makes a server.
func New(state *readiness.State, log *slog.Logger) *Server {
	return &Server{State: state, Log: log, MaxConnections: DefaultMaxConnections, freed: make(chan struct{}, 1)}
}

// Serve answers until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: http.HandlerFunc(s.answer), ConnState: s.state, ReadTimeout: callFor, WriteTimeout: callFor,
		MaxHeaderBytes: headerMost, ErrorLog: slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug)}
	server.SetKeepAlivesEnabled(false) // one call a connection
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

// state keeps the connections within their bound. The server calls it for a new one before it accepts the next.
func (s *Server) state(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		for !s.admit(c) {
			wait := time.NewTimer(youngFor)
			select {
			case <-s.freed:
			case <-wait.C:
			}
			wait.Stop()
		}
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open = slices.DeleteFunc(s.open, func(h held) bool { return h.Conn == c })
		select {
		case s.freed <- struct{}{}:
		default:
		}
	}
}

// admit gives a connection a place, if need be that of the oldest.
func (s *Server) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.MaxConnections {
		oldest := s.open[0]
		if time.Since(oldest.since) < youngFor {
			return false
		}
		s.Log.Warn("second address", "reason", "evicted", "peer", oldest.RemoteAddr().String())
		oldest.Close() // the server hears of it and tells so
		s.open = s.open[1:]
	}
	s.open = append(s.open, held{c, time.Now()})
	return true
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
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
			status = http.StatusConflict // the end is final
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
