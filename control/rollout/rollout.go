// Package rollout decides how the instances of a fleet are replaced in batches: which are next, how many may be away at
// once, when to pause, when to halt, and how to roll back when a new version fails. It is pure: callers pass in the
// time and the state of the instances, it returns what to do, and the same input leads to the same decisions. Its whole
// state is Rollout, which can be stored, so that a supervisor that is killed continues where it was.
package rollout

import (
	"fmt"
	"math"
	"sort"
)

// Phase is the state of an instance as the supervisor sees it.
type Phase string

// The phases of an instance.
const (
	Down       Phase = "down" // no process runs
	Starting   Phase = "starting"
	Recovering Phase = "recovering" // it serves, but limits what it sends
	Serving    Phase = "serving"
	Draining   Phase = "draining"
	Failed     Phase = "failed" // given up, because of a bad configuration or a crash loop
)

// InstanceStatus is the present state of one instance.
type InstanceStatus struct {
	Name       string `json:"name"`
	Generation string `json:"generation"` // what its process runs, or what it is to be started as
	Phase      Phase  `json:"phase"`
	Since      int64  `json:"since_ns"` // start of the phase
	Crashes    int    `json:"crashes"`  // number of crashes since it was first started as this generation
}

// Limits are set by the operators. Times are in nanoseconds.
type Limits struct {
	MaxAwayFraction float64 // part of the fleet that may be away at once; one instance always may be
	HealthyFor      int64   // how long the first instance of a generation is watched before others follow
	StartWithin     int64   // an instance of the new generation that does not serve after this time has failed
	MaxColdPause    int64   // longest pause for a cold office, in case the list reports one as cold for ever
	RollBack        bool    // roll back to the previous generation when the new one fails
}

// State is what a rollout is doing.
type State string

// The states of a rollout.
const (
	Running     State = "running"
	Paused      State = "paused"
	Halted      State = "halted"  // the new generation failed; no more instances are replaced
	RollingBack State = "turning" // replacing instances by the previous generation
	RolledBack  State = "turned-back"
	Done        State = "done"
)

// The reasons for a pause or halt.
const (
	ColdOffice         = "cold-office"
	TooManyAway        = "too-many-away"
	WatchingFirst      = "first-watched"
	InstanceRecovering = "instance-recovering"
	StartFailed        = "start-failed"
	Crashed            = "crashed"
)

// Rollout is the change of a fleet from one generation to another. A restart is a change to another generation of the
// same program.
type Rollout struct {
	From      string `json:"from"`
	To        string `json:"to"`
	StartedAt int64  `json:"began_ns"`
	Cause     string `json:"why"` // restart or upgrade
	Halted    string `json:"halted,omitempty"`
	Detail    string `json:"detail,omitempty"`
	RollBack  bool   `json:"back"`    // it is halted and goes back to From
	ColdSince int64  `json:"cold_ns"` // since when it pauses for a cold office; 0: it does not
}

// Step is what to do now.
type Step struct {
	State     State    `json:"state"`
	Reason    string   `json:"reason,omitempty"`
	Detail    string   `json:"detail,omitempty"`
	Replace   []string `json:"replace,omitempty"` // instances to stop and start again
	StartAs   string   `json:"as"`                // generation to start them as
	Remaining int      `json:"left"`              // instances still to be replaced
}

