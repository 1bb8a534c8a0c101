package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"masthill/lab/scale"
)

// scaleCmd measures the costs of a fleet by its size.
type scaleCmd struct {
	Steady scaleSteadyCmd `cmd:"" default:"withargs" help:"Measure a fleet without faults at several sizes."`
	Trust  scaleTrustCmd  `cmd:"" help:"Compare fleets of the same size with only real and only hollow members."`
	Faults scaleFaultsCmd `cmd:"" help:"Inject faults into a fleet and measure its reaction."`
	Config scaleConfigCmd `cmd:"" help:"Measure the distribution of configuration releases, with real servers and members that run nothing else."`
	Group  scaleGroupCmd  `cmd:"" hidden:"" help:"Run a group of hollow members in this process, for the other commands."`
}

// scaleOptions are the options that the scale commands have in common.
type scaleOptions struct {
	Calls   float64       `help:"Synthetic calls per second at each hollow member, so that it has something to report."`
	Slow    float64       `help:"Factor by which the clock of hollow members is slowed down, at most 8; not with real members."`
	Servers int           `help:"Number of session servers on the list (default: the number of members)."`
	Each    int           `default:"40" help:"Number of hollow members per process."`
	Warm    time.Duration `default:"10s" help:"Warm-up time before a measurement."`
	For     time.Duration `default:"25s" help:"Duration of a measurement."`
	Program string        `default:"bin/masthill" help:"Path of the program that real members run." placeholder:"PATH"`
	Seed    uint64        `default:"1" help:"Seed of all random draws."`
	JSON    string        `name:"json" help:"Write the results to this file after each size, as JSON." placeholder:"FILE"`
	Plot    string        `help:"Plot the costs by size to this file, as SVG." placeholder:"FILE"`
	Resume  bool          `help:"Keep the results in the JSON file, and measure only what is missing."`
}

const (
	// maxMembers and maxRealMembers limit a fleet and its real members, maxMeasureTime each phase of a measurement.
	maxMembers, maxRealMembers = 1000, 100
	maxMeasureTime             = 2 * time.Minute
	// zoneCount is how many zones members are spread over.
	zoneCount = 11
)

// results returns the results to add to: those in the file with --resume, else none.
func (o scaleOptions) results() (*scale.Results, error) {
	if !o.Resume || o.JSON == "" {
		return &scale.Results{}, nil
	}
	return scale.ReadResults(o.JSON)
}

// write writes and plots the results so far.
func (o scaleOptions) write(r *scale.Results) error {
	if o.JSON != "" {
		if err := r.Write(o.JSON); err != nil {
			return err
		}
	}
	if o.Plot != "" && len(r.Points) > 0 {
		return scale.Plot(r.Points, o.Plot)
	}
	return nil
}

// prepareRun prepares the run of a fleet of which so many members are real. clean removes its directory.
func (o scaleOptions) prepareRun(size, real int) (s scale.SteadyRun, clean func(), err error) {
	if size < 3 || size > maxMembers || real > maxRealMembers || real > size {
		return s, nil, fmt.Errorf("%d members, %d of them real: the limits are 3 to %d members, and %d real ones", size, real, maxMembers, maxRealMembers)
	}
	if o.Slow > 8 || o.Slow > 1 && real > 0 {
		return s, nil, fmt.Errorf("a clock %v times slower: the limit is 8, and real members cannot have a slower clock", o.Slow)
	}
	executable, err := os.Executable()
	if err != nil {
		return s, nil, err
	}
	program, err := filepath.Abs(o.Program)
	if err != nil {
		return s, nil, err
	}
	servers := o.Servers
	if servers == 0 {
		servers = size
	}
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		return s, nil, err
	}
	s.Layout = scale.Layout{Spec: scale.Spec{Size: size, Servers: servers, Zones: zoneCount, SyntheticCalls: o.Calls, ClockSlowdown: o.Slow, Seed: o.Seed},
		Groups: scale.SplitEvenly(0, size-real, o.Each), Command: []string{executable, "scale", "group"}}
	s.RealMembers = scale.RealMembers{Program: program, Dir: dir}
	for k := size - real; k < size; k++ {
		s.Numbers = append(s.Numbers, k)
	}
	s.WarmUp, s.MeasureFor, s.Progress = min(o.Warm, maxMeasureTime), min(o.For, maxMeasureTime), os.Stdout
	return s, func() { os.RemoveAll(dir) }, nil
}

// measure runs and measures one fleet.
func (o scaleOptions) measure(ctx context.Context, size, real int, change func(*scale.SteadyRun)) (*scale.Point, error) {
	s, clean, err := o.prepareRun(size, real)
	if err != nil {
		return nil, err
	}
	defer clean()
	if change != nil {
		change(&s)
	}
	return s.Run(ctx)
}

