// Package recovery paces what an instance sends in the first seconds after its start. A new instance has only its last
// list of servers: it does not know which servers work well, which have just started and are cold, or how many other
// instances started in the same seconds, and it cannot query any of them. Until it has evidence of its own, this module
// limits what the instance sends to each server: by a window of outstanding set-ups that grows with every answer in
// time (slow start, as in RFC 5681, section 3.1) and, where the list says that a server is cold, by this instance's
// planned part of the load that the server can carry at that time. Calls are held briefly while no server has capacity,
// redials beyond that are refused, and the module reports when recovery is over.
//
// The module is pure: callers pass in the time, and it takes part in decisions through package join.
package recovery

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"masthill/control"
	"masthill/control/join"
)

// The codes of decisions, limits and states.
const (
	Done       = "done"        // every listed server is proven, or the time limit is reached
	Unproven   = "unproven"    // the window of outstanding set-ups to a server is full
	Cold       = "cold"        // the budget of a cold server is used up for now
	NoEvidence = "no-evidence" // some server is not yet proven
	NoList     = "no-list"     // no server is listed
	NoCapacity = "no-room"     // no server has capacity for a new call
	Redial     = "redial"      // a redial, while as many calls are held as can be served soon
)

const (
	millisecond = int64(1e6)
	// initialWindow is how many set-ups may be outstanding to an unproven server: two, as one may get lost. A server
	// is proven once its window reaches provenWindow: when each of four instances has that many set-ups outstanding to
	// a server at its planned load, less than one target delay's work is queued there.
	initialWindow, provenWindow = 2.0, 8.0
	// evidenceDelayPart is the part of the shortest target delay within which a set-up must succeed to count as evidence.
	evidenceDelayPart = 0.5
	// windowIncrease is added to the window for a set-up that succeeded in time; the window is multiplied by
	// windowDecrease for one that was late, lost or refused.
	windowIncrease, windowDecrease = 1.0, 0.5
	// coldLoadFactor times a cold server's planned load, scaled by its present capacity, is what all instances together
	// may send to it. Servers are planned at 72 to 87% of their capacity, so this is at most 1.4 times their
	// capacity and stays well under the multiple that the rules allow. At 1.0 and 1.2, cold servers were partly idle in
	// an overload (a loss of 0.0005 to 0.001 of service, over 24 paired seeds of the model); without any limit the
	// longest wait at them was a tenth longer.
	coldLoadFactor = 1.6
	// creditWindowPart is the part of CrashWindow for which unused credit is kept. minCreditLimit lets a
	// server whose part is under one call in that time have one at all.
	creditWindowPart, minCreditLimit = 0.25, 1.0
	// maxHoldPart is the part of the shortest target delay for which a call may be held; Admit is called again for it
	// every holdInterval.
	maxHoldPart, holdInterval = 0.25, 20 * millisecond
	// maxHeldPerServer limits the calls held at once, for each listed server.
	maxHeldPerServer = 4
	// maxEvidenceAge is the greatest age at which evidence that another process gathered about a server counts as this
	// one's own.
	maxEvidenceAge = 5_000 * millisecond
	// maxOutstanding limits the set-ups that are followed at once. What is known of the oldest is of no use by then.
	maxOutstanding = 4096
)

// Settings are fixed at the start.
type Settings struct {
	Control control.Settings
	// Planned is the load planned for all instances together, in calls per second; 0: not known. Then cold servers are
	// limited only by control's own budget and the window.
	Planned float64
}

// Evidence is what a snapshot of the previous process contains about one server.
type Evidence struct {
	Server      uint64
	ReadyAt     int64 // start of the server process that the evidence is about
	SucceededAt int64 // when a set-up last succeeded there in time, in Unix nanoseconds
	Delay       int64 // the delay of that set-up
}

