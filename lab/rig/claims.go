package rig

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"sort"

	"masthill/control/shared"
	"masthill/control/shared/judge"
	"masthill/control/shared/lease"
)

// The claims of all processes are held against each other. Each line was written when it was claimed, with the time of the
// process's own steady clock; on one machine these agree.
type line struct {
	At        int64           `json:"at"`
	Kind      string          `json:"kind"`
	Claim     json.RawMessage `json:"claim"`
	Alive     int             `json:"alive"`
	Bytes     int64           `json:"bytes"`
	Datagrams int64           `json:"datagrams"`
}

// look is one look of a process at all that it knows.
type look struct {
	at    int64
	alive int
	bytes int64
	grams int64
	shared.Look
}

// process is one process and what it claimed.
type process struct {
	name     string
	epoch    uint64
	from, to int64 // to: its end as the rig knows it
	claims   []claim
	reigns   [][2]int64 // from and until
	looks    []look
	verdicts []judge.Verdict
}

type claim struct {
	at int64
	lease.Claim
}

// Findings are what the checker found of the claims.
type Findings struct {
	Processes  int      `json:"processes"`
	Claims     int      `json:"claims"`
	Overspent  int      `json:"budgets_overspent"` // moments at which the parts in use added up to more than the pool
	MostInUse  float64  `json:"most_in_use"`       // of a pool, as a part of it
	Rivals     int      `json:"two_allocators"`    // moments at which two held themselves to be the one
	Overused   int      `json:"budgets_overused"`  // windows of 5 s in which more was used than a budget and its allowance
	Used       int64    `json:"used"`              // units of all budgets
	Counts     int      `json:"counts_checked"`
	OutOfBound int      `json:"counts_out_of_bounds"`
	Verdicts   int      `json:"verdicts"` // by which a server was avoided
	Unfounded  int      `json:"verdicts_unfounded"`
	Converged  float64  `json:"converged_s"` // from the last fault's end until all knew of all; -1: they did not
	BytesS     float64  `json:"bytes_per_member_s"`
	DatagramsS float64  `json:"datagrams_per_member_s"`
	Texts      []string `json:"found,omitempty"`
}

// Any tells whether a claim did not hold.
func (f *Findings) Any() bool { return f.Overspent+f.Rivals+f.Overused+f.OutOfBound+f.Unfounded > 0 }

const textsMost = 20

func (f *Findings) found(n *int, format string, a ...any) {
	*n++
	if len(f.Texts) < textsMost {
		f.Texts = append(f.Texts, fmt.Sprintf(format, a...))
	}
}

