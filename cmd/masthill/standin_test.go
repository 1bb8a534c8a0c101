package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/coder/websocket"

	"masthill/internal/netcase"
	"masthill/internal/sip"
)

// The program under test is this test binary itself, started with MASTHILL_TEST_RUN set.
func TestMain(m *testing.M) {
	if os.Getenv("MASTHILL_TEST_RUN") != "" {
		if len(os.Args) > 1 && os.Args[1] == "launch" {
			waitForFile(os.Getenv(launchGate))
		}
		main()
		return
	}
	os.Exit(m.Run())
}

const platformSettings = `{"group_size":1,"discovery":"pushed","extra":{"class_cells":[[0,1]],"clear_wait_ns":300000000,` +
	`"this_node":-1,"topology":"groups"},"grades":[{"name":"open-log","aim_ns":1200000000,"deadline_ns":9000000000,` +
	`"effect":"free","late_value":0.25,"worth":1.0}],"limits":{"max_attempts":4,"may_cancel":true,"retry_after":true,` +
	`"max_retry_after_ns":2000000000,"connect_timeout_ns":500000000},"tenants":[{"name":"acme"}],` +
	`"feedback":{"fields":["spare","total","cpu","waiting"]},"resolution_ns":5000000,"rules":{"cold_from":0.31,` +
	`"cold_ns":15000000000,"drain_grace_ns":1000000000,"fall_multiple":2.0,"fall_ns":1000000000}}`

