package distribution

import (
	"cmp"
	"slices"
)

// Overview is what all servers together tell of a fleet.
type Overview struct {
	Version  Version        `json:"version"` // the newest that any server has
	LastGood Version        `json:"good"`
	Halted   string         `json:"halted,omitempty"`
	Servers  []Head         `json:"servers"`
	Members  []MemberStatus `json:"members"`
}

// NewOverview puts the servers' answers together. An instance that changed servers counts by its latest word.
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

// States counts the instances by what they have made of the newest release. One that has not been heard for a while counts
// as stale, whatever it said last.
func (o Overview) States() map[State]int {
	states := map[State]int{}
	for _, m := range o.Members {
		states[o.StateOf(m)]++
	}
	return states
}

// silentAfter is how long an instance may be unheard before it counts as stale, in milliseconds: a few questions.
const staleAfterMS = 5000

// StateOf is what an instance has made of the newest release that any server has.
func (o Overview) StateOf(m MemberStatus) State {
	switch {
	case m.AgeMS > staleAfterMS:
		return Stale
	case m.Newest < o.Version && m.State != Stale:
		return Waiting
	}
	return m.State
}

// Settled tells whether every instance that is heard has taken the newest release, failed at it or gone back.
func (o Overview) Settled() bool {
	states := o.States()
	return states[Waiting] == 0 && (o.Halted == "" || states[Applied] == 0)
}
