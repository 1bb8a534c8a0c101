// Package callws implements call control over WebSocket: a front that takes calls from callers, and the client side of
// connections to servers that use JSON messages of the same kind. The messages are described in docs/callws.md.
package callws

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"masthill/internal/sip"
)

const (
	// maxMessage limits the size of a message, as on the platform's port.
	maxMessage = sip.MaxMessage
	// writeTimeout is the deadline of a write: an answer that takes longer would not be complete in time.
	writeTimeout = time.Second
	// closeTimeout is how long a peer may take to complete the closing handshake; shutdown does not wait longer.
	closeTimeout = 100 * time.Millisecond
	// pingInterval and pingTimeout detect a peer that has disappeared without closing the connection.
	pingInterval, pingTimeout = 20 * time.Second, 5 * time.Second
)

// Reasons for the end of a connection, in addition to those of package sip.
const (
	badMessage sip.Reason = "bad_message"
	noPong     sip.Reason = "no_pong"
	noUpgrade  sip.Reason = "no_upgrade"
)

var (
	errUnreadable = errors.New("message is no JSON object")
	errNoPong     = errors.New("no pong received in time")
	errClose      = errors.New("connection closed by this side")
)

// conn is a WebSocket connection with a bounded write queue and a deadline on each write.
type conn struct {
	ws        *websocket.Conn
	raw       net.Conn    // the underlying connection
	peerGone  func() bool // reports that the peer has disconnected, even if data that it sent before is still unread
	out       *sip.Queue
	queueFull atomic.Bool
	closing   chan struct{}
	closed    atomic.Bool
	confirms  confirmations
	// closeAnswered: the peer has answered the close of this side, and so has read all that was written before.
	closeAnswered atomic.Bool
}

func newConn(ws *websocket.Conn, raw net.Conn) *conn {
	ws.SetReadLimit(maxMessage)
	return &conn{ws: ws, raw: raw, peerGone: func() bool { return false }, out: sip.NewQueue(), closing: make(chan struct{}),
		confirms: confirmations{written: make(chan struct{}, 1)}}
}

// send queues one message and never blocks: if the peer does not read and the queue is full, the connection is closed.
// Nothing is queued if the message exceeds maxMessage: the peer would close the connection, with all that is open on it.
func (c *conn) send(m message) error {
	b, err := encode(m)
	if err != nil {
		return err
	}
	if !c.out.Put(b) {
		c.queueFull.Store(true)
		c.Close()
	}
	return nil
}

// Close closes the connection once the queued messages have been written. A peer that does not read is disconnected when
// a write times out.
func (c *conn) Close() {
	if c.closed.CompareAndSwap(false, true) {
		close(c.closing)
	}
}

// run serves the connection until it ends and returns the reason.
func (c *conn) run(ctx context.Context, handle func([]byte) error) (sip.Reason, error) {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		for {
			kind, data, err := c.ws.Read(ctx)
			if c.closed.Load() && websocket.CloseStatus(err) != -1 {
				c.reportClosed()
			}
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
	g.Go(func() error { return c.confirm(ctx) })
	err := g.Wait()
	if errors.Is(err, errUnreadable) {
		c.closeWithTimeout(websocket.StatusInvalidFramePayloadData, errUnreadable.Error())
	}
	c.ws.CloseNow()
	return c.endReason(err), err
}

// closeWithTimeout performs the closing handshake, but waits no longer for the peer than closeTimeout.
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
			return nil // the reader returns the cause
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
		select {
		case c.confirms.written <- struct{}{}:
		default:
		}
		if closing { // the queued messages have been written
			c.closeWithTimeout(websocket.StatusGoingAway, "ending")
			return errClose
		}
	}
}

// flush writes messages. The writes ignore the cancellation of ctx: the library drops the connection when the context of
// a write ends, and the peer would not receive the reason for the close.
func (c *conn) flush(ctx context.Context, batch [][]byte) error {
	for _, b := range batch {
		writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
		err := c.ws.Write(writeCtx, websocket.MessageText, b)
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
		if err := c.awaitPong(ctx); errors.Is(err, errNoPong) {
			return err
		}
	}
}

// awaitPong pings the peer and waits for its pong. The error is errNoPong if the peer is silent for pingTimeout, or else
// says that the connection is ending.
func (c *conn) awaitPong(ctx context.Context) error {
	pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	err := c.ws.Ping(pingCtx)
	if err != nil && ctx.Err() == nil && errors.Is(pingCtx.Err(), context.DeadlineExceeded) {
		return errors.Join(errNoPong, err)
	}
	return err
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
