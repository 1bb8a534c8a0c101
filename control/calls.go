package control

// The life of a call: routing, the held attempt, the checks before every set-up, final answers.

// call is a call in progress: waiting for a set-up, held or established.
type call struct {
	id, key                   string
	class, firstChoice        int
	inTransit                 bool
	firstAt, notAfter         int64 // when its caller first called, as far as known; when this call is given up
	attempts                  int
	server                    *server // of the attempt in progress
	releasedAt, establishedAt int64   // end of the release wait, and when it was established
	mayHaveRun                bool    // an attempt might have run
	held, deferred            bool    // waits for its held attempt, and has used it
	established               bool
	threshold                 float64 // random, fixed: where between rampStart and rampEnd a delay blocks a server
	// faultyServers answered it with a fault. Whether that was their fault shows when another server takes it.
	faultyServers []*server
}

// onArrival takes a new call. A number that is known to be busy is refused.
func (c *Controller) onArrival(ev Event) {
	if c.calls[ev.Call] != nil {
		return
	}
	cl := &call{id: ev.Call, class: min(max(ev.Class, 0), len(c.cfg.Classes)-1), key: ev.Key,
		firstChoice: ev.FirstChoice, inTransit: ev.InTransit, firstAt: c.now - ev.Waited, notAfter: ev.NotAfter,
		threshold: c.rng.Float64()}
	c.calls[cl.id] = cl
	// A call to a number that was refused recently is a redial, and its caller first called then. This handles redial
	// storms of any cause; another caller to that number within refusalMemory counts as a redial too.
	if at, ok := c.refusedNumbers[cl.key]; ok && cl.key != "" && c.now-at < refusalMemory {
		cl.firstAt = min(cl.firstAt, at)
	} else if ev.Redialed {
		cl.firstAt = c.now - refusalMemory
	} else {
		c.offered.n = c.offered.decayed(c.now, loadAveraging) + 1
	}
	if c.now < c.busyNumbers[cl.key].until && cl.key != "" {
		c.finish(cl, true)
		return
	}
	c.route(cl)
}

// route sends a call at once to its first-choice cell or to another open server; if there is none, the call is held.
func (c *Controller) route(cl *call) {
	for _, s := range c.servers {
		if s.cell == cl.firstChoice && c.allowed(s, cl) && !c.blocked(s, cl) && c.send(cl, s) {
			return
		}
	}
	if s := c.pick(cl); s == nil || !c.send(cl, s) {
		c.hold(cl)
	}
}

// hold schedules the one held attempt of a call, a spacing after the latest scheduled one or after now if there is
// none. It refuses the call if it was held before or would be given up first, or if as many calls are held as spacings
// fit into the longest hold.
func (c *Controller) hold(cl *call) {
	maxHold := holdFraction * float64(c.cfg.Classes[cl.class].TargetDelay)
	spacing := min(c.spacing, maxHold)
	at := c.now
	if c.held > 0 {
		at = max(c.lastTryAt, at)
	}
	at = max(at+int64(spacing), cl.releasedAt)
	if cl.deferred || c.held >= int(maxHold/spacing) || at+c.guardTime() >= cl.notAfter {
		c.finish(cl, true)
		return
	}
	cl.deferred, cl.held = true, true
	c.held++
	c.lastTryAt = at
	c.startTimer(cl.id, at-c.now)
}

// guardTime is kept between anything planned for a call and the time when it is given up.
func (c *Controller) guardTime() int64 { return 2*c.cfg.Resolution + second/500 }

// tryHeld makes the held attempt of a call, at one server picked from all that are open to it: servers differ and are
// not all full at once. If there is none, the call is refused.
func (c *Controller) tryHeld(cl *call) {
	cl.held = false
	c.held--
	if s := c.pick(cl); s == nil || !c.send(cl, s) {
		c.finish(cl, true)
	}
}

// send is the only place that starts a set-up. It refuses whatever would break a rule: a second attempt in progress,
// too many attempts, a call that is over or out of time, the release wait, a draining server, a spent cold budget, or a
// repeat of a call that may have had its effect.
func (c *Controller) send(cl *call, s *server) bool {
	left := cl.notAfter - c.now - c.guardTime()
	switch {
	case c.calls[cl.id] != cl, cl.server != nil, cl.established, cl.held, cl.attempts >= c.cfg.MaxAttempts, left <= 0,
		c.now < cl.releasedAt, !c.allowed(s, cl), !c.hasColdCredit(s),
		cl.mayHaveRun && !c.cfg.Classes[cl.class].Effect.Repeatable():
		return false
	}
	cl.attempts++
	cl.server, s.sentAt = s, c.now
	s.unanswered = append(s.unanswered, attempt{call: cl.id, sentAt: c.now})
	s.credit-- // matters only while the server is cold
	c.actions = append(c.actions, Action{Kind: Send, Call: cl.id, Server: s.id, Wait: left})
	c.scheduleCheck()
	return true
}

