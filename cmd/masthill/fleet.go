package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"masthill/control/rollout"
	"masthill/internal/config"
	"masthill/internal/ctl"
	"masthill/internal/fleet"
)

// fleetCmd has the commands that run and change many instances on one machine.
type fleetCmd struct {
	Up      fleetUp      `cmd:"" help:"Start the fleet and supervise it, until SIGTERM or 'fleet down'."`
	Status  fleetStatus  `cmd:"" help:"Print the status of the instances."`
	Reload  fleetReload  `cmd:"" help:"Rewrite the instances' configuration files and have the instances reload them."`
	Restart fleetRestart `cmd:"" help:"Restart all instances, batch by batch."`
	Upgrade fleetUpgrade `cmd:"" help:"Upgrade all instances to another program, batch by batch; halt and roll back on failure."`
	Down    fleetDown    `cmd:"" help:"Shut down all instances, then the supervisor."`
}

// fleetFile is the argument that all fleet commands have.
type fleetFile struct {
	File string `arg:"" name:"FLEET.toml" help:"File that describes the fleet."`
}

func (f fleetFile) load() (*fleet.Spec, error) {
	spec, err := fleet.Load(f.File)
	if err != nil {
		return nil, exitError{exitUsage, err}
	}
	return spec, nil
}

// dial makes a client of the fleet's supervisor.
func (f fleetFile) dial() (*fleet.Client, error) {
	spec, err := f.load()
	if err != nil {
		return nil, err
	}
	return fleet.Dial(spec), nil
}

// withNoAnswerCode gives an error the exit code exitNoAnswer if no instance or supervisor answered.
func withNoAnswerCode(err error) error {
	if errors.Is(err, ctl.ErrNotRunning) {
		return exitError{exitNoAnswer, err}
	}
	return err
}

type fleetUp struct{ fleetFile }

func (c fleetUp) Run(s signals) error {
	spec, err := c.load()
	if err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	settings, err := config.ParseOperatorSettings("", "", os.Getenv)
	if err != nil {
		return exitError{exitUsage, err}
	}
	log, _, err := logger(settings)
	if err != nil {
		return exitError{exitUsage, err}
	}
	supervisor, err := fleet.New(spec, executable, log.With("fleet", spec.Name))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-s.term:
				cancel()
				return
			case <-s.reload:
				if err := supervisor.Reload(ctx); err != nil {
					log.Error("configuration kept", "err", err)
				}
			}
		}
	}()
	return supervisor.Run(ctx)
}

type fleetStatus struct {
	fleetFile
	JSON bool `help:"Print JSON."`
}

func (c fleetStatus) Run(out stdout) error {
	client, err := c.dial()
	if err != nil {
		return err
	}
	st, err := client.Status(context.Background())
	if err != nil {
		return withNoAnswerCode(err)
	}
	if c.JSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(st)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s\tgeneration %s, %s\n", st.Name, st.Generation, st.Program)
	if r := st.Rollout; r != nil {
		fmt.Fprintf(t, "rollout\t%s %s %s, %d left\n", r.State, r.Reason, r.Detail, r.Remaining)
	}
	if o := st.Outcome; o != nil {
		fmt.Fprintf(t, "last rollout\t%s %s %s, to generation %s in %.1f s\n", o.State, o.Reason, o.Detail, o.To, o.DurationSeconds)
	}
	t.Flush()
	fmt.Fprintln(t, "instance\tphase\tfor\tgeneration\tpid\tlisten\topen\tstanding\tMB\tends")
	for _, m := range st.Instances {
		fmt.Fprintf(t, "%s\t%s\t%.0fs\t%s\t%d\t%s\t%d\t%d\t%.1f\t%d\t%s\n", m.Name, m.Phase, m.PhaseSeconds, m.Generation, m.PID, m.Listen, m.OpenCalls, m.EstablishedCalls,
			m.MemoryMB, m.UnexpectedExits, m.Failed)
	}
	return t.Flush()
}

type fleetReload struct{ fleetFile }

func (c fleetReload) Run() error {
	client, err := c.dial()
	if err != nil {
		return err
	}
	return withNoAnswerCode(client.SendCommand(context.Background(), "reload", ""))
}

type fleetDown struct{ fleetFile }

func (c fleetDown) Run() error {
	client, err := c.dial()
	if err != nil {
		return err
	}
	ctx := context.Background()
	if err := client.SendCommand(ctx, "down", ""); err != nil {
		return withNoAnswerCode(err)
	}
	for { // until the supervisor has ended
		if _, err := client.Status(ctx); errors.Is(err, ctl.ErrNotRunning) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
}

type fleetRestart struct {
	fleetFile
	NoWait bool `help:"Return once the rollout has started, instead of waiting for its end."`
}

func (c fleetRestart) Run(out stdout) error { return runRollout(c.fleetFile, "", c.NoWait, out) }

type fleetUpgrade struct {
	fleetFile
	Program string `arg:"" help:"Path of the new program."`
	NoWait  bool   `help:"Return once the rollout has started, instead of waiting for its end."`
}

func (c fleetUpgrade) Run(out stdout) error { return runRollout(c.fleetFile, c.Program, c.NoWait, out) }

// runRollout starts a rollout and prints its progress until it ends. An interrupt stops the printing, not the rollout.
func runRollout(f fleetFile, program string, noWait bool, out stdout) error {
	client, err := f.dial()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if program != "" { // a relative path refers to this directory, not to the supervisor's
		if info, err := os.Stat(program); err != nil || info.IsDir() {
			return exitError{exitUsage, fmt.Errorf("%s: no such program", program)}
		}
		if program, err = filepath.Abs(program); err != nil {
			return err
		}
	}
	if err := client.SendCommand(ctx, "rollout", program); err != nil {
		return withNoAnswerCode(err)
	}
	lastLine := ""
	for !noWait {
		st, err := client.Status(ctx)
		if err != nil {
			return withNoAnswerCode(err)
		}
		if o := st.Outcome; st.Rollout == nil && o != nil {
			fmt.Fprintf(out, "%s %s %s, %.1f s\n", o.State, o.Reason, o.Detail, o.DurationSeconds)
			if o.State != rollout.Done {
				return exitError{exitHalted, fmt.Errorf("rollout %s: %s", o.State, o.Detail)}
			}
			return nil
		}
		if r := st.Rollout; r != nil {
			if line := fmt.Sprintf("%s %s, %d left", r.State, r.Reason, r.Remaining); line != lastLine {
				fmt.Fprintln(out, line)
				lastLine = line
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(200 * time.Millisecond):
		}
	}
	return nil
}
