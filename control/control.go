// Package control decides for one front at the edge of the network which signalling server sets a call up,
// when a call is held for a later try and when it is refused. The mechanism is deferral with deterministic spacing
// (DSRT), see docs/design.md. Figures and state are here, the interface in types.go, one concern in each other file.
package control

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Tuned constants. Each is a ratio or a time of its own; none belongs to one deployment.
const (
	second = int64(1e9)
	// usualAim is the aim for which the times of queues and trials below are meant: with shorter aims, queues
	// fill and drain faster, and a second's silence costs more. Such times go by Controller.span.
	usualAim = 1.2 * float64(second)
	// wayPart is the part of the reference that a server's least delay may take before the rest counts as its
	// way: a way that is long by itself is no pressure, however short the aim.
	wayPart = 0.1
	// markMin is the shortest mark after "full" (the design's figure). holdShare is the part of a class's aim
	// that a call may be held (T̂); the rest is for the set-up.
	markMin, holdShare = second / 5, 0.5
	// rateGain weighs a newly reported rate, a noisy one; rateFresh is how long one counts: reports of an
	// unused server end, and late ones tell of another time.
	rateGain, rateFresh = 0.3, 3 * second
	// spacingGain weighs a new delay in x, about ten calls, lest one straggler stretch it; delayGain one at a
	// server, where a queue moves within a few calls. newsFade: without news, a server's known delay is worth
	// 1/e after this; the queue drains unseen.
	spacingGain, delayGain, newsFade = 0.1, 0.6, 1.2 * float64(second)
	// pressFrom and pressFull bound the delays, in units of the reference, over which a server turns from
	// free to pressed for a call of the least worth. Repeats start at t1, so full pressure comes before it.
	pressFrom, pressFull = 0.35, 0.8
	// The integral adds pressGain times the delay beyond pressAim references a second, up to pressMost; one
	// delay speaks for pressSpan at most. pressFade outlasts the seconds between two samples of many fronts.
	pressGain, pressAim, pressMost = 0.5, 0.4, 2.5
	// leastSpan is how slowly the least delay seen is forgotten.
	pressSpan, pressFade, leastSpan = 3 * float64(second), 15 * float64(second), 20 * float64(second)
	// worthMin and worthMax bound how far worth moves that span: the least call still gets a chance on an
	// idle server, the dearest must stand within its aim. Beyond aimShare of its aim, a delay is no use.
	worthMin, worthMax, aimShare = 0.3, 2.0, 0.65
	// A server without a free line is marked for markMin over the square of the call's worth, between these
	// bounds: what is worth little waits until lines have long been free, what is dear takes the next one.
	lineLeast, lineMost = 0.1, 16
	// backNeed is the time that must be left of a call's aim to ask its caller back after backSoon.
	backNeed, backSoon = 2 * second / 5, second / 5
	// turnedSpan is how long a number that was turned away is remembered, to know its caller's redial.
	turnedSpan, turnedMost = 8 * second, 4096
	// The delay guessed from unanswered set-ups needs a load to go by: littleFrom calls stood; and it never
	// takes a rate under littleLeast a second.
	littleFrom, littleLeast = 10, 0.1
	// fullDelay is the least delay, in units of the reference, that "full" stands for: a processor says
	// "full" only when its wait is far beyond any aim.
	fullDelay = 2.5
	// A call cut under cutYoung after it stood counts as cut young; over cutMost of the last few (cutGain)
	// being so shuts the server between trials, until cutFade has passed.
	cutYoung, cutMost, cutGain, cutFade = 2 * second, 0.5, 0.2, 8 * float64(second)
	// weightReturn is the part of the way that a lowered weight climbs back in a second; lossWeight is what
	// each fault leaves of it.
	weightReturn, lossWeight = 0.3, 0.7
	// trialFirst and trialMax bound the time between trials of a server that does not answer (doubling); no
	// more than one in trialParts calls of the fair part is a trial, lest many fronts' trials be a jam.
	trialFirst, trialMax, trialParts = second, 2 * second, 4.0
	// overtakeMargin is by how much later a set-up must have been sent to prove an unanswered one lost: more
	// than the jitter of the way.
	overtakeMargin = second / 10
	// A server's share of lost answers is weighed against that of all as lossPrior set-ups, and forgotten
	// over lossFade. lossLeast of them is chance; as many in a row as chance explains by under downDoubt mean
	// that a server is down. lossDoubt is how likely a silent server is so before any evidence.
	lossPrior, lossFade             = 2.0, 8 * float64(second)
	lossLeast, downDoubt, lossDoubt = 0.1, 0.02, 0.03
	// beatEvery is how often unanswered set-ups are looked at; missMost is how long one tells anything.
	// stillLeast is how late a beat shows that this front itself stood still.
	beatEvery, missMost, stillLeast = second / 10, 8 * second, second / 20
	// coldPace and coldPart bound sends to a cold server: a multiple of its present fair part, and the part of the
	// fall budget used at most, as repeats and rejected work count there too. coldLeast is the part of the offered
	// calls by which a front goes before it has borne any; coldBurst, as a divisor, the part of a window's budget that
	// unused credit may save up; coldKept, what more it earns until one lapses, where over coldSparse are due a window.
	coldPace, coldPart, coldLeast, coldBurst, coldKept, coldSparse = 1.4, 0.6, 0.8, 4, 0.3, 0.1
	// bornSpan is the averaging time of the load borne by warm servers, from which capacity is guessed.
	// unitSpan is how slowly the most of it is forgotten: longer than a server is slow, drains or warms.
	bornSpan, unitSpan = 8 * float64(second), 60 * float64(second)
	// hotFirst and hotMax bound how long a number whose lines are all busy is left alone (doubling).
	hotFirst, hotMax = second, 4 * second
	// Notes of an answer: no free line at the server; every line of the number dialled is busy.
	noLine, busyLine = 1, 4
)

