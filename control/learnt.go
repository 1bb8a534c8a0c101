package control

import (
	"errors"
	"math"
	"slices"
)

// Learnt is what a front has learnt, for the process after it. It holds no calls and no attempts: those end with the
// process. Times are Unix nanoseconds, spans nanoseconds, rates calls a second. Importing it adds no decision: every
// figure carries the time at which it was fed, so that the time away fades it by the module's own spans, as seconds
// without a call would.
type Learnt struct {
	At          int64           `json:"at_ns"`
	StartedAt   int64           `json:"began_ns"`
	Spacing     float64         `json:"x_ns"` // spacing of held calls
	Established int             `json:"stood"`
	Carried     DecayingCount   `json:"borne"`
	Offered     DecayingCount   `json:"offered"`
	LoadPerUnit float64         `json:"unit"`
	PeakLoad    float64         `json:"top"`
	RefreshedAt int64           `json:"fresh_at_ns"`
	Servers     []LearnedServer `json:"servers"`
}

// Count is a count that is forgotten with time.
type DecayingCount struct {
	N  float64 `json:"n"`
	At int64   `json:"at_ns"`
}

// LearntServer is what has been learnt of one server's processor, told apart by its start.
type LearnedServer struct {
	ID                uint64        `json:"id"`
	ReadyAt           int64         `json:"ready_at_ns"`
	Down              bool          `json:"down"`
	DownAt            int64         `json:"down_at_ns"`
	BackoffUntil      int64         `json:"mark_end_ns"`
	NoLineAt          int64         `json:"line_at_ns"`
	SentAt            int64         `json:"sent_at_ns"`
	EstablishedSentAt int64         `json:"proven_at_ns"` // when the last set-up that stood was sent
	Delay             float64       `json:"delay_ns"`
	ExcessDelay       float64       `json:"press_ns"`
	MinDelay          float64       `json:"least_ns"` // 0: none seen
	DelayAt           int64         `json:"news_at_ns"`
	ExcessDelayAt     int64         `json:"press_at_ns"`
	Lost              DecayingCount `json:"lost"`
	Answered          DecayingCount `json:"came"`
	EarlyCuts         DecayingCount `json:"cut"`
	Faults            DecayingCount `json:"fault"`
	Weight            float64       `json:"weight"`
	WeightAt          int64         `json:"weight_at_ns"`
	Rate              float64       `json:"rate"`
	PeakRate          float64       `json:"well"`
	RateAt            int64         `json:"rate_at_ns"`
}

func (f fading) count() DecayingCount  { return DecayingCount{f.n, f.at} }
func (n DecayingCount) fading() fading { return fading{n.N, n.At} }

// Learnt gives what has been learnt up to the last event.
func (c *Controller) Learnt() Learnt {
	l := Learnt{At: c.now, StartedAt: c.began, Spacing: c.x, Established: c.stood, Carried: c.borne.count(), Offered: c.offered.count(),
		LoadPerUnit: c.unit, PeakLoad: c.top, RefreshedAt: c.freshAt}
	for _, s := range c.servers {
		o := LearnedServer{ID: s.id, ReadyAt: s.readyAt, Down: s.down, DownAt: s.downAt, BackoffUntil: s.markEnd, NoLineAt: s.lineAt,
			SentAt: s.sentAt, EstablishedSentAt: s.provenAt, Delay: s.delay, ExcessDelay: s.press, DelayAt: s.newsAt,
			ExcessDelayAt: s.pressAt, Lost: s.lost.count(), Answered: s.came.count(), EarlyCuts: s.cut.count(), Faults: s.fault.count(),
			Weight: s.weight, WeightAt: s.weightAt, Rate: s.rate, PeakRate: s.well, RateAt: s.rateAt}
		if s.least < math.MaxFloat64 {
			o.MinDelay = s.least
		}
		l.Servers = append(l.Servers, o)
	}
	return l
}

