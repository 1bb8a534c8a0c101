// Package wave runs the restart wave on loopback: real instances of the program, stand-in session servers of which one
// is replaced by a cold one, and callers. Most of the instances restart within half a minute, a part of them at a time,
// and come back with nothing but their last list.
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

// Options is what a wave is made from. Times that are 0 have the defaults of the brief.
type Options struct {
	Program       string // of the instances
	Settings      string // the operators' settings of each, %DIR% standing for its folder
	Instances     int
	Servers       int
	Seed          uint64
	Load          float64                        // of the planned load: 0.88 to 0.97 on most days; 0: drawn from that
	Planned       float64                        // calls a second, all instances together
	RestartShare  float64                        // of the instances that restart
	BatchShare    float64                        // of the instances, at a time
	WarmUp        time.Duration                  // before the wave
	RestartWindow time.Duration                  // within which all restarts begin
	After         time.Duration                  // after the wave
	Kill          bool                           // SIGKILL in place of SIGTERM
	Crash         bool                           // the cold server is one whose process crashed and started again unseen; else a new one
	Steady        bool                           // no restarts and no cold server: only what Rate brings, for Warm, Wave and After together
	RateFactor    func(at time.Duration) float64 // times the load; nil: 1
	Dir           string                         // for the instances' folders
}

func (o *Options) defaults() {
	set := func(x *float64, d float64) {
		if *x == 0 {
			*x = d
		}
	}
	span := func(x *time.Duration, d time.Duration) {
		if *x == 0 {
			*x = d
		}
	}
	set(&o.Planned, 66)
	set(&o.RestartShare, 0.93)
	set(&o.BatchShare, 0.28)
	span(&o.WarmUp, 10*time.Second)
	span(&o.RestartWindow, 28*time.Second)
	span(&o.After, 12*time.Second)
}

// Result is what a wave showed.
type Result struct {
	Seed           uint64  `json:"seed"`
	Instances      int     `json:"instances"`
	Servers        int     `json:"servers"`
	Load           float64 `json:"load"`
	MaxColdWaitMS  float64 `json:"cold_wait_max_ms"` // the longest that a set-up found at the cold server
	RefusalPointMS float64 `json:"refusal_point_ms"` // the wait beyond which it turns set-ups away
	FellOver       bool    `json:"fell_over"`
	ColdRefused    int     `json:"cold_refused"`
	Calls          int     `json:"calls"` // callers' calls; with redials, tries
	Tries          int     `json:"tries"`
	Attempts       int     `json:"attempts"`
	check.Violations
	Served          float64            `json:"served_share"`
	ServedBySecond  []float64          `json:"served_by_second"`
	OfferedBySecond []int              `json:"offered_by_second"`
	CutCalls        int                `json:"cut"`
	Restarts        int                `json:"restarts"`
	Errors          []string           `json:"errors,omitempty"`
	MaxDelayMS      float64            `json:"ran_late_ms"` // how late this rig itself ran at worst
	Samples         []Sample           `json:"samples"`
	RestartTimes    []float64          `json:"restart_at_s"`
	Outcomes        []standin.Outcome  `json:"-"`
	MaxWaitMS       map[string]float64 `json:"wait_by_server_ms"` // worst of each
	WallSeconds     float64            `json:"wall_s"`
}

// Sample is one look at the servers.
type Sample struct {
	AtS     float64   `json:"at_s"`
	WaitMS  []float64 `json:"wait_ms"` // of each server, the cold one last
	Served  float64   `json:"served"`  // of the calls first tried in the second before
	Serving int       `json:"serving"` // instances in the rotation
}

