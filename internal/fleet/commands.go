package fleet

import (
	"context"
	"errors"
	"path/filepath"
	"syscall"
	"time"

	"masthill/control/rollout"
)

// Rollout starts to replace all instances: with a new program, or with the current one if program is empty. The program
// first checks the files that the instances will get; if there is a fault in them, nothing is replaced.
func (s *Supervisor) Rollout(ctx context.Context, program string) (err error) {
	cause := "upgrade"
	var first *member
	s.runInLoop(func() {
		switch {
		case s.state.Rollout != nil:
			err = errors.New("a rollout is under way")
		case s.shuttingDown:
			err = errors.New("the fleet is going down")
		default:
			first = s.members[0]
		}
		if program == "" {
			cause, program = "restart", s.state.Programs[s.state.Generation]
		}
	})
	if err != nil || first == nil {
		return errors.Join(err, ctx.Err())
	}
	if program, err = filepath.Abs(program); err != nil {
		return err
	}
	if err := s.checkAll(ctx, program); err != nil {
		return err
	}
	s.runInLoop(func() {
		if s.state.Rollout != nil {
			err = errors.New("a rollout is under way")
			return
		}
		from := s.state.Generation
		s.state.Generation = s.newGeneration(program)
		s.state.Rollout = &rollout.Rollout{From: from, To: s.state.Generation, StartedAt: time.Now().UnixNano(), Cause: cause}
		s.state.Outcome, s.step = nil, rollout.Step{}
		s.writeState()
		s.log.Info("rollout begins", "why", cause, "from", from, "to", s.state.Generation, "program", program)
	})
	return err
}

// checkAll writes the files of all instances and has a program check them. Running instances are not affected, as they
// read their files only at the start or on a reload.
func (s *Supervisor) checkAll(ctx context.Context, program string) error {
	var all []*member
	var err error
	s.runInLoop(func() {
		for _, m := range s.members {
			all = append(all, m)
			err = errors.Join(err, m.writeFiles())
		}
	})
	for _, m := range all {
		err = errors.Join(err, m.checkFiles(ctx, program))
	}
	return err
}

// Reload writes the files of all instances and has the instances read them. An instance that had failed for good is started
// again.
func (s *Supervisor) Reload(ctx context.Context) error {
	var program string
	s.runInLoop(func() { program = s.state.Programs[s.state.Generation] })
	if err := s.checkAll(ctx, program); err != nil {
		return err
	}
	s.runInLoop(func() {
		for _, m := range s.members {
			if m.pid > 0 && !m.stopping {
				syscall.Kill(m.pid, syscall.SIGHUP)
			}
			if m.phase == rollout.Failed {
				m.failure, m.earlyExits, m.retryAt = "", 0, time.Time{}
				m.setPhase(rollout.Down)
			}
		}
	})
	return nil
}

// Down stops all instances and the supervisor.
func (s *Supervisor) Down() { s.runInLoop(func() { s.shuttingDown = true }) }
