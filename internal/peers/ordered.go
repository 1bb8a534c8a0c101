package peers

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"masthill/internal/logs"
)

// maxQueuedBytes bounds the bytes that wait to be sent on one stream.
const maxQueuedBytes = 1 << 20

// ErrSlowPeer means that a stream was ended because the peer read too slowly.
var ErrSlowPeer = errors.New("peer reads too slowly")

// OrderedStream is a stream of messages to a member whose writer never blocks. Messages are sent in order. If the peer reads
// too slowly the stream ends, and the queued messages are dropped.
type OrderedStream struct {
	mu    sync.Mutex
	queue [][]byte
	bytes int
	wake  chan struct{}
	err   error
}

// Put queues a message; it never blocks. An error means that the stream has ended: messages that were queued before may not
// have arrived, and must be sent again over another stream if they are needed.
func (o *OrderedStream) Put(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil && (len(b) > MaxMessageSize || o.bytes+len(b) > maxQueuedBytes) {
		o.err = ErrSlowPeer
	}
	if o.err != nil {
		return o.err
	}
	o.queue = append(o.queue, b)
	o.bytes += len(b)
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return nil
}

// run sends the queued messages until the stream or ctx ends.
func (o *OrderedStream) run(ctx context.Context, open func() (net.Conn, error)) error {
	c, err := open()
	if err == nil {
		defer c.Close()
		stop := context.AfterFunc(ctx, func() { c.Close() })
		defer stop()
	}
	for err == nil {
		var batch [][]byte
		batch, err = o.takeQueue()
		for _, b := range batch {
			if err == nil {
				c.SetWriteDeadline(time.Now().Add(writeTimeout))
				err = WriteMessage(c, b)
			}
			o.release(len(b))
		}
		if err == nil && len(batch) == 0 {
			select {
			case <-o.wake:
			case <-ctx.Done():
				err = ctx.Err()
			}
		}
	}
	return o.end(err)
}

// takeQueue removes all messages from the queue. Their bytes count as queued until they are released.
func (o *OrderedStream) takeQueue() ([][]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.queue
	o.queue = nil
	return batch, o.err
}

// release frees the queue space of a message that was sent or dropped.
func (o *OrderedStream) release(bytes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bytes -= bytes
}

// end drops the queue, and keeps and returns the first error. A write timeout counts as ErrSlowPeer.
func (o *OrderedStream) end(err error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = err
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			o.err = ErrSlowPeer
		}
	}
	o.queue = nil
	return o.err
}

// OpenOrdered opens an ordered stream of the given kind to a member. Its Put returns an error once it has ended.
func (p *Peers) OpenOrdered(name, kind string) *OrderedStream {
	o := &OrderedStream{wake: make(chan struct{}, 1)}
	if p.list.Load() == nil {
		o.err = ErrNoMember
		return o
	}
	p.group.Go(func() error {
		err := o.run(p.ctx, func() (net.Conn, error) { return p.Open(p.ctx, name, kind) })
		p.log.Info("ordered stream ended", logs.PartKey, "peers", "reason", endReason(err), "member", name, "kind", kind, "err", err)
		return nil
	})
	return o
}

// endReason returns the reason code of a stream's end.
func endReason(err error) string {
	switch {
	case errors.Is(err, ErrSlowPeer):
		return "let-go"
	case errors.Is(err, context.Canceled):
		return "ending"
	case errors.Is(err, ErrNoMember):
		return "no-member"
	}
	return "peer-closed"
}
