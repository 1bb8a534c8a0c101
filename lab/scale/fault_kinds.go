package scale

import (
	"fmt"
	"slices"
	"time"
)

// inject injects the fault and waits until all members have noticed it, and its end.
func (p *faultTest) inject() error {
	began := time.Now()
	var err error
	switch p.kind {
	case FaultMachine:
		err = p.killGroup(len(p.Voters()))
	case FaultRack:
		err = p.killGroup(p.rack)
	case FaultZone:
		err = p.killGroup(p.zone)
	case FaultAllocator:
		err = p.killAllocator()
	case FaultServer:
		err = p.silenceServer()
	case FaultRegion:
		err = p.partitionRegion()
	case FaultRestarts:
		err = p.restartAll()
	default:
		err = fmt.Errorf("unknown kind of fault %q", p.kind)
	}
	p.result.DurationS = p.memberSeconds(time.Since(began))
	return err
}

// waitForAll waits until a condition holds for all members and returns the seconds from now on; -1: timed out.
func (p *faultTest) waitForAll(condition string, holds func(MemberStatus) bool) (float64, error) {
	took, err := p.fleet.waitUntil(condition, p.machineTime(faultTimeout), holds)
	if err != nil && took > p.machineTime(faultTimeout) {
		p.result.Note = err.Error()
		return -1, nil
	}
	return p.memberSeconds(took), err
}

// killGroup kills one group's process and waits until all others know that its members are gone.
func (p *faultTest) killGroup(group int) (err error) {
	p.result.Affected = len(p.Groups[group])
	p.fleet.Kill(group)
	p.result.DetectedS, err = p.waitForAll("the dead are known", func(s MemberStatus) bool { return s.Alive == p.size-p.result.Affected })
	return err
}

// killAllocator has servers start cold, so that all members request leases of their budgets, and then kills the group of the
// leader, which allocates them.
func (p *faultTest) killAllocator() (err error) {
	p.startColdServers()
	leaderGroup := func() int {
		snapshots, err := p.fleet.Snapshot(SnapshotOptions{Claims: true})
		if err != nil {
			return -1
		}
		return slices.IndexFunc(snapshots, func(l Snapshot) bool {
			return slices.ContainsFunc(l.Members, func(s MemberStatus) bool { return s.Allocates })
		})
	}
	group := -1
	for end := time.Now().Add(p.machineTime(10 * time.Second)); group < 0 && time.Now().Before(end); {
		if err := p.fleet.sleep(p.machineTime(200 * time.Millisecond)); err != nil {
			return err
		}
		group = leaderGroup()
	}
	if group < 0 {
		p.result.Note = "nobody allocated within 10 s"
		p.result.DetectedS = -1
		return nil
	}
	if err := p.fleet.sleep(p.machineTime(3 * time.Second)); err != nil { // leases are granted and in use
		return err
	}
	began := time.Now()
	p.fleet.Kill(group)
	p.result.Affected = len(p.Groups[group])
	for next := -1; next < 0; next = leaderGroup() {
		if time.Since(began) > p.machineTime(30*time.Second) {
			p.result.Note = "no other allocated within 30 s"
			break
		}
		if err := p.fleet.sleep(p.machineTime(100 * time.Millisecond)); err != nil {
			return err
		}
	}
	p.result.RecoveredS = p.memberSeconds(time.Since(began)) // another member is the leader
	p.result.DetectedS, err = p.waitForAll("the dead is known", func(s MemberStatus) bool { return s.Alive == p.size-p.result.Affected })
	return err
}

// startColdServers updates the list so that some servers appear to have just started.
func (p *faultTest) startColdServers() {
	for k := range min(coldServers, p.Servers) {
		p.fleet.list.AnnounceChange(serverEntry(k, p.fleet.memberTime(time.Now())), 0)
	}
}

// silenceServer leaves the calls to a session server unanswered until all members avoid it.
func (p *faultTest) silenceServer() (err error) {
	const silent = firstServer + 7
	p.result.Affected = 1
	tell := func(server uint64) error {
		return p.fleet.forEachGroup(func(_ int, r runner) error {
			_, err := r.do(request{Action: doSilence, Server: server})
			return err
		})
	}
	if err := tell(silent); err != nil {
		return err
	}
	p.result.DetectedS, err = p.waitForAll("the server is avoided", func(s MemberStatus) bool { return slices.Contains(s.Avoided, silent) })
	if err != nil {
		return err
	}
	if err := tell(0); err != nil {
		return err
	}
	p.result.RecoveredS, err = p.waitForAll("the server is used again", func(s MemberStatus) bool { return !slices.Contains(s.Avoided, silent) })
	return err
}

// partitionRegion partitions a third of the members from the rest, and then ends the partition.
func (p *faultTest) partitionRegion() (err error) {
	cutCount := p.Size / 3
	p.result.Affected = cutCount
	cut := make([]int, cutCount)
	for k := range cut {
		cut[k] = p.Size - 1 - k
	}
	p.startColdServers()
	began := time.Now()
	tell := func(numbers []int) error {
		return p.fleet.forEachGroup(func(_ int, r runner) error {
			_, err := r.do(request{Action: doPartition, Members: numbers})
			return err
		})
	}
	if err := tell(cut); err != nil {
		return err
	}
	p.result.DetectedS, err = p.waitForAll("each side knows itself alone", func(s MemberStatus) bool {
		if s.Number >= p.Size-cutCount {
			return s.Alive == cutCount
		}
		return s.Alive == p.size-cutCount
	})
	if err != nil {
		return err
	}
	if err := p.fleet.sleep(max(p.machineTime(p.PartitionFor)-time.Since(began), 0)); err != nil {
		return err
	}
	if err := tell(nil); err != nil {
		return err
	}
	p.startColdServers()
	p.result.RecoveredS, err = p.waitForAll("all know of all", func(s MemberStatus) bool { return s.Alive == p.size })
	return err
}

// restartAll restarts all members as an upgrade does: one after the other in each process, and the voters after the rest,
// one at a time.
func (p *faultTest) restartAll() (err error) {
	p.result.Affected = p.size
	p.startColdServers()
	voters := len(p.Voters())
	one := func(r runner, k int) error {
		_, err := r.do(request{Action: doRestart, Members: []int{k}, Pause: p.machineTime(restartPause)})
		return err
	}
	err = p.fleet.forEachGroup(func(k int, r runner) error {
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
		if err == nil && !p.fleet.isKilled(k) {
			err = one(p.fleet.groups[k], p.Groups[k][0])
		}
	}
	if err != nil {
		return err
	}
	p.result.RecoveredS, err = p.waitForAll("all know of all", func(s MemberStatus) bool { return s.Alive == p.size })
	return err
}

// restartPause is the pause between two restarts in the same process.
const restartPause = 500 * time.Millisecond
