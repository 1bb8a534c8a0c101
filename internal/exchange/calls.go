package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masthill/control"
	"masthill/control/join"
)

// kept is a final answer that a caller may ask for again.
type kept struct {
	id, owner string
	sum       uint64 // of the set-up
	f         FinalAnswer
	over      bool // it stood and is over
	cut       bool
	at        int64
}

func (c *core) arrive(s Setup, from Caller) {
	if cl := c.calls[s.ID]; cl != nil {
		if cl.Owner != s.Owner || cl.Fingerprint() != s.Fingerprint() {
			from.Answer(s.ID, FinalAnswer{Verdict: Failed})
			return
		}
		cl.disconnected = false
		if cl.from = from; cl.established {
			from.Answer(s.ID, FinalAnswer{Verdict: Stands, Description: cl.desc})
		}
		return
	}
	if k := c.kept[s.ID]; k != nil {
		if k.owner != s.Owner || k.sum != s.Fingerprint() { // another call under that id: its answer is not this caller's
			from.Answer(s.ID, FinalAnswer{Verdict: Failed})
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
	if c.load += loadBytesEach + len(s.Description); c.load > c.most/loadShare || c.ending {
		c.final(cl, FinalAnswer{Verdict: Refused, Wait: time.Duration(c.set.MaxRetryAfter)})
		return
	}
	notAfter := s.ExpiresAt.Add(-answerLead).UnixNano()
	cl.notAfter = notAfter
	// The module ends every call in time by itself. Should it ever not, the caller is still owed an answer.
	c.afterFor(cl, time.Duration(notAfter-c.now), func(cl *call) {
		if cl.established {
			return
		}
		if cl.inFlight {
			c.withdraw(cl, control.TimedOut)
		}
		if c.calls[cl.ID] == cl {
			c.tell(control.Event{Kind: control.Aborted, Call: cl.ID})
			c.final(cl, FinalAnswer{Verdict: Failed})
		}
	})
	c.admit(cl)
}

// admit has the joined modules decide on a new call, and then control. A refusal goes out at once; a call that is held
// is asked about again, until its bound.
func (c *core) admit(cl *call) {
	waited := c.now - cl.Taken.UnixNano()
	r, module := c.chain.Admit(c.now, join.Call{ID: cl.ID, Key: cl.Number, Tenant: cl.Tenant, Class: cl.Class, Dest: cl.Dest,
		Retry: cl.Retry, Taken: cl.Taken.UnixNano(), NotAfter: cl.notAfter, TimesHeld: cl.asked})
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
		c.final(cl, FinalAnswer{Verdict: Refused, Wait: time.Duration(min(max(r.Wait, 0), c.set.MaxRetryAfter))})
	case r.Verdict == join.Hold && waited < int64(maxHold) && c.waits*loadBytesEach < c.most/heldShare:
		cl.asked++
		c.waits++
		c.afterFor(cl, max(time.Duration(r.Wait), holdStep), c.admit)
	default:
		if cl.asked == 0 { // decided at once, as it would be without the seam
			waited = 0
		}
		cl.asked = -1
		c.tell(control.Event{Kind: control.Arrival, Call: cl.ID, Class: cl.Class, Key: cl.Number, NotAfter: cl.notAfter,
			FarEnd: cl.Dest, Redialed: cl.Retry, Waited: waited})
	}
}

// final gives a call its one final answer.
func (c *core) final(cl *call, f FinalAnswer) {
	if c.calls[cl.ID] != cl || cl.established {
		return
	}
	c.open--
	c.given[f.Verdict]++
	cl.answered = c.now
	c.log.Debug("answer", "call", cl.ID, "verdict", f.Verdict, "later_ms", f.Wait.Milliseconds(), "attempts",
		cl.sent, "server", cl.server, "after_ms", (c.now-cl.Taken.UnixNano())/1e6)
	if f.Verdict == Stands {
		cl.established, cl.desc = true, f.Description
		c.load += len(f.Description)
	} else {
		c.drop(cl)
		c.keep(&kept{id: cl.ID, owner: cl.Owner, sum: cl.Fingerprint(), f: f, at: c.now})
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
	c.load -= loadBytesEach + len(cl.Description) + len(cl.desc)
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
	c.bytes += len(k.f.Description)
	for len(c.queue) > c.most/retainedShare/retainedBytesEach || c.bytes > c.most/retainedShare ||
		len(c.queue) > 0 && c.now-c.queue[0].at > int64(retention) {
		old := c.queue[0]
		c.queue[0] = nil
		c.queue = c.queue[1:]
		c.bytes -= len(old.f.Description)
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
	if cl.established { // its answer crossed the caller's leaving
		c.hangUp(id, owner)
		return
	}
	c.drop(cl)
	c.open--
	c.keep(&kept{id: id, owner: owner, sum: cl.Fingerprint(), f: FinalAnswer{Verdict: Failed}, at: c.now})
	c.write(cl, Record{Verdict: "left"})
	c.tell(control.Event{Kind: control.Aborted, Call: id})
	if cl.inFlight {
		c.withdraw(cl, control.Canceled)
	}
}

func (c *core) left(id, owner string) {
	if cl := c.calls[id]; cl != nil && cl.Owner == owner && !cl.established {
		cl.disconnected = true
	}
}

// over ends a standing call: the module learns it, and the memory of its answer begins.
func (c *core) over(cl *call, e Result, cut bool) {
	c.drop(cl)
	c.keep(&kept{id: cl.ID, owner: cl.Owner, sum: cl.Fingerprint(), f: FinalAnswer{Verdict: Stands, Description: cl.desc}, over: true,
		cut: cut, at: c.now})
	c.write(cl, Record{Verdict: Stands.String(), Cut: cut})
	c.tell(control.Event{Kind: control.AttemptEnded, Call: cl.ID, Server: cl.server, Elapsed: c.now - cl.sentAt,
		Outcome: e.Outcome, Report: e.Report, CallEnded: true})
}

func (c *core) hangUp(id, owner string) {
	cl := c.calls[id]
	if cl == nil || !cl.established || cl.Owner != owner {
		return
	}
	c.offices.Bye(cl.server, id, cl.sent-1, false)
	c.over(cl, Result{Outcome: control.Canceled}, false)
}

func (c *core) released(server uint64, id string, cut bool, report []float64) {
	c.heard[server] = c.now
	cl := c.calls[id]
	if cl == nil || !cl.established || cl.server != server {
		if report != nil {
			c.state(server, report)
		}
		if cl == nil && c.kept[id] == nil {
			c.stray(id, cut)
		}
		return
	}
	e := Result{Outcome: control.Completed, Report: report}
	if cut {
		e.Outcome = control.ConnectionLost
	}
	c.over(cl, e, cut)
	cl.from.Release(id, cut)
}

// inOrder gives the calls in the order in which they came: the module's decisions must not hang on a map's order.
func (c *core) inOrder() []*call {
	return slices.SortedFunc(maps.Values(c.calls), func(a, b *call) int { return cmp.Compare(a.serial, b.serial) })
}

func (c *core) refuseAll() {
	c.ending = true
	for _, cl := range c.inOrder() {
		if !cl.established {
			c.tell(control.Event{Kind: control.Aborted, Call: cl.ID})
			if cl.inFlight {
				c.withdraw(cl, control.Canceled)
			}
			c.final(cl, FinalAnswer{Verdict: Refused, Wait: time.Duration(c.set.MaxRetryAfter)})
		}
	}
}