type scaleSteadyCmd struct {
	scaleOptions
	Sizes       []int   `default:"30,60,120,240" help:"Fleet sizes, as the total number of members."`
	Real        int     `help:"Number of real members, which are processes of the program."`
	RealCalls   float64 `help:"Calls per second at each real member, from simulated callers."`
	RealServers int     `default:"8" help:"Number of simulated servers for these calls."`
}

func (c scaleSteadyCmd) Run(ctx context.Context) error {
	r, err := c.results()
	if err != nil {
		return err
	}
	for _, size := range c.Sizes {
		if r.Has(size, c.Real, c.Calls, c.Slow) {
			fmt.Printf("%d members: measured already\n", size)
			continue
		}
		p, err := c.measure(ctx, size, c.Real, func(s *scale.SteadyRun) { s.RealMembers.Calls, s.RealMembers.Servers = c.RealCalls, c.RealServers })
		if err != nil {
			return err
		}
		r.Points = append(r.Points, p)
		if err := c.write(r); err != nil {
			return err
		}
	}
	return c.write(r) // also without new results, to update the fits and the plot
}

type scaleTrustCmd struct {
	scaleOptions
	Sizes []int `default:"30,60" help:"Fleet sizes, as the number of members."`
}

func (c scaleTrustCmd) Run(ctx context.Context) error {
	r, err := c.results()
	if err != nil {
		return err
	}
	for _, size := range c.Sizes {
		t, err := c.compare(ctx, size)
		if err != nil {
			return err
		}
		r.Comparisons = append(r.Comparisons, *t)
		fmt.Printf("  %d members, hollow over real: bytes %.3f, datagrams %.3f, processor %.2f (one a process %.2f), memory %.2f\n",
			size, t.Bytes, t.Datagrams, t.CPU, t.CPUSingleMember, t.Memory)
		if err := c.write(r); err != nil {
			return err
		}
	}
	return nil
}

// compare measures one size in four ways: real, real without peers, hollow, and hollow with one member per process.
func (c scaleTrustCmd) compare(ctx context.Context, size int) (*scale.Comparison, error) {
	var points [4]*scale.Point
	for k, variant := range []struct {
		real   int
		change func(*scale.SteadyRun)
	}{
		{size, nil},
		{size, func(s *scale.SteadyRun) { s.WithoutPeers = true }},
		{0, nil},
		{0, func(s *scale.SteadyRun) { s.Groups = scale.SplitEvenly(0, size, 1) }},
	} {
		p, err := c.measure(ctx, size, variant.real, variant.change)
		if err != nil {
			return nil, err
		}
		points[k] = p
	}
	t := scale.Compare(size, *points[0].Real, *points[1].Real, points[2].Hollow, points[3].Hollow)
	return &t, nil
}

type scaleFaultsCmd struct {
	scaleOptions
	Size  int           `default:"470" help:"Number of members, which are all hollow."`
	Cut   time.Duration `default:"60s" help:"How long a region is partitioned from the others."`
	Rest  time.Duration `default:"6s" help:"Duration of the baseline measurement before each fault."`
	Quiet time.Duration `help:"Duration of a first measurement without synthetic calls (default: none)."`
	Kind  []string      `default:"machine,rack,zone,allocator,server,region,restarts" help:"Faults to inject, one after the other."`
}

func (c scaleFaultsCmd) Run(ctx context.Context) error {
	r, err := c.results()
	if err != nil {
		return err
	}
	s, clean, err := c.prepareRun(c.Size, 0)
	if err != nil {
		return err
	}
	defer clean()
	onResult := func(p *scale.Point, f *scale.Fault) error {
		if p != nil {
			r.Points = append(r.Points, p)
		}
		if f != nil {
			r.Faults = append(r.Faults, f)
			fmt.Println(time.Now().UTC().Format("15:04:05"), f)
		}
		return c.write(r)
	}
	return scale.FaultRun{Layout: s.Layout, Kinds: c.Kind, GroupSize: c.Each, WarmUp: s.WarmUp, MeasureIdle: min(c.Quiet, maxMeasureTime), MeasureBusy: s.MeasureFor,
		PartitionFor: min(c.Cut, maxMeasureTime), MeasureBaseline: min(c.Rest, maxMeasureTime), Progress: os.Stdout, OnResult: onResult}.Run(ctx)
}

// scaleGroupCmd serves a group of hollow members until its input ends.
type scaleGroupCmd struct{}

func (scaleGroupCmd) Run(ctx context.Context) error {
	return scale.Serve(context.WithoutCancel(ctx), os.Stdin, os.Stdout)
}
