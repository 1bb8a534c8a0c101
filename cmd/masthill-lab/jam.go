package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"masthill/control"
	"masthill/control/join"
	"masthill/internal/config"
	"masthill/lab/model"
	"masthill/lab/processor"
	"masthill/lab/wave"
)

// jamCmd simulates, over several seeds, a jump of the load after which a fleet may stay congested.
type jamCmd struct {
	Controllers int           `default:"300" help:"Number of session controllers, at most 1,000."`
	Servers     int           `default:"24" help:"Number of session servers, at most 100."`
	Planned     float64       `help:"Planned load of all servers together, in calls per second (default: 22 per server)."`
	Load        float64       `default:"0.93" help:"Offered load, as a fraction of the planned load."`
	Times       float64       `default:"1.8" help:"Load during the jump, as a multiple of the usual load."`
	For         time.Duration `default:"9.3s" help:"Duration of the jump, which begins after 20 s."`
	Seeds       string        `default:"1-20" help:"Seeds, as FIRST-LAST or a single number."`
	Redials     int           `default:"2" help:"Maximum number of redials per call."`
	Line        string        `enum:"setups-first,in-turn,answers-first" default:"setups-first" help:"Order of work at the servers: ${enum}."`
	DropAnswers bool          `help:"Canceling a call also removes its queued answer at the server."`
	Plain       bool          `help:"Run without the decision modules that the deployed settings enable."`
	Sockets     bool          `help:"Run real processes on loopback, one seed after the other, with at most 24 controllers."`
	Program     string        `default:"bin/masthill" help:"Path of the program to run with --sockets." placeholder:"PATH"`
	JSON        string        `name:"json" help:"Write an array with one result per seed to this file, as JSON." placeholder:"FILE"`
	Plot        string        `help:"Plot the served share by second to this file, as SVG or PNG (default: beside the JSON file)." placeholder:"FILE"`
}

const (
	jumpStart, jamRunLength = 20 * time.Second, 80 * time.Second
	// jamRecovery is how long after the jump's end service has to be restored, and jamServed the served share from
	// which it is.
	jamRecovery, jamServed = 15 * time.Second, 0.98
)

// seeds parses FIRST-LAST or a single number.
func seeds(text string) (all []uint64, err error) {
	first, last, two := strings.Cut(text, "-")
	from, err := strconv.ParseUint(first, 10, 32)
	to := from
	if err == nil && two {
		to, err = strconv.ParseUint(last, 10, 32)
	}
	if err != nil || to < from || to-from >= 10_000 {
		return nil, fmt.Errorf("seeds %q: wanted FIRST-LAST, such as 1-20, of 10,000 at most", text)
	}
	for s := from; s <= to; s++ {
		all = append(all, s)
	}
	return all, nil
}

func (c jamCmd) scenario(seed uint64, with func(control.Settings, float64, uint64, int64) join.Chain) model.Scenario {
	return model.Scenario{Seed: seed, Controllers: c.Controllers, Servers: c.Servers, Planned: c.Planned, Load: c.Load, Duration: jamRunLength, Redials: c.Redials, Join: with,
		QueueOrder: processor.QueueOrders[c.Line], DropAnswers: c.DropAnswers, RateFactor: c.jump}
}

// jump is the load at a time, as a multiple of the usual load.
func (c jamCmd) jump(at time.Duration) float64 {
	if at >= jumpStart && at < jumpStart+c.For {
		return c.Times
	}
	return 1
}

// maxServed is an upper bound of the served share: during the jump, no more calls can be established in time than the
// servers' processors can handle without wasted work, and the other callers are served late at best.
func (c jamCmd) maxServed(r *model.Result) float64 {
	total := c.Load * (jamRunLength.Seconds() + (c.Times-1)*c.For.Seconds())
	over := max(c.Load*c.Times-1/r.UtilizationAtPlan, 0) * c.For.Seconds()
	return 1 - (1-model.LateValue)*over/total
}

// servedShare is the served fraction of the calls that were first offered between two seconds.
func servedShare(bySecond []float64, offeredByS []int, from, to int) float64 {
	var served, offered float64
	for k := from; k < min(to, len(bySecond)); k++ {
		served += bySecond[k] * float64(offeredByS[k])
		offered += float64(offeredByS[k])
	}
	return served / max(offered, 1)
}

