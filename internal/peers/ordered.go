package peers

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"masthill/internal/logs"
)

var (
	// ErrSlowPeer tells that a peer took too little and is not waited for.
	ErrSlowPeer = errors.New("peer let go")
)

// Ordered is an ordered stream to a member that is never waited for: what is put into it is sent in order, and a peer that
// takes too little is let go, with all that waits for it.
type Ordered struct {
	mu    sync.Mutex
	queue [][]byte
	bytes int
	wake  chan struct{}
	err   error
}

// Put hands over a message; it never blocks. An error tells that the stream is over: what was put before may not have
// arrived, and whoever needs it to sends it anew over another stream.
func (o *Ordered) Put(b []byte) error {
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

// run sends until the stream or ctx ends.
func (o *Ordered) run(ctx context.Context, open func() (net.Conn, error)) error {
	c, err := open()
	if err == nil {
		defer c.Close()
		stop := context.AfterFunc(ctx, func() { c.Close() })
		defer stop()
	}
	for err == nil {
		o.mu.Lock()
		batch := o.queue
		o.queue, err = nil, o.err
		o.mu.Unlock()
		for _, b := range batch {
			if err == nil {
				c.SetWriteDeadline(time.Now().Add(writeTimeout))
				err = WriteMessage(c, b)
			}
			o.mu.Lock()
			o.bytes -= len(b)
			o.mu.Unlock()
		}
		if err == nil && len(batch) == 0 {
			select {
			case <-o.wake:
			case <-ctx.Done():
				err = ctx.Err()
			}
		}
	}
	o.mu.Lock()
	if o.err == nil {
		o.err = err
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
			o.err = ErrSlowPeer
		}
	}
	o.queue, err = nil, o.err
	o.mu.Unlock()
	return err
}

// Ordered opens an ordered stream of a kind to a member. It is over with an error of Put.
func (p *Peers) Ordered(name, kind string) *Ordered {
	o := &Ordered{wake: make(chan struct{}, 1)}
	if p.list.Load() == nil {
		o.err = ErrNoMember
		return o
	}
	p.group.Go(func() error {
		err := o.run(p.ctx, func() (net.Conn, error) { return p.Open(p.ctx, name, kind) })
		p.log.Info("ordered stream ended", logs.Part, "peers", "reason", endReason(err), "member", name, "kind", kind, "err", err)
		return nil
	})
	return o
}

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
