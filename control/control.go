// Package control decides for one front at the edge of the network which signalling server sets a call up,
// when a call is held for a later try and when it is refused. The interface is in types.go; all decisions are
// here. The mechanism is deferral with deterministic spacing (DSRT), see docs/design.md.
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
	// coldPace and coldPart bound sends to a cold server: a multiple of its present fair part, and the part
	// of the fall budget used at most, as repeats and rejected work count there too. coldLeast is the part of
	// the offered calls by which a front goes before it has borne any; coldBurst, as a divisor, the part of a
	// window's budget that unused credit may save up.
	coldPace, coldPart, coldLeast, coldBurst = 1.4, 0.6, 0.8, 4
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

// attempt is a set-up that no answer has come to. It stays after its call was called off or timed out, until
// a later one is answered (then it was lost: a processor takes set-ups in turn) or it is too old to tell
// anything.
type attempt struct {
	call  string
	at    int64
	off   bool  // called off, cut or timed out
	cutAt int64 // when it was cut: it was not silent; 0: not
}

// silent counts the set-ups on which a server is silent, and tells when the first and the last were sent.
// One sent before another that stood is lost, as a processor takes set-ups in turn; one that was cut with its
// connection says nothing of the processor behind it. Taken for silence, a single lost answer shut a well
// server, and nothing was sent any more that could have proved it lost.
func (s *server) silent() (n int, first, last int64) {
	for _, a := range s.out {
		if a.cutAt > 0 || a.at < s.provenAt {
			continue
		}
		if n++; n == 1 {
			first = a.at
		}
		last = a.at
	}
	return n, first, last
}

// misses counts the unanswered set-ups in a row, since the last one that stood; what is cut together with one
// connection counts once.
func (s *server) misses() (n int, first int64) {
	cutAt := int64(0)
	for _, a := range s.out {
		if !a.off || a.at < s.provenAt || a.cutAt > 0 && a.cutAt == cutAt {
			continue
		}
		if n++; n == 1 {
			first = a.at
		}
		cutAt = a.cutAt
	}
	return n, first
}

// call is a call in hand: waiting for a set-up, held, or standing.
type call struct {
	id, key          string
	class, cell      int
	inTransit        bool
	first, notAfter  int64 // when its caller first came, as far as known, and when this try is given up
	attempts         int
	at               *server // attempt out
	clearAt, stoodAt int64   // end of the release wait, and when it stood
	ran              bool    // an attempt might have run
	held, deferred   bool    // waits for its one later try, and had it
	stands           bool
	luck             float64 // its draw against pressure, one for its whole life
	// faults are the servers that answered it with a fault; whose that is shows elsewhere.
	faults []*server
}

// hot is a number whose lines were all found busy: how long it is left alone, and until when.
type hot struct{ wait, until int64 }

// Controller is the state machine of one front.
type Controller struct {
	set      Settings
	rng      *rand.Rand
	now      int64
	began    int64     // first event
	servers  []*server // by id
	calls    map[string]*call
	timers   map[uint64]string
	nextTag  uint64
	acts     []Action
	x        float64 // spacing: recent mean delay of set-ups that stood
	held     int
	lastTry  int64
	minWorth float64
	scale    float64          // of its times, by the shortest aim
	ref      float64          // the delay at which the least call finds a server pressed
	stood    int              // calls that stood so far
	borne    fading           // calls that stood, all servers together
	offered  fading           // first tries offered
	unit     float64          // the most borne lately on a unit of listed size
	top      float64          // the most borne lately, all servers together
	loss     float64          // share of set-ups whose answer got lost, all servers together
	listed   float64          // servers listed and not draining
	freshAt  int64            // when these four were last refreshed
	hots     map[string]hot   // numbers found busy
	turned   map[string]int64 // numbers turned away, and when their callers first came
	beatDue  int64            // when the next look at unanswered set-ups is due, 0: none
	// Places in a report, -1: none: free lines, and set-ups a second that a server can take.
	spareAt, rateAt int
}

