package callws

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"masthill/internal/exchange"
)

const released = `{"type":"released","id":"c1","cut":false}`

// establish sets the call c1 up over a socket.
func (f *fixture) establish(ws *websocket.Conn) {
	f.t.Helper()
	f.write(ws, setup)
	f.expect("submit " + key)
	f.Answer(key, exchange.FinalAnswer{Kind: exchange.Established})
	f.read(ws, `{"type":"stands","id":"c1"}`)
}

// readRelease reads the release of c1, and waits for it no longer than the protocol allows.
func (f *fixture) readRelease(ws *websocket.Conn) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 8*time.Second)
	defer cancel()
	if _, got, err := ws.Read(ctx); err != nil || string(got) != released {
		f.t.Errorf("read %s, %v, want the release", got, err)
	}
}

// unread returns the number of releases that are kept.
func (f *fixture) unread() int {
	f.Front.mu.Lock()
	defer f.Front.mu.Unlock()
	return len(f.releases)
}

// Guards against a lost release: it was queued for a socket that was being closed, behind the last that was written to it.
func TestReleaseAvoidsClosingSocket(t *testing.T) {
	f := newFixture(t, 10)
	ws := f.open()
	f.establish(ws)
	f.Front.mu.Lock()
	for s := range f.sockets {
		s.Close() // the caller does not read, so that the handshake takes closeTimeout
	}
	f.Front.mu.Unlock()
	time.Sleep(closeTimeout / 4)
	f.Release(key, false)
	f.readRelease(f.open())
}

// Guards against a lost release: it was forgotten once it was queued, while its socket had fallen silent or was reset
// before the caller had read it. Once it has been read, it is not sent again.
func TestUnreadReleaseIsSentAgain(t *testing.T) {
	for name, fail := range map[string]func(silent *websocket.Conn){
		"silent": func(*websocket.Conn) {},
		"reset":  func(silent *websocket.Conn) { silent.CloseNow() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 10)
			first, second := f.open(), f.open()
			f.establish(first)
			f.Release(key, false)
			fail(first) // it reads nothing any more, so that no ping is answered
			f.readRelease(second)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go second.Read(ctx) // answers pings
			for f.unread() > 0 {
				time.Sleep(time.Millisecond)
			}
			third := f.open()
			f.write(third, `{"type":"hangup","id":"c1"}`)
			f.read(third, `{"type":"error","id":"c1","code":481,"text":"no such call"}`)
		})
	}
}

// Guards against a late release of an earlier call, which would end a new one with the same id.
func TestNoReleaseOfEarlierCall(t *testing.T) {
	f := newFixture(t, 10)
	first := f.open()
	f.establish(first)
	f.Release(key, false)
	if n := f.unread(); n != 1 {
		t.Errorf("%d releases kept, want 1", n)
	}
	f.readRelease(first)
	f.write(first, setup)
	f.expect("submit " + key)
	if n := f.unread(); n != 0 {
		t.Errorf("%d releases kept, want none of a call that is set up again", n)
	}
}

// Guards against a lost release: in a drain, a caller whose call has lost its socket kept no other one.
func TestDrainKeepsSocketOfDetachedCall(t *testing.T) {
	f := newFixture(t, 10)
	first := f.open()
	f.establish(first)
	second := f.open()
	f.write(second, `{"type":"hangup","id":"c2"}`)
	f.read(second, `{"type":"error","id":"c2","code":481,"text":"no such call"}`)
	first.CloseNow()
	for f.openSockets() > 1 {
		time.Sleep(time.Millisecond)
	}
	f.Front.mu.Lock()
	for s := range f.sockets {
		s.hasCalled = true // no longer within the time for a first call
	}
	f.Front.mu.Unlock()
	f.Drain(0)
	time.Sleep(2 * sweepInterval)
	f.Release(key, false)
	f.readRelease(second)
}

// Guards against a lost release: one that waited for its caller when the process ended was forgotten. The next process sends
// it on the caller's next socket, once.
func TestWaitingReleaseIsHandedOver(t *testing.T) {
	var held []HeldRelease
	ending, next := newFixture(t, 10), newFixture(t, 10)
	ending.HandOver = func(waiting []HeldRelease) bool { held = waiting; return true }
	ws := ending.open()
	ending.establish(ws)
	ws.CloseNow()
	for ending.openSockets() > 0 {
		time.Sleep(time.Millisecond)
	}
	ending.Release(key, true)
	ending.Shutdown(t.Context())
	ending.HandOverReleases()
	next.AdoptReleases(held)
	next.AdoptReleases(held)
	ws = next.open()
	next.read(ws, `{"type":"released","id":"c1","cut":true}`)
	next.establish(ws)
}

// Guards against a lost release: a caller whose token was taken away lost its only socket although its call was established,
// and could not connect again to hear that the call was over.
func TestRevokedCallerIsToldOfRelease(t *testing.T) {
	f := newFixture(t, 10)
	ws := f.open()
	f.establish(ws)
	f.SetCallers(nil)
	f.write(ws, strings.Replace(setup, "c1", "c2", 1))
	f.read(ws, `{"type":"error","id":"c2","code":401,"text":"the token has changed"}`)
	time.Sleep(2 * sweepInterval)
	f.Release(key, false)
	f.read(ws, released)
	if _, _, err := ws.Read(t.Context()); websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("after the release: %v", err)
	}
}
