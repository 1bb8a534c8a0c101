package recovery

import (
	"flag"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"masthill/control"
	"masthill/control/join"
)

const second = int64(1e9)

func settings() Settings {
	return Settings{Planned: 120, Control: control.Settings{GroupSize: 20, ColdFraction: 0.31, WarmUpTime: 15 * second, CrashMultiple: 2,
		CrashWindow: second, RetryAfter: true, MaxRetryAfter: 2 * second,
		Classes: []control.Class{{TargetDelay: 1200 * millisecond, Deadline: 9 * second, Value: 1}}}}
}

func listUpdate(full bool, entries ...control.Entry) control.Event {
	return control.Event{Kind: control.ListUpdate, FullList: full, Entries: entries}
}

func entry(id uint64, readyAt int64) control.Entry {
	return control.Entry{Server: id, ReadyAt: readyAt}
}

func sendSetUp(r *Recovery, now int64, call string, server uint64) {
	r.OnAction(now, control.Action{Kind: control.Send, Call: call, Server: server})
}

// The window grows with evidence and is full without it; recovery ends when every server is proven.
func TestEvidenceEndsRecovery(t *testing.T) {
	r, now := New(settings(), 1, 100*second, nil), 100*second
	r.OnEvent(now, listUpdate(true, entry(1, 0)))
	for n := range 2 {
		if ok, why := r.HasCapacity(now, 1); !ok {
			t.Fatal(n, why)
		}
		sendSetUp(r, now, fmt.Sprint(n), 1)
	}
	if ok, why := r.HasCapacity(now, 1); ok || why != Unproven {
		t.Fatal("a third set-up has room with two unanswered", ok, why)
	}
	if got := r.Admit(now, join.Call{ID: "x", ReceivedAt: now, NotAfter: now + 3*second}); got.Kind != join.Hold || got.Reason != NoCapacity {
		t.Fatal(got)
	}
	for n := range 6 {
		call := fmt.Sprint(n)
		r.OnEvent(now, control.Event{Kind: control.Established, Call: call, Server: 1, Elapsed: 50 * millisecond})
		sendSetUp(r, now, fmt.Sprint(n+2), 1)
	}
	if st := r.Status(now); st.State != "done" || st.Reason != "evidence" {
		t.Fatalf("%+v", st)
	}
	if got := r.Admit(now, join.Call{ID: "y", ReceivedAt: now, NotAfter: now + 3*second}); got.Kind != join.Admit {
		t.Fatal(got)
	}
}

// Late and refused set-ups shrink the window.
func TestLateSetUpsShrinkTheWindow(t *testing.T) {
	r, now := New(settings(), 1, 100*second, nil), 100*second
	r.OnEvent(now, listUpdate(true, entry(1, 0)))
	sendSetUp(r, now, "a", 1)
	r.OnEvent(now, control.Event{Kind: control.Established, Call: "a", Server: 1, Elapsed: 900 * millisecond})
	sendSetUp(r, now, "b", 1)
	if ok, _ := r.HasCapacity(now, 1); ok {
		t.Fatal("a late set-up did not shrink the window")
	}
	r.OnEvent(now, control.Event{Kind: control.AttemptEnded, Call: "b", Server: 1, Outcome: control.Saturated})
	if ok, _ := r.HasCapacity(now, 1); !ok {
		t.Fatal("no room with nothing outstanding")
	}
	if r.Recovering(now+15*second) || !r.Recovering(now+14*second) {
		t.Fatal("recovery does not end at the time limit")
	}
}

// Evidence from a snapshot counts while it is recent and is about the same start of the server.
func TestEvidenceFromASnapshot(t *testing.T) {
	now := 100 * second
	for _, tc := range []struct {
		name string
		e    Evidence
		done bool
	}{
		{"fresh", Evidence{1, 7, now - second, 50 * millisecond}, true},
		{"old", Evidence{1, 7, now - 6*second, 50 * millisecond}, false},
		{"another start", Evidence{1, 8, now - second, 50 * millisecond}, false},
		{"slow", Evidence{1, 7, now - second, 900 * millisecond}, false},
		{"from the future", Evidence{1, 7, now + second, 50 * millisecond}, false},
	} {
		r := New(settings(), 1, 100*second, []Evidence{tc.e})
		r.OnEvent(now, listUpdate(true, entry(1, 7)))
		if r.Recovering(now) == tc.done {
			t.Errorf("%s: %+v", tc.name, r.Status(now))
		}
	}
}

