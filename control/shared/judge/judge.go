// Package judge shares what instances have seen of servers, so that one that has gone silent or is dead is avoided by all
// before each has lost a call there. A report is the newest thing that an instance has seen of a server, with its age. The
// youngest reports of a few different machines decide, one for each machine: one loud witness counts once, and a single
// wrong one decides nothing. What was heard fades within seconds; an instance's own evidence comes before it; no more than
// a part of the servers is ever avoided on hearsay.
//
// Looking at the youngest reports, and not at sums over a time, is what makes it quick: of a server that goes silent there
// is good news by the hundred, all of it older than the first bad.
//
// A verdict only keeps calls away, through package join, as a cap does. It overrides no rule, and ends by itself: each
// instance then tries again at a time of its own, so that the first to try tells the others.
//
// The package is pure: it is told the time. Reports carry ages, so that no common clock is needed.
package judge

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
)

// Kind is what was seen.
type Kind uint8

// The kinds. Only Silent and Dead can keep calls away; the others are told to operators, and Cold to budgets.
const (
	Well    Kind = iota // a set-up stood
	Silent              // no answer in time
	Dead                // it takes no connection
	Pressed             // it turned a set-up away, its line being too long
	Cold                // it stood after it had been dead: a new process
)

func (k Kind) String() string {
	return [...]string{"well", "silent", "dead", "pressed", "cold"}[min(k, Cold)]
}

func (k Kind) bad() bool { return k == Silent || k == Dead }

// Report is the newest thing that one instance saw of one server.
type Report struct {
	Server uint64 `codec:"s"`
	Kind   Kind   `codec:"k"`
	AgeMS  int64  `codec:"a"`
	Run    int    `codec:"r,omitempty"` // of the same kind, without another between
}

// Message is what an instance tells of all servers of which it has seen something of late.
type Message struct {
	From    string   `codec:"f"`
	Machine string   `codec:"m"` // instances on one machine are one witness: they share its network
	Reports []Report `codec:"r"`
}

// Config are the figures; zero ones have the defaults.
type Config struct {
	Fade    int64   // that a report lasts, in nanoseconds
	Jury    int     // the youngest reports that decide, of so many machines
	Needed  float64 // of these, the part that has to be bad
	Least   int     // bad ones at least, whatever the jury
	LeftOut float64 // part of the listed servers that hearsay may keep calls from, one at least
	OwnFor  int64   // that good evidence of one's own keeps hearsay off
	// Without leaves a guard out, to show that the checkers notice: Witnesses. Empty in every build but the lab's.
	Without string
}

// Witnesses is the guard that one machine's word decides nothing.
const Witnesses = "witnesses"

const (
	second = int64(1e9)
	// fadeDefault is some way over the patience of a call: a server that comes back is tried again within that.
	fadeDefault = 6 * second
	// juryDefault and neededDefault: with one answer in fifty lost, five bad of six come about once in 60 million.
	juryDefault, neededDefault, leastDefault = 6, 0.8, 2
	leftOutDefault                           = 0.25
	ownDefault                               = 2 * second
	// ReportsMost bounds a message, witnessesMost what is kept of a server, serversMost the servers.
	ReportsMost, witnessesMost, serversMost = 64, 24, 1024
	lookEvery                               = second / 20
)

func (c *Config) defaults() {
	set := func(x *int64, d int64) {
		if *x <= 0 {
			*x = d
		}
	}
	set(&c.Fade, fadeDefault)
	set(&c.OwnFor, ownDefault)
	if c.Jury <= 0 {
		c.Jury = juryDefault
	}
	if c.Needed <= 0 {
		c.Needed = neededDefault
	}
	if c.Least <= 0 {
		c.Least = leastDefault
	}
	if c.LeftOut <= 0 {
		c.LeftOut = leftOutDefault
	}
}

// testimony is a report as this instance keeps it.
type testimony struct {
	machine, from string
	kind          Kind
	at            int64 // seen, by this instance's clock, at the latest
	run           int
}

// server is what is known of one.
type server struct {
	own     testimony // kind and time of what this instance saw last
	seen    bool
	ownBad  bool // it was dead when last seen bad: a set-up that stands shows a new process
	heard   []testimony
	verdict Verdict
	until   int64 // of the verdict: past its evidence, each instance waits a time of its own
	again   int64
}

