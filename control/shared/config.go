package shared

import (
	"masthill/control"
	"masthill/control/shared/count"
	"masthill/control/shared/lease"
	"masthill/control/shared/outlier"
)

// Config is the settings of the module. They do not change while it runs.
type Config struct {
	Control        control.Settings
	Planned        float64 // planned calls per second of the whole fleet; 0: cold servers have no shared budget
	Name           string
	Machine        string
	Epoch          uint64   // drawn at random at each start
	Tenants        []string // that are counted one by one
	Numbers        []string // that are counted one by one
	Budgets        bool     // cold servers have shared budgets
	DetectOutliers bool     // servers are avoided by the reports of other instances
	Lease          lease.Config
	Count          count.Config
	Outlier        outlier.Config
}

// Events are callbacks by which the module reports to its shell; each may be nil.
type Callbacks struct {
	Claim    func(lease.Claim)
	Decision func(outlier.Decision)
	Leader   func(until int64) // this instance is the leader until then
}
