package callws

import (
	"time"

	"masthill/internal/exchange"
	"masthill/internal/sip"
)

// Answer implements exchange.Caller. An answer that finds no socket is on record: the caller gets it when it
// sends the call again.
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
	if final.Verdict != exchange.Stands {
		delete(f.calls, key)
	} else if c.socket != nil {
		c.accepted = true
	}
	if c.socket != nil {
		c.socket.send(reply{Type: final.Verdict.String(), ID: c.id, LaterMS: final.Wait.Milliseconds(),
			description: describe(final.Description)})
	}
}

// Presence implements exchange.PresenceChecker. A call belongs to the socket that it came on last.
func (f *Front) Presence(key string) exchange.Presence {
	c, s := f.lookup(key)
	if s == nil {
		return exchange.Gone
	}
	input := s.in.State()
	now, at := f.lookup(key)
	switch {
	case now != c || at == nil: // cancelled or closed before the look, which then finds nothing unread
		return exchange.Gone
	case at != s: // joined from another socket meanwhile, which was heard in that moment
		return exchange.Connected
	case input == sip.InputEnded:
		return exchange.Gone
	case input == sip.InputUnread:
		return exchange.InputPending
	}
	return exchange.Connected
}

// waiting gives a call that waits for its answer and the socket that it belongs to, or nil.
func (f *Front) lookup(key string) (*call, *socket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls[key]
	if c == nil {
		return nil, nil
	}
	return c, c.socket
}

// Release implements exchange.Caller. It goes to the call's socket, to another of the same caller, or to the
// next one that the caller opens.
func (f *Front) Release(key string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls[key]
	if c == nil {
		return
	}
	to := c.socket
	for s := range f.sockets {
		if to == nil && s.identity == c.identity {
			to = s
		}
	}
	if to == nil {
		c.released, c.cut, c.detachedAt = true, cut, time.Now()
		return
	}
	delete(f.calls, key)
	to.send(reply{Type: "released", ID: c.id, Cut: &cut})
}
