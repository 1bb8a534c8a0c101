// Package goodput bounds the set-ups that an instance has out without an answer, all servers together, by what came back
// in time of late. It is there for one case: a jam that the fleet would not leave by itself. There every server is busy
// with set-ups, answers come after their callers have left, the callers' redials keep the load up, and no server ever
// answers full. An instance that sees a call or two a second learns too little from any one server to shut it; of all its
// set-ups together it knows at once that they come to nothing.
//
// The bound follows two readings, which fade over some seconds. The first is the share of set-ups that came to nothing in
// time: while it is small the bound is far beyond what is ever out. The second is the rate of those that did come back in
// time: by Little's law (L = rate x delay), that rate times the wanted delay is what may be out for the delay to be kept.
// While the bound is reached the servers pass for servers without room, and what becomes of a call then is control's
// decision, as ever.
//
// The module is pure: it is told the time and joins the core through package join.
package goodput

import (
	"fmt"
	"math"
	"math/rand/v2"

	"masthill/control"
	"masthill/control/join"
)

// The states, and their reasons.
const (
	Open        = "open"    // nothing has been kept back of late
	Bounded     = "bounded" // calls have met the bound of late
	InTime      = "in-time" // set-ups come back in time
	TooManyLate = "in-vain" // too many set-ups come to nothing in time
	Redial      = "redial"  // ruling: a caller's retry, while first tries meet the bound
)

const (
	second = int64(1e9)
	// outMost bounds the set-ups that are followed at once, far beyond what one instance can have out; beyond it the
	// module stands aside.
	outMost = 1 << 16
	// standstill is how late news comes when the instance itself stood still: control has a beat every tenth of a second
	// while a set-up is out, and no server is at fault for a silence in between.
	standstill = second / 5
	// prior is how many set-ups in time are taken for seen before any are: so that one late set-up of a new or idle
	// instance is no jam, and two are a hint.
	prior = 2.0
	// slack times the least delay of late is in time whatever the aim says, up to inTimeMost of the aim: servers that are
	// slow by themselves, with a call or two a second each, are in no jam. leastSpan is how slowly the least delay is
	// forgotten.
	slack, inTimeMost = 4.0, 0.9
	leastSpan         = 60 * float64(second)
	// leaveAfter is how long nothing may have met the bound for the state to be open again: longer than a round of redials.
	leaveAfter = 10 * second
)

// Settings are the module's figures. Zero ones have the defaults.
type Settings struct {
	Control     control.Settings
	InTime      float64 // part of the shortest aim within which a set-up has to come back
	FadeTime    float64 // time over which the readings fade, in nanoseconds
	MinLimit    float64 // set-ups that may be out whatever was seen: with none nothing would ever be learnt again
	Headroom    float64 // how far the bound gives way where most set-ups come back in time
	TargetDelay float64 // the wanted delay, as a part of the shortest aim
	RedialPause float64 // seconds for which redials stand back after a first try has met the bound
}

// defaults were chosen on the model, 300 controllers and 24 servers: docs/design/goodput.md has the figures.
func (s *Settings) defaults() {
	for _, d := range []struct {
		at    *float64
		value float64
	}{{&s.InTime, 0.42}, {&s.FadeTime, 5 * float64(second)}, {&s.MinLimit, 1}, {&s.Headroom, 2}, {&s.TargetDelay, 0.5}, {&s.RedialPause, 10}} {
		if *d.at <= 0 {
			*d.at = d.value
		}
	}
}

// Change is one change of state, for the log.
type Change struct {
	State, Reason                 string
	Limit, Outstanding, LateShare float64
}

// attempt is a set-up without an answer.
type attempt struct {
	at   int64
	late bool // counted as one that came to nothing
	over bool
}

// fading is a count that is forgotten over a span.
type fading struct {
	n  float64
	at int64
}

// read is what is left of the count; it changes nothing.
func (f *fading) read(now int64, span float64) float64 {
	return f.n * math.Exp(-float64(max(now-f.at, 0))/span)
}

func (f *fading) add(now int64, span, n float64) {
	f.n, f.at = f.read(now, span)+n, max(now, f.at)
}

// Goodput is the state of the module.
type Goodput struct {
	set        Settings
	rng        *rand.Rand
	aim        float64
	out        map[string]*attempt
	line       []*attempt // the same by time, up to the late ones
	late       int        // of those out
	good, vain fading
	heardAt    int64
	least      float64 // delay of a set-up that stood, of late
	leastAt    int64
	state      string
	since      int64
	metAt      int64 // when a call last met the bound
	met        int64 // how many did
	turned     int64 // redials refused
	onChange   func(Change)
}

// New makes the module at a time, in Unix nanoseconds. onChange, if any, hears of each change of state at once.
func New(s Settings, seed uint64, now int64, onChange func(Change)) *Goodput {
	s.defaults()
	if onChange == nil {
		onChange = func(Change) {}
	}
	g := &Goodput{set: s, rng: rand.New(rand.NewPCG(seed, 0x676f6f64)), aim: math.Inf(1), out: map[string]*attempt{}, heardAt: now, least: math.Inf(1), leastAt: now, state: Open, since: now, onChange: onChange}
	for _, c := range s.Control.Classes {
		g.aim = min(g.aim, float64(c.Aim))
	}
	return g
}

