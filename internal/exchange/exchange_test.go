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
	return control.Settings{GroupSize: 4, OwnCell: -1, MaxAttempts: 4, MayCancel: true, RetryAfter: true,
		MaxRetryAfter: int64(2 * time.Second), ReportFields: []string{"spare", "total"}, Resolution: int64(5 * ms),
		ReleaseWait: int64(300 * ms), DrainGrace: int64(time.Second), CrashMultiple: 2,
		CrashWindow: int64(time.Second), ColdFraction: 0.3, WarmUpTime: int64(15 * time.Second),
		Classes: []control.Class{{TargetDelay: int64(1200 * ms), Deadline: int64(9 * time.Second), Value: 1,
			LateValue: 0.25, Cells: []int{0, 1}}}}
}

// harness is a core with a simulated clock, between a caller and offices that record what is sent to them.
type harness struct {
	*core
	t               *testing.T
	testTime        time.Time
	outputs         []string // what was sent to offices and callers, one line each
	unknownReleases []string
	records         []Record
}

func newHarness(t *testing.T) *harness {
	b := &harness{t: t, testTime: time.Unix(1_000_000, 0)}
	x, err := New(Options{Settings: settings(), Seed: 3, Now: func() time.Time { return b.testTime }, Log: netcase.DiscardLogger(),
		Record:           func(r Record) { b.records = append(b.records, r) },
		OnUnknownRelease: func(id string, cut bool) { b.unknownReleases = append(b.unknownReleases, id) }})
	if err != nil {
		t.Fatal(err)
	}
	x.SetOffices(b)
	b.core = x.core
	b.tick()
	b.updateOffices([]Office{newOffice(10, 0, control.Serving, 0), newOffice(11, 1, control.Serving, 0)}, true)
	b.outputs = nil
	return b
}

func newOffice(id uint64, cell int, state control.EntryState, ready int64) Office {
	return Office{Entry: control.Entry{Server: id, Cell: cell, Share: 1, State: state, ReadyAt: ready}, Addr: "a:1"}
}

func (b *harness) outputf(format string, a ...any) {
	b.outputs = append(b.outputs, fmt.Sprintf(format, a...))
}

func (b *harness) Answer(id string, f FinalAnswer) {
	b.outputf("answer %s %s %s %dms", id, f.Kind, f.Description, f.RetryAfter.Milliseconds())
}
func (b *harness) Release(id string, cut bool)            { b.outputf("release %s %v", id, cut) }
func (b *harness) UpdateList([]Office, bool)              {}
func (b *harness) Invite(a Attempt)                       { b.outputf("invite %s %d at %d", a.ID, a.Index, a.Server) }
func (b *harness) Cancel(s uint64, id string, n int)      { b.outputf("cancel %s %d at %d", id, n, s) }
func (b *harness) Bye(s uint64, id string, n int, c bool) { b.outputf("bye %s at %d %v", id, s, c) }
func (b *harness) ReportSilence(s uint64, _ time.Time, check bool) {
	if check {
		b.outputf("check %d", s)
	}
}

// expect compares the outputs since the last comparison.
func (b *harness) expect(lines ...string) {
	b.t.Helper()
	if !slices.Equal(b.outputs, lines) {
		b.t.Errorf("got\n  %s\nwant\n  %s", strings.Join(b.outputs, "\n  "), strings.Join(lines, "\n  "))
	}
	b.outputs = nil
}

// advance moves the clock in small steps, since timers set timers.
func (b *harness) advance(d time.Duration) {
	for end := b.testTime.Add(d); b.testTime.Before(end); {
		b.testTime = b.testTime.Add(min(5*ms, end.Sub(b.testTime)))
		b.tick()
	}
}

func (b *harness) submitCall(id string, patience time.Duration) {
	b.submit(Setup{ID: id, Owner: "o", ClassName: "open-log", Number: "17", ReceivedAt: b.testTime, ExpiresAt: b.testTime.Add(patience)}, b)
}

