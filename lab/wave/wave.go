// Package wave runs a restart wave on loopback, with real instances of the program, stand-in session servers of which one
// is replaced by a cold one, and callers. Most of the instances restart within half a minute, in batches, and then know
// only their last list of servers.
package wave

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/lab/check"
	"masthill/lab/host"
	"masthill/lab/processor"
	"masthill/lab/standin"
)

// Options configures a wave. Planned, RestartShare, BatchShare and the times have defaults where they are 0.
type Options struct {
	Program       string // path of the program under test
	Settings      string // operators' settings of each instance; %DIR% is replaced by its folder
	Instances     int
	Servers       int
	Seed          uint64
	Load          float64                        // share of the planned load; 0: drawn from 0.88 to 0.97
	Planned       float64                        // calls per second, all instances together
	RestartShare  float64                        // share of the instances that restart
	BatchShare    float64                        // share of the instances that restart at a time
	WarmUp        time.Duration                  // duration before the wave
	RestartWindow time.Duration                  // span within which all restarts begin
	After         time.Duration                  // duration after the wave
	Kill          bool                           // restart with SIGKILL instead of SIGTERM
	Crash         bool                           // the cold server is one that crashed and restarted; else a new one
	Steady        bool                           // no restarts and no cold server: only calls, for the three times together
	RateFactor    func(at time.Duration) float64 // multiplies the load; nil: 1
	Dir           string                         // parent of the instances' folders
}

// defaults sets the options that are 0 to their defaults.
func (o *Options) defaults() {
	setFloat := func(x *float64, d float64) {
		if *x == 0 {
			*x = d
		}
	}
	setDuration := func(x *time.Duration, d time.Duration) {
		if *x == 0 {
			*x = d
		}
	}
	setFloat(&o.Planned, 66)
	setFloat(&o.RestartShare, 0.93)
	setFloat(&o.BatchShare, 0.28)
	setDuration(&o.WarmUp, 10*time.Second)
	setDuration(&o.RestartWindow, 28*time.Second)
	setDuration(&o.After, 12*time.Second)
}

// Result is the outcome of a wave.
type Result struct {
	Seed           uint64  `json:"seed"`
	Instances      int     `json:"instances"`
	Servers        int     `json:"servers"`
	Load           float64 `json:"load"`
	MaxColdWaitMS  float64 `json:"cold_wait_max_ms"` // longest wait expected for a set-up at the cold server
	RefusalPointMS float64 `json:"refusal_point_ms"` // wait above which servers refuse set-ups
	FellOver       bool    `json:"fell_over"`
	ColdRefused    int     `json:"cold_refused"`
	Calls          int     `json:"calls"` // calls of callers, redials not counted
	Tries          int     `json:"tries"`
	Attempts       int     `json:"attempts"`
	check.Violations
	Served          float64            `json:"served_share"`
	ServedBySecond  []float64          `json:"served_by_second"`
	OfferedBySecond []int              `json:"offered_by_second"`
	CutCalls        int                `json:"cut"`
	Restarts        int                `json:"restarts"`
	Errors          []string           `json:"errors,omitempty"`
	MaxDelayMS      float64            `json:"ran_late_ms"` // longest delay of this process's own sampling timer
	Samples         []Sample           `json:"samples"`
	RestartTimes    []float64          `json:"restart_at_s"`
	Outcomes        []standin.Outcome  `json:"-"`
	MaxWaitMS       map[string]float64 `json:"wait_by_server_ms"` // longest wait expected at each server
	WallSeconds     float64            `json:"wall_s"`
}

// Sample is the state of the servers at one moment.
type Sample struct {
	AtS     float64   `json:"at_s"`
	WaitMS  []float64 `json:"wait_ms"` // expected wait at each server, a new cold one last
	Served  float64   `json:"served"`  // served share of the calls first tried in the same second
	Serving int       `json:"serving"` // number of instances in the rotation
}

