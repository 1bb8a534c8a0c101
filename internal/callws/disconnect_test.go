package callws

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"masthill/internal/exchange"
	"masthill/internal/netcase"
	"masthill/internal/netcase/corecase"
)

// disconnects are the ways in which a client gives up its call, by name.
var disconnects = map[string]func(f *fixture, ws *websocket.Conn, raw net.Conn){
	"close":      func(_ *fixture, _ *websocket.Conn, raw net.Conn) { raw.Close() },
	"reset":      func(_ *fixture, _ *websocket.Conn, raw net.Conn) { raw.(*net.TCPConn).SetLinger(0); raw.Close() },
	"half-close": func(_ *fixture, _ *websocket.Conn, raw net.Conn) { raw.(*net.TCPConn).CloseWrite() },
	closeFrame: func(_ *fixture, _ *websocket.Conn, raw net.Conn) {
		raw.Write([]byte{0x88, 0x82, 0, 0, 0, 0, 0x03, 0xe8}) // written directly: the library would wait for the answer
	},
	cancelRequest:  func(f *fixture, ws *websocket.Conn, _ net.Conn) { f.write(ws, `{"type":"cancel","id":"c1"}`) },
	staysConnected: func(*fixture, *websocket.Conn, net.Conn) {},
}

const (
	closeFrame, cancelRequest = "close frame", "cancel"
	// staysConnected is the client that goes on waiting: its call does get its attempt.
	staysConnected = "stays"
	// gracePeriod is how long after its client has disconnected an attempt may still begin.
	gracePeriod = 100 * time.Millisecond
	// patientCall is a set-up whose client waits for 8 s.
	patientCall = `{"type":"call","id":"c1","class":"open-log","number":"17","patience_ms":8000}`
)

// newCoreFixture returns a front with real connections and a real exchange that the test can block.
func newCoreFixture(t *testing.T) (*fixture, *corecase.Core) {
	c := corecase.New(t)
	f := &fixture{t: t, Front: New(Options{Core: c, Log: netcase.DiscardLogger(), Ready: func() bool { return true }, MaxConnections: 10,
		Callers: map[string]string{"station-7": token},
		Names:   exchange.Names{Classes: []exchange.Class{{Name: "open-log", Deadline: 9 * time.Second}}}})}
	f.resume = time.Hour // the client may come back for as long as a test takes
	f.addr = netcase.Serve(t, f.Serve)
	return f, c
}

// dialRaw opens a socket and returns the underlying connection too.
func (f *fixture) dialRaw() (ws *websocket.Conn, raw net.Conn) {
	f.t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (c net.Conn, err error) {
		raw, err = new(net.Dialer).DialContext(ctx, network, addr)
		return raw, err
	}}}
	ws, _, err := websocket.Dial(f.t.Context(), "ws://"+f.addr+"/v1/calls", &websocket.DialOptions{HTTPClient: client,
		Subprotocols: []string{protocol}, HTTPHeader: http.Header{"Authorization": {"Bearer " + token}}})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { ws.CloseNow() })
	return ws, raw
}

// A client disconnects while the exchange is busy with other work and an attempt of its call falls due. The disconnect
// waits in the inbox of the exchange, behind the timer, or unread in the kernel, as the reader waits too. The attempt
// was started all the same, however long ago the client had disconnected.
func TestNoAttemptAfterClientDisconnects(t *testing.T) {
	for _, state := range corecase.AllStates {
		for name, disconnect := range disconnects {
			for _, unread := range []bool{false, true} {
				t.Run(strings.Join([]string{string(state), name, map[bool]string{false: "read", true: "unread"}[unread]}, ", "), func(t *testing.T) {
					t.Parallel()
					f, core := newCoreFixture(t)
					ws, raw := f.dialRaw()
					core.Enter(state, func() { f.write(ws, patientCall) })
					unblock := core.Block()
					if state == corecase.FirstAttempt {
						f.write(ws, patientCall)
						corecase.WaitUntil(t, func() bool { return core.InboxUsed() > 0 })
					}
					if unread { // the first call fills the inbox, the second has the reader wait for room in it
						for _, other := range []string{"c2", "c3"} {
							f.write(ws, strings.Replace(patientCall, "c1", other, 1))
						}
						corecase.WaitUntil(t, func() bool { return core.InboxUsed() >= 1 && f.Presence(key) == exchange.InputPending })
					}
					disconnect(f, ws, raw)
					if name == staysConnected {
						unblock()
						corecase.WaitUntil(t, func() bool { return core.AttemptCount(key) == 1 })
						return
					}
					want := exchange.Gone
					if unread && (name == cancelRequest || name == closeFrame) {
						want = exchange.InputPending
					}
					corecase.WaitUntil(t, func() bool { return f.Presence(key) == want && netcase.AllAcknowledged(t, raw) })
					disconnectedAt := time.Now()
					corecase.WaitUntil(t, func() bool { return time.Since(disconnectedAt) > gracePeriod })
					unblock()
					corecase.WaitUntil(t, func() bool { return f.Presence(key) == exchange.Gone })
					core.Settle()
					if n := core.AttemptCount(key); n > 0 {
						t.Errorf("%d attempts", n)
					}
				})
			}
		}
	}
}

// A call that is sent again on another socket belongs to that one: if the first socket closes, the call goes on; if the
// second closes, the client has gone, even if the exchange learns of the close before it learns of the second set-up.
func TestCallFollowsItsLastSocket(t *testing.T) {
	for _, tc := range []struct {
		goes string
		want int
	}{{"the first", 1}, {"the second", 0}} {
		t.Run(tc.goes, func(t *testing.T) {
			f, core := newCoreFixture(t)
			first, firstRaw := f.dialRaw()
			second, secondRaw := f.dialRaw()
			core.Enter(corecase.ReleaseWait, func() { f.write(first, patientCall) })
			owner := func() *socket { _, s := f.lookup(key); return s }
			previous := owner()
			unblock := core.Block()
			f.write(second, patientCall)
			corecase.WaitUntil(t, func() bool { return owner() != previous })
			joined := owner()
			if tc.want == 0 {
				secondRaw.Close()
				corecase.WaitUntil(t, func() bool { return f.Presence(key) == exchange.Gone })
			} else {
				firstRaw.Close()
				corecase.WaitUntil(t, func() bool { return f.openSockets() == 1 })
				if owner() != joined {
					t.Error("the call does not belong to the socket that joined it")
				}
			}
			unblock()
			if tc.want > 0 {
				corecase.WaitUntil(t, func() bool { return core.AttemptCount(key) > 0 })
			}
			core.Settle()
			if n := core.AttemptCount(key); n != tc.want {
				t.Errorf("%d attempts, want %d", n, tc.want)
			}
		})
	}
}
