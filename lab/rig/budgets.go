package rig

import (
	"cmp"
	"slices"
	"sort"

	"masthill/control/shared/lease"
)

// budgets adds up, at every moment at which something changes, what may be used of each budget's pool.
func budgets(f *Findings, all []*process, r rules) {
	type change struct {
		at    int64
		who   int // the process
		claim lease.Claim
		ends  bool
	}
	by := map[string][]change{}
	for k, p := range all {
		last := map[string]int{}
		for n, c := range p.claims {
			if before, ok := last[c.Budget]; ok {
				if b := p.claims[before]; b.Until < c.at { // it had ended by itself
					by[c.Budget] = append(by[c.Budget], change{b.Until, k, b.Claim, true})
				}
			}
			last[c.Budget] = n
			by[c.Budget] = append(by[c.Budget], change{c.at, k, c.Claim, false})
		}
		for name, n := range last {
			by[name] = append(by[name], change{min(p.claims[n].Until, p.to), k, p.claims[n].Claim, true})
		}
	}
	for name, changes := range by {
		sort.SliceStable(changes, func(a, b int) bool {
			return changes[a].at < changes[b].at || changes[a].at == changes[b].at && changes[a].ends && !changes[b].ends
		})
		now := map[int]lease.Claim{}
		for _, c := range changes {
			if delete(now, c.who); !c.ends && c.claim.Rate > 0 {
				now[c.who] = c.claim
			}
			sum, size, floor := int64(0), int64(0), int64(0)
			for _, one := range now {
				sum += one.Rate
				if one.Size > size {
					size, floor = one.Size, one.Floor
				}
			}
			pool := size - int64(r.instances)*floor
			if sum == 0 || pool <= 0 {
				continue
			}
			f.MostInUse = max(f.MostInUse, float64(sum)/float64(pool))
			if sum > pool {
				f.found(&f.Overspent, "%s: %d of %d in use at %d by %d", name, sum, pool, c.at, len(now))
			}
		}
		used(f, all, r, name)
	}
}

// rivals finds two processes that both held themselves to be the allocator.
func rivals(f *Findings, all []*process) {
	type reign struct {
		from, until int64
		who         *process
	}
	var reigns []reign
	for _, p := range all {
		for _, r := range p.reigns {
			reigns = append(reigns, reign{r[0], min(r[1], p.to), p})
		}
	}
	sort.Slice(reigns, func(a, b int) bool { return reigns[a].from < reigns[b].from })
	last := map[*process]int64{}
	for _, r := range reigns {
		for who, until := range last {
			if who != r.who && until > r.from {
				f.found(&f.Rivals, "%s and %s both hand budgets out at %d", r.who.name, who.name, r.from)
			}
		}
		last[r.who] = max(last[r.who], r.until)
	}
}

// used looks at what was used in each window of five seconds.
func used(f *Findings, all []*process, r rules, name string) {
	const window = int64(5e9)
	type step struct {
		at, n, size int64
	}
	var steps []step
	for _, p := range all {
		before := int64(0)
		for _, k := range p.looks {
			for _, h := range k.Leases {
				if h.Budget == name {
					n := h.Used - before
					if before = h.Used; n < 0 { // the budget had been forgotten and came up again
						n = h.Used
					}
					steps = append(steps, step{k.at, n, h.Size})
					f.Used += n
				}
			}
		}
	}
	slices.SortFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	sum, first := int64(0), 0
	for k, s := range steps {
		sum += s.n
		size := int64(0)
		for ; steps[first].at < s.at-window; first++ {
			sum -= steps[first].n
		}
		for _, one := range steps[first : k+1] {
			size = max(size, one.size)
		}
		// Looks are half a second apart: what is seen in the window can have been used in that much more. Each process may
		// have a unit saved up, and begins with a part of one.
		starts := 0
		for _, p := range all {
			if p.from > s.at-2*window && p.from <= s.at {
				starts++
			}
		}
		if most := float64(size)/1000*(float64(window)/1e9+0.5) + float64(r.instances+starts) + r.burst*float64(size)/1000; float64(sum) > most {
			f.found(&f.Overused, "%s: %d used in 5 s, and %.1f are the most", name, sum, most)
		}
	}
}
