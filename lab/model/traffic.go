package model

import (
	"math"
	"math/rand/v2"
	"sort"
)

// shareTraffic draws the controllers' shares of the traffic anew.
func (m *model) shareTraffic() {
	if m.Skew == 0 {
		return
	}
	m.traffic = make([]float64, m.Controllers)
	total := 0.0
	for k := range m.traffic {
		total += math.Exp(m.Skew * m.rng.NormFloat64())
		m.traffic[k] = total
	}
}

// drawController draws the controller that a try comes to.
func (m *model) drawController(rng *rand.Rand) *controller {
	if m.traffic == nil {
		return m.controllers[rng.IntN(len(m.controllers))]
	}
	u := rng.Float64() * m.traffic[len(m.traffic)-1]
	k := sort.SearchFloat64s(m.traffic, u)
	return m.controllers[min(k, len(m.controllers)-1)]
}
