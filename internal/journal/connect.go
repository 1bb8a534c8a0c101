package journal

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// connectInterval is how long a connect may hang before the next one is started in parallel, as the kernel repeats its
	// SYN only at growing intervals. connectTimeout is how long each may take, so that at most MaxConnects are pending.
	connectInterval = 500 * time.Millisecond
	connectTimeout  = MaxConnects*connectInterval - 100*time.Millisecond
	// MaxConnects bounds the number of pending connects, and so the file descriptors that they hold.
	MaxConnects = 3
)

// connect opens a connection. While none is established, it starts another connect in parallel every connectInterval,
// and returns the first connection that is established. An error other than a timeout ends it at once.
func (c *Client) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		net.Conn
		err error
	}
	results := make(chan result)
	startConnect := func() {
		conn, err := c.dial(ctx, network, addr)
		select {
		case results <- result{conn, err}:
		case <-ctx.Done():
			if err == nil {
				conn.Close()
			}
		}
	}
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	go startConnect()
	pending := 1
	for {
		select {
		case r := <-results:
			var timeoutErr net.Error
			if !errors.As(r.err, &timeoutErr) || !timeoutErr.Timeout() {
				return r.Conn, r.err
			}
			pending--
		case <-ticker.C:
			if pending < MaxConnects {
				pending++
				go startConnect()
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dial opens one connection within connectTimeout.
func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if c.Dial != nil {
		return c.Dial(ctx, network, addr)
	}
	return new(net.Dialer).DialContext(ctx, network, addr)
}
