// Package scale measures what a fleet of masthill costs for each member, at sizes that one machine cannot run in full.
// Most members are hollow: the program's own control stack (configuration, discovery client, core, shared state and
// membership) with an address of its own on loopback, many in one process and without calls. Real ones, processes of
// the program, run beside them. The figures of the two are held against each other before hollow ones are believed.
package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/control/shared"
	"masthill/control/shared/count"
	"masthill/control/shared/lease"
	"masthill/control/shared/outlier"
	"masthill/internal/config"
	"masthill/internal/exchange"
	"masthill/internal/journal"
	"masthill/internal/peers"
	"masthill/lab/host"
)

// key seals what the members of a run say to each other; it protects nothing.
const key = "bWFzdGhpbGwtbGFiLWtleQ=="

// plannedEach is the planned load of each member, in calls a second: 110,000 over 470 members.
const plannedEach = 234

// Spec is what all members of a fleet have in common.
type Spec struct {
	Size           int     `json:"size"`    // members
	Servers        int     `json:"servers"` // on the list
	Zones          int     `json:"zones"`
	Network        string  `json:"net"`     // the first two numbers of all addresses
	DiscoveryAddr  string  `json:"list"`    // address of the discovery service
	InitialList    []byte  `json:"known"`   // its list at the start
	SyntheticCalls float64 `json:"calls"`   // made-up calls a second at each hollow member: what they make it tell, not their processor time
	Budgets        bool    `json:"budgets"` // cold servers have a shared budget
	OmitCheck      string  `json:"without"` // a guard that is left out, to show that the checks notice
	ClockSlowdown  float64 `json:"slow"`    // the clock of hollow members runs so many times slower; up to 1: as it is
	ClockOrigin    int64   `json:"origin"`  // when the fleet began, Unix nanoseconds: the slower clock runs from there
	Seed           uint64  `json:"seed"`
}

// slow is by how many times the clock is slower.
func (s *Spec) slow() float64 { return max(s.ClockSlowdown, 1) }

// clock makes the clock of members. It does not step, and is the same in all processes of a run.
func (s *Spec) clock() func() time.Time {
	began := time.Now()
	first := s.at(began)
	return func() time.Time { return first.Add(time.Duration(float64(time.Since(began)) / s.slow())) }
}

// at is a time by the members' clock.
func (s *Spec) at(t time.Time) time.Time {
	if s.slow() == 1 {
		return t
	}
	return time.Unix(0, s.ClockOrigin+int64(float64(t.UnixNano()-s.ClockOrigin)/s.slow()))
}

// Name is a member's name by its number.
func (s *Spec) Name(k int) string { return fmt.Sprintf("n%d", k) }

// perSubnet is how many members share the first three numbers of their addresses.
const perSubnet = 200

// Addr is a member's address by its number.
func (s *Spec) Addr(k int) string {
	return fmt.Sprintf("%s.%d.%d:2908", s.Network, 1+k/perSubnet, 1+k%perSubnet)
}

// number is a member's number by its address; -1: it is none.
func (s *Spec) number(a netip.Addr) int {
	b := a.As4()
	if !strings.HasPrefix(a.String(), s.Network+".") {
		return -1
	}
	return (int(b[2])-1)*perSubnet + int(b[3]) - 1
}

// Voters are the numbers of the members that settle who allocates budgets: five, or three of a small fleet, on different
// machines and zones.
func (s *Spec) Voters() (all []int) {
	n := 5
	if s.Size < 30 {
		n = 3
	}
	for k := range n {
		all = append(all, k)
	}
	return all
}

// Settings is the operators' file of a member.
func (s *Spec) Settings(k int) string {
	var voters, seeds []string
	for _, n := range s.Voters() {
		voters = append(voters, fmt.Sprintf("%q", s.Name(n)))
		if n != k {
			seeds = append(seeds, fmt.Sprintf("%q", s.Name(n)+"/"+s.Addr(n)))
		}
	}
	return fmt.Sprintf("[goodput]\nenabled = true\n[shares]\nenabled = true\n"+
		"[peers]\nlisten = %q\nsite = \"zone-%d\"\nmachine = \"machine-%d\"\nseeds = [%s]\nkeys = [%q]\nkeepers = [%s]\nmost = %d\nbudgets = %v\njudgements = true\n",
		s.Addr(k), k%max(s.Zones, 1), k, strings.Join(seeds, ", "), key, strings.Join(voters, ", "), s.Size, s.Budgets)
}

// Platform is the platform's file of a member.
func (s *Spec) Platform(k int) map[string]any {
	p := host.PlatformConfig(s.Name(k), k, host.Site{Instances: s.Size, Servers: s.Servers, Planned: plannedEach * float64(s.Size)}, s.DiscoveryAddr,
		s.Seed+uint64(k)*0x9e3779b97f4a7c15)
	p["known"] = json.RawMessage(s.InitialList)
	return p
}

// configured reads a member's files as the program does.
func (s *Spec) configured(k int) (*config.Platform, *config.OperatorSettings, error) {
	text, err := json.Marshal(s.Platform(k))
	if err != nil {
		return nil, nil, err
	}
	p, err := config.Parse(text)
	if err != nil {
		return nil, nil, err
	}
	own, err := config.ParseOperatorSettings(s.Name(k), s.Settings(k), func(string) string { return "" })
	return p, own, err
}