// read reads the claims of one instance's processes.
func read(name, file string) (all []*process, err error) {
	f, err := os.Open(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := bufio.NewReaderSize(f, 1<<20)
	var p *process
	for {
		text, end := r.ReadBytes('\n')
		var l line
		if err := json.Unmarshal(bytes.TrimSpace(text), &l); err == nil { // the last line of a killed one may be cut short
			switch {
			case l.Kind == "start":
				var s struct {
					Epoch uint64 `json:"epoch"`
				}
				json.Unmarshal(l.Claim, &s)
				p = &process{name: name, epoch: s.Epoch, from: l.At, to: math.MaxInt64}
				all = append(all, p)
			case p == nil:
			case l.Kind == "claim":
				c := claim{at: l.At}
				json.Unmarshal(l.Claim, &c.Claim)
				p.claims = append(p.claims, c)
			case l.Kind == "reign":
				until := int64(0)
				json.Unmarshal(l.Claim, &until)
				p.reigns = append(p.reigns, [2]int64{l.At, until})
			case l.Kind == "look":
				k := look{at: l.At, alive: l.Alive, bytes: l.Bytes, grams: l.Datagrams}
				json.Unmarshal(l.Claim, &k.Look)
				p.looks = append(p.looks, k)
			case l.Kind == "verdict":
				var v judge.Verdict
				json.Unmarshal(l.Claim, &v)
				p.verdicts = append(p.verdicts, v)
			}
		}
		if end != nil {
			return all, nil
		}
	}
}

// rules are the figures that claims are held to; they are the settings of the run.
type rules struct {
	instances, servers int
	machine            map[string]string // of an instance
	delay              int64             // that a message takes at most
	burst              float64
	leftOut            float64
	calmFrom, end      int64 // the last fault is over; the run is
}

// examine holds all claims against each other.
func examine(all []*process, r rules) *Findings {
	f := &Findings{Processes: len(all), Converged: -1}
	budgets(f, all, r)
	counts(f, all, r)
	rivals(f, all)
	for _, p := range all {
		f.Claims += len(p.claims)
		out := map[uint64]bool{}
		for _, v := range p.verdicts {
			if delete(out, v.Server); !v.Avoided {
				continue
			}
			f.Verdicts++
			out[v.Server] = true
			machines := map[string]bool{}
			for _, w := range v.Witnesses {
				machines[r.machine[w]] = true
			}
			if len(machines) < 2 {
				f.found(&f.Unfounded, "%s avoids %x on the word of %v", p.name, v.Server, v.Witnesses)
			}
			if most := max(int(r.leftOut*float64(r.servers)), 1); len(out) > most {
				f.found(&f.Unfounded, "%s avoids %d of %d servers", p.name, len(out), r.servers)
			}
		}
	}
	traffic(f, all, r)
	return f
}

// budgets adds up, at every moment at which something changes, what may be used of each budget's pool.
func budgets(f *Findings, all []*process, r rules) {
	type change struct {
		at    int64
		who   int // the process
		claim lease.Claim
		ends  bool
	}
	by := map[string][]change{}
	for k, p := range all {
		last := map[string]int{}
		for n, c := range p.claims {
			if before, ok := last[c.Budget]; ok {
				if b := p.claims[before]; b.Until < c.at { // it had ended by itself
					by[c.Budget] = append(by[c.Budget], change{b.Until, k, b.Claim, true})
				}
			}
			last[c.Budget] = n
			by[c.Budget] = append(by[c.Budget], change{c.at, k, c.Claim, false})
		}
		for name, n := range last {
			by[name] = append(by[name], change{min(p.claims[n].Until, p.to), k, p.claims[n].Claim, true})
		}
	}
	for name, changes := range by {
		sort.SliceStable(changes, func(a, b int) bool {
			return changes[a].at < changes[b].at || changes[a].at == changes[b].at && changes[a].ends && !changes[b].ends
		})
		now := map[int]lease.Claim{}
		for _, c := range changes {
			if delete(now, c.who); !c.ends && c.claim.Rate > 0 {
				now[c.who] = c.claim
			}
			sum, size, floor := int64(0), int64(0), int64(0)
			for _, one := range now {
				sum += one.Rate
				if one.Size > size {
					size, floor = one.Size, one.Floor
				}
			}
			pool := size - int64(r.instances)*floor
			if sum == 0 || pool <= 0 {
				continue
			}
			f.MostInUse = max(f.MostInUse, float64(sum)/float64(pool))
			if sum > pool {
				f.found(&f.Overspent, "%s: %d of %d in use at %d by %d", name, sum, pool, c.at, len(now))
			}
		}
		used(f, all, r, name)
	}
}

// rivals finds two processes that both held themselves to be the allocator.
func rivals(f *Findings, all []*process) {
	type reign struct {
		from, until int64
		who         *process
	}
	var reigns []reign
	for _, p := range all {
		for _, r := range p.reigns {
			reigns = append(reigns, reign{r[0], min(r[1], p.to), p})
		}
	}
	sort.Slice(reigns, func(a, b int) bool { return reigns[a].from < reigns[b].from })
	last := map[*process]int64{}
	for _, r := range reigns {
		for who, until := range last {
			if who != r.who && until > r.from {
				f.found(&f.Rivals, "%s and %s both hand budgets out at %d", r.who.name, who.name, r.from)
			}
		}
		last[r.who] = max(last[r.who], r.until)
	}
}

// used looks at what was used in each window of five seconds.
func used(f *Findings, all []*process, r rules, name string) {
	const window = int64(5e9)
	type step struct {
		at, n, size int64
	}
	var steps []step
	for _, p := range all {
		before := int64(0)
		for _, k := range p.looks {
			for _, h := range k.Leases {
				if h.Budget == name {
					n := h.Used - before
					if before = h.Used; n < 0 { // the budget had been forgotten and came up again
						n = h.Used
					}
					steps = append(steps, step{k.at, n, h.Size})
					f.Used += n
				}
			}
		}
	}
	slices.SortFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	sum, first := int64(0), 0
	for k, s := range steps {
		sum += s.n
		size := int64(0)
		for ; steps[first].at < s.at-window; first++ {
			sum -= steps[first].n
		}
		for _, one := range steps[first : k+1] {
			size = max(size, one.size)
		}
		// Looks are half a second apart: what is seen in the window can have been used in that much more. Each process may
		// have a unit saved up, and begins with a part of one.
		starts := 0
		for _, p := range all {
			if p.from > s.at-2*window && p.from <= s.at {
				starts++
			}
		}
		if most := float64(size)/1000*(float64(window)/1e9+0.5) + float64(r.instances+starts) + r.burst*float64(size)/1000; float64(sum) > most {
			f.found(&f.Overused, "%s: %d used in 5 s, and %.1f are the most", name, sum, most)
		}
	}
}

// counts holds what each process said of another's counts against what that one itself had counted by then.
func counts(f *Findings, all []*process, r rules) {
	type id struct {
		name  string
		epoch uint64
	}
	truth := map[id]*process{}
	for _, p := range all {
		truth[id{p.name, p.epoch}] = p
	}
	// own is what a process had counted at a look of its own, before a time and after it; later is not known of one that
	// has ended.
	own := func(p *process, at int64, key string) (before, after int64, known bool) {
		k := sort.Search(len(p.looks), func(k int) bool { return p.looks[k].at > at })
		if k > 0 {
			before = ownCount(&p.looks[k-1], p, key)
		}
		if k < len(p.looks) {
			return before, ownCount(&p.looks[k], p, key), true
		}
		return before, 0, false
	}
	for _, p := range all {
		for n := range p.looks {
			k := &p.looks[n]
			for _, s := range k.Known {
				of := truth[id{s.Name, s.Epoch}]
				if of == nil || of == p {
					continue
				}
				for key, said := range s.Counts {
					f.Counts++
					if _, after, known := own(of, k.at, key); known && said > after {
						f.found(&f.OutOfBound, "%s says that %s counted %d of %s, and it was %d", p.name, s.Name, said, key, after)
					}
					if before, _, _ := own(of, k.at-s.AgeMS*1e6-r.delay, key); said < before {
						f.found(&f.OutOfBound, "%s says that %s counted %d of %s, and it had been %d", p.name, s.Name, said, key, before)
					}
				}
			}
			for _, c := range k.Counts {
				least, most, sure := int64(0), int64(0), true
				for _, s := range k.Known {
					of := truth[id{s.Name, s.Epoch}]
					if of == nil {
						sure = false
						continue
					}
					from, to := k.at-2e9, k.at
					before, next, _ := own(of, from, c.Key)
					until, after, known := own(of, to, c.Key)
					if !known {
						sure = false
					}
					least, most = least+max(until-next, 0), most+after-before
				}
				f.Counts++
				if sure && c.Least > most {
					f.found(&f.OutOfBound, "%s: %s at least %d, and it was %d at most", p.name, c.Key, c.Least, most)
				}
				if sure && c.Most < least {
					f.found(&f.OutOfBound, "%s: %s at most %d, and it was %d at least", p.name, c.Key, c.Most, least)
				}
			}
		}
	}
}

func ownCount(k *look, p *process, key string) int64 {
	for _, s := range k.Known {
		if s.Name == p.name && s.Epoch == p.epoch {
			return s.Counts[key]
		}
	}
	return 0
}

// traffic finds when all knew of all, and what a member sends.
func traffic(f *Findings, all []*process, r rules) {
	f.Converged = 0
	perS, grams, n := 0.0, 0.0, 0
	for _, p := range all {
		if len(p.looks) > 1 {
			a, b := p.looks[0], p.looks[len(p.looks)-1]
			perS += float64(b.bytes-a.bytes) / float64(b.at-a.at) * 1e9
			grams += float64(b.grams-a.grams) / float64(b.at-a.at) * 1e9
			n++
		}
		if p.to < r.end { // it had ended before
			continue
		}
		last := int64(-1)
		for _, k := range p.looks {
			if k.at < r.calmFrom {
				continue
			}
			if k.alive < r.instances {
				last = -1
			} else if last < 0 {
				last = k.at
			}
		}
		if last < 0 {
			f.Converged = -1
		} else if f.Converged >= 0 {
			f.Converged = max(f.Converged, float64(last-r.calmFrom)/1e9)
		}
	}
	f.BytesS, f.DatagramsS = perS/float64(max(n, 1)), grams/float64(max(n, 1))
}
