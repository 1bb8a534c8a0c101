package peers

import (
	"context"
	"time"
)

// tickInterval is how often Module.Tick is called.
const tickInterval = 100 * time.Millisecond

// tickLoop calls the module's Tick at every tickInterval until ctx ends.
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

// tick records that this process is running, and calls the module's Tick.
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

// justResumed tells whether this process has just continued after a pause, so that the messages that it reads may be
// old. A paused process has no ticks, and after it the messages that the kernel has queued are read within moments.
func (p *Peers) justResumed() bool {
	return sinceNano(p.lastTickAt.Load()) > maxMessageAge || sinceNano(p.resumedAt.Load()) < 2*tickInterval
}

func sinceNano(unixNano int64) time.Duration { return time.Since(time.Unix(0, unixNano)) }
