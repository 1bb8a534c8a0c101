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
	return Settings{Control: control.Settings{RetryAfter: true, MaxRetryAfter: 2 * second, Classes: []control.Class{{Aim: 1200 * ms, Deadline: 9 * second, Worth: 1}}}}
}

// fleet plays an instance's set-ups: each is sent where there is room, and comes back after a delay, or is given up.
type fleet struct {
	g    *Goodput
	now  int64
	n    int
	most int // out at once
	out  []string
	due  map[string]int64
	gone map[string]bool // given up then, in place of standing
	sent int
	kept int // back
}

func newFleet(s Settings) *fleet {
	return &fleet{g: New(s, 1, 100*second, nil), now: 100 * second, due: map[string]int64{}, gone: map[string]bool{}}
}

// play offers calls every so often, each of which takes a delay to stand; 0: it never does, and is given up after 3 s.
func (f *fleet) play(d, every, delay int64) {
	end := f.now + d
	next := f.now + every
	for f.now < end {
		f.now += 10 * ms
		f.g.OnEvent(f.now, control.Event{Kind: control.TimerFired})
		rest := f.out[:0]
		for _, id := range f.out {
			switch {
			case f.due[id] > f.now:
				rest = append(rest, id)
			case f.gone[id]:
				f.g.OnEvent(f.now, control.Event{Kind: control.AttemptEnded, Call: id, Outcome: control.TimedOut})
			default:
				f.g.OnEvent(f.now, control.Event{Kind: control.Stands, Call: id})
			}
		}
		f.out = rest
		if f.now < next {
			continue
		}
		next += every
		f.n++
		id := fmt.Sprint(f.n)
		f.g.OnEvent(f.now, control.Event{Kind: control.Arrival, Call: id})
		if ok, _ := f.g.HasRoom(f.now, 1); !ok {
			f.kept++
			continue
		}
		f.sent++
		f.g.OnAction(f.now, control.Action{Kind: control.Send, Call: id})
		f.out = append(f.out, id)
		if f.due[id] = f.now + delay; delay == 0 {
			f.due[id], f.gone[id] = f.now+3*second, true
		}
		f.most = max(f.most, len(f.out))
	}
}

func TestAHealthyFleetIsLeftAlone(t *testing.T) {
	for _, every := range []int64{10 * ms, 100 * ms, 600 * ms} {
		f := newFleet(settings())
		f.play(20*second, every, 150*ms)
		f.play(10*second, every/2, 300*ms) // twice the calls, twice as slow
		if f.kept > 0 || f.g.Status(f.now).State != Open {
			t.Errorf("a call every %d ms: %d kept back, %+v", every/ms, f.kept, f.g.Status(f.now))
		}
	}
}

// An instance that sees two calls a second is soon down to one set-up out, and is open again once set-ups stand in time.
func TestAJamAndItsEnd(t *testing.T) {
	f := newFleet(settings())
	var told []Change
	f.g.onChange = func(c Change) { told = append(told, c) }
	f.play(10*second, 500*ms, 150*ms)
	f.play(5*second, 500*ms, 0)
	f.most = 0
	f.play(20*second, 500*ms, 0)
	if f.most > 3 { // six without a bound
		t.Errorf("%d out at once in the jam", f.most)
	}
	if st := f.g.Status(f.now); st.State != Bounded || st.Reason != TooManyLate || st.Out == "" || st.Held == 0 {
		t.Errorf("%+v", st)
	}
	if f.sent == 0 {
		t.Error("nothing is tried any more")
	}
	f.play(10*second, 500*ms, 150*ms)
	f.kept = 0
	f.play(20*second, 500*ms, 150*ms)
	if f.kept > 0 || f.g.Status(f.now).State != Open {
		t.Errorf("%d kept back after the jam, %+v", f.kept, f.g.Status(f.now))
	}
	if len(told) != 2 || told[0].State != Bounded || told[1].State != Open {
		t.Errorf("%+v", told)
	}
}

// Where the servers are all equally slow, what is out follows the rate that comes back and the wanted delay.
func TestLittlesLaw(t *testing.T) {
	f := newFleet(settings())
	f.play(60*second, 20*ms, 1500*ms) // 50 calls a second, each late
	f.most = 0
	f.play(20*second, 20*ms, 1500*ms)
	if f.most > 3 { // nothing comes back in time, and little is out
		t.Errorf("%d out", f.most)
	}
	f.play(20*second, 20*ms, 400*ms) // in time now: it opens by the rate
	if limit, _ := f.g.limit(f.now); limit < 50*0.4 {
		t.Errorf("limit %.1f at 50 calls a second and 400 ms", limit)
	}
}

