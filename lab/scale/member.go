// Package scale measures what a fleet of masthill costs each member, at sizes that one machine cannot run in full. Most
// members are hollow: the program's own control stack (configuration, discovery client, core, shared state and membership)
// with an address of its own on loopback, many in one process and without calls. Real members, which are processes of the
// program, can run beside them; comparing the two shows how far the figures of hollow members can be trusted.
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

// key encrypts the messages between the members of a run. It is public, so it protects nothing.
const key = "bWFzdGhpbGwtbGFiLWtleQ=="

// plannedPerMember is the planned load of each member, in calls per second: 110,000 over 470 members.
const plannedPerMember = 234

// Spec holds what all members of a fleet have in common.
type Spec struct {
	Size           int     `json:"size"`    // members
	Servers        int     `json:"servers"` // on the list
	Zones          int     `json:"zones"`
	Network        string  `json:"net"`     // the first two octets of all addresses
	DiscoveryAddr  string  `json:"list"`    // address of the discovery service
	InitialList    []byte  `json:"known"`   // the list of servers at the start
	SyntheticCalls float64 `json:"calls"`   // synthetic calls per second at each hollow member; they cause its messages, but not the processor time of calls
	Budgets        bool    `json:"budgets"` // members share the budgets of cold servers
	OmitCheck      string  `json:"without"` // a safety check that is omitted, to show that the tests detect it
	ClockSlowdown  float64 `json:"slow"`    // the clock of hollow members runs so many times slower; up to 1: not slowed
	ClockOrigin    int64   `json:"origin"`  // start of the fleet in Unix nanoseconds, from which the slowed clock runs
	Seed           uint64  `json:"seed"`
}

// slowdown is the factor by which the members' clock runs slower.
func (s *Spec) slowdown() float64 { return max(s.ClockSlowdown, 1) }

// clock makes the members' clock. It does not step, and is the same in all processes of a run.
func (s *Spec) clock() func() time.Time {
	began := time.Now()
	first := s.memberTime(began)
	return func() time.Time { return first.Add(time.Duration(float64(time.Since(began)) / s.slowdown())) }
}

// memberTime converts a time of the machine's clock to the members' clock.
func (s *Spec) memberTime(t time.Time) time.Time {
	if s.slowdown() == 1 {
		return t
	}
	return time.Unix(0, s.ClockOrigin+int64(float64(t.UnixNano()-s.ClockOrigin)/s.slowdown()))
}

// Name is the name of member k.
func (s *Spec) Name(k int) string { return fmt.Sprintf("n%d", k) }

// membersPerSubnet is how many members share the first three octets of their addresses.
const membersPerSubnet = 200

// Addr is the address of member k.
func (s *Spec) Addr(k int) string {
	return fmt.Sprintf("%s.%d.%d:2908", s.Network, 1+k/membersPerSubnet, 1+k%membersPerSubnet)
}

// number is the number of the member with an address; -1: there is none.
func (s *Spec) number(a netip.Addr) int {
	b := a.As4()
	if !strings.HasPrefix(a.String(), s.Network+".") {
		return -1
	}
	return (int(b[2])-1)*membersPerSubnet + int(b[3]) - 1
}

// Voters returns the numbers of the members that elect the leader, which allocates budgets: five, or three in a fleet of
// fewer than 30, on different machines and in different zones.
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

// Settings is the operators' settings file of member k.
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

// Platform is the platform file of member k.
func (s *Spec) Platform(k int) map[string]any {
	p := host.PlatformConfig(s.Name(k), k, host.Site{Instances: s.Size, Servers: s.Servers, Planned: plannedPerMember * float64(s.Size)}, s.DiscoveryAddr,
		s.Seed+uint64(k)*0x9e3779b97f4a7c15)
	p["known"] = json.RawMessage(s.InitialList)
	return p
}

