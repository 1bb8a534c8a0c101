package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/coder/websocket"

	"masthill/internal/callws"
	"masthill/internal/netcase"
)

const callWSSettings = `[callws]
listen = "127.0.0.1:0"
[callws.callers]
station-7 = "a token of sixteen"
`

const optionsRequest = "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"

func TestServeEndAndRestart(t *testing.T) {
	ledger, feed := newAttemptLog(), newJournal(t)
	office := newProcessor(ledger, "office")
	p := start(t, feed, []string{sipOffice(t, office)}, "")
	caller := dial(t, p.sip)
	caller.write(optionsRequest)
	caller.expect(200, "")
	caller.write(invite("0000000000000001", "X-Patience: 60000\r\n"))
	if m := caller.expect(200, ""); string(m.Body) != "log of 0000000000000001" {
		t.Errorf("description %q", m.Body)
	}
	caller.write("INVITE sip:17@net SIP/2.0\r\nCall-ID: short\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n")
	caller.expect(400, "")

	// In a graceful shutdown, calls that were taken are answered, and so are those that still arrive on an open
	// connection.
	late := dial(t, p.sip)
	office.processing.Lock() // nothing is answered before the shutdown has begun
	caller.write(invite("0000000000000002", "X-Patience: 60000\r\n"))
	p.Process.Signal(syscall.SIGTERM)
	for status := 0; status != 503; {
		late.write(optionsRequest)
		m, err := late.Next()
		if err != nil {
			t.Fatal(err)
		}
		status = m.Status
	}
	late.write(invite("0000000000000003", "X-Patience: 60000\r\n"))
	office.processing.Unlock()
	caller.expect(200, "")
	late.expect(200, "")
	p.stop()

	// A restarted program knows nothing but the configuration. It still passes on the release of a call that was set up
	// before, because the caller still holds the call, and it takes new calls. The release goes to a caller, and not to a
	// client that has only connected.
	office = newProcessor(ledger, "office")
	office.releaseOnConnect = "0000000000000001"
	p = start(t, feed, []string{sipOffice(t, office)}, "")
	silent := dial(t, p.sip)
	caller = dial(t, p.sip)
	caller.write(invite("0000000000000004", "X-Patience: 60000\r\n"))
	if m := caller.expect(0, "BYE"); string(m.Get("Call-ID")) != "0000000000000001" {
		t.Errorf("release %+v", m)
	}
	caller.expect(200, "")
	silent.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if m, err := silent.Next(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a client without a call received %+v, %v", m, err)
	}
	caller.write("garbage\r\n\r\n")
	caller.expect(400, "")
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

// SIGHUP does not end the program but has it read the configuration again. The journal client moves to the new address
// and goes on from its position, an open call and its connection stay, and a bad file changes nothing.
func TestNewConfiguration(t *testing.T) {
	asked := make(chan string, 10)
	second := netcase.ServeHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		asked <- r.Header.Get("Last-Event-ID")
		<-r.Context().Done()
	})
	ledger, first := newAttemptLog(), newJournal(t)
	office := newProcessor(ledger, "office")
	p := start(t, first, []string{sipOffice(t, office)}, "")
	caller := dial(t, p.sip)
	office.processing.Lock()
	caller.write(invite("0000000000000001", "X-Patience: 60000\r\n"))
	p.reload(func(string) string { return "{" })
	for kept := false; !kept; { // so that the second signal does not merge with the first
		time.Sleep(time.Millisecond)
		p.mu.Lock()
		kept = strings.Contains(p.log.String(), `msg="configuration kept"`)
		p.mu.Unlock()
	}
	p.reload(func(string) string { return configuration(second, nil) })
	if pos := <-asked; pos != "1" {
		t.Errorf("the new service was asked for events after position %s", pos)
	}
	office.processing.Unlock()
	caller.expect(200, "")
	p.stop()
}

func TestBadConfigurationExitCode(t *testing.T) {
	for callws, key := range map[string]string{"[store]\ndriver = \"oracle\"": "store.driver", callWSSettings + "colour = 1": "colour"} {
		p := start(t, "127.0.0.1:1", nil, callws)
		<-p.ended
		if code, log := p.ProcessState.ExitCode(), p.log.String(); code != 2 || strings.Count(log, "\n") != 1 || !strings.Contains(log, key) {
			t.Errorf("exit code %d, %q", code, log)
		}
	}
}

// answerLog records the final answers to each call.
type answerLog struct {
	mu      sync.Mutex
	answers map[string][]string
}

func (a *answerLog) add(id, answer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers[id] = append(a.answers[id], answer)
}

// Guards against one of the two protocols giving weaker guarantees than the other. SIP and WebSocket callers call
// through one program, to a SIP office and a WebSocket office, while the offices slow down for a while; some sockets
// close in the middle of a set-up and the calls are sent again. Each call gets exactly one answer, and no call has two
// attempts open.
func TestMixedCallersDuringASlowdown(t *testing.T) {
	const callers, calls = 6, 40
	ledger := newAttemptLog()
	one, two := newProcessor(ledger, "sip"), newProcessor(ledger, "ws")
	p := start(t, newJournal(t), []string{sipOffice(t, one), wsOffice(t, two)}, callWSSettings)
	got := &answerLog{answers: map[string][]string{}}
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

	accepted := 0
	for c := range callers {
		for k := range calls {
			for _, id := range []string{sipID(c, k), wsID(c, k)} {
				if a := got.answers[id]; len(a) != 1 {
					t.Errorf("call %s got the answers %q", id, a)
				} else if a[0] == "stands" {
					accepted++
				}
			}
		}
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for id, at := range ledger.overlaps {
		// The office may have read the cancel after the next office got the next attempt.
		if !ledger.canceled[id+" "+at] {
			t.Errorf("call %s had a second attempt open, the first at %s", id, at)
		}
	}
	if accepted == 0 || accepted == 2*callers*calls || ledger.attempts < accepted {
		t.Errorf("%d of %d calls accepted with %d attempts: the slowdown had no effect", accepted, 2*callers*calls, ledger.attempts)
	}
	t.Logf("%d of %d calls accepted, %d attempts, %d cancels", accepted, 2*callers*calls, ledger.attempts, len(ledger.canceled))
}

func sipID(caller, call int) string { return fmt.Sprintf("%08x%08x", 0xa0+caller, call) }
func wsID(caller, call int) string  { return fmt.Sprintf("ws-%d-%d", caller, call) }

// sipCaller makes calls over one connection and records all answers.
func sipCaller(t *testing.T, p *program, c, calls int, got *answerLog) {
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

// wsCaller makes calls over WebSocket. Half-way it closes its socket, connects again, and sends the unanswered calls
// again.
func wsCaller(t *testing.T, p *program, c, calls int, got *answerLog) {
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
	// read records answers until n calls are answered.
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
