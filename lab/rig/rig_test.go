package rig

import (
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"masthill/control/shared"
	"masthill/control/shared/count"
	"masthill/control/shared/lease"
	"masthill/control/shared/outlier"
)

// program is the program under test, broken a build of it that can leave a guard out.
var program, broken string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		panic(err)
	}
	program, broken = filepath.Join(dir, "masthill"), filepath.Join(dir, "broken")
	for _, args := range [][]string{{"build", "-o", program, "masthill/cmd/masthill"}, {"build", "-tags", "broken", "-o", broken, "masthill/cmd/masthill"}} {
		if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
			os.Stderr.Write(out)
			os.Exit(1)
		}
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const short = `
instances = 6
servers = 3
for = "16s"
planned = 40
term = "1s"
budgets = true
judgements = true
shares = true
cold_every = "4s"
`

const faults = `
[[fault]]
kind = "cut"
at = "3s"
for = "2s"
who = [5]
[[fault]]
kind = "oneway"
at = "4s"
for = "3s"
who = [2, 4]
[[fault]]
kind = "freeze"
at = "5s"
for = "3s"
who = [0, 3]
[[fault]]
kind = "flap"
at = "8s"
for = "2s"
who = [1, 4]
[[fault]]
kind = "kill"
at = "6s"
for = "1s"
who = [2]
[[fault]]
kind = "noise"
at = "4s"
for = "6s"
who = [1, 2, 5]
loss = 0.2
twice = 0.2
delay = "30ms"
jitter = "200ms"
`

