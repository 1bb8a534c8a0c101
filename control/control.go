// Package control decides for one instance which signalling server sets up a call, when a call is held for a later
// attempt and when it is refused. Held attempts follow each other at the recent mean set-up delay: deferral with
// deterministic spacing (DSRT), see docs/design.md. It is pure: it takes events with their time and returns actions.
// Constants and state are in control.go, the interface in types.go, and each other file has one concern.
package control

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Constants of the method. None is specific to a deployment. "Reference" is Controller.refDelay.
const (
	second = int64(1e9)
	// baseTarget is the target delay that the durations of queues and trials below are meant for: with shorter targets,
	// queues fill and drain faster, and a second of silence costs more. Controller.scaled converts such durations.
	baseTarget = 1.2 * float64(second)
	// pathDelayPart is the part of the reference that a server's least delay may take before the rest counts as path
	// delay: a long path alone is no sign of overload, however short the target.
	pathDelayPart = 0.1
	// minBackoff is the shortest backoff after "full"; a call may be held for holdFraction of its class's target.
	minBackoff, holdFraction = second / 5, 0.5
	// rateSmoothing is the weight of a newly reported rate, which is noisy. rateMaxAge is how long a rate is valid: an
	// unused server sends no reports, and a late one describes another time.
	rateSmoothing, rateMaxAge = 0.3, 3 * second
	// spacingSmoothing is the weight of a new delay in the spacing, about ten calls, so that one straggler doesn't
	// stretch it; delaySmoothing that in a server's delay, as a queue moves within a few calls. Without answers, a
	// server's known delay falls to 1/e within delayDecay, as its queue drains unobserved.
	spacingSmoothing, delaySmoothing, delayDecay = 0.1, 0.6, 1.2 * float64(second)
	// rampStart and rampEnd are the delays, in references, between which a server goes from open to blocked for a call
	// of the least value. Set-ups are repeated from t1 on, so rampEnd lies before it.
	rampStart, rampEnd = 0.35, 0.8
	// The integral of excess delay grows by excessGain times the delay beyond excessFrom references each second, up to
	// maxExcess; one delay counts for maxExcessGap at most. excessDecay is longer than the seconds between two samples
	// of a server when there are many instances. minDelayDecay is how slowly the least delay is forgotten.
	excessGain, excessFrom, maxExcess        = 0.5, 0.4, 2.5
	maxExcessGap, excessDecay, minDelayDecay = 3 * float64(second), 15 * float64(second), 20 * float64(second)
	// minValueScale and maxValueScale bound how far a call's value scales the ramp: the least call still gets an idle
	// server, the most valuable one must be in time. A delay beyond targetFraction of the target is too late.
	minValueScale, maxValueScale, targetFraction = 0.3, 2.0, 0.65
	// A server without a free line is avoided for minBackoff times 1/(square of the call's value), within these bounds:
	// calls of little value wait until lines have been free for long, valuable ones take the next.
	minLineFactor, maxLineFactor = 0.1, 16
	// With minRetryTime left of a call's target, its caller is asked to call again after shortRetryAfter.
	minRetryTime, shortRetryAfter = 2 * second / 5, second / 5
	// refusalMemory is how long a refused number is remembered, to recognize its caller's redial.
	refusalMemory, maxNumbers = 8 * second, 4096
	// The delay estimated from unanswered set-ups needs a known load, from minEstablished established calls on, and
	// assumes a rate of minFairRate a second at least.
	minEstablished, minFairRate = 10, 0.1
	// saturatedDelay is the delay, in references, that "full" counts as: servers answer it only far beyond any target.
	saturatedDelay = 2.5
	// A call cut within earlyCutAge of its start is an early cut. If more than maxBadShare of the last few
	// (badShareSmoothing) are, the server gets trials only. The share decays over badShareDecay. Faults count alike.
	earlyCutAge, maxBadShare, badShareSmoothing, badShareDecay = 2 * second, 0.5, 0.2, 8 * float64(second)
	// A server regains weightRecovery of its lost weight in a second; a fault leaves faultWeightFactor of the weight.
	weightRecovery, faultWeightFactor = 0.3, 0.7
	// minTrialInterval and maxTrialInterval bound the time between trials of a silent server (doubling). At most one in
	// callsPerTrial calls of the fair share is a trial, so that the trials of many instances do not overload it.
	minTrialInterval, maxTrialInterval, callsPerTrial = second, 2 * second, 4.0
	// An unanswered set-up counts as lost when one sent reorderMargin later is answered; it is longer than path jitter.
	reorderMargin = second / 10
	// A server's share of lost answers is combined with that of all servers, which weighs as much as lossPrior set-ups,
	// and is forgotten over lossDecay. A server is down when, by its share (at least minLoss, as by chance), so many
	// misses in a row are less likely than downThreshold. silentPrior is the prior chance that a silent one is down.
	lossPrior, lossDecay                = 2.0, 8 * float64(second)
	minLoss, downThreshold, silentPrior = 0.1, 0.02, 0.03
	// checkInterval is the time between checks of unanswered set-ups; one older than maxUnansweredAge tells nothing. A
	// check that is late by more than minStall shows that this instance itself was stalled.
	checkInterval, maxUnansweredAge, minStall = second / 10, 8 * second, second / 20
	// coldPace limits sends to a cold server, as a multiple of its present fair share; coldBudgetPart is the part of
	// the crash budget used at most, as repeats and rejected work count there too. coldOfferedPart is the part of its
	// share of the offered calls that an instance may send at least. Unused credit is capped at 1, or at the sends due
	// in a crash window over coldBurst if more. But if these are over coldSparse, and coldCreditMargin times the sum of
	// them and the capacity fraction is below 1, whole credits lapse instead beyond 1 plus that product.
	coldPace, coldBudgetPart, coldOfferedPart, coldBurst, coldCreditMargin, coldSparse = 1.4, 0.6, 0.8, 4, 0.3, 0.1
	// loadAveraging is the averaging time of the load carried by warm servers, from which capacity is estimated.
	// peakDecay is how slowly its peak is forgotten: longer than a server is slow, drains or warms up.
	loadAveraging, peakDecay = 8 * float64(second), 60 * float64(second)
	// minBusyWait and maxBusyWait bound how long a number whose lines are all busy gets no calls (doubling).
	minBusyWait, maxBusyWait = second, 4 * second
	// Values of Event.Note: no free line at the server; every line of the dialled number is busy.
	noteNoLine, noteNumberBusy = 1, 4
)

