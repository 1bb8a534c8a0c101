// Package listener owns a listening socket for callers: how it is opened, and how it is closed without losing the
// connections that the kernel has taken in and the program has not.
package listener

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listener is a TCP listener that can be drained.
type Listener struct {
	*net.TCPListener
	draining atomic.Bool
}

// Open listens at an address. Shared, another process may listen there too, such as the next one in an upgrade.
func Open(addr string, shared bool) (*Listener, error) {
	var config net.ListenConfig
	if shared {
		config.Control = func(_, _ string, c syscall.RawConn) (err error) {
			if failed := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}); failed != nil {
				return failed
			}
			return os.NewSyscallError("setsockopt SO_REUSEPORT", err)
		}
	}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return New(l.(*net.TCPListener)), nil
}

// New takes over a listener, such as one that was passed on.
func New(l *net.TCPListener) *Listener { return &Listener{TCPListener: l} }

// Drain has Accept give what the kernel has taken in already, and then close the listener: a plain close resets those
// connections, and their callers have been told that they are connected.
func (l *Listener) Drain() {
	l.draining.Store(true)
	l.SetDeadline(time.Unix(1, 0)) // wakes Accept
}

// Accept implements net.Listener; net.ErrClosed tells that the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.draining.Load() {
		c, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
	}
	c, err := l.waiting()
	if c == nil && err == nil {
		l.Close()
		err = net.ErrClosed
	}
	return c, err
}

// waiting gives a connection from the kernel's queue, or none: a listener past its deadline does not look there.
func (l *Listener) waiting() (c net.Conn, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd, got := -1, error(nil)
	err = raw.Control(func(l uintptr) {
		for {
			if fd, _, got = syscall.Accept4(int(l), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); got != syscall.EINTR && got != syscall.ECONNABORTED {
				return
			}
		}
	})
	if err != nil || errors.Is(got, syscall.EAGAIN) {
		return nil, err
	}
	if got != nil {
		return nil, os.NewSyscallError("accept4", got)
	}
	f := os.NewFile(uintptr(fd), "caller")
	defer f.Close() // net makes a copy
	return net.FileConn(f)
}
