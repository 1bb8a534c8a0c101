package journal

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// connectEvery is how long a connect may hang before the next one begins beside it, as the kernel sends its SYN again
	// at growing intervals; connectTimeout is how long each may take, so that at most MaxConnects are under way.
	connectInterval = 500 * time.Millisecond
	connectTimeout  = MaxConnects*connectInterval - 100*time.Millisecond
	// MaxConnects bounds the connects that are under way at once, and so the descriptors that they hold.
	MaxConnects = 3
)

// connect opens a connection. While it does not come up, another connect begins beside it every connectEvery, and the
// first one that is up is taken. One that fails tells enough.
func (c *Client) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		net.Conn
		err error
	}
	results := make(chan result)
	begin := func() {
		conn, err := c.dial(ctx, network, addr)
		select {
		case results <- result{conn, err}:
		case <-ctx.Done():
			if err == nil {
				conn.Close()
			}
		}
	}
	next := time.NewTicker(connectInterval)
	defer next.Stop()
	go begin()
	pending := 1
	for {
		select {
		case r := <-results:
			var timeoutErr net.Error
			if !errors.As(r.err, &timeoutErr) || !timeoutErr.Timeout() {
				return r.Conn, r.err
			}
			pending--
		case <-next.C:
			if pending < MaxConnects {
				pending++
				go begin()
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dial makes one connect.
func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if c.Dial != nil {
		return c.Dial(ctx, network, addr)
	}
	return new(net.Dialer).DialContext(ctx, network, addr)
}
