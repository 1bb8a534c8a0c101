package peers

import (
	"context"
	"time"
)

const (
	// tickInterval is how often the module does what is due.
	tickInterval = 100 * time.Millisecond
)

// tickLoop has the module do what is due.
func (p *Peers) tickLoop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if time.Since(time.Unix(0, p.lastTickAt.Load())) > maxMessageAge {
			p.resumedAt.Store(time.Now().UnixNano())
		}
		p.lastTickAt.Store(time.Now().UnixNano())
		if p.nameTaken() {
			continue
		}
		n := p.aliveMembers()
		p.options.Do(func(now int64) { p.enqueue(p.options.Module.Tick(now, n)) })
	}
}

// justResumed tells whether this process has just begun to run again: what it reads then may have waited for it. Frozen, it
// has no ticks; what the kernel holds for it is read within a moment.
func (p *Peers) justResumed() bool {
	return time.Since(time.Unix(0, p.lastTickAt.Load())) > maxMessageAge || time.Since(time.Unix(0, p.resumedAt.Load())) < 2*tickInterval
}
