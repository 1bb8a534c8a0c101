package office

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"masthill/control"
	"masthill/internal/exchange"
	"masthill/internal/sip"
)

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

// Guards against releases that reach nobody: a process that first heard of an office as draining, after its own restart or
// at another address, opened no connection on which the office could send them.
func TestDrainingOfficeIsConnected(t *testing.T) {
	draining := control.Entry{Server: 11, State: control.Draining}
	for name, before := range map[string][]exchange.Office{"unknown": nil, "moved": {{Entry: control.Entry{Server: 11}, Addr: "b:1"}}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestPool(t)
				<-b.connections
				for range before {
					b.UpdateList(before, false)
					<-b.connections
				}
				b.UpdateList([]exchange.Office{{Entry: draining, Addr: "c:1"}}, false)
				synctest.Wait()
				if len(b.connections) != 1 {
					t.Fatalf("%d connections to the draining office, want 1", len(b.connections))
				}
				office := <-b.connections
				go io.Copy(io.Discard, office)
				io.WriteString(office, "BYE sip:1@net SIP/2.0\r\nCall-ID: 5\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n")
				expectEvent(t, b.events, "released 5 false []")
			})
		})
	}
}

// Guards against a lost release: what was sent to an office just before the list removed it was discarded with its connection.
func TestReleaseBeforeRemovalIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t)
		office := <-b.connections
		b.Bye(10, "9b1f03aa5c7e2d41", 0, true)
		b.UpdateList(nil, true)
		r := sip.NewReader(office)
		readUntil(t, r, "BYE")
		if _, err := r.Next(); err != io.EOF {
			t.Errorf("after the release: %v", err)
		}
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
