package rig

import "fmt"

// maxDescriptions bounds Findings.Descriptions.
const maxDescriptions = 20

// Findings is what the checker found in the claims of all processes.
type Findings struct {
	Processes          int      `json:"processes"`
	Claims             int      `json:"claims"`
	Overspent          int      `json:"budgets_overspent"` // moments at which the leases in use added up to more than the pool
	MaxInUse           float64  `json:"most_in_use"`       // the greatest share of a pool that was in use
	ConcurrentLeaders  int      `json:"two_allocators"`    // moments at which two processes were leader
	Overused           int      `json:"budgets_overused"`  // windows of 5 s in which more was used than a budget allows
	UsedUnits          int64    `json:"used"`              // units of all budgets
	Counts             int      `json:"counts_checked"`
	OutOfBounds        int      `json:"counts_out_of_bounds"`
	Decisions          int      `json:"verdicts"` // to avoid a server
	Unfounded          int      `json:"verdicts_unfounded"`
	ConvergedS         float64  `json:"converged_s"` // from the last fault's end until all members knew each other; -1: never
	BytesPerSecond     float64  `json:"bytes_per_member_s"`
	DatagramsPerSecond float64  `json:"datagrams_per_member_s"`
	Descriptions       []string `json:"found,omitempty"`
}

// Any tells whether any claim was wrong.
func (f *Findings) Any() bool {
	return f.Overspent+f.ConcurrentLeaders+f.Overused+f.OutOfBounds+f.Unfounded > 0
}

// report counts a wrong claim in one of the fields, and describes it unless there are too many.
func (f *Findings) report(count *int, format string, args ...any) {
	*count++
	if len(f.Descriptions) < maxDescriptions {
		f.Descriptions = append(f.Descriptions, fmt.Sprintf(format, args...))
	}
}

// bounds holds the parameters of the run that the claims are checked against.
type bounds struct {
	instances, servers int
	machineOf          map[string]string // by instance
	maxDelay           int64             // of a message
	burst              float64           // of a budget, in seconds of its rate
	maxAvoidedShare    float64           // of the servers
	lastFaultEnd, end  int64
}

// checkClaims checks the claims of all processes against each other and against the bounds.
func checkClaims(all []*process, b bounds) *Findings {
	f := &Findings{Processes: len(all), ConvergedS: -1}
	checkBudgets(f, all, b)
	checkCounts(f, all, b)
	checkLeaders(f, all)
	checkDecisions(f, all, b)
	measureTraffic(f, all, b)
	return f
}
