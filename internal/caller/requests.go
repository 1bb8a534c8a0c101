package caller

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"masthill/internal/exchange"
	"masthill/internal/sip"
)

// giveUpOpen gives up the unanswered set-ups of a connection and returns them. Called with the lock held.
func (s *Server) giveUpOpen(c *conn) (all []*transaction) {
	for id, t := range s.transactions {
		if t.conn == c && !t.established {
			all = append(all, t)
			s.remove(t)
			s.Core.GiveUp(id, owner, s)
		}
	}
	return all
}

// transaction is one set-up of a caller, until it is refused or its call has ended.
type transaction struct {
	*conn
	id, number    string
	client        client
	class         int    // index in the names of the settings
	fingerprint   uint64 // of its set-up
	echoedHeaders []byte // that the answer repeats
	seq           uint64
	established   bool
}

// handle handles one message of a caller.
func (c *conn) handle(m *sip.Message) error {
	id := string(m.Get("Call-ID"))
	if m.Status != 0 {
		c.server.releaseAnswered(c, id, m)
		return nil
	}
	switch string(m.Method) {
	case "INVITE":
		if status, why := c.handleInvite(m, id); status != 0 {
			if c.rejected++; c.rejected <= maxRejectionsLogged {
				c.server.Log.Warn("set-up turned down", "status", status, "why", why, "peer", c.Remote())
			}
			c.Send(sip.Response(m, status))
		}
	case "CANCEL":
		if !c.cancel(id) {
			c.Send(sip.Response(m, 481))
		}
	case "BYE":
		c.Send(sip.Response(m, c.handleBye(m, id)))
		c.server.Core.HangUp(id, owner)
	case "OPTIONS":
		c.noteRequest()
		status := 200
		if !c.server.Ready() {
			status = 503
		}
		c.Send(sip.Response(m, status))
	case "ACK", "NOTIFY":
	default:
		c.Send(sip.Response(m, 405))
	}
	return nil
}

// cancel gives up a set-up, or releases its call if the answer crossed the CANCEL. Only the connection of the set-up
// may cancel it: another caller that knows the id must not end the call.
func (c *conn) cancel(id string) bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.transactions[id]
	if t == nil || t.conn != c {
		return false
	}
	s.remove(t)
	s.Core.GiveUp(id, owner, nil)
	return true
}

// handleBye handles the end of an established call by its caller, on any connection, and returns the status of the
// response. A call from before the start of this process is unknown here: its end is a valid request all the same.
func (c *conn) handleBye(m *sip.Message, id string) (status int) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.transactions[id]
	switch _, method, ok := m.CSeq(); {
	case t != nil && t.established:
		c.noteRequestLocked()
		s.remove(t)
		c.noteCaller(client{true, c.host, t.client.tenant})
		return 200
	case t == nil && isCallID(id) && ok && string(method) == "BYE":
		c.noteRequestLocked()
		c.notePresumedCaller()
	}
	return 481
}

// remove removes a transaction. Called with the lock held.
func (s *Server) remove(t *transaction) {
	delete(s.transactions, t.id)
	if t.conn == nil {
		return
	}
	if t.established {
		t.establishedCalls--
	} else {
		t.openCalls--
	}
	t.lastUsed = time.Now()
	t.conn.wakeIfDrained()
}

// handleInvite accepts a set-up, or returns the status that rejects it and why. What the call keeps is copied out of
// the read buffer here.
func (c *conn) handleInvite(m *sip.Message, id string) (status int, why string) {
	seq, method, ok := m.CSeq()
	switch {
	case !isCallID(id):
		return 400, "Call-ID is not 16 hex digits"
	case !ok || string(method) != "INVITE":
		return 400, "CSeq does not name INVITE"
	case len(m.User()) == 0:
		return 400, "no number in the request line"
	case len(m.Body) > sip.MaxMessage-headerReserve-len(m.User()):
		return 413, "description leaves no space for the headers to an office"
	}
	number := string(m.User())
	call := exchange.Setup{ID: id, Owner: owner, Number: number, Description: bytes.Clone(m.Body), FirstChoice: -1,
		Redialed: string(m.Get("X-Retry")) == "1"}
	var patience *int64
	if p := m.Get("X-Patience"); p != nil {
		ms, err := strconv.ParseInt(string(p), 10, 64)
		if err != nil {
			return 400, "X-Patience is not a number"
		}
		patience = &ms
	}
	if facts := m.Get("X-Facts"); facts != nil {
		for _, fact := range strings.Split(string(facts), ";") {
			name, value, _ := strings.Cut(strings.TrimSpace(fact), ":")
			n, err := strconv.ParseInt(value, 10, 32)
			switch {
			case name == "dest" && err != nil:
				return 400, "dest in X-Facts is not a number"
			case name == "dest":
				call.FirstChoice = int(n)
			case name == "width" && (err != nil || n < 1):
				return 400, "width in X-Facts is not a positive number of circuits"
			case name == "again":
				call.RepeatFlag = n == 1
			}
		}
	}
	err := c.server.Names.Apply(&call, string(m.Get("Subject")), string(m.Get("Organization")), patience, m.ReceivedAt)
	if err != nil {
		return 400, err.Error()
	}
	echoedHeaders := sip.EchoHeaders(m)
	if len(echoedHeaders) > maxEchoBytes {
		return 400, "the headers that an answer repeats exceed 1 KiB"
	}
	s := c.server
	t := &transaction{conn: c, id: id, number: number, client: client{true, c.host, call.Tenant}, class: call.Class,
		fingerprint: call.Fingerprint(), echoedHeaders: echoedHeaders, seq: seq}
	s.mu.Lock()
	c.cancelIdleEnding()
	existing := s.transactions[id]
	repeated := existing != nil && existing.conn == c && existing.fingerprint == t.fingerprint && bytes.Equal(existing.echoedHeaders, t.echoedHeaders)
	refused, full := c.ending || s.refusing || c.exceedsDrain(), c.openCalls >= maxOpenCalls
	accepted := existing == nil && !refused && !full
	if accepted {
		s.transactions[id] = t
		s.releases.removeID(id) // of an earlier call
		c.noteRequestLocked()
		c.openCalls++
	}
	if existing == nil && !c.ending { // also a set-up that is refused shows whose connection this is
		c.noteCaller(t.client)
	}
	s.mu.Unlock()
	switch {
	case existing == nil && refused: // sent before the caller could see the end; trying again is harmless
		return 503, "the connection is ending"
	case existing == nil && full:
		return 503, "too many open set-ups on the connection"
	case accepted:
		c.MarkHandled() // the core may ask for the client's presence before the reader reads on
		s.Core.Submit(call, s)
	case !repeated: // if it joined, anyone who names the id would get the first set-up's answer
		return 482, "Call-ID of another set-up"
	}
	return 0, ""
}

// isCallID tells whether an id is 16 hex digits.
func isCallID(id string) bool {
	if len(id) != 16 {
		return false
	}
	return strings.Trim(id, "0123456789abcdefABCDEF") == ""
}
