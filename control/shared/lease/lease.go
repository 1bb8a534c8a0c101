// Package lease divides shared rate budgets among the instances of a fleet, such as the rate of calls that all of them
// together may send to a cold server. Each instance holds a lease on part of a budget; leases expire by themselves. At
// every moment the rates in use add up to no more than the budget, whichever instances are partitioned, paused, restarted
// or dead.
//
// Part of each budget is divided in advance into floors, one for each instance that may exist, which can be used without
// asking anybody. The rest is the pool, which one leader leases out on demand. The leader is elected by a majority of the
// voters, a fixed set of instance names: a voter votes for one candidate at a time, for one term of its own clock. A voter
// that starts does not vote for one term, so no state has to be kept on disk.
//
// No common clock is needed. Whatever is received is valid for one term from the moment it was requested, by the clock of
// the requester; whatever is given counts as in use for one term from the moment the request arrived, by the clock of the
// giver. The requester's term is shortened by the greatest clock drift, so it always ends first. An instance that was
// paused finds its leases expired when it next reads its clock. docs/design/peers.md has the full argument and its
// assumptions.
//
// The package is pure: callers pass in the time, which must never step and must run at the true rate but for Config.Drift,
// and send the messages it returns. Messages may be lost, delayed, duplicated or reordered.
package lease

import (
	"math/rand/v2"
	"slices"
)

// Node is one instance's part in leasing. Every instance is a holder; those named as voters also vote, and stand as
// candidates for leader.
type Node struct {
	cfg Config
	id  ID
	rng *rand.Rand

	// As a voter.
	isVoter     bool
	silentUntil int64 // it neither votes nor stands as a candidate before
	ballot      ballot

	// As a candidate.
	votingRound     uint64
	votingStartedAt int64 // when the requests of this round were sent; 0: no round is open
	votes           map[string]bool
	nextVotingAt    int64

	// As the leader.
	leaderUntil int64
	grantsFrom  int64 // nothing is granted before, as leases of the previous leader may still be in use
	holders     map[ID]*holder

	// As a holder.
	requestRound    uint64
	requestedAt     int64
	nextRequestAt   int64
	requestAnswered bool
	requestTarget   string // the instance that requests go to
	voterIndex      int    // of the voter that was last tried
	budgets         map[string]*budgetState

	onClaim  func(Claim)
	onLeader func(until int64)
}

// New makes a node for a process that starts at now, in nanoseconds of any steady clock. onClaim, if not nil, is told of
// each change of a lease.
func New(c Config, id ID, seed uint64, now int64, onClaim func(Claim)) *Node {
	c.setDefaults()
	if onClaim == nil {
		onClaim = func(Claim) {}
	}
	n := &Node{
		cfg:         c,
		id:          id,
		rng:         rand.New(rand.NewPCG(seed, 0x6c65617365)),
		isVoter:     slices.Contains(c.Voters, id.Name),
		silentUntil: now + c.Term,
		holders:     map[ID]*holder{},
		budgets:     map[string]*budgetState{},
		onClaim:     onClaim,
		onLeader:    func(int64) {},
	}
	if c.OmitCheck == CheckVoterSilence {
		n.silentUntil = now
	}
	n.nextVotingAt = n.silentUntil + n.rng.Int64N(c.Term/4+1)
	n.voterIndex = n.rng.IntN(max(len(c.Voters), 1))
	return n
}

// OnLeader has f called each time this instance becomes the leader until a time, or extends its leadership.
func (n *Node) OnLeader(f func(until int64)) { n.onLeader = f }

// IsLeader tells whether this instance is the leader now.
func (n *Node) IsLeader(now int64) bool { return now < n.leaderUntil }

// Leader is the name of the leader as far as this instance knows; empty when none is known.
func (n *Node) Leader(now int64) string {
	switch {
	case n.IsLeader(now):
		return n.id.Name
	case n.isVoter && now < n.ballot.until:
		return n.ballot.candidate.Name
	}
	return n.requestTarget
}

// Tick does what is due and returns the messages to send. It should be called some twenty times in a term.
func (n *Node) Tick(now int64) (outgoing []Outgoing) {
	n.expire(now)
	if n.isVoter {
		outgoing = n.campaign(now, outgoing)
	}
	if now >= n.nextRequestAt {
		outgoing = n.requestLeases(now, outgoing)
	}
	return outgoing
}

// expire removes holders and budgets whose time is over.
func (n *Node) expire(now int64) {
	for id, h := range n.holders {
		if now >= h.until {
			delete(n.holders, id)
		}
	}
	for name, b := range n.budgets {
		if now >= b.requestedUntil {
			b.requested = 0
		}
		if b.requested == 0 && now >= b.leasedUntil && now >= b.requestedUntil+unusedBudgetTerms*n.cfg.Term {
			delete(n.budgets, name)
		}
	}
}

// Receive handles a message of another instance and returns the messages to send in answer.
func (n *Node) Receive(now int64, m Message) (outgoing []Outgoing) {
	if m.Kind.isReply() && m.ToEpoch != n.id.Epoch && n.cfg.OmitCheck != CheckReplyEpoch {
		return nil
	}
	switch m.Kind {
	case VoteRequest:
		return n.onVoteRequest(now, m)
	case Vote:
		n.onVote(now, m)
	case VoteRelease:
		n.onVoteRelease(now, m)
	case LeaseRequest:
		return n.onLeaseRequest(now, m)
	case LeaseGrant:
		n.onLeaseGrant(now, m)
	case Redirect:
		n.onRedirect(now, m)
	}
	return nil
}

// send appends a message for an instance to outgoing. A message to itself is received at once, and the answers to it are
// appended instead.
func (n *Node) send(now int64, to string, m Message, outgoing []Outgoing) []Outgoing {
	m.From = n.id
	if to == n.id.Name {
		return append(outgoing, n.Receive(now, m)...)
	}
	return append(outgoing, Outgoing{to, m})
}
