package scale

import (
	"context"
	"fmt"
	"io"
	"time"
)

// The kinds of faults.
const (
	FaultMachine   = "machine"   // one member's process is killed
	FaultRack      = "rack"      // the processes of rackSize members are killed
	FaultZone      = "zone"      // the process of an eleventh of the members is killed
	FaultRegion    = "region"    // a third of the members is partitioned for a time
	FaultAllocator = "allocator" // the leader's process is killed while budgets of cold servers are leased out
	FaultRestarts  = "restarts"  // all members restart, the voters last
	FaultServer    = "server"    // a session server stops answering
)

// FaultKinds lists all kinds of faults, the simplest first.
var FaultKinds = []string{FaultMachine, FaultRack, FaultZone, FaultAllocator, FaultServer, FaultRegion, FaultRestarts}

const (
	rackSize = 12
	// faultTimeout limits the wait until all members have noticed a fault or its end.
	faultTimeout = 2 * time.Minute
	// coldServers is how many servers start cold to have their budgets leased out.
	coldServers = 4
)

// Fault holds the effects of one fault on a fleet.
type Fault struct {
	Kind           string      `json:"kind"`
	Size           int         `json:"size"`
	ClockSlowdown  float64     `json:"slow,omitempty"` // all times are by the slowed clock
	SyntheticCalls float64     `json:"made_up_calls_s"`
	Affected       int         `json:"struck"` // members
	DurationS      float64     `json:"lasted_s"`
	DetectedS      float64     `json:"all_know_s"`         // from its beginning until all remaining members have noticed; -1: timed out
	RecoveredS     float64     `json:"healed_s,omitempty"` // until the fleet recovered: all know all again, use the server again, or have a new leader; -1: timed out
	FalseDeaths    int64       `json:"false_deaths"`       // members reported dead that were alive and reachable
	MeanBytes      float64     `json:"mean_wire_bytes_s"`  // of a member, during the fault
	PeakBytes      float64     `json:"peak_wire_bytes_s"`  // the greatest mean over the members of one process, in an interval of about a second
	PeakDatagrams  float64     `json:"peak_datagrams_s"`   // the same
	PeakCPU        float64     `json:"peak_cpu_percent"`   // of a core for each member of one process, the same
	BaselineBytes  float64     `json:"rest_wire_bytes_s"`  // before the fault
	BaselineCPU    float64     `json:"rest_cpu_percent"`   // before the fault
	HeapBefore     float64     `json:"heap_before_mb"`     // of a member
	HeapAfter      float64     `json:"heap_after_mb"`      // after the fault
	Budgets        BudgetCheck `json:"budgets"`            // since the start of the fleet
	Dropped        int64       `json:"dropped"`            // messages dropped because of full queues, during the fault
	OthersCores    float64     `json:"others_cores"`       // used by everything else on the machine meanwhile
	Note           string      `json:"note,omitempty"`
}

// String describes a fault in two lines.
func (f *Fault) String() string {
	return fmt.Sprintf("%s: %d of %d members affected, %.1f s; detected by all after %.1f s, recovered after %.1f s; false deaths %d; overspent %d (of %d claims, at most %.2f in use), concurrent leaders %d\n"+
		"  bytes per second: %.0f before, %.0f during the fault, %.0f at most; CPU %.2f%% before, %.2f%% at most; heap %.2f MB before, %.2f MB after; dropped %d; other processes %.1f cores. %s",
		f.Kind, f.Affected, f.Size, f.DurationS, f.DetectedS, f.RecoveredS, f.FalseDeaths, f.Budgets.Overspent, f.Budgets.Claims, f.Budgets.MaxInUse, f.Budgets.ConcurrentLeaders,
		f.BaselineBytes, f.MeanBytes, f.PeakBytes, f.BaselineCPU, f.PeakCPU, f.HeapBefore, f.HeapAfter, f.Dropped, f.OthersCores, f.Note)
}

