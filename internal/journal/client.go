// Package journal is service discovery: it follows the list of servers, from the part known at the start on, as
// server-sent events of the journal service.
package journal

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"masthill/internal/exchange"
)

const (
	// silenceTimeout is how long nothing may come, of which the service sends a comment every second. What a service
	// that stopped would have told counts as told 4 s later, and the reconnect takes its time too.
	silenceTimeout = 2500 * time.Millisecond
	// heardWithin is how old the last line may be for the service to count as heard: a comment comes every second.
	heardWithin = 1500 * time.Millisecond
	// headTimeout is how long a connect and the head of its answer may take at first, doubled with each that fails in a row
	// up to silenceTimeout: after a silence, two that hang must leave the third in time for what counts as told 7 s after.
	headTimeout = time.Second
	// lineTimeout bounds one line that keeps coming: the longest event over a slow way.
	lineTimeout = time.Minute
	// initialBackoff and maxBackoff bound the time from the begin of one connect to the next, but for minPause after one that
	// took long. A service that comes back is to be followed at once, however long it was down.
	initialBackoff, maxBackoff, minPause = 100 * time.Millisecond, 500 * time.Millisecond, 50 * time.Millisecond
)

// Client follows the journal service.
type Client struct {
	Addr     string // where the service was at the start; Move changes it
	Log      *slog.Logger
	OnChange func(changed []exchange.Office, full bool)
	Pos      int64 // of the last event taken
	Backoff  func(failures int) time.Duration
	// Dial connects to the service; nil: over TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	position atomic.Int64 // position told, for who looks from outside
	heard    atomic.Int64 // when the service last said anything, Unix nanoseconds; 0: never

	mu     sync.Mutex
	moved  string             // where it is now, once Move was called
	cancel context.CancelFunc // ends the stream or the pause under way
}

// Move has the client follow the service at another address from now on, on from the last event taken.
func (c *Client) SetAddr(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moved = addr
	if c.cancel != nil {
		c.cancel()
	}
}

// attempt begins one stream with the pause after it: its address, and a context that a move ends.
func (c *Client) attempt(ctx context.Context) (string, context.Context, context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.Addr
	if c.moved != "" {
		addr = c.moved
	}
	ctx, c.cancel = context.WithCancel(ctx)
	return addr, ctx, c.cancel
}

// Start takes what the configuration holds.
func (c *Client) LoadInitial(k Known) {
	for _, raw := range k.Entries {
		c.apply(raw)
	}
	c.Pos = max(c.Pos, k.Pos)
	c.position.Store(c.Pos)
}

// Position tells how far the list goes, and when the service last said anything (zero: never). An old time means that
// the list may be behind, whatever its position.
func (c *Client) Position() (pos int64, heard time.Time) {
	if at := c.heard.Load(); at > 0 {
		heard = time.Unix(0, at)
	}
	return c.position.Load(), heard
}

// Heard tells whether the service is heard: what it has to tell has come, but for the last moment.
func (c *Client) IsLive() bool {
	_, at := c.Position()
	return time.Since(at) < heardWithin
}

// Run follows the service until ctx ends; broken streams are opened again where they ended.
func (c *Client) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		began := time.Now()
		addr, turn, end := c.attempt(ctx)
		heard, err := c.follow(turn, addr, min(headTimeout<<min(failures, 5), silenceTimeout))
		if turn.Err() != nil { // the program ends, or the service has moved
			c.Log.Info("journal connection ended", "reason", "closed", "addr", addr, "pos", c.Pos)
			failures = 0
			continue
		}
		if failures++; heard {
			failures = 0
		}
		c.Log.Warn("journal connection ended", "reason", reason(heard, err), "addr", addr, "pos", c.Pos, "failures", failures,
			"age_ms", time.Since(began).Milliseconds(), "err", err)
		pause := c.backoff(failures)
		if !heard {
			pause = max(pause-time.Since(began), minPause/2+rand.N(minPause/2))
		}
		wait := time.NewTimer(pause)
		select {
		case <-turn.Done():
		case <-wait.C:
		}
		wait.Stop()
		end()
	}
	return nil
}

var errStatus = errors.New("no event stream")

// reason is the reason code of a stream's end.
func reason(heard bool, err error) string {
	switch {
	case errors.Is(err, errStatus):
		return "bad_status"
	case errors.Is(err, context.Canceled):
		return "silent"
	case errors.Is(err, bufio.ErrTooLong):
		return "too_long"
	case errors.Is(err, io.EOF):
		return "peer_closed"
	case !heard:
		return "connect_failed"
	}
	return "io_error"
}

func (c *Client) backoff(failures int) time.Duration {
	if c.Backoff != nil {
		return c.Backoff(failures)
	}
	wait := min(initialBackoff<<min(failures, 5), maxBackoff)
	return wait/2 + rand.N(wait/2)
}

// follow reads one stream, whose head may take that long; heard tells whether anything came.
func (c *Client) follow(ctx context.Context, addr string, head time.Duration) (heard bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The silence of a service that has vanished ends the stream: its comments stop.
	silence := time.AfterFunc(head, cancel)
	defer silence.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/journal", nil)
	if err != nil {
		return false, err
	}
	req.Header.Set("Last-Event-ID", strconv.FormatInt(c.Pos, 10))
	req.Header.Set("Accept", "text/event-stream")
	// The transport leaves a connect that hangs to itself when its request ends; this one ends with the stream.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(_ context.Context, network, addr string) (net.Conn, error) { return c.connect(ctx, network, addr) }}}
	resp, err := client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("%w: status %d", errStatus, resp.StatusCode)
	}
	silence.Reset(silenceTimeout)
	line := time.AfterFunc(lineTimeout, cancel)
	defer line.Stop()
	return c.read(alive{resp.Body, func() { silence.Reset(silenceTimeout) }}, func() { line.Reset(lineTimeout) })
}