// server is what this front knows of one signalling server.
type server struct {
	id               uint64
	cell             int
	share            float64
	gone             bool      // off the list for good
	in               bool      // listed and not draining; false: told LAME, OUT or dropped from a full list
	readyAt, downAt  int64     // its processor's last start (0: long ago), and when it was last seen down
	down             bool      // seen down since the last standing call: one trial at a time goes there
	markEnd          int64     // end of its mark
	lineAt           int64     // when its lines were last found all taken, or nearly so
	out              []attempt // set-ups that no answer came to, by the time they were sent
	sentAt           int64
	provenAt         int64   // when the last of the set-ups that stood was sent
	calls            int     // calls of this front that stand there
	delay, press     float64 // set-up delay, and what delays beyond the aimed-at one have added up to
	least            float64 // the least delay, slowly forgotten
	newsAt, pressAt  int64   // when these two were last fed
	lost, came       fading  // set-ups whose answer got lost, and those answered
	cut              fading  // share of ended calls that were cut right after they stood
	fault            fading  // share of set-ups answered with a fault, of these and those that stood
	weight           float64
	weightAt         int64
	credit           float64 // sends that its cold budget has left for this front; it grows with time
	creditAt, rateAt int64
	rate, well       float64 // set-ups a second that it reports it can take from all, and the most of it
}

// Controller is the state machine of one front.
type Controller struct {
	set             Settings
	rng             *rand.Rand
	now, began      int64     // began: the first event
	servers         []*server // by id
	calls           map[string]*call
	timers          map[uint64]string
	nextTag         uint64
	acts            []Action
	x               float64 // spacing: recent mean delay of set-ups that stood
	held            int
	lastTry         int64
	minWorth        float64
	scale, ref      float64           // of its times; the delay at which a server is pressed for the least call
	stood           int               // calls that stood so far
	borne, offered  fading            // calls that stood, all servers together, and first tries offered
	unit, top       float64           // the most borne lately on a unit of listed size, and by all
	loss            float64           // share of set-ups whose answer got lost, all servers together
	listed          float64           // servers listed and not draining
	freshAt         int64             // when these four were last refreshed
	hots            map[string]hot    // numbers found busy
	turned          map[string]int64  // numbers turned away, and when their callers first came
	beatDue         int64             // when the next look at unanswered set-ups is due, 0: none
	capped          func(uint64) bool // tells the servers that a module beside this one keeps calls from
	spareAt, rateAt int               // places in a report of free lines and of set-ups a second, -1: none
}

