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
type part struct {
	run    func(ctx context.Context) error
	end    func()                         // the planned end begins; new calls still come for a moment
	status func(*ctl.Status)              // from any goroutine
	reload func(*config.OperatorSettings) // new settings: what can change under a running program does
}

// subsystems makes the parts, in this order: what takes part in decisions comes before the core, in the order in which it
// is asked, and what needs the core comes behind it.
var subsystems = []func(*instance) (part, error){
	snapshots, allocating, talking, recovering, levelling, sharing, bounding, recording, deciding, calling, placing, following, controlling,
	configuring, administering, socket,
}

// joins adds a decision module beside control.
func (in *instance) joins(m join.Module) { in.options.Join = append(in.options.Join, m) }

// snapshots keeps what has been learnt, and takes up what the process before kept.
func snapshots(in *instance) (p part, err error) {
	in.known = in.load()
	if in.keeper != nil {
		p.run = in.keeper.Run
	}
	return p, nil
}

// load takes up the snapshot of the process before, where the settings name a directory, and finds the reason of this
// start: what a supervisor says, or else what the snapshot tells.
func (in *instance) load() *state.Snapshot {
	in.reason, in.snapshot = "first", "off"
	var known *state.Snapshot
	if dir := in.own.State.Dir; dir != "" {
		in.keeper = &state.SnapshotWriter{Dir: dir, Instance: in.p.Name, Interval: in.own.State.Interval, Log: in.log.With(logs.PartKey, "state"),
			Learnt: func() (l control.LearnedState) { return in.core.LearnedState() }}
		s, err := state.Load(dir, in.p.Name, time.Now(), in.own.State.MaxAge)
		switch {
		case errors.Is(err, state.ErrNoSnapshot):
			in.snapshot = "none"
		case err != nil:
			in.reason, in.snapshot = "unknown", err.Error()
			in.log.Warn("snapshot left out", "why", err)
		default:
			known, in.snapshot = s, fmt.Sprintf("taken up, %v old", time.Since(s.WrittenAt).Round(time.Millisecond))
			in.reason = "crash"
			if s.EndReason != "" {
				in.reason = "restart"
			}
		}
	}
	if told := os.Getenv("MASTHILL_START"); told != "" {
		in.reason = told
	}
	return known
}

// allocating shares the descriptors out, and notices another process at the same address, as in an upgrade.
func allocating(in *instance) (part, error) {
	peers := 0
	if in.own.Peers.Listen != "" {
		peers = cmp.Or(in.own.Peers.MaxInstances, in.p.Settings.GroupSize)
	}
	log := in.log.With(logs.PartKey, "descriptors")
	in.descriptors = newAllocation(descriptors.Demand{Limit: in.p.Sockets, Peers: peers, Operators: in.p.Admin != "",
		WebSocket: in.own.CallWS.Listen != "", Control: in.own.Socket.Path != "", Store: in.own.Store.Driver != "",
		Releases: len(in.own.Distribution.Servers) > 0},
		in.p.MemoryMB<<20/connPart/connEach, log)
	if in.p.Admin == "" {
		return part{}, nil
	}
	return part{run: sibling.Open(os.TempDir(), in.p.Listen, log, in.descriptors.upgrade).Run}, nil
}

// recovering paces what a newly started instance sends.
func recovering(in *instance) (part, error) {
	if in.own.Recovery.Enabled {
		var brought []recovery.Evidence
		if in.known != nil {
			brought = in.known.Evidence()
		}
		in.recovery = recovery.New(recovery.Settings{Control: in.p.Settings, Planned: in.p.PlannedRate}, in.p.Seed, in.started.UnixNano(), brought)
		in.joins(in.recovery)
	}
	return part{}, nil
}

