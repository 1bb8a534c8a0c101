// Package shares decides which member's calls go first while there is not room for all. Each member has a fraction of
// the service. While calls are being turned away, a member's calls within its fraction of what this instance can place
// are admitted; beyond that it may borrow what the others leave, and is refused else, at once and with a told wait. While
// there is room for all, nobody is limited.
//
// What the instance can place is not known and can't be asked for. It is followed by the calls that were admitted and
// turned away all the same: a small share of those is aimed at, less lets the room grow and more lets it shrink, but never
// below what has just been placed.
//
// The module is pure: it is told the time and joins the core through package join.
package shares

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"masthill/control"
	"masthill/control/join"
)

// The codes of rulings and states.
const (
	Open      = "open"       // there is room for all
	Limiting  = "limiting"   // members are held to their shares
	OverShare = "over-share" // a call beyond its member's share, with nothing left to borrow
)

const (
	second = int64(1e9)
	// span is the time over which calls are counted: long enough for a few dozen calls of the smallest member on a busy
	// instance, short against the tens of seconds that troubles last.
	span = 4 * float64(second)
	// shortFrom is the part of offered calls turned away at which shares begin to count, shortLeast how many calls
	// that has to rest on; they end after openFor with less than shortTo offered beyond the room.
	shortFrom, shortTo = 0.08, 0.02
	shortLeast         = 4.0
	openFor            = 5 * second
	// stepEvery is how often the room is estimated anew, stepsMost how many steps a quiet time counts for. A step moves it
	// by gain times what the share of losses is away from lossAim, by growMost up and shrinkMost down at most. Losses are
	// counted over lossSpan: in a single step one chance loss of a dozen calls would look like a shortage.
	stepEvery, stepsMost = second / 4, 8
	gain, lossAim        = 1.0, 0.05
	growMost, shrinkMost = 0.03, 0.05
	lossSpan             = 1.5 * float64(second)
	roomLeast            = 0.5 // calls a second: never shut altogether
	burstLeast           = 8.0 // calls: many instances see little of a small member, and that comes in bunches
	unknownFraction      = 0.0 // of members that the settings do not name
	// burstFor is how many seconds' worth of its part a member keeps, poolOf how many of the whole room the pool does.
	burstFor, poolOf = 1.5, 0.5
)

// Tenant is a member and its fraction of the service.
type Tenant struct {
	Name     string
	Fraction float64
}

// Totals is what a whole fleet was offered, placed and lost of late, by member, in calls a second; members that are not
// named count under "".
type Totals struct{ Offered, Placed, Lost map[string]float64 }

// Fleet tells totals, where instances hear of each other; not ok while they do not.
type TotalsSource interface {
	Totals(now int64) (Totals, bool)
}

// count is a count that fades over span.
type count struct {
	n  float64
	at int64
}

func (c *count) now(t int64) float64 { return c.over(t, span) }

func (c *count) over(t int64, span float64) float64 {
	c.n *= math.Exp(-float64(t-c.at) / span)
	c.at = t
	return c.n
}

func (c *count) add(t int64) { c.n = c.now(t) + 1 }

// rate makes it calls a second, for one that has been kept since a time.
func (c *count) rate(t, since int64) float64 {
	seen := span * (1 - math.Exp(-float64(max(t-since, second))/span))
	return c.now(t) * float64(second) / seen
}

// member is what is kept of one; there are as many as the settings name, and one for all others.
type member struct {
	fraction float64
	offered  count
	tokens   float64 // its own part of the room that it has not used
	admitted int64
	refused  int64
}

