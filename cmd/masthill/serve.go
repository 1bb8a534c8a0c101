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
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/control/levels"
	"masthill/control/recovery"
	"masthill/control/shared"
	"masthill/control/shares"
	"masthill/internal/caller"
	"masthill/internal/callws"
	"masthill/internal/config"
	"masthill/internal/ctl"
	"masthill/internal/exchange"
	"masthill/internal/journal"
	"masthill/internal/listener"
	"masthill/internal/logs"
	"masthill/internal/notify"
	"masthill/internal/peers"
	"masthill/internal/readiness"
	"masthill/internal/state"
)

const (
	// acceptFor is how long after SIGTERM new connections are accepted (PROTOCOL: they come for 0.2 to
	// 0.4 s), takeFor how long requests still come on open ones (0.2 s more), both with a margin.
	acceptFor, takeFor = 450 * time.Millisecond, 700 * time.Millisecond
	// killAfter, with the longest deadline counted as longestMost at most, is the time from SIGTERM to SIGKILL
	// (PROTOCOL). refuseLead before it, what still waits is refused; flushFor is the time that the last answers then get
	// to be written and read.
	killAfter, longestMost = 700 * time.Millisecond, 3 * time.Second
	refuseLead, flushFor   = 400 * time.Millisecond, 200 * time.Millisecond
	// drainAfter is how long after an operator's call idle connections are kept: the platform asks ten times a second and
	// stops new connections 0.2 s after a no, and callers that lose theirs before would only come again.
	drainAfter = 400 * time.Millisecond
	// settleFor is how long a start beside another process waits for the list, of the 6 s in which it is to be ready.
	settleFor = 1500 * time.Millisecond
	// endStep is how often an orderly end looks whether it is through.
	endStep = 5 * time.Millisecond
	// connPart and connEach bound the platform's callers by memory too: a connection's buffers, stacks and what
	// may be queued for it, in an eighth of the limit.
	connPart, connEach = 8, 32 << 10
	// memoryPart is the part of the memory limit that the Go heap may take; the rest is for the program's own
	// pages, stacks, socket buffers and files.
	memoryPart = 0.7
)

// front is one way in for callers.
type front interface {
	Drain(after time.Duration) // connections are closed as they have nothing open
	Resume()
	Unfinished() int // connections that a drain has still to serve
	Refuse()         // what still comes is refused at once
	Shutdown(ctx context.Context)
	Serve(ctx context.Context, l net.Listener) error
}

// serveCmd serves until SIGTERM.
type serveCmd struct{}

func (serveCmd) Run(s signals) error {
	p, err := config.Load(os.Getenv)
	own, ownErr := config.LoadOperatorSettings(os.Getenv)
	if faults := append(config.AllFaults(err), config.AllFaults(ownErr)...); len(faults) > 0 {
		return coded{exitUsage, fmt.Errorf("configuration: %w", faults)}
	}
	debug.FreeOSMemory() // the schema and its compiler are needed no more
	log, levels, err := logger(own)
	if err != nil {
		return coded{exitUsage, err}
	}
	return serve(p, own, s, log.With("node", p.Name), levels)
}

// logger makes the log that the settings ask for. MASTHILL_LOG=debug comes before their level, for all parts.
func logger(own *config.OperatorSettings) (*slog.Logger, *logs.Levels, error) {
	general, parts, err := logLevels(own.Log.Level, own.Log.Levels)
	if err != nil {
		return nil, nil, err
	}
	levels := logs.NewLevels(general, parts)
	return logs.New(logs.Options{Output: os.Stderr, JSON: own.Log.Format == "json", MaxRepeats: own.Log.MaxRepeats, Levels: levels}), levels, nil
}