// levelling names levels of reduced service.
func levelling(in *instance) (part, error) {
	if !in.own.Levels.Enabled {
		return part{}, nil
	}
	var recovers func(int64) bool
	if in.recovery != nil {
		recovers = in.recovery.Recovering
	}
	log := in.log.With(logs.PartKey, "levels")
	in.levels = levels.New(in.p.Settings, in.p.Seed, in.started.UnixNano(), recovers, func(c levels.Change) {
		log.Warn("level of service", "from", c.From, "to", c.To, "reason", c.Reason, "score", math.Round(c.Score*100)/100, "until", c.ExitCondition)
	})
	if in.known != nil {
		in.levels.Restore(in.started.UnixNano(), in.known.Levels)
	}
	if in.keeper != nil {
		in.keeper.Levels = in.history
	}
	in.joins(in.levels)
	return part{run: in.gauge, status: func(s *ctl.Status) { s.Levels = in.history() }}, nil
}

// gaugeEvery is how often the instance's own readings are taken for the levels: a few reads of /proc.
const gaugeEvery = time.Second

// gauge brings the levels what no event tells.
func (in *instance) gauge(ctx context.Context) error {
	tick := time.NewTicker(gaugeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		memory, descriptors := ctl.Usage()
		in.core.ReportGauge(levels.Memory, memory/float64(in.p.MemoryMB))
		in.core.ReportGauge(levels.Descriptors, float64(descriptors)/float64(in.p.Sockets))
		in.core.ReportGauge(levels.Inbox, in.core.InboxUsed())
		if _, heard := in.feed.Position(); !heard.IsZero() {
			in.core.ReportGauge(levels.ListAge, time.Since(heard).Seconds()/10)
		}
	}
}

// history are the last changes of the level of service, also after the core's end.
func (in *instance) history() (all []levels.Change) {
	looked := false
	in.core.Inspect(func() { all, looked = in.levels.History(), true })
	if !looked {
		all = in.levels.History() // nothing changes it any more
	}
	return all
}

// sharing holds members to their shares, by the whole fleet's counts where instances talk.
func sharing(in *instance) (part, error) {
	if in.own.Shares.Enabled {
		in.shares = shares.New(in.p.Settings, in.p.Shares, in.p.PlannedRate, in.p.Seed, in.started.UnixNano())
		if in.shared != nil {
			in.shares.UseFleetTotals(in.shared)
		}
		in.joins(in.shares)
	}
	return part{}, nil
}

// bounding bounds what is out by what came back in time.
func bounding(in *instance) (part, error) {
	if in.own.Goodput.Enabled {
		log := in.log.With(logs.PartKey, "goodput")
		in.joins(goodput.New(goodput.Settings{Control: in.p.Settings}, in.p.Seed, in.started.UnixNano(), func(c goodput.Change) {
			log.Warn("set-ups out", "state", c.State, "reason", c.Reason, "limit", math.Round(c.Limit*10)/10, "out", math.Round(c.Outstanding*10)/10,
				"in_vain", math.Round(c.LateShare*100)/100)
		}))
	}
	return part{}, nil
}

// recording writes calls to the store of record.
func recording(in *instance) (part, error) {
	if in.own.Store.Driver == "" {
		return part{}, nil
	}
	records, err := store.Open(store.Options{Driver: in.own.Store.Driver, DSN: in.own.Store.DSN, Instance: in.p.Name, Log: in.log.With(logs.PartKey, "store")})
	if err != nil {
		return part{}, err
	}
	in.options.Record = records.Put
	return part{run: records.Run}, nil
}

// deciding is the core.
func deciding(in *instance) (p part, err error) {
	in.options.OnUnknownRelease = func(id string, cut bool) { in.calls.Release(id, cut) }
	if in.core, err = exchange.New(in.options); err != nil {
		return p, err
	}
	return part{run: in.core.Run}, nil
}

// calling is the platform's front.
func calling(in *instance) (p part, err error) {
	in.calls = caller.New(caller.Options{Core: in.core, Log: in.log.With(logs.PartKey, "callers"), Names: in.p.Names, Ready: in.state.Ready,
		MaxConnections: in.descriptors.clientsFront().MaxConnections})
	l, err := in.opens("callers", in.p.Listen)
	if err != nil {
		return p, err
	}
	in.fronts[in.calls], in.listen = l, l.Addr().String()
	bounded := in.descriptors.attach(&in.descriptors.clients, in.calls, l)
	return part{run: func(ctx context.Context) error { return in.calls.Serve(ctx, bounded) }}, nil
}

