package shared

import (
	"maps"
	"slices"
	"strconv"
)

const (
	// coldRateFactor is the ratio of a cold server's budget, shared by all instances, to its planned load at its present
	// capacity. Servers are planned at 72 to 87% of their capacity, so the budget is 1.4 to 1.7 times their capacity; twice
	// is allowed. Package recovery uses 1.6, because its equal parts do not take account of which instances exist; leases add
	// up to no more than this.
	coldRateFactor = 2.0
	// warmupSteps is the number of steps in which a cold server's budget grows. With steps, all instances have the same value
	// for the budget except for short moments.
	warmupSteps = 8
	// requestFactor is the ratio of the rate that an instance requests at a cold server to that server's equal share of the
	// calls that arrive at the instance. minRequest is the least rate requested, in thousandths of a call per second.
	requestFactor = 2.0
	minRequest    = 200
)

// coldBudget returns the budget of a cold server and its size in thousandths of a call per second; ok is false for other
// servers.
func (m *Module) coldBudget(now int64, server uint64) (budget string, size int64, ok bool) {
	s := m.servers[server]
	if !m.cfg.Budgets || m.cfg.Planned <= 0 || s == nil {
		return "", 0, false
	}
	c := m.cfg.Control
	listedCold := now-s.readyAt < c.WarmUpTime
	if m.detector.RestartedWithin(now, server, c.WarmUpTime) && !listedCold && s.foundColdAt == 0 {
		s.foundColdAt = now
	}
	startedAt := max(s.readyAt, s.foundColdAt)
	age := max(now-startedAt, 0)
	if startedAt <= 0 || age >= c.WarmUpTime {
		return "", 0, false
	}
	fraction := c.ColdFraction + (1-c.ColdFraction)*float64(age*warmupSteps/c.WarmUpTime)/warmupSteps
	size = int64(1000 * coldRateFactor * fraction * m.cfg.Planned / float64(max(m.servingCount, 1)))
	return "cold/" + strconv.FormatUint(server, 16), size, true
}

// requestBudgets requests a lease on the budget of each cold server, according to the rate of calls arriving here.
func (m *Module) requestBudgets(now int64) {
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		if budget, size, ok := m.coldBudget(now, id); ok && m.servers[id].serving {
			rate := int64(1000 * requestFactor * m.arrivals.rate(now, m.startedAt) / float64(max(m.servingCount, 1)))
			m.lease.Request(now, budget, size, max(rate, minRequest))
		}
	}
}
