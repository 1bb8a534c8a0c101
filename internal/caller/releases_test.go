package caller

import (
	"errors"
	"os"
	"testing"
	"time"

	"masthill/internal/exchange"
)

const secondID = "0000000000000002"

// establish sets a call up.
func (b *harness) establish(p peer, id string) {
	b.t.Helper()
	p.write(message("INVITE", id, headers))
	b.expectEvent("arrive " + id)
	b.Answer(id, exchange.FinalAnswer{Kind: exchange.Established})
	p.expectMessage(200, "", "Call-ID", id)
}

// awaitConns waits until the server has that many connections, and with the given number of partly read messages.
func (b *harness) awaitConns(want, wantPartial int) {
	for all, partial := -1, -1; all != want || partial != wantPartial; time.Sleep(time.Millisecond) {
		b.serverLock().Lock()
		all, partial = len(b.conns), 0
		for c := range b.conns {
			if _, is := c.PartialMessage(); is {
				partial++
			}
		}
		b.serverLock().Unlock()
	}
}

// expectRelease reads the release of a call, and waits for it no longer than the protocol allows.
func (p peer) expectRelease(id string) {
	p.t.Helper()
	p.SetReadDeadline(time.Now().Add(8 * time.Second))
	p.expectMessage(0, "BYE", "Call-ID", id)
	p.SetReadDeadline(time.Time{})
}

// expectNothing checks that the peer receives nothing for 20 ms.
func (p peer) expectNothing(what string) {
	p.t.Helper()
	if err := p.readByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		p.t.Errorf("%s received a release, or its end: %v", what, err)
	}
	p.SetReadDeadline(time.Time{})
}

// Guards against releases that are lost to strangers: they went to the connection from the caller's host that was opened
// last, and so to clients that had sent part of a request, or none, while a connection of the caller was open.
func TestReleaseAvoidsClientsWithoutCalls(t *testing.T) {
	b := newHarness(t, 10)
	first, second := b.dial(), b.dial()
	b.establish(first, id)
	b.establish(second, secondID)
	silent, half, prober := b.dial(), b.dial(), b.dial()
	prober.write(message("OPTIONS", "ping", ""))
	prober.expectMessage(200, "", "Call-ID", "ping")
	half.write(message("INVITE", "0000000000000003", headers)[:60])
	b.awaitConns(5, 1)
	first.Close()
	b.awaitConns(4, 1)
	b.Release(id, false)
	second.expectRelease(id)
	for what, p := range map[string]peer{"a silent client": silent, "a client with half a request": half, "a prober": prober} {
		p.expectNothing(what)
	}
}

// Guards against the same loss while no connection of the caller is open: the release went to the next connection from
// its host. It waits for the next one that brings a call.
func TestReleaseWaitsForCaller(t *testing.T) {
	b := newHarness(t, 10)
	p := b.dial()
	b.establish(p, id)
	p.Close()
	b.awaitConns(0, 0)
	b.Release(id, true)
	b.Release("0000000000000009", true) // of a call that was set up before this process
	silent := b.dial()
	b.awaitConns(1, 0)
	silent.expectNothing("a silent client")
	next := b.dial()
	next.write(message("INVITE", secondID, headers))
	next.expectRelease(id)
	next.expectRelease("0000000000000009")
}
