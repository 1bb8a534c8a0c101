package outlier

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// suspectAll makes the next refresh evaluate every server, as if all had bad reports.
func (d *Detector) suspectAll() {
	for id := range d.servers {
		d.suspects[id] = true
	}
	d.dirty = true
}

// Evaluating only the suspects gives the same decisions as evaluating all servers.
func TestSuspectsAreEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
		var detectors [2]*Detector
		for k := range detectors {
			detectors[k] = New(Config{}, "n0", "m0", 7, nil)
			detectors[k].SetServers(servers)
		}
		now := int64(100e9)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Int64Range(0, 3*second).Draw(t, "pause")
			id := rapid.SampledFrom(servers).Draw(t, "server")
			kind := rapid.SampledFrom([]Kind{Healthy, Silent, Silent, Dead, Overloaded, Cold}).Draw(t, "kind")
			from := rapid.IntRange(0, 7).Draw(t, "from")
			age := rapid.Int64Range(0, 7000).Draw(t, "age")
			for _, d := range detectors {
				if from == 0 {
					d.Observe(now, id, kind)
				} else {
					d.Receive(now, Message{From: fmt.Sprint("n", from), Machine: fmt.Sprint("m", from), Reports: []Report{{id, kind, age, 1}}})
				}
			}
			if rapid.Bool().Draw(t, "leaves") {
				listed := servers[:rapid.IntRange(1, len(servers)).Draw(t, "listed")]
				for _, d := range detectors {
					d.SetServers(listed)
				}
			}
			now += refreshInterval
			detectors[1].suspectAll()
			for _, id := range servers {
				avoided, reason := detectors[0].Avoid(now, id)
				wanted, why := detectors[1].Avoid(now, id)
				if avoided != wanted || reason != why {
					t.Fatalf("server %d: %v %q, wanted %v %q", id, avoided, reason, wanted, why)
				}
			}
			if got, want := detectors[0].Decisions(now), detectors[1].Decisions(now); !reflect.DeepEqual(got, want) {
				t.Fatalf("%+v, wanted %+v", got, want)
			}
		}
	})
}

// A server that all instances see healthy causes no evaluation, however many reports arrive.
func TestHealthyServersAreNoSuspects(t *testing.T) {
	d := New(Config{}, "n0", "m0", 7, nil)
	var servers []uint64
	for id := range uint64(470) {
		servers = append(servers, id+1)
	}
	d.SetServers(servers)
	d.Avoid(100e9, 1)
	for k := range 30 {
		m := Message{From: fmt.Sprint("n", k+1), Machine: fmt.Sprint("m", k+1)}
		for n := range MaxReports {
			m.Reports = append(m.Reports, Report{Server: servers[(k*17+n)%len(servers)], Kind: Healthy})
		}
		d.Receive(101e9, m)
	}
	if d.dirty || len(d.suspects) != 0 {
		t.Errorf("%d suspects, dirty %v", len(d.suspects), d.dirty)
	}
	d.Observe(101e9, 3, Silent)
	if d.Avoid(102e9, 1); len(d.suspects) != 1 {
		t.Errorf("%d suspects, wanted 1", len(d.suspects))
	}
	d.Observe(103e9, 3, Healthy)
	if d.Avoid(104e9, 1); len(d.suspects) != 0 {
		t.Errorf("%d suspects, wanted none", len(d.suspects))
	}
}
