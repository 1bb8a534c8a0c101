package scale

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"masthill/internal/peers"
)

// MemberStatus is the state of one member at one time.
type MemberStatus struct {
	Number    int           `json:"number"`
	Name      string        `json:"name"`
	Alive     int           `json:"alive"` // members that it sees as alive or suspect, including itself
	Suspect   int           `json:"suspect"`
	Gone      int           `json:"gone"`
	Deaths    int64         `json:"deaths"`            // how often it declared another member dead, since the start of its process
	Avoided   []uint64      `json:"avoided,omitempty"` // servers, by judgements shared with other members
	Allocates bool          `json:"allocates,omitempty"`
	Received  int64         `json:"heard"`
	Dropped   int64         `json:"dropped"`
	Traffic   peers.Traffic `json:"traffic"`
	ListPos   int64         `json:"list_pos"`
}

// Snapshot is the state of a group at one time.
type Snapshot struct {
	At              int64          `json:"at"` // Unix nanoseconds
	Members         []MemberStatus `json:"members"`
	CPU             time.Duration  `json:"cpu_ns"` // processor time of the process, since its start
	Resident        int64          `json:"resident_bytes"`
	Heap            int64          `json:"heap_bytes"` // live bytes, after a garbage collection
	CountAgesMS     []int64        `json:"count_ages_ms,omitempty"`
	JudgementAgesMS []int64        `json:"judgement_ages_ms,omitempty"`
	CountSources    int            `json:"sources,omitempty"` // the most processes whose counts a member keeps
	Claims          []Claim        `json:"claims,omitempty"`
	ClaimsLost      int            `json:"claims_lost,omitempty"`
}

// SnapshotOptions selects optional parts of a snapshot. Each costs processor time in the measured process.
type SnapshotOptions struct {
	MembersForAges int  `json:"ages"`   // how many members report the ages of what they know
	Heap           bool `json:"heap"`   // collect garbage first and report the live heap
	Claims         bool `json:"claims"` // include the claims since the last snapshot with claims
}

// Group is a set of hollow members in this process.
type Group struct {
	spec     *Spec // read only
	ctx      context.Context
	mu       sync.Mutex
	members  map[int]*Member
	claims   []Claim // of members that have stopped
	callRate float64 // synthetic calls per second of each member
}

// NewGroup makes an empty group; the end of ctx stops all its members.
func NewGroup(ctx context.Context, s *Spec) *Group {
	return &Group{spec: s, ctx: ctx, members: map[int]*Member{}, callRate: s.SyntheticCalls}
}

// Start starts members, with a pause after each.
func (g *Group) Start(numbers []int, pause time.Duration) error {
	for _, k := range numbers {
		m, err := NewMember(g.spec, k)
		if err != nil {
			return fmt.Errorf("member %d: %w", k, err)
		}
		g.mu.Lock()
		m.feed.setRate(g.callRate)
		m.Start(g.ctx)
		g.members[k] = m
		g.mu.Unlock()
		select {
		case <-g.ctx.Done():
			return g.ctx.Err()
		case <-time.After(pause):
		}
	}
	debug.FreeOSMemory() // the program does so after its start, too
	return nil
}

// Stop shuts members down gracefully, one after the other.
func (g *Group) Stop(numbers []int) error {
	for _, k := range numbers {
		g.mu.Lock()
		m := g.members[k]
		delete(g.members, k)
		g.mu.Unlock()
		if m == nil {
			continue
		}
		if err := m.Stop(); err != nil {
			return err
		}
		claims, _ := m.claims.drain()
		g.mu.Lock()
		g.claims = append(g.claims, claims...)
		g.mu.Unlock()
	}
	return nil
}

// Restart stops and starts members one after the other.
func (g *Group) Restart(numbers []int, pause time.Duration) error {
	for _, k := range numbers {
		if err := g.Stop([]int{k}); err != nil {
			return err
		}
		if err := g.Start([]int{k}, pause); err != nil {
			return err
		}
	}
	return nil
}

// Partition separates these members from all others; with no numbers, it ends the partition.
func (g *Group) Partition(numbers []int) {
	inside := map[int]bool{}
	for _, k := range numbers {
		inside[k] = true
	}
	for _, m := range g.allMembers() {
		if len(numbers) == 0 {
			m.reachable.Store(nil)
			continue
		}
		here := inside[m.number]
		reaches := func(other int) bool { return inside[other] == here }
		m.reachable.Store(&reaches)
	}
}

// SilenceServer leaves the synthetic calls of all members to a server unanswered; 0: all servers answer.
func (g *Group) SilenceServer(server uint64) {
	for _, m := range g.allMembers() {
		m.feed.silent.Store(server)
	}
}

// SetCallRate sets the synthetic calls per second of each member, those that start later included.
func (g *Group) SetCallRate(rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.callRate = rate
	for _, m := range g.members {
		m.feed.setRate(rate)
	}
}

func (g *Group) allMembers() (all []*Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		all = append(all, m)
	}
	return all
}

// Snapshot takes a snapshot of all members.
func (g *Group) Snapshot(a SnapshotOptions) Snapshot {
	l := Snapshot{At: time.Now().UnixNano()}
	for n, m := range g.allMembers() {
		l.Members = append(l.Members, m.status())
		if n < a.MembersForAges {
			m.addAges(&l)
		}
		if a.Claims {
			claims, lost := m.claims.drain()
			l.Claims, l.ClaimsLost = append(l.Claims, claims...), l.ClaimsLost+lost
		}
	}
	if a.Claims {
		g.mu.Lock()
		l.Claims, g.claims = append(l.Claims, g.claims...), nil
		g.mu.Unlock()
	}
	l.CPU, l.Resident = processUsage()
	if a.Heap {
		l.Heap = liveHeap()
	}
	return l
}

// status reads the state of one member.
func (m *Member) status() MemberStatus {
	st := m.peers.Status()
	s := MemberStatus{Number: m.number, Name: st.Name, Received: st.Received, Dropped: st.Dropped, Deaths: st.Deaths, Traffic: st.Traffic}
	for _, other := range st.Members {
		switch other.State {
		case peers.Alive:
			s.Alive++
		case peers.Suspect:
			s.Alive++
			s.Suspect++
		case peers.Gone:
			s.Gone++
		}
	}
	s.ListPos, _ = m.list.Position()
	s.Avoided, s.Allocates = m.claims.current(m.now().UnixNano())
	return s
}

// addAges adds the ages of the counts and judgements that a member has of the others.
func (m *Member) addAges(l *Snapshot) {
	now := m.now().UnixNano()
	l.JudgementAgesMS = append(l.JudgementAgesMS, m.module.ages(now)...)
	m.core.Inspect(func() {
		known := m.shared.Snapshot(now).KnownCounts
		l.CountSources = max(l.CountSources, len(known))
		for _, k := range known {
			if k.Name != m.spec.Name(m.number) {
				l.CountAgesMS = append(l.CountAgesMS, k.AgeMS)
			}
		}
	})
}

// processUsage is this process's processor time and resident memory.
func processUsage() (time.Duration, int64) {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), residentOf(os.Getpid())
}

// liveHeap is the size of the live heap, after a garbage collection.
func liveHeap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
