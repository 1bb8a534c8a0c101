package processor

import (
	"fmt"
	"math"
	"testing"
)

const ms = int64(1e6)

func params() Params {
	return Params{SetUp: 20 * ms, Answer: 5 * ms, Release: 5 * ms, Reject: 4 * ms, RefusalWait: 200 * ms, ColdFraction: 0.25, WarmUpTime: 10_000 * ms,
		CrashMultiple: 2, CrashWindow: 1000 * ms}
}

// runLoad offers set-ups at a rate and has each call answered and released. It gives the number of calls that were
// established and that were refused.
func runLoad(p *Processor, from, to int64, rate float64) (established, refused int) {
	process := func(completed []Completed) {
		for len(completed) > 0 {
			d := completed[0]
			completed = completed[1:]
			switch d.Step {
			case SetUp:
				completed = append(completed, p.Add(d.At, Answer, d.Call)...)
			case Answer:
				established++
				completed = append(completed, p.Add(d.At, Release, d.Call)...)
			}
		}
	}
	for n := 0; ; n++ {
		at := from + int64(float64(n)/rate*1e9)
		if at >= to {
			break
		}
		taken, _, finished := p.Offer(at, fmt.Sprint(n))
		process(finished)
		if !taken {
			refused++
		}
	}
	process(p.Advance(to))
	return established, refused
}

// Below its capacity a processor refuses nothing; far beyond it, it refuses, and the wait stays near the refusal point.
func TestCapacityAndRefusal(t *testing.T) {
	if c := params().Capacity(); math.Abs(c-33.3) > 0.1 {
		t.Fatal(c)
	}
	p := New(params(), 0)
	if established, refused := runLoad(p, 1, 20_000*ms, 30); refused > 0 || established < 590 {
		t.Errorf("below its capacity: %d established, %d refused", established, refused)
	}
	p = New(params(), 0)
	if _, refused := runLoad(p, 1, 20_000*ms, 60); refused == 0 || p.MaxWait() < 200*ms || p.MaxWait() > 250*ms {
		t.Errorf("far beyond its capacity: %d refused, longest wait %d ms", refused, p.MaxWait()/ms)
	}
	if p.Utilization() < 0.95 {
		t.Error(p.Utilization())
	}
}

// Answers wait behind new set-ups, so that under a flood of set-ups hardly any call is established.
func TestAnswersWaitBehindSetUps(t *testing.T) {
	p := New(params(), 0)
	established, _ := runLoad(p, 1, 10_000*ms, 100)
	if established > 60 { // 333 without the flood
		t.Errorf("%d calls established", established)
	}
}

// A cold processor warms up linearly, and falls over under five times its present capacity; a warm one never does.
func TestWarmUpAndFallingOver(t *testing.T) {
	now := 1000 * ms
	p := New(params(), now)
	if p.Speed(now) != 0.25 || math.Abs(p.Speed(now+5000*ms)-0.625) > 1e-9 || p.Speed(now+10_000*ms) != 1 {
		t.Error(p.Speed(now), p.Speed(now+5000*ms))
	}
	if runLoad(p, now, now+3000*ms, 8); p.FellOver() {
		t.Error("fell over at its present capacity")
	}
	p = New(params(), now)
	if runLoad(p, now, now+3000*ms, 40); !p.FellOver() || p.Speed(now+9000*ms) != 0 {
		t.Error("did not fall over at five times its present capacity")
	}
	p = New(params(), 0)
	if runLoad(p, now, now+3000*ms, 200); p.FellOver() {
		t.Error("a warm processor fell over")
	}
}

// A slow processor takes longer, a dropped set-up no longer counts in the wait, and a silent one goes on later where it
// stopped, cold.
func TestSlowdownDropAndSilence(t *testing.T) {
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
		t.Error("a silent processor did work", done)
	}
	p.SetSilent(1000*ms, false)
	if p.Speed(1000*ms) != 0.25/2 {
		t.Error("it came back warm", p.Speed(1000*ms))
	}
	if done := p.Advance(2000 * ms); len(done) != 1 || done[0].Call != "a" {
		t.Error("its current work was lost", done)
	}
}

// The time at which work completes does not depend on how often the processor is advanced.
func TestStepSizeDoesNotMatter(t *testing.T) {
	coarse, fine := New(params(), 1000*ms), New(params(), 1000*ms)
	coarse.Offer(1000*ms, "a")
	fine.Offer(1000*ms, "a")
	var a, b []Completed
	a = coarse.Advance(1200 * ms)
	for at := 1000 * ms; at <= 1200*ms; at += 50 * ms {
		b = append(b, fine.Advance(at)...)
	}
	if len(a) != 1 || len(b) != 1 || math.Abs(float64(a[0].At-b[0].At)) > float64(ms) {
		t.Error(a, b)
	}
}

// By the queue order, an answer waits behind all set-ups, behind those that arrived before it, or behind the current work
// only.
func TestQueueOrders(t *testing.T) {
	for name, want := range map[string]int{"setups-first": 3, "in-turn": 2, "answers-first": 1} {
		p := New(Params{SetUp: 100, Answer: 100, RefusalWait: 1e9, ColdFraction: 1, CrashMultiple: 2, CrashWindow: 1e9, QueueOrder: QueueOrders[name]}, 0)
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
			t.Errorf("%s: the answer completed at index %d, want %d", name, at, want)
		}
	}
}

// Dropping a call removes its queued set-up, and its queued answer only with DropAnswers.
func TestDropAnswers(t *testing.T) {
	for _, drop := range []bool{false, true} {
		p := New(Params{SetUp: 100, Answer: 100, RefusalWait: 1e9, ColdFraction: 1, CrashMultiple: 2, CrashWindow: 1e9, DropAnswers: drop}, 0)
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

// Set-ups that arrived while a processor was silent do not count against it once it is back cold.
func TestArrivalsDuringSilenceDoNotCount(t *testing.T) {
	p := New(Params{SetUp: 1e7, Answer: 1e6, Release: 1e6, RefusalWait: 1e10, ColdFraction: 0.3, WarmUpTime: 15e9, CrashMultiple: 2, CrashWindow: 1e9}, 0)
	p.SetSilent(1e9, true)
	for k := range 200 {
		p.Offer(int64(1e9)+int64(k)*4e6, "x")
	}
	p.SetSilent(18e8, false)
	if p.Offer(18e8+1e6, "y"); p.FellOver() {
		t.Error("it fell over from arrivals before its start")
	}
}