// New makes a controller from a front's settings and its seed.
func New(s Settings, seed uint64) (*Controller, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	c := &Controller{set: s, rng: rand.New(rand.NewPCG(seed, 0x6f78626f77)), calls: map[string]*call{},
		timers: map[uint64]string{}, hots: map[string]hot{}, turned: map[string]int64{},
		minWorth: math.Inf(1)}
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
		if c.began = now; c.set.OnRequest {
			c.acts = append(c.acts, Action{Kind: Listen})
		}
	}
	switch ev.Kind {
	case Members:
		c.members(ev)
	case ListError:
		if c.set.OnRequest {
			c.remind("", second/2)
		}
	case Arrival:
		c.arrival(ev)
	case Aborted:
		c.over(c.calls[ev.Call])
	case Stands:
		c.standing(ev)
	case Returned:
		c.returned(ev)
	case Probed:
		if s := c.server(ev.Server); s != nil {
			c.report(s, ev.Report)
		}
	case Ring:
		if ev.Tag == 0 {
			c.beat()
			break
		}
		id, ok := c.timers[ev.Tag]
		delete(c.timers, ev.Tag)
		if cl := c.calls[id]; ok && cl != nil && cl.held {
			c.try(cl)
		} else if ok && id == "" {
			c.acts = append(c.acts, Action{Kind: Listen})
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
	if ev.Full {
		for _, s := range c.servers {
			s.in, s.gone = false, true
		}
	}
	for _, e := range ev.Entries {
		k, ok := slices.BinarySearchFunc(c.servers, e.Server, byID)
		if !ok {
			if e.State != In {
				continue
			}
			c.servers = slices.Insert(c.servers, k, &server{id: e.Server, weightAt: c.now,
				lineAt: -second << 8, least: math.MaxFloat64})
		}
		s := c.servers[k]
		if !ok || e.ReadyAt != s.readyAt { // a new processor: what was known of the old one is void
			s.delay, s.down, s.markEnd, s.weight, s.rate, s.out, s.press = 0, false, 0, 1, 0, nil, 0
			s.provenAt = 0
			s.credit, s.creditAt, s.downAt = c.rng.Float64(), c.now, 0
		}
		s.cell, s.in, s.readyAt, s.share = e.Cell, e.State == In, e.ReadyAt, max(e.Share, 1e-6)
		s.gone = e.State == Out
	}
	// Replacements have new ids: kept, the servers that have gone would grow without end.
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool { return s.gone })
}

// warmth is the part of its capacity that a server is taken to have at present: from cold_from upward, since
// its start by the list or since it was last seen down, as the list tells of a restart seconds late. It
// covers crashes, hangs and cut links; where only the link failed, a well server passes for cold for a while.
func (c *Controller) warmth(s *server) float64 {
	start := max(s.readyAt, s.downAt)
	age := c.now - start
	if start <= 0 || age >= c.set.ColdSpan {
		return 1
	}
	return c.set.ColdFrom + (1-c.set.ColdFrom)*float64(max(age, 0))/float64(c.set.ColdSpan)
}

// coldRoom tells whether a cold server may get one more send from this front. Each front earns credit at its
// part of the server's present capacity and pays one for a send; the first credit is drawn at random, so that
// fronts with a part far below one send a window spread out and together keep the budget, also when many
// servers return at once. A front that has borne nothing yet goes by its own calls offered. Harm: fronts
// whose calls shifted to this server only now are held to what they bore before.
func (c *Controller) coldRoom(s *server) bool {
	w := c.warmth(s)
	if w >= 1 {
		return true
	}
	pace := min(coldPace, coldPart*c.set.FallMultiple) * min(c.fair(s), w*c.top) // whatever is reported
	pace = max(pace, coldLeast*w*c.rate(&c.offered)/max(c.listed, 1))
	window := float64(c.set.FallWindow) / float64(second)
	s.credit = min(s.credit+pace*float64(c.now-s.creditAt)/float64(second), max(1, pace*window/coldBurst))
	s.creditAt = c.now
	return s.credit >= 1
}

// size is a server's capacity: at present, or when well. Its reported rate comes first, while fresh; without
// one, its listed share in the measure of those that report, cold ones in part.
func (c *Controller) size(s *server, present bool) float64 {
	if present && s.rate > 0 && c.now-s.rateAt < rateFresh {
		return s.rate
	}
	size := s.well
	if size == 0 {
		var well, share float64
		for _, o := range c.servers {
			if o.well > 0 {
				well, share = well+o.well, share+o.share
			}
		}
		if size = s.share; share > 0 {
			size *= well / share
		}
	}
	if present {
		size *= c.warmth(s)
	}
	return size
}

