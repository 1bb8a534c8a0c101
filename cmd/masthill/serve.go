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
	// acceptPeriod is how long after SIGTERM new connections are accepted: the platform still opens some for 0.2 to
	// 0.4 s. requestPeriod is how long after SIGTERM requests are expected on open connections: 0.2 s more. Both have a
	// margin.
	acceptPeriod, requestPeriod = 450 * time.Millisecond, 700 * time.Millisecond
	// The platform sends SIGKILL killDelay plus the longest deadline, which counts as maxCountedDeadline at most, after
	// SIGTERM. refuseMargin before that, the calls that still wait are refused; the last answers then have flushTimeout
	// to be written and read.
	killDelay, maxCountedDeadline = 700 * time.Millisecond, 3 * time.Second
	refuseMargin, flushTimeout    = 400 * time.Millisecond, 200 * time.Millisecond
	// drainDelay is how long idle connections are kept after an operator orders a drain. The platform checks the health
	// ten times a second and stops new connections 0.2 s after a check fails; callers that lost a connection earlier
	// would only reconnect.
	drainDelay = 400 * time.Millisecond
	// listWaitTimeout is how long a start waits for the journal service where another process may be serving. An
	// instance has 6 s to become ready.
	listWaitTimeout = 1500 * time.Millisecond
	// pollInterval is the pause between checks of a condition that is waited for.
	pollInterval = 5 * time.Millisecond
	// The connections of the platform's callers may take one part in connMemoryDivisor of the memory limit. Each counts
	// as connMemoryBytes, for its buffers, its stacks and what may be queued for it.
	connMemoryDivisor, connMemoryBytes = 8, 32 << 10
	// heapFraction is the fraction of the memory limit that Go's runtime may use; the rest is for the program's own
	// pages, stacks, socket buffers and files.
	heapFraction = 0.7
)

// front is a server that callers connect to, over SIP or WebSocket.
type front interface {
	Drain(after time.Duration) // beginning after that time, closes connections that have no call open
	Resume()                   // ends a drain
	Unfinished() int           // connections that still have calls open
	Refuse()                   // from now on, requests are refused at once
	Shutdown(ctx context.Context)
	HandOverReleases() // hands the releases that wait for their callers to the next process; called once no connection is left
	Serve(ctx context.Context, l net.Listener) error
}

// serveCmd serves until SIGTERM.
type serveCmd struct{}

func (serveCmd) Run(s signals) error {
	p, err := config.Load(os.Getenv)
	settings, settingsErr := config.LoadOperatorSettings(os.Getenv)
	if faults := append(config.AllFaults(err), config.AllFaults(settingsErr)...); len(faults) > 0 {
		return exitError{exitUsage, fmt.Errorf("configuration: %w", faults)}
	}
	debug.FreeOSMemory() // the schema and its compiler are no longer needed
	log, levels, err := logger(settings)
	if err != nil {
		return exitError{exitUsage, err}
	}
	return serve(p, settings, s, log.With("node", p.Name), levels)
}

// logger makes the logger for the settings. MASTHILL_LOG overrides their general level.
func logger(settings *config.OperatorSettings) (*slog.Logger, *logs.Levels, error) {
	general, parts, err := logLevels(settings.Log.Level, settings.Log.Levels)
	if err != nil {
		return nil, nil, err
	}
	levels := logs.NewLevels(general, parts)
	return logs.New(logs.Options{Output: os.Stderr, JSON: settings.Log.Format == "json", MaxRepeats: settings.Log.MaxRepeats, Levels: levels}), levels, nil
}

// logLevels parses the general log level, which MASTHILL_LOG overrides, and the levels by part of the program.
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

