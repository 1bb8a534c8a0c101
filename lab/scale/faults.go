package scale

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"masthill/internal/peers"
)

// The kinds of fault.
const (
	FaultMachine   = "machine"   // one member's process is killed
	FaultRack      = "rack"      // twelve
	FaultZone      = "zone"      // an eleventh
	FaultRegion    = "region"    // a third is cut off for a time
	FaultAllocator = "allocator" // its process is killed while cold servers' budgets are handed out
	FaultRestarts  = "restarts"  // all restart, one batch after the other
	FaultServer    = "server"    // a session server goes silent
)

// Faults are all kinds, the simplest first.
var Faults = []string{FaultMachine, FaultRack, FaultZone, FaultAllocator, FaultServer, FaultRegion, FaultRestarts}

const (
	rackOf = 12
	// faultMost bounds the wait until all know.
	faultMost = 2 * time.Minute
	// coldServers is how many servers start cold while the allocator is lost.
	coldServers = 4
)

// Fault is what one fault cost a fleet.
type Fault struct {
	Kind        string  `json:"kind"`
	Size        int     `json:"size"`
	Slow        float64 `json:"slow,omitempty"` // all times are by the slower clock
	Calls       float64 `json:"made_up_calls_s"`
	Struck      int     `json:"struck"` // members
	LastedS     float64 `json:"lasted_s"`
	AllKnowS    float64 `json:"all_know_s"`         // from its beginning until all that are left know; -1: not in time
	HealedS     float64 `json:"healed_s,omitempty"` // from its end until all know of all again; -1: not in time
	FalseDeaths int64   `json:"false_deaths"`       // deaths told of members that lived and could be reached
	MeanBytes   float64 `json:"mean_wire_bytes_s"`  // of a member, over the fault
	PeakBytes   float64 `json:"peak_wire_bytes_s"`  // of the members of one process on average, in the worst second or so
	PeakGrams   float64 `json:"peak_datagrams_s"`   // the same
	PeakCPU     float64 `json:"peak_cpu_percent"`   // of a core for each member of one process, the same
	RestBytes   float64 `json:"rest_wire_bytes_s"`  // before the fault
	RestCPU     float64 `json:"rest_cpu_percent"`   // before
	HeapBefore  float64 `json:"heap_before_mb"`     // of a member
	HeapAfter   float64 `json:"heap_after_mb"`      // once all is over
	Budgets     Budgets `json:"budgets"`            // over the run
	Dropped     int64   `json:"dropped"`            // messages that found no room, over the fault
	OthersCores float64 `json:"others_cores"`       // that everything else on the machine used meanwhile
	Note        string  `json:"note,omitempty"`
}

// String tells a fault in a few lines.
func (f *Fault) String() string {
	return fmt.Sprintf("%s: %d of %d members struck, %.1f s; all knew after %.1f s, healed after %.1f s; false deaths %d; overspent %d (of %d claims, most in use %.2f), two allocators %d\n"+
		"  bytes a second: %.0f at rest, %.0f over it, %.0f at most; processor %.2f%% at rest, %.2f%% at most; heap %.2f MB before, %.2f MB after; dropped %d; others %.1f cores. %s",
		f.Kind, f.Struck, f.Size, f.LastedS, f.AllKnowS, f.HealedS, f.FalseDeaths, f.Budgets.Overspent, f.Budgets.Claims, f.Budgets.MostInUse, f.Budgets.Rivals,
		f.RestBytes, f.MeanBytes, f.PeakBytes, f.RestCPU, f.PeakCPU, f.HeapBefore, f.HeapAfter, f.Dropped, f.OthersCores, f.Note)
}

// Strikes are faults that happen to one fleet, one after the other, after it was measured at rest.
type Strikes struct {
	Layout
	Kinds    []string
	Each     int           // hollow members in a process, but for those that faults kill
	Warm     time.Duration // after the start
	Quiet    time.Duration // measured without made-up calls; 0: it is not
	Busy     time.Duration // measured with them
	Cut      time.Duration // how long a region is cut off, by the members' clock
	Rest     time.Duration // before each fault, by the members' clock
	Progress io.Writer
	Told     func(*Point, *Fault) error // each result as it comes
}

