package wave

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot draws the wait at each server with the refusal point, and the served share, over time. The file's extension selects
// its format.
func Plot(r *Result, file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Restart wave, %d instances, %d servers, seed %d", r.Instances, r.Servers, r.Seed)
	p.X.Label.Text, p.Y.Label.Text = "time (s)", "wait at the processor (ms); served share (%)"
	p.Legend.Top = true
	lines := map[int]plotter.XYs{}
	var served plotter.XYs
	last := 0.0
	for _, s := range r.Samples {
		for k, ms := range s.WaitMS {
			lines[k] = append(lines[k], plotter.XY{X: s.AtS, Y: math.Min(ms, 1.5*r.RefusalPointMS)})
		}
		served = append(served, plotter.XY{X: s.AtS, Y: 100 * s.Served})
		last = s.AtS
	}
	var all []any
	for k := range len(lines) {
		name := fmt.Sprintf("server %d", k)
		if k == r.Servers {
			name = "cold server"
		}
		all = append(all, name, lines[k])
	}
	all = append(all, "served, %", served, "refusal point", plotter.XYs{{X: 0, Y: r.RefusalPointMS}, {X: last, Y: r.RefusalPointMS}})
	if err := plotutil.AddLines(p, all...); err != nil {
		return err
	}
	for _, at := range r.RestartTimes { // a short mark for each restart
		tick, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: r.RefusalPointMS / 20}})
		if err != nil {
			return err
		}
		tick.Width = vg.Points(0.5)
		p.Add(tick)
	}
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, file)
}
