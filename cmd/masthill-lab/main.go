// Command masthill-lab runs experiments on fleets: simulations, and real instances of the program with simulated
// callers and servers on loopback. All are limited in time and size.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"masthill/lab/wave"
)

type cli struct {
	Demo        demoCmd       `cmd:"" help:"Run three instances against simulated callers and servers, and restart them."`
	Model       modelCmd      `cmd:"" help:"Simulate a restart wave in a fleet of any size, with and without recovery, over paired seeds."`
	Flood       floodCmd      `cmd:"" help:"Simulate a flood of calls by one tenant, with and without shares, over the same seeds."`
	Silent      silentCmd     `cmd:"" help:"Simulate a server that goes silent, and measure how long set-ups are sent to it."`
	Cold        coldCmd       `cmd:"" help:"Simulate cold servers, and measure the load from all controllers and how often it is too high."`
	ColdChance  chanceCmd     `cmd:"" help:"Compute the probability that a cold server is overloaded, from the ramp of its budget alone."`
	Jam         jamCmd        `cmd:"" help:"Simulate a load jump after which a fleet may stay congested."`
	Border      borderCmd     `cmd:"" help:"Show after which load jumps and at which sizes a fleet does not recover, as a table and plots."`
	Scenes      scenesCmd     `cmd:"" help:"Simulate scenes with two sets of decision modules, over paired seeds."`
	Levels      levelsCmd     `cmd:"" help:"Simulate a load swing, a load jump, a slowdown before a restart wave, or an overload, with and without levels."`
	Rig         rigCmd        `cmd:"" help:"Run a fleet of real processes that share state, inject faults, and check their claims against each other."`
	Scale       scaleCmd      `cmd:"" help:"Measure the cost per member by the size of a fleet, with real and hollow members."`
	Hostile     hostileCmd    `cmd:"" help:"Play clients that misbehave against one real instance, beside a good client."`
	GoodClient  goodClientCmd `cmd:"" hidden:"" help:"The good client of the command hostile."`
	RestartWave waveCmd       `cmd:"" help:"Restart most of a fleet within half a minute, just after a server was replaced by a cold one."`
}

type demoCmd struct {
	Program string        `default:"bin/masthill" help:"Path of the program to run." placeholder:"PATH"`
	For     time.Duration `default:"30s" help:"How long callers make calls, at most two minutes."`
}

func (c demoCmd) Run(ctx context.Context) error {
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	return wave.Demo(ctx, program, dir, min(c.For, 2*time.Minute), os.Stdout)
}

type waveCmd struct {
	Instances int     `default:"20" help:"Number of instances of the program."`
	Servers   int     `default:"3" help:"Number of session servers."`
	Seed      uint64  `default:"1" help:"Seed of all random draws."`
	Load      float64 `help:"Offered load, as a fraction of the planned load (default: drawn from 0.88 to 0.97)."`
	Program   string  `default:"bin/masthill" help:"Path of the program to run." placeholder:"PATH"`
	Settings  string  `help:"File with the operators' settings of each instance, in which %DIR% is replaced by the instance's directory." placeholder:"FILE"`
	Column    string  `enum:"plain,recovery,snapshots" default:"recovery" help:"Built-in settings to use without --settings: ${enum}."`
	Crash     bool    `help:"Make a server cold by a crash and an unnoticed restart, instead of replacing it by a new one."`
	Kill      bool    `help:"Stop instances with SIGKILL instead of SIGTERM."`
	JSON      string  `name:"json" help:"Write the result to this file, as JSON." placeholder:"FILE"`
	Plot      string  `help:"Plot the servers' waits and the served share to this file, as SVG or PNG." placeholder:"FILE"`
}

// columnSettings are the settings for the values of --column.
var columnSettings = map[string]string{
	"plain":     "",
	"recovery":  "[recovery]\nenabled = true\n",
	"snapshots": "[recovery]\nenabled = true\n[state]\ndir = \"%DIR%\"\nevery = \"1s\"\n",
}

func (c waveCmd) Run(ctx context.Context) error {
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	settings := columnSettings[c.Column]
	if c.Settings != "" {
		text, err := os.ReadFile(c.Settings)
		if err != nil {
			return err
		}
		settings = string(text)
	}
	dir, err := os.MkdirTemp("", "masthill-lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	r, err := wave.Run(ctx, wave.Options{Program: program, Settings: settings, Instances: c.Instances, Servers: c.Servers, Seed: c.Seed,
		Load: c.Load, Kill: c.Kill, Crash: c.Crash, Dir: dir})
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, r); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		if err := wave.Plot(r, c.Plot); err != nil {
			return err
		}
	}
	fmt.Printf("seed %d, load %.3f: cold wait %.0f of %.0f ms, fell over %v, served %.4f, %d calls, %d restarts, missing %d, twice %d, overlapping %d, late %.0f ms\n",
		r.Seed, r.Load, r.MaxColdWaitMS, r.RefusalPointMS, r.FellOver, r.Served, r.Calls, r.Restarts, r.MissingAnswers, r.DuplicateAnswers, r.OverlappingAttempts, r.MaxDelayMS)
	for _, text := range append(r.Descriptions, r.Errors...) {
		fmt.Println(" ", text)
	}
	if r.Any() || len(r.Errors) > 0 {
		return fmt.Errorf("a rule was broken, or an instance failed")
	}
	return nil
}

// writeJSON writes a result as indented JSON.
func writeJSON(file string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	k := kong.Parse(&c, kong.Name("masthill-lab"), kong.Description("Experiments on fleets: simulations, and real instances with simulated callers and servers on loopback."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}
