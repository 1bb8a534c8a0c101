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

// auditMost bounds the claims that wait to be written down.
const auditMost = 4096

// talking makes the instance a member of its fleet.
func talking(in *instance) (part, error) {
	s := in.own.Peers
	if s.Listen == "" {
		return part{}, nil
	}
	// The core's clock must not step, as parts of budgets end by it.
	began := time.Now()
	in.options.Now = func() time.Time { return began.Add(time.Since(began)) }
	var draw [8]byte
	rand.Read(draw[:])
	epoch := binary.BigEndian.Uint64(draw[:]) | 1
	name := cmp.Or(s.Name, in.p.Name)
	log := in.log.With(logs.PartKey, "peers")
	record := &audit{path: s.AuditFile, lines: make(chan any, auditMost)}
	record.put("start", began, map[string]any{"name": name, "epoch": epoch, "pid": os.Getpid()})
	settings := shared.Config{Control: in.p.Settings, Planned: in.p.PlannedRate, Name: name, Machine: s.Machine, Epoch: epoch, Numbers: s.CountedNumbers,
		Budgets: s.Budgets, DetectOutliers: s.DetectOutliers, Count: count.Config{OmitCheck: without}, Outlier: outlier.Config{OmitCheck: without},
		Lease: lease.Config{Voters: s.Voters, MaxInstances: cmp.Or(s.MaxInstances, in.p.Settings.GroupSize), Floor: s.FloorFraction, Term: int64(s.Term), OmitCheck: without}}
	for _, t := range in.p.Shares {
		settings.Tenants = append(settings.Tenants, t.Name)
	}
	reign := int64(0) // until when; the core's goroutine alone looks at it
	in.shared = shared.New(settings, in.p.Seed^epoch, in.started.UnixNano(), shared.Callbacks{
		Claim: func(c lease.Claim) { record.put("claim", in.options.Now(), c) },
		Leader: func(until int64) {
			now := in.options.Now()
			if now.UnixNano() > reign {
				log.Info("hands budgets out", "reason", "majority", "for", time.Unix(0, until).Sub(now).Round(time.Millisecond))
			}
			reign = until
			record.put("reign", now, until)
		},
		Decision: func(v outlier.Decision) {
			record.put("verdict", in.options.Now(), v)
			state := "ended"
			if v.Avoided {
				state = "avoided"
			}
			log.Warn("office judged", "server", strconv.FormatUint(v.Server, 16), "state", state, "reason", v.Reason, "witnesses", v.Observers, "against", v.GoodReports)
		},
	})
	in.joins(in.shared)
	handlers := map[string]peers.Handler{"look": func(_ context.Context, _ string, c net.Conn) {
		c.SetDeadline(time.Now().Add(lookFor))
		if b, err := json.Marshal(in.talks()); err == nil {
			peers.WriteMessage(c, b)
		}
	}}
	var err error
	in.peers, err = peers.New(peers.Options{Name: name, Site: s.Site, Machine: s.Machine, Version: version(), Epoch: epoch, Listen: s.Listen,
		Advertise: s.Advertise, Seeds: s.Seeds, AddrOverrides: s.AddrOverrides, Keys: s.DecodedKeys, MembersFile: remember(in.own), Log: log, Module: in.shared,
		TryRun: func(f func(int64)) bool { return in.core.TryRun(f) }, Handlers: handlers})
	if err != nil {
		return part{}, err
	}
	return part{
		run: func(ctx context.Context) error {
			g, ctx := errgroup.WithContext(ctx)
			g.Go(func() error {
				if err := in.peers.Run(ctx); err != nil { // calls do not depend on it
					log.Error("no member of the fleet", "reason", "failed", "err", err)
				}
				return nil
			})
			g.Go(func() error { return record.run(ctx, in) })
			return g.Wait()
		},
		status: func(st *ctl.Status) { st.Peers = in.talks() },
		reload: func(p *config.OperatorSettings) {
			if len(p.Peers.DecodedKeys) > 0 && !slices.EqualFunc(p.Peers.DecodedKeys, s.DecodedKeys, slices.Equal) {
				if err := in.peers.SetKeys(p.Peers.DecodedKeys); err != nil {
					log.Error("keys kept", "reason", "unfit", "err", err)
				}
			}
		},
	}, nil
}

// lookFor is how long another member may take to read what this one tells.
const lookFor = 2 * time.Second

// remember names the file of the members' addresses; empty without a folder of its own.
func remember(own *config.OperatorSettings) string {
	if own.State.Dir == "" {
		return ""
	}
	return filepath.Join(own.State.Dir, "members.json")
}

// talks is what this instance knows of its fleet.
func (in *instance) talks() *ctl.Peers {
	t := &ctl.Peers{Status: in.peers.Status()}
	in.core.Inspect(func() { t.Shared = in.shared.Snapshot(in.options.Now().UnixNano()) })
	return t
}

// audit writes down what this instance claims, line by line, for a checker. It never keeps the core waiting: what does not
// fit is counted.
type audit struct {
	path  string
	lines chan any
	lost  atomic.Int64
}

// line is one claim. Times are the core's, in Unix nanoseconds.
type line struct {
	At    int64  `json:"at"`
	Kind  string `json:"kind"` // start, claim, reign, verdict, look
	Claim any    `json:"claim"`
	// A look also tells how many members are taken to be there, and the bytes and datagrams sent so far.
	Alive     int   `json:"alive,omitempty"`
	Bytes     int64 `json:"bytes,omitempty"`
	Datagrams int64 `json:"datagrams,omitempty"`
}

func (a *audit) put(kind string, at time.Time, claim any) {
	if a.path == "" {
		return
	}
	select {
	case a.lines <- line{At: at.UnixNano(), Kind: kind, Claim: claim}:
	default:
		a.lost.Add(1)
	}
}

// lookEvery is how often counts and budgets are written down beside what changes.
const lookEvery = 500 * time.Millisecond

func (a *audit) run(ctx context.Context, in *instance) error {
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
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		var l any
		select {
		case <-ctx.Done():
			return nil
		case l = <-a.lines:
		case <-tick.C:
			var look shared.Snapshot
			at := int64(math.MinInt64)
			in.core.Inspect(func() {
				at = in.options.Now().UnixNano()
				look = in.shared.Snapshot(at)
			})
			if at == math.MinInt64 {
				return nil // the core has ended
			}
			st := in.peers.Status()
			one := line{At: at, Kind: "look", Claim: look, Bytes: st.SentBytes, Datagrams: st.SentDatagrams}
			for _, m := range st.Members {
				if m.State == peers.Alive || m.State == peers.Suspect {
					one.Alive++
				}
			}
			l = one
		}
		if err := e.Encode(l); err != nil {
			in.log.Error("claims not written", logs.PartKey, "peers", "reason", "disk", "err", err)
			return nil
		}
	}
}
