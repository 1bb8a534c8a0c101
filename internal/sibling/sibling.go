// Package sibling tells whether another process of the same user serves the same address on this machine, as in an upgrade.
// The first process listens on a socket in the abstract Unix namespace whose name is the address; the other one stays
// connected to it as long as it lives, and is told once the first has made room for it. The kernel ends both with their
// process and no sooner, and nothing is left on disk.
package sibling

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// namePrefix begins the socket's name.
	namePrefix = "@masthill/"
	// maxConnections bounds the processes that the first one notices.
	maxConnections = 2
	// connectFor bounds a connect, retryEvery is the wait before the next try where the other process has just ended.
	connectFor, retryEvery = 200 * time.Millisecond, 10 * time.Millisecond
	// roomFor is how long the first process may take to make room.
	roomFor = 2500 * time.Millisecond
)

// Watch follows whether there is another process.
type Watch struct {
	addr     *net.UnixAddr
	log      *slog.Logger
	changed  func(present bool) // returns once room is made
	listener *net.UnixListener  // nil: another process was first
	other    *net.UnixConn      // to it

	mu          sync.Mutex
	connections map[*net.UnixConn]bool
}

// Open looks whether another process serves an address, and calls changed with the answer, now and from Run whenever it
// changes. Where that can't be found out, there may be one.
func Open(addr string, log *slog.Logger, changed func(present bool)) *Watch {
	w := &Watch{addr: &net.UnixAddr{Name: namePrefix + addr, Net: "unix"}, log: log, changed: changed, connections: map[*net.UnixConn]bool{}}
	changed(w.attach())
	return w
}

// attach takes the first place, or connects to who has it, and tells whether there may be another process.
func (w *Watch) attach() (present bool) {
	l, err := net.ListenUnix("unix", w.addr)
	if err == nil {
		w.listener = l
		return false
	}
	if !errors.Is(err, syscall.EADDRINUSE) {
		w.log.Warn("other processes not noticed", "reason", "no_socket", "err", err)
		return true
	}
	c, err := (&net.Dialer{Timeout: connectFor}).Dial("unix", w.addr.Name)
	if err == nil {
		w.other = c.(*net.UnixConn)
		w.other.SetReadDeadline(time.Now().Add(roomFor))
		w.other.Read(make([]byte, 1)) // room is made, or is not to be expected
		w.other.SetReadDeadline(time.Time{})
	}
	return true
}

// Close ends the watch before its process ends.
func (w *Watch) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener != nil {
		w.listener.Close()
	}
	if w.other != nil {
		w.other.Close()
	}
	for c := range w.connections {
		c.Close()
	}
}

// Run follows changes until ctx ends. The sockets stay open then: what this process holds is free only when it has ended.
func (w *Watch) Run(ctx context.Context) error {
	go w.follow(ctx)
	<-ctx.Done()
	return nil
}

func (w *Watch) follow(ctx context.Context) {
	for ctx.Err() == nil {
		switch {
		case w.listener != nil:
			w.listen(ctx)
			return
		case w.other != nil:
			await(w.other)
		default:
			sleep(ctx, retryEvery)
		}
		if ctx.Err() == nil {
			w.changed(w.reattach())
		}
	}
}

// reattach is attach after the other process has ended.
func (w *Watch) reattach() (present bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.other = nil
	return w.attach()
}

// listen notices the processes that connect.
func (w *Watch) listen(ctx context.Context) {
	for ctx.Err() == nil {
		c, err := w.listener.AcceptUnix()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			sleep(ctx, retryEvery)
		case !sameUser(c) || !w.hold(c):
			c.Close()
		default:
			go w.serve(ctx, c)
		}
	}
}

// serve makes room for a process, until it ends.
func (w *Watch) serve(ctx context.Context, c *net.UnixConn) {
	w.changed(true)
	c.Write([]byte{1})
	await(c)
	if w.drop(c) == 0 && ctx.Err() == nil {
		w.changed(false)
	}
}

// hold counts a connection.
func (w *Watch) hold(c *net.UnixConn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.connections) >= maxConnections {
		return false
	}
	w.connections[c] = true
	return true
}

// drop tells how many are left.
func (w *Watch) drop(c *net.UnixConn) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.connections, c)
	return len(w.connections)
}

// await waits until a connection ends, and closes it. Nothing more is sent on it.
func await(c *net.UnixConn) {
	c.Read(make([]byte, 1))
	c.Close()
}

// sameUser tells whether the peer runs under this process's user.
func sameUser(c *net.UnixConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	same := false
	err = raw.Control(func(fd uintptr) {
		peer, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		same = err == nil && peer.Uid == uint32(os.Getuid())
	})
	return err == nil && same
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