// fading is a count that is forgotten with time; now gives what is left of it.
type fading struct {
	n  float64
	at int64
}

func (f *fading) now(now int64, span float64) float64 {
	f.n *= math.Exp(-float64(now-f.at) / span)
	f.at = now
	return f.n
}

// rate makes a count over bornSpan one of calls a second; after a start it has seen less.
func (c *Controller) rate(f *fading) float64 {
	seen := bornSpan * (1 - math.Exp(-float64(max(c.now-c.began, second))/bornSpan))
	return f.now(c.now, bornSpan) * float64(second) / seen
}

// refresh does once an event what takes all servers together: the share of lost answers, and the most that
// this front's calls have lately borne, in all and on a unit of size. The present load would not do: while
// servers are away it is small, and a new processor, held to its part of that, would stay idle when needed
// most.
func (c *Controller) refresh() {
	if c.freshAt == c.now {
		return
	}
	kept := math.Exp(-float64(c.now-c.freshAt) / unitSpan)
	c.freshAt, c.listed = c.now, 0
	var total, lost, all float64
	for _, o := range c.servers {
		l := o.lost.now(c.now, lossFade)
		lost, all = lost+l, all+l+o.came.now(c.now, lossFade)
		if o.in {
			total += c.size(o, false) * c.warmth(o)
			c.listed++
		}
	}
	c.loss = lost / max(all, 1)
	borne := c.rate(&c.borne)
	c.top, c.unit = max(c.top*kept, borne), c.unit*kept
	if total > 0 {
		c.unit = max(c.unit, borne/total)
	}
}

// fair is this front's fair part of a server's present capacity, in calls a second.
func (c *Controller) fair(s *server) float64 {
	c.refresh()
	return c.unit * c.size(s, true)
}

// delayAt is the set-up delay to expect at a server, the worst of three: what stood last, fading without
// news, and the integral; the age of the longest unanswered set-up, which sees a hang or a jam before any
// answer; and the time that the unanswered ones take at this front's fair part of the server (Little's law,
// if the others do alike), which keeps a burst off a small or long unused server. The last can hold calls off
// a server much larger than its share says, down to one out at a time.
func (c *Controller) delayAt(s *server) float64 {
	gap := float64(c.now - s.newsAt)
	d := s.delay*math.Exp(-gap/c.span(newsFade)) +
		s.press*math.Exp(-float64(c.now-s.pressAt)/c.span(pressFade))
	if n, first, last := s.silent(); n > 0 {
		// Silence shuts a server only between trials, rarer with each unanswered one. Where answers get lost
		// it counts for no more than the loss leaves unexplained.
		rest := c.span(float64(min(trialFirst<<min(n-1, 8), trialMax)))
		if c.stood >= littleFrom {
			rest = max(rest, trialParts*float64(second)/max(c.fair(s), littleLeast))
		}
		if float64(c.now-last) < rest {
			if c.stood >= littleFrom {
				d = max(d, float64(s.pending())*float64(second)/max(c.fair(s), littleLeast))
			}
			d = max(d, float64(c.now-first)*lossDoubt/(lossDoubt+math.Pow(c.lossAt(s), float64(n))))
		}
	}
	return d
}

// overtaken finds set-ups lost before one that was sent at a time and answered now, and calls them off, so
// that the call has its later try in time. It guards against lost set-ups and answers of any cause; it could
// do harm where a server takes set-ups out of turn by more than the margin.
func (c *Controller) overtaken(s *server, sent int64) {
	for len(s.out) > 0 && s.out[0].at+overtakeMargin <= sent {
		s.lost.n = s.lost.now(c.now, lossFade) + 1
		c.callOff(s, &s.out[0])
		s.out = s.out[1:]
	}
}

// lossAt is the share of a server's set-ups whose answer gets lost: its own, weighed by their count, beside
// that of all servers together.
func (c *Controller) lossAt(s *server) float64 {
	c.refresh()
	lost := s.lost.now(c.now, lossFade)
	return (lost + lossPrior*c.loss) / (lost + s.came.now(c.now, lossFade) + lossPrior)
}

