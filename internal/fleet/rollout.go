package fleet

import (
	"time"

	"masthill/control/rollout"
)

// advanceRollout carries out the next step of the rollout that is in progress, if any.
func (s *Supervisor) advanceRollout() {
	r := s.state.Rollout
	if r == nil {
		return
	}
	var instances []rollout.InstanceStatus
	for _, m := range s.members {
		instances = append(instances, rollout.InstanceStatus{Name: m.name, Generation: m.generation, Phase: m.phase, Since: m.phaseSince.UnixNano(), Crashes: m.crashes})
	}
	before := s.step
	s.step = r.Next(time.Now().UnixNano(), s.spec.limits(), instances, s.countColdOffices())
	if s.step.State != before.State || s.step.Reason != before.Reason {
		s.log.Info("rollout", "state", s.step.State, "reason", s.step.Reason, "detail", s.step.Detail, "left", s.step.Remaining)
	}
	for _, name := range s.step.Replace {
		for _, m := range s.members {
			if m.name != name {
				continue
			}
			m.generation, m.crashes, m.earlyExits, m.failure, m.retryAt, m.startReason = s.step.StartAs, 0, 0, "", time.Time{}, r.Cause
			m.restartBackoff.Reset()
			if m.phase == rollout.Failed {
				m.setPhase(rollout.Down)
			}
			m.stop()
		}
	}
	switch s.step.State {
	case rollout.Done, rollout.RolledBack, rollout.Halted:
		s.state.Outcome = &Outcome{State: s.step.State, Reason: s.step.Reason, Detail: s.step.Detail, To: r.To,
			DurationSeconds: float64(time.Now().UnixNano()-r.StartedAt) / 1e9}
		if s.step.State == rollout.RolledBack {
			s.state.Generation = r.From
		}
		s.state.Rollout = nil
		s.log.Info("rollout ended", "state", s.step.State, "reason", s.step.Reason, "detail", s.step.Detail)
	}
}

// countColdOffices counts the serving offices that at least one instance regards as cold.
func (s *Supervisor) countColdOffices() int {
	cold := map[string]bool{}
	for _, m := range s.members {
		if m.status == nil {
			continue
		}
		for _, o := range m.status.Core.Offices {
			if o.Cold && o.Listed == "serving" {
				cold[o.ID] = true
			}
		}
	}
	return len(cold)
}
