// Package shared is what instances that may talk decide together: budgets that they share as leases (package lease), counts
// of the whole fleet (package count) and judgements on servers (package judge). It joins the core through package join like
// any other module, and is as pure: it is told the time and what the others said, and gives what is to be said to them.
// Without anybody to hear it, it falls back to floors and to its own evidence.
package shared

import (
	"masthill/control/join"
	"masthill/control/shared/count"
	"masthill/control/shared/judge"
	"masthill/control/shared/lease"
)

// The codes of rulings and states.
const (
	Together = "together" // others are heard
	Alone    = "alone"    // nobody is
	ColdCap  = "cold-budget"
	Hearsay  = "hearsay-" // with the verdict's reason behind it
)

const (
	second = int64(1e9)
	// aloneAfter is how long nobody may have been heard for this instance to be alone.
	aloneAfter = 5 * second
)

// Shared is the state of the module.
type Shared struct {
	cfg     Config
	aim     int64
	lease   *lease.Node
	count   *count.Set
	board   *judge.Detector
	servers map[uint64]*listed
	serving int
	out     map[string]*attempt
	line    []string // calls of out in the order of sending
	tenants map[string]string
	known   map[string]bool // members and numbers that are counted by name
	arrived fading
	countAt int64 // told
	judgeAt int64
	news    bool // bad, that has not been told
	heardAt int64
	began   int64
	since   int64
	state   string
}

// New makes the module for a process that starts at a time.
func New(c Config, seed uint64, now int64, on Events) *Shared {
	c.Lease.Most = max(c.Lease.Most, 1)
	m := &Shared{cfg: c, aim: c.Control.Classes[0].Aim, servers: map[uint64]*listed{}, out: map[string]*attempt{}, tenants: map[string]string{},
		known: map[string]bool{}, began: now, since: now, state: Alone, heardAt: now - aloneAfter}
	for _, g := range c.Control.Classes {
		m.aim = min(m.aim, g.Aim)
	}
	m.lease = lease.New(c.Lease, lease.ID{Name: c.Name, Epoch: c.Epoch}, seed, now, on.Claim)
	if on.Reign != nil {
		m.lease.OnLeader(on.Reign)
	}
	m.count = count.New(c.Count, count.Source{Name: c.Name, Epoch: c.Epoch}, now)
	m.board = judge.New(c.Judge, c.Name, c.Machine, seed, on.Verdict)
	for _, t := range c.Tenants {
		m.known["t/"+t] = true
	}
	for _, n := range c.Numbers {
		m.known["n/"+n] = true
	}
	return m
}

// Name implements join.Module.
func (m *Shared) Name() string { return "shared" }

func (m *Shared) turn(now int64) {
	state := Together
	if now-m.heardAt >= aloneAfter {
		state = Alone
	}
	if state != m.state {
		m.state, m.since = state, now
	}
}

// Admit implements join.Module: it counts, and admits all.
func (m *Shared) Admit(now int64, c join.Call) join.Ruling {
	if c.Asked > 0 {
		return join.Ruling{}
	}
	m.arrived.add(now, 1)
	t := c.Tenant
	if !m.known["t/"+t] {
		t = ""
	}
	m.count.Add("o/"+t, 1)
	if m.known["n/"+c.Key] {
		m.count.Add("n/"+c.Key, 1)
	}
	if len(m.tenants) < callsMost {
		m.tenants[c.ID] = t
	}
	return join.Ruling{}
}

// Room implements join.Module.
func (m *Shared) Room(now int64, server uint64) (bool, string) {
	if m.cfg.Judgements {
		if avoid, why := m.board.Avoid(now, server); avoid {
			return false, Hearsay + why
		}
	}
	if budget, _, ok := m.cold(now, server); ok && !m.lease.Available(now, budget) {
		return false, ColdCap
	}
	return true, ""
}
