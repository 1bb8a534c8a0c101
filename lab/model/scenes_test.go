package model

import (
	"testing"
	"time"
)

// No scene breaks a rule. Service is good before the event of each scene begins and, except in the harmless scenes, is worse
// during it.
func TestScenes(t *testing.T) {
	harmless := map[string]bool{"calm": true, "busy": true, "swing": true, "jump-short": true, "jump-small": true, "overload": true, "slow": true, "roll": true}
	for _, s := range Scenes() {
		r, err := Run(s.Scenario(5, 8, 4))
		if err != nil {
			t.Fatal(err)
		}
		if r.Any() || r.Calls < 3000 {
			t.Errorf("%s: %d calls, %+v", s.Name, r.Calls, r.Violations)
		}
		before, in := 0.0, 0.0
		for k := range 5 {
			before, in = before+r.ServedBySecond[2+k]/5, in+r.ServedBySecond[20+k]/5
		}
		if before < 0.9 { // some of these calls last long enough to be cut during the event
			t.Errorf("%s: %.3f served before the event", s.Name, before)
		}
		if !harmless[s.Name] && in > 0.99 {
			t.Errorf("%s: %.3f served during the event", s.Name, in)
		}
		if want := map[string]int{"herd": 6, "roll": 8}[s.Name]; r.Restarts != want {
			t.Errorf("%s: %d restarts", s.Name, r.Restarts)
		}
	}
	if _, err := SceneByName("none"); err == nil {
		t.Error("an unknown scene name was accepted")
	}
}

// Messages to and from a partitioned server are delayed until the partition ends: no call is cut, and service recovers.
func TestPartitionHeals(t *testing.T) {
	sc := Scenario{Seed: 2, Controllers: 5, Servers: 2, Load: 0.5, Duration: 40 * time.Second, Redials: 2, Faults: []Fault{{Kind: "cut", At: 10 * time.Second, Duration: 5 * time.Second, Share: 0.5}}}
	r, err := Run(sc)
	if err != nil || r.Any() || r.CutCalls > 0 {
		t.Fatalf("%+v, %v", r, err)
	}
	if r.ServedBySecond[11] > 0.95 || r.ServedBySecond[30] < 0.99 {
		t.Errorf("%.3f served during the partition, %.3f after it", r.ServedBySecond[11], r.ServedBySecond[30])
	}
}
