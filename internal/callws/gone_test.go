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

// departures are the ways in which a client leaves its call.
var departures = map[string]func(b *bed, ws *websocket.Conn, raw net.Conn){
	"close":      func(_ *bed, _ *websocket.Conn, raw net.Conn) { raw.Close() },
	"reset":      func(_ *bed, _ *websocket.Conn, raw net.Conn) { raw.(*net.TCPConn).SetLinger(0); raw.Close() },
	"half-close": func(_ *bed, _ *websocket.Conn, raw net.Conn) { raw.(*net.TCPConn).CloseWrite() },
	closeFrame: func(_ *bed, _ *websocket.Conn, raw net.Conn) {
		raw.Write([]byte{0x88, 0x82, 0, 0, 0, 0, 0x03, 0xe8}) // by hand: the library waits for the answer
	},
	cancel: func(b *bed, ws *websocket.Conn, _ net.Conn) { b.write(ws, `{"type":"cancel","id":"c1"}`) },
	stays:  func(*bed, *websocket.Conn, net.Conn) {},
}

const (
	closeFrame, cancel = "close frame", "cancel"
	// stays is the client that waits on: its call does get its attempt.
	stays = "stays"
	// gracePeriod is how long after its client has left an attempt may still begin.
	gracePeriod = 100 * time.Millisecond
	// patient is a set-up whose client waits for long.
	patient = `{"type":"call","id":"c1","class":"open-log","number":"17","patience_ms":8000}`
)

// withCore is a front over real connections before a real core that the test keeps busy.
func withCore(t *testing.T) (*bed, *corecase.Core) {
	c := corecase.New(t)
	b := &bed{t: t, Front: New(Options{Core: c, Log: netcase.DiscardLogger(), Ready: func() bool { return true }, MaxConnections: 10,
		Callers: map[string]string{"station-7": token},
		Names:   exchange.Names{Classes: []exchange.Class{{Name: "open-log", Deadline: 9 * time.Second}}}})}
	b.resume = time.Hour // the client may come back for as long as a test takes
	b.addr = netcase.Serve(t, b.Serve)
	return b, c
}

// dialRaw opens a socket and gives the connection beneath it too.
func (b *bed) dialRaw() (ws *websocket.Conn, raw net.Conn) {
	b.t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (c net.Conn, err error) {
		raw, err = new(net.Dialer).DialContext(ctx, network, addr)
		return raw, err
	}}}
	ws, _, err := websocket.Dial(b.t.Context(), "ws://"+b.addr+"/v1/calls", &websocket.DialOptions{HTTPClient: client,
		Subprotocols: []string{protocol}, HTTPHeader: http.Header{"Authorization": {"Bearer " + token}}})
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { ws.CloseNow() })
	return ws, raw
}

// A client leaves while the core is busy with other work and an attempt of its call falls due. Its leaving waits in the
// core's inbox, behind the alarm; or in the kernel, as the reader waits itself. The attempt began all the same, however
// long ago the client had left.
func TestNoAttemptAfterTheClientHasGone(t *testing.T) {
	for _, state := range corecase.AllStates {
		for name, leave := range departures {
			for _, unread := range []bool{false, true} {
				t.Run(strings.Join([]string{string(state), name, map[bool]string{false: "read", true: "unread"}[unread]}, ", "), func(t *testing.T) {
					t.Parallel()
					b, core := withCore(t)
					ws, raw := b.dialRaw()
					core.Enter(state, func() { b.write(ws, patient) })
					free := core.Block()
					if state == corecase.FirstAttempt {
						b.write(ws, patient)
						corecase.WaitUntil(t, func() bool { return core.InboxUsed() > 0 })
					}
					if unread { // one fills the inbox, the next has the reader wait for room there
						for _, other := range []string{"c2", "c3"} {
							b.write(ws, strings.Replace(patient, "c1", other, 1))
						}
						corecase.WaitUntil(t, func() bool { return core.InboxUsed() >= 1 && b.Presence(key) == exchange.InputPending })
					}
					leave(b, ws, raw)
					if name == stays {
						free()
						corecase.WaitUntil(t, func() bool { return core.AttemptCount(key) == 1 })
						return
					}
					want := exchange.Gone
					if unread && (name == cancel || name == closeFrame) {
						want = exchange.InputPending
					}
					corecase.WaitUntil(t, func() bool { return b.Presence(key) == want && netcase.AllAcknowledged(t, raw) })
					left := time.Now()
					corecase.WaitUntil(t, func() bool { return time.Since(left) > gracePeriod })
					free()
					corecase.WaitUntil(t, func() bool { return b.Presence(key) == exchange.Gone })
					core.Settle()
					if n := core.AttemptCount(key); n > 0 {
						t.Errorf("%d attempts", n)
					}
				})
			}
		}
	}
}

// A call that was sent again over another socket belongs to that one: the first may go, and with the second the client
// has gone, also where the core hears of the close before it hears of the joining.
func TestOneOfTwoSocketsGoes(t *testing.T) {
	for _, tc := range []struct {
		goes string
		want int
	}{{"the first", 1}, {"the second", 0}} {
		t.Run(tc.goes, func(t *testing.T) {
			b, core := withCore(t)
			first, firstRaw := b.dialRaw()
			second, secondRaw := b.dialRaw()
			core.Enter(corecase.ReleaseWait, func() { b.write(first, patient) })
			owner := func() *socket { _, s := b.waiting(key); return s }
			old := owner()
			free := core.Block()
			b.write(second, patient)
			corecase.WaitUntil(t, func() bool { return owner() != old })
			joined := owner()
			if tc.want == 0 {
				secondRaw.Close()
				corecase.WaitUntil(t, func() bool { return b.Presence(key) == exchange.Gone })
			} else {
				firstRaw.Close()
				corecase.WaitUntil(t, func() bool { return b.openSockets() == 1 })
				if owner() != joined {
					t.Error("the call does not belong to the socket that joined it")
				}
			}
			free()
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
