package main

import (
	"fmt"
	"masthill/control"
	"masthill/control/goodput"
	"masthill/control/join"
	"os"
)

// parallel is how many runs of the model go side by side: each holds some hundred megabytes at the largest sizes.
const parallel = 4

// asRun makes the modules beside control that the deploy file's run has.
func asRun(s control.Settings, planned float64, seed uint64, now int64) join.Chain {
	g := goodput.Settings{Control: s}
	if e := os.Getenv("GP"); e != "" {
		fmt.Sscanf(e, "%f,%f,%f,%f,%f", &g.InTime, &g.Span, &g.Least, &g.Ease, &g.Delay)
	}
	return join.Chain{goodput.New(g, now)}
}
