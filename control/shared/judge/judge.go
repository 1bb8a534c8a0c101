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
