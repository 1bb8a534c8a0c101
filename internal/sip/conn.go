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
	// lingerTimeout and maxLingerBytes bound the end of a connection whose peer was told something of late: its input is read
	// on that long.
	lingerTimeout, maxLingerBytes = 700 * time.Millisecond, 1 << 20
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
	Write          time.Duration        // for one write
	MessageTimeout func() time.Duration // from the first byte of a message that begins now to its last; nil: any time
	// Idle tells how long nothing need come from now on; it is asked again then. 0 ends the connection. nil: for
	// ever. It is called where messages are handled, so that the two can't cross.
	Idle func() time.Duration
	// Farewell makes the last message to a peer that can't be read any further; nil: none.
	ErrorResponse func(err error) []byte
	// Strict: a message follows the one before without a line end between them.
	Strict bool
	// Linger is how long a peer that was written to of late may take to close after this side has; 0: none.
	Linger time.Duration
	// HalfCloseEnds: a peer that has closed its side has gone, also where that stands behind what it sent before while
	// it does not read. Else that is handled first.
	HalfCloseEnds bool
}

// Conn is one connection with a reader, a bounded write queue and a deadline on each write.
type Conn struct {
	Limits
	net     net.Conn
	in      *Input
	reader  *Reader
	out     *Queue
	full    atomic.Bool
	half    chan struct{} // closed by the reader: write what is queued, then nothing more
	flushed chan struct{} // closed by the writer, when it has
	closing chan struct{} // End was called
	closed  atomic.Pointer[Reason]
	woken   atomic.Bool  // the limits are to be asked again
	begun   atomic.Bool  // a message is read in part
	heard   atomic.Int64 // when the last bytes came, and the last were written, in Unix nanoseconds
	wrote   atomic.Int64
}

// NewConn wraps a connection.
func NewConn(c net.Conn, limits Limits) *Conn {
	conn := &Conn{Limits: limits, net: c, in: NewInput(c), reader: NewReader(nil), out: NewQueue(), half: make(chan struct{}),
		flushed: make(chan struct{}), closing: make(chan struct{})}
	conn.reader.from, conn.reader.strict = &patient{Conn: conn, r: conn.reader}, limits.Strict
	return conn
}

// Input tells whether the peer is still there and how far what it sent has been handled. It does not block.
func (c *Conn) Input() InputState { return c.in.State() }

// left tells that a peer whose answers wait to be read has gone.
func (c *Conn) left() bool { return c.HalfCloseEnds && c.in.PeerClosed() }

