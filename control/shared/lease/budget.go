package lease

import (
	"maps"
	"slices"
)

// unusedBudgetTerms is for how many terms a budget that nobody requests is remembered.
const unusedBudgetTerms = 8

// budgetState is what this instance has of one budget. Its rate is enforced by a token bucket.
type budgetState struct {
	size, requested int64 // as requested by this instance's modules
	requestedUntil  int64
	leased          int64 // of the pool, in thousandths of a unit per second
	leasedUntil     int64
	tokens          float64
	accruedAt       int64 // tokens are counted until then
	taken           int64
}

// Claim is what this instance may use of a budget from now until the claim is replaced or expires. Claims are recorded for
// the lab's checker.
type Claim struct {
	Budget string `json:"budget"`
	Floor  int64  `json:"floor"` // thousandths of a unit per second, as are Rate and Size
	Rate   int64  `json:"rate"`
	Until  int64  `json:"until"`
	Used   int64  `json:"used"`
	Size   int64  `json:"size"`
}

// Lease describes a budget and this instance's lease on it, for operators.
type Lease struct {
	Budget    string `json:"budget"`
	Size      int64  `json:"size"`    // thousandths of a unit per second, as are Floor, Rate and Want
	Floor     int64  `json:"floor"`   // usable without a lease
	Rate      int64  `json:"part"`    // leased from the pool
	LeftMS    int64  `json:"left_ms"` // until the lease expires
	Requested int64  `json:"want"`
	Used      int64  `json:"used"`
}

// Request says that this instance could use the given rate of a budget of the given size for the next term. Both are in
// thousandths of a unit per second. A lease that is not requested again within a term is given back.
func (n *Node) Request(now int64, budget string, size, rate int64) {
	b := n.budgets[budget]
	if b == nil {
		if len(n.budgets) >= maxBudgets {
			return
		}
		// A random part of one unit keeps instances that start together from taking their first units together.
		b = &budgetState{accruedAt: now, tokens: n.rng.Float64()}
		n.budgets[budget] = b
		n.nextRequestAt = min(n.nextRequestAt, now) // a new budget is requested at once
	}
	n.accrue(now, b)
	b.size, b.requested, b.requestedUntil = size, min(max(rate, 0), n.cfg.pool(size)), now+n.cfg.Term
}

// Rate is what this instance may use of a budget now, in thousandths of a unit per second.
func (n *Node) Rate(now int64, budget string) int64 {
	b := n.budgets[budget]
	if b == nil {
		return 0
	}
	return n.rateNow(now, b)
}

// rateNow is the floor and the lease, while it lasts.
func (n *Node) rateNow(now int64, b *budgetState) int64 {
	rate := n.cfg.floor(b.size)
	if now < b.leasedUntil {
		rate += b.leased
	}
	return rate
}

// accrue adds the tokens of the time since the last call.
func (n *Node) accrue(now int64, b *budgetState) {
	if now <= b.accruedAt {
		return
	}
	b.tokens += float64(n.cfg.floor(b.size)) * float64(now-b.accruedAt) / 1e12
	if leasedFor := min(now, b.leasedUntil) - b.accruedAt; leasedFor > 0 {
		b.tokens += float64(b.leased) * float64(leasedFor) / 1e12
	}
	b.accruedAt = now
	b.tokens = min(b.tokens, max(1, n.cfg.Burst*float64(n.rateNow(now, b))/1000))
}

// Available tells whether one unit of a budget could be taken now.
func (n *Node) Available(now int64, budget string) bool {
	b := n.budgets[budget]
	if b == nil {
		return false
	}
	n.accrue(now, b)
	return b.tokens >= 1
}

// Take takes one unit of a budget, and tells whether there was one.
func (n *Node) Take(now int64, budget string) bool {
	if !n.Available(now, budget) {
		return false
	}
	b := n.budgets[budget]
	b.tokens--
	b.taken++
	return true
}

// Leases describes all budgets that this instance uses, by name.
func (n *Node) Leases(now int64) (all []Lease) {
	for _, name := range n.budgetNames() {
		b := n.budgets[name]
		h := Lease{Budget: name, Size: b.size, Floor: n.cfg.floor(b.size), Requested: b.requested, Used: b.taken}
		if now < b.leasedUntil {
			h.Rate, h.LeftMS = b.leased, (b.leasedUntil-now)/1e6
		}
		all = append(all, h)
	}
	return all
}

// budgetNames lists the budgets in order, so that the same events always give the same messages.
func (n *Node) budgetNames() []string { return slices.Sorted(maps.Keys(n.budgets)) }

// reportClaim reports what this instance has of a budget from now on.
func (n *Node) reportClaim(budget string, b *budgetState) {
	n.onClaim(Claim{Budget: budget, Floor: n.cfg.floor(b.size), Rate: b.leased, Until: b.leasedUntil, Used: b.taken, Size: b.size})
}
