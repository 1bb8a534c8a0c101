package peers

import (
	"context"
	"time"
)

// tickInterval is how often the module does what is due.
const tickInterval = 100 * time.Millisecond

// tickLoop has the module do what is due until ctx ends.
func (p *Peers) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(p.options.stretched(tickInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.tick()
		}
	}
}

// tick notes that this process is running, and has the module do what is due.
func (p *Peers) tick() {
	if sinceNano(p.lastTickAt.Load()) > maxMessageAge {
		p.resumedAt.Store(time.Now().UnixNano())
	}
	p.lastTickAt.Store(time.Now().UnixNano())
	if p.nameTaken() {
		return
	}
	members := p.aliveMembers()
	p.options.TryRun(func(now int64) { p.enqueue(p.options.Module.Tick(now, members)) })
}

// justResumed tells whether this process has just continued after a pause, so that what it reads may have waited for it.
// A paused process has no ticks, and what the kernel has queued for it is read within moments.
func (p *Peers) justResumed() bool {
	return sinceNano(p.lastTickAt.Load()) > maxMessageAge || sinceNano(p.resumedAt.Load()) < 2*tickInterval
}

func sinceNano(unixNano int64) time.Duration { return time.Since(time.Unix(0, unixNano)) }