// logLevels reads the names of a general level and of the levels by part.
func logLevels(general string, byPart map[string]string) (slog.Level, map[string]slog.Level, error) {
	if name := os.Getenv("MASTHILL_LOG"); name != "" {
		general = name
	}
	level, err := logs.ParseLevel(general)
	if err != nil {
		return 0, nil, fmt.Errorf("MASTHILL_LOG: %w", err)
	}
	parts := map[string]slog.Level{}
	for part, name := range byPart {
		if parts[part], err = logs.ParseLevel(name); err != nil {
			return 0, nil, fmt.Errorf("log.levels.%s: %w", part, err)
		}
	}
	return level, parts, nil
}

// instance is one running session controller, put together from its parts.
type instance struct {
	p           *config.Platform
	own         *config.OperatorSettings
	log         *slog.Logger
	logLevels   *logs.Levels
	options     exchange.Options // of the core, until it is made
	known       *state.Snapshot  // of the process before; nil: none
	passed      map[string]net.Listener
	manager     *notify.Manager
	core        *exchange.Exchange
	feed        *journal.Client
	calls       *caller.Server
	fronts      map[front]*listener.Listener
	listeners   map[string]net.Listener // the same by name, for a supervisor that takes them over
	keeper      *state.SnapshotWriter   // nil: nothing is kept
	recovery    *recovery.Recovery      // nil: off
	levels      *levels.Levels          // nil: off
	shared      *shared.Module          // nil: off
	shares      *shares.Shares          // nil: off
	controls    *callws.Front           // nil: off
	peers       *peers.Peers            // nil: off
	parts       []part
	descriptors *allocation
	started     time.Time
	reason      string // of the start
	snapshot    string // taken up, or why not
	listen      string
	state       readiness.State
	atWarning   atomic.Value // string
}

func serve(p *config.Platform, own *config.OperatorSettings, signals signals, log *slog.Logger, logLevels *logs.Levels) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.Cores))))
	debug.SetMemoryLimit(int64(float64(p.MemoryMB<<20) * memoryPart))
	if own.DeprecatedName {
		log.Warn("settings under an old name", "file", own.File, "why", oldName)
	}
	in := &instance{p: p, own: own, log: log, logLevels: logLevels, started: time.Now(), fronts: map[front]*listener.Listener{}, listeners: map[string]net.Listener{}}
	var err error
	if in.passed, err = notify.Listeners(os.Getenv); err != nil {
		return err
	}
	if in.manager, err = notify.Open(os.Getenv); err != nil {
		log.Warn("service manager not told", "err", err)
	}
	in.options = exchange.Options{Settings: p.Settings, Seed: p.Seed, Now: time.Now, Log: log.With(logs.PartKey, "core"), MemoryBytes: p.MemoryMB << 20}
	for _, make := range subsystems {
		one, err := make(in)
		if err != nil {
			return err
		}
		in.parts = append(in.parts, one)
	}
	for name, l := range in.passed {
		log.Warn("passed socket not used", "name", name, "addr", l.Addr().String())
		l.Close()
	}
	return in.run(signals)
}

// run starts all parts and waits for the end.
func (in *instance) run(signals signals) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	for _, one := range in.parts {
		if one.run != nil {
			g.Go(func() error { return one.run(ctx) })
		}
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			return nil
		case <-signals.term:
		}
		in.state.End()
		in.manager.Stopping("answers what it has taken")
		for _, one := range in.parts {
			if one.end != nil {
				one.end()
			}
		}
		in.end()
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
	g.Go(func() error { return in.manager.RunWatchdog(ctx, func() { in.core.UnansweredCalls() }) })
	g.Go(func() error { in.follow(ctx); return nil })
	if in.p.Admin != "" {
		in.settle(ctx)
	}
	pos, _ := in.feed.Position()
	in.state.MarkStarted() // before the line that tells so
	in.log.Info("serving", "listen", in.listen, "pos", pos, "start", in.reason, "snapshot", in.snapshot)
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// settle waits a moment for the list's service: an instance that is started beside the one before it, in an upgrade, must
// not send callers to offices that its own list does not know to have gone. Without the service it starts all the same.
func (in *instance) settle(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, settleFor)
	defer cancel()
	for !in.feed.IsLive() && limit.Err() == nil {
		time.Sleep(endStep)
	}
}