// newJournal is a fake journal service that sends a comment every 50 ms and no events.
func newJournal(t *testing.T) string {
	return netcase.ServeHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil && t.Context().Err() == nil {
			fmt.Fprint(w, ":\n\n")
			w.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// program is one run of masthill.
type program struct {
	*exec.Cmd
	t            *testing.T
	sip, callws  string // addresses that it listens at
	config       string // path of the platform's file
	mu           sync.Mutex
	log          strings.Builder
	ready, ended chan struct{}
}

// configuration is the text of the platform's file. offices are addresses; each gets a cell, in their order.
func configuration(journal string, offices []string) string {
	var servers []string
	for k, addr := range offices {
		servers = append(servers, fmt.Sprintf(`{"id":"s-%08x","addr":"%s","cell":%d,"state":"SERVING","weight":1}`, 10+k, addr, k))
	}
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,`+
		`"sockets":1024},"journal":"%s","known":{"pos":1,"entries":[{"pos":1,"hosts":{"version":1,"full":true,"servers":[%s]}}]},`+
		`"settings":%s}`, journal, strings.Join(servers, ","), platformSettings)
}

// start starts the program with a configuration for offices, and waits until it is ready or has ended. callws is the
// text of the operators' settings.
func start(t *testing.T, journal string, offices []string, callws string) *program {
	t.Helper()
	return startWith(t, configuration(journal, offices), callws)
}

// startWith does the same with the text of the platform's file.
func startWith(t *testing.T, platformText, settingsText string) *program {
	t.Helper()
	dir := t.TempDir()
	file, settingsFile := filepath.Join(dir, "config.json"), filepath.Join(dir, "callws.toml")
	for name, text := range map[string]string{file: platformText, settingsFile: settingsText} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	p := &program{Cmd: exec.Command(os.Args[0]), config: file, t: t, ready: make(chan struct{}), ended: make(chan struct{})}
	p.Env = append(os.Environ(), "MASTHILL_TEST_RUN=1", "PROXY_CONFIG="+file, "MASTHILL_SETTINGS="+settingsFile)
	p.Stderr = p
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.Wait(); close(p.ended) }()
	t.Cleanup(func() {
		p.Process.Kill()
		<-p.ended
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Log(p.log.String())
		}
	})
	select {
	case <-p.ready:
	case <-p.ended:
	}
	return p
}

// Write receives the program's log, and reads from it the addresses that the program listens at.
func (p *program) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.Write(b)
	for line := range strings.Lines(string(b)) {
		_, addr, _ := strings.Cut(line, "listen=")
		addr, _, _ = strings.Cut(strings.TrimSpace(addr), " ")
		if strings.Contains(line, `msg="serving call control"`) {
			p.callws = addr
		} else if strings.Contains(line, "msg=serving") {
			p.sip = addr
			close(p.ready)
		}
	}
	return len(b), nil
}

// reload changes the platform's file and has the program read it again.
func (p *program) reload(change func(text string) string) {
	p.t.Helper()
	text, err := os.ReadFile(p.config)
	if err == nil {
		err = os.WriteFile(p.config, []byte(change(string(text))), 0o600)
	}
	if err == nil {
		err = p.Process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		p.t.Fatal(err)
	}
}

// stop ends the program as the platform does, and checks that its exit code is 0.
func (p *program) stop() {
	p.t.Helper()
	p.Process.Signal(syscall.SIGTERM)
	<-p.ended
	if code := p.ProcessState.ExitCode(); code != 0 {
		p.t.Errorf("exit code %d", code)
	}
}

// callerConn is a caller's SIP connection.
type callerConn struct {
	net.Conn
	*sip.Reader
	t *testing.T
}

func dial(t *testing.T, addr string) *callerConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &callerConn{c, sip.NewReader(c), t}
}

func invite(id, extraHeaders string) string {
	return "INVITE sip:17@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + id + "\r\nCSeq: 1 INVITE\r\n" +
		"Subject: open-log\r\n" + extraHeaders + "Content-Length: 5\r\n\r\noffer"
}

func (p *callerConn) write(text string) {
	if _, err := io.WriteString(p.Conn, text); err != nil {
		p.t.Error(err)
	}
}

// expect reads the next message and checks its status and method.
func (p *callerConn) expect(status int, method string) *sip.Message {
	p.t.Helper()
	m, err := p.Next()
	if err != nil || m.Status != status || string(m.Method) != method {
		p.t.Errorf("got %+v, %v, want %d%s", m, err, status, method)
		return &sip.Message{}
	}
	return m
}

// processor handles the set-ups of a fake office, one at a time. It can be made slow, and refuses set-ups when maxQueue
// of them wait. It records what callers cannot see: two open attempts of the same call.
type processor struct {
	*attemptLog
	name             string
	processing       sync.Mutex
	mu               sync.Mutex
	waiting          int
	slow             bool
	abandoned        map[string]bool // calls canceled while they waited
	releaseOnConnect string          // a call set up earlier, released on the next connection; empty: none
}

// attemptLog records the attempts at all fake offices of a test.
type attemptLog struct {
	mu           sync.Mutex
	openAttempts map[string]string // by call: the office where its attempt is open
	overlaps     map[string]string // by call that was sent while an attempt was open: the office of that attempt
	canceled     map[string]bool   // by call and office
	attempts     int
}

func newAttemptLog() *attemptLog {
	return &attemptLog{openAttempts: map[string]string{}, overlaps: map[string]string{}, canceled: map[string]bool{}}
}

const maxQueue = 12

// setup queues a set-up, which is answered by accept or refuse. It returns at once.
func (p *processor) setup(id string, accept, refuse func()) {
	p.attemptLog.mu.Lock()
	p.attempts++
	if at, ok := p.openAttempts[id]; ok {
		p.overlaps[id] = at
	}
	p.openAttempts[id] = p.name
	p.attemptLog.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.abandoned, id)
	if p.waiting >= maxQueue {
		p.ended(id)
		refuse()
		return
	}
	p.waiting++
	go func() {
		p.processing.Lock()
		defer p.processing.Unlock()
		p.mu.Lock()
		work := time.Millisecond
		if p.slow {
			work = 60 * time.Millisecond
		}
		p.mu.Unlock()
		time.Sleep(work)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.waiting--
		if p.abandoned[id] {
			return
		}
		p.ended(id)
		accept()
	}()
}

func (p *processor) ended(id string) {
	p.attemptLog.mu.Lock()
	defer p.attemptLog.mu.Unlock()
	delete(p.openAttempts, id)
}

func (p *processor) cancel(id string) {
	p.mu.Lock()
	p.abandoned[id] = true
	p.mu.Unlock()
	p.attemptLog.mu.Lock()
	defer p.attemptLog.mu.Unlock()
	delete(p.openAttempts, id)
	p.canceled[id+" "+p.name] = true
}

func (p *processor) setSlow(slow bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = slow
}

func newProcessor(l *attemptLog, name string) *processor {
	return &processor{attemptLog: l, name: name, abandoned: map[string]bool{}}
}

// sipOffice is a fake office that speaks the platform's protocol.
func sipOffice(t *testing.T, p *processor) string {
	return netcase.ServeConns(t, func(c net.Conn) {
		var mu sync.Mutex
		write := func(text string) {
			mu.Lock()
			defer mu.Unlock()
			io.WriteString(c, text)
		}
		write("NOTIFY sip:x@net SIP/2.0\r\nX-State: x0:100;x1:100\r\nContent-Length: 0\r\n\r\n")
		if p.releaseOnConnect != "" {
			write("BYE sip:x@net SIP/2.0\r\nCall-ID: " + p.releaseOnConnect + "\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\n" +
				"Content-Length: 0\r\n\r\n")
		}
		for r := sip.NewReader(c); ; {
			m, err := r.Next()
			if err != nil {
				return
			}
			id := string(m.Get("Call-ID"))
			head := "Call-ID: " + id + "\r\nCSeq: 1 INVITE\r\n"
			switch string(m.Method) {
			case "INVITE":
				p.setup(id, func() {
					desc := "log of " + id
					write(fmt.Sprintf("SIP/2.0 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(desc), desc))
				}, func() {
					write("SIP/2.0 503 Full\r\n" + head + "X-Note: cpu_full\r\nX-Delay: 250\r\nContent-Length: 0\r\n\r\n")
				})
			case "CANCEL":
				p.cancel(id)
			}
		}
	})
}

// wsOffice is a fake office that speaks call control over WebSocket.
func wsOffice(t *testing.T, p *processor) string {
	return "ws://" + netcase.ServeHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{"callserver.v1"}})
		if err != nil {
			return
		}
		defer ws.CloseNow()
		write := func(v map[string]any) {
			b, _ := json.Marshal(v)
			ws.Write(t.Context(), websocket.MessageText, b)
		}
		write(map[string]any{"type": "state", "state": map[string]float64{"x0": 100, "x1": 100}})
		for {
			_, data, err := ws.Read(t.Context())
			var m struct{ Type, Call string }
			if err != nil || json.Unmarshal(data, &m) != nil {
				return
			}
			switch m.Type {
			case "setup":
				p.setup(m.Call, func() {
					write(map[string]any{"type": "accept", "call": m.Call, "description": "log of " + m.Call})
				}, func() {
					write(map[string]any{"type": "refuse", "call": m.Call, "reason": "full", "note": "cpu_full", "wait_ms": 250})
				})
			case "cancel":
				p.cancel(m.Call)
			}
		}
	})
}
