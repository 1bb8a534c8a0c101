package callws

import (
	"encoding/json"
	"fmt"
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

// core notes what the front hands to the exchange, and answers as a test wants.
type core struct {
	mu    sync.Mutex
	told  chan string
	calls map[string]exchange.Setup
	away  atomic.Bool // the readiness test fails
}

func (c *core) Submit(s exchange.Setup, _ exchange.Caller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[s.ID] = s
	c.told <- "arrive " + s.ID
}
func (c *core) GiveUp(id, owner string, _ exchange.Caller) { c.told <- "give up " + id + " " + owner }
func (c *core) HangUp(id, owner string)                    { c.told <- "hang up " + id + " " + owner }
func (c *core) CallerDisconnected(id, owner string)        { c.told <- "left " + id + " " + owner }

type bed struct {
	*core
	*Front
	t    *testing.T
	addr string
}

func newBed(t *testing.T, mostOpen int, resume ...time.Duration) *bed {
	b := &bed{core: &core{told: make(chan string, 1000), calls: map[string]exchange.Setup{}}, t: t}
	b.Front = New(Options{Core: b.core, Log: netcase.DiscardLogger(), Ready: func() bool { return !b.away.Load() }, MaxConnections: mostOpen, Callers: map[string]string{"station-7": token},
		Names: exchange.Names{Classes: []exchange.Class{{Name: "open-log", Deadline: 9 * time.Second}}, Tenants: []string{"acme"}}})
	b.resume = time.Hour // no machine is too slow to come back in that
	for _, r := range resume {
		b.resume = r
	}
	b.addr = netcase.Serve(t, b.Serve)
	return b
}

func (b *bed) dial(token string) (*websocket.Conn, error) {
	ws, _, err := websocket.Dial(b.t.Context(), "ws://"+b.addr+"/v1/calls", &websocket.DialOptions{
		Subprotocols: []string{protocol}, HTTPHeader: http.Header{"Authorization": {"Bearer " + token}}})
	return ws, err
}

func (b *bed) open() *websocket.Conn {
	b.t.Helper()
	ws, err := b.dial(token)
	if err != nil {
		b.t.Fatal(err)
	}
	return ws
}

func (b *bed) write(ws *websocket.Conn, text string) {
	b.t.Helper()
	if err := ws.Write(b.t.Context(), websocket.MessageText, []byte(text)); err != nil {
		b.t.Fatal(err)
	}
}

func (b *bed) read(ws *websocket.Conn, want string) {
	b.t.Helper()
	if _, got, err := ws.Read(b.t.Context()); err != nil || string(got) != want {
		b.t.Errorf("read %s, %v, want %s", got, err, want)
	}
}

func (b *bed) expect(want string) {
	b.t.Helper()
	if got := <-b.told; got != want {
		b.t.Errorf("told %q, want %q", got, want)
	}
}

const setup = `{"type":"call","id":"c1","class":"open-log","tenant":"acme","number":"17","patience_ms":3000,` +
	`"first_choice":1,"description":"offer","unknown":[1]}`

var key = Key("station-7", "c1")

func TestACallOverWebSocket(t *testing.T) {
	b := newBed(t, 10)
	ws := b.open()
	b.write(ws, setup)
	b.expect("arrive " + key)
	s := b.core.calls[key]
	if string(s.Description) != "offer" || s.Dest != 1 || s.Owner != "ws/station-7" || s.ExpiresAt.Sub(s.Taken) != 3*time.Second {
		t.Errorf("set-up %+v", s)
	}
	b.Answer(key, exchange.FinalAnswer{Verdict: exchange.Stands, Description: []byte("log\r\n")})
	b.read(ws, `{"type":"stands","id":"c1","description":"log\r\n"}`)
	b.Release(key, true)
	b.read(ws, `{"type":"released","id":"c1","cut":true}`)
	b.write(ws, setup)
	b.expect("arrive " + key)
	b.Answer(key, exchange.FinalAnswer{Verdict: exchange.Refused, Wait: 1500 * time.Millisecond})
	b.read(ws, `{"type":"refused","id":"c1","later_ms":1500}`)
	b.Answer(key, exchange.FinalAnswer{Verdict: exchange.Failed}) // a second answer finds nobody
	b.write(ws, `{"type":"hangup","id":"c1"}`)
	b.read(ws, `{"type":"error","id":"c1","code":481,"text":"no such call"}`)
	b.write(ws, setup)
	b.expect("arrive " + key)
	b.write(ws, `{"type":"cancel","id":"c1"}`)
	b.expect("give up " + key + " ws/station-7")
	b.Front.mu.Lock()
	if n := len(b.Front.calls); n != 0 {
		t.Errorf("%d calls left", n)
	}
	b.Front.mu.Unlock()
	b.Refuse() // what still comes at the end is refused here
	b.write(ws, setup)
	b.read(ws, `{"type":"error","id":"c1","code":503,"text":"the instance ends"}`)
	ended := make(chan bool)
	go func() { b.Shutdown(t.Context()); close(ended) }()
	if _, _, err := ws.Read(t.Context()); websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("at the end: %v", err)
	}
	<-ended
	if len(b.told) != 0 {
		t.Errorf("told %s", <-b.told)
	}
}

