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
	"close":      func(p peer) { p.Close() },
	"reset":      func(p peer) { p.Conn.(*net.TCPConn).SetLinger(0); p.Close() },
	"half-close": func(p peer) { p.Conn.(*net.TCPConn).CloseWrite() },
	"cancel":     func(p peer) { p.write(message("CANCEL", id, "")) },
	stays:        func(p peer) {},
}

// gracePeriod is how long after its client has left an attempt may still begin.
const gracePeriod = 100 * time.Millisecond

// stays is the client that waits on: its call does get its attempt.
const stays = "stays"

// withCore is a front over real connections before a real core that the test keeps busy.
func withCore(t *testing.T) (*bed, *corecase.Core) {
	c := corecase.New(t)
	b := &bed{t: t, Server: New(Options{Core: c, Log: netcase.Quiet(), Ready: func() bool { return true }, MaxConnections: 10,
		Names: exchange.Names{Classes: []exchange.Class{{Name: "open-log", Deadline: 9 * time.Second}}}})}
	b.addr = netcase.Serve(t, b.Serve)
	return b, c
}

// A client leaves while the core is busy with other work and an attempt of its call falls due. Its leaving waits in the
// core's inbox, behind the alarm; or in the kernel, as the reader waits itself. The attempt began all the same, however
// long ago the client had left.
func TestNoAttemptAfterTheClientHasGone(t *testing.T) {
	const patient = "Subject: open-log\r\nX-Patience: 8000\r\n"
	for _, state := range corecase.States {
		for name, leave := range departures {
			for _, unread := range []bool{false, true} {
				t.Run(strings.Join([]string{string(state), name, map[bool]string{false: "read", true: "unread"}[unread]}, ", "), func(t *testing.T) {
					t.Parallel()
					b, core := withCore(t)
					p := b.dial()
					setUp := func() { p.write(message("INVITE", id, patient)) }
					core.Enter(state, setUp)
					free := core.Busy()
					if state == corecase.First {
						setUp()
						corecase.Until(t, func() bool { return core.InboxUsed() > 0 })
					}
					if unread { // one fills the inbox, the next has the reader wait for room there
						for _, other := range []string{"0000000000000001", "0000000000000002"} {
							p.write(message("INVITE", other, patient))
						}
						corecase.Until(t, func() bool { return core.InboxUsed() >= 1 && b.Presence(id) == exchange.InputPending })
					}
					leave(p)
					if name == stays {
						free()
						corecase.Until(t, func() bool { return core.Invited(id) == 1 })
						return
					}
					want := exchange.Gone
					if unread && name == "cancel" {
						want = exchange.InputPending
					}
					corecase.Until(t, func() bool { return b.Presence(id) == want && netcase.Arrived(t, p.Conn) })
					left := time.Now()
					corecase.Until(t, func() bool { return time.Since(left) > gracePeriod })
					free()
					corecase.Until(t, func() bool { return b.Presence(id) == exchange.Gone })
					core.Settle()
					if n := core.Invited(id); n > 0 {
						t.Errorf("%d attempts", n)
					}
				})
			}
		}
	}
}
