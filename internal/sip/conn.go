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
	// lingerTimeout and maxLingerBytes bound how long, and for how many bytes, input is still read at the end of a
	// connection whose peer was written to recently.
	lingerTimeout, maxLingerBytes = 700 * time.Millisecond, 1 << 20
)

// Reason is the code for why a connection ended.
type Reason string

// The reason codes; docs/oncall.md explains each one.
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
	errStalled = errors.New("message incomplete at its deadline")
	errIdle    = errors.New("no request within the idle timeout")
)

// Limits bound what a peer may do on a connection, and say how the connection ends.
type Limits struct {
	WriteTimeout   time.Duration        // timeout of one write
	MessageTimeout func() time.Duration // from the first byte of a message to its last, asked when it begins; nil: none
	// IdleTimeout returns how long the connection may be idle from now on; it is called again after that time. 0 ends the
	// connection. nil: no limit. It is called by the goroutine that handles messages, so never at the same time.
	IdleTimeout func() time.Duration
	// ErrorResponse returns the last message to a peer whose input can't be read any further; nil: none is sent.
	ErrorResponse func(err error) []byte
	// Strict: line ends between messages are an error.
	Strict bool
	// Linger is how long a peer that was written to recently may take to close after this side has closed; 0: no time.
	Linger time.Duration
	// HalfCloseEnds: a peer that has closed its side has gone, even if what it sent before is still unread because the
	// peer does not read its answers. Otherwise that input is handled first.
	HalfCloseEnds bool
}

// Conn is a connection with a reader, a bounded write queue and a timeout for each write.
type Conn struct {
	Limits
	netConn       net.Conn
	in            *Input
	reader        *Reader
	out           *Queue
	queueFull     atomic.Bool
	finishing     chan struct{} // closed by the reader: write what is queued, then close for writing
	flushed       chan struct{} // closed by the writer once that is done
	closing       chan struct{} // closed by CloseWithReason
	closeReason   atomic.Pointer[Reason]
	limitsChanged atomic.Bool  // the limits are to be checked again
	partial       atomic.Bool  // part of a message has been read
	allWritten    atomic.Bool  // the writer has written all that was queued before the end
	peerFinished  atomic.Bool  // after that, the peer closed its side in order
	lastReadAt    atomic.Int64 // when bytes were last read, and last written, in Unix nanoseconds
	lastWrittenAt atomic.Int64
}

// NewConn wraps a network connection. Run serves it.
func NewConn(c net.Conn, limits Limits) *Conn {
	conn := &Conn{Limits: limits, netConn: c, in: NewInput(c), reader: NewReader(nil), out: NewQueue(), finishing: make(chan struct{}),
		flushed: make(chan struct{}), closing: make(chan struct{})}
	conn.reader.source, conn.reader.strict = &limitedReader{Conn: conn, r: conn.reader}, limits.Strict
	return conn
}

// Input tells whether the peer is still connected and whether what it sent has been handled. It does not block.
func (c *Conn) Input() InputState { return c.in.State() }

// HasUnreadInput asks the kernel whether the peer, still connected, has sent what has not been read yet. It does not block.
func (c *Conn) HasUnreadInput() bool { return c.in.HasUnread() }

// peerLeft tells whether a peer that does not read its answers has gone.
func (c *Conn) peerLeft() bool { return c.HalfCloseEnds && c.in.PeerClosed() }

// MarkHandled may be called by a message handler once it has handled its message, before it returns: the input then
// counts as handled if no more of it has been read.
func (c *Conn) MarkHandled() {
	if c.reader.start == c.reader.end { // nothing has been read behind the message
		c.in.MarkHandled()
	}
}

// Remote returns the peer's address.
func (c *Conn) Remote() string { return c.netConn.RemoteAddr().String() }

// Send queues one message and never blocks. If the queue is full, as the peer does not read, the connection is closed
// and Send returns false.
func (c *Conn) Send(b []byte) bool {
	if c.out.Put(b) {
		return true
	}
	c.queueFull.Store(true)
	c.netConn.Close()
	return false
}

