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
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/internal/readiness"
)

const (
	// ConnsMost bounds the connections, and so the descriptors that are set aside for them. Where all are taken, the
	// oldest makes room: an honest call is over in a moment.
	ConnsMost = 16
	// callFor is the time for a whole call, headerMost its size.
	callFor, headerMost = 2 * time.Second, 4 << 10
)

// Server answers the operators' calls.
type Server struct {
	State *readiness.State
	Log   *slog.Logger
	mu    sync.Mutex
	open  []net.Conn // the oldest first
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

// state keeps the connections within their bound.
func (s *Server) state(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.open = append(s.open, c); len(s.open) > ConnsMost {
			s.Log.Warn("second address", "reason", "evicted", "peer", s.open[0].RemoteAddr().String())
			s.open[0].Close() // the server hears of it and tells so
			s.open = s.open[1:]
		}
	case http.StateClosed, http.StateHijacked:
		for k, open := range s.open {
			if open == c {
				s.open = append(s.open[:k:k], s.open[k+1:]...)
				return
			}
		}
	}
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
