package rig

import (
	"slices"
	"time"

	"masthill/lab/check"
)

// The bounds that claims are checked against. They are the defaults of settings that the rig does not set.
const (
	maxMessageDelay = 2 * time.Second
	leaseBurst      = 0.5
	maxAvoidedShare = 0.25
)

// Result is the result of a run.
type Result struct {
	Seed         uint64  `json:"seed"`
	Instances    int     `json:"instances"`
	Servers      int     `json:"servers"`
	WithoutPeers bool    `json:"plain,omitempty"`
	Calls        int     `json:"calls"`
	ServedShare  float64 `json:"served_share"`
	check.Violations
	Findings
	CPUPerCall     float64       `json:"cpu_us_per_call"` // CPU time of all instances
	MaxColdWaitMS  float64       `json:"cold_wait_max_ms"`
	RefusalPointMS float64       `json:"refusal_point_ms"` // the waiting time from which servers reject calls
	FellOver       bool          `json:"fell_over"`        // a server was overloaded and did not recover
	ServedBySecond []float64     `json:"served_by_second"`
	Faults         []FaultRecord `json:"faults"`
	Errors         []string      `json:"errors,omitempty"`
	MaxDelayMS     float64       `json:"ran_late_ms"` // by which the rig itself ran late
}

// Failed tells whether the run showed any error of the program.
func (r *Result) Failed() bool { return r.Violations.Any() || r.Findings.Any() || len(r.Errors) > 0 }

// FaultRecord is a fault and when it took place.
type FaultRecord struct {
	Fault
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
}

// summarize completes the result after all processes have ended.
func (w *run) summarize(end time.Time) error {
	r := w.result
	r.Violations, _, _ = w.ledger.Result()
	w.sumCalls()
	for _, i := range w.instances {
		r.CPUPerCall += float64(i.CPU().Microseconds()) / float64(max(r.Calls, 1))
	}
	for _, s := range w.servers {
		longestWait, fellOver, _, _ := s.Stats()
		r.FellOver = r.FellOver || fellOver
		if slices.Contains(w.coldServers, s.ID) {
			r.MaxColdWaitMS = max(r.MaxColdWaitMS, float64(longestWait.Microseconds())/1000)
		}
	}
	if w.WithoutPeers {
		return nil
	}
	processes, err := w.readProcesses()
	if err != nil {
		return err
	}
	r.Findings = *checkClaims(processes, bounds{
		instances:       w.Plan.Instances,
		servers:         w.Plan.Servers,
		machineOf:       w.machines,
		maxDelay:        int64(maxMessageDelay),
		burst:           leaseBurst,
		maxAvoidedShare: maxAvoidedShare,
		lastFaultEnd:    w.lastFaultEnd.UnixNano(),
		end:             end.UnixNano(),
	})
	return nil
}

// sumCalls counts the calls and computes the served share, in total and by second.
func (w *run) sumCalls() {
	r := w.result
	calls := w.callers.Results()
	r.Calls = len(calls)
	seconds := int(w.Plan.Duration/time.Second) + 1
	r.ServedBySecond = make([]float64, seconds)
	count := make([]int, seconds)
	for _, call := range calls {
		r.ServedShare += call.Worth / float64(r.Calls)
		if k := int(call.At / time.Second); k < seconds {
			r.ServedBySecond[k] += call.Worth
			count[k]++
		}
	}
	for k := range count {
		r.ServedBySecond[k] /= float64(max(count[k], 1))
	}
}

// readProcesses reads the claims of all processes, and sets when each process ended.
func (w *run) readProcesses() (all []*process, err error) {
	for k, name := range w.names {
		processes, err := readClaims(name, w.claimsFile(k))
		if err != nil {
			return nil, err
		}
		for n, p := range processes {
			if n < len(w.processEnds[name]) {
				p.to = w.processEnds[name][n]
			}
		}
		all = append(all, processes...)
	}
	return all, nil
}
