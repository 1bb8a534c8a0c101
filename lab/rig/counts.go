package rig

import (
	"sort"
)

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
