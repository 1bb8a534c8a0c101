// Package goodput limits the set-ups that an instance has outstanding at all servers together, according to how many
// have recently been answered in time. It guards against a congestion collapse that the fleet would not leave by
// itself: every server is busy with set-ups, answers come after their callers have left, redials of the callers keep
// the load up, and no server ever answers that it is full. An instance that sees a call or two per second learns too
// little from any single server to stop sending to it, but all of its set-ups together show at once that they are
// wasted.
//
// The limit follows two readings, which decay over some seconds. The first is the share of set-ups that were not
// answered in time: while it is small, the limit is far above what is ever outstanding. The second is the rate of those
// that were answered in time: by Little's law (L = rate x delay), that rate times the target delay is what may be
// outstanding for the delay to be kept. While the limit is reached, every server counts as having no room, and control
// decides what becomes of a call.
//
// The module is pure: callers pass in the time, and it takes part in decisions through package join.
package goodput

import (
	"fmt"
	"math"
	"math/rand/v2"

	"masthill/control"
	"masthill/control/join"
)

// The states, and the reasons of states and decisions.
const (
	Open        = "open"    // no call has met the limit recently
	Bounded     = "bounded" // calls have met the limit recently
	InTime      = "in-time" // set-ups are answered in time
	TooManyLate = "in-vain" // too many set-ups are not answered in time
	Redial      = "redial"  // decision: a redial is refused while first calls meet the limit
)

const (
	second = int64(1e9)
	// maxFollowed limits the set-ups that are followed at once, far above what one instance can have outstanding.
	// Beyond it further set-ups are not counted.
	maxFollowed = 1 << 16
	// maxGap is the longest gap between events while the instance runs: control sets a timer that comes due every tenth
	// of a second while a set-up is outstanding. A longer gap means that the instance itself was paused, and no server
	// is to blame for the silence.
	maxGap = second / 5
	// priorInTime is how many set-ups in time are assumed before any have been seen, so that one late set-up of a new
	// or idle instance does not count as congestion, and two are a hint of it.
	priorInTime = 2.0
	// A set-up within minDelayMultiple times the lowest recent delay is in time, even if it exceeds Settings.InTime, up
	// to maxInTimePart of the shortest target delay: servers that are slow by nature, with a call or two per second
	// each, are not congested. minDelayFadeTime is how slowly the lowest delay is forgotten.
	minDelayMultiple, maxInTimePart = 4.0, 0.9
	minDelayFadeTime                = 60 * float64(second)
	// openAfter is how long no call may have met the limit before the state is open again; it is longer than a round of
	// redials.
	openAfter = 10 * second
)

// Settings are the module's parameters. Those that are 0 get default values.
type Settings struct {
	Control     control.Settings
	InTime      float64 // part of the shortest target delay within which a set-up must be answered
	FadeTime    float64 // time over which the readings decay, in nanoseconds
	MinLimit    float64 // set-ups that may always be outstanding: with none, the module would never learn anything again
	Headroom    float64 // how far the limit is raised while most set-ups are answered in time
	TargetDelay float64 // the delay to keep, as a part of the shortest target delay of all classes
	RedialPause float64 // seconds for which redials are refused after a first call has met the limit
}

// setDefaults sets each parameter that is 0 to its default. docs/design/goodput.md has the figures behind them, from a
// model with 300 controllers and 24 servers.
func (s *Settings) setDefaults() {
	for _, d := range []struct {
		field *float64
		value float64
	}{{&s.InTime, 0.42}, {&s.FadeTime, 5 * float64(second)}, {&s.MinLimit, 1}, {&s.Headroom, 2}, {&s.TargetDelay, 0.5}, {&s.RedialPause, 10}} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
}

// Change is one change of state, for the log. Limit and Outstanding are numbers of set-ups, LateShare the share of
// set-ups that were not answered in time.
type Change struct {
	State, Reason                 string
	Limit, Outstanding, LateShare float64
}

// attempt is one set-up that is followed.
type attempt struct {
	sentAt int64 // moved on by pauses of the instance
	late   bool  // not answered in time, and counted as such
	done   bool
}

