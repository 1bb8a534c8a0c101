package caller

import (
	"net"
	"strings"
	"testing"
	"time"

	"masthill/internal/exchange"
	"masthill/internal/netcase"
	"masthill/internal/netcase/corecase"
)

// departures are the ways in which a client leaves its set-up.
var departures = map[string]func(p peer){
	"close":        func(p peer) { p.Close() },
	"reset":        func(p peer) { p.Conn.(*net.TCPConn).SetLinger(0); p.Close() },
	"half-close":   func(p peer) { p.Conn.(*net.TCPConn).CloseWrite() },
	"cancel":       func(p peer) { p.write(message("CANCEL", id, "")) },
	staysConnected: func(p peer) {},
}

// gracePeriod is how long after its client has left an attempt may still start.
const gracePeriod = 100 * time.Millisecond

// staysConnected is the client that does not leave; its call does get an attempt.
const staysConnected = "stays"

// newCoreHarness returns a server with real connections in front of a real core, which the test can keep busy.
func newCoreHarness(t *testing.T) (*harness, *corecase.Core) {
	c := corecase.New(t)
	b := &harness{t: t, Server: New(Options{Core: c, Log: netcase.DiscardLogger(), Ready: func() bool { return true }, MaxConnections: 10,
		Names: exchange.Names{Classes: []exchange.Class{{Name: "open-log", Deadline: 9 * time.Second}}}})}
	b.addr = netcase.Serve(t, b.Serve)
	return b, c
}

// Guards against attempts for clients that have gone: a client leaves while the core is busy and an attempt of its call
// becomes due. The news waits in the core's inbox behind the timer, or unread in the kernel while the reader itself
// waits. The attempt was sent all the same, however long ago the client had left.
func TestNoAttemptAfterClientHasGone(t *testing.T) {
	const patient = "Subject: open-log\r\nX-Patience: 8000\r\n"
	for _, state := range corecase.AllStates {
		for name, leave := range departures {
			for _, unread := range []bool{false, true} {
				t.Run(strings.Join([]string{string(state), name, map[bool]string{false: "read", true: "unread"}[unread]}, ", "), func(t *testing.T) {
					t.Parallel()
					b, core := newCoreHarness(t)
					p := b.dial()
					setUp := func() { p.write(message("INVITE", id, patient)) }
					core.Enter(state, setUp)
					free := core.Block()
					if state == corecase.FirstAttempt {
						setUp()
						corecase.WaitUntil(t, func() bool { return core.InboxUsed() > 0 })
					}
					if unread { // the first fills the inbox, the second makes the reader wait for space
						for _, other := range []string{"0000000000000001", "0000000000000002"} {
							p.write(message("INVITE", other, patient))
						}
						corecase.WaitUntil(t, func() bool { return core.InboxUsed() >= 1 && b.Presence(id) == exchange.InputPending })
					}
					leave(p)
					if name == staysConnected {
						free()
						corecase.WaitUntil(t, func() bool { return core.AttemptCount(id) == 1 })
						return
					}
					want := exchange.Gone
					if unread && name == "cancel" {
						want = exchange.InputPending
					}
					corecase.WaitUntil(t, func() bool { return b.Presence(id) == want && netcase.AllAcknowledged(t, p.Conn) })
					left := time.Now()
					corecase.WaitUntil(t, func() bool { return time.Since(left) > gracePeriod })
					free()
					corecase.WaitUntil(t, func() bool { return b.Presence(id) == exchange.Gone })
					core.Settle()
					if n := core.AttemptCount(id); n > 0 {
						t.Errorf("%d attempts after the client left", n)
					}
				})
			}
		}
	}
}
