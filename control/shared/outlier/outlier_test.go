package outlier

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// newDetectors makes n detectors, each on a machine of its own.
func newDetectors(n int, servers ...uint64) (all []*Detector) {
	for k := range n {
		d := New(Config{}, fmt.Sprint("n", k), fmt.Sprint("m", k), uint64(k), nil)
		d.SetServers(servers)
		all = append(all, d)
	}
	return all
}

func exchangeReports(now int64, all []*Detector) {
	for _, d := range all {
		m := d.Broadcast(now)
		for _, o := range all {
			o.Receive(now+10e6, m)
		}
	}
}

func countAvoiding(now int64, all []*Detector, server uint64) (n int) {
	for _, d := range all {
		if is, _ := d.Avoid(now, server); is {
			n++
		}
	}
	return n
}

func TestAServerThatGoesSilentIsAvoidedByAll(t *testing.T) {
	all := newDetectors(12, 1, 2, 3, 4)
	now := int64(100e9)
	for k, d := range all { // all have seen it healthy recently
		d.Observe(now-int64(k)*100e6, 1, Healthy)
	}
	exchangeReports(now, all)
	now += 3e9 // own evidence is no longer fresh
	for _, d := range all[:4] {
		d.Observe(now, 1, Silent)
		now += 50e6
	}
	exchangeReports(now, all)
	if n := countAvoiding(now+20e6, all, 1); n != 0 {
		t.Fatalf("%d avoid it with 4 bad reports of 6", n)
	}
	all[4].Observe(now, 1, Silent)
	exchangeReports(now+100e6, all)
	if n := countAvoiding(now+200e6, all, 1); n != 12 {
		t.Fatalf("%d of 12 avoid it", n)
	}
	if n := countAvoiding(now+200e6, all, 2); n != 0 {
		t.Fatalf("%d avoid another server", n)
	}
}

func TestSingleMachineDecidesNothing(t *testing.T) {
	all := newDetectors(8, 1, 2, 3, 4)
	now := int64(100e9)
	for range 100 {
		now += 100e6
		all[0].Observe(now, 1, Dead)
		m := all[0].Broadcast(now)
		for k := range 5 { // as if from five instances on its machine
			m.From = fmt.Sprint("liar", k)
			for _, d := range all {
				d.Receive(now, m)
			}
		}
	}
	if n := countAvoiding(now, all, 1); n != 0 {
		t.Fatalf("%d avoid it on the reports of one machine", n)
	}
	if v := all[3].Decisions(now); len(v) != 1 || v[0].Reason != FewObservers || len(v[0].Observers) != 1 {
		t.Errorf("%+v", v)
	}
}

func TestOwnEvidenceOverridesReports(t *testing.T) {
	all := newDetectors(7, 1, 2, 3, 4)
	now := int64(100e9)
	for _, d := range all[:6] {
		d.Observe(now, 1, Silent)
	}
	all[6].Observe(now-500e6, 1, Healthy)
	exchangeReports(now, all)
	if is, _ := all[6].Avoid(now+20e6, 1); is {
		t.Error("avoided by the instance that has just seen it healthy")
	}
	if is, _ := all[5].Avoid(now+20e6, 1); !is {
		t.Error("not avoided by the others")
	}
}

func TestAvoidedShareIsLimited(t *testing.T) {
	all := newDetectors(8, 1, 2, 3, 4, 5, 6, 7, 8)
	now := int64(100e9)
	for _, d := range all {
		for id := uint64(1); id <= 8; id++ {
			d.Observe(now, id, Dead)
		}
	}
	exchangeReports(now, all)
	out := 0
	for id := uint64(1); id <= 8; id++ {
		if is, _ := all[0].Avoid(now+20e6, id); is {
			out++
		}
	}
	if out != 2 {
		t.Errorf("%d of 8 avoided, wanted 2", out)
	}
}

func TestDecisionsExpireAtDifferentTimes(t *testing.T) {
	all := newDetectors(20, 1, 2, 3, 4)
	now := int64(100e9)
	for _, d := range all {
		d.Observe(now, 1, Silent)
	}
	exchangeReports(now, all)
	var when []int64
	left := 20
	for range 200 {
		now += 100e6
		if n := countAvoiding(now, all, 1); n < left {
			left = n
			when = append(when, now)
		}
	}
	if left != 0 {
		t.Fatalf("%d still avoid it after 20 s", left)
	}
	if len(when) < 8 || when[len(when)-1]-when[0] < 3e9 {
		t.Errorf("avoidance ends at %d different times within %d ms", len(when), (when[len(when)-1]-when[0])/1e6)
	}
}