// Shares is the state of the module.
type Shares struct {
	set      control.Settings
	rng      *rand.Rand
	began    int64
	members  map[string]*member
	names    []string // in the order of the settings, the others last
	offered  count
	placed   count
	lost     count // admitted, and turned away or failed all the same
	nowLost  count // the same, and all that had their answer, over lossSpan
	nowAll   count
	waiting  map[string]bool // admitted calls without their answer
	planned  float64         // this instance's part
	limiting bool
	since    int64
	calmAt   int64   // since when there has been room for all; 0: there has not
	room     float64 // calls a second
	steppedA int64
	pool     float64 // what members left of their parts
	filledAt int64
	refused  int64
	fleet    TotalsSource
	admit    map[string]float64 // by member, the part of its calls that has room, where the fleet's totals are known
	totals   Totals
	part     float64 // of the plan, that the room is at least
	totalsAt int64
}

// totalsEvery is how often the fleet's totals are asked for: they are news of a second or so.
const totalsEvery = second / 4

// Of makes the module go by the whole fleet's counts while there are any, and by its own else.
func (m *Shares) UseFleetTotals(f TotalsSource) *Shares {
	m.fleet = f
	return m
}

// waitingMost bounds the calls followed; beyond it calls are admitted unseen.
const waitingMost = 1 << 15

// others is the name under which members are counted that the settings do not name: however many appear, they share one
// count and what is left over.
const others = ""

// New makes the module at a time, in Unix nanoseconds. planned is the load planned for all instances together, in calls
// a second: this one's part of it is where the room begins, if what has been placed says less. 0: not known.
func New(s control.Settings, tenants []Tenant, planned float64, seed uint64, now int64) *Shares {
	m := &Shares{set: s, rng: rand.New(rand.NewPCG(seed, 0x736861726573)), began: now, since: now, members: map[string]*member{},
		waiting: map[string]bool{}, planned: planned / float64(max(s.GroupSize, 1)), filledAt: now, steppedA: now}
	for _, t := range tenants {
		if m.members[t.Name] == nil {
			m.members[t.Name] = &member{}
			m.names = append(m.names, t.Name)
		}
	}
	m.SetFractions(tenants)
	if m.members[others] == nil {
		m.members[others] = &member{fraction: unknownFraction}
		m.names = append(m.names, others)
	}
	return m
}

// SetFractions changes the fractions of members that the settings name; others are passed over. What a member has not
// used of its part stays its own.
func (m *Shares) SetFractions(tenants []Tenant) {
	sum := 0.0
	for _, t := range tenants {
		sum += max(t.Fraction, 0)
	}
	for _, t := range tenants {
		if one := m.members[t.Name]; one != nil {
			one.fraction = max(t.Fraction, 0) / max(sum, 1)
		}
	}
}

// Name implements join.Module.
func (m *Shares) Name() string { return "shares" }

func (m *Shares) member(name string) *member {
	if one := m.members[name]; one != nil {
		return one
	}
	return m.members[others]
}

// See implements join.Module.
func (m *Shares) OnEvent(now int64, ev control.Event) {
	switch ev.Kind {
	case control.Stands:
		if m.waiting[ev.Call] {
			delete(m.waiting, ev.Call)
			m.placed.add(now)
			m.nowAll.n = m.nowAll.over(now, lossSpan) + 1
		}
	case control.Aborted:
		delete(m.waiting, ev.Call)
	}
}

// Did implements join.Module.
func (m *Shares) OnAction(now int64, a control.Action) {
	if (a.Kind == control.Refuse || a.Kind == control.Fail) && m.waiting[a.Call] {
		delete(m.waiting, a.Call)
		m.lost.add(now)
		m.nowLost.n = m.nowLost.over(now, lossSpan) + 1
		m.nowAll.n = m.nowAll.over(now, lossSpan) + 1
	}
}

// Room implements join.Module: shares are about callers, not servers.
func (m *Shares) HasRoom(int64, uint64) (bool, string) { return true, "" }

// Admit implements join.Module.
func (m *Shares) Admit(now int64, c join.Call) join.Decision {
	one := m.member(c.Tenant)
	if c.TimesHeld <= 0 { // once for each call, however often another module holds it
		one.offered.add(now)
		m.offered.add(now)
	}
	m.look(now)
	if m.limiting && !m.has(now, c.Tenant, one) {
		one.refused++
		m.refused++
		return join.Decision{Verdict: join.Refuse, Wait: m.spread(), Reason: OverShare}
	}
	one.admitted++
	if len(m.waiting) < waitingMost {
		m.waiting[c.ID] = true
	}
	return join.Decision{}
}

