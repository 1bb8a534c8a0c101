package shared

import (
	"maps"
	"slices"
	"strconv"
)

const (
	// coldRateFactor times a cold server's planned load, in its present capacity, is the budget of all instances together.
	// Servers are planned at 72 to 87% of their capacity, so this is 1.4 to 1.7 times their capacity; twice is allowed.
	// Package recovery uses 1.6, as its equal parts do not know which instances exist; leases add up to no more than this.
	coldRateFactor = 2.0
	// warmupSteps is the number of steps in which a cold server's budget grows, so that all instances have the same size of it
	// but for moments.
	warmupSteps = 8
	// requestFactor is how much more than its share by its own calls an instance requests at a cold server, minRequest the
	// least that it requests, in thousandths of a call per second.
	requestFactor = 2.0
	minRequest    = 200
)

// coldBudget gives the budget of a cold server and its size in thousandths of a call per second; not ok for other servers.
func (m *Shared) coldBudget(now int64, server uint64) (budget string, size int64, ok bool) {
	s := m.servers[server]
	if !m.cfg.Budgets || m.cfg.Planned <= 0 || s == nil {
		return "", 0, false
	}
	c := m.cfg.Control
	listedCold := now-s.readyAt < c.ColdSpan
	if m.detector.Cold(now, server, c.ColdSpan) && !listedCold && s.foundColdAt == 0 {
		s.foundColdAt = now
	}
	startedAt := max(s.readyAt, s.foundColdAt)
	age := max(now-startedAt, 0)
	if startedAt <= 0 || age >= c.ColdSpan {
		return "", 0, false
	}
	warmth := c.ColdFrom + (1-c.ColdFrom)*float64(age*warmupSteps/c.ColdSpan)/warmupSteps
	size = int64(1000 * coldRateFactor * warmth * m.cfg.Planned / float64(max(m.servingCount, 1)))
	return "cold/" + strconv.FormatUint(server, 16), size, true
}

// requestBudgets requests a lease on the budget of each cold server, by the calls that arrive here.
func (m *Shared) requestBudgets(now int64) {
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		if budget, size, ok := m.coldBudget(now, id); ok && m.servers[id].serving {
			rate := int64(1000 * requestFactor * m.arrivals.rate(now, m.startedAt) / float64(max(m.servingCount, 1)))
			m.lease.Request(now, budget, size, max(rate, minRequest))
		}
	}
}
