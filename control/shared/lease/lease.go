// Package lease shares budgets among instances: a rate that all of them together may use, such as set-ups to a cold
// server, is held in parts that end by themselves. At every moment the parts that may be used add up to no more than the
// budget, whoever is cut off, frozen, restarted or gone.
//
// A part of each budget is cut into floors, one for each instance that there may be: it needs nobody's leave. The rest is
// the pool, which one allocator hands out on demand. Who is the allocator is settled by promises of a majority of the
// keepers, a fixed set of names: a keeper promises itself to one candidate at a time, for one term of its own clock, and a
// keeper that starts promises nothing for one term, so that nothing has to be kept on a disk.
//
// No common clock is needed. Everything that is received is good for a term from when it was ASKED for, by the asker's own
// clock; everything that is given is held to be out for a term from when the request CAME, by the giver's. An asker's term
// is shortened by the drift, so that it always ends first. Whoever was frozen finds its parts ended when it looks at the
// clock again. docs/design/peers.md has the argument in full, with what it assumes.
//
// The package is pure: it is told the time, which must never step and run at the true rate but for Config.Drift, and gives
// messages to be sent; they may get lost, come late, twice or in another order.
package lease

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Node is one instance's end of it, in all three parts: keeper, allocator and holder.
type Node struct {
	cfg     Config
	id      ID
	rng     *rand.Rand
	keeper  bool
	muted   int64 // as a keeper, until then
	given   promise
	round   uint64 // of bids
	bidAt   int64  // when this round was sent
	bids    map[string]bool
	nextBid int64
	reign   int64 // until then this is the allocator
	opens   int64 // before that it grants nothing, as parts of the one before it may be in use
	holders map[ID]*holder
	asked   uint64 // rounds of asks
	askedAt int64
	nextAsk int64
	heard   bool   // an answer to the last ask
	whom    string // to ask
	turn    int
	parts   map[string]*part
	onClaim func(Claim)
	onReign func(until int64)
}

// New makes a node that starts at a time, in nanoseconds of any steady clock. onClaim, if any, is told each change.
func New(c Config, id ID, seed uint64, now int64, onClaim func(Claim)) *Node {
	c.defaults()
	if onClaim == nil {
		onClaim = func(Claim) {}
	}
	n := &Node{cfg: c, id: id, rng: rand.New(rand.NewPCG(seed, 0x6c65617365)), keeper: slices.Contains(c.Keepers, id.Name), holders: map[ID]*holder{},
		parts: map[string]*part{}, muted: now + c.Term, onClaim: onClaim, onReign: func(int64) {}}
	if c.Without == Mute {
		n.muted = now
	}
	n.nextBid = n.muted + n.rng.Int64N(c.Term/4+1)
	n.turn = n.rng.IntN(max(len(c.Keepers), 1))
	return n
}

// Tick does what is due and gives what is to be sent. It wants to be called some twenty times in a term.
func (n *Node) Tick(now int64) (out []Out) {
	n.forget(now)
	if n.keeper {
		out = n.candidate(now, out)
	}
	if now >= n.nextAsk {
		out = n.ask(now, out)
	}
	return out
}

// forget lets go of all that has ended.
func (n *Node) forget(now int64) {
	for id, h := range n.holders {
		if now >= h.until {
			delete(n.holders, id)
		}
	}
	for name, p := range n.parts {
		if now >= p.wantUntil {
			p.want = 0
		}
		if p.want == 0 && now >= p.until && now >= p.wantUntil+n.cfg.Term*8 {
			delete(n.parts, name)
		}
	}
}

// to sends a message; to itself it comes at once.
func (n *Node) to(now int64, name string, m Message, out []Out) []Out {
	m.From = n.id
	if name == n.id.Name {
		return append(out, n.Hear(now, m)...)
	}
	return append(out, Out{name, m})
}

// Hear takes a message and gives what is to be sent.
func (n *Node) Hear(now int64, m Message) (out []Out) {
	if (m.Kind == Promise || m.Kind == Grant || m.Kind == Elsewhere) && m.For != n.id.Epoch && n.cfg.Without != Answered {
		return nil
	}
	switch m.Kind {
	case Bid:
		if !n.keeper || now < n.muted {
			return nil
		}
		switch {
		case n.given.to == m.From && now < n.given.until:
			if m.Round < n.given.round { // came late: a yield of it must not undo the newer one
				return nil
			}
		case now < n.given.until:
			return nil
		}
		n.given = promise{m.From, m.Round, now + n.cfg.Term}
		return n.to(now, m.From.Name, Message{Kind: Promise, Round: m.Round, For: m.From.Epoch}, nil)
	case Yield:
		if n.given.to == m.From && n.given.round == m.Round {
			n.given.until = min(n.given.until, now)
		}
	case Promise:
		n.promised(now, m)
	case Ask:
		return n.asksOf(now, m)
	case Grant:
		n.granted(now, m)
	case Elsewhere:
		if m.Round == n.asked && !n.heard && m.Name != "" && m.Name != n.whom {
			n.whom, n.heard = m.Name, true
			n.nextAsk = min(n.nextAsk, now+n.cfg.Term/askParts/4)
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}
