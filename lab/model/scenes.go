package model

import (
	"fmt"
	"sort"
	"time"
)

// Scene is a named scenario that can be run with a fleet of any size.
type Scene struct {
	Name, Description string
	configure         func(sc *Scenario)
}

const (
	// sceneStart is when the event of a scene begins, sceneDuration how long a scene runs.
	sceneStart, sceneDuration = 20 * time.Second, 70 * time.Second
	swingHalfPeriod           = 4 * time.Second // the load changes after each
)

// rateJump is a rate factor that is raised for a duration from sceneStart on, and 1 otherwise.
func rateJump(factor float64, d time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= sceneStart && at < sceneStart+d {
			return factor
		}
		return 1
	}
}

var scenes = []Scene{
	{"calm", "no faults, at 0.7 of the planned load", func(sc *Scenario) { sc.Load = 0.7 }},
	{"busy", "no faults, at 0.93 of the planned load", func(*Scenario) {}},
	{"swing", "between 0.9 and 1.2 of the planned load, changing every 4 s", func(sc *Scenario) {
		sc.Load = 1
		sc.RateFactor = func(at time.Duration) float64 {
			if at > 10*time.Second && at/swingHalfPeriod%2 == 1 {
				return 1.2
			}
			return 0.9
		}
	}},
	{"jump-small", "1.4 times the calls for 9.3 s", func(sc *Scenario) { sc.RateFactor = rateJump(1.4, 9300*time.Millisecond) }},
	{"jump-short", "1.8 times the calls for 3 s", func(sc *Scenario) { sc.RateFactor = rateJump(1.8, 3*time.Second) }},
	{"jump-long", "1.8 times the calls for 9.3 s", func(sc *Scenario) { sc.RateFactor = rateJump(1.8, 9300*time.Millisecond) }},
	{"slow", "a third of the servers 2.5 times slower for 20 s", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "slow", At: sceneStart, Duration: 20 * time.Second, Share: 0.34, Magnitude: 2.5}}
	}},
	{"silent", "a seventh of the servers silent for 15 s, then cold", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "silent", At: sceneStart, Duration: 15 * time.Second, Share: 0.14}}
	}},
	{"overload", "1.15 of the planned load for 40 s", func(sc *Scenario) { sc.RateFactor = rateJump(1.15/0.93, 40*time.Second) }},
	{"herd", "seven in ten controllers killed at once, one server of eight slow", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "kill", At: sceneStart, Share: 0.7}, {Kind: "slow", At: sceneStart, Duration: 20 * time.Second, Share: 0.125, Magnitude: 3}}
	}},
	{"zone", "three servers of ten down for 5 s, then cold; one of eight slow", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "down", At: sceneStart, Duration: 5 * time.Second, Share: 0.3},
			{Kind: "slow", At: sceneStart, Duration: 20 * time.Second, Share: 0.125, Magnitude: 2.5}}
	}},
	{"split", "a fifth of the servers cut off for 6 s, lists 4 s later, one answer in fifty lost", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "cut", At: sceneStart, Duration: 6 * time.Second, Share: 0.2}, {Kind: "late", At: sceneStart - time.Second, Duration: 20 * time.Second, Magnitude: 4},
			{Kind: "lossy", At: sceneStart, Duration: 20 * time.Second, Share: 0.02}}
	}},
	{"join", "six servers of ten replaced within 7 s", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "replace", At: sceneStart, Duration: 7 * time.Second, Share: 0.6}}
	}},
	{"roll", "all controllers restarted within 25 s, half of the servers replaced", func(sc *Scenario) {
		sc.Faults = []Fault{{Kind: "restarts", At: sceneStart, Duration: 25 * time.Second, Share: 1, Batch: 0.1},
			{Kind: "replace", At: sceneStart, Duration: 25 * time.Second, Share: 0.5}}
	}},
}

// Scenes gives a copy of the list of all scenes.
func Scenes() []Scene { return append([]Scene{}, scenes...) }

// SceneByName finds a scene by its name.
func SceneByName(name string) (Scene, error) {
	var names []string
	for _, s := range scenes {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	sort.Strings(names)
	return Scene{}, fmt.Errorf("unknown scene %q; known scenes: %v", name, names)
}

// Scenario makes the scene's scenario for a fleet of the given size. The load is 0.93 of plan unless the scene sets
// another.
func (s Scene) Scenario(seed uint64, controllers, servers int) Scenario {
	sc := Scenario{Seed: seed, Controllers: controllers, Servers: servers, Load: 0.93, Duration: sceneDuration, Redials: 2}
	s.configure(&sc)
	return sc
}
