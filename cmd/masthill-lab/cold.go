package main

import (
	"context"
	"fmt"
	"math"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"masthill/lab/model"
)

// coldCmd measures the load of cold servers from all controllers together, and how often it exceeds what they can serve.
type coldCmd struct {
	Scene       []string `default:"all" help:"Names of cold scenes, or all."`
	Controllers int      `default:"20" help:"Number of session controllers, at most 1,000."`
	Servers     int      `default:"8" help:"Number of session servers, at most 100."`
	Planned     float64  `default:"14" help:"Planned load of each server, in calls per second."`
	Skew        float64  `default:"0.8" help:"Spread of the controllers' shares of the traffic, as the standard deviation of their logarithms."`
	Seeds       string   `default:"1-20" help:"Seeds, as FIRST-LAST or a single number."`
	With        string   `default:"plain" help:"Decision modules, as for scenes."`
}

// scenes returns the selected cold scenes.
func (c coldCmd) scenes() (list []model.Scene, err error) {
	for _, s := range model.ColdScenes {
		for _, name := range c.Scene {
			if name == s.Name || name == "all" {
				list = append(list, s)
			}
		}
	}
	if len(list) == 0 {
		err = fmt.Errorf("no cold scene of %v", c.Scene)
	}
	return list, err
}

func (c coldCmd) Run(ctx context.Context) error {
	if c.Controllers < 1 || c.Controllers > 1000 || c.Servers < 1 || c.Servers > 100 {
		return fmt.Errorf("wanted 1 to 1,000 controllers and 1 to 100 servers")
	}
	numbers, err := seeds(c.Seeds)
	if err != nil {
		return err
	}
	join, err := parseModules(c.With)
	if err != nil {
		return err
	}
	scenes, err := c.scenes()
	if err != nil {
		return err
	}
	fmt.Printf("%-9s %7s %6s %7s %22s %10s %10s %10s %8s %8s\n", "scene", "starts", "falls", "broken", "break a start (95%)", "mean load", "worst", "worst told", "sends", "served")
	var all []model.ColdStart
	for _, s := range scenes {
		results := make([]*model.Result, len(numbers))
		g, ctx := errgroup.WithContext(ctx)
		g.SetLimit(maxParallelRuns)
		for k, seed := range numbers {
			g.Go(func() (err error) {
				if err = ctx.Err(); err != nil {
					return err
				}
				sc := s.ColdScenario(seed, c.Controllers, c.Servers, c.Skew)
				sc.Join, sc.Planned = join, c.Planned*float64(c.Servers)
				results[k], err = model.Run(sc)
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		var starts []model.ColdStart
		var served []float64
		for _, r := range results {
			starts, served = append(starts, r.ColdStarts...), append(served, r.ServedShare)
		}
		printCold(s.Name, starts, fmt.Sprintf("%.4f", stat.Mean(served, nil)))
		all = append(all, starts...)
	}
	printCold("together", all, "")
	return nil
}

// printCold prints a line that summarizes cold starts.
func printCold(name string, starts []model.ColdStart, served string) {
	falls, violations, worst, worstInformed, mean, sends := 0, 0, 0.0, 0.0, 0.0, 0.0
	for _, s := range starts {
		if s.BoundExceeded {
			falls++
		}
		if s.BreaksRule() {
			violations++
		}
		worst, worstInformed, mean, sends = max(worst, s.PeakLoad), max(worstInformed, s.InformedLoad), mean+s.PeakLoad, sends+float64(s.TotalSent)
	}
	n := float64(max(len(starts), 1))
	low, high := proportionInterval(violations, len(starts))
	fmt.Printf("%-9s %7d %6d %7d %6.4f (%.4f to %.4f) %10.3f %10.3f %10.3f %8.1f %8s\n", name, len(starts), falls, violations, float64(violations)/n, low, high, mean/n, worst, worstInformed, sends/n, served)
}

// proportionInterval is the exact (Clopper-Pearson) 95% confidence interval of a proportion, given k of n observations.
func proportionInterval(k, n int) (low, high float64) {
	if n == 0 {
		return 0, 1
	}
	if k > 0 {
		low = distuv.Beta{Alpha: float64(k), Beta: float64(n - k + 1)}.Quantile(0.025)
	}
	if high = 1; k < n {
		high = distuv.Beta{Alpha: float64(k + 1), Beta: float64(n - k)}.Quantile(0.975)
	}
	return low, math.Min(high, 1)
}
