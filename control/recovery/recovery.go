// Package recovery decides about the seconds after a start. A new instance has nothing but its last list: it does not
// know which servers are well, which have just started cold, or how many other instances started in the same seconds,
// and it can't ask any of them. Until its own evidence stands, this module paces what the instance sends to each
// server: by a window of set-ups out, which opens with every answer in time (slow start, as in RFC 5681, section 3.1),
// and, where the list says that a server is cold, by this instance's planned part of what the server bears by then.
// It holds calls briefly while no server has room, refuses redials beyond that, and says when it is done.
//
// The module is pure: it is told the time and joins the core through package join.
package recovery

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"masthill/control"
	"masthill/control/join"
)

// The codes of rulings, caps and states.
const (
	Done       = "done"        // every listed server is proven, or the span is over
	Unproven   = "unproven"    // a server's window of set-ups without an answer is full
	Cold       = "cold"        // a cold server's budget is spent for now
	NoEvidence = "no-evidence" // some server has not yet proven itself
	NoList     = "no-list"     // no server is listed
	NoRoom     = "no-room"     // no server has room for a new call
	Redial     = "redial"      // a caller's retry while calls are held already
)

const (
	millisecond = int64(1e6)
	// windowFirst is how many set-ups may be out at a server that has proven nothing: one can get lost. windowProven
	// is the window at which it has: with four instances of each window, a server at its planned load has less queued
	// than an aim's worth.
	windowFirst, windowProven = 2.0, 8.0
	// inTime is the part of the shortest aim within which a set-up has to stand to count as evidence.
	inTime = 0.5
	// openGain is what a set-up that stood in time adds to the window, closeTo what a late, lost or refused one leaves.
	openGain, closeTo = 1.0, 0.5
	// coldPart times a cold server's planned load, in its present capacity, is what all instances together may send:
	// processors are planned at 72 to 87% of what they bear, so that this is 1.4 times that at most, and stays well under
	// the rules' multiple. At 1.0 and 1.2 cold servers stood part idle in an overload (0.0005 to 0.001 of service, over 24
	// paired seeds of the model); without any bound the longest wait at them was a tenth longer.
	coldPart = 1.6
	// creditWindow is the part of the rules' fall window that unused credit may save up; creditLeast lets a
	// server with a part under one call in that time have one at all.
	creditWindow, creditLeast = 0.25, 1.0
	// holdPart is the part of the shortest aim that a call may be held here, holdStep how often it is asked about.
	holdPart, holdStep = 0.25, 20 * millisecond
	// heldMost bounds the calls held at once for each listed server.
	heldMost = 4
	// provenFor is how old another process's evidence about a server may be to count as this one's own.
	provenFor = 5_000 * millisecond
	// outMost bounds the set-ups followed at once; beyond it the oldest knowledge is worth nothing anyway.
	outMost = 4096
)

// Settings is what the module is told once.
type Settings struct {
	Control control.Settings
	// Planned is the load planned for all instances together, in calls a second; 0: not known. Then cold servers
	// are left to control's own budget and the window.
	Planned float64
}

// Evidence is what a snapshot of the process before brings about one server.
type Evidence struct {
	Server      uint64
	ReadyAt     int64 // of the processor that it speaks of
	SucceededAt int64 // when a set-up last stood there in time, Unix nanoseconds
	Delay       int64 // its set-up delay then
}

// server is what is known of one server since the start.
type server struct {
	id      uint64
	in      bool
	readyAt int64
	out     int     // set-ups without an answer
	window  float64 // of those
	proven  bool
	credit  float64 // of a cold one, in set-ups
	at      int64   // when credit was last counted
}

// Recovery is the state of the module.
type Recovery struct {
	set     Settings
	rng     *rand.Rand
	began   int64
	aim     int64
	servers []*server         // by id
	out     map[string]uint64 // the server where a call's set-up is out
	brought map[uint64]Evidence
	held    map[string]bool
	listed  int
	done    bool
	doneAt  int64
	why     string // of the end
	holds   int64
	turned  int64
}

