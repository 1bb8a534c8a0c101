// Package listener owns a listening socket for callers: how it is opened, and how it is closed without losing the
// connections that the kernel has taken in and the program has not.
package listener

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// Listener is a TCP listener that can be drained.
type Listener struct {
	*net.TCPListener
	draining atomic.Bool
}

// Open listens at an address.
func Open(addr string) (*Listener, error) {
	l, err := net.Listen("tcp", addr)
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
