// Package join is the seam by which further decision modules take part beside control: recovery after a start, levels
// of reduced service, shares, gaps. Each sees every event and every action, may admit, hold or refuse a new call
// before control sees it, and may cap what goes to a server. Which server, whether to try again and when to give up
// stay control's decisions; the core's promises stay the core's. Modules are pure: they are told the time and do no
// I/O, and the same events bring the same decisions.
package join

import (
	"slices"

	"masthill/control"
)

// Verdict is what a module wants done with a new call.
type Verdict int

// The verdicts.
const (
	Admit  Verdict = iota // control decides
	Hold                  // ask again after Wait
	Refuse                // final answer, with Wait as the told wait
)

func (v Verdict) String() string { return [...]string{"admit", "hold", "refuse"}[v] }

// Ruling is a module's decision on one call. Wait is in nanoseconds; for a refusal 0 means no advice.
type Decision struct {
	Verdict Verdict
	Wait    int64
	Reason  string // a code of the module, for logs and operators; never empty but with Admit
}

// Call is a new call as modules see it. Times are Unix nanoseconds.
type Call struct {
	ID, Key, Tenant string
	Class, Dest     int
	Retry           bool // its caller dials again
	Taken, NotAfter int64
	TimesHeld       int // how often it has been held
}

// Module is one decision module beside control.
type Module interface {
	Name() string
	// See takes an event in the order in which control gets it, before control does.
	OnEvent(now int64, ev control.Event)
	// Did takes an action that the core has carried out.
	OnAction(now int64, a control.Action)
	// Admit decides on a call that no module has refused yet.
	Admit(now int64, c Call) Decision
	// Room tells whether one more set-up may go to a server now. It changes nothing, as it is asked often.
	HasRoom(now int64, server uint64) (ok bool, reason string)
	// Status tells what the module does now and why, in words for operators.
	Status(now int64) Status
}

// Gauged is a module that wants readings of the instance itself, which no event tells: the part of a resource that is
// used, or what the module says of a name.
type GaugeReceiver interface {
	Gauge(now int64, name string, used float64)
}

// Gauge passes a reading on to those who want it.
func (c Chain) Gauge(now int64, name string, used float64) {
	for _, m := range c {
		if g, ok := m.(GaugeReceiver); ok {
			g.Gauge(now, name, used)
		}
	}
}

// Status is a module's state for operators.
type Status struct {
	Module       string         `json:"module"`
	State        string         `json:"state"`          // the module's own name of it
	Reason       string         `json:"reason"`         // a code
	Since        int64          `json:"since_ns"`       // Unix nanoseconds
	Out          string         `json:"out,omitempty"`  // what would lead out of it
	Held         int64          `json:"held_total"`     // calls that it held, since the start
	RefusedTotal int64          `json:"refused_total"`  // calls that it refused
	Capped       int64          `json:"capped_offices"` // servers without room at this moment
	Servers      []ServerStatus `json:"parts,omitempty"`
}

// Part is one server in a module's status.
type ServerStatus struct {
	Server uint64 `json:"server"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// Chain asks several modules in turn. The zero Chain admits everything.
type Chain []Module

// See passes an event on to all.
func (c Chain) OnEvent(now int64, ev control.Event) {
	for _, m := range c {
		m.OnEvent(now, ev)
	}
}

// Did passes an action on to all.
func (c Chain) OnAction(now int64, a control.Action) {
	for _, m := range c {
		m.OnAction(now, a)
	}
}

// Admit gives the first ruling that does not admit the call, and the module it came from.
func (c Chain) Admit(now int64, call Call) (Decision, string) {
	for _, m := range c {
		if r := m.Admit(now, call); r.Verdict != Admit {
			return r, m.Name()
		}
	}
	return Decision{}, ""
}

// Room tells whether all modules leave room at a server, and else who does not and why.
func (c Chain) HasRoom(now int64, server uint64) (ok bool, module, reason string) {
	for _, m := range c {
		if ok, reason := m.HasRoom(now, server); !ok {
			return false, m.Name(), reason
		}
	}
	return true, "", ""
}

// Status collects what all modules tell.
func (c Chain) Status(now int64) []Status {
	all := make([]Status, 0, len(c))
	for _, m := range c {
		all = append(all, m.Status(now))
	}
	return all
}

// Names lists the modules in order; a name that stands twice is a fault of the assembly.
func (c Chain) Names() (names []string, twice bool) {
	for _, m := range c {
		twice = twice || slices.Contains(names, m.Name())
		names = append(names, m.Name())
	}
	return names, twice
}
