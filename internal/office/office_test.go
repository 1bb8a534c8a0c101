package office

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"masthill/control"
	"masthill/internal/exchange"
	"masthill/internal/netcase"
	"masthill/internal/sip"
)

var fields = Fields{"spare", "total", "cpu", "waiting"}

// core records what the pool reports to the exchange, one line for each event.
type core struct{ events chan string }

func (c core) record(format string, a ...any) { c.events <- fmt.Sprintf(format, a...) }
func (c core) Accepted(s uint64, id string, n int, desc []byte) {
	c.record("accepted %s %d %s", id, n, desc)
}
func (c core) Ended(s uint64, id string, n int, e exchange.Result) {
	c.record("ended %s %d %d note %d wait %d %v", id, n, e.Outcome, e.Note, e.WaitMS, e.Report)
}
func (c core) Released(s uint64, id string, cut bool, r []float64) {
	c.record("released %s %v %v", id, cut, r)
}
func (c core) State(s uint64, r []float64) { c.record("state %v", r) }
func (c core) ServerLost(s uint64)         { c.record("lost") }

// testPool is a pool with one office that it reaches over pipes; connections delivers the office's ends.
type testPool struct {
	core
	*Pool
	connections chan net.Conn
	refuse      atomic.Bool           // connects are refused
	silent      atomic.Bool           // connects get no response
	reset       atomic.Bool           // connections that end do so with a reset
	listStale   atomic.Bool           // the server list is not up to date
	failure     atomic.Pointer[error] // the error of all connects; nil: none
}

func newTestPool(t *testing.T) *testPool {
	b := &testPool{core: core{make(chan string, 100)}, connections: make(chan net.Conn, 10)}
	dial := func(ctx context.Context, addr string) (Peer, error) {
		if b.silent.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if err := b.failure.Load(); err != nil {
			return nil, *err
		}
		if b.refuse.Load() {
			return nil, syscall.ECONNREFUSED
		}
		ours, theirs := net.Pipe()
		b.connections <- theirs
		return &sipPeer{Conn: sip.NewConn(resettable{ours, &b.reset}, limits), name: "n0", fields: fields}, nil
	}
	b.Pool = NewPool(Options{Core: b.core, Log: netcase.DiscardLogger(), ConnectTimeout: 500 * time.Millisecond,
		Dialers: map[string]Dial{"": dial}, ListLive: func() bool { return !b.listStale.Load() }})
	go b.Run(t.Context())
	synctest.Wait()
	b.UpdateList([]exchange.Office{{Entry: control.Entry{Server: 10}, Addr: "a:1"}}, true)
	return b
}

func (b *testPool) invite(n int) {
	b.Invite(exchange.Attempt{ID: "9b1f03aa5c7e2d41", Class: "open-log", Number: "17", Description: []byte("offer"), Index: n,
		Server: 10, Timeout: time.Second})
}

func expectEvent(t *testing.T, events chan string, want string) {
	t.Helper()
	if got := <-events; got != want {
		t.Errorf("reported %q, want %q", got, want)
	}
}

// readUntil reads messages at the office up to one of the given method, and returns that one.
func readUntil(t *testing.T, r *sip.Reader, method string) *sip.Message {
	t.Helper()
	for {
		m, err := r.Next()
		if err != nil {
			t.Fatalf("waiting for %s: %v", method, err)
		}
		if string(m.Method) == method {
			return m
		}
	}
}

const answerHeaders = "Call-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\n"

// An answer is matched to its attempt by the Call-ID and the method only, as offices choose the CSeq number of their
// answers freely. When it was matched by the CSeq number, answers to second attempts were never recognized, and each
// call accepted by one was released at once.
func TestAnswerToASecondAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		office := <-b.connections
		r := sip.NewReader(office)
		b.invite(1)
		m := readUntil(t, r, "INVITE")
		if string(m.User()) != "17" || string(m.Get("Subject")) != "open-log" || string(m.Body) != "offer" ||
			string(m.Get("X-Patience")) != "1000" {
			t.Errorf("set-up %+v", m)
		}
		io.WriteString(office, "SIP/2.0 200 OK\r\n"+answerHeaders+"Content-Length: 4\r\n\r\ndesc")
		expectEvent(t, b.events, "accepted 9b1f03aa5c7e2d41 1 desc")
		readUntil(t, r, "ACK")
	})
}

