package control

import (
	"math"
	"slices"
)

// What presses and marks a server, how large it is, and the draw among the unmarked ones.

// hot is a number whose lines were all found busy: how long it is left alone, and until when.
type hot struct{ wait, until int64 }

// size is a server's capacity: at present, or when well. Its reported rate comes first, while fresh; without
// one, its listed share in the measure of those that report, cold ones in part.
func (c *Controller) size(s *server, present bool) float64 {
	if present && s.rate > 0 && c.now-s.rateAt < rateFresh {
		return s.rate
	}
	size := s.well
	if size == 0 {
		var well, share float64
		for _, o := range c.servers {
			if o.well > 0 {
				well, share = well+o.well, share+o.share
			}
		}
		if size = s.share; share > 0 {
			size *= well / share
		}
	}
	if present {
		size *= c.warmth(s)
	}
	return size
}

// fading is a count that is forgotten with time; now gives what is left of it.
type fading struct {
	n  float64
	at int64
}

func (f *fading) now(now int64, span float64) float64 {
	f.n *= math.Exp(-float64(now-f.at) / span)
	f.at = now
	return f.n
}

// rate makes a count over bornSpan one of calls a second; after a start it has seen less.
func (c *Controller) rate(f *fading) float64 {
	seen := bornSpan * (1 - math.Exp(-float64(max(c.now-c.began, second))/bornSpan))
	return f.now(c.now, bornSpan) * float64(second) / seen
}

// refresh does once an event what takes all servers together: the share of lost answers, and the most that
// this front's calls have lately borne, in all and on a unit of size. The present load would not do: while
// servers are away it is small, and a new processor, held to its part of that, would stay idle when needed
// most.
func (c *Controller) refresh() {
	if c.freshAt == c.now {
		return
	}
	kept := math.Exp(-float64(c.now-c.freshAt) / unitSpan)
	c.freshAt, c.listed = c.now, 0
	var total, lost, all float64
	for _, o := range c.servers {
		l := o.lost.now(c.now, lossFade)
		lost, all = lost+l, all+l+o.came.now(c.now, lossFade)
		if o.in {
			total += c.size(o, false) * c.warmth(o)
			c.listed++
		}
	}
	c.loss = lost / max(all, 1)
	borne := c.rate(&c.borne)
	c.top, c.unit = max(c.top*kept, borne), c.unit*kept
	if total > 0 {
		c.unit = max(c.unit, borne/total)
	}
}

// fair is this front's fair part of a server's present capacity, in calls a second.
func (c *Controller) fair(s *server) float64 {
	c.refresh()
	return c.unit * c.size(s, true)
}

// delayAt is the set-up delay to expect at a server, the worst of three: what stood last, fading without
// news, and the integral; the age of the longest unanswered set-up, which sees a hang or a jam before any
// answer; and the time that the unanswered ones take at this front's fair part of the server (Little's law,
// if the others do alike), which keeps a burst off a small or long unused server. The last can hold calls off
// a server much larger than its share says, down to one out at a time.
func (c *Controller) delayAt(s *server) float64 {
	gap := float64(c.now - s.newsAt)
	d := s.delay*math.Exp(-gap/c.span(newsFade)) +
		s.press*math.Exp(-float64(c.now-s.pressAt)/c.span(pressFade))
	if n, first, last := s.silent(); n > 0 {
		// Silence shuts a server only between trials, rarer with each unanswered one. Where answers get lost
		// it counts for no more than the loss leaves unexplained.
		rest := c.span(float64(min(trialFirst<<min(n-1, 8), trialMax)))
		each := 0.0 // time that a set-up takes at this front's fair part, as far as that is known
		if c.stood >= littleFrom {
			each = float64(second) / max(c.fair(s), littleLeast)
		}
		if float64(c.now-last) < max(rest, trialParts*each) {
			unsaid := float64(c.now-first) * lossDoubt / (lossDoubt + math.Pow(c.lossAt(s), float64(n)))
			d = max(d, float64(s.pending())*each, unsaid)
		}
	}
	return d
}

// worth is what a call can still earn, in units of the least class's worth.
func (c *Controller) worth(cl *call) float64 {
	g := c.set.Classes[cl.class]
	w := g.Worth / c.minWorth
	if c.now-cl.first > g.Aim {
		w *= g.LateValue
	}
	return w
}

