package peers

import (
	"context"
	"time"

	"masthill/control/shared"
)

// maxMessageAge is how old a message may be that is still worth sending, or how long this process may have stood still for
// what it reads then to be news: what waited in a frozen process tells of a time long past as if it were now.
const maxMessageAge = time.Second

// receiveLoop brings the module what the others say.
func (p *Peers) receiveLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case one := <-p.inbound:
			var m shared.Message
			if err := decode(one[0].payload, &m); err != nil {
				p.undecodable.Add(1)
				continue
			}
			if p.nameTaken() {
				continue
			}
			if m.Lease == nil && (time.Since(one[0].createdAt) > maxMessageAge || p.justResumed()) {
				p.dropped.Add(1)
				continue
			}
			if m.Count != nil {
				p.mu.Lock()
				if p.members[m.Count.From.Name] != nil {
					p.lastHeard[m.Count.From.Name] = time.Now()
				}
				p.mu.Unlock()
			}
			if !p.options.Do(func(now int64) { p.enqueue(p.options.Module.Hear(now, m)) }) {
				p.dropped.Add(1)
			}
		}
	}
}
