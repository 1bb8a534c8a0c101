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

// part is one subsystem of an instance, with the life cycle that all share: it is made from the settings, runs in the
// instance's group until the end, hears that the planned end begins, and tells its status. What it does not do is nil; a
// part that the settings leave off is empty.
type subsystem struct {
	run        func(ctx context.Context) error
	onShutdown func()                // the planned end begins; new calls still come for a moment
	status     func(*ctl.Status)     // from any goroutine
	reload     func(*config.Project) // new settings: what can change under a running program does
}

// subsystems makes the parts, in this order: what takes part in decisions comes before the core, in the order in which it
// is asked, and what needs the core comes behind it.
var constructors = []func(*instance) (subsystem, error){
	newSnapshots, newDescriptorAllocation, newPeers, newRecovery, newLevels, newShares, newGoodput, newStore, newCore, newCallerFront, newOfficePool, newJournalFeed, newCallWSFront,
	newReleaseMember, newAdmin, newControlSocket,
}

// joins adds a decision module beside control.
func (in *instance) addModule(m join.Module) { in.options.Join = append(in.options.Join, m) }

// snapshots keeps what has been learnt, and takes up what the process before kept.
func newSnapshots(in *instance) (p subsystem, err error) {
	in.previous = in.loadSnapshot()
	if in.keeper != nil {
		p.run = in.keeper.Run
	}
	return p, nil
}

// load takes up the snapshot of the process before, where the settings name a directory, and finds the reason of this
// start: what a supervisor says, or else what the snapshot tells.
func (in *instance) loadSnapshot() *state.Snapshot {
	in.startReason, in.snapshotResult = "first", "off"
	var known *state.Snapshot
	if dir := in.own.State.Dir; dir != "" {
		in.keeper = &state.Keeper{Dir: dir, Instance: in.p.Name, Every: in.own.State.Every, Log: in.log.With(logs.Part, "state"),
			Learnt: func() (l control.Learnt) { return in.core.Learnt() }}
		s, err := state.Load(dir, in.p.Name, time.Now(), in.own.State.MostAge)
		switch {
		case errors.Is(err, state.ErrNone):
			in.snapshotResult = "none"
		case err != nil:
			in.startReason, in.snapshotResult = "unknown", err.Error()
			in.log.Warn("snapshot left out", "why", err)
		default:
			known, in.snapshotResult = s, fmt.Sprintf("taken up, %v old", time.Since(s.At).Round(time.Millisecond))
			in.startReason = "crash"
			if s.Ended != "" {
				in.startReason = "restart"
			}
		}
	}
	if givenReason := os.Getenv("MASTHILL_START"); givenReason != "" {
		in.startReason = givenReason
	}
	return known
}

// allocating shares the descriptors out, and notices another process at the same address, as in an upgrade.
func newDescriptorAllocation(in *instance) (subsystem, error) {
	peers := 0
	if in.own.Peers.Listen != "" {
		peers = cmp.Or(in.own.Peers.Most, in.p.Settings.GroupSize)
	}
	log := in.log.With(logs.Part, "descriptors")
	in.descriptors = newAllocation(descriptors.Demand{Limit: in.p.Sockets, Peers: peers, Operators: in.p.Admin != "",
		WebSocket: in.own.CallWS.Listen != "", Control: in.own.Socket.Path != "", Store: in.own.Store.Driver != "",
		Releases: len(in.own.Distribution.Servers) > 0},
		in.p.MemoryMB<<20/connMemoryDivisor/connMemoryBytes, log)
	if in.p.Admin == "" {
		return subsystem{}, nil
	}
	return subsystem{run: sibling.Open(os.TempDir(), in.p.Listen, log, in.descriptors.onUpgrade).Run}, nil
}

// recovering paces what a newly started instance sends.
func newRecovery(in *instance) (subsystem, error) {
	if in.own.Recovery.Enabled {
		var evidence []recovery.Evidence
		if in.previous != nil {
			evidence = in.previous.Evidence()
		}
		in.recovery = recovery.New(recovery.Settings{Control: in.p.Settings, Planned: in.p.Planned}, in.p.Seed, in.startedAt.UnixNano(), evidence)
		in.addModule(in.recovery)
	}
	return subsystem{}, nil
}

