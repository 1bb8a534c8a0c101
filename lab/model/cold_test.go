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
func watched(told bool) (*server, *controller) {
	m := &model{clock: clock{now: start + 2e9}, params: processor.Params{SetUp: 100e6, ColdFrom: 0.4}, fallMultiple: 2, fallWindow: 1e9, coldSpan: 10e9}
	c := &controller{m: m, list: map[uint64]exchange.Office{}}
	if told {
		c.list[0] = exchange.Office{Entry: control.Entry{ReadyAt: start}}
	}
	return &server{m: m, ready: start}, c
}

// N is 2 * (0.4 + 0.6 * 0.2) * 10 = 10.4, and N + 2 root of N + 2 is 18.8.
func TestColdFallIsSeen(t *testing.T) {
	s, c := watched(true)
	for range 18 {
		s.watchCold(c)
	}
	if s.watch.BoundExceeded || s.watch.Sent != 18 || s.watch.PeakLoad < 0.95 || s.watch.PeakLoad > 1 {
		t.Fatalf("18 sends: %+v", s.watch.ColdStart)
	}
	s.watchCold(c)
	if !s.watch.BreaksRule() || s.watch.InformedShare != 1 || s.watch.TotalSent != 19 {
		t.Errorf("19 sends: %+v", s.watch.ColdStart)
	}
	s, c = watched(true)
	for range 40 { // one every 60 ms: no more than 17 in any window
		s.watchCold(c)
		s.m.now += 60e6
	}
	if s.watch.BoundExceeded || s.watch.Sent > 17 {
		t.Errorf("spread: %+v", s.watch.ColdStart)
	}
}

func TestFallByControllersThatWereNotToldBreaksNothing(t *testing.T) {
	s, untold := watched(false)
	for range 30 {
		s.watchCold(untold)
	}
	if !s.watch.BoundExceeded || s.watch.BreaksRule() {
		t.Errorf("%+v", s.watch.ColdStart)
	}
	s.m.now += 20e9 // warm
	before := s.watch.TotalSent
	s.watchCold(untold)
	if s.watch.TotalSent != before {
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
		if err != nil || !reflect.DeepEqual(timeless(r), timeless(again)) {
			t.Errorf("%s: two runs of a seed differ, %v", s.Name, err)
		}
	}
}

// With a skew some controllers see several times the mean; a shift draws the shares anew.
func TestSkewedTraffic(t *testing.T) {
	count := func(sc Scenario) (most int) {
		m := &model{Scenario: sc, rng: stream(1, streamCallers, 0)}
		for n := range sc.Controllers {
			m.controllers = append(m.controllers, &controller{n: n})
		}
		m.shareTraffic()
		by := make([]int, sc.Controllers)
		for range 20000 {
			by[m.drawController(m.rng).n]++
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
