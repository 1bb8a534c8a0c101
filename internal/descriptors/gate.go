package descriptors

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// retryEvery is how often a connect is tried again while the process or the machine has no descriptor left.
const retryEvery = 10 * time.Millisecond

// ErrShareTaken tells that a share is taken: nothing was sent.
var ErrShareExhausted = errors.New("the share of descriptors is taken")

// Gate bounds the descriptors of one user.
type Limiter struct {
	mu    sync.Mutex
	limit int
	held  int
}

// NewGate makes a gate.
func NewLimiter(limit int) *Limiter { return &Limiter{limit: limit} }

// SetLimit changes the bound; what is held beyond it stays.
func (g *Limiter) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
}

// Held tells how many are held.
func (g *Limiter) Held() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

// Take takes one, if there is one.
func (g *Limiter) TryAcquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held >= g.limit {
		return false
	}
	g.held++
	return true
}

// Release gives one back.
func (g *Limiter) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held--
}

// Exhausted tells that an error means that no descriptor was left, of the process's or the machine's.
func Exhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Persist calls open until it has a descriptor or ctx ends, so that a connect goes on as soon as one is free. Shortage, if
// not nil, is called each time that there was none.
func OpenWithRetry[T any](ctx context.Context, shortage func(), open func(context.Context) (T, error)) (T, error) {
	for {
		opened, err := open(ctx)
		if err == nil || !Exhausted(err) {
			return opened, err
		}
		if shortage != nil {
			shortage()
		}
		select {
		case <-ctx.Done():
			return opened, err
		case <-time.After(retryEvery):
		}
	}
}

// Dialer gives a dial function over TCP that waits for a descriptor where there is none.
func Dialer(shortage func()) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		return OpenWithRetry(ctx, shortage, func(ctx context.Context) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, network, addr)
		})
	}
}
