package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
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
	b.awaitConns(0, 0)
	b.Release(id, true)
	b.Release("0000000000000009", true) // of a call that was set up before this process
	silent := b.dial()
	b.awaitConns(1, 0)
	silent.expectNothing("a silent client")
	before(b.Server)
	next := b.dial()
	next.write(message("INVITE", secondID, headers))
	next.expectRelease(id)
	next.expectRelease("0000000000000009")
}

// Guards against a lost release: it was forgotten once it was queued, and the connection ended before its caller had
// read it. Once it is confirmed, it is not sent again.
func TestUnconfirmedReleaseIsSentAgain(t *testing.T) {
	b := newHarness(t, 10)
	first, second := b.dial(), b.dial()
	b.establish(first, id)
	b.Release(id, false)
	first.expectRelease(id)
	first.Conn.(*net.TCPConn).SetLinger(0) // a reset
	first.Close()
	b.awaitConns(1, 0)
	second.write(message("INVITE", secondID, headers))
	second.expectRelease(id)
	second.write(byeResponse(id, 200))
	second.Close()
	b.awaitConns(0, 0)
	third := b.dial()
	third.write(message("INVITE", "0000000000000003", headers))
	third.expectNothing("a caller whose release was confirmed")
}

// Guards against a late release of an earlier call, which would end a new one with the same id.
func TestNoReleaseOfEarlierCall(t *testing.T) {
	b := newHarness(t, 10)
	first, second := b.dial(), b.dial()
	b.establish(first, id)
	b.Release(id, false)
	first.expectRelease(id)
	b.establish(second, id)
	first.Conn.(*net.TCPConn).SetLinger(0) // a reset
	first.Close()
	b.awaitConns(1, 0)
	second.expectNothing("the new call's connection")
}

func byeResponse(id string, status int) string {
	return string(sip.AppendBody(append(sip.AppendStatus(nil, status), "Call-ID: "+id+"\r\nCSeq: 2 BYE\r\n"...), nil))
}

// pipePeer is a peer on a simulated clock: what it receives, and a way to send.
type pipePeer struct {
	net.Conn
	received chan string // methods and ids of requests
}

// connectPipe serves a connection from a host over a pipe. The peer sets a call up over it.
func connectPipe(t *testing.T, ctx context.Context, s *Server, core *coreStub, host, id string) *pipePeer {
	t.Helper()
	ours, theirs := net.Pipe()
	c, p := newConn(ours, s), &pipePeer{theirs, make(chan string, 100)}
	c.host = host
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	go s.serve(ctx, c)
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
	p.Write([]byte(message("INVITE", id, headers)))
	if got := <-core.events; got != "arrive "+id {
		t.Fatalf("got %s", got)
	}
	s.Answer(id, exchange.FinalAnswer{Kind: exchange.Established})
	synctest.Wait()
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

func unconfirmed(s *Server) int {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.releases.len()
}

// Guards against a lost release: a peer that did not know the call, or that had fallen silent, was the only one to be
// told. Other callers of the host come first, then those of other hosts.
func TestUnconfirmedReleaseTriesOtherConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s, core := newServer(10)
		elsewhere := connectPipe(t, ctx, s, core, "10.0.0.2", "000000000000000a")
		silent := connectPipe(t, ctx, s, core, "10.0.0.1", "000000000000000b")
		time.Sleep(time.Millisecond)
		stranger := connectPipe(t, ctx, s, core, "10.0.0.1", "000000000000000c")
		own := connectPipe(t, ctx, s, core, "10.0.0.1", id)
		own.Close()
		synctest.Wait()
		s.Release(id, false)
		bye := "BYE " + id + ";"
		if got := stranger.take(); got != bye {
			t.Errorf("the last caller of the host received %q", got)
		}
		stranger.Write([]byte(byeResponse(id, 481)))
		if got := silent.take(); got != bye {
			t.Errorf("after a 481 the other caller of the host received %q", got)
		}
		time.Sleep(confirmTimeout - time.Millisecond)
		if got := elsewhere.take(); got != "" {
			t.Errorf("before the timeout a caller of another host received %q", got)
		}
		time.Sleep(releaseRetryInterval + time.Millisecond)
		if got := elsewhere.take(); got != bye {
			t.Errorf("after the timeout a caller of another host received %q", got)
		}
		elsewhere.Write([]byte(byeResponse(id, 200)))
		time.Sleep(releaseTimeout)
		if got := strings.Join([]string{elsewhere.take(), silent.take(), stranger.take()}, ""); got != "" || unconfirmed(s) != 0 {
			t.Errorf("after it was confirmed: received %q, %d kept", got, unconfirmed(s))
		}
	})
}

// Guards against a lost release: the caller's host may not come back, and callers may share a front of several hosts.
func TestReleaseGoesToOtherHostsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s, core := newServer(10)
		elsewhere := connectPipe(t, ctx, s, core, "10.0.0.2", "000000000000000a")
		own := connectPipe(t, ctx, s, core, "10.0.0.1", id)
		own.Close()
		synctest.Wait()
		s.Release(id, false)
		time.Sleep(otherHostDelay - time.Millisecond)
		if got := elsewhere.take(); got != "" {
			t.Errorf("at once a caller of another host received %q", got)
		}
		time.Sleep(releaseRetryInterval + time.Millisecond)
		if got := elsewhere.take(); got != "BYE "+id+";" {
			t.Errorf("after %v a caller of another host received %q", otherHostDelay, got)
		}
	})
}

// Guards against a lost release on a connection that no longer carries anything. Callers need not confirm releases: only
// a peer that has confirmed another one counts as silent.
func TestSilentOwnConnection(t *testing.T) {
	for _, confirms := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s, core := newServer(10)
			own := connectPipe(t, ctx, s, core, "10.0.0.1", id)
			own.Write([]byte(message("INVITE", secondID, headers)))
			<-core.events
			s.Answer(secondID, exchange.FinalAnswer{Kind: exchange.Established})
			if s.Release(id, false); confirms {
				own.Write([]byte(byeResponse(id, 200)))
			}
			other := connectPipe(t, ctx, s, core, "10.0.0.1", "000000000000000a")
			s.Release(secondID, false)
			time.Sleep(confirmTimeout + releaseRetryInterval)
			if got := other.take(); (got == "BYE "+secondID+";") != confirms || !confirms && got != "" {
				t.Errorf("with a peer that confirms releases %v, another connection received %q", confirms, got)
			}
			if got := own.take(); got != "BYE "+id+";BYE "+secondID+";" {
				t.Errorf("the calls' connection received %q", got)
			}
			time.Sleep(releaseTimeout + releaseRetryInterval)
			if unconfirmed(s) != 0 {
				t.Errorf("%d releases kept after the timeout", unconfirmed(s))
			}
		})
	}
}

// Guards against endless growth: callers that never confirm, and releases that no caller comes for.
func TestReleasesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newServer(10)
		for k := range 2 * maxUnconfirmedReleases {
			s.Release(fmt.Sprintf("%016x", k), false)
		}
		if got := unconfirmed(s); got != maxUnconfirmedReleases {
			t.Errorf("%d releases kept, want %d", got, maxUnconfirmedReleases)
		}
		time.Sleep(releaseTimeout + releaseRetryInterval)
		if got := unconfirmed(s); got != 0 {
			t.Errorf("%d releases kept after the timeout", got)
		}
	})
}
