package exchange

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"masthill/control"
	"masthill/control/join"
)

const (
	// keepFor bounds the memory of final answers for callers that send a set-up again: longer than any class's
	// deadline. At the busiest rates of one instance they are a few thousand; keepPart bounds their descriptions,
	// and with keepEach their number, as a part of the instance's memory.
	keepFor, keepPart, keepEach = 30 * time.Second, 24, 1 << 10
	// releaseMargin is added to the told release wait: the module counts from its event, the rule from when
	// the CANCEL has been written.
	releaseMargin = 15 * int64(time.Millisecond)
	// quietFor is the silence of an office after which the calls that stand there are doubted: its reports
	// come about once a second while anything changes. quietEvery is how often that is looked at.
	quietFor, quietEvery = 3 * time.Second, time.Second
	// loadPart bounds what all calls in hand hold, as a part of the instance's memory, with loadEach for a call
	// beside its descriptions. Beyond it new calls are refused at once.
	loadPart, loadEach = 4, 1 << 10
	// unknownMost bounds the memory of servers that were on a list and have gone.
	unknownMost = 1024
	// heldFor is how long joined modules may hold a call before control sees it, in all; heldStep is the least wait
	// between two looks, heldMost the part of the instance's memory that calls held so may take, with loadEach for one.
	// Beyond any of them control decides at once: no module can keep a call from its decision.
	heldFor, heldStep, heldMost = time.Second, 5 * time.Millisecond, 16
)

// call is a call in hand: waiting for its answer, or standing.
type call struct {
	Setup
	serial   uint64 // no other call has it, also under the same id
	from     Caller
	sent     int  // attempts so far
	out      bool // the last of them is out
	server   uint64
	sentAt   int64
	clearAt  int64 // no attempt before this
	notAfter int64 // of its decisions
	asked    int   // how often joined modules held it; -1: control has it
	away     bool  // its caller left and may come back
	stands   bool
	desc     []byte
	answered int64
}

// kept is a final answer that a caller may ask for again.
type kept struct {
	id, owner string
	sum       uint64 // of the set-up
	f         Final
	over      bool // it stood and is over
	cut       bool
	at        int64
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
	if o.Stray == nil {
		o.Stray = func(string, bool) {}
	}
	if o.Memory == 0 {
		o.Memory = 192 << 20
	}
	c := &core{most: o.Memory, chain: o.Join, clock: o.Now, log: o.Log, record: o.Record, stray: o.Stray, module: module, set: o.Settings,
		calls: map[string]*call{}, known: map[uint64]Office{}, heard: map[uint64]int64{}, kept: map[string]*kept{}}
	if len(o.Join) > 0 {
		module.Cap(func(server uint64) bool { ok, _, _ := c.chain.Room(c.now, server); return !ok })
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
		c.chain.See(c.now, ev)
		for _, a := range c.module.Handle(c.now, ev) {
			c.act(a)
		}
	}
	c.events, c.busy = nil, false
}

func (c *core) act(a control.Action) {
	if a.Kind == control.Remind {
		tag := a.Tag
		c.after(time.Duration(a.Wait), func() { c.tell(control.Event{Kind: control.Ring, Tag: tag}) })
		return
	}
	if a.Kind == control.Listen {
		return // the list comes unasked
	}
	cl := c.calls[a.Call]
	if cl == nil || cl.stands {
		return
	}
	switch a.Kind {
	case control.Send:
		c.send(cl, a)
	case control.Cancel:
		if cl.out && cl.sent-1 == a.Attempt {
			c.offices.Suspect(cl.server, time.Unix(0, cl.sentAt), false)
			c.withdraw(cl, control.Recalled)
		}
	case control.Refuse:
		c.chain.Did(c.now, a)
		c.final(cl, Final{Verdict: Refused, Wait: time.Duration(a.Wait)})
	case control.Fail:
		c.chain.Did(c.now, a)
		c.final(cl, Final{Verdict: Failed})
	}
}

// withdraw gives up the attempt that is out.
func (c *core) withdraw(cl *call, o control.Outcome) {
	c.offices.Cancel(cl.server, cl.ID, cl.sent-1)
	c.back(cl, Ending{Outcome: o})
}

// back takes the end of the attempt that is out.
func (c *core) back(cl *call, e Ending) {
	c.log.Debug("attempt ended", "call", cl.ID, "n", cl.sent-1, "server", cl.server, "outcome", e.Outcome,
		"note", e.Note, "wait_ms", e.WaitMS, "report", e.Report, "after_ms", (c.now-cl.sentAt)/1e6)
	cl.out = false
	if e.Outcome == control.Overdue || e.Outcome == control.Severed || e.Outcome == control.Recalled {
		cl.clearAt = c.now + c.set.ClearWait
	}
	c.tell(control.Event{Kind: control.Returned, Call: cl.ID, Server: cl.server, Elapsed: c.now - cl.sentAt,
		Outcome: e.Outcome, Note: e.Note, WaitMS: e.WaitMS, Report: e.Report, Ended: c.calls[cl.ID] != cl})
}

