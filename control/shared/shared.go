// Package shared is what instances that may talk decide together: budgets that they share as leases (package lease), counts
// of the whole fleet (package count) and judgements on servers (package judge). It joins the core through package join like
// any other module, and is as pure: it is told the time and what the others said, and gives what is to be said to them.
// Without anybody to hear it, it falls back to floors and to its own evidence.
package shared

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"masthill/control"
	"masthill/control/join"
	"masthill/control/shared/count"
	"masthill/control/shared/judge"
	"masthill/control/shared/lease"
	"masthill/control/shares"
)

// The codes of rulings and states.
const (
	Together = "together" // others are heard
	Alone    = "alone"    // nobody is
	ColdCap  = "cold-budget"
	Hearsay  = "hearsay-" // with the verdict's reason behind it
)

const (
	second = int64(1e9)
	// tellEvery is how often an instance tells all others its counts and what it saw, in a fleet of tellFor members at most;
	// larger ones tell more rarely, so that what each says and hears stays the same: some 130 datagrams a second. Passing
	// news on from member to member would cost more than that at every size up to 1,000, and be later. newsEvery is the least time between two tellings that
	// bad news asks for.
	tellEvery = second / 2
	tellFor   = 64
	newsEvery = second / 5
	// silentAfter is the part of the shortest aim after which a set-up without an answer is bad news of its server.
	silentAfter = 0.75
	// coldPart times a cold server's planned load, in its present capacity, is what all instances may send together. Servers
	// are planned at 72 to 87% of what they bear, so that this is 1.4 to 1.7 times that, under the rules' twice. Package
	// recovery has 1.6, as its equal parts do not know who else is there; these parts add up to no more.
	coldPart = 2.0
	// warmSteps are the steps in which a cold server's budget grows: all instances have the same one but for moments.
	warmSteps = 8
	// wantTimes is how much more than its own part by its calls an instance asks for at a cold server, wantLeast the least
	// of that, in thousandths a second.
	wantTimes, wantLeast = 2.0, 200
	// callsMost bounds the calls and set-ups that are followed; beyond it they go unseen.
	callsMost = 1 << 15
	// aloneAfter is how long nobody may have been heard for this instance to be alone.
	aloneAfter = 5 * second
)

// Config is what the module is told once.
type Config struct {
	Control    control.Settings
	Planned    float64 // calls a second, all instances together; 0: cold servers have no shared budget
	Name       string
	Machine    string
	Epoch      uint64 // drawn at random at each start
	Tenants    []string
	Numbers    []string // that are counted one by one
	Budgets    bool
	Judgements bool
	Lease      lease.Config
	Count      count.Config
	Judge      judge.Config
}

// Message is one message between instances: a lease's, or what an instance has to tell all.
type Message struct {
	Lease *lease.Message `codec:"l,omitempty"`
	Count *count.Message `codec:"c,omitempty"`
	Judge *judge.Message `codec:"j,omitempty"`
}

// Out is a message to a member, or to all where To is empty.
type Out struct {
	To string
	Message
}

// Events are what the module reports to its shell; each may be nil.
type Events struct {
	Claim   func(lease.Claim)
	Verdict func(judge.Verdict)
	Reign   func(until int64) // this instance hands budgets out until then
}

// attempt is a set-up without its answer.
type attempt struct {
	server uint64
	at     int64
	told   bool // as silent
}

type listed struct {
	in      bool
	readyAt int64
	coldAt  int64 // when it was first taken for cold on somebody's word; 0: it was not
}

// Shared is the state of the module.
type Shared struct {
	cfg     Config
	aim     int64
	lease   *lease.Node
	count   *count.Set
	board   *judge.Board
	servers map[uint64]*listed
	serving int
	out     map[string]*attempt
	line    []string // calls of out in the order of sending
	tenants map[string]string
	known   map[string]bool // members and numbers that are counted by name
	arrived fading
	countAt int64 // told
	judgeAt int64
	news    bool // bad, that has not been told
	heardAt int64
	began   int64
	since   int64
	state   string
}