// levelling names levels of reduced service.
func newLevels(in *instance) (subsystem, error) {
	if !in.own.Levels.Enabled {
		return subsystem{}, nil
	}
	var isRecovering func(int64) bool
	if in.recovery != nil {
		isRecovering = in.recovery.Recovering
	}
	log := in.log.With(logs.Part, "levels")
	in.levels = levels.New(in.p.Settings, in.p.Seed, in.startedAt.UnixNano(), isRecovering, func(c levels.Change) {
		log.Warn("level of service", "from", c.From, "to", c.To, "reason", c.Reason, "score", math.Round(c.Score*100)/100, "until", c.ExitCondition)
	})
	if in.previous != nil {
		in.levels.Restore(in.startedAt.UnixNano(), in.previous.Levels)
	}
	if in.keeper != nil {
		in.keeper.Levels = in.levelHistory
	}
	in.addModule(in.levels)
	return subsystem{run: in.runGauges, status: func(s *ctl.Status) { s.Levels = in.levelHistory() }}, nil
}

// gaugeEvery is how often the instance's own readings are taken for the levels: a few reads of /proc.
const gaugeInterval = time.Second

// gauge brings the levels what no event tells.
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
		in.core.Gauge(levels.Memory, memory/float64(in.p.MemoryMB))
		in.core.Gauge(levels.Descriptors, float64(descriptors)/float64(in.p.Sockets))
		in.core.Gauge(levels.Inbox, in.core.InboxUsed())
		if _, lastHeard := in.feed.Position(); !lastHeard.IsZero() {
			in.core.Gauge(levels.ListAge, time.Since(lastHeard).Seconds()/10)
		}
	}
}

// history are the last changes of the level of service, also after the core's end.
func (in *instance) levelHistory() (all []levels.Change) {
	coreRuns := false
	in.core.Look(func() { all, coreRuns = in.levels.History(), true })
	if !coreRuns {
		all = in.levels.History() // nothing changes it any more
	}
	return all
}

// sharing holds members to their shares, by the whole fleet's counts where instances talk.
func newShares(in *instance) (subsystem, error) {
	if in.own.Shares.Enabled {
		in.shares = shares.New(in.p.Settings, in.p.Shares, in.p.Planned, in.p.Seed, in.startedAt.UnixNano())
		if in.shared != nil {
			in.shares.UseFleetTotals(in.shared)
		}
		in.addModule(in.shares)
	}
	return subsystem{}, nil
}

// bounding bounds what is out by what came back in time.
func newGoodput(in *instance) (subsystem, error) {
	if in.own.Goodput.Enabled {
		log := in.log.With(logs.Part, "goodput")
		in.addModule(goodput.New(goodput.Settings{Control: in.p.Settings}, in.p.Seed, in.startedAt.UnixNano(), func(c goodput.Change) {
			log.Warn("set-ups out", "state", c.State, "reason", c.Reason, "limit", math.Round(c.Limit*10)/10, "out", math.Round(c.Outstanding*10)/10,
				"in_vain", math.Round(c.LateShare*100)/100)
		}))
	}
	return subsystem{}, nil
}

// recording writes calls to the store of record.
func newStore(in *instance) (subsystem, error) {
	if in.own.Store.Driver == "" {
		return subsystem{}, nil
	}
	records, err := store.Open(store.Options{Driver: in.own.Store.Driver, DSN: in.own.Store.DSN, Instance: in.p.Name, Log: in.log.With(logs.Part, "store")})
	if err != nil {
		return subsystem{}, err
	}
	in.options.Record = records.Put
	return subsystem{run: records.Run}, nil
}

// deciding is the core.
func newCore(in *instance) (p subsystem, err error) {
	in.options.OnUnknownRelease = func(id string, cut bool) { in.callerFront.Release(id, cut) }
	if in.core, err = exchange.New(in.options); err != nil {
		return p, err
	}
	return subsystem{run: in.core.Run}, nil
}

// calling is the platform's front.
func newCallerFront(in *instance) (p subsystem, err error) {
	in.callerFront = caller.New(caller.Options{Core: in.core, Log: in.log.With(logs.Part, "callers"), Names: in.p.Names, Ready: in.state.Ready,
		MaxConnections: in.descriptors.clientsShare().Places})
	l, err := in.openListener("callers", in.p.Listen)
	if err != nil {
		return p, err
	}
	in.fronts[in.callerFront], in.listenAddr = l, l.Addr().String()
	bounded := in.descriptors.attach(&in.descriptors.clients, in.callerFront, l)
	return subsystem{run: func(ctx context.Context) error { return in.callerFront.Serve(ctx, bounded) }}, nil
}

