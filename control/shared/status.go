package shared

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"masthill/control/join"
	"masthill/control/shared/count"
	"masthill/control/shared/lease"
	"masthill/control/shared/outlier"
	"masthill/control/shares"
)

// totalsWindow is the window of the totals by tenant. It is short, because decisions by the totals lag by as much.
const totalsWindow = 2 * second

// Totals implements shares.TotalsSource: what the whole fleet was offered, placed and lost recently, in calls per second.
// ok is false while no other instance is heard.
func (m *Module) Totals(now int64) (all shares.Totals, ok bool) {
	if m.state != Together {
		return all, false
	}
	all = shares.Totals{Offered: map[string]float64{}, Placed: map[string]float64{}, Lost: map[string]float64{}}
	for prefix, totals := range map[string]map[string]float64{"o/": all.Offered, "p/": all.Placed, "l/": all.Lost} {
		for _, key := range m.count.Keys(prefix) {
			r := m.count.Read(now, key, totalsWindow)
			totals[strings.TrimPrefix(key, prefix)] = r.Value * 1e9 / float64(totalsWindow)
		}
	}
	return all, true
}

// Snapshot is the module's state for operators and the lab's checkers.
type Snapshot struct {
	State       string              `json:"state"`
	SinceNS     int64               `json:"since_ns"`
	Leader      string              `json:"allocator"` // the leader's name; empty if unknown
	IsLeader    bool                `json:"reigns"`    // this instance is the leader
	Leases      []lease.Lease       `json:"leases"`
	Counts      []KeyReading        `json:"counts"`
	Decisions   []outlier.Decision  `json:"verdicts"`
	KnownCounts []count.KnownCounts `json:"known"`
	Reserved    map[string]int64    `json:"booked,omitempty"` // on the leader: reserved rate by budget, in thousandths of a call per second
}

// KeyReading is a count of one key over totalsWindow.
type KeyReading struct {
	Key string `json:"key"`
	count.Reading
}

// Snapshot returns the module's state.
func (m *Module) Snapshot(now int64) Snapshot {
	l := Snapshot{
		State:       m.state,
		SinceNS:     m.since,
		Leader:      m.lease.Leader(now),
		IsLeader:    m.lease.IsLeader(now),
		Leases:      m.lease.Leases(now),
		Decisions:   m.detector.Decisions(now),
		KnownCounts: m.count.KnownCounts(now),
	}
	for _, key := range m.count.Keys("") {
		l.Counts = append(l.Counts, KeyReading{key, m.count.Read(now, key, totalsWindow)})
	}
	if l.IsLeader {
		l.Reserved = map[string]int64{}
		for _, h := range l.Leases {
			l.Reserved[h.Budget], _ = m.lease.Reserved(now, h.Budget)
		}
	}
	return l
}

// Status implements join.Module.
func (m *Module) Status(now int64) join.Status {
	s := join.Status{Module: m.Name(), State: m.state, Reason: "heard", Since: m.since}
	if m.state == Alone {
		s.Reason, s.ExitCondition = "nobody-heard", "a message of any member"
	}
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		if ok, reason := m.HasCapacity(now, id); !ok {
			s.Capped++
			s.Servers = append(s.Servers, join.ServerStatus{Server: id, State: "capped", Reason: reason})
		}
	}
	if leases := m.lease.Leases(now); len(leases) > 0 {
		s.ExitCondition = cmp.Or(s.ExitCondition, fmt.Sprintf("%d budgets held", len(leases)))
	}
	return s
}
