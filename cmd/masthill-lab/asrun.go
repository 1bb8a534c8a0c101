package main

import (
	"fmt"
	"strings"

	"masthill/control"
	"masthill/control/goodput"
	"masthill/control/join"
	"masthill/control/levels"
	"masthill/control/recovery"
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
		case "recovery", "levels", "shares", "goodput":
		default:
			return nil, fmt.Errorf("no module %q: there are recovery, levels, shares and goodput, or plain, or run", name)
		}
	}
	return func(s control.Settings, planned float64, seed uint64, now int64) (chain join.Chain) {
		for _, name := range names {
			switch name {
			case "recovery":
				chain = append(chain, recovery.New(recovery.Settings{Control: s, Planned: planned}, seed, now, nil))
			case "levels":
				chain = append(chain, levels.New(s, seed, now, nil, nil))
			case "shares":
				chain = append(chain, shares.New(s, model.Tenants(), planned, seed, now))
			case "goodput":
				chain = append(chain, goodput.New(goodput.Settings{Control: s}, seed, now, nil))
			}
		}
		return chain
	}, nil
}
