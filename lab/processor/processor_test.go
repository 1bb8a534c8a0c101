package processor

import (
	"fmt"
	"math"
	"testing"
)

const ms = int64(1e6)

func params() Params {
	return Params{SetUp: 20 * ms, Answer: 5 * ms, Release: 5 * ms, Reject: 4 * ms, RefusalWait: 200 * ms, ColdFrom: 0.25, ColdSpan: 10_000 * ms,
		FallMultiple: 2, FallWindow: 1000 * ms}
}

// play offers set-ups at a rate and finishes each call's answer; it gives the calls that stood and were turned away.
func play(p *Processor, from, to int64, rate float64) (stood, refused int) {
	take := func(done []Completed) {
		for len(done) > 0 {
			d := done[0]
			done = done[1:]
			switch d.Step {
			case SetUp:
				done = append(done, p.Add(d.At, Answer, d.Call)...)
			case Answer:
				stood++
				done = append(done, p.Add(d.At, Release, d.Call)...)
			}
		}
	}
	for n := 0; ; n++ {
		at := from + int64(float64(n)/rate*1e9)
		if at >= to {
			break
		}
		taken, _, done := p.Offer(at, fmt.Sprint(n))
		take(done)
		if !taken {
			refused++
		}
	}
	take(p.Advance(to))
	return stood, refused
}

func TestCapacityRefusalAndWork(t *testing.T) {
	if c := params().Capacity(); math.Abs(c-33.3) > 0.1 {
		t.Fatal(c)
	}
	p := New(params(), 0)
	if stood, refused := play(p, 1, 20_000*ms, 30); refused > 0 || stood < 590 {
		t.Errorf("under its capacity: %d stood, %d refused", stood, refused)
	}
	p = New(params(), 0)
	if _, refused := play(p, 1, 20_000*ms, 60); refused == 0 || p.MaxWait() < 200*ms || p.MaxWait() > 250*ms {
		t.Errorf("far beyond it: %d refused, worst wait %d ms", refused, p.MaxWait()/ms)
	}
	if p.Utilization() < 0.95 {
		t.Error(p.Utilization())
	}
}

// Answers wait behind new set-ups: under a flood of set-ups hardly anything stands.
func TestAnswersWaitBehindSetUps(t *testing.T) {
	p := New(params(), 0)
	stood, _ := play(p, 1, 10_000*ms, 100)
	if stood > 60 { // 333 without the flood
		t.Errorf("%d stood", stood)
	}
}

func TestColdWarmAndFall(t *testing.T) {
	now := 1000 * ms
	p := New(params(), now)
	if p.Speed(now) != 0.25 || math.Abs(p.Speed(now+5000*ms)-0.625) > 1e-9 || p.Speed(now+10_000*ms) != 1 {
		t.Error(p.Speed(now), p.Speed(now+5000*ms))
	}
	if play(p, now, now+3000*ms, 8); p.FellOver() {
		t.Error("fell over at its present capacity")
	}
	p = New(params(), now)
	if play(p, now, now+3000*ms, 40); !p.FellOver() || p.Speed(now+9000*ms) != 0 {
		t.Error("stands at five times its present capacity")
	}
	p = New(params(), 0)
	if play(p, now, now+3000*ms, 200); p.FellOver() {
		t.Error("a warm one fell over")
	}
}

func TestSlowSilentAndDropped(t *testing.T) {
	p := New(params(), 0)
	p.SetSlowdown(1, 2)
	p.Offer(1, "a")
	if due := p.NextDue(); due != 1+40*ms {
		t.Error(due)
	}
	p.Offer(2, "b")
	if w := p.ExpectedWait(2); w < 79*ms || w > 80*ms {
		t.Error(w)
	}
	p.Drop(3, "b")
	if w := p.ExpectedWait(3); w > 40*ms {
		t.Error(w)
	}
	p.SetSilent(10*ms, true)
	if done := p.Advance(1000 * ms); len(done) > 0 || p.NextDue() != 0 || p.ExpectedWait(1000*ms) != math.MaxInt64 {
		t.Error("a silent processor works", done)
	}
	p.SetSilent(1000*ms, false)
	if p.Speed(1000*ms) != 0.25/2 {
		t.Error("it comes back warm", p.Speed(1000*ms))
	}
	if done := p.Advance(2000 * ms); len(done) != 1 || done[0].Call != "a" {
		t.Error("what it was at is lost", done)
	}
}

// However finely the clock is moved, the same work is finished at the same time.
func TestStepsDoNotMatter(t *testing.T) {
	whole, fine := New(params(), 1000*ms), New(params(), 1000*ms)
	whole.Offer(1000*ms, "a")
	fine.Offer(1000*ms, "a")
	var a, b []Completed
	a = whole.Advance(1200 * ms)
	for at := 1000 * ms; at <= 1200*ms; at += 50 * ms {
		b = append(b, fine.Advance(at)...)
	}
	if len(a) != 1 || len(b) != 1 || math.Abs(float64(a[0].At-b[0].At)) > float64(ms) {
		t.Error(a, b)
	}
}

// The orders of work: an answer waits behind set-ups that come later, behind those before it, or behind none.
func TestLines(t *testing.T) {
	for name, want := range map[string]int{"setups-first": 3, "in-turn": 2, "answers-first": 1} {
		p := New(Params{SetUp: 100, Answer: 100, RefusalWait: 1e9, ColdFrom: 1, FallMultiple: 2, FallWindow: 1e9, QueueOrder: QueueOrders[name]}, 0)
		p.Offer(1, "a")
		p.Offer(1, "b")
		p.Add(1, Answer, "x")
		p.Offer(1, "c")
		at := -1
		for k, d := range p.Advance(1000) {
			if d.Step == Answer {
				at = k
			}
		}
		if at != want {
			t.Errorf("%s: the answer is number %d, want %d", name, at, want)
		}
	}
}

// A call that is given up takes its set-up along, and its answer only where that is asked for.
func TestDropAnswers(t *testing.T) {
	for _, drop := range []bool{false, true} {
		p := New(Params{SetUp: 100, Answer: 100, RefusalWait: 1e9, ColdFrom: 1, FallMultiple: 2, FallWindow: 1e9, DropAnswers: drop}, 0)
		p.Offer(1, "a")
		p.Offer(1, "b")
		p.Add(1, Answer, "x")
		p.Drop(1, "b")
		p.Drop(1, "x")
		if n := len(p.Advance(1000)); n != 2 && !drop || n != 1 && drop {
			t.Errorf("drop answers %v: %d pieces of work", drop, n)
		}
	}
}

// What came to a processor while it was silent has met no cold one.
func TestASilentOneStartsClean(t *testing.T) {
	p := New(Params{SetUp: 1e7, Answer: 1e6, Release: 1e6, RefusalWait: 1e10, ColdFrom: 0.3, ColdSpan: 15e9, FallMultiple: 2, FallWindow: 1e9}, 0)
	p.SetSilent(1e9, true)
	for k := range 200 {
		p.Offer(int64(1e9)+int64(k)*4e6, "x")
	}
	p.SetSilent(18e8, false)
	if p.Offer(18e8+1e6, "y"); p.FellOver() {
		t.Error("it fell over with what came before its start")
	}
}
