package peers

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// Traffic counts what a member has sent and received since its start. Bytes are payload, without the headers of UDP, TCP
// and IP.
type Traffic struct {
	SentDatagrams         int64 `json:"sent_datagrams"`
	SentDatagramBytes     int64 `json:"sent_datagram_bytes"`
	ReceivedDatagrams     int64 `json:"got_datagrams"`
	ReceivedDatagramBytes int64 `json:"got_datagram_bytes"`
	SentStreamBytes       int64 `json:"sent_stream_bytes"`
	ReceivedStreamBytes   int64 `json:"got_stream_bytes"`
	Streams               int64 `json:"streams"` // opened and accepted
}

// meter counts a transport's traffic, except for the sent datagrams, which the transport itself counts.
type meter struct {
	receivedDatagrams, receivedDatagramBytes      atomic.Int64
	sentStreamBytes, receivedStreamBytes, streams atomic.Int64
	deaths                                        atomic.Int64 // of other members, as this one saw them
}

// countDatagram counts a received datagram of n bytes.
func (m *meter) countDatagram(n int) {
	m.receivedDatagrams.Add(1)
	m.receivedDatagramBytes.Add(int64(n))
}

// countStream counts a stream, and returns its connection wrapped so that its bytes are counted too.
func (m *meter) countStream(c net.Conn) net.Conn {
	m.streams.Add(1)
	return &meteredConn{c, m}
}

// meteredConn is a connection whose bytes are counted.
type meteredConn struct {
	net.Conn
	meter *meter
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.receivedStreamBytes.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.sentStreamBytes.Add(int64(n))
	return n, err
}

// Traffic returns what this member has sent and received.
func (p *Peers) Traffic() Traffic {
	t := p.transport
	return Traffic{SentDatagrams: t.sentPackets.Load(), SentDatagramBytes: t.sentBytes.Load(),
		ReceivedDatagrams: t.meter.receivedDatagrams.Load(), ReceivedDatagramBytes: t.meter.receivedDatagramBytes.Load(),
		SentStreamBytes: t.meter.sentStreamBytes.Load(), ReceivedStreamBytes: t.meter.receivedStreamBytes.Load(), Streams: t.meter.streams.Load()}
}

// Reachable tells whether datagrams and connections can pass between this member and an address now. Tests use it to
// simulate partitions. With nil all addresses are reachable.
type Reachable func(addr netip.AddrPort) bool

// blocks tells whether an address cannot be reached.
func (r Reachable) blocks(addr netip.AddrPort) bool {
	return r != nil && !r(netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()))
}

// dial connects to a member. With an unreachable address it fails after the whole timeout, as on a network that drops
// everything.
func (t *transport) dial(ctx context.Context, a memberlist.Address, wait time.Duration) (net.Conn, error) {
	addr := t.addressOf(a)
	if to, err := netip.ParseAddrPort(addr); err == nil && t.reachable.blocks(to) {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(to), Err: context.DeadlineExceeded}
	}
	d := net.Dialer{Timeout: wait}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return t.meter.countStream(c), nil
}
