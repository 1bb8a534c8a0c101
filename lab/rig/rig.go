// Package rig tests a fleet of real processes of the program on loopback under faults of the links between them (each
// direction by itself), the processes, their directories and the servers. The faults are read from a file or drawn from a
// seed, and each is recorded. Every process writes its claims to a file: which rates it may use, which counts it knows,
// when it is leader and which servers it avoids. A checker compares the claims with each other, and callers and servers
// keep a ledger of the calls.
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

// Options configures Run.
type Options struct {
	Plan         *Plan
	Seed         uint64
	Program      string
	Dir          string   // for the instances' directories and claims files
	Env          []string // for the processes, such as the name of the check that a broken build omits
	WithoutPeers bool     // the instances do not know each other, for comparison
}

// run is the state of a run.
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
	interrupted  map[int]bool       // the instances that a fault has paused or stopped, by number
	lastFaultEnd time.Time
	coldServers  []string // the servers that have restarted
}

// Run runs a plan. An error means that the rig failed or that an instance did not start at the beginning. Errors of the
// program during the run are in the result.
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

// runPlan sets everything up, and runs the calls and faults of the plan.
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

// sleepUntil waits until a time after the start. It returns false if the run ends before.
func (w *run) sleepUntil(at time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(time.Until(w.startedAt.Add(at))):
		return true
	}
}

// recordEnd records when the process of an instance ended.
func (w *run) recordEnd(k int, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processEnds[w.names[k]] = append(w.processEnds[w.names[k]], at.UnixNano())
}
