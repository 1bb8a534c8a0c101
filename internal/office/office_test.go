package office

import (
	"bufio"
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
	"masthill/internal/descriptors"
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

// A connect that fails because this process has no file descriptor proves nothing about the server: the calls there go
// on.
func TestDescriptorShortageProvesNothing(t *testing.T) {
	for _, failure := range []error{descriptors.ErrShareExhausted, fmt.Errorf("socket: %w", syscall.EMFILE)} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestPool(t)
			server := <-b.connections
			b.failure.Store(&failure)
			server.Close()
			time.Sleep(time.Minute)
			b.invite(0)
			expectEvent(t, b.events, "ended 9b1f03aa5c7e2d41 0 4 note 0 wait 0 []")
			synctest.Wait()
			if len(b.events) > 0 {
				t.Errorf("%v: reported %q", failure, <-b.events)
			}
			b.failure.Store(nil)
			<-b.connections // the pool goes on connecting
		})
	}
}

// A machine that vanishes leaves its connections open and silent. Attempts must go over a new connection, and if that
// can't be opened, the server is reported lost: nothing else would release the calls that were established there.
func TestVanishedMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		office := <-b.connections
		go io.Copy(io.Discard, office)
		b.silent.Store(true)
		time.Sleep(silentMachineTimeout + time.Second)
		sent := time.Now()
		b.invite(0)
		time.Sleep(time.Second)
		b.Cancel(10, "9b1f03aa5c7e2d41", 0)
		b.ReportSilence(10, sent, false)
		b.invite(1)
		expectEvent(t, b.events, "lost") // found as the first attempt got no answer
		expectEvent(t, b.events, "ended 9b1f03aa5c7e2d41 1 4 note 0 wait 0 []")
		b.silent.Store(false)
		<-b.connections // a new connection replaces the dead one
		if _, err := io.ReadAll(bufio.NewReader(office)); err != nil {
			t.Errorf("old connection: %v", err)
		}
	})
}

// A draining office refuses new connections and goes on with its calls on the old one, without sending reports. When
// this counted as dead, 29 calls were cut in one day.
func TestDrainingOfficeIsNotDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		office := <-b.connections
		go io.Copy(io.Discard, office)
		b.refuse.Store(true)
		for range 12 {
			time.Sleep(time.Second)
			b.ReportSilence(10, time.Now().Add(-3*time.Second), true)
			synctest.Wait()
		}
		if len(b.events) != 0 {
			t.Errorf("reported %q", <-b.events)
		}
		office.Close() // and now no connection is left
		expectEvent(t, b.events, "lost")
	})
}

// A draining office stopped while it sent a release, its connection stayed open, and the server list stopped being
// updated before it reported the end: the call was not released for 8 s. While the list is up to date, the office is
// not given up.
func TestOfficeStopsWhileListIsStale(t *testing.T) {
	for _, staleAfter := range []time.Duration{0, 3 * time.Second, 7600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestPool(t)
			office := <-b.connections
			go io.Copy(io.Discard, office)
			b.refuse.Store(true)
			time.Sleep(time.Second)
			io.WriteString(office, "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n")
			expectEvent(t, b.events, "state [3 -1 -1 -1]")
			began := time.Now()
			for k := 1; len(b.events) == 0 && k < 200; k++ {
				time.Sleep(100 * time.Millisecond)
				b.listStale.Store(time.Since(began) >= staleAfter)
				if k%10 == 0 {
					b.ReportSilence(10, time.Now().Add(-3*time.Second), true)
				}
				synctest.Wait()
			}
			expectEvent(t, b.events, "lost")
			elapsed, earliest := time.Since(began), max(unheardTimeout, staleAfter)
			if elapsed < earliest || elapsed > earliest+2*listPollInterval {
				t.Errorf("lost after %v, want %v", elapsed, earliest)
			}
		})
	}
}

