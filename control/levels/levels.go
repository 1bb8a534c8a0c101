// Package levels decides at which named level of service an instance works, and what that means for a call. Operators see
// the level with the reading that caused it and what would lead out, so that shedding load on purpose can be told from
// failing. A change needs evidence that adds up over time, a least stay, and a distance between entering and leaving, so
// that a short jump or a swing does not make the level flip.
//
// The module is pure: it is told the time and joins the core through package join. Readings that the core can't see in
// events (memory, descriptors, the age of the list) are brought by Gauge.
package levels

import (
	"fmt"
	"math"
	"math/rand/v2"

	"masthill/control"
	"masthill/control/join"
)

// Level is a named level of service.
type Level int

// The levels, in order.
const (
	Normal    Level = iota // all calls are taken as they come
	Busy                   // the same; operators are told that room is getting short
	Reduced                // redials are refused: what they can still earn is little, and room is short
	Severe                 // new calls too, beyond what has been placed of late
	Emergency              // the instance itself runs short: all but a trickle are refused
)

func (l Level) String() string {
	return [...]string{"normal", "busy", "reduced", "severe", "emergency"}[l]
}

// The reason codes: readings, and rulings.
const (
	TurnedAway   = "turned-away"  // share of calls turned away for want of room
	Delay        = "delay"        // set-up delay against the aim
	Full         = "full"         // share of set-ups that servers answered full
	Memory       = "memory"       // of the instance, against its limit
	Descriptors  = "descriptors"  // the same
	Inbox        = "inbox"        // events that wait for the core, against its bound
	ListAge      = "list"         // age of the list's last news
	Calm         = "calm"         // all readings low for long enough
	Redial       = "level-redial" // ruling: a redial, from Reduced on
	BeyondPlaced = "level-room"   // ruling: beyond what is placed, from Severe on
	OwnShortage  = "level-own"    // ruling: the instance itself runs short
)

const (
	second = int64(1e9)
	// span is the time over which calls are counted: shorter than the swings of some seconds that are not to count one
	// by one, and long enough for a dozen calls of a small instance.
	span = 3 * float64(second)
	// callsLeast is how many calls a share has to rest on to be a reading at all: a missing reading is no good news, and
	// no bad news either, so it keeps the level where it is.
	callsLeast = 5.0
	// turnedAt, delayAt and fullAt are the readings that count as 1, where Reduced begins. gaugeAt is the part of a
	// resource from which it runs short, listAt the age of the list's news at which that counts as 1.
	turnedAt, delayAt, fullAt = 0.10, 0.6, 0.25
	gaugeAt                   = 0.9
	listAt                    = 10 * second
	// leavePart of a level's entering reading has to be undercut, for leaveFor, to leave it.
	leavePart = 0.6
	leaveFor  = 12 * second
	// evidence is how much has to add up to enter the next level: a reading at its entering point for so long, or twice
	// as high for half as long. It melts twice as fast as it gathers.
	evidence = 2 * float64(second)
	// leastStay is the shortest time between two changes.
	leastStay = 6 * second
	// gaugeFor is how long a gauge counts; older, it is missing.
	gaugeFor = 5 * second
	// roomOver is what is admitted from Severe on, in parts of what has been placed of late: so that room that comes back is
	// found, and control still has the choice. On the model's overload of 150%, 1.15 cost 0.004 to 0.05 of service, 2.0
	// gains 0.005 at 7 instances and 0.001 at 50.
	roomOver = 2.0
	// trickle is the part of calls that is admitted in an emergency.
	trickle = 0.05
	// historyMost bounds the changes that are kept.
	historyMost = 256
)

// enter are the readings at which each level is entered.
var enter = [...]float64{Normal: 0, Busy: 0.6, Reduced: 1, Severe: 3, Emergency: math.Inf(1)}

// Change is one change of level, with what caused it.
type Change struct {
	At            int64              `json:"at_ns"` // Unix nanoseconds
	From          Level              `json:"from"`
	To            Level              `json:"to"`
	Reason        string             `json:"reason"` // the reading's code
	Score         float64            `json:"score"`  // the highest reading; 1 is where Reduced begins
	Readings      map[string]float64 `json:"read"`   // all readings then
	ExitCondition string             `json:"out"`    // what would lead out
}

// count is a count that fades over span.
type count struct {
	n  float64
	at int64
}

func (c *count) now(t int64) float64 {
	c.n *= math.Exp(-float64(t-c.at) / span)
	c.at = t
	return c.n
}

func (c *count) add(t int64) { c.n = c.now(t) + 1 }

type gauge struct {
	used float64
	at   int64
}

