package scale

import (
	"context"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"masthill/internal/peers"
)

// Sight is what one member shows at one moment.
type MemberStatus struct {
	Number    int           `json:"number"`
	Name      string        `json:"name"`
	Alive     int           `json:"alive"` // members that it takes to be there, itself among them
	Suspect   int           `json:"suspect"`
	Gone      int           `json:"gone"`
	Deaths    int64         `json:"deaths"`            // how often it took another to have died, since the start of its process
	Avoided   []uint64      `json:"avoided,omitempty"` // servers, on the others' word
	Allocates bool          `json:"allocates,omitempty"`
	Received  int64         `json:"heard"`
	Dropped   int64         `json:"dropped"`
	Traffic   peers.Traffic `json:"traffic"`
	ListPos   int64         `json:"list_pos"`
}

// Look is what a group shows at one moment.
type Snapshot struct {
	At              int64          `json:"at"` // Unix nanoseconds
	Members         []MemberStatus `json:"members"`
	CPU             time.Duration  `json:"cpu_ns"` // of the process, since its start
	Resident        int64          `json:"resident_bytes"`
	Heap            int64          `json:"heap_bytes"` // live, after a collection
	CountAgesMS     []int64        `json:"count_ages_ms,omitempty"`
	JudgementAgesMS []int64        `json:"judgement_ages_ms,omitempty"`
	CountSources    int            `json:"sources,omitempty"` // processes whose counts a member keeps, at most
	Claims          []Claim        `json:"claims,omitempty"`
	ClaimsLost      int            `json:"claims_lost,omitempty"`
}

// Ask is what a look is to tell beside what it always does; each costs processor time in the process that is looked at.
type SnapshotOptions struct {
	MembersForAges int  `json:"ages"`   // ask so many members how old what they know is
	Heap           bool `json:"heap"`   // collect garbage first, and tell what lives
	Claims         bool `json:"claims"` // and the claims since the last such look
}

// Group is some hollow members in this process.
type Group struct {
	spec    *Spec
	ctx     context.Context
	mu      sync.Mutex
	members map[int]*Member
	claims  []Claim // of members that have ended
}

// NewGroup makes an empty group; ctx ends all its members.
func NewGroup(ctx context.Context, s *Spec) *Group {
	return &Group{spec: s, ctx: ctx, members: map[int]*Member{}}
}

// Start starts members, pausing between them.
func (g *Group) Start(numbers []int, pause time.Duration) error {
	for _, k := range numbers {
		m, err := NewMember(g.spec, k)
		if err != nil {
			return fmt.Errorf("member %d: %w", k, err)
		}
		m.Start(g.ctx)
		g.mu.Lock()
		g.members[k] = m
		g.mu.Unlock()
		select {
		case <-g.ctx.Done():
			return g.ctx.Err()
		case <-time.After(pause):
		}
	}
	debug.FreeOSMemory() // as the program does after its start
	return nil
}

// Stop has members leave as at a planned end, one after the other.
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
		claims, _ := m.claims.take()
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

// Cut has these members reach only each other and all others only themselves; none: all reach all.
func (g *Group) Partition(numbers []int) {
	inside := map[int]bool{}
	for _, k := range numbers {
		inside[k] = true
	}
	for _, m := range g.all() {
		if len(numbers) == 0 {
			m.cut.Store(nil)
			continue
		}
		here := inside[m.k]
		reaches := func(other int) bool { return inside[other] == here }
		m.cut.Store(&reaches)
	}
}

// Silence has the made-up calls of all members to a server get no answer; 0: all servers answer.
func (g *Group) SilenceServer(server uint64) {
	for _, m := range g.all() {
		m.feed.silent.Store(server)
	}
}

// Call sets the made-up calls of all members, a second.
func (g *Group) SetCallRate(rate float64) {
	for _, m := range g.all() {
		m.feed.rate.Store(math.Float64bits(rate))
	}
}

func (g *Group) all() (all []*Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		all = append(all, m)
	}
	return all
}

// Look looks at all members.
func (g *Group) Snapshot(a SnapshotOptions) Snapshot {
	l := Snapshot{At: time.Now().UnixNano()}
	for n, m := range g.all() {
		l.Members = append(l.Members, m.sight())
		if n < a.MembersForAges {
			m.ages(&l)
		}
		if a.Claims {
			claims, lost := m.claims.take()
			l.Claims, l.ClaimsLost = append(l.Claims, claims...), l.ClaimsLost+lost
		}
	}
	if a.Claims {
		g.mu.Lock()
		l.Claims, g.claims = append(l.Claims, g.claims...), nil
		g.mu.Unlock()
	}
	l.CPU, l.Resident = usage()
	if a.Heap {
		l.Heap = heap()
	}
	return l
}

// sight looks at one member.
func (m *Member) sight() MemberStatus {
	st := m.peers.Status()
	s := MemberStatus{Number: m.k, Name: st.Name, Received: st.Received, Dropped: st.Dropped, Deaths: st.Deaths, Traffic: st.Traffic}
	for _, one := range st.Members {
		switch one.State {
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
	s.Avoided, s.Allocates = m.claims.now(m.now().UnixNano())
	return s
}

// ages tells how old what a member knows of each other one is.
func (m *Member) ages(l *Snapshot) {
	now := m.now().UnixNano()
	l.JudgementAgesMS = append(l.JudgementAgesMS, m.ear.ages(now)...)
	m.core.Inspect(func() {
		known := m.shared.Snapshot(now).KnownCounts
		l.CountSources = max(l.CountSources, len(known))
		for _, k := range known {
			if k.Name != m.spec.Name(m.k) {
				l.CountAgesMS = append(l.CountAgesMS, k.AgeMS)
			}
		}
	})
}

// usage is this process's processor time and resident memory.
func usage() (time.Duration, int64) {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), residentOf(os.Getpid())
}

// heap is what lives on the heap.
func heap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
