package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"syscall"

	"masthill/internal/config"
	"masthill/internal/ctl"
	"masthill/internal/fleet"
)

// checkCmd reads every file as serving would, and tells all faults in one go.
type checkCmd struct {
	JSON   bool `help:"Print the faults as JSON Lines."`
	Schema bool `help:"Print the JSON Schema of the operators' settings and check nothing."`
}

func (c checkCmd) Run(out stdout) error {
	if c.Schema {
		_, err := out.Write(config.OperatorSettingsSchema)
		return err
	}
	_, err := config.Load(os.Getenv)
	own, ownErr := config.LoadOperatorSettings(os.Getenv)
	faults := append(config.AllFaults(err), config.AllFaults(ownErr)...)
	for _, f := range faults {
		if c.JSON {
			json.NewEncoder(out).Encode(f)
		} else {
			fmt.Fprintln(out, f.Error())
		}
	}
	if len(faults) > 0 {
		return coded{exitUsage, fmt.Errorf("%d faults", len(faults))}
	}
	if own.DeprecatedName {
		fmt.Fprintln(out, oldName)
	}
	if !c.JSON {
		fmt.Fprintln(out, "no faults")
	}
	return nil
}

const oldName = "the settings have a name of before: use deploy/masthill.toml and MASTHILL_SETTINGS"

// statusCmd asks an instance.
type statusCmd struct {
	Socket string `help:"The instance's control socket; else the one that the settings name." placeholder:"PATH"`
	JSON   bool   `help:"Print JSON."`
}

func (c statusCmd) Run(out stdout) error {
	s, err := c.ask()
	if err != nil {
		return err
	}
	if c.JSON {
		return indented(out, s)
	}
	s.WriteText(out)
	return nil
}

// ask asks the instance that the command line or the settings name.
func (c statusCmd) ask() (*ctl.Status, error) {
	path := c.Socket
	if path == "" {
		own, err := config.LoadOperatorSettings(os.Getenv)
		if err != nil {
			return nil, coded{exitUsage, err}
		}
		if path = own.Socket.Path; path == "" {
			return nil, coded{exitUsage, errors.New("no socket: set socket.path in the settings, or give --socket")}
		}
	}
	s, err := ctl.FetchStatus(context.Background(), path)
	if errors.Is(err, ctl.ErrNotRunning) {
		return nil, coded{exitNobody, err}
	}
	return s, err
}

func indented(out stdout, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// peersCmd tells what an instance knows of the others.
type peersCmd struct {
	statusCmd
}

func (c peersCmd) Run(out stdout) error {
	s, err := c.ask()
	if err != nil {
		return err
	}
	if s.Peers == nil {
		return coded{exitFailed, fmt.Errorf("%s knows of no others: peers.listen is not set", s.Name)}
	}
	if c.JSON {
		return indented(out, s.Peers)
	}
	s.Peers.WriteText(out)
	return nil
}

// launchCmd becomes another program, with LISTEN_PID set to this process, which only the process itself can know, and
// with the lock of its folder held to its end. The fleet starts its instances by it.
type launchCmd struct {
	Dir        string   `required:""`
	Generation string   `required:""`
	Program    string   `arg:""`
	Args       []string `arg:"" optional:"" passthrough:""`
}

func (c launchCmd) Run() error {
	err := fleet.Claim(c.Dir, c.Generation, c.Program)
	if errors.Is(err, fleet.ErrClaimed) {
		return coded{fleet.ExitClaimed, err}
	}
	if err != nil {
		return coded{exitFailed, err}
	}
	if os.Getenv("LISTEN_FDS") != "" {
		os.Setenv("LISTEN_PID", strconv.Itoa(os.Getpid()))
	}
	return fmt.Errorf("%s: %w", c.Program, syscall.Exec(c.Program, append([]string{c.Program}, c.Args...), os.Environ()))
}
