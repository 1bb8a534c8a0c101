package main

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"math"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/control/shared"
	"masthill/control/shared/count"
	"masthill/control/shared/lease"
	"masthill/control/shared/outlier"
	"masthill/internal/config"
	"masthill/internal/ctl"
	"masthill/internal/logs"
	"masthill/internal/peers"
)

// auditQueueSize is how many records may wait to be written to the audit file.
const auditQueueSize = 4096

// newPeers makes the subsystem by which the instance is a member of its fleet, and adds the shared module.
func newPeers(in *instance) (subsystem, error) {
	s := in.settings.Peers
	if s.Listen == "" {
		return subsystem{}, nil
	}
	// The core's clock must not step, because leases expire by it.
	startTime := time.Now()
	in.options.Now = func() time.Time { return startTime.Add(time.Since(startTime)) }
	var randomBytes [8]byte
	rand.Read(randomBytes[:])
	epoch := binary.BigEndian.Uint64(randomBytes[:]) | 1
	name := cmp.Or(s.Name, in.platform.Name)
	log := in.log.With(logs.PartKey, "peers")
	audit := &auditLog{path: s.AuditFile, records: make(chan any, auditQueueSize)}
	audit.add("start", startTime, map[string]any{"name": name, "epoch": epoch, "pid": os.Getpid()})
	settings := shared.Config{Control: in.platform.Settings, Planned: in.platform.PlannedRate, Name: name, Machine: s.Machine, Epoch: epoch, Numbers: s.CountedNumbers,
		Budgets: s.Budgets, DetectOutliers: s.DetectOutliers, Count: count.Config{OmitCheck: omittedCheck}, Outlier: outlier.Config{OmitCheck: omittedCheck},
		Lease: lease.Config{Voters: s.Voters, MaxInstances: cmp.Or(s.MaxInstances, in.platform.Settings.GroupSize), Floor: s.FloorFraction, Term: int64(s.Term), OmitCheck: omittedCheck}}
	for _, t := range in.platform.Shares {
		settings.Tenants = append(settings.Tenants, t.Name)
	}
	leaderUntil := int64(0) // until when this instance is the leader; used by the core's goroutine alone
	in.shared = shared.New(settings, in.platform.Seed^epoch, in.startedAt.UnixNano(), shared.Callbacks{
		Claim: func(c lease.Claim) { audit.add("claim", in.options.Now(), c) },
		Leader: func(until int64) {
			now := in.options.Now()
			if now.UnixNano() > leaderUntil {
				log.Info("hands budgets out", "reason", "majority", "for", time.Unix(0, until).Sub(now).Round(time.Millisecond))
			}
			leaderUntil = until
			audit.add("reign", now, until)
		},
		Decision: func(v outlier.Decision) {
			audit.add("verdict", in.options.Now(), v)
			state := "ended"
			if v.Avoided {
				state = "avoided"
			}
			log.Warn("office judged", "server", strconv.FormatUint(v.Server, 16), "state", state, "reason", v.Reason, "witnesses", v.Observers, "against", v.GoodReports)
		},
	})
	in.addModule(in.shared)
	handlers := map[string]peers.Handler{"look": func(_ context.Context, _ string, c net.Conn) {
		c.SetDeadline(time.Now().Add(statusWriteTimeout))
		if b, err := json.Marshal(in.peersStatus()); err == nil {
			peers.WriteMessage(c, b)
		}
	}}
	var err error
	in.peers, err = peers.New(peers.Options{Name: name, Site: s.Site, Machine: s.Machine, Version: version(), Epoch: epoch, Listen: s.Listen,
		Advertise: s.Advertise, Seeds: s.Seeds, AddrOverrides: s.AddrOverrides, Keys: s.DecodedKeys, MembersFile: membersFile(in.settings), Log: log, Module: in.shared,
		TryRun: func(f func(int64)) bool { return in.core.TryRun(f) }, Handlers: handlers})
	if err != nil {
		return subsystem{}, err
	}
	return subsystem{
		run: func(ctx context.Context) error {
			g, ctx := errgroup.WithContext(ctx)
			g.Go(func() error {
				if err := in.peers.Run(ctx); err != nil { // calls do not depend on it
					log.Error("not a member of the fleet", "reason", "failed", "err", err)
				}
				return nil
			})
			g.Go(func() error { return audit.run(ctx, in) })
			return g.Wait()
		},
		status: func(st *ctl.Status) { st.Peers = in.peersStatus() },
		reload: func(p *config.OperatorSettings) {
			if len(p.Peers.DecodedKeys) > 0 && !slices.EqualFunc(p.Peers.DecodedKeys, s.DecodedKeys, slices.Equal) {
				if err := in.peers.SetKeys(p.Peers.DecodedKeys); err != nil {
					log.Error("keys kept", "reason", "unfit", "err", err)
				}
			}
		},
	}, nil
}

