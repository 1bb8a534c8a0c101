package callws

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"pgregory.net/rapid"

	"masthill/internal/exchange"
	"masthill/internal/netcase"
	"masthill/internal/office"
	"masthill/internal/sip"
)

const token = "a token of sixteen"

// fakeCore stands in for the exchange and records what the front passes to it. Tests give the answers themselves.
type fakeCore struct {
	mu       sync.Mutex
	events   chan string
	calls    map[string]exchange.Setup
	notReady atomic.Bool // the readiness test fails
}

func (c *fakeCore) Submit(s exchange.Setup, _ exchange.Caller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[s.ID] = s
	c.events <- "submit " + s.ID
}
func (c *fakeCore) GiveUp(id, owner string, _ exchange.Caller) {
	c.events <- "give up " + id + " " + owner
}
func (c *fakeCore) HangUp(id, owner string) { c.events <- "hang up " + id + " " + owner }
func (c *fakeCore) CallerDisconnected(id, owner string) {
	c.events <- "disconnected " + id + " " + owner
}

type fixture struct {
	*fakeCore
	*Front
	t    *testing.T
	addr string
}

func newFixture(t *testing.T, maxConnections int, resume ...time.Duration) *fixture {
	f := &fixture{fakeCore: &fakeCore{events: make(chan string, 1000), calls: map[string]exchange.Setup{}}, t: t}
	f.Front = New(Options{Core: f.fakeCore, Log: netcase.DiscardLogger(), Ready: func() bool { return !f.notReady.Load() }, MaxConnections: maxConnections, Callers: map[string]string{"station-7": token},
		Names: exchange.Names{Classes: []exchange.Class{{Name: "open-log", Deadline: 9 * time.Second}}, Tenants: []string{"acme"}}})
	f.resume = time.Hour // long enough to reconnect on the slowest machine
	for _, r := range resume {
		f.resume = r
	}
	f.addr = netcase.Serve(t, f.Serve)
	return f
}

func (f *fixture) dial(token string) (*websocket.Conn, error) {
	ws, _, err := websocket.Dial(f.t.Context(), "ws://"+f.addr+"/v1/calls", &websocket.DialOptions{
		Subprotocols: []string{protocol}, HTTPHeader: http.Header{"Authorization": {"Bearer " + token}}})
	return ws, err
}

func (f *fixture) open() *websocket.Conn {
	f.t.Helper()
	ws, err := f.dial(token)
	if err != nil {
		f.t.Fatal(err)
	}
	return ws
}

func (f *fixture) write(ws *websocket.Conn, text string) {
	f.t.Helper()
	if err := ws.Write(f.t.Context(), websocket.MessageText, []byte(text)); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) read(ws *websocket.Conn, want string) {
	f.t.Helper()
	if _, got, err := ws.Read(f.t.Context()); err != nil || string(got) != want {
		f.t.Errorf("read %s, %v, want %s", got, err, want)
	}
}

func (f *fixture) expect(want string) {
	f.t.Helper()
	if got := <-f.events; got != want {
		f.t.Errorf("event %q, want %q", got, want)
	}
}

const setup = `{"type":"call","id":"c1","class":"open-log","tenant":"acme","number":"17","patience_ms":3000,` +
	`"first_choice":1,"description":"offer","unknown":[1]}`

var key = Key("station-7", "c1")

