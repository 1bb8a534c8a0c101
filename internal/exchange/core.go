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
	retention, retainedShare, retainedBytesEach = 30 * time.Second, 24, 1 << 10
	// releaseMargin is added to the told release wait: the module counts from its event, the rule from when
	// the CANCEL has been written.
	releaseMargin = 15 * int64(time.Millisecond)
	// silenceLimit is the silence of an office after which the calls that stand there are doubted: its reports
	// come about once a second while anything changes. silenceCheckInterval is how often that is looked at.
	silenceLimit, silenceCheckInterval = 3 * time.Second, time.Second
	// loadShare bounds what all calls in hand hold, as a part of the instance's memory, with loadBytesEach for a call
	// beside its descriptions. Beyond it new calls are refused at once.
	loadShare, loadBytesEach = 4, 1 << 10
	// maxDepartedServers bounds the memory of servers that were on a list and have gone.
	maxDepartedServers = 1024
	// maxHold is how long joined modules may hold a call before control sees it, in all; holdStep is the least wait
	// between two looks, heldShare the part of the instance's memory that calls held so may take, with loadBytesEach for one.
	// Beyond any of them control decides at once: no module can keep a call from its decision.
	maxHold, holdStep, heldShare = time.Second, 5 * time.Millisecond, 16
)

// call is a call in hand: waiting for its answer, or standing.
type call struct {
	Setup
	serial       uint64 // no other call has it, also under the same id
	from         Caller
	sent         int  // attempts so far
	inFlight     bool // the last of them is out
	server       uint64
	sentAt       int64
	clearAt      int64 // no attempt before this
	notAfter     int64 // of its decisions
	asked        int   // how often joined modules held it; -1: control has it
	disconnected bool  // its caller left and may come back
	established  bool
	desc         []byte
	answered     int64
}

// core is the state that one goroutine owns.
type core struct {
	clock   func() time.Time
	log     *slog.Logger
	record  func(Record)
	stray   func(id string, cut bool)
	module  *control.Controller
	chain   join.Chain
	waits   int       // calls that joined modules hold
	given   [3]uint64 // final answers by verdict
	set     control.Settings
	offices Offices

	now    int64
	alarms alarms
	seq    uint64
	serial uint64 // of the last call

	calls map[string]*call
	open  int // calls without a final answer
	load  int // bytes that the calls in hand hold
	most  int // bytes of the instance
	known map[uint64]Office
	heard map[uint64]int64 // when each server last told anything
	watch bool             // the look at silent servers is due
	kept  map[string]*kept
	queue []*kept // in order of time
	bytes int     // of descriptions kept

	events []control.Event // for the module, in order
	busy   bool
	ending bool // all that comes is refused
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
	c := &core{most: o.MemoryBytes, chain: o.Join, clock: o.Now, log: o.Log, record: o.Record, stray: o.OnUnknownRelease, module: module, set: o.Settings,
		calls: map[string]*call{}, known: map[uint64]Office{}, heard: map[uint64]int64{}, kept: map[string]*kept{}}
	if len(o.Join) > 0 {
		module.ExcludeServers(func(server uint64) bool { ok, _, _ := c.chain.HasRoom(c.now, server); return !ok })
	}
	return c
}

// tell gives the module an event and does what it decides. Events that come up meanwhile wait their turn: the
// module is never entered twice.
func (c *core) tell(ev control.Event) {
	c.events = append(c.events, ev)
	if c.busy {
		return
	}
	c.busy = true
	for len(c.events) > 0 {
		ev = c.events[0]
		c.events = c.events[1:]
		c.chain.OnEvent(c.now, ev)
		for _, a := range c.module.Handle(c.now, ev) {
			c.act(a)
		}
	}
	c.events, c.busy = nil, false
}

func (c *core) act(a control.Action) {
	if a.Kind == control.StartTimer {
		tag := a.Tag
		c.after(time.Duration(a.Wait), func() { c.tell(control.Event{Kind: control.TimerFired, Tag: tag}) })
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
		if cl.inFlight && cl.sent-1 == a.Attempt {
			c.offices.ReportSilence(cl.server, time.Unix(0, cl.sentAt), false)
			c.withdraw(cl, control.Canceled)
		}
	case control.Refuse:
		c.chain.OnAction(c.now, a)
		c.final(cl, FinalAnswer{Verdict: Refused, Wait: time.Duration(a.Wait)})
	case control.Fail:
		c.chain.OnAction(c.now, a)
		c.final(cl, FinalAnswer{Verdict: Failed})
	}
}
