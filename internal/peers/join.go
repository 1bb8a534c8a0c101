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
	// rejoinInterval is how often rejoinAttempts of the lost members and seeds are tried: after a partition its sides do not
	// find each other by themselves.
	rejoinInterval = 3 * time.Second
	rejoinAttempts = 3
	// firstRejoin is the first interval while no other member is found; it grows to rejoinInterval.
	initialRejoinInterval = 200 * time.Millisecond
	// retention is for how long lost members are tried.
	lostRetention = time.Hour
	// lostTries is how many members of a fleet try each lost member in a rejoinInterval: one that comes back exchanges the whole
	// list of members with each of them. Where many are lost, as in a partition, no member tries more than rejoinAttempts.
	lostTries = 16.0
	// seedTries is how many members of a fleet try one of the seeds in a rejoinInterval, for two fleets that never met. One
	// that succeeds is enough for all. maxSeedShare bounds the part of a small fleet that does.
	seedTries    = 0.5
	maxSeedShare = 1.0 / 8
	// settlingTime is how long after its start a member tries the seeds more often, in the share of a small fleet: in a fleet
	// that starts, or restarts, whole lists are exchanged until gossip has caught up.
	settlingTime = 30 * time.Second
)

// joinLoop looks for other members until ctx ends: first by the seeds and the saved addresses, and again while there are
// lost members or no others.
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

// addresses are those by which other members may be found.
type addresses struct {
	lost  []string // members that were lost recently
	seeds []string
	saved []string // members of the process before
}

// any draws from all addresses: nobody else is heard.
func (a addresses) sample(rng *rand.Rand) []string {
	all := slices.Concat(a.lost, a.seeds, a.saved)
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), rejoinAttempts)]
}

// dueShare draws what one of so many members that hear each other tries in a rejoinInterval. settling is for one that has
// just started.
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

// rejoinCandidates counts the members that are alive, this one too, and lists those that were lost recently.
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

// join tries addresses one after the other. What comes of it is seen in the members.
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

// isOther tells whether an address, with or without a name, is not this instance's own.
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
