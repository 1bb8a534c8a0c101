package listener

import (
	"net"
	"runtime"
	"sync"

	"masthill/internal/descriptors"
)

// Bounded is a listener whose connections hold no more descriptors than its gate has: beyond them nothing is accepted,
// and clients wait in the kernel's queue until a connection is closed. The front's own bound, which has idle clients make
// room, is lower; this one holds also while connections that make room still end.
type Bounded struct {
	*Listener
	gate   *descriptors.Limiter
	freed  chan struct{} // a connection was closed, or the gate's limit has changed
	closed chan struct{}
	once   sync.Once
}

// Bound bounds a listener's connections.
func NewBounded(l *Listener, gate *descriptors.Limiter) *Bounded {
	return &Bounded{Listener: l, gate: gate, freed: make(chan struct{}, 1), closed: make(chan struct{})}
}

// SetLimit changes the bound. Connections held beyond it stay.
func (b *Bounded) SetLimit(limit int) {
	b.gate.SetLimit(limit)
	b.wake()
}

// Held tells how many descriptors the connections hold.
func (b *Bounded) Held() int { return b.gate.Held() }

func (b *Bounded) wake() {
	select {
	case b.freed <- struct{}{}:
	default:
	}
}

// Close implements net.Listener.
func (b *Bounded) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Listener.Close()
}

// Accept implements net.Listener. The descriptor is taken before the connection is. Readers of connections go first: on one
// core a crowd that connects without end would have clients make room whose requests are there and unread.
func (b *Bounded) Accept() (net.Conn, error) {
	runtime.Gosched()
	for !b.gate.TryAcquire() {
		select {
		case <-b.freed:
		case <-b.closed:
			return nil, net.ErrClosed
		}
	}
	c, err := b.Listener.Accept()
	if err != nil {
		b.release()
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok { // none of a TCP listener's
		c.Close()
		b.release()
		return nil, net.ErrClosed
	}
	return &conn{TCPConn: tcp, owner: b}, nil
}

func (b *Bounded) release() {
	b.gate.Release()
	b.wake()
}

// conn gives its descriptor back once it is closed.
type conn struct {
	*net.TCPConn
	owner *Bounded
	once  sync.Once
}

// Close implements net.Conn. It does not wait until the connection's reader and writer have left, as net's own does: on a
// busy core that takes long, and fronts close connections under their lock.
func (c *conn) Close() error {
	c.once.Do(func() {
		go func() {
			c.TCPConn.Close()
			c.owner.release()
		}()
	})
	return nil
}
