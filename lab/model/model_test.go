package model

import (
	"reflect"
	"testing"
	"time"

	"masthill/control"
	"masthill/control/join"
	"masthill/control/levels"
	"masthill/control/recovery"
	"masthill/control/shares"
)

func withRecovery(s control.Settings, planned float64, seed uint64, now int64) join.Chain {
	return join.Chain{recovery.New(recovery.Settings{Control: s, Planned: planned}, seed, now, nil)}
}

// withoutRealTime clears the figures that depend on the machine.
func withoutRealTime(r *Result) *Result {
	r.EventsPerSecond, r.RealSeconds, r.MemoryKB = 0, 0, 0
	return r
}

// Two runs of a seed with several faults are equal, and another seed gives another run.
func TestSameSeedSameRun(t *testing.T) {
	sc := Scenario{Seed: 3, Controllers: 7, Servers: 3, Load: 0.95, Duration: 30 * time.Second, Redials: 2, Join: withRecovery, Faults: []Fault{
		{Kind: "crash", At: 8 * time.Second}, {Kind: "slow", At: 15 * time.Second, Duration: 8 * time.Second, Magnitude: 2.5},
		{Kind: "restarts", At: 9 * time.Second, Duration: 10 * time.Second, Share: 0.9, Batch: 0.28}}}
	a, err := Run(sc)
	if err != nil {
		t.Fatal(err)
	}
	b, err := Run(sc)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(withoutRealTime(a), withoutRealTime(b)) {
		t.Errorf("%+v\n%+v", a, b)
	}
	if a.Any() || a.Restarts != 6 || a.Calls < 1500 || a.ServedShare < 0.7 {
		t.Errorf("%+v", a)
	}
	sc.Seed = 4
	if c, err := Run(sc); err != nil || c.Events == a.Events {
		t.Error("another seed gave the same run", err)
	}
}

// With the shares module, a flood of one tenant hardly affects the service of the other two; without it, it does.
func TestFloodOfOneTenant(t *testing.T) {
	run := func(join func(control.Settings, float64, uint64, int64) join.Chain) map[string]float64 {
		r, err := Run(Scenario{Seed: 2, Controllers: 7, Servers: 3, Load: 0.8, Duration: 60 * time.Second, Redials: 2, Join: join,
			Flood: &Flood{Tenant: "barrow-estate", At: 20 * time.Second, Duration: 40 * time.Second, Load: 1.5}})
		if err != nil || r.Any() {
			t.Fatalf("%+v, %v", r, err)
		}
		return r.ServedInFlood
	}
	plain := run(nil)
	fair := run(func(s control.Settings, planned float64, seed uint64, now int64) join.Chain {
		return join.Chain{shares.New(s, Tenants(), planned, seed, now)}
	})
	for _, name := range []string{"slaney-vines", "suir-growers"} {
		if fair[name] < 0.9 || fair[name] < plain[name]+0.05 {
			t.Errorf("%s: %.3f with shares, %.3f without", name, fair[name], plain[name])
		}
	}
	t.Logf("with shares %v, without %v", fair, plain)
}

// While the load alternates, the level of service changes at most once per swing, and service is no worse than without the
// module.
func TestLevelsUnderAlternatingLoad(t *testing.T) {
	sc := Scenario{Seed: 3, Controllers: 7, Servers: 3, Load: 1, Duration: 60 * time.Second, Redials: 2, RateFactor: func(at time.Duration) float64 {
		if at/(4*time.Second)%2 == 1 {
			return 1.3
		}
		return 0.9
	}}
	off, err := Run(sc)
	if err != nil {
		t.Fatal(err)
	}
	changes := map[int]int{}
	sc.Join = func(s control.Settings, planned float64, seed uint64, now int64) join.Chain {
		return join.Chain{levels.New(s, seed, now, nil, func(levels.Change) { changes[s.Ordinal]++ })}
	}
	on, err := Run(sc)
	if err != nil || on.Any() || on.ServedShare < off.ServedShare-0.02 {
		t.Errorf("%.4f with levels, %.4f without, %v", on.ServedShare, off.ServedShare, err)
	}
	if len(changes) == 0 {
		t.Error("no controller ever changed its level")
	}
	for n, k := range changes {
		if k > 7 {
			t.Errorf("controller %d changed its level %d times in 7 swings", n, k)
		}
	}
}

// Nearly all calls are served at 0.6 of plan, and not at 1.8, beyond the servers' capacity.
func TestServiceDependsOnLoad(t *testing.T) {
	calm, err := Run(Scenario{Seed: 1, Controllers: 5, Servers: 2, Load: 0.6, Duration: 20 * time.Second, Redials: 2})
	if err != nil || calm.ServedShare < 0.995 || calm.Any() || calm.CutCalls > 0 {
		t.Errorf("%+v, %v", calm, err)
	}
	over, err := Run(Scenario{Seed: 1, Controllers: 5, Servers: 2, Load: 1.8, Duration: 20 * time.Second, Redials: 2})
	if err != nil || over.ServedShare > 0.9 || over.Any() {
		t.Errorf("%+v, %v", over, err)
	}
}