// server is what this instance knows of one signalling server.
type server struct {
	id                     uint64
	cell                   int           // pool or exchange that it belongs to
	share                  float64       // of the capacity, by the list
	removed                bool          // from the list, for good
	available              bool          // listed and not draining
	readyAt, downAt        int64         // its processor's last start (0: long ago), and when it was last found down
	down                   bool          // found down since the last established call: gets one trial at a time
	backoffUntil           int64         // it gets no calls before
	noLineAt               int64         // when it last had no free line, by an answer or a report
	unanswered             []attempt     // set-ups without an answer, by the time they were sent
	sentAt                 int64         // when the latest set-up was sent
	establishedSentAt      int64         // when the latest set-up that was established had been sent
	calls                  int           // established calls of this instance
	delay, excessDelay     float64       // set-up delay, and the integral of delays beyond the threshold
	minDelay               float64       // slowly forgotten
	delayAt, excessDelayAt int64         // when delay and excessDelay were last updated
	lost, answered         decayingCount // set-ups whose answer was lost, and those answered
	earlyCuts              decayingCount // share of ended calls that were cut right after they were established
	faults                 decayingCount // share of faults among set-ups that faulted or were established
	weight                 float64       // up to 1: scales its chance to be picked; falls with delays and faults
	weightAt               int64
	credit                 float64 // sends left to this instance of its cold budget; grows with time
	creditAt, rateAt       int64
	rate, peakRate         float64 // reported set-ups a second that it can take from all instances, and its peak
}

// Controller is the state machine of one instance.
type Controller struct {
	cfg                   Settings
	rng                   *rand.Rand
	now, startedAt        int64     // startedAt: time of the first event
	servers               []*server // by id
	calls                 map[string]*call
	timers                map[uint64]string
	nextTag               uint64
	actions               []Action
	spacing               float64 // of held calls: the recent mean delay of established set-ups
	held                  int
	lastTryAt             int64                 // when the last scheduled held attempt is due
	minValue              float64               // the least positive value of a class
	timeScale, refDelay   float64               // see scaled; the unit of delays, half the shortest target or t1
	established           int                   // calls so far
	carried, offered      decayingCount         // calls established on all servers, and new calls offered
	loadPerUnit, peakLoad float64               // recent peak of carried load, for a unit of capacity and in total
	loss                  float64               // share of set-ups on all servers whose answer was lost
	available             float64               // number of available servers
	refreshedAt           int64                 // when loadPerUnit, peakLoad, loss and available were
	busyNumbers           map[string]busyNumber // by dialled number
	refusedNumbers        map[string]int64      // refused numbers, and when their callers first called
	checkDue              int64                 // when unanswered set-ups are next checked, 0: never
	excluded              func(uint64) bool     // servers that another module keeps calls from
	spareField, rateField int                   // indexes of free lines and of the rate in a load report, -1: none
}