func TestACallOverWebSocket(t *testing.T) {
	f := newFixture(t, 10)
	ws := f.open()
	f.write(ws, setup)
	f.expect("submit " + key)
	s := f.fakeCore.calls[key]
	if string(s.Description) != "offer" || s.FirstChoice != 1 || s.Owner != "ws/station-7" || s.ExpiresAt.Sub(s.ReceivedAt) != 3*time.Second {
		t.Errorf("set-up %+v", s)
	}
	f.Answer(key, exchange.FinalAnswer{Kind: exchange.Established, Description: []byte("log\r\n")})
	f.read(ws, `{"type":"stands","id":"c1","description":"log\r\n"}`)
	f.Release(key, true)
	f.read(ws, `{"type":"released","id":"c1","cut":true}`)
	f.write(ws, setup)
	f.expect("submit " + key)
	f.Answer(key, exchange.FinalAnswer{Kind: exchange.Refused, RetryAfter: 1500 * time.Millisecond})
	f.read(ws, `{"type":"refused","id":"c1","later_ms":1500}`)
	f.Answer(key, exchange.FinalAnswer{Kind: exchange.Failed}) // a second answer is not sent
	f.write(ws, `{"type":"hangup","id":"c1"}`)
	f.read(ws, `{"type":"error","id":"c1","code":481,"text":"no such call"}`)
	f.write(ws, setup)
	f.expect("submit " + key)
	f.write(ws, `{"type":"cancel","id":"c1"}`)
	f.expect("give up " + key + " ws/station-7")
	f.Front.mu.Lock()
	if n := len(f.Front.calls); n != 0 {
		t.Errorf("%d calls are still known", n)
	}
	f.Front.mu.Unlock()
	f.Refuse() // during shutdown the front refuses new calls
	f.write(ws, setup)
	f.read(ws, `{"type":"error","id":"c1","code":503,"text":"the instance ends"}`)
	ended := make(chan bool)
	go func() { f.Shutdown(t.Context()); close(ended) }()
	if _, _, err := ws.Read(t.Context()); websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("close by Shutdown: %v", err)
	}
	<-ended
	if len(f.events) != 0 {
		t.Errorf("unexpected event %s", <-f.events)
	}
}

func TestInvalidRequests(t *testing.T) {
	f := newFixture(t, 10)
	ws := f.open()
	for in, want := range map[string]string{
		`{"type":"call","id":""}`:                                                             `{"type":"error","code":400,"text":"id: empty or over 128 bytes"}`,
		`{"type":"dance","id":"x"}`:                                                           `{"type":"error","id":"x","code":400,"text":"type: unknown"}`,
		`{"type":"call","id":"x"}`:                                                            `{"type":"error","id":"x","code":400,"text":"number: empty"}`,
		`{"type":"call","id":"x","number":"1","class":"no"}`:                                  `{"type":"error","id":"x","code":400,"text":"unknown class \"no\""}`,
		`{"type":"call","id":"x","number":"1","class":"open-log","tenant":"no"}`:              `{"type":"error","id":"x","code":400,"text":"unknown tenant \"no\""}`,
		`{"type":"call","id":"x","number":"1","class":"open-log","patience_ms":-5}`:           `{"type":"error","id":"x","code":400,"text":"patience is no time between 1 ms and a day"}`,
		`{"type":"call","id":"x","number":"1\r\nX: 1","class":"open-log","patience_ms":1000}`: `{"type":"error","id":"x","code":400,"text":"number is too long, or no visible ASCII"}`,
	} {
		f.write(ws, in)
		f.read(ws, want)
	}
	f.write(ws, "{")
	if _, _, err := ws.Read(t.Context()); websocket.CloseStatus(err) != websocket.StatusInvalidFramePayloadData {
		t.Errorf("unreadable message: %v", err)
	}
}

func TestAuthenticationReadinessAndLimit(t *testing.T) {
	f := newFixture(t, 2)
	if _, err := f.dial("another token of sixteen"); err == nil || !strings.Contains(err.Error(), "401") {
		t.Errorf("unknown token: %v", err)
	}
	http.DefaultClient.CloseIdleConnections()
	ready, err := http.Get("http://" + f.addr + "/v1/ready")
	if err != nil || ready.StatusCode != 200 {
		t.Errorf("ready: %v, %v", ready, err)
	}
	f.notReady.Store(true)
	ready, err = http.Get("http://" + f.addr + "/v1/ready")
	if err != nil || ready.StatusCode != 503 {
		t.Errorf("ready while ending: %v, %v", ready, err)
	}
	http.DefaultClient.CloseIdleConnections()
	for n := 0; ; n++ {
		if _, err := f.dial(token); err != nil {
			break
		}
		if n == 2 {
			t.Fatal("opened a third socket with a limit of two")
		}
	}
}

// A connection that has been claimed for a socket is never evicted, and one that has been evicted can't become a socket.
// Without the claim before the 101 response, callers that had read the response were evicted.
func TestClaimedConnectionIsNotEvicted(t *testing.T) {
	l := &boundedListener{limit: 1, open: map[*trackedConn]bool{}}
	pipe := func() net.Conn { c, _ := net.Pipe(); return c }
	first := l.admit(pipe()).(*trackedConn)
	if !first.claim() || l.admit(pipe()) != nil {
		t.Fatal("a claimed connection was evicted")
	}
	first.unclaim()
	if l.admit(pipe()) == nil || first.claim() {
		t.Fatal("a connection whose upgrade failed was not evicted, or an evicted connection became a socket")
	}
}

