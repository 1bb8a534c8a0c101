package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"time"

	"masthill/control"
	"masthill/control/goodput"
	"masthill/control/join"
	"masthill/control/levels"
	"masthill/control/recovery"
	"masthill/control/shares"
	"masthill/internal/admin"
	"masthill/internal/caller"
	"masthill/internal/callws"
	"masthill/internal/config"
	"masthill/internal/ctl"
	"masthill/internal/descriptors"
	"masthill/internal/exchange"
	"masthill/internal/journal"
	"masthill/internal/listener"
	"masthill/internal/logs"
	"masthill/internal/office"
	"masthill/internal/sibling"
	"masthill/internal/state"
	"masthill/internal/store"
)

// subsystem is one part of an instance. Its constructor makes it from the settings; it then runs in the instance's
// errgroup until the end. A function that it does not have is nil; a subsystem that the settings turn off has none.
type subsystem struct {
	run        func(ctx context.Context) error
	onShutdown func()                         // called when a graceful shutdown begins; new calls still arrive for a moment
	status     func(*ctl.Status)              // adds to a status; called from any goroutine
	reload     func(*config.OperatorSettings) // applies those new settings that can change in a running program
}

// constructors make the subsystems, in this order. Decision modules come before the core, in the order in which they
// decide; what needs the core comes after it.
var constructors = []func(*instance) (subsystem, error){
	newSnapshots, newDescriptorAllocation, newPeers, newRecovery, newLevels, newShares, newGoodput, newStore, newCore,
	newCallerFront, newOfficePool, newJournalFeed, newCallWSFront, newReleaseMember, newAdmin, newControlSocket,
}

// addModule adds a decision module to the core's options.
func (in *instance) addModule(m join.Module) { in.options.Join = append(in.options.Join, m) }

// newSnapshots makes the subsystem that writes snapshots of the learned state, and loads the one of the previous
// process.
func newSnapshots(in *instance) (p subsystem, err error) {
	in.previous = in.loadSnapshot()
	if in.snapshotWriter != nil {
		p.run = in.snapshotWriter.Run
	}
	return p, nil
}

// loadSnapshot loads the snapshot of the previous process if the settings name a directory for it. It also finds the
// reason of this start: the one that a supervisor gives, or else the one that follows from the snapshot.
func (in *instance) loadSnapshot() *state.Snapshot {
	in.startReason, in.snapshotResult = "first", "off"
	var previous *state.Snapshot
	if dir := in.settings.State.Dir; dir != "" {
		in.snapshotWriter = &state.SnapshotWriter{Dir: dir, Instance: in.platform.Name, Interval: in.settings.State.Interval, Log: in.log.With(logs.PartKey, "state"),
			LearnedState: func() (l control.LearnedState) { return in.core.LearnedState() }}
		s, err := state.Load(dir, in.platform.Name, time.Now(), in.settings.State.MaxAge)
		switch {
		case errors.Is(err, state.ErrNoSnapshot):
			in.snapshotResult = "none"
		case err != nil:
			in.startReason, in.snapshotResult = "unknown", err.Error()
			in.log.Warn("snapshot left out", "why", err)
		default:
			previous, in.snapshotResult = s, fmt.Sprintf("taken up, %v old", time.Since(s.WrittenAt).Round(time.Millisecond))
			in.startReason = "crash"
			if s.EndReason != "" {
				in.startReason = "restart"
			}
		}
	}
	if givenReason := os.Getenv("MASTHILL_START"); givenReason != "" {
		in.startReason = givenReason
	}
	return previous
}

// newDescriptorAllocation makes the allocation of file descriptors. Where there is an operators' address, its subsystem
// watches for another process at the same address, as in an upgrade.
func newDescriptorAllocation(in *instance) (subsystem, error) {
	peers := 0
	if in.settings.Peers.Listen != "" {
		peers = cmp.Or(in.settings.Peers.MaxInstances, in.platform.Settings.GroupSize)
	}
	log := in.log.With(logs.PartKey, "descriptors")
	in.descriptors = newAllocation(descriptors.Demand{Limit: in.platform.Sockets, Peers: peers, Operators: in.platform.Admin != "",
		WebSocket: in.settings.CallWS.Listen != "", Control: in.settings.Socket.Path != "", Store: in.settings.Store.Driver != "",
		Releases: len(in.settings.Distribution.Servers) > 0},
		in.platform.MemoryMB<<20/connMemoryDivisor/connMemoryBytes, log)
	if in.platform.Admin == "" {
		return subsystem{}, nil
	}
	return subsystem{run: sibling.Open(os.TempDir(), in.platform.Listen, log, in.siblingChanged).Run}, nil
}

// siblingChanged is called when another process at the same address has appeared or ended, and at the start.
func (in *instance) siblingChanged(present bool) {
	in.descriptors.onUpgrade(present)
	if started := in.callerFront != nil; started && !present {
		in.adoptReleases()
	}
}

