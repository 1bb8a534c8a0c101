package rig

import (
	"cmp"
	"slices"
	"sort"

	"masthill/control/shared/lease"
)

// useWindow is the window over which the use of a budget is checked.
const useWindow = int64(5e9)

// claimChange is the beginning or the end of a claim on a budget.
type claimChange struct {
	at      int64
	process int // the index of the process
	claim   lease.Claim
	ends    bool
}

// checkBudgets checks the claims on each budget's pool whenever one of them changes, and the use of each budget.
func checkBudgets(f *Findings, all []*process, b bounds) {
	for budget, changes := range claimChanges(all) {
		sort.SliceStable(changes, func(i, j int) bool {
			return changes[i].at < changes[j].at || changes[i].at == changes[j].at && changes[i].ends && !changes[j].ends
		})
		inUse := map[int]lease.Claim{}
		for _, c := range changes {
			delete(inUse, c.process)
			if !c.ends && c.claim.Rate > 0 {
				inUse[c.process] = c.claim
			}
			checkPool(f, b, budget, c.at, inUse)
		}
		checkUse(f, all, b, budget)
	}
}

// claimChanges lists the changes of claims by budget. A claim ends when the next one of its process replaces it, when it
// expires or when its process ends.
func claimChanges(all []*process) map[string][]claimChange {
	changes := map[string][]claimChange{}
	for k, p := range all {
		last := map[string]int{}
		for n, c := range p.claims {
			if before, ok := last[c.Budget]; ok {
				if b := p.claims[before]; b.Until < c.at {
					changes[c.Budget] = append(changes[c.Budget], claimChange{b.Until, k, b.Claim, true})
				}
			}
			last[c.Budget] = n
			changes[c.Budget] = append(changes[c.Budget], claimChange{c.at, k, c.Claim, false})
		}
		for budget, n := range last {
			changes[budget] = append(changes[budget], claimChange{min(p.claims[n].Until, p.to), k, p.claims[n].Claim, true})
		}
	}
	return changes
}

// checkPool checks that the claims in use at a time add up to no more than the budget's pool.
func checkPool(f *Findings, b bounds, budget string, at int64, inUse map[int]lease.Claim) {
	sum, size, floor := int64(0), int64(0), int64(0)
	for _, c := range inUse {
		sum += c.Rate
		if c.Size > size {
			size, floor = c.Size, c.Floor
		}
	}
	pool := size - int64(b.instances)*floor
	if sum == 0 || pool <= 0 {
		return
	}
	f.MaxInUse = max(f.MaxInUse, float64(sum)/float64(pool))
	if sum > pool {
		f.report(&f.Overspent, "%s: %d of %d in use at %d ns by %d processes", budget, sum, pool, at, len(inUse))
	}
}

// use is how much a process used of a budget since its last snapshot.
type use struct {
	at, units, size int64
}

// checkUse checks how much was used of a budget in each useWindow.
func checkUse(f *Findings, all []*process, b bounds, budget string) {
	uses := budgetUses(all, budget)
	sum, first := int64(0), 0
	for k, u := range uses {
		f.UsedUnits += u.units
		sum += u.units
		for ; uses[first].at < u.at-useWindow; first++ {
			sum -= uses[first].units
		}
		size := int64(0)
		for _, one := range uses[first : k+1] {
			size = max(size, one.size)
		}
		if limit := useLimit(all, b, size, u.at); float64(sum) > limit {
			f.report(&f.Overused, "%s: %d used in 5 s, the limit is %.1f", budget, sum, limit)
		}
	}
}

// budgetUses lists the uses of a budget by all processes in the order of time.
func budgetUses(all []*process, budget string) (uses []use) {
	for _, p := range all {
		before := int64(0)
		for _, s := range p.snapshots {
			for _, h := range s.Leases {
				if h.Budget != budget {
					continue
				}
				units := h.Used - before
				if units < 0 { // the budget had expired and was requested again, so the count started at 0
					units = h.Used
				}
				before = h.Used
				uses = append(uses, use{s.at, units, h.Size})
			}
		}
	}
	slices.SortFunc(uses, func(a, b use) int { return cmp.Compare(a.at, b.at) })
	return uses
}

// useLimit is the most that may be used of a budget in the window that ends at a time. Snapshots are half a second apart, so
// the use that they show in a window may have taken half a second longer. Each process may have accumulated a unit, and
// starts with part of one.
func useLimit(all []*process, b bounds, size, at int64) float64 {
	starts := 0
	for _, p := range all {
		if p.from > at-2*useWindow && p.from <= at {
			starts++
		}
	}
	rate := float64(size) / 1000
	return rate*(float64(useWindow)/1e9+0.5) + float64(b.instances+starts) + b.burst*float64(size)/1000
}