// Guards against memory that a few hundred clients can take: the fields of a head that never ended took some twenty times
// their bytes. Heads within the limit, one after the other or with a body behind them, are served.
func TestHeadsWithManyFieldsAreRefused(t *testing.T) {
	f := newFixture(t, 10)
	head := func(fields int) string {
		return "GET /v1/ready HTTP/1.1\r\nHost: n0\r\n" + strings.Repeat("a:\r\n", fields-1)
	}
	for _, tc := range []struct {
		name, request string
		want          string // the statuses of the responses
	}{
		{"many, without an end", head(maxHeadFields + 1), "400;"},
		{"many", head(maxHeadFields+1) + "\r\n", "400;"},
		{"two requests within the limit", head(maxHeadFields) + "\r\n" + head(maxHeadFields-1) + "Connection: close\r\n\r\n", "200;200;"},
	} {
		c, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(headerTimeout - time.Second)) // or it was refused as too slow
		io.WriteString(c, tc.request)
		text, err := io.ReadAll(c)
		got := ""
		for _, part := range strings.Split(string(text), "HTTP/1.1 ")[1:] {
			got += part[:3] + ";"
		}
		if got != tc.want {
			t.Errorf("%s: statuses %s, %v, want %s", tc.name, got, err, tc.want)
		}
	}
	ws := f.open()
	f.write(ws, strings.Replace(setup, `"offer"`, `"`+strings.Repeat("\\n", 2*maxHeadFields)+`"`+strings.Repeat("\n", 2*maxHeadFields), 1))
	f.expect("submit " + key) // line ends of messages do not count
}

// Guards against a lost caller: a connection whose handshake had not been read yet, or only in part, was evicted while newer
// ones that had sent nothing stayed open.
func TestReceivingConnectionIsEvictedLast(t *testing.T) {
	l := &boundedListener{limit: 3, open: map[*trackedConn]bool{}}
	admit := func() (*trackedConn, net.Conn) {
		accepted, peer := netcase.TCPPair(t)
		return l.admit(accepted).(*trackedConn), peer
	}
	unread, peer := admit()
	io.WriteString(peer, "GET ")
	for !unread.in.HasUnread() {
		time.Sleep(time.Millisecond)
	}
	inPart, peer := admit()
	io.WriteString(peer, "GET ")
	if _, err := inPart.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	silent, _ := admit()
	for n, want := range []*trackedConn{silent, inPart, unread} {
		l.setLimit(2 - n)
		if !want.evicted || len(l.open) != 2-n {
			t.Errorf("eviction %d ended another connection than expected", n+1)
		}
	}
}

// When a socket closes during set-up, its call is kept for a while: a set-up that is sent again after a reconnect joins
// it, and otherwise the call is given up. A release without a socket is sent on the caller's next one.
func TestSocketClosesMidSetUp(t *testing.T) {
	f := newFixture(t, 10)
	ws := f.open()
	f.write(ws, setup)
	f.expect("submit " + key)
	ws.CloseNow()
	f.expect("disconnected " + key + " ws/station-7")
	ws = f.open()
	f.write(ws, setup)
	f.expect("submit " + key)
	f.Answer(key, exchange.FinalAnswer{Kind: exchange.Established})
	f.read(ws, `{"type":"stands","id":"c1"}`)
	ws.CloseNow()
	for f.openSockets() > 0 { // until the front has seen the close
		time.Sleep(time.Millisecond)
	}
	f.Release(key, false)
	ws = f.open()
	f.read(ws, `{"type":"released","id":"c1","cut":false}`)

	f = newFixture(t, 10, 0)
	ws = f.open()
	f.write(ws, setup)
	f.expect("submit " + key)
	ws.CloseNow()
	f.expect("disconnected " + key + " ws/station-7")
	f.expect("give up " + key + " ws/station-7")
}

