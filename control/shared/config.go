package shared

import (
	"masthill/control"
	"masthill/control/shared/count"
	"masthill/control/shared/judge"
	"masthill/control/shared/lease"
)

// Config is what the module is told once.
type Config struct {
	Control    control.Settings
	Planned    float64 // calls a second, all instances together; 0: cold servers have no shared budget
	Name       string
	Machine    string
	Epoch      uint64 // drawn at random at each start
	Tenants    []string
	Numbers    []string // that are counted one by one
	Budgets    bool
	Judgements bool
	Lease      lease.Config
	Count      count.Config
	Judge      judge.Config
}

// Events are what the module reports to its shell; each may be nil.
type Events struct {
	Claim   func(lease.Claim)
	Verdict func(judge.Verdict)
	Reign   func(until int64) // this instance hands budgets out until then
}
