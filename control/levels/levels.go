// Package levels decides at which named level of service an instance works, and which calls it refuses at that level.
// Operators see the level with the reading that caused it and the condition for leaving it, so they can tell deliberate
// load shedding from a failure. A level is entered when the evidence for it has accumulated for some time, is kept for
// a minimum time, and is left at a lower reading than the one at which it is entered, so that a short peak or an
// oscillation does not make the level flap.
//
// The module is pure: callers pass in the time, and it takes part in decisions through package join. Readings that
// events do not carry (memory, descriptors, the age of the list) are passed to OnGauge.
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

// The levels, in increasing order of severity.
const (
	Normal    Level = iota // all calls are admitted
	Busy                   // all calls are admitted; operators are told that capacity is getting short
	Reduced                // redials are refused: capacity is short, and little can still be gained by serving them
	Severe                 // first calls are refused too, beyond a multiple of what has been placed recently
	Emergency              // the instance itself lacks a resource: all but a small part of calls are refused
)

// String returns the name of the level.
func (l Level) String() string {
	return [...]string{"normal", "busy", "reduced", "severe", "emergency"}[l]
}

// The reason codes of readings and decisions.
const (
	TurnedAway   = "turned-away"  // share of calls refused or failed by control
	Delay        = "delay"        // set-up delay, relative to the shortest target delay
	Full         = "full"         // share of set-ups that servers answered as full
	Memory       = "memory"       // memory of the instance, relative to its limit
	Descriptors  = "descriptors"  // descriptors of the instance, relative to its limit
	Inbox        = "inbox"        // events that wait for the core, relative to the limit on them
	ListAge      = "list"         // age of the last update of the list of servers
	Calm         = "calm"         // all readings have been low for long enough
	Redial       = "level-redial" // decision: a redial is refused, from Reduced on
	BeyondPlaced = "level-room"   // decision: a call beyond what can be placed is refused, from Severe on
	OwnShortage  = "level-own"    // decision: a call is refused because the instance itself lacks a resource
)

const (
	second = int64(1e9)
	// fadeTime is the time over which calls are counted: shorter than oscillations of some seconds, so that they do not
	// count one by one, and long enough for a dozen calls of a small instance.
	fadeTime = 3 * float64(second)
	// minCalls is how many calls a share must be based on to count as a reading. A missing reading is neither good nor
	// bad news, so the level stays as it is.
	minCalls = 5.0
	// turnedAwayUnit, delayUnit and fullUnit are the values that count as a score of 1, where Reduced begins. gaugeUnit
	// is the used part of a resource at which it counts as short, listAgeUnit the age of the list's last update that
	// counts as 1.
	turnedAwayUnit, delayUnit, fullUnit = 0.10, 0.6, 0.25
	gaugeUnit                           = 0.9
	listAgeUnit                         = 10 * second
	// To leave a level, the readings must stay below leaveFactor times the score at which it is entered, for
	// leaveAfter.
	leaveFactor = 0.6
	leaveAfter  = 12 * second
	// evidenceNeeded is the evidence that must accumulate to enter the next level: a reading at the entry score for
	// that time, or a reading twice as high for half of it. Evidence decays twice as fast as it accumulates.
	evidenceNeeded = 2 * float64(second)
	// minStay is the shortest time between two changes.
	minStay = 6 * second
	// maxGaugeAge is how long a gauge counts; an older one is missing.
	maxGaugeAge = 5 * second
	// From Severe on, placedFactor times what has been placed recently is admitted, so that returning capacity is found
	// and control still has a choice. On the model's overload of 150%, 1.15 cost 0.004 to 0.05 of service; 2.0 gains
	// 0.005 at 7 instances and 0.001 at 50.
	placedFactor = 2.0
	// emergencyAdmitPart is the part of calls that is admitted in an emergency.
	emergencyAdmitPart = 0.05
	// maxHistory limits the changes that are kept.
	maxHistory = 256
)

// entryScores are the scores at which each level is entered.
var entryScores = [...]float64{Normal: 0, Busy: 0.6, Reduced: 1, Severe: 3, Emergency: math.Inf(1)}

// Change is one change of level, with its cause.
type Change struct {
	At            int64              `json:"at_ns"` // Unix nanoseconds
	From          Level              `json:"from"`
	To            Level              `json:"to"`
	Reason        string             `json:"reason"` // the code of the reading that caused it
	Score         float64            `json:"score"`  // the highest reading; 1 is where Reduced begins
	Readings      map[string]float64 `json:"read"`   // all readings at that time
	ExitCondition string             `json:"out"`    // the condition for leaving the new level
}

// fadingCount is a count of events that decays exponentially over fadeTime.
type fadingCount struct {
	n  float64
	at int64
}

func (c *fadingCount) value(t int64) float64 {
	c.n *= math.Exp(-float64(t-c.at) / fadeTime)
	c.at = t
	return c.n
}

func (c *fadingCount) add(t int64) { c.n = c.value(t) + 1 }

