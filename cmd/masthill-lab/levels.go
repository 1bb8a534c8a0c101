package main

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/control"
	"masthill/control/join"
	"masthill/control/levels"
	"masthill/control/recovery"
	"masthill/lab/model"
)

// levelsCmd simulates a scenario with and without levels of service, over paired seeds.
type levelsCmd struct {
	Scenario    string `arg:"" enum:"swing,jump,slowdown,overload" help:"Scenario: ${enum}."`
	Controllers int    `default:"7" help:"Number of session controllers."`
	Servers     int    `default:"3" help:"Number of session servers."`
	Seeds       int    `default:"8" help:"Number of seeds, which are counted from 1."`
}

// halfSwing is half the period of a swing.
const halfSwing = 4 * time.Second

func (c levelsCmd) scenario(seed uint64) model.Scenario {
	sc := model.Scenario{Seed: seed, Controllers: min(c.Controllers, 1000), Servers: min(c.Servers, 100), Load: 1, Duration: 80 * time.Second, Redials: 2}
	switch c.Scenario {
	case "swing": // from 90% to 120% of the plan and back
		sc.RateFactor = func(at time.Duration) float64 {
			if at > 10*time.Second && at/halfSwing%2 == 1 {
				return 1.2
			}
			return 0.9
		}
	case "jump": // for three seconds
		sc.RateFactor = func(at time.Duration) float64 {
			if at > 20*time.Second && at < 23*time.Second {
				return 0.93 * 1.8
			}
			return 0.93
		}
	case "slowdown": // ends just after a restart wave begins
		sc.Load = 0.93
		sc.Faults = []model.Fault{{Kind: "slow", At: 15 * time.Second, Duration: 15 * time.Second, Magnitude: 2.5},
			{Kind: "restarts", At: 29 * time.Second, Duration: 20 * time.Second, Share: 0.93, Batch: 0.28}}
	case "overload": // for a minute
		sc.RateFactor = func(at time.Duration) float64 {
			if at > 10*time.Second && at < 70*time.Second {
				return 1.5
			}
			return 0.9
		}
	}
	return sc
}

func (c levelsCmd) Run(ctx context.Context) error {
	type levelsRun struct {
		r       *model.Result
		most    int // changes of level of one controller
		changes int // of all
		highest levels.Level
	}
	runs := [2][]levelsRun{make([]levelsRun, c.Seeds), make([]levelsRun, c.Seeds)}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(8)
	for on := range 2 {
		for k := range c.Seeds {
			g.Go(func() (err error) {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				p, sc := &runs[on][k], c.scenario(uint64(k+1))
				count := map[int]int{}
				sc.Join = func(s control.Settings, planned float64, seed uint64, now int64) join.Chain {
					r := recovery.New(recovery.Settings{Control: s, Planned: planned}, seed, now, nil)
					if on == 0 {
						return join.Chain{r}
					}
					return join.Chain{r, levels.New(s, seed, now, r.Recovering, func(ch levels.Change) {
						count[s.Ordinal]++
						p.changes++
						p.most, p.highest = max(p.most, count[s.Ordinal]), max(p.highest, ch.To)
					})}
				}
				p.r, err = model.Run(sc)
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	var served [2][]float64
	for on := range 2 {
		most, changes, worst, highest := 0, 0, 1.0, levels.Normal
		for _, p := range runs[on] {
			if p.r.Any() {
				return fmt.Errorf("seed %d: a rule was broken: %v", p.r.Seed, p.r.Descriptions)
			}
			served[on] = append(served[on], p.r.ServedShare)
			most, changes, highest, worst = max(most, p.most), changes+p.changes, max(highest, p.highest), min(worst, p.r.ServedShare)
		}
		mean := 0.0
		for _, x := range served[on] {
			mean += x / float64(len(served[on]))
		}
		fmt.Printf("levels %-3s served %.4f (worst %.4f); changes of level: %.1f a controller, %d at most; highest %s\n", [...]string{"off", "on"}[on], mean, worst,
			float64(changes)/float64(c.Seeds*c.Controllers), most, highest)
	}
	mean, half := pairedDifference(served[0], served[1])
	fmt.Printf("on - off: %+.4f, 95%% interval %+.4f to %+.4f\n", mean, mean-half, mean+half)
	return nil
}
