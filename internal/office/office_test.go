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

// core notes what the pool tells the exchange.
type core struct{ told chan string }

func (c core) say(format string, a ...any) { c.told <- fmt.Sprintf(format, a...) }
func (c core) Accepted(s uint64, id string, n int, desc []byte) {
	c.say("stood %s %d %s", id, n, desc)
}
func (c core) Ended(s uint64, id string, n int, e exchange.Result) {
	c.say("ended %s %d %d note %d wait %d %v", id, n, e.Outcome, e.Note, e.WaitMS, e.Report)
}
func (c core) Released(s uint64, id string, cut bool, r []float64) {
	c.say("released %s %v %v", id, cut, r)
}
func (c core) State(s uint64, r []float64) { c.say("state %v", r) }
func (c core) ServerLost(s uint64)         { c.say("lost") }

// bed is a pool with one office behind pipes; dialled gives the office's ends.
type bed struct {
	core
	*Pool
	dialled chan net.Conn
	refuse  atomic.Bool           // connects are refused
	silent  atomic.Bool           // connects do not come up
	reset   atomic.Bool           // connections that end do so by a reset
	unheard atomic.Bool           // the list is not heard
	failure atomic.Pointer[error] // of connects, beside the others; nil: none
}

func newBed(t *testing.T) *bed {
	b := &bed{core: core{make(chan string, 100)}, dialled: make(chan net.Conn, 10)}
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
		b.dialled <- theirs
		return &sipPeer{Conn: sip.NewConn(resettable{ours, &b.reset}, limits), name: "n0", fields: fields}, nil
	}
	b.Pool = NewPool(Options{Core: b.core, Log: netcase.Quiet(), ConnectWait: 500 * time.Millisecond,
		Dials: map[string]Dial{"": dial}, ListLive: func() bool { return !b.unheard.Load() }})
	go b.Run(t.Context())
	synctest.Wait()
	b.UpdateList([]exchange.Office{{Entry: control.Entry{Server: 10}, Addr: "a:1"}}, true)
	return b
}

func (b *bed) invite(n int) {
	b.Invite(exchange.Attempt{ID: "9b1f03aa5c7e2d41", Class: "open-log", Number: "17", Description: []byte("offer"), Index: n,
		Server: 10, Wait: time.Second})
}

func expect(t *testing.T, told chan string, want string) {
	t.Helper()
	if got := <-told; got != want {
		t.Errorf("told %q, want %q", got, want)
	}
}

// hear reads messages at the office until one of that method.
func hear(t *testing.T, r *sip.Reader, method string) *sip.Message {
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

const reply = "Call-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\n"

// An office numbers its answers as it likes: only the Call-ID and the method count. Matched by the CSeq number,
// second attempts were never answered, and each call that stood at one was released at once.
func TestAnswerToASecondAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		office := <-b.dialled
		r := sip.NewReader(office)
		b.invite(1)
		m := hear(t, r, "INVITE")
		if string(m.User()) != "17" || string(m.Get("Subject")) != "open-log" || string(m.Body) != "offer" ||
			string(m.Get("X-Patience")) != "1000" {
			t.Errorf("set-up %+v", m)
		}
		io.WriteString(office, "SIP/2.0 200 OK\r\n"+reply+"Content-Length: 4\r\n\r\ndesc")
		expect(t, b.told, "stood 9b1f03aa5c7e2d41 1 desc")
		hear(t, r, "ACK")
	})
}

