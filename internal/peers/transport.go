package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/sync/errgroup"
)

const (
	// packetMost is the longest datagram that is read, packetsMost how many wait for the membership library; beyond it they
	// are dropped, as a network drops them.
	packetMost, packetsMost = 64 << 10, 256
	// inboundMost bounds the streams that others have opened to this instance and that have not yet shown a key.
	inboundMost = 64
	// acceptPause is how long after a failed accept the next one is tried.
	acceptPause = 50 * time.Millisecond
)

// transport carries the membership library's datagrams and streams, and this package's own streams, over one address. To
// some members it may go by another address than they tell.
type transport struct {
	udp     *net.UDPConn
	tcp     *net.TCPListener
	via     map[string]string // by name
	packets chan *memberlist.Packet
	streams chan net.Conn
	own     func(net.Conn) // takes a stream of this package's own, after its mark
	log     *slog.Logger
	inbound atomic.Int32
	dropped atomic.Int64 // datagrams
	sent    atomic.Int64 // bytes in datagrams
	sentN   atomic.Int64
	meter   meter
	reach   Reach
}

// listen opens a transport; port 0 takes any that is free for both.
func listen(addr string, via map[string]string, log *slog.Logger) (*transport, error) {
	var last error
	for range 8 {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		u, err := net.ListenPacket("udp", l.Addr().String())
		if err == nil {
			return &transport{udp: u.(*net.UDPConn), tcp: l.(*net.TCPListener), via: via, packets: make(chan *memberlist.Packet, packetsMost),
				streams: make(chan net.Conn), log: log}, nil
		}
		l.Close()
		last = err
	}
	return nil, last
}

func (t *transport) addr() *net.TCPAddr { return t.tcp.Addr().(*net.TCPAddr) }

// run reads until ctx ends.
func (t *transport) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		t.udp.Close()
		t.tcp.Close()
		return nil
	})
	g.Go(func() error {
		buf := make([]byte, packetMost)
		for {
			n, from, err := t.udp.ReadFromUDP(buf)
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil || n < 1 {
				continue
			}
			t.meter.datagram(n)
			if t.reach.cut(from.AddrPort()) {
				continue
			}
			select {
			case t.packets <- &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: from, Timestamp: time.Now()}:
			default:
				t.dropped.Add(1)
			}
		}
	})
	g.Go(func() error {
		for {
			c, err := t.tcp.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				time.Sleep(acceptPause)
				continue
			}
			if t.inbound.Add(1) > inboundMost {
				t.inbound.Add(-1)
				t.ended(c, "too-many", nil)
				continue
			}
			g.Go(func() error {
				defer t.inbound.Add(-1)
				t.take(ctx, t.meter.stream(c))
				return nil
			})
		}
	})
	return g.Wait()
}

// ended closes a stream and leaves its line.
func (t *transport) ended(c net.Conn, reason string, err error) {
	t.log.Warn("peer stream refused", "reason", reason, "peer", c.RemoteAddr().String(), "err", err)
	c.Close()
}

// take finds out whose a stream is, by its first byte.
func (t *transport) take(ctx context.Context, c net.Conn) {
	c.SetReadDeadline(time.Now().Add(greetFor))
	var first [1]byte
	if _, err := c.Read(first[:]); err != nil {
		t.ended(c, "silent", err)
		return
	}
	c.SetReadDeadline(time.Time{})
	if first[0] == streamMark {
		t.own(c)
		return
	}
	select {
	case t.streams <- &begun{c, first[:]}:
	case <-time.After(greetFor):
		t.ended(c, "busy", nil)
	case <-ctx.Done():
		c.Close()
	}
}

// begun is a connection of which a first part has been read.
type begun struct {
	net.Conn
	first []byte
}

func (b *begun) Read(p []byte) (int, error) {
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	return b.Conn.Read(p)
}

// to is where a member is reached.
func (t *transport) to(a memberlist.Address) string {
	if via := t.via[a.Name]; via != "" {
		return via
	}
	return a.Addr
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (t *transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	own := t.addr()
	if ip == "" {
		return own.IP, own.Port, nil
	}
	parsed := net.ParseIP(ip)
	if parsed == nil {
		return nil, 0, fmt.Errorf("%q is no IP address", ip)
	}
	if port == 0 {
		port = own.Port
	}
	return parsed, port, nil
}

// WriteTo implements memberlist.Transport.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", t.to(a))
	if err != nil {
		return time.Time{}, err
	}
	t.sent.Add(int64(len(b)))
	t.sentN.Add(1)
	if t.reach.cut(to.AddrPort()) {
		return time.Now(), nil
	}
	_, err = t.udp.WriteToUDP(b, to)
	return time.Now(), err
}

// PacketCh implements memberlist.Transport.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, wait time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, wait)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, wait time.Duration) (net.Conn, error) {
	return t.dial(context.Background(), a, wait)
}

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown implements memberlist.Transport; run ends with its context.
func (t *transport) Shutdown() error {
	t.udp.Close()
	return t.tcp.Close()
}
