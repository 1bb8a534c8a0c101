// Package shares decides which tenants' calls take precedence while not all can be placed. Each tenant has a
// fraction of the service. While calls are being refused, a tenant's calls within its fraction of what this
// instance can place are admitted; beyond that it may borrow what the others leave unused, and is otherwise refused at
// once with a Retry-After. While all calls can be placed, no tenant is limited.
//
// The capacity of the instance, that is what it can place, is not known and cannot be queried. It is estimated from the
// calls that were admitted and then refused or failed by control: a small share of such losses is the target; with
// fewer the estimate grows, with more it shrinks, but never below what has just been placed.
//
// The module is pure: callers pass in the time, and it takes part in decisions through package join.
package shares

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"masthill/control"
	"masthill/control/join"
)

// The codes of decisions and states.
const (
	Open      = "open"       // all calls can be placed
	Limiting  = "limiting"   // tenants are limited to their shares
	OverShare = "over-share" // a call beyond its tenant's share, with nothing left to borrow
)

const (
	second = int64(1e9)
	// fadeTime is the time over which calls are counted: long enough for a few dozen calls of the smallest tenant on a
	// busy instance, short against the tens of seconds that shortages last.
	fadeTime = 4 * float64(second)
	// Limiting begins when the part limitAtLoss of offered calls is lost, and at least minLost calls are. It
	// ends when the offered rate has exceeded the capacity by no more than the part endMargin for endAfter.
	limitAtLoss, endMargin = 0.08, 0.02
	minLost                = 4.0
	endAfter               = 5 * second
	// The capacity is estimated anew every stepInterval; after an idle period at most maxSteps steps are made up for. A
	// step changes it by gain times the difference between targetLoss and the share of losses, by the part maxGrowth up
	// and maxShrinkage down at most. Losses are counted over lossFadeTime: in a single step, one chance loss among a
	// dozen calls would look like a shortage.
	stepInterval, maxSteps  = second / 4, 8
	gain, targetLoss        = 1.0, 0.05
	maxGrowth, maxShrinkage = 0.03, 0.05
	lossFadeTime            = 1.5 * float64(second)
	minCapacity             = 0.5 // calls per second, so that no instance stops admitting altogether
	minBurst                = 8.0 // calls: most instances see few calls of a small tenant, and these come in bursts
	unnamedFraction         = 0.0 // of tenants that the settings do not name
	// A tenant may save up its part of the capacity for burstSeconds; the pool holds the whole capacity of poolSeconds.
	burstSeconds, poolSeconds = 1.5, 0.5
)

// Tenant is a tenant's name and its fraction of the service.
type Tenant struct {
	Name     string
	Fraction float64
}

// Totals are the rates of calls that a whole fleet was offered, placed and lost recently, by tenant, in calls per
// second. Tenants that the settings do not name are counted under "".
type Totals struct{ Offered, Placed, Lost map[string]float64 }

// TotalsSource provides the totals of the fleet; the result is not ok while the instances cannot exchange them.
type TotalsSource interface {
	Totals(now int64) (Totals, bool)
}

// fadingCount is a count of events that decays exponentially over fadeTime.
type fadingCount struct {
	n  float64
	at int64
}

func (c *fadingCount) value(t int64) float64 { return c.valueOver(t, fadeTime) }

func (c *fadingCount) valueOver(t int64, span float64) float64 {
	c.n *= math.Exp(-float64(t-c.at) / span)
	c.at = t
	return c.n
}

func (c *fadingCount) add(t int64) { c.n = c.value(t) + 1 }

// rate converts the count into calls per second, for a count that was started at since.
func (c *fadingCount) rate(t, since int64) float64 {
	observed := fadeTime * (1 - math.Exp(-float64(max(t-since, second))/fadeTime))
	return c.value(t) * float64(second) / observed
}

// tenantState is the state of one tenant that the settings name, or of all others together.
type tenantState struct {
	fraction float64
	offered  fadingCount
	tokens   float64 // its own part of the capacity that it has not used
	admitted int64
	refused  int64
}

