package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"masthill/lab/rig"
)

// rigCmd runs a fleet of real processes and injects faults.
type rigCmd struct {
	File    string `arg:"" help:"File that describes the run."`
	Seed    uint64 `default:"1" help:"Seed of all random draws."`
	Program string `default:"bin/masthill" help:"Path of the program to run." placeholder:"PATH"`
	Plain   bool   `help:"Run instances that do not share state, under the same load and faults."`
	Without string `help:"Check to leave out, in a build with -tags broken: mute, anchor, open, book, merge or witnesses."`
	Keep    string `help:"Keep the instances' directories, audit files and logs in this directory." placeholder:"DIR"`
	JSON    string `name:"json" help:"Write the result to this file, as JSON." placeholder:"FILE"`
	Plot    string `help:"Plot the served share by second to this file, as SVG or PNG." placeholder:"FILE"`
}

func (c rigCmd) Run(ctx context.Context) error {
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	plan, err := rig.Load(c.File)
	if err != nil {
		return err
	}
	dir := c.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "rig"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if dir, err = filepath.Abs(dir); err != nil {
		return err
	}
	o := rig.Options{Plan: plan, Seed: c.Seed, Program: program, Dir: dir, WithoutPeers: c.Plain}
	if c.Without != "" {
		o.Env = []string{"MASTHILL_WITHOUT=" + c.Without}
	}
	r, err := rig.Run(ctx, o)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, r); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		if err := rig.Plot(r, c.Plot); err != nil {
			return err
		}
	}
	fmt.Printf("seed %d: %d instances, %d processes, %d faults; %d calls, served %.4f; answers missing %d, twice %d, attempts overlapping %d, too soon %d\n", r.Seed,
		r.Instances, r.Processes, len(r.Faults), r.Calls, r.ServedShare, r.MissingAnswers, r.DuplicateAnswers, r.OverlappingAttempts, r.TooSoon)
	fmt.Printf("  budgets: %d claims, overspent %d (most in use %.3f of a pool), overused %d of %d units, two allocators %d; counts: %d checked, out of bounds %d; verdicts %d, unfounded %d\n",
		r.Claims, r.Overspent, r.MaxInUse, r.Overused, r.UsedUnits, r.ConcurrentLeaders, r.Counts, r.OutOfBounds, r.Decisions, r.Unfounded)
	fmt.Printf("  all knew of all %.1f s after the last fault; %.0f bytes and %.1f datagrams a second from each; cold wait %.0f of %.0f ms, fell over %v; %.0f us of processor a call; late %.0f ms\n",
		r.ConvergedS, r.BytesPerSecond, r.DatagramsPerSecond, r.MaxColdWaitMS, r.RefusalPointMS, r.FellOver, r.CPUPerCall, r.MaxDelayMS)
	for _, text := range append(append(r.Violations.Descriptions, r.Findings.Descriptions...), r.Errors...) {
		fmt.Println(" ", text)
	}
	if r.Failed() {
		return fmt.Errorf("a check failed or an instance reported errors")
	}
	return nil
}
