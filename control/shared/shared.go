// Package shared makes the decisions that the instances of a fleet make together: rate budgets that they share by leases
// (package lease), counts of the whole fleet (package count) and the detection of failing servers (package outlier).
//
// It takes part in the core through package join, like any other decision module, and is as pure: callers pass in the time
// and the messages of other instances, and send the messages it returns. Without other instances it falls back to the
// floors of the budgets and to its own observations.
package shared

import (
	"masthill/control/join"
	"masthill/control/shared/count"
	"masthill/control/shared/lease"
	"masthill/control/shared/outlier"
)

// The codes of the module's states, and of its reasons to keep calls away from a server.
const (
	Together   = "together"    // messages of other instances arrive
	Alone      = "alone"       // no message of another instance has arrived for aloneTimeout
	ColdBudget = "cold-budget" // the budget of the cold server is used up
	SecondHand = "hearsay-"    // followed by the reason of the decision
)

const (
	second = int64(1e9)
	// aloneTimeout is the time without a message of another instance after which this one is alone.
	aloneTimeout = 5 * second
)

// Module is the decision module; it implements join.Module.
type Module struct {
	cfg            Config
	shortestTarget int64 // of all classes of calls
	startedAt      int64
	state          string
	since          int64 // when the state began
	lastHeardAt    int64

	lease    *lease.Node
	count    *count.Set
	detector *outlier.Detector

	servers      map[uint64]*serverEntry
	servingCount int

	attempts     map[string]*attempt // by call
	attemptOrder []string            // the calls of attempts, in the order of sending
	callTenants  map[string]string   // by call, until the call's outcome is counted
	countedKeys  map[string]bool     // the tenants ("t/") and numbers ("n/") with counts of their own
	arrivals     decayedAverage

	countSentAt  int64
	reportSentAt int64
	urgent       bool // a bad observation is waiting to be broadcast
}

// New creates the module for a process that starts at now.
func New(c Config, seed uint64, now int64, on Callbacks) *Module {
	c.Lease.MaxInstances = max(c.Lease.MaxInstances, 1)
	m := &Module{
		cfg:            c,
		shortestTarget: c.Control.Classes[0].TargetDelay,
		startedAt:      now,
		state:          Alone,
		since:          now,
		lastHeardAt:    now - aloneTimeout,
		lease:          lease.New(c.Lease, lease.ID{Name: c.Name, Epoch: c.Epoch}, seed, now, on.Claim),
		count:          count.New(c.Count, count.Source{Name: c.Name, Epoch: c.Epoch}, now),
		detector:       outlier.New(c.Outlier, c.Name, c.Machine, seed, on.Decision),
		servers:        map[uint64]*serverEntry{},
		attempts:       map[string]*attempt{},
		callTenants:    map[string]string{},
		countedKeys:    map[string]bool{},
	}
	for _, class := range c.Control.Classes {
		m.shortestTarget = min(m.shortestTarget, class.TargetDelay)
	}
	if on.Leader != nil {
		m.lease.OnLeader(on.Leader)
	}
	for _, tenant := range c.Tenants {
		m.countedKeys["t/"+tenant] = true
	}
	for _, number := range c.Numbers {
		m.countedKeys["n/"+number] = true
	}
	return m
}

// Name implements join.Module.
func (m *Module) Name() string { return "shared" }

// updateState decides whether this instance is alone.
func (m *Module) updateState(now int64) {
	state := Together
	if now-m.lastHeardAt >= aloneTimeout {
		state = Alone
	}
	if state != m.state {
		m.state, m.since = state, now
	}
}

// Admit implements join.Module. It counts each new call once, and admits all.
func (m *Module) Admit(now int64, c join.Call) join.Decision {
	if c.TimesHeld > 0 {
		return join.Decision{}
	}
	m.arrivals.add(now, 1)
	tenant := c.Tenant
	if !m.countedKeys["t/"+tenant] {
		tenant = ""
	}
	m.count.Add("o/"+tenant, 1)
	if m.countedKeys["n/"+c.Key] {
		m.count.Add("n/"+c.Key, 1)
	}
	if len(m.callTenants) < maxCalls {
		m.callTenants[c.ID] = tenant
	}
	return join.Decision{}
}

// HasCapacity implements join.Module. It keeps calls away from servers that the detector avoids, and from cold servers whose
// budget is used up.
func (m *Module) HasCapacity(now int64, server uint64) (ok bool, reason string) {
	if m.cfg.DetectOutliers {
		if avoid, why := m.detector.Avoid(now, server); avoid {
			return false, SecondHand + why
		}
	}
	if budget, _, cold := m.coldBudget(now, server); cold && !m.lease.Available(now, budget) {
		return false, ColdBudget
	}
	return true, ""
}
