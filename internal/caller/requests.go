package caller

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"masthill/internal/exchange"
	"masthill/internal/sip"
)

// abandon gives up the set-ups that are open on a connection. Called under the lock.
func (s *Server) abandon(c *conn) (all []*txn) {
	for id, t := range s.txns {
		if t.conn == c && !t.stood {
			all = append(all, t)
			s.remove(t)
			s.Core.GiveUp(id, owner, s)
		}
	}
	return all
}

// txn is one set-up of a caller, until it has its refusal or its call is over.
type txn struct {
	*conn
	id, number string
	sum        uint64 // of the set-up
	echo       []byte // headers for the answer
	seq        uint64
	stood      bool
}

// take handles one message of a caller.
func (c *conn) take(m *sip.Message) error {
	if m.Status != 0 {
		return nil // 'release heard', which is free
	}
	id := string(m.Get("Call-ID"))
	switch string(m.Method) {
	case "INVITE":
		if status, why := c.setup(m, id); status != 0 {
			if c.turned++; c.turned <= maxRejectionsLogged {
				c.server.Log.Warn("set-up turned down", "status", status, "why", why, "peer", c.Remote())
			}
			c.Send(sip.Response(m, status))
		}
	case "CANCEL":
		if !c.cancel(id) {
			c.Send(sip.Response(m, 481))
		}
	case "BYE":
		status := 481
		if c.server.forget(id, true) {
			status = 200
		}
		c.Send(sip.Response(m, status))
		c.server.Core.HangUp(id, owner)
	case "OPTIONS":
		c.use()
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

// cancel gives a set-up up, or releases the call where its answer crossed the CANCEL. Only the connection of the
// set-up may: a stranger who knows an id must not end another's call.
func (c *conn) cancel(id string) bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.txns[id]
	if t == nil || t.conn != c {
		return false
	}
	s.remove(t)
	s.Core.GiveUp(id, owner, nil)
	return true
}

// forget drops a transaction that its caller ended.
func (s *Server) forget(id string, stood bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.txns[id]
	if t == nil || stood && !t.stood {
		return false
	}
	s.remove(t)
	return true
}

// remove ends a transaction. Called under the lock.
func (s *Server) remove(t *txn) {
	delete(s.txns, t.id)
	if t.conn == nil {
		return
	}
	if t.stood {
		t.standing--
	} else {
		t.open--
	}
	t.used = time.Now()
	t.conn.answered()
}

// setup takes a set-up, or tells the status that turns it down. What the call keeps is copied out of the read
// buffer here.
func (c *conn) setup(m *sip.Message, id string) (status int, why string) {
	seq, method, ok := m.CSeq()
	switch {
	case !callID(id):
		return 400, "Call-ID is not 16 hex digits"
	case !ok || string(method) != "INVITE":
		return 400, "CSeq does not name INVITE"
	case len(m.User()) == 0:
		return 400, "no number in the first line"
	case len(m.Body) > sip.MaxMessage-headerRoom-len(m.User()):
		return 413, "description leaves no room for the headers to an office"
	}
	number := string(m.User())
	call := exchange.Setup{ID: id, Owner: owner, Number: number, Description: bytes.Clone(m.Body), Dest: -1,
		Retry: string(m.Get("X-Retry")) == "1"}
	var patience *int64
	if p := m.Get("X-Patience"); p != nil {
		ms, err := strconv.ParseInt(string(p), 10, 64)
		if err != nil {
			return 400, "X-Patience is no number"
		}
		patience = &ms
	}
	if facts := m.Get("X-Facts"); facts != nil {
		for _, fact := range strings.Split(string(facts), ";") {
			name, value, _ := strings.Cut(strings.TrimSpace(fact), ":")
			n, err := strconv.ParseInt(value, 10, 32)
			switch {
			case name == "dest" && err != nil:
				return 400, "dest in X-Facts is no number"
			case name == "dest":
				call.Dest = int(n)
			case name == "width" && (err != nil || n < 1):
				return 400, "width in X-Facts is no number of circuits"
			case name == "again":
				call.Again = n == 1
			}
		}
	}
	err := c.server.Names.Apply(&call, string(m.Get("Subject")), string(m.Get("Organization")), patience, m.ReceivedAt)
	if err != nil {
		return 400, err.Error()
	}
	echo := sip.EchoHeaders(m)
	if len(echo) > maxEchoBytes {
		return 400, "headers that an answer repeats are over 1 KiB"
	}
	s := c.server
	t := &txn{conn: c, id: id, number: number, sum: call.Fingerprint(), echo: echo, seq: seq}
	s.mu.Lock()
	c.stays()
	old := s.txns[id]
	twice := old != nil && old.conn == c && old.sum == t.sum && bytes.Equal(old.echo, t.echo)
	gone, full := c.gone || s.refusing || c.outstays(), c.open >= maxOpenCalls
	take := old == nil && !gone && !full
	if take {
		s.txns[id] = t
		c.ask()
		c.open++
	}
	s.mu.Unlock()
	switch {
	case old == nil && gone: // it had come before its caller could see the end; trying again is harmless
		return 503, "the connection ends"
	case old == nil && full:
		return 503, "too many set-ups open on the connection"
	case take:
		c.MarkHandled() // the core may ask for the client before the reader asks for more
		s.Core.Submit(call, s)
	case !twice: // joined, the answer to the first would go to whoever names its id
		return 482, "Call-ID of another set-up"
	}
	return 0, ""
}

func callID(id string) bool {
	if len(id) != 16 {
		return false
	}
	return strings.Trim(id, "0123456789abcdefABCDEF") == ""
}
