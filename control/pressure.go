package control

import (
	"math"
	"slices"
)

// Overload of a server and backoff from it, its capacity, and the choice among the open servers.

// busyNumber is a dialled number whose lines were all busy: how long it gets no calls, and until when.
type busyNumber struct{ wait, until int64 }

// capacity is a server's capacity when warm: its peak rate, or without one its listed share, scaled by the servers that
// report rates. The present capacity is the reported rate while that is valid, else the warmed-up part of the former.
func (c *Controller) capacity(s *server, present bool) float64 {
	if present && s.rate > 0 && c.now-s.rateAt < rateMaxAge {
		return s.rate
	}
	size := s.peakRate
	if size == 0 {
		var rates, shares float64
		for _, o := range c.servers {
			if o.peakRate > 0 {
				rates, shares = rates+o.peakRate, shares+o.share
			}
		}
		if size = s.share; shares > 0 {
			size *= rates / shares
		}
	}
	if present {
		size *= c.capacityFraction(s)
	}
	return size
}

// decayingCount is a count that decays exponentially; decayed gives what is left of it.
type decayingCount struct {
	n  float64
	at int64
}

func (d *decayingCount) decayed(now int64, decay float64) float64 {
	d.n *= math.Exp(-float64(now-d.at) / decay)
	d.at = now
	return d.n
}

// perSecond turns a count over loadAveraging into a rate a second, allowing for the shorter time since a start.
func (c *Controller) perSecond(d *decayingCount) float64 {
	observed := loadAveraging * (1 - math.Exp(-float64(max(c.now-c.startedAt, second))/loadAveraging))
	return d.decayed(c.now, loadAveraging) * float64(second) / observed
}

// refreshTotals updates, once per event, what concerns all servers: the share of lost answers, and the recent peaks of
// this instance's carried load, in total and for a unit of capacity. The present load is not used: it is small while
// servers are away, and a new processor limited to its part of it would stay idle when it is needed most.
func (c *Controller) refreshTotals() {
	if c.refreshedAt == c.now {
		return
	}
	decay := math.Exp(-float64(c.now-c.refreshedAt) / peakDecay)
	c.refreshedAt, c.available = c.now, 0
	var capacity, lost, all float64
	for _, o := range c.servers {
		oneLost := o.lost.decayed(c.now, lossDecay)
		lost, all = lost+oneLost, all+oneLost+o.answered.decayed(c.now, lossDecay)
		if o.available {
			capacity += c.capacity(o, false) * c.capacityFraction(o)
			c.available++
		}
	}
	c.loss = lost / max(all, 1)
	carried := c.perSecond(&c.carried)
	c.peakLoad, c.loadPerUnit = max(c.peakLoad*decay, carried), c.loadPerUnit*decay
	if capacity > 0 {
		c.loadPerUnit = max(c.loadPerUnit, carried/capacity)
	}
}

// fairRate is this instance's fair share of a server's present capacity, in calls a second.
func (c *Controller) fairRate(s *server) float64 {
	c.refreshTotals()
	return c.loadPerUnit * c.capacity(s, true)
}

// expectedDelay is the set-up delay to expect at a server, the greatest of three: the delay of the last answers,
// decaying without new ones, plus the integral of excess delay; the age of the oldest unanswered set-up, which shows a
// hang or an overload before any answer; and the time that the unanswered ones take at this instance's fair share
// (Little's law, if others do so too), which keeps a burst off a small or long unused server. The last can limit a
// server much larger than its listed share to one set-up at a time.
func (c *Controller) expectedDelay(s *server) float64 {
	age := float64(c.now - s.delayAt)
	delay := s.delay*math.Exp(-age/c.scaled(delayDecay)) +
		s.excessDelay*math.Exp(-float64(c.now-s.excessDelayAt)/c.scaled(excessDecay))
	if n, first, last := s.silentSetUps(); n > 0 {
		// Silence blocks a server only between trials, which are rarer with each unanswered one, and counts only as far
		// as lost answers do not explain it.
		trialInterval := c.scaled(float64(min(minTrialInterval<<min(n-1, 8), maxTrialInterval)))
		perSetUp := 0.0 // time per set-up at this instance's fair share, as far as known
		if c.established >= minEstablished {
			perSetUp = float64(second) / max(c.fairRate(s), minFairRate)
		}
		if float64(c.now-last) < max(trialInterval, callsPerTrial*perSetUp) {
			silence := float64(c.now-first) * silentPrior / (silentPrior + math.Pow(c.lossShare(s), float64(n)))
			delay = max(delay, float64(s.pending())*perSetUp, silence)
		}
	}
	return delay
}

// value is what a call is still worth, in units of the least valuable class.
func (c *Controller) value(cl *call) float64 {
	class := c.cfg.Classes[cl.class]
	value := class.Value / c.minValue
	if c.now-cl.firstAt > class.TargetDelay {
		value *= class.LateValue
	}
	return value
}

