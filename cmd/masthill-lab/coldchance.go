package main

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// chanceCmd computes, from the ramp of the budget alone, the probability that a cold server receives more calls than it
// can serve while there are always calls to place. docs/design/cold.md has the derivation.
type chanceCmd struct {
	Controllers []int     `default:"10,20,30,60,300" help:"Numbers of session controllers."`
	Budget      []float64 `default:"9,17" help:"Budget of the server at its start (N): the requests that are allowed in a window."`
	Part        float64   `default:"0.7" help:"Rate at which all controllers together earn credit, per window, as a fraction of N."`
	ColdFrom    float64   `default:"0.31" help:"Fraction of its capacity that the server has at its start."`
	ColdSpan    float64   `default:"15" help:"Warm-up time of the server, in windows."`
	Kept        float64   `default:"0.3" help:"Factor of the credit that a controller keeps during a pause, as coldCreditMargin in package control."`
	Pauses      []float64 `default:"2,4" help:"Pauses without calls after the start, in windows."`
}

// ramp is the growing budget of one server that has started cold, in one fleet.
type ramp struct {
	chanceCmd
	n      int
	budget float64 // at the start
}

// capacityFraction is the part of its capacity that the server has at a time after the start, in windows.
func (c ramp) capacityFraction(at float64) float64 {
	return min(c.ColdFrom+(1-c.ColdFrom)*at/c.ColdSpan, 1)
}

// allowed is N at a time after the start, in windows.
func (c ramp) allowed(at float64) float64 { return c.budget * c.capacityFraction(at) / c.ColdFrom }

// pace is the credit that one controller earns in a window at that time.
func (c ramp) pace(at float64) float64 { return c.Part * c.allowed(at) / float64(c.n) }

// earned is the credit that one controller has earned since the start.
func (c ramp) earned(at float64) float64 {
	return c.Part * c.budget / float64(c.n) * (at + (1-c.ColdFrom)*at*at/(2*c.ColdSpan*c.ColdFrom))
}

// exceedProbability is the probability that n controllers, each of which sends mean calls on average, rounded up or down,
// together send more than a server can take when N is allowed.
func exceedProbability(n int, mean, allowed float64) float64 {
	whole := math.Floor(mean)
	over := math.Floor(allowed+2*math.Sqrt(allowed)+2) - whole*float64(n)
	switch {
	case over < 0:
		return 1
	case over >= float64(n) || mean == whole:
		return 0
	}
	return distuv.Binomial{N: float64(n), P: mean - whole}.Survival(over)
}

// startProbability is an upper bound of the probability that any window within the first three after the start is too
// full: each call sent may be the end of such a window.
func (c ramp) startProbability() float64 {
	p := c.pace(0)
	whole := math.Floor(p)
	over := math.Floor(c.budget+2*math.Sqrt(c.budget)+2) - 1 - whole*float64(c.n)
	if over >= float64(c.n)-1 {
		return 0
	}
	return min(1, 3*p*float64(c.n)*distuv.Binomial{N: float64(c.n - 1), P: p - whole}.Survival(over))
}

// pauseProbability is the probability of a window that is too full after a pause; saved is the credit beyond its phase
// that a controller holds then. The calls come at once, so the window may end at any time after; the worst of its
// beginning, middle and end counts.
func (c ramp) pauseProbability(at, saved float64, lost bool) float64 {
	worst := 0.0
	for _, into := range []float64{0, 0.5, 1} {
		mean := saved + c.earned(at+into) - c.earned(at)
		if lost && c.pace(at) < 1 { // saved credit is limited to one: its phase is lost, and the next takes a whole 1/pace
			mean = min(mean, 1)
		}
		worst = max(worst, exceedProbability(c.n, mean, c.allowed(at+into)))
	}
	return worst
}

func (c chanceCmd) Run() error {
	fmt.Printf("%11s %4s %7s %22s", "controllers", "N", "bound", "calls from the start")
	for _, at := range c.Pauses {
		fmt.Printf(" %22s %22s", fmt.Sprintf("%v on, credit kept", at), fmt.Sprintf("%v on, credit lapses", at))
	}
	fmt.Println()
	for _, budget := range c.Budget {
		for _, n := range c.Controllers {
			r := ramp{c, n, budget}
			fmt.Printf("%11d %4.0f %7.1f %22.2g", n, budget, budget+2*math.Sqrt(budget)+2, r.startProbability())
			for _, at := range c.Pauses {
				kept := min(r.earned(at), c.Kept*(r.capacityFraction(at)+r.pace(at)))
				if c.Kept*(r.capacityFraction(at)+r.pace(at)) >= 1 {
					kept = 1
				}
				fmt.Printf(" %22.2g %22.2g", r.pauseProbability(at, min(r.earned(at), 1), true), r.pauseProbability(at, kept, kept == 1))
			}
			fmt.Println()
		}
	}
	return nil
}