func TestAnswersToOutcomes(t *testing.T) {
	for _, tc := range []struct{ in, want string }{
		{"SIP/2.0 503 X\r\n" + reply + "X-Note: cpu_full\r\nX-Delay: 2300\r\nX-State: x0:12;util:0.5;zz:1\r\n",
			"ended 9b1f03aa5c7e2d41 0 2 note 3 wait 2300 [12 -1 0.5 -1]"},
		{"SIP/2.0 503 X\r\n" + reply + "X-Note: all_trunks_busy\r\n", "ended 9b1f03aa5c7e2d41 0 2 note 1 wait 0 []"},
		{"SIP/2.0 486 X\r\n" + reply + "X-Note: number_busy\r\n", "ended 9b1f03aa5c7e2d41 0 1 note 4 wait 0 []"},
		{"SIP/2.0 500 X\r\n" + reply, "ended 9b1f03aa5c7e2d41 0 1 note 0 wait 0 []"},
		{"SIP/2.0 480 X\r\n" + reply, "ended 9b1f03aa5c7e2d41 0 7 note 0 wait 0 []"},
		{"SIP/2.0 504 X\r\n" + reply, "ended 9b1f03aa5c7e2d41 0 5 note 0 wait 0 []"},
		{"BYE sip:1@net SIP/2.0\r\nCall-ID: 5\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=41\r\nX-State: x0:1\r\n",
			"released 5 true [1 -1 -1 -1]"},
		{"BYE sip:1@net SIP/2.0\r\nCall-ID: 5\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\n", "released 5 false []"},
		{"NOTIFY sip:1@net SIP/2.0\r\nX-State: x1:40;queue:NaN;x0:3\r\n", "state [3 40 -1 -1]"},
		{"SIP/2.0 200 OK\r\nCSeq: 1 INVITE\r\n", "ended 9b1f03aa5c7e2d41 0 5 note 0 wait 0 []"}, // unreadable: closed
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t)
			office := <-b.dialled
			r := sip.NewReader(office)
			b.invite(0)
			hear(t, r, "INVITE")
			go io.Copy(io.Discard, office)
			io.WriteString(office, tc.in+"Content-Length: 0\r\n\r\n")
			expect(t, b.told, tc.want)
		})
	}
}

func TestConnectFailuresAreRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		(<-b.dialled).Close()
		synctest.Wait()
		b.refuse.Store(true)
		time.Sleep(redialFirst) // its own reconnect fails, and so does an attempt's
		synctest.Wait()
		b.invite(0)
		expect(t, b.told, "ended 9b1f03aa5c7e2d41 0 4 note 0 wait 0 []")
		expect(t, b.told, "lost") // after a while of that: nothing runs there
		b.Invite(exchange.Attempt{ID: "x", Server: 11})
		for told := range b.told { // the reconnects go on
			if told != "lost" {
				b.told <- told
				break
			}
		}
		expect(t, b.told, "ended x 0 4 note 0 wait 0 []")
		// Cancelled before the connect: never sent.
		b.refuse.Store(false)
		b.silent.Store(true)
		b.invite(1)
		b.Cancel(10, "9b1f03aa5c7e2d41", 1)
		b.silent.Store(false)
		office := <-b.dialled
		b.Bye(10, "x", 0, true)
		if m, err := sip.NewReader(office).Next(); err != nil || string(m.Method) != "BYE" {
			t.Errorf("%+v, %v", m, err)
		}
	})
}

// A client may leave while its attempt waits for a connect, and the word of it may still be on its way to the core.
func TestAClientThatLeavesDuringTheConnect(t *testing.T) {
	for _, tc := range []struct {
		name string
		seen []exchange.Presence // at each look; the last one stays
		want string              // told; empty: the attempt is sent
	}{
		{"there", []exchange.Presence{exchange.Connected}, ""},
		{"gone", []exchange.Presence{exchange.Gone}, "ended 9b1f03aa5c7e2d41 0 4 note 0 wait 0 []"},
		{"unheard, then gone", []exchange.Presence{exchange.InputPending, exchange.InputPending, exchange.Gone},
			"ended 9b1f03aa5c7e2d41 0 4 note 0 wait 0 []"},
		{"unheard, then there", []exchange.Presence{exchange.InputPending, exchange.Connected}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t)
				b.reset.Store(true)
				(<-b.dialled).Close()
				synctest.Wait()
				looks := 0
				b.Invite(exchange.Attempt{ID: "9b1f03aa5c7e2d41", Class: "open-log", Number: "17", Server: 10, Wait: time.Second,
					Presence: func() exchange.Presence {
						looks++
						return tc.seen[min(looks, len(tc.seen))-1]
					}})
				server := <-b.dialled
				if tc.want == "" {
					hear(t, sip.NewReader(server), "INVITE")
					return
				}
				written := make(chan bool, 1)
				go func() {
					_, err := server.Read(make([]byte, 1))
					written <- err == nil
				}()
				expect(t, b.told, tc.want)
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				if len(written) > 0 {
					t.Error("the attempt was sent")
				}
			})
		})
	}
}