// server is the state of one server since the start of this process.
type server struct {
	id          uint64
	isListed    bool
	readyAt     int64
	outstanding int     // set-ups without an answer
	window      float64 // limit on outstanding
	proven      bool
	credit      float64 // set-ups that may be sent now, if the server is cold
	creditAt    int64   // when credit was last computed
}

// Recovery is the module's state.
type Recovery struct {
	settings       Settings
	rng            *rand.Rand
	startedAt      int64
	shortestTarget int64
	servers        []*server         // sorted by id
	outstanding    map[string]uint64 // the server of each call whose set-up is outstanding
	restored       map[uint64]Evidence
	held           map[string]bool
	listedCount    int
	done           bool
	doneAt         int64
	reason         string // why recovery ended
	heldTotal      int64
	refusedTotal   int64
}

// New creates the module for a process that starts at now, in Unix nanoseconds. restored is the evidence from a
// snapshot, if any.
func New(s Settings, seed uint64, now int64, restored []Evidence) *Recovery {
	r := &Recovery{settings: s, startedAt: now, rng: rand.New(rand.NewPCG(seed, 0x7265636f76)), outstanding: map[string]uint64{},
		restored: map[uint64]Evidence{}, held: map[string]bool{}, shortestTarget: s.Control.Classes[0].TargetDelay}
	for _, g := range s.Control.Classes {
		r.shortestTarget = min(r.shortestTarget, g.TargetDelay)
	}
	for _, e := range restored {
		r.restored[e.Server] = e
	}
	return r
}

// Name implements join.Module.
func (r *Recovery) Name() string { return "recovery" }

func (r *Recovery) find(id uint64) *server {
	k, ok := slices.BinarySearchFunc(r.servers, id, func(s *server, id uint64) int { return cmp.Compare(s.id, id) })
	if !ok {
		return nil
	}
	return r.servers[k]
}

// OnEvent implements join.Module.
func (r *Recovery) OnEvent(now int64, ev control.Event) {
	if r.done {
		return
	}
	switch ev.Kind {
	case control.ListUpdate:
		r.onListUpdate(now, ev)
	case control.Arrival, control.Aborted:
		delete(r.held, ev.Call)
	case control.Established:
		if s := r.removeOutstanding(ev.Call); s != nil {
			r.onSuccess(s, ev.Elapsed)
		}
	case control.AttemptEnded:
		if s := r.removeOutstanding(ev.Call); s != nil {
			r.onFailure(s, ev)
		}
	}
	r.checkDone(now)
}

