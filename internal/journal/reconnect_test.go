package journal

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// outage is a service that is down until a given time, and sends one event from then on.
type outage struct {
	t                               *testing.T
	until                           time.Time
	down                            func(ctx context.Context) error // the error of a connect while it is down
	mu                              sync.Mutex
	underway, maxUnderway, connects int // pending connects, the most of them at once, and all connects
}

func (o *outage) count(step int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.connects += max(step, 0)
	o.underway += step
	o.maxUnderway = max(o.maxUnderway, o.underway)
}

func (o *outage) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	o.count(1)
	defer o.count(-1)
	if time.Now().Before(o.until) {
		return nil, o.down(ctx)
	}
	ours, theirs := net.Pipe()
	go func() {
		defer theirs.Close()
		defer context.AfterFunc(o.t.Context(), func() { theirs.Close() })()
		streamHandler(func(w io.Writer) { io.WriteString(w, "id: 41\ndata: "+full+"\n\n") })(o.t, theirs)
	}()
	return ours, nil
}

// A service that was down for long is followed at once when it is back. The delay before a reconnect used to grow to
// 1.5 s, and a hanging connect was given up only 2.5 s after its start, and even then the transport left it to the
// kernel, which held its file descriptor for two minutes.
func TestReconnectAtOnceAfterOutage(t *testing.T) {
	for name, tc := range map[string]struct {
		down  func(ctx context.Context) error
		limit time.Duration
	}{
		"refuses": {func(context.Context) error { return syscall.ECONNREFUSED }, maxBackoff},
		"hangs":   {func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, connectInterval + minPause},
		"is cut off by a router": {func(ctx context.Context) error {
			select {
			case <-time.After(700 * time.Millisecond):
				return syscall.EHOSTUNREACH
			case <-ctx.Done():
				return ctx.Err()
			}
		}, 700*time.Millisecond + minPause},
	} {
		for _, lasts := range []time.Duration{100 * time.Millisecond, 3 * time.Second, 61 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				got := make(chan update, 1)
				c := newClient(func(x update) { got <- x })
				c.Addr, c.Backoff = "journal:1", nil // the default backoff
				o := &outage{t: t, until: time.Now().Add(lasts), down: tc.down}
				c.Dial = o.dial
				go c.Run(t.Context())
				<-got
				o.mu.Lock()
				defer o.mu.Unlock()
				if late := time.Since(o.until); late > tc.limit {
					t.Errorf("%s for %v: reconnected %v after it was back", name, lasts, late)
				}
				if o.maxUnderway > MaxConnects {
					t.Errorf("%s for %v: %d connects pending", name, lasts, o.maxUnderway)
				}
				if most := 3 + int(2*lasts/maxBackoff)*2; o.connects > most {
					t.Errorf("%s for %v: %d connects, want at most %d", name, lasts, o.connects, most)
				}
			})
		}
	}
}

// A connect that takes long is waited for; the parallel connects must not cancel it.
func TestSlowConnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan update, 1)
		c := newClient(func(x update) { got <- x })
		o := &outage{t: t}
		c.Addr, c.Dial = "journal:1", func(ctx context.Context, network, addr string) (net.Conn, error) {
			select {
			case <-time.After(900 * time.Millisecond):
				return o.dial(ctx, network, addr)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		began := time.Now()
		go c.Run(t.Context())
		<-got
		if took := time.Since(began); took > time.Second {
			t.Errorf("after %v", took)
		}
	})
}
