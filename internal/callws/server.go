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

// serverProtocol is the WebSocket subprotocol for servers.
const serverProtocol = "callserver.v1"

// serverCommand is a message to a server.
type serverCommand struct {
	Type       string `json:"type"`
	Call       string `json:"call"`
	Class      string `json:"class,omitempty"`
	Number     string `json:"number,omitempty"`
	PatienceMS int64  `json:"patience_ms,omitempty"`
	Cut        bool   `json:"cut,omitempty"`
	description
}

// inBase64 implements message.
func (c serverCommand) inBase64() message {
	c.description = c.description.inBase64()
	return c
}

// serverMessage is a message from a server.
type serverMessage struct {
	Type, Call, Reason, Note string
	WaitMS                   int64 `json:"wait_ms"`
	Cut                      bool
	State                    map[string]float64
	description
}

// refusalOutcomes maps a server's reason for a refusal to an outcome; any other reason counts as an error.
var refusalOutcomes = map[string]control.Outcome{"full": control.Saturated, "moot": control.Unavailable, "reset": control.ConnectionLost}

// Dial returns a function that connects to servers with call control over WebSocket, which have a ws:// address in the
// server list.
func Dial(fields office.Fields) office.Dial {
	return func(ctx context.Context, addr string) (office.Peer, error) {
		var raw net.Conn
		client := &http.Client{Transport: &http.Transport{
			// Uses the context of this attempt to connect: the transport lets a connect that hangs go on in the
			// background when its request ends.
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

// server is a connection to a server; it implements office.Peer.
type server struct {
	*conn
	fields office.Fields
}

// Invite implements office.Peer.
func (s *server) Invite(a exchange.Attempt) error {
	return s.send(serverCommand{Type: "setup", Call: a.ID, Class: a.Class, Number: a.Number,
		PatienceMS: max(a.Timeout.Milliseconds(), 1), description: describe(a.Description)})
}

// Cancel implements office.Peer.
func (s *server) Cancel(id string, _ int) { s.send(serverCommand{Type: "cancel", Call: id}) }

// Bye implements office.Peer.
func (s *server) Bye(id string, _ int, cut bool) {
	s.send(serverCommand{Type: "release", Call: id, Cut: cut})
}

// Run implements office.Peer.
func (s *server) Run(ctx context.Context, h office.Handler) (sip.Reason, error) {
	return s.run(ctx, func(data []byte) error { return s.handleMessage(data, h) })
}

// handleMessage handles a message from a server; messages of unknown types are ignored.
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
		h.Ended(m.Call, exchange.Result{Outcome: outcome, Note: office.NoteNumber(m.Note), WaitMS: max(m.WaitMS, 0),
			Report: report})
	case "released":
		h.Released(m.Call, m.Cut, report)
	case "state":
		h.State(report)
	}
	return nil
}