// New makes a controller from a front's settings and its seed.
func New(s Settings, seed uint64) (*Controller, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	c := &Controller{set: s, rng: rand.New(rand.NewPCG(seed, 0x6f78626f77)), calls: map[string]*call{},
		timers: map[uint64]string{}, hots: map[string]hot{}, turned: map[string]int64{},
		capped: func(uint64) bool { return false }, minWorth: math.Inf(1)}
	aim := int64(math.MaxInt64)
	for _, g := range s.Classes {
		if aim = min(aim, g.Aim); g.Worth > 0 {
			c.minWorth = min(c.minWorth, g.Worth)
		}
	}
	c.scale = min(float64(aim)/usualAim, 1)
	c.ref = float64(aim) / 2
	if s.T1 > 0 {
		c.ref = min(c.ref, float64(s.T1))
	}
	c.x = float64(aim) * holdShare
	c.spareAt, c.rateAt = slices.Index(s.Fields, "spare"), slices.Index(s.Fields, "allowed")
	return c, nil
}

// Handle takes one event at time now and gives the actions that follow from it.
func (c *Controller) Handle(now int64, ev Event) []Action {
	c.now, c.acts = now, nil
	if late := now - c.beatDue; c.beatDue > 0 && late > stillLeast {
		c.woke(late)
	}
	if c.began == 0 {
		if c.began = now; c.set.ListOnRequest {
			c.acts = append(c.acts, Action{Kind: Subscribe})
		}
	}
	switch ev.Kind {
	case ListUpdate:
		c.members(ev)
	case ListError:
		if c.set.ListOnRequest {
			c.remind("", second/2)
		}
	case Arrival:
		c.arrival(ev)
	case Aborted:
		c.over(c.calls[ev.Call])
	case Stands:
		c.standing(ev)
	case AttemptEnded:
		c.returned(ev)
	case LoadReport:
		if s := c.server(ev.Server); s != nil {
			c.report(s, ev.Report)
		}
	case TimerFired:
		id, ok := c.timers[ev.Tag]
		delete(c.timers, ev.Tag)
		if cl := c.calls[id]; ev.Tag == 0 {
			c.beat()
		} else if ok && cl != nil && cl.held {
			c.try(cl)
		} else if ok && id == "" {
			c.acts = append(c.acts, Action{Kind: Subscribe})
		}
	}
	return c.acts
}

func (c *Controller) server(id uint64) *server {
	if k, ok := slices.BinarySearchFunc(c.servers, id, byID); ok {
		return c.servers[k]
	}
	return nil
}

func byID(s *server, id uint64) int { return cmp.Compare(s.id, id) }

// members takes the list. A server that leaves or drains is shut at once: the grace is never used, which also
// guards a front that restarts with an old list and hears the change late.
func (c *Controller) members(ev Event) {
	if ev.FullList {
		for _, s := range c.servers {
			s.in, s.gone = false, true
		}
	}
	for _, e := range ev.Entries {
		k, ok := slices.BinarySearchFunc(c.servers, e.Server, byID)
		if !ok {
			if e.State != Serving {
				continue
			}
			c.servers = slices.Insert(c.servers, k, &server{id: e.Server, weightAt: c.now,
				lineAt: -second << 8, least: math.MaxFloat64})
		}
		s := c.servers[k]
		if !ok || e.ReadyAt != s.readyAt { // a new processor: what was known of the old one is void
			s.delay, s.down, s.markEnd, s.weight, s.rate, s.out, s.press, s.provenAt = 0, false, 0, 1, 0, nil, 0, 0
			s.credit, s.creditAt, s.downAt = c.rng.Float64(), c.now, 0
		}
		s.cell, s.in, s.gone, s.readyAt, s.share = e.Cell, e.State == Serving, e.State == Removed, e.ReadyAt, max(e.Share, 1e-6)
	}
	// Replacements have new ids: kept, the servers that have gone would grow without end.
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool { return s.gone })
}

// span is a time of queues and trials, for this front's aims.
func (c *Controller) span(t float64) float64 { return t * c.scale }