// A draining server stopped as a call ended, and refused connects from then on; its connection was reset 4 s later. The
// reset restarted the measurement of its silence, so connects had to fail for 2 s more, at intervals of up to 3 s, and
// the call was not released for 8 s.
func TestConnectionEndKeepsSilence(t *testing.T) {
	for _, open := range []time.Duration{3500 * time.Millisecond, 5 * time.Second, 7100 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestPool(t)
			server := <-b.connections
			go io.Copy(io.Discard, server)
			time.Sleep(time.Second)
			io.WriteString(server, "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n")
			expectEvent(t, b.events, "state [3 -1 -1 -1]")
			lastMessage := time.Now()
			b.refuse.Store(true)
			b.reset.Store(true)
			time.AfterFunc(open, func() { server.Close() })
			for len(b.events) == 0 && time.Since(lastMessage) < 20*time.Second {
				time.Sleep(500 * time.Millisecond)
				b.ReportSilence(10, time.Now().Add(-3*time.Second), true)
				synctest.Wait()
			}
			expectEvent(t, b.events, "lost")
			if took := time.Since(lastMessage); took > 8*time.Second {
				t.Errorf("connection reset after %v: lost after %v", open, took)
			}
		})
	}
}

// As TestConnectionEndKeepsSilence, over TCP connections, with resets and refusals by the kernel.
func TestResetOfSilentTCPConnection(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	core := core{make(chan string, 100)}
	pool := NewPool(Options{Core: core, Log: netcase.DiscardLogger(), ConnectTimeout: 500 * time.Millisecond,
		Dialers: map[string]Dial{"": DialSIP("n0", fields)}})
	go pool.Run(t.Context())
	pool.UpdateList([]exchange.Office{{Entry: control.Entry{Server: 10}, Addr: listener.Addr().String()}}, true)
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(server, "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n")
	expectEvent(t, core.events, "state [3 -1 -1 -1]")
	lastMessage := time.Now()
	listener.Close()
	server.(*net.TCPConn).SetLinger(0)
	time.AfterFunc(7100*time.Millisecond, func() { server.Close() })
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case event := <-core.events:
			if took := time.Since(lastMessage); event != "lost" || took > 8*time.Second {
				t.Errorf("reported %q after %v", event, took)
			}
			return
		case <-ticker.C:
			pool.ReportSilence(10, time.Now().Add(-3*time.Second), true)
		}
	}
}

// Connections are also reset by the network. When each reset counted as the end of the process, 419 established calls
// were released in one day. The reset of a silent connection does count: the machine had vanished and is back.
func TestResetDoesNotProveDeath(t *testing.T) {
	for want, quiet := range map[string]time.Duration{"state [3 -1 -1 -1]": 0, "lost": silentMachineTimeout + time.Second} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestPool(t)
			office := <-b.connections
			time.Sleep(quiet)
			b.reset.Store(true)
			office.Close()
			office = <-b.connections
			go io.WriteString(office, "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n")
			expectEvent(t, b.events, want)
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

// A truncated answer blocks all answers behind it. They were waited for until their calls had timed out, and the office
// was avoided for seconds.
func TestTruncatedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		office := <-b.connections
		go io.Copy(io.Discard, office)
		b.invite(0)
		began := time.Now()
		io.WriteString(office, "SIP/2.0 200 OK\r\n"+answerHeaders+"Content-Length: 400\r\n\r\ndesc")
		expectEvent(t, b.events, "ended 9b1f03aa5c7e2d41 0 5 note 0 wait 0 []")
		if took := time.Since(began); took > messageTimeout {
			t.Errorf("after %v", took)
		}
		<-b.connections // a new connection replaces it
	})
}

// A connection may fail silently and stay open while its office is well. Its attempts were waited for until they timed
// out, a trial was lost on it too, and the office counted as down and cold.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		silent := <-b.connections
		go io.Copy(io.Discard, silent)
		b.invite(0)
		time.Sleep(minAnswerTimeout + silenceCheckInterval)
		b.Invite(exchange.Attempt{ID: "2", Server: 10, Timeout: time.Second})
		office := <-b.connections
		r := sip.NewReader(office)
		go func() {
			readUntil(t, r, "INVITE")
			io.WriteString(office, "SIP/2.0 200 OK\r\nCall-ID: 2\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, office)
		}()
		expectEvent(t, b.events, "accepted 2 0 ")
		expectEvent(t, b.events, "ended 9b1f03aa5c7e2d41 0 5 note 0 wait 0 []")
		// A connection that is only slow keeps its attempts, and is closed when the last of them has ended.
		b.invite(1)
		third := <-b.connections // at once, without the loss of an attempt
		go io.Copy(io.Discard, third)
		io.WriteString(office, "SIP/2.0 200 OK\r\n"+answerHeaders+"Content-Length: 0\r\n\r\n")
		expectEvent(t, b.events, "accepted 9b1f03aa5c7e2d41 1 ")
		synctest.Wait()
		if _, err := office.Write([]byte("\r\n")); err == nil {
			t.Error("the replaced connection stays open")
		}
	})
}

