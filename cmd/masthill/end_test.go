package main

import (
	"net"
	"syscall"
	"testing"
	"time"

	"masthill/internal/exchange"
)

// SIGKILL comes the sooner the shorter the deadlines of a deployment are. Calls that still wait have to be refused
// before it.
func TestRefusalDelay(t *testing.T) {
	for _, longest := range []time.Duration{100 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, 3 * time.Second, time.Minute} {
		got := refusalDelay([]exchange.Class{{Deadline: longest / 2}, {Deadline: longest}})
		kill := min(longest, 3*time.Second) + 700*time.Millisecond
		if got+flushTimeout >= kill && got > requestPeriod || got < requestPeriod {
			t.Errorf("deadline %v: refused after %v, killed after %v", longest, got, kill)
		}
	}
}

// A request that has been read in part when the shutdown begins is not cut off: its caller writes the rest and gets an
// answer.
func TestARequestReadInPartAtTheEnd(t *testing.T) {
	ledger := newAttemptLog()
	p := start(t, newJournal(t), []string{sipOffice(t, newProcessor(ledger, "office"))}, "")
	caller := dial(t, p.sip)
	text := invite("0000000000000001", "X-Patience: 60000\r\n")
	caller.write(text[:60])
	p.Process.Signal(syscall.SIGTERM)
	for { // until the listener is closed; only the partial request keeps the program running
		c, err := net.Dial("tcp", p.sip)
		if err != nil {
			break
		}
		c.Close()
		time.Sleep(time.Millisecond)
	}
	time.Sleep(requestPeriod)
	caller.write(text[60:])
	caller.expect(200, "")
	p.stop()
}
