package model

import (
	"math"
	"time"
)

// ColdStart records the load that one server received from all controllers together while it was cold, compared with
// the platform's rule: a cold server falls over when it receives more than N + 2 √N + 2 requests within the window,
// where N is its budget at that time.
type ColdStart struct {
	PeakLoad      float64 `json:"load"`      // the most sent in a window, divided by that bound
	Sent          int     `json:"sent"`      // set-ups in the window of the peak load
	Budget        float64 `json:"budget"`    // N at the end of that window
	BoundExceeded bool    `json:"fell"`      // the bound was exceeded at least once
	InformedShare float64 `json:"told"`      // share from controllers that had learned of the start, when first exceeded
	InformedLoad  float64 `json:"told_load"` // peak load of the windows with over two thirds of the set-ups from such controllers
	TotalSent     int     `json:"in_total"`  // all set-ups received while cold
}

// maxInformedShare is the share of set-ups from controllers that knew of the start, above which these controllers are
// held responsible for exceeding the bound.
const maxInformedShare = 2.0 / 3

// BreaksRule tells whether the bound was exceeded with over two thirds of the set-ups from controllers that knew of the
// start.
func (c ColdStart) BreaksRule() bool { return c.BoundExceeded && c.InformedShare > maxInformedShare }

// coldSend is a set-up that reached a cold server; informed tells whether its controller knew of the server's start.
type coldSend struct {
	at       int64
	informed bool
}

// coldStartTracker records the set-ups that a server receives after one start.
type coldStartTracker struct {
	readyAt int64
	sends   []coldSend // within the last window
	ColdStart
}

// overloadBound is the number of requests in a window that a cold server with a budget of n withstands.
func overloadBound(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// recordColdSend counts a set-up that has reached the server, if the server is cold.
func (s *server) recordColdSend(from *controller) {
	m := s.model
	age := m.now - s.readyAt
	if s.readyAt <= 0 || age >= m.warmUpTime || s.silentSince > 0 {
		return
	}
	if s.coldStart == nil || s.coldStart.readyAt != s.readyAt {
		s.coldStart = &coldStartTracker{readyAt: s.readyAt}
		m.coldStarts = append(m.coldStarts, s.coldStart)
	}
	tracker := s.coldStart
	tracker.sends = append(tracker.sends, coldSend{m.now, from.offices[s.id].ReadyAt == s.readyAt})
	for tracker.sends[0].at <= m.now-m.crashWindow {
		tracker.sends = tracker.sends[1:]
	}
	capacityFraction := m.params.ColdFraction + (1-m.params.ColdFraction)*float64(age)/float64(m.warmUpTime)
	budget := m.crashMultiple * capacityFraction * m.params.Capacity() * float64(m.crashWindow) / 1e9
	informedCount := 0
	for _, send := range tracker.sends {
		if send.informed {
			informedCount++
		}
	}
	informedShare, load := float64(informedCount)/float64(len(tracker.sends)), float64(len(tracker.sends))/overloadBound(budget)
	tracker.TotalSent++
	if load > tracker.PeakLoad {
		tracker.PeakLoad, tracker.Sent, tracker.Budget = load, len(tracker.sends), budget
	}
	if informedShare > maxInformedShare {
		tracker.InformedLoad = max(tracker.InformedLoad, load)
	}
	if load > 1 && !tracker.BoundExceeded {
		tracker.BoundExceeded, tracker.InformedShare = true, informedShare
	}
}

// ColdScenes are scenes in which many servers start under difficult traffic: some controllers receive several times the
// mean rate, and processes of the fleet itself restart. Only the load on cold servers is evaluated in them.
var ColdScenes = []Scene{
	{"replace", "six servers of ten replaced within 7 s", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "replace", At: sceneStart, Duration: 7 * time.Second, Share: 0.6}}
	}},
	{"return", "three servers of ten down for 3 s, then cold", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "down", At: sceneStart, Duration: 3 * time.Second, Share: 0.3}}
	}},
	{"silent", "three servers of ten silent for 6 s, then cold", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "silent", At: sceneStart, Duration: 6 * time.Second, Share: 0.3}}
	}},
	{"killed", "six servers of ten replaced within 7 s, seven in ten controllers killed meanwhile", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "replace", At: sceneStart, Duration: 7 * time.Second, Share: 0.6}, {Kind: "kill", At: sceneStart + 4*time.Second, Share: 0.7}}
	}},
	{"rolled", "half of the servers replaced while all controllers are restarted, a tenth at a time", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "restarts", At: sceneStart, Duration: 20 * time.Second, Share: 1, Batch: 0.1},
			{Kind: "replace", At: sceneStart, Duration: 20 * time.Second, Share: 0.5}}
	}},
	{"shifted", "six servers of ten replaced within 7 s, traffic shifts between controllers, 1.8 times the calls for 6 s", func(sc *Scenario) {
		sc.RateFactor = rateJump(1.8, 6*time.Second)
		sc.Faults = []Fault{{Kind: "replace", At: sceneStart, Duration: 7 * time.Second, Share: 0.6}, {Kind: "shift", At: sceneStart + 3*time.Second}}
	}},
	{"paused", "six servers of ten replaced within 2 s, no calls for 5 s, then 2.5 times as many for 6 s", func(sc *Scenario) {
		sc.RateFactor = func(at time.Duration) float64 {
			switch since := at - sceneStart; {
			case since < 0 || since > 11*time.Second:
				return 1
			case since < 5*time.Second:
				return 0.02
			}
			return 2.5
		}
		sc.Faults = []Fault{{Kind: "replace", At: sceneStart, Duration: 2 * time.Second, Share: 0.6}}
	}},
}

// coldSceneDuration is long enough for every server that started to become warm.
const coldSceneDuration = 46 * time.Second

// ColdScenario makes a cold scene for a fleet of the given size. skew is the spread of the controllers' shares of the
// traffic, as the standard deviation of their logarithms.
func (s Scene) ColdScenario(seed uint64, controllers, servers int, skew float64) Scenario {
	sc := s.Scenario(seed, controllers, servers)
	sc.Duration, sc.Skew, sc.TrackColdStarts = coldSceneDuration, skew, true
	return sc
}
