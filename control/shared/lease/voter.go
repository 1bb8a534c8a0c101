package lease

import (
	"slices"
)

// promise is a keeper's word.
type promise struct {
	to    ID
	round uint64
	until int64
}

// candidate bids, or bids again while it reigns.
func (n *Node) candidate(now int64, out []Out) []Out {
	if now < n.muted {
		return out
	}
	if !n.Reigns(now) && n.bidAt > 0 && now-n.bidAt >= n.cfg.Term/bidParts {
		// The round came to nothing. The keepers are let go, this one too, and another candidate has a chance before the next.
		for _, k := range n.cfg.Keepers {
			out = n.to(now, k, Message{Kind: Yield, Round: n.round}, out)
		}
		n.bidAt, n.nextBid = 0, now+n.rng.Int64N(n.cfg.Term/2+1)
	}
	if now < n.nextBid {
		return out
	}
	if !n.Reigns(now) && now < n.given.until && n.given.to != n.id {
		n.nextBid = n.given.until + n.rng.Int64N(n.cfg.Term/4+1)
		return out
	}
	n.round++
	n.bidAt, n.bids = now, map[string]bool{}
	n.nextBid = now + n.cfg.Term/4 + n.rng.Int64N(n.cfg.Term/8+1)
	for _, k := range n.cfg.Keepers {
		out = n.to(now, k, Message{Kind: Bid, Round: n.round}, out)
	}
	return out
}

// promised counts the keepers that are this candidate's for its last round.
func (n *Node) promised(now int64, m Message) {
	if !n.keeper || m.Round != n.round || n.bidAt == 0 || !slices.Contains(n.cfg.Keepers, m.From.Name) {
		return
	}
	n.bids[m.From.Name] = true
	if len(n.bids) <= len(n.cfg.Keepers)/2 {
		return
	}
	until := n.bidAt + n.cfg.usable()
	if now >= until {
		return
	}
	if !n.Reigns(now) { // a new reign: parts that the one before granted may be in use for a term
		n.holders = map[ID]*holder{}
		if n.opens = now + n.cfg.Term; n.cfg.Without == Open {
			n.opens = now
		}
	}
	if until > n.reign {
		n.reign = until
		n.onReign(until)
	}
}

const (
	// bidParts is the part of a term after which a bid without a majority is given up: several round trips.
	bidParts = 8
)
