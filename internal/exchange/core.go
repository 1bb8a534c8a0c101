package exchange

import (
	"log/slog"
	"time"

	"masthill/control"
	"masthill/control/join"
)

const (
	// releaseWaitMargin is added to the release wait that the controller is configured with: the controller counts
	// from its event, while the required wait counts from when the CANCEL has been written.
	releaseWaitMargin = 15 * int64(time.Millisecond)
	// silenceLimit is the silence of an office after which its connection is checked if calls are established there: it
	// sends a report about once a second while anything changes. Silent offices are looked for every
	// silenceCheckInterval.
	silenceLimit, silenceCheckInterval = 3 * time.Second, time.Second
	// callMemoryDivisor bounds the memory of all present calls as a fraction of the instance's memory, 1/4, counting
	// bytesPerCall for each call beside its descriptions. Beyond it new calls are refused at once.
	callMemoryDivisor, bytesPerCall = 4, 1 << 10
	// maxDepartedServers bounds how many known servers there may be before those removed from the list are forgotten.
	maxDepartedServers = 1024
	// maxHold is how long joined modules may hold a call in total before package control decides. minHoldInterval is the
	// least wait until they decide again. heldMemoryDivisor bounds the memory of held calls as a fraction of the
	// instance's, 1/16, counting bytesPerCall for each. Beyond any of these bounds control decides at once, so no
	// module can withhold a call from it.
	maxHold, minHoldInterval, heldMemoryDivisor = time.Second, 5 * time.Millisecond, 16
)

// call is a call that waits for its answer or is established.
type call struct {
	Setup
	serial            uint64 // unique to this call, also among calls with the same id
	caller            Caller
	attempts          int  // number of attempts sent so far
	inFlight          bool // the last attempt has not ended
	server            uint64
	sentAt            int64
	notBefore         int64 // of the next attempt
	notAfter          int64 // latest time for decisions on the call
	holds             int   // how often joined modules have held it; -1: control has it
	disconnected      bool  // its caller has disconnected and may come back
	established       bool
	officeDescription []byte
	answeredAt        int64
	timers            []*timer // that only matter while the call has no answer
}

// core is the state of an Exchange. Only one goroutine uses it.
type core struct {
	clock            func() time.Time
	log              *slog.Logger
	onRecord         func(Record)
	onUnknownRelease func(id string, cut bool)
	controller       *control.Controller
	modules          join.Chain
	heldByModules    int       // calls that joined modules hold
	answersGiven     [3]uint64 // final answers by kind
	settings         control.Settings
	offices          Offices

	now      int64
	timers   timerHeap
	timerSeq uint64
	serial   uint64 // of the last call

	calls           map[string]*call
	unanswered      int // calls without a final answer
	loadBytes       int // memory that all present calls are assumed to take: bytesPerCall and the descriptions of each
	memoryBytes     int // memory of the instance
	knownOffices    map[uint64]Office
	lastReceivedAt  map[uint64]int64 // when each server last sent anything
	silenceCheckSet bool             // the timer for the next check is set
	answers         *answerTable

	events      []control.Event // still to be dispatched, in order
	dispatching bool
	refusingAll bool // every new call is refused
}

func newCore(o Options, controller *control.Controller) *core {
	if o.Record == nil {
		o.Record = func(Record) {}
	}
	if o.OnUnknownRelease == nil {
		o.OnUnknownRelease = func(string, bool) {}
	}
	if o.MemoryBytes == 0 {
		o.MemoryBytes = 192 << 20
	}
	c := &core{memoryBytes: o.MemoryBytes, modules: o.Join, clock: o.Now, log: o.Log, onRecord: o.Record, onUnknownRelease: o.OnUnknownRelease, controller: controller, settings: o.Settings,
		calls: map[string]*call{}, knownOffices: map[uint64]Office{}, lastReceivedAt: map[uint64]int64{}, answers: newAnswerTable(o.MemoryBytes)}
	if len(o.Join) > 0 {
		controller.ExcludeServers(func(server uint64) bool { ok, _, _ := c.modules.HasCapacity(c.now, server); return !ok })
	}
	return c
}

// dispatch passes an event to the controller and performs the actions that it returns. Events that arise meanwhile are
// queued, so that the controller is never re-entered.
func (c *core) dispatch(ev control.Event) {
	c.events = append(c.events, ev)
	if c.dispatching {
		return
	}
	c.dispatching = true
	for len(c.events) > 0 {
		ev = c.events[0]
		c.events = c.events[1:]
		c.modules.OnEvent(c.now, ev)
		for _, a := range c.controller.Handle(c.now, ev) {
			c.perform(a)
		}
	}
	c.events, c.dispatching = nil, false
}

// perform carries out an action of the controller.
func (c *core) perform(a control.Action) {
	if a.Kind == control.StartTimer {
		tag := a.Tag
		c.after(time.Duration(a.Wait), func() { c.dispatch(control.Event{Kind: control.TimerFired, Tag: tag}) })
		return
	}
	if a.Kind == control.Subscribe {
		return // the list of offices is pushed without a subscription
	}
	cl := c.calls[a.Call]
	if cl == nil || cl.established {
		return
	}
	switch a.Kind {
	case control.Send:
		c.send(cl, a)
	case control.Cancel:
		if cl.inFlight && cl.attempts-1 == a.Attempt {
			c.offices.ReportSilence(cl.server, time.Unix(0, cl.sentAt), false)
			c.withdrawAttempt(cl, control.Canceled)
		}
	case control.Refuse:
		c.modules.OnAction(c.now, a)
		c.answer(cl, FinalAnswer{Kind: Refused, RetryAfter: time.Duration(a.Wait)})
	case control.Fail:
		c.modules.OnAction(c.now, a)
		c.answer(cl, FinalAnswer{Kind: Failed})
	}
}
