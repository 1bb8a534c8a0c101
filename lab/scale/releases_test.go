package scale

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// maxReleaseBytes is the limit of a member's traffic while no release is published, in bytes per second with all headers: one
// request per second and its answer.
const maxReleaseBytes = 1500

// A member's traffic while no release is published is bounded and does not grow with the fleet. After lost servers and a
// partitioned region, all members apply the newest release, and they do not understate the age of what they know meanwhile.
func TestReleaseTrafficIsBounded(t *testing.T) {
	program := filepath.Join(t.TempDir(), "masthill")
	if out, err := exec.Command("go", "build", "-o", program, "masthill/cmd/masthill").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	var costs []*ReleaseCost
	for n, size := range []int{20, 40} {
		cost, err := ReleaseRun{Size: size, Zones: 2, Program: program, Dir: t.TempDir(), Servers: 3, Changes: 1, ContentSize: 1024, MeasureFor: 4 * time.Second,
			OutageFor: 2 * time.Second, WithFaults: size == 40, Seed: uint64(50 + n)}.Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if cost.IdleBytes <= 0 || cost.IdleBytes > maxReleaseBytes {
			t.Errorf("%d members: %.0f bytes per second, want at most %d", size, cost.IdleBytes, maxReleaseBytes)
		}
		if cost.Missing > 0 {
			t.Errorf("%d members: %d times a member did not apply a release", size, cost.Missing)
		}
		costs = append(costs, cost)
	}
	if few, many := costs[0].IdleBytes, costs[1].IdleBytes; many > 1.1*few {
		t.Errorf("%.0f bytes per second for each of 20 members, but %.0f for each of 40", few, many)
	}
	if n := len(costs[1].Faults); n != 4 {
		t.Fatalf("%d faults, want 4", n)
	}
	for _, fault := range costs[1].Faults {
		if fault.RecoveredMS < 0 || fault.AgesTooLow > 0 {
			t.Errorf("%+v", fault)
		}
	}
}
