package rig

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// LinkState describes the present faults of a link from one instance to another. The zero value has none.
type LinkState struct {
	Cut            bool          // nothing passes; connections stay open but transfer nothing
	HalfOpen       bool          // connections are accepted and never served
	Loss           float64       // the share of the datagrams that is lost
	Duplicate      float64       // the share of the others that arrives twice
	Delay          time.Duration // of each datagram, and of each chunk of a stream
	Jitter         time.Duration // the most that is added to Delay, drawn for each datagram, so that they are reordered
	BytesPerSecond int           // of a stream; 0: unlimited
}

const (
	// maxInFlight bounds the delayed datagrams of one link.
	maxInFlight = 4096
	// maxChunk bounds one chunk of a stream.
	maxChunk = 16 << 10
	// stallInterval is how often a stream checks whether a cut has ended.
	stallInterval = 20 * time.Millisecond
)

// link is the connection from one instance to another. It has an address of its own, and forwards datagrams and streams.
type link struct {
	from, to string
	udp      *net.UDPConn
	tcp      net.Listener
	target   string // the address of the instance that it leads to
	reverse  *link  // the other direction, for the answers on a stream

	mu       sync.Mutex
	rng      *rand.Rand
	current  LinkState
	inFlight int
	received int // datagrams
	lost     int // of those
}

// newLink opens a link on an address of its own.
func newLink(from, to, host, target string, seed uint64) (*link, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	u, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		l.Close()
		return nil, err
	}
	return &link{from: from, to: to, tcp: l, udp: u.(*net.UDPConn), target: target, rng: rand.New(rand.NewPCG(seed, 0x6c696e6b))}, nil
}

// addr is the address at which the link accepts datagrams and connections.
func (l *link) addr() string { return l.tcp.Addr().String() }

func (l *link) setState(s LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = s
}

func (l *link) state() LinkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// schedule decides what happens to one datagram. It is forwarded once after each of the returned delays.
func (l *link) schedule() (delays []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received++
	s := l.current
	if s.Cut || l.inFlight > maxInFlight || l.rng.Float64() < s.Loss {
		l.lost++
		return nil
	}
	copies := 1
	if l.rng.Float64() < s.Duplicate {
		copies = 2
	}
	for range copies {
		delay := s.Delay
		if s.Jitter > 0 {
			delay += time.Duration(l.rng.Int64N(int64(s.Jitter)))
		}
		delays = append(delays, delay)
	}
	return delays
}

// run forwards datagrams and streams until ctx ends.
func (l *link) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	target, err := net.ResolveUDPAddr("udp", l.target)
	if err != nil {
		return err
	}
	g.Go(func() error {
		<-ctx.Done()
		l.udp.Close()
		l.tcp.Close()
		return nil
	})
	g.Go(func() error { l.forwardDatagrams(target); return nil })
	g.Go(func() error {
		for {
			c, err := l.tcp.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				continue
			}
			g.Go(func() error { l.forwardStream(ctx, c); return nil })
		}
	})
	return g.Wait()
}

// forwardDatagrams forwards datagrams until the socket is closed.
func (l *link) forwardDatagrams(target *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := l.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		for _, delay := range l.schedule() {
			if delay <= 0 {
				l.udp.WriteToUDP(buf[:n], target)
				continue
			}
			l.sendLater(append([]byte(nil), buf[:n]...), target, delay)
		}
	}
}

// sendLater forwards a datagram after a delay.
func (l *link) sendLater(b []byte, target *net.UDPAddr, delay time.Duration) {
	l.addInFlight(1)
	time.AfterFunc(delay, func() {
		l.udp.WriteToUDP(b, target)
		l.addInFlight(-1)
	})
}

func (l *link) addInFlight(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight += n
}

// forwardStream forwards a connection in both directions. While the link is cut, the connection is accepted but nothing
// is transferred, as on a network that drops everything.
func (l *link) forwardStream(ctx context.Context, near net.Conn) {
	defer near.Close()
	stopNear := context.AfterFunc(ctx, func() { near.Close() })
	defer stopNear()
	if !l.waitUntilOpen(ctx) {
		return
	}
	d := net.Dialer{Timeout: time.Second}
	far, err := d.DialContext(ctx, "tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	stopFar := context.AfterFunc(ctx, func() { far.Close() })
	defer stopFar()
	var both sync.WaitGroup
	both.Go(func() { l.copyStream(ctx, far, near); far.Close() })
	both.Go(func() { l.reverse.copyStream(ctx, near, far); near.Close() })
	both.Wait()
}

// waitUntilOpen waits until streams can pass the link. It returns false if ctx ends before.
func (l *link) waitUntilOpen(ctx context.Context) bool {
	for {
		if s := l.state(); !s.Cut && !s.HalfOpen {
			return true
		}
		if !sleep(ctx, stallInterval) {
			return false
		}
	}
}

// copyStream copies one direction of a stream, with the link's delays.
func (l *link) copyStream(ctx context.Context, to, from net.Conn) {
	buf := make([]byte, maxChunk)
	for {
		n, readErr := from.Read(buf)
		if n > 0 {
			if !l.waitUntilOpen(ctx) {
				return
			}
			if delay := l.state().chunkDelay(n); delay > 0 && !sleep(ctx, delay) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if readErr != nil {
			return
		}
	}
}

// chunkDelay is how long a chunk of a stream takes to pass.
func (s LinkState) chunkDelay(bytes int) time.Duration {
	delay := s.Delay
	if s.BytesPerSecond > 0 {
		delay += time.Duration(float64(bytes) / float64(s.BytesPerSecond) * float64(time.Second))
	}
	return delay
}

// sleep waits for d. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
