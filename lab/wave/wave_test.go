package wave

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// program is the path of the program under test, built once.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "wave")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "masthill")
	out, err := exec.Command("go", "build", "-o", program, "masthill/cmd/masthill").CombinedOutput()
	if err != nil {
		os.Stderr.Write(out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// In a small wave, with six instances, three servers and a cold one in place of the last, no rule is broken and the cold
// server neither falls over nor reaches its refusal point.
func TestSmallWave(t *testing.T) {
	r, err := Run(t.Context(), Options{Program: program, Settings: "[recovery]\nenabled = true\n[state]\ndir = \"%DIR%\"\nevery = \"200ms\"\n", Instances: 6,
		Servers: 3, Seed: 1, WarmUp: 4 * time.Second, RestartWindow: 4 * time.Second, After: 3 * time.Second, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if r.Any() || len(r.Errors) > 0 || r.FellOver || r.MaxColdWaitMS >= r.RefusalPointMS || r.Restarts != 6 || r.Calls < 300 {
		r.Samples = nil
		t.Errorf("%+v", r)
	}
	for _, name := range []string{"wave.svg", "wave.png"} {
		file := filepath.Join(t.TempDir(), name)
		if err := Plot(r, file); err != nil {
			t.Error(err)
		}
		if text, _ := os.ReadFile(file); len(text) < 1000 {
			t.Errorf("%s: %d bytes", name, len(text))
		}
	}
}

// An instance that ends during startup is an error of the run.
func TestInstanceThatFailsToStart(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad")
	os.WriteFile(bad, []byte("#!/bin/sh\necho no >&2\nexit 2\n"), 0o700)
	if _, err := Run(t.Context(), Options{Program: bad, Instances: 1, Servers: 1, Dir: t.TempDir()}); err == nil || !strings.Contains(err.Error(), "ended at its start") {
		t.Error(err)
	}
}

// The demo of the quick start runs without a violation and shows all instances.
func TestQuickStart(t *testing.T) {
	dir, err := os.MkdirTemp("", "d") // a short path, as the length of a socket's path is limited
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	var out bytes.Buffer
	if err := Demo(t.Context(), program, dir, 6*time.Second, &out); err != nil || !strings.Contains(out.String(), "demo-2") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

// A program that is missing or not executable is an error that names the instance. Stopping an instance that never started
// must not panic.
func TestMissingProgram(t *testing.T) {
	plain := filepath.Join(t.TempDir(), "plain")
	os.WriteFile(plain, []byte("no program"), 0o600)
	for _, program := range []string{filepath.Join(t.TempDir(), "none"), plain} {
		if _, err := Run(t.Context(), Options{Program: program, Instances: 2, Servers: 1, Dir: t.TempDir()}); err == nil || !strings.Contains(err.Error(), "n0 does not start") {
			t.Error(err)
		}
	}
}

// A steady run has no restarts and no cold server, and the number of calls follows the rate factor.
func TestSteadyRun(t *testing.T) {
	r, err := Run(t.Context(), Options{Program: program, Instances: 3, Servers: 2, Seed: 1, Steady: true, WarmUp: 2 * time.Second, RestartWindow: 2 * time.Second, After: time.Second,
		RateFactor: func(at time.Duration) float64 {
			if at >= 2*time.Second {
				return 2
			}
			return 0.4
		}, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if r.Any() || len(r.Errors) > 0 || r.Restarts != 0 || len(r.ServedBySecond) != 6 || r.OfferedBySecond[3] < 2*r.OfferedBySecond[1] || r.Served < 0.5 {
		r.Samples = nil
		t.Errorf("%+v", r)
	}
}
