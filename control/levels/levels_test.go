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
	return control.Settings{RetryAfter: true, MaxRetryAfter: 2 * second, Classes: []control.Class{{Aim: 1200e6, Deadline: 9 * second, Worth: 1}}}
}

// play offers 20 calls a second for so long, of which a part is turned away by control.
func play(l *Levels, from, seconds int64, turned float64) int64 {
	now := from
	debt := 0.0
	for n := int64(0); n < 20*seconds; n++ {
		now += second / 20
		call := fmt.Sprint(now)
		if l.Admit(now, join.Call{ID: call}).Verdict != join.Admit {
			continue
		}
		if debt += turned; debt >= 1 {
			debt--
			l.OnAction(now, control.Action{Kind: control.Refuse, Call: call})
		} else {
			l.OnEvent(now, control.Event{Kind: control.Stands, Call: call, Elapsed: 50e6})
		}
	}
	return now
}

func TestAShortageAndItsEnd(t *testing.T) {
	var told []Change
	l := New(settings(), 1, 100*second, nil, func(c Change) { told = append(told, c) })
	now := play(l, 100*second, 20, 0)
	if l.Level() != Normal || len(told) > 0 {
		t.Fatal(l.Status(now))
	}
	now = play(l, now, 20, 0.2)
	if l.Level() != Reduced || l.Status(now).Reason != TurnedAway {
		t.Fatalf("%+v", l.Status(now))
	}
	r := l.Admit(now, join.Call{ID: "r", Retry: true})
	if r.Verdict != join.Refuse || r.Reason != Redial || r.Wait < second || r.Wait > 2*second {
		t.Error(r)
	}
	if r := l.Admit(now, join.Call{ID: "f"}); r.Verdict != join.Admit {
		t.Error("a first try is taken", r)
	}
	play(l, now, 40, 0)
	if l.Level() != Normal || len(told) != 4 || told[3].Reason != Calm {
		t.Errorf("%+v", told)
	}
}

// A jump of three seconds goes up once at most and comes back once; a swing every few seconds does not flip the level.
func TestJumpAndSwing(t *testing.T) {
	l := New(settings(), 1, 100*second, nil, nil)
	now := play(l, 100*second, 20, 0)
	now = play(l, now, 3, 0.3)
	play(l, now, 60, 0)
	if n := len(l.History()); n > 4 || l.Level() != Normal {
		t.Errorf("%d changes for one jump: %+v", n, l.History())
	}
	l = New(settings(), 1, 100*second, nil, nil)
	now = 100 * second
	const swings = 20
	for range swings {
		now = play(l, now, 4, 0)
		now = play(l, now, 4, 0.25)
	}
	if n := len(l.History()); n > swings || n > 3 {
		t.Errorf("%d changes in %d swings: %+v", n, swings, l.History())
	}
}

func TestOwnShortageIsAnEmergency(t *testing.T) {
	l := New(settings(), 1, 100*second, nil, nil)
	now := 100 * second
	for range 40 {
		now += second / 10
		l.Gauge(now, Memory, 0.95)
	}
	if l.Level() != Emergency || l.History()[0].Reason != Memory {
		t.Fatalf("%+v", l.Status(now))
	}
	admitted := 0
	for n := range 1000 {
		if l.Admit(now, join.Call{ID: fmt.Sprint(n)}).Verdict == join.Admit {
			admitted++
		}
	}
	if admitted < 20 || admitted > 100 {
		t.Errorf("%d of 1000 admitted", admitted)
	}
	for range 600 {
		now += second / 10
		l.Gauge(now, Memory, 0.1)
	}
	if l.Level() != Normal {
		t.Errorf("%+v", l.Status(now))
	}
}

// The history goes on over a restart, as JSON; what makes no sense in it is left out. The level begins anew.
func TestHistoryOverARestart(t *testing.T) {
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
	again := New(settings(), 2, now, nil, nil)
	again.Restore(now, history)
	if !reflect.DeepEqual(again.History(), history) || again.Level() != Normal || again.Status(now).Reason != Calm {
		t.Errorf("%+v", again.Status(now))
	}
	history[0].At = now + second
	again = New(settings(), 2, now, nil, nil)
	if again.Restore(now, history); len(again.History()) != len(history)-1 {
		t.Errorf("%+v", again.History())
	}
	many := make([]Change, 2*historyMost)
	if again.Restore(now, many); len(again.History()) > 2*historyMost {
		t.Error("unbounded")
	}
	if err := new(Level).UnmarshalText([]byte("odd")); err == nil {
		t.Error("an unknown level")
	}
}

// A missing reading is no good news: without calls and gauges the level stays where it is. A recovery is no shortage.
func TestMissingReadingsAndRecovery(t *testing.T) {
	l := New(settings(), 1, 100*second, nil, nil)
	now := play(l, 100*second, 20, 0.2)
	for range 60 {
		now += second
		l.OnEvent(now, control.Event{Kind: control.TimerFired})
	}
	if l.Level() != Reduced {
		t.Errorf("silence counted as calm: %v", l.Level())
	}
	l = New(settings(), 1, 100*second, func(int64) bool { return true }, nil)
	if play(l, 100*second, 30, 0.9); l.Level() != Busy {
		t.Errorf("a recovery led to %v", l.Level())
	}
}

// Over random histories: what is kept is bounded, no two changes within the least stay, each is one step (but for the
// instance's own shortage) and explained by its own reason, and the same events bring the same decisions.
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
			var told []Change
			var log []join.Decision
			l, now := New(settings(), 3, 100*second, nil, func(c Change) { told = append(told, c) }), 100*second
			for k, s := range steps {
				for n := range s.N {
					now += s.After / int64(s.N)
					call := fmt.Sprint(k, "-", n)
					switch s.Kind {
					case 0, 1:
						l.Gauge(now, []string{Memory, ListAge}[s.Kind], s.X)
						continue
					}
					r := l.Admit(now, join.Call{ID: call, Retry: s.Kind == 2})
					log = append(log, r)
					switch {
					case r.Verdict != join.Admit:
					case s.Kind < 5:
						l.OnEvent(now, control.Event{Kind: control.Stands, Call: call, Elapsed: int64(s.X * 1e9)})
					case s.Kind == 5:
						l.OnEvent(now, control.Event{Kind: control.AttemptEnded, Call: call, Outcome: control.Saturated})
					default:
						l.OnAction(now, control.Action{Kind: control.Refuse, Call: call})
					}
				}
			}
			if len(l.history) > historyMost || len(l.gauges) > 2 {
				t.Fatal("unbounded")
			}
			return told, log
		}
		told, log := run()
		for k, c := range told {
			if k > 0 && c.At-told[k-1].At < leastStay {
				t.Fatalf("two changes within %d ms", (c.At-told[k-1].At)/1e6)
			}
			if c.To > c.From && c.To != Emergency && (c.To != c.From+1 || c.Readings[c.Reason] < enter[c.To]) {
				t.Fatalf("not explained: %+v", c)
			}
			if c.To == Emergency && c.Readings[c.Reason] < 1 {
				t.Fatalf("not explained: %+v", c)
			}
			if c.To < c.From {
				for name, x := range c.Readings {
					if c.From != Emergency && x >= leavePart*enter[c.From] || c.To != c.From-1 {
						t.Fatalf("left with %s at %v: %+v", name, x, c)
					}
				}
			}
		}
		told2, log2 := run()
		if !reflect.DeepEqual(told, told2) || !reflect.DeepEqual(log, log2) {
			t.Fatal("the same events brought other decisions")
		}
	})
}
