// Command masthill-lab runs experiments on fleets: simulations, and real instances of the program with simulated callers and
// servers on loopback. All are limited in time and size.
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
	Demo        demoCmd   `cmd:"" help:"Run a fleet of three against stand-ins, and restart it."`
	Model       modelCmd  `cmd:"" help:"Play the wave on a simulated clock at any size, with and without recovery, over paired seeds."`
	Flood       floodCmd  `cmd:"" help:"Play one member's flood on a simulated clock, with and without shares, over paired seeds."`
	Silent      silentCmd `cmd:"" help:"Play a server that goes silent on a simulated clock, and how long set-ups go there."`
	Cold        coldCmd   `cmd:"" help:"Count what cold servers get from a whole fleet on a simulated clock, and how often it is too much."`
	ColdChance  chanceCmd `cmd:"" help:"Compute how likely a cold server gets more than it bears, from the ramp alone."`
	Jam         jamCmd    `cmd:"" help:"Play a jump of the load that may tip a fleet into a jam, on a simulated clock."`
	Border      borderCmd `cmd:"" help:"Show at which sizes and jumps a fleet does not come back, as a table and a picture."`
	Scenes      scenesCmd `cmd:"" help:"Play scenes on a simulated clock, with what run has beside control and without, over paired seeds."`
	Levels      levelsCmd `cmd:"" help:"Play a swing, a jump, a slowdown into a restart wave, or an overload on a simulated clock, with and without levels."`
	Rig         rigCmd    `cmd:"" help:"Run a fleet of real processes that know of each other, break things, and hold what each claims against the others."`
	Scale       scaleCmd  `cmd:"" help:"Measure what a fleet costs each member, by its size: most of it hollow."`
	RestartWave waveCmd   `cmd:"" help:"Restart most of a fleet within half a minute, just after a server was replaced by a cold one."`
}

type demoCmd struct {
	Program string        `default:"bin/masthill" help:"The program to run." placeholder:"PATH"`
	For     time.Duration `default:"30s" help:"How long callers call; two minutes at most."`
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
	Instances int     `default:"20" help:"Instances of the program."`
	Servers   int     `default:"3" help:"Session servers."`
	Seed      uint64  `default:"1" help:"Seed of all draws."`
	Load      float64 `help:"Part of the planned load; drawn from 0.88 to 0.97 unless given."`
	Program   string  `default:"bin/masthill" help:"The program to run." placeholder:"PATH"`
	Settings  string  `help:"The operators' settings for each instance, %DIR% standing for its folder; else none." placeholder:"FILE"`
	Column    string  `enum:"plain,recovery,snapshots" default:"recovery" help:"Without --settings: ${enum}."`
	Crash     bool    `help:"The cold server is one that crashed and started again unseen, in place of a new one."`
	Kill      bool    `help:"SIGKILL in place of SIGTERM."`
	JSON      string  `name:"json" help:"Write the result there." placeholder:"FILE"`
	Plot      string  `help:"Draw the servers' waits and the served share there, as SVG or PNG." placeholder:"FILE"`
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
	k := kong.Parse(&c, kong.Name("masthill-lab"), kong.Description("Experiments with real instances against stand-ins, on loopback."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}
