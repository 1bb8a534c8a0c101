package scale

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"masthill/internal/peers"
)

// datagramHeaders are the bytes that IPv4 and UDP add to a datagram.
const datagramHeaders = 28

// Cost is the mean cost of a member per second, over all members of one kind.
type Cost struct {
	Members           int     `json:"members"`
	SentDatagrams     float64 `json:"sent_datagrams_s"`
	SentBytes         float64 `json:"sent_datagram_bytes_s"` // payload
	SentStream        float64 `json:"sent_stream_bytes_s"`
	SentWire          float64 `json:"sent_wire_bytes_s"`                // all bytes sent, with the headers of datagrams
	MaxSentWire       float64 `json:"most_sent_wire_bytes_s,omitempty"` // of the member that sends the most
	ReceivedDatagrams float64 `json:"got_datagrams_s"`
	ReceivedBytes     float64 `json:"got_datagram_bytes_s"`
	ReceivedStream    float64 `json:"got_stream_bytes_s"`
	CPU               float64 `json:"cpu_percent"` // of a core
	Resident          float64 `json:"resident_mb"` // anonymous memory of the processes, divided by their members
	Heap              float64 `json:"heap_mb,omitempty"`
	Dropped           float64 `json:"dropped_s"` // messages dropped because of full queues
	Calls             float64 `json:"calls_s,omitempty"`
}

// Ages summarizes how old the counts or judgements are that members have of each other, in milliseconds.
type Ages struct {
	Samples int     `json:"looks"`
	Median  float64 `json:"median_ms"`
	P99     float64 `json:"p99_ms"`
	Max     float64 `json:"max_ms"`
}

// Point is one measurement of a steady fleet.
type Point struct {
	Size           int     `json:"size"`
	SyntheticCalls float64 `json:"made_up_calls_s"` // per second at each hollow member
	ClockSlowdown  float64 `json:"slow,omitempty"`  // the clock ran so many times slower; all figures are by that clock
	MeasuredS      float64 `json:"measured_s"`
	ConvergedS     float64 `json:"meet_s"` // from the last start until all members knew all
	Processes      int     `json:"processes"`
	Hollow         Cost    `json:"hollow"`
	Real           *Cost   `json:"real,omitempty"`
	CountAges      Ages    `json:"count_age"`
	RealCountAges  *Ages   `json:"real_count_age,omitempty"`
	JudgementAges  Ages    `json:"judgement_age"`
	Deaths         int64   `json:"deaths"` // members declared dead, although none died
	OwnCores       float64 `json:"own_cores"`
	OthersCores    float64 `json:"others_cores"` // used by everything else on the machine meanwhile
	LoadAverage    float64 `json:"load_average"`
}

// SteadyRun starts a fleet and measures it without faults.
type SteadyRun struct {
	Layout
	RealMembers
	WarmUp, MeasureFor time.Duration
	Progress           io.Writer
}

// ageMembers is how many members of each group report ages, ageSamples how often, agePause the pause between two reports.
const (
	ageMembers, ageSamples = 2, 3
	agePause               = 1300 * time.Millisecond
)

// Run starts the fleet, measures it and stops it.
func (s SteadyRun) Run(ctx context.Context) (*Point, error) {
	f, err := NewFleet(ctx, s.Layout)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	s.logf("%d members: %d hollow in %d processes, %d real", s.Size, s.Size-len(s.Numbers), len(s.Groups), len(s.Numbers))
	if err := f.Start(); err != nil {
		return nil, err
	}
	if err := f.StartRealMembers(s.RealMembers); err != nil {
		return nil, err
	}
	converged, err := f.WaitForMembers(s.Size)
	if err != nil {
		return nil, err
	}
	if !s.WithoutPeers {
		if err := f.WaitForRealMembers(s.Size); err != nil {
			return nil, err
		}
	}
	s.logf("  all members know all after %.1f s; warming up for %v", converged.Seconds(), s.WarmUp)
	if err := f.sleep(s.WarmUp); err != nil {
		return nil, err
	}
	p, err := f.measure(s.MeasureFor)
	if err != nil {
		return nil, err
	}
	p.ConvergedS, p.Processes = converged.Seconds(), len(s.Groups)+len(s.Numbers)
	s.logf("  %s", p)
	return p, nil
}

// String describes a point in one line.
func (p *Point) String() string {
	text := fmt.Sprintf("%.0f bytes and %.1f datagrams a second sent, %.2f%% of a core, %.2f MB, counts %.0f ms old (p99), judgements %.0f; own %.1f cores, others %.1f, load %.1f",
		p.Hollow.SentWire, p.Hollow.SentDatagrams, p.Hollow.CPU, p.Hollow.Resident, p.CountAges.P99, p.JudgementAges.P99, p.OwnCores, p.OthersCores, p.LoadAverage)
	if p.Real != nil {
		text += fmt.Sprintf("; real: %.0f bytes, %.1f datagrams, %.2f%%, %.2f MB, %.1f calls a second", p.Real.SentWire, p.Real.SentDatagrams, p.Real.CPU, p.Real.Resident, p.Real.Calls)
	}
	return text
}

func (s SteadyRun) logf(format string, a ...any) {
	if s.Progress != nil {
		fmt.Fprintf(s.Progress, time.Now().UTC().Format("15:04:05 ")+format+"\n", a...)
	}
}