// Grouped puts members into processes so that faults can kill whole ones: each voter has one of its own, as has a machine;
// a rack, a zone, and the rest.
func Grouped(size, each int) (groups [][]int, rack, zone int) {
	voters := (&Spec{Size: size}).Voters()
	for _, k := range voters {
		groups = append(groups, []int{k})
	}
	from := len(voters)
	groups = append(groups, []int{from})
	rack = len(groups)
	groups = append(groups, Even(from+1, from+1+min(rackOf, size/4), rackOf)...)
	zone = len(groups)
	from += 1 + min(rackOf, size/4)
	to := min(from+max(size/11, 1), size)
	groups = append(groups, Even(from, to, size)...)
	return append(groups, Even(to, size, each)...), rack, zone
}

// Run starts a fleet, measures it, has the faults happen and ends the fleet.
func (s Strikes) Run(ctx context.Context) error {
	var rack, zone int
	s.Groups, rack, zone = Grouped(s.Size, max(s.Each, 1))
	calls := s.Calls
	s.Calls, s.Budgets = 0, true
	f, err := Begin(ctx, s.Layout)
	if err != nil {
		return err
	}
	defer f.Close()
	s.say("%d hollow members in %d processes start", s.Size, len(s.Groups))
	if err := f.Start(); err != nil {
		return err
	}
	met, err := f.Meet(s.Size)
	if err != nil {
		return err
	}
	s.say("all know of all after %.1f s by the members' clock", met.Seconds()/s.slow())
	if err := f.pass(s.Warm); err != nil {
		return err
	}
	for _, one := range []struct {
		calls float64
		long  time.Duration
	}{{0, s.Quiet}, {calls, s.Busy}} {
		if one.long <= 0 {
			continue
		}
		if err := s.measured(f, one.calls, one.long, met); err != nil {
			return err
		}
	}
	if err := f.call(calls); err != nil {
		return err
	}
	for _, kind := range s.Kinds {
		p := &strike{Strikes: s, kind: kind, f: f, rack: rack, zone: zone, size: f.left(),
			r: &Fault{Kind: kind, Size: f.left(), Slow: s.Slow, Calls: calls}}
		if err := p.run(); err != nil {
			return fmt.Errorf("%s: %w", kind, err)
		}
		if err := s.Told(nil, p.r); err != nil {
			return err
		}
	}
	return nil
}

func (s Strikes) say(format string, a ...any) { Steady{Progress: s.Progress}.say(format, a...) }

// measured measures the fleet at rest at a rate of made-up calls.
func (s Strikes) measured(f *Fleet, calls float64, long, met time.Duration) error {
	if err := f.call(calls); err != nil {
		return err
	}
	if err := f.pass(s.Warm); err != nil { // reports are up to six seconds old
		return err
	}
	p, err := f.measure(long)
	if err != nil {
		return err
	}
	p.MeetS, p.Processes = met.Seconds()/s.slow(), len(s.Groups)
	s.say("at rest with %.0f made-up calls: %s", calls, p)
	return s.Told(p, nil)
}

// strike is a fault under way.
type strike struct {
	Strikes
	kind       string
	size       int // members that were there before
	f          *Fleet
	r          *Fault
	rack, zone int
	deaths     map[int]int64 // told before, by member
	dropped    int64
	samples    [][]Look
	stop       chan struct{}
	done       chan error
}

