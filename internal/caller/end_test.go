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
)

// At a shutdown, new set-ups are refused by the server, a connection with an open set-up stays until that is answered,
// and no answer is lost to the close.
func TestShutdown(t *testing.T) {
	b := newHarness(t, 10)
	p, q := b.dial(), b.dial()
	p.write(message("INVITE", id, headers))
	b.expectEvent("arrive " + id)
	q.write(message("OPTIONS", "ping", ""))
	q.expectMessage(200, "", "Call-ID", "ping")
	b.Refuse()
	ended := make(chan bool)
	p.write(message("INVITE", "0000000000000002", headers))
	p.expectMessage(503, "", "Call-ID", "0000000000000002")
	go func() { b.Shutdown(t.Context()); close(ended) }()
	if _, err := q.Next(); err != io.EOF {
		t.Errorf("on a connection without a set-up: %v", err)
	}
	b.Answer(id, exchange.FinalAnswer{Kind: exchange.Refused})
	p.expectMessage(503, "", "Call-ID", id)
	if _, err := p.Next(); err != io.EOF {
		t.Errorf("at the end: %v", err)
	}
	p.Close()
	q.Close()
	<-ended
	if len(b.events) != 0 {
		t.Errorf("got %s", <-b.events)
	}
}

// In a drain, idle connections are closed when it begins, those with an open set-up once that is answered or its call
// has ended, and new ones are served. A request that crosses the close is served. After the drain, connections are kept
// open.
func TestDrain(t *testing.T) {
	b := newHarness(t, 10)
	idle, busy, crossing := b.dial(), b.dial(), b.dial()
	for _, p := range []peer{idle, busy, crossing} {
		p.write(message("OPTIONS", "ping", ""))
		p.expectMessage(200, "", "Call-ID", "ping")
	}
	busy.write(message("INVITE", id, headers))
	b.expectEvent("arrive " + id)
	b.serverLock().Lock() // no reader checks its limits before the request has arrived
	b.drainAt = time.Now()
	for c := range b.conns {
		c.RecheckLimits()
	}
	other := "0000000000000002"
	crossing.write(message("INVITE", other, headers))
	b.serverLock().Unlock()
	b.expectEvent("arrive " + other)
	if _, err := idle.Next(); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
	}
	fresh := b.dial()
	fresh.write(message("INVITE", "0000000000000003", headers))
	b.expectEvent("arrive 0000000000000003")
	// An established call keeps its connection: without a new one, its release can be sent on no other.
	b.Answer(id, exchange.FinalAnswer{Kind: exchange.Established})
	busy.expectMessage(200, "", "Call-ID", id)
	if !errors.Is(busy.readByte(), os.ErrDeadlineExceeded) {
		t.Error("a connection with an established call was closed")
	}
	busy.SetReadDeadline(time.Time{})
	b.Release(id, false)
	busy.expectMessage(0, "BYE", "Call-ID", id)
	for id, p := range map[string]peer{other: crossing, "0000000000000003": fresh} {
		b.Answer(id, exchange.FinalAnswer{Kind: exchange.Refused})
		p.expectMessage(503, "", "Call-ID", id)
	}
	for _, p := range []peer{busy, crossing, fresh} {
		if _, err := p.Next(); err != io.EOF {
			t.Errorf("without an open set-up: %v", err)
		}
	}
	b.Resume()
	kept := b.dial()
	kept.write(message("OPTIONS", "ping", ""))
	kept.expectMessage(200, "", "Call-ID", "ping")
	if !errors.Is(kept.readByte(), os.ErrDeadlineExceeded) {
		t.Error("a connection was closed after the drain")
	}
}

// Guards against a drain without end on a connection that always has an open set-up: after drainTimeout new ones are
// refused.
func TestBusyConnectionInDrain(t *testing.T) {
	b := newHarness(t, 10)
	p := b.dial()
	p.write(message("INVITE", id, headers))
	b.expectEvent("arrive " + id)
	b.Drain(-drainTimeout / 2)
	p.write(message("INVITE", "0000000000000002", headers))
	b.expectEvent("arrive 0000000000000002")
	b.Drain(-2 * drainTimeout)
	p.write(message("INVITE", "0000000000000003", headers))
	p.expectMessage(503, "", "Call-ID", "0000000000000003")
	for _, id := range []string{id, "0000000000000002"} {
		b.Answer(id, exchange.FinalAnswer{Kind: exchange.Refused})
		p.expectMessage(503, "", "Call-ID", id)
	}
	if _, err := p.Next(); err != io.EOF {
		t.Errorf("after the last answer: %v", err)
	}
}

// In a drain, a connection is closed as soon as its last set-up is answered, not only when its reader next checks.
func TestDrainedConnectionEndsWithLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, core := newServer(10)
		ours, theirs := net.Pipe()
		c := newConn(ours, s)
		s.conns[c] = true
		done := make(chan bool)
		go func() { s.serve(t.Context(), c); close(done) }()
		go io.Copy(io.Discard, theirs)
		io.WriteString(theirs, message("INVITE", id, headers))
		<-core.events
		s.Drain(0)
		synctest.Wait()
		s.Answer(id, exchange.FinalAnswer{Kind: exchange.Refused})
		synctest.Wait()
		s.mu.Lock()
		if !c.ending {
			t.Error("kept open after its last answer")
		}
		s.mu.Unlock()
		<-done
	})
}