// blocked tells whether a server is closed to this call: it answered this call with a fault, is in backoff, has its
// one trial pending, is out of lines or cold budget, or is overloaded beyond what the call's value and threshold allow.
func (c *Controller) blocked(s *server, cl *call) bool {
	if slices.Contains(cl.faultyServers, s) || c.now < s.backoffUntil || s.down && s.pending() > 0 ||
		!c.hasColdCredit(s) {
		return true
	}
	trialsOnly := s.earlyCuts.decayed(c.now, badShareDecay) > maxBadShare || c.faulty(s)
	if trialsOnly && float64(c.now-s.sentAt) < c.scaled(float64(maxTrialInterval)) {
		return true
	}
	value := c.value(cl)
	if float64(c.now-s.noLineAt) < float64(minBackoff)*min(max(1/(value*value), minLineFactor), maxLineFactor) {
		return true
	}
	scale := min(max(value, minValueScale), maxValueScale)
	pathDelay := 0.0
	if s.minDelay < math.MaxFloat64 {
		pathDelay = max(s.minDelay-pathDelayPart*c.refDelay, 0)
	}
	open, closed := rampStart*scale*c.refDelay+pathDelay, rampEnd*scale*c.refDelay+pathDelay
	class := c.cfg.Classes[cl.class]
	if limit := targetFraction * float64(class.TargetDelay); c.now-cl.firstAt <= class.TargetDelay && closed > limit {
		open, closed = min(open, limit/2), limit
	}
	return c.expectedDelay(s) > open+(closed-open)*cl.threshold
}

// allowed tells whether a server may take the call by the list, the call's class and other modules.
func (c *Controller) allowed(s *server, cl *call) bool {
	if !s.available || s.cell == c.cfg.OwnCell || c.excluded(s.id) || cl.inTransit && s.cell != cl.firstChoice {
		return false
	}
	cells := c.cfg.Classes[cl.class].Cells
	return c.cfg.Meshed || len(cells) == 0 || slices.Contains(cells, s.cell)
}

// pick draws a server at random, by weight and capacity, among those that may take the call and are open to it.
func (c *Controller) pick(cl *call) *server {
	var total float64
	var open []*server
	for _, s := range c.servers {
		if c.allowed(s, cl) && !c.blocked(s, cl) {
			age := float64(c.now-s.weightAt) / float64(second)
			s.weight += (1 - s.weight) * (1 - math.Exp(-weightRecovery*age))
			s.weightAt = c.now
			total += s.weight * c.capacity(s, true)
			open = append(open, s)
		}
	}
	left := c.rng.Float64() * total
	for k, s := range open {
		if left -= s.weight * c.capacity(s, true); left < 0 || k == len(open)-1 {
			return s
		}
	}
	return nil
}

// recordAnswer takes a server's answer to a set-up. Its delay counts as minDelay at least, 0 for a success.
func (c *Controller) recordAnswer(s *server, id string, minDelay float64) {
	a, ok := s.removeAttempt(id)
	if !ok {
		return
	}
	s.answered.n = s.answered.decayed(c.now, lossDecay) + 1
	c.cancelOvertaken(s, a.sentAt)
	delay, gap := max(float64(c.now-a.sentAt), minDelay), float64(c.now-s.delayAt)
	if minDelay == 0 {
		s.establishedSentAt = max(s.establishedSentAt, a.sentAt)
		c.spacing = max(c.spacing+spacingSmoothing*(delay-c.spacing), float64(c.cfg.Resolution), 1)
	}
	s.minDelay = min(delay, s.minDelay*(1+gap/minDelayDecay))
	c.addExcessDelay(s, delay)
	if gap > c.scaled(delayDecay) {
		s.delay = delay
	}
	s.delay += delaySmoothing * (delay - s.delay)
	s.weight = min(s.weight, c.refDelay/(c.refDelay+delay))
	s.delayAt, s.weightAt = c.now, c.now
}

// addExcessDelay updates the integral of delays beyond the threshold, which counts as overload however few the samples
// are: many instances that sample a server seldom would otherwise swing between flooding and avoiding it together. The
// integral is scaled by the chance that no answer comes while the tracked delay decays, so that frequent samples hardly
// add to it. It covers slow processors, overload and a lack of lines; it can keep calls off a recovered server for
// seconds.
func (c *Controller) addExcessDelay(s *server, delay float64) {
	if c.established < minEstablished {
		return
	}
	gap := float64(c.now - s.excessDelayAt)
	threshold := min(max(excessFrom*c.refDelay, 2*s.minDelay), rampEnd*c.refDelay) // small ones are slow even when idle
	noAnswer := math.Exp(-c.fairRate(s) * c.scaled(delayDecay) / float64(second))
	more := excessGain * (delay - threshold) * min(gap, c.scaled(maxExcessGap)) / c.scaled(float64(second)) * noAnswer
	s.excessDelay = min(max(s.excessDelay*math.Exp(-gap/c.scaled(excessDecay))+more, 0), maxExcess*c.refDelay)
	s.excessDelayAt = c.now
}

