package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/coder/websocket"

	"masthill/internal/callws"
	"masthill/internal/netcase"
)

const callwsOn = `[callws]
listen = "127.0.0.1:0"
[callws.callers]
station-7 = "a token of sixteen"
`

const options = "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"

func TestServeEndAndRestart(t *testing.T) {
	ledger, feed := newLedger(), newJournal(t)
	office := newProcessor(ledger, "office")
	p := start(t, feed, []string{sipOffice(t, office)}, "")
	caller := dial(t, p.sip)
	caller.write(options)
	caller.want(200, "")
	caller.write(invite("0000000000000001", "X-Patience: 60000\r\n"))
	if m := caller.want(200, ""); string(m.Body) != "log of 0000000000000001" {
		t.Errorf("description %q", m.Body)
	}
	caller.write("INVITE sip:17@net SIP/2.0\r\nCall-ID: short\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n")
	caller.want(400, "")

	// A planned end: what was taken is answered, and what still comes on an open connection too.
	late := dial(t, p.sip)
	office.line.Lock() // nothing is answered before the end has begun
	caller.write(invite("0000000000000002", "X-Patience: 60000\r\n"))
	p.Process.Signal(syscall.SIGTERM)
	for status := 0; status != 503; {
		late.write(options)
		m, err := late.Next()
		if err != nil {
			t.Fatal(err)
		}
		status = m.Status
	}
	late.write(invite("0000000000000003", "X-Patience: 60000\r\n"))
	office.line.Unlock()
	caller.want(200, "")
	late.want(200, "")
	p.stop()

	// A restart knows nothing but the configuration. The release of a call from before is passed on all the same,
	// as its caller still holds the call, and new calls are taken.
	office = newProcessor(ledger, "office")
	office.over = "0000000000000001"
	p = start(t, feed, []string{sipOffice(t, office)}, "")
	caller = dial(t, p.sip)
	if m := caller.want(0, "BYE"); string(m.Get("Call-ID")) != "0000000000000001" {
		t.Errorf("release %+v", m)
	}
	caller.write(invite("0000000000000004", "X-Patience: 60000\r\n"))
	caller.want(200, "")
	caller.write("garbage\r\n\r\n")
	caller.want(400, "")
	if _, err := caller.Next(); err != io.EOF {
		t.Error("unreadable framing left the connection open")
	}
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := strings.Count(p.log.String(), `msg="caller connection ended" node=n0 part=callers reason=bad_framing`); n != 1 {
		t.Errorf("%d log lines for the connection", n)
	}
}

// SIGHUP ended the program. It reads the configuration anew: the journal client moves and goes on from its position,
// a call under way and its connection go on, and a bad file changes nothing.
func TestNewConfiguration(t *testing.T) {
	asked := make(chan string, 10)
	second := netcase.ServeHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		asked <- r.Header.Get("Last-Event-ID")
		<-r.Context().Done()
	})
	ledger, first := newLedger(), newJournal(t)
	office := newProcessor(ledger, "office")
	p := start(t, first, []string{sipOffice(t, office)}, "")
	caller := dial(t, p.sip)
	office.line.Lock()
	caller.write(invite("0000000000000001", "X-Patience: 60000\r\n"))
	p.reload(func(string) string { return "{" })
	for kept := false; !kept; { // the second signal must not meet the first
		time.Sleep(time.Millisecond)
		p.mu.Lock()
		kept = strings.Contains(p.log.String(), `msg="configuration kept"`)
		p.mu.Unlock()
	}
	p.reload(func(string) string { return configuration(second, nil) })
	if pos := <-asked; pos != "1" {
		t.Errorf("the new service was asked from %s", pos)
	}
	office.line.Unlock()
	caller.want(200, "")
	p.stop()
}

func TestBadConfigurationEndsWithTwo(t *testing.T) {
	for callws, key := range map[string]string{"[store]\ndriver = \"oracle\"": "store.driver", callwsOn + "colour = 1": "colour"} {
		p := start(t, "127.0.0.1:1", nil, callws)
		<-p.ended
		if code, log := p.ProcessState.ExitCode(), p.log.String(); code != 2 || strings.Count(log, "\n") != 1 || !strings.Contains(log, key) {
			t.Errorf("exit code %d, %q", code, log)
		}
	}
}

// tally counts the final answers of each call.
type tally struct {
	mu      sync.Mutex
	answers map[string][]string
}

func (a *tally) add(id, answer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers[id] = append(a.answers[id], answer)
}

