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
	// maxPacketSize is the size of the longest datagram that is read.
	maxPacketSize = 64 << 10
	// packetQueueSize bounds the datagrams that wait for the membership library. Further ones are dropped.
	packetQueueSize = 256
	// maxPendingStreams bounds the incoming connections whose peer has not yet shown that it knows a key.
	maxPendingStreams = 64
	// acceptPause is how long after a failed accept the next one is tried.
	acceptPause = 50 * time.Millisecond
	// listenAttempts is how often a port is tried until one is free for both TCP and UDP.
	listenAttempts = 8
)

// transport carries the membership library's datagrams and streams, and this package's own streams, over one address.
type transport struct {
	udp           *net.UDPConn
	tcp           *net.TCPListener
	addrOverrides map[string]string // of members, by name; they replace the advertised ones
	packets       chan *memberlist.Packet
	streams       chan net.Conn
	handleStream  func(net.Conn) // takes this package's own streams, after streamMark
	log           *slog.Logger
	pending       atomic.Int32 // accepted connections that count towards maxPendingStreams
	dropped       atomic.Int64 // datagrams
	sentPackets   atomic.Int64 // datagrams, including those that reachable blocks
	sentBytes     atomic.Int64 // of these
	meter         meter
	reachable     Reachable // nil: all addresses are
}

// listen opens a transport. Port 0 stands for any port that is free for both TCP and UDP.
func listen(addr string, addrOverrides map[string]string, log *slog.Logger) (*transport, error) {
	var lastErr error
	for range listenAttempts {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		u, err := net.ListenPacket("udp", l.Addr().String())
		if err == nil {
			return &transport{
				udp:           u.(*net.UDPConn),
				tcp:           l.(*net.TCPListener),
				addrOverrides: addrOverrides,
				packets:       make(chan *memberlist.Packet, packetQueueSize),
				streams:       make(chan net.Conn),
				log:           log,
			}, nil
		}
		l.Close()
		lastErr = err
	}
	return nil, lastErr
}

// addr is the address of both listeners.
func (t *transport) addr() *net.TCPAddr { return t.tcp.Addr().(*net.TCPAddr) }

// run receives datagrams and accepts streams until ctx ends.
func (t *transport) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		t.udp.Close()
		t.tcp.Close()
		return nil
	})
	g.Go(func() error { t.readPackets(); return nil })
	g.Go(func() error {
		t.acceptStreams(func(c net.Conn) {
			g.Go(func() error {
				defer t.pending.Add(-1)
				t.dispatch(ctx, t.meter.countStream(c))
				return nil
			})
		})
		return nil
	})
	return g.Wait()
}

// readPackets hands datagrams to the membership library until the socket is closed.
func (t *transport) readPackets() {
	buf := make([]byte, maxPacketSize)
	for {
		n, from, err := t.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < 1 {
			continue
		}
		t.meter.countDatagram(n)
		if t.reachable.blocks(from.AddrPort()) {
			continue
		}
		select {
		case t.packets <- &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: from, Timestamp: time.Now()}:
		default:
			t.dropped.Add(1)
		}
	}
}

// acceptStreams hands incoming connections to serve until the listener is closed. Each counts as pending until serve
// subtracts it from pending. Connections beyond maxPendingStreams are closed.
func (t *transport) acceptStreams(serve func(net.Conn)) {
	for {
		c, err := t.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		if t.pending.Add(1) > maxPendingStreams {
			t.pending.Add(-1)
			t.refuse(c, "too-many", nil)
			continue
		}
		serve(c)
	}
}

// refuse closes an incoming stream and logs why.
func (t *transport) refuse(c net.Conn, reason string, err error) {
	t.log.Warn("peer stream refused", "reason", reason, "peer", c.RemoteAddr().String(), "err", err)
	c.Close()
}

// dispatch hands a stream to this package or to the membership library, depending on its first byte.
func (t *transport) dispatch(ctx context.Context, c net.Conn) {
	c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	var first [1]byte
	if _, err := c.Read(first[:]); err != nil {
		t.refuse(c, "silent", err)
		return
	}
	c.SetReadDeadline(time.Time{})
	if first[0] == streamMark {
		t.handleStream(c)
		return
	}
	select {
	case t.streams <- &prefixedConn{c, first[:]}:
	case <-time.After(handshakeTimeout):
		t.refuse(c, "busy", nil)
	case <-ctx.Done():
		c.Close()
	}
}

// prefixedConn is a connection whose first bytes have been read already; it returns them again.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

// Read implements net.Conn.
func (c *prefixedConn) Read(p []byte) (int, error) {
	if len(c.prefix) > 0 {
		n := copy(p, c.prefix)
		c.prefix = c.prefix[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// addressOf is the address at which a member is reached.
func (t *transport) addressOf(a memberlist.Address) string {
	if override := t.addrOverrides[a.Name]; override != "" {
		return override
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
		return nil, 0, fmt.Errorf("%q is not an IP address", ip)
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
	to, err := net.ResolveUDPAddr("udp", t.addressOf(a))
	if err != nil {
		return time.Time{}, err
	}
	t.sentBytes.Add(int64(len(b)))
	t.sentPackets.Add(1)
	if t.reachable.blocks(to.AddrPort()) {
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

// Shutdown implements memberlist.Transport. It also ends reading and accepting; run itself ends with its context.
func (t *transport) Shutdown() error {
	t.udp.Close()
	return t.tcp.Close()
}
