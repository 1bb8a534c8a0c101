package rig

// measureTraffic finds out when all members knew each other after the last fault, and how much a member sends.
func measureTraffic(f *Findings, all []*process, b bounds) {
	f.ConvergedS = 0
	bytes, datagrams, measured := 0.0, 0.0, 0
	for _, p := range all {
		if len(p.snapshots) > 1 {
			first, last := p.snapshots[0], p.snapshots[len(p.snapshots)-1]
			bytes += float64(last.bytes-first.bytes) / float64(last.at-first.at) * 1e9
			datagrams += float64(last.datagrams-first.datagrams) / float64(last.at-first.at) * 1e9
			measured++
		}
		if p.to < b.end { // the process ended before the run did
			continue
		}
		at := p.convergedAt(b)
		switch {
		case at < 0:
			f.ConvergedS = -1
		case f.ConvergedS >= 0:
			f.ConvergedS = max(f.ConvergedS, float64(at-b.lastFaultEnd)/1e9)
		}
	}
	f.BytesPerSecond = bytes / float64(max(measured, 1))
	f.DatagramsPerSecond = datagrams / float64(max(measured, 1))
}

// convergedAt is the time from which a process knew all members until its last snapshot; -1 if it did not.
func (p *process) convergedAt(b bounds) int64 {
	at := int64(-1)
	for _, s := range p.snapshots {
		switch {
		case s.at < b.lastFaultEnd:
		case s.alive < b.instances:
			at = -1
		case at < 0:
			at = s.at
		}
	}
	return at
}
