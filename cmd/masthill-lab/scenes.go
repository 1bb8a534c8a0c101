package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"masthill/lab/model"
)

// scenesCmd simulates scenes with two sets of modules beside control, and compares them over paired seeds.
type scenesCmd struct {
	Scene       []string `default:"all" help:"Names of scenes, or all."`
	Controllers int      `default:"300" help:"Number of session controllers, at most 1,000."`
	Servers     int      `default:"24" help:"Number of session servers, at most 100."`
	Planned     float64  `help:"Planned load of all servers together, in calls per second (default: 22 per server)."`
	Seeds       string   `default:"1-8" help:"Seeds, as FIRST-LAST or a single number."`
	Before      string   `default:"plain" help:"Decision modules to compare with: plain (none), run (as deployed), or names separated by commas."`
	With        string   `default:"run" help:"Decision modules, in the same format."`
	PeerBytes   bool     `help:"Count the bytes of messages between controllers, for the JSON output; this takes more time."`
	JSON        string   `name:"json" help:"Write a JSON line for each run to this file." placeholder:"FILE"`
}

func (c scenesCmd) Run(ctx context.Context) error {
	if c.Controllers < 1 || c.Controllers > 1000 || c.Servers < 1 || c.Servers > 100 {
		return fmt.Errorf("wanted 1 to 1,000 controllers and 1 to 100 servers")
	}
	numbers, err := seeds(c.Seeds)
	if err != nil {
		return err
	}
	var columns [2]moduleFactory
	for k, names := range []string{c.Before, c.With} {
		if columns[k], err = parseModules(names); err != nil {
			return err
		}
	}
	list := model.Scenes()
	if len(c.Scene) != 1 || c.Scene[0] != "all" {
		list = nil
		for _, name := range c.Scene {
			s, err := model.SceneByName(name)
			if err != nil {
				return err
			}
			list = append(list, s)
		}
	}
	var lines *json.Encoder
	if c.JSON != "" {
		f, err := os.Create(c.JSON)
		if err != nil {
			return err
		}
		defer f.Close()
		lines = json.NewEncoder(f)
	}
	fmt.Printf("%-11s %8s %8s %10s %22s %8s %8s %8s\n", "scene", "before", "with", "change", "95% interval", "worst", "worst", "late")
	violatingRuns := 0
	for _, s := range list {
		off, on := make([]*model.Result, len(numbers)), make([]*model.Result, len(numbers))
		g, ctx := errgroup.WithContext(ctx)
		g.SetLimit(maxParallelRuns)
		for k, seed := range numbers {
			for column, into := range [][]*model.Result{off, on} {
				g.Go(func() (err error) {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					sc := s.Scenario(seed, c.Controllers, c.Servers)
					sc.Join, sc.Planned, sc.PeerBytes = columns[column], c.Planned, c.PeerBytes
					into[k], err = model.Run(sc)
					return err
				})
			}
		}
		if err := g.Wait(); err != nil {
			return err
		}
		var a, b, late []float64
		for k := range numbers {
			a, b, late = append(a, off[k].ServedShare), append(b, on[k].ServedShare), append(late, on[k].LateShare)
			for column, r := range map[string]*model.Result{c.Before: off[k], c.With: on[k]} {
				if r.Any() {
					violatingRuns++
					fmt.Println(" ", s.Name, column, r.Seed, len(r.Descriptions), r.Descriptions[0])
				}
				if lines != nil {
					if err := lines.Encode(struct {
						Scene  string `json:"scene"`
						Column string `json:"column"`
						*model.Result
					}{s.Name, column, r}); err != nil {
						return err
					}
				}
			}
		}
		mean, half := pairedDifference(a, b)
		fmt.Printf("%-11s %8.4f %8.4f %+10.4f  %+9.4f to %+.4f %8.4f %8.4f %8.4f\n", s.Name, stat.Mean(a, nil), stat.Mean(b, nil), mean, mean-half, mean+half, minimum(a), minimum(b),
			stat.Mean(late, nil))
	}
	if violatingRuns > 0 {
		return fmt.Errorf("a rule was broken in %d runs", violatingRuns)
	}
	return nil
}