// finish is the only place that gives final answers.
func (c *Controller) finish(cl *call, refuse bool) {
	if c.calls[cl.id] != cl || cl.established || cl.server != nil {
		return
	}
	c.forget(cl)
	if len(c.refusedNumbers) >= maxNumbers {
		clear(c.refusedNumbers) // all at once, so that the result does not depend on map order
	}
	c.refusedNumbers[cl.key] = cl.firstAt
	if !refuse || cl.mayHaveRun && !c.cfg.Classes[cl.class].Effect.Repeatable() {
		c.actions = append(c.actions, Action{Kind: Fail, Call: cl.id})
		return
	}
	a := Action{Kind: Refuse, Call: cl.id}
	if c.cfg.RetryAfter {
		// A caller that can still be served in time is asked back soon: its redial is one more deferral. Others are
		// asked to wait as long as allowed.
		a.Wait = c.cfg.MaxRetryAfter
		if left := cl.firstAt + c.cfg.Classes[cl.class].TargetDelay - c.now; left > minRetryTime {
			a.Wait = min(a.Wait, shortRetryAfter)
		}
	}
	c.actions = append(c.actions, a)
}

// forget removes a call that has its final answer or whose caller left.
func (c *Controller) forget(cl *call) {
	if cl == nil {
		return
	}
	if cl.held {
		c.held--
	}
	cl.held = false
	delete(c.calls, cl.id)
}

// startTimer sets a timer for a held call, or for another subscription to the list if id is empty.
func (c *Controller) startTimer(id string, wait int64) {
	c.nextTag++
	c.timers[c.nextTag] = id
	c.actions = append(c.actions, Action{Kind: StartTimer, Tag: c.nextTag, Wait: max(wait, 1)})
}

// onEstablished takes the success of a set-up: it ends the server's backoff and counts as carried load.
func (c *Controller) onEstablished(ev Event) {
	s, cl := c.server(ev.Server), c.calls[ev.Call]
	if s != nil {
		c.established++
		c.carried.n = c.carried.decayed(c.now, loadAveraging) + 1 // first, as recordAnswer updates the peak
		c.recordAnswer(s, ev.Call, 0)
		s.backoffUntil, s.down = 0, false
		s.faults.n = s.faults.decayed(c.now, badShareDecay) * (1 - badShareSmoothing)
	}
	if cl != nil {
		for _, f := range cl.faultyServers {
			if f != s {
				c.recordFault(f)
			}
		}
		if s != nil {
			s.calls++
		}
		cl.established, cl.server, cl.establishedAt = true, nil, c.now
		delete(c.busyNumbers, cl.key)
	}
}

// onAttemptEnded takes the end of an attempt, or of an established call.
func (c *Controller) onAttemptEnded(ev Event) {
	cl, s := c.calls[ev.Call], c.server(ev.Server)
	if s != nil {
		c.onLoadReport(s, ev.Report)
		c.recordOutcome(s, ev)
	}
	if cl == nil {
		return
	}
	if cl.server = nil; cl.established && s != nil {
		if s.calls--; s.calls <= 0 && ev.Outcome == ConnectionLost && c.now-cl.establishedAt > earlyCutAge {
			c.markDown(s)
		}
		c.recordCallEnd(s, ev.Outcome == ConnectionLost && c.now-cl.establishedAt < earlyCutAge)
	}
	if ev.CallEnded || cl.established {
		c.forget(cl)
		return
	}
	switch ev.Outcome {
	case TimedOut, ConnectionLost, Canceled:
		cl.mayHaveRun = true
		cl.releasedAt = c.now + c.cfg.ReleaseWait
		c.hold(cl)
	case Saturated:
		c.hold(cl)
	case ConnectionRefused:
		c.route(cl) // it never ran, and the server is not full: another open server at once
	case Errored:
		cl.mayHaveRun = true
		if ev.Note != noteNumberBusy && len(cl.faultyServers) < 2 {
			c.route(cl) // it may be the server's fault: another open one at once
			return
		}
		if cl.key != "" && ev.Note == noteNumberBusy {
			c.recordBusyNumber(cl.key)
		}
		c.finish(cl, true)
	default:
		cl.mayHaveRun = cl.mayHaveRun || ev.Outcome == Completed
		c.finish(cl, ev.Outcome != Completed)
	}
}