// New makes the module for a process that starts at a time.
func New(c Config, seed uint64, now int64, on Events) *Shared {
	c.Lease.Most = max(c.Lease.Most, 1)
	m := &Shared{cfg: c, aim: c.Control.Classes[0].Aim, servers: map[uint64]*listed{}, out: map[string]*attempt{}, tenants: map[string]string{},
		known: map[string]bool{}, began: now, since: now, state: Alone, heardAt: now - aloneAfter}
	for _, g := range c.Control.Classes {
		m.aim = min(m.aim, g.Aim)
	}
	m.lease = lease.New(c.Lease, lease.ID{Name: c.Name, Epoch: c.Epoch}, seed, now, on.Claim)
	if on.Reign != nil {
		m.lease.OnReign(on.Reign)
	}
	m.count = count.New(c.Count, count.Source{Name: c.Name, Epoch: c.Epoch}, now)
	m.board = judge.New(c.Judge, c.Name, c.Machine, seed, on.Verdict)
	for _, t := range c.Tenants {
		m.known["t/"+t] = true
	}
	for _, n := range c.Numbers {
		m.known["n/"+n] = true
	}
	return m
}

// Name implements join.Module.
func (m *Shared) Name() string { return "shared" }

// Hear takes a message of another instance, and gives the answers.
func (m *Shared) Hear(now int64, msg Message) (out []Out) {
	m.heardAt = max(m.heardAt, now)
	m.turn(now)
	if msg.Lease != nil {
		for _, o := range m.lease.Hear(now, *msg.Lease) {
			out = append(out, leased(o))
		}
	}
	if msg.Count != nil {
		m.count.Hear(now, *msg.Count)
	}
	if msg.Judge != nil {
		m.board.Hear(now, *msg.Judge)
	}
	return out
}

func leased(o lease.Out) Out { return Out{o.To, Message{Lease: &o.Message}} }

// Tick does what is due and gives what is to be said. It wants to be called about ten times a second; members is how many
// there are, as far as is known.
func (m *Shared) Tick(now int64, members int) (out []Out) {
	m.turn(now)
	m.look(now)
	m.wants(now)
	for _, o := range m.lease.Tick(now) {
		out = append(out, leased(o))
	}
	every := tellEvery * int64(max(1, (members+tellFor-1)/tellFor))
	var msg Message
	if now-m.countAt >= every {
		c := m.count.Tell(now)
		msg.Count, m.countAt = &c, now
	}
	if now-m.judgeAt >= every || m.news && now-m.judgeAt >= newsEvery {
		if j := m.board.Tell(now); len(j.Reports) > 0 {
			msg.Judge = &j
		}
		m.judgeAt, m.news = now, false
	}
	if msg.Count != nil || msg.Judge != nil {
		out = append(out, Out{"", msg})
	}
	return out
}

func (m *Shared) turn(now int64) {
	state := Together
	if now-m.heardAt >= aloneAfter {
		state = Alone
	}
	if state != m.state {
		m.state, m.since = state, now
	}
}

// look finds the set-ups that have had no answer for long.
func (m *Shared) look(now int64) {
	for len(m.line) > 0 {
		a := m.out[m.line[0]]
		if a != nil && !a.told {
			if float64(now-a.at) < silentAfter*float64(m.aim) {
				return
			}
			a.told = true
			m.saw(now, a.server, judge.Silent)
		}
		m.line = m.line[1:]
	}
	m.line = nil
}

func (m *Shared) saw(now int64, server uint64, k judge.Kind) {
	m.board.Saw(now, server, k)
	m.news = m.news || k == judge.Silent || k == judge.Dead
}

