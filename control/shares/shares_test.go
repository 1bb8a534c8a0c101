package shares

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"masthill/control"
	"masthill/control/join"
)

func settings() control.Settings {
	return control.Settings{RetryAfter: true, MaxRetryAfter: 2 * second}
}

var threeTenants = []Tenant{{"slaney-vines", 0.55}, {"barrow-estate", 0.33}, {"suir-growers", 0.12}}

// runLoad offers each tenant's calls at the given rate per second to servers that can place capacity calls per second. It
// returns, for each tenant, the share of its calls that were placed in the second half of the time.
func runLoad(m *Shares, offered map[string]float64, capacity float64, seconds int) map[string]float64 {
	rng := rand.New(rand.NewPCG(5, 5))
	now, tokens := second, 0.0
	offeredCalls, placedCalls := map[string]float64{}, map[string]float64{}
	total := 0.0
	for _, r := range offered {
		total += r
	}
	for n := 0; now < int64(seconds)*second; n++ {
		d := rng.ExpFloat64() / total
		now += int64(d * 1e9)
		tokens = min(tokens+d*capacity, capacity/2)
		u := rng.Float64() * total
		name := ""
		for _, t := range []string{"slaney-vines", "barrow-estate", "suir-growers", "x"} {
			if name = t; u < offered[t] {
				break
			}
			u -= offered[t]
		}
		secondHalf := now > int64(seconds)*second/2
		if secondHalf {
			offeredCalls[name]++
		}
		call := fmt.Sprint(n)
		if m.Admit(now, join.Call{ID: call, Tenant: name}).Kind != join.Admit {
			continue
		}
		if tokens < 1 {
			m.OnAction(now, control.Action{Kind: control.Refuse, Call: call})
			continue
		}
		tokens--
		m.OnEvent(now, control.Event{Kind: control.Established, Call: call})
		if secondHalf {
			placedCalls[name]++
		}
	}
	for name := range offeredCalls {
		placedCalls[name] /= offeredCalls[name]
	}
	return placedCalls
}

func TestOverloadByOneTenantSparesTheOthers(t *testing.T) {
	normalLoad := map[string]float64{"slaney-vines": 22, "barrow-estate": 13, "suir-growers": 5}
	if got := runLoad(New(settings(), threeTenants, 42, 1, second), normalLoad, 50, 40); got["slaney-vines"] < 0.99 || got["suir-growers"] < 0.99 {
		t.Errorf("with room for all: %v", got)
	}
	overload := map[string]float64{"slaney-vines": 22, "barrow-estate": 100, "suir-growers": 5}
	got := runLoad(New(settings(), threeTenants, 42, 1, second), overload, 50, 60)
	if got["slaney-vines"] < 0.88 || got["suir-growers"] < 0.88 || got["barrow-estate"] < 0.15 {
		t.Errorf("overload by one tenant: %v", got)
	}
	unshared := runLoad(New(settings(), nil, 42, 1, second), overload, 50, 60) // one count for all tenants, as without shares
	if unshared["slaney-vines"] > 0.6 {
		t.Errorf("the overload has no effect without shares: %v", unshared)
	}
	unnamedOverload := map[string]float64{"slaney-vines": 22, "barrow-estate": 13, "suir-growers": 5, "x": 100}
	if got := runLoad(New(settings(), threeTenants, 42, 1, second), unnamedOverload, 50, 60); got["slaney-vines"] < 0.88 || got["barrow-estate"] < 0.88 {
		t.Errorf("overload by a tenant that the settings do not name: %v", got)
	}
}

