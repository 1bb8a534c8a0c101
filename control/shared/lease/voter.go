package lease

import "slices"

// votingTimeoutsPerTerm sets after which part of a term a round of voting without a majority is given up. The part is
// several round trips long.
const votingTimeoutsPerTerm = 8

// ballot is a voter's vote, which binds it until its end.
type ballot struct {
	candidate ID
	round     uint64
	until     int64
}

// campaign requests votes when it is time to. The leader does so again and again to extend its term.
func (n *Node) campaign(now int64, outgoing []Outgoing) []Outgoing {
	if now < n.silentUntil {
		return outgoing
	}
	if n.votingFailed(now) {
		// The votes are released, this node's own too, so that another candidate may win before the next round.
		outgoing = n.sendToVoters(now, Message{Kind: VoteRelease, Round: n.votingRound}, outgoing)
		n.votingStartedAt, n.nextVotingAt = 0, now+n.rng.Int64N(n.cfg.Term/2+1)
	}
	if now < n.nextVotingAt {
		return outgoing
	}
	if !n.IsLeader(now) && now < n.ballot.until && n.ballot.candidate != n.id {
		n.nextVotingAt = n.ballot.until + n.rng.Int64N(n.cfg.Term/4+1)
		return outgoing
	}
	n.votingRound++
	n.votingStartedAt, n.votes = now, map[string]bool{}
	n.nextVotingAt = now + n.cfg.Term/4 + n.rng.Int64N(n.cfg.Term/8+1)
	return n.sendToVoters(now, Message{Kind: VoteRequest, Round: n.votingRound}, outgoing)
}

// votingFailed tells whether the open round of voting has had no majority in time.
func (n *Node) votingFailed(now int64) bool {
	return !n.IsLeader(now) && n.votingStartedAt > 0 && now-n.votingStartedAt >= n.cfg.Term/votingTimeoutsPerTerm
}

// sendToVoters sends a message to each voter, this node among them.
func (n *Node) sendToVoters(now int64, m Message, outgoing []Outgoing) []Outgoing {
	for _, voter := range n.cfg.Voters {
		outgoing = n.send(now, voter, m, outgoing)
	}
	return outgoing
}

// onVoteRequest votes for the candidate unless a vote for another one is still binding.
func (n *Node) onVoteRequest(now int64, m Message) []Outgoing {
	if !n.isVoter || now < n.silentUntil {
		return nil
	}
	if now < n.ballot.until {
		if n.ballot.candidate != m.From {
			return nil
		}
		if m.Round < n.ballot.round { // it is late: the release of that round must not undo the vote of a newer one
			return nil
		}
	}
	n.ballot = ballot{m.From, m.Round, now + n.cfg.Term}
	return n.send(now, m.From.Name, Message{Kind: Vote, Round: m.Round, ToEpoch: m.From.Epoch}, nil)
}

// onVoteRelease ends the vote that was given for the released round.
func (n *Node) onVoteRelease(now int64, m Message) {
	if n.ballot.candidate == m.From && n.ballot.round == m.Round {
		n.ballot.until = min(n.ballot.until, now)
	}
}

// onVote counts the votes for this candidate's open round, and makes it the leader when they are a majority.
func (n *Node) onVote(now int64, m Message) {
	if !n.isVoter || m.Round != n.votingRound || n.votingStartedAt == 0 || !slices.Contains(n.cfg.Voters, m.From.Name) {
		return
	}
	n.votes[m.From.Name] = true
	if len(n.votes) <= len(n.cfg.Voters)/2 {
		return
	}
	until := n.votingStartedAt + n.cfg.usableTerm()
	if now >= until {
		return
	}
	if !n.IsLeader(now) {
		n.beginLeadership(now)
	}
	if until > n.leaderUntil {
		n.leaderUntil = until
		n.onLeader(until)
	}
}
