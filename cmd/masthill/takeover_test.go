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

// launchGate names a file that has to exist before a launched process claims its folder: tests order launches by it.
const launchGate = "MASTHILL_TEST_LAUNCH_GATE"

// waitForFile waits until a file exists, a minute at most; an empty path is no gate.
func waitForFile(path string) {
	for end := time.Now().Add(time.Minute); path != "" && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if _, err := os.Stat(path); err == nil {
			return
		}
	}
}

// launched are the processes that were started with a gate, whether they have passed it or not.
func launched(gate string) (pids []string) {
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

// untilLaunched waits for the process behind a gate.
func (b *fleetBed) untilLaunched(gate string) {
	b.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if len(launched(gate)) == 1 {
			return
		}
	}
	b.t.Fatalf("no process behind %s", gate)
}

// kill ends the supervisor without a word.
func (b *fleetBed) kill() {
	b.up.Process.Kill()
	b.up.Wait()
}

// A supervisor is killed after it has launched an instance and before it has written that down. The instance claims its
// folder only when the next supervisor has launched another one. The first runs and is taken over; the second ends, and is
// no crash.
func TestASupervisorIsKilledWhileItLaunches(t *testing.T) {
	first, second := filepath.Join(t.TempDir(), "first"), filepath.Join(t.TempDir(), "second")
	t.Setenv(launchGate, first)
	b := newFleet(t, 1)
	b.untilLaunched(first)
	b.kill()
	if err := os.Remove(filepath.Join(b.spec.Dir, "fleet.json")); err != nil {
		t.Fatal(err)
	}
	t.Setenv(launchGate, second)
	b.start()
	b.untilLaunched(second)
	open := func(gate string) {
		if err := os.WriteFile(gate, nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	open(first)
	waitForFile(filepath.Join(b.spec.Dir, "0", "run.json"))
	open(second)
	s := b.until("taken over", func(s *fleet.Status) bool { return serving(s) && len(launched(second)) == 0 })
	if m := s.Instances[0]; m.UnexpectedExits != 0 {
		t.Errorf("a launch beside a running instance counts as a crash: %+v", m)
	}
	if n := b.processes(); n != 1 {
		t.Errorf("%d instances of 1", n)
	}
}

// The same, but what was launched is written down: its address is in use until it claims its folder, so that no other one
// is launched beside it.
func TestAnInstanceClaimsItsFolderLate(t *testing.T) {
	gate := filepath.Join(t.TempDir(), "gate")
	t.Setenv(launchGate, gate)
	b := newFleet(t, 1)
	b.untilLaunched(gate)
	b.kill()
	b.start()
	b.until("supervised", func(s *fleet.Status) bool { return len(s.Instances) == 1 })
	if err := os.WriteFile(gate, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	s := b.until("taken over", serving)
	if m := s.Instances[0]; m.UnexpectedExits != 0 || m.Generation != "1" {
		t.Errorf("%+v", m)
	}
	if n := b.processes(); n != 1 {
		t.Errorf("%d instances of 1", n)
	}
}

// An instance that ends while it has no supervisor takes its listening socket with it; the next supervisor opens it at the
// same address.
func TestAnInstanceEndsWithoutASupervisor(t *testing.T) {
	b := newFleet(t, 1)
	before := b.until("up", serving).Instances[0]
	b.kill()
	syscall.Kill(before.PID, syscall.SIGKILL)
	b.start()
	after := b.until("up again", serving).Instances[0]
	if after.Listen != before.Listen {
		t.Errorf("it listens at %s, and did at %s", after.Listen, before.Listen)
	}
}