// opens takes a passed socket over, or opens one.
func (in *instance) opens(name, addr string) (l *listener.Listener, err error) {
	if passed, ok := in.passed[name].(*net.TCPListener); ok {
		l = listener.New(passed)
		delete(in.passed, name)
	} else if l, err = listener.Open(addr, in.p.Admin != ""); err != nil {
		return nil, err
	}
	in.listeners[name] = l
	return l, nil
}

// placing is the offices' side.
func placing(in *instance) (part, error) {
	offices := office.NewPool(office.Options{Core: in.core, Log: in.log.With(logs.PartKey, "offices"), ConnectTimeout: in.p.ConnectTimeout,
		ListLive: func() bool { return in.feed.IsLive() },
		Dialers: map[string]office.Dial{"": in.descriptors.dial(office.DialSIP(in.p.Name, in.p.Settings.ReportFields)),
			"ws": in.descriptors.dial(callws.Dial(in.p.Settings.ReportFields))}})
	in.core.SetOffices(offices)
	return part{run: offices.Run}, nil
}

// following is the list of offices; what the process before had learnt of them follows what is known at the start.
func following(in *instance) (part, error) {
	in.feed = &journal.Client{Addr: in.p.Journal, Log: in.log.With(logs.PartKey, "list"), Dial: descriptors.Dialer(in.descriptors.shortage),
		OnChange: func(changed []exchange.Office, full bool) {
			in.descriptors.list(changed, full)
			in.core.UpdateOffices(changed, full)
		}}
	in.feed.LoadInitial(in.p.Known)
	if in.known != nil {
		in.core.Restore(in.known.Learnt)
	}
	return part{run: in.feed.Run}, nil
}

// controlling is call control over WebSocket.
func controlling(in *instance) (part, error) {
	if in.own.CallWS.Listen == "" {
		return part{}, nil
	}
	l, err := in.opens("callws", in.own.CallWS.Listen)
	if err != nil {
		return part{}, fmt.Errorf("callws.listen: %w", err)
	}
	f := callws.New(callws.Options{Core: in.core, Log: in.log.With(logs.PartKey, "callws"), Names: in.p.Names, Callers: in.own.CallWS.Callers, Ready: in.state.Ready,
		MaxConnections: in.descriptors.budget.WebSocket.MaxConnections})
	in.fronts[f], in.controls = l, f
	bounded := in.descriptors.attach(&in.descriptors.webSocket, f, l)
	in.log.Info("serving call control", "listen", l.Addr().String())
	return part{run: func(ctx context.Context) error { return f.Serve(ctx, bounded) }}, nil
}

// administering is the operators' second address.
func administering(in *instance) (part, error) {
	if in.p.Admin == "" {
		return part{}, nil
	}
	l, err := listener.Open(in.p.Admin, false)
	if err != nil {
		return part{}, fmt.Errorf("admin: %w", err)
	}
	l.OnShortage = in.descriptors.shortage
	in.log.Info("serving second address", "admin", l.Addr().String())
	s := admin.New(&in.state, in.log.With(logs.PartKey, "admin"))
	s.MaxConnections = in.descriptors.operatorsPlaces()
	return part{run: func(ctx context.Context) error { return s.Serve(ctx, l) }}, nil
}

// socket is the control socket.
func socket(in *instance) (part, error) {
	path := in.own.Socket.Path
	if path == "" {
		return part{}, nil
	}
	l, err := ctl.Listen(path)
	if err != nil { // calls do not depend on it
		in.log.Error("control socket not opened", "err", err)
		return part{}, nil
	}
	return part{run: func(ctx context.Context) error {
		return ctl.Serve(ctx, l, path, in.log.With(logs.PartKey, "socket"), in.status, in.listeners)
	}}, nil
}
