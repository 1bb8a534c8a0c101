// Package rig runs real processes of the program as one fleet on loopback, with links of its own between any two of them,
// and breaks things: links by direction, processes, their folders, session servers. What goes wrong is a file or drawn from
// a seed; every fault is recorded. Each process writes down what it claims, and a checker holds the claims against each
// other; callers and servers keep a ledger of the calls.
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

// Options is what a run is made from.
type Options struct {
	Plan    *Plan
	Seed    uint64
	Program string
	Dir     string   // for the instances' folders and claims
	Env     []string // of the processes, such as the guard that a broken build leaves out
	Plain   bool     // instances know nothing of each other: what the same faults do without
}

// run is a run under way.
type run struct {
	Options
	ctx       context.Context
	group     *errgroup.Group
	rng       *rand.Rand
	r         *Result
	ledger    *check.Ledger
	params    processor.Params
	began     time.Time
	names     []string
	instances []*host.Instance
	machines  map[string]string
	lists     []*standin.List
	servers   []*standin.Server
	crowd     *standin.Crowd
	links     map[[2]int]*link
	faults    []Fault

	mu    sync.Mutex
	ends  map[string][]int64 // when the processes of an instance ended, in their order
	down  map[int]bool       // struck by something that takes the process away
	calm  time.Time          // the last fault is over
	coldS []string
}

// Run plays a plan. An error is a fault of the rig or of a first start; what the program did wrong is in the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	if _, err := os.Stat(o.Program); err != nil {
		return nil, fmt.Errorf("the program to run: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	w := &run{Options: o, ctx: ctx, group: g, rng: rand.New(rand.NewPCG(o.Seed, 0x726967)), links: map[[2]int]*link{}, ends: map[string][]int64{},
		machines: map[string]string{}, down: map[int]bool{}, r: &Result{Seed: o.Seed, Instances: o.Plan.Instances, Servers: o.Plan.Servers, Plain: o.Plain},
		ledger: check.New(check.Rules{ReleaseWait: 300 * time.Millisecond, DrainGrace: time.Second, Slack: 50 * time.Millisecond})}
	w.faults = o.Plan.draw(o.Seed)
	err := w.play()
	end := time.Now()
	for k, i := range w.instances {
		i.Signal(syscall.SIGCONT)
		i.Stop(true)
		w.ended(k, end)
	}
	cancel()
	if waited := g.Wait(); err == nil {
		err = waited
	}
	if err != nil {
		return nil, err
	}
	return w.r, w.sum(end)
}

func (w *run) ended(k int, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[w.names[k]] = append(w.ends[w.names[k]], at.UnixNano())
}
