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
	call      string
	sentAt    int64
	abandoned bool  // called off, cut or timed out
	cutAt     int64 // when it was cut: it was not silent; 0: not
}

// silent counts the set-ups on which a server is silent, and tells when the first and the last were sent.
// One sent before another that stood is lost, as a processor takes set-ups in turn; one that was cut with its
// connection says nothing of the processor behind it. Taken for silence, a single lost answer shut a well
// server, and nothing was sent any more that could have proved it lost.
func (s *server) silentSetUps() (n int, first, last int64) {
	for _, a := range s.unanswered {
		if a.cutAt > 0 || a.sentAt < s.establishedSentAt {
			continue
		}
		if n++; n == 1 {
			first = a.sentAt
		}
		last = a.sentAt
	}
	return n, first, last
}

// misses counts the unanswered set-ups in a row, since the last one that stood; what is cut together with one
// connection counts once.
func (s *server) missedInARow() (n int, first int64) {
	cutAt := int64(0)
	for _, a := range s.unanswered {
		if !a.abandoned || a.sentAt < s.establishedSentAt || a.cutAt > 0 && a.cutAt == cutAt {
			continue
		}
		if n++; n == 1 {
			first = a.sentAt
		}
		cutAt = a.cutAt
	}
	return n, first
}

// overtaken finds set-ups lost before one that was sent at a time and answered now, and calls them off, so
// that the call has its later try in time. It guards against lost set-ups and answers of any cause; it could
// do harm where a server takes set-ups out of turn by more than the margin.
func (c *Controller) cancelOvertaken(s *server, sent int64) {
	for len(s.unanswered) > 0 && s.unanswered[0].sentAt+reorderMargin <= sent {
		s.lost.n = s.lost.decayed(c.now, lossDecay) + 1
		c.cancel(s, &s.unanswered[0])
		s.unanswered = s.unanswered[1:]
	}
}

// lossAt is the share of a server's set-ups whose answer gets lost: its own, weighed by their count, beside
// that of all servers together.
func (c *Controller) lossShare(s *server) float64 {
	c.refreshTotals()
	lost := s.lost.decayed(c.now, lossDecay)
	return (lost + lossPrior*c.loss) / (lost + s.answered.decayed(c.now, lossDecay) + lossPrior)
}

// pending counts the set-ups that are still waited for.
func (s *server) pending() (n int) {
	for _, a := range s.unanswered {
		if !a.abandoned {
			n++
		}
	}
	return n
}

// callOff cancels an attempt; it stays among the unanswered ones.
func (c *Controller) cancel(s *server, a *attempt) {
	cl := c.calls[a.call]
	if !a.abandoned && cl != nil && cl.server == s && c.cfg.MayCancel && cl.attempts < c.cfg.MaxAttempts {
		c.actions = append(c.actions, Action{Kind: Cancel, Call: cl.id, Attempt: cl.attempts - 1})
		a.abandoned = true
	}
}

// beat looks at the unanswered set-ups. One is called off as soon as its silence is more likely a lost answer
// than a slow one, by the share of losses and the usual delay, while its later try can still be in time. It
// covers lost answers and set-ups of any cause, and without losses never acts; when delays grow right after
// losses it may call off set-ups that would have stood.
func (c *Controller) checkUnanswered() {
	c.checkDue = 0
	for _, s := range c.servers {
		for len(s.unanswered) > 0 && s.unanswered[0].abandoned && c.now-s.unanswered[0].sentAt > maxUnansweredAge {
			s.unanswered = s.unanswered[1:]
		}
		for k := range s.unanswered {
			a := &s.unanswered[k]
			cl, age := c.calls[a.call], float64(c.now-a.sentAt)
			if cl == nil || cl.deferred || age < 2*float64(reorderMargin) {
				continue
			}
			usual := max(c.spacing, s.delay*math.Exp(-float64(c.now-s.delayAt)/c.scaled(delayDecay)))
			inTime := float64(c.now+c.cfg.ClearWait-cl.firstAt)+usual < float64(c.cfg.Classes[cl.class].Aim)
			loss := c.lossShare(s)
			if a.sentAt < s.establishedSentAt { // more likely lost than late, whatever the share of losses
				loss = max(loss, silentPrior)
			}
			if inTime && math.Exp(-age/usual) < loss {
				c.cancel(s, a)
			}
		}
	}
	c.scheduleCheck()
}

// woke takes a beat that comes late: this front itself stood still. No server is at fault for the silence in
// between, and answers that waited here tell nothing of a queue. It covers stalls of any cause; a real jam
// that began meanwhile is seen that much later.
func (c *Controller) compensateStall(late int64) {
	c.checkDue = c.now + checkInterval
	for _, s := range c.servers {
		s.delayAt, s.excessDelayAt = s.delayAt+late, s.excessDelayAt+late
		for k := range s.unanswered {
			s.unanswered[k].sentAt += late
		}
	}
}

// pulse keeps the beat going while any set-up is unanswered.
func (c *Controller) scheduleCheck() {
	if c.checkDue == 0 && slices.ContainsFunc(c.servers, func(s *server) bool { return len(s.unanswered) > 0 }) {
		c.checkDue = c.now + checkInterval
		c.actions = append(c.actions, Action{Kind: StartTimer, Wait: checkInterval})
	}
}

// take takes a call's latest attempt off the unanswered ones.
func (s *server) removeAttempt(id string) (a attempt, ok bool) {
	for k := len(s.unanswered) - 1; k >= 0; k-- {
		if a = s.unanswered[k]; a.call == id {
			s.unanswered = slices.Delete(s.unanswered, k, k+1)
			return a, true
		}
	}
	return a, false
}

// missed takes the end of an attempt that no answer came to; it stays among the unanswered ones. One may be
// the way's fault, and the server rests for a moment. Chance losses explain a few in a row by the share seen
// on all servers; what they do not explain is a server that is down.
func (c *Controller) recordMiss(s *server, id string, cut bool) {
	for k := range s.unanswered {
		if a := &s.unanswered[k]; a.call == id {
			if cut && !a.abandoned {
				a.cutAt = c.now
			}
			a.abandoned = true
		}
	}
	s.weight *= faultWeightFactor
	s.backoffUntil = max(s.backoffUntil, c.now+minBackoff)
	n, first := s.missedInARow()
	chance := math.Pow(max(c.lossShare(s), minLoss), float64(n))
	if chance < downThreshold && c.now-first > minTrialInterval {
		c.markDown(s)
	}
}