// newRecovery adds the module that limits the rate of set-ups of a newly started instance.
func newRecovery(in *instance) (subsystem, error) {
	if in.settings.Recovery.Enabled {
		var evidence []recovery.Evidence
		if in.previous != nil {
			evidence = in.previous.Evidence()
		}
		in.recovery = recovery.New(recovery.Settings{Control: in.platform.Settings, Planned: in.platform.PlannedRate}, in.platform.Seed, in.startedAt.UnixNano(), evidence)
		in.addModule(in.recovery)
	}
	return subsystem{}, nil
}

// newLevels adds the module that sets the level of service, and makes the subsystem that reports resource use to it.
func newLevels(in *instance) (subsystem, error) {
	if !in.settings.Levels.Enabled {
		return subsystem{}, nil
	}
	var isRecovering func(int64) bool
	if in.recovery != nil {
		isRecovering = in.recovery.Recovering
	}
	log := in.log.With(logs.PartKey, "levels")
	in.levels = levels.New(in.platform.Settings, in.platform.Seed, in.startedAt.UnixNano(), isRecovering, func(c levels.Change) {
		log.Warn("level of service", "from", c.From, "to", c.To, "reason", c.Reason, "score", math.Round(c.Score*100)/100, "until", c.ExitCondition)
	})
	if in.previous != nil {
		in.levels.Restore(in.startedAt.UnixNano(), in.previous.Levels)
	}
	if in.snapshotWriter != nil {
		in.snapshotWriter.Levels = in.levelHistory
	}
	in.addModule(in.levels)
	return subsystem{run: in.runGauges, status: func(s *ctl.Status) { s.Levels = in.levelHistory() }}, nil
}

// gaugeInterval is how often the instance's resource use is read for the levels, which takes a few reads of /proc.
const gaugeInterval = time.Second

// runGauges reports to the core, for the levels, the resource use that no event carries.
func (in *instance) runGauges(ctx context.Context) error {
	tick := time.NewTicker(gaugeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		memory, descriptors := ctl.Usage()
		in.core.ReportGauge(levels.Memory, memory/float64(in.platform.MemoryMB))
		in.core.ReportGauge(levels.Descriptors, float64(descriptors)/float64(in.platform.Sockets))
		in.core.ReportGauge(levels.Inbox, in.core.InboxUsed())
		if _, lastReceived := in.feed.Position(); !lastReceived.IsZero() {
			in.core.ReportGauge(levels.ListAge, time.Since(lastReceived).Seconds()/10)
		}
	}
}

// levelHistory returns the last changes of the level of service, also after the core's end.
func (in *instance) levelHistory() (changes []levels.Change) {
	coreRuns := false
	in.core.Inspect(func() { changes, coreRuns = in.levels.History(), true })
	if !coreRuns {
		changes = in.levels.History() // the core has ended, so nothing changes it any more
	}
	return changes
}

// newShares adds the module that holds tenants to their shares, by the counts of the whole fleet if this instance is a
// member of one.
func newShares(in *instance) (subsystem, error) {
	if in.settings.Shares.Enabled {
		in.shares = shares.New(in.platform.Settings, in.platform.Shares, in.platform.PlannedRate, in.platform.Seed, in.startedAt.UnixNano())
		if in.shared != nil {
			in.shares.UseFleetTotals(in.shared)
		}
		in.addModule(in.shares)
	}
	return subsystem{}, nil
}

// newGoodput adds the module that limits the outstanding set-ups by how many are answered in time.
func newGoodput(in *instance) (subsystem, error) {
	if in.settings.Goodput.Enabled {
		log := in.log.With(logs.PartKey, "goodput")
		in.addModule(goodput.New(goodput.Settings{Control: in.platform.Settings}, in.platform.Seed, in.startedAt.UnixNano(), func(c goodput.Change) {
			log.Warn("set-ups out", "state", c.State, "reason", c.Reason, "limit", math.Round(c.Limit*10)/10, "out", math.Round(c.Outstanding*10)/10,
				"in_vain", math.Round(c.LateShare*100)/100)
		}))
	}
	return subsystem{}, nil
}

// newStore makes the subsystem that writes call records to the database.
func newStore(in *instance) (subsystem, error) {
	if in.settings.Store.Driver == "" {
		return subsystem{}, nil
	}
	records, err := store.Open(store.Options{Driver: in.settings.Store.Driver, DSN: in.settings.Store.DSN, Instance: in.platform.Name, Log: in.log.With(logs.PartKey, "store")})
	if err != nil {
		return subsystem{}, err
	}
	in.options.Record = records.Put
	return subsystem{run: records.Run}, nil
}

// newCore makes the core.
func newCore(in *instance) (p subsystem, err error) {
	in.options.OnUnknownRelease = func(id string, cut bool) { in.callerFront.Release(id, cut) }
	if in.core, err = exchange.New(in.options); err != nil {
		return p, err
	}
	return subsystem{run: in.core.Run}, nil
}

