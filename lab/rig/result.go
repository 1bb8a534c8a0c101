package rig

import (
	"slices"
	"time"

	"masthill/lab/check"
)

// Result is what a run showed.
type Result struct {
	Seed      uint64  `json:"seed"`
	Instances int     `json:"instances"`
	Servers   int     `json:"servers"`
	Plain     bool    `json:"plain,omitempty"`
	Calls     int     `json:"calls"`
	Served    float64 `json:"served_share"`
	check.Broken
	Findings
	CPUCall  float64   `json:"cpu_us_per_call"` // processor time of all instances, over the callers' calls
	ColdWait float64   `json:"cold_wait_max_ms"`
	Refusal  float64   `json:"refusal_point_ms"`
	FellOver bool      `json:"fell_over"`
	BySecond []float64 `json:"served_by_second"`
	Faults   []Struck  `json:"faults"`
	Errors   []string  `json:"errors,omitempty"`
	LateMS   float64   `json:"ran_late_ms"`
}

// Bad tells whether anything did not hold.
func (r *Result) Bad() bool { return r.Broken.Any() || r.Findings.Any() || len(r.Errors) > 0 }

// Struck is a fault as it happened.
type Struck struct {
	Fault
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
}

// sum reads the claims and makes the figures.
func (w *run) sum(end time.Time) error {
	r := w.r
	r.Broken, _, _ = w.ledger.Result()
	results := w.crowd.Results()
	r.Calls = len(results)
	seconds := int(w.Plan.For/time.Second) + 1
	r.BySecond = make([]float64, seconds)
	of := make([]int, seconds)
	for _, o := range results {
		r.Served += o.Worth / float64(r.Calls)
		if k := int(o.At / time.Second); k < seconds {
			r.BySecond[k] += o.Worth
			of[k]++
		}
	}
	for k := range of {
		r.BySecond[k] /= float64(max(of[k], 1))
	}
	for _, i := range w.instances {
		r.CPUCall += float64(i.CPU().Microseconds()) / float64(max(r.Calls, 1))
	}
	for _, s := range w.servers {
		worst, fallen, _, _ := s.Look()
		r.FellOver = r.FellOver || fallen
		if slices.Contains(w.coldS, s.ID) {
			r.ColdWait = max(r.ColdWait, float64(worst.Microseconds())/1000)
		}
	}
	if w.Plain {
		return nil
	}
	var all []*process
	for k, name := range w.names {
		of, err := read(name, w.claims(k))
		if err != nil {
			return err
		}
		for n, p := range of {
			if n < len(w.ends[name]) {
				p.to = w.ends[name][n]
			}
		}
		all = append(all, of...)
	}
	r.Findings = *examine(all, rules{instances: w.Plan.Instances, servers: w.Plan.Servers, machine: w.machines, delay: int64(2 * time.Second), burst: 0.5,
		leftOut: 0.25, calmFrom: w.calm.UnixNano(), end: end.UnixNano()})
	return nil
}