// A process that has no descriptor for a connect learns nothing of the server: its calls there go on.
func TestALackOfDescriptorsIsNoDeath(t *testing.T) {
	for _, failure := range []error{descriptors.ErrShareTaken, fmt.Errorf("socket: %w", syscall.EMFILE)} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t)
			server := <-b.dialled
			b.failure.Store(&failure)
			server.Close()
			time.Sleep(time.Minute)
			b.invite(0)
			expect(t, b.told, "ended 9b1f03aa5c7e2d41 0 4 note 0 wait 0 []")
			synctest.Wait()
			if len(b.told) > 0 {
				t.Errorf("%v: told %q", failure, <-b.told)
			}
			b.failure.Store(nil)
			<-b.dialled // the connects go on
		})
	}
}

// A machine that vanishes leaves its connections open and silent. Attempts must go over a new one, and where
// that does not come up, what stood there is cut: nothing else would tell its callers.
func TestVanishedMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		office := <-b.dialled
		go io.Copy(io.Discard, office)
		b.silent.Store(true)
		time.Sleep(silentFor + time.Second)
		sent := time.Now()
		b.invite(0)
		time.Sleep(time.Second)
		b.Cancel(10, "9b1f03aa5c7e2d41", 0)
		b.ReportSilence(10, sent, false)
		b.invite(1)
		expect(t, b.told, "lost") // found by the first attempt's silence
		expect(t, b.told, "ended 9b1f03aa5c7e2d41 1 4 note 0 wait 0 []")
		b.silent.Store(false)
		<-b.dialled // and a new connection replaces the dead one
		if _, err := io.ReadAll(bufio.NewReader(office)); err != nil {
			t.Errorf("old connection: %v", err)
		}
	})
}

// An office that drains refuses new connections and goes on with its calls on the old one, without reports. Taken
// for dead, 29 calls were cut on one day.
func TestDrainingOfficeIsNotDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		office := <-b.dialled
		go io.Copy(io.Discard, office)
		b.refuse.Store(true)
		for range 12 {
			time.Sleep(time.Second)
			b.ReportSilence(10, time.Now().Add(-3*time.Second), true)
			synctest.Wait()
		}
		if len(b.told) != 0 {
			t.Errorf("told %q", <-b.told)
		}
		office.Close() // and now no connection is left
		expect(t, b.told, "lost")
	})
}

// A draining office stopped as it sent a release, its connection stayed open, and the list fell silent before it told of
// the end: the call was over for 8 s without a release. One that speaks, or of which the list would tell, is waited for.
func TestAnOfficeThatStopsUnheard(t *testing.T) {
	for _, unheard := range []time.Duration{0, 3 * time.Second, 7600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t)
			office := <-b.dialled
			go io.Copy(io.Discard, office)
			b.refuse.Store(true)
			time.Sleep(time.Second)
			io.WriteString(office, "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n")
			expect(t, b.told, "state [3 -1 -1 -1]")
			began := time.Now()
			for k := 1; len(b.told) == 0 && k < 200; k++ {
				time.Sleep(100 * time.Millisecond)
				b.unheard.Store(time.Since(began) >= unheard)
				if k%10 == 0 {
					b.ReportSilence(10, time.Now().Add(-3*time.Second), true)
				}
				synctest.Wait()
			}
			expect(t, b.told, "lost")
			took, least := time.Since(began), max(unheardFor, unheard)
			if took < least || took > least+2*listStep {
				t.Errorf("after %v, want %v", took, least)
			}
		})
	}
}

// A draining server stopped as a call ended, and refused connects from then on; its connection was reset 4 s later, and
// with that its silence began anew: failed connects had to go on for 2 s more, at pauses of up to 3 s, and the call was
// over for 8 s without a release.
func TestAnEndOfTheConnectionForgetsNoSilence(t *testing.T) {
	for _, open := range []time.Duration{3500 * time.Millisecond, 5 * time.Second, 7100 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t)
			server := <-b.dialled
			go io.Copy(io.Discard, server)
			time.Sleep(time.Second)
			io.WriteString(server, "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n")
			expect(t, b.told, "state [3 -1 -1 -1]")
			lastWord := time.Now()
			b.refuse.Store(true)
			b.reset.Store(true)
			time.AfterFunc(open, func() { server.Close() })
			for len(b.told) == 0 && time.Since(lastWord) < 20*time.Second {
				time.Sleep(500 * time.Millisecond)
				b.ReportSilence(10, time.Now().Add(-3*time.Second), true)
				synctest.Wait()
			}
			expect(t, b.told, "lost")
			if took := time.Since(lastWord); took > 8*time.Second {
				t.Errorf("connection reset after %v: lost after %v", open, took)
			}
		})
	}
}