func TestCallFromSetUpToRelease(t *testing.T) {
	b := newHarness(t)
	b.submitCall("a", 3*time.Second)
	b.expect("invite a 0 at 10")
	b.advance(50 * ms)
	b.attemptEstablished(10, "a", 0, []byte("d"))
	b.expect("answer a stands d 0ms")
	b.attemptEstablished(10, "a", -1, nil) // repeated
	b.advance(time.Second)
	b.callReleased(10, "a", false, []float64{3, 4})
	b.expect("release a false")
	b.callReleased(10, "a", false, nil)
	b.expect()
	if len(b.unknownReleases) != 0 || b.unanswered != 0 || len(b.calls) != 0 {
		t.Errorf("left behind: %v, %d open, %d calls", b.unknownReleases, b.unanswered, len(b.calls))
	}
	if r := b.records[len(b.records)-1]; len(b.records) != 2 || !b.records[0].EndedAt.IsZero() || r.AnswerKind != "stands" || r.Attempts != 1 || r.Server != 10 || r.Cut ||
		r.AnsweredAt.Sub(r.ReceivedAt) != 50*ms || r.EndedAt.Sub(r.ReceivedAt) != 1050*ms {
		t.Errorf("records %+v", b.records)
	}
}

// A call that no office answers gets its one answer before its deadline, after its attempt has been cancelled.
func TestSilentOfficeIsAnsweredInTime(t *testing.T) {
	b := newHarness(t)
	b.submitCall("a", time.Second)
	b.advance(time.Second - answerMargin)
	b.expect("invite a 0 at 10", "cancel a 0 at 10", "answer a refused  2000ms")
	b.advance(9 * time.Second)
	b.attemptEstablished(10, "a", -1, nil) // the office accepts after all
	b.expect("bye a at 10 true")
}

func TestReleaseWaitBetweenAttempts(t *testing.T) {
	b := newHarness(t)
	b.submitCall("a", 3*time.Second)
	b.attemptEnded(10, "a", 0, Result{Outcome: control.ConnectionLost})
	b.expect("invite a 0 at 10")
	b.advance(300 * ms)
	b.expect() // releaseWaitMargin: the rule counts from when the end was written
	b.advance(900 * ms)
	if len(b.outputs) != 1 || !strings.HasPrefix(b.outputs[0], "invite a 1 ") {
		t.Errorf("got %v", b.outputs)
	}
}

// The core does not send attempts that break a rule, even if the controller asks for them.
func TestCoreKeepsBackInvalidAttempts(t *testing.T) {
	b := newHarness(t)
	b.submitCall("a", 3*time.Second)
	b.outputs = nil
	cl := b.calls["a"]
	b.send(cl, control.Action{Kind: control.Send, Call: "a", Server: 11, Wait: int64(time.Second)})
	b.expect() // a second attempt in flight
	cl.inFlight, cl.notBefore = false, b.now+1
	b.send(cl, control.Action{Kind: control.Send, Call: "a", Server: 11, Wait: int64(time.Second)})
	cl.notBefore = 0
	b.send(cl, control.Action{Kind: control.Send, Call: "a", Server: 12, Wait: int64(time.Second)})
	for _, line := range b.outputs {
		if strings.HasPrefix(line, "invite") {
			t.Errorf("sent: %v", b.outputs)
		}
	}
}

// Guards against a leak: set-ups that were refused at once, by the thousands, stayed in memory until their deadlines,
// which a bad client may set to a day.
func TestRefusedCallIsFreed(t *testing.T) {
	b := newHarness(t)
	names := Names{Classes: []Class{{Name: "open-log", Deadline: 9 * time.Second}}}
	day, s := maxPatience.Milliseconds(), Setup{ID: "a", Number: "17", FirstChoice: -1, Description: make([]byte, 16<<10)}
	if err := names.Apply(&s, "open-log", "", &day, b.testTime); err != nil || s.ExpiresAt.Sub(s.ReceivedAt) != 9*time.Second {
		t.Fatalf("patience %v, %v", s.ExpiresAt.Sub(s.ReceivedAt), err)
	}
	s.Owner = "sip"
	b.submit(s, b)
	call := weak.Make(b.calls["a"])
	b.attemptEnded(10, "a", 0, Result{Outcome: control.Unavailable})
	b.attemptEnded(11, "a", 0, Result{Outcome: control.Unavailable})
	if b.unanswered != 0 {
		t.Fatalf("got %v", b.outputs)
	}
	runtime.GC()
	if call.Value() != nil {
		t.Error("the call is kept after its refusal")
	}
	b.advance(10 * time.Second)
	if len(b.timers) != 0 {
		t.Errorf("%d timers left", len(b.timers))
	}
}

