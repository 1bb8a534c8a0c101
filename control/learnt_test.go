package control

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"
)

// trainedController returns a controller that has handled 200 calls and has one attempt in progress, and its time.
func trainedController(t *testing.T) (*Controller, int64) {
	t.Helper()
	c, err := New(testSettings(), 9)
	if err != nil {
		t.Fatal(err)
	}
	now := 1000 * second
	c.Handle(now, Event{Kind: ListUpdate, FullList: true, Entries: []Entry{{Server: 1, Cell: 0, Share: 1}, {Server: 2, Cell: 1, Share: 1}}})
	for n := range 200 {
		now += second / 20
		id := string(rune('a'+n%26)) + string(rune('0'+n/26))
		for _, a := range c.Handle(now, Event{Kind: Arrival, Call: id, NotAfter: now + 9*second, FirstChoice: n % 2}) {
			if a.Kind == Send {
				c.Handle(now+30e6, Event{Kind: Established, Call: id, Server: a.Server})
				c.Handle(now+40e6, Event{Kind: AttemptEnded, Call: id, Server: a.Server, CallEnded: true})
			}
		}
	}
	c.Handle(now+45e6, Event{Kind: Arrival, Call: "out", NotAfter: now + 9*second})
	return c, now + 45e6
}

func TestLearntStateIsRestoredAndDecays(t *testing.T) {
	c, now := trainedController(t)
	text, err := json.Marshal(c.LearnedState())
	if err != nil {
		t.Fatal(err)
	}
	var l LearnedState
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	after := func(wait int64, entries ...Entry) *Controller {
		d, err := New(testSettings(), 10)
		if err != nil {
			t.Fatal(err)
		}
		d.Handle(now+wait, Event{Kind: ListUpdate, FullList: true, Entries: entries})
		if err := d.Restore(now+wait, l); err != nil {
			t.Fatal(err)
		}
		return d
	}
	soon := after(second, Entry{Server: 1, Share: 1}, Entry{Server: 2, Cell: 1, Share: 1})
	if !reflect.DeepEqual(soon.LearnedState().Servers, l.Servers) || soon.fairRate(soon.servers[0]) < 0.8*c.fairRate(c.servers[0]) {
		t.Errorf("%+v", soon.LearnedState())
	}
	if len(soon.calls) != 0 || len(soon.servers[0].unanswered)+len(soon.servers[1].unanswered) != 0 {
		t.Error("calls or attempts were restored")
	}
	late := after(120*second, Entry{Server: 1, Share: 1}, Entry{Server: 2, Cell: 1, Share: 1})
	if late.fairRate(late.servers[0]) > 0.2*c.fairRate(c.servers[0]) || late.expectedDelay(late.servers[0]) > 1e3 {
		t.Errorf("after two minutes: %v of %v, %v", late.fairRate(late.servers[0]), c.fairRate(c.servers[0]), late.expectedDelay(late.servers[0]))
	}
	other := after(second, Entry{Server: 1, Share: 1, ReadyAt: now}, Entry{Server: 3, Cell: 1, Share: 1})
	if s := other.server(1); s.delay != 0 || s.delayAt != 0 || other.server(2) != nil {
		t.Error("what was learned of another processor counts for this one")
	}
}

func TestInvalidLearntStateChangesNothing(t *testing.T) {
	c, now := trainedController(t)
	l := c.LearnedState()
	l.Servers[0].Weight = math.NaN()
	d, _ := New(testSettings(), 10)
	d.Handle(now, Event{Kind: ListUpdate, FullList: true, Entries: []Entry{{Server: 1, Share: 1}}})
	before := d.LearnedState()
	if err := d.Restore(now, l); err == nil || !reflect.DeepEqual(before, d.LearnedState()) {
		t.Error("the invalid state was restored, or without an error")
	}
}

// ServerStatuses must leave the learned state unchanged to the last bit.
func TestServerStatusesChangeNothing(t *testing.T) {
	c, now := trainedController(t)
	before := c.LearnedState()
	if b := c.ServerStatuses(now + second/2); len(b) != 2 || b[0].Pending+b[1].Pending != 1 || b[0].Cold || !b[0].Available {
		t.Errorf("%+v", b)
	}
	if !reflect.DeepEqual(before, c.LearnedState()) {
		t.Error("ServerStatuses changed the state")
	}
}
