package caller

import (
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"masthill/internal/exchange"
	"masthill/internal/sip"
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

// awaitEnd waits until the server has noticed the end of a peer's connection.
func (b *harness) awaitEnd(p peer) {
	for open := true; open; time.Sleep(time.Millisecond) {
		open = false
		b.serverLock().Lock()
		for c := range b.conns {
			open = open || c.Remote() == p.LocalAddr().String()
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

// expectNoRelease checks that the peer receives no release for 20 ms.
func (p peer) expectNoRelease(what string) {
	p.t.Helper()
	p.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if m, err := p.Next(); err == nil && string(m.Method) == "BYE" {
		p.t.Errorf("%s received the release of %s", what, m.Get("Call-ID"))
	}
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
	first.Close()
	b.awaitEnd(first)
	b.Release(id, false)
	second.expectRelease(id)
	for what, p := range map[string]peer{"a silent client": silent, "a client with half a request": half, "a prober": prober} {
		p.expectNoRelease(what)
	}
}

// Guards against the same loss while no connection of the caller is open: the release went to the next connection from
// its host. It waits for the next one that brings a call, also where that call is refused as the instance ends.
func TestReleaseWaitsForCaller(t *testing.T) {
	t.Run("ready", func(t *testing.T) { testReleaseWaitsForCaller(t, func(*Server) {}) })
	t.Run("ending", func(t *testing.T) { testReleaseWaitsForCaller(t, (*Server).Refuse) })
}

func testReleaseWaitsForCaller(t *testing.T, before func(*Server)) {
	b := newHarness(t, 10)
	p := b.dial()
	b.establish(p, id)
	p.Close()
	b.awaitEnd(p)
	b.Release(id, true)
	b.Release("0000000000000009", true) // of a call that was set up before this process
	silent := b.dial()
	time.Sleep(2 * releaseRetryInterval) // the releases have been tried again
	silent.expectNoRelease("a silent client")
	before(b.Server)
	next := b.dial()
	next.write(message("INVITE", secondID, headers))
	next.expectRelease(id)
	next.expectRelease("0000000000000009")
}

// Guards against releases that reach nobody: after a restart, a caller that only ended calls, and set none up, was told of
// no release, and its connection was closed after 2 s. Known callers come before it, and a client without calls gets none.
func TestReleaseReachesCallerThatOnlyEndsCalls(t *testing.T) {
	onSimulatedClock(t, func(b *pipeHarness) {
		const earlier, another, third = "0000000000000009", "000000000000000a", "000000000000000b"
		b.Release(earlier, false) // of a call that was set up before this process
		ending := b.open("10.0.0.1")
		ending.Write([]byte(message("OPTIONS", "ping", "")))
		if got := ending.take(); got != "" {
			t.Errorf("before it ended a call the client received %q", got)
		}
		ending.Write([]byte(message("BYE", secondID, "")))
		<-b.core.events
		if got := ending.take(); got != "BYE "+earlier+";" {
			t.Errorf("after it ended a call the caller received %q", got)
		}
		ending.Write([]byte(byeResponse(earlier, 200)))
		time.Sleep(idleTimeout - time.Second)
		if b.Release(another, false); ending.take() != "BYE "+another+";" {
			t.Error("the caller did not receive the next release")
		}
		known := b.connect("10.0.0.2", id)
		if b.Release(third, false); known.take() != "BYE "+third+";" || ending.take() != "" {
			t.Error("a caller with a call of this process did not come first")
		}
	})
}

// resetUnconfirmed has a call released on a connection that is then reset without a confirmation.
func (b *harness) resetUnconfirmed(before func()) {
	b.t.Helper()
	p := b.dial()
	b.establish(p, id)
	b.Release(id, false)
	p.expectRelease(id)
	before()
	p.Conn.(*net.TCPConn).SetLinger(0)
	p.Close()
	b.awaitEnd(p)
}

// Guards against a lost release: it was forgotten once it was queued, and the connection ended before its caller had
// read it. Once it is confirmed, it is not sent again.
func TestUnconfirmedReleaseIsSentAgain(t *testing.T) {
	b := newHarness(t, 10)
	b.resetUnconfirmed(func() {})
	second := b.dial()
	second.write(message("INVITE", secondID, headers))
	second.expectRelease(id)
	second.write(byeResponse(id, 200))
	second.Close()
	b.awaitEnd(second)
	third := b.dial()
	third.write(message("INVITE", "0000000000000003", headers))
	third.expectNoRelease("a caller whose release was confirmed")
}

// Guards against a late release of an earlier call, which would end a new one with the same id.
func TestNoReleaseOfEarlierCall(t *testing.T) {
	b := newHarness(t, 10)
	var second peer
	b.resetUnconfirmed(func() {
		second = b.dial()
		b.establish(second, id)
	})
	second.expectNoRelease("the new call's connection")
}

func byeResponse(id string, status int) string {
	return string(sip.AppendBody(append(sip.AppendStatus(nil, status), "Call-ID: "+id+"\r\nCSeq: 2 BYE\r\n"...), nil))
}

// pipePeer is a peer on a simulated clock: what it receives, and a way to send.
type pipePeer struct {
	net.Conn
	received chan string // methods and ids of requests
}

// pipeHarness is a server on a simulated clock.
type pipeHarness struct {
	*Server
	core *coreStub
	t    *testing.T
}

// onSimulatedClock runs a test of a server on a simulated clock.
func onSimulatedClock(t *testing.T, run func(*pipeHarness)) {
	synctest.Test(t, func(t *testing.T) {
		b := &pipeHarness{t: t}
		b.Server, b.core = newServer(10)
		run(b)
	})
}

// connect is open for a peer that sets a call up over the connection.
func (b *pipeHarness) connect(host, id string) *pipePeer {
	b.t.Helper()
	p := b.open(host)
	p.Write([]byte(message("INVITE", id, headers)))
	if got := <-b.core.events; got != "arrive "+id {
		b.t.Fatalf("got %s", got)
	}
	b.Answer(id, exchange.FinalAnswer{Kind: exchange.Established})
	synctest.Wait()
	return p
}

// open serves a connection from a host over a pipe.
func (b *pipeHarness) open(host string) *pipePeer {
	b.t.Helper()
	ours, theirs := net.Pipe()
	b.t.Cleanup(func() { theirs.Close() })
	c, p := newConn(ours, b.Server), &pipePeer{theirs, make(chan string, 100)}
	c.host = host
	b.mu.Lock()
	b.conns[c] = true
	b.mu.Unlock()
	go b.serve(b.t.Context(), c)
	go func() {
		for r := sip.NewReader(theirs); ; {
			m, err := r.Next()
			if err != nil {
				return
			}
			if m.Status == 0 {
				p.received <- string(m.Method) + " " + string(m.Get("Call-ID"))
			}
		}
	}()
	return p
}

// take returns what the peer has received by now.
func (p *pipePeer) take() (all string) {
	synctest.Wait()
	for len(p.received) > 0 {
		all += <-p.received + ";"
	}
	return all
}

// kept returns the number of releases that the server keeps.
func (b *pipeHarness) kept() int {
	synctest.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.releases.len()
}

// Guards against a lost release: a peer that did not know the call, or that had fallen silent, was the only one to be
// told. Other callers of the host come first, then those of other hosts, as callers may share a front of several hosts.
func TestUnconfirmedReleaseTriesOtherConnections(t *testing.T) {
	onSimulatedClock(t, func(b *pipeHarness) {
		elsewhere := b.connect("10.0.0.2", "000000000000000a")
		own := b.connect("10.0.0.1", id)
		own.Close()
		synctest.Wait()
		b.Release(id, false)
		bye := "BYE " + id + ";"
		time.Sleep(otherHostDelay - time.Millisecond)
		if got := elsewhere.take(); got != "" {
			t.Errorf("at once a caller of another host received %q", got)
		}
		silent := b.connect("10.0.0.1", "000000000000000b")
		if got := silent.take(); got != bye {
			t.Errorf("the next caller of the host received %q", got)
		}
		time.Sleep(confirmTimeout - time.Millisecond)
		stranger := b.connect("10.0.0.1", "000000000000000c")
		if got := stranger.take() + elsewhere.take(); got != "" {
			t.Errorf("before the timeout others received %q", got)
		}
		time.Sleep(releaseRetryInterval)
		if got := stranger.take(); got != bye {
			t.Errorf("after the timeout the other caller of the host received %q", got)
		}
		stranger.Write([]byte(byeResponse(id, 481)))
		if got := elsewhere.take(); got != bye {
			t.Errorf("after a 481 a caller of another host received %q", got)
		}
		elsewhere.Write([]byte(byeResponse(id, 200)))
		time.Sleep(releaseTimeout)
		if got := elsewhere.take() + silent.take() + stranger.take(); got != "" || b.kept() != 0 {
			t.Errorf("after it was confirmed: received %q, %d kept", got, b.kept())
		}
	})
}

// Guards against a lost release: another caller of the host that ignored it and closed counted as having read it, and the
// attempts were used up by others, which did not know the call, before its own caller came back.
func TestReleaseOutlastsOtherCallers(t *testing.T) {
	onSimulatedClock(t, func(b *pipeHarness) {
		b.connect("10.0.0.1", id).Close()
		synctest.Wait()
		b.Release(id, false)
		ignoring := b.connect("10.0.0.1", secondID)
		time.Sleep(2 * releaseResendAge)
		ignoring.Close()
		for k := range 200 {
			other := b.connect("10.0.0.1", fmt.Sprintf("%016x", 0xa0+k))
			if got := other.take(); got != "BYE "+id+";" {
				t.Fatalf("caller %d of the host received %q", k, got)
			}
			other.Write([]byte(byeResponse(id, 481)))
			other.Close()
			time.Sleep(releaseTimeout / 400)
		}
	})
}

// Guards against a lost release: a caller of another host that confirms whatever it gets, at once or after a third one has been
// tried, ended the search for the call's own host, which came back a second later.
func TestConfirmationFromAnotherHostEndsNoSearch(t *testing.T) {
	for _, late := range []bool{false, true} {
		onSimulatedClock(t, func(b *pipeHarness) {
			bye := "BYE " + id + ";"
			b.connect("10.0.0.1", id).Close()
			third := b.connect("10.0.0.3", "0000000000000003")
			time.Sleep(time.Millisecond) // the last used connection comes first
			elsewhere := b.connect("10.0.0.2", secondID)
			b.Release(id, false)
			if time.Sleep(otherHostDelay + releaseRetryInterval); late {
				time.Sleep(confirmTimeout + releaseRetryInterval)
			}
			if got := elsewhere.take(); got != bye {
				b.t.Fatalf("late %v: the caller of another host received %q", late, got)
			}
			if got := third.take(); (got == bye) != late {
				b.t.Fatalf("late %v: the caller of a third host received %q", late, got)
			}
			elsewhere.Write([]byte(byeResponse(id, 200)))
			time.Sleep(time.Second)
			if got := elsewhere.take() + third.take(); got != "" {
				b.t.Errorf("late %v: after the confirmation callers of other hosts received %q", late, got)
			}
			own := b.connect("10.0.0.1", "0000000000000004")
			if got := own.take(); got != bye {
				b.t.Errorf("late %v: the caller that came back received %q", late, got)
			}
			if own.Write([]byte(byeResponse(id, 200))); b.kept() != 0 {
				b.t.Errorf("late %v: %d kept after the caller's confirmation", late, b.kept())
			}
		})
	}
}

// Guards against a lost release on a connection that no longer carries anything. Callers need not confirm releases: only
// where a caller of the host has confirmed another one, silence counts.
func TestSilentOwnConnection(t *testing.T) {
	for _, confirms := range []bool{false, true} {
		onSimulatedClock(t, func(b *pipeHarness) {
			own, earlier := b.connect("10.0.0.1", secondID), b.connect("10.0.0.1", id)
			if b.Release(id, false); confirms {
				earlier.Write([]byte(byeResponse(id, 200)))
			}
			earlier.take()
			b.Release(secondID, false)
			time.Sleep(confirmTimeout + releaseRetryInterval)
			if got := earlier.take(); (got == "BYE "+secondID+";") != confirms || !confirms && got != "" {
				t.Errorf("with a host that confirms releases %v, another connection received %q", confirms, got)
			}
			if got := own.take(); got != "BYE "+secondID+";" {
				t.Errorf("the call's connection received %q", got)
			}
			if time.Sleep(releaseTimeout + releaseRetryInterval); b.kept() != 0 {
				t.Errorf("%d releases kept after the timeout", b.kept())
			}
		})
	}
}

// Guards against endless growth by releases that no caller comes for.
func TestReleasesAreBounded(t *testing.T) {
	onSimulatedClock(t, func(b *pipeHarness) {
		for k := range 2 * maxUnconfirmedReleases {
			b.Release(fmt.Sprintf("%016x", k), false)
		}
		if got := b.kept(); got != maxUnconfirmedReleases {
			t.Errorf("%d releases kept, want %d", got, maxUnconfirmedReleases)
		}
		if time.Sleep(releaseTimeout + releaseRetryInterval); b.kept() != 0 {
			t.Errorf("%d releases kept after the timeout", b.kept())
		}
	})
}

// Guards against a lost release: it was sent on a connection that was being evicted, and never read.
func TestReleaseAvoidsEvictedConnection(t *testing.T) {
	b := newHarness(t, 1)
	p := b.dial()
	p.write(message("INVITE", id, headers))
	b.expectEvent("arrive " + id)
	b.Answer(id, exchange.FinalAnswer{Kind: exchange.Established})
	p.expectMessage(200, "", "Call-ID", id)
	q := b.dial()
	if _, err := p.Next(); err != io.EOF { // evicted; its peer has not closed yet
		t.Errorf("after the answer: %v", err)
	}
	b.Release(id, false)
	q.write(message("INVITE", "0000000000000002", headers))
	q.expectMessage(0, "BYE", "Call-ID", id)
}
