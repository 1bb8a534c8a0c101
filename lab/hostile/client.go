package hostile

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/coder/websocket"

	"masthill/internal/sip"
)

const (
	// goodNumber is the number that the good client calls.
	goodNumber = "600"
	// callInterval is the time between two calls of the good client, callPatience how long it waits for an answer.
	callInterval, callPatience = 20 * time.Millisecond, 3 * time.Second
	// reconnectPause is how long the good client waits before it connects again.
	reconnectPause = 20 * time.Millisecond
)

// Front names a front of the program.
type Front string

// The fronts.
const (
	SIP       Front = "sip"
	WebSocket Front = "ws"
)

// ClientResult is what a client saw of its calls.
type ClientResult struct {
	Calls    int     `json:"calls"`
	Accepted int     `json:"accepted"`
	Refused  int     `json:"refused"` // with the advice to try again
	Failed   int     `json:"failed"`
	Missed   int     `json:"missed"` // no answer within the patience
	Cut      int     `json:"cut"`    // accepted calls that were released before their time
	P50MS    float64 `json:"p50_ms"` // of the time until an answer
	P99MS    float64 `json:"p99_ms"`
	MaxMS    float64 `json:"max_ms"`
}

// verdict is the answer to a call.
type verdict struct {
	id       string
	accepted bool
	refused  bool
	cut      bool // no answer but a release before its time
}

// transport is a connection to one front.
type transport interface {
	// call sends a set-up.
	call(id string) error
	// next returns the next final answer.
	next() (verdict, error)
}

// RunGoodClient makes a call every callInterval over one connection, which it opens again when it ends, and measures the
// answers.
func RunGoodClient(ctx context.Context, front Front, addr string, duration time.Duration) (ClientResult, error) {
	end := time.Now().Add(duration)
	var r ClientResult
	var delays []float64
	pending := map[string]time.Time{}
	verdicts, failures, connected := make(chan verdict, 1000), make(chan error, 1), make(chan transport, 1)
	connect := func() {
		for ctx.Err() == nil && time.Now().Before(end) {
			if t, err := dial(ctx, front, addr); err == nil {
				connected <- t
				return
			}
			time.Sleep(reconnectPause)
		}
	}
	go connect()
	var current transport
	tick := time.NewTicker(callInterval)
	defer tick.Stop()
	for ; time.Now().Before(end) || len(pending) > 0; r.Missed += dropExpired(pending) {
		select {
		case <-ctx.Done():
			return r, ctx.Err()
		case current = <-connected:
			go readVerdicts(current, verdicts, failures)
		case <-failures:
			current = nil
			go connect()
		case v := <-verdicts:
			if v.cut {
				r.Cut++
				continue
			}
			at, ok := pending[v.id]
			if !ok {
				continue
			}
			delete(pending, v.id)
			delays = append(delays, float64(time.Since(at))/float64(time.Millisecond))
			switch {
			case v.accepted:
				r.Accepted++
			case v.refused:
				r.Refused++
			default:
				r.Failed++
			}
		case <-tick.C:
			if !time.Now().Before(end) {
				continue
			}
			r.Calls++
			id := fmt.Sprintf("%016x", 0x600d000000000000+r.Calls)
			pending[id] = time.Now()
			if current != nil {
				current.call(id) // an error ends its reader too
			}
		}
	}
	if slices.Sort(delays); len(delays) > 0 {
		r.P50MS, r.P99MS, r.MaxMS = delays[len(delays)/2], delays[len(delays)*99/100], delays[len(delays)-1]
	}
	return r, nil
}

// dropExpired removes the calls whose patience is over, and returns how many they were.
func dropExpired(pending map[string]time.Time) (n int) {
	for id, at := range pending {
		if time.Since(at) > callPatience {
			delete(pending, id)
			n++
		}
	}
	return n
}

func readVerdicts(t transport, verdicts chan<- verdict, failures chan<- error) {
	for {
		v, err := t.next()
		if err != nil {
			failures <- err
			return
		}
		if v.id != "" {
			verdicts <- v
		}
	}
}

func dial(ctx context.Context, front Front, addr string) (transport, error) {
	ctx, cancel := context.WithTimeout(ctx, callPatience)
	defer cancel()
	if front == WebSocket {
		ws, err := dialWebSocket(ctx, addr, goodToken)
		return wsTransport{ws}, err
	}
	c, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &sipTransport{lockedWriter{Conn: c}, sip.NewReader(c)}, nil
}

func dialWebSocket(ctx context.Context, addr, token string) (*websocket.Conn, error) {
	ws, _, err := websocket.Dial(ctx, "ws://"+addr+"/v1/calls", &websocket.DialOptions{Subprotocols: []string{"callcontrol.v1"},
		HTTPHeader: http.Header{"Authorization": {"Bearer " + token}}})
	return ws, err
}

// invite is a set-up of a SIP caller.
func invite(id, number string, patience time.Duration) string {
	return fmt.Sprintf("INVITE sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nSubject: open-log\r\nX-Patience: %d\r\n"+
		"Content-Length: 2\r\n\r\nhi", number, id, patience.Milliseconds())
}

// callMessage is a set-up of a WebSocket caller.
func callMessage(id, number string, patience time.Duration) string {
	return fmt.Sprintf(`{"type":"call","id":%q,"class":"open-log","number":%q,"patience_ms":%d,"description":"hi"}`, id, number, patience.Milliseconds())
}

type sipTransport struct {
	lockedWriter
	reader *sip.Reader
}

func (t *sipTransport) call(id string) error {
	if !t.send(invite(id, goodNumber, callPatience)) {
		return net.ErrClosed
	}
	return nil
}

func (t *sipTransport) next() (verdict, error) {
	m, err := t.reader.Next()
	if err != nil {
		t.Close()
		return verdict{}, err
	}
	id := string(m.Get("Call-ID"))
	if m.Status == 0 {
		if string(m.Method) == "BYE" {
			t.send(string(sip.Response(m, 200)))
			return verdict{id: id, cut: strings.Contains(string(m.Get("Reason")), "cause=41")}, nil
		}
		return verdict{}, nil
	}
	if m.Status < 200 {
		return verdict{}, nil
	}
	return verdict{id: id, accepted: m.Status == 200, refused: m.Status == 503}, nil
}

type wsTransport struct{ ws *websocket.Conn }

func (t wsTransport) call(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return t.ws.Write(ctx, websocket.MessageText, []byte(callMessage(id, goodNumber, callPatience)))
}

func (t wsTransport) next() (verdict, error) {
	_, text, err := t.ws.Read(context.Background())
	var m struct {
		Type, ID string
		Cut      bool
	}
	if err == nil {
		err = json.Unmarshal(text, &m)
	}
	if err != nil {
		t.ws.CloseNow()
		return verdict{}, err
	}
	if m.Type == "released" {
		return verdict{id: m.ID, cut: m.Cut}, nil
	}
	return verdict{id: m.ID, accepted: m.Type == "stands", refused: m.Type == "refused"}, nil
}
