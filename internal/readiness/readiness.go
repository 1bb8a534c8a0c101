// Package readiness is an instance's one answer to the question whether callers may come: the state, its transitions, and a
// way to follow them. Reading it takes no lock.
package readiness

import (
	"context"
	"sync"
	"sync/atomic"
)

// Phase is what an instance is doing, as far as callers are concerned.
type Phase int32

// The phases, in order. An instance may be drained and come back; its end is final.
const (
	Starting Phase = iota
	Ready
	Draining
	Ending
)

func (p Phase) String() string { return [...]string{"starting", "ready", "draining", "ending"}[p] }

// State is the state of one instance. The zero State is starting.
type State struct {
	phase   atomic.Int32
	mu      sync.Mutex
	drain   bool          // asked for, whatever the phase
	started bool          // all parts are there
	changed chan struct{} // closed with the next change; nil: nobody waits
}

// Phase is the present phase.
func (s *State) Phase() Phase { return Phase(s.phase.Load()) }

// Ready tells whether callers may come.
func (s *State) Ready() bool { return s.Phase() == Ready }

// Started tells that the instance serves. A drain that was asked for before holds.
func (s *State) MarkStarted() { s.change(func() { s.started = true }) }

// Drain sends callers away; Resume has them come again. Both may be repeated, come before the start, and cross: the last
// one holds. They tell the phase that follows.
func (s *State) Drain() Phase { return s.change(func() { s.drain = true }) }

// Resume ends a drain.
func (s *State) Resume() Phase { return s.change(func() { s.drain = false }) }

// End is the planned end.
func (s *State) End() { s.change(func() { s.phase.Store(int32(Ending)) }) }

// change is the one place where the phase changes.
func (s *State) change(set func()) Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Phase()
	set()
	now := s.Phase()
	switch {
	case now == Ending:
	case !s.started:
		now = Starting
	case s.drain:
		now = Draining
	default:
		now = Ready
	}
	s.phase.Store(int32(now))
	if now != before && s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return now
}

// Await waits until the phase is another one than that, or ctx ends, and gives the present one.
func (s *State) WaitForChange(ctx context.Context, not Phase) Phase {
	for {
		s.mu.Lock()
		now := s.Phase()
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if now != not {
			return now
		}
		select {
		case <-ctx.Done():
			return now
		case <-changed:
		}
	}
}