// run has the fault happen and waits until all know.
func (p *strike) run() error {
	if err := p.rest(); err != nil {
		return err
	}
	machine := LookAtMachine()
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
	p.r.OthersCores = cores(machine, LookAtMachine()) - p.ownCores()
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
	before, err := p.f.Look(Ask{})
	if err != nil {
		return err
	}
	if err := p.f.pass(p.real(p.Rest)); err != nil {
		return err
	}
	after, err := p.f.Look(Ask{Claims: true})
	if err != nil {
		return err
	}
	c := hollowCost(before, after, p.slow())
	p.r.RestBytes, p.r.RestCPU = c.SentWire, c.CPU
	heaps, err := p.f.Look(Ask{Heap: true})
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

func heapEach(all []Look) float64 {
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
			all, err := p.f.Look(Ask{Claims: true})
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
	p.r.LastedS = p.since(time.Since(began))
	return err
}

// all waits until something holds of all members, from now on; -1: it does not in time.
func (p *strike) all(what string, holds func(Sight) bool) (float64, error) {
	took, err := p.f.until(what, p.real(faultMost), holds)
	if err != nil && took > p.real(faultMost) {
		p.r.Note = err.Error()
		return -1, nil
	}
	return p.since(took), err
}

// killed ends one process and waits until all others know that its members are gone.
func (p *strike) killed(group int) (err error) {
	p.r.Struck = len(p.Groups[group])
	p.f.Kill(group)
	p.r.AllKnowS, err = p.all("the dead are known", func(s Sight) bool { return s.Alive == p.size-p.r.Struck })
	return err
}

// allocator has servers start cold, so that all ask for parts of their budgets, and kills the allocator then.
func (p *strike) allocator() (err error) {
	p.coldStart()
	reigns := func() int {
		looks, err := p.f.Look(Ask{Claims: true})
		if err != nil {
			return -1
		}
		return slices.IndexFunc(looks, func(l Look) bool { return slices.ContainsFunc(l.Members, func(s Sight) bool { return s.Allocates }) })
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
		p.r.AllKnowS = -1
		return nil
	}
	if err := p.f.pass(p.real(3 * time.Second)); err != nil { // parts are out, and in use
		return err
	}
	began := time.Now()
	p.f.Kill(group)
	p.r.Struck = len(p.Groups[group])
	for next := -1; next < 0; next = reigns() {
		if time.Since(began) > p.real(30*time.Second) {
			p.r.Note = "no other allocated within 30 s"
			break
		}
		if err := p.f.pass(p.real(100 * time.Millisecond)); err != nil {
			return err
		}
	}
	p.r.HealedS = p.since(time.Since(began)) // another allocates
	p.r.AllKnowS, err = p.all("the dead is known", func(s Sight) bool { return s.Alive == p.size-p.r.Struck })
	return err
}

// coldStart has the list tell that some servers have just started.
func (p *strike) coldStart() {
	for k := range min(coldServers, p.Servers) {
		p.f.list.Change(entry(k, p.at(time.Now())), 0)
	}
}

// server has a session server answer no call for a time.
func (p *strike) server() (err error) {
	const silent = listedFirst + 7
	p.r.Struck = 1
	tell := func(server uint64) error {
		return p.f.each(func(_ int, r runner) error {
			_, err := r.do(order{Do: doSilence, Server: server})
			return err
		})
	}
	if err := tell(silent); err != nil {
		return err
	}
	p.r.AllKnowS, err = p.all("the server is avoided", func(s Sight) bool { return slices.Contains(s.Avoided, silent) })
	if err != nil {
		return err
	}
	if err := tell(0); err != nil {
		return err
	}
	p.r.HealedS, err = p.all("the server is used again", func(s Sight) bool { return !slices.Contains(s.Avoided, silent) })
	return err
}

// region cuts a third of the members off and heals it.
func (p *strike) region() (err error) {
	away := p.Size / 3
	p.r.Struck = away
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
	p.r.AllKnowS, err = p.all("each side knows itself alone", func(s Sight) bool {
		if s.Number >= p.Size-away {
			return s.Alive == away
		}
		return s.Alive == p.size-away
	})
	if err != nil {
		return err
	}
	if err := p.f.pass(max(p.real(p.Cut)-time.Since(began), 0)); err != nil {
		return err
	}
	if err := tell(nil); err != nil {
		return err
	}
	p.coldStart()
	p.r.HealedS, err = p.all("all know of all", func(s Sight) bool { return s.Alive == p.size })
	return err
}

// restarts has all members restart as in a release: one after the other in each process, and the voters after the rest, one
// at a time.
func (p *strike) restarts() (err error) {
	p.r.Struck = p.size
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
	p.r.HealedS, err = p.all("all know of all", func(s Sight) bool { return s.Alive == p.size })
	return err
}

// restartPause is the pause after a restart before the next one in the same process.
const restartPause = 500 * time.Millisecond

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
	last, err := p.f.Look(Ask{Heap: true, Claims: true})
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
			c := hollowCost([]Look{sameMembers(before, after)}, []Look{after}, p.slow())
			r.PeakBytes, r.PeakGrams, r.PeakCPU = max(r.PeakBytes, c.SentWire), max(r.PeakGrams, c.SentDatagrams), max(r.PeakCPU, c.CPU)
			sum, members = sum+c.SentWire*float64(c.Members), members+c.Members
		}
	}
	r.MeanBytes = sum / float64(max(members, 1))
}

// sameMembers makes a look in which members that restarted since begin from nothing.
func sameMembers(before, after Look) Look {
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
func (p *strike) falseDeaths(last []Look) {
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
		return int64(p.r.Struck)
	case FaultRegion:
		if number >= p.Size-p.r.Struck {
			return int64(p.size - p.r.Struck)
		}
		return int64(p.r.Struck)
	}
	return 0
}
