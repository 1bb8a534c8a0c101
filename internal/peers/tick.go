package peers

import (
	"context"
	"time"
)

const (
	// tickEvery is how often the module does what is due.
	tickEvery = 100 * time.Millisecond
)

// ticking has the module do what is due.
func (p *Peers) ticking(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if time.Since(time.Unix(0, p.beat.Load())) > staleAfter {
			p.woke.Store(time.Now().UnixNano())
		}
		p.beat.Store(time.Now().UnixNano())
		if p.silent() {
			continue
		}
		n := p.count()
		p.o.Do(func(now int64) { p.send(p.o.Module.Tick(now, n)) })
	}
}

// stoodStill tells whether this process has just begun to run again: what it reads then may have waited for it. Frozen, it
// has no ticks; what the kernel holds for it is read within a moment.
func (p *Peers) stoodStill() bool {
	return time.Since(time.Unix(0, p.beat.Load())) > staleAfter || time.Since(time.Unix(0, p.woke.Load())) < 2*tickEvery
}