// marked tells whether a server is no room for this call: it answered it with a fault, or is marked by an
// answer, on trial, out of lines, out of its cold budget, or pressed beyond what its worth and luck bear.
func (c *Controller) marked(s *server, cl *call) bool {
	if slices.Contains(cl.faults, s) || c.now < s.markEnd || s.down && s.pending() > 0 || !c.coldRoom(s) {
		return true
	}
	shut := s.cut.now(c.now, cutFade) > cutMost || c.faulty(s)
	if shut && float64(c.now-s.sentAt) < c.span(float64(trialMax)) {
		return true
	}
	worth := c.worth(cl)
	if float64(c.now-s.lineAt) < float64(markMin)*min(max(1/(worth*worth), lineLeast), lineMost) {
		return true
	}
	scale := min(max(worth, worthMin), worthMax)
	way := 0.0
	if s.least < math.MaxFloat64 {
		way = max(s.least-wayPart*c.ref, 0)
	}
	from, full := pressFrom*scale*c.ref+way, pressFull*scale*c.ref+way
	g := c.set.Classes[cl.class]
	if limit := aimShare * float64(g.Aim); c.now-cl.first <= g.Aim && full > limit {
		from, full = min(from, limit/2), limit
	}
	return c.delayAt(s) > from+(full-from)*cl.luck
}

// allowed tells whether a server may take the call at all, now that no module beside this one keeps it off.
func (c *Controller) allowed(s *server, cl *call) bool {
	if !s.in || s.cell == c.set.ThisNode || c.capped(s.id) || cl.inTransit && s.cell != cl.cell {
		return false
	}
	cells := c.set.Classes[cl.class].Cells
	return c.set.Meshed || len(cells) == 0 || slices.Contains(cells, s.cell)
}

// draw picks a server by weight and size among the allowed and unmarked ones.
func (c *Controller) draw(cl *call) *server {
	var total float64
	var from []*server
	for _, s := range c.servers {
		if c.allowed(s, cl) && !c.marked(s, cl) {
			age := float64(c.now-s.weightAt) / float64(second)
			s.weight += (1 - s.weight) * (1 - math.Exp(-weightReturn*age))
			s.weightAt = c.now
			total += s.weight * c.size(s, true)
			from = append(from, s)
		}
	}
	u := c.rng.Float64() * total
	for k, s := range from {
		if u -= s.weight * c.size(s, true); u < 0 || k == len(from)-1 {
			return s
		}
	}
	return nil
}

// answered takes a server's answer to one set-up: its delay is news, of at least so much for one that did not
// stand.
func (c *Controller) answered(s *server, id string, least float64) {
	a, ok := s.take(id)
	if !ok {
		return
	}
	s.came.n = s.came.now(c.now, lossFade) + 1
	c.overtaken(s, a.at)
	delay, gap := max(float64(c.now-a.at), least), float64(c.now-s.newsAt)
	if least == 0 {
		s.provenAt = max(s.provenAt, a.at)
		c.x = max(c.x+spacingGain*(delay-c.x), float64(c.set.Resolution), 1)
	}
	s.least = min(delay, s.least*(1+gap/leastSpan))
	c.push(s, delay)
	if gap > c.span(newsFade) {
		s.delay = delay
	}
	s.delay += delayGain * (delay - s.delay)
	s.weight = min(s.weight, c.ref/(c.ref+delay))
	s.newsAt, s.weightAt = c.now, c.now
}

// push feeds the integral of delays beyond the aimed-at one, which presses a server however few the samples
// are: many fronts that each look seldom would else swing between flood and drought together. It counts by
// the chance that no news comes while the tracked delay fades, so that many samples leave it out. It covers
// slow processors, jams, overload and lines that are short alike; it can hold calls off a recovered server
// for some seconds.
func (c *Controller) push(s *server, delay float64) {
	if c.stood < littleFrom {
		return
	}
	gap := float64(c.now - s.pressAt)
	aim := min(max(pressAim*c.ref, 2*s.least), pressFull*c.ref) // a small server is slow by itself
	seldom := math.Exp(-c.fair(s) * c.span(newsFade) / float64(second))
	more := pressGain * (delay - aim) * min(gap, c.span(pressSpan)) / c.span(float64(second)) * seldom
	s.press = min(max(s.press*math.Exp(-gap/c.span(pressFade))+more, 0), pressMost*c.ref)
	s.pressAt = c.now
}