// statusWriteTimeout is how long another member may take to read this one's status.
const statusWriteTimeout = 2 * time.Second

// membersFile is the path of the file that keeps the members' addresses; empty if the settings name no directory for
// state.
func membersFile(settings *config.OperatorSettings) string {
	if settings.State.Dir == "" {
		return ""
	}
	return filepath.Join(settings.State.Dir, "members.json")
}

// peersStatus is what this instance knows of the other members of its fleet.
func (in *instance) peersStatus() *ctl.Peers {
	t := &ctl.Peers{Status: in.peers.Status()}
	in.core.Inspect(func() { t.Shared = in.shared.Snapshot(in.options.Now().UnixNano()) })
	return t
}

// auditLog writes the claims of this instance to a file, as JSON Lines for a checker. It never blocks the core: records
// that do not fit into its queue are dropped and counted.
type auditLog struct {
	path    string
	records chan any
	dropped atomic.Int64
}

// auditRecord is one line of the audit file. Times are by the core's clock, in Unix nanoseconds.
type auditRecord struct {
	At    int64  `json:"at"`
	Kind  string `json:"kind"` // start, claim, reign (leadership), verdict (outlier decision) or look (snapshot)
	Claim any    `json:"claim"`
	// Only for the kind "look": how many members are considered alive, and the bytes and datagrams sent so far.
	Alive     int   `json:"alive,omitempty"`
	Bytes     int64 `json:"bytes,omitempty"`
	Datagrams int64 `json:"datagrams,omitempty"`
}

func (a *auditLog) add(kind string, at time.Time, claim any) {
	if a.path == "" {
		return
	}
	select {
	case a.records <- auditRecord{At: at.UnixNano(), Kind: kind, Claim: claim}:
	default:
		a.dropped.Add(1)
	}
}

// auditInterval is how often the counts and budgets are written, in addition to each change.
const auditInterval = 500 * time.Millisecond

func (a *auditLog) run(ctx context.Context, in *instance) error {
	if a.path == "" {
		return nil
	}
	f, err := os.OpenFile(a.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		in.log.Error("claims not written", logs.PartKey, "peers", "reason", "disk", "err", err)
		return nil
	}
	defer f.Close()
	e := json.NewEncoder(f)
	tick := time.NewTicker(auditInterval)
	defer tick.Stop()
	for {
		var l any
		select {
		case <-ctx.Done():
			return nil
		case l = <-a.records:
		case <-tick.C:
			var snapshot shared.Snapshot
			at := int64(math.MinInt64)
			in.core.Inspect(func() {
				at = in.options.Now().UnixNano()
				snapshot = in.shared.Snapshot(at)
			})
			if at == math.MinInt64 {
				return nil // the core has ended
			}
			st := in.peers.Status()
			record := auditRecord{At: at, Kind: "look", Claim: snapshot, Bytes: st.SentBytes, Datagrams: st.SentDatagrams}
			for _, m := range st.Members {
				if m.State == peers.Alive || m.State == peers.Suspect {
					record.Alive++
				}
			}
			l = record
		}
		if err := e.Encode(l); err != nil {
			in.log.Error("claims not written", logs.PartKey, "peers", "reason", "disk", "err", err)
			return nil
		}
	}
}
