package rig

import "sort"

// checkLeaders finds processes that were leader at the same time.
func checkLeaders(f *Findings, all []*process) {
	type term struct {
		from, until int64
		leader      *process
	}
	var terms []term
	for _, p := range all {
		for _, t := range p.leaderTerms {
			terms = append(terms, term{t[0], min(t[1], p.to), p})
		}
	}
	sort.Slice(terms, func(a, b int) bool { return terms[a].from < terms[b].from })
	leaderUntil := map[*process]int64{}
	for _, t := range terms {
		for other, until := range leaderUntil {
			if other != t.leader && until > t.from {
				f.report(&f.ConcurrentLeaders, "%s and %s are both leader at %d ns", t.leader.name, other.name, t.from)
			}
		}
		leaderUntil[t.leader] = max(leaderUntil[t.leader], t.until)
	}
}
