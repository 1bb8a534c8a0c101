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
	firstRejoin = 200 * time.Millisecond
	// retention is for how long lost members are tried.
	retention = time.Hour
	// seedsOneIn is how rarely the seeds are tried while other members are alive, in case there are two fleets that never met.
	seedsOneIn = 8
)

// joinLoop looks for other members until ctx ends: first by the seeds and the saved addresses, and again while there are
// lost members or no others.
func (p *Peers) joinLoop(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.options.Epoch, 0x6a6f696e))
	saved := p.loadMembers()
	savedAt := time.Now()
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval, interval.MaxInterval = firstRejoin, rejoinInterval
	for {
		alive, candidates := p.rejoinCandidates()
		nameTaken := p.nameTaken()
		if alive <= 1 || nameTaken || rng.IntN(seedsOneIn) == 0 {
			candidates = append(append(candidates, p.options.Seeds...), saved...)
		}
		rng.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
		p.join(ctx, candidates[:min(len(candidates), rejoinAttempts)])
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
		case <-time.After(p.options.slowed(wait)):
		}
		if nameTaken {
			p.recheckName()
		}
	}
}

// rejoinCandidates counts the members that are alive, this one too, and lists those that were lost recently.
func (p *Peers) rejoinCandidates() (alive int, lost []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, m := range p.members {
		switch {
		case m.State == Alive:
			alive++
		case m.State == Gone && time.Since(m.Since) < retention:
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
