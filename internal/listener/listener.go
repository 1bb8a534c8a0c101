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

	"masthill/internal/descriptors"
)

const (
	// retryEvery is how often an accept is tried again while no descriptor is left.
	retryEvery = 10 * time.Millisecond
	// drainFor bounds a drain: what had come before it has long been taken then, and a crowd that goes on connecting must
	// not keep the listener open.
	drainFor = 250 * time.Millisecond
)

// Listener is a TCP listener that can be drained.
type Listener struct {
	*net.TCPListener
	// Shortage, if not nil, is called each time that no descriptor was left for a connection.
	OnShortage func()
	draining   atomic.Bool
	until      atomic.Int64 // the end of the drain, in Unix nanoseconds
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
// connections, and their callers have been told that they are connected. It ends after drainFor.
func (l *Listener) Drain() {
	l.until.Store(time.Now().Add(drainFor).UnixNano())
	l.draining.Store(true)
	l.SetDeadline(time.Unix(1, 0)) // wakes Accept
}

// Accept implements net.Listener; net.ErrClosed tells that the listener is closed. Where no descriptor is left it goes on
// as soon as there is one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if !descriptors.Exhausted(err) {
			return c, err
		}
		if l.OnShortage != nil {
			l.OnShortage()
		}
		time.Sleep(retryEvery)
	}
}

func (l *Listener) accept() (net.Conn, error) {
	if !l.draining.Load() {
		c, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
	}
	if time.Now().UnixNano() < l.until.Load() {
		if c, err := l.waiting(); c != nil || err != nil {
			return c, err
		}
	}
	l.Close()
	return nil, net.ErrClosed
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