// instance is one running session controller, assembled from its subsystems.
type instance struct {
	platform        *config.Platform
	settings        *config.OperatorSettings
	log             *slog.Logger
	logLevels       *logs.Levels
	options         exchange.Options // of the core; subsystems add to them until it is made
	previous        *state.Snapshot  // the snapshot that the previous process kept; nil: none
	passedListeners map[string]net.Listener
	manager         *notify.Manager
	core            *exchange.Exchange
	feed            *journal.Client
	callerFront     *caller.Server
	fronts          map[front]*listener.Listener
	listeners       map[string]net.Listener // by name, for a supervisor that takes them over
	snapshotWriter  *state.SnapshotWriter   // nil: no snapshots are kept
	recovery        *recovery.Recovery      // nil: off
	levels          *levels.Levels          // nil: off
	shared          *shared.Module          // nil: off
	shares          *shares.Shares          // nil: off
	callWSFront     *callws.Front           // nil: off
	peers           *peers.Peers            // nil: off
	subsystems      []subsystem
	descriptors     *allocation
	startedAt       time.Time
	startReason     string
	snapshotResult  string // whether a snapshot was restored, or why not
	listenAddr      string
	state           readiness.State
	configWarning   atomic.Value // string; empty: none
}

// serve makes the subsystems of an instance and runs it to its end.
func serve(platform *config.Platform, settings *config.OperatorSettings, signals signals, log *slog.Logger, logLevels *logs.Levels) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(platform.Cores))))
	debug.SetMemoryLimit(int64(float64(platform.MemoryMB<<20) * heapFraction))
	if settings.DeprecatedName {
		log.Warn("settings under an old name", "file", settings.File, "why", oldNameWarning)
	}
	in := &instance{platform: platform, settings: settings, log: log, logLevels: logLevels, startedAt: time.Now(), fronts: map[front]*listener.Listener{}, listeners: map[string]net.Listener{}}
	var err error
	if in.passedListeners, err = notify.Listeners(os.Getenv); err != nil {
		return err
	}
	if in.manager, err = notify.Open(os.Getenv); err != nil {
		log.Warn("service manager not notified", "err", err)
	}
	in.options = exchange.Options{Settings: platform.Settings, Seed: platform.Seed, Now: time.Now, Log: log.With(logs.PartKey, "core"), MemoryBytes: platform.MemoryMB << 20}
	for _, construct := range constructors {
		sub, err := construct(in)
		if err != nil {
			return err
		}
		in.subsystems = append(in.subsystems, sub)
	}
	for name, l := range in.passedListeners {
		log.Warn("passed socket not used", "name", name, "addr", l.Addr().String())
		l.Close()
	}
	in.adoptReleases()
	return in.run(signals)
}

// run starts all subsystems and waits until they have ended.
func (in *instance) run(signals signals) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	for _, sub := range in.subsystems {
		if sub.run != nil {
			g.Go(func() error { return sub.run(ctx) })
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
		for _, sub := range in.subsystems {
			if sub.onShutdown != nil {
				sub.onShutdown()
			}
		}
		in.shutDown()
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
				in.manager.Ready("serving " + in.listenAddr)
			}
		}
	})
	g.Go(func() error { return in.manager.RunWatchdog(ctx, func() { in.core.UnansweredCalls() }) })
	g.Go(func() error { in.followPhase(ctx); return nil })
	if in.platform.Admin != "" {
		in.waitForList(ctx)
	}
	pos, _ := in.feed.Position()
	in.state.MarkStarted() // before the log line that says so
	in.log.Info("serving", "listen", in.listenAddr, "pos", pos, "start", in.startReason, "snapshot", in.snapshotResult)
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// waitForList waits up to listWaitTimeout for the journal service. An instance that an upgrade starts beside the
// previous one must not send calls to offices that have gone while its own list still has them. If the service does not
// answer, the instance starts all the same.
func (in *instance) waitForList(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, listWaitTimeout)
	defer cancel()
	for !in.feed.IsLive() && waitCtx.Err() == nil {
		time.Sleep(pollInterval)
	}
}

// followPhase resumes or drains the fronts and notifies the service manager as the phase changes, until the shutdown.
func (in *instance) followPhase(ctx context.Context) {
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
			in.manager.Ready("serving " + in.listenAddr)
		case readiness.Draining:
			for f := range in.fronts {
				f.Drain(drainDelay)
			}
			in.manager.Status("draining")
		}
		in.log.Info("state", "phase", now, "before", last)
		last = now
	}
}

