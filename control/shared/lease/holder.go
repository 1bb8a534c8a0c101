package lease

// part is what this instance has of one budget.
type part struct {
	size, want int64 // as wanted by the modules of this instance
	wantUntil  int64
	rate       int64 // of the pool, in thousandths a second
	until      int64
	level      float64 // saved up
	at         int64   // when it was counted
	used       int64
}

const (
	// askParts is how often in a term a holder asks: three asks in a row may get lost before its part ends.
	askParts = 4
)

// Claim is what this instance has of a budget from now on, until it is replaced or has ended; for the checker's record.
type Claim struct {
	Budget string `json:"budget"`
	Floor  int64  `json:"floor"` // thousandths a second
	Rate   int64  `json:"rate"`
	Until  int64  `json:"until"`
	Used   int64  `json:"used"`
	Size   int64  `json:"size"`
}

// Want says that this instance would use so much of a budget of a size, both in thousandths a second, for the next term.
// What is not wanted again by then is given back.
func (n *Node) Want(now int64, budget string, size, rate int64) {
	p := n.parts[budget]
	if p == nil {
		if len(n.parts) >= budgetsMost {
			return
		}
		p = &part{at: now, level: n.rng.Float64()} // under one unit, drawn: instances that start together do not use theirs together
		n.parts[budget] = p
		n.nextAsk = min(n.nextAsk, now) // the first part is wanted at once
	}
	n.fill(now, p)
	p.size, p.want, p.wantUntil = size, min(max(rate, 0), n.cfg.pool(size)), now+n.cfg.Term
}

// Rate is what this instance may use of a budget now, in thousandths a second.
func (n *Node) Rate(now int64, budget string) int64 {
	p := n.parts[budget]
	if p == nil {
		return 0
	}
	return n.rate(now, p)
}

func (n *Node) rate(now int64, p *part) int64 {
	r := n.cfg.floor(p.size)
	if now < p.until {
		r += p.rate
	}
	return r
}

// fill counts what has been saved up since the last time.
func (n *Node) fill(now int64, p *part) {
	if now <= p.at {
		return
	}
	p.level += float64(n.cfg.floor(p.size)) * float64(now-p.at) / 1e12
	if with := min(now, p.until) - p.at; with > 0 {
		p.level += float64(p.rate) * float64(with) / 1e12
	}
	p.at = now
	p.level = min(p.level, max(1, n.cfg.Burst*float64(n.rate(now, p))/1000))
}

// Has tells whether one unit of a budget could be used now. It changes nothing that shows.
func (n *Node) Has(now int64, budget string) bool {
	p := n.parts[budget]
	if p == nil {
		return false
	}
	n.fill(now, p)
	return p.level >= 1
}

// Use takes one unit of a budget, if there is one.
func (n *Node) Use(now int64, budget string) bool {
	if !n.Has(now, budget) {
		return false
	}
	p := n.parts[budget]
	p.level--
	p.used++
	return true
}

func (n *Node) claim(budget string, p *part) {
	n.onClaim(Claim{Budget: budget, Floor: n.cfg.floor(p.size), Rate: p.rate, Until: p.until, Used: p.used, Size: p.size})
}

// ask tells the allocator what this instance wants and what it has. It holds to what it says it has: what it does not want
// any more it stops using now.
func (n *Node) ask(now int64, out []Out) []Out {
	n.nextAsk = now + n.cfg.Term/askParts + n.rng.Int64N(n.cfg.Term/askParts/4+1)
	if len(n.cfg.Keepers) == 0 {
		return out
	}
	var parts []Part
	for _, name := range sortedKeys(n.parts) {
		p := n.parts[name]
		n.fill(now, p)
		if now >= p.until {
			p.rate = 0
		}
		if p.want == 0 && p.rate == 0 {
			continue
		}
		if p.rate > p.want {
			p.rate = p.want
			n.claim(name, p)
		}
		if len(parts) < PartsMost {
			parts = append(parts, Part{Budget: name, Size: p.size, Hold: p.rate, Rate: p.want})
		}
	}
	if len(parts) == 0 {
		return out
	}
	if !n.heard || n.whom == "" {
		n.turn++
		n.whom = n.cfg.Keepers[n.turn%len(n.cfg.Keepers)]
	}
	n.asked++
	n.askedAt, n.heard = now, false
	return n.to(now, n.whom, Message{Kind: Ask, Round: n.asked, Parts: parts}, out)
}

// granted takes what this instance's last ask brought, for a term from that ask on.
func (n *Node) granted(now int64, m Message) {
	if m.Round != n.asked || n.heard || m.From.Name != n.whom && m.From != n.id {
		return
	}
	n.heard = true
	until := n.askedAt + n.cfg.usable()
	if n.cfg.Without == Anchor {
		until = now + n.cfg.usable()
	}
	if now >= until {
		return
	}
	for _, g := range m.Parts {
		if p := n.parts[g.Budget]; p != nil {
			n.fill(now, p)
			p.rate, p.until = max(g.Rate, 0), until
			n.claim(g.Budget, p)
		}
	}
}

// Held is a budget as this instance has it, for operators.
type Held struct {
	Budget string `json:"budget"`
	Size   int64  `json:"size"`    // thousandths a second
	Floor  int64  `json:"floor"`   // of it
	Rate   int64  `json:"part"`    // of the pool
	LeftMS int64  `json:"left_ms"` // until that part ends
	Want   int64  `json:"want"`
	Used   int64  `json:"used"`
}

// All gives the budgets by name.
func (n *Node) All(now int64) (all []Held) {
	for _, name := range sortedKeys(n.parts) {
		p := n.parts[name]
		h := Held{Budget: name, Size: p.size, Floor: n.cfg.floor(p.size), Want: p.want, Used: p.used}
		if now < p.until {
			h.Rate, h.LeftMS = p.rate, (p.until-now)/1e6
		}
		all = append(all, h)
	}
	return all
}
