package scale

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// segmentHeaders are the bytes that IPv4 and TCP with timestamps add to a segment.
const segmentHeaders = 52

// traffic is what connections have carried, in both directions.
type traffic struct {
	Bytes    int64 // payload
	Segments int64
}

func (w traffic) minus(o traffic) traffic { return traffic{w.Bytes - o.Bytes, w.Segments - o.Segments} }

// withHeaders is the number of bytes with the headers of IP and TCP.
func (w traffic) withHeaders() int64 { return w.Bytes + segmentHeaders*w.Segments }

// wiretap counts the traffic of members' connections, and can partition members from the servers.
type wiretap struct {
	mu          sync.Mutex
	closed      traffic
	open        map[*tappedConn]bool
	partitioned map[int]bool
}

var errPartitioned = errors.New("partitioned from the servers")

func newWiretap() *wiretap {
	return &wiretap{open: map[*tappedConn]bool{}, partitioned: map[int]bool{}}
}

// dial returns the dialer of a member.
func (t *wiretap) dial(member int) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if t.isPartitioned(member) {
			return nil, errPartitioned
		}
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		conn := &tappedConn{TCPConn: c.(*net.TCPConn), tap: t, member: member}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.open[conn] = true
		return conn, nil
	}
}

func (t *wiretap) isPartitioned(member int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partitioned[member]
}

// partition cuts these members off, and reconnects those that were cut off before.
func (t *wiretap) partition(members ...int) {
	t.mu.Lock()
	clear(t.partitioned)
	for _, k := range members {
		t.partitioned[k] = true
	}
	var affected []*tappedConn
	for c := range t.open {
		if t.partitioned[c.member] {
			affected = append(affected, c)
		}
	}
	t.mu.Unlock()
	for _, c := range affected {
		c.Close()
	}
}

// carried is the traffic of all connections since the beginning.
func (t *wiretap) carried() traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.closed
	for c := range t.open {
		now := c.carried()
		all.Bytes, all.Segments = all.Bytes+now.Bytes, all.Segments+now.Segments
	}
	return all
}

// tappedConn is a connection whose traffic is read from the kernel's counters.
type tappedConn struct {
	*net.TCPConn
	tap    *wiretap
	member int
}

// carried reads the kernel's counters.
func (c *tappedConn) carried() (w traffic) {
	raw, err := c.SyscallConn()
	if err != nil {
		return w
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), syscall.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			w = traffic{int64(info.Bytes_acked + info.Bytes_received), int64(info.Segs_out) + int64(info.Segs_in)}
		}
	})
	return w
}

// Close implements net.Conn.
func (c *tappedConn) Close() error {
	c.tap.mu.Lock()
	if c.tap.open[c] {
		now := c.carried()
		c.tap.closed = traffic{c.tap.closed.Bytes + now.Bytes, c.tap.closed.Segments + now.Segments}
		delete(c.tap.open, c)
	}
	c.tap.mu.Unlock()
	return c.TCPConn.Close()
}
