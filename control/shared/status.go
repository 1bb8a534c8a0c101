package shared

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"masthill/control/join"
	"masthill/control/shared/count"
	"masthill/control/shared/judge"
	"masthill/control/shared/lease"
	"masthill/control/shares"
)

// totalsOver is the window of the totals by member: short, as who goes by it is late by as much.
const totalsOver = 2 * second

// Totals implements shares.Fleet: what the whole fleet was offered, placed and lost of late, in calls a second. Not ok
// while nobody is heard.
func (m *Shared) Totals(now int64) (all shares.Totals, ok bool) {
	if m.state != Together {
		return all, false
	}
	all = shares.Totals{Offered: map[string]float64{}, Placed: map[string]float64{}, Lost: map[string]float64{}}
	for prefix, into := range map[string]map[string]float64{"o/": all.Offered, "p/": all.Placed, "l/": all.Lost} {
		for _, key := range m.count.Keys(prefix) {
			r := m.count.Read(now, key, totalsOver)
			into[strings.TrimPrefix(key, prefix)] = r.Value * 1e9 / float64(totalsOver)
		}
	}
	return all, true
}

// Look is what operators and checkers are told.
type Look struct {
	State     string           `json:"state"`
	SinceNS   int64            `json:"since_ns"`
	Allocator string           `json:"allocator"`
	Reigns    bool             `json:"reigns"` // this instance hands the parts out
	Leases    []lease.Held     `json:"leases"`
	Counts    []Counted        `json:"counts"`
	Verdicts  []judge.Verdict  `json:"verdicts"`
	Known     []count.Known    `json:"known"`
	Booked    map[string]int64 `json:"booked,omitempty"` // at the allocator, in thousandths a second
}

// Counted is one count over a window.
type Counted struct {
	Key string `json:"key"`
	count.Reading
}

// Look gives all of it.
func (m *Shared) Look(now int64) Look {
	l := Look{State: m.state, SinceNS: m.since, Allocator: m.lease.Leader(now), Reigns: m.lease.IsLeader(now), Leases: m.lease.Leases(now),
		Verdicts: m.board.Verdicts(now), Known: m.count.Known(now)}
	for _, key := range m.count.Keys("") {
		l.Counts = append(l.Counts, Counted{key, m.count.Read(now, key, totalsOver)})
	}
	if l.Reigns {
		l.Booked = map[string]int64{}
		for _, h := range l.Leases {
			l.Booked[h.Budget], _ = m.lease.Reserved(now, h.Budget)
		}
	}
	return l
}

// Status implements join.Module.
func (m *Shared) Status(now int64) join.Status {
	s := join.Status{Module: m.Name(), State: m.state, Reason: "heard", Since: m.since}
	if m.state == Alone {
		s.Reason, s.Out = "nobody-heard", "a message of any member"
	}
	for _, id := range slices.SortedFunc(maps.Keys(m.servers), cmp.Compare) {
		if ok, why := m.Room(now, id); !ok {
			s.Capped++
			s.Parts = append(s.Parts, join.Part{Server: id, State: "capped", Reason: why})
		}
	}
	if held := m.lease.Leases(now); len(held) > 0 {
		s.Out = cmp.Or(s.Out, fmt.Sprintf("%d budgets held", len(held)))
	}
	return s
}
