package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"masthill/lab/model"
)

// borderCmd simulates load jumps of several heights at several sizes and shows after which of them a fleet does not
// recover.
type borderCmd struct {
	Sizes   []string      `default:"7/3,50/8,100/24,150/24,200/24,250/24,300/24,400/24" help:"Fleet sizes, as CONTROLLERS/SERVERS."`
	Times   []float64     `default:"1.2,1.4,1.6,1.8,2" help:"Load during the jump, as multiples of the usual load."`
	Load    float64       `default:"0.93" help:"Offered load, as a fraction of the planned load."`
	For     time.Duration `default:"9.3s" help:"Duration of the jump."`
	Redials int           `default:"2" help:"Maximum number of redials per call."`
	Seeds   string        `default:"1-3" help:"Seeds, as FIRST-LAST or a single number."`
	Before  string        `default:"plain" help:"Decision modules in the first plot, as for scenes."`
	With    string        `default:"run" help:"Decision modules in the second plot."`
	JSON    string        `name:"json" help:"Write the result of each size and jump to this file, as JSON." placeholder:"FILE"`
	Plot    string        `help:"Write both plots to this file, as PNG." placeholder:"FILE"`
}

// borderCell is the result for one size and one jump.
type borderCell struct {
	Modules string  `json:"modules"`
	Size    string  `json:"size"`
	Times   float64 `json:"times"`
	Served  float64 `json:"served_share"`
	After   float64 `json:"served_after"` // from 15 s after the jump on
	Worst   float64 `json:"served_after_worst"`
}

func (c borderCmd) Run(ctx context.Context) error {
	numbers, err := seeds(c.Seeds)
	if err != nil {
		return err
	}
	var jumps []jamCmd
	for _, size := range c.Sizes {
		var j jamCmd
		if _, err := fmt.Sscanf(size, "%d/%d", &j.Controllers, &j.Servers); err != nil || j.Controllers < 1 || j.Controllers > 1000 || j.Servers < 1 || j.Servers > 100 {
			return fmt.Errorf("size %q: wanted CONTROLLERS/SERVERS, up to 1000/100", size)
		}
		for _, times := range c.Times {
			j.Times, j.Load, j.For, j.Redials, j.Line = times, c.Load, c.For, c.Redials, "setups-first"
			jumps = append(jumps, j)
		}
	}
	if c.For < 0 || jumpStart+c.For+jamRecovery > jamRunLength {
		return fmt.Errorf("wanted a jump of %v at most", jamRunLength-jumpStart-jamRecovery)
	}
	recovered, end := int((jumpStart+c.For+jamRecovery)/time.Second), int(jamRunLength/time.Second)
	var cells []borderCell
	for _, names := range []string{c.Before, c.With} {
		with, err := parseModules(names)
		if err != nil {
			return err
		}
		results := make([]*model.Result, len(jumps)*len(numbers))
		g, ctx := errgroup.WithContext(ctx)
		g.SetLimit(maxParallelRuns)
		for k := range results {
			g.Go(func() (err error) {
				if err = ctx.Err(); err == nil {
					results[k], err = model.Run(jumps[k/len(numbers)].scenario(numbers[k%len(numbers)], with))
				}
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		fmt.Printf("%s: served from 15 s after the jump on (worst seed)\n%-10s", names, "size")
		for _, times := range c.Times {
			fmt.Printf(" %15s", fmt.Sprintf("x %.1f", times))
		}
		for k, j := range jumps {
			result := borderCell{Modules: names, Size: c.Sizes[k/len(c.Times)], Times: j.Times, Worst: 1}
			for _, r := range results[k*len(numbers) : (k+1)*len(numbers)] {
				after := servedShare(r.ServedBySecond, r.OfferedBySecond, recovered, end)
				result.Served += r.ServedShare / float64(len(numbers))
				result.After += after / float64(len(numbers))
				result.Worst = min(result.Worst, after)
				if r.Any() {
					return fmt.Errorf("%s, seed %d: a rule was broken: %v", result.Size, r.Seed, r.Descriptions)
				}
			}
			if k%len(c.Times) == 0 {
				fmt.Printf("\n%-10s", result.Size)
			}
			fmt.Printf(" %6.3f (%6.3f)", result.After, result.Worst)
			cells = append(cells, result)
		}
		fmt.Println()
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, cells); err != nil {
			return err
		}
	}
	if c.Plot == "" {
		return nil
	}
	return c.plot(cells)
}

// grid provides the cells of one plot to the plotter: columns are jumps, rows are sizes.
type grid struct {
	c     borderCmd
	cells []borderCell
}

func (g grid) Dims() (cols, rows int) { return len(g.c.Times), len(g.c.Sizes) }
func (g grid) Z(col, row int) float64 { return g.cells[row*len(g.c.Times)+col].After }
func (g grid) X(col int) float64      { return float64(col) }
func (g grid) Y(row int) float64      { return float64(row) }
func (g grid) ticks(x bool) plot.Ticker {
	var all plot.ConstantTicks
	if x {
		for k, times := range g.c.Times {
			all = append(all, plot.Tick{Value: float64(k), Label: fmt.Sprint(times)})
		}
	} else {
		for k, size := range g.c.Sizes {
			all = append(all, plot.Tick{Value: float64(k), Label: size})
		}
	}
	return all
}

func (c borderCmd) plot(cells []borderCell) error {
	if !strings.HasSuffix(c.Plot, ".png") {
		return fmt.Errorf("plot %q: wanted a PNG", c.Plot)
	}
	half := len(cells) / 2
	var plots []*plot.Plot
	for k, names := range []string{c.Before, c.With} {
		g := grid{c, cells[k*half : (k+1)*half]}
		colours := moreland.ExtendedBlackBody()
		colours.SetMin(0)
		colours.SetMax(1)
		heat := plotter.NewHeatMap(g, colours.Palette(64))
		heat.Min, heat.Max = -0.4, 1 // keeps the labels of cells near zero readable
		p := plot.New()
		p.Title.Text = fmt.Sprintf("%s: served from 15 s after the jump on", names)
		p.X.Label.Text, p.Y.Label.Text = "height of the jump", "controllers/servers"
		p.X.Tick.Marker, p.Y.Tick.Marker = g.ticks(true), g.ticks(false)
		p.Add(heat)
		var texts plotter.XYLabels
		for col := range c.Times {
			for row := range c.Sizes {
				texts.XYs = append(texts.XYs, plotter.XY{X: float64(col) - 0.2, Y: float64(row)})
				texts.Labels = append(texts.Labels, fmt.Sprintf("%.2f", g.Z(col, row)))
			}
		}
		labels, err := plotter.NewLabels(texts)
		if err != nil {
			return err
		}
		p.Add(labels)
		plots = append(plots, p)
	}
	img := vgimg.New(30*vg.Centimeter, 14*vg.Centimeter)
	tiles := draw.Tiles{Rows: 1, Cols: 2, PadX: vg.Centimeter, PadTop: vg.Millimeter, PadBottom: vg.Millimeter, PadLeft: vg.Millimeter, PadRight: vg.Millimeter}
	for k, canvas := range plot.Align([][]*plot.Plot{plots}, tiles, draw.New(img))[0] {
		plots[k].Draw(canvas)
	}
	f, err := os.Create(c.Plot)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
