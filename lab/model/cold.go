package model

import (
	"math"
	"time"
)

// ColdStart is what one server got from all controllers together while it was cold, held against the platform's rule:
// a cold server falls when it gets more than N + 2 √N + 2 requests in the window, N being its budget at that time.
type ColdStart struct {
	PeakLoad      float64 `json:"load"`      // the most sent in a window, over that bound
	Sent          int     `json:"sent"`      // in that window
	Budget        float64 `json:"budget"`    // N at its end
	BoundExceeded bool    `json:"fell"`      // the bound was passed
	InformedShare float64 `json:"told"`      // the part sent by controllers that had been told of the start, at the first fall
	InformedLoad  float64 `json:"told_load"` // the same over the windows of which over two thirds came from controllers that had been told
	TotalSent     int     `json:"in_total"`  // all that it got while cold
}

// toldMost is the part of the sends of a fall beyond which controllers that had been told are to blame.
const toldMost = 2.0 / 3

// Broken tells whether the fall breaks the rule: over two thirds came from controllers that had been told.
func (c ColdStart) BreaksRule() bool { return c.BoundExceeded && c.InformedShare > toldMost }

// coldSend is a set-up that reached a cold server.
type coldSend struct {
	at   int64
	told bool
}

// coldWatch follows one start of a server.
type coldWatch struct {
	ready int64
	sends []coldSend // of the last window
	ColdStart
}

// fallBound is the number of requests in a window that a cold server with a budget of n bears.
func fallBound(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// watchCold counts a set-up that has reached a server.
func (s *server) watchCold(from *controller) {
	m := s.m
	age := m.now - s.ready
	if s.ready <= 0 || age >= m.coldSpan || s.silentAt > 0 {
		return
	}
	if s.watch == nil || s.watch.ready != s.ready {
		s.watch = &coldWatch{ready: s.ready}
		m.coldWatches = append(m.coldWatches, s.watch)
	}
	w := s.watch
	w.sends = append(w.sends, coldSend{m.now, from.list[s.id].ReadyAt == s.ready})
	for w.sends[0].at <= m.now-m.fallWindow {
		w.sends = w.sends[1:]
	}
	warmth := m.params.ColdFrom + (1-m.params.ColdFrom)*float64(age)/float64(m.coldSpan)
	budget := m.fallMultiple * warmth * m.params.Capacity() * float64(m.fallWindow) / 1e9
	told := 0
	for _, one := range w.sends {
		if one.told {
			told++
		}
	}
	toldOf, load := float64(told)/float64(len(w.sends)), float64(len(w.sends))/fallBound(budget)
	w.TotalSent++
	if load > w.PeakLoad {
		w.PeakLoad, w.Sent, w.Budget = load, len(w.sends), budget
	}
	if toldOf > toldMost {
		w.InformedLoad = max(w.InformedLoad, load)
	}
	if load > 1 && !w.BoundExceeded {
		w.BoundExceeded, w.InformedShare = true, toldOf
	}
}

// ColdScenes are days on which many servers start while the traffic makes it hard: some controllers see several times the
// mean, and processes of the fleet itself start anew. Only cold servers count in them.
var ColdScenes = []Scene{
	{"replace", "six servers of ten replaced within 7 s", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "replace", At: sceneFrom, Duration: 7 * time.Second, Share: 0.6}}
	}},
	{"return", "three servers of ten away for 3 s and back cold", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "down", At: sceneFrom, Duration: 3 * time.Second, Share: 0.3}}
	}},
	{"silent", "three servers of ten silent for 6 s and back cold", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "silent", At: sceneFrom, Duration: 6 * time.Second, Share: 0.3}}
	}},
	{"killed", "six servers of ten replaced within 7 s, seven in ten controllers killed amid it", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "replace", At: sceneFrom, Duration: 7 * time.Second, Share: 0.6}, {Kind: "kill", At: sceneFrom + 4*time.Second, Share: 0.7}}
	}},
	{"rolled", "half of the servers replaced while all controllers are restarted, a tenth at a time", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "restarts", At: sceneFrom, Duration: 20 * time.Second, Share: 1, Batch: 0.1},
			{Kind: "replace", At: sceneFrom, Duration: 20 * time.Second, Share: 0.5}}
	}},
	{"shifted", "six servers of ten replaced within 7 s, traffic shifts between controllers, 1.8 times the calls for 6 s", func(sc *Scenario) {
		sc.RateFactor = jump(1.8, 6*time.Second)
		sc.Faults = []Fault{{Kind: "replace", At: sceneFrom, Duration: 7 * time.Second, Share: 0.6}, {Kind: "shift", At: sceneFrom + 3*time.Second}}
	}},
	{"paused", "six servers of ten replaced within 2 s, no calls for 5 s, then 2.5 times as many for 6 s", func(sc *Scenario) {
		sc.RateFactor = func(at time.Duration) float64 {
			switch since := at - sceneFrom; {
			case since < 0 || since > 11*time.Second:
				return 1
			case since < 5*time.Second:
				return 0.02
			}
			return 2.5
		}
		sc.Faults = []Fault{{Kind: "replace", At: sceneFrom, Duration: 2 * time.Second, Share: 0.6}}
	}},
}

// coldLength is how long a cold scene plays: until what has started is warm.
const coldLength = 46 * time.Second

// ColdScenario is a cold scene for a fleet of a size. Skew is the spread of the controllers' shares of the traffic, as the
// standard deviation of their logarithms.
func (s Scene) ColdScenario(seed uint64, controllers, servers int, skew float64) Scenario {
	sc := s.Scenario(seed, controllers, servers)
	sc.Duration, sc.Skew, sc.TrackColdStarts = coldLength, skew, true
	return sc
}
