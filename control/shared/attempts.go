package shared

import (
	"masthill/control"
	"masthill/control/shared/judge"
)

// attempt is a set-up without its answer.
type attempt struct {
	server uint64
	at     int64
	told   bool // as silent
}

const (
	// silentAfter is the part of the shortest aim after which a set-up without an answer is bad news of its server.
	silentAfter = 0.75
	// callsMost bounds the calls and set-ups that are followed; beyond it they go unseen.
	callsMost = 1 << 15
)

// look finds the set-ups that have had no answer for long.
func (m *Shared) look(now int64) {
	for len(m.line) > 0 {
		a := m.out[m.line[0]]
		if a != nil && !a.told {
			if float64(now-a.at) < silentAfter*float64(m.aim) {
				return
			}
			a.told = true
			m.saw(now, a.server, judge.Silent)
		}
		m.line = m.line[1:]
	}
	m.line = nil
}

func (m *Shared) saw(now int64, server uint64, k judge.Kind) {
	m.board.Observe(now, server, k)
	m.news = m.news || k == judge.Silent || k == judge.Dead
}

func (m *Shared) back(call string) *attempt {
	a := m.out[call]
	delete(m.out, call)
	return a
}

// See implements join.Module.
func (m *Shared) See(now int64, ev control.Event) {
	switch ev.Kind {
	case control.Members:
		m.members(ev)
	case control.Stands:
		if t, ok := m.tenants[ev.Call]; ok {
			m.count.Add("p/"+t, 1)
			delete(m.tenants, ev.Call)
		}
		if m.back(ev.Call) != nil {
			m.saw(now, ev.Server, judge.Healthy)
		}
	case control.Aborted:
		delete(m.tenants, ev.Call)
		m.back(ev.Call)
	case control.Returned:
		a := m.back(ev.Call)
		if a == nil {
			return
		}
		switch ev.Outcome {
		case control.Overdue:
			if !a.told {
				m.saw(now, ev.Server, judge.Silent)
			}
		case control.RefusedConn:
			m.saw(now, ev.Server, judge.Dead)
		case control.Saturated:
			m.saw(now, ev.Server, judge.Overloaded)
		case control.Errored:
			m.saw(now, ev.Server, judge.Healthy) // it answers; what it answers is control's concern
		}
	}
}

// Did implements join.Module.
func (m *Shared) Did(now int64, a control.Action) {
	switch a.Kind {
	case control.Send:
		if budget, _, ok := m.cold(now, a.Server); ok {
			m.lease.Take(now, budget)
		}
		if len(m.out) < callsMost {
			m.out[a.Call] = &attempt{server: a.Server, at: now}
			m.line = append(m.line, a.Call)
		}
	case control.Refuse, control.Fail:
		if t, ok := m.tenants[a.Call]; ok {
			m.count.Add("l/"+t, 1)
			delete(m.tenants, a.Call)
		}
	}
}
