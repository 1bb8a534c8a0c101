package control

import (
	"math"
	"slices"
)

// What presses and marks a server, how large it is, and the draw among the unmarked ones.

// hot is a number whose lines were all found busy: how long it is left alone, and until when.
type busyNumber struct{ wait, until int64 }

// size is a server's capacity: at present, or when well. Its reported rate comes first, while fresh; without
// one, its listed share in the measure of those that report, cold ones in part.
func (c *Controller) capacity(s *server, present bool) float64 {
	if present && s.rate > 0 && c.now-s.rateAt < rateMaxAge {
		return s.rate
	}
	size := s.peakRate
	if size == 0 {
		var well, share float64
		for _, o := range c.servers {
			if o.peakRate > 0 {
				well, share = well+o.peakRate, share+o.share
			}
		}
		if size = s.share; share > 0 {
			size *= well / share
		}
	}
	if present {
		size *= c.capacityFraction(s)
	}
	return size
}

// fading is a count that is forgotten with time; now gives what is left of it.
type decayingCount struct {
	n  float64
	at int64
}

func (f *decayingCount) decayed(now int64, span float64) float64 {
	f.n *= math.Exp(-float64(now-f.at) / span)
	f.at = now
	return f.n
}

// rate makes a count over bornSpan one of calls a second; after a start it has seen less.
func (c *Controller) perSecond(f *decayingCount) float64 {
	seen := loadAveraging * (1 - math.Exp(-float64(max(c.now-c.startedAt, second))/loadAveraging))
	return f.decayed(c.now, loadAveraging) * float64(second) / seen
}

// refresh does once an event what takes all servers together: the share of lost answers, and the most that
// this front's calls have lately borne, in all and on a unit of size. The present load would not do: while
// servers are away it is small, and a new processor, held to its part of that, would stay idle when needed
// most.
func (c *Controller) refreshTotals() {
	if c.refreshedAt == c.now {
		return
	}
	kept := math.Exp(-float64(c.now-c.refreshedAt) / peakDecay)
	c.refreshedAt, c.available = c.now, 0
	var total, lost, all float64
	for _, o := range c.servers {
		l := o.lost.decayed(c.now, lossDecay)
		lost, all = lost+l, all+l+o.answered.decayed(c.now, lossDecay)
		if o.available {
			total += c.capacity(o, false) * c.capacityFraction(o)
			c.available++
		}
	}
	c.loss = lost / max(all, 1)
	borne := c.perSecond(&c.carried)
	c.peakLoad, c.loadPerUnit = max(c.peakLoad*kept, borne), c.loadPerUnit*kept
	if total > 0 {
		c.loadPerUnit = max(c.loadPerUnit, borne/total)
	}
}

// fair is this front's fair part of a server's present capacity, in calls a second.
func (c *Controller) fairRate(s *server) float64 {
	c.refreshTotals()
	return c.loadPerUnit * c.capacity(s, true)
}

// delayAt is the set-up delay to expect at a server, the worst of three: what stood last, fading without
// news, and the integral; the age of the longest unanswered set-up, which sees a hang or a jam before any
// answer; and the time that the unanswered ones take at this front's fair part of the server (Little's law,
// if the others do alike), which keeps a burst off a small or long unused server. The last can hold calls off
// a server much larger than its share says, down to one out at a time.
func (c *Controller) expectedDelay(s *server) float64 {
	gap := float64(c.now - s.delayAt)
	d := s.delay*math.Exp(-gap/c.scaled(delayDecay)) +
		s.excessDelay*math.Exp(-float64(c.now-s.excessDelayAt)/c.scaled(excessDecay))
	if n, first, last := s.silentSetUps(); n > 0 {
		// Silence shuts a server only between trials, rarer with each unanswered one. Where answers get lost
		// it counts for no more than the loss leaves unexplained.
		rest := c.scaled(float64(min(minTrialInterval<<min(n-1, 8), maxTrialInterval)))
		each := 0.0 // time that a set-up takes at this front's fair part, as far as that is known
		if c.established >= minEstablished {
			each = float64(second) / max(c.fairRate(s), minFairRate)
		}
		if float64(c.now-last) < max(rest, callsPerTrial*each) {
			unsaid := float64(c.now-first) * silentPrior / (silentPrior + math.Pow(c.lossShare(s), float64(n)))
			d = max(d, float64(s.pending())*each, unsaid)
		}
	}
	return d
}