// Shares is the module's state.
type Shares struct {
	settings       control.Settings
	rng            *rand.Rand
	startedAt      int64
	states         map[string]*tenantState
	names          []string // in the order of the settings, unnamed last
	offered        fadingCount
	placed         fadingCount
	lost           fadingCount // admitted, but refused or failed by control
	recentLost     fadingCount // these, and all calls that were answered, counted over lossFadeTime
	recentAnswered fadingCount
	waiting        map[string]bool // admitted calls that are not yet answered
	planned        float64         // this instance's part of the planned load, in calls per second
	limiting       bool
	since          int64
	fitsSince      int64   // since when the offered calls have fitted into the capacity; 0: they do not
	capacity       float64 // calls per second
	steppedAt      int64
	pool           float64 // what tenants have left unused of their parts
	refilledAt     int64
	refused        int64
	totalsSource   TotalsSource
	admitPart      map[string]float64 // by tenant, the part of its calls to admit; nil: totals not known
	totals         Totals
	minPart        float64 // lower limit of the capacity, as a part of the planned load
	totalsAt       int64
}

// totalsInterval is how often the totals of the fleet are queried; they are about a second old in any case.
const totalsInterval = second / 4

// UseFleetTotals makes the module decide by the totals of the whole fleet while they are known, and by its own counts
// otherwise. It returns the module.
func (m *Shares) UseFleetTotals(f TotalsSource) *Shares {
	m.totalsSource = f
	return m
}

// maxWaiting limits the calls that are followed; beyond it calls are admitted without being followed.
const maxWaiting = 1 << 15

// unnamed is the name under which all tenants that the settings do not name are counted: however many there are, they
// share one count, and the capacity that the others leave unused.
const unnamed = ""

// New creates the module at now, in Unix nanoseconds. planned is the load planned for all instances together, in calls
// per second: the capacity starts at this instance's part of it, unless more has been placed. 0: not known.
func New(s control.Settings, tenants []Tenant, planned float64, seed uint64, now int64) *Shares {
	m := &Shares{settings: s, rng: rand.New(rand.NewPCG(seed, 0x736861726573)), startedAt: now, since: now, states: map[string]*tenantState{},
		waiting: map[string]bool{}, planned: planned / float64(max(s.GroupSize, 1)), refilledAt: now, steppedAt: now}
	for _, t := range tenants {
		if m.states[t.Name] == nil {
			m.states[t.Name] = &tenantState{}
			m.names = append(m.names, t.Name)
		}
	}
	m.SetFractions(tenants)
	if m.states[unnamed] == nil {
		m.states[unnamed] = &tenantState{fraction: unnamedFraction}
		m.names = append(m.names, unnamed)
	}
	return m
}

// SetFractions changes the fractions of tenants that the settings name, and ignores others. A tenant keeps what it has
// not used of its part.
func (m *Shares) SetFractions(tenants []Tenant) {
	sum := 0.0
	for _, t := range tenants {
		sum += max(t.Fraction, 0)
	}
	for _, t := range tenants {
		if state := m.states[t.Name]; state != nil {
			state.fraction = max(t.Fraction, 0) / max(sum, 1)
		}
	}
}

// Name implements join.Module.
func (m *Shares) Name() string { return "shares" }

func (m *Shares) tenantState(name string) *tenantState {
	if state := m.states[name]; state != nil {
		return state
	}
	return m.states[unnamed]
}

// OnEvent implements join.Module.
func (m *Shares) OnEvent(now int64, ev control.Event) {
	switch ev.Kind {
	case control.Established:
		if m.waiting[ev.Call] {
			delete(m.waiting, ev.Call)
			m.placed.add(now)
			m.recentAnswered.n = m.recentAnswered.valueOver(now, lossFadeTime) + 1
		}
	case control.Aborted:
		delete(m.waiting, ev.Call)
	}
}

// OnAction implements join.Module.
func (m *Shares) OnAction(now int64, a control.Action) {
	if (a.Kind == control.Refuse || a.Kind == control.Fail) && m.waiting[a.Call] {
		delete(m.waiting, a.Call)
		m.lost.add(now)
		m.recentLost.n = m.recentLost.valueOver(now, lossFadeTime) + 1
		m.recentAnswered.n = m.recentAnswered.valueOver(now, lossFadeTime) + 1
	}
}

// HasCapacity implements join.Module. It is always true, as shares limit callers, not servers.
func (m *Shares) HasCapacity(int64, uint64) (bool, string) { return true, "" }

// Admit implements join.Module.
func (m *Shares) Admit(now int64, c join.Call) join.Decision {
	state := m.tenantState(c.Tenant)
	if c.TimesHeld <= 0 { // counted once for each call, however often another module holds it
		state.offered.add(now)
		m.offered.add(now)
	}
	m.update(now)
	if m.limiting && !m.admits(now, c.Tenant, state) {
		state.refused++
		m.refused++
		return join.Decision{Kind: join.Refuse, Wait: m.randomWait(), Reason: OverShare}
	}
	state.admitted++
	if len(m.waiting) < maxWaiting {
		m.waiting[c.ID] = true
	}
	return join.Decision{}
}