// onLoadReport takes a load report. Measured delays count as overload whatever is reported. The number of free lines is
// soon out of date, as calls end all the time: no free line counts as long as an answer for lack of lines does.
func (c *Controller) onLoadReport(s *server, report []float64) {
	value := func(index int) float64 { // -1: none
		if index < 0 || index >= len(report) {
			return -1
		}
		return report[index]
	}
	if rate := value(c.rateField); rate > 0 {
		if s.rate == 0 || c.now-s.rateAt >= rateMaxAge {
			s.rate = rate
		}
		s.rate += rateSmoothing * (rate - s.rate)
		s.peakRate = max(s.peakRate*math.Exp(-float64(c.now-s.rateAt)/peakDecay), s.rate)
		s.rateAt = c.now
	}
	if spare := value(c.spareField); spare >= 0 && spare < 1 {
		s.noLineAt = c.now
	}
}

// recordCallEnd counts how established calls end. A server that establishes calls and cuts them at once looks fast and
// healthy otherwise; while most are cut early it gets one trial at a time. A crash, a drain or lost lines cut calls of
// any age once and hardly count, but one such event may close a server with few calls.
func (c *Controller) recordCallEnd(s *server, early bool) {
	s.earlyCuts.n = s.earlyCuts.decayed(c.now, badShareDecay) * (1 - badShareSmoothing)
	if early {
		s.earlyCuts.n += badShareSmoothing
	}
}

// recordOutcome takes what the outcome of an attempt tells about the server.
func (c *Controller) recordOutcome(s *server, ev Event) {
	switch {
	case !slices.ContainsFunc(s.unanswered, func(a attempt) bool { return a.call == ev.Call && !a.abandoned }):
		return // it was established; a cut call tells nothing about the processor's queue
	case ev.Outcome == Canceled || ev.Outcome == Unavailable || ev.Note == noteNoLine:
		s.removeAttempt(ev.Call) // canceled, or without a line: it tells nothing about the processor
		if ev.Outcome != Canceled {
			s.noLineAt = c.now
			c.addExcessDelay(s, saturatedDelay*c.refDelay)
		}
	case ev.Outcome == TimedOut || ev.Outcome == ConnectionLost:
		c.recordMiss(s, ev.Call, ev.Outcome == ConnectionLost)
	case ev.Outcome == ConnectionRefused:
		s.removeAttempt(ev.Call)
		s.backoffUntil = max(s.backoffUntil, c.now+minTrialInterval)
		c.markDown(s)
	case ev.Outcome == Errored:
		if ev.Note == noteNumberBusy {
			c.recordAnswer(s, ev.Call, 1)
			return
		}
		s.removeAttempt(ev.Call) // a fast fault overtakes others in the queue, and is no set-up delay
		s.answered.n = s.answered.decayed(c.now, lossDecay) + 1
		if cl := c.calls[ev.Call]; cl != nil {
			cl.faultyServers = append(cl.faultyServers, s)
			s.faults.n = s.faults.decayed(c.now, badShareDecay)*(1-badShareSmoothing) + badShareSmoothing
		}
	case ev.Outcome == Saturated:
		// A fast "full" must not count as a fast set-up, or it would attract calls to a failing server. This covers any
		// server that fails fast; one that is full for an instant is avoided for about two seconds.
		c.recordAnswer(s, ev.Call, saturatedDelay*c.refDelay)
		// The wait that a server asks for is kept up to maxTrialInterval; a longer one is then tested by a single
		// trial, as a processor that dropped its queue or restarted would otherwise stay idle.
		s.down = s.down || ev.WaitMS*1e6 > maxTrialInterval
		s.backoffUntil = max(s.backoffUntil,
			c.now+max(int64(c.spacing), minBackoff, min(ev.WaitMS*1e6, maxTrialInterval)))
	}
}

// recordFault takes a fault of a server on a call that another server established. Such a server looks fast but is as
// useless as one that cuts established calls. A single chance fault keeps calls off it for minBackoff only.
func (c *Controller) recordFault(s *server) {
	s.backoffUntil = max(s.backoffUntil, c.now+minBackoff)
	s.weight *= faultWeightFactor
	c.recordCallEnd(s, true)
}

// faulty tells whether a server answers with faults where another succeeds. A call that nobody can handle gets a fault
// everywhere, and callers that send such calls would close all servers to everyone: so only the excess over the best
// server's share of faults counts. If all servers fail at once, none is closed.
func (c *Controller) faulty(s *server) bool {
	own := s.faults.decayed(c.now, badShareDecay)
	return own > maxBadShare && slices.ContainsFunc(c.servers, func(o *server) bool {
		return o.available && own > o.faults.decayed(c.now, badShareDecay)+maxBadShare
	})
}

// recordBusyNumber keeps calls from a number whose lines are all busy. It limits any flood to one number; a line that
// is freed meanwhile stays unused for up to maxBusyWait.
func (c *Controller) recordBusyNumber(key string) {
	if len(c.busyNumbers) >= maxNumbers {
		clear(c.busyNumbers) // all at once, so that the result does not depend on map order
	}
	wait := min(max(minBusyWait, 2*c.busyNumbers[key].wait), maxBusyWait)
	c.busyNumbers[key] = busyNumber{wait, c.now + wait}
}
