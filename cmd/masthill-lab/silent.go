package main

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"masthill/lab/model"
)

// silentCmd simulates a server that goes silent without a change on the list, and shows how long set-ups are sent there.
type silentCmd struct {
	Controllers int     `default:"50" help:"Number of session controllers."`
	Servers     int     `default:"21" help:"Number of session servers."`
	Seeds       string  `default:"1-8" help:"Seeds, as FIRST-LAST or a single number."`
	Load        float64 `default:"0.8" help:"Offered load, as a fraction of the planned load."`
	// Columns are lists of modules in the format of parseModules.
	Columns []string `sep:";" default:"goodput;shared,goodput" help:"Decision modules: one list per column, separated by semicolons."`
	Liar    bool     `help:"Have one controller keep reporting to the others that every server is dead."`
}

// silentFrom and silentFor are the beginning and length of the silence; the list shows it some seconds later, unless the
// server answers again by then.
const silentFrom, silentFor, silentLength = 15 * time.Second, 4 * time.Second, 40 * time.Second

func (c silentCmd) Run(ctx context.Context) error {
	numbers, err := seeds(c.Seeds)
	if err != nil {
		return err
	}
	var first []float64
	for _, names := range c.Columns {
		join, err := parseModules(names)
		if err != nil {
			return err
		}
		all := make([]*model.Result, len(numbers))
		g, ctx := errgroup.WithContext(ctx)
		g.SetLimit(maxParallelRuns)
		for k, seed := range numbers {
			g.Go(func() (err error) {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				sc := model.Scenario{Seed: seed, Controllers: c.Controllers, Servers: c.Servers, Load: c.Load, Duration: silentLength, Redials: 2, Join: join,
					Faults: []model.Fault{{Kind: "silent", At: silentFrom, Duration: silentFor, Share: 0.01}}}
				if c.Liar {
					sc.FalseReporter = 1
				}
				all[k], err = model.Run(sc)
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		sendsBySecond := make([]float64, int(silentFor/time.Second))
		var served []float64
		for _, r := range all {
			if r.Any() {
				return fmt.Errorf("seed %d: a rule was broken: %v", r.Seed, r.Descriptions)
			}
			for k, n := range r.SendsToSilentServers {
				sendsBySecond[min(k, len(sendsBySecond)-1)] += float64(n) / float64(len(all))
			}
			served = append(served, r.ServedShare)
		}
		fmt.Printf("%-22s set-ups to the silent server by second: %.1f; served %.4f", names, sendsBySecond, stat.Mean(served, nil))
		if first == nil {
			first = served
			fmt.Println()
			continue
		}
		mean, half := pairedDifference(first, served)
		fmt.Printf(", %+.4f, 95%% interval %+.4f to %+.4f\n", mean, mean-half, mean+half)
	}
	return nil
}
