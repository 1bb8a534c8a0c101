package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masthill/control"
	"masthill/control/join"
)

// submit handles a set-up: a new call is admitted, a repeated one joins its call or gets the recorded answer.
func (c *core) submit(s Setup, caller Caller) {
	if cl := c.calls[s.ID]; cl != nil {
		if cl.Owner != s.Owner || cl.Fingerprint() != s.Fingerprint() {
			caller.Answer(s.ID, FinalAnswer{Kind: Failed})
			return
		}
		cl.disconnected = false
		if cl.caller = caller; cl.established {
			caller.Answer(s.ID, FinalAnswer{Kind: Established, Description: cl.officeDescription})
		}
		return
	}
	if recorded := c.answers.get(s.ID); recorded != nil {
		if recorded.owner != s.Owner || recorded.fingerprint != s.Fingerprint() { // another call with the same id
			caller.Answer(s.ID, FinalAnswer{Kind: Failed})
			return
		}
		if caller.Answer(s.ID, recorded.answer); recorded.ended {
			caller.Release(s.ID, recorded.cut)
		}
		return
	}
	c.serial++
	cl := &call{Setup: s, serial: c.serial, caller: caller}
	c.calls[s.ID] = cl
	c.unanswered++
	if c.loadBytes += bytesPerCall + len(s.Description); c.loadBytes > c.memoryBytes/callMemoryDivisor || c.refusingAll {
		c.answer(cl, FinalAnswer{Kind: Refused, RetryAfter: time.Duration(c.settings.MaxRetryAfter)})
		return
	}
	notAfter := s.ExpiresAt.Add(-answerMargin).UnixNano()
	cl.notAfter = notAfter
	// The controller ends every call in time by itself. If it ever did not, the caller would still be owed an answer.
	c.afterForCall(cl, time.Duration(notAfter-c.now), func(cl *call) {
		if cl.inFlight {
			c.withdrawAttempt(cl, control.TimedOut)
		}
		if c.calls[cl.ID] == cl {
			c.dispatch(control.Event{Kind: control.Aborted, Call: cl.ID})
			c.answer(cl, FinalAnswer{Kind: Failed})
		}
	})
	c.admit(cl)
}

// admit has the joined modules decide on a new call, and then the controller. A refusal is answered at once. For a held
// call they decide again until the bounds on holding are reached.
func (c *core) admit(cl *call) {
	waited := c.now - cl.ReceivedAt.UnixNano()
	decision, module := c.modules.Admit(c.now, join.Call{ID: cl.ID, Key: cl.Number, Tenant: cl.Tenant, Class: cl.Class, FirstChoice: cl.FirstChoice,
		Redialed: cl.Redialed, ReceivedAt: cl.ReceivedAt.UnixNano(), NotAfter: cl.notAfter, TimesHeld: cl.holds})
	if cl.holds > 0 {
		c.heldByModules--
	}
	switch {
	case decision.Kind == join.Refuse:
		c.log.Debug("call refused by module", "call", cl.ID, "by", module, "why", decision.Reason, "later_ms", decision.Wait/1e6)
		cl.holds = -1
		c.dispatch(control.Event{Kind: control.Aborted, Call: cl.ID}) // for the other modules; the controller never saw the call
		if !c.settings.RetryAfter {
			decision.Wait = 0
		}
		c.answer(cl, FinalAnswer{Kind: Refused, RetryAfter: time.Duration(min(max(decision.Wait, 0), c.settings.MaxRetryAfter))})
	case decision.Kind == join.Hold && waited < int64(maxHold) && c.heldByModules*bytesPerCall < c.memoryBytes/heldMemoryDivisor:
		cl.holds++
		c.heldByModules++
		c.afterForCall(cl, max(time.Duration(decision.Wait), minHoldInterval), c.admit)
	default:
		if cl.holds == 0 { // decided at once, as without joined modules
			waited = 0
		}
		cl.holds = -1
		c.dispatch(control.Event{Kind: control.Arrival, Call: cl.ID, Class: cl.Class, Key: cl.Number, NotAfter: cl.notAfter,
			FirstChoice: cl.FirstChoice, Redialed: cl.Redialed, Waited: waited})
	}
}

// answer gives a call its one final answer.
func (c *core) answer(cl *call, answer FinalAnswer) {
	if c.calls[cl.ID] != cl || cl.established {
		return
	}
	c.unanswered--
	c.answersGiven[answer.Kind]++
	cl.answeredAt = c.now
	c.log.Debug("answer", "call", cl.ID, "verdict", answer.Kind, "later_ms", answer.RetryAfter.Milliseconds(), "attempts",
		cl.attempts, "server", cl.server, "after_ms", (c.now-cl.ReceivedAt.UnixNano())/1e6)
	if answer.Kind == Established {
		c.stopTimers(cl)
		cl.established, cl.officeDescription = true, answer.Description
		c.loadBytes += len(answer.Description)
	} else {
		c.remove(cl)
		c.recordAnswer(cl, recordedAnswer{answer: answer})
	}
	c.recordCall(cl, Record{AnswerKind: answer.Kind.String(), RetryAfter: answer.RetryAfter})
	cl.caller.Answer(cl.ID, answer)
}

