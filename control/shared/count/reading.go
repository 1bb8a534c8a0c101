package count

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
)

// Reading is a count of the fleet over a window. A process of which nothing was heard a Config.Delay ago is in the value
// alone: its first messages may have waited in another that passed them on, so that nothing is sure of their age.
type Reading struct {
	Value float64 `json:"value"`  // the likeliest
	Least int64   `json:"least"`  // surely counted in the window by the processes that it is about
	Most  int64   `json:"most"`   // by them, at most
	AgeMS int64   `json:"age_ms"` // of what was heard last from the one that has been quiet for longest
	Of    int     `json:"of"`     // processes that it is about, this one among them
}

// Read reads a key over a window that ends now.
func (s *Set) Read(now int64, key string, window int64) (r Reading) {
	window = min(window, s.cfg.Window)
	from := now - window
	for id, h := range s.sources {
		delay, last := s.cfg.Delay, h.samples[len(h.samples)-1]
		total := last.counts[key]
		if id == s.own {
			delay, total, last.at = 0, s.counts[key], now
		}
		age := now - last.at
		if age > s.silence() {
			continue
		}
		if h.settled {
			r.Of++
			r.AgeMS = max(r.AgeMS, age/1e6)
		}
		// A sample shows its process as it was when it was sent: not later than it came, and not more than the delay before.
		// So what it had counted when the window began is before at least and after at most, and likely guess.
		all := h.samples
		next := sort.Search(len(all), func(k int) bool { return all[k].at > from })
		was, before := sample{at: h.began}, int64(0)
		if next > 0 {
			was = all[next-1]
			before = was.counts[key]
		}
		guess := float64(before)
		switch {
		case next < len(all) && was.at <= from:
			guess += float64(all[next].counts[key]-before) * float64(from-was.at) / float64(all[next].at-was.at)
		case next == len(all) && id != s.own: // nothing was heard since
			guess = float64(total)
		}
		after := total
		if sure := sort.Search(len(all), func(k int) bool { return all[k].at-delay >= from }); sure < len(all) {
			after = min(after, all[sure].counts[key])
		}
		if h.began-delay-1e6 >= from {
			after = 0 // its process had not begun
		}
		if r.Value += float64(total) - guess; !h.settled {
			continue
		}
		r.Least += total - min(after, total)
		r.Most += total - before
		if id != s.own {
			r.Most += int64(math.Ceil(s.cfg.Rate * float64(min(age+delay, window)) / 1e9))
		}
	}
	return r
}

// Known is what a process is known to have counted since its start.
type Known struct {
	Source
	Counts map[string]int64 `json:"counts"`
	AgeMS  int64            `json:"age_ms"` // of the news
}

// All tells what is known of each process that readings are about, the newest news only, in the order of names.
func (s *Set) All(now int64) (all []Known) {
	for id, h := range s.sources {
		last := h.samples[len(h.samples)-1]
		if id == s.own {
			last = sample{now, s.counts}
		} else if !h.settled || now-last.at > s.silence() {
			continue
		}
		all = append(all, Known{id, maps.Clone(last.counts), (now - last.at) / 1e6})
	}
	slices.SortFunc(all, func(a, b Known) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Epoch, b.Epoch))
	})
	return all
}

// Keys lists the keys with a prefix that any process known has counted.
func (s *Set) Keys(prefix string) []string {
	seen := map[string]bool{}
	for _, h := range s.sources {
		for k := range h.samples[len(h.samples)-1].counts {
			seen[k] = seen[k] || strings.HasPrefix(k, prefix)
		}
	}
	for k := range s.counts {
		seen[k] = seen[k] || strings.HasPrefix(k, prefix)
	}
	maps.DeleteFunc(seen, func(_ string, is bool) bool { return !is })
	return slices.Sorted(maps.Keys(seen))
}