// status is the answer to a status request on the control socket.
func (in *instance) status() ctl.Status {
	core := in.core.Status()
	pos, lastReceived := in.feed.Position()
	s := ctl.Status{Name: in.platform.Name, Version: version(), PID: os.Getpid(), Phase: ctl.Serving, StartedAt: in.startedAt, StartReason: in.startReason,
		Snapshot: in.snapshotResult, Listen: in.listenAddr, ListPos: pos, ListAgeMS: -1, MemoryLimitMB: in.platform.MemoryMB, DescriptorLimit: in.platform.Sockets, Core: core}
	if !lastReceived.IsZero() {
		s.ListAgeMS = time.Since(lastReceived).Milliseconds()
	}
	for _, sub := range in.subsystems {
		if sub.status != nil {
			sub.status(&s)
		}
	}
	s.MemoryMB, s.Descriptors = ctl.Usage()
	s.ConfigWarning, _ = in.configWarning.Load().(string)
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

// reload reads the configuration again. Of the platform's file only the address of the journal service can change in a
// running program; calls and connections go on. A file with a fault changes nothing.
func (in *instance) reload() {
	old, feed, log := in.platform, in.feed, in.log
	p, err := config.Load(os.Getenv)
	if err != nil {
		log.Error("configuration kept", "err", err)
		in.configWarning.Store("the last reload found faults: " + err.Error())
		return
	}
	in.configWarning.Store("")
	if p.Listen != old.Listen || p.Name != old.Name || p.Cores != old.Cores || p.MemoryMB != old.MemoryMB ||
		p.Sockets != old.Sockets || !reflect.DeepEqual(p.Settings, old.Settings) {
		in.configWarning.Store("name, listen, limits or settings changed: this needs a restart")
		log.Warn("configuration read in part", "why", "changes of name, listen, limits and settings need a restart")
	}
	log.Info("configuration read", "journal", p.Journal)
	if p.Journal != old.Journal {
		feed.SetAddr(p.Journal)
	}
	old.Journal = p.Journal // not read by any other goroutine
	if !slices.ContainsFunc(in.subsystems, func(s subsystem) bool { return s.reload != nil }) {
		return // checking the settings costs memory, and no subsystem would use them
	}
	settings, err := config.LoadOperatorSettings(os.Getenv)
	if err != nil {
		log.Error("settings kept", "err", err)
		in.configWarning.Store("the last reload found faults: " + err.Error())
		return
	}
	for _, sub := range in.subsystems {
		if sub.reload != nil {
			sub.reload(settings)
		}
	}
}

// refusalDelay is the time from SIGTERM to the refusal of the calls that still wait. It ends before SIGKILL, which comes
// sooner the shorter the deadlines of the classes are, but never before requestPeriod.
func refusalDelay(classes []exchange.Class) time.Duration {
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return max(requestPeriod, min(longest, maxCountedDeadline)+killDelay-refuseMargin)
}

// shutDown ends the instance gracefully: it takes new calls as long as they may arrive, and answers all calls that it
// took. What arrives later, such as the rest of a request that was read in part, is answered or refused, until the last
// connection is closed.
func (in *instance) shutDown() {
	core, startedAt := in.core, time.Now()
	in.log.Info("ending", "open", core.UnansweredCalls())
	time.Sleep(acceptPeriod)
	for _, l := range in.fronts {
		l.Drain()
	}
	time.Sleep(requestPeriod - time.Since(startedAt))
	for f := range in.fronts {
		f.Drain(0)
	}
	unfinished := func() (n int) {
		for f := range in.fronts {
			n += f.Unfinished()
		}
		return n
	}
	refuseAt := refusalDelay(in.platform.Names.Classes)
	for (unfinished() > 0 || core.UnansweredCalls() > 0) && time.Since(startedAt) < refuseAt {
		time.Sleep(pollInterval)
	}
	for f := range in.fronts {
		f.Refuse() // before the core does, so that no more calls reach it
	}
	core.RefuseAll()
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	var g errgroup.Group
	for f := range in.fronts {
		g.Go(func() error { f.Shutdown(ctx); return nil })
	}
	g.Wait()
	for f := range in.fronts { // after all have shut down, as releases still come meanwhile
		g.Go(func() error { f.HandOverReleases(); return nil })
	}
	g.Wait()
	in.log.Info("ended", "after_ms", time.Since(startedAt).Milliseconds())
}
