package lease

import (
	"math"
	"slices"
)

// booked is what a holder may be using, for all that the allocator knows.
type booked struct {
	rate, want, size int64
	until            int64
}

// holder is one that has asked the allocator.
type holder struct {
	round uint64
	until int64 // all of it is over then
	parts map[string]booked
}

const (
	// budgetsMost and holdersMost bound what is kept; there are as many budgets as cold servers and limited members.
	budgetsMost, holdersMost = 256, 4096
)

// asksOf grants what can be granted.
func (n *Node) asksOf(now int64, m Message) []Out {
	if !n.Reigns(now) || now < n.opens {
		name := ""
		if n.keeper && now < n.given.until && n.given.to.Name != m.From.Name {
			name = n.given.to.Name
		}
		return n.to(now, m.From.Name, Message{Kind: Elsewhere, Round: m.Round, Name: name, For: m.From.Epoch}, nil)
	}
	h := n.holders[m.From]
	if h == nil {
		if len(n.holders) >= holdersMost {
			return nil
		}
		h = &holder{parts: map[string]booked{}}
		n.holders[m.From] = h
	}
	if m.Round <= h.round || len(m.Parts) > PartsMost {
		return nil
	}
	before := h.parts
	h.round, h.until, h.parts = m.Round, now+n.cfg.Term, map[string]booked{}
	for name, b := range before { // of what it no longer names it has let go, but for a grant that is on its way
		if now < b.until && !slices.ContainsFunc(m.Parts, func(p Part) bool { return p.Budget == name }) && len(h.parts) < budgetsMost {
			b.want = 0
			h.parts[name] = b
		}
	}
	reply := Message{Kind: Grant, Round: m.Round, For: m.From.Epoch}
	for _, p := range m.Parts {
		if p.Size <= 0 || p.Rate < 0 || p.Hold < 0 {
			continue
		}
		b := booked{rate: p.Hold, want: p.Rate, size: p.Size, until: now + n.cfg.Term}
		h.parts[p.Budget] = b
		fair, left := n.fair(now, p.Budget, m.From)
		rate := max(min(p.Rate, fair, left), 0)
		b.rate = max(p.Hold, rate)
		h.parts[p.Budget] = b
		reply.Parts = append(reply.Parts, Part{Budget: p.Budget, Rate: rate})
	}
	return n.to(now, m.From.Name, reply, nil)
}

// fair is a holder's part of a budget's pool if all who want some share it alike (max-min: whoever wants less than an equal
// part has all it wants), and left is what the others may not be using.
func (n *Node) fair(now int64, budget string, of ID) (fair, left int64) {
	size := int64(math.MaxInt64)
	var wants []int64
	others := int64(0)
	for id, h := range n.holders {
		b, ok := h.parts[budget]
		if !ok || now >= b.until {
			continue
		}
		size = min(size, b.size) // of different sizes the least holds
		wants = append(wants, b.want)
		if id != of {
			others += b.rate
		}
	}
	pool := n.cfg.pool(size)
	if left = pool - others; n.cfg.Without == Book {
		left = pool
	}
	slices.Sort(wants)
	for k, want := range wants {
		if fair = pool / int64(len(wants)-k); want > fair {
			return fair, left
		}
		pool -= want
	}
	return math.MaxInt64, left
}

// Booked is what the allocator holds to be in use of a budget, and by how many; zero elsewhere.
func (n *Node) Booked(now int64, budget string) (rate int64, holders int) {
	for _, h := range n.holders {
		if b, ok := h.parts[budget]; ok && now < b.until && n.Reigns(now) {
			rate += b.rate
			holders++
		}
	}
	return rate, holders
}

// Reigns tells whether this is the allocator now.
func (n *Node) Reigns(now int64) bool { return now < n.reign }

// Allocator is the one that hands budgets out as far as this instance knows; empty: none is known.
func (n *Node) Allocator(now int64) string {
	switch {
	case n.Reigns(now):
		return n.id.Name
	case n.keeper && now < n.given.until:
		return n.given.to.Name
	}
	return n.whom
}

// OnReign has f told each time this instance becomes the allocator until a time, or longer.
func (n *Node) OnReign(f func(until int64)) { n.onReign = f }