// The same over real connections, where a reset and a refused connect are the kernel's own.
func TestASilentServerWhoseRealConnectionIsReset(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	core := core{make(chan string, 100)}
	pool := NewPool(Options{Core: core, Log: netcase.Quiet(), ConnectWait: 500 * time.Millisecond,
		Dials: map[string]Dial{"": DialSIP("n0", fields)}})
	go pool.Run(t.Context())
	pool.UpdateList([]exchange.Office{{Entry: control.Entry{Server: 10}, Addr: listener.Addr().String()}}, true)
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(server, "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n")
	expect(t, core.told, "state [3 -1 -1 -1]")
	lastWord := time.Now()
	listener.Close()
	server.(*net.TCPConn).SetLinger(0)
	time.AfterFunc(7100*time.Millisecond, func() { server.Close() })
	suspect := time.NewTicker(time.Second)
	defer suspect.Stop()
	for {
		select {
		case told := <-core.told:
			if took := time.Since(lastWord); told != "lost" || took > 8*time.Second {
				t.Errorf("told %q after %v", told, took)
			}
			return
		case <-suspect.C:
			pool.ReportSilence(10, time.Now().Add(-3*time.Second), true)
		}
	}
}

// Connections are reset on their way too: taken for the death of the process, 419 standing calls were released on one
// day. One that was silent is another matter: the machine had vanished and is back.
func TestAResetIsNotADeath(t *testing.T) {
	for want, quiet := range map[string]time.Duration{"state [3 -1 -1 -1]": 0, "lost": silentFor + time.Second} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t)
			office := <-b.dialled
			time.Sleep(quiet)
			b.reset.Store(true)
			office.Close()
			office = <-b.dialled
			go io.WriteString(office, "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n")
			expect(t, b.told, want)
		})
	}
}

// resettable is a connection whose end may show as a reset.
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

// An answer that stops short holds up all answers behind it: they were waited for until their calls had run out of
// time, and the office was left out for seconds.
func TestAnAnswerThatStopsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		office := <-b.dialled
		go io.Copy(io.Discard, office)
		b.invite(0)
		began := time.Now()
		io.WriteString(office, "SIP/2.0 200 OK\r\n"+reply+"Content-Length: 400\r\n\r\ndesc")
		expect(t, b.told, "ended 9b1f03aa5c7e2d41 0 5 note 0 wait 0 []")
		if took := time.Since(began); took > wholeFor {
			t.Errorf("after %v", took)
		}
		<-b.dialled // and a new connection replaces it
	})
}

// A spoilt connection stays open and mute, with the office well behind it. Its attempts were waited for until their
// time was up, a trial was lost on it too, and the office passed for down and cold.
func TestAMuteConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		mute := <-b.dialled
		go io.Copy(io.Discard, mute)
		b.invite(0)
		time.Sleep(silenceLeast + muteEvery)
		b.Invite(exchange.Attempt{ID: "2", Server: 10, Wait: time.Second})
		office := <-b.dialled
		r := sip.NewReader(office)
		go func() {
			hear(t, r, "INVITE")
			io.WriteString(office, "SIP/2.0 200 OK\r\nCall-ID: 2\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, office)
		}()
		expect(t, b.told, "stood 2 0 ")
		expect(t, b.told, "ended 9b1f03aa5c7e2d41 0 5 note 0 wait 0 []")
		// One that is only slow keeps its attempts, and goes when the last of them has ended.
		b.invite(1)
		third := <-b.dialled // at once: no attempt need be lost for it
		go io.Copy(io.Discard, third)
		io.WriteString(office, "SIP/2.0 200 OK\r\n"+reply+"Content-Length: 0\r\n\r\n")
		expect(t, b.told, "stood 9b1f03aa5c7e2d41 1 ")
		synctest.Wait()
		if _, err := office.Write([]byte("\r\n")); err == nil {
			t.Error("the replaced connection stays open")
		}
	})
}

// Reports come on all connections: one that comes over the new alone proves the old one dead, before any attempt.
func TestAReportProvesAMuteConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		mute := <-b.dialled
		go io.Copy(io.Discard, mute)
		b.invite(0)
		office := <-b.dialled
		const report = "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n"
		io.WriteString(office, report)
		expect(t, b.told, "state [3 -1 -1 -1]")
		time.Sleep(2 * muteEvery)
		if len(b.told) != 0 {
			t.Errorf("given up by the first report: %s", <-b.told)
		}
		go io.WriteString(office, report)
		expect(t, b.told, "state [3 -1 -1 -1]")
		expect(t, b.told, "ended 9b1f03aa5c7e2d41 0 5 note 0 wait 0 []")
	})
}