// A call that the controller has lost still gets an answer.
func TestForgottenCallIsAnswered(t *testing.T) {
	b := newHarness(t)
	b.submitCall("a", time.Second)
	b.outputs = nil
	b.controller.Handle(b.now, control.Event{Kind: control.Aborted, Call: "a"})
	b.advance(time.Second)
	if n := len(b.outputs); n == 0 || b.outputs[n-1] != "answer a failed  0ms" {
		t.Errorf("got %v", b.outputs)
	}
}

// A repeated set-up joins the running call or gets the recorded answer, and never causes a second attempt.
func TestRepeatedSetUp(t *testing.T) {
	b := newHarness(t)
	b.submitCall("a", 3*time.Second)
	b.submitCall("a", 3*time.Second)
	b.expect("invite a 0 at 10")
	b.attemptEstablished(10, "a", 0, []byte("d"))
	b.submitCall("a", 3*time.Second)
	b.expect("answer a stands d 0ms", "answer a stands d 0ms")
	b.callReleased(10, "a", true, nil)
	b.submitCall("a", 3*time.Second)
	b.expect("release a true", "answer a stands d 0ms", "release a true")
	b.submit(Setup{ID: "a", Owner: "another"}, b)
	b.expect("answer a failed  0ms")
	b.submitCall("b", 100*ms)
	b.advance(100 * ms)
	b.outputs = nil
	b.submitCall("b", 3*time.Second)
	b.expect("answer b refused  200ms")
	b.advance(answerRetention + time.Second)
	b.submitCall("c", time.Second)
	b.attemptEnded(10, "c", 0, Result{Outcome: control.Unavailable})
	if b.answers.get("a") != nil || b.answers.len() != 1 {
		t.Errorf("%d answers still recorded", b.answers.len())
	}
}

func TestCallerGivesUp(t *testing.T) {
	b := newHarness(t)
	b.submitCall("a", 3*time.Second)
	b.giveUp("a", "another", nil)
	b.giveUp("a", "o", new(harness)) // another caller has joined the call
	b.expect("invite a 0 at 10")
	b.giveUp("a", "o", nil)
	b.expect("cancel a 0 at 10")
	b.advance(4 * time.Second)
	b.expect()
	b.submitCall("b", 3*time.Second)
	b.attemptEstablished(10, "b", 0, nil)
	b.outputs = nil
	b.hangUp("b", "another")
	b.expect()
	b.hangUp("b", "o")
	b.expect("bye b at 10 false")
	b.submitCall("c", 3*time.Second)
	b.attemptEstablished(10, "c", 0, nil)
	b.outputs = nil
	b.giveUp("c", "o", nil) // the answer crossed the caller's giving up
	b.expect("bye c at 10 false")
}

// Calls at an office that died, restarted or left the list are released towards their callers. One that left the list gets a
// release too: another office may have come up at its address and taken the call.
func TestCutCalls(t *testing.T) {
	for _, tc := range []struct {
		end  func(b *harness)
		want []string
	}{
		{func(b *harness) { b.officeLost(10, b.now+1) }, []string{"release a true"}},
		{func(b *harness) { b.updateOffices([]Office{newOffice(10, 0, control.Removed, 0)}, false) }, []string{"bye a at 10 true", "release a true"}},
		{func(b *harness) { b.updateOffices([]Office{newOffice(10, 0, control.Serving, b.now+1)}, false) }, []string{"release a true"}},
	} {
		b := newHarness(t)
		b.submitCall("a", 3*time.Second)
		b.attemptEstablished(10, "a", 0, nil)
		b.outputs = nil
		tc.end(b)
		b.expect(tc.want...)
	}
	// The list reports a start late: what was sent after it is established at the new process.
	b := newHarness(t)
	b.submitCall("a", 3*time.Second)
	b.attemptEstablished(10, "a", 0, nil)
	b.outputs = nil
	b.updateOffices([]Office{newOffice(10, 0, control.Serving, b.now-1)}, false)
	b.expect()
}

func TestSilentOfficeWithCallsIsChecked(t *testing.T) {
	b := newHarness(t)
	b.submitCall("a", 3*time.Second)
	b.attemptEstablished(10, "a", 0, nil)
	b.outputs = nil
	for range 5 {
		b.advance(time.Second)
		b.reportReceived(10, []float64{1, 2})
	}
	b.expect()
	b.advance(4500 * ms)
	if len(b.outputs) == 0 || b.outputs[0] != "check 10" {
		t.Errorf("got %v", b.outputs)
	}
}