// admits tells whether a call is within its tenant's share. With the totals of the fleet, the same part of a tenant's
// calls is admitted at every instance: an instance that sees two calls per second cannot tell from these which tenant
// exceeds its share.
func (m *Shares) admits(now int64, tenant string, state *tenantState) bool {
	if m.admitPart == nil {
		return m.takeToken(now, state)
	}
	if m.states[tenant] == nil {
		tenant = unnamed
	}
	return m.rng.Float64() < m.admitPart[tenant]
}

// divideCapacity divides the capacity of the fleet among the tenants. A tenant gets its part, or what it is offered if
// that is less; what remains goes to those with more calls, in proportion to their fractions (weighted max-min
// fairness).
func (m *Shares) divideCapacity(t Totals) {
	m.admitPart = map[string]float64{}
	remaining, demand := m.capacity, map[string]float64{}
	for _, name := range m.names {
		demand[name] = t.Offered[name]
	}
	for len(demand) > 0 {
		weights, satisfied := 0.0, false
		for _, name := range m.names {
			if _, ok := demand[name]; ok {
				weights += max(m.states[name].fraction, unnamedWeight)
			}
		}
		for _, name := range m.names { // tenants that are offered no more than their part get all of it
			offered, ok := demand[name]
			part := remaining * max(m.states[name].fraction, unnamedWeight) / weights
			if ok && offered <= part {
				m.admitPart[name] = 1
				weights -= max(m.states[name].fraction, unnamedWeight)
				remaining -= offered
				delete(demand, name)
				satisfied = true
			}
		}
		if satisfied {
			continue
		}
		for name, offered := range demand {
			m.admitPart[name] = max(remaining, 0) * max(m.states[name].fraction, unnamedWeight) / weights / offered
		}
		return
	}
}

// By the totals of the fleet, limiting begins without waiting for losses, as soon as the offered rate exceeds
// fleetLimitFrom times the planned load: servers are planned at 72 to 87% of their capacity, so this is 94 to 113%
// of it. The capacity does not fall below fleetMinCapacity times the planned load, as losses are reported seconds
// late and it would oscillate otherwise; while more than fleetHighLoss is lost at that limit, the limit is lowered by
// fleetFloorStep per step, and it is raised again once losses are under targetLoss. Above the planned load, the
// capacity is at most fleetMaxCapacity times what is placed.
const fleetLimitFrom, fleetMinCapacity, fleetMaxCapacity, fleetFloorStep, fleetHighLoss = 1.3, 0.85, 1.05, 0.01, 0.25

// unnamedWeight is the weight of tenants that the settings do not name: they get what the others leave.
const unnamedWeight = 1e-6

// takeToken uses a token of the tenant, or one that others have left unused.
func (m *Shares) takeToken(now int64, state *tenantState) bool {
	m.refill(now)
	switch {
	case state.tokens >= 1:
		state.tokens--
	case m.pool >= 1:
		m.pool--
	default:
		return false
	}
	return true
}

// refill gives each tenant its part of the capacity since the last call. What a tenant cannot keep, beyond burstSeconds
// of its part, goes to the pool, which holds poolSeconds of the whole capacity: a tenant that returns has its own part
// at once, and others can no longer borrow it once the pool is empty.
func (m *Shares) refill(now int64) {
	seconds := float64(max(now-m.refilledAt, 0)) / 1e9
	m.refilledAt = now
	for _, name := range m.names {
		state := m.states[name]
		state.tokens += state.fraction * m.capacity * seconds
		if limit := max(state.fraction*m.capacity*burstSeconds, minBurst); state.tokens > limit {
			m.pool += state.tokens - limit
			state.tokens = limit
		}
	}
	m.pool = min(m.pool, max(m.capacity*poolSeconds, 1))
}

// totalOf adds up the values of all tenants. It does so in the order of their names, so that the result is always the
// same.
func totalOf(byTenant map[string]float64) (sum float64) {
	for _, name := range slices.Sorted(maps.Keys(byTenant)) {
		sum += byTenant[name]
	}
	return sum
}

// readings are the rates and counts that the estimate of the capacity is based on: the fleet's if they are known,
// otherwise this instance's own.
type readings struct {
	offered, placed, planned        float64 // calls per second
	offeredCount, placedCount, lost float64 // offered, placed and lost calls, counted over fadeTime
	lossShare                       float64 // part of the admitted calls that was lost recently
}