// pending counts the set-ups that are still waited for.
func (s *server) pending() (n int) {
	for _, a := range s.out {
		if !a.off {
			n++
		}
	}
	return n
}

// callOff cancels an attempt; it stays among the unanswered ones.
func (c *Controller) callOff(s *server, a *attempt) {
	cl := c.calls[a.call]
	if !a.off && cl != nil && cl.at == s && c.set.MayCancel && cl.attempts < c.set.MaxAttempts {
		c.acts = append(c.acts, Action{Kind: Cancel, Call: cl.id, Attempt: cl.attempts - 1})
		a.off = true
	}
}

// beat looks at the unanswered set-ups. One is called off as soon as its silence is more likely a lost answer
// than a slow one, by the share of losses and the usual delay, while its later try can still be in time. It
// covers lost answers and set-ups of any cause, and without losses never acts; when delays grow right after
// losses it may call off set-ups that would have stood.
func (c *Controller) beat() {
	c.beatDue = 0
	for _, s := range c.servers {
		for len(s.out) > 0 && s.out[0].off && c.now-s.out[0].at > missMost {
			s.out = s.out[1:]
		}
		for k := range s.out {
			a := &s.out[k]
			cl, age := c.calls[a.call], float64(c.now-a.at)
			if cl == nil || cl.deferred || age < 2*float64(overtakeMargin) {
				continue
			}
			usual := max(c.x, s.delay*math.Exp(-float64(c.now-s.newsAt)/c.span(newsFade)))
			inTime := float64(c.now+c.set.ClearWait-cl.first)+usual < float64(c.set.Classes[cl.class].Aim)
			loss := c.lossAt(s)
			if a.at < s.provenAt { // more likely lost than late, whatever the share of losses
				loss = max(loss, lossDoubt)
			}
			if inTime && math.Exp(-age/usual) < loss {
				c.callOff(s, a)
			}
		}
	}
	c.pulse()
}

// woke takes a beat that comes late: this front itself stood still. No server is at fault for the silence in
// between, and answers that waited here tell nothing of a queue. It covers stalls of any cause; a real jam
// that began meanwhile is seen that much later.
func (c *Controller) woke(late int64) {
	c.beatDue = c.now + beatEvery
	for _, s := range c.servers {
		s.newsAt, s.pressAt = s.newsAt+late, s.pressAt+late
		for k := range s.out {
			s.out[k].at += late
		}
	}
}

// pulse keeps the beat going while any set-up is unanswered.
func (c *Controller) pulse() {
	if c.beatDue == 0 && slices.ContainsFunc(c.servers, func(s *server) bool { return len(s.out) > 0 }) {
		c.beatDue = c.now + beatEvery
		c.acts = append(c.acts, Action{Kind: Remind, Wait: beatEvery})
	}
}

// span is a time of queues and trials, for this front's aims.
func (c *Controller) span(t float64) float64 { return t * c.scale }

// worth is what a call can still earn, in units of the least class's worth.
func (c *Controller) worth(cl *call) float64 {
	g := c.set.Classes[cl.class]
	w := g.Worth / c.minWorth
	if c.now-cl.first > g.Aim {
		w *= g.LateValue
	}
	return w
}

// marked tells whether a server is no room for this call: it answered it with a fault, or is marked by an
// answer, on trial, out of lines, out of its cold budget, or pressed beyond what its worth and luck bear.
func (c *Controller) marked(s *server, cl *call) bool {
	if slices.Contains(cl.faults, s) || c.now < s.markEnd || s.down && s.pending() > 0 || !c.coldRoom(s) {
		return true
	}
	shut := s.cut.now(c.now, cutFade) > cutMost || c.faulty(s)
	if shut && float64(c.now-s.sentAt) < c.span(float64(trialMax)) {
		return true
	}
	worth := c.worth(cl)
	if float64(c.now-s.lineAt) < float64(markMin)*min(max(1/(worth*worth), lineLeast), lineMost) {
		return true
	}
	scale := min(max(worth, worthMin), worthMax)
	way := 0.0
	if s.least < math.MaxFloat64 {
		way = max(s.least-wayPart*c.ref, 0)
	}
	from, full := pressFrom*scale*c.ref+way, pressFull*scale*c.ref+way
	g := c.set.Classes[cl.class]
	if limit := aimShare * float64(g.Aim); c.now-cl.first <= g.Aim && full > limit {
		from, full = min(from, limit/2), limit
	}
	return c.delayAt(s) > from+(full-from)*cl.luck
}

