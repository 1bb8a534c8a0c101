package caller

import (
	"fmt"
	"time"

	"masthill/internal/exchange"
	"masthill/internal/sip"
)

// answerStatus maps a final answer to its SIP status.
var answerStatus = map[exchange.AnswerKind]int{exchange.Established: 200, exchange.Refused: 503, exchange.Failed: 500}

// Answer implements exchange.Caller.
func (s *Server) Answer(id string, answer exchange.FinalAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.transactions[id]
	if t == nil || t.established {
		return // a call gets no second answer
	}
	b := answerMessage(t, answer)
	if answer.Kind == exchange.Established {
		t.established, t.echoedHeaders = true, nil
		t.openCalls, t.establishedCalls, t.lastUsed = t.openCalls-1, t.establishedCalls+1, time.Now()
		t.wakeIfDrained()
	} else {
		s.remove(t)
	}
	t.Send(b)
}

func answerMessage(t *transaction, answer exchange.FinalAnswer) []byte {
	b := sip.AppendStatus(make([]byte, 0, 512+len(answer.Description)), answerStatus[answer.Kind])
	b = append(b, t.echoedHeaders...)
	if answer.RetryAfter > 0 {
		b = fmt.Appendf(b, "X-Later-Ms: %d\r\n", answer.RetryAfter.Milliseconds())
	}
	return sip.AppendBody(b, answer.Description)
}

// CanDeliver implements exchange.AnswerChecker.
func (s *Server) CanDeliver(id string, answer exchange.FinalAnswer) bool {
	if len(answer.Description)+maxEchoBytes+headerReserve <= sip.MaxMessage {
		return true
	}
	t := s.openTransaction(id)
	return t == nil || len(answerMessage(t, answer)) <= sip.MaxMessage
}

// Presence implements exchange.PresenceChecker. A set-up belongs to its connection, and only that may cancel it.
func (s *Server) Presence(id string) exchange.Presence {
	t := s.openTransaction(id)
	if t == nil {
		return exchange.Gone
	}
	input := t.Input()
	switch {
	case input == sip.InputEnded, s.openTransaction(id) != t: // cancelled before Input, which then reports nothing unread
		return exchange.Gone
	case input == sip.InputUnread:
		return exchange.InputPending
	}
	return exchange.Connected
}

// openTransaction returns the transaction of an unanswered set-up, or nil.
func (s *Server) openTransaction(id string) *transaction {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.transactions[id]; t != nil && t.conn != nil {
		return t
	}
	return nil
}