// New makes the module for a start at a time, in Unix nanoseconds; what a snapshot brought may be empty.
func New(s Settings, seed uint64, now int64, brought []Evidence) *Recovery {
	r := &Recovery{set: s, began: now, rng: rand.New(rand.NewPCG(seed, 0x7265636f76)), out: map[string]uint64{},
		brought: map[uint64]Evidence{}, held: map[string]bool{}, aim: s.Control.Classes[0].Aim}
	for _, g := range s.Control.Classes {
		r.aim = min(r.aim, g.Aim)
	}
	for _, e := range brought {
		r.brought[e.Server] = e
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

// See implements join.Module.
func (r *Recovery) OnEvent(now int64, ev control.Event) {
	if r.done {
		return
	}
	switch ev.Kind {
	case control.ListUpdate:
		r.members(now, ev)
	case control.Arrival, control.Aborted:
		delete(r.held, ev.Call)
	case control.Stands:
		if s := r.back(ev.Call); s != nil {
			r.stood(s, ev.Elapsed)
		}
	case control.AttemptEnded:
		if s := r.back(ev.Call); s != nil {
			r.ended(s, ev)
		}
	}
	r.look(now)
}

// members takes the list. A server with another start than before has proven nothing.
func (r *Recovery) members(now int64, ev control.Event) {
	if ev.FullList {
		for _, s := range r.servers {
			s.in = false
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
			// Credit starts at random, so that many instances that start together send spread out.
			s.readyAt, s.window, s.proven, s.credit, s.at = e.ReadyAt, windowFirst, false, r.rng.Float64(), now
			if b, ok := r.brought[e.Server]; ok && b.ReadyAt == e.ReadyAt && b.SucceededAt <= now &&
				now-b.SucceededAt < provenFor && float64(b.Delay) <= inTime*float64(r.aim) {
				s.window, s.proven = windowProven, true
			}
		}
		s.in = e.State == control.Serving
	}
	r.servers = slices.DeleteFunc(r.servers, func(s *server) bool { return !s.in && s.out == 0 })
	r.listed = 0
	for _, s := range r.servers {
		if s.in {
			r.listed++
		}
	}
}

// back takes a call's set-up off those that are out, and gives its server.
func (r *Recovery) back(call string) *server {
	id, ok := r.out[call]
	if !ok {
		return nil
	}
	delete(r.out, call)
	s := r.find(id)
	if s != nil {
		s.out--
	}
	return s
}

// stood takes a set-up that stood: in time it is evidence, late it is a queue.
func (r *Recovery) stood(s *server, delay int64) {
	if float64(delay) > inTime*float64(r.aim) {
		s.window = max(s.window*closeTo, 1)
		return
	}
	if s.window += openGain; s.window >= windowProven {
		s.proven, s.window = true, windowProven
	}
}

// ended takes a set-up that did not stand. What was called off here, or never left, says nothing of the server.
func (r *Recovery) ended(s *server, ev control.Event) {
	switch ev.Outcome {
	case control.Saturated, control.TimedOut, control.ConnectionLost, control.ConnectionRefused:
		s.window, s.proven = max(s.window*closeTo, 1), false
	}
}

// warmth is the part of its capacity that a server has by the list: linear from ColdFrom over ColdSpan, as the rules
// put it. 1: warm, or its start is not known.
func (r *Recovery) warmth(now int64, s *server) float64 {
	c := r.set.Control
	age := now - s.readyAt
	if s.readyAt <= 0 || age >= c.ColdSpan {
		return 1
	}
	return c.ColdFrom + (1-c.ColdFrom)*float64(max(age, 0))/float64(c.ColdSpan)
}

// pace is what this instance may send to a cold server, in set-ups a second.
func (r *Recovery) pace(now int64, s *server) float64 {
	return coldPart * r.warmth(now, s) * r.set.Planned / float64(max(r.listed, 1)) / float64(max(r.set.Control.GroupSize, 1))
}

// credits is the credit of a cold server by now. It is no more than a part of a window's budget, lest a quiet spell
// end in a burst.
func (r *Recovery) credits(now int64, s *server) float64 {
	pace := r.pace(now, s)
	most := max(pace*creditWindow*float64(r.set.Control.FallWindow)/1e9, creditLeast)
	return min(s.credit+pace*float64(now-s.at)/1e9, most)
}

// cold tells whether a server goes by its budget.
func (r *Recovery) cold(now int64, s *server) bool { return r.set.Planned > 0 && r.warmth(now, s) < 1 }

// Room implements join.Module.
func (r *Recovery) HasRoom(now int64, id uint64) (ok bool, reason string) {
	s := r.find(id)
	switch {
	case r.done || s == nil || r.over(now):
		return true, ""
	case !s.proven && float64(s.out) >= s.window:
		return false, Unproven
	case r.cold(now, s) && r.credits(now, s) < 1:
		return false, Cold
	}
	return true, ""
}

// Did implements join.Module.
func (r *Recovery) OnAction(now int64, a control.Action) {
	if r.done || a.Kind != control.Send || len(r.out) >= outMost {
		return
	}
	if s := r.find(a.Server); s != nil {
		r.out[a.Call] = a.Server
		s.out++
		s.credit, s.at = r.credits(now, s)-1, now
	}
}

// Admit implements join.Module. A call is held while no server has room, for a part of its aim at most; then, and
// where as many are held as can have room soon, control decides. A redial is refused there: its caller was turned
// away before, and callers with a first try come first.
func (r *Recovery) Admit(now int64, c join.Call) join.Decision {
	if r.done {
		return join.Decision{}
	}
	if r.look(now); r.done || r.listed == 0 || r.anyRoom(now) {
		delete(r.held, c.ID)
		return join.Decision{}
	}
	left := c.Taken + int64(holdPart*float64(r.aim)) - now
	switch {
	case left < holdStep || c.NotAfter-now < 2*holdStep:
	case r.held[c.ID]:
		return join.Decision{Verdict: join.Hold, Wait: holdStep, Reason: NoRoom}
	case len(r.held) < heldMost*r.listed:
		r.held[c.ID] = true
		r.holds++
		return join.Decision{Verdict: join.Hold, Wait: holdStep, Reason: NoRoom}
	case c.Retry:
		r.turned++
		return join.Decision{Verdict: join.Refuse, Wait: r.spread(), Reason: Redial}
	}
	delete(r.held, c.ID)
	return join.Decision{}
}

// spread is a told wait, drawn over the upper half of what may be told, lest the refused return together.
func (r *Recovery) spread() int64 {
	most := r.set.Control.MaxRetryAfter
	if !r.set.Control.RetryAfter || most <= 0 {
		return 0
	}
	return most/2 + r.rng.Int64N(most/2+1)
}

func (r *Recovery) anyRoom(now int64) bool {
	return slices.ContainsFunc(r.servers, func(s *server) bool {
		ok, _ := r.HasRoom(now, s.id)
		return s.in && ok
	})
}

// over tells whether the span has passed: whatever had started unseen before this process is warm by then.
func (r *Recovery) over(now int64) bool { return now-r.began >= r.set.Control.ColdSpan }

// look ends the recovery when every listed server is proven and warm, or its span is over.
func (r *Recovery) look(now int64) {
	ready := r.listed > 0
	for _, s := range r.servers {
		ready = ready && (!s.in || s.proven && !r.cold(now, s))
	}
	if !ready && !r.over(now) {
		return
	}
	r.done, r.doneAt, r.why = true, now, "evidence"
	if !ready {
		r.why = "span"
	}
	r.servers, r.out, r.held, r.brought = nil, nil, nil, nil // nothing of it is needed any more
}

// Recovering tells whether the module still paces.
func (r *Recovery) Recovering(now int64) bool { return !r.done && !r.over(now) }

// Status implements join.Module.
func (r *Recovery) Status(now int64) join.Status {
	st := join.Status{Module: r.Name(), Held: r.holds, RefusedTotal: r.turned}
	if !r.Recovering(now) {
		st.State, st.Reason, st.Since = "done", r.why, r.doneAt
		if !r.done {
			st.Reason, st.Since = "span", r.began+r.set.Control.ColdSpan
		}
		return st
	}
	st.State, st.Reason, st.Since = "recovering", NoEvidence, r.began
	left := float64(max(r.began+r.set.Control.ColdSpan-now, 0)) / 1e9
	st.Out = fmt.Sprintf("every listed office proven and warm, or %.1f s more", left)
	if r.listed == 0 {
		st.Reason = NoList
	}
	for _, s := range r.servers {
		p := join.ServerStatus{Server: s.id, State: "unproven"}
		if s.proven {
			p.State = "proven"
		}
		if ok, why := r.HasRoom(now, s.id); !ok {
			p.Reason = why
			st.Capped++
		}
		st.Servers = append(st.Servers, p)
	}
	return st
}
