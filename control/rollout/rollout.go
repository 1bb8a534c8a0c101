// Package rollout decides how a fleet's instances are replaced one batch after another: which goes next, how many may be
// away at once, when to wait, when to halt, and how to turn back when a new version fails. It is pure: it is told what is
// seen and the time, and says what to do; the same sights bring the same decisions. Its whole state is Rollout, which can
// be written down, so that a supervisor that is killed goes on where it was.
package rollout

import (
	"fmt"
	"math"
	"sort"
)

// Phase is what is seen of an instance.
type Phase string

// The phases.
const (
	Down       Phase = "down" // no process
	Starting   Phase = "starting"
	Recovering Phase = "recovering" // serves, and paces what it sends
	Serving    Phase = "serving"
	Draining   Phase = "draining"
	Failed     Phase = "failed" // given up: a bad configuration, or a crash loop
)

// Seen is one instance as it is now.
type InstanceStatus struct {
	Name       string `json:"name"`
	Generation string `json:"generation"` // what its process runs, or what it is to be started as
	Phase      Phase  `json:"phase"`
	Since      int64  `json:"since_ns"` // of the phase
	Crashes    int    `json:"crashes"`  // of this generation, since it was first started as that
}

// Limits are the operators' figures. Times are nanoseconds.
type Limits struct {
	MostAway    float64 // part of the fleet that may be away at once; one instance always may
	HealthyFor  int64   // how long the first instance of a generation is watched before others follow
	StartWithin int64   // an instance of the new generation that does not serve by then has failed
	ColdMost    int64   // longest pause for a cold office: a list may be wrong for good
	Back        bool    // turn back to the generation before when the new one fails
}

// State is what a rollout is doing.
type State string

// The states.
const (
	Running     State = "running"
	Paused      State = "paused"
	Halted      State = "halted"  // the new generation failed; nothing more is replaced
	RollingBack State = "turning" // back to the generation before
	RolledBack  State = "turned-back"
	Done        State = "done"
)

// The reasons of a pause or halt.
const (
	ColdOffice         = "cold-office"
	TooManyAway        = "too-many-away"
	WatchingFirst      = "first-watched"
	InstanceRecovering = "instance-recovering"
	StartFailed        = "start-failed"
	Crashed            = "crashed"
)

// Rollout is one change of a fleet from one generation to another. A restart is a change to a generation of the same
// program.
type Rollout struct {
	From      string `json:"from"`
	To        string `json:"to"`
	StartedAt int64  `json:"began_ns"`
	Cause     string `json:"why"` // restart, upgrade
	Halted    string `json:"halted,omitempty"`
	Detail    string `json:"detail,omitempty"`
	Back      bool   `json:"back"`    // it is turned back
	ColdSince int64  `json:"cold_ns"` // since when it pauses for a cold office; 0: it does not
}

// Step is what is to be done now.
type Step struct {
	State     State    `json:"state"`
	Reason    string   `json:"reason,omitempty"`
	Detail    string   `json:"detail,omitempty"`
	Replace   []string `json:"replace,omitempty"` // instances to stop and start anew
	StartAs   string   `json:"as"`                // generation to start them as
	Remaining int      `json:"left"`              // instances still to be replaced
}

