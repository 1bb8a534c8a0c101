package shared

import (
	"masthill/control"
	"masthill/control/shared/count"
	"masthill/control/shared/judge"
	"masthill/control/shared/lease"
)

// Config is the settings of the module. They do not change while it runs.
type Config struct {
	Control    control.Settings
	Planned    float64 // planned calls per second of the whole fleet; 0: cold servers have no shared budget
	Name       string
	Machine    string
	Epoch      uint64   // drawn at random at each start
	Tenants    []string // that are counted one by one
	Numbers    []string // that are counted one by one
	Budgets    bool     // cold servers have shared budgets
	Judgements bool     // servers are avoided by the reports of other instances
	Lease      lease.Config
	Count      count.Config
	Judge      judge.Config
}

// Events are callbacks by which the module reports to its shell; each may be nil.
type Events struct {
	Claim   func(lease.Claim)
	Verdict func(judge.Verdict)
	Reign   func(until int64) // this instance is the leader until then
}