// Name implements join.Module.
func (g *Goodput) Name() string { return "goodput" }

// See implements join.Module.
func (g *Goodput) OnEvent(now int64, ev control.Event) {
	g.look(now)
	switch ev.Kind {
	case control.Stands:
		if a := g.take(ev.Call); a != nil {
			if !a.late {
				g.good.add(now, g.set.FadeTime, 1)
			}
			g.least = min(float64(now-a.at), g.least*(1+float64(now-g.leastAt)/leastSpan))
			g.leastAt = now
		}
	case control.AttemptEnded:
		// An answer of another kind tells that a server answers, not that set-ups get through; one that was called off
		// before it was late tells neither.
		g.take(ev.Call)
	case control.Arrival:
		if ok, _ := g.HasRoom(now, 0); !ok {
			g.met++
			g.metAt = now
			g.turn(now, Bounded, TooManyLate)
		}
	}
	if g.state == Bounded && now-g.metAt >= leaveAfter {
		g.turn(now, Open, InTime)
	}
}

// Did implements join.Module.
func (g *Goodput) OnAction(now int64, a control.Action) {
	if a.Kind != control.Send || len(g.out) >= outMost {
		return
	}
	g.look(now)
	g.take(a.Call)
	one := &attempt{at: now}
	g.out[a.Call] = one
	g.line = append(g.line, one)
}

// take takes a call's set-up off those that are out.
func (g *Goodput) take(call string) *attempt {
	a := g.out[call]
	if a == nil {
		return nil
	}
	delete(g.out, call)
	if a.over = true; a.late {
		g.late--
	}
	return a
}

// inTime is the delay within which a set-up has to come back.
func (g *Goodput) inTime() float64 {
	t := g.set.InTime * g.aim
	if !math.IsInf(g.least, 1) {
		t = min(max(t, slack*g.least), max(t, inTimeMost*g.aim))
	}
	return t
}

// look finds the set-ups that have become late.
func (g *Goodput) look(now int64) {
	if gap := now - g.heardAt; gap > standstill {
		for _, a := range g.line {
			a.at += gap
		}
	}
	g.heardAt = max(now, g.heardAt)
	inTime := g.inTime()
	for len(g.line) > 0 {
		a := g.line[0]
		if !a.over && float64(now-a.at) < inTime {
			return
		}
		if !a.over {
			a.late = true
			g.late++
			g.vain.add(now, g.set.FadeTime, 1)
		}
		g.line = g.line[1:]
	}
	g.line = nil // its memory
}

// limit is what may be out now, and the share of set-ups that came to nothing.
func (g *Goodput) limit(now int64) (limit, vain float64) {
	good, lost := g.good.read(now, g.set.FadeTime), g.vain.read(now, g.set.FadeTime)
	vain = lost / (good + lost + prior)
	limit = g.set.MinLimit + good/g.set.FadeTime*g.set.TargetDelay*g.aim // Little's law
	if vain < 0.5 {
		limit += g.set.Headroom * (1 - 2*vain) / max(vain, 1e-3) // nothing at a half, and far beyond what is out at a tenth
	}
	return limit, vain
}

// used is what counts as out. Late set-ups are on their way or at a server that says nothing: they count by the share in
// vain, so that a few silent servers do not take the well ones' calls, and in a jam they count in full.
func (g *Goodput) used(vain float64) float64 {
	return float64(len(g.out)-g.late) + float64(g.late)*min(vain/0.5, 1)
}

// Admit implements join.Module. What becomes of a first try without room is control's decision. A redial is late already
// or nearly so, and earns a part at most; while first tries meet the bound it has a part of it only, and is asked back
// after a wait that is drawn, so that those refused together do not return together.
func (g *Goodput) Admit(now int64, c join.Call) join.Decision {
	if g.state != Bounded || !c.Retry {
		return join.Decision{}
	}
	g.look(now)
	if float64(now-g.metAt) >= g.set.RedialPause*float64(second) {
		return join.Decision{}
	}
	g.turned++
	r := join.Decision{Verdict: join.Refuse, Reason: Redial}
	if most := g.set.Control.MaxRetryAfter; most > 0 {
		r.Wait = most/2 + g.rng.Int64N(most/2+1)
	}
	return r
}

// Room implements join.Module.
func (g *Goodput) HasRoom(now int64, _ uint64) (bool, string) {
	limit, vain := g.limit(now)
	if g.used(vain)+1 > limit {
		return false, TooManyLate
	}
	return true, ""
}

func (g *Goodput) turn(now int64, state, reason string) {
	if g.state == state {
		return
	}
	g.state, g.since = state, now
	limit, vain := g.limit(now)
	g.onChange(Change{State: state, Reason: reason, Limit: limit, Outstanding: g.used(vain), LateShare: vain})
}

// Status implements join.Module. Held counts the calls that met the bound; control decided on them.
func (g *Goodput) Status(now int64) join.Status {
	limit, vain := g.limit(now)
	s := join.Status{Module: g.Name(), State: g.state, Reason: InTime, Since: g.since, Held: g.met, RefusedTotal: g.turned}
	if g.state == Bounded {
		s.Reason = TooManyLate
		s.Out = fmt.Sprintf("no call at the bound for %d s; now %.1f of %.1f out, %.0f in a hundred in vain", leaveAfter/second, g.used(vain), limit, 100*vain)
	}
	return s
}