func (c jamCmd) Run(ctx context.Context) error {
	if c.Controllers < 1 || c.Controllers > 1000 || c.Servers < 1 || c.Servers > 100 || c.For < 0 || jumpStart+c.For+jamRecovery > jamRunLength {
		return fmt.Errorf("wanted 1 to 1,000 controllers, 1 to 100 servers and a jump of %v at most", jamRunLength-jumpStart-jamRecovery)
	}
	numbers, err := seeds(c.Seeds)
	if err != nil {
		return err
	}
	if c.Sockets {
		return c.sockets(ctx, numbers)
	}
	with := deployedModules
	if c.Plain {
		with = nil
	}
	all := make([]*model.Result, len(numbers))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelRuns)
	for k, seed := range numbers {
		g.Go(func() (err error) {
			if err = ctx.Err(); err == nil {
				all[k], err = model.Run(c.scenario(seed, with))
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	recovered := int((jumpStart + c.For + jamRecovery) / time.Second)
	var served, after []float64
	violatingRuns := 0
	for _, r := range all {
		served, after = append(served, r.ServedShare), append(after, servedShare(r.ServedBySecond, r.OfferedBySecond, recovered, int(jamRunLength/time.Second)))
		if r.Any() || r.FellOver {
			violatingRuns++
			fmt.Println(" ", r.Seed, r.Descriptions)
		}
	}
	fmt.Printf("served %.4f (worst %.4f), 15 s after the jump %.4f (worst %.4f), %d seeds\n", stat.Mean(served, nil), minimum(served), stat.Mean(after, nil), minimum(after), len(all))
	for k, r := range all {
		fmt.Printf("  seed %d: %.3f (bound %.3f), after %.3f, refused by servers %d, tries %.2f a call\n", r.Seed, r.ServedShare, c.maxServed(r), after[k], r.RefusedByServers,
			float64(r.Tries)/float64(max(r.Calls, 1)))
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, all); err != nil {
			return err
		}
		if c.Plot == "" {
			c.Plot = strings.TrimSuffix(c.JSON, ".json") + ".svg"
		}
	}
	if c.Plot != "" {
		if err := c.plot(all); err != nil {
			return err
		}
	}
	if violatingRuns > 0 {
		return fmt.Errorf("a rule was broken in %d runs", violatingRuns)
	}
	return nil
}

// sockets runs the jump with real processes.
func (c jamCmd) sockets(ctx context.Context, numbers []uint64) error {
	if c.Controllers > 24 || c.Servers > 24 {
		return fmt.Errorf("with --sockets 24 controllers and 24 servers at most: each is a process or a listener for every one")
	}
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("cannot find the program to run: %w", err)
	}
	settings := ""
	if !c.Plain {
		text, err := os.ReadFile(config.OperatorSettingsFile)
		if err != nil {
			return fmt.Errorf("cannot read the deployed settings: %w", err)
		}
		settings = string(text)
	}
	planned := c.Planned
	if planned == 0 {
		planned = 22 * float64(c.Servers)
	}
	recovered := int((jumpStart + c.For + jamRecovery) / time.Second)
	var all []*wave.Result
	for _, seed := range numbers {
		dir, err := os.MkdirTemp("", "masthill-lab-")
		if err != nil {
			return err
		}
		r, err := wave.Run(ctx, wave.Options{Program: program, Settings: settings, Instances: c.Controllers, Servers: c.Servers, Seed: seed, Load: c.Load,
			Planned: planned, Steady: true, WarmUp: jumpStart, RestartWindow: c.For, After: jamRunLength - jumpStart - c.For, RateFactor: c.jump, Dir: dir})
		os.RemoveAll(dir)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: served %.3f, 15 s after the jump %.3f, %d calls, %d tries, missing %d, twice %d, overlapping %d, rig late %.0f ms\n", seed, r.Served,
			servedShare(r.ServedBySecond, r.OfferedBySecond, recovered, len(r.ServedBySecond)), r.Calls, r.Tries, r.MissingAnswers, r.DuplicateAnswers, r.OverlappingAttempts, r.MaxDelayMS)
		r.Samples = nil
		if all = append(all, r); r.Any() || len(r.Errors) > 0 {
			return fmt.Errorf("a rule was broken, or an instance failed: %v %v", r.Descriptions, r.Errors)
		}
	}
	if c.JSON == "" {
		return nil
	}
	return writeJSON(c.JSON, all)
}

// plot draws the served share of the calls of each second: a thin line for each seed, a thick one for their mean.
func (c jamCmd) plot(all []*model.Result) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d controllers, %d servers, load %.2f, %.1f times that for %v", c.Controllers, c.Servers, c.Load, c.Times, c.For)
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min, p.Y.Max = "time of the first try (s)", "served share", 0, 1.02
	var mean plotter.XYs
	for k := range int(jamRunLength / time.Second) {
		sum := 0.0
		for _, r := range all {
			sum += r.ServedBySecond[k]
		}
		mean = append(mean, plotter.XY{X: float64(k), Y: sum / math.Max(float64(len(all)), 1)})
	}
	for k, r := range all {
		var one plotter.XYs
		for s := range mean {
			one = append(one, plotter.XY{X: float64(s), Y: r.ServedBySecond[s]})
		}
		line, err := plotter.NewLine(one)
		if err != nil {
			return err
		}
		line.Width, line.Color = vg.Points(0.4), plotutil.SoftColors[k%len(plotutil.SoftColors)]
		p.Add(line)
	}
	line, err := plotter.NewLine(mean)
	if err != nil {
		return err
	}
	line.Width = vg.Points(2)
	p.Add(line)
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, c.Plot)
}
