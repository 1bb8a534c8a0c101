package peers

import (
	"context"
	"time"

	"masthill/control/shared"
)

const (
	// inboundQueueSize bounds the messages that wait for the module.
	inboundQueueSize = 512
	// maxMessageAge is how old a message may be when it is sent or handed to the module. It is also the longest time between
	// two ticks that does not count as a pause of this process: messages that waited for a paused process would pass off an
	// old state as the current one.
	maxMessageAge = time.Second
)

// receiveLoop hands received messages to the module until ctx ends.
func (p *Peers) receiveLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.inbound:
			p.receive(m)
		}
	}
}

// receive hands a message to the module. Stale ones are dropped, except those of package lease, which are safe at any age.
func (p *Peers) receive(e envelope) {
	var m shared.Message
	if err := decode(e.payload, &m); err != nil {
		p.undecodable.Add(1)
		return
	}
	if p.nameTaken() {
		return
	}
	if m.Lease == nil && (time.Since(e.createdAt) > maxMessageAge || p.justResumed()) {
		p.dropped.Add(1)
		return
	}
	if m.Count != nil {
		p.markHeard(m.Count.From.Name)
	}
	if !p.options.TryRun(func(now int64) { p.enqueue(p.options.Module.Receive(now, m)) }) {
		p.dropped.Add(1)
	}
}

// markHeard records that a message of a member has just been received.
func (p *Peers) markHeard(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members[name] != nil {
		p.lastHeard[name] = time.Now()
	}
}