// report takes a load report. Own delays press a server whatever it reports. Free lines are old news within a
// moment, as calls end all the time: none free marks for as long as an answer without a line would.
func (c *Controller) report(s *server, r []float64) {
	value := func(at int) float64 { // -1: none
		if at < 0 || at >= len(r) {
			return -1
		}
		return r[at]
	}
	if rate := value(c.rateAt); rate > 0 {
		if s.rate == 0 || c.now-s.rateAt >= rateFresh {
			s.rate = rate
		}
		s.rate += rateGain * (rate - s.rate)
		s.well = max(s.well*math.Exp(-float64(c.now-s.rateAt)/unitSpan), s.rate)
		s.rateAt = c.now
	}
	if spare := value(c.spareAt); spare >= 0 && spare < 1 {
		s.lineAt = c.now
	}
}

// ended follows how calls that stood came to an end. A server that stands calls and cuts them again looks
// quick and well to all else; while most are cut young it gets one trial at a time. A crash, a drain or lost
// lines cut calls of any age, once, and hardly count; a server with few calls may be shut by one.
func (c *Controller) ended(s *server, young bool) {
	s.cut.n = s.cut.now(c.now, cutFade) * (1 - cutGain)
	if young {
		s.cut.n += cutGain
	}
}

// judge marks a server by how an attempt ended.
func (c *Controller) judge(s *server, ev Event) {
	switch {
	case !slices.ContainsFunc(s.out, func(a attempt) bool { return a.call == ev.Call && !a.off }):
		return // it stood before; a cut call tells nothing of the processor's queue
	case ev.Outcome == Canceled || ev.Outcome == Unavailable || ev.Note == noLine:
		s.take(ev.Call) // called off, or without a line: it tells nothing of the processor
		if ev.Outcome != Canceled {
			s.lineAt = c.now
			c.push(s, fullDelay*c.ref)
		}
	case ev.Outcome == TimedOut || ev.Outcome == ConnectionLost:
		c.missed(s, ev.Call, ev.Outcome == ConnectionLost)
	case ev.Outcome == ConnectionRefused:
		s.take(ev.Call)
		s.markEnd = max(s.markEnd, c.now+trialFirst)
		c.fell(s)
	case ev.Outcome == Errored:
		if ev.Note == busyLine {
			c.answered(s, ev.Call, 1)
			return
		}
		s.take(ev.Call) // a quick fault overtakes others in the queue, and is no delay of a set-up
		s.came.n = s.came.now(c.now, lossFade) + 1
		if cl := c.calls[ev.Call]; cl != nil {
			cl.faults = append(cl.faults, s)
			s.fault.n = s.fault.now(c.now, cutFade)*(1-cutGain) + cutGain
		}
	case ev.Outcome == Saturated:
		// A quick "full" is no quick set-up: taken as one, it would draw calls to a sick server. This covers
		// any server that fails fast; one full for an instant is shunned about two seconds for it.
		c.answered(s, ev.Call, fullDelay*c.ref)
		// A told wait is kept up to trialMax; a longer one is then tested by a single trial, as a processor
		// that dropped its queue or came back would stand idle else.
		s.down = s.down || ev.WaitMS*1e6 > trialMax
		s.markEnd = max(s.markEnd, c.now+max(int64(c.x), markMin, min(ev.WaitMS*1e6, trialMax)))
	}
}

// blame marks a server for a fault on a call that stood elsewhere. A server that answers with faults is as
// quick and as useless as one that cuts what stood; a single chance fault costs it a moment.
func (c *Controller) blame(s *server) {
	s.markEnd = max(s.markEnd, c.now+markMin)
	s.weight *= lossWeight
	c.ended(s, true)
}

// faulty tells whether a server answers with faults what another takes. A call that nobody can use gets a
// fault anywhere, and callers that send such ones would shut all servers to the others: so only its excess
// over the best server's share counts. Where all servers turn to faults at once, none is shut.
func (c *Controller) faulty(s *server) bool {
	own := s.fault.now(c.now, cutFade)
	return own > cutMost && slices.ContainsFunc(c.servers, func(o *server) bool {
		return o.in && own > o.fault.now(c.now, cutFade)+cutMost
	})
}

// busyNumber leaves a number alone for a while whose lines are all busy. It covers any flood to one number; a
// line that comes free in the meantime stays unused for up to hotMax.
func (c *Controller) busyNumber(key string) {
	if len(c.hots) >= turnedMost {
		clear(c.hots) // all at once, so that map order decides nothing
	}
	wait := min(max(hotFirst, 2*c.hots[key].wait), hotMax)
	c.hots[key] = hot{wait, c.now + wait}
}
