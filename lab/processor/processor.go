// Package processor models the processor of a session server as the operators describe it: one line, in which answers
// and releases wait behind new set-ups (other orders can be tried); a refusal, which costs work too, once the wait is too long; a cold start, from
// which it falls over when far more is sent than it can do. It is told the time (nanoseconds) and does no I/O, so that
// sockets and a simulated clock drive the same code.
package processor

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Params are a processor's figures. Works are times on a warm processor.
type Params struct {
	SetUp, Answer, Release int64   // work of each step of a call that stands
	Reject                 int64   // work of turning a set-up away
	RefusalWait            int64   // the wait beyond which set-ups are turned away
	ColdFrom               float64 // part of its capacity at the start
	ColdSpan               int64   // until it is warm; linear in between
	FallMultiple           float64 // of the present capacity, over FallWindow: a cold one falls over and stays down
	FallWindow             int64
	QueueOrder             QueueOrder // in which order the work is done; the zero Line is the operators' description
	DropAnswers            bool       // a call that is given up takes its pending answer with it, not its set-up alone
}

// Line is the order in which a processor does its work.
type QueueOrder int

// The orders.
const (
	SetUpsFirst  QueueOrder = iota // answers and releases wait behind all set-ups, also later ones
	FIFO                           // one line for all: answers and releases wait behind the set-ups that came before
	AnswersFirst                   // set-ups wait behind answers and releases
)

// Lines are the names of the orders, as experiments take them.
var QueueOrders = map[string]QueueOrder{"setups-first": SetUpsFirst, "in-turn": FIFO, "answers-first": AnswersFirst}

// Capacity is the calls a second that a warm processor can take from set-up to release.
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

// Done is a piece of work that is finished.
type Completed struct {
	Step Step
	Call string
	At   int64
}

type job struct {
	step Step
	call string
	left float64 // work
	seq  int     // in order of coming
}

// Processor is one processor's state.
type Processor struct {
	p        Params
	started  int64 // 0: long ago
	slow     float64
	silent   bool
	fallen   bool
	now      int64
	cur      *job
	setups   []*job // a FIFO
	rest     []*job // answers, releases and rejects: behind all set-ups
	arrivals []int64
	busyFor  float64 // time busy, fading
	worst    int64   // the longest wait seen by a set-up that came
	setupsIn int
	refused  int
	seq      int
}

// New makes a processor that started at a time, cold, or long ago (0).
func New(p Params, started int64) *Processor { return &Processor{p: p, started: started, slow: 1} }

// Speed is the work that it does in a unit of time at a moment.
func (p *Processor) Speed(now int64) float64 {
	if p.silent || p.fallen {
		return 0
	}
	return p.warmth(now) / p.slow
}

func (p *Processor) warmth(now int64) float64 {
	if p.started <= 0 || now >= p.started+p.p.ColdSpan {
		return 1
	}
	return p.p.ColdFrom + (1-p.p.ColdFrom)*float64(max(now-p.started, 0))/float64(p.p.ColdSpan)
}

// SetSlow makes it so many times slower from now on; 1: as usual.
func (p *Processor) SetSlowdown(now int64, times float64) []Completed {
	done := p.Advance(now)
	p.slow = max(times, 1e-3)
	return done
}

// Silence makes it do nothing from now on, or work on where it stopped, cold.
func (p *Processor) SetSilent(now int64, silent bool) []Completed {
	done := p.Advance(now)
	if p.silent && !silent {
		p.started, p.arrivals = now, nil // what came before has met no cold processor
	}
	p.silent = silent
	return done
}

// Fallen tells whether it has fallen over.
func (p *Processor) FellOver() bool { return p.fallen }

// backlog is the work in front of a new set-up.
func (p *Processor) backlog() (work float64) {
	if p.cur != nil {
		work = p.cur.left
	}
	for _, j := range p.setups {
		work += j.left
	}
	if p.p.QueueOrder != SetUpsFirst {
		for _, j := range p.rest {
			work += j.left
		}
	}
	return work
}

// Wait is how long a new set-up would wait now. A processor that stands still has no end of it.
func (p *Processor) ExpectedWait(now int64) int64 {
	speed := p.Speed(now)
	if speed <= 0 {
		return math.MaxInt64
	}
	return int64(p.backlog() / speed)
}

// WorstWait is the longest wait that a set-up found when it came.
func (p *Processor) MaxWait() int64 { return p.worst }

// Counts tells the set-ups that came and those turned away.
func (p *Processor) Counts() (came, refused int) { return p.setupsIn, p.refused }

// Queue is the number of set-ups that wait.
func (p *Processor) QueueLength() int { return len(p.setups) }

// Util is the part of the last second or so that it was busy.
func (p *Processor) Utilization() float64 { return min(p.busyFor/utilSpan, 1) }

const utilSpan = 1e9