// A call with the id of an open call but another description is refused: if it joined the open call, it would get the
// answer to that call's description.
func TestCallIDReusedWithAnotherDescription(t *testing.T) {
	f := newFixture(t, 10)
	ws := f.open()
	f.write(ws, setup)
	f.expect("submit " + key)
	f.write(ws, strings.Replace(setup, "offer", "another", 1))
	f.read(ws, `{"type":"error","id":"c1","code":482,"text":"id of another call"}`)
	f.Answer(key, exchange.FinalAnswer{Kind: exchange.Established})
	f.read(ws, `{"type":"stands","id":"c1"}`)
}

// Connections that send nothing are evicted in favor of sockets, and the unanswered calls of one socket are limited.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	f := newFixture(t, 2)
	ws := f.open()
	for range 5 {
		if _, err := net.Dial("tcp", f.addr); err != nil {
			t.Fatal(err)
		}
	}
	f.open()
	f.write(ws, setup)
	f.expect("submit " + key)
	for n := range maxOpenCalls {
		f.write(ws, strings.Replace(setup, `"c1"`, fmt.Sprintf(`"d%d"`, n), 1))
	}
	f.read(ws, fmt.Sprintf(`{"type":"error","id":"d%d","code":503,"text":"too many calls"}`, maxOpenCalls-1))
	f.Answer(key, exchange.FinalAnswer{Kind: exchange.Failed})
	f.read(ws, `{"type":"failed","id":"c1"}`)
	f.write(ws, setup)
	f.write(ws, `{"type":"cancel","id":"c1"}`)
	for event := ""; event != "give up "+key+" ws/station-7"; {
		event = <-f.events
	}
}

// In a drain, sockets without open calls are closed, those with one once it is refused or over, and new ones are served.
// Guards against a lost release: a socket was closed although its call was established, and its caller was sent elsewhere.
func TestDrain(t *testing.T) {
	f := newFixture(t, 10)
	idle, busy := f.open(), f.open()
	f.write(idle, strings.Replace(setup, "c1", "c0", 1))
	f.expect("submit " + Key("station-7", "c0"))
	f.Answer(Key("station-7", "c0"), exchange.FinalAnswer{Kind: exchange.Refused})
	f.read(idle, `{"type":"refused","id":"c0"}`)
	f.write(busy, setup)
	f.expect("submit " + key)
	f.Drain(0)
	if _, _, err := idle.Read(t.Context()); websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("an idle socket: %v", err)
	}
	fresh := f.open()
	f.write(fresh, strings.Replace(setup, "c1", "c2", 1))
	f.expect("submit " + Key("station-7", "c2"))
	f.Answer(Key("station-7", "c2"), exchange.FinalAnswer{Kind: exchange.Refused})
	f.read(fresh, `{"type":"refused","id":"c2"}`)
	f.Answer(key, exchange.FinalAnswer{Kind: exchange.Established})
	f.read(busy, `{"type":"stands","id":"c1"}`)
	if _, _, err := fresh.Read(t.Context()); websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("after the answer: %v", err)
	}
	time.Sleep(2 * sweepInterval) // closeDrained has seen the established call
	f.Release(key, false)
	f.read(busy, `{"type":"released","id":"c1","cut":false}`)
	if _, _, err := busy.Read(t.Context()); websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("after the release: %v", err)
	}
	f.Resume()
	kept := f.open()
	f.write(kept, setup)
	f.expect("submit " + key)
}

// openSockets returns the number of sockets that the front has.
func (f *fixture) openSockets() int {
	f.Front.mu.Lock()
	defer f.Front.mu.Unlock()
	return len(f.sockets)
}

// recordingHandler records the messages that a connection to a server delivers.
type recordingHandler struct{ lines chan string }

func (h recordingHandler) Accepted(id string, desc []byte) {
	h.lines <- "accepted " + id + " " + string(desc)
}
func (h recordingHandler) Ended(id string, e exchange.Result) { h.line("ended "+id, e) }
func (h recordingHandler) Released(id string, cut bool, r []float64) {
	h.line("released "+id, []any{cut, r})
}
func (h recordingHandler) State(r []float64) { h.line("state", r) }
func (h recordingHandler) line(what string, v any) {
	b, _ := json.Marshal(v)
	h.lines <- what + " " + string(b)
}

