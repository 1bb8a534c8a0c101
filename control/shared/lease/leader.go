package lease

import (
	"math"
	"slices"
)

// maxBudgets and maxHolders bound what is kept. There are as many budgets as cold servers and limited tenants.
const (
	maxBudgets = 256
	maxHolders = 4096
)

// reservation is what the leader counts as in use of one budget by one holder.
type reservation struct {
	reserved, requested, size int64
	until                     int64
}

// holder is a process that has requested leases from the leader.
type holder struct {
	round        uint64 // of its newest request
	until        int64  // all its reservations are over by then
	reservations map[string]reservation
}

// beginLeadership starts a new leadership term. Leases of the previous leader may be in use for one more term, so nothing
// is granted before.
func (n *Node) beginLeadership(now int64) {
	n.holders = map[ID]*holder{}
	n.grantsFrom = now + n.cfg.Term
	if n.cfg.OmitCheck == CheckGrantDelay {
		n.grantsFrom = now
	}
}

// onLeaseRequest grants what the pools have left for the requester, or names the leader if this instance is not it.
func (n *Node) onLeaseRequest(now int64, m Message) []Outgoing {
	if !n.IsLeader(now) || now < n.grantsFrom {
		return n.redirect(now, m)
	}
	h := n.holder(m.From)
	if h == nil || m.Round <= h.round || len(m.Budgets) > MaxLeasesPerMessage {
		return nil
	}
	h.round, h.until = m.Round, now+n.cfg.Term
	h.reservations = carriedOver(now, h.reservations, m.Budgets)
	reply := Message{Kind: LeaseGrant, Round: m.Round, ToEpoch: m.From.Epoch}
	for _, request := range m.Budgets {
		if request.Size <= 0 || request.Rate < 0 || request.Held < 0 {
			continue
		}
		rate := n.reserve(now, m.From, h, request)
		reply.Budgets = append(reply.Budgets, BudgetLease{Budget: request.Budget, Rate: rate})
	}
	return n.send(now, m.From.Name, reply, nil)
}

// redirect tells a requester who the leader is, if this voter's vote tells it.
func (n *Node) redirect(now int64, m Message) []Outgoing {
	leader := ""
	if n.isVoter && now < n.ballot.until && n.ballot.candidate.Name != m.From.Name {
		leader = n.ballot.candidate.Name
	}
	return n.send(now, m.From.Name, Message{Kind: Redirect, Round: m.Round, Leader: leader, ToEpoch: m.From.Epoch}, nil)
}

// holder finds or makes the entry of a holder; nil when there are too many.
func (n *Node) holder(id ID) *holder {
	h := n.holders[id]
	if h == nil && len(n.holders) < maxHolders {
		h = &holder{reservations: map[string]reservation{}}
		n.holders[id] = h
	}
	return h
}

// carriedOver keeps the reservations that a new request does not name: the holder has given those budgets up, but a grant
// may still be on its way to it.
func carriedOver(now int64, before map[string]reservation, requests []BudgetLease) map[string]reservation {
	kept := map[string]reservation{}
	for name, r := range before {
		named := slices.ContainsFunc(requests, func(b BudgetLease) bool { return b.Budget == name })
		if now < r.until && !named && len(kept) < maxBudgets {
			r.requested = 0
			kept[name] = r
		}
	}
	return kept
}

// reserve decides what a holder gets of one budget. It counts that as in use, or what the holder has already if that is
// more.
func (n *Node) reserve(now int64, id ID, h *holder, request BudgetLease) (rate int64) {
	r := reservation{reserved: request.Held, requested: request.Rate, size: request.Size, until: now + n.cfg.Term}
	h.reservations[request.Budget] = r
	fair, left := n.fairShare(now, request.Budget, id)
	rate = max(min(request.Rate, fair, left), 0)
	r.reserved = max(request.Held, rate)
	h.reservations[request.Budget] = r
	return rate
}

// fairShare is a holder's max-min fair share of a budget's pool: holders that request less than an equal share get all of
// it, and the others divide the rest equally. left is the part of the pool that no other holder may be using.
func (n *Node) fairShare(now int64, budget string, of ID) (fair, left int64) {
	size := int64(math.MaxInt64)
	var requests []int64
	others := int64(0)
	for id, h := range n.holders {
		r, ok := h.reservations[budget]
		if !ok || now >= r.until {
			continue
		}
		size = min(size, r.size) // where holders disagree on the size, the least counts
		requests = append(requests, r.requested)
		if id != of {
			others += r.reserved
		}
	}
	pool := n.cfg.pool(size)
	left = pool - others
	if n.cfg.OmitCheck == CheckReservations {
		left = pool
	}
	slices.Sort(requests)
	for k, request := range requests {
		fair = pool / int64(len(requests)-k)
		if request > fair {
			return fair, left
		}
		pool -= request
	}
	return math.MaxInt64, left
}

// Reserved is what the leader counts as in use of a budget, and by how many holders; zero on other instances.
func (n *Node) Reserved(now int64, budget string) (rate int64, holders int) {
	for _, h := range n.holders {
		if r, ok := h.reservations[budget]; ok && now < r.until && n.IsLeader(now) {
			rate += r.reserved
			holders++
		}
	}
	return rate, holders
}