// FaultRun measures a steady fleet and then injects faults into it, one after the other.
type FaultRun struct {
	Layout
	Kinds           []string
	GroupSize       int           // hollow members in a process, other than those that faults kill
	WarmUp          time.Duration // after the start and before each steady measurement
	MeasureIdle     time.Duration // length of the measurement without synthetic calls; 0: none
	MeasureBusy     time.Duration // length of the measurement with them; 0: none
	PartitionFor    time.Duration // duration of a region's partition, by the members' clock
	MeasureBaseline time.Duration // length of the measurement before each fault, by the members' clock
	Progress        io.Writer
	OnResult        func(*Point, *Fault) error // called with each result as soon as it is there
}

// GroupForFaults divides members into groups, one for each process, so that faults can kill whole processes. Each voter has
// its own, followed by one other member, a rack, a zone, and groups of each for the rest.
func GroupForFaults(size, each int) (groups [][]int, rack, zone int) {
	voters := (&Spec{Size: size}).Voters()
	for _, k := range voters {
		groups = append(groups, []int{k})
	}
	from := len(voters)
	groups = append(groups, []int{from})
	rack = len(groups)
	groups = append(groups, SplitEvenly(from+1, from+1+min(rackSize, size/4), rackSize)...)
	zone = len(groups)
	from += 1 + min(rackSize, size/4)
	to := min(from+max(size/11, 1), size)
	groups = append(groups, SplitEvenly(from, to, size)...)
	return append(groups, SplitEvenly(to, size, each)...), rack, zone
}

// Run starts a fleet, measures it, injects the faults and stops the fleet.
func (s FaultRun) Run(ctx context.Context) error {
	var rack, zone int
	s.Groups, rack, zone = GroupForFaults(s.Size, max(s.GroupSize, 1))
	calls := s.SyntheticCalls
	s.SyntheticCalls, s.Budgets = 0, true
	f, err := NewFleet(ctx, s.Layout)
	if err != nil {
		return err
	}
	defer f.Close()
	s.logf("starting %d hollow members in %d processes", s.Size, len(s.Groups))
	if err := f.Start(); err != nil {
		return err
	}
	converged, err := f.WaitForMembers(s.Size)
	if err != nil {
		return err
	}
	s.logf("all members know all after %.1f s by the members' clock", converged.Seconds()/s.slowdown())
	if err := f.sleep(s.WarmUp); err != nil {
		return err
	}
	for _, phase := range []struct {
		calls float64
		long  time.Duration
	}{{0, s.MeasureIdle}, {calls, s.MeasureBusy}} {
		if phase.long <= 0 {
			continue
		}
		if err := s.measureSteady(f, phase.calls, phase.long, converged); err != nil {
			return err
		}
	}
	if err := f.setCallRate(calls); err != nil {
		return err
	}
	for _, kind := range s.Kinds {
		p := &faultTest{FaultRun: s, kind: kind, fleet: f, rack: rack, zone: zone, size: f.remaining(),
			result: &Fault{Kind: kind, Size: f.remaining(), ClockSlowdown: s.ClockSlowdown, SyntheticCalls: calls}}
		if err := p.run(); err != nil {
			return fmt.Errorf("%s: %w", kind, err)
		}
		if err := s.OnResult(nil, p.result); err != nil {
			return err
		}
	}
	return nil
}

func (s FaultRun) logf(format string, a ...any) { SteadyRun{Progress: s.Progress}.logf(format, a...) }

// measureSteady measures the steady fleet at a rate of synthetic calls.
func (s FaultRun) measureSteady(f *Fleet, calls float64, length, converged time.Duration) error {
	if err := f.setCallRate(calls); err != nil {
		return err
	}
	if err := f.sleep(s.WarmUp); err != nil { // reports are up to six seconds old
		return err
	}
	p, err := f.measure(length)
	if err != nil {
		return err
	}
	p.ConvergedS, p.Processes = converged.Seconds()/s.slowdown(), len(s.Groups)
	s.logf("steady with %.0f synthetic calls per second: %s", calls, p)
	return s.OnResult(p, nil)
}