// opens takes a passed socket over, or opens one.
func (in *instance) openListener(name, addr string) (l *listener.Listener, err error) {
	if passed, ok := in.passedListeners[name].(*net.TCPListener); ok {
		l = listener.New(passed)
		delete(in.passedListeners, name)
	} else if l, err = listener.Open(addr, in.p.Admin != ""); err != nil {
		return nil, err
	}
	in.listeners[name] = l
	return l, nil
}

// placing is the offices' side.
func newOfficePool(in *instance) (subsystem, error) {
	offices := office.NewPool(office.Options{Core: in.core, Log: in.log.With(logs.Part, "offices"), ConnectWait: in.p.ConnectWait,
		ListLive: func() bool { return in.feed.IsLive() },
		Dials: map[string]office.Dial{"": in.descriptors.dial(office.DialSIP(in.p.Name, in.p.Settings.Fields)),
			"ws": in.descriptors.dial(callws.Dial(in.p.Settings.Fields))}})
	in.core.SetOffices(offices)
	return subsystem{run: offices.Run}, nil
}

// following is the list of offices; what the process before had learnt of them follows what is known at the start.
func newJournalFeed(in *instance) (subsystem, error) {
	in.feed = &journal.Client{Addr: in.p.Journal, Log: in.log.With(logs.Part, "list"), Dial: descriptors.Dialer(in.descriptors.onShortage),
		OnChange: func(changed []exchange.Office, full bool) {
			in.descriptors.onServerList(changed, full)
			in.core.UpdateOffices(changed, full)
		}}
	in.feed.LoadInitial(in.p.Known)
	if in.previous != nil {
		in.core.Restore(in.previous.Learnt)
	}
	return subsystem{run: in.feed.Run}, nil
}

// controlling is call control over WebSocket.
func newCallWSFront(in *instance) (subsystem, error) {
	if in.own.CallWS.Listen == "" {
		return subsystem{}, nil
	}
	l, err := in.openListener("callws", in.own.CallWS.Listen)
	if err != nil {
		return subsystem{}, fmt.Errorf("callws.listen: %w", err)
	}
	f := callws.New(callws.Options{Core: in.core, Log: in.log.With(logs.Part, "callws"), Names: in.p.Names, Callers: in.own.CallWS.Callers, Ready: in.state.Ready,
		MaxOpen: in.descriptors.budget.WebSocket.Places})
	in.fronts[f], in.callWSFront = l, f
	bounded := in.descriptors.attach(&in.descriptors.webSocket, f, l)
	in.log.Info("serving call control", "listen", l.Addr().String())
	return subsystem{run: func(ctx context.Context) error { return f.Serve(ctx, bounded) }}, nil
}

// administering is the operators' second address.
func newAdmin(in *instance) (subsystem, error) {
	if in.p.Admin == "" {
		return subsystem{}, nil
	}
	l, err := listener.Open(in.p.Admin, false)
	if err != nil {
		return subsystem{}, fmt.Errorf("admin: %w", err)
	}
	l.Shortage = in.descriptors.onShortage
	in.log.Info("serving second address", "admin", l.Addr().String())
	s := admin.New(&in.state, in.log.With(logs.Part, "admin"))
	s.MaxOpen = in.descriptors.adminMaxOpen()
	return subsystem{run: func(ctx context.Context) error { return s.Serve(ctx, l) }}, nil
}

// socket is the control socket.
func newControlSocket(in *instance) (subsystem, error) {
	path := in.own.Socket.Path
	if path == "" {
		return subsystem{}, nil
	}
	l, err := ctl.Listen(path)
	if err != nil { // calls do not depend on it
		in.log.Error("control socket not opened", "err", err)
		return subsystem{}, nil
	}
	return subsystem{run: func(ctx context.Context) error {
		return ctl.Serve(ctx, l, path, in.log.With(logs.Part, "socket"), in.status, in.listeners)
	}}, nil
}