func TestReleaseOfUnknownCall(t *testing.T) {
	b := newHarness(t)
	b.callReleased(10, "old", true, nil)
	if !slices.Equal(b.unknownReleases, []string{"old"}) {
		t.Errorf("unknown releases %v", b.unknownReleases)
	}
}

func TestRunHandlesEventsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &harness{t: t}
		x, err := New(Options{Settings: settings(), Seed: 3, Now: time.Now, Log: netcase.DiscardLogger()})
		if err != nil {
			t.Fatal(err)
		}
		x.SetOffices(b)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		for range x.maxInbox + 1 { // a long list, handed over before Run handles anything
			x.UpdateOffices([]Office{newOffice(10, 0, control.Serving, 0)}, true)
		}
		go func() { done <- x.Run(ctx) }()
		now := time.Now()
		for _, id := range []string{"a", "b"} {
			x.Submit(Setup{ID: id, ReceivedAt: now, ExpiresAt: now.Add(time.Second)}, b)
		}
		x.Accepted(10, "a", 0, nil)
		if n := x.UnansweredCalls(); n != 1 {
			t.Errorf("%d open", n)
		}
		x.RefuseAll()
		b.expect("invite a 0 at 10", "invite b 0 at 10", "answer a stands  0ms", "cancel b 0 at 10",
			"answer b refused  2000ms")
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		// After its end no method blocks, however many events follow.
		for range x.maxInbox + 1 {
			x.State(10, nil)
		}
		x.RefuseAll()
		if n := x.UnansweredCalls(); n != 0 {
			t.Errorf("%d open after the end", n)
		}
	})
}

// Guards against lost releases: a full list that omitted an office without naming it as removed left the calls
// established there without a release.
func TestFullListOmitsOffice(t *testing.T) {
	b := newHarness(t)
	b.submitCall("a", 3*time.Second)
	b.attemptEstablished(10, "a", 0, nil)
	b.outputs = nil
	b.updateOffices([]Office{newOffice(11, 1, control.Serving, 0)}, true)
	b.expect("bye a at 10 true", "release a true") // another office may be at its address, and have the call
	b.updateOffices([]Office{newOffice(11, 1, control.Serving, 0)}, true)
	b.expect()
}

// A start time of an office that goes back cuts no call whose attempt was sent after it.
func TestOfficeStartTimeGoesBack(t *testing.T) {
	b := newHarness(t)
	b.updateOffices([]Office{newOffice(10, 0, control.Serving, b.testTime.Add(-ms).UnixNano())}, false)
	b.submitCall("a", 3*time.Second)
	b.attemptEstablished(10, "a", 0, nil)
	b.outputs = nil
	b.updateOffices([]Office{newOffice(10, 0, control.Serving, b.testTime.Add(-time.Hour).UnixNano())}, false)
	b.updateOffices([]Office{newOffice(10, 0, control.Serving, 0)}, false)
	b.expect()
}

// A call that is submitted after all waiting calls were refused at shutdown is refused too; it would never be answered.
func TestCallAfterRefuseAll(t *testing.T) {
	b := newHarness(t)
	b.submitCall("a", 3*time.Second)
	b.refuseAll()
	b.outputs = nil
	b.submitCall("b", 3*time.Second)
	b.expect("answer b refused  2000ms")
}

// Guards against a wrong "trying again is harmless": at the end of the process, and for a client that had gone, a call was
// refused although an attempt of it might have run and its class must not be repeated.
func TestCallThatMayHaveRunIsNotRefused(t *testing.T) {
	end := func(b *harness) { b.refuseAll() }
	attemptLost := func(b *harness) { b.attemptEnded(10, "a", 0, Result{Outcome: control.ConnectionLost}) }
	for name, c := range map[string]struct {
		before func(*harness)
		effect control.Effect
		want   string
	}{
		"attempt in flight":    {end, control.SingleShot, "failed  0ms"},
		"repeatable":           {end, control.Idempotent, "refused  2000ms"},
		"between two attempts": {func(b *harness) { attemptLost(b); end(b) }, control.SingleShot, "failed  0ms"},
		"attempt that ran not": {func(b *harness) { b.attemptEnded(10, "a", 0, Result{Outcome: control.Saturated}); end(b) }, control.SingleShot, "refused  2000ms"},
		"client gone, not sent": {func(b *harness) {
			b.callerDisconnected("a", "o")
			b.attemptEnded(10, "a", 0, Result{Outcome: control.ConnectionRefused})
		}, control.SingleShot, "refused  2000ms"},
		"client gone, one lost": {func(b *harness) { b.callerDisconnected("a", "o"); attemptLost(b); b.advance(time.Second) }, control.Idempotent, "refused  2000ms"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.settings.Classes[0].Effect = c.effect
			b.submitCall("a", 3*time.Second)
			c.before(b)
			if got := b.outputs[len(b.outputs)-1]; got != "answer a "+c.want {
				t.Errorf("got %q, want the answer %q", b.outputs, c.want)
			}
		})
	}
}