// Run plays one wave. An error is a fault of the rig or of an instance's start; what the program did wrong is in the
// result.
func Run(ctx context.Context, o Options) (*Result, error) {
	o.defaults()
	rng := rand.New(rand.NewPCG(o.Seed, 0x77617665))
	if o.Load == 0 {
		o.Load = 0.88 + rng.Float64()*0.09
	}
	p := processor.DrawParams(o.Planned, o.Servers, rng)
	ledger := check.New(check.Rules{ReleaseWait: 300 * time.Millisecond, DrainGrace: time.Second, Slack: 50 * time.Millisecond})
	began := time.Now()
	r := &Result{Seed: o.Seed, Instances: o.Instances, Servers: o.Servers, Load: o.Load, RefusalPointMS: float64(p.RefusalWait / 1e6)}
	w := &run{Options: o, ctx: ctx, r: r, ledger: ledger, rng: rng, params: p, began: began, lists: map[string]*standin.ListService{}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	w.ctx, w.group = ctx, g
	err := w.play()
	for _, i := range w.instances {
		i.Stop(true)
	}
	cancel()
	if waited := g.Wait(); err == nil {
		err = waited
	}
	if err != nil {
		return nil, err
	}
	w.sum()
	r.WallSeconds = time.Since(began).Seconds()
	return r, nil
}

// run is a wave under way.
type run struct {
	Options
	ctx       context.Context
	group     *errgroup.Group
	r         *Result
	ledger    *check.Ledger
	rng       *rand.Rand
	params    processor.Params
	began     time.Time
	names     []string
	instances []*host.Instance
	lists     map[string]*standin.ListService
	servers   []*standin.Server // the cold one last, once it is there
	crowd     *standin.CallerPool

	mu      sync.Mutex
	serving int
}

const hold = 9 * time.Second

// server starts a session server and gives its entry for an instance.
func (w *run) server(id string, cell int, started time.Time) (*standin.Server, error) {
	s, err := standin.NewServer(id, cell, w.params, started, hold, w.names, w.rng.Uint64(), w.ledger)
	if err != nil {
		return nil, err
	}
	w.group.Go(func() error { return s.Run(w.ctx) })
	return s, nil
}

func (w *run) play() error {
	for k := range w.Instances {
		w.names = append(w.names, fmt.Sprintf("n%d", k))
	}
	for k := range w.Servers {
		s, err := w.server(fmt.Sprintf("s-%08x", 0xa0+k), k, time.Time{})
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
	}
	w.crowd = standin.NewCallerPool(standin.Demand{Rate: w.Load * w.Planned, RateFactor: w.RateFactor, Class: "open-log",
		Tenants: map[string]float64{"slaney-vines": 0.55, "barrow-estate": 0.33, "suir-growers": 0.12}, Aim: 1200 * time.Millisecond,
		Deadline: 9 * time.Second, Patience: [2]float64{0.3, 0.4}, Redials: 2, LateValue: 0.25, Cells: w.Servers,
		RedialGap: [2]time.Duration{300 * time.Millisecond, time.Second}}, w.ledger, w.rng.Uint64())
	defer w.crowd.Close()
	for k, name := range w.names {
		var first []standin.Entry
		for _, s := range w.servers {
			first = append(first, standin.NewEntry(s, name, "SERVING", time.Time{}))
		}
		list, err := standin.NewListService(first, func(e standin.Entry, at time.Time) {
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
		if err := w.up(i); err != nil {
			return err
		}
	}
	calm := time.Now()
	w.began = calm
	total := w.WarmUp + w.RestartWindow + w.After
	if !w.Steady {
		w.group.Go(func() error { return w.trouble(calm) })
	}
	w.group.Go(func() error { w.sample(calm, total); return nil })
	return w.crowd.Run(w.ctx, total)
}

func (w *run) up(i *host.Instance) error {
	addr, err := i.Start(w.ctx, w.lists[i.Name].KnownList())
	if err != nil {
		return err
	}
	if err := w.crowd.AddInstance(w.ctx, i.Name, addr); err != nil {
		return err
	}
	w.mu.Lock()
	w.serving++
	w.mu.Unlock()
	return nil
}

// trouble replaces one server by a cold one just before the wave, and restarts instances batch by batch.
func (w *run) trouble(calm time.Time) error {
	rng := rand.New(rand.NewPCG(w.Seed, 0x74726f75))
	if !w.until(calm.Add(w.WarmUp - 2*time.Second)) {
		return nil
	}
	old := w.servers[w.Servers-1]
	if w.Crash {
		w.until(calm.Add(w.WarmUp - 300*time.Millisecond)) // while the first batch is being restarted
		started := old.Crash()
		for _, name := range w.names { // the list tells of it late: who starts meanwhile takes it for warm
			w.lists[name].AnnounceChange(standin.NewEntry(old, name, "SERVING", started), 4*time.Second+time.Duration(rng.Int64N(int64(3*time.Second))))
		}
		w.wave(calm, rng)
		return nil
	}
	started := time.Now()
	cold, err := w.server(fmt.Sprintf("s-%08x", 0xc0), old.Cell, started)
	if err != nil {
		return err
	}
	old.Drain()
	w.mu.Lock()
	w.servers = append(w.servers, cold)
	w.mu.Unlock()
	for _, name := range w.names { // the list is seconds late, for each instance in its own way
		late := 500*time.Millisecond + time.Duration(rng.Int64N(int64(2500*time.Millisecond)))
		w.lists[name].AnnounceChange(standin.NewEntry(old, name, "DRAINING", time.Time{}), late)
		w.lists[name].AnnounceChange(standin.NewEntry(cold, name, "SERVING", started), late)
		w.lists[name].AnnounceChange(standin.NewEntry(old, name, "DELETED", time.Time{}), 12*time.Second)
	}
	w.group.Go(func() error {
		if w.until(started.Add(11 * time.Second)) {
			old.Stop()
		}
		return nil
	})
	w.wave(calm, rng)
	return nil
}

// wave restarts instances batch by batch.
func (w *run) wave(calm time.Time, rng *rand.Rand) {
	order := rng.Perm(w.Instances)[:int(w.RestartShare*float64(w.Instances)+0.5)]
	batch := max(int(w.BatchShare*float64(w.Instances)), 1)
	batches := (len(order) + batch - 1) / batch
	for b := range batches {
		if !w.until(calm.Add(w.WarmUp + w.RestartWindow*time.Duration(b)/time.Duration(batches))) {
			return
		}
		for _, k := range order[b*batch : min((b+1)*batch, len(order))] {
			down := 200*time.Millisecond + time.Duration(rng.Int64N(int64(1300*time.Millisecond)))
			w.group.Go(func() error { w.restart(w.instances[k], down); return nil })
		}
	}
}

func (w *run) until(t time.Time) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

func (w *run) restart(i *host.Instance, down time.Duration) {
	w.mu.Lock()
	w.r.Restarts++
	w.serving--
	w.r.RestartTimes = append(w.r.RestartTimes, time.Since(w.began).Seconds())
	w.mu.Unlock()
	if w.Kill {
		w.crowd.InstanceKilled(i.Name)
	} else { // the front notices that the test fails
		time.AfterFunc(200*time.Millisecond, func() { w.crowd.RemoveInstance(i.Name) })
	}
	err := i.Stop(w.Kill)
	if err == nil {
		w.until(time.Now().Add(down))
		err = w.up(i)
	}
	if err != nil && w.ctx.Err() == nil {
		w.mu.Lock()
		w.r.Errors = append(w.r.Errors, err.Error())
		w.mu.Unlock()
	}
}

// sample looks at the servers ten times a second, and notes how late this rig runs itself.
func (w *run) sample(calm time.Time, total time.Duration) {
	const every = 100 * time.Millisecond
	for n := 1; time.Duration(n)*every <= total; n++ {
		due := calm.Add(time.Duration(n) * every)
		if !w.until(due) {
			return
		}
		w.mu.Lock()
		w.r.MaxDelayMS = max(w.r.MaxDelayMS, float64(time.Since(due).Microseconds())/1000)
		s := Sample{AtS: (time.Duration(n) * every).Seconds(), Serving: w.serving}
		for _, one := range w.servers {
			s.WaitMS = append(s.WaitMS, float64(min(one.ExpectedWait(), time.Minute).Microseconds())/1000)
		}
		w.r.Samples = append(w.r.Samples, s)
		w.mu.Unlock()
	}
}

// sum makes the figures of the result.
func (w *run) sum() {
	r := w.r
	r.Violations, r.Tries, r.Attempts = w.ledger.Result()
	r.Outcomes = w.crowd.Results()
	r.Calls = len(r.Outcomes)
	worth := 0.0
	bySecond, of := map[int]float64{}, map[int]int{}
	for _, o := range r.Outcomes {
		worth += o.Worth
		bySecond[int(o.At/time.Second)] += o.Worth
		of[int(o.At/time.Second)]++
		if o.Cut {
			r.CutCalls++
		}
	}
	r.Served = worth / float64(max(r.Calls, 1))
	for at := range int((w.WarmUp+w.RestartWindow+w.After)/time.Second) + 1 {
		r.ServedBySecond, r.OfferedBySecond = append(r.ServedBySecond, bySecond[at]/float64(max(of[at], 1))), append(r.OfferedBySecond, of[at])
	}
	for k := range r.Samples {
		if at := int(r.Samples[k].AtS); of[at] > 0 {
			r.Samples[k].Served = bySecond[at] / float64(of[at])
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
