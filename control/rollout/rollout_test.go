package rollout

import (
	"flag"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

const second = int64(1e9)

var limits = Limits{MaxAwayFraction: 0.28, HealthyFor: 5 * second, StartWithin: 10 * second, MaxColdPause: 30 * second, RollBack: true}

func newFleet(n int, phase Phase) (all []InstanceStatus) {
	for k := range n {
		all = append(all, InstanceStatus{Name: fmt.Sprintf("n%02d", k), Generation: "1", Phase: phase})
	}
	return all
}

func TestFirstInstanceAloneThenBatches(t *testing.T) {
	r, instances := &Rollout{From: "1", To: "2"}, newFleet(10, Serving)
	step := r.Next(0, limits, instances, 0)
	if !reflect.DeepEqual(step.Replace, []string{"n00"}) || step.Remaining != 10 || step.StartAs != "2" {
		t.Fatalf("%+v", step)
	}
	instances[0] = InstanceStatus{"n00", "2", Starting, 0, 0}
	if step = r.Next(second, limits, instances, 0); step.State != Paused || step.Reason != WatchingFirst || len(step.Replace) > 0 {
		t.Fatalf("%+v", step)
	}
	instances[0].Phase, instances[0].Since = Recovering, 2*second
	if step = r.Next(3*second, limits, instances, 0); step.Reason != InstanceRecovering {
		t.Fatalf("%+v", step)
	}
	instances[0].Phase, instances[0].Since = Serving, 4*second
	if step = r.Next(5*second, limits, instances, 0); step.Reason != WatchingFirst {
		t.Fatalf("%+v", step)
	}
	if step = r.Next(9*second, limits, instances, 1); step.Reason != ColdOffice {
		t.Fatalf("%+v", step)
	}
	if step = r.Next(10*second, limits, instances, 0); !reflect.DeepEqual(step.Replace, []string{"n01", "n02"}) {
		t.Fatalf("%+v", step)
	}
	instances[1].Phase, instances[2].Phase = Draining, Down
	if step = r.Next(11*second, limits, instances, 0); step.Reason != TooManyAway {
		t.Fatalf("%+v", step)
	}
	r.ColdSince = 0
	instances[1].Phase, instances[2].Phase = Serving, Serving
	r.Next(20*second, limits, instances, 1)
	if step = r.Next(51*second, limits, instances, 1); len(step.Replace) != 2 {
		t.Fatalf("a list that always shows a cold office stops the rollout for good: %+v", step)
	}
}

func TestBadVersionHaltsAndRollsBack(t *testing.T) {
	for _, back := range []bool{true, false} {
		l := limits
		l.RollBack = back
		r, instances := &Rollout{From: "1", To: "2"}, newFleet(5, Serving)
		instances[0] = InstanceStatus{"n00", "2", Down, second, 1}
		step := r.Next(2*second, l, instances, 0)
		if !back {
			if step.State != Halted || step.Reason != Crashed || len(step.Replace) > 0 {
				t.Fatalf("%+v", step)
			}
			continue
		}
		if step.State != RollingBack || !reflect.DeepEqual(step.Replace, []string{"n00"}) || step.StartAs != "1" {
			t.Fatalf("%+v", step)
		}
		instances[0] = InstanceStatus{"n00", "1", Serving, 3 * second, 0}
		if step = r.Next(4*second, l, instances, 0); step.State != RolledBack || step.Remaining != 0 {
			t.Fatalf("%+v", step)
		}
	}
	r, instances := &Rollout{From: "1", To: "2"}, newFleet(5, Serving)
	instances[0] = InstanceStatus{"n00", "2", Starting, 0, 0}
	if step := r.Next(11*second, limits, instances, 0); step.Reason != StartFailed {
		t.Fatalf("%+v", step)
	}
}

func TestCrashLoopsAndBadConfig(t *testing.T) {
	earlyExits := 0
	for n := range crashLoopExits {
		var v ExitAction
		if v, earlyExits = DecideRestart(Exit{1, second}, earlyExits); (v == CrashLoop) != (n == crashLoopExits-1) {
			t.Fatal(n, v)
		}
	}
	if v, n := DecideRestart(Exit{1, 60 * second}, 5); v != Restart || n != 0 {
		t.Error(v, n)
	}
	if v, _ := DecideRestart(Exit{2, 0}, 0); v != BadConfig {
		t.Error(v)
	}
}

// With random fleets, crashes, kills of the supervisor and slow starts, the rollout never takes more instances away
// than allowed, replaces none while an office is cold, always ends, and decides the same after a restart from its
// stored state.
func TestRandomRollouts(t *testing.T) {
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.checks", "2000")
	flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "n")
		bad := rapid.Bool().Draw(t, "bad")
		l := limits
		l.RollBack = rapid.Bool().Draw(t, "back")
		l.MaxAwayFraction = rapid.Float64Range(0, 1).Draw(t, "away")
		instances := newFleet(n, Serving)
		r := &Rollout{From: "1", To: "2"}
		limit := max(int(l.MaxAwayFraction*float64(n)), 1)
		starts := rapid.SliceOfN(rapid.Int64Range(0, 4), n*2, n*2).Draw(t, "starts")
		coldFrom, coldFor := rapid.Int64Range(0, 60).Draw(t, "cold from"), rapid.Int64Range(0, 25).Draw(t, "cold for")
		for tick := range int64(3000) {
			now := (tick + 100) * second
			for k := range instances { // simulates the supervisor and the instances
				s := &instances[k]
				took := 1 + starts[(k+int(tick))%len(starts)]
				switch {
				case s.Phase == Draining && now-s.Since >= second:
					s.Phase, s.Since = Starting, now
				case s.Phase == Starting && s.Generation == "2" && bad && k%3 == 1:
					s.Phase, s.Since, s.Crashes = Down, now, s.Crashes+1
				case s.Phase == Starting && now-s.Since >= took*second:
					s.Phase, s.Since = Recovering, now
				case s.Phase == Recovering && now-s.Since >= 2*second:
					s.Phase, s.Since = Serving, now
				}
			}
			coldOffices := 0
			if tick >= coldFrom && tick < coldFrom+coldFor {
				coldOffices = 1
			}
			copied := *r
			step := r.Next(now, l, instances, coldOffices)
			if step2 := copied.Next(now, l, instances, coldOffices); !reflect.DeepEqual(step, step2) || copied != *r {
				t.Fatal("another decision on the same input")
			}
			if step.State == Done || step.State == RolledBack || step.State == Halted {
				if step.State == Done && (step.Remaining > 0 || bad && n > 1) {
					t.Fatalf("done with %d left", step.Remaining)
				}
				if step.State != Done && !bad {
					t.Fatalf("%s of a good version: %+v", step.State, step)
				}
				return
			}
			away, took := 0, 0
			for _, s := range instances {
				if s.Phase != Serving && s.Phase != Recovering {
					away++
				} else if contains(step.Replace, s.Name) {
					took++
				}
			}
			if took > 0 && away+took > limit {
				t.Fatalf("%d away and %d more of %d, limit %d", away, took, n, limit)
			}
			if took > 0 && coldOffices > 0 {
				t.Fatal("replaced while an office is cold")
			}
			for k := range instances {
				if contains(step.Replace, instances[k].Name) {
					instances[k] = InstanceStatus{instances[k].Name, step.StartAs, Draining, now, 0}
				}
			}
		}
		t.Fatal("the rollout does not end")
	})
}
