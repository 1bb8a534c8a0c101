package goodput

import (
	"fmt"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"masthill/control"
	"masthill/control/join"
)

const ms = int64(1e6)

func settings() Settings {
	return Settings{Control: control.Settings{RetryAfter: true, MaxRetryAfter: 2 * second, Classes: []control.Class{{TargetDelay: 1200 * ms, Deadline: 9 * second, Value: 1}}}}
}

// simulator plays the set-ups of an instance: each is sent if there is room, and is answered after a delay or given up.
type simulator struct {
	g              *Goodput
	now            int64
	n              int
	maxOutstanding int // the most that were outstanding at once
	outstanding    []string
	due            map[string]int64
	givenUp        map[string]bool // given up when due, instead of answered
	sent           int
	blocked        int // not sent because the limit was reached
}

func newSimulator(s Settings) *simulator {
	return &simulator{g: New(s, 1, 100*second, nil), now: 100 * second, due: map[string]int64{}, givenUp: map[string]bool{}}
}

// play offers a call at each interval for some time. Each set-up succeeds after the delay; with 0 it never does and is
// given up after 3 s.
func (sim *simulator) play(duration, interval, delay int64) {
	end := sim.now + duration
	next := sim.now + interval
	for sim.now < end {
		sim.now += 10 * ms
		sim.g.OnEvent(sim.now, control.Event{Kind: control.TimerFired})
		remaining := sim.outstanding[:0]
		for _, id := range sim.outstanding {
			switch {
			case sim.due[id] > sim.now:
				remaining = append(remaining, id)
			case sim.givenUp[id]:
				sim.g.OnEvent(sim.now, control.Event{Kind: control.AttemptEnded, Call: id, Outcome: control.TimedOut})
			default:
				sim.g.OnEvent(sim.now, control.Event{Kind: control.Established, Call: id})
			}
		}
		sim.outstanding = remaining
		if sim.now < next {
			continue
		}
		next += interval
		sim.n++
		id := fmt.Sprint(sim.n)
		sim.g.OnEvent(sim.now, control.Event{Kind: control.Arrival, Call: id})
		if ok, _ := sim.g.HasCapacity(sim.now, 1); !ok {
			sim.blocked++
			continue
		}
		sim.sent++
		sim.g.OnAction(sim.now, control.Action{Kind: control.Send, Call: id})
		sim.outstanding = append(sim.outstanding, id)
		if sim.due[id] = sim.now + delay; delay == 0 {
			sim.due[id], sim.givenUp[id] = sim.now+3*second, true
		}
		sim.maxOutstanding = max(sim.maxOutstanding, len(sim.outstanding))
	}
}

func TestNoLimitWithoutCongestion(t *testing.T) {
	for _, interval := range []int64{10 * ms, 100 * ms, 600 * ms} {
		sim := newSimulator(settings())
		sim.play(20*second, interval, 150*ms)
		sim.play(10*second, interval/2, 300*ms) // twice the calls, with twice the delay
		if sim.blocked > 0 || sim.g.Status(sim.now).State != Open {
			t.Errorf("a call every %d ms: %d blocked, %+v", interval/ms, sim.blocked, sim.g.Status(sim.now))
		}
	}
}

// An instance that sees two calls per second is soon limited to about one outstanding set-up, and is open again once
// set-ups succeed in time.
func TestCongestionAndItsEnd(t *testing.T) {
	sim := newSimulator(settings())
	var changes []Change
	sim.g.onChange = func(c Change) { changes = append(changes, c) }
	sim.play(10*second, 500*ms, 150*ms)
	sim.play(5*second, 500*ms, 0)
	sim.maxOutstanding = 0
	sim.play(20*second, 500*ms, 0)
	if sim.maxOutstanding > 3 { // six without a limit
		t.Errorf("%d outstanding at once in the congestion", sim.maxOutstanding)
	}
	if st := sim.g.Status(sim.now); st.State != Bounded || st.Reason != TooManyLate || st.ExitCondition == "" || st.Held == 0 {
		t.Errorf("%+v", st)
	}
	if sim.sent == 0 {
		t.Error("no set-up is sent any more")
	}
	sim.play(10*second, 500*ms, 150*ms)
	sim.blocked = 0
	sim.play(20*second, 500*ms, 150*ms)
	if sim.blocked > 0 || sim.g.Status(sim.now).State != Open {
		t.Errorf("%d blocked after the congestion, %+v", sim.blocked, sim.g.Status(sim.now))
	}
	if len(changes) != 2 || changes[0].State != Bounded || changes[1].State != Open {
		t.Errorf("%+v", changes)
	}
}

// When all servers are equally slow, the limit follows the rate of set-ups answered in time and the target delay.
func TestLittlesLaw(t *testing.T) {
	sim := newSimulator(settings())
	sim.play(60*second, 20*ms, 1500*ms) // 50 calls per second, each of them late
	sim.maxOutstanding = 0
	sim.play(20*second, 20*ms, 1500*ms)
	if sim.maxOutstanding > 3 { // nothing is answered in time, so little may be outstanding
		t.Errorf("%d outstanding", sim.maxOutstanding)
	}
	sim.play(20*second, 20*ms, 400*ms) // in time now: the limit rises with the rate
	if limit, _ := sim.g.limit(sim.now); limit < 50*0.4 {
		t.Errorf("limit %.1f at 50 calls per second and 400 ms", limit)
	}
}