// allowed tells whether a server may take the call at all.
func (c *Controller) allowed(s *server, cl *call) bool {
	if !s.in || s.cell == c.set.ThisNode || cl.inTransit && s.cell != cl.cell {
		return false
	}
	cells := c.set.Classes[cl.class].Cells
	return c.set.Meshed || len(cells) == 0 || slices.Contains(cells, s.cell)
}

// draw picks a server by weight and size among the allowed and unmarked ones.
func (c *Controller) draw(cl *call) *server {
	var total float64
	var from []*server
	for _, s := range c.servers {
		if c.allowed(s, cl) && !c.marked(s, cl) {
			age := float64(c.now-s.weightAt) / float64(second)
			s.weight += (1 - s.weight) * (1 - math.Exp(-weightReturn*age))
			s.weightAt = c.now
			total += s.weight * c.size(s, true)
			from = append(from, s)
		}
	}
	u := c.rng.Float64() * total
	for k, s := range from {
		if u -= s.weight * c.size(s, true); u < 0 || k == len(from)-1 {
			return s
		}
	}
	return nil
}

func (c *Controller) arrival(ev Event) {
	if c.calls[ev.Call] != nil {
		return
	}
	cl := &call{id: ev.Call, class: min(max(ev.Class, 0), len(c.set.Classes)-1), key: ev.Key, cell: ev.FarEnd,
		inTransit: ev.InTransit, first: c.now, notAfter: ev.NotAfter, luck: c.rng.Float64()}
	c.calls[cl.id] = cl
	// A number turned away a moment ago gives a redial away, and tells when the caller first came. It covers
	// redial storms of any cause; a second caller to that number within the span counts as a redial too.
	if at, ok := c.turned[cl.key]; ok && cl.key != "" && c.now-at < turnedSpan {
		cl.first = min(cl.first, at)
	} else if ev.Resent {
		cl.first = c.now - turnedSpan
	} else {
		c.offered.n = c.offered.now(c.now, bornSpan) + 1
	}
	if c.now < c.hots[cl.key].until && cl.key != "" {
		c.final(cl, true)
		return
	}
	c.route(cl)
}

// route sends a call at once: first choice while unmarked, else a draw over the other unmarked ones; a call
// that meets no room is held.
func (c *Controller) route(cl *call) {
	for _, s := range c.servers {
		if s.cell == cl.cell && c.allowed(s, cl) && !c.marked(s, cl) && c.send(cl, s) {
			return
		}
	}
	if s := c.draw(cl); s != nil && c.send(cl, s) {
		return
	}
	c.hold(cl)
}

// hold gives a call its one later try, x after the latest scheduled one (x from now if none is held), while
// fewer than D = ⌊T̂/x⌋ are held; else it is refused.
func (c *Controller) hold(cl *call) {
	hat := holdShare * float64(c.set.Classes[cl.class].Aim)
	x := min(c.x, hat)
	at := c.now
	if c.held > 0 {
		at = max(c.lastTry, at)
	}
	at = max(at+int64(x), cl.clearAt)
	if cl.deferred || c.held >= int(hat/x) || at+c.guard() >= cl.notAfter {
		c.final(cl, true)
		return
	}
	cl.deferred, cl.held = true, true
	c.held++
	c.lastTry = at
	c.remind(cl.id, at-c.now)
}

// guard is the time kept between anything planned for a call and its caller's end.
func (c *Controller) guard() int64 { return 2*c.set.Resolution + second/500 }

// try is the held call's one later try: one server, drawn over all allowed. Servers are not alike here nor
// full at once, so the draw falls on unmarked ones while there are any; if all are marked, the call is
// refused.
func (c *Controller) try(cl *call) {
	cl.held = false
	c.held--
	if s := c.draw(cl); s == nil || !c.send(cl, s) {
		c.final(cl, true)
	}
}