// A tenant may borrow what two others leave unused, and returns it within a second.
func TestBorrowedSharesAreReturned(t *testing.T) {
	m := New(settings(), threeTenants, 42, 1, second)
	runLoad(m, map[string]float64{"barrow-estate": 100}, 50, 30)
	if !m.Limiting() || m.capacity < 40 {
		t.Fatalf("capacity %v", m.capacity)
	}
	now := m.refilledAt
	admitted := 0
	for n := range 100 { // one second of calls from one tenant alone
		now += second / 100
		if m.Admit(now, join.Call{ID: fmt.Sprint("f", n), Tenant: "barrow-estate"}).Kind == join.Admit {
			admitted++
		}
	}
	if admitted < 35 {
		t.Errorf("%d admitted of one tenant alone, capacity %v", admitted, m.capacity)
	}
	owner := 0
	for n := range 100 { // the owner of the borrowed part returns
		now += second / 100
		m.Admit(now, join.Call{ID: fmt.Sprint("g", n), Tenant: "barrow-estate"})
		if n%5 < 2 && m.Admit(now, join.Call{ID: fmt.Sprint("s", n), Tenant: "slaney-vines"}).Kind == join.Admit && n >= 50 {
			owner++
		}
	}
	if owner < 10 { // of 20 in the second half; its part of the capacity is at least 11
		t.Errorf("the owner got %d of 20", owner)
	}
}

// In random sequences of events, the kept state is limited, the same events lead to the same decisions, nobody is
// refused while all calls can be placed, and limiting ends once that is so again.
func TestRandomHistories(t *testing.T) {
	flag.Set("rapid.seed", "9")
	flag.Set("rapid.checks", "2000")
	flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		type step struct {
			After  int64
			Kind   int
			Tenant int
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{rapid.Int64Range(0, second/5).Draw(t, "after"), rapid.IntRange(0, 5).Draw(t, "kind"), rapid.IntRange(0, 50).Draw(t, "tenant")}
		}), 1, 200).Draw(t, "steps")
		run := func() (log []join.Decision) {
			m, now := New(settings(), threeTenants, 42, 3, 100*second), 100*second
			for n, s := range steps {
				now += s.After
				call := fmt.Sprint(n)
				name := fmt.Sprint("t", s.Tenant)
				if s.Tenant < 3 {
					name = threeTenants[s.Tenant].Name
				}
				r := m.Admit(now, join.Call{ID: call, Tenant: name})
				log = append(log, r)
				if r.Kind == join.Refuse && (!m.limiting || r.Wait < second || r.Wait > 2*second) {
					t.Fatal(r, m.limiting)
				}
				if r.Kind != join.Admit {
					continue
				}
				switch s.Kind {
				case 0, 1:
					m.OnAction(now, control.Action{Kind: control.Refuse, Call: call})
				case 2:
					m.OnEvent(now, control.Event{Kind: control.Aborted, Call: call})
				case 3, 4:
					m.OnEvent(now, control.Event{Kind: control.Established, Call: call})
				}
				if len(m.states) != 4 || len(m.waiting) > len(steps) || m.capacity < 0 || m.pool > max(m.capacity, 1) {
					t.Fatalf("%+v", m)
				}
			}
			for k := range 40 { // one call per second, which succeeds
				now += second
				call := fmt.Sprint("z", k)
				if m.Admit(now, join.Call{ID: call, Tenant: "slaney-vines"}).Kind == join.Admit {
					m.OnEvent(now, control.Event{Kind: control.Established, Call: call})
				}
			}
			if m.limiting {
				t.Fatalf("limiting does not end: capacity %v, offered %v", m.capacity, m.OfferedRate(now))
			}
			return log
		}
		if !reflect.DeepEqual(run(), run()) {
			t.Fatal("the same events led to different decisions")
		}
	})
}

// fleetState holds the totals that a simulated fleet reports, and whether they are known.
type fleetState struct {
	Totals
	known bool
}

type totalsOf struct{ t *fleetState }

func (f totalsOf) Totals(int64) (Totals, bool) { return f.t.Totals, f.t.known }

