package exchange

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"masthill/control"
	"masthill/internal/netcase"
)

const ms = time.Millisecond

func settings() control.Settings {
	return control.Settings{GroupSize: 4, ThisNode: -1, MaxAttempts: 4, MayCancel: true, RetryAfter: true,
		MaxRetryAfter: int64(2 * time.Second), Fields: []string{"spare", "total"}, Resolution: int64(5 * ms),
		ClearWait: int64(300 * ms), DrainGrace: int64(time.Second), FallMultiple: 2,
		FallWindow: int64(time.Second), ColdFrom: 0.3, ColdSpan: int64(15 * time.Second),
		Classes: []control.Class{{Aim: int64(1200 * ms), Deadline: int64(9 * time.Second), Worth: 1,
			LateValue: 0.25, Cells: []int{0, 1}}}}
}

// bed is a core between a caller and offices that note what they are told, on a clock of its own.
type bed struct {
	*core
	t     *testing.T
	at    time.Time
	said  []string // what offices and callers were told
	stray []string
	recs  []Record
}

func newBed(t *testing.T) *bed {
	b := &bed{t: t, at: time.Unix(1_000_000, 0)}
	x, err := New(Options{Settings: settings(), Seed: 3, Now: func() time.Time { return b.at }, Log: netcase.Quiet(),
		Record:           func(r Record) { b.recs = append(b.recs, r) },
		OnUnknownRelease: func(id string, cut bool) { b.stray = append(b.stray, id) }})
	if err != nil {
		t.Fatal(err)
	}
	x.SetOffices(b)
	b.core = x.core
	b.tick()
	b.members([]Office{office(10, 0, control.Serving, 0), office(11, 1, control.Serving, 0)}, true)
	b.said = nil
	return b
}

func office(id uint64, cell int, state control.EntryState, ready int64) Office {
	return Office{Entry: control.Entry{Server: id, Cell: cell, Share: 1, State: state, ReadyAt: ready}, Addr: "a:1"}
}

func (b *bed) say(format string, a ...any) { b.said = append(b.said, fmt.Sprintf(format, a...)) }

func (b *bed) Answer(id string, f FinalAnswer) {
	b.say("answer %s %s %s %dms", id, f.Verdict, f.Description, f.Wait.Milliseconds())
}
func (b *bed) Release(id string, cut bool)            { b.say("release %s %v", id, cut) }
func (b *bed) UpdateList([]Office, bool)              {}
func (b *bed) Invite(a Attempt)                       { b.say("invite %s %d at %d", a.ID, a.Index, a.Server) }
func (b *bed) Cancel(s uint64, id string, n int)      { b.say("cancel %s %d at %d", id, n, s) }
func (b *bed) Bye(s uint64, id string, n int, c bool) { b.say("bye %s at %d %v", id, s, c) }
func (b *bed) ReportSilence(s uint64, _ time.Time, check bool) {
	if check {
		b.say("check %d", s)
	}
}

// want compares what was said since the last look.
func (b *bed) want(lines ...string) {
	b.t.Helper()
	if !slices.Equal(b.said, lines) {
		b.t.Errorf("said\n  %s\nwant\n  %s", strings.Join(b.said, "\n  "), strings.Join(lines, "\n  "))
	}
	b.said = nil
}

// pass moves the clock on in small steps, as alarms set alarms.
func (b *bed) pass(d time.Duration) {
	for end := b.at.Add(d); b.at.Before(end); {
		b.at = b.at.Add(min(5*ms, end.Sub(b.at)))
		b.tick()
	}
}

func (b *bed) call(id string, patience time.Duration) {
	b.arrive(Setup{ID: id, Owner: "o", Name: "open-log", Number: "17", Taken: b.at, ExpiresAt: b.at.Add(patience)}, b)
}

