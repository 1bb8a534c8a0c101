package main

import (
	"net"
	"syscall"
	"testing"
	"time"

	"masthill/internal/exchange"
)

// SIGKILL comes the sooner the shorter the deadlines of a deployment are: what still waits has to be refused before it.
func TestWhenWhatWaitsIsRefused(t *testing.T) {
	for _, longest := range []time.Duration{100 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, 3 * time.Second, time.Minute} {
		got := refusalDelay([]exchange.Class{{Deadline: longest / 2}, {Deadline: longest}})
		kill := min(longest, 3*time.Second) + 700*time.Millisecond
		if got+flushTimeout >= kill && got > requestPeriod || got < requestPeriod {
			t.Errorf("deadline %v: refused after %v, killed after %v", longest, got, kill)
		}
	}
}

// A request that was read in part when the end came was cut off with its connection. Its caller writes the rest and has
// its answer.
func TestARequestReadInPartAtTheEnd(t *testing.T) {
	ledger := newAttemptLog()
	p := start(t, newJournal(t), []string{sipOffice(t, newProcessor(ledger, "office"))}, "")
	caller := dial(t, p.sip)
	text := invite("0000000000000001", "X-Patience: 60000\r\n")
	caller.write(text[:60])
	p.Process.Signal(syscall.SIGTERM)
	for { // the end has begun, and nothing but this keeps it
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