func TestInvalidRequests(t *testing.T) {
	b := newBed(t, 10)
	ws := b.open()
	for in, want := range map[string]string{
		`{"type":"call","id":""}`:                                                             `{"type":"error","code":400,"text":"id: empty or over 128 bytes"}`,
		`{"type":"dance","id":"x"}`:                                                           `{"type":"error","id":"x","code":400,"text":"type: unknown"}`,
		`{"type":"call","id":"x"}`:                                                            `{"type":"error","id":"x","code":400,"text":"number: empty"}`,
		`{"type":"call","id":"x","number":"1","class":"no"}`:                                  `{"type":"error","id":"x","code":400,"text":"unknown class \"no\""}`,
		`{"type":"call","id":"x","number":"1","class":"open-log","tenant":"no"}`:              `{"type":"error","id":"x","code":400,"text":"unknown tenant \"no\""}`,
		`{"type":"call","id":"x","number":"1","class":"open-log","patience_ms":-5}`:           `{"type":"error","id":"x","code":400,"text":"patience is no time between 1 ms and a day"}`,
		`{"type":"call","id":"x","number":"1\r\nX: 1","class":"open-log","patience_ms":1000}`: `{"type":"error","id":"x","code":400,"text":"number is too long, or no visible ASCII"}`,
	} {
		b.write(ws, in)
		b.read(ws, want)
	}
	b.write(ws, "{")
	if _, _, err := ws.Read(t.Context()); websocket.CloseStatus(err) != websocket.StatusInvalidFramePayloadData {
		t.Errorf("unreadable message: %v", err)
	}
}

func TestStrangersAndLimits(t *testing.T) {
	b := newBed(t, 2)
	if _, err := b.dial("another token of sixteen"); err == nil || !strings.Contains(err.Error(), "401") {
		t.Errorf("stranger: %v", err)
	}
	http.DefaultClient.CloseIdleConnections()
	ready, err := http.Get("http://" + b.addr + "/v1/ready")
	if err != nil || ready.StatusCode != 200 {
		t.Errorf("ready: %v, %v", ready, err)
	}
	b.away.Store(true)
	ready, err = http.Get("http://" + b.addr + "/v1/ready")
	if err != nil || ready.StatusCode != 503 {
		t.Errorf("ready while ending: %v, %v", ready, err)
	}
	http.DefaultClient.CloseIdleConnections()
	for n := 0; ; n++ {
		if _, err := b.dial(token); err != nil {
			break
		}
		if n == 2 {
			t.Fatal("a third socket of two")
		}
	}
}

// A connection that has been claimed for a socket never makes room, however early that is; one that has made room
// is no socket any more. Without the claim before the 101, callers that had read it were evicted.
func TestAClaimedConnectionMakesNoRoom(t *testing.T) {
	l := &boundedListener{most: 1, open: map[*trackedConn]bool{}}
	pipe := func() net.Conn { c, _ := net.Pipe(); return c }
	first := l.admit(pipe()).(*trackedConn)
	if !first.claim() || l.admit(pipe()) != nil {
		t.Fatal("a claimed connection made room")
	}
	first.disclaim()
	if l.admit(pipe()) == nil || first.claim() {
		t.Fatal("an upgrade that failed keeps its place, or a connection that made room became a socket")
	}
}

