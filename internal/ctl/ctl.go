// Package ctl is the control socket: a Unix socket of mode 0600 on which an instance tells its operators what it does.
// It speaks HTTP/1.1, one small question at a time, and is bounded so that nobody's questions cost calls their time.
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
	// connsMost bounds the socket's connections, headerMost and answerFor what one may cost.
	connsMost  = 8
	headerMost = 4 << 10
	answerFor  = time.Second
	// statusMost bounds what a client reads of a status: some ten thousand offices.
	statusMost = 16 << 20
)

// Phase is what an instance is doing.
type Phase string

// The phases.
const (
	Starting   Phase = "starting"
	Recovering Phase = "recovering" // serves, and paces what it sends
	Serving    Phase = "serving"
	Draining   Phase = "draining"
)

// Status is what the socket tells.
type Status struct {
	Name            string          `json:"name"`
	Version         string          `json:"version"`
	PID             int             `json:"pid"`
	Phase           Phase           `json:"phase"`
	StartedAt       time.Time       `json:"started"`
	StartReason     string          `json:"start_reason"` // of this start: first, restart, crash, upgrade ...
	Snapshot        string          `json:"snapshot"`     // taken up, or why not
	Listen          string          `json:"listen"`
	ListPos         int64           `json:"list_pos"`
	ListAgeMS       int64           `json:"list_age_ms"` // since the list's service last said anything; -1: it never has
	MemoryMB        float64         `json:"memory_mb"`   // resident
	MemoryLimitMB   int             `json:"memory_most_mb"`
	Descriptors     int             `json:"descriptors"`
	DescriptorLimit int             `json:"sockets_most"`
	Core            exchange.Status `json:"core"`
	ConfigWarning   string          `json:"config_warning,omitempty"`
	Levels          []levels.Change `json:"levels,omitempty"` // the last changes, the oldest first
	Peers           *Peers          `json:"peers,omitempty"`  // nil: it knows of no others
	// Release is the configuration release that is in force; nil: it takes none.
	Release *releases.MemberStatus `json:"release,omitempty"`
}

// Listen opens the socket. A socket that nobody listens on any more, left by a process that died, makes room; one that
// another process serves does not.
func Listen(path string) (net.Listener, error) {
	if c, err := net.DialTimeout("unix", path, answerFor); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another process serves it", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&fs.ModeSocket == 0 {
			return nil, fmt.Errorf("%s: there, and no socket", path)
		}
		os.Remove(path)
	}
	// Made under a name of its own, so that nobody can connect before its mode is set.
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

// Serve answers until ctx ends, and takes the socket away then. listeners are the program's listening sockets, which a
// supervisor that was started again takes over.
func Serve(ctx context.Context, l net.Listener, path string, log *slog.Logger, status func() Status, listeners map[string]net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /listeners", func(w http.ResponseWriter, _ *http.Request) {
		if err := pass(w, listeners); err != nil {
			log.Warn("listening sockets not passed on", "err", err)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(status())
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: answerFor, WriteTimeout: 2 * answerFor, IdleTimeout: answerFor,
		MaxHeaderBytes: headerMost, ConnState: limit(connsMost), ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error("control socket ended", "err", err) // calls go on without it
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

// limit bounds a server's connections: the next one is accepted when one has ended. A limited listener would do the same,
// but would hide what passes descriptors on.
func limit(most int) func(net.Conn, http.ConnState) {
	places := make(chan struct{}, most)
	return func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			places <- struct{}{}
		case http.StateClosed, http.StateHijacked:
			<-places
		}
	}
}

// Ask asks an instance's socket. ErrNobody tells that no process serves it.
func FetchStatus(ctx context.Context, path string) (*Status, error) {
	client := http.Client{Timeout: 3 * answerFor, Transport: &http.Transport{DisableKeepAlives: true,
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
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, statusMost)).Decode(&s); err != nil {
		return nil, err
	}
	return &s, nil
}

// ErrNobody tells that no process serves a control socket.
var ErrNotRunning = errors.New("no instance answers")
