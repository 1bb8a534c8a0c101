// Package journal is service discovery. It starts with the part of the server list in the configuration, and follows
// the changes of the list that the journal service sends as server-sent events.
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
	// silenceTimeout is how long a stream may be silent; the service sends a comment every second. What a stopped service
	// would have reported has to be known 4 s later, and the reconnect takes part of that time.
	silenceTimeout = 2500 * time.Millisecond
	// maxLiveAge is the greatest age of the last line for the list to count as up to date; a comment comes every second.
	maxLiveAge = 1500 * time.Millisecond
	// headTimeout is how long a connect and the response header may take at first. It doubles with each consecutive
	// failure, up to silenceTimeout: after a silence, two connects may hang, and the third must still be in time for what
	// has to be known after 7 s.
	headTimeout = time.Second
	// lineTimeout bounds the transfer of one line: the longest event over a slow link.
	lineTimeout = time.Minute
	// initialBackoff and maxBackoff bound the time from the start of one connect to the start of the next; after a
	// connect that took longer, the client waits up to minPause. A service that comes back must be followed at once,
	// however long it was down.
	initialBackoff, maxBackoff, minPause = 100 * time.Millisecond, 500 * time.Millisecond, 50 * time.Millisecond
)

// Client follows the journal service. The exported fields must be set before Run.
type Client struct {
	Addr     string // initial address of the service; SetAddr changes it
	Log      *slog.Logger
	OnChange func(changed []exchange.Office, full bool) // called for each event; full: it holds the whole list
	Pos      int64                                      // number of the last event received
	Backoff  func(failures int) time.Duration           // the delay before a reconnect; nil: the default
	// Dial opens a connection to the service; nil: over TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	position       atomic.Int64 // copy of Pos for other goroutines
	lastReceivedAt atomic.Int64 // when a line was last received, in Unix nanoseconds; 0: never

	mu      sync.Mutex
	newAddr string             // the address set by SetAddr; empty: none was
	cancel  context.CancelFunc // ends the present stream, or the pause after it
}

// SetAddr has the client follow the service at another address from now on, continuing after the last event received.
func (c *Client) SetAddr(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newAddr = addr
	if c.cancel != nil {
		c.cancel()
	}
}

// beginStream returns the address for the next stream, and a context for the stream and the pause after it, which
// SetAddr ends.
func (c *Client) beginStream(ctx context.Context) (string, context.Context, context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.Addr
	if c.newAddr != "" {
		addr = c.newAddr
	}
	ctx, c.cancel = context.WithCancel(ctx)
	return addr, ctx, c.cancel
}

// LoadInitial applies the part of the list in the configuration. It must be called before Run.
func (c *Client) LoadInitial(initial InitialList) {
	for _, raw := range initial.Entries {
		c.apply(raw)
	}
	c.Pos = max(c.Pos, initial.Pos)
	c.position.Store(c.Pos)
}

// Position returns the number of the last event received, and when a line was last received from the service (zero:
// never). If that is long ago, the list may be out of date, whatever its position.
func (c *Client) Position() (pos int64, lastReceived time.Time) {
	if at := c.lastReceivedAt.Load(); at > 0 {
		lastReceived = time.Unix(0, at)
	}
	return c.position.Load(), lastReceived
}

// IsLive tells whether a line was received so recently that the list is up to date, except for changes in the last
// maxLiveAge.
func (c *Client) IsLive() bool {
	_, at := c.Position()
	return time.Since(at) < maxLiveAge
}

// Run follows the service until ctx ends. Broken streams are opened again after the last event received.
func (c *Client) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		began := time.Now()
		addr, streamCtx, cancelStream := c.beginStream(ctx)
		received, err := c.follow(streamCtx, addr, min(headTimeout<<min(failures, 5), silenceTimeout))
		if streamCtx.Err() != nil { // the program ends, or SetAddr was called
			c.Log.Info("journal connection ended", "reason", "closed", "addr", addr, "pos", c.Pos)
			failures = 0
			continue
		}
		if failures++; received {
			failures = 0
		}
		c.Log.Warn("journal connection ended", "reason", reason(received, err), "addr", addr, "pos", c.Pos, "failures", failures,
			"age_ms", time.Since(began).Milliseconds(), "err", err)
		pause := c.backoff(failures)
		if !received {
			pause = max(pause-time.Since(began), minPause/2+rand.N(minPause/2))
		}
		timer := time.NewTimer(pause)
		select {
		case <-streamCtx.Done():
		case <-timer.C:
		}
		timer.Stop()
		cancelStream()
	}
	return nil
}

var errStatus = errors.New("no event stream")

// reason returns the reason code for the end of a stream.
func reason(received bool, err error) string {
	switch {
	case errors.Is(err, errStatus):
		return "bad_status"
	case errors.Is(err, context.Canceled):
		return "silent"
	case errors.Is(err, bufio.ErrTooLong):
		return "too_long"
	case errors.Is(err, io.EOF):
		return "peer_closed"
	case !received:
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

// follow reads one stream until it ends. responseTimeout bounds the connect and the response header; received tells
// whether any line was received.
func (c *Client) follow(ctx context.Context, addr string, responseTimeout time.Duration) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// If the service vanishes, its comments stop, and this timer ends the stream.
	silence := time.AfterFunc(responseTimeout, cancel)
	defer silence.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/journal", nil)
	if err != nil {
		return false, err
	}
	req.Header.Set("Last-Event-ID", strconv.FormatInt(c.Pos, 10))
	req.Header.Set("Accept", "text/event-stream")
	// The transport does not cancel a pending connect when its request ends, so connects run under the stream's context.
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
	return c.readEvents(activityReader{resp.Body, func() { silence.Reset(silenceTimeout) }}, func() { line.Reset(lineTimeout) })
}
