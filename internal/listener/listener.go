// Package listener opens listening sockets for callers, and closes them without losing the connections that the kernel
// has established and the program has not accepted yet.
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
	// retryInterval is how often an accept is tried again while no descriptor is left.
	retryInterval = 10 * time.Millisecond
	// drainTimeout limits a drain: all connections that came before it have long been accepted by then, and clients that
	// go on connecting must not keep the listener open.
	drainTimeout = 250 * time.Millisecond
)

// Listener is a TCP listener that can be drained.
type Listener struct {
	*net.TCPListener
	// OnShortage, if not nil, is called each time that no descriptor was left for a connection.
	OnShortage    func()
	draining      atomic.Bool
	drainDeadline atomic.Int64 // the end of the drain, in Unix nanoseconds
}

// Open listens at an address. If shared, another process may listen there too, such as the new one in an upgrade.
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

// New returns a Listener for an open TCP listener, such as one that another process has passed on.
func New(l *net.TCPListener) *Listener { return &Listener{TCPListener: l} }

// Drain has Accept return the connections that the kernel has established already, and then close the listener: a plain
// close resets those connections, although their callers count as connected. The drain ends after drainTimeout at the
// latest.
func (l *Listener) Drain() {
	l.drainDeadline.Store(time.Now().Add(drainTimeout).UnixNano())
	l.draining.Store(true)
	l.SetDeadline(time.Unix(1, 0)) // wakes Accept
}

// Accept implements net.Listener; it returns net.ErrClosed once the listener is closed. When no descriptor is left, it
// waits and goes on as soon as one is free.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if !descriptors.Exhausted(err) {
			return c, err
		}
		if l.OnShortage != nil {
			l.OnShortage()
		}
		time.Sleep(retryInterval)
	}
}

// accept is Accept without the wait for a descriptor.
func (l *Listener) accept() (net.Conn, error) {
	if !l.draining.Load() {
		c, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
	}
	if time.Now().UnixNano() < l.drainDeadline.Load() {
		if c, err := l.acceptQueued(); c != nil || err != nil {
			return c, err
		}
	}
	l.Close()
	return nil, net.ErrClosed
}

// acceptQueued returns a connection from the kernel's queue, or nil if it is empty. TCPListener.Accept can't be used for
// that, as it does not look there once the deadline has passed.
func (l *Listener) acceptQueued() (c net.Conn, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd, acceptErr := -1, error(nil)
	err = raw.Control(func(l uintptr) {
		for {
			if fd, _, acceptErr = syscall.Accept4(int(l), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); acceptErr != syscall.EINTR && acceptErr != syscall.ECONNABORTED {
				return
			}
		}
	})
	if err != nil || errors.Is(acceptErr, syscall.EAGAIN) {
		return nil, err
	}
	if acceptErr != nil {
		return nil, os.NewSyscallError("accept4", acceptErr)
	}
	f := os.NewFile(uintptr(fd), "caller")
	defer f.Close() // net.FileConn duplicates the descriptor
	return net.FileConn(f)
}
