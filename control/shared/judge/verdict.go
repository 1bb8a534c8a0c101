package judge

import (
	"cmp"
	"maps"
	"slices"
)

// Verdict is what the fleet's reports come to, for one server.
type Verdict struct {
	Server    uint64   `json:"server"`
	Avoided   bool     `json:"avoided"`
	Reason    string   `json:"reason"`    // silent, dead, or why it is not avoided
	Witnesses []string `json:"witnesses"` // whose bad reports it rests on, by instance
	Against   int      `json:"against"`   // of the jury, those with other news
	AgeMS     int64    `json:"age_ms"`    // of the youngest of them
	at        int64
}

// The reasons why a server with bad reports is not avoided.
const (
	Few     = "few-witnesses"
	Own     = "own-evidence"
	LeftOut = "too-many-left-out"
	Faded   = "faded"
)

const (
	lookEvery = second / 20
)

// look makes the verdicts anew.
func (b *Board) look(now int64) {
	if !b.dirty && now-b.lookedAt < lookEvery {
		return
	}
	b.lookedAt, b.dirty = now, false
	var found []Verdict
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		s := b.servers[id]
		s.heard = slices.DeleteFunc(s.heard, func(t testimony) bool { return now-t.at >= b.cfg.Fade })
		if len(s.heard) > 0 || s.verdict.Avoided {
			found = append(found, b.judge(now, id, s))
		}
	}
	// The worst first, by how many say so, where not all may be left out.
	slices.SortStableFunc(found, func(x, y Verdict) int { return cmp.Compare(len(y.Witnesses), len(x.Witnesses)) })
	most := max(int(b.cfg.LeftOut*float64(b.listed)), 1)
	var begun []Verdict
	for _, v := range found {
		if v.Avoided {
			if most--; most < 0 {
				v.Avoided, v.Reason = false, LeftOut
			}
		}
		s := b.servers[v.Server]
		was := s.verdict.Avoided
		if s.verdict = v; v.Avoided && !was {
			begun = append(begun, v)
		} else if was && !v.Avoided {
			b.onChange(v)
		}
	}
	for _, v := range begun { // told after those that made room for them
		b.onChange(v)
	}
}

// judge has the youngest reports decide on a server. This instance is one of the witnesses.
func (b *Board) judge(now int64, id uint64, s *server) Verdict {
	all := slices.Clone(s.heard)
	if s.seen && now-s.own.at < b.cfg.Fade {
		all = slices.DeleteFunc(all, func(t testimony) bool { return t.machine == b.machine && t.at <= s.own.at })
		if !slices.ContainsFunc(all, func(t testimony) bool { return t.machine == b.machine }) {
			all = append(all, testimony{b.machine, b.name, s.own.kind, s.own.at, s.own.run})
		}
	}
	slices.SortFunc(all, func(x, y testimony) int { return cmp.Or(cmp.Compare(y.at, x.at), cmp.Compare(x.machine, y.machine)) })
	jury := all[:min(len(all), b.cfg.Jury)]
	v := Verdict{Server: id, Reason: Few, at: now}
	kinds := map[Kind]int{}
	for _, t := range jury {
		if !t.kind.bad() {
			v.Against++
			continue
		}
		kinds[t.kind]++
		v.Witnesses = append(v.Witnesses, t.from)
	}
	if len(jury) > 0 {
		v.AgeMS = (now - jury[0].at) / 1e6
	}
	bad := len(v.Witnesses)
	if b.cfg.Without == Witnesses {
		jury, v.Against = jury[:bad], 0
		b.cfg.Least = 1
	}
	guilty := bad >= b.cfg.Least && float64(bad) >= b.cfg.Needed*float64(len(jury))
	switch {
	case guilty && s.seen && !s.own.kind.bad() && now-s.own.at < b.cfg.OwnFor:
		v.Reason = Own
	case guilty:
		v.Avoided, v.Reason = true, Silent.String()
		if kinds[Dead] > kinds[Silent] {
			v.Reason = Dead.String()
		}
		if now >= s.again { // the evidence is news: what comes after it is a time of this instance's own
			s.again = now + b.cfg.Fade
			s.until = jury[0].at + b.cfg.Fade + b.rng.Int64N(b.cfg.Fade)
		}
		s.until = max(s.until, jury[0].at)
	case s.verdict.Avoided && v.Against == 0 && now < s.until: // it has faded, and nobody has seen anything better
		v = s.verdict
		v.Against, v.at = 0, now
	case bad == 0 && v.Against == 0:
		v.Reason = Faded
	}
	return v
}

// Avoid tells whether calls are to be kept from a server on hearsay, and why.
func (b *Board) Avoid(now int64, id uint64) (bool, string) {
	b.look(now)
	if s := b.servers[id]; s != nil && s.verdict.Avoided {
		return true, s.verdict.Reason
	}
	return false, ""
}

// Verdicts lists those servers of which something bad is said, for operators.
func (b *Board) Verdicts(now int64) (all []Verdict) {
	b.look(now)
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		if v := b.servers[id].verdict; v.Avoided || len(v.Witnesses) > 0 {
			all = append(all, v)
		}
	}
	return all
}
