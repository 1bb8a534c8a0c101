// Package journal reads the list of offices: the part known at the start, and the journal service's
// server-sent events from there on.
package journal

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"masthill/control"
	"masthill/internal/exchange"
)

const (
	// lineMost bounds one event: a list of a few thousand offices.
	lineMost = 1 << 20
	// silentFor is how long nothing may come, of which the service sends a comment every second. What a service
	// that stopped would have told counts as told 4 s later, and the reconnect takes its time too.
	silentFor = 2500 * time.Millisecond
	// heardFor is how old the last line may be for the service to count as heard: a comment comes every second.
	heardFor = 1500 * time.Millisecond
	// headFor is how long a connect and the head of its answer may take at first, doubled with each that fails in a row
	// up to silentFor: after a silence, two that hang must leave the third in time for what counts as told 7 s after.
	headFor = time.Second
	// lineFor bounds one line that keeps coming: the longest event over a slow way.
	lineFor = time.Minute
	// retryFirst and retryMost bound the time from the begin of one connect to the next, but for retryLeast after one that
	// took long. A service that comes back is to be followed at once, however long it was down.
	retryFirst, retryMost, retryLeast = 100 * time.Millisecond, 500 * time.Millisecond, 50 * time.Millisecond
	// connectEvery is how long a connect may hang before the next one begins beside it, as the kernel sends its SYN again
	// at growing intervals; connectFor is how long each may take, so that at most MaxConnects are under way.
	connectEvery = 500 * time.Millisecond
	connectFor   = MaxConnects*connectEvery - 100*time.Millisecond
	// MaxConnects bounds the connects that are under way at once, and so the descriptors that they hold.
	MaxConnects = 3
)

// Known is the part of the list that the configuration holds.
type Known struct {
	Pos     int64             `json:"pos"`
	Entries []json.RawMessage `json:"entries"`
}

type event struct {
	Pos   int64 `json:"pos"`
	Hosts *struct {
		Version int64  `json:"version"`
		Full    bool   `json:"full"`
		Servers []host `json:"servers"`
	} `json:"hosts"`
}

type host struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

var states = map[string]control.Readiness{"SERVING": control.In, "DRAINING": control.Lame, "DELETED": control.Out}

// Decode reads one event.
func Decode(data []byte) (changed []exchange.Office, full bool, err error) {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, false, err
	}
	if e.Hosts == nil {
		return nil, false, errors.New("no hosts")
	}
	for k, h := range e.Hosts.Servers {
		state, ok := states[h.State]
		if !ok {
			return nil, false, fmt.Errorf("servers[%d].state: unknown %q", k, h.State)
		}
		if h.ID == "" || h.Addr == "" && state == control.In {
			return nil, false, fmt.Errorf("servers[%d]: no id or no addr", k)
		}
		changed = append(changed, exchange.Office{Addr: h.Addr, Entry: control.Entry{Cell: h.Cell,
			Share: h.Weight, Server: Number(h.ID), ReadyAt: h.Started * int64(time.Millisecond), State: state}})
	}
	return changed, e.Hosts.Full, nil
}

