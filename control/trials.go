package control

import (
	"math"
	"slices"
)

// Unanswered set-ups: what silence means, when one is canceled, and the trials of a silent server.

// attempt is a set-up without an answer. It stays after it was canceled or timed out, until a later one is answered
// (then it was lost, as a processor handles set-ups in order) or until it is too old to tell anything.
type attempt struct {
	call      string
	sentAt    int64
	abandoned bool  // canceled, timed out, or its connection was lost
	cutAt     int64 // when its connection was lost, which is not silence; 0: it was not
}

// silentSetUps counts the set-ups on which a server is silent, and tells when the first and the last were sent. One
// sent before another that was established is lost, as a processor handles set-ups in order; one whose connection was
// lost says nothing about the processor. Counted as silence, a single lost answer would close a healthy server, and
// nothing more would be sent that could prove it lost.
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

// missedInARow counts the misses since the last established set-up; those lost with one connection count once.
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

// cancelOvertaken takes set-ups for lost that were sent reorderMargin before one that is answered now, and cancels
// them, so that the call gets its held attempt in time. It covers lost set-ups and answers of any cause; it would do
// harm where a server handles set-ups out of order by more than the margin.
func (c *Controller) cancelOvertaken(s *server, answeredSentAt int64) {
	for len(s.unanswered) > 0 && s.unanswered[0].sentAt+reorderMargin <= answeredSentAt {
		s.lost.n = s.lost.decayed(c.now, lossDecay) + 1
		c.cancel(s, &s.unanswered[0])
		s.unanswered = s.unanswered[1:]
	}
}

// lossShare is the share of lost answers to a server's set-ups. The fewer set-ups, the more that of all servers counts.
func (c *Controller) lossShare(s *server) float64 {
	c.refreshTotals()
	lost := s.lost.decayed(c.now, lossDecay)
	return (lost + lossPrior*c.loss) / (lost + s.answered.decayed(c.now, lossDecay) + lossPrior)
}

// pending counts the set-ups whose answer is still awaited.
func (s *server) pending() (n int) {
	for _, a := range s.unanswered {
		if !a.abandoned {
			n++
		}
	}
	return n
}

// cancel cancels an attempt, if that is allowed and its call has attempts left. It stays among the unanswered ones.
func (c *Controller) cancel(s *server, a *attempt) {
	cl := c.calls[a.call]
	if !a.abandoned && cl != nil && cl.server == s && c.cfg.MayCancel && cl.attempts < c.cfg.MaxAttempts {
		c.actions = append(c.actions, Action{Kind: Cancel, Call: cl.id, Attempt: cl.attempts - 1})
		a.abandoned = true
	}
}

// checkUnanswered cancels a set-up as soon as its answer is more likely lost than late, by the share of losses and the
// usual delay, while the held attempt can still be in time. It covers losses of any cause. Without any, only set-ups
// sent before an established one are canceled; when delays grow right after losses, some that would have succeeded.
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
			inTime := float64(c.now+c.cfg.ReleaseWait-cl.firstAt)+usual < float64(c.cfg.Classes[cl.class].TargetDelay)
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

// compensateStall is called when a check comes late because this instance itself was stalled. The servers are not to
// blame for the silence, and answers that waited here tell nothing about a queue: the times of delays and unanswered
// set-ups are moved forward. This covers stalls of any cause; a real overload that began meanwhile is noticed that much
// later.
func (c *Controller) compensateStall(late int64) {
	c.checkDue = c.now + checkInterval
	for _, s := range c.servers {
		s.delayAt, s.excessDelayAt = s.delayAt+late, s.excessDelayAt+late
		for k := range s.unanswered {
			s.unanswered[k].sentAt += late
		}
	}
}

// scheduleCheck sets the timer of the next check while any set-up is unanswered.
func (c *Controller) scheduleCheck() {
	if c.checkDue == 0 && slices.ContainsFunc(c.servers, func(s *server) bool { return len(s.unanswered) > 0 }) {
		c.checkDue = c.now + checkInterval
		c.actions = append(c.actions, Action{Kind: StartTimer, Wait: checkInterval})
	}
}

// removeAttempt removes and returns the latest unanswered set-up of a call.
func (s *server) removeAttempt(id string) (a attempt, ok bool) {
	for k := len(s.unanswered) - 1; k >= 0; k-- {
		if a = s.unanswered[k]; a.call == id {
			s.unanswered = slices.Delete(s.unanswered, k, k+1)
			return a, true
		}
	}
	return a, false
}

// recordMiss takes the end of an attempt without an answer, which stays among the unanswered ones. One may be the
// network's fault, and the server gets a short backoff. A few in a row may be chance, by the share of lost answers; a
// server with more is down.
func (c *Controller) recordMiss(s *server, id string, connectionLost bool) {
	for k := range s.unanswered {
		if a := &s.unanswered[k]; a.call == id {
			if connectionLost && !a.abandoned {
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