// A redial is refused only when as many calls are held as can be served soon, with a wait from the upper half of the
// range.
func TestRedialsAreRefused(t *testing.T) {
	r, now := New(settings(), 1, 100*second, nil), 100*second
	r.OnEvent(now, listUpdate(true, entry(1, 0)))
	sendSetUp(r, now, "a", 1)
	sendSetUp(r, now, "b", 1)
	for n := range maxHeldPerServer {
		if got := r.Admit(now, join.Call{ID: fmt.Sprint(n), Redialed: true, ReceivedAt: now, NotAfter: now + 3*second}); got.Kind != join.Hold {
			t.Fatal(n, got)
		}
	}
	if got := r.Admit(now, join.Call{ID: "first", ReceivedAt: now, NotAfter: now + 3*second}); got.Kind != join.Admit {
		t.Fatal("a first call beyond those held is not left to control", got)
	}
	got := r.Admit(now, join.Call{ID: "redial", Redialed: true, ReceivedAt: now, NotAfter: now + 3*second})
	if got.Kind != join.Refuse || got.Reason != Redial || got.Wait < second || got.Wait > 2*second {
		t.Fatal(got)
	}
	if got := r.Admit(now+301*millisecond, join.Call{ID: "0", ReceivedAt: now, NotAfter: now + 3*second, TimesHeld: 9}); got.Kind != join.Admit {
		t.Fatal("a call held for a quarter of its target delay is not left to control", got)
	}
}

// In random sequences of events, neither a cold server's budget nor a window is exceeded, no call is held beyond its
// part of the target delay, recovery ends at the time limit and keeps no state then, and the same events lead to the same
// decisions.
func TestRandomHistories(t *testing.T) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "2000")
	flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		type step struct {
			After   int64
			Kind    int
			Server  uint64
			Elapsed int64
			Ready   int64
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{rapid.Int64Range(0, second/2).Draw(t, "after"), rapid.IntRange(0, 9).Draw(t, "kind"),
				rapid.Uint64Range(1, 3).Draw(t, "server"), rapid.Int64Range(0, 2*second).Draw(t, "elapsed"), rapid.Int64Range(0, 20).Draw(t, "ready")}
		}), 1, 300).Draw(t, "steps")
		play := func() (log []string) {
			r, now := New(settings(), 7, 100*second, nil), 100*second
			startedAt, n := now, 0
			sent := map[uint64][]int64{} // when set-ups were sent to cold servers
			unanswered := map[string]uint64{}
			readyAt := map[uint64]int64{}
			for id := uint64(1); id <= 3; id++ {
				readyAt[id] = now - 5*second*int64(id)
			}
			r.OnEvent(now, listUpdate(true, entry(1, readyAt[1]), entry(2, readyAt[2]), entry(3, readyAt[3])))
			for _, s := range steps {
				now += s.After
				n++
				call := fmt.Sprint(n)
				switch {
				case s.Kind < 6:
					got := r.Admit(now, join.Call{ID: call, Redialed: s.Kind == 0, ReceivedAt: now - s.Elapsed/4, NotAfter: now + 3*second})
					log = append(log, got.Kind.String(), got.Reason)
					if got.Kind == join.Hold && (!r.Recovering(now) || s.Elapsed/4 > 300*millisecond) {
						t.Fatalf("held at %d ms", s.Elapsed/4/millisecond)
					}
					if got.Kind != join.Admit {
						break
					}
					r.OnEvent(now, control.Event{Kind: control.Arrival, Call: call})
					if ok, _ := r.HasCapacity(now, s.Server); !ok {
						break
					}
					sendSetUp(r, now, call, s.Server)
					unanswered[call] = s.Server
					if r.Recovering(now) && now-readyAt[s.Server] < 15*second {
						sent[s.Server] = append(sent[s.Server], now)
					}
				case s.Kind == 9:
					readyAt[s.Server] = now - s.Ready*second
					sent[s.Server] = nil
					r.OnEvent(now, listUpdate(false, entry(s.Server, readyAt[s.Server])))
				default:
					for c, at := range unanswered {
						if at == s.Server && c == fmt.Sprint(n-1) {
							delete(unanswered, c)
							kind := control.Established
							if s.Kind == 8 {
								kind = control.AttemptEnded
							}
							r.OnEvent(now, control.Event{Kind: kind, Call: c, Server: at, Elapsed: s.Elapsed, Outcome: control.TimedOut})
						}
					}
				}
				st := r.Status(now)
				log = append(log, fmt.Sprintf("%+v", st))
				if now-startedAt >= 15*second && st.State != "done" {
					t.Fatalf("recovery does not end: %+v", st)
				}
			}
			for id, times := range sent { // in any period: the rate at its end times its length, the saved credit, and one
				for k := range times {
					for j := k; j < len(times); j++ {
						seconds := float64(times[j]-times[k]) / 1e9
						if limit := coldLoadFactor*120.0/3/20*seconds + 2 + 1; float64(j-k+1) > limit {
							t.Fatalf("server %d: %d set-ups in %.2f s, limit %.1f", id, j-k+1, seconds, limit)
						}
					}
				}
			}
			if r.done && (len(r.servers)+len(r.outstanding)+len(r.held)+len(r.restored) > 0) {
				t.Fatal("state is kept after the end")
			}
			return log
		}
		if !reflect.DeepEqual(play(), play()) {
			t.Fatal("the same events led to different decisions")
		}
	})
}