// See implements join.Module.
func (m *Shared) See(now int64, ev control.Event) {
	switch ev.Kind {
	case control.Members:
		m.members(ev)
	case control.Stands:
		if t, ok := m.tenants[ev.Call]; ok {
			m.count.Add("p/"+t, 1)
			delete(m.tenants, ev.Call)
		}
		if m.back(ev.Call) != nil {
			m.saw(now, ev.Server, judge.Well)
		}
	case control.Aborted:
		delete(m.tenants, ev.Call)
		m.back(ev.Call)
	case control.Returned:
		a := m.back(ev.Call)
		if a == nil {
			return
		}
		switch ev.Outcome {
		case control.Overdue:
			if !a.told {
				m.saw(now, ev.Server, judge.Silent)
			}
		case control.RefusedConn:
			m.saw(now, ev.Server, judge.Dead)
		case control.Saturated:
			m.saw(now, ev.Server, judge.Pressed)
		case control.Errored:
			m.saw(now, ev.Server, judge.Well) // it answers; what it answers is control's concern
		}
	}
}

func (m *Shared) back(call string) *attempt {
	a := m.out[call]
	delete(m.out, call)
	return a
}

// members takes the list.
func (m *Shared) members(ev control.Event) {
	if ev.Full {
		clear(m.servers)
	}
	for _, e := range ev.Entries {
		s := m.servers[e.Server]
		if s == nil || s.readyAt != e.ReadyAt {
			s = &listed{readyAt: e.ReadyAt}
			m.servers[e.Server] = s
		}
		if s.in = e.State == control.In; e.State == control.Out {
			delete(m.servers, e.Server)
		}
	}
	var ids []uint64
	for id, s := range m.servers {
		if s.in {
			ids = append(ids, id)
		}
	}
	m.serving = len(ids)
	m.board.Listed(ids)
}

// Did implements join.Module.
func (m *Shared) Did(now int64, a control.Action) {
	switch a.Kind {
	case control.Send:
		if budget, _, ok := m.cold(now, a.Server); ok {
			m.lease.Use(now, budget)
		}
		if len(m.out) < callsMost {
			m.out[a.Call] = &attempt{server: a.Server, at: now}
			m.line = append(m.line, a.Call)
		}
	case control.Refuse, control.Fail:
		if t, ok := m.tenants[a.Call]; ok {
			m.count.Add("l/"+t, 1)
			delete(m.tenants, a.Call)
		}
	}
}

// Admit implements join.Module: it counts, and admits all.
func (m *Shared) Admit(now int64, c join.Call) join.Ruling {
	if c.Asked > 0 {
		return join.Ruling{}
	}
	m.arrived.add(now, 1)
	t := c.Tenant
	if !m.known["t/"+t] {
		t = ""
	}
	m.count.Add("o/"+t, 1)
	if m.known["n/"+c.Key] {
		m.count.Add("n/"+c.Key, 1)
	}
	if len(m.tenants) < callsMost {
		m.tenants[c.ID] = t
	}
	return join.Ruling{}
}

// cold gives a cold server's budget and its size in thousandths a second; not ok where it has none.
func (m *Shared) cold(now int64, server uint64) (budget string, size int64, ok bool) {
	s := m.servers[server]
	if !m.cfg.Budgets || m.cfg.Planned <= 0 || s == nil {
		return "", 0, false
	}
	c := m.cfg.Control
	at := s.readyAt
	if m.board.Cold(now, server, c.ColdSpan) && now-at >= c.ColdSpan {
		if s.coldAt == 0 {
			s.coldAt = now
		}
	}
	at = max(at, s.coldAt)
	age := max(now-at, 0)
	if at <= 0 || age >= c.ColdSpan {
		return "", 0, false
	}
	warmth := c.ColdFrom + (1-c.ColdFrom)*float64(age*warmSteps/c.ColdSpan)/warmSteps
	size = int64(1000 * coldPart * warmth * m.cfg.Planned / float64(max(m.serving, 1)))
	return "cold/" + strconv.FormatUint(server, 16), size, true
}

