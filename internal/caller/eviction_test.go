package caller

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"masthill/internal/exchange"
	"masthill/internal/netcase"
	"masthill/internal/sip"
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

// Guards against silent callers: hundreds of them, which connected and sent nothing, held all places until they left,
// and 1,003 of 1,440 connections were closed at once. They are evicted, oldest first; a connection with an open set-up
// is not.
func TestSilentCallersAreEvicted(t *testing.T) {
	b := newHarness(t, 2)
	good := b.dial()
	good.write(message("INVITE", id, headers))
	b.expectEvent("arrive " + id)
	for range 20 {
		b.dial()
	}
	last := b.dial()
	last.write(message("INVITE", "0000000000000002", headers))
	b.expectEvent("arrive 0000000000000002")
	if _, err := b.dial().Next(); err == nil {
		t.Error("a third connection was served, with a limit of two")
	}
	b.Answer(id, exchange.FinalAnswer{Kind: exchange.Refused})
	good.expectMessage(503, "", "Call-ID", id)
	if b.dial(); !errors.Is(last.readByte(), os.ErrDeadlineExceeded) {
		t.Error("a connection with an open set-up was evicted")
	}
}

// Guards against a lost answer: a set-up that was read while its connection was being evicted got no answer.
func TestSetUpDuringEviction(t *testing.T) {
	b := newHarness(t, 1)
	p := b.dial()
	p.write(message("OPTIONS", "ping", ""))
	p.expectMessage(200, "", "Call-ID", "ping")
	b.serverLock().Lock() // the reader can't handle the set-up yet
	p.write(message("INVITE", id, headers))
	if !b.evictOne() {
		t.Error("no connection to evict")
	}
	b.serverLock().Unlock()
	p.expectMessage(503, "", "Call-ID", id)
	if _, err := p.Next(); err != io.EOF {
		t.Errorf("after the refusal: %v", err)
	}
	if len(b.events) != 0 {
		t.Errorf("got %s", <-b.events)
	}
}

// Guards against a lost answer: a connection that was closed at once to make room, as many others already were, took an
// answer with it that had been queued a moment before.
func TestQueuedAnswerSurvivesEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, core := newServer(1)
		ours, theirs := net.Pipe()
		c := newConn(ours, s)
		s.conns[c] = true
		go s.serve(t.Context(), c)
		io.WriteString(theirs, message("INVITE", id, headers))
		<-core.events
		s.Answer(id, exchange.FinalAnswer{Kind: exchange.Refused})
		synctest.Wait() // the write waits for the peer to read
		s.mu.Lock()
		s.evicting = s.MaxConnections
		if !s.evictOne() {
			t.Error("no connection to evict")
		}
		s.mu.Unlock()
		peer{theirs, sip.NewReader(theirs), t}.expectMessage(503, "", "Call-ID", id)
		theirs.Close()
	})
}

// Guards against a wrong order of eviction: a caller that wrote slowly was evicted before silent ones, as it had
// connected before them.
func TestSlowCallerIsNotEvicted(t *testing.T) {
	b := newHarness(t, 3)
	slow := b.dial()
	text := message("INVITE", id, headers)
	slow.write(text[:40])
	for begun := false; !begun; {
		b.serverLock().Lock()
		for c := range b.conns {
			_, begun = c.PartialMessage()
		}
		b.serverLock().Unlock()
	}
	for range 3 {
		b.dial()
	}
	b.ageConnections(silentAge + time.Millisecond)
	for range 20 {
		b.dial()
	}
	slow.write(text[40:])
	b.expectEvent("arrive " + id)
}
