package model

import (
	"math"
	"math/rand/v2"
	"sort"
)

// drawTrafficShares draws new shares of the traffic for the controllers. Without a skew all have equal shares.
func (m *model) drawTrafficShares() {
	if m.Skew == 0 {
		return
	}
	m.cumulativeTraffic = make([]float64, m.Controllers)
	total := 0.0
	for k := range m.cumulativeTraffic {
		total += math.Exp(m.Skew * m.rng.NormFloat64())
		m.cumulativeTraffic[k] = total
	}
}

// drawController draws the controller that receives a try, by the shares of the traffic.
func (m *model) drawController(rng *rand.Rand) *controller {
	if m.cumulativeTraffic == nil {
		return m.controllers[rng.IntN(len(m.controllers))]
	}
	u := rng.Float64() * m.cumulativeTraffic[len(m.cumulativeTraffic)-1]
	k := sort.SearchFloat64s(m.cumulativeTraffic, u)
	return m.controllers[min(k, len(m.controllers)-1)]
}
