package callws

import (
	"masthill/internal/exchange"
	"masthill/internal/sip"
)

// Answer implements exchange.Caller. An answer to a call without a socket is not lost: the exchange has it on record, and
// the caller gets it when it sends the call again.
func (f *Front) Answer(key string, final exchange.FinalAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls[key]
	if c == nil {
		return
	}
	if c.socket != nil && !c.accepted {
		c.socket.unanswered--
	}
	if final.Kind != exchange.Established {
		delete(f.calls, key)
	} else if c.socket != nil {
		c.accepted = true
	}
	if c.socket != nil {
		c.socket.send(answerMessage(c, final))
	}
}

func answerMessage(c *call, final exchange.FinalAnswer) reply {
	return reply{Type: final.Kind.String(), ID: c.id, LaterMS: final.RetryAfter.Milliseconds(), description: describe(final.Description)}
}

// answerOverhead is more than the size in bytes of an answer beside its id and description.
const answerOverhead = 256

// maxEscape is the greatest number of bytes that JSON takes for one byte of text.
const maxEscape = 6

// CanDeliver implements exchange.AnswerChecker.
func (f *Front) CanDeliver(key string, final exchange.FinalAnswer) bool {
	if (len(final.Description)+maxIDBytes)*maxEscape+answerOverhead <= maxMessage {
		return true
	}
	c, _ := f.lookup(key)
	if c == nil {
		return true // its caller has given it up, and gets no answer
	}
	_, err := encode(answerMessage(c, final))
	return err == nil
}

// Presence implements exchange.PresenceChecker. A call belongs to the socket on which it was last received.
func (f *Front) Presence(key string) exchange.Presence {
	c, s := f.lookup(key)
	if s == nil {
		return exchange.Gone
	}
	input := s.in.State()
	current, currentSocket := f.lookup(key)
	switch {
	case current != c || currentSocket == nil: // canceled or closed before State was called, which then finds nothing unread
		return exchange.Gone
	case currentSocket != s: // meanwhile joined from another socket, on which the caller has just been heard
		return exchange.Connected
	case input == sip.InputEnded:
		return exchange.Gone
	case input == sip.InputUnread:
		return exchange.InputPending
	}
	return exchange.Connected
}

// lookup returns a call of this front and the socket that it belongs to; each is nil if there is none.
func (f *Front) lookup(key string) (*call, *socket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls[key]
	if c == nil {
		return nil, nil
	}
	return c, c.socket
}