// Verdict is what the fleet's reports come to, for one server.
type Verdict struct {
	Server    uint64   `json:"server"`
	Avoided   bool     `json:"avoided"`
	Reason    string   `json:"reason"`    // silent, dead, or why it is not avoided
	Witnesses []string `json:"witnesses"` // whose bad reports it rests on, by instance
	Against   int      `json:"against"`   // of the jury, those with other news
	AgeMS     int64    `json:"age_ms"`    // of the youngest of them
	at        int64
}

// The reasons why a server with bad reports is not avoided.
const (
	Few     = "few-witnesses"
	Own     = "own-evidence"
	LeftOut = "too-many-left-out"
	Faded   = "faded"
)

// Board is one instance's view.
type Board struct {
	cfg           Config
	name, machine string
	rng           *rand.Rand
	servers       map[uint64]*server
	listed        int
	lookedAt      int64
	dirty         bool
	onChange      func(Verdict)
}

// New makes a board. onChange, if any, is told of each verdict that begins or ends.
func New(c Config, name, machine string, seed uint64, onChange func(Verdict)) *Board {
	c.defaults()
	if onChange == nil {
		onChange = func(Verdict) {}
	}
	return &Board{cfg: c, name: name, machine: machine, rng: rand.New(rand.NewPCG(seed, 0x6a75646765)), servers: map[uint64]*server{}, onChange: onChange}
}

// Listed tells which servers are listed: of others nothing is kept.
func (b *Board) Listed(ids []uint64) {
	is := make(map[uint64]bool, len(ids))
	for _, id := range ids {
		if len(is) < serversMost {
			is[id] = true
			if b.servers[id] == nil {
				b.servers[id] = &server{}
			}
		}
	}
	maps.DeleteFunc(b.servers, func(id uint64, _ *server) bool { return !is[id] })
	b.listed, b.dirty = len(is), true
}

// Saw takes what this instance has seen itself.
func (b *Board) Saw(now int64, id uint64, k Kind) {
	s := b.servers[id]
	if s == nil {
		return
	}
	if k == Well && s.ownBad {
		k = Cold
	}
	if s.ownBad = k == Dead; s.seen && s.own.kind == k {
		s.own.run++
	} else {
		s.own.run = 1
	}
	s.own.kind, s.own.at, s.seen, b.dirty = k, now, true, true
}

// Tell is what the others are to hear now: bad news first, as a message is bounded, and the younger first.
func (b *Board) Tell(now int64) Message {
	m := Message{From: b.name, Machine: b.machine}
	for id, s := range b.servers {
		if s.seen && now-s.own.at < b.cfg.Fade {
			m.Reports = append(m.Reports, Report{id, s.own.kind, (now - s.own.at) / 1e6, s.own.run})
		}
	}
	slices.SortFunc(m.Reports, func(x, y Report) int {
		if x.Kind.bad() != y.Kind.bad() {
			return map[bool]int{true: -1, false: 1}[x.Kind.bad()]
		}
		return cmp.Or(cmp.Compare(x.AgeMS, y.AgeMS), cmp.Compare(x.Server, y.Server))
	})
	m.Reports = m.Reports[:min(len(m.Reports), ReportsMost)]
	return m
}

// Hear takes what another instance tells. Of one machine only the youngest report of a server is kept.
func (b *Board) Hear(now int64, m Message) {
	if m.From == b.name || m.From == "" || len(m.Reports) > ReportsMost {
		return
	}
	for _, r := range m.Reports {
		s := b.servers[r.Server]
		if s == nil || r.AgeMS < 0 || r.Kind > Cold || r.AgeMS > b.cfg.Fade/1e6 {
			continue
		}
		t := testimony{m.Machine, m.From, r.Kind, now - r.AgeMS*1e6, r.Run}
		k := slices.IndexFunc(s.heard, func(o testimony) bool { return o.machine == t.machine })
		switch {
		case k < 0 && len(s.heard) >= witnessesMost:
			k = 0
			for j := range s.heard {
				if s.heard[j].at < s.heard[k].at {
					k = j
				}
			}
			if s.heard[k].at < t.at {
				s.heard[k] = t
			}
		case k < 0:
			s.heard = append(s.heard, t)
		case s.heard[k].from == t.from || s.heard[k].at < t.at:
			s.heard[k] = t
		}
		b.dirty = true
	}
}