// onListUpdate applies a change of the list of servers. A server that has restarted since is unproven again.
func (r *Recovery) onListUpdate(now int64, ev control.Event) {
	if ev.FullList {
		for _, s := range r.servers {
			s.isListed = false
		}
	}
	for _, e := range ev.Entries {
		s := r.find(e.Server)
		if s == nil || s.readyAt != e.ReadyAt {
			if s == nil {
				s = &server{id: e.Server}
				r.servers = append(r.servers, s)
				slices.SortFunc(r.servers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
			}
			// The initial credit is random, so that many instances that start together spread out what they send.
			s.readyAt, s.window, s.proven, s.credit, s.creditAt = e.ReadyAt, initialWindow, false, r.rng.Float64(), now
			if evidence, ok := r.restored[e.Server]; ok && evidence.ReadyAt == e.ReadyAt && evidence.SucceededAt <= now &&
				now-evidence.SucceededAt < maxEvidenceAge && float64(evidence.Delay) <= evidenceDelayPart*float64(r.shortestTarget) {
				s.window, s.proven = provenWindow, true
			}
		}
		s.isListed = e.State == control.Serving
	}
	r.servers = slices.DeleteFunc(r.servers, func(s *server) bool { return !s.isListed && s.outstanding == 0 })
	r.listedCount = 0
	for _, s := range r.servers {
		if s.isListed {
			r.listedCount++
		}
	}
}

// removeOutstanding removes a call's set-up from the outstanding ones and returns its server.
func (r *Recovery) removeOutstanding(call string) *server {
	id, ok := r.outstanding[call]
	if !ok {
		return nil
	}
	delete(r.outstanding, call)
	s := r.find(id)
	if s != nil {
		s.outstanding--
	}
	return s
}

// onSuccess handles a set-up that succeeded: in time it is evidence that the server works, late it is a sign of a
// queue.
func (r *Recovery) onSuccess(s *server, delay int64) {
	if float64(delay) > evidenceDelayPart*float64(r.shortestTarget) {
		s.window = max(s.window*windowDecrease, 1)
		return
	}
	if s.window += windowIncrease; s.window >= provenWindow {
		s.proven, s.window = true, provenWindow
	}
}

// onFailure handles a set-up that did not succeed. One that was cancelled here, or was never sent, says nothing about
// the server.
func (r *Recovery) onFailure(s *server, ev control.Event) {
	switch ev.Outcome {
	case control.Saturated, control.TimedOut, control.ConnectionLost, control.ConnectionRefused:
		s.window, s.proven = max(s.window*windowDecrease, 1), false
	}
}

// warmUpFraction is the part of its capacity that a server has reached according to the list: it grows linearly from
// ColdFraction to 1 over WarmUpTime, as the rules define it. It is 1 for a server that is warm or whose start is not
// known.
func (r *Recovery) warmUpFraction(now int64, s *server) float64 {
	c := r.settings.Control
	age := now - s.readyAt
	if s.readyAt <= 0 || age >= c.WarmUpTime {
		return 1
	}
	return c.ColdFraction + (1-c.ColdFraction)*float64(max(age, 0))/float64(c.WarmUpTime)
}

// coldRate is what this instance may send to a cold server, in set-ups per second.
func (r *Recovery) coldRate(now int64, s *server) float64 {
	return coldLoadFactor * r.warmUpFraction(now, s) * r.settings.Planned / float64(max(r.listedCount, 1)) / float64(max(r.settings.Control.GroupSize, 1))
}

// currentCredit is the credit of a cold server at now. It is capped at a part of one CrashWindow's budget, so that an
// idle period does not end in a burst.
func (r *Recovery) currentCredit(now int64, s *server) float64 {
	coldRate := r.coldRate(now, s)
	limit := max(coldRate*creditWindowPart*float64(r.settings.Control.CrashWindow)/1e9, minCreditLimit)
	return min(s.credit+coldRate*float64(now-s.creditAt)/1e9, limit)
}

// isCold tells whether a server is limited by the budget of a cold server.
func (r *Recovery) isCold(now int64, s *server) bool {
	return r.settings.Planned > 0 && r.warmUpFraction(now, s) < 1
}

// HasCapacity implements join.Module.
func (r *Recovery) HasCapacity(now int64, id uint64) (ok bool, reason string) {
	s := r.find(id)
	switch {
	case r.done || s == nil || r.timeLimitReached(now):
		return true, ""
	case !s.proven && float64(s.outstanding) >= s.window:
		return false, Unproven
	case r.isCold(now, s) && r.currentCredit(now, s) < 1:
		return false, Cold
	}
	return true, ""
}

// OnAction implements join.Module.
func (r *Recovery) OnAction(now int64, a control.Action) {
	if r.done || a.Kind != control.Send || len(r.outstanding) >= maxOutstanding {
		return
	}
	if s := r.find(a.Server); s != nil {
		r.outstanding[a.Call] = a.Server
		s.outstanding++
		s.credit, s.creditAt = r.currentCredit(now, s)-1, now
	}
}

// Admit implements join.Module. A call is held while no server has capacity, at most for a part of the target delay;
// after that, and where as many calls are held as can be served soon, it is admitted and control decides. A redial is
// refused at that point: its caller has been refused before, and first calls take precedence.
func (r *Recovery) Admit(now int64, c join.Call) join.Decision {
	if r.done {
		return join.Decision{}
	}
	if r.checkDone(now); r.done || r.listedCount == 0 || r.anyServerHasCapacity(now) {
		delete(r.held, c.ID)
		return join.Decision{}
	}
	remaining := c.ReceivedAt + int64(maxHoldPart*float64(r.shortestTarget)) - now
	switch {
	case remaining < holdInterval || c.NotAfter-now < 2*holdInterval:
	case r.held[c.ID]:
		return join.Decision{Kind: join.Hold, Wait: holdInterval, Reason: NoCapacity}
	case len(r.held) < maxHeldPerServer*r.listedCount:
		r.held[c.ID] = true
		r.heldTotal++
		return join.Decision{Kind: join.Hold, Wait: holdInterval, Reason: NoCapacity}
	case c.Redialed:
		r.refusedTotal++
		return join.Decision{Kind: join.Refuse, Wait: r.randomWait(), Reason: Redial}
	}
	delete(r.held, c.ID)
	return join.Decision{}
}

// randomWait draws a Retry-After from the upper half of the allowed range, so that refused callers do not return
// together.
func (r *Recovery) randomWait() int64 {
	limit := r.settings.Control.MaxRetryAfter
	if !r.settings.Control.RetryAfter || limit <= 0 {
		return 0
	}
	return limit/2 + r.rng.Int64N(limit/2+1)
}

func (r *Recovery) anyServerHasCapacity(now int64) bool {
	return slices.ContainsFunc(r.servers, func(s *server) bool {
		ok, _ := r.HasCapacity(now, s.id)
		return s.isListed && ok
	})
}

// timeLimitReached tells whether WarmUpTime has passed since the start: every server that had started unnoticed before
// this process is warm by then.
func (r *Recovery) timeLimitReached(now int64) bool {
	return now-r.startedAt >= r.settings.Control.WarmUpTime
}

// checkDone ends the recovery when every listed server is proven and warm, or when the time limit is reached.
func (r *Recovery) checkDone(now int64) {
	ready := r.listedCount > 0
	for _, s := range r.servers {
		ready = ready && (!s.isListed || s.proven && !r.isCold(now, s))
	}
	if !ready && !r.timeLimitReached(now) {
		return
	}
	r.done, r.doneAt, r.reason = true, now, "evidence"
	if !ready {
		r.reason = "span"
	}
	r.servers, r.outstanding, r.held, r.restored = nil, nil, nil, nil // not needed after the end
}

// Recovering tells whether the module still limits what is sent.
func (r *Recovery) Recovering(now int64) bool { return !r.done && !r.timeLimitReached(now) }

// Status implements join.Module.
func (r *Recovery) Status(now int64) join.Status {
	status := join.Status{Module: r.Name(), Held: r.heldTotal, RefusedTotal: r.refusedTotal}
	if !r.Recovering(now) {
		status.State, status.Reason, status.Since = "done", r.reason, r.doneAt
		if !r.done {
			status.Reason, status.Since = "span", r.startedAt+r.settings.Control.WarmUpTime
		}
		return status
	}
	status.State, status.Reason, status.Since = "recovering", NoEvidence, r.startedAt
	remaining := float64(max(r.startedAt+r.settings.Control.WarmUpTime-now, 0)) / 1e9
	status.ExitCondition = fmt.Sprintf("every listed office proven and warm, or %.1f s more", remaining)
	if r.listedCount == 0 {
		status.Reason = NoList
	}
	for _, s := range r.servers {
		serverStatus := join.ServerStatus{Server: s.id, State: "unproven"}
		if s.proven {
			serverStatus.State = "proven"
		}
		if ok, reason := r.HasCapacity(now, s.id); !ok {
			serverStatus.Reason = reason
			status.Capped++
		}
		status.Servers = append(status.Servers, serverStatus)
	}
	return status
}
