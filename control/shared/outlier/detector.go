// Package outlier detects outliers among the servers from the health reports that instances exchange, so that all instances
// avoid a server that has gone silent or died before each of them has lost a call there. A report is the newest observation
// that an instance made of a server, with its age. The youngest reports of a few different machines decide, one report for
// each machine, so a single observer decides nothing, however often it reports. Reports expire within seconds; an
// instance's own evidence overrides second-hand reports; and only a part of the servers is ever avoided.
//
// The youngest reports decide, rather than sums over a time, because that is faster: when a server goes silent there are
// hundreds of good observations, all of them older than the first bad one.
//
// A decision only keeps calls away, as HasCapacity of package join does, and overrides no other rule. It expires by itself:
// each instance then tries the server again at a random time of its own, so that the first to try informs the others.
//
// The package is pure: callers pass in the time. Reports carry ages, so no common clock is needed.
package outlier

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
)

// observation is a report as this instance keeps it.
type observation struct {
	machine, from string
	kind          Kind
	seenAt        int64 // the latest time at which it can have been made, by this instance's clock
	streak        int
}

// serverState holds what is known of one server.
type serverState struct {
	own          observation // this instance's newest one; machine and from are not set
	hasOwn       bool
	ownDead      bool // own was Dead: the next healthy observation is of a new process
	secondHand   []observation
	decision     Decision
	avoidedUntil int64 // the decision outlasts its evidence until a random time of this instance's own
	nextDrawAt   int64 // when new evidence next draws a new random time
}

// Detector is one instance's view of the servers.
type Detector struct {
	cfg           Config
	name, machine string
	rng           *rand.Rand
	servers       map[uint64]*serverState
	suspects      map[uint64]bool // servers with a bad report, or with a decision that rests on one: all others are not avoided
	listed        int
	evaluatedAt   int64
	dirty         bool // something was received or observed of a suspect since
	onChange      func(Decision)
}

// New creates a detector. onChange, if not nil, is called for each decision that begins or ends.
func New(c Config, name, machine string, seed uint64, onChange func(Decision)) *Detector {
	c.setDefaults()
	if onChange == nil {
		onChange = func(Decision) {}
	}
	return &Detector{
		cfg:      c,
		name:     name,
		machine:  machine,
		rng:      rand.New(rand.NewPCG(seed, 0x6a75646765)),
		servers:  map[uint64]*serverState{},
		suspects: map[uint64]bool{},
		onChange: onChange,
	}
}

// SetServers sets the listed servers. Nothing is stored about others.
func (d *Detector) SetServers(ids []uint64) {
	listed := make(map[uint64]bool, len(ids))
	for _, id := range ids {
		if len(listed) >= maxServers {
			break
		}
		listed[id] = true
		if d.servers[id] == nil {
			d.servers[id] = &serverState{}
		}
	}
	maps.DeleteFunc(d.servers, func(id uint64, _ *serverState) bool { return !listed[id] })
	maps.DeleteFunc(d.suspects, func(id uint64, _ bool) bool { return !listed[id] })
	d.listed, d.dirty = len(listed), true
}

// Observe records an observation of a server by this instance itself.
func (d *Detector) Observe(now int64, id uint64, k Kind) {
	s := d.servers[id]
	if s == nil {
		return
	}
	if k == Healthy && s.ownDead {
		k = Cold
	}
	s.ownDead = k == Dead
	if s.hasOwn && s.own.kind == k {
		s.own.streak++
	} else {
		s.own.streak = 1
	}
	s.own.kind, s.own.seenAt, s.hasOwn = k, now, true
	d.markDirty(id, k)
}

// markDirty notes a new observation of a server. Observations of a server without bad ones change no decision.
func (d *Detector) markDirty(id uint64, k Kind) {
	if k.bad() {
		d.suspects[id] = true
	}
	d.dirty = d.dirty || d.suspects[id]
}

// Broadcast makes the health report for the other instances. Its size is bounded: bad reports come first, then the youngest.
func (d *Detector) Broadcast(now int64) Message {
	m := Message{From: d.name, Machine: d.machine}
	for id, s := range d.servers {
		if s.hasOwn && now-s.own.seenAt < d.cfg.Retention {
			m.Reports = append(m.Reports, Report{id, s.own.kind, (now - s.own.seenAt) / 1e6, s.own.streak})
		}
	}
	slices.SortFunc(m.Reports, compareReports)
	m.Reports = m.Reports[:min(len(m.Reports), MaxReports)]
	return m
}

// compareReports sorts bad reports before good ones, and younger ones before older ones.
func compareReports(x, y Report) int {
	if x.Kind.bad() != y.Kind.bad() {
		if x.Kind.bad() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(x.AgeMS, y.AgeMS), cmp.Compare(x.Server, y.Server))
}

// Receive stores the health report of another instance. Reports that are not valid, or of servers that are not listed, are
// ignored.
func (d *Detector) Receive(now int64, m Message) {
	if m.From == d.name || m.From == "" || len(m.Reports) > MaxReports {
		return
	}
	for _, r := range m.Reports {
		s := d.servers[r.Server]
		if s == nil || r.AgeMS < 0 || r.Kind > Cold || r.AgeMS > d.cfg.Retention/1e6 {
			continue
		}
		s.storeSecondHand(observation{m.Machine, m.From, r.Kind, now - r.AgeMS*1e6, r.Streak})
		d.markDirty(r.Server, r.Kind)
	}
}

// storeSecondHand stores an observation of another instance. Only the youngest of each machine is stored, and of all
// machines only the youngest maxObservers. A newer report of an instance replaces its older one even if its age makes it
// look older.
func (s *serverState) storeSecondHand(o observation) {
	k := slices.IndexFunc(s.secondHand, func(kept observation) bool { return kept.machine == o.machine })
	switch {
	case k >= 0:
		if kept := s.secondHand[k]; kept.from == o.from || kept.seenAt < o.seenAt {
			s.secondHand[k] = o
		}
	case len(s.secondHand) < maxObservers:
		s.secondHand = append(s.secondHand, o)
	default:
		oldest := 0
		for j := range s.secondHand {
			if s.secondHand[j].seenAt < s.secondHand[oldest].seenAt {
				oldest = j
			}
		}
		if s.secondHand[oldest].seenAt < o.seenAt {
			s.secondHand[oldest] = o
		}
	}
}

// RestartedWithin tells whether any instance saw a server recover from being dead within the given time. Such a server has just
// started, whatever the list of servers says.
func (d *Detector) RestartedWithin(now int64, id uint64, within int64) bool {
	s := d.servers[id]
	if s == nil {
		return false
	}
	recent := func(o observation) bool { return o.kind == Cold && now-o.seenAt < within }
	return s.hasOwn && recent(s.own) || slices.ContainsFunc(s.secondHand, recent)
}