// A socket that closes mid-set-up keeps the call for a while. A resend after the reconnect joins it; a release
// finds the caller's next socket; without a resend the call is given up.
func TestSocketClosesMidSetUp(t *testing.T) {
	b := newBed(t, 10)
	ws := b.open()
	b.write(ws, setup)
	b.expect("arrive " + key)
	ws.CloseNow()
	b.expect("left " + key + " ws/station-7")
	ws = b.open()
	b.write(ws, setup)
	b.expect("arrive " + key)
	b.Answer(key, exchange.FinalAnswer{Verdict: exchange.Stands})
	b.read(ws, `{"type":"stands","id":"c1"}`)
	ws.CloseNow()
	for b.openSockets() > 0 { // the server has seen the close
		time.Sleep(time.Millisecond)
	}
	b.Release(key, false)
	ws = b.open()
	b.read(ws, `{"type":"released","id":"c1","cut":false}`)

	b = newBed(t, 10, 0)
	ws = b.open()
	b.write(ws, setup)
	b.expect("arrive " + key)
	ws.CloseNow()
	b.expect("left " + key + " ws/station-7")
	b.expect("give up " + key + " ws/station-7")
}

// A call's id with another description is another call: joined to the first, it would get the answer to that.
func TestTheIDOfAnOpenCallWithAnotherDescription(t *testing.T) {
	b := newBed(t, 10)
	ws := b.open()
	b.write(ws, setup)
	b.expect("arrive " + key)
	b.write(ws, strings.Replace(setup, "offer", "another", 1))
	b.read(ws, `{"type":"error","id":"c1","code":482,"text":"id of another call"}`)
	b.Answer(key, exchange.FinalAnswer{Verdict: exchange.Stands})
	b.read(ws, `{"type":"stands","id":"c1"}`)
}

// Connections that say nothing make room for sockets, and a socket with hundreds of calls does not fill the table.
func TestSilentPeersMakeRoom(t *testing.T) {
	b := newBed(t, 2)
	ws := b.open()
	for range 5 {
		if _, err := net.Dial("tcp", b.addr); err != nil {
			t.Fatal(err)
		}
	}
	b.open()
	b.write(ws, setup)
	b.expect("arrive " + key)
	for n := range maxOpenCalls {
		b.write(ws, strings.Replace(setup, `"c1"`, fmt.Sprintf(`"d%d"`, n), 1))
	}
	b.read(ws, fmt.Sprintf(`{"type":"error","id":"d%d","code":503,"text":"too many calls"}`, maxOpenCalls-1))
	b.Answer(key, exchange.FinalAnswer{Verdict: exchange.Failed})
	b.read(ws, `{"type":"failed","id":"c1"}`)
	b.write(ws, setup)
	b.write(ws, `{"type":"cancel","id":"c1"}`)
	for told := ""; told != "give up "+key+" ws/station-7"; {
		told = <-b.told
	}
}

// A drain: sockets that have nothing open are closed, those with a call once that is answered, and new ones are served.
func TestDrain(t *testing.T) {
	b := newBed(t, 10)
	idle, busy := b.open(), b.open()
	b.write(idle, strings.Replace(setup, "c1", "c0", 1))
	b.expect("arrive " + Key("station-7", "c0"))
	b.Answer(Key("station-7", "c0"), exchange.FinalAnswer{Verdict: exchange.Refused})
	b.read(idle, `{"type":"refused","id":"c0"}`)
	b.write(busy, setup)
	b.expect("arrive " + key)
	b.Drain(0)
	if _, _, err := idle.Read(t.Context()); websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("an idle socket: %v", err)
	}
	fresh := b.open()
	b.write(fresh, strings.Replace(setup, "c1", "c2", 1))
	b.expect("arrive " + Key("station-7", "c2"))
	b.Answer(Key("station-7", "c2"), exchange.FinalAnswer{Verdict: exchange.Refused})
	b.read(fresh, `{"type":"refused","id":"c2"}`)
	b.Answer(key, exchange.FinalAnswer{Verdict: exchange.Stands})
	b.read(busy, `{"type":"stands","id":"c1"}`)
	for _, ws := range []*websocket.Conn{fresh, busy} {
		if _, _, err := ws.Read(t.Context()); websocket.CloseStatus(err) != websocket.StatusGoingAway {
			t.Errorf("after the answer: %v", err)
		}
	}
	b.Resume()
	kept := b.open()
	b.write(kept, setup)
	b.expect("arrive " + key)
}

// openSockets counts the sockets that the front holds.
func (b *bed) openSockets() int {
	b.Front.mu.Lock()
	defer b.Front.mu.Unlock()
	return len(b.sockets)
}

// heard takes what a server's connection hears.
type heard struct{ lines chan string }

