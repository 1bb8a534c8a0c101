package control

import (
	"errors"
	"fmt"
)

// Settings configures a controller and does not change while it runs. Times are in nanoseconds.
type Settings struct {
	GroupSize     int // instances in the group
	Ordinal       int // number of this instance among them, from 0
	Classes       []Class
	Meshed        bool // cells are exchanges with trunk groups; otherwise pools shared by all instances
	OwnCell       int  // own exchange, -1 with pools
	ListOnRequest bool // the server list is sent only after Subscribe
	MaxAttempts   int
	MayCancel     bool // the controller may cancel an attempt before its time-out
	SecondCopies  bool // not used by the controller
	RetryAfter    bool // a refusal may tell the caller when to call again
	MaxRetryAfter int64
	ReportFields  []string // names of the values of a load report
	Resolution    int64    // least time between two batches of events
	T1            int64    // a set-up without an answer is repeated after this; 0: never
	ReleaseWait   int64    // wait before another attempt after a time-out, lost connection or cancel
	DrainGrace    int64    // during which a draining server still accepts set-ups; none is sent
	CrashMultiple float64  // sends within CrashWindow, in multiples of its capacity, at which a cold server crashes
	CrashWindow   int64
	ColdFraction  float64 // part of its capacity that a server has when it starts
	WarmUpTime    int64   // time until it has all of it
}

// Check reports every setting that is missing or out of range, one a line, or nil.
func (s Settings) Check() error {
	var wrong []error
	if len(s.Classes) == 0 {
		wrong = append(wrong, errors.New("grades: no classes"))
	}
	for k, g := range s.Classes {
		for _, f := range []struct {
			ok   bool
			text string
		}{
			{g.TargetDelay > 0, fmt.Sprintf("aim_ns: %d is not positive", g.TargetDelay)},
			{g.Deadline > 0, fmt.Sprintf("deadline_ns: %d is not positive", g.Deadline)},
			{g.Value >= 0, fmt.Sprintf("worth: %v is negative or not a number", g.Value)},
			{g.LateValue >= 0, fmt.Sprintf("late_value: %v is negative or not a number", g.LateValue)},
		} {
			if !f.ok {
				wrong = append(wrong, fmt.Errorf("grades[%d].%s", k, f.text))
			}
		}
	}
	for _, f := range []struct {
		name string
		ok   bool
	}{
		{"group_size", s.GroupSize >= 1},
		{"ordinal", s.Ordinal >= 0 && s.Ordinal < s.GroupSize},
		{"limits.max_attempts", s.MaxAttempts >= 1},
		{"limits.max_retry_after_ns", s.MaxRetryAfter >= 0},
		{"resolution_ns", s.Resolution >= 0},
		{"extra.t1_ns", s.T1 >= 0},
		{"extra.clear_wait_ns", s.ReleaseWait >= 0},
		{"rules.drain_grace_ns", s.DrainGrace >= 0},
		{"rules.fall_multiple", s.CrashMultiple > 0},
		{"rules.fall_ns", s.CrashWindow > 0},
		{"rules.cold_from", s.ColdFraction > 0 && s.ColdFraction <= 1},
		{"rules.cold_ns", s.WarmUpTime > 0},
	} {
		if !f.ok {
			wrong = append(wrong, fmt.Errorf("%s: missing or out of range", f.name))
		}
	}
	return errors.Join(wrong...)
}

// Class describes a class of calls.
type Class struct {
	TargetDelay, Deadline int64   // time from a call's arrival within which it should, and must, be established
	Value                 float64 // of a call established within TargetDelay
	LateValue             float64 // factor of Value after that
	Effect                Effect
	Cells                 []int // that may take it; empty: any
}

// Effect tells whether an attempt that might have run may be followed by another.
type Effect int

// The effects. Only Idempotent allows another attempt.
const (
	Idempotent Effect = iota
	Guarded
	SingleShot
)

// Repeatable tells whether a call of a class with this effect may be sent again after an attempt that may have run.
func (e Effect) Repeatable() bool { return e == Idempotent }

// EventKind is the kind of an event.
type EventKind int

// The kinds of events.
const (
	ListUpdate   EventKind = iota // changes of the server list in Entries, or all of it with FullList
	ListError                     // a request for the list failed; the old list stays in use
	Arrival                       // a new call
	Aborted                       // the caller ended the call
	Established                   // an attempt was answered: the call is established
	AttemptEnded                  // an attempt or an established call ended
	LoadReport                    // a server answered a probe, or reported free lines unasked
	TimerFired                    // the timer Tag of a StartTimer action
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	Completed         Outcome = iota
	Errored                   // answered with a fault, see Event.Note
	Saturated                 // answered "full", or with noteNoLine: no free line
	TimedOut                  // no answer in time
	ConnectionRefused         // never sent
	ConnectionLost            // the connection was lost before an answer, or under an established call
	Canceled                  // by the controller or the caller
	Unavailable               // the server takes no calls, or the set-up was kept back
)

// Event is an input of the controller. Which fields have a meaning depends on Kind.
type Event struct {
	Kind        EventKind
	Call        string
	Class       int
	Key         string // dialled number
	NotAfter    int64  // when the call is given up
	Waited      int64  // time since the call was accepted, if another module held it first
	FirstChoice int    // preferred cell; -1: none
	Redialed    bool   // the caller calls again
	InTransit   bool   // only servers of cell FirstChoice may take the call
	Server      uint64
	Elapsed     int64 // since the attempt or probe was sent
	Outcome     Outcome
	CallEnded   bool      // the call is over, with no further attempt
	Note        int       // detail of the outcome: 1 no free line, 4 number busy
	WaitMS      int64     // wait that the server asked for, in milliseconds
	Report      []float64 // load report, in the order of Settings.ReportFields; nil: none
	Tag         uint64
	FullList    bool
	Entries     []Entry
}

// EntryState is the state of a server on the list.
type EntryState int

// The states of an entry.
const (
	Serving  EntryState = iota
	Draining            // takes no new calls
	Removed             // from the list
)

// Entry is one signalling server on the list.
type Entry struct {
	Cell    int     // pool or exchange that it belongs to
	Share   float64 // of the capacity, in any unit
	Server  uint64
	ReadyAt int64 // last start of its processor; 0: long ago
	State   EntryState
}

// ActionKind is the kind of an action.
type ActionKind int

// The kinds of actions.
const (
	Send       ActionKind = iota // a set-up of Call at Server, with time-out Wait
	Refuse                       // final answer: the call is refused; after Wait, if not 0, the caller may call again
	Fail                         // final answer: the call is given up
	Cancel                       // of attempt Attempt of Call
	StartTimer                   // TimerFired with Tag is due after Wait
	Subscribe                    // to the server list
)

// Action is something that the controller asks its caller to do.
type Action struct {
	Kind    ActionKind
	Call    string
	Server  uint64
	Attempt int
	Tag     uint64
	Wait    int64
}

// ExcludeServers keeps calls from a server while f reports true for it. f is called before each set-up and must not
// change anything.
func (c *Controller) ExcludeServers(f func(server uint64) bool) { c.excluded = f }

// RefusalIsHarmless tells whether a call that is given up outside the controller may be refused, which tells its caller
// that trying again is harmless. It may not if an attempt may have run, or may run now as it is in progress, and the
// call's class allows no other.
func (c *Controller) RefusalIsHarmless(id string, inProgress bool) bool {
	cl := c.calls[id]
	if cl == nil { // another module holds the call, and no attempt was made
		return true
	}
	return c.cfg.Classes[cl.class].Effect.Repeatable() || !cl.mayHaveRun && !inProgress
}