// limitedCaller is a caller whose front end delivers only short descriptions.
type limitedCaller struct{ *harness }

func (limitedCaller) CanDeliver(_ string, answer FinalAnswer) bool {
	return len(answer.Description) < 2
}

// Guards against an answer that the caller can't read, while its call stands at the office.
func TestUndeliverableAnswerFails(t *testing.T) {
	b := newHarness(t)
	for _, id := range []string{"a", "b"} {
		b.submit(Setup{ID: id, Owner: "o", ReceivedAt: b.testTime, ExpiresAt: b.testTime.Add(time.Second)}, limitedCaller{b})
	}
	b.outputs = nil
	b.attemptEstablished(10, "a", 0, []byte("long"))
	b.expect("bye a at 10 true", "answer a failed  0ms")
	b.attemptEstablished(10, "b", 0, []byte("s"))
	b.expect("answer b stands s 0ms")
	b.callReleased(10, "a", false, nil) // crossed the release
	b.expect()
}

// Guards against memory that grows with the rate of calls: the timers of a call that had been cancelled or answered stayed until
// its caller's deadline.
func TestEndedCallsLeaveNoTimers(t *testing.T) {
	b := newHarness(t)
	for k := range 1000 {
		id := fmt.Sprint(k)
		b.submitCall(id, 9*time.Second)
		if k%2 == 0 {
			b.giveUp(id, "o", nil)
		} else {
			b.attemptEstablished(b.calls[id].server, id, 0, nil)
		}
	}
	b.advance(time.Second)         // the controller's own timers are due by then
	if n := len(b.timers); n > 2 { // the checks of unanswered set-ups and of silent offices
		t.Errorf("%d timers of ended and established calls", n)
	}
}

// Guards against a call that runs twice: the record of a call whose client had left was dropped for those of calls that another
// client set up and cancelled at full speed, and the call was sent to an office again when its client came back.
func TestRecordOfAttemptedCallOutlastsAFlood(t *testing.T) {
	b := newHarness(t)
	b.submitCall("a", 3*time.Second)
	b.giveUp("a", "o", nil)
	b.expect("invite a 0 at 10", "cancel a 0 at 10")
	b.refusingAll = true // no attempt is made for the others
	for k := range 2 * b.answers.maxAnswers {
		b.submitCall(fmt.Sprint(k), 3*time.Second)
	}
	b.refusingAll = false
	b.outputs = nil
	b.submitCall("a", 3*time.Second)
	b.expect("answer a failed  0ms")
	if n := b.answers.len(); n > b.answers.maxAnswers {
		t.Errorf("%d answers recorded, at most %d expected", n, b.answers.maxAnswers)
	}
}

// While a caller is disconnected, its attempt in flight goes on but no other is sent. A caller that comes back rejoins
// its call or gets the recorded answer.
func TestDisconnectedCaller(t *testing.T) {
	b := newHarness(t)
	b.submitCall("a", 3*time.Second)
	b.callerDisconnected("a", "another")
	b.callerDisconnected("a", "o")
	b.expect("invite a 0 at 10")
	b.attemptEnded(10, "a", 0, Result{Outcome: control.ConnectionRefused}) // another office would be tried at once
	b.expect("answer a refused  2000ms")
	b.submitCall("a", 3*time.Second)
	b.expect("answer a refused  2000ms")

	b = newHarness(t)
	b.submitCall("b", 3*time.Second)
	b.callerDisconnected("b", "o")
	b.submitCall("b", 3*time.Second) // the caller is back
	b.outputs = nil
	b.attemptEnded(10, "b", 0, Result{Outcome: control.ConnectionRefused})
	b.expect("invite b 1 at 11")
}
