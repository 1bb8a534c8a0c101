package exchange

import (
	"slices"
	"testing"
	"time"

	"masthill/control"
)

// clientStub is a front end whose clients have a presence that the test sets.
type clientStub struct {
	*harness
	presence Presence
}

func (c *clientStub) Presence(string) Presence { return c.presence }

// submitFrom submits a call of a front end.
func (b *harness) submitFrom(from Caller, id string) {
	b.submit(Setup{ID: id, Owner: "o", ClassName: "open-log", Number: "17", ReceivedAt: b.testTime, ExpiresAt: b.testTime.Add(3 * time.Second)}, from)
}

// A client that has gone gets no attempt, neither a first nor a later one, even if that has not been reported to the
// core. The refusal is recorded.
func TestNoAttemptForDepartedClient(t *testing.T) {
	b := newHarness(t)
	from := &clientStub{b, Gone}
	b.submitFrom(from, "a")
	b.expect("answer a refused  2000ms")
	from.presence = Connected
	b.submitFrom(from, "b")
	from.presence = Gone
	b.attemptEnded(10, "b", 0, Result{Outcome: control.ConnectionRefused}) // another office would be tried at once
	b.expect("invite b 0 at 10", "answer b refused  2000ms")
	if b.unanswered != 0 || b.controller.Held() != 0 {
		t.Errorf("%d open, %d held", b.unanswered, b.controller.Held())
	}
}

// While input of a client is unread, its attempt waits, up to maxPresenceWait.
func TestAttemptWaitsForPendingInput(t *testing.T) {
	b := newHarness(t)
	from := &clientStub{b, InputPending}
	b.submitFrom(from, "a")
	b.advance(20 * ms)
	b.expect()
	from.presence = Connected
	b.advance(100 * ms)
	b.expect("invite a 0 at 10")
	if cl := b.calls["a"]; cl.sentAt <= cl.ReceivedAt.UnixNano() {
		t.Error("sentAt is from before the attempt was sent")
	}
	b.attemptEstablished(10, "a", 0, nil)
	b.expect("answer a stands  0ms")

	from.presence = InputPending
	b.submitFrom(from, "b") // the reader never handles the input
	b.advance(maxPresenceWait + 300*ms)
	b.expect("answer b refused  2000ms")
	b.submitFrom(from, "c") // the reader handles the input, which is a cancel
	b.advance(20 * ms)
	from.presence = Gone
	b.giveUp("c", "o", nil)
	b.advance(time.Second)
	if slices.ContainsFunc(b.outputs, func(line string) bool { return line != "cancel c 0 at 10" && line != "cancel c 0 at 11" }) {
		t.Errorf("got %q", b.outputs)
	}
	b.outputs = nil
	from.presence = InputPending
	b.submitFrom(from, "d")
	b.advance(20 * ms)
	from.presence = Gone // which has not been reported to the core
	b.advance(100 * ms)
	b.expect("answer d refused  2000ms")
	b.advance(10 * time.Second)
	if b.unanswered != 0 || b.controller.Held() != 0 || len(b.timers) > 2 {
		t.Errorf("%d open, %d held, %d timers", b.unanswered, b.controller.Held(), len(b.timers))
	}
}

// A server that drains while an attempt to it waits gets none.
func TestServerDrainsWhileAttemptWaits(t *testing.T) {
	b := newHarness(t)
	from := &clientStub{b, InputPending}
	b.submitFrom(from, "a")
	b.updateOffices([]Office{newOffice(10, 0, control.Draining, 0)}, false)
	from.presence = Connected
	b.advance(100 * ms)
	b.expect("invite a 1 at 11")
}

// The offices' side can ask for the client's presence of an attempt that it has queued.
func TestAttemptReportsPresence(t *testing.T) {
	b := newHarness(t)
	from := &clientStub{b, Connected}
	recorder := &attemptRecorder{harness: b}
	b.offices = recorder
	b.submitFrom(from, "a")
	from.presence = Gone
	if len(recorder.attempts) != 1 || recorder.attempts[0].Presence() != Gone {
		t.Errorf("sent %d", len(recorder.attempts))
	}
}

// attemptRecorder keeps the attempts that it is sent.
type attemptRecorder struct {
	*harness
	attempts []Attempt
}

func (i *attemptRecorder) Invite(a Attempt) { i.attempts = append(i.attempts, a) }
