package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"masthill/internal/ctl"
)

const (
	// maxConns and maxBodyBytes limit the use of the fleet's control socket. commandTimeout is long because a rollout or
	// a reload first runs a program to check the files of each instance.
	maxConns, maxBodyBytes        = 8, 16 << 10
	headerTimeout, commandTimeout = time.Second, 2 * time.Minute
)

// command is the body of the control socket's POST requests.
type command struct {
	Program string `json:"program"`
}

// serve serves the fleet's control socket until ctx ends.
func (s *Supervisor) serve(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(s.Status()) })
	handleCommand := func(path string, run func(ctx context.Context, c command) error) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var c command
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil && !errors.Is(err, io.EOF) {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			if err := run(r.Context(), c); err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
			}
		})
	}
	handleCommand("/rollout", func(ctx context.Context, c command) error { return s.Rollout(ctx, c.Program) })
	handleCommand("/reload", func(ctx context.Context, _ command) error { return s.Reload(ctx) })
	handleCommand("/down", func(context.Context, command) error { s.Down(); return nil })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: commandTimeout, WriteTimeout: commandTimeout, MaxHeaderBytes: maxBodyBytes}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := server.Serve(netutil.LimitListener(l, maxConns)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		os.Remove(s.spec.Socket())
		// Requests in progress get their answers, "down" in particular.
		shutdownCtx, cancel := context.WithTimeout(context.Background(), headerTimeout)
		defer cancel()
		server.Shutdown(shutdownCtx)
		return nil
	})
	return g.Wait()
}

// Client sends requests to the supervisor of a fleet.
type Client struct{ http http.Client }

// Dial makes a client for the fleet of a spec. It connects only with the first request.
func Dial(spec *Spec) *Client {
	return &Client{http.Client{Timeout: commandTimeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "unix", spec.Socket())
		}}}}
}

// Status requests the fleet's status. The error wraps ctl.ErrNotRunning if no supervisor runs.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var s Status
	text, err := c.roundTrip(ctx, http.MethodGet, "/status", nil)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	return &s, err
}

// SendCommand has the supervisor carry out a command: rollout, reload or down. program is only used by rollout.
func (c *Client) SendCommand(ctx context.Context, action, program string) error {
	body, err := json.Marshal(command{program})
	if err != nil {
		return err
	}
	_, err = c.roundTrip(ctx, http.MethodPost, "/"+action, body)
	return err
}

func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://fleet"+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ctl.ErrNotRunning, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 8<<20))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.New(strings.TrimSpace(string(text)))
	}
	return text, err
}