// worth is what a call can still earn, in units of the least class's worth.
func (c *Controller) value(cl *call) float64 {
	g := c.cfg.Classes[cl.class]
	w := g.Worth / c.minValue
	if c.now-cl.firstAt > g.Aim {
		w *= g.LateValue
	}
	return w
}

// marked tells whether a server is no room for this call: it answered it with a fault, or is marked by an
// answer, on trial, out of lines, out of its cold budget, or pressed beyond what its worth and luck bear.
func (c *Controller) blocked(s *server, cl *call) bool {
	if slices.Contains(cl.faultyServers, s) || c.now < s.backoffUntil || s.down && s.pending() > 0 || !c.hasColdCredit(s) {
		return true
	}
	shut := s.earlyCuts.decayed(c.now, badShareDecay) > maxBadShare || c.faulty(s)
	if shut && float64(c.now-s.sentAt) < c.scaled(float64(maxTrialInterval)) {
		return true
	}
	worth := c.value(cl)
	if float64(c.now-s.noLineAt) < float64(minBackoff)*min(max(1/(worth*worth), minLineFactor), maxLineFactor) {
		return true
	}
	scale := min(max(worth, minValueScale), maxValueScale)
	way := 0.0
	if s.minDelay < math.MaxFloat64 {
		way = max(s.minDelay-pathDelayPart*c.refDelay, 0)
	}
	from, full := rampStart*scale*c.refDelay+way, rampEnd*scale*c.refDelay+way
	g := c.cfg.Classes[cl.class]
	if limit := targetFraction * float64(g.Aim); c.now-cl.firstAt <= g.Aim && full > limit {
		from, full = min(from, limit/2), limit
	}
	return c.expectedDelay(s) > from+(full-from)*cl.threshold
}

// allowed tells whether a server may take the call at all, now that no module beside this one keeps it off.
func (c *Controller) allowed(s *server, cl *call) bool {
	if !s.available || s.cell == c.cfg.ThisNode || c.excluded(s.id) || cl.inTransit && s.cell != cl.firstChoice {
		return false
	}
	cells := c.cfg.Classes[cl.class].Cells
	return c.cfg.Meshed || len(cells) == 0 || slices.Contains(cells, s.cell)
}

// draw picks a server by weight and size among the allowed and unmarked ones.
func (c *Controller) pick(cl *call) *server {
	var total float64
	var from []*server
	for _, s := range c.servers {
		if c.allowed(s, cl) && !c.blocked(s, cl) {
			age := float64(c.now-s.weightAt) / float64(second)
			s.weight += (1 - s.weight) * (1 - math.Exp(-weightRecovery*age))
			s.weightAt = c.now
			total += s.weight * c.capacity(s, true)
			from = append(from, s)
		}
	}
	u := c.rng.Float64() * total
	for k, s := range from {
		if u -= s.weight * c.capacity(s, true); u < 0 || k == len(from)-1 {
			return s
		}
	}
	return nil
}