// follow has the fronts and the service manager do what the instance's state asks, until the end.
func (in *instance) follow(ctx context.Context) {
	for last := readiness.Starting; ctx.Err() == nil && last != readiness.Ending; {
		now := in.state.WaitForChange(ctx, last)
		if now == last {
			return
		}
		switch now {
		case readiness.Ready:
			for f := range in.fronts {
				f.Resume()
			}
			in.manager.Ready("serving " + in.listen)
		case readiness.Draining:
			for f := range in.fronts {
				f.Drain(drainAfter)
			}
			in.manager.Status("draining")
		}
		in.log.Info("state", "phase", now, "before", last)
		last = now
	}
}

// status is what the control socket tells.
func (in *instance) status() ctl.Status {
	core := in.core.Status()
	pos, heard := in.feed.Position()
	s := ctl.Status{Name: in.p.Name, Version: version(), PID: os.Getpid(), Phase: ctl.Serving, StartedAt: in.started, StartReason: in.reason,
		Snapshot: in.snapshot, Listen: in.listen, ListPos: pos, ListAgeMS: -1, MemoryLimitMB: in.p.MemoryMB, DescriptorLimit: in.p.Sockets, Core: core}
	if !heard.IsZero() {
		s.ListAgeMS = time.Since(heard).Milliseconds()
	}
	for _, one := range in.parts {
		if one.status != nil {
			one.status(&s)
		}
	}
	s.MemoryMB, s.Descriptors = ctl.Usage()
	s.ConfigWarning, _ = in.atWarning.Load().(string)
	switch in.state.Phase() {
	case readiness.Draining, readiness.Ending:
		s.Phase = ctl.Draining
	case readiness.Starting:
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
		feed.SetAddr(p.Journal)
	}
	old.Journal = p.Journal // read nowhere else
	if !slices.ContainsFunc(in.parts, func(one part) bool { return one.reload != nil }) {
		return // the settings' schema costs memory, and nobody would use them
	}
	own, err := config.LoadOperatorSettings(os.Getenv)
	if err != nil {
		log.Error("settings kept", "err", err)
		in.atWarning.Store("the last reload found faults: " + err.Error())
		return
	}
	for _, one := range in.parts {
		if one.reload != nil {
			one.reload(own)
		}
	}
}

// refuseAfter is when, after SIGTERM, what still waits is refused: in time before SIGKILL, which comes sooner the
// shorter the deadlines of the settings are, and never before all that may still come has come.
func refuseAfter(classes []exchange.Class) time.Duration {
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return max(takeFor, min(longest, longestMost)+killAfter-refuseLead)
}

// end is the planned end: new calls are taken as long as they may come, and all that was taken is answered. What comes
// later still, such as the rest of a request that was read in part, is answered or refused, to the last connection.
func (in *instance) end() {
	x, began := in.core, time.Now()
	in.log.Info("ending", "open", x.UnansweredCalls())
	time.Sleep(acceptFor)
	for _, l := range in.fronts {
		l.Drain()
	}
	time.Sleep(takeFor - time.Since(began))
	for f := range in.fronts {
		f.Drain(0)
	}
	unfinished := func() (n int) {
		for f := range in.fronts {
			n += f.Unfinished()
		}
		return n
	}
	last := refuseAfter(in.p.Names.Classes)
	for (unfinished() > 0 || x.UnansweredCalls() > 0) && time.Since(began) < last {
		time.Sleep(endStep)
	}
	for f := range in.fronts {
		f.Refuse() // before the core does, lest it be handed more
	}
	x.RefuseAll()
	ctx, cancel := context.WithTimeout(context.Background(), flushFor)
	defer cancel()
	var g errgroup.Group
	for f := range in.fronts {
		g.Go(func() error { f.Shutdown(ctx); return nil })
	}
	g.Wait()
	in.log.Info("ended", "after_ms", time.Since(began).Milliseconds())
}
