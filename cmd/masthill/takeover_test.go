package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"masthill/internal/fleet"
)

// launchGate is the environment variable with the path of a file that has to exist before a launched process claims its
// directory. Tests control the order of launches by it.
const launchGate = "MASTHILL_TEST_LAUNCH_GATE"

// waitForFile waits until a file exists, for a minute at most. It returns at once if the path is empty.
func waitForFile(path string) {
	for end := time.Now().Add(time.Minute); path != "" && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if _, err := os.Stat(path); err == nil {
			return
		}
	}
}

// launchedProcesses are the processes that were launched with a gate and have not become the program yet.
func launchedProcesses(gate string) (pids []string) {
	files, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, file := range files {
		environment, err := os.ReadFile(file)
		if err != nil || !strings.Contains(string(environment), launchGate+"="+gate) {
			continue
		}
		command, _ := os.ReadFile(filepath.Join(filepath.Dir(file), "cmdline"))
		if strings.Contains(string(command), "\x00launch\x00") {
			pids = append(pids, filepath.Base(filepath.Dir(file)))
		}
	}
	return pids
}

// waitForLaunch waits for the process that waits at a gate.
func (b *fleetFixture) waitForLaunch(gate string) {
	b.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if len(launchedProcesses(gate)) == 1 {
			return
		}
	}
	b.t.Fatalf("no process waits at %s", gate)
}

// killSupervisor ends the supervisor with SIGKILL.
func (b *fleetFixture) killSupervisor() {
	b.supervisor.Process.Kill()
	b.supervisor.Wait()
}

// A supervisor is killed after it has launched an instance and before it has recorded that. The instance claims its
// directory only when the next supervisor has launched another one. The first process runs and is taken over; the
// second ends, which does not count as a crash.
func TestASupervisorIsKilledWhileItLaunches(t *testing.T) {
	first, second := filepath.Join(t.TempDir(), "first"), filepath.Join(t.TempDir(), "second")
	t.Setenv(launchGate, first)
	b := newFleet(t, 1)
	b.waitForLaunch(first)
	b.killSupervisor()
	if err := os.Remove(filepath.Join(b.spec.Dir, "fleet.json")); err != nil {
		t.Fatal(err)
	}
	t.Setenv(launchGate, second)
	b.start()
	b.waitForLaunch(second)
	open := func(gate string) {
		if err := os.WriteFile(gate, nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	open(first)
	waitForFile(filepath.Join(b.spec.Dir, "0", "run.json"))
	open(second)
	s := b.waitUntil("taken over", func(s *fleet.Status) bool { return allServing(s) && len(launchedProcesses(second)) == 0 })
	if m := s.Instances[0]; m.UnexpectedExits != 0 {
		t.Errorf("a launch beside a running instance counted as a crash: %+v", m)
	}
	if n := b.countProcesses(); n != 1 {
		t.Errorf("%d instances of 1", n)
	}
}

// A supervisor is killed after it has recorded the launch of an instance. Its address counts as in use until the
// instance claims its directory, so no other instance is launched beside it.
func TestAnInstanceClaimsItsFolderLate(t *testing.T) {
	gate := filepath.Join(t.TempDir(), "gate")
	t.Setenv(launchGate, gate)
	b := newFleet(t, 1)
	b.waitForLaunch(gate)
	b.killSupervisor()
	b.start()
	b.waitUntil("supervised", func(s *fleet.Status) bool { return len(s.Instances) == 1 })
	if err := os.WriteFile(gate, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	s := b.waitUntil("taken over", allServing)
	if m := s.Instances[0]; m.UnexpectedExits != 0 || m.Generation != "1" {
		t.Errorf("%+v", m)
	}
	if n := b.countProcesses(); n != 1 {
		t.Errorf("%d instances of 1", n)
	}
}

// When an instance ends while it has no supervisor, its listening socket is closed with it. The next supervisor opens a
// new one at the same address.
func TestAnInstanceEndsWithoutASupervisor(t *testing.T) {
	b := newFleet(t, 1)
	before := b.waitUntil("up", allServing).Instances[0]
	b.killSupervisor()
	syscall.Kill(before.PID, syscall.SIGKILL)
	b.start()
	after := b.waitUntil("up again", allServing).Instances[0]
	if after.Listen != before.Listen {
		t.Errorf("it listens at %s, before at %s", after.Listen, before.Listen)
	}
}
