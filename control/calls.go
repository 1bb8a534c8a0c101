package control

// The life of a call: route, held try, the guards of every set-up, final answers.

// call is a call in hand: waiting for a set-up, held, or standing.
type call struct {
	id, key          string
	class, cell      int
	inTransit        bool
	first, notAfter  int64 // when its caller first came, as far as known, and when this try is given up
	attempts         int
	at               *server // attempt out
	clearAt, stoodAt int64   // end of the release wait, and when it stood
	ran              bool    // an attempt might have run
	held, deferred   bool    // waits for its one later try, and had it
	stands           bool
	luck             float64 // its draw against pressure, one for its whole life
	// faults are the servers that answered it with a fault; whose that is shows elsewhere.
	faults []*server
}

func (c *Controller) arrival(ev Event) {
	if c.calls[ev.Call] != nil {
		return
	}
	cl := &call{id: ev.Call, class: min(max(ev.Class, 0), len(c.set.Classes)-1), key: ev.Key, cell: ev.FarEnd,
		inTransit: ev.InTransit, first: c.now - ev.Waited, notAfter: ev.NotAfter, luck: c.rng.Float64()}
	c.calls[cl.id] = cl
	// A number turned away a moment ago gives a redial away, and tells when the caller first came. It covers
	// redial storms of any cause; a second caller to that number within the span counts as a redial too.
	if at, ok := c.turned[cl.key]; ok && cl.key != "" && c.now-at < turnedSpan {
		cl.first = min(cl.first, at)
	} else if ev.Redialed {
		cl.first = c.now - turnedSpan
	} else {
		c.offered.n = c.offered.now(c.now, bornSpan) + 1
	}
	if c.now < c.hots[cl.key].until && cl.key != "" {
		c.final(cl, true)
		return
	}
	c.route(cl)
}

// route sends a call at once: first choice while unmarked, else a draw over the other unmarked ones; a call
// that meets no room is held.
func (c *Controller) route(cl *call) {
	for _, s := range c.servers {
		if s.cell == cl.cell && c.allowed(s, cl) && !c.marked(s, cl) && c.send(cl, s) {
			return
		}
	}
	if s := c.draw(cl); s == nil || !c.send(cl, s) {
		c.hold(cl)
	}
}

// hold gives a call its one later try, x after the latest scheduled one (x from now if none is held), while
// fewer than D = ⌊T̂/x⌋ are held; else it is refused.
func (c *Controller) hold(cl *call) {
	hat := holdShare * float64(c.set.Classes[cl.class].Aim)
	x := min(c.x, hat)
	at := c.now
	if c.held > 0 {
		at = max(c.lastTry, at)
	}
	at = max(at+int64(x), cl.clearAt)
	if cl.deferred || c.held >= int(hat/x) || at+c.guard() >= cl.notAfter {
		c.final(cl, true)
		return
	}
	cl.deferred, cl.held = true, true
	c.held++
	c.lastTry = at
	c.remind(cl.id, at-c.now)
}

// guard is the time kept between anything planned for a call and its caller's end.
func (c *Controller) guard() int64 { return 2*c.set.Resolution + second/500 }

// try is the held call's one later try: one server, drawn over all allowed. Servers are not alike here nor
// full at once, so the draw falls on unmarked ones while there are any; if all are marked, the call is
// refused.
func (c *Controller) try(cl *call) {
	cl.held = false
	c.held--
	if s := c.draw(cl); s == nil || !c.send(cl, s) {
		c.final(cl, true)
	}
}

// send is the one place that issues a set-up. It refuses whatever would break a rule: a second attempt out,
// attempts spent, a call over or out of time, the release wait, a drain that was told, a cold budget spent, a
// repeat of a call whose effect may have happened.
func (c *Controller) send(cl *call, s *server) bool {
	left := cl.notAfter - c.now - c.guard()
	switch {
	case c.calls[cl.id] != cl, cl.at != nil, cl.stands, cl.held, cl.attempts >= c.set.MaxAttempts, left <= 0,
		c.now < cl.clearAt, !c.allowed(s, cl), !c.coldRoom(s),
		cl.ran && c.set.Classes[cl.class].Effect != Idempotent:
		return false
	}
	cl.attempts++
	cl.at, s.sentAt = s, c.now
	s.out = append(s.out, attempt{call: cl.id, at: c.now})
	s.credit-- // counts while it is cold only
	c.acts = append(c.acts, Action{Kind: Send, Call: cl.id, Server: s.id, Wait: left})
	c.pulse()
	return true
}