// Next decides on what is seen. cold is the number of offices that any instance believes to be cold.
func (r *Rollout) Next(now int64, l Limits, seen []InstanceStatus, cold int) Step {
	seen = append([]InstanceStatus{}, seen...)
	sort.Slice(seen, func(i, j int) bool { return seen[i].Name < seen[j].Name })
	if r.Halted == "" {
		r.judge(now, l, seen)
	}
	target := r.To
	if r.Halted != "" {
		if !r.Back {
			return Step{State: Halted, Reason: r.Halted, Detail: r.Detail, Remaining: r.left(seen, target)}
		}
		target = r.From
	}
	step := Step{State: Running, StartAs: target, Detail: r.Detail, Remaining: r.left(seen, target)}
	if r.Halted != "" {
		step.State, step.Reason = RollingBack, r.Halted
	}
	away, settled := 0, true
	for _, s := range seen {
		switch s.Phase {
		case Serving:
		case Recovering:
			settled = false
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
	// What does not serve is replaced first, and at no cost: it is away already.
	for _, s := range seen {
		if s.Generation != target && (s.Phase == Failed || s.Phase == Down) {
			step.Replace = append(step.Replace, s.Name)
		}
	}
	if r.Halted != "" { // and so is what of the failed generation has crashed or never served
		for _, s := range seen {
			if s.Generation == r.To && (s.Phase == Starting || s.Crashes > 0 && s.Phase != Draining && s.Phase != Failed && s.Phase != Down) {
				step.Replace = append(step.Replace, s.Name)
			}
		}
	}
	room := max(int(math.Floor(l.MostAway*float64(len(seen)))), 1) - away
	if reason := r.pause(now, l, seen, cold, room, settled); reason != "" {
		if step.State == Running {
			step.State, step.Reason = Paused, reason
		} else {
			step.Detail += "; waits: " + reason
		}
		return step
	}
	if r.Halted == "" && !r.proven(now, l, seen) { // the first goes alone
		room = min(room, 1)
	}
	for _, s := range seen {
		if room <= 0 {
			break
		}
		if s.Generation != target && (s.Phase == Serving || s.Phase == Recovering) && !contains(step.Replace, s.Name) {
			step.Replace = append(step.Replace, s.Name)
			room--
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

func (r *Rollout) left(seen []InstanceStatus, target string) (n int) {
	for _, s := range seen {
		if s.Generation != target {
			n++
		}
	}
	return n
}

// judge halts the rollout when an instance of the new generation fails. One is enough: what fails on the first would
// fail on all.
func (r *Rollout) judge(now int64, l Limits, seen []InstanceStatus) {
	for _, s := range seen {
		if s.Generation != r.To {
			continue
		}
		switch {
		case s.Crashes > 0 || s.Phase == Failed:
			r.Halted, r.Detail = Crashed, fmt.Sprintf("%s crashed as %s", s.Name, r.To)
		case (s.Phase == Starting || s.Phase == Down) && now-s.Since > l.StartWithin:
			r.Halted, r.Detail = StartFailed, fmt.Sprintf("%s does not serve as %s after %.1f s", s.Name, r.To, float64(now-s.Since)/1e9)
		}
		if r.Halted != "" {
			r.Back = l.Back && r.From != "" && r.From != r.To
			return
		}
	}
}

// proven tells whether one instance of the new generation has served for long enough.
func (r *Rollout) proven(now int64, l Limits, seen []InstanceStatus) bool {
	for _, s := range seen {
		if s.Generation == r.To && s.Phase == Serving && now-s.Since >= l.HealthyFor {
			return true
		}
	}
	return false
}

// pause tells why nothing more may go away now; empty: something may.
func (r *Rollout) pause(now int64, l Limits, seen []InstanceStatus, cold, room int, settled bool) string {
	if cold == 0 {
		r.ColdSince = 0
	} else if r.ColdSince == 0 {
		r.ColdSince = now
	}
	switch {
	case r.ColdSince > 0 && now-r.ColdSince < l.ColdMost:
		return ColdOffice
	case !settled:
		return InstanceRecovering
	case room <= 0:
		return TooManyAway
	}
	if r.Halted == "" && !r.proven(now, l, seen) {
		for _, s := range seen {
			if s.Generation == r.To {
				return WatchingFirst
			}
		}
	}
	return ""
}

// Exit is the end of an instance's process that nobody asked for.
type Exit struct {
	Code   int   // -1: killed by a signal, or not known
	Uptime int64 // nanoseconds
}

// Verdict is what is to be done about it.
type ExitAction int

// The verdicts.
const (
	Restart   ExitAction = iota // start it again, after the backoff
	BadConfig                   // a file or the command line is wrong: no use before that changes
	CrashLoop                   // it crashes each time, soon after its start
)

// loopMost young ends in a row are a crash loop: by then the backoff has tried for about half a minute. exitUsage is the
// program's exit code for a fault in its files.
const (
	loopMost  = 6
	exitUsage = 2
)

// Judge decides about an end that nobody asked for. young is how many ends in a row came within YoungFor before this
// one; the new count comes back.
func DecideRestart(e Exit, young int) (ExitAction, int) {
	if e.Code == exitUsage {
		return BadConfig, young
	}
	if e.Uptime >= MinUptime {
		return Restart, 0
	}
	if young++; young >= loopMost {
		return CrashLoop, young
	}
	return Restart, young
}

// YoungFor is how long a process has to live for its end not to count towards a crash loop.
const MinUptime = int64(20e9)
