package count

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
)

// Reading is a count of the fleet over a window. A process whose first message arrived less than Config.MaxDelay ago is
// included in the estimate but not in the bounds: its first messages may have been delayed, so their age is not certain.
type Reading struct {
	Value      float64 `json:"value"`  // the estimate
	LowerBound int64   `json:"least"`  // what the processes included have certainly counted in the window
	UpperBound int64   `json:"most"`   // the most that they can have counted in the window
	AgeMS      int64   `json:"age_ms"` // of the newest message of the process that has been silent for the longest time
	Processes  int     `json:"of"`     // the number of processes included, this one among them
}

// Read returns the count of a key over a window that ends now.
func (s *Set) Read(now int64, key string, window int64) (r Reading) {
	window = min(window, s.cfg.Window)
	for id, h := range s.sources {
		age := now - h.last().at
		if id == s.own {
			age = 0
		}
		if age > s.silenceTimeout() {
			continue
		}
		total, before := s.estimate(id, h, key, now-window)
		r.Value += float64(total) - before
		if !h.settled {
			continue
		}
		r.Processes++
		r.AgeMS = max(r.AgeMS, age/1e6)
		lower, upper := s.bounds(id, h, key, now-window, total)
		r.LowerBound += lower
		r.UpperBound += upper
		if id != s.own { // plus what it can have counted since its newest message was sent
			r.UpperBound += int64(math.Ceil(s.cfg.MaxRate * float64(min(age+s.cfg.MaxDelay, window)) / 1e9))
		}
	}
	return r
}

// estimate returns the newest count of a source, and its likeliest count at the time from, interpolated between samples.
func (s *Set) estimate(id Source, h *history, key string, from int64) (total int64, before float64) {
	total = h.last().counts[key]
	if id == s.own {
		total = s.counts[key]
	}
	earlier, next := h.samplesAround(from)
	count := earlier.counts[key]
	before = float64(count)
	switch {
	case next < len(h.samples) && earlier.at <= from:
		later := h.samples[next]
		before += float64(later.counts[key]-count) * float64(from-earlier.at) / float64(later.at-earlier.at)
	case next == len(h.samples) && id != s.own: // nothing was received since
		before = float64(total)
	}
	return total, before
}

// bounds returns the least and the most that a source can have counted between the time from and its newest message. A
// sample shows the source when its message was sent: no later than the message arrived, and at most MaxDelay earlier.
func (s *Set) bounds(id Source, h *history, key string, from, total int64) (lower, upper int64) {
	delay := s.cfg.MaxDelay
	if id == s.own {
		delay = 0
	}
	maxBefore := total // the most that it can have counted by the time from
	certain := sort.Search(len(h.samples), func(k int) bool { return h.samples[k].at-delay >= from })
	if certain < len(h.samples) {
		maxBefore = min(maxBefore, h.samples[certain].counts[key])
	}
	if h.startedAt-delay-1e6 >= from {
		maxBefore = 0 // its process had not started
	}
	earlier, _ := h.samplesAround(from)
	return total - min(maxBefore, total), total - earlier.counts[key]
}

// samplesAround returns the last sample at or before a time, and the index of the first one after it. If there is none
// before, it returns one without counts, dated at the start of the process.
func (h *history) samplesAround(at int64) (earlier sample, next int) {
	next = sort.Search(len(h.samples), func(k int) bool { return h.samples[k].at > at })
	if next == 0 {
		return sample{at: h.startedAt}, 0
	}
	return h.samples[next-1], next
}

// KnownCounts holds what a process is known to have counted since its start.
type KnownCounts struct {
	Source
	Counts map[string]int64 `json:"counts"`
	AgeMS  int64            `json:"age_ms"` // of its newest message
}

// KnownCounts returns the newest counts of each process that readings include, ordered by name and epoch.
func (s *Set) KnownCounts(now int64) (all []KnownCounts) {
	for id, h := range s.sources {
		last := h.last()
		if id == s.own {
			last = sample{now, s.counts}
		} else if !h.settled || now-last.at > s.silenceTimeout() {
			continue
		}
		all = append(all, KnownCounts{id, maps.Clone(last.counts), (now - last.at) / 1e6})
	}
	slices.SortFunc(all, func(a, b KnownCounts) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Epoch, b.Epoch))
	})
	return all
}

// Keys lists the keys with the given prefix that any known process has counted.
func (s *Set) Keys(prefix string) []string {
	found := map[string]bool{}
	add := func(counts map[string]int64) {
		for key := range counts {
			if strings.HasPrefix(key, prefix) {
				found[key] = true
			}
		}
	}
	add(s.counts)
	for _, h := range s.sources {
		add(h.last().counts)
	}
	return slices.Sorted(maps.Keys(found))
}
