package sip

import (
	"io"
	"net"
	"testing"
	"time"
)

// until waits for a condition, for which the machine may take its time.
func waitFor(t *testing.T, met func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it never came to it")
		}
	}
}

// What is known of a peer whose reader is busy with something else: input that grows old, a close behind it, a reset.
func TestInputOfABusyReader(t *testing.T) {
	for name, leave := range map[string]func(peer net.Conn){
		"close":      func(p net.Conn) { p.Close() },
		"half-close": func(p net.Conn) { p.(*net.TCPConn).CloseWrite() },
		"reset":      func(p net.Conn) { p.(*net.TCPConn).SetLinger(0); p.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			busy, goOn := make(chan bool, 10), make(chan bool)
			peer, c, reason := serveLoopback(t, Limits{}, func(*Conn, *Message) { busy <- true; <-goOn })
			if c.Input() == InputEnded {
				t.Error("ended before anything came")
			}
			io.WriteString(peer, invite)
			<-busy
			if io.WriteString(peer, invite); c.Input() == InputEnded {
				t.Error("input taken for an end")
			}
			waitFor(t, func() bool { return c.Input() == InputUnread })
			leave(peer)
			waitFor(t, func() bool { return c.Input() == InputEnded })
			close(goOn)
			if why := <-reason; why != PeerClosed && why != PeerReset {
				t.Errorf("reason %s", why)
			}
		})
	}
}

// Input that waited is handled once its reader has come to it, and a peer that says nothing for long is still heard.
func TestInputIsHandledAgain(t *testing.T) {
	busy, goOn := make(chan bool), make(chan bool)
	peer, c, _ := serveLoopback(t, Limits{}, func(*Conn, *Message) { busy <- true; <-goOn })
	io.WriteString(peer, invite)
	<-busy
	io.WriteString(peer, invite)
	waitFor(t, func() bool { return c.Input() == InputUnread })
	goOn <- true
	<-busy
	goOn <- true
	waitFor(t, func() bool { return c.Input() == InputHandled })
	waitFor(t, func() bool { return !isFresh(&c.in.emptyAt) && c.in.readerWaiting.Load() })
	if got := c.Input(); got != InputHandled {
		t.Errorf("after a silence: %d", got)
	}
}

// The close of a peer that does not read its answers stands behind the requests that wait unread for that: it was
// noticed only when the write had run out of time.
func TestACloseBehindUnreadRequests(t *testing.T) {
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
			waitFor(t, func() bool { // what the buffers hold is not known; then the reader waits
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
