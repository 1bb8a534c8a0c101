package exchange

import (
	"time"

	"masthill/control"
)

const (
	// unheardFirstWait, doubled each time, is the wait until a client whose input waits to be read is asked for again, and
	// unheardLimit how long it may stay so: its attempt begins by then, or never.
	unheardFirstWait, unheardLimit = time.Millisecond, 200 * time.Millisecond
)

// presence is what the front knows of a call's client.
func presence(from Caller, id string) Presence {
	if checker, ok := from.(PresenceChecker); ok {
		return checker.Presence(id)
	}
	return Connected
}

// send starts an attempt. The module keeps the rules itself; what it would break here comes back to it as
// never sent.
func (c *core) send(cl *call, a control.Action) {
	there := presence(cl.from, cl.ID)
	if cl.disconnected || there == Gone {
		c.unwanted(cl, a.Server)
		return
	}
	room, module, why := c.chain.HasRoom(c.now, a.Server)
	if cl.inFlight || c.now < cl.clearAt || !c.serving(a.Server) || !room {
		c.log.Error("attempt kept back", "call", cl.ID, "server", a.Server, "out", cl.inFlight,
			"clear_in_ms", (cl.clearAt-c.now)/1e6, "serving", c.serving(a.Server), "capped_by", module, "why", why)
		if !cl.inFlight {
			cl.sent++
			c.tell(control.Event{Kind: control.AttemptEnded, Call: cl.ID, Server: a.Server, Outcome: control.Unavailable})
		}
		return
	}
	n := cl.sent
	cl.sent, cl.inFlight, cl.server, cl.sentAt = cl.sent+1, true, a.Server, c.now
	c.chain.OnAction(c.now, a)
	c.afterFor(cl, time.Duration(a.Wait), func(cl *call) {
		if cl.inFlight && cl.sent == n+1 {
			c.offices.ReportSilence(cl.server, time.Unix(0, cl.sentAt), false)
			c.withdraw(cl, control.TimedOut)
		}
	})
	if there == InputPending {
		c.askAgain(cl, a, unheardFirstWait, c.now+int64(min(unheardLimit, time.Duration(a.Wait/2))))
		return
	}
	c.invite(cl, a)
}

// serving tells whether a server is listed and takes attempts.
func (c *core) serving(server uint64) bool {
	office, listed := c.known[server]
	return listed && office.State == control.Serving
}

// invite hands an attempt to the offices' side.
func (c *core) invite(cl *call, a control.Action) {
	wait := time.Duration(a.Wait - (c.now - cl.sentAt))
	cl.sentAt = c.now
	c.log.Debug("attempt", "call", cl.ID, "n", cl.sent-1, "server", a.Server, "dest", cl.Dest, "wait_ms", wait.Milliseconds(),
		"since_ms", (c.now-cl.Taken.UnixNano())/1e6)
	from, id := cl.from, cl.ID
	c.offices.Invite(Attempt{ID: cl.ID, Class: cl.Name, Number: cl.Number, Description: cl.Description, Index: cl.sent - 1, Server: a.Server,
		Wait: wait, Presence: func() Presence { return presence(from, id) }})
}

// askAgain keeps an attempt back while input of the call's client waits to be read: its reader goes on meanwhile. An
// attempt kept back counts as out, so that all that ends one ends it.
func (c *core) askAgain(cl *call, a control.Action, wait time.Duration, until int64) {
	n := cl.sent
	c.afterFor(cl, wait, func(cl *call) {
		if !cl.inFlight || cl.sent != n {
			return
		}
		switch there := presence(cl.from, cl.ID); {
		case cl.disconnected || there == Gone || there == InputPending && c.now >= until:
			cl.inFlight = false
			c.unwanted(cl, a.Server)
		case there == InputPending:
			c.askAgain(cl, a, 2*wait, until)
		case !c.serving(a.Server):
			c.back(cl, Result{Outcome: control.ConnectionRefused}) // it never ran: another server may take the call
		default:
			c.invite(cl, a)
		}
	})
}

// unwanted ends a call whose client has gone, or can't be heard: an attempt would be work for nobody. The refusal is
// on record, should the client come back.
func (c *core) unwanted(cl *call, server uint64) {
	c.log.Debug("attempt not wanted", "call", cl.ID, "server", server, "away", cl.disconnected)
	c.tell(control.Event{Kind: control.Aborted, Call: cl.ID})
	c.tell(control.Event{Kind: control.AttemptEnded, Call: cl.ID, Server: server, Outcome: control.Canceled, CallEnded: true})
	c.final(cl, FinalAnswer{Verdict: Refused, Wait: time.Duration(c.set.MaxRetryAfter)})
}

// withdraw gives up the attempt that is out.
func (c *core) withdraw(cl *call, o control.Outcome) {
	c.offices.Cancel(cl.server, cl.ID, cl.sent-1)
	c.back(cl, Result{Outcome: o})
}

// back takes the end of the attempt that is out.
func (c *core) back(cl *call, e Result) {
	c.log.Debug("attempt ended", "call", cl.ID, "n", cl.sent-1, "server", cl.server, "outcome", e.Outcome,
		"note", e.Note, "wait_ms", e.WaitMS, "report", e.Report, "after_ms", (c.now-cl.sentAt)/1e6)
	cl.inFlight = false
	if e.Outcome == control.TimedOut || e.Outcome == control.ConnectionLost || e.Outcome == control.Canceled {
		cl.clearAt = c.now + c.set.ClearWait
	}
	c.tell(control.Event{Kind: control.AttemptEnded, Call: cl.ID, Server: cl.server, Elapsed: c.now - cl.sentAt,
		Outcome: e.Outcome, Note: e.Note, WaitMS: e.WaitMS, Report: e.Report, CallEnded: c.calls[cl.ID] != cl})
}

func (c *core) stood(server uint64, id string, n int, desc []byte) {
	c.heard[server] = c.now
	cl := c.calls[id]
	if cl != nil && cl.established && cl.server == server {
		return // told again
	}
	if cl == nil || !cl.inFlight || cl.server != server || cl.sent != n+1 {
		c.offices.Bye(server, id, n, true) // the answer crossed the end of its attempt
		return
	}
	c.log.Debug("attempt stood", "call", id, "n", n, "server", server, "after_ms", (c.now-cl.sentAt)/1e6)
	cl.inFlight = false
	c.final(cl, FinalAnswer{Verdict: Stands, Description: desc})
	c.pulse()
	c.tell(control.Event{Kind: control.Stands, Call: id, Server: server, Elapsed: c.now - cl.sentAt})
}

func (c *core) ended(server uint64, id string, n int, e Result) {
	if e.Outcome == control.Errored || e.Outcome == control.Saturated {
		c.heard[server] = c.now
	}
	if cl := c.calls[id]; cl != nil && cl.inFlight && cl.server == server && cl.sent == n+1 {
		c.back(cl, e)
	} else if e.Report != nil {
		c.state(server, e.Report)
	}
}
