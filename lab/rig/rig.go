// Package rig tests a fleet of real processes of the program on loopback while things fail: the links between any two of
// them by direction, the processes, their directories and the servers. The faults are read from a file or drawn from a
// seed, and each is recorded. Every process writes down what it claims, a checker compares the claims with each other, and
// callers and servers keep a ledger of the calls.
package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/lab/check"
	"masthill/lab/host"
	"masthill/lab/processor"
	"masthill/lab/standin"
)

// Options is what Run needs to know.
type Options struct {
	Plan         *Plan
	Seed         uint64
	Program      string
	Dir          string   // for the instances' directories and claims
	Env          []string // for the processes, such as the check that a mutant leaves out
	WithoutPeers bool     // the instances know nothing of each other, for comparison
}

// run is a run in progress.
type run struct {
	Options
	ctx          context.Context
	group        *errgroup.Group
	rng          *rand.Rand
	result       *Result
	ledger       *check.Ledger
	params       processor.Params
	startedAt    time.Time
	names        []string
	instances    []*host.Instance
	machines     map[string]string // by instance
	listServices []*standin.ListService
	servers      []*standin.Server
	callers      *standin.CallerPool
	links        map[[2]int]*link // by the numbers of the two instances
	faults       []Fault

	mu           sync.Mutex
	processEnds  map[string][]int64 // when the processes of an instance ended, in their order
	interrupted  map[int]bool       // instances that a fault has paused or stopped
	lastFaultEnd time.Time
	coldServers  []string // that have started anew
}

// Run plays a plan. An error means that the rig failed or an instance did not start; what the program did wrong is in the
// result.
func Run(ctx context.Context, o Options) (*Result, error) {
	if _, err := os.Stat(o.Program); err != nil {
		return nil, fmt.Errorf("the program to run: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	w := newRun(ctx, g, o)
	err := w.runPlan()
	end := time.Now()
	for k, i := range w.instances {
		i.Signal(syscall.SIGCONT)
		i.Stop(true)
		w.recordEnd(k, end)
	}
	cancel()
	if groupErr := g.Wait(); err == nil {
		err = groupErr
	}
	if err != nil {
		return nil, err
	}
	return w.result, w.summarize(end)
}

func newRun(ctx context.Context, g *errgroup.Group, o Options) *run {
	return &run{
		Options:     o,
		ctx:         ctx,
		group:       g,
		rng:         rand.New(rand.NewPCG(o.Seed, 0x726967)),
		result:      &Result{Seed: o.Seed, Instances: o.Plan.Instances, Servers: o.Plan.Servers, WithoutPeers: o.WithoutPeers},
		ledger:      check.New(check.Rules{ReleaseWait: 300 * time.Millisecond, DrainGrace: time.Second, Slack: 50 * time.Millisecond}),
		machines:    map[string]string{},
		links:       map[[2]int]*link{},
		faults:      o.Plan.drawFaults(o.Seed),
		processEnds: map[string][]int64{},
		interrupted: map[int]bool{},
	}
}

// play sets everything up, and plays the calls and faults of the plan.
func (w *run) runPlan() error {
	if err := w.setUp(); err != nil {
		return err
	}
	defer w.callers.Close()
	if err := w.startInstances(); err != nil {
		return err
	}
	w.startedAt = time.Now()
	w.lastFaultEnd = w.startedAt
	w.group.Go(func() error { w.updateLinks(); return nil })
	for _, f := range w.faults {
		w.group.Go(func() error { w.runFault(f); return nil })
	}
	if w.Plan.CrashInterval > 0 {
		w.group.Go(func() error { w.crashServers(); return nil })
	}
	return w.callers.Run(w.ctx, w.Plan.Duration)
}

// sleepUntil waits until a time after the start; false when the run ends before.
func (w *run) sleepUntil(at time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(time.Until(w.startedAt.Add(at))):
		return true
	}
}

// recordEnd notes when the process of an instance ended.
func (w *run) recordEnd(k int, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processEnds[w.names[k]] = append(w.processEnds[w.names[k]], at.UnixNano())
}
