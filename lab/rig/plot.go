package rig

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Plot writes a plot of the served share by second, with a bar for each fault, to a file.
func Plot(r *Result, file string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "served share and faults", "s", "served share"
	p.Y.Min, p.Y.Max = 0, 1.05
	var points plotter.XYs
	for k, v := range r.ServedBySecond {
		points = append(points, plotter.XY{X: float64(k), Y: v})
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	p.Add(l)
	for k, f := range r.Faults {
		y := 0.02 + 0.3*float64(k)/float64(len(r.Faults))
		bar, err := plotter.NewLine(plotter.XYs{{X: f.FromS, Y: y}, {X: f.ToS, Y: y}})
		if err != nil {
			return err
		}
		bar.Width, bar.Color = vg.Points(2), color.RGBA{R: 190, A: 255}
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.ToS, Y: y}}, Labels: []string{f.Kind}})
		if err != nil {
			return err
		}
		p.Add(bar, label)
	}
	return p.Save(9*vg.Inch, 5*vg.Inch, file)
}