// has tells whether a call has room. By the fleet's totals a part of the member's calls has, the same at every instance:
// an instance that sees two calls a second can't tell from these who floods.
func (m *Shares) has(now int64, tenant string, one *member) bool {
	if m.admit == nil {
		return m.take(now, one)
	}
	if m.members[tenant] == nil {
		tenant = others
	}
	return m.rng.Float64() < m.admit[tenant]
}

// byTotals shares the room out over the fleet: a member has its part of it, or what it offers if that is less; what is left
// goes to those who want more, by their parts (max-min fairness with weights).
func (m *Shares) byTotals(t Totals) {
	m.admit = map[string]float64{}
	left, want := m.room, map[string]float64{}
	for _, name := range m.names {
		want[name] = t.Offered[name]
	}
	for len(want) > 0 {
		weights, done := 0.0, false
		for _, name := range m.names {
			if _, ok := want[name]; ok {
				weights += max(m.members[name].fraction, leastWeight)
			}
		}
		for _, name := range m.names { // those who want less than their part have it all
			offered, ok := want[name]
			part := left * max(m.members[name].fraction, leastWeight) / weights
			if ok && offered <= part {
				m.admit[name] = 1
				weights -= max(m.members[name].fraction, leastWeight)
				left -= offered
				delete(want, name)
				done = true
			}
		}
		if done {
			continue
		}
		for name, offered := range want {
			m.admit[name] = max(left, 0) * max(m.members[name].fraction, leastWeight) / weights / offered
		}
		return
	}
}

// By the fleet's totals limiting begins as soon as fleetBegin of the plan is offered, more than servers can bear that are
// planned for 72 to 87% of their time, without waiting for losses; and the room does not fall under fleetLeast of the plan,
// but by fleetGive a step while more than fleetLoss is lost there: losses are told seconds late, and the room would swing.
// Nor does it run ahead of what is placed by more than fleetMost, once it is over the plan.
const fleetBegin, fleetLeast, fleetMost, fleetGive, fleetLoss = 1.3, 0.85, 1.05, 0.01, 0.25

// leastWeight is the weight of members that the settings do not name: what the others leave.
const leastWeight = 1e-6

// take uses a token of the member's own, or one that others have left.
func (m *Shares) take(now int64, one *member) bool {
	m.fill(now)
	switch {
	case one.tokens >= 1:
		one.tokens--
	case m.pool >= 1:
		m.pool--
	default:
		return false
	}
	return true
}

// fill gives each member its part of the room since the last time. What a member can't keep, beyond a second and a half's worth,
// goes to the pool, which keeps half a second's worth of all: a member that comes back has its own at once, and what was
// lent to others ends with the pool.
func (m *Shares) fill(now int64) {
	d := float64(max(now-m.filledAt, 0)) / 1e9
	m.filledAt = now
	for _, name := range m.names {
		one := m.members[name]
		one.tokens += one.fraction * m.room * d
		if most := max(one.fraction*m.room*burstFor, burstLeast); one.tokens > most {
			m.pool += one.tokens - most
			one.tokens = most
		}
	}
	m.pool = min(m.pool, max(m.room*poolOf, 1))
}

// sums adds a total up over the members.
func sums(by map[string]float64) (sum float64) {
	for _, name := range slices.Sorted(maps.Keys(by)) {
		sum += by[name]
	}
	return sum
}

// readings are what look goes by: the fleet's where they are known, else this instance's own.
type readings struct {
	offered, placed, planned float64 // calls a second
	seen, stood, lost        float64 // the same and those lost, as calls over span
	loss                     float64 // part of the admitted calls that was lost of late
}

