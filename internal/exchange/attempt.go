package exchange

import (
	"time"

	"masthill/control"
)

const (
	// firstPresenceRecheck is the wait until a client with unread input is checked again; it doubles each time.
	// maxPresenceWait bounds the whole wait: the attempt starts by then or never.
	firstPresenceRecheck, maxPresenceWait = time.Millisecond, 200 * time.Millisecond
)

// presence returns the state of a call's client as the front end knows it; Connected if it can't tell.
func presence(caller Caller, id string) Presence {
	if checker, ok := caller.(PresenceChecker); ok {
		return checker.Presence(id)
	}
	return Connected
}

// send starts an attempt. The controller keeps to the rules by itself. An attempt that would break one all the same is
// not sent; it is reported back as one that never ran, unless another attempt is in flight.
func (c *core) send(cl *call, a control.Action) {
	clientPresence := presence(cl.caller, cl.ID)
	if cl.disconnected || clientPresence == Gone {
		c.refuseAbsentClient(cl, a.Server)
		return
	}
	hasCapacity, module, reason := c.modules.HasCapacity(c.now, a.Server)
	if cl.inFlight || c.now < cl.notBefore || !c.isServing(a.Server) || !hasCapacity {
		c.log.Error("attempt kept back", "call", cl.ID, "server", a.Server, "out", cl.inFlight,
			"clear_in_ms", (cl.notBefore-c.now)/1e6, "serving", c.isServing(a.Server), "capped_by", module, "why", reason)
		if !cl.inFlight {
			cl.attempts++
			c.dispatch(control.Event{Kind: control.AttemptEnded, Call: cl.ID, Server: a.Server, Outcome: control.Unavailable})
		}
		return
	}
	n := cl.attempts
	cl.attempts, cl.inFlight, cl.server, cl.sentAt = cl.attempts+1, true, a.Server, c.now
	c.modules.OnAction(c.now, a)
	c.afterForCall(cl, time.Duration(a.Wait), func(cl *call) {
		if cl.inFlight && cl.attempts == n+1 {
			c.offices.ReportSilence(cl.server, time.Unix(0, cl.sentAt), false)
			c.withdrawAttempt(cl, control.TimedOut)
		}
	})
	if clientPresence == InputPending {
		c.recheckPresence(cl, a, firstPresenceRecheck, c.now+int64(min(maxPresenceWait, time.Duration(a.Wait/2))))
		return
	}
	c.invite(cl, a)
}

// isServing tells whether a server is listed and accepts attempts.
func (c *core) isServing(server uint64) bool {
	office, listed := c.knownOffices[server]
	return listed && office.State == control.Serving
}

// invite hands an attempt to the offices' side.
func (c *core) invite(cl *call, a control.Action) {
	wait := time.Duration(a.Wait - (c.now - cl.sentAt))
	cl.sentAt = c.now
	c.log.Debug("attempt", "call", cl.ID, "n", cl.attempts-1, "server", a.Server, "dest", cl.FirstChoice, "wait_ms", wait.Milliseconds(),
		"since_ms", (c.now-cl.ReceivedAt.UnixNano())/1e6)
	caller, id := cl.caller, cl.ID
	c.offices.Invite(Attempt{ID: cl.ID, Class: cl.ClassName, Number: cl.Number, Description: cl.Description, Index: cl.attempts - 1, Server: a.Server,
		Timeout: wait, Presence: func() Presence { return presence(caller, id) }})
}

// recheckPresence delays an attempt while unread input of the client waits, which the reader handles meanwhile. A
// delayed attempt counts as in flight, so whatever ends an attempt ends it too.
func (c *core) recheckPresence(cl *call, a control.Action, wait time.Duration, until int64) {
	n := cl.attempts
	c.afterForCall(cl, wait, func(cl *call) {
		if !cl.inFlight || cl.attempts != n {
			return
		}
		switch clientPresence := presence(cl.caller, cl.ID); {
		case cl.disconnected || clientPresence == Gone || clientPresence == InputPending && c.now >= until:
			cl.inFlight = false
			c.refuseAbsentClient(cl, a.Server)
		case clientPresence == InputPending:
			c.recheckPresence(cl, a, 2*wait, until)
		case !c.isServing(a.Server):
			c.attemptReturned(cl, Result{Outcome: control.ConnectionRefused}) // it never ran: another server may take the call
		default:
			c.invite(cl, a)
		}
	})
}