// One silent server of ten takes no call from the others.
func TestASilentServerAmongMany(t *testing.T) {
	f := newFleet(settings())
	f.play(10*second, 100*ms, 150*ms)
	for range 200 {
		f.play(900*ms, 100*ms, 150*ms)
		f.play(100*ms, 100*ms, 0)
	}
	if f.kept > 0 {
		t.Errorf("%d kept back", f.kept)
	}
}

// An instance that stood still for a while blames no server for it.
func TestAStandstillIsNoJam(t *testing.T) {
	f := newFleet(settings())
	f.play(10*second, 50*ms, 200*ms)
	f.now += 30 * second
	f.play(second, 50*ms, 200*ms)
	if _, vain := f.g.limit(f.now); vain > 0 || f.kept > 0 {
		t.Errorf("%.2f in vain, %d kept back", vain, f.kept)
	}
}

// While first tries meet the bound redials are refused with a drawn wait, and else they are control's.
func TestRedialsStandBack(t *testing.T) {
	f := newFleet(settings())
	redial := func() join.Decision { return f.g.Admit(f.now, join.Call{ID: "r", Retry: true}) }
	f.play(10*second, 500*ms, 150*ms)
	if r := redial(); r.Verdict != join.Admit {
		t.Error("in a healthy fleet", r)
	}
	f.play(20*second, 300*ms, 0)
	waits := map[int64]bool{}
	for range 20 {
		r := redial()
		if r.Verdict != join.Refuse || r.Reason != Redial || r.Wait < second || r.Wait > 2*second {
			t.Fatal(r)
		}
		waits[r.Wait] = true
	}
	if len(waits) < 15 {
		t.Error("the told waits are alike", waits)
	}
	if r := f.g.Admit(f.now, join.Call{ID: "f"}); r.Verdict != join.Admit {
		t.Error("a first try", r)
	}
	f.play(40*second, 500*ms, 150*ms)
	if r := redial(); r.Verdict != join.Admit {
		t.Error("after the jam", r)
	}
}

// Whatever comes in whatever order: what is followed is what is out, the limit is a number of one at least, Room changes
// nothing, and the same events bring the same state.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(settings(), 7, 0, nil), New(settings(), 7, 0, nil)
		now := int64(0)
		out := map[string]bool{}
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
					g.OnEvent(now, control.Event{Kind: control.Stands, Call: id})
				case 2:
					g.OnEvent(now, control.Event{Kind: control.AttemptEnded, Call: id, Outcome: outcome})
				case 3:
					g.OnEvent(now, control.Event{Kind: control.Arrival, Call: id})
				case 4:
					g.Admit(now, join.Call{ID: id, Retry: true})
				}
				if g == a {
					for range 3 {
						g.HasRoom(now, 1) // asked often
					}
				}
			}
			switch kind {
			case 0:
				out[id] = true
			case 1, 2:
				delete(out, id)
			}
			limit, vain := a.limit(now)
			if len(a.out) != len(out) || a.late < 0 || a.late > len(out) || !(limit >= 1) || math.IsInf(limit, 0) || vain < 0 || vain >= 1 {
				t.Fatalf("%d out of %d, %d late, limit %v, vain %v", len(a.out), len(out), a.late, limit, vain)
			}
			if !reflect.DeepEqual(a.Status(now), b.Status(now)) {
				t.Fatalf("%+v %+v", a.Status(now), b.Status(now))
			}
		}
	})
}

// Servers that are slow by themselves are in no jam: what is late is told by the least delay of late too.
func TestServersThatAreSlowByThemselves(t *testing.T) {
	f := newFleet(settings())
	f.play(30*second, 500*ms, 700*ms)
	if f.kept > 0 {
		t.Errorf("%d kept back of %d", f.kept, f.n)
	}
}

// Late set-ups count as out by the share in vain: a fifth of their number at a tenth, in full from a half on.
func TestWhatIsLateCountsByTheShareInVain(t *testing.T) {
	g := New(settings(), 1, 0, nil)
	for k := range 10 {
		g.OnAction(0, control.Action{Kind: control.Send, Call: fmt.Sprint(k)})
	}
	for now := int64(0); now <= 600*ms; now += 100 * ms {
		g.OnEvent(now, control.Event{Kind: control.TimerFired})
	}
	g.OnAction(600*ms, control.Action{Kind: control.Send, Call: "young"})
	for vain, want := range map[float64]float64{0: 1, 0.1: 3, 0.5: 11, 0.9: 11} {
		if got := g.used(vain); math.Abs(got-want) > 1e-9 {
			t.Errorf("%.1f in vain: %.2f of 11 count, want %.2f", vain, got, want)
		}
	}
}
