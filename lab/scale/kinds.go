package scale

import (
	"fmt"
	"slices"
	"time"
)

// play has the fault happen and waits until all know.
func (p *strike) play() error {
	began := time.Now()
	var err error
	switch p.kind {
	case FaultMachine:
		err = p.killed(len(p.Voters()))
	case FaultRack:
		err = p.killed(p.rack)
	case FaultZone:
		err = p.killed(p.zone)
	case FaultAllocator:
		err = p.allocator()
	case FaultServer:
		err = p.server()
	case FaultRegion:
		err = p.region()
	case FaultRestarts:
		err = p.restarts()
	default:
		err = fmt.Errorf("unknown kind of fault %q", p.kind)
	}
	p.r.DurationS = p.since(time.Since(began))
	return err
}

// all waits until something holds of all members, from now on; -1: it does not in time.
func (p *strike) all(what string, holds func(MemberStatus) bool) (float64, error) {
	took, err := p.f.until(what, p.real(faultMost), holds)
	if err != nil && took > p.real(faultMost) {
		p.r.Note = err.Error()
		return -1, nil
	}
	return p.since(took), err
}

// killed ends one process and waits until all others know that its members are gone.
func (p *strike) killed(group int) (err error) {
	p.r.Affected = len(p.Groups[group])
	p.f.Kill(group)
	p.r.DetectedS, err = p.all("the dead are known", func(s MemberStatus) bool { return s.Alive == p.size-p.r.Affected })
	return err
}

// allocator has servers start cold, so that all ask for parts of their budgets, and kills the allocator then.
func (p *strike) allocator() (err error) {
	p.coldStart()
	reigns := func() int {
		looks, err := p.f.Snapshot(SnapshotOptions{Claims: true})
		if err != nil {
			return -1
		}
		return slices.IndexFunc(looks, func(l Snapshot) bool {
			return slices.ContainsFunc(l.Members, func(s MemberStatus) bool { return s.Allocates })
		})
	}
	group := -1
	for end := time.Now().Add(p.real(10 * time.Second)); group < 0 && time.Now().Before(end); {
		if err := p.f.pass(p.real(200 * time.Millisecond)); err != nil {
			return err
		}
		group = reigns()
	}
	if group < 0 {
		p.r.Note = "nobody allocated within 10 s"
		p.r.DetectedS = -1
		return nil
	}
	if err := p.f.pass(p.real(3 * time.Second)); err != nil { // parts are out, and in use
		return err
	}
	began := time.Now()
	p.f.Kill(group)
	p.r.Affected = len(p.Groups[group])
	for next := -1; next < 0; next = reigns() {
		if time.Since(began) > p.real(30*time.Second) {
			p.r.Note = "no other allocated within 30 s"
			break
		}
		if err := p.f.pass(p.real(100 * time.Millisecond)); err != nil {
			return err
		}
	}
	p.r.RecoveredS = p.since(time.Since(began)) // another allocates
	p.r.DetectedS, err = p.all("the dead is known", func(s MemberStatus) bool { return s.Alive == p.size-p.r.Affected })
	return err
}

// coldStart has the list tell that some servers have just started.
func (p *strike) coldStart() {
	for k := range min(coldServers, p.Servers) {
		p.f.list.AnnounceChange(entry(k, p.f.at(time.Now())), 0)
	}
}

// server has a session server answer no call for a time.
func (p *strike) server() (err error) {
	const silent = listedFirst + 7
	p.r.Affected = 1
	tell := func(server uint64) error {
		return p.f.each(func(_ int, r runner) error {
			_, err := r.do(order{Do: doSilence, Server: server})
			return err
		})
	}
	if err := tell(silent); err != nil {
		return err
	}
	p.r.DetectedS, err = p.all("the server is avoided", func(s MemberStatus) bool { return slices.Contains(s.Avoided, silent) })
	if err != nil {
		return err
	}
	if err := tell(0); err != nil {
		return err
	}
	p.r.RecoveredS, err = p.all("the server is used again", func(s MemberStatus) bool { return !slices.Contains(s.Avoided, silent) })
	return err
}

// region cuts a third of the members off and heals it.
func (p *strike) region() (err error) {
	away := p.Size / 3
	p.r.Affected = away
	cut := make([]int, away)
	for k := range cut {
		cut[k] = p.Size - 1 - k
	}
	p.coldStart()
	began := time.Now()
	tell := func(numbers []int) error {
		return p.f.each(func(_ int, r runner) error {
			_, err := r.do(order{Do: doCut, Members: numbers})
			return err
		})
	}
	if err := tell(cut); err != nil {
		return err
	}
	p.r.DetectedS, err = p.all("each side knows itself alone", func(s MemberStatus) bool {
		if s.Number >= p.Size-away {
			return s.Alive == away
		}
		return s.Alive == p.size-away
	})
	if err != nil {
		return err
	}
	if err := p.f.pass(max(p.real(p.PartitionFor)-time.Since(began), 0)); err != nil {
		return err
	}
	if err := tell(nil); err != nil {
		return err
	}
	p.coldStart()
	p.r.RecoveredS, err = p.all("all know of all", func(s MemberStatus) bool { return s.Alive == p.size })
	return err
}

// restarts has all members restart as in a release: one after the other in each process, and the voters after the rest, one
// at a time.
func (p *strike) restarts() (err error) {
	p.r.Affected = p.size
	p.coldStart()
	voters := len(p.Voters())
	one := func(r runner, k int) error {
		_, err := r.do(order{Do: doRestart, Members: []int{k}, Pause: p.real(restartPause)})
		return err
	}
	err = p.f.each(func(k int, r runner) error {
		if k < voters {
			return nil
		}
		for _, n := range p.Groups[k] {
			if err := one(r, n); err != nil {
				return err
			}
		}
		return nil
	})
	for k := range voters {
		if err == nil && !p.f.isDead(k) {
			err = one(p.f.groups[k], p.Groups[k][0])
		}
	}
	if err != nil {
		return err
	}
	p.r.RecoveredS, err = p.all("all know of all", func(s MemberStatus) bool { return s.Alive == p.size })
	return err
}

// restartPause is the pause after a restart before the next one in the same process.
const restartPause = 500 * time.Millisecond
