// Package count keeps counts of a whole fleet: how much was offered, admitted and refused, by member and by number, over a
// window. Each instance counts for itself and tells the others its counts since its start; whoever hears them keeps the
// largest (a grow-only counter, as in Shapiro and others, "A comprehensive study of convergent and commutative replicated
// data types", 2011). Messages may come late, twice or in another order: no count goes back, and none counts twice. A
// process that starts anew counts from nothing under an epoch of its own, drawn at random, so that a restarted or copied
// instance, or one with an old folder, never goes on with another's counts.
//
// A reader gets a value and two bounds that hold whatever was lost, as long as the quickest of a process's messages
// takes Config.Delay at most: what has surely been counted in the window, and what can have been counted at most, if no instance counts more than
// Config.Rate. Instances that the reader has never heard of are not in it: it says how many it has heard of.
//
// The package is pure: it is told the time, by the reader's own clock alone.
package count

import (
	"maps"
)

const (
	KeyLong = 48
)

// Source is one process of an instance.
type Source struct {
	Name  string `codec:"n"`
	Epoch uint64 `codec:"e"`
}

// Message is what a process has counted since its start, and how long ago that was: a reader that hears of a process for
// the first time learns from it what can be in its window at all.
type Message struct {
	From   Source           `codec:"f"`
	Up     int64            `codec:"u"` // milliseconds since its start
	Counts map[string]int64 `codec:"c"`
}

// sample is what was known of a source at a time of the reader's clock.
type sample struct {
	at     int64
	counts map[string]int64
}

// heard is what a reader knows of a source.
type heard struct {
	began   int64 // of its process, by the reader's clock, at the latest
	cameAt  int64
	firstAt int64
	settled bool // its messages have been dated by more than one
	samples []sample
}

// Set is one instance's own counts, and what it has heard of the others'.
type Set struct {
	cfg     Config
	own     Source
	began   int64
	counts  map[string]int64
	sources map[Source]*heard // this process among them
	dropped int64
}

// New makes a set for a process that starts at a time.
func New(c Config, own Source, now int64) *Set {
	c.defaults()
	s := &Set{cfg: c, own: own, began: now, counts: map[string]int64{}, sources: map[Source]*heard{}}
	s.sources[own] = &heard{began: now, settled: true, samples: []sample{{now, map[string]int64{}}}}
	return s
}

// Add counts. A key beyond what is kept is counted as dropped.
func (s *Set) Add(key string, n int64) {
	if n <= 0 || len(key) > KeyLong {
		return
	}
	if _, ok := s.counts[key]; !ok && len(s.counts) >= keysMost {
		s.dropped++
		return
	}
	s.counts[key] += n
}

// Tell is what the others are to hear now. It wants to be called regularly also where nobody hears it: the process's own
// counts over a window rest on it.
func (s *Set) Tell(now int64) Message {
	m := Message{From: s.own, Up: (now - s.began) / 1e6, Counts: maps.Clone(s.counts)}
	s.take(now, s.sources[s.own], m.Counts)
	return m
}

// Hear takes what another process tells; what is unfit is left out.
func (s *Set) Hear(now int64, m Message) {
	if m.From == s.own || m.From.Name == "" || len(m.Counts) > keysMost || m.Up < 0 || m.Up > upMost {
		return
	}
	h := s.sources[m.From]
	if h == nil {
		s.forget(now)
		if len(s.sources) >= sourcesMost {
			s.dropped++
			return
		}
		h = &heard{began: now - m.Up*1e6, cameAt: now, firstAt: now}
		s.sources[m.From] = h
	}
	// The message that was under way for the shortest time tells best when the process began; all others are dated by that,
	// so that one that waited in a frozen process, its sender or this one, is no fresher than it is. The clocks may drift.
	h.began = min(h.began+int64(2*drift*float64(now-h.cameAt)), now-m.Up*1e6)
	h.cameAt = now
	h.settled = h.settled || now-h.firstAt >= s.cfg.Delay
	at := min(now, h.began+m.Up*1e6)
	if n := len(h.samples); n > 0 {
		at = max(at, h.samples[n-1].at)
	}
	s.take(at, h, m.Counts)
}

// take merges counts by the larger and keeps a sample.
func (s *Set) take(now int64, h *heard, counts map[string]int64) {
	n := len(h.samples)
	last := map[string]int64{}
	if n > 0 {
		last = h.samples[n-1].counts
	}
	merged := maps.Clone(last)
	for k, v := range counts {
		if len(k) > KeyLong || v < 0 || float64(v-last[k]) > futureMost*s.cfg.Rate {
			continue
		}
		if _, ok := merged[k]; ok || len(merged) < keysMost {
			if merged[k] = max(v, last[k]); s.cfg.Without == Merge && h != s.sources[s.own] {
				merged[k] = v + last[k]
			}
		}
	}
	if n > 1 && h.samples[n-1].at-h.samples[n-2].at < s.cfg.Every {
		h.samples[n-1] = sample{now, merged}
		return
	}
	h.samples = append(h.samples, sample{now, merged})
	for len(h.samples) > 2 && h.samples[1].at <= now-s.cfg.Window-s.cfg.Delay { // one from before the window is enough
		h.samples = h.samples[1:]
	}
}

// forget lets go of processes that have said nothing for so long that nothing of theirs can be in a window.
func (s *Set) forget(now int64) {
	for id, h := range s.sources {
		if id != s.own && now-h.samples[len(h.samples)-1].at > s.silence() {
			delete(s.sources, id)
		}
	}
}

// silence is how long a process may say nothing before it is no longer counted with.
func (s *Set) silence() int64 { return s.cfg.Window + 2*s.cfg.Delay }
