package control

import (
	"math"
	"slices"
)

// Unanswered set-ups: what silence tells, when one is called off, and what a server that fell silent gets.

// attempt is a set-up that no answer has come to. It stays after its call was called off or timed out, until
// a later one is answered (then it was lost: a processor takes set-ups in turn) or it is too old to tell
// anything.
type attempt struct {
	call  string
	at    int64
	off   bool  // called off, cut or timed out
	cutAt int64 // when it was cut: it was not silent; 0: not
}

// silent counts the set-ups on which a server is silent, and tells when the first and the last were sent.
// One sent before another that stood is lost, as a processor takes set-ups in turn; one that was cut with its
// connection says nothing of the processor behind it. Taken for silence, a single lost answer shut a well
// server, and nothing was sent any more that could have proved it lost.
func (s *server) silent() (n int, first, last int64) {
	for _, a := range s.out {
		if a.cutAt > 0 || a.at < s.provenAt {
			continue
		}
		if n++; n == 1 {
			first = a.at
		}
		last = a.at
	}
	return n, first, last
}

// misses counts the unanswered set-ups in a row, since the last one that stood; what is cut together with one
// connection counts once.
func (s *server) misses() (n int, first int64) {
	cutAt := int64(0)
	for _, a := range s.out {
		if !a.off || a.at < s.provenAt || a.cutAt > 0 && a.cutAt == cutAt {
			continue
		}
		if n++; n == 1 {
			first = a.at
		}
		cutAt = a.cutAt
	}
	return n, first
}

// overtaken finds set-ups lost before one that was sent at a time and answered now, and calls them off, so
// that the call has its later try in time. It guards against lost set-ups and answers of any cause; it could
// do harm where a server takes set-ups out of turn by more than the margin.
func (c *Controller) overtaken(s *server, sent int64) {
	for len(s.out) > 0 && s.out[0].at+overtakeMargin <= sent {
		s.lost.n = s.lost.now(c.now, lossFade) + 1
		c.callOff(s, &s.out[0])
		s.out = s.out[1:]
	}
}

// lossAt is the share of a server's set-ups whose answer gets lost: its own, weighed by their count, beside
// that of all servers together.
func (c *Controller) lossAt(s *server) float64 {
	c.refresh()
	lost := s.lost.now(c.now, lossFade)
	return (lost + lossPrior*c.loss) / (lost + s.came.now(c.now, lossFade) + lossPrior)
}

// pending counts the set-ups that are still waited for.
func (s *server) pending() (n int) {
	for _, a := range s.out {
		if !a.off {
			n++
		}
	}
	return n
}

// callOff cancels an attempt; it stays among the unanswered ones.
func (c *Controller) callOff(s *server, a *attempt) {
	cl := c.calls[a.call]
	if !a.off && cl != nil && cl.at == s && c.set.MayCancel && cl.attempts < c.set.MaxAttempts {
		c.acts = append(c.acts, Action{Kind: Cancel, Call: cl.id, Attempt: cl.attempts - 1})
		a.off = true
	}
}

// beat looks at the unanswered set-ups. One is called off as soon as its silence is more likely a lost answer
// than a slow one, by the share of losses and the usual delay, while its later try can still be in time. It
// covers lost answers and set-ups of any cause, and without losses never acts; when delays grow right after
// losses it may call off set-ups that would have stood.
func (c *Controller) beat() {
	c.beatDue = 0
	for _, s := range c.servers {
		for len(s.out) > 0 && s.out[0].off && c.now-s.out[0].at > missMost {
			s.out = s.out[1:]
		}
		for k := range s.out {
			a := &s.out[k]
			cl, age := c.calls[a.call], float64(c.now-a.at)
			if cl == nil || cl.deferred || age < 2*float64(overtakeMargin) {
				continue
			}
			usual := max(c.x, s.delay*math.Exp(-float64(c.now-s.newsAt)/c.span(newsFade)))
			inTime := float64(c.now+c.set.ClearWait-cl.first)+usual < float64(c.set.Classes[cl.class].Aim)
			loss := c.lossAt(s)
			if a.at < s.provenAt { // more likely lost than late, whatever the share of losses
				loss = max(loss, lossDoubt)
			}
			if inTime && math.Exp(-age/usual) < loss {
				c.callOff(s, a)
			}
		}
	}
	c.pulse()
}

// woke takes a beat that comes late: this front itself stood still. No server is at fault for the silence in
// between, and answers that waited here tell nothing of a queue. It covers stalls of any cause; a real jam
// that began meanwhile is seen that much later.
func (c *Controller) woke(late int64) {
	c.beatDue = c.now + beatEvery
	for _, s := range c.servers {
		s.newsAt, s.pressAt = s.newsAt+late, s.pressAt+late
		for k := range s.out {
			s.out[k].at += late
		}
	}
}

// pulse keeps the beat going while any set-up is unanswered.
func (c *Controller) pulse() {
	if c.beatDue == 0 && slices.ContainsFunc(c.servers, func(s *server) bool { return len(s.out) > 0 }) {
		c.beatDue = c.now + beatEvery
		c.acts = append(c.acts, Action{Kind: StartTimer, Wait: beatEvery})
	}
}

// take takes a call's latest attempt off the unanswered ones.
func (s *server) take(id string) (a attempt, ok bool) {
	for k := len(s.out) - 1; k >= 0; k-- {
		if a = s.out[k]; a.call == id {
			s.out = slices.Delete(s.out, k, k+1)
			return a, true
		}
	}
	return a, false
}

// missed takes the end of an attempt that no answer came to; it stays among the unanswered ones. One may be
// the way's fault, and the server rests for a moment. Chance losses explain a few in a row by the share seen
// on all servers; what they do not explain is a server that is down.
func (c *Controller) missed(s *server, id string, cut bool) {
	for k := range s.out {
		if a := &s.out[k]; a.call == id {
			if cut && !a.off {
				a.cutAt = c.now
			}
			a.off = true
		}
	}
	s.weight *= lossWeight
	s.markEnd = max(s.markEnd, c.now+markMin)
	n, first := s.misses()
	chance := math.Pow(max(c.lossAt(s), lossLeast), float64(n))
	if chance < downDoubt && c.now-first > trialFirst {
		c.fell(s)
	}
}