// final is the one place that gives final answers.
func (c *Controller) final(cl *call, refuse bool) {
	if c.calls[cl.id] != cl || cl.stands || cl.at != nil {
		return
	}
	c.over(cl)
	if len(c.turned) >= turnedMost {
		clear(c.turned) // all at once, so that map order decides nothing
	}
	c.turned[cl.key] = cl.first
	if !refuse || cl.ran && c.set.Classes[cl.class].Effect != Idempotent {
		c.acts = append(c.acts, Action{Kind: Fail, Call: cl.id})
		return
	}
	a := Action{Kind: Refuse, Call: cl.id}
	if c.set.RetryAfter {
		// A caller that can still be served in time is asked back soon: its redial is one more deferral. Any
		// other stays away as long as it may.
		a.Wait = c.set.MaxRetryAfter
		if left := cl.first + c.set.Classes[cl.class].Aim - c.now; left > backNeed {
			a.Wait = min(a.Wait, backSoon)
		}
	}
	c.acts = append(c.acts, a)
}

// over forgets a call that has its answer or whose caller left.
func (c *Controller) over(cl *call) {
	if cl == nil {
		return
	}
	if cl.held {
		c.held--
	}
	cl.held = false
	delete(c.calls, cl.id)
}

func (c *Controller) remind(id string, wait int64) {
	c.nextTag++
	c.timers[c.nextTag] = id
	c.acts = append(c.acts, Action{Kind: StartTimer, Tag: c.nextTag, Wait: max(wait, 1)})
}

// standing takes a set-up that stood: it ends marks and feeds the load borne.
func (c *Controller) standing(ev Event) {
	s, cl := c.server(ev.Server), c.calls[ev.Call]
	if s != nil {
		c.stood++
		c.borne.n = c.borne.now(c.now, bornSpan) + 1 // first, as the most borne is taken with the answer
		c.answered(s, ev.Call, 0)
		s.markEnd, s.down = 0, false
		s.fault.n = s.fault.now(c.now, cutFade) * (1 - cutGain)
	}
	if cl != nil {
		for _, f := range cl.faults {
			if f != s {
				c.blame(f)
			}
		}
		if s != nil {
			s.calls++
		}
		cl.stands, cl.at, cl.stoodAt = true, nil, c.now
		delete(c.hots, cl.key)
	}
}

// returned takes an attempt's end.
func (c *Controller) returned(ev Event) {
	cl, s := c.calls[ev.Call], c.server(ev.Server)
	if s != nil {
		c.report(s, ev.Report)
		c.judge(s, ev)
	}
	if cl == nil {
		return
	}
	if cl.at = nil; cl.stands && s != nil {
		if s.calls--; s.calls <= 0 && ev.Outcome == ConnectionLost && c.now-cl.stoodAt > cutYoung {
			c.fell(s)
		}
		c.ended(s, ev.Outcome == ConnectionLost && c.now-cl.stoodAt < cutYoung)
	}
	if ev.CallEnded || cl.stands {
		c.over(cl)
		return
	}
	switch ev.Outcome {
	case TimedOut, ConnectionLost, Canceled:
		cl.ran = true
		cl.clearAt = c.now + c.set.ClearWait
		c.hold(cl)
	case Saturated:
		c.hold(cl)
	case ConnectionRefused:
		c.route(cl) // it never ran, and this is no fullness: another unmarked server at once
	case Errored:
		cl.ran = true
		if ev.Note != busyLine && len(cl.faults) < 2 {
			c.route(cl) // perhaps a fault of that server: another unmarked one at once
			return
		}
		if cl.key != "" && ev.Note == busyLine {
			c.busyNumber(cl.key)
		}
		c.final(cl, true)
	default:
		cl.ran = cl.ran || ev.Outcome == Completed
		c.final(cl, ev.Outcome != Completed)
	}
}
