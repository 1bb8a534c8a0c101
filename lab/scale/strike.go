package scale

import (
	"slices"
	"time"

	"masthill/internal/peers"
)

// strike is a fault under way.
type strike struct {
	FaultRun
	kind       string
	size       int // members that were there before
	f          *Fleet
	r          *Fault
	rack, zone int
	deaths     map[int]int64 // told before, by member
	dropped    int64
	samples    [][]Snapshot
	stop       chan struct{}
	done       chan error
}

// run has the fault happen and waits until all know.
func (p *strike) run() error {
	if err := p.rest(); err != nil {
		return err
	}
	machine := ReadMachineLoad()
	p.watch()
	err := p.play()
	if err == nil {
		err = p.f.pass(p.real(5 * time.Second))
	}
	close(p.stop)
	if watched := <-p.done; err == nil {
		err = watched
	}
	if err != nil {
		return err
	}
	p.r.OthersCores = cores(machine, ReadMachineLoad()) - p.ownCores()
	return p.sum()
}

// real is a time of the members' clock by the machine's.
func (p *strike) real(d time.Duration) time.Duration { return time.Duration(float64(d) * p.slow()) }

// since is a time of the machine's clock by the members'.
func (p *strike) since(d time.Duration) float64 { return d.Seconds() / p.slow() }

// rest measures the fleet before the fault.
func (p *strike) rest() error {
	if err := p.f.pass(p.real(3 * time.Second)); err != nil {
		return err
	}
	before, err := p.f.Snapshot(SnapshotOptions{})
	if err != nil {
		return err
	}
	if err := p.f.pass(p.real(p.MeasureBaseline)); err != nil {
		return err
	}
	after, err := p.f.Snapshot(SnapshotOptions{Claims: true})
	if err != nil {
		return err
	}
	c := hollowCost(before, after, p.slow())
	p.r.BaselineBytes, p.r.BaselineCPU = c.SentWire, c.CPU
	heaps, err := p.f.Snapshot(SnapshotOptions{Heap: true})
	p.r.HeapBefore = heapEach(heaps)
	p.deaths = map[int]int64{}
	for _, l := range heaps {
		for _, m := range l.Members {
			p.deaths[m.Number] = m.Deaths
			p.dropped += m.Dropped
		}
	}
	return err
}

func heapEach(all []Snapshot) float64 {
	heap, members := int64(0), 0
	for _, l := range all {
		heap, members = heap+l.Heap, members+len(l.Members)
	}
	return float64(heap) / 1e6 / float64(max(members, 1))
}

// sampleEvery is the pause between two samples during a fault, by the members' clock.
const sampleEvery = time.Second

// watch samples the fleet until the fault is over.
func (p *strike) watch() {
	p.stop, p.done = make(chan struct{}), make(chan error, 1)
	go func() {
		for {
			all, err := p.f.Snapshot(SnapshotOptions{Claims: true})
			if err == nil {
				p.samples = append(p.samples, all)
			}
			select {
			case <-p.stop:
				p.done <- nil // a group that was killed amid a look is no fault of the run
				return
			case <-time.After(p.real(sampleEvery)):
			}
		}
	}()
}

// ownCores is the processor time of the fleet over the fault, in cores.
func (p *strike) ownCores() float64 {
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

// sum makes the figures.
func (p *strike) sum() error {
	p.peaks()
	last, err := p.f.Snapshot(SnapshotOptions{Heap: true, Claims: true})
	if err != nil {
		return err
	}
	p.r.HeapAfter = heapEach(last)
	p.falseDeaths(last)
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	p.r.Budgets = CheckBudgets(slices.Clone(p.f.claims), p.Size, p.f.ended)
	return nil
}

// peaks finds the worst moment of any process, and the mean over all moments and members.
func (p *strike) peaks() {
	r := p.r
	sum, members := 0.0, 0
	for n := 1; n < len(p.samples); n++ {
		for k := range p.samples[n] {
			before, after := p.samples[n-1][k], p.samples[n][k]
			if before.At == 0 || after.At == 0 || len(after.Members) == 0 || after.At-before.At < int64(p.real(sampleEvery))/2 {
				continue
			}
			c := hollowCost([]Snapshot{sameMembers(before, after)}, []Snapshot{after}, p.slow())
			r.PeakBytes, r.PeakDatagrams, r.PeakCPU = max(r.PeakBytes, c.SentWire), max(r.PeakDatagrams, c.SentDatagrams), max(r.PeakCPU, c.CPU)
			sum, members = sum+c.SentWire*float64(c.Members), members+c.Members
		}
	}
	r.MeanBytes = sum / float64(max(members, 1))
}

// sameMembers makes a look in which members that restarted since begin from nothing.
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

// falseDeaths counts what members took for deaths beyond those that there were.
func (p *strike) falseDeaths(last []Snapshot) {
	p.r.Dropped = -p.dropped
	for _, l := range last {
		for _, m := range l.Members {
			before := p.deaths[m.Number]
			if m.Deaths < before { // a new process
				before = 0
			}
			p.r.FalseDeaths += max(m.Deaths-before-p.owed(m.Number), 0)
			p.r.Dropped += m.Dropped
		}
	}
}

// owed is how many deaths a member should have told.
func (p *strike) owed(number int) int64 {
	switch p.kind {
	case FaultMachine, FaultRack, FaultZone, FaultAllocator:
		return int64(p.r.Affected)
	case FaultRegion:
		if number >= p.Size-p.r.Affected {
			return int64(p.size - p.r.Affected)
		}
		return int64(p.r.Affected)
	}
	return 0
}
