package rig

import "masthill/control/shared/outlier"

// checkDecisions finds decisions that are based on the reports of a single machine, and processes that avoid too many
// servers.
func checkDecisions(f *Findings, all []*process, b bounds) {
	for _, p := range all {
		f.Claims += len(p.claims)
		avoided := map[uint64]bool{}
		for _, v := range p.decisions {
			delete(avoided, v.Server)
			if !v.Avoided {
				continue
			}
			f.Decisions++
			avoided[v.Server] = true
			if machinesOf(v, b) < 2 {
				f.report(&f.Unfounded, "%s avoids %x on reports of fewer than two machines: %v", p.name, v.Server, v.Observers)
			}
			if limit := max(int(b.maxAvoidedShare*float64(b.servers)), 1); len(avoided) > limit {
				f.report(&f.Unfounded, "%s avoids %d of %d servers", p.name, len(avoided), b.servers)
			}
		}
	}
}

// machinesOf counts the machines of a decision's observers.
func machinesOf(v outlier.Decision, b bounds) int {
	machines := map[string]bool{}
	for _, observer := range v.Observers {
		machines[b.machineOf[observer]] = true
	}
	return len(machines)
}
