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
type recordedAnswer struct {
	id, owner   string
	fingerprint uint64 // of the set-up
	answer      FinalAnswer
	ended       bool // it stood and is over
	cut         bool
	at          int64
}

func (c *core) submit(s Setup, from Caller) {
	if cl := c.calls[s.ID]; cl != nil {
		if cl.Owner != s.Owner || cl.Fingerprint() != s.Fingerprint() {
			from.Answer(s.ID, FinalAnswer{Verdict: Failed})
			return
		}
		cl.disconnected = false
		if cl.caller = from; cl.established {
			from.Answer(s.ID, FinalAnswer{Verdict: Stands, Description: cl.desc})
		}
		return
	}
	if k := c.answers[s.ID]; k != nil {
		if k.owner != s.Owner || k.fingerprint != s.Fingerprint() { // another call under that id: its answer is not this caller's
			from.Answer(s.ID, FinalAnswer{Verdict: Failed})
			return
		}
		if from.Answer(s.ID, k.answer); k.ended {
			from.Release(s.ID, k.cut)
		}
		return
	}
	c.serial++
	cl := &call{Setup: s, serial: c.serial, caller: from}
	c.calls[s.ID] = cl
	c.unanswered++
	if c.loadBytes += bytesPerCall + len(s.Description); c.loadBytes > c.memoryBytes/callMemoryDivisor || c.refusingAll {
		c.answer(cl, FinalAnswer{Verdict: Refused, Wait: time.Duration(c.settings.MaxRetryAfter)})
		return
	}
	notAfter := s.ExpiresAt.Add(-answerMargin).UnixNano()
	cl.notAfter = notAfter
	// The module ends every call in time by itself. Should it ever not, the caller is still owed an answer.
	c.afterForCall(cl, time.Duration(notAfter-c.now), func(cl *call) {
		if cl.established {
			return
		}
		if cl.inFlight {
			c.withdrawAttempt(cl, control.TimedOut)
		}
		if c.calls[cl.ID] == cl {
			c.dispatch(control.Event{Kind: control.Aborted, Call: cl.ID})
			c.answer(cl, FinalAnswer{Verdict: Failed})
		}
	})
	c.admit(cl)
}

// admit has the joined modules decide on a new call, and then control. A refusal goes out at once; a call that is held
// is asked about again, until its bound.
func (c *core) admit(cl *call) {
	waited := c.now - cl.Taken.UnixNano()
	r, module := c.chain.Admit(c.now, join.Call{ID: cl.ID, Key: cl.Number, Tenant: cl.Tenant, Class: cl.Class, Dest: cl.Dest,
		Retry: cl.Retry, Taken: cl.Taken.UnixNano(), NotAfter: cl.notAfter, Asked: cl.holds})
	if cl.holds > 0 {
		c.heldByModules--
	}
	switch {
	case r.Verdict == join.Refuse:
		c.log.Debug("call turned away", "call", cl.ID, "by", module, "why", r.Reason, "later_ms", r.Wait/1e6)
		cl.holds = -1
		c.dispatch(control.Event{Kind: control.Aborted, Call: cl.ID}) // for the other modules; control never had it
		if !c.settings.RetryAfter {
			r.Wait = 0
		}
		c.answer(cl, FinalAnswer{Verdict: Refused, Wait: time.Duration(min(max(r.Wait, 0), c.settings.MaxRetryAfter))})
	case r.Verdict == join.Hold && waited < int64(maxHold) && c.heldByModules*bytesPerCall < c.memoryBytes/heldMemoryDivisor:
		cl.holds++
		c.heldByModules++
		c.afterForCall(cl, max(time.Duration(r.Wait), minHoldInterval), c.admit)
	default:
		if cl.holds == 0 { // decided at once, as it would be without the seam
			waited = 0
		}
		cl.holds = -1
		c.dispatch(control.Event{Kind: control.Arrival, Call: cl.ID, Class: cl.Class, Key: cl.Number, NotAfter: cl.notAfter,
			FarEnd: cl.Dest, Redialed: cl.Retry, Waited: waited})
	}
}

// final gives a call its one final answer.
func (c *core) answer(cl *call, f FinalAnswer) {
	if c.calls[cl.ID] != cl || cl.established {
		return
	}
	c.unanswered--
	c.answersGiven[f.Verdict]++
	cl.answeredAt = c.now
	c.log.Debug("answer", "call", cl.ID, "verdict", f.Verdict, "later_ms", f.Wait.Milliseconds(), "attempts",
		cl.attempts, "server", cl.server, "after_ms", (c.now-cl.Taken.UnixNano())/1e6)
	if f.Verdict == Stands {
		cl.established, cl.desc = true, f.Description
		c.loadBytes += len(f.Description)
	} else {
		c.remove(cl)
		c.recordAnswer(&recordedAnswer{id: cl.ID, owner: cl.Owner, fingerprint: cl.Fingerprint(), answer: f, at: c.now})
	}
	c.recordCall(cl, Record{Verdict: f.Verdict.String(), Wait: f.Wait})
	cl.caller.Answer(cl.ID, f)
}

