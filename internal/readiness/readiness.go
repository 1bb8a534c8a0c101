// Package readiness holds the lifecycle phase of an instance, which decides whether it accepts callers: the phase, its
// transitions, and a way to wait for a change. Reading the phase takes no lock.
package readiness

import (
	"context"
	"sync"
	"sync/atomic"
)

// Phase is a phase in the lifecycle of an instance, as far as callers are concerned.
type Phase int32

// The phases, in order. An instance may be drained and come back; its end is final.
const (
	Starting Phase = iota
	Ready
	Draining
	Ending
)

// String returns the phase as logs and the admin interface name it.
func (p Phase) String() string { return [...]string{"starting", "ready", "draining", "ending"}[p] }

// State is the lifecycle state of one instance. The zero State is in phase Starting.
type State struct {
	phase   atomic.Int32
	mu      sync.Mutex
	drain   bool          // requested, whatever the phase
	started bool          // all parts of the instance have started
	changed chan struct{} // closed at the next change; nil if nothing waits
}

// Phase returns the present phase.
func (s *State) Phase() Phase { return Phase(s.phase.Load()) }

// Ready tells whether the instance accepts callers.
func (s *State) Ready() bool { return s.Phase() == Ready }

// MarkStarted reports that all parts of the instance have started. A drain that was requested before takes effect.
func (s *State) MarkStarted() { s.change(func() { s.started = true }) }

// Drain stops the instance from accepting callers, and Resume reverts that. Both may be repeated, may be called before
// the start, and may race: the last call wins. They return the resulting phase.
func (s *State) Drain() Phase { return s.change(func() { s.drain = true }) }

// Resume ends a drain.
func (s *State) Resume() Phase { return s.change(func() { s.drain = false }) }

// End begins the planned shutdown, which is final.
func (s *State) End() { s.change(func() { s.phase.Store(int32(Ending)) }) }

// change applies a change and derives the phase from it. All changes of the phase go through it.
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

// WaitForChange waits until the phase differs from not, or ctx ends, and returns the present phase.
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
