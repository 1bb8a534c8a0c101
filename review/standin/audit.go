package main

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// process is one process of an instance, with what it wrote to its audit file. Times are in Unix nanoseconds.
type process struct {
	name   string
	from   int64
	to     int64 // of its last line
	reigns [][2]int64
	claims []claim
}

// claim is what a process may use of a budget's pool, from a time to another.
type claim struct {
	From                     int64 `json:"-"`
	Budget                   string
	Floor, Rate, Until, Size int64
}

// checkAudit reads the audit files of all instances: audit COUNT FILE... It records each moment at which two processes were the
// allocator, and each at which the parts in use of a budget add up to more than its pool. The exit code is 1 if there was any.
func checkAudit(args []string) int {
	instances, err := strconv.ParseInt(args[0], 10, 64)
	if err != nil {
		return fail(err)
	}
	var all []*process
	for _, file := range args[1:] {
		f, err := os.Open(file)
		if err != nil {
			return fail(err)
		}
		defer f.Close()
		all = append(all, readAudit(strings.TrimSuffix(filepath.Base(file), ".audit"), f)...)
	}
	two, longest := reigningAtOnce(all)
	over, most := overspent(all, instances)
	record("audit", "two allocators at once: %d times, longest %d ms; parts of a budget over its pool: %d moments, at most %.2f of it", two, longest, over, most)
	if two+over > 0 {
		return 1
	}
	return 0
}

// readAudit reads the file of one instance.
func readAudit(name string, f *os.File) (all []*process) {
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<22)
	for lines.Scan() {
		var l struct {
			At    int64
			Kind  string
			Claim json.RawMessage
		}
		if json.Unmarshal(lines.Bytes(), &l) != nil { // the last line of a process may be cut short
			continue
		}
		if l.Kind == "start" {
			all = append(all, &process{name: name, from: l.At, to: l.At})
		}
		if len(all) == 0 {
			continue
		}
		p := all[len(all)-1]
		p.to = max(p.to, l.At)
		switch l.Kind {
		case "reign":
			until := int64(0)
			if json.Unmarshal(l.Claim, &until) == nil {
				p.reigns = append(p.reigns, [2]int64{l.At, until})
			}
		case "claim":
			c := claim{From: l.At}
			if json.Unmarshal(l.Claim, &c) == nil {
				p.claims = append(p.claims, c)
			}
		}
	}
	return all
}

// reigningAtOnce counts the spans in which two processes were the allocator. A reign ends with its process at the latest.
func reigningAtOnce(all []*process) (count int, longestMS int64) {
	type span struct {
		from, to int64
		p        *process
	}
	var spans []span
	for _, p := range all {
		for _, r := range p.reigns {
			s := span{r[0], min(r[1], p.to), p}
			if k := len(spans) - 1; k >= 0 && spans[k].p == p && s.from <= spans[k].to { // the reign goes on
				spans[k].to = max(spans[k].to, s.to)
				continue
			}
			spans = append(spans, s)
		}
	}
	for k, a := range spans {
		record("audit", "allocator %s from %d to %d", a.p.name, a.from/1e6, a.to/1e6)
		for _, b := range spans[:k] {
			if from, to := max(a.from, b.from), min(a.to, b.to); a.p != b.p && to > from {
				count++
				longestMS = max(longestMS, (to-from)/1e6)
				record("audit", "two allocators at once: %s and %s from %d, for %d ms", a.p.name, b.p.name, from/1e6, (to-from)/1e6)
			}
		}
	}
	return count, longestMS
}

// overspent counts the moments at which the parts in use of a budget add up to more than its pool: the budget without the
// floors of all instances. Where processes disagree on the size, the largest counts.
func overspent(all []*process, instances int64) (count int, most float64) {
	type change struct {
		at   int64
		p    *process
		c    claim
		ends bool
	}
	byBudget := map[string][]change{}
	for _, p := range all {
		last := map[string]*claim{}
		for k := range p.claims {
			c := &p.claims[k]
			if before := last[c.Budget]; before != nil && before.Until < c.From {
				byBudget[c.Budget] = append(byBudget[c.Budget], change{before.Until, p, *before, true})
			}
			last[c.Budget] = c
			byBudget[c.Budget] = append(byBudget[c.Budget], change{c.From, p, *c, false})
		}
		for budget, c := range last {
			byBudget[budget] = append(byBudget[budget], change{min(c.Until, p.to), p, *c, true})
		}
	}
	for budget, changes := range byBudget {
		slices.SortStableFunc(changes, func(a, b change) int { return int(max(-1, min(1, a.at-b.at))) })
		inUse := map[*process]claim{}
		for _, ch := range changes {
			delete(inUse, ch.p)
			if !ch.ends && ch.c.Rate > 0 {
				inUse[ch.p] = ch.c
			}
			sum, size, floor := int64(0), int64(0), int64(0)
			for _, c := range inUse {
				sum += c.Rate
				if c.Size > size {
					size, floor = c.Size, c.Floor
				}
			}
			pool := size - instances*floor
			if pool <= 0 {
				continue
			}
			most = max(most, float64(sum)/float64(pool))
			if sum > pool {
				if count++; count <= 20 {
					record("audit", "%s: %d of a pool of %d thousandths of a call a second in use at %d by %d processes", budget, sum, pool, ch.at/1e6, len(inUse))
				}
			}
		}
	}
	return count, most
}