// Number makes an office's id the number that the module knows it by: the hex digits after the dash, or a
// hash of an id of another form.
func Number(id string) uint64 {
	_, hex, _ := strings.Cut(id, "-")
	if n, err := strconv.ParseUint(hex, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// Client follows the journal service.
type Client struct {
	Addr  string // where the service was at the start; Move changes it
	Log   *slog.Logger
	Tell  func(changed []exchange.Office, full bool)
	Pos   int64 // of the last event taken
	Retry func(failures int) time.Duration
	// Dial connects to the service; nil: over TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	told  atomic.Int64 // position told, for who looks from outside
	heard atomic.Int64 // when the service last said anything, Unix nanoseconds; 0: never

	mu    sync.Mutex
	moved string             // where it is now, once Move was called
	leave context.CancelFunc // ends the stream or the pause under way
}

// Move has the client follow the service at another address from now on, on from the last event taken.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moved = addr
	if c.leave != nil {
		c.leave()
	}
}

// turn begins one stream with the pause after it: its address, and a context that a move ends.
func (c *Client) turn(ctx context.Context) (string, context.Context, context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.Addr
	if c.moved != "" {
		addr = c.moved
	}
	ctx, c.leave = context.WithCancel(ctx)
	return addr, ctx, c.leave
}

// Start takes what the configuration holds.
func (c *Client) Start(k Known) {
	for _, raw := range k.Entries {
		c.take(raw)
	}
	c.Pos = max(c.Pos, k.Pos)
	c.told.Store(c.Pos)
}

// Position tells how far the list goes, and when the service last said anything (zero: never). An old time means that
// the list may be behind, whatever its position.
func (c *Client) Position() (pos int64, heard time.Time) {
	if at := c.heard.Load(); at > 0 {
		heard = time.Unix(0, at)
	}
	return c.told.Load(), heard
}

// Heard tells whether the service is heard: what it has to tell has come, but for the last moment.
func (c *Client) Heard() bool {
	_, at := c.Position()
	return time.Since(at) < heardFor
}

// take handles one event. A malformed one is logged and passed over: what comes after it still counts.
func (c *Client) take(data []byte) {
	changed, full, err := Decode(data)
	if err != nil {
		c.Log.Error("journal event unreadable", "pos", c.Pos, "err", err)
		return
	}
	c.Tell(changed, full)
}

// Run follows the service until ctx ends; broken streams are opened again where they ended.
func (c *Client) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		began := time.Now()
		addr, turn, end := c.turn(ctx)
		heard, err := c.follow(turn, addr, min(headFor<<min(failures, 5), silentFor))
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
		pause := c.pause(failures)
		if !heard {
			pause = max(pause-time.Since(began), retryLeast/2+rand.N(retryLeast/2))
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

func (c *Client) pause(failures int) time.Duration {
	if c.Retry != nil {
		return c.Retry(failures)
	}
	wait := min(retryFirst<<min(failures, 5), retryMost)
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
	silence.Reset(silentFor)
	line := time.AfterFunc(lineFor, cancel)
	defer line.Stop()
	return c.read(alive{resp.Body, func() { silence.Reset(silentFor) }}, func() { line.Reset(lineFor) })
}

// connect opens a connection. While it does not come up, another connect begins beside it every connectEvery, and the
// first one that is up is taken. One that fails tells enough.
func (c *Client) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		net.Conn
		err error
	}
	results := make(chan result)
	begin := func() {
		conn, err := c.dial(ctx, network, addr)
		select {
		case results <- result{conn, err}:
		case <-ctx.Done():
			if err == nil {
				conn.Close()
			}
		}
	}
	next := time.NewTicker(connectEvery)
	defer next.Stop()
	go begin()
	underway := 1
	for {
		select {
		case r := <-results:
			var late net.Error
			if !errors.As(r.err, &late) || !late.Timeout() {
				return r.Conn, r.err
			}
			underway--
		case <-next.C:
			if underway < MaxConnects {
				underway++
				go begin()
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dial makes one connect.
func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectFor)
	defer cancel()
	if c.Dial != nil {
		return c.Dial(ctx, network, addr)
	}
	return new(net.Dialer).DialContext(ctx, network, addr)
}

// alive notes that something came, be it a part of a line: a long event over a slow way is no silence, and the next
// connect would only have it come again from its start.
type alive struct {
	from io.Reader
	note func()
}

func (a alive) Read(b []byte) (int, error) {
	n, err := a.from.Read(b)
	if n > 0 {
		a.note()
	}
	return n, err
}

// read takes a stream of events; whole is called for each line.
func (c *Client) read(r io.Reader, whole func()) (heard bool, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), lineMost)
	var data []byte
	var id string
	for lines.Scan() {
		whole()
		heard = true
		c.heard.Store(time.Now().UnixNano())
		line := bytes.TrimSuffix(lines.Bytes(), []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0:
			if len(data) > 0 {
				c.dispatch(id, data)
			}
			data, id = nil, ""
		case string(name) == "id":
			id = string(value)
		case string(name) == "data":
			if len(data) > 0 {
				data = append(data, '\n')
			}
			data = append(data, value...)
		}
		if len(data) > lineMost {
			return heard, bufio.ErrTooLong
		}
	}
	if err = lines.Err(); err == nil {
		err = io.EOF
	}
	return heard, err
}

// dispatch takes one whole event. Its number counts even where the event itself can't be read, lest every
// reconnect ask for it again; one that was taken before is passed over.
func (c *Client) dispatch(id string, data []byte) {
	pos, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		c.Log.Error("journal event without a number", "id", id, "pos", c.Pos)
	} else if pos <= c.Pos {
		return
	} else {
		c.Pos = pos
		c.told.Store(pos)
	}
	c.take(data)
}