// Member is one hollow instance.
type Member struct {
	spec   *Spec
	k      int
	core   *exchange.Exchange
	shared *shared.Module
	peers  *peers.Peers
	list   *journal.Client
	ear    *ear
	claims claims
	cut    atomic.Pointer[func(number int) bool] // which members can be reached; nil: all
	feed   feed
	stop   context.CancelFunc
	done   chan error
	now    func() time.Time // of its core
}

// noServers is the servers' side of a core without calls.
type noServers struct{}

func (noServers) UpdateList([]exchange.Office, bool)    {}
func (noServers) Invite(exchange.Attempt)               {}
func (noServers) Cancel(uint64, string, int)            {}
func (noServers) Bye(uint64, string, int, bool)         {}
func (noServers) ReportSilence(uint64, time.Time, bool) {}

// NewMember assembles a hollow member as the program assembles itself, and opens its address.
func NewMember(s *Spec, k int) (*Member, error) {
	p, own, err := s.configured(k)
	if err != nil {
		return nil, err
	}
	m := &Member{spec: s, k: k, done: make(chan error, 1)}
	now := s.clock()
	began := now()
	m.now = now
	epoch := rand.Uint64() | 1
	m.claims.of(s.Name(k), epoch)
	c := shared.Config{Control: p.Settings, Planned: p.PlannedRate, Name: s.Name(k), Machine: own.Peers.Machine, Epoch: epoch, Numbers: own.Peers.CountedNumbers,
		Budgets: own.Peers.Budgets, DetectOutliers: own.Peers.DetectOutliers, Count: count.Config{OmitCheck: s.OmitCheck}, Outlier: outlier.Config{OmitCheck: s.OmitCheck},
		Lease: lease.Config{Voters: own.Peers.Voters, MaxInstances: own.Peers.MaxInstances, Floor: own.Peers.FloorFraction, Term: int64(own.Peers.Term), OmitCheck: s.OmitCheck}}
	for _, t := range p.Shares {
		c.Tenants = append(c.Tenants, t.Name)
	}
	m.shared = shared.New(c, p.Seed^epoch, began.UnixNano(), shared.Callbacks{
		Claim:    func(one lease.Claim) { m.claims.claim(now(), one) },
		Leader:   func(until int64) { m.claims.reign(now(), until) },
		Decision: func(v outlier.Decision) { m.claims.judged(now(), v) },
	})
	log := slog.New(slog.DiscardHandler)
	m.core, err = exchange.New(exchange.Options{Settings: p.Settings, Seed: p.Seed, Now: now, Log: log, MemoryBytes: p.MemoryMB << 20, Join: []joined{m.shared}})
	if err != nil {
		return nil, err
	}
	m.core.SetOffices(noServers{})
	m.list = &journal.Client{Addr: p.Journal, Log: log, OnChange: func(changed []exchange.Office, full bool) {
		m.feed.listed(changed, full)
		m.core.UpdateOffices(changed, full)
	}}
	m.list.LoadInitial(p.Known)
	m.ear = &ear{Module: m.shared, without: s.OmitCheck, judged: map[string]int64{}}
	m.peers, err = peers.New(peers.Options{Name: s.Name(k), Site: own.Peers.Site, Machine: own.Peers.Machine, Version: "hollow", Epoch: epoch, Listen: own.Peers.Listen,
		Seeds: own.Peers.Seeds, Keys: own.Peers.DecodedKeys, Log: log, Module: m.ear, TryRun: m.core.TryRun, Reachable: m.reach, ClockSlowdown: s.ClockSlowdown})
	return m, err
}

// reach tells whether another member is on this one's side of a cut.
func (m *Member) reach(a netip.AddrPort) bool {
	cut := m.cut.Load()
	return cut == nil || (*cut)(m.spec.number(a.Addr()))
}

// Start runs the member.
func (m *Member) Start(ctx context.Context) {
	ctx, m.stop = context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.core.Run(ctx) })
	g.Go(func() error { return m.list.Run(ctx) })
	g.Go(func() error { return m.peers.Run(ctx) })
	g.Go(func() error { m.feed.run(ctx, m); return nil })
	go func() { m.done <- g.Wait() }()
}

// Stop has the member leave its fleet as at a planned end.
func (m *Member) Stop() error {
	m.stop()
	return <-m.done
}

// ear stands between the membership and the shared state, and notes when each other member's judgements last came.
type ear struct {
	*shared.Module
	without string
	mu      sync.Mutex
	judged  map[string]int64 // by sender: when, by the member's clock
}

// WithoutPace leaves out that everything is told once: a build that talks too much, for the tests to catch.
const CheckPace = "pace"

// Tick implements peers.Module.
func (e *ear) Tick(now int64, members int) []shared.Outgoing {
	out := e.Module.Tick(now, members)
	if e.without == CheckPace {
		out = append(out, out...)
	}
	return out
}

// Receive implements peers.Module.
func (e *ear) Receive(now int64, m shared.Message) []shared.Outgoing {
	if m.Health != nil {
		e.mu.Lock()
		e.judged[m.Health.From] = now
		e.mu.Unlock()
	}
	return e.Module.Receive(now, m)
}

// ages tells how old each other member's newest judgements are, in milliseconds.
func (e *ear) ages(now int64) (all []int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, at := range e.judged {
		all = append(all, (now-at)/1e6)
	}
	return all
}
