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

// program is the program under test, brokenProgram a build of it that can omit a check.
var program, brokenProgram string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		panic(err)
	}
	program, brokenProgram = filepath.Join(dir, "masthill"), filepath.Join(dir, "broken")
	for _, args := range [][]string{{"build", "-o", program, "masthill/cmd/masthill"}, {"build", "-tags", "broken", "-o", brokenProgram, "masthill/cmd/masthill"}} {
		if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
			os.Stderr.Write(out)
			os.Exit(1)
		}
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const shortPlan = `
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

const shortPlanFaults = `
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

// runPlan runs a plan with a fixed seed.
func runPlan(t *testing.T, text string, o Options) *Result {
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

func TestFleetUnderFaultsHasNoFindings(t *testing.T) {
	t.Parallel()
	r := runPlan(t, shortPlan+shortPlanFaults, Options{})
	if r.Failed() {
		t.Errorf("%v %v %v", r.Violations, r.Findings, r.Errors)
	}
	if r.Calls < 300 || r.Processes != 7 || r.MaxInUse < 0.5 || r.Counts < 500 || len(r.Faults) != 6 || r.ConvergedS < 0 {
		t.Errorf("too little activity, or no convergence after the faults: %d calls, %+v, %d faults", r.Calls, r.Findings, len(r.Faults))
	}
	file := filepath.Join(t.TempDir(), "rig.svg")
	if err := Plot(r, file); err != nil {
		t.Error(err)
	}
}

// Each check that the program omits leads to wrong claims, which the checker must find.
func TestOmittedChecksAreFound(t *testing.T) {
	t.Parallel()
	for omitted, findingCount := range map[string]func(*Result) int{
		lease.CheckReservations: func(r *Result) int { return r.Overspent },
		count.CheckMerge:        func(r *Result) int { return r.OutOfBounds },
		outlier.CheckObservers:  func(r *Result) int { return r.Unfounded },
	} {
		t.Run(omitted, func(t *testing.T) {
			t.Parallel()
			text := shortPlan
			if omitted == outlier.CheckObservers { // needs silent servers, which instances then report
				// Whether one such fault shows the omission depends on which instances get calls then, so there are four.
				text = strings.Replace(text, `for = "16s"`, `for = "28s"`, 1)
				for k, at := range []string{"3s", "9s", "15s", "21s"} {
					text += fmt.Sprintf("[[fault]]\nkind = \"silent\"\nat = %q\nfor = \"3s\"\nwho = [%d]\n", at, k%3)
				}
			}
			r := runPlan(t, text, Options{Program: brokenProgram, Env: []string{"MASTHILL_WITHOUT=" + omitted}})
			if findingCount(r) == 0 {
				t.Errorf("no findings: %+v", r.Findings)
			}
		})
	}
}

func TestPlansAreReadAndChecked(t *testing.T) {
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

func TestProgramThatDoesNotStartIsAnError(t *testing.T) {
	p, err := Parse("x", shortPlan)
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

// The checker must find wrong claims among made-up ones, and accept the others.
func TestCheckClaims(t *testing.T) {
	at := func(seconds float64) int64 { return int64(seconds * 1e9) }
	newClaim := func(from, until float64, rate int64) claim {
		return claim{at(from), lease.Claim{Budget: "b", Floor: 1000, Rate: rate, Until: at(until), Size: 10_000}}
	}
	newProcess := func(name string, claims ...claim) *process {
		return &process{name: name, epoch: 1, to: math.MaxInt64, claims: claims}
	}
	limits := bounds{instances: 2, servers: 8, machineOf: map[string]string{"a": "m1", "b": "m2", "c": "m1"}, maxDelay: 2e9, burst: 0.5, maxAvoidedShare: 0.25}
	for _, c := range []struct {
		name string
		all  []*process
		want int
	}{
		{"within the pool", []*process{newProcess("a", newClaim(1, 3, 4000)), newProcess("b", newClaim(2, 4, 4000))}, 0},
		{"one after the other", []*process{newProcess("a", newClaim(1, 3, 8000)), newProcess("b", newClaim(3, 5, 8000))}, 0},
		{"reduced before", []*process{newProcess("a", newClaim(1, 9, 8000), newClaim(2, 9, 2000)), newProcess("b", newClaim(3, 5, 6000))}, 0},
		{"overlapping", []*process{newProcess("a", newClaim(1, 3, 8000)), newProcess("b", newClaim(2.9, 5, 1000))}, 1},
		{"renewed before its end", []*process{newProcess("a", newClaim(1, 3, 8000), newClaim(2, 4, 8000)), newProcess("b", newClaim(3.5, 5, 1000))}, 1},
	} {
		if f := checkClaims(c.all, limits); f.Overspent != c.want {
			t.Errorf("%s: %+v", c.name, f)
		}
	}
	killed := newProcess("a", newClaim(1, 9, 8000))
	killed.to = at(2)
	if f := checkClaims([]*process{killed, newProcess("b", newClaim(3, 5, 8000))}, limits); f.Overspent != 0 {
		t.Errorf("the claim of a process that has ended still counts: %+v", f)
	}
	newCounting := func(name string, reported map[string]int64, age int64) *process {
		p := newProcess(name)
		for n := range 12 {
			s := snapshot{at: at(float64(n)), alive: 2}
			s.KnownCounts = []count.KnownCounts{{Source: count.Source{Name: name, Epoch: 1}, Counts: map[string]int64{"o/": int64(10 * n)}}}
			if reported != nil && n == 10 {
				s.KnownCounts = append(s.KnownCounts, count.KnownCounts{Source: count.Source{Name: "b", Epoch: 1}, Counts: reported, AgeMS: age})
				s.Snapshot.Counts = []shared.KeyReading{{Key: "o/", Reading: count.Reading{LowerBound: reported["least"], UpperBound: 1000}}}
			}
			p.snapshots = append(p.snapshots, s)
		}
		return p
	}
	for reported, want := range map[[2]int64]int{{100, 0}: 0, {110, 0}: 0, {120, 0}: 1, {70, 0}: 1, {70, 1500}: 0} {
		if f := checkClaims([]*process{newCounting("a", map[string]int64{"o/": reported[0]}, reported[1]), newCounting("b", nil, 0)}, limits); f.OutOfBounds != want {
			t.Errorf("%v: %+v", reported, f)
		}
	}
	if f := checkClaims([]*process{newCounting("a", map[string]int64{"o/": 100, "least": 900}, 0), newCounting("b", nil, 0)}, limits); f.OutOfBounds == 0 {
		t.Error("a lower bound above the true count is not found")
	}
	newDeciding := func(observers ...string) *process {
		p := newProcess("a")
		p.decisions = []outlier.Decision{{Server: 1, Avoided: true, Observers: observers}}
		return p
	}
	if f := checkClaims([]*process{newDeciding("a", "b")}, limits); f.Unfounded != 0 || f.Decisions != 1 {
		t.Errorf("%+v", f)
	}
	if f := checkClaims([]*process{newDeciding("a", "c")}, limits); f.Unfounded != 1 {
		t.Errorf("two instances on one machine count as two observers: %+v", f)
	}
	newLeader := func(name string, from, until float64) *process {
		p := newProcess(name)
		p.leaderTerms = [][2]int64{{at(from), at(until)}}
		return p
	}
	if f := checkClaims([]*process{newLeader("a", 1, 3), newLeader("b", 3, 5)}, limits); f.ConcurrentLeaders != 0 {
		t.Errorf("%+v", f)
	}
	if f := checkClaims([]*process{newLeader("a", 1, 3), newLeader("b", 2.9, 5)}, limits); f.ConcurrentLeaders != 1 {
		t.Errorf("two leaders at the same time are not found: %+v", f)
	}
}
