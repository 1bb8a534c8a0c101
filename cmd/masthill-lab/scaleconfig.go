package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"masthill/lab/scale"
)

// scaleConfigCmd measures the distribution of configuration releases by the fleet's size.
type scaleConfigCmd struct {
	Sizes   []int         `default:"120,240,470" help:"Fleet sizes, as the number of members."`
	Servers int           `default:"5" help:"Number of configuration servers, each in its own process."`
	Changes int           `default:"5" help:"Number of releases, published one after the other."`
	Rest    time.Duration `default:"4s" help:"How long after its publication all zones but the first apply a release."`
	Content int           `default:"4096" help:"Size of a release's content, in bytes."`
	Warm    time.Duration `default:"5s" help:"Warm-up time before the measurement."`
	For     time.Duration `default:"20s" help:"Duration of the measurement without new releases."`
	Cut     time.Duration `default:"20s" help:"How long a region is cut off, and how long all servers are down."`
	Faults  bool          `help:"Also inject faults: lost servers, and members that are cut off."`
	Program string        `default:"bin/masthill" help:"Path of the program that serves releases." placeholder:"PATH"`
	Seed    uint64        `default:"1" help:"Seed of all random draws."`
	JSON    string        `name:"json" help:"Write the results to this file after each size, as JSON." placeholder:"FILE"`
}

// maxConfigServers limits the configuration servers of a run.
const maxConfigServers = 9

func (c scaleConfigCmd) Run(ctx context.Context) error {
	if c.Servers < 1 || c.Servers > maxConfigServers {
		return fmt.Errorf("%d servers: wanted 1 to %d", c.Servers, maxConfigServers)
	}
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	r := &scale.Results{}
	for _, size := range c.Sizes {
		if size < 3 || size > maxMembers {
			return fmt.Errorf("%d members: wanted 3 to %d", size, maxMembers)
		}
		cost, err := c.measure(ctx, program, size)
		if err != nil {
			return err
		}
		r.Releases = append(r.Releases, cost)
		if c.JSON != "" {
			if err := r.Write(c.JSON); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c scaleConfigCmd) measure(ctx context.Context, program string, size int) (*scale.ReleaseCost, error) {
	dir, err := os.MkdirTemp("", "scaleconfig")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	return scale.ReleaseRun{Size: size, Zones: zoneCount, Program: program, Dir: dir, Servers: c.Servers, Changes: c.Changes, SecondStageAfter: c.Rest, ContentSize: c.Content,
		WarmUp: min(c.Warm, maxMeasureTime), MeasureFor: min(c.For, maxMeasureTime), OutageFor: min(c.Cut, maxMeasureTime), WithFaults: c.Faults, Seed: c.Seed,
		Progress: os.Stdout}.Run(ctx)
}
