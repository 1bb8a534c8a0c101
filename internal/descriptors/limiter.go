package descriptors

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// retryInterval is how often a connect is tried again while the process or the machine has no descriptor left.
const retryInterval = 10 * time.Millisecond

// ErrShareExhausted is the error of a connect that was not tried because all descriptors of its share are in use.
var ErrShareExhausted = errors.New("all file descriptors of this share are in use")

// Limiter limits the number of descriptors that one user holds.
type Limiter struct {
	mu    sync.Mutex
	limit int
	held  int
}

// NewLimiter returns a Limiter with a limit.
func NewLimiter(limit int) *Limiter { return &Limiter{limit: limit} }

// SetLimit changes the limit; descriptors held beyond it stay held.
func (g *Limiter) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
}

// Held returns the number of descriptors held.
func (g *Limiter) Held() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

// TryAcquire counts one more descriptor as held and reports true, unless the limit is reached.
func (g *Limiter) TryAcquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held >= g.limit {
		return false
	}
	g.held++
	return true
}

// Release counts one descriptor less.
func (g *Limiter) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held--
}

// Exhausted reports whether an error means that the process or the machine had no descriptor left.
func Exhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// OpenWithRetry calls open and repeats it while no descriptor is left, until ctx ends, so that a connect goes on as soon
// as one is free. onShortage, if not nil, is called each time that there was none.
func OpenWithRetry[T any](ctx context.Context, onShortage func(), open func(context.Context) (T, error)) (T, error) {
	for {
		opened, err := open(ctx)
		if err == nil || !Exhausted(err) {
			return opened, err
		}
		if onShortage != nil {
			onShortage()
		}
		select {
		case <-ctx.Done():
			return opened, err
		case <-time.After(retryInterval):
		}
	}
}

// Dialer returns a function that connects like net.Dialer, but waits for a descriptor when none is left.
func Dialer(onShortage func()) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		return OpenWithRetry(ctx, onShortage, func(ctx context.Context) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, network, addr)
		})
	}
}
