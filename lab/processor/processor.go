// Package processor models the processor of a session server as the operators describe it. It has one queue, in which
// answers and releases wait behind new set-ups (other orders can be tried). It refuses set-ups, which costs work too,
// once the wait is too long. It starts cold, and while cold falls over, that is stops for good, when it is sent far
// more than it can handle. Callers pass in the time (nanoseconds) and the package does no I/O, so that sockets and a
// simulated clock drive the same code.
package processor

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Params are a processor's figures. Amounts of work are nanoseconds on a warm processor.
type Params struct {
	SetUp, Answer, Release int64   // work of each step of an established call
	Reject                 int64   // work of refusing a set-up
	RefusalWait            int64   // expected wait above which set-ups are refused
	ColdFraction           float64 // share of the full capacity at the start
	WarmUpTime             int64   // time until it is warm; the capacity grows linearly in between
	CrashMultiple          float64 // a cold processor falls over above this multiple of its present capacity over CrashWindow
	CrashWindow            int64
	QueueOrder             QueueOrder // the zero value is the order that the operators describe
	DropAnswers            bool       // dropping a call removes its queued answer, not only its set-up
}

// QueueOrder is the order in which a processor does its work.
type QueueOrder int

// The queue orders.
const (
	SetUpsFirst  QueueOrder = iota // answers and releases wait behind all set-ups, including later ones
	FIFO                           // all work is done in order of arrival
	AnswersFirst                   // set-ups wait behind answers and releases
)

// QueueOrders maps the names of the orders, as used on the command line, to their values.
var QueueOrders = map[string]QueueOrder{"setups-first": SetUpsFirst, "in-turn": FIFO, "answers-first": AnswersFirst}

// Capacity is the number of calls per second that a warm processor can handle from set-up to release.
func (p Params) Capacity() float64 { return 1e9 / float64(p.SetUp+p.Answer+p.Release) }

// Step is a kind of work.
type Step int

// The steps.
const (
	SetUp Step = iota
	Answer
	Release
	reject
)

// Completed is a completed piece of work.
type Completed struct {
	Step Step
	Call string
	At   int64
}

// job is a queued or current piece of work.
type job struct {
	step      Step
	call      string
	remaining float64 // work
	seq       int     // order of arrival
}

// Processor is one processor's state.
type Processor struct {
	params        Params
	startedAt     int64 // 0: long ago, so that it is warm
	slowdown      float64
	silent        bool
	fellOver      bool
	now           int64
	current       *job
	setUps        []*job // in order of arrival
	otherWork     []*job // answers, releases and refusals, in order of arrival
	arrivals      []int64
	busyTime      float64 // busy time, decaying over utilizationWindow
	maxWait       int64   // longest wait expected for any set-up when it was offered
	setUpsOffered int
	refused       int
	seq           int
}

// New makes a processor that starts cold at startedAt, or that is warm if startedAt is 0.
func New(params Params, startedAt int64) *Processor {
	return &Processor{params: params, startedAt: startedAt, slowdown: 1}
}

// Speed is the work done per unit of time at now; 1 is a warm processor that is not slowed down.
func (p *Processor) Speed(now int64) float64 {
	if p.silent || p.fellOver {
		return 0
	}
	return p.capacityFraction(now) / p.slowdown
}

// capacityFraction is the share of the full capacity at now.
func (p *Processor) capacityFraction(now int64) float64 {
	if p.startedAt <= 0 || now >= p.startedAt+p.params.WarmUpTime {
		return 1
	}
	return p.params.ColdFraction + (1-p.params.ColdFraction)*float64(max(now-p.startedAt, 0))/float64(p.params.WarmUpTime)
}

// SetSlowdown makes the processor slower by a factor from now on; 1 is normal speed.
func (p *Processor) SetSlowdown(now int64, factor float64) []Completed {
	done := p.Advance(now)
	p.slowdown = max(factor, 1e-3)
	return done
}

// SetSilent stops the processor, so that nothing is answered or refused, or has it go on cold from where it stopped.
func (p *Processor) SetSilent(now int64, silent bool) []Completed {
	done := p.Advance(now)
	if p.silent && !silent {
		p.startedAt, p.arrivals = now, nil // earlier arrivals did not reach a cold processor
	}
	p.silent = silent
	return done
}

// FellOver tells whether the processor has fallen over.
func (p *Processor) FellOver() bool { return p.fellOver }

// backlog is the work that is done before a set-up that arrives now.
func (p *Processor) backlog() (work float64) {
	if p.current != nil {
		work = p.current.remaining
	}
	for _, j := range p.setUps {
		work += j.remaining
	}
	if p.params.QueueOrder != SetUpsFirst {
		for _, j := range p.otherWork {
			work += j.remaining
		}
	}
	return work
}

// ExpectedWait is how long a set-up that arrives now would wait. It is math.MaxInt64 for a processor that has stopped.
func (p *Processor) ExpectedWait(now int64) int64 {
	speed := p.Speed(now)
	if speed <= 0 {
		return math.MaxInt64
	}
	return int64(p.backlog() / speed)
}

// MaxWait is the longest wait expected for any set-up when it was offered.
func (p *Processor) MaxWait() int64 { return p.maxWait }

// Counts gives the number of set-ups offered, and of those refused.
func (p *Processor) Counts() (offered, refused int) { return p.setUpsOffered, p.refused }

// QueueLength is the number of set-ups that wait.
func (p *Processor) QueueLength() int { return len(p.setUps) }

// Utilization is the share of about the last second that the processor was busy.
func (p *Processor) Utilization() float64 { return min(p.busyTime/utilizationWindow, 1) }

// utilizationWindow is the time constant of the decaying busy time.
const utilizationWindow = 1e9

