package shared

import "math"

// fading is a count that is forgotten over fadeSpan.
type fading struct {
	n  float64
	at int64
}

const fadeSpan = 4 * float64(second)

func (f *fading) read(now int64) float64 {
	return f.n * math.Exp(-float64(max(now-f.at, 0))/fadeSpan)
}

func (f *fading) add(now int64, n float64) { f.n, f.at = f.read(now)+n, max(now, f.at) }

// rate makes it one a second, for one that has been kept since a time.
func (f *fading) rate(now, since int64) float64 {
	seen := fadeSpan * (1 - math.Exp(-float64(max(now-since, second))/fadeSpan))
	return f.read(now) * float64(second) / seen
}