// New makes a controller from an instance's settings and the seed of its random draws.
func New(s Settings, seed uint64) (*Controller, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	c := &Controller{cfg: s, rng: rand.New(rand.NewPCG(seed, 0x6f78626f77)), calls: map[string]*call{},
		timers: map[uint64]string{}, busyNumbers: map[string]busyNumber{}, refusedNumbers: map[string]int64{},
		excluded: func(uint64) bool { return false }, minValue: math.Inf(1)}
	target := int64(math.MaxInt64)
	for _, class := range s.Classes {
		if target = min(target, class.TargetDelay); class.Value > 0 {
			c.minValue = min(c.minValue, class.Value)
		}
	}
	c.timeScale = min(float64(target)/baseTarget, 1)
	c.refDelay = float64(target) / 2
	if s.T1 > 0 {
		c.refDelay = min(c.refDelay, float64(s.T1))
	}
	c.spacing = float64(target) * holdFraction
	c.spareField, c.rateField = slices.Index(s.ReportFields, "spare"), slices.Index(s.ReportFields, "allowed")
	return c, nil
}

// Handle takes an event that happens at now and returns the actions that follow from it.
func (c *Controller) Handle(now int64, ev Event) []Action {
	c.now, c.actions = now, nil
	if late := now - c.checkDue; c.checkDue > 0 && late > minStall {
		c.compensateStall(late)
	}
	if c.startedAt == 0 {
		if c.startedAt = now; c.cfg.ListOnRequest {
			c.actions = append(c.actions, Action{Kind: Subscribe})
		}
	}
	switch ev.Kind {
	case ListUpdate:
		c.onListUpdate(ev)
	case ListError:
		if c.cfg.ListOnRequest {
			c.startTimer("", second/2)
		}
	case Arrival:
		c.onArrival(ev)
	case Aborted:
		c.forget(c.calls[ev.Call])
	case Established:
		c.onEstablished(ev)
	case AttemptEnded:
		c.onAttemptEnded(ev)
	case LoadReport:
		if s := c.server(ev.Server); s != nil {
			c.onLoadReport(s, ev.Report)
		}
	case TimerFired:
		id, ok := c.timers[ev.Tag]
		delete(c.timers, ev.Tag)
		if cl := c.calls[id]; ev.Tag == 0 {
			c.checkUnanswered()
		} else if ok && cl != nil && cl.held {
			c.tryHeld(cl)
		} else if ok && id == "" {
			c.actions = append(c.actions, Action{Kind: Subscribe})
		}
	}
	return c.actions
}

func (c *Controller) server(id uint64) *server {
	if k, ok := slices.BinarySearchFunc(c.servers, id, byID); ok {
		return c.servers[k]
	}
	return nil
}

func byID(s *server, id uint64) int { return cmp.Compare(s.id, id) }

// onListUpdate applies changes of the server list. A server that is removed or drains gets no more calls at once; the
// drain grace is never used, which also protects an instance that restarts with an old list and hears of changes late.
func (c *Controller) onListUpdate(ev Event) {
	if ev.FullList {
		for _, s := range c.servers {
			s.available, s.removed = false, true
		}
	}
	for _, e := range ev.Entries {
		k, ok := slices.BinarySearchFunc(c.servers, e.Server, byID)
		if !ok {
			if e.State != Serving {
				continue
			}
			c.servers = slices.Insert(c.servers, k, &server{id: e.Server, weightAt: c.now,
				noLineAt: -second << 8, minDelay: math.MaxFloat64})
		}
		s := c.servers[k]
		if !ok || e.ReadyAt != s.readyAt { // a new processor: what was known of the old one no longer holds
			s.delay, s.down, s.backoffUntil, s.weight, s.rate, s.unanswered, s.excessDelay,
				s.establishedSentAt = 0, false, 0, 1, 0, nil, 0, 0
			s.credit, s.creditAt, s.downAt = c.rng.Float64(), c.now, 0
		}
		s.cell, s.available, s.removed, s.readyAt, s.share = e.Cell, e.State == Serving, e.State == Removed,
			e.ReadyAt, max(e.Share, 1e-6)
	}
	// Replacements have new ids, so removed servers would accumulate if kept.
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool { return s.removed })
}

// scaled converts a duration of queues and trials, meant for baseTarget, to this instance's shortest target.
func (c *Controller) scaled(t float64) float64 { return t * c.timeScale }
