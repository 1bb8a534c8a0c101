package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"masthill/control"
	"masthill/internal/config"
	"masthill/lab/model"
)

// The modules that experiments use as "run" are those that deploy/masthill.toml enables.
func TestAsRun(t *testing.T) {
	text, err := os.ReadFile("../../deploy/masthill.toml")
	if err != nil {
		t.Fatal(err)
	}
	p, err := config.ParseOperatorSettings("masthill.toml", string(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for name, on := range map[string]bool{"recovery": p.Recovery.Enabled, "levels": p.Levels.Enabled, "shares": p.Shares.Enabled, "goodput": p.Goodput.Enabled} {
		if on {
			want = append(want, name)
		}
	}
	slices.Sort(want)
	got, twice := deployedModules(control.Settings{Classes: []control.Class{{TargetDelay: 1e9, Deadline: 9e9}}}, 66, 1, 0).Names()
	if slices.Sort(got); twice || !slices.Equal(got, want) {
		t.Errorf("the settings enable %v, experiments use %v", want, got)
	}
}

func TestSeeds(t *testing.T) {
	for text, want := range map[string][]uint64{"3": {3}, "2-4": {2, 3, 4}, "4-2": nil, "": nil, "a-b": nil, "1-100000": nil, "-1": nil} {
		got, err := seeds(text)
		if !reflect.DeepEqual(got, want) || (err == nil) != (want != nil) {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
}

// Reproduces lasting congestion at a size that CI has time for: many servers that each take few calls. After a jump of
// the load, a fleet without modules beside control does not recover; with them, most of what such servers can handle is
// served. Also checks that the result and plot files are written.
func TestTheJam(t *testing.T) {
	dir := t.TempDir()
	runJam := func(plain bool) (served, after float64) {
		c := jamCmd{Controllers: 24, Servers: 24, Planned: 66, Load: 0.93, Times: 1.8, For: 9300 * time.Millisecond, Seeds: "1-4", Redials: 2, Line: "setups-first",
			Plain: plain, JSON: filepath.Join(dir, "jam.json")}
		if err := c.Run(context.Background()); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(c.JSON)
		if err != nil {
			t.Fatal(err)
		}
		var all []*model.Result
		if err := json.Unmarshal(text, &all); err != nil || len(all) != 4 || len(all[0].ServedBySecond) < 80 {
			t.Fatal(all, err)
		}
		if info, err := os.Stat(filepath.Join(dir, "jam.svg")); err != nil || info.Size() < 1000 {
			t.Error("the plot is missing or too small", err)
		}
		for _, r := range all {
			served, after = served+r.ServedShare/4, after+servedShare(r.ServedBySecond, r.OfferedBySecond, 45, 80)/4
		}
		return served, after
	}
	plain, plainAfter := runJam(true)
	run, runAfter := runJam(false)
	if plainAfter > 0.45 {
		t.Errorf("without the modules the fleet recovered: %.3f served at the end", plainAfter)
	}
	if run < plain+0.2 || runAfter < plainAfter+0.2 {
		t.Errorf("%.3f served, %.3f at the end; without the modules %.3f and %.3f", run, runAfter, plain, plainAfter)
	}
}
