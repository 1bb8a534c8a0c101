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

var three = []Tenant{{"slaney-vines", 0.55}, {"barrow-estate", 0.33}, {"suir-growers", 0.12}}

// play offers each member's calls at a rate a second, to servers that place so many a second of what is admitted, and
// gives the share of each member's calls placed in the second half.
func play(m *Shares, offered map[string]float64, capacity float64, seconds int) map[string]float64 {
	rng := rand.New(rand.NewPCG(5, 5))
	now, tokens := second, 0.0
	came, stood := map[string]float64{}, map[string]float64{}
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
		late := now > int64(seconds)*second/2
		if late {
			came[name]++
		}
		call := fmt.Sprint(n)
		if m.Admit(now, join.Call{ID: call, Tenant: name}).Verdict != join.Admit {
			continue
		}
		if tokens < 1 {
			m.OnAction(now, control.Action{Kind: control.Refuse, Call: call})
			continue
		}
		tokens--
		m.OnEvent(now, control.Event{Kind: control.Stands, Call: call})
		if late {
			stood[name]++
		}
	}
	for name := range came {
		stood[name] /= came[name]
	}
	return stood
}

func TestAFloodByOneLeavesTheOthers(t *testing.T) {
	calm := map[string]float64{"slaney-vines": 22, "barrow-estate": 13, "suir-growers": 5}
	if got := play(New(settings(), three, 42, 1, second), calm, 50, 40); got["slaney-vines"] < 0.99 || got["suir-growers"] < 0.99 {
		t.Errorf("with room for all: %v", got)
	}
	flood := map[string]float64{"slaney-vines": 22, "barrow-estate": 100, "suir-growers": 5}
	got := play(New(settings(), three, 42, 1, second), flood, 50, 60)
	if got["slaney-vines"] < 0.88 || got["suir-growers"] < 0.88 || got["barrow-estate"] < 0.15 {
		t.Errorf("flood by one: %v", got)
	}
	none := play(New(settings(), nil, 42, 1, second), flood, 50, 60) // one count for all: as without shares
	if none["slaney-vines"] > 0.6 {
		t.Errorf("the flood is none: %v", none)
	}
	strange := map[string]float64{"slaney-vines": 22, "barrow-estate": 13, "suir-growers": 5, "x": 100}
	if got := play(New(settings(), three, 42, 1, second), strange, 50, 60); got["slaney-vines"] < 0.88 || got["barrow-estate"] < 0.88 {
		t.Errorf("flood by one that the settings do not name: %v", got)
	}
}

// What two members leave a third may borrow, and it gives it back within a second.
func TestBorrowingAndGivingBack(t *testing.T) {
	m := New(settings(), three, 42, 1, second)
	play(m, map[string]float64{"barrow-estate": 100}, 50, 30)
	if !m.Limiting() || m.room < 40 {
		t.Fatalf("room %v", m.room)
	}
	now := m.filledAt
	admitted := 0
	for n := range 100 { // a second of the flood, nobody else there
		now += second / 100
		if m.Admit(now, join.Call{ID: fmt.Sprint("f", n), Tenant: "barrow-estate"}).Verdict == join.Admit {
			admitted++
		}
	}
	if admitted < 35 {
		t.Errorf("%d of a room for %v, nobody else there", admitted, m.room)
	}
	owner := 0
	for n := range 100 { // the owner is back
		now += second / 100
		m.Admit(now, join.Call{ID: fmt.Sprint("g", n), Tenant: "barrow-estate"})
		if n%5 < 2 && m.Admit(now, join.Call{ID: fmt.Sprint("s", n), Tenant: "slaney-vines"}).Verdict == join.Admit && n >= 50 {
			owner++
		}
	}
	if owner < 10 { // of 20 in the second half; its part of the room is 11 at least
		t.Errorf("the owner got %d of 20", owner)
	}
}

// Whatever comes: what is kept is bounded, the same events bring the same decisions, nobody is refused while there is room
// for all, and limiting ends once there is.
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
			m, now := New(settings(), three, 42, 3, 100*second), 100*second
			for n, s := range steps {
				now += s.After
				call := fmt.Sprint(n)
				name := fmt.Sprint("t", s.Tenant)
				if s.Tenant < 3 {
					name = three[s.Tenant].Name
				}
				r := m.Admit(now, join.Call{ID: call, Tenant: name})
				log = append(log, r)
				if r.Verdict == join.Refuse && (!m.limiting || r.Wait < second || r.Wait > 2*second) {
					t.Fatal(r, m.limiting)
				}
				if r.Verdict != join.Admit {
					continue
				}
				switch s.Kind {
				case 0, 1:
					m.OnAction(now, control.Action{Kind: control.Refuse, Call: call})
				case 2:
					m.OnEvent(now, control.Event{Kind: control.Aborted, Call: call})
				case 3, 4:
					m.OnEvent(now, control.Event{Kind: control.Stands, Call: call})
				}
				if len(m.members) != 4 || len(m.waiting) > len(steps) || m.room < 0 || m.pool > max(m.room, 1) {
					t.Fatalf("%+v", m)
				}
			}
			for k := range 40 { // a call each second, which stands
				now += second
				call := fmt.Sprint("z", k)
				if m.Admit(now, join.Call{ID: call, Tenant: "slaney-vines"}).Verdict == join.Admit {
					m.OnEvent(now, control.Event{Kind: control.Stands, Call: call})
				}
			}
			if m.limiting {
				t.Fatalf("no end: room %v, offered %v", m.room, m.OfferedRate(now))
			}
			return log
		}
		if !reflect.DeepEqual(run(), run()) {
			t.Fatal("the same events brought other decisions")
		}
	})
}