func (c *core) arrive(s Setup, from Caller) {
	if cl := c.calls[s.ID]; cl != nil {
		if cl.Owner != s.Owner || cl.Sum() != s.Sum() {
			from.Answer(s.ID, Final{Verdict: Failed})
			return
		}
		cl.away = false
		if cl.from = from; cl.stands {
			from.Answer(s.ID, Final{Verdict: Stands, Desc: cl.desc})
		}
		return
	}
	if k := c.kept[s.ID]; k != nil {
		if k.owner != s.Owner || k.sum != s.Sum() { // another call under that id: its answer is not this caller's
			from.Answer(s.ID, Final{Verdict: Failed})
			return
		}
		if from.Answer(s.ID, k.f); k.over {
			from.Release(s.ID, k.cut)
		}
		return
	}
	c.serial++
	cl := &call{Setup: s, serial: c.serial, from: from}
	c.calls[s.ID] = cl
	c.open++
	if c.load += loadEach + len(s.Desc); c.load > c.most/loadPart || c.ending {
		c.final(cl, Final{Verdict: Refused, Wait: time.Duration(c.set.MaxRetryAfter)})
		return
	}
	notAfter := s.Until.Add(-answerLead).UnixNano()
	cl.notAfter = notAfter
	// The module ends every call in time by itself. Should it ever not, the caller is still owed an answer.
	c.afterFor(cl, time.Duration(notAfter-c.now), func(cl *call) {
		if cl.stands {
			return
		}
		if cl.out {
			c.withdraw(cl, control.Overdue)
		}
		if c.calls[cl.ID] == cl {
			c.tell(control.Event{Kind: control.Aborted, Call: cl.ID})
			c.final(cl, Final{Verdict: Failed})
		}
	})
	c.admit(cl)
}

// admit has the joined modules decide on a new call, and then control. A refusal goes out at once; a call that is held
// is asked about again, until its bound.
func (c *core) admit(cl *call) {
	waited := c.now - cl.Taken.UnixNano()
	r, module := c.chain.Admit(c.now, join.Call{ID: cl.ID, Key: cl.Number, Tenant: cl.Tenant, Class: cl.Class, Dest: cl.Dest,
		Retry: cl.Retry, Taken: cl.Taken.UnixNano(), NotAfter: cl.notAfter, Asked: cl.asked})
	if cl.asked > 0 {
		c.waits--
	}
	switch {
	case r.Verdict == join.Refuse:
		c.log.Debug("call turned away", "call", cl.ID, "by", module, "why", r.Reason, "later_ms", r.Wait/1e6)
		cl.asked = -1
		c.tell(control.Event{Kind: control.Aborted, Call: cl.ID}) // for the other modules; control never had it
		if !c.set.RetryAfter {
			r.Wait = 0
		}
		c.final(cl, Final{Verdict: Refused, Wait: time.Duration(min(max(r.Wait, 0), c.set.MaxRetryAfter))})
	case r.Verdict == join.Hold && waited < int64(heldFor) && c.waits*loadEach < c.most/heldMost:
		cl.asked++
		c.waits++
		c.afterFor(cl, max(time.Duration(r.Wait), heldStep), c.admit)
	default:
		if cl.asked == 0 { // decided at once, as it would be without the seam
			waited = 0
		}
		cl.asked = -1
		c.tell(control.Event{Kind: control.Arrival, Call: cl.ID, Class: cl.Class, Key: cl.Number, NotAfter: cl.notAfter,
			FarEnd: cl.Dest, Resent: cl.Retry, Waited: waited})
	}
}

// final gives a call its one final answer.
func (c *core) final(cl *call, f Final) {
	if c.calls[cl.ID] != cl || cl.stands {
		return
	}
	c.open--
	c.given[f.Verdict]++
	cl.answered = c.now
	c.log.Debug("answer", "call", cl.ID, "verdict", f.Verdict, "later_ms", f.Wait.Milliseconds(), "attempts",
		cl.sent, "server", cl.server, "after_ms", (c.now-cl.Taken.UnixNano())/1e6)
	if f.Verdict == Stands {
		cl.stands, cl.desc = true, f.Desc
		c.load += len(f.Desc)
	} else {
		c.drop(cl)
		c.keep(&kept{id: cl.ID, owner: cl.Owner, sum: cl.Sum(), f: f, at: c.now})
	}
	c.write(cl, Record{Verdict: f.Verdict.String(), Wait: f.Wait})
	cl.from.Answer(cl.ID, f)
}