// newCallerFront makes the front that the platform's callers connect to.
func newCallerFront(in *instance) (p subsystem, err error) {
	in.callerFront = caller.New(caller.Options{Core: in.core, Log: in.log.With(logs.PartKey, "callers"), Names: in.platform.Names, Ready: in.state.Ready,
		MaxConnections: in.descriptors.clientsShare().MaxConnections,
		HandOver:       func(held []caller.HeldRelease) bool { return handOver(in, callerReleases, held) }})
	l, err := in.openListener("callers", in.platform.Listen)
	if err != nil {
		return p, err
	}
	in.fronts[in.callerFront], in.listenAddr = l, l.Addr().String()
	bounded := in.descriptors.attach(&in.descriptors.clients, in.callerFront, l)
	return subsystem{run: func(ctx context.Context) error { return in.callerFront.Serve(ctx, bounded) }}, nil
}

// openListener takes over the listening socket that was passed under a name, or else opens one.
func (in *instance) openListener(name, addr string) (l *listener.Listener, err error) {
	if passed, ok := in.passedListeners[name].(*net.TCPListener); ok {
		l = listener.New(passed)
		delete(in.passedListeners, name)
	} else if l, err = listener.Open(addr, in.platform.Admin != ""); err != nil {
		return nil, err
	}
	in.listeners[name] = l
	return l, nil
}

// newOfficePool makes the connections to the offices, over SIP and WebSocket.
func newOfficePool(in *instance) (subsystem, error) {
	offices := office.NewPool(office.Options{Core: in.core, Log: in.log.With(logs.PartKey, "offices"), ConnectTimeout: in.platform.ConnectTimeout,
		ListLive: func() bool { return in.feed.IsLive() },
		Dialers: map[string]office.Dial{"": in.descriptors.dial(office.DialSIP(in.platform.Name, in.platform.Settings.ReportFields)),
			"ws": in.descriptors.dial(callws.Dial(in.platform.Settings.ReportFields))}})
	in.core.SetOffices(offices)
	return subsystem{run: offices.Run}, nil
}

// newJournalFeed makes the client of the journal service, which keeps the list of offices. The core first receives the
// list that the configuration holds, then what the previous process had learned of the offices.
func newJournalFeed(in *instance) (subsystem, error) {
	in.feed = &journal.Client{Addr: in.platform.Journal, Log: in.log.With(logs.PartKey, "list"), Dial: descriptors.Dialer(in.descriptors.onShortage),
		OnChange: func(changed []exchange.Office, full bool) {
			in.descriptors.onServerList(changed, full)
			in.core.UpdateOffices(changed, full)
		}}
	in.feed.LoadInitial(in.platform.Known)
	if in.previous != nil {
		in.core.Restore(in.previous.LearnedState)
	}
	return subsystem{run: in.feed.Run}, nil
}

// newCallWSFront makes the front for call control over WebSocket.
func newCallWSFront(in *instance) (subsystem, error) {
	if in.settings.CallWS.Listen == "" {
		return subsystem{}, nil
	}
	l, err := in.openListener("callws", in.settings.CallWS.Listen)
	if err != nil {
		return subsystem{}, fmt.Errorf("callws.listen: %w", err)
	}
	f := callws.New(callws.Options{Core: in.core, Log: in.log.With(logs.PartKey, "callws"), Names: in.platform.Names, Callers: in.settings.CallWS.Callers, Ready: in.state.Ready,
		MaxConnections: in.descriptors.budget.WebSocket.MaxConnections,
		HandOver:       func(held []callws.HeldRelease) bool { return handOver(in, callWSReleases, held) }})
	in.fronts[f], in.callWSFront = l, f
	bounded := in.descriptors.attach(&in.descriptors.webSocket, f, l)
	in.log.Info("serving call control", "listen", l.Addr().String())
	return subsystem{run: func(ctx context.Context) error { return f.Serve(ctx, bounded) }}, nil
}

// newAdmin makes the server of the operators' address.
func newAdmin(in *instance) (subsystem, error) {
	if in.platform.Admin == "" {
		return subsystem{}, nil
	}
	l, err := listener.Open(in.platform.Admin, false)
	if err != nil {
		return subsystem{}, fmt.Errorf("admin: %w", err)
	}
	l.OnShortage = in.descriptors.onShortage
	in.log.Info("serving second address", "admin", l.Addr().String())
	s := admin.New(&in.state, in.log.With(logs.PartKey, "admin"))
	s.MaxConnections = in.descriptors.adminMaxConnections()
	return subsystem{run: func(ctx context.Context) error { return s.Serve(ctx, l) }}, nil
}

// newControlSocket makes the control socket.
func newControlSocket(in *instance) (subsystem, error) {
	path := in.settings.Socket.Path
	if path == "" {
		return subsystem{}, nil
	}
	l, err := ctl.Listen(path)
	if err != nil { // calls do not depend on it
		in.log.Error("control socket not opened", "err", err)
		return subsystem{}, nil
	}
	return subsystem{run: func(ctx context.Context) error {
		return ctl.Serve(ctx, l, path, in.log.With(logs.PartKey, "socket"), in.status, in.listeners)
	}}, nil
}
