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
	"math"
	"math/rand/v2"
	"slices"
)

// ID names one process of an instance. Epochs are drawn at random at each start: two processes never have the same.
type ID struct {
	Name  string `codec:"n"`
	Epoch uint64 `codec:"e"`
}

// Kind tells messages apart.
type Kind uint8

// The kinds of message.
const (
	Bid       Kind = iota + 1 // candidate to keeper: promise yourself to me
	Promise                   // keeper to candidate, of that round
	Yield                     // candidate to keeper: the round came to nothing
	Ask                       // holder to allocator
	Grant                     // allocator to holder, of that round
	Elsewhere                 // keeper to holder: ask this one
)

// Message is what instances say to each other. Round numbers the sender's bids, or its asks.
type Message struct {
	Kind  Kind   `codec:"k"`
	From  ID     `codec:"f"`
	Round uint64 `codec:"r"`
	Parts []Part `codec:"p,omitempty"`
	Name  string `codec:"a,omitempty"` // Elsewhere: of the allocator, empty where none is known
	// For is the epoch of the process that is answered. One that starts anew counts its rounds from the beginning, and an
	// answer to the process before, late, would pass for its own.
	For uint64 `codec:"t,omitempty"`
}

// Part is one budget in a message. Rates are in thousandths a second.
type Part struct {
	Budget string `codec:"b"`
	Size   int64  `codec:"s,omitempty"` // of the whole budget, as the asker knows it
	Hold   int64  `codec:"h,omitempty"` // Ask: what the asker uses, at most, until it has a newer grant
	Rate   int64  `codec:"w"`           // Ask: what it wants; Grant: what it has
}

// Out is a message and who is to get it.
type Out struct {
	To string
	Message
}

// Config is the same at all instances.
type Config struct {
	Keepers []string // an odd number of names; the allocator is one of them
	Most    int      // instances that there may be, at most
	Floor   float64  // part of each budget that is cut into floors
	Term    int64    // nanoseconds that a promise or a part lasts
	Drift   float64  // by which a clock may run fast or slow, at most
	Burst   float64  // seconds of its rate that a holder may save up
	// Without leaves a guard out, to show that the checkers notice: Mute, Anchor, Open, Book or Answered. Empty in every build but
	// the lab's.
	Without string
}

// The guards that can be left out.
const (
	Mute   = "mute"   // a keeper that starts is silent for a term
	Anchor = "anchor" // an answer counts from the asking, not from its coming
	Open   = "open"   // a new allocator waits for a term
	Book   = "book"   // what others may be using is kept back
	// Answered is the guard that an answer is for the process that asked.
	Answered = "answered"
)

const (
	second = int64(1e9)
	// termDefault is long against delays of a tenth of a second and short against the 15 s of a cold server.
	termDefault = 2 * second
	// driftDefault is ten times what a computer's clock is off that no other corrects, and what correction by slewing adds.
	driftDefault = 0.002
	// floorDefault leaves a fleet without an allocator most of what it had: with 0.2 a wave of restarts, which the allocator is
	// part of, cost 0.004 of service (20 instances, 3 servers, ten paired seeds of the model), with 0.6 0.0015.
	floorDefault = 0.6
	burstDefault = 0.5
	// askParts is how often in a term a holder asks: three asks in a row may get lost before its part ends.
	askParts = 4
	// bidParts is the part of a term after which a bid without a majority is given up: several round trips.
	bidParts = 8
	// budgetsMost and holdersMost bound what is kept; there are as many budgets as cold servers and limited members.
	budgetsMost, holdersMost = 256, 4096
	// PartsMost bounds the budgets in a message, which has to fit a datagram.
	PartsMost = 16
)

func (c *Config) defaults() {
	if c.Term <= 0 {
		c.Term = termDefault
	}
	if c.Drift <= 0 {
		c.Drift = driftDefault
	}
	if c.Floor <= 0 {
		c.Floor = floorDefault
	}
	if c.Burst <= 0 {
		c.Burst = burstDefault
	}
	c.Most = max(c.Most, 1)
}

// usable is how long the asker may go by an answer, from its own asking on: its clock may be slow by the drift, and the
// giver's fast.
func (c *Config) usable() int64 {
	return int64(float64(c.Term) * (1 - c.Drift) / (1 + c.Drift))
}

// floor is an instance's own part of a budget, whoever else is alive.
func (c *Config) floor(size int64) int64 {
	return int64(c.Floor*float64(size)) / int64(c.Most)
}

// pool is what the allocator hands out of a budget.
func (c *Config) pool(size int64) int64 { return size - int64(c.Most)*c.floor(size) }

// promise is a keeper's word.
type promise struct {
	to    ID
	round uint64
	until int64
}

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

// Claim is what this instance has of a budget from now on, until it is replaced or has ended; for the checker's record.
type Claim struct {
	Budget string `json:"budget"`
	Floor  int64  `json:"floor"` // thousandths a second
	Rate   int64  `json:"rate"`
	Until  int64  `json:"until"`
	Used   int64  `json:"used"`
	Size   int64  `json:"size"`
}

// OnReign has f told each time this instance becomes the allocator until a time, or longer.
func (n *Node) OnReign(f func(until int64)) { n.onReign = f }

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

// to sends a message; to itself it comes at once.
func (n *Node) to(now int64, name string, m Message, out []Out) []Out {
	m.From = n.id
	if name == n.id.Name {
		return append(out, n.Hear(now, m)...)
	}
	return append(out, Out{name, m})
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

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}