// remove deletes a call and its share of the memory count.
func (c *core) remove(cl *call) {
	if cl.holds > 0 {
		c.heldByModules--
	}
	c.stopTimers(cl)
	delete(c.calls, cl.ID)
	c.loadBytes -= bytesPerCall + len(cl.Description) + len(cl.officeDescription)
}

// recordCall passes a record to the store: one with the answer, and another when an established call ends.
func (c *core) recordCall(cl *call, r Record) {
	r.ID, r.Owner, r.Class, r.Tenant, r.Number = cl.ID, cl.Owner, cl.ClassName, cl.Tenant, cl.Number
	r.Attempts, r.Server, r.ReceivedAt = cl.attempts, cl.server, cl.ReceivedAt
	if cl.answeredAt > 0 {
		r.AnsweredAt = time.Unix(0, cl.answeredAt)
	}
	if r.AnswerKind != Established.String() || c.calls[cl.ID] != cl {
		r.EndedAt = time.Unix(0, c.now)
	}
	c.onRecord(r)
}

// recordAnswer keeps the final answer to a call that is over.
func (c *core) recordAnswer(cl *call, r recordedAnswer) {
	r.id, r.owner, r.fingerprint, r.attempted, r.at = cl.ID, cl.Owner, cl.Fingerprint(), cl.attempts > 0, c.now
	c.answers.add(&r)
}

func (c *core) giveUp(id, owner string, caller Caller) {
	cl := c.calls[id]
	if cl == nil || cl.Owner != owner || caller != nil && cl.caller != caller {
		return
	}
	if cl.established { // the answer crossed the caller's giving up
		c.hangUp(id, owner)
		return
	}
	c.remove(cl)
	c.unanswered--
	c.recordAnswer(cl, recordedAnswer{answer: FinalAnswer{Kind: Failed}})
	c.recordCall(cl, Record{AnswerKind: "left"})
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

// endEstablished ends an established call: it reports the end to the controller and keeps the answer for repeated
// set-ups.
func (c *core) endEstablished(cl *call, result Result, cut bool) {
	c.remove(cl)
	c.recordAnswer(cl, recordedAnswer{answer: FinalAnswer{Kind: Established, Description: cl.officeDescription}, ended: true, cut: cut})
	c.recordCall(cl, Record{AnswerKind: Established.String(), Cut: cut})
	c.dispatch(control.Event{Kind: control.AttemptEnded, Call: cl.ID, Server: cl.server, Elapsed: c.now - cl.sentAt,
		Outcome: result.Outcome, Report: result.Report, CallEnded: true})
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
	c.lastReceivedAt[server] = c.now
	cl := c.calls[id]
	if cl == nil || !cl.established || cl.server != server {
		if report != nil {
			c.reportReceived(server, report)
		}
		if cl == nil && c.answers.get(id) == nil {
			c.onUnknownRelease(id, cut)
		}
		return
	}
	result := Result{Outcome: control.Completed, Report: report}
	if cut {
		result.Outcome = control.ConnectionLost
	}
	c.endEstablished(cl, result, cut)
	cl.caller.Release(id, cut)
}

// callsInOrder returns the calls in order of arrival, since the controller's decisions must not depend on map order.
func (c *core) callsInOrder() []*call {
	return slices.SortedFunc(maps.Values(c.calls), func(a, b *call) int { return cmp.Compare(a.serial, b.serial) })
}

// refuseAll ends all unanswered calls, and refuses every later one.
func (c *core) refuseAll() {
	c.refusingAll = true
	for _, cl := range c.callsInOrder() {
		if cl.established {
			continue
		}
		answer := c.abandon(cl)
		if cl.inFlight {
			c.withdrawAttempt(cl, control.Canceled)
		}
		c.answer(cl, answer)
	}
}

// abandon takes a call from the controller and returns its final answer: a refusal, or a failure where that would wrongly
// tell the caller that trying again is harmless.
func (c *core) abandon(cl *call) FinalAnswer {
	harmless := c.controller.RefusalIsHarmless(cl.ID, cl.inFlight)
	c.dispatch(control.Event{Kind: control.Aborted, Call: cl.ID})
	if !harmless {
		return FinalAnswer{Kind: Failed}
	}
	return FinalAnswer{Kind: Refused, RetryAfter: time.Duration(c.settings.MaxRetryAfter)}
}
