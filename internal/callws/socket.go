package callws

import (
	"encoding/json"
	"strings"
	"time"

	"masthill/internal/exchange"
	"masthill/internal/sip"
)

// socket is a WebSocket connection of a caller. A caller may have several.
type socket struct {
	*conn
	in         *sip.Input
	front      *Front
	identity   string
	unanswered int // calls that have no answer yet
	hasCalled  bool
	revoked    bool // its caller now has another token, or none
	openedAt   time.Time
}

// request is a message from a caller.
type request struct {
	Type, ID, Class, Tenant, Number string
	PatienceMS                      *int64 `json:"patience_ms"`
	FirstChoice                     *int   `json:"first_choice"`
	Retry, Again                    bool
	description
}

// reply is a message to a caller.
type reply struct {
	Type    string `json:"type"`
	ID      string `json:"id,omitempty"`
	LaterMS int64  `json:"later_ms,omitempty"`
	Cut     *bool  `json:"cut,omitempty"`
	Code    int    `json:"code,omitempty"`
	Text    string `json:"text,omitempty"`
	description
}

// inBase64 implements message.
func (r reply) inBase64() message {
	r.description = r.description.inBase64()
	return r
}

// maxErrorText limits the text of an error message in bytes, as it may quote what the caller has sent.
const maxErrorText = 256

// sendError sends an error message. An id that is too long to be one is not repeated.
func (s *socket) sendError(id string, code int, text string) {
	if len(id) > maxIDBytes {
		id = ""
	}
	if len(text) > maxErrorText {
		text = strings.ToValidUTF8(text[:maxErrorText], "") + "..."
	}
	s.send(reply{Type: "error", ID: id, Code: code, Text: text})
}

// handleMessage handles a message from a caller.
func (s *socket) handleMessage(data []byte) error {
	receivedAt := time.Now()
	var m request
	if json.Unmarshal(data, &m) != nil {
		return errUnreadable
	}
	switch {
	case m.ID == "" || len(m.ID) > maxIDBytes:
		s.sendError(m.ID, 400, "id: empty or over 128 bytes")
	case m.Type == "call":
		if code, text := s.submit(&m, receivedAt); code != 0 {
			s.front.Log.Warn("call turned down", "code", code, "why", text, "identity", s.identity)
			s.sendError(m.ID, code, text)
		}
	case m.Type == "cancel":
		s.endCall(Key(s.identity, m.ID))
	case m.Type == "hangup":
		if !s.endCall(Key(s.identity, m.ID)) {
			s.sendError(m.ID, 481, "no such call")
			return nil
		}
		s.send(reply{Type: "released", ID: m.ID, Cut: new(bool)})
	default:
		s.sendError(m.ID, 400, "type: unknown")
	}
	return nil
}

func (s *socket) owner() string { return "ws/" + s.identity }

// endCall removes a call that its caller has ended, and reports whether it was known. The exchange is told under the
// lock, so that a set-up that is sent again can't overtake this.
func (s *socket) endCall(key string) bool {
	f := s.front
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.calls[key]
	if ok && c.socket != nil && !c.accepted {
		c.socket.unanswered--
	}
	if ok {
		delete(f.calls, key)
		f.Core.GiveUp(key, s.owner(), nil)
	}
	return ok
}

// submit passes on a set-up, or one that is sent again after a reconnect, which the exchange joins to the running call or
// answers with the recorded answer. If it refuses the set-up, it returns the code and text of the error message.
func (s *socket) submit(m *request, receivedAt time.Time) (code int, text string) {
	if m.Number == "" {
		return 400, "number: empty"
	}
	key := Key(s.identity, m.ID)
	if len(m.raw()) > maxDescription {
		return 413, "description leaves no room for the headers to an office"
	}
	setup := exchange.Setup{ID: key, Owner: s.owner(), Number: m.Number, Description: m.raw(), FirstChoice: -1, Redialed: m.Retry,
		RepeatFlag: m.Again}
	if m.FirstChoice != nil {
		setup.FirstChoice = *m.FirstChoice
	}
	if err := s.front.Names.Apply(&setup, m.Class, m.Tenant, m.PatienceMS, receivedAt); err != nil {
		return 400, err.Error()
	}
	f := s.front
	f.mu.Lock()
	c, fingerprint := f.calls[key], setup.Fingerprint()
	if c != nil && c.fingerprint != fingerprint { // joined, it would get the answer to another description
		f.mu.Unlock()
		return 482, "id of another call"
	}
	if late := !f.drainFrom.IsZero() && time.Since(f.drainFrom) > drainTimeout; c == nil && (f.refusing || late && s.unanswered > 0) {
		f.mu.Unlock()
		return 503, "the instance ends"
	}
	if c == nil && s.revoked {
		f.mu.Unlock()
		return 401, "the token has changed"
	}
	if c == nil && (len(f.calls)+len(f.releases) >= maxCalls || s.unanswered >= maxOpenCalls) {
		f.mu.Unlock()
		return 503, "too many calls"
	}
	if c == nil {
		c = &call{id: m.ID, identity: s.identity, fingerprint: fingerprint}
		f.calls[key] = c
		f.dropRelease(key)
	}
	if !c.accepted {
		if c.socket != nil {
			c.socket.unanswered--
		}
		s.unanswered++
	}
	c.socket, s.hasCalled = s, true
	f.mu.Unlock()
	f.Core.Submit(setup, f)
	return 0, ""
}
