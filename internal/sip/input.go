package sip

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxInputAge is how long input may stay unhandled while the state still counts as InputHandled. A peer's request is to
// take effect within 0.1 s; the remaining time is for what happens after the check.
const maxInputAge = 50 * time.Millisecond

// InputState tells whether a peer's input has been handled.
type InputState int

// The states of a peer's input.
const (
	InputHandled InputState = iota // all that had arrived until shortly before has been handled
	InputUnread                    // older input still has to be read or handled
	InputEnded                     // the peer has closed its side, or the connection has ended
)

// Input reads what a peer sends and tracks how far it has been handled: on a busy core, or while the reader is blocked,
// a close or a request to cancel may be waiting in the kernel. One goroutine reads; it must read again only once it has
// handled all whole messages that it has. State and PeerClosed may be called from any goroutine.
type Input struct {
	netConn       net.Conn
	raw           syscall.RawConn // nil: not a socket, so the kernel can't be asked
	ended         atomic.Bool
	readerWaiting atomic.Bool // the last read found nothing, so all that was read has been handled
	// In Unix nanoseconds. emptyAt: when the kernel last had no input, not even a close, and all input had been handled.
	// handledAt: up to when all data has been handled; there may have been a close behind it, which a read that returns the
	// last of the data does not show.
	emptyAt, handledAt atomic.Int64
	// Used by the reader only: the buffer and the result of the present read, when it began, and whether it emptied the
	// kernel's buffer.
	buffer    []byte
	n         int
	err       error
	readStart int64
	drained   bool
	readFunc  func(fd uintptr) bool
	turn      turn // of the reader
}

// NewInput creates the input of a connection.
func NewInput(c net.Conn) *Input {
	i := &Input{netConn: c}
	if socket, ok := c.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			i.raw = raw
		}
	}
	i.readFunc = i.readAvailable // created once, as a method value allocates
	return i
}

// Read implements io.Reader. It observes the deadlines of the connection.
func (i *Input) Read(b []byte) (int, error) {
	i.MarkHandled()
	if i.raw == nil {
		n, err := i.netConn.Read(b)
		i.recordEnd(err)
		return n, err
	}
	calledAt := i.pauseAfterTurn()
	i.buffer = b
	err := i.raw.Read(i.readFunc)
	i.buffer = nil
	if err == nil {
		err = i.err
	} else {
		i.n = 0
	}
	returnedAt := time.Now()
	i.turn.readReturned(i.n, returnedAt.Sub(calledAt), returnedAt)
	i.recordEnd(err)
	return i.n, err
}

// pauseAfterTurn pauses a reader whose turn is over, and returns the time.
func (i *Input) pauseAfterTurn() time.Time {
	now := time.Now()
	if i.turn.readCalled(now) {
		time.Sleep(turnPause)
		now = time.Now()
	}
	return now
}

// ReadNow is Read without blocking and without regard to deadlines; it returns syscall.EAGAIN if nothing has arrived.
func (i *Input) ReadNow(b []byte) (int, error) {
	i.MarkHandled()
	if i.raw == nil {
		return 0, syscall.EAGAIN
	}
	i.buffer, i.n = b, 0
	available := false
	err := i.raw.Control(func(fd uintptr) { available = i.readAvailable(fd) })
	i.buffer = nil
	switch {
	case err != nil:
	case !available:
		return 0, syscall.EAGAIN
	default:
		err = i.err
	}
	i.recordEnd(err)
	return i.n, err
}

// MarkHandled records that all that was read has been handled. It must be called by the reader.
func (i *Input) MarkHandled() {
	if i.drained {
		i.handledAt.Store(i.readStart)
	}
}

// readAvailable reads what the kernel has, and tells whether there was anything: data, a close or an error.
func (i *Input) readAvailable(fd uintptr) bool {
	i.readStart, i.drained = time.Now().UnixNano(), false
	i.readerWaiting.Store(false)
	for {
		if i.n, i.err = syscall.Read(int(fd), i.buffer); i.err != syscall.EINTR {
			break
		}
	}
	switch {
	case i.err == syscall.EAGAIN:
		i.n, i.drained = 0, true
		i.emptyAt.Store(i.readStart)
		i.handledAt.Store(i.readStart)
		i.readerWaiting.Store(true)
		return false
	case i.err != nil:
		i.n, i.err = 0, os.NewSyscallError("read", i.err)
	case i.n == 0 && len(i.buffer) > 0:
		i.err = io.EOF
	default:
		i.drained = i.n < len(i.buffer)
	}
	return true
}

// recordEnd records an error after which nothing more is read.
func (i *Input) recordEnd(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		i.ended.Store(true)
	}
}

// State tells whether the input has been handled. It does not block, and asks the kernel only if the reader has not
// done so recently.
func (i *Input) State() InputState {
	switch {
	case i.ended.Load():
		return InputEnded
	case i.raw == nil || isFresh(&i.emptyAt):
		return InputHandled
	}
	readable, closed := i.poll()
	switch {
	case closed:
		return InputEnded
	case !readable && i.readerWaiting.Load(), isFresh(&i.handledAt): // in this order: the reader sets readerWaiting after an empty read
		return InputHandled
	}
	return InputUnread
}

// PeerClosed tells whether the peer has closed its side, even if there is unread input before the close.
func (i *Input) PeerClosed() bool {
	if i.ended.Load() || i.raw == nil {
		return i.ended.Load()
	}
	_, closed := i.poll()
	return closed
}

// HasUnread asks the kernel whether there is input that has not been read, from a peer that has not closed its side. It does
// not block.
func (i *Input) HasUnread() bool {
	if i.ended.Load() || i.raw == nil {
		return false
	}
	readable, closed := i.poll()
	return readable && !closed
}

func isFresh(at *atomic.Int64) bool { return time.Now().UnixNano()-at.Load() <= int64(maxInputAge) }

// poll asks the kernel whether there is unread input, and whether the peer has closed its side or reset the connection.
func (i *Input) poll() (readable, closed bool) {
	pollFds := []unix.PollFd{{Events: unix.POLLIN | unix.POLLRDHUP}}
	var pollErr error
	err := i.raw.Control(func(fd uintptr) {
		pollFds[0].Fd = int32(fd)
		for {
			if _, pollErr = unix.Poll(pollFds, 0); pollErr != unix.EINTR {
				return
			}
		}
	})
	if err != nil { // closed by this side
		return false, true
	}
	if pollErr != nil { // unknown
		return false, false
	}
	events := pollFds[0].Revents
	return events&unix.POLLIN != 0, events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0
}
