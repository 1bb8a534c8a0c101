package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/control"
	"masthill/control/goodput"
	"masthill/control/join"
	"masthill/control/levels"
	"masthill/control/recovery"
	"masthill/control/shares"
	"masthill/internal/caller"
	"masthill/internal/callws"
	"masthill/internal/config"
	"masthill/internal/ctl"
	"masthill/internal/exchange"
	"masthill/internal/journal"
	"masthill/internal/logs"
	"masthill/internal/notify"
	"masthill/internal/office"
	"masthill/internal/state"
	"masthill/internal/store"
)

const (
	// acceptFor is how long after SIGTERM new connections are accepted (PROTOCOL: they come for 0.2 to
	// 0.4 s), takeFor how long requests still come on open ones (0.2 s more), both with a margin.
	acceptFor, takeFor = 500 * time.Millisecond, 800 * time.Millisecond
	// refuseAfter is when what still waits is refused: SIGKILL comes no sooner than 3.7 s after SIGTERM.
	refuseAfter = 3300 * time.Millisecond
	// flushFor is the time that the last answers get to be written.
	flushFor = 200 * time.Millisecond
	// callersPart and socketsPart are the shares in a hundred of the descriptors for the two fronts' callers, and
	// alonePart is that of the platform's where the other front is off. Good callers hold a third at most; the
	// rest is for offices, the journal, the store and spares.
	callersPart, socketsPart, alonePart = 40, 30, 70
	// connPart and connEach bound the platform's callers by memory too: a connection's buffers, stacks and what
	// may be queued for it, in an eighth of the limit.
	connPart, connEach = 8, 32 << 10
	// memoryPart is the part of the memory limit that the Go heap may take; the rest is for the program's own
	// pages, stacks, socket buffers and files.
	memoryPart = 0.7
)

// front is one way in for callers.
type front interface {
	Drain()
	Close()
	Serve(ctx context.Context, l net.Listener) error
}

// serveCmd serves until SIGTERM.
type serveCmd struct{}

func (serveCmd) Run(s signals) error {
	p, err := config.Load(os.Getenv)
	own, ownErr := config.LoadProject(os.Getenv)
	if faults := append(config.All(err), config.All(ownErr)...); len(faults) > 0 {
		return coded{exitUsage, fmt.Errorf("configuration: %w", faults)}
	}
	debug.FreeOSMemory() // the schema and its compiler are needed no more
	log, err := logger(own)
	if err != nil {
		return coded{exitUsage, err}
	}
	return serve(p, own, s, log.With("node", p.Name))
}

// logger makes the log that the settings ask for. MASTHILL_LOG=debug comes before their level, for all parts.
func logger(own *config.Project) (*slog.Logger, error) {
	o := logs.Options{Out: os.Stderr, JSON: own.Log.Format == "json", Repeats: own.Log.Repeats, Levels: map[string]slog.Level{}}
	level := own.Log.Level
	if name := os.Getenv("MASTHILL_LOG"); name != "" {
		level = name
	}
	var err error
	if o.Level, err = logs.Level(level); err != nil {
		return nil, fmt.Errorf("MASTHILL_LOG: %w", err)
	}
	for part, name := range own.Log.Levels {
		if o.Levels[part], err = logs.Level(name); err != nil {
			return nil, fmt.Errorf("log.levels.%s: %w", part, err)
		}
	}
	return logs.New(o), nil
}

// instance is one running session controller, put together from its parts.
type instance struct {
	p         *config.Platform
	own       *config.Project
	log       *slog.Logger
	manager   *notify.Manager
	core      *exchange.Exchange
	feed      *journal.Client
	fronts    map[front]net.Listener
	listeners map[string]net.Listener // the same by name, for a supervisor that takes them over
	keeper    *state.Keeper           // nil: nothing is kept
	recovery  *recovery.Recovery
	levels    *levels.Levels // nil: off
	started   time.Time
	reason    string // of the start
	snapshot  string // taken up, or why not
	listen    string
	draining  atomic.Bool
	ready     atomic.Bool
	atWarning atomic.Value // string
}

