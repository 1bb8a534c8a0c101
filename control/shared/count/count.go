// Package count keeps counts over the whole fleet: how many calls were offered, admitted and refused, by tenant and by
// number, over a window. Each instance counts for itself and broadcasts its counts since its start; receivers keep the
// largest values (a grow-only counter, as in Shapiro and others, "A comprehensive study of convergent and commutative
// replicated data types", 2011). Messages may be late, duplicated or reordered: no count decreases, and nothing counts
// twice. A restarted process counts from zero under a new epoch drawn at random, so a restarted or copied instance, or one
// with an old directory, never continues the counts of another.
//
// A reader gets an estimate and two bounds: what has certainly been counted in the window, and the most that can have been
// counted if no process counts faster than Config.MaxRate. The bounds hold whatever messages are lost, as long as the
// fastest message of each process takes Config.MaxDelay at most. Processes that the reader has not received any message of
// are not included; a reading contains the number of processes included.
//
// The package is pure: callers pass in the time, by the clock of this instance alone.
package count

import "maps"

// Source identifies one process of an instance.
type Source struct {
	Name  string `codec:"n"`
	Epoch uint64 `codec:"e"`
}

// Message holds what a process has counted since its start, and how long ago it started. From the latter, a receiver that
// has just discovered the process knows what can lie in its window.
type Message struct {
	From     Source           `codec:"f"`
	UptimeMS int64            `codec:"u"`
	Counts   map[string]int64 `codec:"c"`
}

// sample holds the counts of a source at one time of this instance's clock.
type sample struct {
	at     int64
	counts map[string]int64
}

// history holds what is known of one source.
type history struct {
	startedAt       int64 // the latest time at which its process can have started, by this instance's clock
	receivedAt      int64
	firstReceivedAt int64
	settled         bool // messages have arrived for MaxDelay, so startedAt is reliable
	samples         []sample
}

// last returns the newest sample; there always is one.
func (h *history) last() sample { return h.samples[len(h.samples)-1] }

// Set holds one instance's own counts and those received from the others.
type Set struct {
	cfg       Config
	own       Source
	startedAt int64
	counts    map[string]int64
	sources   map[Source]*history // including this process
	dropped   int64
}

// New creates a set for a process that starts at now.
func New(c Config, own Source, now int64) *Set {
	c.setDefaults()
	s := &Set{cfg: c, own: own, startedAt: now, counts: map[string]int64{}, sources: map[Source]*history{}}
	s.sources[own] = &history{startedAt: now, settled: true, samples: []sample{{now, map[string]int64{}}}}
	return s
}

// Add adds n to the count of a key. New keys beyond maxKeys are dropped.
func (s *Set) Add(key string, n int64) {
	if n <= 0 || len(key) > MaxKeyLength {
		return
	}
	if _, ok := s.counts[key]; !ok && len(s.counts) >= maxKeys {
		s.dropped++
		return
	}
	s.counts[key] += n
}

// Broadcast makes the message for the other instances. It must be called regularly even if there is no receiver, because
// the samples of this process's own counts are taken here.
func (s *Set) Broadcast(now int64) Message {
	m := Message{From: s.own, UptimeMS: (now - s.startedAt) / 1e6, Counts: maps.Clone(s.counts)}
	s.merge(now, s.sources[s.own], m.Counts)
	return m
}

// Receive merges a message of another process. Invalid messages are ignored.
func (s *Set) Receive(now int64, m Message) {
	if m.From == s.own || m.From.Name == "" || len(m.Counts) > maxKeys || m.UptimeMS < 0 || m.UptimeMS > maxUptimeMS {
		return
	}
	startedAt := now - m.UptimeMS*1e6
	h := s.sources[m.From]
	if h == nil {
		s.expireSources(now)
		if len(s.sources) >= maxSources {
			s.dropped++
			return
		}
		h = &history{startedAt: startedAt, receivedAt: now, firstReceivedAt: now}
		s.sources[m.From] = h
	}
	// The message with the shortest delay gives the best estimate of when the process started, and all others are dated by
	// it. So a message that waited in a paused process, the sender or this one, does not look newer than it is. The clocks
	// may drift in between.
	drifted := int64(2 * clockDrift * float64(now-h.receivedAt))
	h.startedAt = min(h.startedAt+drifted, startedAt)
	h.receivedAt = now
	h.settled = h.settled || now-h.firstReceivedAt >= s.cfg.MaxDelay
	sentAt := min(now, h.startedAt+m.UptimeMS*1e6)
	if len(h.samples) > 0 {
		sentAt = max(sentAt, h.last().at)
	}
	s.merge(sentAt, h, m.Counts)
}

// merge takes the larger value of each count, and keeps the result as a sample.
func (s *Set) merge(at int64, h *history, counts map[string]int64) {
	n := len(h.samples)
	last := map[string]int64{}
	if n > 0 {
		last = h.last().counts
	}
	merged := maps.Clone(last)
	for key, value := range counts {
		if len(key) > MaxKeyLength || value < 0 || float64(value-last[key]) > maxJumpSeconds*s.cfg.MaxRate {
			continue
		}
		if _, ok := merged[key]; !ok && len(merged) >= maxKeys {
			continue
		}
		merged[key] = max(value, last[key])
		if s.cfg.OmitCheck == CheckMerge && h != s.sources[s.own] {
			merged[key] = value + last[key]
		}
	}
	if n > 1 && h.samples[n-1].at-h.samples[n-2].at < s.cfg.SampleInterval {
		h.samples[n-1] = sample{at, merged}
		return
	}
	h.samples = append(h.samples, sample{at, merged})
	for len(h.samples) > 2 && h.samples[1].at <= at-s.cfg.Window-s.cfg.MaxDelay { // one sample before the window is enough
		h.samples = h.samples[1:]
	}
}

// expireSources removes processes that have been silent for so long that no window includes them.
func (s *Set) expireSources(now int64) {
	for id, h := range s.sources {
		if id != s.own && now-h.last().at > s.silenceTimeout() {
			delete(s.sources, id)
		}
	}
}

// silenceTimeout is how long a process may be silent before readings leave it out.
func (s *Set) silenceTimeout() int64 { return s.cfg.Window + 2*s.cfg.MaxDelay }