// afterFor sets an alarm for a call that is still in hand then. The alarm does not hold the call: set-ups that are
// turned away at once come by the thousands, and their descriptions would stay until their callers' time is up.
func (c *core) afterFor(cl *call, wait time.Duration, do func(*call)) {
	id, serial := cl.ID, cl.serial
	c.after(wait, func() {
		if cl := c.calls[id]; cl != nil && cl.serial == serial {
			do(cl)
		}
	})
}

func (c *core) drop(cl *call) {
	if cl.asked > 0 {
		c.waits--
	}
	delete(c.calls, cl.ID)
	c.load -= loadEach + len(cl.Desc) + len(cl.desc)
}

// write hands a record to the store: one with the answer, and one more when a call that stood is over.
func (c *core) write(cl *call, r Record) {
	r.ID, r.Owner, r.Class, r.Tenant, r.Number = cl.ID, cl.Owner, cl.Name, cl.Tenant, cl.Number
	r.Attempts, r.Server, r.Taken = cl.sent, cl.server, cl.Taken
	if cl.answered > 0 {
		r.Answered = time.Unix(0, cl.answered)
	}
	if r.Verdict != Stands.String() || c.calls[cl.ID] != cl {
		r.Ended = time.Unix(0, c.now)
	}
	c.record(r)
}

// keep remembers a final answer, and forgets the oldest ones beyond the bounds.
func (c *core) keep(k *kept) {
	c.kept[k.id] = k
	c.queue = append(c.queue, k)
	c.bytes += len(k.f.Desc)
	for len(c.queue) > c.most/keepPart/keepEach || c.bytes > c.most/keepPart ||
		len(c.queue) > 0 && c.now-c.queue[0].at > int64(keepFor) {
		old := c.queue[0]
		c.queue[0] = nil
		c.queue = c.queue[1:]
		c.bytes -= len(old.f.Desc)
		if c.kept[old.id] == old {
			delete(c.kept, old.id)
		}
	}
}

func (c *core) giveUp(id, owner string, from Caller) {
	cl := c.calls[id]
	if cl == nil || cl.Owner != owner || from != nil && cl.from != from {
		return
	}
	if cl.stands { // its answer crossed the caller's leaving
		c.hangUp(id, owner)
		return
	}
	c.drop(cl)
	c.open--
	c.keep(&kept{id: id, owner: owner, sum: cl.Sum(), f: Final{Verdict: Failed}, at: c.now})
	c.write(cl, Record{Verdict: "left"})
	c.tell(control.Event{Kind: control.Aborted, Call: id})
	if cl.out {
		c.withdraw(cl, control.Recalled)
	}
}

func (c *core) left(id, owner string) {
	if cl := c.calls[id]; cl != nil && cl.Owner == owner && !cl.stands {
		cl.away = true
	}
}

// over ends a standing call: the module learns it, and the memory of its answer begins.
func (c *core) over(cl *call, e Ending, cut bool) {
	c.drop(cl)
	c.keep(&kept{id: cl.ID, owner: cl.Owner, sum: cl.Sum(), f: Final{Verdict: Stands, Desc: cl.desc}, over: true,
		cut: cut, at: c.now})
	c.write(cl, Record{Verdict: Stands.String(), Cut: cut})
	c.tell(control.Event{Kind: control.Returned, Call: cl.ID, Server: cl.server, Elapsed: c.now - cl.sentAt,
		Outcome: e.Outcome, Report: e.Report, Ended: true})
}

func (c *core) hangUp(id, owner string) {
	cl := c.calls[id]
	if cl == nil || !cl.stands || cl.Owner != owner {
		return
	}
	c.offices.Bye(cl.server, id, cl.sent-1, false)
	c.over(cl, Ending{Outcome: control.Recalled}, false)
}

// quiet looks for servers that hold calls and say nothing. A connect will tell whether they are still there: of
// a machine that has vanished nothing else does, and its calls' callers wait for the release.
func (c *core) quiet() {
	c.watch = false
	for _, cl := range c.calls {
		if cl.stands && c.now-c.heard[cl.server] > int64(quietFor) {
			c.offices.Suspect(cl.server, time.Unix(0, c.now-int64(quietFor)), true)
		}
	}
	c.pulse()
}

func (c *core) pulse() {
	if !c.watch && len(c.calls) > 0 {
		c.watch = true
		c.after(quietEvery, c.quiet)
	}
}

func (c *core) stood(server uint64, id string, n int, desc []byte) {
	c.heard[server] = c.now
	cl := c.calls[id]
	if cl != nil && cl.stands && cl.server == server {
		return // told again
	}
	if cl == nil || !cl.out || cl.server != server || cl.sent != n+1 {
		c.offices.Bye(server, id, n, true) // the answer crossed the end of its attempt
		return
	}
	c.log.Debug("attempt stood", "call", id, "n", n, "server", server, "after_ms", (c.now-cl.sentAt)/1e6)
	cl.out = false
	c.final(cl, Final{Verdict: Stands, Desc: desc})
	c.pulse()
	c.tell(control.Event{Kind: control.Stands, Call: id, Server: server, Elapsed: c.now - cl.sentAt})
}

