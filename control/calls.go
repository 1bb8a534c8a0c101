package control

// The life of a call: route, held try, the guards of every set-up, final answers.

// call is a call in hand: waiting for a set-up, held, or standing.
type call struct {
	id, key                   string
	class, firstChoice        int
	inTransit                 bool
	firstAt, notAfter         int64 // when its caller first came, as far as known, and when this try is given up
	attempts                  int
	server                    *server // attempt out
	releasedAt, establishedAt int64   // end of the release wait, and when it stood
	mayHaveRun                bool    // an attempt might have run
	held, deferred            bool    // waits for its one later try, and had it
	established               bool
	threshold                 float64 // its draw against pressure, one for its whole life
	// faults are the servers that answered it with a fault; whose that is shows elsewhere.
	faultyServers []*server
}

func (c *Controller) onArrival(ev Event) {
	if c.calls[ev.Call] != nil {
		return
	}
	cl := &call{id: ev.Call, class: min(max(ev.Class, 0), len(c.cfg.Classes)-1), key: ev.Key, firstChoice: ev.FarEnd,
		inTransit: ev.InTransit, firstAt: c.now - ev.Waited, notAfter: ev.NotAfter, threshold: c.rng.Float64()}
	c.calls[cl.id] = cl
	// A number turned away a moment ago gives a redial away, and tells when the caller first came. It covers
	// redial storms of any cause; a second caller to that number within the span counts as a redial too.
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

// route sends a call at once: first choice while unmarked, else a draw over the other unmarked ones; a call
// that meets no room is held.
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

// hold gives a call its one later try, x after the latest scheduled one (x from now if none is held), while
// fewer than D = ⌊T̂/x⌋ are held; else it is refused.
func (c *Controller) hold(cl *call) {
	hat := holdFraction * float64(c.cfg.Classes[cl.class].Aim)
	x := min(c.spacing, hat)
	at := c.now
	if c.held > 0 {
		at = max(c.lastTryAt, at)
	}
	at = max(at+int64(x), cl.releasedAt)
	if cl.deferred || c.held >= int(hat/x) || at+c.guardTime() >= cl.notAfter {
		c.finish(cl, true)
		return
	}
	cl.deferred, cl.held = true, true
	c.held++
	c.lastTryAt = at
	c.startTimer(cl.id, at-c.now)
}

// guard is the time kept between anything planned for a call and its caller's end.
func (c *Controller) guardTime() int64 { return 2*c.cfg.Resolution + second/500 }

// try is the held call's one later try: one server, drawn over all allowed. Servers are not alike here nor
// full at once, so the draw falls on unmarked ones while there are any; if all are marked, the call is
// refused.
func (c *Controller) tryHeld(cl *call) {
	cl.held = false
	c.held--
	if s := c.pick(cl); s == nil || !c.send(cl, s) {
		c.finish(cl, true)
	}
}

// send is the one place that issues a set-up. It refuses whatever would break a rule: a second attempt out,
// attempts spent, a call over or out of time, the release wait, a drain that was told, a cold budget spent, a
// repeat of a call whose effect may have happened.
func (c *Controller) send(cl *call, s *server) bool {
	left := cl.notAfter - c.now - c.guardTime()
	switch {
	case c.calls[cl.id] != cl, cl.server != nil, cl.established, cl.held, cl.attempts >= c.cfg.MaxAttempts, left <= 0,
		c.now < cl.releasedAt, !c.allowed(s, cl), !c.hasColdCredit(s),
		cl.mayHaveRun && c.cfg.Classes[cl.class].Effect != Idempotent:
		return false
	}
	cl.attempts++
	cl.server, s.sentAt = s, c.now
	s.unanswered = append(s.unanswered, attempt{call: cl.id, sentAt: c.now})
	s.credit-- // counts while it is cold only
	c.actions = append(c.actions, Action{Kind: Send, Call: cl.id, Server: s.id, Wait: left})
	c.scheduleCheck()
	return true
}

// final is the one place that gives final answers.
func (c *Controller) finish(cl *call, refuse bool) {
	if c.calls[cl.id] != cl || cl.established || cl.server != nil {
		return
	}
	c.forget(cl)
	if len(c.refusedNumbers) >= maxNumbers {
		clear(c.refusedNumbers) // all at once, so that map order decides nothing
	}
	c.refusedNumbers[cl.key] = cl.firstAt
	if !refuse || cl.mayHaveRun && c.cfg.Classes[cl.class].Effect != Idempotent {
		c.actions = append(c.actions, Action{Kind: Fail, Call: cl.id})
		return
	}
	a := Action{Kind: Refuse, Call: cl.id}
	if c.cfg.RetryAfter {
		// A caller that can still be served in time is asked back soon: its redial is one more deferral. Any
		// other stays away as long as it may.
		a.Wait = c.cfg.MaxRetryAfter
		if left := cl.firstAt + c.cfg.Classes[cl.class].Aim - c.now; left > minRetryTime {
			a.Wait = min(a.Wait, shortRetryAfter)
		}
	}
	c.actions = append(c.actions, a)
}

// over forgets a call that has its answer or whose caller left.
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

func (c *Controller) startTimer(id string, wait int64) {
	c.nextTag++
	c.timers[c.nextTag] = id
	c.actions = append(c.actions, Action{Kind: StartTimer, Tag: c.nextTag, Wait: max(wait, 1)})
}

// standing takes a set-up that stood: it ends marks and feeds the load borne.
func (c *Controller) onEstablished(ev Event) {
	s, cl := c.server(ev.Server), c.calls[ev.Call]
	if s != nil {
		c.established++
		c.carried.n = c.carried.decayed(c.now, loadAveraging) + 1 // first, as the most borne is taken with the answer
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

// returned takes an attempt's end.
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
		cl.releasedAt = c.now + c.cfg.ClearWait
		c.hold(cl)
	case Saturated:
		c.hold(cl)
	case ConnectionRefused:
		c.route(cl) // it never ran, and this is no fullness: another unmarked server at once
	case Errored:
		cl.mayHaveRun = true
		if ev.Note != noteNumberBusy && len(cl.faultyServers) < 2 {
			c.route(cl) // perhaps a fault of that server: another unmarked one at once
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