// A report goes out on all connections and comes over one of them first. The set-up that was out on the other was cut for
// that, though its office was only slow.
func TestAReportThatComesOverTheNewConnectionFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		slow := <-b.dialled
		go io.Copy(io.Discard, slow)
		b.invite(0)
		replacement := <-b.dialled
		go io.Copy(io.Discard, replacement)
		time.Sleep(2 * muteEvery)
		const report = "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n"
		for _, connection := range []net.Conn{replacement, slow} {
			if _, err := io.WriteString(connection, report); err != nil {
				t.Fatal("closed before its report could come:", err)
			}
			expect(t, b.told, "state [3 -1 -1 -1]")
			time.Sleep(reportLag / 5)
		}
		time.Sleep(2 * reportLag)
		if len(b.told) != 0 {
			t.Errorf("given up though its connection was heard: %s", <-b.told)
		}
		io.WriteString(slow, "SIP/2.0 200 OK\r\n"+reply+"Content-Length: 0\r\n\r\n")
		expect(t, b.told, "stood 9b1f03aa5c7e2d41 0 ")
	})
}

// Where set-ups take long, a silence of that length replaces no connection.
func TestSlowAnswersAreNoMuteConnection(t *testing.T) {
	for _, tc := range []struct {
		name         string
		delay        time.Duration
		replaced     bool
		replacedLast bool
	}{{"quick", 20 * time.Millisecond, true, true}, {"slow", 230 * time.Millisecond, false, true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t)
				office := <-b.dialled
				go io.Copy(io.Discard, office)
				for n := range 5 {
					b.invite(n)
					time.Sleep(tc.delay)
					io.WriteString(office, "SIP/2.0 200 OK\r\n"+reply+"Content-Length: 0\r\n\r\n")
					expect(t, b.told, fmt.Sprintf("stood 9b1f03aa5c7e2d41 %d ", n))
					time.Sleep(copyFor)
				}
				b.invite(5)
				time.Sleep(silenceLeast + 2*muteEvery)
				if got := len(b.dialled) > 0; got != tc.replaced {
					t.Errorf("replaced %v within the least silence", got)
				}
				time.Sleep(silenceMost)
				if got := len(b.dialled) > 0; got != tc.replacedLast {
					t.Errorf("replaced %v within the longest silence", got)
				}
			})
		})
	}
}

// Set-ups that are called off early leave a mute connection no less mute: the next ones don't begin its silence anew.
func TestCalledOffSetUpsCountTowardsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		mute := <-b.dialled
		go io.Copy(io.Discard, mute)
		const each = silenceLeast / 2
		for n := range 4 {
			sentAt := time.Now()
			b.invite(n)
			time.Sleep(each)
			b.ReportSilence(10, sentAt, false)
			b.Cancel(10, "9b1f03aa5c7e2d41", n)
		}
		b.invite(4)
		synctest.Wait()
		if len(b.dialled) == 0 {
			t.Error("the mute connection is still in use")
		}
	})
}

func TestSuspicionEndsWithAnySign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		office := <-b.dialled
		go io.Copy(io.Discard, office)
		b.silent.Store(true)
		time.Sleep(time.Second)
		b.ReportSilence(10, time.Now(), false)
		io.WriteString(office, "NOTIFY sip:1@net SIP/2.0\r\nX-State: x0:3\r\nContent-Length: 0\r\n\r\n")
		expect(t, b.told, "state [3 -1 -1 -1]")
		b.invite(0)
		office.Close()
		expect(t, b.told, "ended 9b1f03aa5c7e2d41 0 5 note 0 wait 0 []") // it was out on the old connection
	})
}

func TestListChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		first := <-b.dialled
		draining := exchange.Office{Entry: control.Entry{Server: 10, State: control.Draining}, Addr: "a:1"}
		b.UpdateList([]exchange.Office{draining}, false)
		synctest.Wait()
		b.Bye(10, "x", 0, false) // calls stand there: the connection stays
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
		<-b.dialled // a new processor gets a new connection
		if _, err := io.ReadAll(first); err != nil {
			t.Errorf("old connection: %v", err)
		}
		b.UpdateList(nil, true)
		b.invite(0)
		expect(t, b.told, "ended 9b1f03aa5c7e2d41 0 4 note 0 wait 0 []")
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

