package main

import (
	"masthill/control"
	"masthill/control/goodput"
	"masthill/control/join"
)

// parallel is how many runs of the model go side by side: each holds some hundred megabytes at the largest sizes.
const parallel = 4

// asRun makes the modules beside control that the deploy file's run has: TestAsRun holds it against the settings.
func asRun(s control.Settings, _ float64, seed uint64, now int64) join.Chain {
	return join.Chain{goodput.New(goodput.Settings{Control: s}, seed, now, nil)}
}