func TestACallFromSetUpToRelease(t *testing.T) {
	b := newBed(t)
	b.call("a", 3*time.Second)
	b.want("invite a 0 at 10")
	b.pass(50 * ms)
	b.stood(10, "a", 0, []byte("d"))
	b.want("answer a stands d 0ms")
	b.stood(10, "a", -1, nil) // told again
	b.pass(time.Second)
	b.released(10, "a", false, []float64{3, 4})
	b.want("release a false")
	b.released(10, "a", false, nil)
	b.want()
	if len(b.stray) != 0 || b.open != 0 || len(b.calls) != 0 {
		t.Errorf("left behind: %v, %d open, %d calls", b.stray, b.open, len(b.calls))
	}
	if r := b.recs[len(b.recs)-1]; len(b.recs) != 2 || !b.recs[0].Ended.IsZero() || r.Verdict != "stands" || r.Attempts != 1 || r.Server != 10 || r.Cut ||
		r.Answered.Sub(r.Taken) != 50*ms || r.Ended.Sub(r.Taken) != 1050*ms {
		t.Errorf("records %+v", b.recs)
	}
}

// A call that no office answers has its one answer before its caller leaves, and its attempt is given up first.
func TestSilentOfficeIsAnsweredInTime(t *testing.T) {
	b := newBed(t)
	b.call("a", time.Second)
	b.pass(time.Second - answerLead)
	b.want("invite a 0 at 10", "cancel a 0 at 10", "answer a refused  2000ms")
	b.pass(9 * time.Second)
	b.stood(10, "a", -1, nil) // the answer comes after all
	b.want("bye a at 10 true")
}

func TestReleaseWaitBetweenAttempts(t *testing.T) {
	b := newBed(t)
	b.call("a", 3*time.Second)
	b.ended(10, "a", 0, Result{Outcome: control.ConnectionLost})
	b.want("invite a 0 at 10")
	b.pass(300 * ms)
	b.want() // the margin: the rule counts from the end as it was written
	b.pass(900 * ms)
	if len(b.said) != 1 || !strings.HasPrefix(b.said[0], "invite a 1 ") {
		t.Errorf("said %v", b.said)
	}
}

// What the module must never do is kept back here.
func TestGuardsOfTheCore(t *testing.T) {
	b := newBed(t)
	b.call("a", 3*time.Second)
	b.said = nil
	cl := b.calls["a"]
	b.send(cl, control.Action{Kind: control.Send, Call: "a", Server: 11, Wait: int64(time.Second)})
	b.want() // a second attempt out
	cl.inFlight, cl.clearAt = false, b.now+1
	b.send(cl, control.Action{Kind: control.Send, Call: "a", Server: 11, Wait: int64(time.Second)})
	cl.clearAt = 0
	b.send(cl, control.Action{Kind: control.Send, Call: "a", Server: 12, Wait: int64(time.Second)})
	for _, line := range b.said {
		if strings.HasPrefix(line, "invite") {
			t.Errorf("sent: %v", b.said)
		}
	}
}

// Set-ups that are turned away at once, by the thousands, stayed in memory until their callers' time was up, which a
// bad client may put at a day.
func TestWhatIsRefusedIsNotKept(t *testing.T) {
	b := newBed(t)
	names := Names{Classes: []Class{{Name: "open-log", Deadline: 9 * time.Second}}}
	day, s := maxPatience.Milliseconds(), Setup{ID: "a", Number: "17", Dest: -1, Description: make([]byte, 16<<10)}
	if err := names.Apply(&s, "open-log", "", &day, b.at); err != nil || s.ExpiresAt.Sub(s.Taken) != 9*time.Second {
		t.Fatalf("patience %v, %v", s.ExpiresAt.Sub(s.Taken), err)
	}
	s.Owner = "sip"
	b.arrive(s, b)
	call := weak.Make(b.calls["a"])
	b.ended(10, "a", 0, Result{Outcome: control.Unavailable})
	b.ended(11, "a", 0, Result{Outcome: control.Unavailable})
	if b.open != 0 {
		t.Fatalf("said %v", b.said)
	}
	runtime.GC()
	if call.Value() != nil {
		t.Error("the call is kept after its refusal")
	}
	b.pass(10 * time.Second)
	if len(b.alarms) != 0 {
		t.Errorf("%d alarms left", len(b.alarms))
	}
}