type gauge struct {
	used float64
	at   int64
}

// Levels is the module's state.
type Levels struct {
	settings       control.Settings
	rng            *rand.Rand
	shortestTarget float64
	recovering     func(now int64) bool
	level          Level
	since          int64
	changed        bool    // the level has changed since the start; the first level has no minimum stay
	evidence       float64 // accumulated for the next level, in nanoseconds at its entry score
	lowSince       int64   // since when the readings are low enough to leave the level; 0: they are not
	updatedAt      int64
	offered        fadingCount
	answered       fadingCount // calls answered; turnedAway counts those of them that control refused or failed
	turnedAway     fadingCount
	placed         fadingCount
	attempts       fadingCount // attempts that ended; answeredFull counts those of them that a server answered as full
	answeredFull   fadingCount
	meanDelay      float64 // smoothed delay of successful set-ups, in nanoseconds
	delayCount     fadingCount
	gauges         map[string]gauge
	history        []Change
	refused        int64
	onChange       func(Change)
}

// New creates the module at now, in Unix nanoseconds. recovering tells whether the instance still recovers from its
// start (nil: never): calls turned away then are no sign of a shortage and lead to Busy at most. onChange, if not nil,
// is called at once for each change.
func New(s control.Settings, seed uint64, now int64, recovering func(now int64) bool, onChange func(Change)) *Levels {
	if recovering == nil {
		recovering = func(int64) bool { return false }
	}
	if onChange == nil {
		onChange = func(Change) {}
	}
	l := &Levels{settings: s, rng: rand.New(rand.NewPCG(seed, 0x6c6576656c73)), shortestTarget: math.Inf(1), recovering: recovering, since: now, updatedAt: now,
		gauges: map[string]gauge{}, onChange: onChange}
	for _, g := range s.Classes {
		l.shortestTarget = min(l.shortestTarget, float64(g.TargetDelay))
	}
	return l
}

// Name implements join.Module.
func (l *Levels) Name() string { return "levels" }

// OnGauge takes a measurement of the instance itself: the used part of a resource, from 0 to 1, or for ListAge the age of
// the list's last update in units of ten seconds.
func (l *Levels) OnGauge(now int64, name string, used float64) {
	if used >= 0 && !math.IsInf(used, 0) {
		l.gauges[name] = gauge{used, now}
	}
	l.update(now)
}

// OnEvent implements join.Module.
func (l *Levels) OnEvent(now int64, ev control.Event) {
	switch ev.Kind {
	case control.Established:
		l.answered.add(now)
		l.placed.add(now)
		l.attempts.add(now)
		l.delayCount.add(now)
		l.meanDelay += (float64(ev.Elapsed) - l.meanDelay) / min(max(l.delayCount.n, 1), 10)
	case control.AttemptEnded:
		switch ev.Outcome {
		case control.Saturated:
			l.answeredFull.add(now)
			l.attempts.add(now)
		case control.TimedOut, control.ConnectionLost, control.ConnectionRefused:
			l.attempts.add(now)
		}
	}
	l.update(now)
}

// OnAction implements join.Module. It counts the calls that control refused or failed.
func (l *Levels) OnAction(now int64, a control.Action) {
	if a.Kind == control.Refuse || a.Kind == control.Fail {
		l.answered.add(now)
		l.turnedAway.add(now)
		l.update(now)
	}
}

// HasCapacity implements join.Module. It is always true, as levels limit callers, not servers.
func (l *Levels) HasCapacity(int64, uint64) (bool, string) { return true, "" }

// Admit implements join.Module.
func (l *Levels) Admit(now int64, c join.Call) join.Decision {
	if c.TimesHeld <= 0 {
		l.offered.add(now)
	}
	l.update(now)
	reason := ""
	switch {
	case l.level == Emergency:
		if l.rng.Float64() < emergencyAdmitPart {
			return join.Decision{}
		}
		reason = OwnShortage
	case l.level >= Reduced && c.Redialed:
		reason = Redial
	case l.level >= Severe && l.rng.Float64() >= placedFactor*l.placed.value(now)/max(l.offered.value(now), 1):
		reason = BeyondPlaced
	default:
		return join.Decision{}
	}
	l.refused++
	return join.Decision{Kind: join.Refuse, Wait: l.randomWait(), Reason: reason}
}

// randomWait draws a Retry-After from the upper half of the allowed range, so that refused callers do not return
// together.
func (l *Levels) randomWait() int64 {
	maxWait := l.settings.MaxRetryAfter
	if !l.settings.RetryAfter || maxWait <= 0 {
		return 0
	}
	return maxWait/2 + l.rng.Int64N(maxWait/2+1)
}

