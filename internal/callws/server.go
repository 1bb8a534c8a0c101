package callws

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/coder/websocket"

	"masthill/control"
	"masthill/internal/exchange"
	"masthill/internal/office"
	"masthill/internal/sip"
)

// serverProtocol is the subprotocol towards servers.
const serverProtocol = "callserver.v1"

// order is what a server is told.
type serverCommand struct {
	Type       string `json:"type"`
	Call       string `json:"call"`
	Class      string `json:"class,omitempty"`
	Number     string `json:"number,omitempty"`
	PatienceMS int64  `json:"patience_ms,omitempty"`
	Cut        bool   `json:"cut,omitempty"`
	description
}

// news is what a server says.
type serverMessage struct {
	Type, Call, Reason, Note string
	WaitMS                   int64 `json:"wait_ms"`
	Cut                      bool
	State                    map[string]float64
	description
}

// ends maps a server's reason for a refusal to an outcome; any other is an error.
var refusalOutcomes = map[string]control.Outcome{"full": control.Saturated, "moot": control.Unavailable, "reset": control.ConnectionLost}

// Dial connects to servers that speak call control over WebSocket; the list gives such a one a ws:// address.
func Dial(fields office.Fields) office.Dial {
	return func(ctx context.Context, addr string) (office.Peer, error) {
		var raw net.Conn
		client := &http.Client{Transport: &http.Transport{
			// Under the connect's own context: the transport leaves a connect that hangs to itself when its request ends.
			DialContext: func(_ context.Context, network, host string) (c net.Conn, err error) {
				raw, err = new(net.Dialer).DialContext(ctx, network, host)
				return raw, err
			}}}
		ws, _, err := websocket.Dial(ctx, addr, &websocket.DialOptions{HTTPClient: client,
			Subprotocols: []string{serverProtocol}})
		if err != nil {
			return nil, err
		}
		return &server{newConn(ws, raw), fields}, nil
	}
}

// server is one connection to a server.
type server struct {
	*conn
	fields office.Fields
}

func (s *server) Invite(a exchange.Attempt) {
	s.send(serverCommand{Type: "setup", Call: a.ID, Class: a.Class, Number: a.Number,
		PatienceMS: max(a.Wait.Milliseconds(), 1), description: describe(a.Description)})
}

func (s *server) Cancel(id string, _ int) { s.send(serverCommand{Type: "cancel", Call: id}) }

func (s *server) Bye(id string, _ int, cut bool) {
	s.send(serverCommand{Type: "release", Call: id, Cut: cut})
}

func (s *server) Run(ctx context.Context, h office.Handler) (sip.Reason, error) {
	return s.run(ctx, func(data []byte) error { return s.handleMessage(data, h) })
}

// take handles one message of a server; unknown types are passed over.
func (s *server) handleMessage(data []byte, h office.Handler) error {
	var m serverMessage
	if json.Unmarshal(data, &m) != nil {
		return errUnreadable
	}
	var report []float64
	for name, x := range m.State {
		report = s.fields.Set(report, name, x)
	}
	switch m.Type {
	case "accept":
		h.Accepted(m.Call, m.raw())
	case "refuse":
		outcome, ok := refusalOutcomes[m.Reason]
		if !ok {
			outcome = control.Errored
		}
		h.Ended(m.Call, exchange.Result{Outcome: outcome, Note: office.Note(m.Note), WaitMS: max(m.WaitMS, 0),
			Report: report})
	case "released":
		h.Released(m.Call, m.Cut, report)
	case "state":
		h.State(report)
	}
	return nil
}
