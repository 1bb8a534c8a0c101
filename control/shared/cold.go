package shared

import (
	"maps"
	"slices"
	"strconv"
)

const (
	// coldPart times a cold server's planned load, in its present capacity, is what all instances may send together. Servers
	// are planned at 72 to 87% of what they bear, so that this is 1.4 to 1.7 times that, under the rules' twice. Package
	// recovery has 1.6, as its equal parts do not know who else is there; these parts add up to no more.
	coldPart = 2.0
	// warmSteps are the steps in which a cold server's budget grows: all instances have the same one but for moments.
	warmSteps = 8
	// wantTimes is how much more than its own part by its calls an instance asks for at a cold server, wantLeast the least
	// of that, in thousandths a second.
	wantTimes, wantLeast = 2.0, 200
)

// cold gives a cold server's budget and its size in thousandths a second; not ok where it has none.
func (m *Shared) cold(now int64, server uint64) (budget string, size int64, ok bool) {
	s := m.servers[server]
	if !m.cfg.Budgets || m.cfg.Planned <= 0 || s == nil {
		return "", 0, false
	}
	c := m.cfg.Control
	at := s.readyAt
	if m.board.Cold(now, server, c.ColdSpan) && now-at >= c.ColdSpan {
		if s.coldAt == 0 {
			s.coldAt = now
		}
	}
	at = max(at, s.coldAt)
	age := max(now-at, 0)
	if at <= 0 || age >= c.ColdSpan {
		return "", 0, false
	}
	warmth := c.ColdFrom + (1-c.ColdFrom)*float64(age*warmSteps/c.ColdSpan)/warmSteps
	size = int64(1000 * coldPart * warmth * m.cfg.Planned / float64(max(m.serving, 1)))
	return "cold/" + strconv.FormatUint(server, 16), size, true
}

// wants tells the lease what this instance could use at each cold server.
func (m *Shared) wants(now int64) {
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		if budget, size, ok := m.cold(now, id); ok && m.servers[id].in {
			want := int64(1000 * wantTimes * m.arrived.rate(now, m.began) / float64(max(m.serving, 1)))
			m.lease.Request(now, budget, size, max(want, wantLeast))
		}
	}
}
