package office

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"masthill/control"
	"masthill/internal/descriptors"
	"masthill/internal/exchange"
	"masthill/internal/netcase"
)

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