// A module that forgets a call must not leave its caller without an answer.
func TestForgottenCallIsAnswered(t *testing.T) {
	b := newBed(t)
	b.call("a", time.Second)
	b.said = nil
	b.module.Handle(b.now, control.Event{Kind: control.Aborted, Call: "a"})
	b.pass(time.Second)
	if n := len(b.said); n == 0 || b.said[n-1] != "answer a failed  0ms" {
		t.Errorf("said %v", b.said)
	}
}

// A set-up sent again joins the running call or gets the recorded answer, and never makes a second attempt.
func TestResend(t *testing.T) {
	b := newBed(t)
	b.call("a", 3*time.Second)
	b.call("a", 3*time.Second)
	b.want("invite a 0 at 10")
	b.stood(10, "a", 0, []byte("d"))
	b.call("a", 3*time.Second)
	b.want("answer a stands d 0ms", "answer a stands d 0ms")
	b.released(10, "a", true, nil)
	b.call("a", 3*time.Second)
	b.want("release a true", "answer a stands d 0ms", "release a true")
	b.arrive(Setup{ID: "a", Owner: "another"}, b)
	b.want("answer a failed  0ms")
	b.call("b", 100*ms)
	b.pass(100 * ms)
	b.said = nil
	b.call("b", 3*time.Second)
	b.want("answer b refused  200ms")
	b.pass(retention + time.Second)
	b.call("c", time.Second)
	b.ended(10, "c", 0, Result{Outcome: control.Unavailable})
	if b.kept["a"] != nil || len(b.queue) != 1 {
		t.Errorf("kept for ever: %d", len(b.queue))
	}
}

func TestCallerLeaves(t *testing.T) {
	b := newBed(t)
	b.call("a", 3*time.Second)
	b.giveUp("a", "another", nil)
	b.giveUp("a", "o", new(bed)) // the call is another connection's by now
	b.want("invite a 0 at 10")
	b.giveUp("a", "o", nil)
	b.want("cancel a 0 at 10")
	b.pass(4 * time.Second)
	b.want()
	b.call("b", 3*time.Second)
	b.stood(10, "b", 0, nil)
	b.said = nil
	b.hangUp("b", "another")
	b.want()
	b.hangUp("b", "o")
	b.want("bye b at 10 false")
	b.call("c", 3*time.Second)
	b.stood(10, "c", 0, nil)
	b.said = nil
	b.giveUp("c", "o", nil) // its answer crossed the caller's leaving
	b.want("bye c at 10 false")
}

// Calls at a processor that died, started anew or left the list are released towards their callers.
func TestCutCalls(t *testing.T) {
	for _, end := range []func(b *bed){
		func(b *bed) { b.lost(10, b.now+1) },
		func(b *bed) { b.members([]Office{office(10, 0, control.Removed, 0)}, false) },
		func(b *bed) { b.members([]Office{office(10, 0, control.Serving, b.now+1)}, false) },
	} {
		b := newBed(t)
		b.call("a", 3*time.Second)
		b.stood(10, "a", 0, nil)
		b.said = nil
		end(b)
		b.want("release a true")
	}
	// The list tells of a start late: what was sent after it stands at the new process.
	b := newBed(t)
	b.call("a", 3*time.Second)
	b.stood(10, "a", 0, nil)
	b.said = nil
	b.members([]Office{office(10, 0, control.Serving, b.now-1)}, false)
	b.want()
}

func TestSilentOfficeWithCallsIsLookedAt(t *testing.T) {
	b := newBed(t)
	b.call("a", 3*time.Second)
	b.stood(10, "a", 0, nil)
	b.said = nil
	for range 5 {
		b.pass(time.Second)
		b.state(10, []float64{1, 2})
	}
	b.want()
	b.pass(4500 * ms)
	if len(b.said) == 0 || b.said[0] != "check 10" {
		t.Errorf("said %v", b.said)
	}
}

