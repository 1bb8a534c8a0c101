package rig

import (
	"fmt"
)

// Findings are what the checker found of the claims.
type Findings struct {
	Processes  int      `json:"processes"`
	Claims     int      `json:"claims"`
	Overspent  int      `json:"budgets_overspent"` // moments at which the parts in use added up to more than the pool
	MostInUse  float64  `json:"most_in_use"`       // of a pool, as a part of it
	Rivals     int      `json:"two_allocators"`    // moments at which two held themselves to be the one
	Overused   int      `json:"budgets_overused"`  // windows of 5 s in which more was used than a budget and its allowance
	Used       int64    `json:"used"`              // units of all budgets
	Counts     int      `json:"counts_checked"`
	OutOfBound int      `json:"counts_out_of_bounds"`
	Verdicts   int      `json:"verdicts"` // by which a server was avoided
	Unfounded  int      `json:"verdicts_unfounded"`
	Converged  float64  `json:"converged_s"` // from the last fault's end until all knew of all; -1: they did not
	BytesS     float64  `json:"bytes_per_member_s"`
	DatagramsS float64  `json:"datagrams_per_member_s"`
	Texts      []string `json:"found,omitempty"`
}

// Any tells whether a claim did not hold.
func (f *Findings) Any() bool { return f.Overspent+f.Rivals+f.Overused+f.OutOfBound+f.Unfounded > 0 }

const textsMost = 20

func (f *Findings) found(n *int, format string, a ...any) {
	*n++
	if len(f.Texts) < textsMost {
		f.Texts = append(f.Texts, fmt.Sprintf(format, a...))
	}
}

// rules are the figures that claims are held to; they are the settings of the run.
type rules struct {
	instances, servers int
	machine            map[string]string // of an instance
	delay              int64             // that a message takes at most
	burst              float64
	leftOut            float64
	calmFrom, end      int64 // the last fault is over; the run is
}

// examine holds all claims against each other.
func examine(all []*process, r rules) *Findings {
	f := &Findings{Processes: len(all), Converged: -1}
	budgets(f, all, r)
	counts(f, all, r)
	rivals(f, all)
	for _, p := range all {
		f.Claims += len(p.claims)
		out := map[uint64]bool{}
		for _, v := range p.verdicts {
			if delete(out, v.Server); !v.Avoided {
				continue
			}
			f.Verdicts++
			out[v.Server] = true
			machines := map[string]bool{}
			for _, w := range v.Witnesses {
				machines[r.machine[w]] = true
			}
			if len(machines) < 2 {
				f.found(&f.Unfounded, "%s avoids %x on the word of %v", p.name, v.Server, v.Witnesses)
			}
			if most := max(int(r.leftOut*float64(r.servers)), 1); len(out) > most {
				f.found(&f.Unfounded, "%s avoids %d of %d servers", p.name, len(out), r.servers)
			}
		}
	}
	traffic(f, all, r)
	return f
}