// fadingCount is a count that decays exponentially over a span.
type fadingCount struct {
	n  float64
	at int64
}

// value returns the decayed count without changing it.
func (f *fadingCount) value(now int64, span float64) float64 {
	return f.n * math.Exp(-float64(max(now-f.at, 0))/span)
}

func (f *fadingCount) add(now int64, span, n float64) {
	f.n, f.at = f.value(now, span)+n, max(now, f.at)
}

// Goodput is the module's state.
type Goodput struct {
	settings                    Settings
	rng                         *rand.Rand
	shortestTarget              float64
	outstanding                 map[string]*attempt
	queue                       []*attempt // the outstanding attempts in order of time, without those that are late
	late                        int        // how many outstanding attempts are late
	inTimeCount, notInTimeCount fadingCount
	updatedAt                   int64
	minDelay                    float64 // lowest recent delay of a successful set-up
	minDelayAt                  int64
	state                       string
	since                       int64
	limitReachedAt              int64 // when a call last met the limit
	limitReachedCount           int64 // how many calls met the limit
	redialsRefused              int64
	onChange                    func(Change)
}

// New creates the module at now, in Unix nanoseconds. onChange, if not nil, is called at once for each change of state.
func New(s Settings, seed uint64, now int64, onChange func(Change)) *Goodput {
	s.setDefaults()
	if onChange == nil {
		onChange = func(Change) {}
	}
	g := &Goodput{settings: s, rng: rand.New(rand.NewPCG(seed, 0x676f6f64)), shortestTarget: math.Inf(1), outstanding: map[string]*attempt{}, updatedAt: now, minDelay: math.Inf(1), minDelayAt: now, state: Open, since: now, onChange: onChange}
	for _, c := range s.Control.Classes {
		g.shortestTarget = min(g.shortestTarget, float64(c.TargetDelay))
	}
	return g
}

// Name implements join.Module.
func (g *Goodput) Name() string { return "goodput" }

// OnEvent implements join.Module.
func (g *Goodput) OnEvent(now int64, ev control.Event) {
	g.update(now)
	switch ev.Kind {
	case control.Established:
		if a := g.remove(ev.Call); a != nil {
			if !a.late {
				g.inTimeCount.add(now, g.settings.FadeTime, 1)
			}
			g.minDelay = min(float64(now-a.sentAt), g.minDelay*(1+float64(now-g.minDelayAt)/minDelayFadeTime))
			g.minDelayAt = now
		}
	case control.AttemptEnded:
		// Another answer shows that a server responds, not that set-ups succeed; an attempt that was cancelled before
		// it was late shows neither.
		g.remove(ev.Call)
	case control.Arrival:
		if ok, _ := g.HasCapacity(now, 0); !ok {
			g.limitReachedCount++
			g.limitReachedAt = now
			g.setState(now, Bounded, TooManyLate)
		}
	}
	if g.state == Bounded && now-g.limitReachedAt >= openAfter {
		g.setState(now, Open, InTime)
	}
}

// OnAction implements join.Module.
func (g *Goodput) OnAction(now int64, a control.Action) {
	if a.Kind != control.Send || len(g.outstanding) >= maxFollowed {
		return
	}
	g.update(now)
	g.remove(a.Call)
	added := &attempt{sentAt: now}
	g.outstanding[a.Call] = added
	g.queue = append(g.queue, added)
}

// remove removes a call's set-up from the outstanding ones and returns it.
func (g *Goodput) remove(call string) *attempt {
	a := g.outstanding[call]
	if a == nil {
		return nil
	}
	delete(g.outstanding, call)
	if a.done = true; a.late {
		g.late--
	}
	return a
}

// inTime returns the delay within which a set-up must be answered.
func (g *Goodput) inTime() float64 {
	t := g.settings.InTime * g.shortestTarget
	if !math.IsInf(g.minDelay, 1) {
		t = min(max(t, minDelayMultiple*g.minDelay), max(t, maxInTimePart*g.shortestTarget))
	}
	return t
}