func (c *core) ended(server uint64, id string, n int, e Ending) {
	if e.Outcome == control.Errored || e.Outcome == control.Saturated {
		c.heard[server] = c.now
	}
	if cl := c.calls[id]; cl != nil && cl.out && cl.server == server && cl.sent == n+1 {
		c.back(cl, e)
	} else if e.Report != nil {
		c.state(server, e.Report)
	}
}

func (c *core) released(server uint64, id string, cut bool, report []float64) {
	c.heard[server] = c.now
	cl := c.calls[id]
	if cl == nil || !cl.stands || cl.server != server {
		if report != nil {
			c.state(server, report)
		}
		if cl == nil && c.kept[id] == nil {
			c.stray(id, cut)
		}
		return
	}
	e := Ending{Outcome: control.Completed, Report: report}
	if cut {
		e.Outcome = control.Severed
	}
	c.over(cl, e, cut)
	cl.from.Release(id, cut)
}

// inOrder gives the calls in the order in which they came: the module's decisions must not hang on a map's order.
func (c *core) inOrder() []*call {
	return slices.SortedFunc(maps.Values(c.calls), func(a, b *call) int { return cmp.Compare(a.serial, b.serial) })
}

// lost cuts all that stood at an office whose process died, or of a new process, what had been sent before its
// start. The list tells of a start seconds late, and by then calls may stand at the new process.
func (c *core) lost(server uint64, before int64) {
	for _, cl := range c.inOrder() {
		if cl.stands && cl.server == server && cl.sentAt < before {
			c.log.Info("call cut with its office", "call", cl.ID, "server", server)
			c.over(cl, Ending{Outcome: control.Severed}, true)
			cl.from.Release(cl.ID, true)
		}
	}
}

func (c *core) state(server uint64, report []float64) {
	c.heard[server] = c.now
	c.log.Debug("state", "server", server, "report", report)
	c.tell(control.Event{Kind: control.Probed, Server: server, Report: report})
}

// members takes a change of the list. A processor that started anew, or is gone, has cut what stood there.
func (c *core) members(changed []Office, full bool) {
	dead := map[uint64]int64{} // and the time before which
	if full {
		now := map[uint64]bool{}
		for _, o := range changed {
			now[o.Server] = true
		}
		for id, o := range c.known {
			if !now[id] && o.State != control.Out { // as if it were named as gone
				o.State = control.Out
				c.known[id] = o
				dead[id] = c.now + 1
			}
		}
	}
	ev := control.Event{Kind: control.Members, Full: full}
	for _, o := range changed {
		if before, ok := c.known[o.Server]; ok && o.State == control.Out {
			dead[o.Server] = c.now + 1
		} else if ok && before.ReadyAt != o.ReadyAt {
			dead[o.Server] = o.ReadyAt
		}
		c.known[o.Server] = o
		ev.Entries = append(ev.Entries, o.Entry)
	}
	for id, o := range c.known {
		if o.State == control.Out && len(c.known) > unknownMost {
			delete(c.known, id)
			delete(c.heard, id)
		}
	}
	c.offices.List(changed, full)
	c.tell(ev)
	for id, before := range dead {
		c.lost(id, before)
	}
}

// status is a look at everything, for operators. It changes nothing.
func (c *core) status() Status {
	s := Status{Open: c.open, Held: c.module.Held(), Waiting: c.waits, Standing: len(c.calls) - c.open, Taken: c.serial,
		Stands: c.given[Stands], Refused: c.given[Refused], Failed: c.given[Failed], Load: c.load, Modules: c.chain.Status(c.now)}
	for _, b := range c.module.Beliefs(c.now) {
		listed := "serving"
		if !b.In {
			listed = "draining"
		}
		s.Offices = append(s.Offices, OfficeState{ID: strconv.FormatUint(b.Server, 16), Addr: c.known[b.Server].Addr, Listed: listed,
			Warmth: b.Warmth, Cold: b.Cold, Down: b.Down, Marked: b.Marked, Pressed: b.Pressed, Out: b.Out, Standing: b.Standing,
			DelayMS: float64(b.Delay) / 1e6})
	}
	return s
}

func (c *core) refuseAll() {
	c.ending = true
	for _, cl := range c.inOrder() {
		if !cl.stands {
			c.tell(control.Event{Kind: control.Aborted, Call: cl.ID})
			if cl.out {
				c.withdraw(cl, control.Recalled)
			}
			c.final(cl, Final{Verdict: Refused, Wait: time.Duration(c.set.MaxRetryAfter)})
		}
	}
}