// MarkHandled tells, from within handle, that the present message has been handled but for what it starts.
func (c *Conn) MarkHandled() {
	if c.reader.start == c.reader.end { // nothing came behind it
		c.in.MarkHandled()
	}
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

// Close ends the connection in order: the reader handles what has come already, what is queued is written, and the peer
// gets the time to read it.
func (c *Conn) Close() { c.CloseWithReason(Closed) }

// past is a deadline that wakes a reader.
var past = time.Unix(1, 0)

// End is Close with a reason.
func (c *Conn) CloseWithReason(why Reason) {
	if c.closed.CompareAndSwap(nil, &why) {
		close(c.closing)
		c.net.SetReadDeadline(past)
	}
}

// Wake has the reader ask its limits again.
func (c *Conn) RecheckLimits() {
	c.woken.Store(true)
	c.net.SetReadDeadline(past)
}

// Abort closes the connection at once, for who needs its descriptor.
func (c *Conn) Abort(why Reason) {
	c.CloseWithReason(why)
	c.net.Close()
}

// Begun tells whether a message is read in part, and when its last bytes came.
func (c *Conn) PartialMessage() (at time.Time, begun bool) {
	return time.Unix(0, c.heard.Load()), c.begun.Load()
}

func (c *Conn) ending() bool {
	select {
	case <-c.closing:
		return true
	default:
		return false
	}
}

// Run serves the connection until it ends and tells why. Handle gets each message, which holds only until it
// returns; an error from it ends the connection as bad framing does.
func (c *Conn) Run(ctx context.Context, handle func(*Message) error) (Reason, error) {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { c.net.Close() })
	defer stop()
	g.Go(func() error {
		for {
			m, err := c.reader.Next()
			if err == nil {
				err = handle(m)
			}
			if err == nil {
				err = c.out.WaitForRoom(ctx, c.left)
			}
			if err != nil {
				c.part(ctx, c.reader, err)
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
	limit time.Time // for it
	late  int       // bytes that were read after a deadline
}

func (p *patient) Read(b []byte) (int, error) {
	n, err := p.wait(b)
	if n > 0 {
		p.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

func (p *patient) wait(b []byte) (int, error) {
	for {
		p.woken.Store(false)
		until := time.Time{}
		begun := p.r.end > p.r.start
		p.begun.Store(begun)
		switch {
		case begun && p.MessageTimeout != nil:
			if p.began.IsZero() || p.taken != p.r.count {
				p.began, p.taken = time.Now(), p.r.count
				p.limit = p.began.Add(p.MessageTimeout())
			}
			until = p.limit
		case !begun:
			p.began = time.Time{}
			if p.Idle != nil {
				wait := p.Idle()
				if wait <= 0 {
					return p.rest(b, errIdle)
				}
				until = time.Now().Add(wait)
			}
		}
		p.net.SetReadDeadline(until)      // where that fails, the read tells why
		if p.ending() || p.woken.Load() { // their deadline may have come before this one
			p.net.SetReadDeadline(past)
		}
		n, err := p.in.Read(b)
		switch {
		case n > 0 || !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case p.ending():
			return p.rest(b, errClosed)
		case !p.began.IsZero() && !time.Now().Before(until):
			return p.rest(b, errStalled)
		}
	}
}

// rest gives what has come already, or the reason for which no more is waited for. A read after its deadline does not
// look: on a core that others share, a message may have come long before, and a close over it would lose it.
func (p *patient) rest(b []byte, why error) (n int, err error) {
	if p.late > maxLingerBytes { // a peer that never stops sending
		return 0, why
	}
	n, err = p.in.ReadNow(b)
	if errors.Is(err, syscall.EAGAIN) {
		return 0, why
	}
	p.late += n
	return n, err
}

// part ends a connection that this side gives up, in an order that loses nothing: what is queued is written, then its
// peer reads the end, and what it still sends is read on, as a close over unread input is a reset, which may destroy
// what was written before the peer has read it.
func (c *Conn) part(ctx context.Context, r *Reader, why error) {
	linger := c.Linger
	switch {
	case c.ErrorResponse != nil && (framing(why) || errors.Is(why, errStalled)):
		if !c.Send(c.ErrorResponse(why)) {
			return
		}
		linger = lingerTimeout
	case !errors.Is(why, errClosed) && !errors.Is(why, errIdle):
		return
	}
	close(c.half)
	select {
	case <-c.flushed:
	case <-ctx.Done():
		return
	}
	until := time.Now().Add(linger)
	if time.Since(time.Unix(0, c.wrote.Load())) > lingerTimeout || c.net.SetReadDeadline(until) != nil {
		return
	}
	for read := 0; read < maxLingerBytes; {
		n, err := c.net.Read(r.buf)
		read += n
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(until):
			c.net.SetReadDeadline(until) // that of End or Wake came after this one
		case err != nil:
			return
		}
	}
	// It goes on and on: left unread, it waits to write and has the time to read.
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
}

func (c *Conn) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil // the reader has the reason
		case <-c.half:
			defer close(c.flushed)
			if err := c.flush(); err != nil {
				return nil // the reader has the reason
			}
			if tcp, ok := c.net.(interface{ CloseWrite() error }); ok {
				tcp.CloseWrite()
			}
			return nil
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
		c.wrote.Store(time.Now().UnixNano())
		return err
	})
}

func framing(err error) bool {
	return errors.Is(err, ErrTooLong) || errors.Is(err, ErrStartLine) || errors.Is(err, ErrHeader) ||
		errors.Is(err, ErrLength) || errors.Is(err, ErrMissingHeader)
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
