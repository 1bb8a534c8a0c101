package exchange

import (
	"log/slog"
	"time"

	"masthill/control"
	"masthill/control/join"
)

const (
	// retention bounds the memory of final answers for callers that send a set-up again: longer than any class's
	// deadline. At the busiest rates of one instance they are a few thousand; retainedShare bounds their descriptions,
	// and with retainedBytesEach their number, as a part of the instance's memory.
	answerRetention, answerMemoryDivisor, bytesPerAnswer = 30 * time.Second, 24, 1 << 10
	// releaseMargin is added to the told release wait: the module counts from its event, the rule from when
	// the CANCEL has been written.
	clearWaitMargin = 15 * int64(time.Millisecond)
	// silenceLimit is the silence of an office after which the calls that stand there are doubted: its reports
	// come about once a second while anything changes. silenceCheckInterval is how often that is looked at.
	silenceLimit, silenceCheckInterval = 3 * time.Second, time.Second
	// loadShare bounds what all calls in hand hold, as a part of the instance's memory, with loadBytesEach for a call
	// beside its descriptions. Beyond it new calls are refused at once.
	callMemoryDivisor, bytesPerCall = 4, 1 << 10
	// maxDepartedServers bounds the memory of servers that were on a list and have gone.
	maxDepartedServers = 1024
	// maxHold is how long joined modules may hold a call before control sees it, in all; holdStep is the least wait
	// between two looks, heldShare the part of the instance's memory that calls held so may take, with loadBytesEach for one.
	// Beyond any of them control decides at once: no module can keep a call from its decision.
	maxHold, minHoldInterval, heldMemoryDivisor = time.Second, 5 * time.Millisecond, 16
)

// call is a call in hand: waiting for its answer, or standing.
type call struct {
	Setup
	serial       uint64 // no other call has it, also under the same id
	caller       Caller
	attempts     int  // attempts so far
	inFlight     bool // the last of them is out
	server       uint64
	sentAt       int64
	notBefore    int64 // no attempt before this
	notAfter     int64 // of its decisions
	holds        int   // how often joined modules held it; -1: control has it
	disconnected bool  // its caller left and may come back
	established  bool
	desc         []byte
	answeredAt   int64
}

// core is the state that one goroutine owns.
type core struct {
	clock            func() time.Time
	log              *slog.Logger
	onRecord         func(Record)
	onUnknownRelease func(id string, cut bool)
	controller       *control.Controller
	chain            join.Chain
	heldByModules    int       // calls that joined modules hold
	answersGiven     [3]uint64 // final answers by verdict
	settings         control.Settings
	offices          Offices

	now      int64
	timers   timerHeap
	timerSeq uint64
	serial   uint64 // of the last call

	calls           map[string]*call
	unanswered      int // calls without a final answer
	loadBytes       int // bytes that the calls in hand hold
	memoryBytes     int // bytes of the instance
	knownOffices    map[uint64]Office
	lastHeard       map[uint64]int64 // when each server last told anything
	silenceCheckSet bool             // the look at silent servers is due
	answers         map[string]*recordedAnswer
	answerQueue     []*recordedAnswer // in order of time
	answerBytes     int               // of descriptions kept

	events      []control.Event // for the module, in order
	dispatching bool
	refusingAll bool // all that comes is refused
}

func newCore(o Options, module *control.Controller) *core {
	if o.Record == nil {
		o.Record = func(Record) {}
	}
	if o.OnUnknownRelease == nil {
		o.OnUnknownRelease = func(string, bool) {}
	}
	if o.MemoryBytes == 0 {
		o.MemoryBytes = 192 << 20
	}
	c := &core{memoryBytes: o.MemoryBytes, chain: o.Join, clock: o.Now, log: o.Log, onRecord: o.Record, onUnknownRelease: o.OnUnknownRelease, controller: module, settings: o.Settings,
		calls: map[string]*call{}, knownOffices: map[uint64]Office{}, lastHeard: map[uint64]int64{}, answers: map[string]*recordedAnswer{}}
	if len(o.Join) > 0 {
		module.ExcludeServers(func(server uint64) bool { ok, _, _ := c.chain.Room(c.now, server); return !ok })
	}
	return c
}

// tell gives the module an event and does what it decides. Events that come up meanwhile wait their turn: the
// module is never entered twice.
func (c *core) dispatch(ev control.Event) {
	c.events = append(c.events, ev)
	if c.dispatching {
		return
	}
	c.dispatching = true
	for len(c.events) > 0 {
		ev = c.events[0]
		c.events = c.events[1:]
		c.chain.See(c.now, ev)
		for _, a := range c.controller.Handle(c.now, ev) {
			c.perform(a)
		}
	}
	c.events, c.dispatching = nil, false
}

func (c *core) perform(a control.Action) {
	if a.Kind == control.StartTimer {
		tag := a.Tag
		c.after(time.Duration(a.Wait), func() { c.dispatch(control.Event{Kind: control.TimerFired, Tag: tag}) })
		return
	}
	if a.Kind == control.Subscribe {
		return // the list comes unasked
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
		c.chain.Did(c.now, a)
		c.answer(cl, FinalAnswer{Verdict: Refused, Wait: time.Duration(a.Wait)})
	case control.Fail:
		c.chain.Did(c.now, a)
		c.answer(cl, FinalAnswer{Verdict: Failed})
	}
}
