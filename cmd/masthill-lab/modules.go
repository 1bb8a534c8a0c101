package main

import (
	"fmt"
	"strings"

	"masthill/control"
	"masthill/control/goodput"
	"masthill/control/join"
	"masthill/control/levels"
	"masthill/control/recovery"
	"masthill/control/shared"
	"masthill/control/shared/lease"
	"masthill/control/shares"
	"masthill/lab/model"
)

// maxParallelRuns limits the concurrent runs of the model: each uses some hundred megabytes at the largest sizes.
const maxParallelRuns = 4

// moduleFactory makes the decision modules that run beside control in a controller that starts.
type moduleFactory func(s control.Settings, planned float64, seed uint64, now int64) join.Chain

// deployedModules makes the modules that deploy/masthill.toml enables; TestAsRun checks that they agree.
func deployedModules(s control.Settings, _ float64, seed uint64, now int64) join.Chain {
	return join.Chain{goodput.New(goodput.Settings{Control: s}, seed, now, nil)}
}

// parseModules returns the factory for a list of module names, such as "recovery,goodput". "plain" means no modules,
// "run" those of deployedModules.
func parseModules(list string) (moduleFactory, error) {
	switch list {
	case "plain":
		return nil, nil
	case "run":
		return deployedModules, nil
	}
	names := strings.Split(list, ",")
	for _, name := range names {
		switch name {
		case "recovery", "levels", "shares", "goodput", "shared":
		default:
			return nil, fmt.Errorf("unknown module %q: expected plain, run, or a list of recovery, levels, shares, goodput and shared", name)
		}
	}
	return func(s control.Settings, planned float64, seed uint64, now int64) (chain join.Chain) {
		var fleet *shared.Module
		for _, name := range names {
			switch name {
			case "recovery":
				chain = append(chain, recovery.New(recovery.Settings{Control: s, Planned: planned}, seed, now, nil))
			case "levels":
				chain = append(chain, levels.New(s, seed, now, nil, nil))
			case "shares":
				own := shares.New(s, model.Tenants(), planned, seed, now)
				if fleet != nil { // if "shared" precedes "shares" in the list
					own.UseFleetTotals(fleet)
				}
				chain = append(chain, own)
			case "shared":
				fleet = shared.New(peerConfig(s, planned, seed), seed, now, shared.Callbacks{})
				chain = append(chain, fleet)
			case "goodput":
				chain = append(chain, goodput.New(goodput.Settings{Control: s}, seed, now, nil))
			}
		}
		return chain
	}, nil
}

// peerConfig configures a controller of a fleet whose instances share state; three of them are voters.
func peerConfig(s control.Settings, planned float64, seed uint64) shared.Config {
	c := shared.Config{Epoch: seed, Control: s, Planned: planned, Name: fmt.Sprint("n", s.Ordinal), Machine: fmt.Sprint("m", s.Ordinal), Budgets: true, DetectOutliers: true,
		Lease: lease.Config{Voters: []string{"n0", "n1", "n2"}, MaxInstances: s.GroupSize}}
	for _, t := range model.Tenants() {
		c.Tenants = append(c.Tenants, t.Name)
	}
	return c
}
