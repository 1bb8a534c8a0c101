package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// However large the fleet, about as many of its members try the seeds and the lost members in a round.
func TestTriesDoNotGrowWithTheFleet(t *testing.T) {
	known := addresses{seeds: []string{"s1", "s2", "s3"}, saved: []string{"x"}}
	for k := range 50 {
		known.lost = append(known.lost, fmt.Sprint("lost", k))
	}
	const rounds = 400
	for _, alive := range []int{2, 4, 16, 64, 470, 940} {
		rng := rand.New(rand.NewPCG(1, 2))
		seeds, lost := 0, 0
		for range rounds * alive {
			for _, addr := range known.dueShare(rng, alive, false) {
				switch addr[0] {
				case 's':
					seeds++
				case 'l':
					lost++
				default:
					t.Fatalf("%q is tried", addr)
				}
			}
		}
		if perRound := float64(seeds) / rounds; perRound > 1.3*seedTries || alive >= 4 && perRound < 0.7*seedTries || seeds == 0 {
			t.Errorf("%d members: %v tries of seeds a round", alive, perRound)
		}
		if perRound := float64(lost) / rounds; perRound > 1.1*lostTries*rejoinAttempts || perRound < 0.9*min(lostTries, float64(alive))*rejoinAttempts {
			t.Errorf("%d members: %v tries of lost members a round", alive, perRound)
		}
	}
}

// A member that has just started tries the seeds as often as in a small fleet, for as long as that takes.
func TestAYoungMemberTriesTheSeeds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	known := addresses{seeds: []string{"s1", "s2", "s3"}}
	rounds, tries := 4000, 0
	for range rounds {
		tries += len(known.dueShare(rng, 470, true))
	}
	if perRound := float64(tries) / float64(rounds); perRound < 0.9*maxSeedShare*rejoinAttempts || perRound > 1.1*maxSeedShare*rejoinAttempts {
		t.Errorf("%v seeds a round", perRound)
	}
}

// A member that hears nobody tries whatever it knows.
func TestAloneEverythingIsTried(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	known := addresses{lost: []string{"l"}, seeds: []string{"s"}, saved: []string{"x"}}
	if got := known.any(rng); len(got) != rejoinAttempts {
		t.Error(got)
	}
	if got := (addresses{}).any(rng); len(got) != 0 {
		t.Error(got)
	}
}