// Levels is the state of the module.
type Levels struct {
	set        control.Settings
	rng        *rand.Rand
	aim        float64
	recovering func(now int64) bool
	level      Level
	since      int64
	changed    bool // since has a change behind it; the first level has no least stay
	up         float64
	calmAt     int64 // since when the readings are low enough to leave; 0: they are not
	lookedAt   int64
	offered    count
	ended      count // calls that had their answer, and those turned away by control
	turned     count
	placed     count
	tried      count // attempts that ended, and those answered full
	full       count
	delay      float64 // smoothed, of set-ups that stood
	delayN     count
	gauges     map[string]gauge
	history    []Change
	refused    int64
	onChange   func(Change)
}

// New makes the module at a time, in Unix nanoseconds. recovering tells whether the instance still recovers from its
// start (nil: it never does): what is turned away then is no shortage, and leads no higher than Busy. onChange, if any,
// hears of each change at once.
func New(s control.Settings, seed uint64, now int64, recovering func(now int64) bool, onChange func(Change)) *Levels {
	if recovering == nil {
		recovering = func(int64) bool { return false }
	}
	if onChange == nil {
		onChange = func(Change) {}
	}
	l := &Levels{set: s, rng: rand.New(rand.NewPCG(seed, 0x6c6576656c73)), aim: math.Inf(1), recovering: recovering, since: now, lookedAt: now,
		gauges: map[string]gauge{}, onChange: onChange}
	for _, g := range s.Classes {
		l.aim = min(l.aim, float64(g.Aim))
	}
	return l
}

// Name implements join.Module.
func (l *Levels) Name() string { return "levels" }

// Gauge brings a reading of the instance itself: the part of a resource that is used, from 0 to 1, or for List the age
// of its last news in parts of ten seconds.
func (l *Levels) Gauge(now int64, name string, used float64) {
	if used >= 0 && !math.IsInf(used, 0) {
		l.gauges[name] = gauge{used, now}
	}
	l.look(now)
}

// See implements join.Module.
func (l *Levels) OnEvent(now int64, ev control.Event) {
	switch ev.Kind {
	case control.Stands:
		l.ended.add(now)
		l.placed.add(now)
		l.tried.add(now)
		l.delayN.add(now)
		l.delay += (float64(ev.Elapsed) - l.delay) / min(max(l.delayN.n, 1), 10)
	case control.AttemptEnded:
		switch ev.Outcome {
		case control.Saturated:
			l.full.add(now)
			l.tried.add(now)
		case control.TimedOut, control.ConnectionLost, control.ConnectionRefused:
			l.tried.add(now)
		}
	}
	l.look(now)
}

// Did implements join.Module: a refusal or failure that control decided on.
func (l *Levels) OnAction(now int64, a control.Action) {
	if a.Kind == control.Refuse || a.Kind == control.Fail {
		l.ended.add(now)
		l.turned.add(now)
		l.look(now)
	}
}

// Room implements join.Module: levels are about callers, not servers.
func (l *Levels) HasRoom(int64, uint64) (bool, string) { return true, "" }

// Admit implements join.Module.
func (l *Levels) Admit(now int64, c join.Call) join.Decision {
	if c.TimesHeld <= 0 {
		l.offered.add(now)
	}
	l.look(now)
	reason := ""
	switch {
	case l.level == Emergency:
		if l.rng.Float64() < trickle {
			return join.Decision{}
		}
		reason = OwnShortage
	case l.level >= Reduced && c.Retry:
		reason = Redial
	case l.level >= Severe && l.rng.Float64() >= roomOver*l.placed.now(now)/max(l.offered.now(now), 1):
		reason = BeyondPlaced
	default:
		return join.Decision{}
	}
	l.refused++
	return join.Decision{Verdict: join.Refuse, Wait: l.spread(), Reason: reason}
}

// spread is a told wait. The higher the level, the later the refused are asked back; drawn over half of what may be
// told, so that they do not return together.
func (l *Levels) spread() int64 {
	most := l.set.MaxRetryAfter
	if !l.set.RetryAfter || most <= 0 {
		return 0
	}
	return most/2 + l.rng.Int64N(most/2+1)
}