// look makes the verdicts anew.
func (b *Board) look(now int64) {
	if !b.dirty && now-b.lookedAt < lookEvery {
		return
	}
	b.lookedAt, b.dirty = now, false
	var found []Verdict
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		s := b.servers[id]
		s.heard = slices.DeleteFunc(s.heard, func(t testimony) bool { return now-t.at >= b.cfg.Fade })
		if len(s.heard) > 0 || s.verdict.Avoided {
			found = append(found, b.judge(now, id, s))
		}
	}
	// The worst first, by how many say so, where not all may be left out.
	slices.SortStableFunc(found, func(x, y Verdict) int { return cmp.Compare(len(y.Witnesses), len(x.Witnesses)) })
	most := max(int(b.cfg.LeftOut*float64(b.listed)), 1)
	var begun []Verdict
	for _, v := range found {
		if v.Avoided {
			if most--; most < 0 {
				v.Avoided, v.Reason = false, LeftOut
			}
		}
		s := b.servers[v.Server]
		was := s.verdict.Avoided
		if s.verdict = v; v.Avoided && !was {
			begun = append(begun, v)
		} else if was && !v.Avoided {
			b.onChange(v)
		}
	}
	for _, v := range begun { // told after those that made room for them
		b.onChange(v)
	}
}

// judge has the youngest reports decide on a server. This instance is one of the witnesses.
func (b *Board) judge(now int64, id uint64, s *server) Verdict {
	all := slices.Clone(s.heard)
	if s.seen && now-s.own.at < b.cfg.Fade {
		all = slices.DeleteFunc(all, func(t testimony) bool { return t.machine == b.machine && t.at <= s.own.at })
		if !slices.ContainsFunc(all, func(t testimony) bool { return t.machine == b.machine }) {
			all = append(all, testimony{b.machine, b.name, s.own.kind, s.own.at, s.own.run})
		}
	}
	slices.SortFunc(all, func(x, y testimony) int { return cmp.Or(cmp.Compare(y.at, x.at), cmp.Compare(x.machine, y.machine)) })
	jury := all[:min(len(all), b.cfg.Jury)]
	v := Verdict{Server: id, Reason: Few, at: now}
	kinds := map[Kind]int{}
	for _, t := range jury {
		if !t.kind.bad() {
			v.Against++
			continue
		}
		kinds[t.kind]++
		v.Witnesses = append(v.Witnesses, t.from)
	}
	if len(jury) > 0 {
		v.AgeMS = (now - jury[0].at) / 1e6
	}
	bad := len(v.Witnesses)
	if b.cfg.Without == Witnesses {
		jury, v.Against = jury[:bad], 0
		b.cfg.Least = 1
	}
	guilty := bad >= b.cfg.Least && float64(bad) >= b.cfg.Needed*float64(len(jury))
	switch {
	case guilty && s.seen && !s.own.kind.bad() && now-s.own.at < b.cfg.OwnFor:
		v.Reason = Own
	case guilty:
		v.Avoided, v.Reason = true, Silent.String()
		if kinds[Dead] > kinds[Silent] {
			v.Reason = Dead.String()
		}
		if now >= s.again { // the evidence is news: what comes after it is a time of this instance's own
			s.again = now + b.cfg.Fade
			s.until = jury[0].at + b.cfg.Fade + b.rng.Int64N(b.cfg.Fade)
		}
		s.until = max(s.until, jury[0].at)
	case s.verdict.Avoided && v.Against == 0 && now < s.until: // it has faded, and nobody has seen anything better
		v = s.verdict
		v.Against, v.at = 0, now
	case bad == 0 && v.Against == 0:
		v.Reason = Faded
	}
	return v
}

// Avoid tells whether calls are to be kept from a server on hearsay, and why.
func (b *Board) Avoid(now int64, id uint64) (bool, string) {
	b.look(now)
	if s := b.servers[id]; s != nil && s.verdict.Avoided {
		return true, s.verdict.Reason
	}
	return false, ""
}

// Cold tells whether some instance saw a server come back from the dead within a time: it has just started, whatever the
// list says.
func (b *Board) Cold(now int64, id uint64, within int64) bool {
	s := b.servers[id]
	if s == nil {
		return false
	}
	return s.seen && s.own.kind == Cold && now-s.own.at < within ||
		slices.ContainsFunc(s.heard, func(t testimony) bool { return t.kind == Cold && now-t.at < within })
}

// Verdicts lists those servers of which something bad is said, for operators.
func (b *Board) Verdicts(now int64) (all []Verdict) {
	b.look(now)
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		if v := b.servers[id].verdict; v.Avoided || len(v.Witnesses) > 0 {
			all = append(all, v)
		}
	}
	return all
}