// send is the one place that issues a set-up. It refuses whatever would break a rule: a second attempt out,
// attempts spent, a call over or out of time, the release wait, a drain that was told, a cold budget spent, a
// repeat of a call whose effect may have happened.
func (c *Controller) send(cl *call, s *server) bool {
	left := cl.notAfter - c.now - c.guard()
	switch {
	case c.calls[cl.id] != cl, cl.at != nil, cl.stands, cl.held, cl.attempts >= c.set.MaxAttempts, left <= 0:
		return false
	case c.now < cl.clearAt, !c.allowed(s, cl), !c.coldRoom(s):
		return false
	case cl.ran && c.set.Classes[cl.class].Effect != Free:
		return false
	}
	cl.attempts++
	cl.at, s.sentAt = s, c.now
	s.out = append(s.out, attempt{call: cl.id, at: c.now})
	s.credit-- // counts while it is cold only
	c.acts = append(c.acts, Action{Kind: Send, Call: cl.id, Server: s.id, Wait: left})
	c.pulse()
	return true
}

// final is the one place that gives final answers.
func (c *Controller) final(cl *call, refuse bool) {
	if c.calls[cl.id] != cl || cl.stands || cl.at != nil {
		return
	}
	c.over(cl)
	if len(c.turned) >= turnedMost {
		clear(c.turned) // all at once, so that map order decides nothing
	}
	c.turned[cl.key] = cl.first
	if !refuse || cl.ran && c.set.Classes[cl.class].Effect != Free {
		c.acts = append(c.acts, Action{Kind: Fail, Call: cl.id})
		return
	}
	a := Action{Kind: Refuse, Call: cl.id}
	if c.set.RetryAfter {
		// A caller that can still be served in time is asked back soon: its redial is one more deferral. Any
		// other stays away as long as it may.
		a.Wait = c.set.MaxRetryAfter
		if left := cl.first + c.set.Classes[cl.class].Aim - c.now; left > backNeed {
			a.Wait = min(a.Wait, backSoon)
		}
	}
	c.acts = append(c.acts, a)
}

// over forgets a call that has its answer or whose caller left.
func (c *Controller) over(cl *call) {
	if cl == nil {
		return
	}
	if cl.held {
		c.held--
	}
	cl.held = false
	delete(c.calls, cl.id)
}

func (c *Controller) remind(id string, wait int64) {
	c.nextTag++
	c.timers[c.nextTag] = id
	c.acts = append(c.acts, Action{Kind: Remind, Tag: c.nextTag, Wait: max(wait, 1)})
}

// standing takes a set-up that stood: it ends marks and feeds the load borne.
func (c *Controller) standing(ev Event) {
	s, cl := c.server(ev.Server), c.calls[ev.Call]
	if s != nil {
		c.stood++
		c.borne.n = c.borne.now(c.now, bornSpan) + 1 // first, as the most borne is taken with the answer
		c.answered(s, ev.Call, 0)
		s.markEnd, s.down = 0, false
		s.fault.n = s.fault.now(c.now, cutFade) * (1 - cutGain)
	}
	if cl != nil {
		for _, f := range cl.faults {
			if f != s {
				c.blame(f)
			}
		}
		if s != nil {
			s.calls++
		}
		cl.stands, cl.at, cl.stoodAt = true, nil, c.now
		delete(c.hots, cl.key)
	}
}

// take takes a call's latest attempt off the unanswered ones.
func (s *server) take(id string) (a attempt, ok bool) {
	for k := len(s.out) - 1; k >= 0; k-- {
		if a = s.out[k]; a.call == id {
			s.out = slices.Delete(s.out, k, k+1)
			return a, true
		}
	}
	return a, false
}

// answered takes a server's answer to one set-up: its delay is news, of at least so much for one that did not
// stand.
func (c *Controller) answered(s *server, id string, least float64) {
	a, ok := s.take(id)
	if !ok {
		return
	}
	s.came.n = s.came.now(c.now, lossFade) + 1
	c.overtaken(s, a.at)
	delay, gap := max(float64(c.now-a.at), least), float64(c.now-s.newsAt)
	if least == 0 {
		s.provenAt = max(s.provenAt, a.at)
		c.x += spacingGain * (delay - c.x)
		c.x = max(c.x, float64(c.set.Resolution), 1)
	}
	s.least = min(delay, s.least*(1+gap/leastSpan))
	c.push(s, delay)
	if gap > c.span(newsFade) {
		s.delay = delay
	}
	s.delay += delayGain * (delay - s.delay)
	s.newsAt = c.now
	s.weight = min(s.weight, c.ref/(c.ref+delay))
	s.weightAt = c.now
}

