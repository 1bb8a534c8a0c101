package scale

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// CostBudget is what a member may use for control: percent of a core, megabytes, and bytes sent per second.
var CostBudget = struct{ CPU, MemoryMB, Bytes float64 }{CPU: 1.3, MemoryMB: 32, Bytes: 7000}

// panel is one diagram: a cost by size, with its budget.
type panel struct {
	title  string
	of     func(c *Cost) float64
	budget float64
}

// Plot draws bytes, processor time and memory by size as SVG, with a point for each measurement of hollow and of real
// members, and the budget as a line.
func Plot(points []*Point, file string) error {
	panels := []panel{
		{"KB a second sent, with headers", func(c *Cost) float64 { return c.SentWire / 1000 }, CostBudget.Bytes / 1000},
		{"percent of a core", func(c *Cost) float64 { return c.CPU }, CostBudget.CPU},
		{"memory, MB", func(c *Cost) float64 { return c.Resident }, CostBudget.MemoryMB},
	}
	canvas := vgsvg.New(13*vg.Inch, 4*vg.Inch)
	row := make([]*plot.Plot, len(panels))
	for k, one := range panels {
		p, err := one.draw(points)
		if err != nil {
			return err
		}
		row[k] = p
	}
	tiles := draw.Tiles{Rows: 1, Cols: len(row), PadX: vg.Points(12)}
	for k, c := range plot.Align([][]*plot.Plot{row}, tiles, draw.New(canvas))[0] {
		row[k].Draw(c)
	}
	return writeTo(file, canvas)
}

func (o panel) draw(points []*Point) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Min = o.title, "members", 0
	var quiet, busy, real plotter.XYs
	largest := 0.0
	for _, point := range points {
		at := plotter.XY{X: float64(point.Size), Y: o.of(&point.Hollow)}
		if point.SyntheticCalls > 0 {
			busy = append(busy, at)
		} else {
			quiet = append(quiet, at)
		}
		if point.Real != nil {
			real = append(real, plotter.XY{X: float64(point.Size), Y: o.of(point.Real)})
		}
		largest = max(largest, at.X)
	}
	for _, series := range []struct {
		name  string
		xys   plotter.XYs
		color color.Color
	}{{"hollow", quiet, color.RGBA{B: 200, A: 255}}, {"hollow, with calls", busy, color.RGBA{G: 140, A: 255}}, {"real", real, color.RGBA{R: 200, A: 255}}} {
		if len(series.xys) == 0 {
			continue
		}
		s, err := plotter.NewScatter(series.xys)
		if err != nil {
			return nil, err
		}
		s.Color, s.Shape = series.color, draw.CircleGlyph{}
		p.Add(s)
		p.Legend.Add(series.name, s)
	}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: o.budget}, {X: largest, Y: o.budget}})
	if err != nil {
		return nil, err
	}
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line)
	p.Legend.Add("budget", line)
	p.Legend.Top, p.Legend.Left = true, true
	return p, nil
}
