package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The number of attempts to join a seed, or a lost member, in a round must not grow with the fleet.
func TestJoinAttemptsDoNotGrowWithFleet(t *testing.T) {
	const rounds = 400
	for _, alive := range []int{2, 4, 16, 64, 470, 940} {
		for _, lost := range []int{0, 1, 12, 156} {
			known := addresses{seeds: []string{"s1", "s2", "s3"}, saved: []string{"x"}}
			for k := range lost {
				known.lost = append(known.lost, fmt.Sprint("lost", k))
			}
			rng := rand.New(rand.NewPCG(1, 2))
			seedTried, lostTried := 0, 0
			for range rounds * alive {
				for _, addr := range known.sampleShare(rng, alive, false) {
					switch addr[0] {
					case 's':
						seedTried++
					case 'l':
						lostTried++
					default:
						t.Fatalf("unexpected address %q", addr)
					}
				}
			}
			if perRound := float64(seedTried) / rounds; perRound > 1.3*seedTries || alive >= 4 && perRound < 0.7*seedTries || seedTried == 0 {
				t.Errorf("%d members: %v attempts to join seeds per round", alive, perRound)
			}
			want := min(lostTries*float64(lost), float64(min(rejoinAttempts, lost)*alive))
			if perRound := float64(lostTried) / rounds; perRound > 1.1*want || perRound < 0.9*want {
				t.Errorf("%d members, %d lost: got %v attempts to join lost members per round, want %v", alive, lost, perRound, want)
			}
		}
	}
}

// A member that has just started tries the seeds as often as in a small fleet, however large its fleet is.
func TestNewMemberTriesSeedsMoreOften(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	known := addresses{seeds: []string{"s1", "s2", "s3"}}
	rounds, attempts := 4000, 0
	for range rounds {
		attempts += len(known.sampleShare(rng, 470, true))
	}
	if perRound := float64(attempts) / float64(rounds); perRound < 0.9*maxSeedShare*rejoinAttempts || perRound > 1.1*maxSeedShare*rejoinAttempts {
		t.Errorf("%v attempts to join seeds per round", perRound)
	}
}

// A member that knows no other draws from all addresses that it has.
func TestAllAddressesAreSampledWhenAlone(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	known := addresses{lost: []string{"l"}, seeds: []string{"s"}, saved: []string{"x"}}
	if got := known.sample(rng); len(got) != rejoinAttempts {
		t.Error(got)
	}
	if got := (addresses{}).sample(rng); len(got) != 0 {
		t.Error(got)
	}
}