// Run runs one wave. An error means that the setup or the first start of an instance failed; rule violations and failed
// restarts are in the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	o.defaults()
	rng := rand.New(rand.NewPCG(o.Seed, 0x77617665))
	if o.Load == 0 {
		o.Load = 0.88 + rng.Float64()*0.09
	}
	p := processor.DrawParams(o.Planned, o.Servers, rng)
	ledger := check.New(check.Rules{ReleaseWait: 300 * time.Millisecond, DrainGrace: time.Second, Slack: 50 * time.Millisecond})
	startedAt := time.Now()
	r := &Result{Seed: o.Seed, Instances: o.Instances, Servers: o.Servers, Load: o.Load, RefusalPointMS: float64(p.RefusalWait / 1e6)}
	w := &waveRun{Options: o, ctx: ctx, result: r, ledger: ledger, rng: rng, params: p, startedAt: startedAt, lists: map[string]*standin.ListService{}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	w.ctx, w.group = ctx, g
	err := w.execute()
	for _, i := range w.instances {
		i.Stop(true)
	}
	cancel()
	if groupErr := g.Wait(); err == nil {
		err = groupErr
	}
	if err != nil {
		return nil, err
	}
	w.summarize()
	r.WallSeconds = time.Since(startedAt).Seconds()
	return r, nil
}

// waveRun is the state of a running wave.
type waveRun struct {
	Options
	ctx       context.Context
	group     *errgroup.Group
	result    *Result
	ledger    *check.Ledger
	rng       *rand.Rand
	params    processor.Params
	startedAt time.Time
	names     []string
	instances []*host.Instance
	lists     map[string]*standin.ListService
	servers   []*standin.Server // a new cold one is appended when it starts
	callers   *standin.CallerPool

	mu      sync.Mutex
	serving int // number of instances in the rotation
}

// meanCallLength is the mean length of calls at the servers.
const meanCallLength = 9 * time.Second

// startServer starts a session server in a cell. startedAt is the zero time for a warm one.
func (w *waveRun) startServer(id string, cell int, startedAt time.Time) (*standin.Server, error) {
	s, err := standin.NewServer(id, cell, w.params, startedAt, meanCallLength, w.names, w.rng.Uint64(), w.ledger)
	if err != nil {
		return nil, err
	}
	w.group.Go(func() error { return s.Run(w.ctx) })
	return s, nil
}