func (h heard) Accepted(id string, desc []byte)           { h.lines <- "stood " + id + " " + string(desc) }
func (h heard) Ended(id string, e exchange.Result)        { h.line("ended "+id, e) }
func (h heard) Released(id string, cut bool, r []float64) { h.line("released "+id, []any{cut, r}) }
func (h heard) State(r []float64)                         { h.line("state", r) }
func (h heard) line(what string, v any) {
	b, _ := json.Marshal(v)
	h.lines <- what + " " + string(b)
}

func TestServersThatSpeakIt(t *testing.T) {
	got := make(chan *websocket.Conn, 1)
	addr := netcase.ServeHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{serverProtocol}})
		if err != nil {
			t.Error(err)
			return
		}
		got <- ws
	})
	peer, err := Dial(office.Fields{"spare", "cpu"})(t.Context(), "ws://"+addr)
	if err != nil {
		t.Fatal(err)
	}
	ws, h := <-got, heard{make(chan string, 20)}
	ended := make(chan string, 1)
	go func() {
		reason, _ := peer.Run(t.Context(), h)
		ended <- string(reason)
	}()
	b := &bed{t: t}
	peer.Invite(exchange.Attempt{ID: "5", Class: "open-log", Number: "17", Description: []byte{0xff}, Wait: time.Second})
	b.read(ws, `{"type":"setup","call":"5","class":"open-log","number":"17","patience_ms":1000,"description_base64":"/w=="}`)
	peer.Cancel("5", 0)
	b.read(ws, `{"type":"cancel","call":"5"}`)
	peer.Bye("5", 0, true)
	b.read(ws, `{"type":"release","call":"5","cut":true}`)
	for _, tc := range [][2]string{
		{`{"type":"accept","call":"5","description":"log"}`, "stood 5 log"},
		{`{"type":"refuse","call":"5","reason":"full","note":"cpu_full","wait_ms":900,"state":{"util":0.5,"x":1}}`,
			`ended 5 {"Outcome":2,"Note":3,"WaitMS":900,"Report":[-1,0.5]}`},
		{`{"type":"refuse","call":"5","reason":"?"}`, `ended 5 {"Outcome":1,"Note":0,"WaitMS":0,"Report":null}`},
		{`{"type":"released","call":"5","cut":true}`, `released 5 [true,null]`},
		{`{"type":"state","state":{"x0":7}}`, `state [7,-1]`},
	} {
		b.write(ws, tc[0])
		if line := <-h.lines; line != tc[1] {
			t.Errorf("%s: heard %s", tc[0], line)
		}
	}
	b.write(ws, `[]`)
	if reason := <-ended; reason != string(badMessage) {
		t.Errorf("reason %s", reason)
	}
}

// Garbage makes an error or a reply, and never a panic.
func TestGarbage(t *testing.T) {
	netcase.Check(t, func(t *rapid.T) {
		f := New(Options{Core: &core{told: make(chan string, 1), calls: map[string]exchange.Setup{}}, Log: netcase.DiscardLogger()})
		s := &socket{conn: &conn{out: sip.NewQueue(), closing: make(chan struct{})}, front: f}
		if err := s.take(netcase.Garbage(t, []byte(setup))); err != nil && err != errUnreadable {
			t.Fatal(err)
		}
		server := &server{s.conn, office.Fields{"spare"}}
		server.take(netcase.Garbage(t, []byte(`{"type":"refuse","call":"5","wait_ms":1,"state":{"x0":1}}`)),
			heard{make(chan string, 1)})
	})
}

// A caller whose token changes is answered what it has asked, takes no further call and is closed then; the others stay.
func TestATokenChanges(t *testing.T) {
	b := newBed(t, 10)
	ws := b.open()
	b.write(ws, setup)
	b.expect("arrive " + key)
	const another = "another-token-0123456789"
	b.SetCallers(map[string]string{"station-7": another})
	if _, err := b.dial(token); err == nil {
		t.Error("the token of before opens a socket")
	}
	fresh, err := b.dial(another)
	if err != nil {
		t.Fatal(err)
	}
	b.write(ws, strings.Replace(setup, "c1", "c2", 1))
	b.read(ws, `{"type":"error","id":"c2","code":401,"text":"the token has changed"}`)
	b.Answer(key, exchange.FinalAnswer{Verdict: exchange.Stands})
	b.read(ws, `{"type":"stands","id":"c1"}`)
	if _, _, err := ws.Read(t.Context()); websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("after the answer: %v", err)
	}
	b.write(fresh, strings.Replace(setup, "c1", "c3", 1))
	b.expect("arrive " + Key("station-7", "c3"))
}