// update finds the set-ups that have become late.
func (g *Goodput) update(now int64) {
	if gap := now - g.updatedAt; gap > maxGap {
		for _, a := range g.queue {
			a.sentAt += gap
		}
	}
	g.updatedAt = max(now, g.updatedAt)
	inTime := g.inTime()
	for len(g.queue) > 0 {
		a := g.queue[0]
		if !a.done && float64(now-a.sentAt) < inTime {
			return
		}
		if !a.done {
			a.late = true
			g.late++
			g.notInTimeCount.add(now, g.settings.FadeTime, 1)
		}
		g.queue = g.queue[1:]
	}
	g.queue = nil // releases its memory
}

// limit returns how many set-ups may be outstanding now, and the share of those that were not answered in time.
func (g *Goodput) limit(now int64) (limit, lateShare float64) {
	inTimeCount, notInTime := g.inTimeCount.value(now, g.settings.FadeTime), g.notInTimeCount.value(now, g.settings.FadeTime)
	lateShare = notInTime / (inTimeCount + notInTime + priorInTime)
	limit = g.settings.MinLimit + inTimeCount/g.settings.FadeTime*g.settings.TargetDelay*g.shortestTarget // Little's law
	if lateShare < 0.5 {
		limit += g.settings.Headroom * (1 - 2*lateShare) / max(lateShare, 1e-3) // 0 at a half, far more than is ever outstanding at a tenth
	}
	return limit, lateShare
}

// countedOutstanding returns how many set-ups count as outstanding. Late ones are on their way or at a server that does
// not respond. They count in proportion to the late share, so that a few silent servers do not use up the limit for the
// healthy ones; from a share of a half on they count in full.
func (g *Goodput) countedOutstanding(lateShare float64) float64 {
	return float64(len(g.outstanding)-g.late) + float64(g.late)*min(lateShare/0.5, 1)
}

// Admit implements join.Module. Control decides on a first call without room. A redial is late or nearly so, and is
// worth at most a part of what a call in time is worth; while first calls meet the limit, it is refused with a randomly
// drawn wait, so that callers refused together do not return together.
func (g *Goodput) Admit(now int64, c join.Call) join.Decision {
	if g.state != Bounded || !c.Redialed {
		return join.Decision{}
	}
	g.update(now)
	if float64(now-g.limitReachedAt) >= g.settings.RedialPause*float64(second) {
		return join.Decision{}
	}
	g.redialsRefused++
	r := join.Decision{Kind: join.Refuse, Reason: Redial}
	if maxWait := g.settings.Control.MaxRetryAfter; maxWait > 0 {
		r.Wait = maxWait/2 + g.rng.Int64N(maxWait/2+1)
	}
	return r
}

// HasCapacity implements join.Module.
func (g *Goodput) HasCapacity(now int64, _ uint64) (bool, string) {
	limit, lateShare := g.limit(now)
	if g.countedOutstanding(lateShare)+1 > limit {
		return false, TooManyLate
	}
	return true, ""
}

func (g *Goodput) setState(now int64, state, reason string) {
	if g.state == state {
		return
	}
	g.state, g.since = state, now
	limit, lateShare := g.limit(now)
	g.onChange(Change{State: state, Reason: reason, Limit: limit, Outstanding: g.countedOutstanding(lateShare), LateShare: lateShare})
}

// Status implements join.Module. Held counts the calls that met the limit; control decided on them.
func (g *Goodput) Status(now int64) join.Status {
	limit, lateShare := g.limit(now)
	s := join.Status{Module: g.Name(), State: g.state, Reason: InTime, Since: g.since, Held: g.limitReachedCount, RefusedTotal: g.redialsRefused}
	if g.state == Bounded {
		s.Reason = TooManyLate
		s.ExitCondition = fmt.Sprintf("no call at the limit for %d s; now %.1f of %.1f set-ups outstanding, %.0f%% not answered in time", openAfter/second, g.countedOutstanding(lateShare), limit, 100*lateShare)
	}
	return s
}
