package control

import "math"

// Cold servers, which were started recently: their capacity, and what this instance may send to them.

// capacityFraction is the part of its capacity that a server is assumed to have: ColdFraction after a start, growing to
// 1 over WarmUpTime. The start is that on the list, which shows it seconds late, or when it was last found down. This
// covers crashes, hangs and cut connections; if only the connection failed, a warm server counts as cold.
func (c *Controller) capacityFraction(s *server) float64 {
	start := max(s.readyAt, s.downAt)
	age := c.now - start
	if start <= 0 || age >= c.cfg.WarmUpTime {
		return 1
	}
	return c.cfg.ColdFraction + (1-c.cfg.ColdFraction)*float64(max(age, 0))/float64(c.cfg.WarmUpTime)
}

// hasColdCredit tells whether a cold server may get another send from this instance. Each instance earns credit at its
// share of the server's present capacity and pays one for a send. The first credit is random, so that instances with a
// share far below one send a window spread their sends and together keep the budget, also when many servers return at
// once. Unused whole credits lapse, or all instances would hold one after a pause; except at instances of few calls,
// whose calls bound the sum. An instance that has carried nothing yet goes by the calls offered to it. Drawback:
// instances whose calls moved to this server only now are held to what they carried before.
func (c *Controller) hasColdCredit(s *server) bool {
	fraction := c.capacityFraction(s)
	if fraction >= 1 {
		return true
	}
	// The peak load bounds the rate whatever the server reports.
	rate := min(coldPace, coldBudgetPart*c.cfg.CrashMultiple) * min(c.fairRate(s), fraction*c.peakLoad)
	rate = max(rate, coldOfferedPart*fraction*c.perSecond(&c.offered)/max(c.available, 1))
	window := float64(c.cfg.CrashWindow) / float64(second)
	s.credit, s.creditAt = s.credit+rate*float64(c.now-s.creditAt)/float64(second), c.now
	if margin := coldCreditMargin * (fraction + rate*window); margin < 1 && rate*window > coldSparse {
		s.credit -= max(math.Ceil(s.credit-1-margin), 0)
	} else {
		s.credit = min(s.credit, max(1, rate*window/coldBurst))
	}
	return s.credit >= 1
}

// markDown records that a server was found down: it is cold when it comes back.
func (c *Controller) markDown(s *server) {
	if c.capacityFraction(s) == 1 {
		s.credit, s.creditAt = c.rng.Float64(), c.now
	}
	s.down, s.downAt = true, c.now
}
