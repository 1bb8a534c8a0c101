package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Line is a least-squares line through measurements.
type Line struct {
	Quantity    string  `json:"what"`
	Variable    string  `json:"of"` // the independent variable
	Intercept   float64 `json:"intercept"`
	InterceptCI float64 `json:"intercept_ci95"` // half width
	Slope       float64 `json:"slope"`
	SlopeCI     float64 `json:"slope_ci95"` // half width
	R2          float64 `json:"r_squared"`
	Points      int     `json:"points"`
}

// FitLine fits a line, with 95% confidence intervals of its intercept and slope. It needs three points at least; with fewer,
// both are zero.
func FitLine(what, of string, x, y []float64) Line {
	l := Line{Quantity: what, Variable: of, Points: len(x)}
	if len(x) < 3 || stat.Variance(x, nil) == 0 {
		return l
	}
	l.Intercept, l.Slope = stat.LinearRegression(x, y, nil, false)
	mean, squares, residuals := stat.Mean(x, nil), 0.0, 0.0
	for k := range x {
		squares += (x[k] - mean) * (x[k] - mean)
		residual := y[k] - l.Intercept - l.Slope*x[k]
		residuals += residual * residual
	}
	n := float64(len(x))
	t := distuv.StudentsT{Nu: n - 2, Sigma: 1}.Quantile(0.975)
	variance := residuals / (n - 2)
	l.SlopeCI = t * math.Sqrt(variance/squares)
	l.InterceptCI = t * math.Sqrt(variance*(1/n+mean*mean/squares))
	if l.R2 = stat.RSquared(x, y, nil, l.Intercept, l.Slope); math.IsNaN(l.R2) { // all y are the same
		l.R2 = 0
	}
	return l
}

// CountDatagrams is how many datagrams per second a member sends to report its counts to all others: each gets one every half
// second in fleets of up to 64, and one every ceil(members/64) half seconds in larger ones.
func CountDatagrams(members int) float64 {
	return 2 * float64(members-1) / math.Ceil(float64(members)/64)
}

// FitCosts fits a member's costs over measurements of different sizes with the same load.
func FitCosts(points []*Point) []Line {
	var sizes, tells, rates, sent, wire, stream, cpu, resident, heap, age []float64
	for _, p := range points {
		h := p.Hollow
		sizes, tells = append(sizes, float64(p.Size)), append(tells, CountDatagrams(p.Size))
		rates = append(rates, h.SentDatagrams+h.ReceivedDatagrams)
		sent, wire, stream = append(sent, h.SentDatagrams), append(wire, h.SentBytes+datagramHeaders*h.SentDatagrams), append(stream, h.SentStream)
		cpu, resident, heap, age = append(cpu, h.CPU), append(resident, h.Resident), append(heap, h.Heap), append(age, p.CountAges.P99)
	}
	return []Line{
		FitLine("datagrams sent a second", "counts told a second", tells, sent),
		FitLine("bytes sent in datagrams a second, with headers", "counts told a second", tells, wire),
		FitLine("bytes sent over streams a second", "members", sizes, stream),
		FitLine("processor, percent of a core", "datagrams sent and received a second", rates, cpu),
		FitLine("processor, percent of a core", "members", sizes, cpu),
		FitLine("memory, MB", "members", sizes, resident),
		FitLine("heap, MB", "members", sizes, heap),
		FitLine("age of a count, p99, ms", "members", sizes, age),
	}
}
