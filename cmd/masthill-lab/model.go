package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"masthill/lab/model"
)

// modelCmd simulates the restart wave with and without recovery, over paired seeds.
type modelCmd struct {
	Controllers int     `default:"20" help:"Number of session controllers, at most 1,000."`
	Servers     int     `default:"3" help:"Number of session servers, at most 100."`
	Seeds       int     `default:"10" help:"Number of seeds, which are counted from 1."`
	Load        float64 `default:"0.93" help:"Offered load, as a fraction of the planned load."`
	Cold        string  `enum:"replace,crash" default:"replace" help:"How a server becomes cold: ${enum}. The list announces either with a delay."`
	ListLate    float64 `default:"3" help:"Maximum delay of list changes, in seconds."`
	Before      string  `default:"plain" help:"Decision modules to compare with, as for scenes."`
	With        string  `default:"recovery" help:"Decision modules, as for scenes."`
	JSON        string  `name:"json" help:"Write a JSON line for each run to this file." placeholder:"FILE"`
}

func (c modelCmd) scenario(seed uint64, join moduleFactory) model.Scenario {
	late := time.Duration(c.ListLate * float64(time.Second))
	sc := model.Scenario{Seed: seed, Controllers: min(c.Controllers, 1000), Servers: min(c.Servers, 100), Load: c.Load, Duration: 52 * time.Second, Redials: 2,
		ListDelay: [2]time.Duration{late / 6, late}, Faults: []model.Fault{
			{Kind: c.Cold, At: 9700 * time.Millisecond}, {Kind: "restarts", At: 8 * time.Second, Duration: 28 * time.Second, Share: 0.93, Batch: 0.28}}}
	sc.Join = join
	return sc
}

func (c modelCmd) Run(ctx context.Context) error {
	var columns [2]moduleFactory
	for k, names := range []string{c.Before, c.With} {
		var err error
		if columns[k], err = parseModules(names); err != nil {
			return err
		}
	}
	before, with := make([]*model.Result, c.Seeds), make([]*model.Result, c.Seeds)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(8)
	for k := range c.Seeds {
		for _, to := range []struct {
			into []*model.Result
			join moduleFactory
		}{{before, columns[0]}, {with, columns[1]}} {
			g.Go(func() (err error) {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				to.into[k], err = model.Run(c.scenario(uint64(k+1), to.join))
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if c.JSON != "" {
		f, err := os.Create(c.JSON)
		if err != nil {
			return err
		}
		defer f.Close()
		e := json.NewEncoder(f)
		for k := range before {
			for name, r := range map[string]*model.Result{c.Before: before[k], c.With: with[k]} {
				e.Encode(struct {
					Column string `json:"column"`
					*model.Result
				}{name, r})
			}
		}
	}
	violatingRuns := 0
	column := func(name string, all []*model.Result) []float64 {
		var served, wait []float64
		fell, rate, kb := 0, 0.0, 0.0
		for _, r := range all {
			served, wait = append(served, r.ServedShare), append(wait, r.MaxColdWaitMS/r.RefusalPointMS)
			if r.FellOver {
				fell++
			}
			if r.Any() {
				violatingRuns++
				fmt.Println(" ", r.Seed, r.Descriptions)
			}
			rate, kb = rate+r.EventsPerSecond, max(kb, r.MemoryKB)
		}
		fmt.Printf("%-9s served %.4f (worst %.4f); cold wait of the refusal point %.3f (worst %.3f); fell over %d of %d; %.0f events/s, %.0f KB a controller\n",
			name, stat.Mean(served, nil), minimum(served), stat.Mean(wait, nil), -minimum(negated(wait)), fell, len(all), rate/float64(len(all)), kb)
		return served
	}
	a, b := column(c.Before, before), column(c.With, with)
	mean, half := pairedDifference(a, b)
	fmt.Printf("with - before: %+.5f, 95%% interval %+.5f to %+.5f\n", mean, mean-half, mean+half)
	if violatingRuns > 0 {
		return fmt.Errorf("a rule was broken in %d runs", violatingRuns)
	}
	return nil
}

// floodCmd simulates a flood of calls by one tenant, with and without shares.
type floodCmd struct {
	Controllers int     `default:"7" help:"Number of session controllers."`
	Servers     int     `default:"3" help:"Number of session servers."`
	Seeds       int     `default:"6" help:"Number of seeds, which are counted from 1."`
	Load        float64 `default:"0.8" help:"Offered load besides the flood, as a fraction of the planned load."`
	Flood       float64 `default:"1.5" help:"Load of the flood, as a fraction of the planned load of all tenants."`
	// Columns are lists of modules in the format of parseModules.
	Columns []string `sep:";" default:"plain;shares" help:"Decision modules: one list per column, separated by semicolons."`
}

func (c floodCmd) Run(ctx context.Context) error {
	const from, to = 20, 60 // seconds of the flood
	for _, column := range c.Columns {
		modules, err := parseModules(column)
		if err != nil {
			return err
		}
		all := make([]*model.Result, c.Seeds)
		g, ctx := errgroup.WithContext(ctx)
		g.SetLimit(8)
		for k := range all {
			g.Go(func() (err error) {
				sc := model.Scenario{Seed: uint64(k + 1), Controllers: min(c.Controllers, 1000), Servers: min(c.Servers, 100), Load: c.Load, Duration: to * time.Second,
					Redials: 2, Flood: &model.Flood{Tenant: "barrow-estate", At: from * time.Second, Duration: (to - from) * time.Second, Load: c.Flood}}
				sc.Join = modules
				if err = ctx.Err(); err == nil {
					all[k], err = model.Run(sc)
				}
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		servedByTenant, worst, good := map[string]float64{}, 1.0, 0.0
		for _, r := range all {
			for name, share := range r.ServedInFlood {
				servedByTenant[name] += share / float64(len(all))
				if name != "barrow-estate" {
					worst = min(worst, share)
				}
			}
			for s := from; s < to; s++ {
				good += r.ServedBySecond[s] * float64(r.OfferedBySecond[s]) / (to - from) / 22 / float64(r.Servers) / float64(len(all))
			}
			if r.Any() {
				return fmt.Errorf("seed %d: a rule was broken: %v", r.Seed, r.Descriptions)
			}
		}
		fmt.Printf("%-21s slaney-vines %.3f, suir-growers %.3f (worst of either %.3f), barrow-estate (the flood) %.3f; placed %.2f of the plan\n", column,
			servedByTenant["slaney-vines"], servedByTenant["suir-growers"], worst, servedByTenant["barrow-estate"], good)
	}
	return nil
}

// pairedDifference returns the mean of b - a and half the width of its 95% confidence interval, by Student's
// t-distribution.
func pairedDifference(a, b []float64) (mean, half float64) {
	d := make([]float64, len(a))
	for k := range a {
		d[k] = b[k] - a[k]
	}
	mean, dev := stat.MeanStdDev(d, nil)
	if len(d) < 2 {
		return mean, math.Inf(1)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(d) - 1)}
	return mean, t.Quantile(0.975) * dev / math.Sqrt(float64(len(d)))
}

func minimum(x []float64) float64 {
	m := math.Inf(1)
	for _, v := range x {
		m = min(m, v)
	}
	return m
}

func negated(x []float64) []float64 {
	n := make([]float64, len(x))
	for k, v := range x {
		n[k] = -v
	}
	return n
}
