package sip

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// writeQueue bounds the messages that wait for a peer to read: at the platform's rates that is many seconds
// of traffic, and at 16 KiB a message it is 4 MiB at worst.
const writeQueue = 256

// Reason says in one code why a connection ended.
type Reason string

// The reason codes; docs/oncall.md tells what each one means.
const (
	PeerClosed   Reason = "peer_closed"
	PeerReset    Reason = "peer_reset"
	CutShort     Reason = "cut_short"
	BadFraming   Reason = "bad_framing"
	QueueFull    Reason = "queue_full"
	WriteTimeout Reason = "write_timeout"
	IOError      Reason = "io_error"
	Closed       Reason = "closed"
	OverLimit    Reason = "over_limit"
)

var (
	errQueueFull = errors.New("peer does not read: write queue full")
	errClosed    = errors.New("closed by this side")
)

// Conn is one connection with a reader, a bounded write queue and a deadline on each write.
type Conn struct {
	net     net.Conn
	out     chan []byte
	full    atomic.Bool
	patient time.Duration // deadline of a write
	closing chan struct{}
	closed  atomic.Bool
}

// NewConn wraps a connection. A write that takes longer than writeFor ends it.
func NewConn(c net.Conn, writeFor time.Duration) *Conn {
	return &Conn{net: c, out: make(chan []byte, writeQueue), patient: writeFor, closing: make(chan struct{})}
}

// Remote is the peer's address.
func (c *Conn) Remote() string { return c.net.RemoteAddr().String() }

// Send queues one message and never blocks. A full queue means a peer that does not read: it loses its
// connection.
func (c *Conn) Send(b []byte) bool {
	select {
	case c.out <- b:
		return true
	default:
		c.full.Store(true)
		c.net.Close()
		return false
	}
}

// Close ends the connection after what is queued has been written.
func (c *Conn) Close() {
	if c.closed.CompareAndSwap(false, true) {
		close(c.closing)
	}
}

// Run serves the connection until it ends and tells why. Handle gets each message, which holds only until it
// returns; an error from it ends the connection as bad framing does.
func (c *Conn) Run(ctx context.Context, handle func(*Message) error) (Reason, error) {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { c.net.Close() })
	defer stop()
	g.Go(func() error {
		r := NewReader(c.net)
		for {
			m, err := r.Next()
			if err == nil {
				err = handle(m)
			}
			if err != nil {
				return err
			}
		}
	})
	g.Go(func() error { return c.write(ctx) })
	err := g.Wait()
	c.net.Close()
	return c.reason(err), err
}

func (c *Conn) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil // the reader has the reason
		case <-c.closing:
			if err := c.flush(nil); err != nil {
				return err
			}
			return errClosed
		case b := <-c.out:
			if err := c.flush(b); err != nil {
				return err
			}
		}
	}
}

// flush writes b and all that is queued behind it, in one system call where it can.
func (c *Conn) flush(b []byte) error {
	batch := net.Buffers{}
	if b != nil {
		batch = append(batch, b)
	}
	for {
		select {
		case b = <-c.out:
			batch = append(batch, b)
			continue
		default:
		}
		break
	}
	if len(batch) == 0 {
		return nil
	}
	if err := c.net.SetWriteDeadline(time.Now().Add(c.patient)); err != nil {
		return err
	}
	_, err := batch.WriteTo(c.net)
	return err
}

func (c *Conn) reason(err error) Reason {
	framing := errors.Is(err, ErrTooLong) || errors.Is(err, ErrStartLine) || errors.Is(err, ErrHeader) ||
		errors.Is(err, ErrLength) || errors.Is(err, ErrMessage)
	switch {
	case c.full.Load():
		return QueueFull
	case errors.Is(err, io.EOF):
		return PeerClosed
	case errors.Is(err, io.ErrUnexpectedEOF):
		return CutShort
	case framing:
		return BadFraming
	case errors.Is(err, os.ErrDeadlineExceeded):
		return WriteTimeout
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return PeerReset
	case errors.Is(err, errClosed), errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe):
		return Closed
	}
	return IOError
}