func (m *Shares) read(now int64) readings {
	if m.fleet != nil && (now-m.totalsAt >= totalsEvery || m.totalsAt == 0) {
		m.totalsAt = now
		var known bool
		if m.totals, known = m.fleet.Totals(now); known != (m.admit != nil) {
			m.limiting, m.admit = false, nil // what was found by the one is of no use to the other
			if known {
				m.admit = map[string]float64{}
			}
		}
	}
	if m.admit == nil {
		return readings{offered: m.offered.rate(now, m.began), placed: m.placed.rate(now, m.began), planned: m.planned,
			seen: m.offered.now(now), stood: m.placed.now(now), lost: m.lost.now(now),
			loss: m.nowLost.over(now, lossSpan) / max(m.nowAll.over(now, lossSpan), 1)}
	}
	t := m.totals
	lost, placed := sums(t.Lost), sums(t.Placed)
	offered, calls := sums(t.Offered), span/1e9
	return readings{offered: offered, placed: placed, planned: m.planned * float64(max(m.set.GroupSize, 1)),
		seen: offered * calls, stood: placed * calls, lost: lost * calls, loss: lost / max(lost+placed, 1)}
}

// look begins and ends limiting, and follows the room meanwhile.
func (m *Shares) look(now int64) {
	r := m.read(now)
	if m.follow(now, r); m.admit != nil && m.limiting {
		m.byTotals(m.totals)
	}
}

func (m *Shares) follow(now int64, r readings) {
	if !m.limiting {
		fleet := m.admit != nil && r.planned > 0
		if r.lost >= shortLeast && r.lost > shortFrom*r.seen || fleet && r.offered > fleetBegin*r.planned {
			m.limiting, m.since, m.calmAt = true, now, 0
			m.room = max(r.offered*r.stood/max(r.stood+r.lost, 1), min(r.planned, r.offered), roomLeast) // what the outcomes so far make of it
			if fleet {
				m.room, m.part = min(r.planned, r.offered), fleetLeast
			}
			m.pool, m.filledAt, m.steppedA = 0, now, now
			for _, name := range m.names {
				m.members[name].tokens = 1
			}
		}
		return
	}
	for n := 0; now-m.steppedA >= stepEvery && n < stepsMost; n++ {
		m.room *= 1 + min(max(gain*(lossAim-r.loss), -shrinkMost), growMost)
		m.steppedA += stepEvery
		if r.loss > fleetLoss && m.room <= m.part*r.planned {
			m.part -= fleetGive
		} else if r.loss < lossAim {
			m.part = min(m.part+fleetGive, fleetLeast)
		}
		if m.admit != nil {
			m.room = min(max(m.room, m.part*r.planned), max(r.planned, fleetMost*r.placed))
		}
	}
	if now-m.steppedA >= stepEvery {
		m.steppedA = now
	}
	m.room = max(min(max(m.room, r.placed), r.offered), roomLeast)
	if r.offered > m.room*(1+shortTo) {
		m.calmAt = 0
	} else if m.calmAt == 0 {
		m.calmAt = now
	} else if now-m.calmAt >= openFor {
		m.limiting, m.since = false, now
		m.lost = count{at: now}
	}
}

// spread is a told wait, drawn over the upper half of what may be told.
func (m *Shares) spread() int64 {
	most := m.set.MaxRetryAfter
	if !m.set.RetryAfter || most <= 0 {
		return 0
	}
	return most/2 + m.rng.Int64N(most/2+1)
}

// Limiting tells whether members are held to their shares now.
func (m *Shares) Limiting() bool { return m.limiting }

// Offered is what is offered to this instance, in calls a second.
func (m *Shares) OfferedRate(now int64) float64 { c := m.offered; return c.rate(now, m.began) }

// Status implements join.Module.
func (m *Shares) Status(int64) join.Status {
	st := join.Status{Module: m.Name(), State: Open, Reason: "room-for-all", Since: m.since, RefusedTotal: m.refused}
	if m.limiting {
		st.State, st.Reason, st.Out = Limiting, "calls-turned-away", "offered within the room for 5 s"
	}
	return st
}
