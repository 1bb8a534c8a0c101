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

// freshness is how old input may be that nobody has handled yet, for its peer still to count as heard. What a peer asks
// for is to have its effect within 0.1 s; the rest of that is for what follows the look.
const freshness = 50 * time.Millisecond

// InputState is what is known of a peer's input.
type InputState int

// The states of a peer's input.
const (
	InputHandled InputState = iota // all that had come until a moment ago has been handled
	InputUnread                    // older input waits to be read or handled
	InputEnded                     // the peer has closed its side, or the connection has ended
)

// Input reads what a peer sends and knows how far it has been handled: on a busy core, and while its reader waits, a
// close or a request to cancel stands unread in the kernel. One goroutine reads; it asks for more once it has handled
// all whole messages that it was given. Look may be called from any goroutine.
type Input struct {
	net     net.Conn
	raw     syscall.RawConn // nil: no socket, nothing can be known
	ended   atomic.Bool
	waiting atomic.Bool // nothing is taken from the kernel that has not been handled
	// In Unix nanoseconds: when the kernel last had nothing, not even a close, and all that had come has been handled; and
	// the same for what was sent alone, as a read that takes the last of it does not tell of a close behind it.
	idle, handled atomic.Int64
	// Of the reader: the read under way, its result, when it began, and whether it took all that there was.
	buffer []byte
	n      int
	err    error
	began  int64
	all    bool
	take   func(fd uintptr) bool
}

// NewInput makes the input of a connection.
func NewInput(c net.Conn) *Input {
	i := &Input{net: c}
	if socket, ok := c.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			i.raw = raw
		}
	}
	i.take = i.takeNow // made once, as each read needs it
	return i
}

// Read implements io.Reader. Deadlines of the connection hold.
func (i *Input) Read(b []byte) (int, error) {
	i.MarkHandled()
	if i.raw == nil {
		n, err := i.net.Read(b)
		i.end(err)
		return n, err
	}
	i.buffer = b
	err := i.raw.Read(i.take)
	i.buffer = nil
	if err == nil {
		err = i.err
	} else {
		i.n = 0
	}
	i.end(err)
	return i.n, err
}

// ReadNow is Read that neither waits nor heeds a deadline; syscall.EAGAIN tells that nothing has come.
func (i *Input) ReadNow(b []byte) (int, error) {
	i.MarkHandled()
	if i.raw == nil {
		return 0, syscall.EAGAIN
	}
	i.buffer, i.n = b, 0
	came := false
	err := i.raw.Control(func(fd uintptr) { came = i.takeNow(fd) })
	i.buffer = nil
	switch {
	case err != nil:
	case !came:
		return 0, syscall.EAGAIN
	default:
		err = i.err
	}
	i.end(err)
	return i.n, err
}

// MarkHandled tells that all that was read has been handled. To be called by the reader.
func (i *Input) MarkHandled() {
	if i.all {
		i.handled.Store(i.began)
	}
}

// takeNow takes what has come from the kernel, and tells whether anything has.
func (i *Input) takeNow(fd uintptr) bool {
	i.began, i.all = time.Now().UnixNano(), false
	i.waiting.Store(false)
	for {
		if i.n, i.err = syscall.Read(int(fd), i.buffer); i.err != syscall.EINTR {
			break
		}
	}
	switch {
	case i.err == syscall.EAGAIN:
		i.n, i.all = 0, true
		i.idle.Store(i.began)
		i.handled.Store(i.began)
		i.waiting.Store(true)
		return false
	case i.err != nil:
		i.n, i.err = 0, os.NewSyscallError("read", i.err)
	case i.n == 0 && len(i.buffer) > 0:
		i.err = io.EOF
	default:
		i.all = i.n < len(i.buffer)
	}
	return true
}

// end notes an error after which nothing more is read.
func (i *Input) end(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		i.ended.Store(true)
	}
}

// Look tells how far the input has been handled. It does not block, and asks the kernel only where the reader has
// not done so of late.
func (i *Input) State() InputState {
	switch {
	case i.ended.Load():
		return InputEnded
	case i.raw == nil || fresh(&i.idle):
		return InputHandled
	}
	came, closed := i.poll()
	switch {
	case closed:
		return InputEnded
	case !came && i.waiting.Load(), fresh(&i.handled): // in this order: the reader says that it waits only after it found nothing
		return InputHandled
	}
	return InputUnread
}

// Closed tells whether the peer has closed its side, also behind input that has not been read.
func (i *Input) PeerClosed() bool {
	if i.ended.Load() || i.raw == nil {
		return i.ended.Load()
	}
	_, closed := i.poll()
	return closed
}

func fresh(at *atomic.Int64) bool { return time.Now().UnixNano()-at.Load() <= int64(freshness) }

// poll asks the kernel whether unread input is there, and whether the peer has closed its side or reset the connection.
func (i *Input) poll() (came, closed bool) {
	set := []unix.PollFd{{Events: unix.POLLIN | unix.POLLRDHUP}}
	var got error
	err := i.raw.Control(func(fd uintptr) {
		set[0].Fd = int32(fd)
		for {
			if _, got = unix.Poll(set, 0); got != unix.EINTR {
				return
			}
		}
	})
	if err != nil { // closed on this side
		return false, true
	}
	if got != nil { // the system does not tell
		return false, false
	}
	events := set[0].Revents
	return events&unix.POLLIN != 0, events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0
}
