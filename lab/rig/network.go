package rig

import (
	"slices"
	"time"
)

// linkUpdateInterval is how often the states of the links are updated from the present faults.
const linkUpdateInterval = 50 * time.Millisecond

// updateLinks updates the states of the links until the run ends, and records how late the rig itself runs.
func (w *run) updateLinks() {
	for n := 1; ; n++ {
		due := time.Duration(n) * linkUpdateInterval
		if !w.sleepUntil(due) {
			return
		}
		now := time.Since(w.startedAt)
		w.mu.Lock()
		w.result.MaxDelayMS = max(w.result.MaxDelayMS, float64((now-due).Microseconds())/1000)
		w.mu.Unlock()
		for pair, l := range w.links {
			l.setState(w.linkState(now, pair[0], pair[1]))
		}
	}
}

// linkState combines the faults of a link at a time.
func (w *run) linkState(now time.Duration, from, to int) (state LinkState) {
	for _, f := range w.faults {
		if now < f.At || now >= f.At+f.Duration {
			continue
		}
		fromAffected, toAffected := slices.Contains(f.Targets, from), slices.Contains(f.Targets, to)
		switch f.Kind {
		case "cut":
			state.Cut = state.Cut || fromAffected != toAffected
		case "flap":
			state.Cut = state.Cut || fromAffected != toAffected && now%time.Second < time.Second/2
		case "between":
			state.Cut = state.Cut || fromAffected && toAffected
		case "oneway":
			state.Cut = state.Cut || toAffected && !fromAffected
		case "halfopen":
			state.HalfOpen = state.HalfOpen || toAffected
		case "noise":
			if fromAffected || toAffected {
				state.addNoise(f)
			}
		}
	}
	return state
}

// addNoise adds a fault of kind noise. Of several faults the worst values count, except for BytesPerSecond, where the last
// fault counts.
func (s *LinkState) addNoise(f Fault) {
	s.Loss = max(s.Loss, f.Loss)
	s.Duplicate = max(s.Duplicate, f.Duplicate)
	s.Delay = max(s.Delay, f.Delay)
	s.Jitter = max(s.Jitter, f.Jitter)
	s.BytesPerSecond = f.BytesPerSecond
}
