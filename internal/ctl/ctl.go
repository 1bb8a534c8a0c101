// Package ctl implements an instance's control socket: a Unix socket of mode 0600 that serves the instance's status to its
// operators by HTTP/1.1. Connections and sizes are limited, so that requests can't delay calls.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/control/levels"
	"masthill/internal/exchange"
	"masthill/internal/releases"
)

const (
	// maxConns limits the connections to the socket; maxHeaderBytes and answerTimeout limit the cost of each.
	maxConns       = 8
	maxHeaderBytes = 4 << 10
	answerTimeout  = time.Second
	// maxStatusBytes limits what a client reads of a status; it is enough for some ten thousand offices.
	maxStatusBytes = 16 << 20
)

// Phase is the phase of an instance's life.
type Phase string

// The phases of an instance.
const (
	Starting   Phase = "starting"
	Recovering Phase = "recovering" // serving, while package recovery limits what it sends
	Serving    Phase = "serving"
	Draining   Phase = "draining"
)

// Status is the status of an instance, as served on the control socket.
type Status struct {
	Name            string          `json:"name"`
	Version         string          `json:"version"`
	PID             int             `json:"pid"`
	Phase           Phase           `json:"phase"`
	StartedAt       time.Time       `json:"started"`
	StartReason     string          `json:"start_reason"` // first, restart, crash, upgrade ...
	Snapshot        string          `json:"snapshot"`     // whether a snapshot was restored, or why not
	Listen          string          `json:"listen"`
	ListPos         int64           `json:"list_pos"`
	ListAgeMS       int64           `json:"list_age_ms"` // since the last message of the list service; -1: none yet
	MemoryMB        float64         `json:"memory_mb"`   // resident
	MemoryLimitMB   int             `json:"memory_most_mb"`
	Descriptors     int             `json:"descriptors"`
	DescriptorLimit int             `json:"sockets_most"`
	Core            exchange.Status `json:"core"`
	ConfigWarning   string          `json:"config_warning,omitempty"`
	Levels          []levels.Change `json:"levels,omitempty"` // latest changes, oldest first
	Peers           *Peers          `json:"peers,omitempty"`  // nil: peers are off
	// Release is the configuration release in force; nil: distribution is off.
	Release *releases.MemberStatus `json:"release,omitempty"`
}

// Listen opens the socket. A stale socket, left by a process that died, is replaced; it fails if another process serves
// the socket.
func Listen(path string) (net.Listener, error) {
	if c, err := net.DialTimeout("unix", path, answerTimeout); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another process serves this socket", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&fs.ModeSocket == 0 {
			return nil, fmt.Errorf("%s: exists and is no socket", path)
		}
		os.Remove(path)
	}
	// It is created under a temporary name, so that nobody can connect before its mode is set.
	tmp := fmt.Sprintf("%s.%d", path, os.Getpid())
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: tmp, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false)
	err = os.Chmod(tmp, 0o600)
	if err == nil {
		err = os.Rename(tmp, path)
	}
	if err != nil {
		l.Close()
		os.Remove(tmp)
		return nil, err
	}
	return l, nil
}

// Serve serves requests until ctx ends, and then removes the socket. listeners are the program's listening sockets; a
// restarted supervisor requests copies of them.
func Serve(ctx context.Context, l net.Listener, path string, log *slog.Logger, status func() Status, listeners map[string]net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /listeners", func(w http.ResponseWriter, _ *http.Request) {
		if err := passListeners(w, listeners); err != nil {
			log.Warn("listening sockets not passed on", "err", err)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(status())
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: answerTimeout, WriteTimeout: 2 * answerTimeout, IdleTimeout: answerTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: limitConns(maxConns), ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error("control socket failed", "err", err) // calls don't depend on it
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		server.Close()
		os.Remove(path)
		return nil
	})
	return g.Wait()
}

// limitConns limits a server's connections: at the limit, the next one is accepted when one has ended. A limiting listener
// would wrap the connections, and descriptors can only be passed over a plain Unix connection.
func limitConns(limit int) func(net.Conn, http.ConnState) {
	slots := make(chan struct{}, limit)
	return func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			slots <- struct{}{}
		case http.StateClosed, http.StateHijacked:
			<-slots
		}
	}
}

// FetchStatus requests the status of an instance from its socket. The error wraps ErrNotRunning if no process serves it.
func FetchStatus(ctx context.Context, path string) (*Status, error) {
	client := http.Client{Timeout: 3 * answerTimeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "unix", path)
		}}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://instance/status", nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRunning, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	var s Status
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxStatusBytes)).Decode(&s); err != nil {
		return nil, err
	}
	return &s, nil
}

// ErrNotRunning means that no process serves a control socket.
var ErrNotRunning = errors.New("no instance answers")
