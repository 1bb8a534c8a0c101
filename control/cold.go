package control

import "math"

// Cold servers: what one bears, and what this front may send there.

// warmth is the part of its capacity that a server is taken to have at present: from cold_from upward, since
// its start by the list or since it was last seen down, as the list tells of a restart seconds late. It
// covers crashes, hangs and cut links; where only the link failed, a well server passes for cold for a while.
func (c *Controller) capacityFraction(s *server) float64 {
	start := max(s.readyAt, s.downAt)
	age := c.now - start
	if start <= 0 || age >= c.cfg.ColdSpan {
		return 1
	}
	return c.cfg.ColdFrom + (1-c.cfg.ColdFrom)*float64(max(age, 0))/float64(c.cfg.ColdSpan)
}

// coldRoom tells whether a cold server may get one more send from this front. Each front earns credit at its part of
// the server's present capacity and pays one for a send; the first credit is drawn at random, so that fronts with a
// part far below one send a window spread out and together keep the budget, also when many servers return at once. A
// whole credit that stays unused lapses, or all would hold one after a pause; not at fronts of few calls, whose calls
// bound the sum. A front that has borne nothing yet goes by its own calls offered. Harm: fronts whose calls shifted
// to this server only now are held to what they bore before.
func (c *Controller) hasColdCredit(s *server) bool {
	w := c.capacityFraction(s)
	if w >= 1 {
		return true
	}
	pace := min(coldPace, coldBudgetPart*c.cfg.FallMultiple) * min(c.fairRate(s), w*c.peakLoad) // whatever is reported
	pace = max(pace, coldOfferedPart*w*c.perSecond(&c.offered)/max(c.available, 1))
	window := float64(c.cfg.FallWindow) / float64(second)
	s.credit, s.creditAt = s.credit+pace*float64(c.now-s.creditAt)/float64(second), c.now
	if kept := coldCreditMargin * (w + pace*window); kept < 1 && pace*window > coldSparse {
		s.credit -= max(math.Ceil(s.credit-1-kept), 0)
	} else {
		s.credit = min(s.credit, max(1, pace*window/coldBurst))
	}
	return s.credit >= 1
}

// fell notes that a server is seen down: what comes back is cold.
func (c *Controller) markDown(s *server) {
	if c.capacityFraction(s) == 1 {
		s.credit, s.creditAt = c.rng.Float64(), c.now
	}
	s.down, s.downAt = true, c.now
}
