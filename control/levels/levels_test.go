package levels

import (
	"encoding/json"
	"flag"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"masthill/control"
	"masthill/control/join"
)

func settings() control.Settings {
	return control.Settings{RetryAfter: true, MaxRetryAfter: 2 * second, Classes: []control.Class{{TargetDelay: 1200e6, Deadline: 9 * second, Value: 1}}}
}

// play offers 20 calls per second for some seconds; control turns away the given part of them.
func play(l *Levels, from, seconds int64, turnedAway float64) int64 {
	now := from
	debt := 0.0
	for n := int64(0); n < 20*seconds; n++ {
		now += second / 20
		call := fmt.Sprint(now)
		if l.Admit(now, join.Call{ID: call}).Kind != join.Admit {
			continue
		}
		if debt += turnedAway; debt >= 1 {
			debt--
			l.OnAction(now, control.Action{Kind: control.Refuse, Call: call})
		} else {
			l.OnEvent(now, control.Event{Kind: control.Established, Call: call, Elapsed: 50e6})
		}
	}
	return now
}

func TestLevelFollowsAShortage(t *testing.T) {
	var changes []Change
	l := New(settings(), 1, 100*second, nil, func(c Change) { changes = append(changes, c) })
	now := play(l, 100*second, 20, 0)
	if l.Level() != Normal || len(changes) > 0 {
		t.Fatal(l.Status(now))
	}
	now = play(l, now, 20, 0.2)
	if l.Level() != Reduced || l.Status(now).Reason != TurnedAway {
		t.Fatalf("%+v", l.Status(now))
	}
	r := l.Admit(now, join.Call{ID: "r", Redialed: true})
	if r.Kind != join.Refuse || r.Reason != Redial || r.Wait < second || r.Wait > 2*second {
		t.Error(r)
	}
	if r := l.Admit(now, join.Call{ID: "f"}); r.Kind != join.Admit {
		t.Error("a first call is not admitted", r)
	}
	play(l, now, 40, 0)
	if l.Level() != Normal || len(changes) != 4 || changes[3].Reason != Calm {
		t.Errorf("%+v", changes)
	}
}

// A peak of three seconds raises the level once at most and lowers it once; an oscillation every few seconds does not
// make the level flap.
func TestPeakAndOscillation(t *testing.T) {
	l := New(settings(), 1, 100*second, nil, nil)
	now := play(l, 100*second, 20, 0)
	now = play(l, now, 3, 0.3)
	play(l, now, 60, 0)
	if n := len(l.History()); n > 4 || l.Level() != Normal {
		t.Errorf("%d changes for one peak: %+v", n, l.History())
	}
	l = New(settings(), 1, 100*second, nil, nil)
	now = 100 * second
	const oscillations = 20
	for range oscillations {
		now = play(l, now, 4, 0)
		now = play(l, now, 4, 0.25)
	}
	if n := len(l.History()); n > oscillations || n > 3 {
		t.Errorf("%d changes in %d oscillations: %+v", n, oscillations, l.History())
	}
}

func TestOwnShortageIsAnEmergency(t *testing.T) {
	l := New(settings(), 1, 100*second, nil, nil)
	now := 100 * second
	for range 40 {
		now += second / 10
		l.OnGauge(now, Memory, 0.95)
	}
	if l.Level() != Emergency || l.History()[0].Reason != Memory {
		t.Fatalf("%+v", l.Status(now))
	}
	admitted := 0
	for n := range 1000 {
		if l.Admit(now, join.Call{ID: fmt.Sprint(n)}).Kind == join.Admit {
			admitted++
		}
	}
	if admitted < 20 || admitted > 100 {
		t.Errorf("%d of 1000 admitted", admitted)
	}
	for range 600 {
		now += second / 10
		l.OnGauge(now, Memory, 0.1)
	}
	if l.Level() != Normal {
		t.Errorf("%+v", l.Status(now))
	}
}