// Check tells what makes no sense in something learnt by now: figures that are no numbers or negative, and times that
// are still to come. Only a mark may end later, and no later than the longest mark.
func (l Learnt) Check(now int64) error {
	numbers := []float64{l.Spacing, l.Carried.N, l.Offered.N, l.LoadPerUnit, l.PeakLoad}
	times := []int64{l.At, l.StartedAt, l.Carried.At, l.Offered.At, l.RefreshedAt}
	for k, s := range l.Servers {
		if k > 0 && s.ID <= l.Servers[k-1].ID {
			return errors.New("servers out of order")
		}
		numbers = append(numbers, s.Delay, s.ExcessDelay, s.MinDelay, s.Lost.N, s.Answered.N, s.EarlyCuts.N, s.Faults.N, s.Weight, s.Rate, s.PeakRate)
		times = append(times, s.DownAt, s.NoLineAt, s.SentAt, s.EstablishedSentAt, s.DelayAt, s.ExcessDelayAt, s.Lost.At, s.Answered.At, s.EarlyCuts.At,
			s.Faults.At, s.WeightAt, s.RateAt, s.BackoffUntil-trialMax)
	}
	for _, x := range numbers {
		if !(x >= 0) || math.IsInf(x, 0) {
			return errors.New("a figure is no number, or negative")
		}
	}
	for _, at := range times {
		if at > now {
			return errors.New("a time is still to come")
		}
	}
	return nil
}

// Restore takes up what the process before had learnt. It is to follow the first list: what is told of a server that is
// not listed, or whose processor has started since, is left out. An unfit Learnt changes nothing.
func (c *Controller) Restore(now int64, l Learnt) error {
	if err := l.Check(now); err != nil {
		return err
	}
	if l.StartedAt > 0 {
		c.began = l.StartedAt
	}
	if l.Spacing > 0 {
		c.x = l.Spacing
	}
	c.stood, c.borne, c.offered, c.unit, c.top, c.freshAt = l.Established, l.Carried.fading(), l.Offered.fading(), l.LoadPerUnit, l.PeakLoad, l.RefreshedAt
	for _, o := range l.Servers {
		k, ok := slices.BinarySearchFunc(c.servers, o.ID, byID)
		if !ok || c.servers[k].readyAt != o.ReadyAt {
			continue
		}
		s := c.servers[k]
		s.down, s.downAt, s.markEnd, s.lineAt, s.sentAt, s.provenAt = o.Down, o.DownAt, o.BackoffUntil, o.NoLineAt, o.SentAt, o.EstablishedSentAt
		s.delay, s.press, s.newsAt, s.pressAt = o.Delay, o.ExcessDelay, o.DelayAt, o.ExcessDelayAt
		s.lost, s.came, s.cut, s.fault = o.Lost.fading(), o.Answered.fading(), o.EarlyCuts.fading(), o.Faults.fading()
		s.weight, s.weightAt, s.rate, s.well, s.rateAt = o.Weight, o.WeightAt, o.Rate, o.PeakRate, o.RateAt
		if o.MinDelay > 0 {
			s.least = o.MinDelay
		}
	}
	return nil
}

// Belief is what a front believes of a server, for operators.
type ServerStatus struct {
	Server        uint64
	Available     bool    // listed and not draining
	Cold          bool    // by the list, or since it was seen down
	Warmth        float64 // part of its capacity that it is taken to have
	Down          bool    // single trials only
	Marked        bool    // by an answer, for now
	Pressed       bool    // its expected delay is beyond the reference
	Out           int     // set-ups without an answer that are waited for
	Standing      int     // calls of this front
	ExpectedDelay int64   // to be expected, nanoseconds
}

// Beliefs tells what the front believes at a time. It works on copies: nobody's look changes a decision.
func (c *Controller) ServerStatuses(now int64) []ServerStatus {
	d := *c
	d.now, d.servers = max(now, c.now), make([]*server, len(c.servers))
	for k, s := range c.servers {
		one := *s
		d.servers[k] = &one
	}
	all := make([]ServerStatus, 0, len(d.servers))
	for _, s := range d.servers {
		delay := d.delayAt(s)
		all = append(all, ServerStatus{Server: s.id, Available: s.in, Cold: d.warmth(s) < 1, Warmth: d.warmth(s), Down: s.down,
			Marked: d.now < s.markEnd, Pressed: delay > pressFull*d.ref, Out: s.pending(), Standing: max(s.calls, 0),
			ExpectedDelay: int64(min(delay, float64(math.MaxInt64/2)))})
	}
	return all
}

// Held tells how many calls wait for their one later try.
func (c *Controller) Held() int { return c.held }
