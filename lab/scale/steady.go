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

// headers are the bytes that IPv4 and UDP add to a datagram.
const headers = 28

// Cost is what a member costs, as a mean over members of one kind.
type Cost struct {
	Members           int     `json:"members"`
	SentDatagrams     float64 `json:"sent_datagrams_s"`
	SentBytes         float64 `json:"sent_datagram_bytes_s"` // payload
	SentStream        float64 `json:"sent_stream_bytes_s"`
	SentWire          float64 `json:"sent_wire_bytes_s"`                // all sent, with the headers of datagrams
	MaxSentWire       float64 `json:"most_sent_wire_bytes_s,omitempty"` // of the member that sends most
	ReceivedDatagrams float64 `json:"got_datagrams_s"`
	ReceivedBytes     float64 `json:"got_datagram_bytes_s"`
	ReceivedStream    float64 `json:"got_stream_bytes_s"`
	CPU               float64 `json:"cpu_percent"` // of a core
	Resident          float64 `json:"resident_mb"` // anonymous memory of the processes, over their members
	Heap              float64 `json:"heap_mb,omitempty"`
	Dropped           float64 `json:"dropped_s"` // messages that found no room
	Calls             float64 `json:"calls_s,omitempty"`
}

// Ages are how old what members know of each other is, in milliseconds.
type Ages struct {
	Samples int     `json:"looks"`
	Median  float64 `json:"median_ms"`
	P99     float64 `json:"p99_ms"`
	Max     float64 `json:"max_ms"`
}

// Point is one measurement of a fleet at rest.
type Point struct {
	Size           int     `json:"size"`
	SyntheticCalls float64 `json:"made_up_calls_s"` // at each hollow member
	ClockSlowdown  float64 `json:"slow,omitempty"`  // the clock ran so many times slower; all figures are by that clock
	MeasuredS      float64 `json:"measured_s"`
	ConvergedS     float64 `json:"meet_s"` // from the last start until all knew of all
	Processes      int     `json:"processes"`
	Hollow         Cost    `json:"hollow"`
	Real           *Cost   `json:"real,omitempty"`
	CountAges      Ages    `json:"count_age"`
	RealCountAges  *Ages   `json:"real_count_age,omitempty"`
	JudgementAges  Ages    `json:"judgement_age"`
	Deaths         int64   `json:"deaths"` // that members took to be, with none
	OwnCores       float64 `json:"own_cores"`
	OthersCores    float64 `json:"others_cores"` // that everything else on the machine used meanwhile
	LoadAverage    float64 `json:"load_average"`
}

// Steady is how a fleet at rest is measured.
type SteadyRun struct {
	Layout
	RealMembers
	WarmUp, MeasureFor time.Duration
	Progress           io.Writer
}

// agesOf is how many members of each group tell ages, ageLooks how often, agePause how long after each other.
const (
	agesOf, ageLooks = 2, 3
	agePause         = 1300 * time.Millisecond
)

// Run starts the fleet, measures it and ends it.
func (s SteadyRun) Run(ctx context.Context) (*Point, error) {
	f, err := NewFleet(ctx, s.Layout)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	s.say("%d members: %d hollow ones in %d processes, %d real", s.Size, s.Size-len(s.Numbers), len(s.Groups), len(s.Numbers))
	if err := f.Start(); err != nil {
		return nil, err
	}
	if err := f.StartRealMembers(s.RealMembers); err != nil {
		return nil, err
	}
	met, err := f.WaitForMembers(s.Size)
	if err != nil {
		return nil, err
	}
	if !s.WithoutPeers {
		if err := f.WaitForRealMembers(s.Size); err != nil {
			return nil, err
		}
	}
	s.say("  all know of all after %.1f s; warms up for %v", met.Seconds(), s.WarmUp)
	if err := f.pass(s.WarmUp); err != nil {
		return nil, err
	}
	p, err := f.measure(s.MeasureFor)
	if err != nil {
		return nil, err
	}
	p.ConvergedS, p.Processes = met.Seconds(), len(s.Groups)+len(s.Numbers)
	s.say("  %s", p)
	return p, nil
}

// String tells a point in a line.
func (p *Point) String() string {
	text := fmt.Sprintf("%.0f bytes and %.1f datagrams a second sent, %.2f%% of a core, %.2f MB, counts %.0f ms old (p99), judgements %.0f; own %.1f cores, others %.1f, load %.1f",
		p.Hollow.SentWire, p.Hollow.SentDatagrams, p.Hollow.CPU, p.Hollow.Resident, p.CountAges.P99, p.JudgementAges.P99, p.OwnCores, p.OthersCores, p.LoadAverage)
	if p.Real != nil {
		text += fmt.Sprintf("; real: %.0f bytes, %.1f datagrams, %.2f%%, %.2f MB, %.1f calls a second", p.Real.SentWire, p.Real.SentDatagrams, p.Real.CPU, p.Real.Resident, p.Real.Calls)
	}
	return text
}