// The operators' fear is a second path that keeps looser promises than the first. SIP and WebSocket callers call
// through one program, to a SIP office and a WebSocket office, while the processors slow down for a while; some
// sockets close mid-set-up and the calls are sent again. Each call gets exactly one answer, and no call has two
// attempts out.
func TestMixedCallersDuringASlowdown(t *testing.T) {
	const callers, calls = 6, 40
	ledger := newLedger()
	one, two := newProcessor(ledger, "sip"), newProcessor(ledger, "ws")
	p := start(t, newJournal(t), []string{sipOffice(t, one), wsOffice(t, two)}, callwsOn)
	got := &tally{answers: map[string][]string{}}
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() { sipCaller(t, p, c, calls, got) })
		wg.Go(func() { wsCaller(t, p, c, calls, got) })
	}
	time.Sleep(150 * time.Millisecond)
	one.setSlow(true)
	two.setSlow(true)
	time.Sleep(400 * time.Millisecond)
	one.setSlow(false)
	wg.Wait()
	p.stop()

	stood := 0
	for c := range callers {
		for k := range calls {
			for _, id := range []string{sipID(c, k), wsID(c, k)} {
				if a := got.answers[id]; len(a) != 1 {
					t.Errorf("call %s got the answers %q", id, a)
				} else if a[0] == "stands" {
					stood++
				}
			}
		}
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for id, at := range ledger.overlaps {
		// The cancel may have been read after the next office had the next attempt.
		if !ledger.cancelled[id+" "+at] {
			t.Errorf("call %s had a second attempt out, the first at %s", id, at)
		}
	}
	if stood == 0 || stood == 2*callers*calls || ledger.attempts < stood {
		t.Errorf("%d of %d calls stood with %d attempts: no slowdown to speak of", stood, 2*callers*calls, ledger.attempts)
	}
	t.Logf("%d of %d calls stood, %d attempts, %d cancels", stood, 2*callers*calls, ledger.attempts, len(ledger.cancelled))
}

func sipID(caller, call int) string { return fmt.Sprintf("%08x%08x", 0xa0+caller, call) }
func wsID(caller, call int) string  { return fmt.Sprintf("ws-%d-%d", caller, call) }

// sipCaller makes calls over one connection and takes all answers.
func sipCaller(t *testing.T, p *program, c, calls int, got *tally) {
	caller := dial(t, p.sip)
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; n < calls; {
			m, err := caller.Next()
			if err != nil {
				t.Errorf("caller %d: %v after %d answers", c, err, n)
				return
			}
			if m.Status == 0 {
				continue // a release
			}
			n++
			id, answer := string(m.Get("Call-ID")), "refused"
			if m.Status == 200 {
				if answer = "stands"; string(m.Body) != "log of "+id {
					answer = "stands with " + string(m.Body)
				}
			}
			got.add(id, answer)
		}
	})
	for k := range calls {
		caller.write(invite(sipID(c, k), fmt.Sprintf("X-Patience: 8000\r\nX-Facts: dest:%d\r\n", k%2)))
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
}

// wsCaller makes calls over WebSocket. Half-way it loses its socket, comes back, and sends again what has no
// answer.
func wsCaller(t *testing.T, p *program, c, calls int, got *tally) {
	open := func() *websocket.Conn {
		ws, _, err := websocket.Dial(t.Context(), "ws://"+p.callws+"/v1/calls", &websocket.DialOptions{
			HTTPHeader: http.Header{"Authorization": {"Bearer a token of sixteen"}}})
		if err != nil {
			t.Error(err)
			return nil
		}
		return ws
	}
	call := func(ws *websocket.Conn, k int) {
		b, _ := json.Marshal(map[string]any{"type": "call", "id": wsID(c, k), "class": "open-log", "number": "17",
			"patience_ms": 8000, "first_choice": k % 2, "description": "offer"})
		if err := ws.Write(t.Context(), websocket.MessageText, b); err != nil {
			t.Error(err)
		}
	}
	answered := map[string]bool{}
	// read takes answers until so many calls have theirs.
	read := func(ws *websocket.Conn, n int) {
		for len(answered) < n {
			_, data, err := ws.Read(t.Context())
			var m struct{ Type, ID, Description string }
			if err != nil || json.Unmarshal(data, &m) != nil {
				t.Errorf("caller %d: %s, %v after %d answers", c, data, err, len(answered))
				return
			}
			if m.Type == "released" {
				continue
			}
			if m.Type == "stands" && m.Description != "log of "+callws.Key("station-7", m.ID) {
				m.Type += " with " + m.Description
			}
			answered[m.ID] = true
			got.add(m.ID, m.Type)
		}
	}
	ws := open()
	for k := range calls {
		if k == calls/2 {
			read(ws, k/2)
			ws.CloseNow()
			ws = open()
			for again := range k {
				if !answered[wsID(c, again)] {
					call(ws, again)
				}
			}
		}
		call(ws, k)
		time.Sleep(10 * time.Millisecond)
	}
	read(ws, calls)
	ws.CloseNow()
}
