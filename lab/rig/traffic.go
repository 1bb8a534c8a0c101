package rig

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
