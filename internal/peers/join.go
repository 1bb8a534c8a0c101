package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// rejoinInterval is how often up to rejoinAttempts of the lost members and seeds are tried. The sides of a partition do not
	// find each other again by themselves.
	rejoinInterval = 3 * time.Second
	rejoinAttempts = 3
	// initialRejoinInterval is the first interval while no other member is found; it grows to rejoinInterval.
	initialRejoinInterval = 200 * time.Millisecond
	// lostRetention is how long lost members are tried.
	lostRetention = time.Hour
	// lostTries is how many members of a fleet try each lost member in a rejoinInterval. It is bounded because a member that
	// returns exchanges the whole list of members with each of them. Where many are lost, as in a partition, no member tries
	// more than rejoinAttempts.
	lostTries = 16.0
	// seedTries is how many members of a fleet try one of the seeds in a rejoinInterval, so that two fleets that never
	// connected find each other. One success is enough for all. maxSeedShare bounds the share of a small fleet that tries.
	seedTries    = 0.5
	maxSeedShare = 1.0 / 8
	// settlingTime is how long after its start a member tries the seeds with probability maxSeedShare, whatever the size of
	// the fleet: while a fleet starts or restarts, members exchange whole lists until gossip has caught up.
	settlingTime = 30 * time.Second
)

// joinLoop looks for other members until ctx ends. While no other member is known it tries all addresses that it has;
// afterwards it tries its share of the lost members and the seeds.
func (p *Peers) joinLoop(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.options.Epoch, 0x6a6f696e))
	saved := p.loadMembers()
	savedAt := time.Now()
	settledAt := savedAt.Add(p.options.stretched(settlingTime))
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval, interval.MaxInterval = initialRejoinInterval, rejoinInterval
	for {
		alive, lost := p.rejoinCandidates()
		nameTaken := p.nameTaken()
		known := addresses{lost: lost, seeds: p.options.Seeds, saved: saved}
		if alive <= 1 || nameTaken {
			p.join(ctx, known.sample(rng))
		} else {
			p.join(ctx, known.sampleShare(rng, alive, time.Now().Before(settledAt)))
		}
		if ctx.Err() != nil {
			return
		}
		wait := rejoinInterval
		if alive > 1 {
			interval.Reset()
			if time.Since(savedAt) > rejoinInterval {
				savedAt = time.Now()
				p.saveMembers()
			}
		} else {
			wait = interval.NextBackOff()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.options.stretched(wait)):
		}
		if nameTaken {
			p.recheckName()
		}
	}
}

// addresses are those at which other members may be found.
type addresses struct {
	lost  []string // members that were lost recently
	seeds []string
	saved []string // members that were saved by the previous process
}

// sample draws at most rejoinAttempts of all addresses, for a member that knows no other.
func (a addresses) sample(rng *rand.Rand) []string {
	all := slices.Concat(a.lost, a.seeds, a.saved)
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), rejoinAttempts)]
}

// sampleShare draws the addresses that one member of a fleet with so many alive members tries in a rejoinInterval. settling
// tells whether the member has just started.
func (a addresses) sampleShare(rng *rand.Rand, alive int, settling bool) (tried []string) {
	due := min(lostTries*float64(len(a.lost))/float64(alive), rejoinAttempts)
	attempts := int(due)
	if rng.Float64() < due-float64(attempts) {
		attempts++
	}
	tried = addresses{lost: a.lost}.sample(rng)
	tried = tried[:min(len(tried), attempts)]
	switch {
	case settling && rng.Float64() < maxSeedShare:
		tried = append(tried, addresses{seeds: a.seeds}.sample(rng)...)
	case !settling && len(a.seeds) > 0 && rng.Float64() < min(seedTries/float64(alive), maxSeedShare):
		tried = append(tried, a.seeds[rng.IntN(len(a.seeds))])
	}
	return tried
}

// rejoinCandidates counts the members that are alive, including this one, and lists those that were lost recently.
func (p *Peers) rejoinCandidates() (alive int, lost []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, m := range p.members {
		switch {
		case m.State == Alive:
			alive++
		case m.State == Gone && time.Since(m.Since) < lostRetention:
			lost = append(lost, name+"/"+m.Addr)
		}
	}
	slices.Sort(lost)
	return alive, lost
}

// join tries addresses one after the other. Success shows in the list of members.
func (p *Peers) join(ctx context.Context, addrs []string) {
	for _, addr := range addrs {
		if ctx.Err() != nil {
			return
		}
		if p.isOther(addr) {
			p.list.Load().Join([]string{addr})
		}
	}
}

// isOther tells whether an address, with or without a name, is that of another instance.
func (p *Peers) isOther(addr string) bool {
	if _, bare, ok := strings.Cut(addr, "/"); ok {
		addr = bare
	}
	return addr != p.Addr() && addr != p.options.Advertise
}

// recheckName checks whether the other process with this instance's name still answers; if not, the name is free.
func (p *Peers) recheckName() {
	p.mu.Lock()
	other := p.nameTakenBy
	p.mu.Unlock()
	addr, err := net.ResolveUDPAddr("udp", other)
	if err == nil {
		_, err = p.list.Load().Ping(p.options.Name, addr)
	}
	if err != nil {
		p.mu.Lock()
		p.nameTakenBy = ""
		p.recordChange(p.options.Name, Alive, NameFree)
		p.mu.Unlock()
	}
}
