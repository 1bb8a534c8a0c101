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

// parallel is how many runs of the model go side by side: each holds some hundred megabytes at the largest sizes.
const parallel = 4

// joining makes the modules beside control of a controller that starts.
type joining func(s control.Settings, planned float64, seed uint64, now int64) join.Chain

// asRun makes the modules beside control that the deploy file's run has: TestAsRun holds it against the settings.
func asRun(s control.Settings, _ float64, seed uint64, now int64) join.Chain {
	return join.Chain{goodput.New(goodput.Settings{Control: s}, seed, now, nil)}
}

// modules makes the modules of a list of names, such as "recovery,goodput"; "plain" is none, "run" what run has.
func modules(list string) (joining, error) {
	switch list {
	case "plain":
		return nil, nil
	case "run":
		return asRun, nil
	}
	names := strings.Split(list, ",")
	for _, name := range names {
		switch name {
		case "recovery", "levels", "shares", "goodput", "shared":
		default:
			return nil, fmt.Errorf("no module %q: there are recovery, levels, shares, goodput and shared, or plain, or run", name)
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
				if fleet != nil { // named before
					own.UseFleetTotals(fleet)
				}
				chain = append(chain, own)
			case "shared":
				fleet = shared.New(talking(s, planned, seed), seed, now, shared.Callbacks{})
				chain = append(chain, fleet)
			case "goodput":
				chain = append(chain, goodput.New(goodput.Settings{Control: s}, seed, now, nil))
			}
		}
		return chain
	}, nil
}

// talking is a controller's part in a fleet whose instances know of each other: three of them are keepers.
func talking(s control.Settings, planned float64, seed uint64) shared.Config {
	c := shared.Config{Epoch: seed, Control: s, Planned: planned, Name: fmt.Sprint("n", s.Ordinal), Machine: fmt.Sprint("m", s.Ordinal), Budgets: true, DetectOutliers: true,
		Lease: lease.Config{Voters: []string{"n0", "n1", "n2"}, MaxInstances: s.GroupSize}}
	for _, t := range model.Tenants() {
		c.Tenants = append(c.Tenants, t.Name)
	}
	return c
}