func serve(p *config.Platform, own *config.Project, signals signals, log *slog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.Cores))))
	debug.SetMemoryLimit(int64(float64(p.MemoryMB<<20) * memoryPart))
	if own.Old {
		log.Warn("settings under an old name", "file", own.File, "why", oldName)
	}
	in := &instance{p: p, own: own, log: log, started: time.Now(), fronts: map[front]net.Listener{}, listeners: map[string]net.Listener{}}
	passed, err := notify.Listeners(os.Getenv)
	if err != nil {
		return err
	}
	if in.manager, err = notify.Open(os.Getenv); err != nil {
		log.Warn("service manager not told", "err", err)
	}
	known := in.load()
	options := exchange.Options{Settings: p.Settings, Seed: p.Seed, Now: time.Now, Log: log.With(logs.Part, "core"), Memory: p.MemoryMB << 20}
	if own.Recovery.Enabled {
		var brought []recovery.Evidence
		if known != nil {
			brought = known.Evidence()
		}
		in.recovery = recovery.New(recovery.Settings{Control: p.Settings, Planned: p.Planned}, p.Seed, in.started.UnixNano(), brought)
		options.Join = append(options.Join, join.Module(in.recovery))
	}
	if own.Levels.Enabled {
		var recovering func(int64) bool
		if in.recovery != nil {
			recovering = in.recovery.Recovering
		}
		part := log.With(logs.Part, "levels")
		in.levels = levels.New(p.Settings, p.Seed, in.started.UnixNano(), recovering, func(c levels.Change) {
			part.Warn("level of service", "from", c.From, "to", c.To, "reason", c.Reason, "score", math.Round(c.Score*100)/100, "until", c.Out)
		})
		if known != nil {
			in.levels.Restore(in.started.UnixNano(), known.Levels)
		}
		if in.keeper != nil {
			in.keeper.Levels = in.history
		}
		options.Join = append(options.Join, join.Module(in.levels))
	}
	if own.Shares.Enabled {
		options.Join = append(options.Join, join.Module(shares.New(p.Settings, p.Shares, p.Planned, p.Seed, in.started.UnixNano())))
	}
	if own.Goodput.Enabled {
		part := log.With(logs.Part, "goodput")
		options.Join = append(options.Join, join.Module(goodput.New(goodput.Settings{Control: p.Settings}, p.Seed, in.started.UnixNano(), func(c goodput.Change) {
			part.Warn("set-ups out", "state", c.State, "reason", c.Reason, "limit", math.Round(c.Limit*10)/10, "out", math.Round(c.Out*10)/10,
				"in_vain", math.Round(c.Vain*100)/100)
		})))
	}
	var records *store.Store
	if own.Store.Driver != "" {
		records, err = store.Open(store.Options{Driver: own.Store.Driver, DSN: own.Store.DSN, Instance: p.Name, Log: log.With(logs.Part, "store")})
		if err != nil {
			return err
		}
		options.Record = records.Put
	}
	var calls *caller.Server
	options.Stray = func(id string, cut bool) { calls.Release(id, cut) }
	if in.core, err = exchange.New(options); err != nil {
		return err
	}
	part := callersPart
	if own.CallWS.Listen == "" {
		part = alonePart
	}
	calls = caller.New(caller.Options{Core: in.core, Log: log.With(logs.Part, "callers"), Names: p.Names,
		MaxOpen: min(p.Sockets*part/100, p.MemoryMB<<20/connPart/connEach)})
	offices := office.NewPool(office.Options{Core: in.core, Log: log.With(logs.Part, "offices"), ConnectWait: p.ConnectWait,
		Dials: map[string]office.Dial{"": office.SIP(p.Name, p.Settings.Fields), "ws": callws.Dial(p.Settings.Fields)}})
	in.core.Connect(offices)
	in.feed = &journal.Client{Addr: p.Journal, Log: log.With(logs.Part, "list"), Tell: in.core.Members}
	in.feed.Start(p.Known)
	if known != nil {
		in.core.Restore(known.Learnt)
	}

	l, err := listen(passed, "callers", p.Listen)
	if err != nil {
		return err
	}
	in.fronts[calls], in.listeners["callers"], in.listen = l, l, l.Addr().String()
	if own.CallWS.Listen != "" {
		if l, err = listen(passed, "callws", own.CallWS.Listen); err != nil {
			return fmt.Errorf("callws.listen: %w", err)
		}
		in.listeners["callws"] = l
		in.fronts[callws.New(callws.Options{Core: in.core, Log: log.With(logs.Part, "callws"), Names: p.Names, Callers: own.CallWS.Callers,
			MaxOpen: p.Sockets * socketsPart / 100})] = l
		log.Info("serving call control", "listen", l.Addr().String())
	}
	for name, l := range passed {
		log.Warn("passed socket not used", "name", name, "addr", l.Addr().String())
		l.Close()
	}
	return in.run(signals, offices, records)
}

