package sip

import (
	"io"
	"net"
	"testing"
	"time"
)

// waitFor waits for a condition, with a long limit for busy machines.
func waitFor(t *testing.T, met func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 20 s")
		}
	}
}

// While the reader is busy, input that grows old, a close behind it and a reset must all be noticed.
func TestInputOfABusyReader(t *testing.T) {
	for name, leave := range map[string]func(peer net.Conn){
		"close":      func(p net.Conn) { p.Close() },
		"half-close": func(p net.Conn) { p.(*net.TCPConn).CloseWrite() },
		"reset":      func(p net.Conn) { p.(*net.TCPConn).SetLinger(0); p.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			busy, proceed := make(chan bool, 10), make(chan bool)
			peer, c, reason := serveLoopback(t, Limits{}, func(*Conn, *Message) { busy <- true; <-proceed })
			if c.Input() == InputEnded {
				t.Error("ended before anything was sent")
			}
			io.WriteString(peer, invite)
			<-busy
			if io.WriteString(peer, invite); c.Input() == InputEnded {
				t.Error("input mistaken for the end")
			}
			waitFor(t, func() bool { return c.Input() == InputUnread })
			leave(peer)
			waitFor(t, func() bool { return c.Input() == InputEnded })
			close(proceed)
			if why := <-reason; why != PeerClosed && why != PeerReset {
				t.Errorf("reason %s", why)
			}
		})
	}
}

// Unread input counts as handled once the reader has handled it, and the input of a peer that is silent for long stays
// handled.
func TestInputIsHandledAgain(t *testing.T) {
	busy, proceed := make(chan bool), make(chan bool)
	peer, c, _ := serveLoopback(t, Limits{}, func(*Conn, *Message) { busy <- true; <-proceed })
	io.WriteString(peer, invite)
	<-busy
	io.WriteString(peer, invite)
	waitFor(t, func() bool { return c.Input() == InputUnread })
	proceed <- true
	<-busy
	proceed <- true
	waitFor(t, func() bool { return c.Input() == InputHandled })
	waitFor(t, func() bool { return !isFresh(&c.in.emptyAt) && c.in.readerWaiting.Load() })
	if got := c.Input(); got != InputHandled {
		t.Errorf("after a silence: %d", got)
	}
}

// If a peer does not read its answers, its further requests stay unread, and a close behind them was only noticed when
// the write had timed out.
func TestCloseBehindUnreadRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		limits Limits
		want   Reason
	}{"a client's": {Limits{HalfCloseEnds: true}, PeerClosed}, "a server's": {Limits{}, WriteTimeout}} {
		t.Run(name, func(t *testing.T) {
			answer := make([]byte, readPauseBytes/2)
			asked := make(chan bool, 1000)
			peer, c, reason := serveLoopback(t, tc.limits, func(c *Conn, m *Message) { c.Send(answer); asked <- true })
			peer.(*net.TCPConn).SetReadBuffer(4 << 10)
			c.netConn.(*net.TCPConn).SetWriteBuffer(4 << 10)
			waitFor(t, func() bool { // fill the socket buffers, whose size is unknown, until the reader waits
				if c.out.hasRoom() {
					io.WriteString(peer, invite)
					<-asked
				}
				time.Sleep(time.Millisecond)
				return !c.out.hasRoom()
			})
			io.WriteString(peer, invite)
			peer.(*net.TCPConn).CloseWrite()
			if got := <-reason; got != tc.want {
				t.Errorf("reason %s, want %s", got, tc.want)
			}
		})
	}
}