// deaf is a Hearer that takes anything.
type deaf struct{}

func (deaf) Accepted(string, []byte)          {}
func (deaf) Ended(string, exchange.Result)    {}
func (deaf) Released(string, bool, []float64) {}
func (deaf) State([]float64)                  {}

// Whatever an office sends, it is taken or ends the connection, and there is never a panic.
func TestMessagesFromGarbage(t *testing.T) {
	valid := []byte("SIP/2.0 503 X\r\n" + reply + "X-Note: cpu_full\r\nX-Delay: 2300\r\nX-State: x0:12\r\nContent-Length: 0\r\n\r\n" +
		"BYE sip:1@net SIP/2.0\r\nCall-ID: 5\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=41\r\nContent-Length: 0\r\n\r\n")
	netcase.Check(t, func(t *rapid.T) {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		p := &sipPeer{Conn: sip.NewConn(ours, limits), name: "n0", fields: fields}
		for r := sip.NewReader(netcase.Cut(t, netcase.Garbage(t, valid))); ; {
			m, err := r.Next()
			if err != nil {
				return
			}
			if err := p.take(m, deaf{}); err != nil && err != errNoCall {
				t.Fatal(err)
			}
		}
	})
}

// A second copy of an answer, some milliseconds late, ended the call's next attempt at the same office: the call then
// went to another one while the first still worked on it.
func TestACopyOfAnAnswerAndTheNextAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		office := <-b.dialled
		r := sip.NewReader(office)
		full := "SIP/2.0 503 X\r\n" + reply + "Content-Length: 0\r\n\r\n"
		b.invite(0)
		hear(t, r, "INVITE")
		io.WriteString(office, full)
		expect(t, b.told, "ended 9b1f03aa5c7e2d41 0 2 note 0 wait 0 []")
		hear(t, r, "ACK")
		b.invite(1)
		time.Sleep(copyFor / 2)
		io.WriteString(office, full) // the copy
		expect(t, b.told, "ended 9b1f03aa5c7e2d41 -1 2 note 0 wait 0 []")
		hear(t, r, "ACK")
		hear(t, r, "INVITE")
		io.WriteString(office, "SIP/2.0 200 OK\r\n"+reply+"Content-Length: 4\r\n\r\ndesc")
		expect(t, b.told, "stood 9b1f03aa5c7e2d41 1 desc")
		hear(t, r, "ACK")

		b.invite(2) // and one that is given up while it waits is never sent
		b.Cancel(10, "9b1f03aa5c7e2d41", 2)
		time.Sleep(2 * copyFor)
		b.Bye(10, "9b1f03aa5c7e2d41", 2, true)
		if m, err := r.Next(); err != nil || string(m.Method) != "BYE" {
			t.Errorf("heard %+v, %v", m, err)
		}
	})
}

// A release that was written to a connection in the moment of its reset was lost; it goes out on the next one too.
func TestAReleaseOnAConnectionThatEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		office := <-b.dialled
		b.Bye(10, "9b1f03aa5c7e2d41", 0, false)
		office.Close()
		hear(t, sip.NewReader(<-b.dialled), "BYE")
		time.Sleep(2 * byeFor)
	})
}

// A connect that comes up after its attempt was given up sends nothing, and one that comes up after its office left the
// list is closed.
func TestAConnectThatComesUpLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		<-b.dialled
		goOn := make(chan bool)
		ours, theirs := net.Pipe()
		b.Dials[""] = func(context.Context, string) (Peer, error) {
			<-goOn
			return &sipPeer{Conn: sip.NewConn(ours, limits), name: "n0", fields: fields}, nil
		}
		b.UpdateList([]exchange.Office{{Entry: control.Entry{Server: 11}, Addr: "b:1"}}, false)
		a := exchange.Attempt{ID: "9b1f03aa5c7e2d41", Class: "open-log", Number: "17", Server: 11, Wait: time.Second}
		b.Invite(a)
		b.Cancel(11, a.ID, 0)
		a.ID = "0000000000000002"
		b.Invite(a)
		synctest.Wait()
		b.UpdateList([]exchange.Office{{Entry: control.Entry{Server: 11, State: control.Removed}}}, false)
		expect(t, b.told, "ended 0000000000000002 0 4 note 0 wait 0 []")
		close(goOn)
		if got, err := io.ReadAll(theirs); len(got) != 0 || err != nil {
			t.Errorf("sent %q, %v", got, err)
		}
	})
}