// Reports are sent on all connections: one that arrives over the new connection only proves the old one dead, before any
// attempt does.
func TestReportOverNewConnectionEndsSilentOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		silent := <-b.connections
		go io.Copy(io.Discard, silent)
		b.invite(0)
		office := <-b.connections
		const report = "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n"
		io.WriteString(office, report)
		expectEvent(t, b.events, "state [3 -1 -1 -1]")
		time.Sleep(2 * silenceCheckInterval)
		if len(b.events) != 0 {
			t.Errorf("given up on the first report: %s", <-b.events)
		}
		go io.WriteString(office, report)
		expectEvent(t, b.events, "state [3 -1 -1 -1]")
		expectEvent(t, b.events, "ended 9b1f03aa5c7e2d41 0 5 note 0 wait 0 []")
	})
}

// A report is sent on all connections and arrives over one of them first. The set-up outstanding on the other
// connection was given up for that, although its office was only slow.
func TestReportArrivesFirstOverNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		slow := <-b.connections
		go io.Copy(io.Discard, slow)
		b.invite(0)
		replacement := <-b.connections
		go io.Copy(io.Discard, replacement)
		time.Sleep(2 * silenceCheckInterval)
		const report = "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n"
		for _, connection := range []net.Conn{replacement, slow} {
			if _, err := io.WriteString(connection, report); err != nil {
				t.Fatal("closed before its report could arrive:", err)
			}
			expectEvent(t, b.events, "state [3 -1 -1 -1]")
			time.Sleep(maxReportSkew / 5)
		}
		time.Sleep(2 * maxReportSkew)
		if len(b.events) != 0 {
			t.Errorf("given up although a report arrived on its connection: %s", <-b.events)
		}
		io.WriteString(slow, "SIP/2.0 200 OK\r\n"+answerHeaders+"Content-Length: 0\r\n\r\n")
		expectEvent(t, b.events, "accepted 9b1f03aa5c7e2d41 0 ")
	})
}

// Where servers are slow to answer set-ups, a silence of the usual delay must not replace the connection.
func TestSlowAnswersKeepConnection(t *testing.T) {
	for _, tc := range []struct {
		name         string
		delay        time.Duration
		replaced     bool
		replacedLast bool
	}{{"quick", 20 * time.Millisecond, true, true}, {"slow", 230 * time.Millisecond, false, true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestPool(t)
				office := <-b.connections
				go io.Copy(io.Discard, office)
				for n := range 5 {
					b.invite(n)
					time.Sleep(tc.delay)
					io.WriteString(office, "SIP/2.0 200 OK\r\n"+answerHeaders+"Content-Length: 0\r\n\r\n")
					expectEvent(t, b.events, fmt.Sprintf("accepted 9b1f03aa5c7e2d41 %d ", n))
					time.Sleep(duplicateWindow)
				}
				b.invite(5)
				time.Sleep(minAnswerTimeout + 2*silenceCheckInterval)
				if got := len(b.connections) > 0; got != tc.replaced {
					t.Errorf("replaced %v within the shortest timeout", got)
				}
				time.Sleep(maxAnswerTimeout)
				if got := len(b.connections) > 0; got != tc.replacedLast {
					t.Errorf("replaced %v within the longest timeout", got)
				}
			})
		})
	}
}

// The silence of a connection counts from its first unanswered set-up. Set-ups that are cancelled early don't restart
// it.
func TestCancelledSetUpsCountTowardsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		silent := <-b.connections
		go io.Copy(io.Discard, silent)
		const each = minAnswerTimeout / 2
		for n := range 4 {
			sentAt := time.Now()
			b.invite(n)
			time.Sleep(each)
			b.ReportSilence(10, sentAt, false)
			b.Cancel(10, "9b1f03aa5c7e2d41", n)
		}
		b.invite(4)
		synctest.Wait()
		if len(b.connections) == 0 {
			t.Error("the silent connection is still in use")
		}
	})
}

func TestAnyMessageEndsStaleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		office := <-b.connections
		go io.Copy(io.Discard, office)
		b.silent.Store(true)
		time.Sleep(time.Second)
		b.ReportSilence(10, time.Now(), false)
		io.WriteString(office, "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n")
		expectEvent(t, b.events, "state [3 -1 -1 -1]")
		b.invite(0)
		office.Close()
		expectEvent(t, b.events, "ended 9b1f03aa5c7e2d41 0 5 note 0 wait 0 []") // it was outstanding on the old connection
	})
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

