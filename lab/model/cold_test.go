package model

import (
	"reflect"
	"testing"
	"time"

	"masthill/control"
	"masthill/internal/exchange"
	"masthill/lab/processor"
)

// newColdServer makes a server that can take 10 calls a second when warm, two seconds after its start, and a controller
// that knows of the start if informed.
func newColdServer(informed bool) (*server, *controller) {
	m := &model{clock: clock{now: start + 2e9}, params: processor.Params{SetUp: 100e6, ColdFraction: 0.4}, crashMultiple: 2, crashWindow: 1e9, warmUpTime: 10e9}
	c := &controller{model: m, offices: map[uint64]exchange.Office{}}
	if informed {
		c.offices[0] = exchange.Office{Entry: control.Entry{ReadyAt: start}}
	}
	return &server{model: m, readyAt: start}, c
}

// The budget N is 2 * (0.4 + 0.6 * 0.2) * 10 = 10.4, so the bound N + 2 √N + 2 is 18.8: 18 set-ups in a window are within
// it, 19 exceed it, and 40 spread over several windows do not.
func TestColdStartBoundIsDetected(t *testing.T) {
	s, c := newColdServer(true)
	for range 18 {
		s.recordColdSend(c)
	}
	if s.coldStart.BoundExceeded || s.coldStart.Sent != 18 || s.coldStart.PeakLoad < 0.95 || s.coldStart.PeakLoad > 1 {
		t.Fatalf("18 sends: %+v", s.coldStart.ColdStart)
	}
	s.recordColdSend(c)
	if !s.coldStart.BreaksRule() || s.coldStart.InformedShare != 1 || s.coldStart.TotalSent != 19 {
		t.Errorf("19 sends: %+v", s.coldStart.ColdStart)
	}
	s, c = newColdServer(true)
	for range 40 { // one every 60 ms: at most 17 in any window
		s.recordColdSend(c)
		s.model.now += 60e6
	}
	if s.coldStart.BoundExceeded || s.coldStart.Sent > 17 {
		t.Errorf("40 sends over several windows: %+v", s.coldStart.ColdStart)
	}
}

// Exceeding the bound breaks no rule if the controllers did not know of the start, and sends to a warm server don't
// count.
func TestUninformedControllersBreakNoRule(t *testing.T) {
	s, untold := newColdServer(false)
	for range 30 {
		s.recordColdSend(untold)
	}
	if !s.coldStart.BoundExceeded || s.coldStart.BreaksRule() {
		t.Errorf("%+v", s.coldStart.ColdStart)
	}
	s.model.now += 20e9 // warm
	before := s.coldStart.TotalSent
	s.recordColdSend(untold)
	if s.coldStart.TotalSent != before {
		t.Error("a set-up to a warm server was counted")
	}
}

// In every cold scene cold servers receive set-ups, none receives more than the bound, and two runs of a seed are equal.
func TestColdScenes(t *testing.T) {
	for _, s := range ColdScenes {
		sc := s.ColdScenario(3, 20, 8, 0.8)
		sc.Planned = 112
		r, err := Run(sc)
		if err != nil || r.Any() || len(r.ColdStarts) < 2 {
			t.Fatalf("%s: %d starts, %+v, %v", s.Name, len(r.ColdStarts), r.Violations, err)
		}
		for _, one := range r.ColdStarts {
			if one.BoundExceeded || one.TotalSent == 0 {
				t.Errorf("%s: %+v", s.Name, one)
			}
		}
		again, err := Run(sc)
		if err != nil || !reflect.DeepEqual(withoutRealTime(r), withoutRealTime(again)) {
			t.Errorf("%s: two runs of a seed differ, %v", s.Name, err)
		}
	}
}

// With a skew some controllers receive at least twice the mean share of the traffic; without one all receive about the
// same.
func TestSkewedTraffic(t *testing.T) {
	count := func(sc Scenario) (most int) {
		m := &model{Scenario: sc, rng: randomStream(1, streamCallers, 0)}
		for n := range sc.Controllers {
			m.controllers = append(m.controllers, &controller{index: n})
		}
		m.drawTrafficShares()
		by := make([]int, sc.Controllers)
		for range 20000 {
			by[m.drawController(m.rng).index]++
		}
		for _, n := range by {
			most = max(most, n)
		}
		return most
	}
	if n := count(Scenario{Controllers: 20}); n > 1200 {
		t.Errorf("no skew: one controller has %d of 20000 calls", n)
	}
	if n := count(Scenario{Controllers: 20, Skew: 0.8, Duration: time.Second}); n < 2000 {
		t.Errorf("skew 0.8: the busiest controller has only %d of 20000 calls", n)
	}
}