// Close ends the connection gracefully: what has already arrived is handled, what is queued is written, and the peer is
// given time to read it.
func (c *Conn) Close() { c.CloseWithReason(Closed) }

// pastDeadline interrupts a blocked read.
var pastDeadline = time.Unix(1, 0)

// CloseWithReason is Close with a reason; the first reason given is reported.
func (c *Conn) CloseWithReason(reason Reason) {
	if c.closeReason.CompareAndSwap(nil, &reason) {
		close(c.closing)
		c.netConn.SetReadDeadline(pastDeadline)
	}
}

// RecheckLimits has the reader call Limits.IdleTimeout again.
func (c *Conn) RecheckLimits() {
	c.limitsChanged.Store(true)
	c.netConn.SetReadDeadline(pastDeadline)
}

// HasQueued tells whether messages to the peer have not been written yet.
func (c *Conn) HasQueued() bool { return !c.out.Empty() }

// Abort closes the connection at once, to free its file descriptor. What is queued is lost.
func (c *Conn) Abort(reason Reason) {
	c.CloseWithReason(reason)
	c.netConn.Close()
}

// PeerFinished tells, after Run, whether this side closed the connection with all that was queued written, and the peer
// then closed its side in order. A peer that had left some of it unread would have reset the connection.
func (c *Conn) PeerFinished() bool { return c.peerFinished.Load() }

// PartialMessage tells whether part of a message has been read, and when bytes were last read.
func (c *Conn) PartialMessage() (at time.Time, partial bool) {
	return time.Unix(0, c.lastReadAt.Load()), c.partial.Load()
}

func (c *Conn) isClosing() bool {
	select {
	case <-c.closing:
		return true
	default:
		return false
	}
}

// Run serves the connection until it ends and returns the reason. handle is called for each message, which is valid only
// until handle returns. An error from handle ends the connection, as a framing error does if it wraps one.
func (c *Conn) Run(ctx context.Context, handle func(*Message) error) (Reason, error) {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { c.netConn.Close() })
	defer stop()
	g.Go(func() error {
		for {
			m, err := c.reader.Next()
			if err == nil {
				err = handle(m)
			}
			if err == nil {
				err = c.out.WaitForRoom(ctx, c.peerLeft)
			}
			if err != nil {
				c.finish(ctx, c.reader, err)
				return err
			}
		}
	})
	g.Go(func() error { return c.write(ctx) })
	err := g.Wait()
	c.netConn.Close()
	return c.reason(err), err
}

// limitedReader reads from a connection within its limits.
type limitedReader struct {
	*Conn
	r                  *Reader
	countAtStart       uint64    // messages read before the present one
	messageStart       time.Time // when the present message began; zero: none has
	messageDeadline    time.Time // of the present message
	bytesAfterDeadline int       // bytes read after a deadline
}

// Read implements io.Reader.
func (p *limitedReader) Read(b []byte) (int, error) {
	n, err := p.readWithinLimits(b)
	if n > 0 {
		p.lastReadAt.Store(time.Now().UnixNano())
	}
	return n, err
}

func (p *limitedReader) readWithinLimits(b []byte) (int, error) {
	for {
		p.limitsChanged.Store(false)
		until := time.Time{}
		partial := p.r.end > p.r.start
		p.partial.Store(partial)
		switch {
		case partial && p.MessageTimeout != nil:
			if p.messageStart.IsZero() || p.countAtStart != p.r.messageCount {
				p.messageStart, p.countAtStart = time.Now(), p.r.messageCount
				p.messageDeadline = p.messageStart.Add(p.MessageTimeout())
			}
			until = p.messageDeadline
		case !partial:
			p.messageStart = time.Time{}
			if p.IdleTimeout != nil {
				wait := p.IdleTimeout()
				if wait <= 0 {
					return p.readPending(b, errIdle)
				}
				until = time.Now().Add(wait)
			}
		}
		p.netConn.SetReadDeadline(until)             // if that fails, the read returns the reason
		if p.isClosing() || p.limitsChanged.Load() { // their deadline may have been overwritten by this one
			p.netConn.SetReadDeadline(pastDeadline)
		}
		n, err := p.in.Read(b)
		switch {
		case n > 0 || !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case p.isClosing():
			return p.readPending(b, errClosed)
		case !p.messageStart.IsZero() && !time.Now().Before(until):
			return p.readPending(b, errStalled)
		}
	}
}

