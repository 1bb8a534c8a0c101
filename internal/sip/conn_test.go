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

// run serves one end of a pipe and gives the other.
func run(t *testing.T, ctx context.Context) (net.Conn, *Conn, chan Reason) {
	a, b := net.Pipe()
	c, reason := NewConn(a, Limits{Write: time.Second}), make(chan Reason, 1)
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
		// A peer that does not read: after a second the write ends the connection, and so does a full queue.
		{WriteTimeout, func(p net.Conn, _ *Conn, _ func()) { io.WriteString(p, invite) }},
		{QueueFull, func(_ net.Conn, c *Conn, _ func()) {
			for c.Send(make([]byte, 1000)) {
			}
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			peer, c, reason := run(t, ctx)
			tc.do(peer, c, cancel)
			if got := <-reason; got != tc.want {
				t.Errorf("reason %s, want %s", got, tc.want)
			}
		})
	}
}

// A message that stops short holds up all that comes behind it, and a peer that says nothing its place.
func TestPatience(t *testing.T) {
	for text, want := range map[string]Reason{"": Idle, invite[:30]: Stalled, invite + invite[:30]: Stalled, invite: Idle} {
		synctest.Test(t, func(t *testing.T) {
			a, b := net.Pipe()
			c, reason, began, asked := NewConn(a, Limits{Write: time.Second, MessageTimeout: func() time.Duration { return 2 * time.Second }, ErrorResponse: ErrorResponse}), make(chan Reason, 1), time.Now(), 0
			c.Idle = func() time.Duration {
				asked++
				return 3*time.Second - time.Since(began)
			}
			go func() {
				r, _ := c.Run(t.Context(), func(*Message) error { return nil })
				reason <- r
			}()
			if text != "" { // a pipe makes an empty read of it
				io.WriteString(b, text)
			}
			got, _ := io.ReadAll(b)
			if r := <-reason; r != want || (r == Stalled) != strings.HasPrefix(string(got), "SIP/2.0 408 ") {
				t.Errorf("%.40q: reason %s, want %s; told %q", text, r, want, got)
			}
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("took %v", took)
			}
		})
	}
}

func TestCloseWritesWhatIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer, c, reason := run(t, t.Context())
		c.Send([]byte("one "))
		c.Send([]byte("two"))
		c.Close()
		if got, err := io.ReadAll(peer); string(got) != "one two" || err != nil || <-reason != Closed {
			t.Errorf("read %q, %v", got, err)
		}
	})
}

// pair is a connection over loopback: the peer's end, and this side's, which handles as told.
func pair(t *testing.T, limits Limits, handle func(c *Conn, m *Message)) (net.Conn, *Conn, chan Reason) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	ours, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	limits.Write = time.Second
	c, reason := NewConn(ours, limits), make(chan Reason, 1)
	go func() {
		r, _ := c.Run(t.Context(), func(m *Message) error { handle(c, m); return nil })
		reason <- r
	}()
	return peer, c, reason
}

// statuses reads answers to the end of the connection, which must be no reset.
func statuses(t *testing.T, peer net.Conn) (all []int) {
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

// A request that is in the socket when the connection is closed was left unread, and the close became a reset, which
// took the answer before it along. It is handled, and both answers are read.
func TestARequestInTheInstantOfTheClose(t *testing.T) {
	first, goOn := make(chan bool), make(chan bool)
	peer, c, reason := pair(t, Limits{Linger: time.Second}, func(c *Conn, m *Message) {
		if string(m.User()) == "1" {
			first <- true
			<-goOn
		}
		c.Send(Response(m, 200))
	})
	io.WriteString(peer, strings.Replace(invite, "sip:", "sip:1@x;", 1))
	<-first
	io.WriteString(peer, invite)
	c.Close()
	close(goOn)
	if got := statuses(t, peer); len(got) != 2 {
		t.Errorf("answers %v, want two", got)
	}
	peer.Close()
	if r := <-reason; r != Closed {
		t.Errorf("reason %s", r)
	}
}

// A peer that goes on after this side has closed is read on: it gets the end of the connection, and no reset in its place.
func TestWhatComesAfterTheCloseResetsNothing(t *testing.T) {
	peer, c, reason := pair(t, Limits{Linger: time.Minute}, func(*Conn, *Message) {})
	c.Send([]byte("SIP/2.0 200 OK\r\nl: 0\r\n\r\n"))
	c.Close()
	<-c.flushed
	for range 20 {
		c.net.SetReadDeadline(past)  // that of a Close whose reader was quicker
		time.Sleep(time.Millisecond) // a reset has the time to come back
		if _, err := io.WriteString(peer, invite); err != nil {
			t.Fatalf("reset: %v", err)
		}
	}
	if got := statuses(t, peer); len(got) != 1 {
		t.Errorf("answers %v, want one", got)
	}
	peer.Close()
	<-reason
}

// A request that had come before the idle limit was looked at, on a core that others share, was lost with the
// connection.
func TestARequestInTheInstantOfTheIdleLimit(t *testing.T) {
	var peer net.Conn
	came, asked := make(chan bool), 0
	peer, _, reason := pair(t, Limits{Idle: func() time.Duration {
		if asked++; asked == 1 {
			<-came // it has come, and is looked at late
		}
		return 0
	}}, func(c *Conn, m *Message) { c.Send(Response(m, 200)) })
	io.WriteString(peer, invite)
	close(came)
	if got := statuses(t, peer); len(got) != 1 {
		t.Errorf("answers %v, want one", got)
	}
	if r := <-reason; r != Idle {
		t.Errorf("reason %s", r)
	}
}

// A request whose rest had come in time, but was looked at late, was refused as stalled.
func TestTheRestOfARequestThatIsLookedAtLate(t *testing.T) {
	came, begun := make(chan bool), make(chan bool, 10)
	peer, c, reason := pair(t, Limits{ErrorResponse: ErrorResponse, MessageTimeout: func() time.Duration {
		begun <- true
		<-came
		return -1
	}}, func(c *Conn, m *Message) { c.Send(Response(m, 200)) })
	io.WriteString(peer, invite[:30])
	<-begun
	io.WriteString(peer, invite[30:])
	close(came)
	m, err := NewReader(peer).Next()
	if err != nil || m.Status != 200 {
		t.Errorf("answer %+v, %v", m, err)
	}
	c.Close()
	if r := <-reason; r != Closed {
		t.Errorf("reason %s", r)
	}
}
