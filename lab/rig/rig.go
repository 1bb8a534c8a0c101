// Package rig runs real processes of the program as one fleet on loopback, with links of its own between any two of them,
// and breaks things: links by direction, processes, their folders, session servers. What goes wrong is a file or drawn from
// a seed; every fault is recorded. Each process writes down what it claims, and a checker holds the claims against each
// other; callers and servers keep a ledger of the calls.
package rig

import (
	"context"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
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

// Result is what a run showed.
type Result struct {
	Seed      uint64  `json:"seed"`
	Instances int     `json:"instances"`
	Servers   int     `json:"servers"`
	Plain     bool    `json:"plain,omitempty"`
	Calls     int     `json:"calls"`
	Served    float64 `json:"served_share"`
	check.Broken
	Findings
	CPUCall  float64   `json:"cpu_us_per_call"` // processor time of all instances, over the callers' calls
	ColdWait float64   `json:"cold_wait_max_ms"`
	Refusal  float64   `json:"refusal_point_ms"`
	FellOver bool      `json:"fell_over"`
	BySecond []float64 `json:"served_by_second"`
	Faults   []Struck  `json:"faults"`
	Errors   []string  `json:"errors,omitempty"`
	LateMS   float64   `json:"ran_late_ms"`
}

// Bad tells whether anything did not hold.
func (r *Result) Bad() bool { return r.Broken.Any() || r.Findings.Any() || len(r.Errors) > 0 }

// Struck is a fault as it happened.
type Struck struct {
	Fault
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
}

// linksMost is how many instances have a link for each pair; larger fleets speak directly, and links can't be broken.
const linksMost = 24

// key seals what the instances of a run say to each other; it protects nothing.
const key = "bWFzdGhpbGwtbGFiLWtleQ=="

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

// place finds a loopback net where no other rig is: each instance has an address of its own there. The net is this rig's
// until the listener is closed.
func place(seed uint64) (at string, held net.Listener, err error) {
	for n := range uint64(100) {
		at = fmt.Sprintf("127.%d", 20+(seed+n*7)%100)
		if held, err = net.Listen("tcp", at+".255.1:2908"); err == nil {
			return at, held, nil
		}
	}
	return "", nil, err
}

func (w *run) play() error {
	p := w.Plan
	at, held, err := place(w.Seed)
	if err != nil {
		return err
	}
	context.AfterFunc(w.ctx, func() { held.Close() })
	w.params = processor.Draw(p.Planned, p.Servers, w.rng)
	w.r.Refusal = float64(w.params.Refuse) / 1e6
	addr := func(k int) string { return fmt.Sprintf("%s.%d.1:2908", at, k+1) }
	for k := range p.Instances {
		w.names = append(w.names, fmt.Sprintf("n%d", k))
	}
	for k := range p.Servers {
		s, err := standin.NewServer(fmt.Sprintf("s-%08x", 0xa0+k), k, w.params, time.Time{}, 9*time.Second, w.names, w.rng.Uint64(), w.ledger)
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
		w.group.Go(func() error { return s.Run(w.ctx) })
	}
	if p.Instances <= linksMost && !w.Plain {
		if err := w.wire(at, addr); err != nil {
			return err
		}
	}
	w.crowd = standin.NewCrowd(standin.Demand{Rate: p.Load * p.Planned, Class: "open-log",
		Tenants: map[string]float64{"slaney-vines": 0.55, "barrow-estate": 0.33, "suir-growers": 0.12}, Aim: 1200 * time.Millisecond,
		Deadline: 9 * time.Second, Patience: [2]float64{0.3, 0.4}, Redials: 2, Late: 0.25, Cells: p.Servers,
		RedialGap: [2]time.Duration{300 * time.Millisecond, time.Second}}, w.ledger, w.rng.Uint64())
	defer w.crowd.Close()
	for k, name := range w.names {
		var first []standin.Entry
		for _, s := range w.servers {
			first = append(first, standin.EntryOf(s, name, "SERVING", time.Time{}))
		}
		list, err := standin.NewList(first, nil)
		if err != nil {
			return err
		}
		w.lists = append(w.lists, list)
		w.group.Go(func() error { return list.Run(w.ctx) })
		dir := filepath.Join(w.Dir, name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		i := &host.Instance{Name: name, Dir: dir, Program: w.Program, Env: w.Env, Settings: w.settings(k, dir, addr),
			Config: host.Platform(name, k, host.Site{Instances: p.Instances, Servers: p.Servers, Planned: p.Planned}, list.Addr(), w.rng.Uint64())}
		w.instances = append(w.instances, i)
	}
	starts, _ := errgroup.WithContext(w.ctx)
	starts.SetLimit(8)
	for k := range w.instances {
		starts.Go(func() error { return w.up(k) })
	}
	if err := starts.Wait(); err != nil {
		return err
	}
	w.began = time.Now()
	w.calm = w.began
	w.group.Go(func() error { w.drive(); return nil })
	for _, f := range w.faults {
		w.group.Go(func() error { w.strike(f); return nil })
	}
	if p.Cold > 0 {
		w.group.Go(func() error { w.colds(); return nil })
	}
	return w.crowd.Run(w.ctx, p.For)
}

// wire opens a link for each pair of instances.
func (w *run) wire(at string, addr func(int) string) error {
	for a := range w.names {
		for b := range w.names {
			if a == b {
				continue
			}
			l, err := newLink(w.names[a], w.names[b], fmt.Sprintf("%s.%d.%d", at, a+1, b+100), addr(b), w.rng.Uint64())
			if err != nil {
				return err
			}
			w.links[[2]int{a, b}] = l
		}
	}
	for pair, l := range w.links {
		l.back = w.links[[2]int{pair[1], pair[0]}]
		w.group.Go(func() error { return l.run(w.ctx) })
	}
	return nil
}

// settings is the operators' file of an instance.
func (w *run) settings(k int, dir string, addr func(int) string) string {
	p := w.Plan
	var b strings.Builder
	fmt.Fprintf(&b, "[goodput]\nenabled = true\n[state]\ndir = %q\nevery = \"1s\"\n[shares]\nenabled = %v\n", dir, p.Shares)
	if w.Plain {
		return b.String()
	}
	machine := fmt.Sprintf("m%d", k)
	if p.Machines > 0 {
		machine = fmt.Sprintf("m%d", k%p.Machines)
	}
	w.machines[w.names[k]] = machine
	var seeds, keepers []string
	for n := range p.Keepers {
		keepers = append(keepers, fmt.Sprintf("%q", w.names[n]))
		if n != k {
			seeds = append(seeds, fmt.Sprintf("%q", w.names[n]+"/"+addr(n)))
		}
	}
	fmt.Fprintf(&b, "[peers]\nlisten = %q\nsite = \"s%d\"\nmachine = %q\nseeds = [%s]\nkeys = [%q]\nkeepers = [%s]\nterm = %q\nbudgets = %v\njudgements = %v\naudit = %q\n",
		addr(k), k%p.Sites, machine, strings.Join(seeds, ", "), key, strings.Join(keepers, ", "), p.Term, p.Budgets, p.Judgements, w.claims(k))
	if len(w.links) > 0 {
		b.WriteString("[peers.via]\n")
		for n, name := range w.names {
			if n != k {
				fmt.Fprintf(&b, "%s = %q\n", name, w.links[[2]int{k, n}].addr())
			}
		}
	}
	return b.String()
}

// claims names the file of an instance's claims, outside its folder, which may get lost.
func (w *run) claims(k int) string { return filepath.Join(w.Dir, w.names[k]+".claims") }

func (w *run) up(k int) error {
	i := w.instances[k]
	addr, err := i.Start(w.ctx, w.lists[k].Known())
	if err != nil {
		return err
	}
	return w.crowd.Enter(w.ctx, i.Name, addr)
}

func (w *run) until(at time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(time.Until(w.began.Add(at))):
		return true
	}
}

// driveEvery is how often the links are set by the faults of the moment.
const driveEvery = 50 * time.Millisecond

// drive sets the links, and notes how late the rig itself runs.
func (w *run) drive() {
	for n := 1; ; n++ {
		if !w.until(time.Duration(n) * driveEvery) {
			return
		}
		now := time.Since(w.began)
		w.mu.Lock()
		w.r.LateMS = max(w.r.LateMS, float64((now-time.Duration(n)*driveEvery).Microseconds())/1000)
		w.mu.Unlock()
		for pair, l := range w.links {
			l.set(w.way(now, pair[0], pair[1]))
		}
	}
}

// way adds up what goes wrong between two instances at a time.
func (w *run) way(now time.Duration, from, to int) (way Way) {
	for _, f := range w.faults {
		if now < f.At || now >= f.At+f.For {
			continue
		}
		a, b := slices.Contains(f.Who, from), slices.Contains(f.Who, to)
		switch f.Kind {
		case "cut":
			way.Cut = way.Cut || a != b
		case "flap":
			way.Cut = way.Cut || a != b && now%time.Second < time.Second/2
		case "between":
			way.Cut = way.Cut || a && b
		case "oneway":
			way.Cut = way.Cut || b && !a
		case "halfopen":
			way.HalfOpen = way.HalfOpen || b
		case "noise":
			if a || b {
				way.Loss, way.Twice = max(way.Loss, f.Loss), max(way.Twice, f.Twice)
				way.Delay, way.Jitter, way.PerSec = max(way.Delay, f.Delay), max(way.Jitter, f.Jitter), f.PerSec
			}
		}
	}
	return way
}

// strike has one fault happen to processes or servers, and records it.
func (w *run) strike(f Fault) {
	if !w.until(f.At) {
		return
	}
	from := time.Since(w.began)
	var all sync.WaitGroup
	for _, k := range f.Who {
		all.Go(func() { w.struck(f, k) })
	}
	if f.Kind != "restart" {
		w.until(f.At + f.For)
	}
	all.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().After(w.calm) {
		w.calm = time.Now()
	}
	w.r.Faults = append(w.r.Faults, Struck{f, from.Seconds(), time.Since(w.began).Seconds()})
}

func (w *run) struck(f Fault, k int) {
	switch f.Kind {
	case "silent":
		w.servers[k].Silence(true)
		w.until(f.At + f.For)
		w.servers[k].Silence(false)
		w.cold(k, time.Now())
		return
	case "slow":
		w.servers[k].Slow(f.Times)
		w.until(f.At + f.For)
		w.servers[k].Slow(1)
		return
	case "freeze", "kill", "wipe", "oldcopy", "restart":
	default:
		return
	}
	w.mu.Lock()
	busy := w.down[k]
	w.down[k] = true
	w.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		w.mu.Lock()
		delete(w.down, k)
		w.mu.Unlock()
	}()
	i := w.instances[k]
	if f.Kind == "freeze" {
		w.crowd.Frozen(i.Name)
		i.Signal(syscall.SIGSTOP)
		w.until(f.At + f.For)
		i.Signal(syscall.SIGCONT)
		if w.until(f.At + f.For + 500*time.Millisecond) {
			w.crowd.Thawed(i.Name)
		}
		return
	}
	copied := filepath.Join(w.Dir, i.Name+".old")
	if f.Kind == "oldcopy" {
		os.RemoveAll(copied)
		os.CopyFS(copied, os.DirFS(i.Dir))
		w.until(f.At + f.For/2)
	}
	if f.Kind == "restart" {
		time.AfterFunc(200*time.Millisecond, func() { w.crowd.Leave(i.Name) })
	} else {
		w.crowd.Killed(i.Name)
	}
	err := i.Stop(f.Kind != "restart")
	w.ended(k, time.Now())
	switch f.Kind {
	case "wipe":
		empty(i.Dir)
	case "oldcopy":
		empty(i.Dir)
		os.CopyFS(i.Dir, os.DirFS(copied))
	}
	if f.Kind != "restart" {
		w.until(f.At + f.For)
	}
	if err == nil && w.ctx.Err() == nil {
		err = w.up(k)
	}
	if err != nil && w.ctx.Err() == nil {
		w.mu.Lock()
		w.r.Errors = append(w.r.Errors, err.Error())
		w.mu.Unlock()
	}
}

