package main

import (
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"masthill/internal/caller"
	"masthill/internal/exchange"
	"masthill/internal/handover"
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

// Guards against a lost release: one that still waited for its caller when the process ended was not handed to the next
// process at the address.
func TestWaitingReleaseOutlivesTheProcess(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	const released = "00000000000000aa"
	ledger, journal, listen := newAttemptLog(), newJournal(t), freeAddr(t)
	releasing := newProcessor(ledger, "releasing")
	releasing.releaseOnConnect = released
	startAt := func(office string) *program {
		return startWith(t, strings.Replace(configuration(journal, []string{office}), "127.0.0.1:0", listen, 1), "")
	}
	startAt(sipOffice(t, releasing)).stop()
	p := startAt(sipOffice(t, newProcessor(ledger, "office")))
	caller := dial(t, p.sip)
	caller.SetReadDeadline(time.Now().Add(10 * time.Second))
	caller.write(invite("0000000000000001", "X-Patience: 60000\r\n"))
	if m := caller.expect(0, "BYE"); string(m.Get("Call-ID")) != released {
		t.Errorf("release of call %q", m.Get("Call-ID"))
	}
	caller.expect(200, "")
	p.stop()
}

// Guards against a lost release: in an upgrade the new process has started long before the old one hands its releases over.
func TestReleasesAreTakenOverInAnUpgrade(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	offices, journal, listen := []string{sipOffice(t, newProcessor(newAttemptLog(), "office"))}, newJournal(t), freeAddr(t)
	old, _ := startWithAdmin(t, journal, offices, listen, 1024)
	p, _ := startWithAdmin(t, journal, offices, listen, 1024)
	message := "BYE sip:17@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"
	held := []caller.HeldRelease{{Call: "00000000000000aa", Message: []byte(message), CreatedAt: time.Now()}}
	if err := handover.Put(handover.Files{Dir: os.TempDir(), Addr: p.sip}, callerReleases, held); err != nil {
		t.Fatal(err)
	}
	old.stop()
	caller := dial(t, p.sip)
	caller.SetReadDeadline(time.Now().Add(10 * time.Second))
	caller.write(invite("0000000000000001", "X-Patience: 60000\r\n"))
	released := false
	for range 2 {
		m, err := caller.Next()
		if err != nil {
			t.Fatal(err)
		}
		released = released || string(m.Method) == "BYE"
	}
	if !released {
		t.Error("the release was not taken over")
	}
	p.stop()
}
