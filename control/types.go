package control

import (
	"errors"
	"fmt"
)

// Settings is what a front is told once, at its start. Times are nanoseconds.
type Settings struct {
	GroupSize     int // fronts in this tier
	Ordinal       int // this front's number among them, from 0
	Classes       []Class
	Meshed        bool // exchanges with trunk groups; otherwise pools shared by all fronts
	ThisNode      int  // own exchange number, -1 with pools
	ListOnRequest bool // discovery speaks only after Listen
	MaxAttempts   int
	MayCancel     bool
	SecondCopies  bool
	RetryAfter    bool // a refusal may name a wait
	MaxRetryAfter int64
	Fields        []string // names of the values of a load report
	Resolution    int64    // shortest gap between two batches
	T1            int64    // a waiting set-up is repeated after this; 0: never
	ClearWait     int64    // release wait after a time-out, reset or cancel
	DrainGrace    int64
	FallMultiple  float64
	FallWindow    int64
	ColdFrom      float64
	ColdSpan      int64
}

// Check names every setting that makes no sense, one a line; nil where all do.
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
			{g.Aim > 0, fmt.Sprintf("aim_ns: %d is not positive", g.Aim)},
			{g.Deadline > 0, fmt.Sprintf("deadline_ns: %d is not positive", g.Deadline)},
			{g.Worth >= 0, fmt.Sprintf("worth: %v is no worth", g.Worth)},
			{g.LateValue >= 0, fmt.Sprintf("late_value: %v is no share", g.LateValue)},
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
		{"extra.clear_wait_ns", s.ClearWait >= 0},
		{"rules.drain_grace_ns", s.DrainGrace >= 0},
		{"rules.fall_multiple", s.FallMultiple > 0},
		{"rules.fall_ns", s.FallWindow > 0},
		{"rules.cold_from", s.ColdFrom > 0 && s.ColdFrom <= 1},
		{"rules.cold_ns", s.ColdSpan > 0},
	} {
		if !f.ok {
			wrong = append(wrong, fmt.Errorf("%s: missing or out of its bounds", f.name))
		}
	}
	return errors.Join(wrong...)
}

// Class is one class of call.
type Class struct {
	Aim, Deadline int64
	Worth         float64
	LateValue     float64
	Effect        Effect
	Cells         []int // pools that may take it; empty: any
}

// Effect tells what may be repeated once an attempt might have run.
type Effect int

// The kinds of effect.
const (
	Idempotent Effect = iota
	Guarded
	SingleShot
)

// EventKind names what happened.
type EventKind int

// The kinds of event.
const (
	ListUpdate   EventKind = iota // Entries; Full replaces the list, else changes apply
	ListError                     // a list request failed; the old list holds
	Arrival                       // a call was handed over
	Aborted                       // the caller left
	Stands                        // the call stands
	AttemptEnded                  // an attempt ended
	LoadReport                    // a probe's answer, or free lines told unasked
	TimerFired                    // a timer came due
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	Completed Outcome = iota
	Errored
	Saturated
	TimedOut
	ConnectionRefused
	ConnectionLost
	Canceled
	Unavailable
)

// Event is one thing told to a front; which fields count depends on Kind.
type Event struct {
	Kind      EventKind
	Call      string
	Class     int
	Key       string
	NotAfter  int64
	Waited    int64 // an arrival: since the call was taken, where another module held it first
	FarEnd    int
	Redialed  bool
	InTransit bool
	Server    uint64
	Elapsed   int64 // since the attempt or probe went out
	Outcome   Outcome
	CallEnded bool
	Note      int
	WaitMS    int64
	Report    []float64 // in the order of Settings.Fields; nil: none
	Tag       uint64
	FullList  bool
	Entries   []Entry
}

// Readiness is a list entry's state.
type EntryState int

// The states of a list entry.
const (
	Serving EntryState = iota
	Draining
	Removed
)

// Entry is one signalling server on the list.
type Entry struct {
	Cell    int
	Share   float64
	Server  uint64
	ReadyAt int64
	State   EntryState
}

// ActionKind names what a front wants done.
type ActionKind int

// The kinds of action.
const (
	Send       ActionKind = iota // start a set-up: Call, Server, Wait (time-out)
	Refuse                       // final answer: turned away; Wait is the advice
	Fail                         // final answer: given up
	Cancel                       // stop waiting for attempt Attempt of Call
	StartTimer                   // ring Tag after Wait
	Subscribe                    // subscribe to the list
)

// Action is one thing a front wants done.
type Action struct {
	Kind    ActionKind
	Call    string
	Server  uint64
	Attempt int
	Tag     uint64
	Wait    int64
}

// Cap has the module take a server for one without room while f says so. It is asked again before each set-up, so f
// must not change anything.
func (c *Controller) ExcludeServers(f func(server uint64) bool) { c.capped = f }
