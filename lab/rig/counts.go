package rig

import (
	"sort"

	"masthill/control/shared/count"
)

// readingWindow is the window of the readings in the claims files, in nanoseconds.
const readingWindow = int64(2e9)

// processes maps the source of a count to its process.
type processes map[count.Source]*process

// checkCounts compares what each process reported about the counts of others with what those had counted by then.
func checkCounts(f *Findings, all []*process, b bounds) {
	bySource := processes{}
	for _, p := range all {
		bySource[count.Source{Name: p.name, Epoch: p.epoch}] = p
	}
	for _, p := range all {
		for n := range p.snapshots {
			s := &p.snapshots[n]
			checkKnown(f, bySource, p, s, b.maxDelay)
			checkReadings(f, bySource, p, s)
		}
	}
}

// checkKnown checks the counts that a process knew of others: they must be no more than those had counted, and no less than
// they had counted when the message with the count was sent.
func checkKnown(f *Findings, bySource processes, p *process, s *snapshot, maxDelay int64) {
	for _, known := range s.KnownCounts {
		source := bySource[known.Source]
		if source == nil || source == p {
			continue
		}
		for key, value := range known.Counts {
			f.Counts++
			if _, after, ok := source.counted(s.at, key); ok && value > after {
				f.report(&f.OutOfBounds, "%s reports that %s counted %d of %s, but it was at most %d", p.name, known.Name, value, key, after)
			}
			if before, _, _ := source.counted(s.at-known.AgeMS*1e6-maxDelay, key); value < before {
				f.report(&f.OutOfBounds, "%s reports that %s counted %d of %s, but it was at least %d", p.name, known.Name, value, key, before)
			}
		}
	}
}

// checkReadings checks the bounds that a process gave for the counts of the whole fleet in a window.
func checkReadings(f *Findings, bySource processes, p *process, s *snapshot) {
	for _, reading := range s.Counts {
		f.Counts++
		lowest, highest, certain := countedInWindow(bySource, s, reading.Key)
		if certain && reading.LowerBound > highest {
			f.report(&f.OutOfBounds, "%s: the lower bound of %s is %d, but at most %d were counted", p.name, reading.Key, reading.LowerBound, highest)
		}
		if certain && reading.UpperBound < lowest {
			f.report(&f.OutOfBounds, "%s: the upper bound of %s is %d, but at least %d were counted", p.name, reading.Key, reading.UpperBound, lowest)
		}
	}
}

// countedInWindow returns bounds of what the processes that a snapshot knows counted in its window. The bounds are not
// certain if one of them has no later snapshot of its own.
func countedInWindow(bySource processes, s *snapshot, key string) (lowest, highest int64, certain bool) {
	certain = true
	for _, known := range s.KnownCounts {
		source := bySource[known.Source]
		if source == nil {
			certain = false
			continue
		}
		beforeStart, afterStart, _ := source.counted(s.at-readingWindow, key)
		beforeEnd, afterEnd, ok := source.counted(s.at, key)
		if !ok {
			certain = false
		}
		lowest += max(beforeEnd-afterStart, 0)
		highest += afterEnd - beforeStart
	}
	return lowest, highest, certain
}

// counted returns what a process itself had counted at its last snapshot up to a time and at its first one after it. ok is
// false if there is no later one.
func (p *process) counted(at int64, key string) (before, after int64, ok bool) {
	next := sort.Search(len(p.snapshots), func(k int) bool { return p.snapshots[k].at > at })
	if next > 0 {
		before = p.ownCount(&p.snapshots[next-1], key)
	}
	if next < len(p.snapshots) {
		return before, p.ownCount(&p.snapshots[next], key), true
	}
	return before, 0, false
}

// ownCount returns a process's own count in one of its snapshots.
func (p *process) ownCount(s *snapshot, key string) int64 {
	for _, known := range s.KnownCounts {
		if known.Name == p.name && known.Epoch == p.epoch {
			return known.Counts[key]
		}
	}
	return 0
}
