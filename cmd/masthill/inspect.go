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

// checkCmd reads every file as serveCmd does, and prints all faults.
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
	settings, settingsErr := config.LoadOperatorSettings(os.Getenv)
	faults := append(config.AllFaults(err), config.AllFaults(settingsErr)...)
	for _, f := range faults {
		if c.JSON {
			json.NewEncoder(out).Encode(f)
		} else {
			fmt.Fprintln(out, f.Error())
		}
	}
	if len(faults) > 0 {
		return exitError{exitUsage, fmt.Errorf("%d faults", len(faults))}
	}
	if settings.DeprecatedName {
		fmt.Fprintln(out, oldNameWarning)
	}
	if !c.JSON {
		fmt.Fprintln(out, "no faults")
	}
	return nil
}

// oldNameWarning is printed where the settings are found under their former name.
const oldNameWarning = "the settings have their former name: use deploy/masthill.toml and MASTHILL_SETTINGS"

// statusCmd prints the status of an instance.
type statusCmd struct {
	Socket string `help:"Control socket of the instance (default: the one in the settings)." placeholder:"PATH"`
	JSON   bool   `help:"Print JSON."`
}

func (c statusCmd) Run(out stdout) error {
	s, err := c.queryStatus()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, s)
	}
	s.WriteText(out)
	return nil
}

// queryStatus queries the instance whose socket the command line names, or else the settings.
func (c statusCmd) queryStatus() (*ctl.Status, error) {
	path := c.Socket
	if path == "" {
		settings, err := config.LoadOperatorSettings(os.Getenv)
		if err != nil {
			return nil, exitError{exitUsage, err}
		}
		if path = settings.Socket.Path; path == "" {
			return nil, exitError{exitUsage, errors.New("no socket: set socket.path in the settings, or give --socket")}
		}
	}
	s, err := ctl.FetchStatus(context.Background(), path)
	if errors.Is(err, ctl.ErrNotRunning) {
		return nil, exitError{exitNoAnswer, err}
	}
	return s, err
}

func printJSON(out stdout, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// peersCmd prints what an instance knows of the other members of its fleet.
type peersCmd struct {
	statusCmd
}

func (c peersCmd) Run(out stdout) error {
	s, err := c.queryStatus()
	if err != nil {
		return err
	}
	if s.Peers == nil {
		return exitError{exitFailed, fmt.Errorf("%s knows of no others: peers.listen is not set", s.Name)}
	}
	if c.JSON {
		return printJSON(out, s.Peers)
	}
	s.Peers.WriteText(out)
	return nil
}

// launchCmd replaces itself by another program. Before that, it locks the instance's directory until the process ends,
// and sets LISTEN_PID to its own process id, which the parent does not know before the start. The fleet's supervisor
// starts the instances by it.
type launchCmd struct {
	Dir        string   `required:""`
	Generation string   `required:""`
	Program    string   `arg:""`
	Args       []string `arg:"" optional:"" passthrough:""`
}

func (c launchCmd) Run() error {
	err := fleet.Claim(c.Dir, c.Generation, c.Program)
	if errors.Is(err, fleet.ErrClaimed) {
		return exitError{fleet.ExitClaimed, err}
	}
	if err != nil {
		return exitError{exitFailed, err}
	}
	if os.Getenv("LISTEN_FDS") != "" {
		os.Setenv("LISTEN_PID", strconv.Itoa(os.Getpid()))
	}
	return fmt.Errorf("%s: %w", c.Program, syscall.Exec(c.Program, append([]string{c.Program}, c.Args...), os.Environ()))
}