// push feeds the integral of delays beyond the aimed-at one, which presses a server however few the samples
// are: many fronts that each look seldom would else swing between flood and drought together. It counts by
// the chance that no news comes while the tracked delay fades, so that many samples leave it out. It covers
// slow processors, jams, overload and lines that are short alike; it can hold calls off a recovered server
// for some seconds.
func (c *Controller) push(s *server, delay float64) {
	if c.stood < littleFrom {
		return
	}
	gap := float64(c.now - s.pressAt)
	aim := min(max(pressAim*c.ref, 2*s.least), pressFull*c.ref) // a small server is slow by itself
	seldom := math.Exp(-c.fair(s) * c.span(newsFade) / float64(second))
	more := pressGain * (delay - aim) * min(gap, c.span(pressSpan)) / c.span(float64(second)) * seldom
	s.press = min(max(s.press*math.Exp(-gap/c.span(pressFade))+more, 0), pressMost*c.ref)
	s.pressAt = c.now
}

// missed takes the end of an attempt that no answer came to; it stays among the unanswered ones. One may be
// the way's fault, and the server rests for a moment. Chance losses explain a few in a row by the share seen
// on all servers; what they do not explain is a server that is down.
func (c *Controller) missed(s *server, id string, cut bool) {
	for k := range s.out {
		if a := &s.out[k]; a.call == id {
			if cut && !a.off {
				a.cutAt = c.now
			}
			a.off = true
		}
	}
	s.weight *= lossWeight
	s.markEnd = max(s.markEnd, c.now+markMin)
	n, first := s.misses()
	chance := math.Pow(max(c.lossAt(s), lossLeast), float64(n))
	if chance < downDoubt && c.now-first > trialFirst {
		c.fell(s)
	}
}

// fell notes that a server is seen down: what comes back is cold.
func (c *Controller) fell(s *server) {
	if c.warmth(s) == 1 {
		s.credit, s.creditAt = c.rng.Float64(), c.now
	}
	s.down, s.downAt = true, c.now
}

// report takes a load report. Own delays press a server whatever it reports. Free lines are old news within a
// moment, as calls end all the time: none free marks for as long as an answer without a line would.
func (c *Controller) report(s *server, r []float64) {
	value := func(at int) float64 { // -1: none
		if at < 0 || at >= len(r) {
			return -1
		}
		return r[at]
	}
	if rate := value(c.rateAt); rate > 0 {
		if s.rate == 0 || c.now-s.rateAt >= rateFresh {
			s.rate = rate
		}
		s.rate += rateGain * (rate - s.rate)
		s.well = max(s.well*math.Exp(-float64(c.now-s.rateAt)/unitSpan), s.rate)
		s.rateAt = c.now
	}
	if spare := value(c.spareAt); spare >= 0 && spare < 1 {
		s.lineAt = c.now
	}
}

// returned takes an attempt's end.
func (c *Controller) returned(ev Event) {
	cl, s := c.calls[ev.Call], c.server(ev.Server)
	if s != nil {
		c.report(s, ev.Report)
		c.judge(s, ev)
	}
	if cl == nil {
		return
	}
	if cl.at = nil; cl.stands && s != nil {
		if s.calls--; s.calls <= 0 && ev.Outcome == Severed && c.now-cl.stoodAt > cutYoung {
			c.fell(s)
		}
		c.ended(s, ev.Outcome == Severed && c.now-cl.stoodAt < cutYoung)
	}
	if ev.Ended || cl.stands {
		c.over(cl)
		return
	}
	switch ev.Outcome {
	case Overdue, Severed, Recalled:
		cl.ran = true
		cl.clearAt = c.now + c.set.ClearWait
		c.hold(cl)
	case Saturated:
		c.hold(cl)
	case RefusedConn:
		c.route(cl) // it never ran, and this is no fullness: another unmarked server at once
	case Errored:
		cl.ran = true
		if ev.Note != busyLine && len(cl.faults) < 2 {
			c.route(cl) // perhaps a fault of that server: another unmarked one at once
			return
		}
		if cl.key != "" && ev.Note == busyLine {
			c.busyNumber(cl.key)
		}
		c.final(cl, true)
	default:
		cl.ran = cl.ran || ev.Outcome == Completed
		c.final(cl, ev.Outcome != Completed)
	}
}