// readPending returns what has already arrived, or cause as the error if nothing has. A read after its deadline fails
// without looking for input. On a busy core a message may have arrived long before the deadline was noticed, and
// closing would lose it.
func (p *limitedReader) readPending(b []byte, cause error) (n int, err error) {
	if p.bytesAfterDeadline > maxLingerBytes { // a peer that never stops sending
		return 0, cause
	}
	n, err = p.in.ReadNow(b)
	if errors.Is(err, syscall.EAGAIN) {
		return 0, cause
	}
	p.bytesAfterDeadline += n
	return n, err
}

// finish ends a connection that this side closes, without losing data: what is queued is written, then the connection
// is closed for writing, and what the peer still sends is read and discarded. Closing with unread input would reset the
// connection, which may destroy what was written before the peer has read it.
func (c *Conn) finish(ctx context.Context, r *Reader, cause error) {
	linger := c.Linger
	switch {
	case c.ErrorResponse != nil && (isFramingError(cause) || errors.Is(cause, errStalled)):
		if !c.Send(c.ErrorResponse(cause)) {
			return
		}
		linger = lingerTimeout
	case !errors.Is(cause, errClosed) && !errors.Is(cause, errIdle):
		return
	}
	close(c.finishing)
	select {
	case <-c.flushed:
	case <-ctx.Done():
		return
	}
	until := time.Now().Add(linger)
	if time.Since(time.Unix(0, c.lastWrittenAt.Load())) > lingerTimeout || c.netConn.SetReadDeadline(until) != nil {
		return
	}
	for read := 0; read < maxLingerBytes; {
		n, err := c.netConn.Read(r.buf)
		read += n
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(until):
			c.netConn.SetReadDeadline(until) // it was overwritten by CloseWithReason or RecheckLimits
		case err != nil:
			c.peerFinished.Store(errors.Is(err, io.EOF) && c.allWritten.Load())
			return
		}
	}
	// The peer keeps sending. If nothing more is read, its writes block, and it has time to read.
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
}

func (c *Conn) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil // the reader reports the reason
		case <-c.finishing:
			defer close(c.flushed)
			if err := c.flush(); err != nil {
				return nil // the reader reports the reason
			}
			c.allWritten.Store(true)
			if tcp, ok := c.netConn.(interface{ CloseWrite() error }); ok {
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

// flush writes all that is queued, in one system call if possible.
func (c *Conn) flush() error {
	return c.out.Write(func(batch [][]byte) error {
		if err := c.netConn.SetWriteDeadline(time.Now().Add(c.WriteTimeout)); err != nil {
			return err
		}
		buffers := net.Buffers(batch)
		_, err := buffers.WriteTo(c.netConn)
		c.lastWrittenAt.Store(time.Now().UnixNano())
		return err
	})
}

func isFramingError(err error) bool {
	return errors.Is(err, ErrTooLong) || errors.Is(err, ErrStartLine) || errors.Is(err, ErrHeader) ||
		errors.Is(err, ErrLength) || errors.Is(err, ErrMissingHeader)
}

func (c *Conn) reason(err error) Reason {
	requested := c.closeReason.Load()
	switch {
	case c.queueFull.Load():
		return QueueFull
	case errors.Is(err, io.EOF):
		return PeerClosed
	case errors.Is(err, io.ErrUnexpectedEOF):
		return CutShort
	case isFramingError(err):
		return BadFraming
	case errors.Is(err, errStalled):
		return Stalled
	case errors.Is(err, errIdle):
		return Idle
	case errors.Is(err, os.ErrDeadlineExceeded):
		return WriteTimeout
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return PeerReset
	case requested != nil:
		return *requested
	case errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe), errors.Is(err, context.Canceled):
		return Closed
	}
	return IOError
}
