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
	rejoinInterval = 3 * time.Second
	rejoinAttempts = 3
)

// joinLoop finds the others: by the seeds and what was remembered at first, and again while there are members that are gone
// or nobody is there.
func (p *Peers) joinLoop(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.options.Epoch, 0x6a6f696e))
	known := p.loadMembers()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = 200*time.Millisecond, rejoinInterval
	remembered := time.Now()
	for {
		p.mu.Lock()
		alive := 0
		var lost []string
		for name, m := range p.members {
			switch {
			case m.State == Alive:
				alive++
			case m.State == Gone && time.Since(m.Since) < retention:
				lost = append(lost, name+"/"+m.Addr)
			}
		}
		taken := p.nameTakenBy
		p.mu.Unlock()
		slices.Sort(lost)
		to := lost
		if alive <= 1 || taken != "" || rng.IntN(8) == 0 { // the seeds now and then, in case of two fleets that never met
			to = append(append(to, p.options.Seeds...), known...)
		}
		rng.Shuffle(len(to), func(a, b int) { to[a], to[b] = to[b], to[a] })
		for _, addr := range to[:min(len(to), rejoinAttempts)] {
			if ctx.Err() != nil {
				return
			}
			if p.isOther(addr) {
				p.list.Load().Join([]string{addr})
			}
		}
		if alive > 1 {
			pause.Reset()
			if time.Since(remembered) > rejoinInterval {
				remembered = time.Now()
				p.saveMembers()
			}
		}
		wait := rejoinInterval
		if alive <= 1 {
			wait = pause.NextBackOff()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if taken != "" {
			p.recheckName()
		}
	}
}

// isOther tells whether an address is another's: an instance does not join itself.
func (p *Peers) isOther(addr string) bool {
	if _, bare, ok := strings.Cut(addr, "/"); ok {
		addr = bare
	}
	return addr != p.Addr() && addr != p.options.Advertise
}

// recheckName asks whether the other process of this one's name is still there.
func (p *Peers) recheckName() {
	p.mu.Lock()
	taken := p.nameTakenBy
	p.mu.Unlock()
	udp, err := net.ResolveUDPAddr("udp", taken)
	if err == nil {
		_, err = p.list.Load().Ping(p.options.Name, udp)
	}
	if err != nil {
		p.mu.Lock()
		p.nameTakenBy = ""
		p.recordChange(p.options.Name, Alive, NameFree)
		p.mu.Unlock()
	}
}
