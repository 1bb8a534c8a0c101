package caller

import (
	"io"
	"net"
	"testing"
	"time"

	"masthill/internal/netcase"
)

// addUnserved adds a connection that was last used some time ago and whose reader does not get to run, and returns its
// peer's end.
func (b *harness) addUnserved(unusedFor time.Duration) (*conn, net.Conn) {
	b.t.Helper()
	accepted, peer := netcase.TCPPair(b.t)
	c := newConn(accepted, b.Server)
	c.lastUsed = c.lastUsed.Add(-unusedFor)
	b.conns[c] = true
	return c, peer
}

// Guards against a lost call: on a busy processor, a connection whose request still lay in the kernel counted as silent,
// and was closed to make room while connections that had sent nothing, or part of a request, stayed open.
func TestUnreadInputIsNotEvicted(t *testing.T) {
	s, core := newServer(3)
	b := &harness{t: t, Server: s, coreStub: core}
	unread, peer := b.addUnserved(2 * silentAge)
	io.WriteString(peer, message("INVITE", id, headers))
	for !unread.HasUnreadInput() {
		time.Sleep(time.Millisecond)
	}
	silent, _ := b.addUnserved(silentAge + time.Millisecond)
	receiving, _ := b.addUnserved(0)
	receiving.unreadAt = time.Now()
	for n, want := range []*conn{silent, receiving, unread} {
		if got := b.evictNext(); got != want {
			t.Errorf("eviction %d ended another connection than expected", n+1)
		}
	}
	if b.evictNext() != nil {
		t.Error("a connection was evicted twice")
	}
}