// ended follows how calls that stood came to an end. A server that stands calls and cuts them again looks
// quick and well to all else; while most are cut young it gets one trial at a time. A crash, a drain or lost
// lines cut calls of any age, once, and hardly count; a server with few calls may be shut by one.
func (c *Controller) ended(s *server, young bool) {
	s.cut.n = s.cut.now(c.now, cutFade) * (1 - cutGain)
	if young {
		s.cut.n += cutGain
	}
}

// judge marks a server by how an attempt ended.
func (c *Controller) judge(s *server, ev Event) {
	switch {
	case !slices.ContainsFunc(s.out, func(a attempt) bool { return a.call == ev.Call && !a.off }):
		return // it stood before; a cut call tells nothing of the processor's queue
	case ev.Outcome == Recalled || ev.Outcome == Superseded || ev.Note == noLine:
		s.take(ev.Call) // called off, or without a line: it tells nothing of the processor
		if ev.Outcome != Recalled {
			s.lineAt = c.now
			c.push(s, fullDelay*c.ref)
		}
	case ev.Outcome == Overdue || ev.Outcome == Severed:
		c.missed(s, ev.Call, ev.Outcome == Severed)
	case ev.Outcome == RefusedConn:
		s.take(ev.Call)
		s.markEnd = max(s.markEnd, c.now+trialFirst)
		c.fell(s)
	case ev.Outcome == Errored:
		if ev.Note == busyLine {
			c.answered(s, ev.Call, 1)
			return
		}
		s.take(ev.Call) // a quick fault overtakes others in the queue, and is no delay of a set-up
		s.came.n = s.came.now(c.now, lossFade) + 1
		if cl := c.calls[ev.Call]; cl != nil {
			cl.faults = append(cl.faults, s)
			s.fault.n = s.fault.now(c.now, cutFade)*(1-cutGain) + cutGain
		}
	case ev.Outcome == Saturated:
		// A quick "full" is no quick set-up: taken as one, it would draw calls to a sick server. This covers
		// any server that fails fast; one full for an instant is shunned about two seconds for it.
		c.answered(s, ev.Call, fullDelay*c.ref)
		// A told wait is kept up to trialMax; a longer one is then tested by a single trial, as a processor
		// that dropped its queue or came back would stand idle else.
		if ev.WaitMS*1e6 > trialMax {
			s.down = true
		}
		s.markEnd = max(s.markEnd, c.now+max(int64(c.x), markMin, min(ev.WaitMS*1e6, trialMax)))
	}
}

// blame marks a server for a fault on a call that stood elsewhere. A server that answers with faults is as
// quick and as useless as one that cuts what stood; a single chance fault costs it a moment.
func (c *Controller) blame(s *server) {
	s.markEnd = max(s.markEnd, c.now+markMin)
	s.weight *= lossWeight
	c.ended(s, true)
}

// faulty tells whether a server answers with faults what another takes. A call that nobody can use gets a
// fault anywhere, and callers that send such ones would shut all servers to the others: so only its excess
// over the best server's share counts. Where all servers turn to faults at once, none is shut.
func (c *Controller) faulty(s *server) bool {
	own := s.fault.now(c.now, cutFade)
	return own > cutMost && slices.ContainsFunc(c.servers, func(o *server) bool {
		return o.in && own > o.fault.now(c.now, cutFade)+cutMost
	})
}

// busyNumber leaves a number alone for a while whose lines are all busy. It covers any flood to one number; a
// line that comes free in the meantime stays unused for up to hotMax.
func (c *Controller) busyNumber(key string) {
	if len(c.hots) >= turnedMost {
		clear(c.hots) // all at once, so that map order decides nothing
	}
	wait := min(max(hotFirst, 2*c.hots[key].wait), hotMax)
	c.hots[key] = hot{wait, c.now + wait}
}