// listen takes a passed socket over, or opens one.
func listen(passed map[string]net.Listener, name, addr string) (net.Listener, error) {
	if l := passed[name]; l != nil {
		delete(passed, name)
		return l, nil
	}
	return net.Listen("tcp", addr)
}

// load takes up the snapshot of the process before, where the settings name a directory, and finds the reason of this
// start: what a supervisor says, or else what the snapshot tells.
func (in *instance) load() *state.Snapshot {
	in.reason, in.snapshot = "first", "off"
	var known *state.Snapshot
	if dir := in.own.State.Dir; dir != "" {
		in.keeper = &state.Keeper{Dir: dir, Instance: in.p.Name, Every: in.own.State.Every, Log: in.log.With(logs.Part, "state"),
			Learnt: func() (l control.Learnt) { return in.core.Learnt() }}
		s, err := state.Load(dir, in.p.Name, time.Now(), in.own.State.MostAge)
		switch {
		case errors.Is(err, state.ErrNone):
			in.snapshot = "none"
		case err != nil:
			in.reason, in.snapshot = "unknown", err.Error()
			in.log.Warn("snapshot left out", "why", err)
		default:
			known, in.snapshot = s, fmt.Sprintf("taken up, %v old", time.Since(s.At).Round(time.Millisecond))
			in.reason = "crash"
			if s.Ended != "" {
				in.reason = "restart"
			}
		}
	}
	if told := os.Getenv("MASTHILL_START"); told != "" {
		in.reason = told
	}
	return known
}

// run starts all parts and waits for the end.
func (in *instance) run(signals signals, offices *office.Pool, records *store.Store) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return in.core.Run(ctx) })
	g.Go(func() error { return offices.Run(ctx) })
	g.Go(func() error { return in.feed.Run(ctx) })
	if records != nil {
		g.Go(func() error { return records.Run(ctx) })
	}
	if in.keeper != nil {
		g.Go(func() error { return in.keeper.Run(ctx) })
	}
	if path := in.own.Socket.Path; path != "" {
		l, err := ctl.Listen(path)
		if err != nil { // calls do not depend on it
			in.log.Error("control socket not opened", "err", err)
		} else {
			g.Go(func() error {
				return ctl.Serve(ctx, l, path, in.log.With(logs.Part, "socket"), in.status, in.listeners)
			})
		}
	}
	for f, l := range in.fronts {
		g.Go(func() error { return f.Serve(ctx, l) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			return nil
		case <-signals.term:
		}
		in.draining.Store(true)
		in.manager.Stopping("answers what it has taken")
		end(in.core, in.fronts, in.log)
		stop()
		return nil
	})
	g.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-signals.reload:
				in.manager.Reloading()
				in.reload()
				in.manager.Ready("serving " + in.listen)
			}
		}
	})
	if in.own.Levels.Enabled {
		g.Go(func() error { in.gauge(ctx); return nil })
	}
	g.Go(func() error { return in.manager.Watch(ctx, func() { in.core.Open() }) })
	pos, _ := in.feed.Position()
	in.log.Info("serving", "listen", in.listen, "pos", pos, "start", in.reason, "snapshot", in.snapshot)
	in.ready.Store(true)
	in.manager.Ready("serving " + in.listen)
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// gaugeEvery is how often the instance's own readings are taken for the levels: a few reads of /proc.
const gaugeEvery = time.Second

