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

// Way is what goes wrong on the way from one instance to another. The zero Way is well.
type Way struct {
	Cut      bool          // nothing passes; connections stay open and silent
	HalfOpen bool          // connections are taken and never served
	Loss     float64       // part of the datagrams
	Twice    float64       // part of them that come twice
	Delay    time.Duration // of each datagram, and of each piece of a stream
	Jitter   time.Duration // more, drawn anew for each datagram: they come in another order
	PerSec   int           // bytes of a stream, a second; 0: as they come
}

const (
	// holdMost bounds the datagrams under way on one link, pieceMost a piece of a stream.
	holdMost  = 4096
	pieceMost = 16 << 10
	// stallStep is how often a stream looks whether a cut has healed.
	stallStep = 20 * time.Millisecond
)

// link is the way from one instance to another, with an address of its own for datagrams and streams.
type link struct {
	from, to string
	udp      *net.UDPConn
	tcp      net.Listener
	target   string // of the instance behind it
	back     *link  // the other direction, which what a stream brings back goes by

	mu   sync.Mutex
	rng  *rand.Rand
	way  Way
	open int
	sent int // datagrams that came, and those that were passed on
	gone int
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

func (l *link) addr() string { return l.tcp.Addr().String() }

func (l *link) set(w Way) {
	l.mu.Lock()
	l.way = w
	l.mu.Unlock()
}

func (l *link) now() Way {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.way
}

// draw decides on one datagram: how often it is passed on, and after what.
func (l *link) draw() (waits []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	w := l.way
	if w.Cut || l.open > holdMost || l.rng.Float64() < w.Loss {
		l.gone++
		return nil
	}
	n := 1
	if l.rng.Float64() < w.Twice {
		n = 2
	}
	for range n {
		wait := w.Delay
		if w.Jitter > 0 {
			wait += time.Duration(l.rng.Int64N(int64(w.Jitter)))
		}
		waits = append(waits, wait)
	}
	return waits
}

// run passes on until ctx ends.
func (l *link) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	to, err := net.ResolveUDPAddr("udp", l.target)
	if err != nil {
		return err
	}
	g.Go(func() error {
		<-ctx.Done()
		l.udp.Close()
		l.tcp.Close()
		return nil
	})
	g.Go(func() error {
		buf := make([]byte, 64<<10)
		for {
			n, _, err := l.udp.ReadFromUDP(buf)
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				continue
			}
			for _, wait := range l.draw() {
				if wait <= 0 {
					l.udp.WriteToUDP(buf[:n], to)
					continue
				}
				b := append([]byte(nil), buf[:n]...)
				l.mu.Lock()
				l.open++
				l.mu.Unlock()
				time.AfterFunc(wait, func() {
					l.udp.WriteToUDP(b, to)
					l.mu.Lock()
					l.open--
					l.mu.Unlock()
				})
			}
		}
	})
	g.Go(func() error {
		for {
			c, err := l.tcp.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				continue
			}
			g.Go(func() error { l.stream(ctx, c); return nil })
		}
	})
	return g.Wait()
}

// stream passes a connection on. While the way is cut it is taken and stays silent, as on a network that drops everything.
func (l *link) stream(ctx context.Context, c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if !l.passes(ctx) {
		return
	}
	d := net.Dialer{Timeout: time.Second}
	far, err := d.DialContext(ctx, "tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	halt := context.AfterFunc(ctx, func() { far.Close() })
	defer halt()
	var both sync.WaitGroup
	both.Go(func() { l.pump(ctx, far, c); far.Close() })
	both.Go(func() { l.back.pump(ctx, c, far); c.Close() })
	both.Wait()
}

// passes waits until the way is not cut.
func (l *link) passes(ctx context.Context) bool {
	for {
		if w := l.now(); !w.Cut && !w.HalfOpen {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(stallStep):
		}
	}
}

func (l *link) pump(ctx context.Context, to, from net.Conn) {
	buf := make([]byte, pieceMost)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !l.passes(ctx) {
				return
			}
			w := l.now()
			wait := w.Delay
			if w.PerSec > 0 {
				wait += time.Duration(float64(n) / float64(w.PerSec) * float64(time.Second))
			}
			if wait > 0 {
				select {
				case <-ctx.Done():
					return
				case <-time.After(wait):
				}
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
