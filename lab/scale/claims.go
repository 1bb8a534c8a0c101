package scale

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"masthill/control/shared/lease"
	"masthill/control/shared/outlier"
)

// maxClaims limits the recorded claims of one member.
const maxClaims = 1 << 15

// Claim records a change of a member's budget lease, of its leadership or of its judgement of a server, with the time by
// the member's clock.
type Claim struct {
	Name        string            `json:"name"`
	Epoch       uint64            `json:"epoch"`
	At          int64             `json:"at"`
	Claim       lease.Claim       `json:"claim"`
	LeaderUntil int64             `json:"reign,omitempty"` // the member is the leader, which allocates budgets, until then
	Decision    *outlier.Decision `json:"verdict,omitempty"`
}

// claims records a member's claims for CheckBudgets.
type claims struct {
	mu       sync.Mutex
	name     string
	epoch    uint64
	recorded []Claim
	dropped  int
	// The current state, besides the record.
	avoided     map[uint64]bool
	leaderUntil int64 // until when this member is the leader
}

func (c *claims) onClaim(now time.Time, one lease.Claim) {
	c.add(Claim{At: now.UnixNano(), Claim: one})
}

func (c *claims) onLeader(now time.Time, until int64) {
	c.mu.Lock()
	c.leaderUntil = until
	c.mu.Unlock()
	c.add(Claim{At: now.UnixNano(), LeaderUntil: until})
}

func (c *claims) onDecision(now time.Time, v outlier.Decision) {
	c.mu.Lock()
	if c.avoided == nil {
		c.avoided = map[uint64]bool{}
	}
	if delete(c.avoided, v.Server); v.Avoided {
		c.avoided[v.Server] = true
	}
	c.mu.Unlock()
	c.add(Claim{At: now.UnixNano(), Decision: &v})
}

// current returns the servers that the member avoids and whether it is the leader, which allocates budgets.
func (c *claims) current(at int64) (avoided []uint64, allocates bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.avoided)), at < c.leaderUntil
}

func (c *claims) setProcess(name string, epoch uint64) { c.name, c.epoch = name, epoch }

func (c *claims) add(one Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.recorded) >= maxClaims {
		c.dropped++
		return
	}
	one.Name, one.Epoch = c.name, c.epoch
	c.recorded = append(c.recorded, one)
}

// drain returns the claims recorded since the last call of drain, and how many were dropped.
func (c *claims) drain() (all []Claim, lost int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all, lost = c.recorded, c.dropped
	c.recorded, c.dropped = nil, 0
	return all, lost
}

// process identifies one process of a member.
type process struct {
	name  string
	epoch uint64
}

// BudgetCheck is the result of checking all claims of a fleet.
type BudgetCheck struct {
	Claims            int      `json:"claims"`
	Budgets           int      `json:"budgets"`
	Overspent         int      `json:"budgets_overspent"` // times that the leases in use added up to more than the pool
	MaxInUse          float64  `json:"most_in_use"`       // greatest use of a pool, as a fraction of it
	ConcurrentLeaders int      `json:"two_allocators"`    // times that two members were leaders at once
	Findings          []string `json:"found,omitempty"`
}

// maxFindings limits the findings that a check describes.
const maxFindings = 10

func (b *BudgetCheck) addFinding(n *int, format string, a ...any) {
	*n++
	if len(b.Findings) < maxFindings {
		b.Findings = append(b.Findings, fmt.Sprintf(format, a...))
	}
}

// CheckBudgets checks that the claims of all members of a fleet are consistent: the leases of a budget never exceed its
// pool, and there is one leader at a time. ended holds when members were killed; they use nothing from then on.
func CheckBudgets(all []Claim, members int, ended map[string]int64) BudgetCheck {
	b := BudgetCheck{}
	slices.SortStableFunc(all, func(x, y Claim) int { return cmp.Compare(x.At, y.At) })
	using := map[string]map[process]Claim{}
	leaders := map[process]int64{}
	for _, c := range all {
		who := process{c.Name, c.Epoch}
		switch {
		case c.Decision != nil:
		case c.LeaderUntil > 0:
			for other, until := range leaders {
				if other != who && isAlive(other, c.At, ended) && until > c.At {
					b.addFinding(&b.ConcurrentLeaders, "%s and %s both allocate at %d", other.name, c.Name, c.At)
				}
			}
			leaders[who] = max(leaders[who], c.LeaderUntil)
		default:
			b.Claims++
			if using[c.Claim.Budget] == nil {
				using[c.Claim.Budget] = map[process]Claim{}
			}
			using[c.Claim.Budget][who] = c
			b.checkSum(c, using[c.Claim.Budget], members, ended)
		}
	}
	b.Budgets = len(using)
	return b
}

// isAlive tells whether a process had not been killed at a time.
func isAlive(p process, at int64, ended map[string]int64) bool {
	end, killed := ended[p.name]
	return !killed || at < end
}

// checkSum adds up the leases of one budget at the time of a claim. Leases grow only by claims, so the greatest sums occur
// at claims.
func (b *BudgetCheck) checkSum(now Claim, using map[process]Claim, members int, ended map[string]int64) {
	sum, size, floor := int64(0), int64(0), int64(0)
	for who, c := range using {
		if c.Claim.Until <= now.At || !isAlive(who, now.At, ended) {
			delete(using, who)
			continue
		}
		sum += c.Claim.Rate
		if c.Claim.Size > size {
			size, floor = c.Claim.Size, c.Claim.Floor
		}
	}
	pool := size - int64(members)*floor
	if sum == 0 || pool <= 0 {
		return
	}
	b.MaxInUse = max(b.MaxInUse, float64(sum)/float64(pool))
	if sum > pool {
		b.addFinding(&b.Overspent, "%s: %d of %d in use at %d by %d", now.Claim.Budget, sum, pool, now.At, len(using))
	}
}