func TestAnswersToOutcomes(t *testing.T) {
	for _, tc := range []struct{ in, want string }{
		{"SIP/2.0 503 X\r\n" + answerHeaders + "X-Note: cpu_full\r\nX-Delay: 2300\r\nX-State: x0:12;util:0.5;zz:1\r\n",
			"ended 9b1f03aa5c7e2d41 0 2 note 3 wait 2300 [12 -1 0.5 -1]"},
		{"SIP/2.0 503 X\r\n" + answerHeaders + "X-Note: all_trunks_busy\r\n", "ended 9b1f03aa5c7e2d41 0 2 note 1 wait 0 []"},
		{"SIP/2.0 486 X\r\n" + answerHeaders + "X-Note: number_busy\r\n", "ended 9b1f03aa5c7e2d41 0 1 note 4 wait 0 []"},
		{"SIP/2.0 500 X\r\n" + answerHeaders, "ended 9b1f03aa5c7e2d41 0 1 note 0 wait 0 []"},
		{"SIP/2.0 480 X\r\n" + answerHeaders, "ended 9b1f03aa5c7e2d41 0 7 note 0 wait 0 []"},
		{"SIP/2.0 504 X\r\n" + answerHeaders, "ended 9b1f03aa5c7e2d41 0 5 note 0 wait 0 []"},
		{"BYE sip:1@net SIP/2.0\r\nCall-ID: 5\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=41\r\nX-State: x0:1\r\n",
			"released 5 true [1 -1 -1 -1]"},
		{"BYE sip:1@net SIP/2.0\r\nCall-ID: 5\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\n", "released 5 false []"},
		{"NOTIFY sip:1@net SIP/2.0\r\nX-State: x1:40;queue:NaN;x0:3\r\n", "state [3 40 -1 -1]"},
		{"SIP/2.0 200 OK\r\nCSeq: 1 INVITE\r\n", "ended 9b1f03aa5c7e2d41 0 5 note 0 wait 0 []"}, // unreadable: closed
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestPool(t)
			office := <-b.connections
			r := sip.NewReader(office)
			b.invite(0)
			readUntil(t, r, "INVITE")
			go io.Copy(io.Discard, office)
			io.WriteString(office, tc.in+"Content-Length: 0\r\n\r\n")
			expectEvent(t, b.events, tc.want)
		})
	}
}

// Guards against set-ups over 16 KiB, over which an office closes the connection with all other set-ups on it.
func TestLongSetUpIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		r := sip.NewReader(<-b.connections)
		b.Invite(exchange.Attempt{ID: "1", Class: "open-log", Number: "17", Description: make([]byte, sip.MaxMessage), Server: 10})
		expectEvent(t, b.events, "ended 1 0 7 note 0 wait 0 []")
		b.invite(0)
		readUntil(t, r, "INVITE")
	})
}

func TestConnectFailuresAreRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		(<-b.connections).Close()
		synctest.Wait()
		b.refuse.Store(true)
		time.Sleep(minRedialDelay) // the pool's own reconnect fails, and so does that of the attempt
		synctest.Wait()
		b.invite(0)
		expectEvent(t, b.events, "ended 9b1f03aa5c7e2d41 0 4 note 0 wait 0 []")
		expectEvent(t, b.events, "lost") // after some time of that, the server counts as dead
		b.Invite(exchange.Attempt{ID: "x", Server: 11})
		for event := range b.events { // the pool goes on connecting
			if event != "lost" {
				b.events <- event
				break
			}
		}
		expectEvent(t, b.events, "ended x 0 4 note 0 wait 0 []")
		// An attempt that is cancelled before the connect is never sent.
		b.refuse.Store(false)
		b.silent.Store(true)
		b.invite(1)
		b.Cancel(10, "9b1f03aa5c7e2d41", 1)
		b.silent.Store(false)
		office := <-b.connections
		b.Bye(10, "x", 0, true)
		if m, err := sip.NewReader(office).Next(); err != nil || string(m.Method) != "BYE" {
			t.Errorf("%+v, %v", m, err)
		}
	})
}

// A client may leave while its attempt waits for a connect, before the core has been told.
func TestClientLeavesDuringConnect(t *testing.T) {
	for _, tc := range []struct {
		name string
		seen []exchange.Presence // at each check; the last one is repeated
		want string              // the event reported; empty: the attempt is sent
	}{
		{"there", []exchange.Presence{exchange.Connected}, ""},
		{"gone", []exchange.Presence{exchange.Gone}, "ended 9b1f03aa5c7e2d41 0 4 note 0 wait 0 []"},
		{"input pending, then gone", []exchange.Presence{exchange.InputPending, exchange.InputPending, exchange.Gone},
			"ended 9b1f03aa5c7e2d41 0 4 note 0 wait 0 []"},
		{"input pending, then there", []exchange.Presence{exchange.InputPending, exchange.Connected}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestPool(t)
				b.reset.Store(true)
				(<-b.connections).Close()
				synctest.Wait()
				checks := 0
				b.Invite(exchange.Attempt{ID: "9b1f03aa5c7e2d41", Class: "open-log", Number: "17", Server: 10, Timeout: time.Second,
					Presence: func() exchange.Presence {
						checks++
						return tc.seen[min(checks, len(tc.seen))-1]
					}})
				server := <-b.connections
				if tc.want == "" {
					readUntil(t, sip.NewReader(server), "INVITE")
					return
				}
				written := make(chan bool, 1)
				go func() {
					_, err := server.Read(make([]byte, 1))
					written <- err == nil
				}()
				expectEvent(t, b.events, tc.want)
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				if len(written) > 0 {
					t.Error("the attempt was sent")
				}
			})
		})
	}
}

