package office

import (
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"masthill/internal/exchange"
	"masthill/internal/sip"
)

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