// refuseAbsentClient ends a call whose client has gone or whose input stays unread, as an attempt would be wasted. The
// answer is recorded in case the client comes back.
func (c *core) refuseAbsentClient(cl *call, server uint64) {
	c.log.Debug("attempt dropped: client gone", "call", cl.ID, "server", server, "away", cl.disconnected)
	answer := c.abandon(cl)
	c.dispatch(control.Event{Kind: control.AttemptEnded, Call: cl.ID, Server: server, Outcome: control.Canceled, CallEnded: true})
	c.answer(cl, answer)
}

// withdrawAttempt cancels the attempt in flight.
func (c *core) withdrawAttempt(cl *call, outcome control.Outcome) {
	c.offices.Cancel(cl.server, cl.ID, cl.attempts-1)
	c.attemptReturned(cl, Result{Outcome: outcome})
}

// attemptReturned handles the end of the attempt in flight.
func (c *core) attemptReturned(cl *call, result Result) {
	c.log.Debug("attempt ended", "call", cl.ID, "n", cl.attempts-1, "server", cl.server, "outcome", result.Outcome,
		"note", result.Note, "wait_ms", result.WaitMS, "report", result.Report, "after_ms", (c.now-cl.sentAt)/1e6)
	cl.inFlight = false
	if result.Outcome == control.TimedOut || result.Outcome == control.ConnectionLost || result.Outcome == control.Canceled {
		cl.notBefore = c.now + c.settings.ReleaseWait
	}
	c.dispatch(control.Event{Kind: control.AttemptEnded, Call: cl.ID, Server: cl.server, Elapsed: c.now - cl.sentAt,
		Outcome: result.Outcome, Note: result.Note, WaitMS: result.WaitMS, Report: result.Report, CallEnded: c.calls[cl.ID] != cl})
}

// attemptEstablished handles an office's acceptance of attempt n.
func (c *core) attemptEstablished(server uint64, id string, n int, description []byte) {
	c.lastReceivedAt[server] = c.now
	cl := c.calls[id]
	if cl != nil && cl.established && cl.server == server {
		return // repeated
	}
	if cl == nil || !cl.inFlight || cl.server != server || cl.attempts != n+1 {
		c.offices.Bye(server, id, n, true) // the acceptance crossed the end of its attempt
		return
	}
	c.log.Debug("attempt established", "call", id, "n", n, "server", server, "after_ms", (c.now-cl.sentAt)/1e6)
	cl.inFlight = false
	if checker, ok := cl.caller.(AnswerChecker); ok && !checker.CanDeliver(id, FinalAnswer{Kind: Established, Description: description}) {
		c.failUndeliverable(cl, n, len(description))
		return
	}
	c.answer(cl, FinalAnswer{Kind: Established, Description: description})
	c.scheduleSilenceCheck()
	c.dispatch(control.Event{Kind: control.Established, Call: id, Server: server, Elapsed: c.now - cl.sentAt})
}

// failUndeliverable ends a call that attempt n has established with a description that does not fit into any message to the
// caller: the caller gets an answer that it can read, and the call is released at the office.
func (c *core) failUndeliverable(cl *call, n, descriptionBytes int) {
	c.log.Warn("answer too long for the caller", "call", cl.ID, "server", cl.server, "description_bytes", descriptionBytes)
	c.offices.Bye(cl.server, cl.ID, n, true)
	c.dispatch(control.Event{Kind: control.Established, Call: cl.ID, Server: cl.server, Elapsed: c.now - cl.sentAt})
	c.dispatch(control.Event{Kind: control.AttemptEnded, Call: cl.ID, Server: cl.server, Elapsed: c.now - cl.sentAt,
		Outcome: control.Canceled, CallEnded: true})
	c.answer(cl, FinalAnswer{Kind: Failed})
}

// attemptEnded handles the end of attempt n without an acceptance.
func (c *core) attemptEnded(server uint64, id string, n int, result Result) {
	if result.Outcome == control.Errored || result.Outcome == control.Saturated {
		c.lastReceivedAt[server] = c.now
	}
	if cl := c.calls[id]; cl != nil && cl.inFlight && cl.server == server && cl.attempts == n+1 {
		c.attemptReturned(cl, result)
	} else if result.Report != nil {
		c.reportReceived(server, result.Report)
	}
}