func TestReleaseOfACallFromBeforeTheStart(t *testing.T) {
	b := newBed(t)
	b.released(10, "old", true, nil)
	if !slices.Equal(b.stray, []string{"old"}) {
		t.Errorf("strays %v", b.stray)
	}
}

func TestRunTakesEventsInOrderAndRings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &bed{t: t}
		x, err := New(Options{Settings: settings(), Seed: 3, Now: time.Now, Log: netcase.Quiet()})
		if err != nil {
			t.Fatal(err)
		}
		x.SetOffices(b)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		for range x.most + 1 { // a long list, known before Run takes anything
			x.UpdateOffices([]Office{office(10, 0, control.Serving, 0)}, true)
		}
		go func() { done <- x.Run(ctx) }()
		now := time.Now()
		for _, id := range []string{"a", "b"} {
			x.Submit(Setup{ID: id, Taken: now, ExpiresAt: now.Add(time.Second)}, b)
		}
		x.Accepted(10, "a", 0, nil)
		if n := x.UnansweredCalls(); n != 1 {
			t.Errorf("%d open", n)
		}
		x.RefuseAll()
		b.want("invite a 0 at 10", "invite b 0 at 10", "answer a stands  0ms", "cancel b 0 at 10",
			"answer b refused  2000ms")
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		// After its end nobody is held up, however much still comes.
		for range x.most + 1 {
			x.State(10, nil)
		}
		x.RefuseAll()
		if n := x.UnansweredCalls(); n != 0 {
			t.Errorf("%d open after the end", n)
		}
	})
}

// A full list that left an office out, without naming it as gone, left the calls that stood there without a release.
func TestAFullListThatLeavesAnOfficeOut(t *testing.T) {
	b := newBed(t)
	b.call("a", 3*time.Second)
	b.stood(10, "a", 0, nil)
	b.said = nil
	b.members([]Office{office(11, 1, control.Serving, 0)}, true)
	b.want("release a true")
	b.members([]Office{office(11, 1, control.Serving, 0)}, true)
	b.want()
}

// A start of an office that goes back in time cuts nothing that was sent after it.
func TestAStartThatGoesBack(t *testing.T) {
	b := newBed(t)
	b.members([]Office{office(10, 0, control.Serving, b.at.Add(-ms).UnixNano())}, false)
	b.call("a", 3*time.Second)
	b.stood(10, "a", 0, nil)
	b.said = nil
	b.members([]Office{office(10, 0, control.Serving, b.at.Add(-time.Hour).UnixNano())}, false)
	b.members([]Office{office(10, 0, control.Serving, 0)}, false)
	b.want()
}

// A call that is handed over after all that waited was refused, as the program ends, would wait for an answer that
// nobody gives.
func TestACallAfterAllWereRefused(t *testing.T) {
	b := newBed(t)
	b.call("a", 3*time.Second)
	b.refuseAll()
	b.said = nil
	b.call("b", 3*time.Second)
	b.want("answer b refused  2000ms")
}

// While a caller is away, the attempt that is out goes on, and no other is sent for nobody; a caller that comes back has
// its call, or the answer on record.
func TestACallerThatIsAway(t *testing.T) {
	b := newBed(t)
	b.call("a", 3*time.Second)
	b.left("a", "another")
	b.left("a", "o")
	b.want("invite a 0 at 10")
	b.ended(10, "a", 0, Result{Outcome: control.ConnectionRefused}) // another office would be tried at once
	b.want("answer a refused  2000ms")
	b.call("a", 3*time.Second)
	b.want("answer a refused  2000ms")

	b = newBed(t)
	b.call("b", 3*time.Second)
	b.left("b", "o")
	b.call("b", 3*time.Second) // it is back
	b.said = nil
	b.ended(10, "b", 0, Result{Outcome: control.ConnectionRefused})
	b.want("invite b 1 at 11")
}
