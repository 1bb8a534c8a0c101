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
	rejoinEvery = 3 * time.Second
	rejoinSome  = 3
)

// joining finds the others: by the seeds and what was remembered at first, and again while there are members that are gone
// or nobody is there.
func (p *Peers) joining(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.o.Epoch, 0x6a6f696e))
	known := p.remembered()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = 200*time.Millisecond, rejoinEvery
	remembered := time.Now()
	for {
		p.mu.Lock()
		alive := 0
		var lost []string
		for name, m := range p.members {
			switch {
			case m.State == Alive:
				alive++
			case m.State == Gone && time.Since(m.Since) < lostFor:
				lost = append(lost, name+"/"+m.Addr)
			}
		}
		taken := p.taken
		p.mu.Unlock()
		slices.Sort(lost)
		to := lost
		if alive <= 1 || taken != "" || rng.IntN(8) == 0 { // the seeds now and then, in case of two fleets that never met
			to = append(append(to, p.o.Seeds...), known...)
		}
		rng.Shuffle(len(to), func(a, b int) { to[a], to[b] = to[b], to[a] })
		for _, addr := range to[:min(len(to), rejoinSome)] {
			if ctx.Err() != nil {
				return
			}
			if p.claims(addr) {
				p.list.Load().Join([]string{addr})
			}
		}
		if alive > 1 {
			pause.Reset()
			if time.Since(remembered) > rejoinEvery {
				remembered = time.Now()
				p.remember()
			}
		}
		wait := rejoinEvery
		if alive <= 1 {
			wait = pause.NextBackOff()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if taken != "" {
			p.retryName()
		}
	}
}

// claims tells whether an address is another's: an instance does not join itself.
func (p *Peers) claims(addr string) bool {
	if _, bare, ok := strings.Cut(addr, "/"); ok {
		addr = bare
	}
	return addr != p.Addr() && addr != p.o.Advertise
}

// retryName asks whether the other process of this one's name is still there.
func (p *Peers) retryName() {
	p.mu.Lock()
	taken := p.taken
	p.mu.Unlock()
	udp, err := net.ResolveUDPAddr("udp", taken)
	if err == nil {
		_, err = p.list.Load().Ping(p.o.Name, udp)
	}
	if err != nil {
		p.mu.Lock()
		p.taken = ""
		p.note(p.o.Name, Alive, NameFree)
		p.mu.Unlock()
	}
}
