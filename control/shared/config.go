package shared

import (
	"masthill/control"
	"masthill/control/shared/count"
	"masthill/control/shared/lease"
	"masthill/control/shared/outlier"
)

// Config holds the settings of the module, which do not change while it runs.
type Config struct {
	Control        control.Settings
	Planned        float64 // planned calls per second of the whole fleet; 0: cold servers have no shared budget
	Name           string
	Machine        string
	Epoch          uint64   // drawn at random at each start
	Tenants        []string // the tenants with counts of their own
	Numbers        []string // the numbers with counts of their own
	Budgets        bool     // share budgets for cold servers
	DetectOutliers bool     // avoid servers by the reports of other instances too
	Lease          lease.Config
	Count          count.Config
	Outlier        outlier.Config
}

// Callbacks are how the module reports to its caller; each may be nil.
type Callbacks struct {
	Claim    func(lease.Claim)      // a lease of this instance has changed
	Decision func(outlier.Decision) // a decision to avoid a server begins or ends
	Leader   func(until int64)      // this instance is the leader until this time
}