// told is a fleet whose totals are known.
type told struct {
	Totals
	known bool
}

type fleetOf struct{ t *told }

func (f fleetOf) Totals(int64) (Totals, bool) { return f.t.Totals, f.t.known }

// A fleet of a hundred instances: this one sees a call a second and none of the flood's.
func TestSharesGoByTheFleetsTotals(t *testing.T) {
	s := settings()
	s.GroupSize = 100
	fleet := &told{known: true}
	fleet.Totals = Totals{Offered: map[string]float64{"slaney-vines": 50, "barrow-estate": 300, "suir-growers": 10}, Placed: map[string]float64{"barrow-estate": 90},
		Lost: map[string]float64{"barrow-estate": 100}}
	m := New(s, three, 100, 1, second).UseFleetTotals(fleetOf{fleet})
	now, admitted := second, map[string]int{}
	ask := func(n int) {
		for k := range n {
			now += second / 10
			for _, name := range []string{"slaney-vines", "barrow-estate", "suir-growers", "x"} {
				r := m.Admit(now, join.Call{ID: fmt.Sprint(now, k, name), Tenant: name})
				if r.Verdict == join.Admit {
					admitted[name]++
				} else if r.Reason != OverShare || r.Wait < second || r.Wait > 2*second {
					t.Fatalf("%+v", r)
				}
			}
		}
	}
	ask(400)
	if !m.Limiting() || admitted["slaney-vines"] != 400 || admitted["suir-growers"] != 400 {
		t.Errorf("limiting %v; those within their parts: %v", m.Limiting(), admitted)
	}
	// 85 to 95 a second of room, 60 of it used by the others: 25 to 35 of 300 have room.
	if n := admitted["barrow-estate"]; n < 20 || n > 70 {
		t.Errorf("%d of 400 calls of the flood admitted", n)
	}
	fleet.known = false // cut off: it goes by its own again, and finds nothing wrong there
	clear(admitted)
	ask(20)
	if m.Limiting() || admitted["barrow-estate"] < 17 { // it notices with the next look at the totals
		t.Errorf("alone: limiting %v, %v", m.Limiting(), admitted)
	}
}

// What a fleet is offered far beyond its plan is limited before the first loss is told, and not where it is a little more.
func TestLimitingBeginsByThePlan(t *testing.T) {
	s := settings()
	s.GroupSize = 100
	for offered, want := range map[float64]bool{120: false, 160: true} {
		fleet := &told{known: true}
		fleet.Totals = Totals{Offered: map[string]float64{"barrow-estate": offered}, Placed: map[string]float64{"barrow-estate": 100}}
		m := New(s, three, 100, 1, second).UseFleetTotals(fleetOf{fleet})
		m.Admit(2*second, join.Call{ID: "a", Tenant: "barrow-estate"})
		if m.Limiting() != want {
			t.Errorf("%v offered, of a plan of 100: limiting %v", offered, m.Limiting())
		}
	}
}

// Losses are told seconds late: the room does not follow them far under the plan, and members within their parts keep theirs.
func TestTheRoomDoesNotFallWithLateNews(t *testing.T) {
	s := settings()
	s.GroupSize = 100
	fleet := &told{known: true}
	fleet.Totals = Totals{Offered: map[string]float64{"slaney-vines": 40, "barrow-estate": 300}, Placed: map[string]float64{"barrow-estate": 8},
		Lost: map[string]float64{"barrow-estate": 2}}
	m := New(s, three, 100, 1, second).UseFleetTotals(fleetOf{fleet})
	now, refused := second, 0
	for k := range 300 { // half a minute
		now += second / 10
		if m.Admit(now, join.Call{ID: fmt.Sprint(k), Tenant: "slaney-vines"}).Verdict != join.Admit {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of 300 calls within the member's part refused", refused)
	}
}

// New fractions count from then on, for members that the settings name, and never add up to more than the whole.
func TestNewFractions(t *testing.T) {
	m := New(control.Settings{}, []Tenant{{Name: "a", Fraction: 0.5}, {Name: "b", Fraction: 0.5}}, 10, 1, 0)
	m.member("a").tokens = 3
	m.SetFractions([]Tenant{{Name: "a", Fraction: 0.9}, {Name: "b", Fraction: 0.9}, {Name: "unknown", Fraction: 1}})
	for name, want := range map[string]float64{"a": 0.9 / 2.8, "b": 0.9 / 2.8, "": unknownFraction} {
		if got := m.member(name).fraction; math.Abs(got-want) > 1e-9 {
			t.Errorf("%q has %v, wanted %v", name, got, want)
		}
	}
	if m.member("a").tokens != 3 {
		t.Error("what a member has not used is gone")
	}
}
