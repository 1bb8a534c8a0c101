package listener

import (
	"net"
	"runtime"
	"sync"

	"masthill/internal/descriptors"
)

// sendBufferBytes bounds what the system buffers for a client that does not read. Its own bound is several megabytes, and
// what it buffers counts towards the memory limit.
const sendBufferBytes = 64 << 10

// Bounded is a listener whose connections hold no more descriptors than its limiter allows: at the limit nothing is
// accepted, and clients wait in the kernel's queue until a connection is closed. The front has a lower limit of its own,
// at which it closes idle connections to make room; this one also covers the connections that are still being closed.
type Bounded struct {
	*Listener
	limiter *descriptors.Limiter
	wakeUp  chan struct{} // a connection was closed, or the limit has changed
	closing chan struct{}
	once    sync.Once
}

// NewBounded returns a listener that accepts the connections of l as far as limiter allows.
func NewBounded(l *Listener, limiter *descriptors.Limiter) *Bounded {
	return &Bounded{Listener: l, limiter: limiter, wakeUp: make(chan struct{}, 1), closing: make(chan struct{})}
}

// SetLimit changes the limit. Connections beyond it stay open.
func (b *Bounded) SetLimit(limit int) {
	b.limiter.SetLimit(limit)
	b.wake()
}

// Held returns the number of descriptors that the connections hold.
func (b *Bounded) Held() int { return b.limiter.Held() }

// wake has a waiting Accept check the limit again.
func (b *Bounded) wake() {
	select {
	case b.wakeUp <- struct{}{}:
	default:
	}
}

// Close implements net.Listener.
func (b *Bounded) Close() error {
	b.once.Do(func() { close(b.closing) })
	return b.Listener.Close()
}

// Accept implements net.Listener. It acquires the descriptor before it accepts the connection. It yields first to the
// goroutines that read from connections: on one core, clients that connect without end would otherwise cause connections
// to be closed whose requests have arrived but are unread.
func (b *Bounded) Accept() (net.Conn, error) {
	runtime.Gosched()
	for !b.limiter.TryAcquire() {
		select {
		case <-b.wakeUp:
		case <-b.closing:
			return nil, net.ErrClosed
		}
	}
	c, err := b.Listener.Accept()
	if err != nil {
		b.release()
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if ok { // an error leaves the system's own bounds in place
		tcp.SetWriteBuffer(sendBufferBytes)
	}
	if !ok { // can't happen with a TCP listener
		c.Close()
		b.release()
		return nil, net.ErrClosed
	}
	return &conn{TCPConn: tcp, owner: b}, nil
}

func (b *Bounded) release() {
	b.limiter.Release()
	b.wake()
}

// conn is a connection that releases its descriptor to the limiter once it is closed.
type conn struct {
	*net.TCPConn
	owner *Bounded
	once  sync.Once
}

// Close implements net.Conn. Unlike the method of package net, it does not wait until pending reads and writes have
// returned: on a busy core that takes long, and fronts close connections while they hold their lock.
func (c *conn) Close() error {
	c.once.Do(func() {
		go func() {
			c.TCPConn.Close()
			c.owner.release()
		}()
	})
	return nil
}
