package model

import (
	"reflect"
	"testing"
	"time"

	"masthill/control"
	"masthill/internal/exchange"
	"masthill/lab/processor"
)

// watched is a cold server for 10 calls a second when warm, two seconds after its start, and a controller that knows of
// that start or not.
func newColdServer(informed bool) (*server, *controller) {
	m := &model{clock: clock{now: start + 2e9}, params: processor.Params{SetUp: 100e6, ColdFrom: 0.4}, fallMultiple: 2, fallWindow: 1e9, coldSpan: 10e9}
	c := &controller{model: m, offices: map[uint64]exchange.Office{}}
	if informed {
		c.offices[0] = exchange.Office{Entry: control.Entry{ReadyAt: start}}
	}
	return &server{model: m, readyAt: start}, c
}

// N is 2 * (0.4 + 0.6 * 0.2) * 10 = 10.4, and N + 2 root of N + 2 is 18.8.
func TestColdFallIsSeen(t *testing.T) {
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
	for range 40 { // one every 60 ms: no more than 17 in any window
		s.recordColdSend(c)
		s.model.now += 60e6
	}
	if s.coldStart.BoundExceeded || s.coldStart.Sent > 17 {
		t.Errorf("spread: %+v", s.coldStart.ColdStart)
	}
}

func TestFallByControllersThatWereNotToldBreaksNothing(t *testing.T) {
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
		t.Error("a send to a warm server was counted")
	}
}

// Every cold scene has cold servers that are used, none of which gets too much, and is the same in each run.
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

// With a skew some controllers see several times the mean; a shift draws the shares anew.
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
		t.Errorf("alike: one has %d of 20000", n)
	}
	if n := count(Scenario{Controllers: 20, Skew: 0.8, Duration: time.Second}); n < 2000 {
		t.Errorf("skewed: the most is %d of 20000", n)
	}
}