func (s SteadyRun) say(format string, a ...any) {
	if s.Progress != nil {
		fmt.Fprintf(s.Progress, time.Now().UTC().Format("15:04:05 ")+format+"\n", a...)
	}
}

// measure looks at a fleet that runs before and after a time.
func (f *Fleet) measure(length time.Duration) (*Point, error) {
	machine := ReadMachineLoad()
	before, err := f.Snapshot(SnapshotOptions{})
	if err != nil {
		return nil, err
	}
	realBefore, err := f.lookAtReals(f.ctx)
	if err != nil {
		return nil, err
	}
	if err := f.pass(length); err != nil {
		return nil, err
	}
	after, err := f.Snapshot(SnapshotOptions{})
	if err != nil {
		return nil, err
	}
	realAfter, err := f.lookAtReals(f.ctx)
	if err != nil {
		return nil, err
	}
	end := ReadMachineLoad()
	p := &Point{Size: f.Size, SyntheticCalls: f.SyntheticCalls, ClockSlowdown: f.ClockSlowdown, MeasuredS: length.Seconds(), LoadAverage: end.LoadAverage}
	p.Hollow = hollowCost(before, after, f.slow())
	if len(f.reals) > 0 {
		c := realCost(realBefore, realAfter)
		p.Real = &c
	}
	p.OwnCores = p.Hollow.CPU / 100 * float64(p.Hollow.Members) / f.slow()
	if p.Real != nil {
		p.OwnCores += p.Real.CPU / 100 * float64(p.Real.Members)
	}
	p.OthersCores = cores(machine, end) - p.OwnCores
	for _, l := range after {
		for _, m := range l.Members {
			p.Deaths += m.Deaths
		}
	}
	return p, f.ages(p)
}

// ages adds to a point how old what members know is, and what lives on their heaps.
func (f *Fleet) ages(p *Point) error {
	var counts, judged, real []int64
	heap, members := int64(0), 0
	for n := range ageLooks {
		all, err := f.Snapshot(SnapshotOptions{MembersForAges: agesOf, Heap: n == ageLooks-1})
		if err != nil {
			return err
		}
		for _, l := range all {
			counts, judged = append(counts, l.CountAgesMS...), append(judged, l.JudgementAgesMS...)
			heap, members = heap+l.Heap, members+len(l.Members)
		}
		reals, err := f.lookAtReals(f.ctx)
		if err != nil {
			return err
		}
		for _, l := range reals {
			real = append(real, l.counts...)
		}
		if err := f.pass(agePause); err != nil {
			return err
		}
	}
	p.Hollow.Heap = float64(heap) / 1e6 / float64(max(members/ageLooks, 1))
	p.CountAges, p.JudgementAges = agesFrom(counts), agesFrom(judged)
	if len(real) > 0 {
		a := agesFrom(real)
		p.RealCountAges = &a
	}
	return nil
}

func agesFrom(all []int64) Ages {
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

// hollowCost is the difference of two looks, over the members that are in both.
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
	c.mean()
	return c
}

func realCost(before, after []realLook) Cost {
	c := Cost{}
	for k := range after {
		seconds := float64(after[k].at-before[k].at) / 1e9
		c.add(before[k].sight, after[k].sight, seconds)
		c.CPU += 100 * (after[k].cpu - before[k].cpu).Seconds() / seconds
		c.Resident += float64(after[k].resident) / 1e6
		c.Calls += float64(after[k].taken-before[k].taken) / seconds
	}
	c.mean()
	return c
}

// add adds one member's traffic to a sum.
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
	c.MaxSentWire = max(c.MaxSentWire, rate(func(t peers.Traffic) int64 { return t.SentDatagramBytes + t.SentStreamBytes + headers*t.SentDatagrams }))
}

// mean makes a sum the mean of its members.
func (c *Cost) mean() {
	n := float64(max(c.Members, 1))
	for _, v := range []*float64{&c.SentDatagrams, &c.SentBytes, &c.SentStream, &c.ReceivedDatagrams, &c.ReceivedBytes, &c.ReceivedStream, &c.CPU, &c.Resident, &c.Dropped, &c.Calls} {
		*v /= n
	}
	c.SentWire = c.SentBytes + c.SentStream + headers*c.SentDatagrams
}
