package exchange

import (
	"slices"
	"testing"
	"time"

	"masthill/control"
)

// client is a front that knows of its clients what a test wants.
type clientStub struct {
	*harness
	presence Presence
}

func (c *clientStub) Presence(string) Presence { return c.presence }

// dial hands a call of a client over.
func (b *harness) submitFrom(from Caller, id string) {
	b.submit(Setup{ID: id, Owner: "o", Name: "open-log", Number: "17", Taken: b.testTime, ExpiresAt: b.testTime.Add(3 * time.Second)}, from)
}

// A client that has gone gets no attempt, first or further, whatever the core has heard of it. The refusal is on record.
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

// While input of a client waits to be read, its attempt waits: for that long, and no longer.
func TestAttemptWaitsForPendingInput(t *testing.T) {
	b := newHarness(t)
	from := &clientStub{b, InputPending}
	b.submitFrom(from, "a")
	b.advance(20 * ms)
	b.expect()
	from.presence = Connected
	b.advance(100 * ms)
	b.expect("invite a 0 at 10")
	if cl := b.calls["a"]; cl.sentAt <= cl.Taken.UnixNano() {
		t.Error("its time counts from before it was sent")
	}
	b.attemptEstablished(10, "a", 0, nil)
	b.expect("answer a stands  0ms")

	from.presence = InputPending
	b.submitFrom(from, "b") // the reader does not come to it
	b.advance(maxPresenceWait + 300*ms)
	b.expect("answer b refused  2000ms")
	b.submitFrom(from, "c") // it comes to it, and the client has cancelled
	b.advance(20 * ms)
	from.presence = Gone
	b.giveUp("c", "o", nil)
	b.advance(time.Second)
	if slices.ContainsFunc(b.outputs, func(line string) bool { return line != "cancel c 0 at 10" && line != "cancel c 0 at 11" }) {
		t.Errorf("said %q", b.outputs)
	}
	b.outputs = nil
	from.presence = InputPending
	b.submitFrom(from, "d")
	b.advance(20 * ms)
	from.presence = Gone // and the core has not heard of it
	b.advance(100 * ms)
	b.expect("answer d refused  2000ms")
	b.advance(10 * time.Second)
	if b.unanswered != 0 || b.controller.Held() != 0 || len(b.timers) > 2 {
		t.Errorf("%d open, %d held, %d alarms", b.unanswered, b.controller.Held(), len(b.timers))
	}
}

// A server that drains by the time at which its attempt may begin gets none.
func TestServerDrainsWhileAttemptWaits(t *testing.T) {
	b := newHarness(t)
	from := &clientStub{b, InputPending}
	b.submitFrom(from, "a")
	b.updateOffices([]Office{newOffice(10, 0, control.Draining, 0)}, false)
	from.presence = Connected
	b.advance(100 * ms)
	b.expect("invite a 1 at 11")
}

// Whoever keeps an attempt back before it is written can ask for the client too.
func TestAttemptReportsPresence(t *testing.T) {
	b := newHarness(t)
	from := &clientStub{b, Connected}
	sent := &attemptRecorder{harness: b}
	b.offices = sent
	b.submitFrom(from, "a")
	from.presence = Gone
	if len(sent.attempts) != 1 || sent.attempts[0].Presence() != Gone {
		t.Errorf("sent %d", len(sent.attempts))
	}
}

// invited keeps the attempts.
type attemptRecorder struct {
	*harness
	attempts []Attempt
}

func (i *attemptRecorder) Invite(a Attempt) { i.attempts = append(i.attempts, a) }