// measure measures a running fleet from snapshots before and after a time.
func (f *Fleet) measure(length time.Duration) (*Point, error) {
	machine := ReadMachineLoad()
	before, err := f.Snapshot(SnapshotOptions{})
	if err != nil {
		return nil, err
	}
	realBefore, err := f.realSnapshots(f.ctx)
	if err != nil {
		return nil, err
	}
	if err := f.sleep(length); err != nil {
		return nil, err
	}
	after, err := f.Snapshot(SnapshotOptions{})
	if err != nil {
		return nil, err
	}
	realAfter, err := f.realSnapshots(f.ctx)
	if err != nil {
		return nil, err
	}
	end := ReadMachineLoad()
	p := &Point{Size: f.Size, SyntheticCalls: f.callRate, ClockSlowdown: f.ClockSlowdown, MeasuredS: length.Seconds(), LoadAverage: end.LoadAverage}
	p.Hollow = hollowCost(before, after, f.slowdown())
	if len(f.realMembers) > 0 {
		c := realCost(realBefore, realAfter)
		p.Real = &c
	}
	p.OwnCores = p.Hollow.CPU / 100 * float64(p.Hollow.Members) / f.slowdown()
	if p.Real != nil {
		p.OwnCores += p.Real.CPU / 100 * float64(p.Real.Members)
	}
	p.OthersCores = cores(machine, end) - p.OwnCores
	for _, l := range after {
		for _, m := range l.Members {
			p.Deaths += m.Deaths
		}
	}
	return p, f.addAges(p)
}

// addAges adds the ages of counts and judgements, and the live heaps, to a point.
func (f *Fleet) addAges(p *Point) error {
	var counts, judged, real []int64
	heap, members := int64(0), 0
	for n := range ageSamples {
		all, err := f.Snapshot(SnapshotOptions{MembersForAges: ageMembers, Heap: n == ageSamples-1})
		if err != nil {
			return err
		}
		for _, l := range all {
			counts, judged = append(counts, l.CountAgesMS...), append(judged, l.JudgementAgesMS...)
			heap, members = heap+l.Heap, members+len(l.Members)
		}
		reals, err := f.realSnapshots(f.ctx)
		if err != nil {
			return err
		}
		for _, l := range reals {
			real = append(real, l.countAgesMS...)
		}
		if err := f.sleep(agePause); err != nil {
			return err
		}
	}
	p.Hollow.Heap = float64(heap) / 1e6 / float64(max(members/ageSamples, 1))
	p.CountAges, p.JudgementAges = summarizeAges(counts), summarizeAges(judged)
	if len(real) > 0 {
		a := summarizeAges(real)
		p.RealCountAges = &a
	}
	return nil
}

func summarizeAges(all []int64) Ages {
	a := Ages{Samples: len(all)}
	if len(all) == 0 {
		return a
	}
	slices.Sort(all)
	at := func(part float64) float64 {
		return float64(all[min(int(math.Ceil(part*float64(len(all))))-1, len(all)-1)])
	}
	a.Median, a.P99, a.Max = at(0.5), at(0.99), float64(all[len(all)-1])
	return a
}

// hollowCost is the mean cost of members between two snapshots, over the groups that are in both.
func hollowCost(before, after []Snapshot, slow float64) Cost {
	c := Cost{}
	for k := range after {
		if before[k].At == 0 || after[k].At == 0 {
			continue
		}
		seconds := float64(after[k].At-before[k].At) / 1e9 / slow
		first := map[int]MemberStatus{}
		for _, m := range before[k].Members {
			first[m.Number] = m
		}
		for _, m := range after[k].Members {
			c.add(first[m.Number], m, seconds)
		}
		c.CPU += 100 * (after[k].CPU - before[k].CPU).Seconds() / seconds
		c.Resident += float64(after[k].Resident) / 1e6
	}
	c.average()
	return c
}

func realCost(before, after []realSnapshot) Cost {
	c := Cost{}
	for k := range after {
		seconds := float64(after[k].at-before[k].at) / 1e9
		c.add(before[k].status, after[k].status, seconds)
		c.CPU += 100 * (after[k].cpu - before[k].cpu).Seconds() / seconds
		c.Resident += float64(after[k].resident) / 1e6
		c.Calls += float64(after[k].calls-before[k].calls) / seconds
	}
	c.average()
	return c
}

// add adds one member's traffic between two states.
func (c *Cost) add(a, b MemberStatus, seconds float64) {
	rate := func(of func(peers.Traffic) int64) float64 { return float64(of(b.Traffic)-of(a.Traffic)) / seconds }
	c.Members++
	c.SentDatagrams += rate(func(t peers.Traffic) int64 { return t.SentDatagrams })
	c.SentBytes += rate(func(t peers.Traffic) int64 { return t.SentDatagramBytes })
	c.SentStream += rate(func(t peers.Traffic) int64 { return t.SentStreamBytes })
	c.ReceivedDatagrams += rate(func(t peers.Traffic) int64 { return t.ReceivedDatagrams })
	c.ReceivedBytes += rate(func(t peers.Traffic) int64 { return t.ReceivedDatagramBytes })
	c.ReceivedStream += rate(func(t peers.Traffic) int64 { return t.ReceivedStreamBytes })
	c.Dropped += float64(b.Dropped-a.Dropped) / seconds
	c.MaxSentWire = max(c.MaxSentWire, rate(func(t peers.Traffic) int64 {
		return t.SentDatagramBytes + t.SentStreamBytes + datagramHeaders*t.SentDatagrams
	}))
}

// average divides the sums by the number of members.
func (c *Cost) average() {
	n := float64(max(c.Members, 1))
	for _, v := range []*float64{&c.SentDatagrams, &c.SentBytes, &c.SentStream, &c.ReceivedDatagrams, &c.ReceivedBytes, &c.ReceivedStream, &c.CPU, &c.Resident, &c.Dropped, &c.Calls} {
		*v /= n
	}
	c.SentWire = c.SentBytes + c.SentStream + datagramHeaders*c.SentDatagrams
}
