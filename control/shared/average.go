package shared

import "math"

// decayTime is the time constant of a decayedAverage.
const decayTime = 4 * float64(second)

// decayedAverage is a count whose contributions decay exponentially with their age.
type decayedAverage struct {
	value     float64
	updatedAt int64
}

func (a *decayedAverage) read(now int64) float64 {
	return a.value * math.Exp(-float64(max(now-a.updatedAt, 0))/decayTime)
}

func (a *decayedAverage) add(now int64, n float64) {
	a.value, a.updatedAt = a.read(now)+n, max(now, a.updatedAt)
}

// rate returns the average rate per second of a count that began at the time since.
func (a *decayedAverage) rate(now, since int64) float64 {
	covered := decayTime * (1 - math.Exp(-float64(max(now-since, second))/decayTime))
	return a.read(now) * float64(second) / covered
}
