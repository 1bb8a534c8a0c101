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
	At      int64          `json:"at_ns"`
	Began   int64          `json:"began_ns"`
	X       float64        `json:"x_ns"` // spacing of held calls
	Stood   int            `json:"stood"`
	Borne   Count          `json:"borne"`
	Offered Count          `json:"offered"`
	Unit    float64        `json:"unit"`
	Top     float64        `json:"top"`
	FreshAt int64          `json:"fresh_at_ns"`
	Servers []LearntServer `json:"servers"`
}

// Count is a count that is forgotten with time.
type Count struct {
	N  float64 `json:"n"`
	At int64   `json:"at_ns"`
}

// LearntServer is what has been learnt of one server's processor, told apart by its start.
type LearntServer struct {
	ID       uint64  `json:"id"`
	ReadyAt  int64   `json:"ready_at_ns"`
	Down     bool    `json:"down"`
	DownAt   int64   `json:"down_at_ns"`
	MarkEnd  int64   `json:"mark_end_ns"`
	LineAt   int64   `json:"line_at_ns"`
	SentAt   int64   `json:"sent_at_ns"`
	ProvenAt int64   `json:"proven_at_ns"` // when the last set-up that stood was sent
	Delay    float64 `json:"delay_ns"`
	Press    float64 `json:"press_ns"`
	Least    float64 `json:"least_ns"` // 0: none seen
	NewsAt   int64   `json:"news_at_ns"`
	PressAt  int64   `json:"press_at_ns"`
	Lost     Count   `json:"lost"`
	Came     Count   `json:"came"`
	Cut      Count   `json:"cut"`
	Fault    Count   `json:"fault"`
	Weight   float64 `json:"weight"`
	WeightAt int64   `json:"weight_at_ns"`
	Rate     float64 `json:"rate"`
	Well     float64 `json:"well"`
	RateAt   int64   `json:"rate_at_ns"`
}

func (f fading) count() Count  { return Count{f.n, f.at} }
func (n Count) fading() fading { return fading{n.N, n.At} }

// Learnt gives what has been learnt up to the last event.
func (c *Controller) Learnt() Learnt {
	l := Learnt{At: c.now, Began: c.began, X: c.x, Stood: c.stood, Borne: c.borne.count(), Offered: c.offered.count(),
		Unit: c.unit, Top: c.top, FreshAt: c.freshAt}
	for _, s := range c.servers {
		o := LearntServer{ID: s.id, ReadyAt: s.readyAt, Down: s.down, DownAt: s.downAt, MarkEnd: s.markEnd, LineAt: s.lineAt,
			SentAt: s.sentAt, ProvenAt: s.provenAt, Delay: s.delay, Press: s.press, NewsAt: s.newsAt,
			PressAt: s.pressAt, Lost: s.lost.count(), Came: s.came.count(), Cut: s.cut.count(), Fault: s.fault.count(),
			Weight: s.weight, WeightAt: s.weightAt, Rate: s.rate, Well: s.well, RateAt: s.rateAt}
		if s.least < math.MaxFloat64 {
			o.Least = s.least
		}
		l.Servers = append(l.Servers, o)
	}
	return l
}

// Check tells what makes no sense in something learnt by now: figures that are no numbers or negative, and times that
// are still to come. Only a mark may end later, and no later than the longest mark.
func (l Learnt) Check(now int64) error {
	numbers := []float64{l.X, l.Borne.N, l.Offered.N, l.Unit, l.Top}
	times := []int64{l.At, l.Began, l.Borne.At, l.Offered.At, l.FreshAt}
	for k, s := range l.Servers {
		if k > 0 && s.ID <= l.Servers[k-1].ID {
			return errors.New("servers out of order")
		}
		numbers = append(numbers, s.Delay, s.Press, s.Least, s.Lost.N, s.Came.N, s.Cut.N, s.Fault.N, s.Weight, s.Rate, s.Well)
		times = append(times, s.DownAt, s.LineAt, s.SentAt, s.ProvenAt, s.NewsAt, s.PressAt, s.Lost.At, s.Came.At, s.Cut.At,
			s.Fault.At, s.WeightAt, s.RateAt, s.MarkEnd-trialMax)
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
	if l.Began > 0 {
		c.began = l.Began
	}
	if l.X > 0 {
		c.x = l.X
	}
	c.stood, c.borne, c.offered, c.unit, c.top, c.freshAt = l.Stood, l.Borne.fading(), l.Offered.fading(), l.Unit, l.Top, l.FreshAt
	for _, o := range l.Servers {
		k, ok := slices.BinarySearchFunc(c.servers, o.ID, byID)
		if !ok || c.servers[k].readyAt != o.ReadyAt {
			continue
		}
		s := c.servers[k]
		s.down, s.downAt, s.markEnd, s.lineAt, s.sentAt, s.provenAt = o.Down, o.DownAt, o.MarkEnd, o.LineAt, o.SentAt, o.ProvenAt
		s.delay, s.press, s.newsAt, s.pressAt = o.Delay, o.Press, o.NewsAt, o.PressAt
		s.lost, s.came, s.cut, s.fault = o.Lost.fading(), o.Came.fading(), o.Cut.fading(), o.Fault.fading()
		s.weight, s.weightAt, s.rate, s.well, s.rateAt = o.Weight, o.WeightAt, o.Rate, o.Well, o.RateAt
		if o.Least > 0 {
			s.least = o.Least
		}
	}
	return nil
}

// Belief is what a front believes of a server, for operators.
type Belief struct {
	Server   uint64
	In       bool    // listed and not draining
	Cold     bool    // by the list, or since it was seen down
	Warmth   float64 // part of its capacity that it is taken to have
	Down     bool    // single trials only
	Marked   bool    // by an answer, for now
	Pressed  bool    // its expected delay is beyond the reference
	Out      int     // set-ups without an answer that are waited for
	Standing int     // calls of this front
	Delay    int64   // to be expected, nanoseconds
}

// Beliefs tells what the front believes at a time. It works on copies: nobody's look changes a decision.
func (c *Controller) Beliefs(now int64) []Belief {
	d := *c
	d.now, d.servers = max(now, c.now), make([]*server, len(c.servers))
	for k, s := range c.servers {
		one := *s
		d.servers[k] = &one
	}
	all := make([]Belief, 0, len(d.servers))
	for _, s := range d.servers {
		delay := d.delayAt(s)
		all = append(all, Belief{Server: s.id, In: s.in, Cold: d.warmth(s) < 1, Warmth: d.warmth(s), Down: s.down,
			Marked: d.now < s.markEnd, Pressed: delay > pressFull*d.ref, Out: s.pending(), Standing: max(s.calls, 0),
			Delay: int64(min(delay, float64(math.MaxInt64/2)))})
	}
	return all
}

// Held tells how many calls wait for their one later try.
func (c *Controller) Held() int { return c.held }
