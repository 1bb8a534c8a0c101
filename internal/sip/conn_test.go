package sip

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// servePipe serves one end of a pipe and returns the other, with the served connection and its reason to end.
func servePipe(t *testing.T, ctx context.Context) (net.Conn, *Conn, chan Reason) {
	a, b := net.Pipe()
	c, reason := NewConn(a, Limits{WriteTimeout: time.Second}), make(chan Reason, 1)
	go func() {
		r, _ := c.Run(ctx, func(m *Message) error {
			c.Send(Response(m, 200))
			if string(m.Method) == "BAD" {
				return ErrMissingHeader
			}
			return nil
		})
		reason <- r
	}()
	return b, c, reason
}

func TestReasons(t *testing.T) {
	for _, tc := range []struct {
		want Reason
		do   func(peer net.Conn, c *Conn, cancel func())
	}{
		{PeerClosed, func(p net.Conn, _ *Conn, _ func()) { p.Close() }},
		{CutShort, func(p net.Conn, _ *Conn, _ func()) { io.WriteString(p, invite[:30]); p.Close() }},
		{BadFraming, func(p net.Conn, _ *Conn, _ func()) { io.WriteString(p, "?\r\n\r\n") }},
		{BadFraming, func(p net.Conn, _ *Conn, _ func()) { io.WriteString(p, "BAD x SIP/2.0\r\nl: 0\r\n\r\n") }},
		{Closed, func(_ net.Conn, c *Conn, _ func()) { c.Close() }},
		{Closed, func(_ net.Conn, _ *Conn, cancel func()) { cancel() }},
		// A peer that does not read: the write times out after a second, and a full queue ends the connection as well.
		{WriteTimeout, func(p net.Conn, _ *Conn, _ func()) { io.WriteString(p, invite) }},
		{QueueFull, func(_ net.Conn, c *Conn, _ func()) {
			for c.Send(make([]byte, 1000)) {
			}
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			peer, c, reason := servePipe(t, ctx)
			tc.do(peer, c, cancel)
			if got := <-reason; got != tc.want {
				t.Errorf("reason %s, want %s", got, tc.want)
			}
		})
	}
}

// A truncated message, and a peer that sends nothing, must end the connection within their timeouts: the one blocks all
// input behind it, the other occupies a connection.
func TestTimeouts(t *testing.T) {
	for text, want := range map[string]Reason{"": Idle, invite[:30]: Stalled, invite + invite[:30]: Stalled, invite: Idle} {
		synctest.Test(t, func(t *testing.T) {
			a, b := net.Pipe()
			c, reason, began, asked := NewConn(a, Limits{WriteTimeout: time.Second, MessageTimeout: func() time.Duration { return 2 * time.Second }, ErrorResponse: ErrorResponse}), make(chan Reason, 1), time.Now(), 0
			c.IdleTimeout = func() time.Duration {
				asked++
				return 3*time.Second - time.Since(began)
			}
			go func() {
				r, _ := c.Run(t.Context(), func(*Message) error { return nil })
				reason <- r
			}()
			if text != "" { // on a pipe, an empty write is an empty read
				io.WriteString(b, text)
			}
			got, _ := io.ReadAll(b)
			if r := <-reason; r != want || (r == Stalled) != strings.HasPrefix(string(got), "SIP/2.0 408 ") {
				t.Errorf("%.40q: reason %s, want %s; received %q", text, r, want, got)
			}
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("took %v", took)
			}
		})
	}
}

func TestCloseWritesWhatIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer, c, reason := servePipe(t, t.Context())
		c.Send([]byte("one "))
		c.Send([]byte("two"))
		c.Close()
		if got, err := io.ReadAll(peer); string(got) != "one two" || err != nil || <-reason != Closed {
			t.Errorf("read %q, %v", got, err)
		}
	})
}

// loopbackPair returns both ends of a connection over loopback. The peer's end is closed with the test.
func loopbackPair(t *testing.T) (peer, ours net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if peer, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	if ours, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return peer, ours
}