// Offer brings a set-up. Where it is turned away, wait is how long the caller is told to stay away.
func (p *Processor) Offer(now int64, call string) (taken bool, wait int64, done []Completed) {
	done = p.Advance(now)
	p.setupsIn++
	p.fall(now)
	if p.silent || p.fallen {
		return true, 0, done // it says nothing, ever
	}
	wait = p.ExpectedWait(now)
	p.worst = max(p.worst, wait)
	if wait > p.p.RefusalWait {
		p.refused++
		p.wait(&p.rest, reject, call, p.p.Reject)
		return false, wait, done
	}
	p.wait(&p.setups, SetUp, call, p.p.SetUp)
	return true, 0, done
}

// wait puts work at the end of a line.
func (p *Processor) wait(line *[]*job, s Step, call string, work int64) {
	p.seq++
	*line = append(*line, &job{s, call, float64(work), p.seq})
	p.next()
}

// fall notes a set-up that came, and lets a cold processor fall over that gets too many.
func (p *Processor) fall(now int64) {
	p.arrivals = append(p.arrivals, now)
	for len(p.arrivals) > 0 && p.arrivals[0] <= now-p.p.FallWindow {
		p.arrivals = p.arrivals[1:]
	}
	w := p.warmth(now)
	if w >= 1 {
		return
	}
	budget := p.p.FallMultiple * w * p.p.Capacity() * float64(p.p.FallWindow) / 1e9
	if float64(len(p.arrivals)) > budget+math.Sqrt(budget) { // a little slack for chance
		p.fallen = true
		p.cur, p.setups, p.rest = nil, nil, nil
	}
}

// Add brings work that belongs to a call that stands.
func (p *Processor) Add(now int64, s Step, call string) []Completed {
	done := p.Advance(now)
	work := p.p.Answer
	if s == Release {
		work = p.p.Release
	}
	if !p.fallen {
		p.wait(&p.rest, s, call, work)
	}
	return done
}

// Drop takes a set-up that was given up out of the line.
func (p *Processor) Drop(now int64, call string) []Completed {
	done := p.Advance(now)
	drop := func(line []*job, s Step) []*job {
		return slices.DeleteFunc(line, func(j *job) bool { return j.call == call && j.step == s })
	}
	p.setups = drop(p.setups, SetUp)
	if p.p.DropAnswers {
		p.rest = drop(p.rest, Answer)
	}
	return done
}

// next begins a piece of work where none is under way.
func (p *Processor) next() {
	if p.cur != nil {
		return
	}
	setup := len(p.setups) > 0
	if setup && len(p.rest) > 0 {
		setup = p.p.QueueOrder == SetUpsFirst || p.p.QueueOrder == FIFO && p.setups[0].seq < p.rest[0].seq
	}
	if setup {
		p.cur, p.setups = p.setups[0], p.setups[1:]
	} else if len(p.rest) > 0 {
		p.cur, p.rest = p.rest[0], p.rest[1:]
	}
}

// step bounds how long the speed is taken as constant while it warms up.
const step = int64(50e6)

// Advance works up to a time and gives what was finished, in order.
func (p *Processor) Advance(now int64) (done []Completed) {
	if p.now == 0 {
		p.now = now
	}
	for p.now < now {
		part := min(now-p.now, step)
		speed := p.Speed(p.now)
		if p.cur != nil && speed > 0 {
			if need := int64(math.Ceil(p.cur.left / speed)); need <= part {
				part = max(need, 1)
				p.pass(part, true)
				j := p.cur
				p.cur = nil
				if j.step != reject {
					done = append(done, Completed{j.step, j.call, p.now})
				}
				p.next()
				continue
			}
			p.cur.left -= speed * float64(part)
		}
		p.pass(part, p.cur != nil && speed > 0)
	}
	return done
}

func (p *Processor) pass(d int64, busy bool) {
	p.now += d
	p.busyFor *= math.Exp(-float64(d) / utilSpan)
	if busy {
		p.busyFor += utilSpan * (1 - math.Exp(-float64(d)/utilSpan))
	}
}

// Due is when the next piece of work will be finished, if nothing else comes; 0: there is none.
func (p *Processor) NextDue() int64 {
	speed := p.Speed(p.now)
	if p.cur == nil || speed <= 0 {
		return 0
	}
	return p.now + max(min(int64(math.Ceil(p.cur.left/speed)), step), 1)
}

// Draw draws a processor's figures as the brief gives their ranges, for one of so many that are planned for so many calls a
// second together.
func DrawParams(planned float64, servers int, rng *rand.Rand) Params {
	use := 0.72 + rng.Float64()*0.15
	work := use * float64(servers) / planned * 1e9 // of a whole call, so that the planned load uses so much
	follow := 0.25 + rng.Float64()*0.25
	setup := work / (1 + follow)
	refuse := time.Duration(2100+rng.IntN(1500)) * time.Millisecond
	return Params{SetUp: int64(setup), Answer: int64(setup * follow / 2), Release: int64(setup * follow / 2),
		Reject: int64(setup * (0.1 + rng.Float64()*0.2)), RefusalWait: int64(refuse), ColdFrom: 0.31, ColdSpan: int64(15 * time.Second),
		FallMultiple: 2, FallWindow: int64(time.Second)}
}
