package exchange

import (
	"slices"
	"testing"
	"time"

	"masthill/control"
)

// client is a front that knows of its clients what a test wants.
type client struct {
	*bed
	is Presence
}

func (c *client) Presence(string) Presence { return c.is }

// dial hands a call of a client over.
func (b *bed) dial(from Caller, id string) {
	b.arrive(Setup{ID: id, Owner: "o", Name: "open-log", Number: "17", Taken: b.at, ExpiresAt: b.at.Add(3 * time.Second)}, from)
}

// A client that has gone gets no attempt, first or further, whatever the core has heard of it. The refusal is on record.
func TestAClientThatHasGone(t *testing.T) {
	b := newBed(t)
	from := &client{b, Gone}
	b.dial(from, "a")
	b.want("answer a refused  2000ms")
	from.is = Connected
	b.dial(from, "b")
	from.is = Gone
	b.ended(10, "b", 0, Result{Outcome: control.ConnectionRefused}) // another office would be tried at once
	b.want("invite b 0 at 10", "answer b refused  2000ms")
	if b.open != 0 || b.module.Held() != 0 {
		t.Errorf("%d open, %d held", b.open, b.module.Held())
	}
}

// While input of a client waits to be read, its attempt waits: for that long, and no longer.
func TestAClientWhoseInputWaits(t *testing.T) {
	b := newBed(t)
	from := &client{b, InputPending}
	b.dial(from, "a")
	b.pass(20 * ms)
	b.want()
	from.is = Connected
	b.pass(100 * ms)
	b.want("invite a 0 at 10")
	if cl := b.calls["a"]; cl.sentAt <= cl.Taken.UnixNano() {
		t.Error("its time counts from before it was sent")
	}
	b.stood(10, "a", 0, nil)
	b.want("answer a stands  0ms")

	from.is = InputPending
	b.dial(from, "b") // the reader does not come to it
	b.pass(unheardLimit + 300*ms)
	b.want("answer b refused  2000ms")
	b.dial(from, "c") // it comes to it, and the client has cancelled
	b.pass(20 * ms)
	from.is = Gone
	b.giveUp("c", "o", nil)
	b.pass(time.Second)
	if slices.ContainsFunc(b.said, func(line string) bool { return line != "cancel c 0 at 10" && line != "cancel c 0 at 11" }) {
		t.Errorf("said %q", b.said)
	}
	b.said = nil
	from.is = InputPending
	b.dial(from, "d")
	b.pass(20 * ms)
	from.is = Gone // and the core has not heard of it
	b.pass(100 * ms)
	b.want("answer d refused  2000ms")
	b.pass(10 * time.Second)
	if b.open != 0 || b.module.Held() != 0 || len(b.alarms) > 2 {
		t.Errorf("%d open, %d held, %d alarms", b.open, b.module.Held(), len(b.alarms))
	}
}

// A server that drains by the time at which its attempt may begin gets none.
func TestAServerThatDrainsWhileAnAttemptWaits(t *testing.T) {
	b := newBed(t)
	from := &client{b, InputPending}
	b.dial(from, "a")
	b.members([]Office{office(10, 0, control.Draining, 0)}, false)
	from.is = Connected
	b.pass(100 * ms)
	b.want("invite a 1 at 11")
}

// Whoever keeps an attempt back before it is written can ask for the client too.
func TestAnAttemptTellsOfItsClient(t *testing.T) {
	b := newBed(t)
	from := &client{b, Connected}
	sent := &invited{bed: b}
	b.offices = sent
	b.dial(from, "a")
	from.is = Gone
	if len(sent.all) != 1 || sent.all[0].Presence() != Gone {
		t.Errorf("sent %d", len(sent.all))
	}
}

// invited keeps the attempts.
type invited struct {
	*bed
	all []Attempt
}

func (i *invited) Invite(a Attempt) { i.all = append(i.all, a) }
