package fleet

import (
	"fmt"
	"os"
	"sort"
	"time"

	"masthill/control/rollout"
)

// Outcome is how a rollout ended.
type Outcome struct {
	State           rollout.State `json:"state"`
	Reason          string        `json:"reason,omitempty"`
	Detail          string        `json:"detail,omitempty"`
	To              string        `json:"to"`
	DurationSeconds float64       `json:"took_s"`
}

// Status is the status of a fleet, for its operators.
type Status struct {
	Name       string         `json:"name"`
	PID        int            `json:"pid"`
	Generation string         `json:"generation"`
	Program    string         `json:"program"`
	Rollout    *rollout.Step  `json:"rollout,omitempty"` // in progress
	Outcome    *Outcome       `json:"outcome,omitempty"` // of the last rollout
	Instances  []MemberStatus `json:"instances"`
}

// MemberStatus is the status of one instance.
type MemberStatus struct {
	Name             string        `json:"name"`
	PID              int           `json:"pid"`
	Phase            rollout.Phase `json:"phase"`
	PhaseSeconds     float64       `json:"for_s"`
	Generation       string        `json:"generation"`
	Listen           string        `json:"listen"`
	Socket           string        `json:"socket"`
	UnexpectedExits  int           `json:"ends_unasked"`
	Failed           string        `json:"failed,omitempty"`
	OpenCalls        int           `json:"open"`
	EstablishedCalls int           `json:"standing"`
	MemoryMB         float64       `json:"memory_mb"`
}

// Status returns the status of the fleet and of its instances, sorted by number.
func (s *Supervisor) Status() (st Status) {
	s.runInLoop(func() {
		st = Status{Name: s.spec.Name, PID: os.Getpid(), Generation: s.state.Generation, Program: s.state.Programs[s.state.Generation], Outcome: s.state.Outcome}
		if s.state.Rollout != nil {
			step := s.step
			st.Rollout = &step
		}
		for _, m := range s.members {
			status := MemberStatus{Name: m.name, PID: m.pid, Phase: m.phase, PhaseSeconds: time.Since(m.phaseSince).Seconds(), Generation: m.generation,
				Listen: m.addrs["callers"], Socket: m.socket(), UnexpectedExits: m.unexpectedExits, Failed: m.failure}
			if m.status != nil {
				status.OpenCalls, status.EstablishedCalls, status.MemoryMB = m.status.Core.Open, m.status.Core.EstablishedCalls, m.status.MemoryMB
			}
			st.Instances = append(st.Instances, status)
		}
		sort.Slice(st.Instances, func(i, j int) bool {
			return len(st.Instances[i].Name) < len(st.Instances[j].Name) || len(st.Instances[i].Name) == len(st.Instances[j].Name) && st.Instances[i].Name < st.Instances[j].Name
		})
	})
	return st
}

// String names the fleet and the number of its instances.
func (s Status) String() string { return fmt.Sprintf("fleet %s of %d", s.Name, len(s.Instances)) }
