package shared

import (
	"masthill/control"
	"masthill/control/shared/outlier"
)

// silentShare is the part of the shortest target delay after which an unanswered attempt is reported as Silent.
const silentShare = 0.75

// maxCalls bounds the calls and the attempts that are tracked. Those beyond it are ignored.
const maxCalls = 1 << 15

// attempt is an attempt to set up a call at a server that has not answered yet.
type attempt struct {
	server         uint64
	sentAt         int64
	reportedSilent bool
}

// OnEvent implements join.Module.
func (m *Module) OnEvent(now int64, ev control.Event) {
	switch ev.Kind {
	case control.ListUpdate:
		m.setServers(ev)
	case control.Established:
		m.countOutcome("p/", ev.Call)
		if m.finishAttempt(ev.Call) != nil {
			m.observe(now, ev.Server, outlier.Healthy)
		}
	case control.Aborted:
		delete(m.callTenants, ev.Call)
		m.finishAttempt(ev.Call)
	case control.AttemptEnded:
		if a := m.finishAttempt(ev.Call); a != nil {
			m.observeFailure(now, ev, a)
		}
	}
}

// OnAction implements join.Module.
func (m *Module) OnAction(now int64, a control.Action) {
	switch a.Kind {
	case control.Send:
		if budget, _, ok := m.coldBudget(now, a.Server); ok {
			m.lease.Take(now, budget)
		}
		m.beginAttempt(now, a.Call, a.Server)
	case control.Refuse, control.Fail:
		m.countOutcome("l/", a.Call)
	}
}

// countOutcome counts the end of a call for its tenant, once, under a key with the given prefix.
func (m *Module) countOutcome(prefix, call string) {
	if t, ok := m.callTenants[call]; ok {
		m.count.Add(prefix+t, 1)
		delete(m.callTenants, call)
	}
}

func (m *Module) beginAttempt(now int64, call string, server uint64) {
	if len(m.attempts) < maxCalls {
		m.attempts[call] = &attempt{server: server, sentAt: now}
		m.attemptOrder = append(m.attemptOrder, call)
	}
}

// finishAttempt removes and returns the attempt of a call; nil if there is none.
func (m *Module) finishAttempt(call string) *attempt {
	a := m.attempts[call]
	delete(m.attempts, call)
	return a
}

// observeFailure passes what a failed attempt shows about its server to the detector.
func (m *Module) observeFailure(now int64, ev control.Event, a *attempt) {
	switch ev.Outcome {
	case control.TimedOut:
		if !a.reportedSilent {
			m.observe(now, ev.Server, outlier.Silent)
		}
	case control.ConnectionRefused:
		m.observe(now, ev.Server, outlier.Dead)
	case control.Saturated:
		m.observe(now, ev.Server, outlier.Overloaded)
	case control.Errored:
		m.observe(now, ev.Server, outlier.Healthy) // the server answers; package control handles the error itself
	}
}

// reportSilent reports the servers of attempts that have been unanswered for too long.
func (m *Module) reportSilent(now int64) {
	for len(m.attemptOrder) > 0 {
		a := m.attempts[m.attemptOrder[0]]
		if a != nil && !a.reportedSilent {
			if float64(now-a.sentAt) < silentShare*float64(m.shortestTarget) {
				return
			}
			a.reportedSilent = true
			m.observe(now, a.server, outlier.Silent)
		}
		m.attemptOrder = m.attemptOrder[1:]
	}
	m.attemptOrder = nil
}

// observe records an observation of a server. Bad ones are broadcast early.
func (m *Module) observe(now int64, server uint64, k outlier.Kind) {
	m.detector.Observe(now, server, k)
	m.urgent = m.urgent || k == outlier.Silent || k == outlier.Dead
}
