// Package join defines the interface of decision modules, which extend package control: recovery after a start, levels
// of reduced service, shares of tenants and others. Each module observes every event and every action, may admit, hold
// or refuse a new call before control sees it, and may stop set-ups to a server. Which server takes a call, whether it
// is tried again and when it is given up remain decisions of control, and modules do not weaken its guarantees. Modules
// are pure: callers pass in the time, modules do no I/O, and the same events lead to the same decisions.
package join

import (
	"slices"

	"masthill/control"
)

// DecisionKind is the kind of a decision on a new call.
type DecisionKind int

// The kinds of decisions.
const (
	Admit  DecisionKind = iota // the call is passed on to the next module, and in the end to package control
	Hold                       // Admit is called again for the call after Wait
	Refuse                     // the call is refused for good; Wait is the Retry-After of the answer
)

// String returns the name of the kind.
func (v DecisionKind) String() string { return [...]string{"admit", "hold", "refuse"}[v] }

// Decision is a module's decision on one call. Wait is in nanoseconds; 0 in a refusal: the answer has no Retry-After.
type Decision struct {
	Kind   DecisionKind
	Wait   int64
	Reason string // a code of the module, for logs and operators; empty only with Admit
}

// Call is a new call as modules see it. Times are in Unix nanoseconds.
type Call struct {
	ID, Key, Tenant      string // Key is the dialled number
	Class, FirstChoice   int    // FirstChoice is the cell that the caller prefers; -1: none
	Redialed             bool   // a redial: the caller repeats a call that was not served
	ReceivedAt, NotAfter int64
	TimesHeld            int // how often the call has been held so far
}

// Module is one decision module that extends control.
type Module interface {
	Name() string
	// OnEvent receives each event, in order, before control does.
	OnEvent(now int64, ev control.Event)
	// OnAction receives each action that the core has carried out.
	OnAction(now int64, a control.Action)
	// Admit decides on a call that no earlier module has refused.
	Admit(now int64, c Call) Decision
	// HasCapacity tells whether one more set-up may be sent to a server now. It must not change any state, as it is
	// called often.
	HasCapacity(now int64, server uint64) (ok bool, reason string)
	// Status describes the state of the module, and the reason for it, for operators.
	Status(now int64) Status
}

// GaugeReceiver is implemented by modules that use measurements of the instance itself, which no event carries. used is
// the part of a resource that is used, or whatever the module defines for that name.
type GaugeReceiver interface {
	OnGauge(now int64, name string, used float64)
}

// OnGauge passes a measurement on to the modules that receive them.
func (c Chain) OnGauge(now int64, name string, used float64) {
	for _, m := range c {
		if g, ok := m.(GaugeReceiver); ok {
			g.OnGauge(now, name, used)
		}
	}
}

// Status is a module's state for operators.
type Status struct {
	Module        string         `json:"module"`
	State         string         `json:"state"`          // one of the module's own names
	Reason        string         `json:"reason"`         // a code of the module
	Since         int64          `json:"since_ns"`       // Unix nanoseconds
	ExitCondition string         `json:"out,omitempty"`  // the condition for leaving the state
	Held          int64          `json:"held_total"`     // calls held since the start
	RefusedTotal  int64          `json:"refused_total"`  // calls refused since the start
	Capped        int64          `json:"capped_offices"` // servers for which HasCapacity is false now
	Servers       []ServerStatus `json:"parts,omitempty"`
}

// ServerStatus is the state of one server in a module's status.
type ServerStatus struct {
	Server uint64 `json:"server"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// Chain is a list of modules that decide in turn. The zero Chain admits every call.
type Chain []Module

// OnEvent passes an event on to all modules.
func (c Chain) OnEvent(now int64, ev control.Event) {
	for _, m := range c {
		m.OnEvent(now, ev)
	}
}

// OnAction passes an action on to all modules.
func (c Chain) OnAction(now int64, a control.Action) {
	for _, m := range c {
		m.OnAction(now, a)
	}
}

// Admit returns the first decision that does not admit the call, and the name of the module that made it.
func (c Chain) Admit(now int64, call Call) (Decision, string) {
	for _, m := range c {
		if r := m.Admit(now, call); r.Kind != Admit {
			return r, m.Name()
		}
	}
	return Decision{}, ""
}

// HasCapacity tells whether all modules allow one more set-up to a server; if not, it returns the name and the reason of
// the first that does not.
func (c Chain) HasCapacity(now int64, server uint64) (ok bool, module, reason string) {
	for _, m := range c {
		if ok, reason := m.HasCapacity(now, server); !ok {
			return false, m.Name(), reason
		}
	}
	return true, "", ""
}

// Status returns the status of every module.
func (c Chain) Status(now int64) []Status {
	all := make([]Status, 0, len(c))
	for _, m := range c {
		all = append(all, m.Status(now))
	}
	return all
}

// Names lists the modules in order. duplicate tells that a name occurs more than once, which is a configuration error.
func (c Chain) Names() (names []string, duplicate bool) {
	for _, m := range c {
		duplicate = duplicate || slices.Contains(names, m.Name())
		names = append(names, m.Name())
	}
	return names, duplicate
}
