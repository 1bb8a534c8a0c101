package control

import (
	"errors"
	"math"
	"slices"
)

// LearnedState is what an instance has learned, for the process that replaces it. It holds no calls and no attempts,
// as those end with the process. Times are Unix nanoseconds, durations nanoseconds, rates calls a second. Restoring it
// makes no decisions of its own: every value carries the time of its last update, so that the time between the
// processes makes it decay as the same time without a call would.
type LearnedState struct {
	At          int64           `json:"at_ns"`
	StartedAt   int64           `json:"began_ns"`
	Spacing     float64         `json:"x_ns"` // of held calls
	Established int             `json:"stood"`
	Carried     DecayingCount   `json:"borne"`
	Offered     DecayingCount   `json:"offered"`
	LoadPerUnit float64         `json:"unit"`
	PeakLoad    float64         `json:"top"`
	RefreshedAt int64           `json:"fresh_at_ns"`
	Servers     []LearnedServer `json:"servers"`
}

// DecayingCount is a count that decays exponentially, and when it was last updated.
type DecayingCount struct {
	N  float64 `json:"n"`
	At int64   `json:"at_ns"`
}

// LearnedServer is what has been learned of one server's processor, which its start identifies.
type LearnedServer struct {
	ID                uint64        `json:"id"`
	ReadyAt           int64         `json:"ready_at_ns"`
	Down              bool          `json:"down"`
	DownAt            int64         `json:"down_at_ns"`
	BackoffUntil      int64         `json:"mark_end_ns"`
	NoLineAt          int64         `json:"line_at_ns"`
	SentAt            int64         `json:"sent_at_ns"`
	EstablishedSentAt int64         `json:"proven_at_ns"` // when the latest set-up that was established had been sent
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

func (d decayingCount) exported() DecayingCount { return DecayingCount{d.n, d.at} }
func (d DecayingCount) restored() decayingCount { return decayingCount{d.N, d.At} }

// LearnedState returns what has been learned up to the last event.
func (c *Controller) LearnedState() LearnedState {
	l := LearnedState{At: c.now, StartedAt: c.startedAt, Spacing: c.spacing, Established: c.established,
		Carried: c.carried.exported(), Offered: c.offered.exported(), LoadPerUnit: c.loadPerUnit, PeakLoad: c.peakLoad, RefreshedAt: c.refreshedAt}
	for _, s := range c.servers {
		o := LearnedServer{ID: s.id, ReadyAt: s.readyAt, Down: s.down, DownAt: s.downAt, BackoffUntil: s.backoffUntil,
			NoLineAt: s.noLineAt, SentAt: s.sentAt, EstablishedSentAt: s.establishedSentAt, Delay: s.delay,
			ExcessDelay: s.excessDelay, DelayAt: s.delayAt, ExcessDelayAt: s.excessDelayAt, Lost: s.lost.exported(),
			Answered: s.answered.exported(), EarlyCuts: s.earlyCuts.exported(), Faults: s.faults.exported(),
			Weight: s.weight, WeightAt: s.weightAt, Rate: s.rate, PeakRate: s.peakRate, RateAt: s.rateAt}
		if s.minDelay < math.MaxFloat64 {
			o.MinDelay = s.minDelay
		}
		l.Servers = append(l.Servers, o)
	}
	return l
}

// Check reports values that cannot be right at now: not a number, infinite or negative, and times in the future. Only a
// backoff may end later, by the longest backoff at most.
func (l LearnedState) Check(now int64) error {
	numbers := []float64{l.Spacing, l.Carried.N, l.Offered.N, l.LoadPerUnit, l.PeakLoad}
	times := []int64{l.At, l.StartedAt, l.Carried.At, l.Offered.At, l.RefreshedAt}
	for k, s := range l.Servers {
		if k > 0 && s.ID <= l.Servers[k-1].ID {
			return errors.New("servers are not in order of their ids")
		}
		numbers = append(numbers, s.Delay, s.ExcessDelay, s.MinDelay, s.Lost.N, s.Answered.N, s.EarlyCuts.N, s.Faults.N,
			s.Weight, s.Rate, s.PeakRate)
		times = append(times, s.DownAt, s.NoLineAt, s.SentAt, s.EstablishedSentAt, s.DelayAt, s.ExcessDelayAt,
			s.Lost.At, s.Answered.At, s.EarlyCuts.At, s.Faults.At, s.WeightAt, s.RateAt, s.BackoffUntil-maxTrialInterval)
	}
	for _, x := range numbers {
		if !(x >= 0) || math.IsInf(x, 0) {
			return errors.New("a value is not a finite number, or is negative")
		}
	}
	for _, at := range times {
		if at > now {
			return errors.New("a time is in the future")
		}
	}
	return nil
}

// Restore takes over what the previous process had learned. It must follow the first server list: servers that are not
// listed, or whose processor has started since, are left out. If l is invalid, nothing changes.
func (c *Controller) Restore(now int64, l LearnedState) error {
	if err := l.Check(now); err != nil {
		return err
	}
	if l.StartedAt > 0 {
		c.startedAt = l.StartedAt
	}
	if l.Spacing > 0 {
		c.spacing = l.Spacing
	}
	c.established, c.carried, c.offered, c.loadPerUnit, c.peakLoad, c.refreshedAt = l.Established,
		l.Carried.restored(), l.Offered.restored(), l.LoadPerUnit, l.PeakLoad, l.RefreshedAt
	for _, o := range l.Servers {
		k, ok := slices.BinarySearchFunc(c.servers, o.ID, byID)
		if !ok || c.servers[k].readyAt != o.ReadyAt {
			continue
		}
		s := c.servers[k]
		s.down, s.downAt, s.backoffUntil, s.noLineAt, s.sentAt, s.establishedSentAt = o.Down, o.DownAt, o.BackoffUntil,
			o.NoLineAt, o.SentAt, o.EstablishedSentAt
		s.delay, s.excessDelay, s.delayAt, s.excessDelayAt = o.Delay, o.ExcessDelay, o.DelayAt, o.ExcessDelayAt
		s.lost, s.answered, s.earlyCuts, s.faults = o.Lost.restored(), o.Answered.restored(),
			o.EarlyCuts.restored(), o.Faults.restored()
		s.weight, s.weightAt, s.rate, s.peakRate, s.rateAt = o.Weight, o.WeightAt, o.Rate, o.PeakRate, o.RateAt
		if o.MinDelay > 0 {
			s.minDelay = o.MinDelay
		}
	}
	return nil
}

// ServerStatus is what an instance assumes about a server, for operators.
type ServerStatus struct {
	Server           uint64
	Available        bool    // listed and not draining
	Cold             bool    // started recently by the list, or was found down
	CapacityFraction float64 // part of its full capacity that it is assumed to have
	Down             bool    // gets single trials only
	InBackoff        bool    // gets no calls for a time because of an earlier answer or failure
	Overloaded       bool    // its expected delay closes it to calls of the least valuable class
	Pending          int     // set-ups whose answer is still awaited
	EstablishedCalls int     // established calls of this instance
	ExpectedDelay    int64   // nanoseconds
}

// ServerStatuses returns the state of all servers at now. It works on copies, so that it changes no decision.
func (c *Controller) ServerStatuses(now int64) []ServerStatus {
	view := *c
	view.now, view.servers = max(now, c.now), make([]*server, len(c.servers))
	for k, s := range c.servers {
		copied := *s
		view.servers[k] = &copied
	}
	all := make([]ServerStatus, 0, len(view.servers))
	for _, s := range view.servers {
		delay := view.expectedDelay(s)
		all = append(all, ServerStatus{Server: s.id, Available: s.available, Cold: view.capacityFraction(s) < 1,
			CapacityFraction: view.capacityFraction(s), Down: s.down, InBackoff: view.now < s.backoffUntil,
			Overloaded: delay > rampEnd*view.refDelay, Pending: s.pending(), EstablishedCalls: max(s.calls, 0),
			ExpectedDelay: int64(min(delay, float64(math.MaxInt64/2)))})
	}
	return all
}

// Held returns the number of held calls.
func (c *Controller) Held() int { return c.held }