func play(t *testing.T, text string, o Options) *Result {
	t.Helper()
	p, err := Parse("test", text)
	if err != nil {
		t.Fatal(err)
	}
	if o.Plan, o.Seed, o.Dir = p, 3, t.TempDir(); o.Program == "" {
		o.Program = program
	}
	r, err := Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestAFleetUnderFaultsKeepsItsWord(t *testing.T) {
	t.Parallel()
	r := play(t, short+faults, Options{})
	if r.Failed() {
		t.Errorf("%v %v %v", r.Violations, r.Findings, r.Errors)
	}
	if r.Calls < 300 || r.Processes != 7 || r.MaxInUse < 0.5 || r.Counts < 500 || len(r.Faults) != 6 || r.ConvergedS < 0 {
		t.Errorf("too little was seen to say so: %d calls, %+v, %d faults", r.Calls, r.Findings, len(r.Faults))
	}
	file := filepath.Join(t.TempDir(), "rig.svg")
	if err := Plot(r, file); err != nil {
		t.Error(err)
	}
}

// Each guard that is left out shows in the claims.
func TestBrokenProgramsAreCaught(t *testing.T) {
	t.Parallel()
	for guard, found := range map[string]func(*Result) int{
		lease.CheckReservations: func(r *Result) int { return r.Overspent },
		count.CheckMerge:        func(r *Result) int { return r.OutOfBounds },
		outlier.CheckObservers:  func(r *Result) int { return r.Unfounded },
	} {
		t.Run(guard, func(t *testing.T) {
			t.Parallel()
			text := short
			if guard == outlier.CheckObservers { // one that has its servers' answers late, for the others to hear of
				// One such fault shows it or not, by whose calls come then, so there are four.
				text = strings.Replace(text, `for = "16s"`, `for = "28s"`, 1)
				for who, at := range []string{"3s", "9s", "15s", "21s"} {
					text += fmt.Sprintf("[[fault]]\nkind = \"silent\"\nat = %q\nfor = \"3s\"\nwho = [%d]\n", at, who%3)
				}
			}
			r := play(t, text, Options{Program: broken, Env: []string{"MASTHILL_WITHOUT=" + guard}})
			if found(r) == 0 {
				t.Errorf("nothing found: %+v", r.Findings)
			}
		})
	}
}

func TestThePlansRead(t *testing.T) {
	files, _ := filepath.Glob("plans/*.toml")
	if len(files) < 4 {
		t.Fatalf("%v", files)
	}
	for _, f := range files {
		if _, err := Load(f); err != nil {
			t.Error(err)
		}
	}
	for text, want := range map[string]string{
		"instances = 3\nkeepers = 2\n":                                        "x:2: keepers",
		"[[fault]]\nkind = \"cut\"\nat = \"1s\"\nfor = \"1s\"\nwho = [12]\n":  "who",
		"[[fault]]\nkind = \"cut\"\nat = \"1s\"\nfor = \"99s\"\nwho = [1]\n":  "lasts until",
		"[[fault]]\nkind = \"flood\"\nat = \"1s\"\nfor = \"9s\"\nwho = [1]\n": "kind",
		"for = \"60\"\n": "for",
	} {
		if _, err := Parse("x", text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: wanted %q, got %v", text, want, err)
		}
	}
	p, err := Load("plans/random.toml")
	if err != nil {
		t.Fatal(err)
	}
	a, b, c := p.drawFaults(7), p.drawFaults(7), p.drawFaults(8)
	if len(a) < p.RandomFaults/2 || len(a) != len(b) || len(a) > 0 && a[0].At != b[0].At || len(c) == len(a) && c[0].Duration == a[0].Duration {
		t.Errorf("%d, %d and %d faults", len(a), len(b), len(c))
	}
}

func TestAProgramThatIsMissingIsAClearError(t *testing.T) {
	p, err := Parse("x", short)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Run(t.Context(), Options{Plan: p, Program: "/nowhere/masthill", Dir: t.TempDir()}); err == nil || !strings.Contains(err.Error(), "the program to run") {
		t.Errorf("%v", err)
	}
	file := filepath.Join(t.TempDir(), "false")
	if err := os.WriteFile(file, []byte("#!/bin/sh\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Run(t.Context(), Options{Plan: p, Program: file, Dir: t.TempDir()}); err == nil || !strings.Contains(err.Error(), "ended at its start") {
		t.Errorf("%v", err)
	}
}

// The checker itself, on claims that are made up.
func TestTheCheckerFindsWhatIsWrong(t *testing.T) {
	at := func(s float64) int64 { return int64(s * 1e9) }
	holds := func(from, until float64, rate int64) claim {
		return claim{at(from), lease.Claim{Budget: "b", Floor: 1000, Rate: rate, Until: at(until), Size: 10_000}}
	}
	fresh := func(name string, claims ...claim) *process {
		return &process{name: name, epoch: 1, to: math.MaxInt64, claims: claims}
	}
	r := bounds{instances: 2, servers: 8, machineOf: map[string]string{"a": "m1", "b": "m2", "c": "m1"}, maxDelay: 2e9, burst: 0.5, maxAvoidedShare: 0.25}
	for _, c := range []struct {
		what string
		all  []*process
		want int
	}{
		{"within the pool", []*process{fresh("a", holds(1, 3, 4000)), fresh("b", holds(2, 4, 4000))}, 0},
		{"one after the other", []*process{fresh("a", holds(1, 3, 8000)), fresh("b", holds(3, 5, 8000))}, 0},
		{"cut down before", []*process{fresh("a", holds(1, 9, 8000), holds(2, 9, 2000)), fresh("b", holds(3, 5, 6000))}, 0},
		{"both", []*process{fresh("a", holds(1, 3, 8000)), fresh("b", holds(2.9, 5, 1000))}, 1},
		{"renewed over its end", []*process{fresh("a", holds(1, 3, 8000), holds(2, 4, 8000)), fresh("b", holds(3.5, 5, 1000))}, 1},
	} {
		if f := checkClaims(c.all, r); f.Overspent != c.want {
			t.Errorf("%s: %+v", c.what, f)
		}
	}
	killed := fresh("a", holds(1, 9, 8000))
	killed.to = at(2)
	if f := checkClaims([]*process{killed, fresh("b", holds(3, 5, 8000))}, r); f.Overspent != 0 {
		t.Errorf("a dead one is taken to use its part: %+v", f)
	}
	counted := func(name string, said map[string]int64, age int64) *process {
		p := fresh(name)
		for n := range 12 {
			k := snapshot{at: at(float64(n)), alive: 2}
			k.KnownCounts = []count.KnownCounts{{Source: count.Source{Name: name, Epoch: 1}, Counts: map[string]int64{"o/": int64(10 * n)}}}
			if said != nil && n == 10 {
				k.KnownCounts = append(k.KnownCounts, count.KnownCounts{Source: count.Source{Name: "b", Epoch: 1}, Counts: said, AgeMS: age})
				k.Look.Counts = []shared.KeyReading{{Key: "o/", Reading: count.Reading{LowerBound: said["least"], UpperBound: 1000}}}
			}
			p.snapshots = append(p.snapshots, k)
		}
		return p
	}
	for said, want := range map[[2]int64]int{{100, 0}: 0, {110, 0}: 0, {120, 0}: 1, {70, 0}: 1, {70, 1500}: 0} {
		if f := checkClaims([]*process{counted("a", map[string]int64{"o/": said[0]}, said[1]), counted("b", nil, 0)}, r); f.OutOfBounds != want {
			t.Errorf("%v: %+v", said, f)
		}
	}
	if f := checkClaims([]*process{counted("a", map[string]int64{"o/": 100, "least": 900}, 0), counted("b", nil, 0)}, r); f.OutOfBounds == 0 {
		t.Error("a least beyond all that was counted is not found")
	}
	judged := func(witnesses ...string) *process {
		p := fresh("a")
		p.decisions = []outlier.Decision{{Server: 1, Avoided: true, Observers: witnesses}}
		return p
	}
	if f := checkClaims([]*process{judged("a", "b")}, r); f.Unfounded != 0 || f.Decisions != 1 {
		t.Errorf("%+v", f)
	}
	if f := checkClaims([]*process{judged("a", "c")}, r); f.Unfounded != 1 {
		t.Errorf("two instances on one machine pass for two witnesses: %+v", f)
	}
	rival := func(name string, from, until float64) *process {
		p := fresh(name)
		p.leaderTerms = [][2]int64{{at(from), at(until)}}
		return p
	}
	if f := checkClaims([]*process{rival("a", 1, 3), rival("b", 3, 5)}, r); f.ConcurrentLeaders != 0 {
		t.Errorf("%+v", f)
	}
	if f := checkClaims([]*process{rival("a", 1, 3), rival("b", 2.9, 5)}, r); f.ConcurrentLeaders != 1 {
		t.Errorf("two allocators at once are not found: %+v", f)
	}
}