func TestHealthyReportsEndAvoidance(t *testing.T) {
	all := newDetectors(8, 1, 2, 3, 4)
	now := int64(100e9)
	for _, d := range all {
		d.Observe(now, 1, Dead)
	}
	exchangeReports(now, all)
	if countAvoiding(now+20e6, all, 1) != 8 {
		t.Fatal("not avoided")
	}
	now += 1e9
	all[0].Observe(now, 1, Healthy)
	all[1].Observe(now, 1, Healthy)
	exchangeReports(now, all)
	if n := countAvoiding(now+20e6, all, 1); n != 0 {
		t.Errorf("%d still avoid it", n)
	}
	if !all[5].RestartedWithin(now+20e6, 1, 15e9) || all[5].RestartedWithin(now+20e6, 2, 15e9) {
		t.Error("the restarted server is not cold, or another one is")
	}
}

// When one server replaces another among the avoided ones, the end of the old decision is reported before the new one.
func TestEndedDecisionsAreReportedFirst(t *testing.T) {
	avoided := map[uint64]bool{}
	d := New(Config{}, "me", "here", 1, func(v Decision) {
		if delete(avoided, v.Server); v.Avoided {
			avoided[v.Server] = true
		}
		if len(avoided) > 1 {
			t.Errorf("%v are avoided at once", avoided)
		}
	})
	d.SetServers([]uint64{1, 2, 3, 4})
	now := int64(100e9)
	report := func(server uint64, observers int) {
		for k := range observers {
			d.Receive(now, Message{From: fmt.Sprint("n", k), Machine: fmt.Sprint("m", k), Reports: []Report{{Server: server, Kind: Dead, Streak: 1}}})
		}
		now += 100e6
		d.Avoid(now, 1)
	}
	report(1, 3)
	report(2, 5) // more observers than for server 1
	if !avoided[2] || avoided[1] {
		t.Errorf("%v are avoided", avoided)
	}
	report(1, 6)
	if !avoided[1] {
		t.Errorf("%v are avoided", avoided)
	}
}

// Whatever is reported, a server is never avoided on the reports of fewer than two machines, no more than the allowed share
// is avoided, and a decision names the observers it rests on.
func TestRandomReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
		d := New(Config{}, "me", "here", 1, nil)
		d.SetServers(ids)
		now := int64(100e9)
		bad := map[uint64]map[string]int64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400e6).Draw(t, "gap")
			id := rapid.SampledFrom(ids).Draw(t, "server")
			k := Kind(rapid.IntRange(0, 6).Draw(t, "kind"))
			if rapid.IntRange(0, 4).Draw(t, "own") == 0 {
				k = min(k, Cold)
				d.Observe(now, id, k)
				recordBad(bad, id, "here", k, now)
				continue
			}
			machine := fmt.Sprint("m", rapid.IntRange(0, 5).Draw(t, "machine"))
			age := rapid.Int64Range(-10, 8000).Draw(t, "age")
			d.Receive(now, Message{From: machine + rapid.SampledFrom([]string{"a", "b"}).Draw(t, "instance"), Machine: machine, Reports: []Report{{id, k, age, 1}, {99, Dead, 0, 1}}})
			if age >= 0 && age <= 6000 {
				recordBad(bad, id, machine, k, now-age*1e6)
			}
		}
		out := 0
		for _, v := range d.Decisions(now) {
			if !v.Avoided {
				continue
			}
			out++
			if w := slices.Compact(slices.Sorted(slices.Values(v.Observers))); len(w) < 2 || len(bad[v.Server]) < 2 {
				t.Fatalf("avoided on %v: %v", w, bad[v.Server])
			}
		}
		if out > 2 {
			t.Fatalf("%d of 8 avoided", out)
		}
	})
}

func recordBad(bad map[uint64]map[string]int64, id uint64, machine string, k Kind, at int64) {
	if k == Silent || k == Dead {
		if bad[id] == nil {
			bad[id] = map[string]int64{}
		}
		bad[id][machine] = at
	}
}
