// Package callws is call control over WebSocket: a front for callers, and the way to servers that speak the
// same JSON. The messages are described in docs/callws.md.
package callws

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
	"unicode/utf8"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"masthill/internal/sip"
)

const (
	// maxMessage bounds one message, as on the platform's port.
	maxMessage = sip.MaxMessage
	// writeTimeout is the deadline of a write: an answer that takes longer is not whole in time.
	writeTimeout = time.Second
	// closeTimeout is how long a peer may take to close in turn: the program's end does not wait for it.
	closeTimeout = 100 * time.Millisecond
	// pingInterval and pingTimeout find a peer that has vanished without a word.
	pingInterval, pingTimeout = 20 * time.Second, 5 * time.Second
)

// The reasons of this front beside those of package sip.
const (
	badMessage sip.Reason = "bad_message"
	noPong     sip.Reason = "no_pong"
	noUpgrade  sip.Reason = "no_upgrade"
)

var (
	errUnreadable = errors.New("message is no JSON object")
	errNoPong     = errors.New("no pong")
	errClose      = errors.New("closed by this side")
)

// conn is one WebSocket with a bounded write queue and a deadline on each write.
type conn struct {
	ws        *websocket.Conn
	raw       net.Conn    // beneath it
	peerGone  func() bool // the peer has gone, whatever it sent before stands unread
	out       *sip.Queue
	queueFull atomic.Bool
	closing   chan struct{}
	closed    atomic.Bool
}

func newConn(ws *websocket.Conn, raw net.Conn) *conn {
	ws.SetReadLimit(maxMessage)
	return &conn{ws: ws, raw: raw, peerGone: func() bool { return false }, out: sip.NewQueue(), closing: make(chan struct{})}
}

// send queues one message and never blocks: a peer that does not read loses its connection.
func (c *conn) send(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		return // no type sent here can fail
	}
	if !c.out.Put(b) {
		c.queueFull.Store(true)
		c.Close()
	}
}

// Close ends the connection after what is queued has been written; a peer that does not read is cut off.
func (c *conn) Close() {
	if c.closed.CompareAndSwap(false, true) {
		close(c.closing)
	}
}

// run serves the connection until it ends and tells why.
func (c *conn) run(ctx context.Context, handle func([]byte) error) (sip.Reason, error) {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		for {
			kind, data, err := c.ws.Read(ctx)
			if err == nil && kind != websocket.MessageText {
				err = errUnreadable
			}
			if err == nil {
				err = handle(data)
			}
			if err == nil {
				err = c.out.WaitForRoom(ctx, c.peerGone)
			}
			if err != nil {
				return err
			}
		}
	})
	g.Go(func() error { return c.write(ctx) })
	g.Go(func() error { return c.ping(ctx) })
	err := g.Wait()
	if errors.Is(err, errUnreadable) {
		c.closeWithTimeout(websocket.StatusInvalidFramePayloadData, errUnreadable.Error())
	}
	c.ws.CloseNow()
	return c.endReason(err), err
}

// shut closes in order, but waits no longer for the peer than closeTimeout.
func (c *conn) closeWithTimeout(code websocket.StatusCode, reason string) {
	timer := time.AfterFunc(closeTimeout, func() { c.raw.Close() })
	defer timer.Stop()
	c.ws.Close(code, reason)
}

func (c *conn) write(ctx context.Context) error {
	for {
		closing := false
		select {
		case <-ctx.Done():
			return nil // the reader has the reason
		case <-c.out.Ready():
		case <-c.closing:
			closing = true
		}
		if c.queueFull.Load() {
			return errClose
		}
		if err := c.out.Write(func(batch [][]byte) error { return c.flush(ctx, batch) }); err != nil {
			return err
		}
		if closing { // what was queued went first
			c.closeWithTimeout(websocket.StatusGoingAway, "ending")
			return errClose
		}
	}
}

// flush writes messages. Not under ctx: the library breaks the connection off when the context of a write ends, and
// the peer would miss why it was closed.
func (c *conn) flush(ctx context.Context, batch [][]byte) error {
	for _, b := range batch {
		limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
		err := c.ws.Write(limit, websocket.MessageText, b)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *conn) ping(ctx context.Context) error {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		limit, cancel := context.WithTimeout(ctx, pingTimeout)
		err := c.ws.Ping(limit)
		cancel()
		if err != nil && ctx.Err() == nil {
			return errors.Join(errNoPong, err)
		}
	}
}

func (c *conn) endReason(err error) sip.Reason {
	switch {
	case c.queueFull.Load():
		return sip.QueueFull
	case c.closed.Load():
		return sip.Closed
	case errors.Is(err, errUnreadable), errors.Is(err, websocket.ErrMessageTooBig):
		return badMessage
	case errors.Is(err, errNoPong):
		return noPong
	case errors.Is(err, errClose), errors.Is(err, context.Canceled), errors.Is(err, net.ErrClosed):
		return sip.Closed
	case websocket.CloseStatus(err) != -1, errors.Is(err, io.EOF):
		return sip.PeerClosed
	case errors.Is(err, context.DeadlineExceeded):
		return sip.WriteTimeout
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return sip.PeerReset
	}
	return sip.IOError
}

// description is a description as JSON holds it: text, or base64 where it is none.
type description struct {
	Text  string `json:"description,omitempty"`
	Bytes []byte `json:"description_base64,omitempty"`
}

func describe(b []byte) description {
	if utf8.Valid(b) {
		return description{Text: string(b)}
	}
	return description{Bytes: b}
}

func (d description) raw() []byte {
	if len(d.Bytes) > 0 {
		return d.Bytes
	}
	return []byte(d.Text)
}
