package scale

import (
	"slices"
	"time"

	"masthill/internal/peers"
)

// faultTest injects one fault and measures its effects.
type faultTest struct {
	FaultRun
	kind          string
	size          int // members before the fault
	fleet         *Fleet
	result        *Fault
	rack, zone    int           // groups that a rack and a zone fault kill
	deathsBefore  map[int]int64 // deaths reported before the fault, by member
	droppedBefore int64         // messages dropped by all members before the fault
	samples       [][]Snapshot  // taken during the fault, each of all groups
	stop          chan struct{}
	done          chan error
}

// run measures the fleet before the fault, injects it, and computes the result.
func (p *faultTest) run() error {
	if err := p.measureBefore(); err != nil {
		return err
	}
	machine := ReadMachineLoad()
	p.startSampling()
	err := p.inject()
	if err == nil {
		err = p.fleet.sleep(p.machineTime(5 * time.Second))
	}
	close(p.stop)
	if sampleErr := <-p.done; err == nil {
		err = sampleErr
	}
	if err != nil {
		return err
	}
	p.result.OthersCores = cores(machine, ReadMachineLoad()) - p.ownCores()
	return p.summarize()
}

// machineTime converts a duration of the members' clock to the machine's clock.
func (p *faultTest) machineTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * p.slowdown())
}

// memberSeconds converts a duration of the machine's clock to seconds of the members' clock.
func (p *faultTest) memberSeconds(d time.Duration) float64 { return d.Seconds() / p.slowdown() }

// measureBefore measures the fleet before the fault.
func (p *faultTest) measureBefore() error {
	if err := p.fleet.sleep(p.machineTime(3 * time.Second)); err != nil {
		return err
	}
	before, err := p.fleet.Snapshot(SnapshotOptions{})
	if err != nil {
		return err
	}
	if err := p.fleet.sleep(p.machineTime(p.MeasureBaseline)); err != nil {
		return err
	}
	after, err := p.fleet.Snapshot(SnapshotOptions{Claims: true})
	if err != nil {
		return err
	}
	c := hollowCost(before, after, p.slowdown())
	p.result.BaselineBytes, p.result.BaselineCPU = c.SentWire, c.CPU
	heaps, err := p.fleet.Snapshot(SnapshotOptions{Heap: true})
	p.result.HeapBefore = heapPerMember(heaps)
	p.deathsBefore = map[int]int64{}
	for _, l := range heaps {
		for _, m := range l.Members {
			p.deathsBefore[m.Number] = m.Deaths
			p.droppedBefore += m.Dropped
		}
	}
	return err
}

func heapPerMember(all []Snapshot) float64 {
	heap, members := int64(0), 0
	for _, l := range all {
		heap, members = heap+l.Heap, members+len(l.Members)
	}
	return float64(heap) / 1e6 / float64(max(members, 1))
}

// sampleInterval is the pause between two samples during a fault, by the members' clock.
const sampleInterval = time.Second

// startSampling takes snapshots of the fleet until stop is closed.
func (p *faultTest) startSampling() {
	p.stop, p.done = make(chan struct{}), make(chan error, 1)
	go func() {
		for {
			all, err := p.fleet.Snapshot(SnapshotOptions{Claims: true})
			if err == nil {
				p.samples = append(p.samples, all)
			}
			select {
			case <-p.stop:
				p.done <- nil // a group may be killed during a snapshot, so its error does not fail the run
				return
			case <-time.After(p.machineTime(sampleInterval)):
			}
		}
	}()
}

// ownCores is how many cores the fleet used on average during the fault.
func (p *faultTest) ownCores() float64 {
	if len(p.samples) < 2 {
		return 0
	}
	first, last := p.samples[0], p.samples[len(p.samples)-1]
	used, seconds := 0.0, 0.0
	for k := range last {
		if first[k].At > 0 && last[k].At > 0 {
			used += (last[k].CPU - first[k].CPU).Seconds()
			seconds = max(seconds, float64(last[k].At-first[k].At)/1e9)
		}
	}
	return used / max(seconds, 1)
}

// summarize computes the result from the samples.
func (p *faultTest) summarize() error {
	p.computeCosts()
	last, err := p.fleet.Snapshot(SnapshotOptions{Heap: true, Claims: true})
	if err != nil {
		return err
	}
	p.result.HeapAfter = heapPerMember(last)
	p.countFalseDeaths(last)
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.result.Budgets = CheckBudgets(slices.Clone(p.fleet.claims), p.Size, p.fleet.killedAt)
	return nil
}

// computeCosts computes the greatest costs per member of any process between two samples, and the mean traffic over all
// samples and members.
func (p *faultTest) computeCosts() {
	r := p.result
	sum, members := 0.0, 0
	for n := 1; n < len(p.samples); n++ {
		for k := range p.samples[n] {
			before, after := p.samples[n-1][k], p.samples[n][k]
			if before.At == 0 || after.At == 0 || len(after.Members) == 0 || after.At-before.At < int64(p.machineTime(sampleInterval))/2 {
				continue
			}
			c := hollowCost([]Snapshot{sameMembers(before, after)}, []Snapshot{after}, p.slowdown())
			r.PeakBytes, r.PeakDatagrams, r.PeakCPU = max(r.PeakBytes, c.SentWire), max(r.PeakDatagrams, c.SentDatagrams), max(r.PeakCPU, c.CPU)
			sum, members = sum+c.SentWire*float64(c.Members), members+c.Members
		}
	}
	r.MeanBytes = sum / float64(max(members, 1))
}

// sameMembers returns the earlier snapshot with the traffic of members that have restarted since set to zero.
func sameMembers(before, after Snapshot) Snapshot {
	now := map[int]peers.Traffic{}
	for _, m := range after.Members {
		now[m.Number] = m.Traffic
	}
	before.Members = slices.Clone(before.Members)
	for k, m := range before.Members {
		if now[m.Number].SentDatagrams < m.Traffic.SentDatagrams {
			before.Members[k].Traffic = peers.Traffic{}
		}
	}
	return before
}

// countFalseDeaths counts the deaths that members reported beyond those that happened, and the dropped messages.
func (p *faultTest) countFalseDeaths(last []Snapshot) {
	p.result.Dropped = -p.droppedBefore
	for _, l := range last {
		for _, m := range l.Members {
			before := p.deathsBefore[m.Number]
			if m.Deaths < before { // a new process, which counts from 0
				before = 0
			}
			p.result.FalseDeaths += max(m.Deaths-before-p.expectedDeaths(m.Number), 0)
			p.result.Dropped += m.Dropped
		}
	}
}

// expectedDeaths is how many deaths a member should have reported. In a region fault, each side reports the other.
func (p *faultTest) expectedDeaths(number int) int64 {
	switch p.kind {
	case FaultMachine, FaultRack, FaultZone, FaultAllocator:
		return int64(p.result.Affected)
	case FaultRegion:
		if number >= p.Size-p.result.Affected {
			return int64(p.size - p.result.Affected)
		}
		return int64(p.result.Affected)
	}
	return 0
}
