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

// outage is a service that is down until a moment, and serves one event from then on.
type outage struct {
	t                               *testing.T
	until                           time.Time
	down                            func(ctx context.Context) error // a connect while it is down
	mu                              sync.Mutex
	underway, maxUnderway, connects int // connects under way, at most, and in all
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

// A service that was down for long is followed at once when it is back. The wait before a reconnect had grown to 1.5 s, and
// a connect that hung was waited for until 2.5 s after its begin; beyond that the transport left it to the kernel, which held
// its descriptor for two minutes.
func TestAServiceThatIsBackIsFollowedAtOnce(t *testing.T) {
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
				c.Addr, c.Backoff = "journal:1", nil // the waits of the program
				o := &outage{t: t, until: time.Now().Add(lasts), down: tc.down}
				c.Dial = o.dial
				go c.Run(t.Context())
				<-got
				o.mu.Lock()
				defer o.mu.Unlock()
				if late := time.Since(o.until); late > tc.limit {
					t.Errorf("%s for %v: followed %v after it was back", name, lasts, late)
				}
				if o.maxUnderway > MaxConnects {
					t.Errorf("%s for %v: %d connects under way", name, lasts, o.maxUnderway)
				}
				if most := 3 + int(2*lasts/maxBackoff)*2; o.connects > most {
					t.Errorf("%s for %v: %d connects, over %d", name, lasts, o.connects, most)
				}
			})
		}
	}
}

// What comes up late is waited for: the connects beside it don't end it.
func TestAConnectThatComesUpLate(t *testing.T) {
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
