package lease

// requestsPerTerm is how often in a term a holder renews its leases. Three requests in a row may be lost before a lease
// expires.
const requestsPerTerm = 4

// requestLeases asks the leader for what this instance could use, and tells it what it holds. What it holds beyond its
// request it gives up now, before the leader is told.
func (n *Node) requestLeases(now int64, outgoing []Outgoing) []Outgoing {
	interval := n.cfg.Term / requestsPerTerm
	n.nextRequestAt = now + interval + n.rng.Int64N(interval/4+1)
	if len(n.cfg.Voters) == 0 {
		return outgoing
	}
	requests := n.leaseRequests(now)
	if len(requests) == 0 {
		return outgoing
	}
	if !n.requestAnswered || n.requestTarget == "" { // the last target is not answering: try the next voter
		n.voterIndex++
		n.requestTarget = n.cfg.Voters[n.voterIndex%len(n.cfg.Voters)]
	}
	n.requestRound++
	n.requestedAt, n.requestAnswered = now, false
	return n.send(now, n.requestTarget, Message{Kind: LeaseRequest, Round: n.requestRound, Budgets: requests}, outgoing)
}

// leaseRequests lists the budgets to request, after dropping what is expired or no longer needed.
func (n *Node) leaseRequests(now int64) (requests []BudgetLease) {
	for _, name := range n.budgetNames() {
		b := n.budgets[name]
		n.accrue(now, b)
		if now >= b.leasedUntil {
			b.leased = 0
		}
		if b.requested == 0 && b.leased == 0 {
			continue
		}
		if b.leased > b.requested {
			b.leased = b.requested
			n.reportClaim(name, b)
		}
		if len(requests) < MaxLeasesPerMessage {
			requests = append(requests, BudgetLease{Budget: name, Size: b.size, Held: b.leased, Rate: b.requested})
		}
	}
	return requests
}

// onLeaseGrant stores the rates granted for the last request. They are valid for a term from when it was sent.
func (n *Node) onLeaseGrant(now int64, m Message) {
	fromTarget := m.From.Name == n.requestTarget || m.From == n.id
	if m.Round != n.requestRound || n.requestAnswered || !fromTarget {
		return
	}
	n.requestAnswered = true
	until := n.requestedAt + n.cfg.usableTerm()
	if n.cfg.OmitCheck == CheckRequestTime {
		until = now + n.cfg.usableTerm()
	}
	if now >= until {
		return
	}
	for _, grant := range m.Budgets {
		if b := n.budgets[grant.Budget]; b != nil {
			n.accrue(now, b)
			b.leased, b.leasedUntil = max(grant.Rate, 0), until
			n.reportClaim(grant.Budget, b)
		}
	}
}

// onRedirect sends the next request to the leader that was named, soon.
func (n *Node) onRedirect(now int64, m Message) {
	if m.Round == n.requestRound && !n.requestAnswered && m.Leader != "" && m.Leader != n.requestTarget {
		n.requestTarget, n.requestAnswered = m.Leader, true
		n.nextRequestAt = min(n.nextRequestAt, now+n.cfg.Term/requestsPerTerm/4)
	}
}