// resettable is a connection whose end is seen as a reset if reset is set.
type resettable struct {
	net.Conn
	reset *atomic.Bool
}

func (r resettable) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if err == io.EOF && r.reset.Load() {
		err = syscall.ECONNRESET
	}
	return n, err
}

func TestListChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		first := <-b.connections
		draining := exchange.Office{Entry: control.Entry{Server: 10, State: control.Draining}, Addr: "a:1"}
		b.UpdateList([]exchange.Office{draining}, false)
		synctest.Wait()
		b.Bye(10, "x", 0, false) // calls are established there: the connection stays
		if m, err := sip.NewReader(first).Next(); err != nil || string(m.Method) != "BYE" {
			t.Errorf("%+v, %v", m, err)
		}
		old := exchange.Office{Entry: control.Entry{Server: 10, ReadyAt: time.Now().Add(-time.Second).UnixNano()}, Addr: "a:1"}
		b.UpdateList([]exchange.Office{old}, false)
		b.Bye(10, "x", 0, false) // the connection is newer than the start: it stays
		if m, err := sip.NewReader(first).Next(); err != nil || string(m.Method) != "BYE" {
			t.Errorf("%+v, %v", m, err)
		}
		time.Sleep(time.Second)
		old.ReadyAt = time.Now().UnixNano()
		b.UpdateList([]exchange.Office{old}, false)
		<-b.connections // a new process gets a new connection
		if _, err := io.ReadAll(first); err != nil {
			t.Errorf("old connection: %v", err)
		}
		b.UpdateList(nil, true)
		b.invite(0)
		expectEvent(t, b.events, "ended 9b1f03aa5c7e2d41 0 4 note 0 wait 0 []")
	})
}

func TestReportsFromGarbage(t *testing.T) {
	netcase.Check(t, func(t *rapid.T) {
		text := netcase.Garbage(t, []byte("x0:12;x1:40;util:0.3;queue:3"))
		if r := fields.Parse(text); r != nil && len(r) != len(fields) || slices.ContainsFunc(r, func(x float64) bool { return x != x }) {
			t.Fatalf("%q gave %v", text, r)
		}
	})
	if got := fmt.Sprint(Fields{"cpu"}.Parse([]byte(" util:0.25 ; x0:1"))); got != "[0.25]" || strings.Contains(got, "-1") {
		t.Error(got)
	}
}

// discardHandler is a Handler that ignores all messages.
type discardHandler struct{}

func (discardHandler) Accepted(string, []byte)          {}
func (discardHandler) Ended(string, exchange.Result)    {}
func (discardHandler) Released(string, bool, []float64) {}
func (discardHandler) State([]float64)                  {}

// Any input from an office is either handled or ends the connection, and never causes a panic.
func TestMessagesFromGarbage(t *testing.T) {
	valid := []byte("SIP/2.0 503 X\r\n" + answerHeaders + "X-Note: cpu_full\r\nX-Delay: 2300\r\nX-State: x0:12\r\nContent-Length: 0\r\n\r\n" +
		"BYE sip:1@net SIP/2.0\r\nCall-ID: 5\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=41\r\nContent-Length: 0\r\n\r\n")
	netcase.Check(t, func(t *rapid.T) {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		p := &sipPeer{Conn: sip.NewConn(ours, limits), name: "n0", fields: fields}
		for r := sip.NewReader(netcase.RandomReader(t, netcase.Garbage(t, valid))); ; {
			m, err := r.Next()
			if err != nil {
				return
			}
			if err := p.handle(m, discardHandler{}); err != nil && err != errNoTransaction {
				t.Fatal(err)
			}
		}
	})
}

// A connection that is established after its attempt was cancelled sends nothing, and one that is established after its
// office was removed from the list is closed.
func TestLateConnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		<-b.connections
		proceed := make(chan bool)
		ours, theirs := net.Pipe()
		b.Dialers[""] = func(context.Context, string) (Peer, error) {
			<-proceed
			return &sipPeer{Conn: sip.NewConn(ours, limits), name: "n0", fields: fields}, nil
		}
		b.UpdateList([]exchange.Office{{Entry: control.Entry{Server: 11}, Addr: "b:1"}}, false)
		a := exchange.Attempt{ID: "9b1f03aa5c7e2d41", Class: "open-log", Number: "17", Server: 11, Timeout: time.Second}
		b.Invite(a)
		b.Cancel(11, a.ID, 0)
		a.ID = "0000000000000002"
		b.Invite(a)
		synctest.Wait()
		b.UpdateList([]exchange.Office{{Entry: control.Entry{Server: 11, State: control.Removed}}}, false)
		expectEvent(t, b.events, "ended 0000000000000002 0 4 note 0 wait 0 []")
		close(proceed)
		if got, err := io.ReadAll(theirs); len(got) != 0 || err != nil {
			t.Errorf("sent %q, %v", got, err)
		}
	})
}