// One silent server of ten does not cost the others any call.
func TestASilentServerAmongMany(t *testing.T) {
	sim := newSimulator(settings())
	sim.play(10*second, 100*ms, 150*ms)
	for range 200 {
		sim.play(900*ms, 100*ms, 150*ms)
		sim.play(100*ms, 100*ms, 0)
	}
	if sim.blocked > 0 {
		t.Errorf("%d blocked", sim.blocked)
	}
}

// An instance that was paused for a while does not count that time against any server.
func TestAPauseIsNoCongestion(t *testing.T) {
	sim := newSimulator(settings())
	sim.play(10*second, 50*ms, 200*ms)
	sim.now += 30 * second
	sim.play(second, 50*ms, 200*ms)
	if _, lateShare := sim.g.limit(sim.now); lateShare > 0 || sim.blocked > 0 {
		t.Errorf("late share %.2f, %d blocked", lateShare, sim.blocked)
	}
}

// While first calls meet the limit, redials are refused with random waits; otherwise control decides on them.
func TestRedialsAreRefusedWhileBounded(t *testing.T) {
	sim := newSimulator(settings())
	redial := func() join.Decision { return sim.g.Admit(sim.now, join.Call{ID: "r", Redialed: true}) }
	sim.play(10*second, 500*ms, 150*ms)
	if r := redial(); r.Kind != join.Admit {
		t.Error("in a healthy fleet", r)
	}
	sim.play(20*second, 300*ms, 0)
	waits := map[int64]bool{}
	for range 20 {
		r := redial()
		if r.Kind != join.Refuse || r.Reason != Redial || r.Wait < second || r.Wait > 2*second {
			t.Fatal(r)
		}
		waits[r.Wait] = true
	}
	if len(waits) < 15 {
		t.Error("the waits are alike", waits)
	}
	if r := sim.g.Admit(sim.now, join.Call{ID: "f"}); r.Kind != join.Admit {
		t.Error("a first call", r)
	}
	sim.play(40*second, 500*ms, 150*ms)
	if r := redial(); r.Kind != join.Admit {
		t.Error("after the congestion", r)
	}
}

// With random events in any order, exactly the outstanding set-ups are followed, the limit is a finite number of at
// least one, HasCapacity changes nothing, and the same events lead to the same state.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(settings(), 7, 0, nil), New(settings(), 7, 0, nil)
		now := int64(0)
		outstanding := map[string]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += rapid.SampledFrom([]int64{0, ms, 50 * ms, 700 * ms, 5 * second, -second}).Draw(t, "pass")
			id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "call"))
			kind := rapid.IntRange(0, 4).Draw(t, "kind")
			outcome := control.Outcome(rapid.IntRange(0, 7).Draw(t, "outcome"))
			for _, g := range []*Goodput{a, b} {
				switch kind {
				case 0:
					g.OnAction(now, control.Action{Kind: control.Send, Call: id})
				case 1:
					g.OnEvent(now, control.Event{Kind: control.Established, Call: id})
				case 2:
					g.OnEvent(now, control.Event{Kind: control.AttemptEnded, Call: id, Outcome: outcome})
				case 3:
					g.OnEvent(now, control.Event{Kind: control.Arrival, Call: id})
				case 4:
					g.Admit(now, join.Call{ID: id, Redialed: true})
				}
				if g == a {
					for range 3 {
						g.HasCapacity(now, 1) // called often
					}
				}
			}
			switch kind {
			case 0:
				outstanding[id] = true
			case 1, 2:
				delete(outstanding, id)
			}
			limit, lateShare := a.limit(now)
			if len(a.outstanding) != len(outstanding) || a.late < 0 || a.late > len(outstanding) || !(limit >= 1) || math.IsInf(limit, 0) || lateShare < 0 || lateShare >= 1 {
				t.Fatalf("%d followed, %d outstanding, %d late, limit %v, late share %v", len(a.outstanding), len(outstanding), a.late, limit, lateShare)
			}
			if !reflect.DeepEqual(a.Status(now), b.Status(now)) {
				t.Fatalf("%+v %+v", a.Status(now), b.Status(now))
			}
		}
	})
}

// Servers that are slow by nature are not congested: whether a set-up is late depends on the lowest recent delay too.
func TestServersThatAreAlwaysSlow(t *testing.T) {
	sim := newSimulator(settings())
	sim.play(30*second, 500*ms, 700*ms)
	if sim.blocked > 0 {
		t.Errorf("%d blocked of %d", sim.blocked, sim.n)
	}
}

// Late set-ups count as outstanding in proportion to the late share: a fifth of them at a tenth, all of them from a
// half on.
func TestLateSetUpsCountByTheLateShare(t *testing.T) {
	g := New(settings(), 1, 0, nil)
	for k := range 10 {
		g.OnAction(0, control.Action{Kind: control.Send, Call: fmt.Sprint(k)})
	}
	for now := int64(0); now <= 600*ms; now += 100 * ms {
		g.OnEvent(now, control.Event{Kind: control.TimerFired})
	}
	g.OnAction(600*ms, control.Action{Kind: control.Send, Call: "young"})
	for lateShare, want := range map[float64]float64{0: 1, 0.1: 3, 0.5: 11, 0.9: 11} {
		if got := g.countedOutstanding(lateShare); math.Abs(got-want) > 1e-9 {
			t.Errorf("late share %.1f: %.2f of 11 count, want %.2f", lateShare, got, want)
		}
	}
}
