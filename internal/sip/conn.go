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

const (
	// lingerFor and lingerBytes bound the end of a connection whose peer is told why: its input is read on that
	// long, as a close over unread input is a reset, which may destroy the answer before the peer has read it.
	lingerFor, lingerBytes = 700 * time.Millisecond, 1 << 20
)

// Reason says in one code why a connection ended.
type Reason string

// The reason codes; docs/oncall.md tells what each one means.
const (
	PeerClosed   Reason = "peer_closed"
	PeerReset    Reason = "peer_reset"
	CutShort     Reason = "cut_short"
	BadFraming   Reason = "bad_framing"
	Stalled      Reason = "stalled"
	Idle         Reason = "idle"
	Evicted      Reason = "evicted"
	QueueFull    Reason = "queue_full"
	WriteTimeout Reason = "write_timeout"
	IOError      Reason = "io_error"
	Closed       Reason = "closed"
	OverLimit    Reason = "over_limit"
)

var (
	errClosed  = errors.New("closed by this side")
	errStalled = errors.New("message not whole in time")
	errIdle    = errors.New("nothing asked in time")
)

// Limits are what a connection allows its peer.
type Limits struct {
	Write time.Duration // for one write
	Whole time.Duration // from a message's first byte to its last; 0: any time
	// Idle tells how long nothing need come from now on; it is asked again then. 0 ends the connection. nil: for
	// ever. It is called where messages are handled, so that the two can't cross.
	Idle func() time.Duration
	// Farewell makes the last message to a peer that can't be read any further; nil: none.
	Farewell func(err error) []byte
	// Strict: a message follows the one before without a line end between them.
	Strict bool
}

// Conn is one connection with a reader, a bounded write queue and a deadline on each write.
type Conn struct {
	Limits
	net     net.Conn
	out     *Queue
	full    atomic.Bool
	half    chan struct{} // write what is queued, then nothing more
	closing chan struct{}
	closed  atomic.Pointer[Reason]
}

// NewConn wraps a connection.
func NewConn(c net.Conn, limits Limits) *Conn {
	return &Conn{Limits: limits, net: c, out: NewQueue(), half: make(chan struct{}), closing: make(chan struct{})}
}

// Remote is the peer's address.
func (c *Conn) Remote() string { return c.net.RemoteAddr().String() }

// Send queues one message and never blocks. A full queue means a peer that does not read: it loses its
// connection.
func (c *Conn) Send(b []byte) bool {
	if c.out.Put(b) {
		return true
	}
	c.full.Store(true)
	c.net.Close()
	return false
}

// Close ends the connection after what is queued has been written.
func (c *Conn) Close() { c.End(Closed) }

// End is Close with a reason.
func (c *Conn) End(why Reason) {
	if c.closed.CompareAndSwap(nil, &why) {
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
		r := NewReader(nil)
		r.from, r.strict = &patient{Conn: c, r: r}, c.Strict
		for {
			m, err := r.Next()
			if err == nil {
				err = handle(m)
			}
			if err == nil {
				err = c.out.Room(ctx)
			}
			if err != nil {
				c.part(r, err)
				return err
			}
		}
	})
	g.Go(func() error { return c.write(ctx) })
	err := g.Wait()
	c.net.Close()
	return c.reason(err), err
}

// patient reads from a connection as long as its limits allow.
type patient struct {
	*Conn
	r     *Reader
	taken uint64    // messages so far when the wait began
	began time.Time // the present message; zero: none
}

func (p *patient) Read(b []byte) (int, error) {
	for {
		until := time.Time{}
		switch begun := p.r.end > p.r.start; {
		case begun && p.Whole > 0:
			if p.began.IsZero() || p.taken != p.r.count {
				p.began, p.taken = time.Now(), p.r.count
			}
			until = p.began.Add(p.Whole)
		case !begun:
			p.began = time.Time{}
			if p.Idle != nil {
				wait := p.Idle()
				if wait <= 0 {
					return 0, errIdle
				}
				until = time.Now().Add(wait)
			}
		}
		p.net.SetReadDeadline(until) // where that fails, the read tells why
		n, err := p.net.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !p.began.IsZero() {
			return 0, errStalled
		}
	}
}

// part tells a peer that can't be read any further why, and waits until it can have read that.
func (c *Conn) part(r *Reader, why error) {
	if c.Farewell == nil || !framing(why) && !errors.Is(why, errStalled) {
		return
	}
	if !c.Send(c.Farewell(why)) {
		return
	}
	close(c.half)
	until := time.Now().Add(lingerFor)
	if c.net.SetReadDeadline(until) != nil {
		return
	}
	for read := 0; read < lingerBytes; {
		n, err := c.net.Read(r.buf)
		if read += n; err != nil {
			return
		}
	}
	// It goes on and on: left unread, it waits to write and has the time to read.
	select {
	case <-c.closing:
	case <-time.After(time.Until(until)):
	}
}

func (c *Conn) write(ctx context.Context) error {
	half := c.half
	for {
		select {
		case <-ctx.Done():
			return nil // the reader has the reason
		case <-c.closing:
			if err := c.flush(); err != nil {
				return err
			}
			return errClosed
		case <-half:
			half = nil
			if err := c.flush(); err != nil {
				return nil // the reader has the reason
			}
			if tcp, ok := c.net.(interface{ CloseWrite() error }); ok {
				tcp.CloseWrite()
			}
		case <-c.out.Ready():
			if err := c.flush(); err != nil {
				return err
			}
		}
	}
}

// flush writes all that is queued, in one system call where it can.
func (c *Conn) flush() error {
	return c.out.Write(func(batch [][]byte) error {
		if err := c.net.SetWriteDeadline(time.Now().Add(c.Write)); err != nil {
			return err
		}
		buffers := net.Buffers(batch)
		_, err := buffers.WriteTo(c.net)
		return err
	})
}

func framing(err error) bool {
	return errors.Is(err, ErrTooLong) || errors.Is(err, ErrStartLine) || errors.Is(err, ErrHeader) ||
		errors.Is(err, ErrLength) || errors.Is(err, ErrMessage)
}

func (c *Conn) reason(err error) Reason {
	why := c.closed.Load()
	switch {
	case c.full.Load():
		return QueueFull
	case errors.Is(err, io.EOF):
		return PeerClosed
	case errors.Is(err, io.ErrUnexpectedEOF):
		return CutShort
	case framing(err):
		return BadFraming
	case errors.Is(err, errStalled):
		return Stalled
	case errors.Is(err, errIdle):
		return Idle
	case errors.Is(err, os.ErrDeadlineExceeded):
		return WriteTimeout
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return PeerReset
	case why != nil:
		return *why
	case errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe), errors.Is(err, context.Canceled):
		return Closed
	}
	return IOError
}