func (m *Shares) currentReadings(now int64) readings {
	if m.totalsSource != nil && (now-m.totalsAt >= totalsInterval || m.totalsAt == 0) {
		m.totalsAt = now
		var known bool
		if m.totals, known = m.totalsSource.Totals(now); known != (m.admitPart != nil) {
			m.limiting, m.admitPart = false, nil // they were derived from the other kind of counts
			if known {
				m.admitPart = map[string]float64{}
			}
		}
	}
	if m.admitPart == nil {
		return readings{offered: m.offered.rate(now, m.startedAt), placed: m.placed.rate(now, m.startedAt), planned: m.planned,
			offeredCount: m.offered.value(now), placedCount: m.placed.value(now), lost: m.lost.value(now),
			lossShare: m.recentLost.valueOver(now, lossFadeTime) / max(m.recentAnswered.valueOver(now, lossFadeTime), 1)}
	}
	t := m.totals
	lost, placed := totalOf(t.Lost), totalOf(t.Placed)
	offered, calls := totalOf(t.Offered), fadeTime/1e9
	return readings{offered: offered, placed: placed, planned: m.planned * float64(max(m.settings.GroupSize, 1)),
		offeredCount: offered * calls, placedCount: placed * calls, lost: lost * calls, lossShare: lost / max(lost+placed, 1)}
}

// update begins and ends limiting, and adjusts the capacity while limiting lasts.
func (m *Shares) update(now int64) {
	r := m.currentReadings(now)
	if m.updateCapacity(now, r); m.admitPart != nil && m.limiting {
		m.divideCapacity(m.totals)
	}
}

func (m *Shares) updateCapacity(now int64, r readings) {
	if !m.limiting {
		fleetPlanned := m.admitPart != nil && r.planned > 0
		if r.lost >= minLost && r.lost > limitAtLoss*r.offeredCount || fleetPlanned && r.offered > fleetLimitFrom*r.planned {
			m.limiting, m.since, m.fitsSince = true, now, 0
			m.capacity = max(r.offered*r.placedCount/max(r.placedCount+r.lost, 1), min(r.planned, r.offered), minCapacity) // estimated from the outcomes so far
			if fleetPlanned {
				m.capacity, m.minPart = min(r.planned, r.offered), fleetMinCapacity
			}
			m.pool, m.refilledAt, m.steppedAt = 0, now, now
			for _, name := range m.names {
				m.states[name].tokens = 1
			}
		}
		return
	}
	for n := 0; now-m.steppedAt >= stepInterval && n < maxSteps; n++ {
		m.capacity *= 1 + min(max(gain*(targetLoss-r.lossShare), -maxShrinkage), maxGrowth)
		m.steppedAt += stepInterval
		if r.lossShare > fleetHighLoss && m.capacity <= m.minPart*r.planned {
			m.minPart -= fleetFloorStep
		} else if r.lossShare < targetLoss {
			m.minPart = min(m.minPart+fleetFloorStep, fleetMinCapacity)
		}
		if m.admitPart != nil {
			m.capacity = min(max(m.capacity, m.minPart*r.planned), max(r.planned, fleetMaxCapacity*r.placed))
		}
	}
	if now-m.steppedAt >= stepInterval {
		m.steppedAt = now
	}
	m.capacity = max(min(max(m.capacity, r.placed), r.offered), minCapacity)
	if r.offered > m.capacity*(1+endMargin) {
		m.fitsSince = 0
	} else if m.fitsSince == 0 {
		m.fitsSince = now
	} else if now-m.fitsSince >= endAfter {
		m.limiting, m.since = false, now
		m.lost = fadingCount{at: now}
	}
}

// randomWait draws a Retry-After from the upper half of the allowed range.
func (m *Shares) randomWait() int64 {
	limit := m.settings.MaxRetryAfter
	if !m.settings.RetryAfter || limit <= 0 {
		return 0
	}
	return limit/2 + m.rng.Int64N(limit/2+1)
}

// Limiting tells whether tenants are limited to their shares now.
func (m *Shares) Limiting() bool { return m.limiting }

// OfferedRate is the rate of calls offered to this instance, in calls per second.
func (m *Shares) OfferedRate(now int64) float64 { c := m.offered; return c.rate(now, m.startedAt) }

// Status implements join.Module.
func (m *Shares) Status(int64) join.Status {
	status := join.Status{Module: m.Name(), State: Open, Reason: "room-for-all", Since: m.since, RefusedTotal: m.refused}
	if m.limiting {
		status.State, status.Reason, status.ExitCondition = Limiting, "calls-turned-away", "offered calls within the capacity for 5 s"
	}
	return status
}
