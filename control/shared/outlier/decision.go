package outlier

import (
	"cmp"
	"maps"
	"slices"
)

// refreshInterval is how often decisions are evaluated while there is no new observation.
const refreshInterval = second / 20

// Decision is the result of evaluating the reports on one server.
type Decision struct {
	Server      uint64   `json:"server"`
	Avoided     bool     `json:"avoided"`
	Reason      string   `json:"reason"`    // silent or dead, or why the server is not avoided
	Observers   []string `json:"witnesses"` // the instances whose bad reports the decision rests on
	GoodReports int      `json:"against"`   // the number of good reports in the sample
	AgeMS       int64    `json:"age_ms"`    // of the youngest report of the sample
}

// The reasons why a server with bad reports is not avoided.
const (
	FewObservers   = "few-witnesses"     // fewer bad reports than MinBad, or a smaller share of the sample than BadShare
	OwnEvidence    = "own-evidence"      // this instance has recently seen it healthy itself
	TooManyAvoided = "too-many-left-out" // the allowed share of servers is avoided already
	Expired        = "faded"             // no report is recent enough
)

// Avoid tells whether calls should be kept away from a server, and why.
func (d *Detector) Avoid(now int64, id uint64) (avoid bool, reason string) {
	d.refresh(now)
	if s := d.servers[id]; s != nil && s.decision.Avoided {
		return true, s.decision.Reason
	}
	return false, ""
}

// Decisions lists the decisions on servers that are avoided or have bad reports, for operators.
func (d *Detector) Decisions(now int64) (all []Decision) {
	d.refresh(now)
	for _, id := range slices.Sorted(maps.Keys(d.servers)) {
		if decision := d.servers[id].decision; decision.Avoided || len(decision.Observers) > 0 {
			all = append(all, decision)
		}
	}
	return all
}

// refresh evaluates the suspects, which are the servers with bad evidence, if there is something new about them or the
// last evaluation is too old. As it may run before each call, its cost depends on the number of suspects and not on
// that of all servers.
func (d *Detector) refresh(now int64) {
	if !d.dirty && now-d.evaluatedAt < refreshInterval {
		return
	}
	d.evaluatedAt, d.dirty = now, false
	var decisions []Decision
	for _, id := range slices.Sorted(maps.Keys(d.suspects)) {
		s := d.servers[id]
		s.secondHand = slices.DeleteFunc(s.secondHand, func(o observation) bool { return now-o.seenAt >= d.cfg.Retention })
		if len(s.secondHand) > 0 || s.decision.Avoided || len(s.decision.Observers) > 0 {
			decisions = append(decisions, d.evaluate(now, id, s))
		}
	}
	d.limitAvoided(decisions)
	d.apply(decisions)
	maps.DeleteFunc(d.suspects, func(id uint64, _ bool) bool { return !d.servers[id].hasBadEvidence() })
}

// hasBadEvidence tells whether a bad observation of the server is stored, or its decision rests on one.
func (s *serverState) hasBadEvidence() bool {
	bad := func(o observation) bool { return o.kind.bad() }
	return s.decision.Avoided || len(s.decision.Observers) > 0 || s.hasOwn && bad(s.own) || slices.ContainsFunc(s.secondHand, bad)
}

// limitAvoided bounds the number of avoided servers. Those with the most bad reports take precedence.
func (d *Detector) limitAvoided(decisions []Decision) {
	slices.SortStableFunc(decisions, func(x, y Decision) int { return cmp.Compare(len(y.Observers), len(x.Observers)) })
	remaining := max(int(d.cfg.MaxAvoidedShare*float64(d.listed)), 1)
	for k := range decisions {
		decision := &decisions[k]
		if !decision.Avoided {
			continue
		}
		if remaining == 0 {
			decision.Avoided, decision.Reason = false, TooManyAvoided
			continue
		}
		remaining--
	}
}

// apply stores the decisions and reports those that begin or end. Ends are reported first, so that at no moment more
// servers appear to be avoided than allowed.
func (d *Detector) apply(decisions []Decision) {
	var begun []Decision
	for _, decision := range decisions {
		s := d.servers[decision.Server]
		wasAvoided := s.decision.Avoided
		s.decision = decision
		switch {
		case decision.Avoided && !wasAvoided:
			begun = append(begun, decision)
		case wasAvoided && !decision.Avoided:
			d.onChange(decision)
		}
	}
	for _, decision := range begun {
		d.onChange(decision)
	}
}

// sample returns the youngest observations of a server, one for each machine. This instance's own one stands for its
// machine, unless another instance there has a younger one.
func (d *Detector) sample(now int64, s *serverState) []observation {
	all := slices.Clone(s.secondHand)
	if s.hasOwn && now-s.own.seenAt < d.cfg.Retention {
		ofThisMachine := func(o observation) bool { return o.machine == d.machine }
		all = slices.DeleteFunc(all, func(o observation) bool { return ofThisMachine(o) && o.seenAt <= s.own.seenAt })
		if !slices.ContainsFunc(all, ofThisMachine) {
			all = append(all, observation{d.machine, d.name, s.own.kind, s.own.seenAt, s.own.streak})
		}
	}
	slices.SortFunc(all, func(x, y observation) int {
		return cmp.Or(cmp.Compare(y.seenAt, x.seenAt), cmp.Compare(x.machine, y.machine))
	})
	return all[:min(len(all), d.cfg.SampleSize)]
}

// evaluate decides on one server by a sample of the observations of it.
func (d *Detector) evaluate(now int64, id uint64, s *serverState) Decision {
	sample := d.sample(now, s)
	decision := Decision{Server: id, Reason: FewObservers}
	count := map[Kind]int{}
	for _, o := range sample {
		if !o.kind.bad() {
			decision.GoodReports++
			continue
		}
		count[o.kind]++
		decision.Observers = append(decision.Observers, o.from)
	}
	if len(sample) > 0 {
		decision.AgeMS = (now - sample[0].seenAt) / 1e6
	}
	bad, minBad := len(decision.Observers), d.cfg.MinBad
	if d.cfg.OmitCheck == CheckObservers {
		sample, decision.GoodReports, minBad = sample[:bad], 0, 1
	}
	outlier := bad >= minBad && float64(bad) >= d.cfg.BadShare*float64(len(sample))
	switch {
	case outlier && s.hasOwn && !s.own.kind.bad() && now-s.own.seenAt < d.cfg.OwnEvidenceTime:
		decision.Reason = OwnEvidence
	case outlier:
		decision.Avoided, decision.Reason = true, Silent.String()
		if count[Dead] > count[Silent] {
			decision.Reason = Dead.String()
		}
		d.extendAvoidance(now, s, sample[0].seenAt)
	case s.decision.Avoided && decision.GoodReports == 0 && now < s.avoidedUntil: // too little evidence is left, but no good report
		decision = s.decision
		decision.GoodReports = 0
	case bad == 0 && decision.GoodReports == 0:
		decision.Reason = Expired
	}
	return decision
}

// extendAvoidance sets how long a decision outlasts its evidence; newest is the time of the youngest observation. The
// random time is drawn once per retention time, so that instances try the server again at different times.
func (d *Detector) extendAvoidance(now int64, s *serverState, newest int64) {
	if now >= s.nextDrawAt {
		s.nextDrawAt = now + d.cfg.Retention
		s.avoidedUntil = newest + d.cfg.Retention + d.rng.Int64N(d.cfg.Retention)
	}
	s.avoidedUntil = max(s.avoidedUntil, newest)
}