// afterFor sets an alarm for a call that is still in hand then. The alarm does not hold the call: set-ups that are
// turned away at once come by the thousands, and their descriptions would stay until their callers' time is up.
func (c *core) afterForCall(cl *call, wait time.Duration, do func(*call)) {
	id, serial := cl.ID, cl.serial
	c.after(wait, func() {
		if cl := c.calls[id]; cl != nil && cl.serial == serial {
			do(cl)
		}
	})
}

func (c *core) remove(cl *call) {
	if cl.holds > 0 {
		c.heldByModules--
	}
	delete(c.calls, cl.ID)
	c.loadBytes -= bytesPerCall + len(cl.Description) + len(cl.desc)
}

// write hands a record to the store: one with the answer, and one more when a call that stood is over.
func (c *core) recordCall(cl *call, r Record) {
	r.ID, r.Owner, r.Class, r.Tenant, r.Number = cl.ID, cl.Owner, cl.Name, cl.Tenant, cl.Number
	r.Attempts, r.Server, r.Taken = cl.attempts, cl.server, cl.Taken
	if cl.answeredAt > 0 {
		r.Answered = time.Unix(0, cl.answeredAt)
	}
	if r.Verdict != Stands.String() || c.calls[cl.ID] != cl {
		r.Ended = time.Unix(0, c.now)
	}
	c.onRecord(r)
}

// keep remembers a final answer, and forgets the oldest ones beyond the bounds.
func (c *core) recordAnswer(k *recordedAnswer) {
	c.answers[k.id] = k
	c.answerQueue = append(c.answerQueue, k)
	c.answerBytes += len(k.answer.Description)
	for len(c.answerQueue) > c.memoryBytes/answerMemoryDivisor/bytesPerAnswer || c.answerBytes > c.memoryBytes/answerMemoryDivisor ||
		len(c.answerQueue) > 0 && c.now-c.answerQueue[0].at > int64(answerRetention) {
		old := c.answerQueue[0]
		c.answerQueue[0] = nil
		c.answerQueue = c.answerQueue[1:]
		c.answerBytes -= len(old.answer.Description)
		if c.answers[old.id] == old {
			delete(c.answers, old.id)
		}
	}
}

func (c *core) giveUp(id, owner string, from Caller) {
	cl := c.calls[id]
	if cl == nil || cl.Owner != owner || from != nil && cl.caller != from {
		return
	}
	if cl.established { // its answer crossed the caller's leaving
		c.hangUp(id, owner)
		return
	}
	c.remove(cl)
	c.unanswered--
	c.recordAnswer(&recordedAnswer{id: id, owner: owner, fingerprint: cl.Fingerprint(), answer: FinalAnswer{Verdict: Failed}, at: c.now})
	c.recordCall(cl, Record{Verdict: "left"})
	c.dispatch(control.Event{Kind: control.Aborted, Call: id})
	if cl.inFlight {
		c.withdrawAttempt(cl, control.Canceled)
	}
}

func (c *core) callerDisconnected(id, owner string) {
	if cl := c.calls[id]; cl != nil && cl.Owner == owner && !cl.established {
		cl.disconnected = true
	}
}

// over ends a standing call: the module learns it, and the memory of its answer begins.
func (c *core) endEstablished(cl *call, e Result, cut bool) {
	c.remove(cl)
	c.recordAnswer(&recordedAnswer{id: cl.ID, owner: cl.Owner, fingerprint: cl.Fingerprint(), answer: FinalAnswer{Verdict: Stands, Description: cl.desc}, ended: true,
		cut: cut, at: c.now})
	c.recordCall(cl, Record{Verdict: Stands.String(), Cut: cut})
	c.dispatch(control.Event{Kind: control.AttemptEnded, Call: cl.ID, Server: cl.server, Elapsed: c.now - cl.sentAt,
		Outcome: e.Outcome, Report: e.Report, CallEnded: true})
}

func (c *core) hangUp(id, owner string) {
	cl := c.calls[id]
	if cl == nil || !cl.established || cl.Owner != owner {
		return
	}
	c.offices.Bye(cl.server, id, cl.attempts-1, false)
	c.endEstablished(cl, Result{Outcome: control.Canceled}, false)
}

func (c *core) callReleased(server uint64, id string, cut bool, report []float64) {
	c.lastHeard[server] = c.now
	cl := c.calls[id]
	if cl == nil || !cl.established || cl.server != server {
		if report != nil {
			c.reportReceived(server, report)
		}
		if cl == nil && c.answers[id] == nil {
			c.onUnknownRelease(id, cut)
		}
		return
	}
	e := Result{Outcome: control.Completed, Report: report}
	if cut {
		e.Outcome = control.ConnectionLost
	}
	c.endEstablished(cl, e, cut)
	cl.caller.Release(id, cut)
}

// inOrder gives the calls in the order in which they came: the module's decisions must not hang on a map's order.
func (c *core) callsInOrder() []*call {
	return slices.SortedFunc(maps.Values(c.calls), func(a, b *call) int { return cmp.Compare(a.serial, b.serial) })
}

func (c *core) refuseAll() {
	c.refusingAll = true
	for _, cl := range c.callsInOrder() {
		if !cl.established {
			c.dispatch(control.Event{Kind: control.Aborted, Call: cl.ID})
			if cl.inFlight {
				c.withdrawAttempt(cl, control.Canceled)
			}
			c.answer(cl, FinalAnswer{Verdict: Refused, Wait: time.Duration(c.settings.MaxRetryAfter)})
		}
	}
}
