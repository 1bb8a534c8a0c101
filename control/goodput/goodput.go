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

	"masthill/control"
	"masthill/control/join"
)

// The states, the codes of caps, and what is told operators.
const (
	Open    = "open"      // the bound is beyond what is out
	Bounded = "bounded"   // the bound has kept set-ups back of late
	Jam     = "no-answer" // too many set-ups came to nothing in time
	InTime  = "in-time"   // set-ups come back in time
)

const (
	second = int64(1e9)
	// outMost bounds the set-ups followed at once; beyond it the module stands aside.
	outMost = 65536
	// standstill is how late news comes when this instance itself stood still: control has a beat every tenth of a second
	// while a set-up is out, and no server is at fault for a silence in between.
	standstill = second / 5
)

// Settings are the module's figures. Zero ones have the defaults.
type Settings struct {
	Control control.Settings
	// InTime is the part of the shortest aim within which a set-up has to come back.
	InTime float64
	// Span is the time over which the readings fade, in nanoseconds.
	Span float64
	// Least is what may be out whatever was seen: with none nothing would ever be learnt again.
	Least float64
	// Ease is how soon the bound gives way as set-ups come back.
	Ease float64
	// Delay is the delay wanted, in parts of the shortest aim.
	Delay float64
}

type attempt struct {
	call string
	at   int64
	late bool
	gone bool
}

// fading is a count that is forgotten over a span.
type fading struct {
	n  float64
	at int64
}

func (f *fading) now(t int64, span float64) float64 {
	if t > f.at {
		f.n *= math.Exp(-float64(t-f.at) / span)
		f.at = t
	}
	return f.n
}

// Goodput is the state of the module.
type Goodput struct {
	set       Settings
	aim       float64
	out       map[string]*attempt
	line      []*attempt // in order of time, with gone ones
	late      int        // of out
	good, bad fading
	heardAt   int64
	cappedAt  int64
	capped    int64
	state     string
	since     int64
}

// New makes the module at a time, in Unix nanoseconds.
func New(s Settings, now int64) *Goodput {
	for _, d := range []struct {
		at    *float64
		value float64
	}{{&s.InTime, 0.75}, {&s.Span, 5e9}, {&s.Least, 1}, {&s.Ease, 2}, {&s.Delay, 0.5}} {
		if *d.at == 0 {
			*d.at = d.value
		}
	}
	g := &Goodput{set: s, aim: math.Inf(1), out: map[string]*attempt{}, heardAt: now, state: Open, since: now}
	for _, c := range s.Control.Classes {
		g.aim = min(g.aim, float64(c.Aim))
	}
	g.good.at, g.bad.at = now, now
	return g
}

// Name implements join.Module.
func (g *Goodput) Name() string { return "goodput" }

// See implements join.Module.
func (g *Goodput) See(now int64, ev control.Event) {
	g.look(now)
	switch ev.Kind {
	case control.Stands:
		if a := g.take(ev.Call); a != nil && !a.late {
			g.good.n = g.good.now(now, g.set.Span) + 1
		}
	case control.Returned:
		if a := g.take(ev.Call); a != nil && !a.late {
			switch ev.Outcome {
			case control.Overdue, control.Recalled: // given up before it was late: it tells half a thing
				g.bad.n = g.bad.now(now, g.set.Span) + 0.5
			}
		}
	}
}

// Did implements join.Module.
func (g *Goodput) Did(now int64, a control.Action) {
	if a.Kind != control.Send || len(g.line) >= outMost {
		return
	}
	g.look(now)
	g.take(a.Call)
	one := &attempt{call: a.Call, at: now}
	g.out[a.Call] = one
	g.line = append(g.line, one)
}

func (g *Goodput) take(call string) *attempt {
	a := g.out[call]
	if a == nil {
		return nil
	}
	delete(g.out, call)
	if a.gone = true; a.late {
		g.late--
	}
	return a
}

// look ages what is out.
func (g *Goodput) look(now int64) {
	if gap := now - g.heardAt; gap > standstill && len(g.out) > 0 {
		for _, a := range g.line {
			a.at += gap
		}
	}
	g.heardAt = max(now, g.heardAt)
	limit := int64(g.set.InTime * g.aim)
	for k, a := range g.line {
		if a.gone || a.late {
			continue
		}
		if now-a.at < limit {
			g.line = g.line[min(k, len(g.line)):]
			break
		}
		a.late = true
		g.late++
		g.bad.n = g.bad.now(now, g.set.Span) + 1
	}
	for len(g.line) > 0 && (g.line[0].gone || g.line[0].late) {
		g.line = g.line[1:]
	}
}

// limit is what may be out now, and the share that came to nothing.
func (g *Goodput) limit(now int64) (limit, lost float64) {
	good := g.good.n * math.Exp(-float64(max(now-g.good.at, 0))/g.set.Span)
	bad := g.bad.n * math.Exp(-float64(max(now-g.bad.at, 0))/g.set.Span)
	lost = bad / max(good+bad, 1e-9)
	limit = g.set.Least + good/g.set.Span*g.set.Delay*g.aim
	if good+bad < 2 { // too little to go by
		return math.Inf(1), lost
	}
	return limit + g.set.Ease*max((1-lost)/max(lost, 1e-9)-1, 0), lost
}

// used is what counts as out.
func (g *Goodput) used(lost float64) float64 {
	return float64(len(g.out)-g.late) + float64(g.late)*lost
}

// Admit implements join.Module: what becomes of a call without room is control's decision.
func (g *Goodput) Admit(int64, join.Call) join.Ruling { return join.Ruling{} }

// Room implements join.Module.
func (g *Goodput) Room(now int64, _ uint64) (bool, string) {
	limit, lost := g.limit(now)
	if g.used(lost)+1 > limit {
		return false, Jam
	}
	return true, ""
}

// Status implements join.Module.
func (g *Goodput) Status(now int64) join.Status {
	limit, lost := g.limit(now)
	return join.Status{Module: g.Name(), State: g.state, Reason: InTime, Since: g.since,
		Out: fmt.Sprintf("%.1f of %.1f out, %.2f in vain", g.used(lost), limit, lost)}
}