// Next decides what to do, given the state of the instances. coldOffices is the number of offices that any instance
// considers cold.
func (r *Rollout) Next(now int64, l Limits, instances []InstanceStatus, coldOffices int) Step {
	instances = append([]InstanceStatus{}, instances...)
	sort.Slice(instances, func(i, j int) bool { return instances[i].Name < instances[j].Name })
	if r.Halted == "" {
		r.checkFailures(now, l, instances)
	}
	target := r.To
	if r.Halted != "" {
		if !r.RollBack {
			return Step{State: Halted, Reason: r.Halted, Detail: r.Detail, Remaining: r.remaining(instances, target)}
		}
		target = r.From
	}
	step := Step{State: Running, StartAs: target, Detail: r.Detail, Remaining: r.remaining(instances, target)}
	if r.Halted != "" {
		step.State, step.Reason = RollingBack, r.Halted
	}
	away, allSettled := 0, true
	for _, s := range instances {
		switch s.Phase {
		case Serving:
		case Recovering:
			allSettled = false
		default:
			away++
		}
	}
	if step.Remaining == 0 && away == 0 {
		if step.State = Done; r.Halted != "" {
			step.State = RolledBack
		}
		return step
	}
	// Instances that are down or have failed are replaced first. This takes nothing from the fleet, as they are away
	// already.
	for _, s := range instances {
		if s.Generation != target && (s.Phase == Failed || s.Phase == Down) {
			step.Replace = append(step.Replace, s.Name)
		}
	}
	if r.Halted != "" { // so are instances of the failed generation that have crashed or never served
		for _, s := range instances {
			if s.Generation == r.To && (s.Phase == Starting || s.Crashes > 0 && s.Phase != Draining && s.Phase != Failed && s.Phase != Down) {
				step.Replace = append(step.Replace, s.Name)
			}
		}
	}
	allowance := max(int(math.Floor(l.MaxAwayFraction*float64(len(instances)))), 1) - away
	if reason := r.pause(now, l, instances, coldOffices, allowance, allSettled); reason != "" {
		if step.State == Running {
			step.State, step.Reason = Paused, reason
		} else {
			step.Detail += "; waiting: " + reason
		}
		return step
	}
	if r.Halted == "" && !r.isProven(now, l, instances) { // the first instance is replaced alone
		allowance = min(allowance, 1)
	}
	for _, s := range instances {
		if allowance <= 0 {
			break
		}
		if s.Generation != target && (s.Phase == Serving || s.Phase == Recovering) && !contains(step.Replace, s.Name) {
			step.Replace = append(step.Replace, s.Name)
			allowance--
		}
	}
	return step
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (r *Rollout) remaining(instances []InstanceStatus, target string) (n int) {
	for _, s := range instances {
		if s.Generation != target {
			n++
		}
	}
	return n
}

// checkFailures halts the rollout when an instance of the new generation fails. One is enough: what fails on the first
// instance would fail on all.
func (r *Rollout) checkFailures(now int64, l Limits, instances []InstanceStatus) {
	for _, s := range instances {
		if s.Generation != r.To {
			continue
		}
		switch {
		case s.Crashes > 0 || s.Phase == Failed:
			r.Halted, r.Detail = Crashed, fmt.Sprintf("%s crashed as generation %s", s.Name, r.To)
		case (s.Phase == Starting || s.Phase == Down) && now-s.Since > l.StartWithin:
			r.Halted, r.Detail = StartFailed, fmt.Sprintf("%s does not serve as generation %s after %.1f s", s.Name, r.To, float64(now-s.Since)/1e9)
		}
		if r.Halted != "" {
			r.RollBack = l.RollBack && r.From != "" && r.From != r.To
			return
		}
	}
}

// isProven tells whether one instance of the new generation has served for long enough.
func (r *Rollout) isProven(now int64, l Limits, instances []InstanceStatus) bool {
	for _, s := range instances {
		if s.Generation == r.To && s.Phase == Serving && now-s.Since >= l.HealthyFor {
			return true
		}
	}
	return false
}

// pause returns the reason why no more instances may be replaced now; it is empty if some may.
func (r *Rollout) pause(now int64, l Limits, instances []InstanceStatus, coldOffices, allowance int, allSettled bool) string {
	if coldOffices == 0 {
		r.ColdSince = 0
	} else if r.ColdSince == 0 {
		r.ColdSince = now
	}
	switch {
	case r.ColdSince > 0 && now-r.ColdSince < l.MaxColdPause:
		return ColdOffice
	case !allSettled:
		return InstanceRecovering
	case allowance <= 0:
		return TooManyAway
	}
	if r.Halted == "" && !r.isProven(now, l, instances) {
		for _, s := range instances {
			if s.Generation == r.To {
				return WatchingFirst
			}
		}
	}
	return ""
}

// Exit is the unexpected end of an instance's process.
type Exit struct {
	Code   int   // -1: killed by a signal, or unknown
	Uptime int64 // nanoseconds
}

// ExitAction is what to do after an unexpected exit.
type ExitAction int

// The actions after an exit.
const (
	Restart   ExitAction = iota // start it again, after the backoff
	BadConfig                   // a file or the command line is wrong: do not start it again before that changes
	CrashLoop                   // it exits shortly after each start: give it up
)

// crashLoopExits consecutive exits before MinUptime count as a crash loop; by then the backoff has retried for about
// half a minute. usageExitCode is the program's exit code for an error in its files or command line.
const (
	crashLoopExits = 6
	usageExitCode  = 2
)

// DecideRestart decides what to do after an unexpected exit. earlyExits is how many consecutive exits before this one
// came before MinUptime; the updated count is returned.
func DecideRestart(e Exit, earlyExits int) (ExitAction, int) {
	if e.Code == usageExitCode {
		return BadConfig, earlyExits
	}
	if e.Uptime >= MinUptime {
		return Restart, 0
	}
	if earlyExits++; earlyExits >= crashLoopExits {
		return CrashLoop, earlyExits
	}
	return Restart, earlyExits
}

// MinUptime is how long a process has to run for its exit not to count towards a crash loop.
const MinUptime = int64(20e9)