// answered takes a server's answer to one set-up: its delay is news, of at least so much for one that did not
// stand.
func (c *Controller) recordAnswer(s *server, id string, least float64) {
	a, ok := s.removeAttempt(id)
	if !ok {
		return
	}
	s.answered.n = s.answered.decayed(c.now, lossDecay) + 1
	c.cancelOvertaken(s, a.sentAt)
	delay, gap := max(float64(c.now-a.sentAt), least), float64(c.now-s.delayAt)
	if least == 0 {
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

// push feeds the integral of delays beyond the aimed-at one, which presses a server however few the samples
// are: many fronts that each look seldom would else swing between flood and drought together. It counts by
// the chance that no news comes while the tracked delay fades, so that many samples leave it out. It covers
// slow processors, jams, overload and lines that are short alike; it can hold calls off a recovered server
// for some seconds.
func (c *Controller) addExcessDelay(s *server, delay float64) {
	if c.established < minEstablished {
		return
	}
	gap := float64(c.now - s.excessDelayAt)
	aim := min(max(excessFrom*c.refDelay, 2*s.minDelay), rampEnd*c.refDelay) // a small server is slow by itself
	seldom := math.Exp(-c.fairRate(s) * c.scaled(delayDecay) / float64(second))
	more := excessGain * (delay - aim) * min(gap, c.scaled(maxExcessGap)) / c.scaled(float64(second)) * seldom
	s.excessDelay = min(max(s.excessDelay*math.Exp(-gap/c.scaled(excessDecay))+more, 0), maxExcess*c.refDelay)
	s.excessDelayAt = c.now
}

// report takes a load report. Own delays press a server whatever it reports. Free lines are old news within a
// moment, as calls end all the time: none free marks for as long as an answer without a line would.
func (c *Controller) onLoadReport(s *server, r []float64) {
	value := func(at int) float64 { // -1: none
		if at < 0 || at >= len(r) {
			return -1
		}
		return r[at]
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

// ended follows how calls that stood came to an end. A server that stands calls and cuts them again looks
// quick and well to all else; while most are cut young it gets one trial at a time. A crash, a drain or lost
// lines cut calls of any age, once, and hardly count; a server with few calls may be shut by one.
func (c *Controller) recordCallEnd(s *server, young bool) {
	s.earlyCuts.n = s.earlyCuts.decayed(c.now, badShareDecay) * (1 - badShareSmoothing)
	if young {
		s.earlyCuts.n += badShareSmoothing
	}
}

// judge marks a server by how an attempt ended.
func (c *Controller) recordOutcome(s *server, ev Event) {
	switch {
	case !slices.ContainsFunc(s.unanswered, func(a attempt) bool { return a.call == ev.Call && !a.abandoned }):
		return // it stood before; a cut call tells nothing of the processor's queue
	case ev.Outcome == Canceled || ev.Outcome == Unavailable || ev.Note == noteNoLine:
		s.removeAttempt(ev.Call) // called off, or without a line: it tells nothing of the processor
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
		s.removeAttempt(ev.Call) // a quick fault overtakes others in the queue, and is no delay of a set-up
		s.answered.n = s.answered.decayed(c.now, lossDecay) + 1
		if cl := c.calls[ev.Call]; cl != nil {
			cl.faultyServers = append(cl.faultyServers, s)
			s.faults.n = s.faults.decayed(c.now, badShareDecay)*(1-badShareSmoothing) + badShareSmoothing
		}
	case ev.Outcome == Saturated:
		// A quick "full" is no quick set-up: taken as one, it would draw calls to a sick server. This covers
		// any server that fails fast; one full for an instant is shunned about two seconds for it.
		c.recordAnswer(s, ev.Call, saturatedDelay*c.refDelay)
		// A told wait is kept up to trialMax; a longer one is then tested by a single trial, as a processor
		// that dropped its queue or came back would stand idle else.
		s.down = s.down || ev.WaitMS*1e6 > maxTrialInterval
		s.backoffUntil = max(s.backoffUntil, c.now+max(int64(c.spacing), minBackoff, min(ev.WaitMS*1e6, maxTrialInterval)))
	}
}

// blame marks a server for a fault on a call that stood elsewhere. A server that answers with faults is as
// quick and as useless as one that cuts what stood; a single chance fault costs it a moment.
func (c *Controller) recordFault(s *server) {
	s.backoffUntil = max(s.backoffUntil, c.now+minBackoff)
	s.weight *= faultWeightFactor
	c.recordCallEnd(s, true)
}

// faulty tells whether a server answers with faults what another takes. A call that nobody can use gets a
// fault anywhere, and callers that send such ones would shut all servers to the others: so only its excess
// over the best server's share counts. Where all servers turn to faults at once, none is shut.
func (c *Controller) faulty(s *server) bool {
	own := s.faults.decayed(c.now, badShareDecay)
	return own > maxBadShare && slices.ContainsFunc(c.servers, func(o *server) bool {
		return o.available && own > o.faults.decayed(c.now, badShareDecay)+maxBadShare
	})
}

// busyNumber leaves a number alone for a while whose lines are all busy. It covers any flood to one number; a
// line that comes free in the meantime stays unused for up to hotMax.
func (c *Controller) recordBusyNumber(key string) {
	if len(c.busyNumbers) >= maxNumbers {
		clear(c.busyNumbers) // all at once, so that map order decides nothing
	}
	wait := min(max(minBusyWait, 2*c.busyNumbers[key].wait), maxBusyWait)
	c.busyNumbers[key] = busyNumber{wait, c.now + wait}
}