// A duplicate of an answer, some milliseconds late, ended the call's next attempt at the same office. The call was then
// sent to another office while the first one was still setting it up.
func TestDuplicateAnswerAndNextAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		office := <-b.connections
		r := sip.NewReader(office)
		full := "SIP/2.0 503 X\r\n" + answerHeaders + "Content-Length: 0\r\n\r\n"
		b.invite(0)
		readUntil(t, r, "INVITE")
		io.WriteString(office, full)
		expectEvent(t, b.events, "ended 9b1f03aa5c7e2d41 0 2 note 0 wait 0 []")
		readUntil(t, r, "ACK")
		b.invite(1)
		time.Sleep(duplicateWindow / 2)
		io.WriteString(office, full) // the duplicate
		expectEvent(t, b.events, "ended 9b1f03aa5c7e2d41 -1 2 note 0 wait 0 []")
		readUntil(t, r, "ACK")
		readUntil(t, r, "INVITE")
		io.WriteString(office, "SIP/2.0 200 OK\r\n"+answerHeaders+"Content-Length: 4\r\n\r\ndesc")
		expectEvent(t, b.events, "accepted 9b1f03aa5c7e2d41 1 desc")
		readUntil(t, r, "ACK")

		b.invite(2) // an attempt that is cancelled while it waits is never sent
		b.Cancel(10, "9b1f03aa5c7e2d41", 2)
		time.Sleep(2 * duplicateWindow)
		b.Bye(10, "9b1f03aa5c7e2d41", 2, true)
		if m, err := r.Next(); err != nil || string(m.Method) != "BYE" {
			t.Errorf("received %+v, %v", m, err)
		}
	})
}

// A release written to a connection at the moment of its reset was lost. It is sent again on the next connection.
func TestReleaseOnEndingConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		office := <-b.connections
		b.Bye(10, "9b1f03aa5c7e2d41", 0, false)
		office.Close()
		readUntil(t, sip.NewReader(<-b.connections), "BYE")
		time.Sleep(2 * releaseResendAge)
	})
}

// A release sent on a connection that had fallen silent was lost, as the silence was noticed more than a second later. It
// is sent again on the next connection, but not if the office was heard after it.
func TestReleaseOnSilentConnection(t *testing.T) {
	for _, heard := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestPool(t)
			office := <-b.connections
			go io.Copy(io.Discard, office)
			time.Sleep(time.Second)
			b.Bye(10, "9b1f03aa5c7e2d41", 0, false)
			time.Sleep(2 * releaseResendAge)
			if heard {
				io.WriteString(office, "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n")
				expectEvent(t, b.events, "state [3 -1 -1 -1]")
			}
			office.Close()
			next := <-b.connections
			next.SetReadDeadline(time.Now().Add(8 * time.Second))
			m, err := sip.NewReader(next).Next()
			if sentAgain := err == nil && string(m.Method) == "BYE"; sentAgain == heard {
				t.Errorf("heard after the release %v: received %+v, %v", heard, m, err)
			}
		})
	}
}

// Guards against a lost release: one that waited for a connection, or had just been sent, was forgotten when the list named
// another address of the same office. A process that has started since knows nothing of the call.
func TestReleaseFollowsOfficeToNewAddress(t *testing.T) {
	for name, c := range map[string]struct{ connected, restarted bool }{"waiting": {false, false}, "sent": {true, false}, "restarted": {true, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestPool(t)
				office := <-b.connections
				go io.Copy(io.Discard, office)
				if !c.connected {
					b.refuse.Store(true)
					office.Close()
					synctest.Wait()
				}
				b.Bye(10, "9b1f03aa5c7e2d41", 0, false)
				time.Sleep(releaseResendAge / 2)
				b.refuse.Store(false)
				moved := exchange.Office{Entry: control.Entry{Server: 10}, Addr: "b:1"}
				if c.restarted {
					moved.ReadyAt = time.Now().UnixNano()
				}
				b.UpdateList([]exchange.Office{moved}, false)
				next := <-b.connections
				next.SetReadDeadline(time.Now().Add(time.Second))
				m, err := sip.NewReader(next).Next()
				if released := err == nil && string(m.Method) == "BYE"; released == c.restarted {
					t.Errorf("received %+v, %v", m, err)
				}
			})
		})
	}
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