// serveLoopback returns a connection over loopback: the peer's end, and this side's, which is served with handle.
func serveLoopback(t *testing.T, limits Limits, handle func(c *Conn, m *Message)) (net.Conn, *Conn, chan Reason) {
	t.Helper()
	peer, ours := loopbackPair(t)
	limits.WriteTimeout = time.Second
	c, reason := NewConn(ours, limits), make(chan Reason, 1)
	go func() {
		r, _ := c.Run(t.Context(), func(m *Message) error { handle(c, m); return nil })
		reason <- r
	}()
	return peer, c, reason
}

// readStatuses reads responses up to the end of the connection, which must not be a reset.
func readStatuses(t *testing.T, peer net.Conn) (all []int) {
	t.Helper()
	for r := NewReader(peer); ; {
		m, err := r.Next()
		if err == io.EOF {
			return all
		}
		if err != nil {
			t.Errorf("after %d: %v", all, err)
			return all
		}
		all = append(all, m.Status)
	}
}

// A request that was in the socket when the connection was closed stayed unread, and the close became a reset, which
// destroyed the previous response. The request must be handled, and both responses must arrive.
func TestRequestDuringClose(t *testing.T) {
	first, proceed := make(chan bool), make(chan bool)
	peer, c, reason := serveLoopback(t, Limits{Linger: time.Second}, func(c *Conn, m *Message) {
		if string(m.User()) == "1" {
			first <- true
			<-proceed
		}
		c.Send(Response(m, 200))
	})
	io.WriteString(peer, strings.Replace(invite, "sip:", "sip:1@x;", 1))
	<-first
	io.WriteString(peer, invite)
	c.Close()
	close(proceed)
	if got := readStatuses(t, peer); len(got) != 2 {
		t.Errorf("responses %v, want two", got)
	}
	peer.Close()
	if r := <-reason; r != Closed {
		t.Errorf("reason %s", r)
	}
}

// A peer that goes on sending after this side has closed must see the end of the connection, and not a reset.
func TestInputAfterCloseDoesNotReset(t *testing.T) {
	peer, c, reason := serveLoopback(t, Limits{Linger: time.Minute}, func(*Conn, *Message) {})
	c.Send([]byte("SIP/2.0 200 OK\r\nl: 0\r\n\r\n"))
	c.Close()
	<-c.flushed
	for range 20 {
		c.netConn.SetReadDeadline(pastDeadline) // as by a Close that sets the deadline after the reader has
		time.Sleep(time.Millisecond)            // time for a reset to arrive
		if _, err := io.WriteString(peer, invite); err != nil {
			t.Fatalf("reset: %v", err)
		}
	}
	if got := readStatuses(t, peer); len(got) != 1 {
		t.Errorf("responses %v, want one", got)
	}
	peer.Close()
	<-reason
}

// On a busy core, a request may arrive before the reader checks the idle timeout. Such a request was lost with the
// connection.
func TestRequestAtIdleTimeout(t *testing.T) {
	var peer net.Conn
	arrived, asked := make(chan bool), 0
	peer, _, reason := serveLoopback(t, Limits{IdleTimeout: func() time.Duration {
		if asked++; asked == 1 {
			<-arrived // the request arrives before the check
		}
		return 0
	}}, func(c *Conn, m *Message) { c.Send(Response(m, 200)) })
	io.WriteString(peer, invite)
	close(arrived)
	if got := readStatuses(t, peer); len(got) != 1 {
		t.Errorf("responses %v, want one", got)
	}
	if r := <-reason; r != Idle {
		t.Errorf("reason %s", r)
	}
}

// A request whose rest had arrived in time but was read late was refused as stalled.
func TestLateReadOfRequestInTime(t *testing.T) {
	arrived, started := make(chan bool), make(chan bool, 10)
	peer, c, reason := serveLoopback(t, Limits{ErrorResponse: ErrorResponse, MessageTimeout: func() time.Duration {
		started <- true
		<-arrived
		return -1
	}}, func(c *Conn, m *Message) { c.Send(Response(m, 200)) })
	io.WriteString(peer, invite[:30])
	<-started
	io.WriteString(peer, invite[30:])
	close(arrived)
	m, err := NewReader(peer).Next()
	if err != nil || m.Status != 200 {
		t.Errorf("response %+v, %v", m, err)
	}
	c.Close()
	if r := <-reason; r != Closed {
		t.Errorf("reason %s", r)
	}
}