// parseConfig parses a member's files as the program does.
func (s *Spec) parseConfig(k int) (*config.Platform, *config.OperatorSettings, error) {
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

// Member is one hollow member.
type Member struct {
	spec      *Spec
	number    int
	core      *exchange.Exchange
	shared    *shared.Module
	peers     *peers.Peers
	list      *journal.Client
	module    *peerModule
	claims    claims
	reachable atomic.Pointer[func(number int) bool] // tells which members can be reached; nil: all
	feed      feed
	stop      context.CancelFunc
	done      chan error
	now       func() time.Time // the members' clock
}

// noServers implements exchange's connections to servers for a core without calls.
type noServers struct{}

func (noServers) UpdateList([]exchange.Office, bool)    {}
func (noServers) Invite(exchange.Attempt)               {}
func (noServers) Cancel(uint64, string, int)            {}
func (noServers) Bye(uint64, string, int, bool)         {}
func (noServers) ReportSilence(uint64, time.Time, bool) {}

// NewMember assembles a hollow member in the same way as the program does, and opens its address.
func NewMember(s *Spec, k int) (*Member, error) {
	p, own, err := s.parseConfig(k)
	if err != nil {
		return nil, err
	}
	m := &Member{spec: s, number: k, done: make(chan error, 1)}
	now := s.clock()
	began := now()
	m.now = now
	epoch := rand.Uint64() | 1
	m.claims.setProcess(s.Name(k), epoch)
	c := shared.Config{Control: p.Settings, Planned: p.PlannedRate, Name: s.Name(k), Machine: own.Peers.Machine, Epoch: epoch, Numbers: own.Peers.CountedNumbers,
		Budgets: own.Peers.Budgets, DetectOutliers: own.Peers.DetectOutliers, Count: count.Config{OmitCheck: s.OmitCheck}, Outlier: outlier.Config{OmitCheck: s.OmitCheck},
		Lease: lease.Config{Voters: own.Peers.Voters, MaxInstances: own.Peers.MaxInstances, Floor: own.Peers.FloorFraction, Term: int64(own.Peers.Term), OmitCheck: s.OmitCheck}}
	for _, t := range p.Shares {
		c.Tenants = append(c.Tenants, t.Name)
	}
	m.shared = shared.New(c, p.Seed^epoch, began.UnixNano(), shared.Callbacks{
		Claim:    func(one lease.Claim) { m.claims.onClaim(now(), one) },
		Leader:   func(until int64) { m.claims.onLeader(now(), until) },
		Decision: func(v outlier.Decision) { m.claims.onDecision(now(), v) },
	})
	log := slog.New(slog.DiscardHandler)
	m.core, err = exchange.New(exchange.Options{Settings: p.Settings, Seed: p.Seed, Now: now, Log: log, MemoryBytes: p.MemoryMB << 20, Join: []joinModule{m.shared}})
	if err != nil {
		return nil, err
	}
	m.core.SetOffices(noServers{})
	m.list = &journal.Client{Addr: p.Journal, Log: log, OnChange: func(changed []exchange.Office, full bool) {
		m.feed.onListUpdate(changed, full)
		m.core.UpdateOffices(changed, full)
	}}
	m.list.LoadInitial(p.Known)
	m.module = &peerModule{Module: m.shared, omitCheck: s.OmitCheck, judgementsAt: map[string]int64{}}
	m.peers, err = peers.New(peers.Options{Name: s.Name(k), Site: own.Peers.Site, Machine: own.Peers.Machine, Version: "hollow", Epoch: epoch, Listen: own.Peers.Listen,
		Seeds: own.Peers.Seeds, Keys: own.Peers.DecodedKeys, Log: log, Module: m.module, TryRun: m.core.TryRun, Reachable: m.isReachable, ClockSlowdown: s.ClockSlowdown})
	return m, err
}

// isReachable tells whether another member is on the same side of a partition.
func (m *Member) isReachable(a netip.AddrPort) bool {
	cut := m.reachable.Load()
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

// Stop shuts the member down gracefully: it leaves its fleet.
func (m *Member) Stop() error {
	m.stop()
	return <-m.done
}

// peerModule wraps the shared state for the membership, and records when judgements of each other member last arrived.
type peerModule struct {
	*shared.Module
	omitCheck    string
	mu           sync.Mutex
	judgementsAt map[string]int64 // by sender, by the members' clock
}

// CheckPace, as Spec.OmitCheck, sends every message twice, to show that the tests detect excessive traffic.
const CheckPace = "pace"

// Tick implements peers.Module.
func (e *peerModule) Tick(now int64, members int) []shared.Outgoing {
	out := e.Module.Tick(now, members)
	if e.omitCheck == CheckPace {
		out = append(out, out...)
	}
	return out
}

// Receive implements peers.Module.
func (e *peerModule) Receive(now int64, m shared.Message) []shared.Outgoing {
	if m.Health != nil {
		e.mu.Lock()
		e.judgementsAt[m.Health.From] = now
		e.mu.Unlock()
	}
	return e.Module.Receive(now, m)
}

// ages returns the ages of each other member's latest judgements, in milliseconds.
func (e *peerModule) ages(now int64) (all []int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, at := range e.judgementsAt {
		all = append(all, (now-at)/1e6)
	}
	return all
}