// Offer adds a set-up. Where it is refused, wait is the time that the refusal gives the caller to wait.
func (p *Processor) Offer(now int64, call string) (taken bool, wait int64, done []Completed) {
	done = p.Advance(now)
	p.setUpsOffered++
	p.recordArrival(now)
	if p.silent || p.fellOver {
		return true, 0, done // it never answers
	}
	wait = p.ExpectedWait(now)
	p.maxWait = max(p.maxWait, wait)
	if wait > p.params.RefusalWait {
		p.refused++
		p.enqueue(&p.otherWork, reject, call, p.params.Reject)
		return false, wait, done
	}
	p.enqueue(&p.setUps, SetUp, call, p.params.SetUp)
	return true, 0, done
}

// enqueue appends work to a queue, and starts it if the processor is idle.
func (p *Processor) enqueue(queue *[]*job, s Step, call string, work int64) {
	p.seq++
	*queue = append(*queue, &job{s, call, float64(work), p.seq})
	p.startNext()
}

// recordArrival counts a set-up, and makes a cold processor fall over if too many arrive.
func (p *Processor) recordArrival(now int64) {
	p.arrivals = append(p.arrivals, now)
	for len(p.arrivals) > 0 && p.arrivals[0] <= now-p.params.CrashWindow {
		p.arrivals = p.arrivals[1:]
	}
	fraction := p.capacityFraction(now)
	if fraction >= 1 {
		return
	}
	budget := p.params.CrashMultiple * fraction * p.params.Capacity() * float64(p.params.CrashWindow) / 1e9
	if float64(len(p.arrivals)) > budget+math.Sqrt(budget) { // allows for random variation
		p.fellOver = true
		p.current, p.setUps, p.otherWork = nil, nil, nil
	}
}

// Add adds the answer or the release of a call.
func (p *Processor) Add(now int64, s Step, call string) []Completed {
	done := p.Advance(now)
	work := p.params.Answer
	if s == Release {
		work = p.params.Release
	}
	if !p.fellOver {
		p.enqueue(&p.otherWork, s, call, work)
	}
	return done
}

// Drop removes the queued set-up of a call that was given up, with DropAnswers also its answer.
func (p *Processor) Drop(now int64, call string) []Completed {
	done := p.Advance(now)
	remove := func(queue []*job, s Step) []*job {
		return slices.DeleteFunc(queue, func(j *job) bool { return j.call == call && j.step == s })
	}
	p.setUps = remove(p.setUps, SetUp)
	if p.params.DropAnswers {
		p.otherWork = remove(p.otherWork, Answer)
	}
	return done
}

// startNext starts the next piece of work if none is in progress.
func (p *Processor) startNext() {
	if p.current != nil {
		return
	}
	takeSetUp := len(p.setUps) > 0
	if takeSetUp && len(p.otherWork) > 0 {
		takeSetUp = p.params.QueueOrder == SetUpsFirst || p.params.QueueOrder == FIFO && p.setUps[0].seq < p.otherWork[0].seq
	}
	if takeSetUp {
		p.current, p.setUps = p.setUps[0], p.setUps[1:]
	} else if len(p.otherWork) > 0 {
		p.current, p.otherWork = p.otherWork[0], p.otherWork[1:]
	}
}

// maxStep bounds how long the speed is taken as constant while the processor warms up.
const maxStep = int64(50e6)

// Advance simulates the work up to now and gives what was completed, in order.
func (p *Processor) Advance(now int64) (done []Completed) {
	if p.now == 0 {
		p.now = now
	}
	for p.now < now {
		slice := min(now-p.now, maxStep)
		speed := p.Speed(p.now)
		if p.current != nil && speed > 0 {
			if needed := int64(math.Ceil(p.current.remaining / speed)); needed <= slice {
				slice = max(needed, 1)
				p.elapse(slice, true)
				j := p.current
				p.current = nil
				if j.step != reject {
					done = append(done, Completed{j.step, j.call, p.now})
				}
				p.startNext()
				continue
			}
			p.current.remaining -= speed * float64(slice)
		}
		p.elapse(slice, p.current != nil && speed > 0)
	}
	return done
}

// elapse advances the clock by d and updates the utilization.
func (p *Processor) elapse(d int64, busy bool) {
	p.now += d
	p.busyTime *= math.Exp(-float64(d) / utilizationWindow)
	if busy {
		p.busyTime += utilizationWindow * (1 - math.Exp(-float64(d)/utilizationWindow))
	}
}

// NextDue is when the processor should be advanced next: when the current work completes, or after maxStep if that is
// sooner. 0: no work is in progress.
func (p *Processor) NextDue() int64 {
	speed := p.Speed(p.now)
	if p.current == nil || speed <= 0 {
		return 0
	}
	return p.now + max(min(int64(math.Ceil(p.current.remaining/speed)), maxStep), 1)
}

// DrawParams draws the figures of a processor from the ranges that the platform specifies, for one of a number of servers
// that together are planned for so many calls per second.
func DrawParams(planned float64, servers int, rng *rand.Rand) Params {
	utilization := 0.72 + rng.Float64()*0.15
	work := utilization * float64(servers) / planned * 1e9 // of a whole call, so that the planned load takes this utilization
	followShare := 0.25 + rng.Float64()*0.25
	setUpWork := work / (1 + followShare)
	refusalWait := time.Duration(2100+rng.IntN(1500)) * time.Millisecond
	return Params{SetUp: int64(setUpWork), Answer: int64(setUpWork * followShare / 2), Release: int64(setUpWork * followShare / 2),
		Reject: int64(setUpWork * (0.1 + rng.Float64()*0.2)), RefusalWait: int64(refusalWait), ColdFraction: 0.31, WarmUpTime: int64(15 * time.Second),
		CrashMultiple: 2, CrashWindow: int64(time.Second)}
}
