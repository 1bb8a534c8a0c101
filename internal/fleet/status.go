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

// Status is what a fleet tells operators.
type Status struct {
	Name       string         `json:"name"`
	PID        int            `json:"pid"`
	Generation string         `json:"generation"`
	Program    string         `json:"program"`
	Rollout    *rollout.Step  `json:"rollout,omitempty"` // under way
	Outcome    *Outcome       `json:"outcome,omitempty"` // of the last one
	Instances  []MemberStatus `json:"instances"`
}

// MemberStatus is one instance.
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

// Status looks at everything.
func (s *Supervisor) Status() (st Status) {
	s.ask(func() {
		st = Status{Name: s.spec.Name, PID: os.Getpid(), Generation: s.state.Generation, Program: s.state.Programs[s.state.Generation], Outcome: s.state.Outcome}
		if s.state.Rollout != nil {
			step := s.step
			st.Rollout = &step
		}
		for _, m := range s.members {
			one := MemberStatus{Name: m.name, PID: m.pid, Phase: m.phase, PhaseSeconds: time.Since(m.since).Seconds(), Generation: m.gen,
				Listen: m.addrs["callers"], Socket: m.socket(), UnexpectedExits: m.ends, Failed: m.failed}
			if m.status != nil {
				one.OpenCalls, one.EstablishedCalls, one.MemoryMB = m.status.Core.Open, m.status.Core.EstablishedCalls, m.status.MemoryMB
			}
			st.Instances = append(st.Instances, one)
		}
		sort.Slice(st.Instances, func(i, j int) bool {
			return len(st.Instances[i].Name) < len(st.Instances[j].Name) || len(st.Instances[i].Name) == len(st.Instances[j].Name) && st.Instances[i].Name < st.Instances[j].Name
		})
	})
	return st
}

func (s Status) String() string { return fmt.Sprintf("fleet %s of %d", s.Name, len(s.Instances)) }