// execute starts servers, list services and instances, and runs the callers and the wave to their end.
func (w *waveRun) execute() error {
	for k := range w.Instances {
		w.names = append(w.names, fmt.Sprintf("n%d", k))
	}
	for k := range w.Servers {
		s, err := w.startServer(fmt.Sprintf("s-%08x", 0xa0+k), k, time.Time{})
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
	}
	w.callers = standin.NewCallerPool(standin.Demand{Rate: w.Load * w.Planned, RateFactor: w.RateFactor, Class: "open-log",
		Tenants: map[string]float64{"slaney-vines": 0.55, "barrow-estate": 0.33, "suir-growers": 0.12}, Aim: 1200 * time.Millisecond,
		Deadline: 9 * time.Second, Patience: [2]float64{0.3, 0.4}, Redials: 2, LateValue: 0.25, Cells: w.Servers,
		RedialGap: [2]time.Duration{300 * time.Millisecond, time.Second}}, w.ledger, w.rng.Uint64())
	defer w.callers.Close()
	for k, name := range w.names {
		var initial []standin.Entry
		for _, s := range w.servers {
			initial = append(initial, standin.NewEntry(s, name, "SERVING", time.Time{}))
		}
		list, err := standin.NewListService(initial, func(e standin.Entry, at time.Time) {
			if e.State != "SERVING" {
				w.ledger.DrainAnnounced(name, e.ID, at)
			}
		})
		if err != nil {
			return err
		}
		w.lists[name] = list
		w.group.Go(func() error { return list.Run(w.ctx) })
		dir := filepath.Join(w.Dir, name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		i := &host.Instance{Name: name, Dir: dir, Program: w.Program, Settings: strings.ReplaceAll(w.Settings, "%DIR%", dir),
			Config: host.PlatformConfig(name, k, host.Site{Instances: w.Instances, Servers: w.Servers, Planned: w.Planned}, list.Addr(), w.rng.Uint64())}
		w.instances = append(w.instances, i)
		if err := w.startInstance(i); err != nil {
			return err
		}
	}
	calmFrom := time.Now()
	w.startedAt = calmFrom
	total := w.WarmUp + w.RestartWindow + w.After
	if !w.Steady {
		w.group.Go(func() error { return w.injectFaults(calmFrom) })
	}
	w.group.Go(func() error { w.sample(calmFrom, total); return nil })
	return w.callers.Run(w.ctx, total)
}

// startInstance starts the process of an instance and adds the instance to the rotation.
func (w *waveRun) startInstance(i *host.Instance) error {
	addr, err := i.Start(w.ctx, w.lists[i.Name].KnownList())
	if err != nil {
		return err
	}
	if err := w.callers.AddInstance(w.ctx, i.Name, addr); err != nil {
		return err
	}
	w.mu.Lock()
	w.serving++
	w.mu.Unlock()
	return nil
}

// injectFaults replaces one server by a cold one, or crashes it, just before the wave, and then restarts instances in
// batches.
func (w *waveRun) injectFaults(calmFrom time.Time) error {
	rng := rand.New(rand.NewPCG(w.Seed, 0x74726f75))
	if !w.sleepUntil(calmFrom.Add(w.WarmUp - 2*time.Second)) {
		return nil
	}
	old := w.servers[w.Servers-1]
	if w.Crash {
		w.sleepUntil(calmFrom.Add(w.WarmUp - 300*time.Millisecond)) // just before the first batch restarts
		started := old.Crash()
		for _, name := range w.names { // announced late: an instance that starts meanwhile takes the server for warm
			w.lists[name].AnnounceChange(standin.NewEntry(old, name, "SERVING", started), 4*time.Second+time.Duration(rng.Int64N(int64(3*time.Second))))
		}
		w.restartInBatches(calmFrom, rng)
		return nil
	}
	started := time.Now()
	cold, err := w.startServer(fmt.Sprintf("s-%08x", 0xc0), old.Cell, started)
	if err != nil {
		return err
	}
	old.Drain()
	w.mu.Lock()
	w.servers = append(w.servers, cold)
	w.mu.Unlock()
	for _, name := range w.names { // announced 0.5 to 3 s late, with a different delay for each instance
		late := 500*time.Millisecond + time.Duration(rng.Int64N(int64(2500*time.Millisecond)))
		w.lists[name].AnnounceChange(standin.NewEntry(old, name, "DRAINING", time.Time{}), late)
		w.lists[name].AnnounceChange(standin.NewEntry(cold, name, "SERVING", started), late)
		w.lists[name].AnnounceChange(standin.NewEntry(old, name, "DELETED", time.Time{}), 12*time.Second)
	}
	w.group.Go(func() error {
		if w.sleepUntil(started.Add(11 * time.Second)) {
			old.Stop()
		}
		return nil
	})
	w.restartInBatches(calmFrom, rng)
	return nil
}

// restartInBatches restarts instances in batches, spread evenly over RestartWindow.
func (w *waveRun) restartInBatches(calmFrom time.Time, rng *rand.Rand) {
	order := rng.Perm(w.Instances)[:int(w.RestartShare*float64(w.Instances)+0.5)]
	batch := max(int(w.BatchShare*float64(w.Instances)), 1)
	batches := (len(order) + batch - 1) / batch
	for b := range batches {
		if !w.sleepUntil(calmFrom.Add(w.WarmUp + w.RestartWindow*time.Duration(b)/time.Duration(batches))) {
			return
		}
		for _, k := range order[b*batch : min((b+1)*batch, len(order))] {
			down := 200*time.Millisecond + time.Duration(rng.Int64N(int64(1300*time.Millisecond)))
			w.group.Go(func() error { w.restart(w.instances[k], down); return nil })
		}
	}
}

// sleepUntil waits until a time, and tells whether the run goes on.
func (w *waveRun) sleepUntil(t time.Time) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

// restart stops an instance and starts it again after down. A failure is added to the errors of the result.
func (w *waveRun) restart(i *host.Instance, down time.Duration) {
	w.mu.Lock()
	w.result.Restarts++
	w.serving--
	w.result.RestartTimes = append(w.result.RestartTimes, time.Since(w.startedAt).Seconds())
	w.mu.Unlock()
	if w.Kill {
		w.callers.InstanceKilled(i.Name)
	} else { // the front's health check fails 200 ms later
		time.AfterFunc(200*time.Millisecond, func() { w.callers.RemoveInstance(i.Name) })
	}
	err := i.Stop(w.Kill)
	if err == nil {
		w.sleepUntil(time.Now().Add(down))
		err = w.startInstance(i)
	}
	if err != nil && w.ctx.Err() == nil {
		w.mu.Lock()
		w.result.Errors = append(w.result.Errors, err.Error())
		w.mu.Unlock()
	}
}

// sample records the state of the servers ten times per second, and the longest delay of its own timer.
func (w *waveRun) sample(calmFrom time.Time, total time.Duration) {
	const interval = 100 * time.Millisecond
	for n := 1; time.Duration(n)*interval <= total; n++ {
		due := calmFrom.Add(time.Duration(n) * interval)
		if !w.sleepUntil(due) {
			return
		}
		w.mu.Lock()
		w.result.MaxDelayMS = max(w.result.MaxDelayMS, float64(time.Since(due).Microseconds())/1000)
		s := Sample{AtS: (time.Duration(n) * interval).Seconds(), Serving: w.serving}
		for _, server := range w.servers {
			s.WaitMS = append(s.WaitMS, float64(min(server.ExpectedWait(), time.Minute).Microseconds())/1000)
		}
		w.result.Samples = append(w.result.Samples, s)
		w.mu.Unlock()
	}
}

// summarize computes the figures of the result.
func (w *waveRun) summarize() {
	r := w.result
	r.Violations, r.Tries, r.Attempts = w.ledger.Result()
	r.Outcomes = w.callers.Results()
	r.Calls = len(r.Outcomes)
	worth := 0.0
	bySecond, offered := map[int]float64{}, map[int]int{}
	for _, o := range r.Outcomes {
		worth += o.Worth
		bySecond[int(o.At/time.Second)] += o.Worth
		offered[int(o.At/time.Second)]++
		if o.Cut {
			r.CutCalls++
		}
	}
	r.Served = worth / float64(max(r.Calls, 1))
	for at := range int((w.WarmUp+w.RestartWindow+w.After)/time.Second) + 1 {
		r.ServedBySecond, r.OfferedBySecond = append(r.ServedBySecond, bySecond[at]/float64(max(offered[at], 1))), append(r.OfferedBySecond, offered[at])
	}
	for k := range r.Samples {
		if at := int(r.Samples[k].AtS); offered[at] > 0 {
			r.Samples[k].Served = bySecond[at] / float64(offered[at])
		}
	}
	r.MaxWaitMS = map[string]float64{}
	for k, s := range w.servers {
		worst, fallen, _, refused := s.Stats()
		r.MaxWaitMS[s.ID] = float64(worst.Microseconds()) / 1000
		if r.FellOver = r.FellOver || fallen; k == w.Servers || w.Crash && k == w.Servers-1 {
			r.MaxColdWaitMS, r.ColdRefused = float64(worst.Microseconds())/1000, refused
		}
	}
}