// serveServer serves the protocol for servers, and returns its address and the sockets that are opened.
func serveServer(t *testing.T) (addr string, sockets chan *websocket.Conn) {
	sockets = make(chan *websocket.Conn, 1)
	return netcase.ServeHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{serverProtocol}})
		if err != nil {
			t.Error(err)
			return
		}
		sockets <- ws
	}), sockets
}

func TestServerConnection(t *testing.T) {
	addr, got := serveServer(t)
	peer, err := Dial(office.Fields{"spare", "cpu"})(t.Context(), "ws://"+addr)
	if err != nil {
		t.Fatal(err)
	}
	ws, h := <-got, recordingHandler{make(chan string, 20)}
	ended := make(chan string, 1)
	go func() {
		reason, _ := peer.Run(t.Context(), h)
		ended <- string(reason)
	}()
	f := &fixture{t: t}
	peer.Invite(exchange.Attempt{ID: "5", Class: "open-log", Number: "17", Description: []byte{0xff}, Timeout: time.Second})
	f.read(ws, `{"type":"setup","call":"5","class":"open-log","number":"17","patience_ms":1000,"description_base64":"/w=="}`)
	peer.Cancel("5", 0)
	f.read(ws, `{"type":"cancel","call":"5"}`)
	peer.Bye("5", 0, true)
	f.read(ws, `{"type":"release","call":"5","cut":true}`)
	for _, tc := range [][2]string{
		{`{"type":"accept","call":"5","description":"log"}`, "accepted 5 log"},
		{`{"type":"refuse","call":"5","reason":"full","note":"cpu_full","wait_ms":900,"state":{"util":0.5,"x":1}}`,
			`ended 5 {"Outcome":2,"Note":3,"WaitMS":900,"Report":[-1,0.5]}`},
		{`{"type":"refuse","call":"5","reason":"?"}`, `ended 5 {"Outcome":1,"Note":0,"WaitMS":0,"Report":null}`},
		{`{"type":"released","call":"5","cut":true}`, `released 5 [true,null]`},
		{`{"type":"state","state":{"x0":7}}`, `state [7,-1]`},
	} {
		f.write(ws, tc[0])
		if line := <-h.lines; line != tc[1] {
			t.Errorf("%s: got %s", tc[0], line)
		}
	}
	f.write(ws, `[]`)
	if reason := <-ended; reason != string(badMessage) {
		t.Errorf("reason %s", reason)
	}
}

// Malformed messages lead to an error or a reply, never to a panic.
func TestGarbage(t *testing.T) {
	netcase.Check(t, func(t *rapid.T) {
		f := New(Options{Core: &fakeCore{events: make(chan string, 1), calls: map[string]exchange.Setup{}}, Log: netcase.DiscardLogger()})
		s := &socket{conn: &conn{out: sip.NewQueue(), closing: make(chan struct{})}, front: f}
		if err := s.handleMessage(netcase.Garbage(t, []byte(setup))); err != nil && err != errUnreadable {
			t.Fatal(err)
		}
		server := &server{s.conn, office.Fields{"spare"}}
		server.handleMessage(netcase.Garbage(t, []byte(`{"type":"refuse","call":"5","wait_ms":1,"state":{"x0":1}}`)),
			recordingHandler{make(chan string, 1)})
	})
}

// When a caller's token changes, its socket accepts no further calls and is closed once its open calls are answered.
// Connecting takes the new token.
func TestTokenChange(t *testing.T) {
	f := newFixture(t, 10)
	ws := f.open()
	f.write(ws, setup)
	f.expect("submit " + key)
	const another = "another-token-0123456789"
	f.SetCallers(map[string]string{"station-7": another})
	if _, err := f.dial(token); err == nil {
		t.Error("the old token still opens a socket")
	}
	fresh, err := f.dial(another)
	if err != nil {
		t.Fatal(err)
	}
	f.write(ws, strings.Replace(setup, "c1", "c2", 1))
	f.read(ws, `{"type":"error","id":"c2","code":401,"text":"the token has changed"}`)
	f.Answer(key, exchange.FinalAnswer{Kind: exchange.Established})
	f.read(ws, `{"type":"stands","id":"c1"}`)
	if _, _, err := ws.Read(t.Context()); websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("after the answer: %v", err)
	}
	f.write(fresh, strings.Replace(setup, "c1", "c3", 1))
	f.expect("submit " + Key("station-7", "c3"))
}
