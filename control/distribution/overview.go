package distribution

import (
	"cmp"
	"slices"
)

// Overview combines the status of all servers of a fleet.
type Overview struct {
	Version  Version        `json:"version"` // the newest version that any server has
	LastGood Version        `json:"good"`
	Halted   string         `json:"halted,omitempty"`
	Servers  []Head         `json:"servers"`
	Members  []MemberStatus `json:"members"`
}

// NewOverview combines the servers' statuses. Of an instance that changed servers, the most recent acknowledgement counts.
func NewOverview(statuses []Status) Overview {
	o := Overview{}
	latest := map[string]MemberStatus{}
	for _, s := range statuses {
		o.Servers = append(o.Servers, s.Head)
		if s.Head.Version > o.Version {
			o.Version, o.LastGood, o.Halted = s.Head.Version, s.Head.LastGood, ""
		}
		if s.Head.Version == o.Version {
			o.LastGood, o.Halted = min(o.LastGood, s.Head.LastGood), cmp.Or(o.Halted, s.Head.Halted)
		}
		for _, m := range s.Members {
			if known, ok := latest[m.Member]; !ok || m.AgeMS < known.AgeMS {
				latest[m.Member] = m
			}
		}
	}
	for _, m := range latest {
		o.Members = append(o.Members, m)
	}
	slices.SortFunc(o.Members, func(a, b MemberStatus) int { return cmp.Compare(a.Member, b.Member) })
	return o
}

// States counts the instances by state. An instance whose last acknowledgement is older than staleAfterMS counts as stale,
// whatever state it reported.
func (o Overview) States() map[State]int {
	states := map[State]int{}
	for _, m := range o.Members {
		states[o.StateOf(m)]++
	}
	return states
}

// staleAfterMS is the age of the last acknowledgement, in milliseconds, from which an instance counts as stale. It spans a
// few polls.
const staleAfterMS = 5000

// StateOf returns the state of an instance with respect to the newest release that any server has.
func (o Overview) StateOf(m MemberStatus) State {
	switch {
	case m.AgeMS > staleAfterMS:
		return Stale
	case m.Newest < o.Version && m.State != Stale:
		return Waiting
	}
	return m.State
}

// Settled tells whether every instance that is not stale has applied the newest release, failed to apply it or rolled back.
func (o Overview) Settled() bool {
	states := o.States()
	return states[Waiting] == 0 && (o.Halted == "" || states[Applied] == 0)
}