// The history survives a restart, as JSON, without the changes that are invalid. The level starts afresh.
func TestHistorySurvivesARestart(t *testing.T) {
	l := New(settings(), 1, 100*second, nil, nil)
	now := play(l, 100*second, 20, 0.3)
	text, err := json.Marshal(l.History())
	if err != nil || !strings.Contains(string(text), `"to":"reduced"`) {
		t.Fatalf("%s, %v", text, err)
	}
	var history []Change
	if err := json.Unmarshal(text, &history); err != nil || !reflect.DeepEqual(history, l.History()) {
		t.Fatal(history, err)
	}
	restarted := New(settings(), 2, now, nil, nil)
	restarted.Restore(now, history)
	if !reflect.DeepEqual(restarted.History(), history) || restarted.Level() != Normal || restarted.Status(now).Reason != Calm {
		t.Errorf("%+v", restarted.Status(now))
	}
	history[0].At = now + second
	restarted = New(settings(), 2, now, nil, nil)
	if restarted.Restore(now, history); len(restarted.History()) != len(history)-1 {
		t.Errorf("%+v", restarted.History())
	}
	many := make([]Change, 2*maxHistory)
	if restarted.Restore(now, many); len(restarted.History()) > 2*maxHistory {
		t.Error("the kept state is not limited")
	}
	if err := new(Level).UnmarshalText([]byte("odd")); err == nil {
		t.Error("an unknown level is accepted")
	}
}

// A missing reading is no good news: without calls and gauges the level stays as it is. Calls turned away during
// recovery are no shortage.
func TestMissingReadingsAndRecovery(t *testing.T) {
	l := New(settings(), 1, 100*second, nil, nil)
	now := play(l, 100*second, 20, 0.2)
	for range 60 {
		now += second
		l.OnEvent(now, control.Event{Kind: control.TimerFired})
	}
	if l.Level() != Reduced {
		t.Errorf("the level changed without readings: %v", l.Level())
	}
	l = New(settings(), 1, 100*second, func(int64) bool { return true }, nil)
	if play(l, 100*second, 30, 0.9); l.Level() != Busy {
		t.Errorf("calls turned away during recovery led to %v", l.Level())
	}
}

// In random sequences of events, the kept state is limited, two changes are at least the minimum stay apart, each
// change is by one step (except into Emergency) and explained by its reason, and the same events lead to the same
// decisions.
func TestRandomHistories(t *testing.T) {
	flag.Set("rapid.seed", "11")
	flag.Set("rapid.checks", "2000")
	flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		type step struct {
			After int64
			Kind  int
			X     float64
			N     int
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{rapid.Int64Range(0, 2*second).Draw(t, "after"), rapid.IntRange(0, 7).Draw(t, "kind"), rapid.Float64Range(0, 1.2).Draw(t, "x"), rapid.IntRange(1, 60).Draw(t, "n")}
		}), 1, 120).Draw(t, "steps")
		run := func() ([]Change, []join.Decision) {
			var changes []Change
			var decisions []join.Decision
			l, now := New(settings(), 3, 100*second, nil, func(c Change) { changes = append(changes, c) }), 100*second
			for k, s := range steps {
				for n := range s.N {
					now += s.After / int64(s.N)
					call := fmt.Sprint(k, "-", n)
					switch s.Kind {
					case 0, 1:
						l.OnGauge(now, []string{Memory, ListAge}[s.Kind], s.X)
						continue
					}
					r := l.Admit(now, join.Call{ID: call, Redialed: s.Kind == 2})
					decisions = append(decisions, r)
					switch {
					case r.Kind != join.Admit:
					case s.Kind < 5:
						l.OnEvent(now, control.Event{Kind: control.Established, Call: call, Elapsed: int64(s.X * 1e9)})
					case s.Kind == 5:
						l.OnEvent(now, control.Event{Kind: control.AttemptEnded, Call: call, Outcome: control.Saturated})
					default:
						l.OnAction(now, control.Action{Kind: control.Refuse, Call: call})
					}
				}
			}
			if len(l.history) > maxHistory || len(l.gauges) > 2 {
				t.Fatal("the kept state is not limited")
			}
			return changes, decisions
		}
		changes, decisions := run()
		for k, c := range changes {
			if k > 0 && c.At-changes[k-1].At < minStay {
				t.Fatalf("two changes within %d ms", (c.At-changes[k-1].At)/1e6)
			}
			if c.To > c.From && c.To != Emergency && (c.To != c.From+1 || c.Readings[c.Reason] < entryScores[c.To]) {
				t.Fatalf("change not explained by its reason: %+v", c)
			}
			if c.To == Emergency && c.Readings[c.Reason] < 1 {
				t.Fatalf("change not explained by its reason: %+v", c)
			}
			if c.To < c.From {
				for name, x := range c.Readings {
					if c.From != Emergency && x >= leaveFactor*entryScores[c.From] || c.To != c.From-1 {
						t.Fatalf("level left with reading %s at %v: %+v", name, x, c)
					}
				}
			}
		}
		changes2, decisions2 := run()
		if !reflect.DeepEqual(changes, changes2) || !reflect.DeepEqual(decisions, decisions2) {
			t.Fatal("the same events led to different decisions")
		}
	})
}
