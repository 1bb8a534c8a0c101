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
	// connsMost and bodyMost bound the fleet's control socket; orderFor is the longest an order may take to begin: each
	// instance's files are read by a program first.
	connsMost, bodyMost = 8, 16 << 10
	headerFor, orderFor = time.Second, 2 * time.Minute
)

// order is what the control socket takes beside a look at the status.
type order struct {
	Program string `json:"program"`
}

// serve answers on the fleet's control socket until ctx ends.
func (s *Supervisor) serve(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(s.Status()) })
	do := func(path string, f func(ctx context.Context, o order) error) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var o order
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyMost)).Decode(&o); err != nil && !errors.Is(err, io.EOF) {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			if err := f(r.Context(), o); err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
			}
		})
	}
	do("/rollout", func(ctx context.Context, o order) error { return s.Rollout(ctx, o.Program) })
	do("/reload", func(ctx context.Context, _ order) error { return s.Reload(ctx) })
	do("/down", func(context.Context, order) error { s.Down(); return nil })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerFor, ReadTimeout: orderFor, WriteTimeout: orderFor, MaxHeaderBytes: bodyMost}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := server.Serve(netutil.LimitListener(l, connsMost)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		os.Remove(s.spec.Socket())
		// What is being answered is answered, 'down' above all.
		end, cancel := context.WithTimeout(context.Background(), headerFor)
		defer cancel()
		server.Shutdown(end)
		return nil
	})
	return g.Wait()
}

// Client speaks to a fleet's supervisor.
type Client struct{ http http.Client }

// Dial makes a client of the fleet of a spec.
func Dial(spec *Spec) *Client {
	return &Client{http.Client{Timeout: orderFor, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "unix", spec.Socket())
		}}}}
}

// Status asks for the fleet's status; ctl.ErrNobody tells that no supervisor runs.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var s Status
	text, err := c.call(ctx, http.MethodGet, "/status", nil)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	return &s, err
}

// Order has the supervisor do something: rollout, reload or down.
func (c *Client) SendCommand(ctx context.Context, what, program string) error {
	body, err := json.Marshal(order{program})
	if err != nil {
		return err
	}
	_, err = c.call(ctx, http.MethodPost, "/"+what, body)
	return err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
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