// readings returns all current readings as scores, 1 being the point at which Reduced begins. Missing ones are left
// out.
func (l *Levels) readings(now int64) map[string]float64 {
	values := map[string]float64{}
	if n := l.answered.value(now); n >= minCalls {
		values[TurnedAway] = l.turnedAway.value(now) / n / turnedAwayUnit
	}
	if n := l.attempts.value(now); n >= minCalls {
		values[Full] = l.answeredFull.value(now) / n / fullUnit
	}
	if l.delayCount.value(now) >= minCalls {
		values[Delay] = l.meanDelay / l.shortestTarget / delayUnit
	}
	for name, g := range l.gauges {
		switch {
		case now-g.at > maxGaugeAge:
		case name == ListAge: // an old list alone is reported to operators, but turns no callers away
			values[name] = min(g.used*float64(10*second)/float64(listAgeUnit), 1) * entryScores[Busy]
		default:
			values[name] = g.used / gaugeUnit
		}
	}
	return values
}

// instanceReadings returns the readings that are about the instance itself.
func instanceReadings(values map[string]float64) map[string]float64 {
	own := map[string]float64{}
	for _, name := range []string{Memory, Descriptors, Inbox} {
		if x, ok := values[name]; ok {
			own[name] = x
		}
	}
	return own
}

// highest returns the reading with the highest score; of equal ones the first by name, as the order of a map is random.
func highest(values map[string]float64) (name string, score float64) {
	for n, x := range values {
		if x > score || x == score && (name == "" || n < name) {
			name, score = n, x
		}
	}
	return name, score
}

// update accumulates the evidence and changes the level when it suffices.
func (l *Levels) update(now int64) {
	elapsed := float64(min(now-l.updatedAt, second))
	if elapsed <= 0 {
		return
	}
	l.updatedAt = now
	values := l.readings(now)
	if len(values) == 0 {
		l.evidence, l.lowSince = 0, 0
		return
	}
	name, score := highest(values)
	next := min(l.level+1, Severe)
	entryScore := entryScores[next]
	if n, x := highest(instanceReadings(values)); x >= 1 { // only this leads to Emergency, and from any level
		next, entryScore, name, score = Emergency, 1, n, x
	} else if l.recovering(now) && next > Busy {
		score = min(score, entryScores[Busy])
	}
	if l.level < next && score >= entryScore {
		l.evidence += elapsed * min(score/entryScore, 2)
	} else {
		l.evidence = max(l.evidence-2*elapsed, 0)
	}
	stayedLongEnough := !l.changed || now-l.since >= minStay
	if l.evidence >= evidenceNeeded && stayedLongEnough {
		l.changeLevel(now, next, name, score, values)
		return
	}
	_, topScore := highest(values)
	leaveBelow := leaveFactor * entryScores[l.level]
	if l.level == Emergency {
		leaveBelow = leaveFactor
	}
	switch {
	case l.level == Normal || topScore >= leaveBelow:
		l.lowSince = 0
	case l.lowSince == 0:
		l.lowSince = now
	case now-l.lowSince >= leaveAfter && stayedLongEnough:
		l.changeLevel(now, l.level-1, Calm, topScore, values)
	}
}

func (l *Levels) changeLevel(now int64, to Level, reason string, score float64, values map[string]float64) {
	c := Change{At: now, From: l.level, To: to, Reason: reason, Score: score, Readings: values, ExitCondition: exitCondition(to)}
	l.level, l.since, l.changed, l.evidence, l.lowSince = to, now, true, 0, 0
	if l.history = append(l.history, c); len(l.history) > maxHistory {
		l.history = l.history[1:]
	}
	l.onChange(c)
}

// exitCondition describes the condition for leaving a level.
func exitCondition(l Level) string {
	switch l {
	case Normal:
		return ""
	case Emergency:
		return fmt.Sprintf("every reading under %.2f for %d s", leaveFactor, leaveAfter/second)
	}
	return fmt.Sprintf("every reading under %.2f for %d s", leaveFactor*entryScores[l], leaveAfter/second)
}

// Level returns the current level.
func (l *Levels) Level() Level { return l.level }

// History returns the latest changes, the oldest first.
func (l *Levels) History() []Change { return append([]Change{}, l.history...) }

// Restore adds the changes of the previous process to the history, for operators; the level itself and its evidence
// start afresh. A change that is out of order, names an unknown level or lies in the future is left out, and so are all
// older ones.
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
	l.history = append(append([]Change{}, history[max(keep, len(history)-maxHistory):]...), l.history...)
}

// MarshalText returns a level's name.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText parses a level's name.
func (l *Level) UnmarshalText(text []byte) error {
	for k := Normal; k <= Emergency; k++ {
		if k.String() == string(text) {
			*l = k
			return nil
		}
	}
	return fmt.Errorf("unknown level %q", text)
}

// Status implements join.Module.
func (l *Levels) Status(int64) join.Status {
	status := join.Status{Module: l.Name(), State: l.level.String(), Reason: Calm, Since: l.since, RefusedTotal: l.refused, ExitCondition: exitCondition(l.level)}
	if n := len(l.history); n > 0 && l.changed {
		status.Reason = l.history[n-1].Reason
	}
	return status
}