// empty clears a folder.
func empty(dir string) {
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if e.Type()&fs.ModeSymlink == 0 {
			os.RemoveAll(filepath.Join(dir, e.Name()))
		}
	}
}

// colds has servers crash and start anew, one after the other.
func (w *run) colds() {
	for n := 0; ; n++ {
		if !w.until(2*time.Second + time.Duration(n)*w.Plan.Cold) {
			return
		}
		k := n % w.Plan.Servers
		w.cold(k, w.servers[k].Crash())
	}
}

// cold has the lists tell that a server started anew.
func (w *run) cold(k int, started time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, name := range w.names {
		late := 200*time.Millisecond + time.Duration(w.rng.Int64N(int64(800*time.Millisecond)))
		w.lists[n].Change(standin.EntryOf(w.servers[k], name, "SERVING", started), late)
	}
	w.coldS = append(w.coldS, w.servers[k].ID)
}

// sum reads the claims and makes the figures.
func (w *run) sum(end time.Time) error {
	r := w.r
	r.Broken, _, _ = w.ledger.Result()
	results := w.crowd.Results()
	r.Calls = len(results)
	seconds := int(w.Plan.For/time.Second) + 1
	r.BySecond = make([]float64, seconds)
	of := make([]int, seconds)
	for _, o := range results {
		r.Served += o.Worth / float64(r.Calls)
		if k := int(o.At / time.Second); k < seconds {
			r.BySecond[k] += o.Worth
			of[k]++
		}
	}
	for k := range of {
		r.BySecond[k] /= float64(max(of[k], 1))
	}
	for _, i := range w.instances {
		r.CPUCall += float64(i.CPU().Microseconds()) / float64(max(r.Calls, 1))
	}
	for _, s := range w.servers {
		worst, fallen, _, _ := s.Look()
		r.FellOver = r.FellOver || fallen
		if slices.Contains(w.coldS, s.ID) {
			r.ColdWait = max(r.ColdWait, float64(worst.Microseconds())/1000)
		}
	}
	if w.Plain {
		return nil
	}
	var all []*process
	for k, name := range w.names {
		of, err := read(name, w.claims(k))
		if err != nil {
			return err
		}
		for n, p := range of {
			if n < len(w.ends[name]) {
				p.to = w.ends[name][n]
			}
		}
		all = append(all, of...)
	}
	r.Findings = *examine(all, rules{instances: w.Plan.Instances, servers: w.Plan.Servers, machine: w.machines, delay: int64(2 * time.Second), burst: 0.5,
		leftOut: 0.25, calmFrom: w.calm.UnixNano(), end: end.UnixNano()})
	return nil
}