// In a fleet of a hundred instances, this one sees the same rate of every tenant, so that the overload by one tenant
// shows only in the totals of the fleet.
func TestSharesGoByTheFleetsTotals(t *testing.T) {
	s := settings()
	s.GroupSize = 100
	fleet := &fleetState{known: true}
	fleet.Totals = Totals{Offered: map[string]float64{"slaney-vines": 50, "barrow-estate": 300, "suir-growers": 10}, Placed: map[string]float64{"barrow-estate": 90},
		Lost: map[string]float64{"barrow-estate": 100}}
	m := New(s, threeTenants, 100, 1, second).UseFleetTotals(totalsOf{fleet})
	now, admitted := second, map[string]int{}
	offerCalls := func(n int) {
		for k := range n {
			now += second / 10
			for _, name := range []string{"slaney-vines", "barrow-estate", "suir-growers", "x"} {
				r := m.Admit(now, join.Call{ID: fmt.Sprint(now, k, name), Tenant: name})
				if r.Kind == join.Admit {
					admitted[name]++
				} else if r.Reason != OverShare || r.Wait < second || r.Wait > 2*second {
					t.Fatalf("%+v", r)
				}
			}
		}
	}
	offerCalls(400)
	if !m.Limiting() || admitted["slaney-vines"] != 400 || admitted["suir-growers"] != 400 {
		t.Errorf("limiting %v; admitted: %v", m.Limiting(), admitted)
	}
	// The capacity is 85 to 95 per second, and the others use 60 of it: 25 to 35 of 300 calls can be placed.
	if n := admitted["barrow-estate"]; n < 20 || n > 70 {
		t.Errorf("%d of 400 calls of the overloading tenant admitted", n)
	}
	fleet.known = false // cut off from the fleet, it decides by its own counts again, which show no shortage
	clear(admitted)
	offerCalls(20)
	if m.Limiting() || admitted["barrow-estate"] < 17 { // the change is noticed at the next query of the totals
		t.Errorf("cut off: limiting %v, admitted %v", m.Limiting(), admitted)
	}
}

// Calls far beyond the planned load of the fleet are limited before the first loss is reported, but calls slightly
// beyond it are not.
func TestLimitingBeginsByThePlan(t *testing.T) {
	s := settings()
	s.GroupSize = 100
	for offered, want := range map[float64]bool{120: false, 160: true} {
		fleet := &fleetState{known: true}
		fleet.Totals = Totals{Offered: map[string]float64{"barrow-estate": offered}, Placed: map[string]float64{"barrow-estate": 100}}
		m := New(s, threeTenants, 100, 1, second).UseFleetTotals(totalsOf{fleet})
		m.Admit(2*second, join.Call{ID: "a", Tenant: "barrow-estate"})
		if m.Limiting() != want {
			t.Errorf("%v offered, 100 planned: limiting %v", offered, m.Limiting())
		}
	}
}

// Losses are reported seconds late. The capacity must not follow them far below the planned load, and tenants within
// their parts must not be refused.
func TestCapacityDoesNotFollowLateLossReports(t *testing.T) {
	s := settings()
	s.GroupSize = 100
	fleet := &fleetState{known: true}
	fleet.Totals = Totals{Offered: map[string]float64{"slaney-vines": 40, "barrow-estate": 300}, Placed: map[string]float64{"barrow-estate": 8},
		Lost: map[string]float64{"barrow-estate": 2}}
	m := New(s, threeTenants, 100, 1, second).UseFleetTotals(totalsOf{fleet})
	now, refused := second, 0
	for k := range 300 { // half a minute
		now += second / 10
		if m.Admit(now, join.Call{ID: fmt.Sprint(k), Tenant: "slaney-vines"}).Kind != join.Admit {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of 300 calls within the tenant's part refused", refused)
	}
}

// New fractions apply at once to the tenants that the settings name, and never add up to more than the whole.
func TestNewFractions(t *testing.T) {
	m := New(control.Settings{}, []Tenant{{Name: "a", Fraction: 0.5}, {Name: "b", Fraction: 0.5}}, 10, 1, 0)
	m.tenantState("a").tokens = 3
	m.SetFractions([]Tenant{{Name: "a", Fraction: 0.9}, {Name: "b", Fraction: 0.9}, {Name: "unknown", Fraction: 1}})
	for name, want := range map[string]float64{"a": 0.9 / 2.8, "b": 0.9 / 2.8, "": unnamedFraction} {
		if got := m.tenantState(name).fraction; math.Abs(got-want) > 1e-9 {
			t.Errorf("%q has %v, want %v", name, got, want)
		}
	}
	if m.tenantState("a").tokens != 3 {
		t.Error("unused tokens are lost")
	}
}