// readings are all that is known now, each as a multiple of where it counts as 1. What is missing is left out.
func (l *Levels) readings(now int64) map[string]float64 {
	read := map[string]float64{}
	if n := l.ended.now(now); n >= callsLeast {
		read[TurnedAway] = l.turned.now(now) / n / turnedAt
	}
	if n := l.tried.now(now); n >= callsLeast {
		read[Full] = l.full.now(now) / n / fullAt
	}
	if l.delayN.now(now) >= callsLeast {
		read[Delay] = l.delay / l.aim / delayAt
	}
	for name, g := range l.gauges {
		switch {
		case now-g.at > gaugeFor:
		case name == ListAge: // a late list alone is a reason to look, not to turn callers away
			read[name] = min(g.used*float64(10*second)/float64(listAt), 1) * enter[Busy]
		default:
			read[name] = g.used / gaugeAt
		}
	}
	return read
}

// owned are the readings that are about the instance itself.
func owned(read map[string]float64) map[string]float64 {
	own := map[string]float64{}
	for _, name := range []string{Memory, Descriptors, Inbox} {
		if x, ok := read[name]; ok {
			own[name] = x
		}
	}
	return own
}

// highest is the reading that counts most; of equal ones the first by name, as a map has no order.
func highest(read map[string]float64) (name string, score float64) {
	for n, x := range read {
		if x > score || x == score && (name == "" || n < name) {
			name, score = n, x
		}
	}
	return name, score
}

// look follows the evidence and changes the level.
func (l *Levels) look(now int64) {
	d := float64(min(now-l.lookedAt, second))
	if d <= 0 {
		return
	}
	l.lookedAt = now
	read := l.readings(now)
	if len(read) == 0 {
		l.up, l.calmAt = 0, 0
		return
	}
	name, score := highest(read)
	next := min(l.level+1, Severe)
	at := enter[next]
	if n, x := highest(owned(read)); x >= 1 { // the instance's own shortage leads there at once, and nothing else does
		next, at, name, score = Emergency, 1, n, x
	} else if l.recovering(now) && next > Busy {
		score = min(score, enter[Busy])
	}
	if l.level < next && score >= at {
		l.up += d * min(score/at, 2)
	} else {
		l.up = max(l.up-2*d, 0)
	}
	stayed := !l.changed || now-l.since >= leastStay
	if l.up >= evidence && stayed {
		l.change(now, next, name, score, read)
		return
	}
	_, top := highest(read)
	low := leavePart * enter[l.level]
	if l.level == Emergency {
		low = leavePart
	}
	switch {
	case l.level == Normal || top >= low:
		l.calmAt = 0
	case l.calmAt == 0:
		l.calmAt = now
	case now-l.calmAt >= leaveFor && stayed:
		l.change(now, l.level-1, Calm, top, read)
	}
}

func (l *Levels) change(now int64, to Level, reason string, score float64, read map[string]float64) {
	c := Change{At: now, From: l.level, To: to, Reason: reason, Score: score, Readings: read, ExitCondition: out(to)}
	l.level, l.since, l.changed, l.up, l.calmAt = to, now, true, 0, 0
	if l.history = append(l.history, c); len(l.history) > historyMost {
		l.history = l.history[1:]
	}
	l.onChange(c)
}

// out says what leads out of a level.
func out(l Level) string {
	switch l {
	case Normal:
		return ""
	case Emergency:
		return fmt.Sprintf("every reading under %.2f for %d s", leavePart, leaveFor/second)
	}
	return fmt.Sprintf("every reading under %.2f for %d s", leavePart*enter[l], leaveFor/second)
}

// Level is the level now.
func (l *Levels) Level() Level { return l.level }

// History gives the last changes, the oldest first.
func (l *Levels) History() []Change { return append([]Change{}, l.history...) }

// Restore takes up the changes of the process before, for operators: the level itself begins anew, as its evidence does.
// Changes that are out of order, of no level or still to come are left out with all that are older.
func (l *Levels) Restore(now int64, history []Change) {
	keep := len(history)
	last := now
	for keep > 0 {
		c := history[keep-1]
		if c.At > last || c.From < Normal || c.From > Emergency || c.To < Normal || c.To > Emergency {
			break
		}
		last = c.At
		keep--
	}
	l.history = append(append([]Change{}, history[max(keep, len(history)-historyMost):]...), l.history...)
}

// MarshalText gives a level's name.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText reads a level's name.
func (l *Level) UnmarshalText(text []byte) error {
	for k := Normal; k <= Emergency; k++ {
		if k.String() == string(text) {
			*l = k
			return nil
		}
	}
	return fmt.Errorf("no level %q", text)
}

// Status implements join.Module.
func (l *Levels) Status(int64) join.Status {
	st := join.Status{Module: l.Name(), State: l.level.String(), Reason: Calm, Since: l.since, RefusedTotal: l.refused, Out: out(l.level)}
	if n := len(l.history); n > 0 && l.changed {
		st.Reason = l.history[n-1].Reason
	}
	return st
}