// wants tells the lease what this instance could use at each cold server.
func (m *Shared) wants(now int64) {
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		if budget, size, ok := m.cold(now, id); ok && m.servers[id].in {
			want := int64(1000 * wantTimes * m.arrived.rate(now, m.began) / float64(max(m.serving, 1)))
			m.lease.Want(now, budget, size, max(want, wantLeast))
		}
	}
}

// Room implements join.Module.
func (m *Shared) Room(now int64, server uint64) (bool, string) {
	if m.cfg.Judgements {
		if avoid, why := m.board.Avoid(now, server); avoid {
			return false, Hearsay + why
		}
	}
	if budget, _, ok := m.cold(now, server); ok && !m.lease.Has(now, budget) {
		return false, ColdCap
	}
	return true, ""
}

// totalsOver is the window of the totals by member: short, as who goes by it is late by as much.
const totalsOver = 2 * second

// Totals implements shares.Fleet: what the whole fleet was offered, placed and lost of late, in calls a second. Not ok
// while nobody is heard.
func (m *Shared) Totals(now int64) (all shares.Totals, ok bool) {
	if m.state != Together {
		return all, false
	}
	all = shares.Totals{Offered: map[string]float64{}, Placed: map[string]float64{}, Lost: map[string]float64{}}
	for prefix, into := range map[string]map[string]float64{"o/": all.Offered, "p/": all.Placed, "l/": all.Lost} {
		for _, key := range m.count.Keys(prefix) {
			r := m.count.Read(now, key, totalsOver)
			into[strings.TrimPrefix(key, prefix)] = r.Value * 1e9 / float64(totalsOver)
		}
	}
	return all, true
}

// Look is what operators and checkers are told.
type Look struct {
	State     string           `json:"state"`
	SinceNS   int64            `json:"since_ns"`
	Allocator string           `json:"allocator"`
	Reigns    bool             `json:"reigns"` // this instance hands the parts out
	Leases    []lease.Held     `json:"leases"`
	Counts    []Counted        `json:"counts"`
	Verdicts  []judge.Verdict  `json:"verdicts"`
	Known     []count.Known    `json:"known"`
	Booked    map[string]int64 `json:"booked,omitempty"` // at the allocator, in thousandths a second
}

// Counted is one count over a window.
type Counted struct {
	Key string `json:"key"`
	count.Reading
}

// Look gives all of it.
func (m *Shared) Look(now int64) Look {
	l := Look{State: m.state, SinceNS: m.since, Allocator: m.lease.Allocator(now), Reigns: m.lease.Reigns(now), Leases: m.lease.All(now),
		Verdicts: m.board.Verdicts(now), Known: m.count.All(now)}
	for _, key := range m.count.Keys("") {
		l.Counts = append(l.Counts, Counted{key, m.count.Read(now, key, totalsOver)})
	}
	if l.Reigns {
		l.Booked = map[string]int64{}
		for _, h := range l.Leases {
			l.Booked[h.Budget], _ = m.lease.Booked(now, h.Budget)
		}
	}
	return l
}

// Status implements join.Module.
func (m *Shared) Status(now int64) join.Status {
	s := join.Status{Module: m.Name(), State: m.state, Reason: "heard", Since: m.since}
	if m.state == Alone {
		s.Reason, s.Out = "nobody-heard", "a message of any member"
	}
	for _, id := range slices.SortedFunc(maps.Keys(m.servers), cmp.Compare) {
		if ok, why := m.Room(now, id); !ok {
			s.Capped++
			s.Parts = append(s.Parts, join.Part{Server: id, State: "capped", Reason: why})
		}
	}
	if held := m.lease.All(now); len(held) > 0 {
		s.Out = cmp.Or(s.Out, fmt.Sprintf("%d budgets held", len(held)))
	}
	return s
}