// gauge brings the levels what no event tells.
func (in *instance) gauge(ctx context.Context) {
	tick := time.NewTicker(gaugeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		memory, descriptors := ctl.Usage()
		in.core.Gauge(levels.Memory, memory/float64(in.p.MemoryMB))
		in.core.Gauge(levels.Descriptors, float64(descriptors)/float64(in.p.Sockets))
		in.core.Gauge(levels.Inbox, in.core.InboxUsed())
		if _, heard := in.feed.Position(); !heard.IsZero() {
			in.core.Gauge(levels.List, time.Since(heard).Seconds()/10)
		}
	}
}

// history are the last changes of the level of service, also after the core's end.
func (in *instance) history() (all []levels.Change) {
	looked := false
	in.core.Look(func() { all, looked = in.levels.History(), true })
	if !looked {
		all = in.levels.History() // nothing changes it any more
	}
	return all
}

// status is what the control socket tells.
func (in *instance) status() ctl.Status {
	core := in.core.Status()
	pos, heard := in.feed.Position()
	s := ctl.Status{Name: in.p.Name, Version: version(), PID: os.Getpid(), Phase: ctl.Serving, Started: in.started, StartReason: in.reason,
		Snapshot: in.snapshot, Listen: in.listen, ListPos: pos, ListAgeMS: -1, MemoryMostMB: in.p.MemoryMB, SocketsMost: in.p.Sockets, Core: core}
	if !heard.IsZero() {
		s.ListAgeMS = time.Since(heard).Milliseconds()
	}
	if in.levels != nil {
		s.Levels = in.history()
	}
	s.MemoryMB, s.Descriptors = ctl.Usage()
	s.ConfigWarning, _ = in.atWarning.Load().(string)
	switch {
	case in.draining.Load():
		s.Phase = ctl.Draining
	case !in.ready.Load():
		s.Phase = ctl.Starting
	}
	for _, m := range core.Modules {
		if s.Phase == ctl.Serving && m.Module == "recovery" && m.State != "done" {
			s.Phase = ctl.Recovering
		}
	}
	return s
}

// reload takes a new configuration. Only the journal service can change under a running program; calls and
// connections go on. A file that is wrong changes nothing.
func (in *instance) reload() {
	old, feed, log := in.p, in.feed, in.log
	p, err := config.Load(os.Getenv)
	if err != nil {
		log.Error("configuration kept", "err", err)
		in.atWarning.Store("the last reload found faults: " + err.Error())
		return
	}
	in.atWarning.Store("")
	if p.Listen != old.Listen || p.Name != old.Name || p.Cores != old.Cores || p.MemoryMB != old.MemoryMB ||
		p.Sockets != old.Sockets || !reflect.DeepEqual(p.Settings, old.Settings) {
		in.atWarning.Store("name, listen, limits and settings changed: they take a restart")
		log.Warn("configuration read in part", "why", "name, listen, limits and settings take a restart")
	}
	log.Info("configuration read", "journal", p.Journal)
	if p.Journal != old.Journal {
		feed.Move(p.Journal)
	}
	old.Journal = p.Journal // read nowhere else
}

// end is the planned end: new calls are taken as long as they may come, and all that was taken is answered.
func end(x *exchange.Exchange, fronts map[front]net.Listener, log *slog.Logger) {
	began := time.Now()
	log.Info("ending", "open", x.Open())
	for f := range fronts {
		f.Drain()
	}
	time.Sleep(acceptFor)
	for _, l := range fronts {
		l.Close()
	}
	time.Sleep(takeFor - time.Since(began))
	for x.Open() > 0 && time.Since(began) < refuseAfter {
		time.Sleep(5 * time.Millisecond)
	}
	x.RefuseAll()
	for f := range fronts {
		f.Close()
	}
	time.Sleep(flushFor)
	log.Info("ended", "after_ms", time.Since(began).Milliseconds())
}
